/* Ledger record of a request that may not be repeated: claim and outcome. */
#include "libconnection.h"

enum
{
  CLAIM_TIMEOUT_MS = 185,
  CLAIM_POLL_INTERVAL_MS = 100,
  CLAIM_POLL_TOTAL_MS = 3000
};

typedef void (*ledger_handler) (struct req *req,
                                const struct ledger_reply *reply);

static void on_claimed (struct req *req, const struct ledger_reply *reply);
static void on_replay (struct req *req, const struct ledger_reply *reply);
static void on_unfinished (struct req *req, const struct ledger_reply *reply);
static void on_mismatch (struct req *req, const struct ledger_reply *reply);
static void on_unavailable (struct req *req, const struct ledger_reply *reply);
static void on_stored (struct req *req, const struct ledger_reply *reply);

static const ledger_handler ledger_handlers[LEDGER_VERDICT_COUNT] = {
  [LEDGER_CLAIMED] = on_claimed,
  [LEDGER_COMPLETED] = on_replay,
  [LEDGER_UNFINISHED] = on_unfinished,
  [LEDGER_MISMATCH] = on_mismatch,
  [LEDGER_UNAVAILABLE] = on_unavailable,
  [LEDGER_INDETERMINATE] = on_unavailable,
  [LEDGER_STORED] = on_stored,
  [LEDGER_ABSENT] = on_unavailable,
};

/* Claims the ledger record of REQ.  Without it REQ must not be sent.  */
void
req_claim (struct req *req)
{
  clk_ms now = clk_now (clk_monotonic ());

  req->phase = REQ_CLAIMING;
  req->ledger_sent_ms = now;
  req->timer_ms = MIN (now + CLAIM_TIMEOUT_MS, req->deadline_ms);
  req->ledger_pending++;
  ledger_claim (req->worker->server->ledger, &req->ledger_call,
                worker_post_ledger_reply, req->worker, req->id);
}

/* Handles the ledger's REPLY.  If a claim succeeds after the client was
   told "not_run", the record is closed as not run.  */
void
req_on_ledger_reply (struct req *req, const struct ledger_reply *reply)
{
  req->ledger_pending--;
  metric_observe (METRIC_HIST_LEDGER_MS,
                  clk_now (clk_monotonic ()) - req->ledger_sent_ms);
  if (req->phase == REQ_CLAIMING || req->phase == REQ_STORING)
    ledger_handlers[reply->verdict](req, reply);
  else if (reply->verdict == LEDGER_CLAIMED && !req->has_claim)
    req_abort_claim (req);
  req_free_if_done (req);
}

/* The claim succeeded: choose a target.  */
static void
on_claimed (struct req *req, const struct ledger_reply *reply)
{
  (void)reply;
  req->has_claim = 1;
  req_dispatch (req);
}

/* The request was executed before: replay the stored response.  */
static void
on_replay (struct req *req, const struct ledger_reply *reply)
{
  metric_inc (METRIC_REPLAYED_RESPONSE);
  req_respond_body (req, (unsigned)reply->status, reply->content_type,
                    reply->body, reply->body_length);
}

/* Another request holds the claim: poll until it has an outcome.  */
static void
on_unfinished (struct req *req, const struct ledger_reply *reply)
{
  clk_ms now = clk_now (clk_monotonic ());

  (void)reply;
  if (now + CLAIM_POLL_INTERVAL_MS
      < MIN (req->arrived_ms + CLAIM_POLL_TOTAL_MS, req->deadline_ms))
    req->timer_ms = now + CLAIM_POLL_INTERVAL_MS;
  else
    req_refuse (req, REFUSE_IN_PROGRESS, REQ_MAY_HAVE_RUN);
}

/* The idempotency key was used with another request.  */
static void
on_mismatch (struct req *req, const struct ledger_reply *reply)
{
  (void)reply;
  req_refuse (req, REFUSE_KEY_REUSED, REQ_NOT_RUN);
}

/* The claim or the outcome could not be stored.  A response that is
   complete is delivered all the same.  */
static void
on_unavailable (struct req *req, const struct ledger_reply *reply)
{
  (void)reply;
  if (req->phase == REQ_STORING)
    req_respond_buffered (req);
  else
    req_refuse (req, REFUSE_LEDGER_DOWN, REQ_NOT_RUN);
}

/* The outcome is durable: send the response.  */
static void
on_stored (struct req *req, const struct ledger_reply *reply)
{
  (void)reply;
  if (req->phase == REQ_STORING)
    req_respond_buffered (req);
}

/* Stores the outcome of a call with a ledger record.  The response is sent
   after the ledger has replied or the deadline has passed.  In place of a
   body above LEDGER_BODY_MAX_BYTES, an error is stored that says so.  */
void
req_store_outcome (struct req *req)
{
  static const char too_large[]
      = "{\"error\":{\"code\":\"answer_not_kept\",\"run\":\"ran\"}}";
  struct ledger_outcome outcome = { .status = (int)req->attempt.status,
                                    .content_type = req->attempt.content_type,
                                    .body = req->out->str,
                                    .body_length = req->out->len };

  if (outcome.body_length > LEDGER_BODY_MAX_BYTES)
    {
      outcome.content_type = "application/json";
      outcome.body = too_large;
      outcome.body_length = sizeof too_large - 1;
    }
  req->phase = REQ_STORING;
  req->ledger_sent_ms = clk_now (clk_monotonic ());
  req->timer_ms = req->deadline_ms;
  req->ledger_pending++;
  ledger_store_outcome (req->worker->server->ledger, &req->ledger_call,
                        &outcome, worker_post_ledger_reply, req->worker,
                        req->id);
}

/* Sends the buffered response of a plain call and ends the attempt.  */
void
req_respond_buffered (struct req *req)
{
  req_respond_body (req, (unsigned)req->attempt.status,
                    req->attempt.content_type, req->out->str, req->out->len);
  req_end_attempt (req, ADM_OUTCOME_OK);
}

/* Records that a claimed call was not sent, so that its key may be claimed
   again.  Does nothing if it may have run.  */
void
req_abort_claim (struct req *req)
{
  struct ledger_outcome outcome = { .not_run = 1 };

  if (req->repeatable || req->may_have_run)
    return;
  ledger_store_outcome (req->worker->server->ledger, &req->ledger_call,
                        &outcome, NULL, NULL, 0);
}
