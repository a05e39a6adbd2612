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

#include "ibisloom/balance.h"
#include "ibisloom/rank.h"
#include "ibisloom/rate.h"

enum
{
  HOME_CANDIDATES = 2 /* targets compared by load for a new context */
};

/* Cost of a request to another failure domain, in units of load per slot.  */
static const double REMOTE_PENALTY = 0.12;

/* Cost of an error rate of 1 above the lowest one, in requests.  A holder or
   home whose errors cost more than one request is skipped.  */
static const double ERROR_PENALTY = 3.0;

/* Cost of a target that is warming up, in units of load per slot.  */
static const double WARMING_UP_PENALTY = 0.5;

/* Cost of a suspended target for a request that no other can serve, in units
   of load per slot.  */
static const double SUSPENDED_PENALTY = 1.0;

/* Part of its slots up to which a target is filled while others limit their
   rate: the bound alone would let the last one that does not have all.  Also
   how far it is filled over the bound by requests that no other can serve.  */
static const double SLOTS_FILLED_MAX = 1.25;

/* Distance kept from the load bound, in requests: allows for requests from
   other instances that have not been reported yet.  */
static const double BOUND_MARGIN = 0.25;

/* Part of the time in which a context is read or copied that counts as a cost
   to the other requests at that target.  */
static const double READ_SHARE = 0.5;

const char *const bal_reason_names[BAL_REASON_COUNT]
    = { "holder",        "home",       "next_home", "least_loaded",
        "trial",         "no_target",  "full",      "rates_used_up",
        "all_evacuated", "all_paused", "hop" };

const char *const bal_skip_names[BAL_SKIP_COUNT]
    = { "free", "absent", "tried",  "suspect", "loaded",  "errors", "rate",
        "room", "pace",   "remote", "busy",    "leaving", "paused" };

static double load_limit (const struct bal_params *params, double mean);
static double soonest_ms (const struct bal_params *params,
                          const struct bal_candidate *candidates, size_t count,
                          double limit, double read_share);
static int is_better_home (const struct bal_params *params,
                           const struct bal_candidate *candidate,
                           const struct bal_candidate *best);
static enum bal_skip skip_reason (const struct bal_params *params,
                                  const struct bal_candidate *candidate,
                                  const struct bal_choice *choice,
                                  double best_error_rate);
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
static int is_usable (const struct bal_params *params,
                      const struct bal_candidate *candidate);
static int is_full (const struct bal_params *params,
                    const struct bal_candidate *candidate, double limit,
                    double filled_max);
static enum bal_skip full_reason (const struct bal_params *params,
                                  const struct bal_candidate *candidate,
                                  double limit, double filled_max);
static enum bal_skip closed_reason (const struct bal_params *params,
                                    const struct bal_candidate *candidate);
static double highest_fill (const struct bal_candidate *candidates,
                            size_t count);
static double mean_load (const struct bal_params *params,
                         const struct bal_candidate *candidates, size_t count);
static int has_rate_limits (const struct bal_candidate *candidates,
                            size_t count);
static double lowest_error_rate (const struct bal_candidate *candidates,
                                 size_t count);

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
  choice->mean = mean_load (params, candidates, count);
  choice->limit = load_limit (params, choice->mean);
  choice->begin_ms = 0;
  choice->begin_limit_ms
      = soonest_ms (params, candidates, count, choice->limit, READ_SHARE);
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

/* Returns why the candidate INDEX among COUNT CANDIDATES is closed to a
   request with PARAMS, or BAL_SKIP_NONE, by the rule through which CHOICE, of
   bal_pick, was made: that for contexts or that for the least load.  */
enum bal_skip
bal_skip_reason (const struct bal_params *params,
                 const struct bal_candidate *candidates, size_t count,
                 const struct bal_choice *choice, size_t index)
{
  struct bal_params used = *params;

  used.ignores_pace |= choice->ignored_pace;
  if (choice->reason == BAL_HOLDER || choice->reason == BAL_HOME
      || choice->reason == BAL_NEXT_HOME)
    return skip_reason (&used, &candidates[index], choice,
                        lowest_error_rate (candidates, count));
  return full_reason (&used, &candidates[index], choice->limit,
                      highest_fill (candidates, count));
}

/* Returns whether a request with PARAMS may be sent to CANDIDATE while others
   are left: it is not suspended, or the request may be its trial.  */
