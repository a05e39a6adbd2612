/* Lifecycle of a request: ledger record, placement, attempts, response. */
#include <string.h>

#include "ibisloom/log.h"
#include "libconnection.h"

enum
{
  RESPONSE_MAX_BYTES = 8388608,
  DROPPED_MAX_BYTES = 65536 /* of the body of an error, which is not used */
};

static void suspect_request (struct req *req, enum retry_fault fault);
static void complete (struct req *req);
static void publish_placement_note (struct req *req);
static void give_up (struct req *req, const struct retry_decision *decision);
static void handle_deadline (struct req *req);
static void release_capacity (struct req *req, enum adm_outcome outcome);
static struct retry_budget *get_budget (struct server *server,
                                        uint64_t service);

static const enum req_refusal give_up_refusals[RETRY_REASON_COUNT] = {
  [RETRY_REASON_NONE] = REFUSE_TARGETS_FAILED,
  [RETRY_REASON_DEADLINE] = REFUSE_DEADLINE,
  [RETRY_REASON_BUDGET] = REFUSE_RETRY_BUDGET,
  [RETRY_REASON_ATTEMPTS] = REFUSE_TARGETS_FAILED,
  [RETRY_REASON_MAY_HAVE_RUN] = REFUSE_MAY_HAVE_RUN,
  [RETRY_REASON_NO_TARGET] = REFUSE_TARGETS_FAILED,
  [RETRY_REASON_QUARANTINED] = REFUSE_TARGETS_FAILED,
};

/* Handles the timer of REQ at NOW, according to its phase.  */
void
req_on_timer (struct req *req, clk_ms now)
{
  struct place_step step = { 0 };

  if (req->phase == REQ_DONE || req->phase == REQ_READING)
    {
      req->timer_ms = INT64_MAX;
      return;
    }
  if (req->phase == REQ_CLAIMING && req->ledger_pending == 0
      && now < req->deadline_ms)
    req_claim (req);
  else if (req->phase == REQ_CLAIMING)
    req_refuse (req, REFUSE_LEDGER_DOWN, REQ_NOT_RUN);
  else if (req->phase == REQ_STORING)
    req_respond_buffered (req);
  else if (now >= req->deadline_ms)
    handle_deadline (req);
  else if (req->phase == REQ_WAITING)
    {
      req->phase = REQ_PLACING;
      req->timer_ms = req->deadline_ms;
      place_next (&req->place, 0, 0, now, &step);
      req_run_step (req, &step);
    }
  else if (req->phase == REQ_SENDING)
    {
      req->timer_ms = req_attempt_deadline (req);
      if (now >= req->timer_ms)
        req_handle_fault (req, RETRY_FAULT_READ_TIMEOUT);
    }
  req_free_if_done (req);
}

/* Handles LENGTH bytes of the target's response.  Returns 0, or -1 to
   abort the transfer.  Called from within libcurl, so the attempt must not
   be ended here.  */
int
req_on_data (struct req *req, const char *data, size_t length)
{
  struct req_attempt *attempt = &req->attempt;
  size_t before = req->out->len;

  if (attempt->id_seen && !attempt->id_matches)
    return -1;
  if (!req->has_first_byte)
    {
      req->has_first_byte = 1;
      metric_observe (METRIC_HIST_FIRST_BYTE_MS,
                      clk_now (clk_monotonic ()) - req->arrived_ms);
    }
  if (req->kind == VER_KIND_PLAIN || attempt->status != MHD_HTTP_OK)
    {
      if (req->kind == VER_KIND_CHAT)
        {
          attempt->dropped_bytes += length;
          return attempt->dropped_bytes > DROPPED_MAX_BYTES ? -1 : 0;
        }
      if (req->out->len + length > RESPONSE_MAX_BYTES)
        return -1;
      g_string_append_len (req->out, data, (gssize)length);
      return 0;
    }
  if (chat_feed (req, data, length) != 0)
    return -1;
  if (!req->stream || req->out->len == before)
    return 0;
  if (req->response == NULL)
    req_respond_stream (req);
  else
    frontend_resume (req);
  return 0;
}

/* Handles the end of an attempt, for which libcurl returned CODE.  */
void
req_on_attempt_end (struct req *req, int code)
{
  enum retry_fault fault = req_attempt_fault (req, code);

  if (req_may_be_earlier (&req->attempt))
    metric_inc (METRIC_MISMATCHED_RESPONSES);
  else if (code == CURLE_OK && !req->attempt.not_run)
    guard_succeed (req->worker->server->guard, req->fingerprint);
  if (fault != RETRY_FAULT_COUNT)
    req_handle_fault (req, fault);
  else
    complete (req);
  req_free_if_done (req);
}

