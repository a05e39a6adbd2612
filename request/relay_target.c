/* Target of the next attempt of a relayed request. */
#include "librelay.h"

static void exclude_candidates (const struct relay *relay,
                                struct bal_candidate *candidates,
                                size_t count);
static int readmit_tried (const struct relay *relay,
                          struct bal_candidate *candidates, size_t count);
static int is_live (const struct relay *relay, uint64_t id);
static double rate_min (const struct relay *relay);
static int contains_id (const uint64_t *ids, uint32_t count, uint64_t id);

/* Returns the target for RELAY's next attempt, or NULL.  CHOICE receives the
   reason, and COUNT the number of candidates.  Targets that were sent the
   request before are considered only if no other one is left.  */
struct reg_target *
relay_choose_target (const struct relay *relay, clk_ms now,
                     struct bal_choice *choice, size_t *count)
{
  static struct bal_candidate candidates[BAL_CANDIDATES_MAX];
  static struct reg_target *targets[BAL_CANDIDATES_MAX];
  struct router *router = relay->router;
  struct bal_params params
      = { .context = relay->context,
          .cap_factor
          = relay->route->has_context ? router->settings->cap_factor : 0,
          .cap_slack = router->settings->cap_slack,
          .rate_min = rate_min (relay),
          .random = g_rand_int (router->random) };

  *count = reg_candidates (router->registry, relay->service,
                           router->failure_domain, now, candidates, targets,
                           BAL_CANDIDATES_MAX);
  exclude_candidates (relay, candidates, *count);
  if (relay->context != 0)
    params.holders = affinity_find (router->affinity, relay->context);
  if (!bal_pick (&params, candidates, *count, choice)
      && !(readmit_tried (relay, candidates, *count)
           && bal_pick (&params, candidates, *count, choice)))
    return NULL;
  targets[choice->index]->load_limit = choice->limit;
  return targets[choice->index];
}

/* Returns how many tokens a target with a rate limit must have to be sent
   RELAY.  Requests with a large context gain most by a target that holds it,
   so some tokens are kept for them.  */
static double
rate_min (const struct relay *relay)
{
  return relay->context_tokens > relay->router->context_tokens_mean
             ? 1
             : 1 + RATE_RESERVE;
}

/* Excludes targets from the COUNT CANDIDATES: the one of a live attempt, those
   that could not be reached, and those that were sent RELAY before.  Once
   RELAY was sent to as many targets as its route allows, only these targets
   remain.  */
static void
exclude_candidates (const struct relay *relay,
                    struct bal_candidate *candidates, size_t count)
{
  int only_tried = relay->tried_count >= relay->route->attempts_max;

  for (size_t i = 0; i < count; i++)
    {
      int tried
          = contains_id (relay->tried, relay->tried_count, candidates[i].id);

      candidates[i].excluded
          = tried != only_tried || is_live (relay, candidates[i].id)
            || contains_id (relay->unreachable, relay->unreachable_count,
                            candidates[i].id);
    }
}

/* Readmits reachable targets that were sent RELAY before.  Returns whether
   there are any.  */
static int
readmit_tried (const struct relay *relay, struct bal_candidate *candidates,
               size_t count)
{
  int any = 0;

  for (size_t i = 0; i < count; i++)
    if (contains_id (relay->tried, relay->tried_count, candidates[i].id)
        && !is_live (relay, candidates[i].id)
        && !contains_id (relay->unreachable, relay->unreachable_count,
                         candidates[i].id))
      {
        candidates[i].excluded = 0;
        any = 1;
      }
  return any;
}

/* Returns whether the target ID still works on RELAY.  */
static int
is_live (const struct relay *relay, uint64_t id)
{
  return relay->attempt.target != NULL && relay->attempt.target->hash == id;
}

/* Counts the current target as one that may have received RELAY.  */
void
relay_mark_tried (struct relay *relay)
{
  uint64_t id = relay->attempt.target->hash;

  relay->attempt.is_first_send
      = relay->tried_count < RELAY_TRIED_MAX
        && !contains_id (relay->tried, relay->tried_count, id);
  if (relay->attempt.is_first_send)
    relay->tried[relay->tried_count++] = id;
}

/* Counts the current target as unreachable, and no longer as tried unless it
   received RELAY in an earlier attempt.  */
void
relay_mark_unreachable (struct relay *relay)
{
  uint64_t id = relay->attempt.target->hash;

  if (relay->attempt.is_first_send)
    relay->tried_count--;
  if (relay->unreachable_count < RELAY_TRIED_MAX)
    relay->unreachable[relay->unreachable_count++] = id;
}

/* Returns whether ID is one of the COUNT IDS.  */
static int
contains_id (const uint64_t *ids, uint32_t count, uint64_t id)
{
  for (uint32_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}
