/* Admission check of one target: circuit breaker, slots, load bound, customer
   shares.  */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "libadmission.h"

enum
{
  CUSTOMER_IDLE_MS = 2000,
  BREAKER_OPEN_MIN_MS = 250,
  BREAKER_OPEN_MAX_MS = 8000,
  WAITERS_MAX = 64,
  WAITERS_MAX_PER_CUSTOMER = 16
};

/* Subtracted before rounding up, so that a floating-point error does not turn
   a whole number into the one above. */
static const double ROUNDING_TOLERANCE = 1e-9;

/* Mean load, as a part of the unreserved slots, from which slots count as
   scarce. */
static const double CONTENDED_SHARE = 0.7;

static int32_t unreserved_slot_count (const struct adm_limits *limits);
static int may_exceed_bound (const struct adm_limits *limits, int32_t load,
                             int32_t unreserved_slots, int within_share);
static int has_grant (const struct target_state *target_state,
                      const struct adm_request *request);
static double fair_share (struct target_state *target_state,
                          const struct adm_request *request,
                          const struct adm_limits *limits, clk_ms now);
static int32_t count_grants (const struct target_state *target_state,
                             uint64_t customer);
static int breaker_blocks (struct breaker *breaker, clk_ms now);

/* Checks REQUEST against the circuit breaker, the slots, the load bound and
   the customer's share, in this order, and records the grant if all admit it.
   A request that already holds its grant is granted again; a leaving target
   denies all other requests.  Sets the load and limit of REPLY.  */
enum adm_verdict
adm_check (struct target_state *target_state,
           const struct adm_request *request, const struct adm_limits *limits,
           clk_ms now, struct adm_reply *reply)
{
  int32_t load = (int32_t)target_state->grants->len;
  int32_t bound = adm_load_bound (limits->mean_load, limits->load_factor);
  int32_t unreserved_slots = unreserved_slot_count (limits);
  struct grant grant = { .customer = request->customer,
                         .since_ms = now,
                         .instance = request->instance,
                         .id = request->grant };
  double share = fair_share (target_state, request, limits, now);
  int within_share
      = count_grants (target_state, request->customer) + 1 <= share;

  reply->load = load;
  reply->limit = bound < limits->slots ? bound : limits->slots;
  if (has_grant (target_state, request))
    return ADM_GRANT;
  if (limits->leaving)
    return ADM_DENY_LEAVING;
  if (breaker_blocks (&target_state->breaker, now))
    return ADM_DENY_DOWN;
  if (load >= limits->slots)
    return ADM_DENY_CAPACITY;
  if (load >= bound
      && !may_exceed_bound (limits, load, unreserved_slots, within_share))
    return ADM_DENY_BOUND;
  if (load >= unreserved_slots && !within_share)
    return ADM_DENY_SHARE;
  g_array_append_val (target_state->grants, grant);
  reply->load++;
  return ADM_GRANT;
}

/* Returns how many slots are open to customers beyond their fair share: all
   but the reserve.  A reserve is at least one slot; a target with a single
   slot has none.  */
static int32_t
unreserved_slot_count (const struct adm_limits *limits)
{
  int32_t reserve = (int32_t)lround (limits->slots * limits->reserve_share);

  if (limits->reserve_share <= 0 || limits->slots <= 1)
    return limits->slots;
  return limits->slots - MAX (reserve, 1);
}

/* Returns whether a request may exceed the load bound, which is based on a low
   estimate of the mean load, up to the load factor times the current mean.
   This is allowed only while slots are scarce, and only to customers that are
   WITHIN_SHARE. */
static int
may_exceed_bound (const struct adm_limits *limits, int32_t load,
                  int32_t unreserved_slots, int within_share)
{
  return within_share
         && limits->mean_load_now >= unreserved_slots * CONTENDED_SHARE
         && load < ceil (limits->mean_load_now * limits->load_factor
                         - ROUNDING_TOLERANCE);
}

/* Returns whether REQUEST, denied with VERDICT, may be queued: only if it
   lacked room, and within the limits on the queue, overall and for each
   customer. */
