/* Lifecycle of a relayed request: routing, target selection, attempts,
   completion. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "ibisloom/timeout.h"
#include "librelay.h"

enum
{
  /* Several round trips between failure domains.  */
  CONNECT_TIMEOUT_MS = 300,
  CONNECT_FAILURES_MAX = 4,
  /* For requests that may run more than once.  */
  SENDS_PER_TARGET = 2,
  /* The last part of a prompt is specific to one request.  */
  UNSHARED_PARTS = 1,
  DECIMAL_BASE = 10,
  /* Time per token of an engine that is not overloaded.  */
  TOKEN_INTERVAL_MS = 4
};

/* Fraction of the configured retry ratio that each request deposits in the
   retry budget.  The rest covers requests that are counted in another
   window.  */
static const double RETRY_RATIO_FRACTION = 0.85;

/* Weight of the latest request in the mean size of contexts.  */
static const double CONTEXT_MEAN_WEIGHT = 0.02;

static void *on_request (struct client_listener *listener,
                         struct client *client, struct http_head *head,
                         GString *body);
static void on_client_disconnected (struct client_listener *listener,
                                    void *request);
static void on_drained (struct client_listener *listener, void *request);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static int prepare_request (struct relay *relay, enum relay_refusal *refusal);
static int64_t expected_duration_ms (const struct relay *relay);
static int authenticate (struct relay *relay);
static void set_deadline (struct relay *relay);
static void read_prompt (struct relay *relay);
static void set_fingerprint (struct relay *relay, const char *host);
static void start_attempt (struct relay *relay, struct reg_target *target);
static uint32_t max_sends (const struct relay *relay);
static void record_fault (struct relay *relay, enum retry_fault fault);
static enum health_event health_event_of (const struct relay *relay,
                                          enum retry_fault fault);
static void give_up (struct relay *relay,
                     const struct retry_decision *decision,
                     enum retry_fault fault);
static void relay_free (struct relay *relay);

const struct client_listener_ops relay_listener_ops
    = { on_request, on_client_disconnected, on_drained };

static const enum health_event health_events[RETRY_FAULT_COUNT]
    = { [RETRY_FAULT_CONNECT] = HEALTH_CONNECT_FAILED,
        [RETRY_FAULT_ERROR_STATUS] = HEALTH_SERVER_ERROR,
        [RETRY_FAULT_REJECTED] = HEALTH_REJECTED,
        [RETRY_FAULT_DISCONNECTED] = HEALTH_DISCONNECTED,
        [RETRY_FAULT_READ_TIMEOUT] = HEALTH_TIMED_OUT,
        [RETRY_FAULT_INVALID_RESPONSE] = HEALTH_DISCONNECTED };

/* Handles a complete request of CLIENT.  Returns the relay, which the
   listener keeps only while the response is pending.  */
static void *
on_request (struct client_listener *listener, struct client *client,
            struct http_head *head, GString *body)
{
  struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, request_listener));
  struct relay *relay = g_new0 (struct relay, 1);
  enum relay_refusal refusal;

  relay->router = router;
  relay->client = client;
  relay->head = head;
  relay->body = body;
  relay->arrived_ms = clk_now (clk_monotonic ());
  relay->deadline_ms = INT64_MAX;
  ev_timer_init (&relay->timer, on_timer, 0, 0);
  relay->timer.data = relay;
  router->open_requests++;
  metric_inc (METRIC_REQUESTS);
  if (!prepare_request (relay, &refusal))
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
  retry_budget_deposit (router_retry_budget (router, relay->service),
                        router->settings->retry_ratio * RETRY_RATIO_FRACTION);
  relay_dispatch (relay);
}

/* Looks up the route and the customer of RELAY in the configuration.
   Returns 1, or 0 with REFUSAL set if the request is to be refused.  */
