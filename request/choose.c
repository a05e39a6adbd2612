/* Choice of the target that a request is sent to.

   Requests that share the long parts of a prompt go to the same target while
   its load allows, by rendezvous hashing, so that every instance finds the
   same home without a message.  A home whose load is well over the mean, as
   under a prompt that many ask about, passes requests on to the next in the
   order of that prompt, so that few targets read it.  Calls without a context
   go to the least loaded target, rather one in the same failure domain.  */
#include <math.h>

#include "ibisloom/choose.h"
#include "ibisloom/rank.h"

/* A home is left when it holds this much more than the mean.  */
static const double SPREAD_FACTOR = 1.35;
static const double SPREAD_SLACK = 1.5;

/* Tokens whose reading is worth one more request at a target.  */
static const double TOKENS_PER_PLACE = 1000;

/* Part of a slot that a way to another failure domain counts as.  */
static const double REMOTE_PENALTY = 0.12;

/* What a share of errors above the best one counts as, in slots' loads. */
static const double ERROR_PENALTY = 3.0;

/* Part of a slot that a target still warming up counts as.  */
static const double COLD_PENALTY = 0.5;

/* Keeps clear of the bound by the requests that others may send at once.  */
static const double CAP_MARGIN = 1.0;

const char *const cho_reason_names[CHO_REASON_COUNT]
    = { "holder", "home",      "next_home", "least_loaded",
        "trial",  "no_target", "full" };

static double context_limit (const struct cho_wish *wish, double mean);
static int is_fit (const struct cho_candidate *at, double limit,
                   double errors);
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
  if (wish->context != 0
      && (by_holder (wish, candidates, count, choice)
          || by_context (wish, candidates, count, choice)))
    return 1;
  if (by_load (wish, candidates, count, choice))
    return 1;
  return by_trial (candidates, count, choice);
}

/* Returns the load up to which a target is used for WISH: the longer the
   context, the dearer it is to read it at another target.  */
static double
context_limit (const struct cho_wish *wish, double mean)
{
  double cap = wish->cap_factor * mean + wish->cap_slack - CAP_MARGIN;
  double limit = mean * SPREAD_FACTOR + SPREAD_SLACK
                 + wish->context_tokens / TOKENS_PER_PLACE;

  return wish->cap_factor > 0 ? fmin (limit, cap) : limit;
}

/* Returns whether AT may be used for a context, LIMIT being what it may hold
   and ERRORS the smallest share of errors.  */
static int
is_fit (const struct cho_candidate *at, double limit, double errors)
{
  return !at->excluded && at->use == TRU_USABLE && at->load <= limit
         && (at->error_share - errors) * ERROR_PENALTY <= 1;
}

/* Takes a target that holds the context.  The first one is kept to while it
   is not far over the mean, so that the others may forget; then the least
   loaded one.  */
static int
by_holder (const struct cho_wish *wish, const struct cho_candidate *candidates,
           size_t count, struct cho_choice *choice)
{
  double limit = context_limit (wish, choice->mean);
  double calm = choice->mean * SPREAD_FACTOR + SPREAD_SLACK;
  double errors = least_errors (candidates, count);
  double best = INFINITY;

  for (uint32_t n = 0; wish->holders != NULL && n < wish->holders->count; n++)
    for (size_t i = 0; i < count; i++)
      {
        const struct cho_candidate *at = &candidates[i];

        if (at->id != wish->holders->target[n] || !is_fit (at, limit, errors)
            || at->load >= best || best <= calm)
          continue;
        best = at->load;
        choice->index = i;
        choice->load = at->load;
        choice->reason = CHO_HOLDER;
      }
  return choice->reason == CHO_HOLDER;
}

/* Takes the first target in the order of the context that has room.  */
static int
by_context (const struct cho_wish *wish,
            const struct cho_candidate *candidates, size_t count,
            struct cho_choice *choice)
{
  static struct rank_node nodes[CHO_CANDIDATES_MAX];
  size_t top[RANK_TOP_MAX];
  double limit = context_limit (wish, choice->mean);
  double errors = least_errors (candidates, count);
  size_t filled;

  for (size_t i = 0; i < count; i++)
    {
      nodes[i].id = candidates[i].id;
      nodes[i].weight = 1;
    }
  filled = rank_top (wish->context, nodes, count, top, RANK_TOP_MAX);
  for (size_t i = 0; i < filled; i++)
    {
      const struct cho_candidate *at = &candidates[top[i]];

      if (!is_fit (at, limit, errors))
        continue;
      choice->index = top[i];
      choice->load = at->load;
      choice->reason = i == 0 ? CHO_HOME : CHO_NEAR;
      return 1;
    }
  return 0;
}

/* Takes the least loaded target.  */
static int
by_load (const struct cho_wish *wish, const struct cho_candidate *candidates,
         size_t count, struct cho_choice *choice)
{
  double errors = least_errors (candidates, count);
  double cap = wish->cap_factor * choice->mean + wish->cap_slack - CAP_MARGIN;
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
      if (wish->cap_factor > 0 && at->load > cap)
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

/* Returns the mean load of all CANDIDATES.  */
static double
mean_load (const struct cho_candidate *candidates, size_t count)
{
  double sum = 0;

  for (size_t i = 0; i < count; i++)
    sum += candidates[i].load;
  return count > 0 ? sum / (double)count : 0;
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
