/* Quarantine: parts of prompts, and requests that come again, which crash the
   targets that respond to them.

   When the process of a target ends, the requests that it had in progress
   speak against the parts of their prompts; a response that went well speaks
   for them, whichever instance relayed it.  A part under which targets ended
   repeatedly, and nothing went well in between, is put in quarantine: requests
   with it are refused.  It is released as soon as a request with it goes well
   after all, be it one that was in progress or a trial.

   Ends at about the same time count once, since what ends many targets at
   once, such as the loss of a failure domain, is no request.  Of the parts of
   one prompt only one is suspected: the one with the most evidence, and among
   equals the last, since the first parts are shared most widely.  Of a prompt
   with more parts than a report holds, this goes for the parts of each report,
   and the reports of a crash that follow are explained by the first.

   A request as a whole is known by path, caller and body.  Other requests are
   rarely in progress at the same targets as one that comes again and again, so
   that each end under it counts alike, and ends at the same time count one by
   one, unless the request has gone well before: then it is popular, and may
   have been in progress at many targets.  */
#include <string.h>

#include <glib.h>

#include "libquarantine.h"

enum
{
  /* A success this recent lies between the ends that others have counted.  */
  SUCCESS_CURRENT_MS = 10000,
  TRIAL_MS = 60000, /* until the first trial; doubles with each */
  TRIAL_DOUBLINGS_MAX = 10,
  UNUSED_MS = 3600000, /* without a request, a part is released */
  /* A success by so much later than the last one told is news.  */
  SUCCESS_NEWS_MS = 500,
  RELEASE_TOLD_MS = 60000 /* until all instances have heard of a release */
};

static struct suspect *find_suspect (const struct quarantine *quarantine,
                                     uint64_t part);
static struct suspect *get_suspect (struct quarantine *quarantine,
                                    uint64_t part);
static int is_explained (const struct quarantine *quarantine,
                         const struct quar_crash *crash);
static void remember_explained (struct quarantine *quarantine,
                                const struct quar_crash *crash);
static struct suspect *add_evidence (struct quarantine *quarantine,
                                     const struct quar_crash *crash,
                                     uint64_t part, int explained, clk_ms now);
static int is_less_useful (const struct suspect *a, const struct suspect *b);
static int is_quarantined (const struct suspect *suspect);
static clk_ms trial_due_ms (const struct suspect *suspect);
static struct quar_state set_version (const struct quarantine *quarantine,
                                      struct suspect *suspect,
                                      uint32_t version, clk_ms now);
static struct quar_state state_of (const struct quarantine *quarantine,
                                   const struct suspect *suspect, clk_ms now);

/* Returns an empty quarantine.  */
struct quarantine *
quar_new (void)
{
  return g_new0 (struct quarantine, 1);
}

/* Frees QUARANTINE.  */
void
quar_free (struct quarantine *quarantine)
{
  g_free (quarantine);
}

/* Records CRASH as evidence against the parts in it.  If that puts one of them
   in quarantine, returns 1 and stores its state in CHANGED.  A crash under a
   part that is in quarantine already is explained by that part.  */
int
quar_record_crash (struct quarantine *quarantine,
                   const struct quar_crash *crash, clk_ms now,
                   struct quar_state *changed)
{
  int explained = is_explained (quarantine, crash);
  struct suspect *worst = NULL;
  uint32_t worst_weight = 0;

  for (uint32_t i = 0; i < crash->part_count; i++)
    {
      struct suspect *suspect
          = add_evidence (quarantine, crash, crash->parts[i], explained, now);
      uint32_t weight
          = suspect != NULL ? evidence_weigh (quarantine, suspect, now) : 0;

      if (suspect == NULL || weight < worst_weight
          || weight < evidence_threshold (quarantine, suspect->part, now))
        continue;
      worst = suspect;
      worst_weight = weight;
    }
  if (explained || worst == NULL)
    return 0;
  remember_explained (quarantine, crash);
  *changed = set_version (quarantine, worst, worst->version + 1, now);
  return 1;
}

/* Returns whether one of the parts in CRASH is in quarantine, or another part
   of the same request was put there for the same end of a target.  */
