/* Private to request/relay*.c: one request on its way through the gate. */
#ifndef LIBRELAY_H
#define LIBRELAY_H

#include "ibisloom/gate.h"
#include "ibisloom/relay.h"

enum
{
  RLY_TRIED_MAX = 8,
  RLY_EVENT_ID_BYTES = 64
};

enum rly_refusal
{
  RLY_BAD_REQUEST,
  RLY_UNKNOWN_ROUTE,
  RLY_UNKNOWN_KEY,
  RLY_NOT_CONFIGURED,
  RLY_STOPPING,
  RLY_NO_TARGET,
  RLY_FULL,
  RLY_TARGET_FULL,
  RLY_NO_CONNECTION,
  RLY_TARGET_FAILED,
  RLY_DEADLINE,
  RLY_DEADLINE_UNSENT,
  RLY_RETRY_BUDGET,
  RLY_REFUSAL_COUNT
};

/* Events of a stream as they go through. */
struct rly_events
{
  GString *partial;              /* an event that is not whole yet */
  char last[RLY_EVENT_ID_BYTES]; /* id of the last one passed on */
  uint32_t passed;
};

struct rly
{
  struct gate *gate;
  struct caller *caller; /* NULL: gone, or answered */
  struct http_head *head;
  GString *body; /* may be NULL */
  struct rt_table *table;
  const struct rt_route *route;
  const char *service;
  const struct rt_customer *customer; /* may be NULL */
  const char *id;
  uint64_t context; /* hash of the shared parts of the prompt, 0: none */
  uint32_t context_tokens;
  clk_ms arrived_ms;
  clk_ms deadline_ms;
  ev_timer timer;
  /* The attempt at hand.  */
  struct reg_target *target;
  struct out_call *call;
  clk_ms sent_ms;
  clk_ms heard_ms;
  uint32_t status;
  int64_t length;
  uint8_t not_run;
  uint8_t wrong;
  uint8_t is_events;
  uint8_t is_resumed;
  uint8_t is_trial; /* of a target that is suspected */
  /* All attempts.  */
  uint64_t tried[RLY_TRIED_MAX]; /* targets that may have read it */
  uint32_t tried_count;
  uint64_t unreached[RLY_TRIED_MAX]; /* targets that could not be called */
  uint32_t unreached_count;
  uint32_t sends;    /* attempts of which a target may have read something */
  uint32_t connects; /* attempts that brought no connection */
  uint32_t errors;   /* attempts that a target answered with an error */
  uint8_t may_have_run;
  /* The answer.  */
  GString *fields;
  GString *buffered;
  uint8_t begun; /* the caller has the answer's head */
  struct rly_events events;
};

extern const struct out_ops rly_out_ops;

/* relay.c */
void rly_place (struct rly *rly);
void rly_end_attempt (struct rly *rly, enum health_event event);
void rly_fault (struct rly *rly, enum retry_fault fault);
void rly_finish (struct rly *rly, const char *outcome);
void rly_arm (struct rly *rly);

/* relay_log.c */
void rly_log_place (const struct rly *rly, const struct bal_choice *choice,
                    size_t candidates);
void rly_log_fault (const struct rly *rly, enum retry_fault fault,
                    const struct retry_decision *decision, clk_ms now);
void rly_log_outcome (const struct rly *rly, const char *outcome, clk_ms now);

/* relay_send.c */
GString *rly_request_head (const struct rly *rly, clk_ms now);

/* relay_answer.c */
void rly_deliver (struct rly *rly);
void rly_events_pass (struct rly *rly, const char *data, size_t length);

/* relay_events.c */
int rly_events_feed (struct rly *rly, const char *data, size_t length);
void rly_events_reset (struct rly *rly);

/* relay_refuse.c */
void rly_refuse (struct rly *rly, enum rly_refusal refusal);

#endif
