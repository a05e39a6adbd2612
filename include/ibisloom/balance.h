/* Load balancer: selects the target of a request. */
#ifndef IBISLOOM_BALANCE_H
#define IBISLOOM_BALANCE_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/affinity.h"
#include "ibisloom/health.h"

enum
{
  /* Room for ten targets of one service per instance at 1,600 instances.
     Unused pages of static arrays of this size take no memory.  */
  BAL_CANDIDATES_MAX = 20000
};

/* Current state of a target as seen by this instance. */
struct bal_candidate
{
  uint64_t id; /* hash of the name */
  double load; /* requests in progress, summed over all instances */
  int32_t slots;
  enum health_state state;
  double error_rate;    /* moving average, 0 to 1 */
  uint8_t local;        /* in this instance's failure domain */
  uint8_t excluded;     /* not to be used for this request */
  uint8_t warming_up;   /* recently started and still slow */
  uint8_t rate_limited; /* limits its request rate, or is cold */
  uint8_t is_cold;      /* takes only a low request rate for a time */
  double rate_tokens;   /* requests that its rate limit allows now */
  uint8_t is_paced_out; /* started or recovered, and has enough for now */
  uint8_t has_no_room;  /* brittle, and not to be sent another request now */
  /* Until it would have read the prompt of this request, and how much of that
     is reading or copying the context; see work_estimate.  */
  double begin_ms;
  double read_ms;
  uint8_t is_leaving; /* by its responses */
  uint8_t is_paused;  /* by its responses, for a time */
};

struct bal_params
{
  uint64_t context; /* hash of the shared parts of the prompt, 0: none */
  const struct affinity_holders *holders; /* of the context; may be NULL */
  double cap_factor; /* load bound as a multiple of the mean; 0: no bound */
  double cap_slack;  /* requests added to the bound */
  /* Targets in evacuated failure domains, which are no candidates but count in
     the mean, and the requests in progress there.  */
  uint32_t evacuated_count;
  double evacuated_load;
  double rate_min;       /* tokens that a target with a rate limit must have */
  double significant_ms; /* difference of begin_ms that counts; 0: none does */
  double detour_ms;      /* the same, for which a holder is passed over */
  uint8_t is_pinned;     /* few targets will do: full and suspended ones too */
  uint8_t ignores_pace;  /* no target is left without the pace */
  uint8_t may_try;       /* may be the trial of a target that is due for one */
  uint8_t prefers_local; /* a context is kept in each failure domain */
  uint8_t is_local_only; /* only targets in this instance's failure domain */
  uint32_t random; /* index at which the search for the least load starts */
};

/* Rule by which the target was selected, or why none was. */
enum bal_reason
{
  BAL_HOLDER,        /* holds the context */
  BAL_HOME,          /* first in the rendezvous ranking of the context */
  BAL_NEXT_HOME,     /* later in that ranking, for load or health */
  BAL_LEAST_LOADED,  /* least loaded */
  BAL_TRIAL,         /* target due for a trial, or in doubt */
  BAL_NO_TARGET,     /* no usable target */
  BAL_ALL_FULL,      /* every usable target is at the load bound */
  BAL_RATES_USED_UP, /* every usable target is at its rate limit */
  BAL_ALL_EVACUATED, /* every target is in an evacuated failure domain */
  BAL_ALL_PAUSED,    /* no usable target is left but paused ones */
  BAL_HOP,           /* through another instance, which chooses the target */
  BAL_REASON_COUNT
};

/* Why the first holder of the context was skipped. */
enum bal_skip
{
  BAL_SKIP_NONE,      /* not skipped, or no holder is known */
  BAL_SKIP_ABSENT,    /* not among the candidates */
  BAL_SKIP_TRIED,     /* excluded for this request */
  BAL_SKIP_SUSPENDED, /* suspended, or due for a trial request */
  BAL_SKIP_LOADED,    /* at the load bound or out of slots */
  BAL_SKIP_ERRORS,    /* error rate far above the lowest one */
  BAL_SKIP_RATE,      /* at its rate limit */
  BAL_SKIP_ROOM,      /* brittle, without room */
  BAL_SKIP_PACE,      /* started or recovered, and at its pace */
  BAL_SKIP_REMOTE,    /* in another failure domain, one nearby will do */
  BAL_SKIP_BUSY,      /* would begin so late that others are sooner */
  BAL_SKIP_LEAVING,   /* has said that it is leaving */
  BAL_SKIP_PAUSED,    /* has asked for a pause */
  BAL_SKIP_COUNT
};

struct bal_choice
{
  size_t index; /* of the selected candidate */
  enum bal_reason reason;
  enum bal_skip skip;
  uint8_t ignored_pace;  /* all targets are at their paces, or full */
  uint64_t other_home;   /* id of the home that was not selected, 0: none */
  double load;           /* of the selected candidate */
  double mean;           /* mean load of the candidates not suspended */
  double limit;          /* load up to which a target may be selected */
  double begin_ms;       /* of the selected candidate */
  double begin_limit_ms; /* up to which one with the context may be selected */
};

extern const char *const bal_reason_names[BAL_REASON_COUNT];
extern const char *const bal_skip_names[BAL_SKIP_COUNT];

int bal_pick (const struct bal_params *params,
              const struct bal_candidate *candidates, size_t count,
              struct bal_choice *choice);
enum bal_skip bal_skip_reason (const struct bal_params *params,
                               const struct bal_candidate *candidates,
                               size_t count, const struct bal_choice *choice,
                               size_t index);

#endif
