/* Quarantine: what crashes the targets that respond to it, a part of prompts
   or a request that comes again. */
#ifndef IBISLOOM_QUARANTINE_H
#define IBISLOOM_QUARANTINE_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  QUAR_PARTS_MAX = 32,   /* of one report, with the request itself */
  QUAR_STATES_MAX = 1024 /* parts that are or were suspected */
};

/* A request as a whole is one more part, the last one, which stands for its
   path, caller and body.  Set in the identifiers of those, and in no others.
 */
static const uint64_t QUAR_REQUEST_BIT = UINT64_C (1) << 63;

/* How strongly the end of a target speaks against a request that it had in
   progress then. */
enum quar_strength
{
  QUAR_CUT_OFF = 0, /* the target does not answer, and may be alive */
  QUAR_WITNESS = 1, /* not begun, or events were coming */
  QUAR_SUSPECT = 2  /* the head of the response had come, and nothing more */
};

/* A request that was in progress at a target when its process ended, with all
   its parts, or, of many, with some: then there is a report for each group,
   and the request itself is the last part in all of them. */
struct quar_crash
{
  uint64_t target; /* identifies the process that ended */
  enum quar_strength strength;
  clk_ms ended_ms;
  uint32_t part_count;
  uint64_t parts[QUAR_PARTS_MAX]; /* the shared ones, in order, and itself */
};

/* State of a part, as instances tell each other.  The higher version wins. */
struct quar_state
{
  uint64_t part;
  uint32_t version; /* odd: in quarantine */
  uint32_t weight;  /* of the evidence */
};

/* Last success with a part, as instances tell each other when a target has
   ended under it. */
struct quar_success
{
  uint64_t part;
  clk_ms at_ms;
};

enum quar_verdict
{
  QUAR_PASS,
  QUAR_TRIAL_DUE, /* one request may be sent as a trial */
  QUAR_REFUSE
};

/* Position of an iteration over all states; starts zeroed. */
struct quar_cursor
{
  uint32_t index;
};

struct quarantine;

struct quarantine *quar_new (void);
void quar_free (struct quarantine *quarantine);
int quar_record_crash (struct quarantine *quarantine,
                       const struct quar_crash *crash, clk_ms now,
                       struct quar_state *changed);
uint32_t quar_record_success (struct quarantine *quarantine,
                              const uint64_t *parts, uint32_t count,
                              clk_ms now, struct quar_state *released);
int quar_merge (struct quarantine *quarantine, const struct quar_state *state,
                clk_ms now);
int quar_next_success (struct quarantine *quarantine,
                       struct quar_success *success);
void quar_merge_success (struct quarantine *quarantine,
                         const struct quar_success *success);
int quar_next_objection (struct quarantine *quarantine, clk_ms now,
                         struct quar_state *released);
int quar_next_unused (struct quarantine *quarantine, clk_ms now,
                      struct quar_state *released);
enum quar_verdict quar_look (const struct quarantine *quarantine,
                             const uint64_t *parts, uint32_t count, clk_ms now,
                             struct quar_state *blocking, int64_t *wait_ms);
enum quar_verdict quar_check (struct quarantine *quarantine,
                              const uint64_t *parts, uint32_t count,
                              clk_ms now, struct quar_state *blocking,
                              int64_t *wait_ms);
struct quar_state quar_begin_trial (struct quarantine *quarantine,
                                    uint64_t part, clk_ms now);
int quar_find (const struct quarantine *quarantine, uint64_t part,
               struct quar_state *state);
int quar_next (const struct quarantine *quarantine, struct quar_cursor *cursor,
               struct quar_state *state);
uint32_t quar_count (const struct quarantine *quarantine);

#endif
