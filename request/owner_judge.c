/* Whether an owned target takes a request: bound, shares, order, breaker.  */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libowner.h"

enum
{
  CUSTOMER_IDLE_MS = 2000,
  OPEN_MIN_MS = 250,
  OPEN_MAX_MS = 8000,
  WAITERS_MAX = 64,
  WAITERS_MAX_PER_CUSTOMER = 16
};

/* Guards whole numbers against errors of floating point. */
static const double ROUNDING = 1e-9;

/* Part of the slots open to all at which slots count as short. */
static const double CONTENDED_SHARE = 0.7;

static int32_t open_to_all (const struct own_limits *limits);
static int may_pass_bound (const struct own_limits *limits, int32_t load,
                           int32_t open_slots, int in_share);
static int is_known (const struct owned *owned, const struct own_ask *ask);
static double fair_share (struct owned *owned, const struct own_ask *ask,
                          const struct own_limits *limits, clk_ms now);
static int32_t held_by (const struct owned *owned, uint64_t customer);
static int is_open (struct breaker *breaker, clk_ms now);

/* Judges ASK against the breaker, the bounds and the customer's share, in
   this order, and appends the grant if nothing speaks against it.  */
enum own_verdict
own_judge (struct owned *owned, const struct own_ask *ask,
           const struct own_limits *limits, clk_ms now,
           struct own_reply *reply)
{
  int32_t load = (int32_t)owned->grants->len;
  int32_t bound = own_bound (limits->mean_load, limits->load_factor);
  int32_t open_slots = open_to_all (limits);
  struct grant grant = { .customer = ask->customer,
                         .since_ms = now,
                         .instance = ask->instance,
                         .id = ask->grant };
  double share = fair_share (owned, ask, limits, now);
  int in_share = held_by (owned, ask->customer) + 1 <= share;

  reply->load = load;
  reply->limit = bound < limits->slots ? bound : limits->slots;
  if (is_known (owned, ask))
    return OWN_GRANT;
  if (limits->leaving)
    return OWN_DENY_LEAVING;
  if (is_open (&owned->breaker, now))
    return OWN_DENY_DOWN;
  if (load >= limits->slots)
    return OWN_DENY_CAPACITY;
  if (load >= bound && !may_pass_bound (limits, load, open_slots, in_share))
    return OWN_DENY_BOUND;
  if (load >= open_slots && !in_share)
    return OWN_DENY_SHARE;
  g_array_append_val (owned->grants, grant);
  reply->load++;
  return OWN_GRANT;
}

/* Returns how many slots are open to customers beyond their share: all but
   the reserve, which is at least one slot if there is one at all.  */
static int32_t
open_to_all (const struct own_limits *limits)
{
  int32_t reserve = (int32_t)lround (limits->slots * limits->reserve_share);

  if (limits->reserve_share <= 0 || limits->slots <= 1)
    return limits->slots;
  return limits->slots - MAX (reserve, 1);
}

/* Returns whether a request of a customer that is IN_SHARE may fill a target
   up to the load factor times the mean of now: when slots are short, the room
   that the cautious mean leaves is for customers within their share.  */
static int
may_pass_bound (const struct own_limits *limits, int32_t load,
                int32_t open_slots, int in_share)
{
  return in_share && limits->mean_now >= open_slots * CONTENDED_SHARE
         && load < ceil (limits->mean_now * limits->load_factor - ROUNDING);
}

/* Returns whether ASK, denied by VERDICT, may wait in the queue: for room, not
   for a target that is down, and not beyond a customer's part of the queue. */
int
own_may_wait (const struct owned *owned, const struct own_ask *ask,
              enum own_verdict verdict)
{
  int of_customer = 0;

  if (ask->wait_ms == 0
      || (verdict != OWN_DENY_BOUND && verdict != OWN_DENY_CAPACITY
          && verdict != OWN_DENY_SHARE))
    return 0;
  for (guint i = 0; i < owned->waiters->len; i++)
    of_customer
        += g_array_index (owned->waiters, struct waiter, i).ask.customer
           == ask->customer;
  return owned->waiters->len < WAITERS_MAX
         && of_customer < WAITERS_MAX_PER_CUSTOMER;
}

/* Returns whether ASK was granted already.  */
static int
is_known (const struct owned *owned, const struct own_ask *ask)
{
  for (guint i = 0; i < owned->grants->len; i++)
    {
      const struct grant *held
          = &g_array_index (owned->grants, struct grant, i);

      if (held->instance == ask->instance && held->id == ask->grant)
        return 1;
    }
  return 0;
}

/* Returns how many of the target's slots ASK's customer may hold when all
   are wanted: its weight's part among the customers that asked lately, at
   least one.  */
static double
fair_share (struct owned *owned, const struct own_ask *ask,
            const struct own_limits *limits, clk_ms now)
{
  struct asker self = { ask->customer, limits->customer_weight, now };
  double total = self.weight;
  double share;

  for (guint i = owned->askers->len; i > 0; i--)
    {
      const struct asker *asker
          = &g_array_index (owned->askers, struct asker, i - 1);

      if (asker->customer == ask->customer
          || now - asker->last_ms > CUSTOMER_IDLE_MS)
        g_array_remove_index_fast (owned->askers, i - 1);
      else
        total += asker->weight;
    }
  g_array_append_val (owned->askers, self);
  share = total > 0 ? limits->slots * self.weight / total : 0;
  return share < 1 ? 1 : share;
}

/* Returns how many grants CUSTOMER holds.  */
static int32_t
held_by (const struct owned *owned, uint64_t customer)
{
  int32_t count = 0;

  for (guint i = 0; i < owned->grants->len; i++)
    if (g_array_index (owned->grants, struct grant, i).customer == customer)
      count++;
  return count;
}

/* Returns whether BREAKER keeps requests away at NOW.  One request is let
   through each time the waiting time is over.  */
static int
is_open (struct breaker *breaker, clk_ms now)
{
  if (breaker->failures < OWN_FAILURES_TO_OPEN)
    return 0;
  if (now < breaker->retry_at_ms)
    return 1;
  breaker->retry_at_ms = now + breaker->open_ms;
  return 0;
}

/* Feeds OUTCOME to BREAKER: the waiting time doubles with each failure past
   the threshold, and a success closes it.  */
void
own_record_outcome (struct breaker *breaker, enum own_outcome outcome,
                    clk_ms now)
{
  if (outcome == OWN_OUTCOME_UNKNOWN)
    return;
  if (outcome == OWN_OUTCOME_OK)
    {
      memset (breaker, 0, sizeof *breaker);
      return;
    }
  breaker->failures++;
  if (breaker->failures < OWN_FAILURES_TO_OPEN)
    return;
  breaker->open_ms = CLAMP (breaker->open_ms * 2, OPEN_MIN_MS, OPEN_MAX_MS);
  breaker->retry_at_ms = now + breaker->open_ms;
}

/* Returns whether ID is among COUNT IDS.  */
int
own_contains (const uint32_t *ids, size_t count, uint32_t id)
{
  for (size_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}
