/* Lifecycle of a relayed request: service, attempts, timer, completion. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/buffer.h"
#include "ibisloom/metrics.h"
#include "ibisloom/timeout.h"
#include "librelay.h"

enum
{
  /* Several round trips between failure domains.  */
  CONNECT_TIMEOUT_MS = 300,
  HOP_CHECK_MS = 250 /* between two looks whether an instance is lost */
};

/* Fraction of the configured retry ratio that each request deposits in the
   retry budget.  The rest covers requests that are counted in another
   window.  */
static const double RETRY_RATIO_FRACTION = 0.85;

static void *on_request (struct client_listener *listener,
                         struct client *client, struct http_head *head,
                         GString *body);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void start_attempt (struct relay *relay, struct reg_target *target,
                           const struct reg_target *source);
static int was_silent_trial (const struct relay *relay);
static void relay_free (struct relay *relay);

const struct client_listener_ops relay_listener_ops
    = { on_request, relay_on_client_disconnected, relay_on_drained,
        relay_on_stop };

/* Sets RELAY to a request with HEAD at ROUTER that has just arrived.  */
void
relay_init (struct relay *relay, struct router *router, struct http_head *head)
{
  *relay = (struct relay){ .router = router,
                           .head = head,
                           .arrived_ms = clk_now (clk_monotonic ()),
                           .deadline_ms = INT64_MAX,
                           .urgency = -1 };
}

/* Returns the state of a request of CLIENT, which owns HEAD and BODY.  */
struct relay *
relay_new (struct router *router, struct client *client,
           struct http_head *head, GString *body)
{
  struct relay *relay = g_new0 (struct relay, 1);

  relay_init (relay, router, head);
  relay->client = client;
  relay->body = body;
  ev_timer_init (&relay->timer, on_timer, 0, 0);
  relay->timer.data = relay;
  router->open_requests++;
  return relay;
}

/* Handles a complete request of CLIENT.  Returns the relay, which the
   listener keeps only while the response is pending.  */
static void *
on_request (struct client_listener *listener, struct client *client,
            struct http_head *head, GString *body)
{
  struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, request_listener));
  struct relay *relay = relay_new (router, client, head, body);
  enum relay_refusal refusal;

  metric_inc (METRIC_REQUESTS);
  if (!relay_prepare (relay, &refusal))
    {
      relay_refuse (relay, refusal);
      return NULL;
    }
  relay_origin_resolve (relay);
  return relay;
}

/* Chooses the service of RELAY and starts the first attempt, or refuses the
   request.  */
void
relay_start (struct relay *relay)
{
  struct router *router = relay->router;

  relay->service
      = relay->software != 0
            ? relay_origin_service (relay)
            : rt_pick_service (relay->route, g_rand_int (router->random));
  if (relay->service == NULL)
    {
      relay_refuse (relay, relay->software != 0 ? RELAY_VERSION_GONE
                                                : RELAY_NO_TARGET);
      return;
    }
  if (router_reach_state (router, relay->service) != REACH_CUT_OFF)
    relay_count (relay);
  relay_adopt_holders (relay);
  relay_dispatch (relay);
}

/* Counts RELAY in the retry budget, once at all instances: at that which sends
   it to targets.  */
void
relay_count (struct relay *relay)
{
  struct router *router = relay->router;

  if (relay->is_counted)
    return;
  retry_budget_deposit (router_retry_budget (router, relay->service),
                        router->settings->retry_ratio * RETRY_RATIO_FRACTION);
  fleet_count_arrival (router->fleet, relay->service);
  relay->is_counted = 1;
}

/* Chooses a target for RELAY and starts an attempt there, or refuses the
   request if there is none.  */
