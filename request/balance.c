/* Load balancer: selects the target of a request.

   Requests with the same context (the shared parts of the prompt) are sent to
   a target that has processed it (a holder), as long as the load of that
   target is within the bound.  A context without a known holder is placed by
   rendezvous hashing, so that instances that have not exchanged their affinity
   tables agree on the same few targets (its homes), and the least loaded of
   these is selected.  When a holder reaches the load bound, as it does under a
   popular prompt, requests go to the next holder, or to a target that becomes
   one.  Requests without a context go to the least loaded target, with a
   preference for this instance's failure domain.  If the times at which
   targets would begin are estimated (work.c) and differ noticeably, they
   decide: a holder or home is skipped if reading or copying the context
   elsewhere is sooner, and of the others those that would begin soonest are
   compared.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/rank.h"
#include "ibisloom/rate.h"
#include "libbalance.h"

enum
{
  HOME_CANDIDATES = 2 /* targets compared by load for a new context */
};

/* Cost of a request to another failure domain, in units of load per slot.  */
static const double REMOTE_PENALTY = 0.12;

/* Cost of a target that is warming up, in units of load per slot.  */
static const double WARMING_UP_PENALTY = 0.5;

/* Cost of a suspended target for a request that no other can serve, in units
   of load per slot.  */
static const double SUSPENDED_PENALTY = 1.0;

/* Part of the time in which a context is read or copied that counts as a cost
   to the other requests at that target.  */
static const double READ_SHARE = 0.5;

const char *const bal_reason_names[BAL_REASON_COUNT]
    = { "holder",        "home",       "next_home", "least_loaded",
        "trial",         "no_target",  "full",      "rates_used_up",
        "all_evacuated", "all_paused", "hop" };

static int is_better_home (const struct bal_params *params,
                           const struct bal_candidate *candidate,
                           const struct bal_candidate *best);
static size_t index_of (uint64_t id, const struct bal_candidate *candidates,
                        size_t count);
static int pick_local (const struct bal_params *params,
                       const struct bal_candidate *candidates, size_t count,
                       struct bal_choice *choice);
static int pick_holder (const struct bal_params *params,
                        const struct bal_candidate *candidates, size_t count,
                        struct bal_choice *choice);
static int pick_home (const struct bal_params *params,
                      const struct bal_candidate *candidates, size_t count,
                      struct bal_choice *choice);
static int pick_ranked (const struct bal_params *params,
                        const struct bal_candidate *candidates, size_t count,
                        const size_t *top, size_t filled, int uses_limited,
                        struct bal_choice *choice);
static int pick_least_loaded (const struct bal_params *params,
                              const struct bal_candidate *candidates,
                              size_t count, struct bal_choice *choice);
static int pick_paced_out (const struct bal_params *params,
                           const struct bal_candidate *candidates,
                           size_t count, struct bal_choice *choice);
static int pick_trial (const struct bal_params *params,
                       const struct bal_candidate *candidates, size_t count,
                       struct bal_choice *choice);

/* Selects one of COUNT CANDIDATES according to PARAMS and describes it in
   CHOICE.  Returns 1, or 0 with the reason in CHOICE if none can be used.  */
int
bal_pick (const struct bal_params *params,
          const struct bal_candidate *candidates, size_t count,
          struct bal_choice *choice)
{
  struct bal_params paceless = *params;

  paceless.ignores_pace = 1;
  choice->ignored_pace = 0;
  choice->index = 0;
  choice->load = 0;
  choice->mean = bal_mean_load (params, candidates, count);
  choice->limit = bal_load_limit (params, choice->mean);
  choice->begin_ms = 0;
  choice->begin_limit_ms
      = bal_soonest_ms (params, candidates, count, choice->limit, READ_SHARE)
        + MAX (params->detour_ms, params->significant_ms);
  choice->reason = BAL_NO_TARGET;
  choice->skip = BAL_SKIP_NONE;
  choice->other_home = 0;
  if ((params->context == 0
       || !(pick_local (params, candidates, count, choice)
            || pick_holder (params, candidates, count, choice)
            || pick_home (params, candidates, count, choice)))
      && !pick_least_loaded (params, candidates, count, choice)
      && !pick_paced_out (params, candidates, count, choice))
    return pick_trial (params, candidates, count, choice)
           || pick_trial (&paceless, candidates, count, choice);
  choice->begin_ms = candidates[choice->index].begin_ms;
  if (candidates[choice->index].state == HEALTH_TRIAL)
    choice->reason = BAL_TRIAL;
  return 1;
}

