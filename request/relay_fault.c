/* Failed attempts: what they say of their target, and what follows.  */
#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  /* For requests that may run more than once.  */
  SENDS_PER_TARGET = 2,
  REJECTIONS_MAX = 2 /* by brittle targets */
};

static uint32_t max_sends (const struct relay *relay);
static void record_fault (struct relay *relay, enum retry_fault fault);
static enum health_event health_event_of (const struct relay *relay,
                                          enum retry_fault fault);
static int is_brittle (const struct relay *relay);
static void give_up (struct relay *relay,
                     const struct retry_decision *decision,
                     enum retry_fault fault);

static const enum health_event health_events[RETRY_FAULT_COUNT]
    = { [RETRY_FAULT_CONNECT] = HEALTH_CONNECT_FAILED,
        [RETRY_FAULT_ERROR_STATUS] = HEALTH_SERVER_ERROR,
        [RETRY_FAULT_REJECTED] = HEALTH_REJECTED,
        [RETRY_FAULT_DISCONNECTED] = HEALTH_DISCONNECTED,
        [RETRY_FAULT_READ_TIMEOUT] = HEALTH_TIMED_OUT,
        [RETRY_FAULT_INVALID_RESPONSE] = HEALTH_DISCONNECTED,
        [RETRY_FAULT_UNREAD] = HEALTH_EVENT_COUNT };

/* Returns how many attempts RELAY may make.  Targets mostly repeat an error
   response, so the error response of the last target that the route allows is
   final.  */
static uint32_t
max_sends (const struct relay *relay)
{
  const struct rt_route *route = relay->route;

  if (!rt_repeatable (route))
    return route->attempts_max;
  return relay->error_responses >= route->attempts_max
             ? relay->sends
             : route->attempts_max * SENDS_PER_TARGET;
}

/* Returns whether the current target is brittle.  */
static int
is_brittle (const struct relay *relay)
{
  const struct reg_target *target = relay->attempt.target;

  return !target->is_peer
         && room_is_brittle (target->room_service, clk_now (clk_monotonic ()));
}

/* Returns the health event of the current target that corresponds to FAULT, or
   HEALTH_EVENT_COUNT for a rejection that a limit answers to: the room of a
   brittle one, or that of a service that is short of capacity, or a pause.  */
