/* What recent calls say about whether a target works. */
#include "ibisloom/trust.h"

enum
{
  FULL_PAUSE_MS = 150,    /* a queue of plain calls drains in that time */
  CONNECT_PAUSE_MS = 500, /* a restart takes longer, a lost packet less */
  SILENT_PAUSE_MS = 1000,
  BROKEN_PAUSE_MS = 400,
  MISTAKEN_PAUSE_MS = 3000, /* until the registry shows the new entry */
  PAUSE_MAX_MS = 4000,
  BROKEN_TO_AVOID = 2,
  DOUBLINGS_MAX = 4
};

/* Weight of the newest answer in the share of errors. */
static const double ERROR_WEIGHT = 0.08;

struct consequence
{
  uint32_t faults_to_avoid; /* 0: no fault */
  int64_t pause_ms;
  int doubles; /* the pause, with each fault in a row */
};

static const struct consequence consequences[TRU_EVENT_COUNT] = {
  [TRU_FULL] = { 1, FULL_PAUSE_MS, 0 },
  [TRU_NO_CONNECT] = { 1, CONNECT_PAUSE_MS, 1 },
  [TRU_BROKEN] = { BROKEN_TO_AVOID, BROKEN_PAUSE_MS, 1 },
  [TRU_SILENT] = { 1, SILENT_PAUSE_MS, 1 },
  [TRU_MISTAKEN] = { 1, MISTAKEN_PAUSE_MS, 0 },
};

/* Takes EVENT of a call that ended at NOW into account.  */
void
tru_note (struct tru *tru, enum tru_event event, clk_ms now)
{
  const struct consequence *consequence = &consequences[event];
  int64_t pause_ms = consequence->pause_ms;
  uint32_t doublings;

  if (event == TRU_ANSWERED || event == TRU_ERROR)
    {
      tru->error_share
          += ERROR_WEIGHT
             * ((event == TRU_ERROR ? 1.0 : 0.0) - tru->error_share);
      tru->faults = 0;
      tru->retry_ms = 0;
      return;
    }
  tru->faults++;
  if (tru->faults < consequence->faults_to_avoid)
    return;
  doublings = tru->faults - consequence->faults_to_avoid;
  if (doublings > DOUBLINGS_MAX)
    doublings = DOUBLINGS_MAX;
  if (consequence->doubles)
    pause_ms <<= doublings;
  if (pause_ms > PAUSE_MAX_MS)
    pause_ms = PAUSE_MAX_MS;
  if (now + pause_ms > tru->retry_ms)
    tru->retry_ms = now + pause_ms;
}

/* A request is sent to the target.  Returns whether it is a trial, which the
   end of the request is told with.  */
int
tru_begin (struct tru *tru)
{
  if (tru->retry_ms == 0)
    return 0;
  tru->trials++;
  return 1;
}

/* A request that tru_begin told IS_TRIAL of has ended.  */
void
tru_end (struct tru *tru, int is_trial)
{
  if (is_trial && tru->trials > 0)
    tru->trials--;
}

/* Returns how far the target may be used at NOW.  */
enum tru_use
tru_judge (const struct tru *tru, clk_ms now)
{
  if (tru->retry_ms == 0)
    return TRU_USABLE;
  if (now < tru->retry_ms)
    return TRU_AVOID;
  return tru->trials > 0 ? TRU_AVOID : TRU_TRIAL;
}
