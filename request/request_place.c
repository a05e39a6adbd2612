/* Placement: admission of chats by the owners of targets, and choice of
   targets for plain calls.  */
#include "libconnection.h"

enum
{
  WAIT_JITTER_MS = 10
};

static int32_t headroom (void *closure, uint64_t target);
static void refuse_quarantined (struct req *req);
static void step_request_admission (struct req *req,
                                    const struct place_step *step);
static void step_send (struct req *req, const struct place_step *step);
static void step_wait (struct req *req, const struct place_step *step);
static void step_refuse (struct req *req, const struct place_step *step);
static void place_plain (struct req *req, const struct ver_service *service);
static void count_placement (struct req *req, uint32_t verdict);

typedef void (*step_handler) (struct req *req, const struct place_step *step);

static const step_handler step_handlers[] = {
  [PLACE_REQUEST_ADMISSION] = step_request_admission,
  [PLACE_SEND] = step_send,
  [PLACE_WAIT] = step_wait,
  [PLACE_REFUSE] = step_refuse,
};

static const enum metric_counter denial_counters[] = {
  [ADM_DENY_BOUND] = METRIC_DENIED_BOUND,
  [ADM_DENY_CAPACITY] = METRIC_DENIED_CAPACITY,
  [ADM_DENY_SHARE] = METRIC_DENIED_SHARE,
  [ADM_DENY_DOWN] = METRIC_DENIED_DOWN,
  [ADM_DENY_LEAVING] = METRIC_DENIED_LEAVING,
};

static const enum req_refusal place_refusals[] = {
  [PLACE_NO_TARGET] = REFUSE_NO_TARGET,
  [PLACE_CAPACITY] = REFUSE_CAPACITY,
  [PLACE_CUSTOMER_SHARE] = REFUSE_CUSTOMER_SHARE,
};

/* Carries out STEP of the placement.  */
void
req_run_step (struct req *req, const struct place_step *step)
{
  step_handlers[step->action](req, step);
}

/* Chooses a target for REQ and starts an attempt, or requests admission.
   Targets at which REQ failed are excluded, unless it has failed at all of
   them.  */
void
req_dispatch (struct req *req)
{
  const struct ver_snapshot *version = req->worker->version;
  const struct ver_service *service = ver_service_find (version, req->service);
  clk_ms now = clk_now (clk_monotonic ());
  struct place_params params
      = { .chat = req->chat,
          .context_wait_ms = version->preset.context_wait_ms,
          .queue_deadline_ms
          = MIN (now + version->preset.queue_ms, req->deadline_ms),
          .headroom = headroom,
          .closure = req };
  struct place_step step = { 0 };

  if (service == NULL)
    {
      req_refuse (req, REFUSE_UNKNOWN_SERVICE, REQ_NOT_RUN);
      return;
    }
  if (!guard_admits (req->worker->server->guard, req->fingerprint))
    {
      refuse_quarantined (req);
      return;
    }
  if (req->attempts == 0)
    req_deposit_retry_budget (req);
  if (req->excluded_count >= service->eligible_count)
    req->excluded_count = 0;
  req->phase = REQ_PLACING;
  req->timer_ms = req->deadline_ms;
  if (service->kind == VER_KIND_PLAIN)
    {
      place_plain (req, service);
      return;
    }
  if (!req_enter_queue (req, now))
    {
      req_refuse (req, REFUSE_CUSTOMER_SHARE,
                  req->may_have_run ? REQ_MAY_HAVE_RUN : REQ_NOT_RUN);
      return;
    }
  place_start (&req->place, version, service, &params, req->excluded,
               req->excluded_count, &step);
  req_run_step (req, &step);
}

/* Returns how many more requests TARGET is estimated to have room for.
   CLOSURE is the request.  */
static int32_t
headroom (void *closure, uint64_t target)
{
  const struct req *req = closure;

  return peer_headroom (req->worker->server->peer, req->worker->version,
                        target);
}

/* Ends REQ, which has crashed targets.  */
static void
refuse_quarantined (struct req *req)
{
  if (req->may_have_run)
    {
      req_refuse (req, REFUSE_MAY_HAVE_RUN, REQ_MAY_HAVE_RUN);
      return;
    }
  req_abort_claim (req);
  req_refuse (req, REFUSE_QUARANTINED, REQ_NOT_RUN);
}