int
adm_may_queue (const struct target_state *target_state,
               const struct adm_request *request, enum adm_verdict verdict)
{
  int customer_waiters = 0;

  if (request->wait_ms == 0
      || (verdict != ADM_DENY_BOUND && verdict != ADM_DENY_CAPACITY
          && verdict != ADM_DENY_SHARE))
    return 0;
  for (guint i = 0; i < target_state->waiters->len; i++)
    customer_waiters += g_array_index (target_state->waiters, struct waiter, i)
                            .request.customer
                        == request->customer;
  return target_state->waiters->len < WAITERS_MAX
         && customer_waiters < WAITERS_MAX_PER_CUSTOMER;
}

/* Returns whether REQUEST already holds its grant.  */
static int
has_grant (const struct target_state *target_state,
           const struct adm_request *request)
{
  for (guint i = 0; i < target_state->grants->len; i++)
    {
      const struct grant *held
          = &g_array_index (target_state->grants, struct grant, i);

      if (held->instance == request->instance && held->id == request->grant)
        return 1;
    }
  return 0;
}

/* Returns how many of the target's slots the customer of REQUEST may hold when
   all are wanted: in proportion to its weight among the customers that
   requested admission within CUSTOMER_IDLE_MS, at least one.  Records the
   customer as one of these.  */
static double
fair_share (struct target_state *target_state,
            const struct adm_request *request, const struct adm_limits *limits,
            clk_ms now)
{
  struct recent_customer self
      = { request->customer, limits->customer_weight, now };
  double total = self.weight;
  double share;

  for (guint i = target_state->recent_customers->len; i > 0; i--)
    {
      const struct recent_customer *recent_customer = &g_array_index (
          target_state->recent_customers, struct recent_customer, i - 1);

      if (recent_customer->customer == request->customer
          || now - recent_customer->last_ms > CUSTOMER_IDLE_MS)
        g_array_remove_index_fast (target_state->recent_customers, i - 1);
      else
        total += recent_customer->weight;
    }
  g_array_append_val (target_state->recent_customers, self);
  share = total > 0 ? limits->slots * self.weight / total : 0;
  return share < 1 ? 1 : share;
}

/* Returns how many grants CUSTOMER holds.  */
static int32_t
count_grants (const struct target_state *target_state, uint64_t customer)
{
  int32_t count = 0;

  for (guint i = 0; i < target_state->grants->len; i++)
    if (g_array_index (target_state->grants, struct grant, i).customer
        == customer)
      count++;
  return count;
}

/* Returns whether BREAKER rejects a request at NOW.  Each time the back-off
   has passed, one request is let through as a probe.  */
static int
breaker_blocks (struct breaker *breaker, clk_ms now)
{
  if (breaker->failures < ADM_BREAKER_THRESHOLD)
    return 0;
  if (now < breaker->retry_at_ms)
    return 1;
  breaker->retry_at_ms = now + breaker->open_ms;
  return 0;
}

/* Updates BREAKER with OUTCOME: a success closes it; from
   ADM_BREAKER_THRESHOLD consecutive failures on, each failure opens it for
   twice as long as before, within BREAKER_OPEN_MIN_MS and BREAKER_OPEN_MAX_MS.
   An unknown outcome changes nothing.  */
void
adm_breaker_record (struct breaker *breaker, enum adm_outcome outcome,
                    clk_ms now)
{
  if (outcome == ADM_OUTCOME_UNKNOWN)
    return;
  if (outcome == ADM_OUTCOME_OK)
    {
      memset (breaker, 0, sizeof *breaker);
      return;
    }
  breaker->failures++;
  if (breaker->failures < ADM_BREAKER_THRESHOLD)
    return;
  breaker->open_ms
      = CLAMP (breaker->open_ms * 2, BREAKER_OPEN_MIN_MS, BREAKER_OPEN_MAX_MS);
  breaker->retry_at_ms = now + breaker->open_ms;
}

/* Returns whether ID is one of the COUNT IDS.  */
int
adm_contains (const uint32_t *ids, size_t count, uint32_t id)
{
  for (size_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}
