/* Passive health check of a target, from the outcomes of recent requests. */
#ifndef IBISLOOM_HEALTH_H
#define IBISLOOM_HEALTH_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Outcome of a request, as far as it concerns the health of its target. */
enum health_event
{
  HEALTH_RESPONDED,      /* complete response other than a server error */
  HEALTH_SERVER_ERROR,   /* complete response that reports a server error */
  HEALTH_REJECTED,       /* rejected without running */
  HEALTH_CONNECT_FAILED, /* connection not established */
  HEALTH_DISCONNECTED,   /* connection closed early, or invalid response */
  HEALTH_TIMED_OUT,      /* no byte within the read timeout */
  HEALTH_KEPT_SILENT,    /* the same, on a connection that had carried an
                            earlier request and may have gone dark */
  HEALTH_WENT_ON,        /* sent something after a silence */
  HEALTH_MISDIRECTED,    /* the address belongs to another process now */
  HEALTH_EVENT_COUNT
};

enum health_state
{
  HEALTH_USABLE,
  HEALTH_TRIAL,   /* suspension is over; one trial request may be sent */
  HEALTH_DOUBTED, /* suspended, for silent kept connections alone */
  HEALTH_SUSPENDED
};

struct health
{
  uint32_t consecutive_failures;
  uint32_t trials_in_flight;
  clk_ms suspended_until_ms; /* 0: not suspended */
  uint8_t in_doubt;          /* suspended for HEALTH_KEPT_SILENT alone */
  uint8_t in_outage;         /* suspended, and not for rejections alone */
  double error_rate;         /* moving average of server errors, 0 to 1 */
  clk_ms responded_ms;       /* time of the last response, 0: none */
};

int health_begin_request (struct health *health);
void health_end_request (struct health *health, int is_trial);
void health_record (struct health *health, enum health_event event,
                    clk_ms now);
double health_error_rate (const struct health *health, clk_ms now);
enum health_state health_get_state (const struct health *health, clk_ms now);

#endif