static int
is_explained (const struct quarantine *quarantine,
              const struct quar_crash *crash)
{
  for (uint32_t i = 0; crash->part_count > 0 && i < EXPLAINED_MAX; i++)
    if (quarantine->explained[i].target == crash->target
        && quarantine->explained[i].request
               == crash->parts[crash->part_count - 1])
      return 1;
  for (uint32_t i = 0; i < crash->part_count; i++)
    {
      const struct suspect *suspect
          = find_suspect (quarantine, crash->parts[i]);

      if (suspect != NULL && is_quarantined (suspect))
        return 1;
    }
  return 0;
}

/* Remembers that a part in CRASH was put in quarantine for it.  */
static void
remember_explained (struct quarantine *quarantine,
                    const struct quar_crash *crash)
{
  quarantine->explained[quarantine->explained_count++ % EXPLAINED_MAX]
      = (struct explained){ crash->target,
                            crash->parts[crash->part_count - 1] };
}

/* Adds CRASH to the evidence against PART; if the crash is EXPLAINED, only if
   PART is in quarantine.  Returns the entry of PART, or NULL if the crash says
   nothing about it: it came before the last release or success.  */
static struct suspect *
add_evidence (struct quarantine *quarantine, const struct quar_crash *crash,
              uint64_t part, int explained, clk_ms now)
{
  struct suspect *suspect = find_suspect (quarantine, part);
  int quarantined = suspect != NULL && is_quarantined (suspect);

  if (part == 0 || (explained && !quarantined))
    return NULL;
  if (suspect != NULL && suspect->version > 0 && !quarantined
      && crash->ended_ms <= suspect->since_ms)
    return NULL;
  suspect = get_suspect (quarantine, part);
  suspect->asked_ms = now;
  suspect->success_due = 1;
  if (crash->ended_ms <= evidence_last_success_ms (quarantine, part))
    return NULL;
  evidence_add_end (suspect, crash);
  return suspect;
}

/* Records that a request with COUNT PARTS went well: its response was
   complete, or a stream went on for a while.  Releases those of them that are
   in quarantine.  Stores their states in RELEASED, which has room for all
   parts, and returns how many there are.  */
uint32_t
quar_record_success (struct quarantine *quarantine, const uint64_t *parts,
                     uint32_t count, clk_ms now, struct quar_state *released)
{
  uint32_t released_count = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      struct suspect *suspect = find_suspect (quarantine, parts[i]);

      evidence_add_success (quarantine, parts[i], now);
      if (suspect == NULL)
        continue;
      suspect->end_count = 0;
      suspect->told_weight = 0;
      if (is_quarantined (suspect))
        released[released_count++]
            = set_version (quarantine, suspect, suspect->version + 1, now);
    }
  return released_count;
}

/* Adopts STATE, which another instance has told or the store has kept, if it
   is newer.  Returns whether the part entered or left quarantine.  */
int
quar_merge (struct quarantine *quarantine, const struct quar_state *state,
            clk_ms now)
{
  struct suspect *suspect;
  int was_quarantined;

  if (state->part == 0 || state->version == 0)
    return 0;
  suspect = get_suspect (quarantine, state->part);
  if (state->version < suspect->version)
    return 0;
  suspect->told_weight = MAX (suspect->told_weight, state->weight);
  if (state->version == suspect->version)
    return 0;
  was_quarantined = is_quarantined (suspect);
  set_version (quarantine, suspect, state->version, now);
  return is_quarantined (suspect) != was_quarantined;
}

/* Finds a part under which a target has ended, and with which this instance
   has had a later success than others have told.  Stores it in SUCCESS and
   returns 1; returns 0 if there is none.  */
int
quar_next_success (struct quarantine *quarantine, struct quar_success *success)
{
  for (uint32_t i = 0; i < quarantine->suspect_count; i++)
    {
      struct suspect *suspect = &quarantine->suspects[i];
      clk_ms at_ms = evidence_last_success_ms (quarantine, suspect->part);

      if (!suspect->success_due)
        continue;
      suspect->success_due = 0;
      if (at_ms <= suspect->told_success_ms + SUCCESS_NEWS_MS)
        continue;
      suspect->told_success_ms = at_ms;
      *success
          = (struct quar_success){ .part = suspect->part, .at_ms = at_ms };
      return 1;
    }
  return 0;
}

/* Records SUCCESS, which another instance has had: ends before it no longer
   count.  */