/* Returns whether a request with PARAMS goes to the home CANDIDATE rather than
   to BEST: it would begin there noticeably sooner, or else if that has the
   higher load.  */
static int
is_better_home (const struct bal_params *params,
                const struct bal_candidate *candidate,
                const struct bal_candidate *best)
{
  double gain_ms = best->begin_ms - candidate->begin_ms;

  if (params->significant_ms > 0 && fabs (gain_ms) > params->significant_ms)
    return gain_ms > 0;
  return candidate->load < best->load;
}

/* Returns the index of the target ID among COUNT CANDIDATES, or COUNT if it is
   not there.  */
static size_t
index_of (uint64_t id, const struct bal_candidate *candidates, size_t count)
{
  size_t i = 0;

  while (i < count && candidates[i].id != id)
    i++;
  return i;
}

/* Selects a holder or home in this instance's failure domain, if contexts are
   to be kept in each failure domain that uses them.  The target copies the
   context from a holder in another one.  Up to half the distance from the mean
   to the load bound, a busier target nearby is better than one elsewhere; a
   domain that is loaded more sends its requests to others.  Returns whether
   there is such a target.  */
static int
pick_local (const struct bal_params *params,
            const struct bal_candidate *candidates, size_t count,
            struct bal_choice *choice)
{
  struct bal_params local = *params;
  double limit = choice->limit;
  int any;

  if (!params->prefers_local)
    return 0;
  local.is_local_only = 1;
  choice->limit = (choice->mean + limit) / 2;
  any = pick_holder (&local, candidates, count, choice)
        || pick_home (&local, candidates, count, choice);
  choice->limit = limit;
  return any;
}

/* Selects the first usable holder of the context.  The fixed order keeps the
   number of targets that process the context small.  Returns whether there is
   one.  */
static int
pick_holder (const struct bal_params *params,
             const struct bal_candidate *candidates, size_t count,
             struct bal_choice *choice)
{
  double best_error_rate = bal_lowest_error_rate (candidates, count);

  for (uint32_t n = 0; params->holders != NULL && n < params->holders->count;
       n++)
    {
      size_t i = index_of (params->holders->target[n], candidates, count);
      enum bal_skip skip = i == count
                               ? BAL_SKIP_ABSENT
                               : bal_context_skip (params, &candidates[i],
                                                   choice, best_error_rate);

      if (n == 0)
        choice->skip = skip;
      if (skip != BAL_SKIP_NONE)
        continue;
      choice->index = i;
      choice->load = candidates[i].load;
      choice->reason = BAL_HOLDER;
      return 1;
    }
  return 0;
}

/* Selects the least loaded of the first HOME_CANDIDATES usable targets in the
   rendezvous ranking of the context.  Targets that limit their rate come after
   all others, unless they have nothing to do.  Returns whether there is
   one.  */
static int
pick_home (const struct bal_params *params,
           const struct bal_candidate *candidates, size_t count,
           struct bal_choice *choice)
{
  static struct rank_node nodes[BAL_CANDIDATES_MAX];
  size_t top[RANK_TOP_MAX];
  size_t filled;

  for (size_t i = 0; i < count; i++)
    {
      nodes[i].id = candidates[i].id;
      nodes[i].weight = params->is_local_only ? candidates[i].local : 1;
    }
  filled = rank_top (params->context, nodes, count, top, RANK_TOP_MAX);
  return pick_ranked (params, candidates, count, top, filled, 0, choice)
         || pick_ranked (params, candidates, count, top, filled, 1, choice);
}

/* Selects the least loaded of the first HOME_CANDIDATES usable ones among the
   FILLED indexes TOP.  Targets that are busy with what their rate limits allow
   count only if USES_LIMITED.  Returns whether there is one.  */
static int
pick_ranked (const struct bal_params *params,
             const struct bal_candidate *candidates, size_t count,
             const size_t *top, size_t filled, int uses_limited,
             struct bal_choice *choice)
{
  double best_error_rate = bal_lowest_error_rate (candidates, count);
  int eligible = 0;

