/* Life of a request at the gate: route, place, attempts, end. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/metrics.h"
#include "ibisloom/patience.h"
#include "ibisloom/rank.h"
#include "librelay.h"

enum
{
  CONNECT_MS = 300, /* several round trips between failure domains */
  CONNECTS_MAX = 4,
  SENDS_PER_TARGET = 2, /* of a request that may run more than once */
  PARTS_OWN = 1,        /* the last part of a prompt belongs to one request */
  DECIMAL = 10,
  TOKEN_MS = 4 /* a token of an engine that is not overloaded */
};

/* Part of the ratio of repeats that is used; the rest covers requests that
   are counted in another window.  */
static const double RATIO_PART = 0.85;

static void *on_request (struct caller_site *site, struct caller *caller,
                         struct http_head *head, GString *body);
static void on_gone (struct caller_site *site, void *request);
static void on_drained (struct caller_site *site, void *request);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static int admit (struct rly *rly, enum rly_refusal *refusal);
static int64_t expected_ms (const struct rly *rly);
static int read_customer (struct rly *rly);
static void read_deadline (struct rly *rly);
static void read_context (struct rly *rly);
static struct reg_target *choose (const struct rly *rly, clk_ms now,
                                  struct cho_choice *choice, size_t *count);
static void send_to (struct rly *rly, struct reg_target *target);
static int is_among (const uint64_t *ids, uint32_t count, uint64_t id);
static void exclude (const struct rly *rly, struct cho_candidate *candidates,
                     size_t count);
static int include_tried (const struct rly *rly,
                          struct cho_candidate *candidates, size_t count);
static void note_unreached (struct rly *rly);
static uint32_t sends_max (const struct rly *rly);
static enum tru_event event_of (const struct rly *rly, enum retry_fault fault);
static void give_up (struct rly *rly, const struct retry_decision *decision,
                     enum retry_fault fault);
static void rly_free (struct rly *rly);

const struct caller_site_ops rly_site_ops
    = { on_request, on_gone, on_drained };

static const enum tru_event fault_events[RETRY_FAULT_COUNT] = {
  [RETRY_FAULT_CONNECT] = TRU_NO_CONNECT, [RETRY_FAULT_STATUS] = TRU_ERROR,
  [RETRY_FAULT_BUSY] = TRU_FULL,          [RETRY_FAULT_BROKEN] = TRU_BROKEN,
  [RETRY_FAULT_SILENT] = TRU_SILENT,      [RETRY_FAULT_WRONG] = TRU_BROKEN
};

/* Takes a whole request from CALLER.  */
static void *
on_request (struct caller_site *site, struct caller *caller,
            struct http_head *head, GString *body)
{
  struct gate *gate
      = (struct gate *)((char *)site - offsetof (struct gate, front));
  struct rly *rly = g_new0 (struct rly, 1);
  enum rly_refusal refusal;

  rly->gate = gate;
  rly->caller = caller;
  rly->head = head;
  rly->body = body;
  rly->arrived_ms = clk_now (clk_monotonic ());
  rly->deadline_ms = INT64_MAX;
  ev_timer_init (&rly->timer, on_timer, 0, 0);
  rly->timer.data = rly;
  gate->open_requests++;
  met_inc (MET_REQUESTS);
  if (!admit (rly, &refusal))
    {
      rly_refuse (rly, refusal);
      return NULL;
    }
  rly_place (rly);
  return rly;
}

/* Finds what the configuration says of RLY.  Returns 0 with REFUSAL set if
   it allows none of it.  */