static int
prepare_request (struct relay *relay, enum relay_refusal *refusal)
{
  struct router *router = relay->router;
  const char *const *field = router->dialect->field;
  const char *host = http_head_get (relay->head, "Host");

  relay->id = http_head_get (relay->head, field[DIALECT_ATTEMPT_ID]);
  *refusal = RELAY_NOT_CONFIGURED;
  if (!router_has_read_store (router))
    return 0;
  *refusal = RELAY_BAD_REQUEST;
  if (host == NULL || relay->id == NULL
      || http_head_count (relay->head, "Host") != 1
      || http_head_count (relay->head, field[DIALECT_ATTEMPT_ID]) != 1)
    return 0;
  relay->table = rt_ref (router->table);
  relay->route = rt_match (relay->table, host, http_head_url (relay->head));
  *refusal = RELAY_UNKNOWN_ROUTE;
  if (relay->route == NULL)
    return 0;
  *refusal = RELAY_UNKNOWN_KEY;
  if (!authenticate (relay))
    return 0;
  set_deadline (relay);
  read_prompt (relay);
  set_fingerprint (relay, host);
  *refusal = RELAY_STOPPING;
  if (!router_may_start (router, expected_duration_ms (relay)))
    return 0;
  relay_origin_read (relay);
  return 1;
}

/* Estimates the duration of RELAY, in milliseconds.  */
static int64_t
expected_duration_ms (const struct relay *relay)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (relay->head, dialect->field[DIALECT_TOKEN_USAGE]);
  int64_t tokens_out;

  if (relay->route->kind != RT_STREAM || value == NULL
      || dialect->tokens_out (value, &tokens_out) != 0)
    return relay->route->objective_ms;
  return relay->route->objective_ms + tokens_out * TOKEN_INTERVAL_MS;
}

/* Looks up the customer by the request's API key.  Returns whether the
   request is authorized: keys are not configured, the key is known, or the
   route needs none.  */
static int
authenticate (struct relay *relay)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *credential
      = http_head_get (relay->head, dialect->field[DIALECT_CREDENTIAL]);
  const char *key = credential ? dialect->key (credential) : NULL;

  if (g_hash_table_size (relay->table->keys) == 0)
    return 1;
  if (key != NULL)
    relay->customer = rt_customer (relay->table, key);
  return relay->customer != NULL || relay->route->allows_anonymous;
}

/* Sets RELAY's deadline to the earlier of the client's and the route's.  */
static void
set_deadline (struct relay *relay)
{
  const char *value = http_head_get (
      relay->head, relay->router->dialect->field[DIALECT_DEADLINE_MS]);
  int64_t ms = value ? g_ascii_strtoll (value, NULL, DECIMAL_BASE) : INT64_MAX;

  if (relay->route->timeout_ms > 0 && relay->route->timeout_ms < ms)
    ms = relay->route->timeout_ms;
  if (ms < INT64_MAX)
    relay->deadline_ms = relay->arrived_ms + ms;
}

/* Keeps the shared parts of RELAY's prompt, which are all but the last, hashes
   them and sums up their tokens.  */
static void
read_prompt (struct relay *relay)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (relay->head, dialect->field[DIALECT_PROMPT_PARTS]);
  struct dialect_prompt prompt;

  if (value == NULL || dialect->prompt (value, &prompt) != 0
      || prompt.count <= UNSHARED_PARTS)
    return;
  relay->part_count = prompt.count - UNSHARED_PARTS;
  relay->parts = g_memdup2 (prompt.id, relay->part_count * sizeof *prompt.id);
  for (uint32_t i = 0; i < relay->part_count; i++)
    {
      relay->parts[i] &= ~QUAR_REQUEST_BIT;
      relay->context = rank_mix (relay->context, prompt.id[i]);
      relay->context_tokens += prompt.tokens[i];
    }
  relay->router->context_tokens_mean
      += (relay->context_tokens - relay->router->context_tokens_mean)
         * CONTEXT_MEAN_WEIGHT;
}

/* Sets the fingerprint of RELAY, a request to HOST: a request that comes again
   has the same one, whatever its attempt id.  */
