/* Requests that wait for capacity of a service, and for how long. */
#ifndef IBISLOOM_WAIT_H
#define IBISLOOM_WAIT_H

#include <stdint.h>

#include "ibisloom/clock.h"
#include "ibisloom/demand.h"
#include "ibisloom/turn.h"

enum
{
  WAIT_LEVELS = 2, /* coordinators whose levels are kept */
  WAIT_NO_LIMIT = INT32_MAX
};

/* How many requests may be in progress at a target of a service that is short
   of capacity, by the counts of all instances. */
struct wait_limit
{
  int32_t limit;          /* 0: its slots */
  clk_ms grown_ms;        /* last growth, or rejection */
  clk_ms rejected_ms;     /* last rejection that lowered it; 0: none */
  clk_ms closed_until_ms; /* after a rejection, until a place is free */
  int64_t growth_ms;      /* until it grows by one; 0: GROWTH_MIN_MS */
  clk_ms scarce_until_ms; /* its service is short of capacity until then */
};

/* Level, as this instance got it. */
struct wait_level
{
  struct demand_level level;
  clk_ms set_ms; /* when it was computed, by this instance's clock; 0: none */
};

/* What an instance knows of the capacity of a service. */
struct wait
{
  struct turn_queue queue;
  struct demand demand;
  struct demand_rate ends; /* of attempts that were answered */
  double duration_ms;      /* of such attempts, mean; 0: unknown */
  clk_ms sign_ms;          /* last sign of too little capacity; 0: none */
  struct wait_level levels[WAIT_LEVELS]; /* by rank of the coordinator */
  clk_ms booked_ms; /* when the last client refused comes back */
};

/* What decides whether a request waits. */
struct wait_view
{
  uint32_t ahead;       /* requests served before it */
  double own_per_s;     /* answered requests of this instance in a second */
  double per_s;         /* of those that the requests ahead are among */
  int64_t expected_ms;  /* until it is served */
  int64_t level_age_ms; /* -1: without a level */
};

void wait_init (struct wait *wait);
void wait_clear (struct wait *wait);
void wait_note_sign (struct wait *wait, clk_ms now);
int wait_is_scarce (const struct wait *wait, clk_ms now);
void wait_count_end (struct wait *wait, int64_t duration_ms, clk_ms now);
void wait_set_level (struct wait *wait, uint32_t rank,
                     const struct demand_level *level, clk_ms now);
const struct wait_level *wait_current_level (const struct wait *wait,
                                             clk_ms now);
int wait_admits (const struct wait *wait, uint32_t class, uint64_t customer,
                 double random, clk_ms now);
void wait_look (const struct wait *wait, const struct turn *turn, clk_ms now,
                struct wait_view *view);
int wait_is_in_time (const struct wait_view *view, const struct turn *turn,
                     clk_ms now);
clk_ms wait_limit_of (const struct wait *wait, clk_ms deadline_ms,
                      clk_ms objective_ms, clk_ms now);
int32_t wait_extra_places (const struct wait *wait, const struct turn *turn,
                           clk_ms now);
struct turn *wait_overdue (const struct wait *wait, clk_ms now);
int64_t wait_book (struct wait *wait, const struct wait_view *view,
                   int64_t left_ms, clk_ms now);

int64_t wait_place_ms (const struct wait *wait, int32_t slots);
int32_t wait_limit_get (const struct wait_limit *limit, int32_t slots);
void wait_limit_reach (struct wait_limit *limit, int32_t slots, double load,
                       clk_ms now);
int32_t wait_limit_reject (struct wait_limit *limit, int32_t slots,
                           double others, clk_ms now);

#endif