static int
admit (struct rly *rly, enum rly_refusal *refusal)
{
  struct gate *gate = rly->gate;
  const char *const *field = gate->dialect->field;
  const char *host = http_head_get (rly->head, "Host");

  rly->id = http_head_get (rly->head, field[DLC_ATTEMPT_ID]);
  *refusal = RLY_NOT_CONFIGURED;
  if (gate->table == NULL)
    return 0;
  *refusal = RLY_BAD_REQUEST;
  if (host == NULL || rly->id == NULL
      || http_head_times (rly->head, "Host") != 1
      || http_head_times (rly->head, field[DLC_ATTEMPT_ID]) != 1)
    return 0;
  rly->table = rt_ref (gate->table);
  rly->route = rt_match (rly->table, host, http_head_url (rly->head));
  *refusal = RLY_UNKNOWN_ROUTE;
  if (rly->route == NULL)
    return 0;
  *refusal = RLY_UNKNOWN_KEY;
  if (!read_customer (rly))
    return 0;
  read_deadline (rly);
  read_context (rly);
  *refusal = RLY_STOPPING;
  if (!gate_has_time (gate, expected_ms (rly)))
    return 0;
  rly->service = rt_pick_service (rly->route, g_rand_int (rly->gate->random));
  *refusal = RLY_NO_TARGET;
  if (rly->service == NULL)
    return 0;
  retry_budget_deposit (gate_budget (gate, rly->service),
                        gate->settings->retry_ratio * RATIO_PART);
  return 1;
}

/* Returns for how many milliseconds RLY is likely to be under way.  */
static int64_t
expected_ms (const struct rly *rly)
{
  const struct dialect *dialect = rly->gate->dialect;
  const char *value = http_head_get (rly->head, dialect->field[DLC_TOKENS]);
  int64_t tokens_out;

  if (rly->route->kind != RT_STREAM || value == NULL
      || dialect->tokens_out (value, &tokens_out) != 0)
    return rly->route->objective_ms;
  return rly->route->objective_ms + tokens_out * TOKEN_MS;
}

/* Finds the customer by the request's key.  Returns whether it may go on.  */
static int
read_customer (struct rly *rly)
{
  const struct dialect *dialect = rly->gate->dialect;
  const char *credential
      = http_head_get (rly->head, dialect->field[DLC_CREDENTIAL]);
  const char *key = credential ? dialect->key (credential) : NULL;

  if (g_hash_table_size (rly->table->keys) == 0)
    return 1;
  if (key != NULL)
    rly->customer = rt_customer (rly->table, key);
  return rly->customer != NULL || rly->route->open;
}

/* Sets when RLY ends at the latest: the caller's time, or the route's.  */
static void
read_deadline (struct rly *rly)
{
  const char *value
      = http_head_get (rly->head, rly->gate->dialect->field[DLC_DEADLINE_MS]);
  int64_t ms = value ? g_ascii_strtoll (value, NULL, DECIMAL) : INT64_MAX;

  if (rly->route->timeout_ms > 0 && rly->route->timeout_ms < ms)
    ms = rly->route->timeout_ms;
  if (ms < INT64_MAX)
    rly->deadline_ms = rly->arrived_ms + ms;
}

/* Sets the identity of RLY's context: the parts of its prompt but the last,
   which is its own.  */
static void
read_context (struct rly *rly)
{
  const struct dialect *dialect = rly->gate->dialect;
  const char *value
      = http_head_get (rly->head, dialect->field[DLC_PROMPT_PARTS]);
  struct dlc_prompt prompt;

  if (value == NULL || dialect->prompt (value, &prompt) != 0)
    return;
  for (uint32_t i = 0; i + PARTS_OWN < prompt.count; i++)
    {
      rly->context = rank_mix (rly->context, prompt.id[i]);
      rly->context_tokens += prompt.tokens[i];
    }
}

/* Chooses a target for RLY and sends it there.  */
void
rly_place (struct rly *rly)
{
  struct gate *gate = rly->gate;
  struct cho_choice choice;
  struct reg_target *target;
  clk_ms now = clk_now (clk_monotonic ());
  size_t count;

  if (now >= rly->deadline_ms)
    {
      rly_refuse (rly, rly->may_have_run ? RLY_DEADLINE : RLY_DEADLINE_UNSENT);
      return;
    }
  target = choose (rly, now, &choice, &count);
  if (target == NULL)
    {
      rly_log_place (rly, &choice, count);
      if (rly->may_have_run)
        rly_refuse (rly, RLY_TARGET_FAILED);
      else
        rly_refuse (rly, choice.reason == CHO_FULL ? RLY_FULL : RLY_NO_TARGET);
      return;
    }
  if (rly->context != 0
      && ctx_note (gate->contexts, rly->context, target->hash, now))
    flt_holder (gate->fleet, rly->context, target->hash);
  send_to (rly, target);
  rly_log_place (rly, &choice, count);
}

