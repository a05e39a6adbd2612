/* Private to request/quarantine.c and request/evidence.c. */
#ifndef LIBQUARANTINE_H
#define LIBQUARANTINE_H

#include "ibisloom/quarantine.h"

enum
{
  EVIDENCE_ENDS_MAX = 8,
  EVIDENCE_SUCCESS_SETS = 512,
  EVIDENCE_SUCCESS_WAYS = 4,
  EXPLAINED_MAX = 16 /* crashes of which further reports may come */
};

/* End of a target under a part. */
struct end
{
  uint64_t target;
  clk_ms ended_ms;
  enum quar_strength strength;
};

/* Evidence against a part, and its state. */
struct suspect
{
  uint64_t part; /* 0: unused */
  uint32_t version;
  uint32_t told_weight; /* of the evidence that others have */
  uint32_t end_count;
  struct end ends[EVIDENCE_ENDS_MAX]; /* in order of time */
  clk_ms since_ms;                    /* start of this state */
  clk_ms asked_ms;                    /* last request with the part, or end */
  clk_ms told_success_ms;             /* last success that others have told */
  uint8_t success_due;                /* the last success is to be told */
};

/* Last success under a part. */
struct success
{
  uint64_t part; /* 0: unused */
  clk_ms at_ms;
};

/* Crash for which a part of the request is in quarantine. */
struct explained
{
  uint64_t target;
  uint64_t request;
};

struct quarantine
{
  struct suspect suspects[QUAR_STATES_MAX];
  uint32_t suspect_count; /* entries in use, from the first */
  struct success successes[EVIDENCE_SUCCESS_SETS][EVIDENCE_SUCCESS_WAYS];
  /* Apart, as most requests do not come again.  */
  struct success request_successes[EVIDENCE_SUCCESS_SETS]
                                  [EVIDENCE_SUCCESS_WAYS];
  struct explained explained[EXPLAINED_MAX]; /* the last ones, as a ring */
  uint32_t explained_count;                  /* so far */
};

int evidence_is_request (uint64_t part);
void evidence_add_success (struct quarantine *quarantine, uint64_t part,
                           clk_ms at_ms);
clk_ms evidence_last_success_ms (const struct quarantine *quarantine,
                                 uint64_t part);
int evidence_is_proven (const struct quarantine *quarantine, uint64_t part,
                        clk_ms now);
void evidence_add_end (struct suspect *suspect,
                       const struct quar_crash *crash);
void evidence_drop_ends (struct suspect *suspect, clk_ms until_ms);
uint32_t evidence_weigh (const struct quarantine *quarantine,
                         const struct suspect *suspect, clk_ms now);
uint32_t evidence_threshold (const struct quarantine *quarantine,
                             uint64_t part, clk_ms now);

#endif