static int
is_usable (const struct bal_params *params,
           const struct bal_candidate *candidate)
{
  return candidate->state == HEALTH_USABLE
         || (params->may_try && candidate->state == HEALTH_TRIAL);
}

/* Returns the highest load at which a target may be sent another request,
   given the MEAN load; infinity if there is no bound.  */
static double
load_limit (const struct bal_params *params, double mean)
{
  if (params->cap_factor <= 0)
    return INFINITY;
  return params->cap_factor * mean + params->cap_slack - BOUND_MARGIN;
}

/* Returns the time up to which a target may begin, noticeably after the
   soonest of the COUNT CANDIDATES within LIMIT, the load bound; infinity if no
   times are known.  READ_SHARE of what reading the context there takes is
   added: it delays others.  A target that fails, or is warming up, may be slow
   whatever it has to read, and one without a free slot lets requests wait.  */
static double
soonest_ms (const struct bal_params *params,
            const struct bal_candidate *candidates, size_t count, double limit,
            double read_share)
{
  double filled_max;
  double best_error_rate;
  double soonest = INFINITY;

  if (params->notice_ms <= 0)
    return INFINITY;
  filled_max = highest_fill (candidates, count);
  best_error_rate = lowest_error_rate (candidates, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct bal_candidate *candidate = &candidates[i];
      double begin_ms = candidate->begin_ms + read_share * candidate->read_ms;

      if (begin_ms < soonest && candidate->state == HEALTH_USABLE
          && !candidate->warming_up
          && (candidate->slots <= 0 || candidate->load < candidate->slots)
          && (candidate->error_rate - best_error_rate) * ERROR_PENALTY <= 1
          && full_reason (params, candidate, limit, filled_max)
                 == BAL_SKIP_NONE)
        soonest = begin_ms;
    }
  return soonest + params->notice_ms;
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

  if (params->notice_ms > 0 && fabs (gain_ms) > params->notice_ms)
    return gain_ms > 0;
  return candidate->load < best->load;
}

/* Returns why CANDIDATE may not be used for a context, or BAL_SKIP_NONE if it
   may.  CHOICE has the limits, BEST_ERROR_RATE is the lowest error rate of any
   candidate.  */