/* Handles FAULT of the current attempt: resumes the stream, retries at
   another target, or ends REQ.  A stream whose final event was received is
   complete all the same.  */
void
req_handle_fault (struct req *req, enum retry_fault fault)
{
  struct server *server = req->worker->server;
  struct req_attempt *attempt = &req->attempt;
  clk_ms now = clk_now (clk_monotonic ());
  uint64_t target = req->target;
  struct retry_state state = { .fault = fault,
                               .repeatable = req->repeatable,
                               .is_stream = req->kind == VER_KIND_CHAT,
                               .may_have_run = req->may_have_run,
                               .tokens = req->events.offset,
                               .attempts = req->attempts,
                               .deadline_ms = req->deadline_ms };
  struct retry_decision decision;

  if (req->events.done)
    {
      complete (req);
      return;
    }
  suspect_request (req, fault);
  metric_inc (retry_counters[fault]);
  if (req->events.offset > attempt->offset_at_start)
    req->resumes = 0;
  state.resumes = req->resumes;
  req->disconnects += fault == RETRY_FAULT_DISCONNECTED
                      && req->events.offset == attempt->offset_at_start;
  state.disconnects = req->disconnects;
  if (fault != RETRY_FAULT_CONNECT && fault != RETRY_FAULT_REJECTED)
    req->may_have_run = 1;
  pthread_mutex_lock (&server->budget_lock);
  retry_decide (&state, get_budget (server, req->service_id), now, &decision);
  pthread_mutex_unlock (&server->budget_lock);
  log_debug ("request", req->id_text, metric_name (retry_counters[fault]),
             "attempt %u, action %d", req->attempts, (int)decision.action);
  req->events.has_gap = 0;
  g_string_truncate (req->events.partial, 0);
  if (req->kind == VER_KIND_PLAIN)
    g_string_truncate (req->out, 0);
  if (decision.action == RETRY_RESUME)
    {
      metric_inc (METRIC_RETRY_RESUME);
      backend_abort (req);
      req->resumes++;
      req->resume_target = target;
      req_start_attempt (req, target);
      return;
    }
  req_end_attempt (req, fault == RETRY_FAULT_REJECTED ? ADM_OUTCOME_UNKNOWN
                                                      : ADM_OUTCOME_FAILED);
  req->resume_target = 0;
  req->resumes = 0;
  if (decision.action == RETRY_GIVE_UP)
    {
      give_up (req, &decision);
      return;
    }
  if (decision.action == RETRY_CONTINUE)
    metric_inc (METRIC_RETRY_RESTART);
  if (req->excluded_count < REQ_EXCLUDED_MAX)
    req->excluded[req->excluded_count++] = target;
  req_dispatch (req);
}

/* Handles FAULT of the current attempt: if its target has ended, REQ may be
   the cause, unless its stream had gone on.  */
static void
suspect_request (struct req *req, enum retry_fault fault)
{
  const struct ver_target *target
      = ver_target_find (req->worker->version, req->target);

  if (target != NULL && fault == RETRY_FAULT_DISCONNECTED
      && req->events.offset == req->attempt.offset_at_start)
    guard_suspect (req->worker->server->guard, req->fingerprint, req->target,
                   &target->address);
}

/* Ends REQ after the client has disconnected or received the response.  A
   call with a ledger record continues until its outcome is stored.  */
void
req_cancel (struct req *req)
{
  req->suspended = 0;
  if (!req->repeatable && req->phase != REQ_DONE && req->phase != REQ_READING)
    return;
  if (req->kind == VER_KIND_CHAT && req->phase == REQ_SENDING)
    backend_cancel_stream (req);
  req_end_attempt (req, ADM_OUTCOME_UNKNOWN);
  req->phase = REQ_DONE;
  req_free_if_done (req);
}

/* Delivers the target's response to the client.  The outcome of a call
   with a ledger record is stored first.  */
