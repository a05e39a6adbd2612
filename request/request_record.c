/* Record of a request that may not be repeated: claim, outcome, seal. */
#include "libconnection.h"

enum
{
  CLAIM_WAIT_MS = 185,
  CLAIM_POLL_MS = 100,
  CLAIM_POLL_MAX_MS = 3000
};

typedef void (*ledger_handler) (struct req *req,
                                const struct led_reply *reply);

static void on_claimed (struct req *req, const struct led_reply *reply);
static void on_answered (struct req *req, const struct led_reply *reply);
static void on_unfinished (struct req *req, const struct led_reply *reply);
static void on_mismatch (struct req *req, const struct led_reply *reply);
static void on_down (struct req *req, const struct led_reply *reply);
static void on_stored (struct req *req, const struct led_reply *reply);

static const ledger_handler ledger_handlers[LED_VERDICT_COUNT] = {
  [LED_CLAIMED] = on_claimed,
  [LED_ANSWERED] = on_answered,
  [LED_UNFINISHED] = on_unfinished,
  [LED_MISMATCH] = on_mismatch,
  [LED_DOWN] = on_down,
  [LED_UNSURE] = on_down,
  [LED_STORED] = on_stored,
  [LED_ABSENT] = on_down,
};

/* Asks the ledger for the record without which REQ must not be sent.  */
void
req_claim (struct req *req)
{
  clk_ms now = clk_now (clk_monotonic ());

  req->phase = REQ_CLAIMING;
  req->claim_ms = now;
  req->timer_ms = MIN (now + CLAIM_WAIT_MS, req->deadline_ms);
  req->ledger_open++;
  led_claim (req->worker->server->ledger, &req->call, worker_post_ledger,
             req->worker, req->id);
}

/* Goes on with the ledger's REPLY.  A record that comes after the caller was
   told "not run" is sealed.  */
void
req_on_ledger (struct req *req, const struct led_reply *reply)
{
  req->ledger_open--;
  met_observe (MET_HIST_LEDGER_MS, clk_now (clk_monotonic ()) - req->claim_ms);
  if (req->phase == REQ_CLAIMING || req->phase == REQ_STORING)
    ledger_handlers[reply->verdict](req, reply);
  else if (reply->verdict == LED_CLAIMED && !req->claimed)
    req_seal_not_run (req);
  req_free_if_over (req);
}

/* The record is made: send.  */
static void
on_claimed (struct req *req, const struct led_reply *reply)
{
  (void)reply;
  req->claimed = 1;
  req_place (req);
}

/* It ran before: give the stored answer.  */
static void
on_answered (struct req *req, const struct led_reply *reply)
{
  met_inc (MET_REPLAYED_ANSWER);
  req_answer_body (req, (unsigned)reply->status, reply->content_type,
                   reply->body, reply->body_length);
}

/* Another attempt has the record: look again until it has an outcome.  */
static void
on_unfinished (struct req *req, const struct led_reply *reply)
{
  clk_ms now = clk_now (clk_monotonic ());

  (void)reply;
  if (now + CLAIM_POLL_MS
      < MIN (req->arrived_ms + CLAIM_POLL_MAX_MS, req->deadline_ms))
    req->timer_ms = now + CLAIM_POLL_MS;
  else
    req_refuse (req, REFUSE_IN_PROGRESS, REQ_MAY_HAVE_RUN);
}

/* The key belongs to another request.  */
static void
on_mismatch (struct req *req, const struct led_reply *reply)
{
  (void)reply;
  req_refuse (req, REFUSE_KEY_REUSED, REQ_NOT_RUN);
}

/* No record could be made.  */
static void
on_down (struct req *req, const struct led_reply *reply)
{
  (void)reply;
  if (req->phase == REQ_STORING)
    req_answer_plain (req);
  else
    req_refuse (req, REFUSE_LEDGER_DOWN, REQ_NOT_RUN);
}

/* The outcome is durable: give the answer.  */
static void
on_stored (struct req *req, const struct led_reply *reply)
{
  (void)reply;
  if (req->phase == REQ_STORING)
    req_answer_plain (req);
}

/* Stores the outcome of a call with a record; the answer waits for it.  */
void
req_store_outcome (struct req *req)
{
  static const char too_large[]
      = "{\"error\":{\"code\":\"answer_not_kept\",\"run\":\"ran\"}}";
  struct led_outcome outcome = { .status = (int)req->attempt.status,
                                 .content_type = req->attempt.content_type,
                                 .body = req->out->str,
                                 .body_length = req->out->len };

  if (outcome.body_length > LED_ANSWER_MAX_BYTES)
    {
      outcome.content_type = "application/json";
      outcome.body = too_large;
      outcome.body_length = sizeof too_large - 1;
    }
  req->phase = REQ_STORING;
  req->claim_ms = clk_now (clk_monotonic ());
  req->timer_ms = req->deadline_ms;
  req->ledger_open++;
  led_finish (req->worker->server->ledger, &req->call, &outcome,
              worker_post_ledger, req->worker, req->id);
}

/* Gives the caller the plain answer that is buffered.  */
void
req_answer_plain (struct req *req)
{
  req_answer_body (req, (unsigned)req->attempt.status,
                   req->attempt.content_type, req->out->str, req->out->len);
  req_end_attempt (req, ADM_OUTCOME_OK);
}

/* Records that a claimed call was not sent.  */
void
req_seal_not_run (struct req *req)
{
  struct led_outcome outcome = { .not_run = 1 };

  if (req->repeatable || req->may_have_run)
    return;
  led_finish (req->worker->server->ledger, &req->call, &outcome, NULL, NULL,
              0);
}
