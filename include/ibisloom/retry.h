/* What to do after an attempt that did not bring the whole answer. */
#ifndef IBISLOOM_RETRY_H
#define IBISLOOM_RETRY_H

#include <stdint.h>

#include "ibisloom/clock.h"
#include "ibisloom/metrics.h"

enum retry_fault
{
  RETRY_FAULT_CONNECT,        /* nothing was sent */
  RETRY_FAULT_ERROR_STATUS,   /* the target answered that it failed */
  RETRY_FAULT_REJECTED,       /* the target answered that it did not run it */
  RETRY_FAULT_DISCONNECTED,   /* the connection ended early */
  RETRY_FAULT_READ_TIMEOUT,   /* the connection fell silent */
  RETRY_FAULT_INVALID_ANSWER, /* the answer belongs to another request */
  RETRY_FAULT_COUNT
};

enum retry_action
{
  RETRY_OTHER_TARGET, /* another target, from the start */
  RETRY_RESUME,       /* the same target, at the offset reached */
  RETRY_RESTART,      /* another target, continuing the answer so far */
  RETRY_GIVE_UP
};

enum retry_run
{
  RETRY_NOT_RUN,
  RETRY_RAN,
  RETRY_MAY_HAVE_RUN
};

enum retry_reason
{
  RETRY_REASON_NONE,
  RETRY_REASON_DEADLINE,
  RETRY_REASON_BUDGET,
  RETRY_REASON_TRIES,
  RETRY_REASON_MAY_HAVE_RUN
};

struct retry_state
{
  enum retry_fault fault;
  int repeatable;
  int is_stream;
  int may_have_run; /* after an earlier attempt */
  int64_t tokens;   /* that the caller was sent */
  uint32_t tries;
  uint32_t tries_max;        /* 0: the usual */
  int resumes_at_any_target; /* a stream goes on at any target, not at its own
                              */
  uint32_t resumes;          /* in a row without progress */
  clk_ms deadline_ms;
};

struct retry_decision
{
  enum retry_action action;
  enum retry_reason reason;
  enum retry_run run;
};

/* Budget of one service: a share of its requests may be retried. */
struct retry_budget
{
  double tokens;
  double max;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_set_max (struct retry_budget *budget, double max);
void retry_budget_deposit (struct retry_budget *budget, double share);
void retry_decide (const struct retry_state *state,
                   struct retry_budget *budget, clk_ms now,
                   struct retry_decision *decision);

/* What counts each fault. */
extern const enum met_counter retry_counters[RETRY_FAULT_COUNT];

#endif