void
quar_merge_success (struct quarantine *quarantine,
                    const struct quar_success *success)
{
  struct suspect *suspect = find_suspect (quarantine, success->part);

  if (success->part == 0
      || success->at_ms
             <= evidence_last_success_ms (quarantine, success->part))
    return;
  evidence_add_success (quarantine, success->part, success->at_ms);
  if (suspect == NULL)
    return;
  suspect->told_success_ms = success->at_ms;
  evidence_drop_ends (suspect, success->at_ms);
}

/* Finds a part in quarantine of which this instance knows better: a request
   with it went well after the first end, or it had proven itself and the
   evidence does not suffice against that.  Releases it, stores its state in
   RELEASED and returns 1; returns 0 if there is none.  */
int
quar_next_objection (struct quarantine *quarantine, clk_ms now,
                     struct quar_state *released)
{
  for (uint32_t i = 0; i < quarantine->suspect_count; i++)
    {
      struct suspect *suspect = &quarantine->suspects[i];
      clk_ms success_ms = evidence_last_success_ms (quarantine, suspect->part);
      uint32_t weight = evidence_weigh (quarantine, suspect, now);

      if (now - success_ms > SUCCESS_CURRENT_MS)
        weight = MAX (weight, suspect->told_weight);
      if (!is_quarantined (suspect) || success_ms == 0
          || weight >= evidence_threshold (quarantine, suspect->part, now))
        continue;
      *released = set_version (quarantine, suspect, suspect->version + 1, now);
      return 1;
    }
  return 0;
}

/* Releases a part in quarantine that has not been asked for in UNUSED_MS.
   Returns as quar_next_objection.  Also forgets the parts that were released
   long ago, which others then know.  */
int
quar_next_unused (struct quarantine *quarantine, clk_ms now,
                  struct quar_state *released)
{
  for (uint32_t i = 0; i < quarantine->suspect_count; i++)
    {
      struct suspect *suspect = &quarantine->suspects[i];

      if (!is_quarantined (suspect)
          && now - suspect->since_ms > RELEASE_TOLD_MS)
        suspect->version = 0;
      if (!is_quarantined (suspect)
          || now - MAX (suspect->asked_ms, suspect->since_ms) < UNUSED_MS)
        continue;
      *released = set_version (quarantine, suspect, suspect->version + 1, now);
      return 1;
    }
  return 0;
}

/* Decides whether a request with COUNT PARTS may be sent to a target.  Unless
   it may, stores the state of the part that prevents it in BLOCKING, and the
   time until its next trial in WAIT_MS.  */
enum quar_verdict
quar_check (struct quarantine *quarantine, const uint64_t *parts,
            uint32_t count, clk_ms now, struct quar_state *blocking,
            int64_t *wait_ms)
{
  enum quar_verdict verdict
      = quar_look (quarantine, parts, count, now, blocking, wait_ms);

  for (uint32_t i = 0; i < count && verdict != QUAR_PASS; i++)
    {
      struct suspect *suspect = find_suspect (quarantine, parts[i]);

      if (suspect != NULL && is_quarantined (suspect))
        suspect->asked_ms = now;
    }
  return verdict;
}

/* Decides as quar_check does, without recording that the parts were asked
   for.  */
enum quar_verdict
quar_look (const struct quarantine *quarantine, const uint64_t *parts,
           uint32_t count, clk_ms now, struct quar_state *blocking,
           int64_t *wait_ms)
{
  enum quar_verdict verdict = QUAR_PASS;

  *wait_ms = 0;
  for (uint32_t i = 0; i < count && quarantine->suspect_count > 0; i++)
    {
      const struct suspect *suspect = find_suspect (quarantine, parts[i]);

      if (suspect == NULL || !is_quarantined (suspect))
        continue;
      *blocking = state_of (quarantine, suspect, now);
      *wait_ms = MAX (*wait_ms, trial_due_ms (suspect) - now);
      verdict = *wait_ms > 0 || verdict != QUAR_PASS ? QUAR_REFUSE
                                                     : QUAR_TRIAL_DUE;
    }
  return verdict;
}

/* Begins a trial of PART, which is in quarantine: the next one is due after
   twice the time.  Returns the new state.  */
