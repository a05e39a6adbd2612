/* What recent calls say about whether a target works. */
#ifndef IBISLOOM_HEALTH_H
#define IBISLOOM_HEALTH_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum health_event
{
  HEALTH_ANSWERED,       /* a whole answer, whatever its status but an error */
  HEALTH_ERROR,          /* an answer that says the target failed */
  HEALTH_REJECTED,       /* refused without running */
  HEALTH_CONNECT_FAILED, /* no connection could be made */
  HEALTH_DISCONNECTED,   /* the connection ended early */
  HEALTH_TIMED_OUT,      /* no byte for longer than is usual */
  HEALTH_MISDIRECTED,    /* another process has the address */
  HEALTH_EVENT_COUNT
};

enum health_state
{
  HEALTH_USABLE,
  HEALTH_TRIAL, /* suspected; one request may show whether it is well again */
  HEALTH_SUSPENDED
};

struct health
{
  uint32_t consecutive_failures; /* in a row */
  uint32_t trials_in_flight;     /* on the way */
  clk_ms suspended_until_ms;     /* no use before, while there are faults */
  double error_rate;
};

int health_begin_request (struct health *health);
void health_end_request (struct health *health, int is_trial);
void health_record (struct health *health, enum health_event event,
                    clk_ms now);
enum health_state health_get_state (const struct health *health, clk_ms now);

#endif
