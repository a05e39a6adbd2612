/* Demand for a service that is short of capacity, as instances tell it to
   coordinators, and the admission level that follows from it. */
#ifndef IBISLOOM_DEMAND_H
#define IBISLOOM_DEMAND_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "ibisloom/clock.h"
#include "ibisloom/turn.h"

enum
{
  DEMAND_CUSTOMERS_MAX = 16, /* in one report: the busiest ones */
  DEMAND_SHARES_MAX = 24,    /* in one level */
  DEMAND_FULL_SHARE = 1000,  /* a share of 1 */
  DEMAND_LEVEL_VALID_MS = 2000
};

/* Decayed count of events, from which their rate follows. */
struct demand_rate
{
  double count;
  clk_ms counted_ms; /* time of the last one, 0: none */
};

/* Arrivals of one customer in one class. */
struct demand_customer
{
  uint64_t customer;
  uint32_t class;
  uint32_t per_ks; /* requests in 1,000 s */
};

/* What one instance tells of a service. */
struct demand_report
{
  uint64_t service;               /* hash of its name */
  uint32_t served_per_ks;         /* answered by its targets */
  uint32_t per_ks[TURN_CLASSES];  /* arrivals of each class */
  uint32_t waiting[TURN_CLASSES]; /* requests of each class */
  uint32_t count;
  struct demand_customer customers[DEMAND_CUSTOMERS_MAX];
};

/* Fraction of the requests of a customer that is admitted. */
struct demand_share
{
  uint64_t customer;
  uint32_t share; /* of DEMAND_FULL_SHARE */
};

/* What instances admit of a service. */
struct demand_level
{
  uint64_t service;
  uint32_t version;       /* rises with each level of a coordinator */
  uint32_t age_ms;        /* since it was computed, when sent */
  uint32_t served_per_ks; /* by all instances */
  uint32_t class; /* first that is not admitted in full; TURN_CLASSES: none */
  uint32_t share; /* of customers of that class that are not listed */
  uint32_t waiting[TURN_CLASSES]; /* at all instances */
  uint32_t count;
  struct demand_share shares[DEMAND_SHARES_MAX]; /* in that class */
};

/* Arrivals at this instance. */
struct demand
{
  struct demand_rate classes[TURN_CLASSES];
  GHashTable *customers; /* key to its rate, see demand.c */
};

void demand_rate_count (struct demand_rate *rate, clk_ms now);
double demand_rate_per_s (const struct demand_rate *rate, clk_ms now);
void demand_init (struct demand *demand);
void demand_clear (struct demand *demand);
void demand_count (struct demand *demand, uint32_t class, uint64_t customer,
                   clk_ms now);
void demand_fill_report (const struct demand *demand, clk_ms now,
                         struct demand_report *report);
void demand_set_level (const struct demand_report *reports, size_t count,
                       struct demand_level *level);
double demand_share_of (const struct demand_level *level, uint32_t class,
                        uint64_t customer);

#endif
