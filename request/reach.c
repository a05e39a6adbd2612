/* Whether connections to the targets of one service can be established.

   Connections that are open say nothing: they may live on where no new one is
   established.  Failures at two targets with no connection established since,
   or at half of them, are a reason to probe others, in two rounds.  Only if
   hardly any of these accepts a connection is the instance taken for cut off,
   so that a few targets that have ended are not.  While it is cut off, probes
   show the end of that: most targets accept connections.  */
#include <string.h>

#include <sys/param.h>

#include "ibisloom/reach.h"

enum
{
  FAILURES_TO_SUSPECT = 2,
  FAILED_MS = 3000, /* a failure of longer ago is no evidence */
  /* Between two suspicions, as probes cost connections.  */
  DOUBT_INTERVAL_MS = 1000,
  ROUNDS = 2, /* of probes, to be taken for cut off */
  FIRST_PROBES = 3,
  MORE_PROBES = REACH_PROBED_MAX - FIRST_PROBES,
  RETURN_PROBES = 2,
  SUCCESS_SHARE = 4, /* one in so many is not cut off */
  RETURN_INTERVAL_MS = 500,
  ANSWER_VALID_MS = 2000
};

const char *const reach_state_names[REACH_STATE_COUNT]
    = { "open", "suspect", "cut_off" };

static int change (struct reach *reach, enum reach_state state);
static void forget_old (struct reach *reach, clk_ms now);
static uint32_t count_domain (const struct reach_candidate *candidates,
                              const size_t *chosen, size_t count,
                              const char *failure_domain);
static int contains (const uint64_t *ids, uint32_t count, uint64_t id);

/* Records at NOW that TARGET, one of KNOWN, could not be connected to, broke a
   connection or was silent.  Returns whether this makes REACH suspect: probes
   are due.  */
int
reach_fail (struct reach *reach, uint64_t target, uint32_t known, clk_ms now)
{
  forget_old (reach, now);
  if (!contains (reach->failed, reach->failed_count, target)
      && reach->failed_count < REACH_FAILED_MAX)
    {
      reach->failed[reach->failed_count] = target;
      reach->failed_ms[reach->failed_count++] = now;
      reach->fresh_count++;
    }
  if (known == 0 || reach->state != REACH_OPEN
      || reach->failed_count < MIN (known, FAILURES_TO_SUSPECT)
      || (reach->fresh_count < FAILURES_TO_SUSPECT
          && reach->failed_count < MIN ((known + 1) / 2, REACH_FAILED_MAX)))
    return 0;
  if (reach->doubted_ms != 0 && now - reach->doubted_ms < DOUBT_INTERVAL_MS)
    return 0;
  reach->doubted_ms = now;
  return change (reach, REACH_SUSPECT);
}

/* Records at NOW that a connection was established for a request.  Where that
   is in doubt, probes decide.  */
void
reach_establish (struct reach *reach, clk_ms now)
{
  reach->fresh_count = 0;
  reach->succeeded_ms = now;
  reach->is_returning = reach->state == REACH_CUT_OFF;
}

/* Records at NOW that a target has responded on a connection, which may be an
   old one.  */
void
reach_respond (struct reach *reach, clk_ms now)
{
  reach->succeeded_ms = now;
}

/* Returns how many probes are to be started at NOW.  */
uint32_t
reach_probes_due (const struct reach *reach, clk_ms now)
{
  if (reach->probing > 0 || reach->state == REACH_OPEN)
    return 0;
  if (reach->state == REACH_SUSPECT)
    return reach->round == 0 ? FIRST_PROBES : MORE_PROBES;
  if (reach->is_returning)
    return REACH_PROBED_MAX;
  return now - reach->probed_ms >= RETURN_INTERVAL_MS ? RETURN_PROBES : 0;
}

/* Chooses WANTED of the COUNT CANDIDATES to be probed at NOW, of all failure
   domains in turn, and stores their indices in CHOSEN.  The search starts at
   RANDOM.  Targets that have failed or were probed since REACH became suspect
   are chosen only if it is cut off, or if there are no others.  Returns how
   many were chosen; for each, reach_probe_end follows.  */