static void
complete (struct req *req)
{
  char *text;

  if (req->kind == VER_KIND_PLAIN)
    {
      req->holds_plain_slot = 0;
      plain_release_target (req->worker->server, req->target, ADM_OUTCOME_OK);
      if (req->has_claim)
        req_store_outcome (req);
      else
        req_respond_buffered (req);
      return;
    }
  if (req->attempt.status != MHD_HTTP_OK)
    {
      req_respond_body (req, (unsigned)req->attempt.status, "application/json",
                        "{}", 2);
      req_end_attempt (req, ADM_OUTCOME_OK);
      return;
    }
  req_end_attempt (req, ADM_OUTCOME_OK);
  publish_placement_note (req);
  if (req->stream)
    {
      metric_inc (METRIC_ANSWERED);
      metric_observe (METRIC_HIST_TOTAL_MS,
                      clk_now (clk_monotonic ()) - req->arrived_ms);
      req->phase = REQ_DONE;
      req->out_done = 1;
      frontend_resume (req);
      return;
    }
  text = chat_completion_json (req);
  req_respond_body (req, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
}

/* Publishes a placement note if the chat was served by a target other than its
   home.  Does nothing if that note exists already.  */
static void
publish_placement_note (struct req *req)
{
  const struct ver_snapshot *version = req->worker->version;
  uint64_t home = place_home (&req->place);
  const struct ver_target *entry = ver_target_find (version, home);
  struct adm_note note = { .home = home,
                           .chat = req->chat,
                           .target = req->target,
                           .expires_ms = clk_now (clk_monotonic ())
                                         + version->preset.note_ttl_ms };

  if (entry == NULL || req->target == home
      || req->target == req->place.redirect_target)
    return;
  peer_send_note (req->worker->server->peer, &note, entry->domain_id);
}

/* Ends REQ with the refusal for DECISION.  */
static void
give_up (struct req *req, const struct retry_decision *decision)
{
  if (decision->run == RETRY_NOT_RUN)
    req_abort_claim (req);
  req_refuse (req, give_up_refusals[decision->reason],
              (enum req_execution)decision->run);
}

/* Ends REQ after its deadline has passed.  */
static void
handle_deadline (struct req *req)
{
  int sent = req->phase == REQ_SENDING || req->may_have_run;

  if (req->kind == VER_KIND_CHAT && req->phase == REQ_SENDING)
    backend_cancel_stream (req);
  req_end_attempt (req, ADM_OUTCOME_UNKNOWN);
  if (!sent)
    req_abort_claim (req);
  req_refuse (req, REFUSE_DEADLINE, sent ? REQ_MAY_HAVE_RUN : REQ_NOT_RUN);
}

/* Returns when the current attempt times out for lack of data.  A call
   that may not be repeated has until its deadline, since it could not be
   retried anyway; so has an attempt that is paused.  */
clk_ms
req_attempt_deadline (const struct req *req)
{
  int64_t limit_ms
      = req->kind == VER_KIND_CHAT ? req->silence_ms : req->attempt_timeout_ms;

  if (!req->repeatable || req->attempt.paused)
    return req->deadline_ms;
  return MIN (req->attempt.last_byte_ms + limit_ms, req->deadline_ms);
}

/* Ends the current attempt and releases its admission.  OUTCOME is
   reported to the target's circuit breaker.  */
void
req_end_attempt (struct req *req, enum adm_outcome outcome)
{
  backend_abort (req);
  release_capacity (req, outcome);
}

/* Releases the grant or the slot at a plain target that REQ holds.  */
static void
release_capacity (struct req *req, enum adm_outcome outcome)
{
  if (req->has_grant)
    peer_release_grant (req->worker->server->peer, req->grant, outcome);
  if (req->holds_plain_slot)
    plain_release_target (req->worker->server, req->target, outcome);
  req->has_grant = 0;
  req->holds_plain_slot = 0;
}

/* Adds the deposit for REQ to the retry budget of its service.  */
void
req_deposit_retry_budget (struct req *req)
{
  struct server *server = req->worker->server;

  pthread_mutex_lock (&server->budget_lock);
  retry_budget_deposit (get_budget (server, req->service_id),
                        req->worker->version->preset.retry_share);
  pthread_mutex_unlock (&server->budget_lock);
}

/* Returns the retry budget of SERVICE, created at first use.  The caller
   holds budget_lock.  */
static struct retry_budget *
get_budget (struct server *server, uint64_t service)
{
  struct retry_budget *budget
      = g_hash_table_lookup (server->budgets, &service);
  uint64_t *key;

  if (budget != NULL)
    return budget;
  budget = g_new0 (struct retry_budget, 1);
  retry_budget_init (budget);
  key = g_new (uint64_t, 1);
  *key = service;
  g_hash_table_insert (server->budgets, key, budget);
  return budget;
}

/* Frees REQ if it is done, its connection has ended and no ledger
   operation is pending.  */
void
req_free_if_done (struct req *req)
{
  if (req->connection == NULL && req->phase == REQ_DONE
      && req->ledger_pending == 0)
    {
      req_end_attempt (req, ADM_OUTCOME_UNKNOWN);
      req_free (req);
    }
}