static void
set_fingerprint (struct relay *relay, const char *host)
{
  uint64_t path = rank_hash_parts (relay->head->method, host,
                                   http_head_url (relay->head));
  uint64_t caller
      = relay->customer != NULL ? rank_hash (relay->customer->name) : 0;
  uint64_t body = relay->body != NULL
                      ? rank_hash_bytes (relay->body->str, relay->body->len)
                      : 0;

  relay->fingerprint
      = rank_mix (rank_mix (path, caller), body) | QUAR_REQUEST_BIT;
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
  if (!relay_parts_admitted (relay))
    {
      relay_refuse (relay, relay->may_have_run ? RELAY_TARGET_FAILED
                                               : RELAY_QUARANTINED);
      return;
    }
  target = relay_choose_target (relay, now, &choice, &count);
  if (target != NULL)
    relay_send (relay, target, &choice, count);
  else
    {
      relay_log_placement (relay, &choice, count);
      if (relay->may_have_run)
        relay_refuse (relay, RELAY_TARGET_FAILED);
      else
        relay_refuse (
            relay, choice.reason == BAL_ALL_FULL        ? RELAY_ALL_FULL
                   : choice.reason == BAL_RATES_USED_UP ? RELAY_RATES_USED_UP
                   : relay_origin_is_gone (relay)       ? RELAY_VERSION_GONE
                                                        : RELAY_NO_TARGET);
    }
}

/* Starts an attempt at TARGET, which was chosen among so many CANDIDATES for
   the reason in CHOICE.  */
void
relay_send (struct relay *relay, struct reg_target *target,
            const struct bal_choice *choice, size_t candidates)
{
  struct router *router = relay->router;

  if (relay->context != 0
      && affinity_record (router->affinity, relay->context, target->hash,
                          clk_now (clk_monotonic ())))
    fleet_announce_holder (router->fleet, relay->context, target->hash);
  start_attempt (relay, target);
  relay_log_placement (relay, choice, candidates);
}

/* Starts an attempt at TARGET.  If no call can be made, the fault is
   reported by the timer, which expires at once, and not from within this
   function.  */
static void
start_attempt (struct relay *relay, struct reg_target *target)
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
  reg_request_start (target);
  fleet_count_request (router->fleet, target);
  relay->attempt.is_trial = (uint8_t)health_begin_request (&target->health);
  relay_mark_tried (relay);
  relay_origin_expect (relay);
  /* On a kept connection, an earlier response to the same request could come
     once more; the attempt id would not tell it from the new one.  */
  request.force_new_connection
      = !rt_repeatable (relay->route) || !relay->attempt.is_first_send;
  relay->attempt.sent_ms = now;
  relay->attempt.last_received_ms = now;
  relay->attempt.status = 0;
  relay->attempt.not_run = 0;
  relay->attempt.is_invalid = 0;
  relay->attempt.is_silent = 0;
  relay->attempt.is_paused = 0;
  relay->attempt.input_awaited = 0;
  relay->attempt.first_event_ms = 0;
  relay->attempt.parts_succeeded = 0;
  relay->sends++;
  request.head = relay_build_request_head (relay, now);
  metric_inc (METRIC_ATTEMPTS);
  relay->attempt.call
      = out_call_start (&router->pool, &request, &relay_upstream_ops, relay);
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
  relay_attempt_end (&relay->attempt, event);
}

/* Ends ATTEMPT and reports EVENT, or none, to the target's health record.  */
void
relay_attempt_end (struct relay_attempt *attempt, enum health_event event)
{
  struct reg_target *target = attempt->target;

  if (attempt->call != NULL)
    out_call_cancel (attempt->call);
  attempt->call = NULL;
  if (target == NULL)
    return;
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
  memset (attempt, 0, sizeof *attempt);
}

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

/* Returns the health event of the current target that corresponds to
   FAULT.  */