size_t
reach_choose_probes (struct reach *reach,
                     const struct reach_candidate *candidates, size_t count,
                     uint32_t random, uint32_t wanted, size_t *chosen,
                     clk_ms now)
{
  size_t found = 0;

  for (; found < wanted; found++)
    {
      uint32_t least = UINT32_MAX;

      for (size_t i = 0; i < count; i++)
        {
          size_t index = (random + i) % count;
          const struct reach_candidate *candidate = &candidates[index];
          uint32_t cost = count_domain (candidates, chosen, found,
                                        candidate->failure_domain);

          if (reach->state == REACH_SUSPECT
              && (contains (reach->probed, reach->probed_count, candidate->id)
                  || (reach->failed_count < count
                      && contains (reach->failed, reach->failed_count,
                                   candidate->id))))
            continue;
          for (size_t j = 0; j < found; j++)
            if (chosen[j] == index)
              cost = UINT32_MAX;
          if (cost < least)
            {
              least = cost;
              chosen[found] = index;
            }
        }
      if (least == UINT32_MAX)
        break;
      if (reach->state == REACH_SUSPECT
          && reach->probed_count < REACH_PROBED_MAX)
        reach->probed[reach->probed_count++] = candidates[chosen[found]].id;
    }
  if (reach->state == REACH_CUT_OFF)
    reach->probes = reach->successes = 0;
  reach->probing += (uint32_t)found;
  reach->probes += (uint32_t)found;
  reach->round++;
  reach->probed_ms = now;
  return found;
}

/* Records at NOW that a probe has ended.  Returns whether the state of REACH
   has changed by that.  */
int
reach_probe_end (struct reach *reach, int succeeded, clk_ms now)
{
  if (reach->probing > 0)
    reach->probing--;
  reach->successes += succeeded != 0;
  if (succeeded)
    reach->succeeded_ms = now;
  return reach->probing == 0 && reach_round_end (reach);
}

/* Decides when a round of probes has ended, or had none to start.  Returns
   whether the state of REACH has changed.  */
int
reach_round_end (struct reach *reach)
{
  int most = reach->successes * 2 > reach->probes;

  if (reach->state == REACH_SUSPECT && reach->round < ROUNDS)
    return most ? change (reach, REACH_OPEN) : 0;
  if (reach->state == REACH_SUSPECT)
    return change (reach,
                   reach->successes > 0
                           && reach->successes * SUCCESS_SHARE >= reach->probes
                       ? REACH_OPEN
                       : REACH_CUT_OFF);
  if (reach->state == REACH_CUT_OFF && reach->is_returning
      && reach->successes * 2 >= reach->probes)
    return change (reach, REACH_OPEN);
  reach->is_returning = reach->state == REACH_CUT_OFF && !reach->is_returning
                        && reach->successes > 0;
  return 0;
}

/* Returns what to tell an instance that asks at NOW.  */
enum reach_answer
reach_answer (const struct reach *reach, clk_ms now)
{
  if (reach->state != REACH_OPEN)
    return REACH_ANSWER_NO;
  return reach->succeeded_ms != 0
                 && now - reach->succeeded_ms < ANSWER_VALID_MS
             ? REACH_ANSWER_YES
             : REACH_ANSWER_UNKNOWN;
}

/* Puts REACH in STATE.  Returns 1.  */
static int
change (struct reach *reach, enum reach_state state)
{
  reach->state = state;
  reach->round = 0;
  reach->probed_count = 0;
  reach->probes = 0;
  reach->successes = 0;
  reach->is_returning = 0;
  if (state == REACH_OPEN)
    reach->failed_count = reach->fresh_count = 0;
  return 1;
}

/* Drops failures of REACH that are old at NOW.  */
static void
forget_old (struct reach *reach, clk_ms now)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < reach->failed_count; i++)
    if (now - reach->failed_ms[i] < FAILED_MS)
      {
        reach->failed[kept] = reach->failed[i];
        reach->failed_ms[kept++] = reach->failed_ms[i];
      }
  reach->failed_count = kept;
  reach->fresh_count = MIN (reach->fresh_count, kept);
}

/* Returns how many of the COUNT CHOSEN CANDIDATES are in FAILURE_DOMAIN.  */
static uint32_t
count_domain (const struct reach_candidate *candidates, const size_t *chosen,
              size_t count, const char *failure_domain)
{
  uint32_t same = 0;

  for (size_t i = 0; i < count; i++)
    same += candidates[chosen[i]].failure_domain == failure_domain;
  return same;
}

/* Returns whether ID is one of the COUNT IDS.  */
static int
contains (const uint64_t *ids, uint32_t count, uint64_t id)
{
  for (uint32_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}
