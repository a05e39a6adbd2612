/* Retry policy: decides what follows a failed attempt. */
#ifndef IBISLOOM_RETRY_H
#define IBISLOOM_RETRY_H

#include <stdint.h>

#include "ibisloom/clock.h"
#include "ibisloom/metrics.h"

enum retry_fault
{
  RETRY_FAULT_CONNECT,          /* no connection; nothing was sent */
  RETRY_FAULT_ERROR_STATUS,     /* the target reported a server error */
  RETRY_FAULT_REJECTED,         /* reported by the target as not run  */
  RETRY_FAULT_DISCONNECTED,     /* closed before the end of the response */
  RETRY_FAULT_READ_TIMEOUT,     /* no byte within the read timeout */
  RETRY_FAULT_INVALID_RESPONSE, /* malformed, or for another request */
  RETRY_FAULT_UNREAD, /* broken off by the target, as the client's slowness
                         had kept it waiting */
  RETRY_FAULT_COUNT
};

enum retry_action
{
  RETRY_OTHER_TARGET, /* send from the start to another target */
  RETRY_RESUME,       /* resume at the same target, at the offset reached */
  RETRY_CONTINUE,     /* continue the partial response at another target */
  RETRY_WAIT,         /* keep the attempt, which is silent */
  RETRY_GIVE_UP
};

/* Whether a target executed the request. */
enum retry_run
{
  RETRY_NOT_RUN,
  RETRY_RAN,
  RETRY_MAY_HAVE_RUN
};

/* Why no further attempt is made. */
enum retry_reason
{
  RETRY_REASON_NONE,
  RETRY_REASON_DEADLINE,
  RETRY_REASON_BUDGET,
  RETRY_REASON_ATTEMPTS,
  RETRY_REASON_MAY_HAVE_RUN,
  RETRY_REASON_NO_TARGET,
  RETRY_REASON_QUARANTINED,
  RETRY_REASON_COUNT
};

struct retry_state
{
  enum retry_fault fault;
  int repeatable; /* may run more than once */
  int is_stream;
  int may_have_run; /* in an earlier attempt */
  int64_t tokens;   /* or events, relayed to the client */
  uint32_t attempts;
  uint32_t attempts_max;     /* 0: the default */
  uint32_t disconnects;      /* attempts broken off before any progress */
  int resumes_at_any_target; /* a stream may resume at another target */
  uint32_t resumes;          /* consecutive, without progress */
  clk_ms deadline_ms;
};

struct retry_decision
{
  enum retry_action action;
  enum retry_reason reason;
  enum retry_run run;
};

/* Retry budget of one service: a token bucket that each request fills by a
   fraction of a token and each retry drains by one. */
struct retry_budget
{
  double tokens;
  double max;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_set_max (struct retry_budget *budget, double max);
void retry_budget_deposit (struct retry_budget *budget, double share);
int retry_budget_has_token (const struct retry_budget *budget);
int retry_budget_take (struct retry_budget *budget);
void retry_decide (const struct retry_state *state,
                   struct retry_budget *budget, clk_ms now,
                   struct retry_decision *decision);

/* Counter of each fault. */
extern const enum metric_counter retry_counters[RETRY_FAULT_COUNT];

#endif
