/* Choice of the target that a request is sent to. */
#ifndef IBISLOOM_BALANCE_H
#define IBISLOOM_BALANCE_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/affinity.h"
#include "ibisloom/health.h"

enum
{
  /* Ten targets of one service an instance, at 1,600 instances, and some to
     spare; what is not used of tables of this size takes no memory.  */
  BAL_CANDIDATES_MAX = 20000
};

/* A target as this instance sees it now. */
struct bal_candidate
{
  uint64_t id; /* hash of its name */
  double load; /* requests that it holds, over all instances */
  int32_t slots;
  enum health_state state;
  double error_rate;
  uint8_t local;      /* in this instance's failure domain */
  uint8_t excluded;   /* this request was there already */
  uint8_t warming_up; /* still slow after its start */
};

struct bal_params
{
  uint64_t context; /* hash of the shared parts of the prompt, 0: none */
  const struct affinity_holders *holders; /* of the context; may be NULL */
  double cap_factor;
  double cap_slack;
  uint32_t random;
};

enum bal_reason
{
  BAL_HOLDER,       /* it has the context */
  BAL_HOME,         /* the first choice for the context */
  BAL_NEXT_HOME,    /* a later choice, for load or trust */
  BAL_LEAST_LOADED, /* the least loaded */
  BAL_TRIAL,        /* a suspected target, since nothing better is left */
  BAL_NO_TARGET,    /* no target at all */
  BAL_ALL_FULL,     /* every target is at its limit */
  BAL_REASON_COUNT
};

/* Why the first holder of a context was passed over. */
enum bal_skip
{
  BAL_SKIP_NONE, /* it was not, or there is none */
  BAL_SKIP_ABSENT,
  BAL_SKIP_TRIED,
  BAL_SKIP_SUSPECT,
  BAL_SKIP_LOADED,
  BAL_SKIP_ERRORS,
  BAL_SKIP_COUNT
};

struct bal_choice
{
  size_t index;
  enum bal_reason reason;
  enum bal_skip skip;
  double load;
  double mean;
};

extern const char *const bal_reason_names[BAL_REASON_COUNT];
extern const char *const bal_skip_names[BAL_SKIP_COUNT];

int bal_pick (const struct bal_params *params,
              const struct bal_candidate *candidates, size_t count,
              struct bal_choice *choice);

#endif
