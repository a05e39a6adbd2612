/* Choice of the target that a request is sent to. */
#ifndef IBISLOOM_CHOOSE_H
#define IBISLOOM_CHOOSE_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/context.h"
#include "ibisloom/trust.h"

enum
{
  /* Ten targets of one service an instance, at 1,600 instances, and some to
     spare; what is not used of tables of this size takes no memory.  */
  CHO_CANDIDATES_MAX = 20000
};

/* A target as this instance sees it now. */
struct cho_candidate
{
  uint64_t id; /* hash of its name */
  double load; /* requests that it holds, over all instances */
  int32_t slots;
  enum tru_use use;
  double error_share;
  uint8_t local;    /* in this instance's failure domain */
  uint8_t excluded; /* this request was there already */
  uint8_t cold;     /* still slow after its start */
};

struct cho_wish
{
  uint64_t context; /* hash of the shared parts of the prompt, 0: none */
  const struct ctx_holders *holders; /* of the context; may be NULL */
  double cap_factor;
  double cap_slack;
  uint32_t random;
};

enum cho_reason
{
  CHO_HOLDER, /* it has the context */
  CHO_HOME,   /* the first choice for the context */
  CHO_NEAR,   /* a later choice, for load or trust */
  CHO_LEAST,  /* the least loaded */
  CHO_TRIAL,  /* a suspected target, since nothing better is left */
  CHO_NONE,   /* no target at all */
  CHO_FULL,   /* every target is at its limit */
  CHO_REASON_COUNT
};

/* Why the first holder of a context was passed over. */
enum cho_pass
{
  CHO_PASS_NONE, /* it was not, or there is none */
  CHO_PASS_ABSENT,
  CHO_PASS_TRIED,
  CHO_PASS_SUSPECT,
  CHO_PASS_LOADED,
  CHO_PASS_ERRORS,
  CHO_PASS_COUNT
};

struct cho_choice
{
  size_t index;
  enum cho_reason reason;
  enum cho_pass pass;
  double load;
  double mean;
};

extern const char *const cho_reason_names[CHO_REASON_COUNT];
extern const char *const cho_pass_names[CHO_PASS_COUNT];

int cho_pick (const struct cho_wish *wish,
              const struct cho_candidate *candidates, size_t count,
              struct cho_choice *choice);

#endif