void
relay_dispatch (struct relay *relay)
{
  struct bal_choice choice;
  struct reg_target *target;
  clk_ms now = clk_now (clk_monotonic ());
  size_t count;

  if (now >= relay->deadline_ms)
    {
      relay_refuse (relay, relay->may_have_run ? RELAY_DEADLINE
                                               : RELAY_DEADLINE_UNSENT);
      return;
    }
  fleet_hear_loads (relay->router->fleet);
  if (relay_wait_before (relay, now))
    return;
  target = relay_pick (relay, now, &choice, &count);
  if (relay->waits_for_reach)
    relay_wait_for_reach (relay);
  else if (target != NULL && !target->is_peer && !relay_parts_admitted (relay))
    relay_refuse (relay, relay->may_have_run ? RELAY_TARGET_FAILED
                                             : RELAY_QUARANTINED);
  else if (target != NULL)
    relay_send (relay, target, &choice, count);
  else if (!relay_wait_after (relay, &choice, now))
    {
      relay_log_placement (relay, &choice, count);
      if (relay->may_have_run)
        relay_refuse (relay, RELAY_TARGET_FAILED);
      else
        relay_refuse (relay, relay_refusal_of (relay, &choice));
    }
}

/* Returns how RELAY is refused, for which CHOICE has no target.  */
enum relay_refusal
relay_refusal_of (const struct relay *relay, const struct bal_choice *choice)
{
  if (choice->reason == BAL_ALL_EVACUATED)
    return RELAY_EVACUATED;
  if (relay->hop_refusals > 0)
    return RELAY_HOP_REFUSED;
  if (choice->reason == BAL_ALL_FULL)
    return RELAY_ALL_FULL;
  if (choice->reason == BAL_ALL_PAUSED)
    return RELAY_PAUSED;
  if (choice->reason == BAL_RATES_USED_UP)
    return RELAY_RATES_USED_UP;
  return relay_origin_is_gone (relay) ? RELAY_VERSION_GONE : RELAY_NO_TARGET;
}

/* Starts an attempt at TARGET, which was chosen among so many CANDIDATES for
   the reason in CHOICE.  */
void
relay_send (struct relay *relay, struct reg_target *target,
            const struct bal_choice *choice, size_t candidates)
{
  struct router *router = relay->router;
  clk_ms now = clk_now (clk_monotonic ());
  const struct reg_target *source
      = relay_find_source (relay, target, choice, now);

  relay_work_start (relay, target, source, now);
  if (relay->context != 0 && !target->is_peer
      && affinity_record (router->affinity, relay->context, target->hash, now))
    fleet_announce_holder (router->fleet, relay->context, target->hash);
  start_attempt (relay, target, source);
  relay_log_placement (relay, choice, candidates);
}

/* Starts an attempt at TARGET, which copies the context from SOURCE unless
   that is NULL.  If no call can be made, the fault is reported by the timer,
   which expires at once, and not from within this function.  */
static void
start_attempt (struct relay *relay, struct reg_target *target,
               const struct reg_target *source)
{
  struct router *router = relay->router;
  clk_ms now = clk_now (clk_monotonic ());
  struct out_request request = {
    .address = target->address,
    .body = relay->body ? relay->body->str : NULL,
    .body_length = relay->body ? relay->body->len : 0,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .is_head_request = strcmp (relay->head->method, "HEAD") == 0,
  };

  relay->attempt.target = target;
  relay->attempt.software = target->software;
  relay->attempt.source
      = source != NULL ? source->address : (struct sockaddr_in){ 0 };
  reg_request_start (target);
  relay->attempt.is_trial = (uint8_t)health_begin_request (&target->health);
  if (target->is_peer)
    relay_hop_begin (relay);
  else
    {
      relay_count (relay);
      fleet_count_request (router->fleet, target);
      relay_mark_tried (relay);
      relay_wait_sent (relay, now);
      relay_origin_expect (relay);
    }
  /* On a kept connection, an earlier response to the same request could come
     once more; the attempt id would not tell it from the new one.  Kept
     connections may also have gone dark together.  */
  request.force_new_connection
      = !rt_repeatable (relay->route) || relay->sends > 0 || target->is_peer;
  relay->attempt.sent_ms = now;
  relay->attempt.last_received_ms = now;
  relay->attempt.status = 0;
  relay->attempt.ends_with_connection = 0;
  relay->attempt.not_run = 0;
  relay->attempt.asked_pause = 0;
  relay->attempt.process = target->process;
  relay->attempt.is_invalid = 0;
  relay->attempt.is_silent = 0;
  memset (&relay->attempt.backpressure, 0, sizeof relay->attempt.backpressure);
  relay->attempt.taken_bytes = 0;
  relay->attempt.input_awaited = 0;
  relay->attempt.first_event_ms = 0;
  relay->attempt.parts_succeeded = 0;
  relay->sends++;
  request.head = relay_build_request_head (relay, now);
  metric_inc (METRIC_ATTEMPTS);
  relay->attempt.is_final = 0;
  relay->attempt.call
      = out_call_start (&router->pool, &request, &relay_upstream_ops, relay);
  relay->attempt.is_new_connection
      = relay->attempt.call != NULL
            ? !out_call_reused_connection (relay->attempt.call)
            : errno != EMFILE && errno != ENFILE;
  relay_arm_timer (relay);
  if (relay->attempt.call != NULL)
    return;
  ev_timer_stop (router->loop, &relay->timer);
  ev_timer_set (&relay->timer, 0, 0);
  ev_timer_start (router->loop, &relay->timer);
}

