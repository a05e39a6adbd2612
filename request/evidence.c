/* Evidence for and against the parts of prompts and the requests that
   quarantine.c judges: the last success under each, and the ends of targets
   under each suspect. */
#include <string.h>

#include <glib.h>

#include "libquarantine.h"

enum
{
  SIMULTANEOUS_MS = 50,
  /* Evidence and successes that are older no longer count.  */
  EVIDENCE_VALID_MS = 600000,
  /* Two ends under a request that had begun.  */
  WEIGHT_TO_QUARANTINE = 2 * QUAR_SUSPECT,
  /* The same for a part with which requests have gone well.  */
  PROVEN_WEIGHT_TO_QUARANTINE = 4 * QUAR_SUSPECT,
  /* The same for a request: the calls in progress at the ends of targets are
     made again, and then are in progress at the next ends.  */
  REQUEST_WEIGHT_TO_QUARANTINE = 3 * QUAR_SUSPECT
};

static const struct success *success_set (const struct quarantine *quarantine,
                                          uint64_t part);
static uint32_t weigh_end (const struct suspect *suspect,
                           const struct end *end);

/* Returns whether PART stands for a request.  */
int
evidence_is_request (uint64_t part)
{
  return (part & QUAR_REQUEST_BIT) != 0;
}

/* Returns the set of last successes that has room for PART.  */
static const struct success *
success_set (const struct quarantine *quarantine, uint64_t part)
{
  return evidence_is_request (part)
             ? quarantine->request_successes[part % EVIDENCE_SUCCESS_SETS]
             : quarantine->successes[part % EVIDENCE_SUCCESS_SETS];
}

/* Records a success under PART at AT_MS.  In a full set, the oldest is
   replaced.  */
void
evidence_add_success (struct quarantine *quarantine, uint64_t part,
                      clk_ms at_ms)
{
  struct success *set = (struct success *)success_set (quarantine, part);
  struct success *entry = &set[0];

  for (int i = 0; i < EVIDENCE_SUCCESS_WAYS; i++)
    {
      if (set[i].part == part)
        {
          entry = &set[i];
          break;
        }
      if (set[i].at_ms < entry->at_ms)
        entry = &set[i];
    }
  entry->part = part;
  entry->at_ms = at_ms;
}

/* Returns the time of the last success under PART, or 0 if none is known.  */
clk_ms
evidence_last_success_ms (const struct quarantine *quarantine, uint64_t part)
{
  const struct success *set = success_set (quarantine, part);

  for (int i = 0; i < EVIDENCE_SUCCESS_WAYS; i++)
    if (set[i].part == part)
      return set[i].at_ms;
  return 0;
}

/* Adds CRASH to the ends of SUSPECT, or raises the strength of the end of the
   same target.  The oldest end makes room.  */
void
evidence_add_end (struct suspect *suspect, const struct quar_crash *crash)
{
  uint32_t at;

  for (uint32_t i = 0; i < suspect->end_count; i++)
    if (suspect->ends[i].target == crash->target)
      {
        if (crash->strength > suspect->ends[i].strength)
          suspect->ends[i].strength = crash->strength;
        return;
      }
  if (suspect->end_count == EVIDENCE_ENDS_MAX)
    memmove (suspect->ends, suspect->ends + 1,
             --suspect->end_count * sizeof *suspect->ends);
  at = suspect->end_count++;
  for (; at > 0 && suspect->ends[at - 1].ended_ms > crash->ended_ms; at--)
    suspect->ends[at] = suspect->ends[at - 1];
  suspect->ends[at] = (struct end){ .target = crash->target,
                                    .ended_ms = crash->ended_ms,
                                    .strength = crash->strength };
}

/* Drops the ends of SUSPECT up to UNTIL_MS.  */
void
evidence_drop_ends (struct suspect *suspect, clk_ms until_ms)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < suspect->end_count; i++)
    if (suspect->ends[i].ended_ms > until_ms)
      suspect->ends[kept++] = suspect->ends[i];
  suspect->end_count = kept;
}

/* Returns the weight of END, one of SUSPECT's, by itself.  */
static uint32_t
weigh_end (const struct suspect *suspect, const struct end *end)
{
  if (end->strength == QUAR_CUT_OFF)
    return QUAR_WITNESS;
  return evidence_is_request (suspect->part) ? QUAR_SUSPECT : end->strength;
}

/* Returns the weight of the ends of SUSPECT.  Of ends at about the same time
   the strongest counts, but for a request that has not gone well before.  */
uint32_t
evidence_weigh (const struct quarantine *quarantine,
                const struct suspect *suspect, clk_ms now)
{
  int counts_all = evidence_is_request (suspect->part)
                   && !evidence_is_proven (quarantine, suspect->part, now);
  uint32_t weight = 0;
  uint32_t strongest = 0;
  clk_ms group_ms = 0;

  for (uint32_t i = 0; i < suspect->end_count; i++)
    {
      const struct end *end = &suspect->ends[i];
      uint32_t strength = weigh_end (suspect, end);

      if (now - end->ended_ms > EVIDENCE_VALID_MS)
        continue;
      if (strongest > 0 && !counts_all
          && end->ended_ms - group_ms < SIMULTANEOUS_MS)
        {
          strongest = MAX (strongest, strength);
          continue;
        }
      weight += strongest;
      strongest = strength;
      group_ms = end->ended_ms;
    }
  return weight + strongest;
}

/* Returns the weight of evidence that puts PART in quarantine.  */
uint32_t
evidence_threshold (const struct quarantine *quarantine, uint64_t part,
                    clk_ms now)
{
  if (evidence_is_proven (quarantine, part, now))
    return PROVEN_WEIGHT_TO_QUARANTINE;
  return evidence_is_request (part) ? REQUEST_WEIGHT_TO_QUARANTINE
                                    : WEIGHT_TO_QUARANTINE;
}

/* Returns whether requests with PART have gone well, not too long ago.  */
int
evidence_is_proven (const struct quarantine *quarantine, uint64_t part,
                    clk_ms now)
{
  clk_ms at_ms = evidence_last_success_ms (quarantine, part);

  return at_ms != 0 && now - at_ms <= EVIDENCE_VALID_MS;
}