/* Returns the target for RLY's next attempt, or NULL; CHOICE says why, and
   COUNT among how many.  */
static struct reg_target *
choose (const struct rly *rly, clk_ms now, struct cho_choice *choice,
        size_t *count)
{
  static struct cho_candidate candidates[CHO_CANDIDATES_MAX];
  static struct reg_target *targets[CHO_CANDIDATES_MAX];
  struct gate *gate = rly->gate;
  struct cho_wish wish
      = { .context = rly->context,
          .cap_factor
          = rly->route->has_context ? gate->settings->cap_factor : 0,
          .cap_slack = gate->settings->cap_slack,
          .random = g_rand_int (gate->random) };

  *count = reg_candidates (gate->registry, rly->service, gate->failure_domain,
                           now, candidates, targets, CHO_CANDIDATES_MAX);
  exclude (rly, candidates, *count);
  if (rly->context != 0)
    wish.holders = ctx_find (gate->contexts, rly->context);
  if (cho_pick (&wish, candidates, *count, choice)
      || (include_tried (rly, candidates, *count)
          && cho_pick (&wish, candidates, *count, choice)))
    return targets[choice->index];
  return NULL;
}

/* Starts an attempt at TARGET.  */
static void
send_to (struct rly *rly, struct reg_target *target)
{
  struct gate *gate = rly->gate;
  clk_ms now = clk_now (clk_monotonic ());
  struct out_request request = {
    .address = target->address,
    .body = rly->body ? rly->body->str : NULL,
    .body_length = rly->body ? rly->body->len : 0,
    .connect_ms = CONNECT_MS,
    .fresh = !rt_repeatable (rly->route),
    .is_head = strcmp (rly->head->method, "HEAD") == 0,
  };

  rly->target = target;
  reg_request_start (target);
  rly->is_trial = (uint8_t)tru_begin (&target->trust);
  if (rly->tried_count < RLY_TRIED_MAX
      && !is_among (rly->tried, rly->tried_count, target->hash))
    rly->tried[rly->tried_count++] = target->hash;
  rly->sent_ms = now;
  rly->heard_ms = now;
  rly->status = 0;
  rly->not_run = 0;
  rly->wrong = 0;
  rly->is_resumed = rly->events.passed > 0;
  rly->sends++;
  request.head = rly_request_head (rly, now);
  met_inc (MET_TRIES);
  rly->call = out_start (&gate->pool, &request, &rly_out_ops, rly);
  rly_arm (rly);
  if (rly->call != NULL)
    return;
  ev_timer_stop (gate->loop, &rly->timer);
  ev_timer_set (&rly->timer, 0, 0);
  ev_timer_start (gate->loop, &rly->timer);
}

/* Ends RLY's attempt, of which EVENT is known.  */
void
rly_end_attempt (struct rly *rly, enum tru_event event)
{
  struct reg_target *target = rly->target;

  if (rly->call != NULL)
    out_cancel (rly->call);
  rly->call = NULL;
  if (target == NULL)
    return;
  rly->target = NULL;
  tru_end (&target->trust, rly->is_trial);
  if (event < TRU_EVENT_COUNT)
    tru_note (&target->trust, event, clk_now (clk_monotonic ()));
  reg_request_end (target);
}

/* Returns how often RLY may be sent.  What one target answers with an error,
   it mostly does again: a route's last target that does so has the last
   word.  */
static uint32_t
sends_max (const struct rly *rly)
{
  const struct rt_route *route = rly->route;

  if (!rt_repeatable (route))
    return route->attempts_max;
  return rly->errors >= route->attempts_max
             ? rly->sends
             : route->attempts_max * SENDS_PER_TARGET;
}