/* Ends RELAY's current attempt and reports EVENT to the target's health
   record.  HEALTH_EVENT_COUNT stands for no event.  */
void
relay_end_attempt (struct relay *relay, enum health_event event)
{
  relay_wait_ended (relay, event);
  relay_attempt_end (relay, &relay->attempt, event);
}

/* Ends ATTEMPT of RELAY and reports EVENT, or none, to the target's health
   record.  */
void
relay_attempt_end (const struct relay *relay, struct relay_attempt *attempt,
                   enum health_event event)
{
  struct reg_target *target = attempt->target;

  if (attempt->call != NULL)
    out_call_cancel (attempt->call);
  attempt->call = NULL;
  if (target == NULL)
    return;
  relay_work_end (relay->router->fleet, attempt);
  attempt->target = NULL;
  health_end_request (&target->health, attempt->is_trial);
  if (event < HEALTH_EVENT_COUNT)
    reg_record_outcome (target, event, clk_now (clk_monotonic ()));
  reg_request_end (target);
}

/* Frees what was received in ATTEMPT, which has ended, and zeroes it.  */
void
relay_attempt_clear (struct relay_attempt *attempt)
{
  if (attempt->response_fields != NULL)
    g_string_free (attempt->response_fields, TRUE);
  if (attempt->buffered_body != NULL)
    g_string_free (attempt->buffered_body, TRUE);
  if (attempt->partial_event != NULL)
    g_string_free (attempt->partial_event, TRUE);
  buf_release (BUF_RECEIVED, &attempt->body_share);
  buf_release (BUF_RECEIVED, &attempt->event_share);
  memset (attempt, 0, sizeof *attempt);
}

/* Sets RELAY's timer to its deadline or to what is due before: the end of a
   silent attempt that is being replaced, the next look for a replacement, or
   the read timeout of the current attempt.  */
void
relay_arm_timer (struct relay *relay)
{
  struct timeout_state state
      = { .kind = relay->route->kind,
          .repeatable = rt_repeatable (relay->route),
          .is_last_attempt = relay->sends >= relay->route->attempts_max,
          .objective_ms = relay->route->objective_ms,
          .pause_ms = relay->route->pause_ms,
          .events = relay->events.forwarded };
  int64_t read_timeout_ms = timeout_read_ms (&state);
  clk_ms now = clk_now (clk_monotonic ());
  clk_ms expires_ms = relay->deadline_ms;

  if (relay->kept.target != NULL)
    expires_ms = MIN (expires_ms, relay->kept_until_ms);
  else if (relay->attempt.is_silent)
    expires_ms = MIN (expires_ms, relay->look_again_ms);
  else if (relay->attempt.target != NULL && relay->attempt.target->is_peer)
    expires_ms = MIN (expires_ms, now + HOP_CHECK_MS);
  else if (read_timeout_ms > 0 && !relay->attempt.backpressure.is_paused
           && relay->attempt.last_received_ms + read_timeout_ms < expires_ms)
    expires_ms = relay->attempt.last_received_ms + read_timeout_ms;
  ev_timer_stop (relay->router->loop, &relay->timer);
  if (expires_ms == INT64_MAX)
    return;
  ev_timer_set (&relay->timer,
                (double)MAX (expires_ms - now, 0) / CLK_MS_PER_S, 0);
  ev_timer_start (relay->router->loop, &relay->timer);
}

