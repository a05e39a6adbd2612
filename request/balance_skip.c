/* Why a target is closed to a request: the load bound, its slots, errors, and
   what the target itself or its state rules out. */
#include <math.h>

#include <sys/param.h>

#include "libbalance.h"

/* Part of its slots up to which a target is filled while others limit their
   rate: the bound alone would let the last one that does not have all.  Also
   how far it is filled over the bound by requests that no other can serve.  */
static const double SLOTS_FILLED_MAX = 1.25;

/* Distance kept from the load bound, in requests: allows for requests from
   other instances that have not been reported yet.  */
static const double BOUND_MARGIN = 0.25;

const char *const bal_skip_names[BAL_SKIP_COUNT]
    = { "free", "absent", "tried",  "suspect", "loaded",  "errors", "rate",
        "room", "pace",   "remote", "busy",    "leaving", "paused" };

static int has_rate_limits (const struct bal_candidate *candidates,
                            size_t count);
static int is_full (const struct bal_params *params,
                    const struct bal_candidate *candidate, double limit,
                    double filled_max);

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
    return bal_context_skip (&used, &candidates[index], choice,
                             bal_lowest_error_rate (candidates, count));
  return bal_load_skip (&used, &candidates[index], choice->limit,
                        bal_highest_fill (candidates, count));
}

/* Returns the highest load at which a target may be sent another request,
   given the MEAN load; infinity if there is no bound.  */
double
bal_load_limit (const struct bal_params *params, double mean)
{
  if (params->cap_factor <= 0)
    return INFINITY;
  return params->cap_factor * mean + params->cap_slack - BOUND_MARGIN;
}

/* Returns the mean load of the CANDIDATES that are not suspended, have not
   said that they leave or want a pause, and do not limit their rate, since
   those left out carry little load and would lower the bound; if all do so, of
   all that are not suspended.  Targets that are cold or, by PARAMS, evacuated
   do count: they are sound, and the bound of the load is relative to the mean
   of all sound targets.  */
double
bal_mean_load (const struct bal_params *params,
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

/* Returns the lowest error rate among COUNT CANDIDATES.  */
double
bal_lowest_error_rate (const struct bal_candidate *candidates, size_t count)
{
  double lowest = 1;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].error_rate < lowest)
      lowest = candidates[i].error_rate;
  return lowest;
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

/* Returns the part of their slots up to which COUNT CANDIDATES are filled;
   infinity if only the load bound counts.  */
double
bal_highest_fill (const struct bal_candidate *candidates, size_t count)
{
  return has_rate_limits (candidates, count) ? SLOTS_FILLED_MAX : INFINITY;
}

/* Returns when the soonest of the COUNT CANDIDATES within LIMIT, the load
   bound, would begin; infinity if no times are known.  READ_SHARE of what
   reading the context there takes is added: it delays others.  A target that
   fails, or is warming up, may be slow whatever it has to read, and one
   without a free slot lets requests wait.  */
double
bal_soonest_ms (const struct bal_params *params,
                const struct bal_candidate *candidates, size_t count,
                double limit, double read_share)
{
  double filled_max;
  double best_error_rate;
  double soonest = INFINITY;

  if (params->significant_ms <= 0)
    return INFINITY;
  filled_max = bal_highest_fill (candidates, count);
  best_error_rate = bal_lowest_error_rate (candidates, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct bal_candidate *candidate = &candidates[i];
      double begin_ms = candidate->begin_ms + read_share * candidate->read_ms;

      if (begin_ms < soonest && candidate->state == HEALTH_USABLE
          && !candidate->warming_up
          && (candidate->slots <= 0 || candidate->load < candidate->slots)
          && (candidate->error_rate - best_error_rate) * BAL_ERROR_PENALTY <= 1
          && bal_load_skip (params, candidate, limit, filled_max)
                 == BAL_SKIP_NONE)
        soonest = begin_ms;
    }
  return soonest;
}

/* Returns whether a request with PARAMS may be sent to CANDIDATE while others
   are left: it is not suspended, or the request may be its trial.  */
int
bal_is_usable (const struct bal_params *params,
               const struct bal_candidate *candidate)
{
  return candidate->state == HEALTH_USABLE
         || (params->may_try && candidate->state == HEALTH_TRIAL);
}

/* Returns why CANDIDATE itself takes no request with PARAMS now, or
   BAL_SKIP_NONE if it does.  */
enum bal_skip
bal_closed_skip (const struct bal_params *params,
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

/* Returns why CANDIDATE may not be used for a context, or BAL_SKIP_NONE if it
   may.  CHOICE has the limits, BEST_ERROR_RATE is the lowest error rate of any
   candidate.  */
enum bal_skip
bal_context_skip (const struct bal_params *params,
                  const struct bal_candidate *candidate,
                  const struct bal_choice *choice, double best_error_rate)
{
  if (candidate->excluded)
    return BAL_SKIP_TRIED;
  if (!bal_is_usable (params, candidate))
    return BAL_SKIP_SUSPENDED;
  if (params->is_local_only && !candidate->local)
    return BAL_SKIP_REMOTE;
  if (bal_closed_skip (params, candidate) != BAL_SKIP_NONE)
    return bal_closed_skip (params, candidate);
  if (candidate->load > choice->limit
      || (candidate->slots > 0 && candidate->load >= candidate->slots))
    return BAL_SKIP_LOADED;
  if ((candidate->error_rate - best_error_rate) * BAL_ERROR_PENALTY > 1)
    return BAL_SKIP_ERRORS;
  return candidate->begin_ms > choice->begin_limit_ms ? BAL_SKIP_BUSY
                                                      : BAL_SKIP_NONE;
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
enum bal_skip
bal_load_skip (const struct bal_params *params,
               const struct bal_candidate *candidate, double limit,
               double filled_max)
{
  enum bal_skip closed = bal_closed_skip (params, candidate);

  if (candidate->excluded)
    return BAL_SKIP_TRIED;
  if (!bal_is_usable (params, candidate) && !params->is_pinned)
    return BAL_SKIP_SUSPENDED;
  if (closed != BAL_SKIP_NONE)
    return closed;
  return is_full (params, candidate, limit, filled_max) ? BAL_SKIP_LOADED
                                                        : BAL_SKIP_NONE;
}
