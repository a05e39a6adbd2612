/* Choice of the target that a request is sent to.

   Requests that share the long parts of a prompt go to the target that has
   read them while its load allows.  A context that no target is known to hold
   goes by rendezvous hashing, so that instances that have not heard from each
   other find the same few targets; the less loaded of those takes it.  At the
   bound, as under a prompt that many ask about, requests pass on to another
   holder, or make one.  Calls without a context go to the least loaded target,
   rather one in the same failure domain.  */
#include <math.h>

#include "ibisloom/choose.h"
#include "ibisloom/rank.h"

enum
{
  HOMES = 2 /* targets among which a new context is placed by load */
};

/* Part of a slot that a way to another failure domain counts as.  */
static const double REMOTE_PENALTY = 0.12;

/* What a share of errors above the best one counts as, in slots' loads. */
static const double ERROR_PENALTY = 3.0;

/* Part of a slot that a target still warming up counts as.  */
static const double COLD_PENALTY = 0.5;

/* Keeps clear of the bound by what others may send before it is told.  */
static const double CAP_MARGIN = 0.25;

const char *const cho_reason_names[CHO_REASON_COUNT]
    = { "holder", "home",      "next_home", "least_loaded",
        "trial",  "no_target", "full" };

const char *const cho_pass_names[CHO_PASS_COUNT]
    = { "free", "absent", "tried", "suspect", "loaded", "errors" };

static double load_limit (const struct cho_wish *wish, double mean);
static enum cho_pass unfit (const struct cho_candidate *at, double limit,
                            double errors);
static size_t index_of (uint64_t id, const struct cho_candidate *candidates,
                        size_t count);
static int by_holder (const struct cho_wish *wish,
                      const struct cho_candidate *candidates, size_t count,
                      struct cho_choice *choice);
static int by_context (const struct cho_wish *wish,
                       const struct cho_candidate *candidates, size_t count,
                       struct cho_choice *choice);
static int by_load (const struct cho_wish *wish,
                    const struct cho_candidate *candidates, size_t count,
                    struct cho_choice *choice);
static int by_trial (const struct cho_candidate *candidates, size_t count,
                     struct cho_choice *choice);
static double mean_load (const struct cho_candidate *candidates, size_t count);
static double least_errors (const struct cho_candidate *candidates,
                            size_t count);

/* Chooses one of COUNT CANDIDATES for WISH.  Returns 1, or 0 with the reason
   in CHOICE if none can be used.  */
int
cho_pick (const struct cho_wish *wish, const struct cho_candidate *candidates,
          size_t count, struct cho_choice *choice)
{
  choice->index = 0;
  choice->load = 0;
  choice->mean = mean_load (candidates, count);
  choice->reason = CHO_NONE;
  choice->pass = CHO_PASS_NONE;
  if (wish->context != 0
      && (by_holder (wish, candidates, count, choice)
          || by_context (wish, candidates, count, choice)))
    return 1;
  if (by_load (wish, candidates, count, choice))
    return 1;
  return by_trial (candidates, count, choice);
}

/* Returns the load up to which a target may take another request.  */
static double
load_limit (const struct cho_wish *wish, double mean)
{
  if (wish->cap_factor <= 0)
    return INFINITY;
  return wish->cap_factor * mean + wish->cap_slack - CAP_MARGIN;
}

/* Returns why AT may not be used for a context, LIMIT being what it may hold
   and ERRORS the smallest share of errors; CHO_PASS_NONE if it may.  */
static enum cho_pass
unfit (const struct cho_candidate *at, double limit, double errors)
{
  if (at->excluded)
    return CHO_PASS_TRIED;
  if (at->use != TRU_USABLE)
    return CHO_PASS_SUSPECT;
  if (at->load > limit || (at->slots > 0 && at->load >= at->slots))
    return CHO_PASS_LOADED;
  return (at->error_share - errors) * ERROR_PENALTY > 1 ? CHO_PASS_ERRORS
                                                        : CHO_PASS_NONE;
}

/* Returns the index of the target ID among CANDIDATES, or COUNT.  */
static size_t
index_of (uint64_t id, const struct cho_candidate *candidates, size_t count)
{
  size_t i = 0;

  while (i < count && candidates[i].id != id)
    i++;
  return i;
}

/* Takes the first target that holds the context and has room.  The order is
   kept to, so that few targets read it again and again.  */
