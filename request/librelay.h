/* Private to request/relay*.c: state of one relayed request. */
#ifndef LIBRELAY_H
#define LIBRELAY_H

#include "ibisloom/extra.h"
#include "ibisloom/metrics.h"
#include "ibisloom/probe.h"
#include "ibisloom/relay.h"
#include "ibisloom/router.h"
#include "ibisloom/wait.h"

enum
{
  RELAY_TRIED_MAX = 8,
  RELAY_EVENT_ID_BYTES = 64,
  RELAY_CONNECT_FAILURES_MAX = 4,
  RELAY_HOPS_MAX = 3,  /* instances that a request is sent through */
  RELAY_HOP_SPLITS = 2 /* enough to tell a split route from another one */
};

enum relay_refusal
{
  RELAY_BAD_REQUEST,
  RELAY_UNKNOWN_ROUTE,
  RELAY_UNKNOWN_KEY,
  RELAY_NOT_CONFIGURED,
  RELAY_STOPPING,
  RELAY_NO_TARGET,
  RELAY_ALL_FULL,
  RELAY_TARGET_FULL,
  RELAY_NO_CONNECTION,
  RELAY_TARGET_FAILED,
  RELAY_DEADLINE,
  RELAY_DEADLINE_UNSENT,
  RELAY_RETRY_BUDGET,
  RELAY_QUARANTINED,
  RELAY_RATES_USED_UP,
  RELAY_ORIGIN_UNKNOWN,
  RELAY_VERSION_GONE,
  RELAY_HOP_REFUSED,
  RELAY_EVACUATED,
  RELAY_PAUSED,     /* all targets have asked for a pause */
  RELAY_OVER_SHARE, /* the admission level left it out */
  RELAY_QUEUE_FULL, /* it would not be served in time */
  RELAY_QUEUE_LATE, /* it waited for as long as it could */
  RELAY_REFUSAL_COUNT
};

/* Server-sent events forwarded to the client, over all attempts. */
struct relay_events
{
  char last_id[RELAY_EVENT_ID_BYTES]; /* id of the last event forwarded */
  uint32_t forwarded;                 /* events with an id */
  uint32_t complete;                  /* events with and without one */
};

/* Response that is not read on, as the client has to catch up. */
struct relay_backpressure
{
  uint8_t is_paused;
  uint8_t is_logged;
  clk_ms changed_ms; /* the last change of IS_PAUSED */
  int64_t total_ms;  /* of pauses that have ended */
};

/* One attempt, at one target, and what was received of its response. */
struct relay_attempt
{
  struct reg_target *target; /* NULL: no attempt */
  uint64_t software;         /* of the target when it was sent */
  struct sockaddr_in source; /* of the context; port 0: none */
  struct out_call *call;     /* NULL: ended, or not started */
  clk_ms sent_ms;
  clk_ms last_received_ms;
  uint32_t status;
  int32_t running; /* requests at work there, as the head tells; -1: unknown */
  int32_t waiting; /* requests that wait for these; -1: unknown */
  int64_t length;  /* of the response body, -1: unknown */
  uint32_t process; /* of the target when it was sent, see struct reg_target */
  uint8_t not_run;
  uint8_t asked_pause; /* the target wants no requests for a time */
  uint8_t is_invalid;  /* response is for another request, or out of order */
  uint8_t is_event_stream;
  uint8_t ends_with_connection; /* body has neither a length nor chunks */
  struct extra_scan extra;      /* of such a body */
  uint8_t is_trial;             /* trial request to a suspended target */
  uint8_t is_first_send;     /* the target was not sent the request before */
  uint8_t parts_succeeded;   /* its target has gone on after the first event */
  uint8_t input_awaited;     /* its timer was put off for unread input */
  uint8_t is_silent;         /* past its read timeout */
  uint8_t is_new_connection; /* not a kept one */
  uint8_t is_final; /* the instance that it went through made all attempts */
  struct relay_backpressure backpressure;
  uint64_t taken_bytes;   /* of the request, when its timer was last put off */
  clk_ms first_event_ms;  /* 0: no event yet */
  uint32_t work_tokens;   /* that its target has still to read; 0: none */
  uint32_t work_ahead;    /* that it read before these */
  uint8_t work_is_copied; /* its target copies the context from a holder */
  uint8_t work_has_source; /* the same, or from one that may be a holder */
  GString *response_fields;
  GString *buffered_body;
  GString *partial_event; /* start of an incomplete event */
  size_t body_share;      /* of the pool of buffers, see buf_reserve */
  size_t event_share;
};

