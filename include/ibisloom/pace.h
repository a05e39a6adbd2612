/* Pace at which a target that has started or recovered gets requests. */
#ifndef IBISLOOM_PACE_H
#define IBISLOOM_PACE_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Targets of a service, as far as their paces depend on them. */
struct pace_service
{
  /* Times to the first byte at targets without a pace.  */
  double first_byte_ms; /* moving average; 0: unknown */
  double deviation_ms;  /* moving average of the distance from it */
  clk_ms scaled_ms;     /* when the next two were determined */
  double mean_load;     /* requests in progress at a usable target */
  uint8_t is_open;      /* so many targets have a pace that none is kept */
};

/* Limit of the requests in progress at a target, which grows by itself. */
struct pace
{
  uint32_t version; /* odd: in force; the higher one wins among instances */
  double base;      /* limit at since_ms */
  double threshold; /* limit above which it grows slowly; may be infinite */
  clk_ms since_ms;  /* start, or last reduction */
  double min_first_byte_ms; /* shortest time to the first byte; 0: unknown */
  double paused_ms;         /* since then, while a request was late */
  uint32_t confirmed; /* responses since then, at this instance, in time */
  clk_ms asked_ms;    /* sent, and no response since; 0: none */
  /* Peers are told of it, as it does not follow from the target's entry.  */
  uint8_t is_announced;
  /* As of the last heartbeat.  */
  double full;          /* limit at which the pace no longer binds */
  double late_after_ms; /* after which a response is late; infinite: unknown */
  uint32_t rank;        /* of this instance at the target, from 0 */
  uint32_t instances;   /* that may send to it in turn */
  uint8_t is_open;      /* see struct pace_service */
};

/* Pace of another instance. */
struct pace_told
{
  uint32_t version;
  double base;
  double threshold;
  double min_first_byte_ms;
  int64_t age_ms; /* since its start or last reduction */
};

void pace_service_observe (struct pace_service *service, double first_byte_ms);
void pace_begin (struct pace *pace, clk_ms now);
void pace_end (struct pace *pace, clk_ms now);
void pace_forget (struct pace *pace, clk_ms now);
int pace_is_in_force (const struct pace *pace);
int pace_adopt (struct pace *pace, const struct pace_told *told, clk_ms now);
void pace_scale (struct pace *pace, const struct pace_service *service);
double pace_limit (const struct pace *pace, clk_ms now);
int pace_may_send (const struct pace *pace, double load, clk_ms now);
int pace_is_over (const struct pace *pace, clk_ms now);
void pace_count_sent (struct pace *pace, uint32_t in_flight, clk_ms now);
void pace_count_idle (struct pace *pace, clk_ms now);
int pace_observe (struct pace *pace, const struct pace_service *service,
                  double load, clk_ms sent_ms, int64_t read_ms, clk_ms now);
int pace_reduce (struct pace *pace, double load, clk_ms sent_ms, clk_ms now);

#endif