struct quar_state
quar_begin_trial (struct quarantine *quarantine, uint64_t part, clk_ms now)
{
  struct suspect *suspect = get_suspect (quarantine, part);

  return set_version (quarantine, suspect, suspect->version + 2, now);
}

/* Stores the state of PART in STATE.  Returns 0 if it was never in
   quarantine.  */
int
quar_find (const struct quarantine *quarantine, uint64_t part,
           struct quar_state *state)
{
  const struct suspect *suspect = find_suspect (quarantine, part);

  if (suspect == NULL || suspect->version == 0)
    return 0;
  *state = (struct quar_state){ .part = part, .version = suspect->version };
  return 1;
}

/* Stores the state at CURSOR in STATE and advances CURSOR.  Returns 0 at the
   end.  */
int
quar_next (const struct quarantine *quarantine, struct quar_cursor *cursor,
           struct quar_state *state)
{
  while (cursor->index < quarantine->suspect_count)
    {
      const struct suspect *suspect = &quarantine->suspects[cursor->index++];

      if (suspect->version == 0)
        continue;
      *state = state_of (quarantine, suspect, suspect->since_ms);
      return 1;
    }
  return 0;
}

/* Returns how many parts are in quarantine.  */
uint32_t
quar_count (const struct quarantine *quarantine)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < quarantine->suspect_count; i++)
    count += is_quarantined (&quarantine->suspects[i]) != 0;
  return count;
}

/* Returns the entry of PART, or NULL.  */
static struct suspect *
find_suspect (const struct quarantine *quarantine, uint64_t part)
{
  for (uint32_t i = 0; i < quarantine->suspect_count; i++)
    if (quarantine->suspects[i].part == part)
      return (struct suspect *)&quarantine->suspects[i];
  return NULL;
}

/* Returns the entry of PART, created if it is new.  If there is no room, it
   replaces the one that is of the least use.  */
static struct suspect *
get_suspect (struct quarantine *quarantine, uint64_t part)
{
  struct suspect *found = find_suspect (quarantine, part);

  if (found != NULL)
    return found;
  if (quarantine->suspect_count < QUAR_STATES_MAX)
    found = &quarantine->suspects[quarantine->suspect_count++];
  else
    {
      found = &quarantine->suspects[0];
      for (uint32_t i = 1; i < QUAR_STATES_MAX; i++)
        if (is_less_useful (&quarantine->suspects[i], found))
          found = &quarantine->suspects[i];
    }
  memset (found, 0, sizeof *found);
  found->part = part;
  return found;
}

/* Returns whether A is of less use than B: not in quarantine, with fewer ends,
   or not asked for since longer.  */
static int
is_less_useful (const struct suspect *a, const struct suspect *b)
{
  if (is_quarantined (a) != is_quarantined (b))
    return is_quarantined (a) < is_quarantined (b);
  if (a->end_count != b->end_count)
    return a->end_count < b->end_count;
  return a->asked_ms < b->asked_ms;
}

static int
is_quarantined (const struct suspect *suspect)
{
  return suspect->version % 2 != 0;
}

/* Returns when the next trial of SUSPECT is due.  */
static clk_ms
trial_due_ms (const struct suspect *suspect)
{
  return suspect->since_ms
         + ((clk_ms)TRIAL_MS
            << MIN (suspect->version / 2, TRIAL_DOUBLINGS_MAX));
}

/* Begins the state VERSION of SUSPECT, which it returns.  A release clears the
   evidence.  */
static struct quar_state
set_version (const struct quarantine *quarantine, struct suspect *suspect,
             uint32_t version, clk_ms now)
{
  struct quar_state state;

  suspect->version = version;
  suspect->since_ms = now;
  suspect->asked_ms = now;
  state = state_of (quarantine, suspect, now);
  if (is_quarantined (suspect))
    return state;
  suspect->end_count = 0;
  suspect->told_weight = 0;
  return state;
}

/* Returns the state of SUSPECT for other instances.  */
static struct quar_state
state_of (const struct quarantine *quarantine, const struct suspect *suspect,
          clk_ms now)
{
  return (struct quar_state){ .part = suspect->part,
                              .version = suspect->version,
                              .weight = MAX (
                                  suspect->told_weight,
                                  evidence_weigh (quarantine, suspect, now)) };
}
