/* Private to request/ and connection/: state of one request. */
#ifndef LIBREQUEST_H
#define LIBREQUEST_H

#include <curl/curl.h>
#include <microhttpd.h>

#include "ibisloom/metrics.h"
#include "ibisloom/place.h"
#include "ibisloom/retry.h"
#include "ibisloom/server.h"

enum
{
  REQ_ID_BYTES = 33,
  REQ_EXCLUDED_MAX = PLACE_EXCLUDED_MAX
};

enum req_phase
{
  REQ_READING,  /* headers or body are incomplete */
  REQ_CLAIMING, /* waits for its ledger record */
  REQ_PLACING,  /* waits for the answer of a target's owner */
  REQ_WAITING,  /* waits before the next placement step */
  REQ_SENDING,  /* an attempt is in progress */
  REQ_STORING,  /* waits until the ledger has stored the outcome */
  REQ_DONE
};

/* Whether the request was executed, as reported to the client. */
enum req_execution
{
  REQ_NOT_RUN,
  REQ_RAN,
  REQ_MAY_HAVE_RUN
};

enum req_refusal
{
  REFUSE_BAD_REQUEST,
  REFUSE_UNKNOWN_CUSTOMER,
  REFUSE_UNKNOWN_SERVICE,
  REFUSE_MISSING_KEY,
  REFUSE_KEY_REUSED,
  REFUSE_TOO_LARGE,
  REFUSE_NO_TARGET,
  REFUSE_CAPACITY,
  REFUSE_CUSTOMER_SHARE,
  REFUSE_RETRY_BUDGET,
  REFUSE_DEADLINE,
  REFUSE_LEDGER_DOWN,
  REFUSE_IN_PROGRESS,
  REFUSE_MAY_HAVE_RUN,
  REFUSE_STOPPING,
  REFUSE_NOT_READY,
  REFUSE_TARGETS_FAILED,
  REFUSE_QUARANTINED,
  REFUSE_COUNT
};

/* Server-sent events of the response, over all attempts. */
struct req_events
{
  GString *partial; /* start of an incomplete event of this attempt */
  int64_t offset;   /* events delivered to the client */
  int done;         /* the final event was received */
  int has_gap;      /* an event number was skipped */
};

/* One attempt at one target. */
struct req_attempt
{
  CURL *easy;
  struct curl_slist *headers;
  char url[256];
  uint64_t target;
  int is_resume;
  int got_bytes;
  int is_head_complete; /* to its empty line; not that of an interim one */
  int is_interim;       /* the last status line is that of one */
  int has_length;       /* or chunks; else the response ends by a close */
  int id_matches;       /* the response repeats the request's id */
  int id_seen;
  int not_run;          /* reported by the target as not executed */
  size_t dropped_bytes; /* of a body that is not used */
  int paused; /* the client reads more slowly than the target sends */
  long status;
  int64_t offset_at_start; /* events delivered before the attempt */
  clk_ms started_ms;
  clk_ms last_byte_ms;
  char *content_type;
  GPtrArray *response_headers; /* of char *, "Name: value" */
};