  for (size_t i = 0; i < filled && eligible < HOME_CANDIDATES; i++)
    {
      const struct bal_candidate *candidate = &candidates[top[i]];

      if ((!uses_limited && candidate->rate_limited
           && candidate->rate_tokens < RATE_BURST)
          || bal_context_skip (params, candidate, choice, best_error_rate)
                 != BAL_SKIP_NONE)
        continue;
      eligible++;
      if (eligible > 1
          && !is_better_home (params, candidate, &candidates[choice->index]))
        {
          choice->other_home = candidate->id;
          continue;
        }
      choice->other_home = eligible > 1 ? candidates[choice->index].id : 0;
      choice->index = top[i];
      choice->load = candidate->load;
      choice->reason = i == 0 ? BAL_HOME : BAL_NEXT_HOME;
    }
  return eligible > 0;
}

/* Selects the target with the lowest cost: load per slot, plus penalties.
   Ties are broken by the random start of the search.  Returns whether there is
   one.  */
static int
pick_least_loaded (const struct bal_params *params,
                   const struct bal_candidate *candidates, size_t count,
                   struct bal_choice *choice)
{
  double best_error_rate = bal_lowest_error_rate (candidates, count);
  double best = INFINITY;
  double filled_max = bal_highest_fill (candidates, count);
  double begin_limit_ms
      = bal_soonest_ms (params, candidates, count, choice->limit, 0)
        + params->significant_ms;

  for (size_t n = 0; n < count; n++)
    {
      size_t i = (n + params->random) % count;
      const struct bal_candidate *candidate = &candidates[i];
      int32_t slots = candidate->slots > 0 ? candidate->slots : 1;
      enum bal_skip skip
          = bal_load_skip (params, candidate, choice->limit, filled_max);
      double cost = candidate->load / slots
                    + (candidate->error_rate - best_error_rate)
                          * BAL_ERROR_PENALTY / slots;

      if (skip == BAL_SKIP_PAUSED && choice->reason == BAL_NO_TARGET)
        choice->reason = BAL_ALL_PAUSED;
      if (skip == BAL_SKIP_RATE
          && (choice->reason == BAL_NO_TARGET
              || choice->reason == BAL_ALL_PAUSED))
        choice->reason = BAL_RATES_USED_UP;
      if ((skip == BAL_SKIP_ROOM || skip == BAL_SKIP_LOADED)
          && choice->reason != BAL_LEAST_LOADED)
        choice->reason = BAL_ALL_FULL;
      if (skip != BAL_SKIP_NONE || candidate->begin_ms > begin_limit_ms)
        continue;
      if (!candidate->local)
        cost += REMOTE_PENALTY;
      if (candidate->warming_up)
        cost += WARMING_UP_PENALTY;
      if (!bal_is_usable (params, candidate))
        cost += SUSPENDED_PENALTY;
      if (cost >= best)
        continue;
      best = cost;
      choice->index = i;
      choice->load = candidate->load;
      choice->reason = BAL_LEAST_LOADED;
    }
  return choice->reason == BAL_LEAST_LOADED;
}

/* Selects a target at its pace, as no other one is left.  Returns whether
   there is one.  */
static int
pick_paced_out (const struct bal_params *params,
                const struct bal_candidate *candidates, size_t count,
                struct bal_choice *choice)
{
  struct bal_params paceless = *params;
  size_t i = 0;

  while (i < count && !candidates[i].is_paced_out)
    i++;
  paceless.ignores_pace = 1;
  choice->ignored_pace
      = i < count && pick_least_loaded (&paceless, candidates, count, choice);
  return choice->ignored_pace;
}

/* Selects the least loaded of the targets that are due for a trial or in
   doubt. Returns whether there is one.  If the load bound excluded a usable
   target, none is tried.  */
static int
pick_trial (const struct bal_params *params,
            const struct bal_candidate *candidates, size_t count,
            struct bal_choice *choice)
{
  int any = 0;

  if (choice->reason == BAL_ALL_FULL)
    return 0;
  for (size_t i = 0; i < count; i++)
    {
      if (candidates[i].excluded
          || bal_closed_skip (params, &candidates[i]) != BAL_SKIP_NONE
          || (candidates[i].state != HEALTH_TRIAL
              && candidates[i].state != HEALTH_DOUBTED)
          || (any && candidates[i].load >= choice->load))
        continue;
      choice->index = i;
      choice->load = candidates[i].load;
      choice->reason = BAL_TRIAL;
      any = 1;
    }
  return any;
}
