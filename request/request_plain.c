/* Load balancing of plain services.  Plain calls are short and numerous, so
   instances exchange no messages about them: each instance balances its own
   calls and keeps its own circuit breakers. */
#include <ck_pr.h>

#include "libconnection.h"

enum
{
  BREAKER_FAILURE_THRESHOLD = 2,
  BREAKER_OPEN_MIN_MS = 250,
  BREAKER_OPEN_MAX_MS = 4000
};

/* State of one target, from this instance's own calls. */
struct plain_state
{
  int32_t in_flight;
  int32_t failures;
  int64_t breaker_open_ms;
  clk_ms breaker_retry_at_ms;
};

static struct plain_state *get_state (struct server *server, uint64_t target);
static int accepts_call (struct req *req, const struct ver_target *target,
                         struct plain_state *state, clk_ms now);

/* Chooses the target of SERVICE with the fewest calls in flight from this
   instance among those that accept calls, and counts the call.  Returns
   the target's identifier, or 0 if there is none.  Ties are broken at
   random.  */
uint64_t
plain_choose_target (struct req *req, const struct ver_snapshot *version,
                     const struct ver_service *service)
{
  struct server *server = req->worker->server;
  clk_ms now = clk_now (clk_monotonic ());
  struct plain_state *best = NULL;
  uint64_t chosen = 0;
  int ties = 0;

  pthread_mutex_lock (&server->plain_lock);
  for (uint32_t i = 0; i < service->target_count; i++)
    {
      const struct ver_target *target
          = ver_target_at (version, service->first_target + i);
      struct plain_state *state = get_state (server, target->id);

      if (!accepts_call (req, target, state, now))
        continue;
      if (best != NULL && state->in_flight > best->in_flight)
        continue;
      ties
          = best != NULL && state->in_flight == best->in_flight ? ties + 1 : 1;
      if (ties > 1 && g_rand_int_range (req->worker->random, 0, ties) != 0)
        continue;
      best = state;
      chosen = target->id;
    }
  if (best != NULL)
    {
      best->in_flight++;
      if (best->failures >= BREAKER_FAILURE_THRESHOLD)
        best->breaker_retry_at_ms = now + best->breaker_open_ms;
    }
  pthread_mutex_unlock (&server->plain_lock);
  return chosen;
}

/* Ends a call to TARGET and updates its circuit breaker with OUTCOME.  */
void
plain_release_target (struct server *server, uint64_t target,
                      enum adm_outcome outcome)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct plain_state *state;

  pthread_mutex_lock (&server->plain_lock);
  state = get_state (server, target);
  state->in_flight--;
  if (outcome == ADM_OUTCOME_OK)
    {
      state->failures = 0;
      state->breaker_open_ms = 0;
    }
  else if (outcome == ADM_OUTCOME_FAILED
           && ++state->failures >= BREAKER_FAILURE_THRESHOLD)
    {
      state->breaker_open_ms
          = CLAMP (state->breaker_open_ms * 2, BREAKER_OPEN_MIN_MS,
                   BREAKER_OPEN_MAX_MS);
      state->breaker_retry_at_ms = now + state->breaker_open_ms;
    }
  pthread_mutex_unlock (&server->plain_lock);
}

void
plain_state_free (gpointer state)
{
  g_free (state);
}

/* Returns whether TARGET accepts a call of REQ: it is not leaving, REQ has not
   failed at it, and its circuit breaker is closed or due for a probe.  */
static int
accepts_call (struct req *req, const struct ver_target *target,
              struct plain_state *state, clk_ms now)
{
  if (target->leaving || target->weight <= 0
      || peer_is_leaving (req->worker->server->peer, target->id))
    return 0;
  for (size_t i = 0; i < req->excluded_count; i++)
    if (req->excluded[i] == target->id)
      return 0;
  return state->failures < BREAKER_FAILURE_THRESHOLD
         || now >= state->breaker_retry_at_ms;
}

/* Returns the state of TARGET, created at first use.  The caller holds
   plain_lock.  */
static struct plain_state *
get_state (struct server *server, uint64_t target)
{
  struct plain_state *state = g_hash_table_lookup (server->plain, &target);
  uint64_t *key;

  if (state != NULL)
    return state;
  state = g_new0 (struct plain_state, 1);
  key = g_new (uint64_t, 1);
  *key = target;
  g_hash_table_insert (server->plain, key, state);
  return state;
}