/* Handles the owner's REPLY to a request for admission.  */
void
req_on_admission_reply (struct req *req, const struct peer_reply *reply)
{
  struct place_step step = { 0 };

  if (reply->verdict >= ADM_DENY_BOUND && reply->verdict <= ADM_DENY_LEAVING)
    metric_inc (denial_counters[reply->verdict]);
  if (reply->verdict == ADM_DENY_SHARE)
    req_worker_customer (req)->denied_ms = clk_now (clk_monotonic ());
  place_next (&req->place, reply->verdict, reply->redirect,
              clk_now (clk_monotonic ()), &step);
  if (step.action == PLACE_SEND)
    {
      req->has_grant = 1;
      if (reply->verdict != ADM_GRANT)
        peer_record_grant (req->worker->server->peer, req->grant,
                           req->admission_target, req->admission_domain);
      count_placement (req, reply->verdict);
    }
  req_run_step (req, &step);
}

/* Requests admission from the owner of STEP's target.  */
static void
step_request_admission (struct req *req, const struct place_step *step)
{
  const struct ver_snapshot *version = req->worker->version;
  const struct ver_target *target = ver_target_find (version, step->target);
  struct peer_admission_request admission_request
      = { .target = step->target,
          .domain = target ? target->domain_id : 0,
          .chat = step->target == place_home (&req->place) ? req->chat : 0,
          .customer = req->customer_id,
          .flags = step->flags,
          .wait_ms = (uint32_t)step->wait_ms,
          .priority = (uint32_t)req->priority };

  req->admission_target = step->target;
  req->admission_domain = admission_request.domain;
  req->grant = peer_request_admission (
      req->worker->server->peer, version, &admission_request,
      worker_post_admission_reply, req->worker, req->id);
}

/* Starts an attempt at the target of the last admission request.  */
static void
step_send (struct req *req, const struct place_step *step)
{
  (void)step;
  req_start_attempt (req, req->admission_target);
}

/* Waits for STEP's delay, with jitter.  */
static void
step_wait (struct req *req, const struct place_step *step)
{
  metric_inc (METRIC_QUEUED);
  req->phase = REQ_WAITING;
  req->timer_ms = clk_now (clk_monotonic ()) + step->wait_ms
                  + g_rand_int_range (req->worker->random, 0, WAIT_JITTER_MS);
}

/* Refuses REQ with the reason in STEP.  */
static void
step_refuse (struct req *req, const struct place_step *step)
{
  req_abort_claim (req);
  req_refuse (req, place_refusals[step->reason],
              req->may_have_run ? REQ_MAY_HAVE_RUN : REQ_NOT_RUN);
}

/* Starts an attempt at a target of the plain SERVICE.  */
static void
place_plain (struct req *req, const struct ver_service *service)
{
  uint64_t target = plain_choose_target (req, req->worker->version, service);
  struct place_step step
      = { .action = PLACE_REFUSE, .reason = PLACE_NO_TARGET };

  if (target == 0)
    {
      step_refuse (req, &step);
      return;
    }
  req->holds_plain_slot = 1;
  req_start_attempt (req, target);
}

/* Starts an attempt at TARGET.  A target that is no longer configured
   counts as a failed connection.  */
void
req_start_attempt (struct req *req, uint64_t target)
{
  const struct ver_target *entry
      = ver_target_find (req->worker->version, target);

  req_leave_queue (req);
  req->target = target;
  req->phase = REQ_SENDING;
  if (entry == NULL)
    {
      req_handle_fault (req, RETRY_FAULT_CONNECT);
      return;
    }
  backend_send (req, entry);
  req->attempts++;
  req->timer_ms = req_attempt_deadline (req);
}

/* Counts how REQ was placed; VERDICT is the owner's verdict, or
   PEER_TIMEOUT.  */
static void
count_placement (struct req *req, uint32_t verdict)
{
  if (verdict == PEER_TIMEOUT)
    metric_inc (METRIC_PLACED_WITHOUT_GRANT);
  else if (req->admission_target == place_home (&req->place))
    metric_inc (METRIC_PLACED_HOME);
  else if (req->admission_target == req->place.redirect_target)
    metric_inc (METRIC_PLACED_NOTE);
  else
    metric_inc (METRIC_PLACED_NEXT_HOME);
}