/* Request that came from another instance, with what that has decided. */
struct relay_hop
{
  struct hop_mark mark;
  struct rt_route route;
  struct rt_split split[RELAY_HOP_SPLITS]; /* of the route */
  struct rt_customer customer;
  ev_timer sender_timer; /* looks whether the sender is heard */
};

struct relay
{
  struct router *router;
  struct client *client; /* NULL: disconnected, or response complete */
  struct http_head *head;
  GString *body; /* may be NULL */
  struct rt_table *table;
  const struct rt_route *route;
  const char *service;
  const struct rt_customer *customer; /* may be NULL */
  const char *id;
  int32_t urgency; /* 0 is the highest; -1: unknown */
  /* Shared parts of the prompt, of which there may be none, and the
     fingerprint after them; NULL until the content has been read.  */
  uint64_t *parts;
  uint32_t part_count;  /* without the fingerprint */
  uint64_t fingerprint; /* of path, caller and body; see QUAR_REQUEST_BIT */
  uint64_t context;     /* hash of the shared prompt parts, 0: none */
  uint32_t context_tokens;
  uint32_t prompt_tokens;     /* also of the unshared part */
  struct held_key held_key;   /* to look the context up in lists of targets */
  uint8_t has_listed_holders; /* its holders were found there */
  clk_ms arrived_ms;
  clk_ms deadline_ms;
  int64_t retry_after_ms; /* for a refusal; 0: the default */
  ev_timer timer;
  struct relay_attempt attempt; /* the current one */
  /* A silent attempt, kept open beside the current one, its replacement, until
     one of them goes on; TARGET is NULL: none.  */
  struct relay_attempt kept;
  clk_ms kept_until_ms;
  /* Whether the target of the current attempt, whose response seems complete,
     still accepts connections; NULL: not looked at.  */
  struct probe *end_probe;
  clk_ms look_again_ms; /* for a replacement of a silent attempt */
  /* All attempts.  */
  uint64_t tried[RELAY_TRIED_MAX]; /* targets that may have received it */
  uint32_t tried_count;
  uint64_t unreachable[RELAY_TRIED_MAX]; /* targets without a connection */
  uint32_t unreachable_count;
  uint32_t sends; /* attempts of which a target may have received bytes */
  uint32_t connect_failures; /* attempts without a connection */
  uint32_t error_responses;  /* attempts that ended in an error response */
  uint32_t rejections;       /* attempts that a brittle target turned away */
  uint8_t may_have_run;
  struct relay_hop *hop; /* NULL: from a client */
  /* Hops of this instance's own.  */
  uint32_t hop_tried[RELAY_HOPS_MAX]; /* instances */
  uint32_t hop_count;
  uint32_t hop_refusals;
  struct turn turn;        /* while it waits for capacity */
  uint32_t rewaits;        /* after rejections that ended its attempts */
  uint8_t is_admitted;     /* by the admission level */
  uint8_t is_demand;       /* counted in the demand */
  uint8_t is_counted;      /* in the retry budget */
  uint8_t waits_for_reach; /* until probes or other instances tell */
  clk_ms reach_awaited_ms; /* since then; 0: not yet */
  uint64_t software;       /* version that began the stream; 0: none has */
  uint64_t expected;       /* version noted for the stream before; 0: none */
  uint64_t stream;  /* hash of the attempt id that began it; 0: unknown */
  uint8_t takes_up; /* the client takes the stream up */
  uint8_t waits;    /* until its origin is known */
  clk_ms asked_ms;  /* time of the last question for it, 0: none */
  struct origin_attempt began; /* the stream here; zeroed: none has */
  uint8_t has_begun;           /* the origin of the stream has been recorded */
  /* The response.  */
  uint8_t head_sent;      /* the response head was sent to the client */
  uint8_t head_is_stream; /* it begins an event stream */
  struct relay_events events;
};

/* Candidates for one attempt, and what decides among them. */
struct relay_selection
{
  struct bal_params params;
  struct bal_candidate *candidates;
  struct reg_target **targets;
  size_t count;
};

/* What becomes of a request in the queue of its service. */
enum relay_wait_step
{
  RELAY_WAIT_GOES_ON, /* it does not wait */
  RELAY_WAIT_QUEUED,
  RELAY_WAIT_REFUSED
};

struct relay_wait_forecast
{
  enum relay_wait_step step;
  enum relay_refusal refusal; /* if it is refused */
  int64_t retry_after_ms;     /* the same */
  struct wait_view view;      /* unless it goes on */
};

/* How requests are refused for one reason. */
struct relay_refusal_rule
{
  const char *name;
  enum metric_counter counter;
  uint32_t status;
  int64_t retry_after_ms; /* 0: none, as a retry does not help */
};