/* Returns whether the current attempt of RELAY, a trial, has got nothing of a
   response.  */
static int
was_silent_trial (const struct relay *relay)
{
  const struct relay_attempt *attempt = &relay->attempt;

  return attempt->is_trial && attempt->status == 0 && attempt->call != NULL
         && out_call_was_sent (attempt->call);
}

/* Handles an expired deadline, an expired read timeout, or a call that could
   not be started.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct relay *relay = timer->data;
  clk_ms now = clk_now (clk_monotonic ());

  (void)loop;
  (void)events;
  if (relay->waits_for_reach)
    {
      relay_dispatch (relay);
      return;
    }
  if (relay->turn.flow != NULL)
    {
      relay_wait_expire (relay);
      return;
    }
  if (relay->waits)
    {
      relay_origin_resolve (relay);
      return;
    }
  if (relay->attempt.call == NULL && relay->attempt.target != NULL)
    {
      relay_handle_fault (relay, RETRY_FAULT_CONNECT);
      return;
    }
  if (now < relay->deadline_ms)
    {
      if (relay_waits_for_input (relay) || relay_waits_for_body (relay))
        return;
      if (relay->attempt.not_run)
        relay_handle_fault (relay, RETRY_FAULT_REJECTED);
      else if (relay->kept.target != NULL)
        relay_end_overlap (relay);
      else if (relay->attempt.target->is_peer)
        relay_hop_check (relay);
      else
        relay_handle_silence (relay);
      return;
    }
  if (relay->attempt.call != NULL && out_call_was_sent (relay->attempt.call)
      && !relay->attempt.not_run)
    relay->may_have_run = 1;
  relay_end_attempt (relay, was_silent_trial (relay) ? HEALTH_TIMED_OUT
                                                     : HEALTH_EVENT_COUNT);
  relay_refuse (relay,
                relay->may_have_run ? RELAY_DEADLINE : RELAY_DEADLINE_UNSENT);
}

/* Handles a client that has disconnected: cancels the attempt.  */
void
relay_on_client_disconnected (struct client_listener *listener, void *request)
{
  struct relay *relay = request;

  (void)listener;
  relay->client = NULL;
  metric_inc (METRIC_CLIENT_DISCONNECTED);
  relay_end_attempt (relay, HEALTH_EVENT_COUNT);
  relay_finish (relay, "caller_gone");
}

/* Responds to a request that the end of the process would cut off without a
   response.  */
void
relay_on_stop (struct client_listener *listener, void *request)
{
  struct relay *relay = request;
  int may_have_run = relay->may_have_run || relay->kept.target != NULL
                     || (relay->attempt.call != NULL
                         && out_call_was_sent (relay->attempt.call));

  (void)listener;
  if (!relay->head_sent)
    relay_refuse (relay, may_have_run ? RELAY_DEADLINE : RELAY_STOPPING);
}

/* Logs OUTCOME, ends RELAY with the attempts that are in progress, and frees
   it.  */
void
relay_finish (struct relay *relay, const char *outcome)
{
  clk_ms now = clk_now (clk_monotonic ());

  relay_end_cancel (relay);
  relay_end_attempt (relay, HEALTH_EVENT_COUNT);
  relay_drop_kept (relay, HEALTH_EVENT_COUNT);
  if (!relay->has_begun && !relay->takes_up)
    relay_origin_end (relay);
  metric_observe (METRIC_HIST_TOTAL_MS, now - relay->arrived_ms);
  relay_log_outcome (relay, outcome, now);
  relay_free (relay);
}

/* Frees RELAY, which must not have an attempt.  */
static void
relay_free (struct relay *relay)
{
  ev_timer_stop (relay->router->loop, &relay->timer);
  relay_wait_leave (relay);
  router_request_ended (relay->router);
  rt_unref (relay->table);
  g_free (relay->parts);
  http_head_free (relay->head);
  if (relay->body != NULL)
    g_string_free (relay->body, TRUE);
  relay_attempt_clear (&relay->attempt);
  relay_accept_end (relay);
  g_free (relay);
}