static int
by_holder (const struct cho_wish *wish, const struct cho_candidate *candidates,
           size_t count, struct cho_choice *choice)
{
  double limit = load_limit (wish, choice->mean);
  double errors = least_errors (candidates, count);

  for (uint32_t n = 0; wish->holders != NULL && n < wish->holders->count; n++)
    {
      size_t i = index_of (wish->holders->target[n], candidates, count);
      enum cho_pass pass = i == count ? CHO_PASS_ABSENT
                                      : unfit (&candidates[i], limit, errors);

      if (n == 0)
        choice->pass = pass;
      if (pass != CHO_PASS_NONE)
        continue;
      choice->index = i;
      choice->load = candidates[i].load;
      choice->reason = CHO_HOLDER;
      return 1;
    }
  return 0;
}

/* Takes the least loaded of the first few targets in the order of the context
   that have room.  */
static int
by_context (const struct cho_wish *wish,
            const struct cho_candidate *candidates, size_t count,
            struct cho_choice *choice)
{
  static struct rank_node nodes[CHO_CANDIDATES_MAX];
  size_t top[RANK_TOP_MAX];
  double limit = load_limit (wish, choice->mean);
  double errors = least_errors (candidates, count);
  double best = INFINITY;
  size_t filled;
  int fits = 0;

  for (size_t i = 0; i < count; i++)
    {
      nodes[i].id = candidates[i].id;
      nodes[i].weight = 1;
    }
  filled = rank_top (wish->context, nodes, count, top, RANK_TOP_MAX);
  for (size_t i = 0; i < filled && fits < HOMES; i++)
    {
      const struct cho_candidate *at = &candidates[top[i]];

      if (unfit (at, limit, errors) != CHO_PASS_NONE)
        continue;
      fits++;
      if (at->load >= best)
        continue;
      best = at->load;
      choice->index = top[i];
      choice->load = at->load;
      choice->reason = i == 0 ? CHO_HOME : CHO_NEAR;
    }
  return fits > 0;
}

/* Takes the least loaded target.  */
static int
by_load (const struct cho_wish *wish, const struct cho_candidate *candidates,
         size_t count, struct cho_choice *choice)
{
  double errors = least_errors (candidates, count);
  double limit = load_limit (wish, choice->mean);
  double best = INFINITY;

  for (size_t n = 0; n < count; n++)
    {
      size_t i = (n + wish->random) % count;
      const struct cho_candidate *at = &candidates[i];
      int32_t slots = at->slots > 0 ? at->slots : 1;
      double cost = at->load / slots
                    + (at->error_share - errors) * ERROR_PENALTY / slots;

      if (at->excluded || at->use != TRU_USABLE)
        continue;
      if (at->load > limit)
        {
          if (choice->reason == CHO_NONE)
            choice->reason = CHO_FULL;
          continue;
        }
      if (!at->local)
        cost += REMOTE_PENALTY;
      if (at->cold)
        cost += COLD_PENALTY;
      if (cost >= best)
        continue;
      best = cost;
      choice->index = i;
      choice->load = at->load;
      choice->reason = CHO_LEAST;
    }
  return choice->reason == CHO_LEAST;
}

/* Takes a suspected target whose pause is over, or, if all are suspected, the
   one whose pause ends first is as good as any.  */
static int
by_trial (const struct cho_candidate *candidates, size_t count,
          struct cho_choice *choice)
{
  if (choice->reason == CHO_FULL)
    return 0;
  for (size_t i = 0; i < count; i++)
    if (!candidates[i].excluded && candidates[i].use == TRU_TRIAL)
      {
        choice->index = i;
        choice->load = candidates[i].load;
        choice->reason = CHO_TRIAL;
        return 1;
      }
  return 0;
}

/* Returns the mean load of those CANDIDATES that can take requests: what is
   cut off takes no part of the load, and must not lower the bound.  */
static double
mean_load (const struct cho_candidate *candidates, size_t count)
{
  double sum = 0;
  size_t usable = 0;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].use != TRU_AVOID)
      {
        sum += candidates[i].load;
        usable++;
      }
  return usable > 0 ? sum / (double)usable : 0;
}

/* Returns the smallest share of errors.  */
static double
least_errors (const struct cho_candidate *candidates, size_t count)
{
  double least = 1;

  for (size_t i = 0; i < count; i++)
    if (candidates[i].error_share < least)
      least = candidates[i].error_share;
  return least;
}