extern const struct out_ops relay_upstream_ops;

/* relay.c */
void relay_init (struct relay *relay, struct router *router,
                 struct http_head *head);
enum relay_refusal relay_refusal_of (const struct relay *relay,
                                     const struct bal_choice *choice);
struct relay *relay_new (struct router *router, struct client *client,
                         struct http_head *head, GString *body);
void relay_start (struct relay *relay);
void relay_count (struct relay *relay);
void relay_dispatch (struct relay *relay);
void relay_send (struct relay *relay, struct reg_target *target,
                 const struct bal_choice *choice, size_t candidates);
void relay_end_attempt (struct relay *relay, enum health_event event);
void relay_attempt_end (const struct relay *relay,
                        struct relay_attempt *attempt,
                        enum health_event event);
void relay_attempt_clear (struct relay_attempt *attempt);
void relay_finish (struct relay *relay, const char *outcome);
void relay_arm_timer (struct relay *relay);

/* relay_prepare.c */
int relay_prepare (struct relay *relay, enum relay_refusal *refusal);
void relay_read_content (struct relay *relay, const char *host);
clk_ms relay_read_deadline (const struct relay *relay, int64_t timeout_ms);

/* relay_urgency.c */
void relay_urgency_decide (struct relay *relay);
void relay_urgency_read (struct relay *relay);
void relay_urgency_append (const struct relay *relay, GString *out);

/* relay_wait.c */
int relay_wait_before (struct relay *relay, clk_ms now);
int relay_wait_after (struct relay *relay, const struct bal_choice *choice,
                      clk_ms now);
void relay_wait_limit (const struct relay *relay,
                       struct relay_selection *selection, clk_ms now);
void relay_wait_note_limits (const struct relay *relay,
                             const struct relay_selection *selection,
                             clk_ms now);
void relay_wait_foresee (struct relay *relay, const struct bal_choice *choice,
                         clk_ms now, struct relay_wait_forecast *forecast);
void relay_wait_sent (struct relay *relay, clk_ms now);
void relay_wait_ended (struct relay *relay, enum health_event event);
int relay_wait_is_rejection (const struct relay *relay);
void relay_wait_reject (struct relay *relay);
int relay_wait_again (struct relay *relay,
                      const struct retry_decision *decision);
void relay_wait_leave (struct relay *relay);
void relay_wait_expire (struct relay *relay);

/* relay_hop.c */
struct reg_target *relay_pick (struct relay *relay, clk_ms now,
                               struct bal_choice *choice, size_t *count);
void relay_wait_for_reach (struct relay *relay);
int relay_hop_may_help (const struct relay *relay);
void relay_hop_begin (struct relay *relay);
void relay_hop_append_mark (const struct relay *relay, GString *out);
int relay_hop_read_head (struct relay *relay, const struct http_head *head);
int relay_hop_is_final (const struct relay *relay, enum retry_fault fault);
void relay_hop_fail (struct relay *relay, enum retry_fault fault);
void relay_hop_check (struct relay *relay);

/* relay_accept.c */
void relay_accept_end (struct relay *relay);
void relay_accept_append_software (const struct relay *relay, GString *out);
void relay_accept_append_refused (const struct relay *relay, GString *out);

/* relay_fault.c */
void relay_decide (struct relay *relay, enum retry_fault fault,
                   struct retry_decision *decision);
void relay_handle_fault (struct relay *relay, enum retry_fault fault);

/* relay_silence.c */
void relay_handle_silence (struct relay *relay);
void relay_handle_progress (struct relay *relay);
void relay_return_to_kept (struct relay *relay);
void relay_drop_kept (struct relay *relay, enum health_event event);
void relay_end_overlap (struct relay *relay);
int relay_waits_for_input (struct relay *relay);
int relay_waits_for_body (struct relay *relay);

/* relay_backpressure.c */
void relay_backpressure_apply (struct relay *relay);
enum retry_fault relay_backpressure_fault (const struct relay *relay,
                                           enum retry_fault fault);

/* relay_target.c */
struct reg_target *relay_choose_target (const struct relay *relay, clk_ms now,
                                        struct bal_choice *choice,
                                        size_t *count);
void relay_select_list (const struct relay *relay, clk_ms now,
                        struct relay_selection *selection);
struct reg_target *relay_select_pick (const struct relay *relay, clk_ms now,
                                      struct relay_selection *selection,
                                      struct bal_choice *choice);
int relay_is_evacuated (const struct relay *relay);
void relay_mark_tried (struct relay *relay);
void relay_mark_unreachable (struct relay *relay);