/* Returns what FAULT says about the target at hand.  */
static enum tru_event
event_of (const struct rly *rly, enum retry_fault fault)
{
  if (fault == RETRY_FAULT_BUSY
      && rly->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return TRU_MISTAKEN;
  return fault_events[fault];
}

/* Decides what follows FAULT of the attempt at hand, and does it.  */
void
rly_fault (struct rly *rly, enum retry_fault fault)
{
  struct gate *gate = rly->gate;
  clk_ms now = clk_now (clk_monotonic ());
  struct retry_state state = { .fault = fault,
                               .repeatable = rt_repeatable (rly->route),
                               .is_stream = rly->route->kind == RT_STREAM,
                               .may_have_run = rly->may_have_run,
                               .tokens = rly->events.passed,
                               .resumes_anywhere = 1,
                               .deadline_ms = rly->deadline_ms };
  struct retry_decision decision;

  if (fault == RETRY_FAULT_CONNECT)
    {
      rly->sends--;
      rly->connects++;
      note_unreached (rly);
    }
  else if (fault != RETRY_FAULT_BUSY)
    rly->may_have_run = 1;
  rly->errors += fault == RETRY_FAULT_STATUS;
  state.tries = rly->sends;
  state.tries_max = sends_max (rly);
  retry_decide (&state, gate_budget (gate, rly->service), now, &decision);
  if (rly->begun && (rly->route->kind != RT_STREAM || !rly->is_events))
    decision.action = RETRY_GIVE_UP;
  if (rly->connects >= CONNECTS_MAX)
    decision.action = RETRY_GIVE_UP;
  met_inc (retry_counters[fault]);
  rly_log_fault (rly, fault, &decision, now);
  if (decision.action == RETRY_GIVE_UP)
    {
      give_up (rly, &decision, fault);
      return;
    }
  rly_end_attempt (rly, event_of (rly, fault));
  rly_events_reset (rly);
  if (!rly->begun && rly->buffered != NULL)
    g_string_truncate (rly->buffered, 0);
  rly_place (rly);
}

/* Ends RLY after FAULT without a whole answer.  */
static void
give_up (struct rly *rly, const struct retry_decision *decision,
         enum retry_fault fault)
{
  enum rly_refusal refusal = RLY_TARGET_FAILED;

  /* An error that the target told is the answer.  */
  if (fault == RETRY_FAULT_STATUS && !rly->begun)
    {
      rly_deliver (rly);
      return;
    }
  rly_end_attempt (rly, event_of (rly, fault));
  if (!rly->may_have_run)
    refusal = fault == RETRY_FAULT_BUSY ? RLY_TARGET_FULL : RLY_NO_CONNECTION;
  else if (decision->reason == RETRY_REASON_BUDGET)
    refusal = RLY_RETRY_BUDGET;
  rly_refuse (rly, refusal);
}

/* Sets RLY's timer to what comes first: its end, or a silence too long.  */
void
rly_arm (struct rly *rly)
{
  struct pat_state state = { .kind = rly->route->kind,
                             .repeatable = rt_repeatable (rly->route),
                             .is_last = rly->sends >= rly->route->attempts_max,
                             .objective_ms = rly->route->objective_ms,
                             .pause_ms = rly->route->pause_ms,
                             .events = rly->events.passed };
  int64_t silence_ms = pat_silence_ms (&state);
  clk_ms now = clk_now (clk_monotonic ());
  clk_ms at = rly->deadline_ms;

  if (silence_ms > 0 && rly->heard_ms + silence_ms < at)
    at = rly->heard_ms + silence_ms;
  ev_timer_stop (rly->gate->loop, &rly->timer);
  if (at == INT64_MAX)
    return;
  ev_timer_set (&rly->timer, (double)MAX (at - now, 0) / CLK_MS_PER_S, 0);
  ev_timer_start (rly->gate->loop, &rly->timer);
}

/* RLY's time is over, or its target is silent, or none could be called.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct rly *rly = timer->data;
  clk_ms now = clk_now (clk_monotonic ());

  (void)loop;
  (void)events;
  if (rly->call == NULL && rly->target != NULL)
    {
      rly_fault (rly, RETRY_FAULT_CONNECT);
      return;
    }
  if (now < rly->deadline_ms)
    {
      rly_fault (rly, RETRY_FAULT_SILENT);
      return;
    }
  if (rly->call != NULL && out_was_sent (rly->call))
    rly->may_have_run = 1;
  rly_end_attempt (rly, TRU_EVENT_COUNT);
  rly_refuse (rly, rly->may_have_run ? RLY_DEADLINE : RLY_DEADLINE_UNSENT);
}

/* The caller is gone: its work is stopped.  */
static void
on_gone (struct caller_site *site, void *request)
{
  struct rly *rly = request;

  (void)site;
  rly->caller = NULL;
  met_inc (MET_CLIENT_GONE);
  rly_end_attempt (rly, TRU_EVENT_COUNT);
  rly_finish (rly, "caller_gone");
}

/* The caller has taken what it was sent: its target may go on.  */
static void
on_drained (struct caller_site *site, void *request)
{
  struct rly *rly = request;

  (void)site;
  if (rly->call != NULL)
    out_pause (rly->call, 0);
}

/* Ends RLY with OUTCOME and frees it.  */
void
rly_finish (struct rly *rly, const char *outcome)
{
  clk_ms now = clk_now (clk_monotonic ());

  met_observe (MET_HIST_TOTAL_MS, now - rly->arrived_ms);
  rly_log_outcome (rly, outcome, now);
  rly_free (rly);
}

/* Frees RLY.  */
static void
rly_free (struct rly *rly)
{
  ev_timer_stop (rly->gate->loop, &rly->timer);
  gate_request_ended (rly->gate);
  rt_unref (rly->table);
  http_head_free (rly->head);
  if (rly->body != NULL)
    g_string_free (rly->body, TRUE);
  if (rly->fields != NULL)
    g_string_free (rly->fields, TRUE);
  if (rly->buffered != NULL)
    g_string_free (rly->buffered, TRUE);
  if (rly->events.partial != NULL)
    g_string_free (rly->events.partial, TRUE);
  g_free (rly);
}

/* Returns whether ID is one of COUNT IDS.  */
static int
is_among (const uint64_t *ids, uint32_t count, uint64_t id)
{
  for (uint32_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}

/* Excludes those of COUNT CANDIDATES that RLY may not go to: targets that it
   could not reach, and targets that had it already, unless it was at as many
   as its route allows; then only those may have it again.  */
static void
exclude (const struct rly *rly, struct cho_candidate *candidates, size_t count)
{
  int only_tried = rly->tried_count >= rly->route->attempts_max;

  for (size_t i = 0; i < count; i++)
    {
      int tried = is_among (rly->tried, rly->tried_count, candidates[i].id);

      candidates[i].excluded
          = tried != only_tried
            || is_among (rly->unreached, rly->unreached_count,
                         candidates[i].id);
    }
}

/* Lets RLY go once more to targets that had it, where no other is left.
   Returns whether there are any.  */
static int
include_tried (const struct rly *rly, struct cho_candidate *candidates,
               size_t count)
{
  int any = 0;

  for (size_t i = 0; i < count; i++)
    if (is_among (rly->tried, rly->tried_count, candidates[i].id)
        && !is_among (rly->unreached, rly->unreached_count, candidates[i].id))
      {
        candidates[i].excluded = 0;
        any = 1;
      }
  return any;
}

/* Takes note that the target at hand could not be called.  */
static void
note_unreached (struct rly *rly)
{
  uint64_t id = rly->target->hash;

  if (rly->tried_count > 0 && rly->tried[rly->tried_count - 1] == id)
    rly->tried_count--;
  if (rly->unreached_count < RLY_TRIED_MAX)
    rly->unreached[rly->unreached_count++] = id;
}