static enum bal_skip
skip_reason (const struct bal_params *params,
             const struct bal_candidate *candidate,
             const struct bal_choice *choice, double best_error_rate)
{
  if (candidate->excluded)
    return BAL_SKIP_TRIED;
  if (!is_usable (params, candidate))
    return BAL_SKIP_SUSPENDED;
  if (params->is_local_only && !candidate->local)
    return BAL_SKIP_REMOTE;
  if (closed_reason (params, candidate) != BAL_SKIP_NONE)
    return closed_reason (params, candidate);
  if (candidate->load > choice->limit
      || (candidate->slots > 0 && candidate->load >= candidate->slots))
    return BAL_SKIP_LOADED;
  if ((candidate->error_rate - best_error_rate) * ERROR_PENALTY > 1)
    return BAL_SKIP_ERRORS;
  return candidate->begin_ms > choice->begin_limit_ms ? BAL_SKIP_BUSY
                                                      : BAL_SKIP_NONE;
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
  double best_error_rate = lowest_error_rate (candidates, count);

  for (uint32_t n = 0; params->holders != NULL && n < params->holders->count;
       n++)
    {
      size_t i = index_of (params->holders->target[n], candidates, count);
      enum bal_skip skip = i == count ? BAL_SKIP_ABSENT
                                      : skip_reason (params, &candidates[i],
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
  double best_error_rate = lowest_error_rate (candidates, count);
  int eligible = 0;

  for (size_t i = 0; i < filled && eligible < HOME_CANDIDATES; i++)
    {
      const struct bal_candidate *candidate = &candidates[top[i]];

      if ((!uses_limited && candidate->rate_limited
           && candidate->rate_tokens < RATE_BURST)
          || skip_reason (params, candidate, choice, best_error_rate)
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
  double best_error_rate = lowest_error_rate (candidates, count);
  double best = INFINITY;
  double filled_max = highest_fill (candidates, count);
  double begin_limit_ms
      = soonest_ms (params, candidates, count, choice->limit, 0);

  for (size_t n = 0; n < count; n++)
    {
      size_t i = (n + params->random) % count;
      const struct bal_candidate *candidate = &candidates[i];
      int32_t slots = candidate->slots > 0 ? candidate->slots : 1;
      enum bal_skip skip
          = full_reason (params, candidate, choice->limit, filled_max);
      double cost = candidate->load / slots
                    + (candidate->error_rate - best_error_rate) * ERROR_PENALTY
                          / slots;

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
      if (!is_usable (params, candidate))
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
          || closed_reason (params, &candidates[i]) != BAL_SKIP_NONE
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

/* Returns the mean load of the CANDIDATES that are not suspended, have not
   said that they leave or want a pause, and do not limit their rate, since
   those left out carry little load and would lower the bound; if all do so, of
   all that are not suspended.  Targets that are cold or, by PARAMS, evacuated
   do count: they are sound, and the bound of the load is relative to the mean
   of all sound targets.  */
static double
mean_load (const struct bal_params *params,
           const struct bal_candidate *candidates, size_t count)
{
  double sum = params->evacuated_load;
  double limited_sum = 0;
  size_t unlimited = params->evacuated_count;
  size_t limited = 0;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].state == HEALTH_SUSPENDED
        || candidates[i].state == HEALTH_DOUBTED || candidates[i].is_leaving
        || candidates[i].is_paused)
      continue;
    else if (candidates[i].rate_limited && !candidates[i].is_cold)
      {
        limited_sum += candidates[i].load;
        limited++;
      }
    else
      {
        sum += candidates[i].load;
        unlimited++;
      }
  if (unlimited > 0)
    return sum / (double)unlimited;
  return limited > 0 ? limited_sum / (double)limited : 0;
}

/* Returns whether one of COUNT CANDIDATES limits its rate for good.  */
static int
has_rate_limits (const struct bal_candidate *candidates, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (candidates[i].rate_limited && !candidates[i].is_cold)
      return 1;
  return 0;
}

/* Returns the lowest error rate among COUNT CANDIDATES.  */
static double
lowest_error_rate (const struct bal_candidate *candidates, size_t count)
{
  double lowest = 1;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].error_rate < lowest)
      lowest = candidates[i].error_rate;
  return lowest;
}

/* Returns whether CANDIDATE takes no more requests: it is over LIMIT, the load
   bound, or over FILLED_MAX times its slots.  For a request that few can serve
   only its slots count.  */
static int
is_full (const struct bal_params *params,
         const struct bal_candidate *candidate, double limit,
         double filled_max)
{
  int32_t slots = candidate->slots > 0 ? candidate->slots : 1;
  int is_over = candidate->load > limit;

  if (params->is_pinned)
    return is_over && candidate->load >= slots * SLOTS_FILLED_MAX;
  return is_over || candidate->load >= slots * filled_max;
}

/* Returns why CANDIDATE may not be used as the least loaded one, or
   BAL_SKIP_NONE if it may.  LIMIT and FILLED_MAX are those of is_full.  */
static enum bal_skip
full_reason (const struct bal_params *params,
             const struct bal_candidate *candidate, double limit,
             double filled_max)
{
  enum bal_skip closed = closed_reason (params, candidate);

  if (candidate->excluded)
    return BAL_SKIP_TRIED;
  if (!is_usable (params, candidate) && !params->is_pinned)
    return BAL_SKIP_SUSPENDED;
  if (closed != BAL_SKIP_NONE)
    return closed;
  return is_full (params, candidate, limit, filled_max) ? BAL_SKIP_LOADED
                                                        : BAL_SKIP_NONE;
}

/* Returns the part of their slots up to which COUNT CANDIDATES are filled;
   infinity if only the load bound counts.  */
static double
highest_fill (const struct bal_candidate *candidates, size_t count)
{
  return has_rate_limits (candidates, count) ? SLOTS_FILLED_MAX : INFINITY;
}

/* Returns why CANDIDATE itself takes no request with PARAMS now, or
   BAL_SKIP_NONE if it does.  */
static enum bal_skip
closed_reason (const struct bal_params *params,
               const struct bal_candidate *candidate)
{
  if (candidate->is_leaving)
    return BAL_SKIP_LEAVING;
  if (candidate->is_paused)
    return BAL_SKIP_PAUSED;
  if (candidate->has_no_room)
    return BAL_SKIP_ROOM;
  if (candidate->rate_limited
      && candidate->rate_tokens < MAX (params->rate_min, 1))
    return BAL_SKIP_RATE;
  if (candidate->is_paced_out && !params->ignores_pace)
    return BAL_SKIP_PACE;
  return BAL_SKIP_NONE;
}