static enum health_event
health_event_of (const struct relay *relay, enum retry_fault fault)
{
  if (relay->attempt.asked_pause
      && (fault == RETRY_FAULT_REJECTED || fault == RETRY_FAULT_ERROR_STATUS))
    return HEALTH_EVENT_COUNT;
  if (fault == RETRY_FAULT_REJECTED
      && relay->attempt.status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return HEALTH_MISDIRECTED;
  if (fault == RETRY_FAULT_REJECTED
      && (is_brittle (relay) || relay_wait_is_rejection (relay)))
    return HEALTH_EVENT_COUNT;
  return health_events[fault];
}

/* Decides what follows FAULT of the current attempt.  Draws on the retry
   budget if that is another attempt.  */
void
relay_decide (struct relay *relay, enum retry_fault fault,
              struct retry_decision *decision)
{
  struct retry_state state = { .fault = fault,
                               .repeatable = rt_repeatable (relay->route),
                               .is_stream = relay->route->kind == RT_STREAM,
                               .may_have_run = relay->may_have_run,
                               .tokens = relay->events.forwarded,
                               .attempts = relay->sends,
                               .attempts_max = max_sends (relay),
                               .resumes_at_any_target = 1,
                               .deadline_ms = relay->deadline_ms };

  decision->action = RETRY_GIVE_UP;
  decision->reason = RETRY_REASON_ATTEMPTS;
  if ((relay->head_sent && !relay->head_is_stream)
      || (relay->connect_failures >= RELAY_CONNECT_FAILURES_MAX
          && !relay_hop_may_help (relay))
      || relay_hop_is_final (relay, fault)
      || relay->rejections >= REJECTIONS_MAX)
    return;
  retry_decide (&state, router_retry_budget (relay->router, relay->service),
                clk_now (clk_monotonic ()), decision);
}

/* Records what FAULT of the current attempt says of its target and of
   RELAY.  */
static void
record_fault (struct relay *relay, enum retry_fault fault)
{
  struct reg_target *target = relay->attempt.target;

  if (!target->is_peer && fault != RETRY_FAULT_REJECTED
      && fault != RETRY_FAULT_ERROR_STATUS && fault != RETRY_FAULT_UNREAD)
    fleet_pace_failure (relay->router->fleet, target, relay->attempt.sent_ms);
  if (target->is_peer)
    relay_hop_fail (relay, fault);
  else if (fault == RETRY_FAULT_DISCONNECTED
           || (fault == RETRY_FAULT_CONNECT
               && relay->attempt.is_new_connection))
    router_reach_fail (relay->router, target);
  relay_parts_suspect (relay, fault);
  if (fault == RETRY_FAULT_CONNECT)
    {
      relay->sends--;
      relay->connect_failures++;
      if (!target->is_peer)
        relay_mark_unreachable (relay);
    }
  else if (fault != RETRY_FAULT_REJECTED)
    relay->may_have_run = 1;
  else if (is_brittle (relay) && !relay->attempt.asked_pause)
    relay->rejections++;
  else if (relay_wait_is_rejection (relay))
    relay_wait_reject (relay);
  relay->error_responses += fault == RETRY_FAULT_ERROR_STATUS;
  metric_inc (retry_counters[fault]);
}

/* Handles FAULT of the current attempt: starts another attempt, returns to the
   one that it was to replace, or ends the request.  */
void
relay_handle_fault (struct relay *relay, enum retry_fault fault)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct retry_decision decision = { .action = RETRY_WAIT };

  record_fault (relay, fault);
  if (relay->kept.target != NULL)
    {
      relay_log_fault (relay, fault, &decision, now);
      relay_end_attempt (relay, health_event_of (relay, fault));
      relay_return_to_kept (relay);
      relay_handle_silence (relay);
      return;
    }
  relay_decide (relay, fault, &decision);
  relay_log_fault (relay, fault, &decision, now);
  if (decision.action == RETRY_GIVE_UP
      && (fault != RETRY_FAULT_REJECTED
          || !relay_wait_again (relay, &decision)))
    {
      give_up (relay, &decision, fault);
      return;
    }
  relay_end_attempt (relay, health_event_of (relay, fault));
  relay_events_reset (relay);
  if (!relay->head_sent && relay->attempt.buffered_body != NULL)
    g_string_truncate (relay->attempt.buffered_body, 0);
  relay_dispatch (relay);
}

/* Ends RELAY after FAULT without another attempt.  */
static void
give_up (struct relay *relay, const struct retry_decision *decision,
         enum retry_fault fault)
{
  enum relay_refusal refusal = RELAY_TARGET_FAILED;
  int is_hop = relay->attempt.target->is_peer;

  /* The target's error response is passed on to the client, unless its status
     would be a promise that the target has not given.  */
  if (fault == RETRY_FAULT_ERROR_STATUS && !relay->head_sent
      && !relay_promises_not_run (relay->attempt.status))
    {
      relay_deliver_response (relay);
      return;
    }
  relay_end_attempt (relay, health_event_of (relay, fault));
  if (!relay->may_have_run)
    refusal = fault != RETRY_FAULT_REJECTED ? RELAY_NO_CONNECTION
              : is_hop                      ? RELAY_HOP_REFUSED
              : relay->attempt.asked_pause  ? RELAY_PAUSED
                                            : RELAY_TARGET_FULL;
  else if (decision->reason == RETRY_REASON_BUDGET)
    refusal = RELAY_RETRY_BUDGET;
  relay_refuse (relay, refusal);
}
