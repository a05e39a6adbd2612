/* What the process of a target has said in its responses.

   A notice is bound to the process that gave it, and holds as long as no entry
   of another process has been read.  An entry that says otherwise, is read
   again, or comes from a restored store is no sign of another process.  */
#include <sys/param.h>

#include "ibisloom/pause.h"

enum
{
  PAUSE_MAX_MS = 60000,
  /* After a pause, the requests that this instance may have in progress there
     double in this time, so that a target that has become empty is not sent
     all that arrives.  */
  RAMP_DOUBLING_MS = 200,
  RAMP_MS = 1200 /* 64 requests: more than an instance has at one target */
};

/* How an entry relates to the process that is known. */
enum match
{
  MATCH_SAME,
  MATCH_OLDER, /* of a restored store, written before */
  MATCH_OTHER
};

static enum match match (const struct pause_process *known,
                         const struct pause_process *read);

/* Returns how READ relates to KNOWN.  The store is restored if it has another
   epoch; then an entry of an earlier process says nothing of the present one.
   If the entry does not tell the incarnation, it is of another process if that
   has written fewer entries, or has other software.  */
static enum match
match (const struct pause_process *known, const struct pause_process *read)
{
  int is_restored = read->epoch > known->epoch;

  if (read->incarnation != 0)
    {
      if (read->incarnation == known->incarnation)
        return MATCH_SAME;
      return is_restored && read->incarnation < known->incarnation
                 ? MATCH_OLDER
                 : MATCH_OTHER;
    }
  if (read->software == known->software && read->reports >= known->reports)
    return MATCH_SAME;
  return is_restored ? MATCH_OLDER : MATCH_OTHER;
}

/* Handles that an entry of the target was READ.  If it is of another process,
   what the one before said no longer applies.  Returns whether it is.  */
int
pause_read_process (struct pause_notice *notice,
                    const struct pause_process *read)
{
  uint64_t incarnation = notice->process.incarnation;

  switch (match (&notice->process, read))
    {
    case MATCH_OTHER:
      *notice = (struct pause_notice){ .process = *read };
      return 1;
    case MATCH_SAME:
      notice->process = *read;
      if (read->incarnation == 0)
        notice->process.incarnation = incarnation;
      return 0;
    default:
      return 0;
    }
}

/* Returns how much is granted of a pause of ASKED_MS.  */
int64_t
pause_cap_ms (int64_t asked_ms)
{
  return MIN (asked_ms, PAUSE_MAX_MS);
}

/* Begins a pause of ASKED_MS at NOW; one in force is never shortened.  Returns
   whether none was in force.  */
int
pause_begin (struct pause_notice *notice, int64_t asked_ms, clk_ms now)
{
  int is_begun = pause_left_ms (notice, now) == 0;

  if (is_begun)
    notice->paused_ms = now;
  notice->until_ms = MAX (notice->until_ms, now + pause_cap_ms (asked_ms));
  notice->is_open = 1;
  return is_begun;
}

/* Returns once whether a pause that had begun has ended at NOW.  */
int
pause_end (struct pause_notice *notice, clk_ms now)
{
  if (!notice->is_open || pause_left_ms (notice, now) > 0)
    return 0;
  notice->is_open = 0;
  return 1;
}

/* Returns how much is left at NOW of a pause, 0 if there is none.  */
int64_t
pause_left_ms (const struct pause_notice *notice, clk_ms now)
{
  return MAX (notice->until_ms - now, 0);
}

/* Returns whether the target, whose pause has ended lately, has enough with
   the IN_FLIGHT requests of this instance at NOW.  */
int
pause_restrains (const struct pause_notice *notice, uint32_t in_flight,
                 clk_ms now)
{
  int64_t since_ms = now - notice->until_ms;

  return notice->until_ms != 0 && since_ms >= 0 && since_ms < RAMP_MS
         && in_flight >= 1U << (since_ms / RAMP_DOUBLING_MS);
}