struct req
{
  uint64_t id;
  char id_text[REQ_ID_BYTES];
  struct worker *worker;
  struct MHD_Connection *connection;
  int suspended;
  enum req_phase phase;
  enum ver_kind kind;
  char service[VER_NAME_MAX_BYTES];
  uint64_t service_id;
  int64_t silence_ms;
  int64_t attempt_timeout_ms;
  char customer[VER_NAME_MAX_BYTES];
  uint64_t customer_id;
  uint64_t chat; /* hash of customer, service and chat_id */
  char method[16];
  char *path;
  char *idempotency_key;
  struct curl_slist *forwarded_headers; /* the client's end-to-end headers */
  GString *body;
  uint64_t fingerprint; /* of method, service, path, customer and body */
  int priority;
  int stream;
  int repeatable; /* may be executed more than once */
  int close;      /* close the client's connection after the response */
  clk_ms arrived_ms;
  clk_ms deadline_ms;
  clk_ms timer_ms; /* when req_on_timer is due */
  struct place place;
  uint64_t admission_target; /* of the last admission request */
  uint32_t admission_domain;
  uint32_t grant; /* identifier of the grant, requested or held */
  int has_grant;
  int holds_plain_slot; /* counted in the target's in_flight */
  int is_queued;        /* counted in its customer's waiting requests */
  uint64_t target;
  uint64_t resume_target; /* continues the stream there, 0: none */
  uint64_t excluded[REQ_EXCLUDED_MAX];
  size_t excluded_count;
  uint32_t attempts;
  uint32_t resumes;     /* consecutive, without progress */
  uint32_t disconnects; /* attempts broken off before any progress */
  int may_have_run;
  struct req_attempt attempt;
  struct req_events events;
  struct ledger_call ledger_call;
  int has_claim;
  int ledger_pending; /* operations without a reply yet */
  clk_ms ledger_sent_ms;
  GString *content;  /* text of a chat that is not streamed to the client */
  GString *out;      /* output buffered for the client */
  size_t out_offset; /* bytes of out that were sent */
  int out_done;
  int out_broken;
  int has_first_byte;
  struct MHD_Response *response;
  unsigned response_status;
  int response_queued;
};

/* request_start.c */
struct req *req_new (struct worker *worker, struct MHD_Connection *connection,
                     const char *method);
void req_free (struct req *req);
int req_read_headers (struct req *req, const char *url);
void req_on_body_complete (struct req *req);

/* request.c */
clk_ms req_attempt_deadline (const struct req *req);
void req_deposit_retry_budget (struct req *req);
void req_on_timer (struct req *req, clk_ms now);
int req_on_data (struct req *req, const char *data, size_t length);
void req_on_attempt_end (struct req *req, int code);
void req_handle_fault (struct req *req, enum retry_fault fault);
void req_end_attempt (struct req *req, enum adm_outcome outcome);
void req_cancel (struct req *req);
void req_free_if_done (struct req *req);

/* request_fault.c */
enum retry_fault req_attempt_fault (const struct req *req, int code);
int req_may_be_earlier (const struct req_attempt *attempt);

/* request_place.c */
void req_dispatch (struct req *req);
void req_run_step (struct req *req, const struct place_step *step);
void req_start_attempt (struct req *req, uint64_t target);
void req_on_admission_reply (struct req *req, const struct peer_reply *reply);

/* request_queue.c */
int req_enter_queue (struct req *req, clk_ms now);
void req_leave_queue (struct req *req);
struct worker_customer *req_worker_customer (struct req *req);

/* request_ledger.c */
void req_claim (struct req *req);
void req_on_ledger_reply (struct req *req, const struct ledger_reply *reply);
void req_store_outcome (struct req *req);
void req_respond_buffered (struct req *req);
void req_abort_claim (struct req *req);

/* request_response.c */
void req_refuse (struct req *req, enum req_refusal refusal,
                 enum req_execution run);
void req_respond_body (struct req *req, unsigned status,
                       const char *content_type, const char *body,
                       size_t length);
void req_respond_stream (struct req *req);
void req_respond (struct req *req, unsigned status,
                  struct MHD_Response *response);
char *req_refusal_json (const struct req *req, enum req_refusal refusal,
                        enum req_execution run, int64_t retry_after_s);

/* request_chat.c */
int chat_parse (struct req *req);
int chat_feed (struct req *req, const char *data, size_t length);
char *chat_completion_json (const struct req *req);

/* request_plain.c */
uint64_t plain_choose_target (struct req *req,
                              const struct ver_snapshot *version,
                              const struct ver_service *service);
void plain_release_target (struct server *server, uint64_t target,
                           enum adm_outcome outcome);
void plain_state_free (gpointer state);

#endif