/* relay_work.c */
void relay_work_estimate (const struct relay *relay,
                          struct relay_selection *selection, clk_ms now);
void relay_work_start (struct relay *relay, struct reg_target *target,
                       const struct reg_target *source, clk_ms now);
void relay_work_end (struct fleet *fleet, struct relay_attempt *attempt);
int64_t relay_work_read_ms (const struct relay_attempt *attempt);
void relay_work_first_event (struct relay *relay);
void relay_work_report (const struct relay *relay,
                        const struct dialect_load *load, const char *value);

/* relay_held.c */
uint32_t relay_listed_holders (const struct relay *relay, clk_ms now,
                               struct reg_target *targets[HELD_TARGETS_MAX]);
void relay_adopt_holders (struct relay *relay);

/* relay_source.c */
const struct reg_target *relay_find_source (const struct relay *relay,
                                            const struct reg_target *target,
                                            const struct bal_choice *choice,
                                            clk_ms now);

/* relay_origin.c */
int relay_origin_fits (const struct relay *relay,
                       const struct reg_target *target);
void relay_origin_expect (struct relay *relay);
void relay_origin_begin (struct relay *relay);
uint64_t relay_origin_of_attempt (const struct relay *relay);
void relay_origin_end (struct relay *relay);
void relay_origin_read (struct relay *relay);
void relay_origin_resolve (struct relay *relay);
const char *relay_origin_service (const struct relay *relay);
int relay_origin_is_split (const struct relay *relay);
int relay_origin_is_gone (const struct relay *relay);

/* relay_log.c */
void relay_log_placement (const struct relay *relay,
                          const struct bal_choice *choice, size_t candidates);
void relay_log_over_bound (const struct relay *relay, int32_t reported);
void relay_log_origin (const struct relay *relay, const char *origin);
void relay_log_rate (const struct relay *relay);
void relay_log_brittle (const struct relay *relay);
void relay_log_room (const struct relay *relay, int32_t limit);
void relay_log_bad_field (const struct relay *relay,
                          const struct reg_target *target, const char *field,
                          const char *value);
void relay_log_fault (const struct relay *relay, enum retry_fault fault,
                      const struct retry_decision *decision, clk_ms now);
void relay_log_went_on (const struct relay *relay);
void relay_log_paused (const struct relay *relay);
void relay_log_outcome (const struct relay *relay, const char *outcome,
                        clk_ms now);

/* relay_wait_log.c */
void relay_wait_log (const struct relay *relay, const char *reason,
                     const struct wait_view *view, int64_t retry_after_ms,
                     clk_ms now);
void relay_wait_log_limit (const struct relay *relay, int32_t limit);

/* relay_parts.c */
int relay_parts_admitted (struct relay *relay);
void relay_parts_event (struct relay *relay);
void relay_parts_succeed (struct relay *relay);
void relay_request_survived (struct relay *relay);
void relay_parts_suspect (const struct relay *relay, enum retry_fault fault);

/* relay_request.c */
GString *relay_build_request_head (const struct relay *relay, clk_ms now);

/* relay_response.c */
int relay_matches_request (const struct relay *relay,
                           const struct out_call *call,
                           const struct http_head *head);
int relay_is_not_run (const struct relay *relay, const struct http_head *head);
int relay_promises_not_run (uint32_t status);
int relay_has_extra (const struct relay *relay, struct relay_attempt *attempt,
                     const char *data, size_t length);
enum retry_fault relay_response_fault (const struct relay *relay,
                                       const struct relay_attempt *attempt);
void relay_complete (struct relay *relay, enum retry_fault fault);
void relay_deliver_response (struct relay *relay);
void relay_events_forward (struct relay *relay, const char *data,
                           size_t length);

/* relay_end.c */
int relay_end_verify (struct relay *relay, enum retry_fault fault);
void relay_end_cancel (struct relay *relay);

/* relay_events.c */
int relay_events_has_complete (const GString *partial, size_t searched);
int relay_events_feed (struct relay *relay, const char *data, size_t length);
void relay_events_reset (struct relay *relay);

/* relay_notice.c */
void relay_read_notices (const struct relay *relay,
                         struct relay_attempt *attempt,
                         const struct http_head *head);
int64_t relay_pause_left_ms (const struct relay *relay);
int64_t relay_pause_spread_ms (int64_t left_ms);

/* relay_refuse.c */
const struct relay_refusal_rule *
relay_refusal_rule (enum relay_refusal refusal);
int64_t relay_retry_after_ms (const struct relay *relay,
                              enum relay_refusal refusal, int64_t *jitter_ms);
void relay_refuse (struct relay *relay, enum relay_refusal refusal);

#endif