static enum health_event
health_event_of (const struct relay *relay, enum retry_fault fault)
{
  if (fault == RETRY_FAULT_REJECTED
      && relay->attempt.status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return HEALTH_MISDIRECTED;
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
      || relay->connect_failures >= CONNECT_FAILURES_MAX)
    return;
  retry_decide (&state, router_retry_budget (relay->router, relay->service),
                clk_now (clk_monotonic ()), decision);
}

/* Records what FAULT of the current attempt says of its target and of
   RELAY.  */
static void
record_fault (struct relay *relay, enum retry_fault fault)
{
  relay_parts_suspect (relay, fault);
  if (fault == RETRY_FAULT_CONNECT)
    {
      relay->sends--;
      relay->connect_failures++;
      relay_mark_unreachable (relay);
    }
  else if (fault != RETRY_FAULT_REJECTED)
    relay->may_have_run = 1;
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
  if (decision.action == RETRY_GIVE_UP)
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

  /* The target's error response is passed on to the client.  */
  if (fault == RETRY_FAULT_ERROR_STATUS && !relay->head_sent)
    {
      relay_deliver_response (relay);
      return;
    }
  relay_end_attempt (relay, health_event_of (relay, fault));
  if (!relay->may_have_run)
    refusal = fault == RETRY_FAULT_REJECTED ? RELAY_TARGET_FULL
                                            : RELAY_NO_CONNECTION;
  else if (decision->reason == RETRY_REASON_BUDGET)
    refusal = RELAY_RETRY_BUDGET;
  relay_refuse (relay, refusal);
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
  else if (read_timeout_ms > 0 && !relay->attempt.is_paused
           && relay->attempt.last_received_ms + read_timeout_ms < expires_ms)
    expires_ms = relay->attempt.last_received_ms + read_timeout_ms;
  ev_timer_stop (relay->router->loop, &relay->timer);
  if (expires_ms == INT64_MAX)
    return;
  ev_timer_set (&relay->timer,
                (double)MAX (expires_ms - now, 0) / CLK_MS_PER_S, 0);
  ev_timer_start (relay->router->loop, &relay->timer);
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
      if (relay_waits_for_input (relay))
        return;
      if (relay->attempt.not_run)
        relay_handle_fault (relay, RETRY_FAULT_REJECTED);
      else if (relay->kept.target != NULL)
        relay_end_overlap (relay);
      else
        relay_handle_silence (relay);
      return;
    }
  if (relay->attempt.call != NULL && out_call_was_sent (relay->attempt.call)
      && !relay->attempt.not_run)
    relay->may_have_run = 1;
  relay_end_attempt (relay, HEALTH_EVENT_COUNT);
  relay_refuse (relay,
                relay->may_have_run ? RELAY_DEADLINE : RELAY_DEADLINE_UNSENT);
}

/* Handles a client that has disconnected: cancels the attempt.  */
static void
on_client_disconnected (struct client_listener *listener, void *request)
{
  struct relay *relay = request;

  (void)listener;
  relay->client = NULL;
  metric_inc (METRIC_CLIENT_DISCONNECTED);
  relay_end_attempt (relay, HEALTH_EVENT_COUNT);
  relay_finish (relay, "caller_gone");
}

/* Handles a client that has read its pending output: resumes reading from
   the target.  */
static void
on_drained (struct client_listener *listener, void *request)
{
  struct relay *relay = request;

  (void)listener;
  if (relay->attempt.call == NULL || !relay->attempt.is_paused)
    return;
  relay->attempt.is_paused = 0;
  relay->attempt.last_received_ms = clk_now (clk_monotonic ());
  out_call_pause (relay->attempt.call, 0);
  relay_arm_timer (relay);
}

/* Logs OUTCOME, ends RELAY and frees it.  */
void
relay_finish (struct relay *relay, const char *outcome)
{
  clk_ms now = clk_now (clk_monotonic ());

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
  router_request_ended (relay->router);
  rt_unref (relay->table);
  g_free (relay->parts);
  http_head_free (relay->head);
  if (relay->body != NULL)
    g_string_free (relay->body, TRUE);
  relay_attempt_clear (&relay->attempt);
  g_free (relay);
}
