/* Rate limits of targets, as the instances share them.

   The instance that reads a new limit in a response tells it to all others;
   the limits follow each heartbeat while there are any.  In a large fleet only
   some instances send requests to a limited target, so that what each has to
   count does not grow: those that rank highest for it.  */
#include <stdlib.h>

#include "ibisloom/fleet.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  SHARERS_MAX = 96,           /* instances that send to a limited target */
  UPDATES_PER_HEARTBEAT = 16, /* targets whose sharers are found anew */
  ENDED_TOLD_MS = 60000, /* until all instances know of the end of a limit */
  RATE_SCALE = 1000
};

static int count_sent (struct reg_target *target, clk_ms now);
static void find_sharers (const struct fleet *fleet, struct reg_target *target,
                          clk_ms now);
static int compare_ranks (const void *left, const void *right);
static int is_told (const struct rate_limit *limit, clk_ms now);
static struct wire_rate encode_rate (const struct reg_target *target);

/* Handles the response of TARGET to a request that was sent at SENT_MS: it
   named the limit PER_S, or none (IS_NAMED 0).  Returns whether that is new to
   this instance.  */
int
fleet_observe_rate (struct fleet *fleet, struct reg_target *target,
                    int is_named, double per_s, clk_ms sent_ms)
{
  struct wire_message message = { .kind = WIRE_RATES };
  clk_ms now = clk_now (clk_monotonic ());

  if (!rate_observe (&target->rate, is_named, per_s, sent_ms, now))
    return 0;
  find_sharers (fleet, target, now);
  message.u.rates.rate[message.u.rates.count++] = encode_rate (target);
  fleet_broadcast (fleet, &message);
  return 1;
}

/* Counts a request that this instance sends to TARGET, and tells the other
   instances that send to it, if it limits its rate.  */
void
fleet_count_request (struct fleet *fleet, struct reg_target *target)
{
  struct wire_message message
      = { .kind = WIRE_SENT, .u.sent = { .target = target->hash } };
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  pace_count_sent (&target->pace, target->in_flight, now);
  rate_count_own (&target->cold, now);
  if (!count_sent (target, now))
    return;
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (rank_mix (target->hash, peer->id) >= target->rate.rank_min
          && !fleet_is_silent (fleet, peer, now))
        fleet_send (fleet, &peer->address, &message);
    }
}

/* Counts a request that another instance has sent.  */
void
fleet_apply_sent (struct fleet *fleet, const struct wire_sent *sent)
{
  struct reg_target *target = reg_find_hash (fleet->registry, sent->target);

  if (target != NULL)
    count_sent (target, clk_now (clk_monotonic ()));
}

/* Counts a request that an instance has sent to TARGET in the limits that are
   in force at NOW.  Returns whether there is one.  */
static int
count_sent (struct reg_target *target, clk_ms now)
{
  int is_limited = rate_is_limited (&target->rate);
  int is_cold = reg_is_cold (target, now);

  if (is_limited)
    rate_count (&target->rate, now);
  if (is_cold)
    rate_count (&target->cold, now);
  return is_limited || is_cold;
}

/* Adopts the limits that another instance has sent, where they are newer.  */
void
fleet_apply_rates (struct fleet *fleet, const struct wire_rates *rates)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t i = 0; i < rates->count; i++)
    {
      struct reg_target *target
          = reg_find_hash (fleet->registry, rates->rate[i].target);

      if (target != NULL
          && rate_adopt (&target->rate, rates->rate[i].version,
                         (double)rates->rate[i].per_ks / RATE_SCALE, now))
        find_sharers (fleet, target, now);
    }
}

/* Sends the limits of some targets, as many as one datagram holds, to ADDRESS;
   those of the next ones follow with the next heartbeat.  */
void
fleet_send_rates (struct fleet *fleet, const struct sockaddr_in *address)
{
  const GPtrArray *targets = fleet->registry->array;
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message = { .kind = WIRE_RATES };
  struct wire_rates *rates = &message.u.rates;
  guint n = 0;

  for (; n < targets->len && rates->count < WIRE_RATES_MAX; n++)
    {
      const struct reg_target *target = g_ptr_array_index (
          targets, (fleet->first_told_rate + n) % targets->len);

      if (is_told (&target->rate, now))
        rates->rate[rates->count++] = encode_rate (target);
    }
  fleet->told_rates = n;
  if (rates->count > 0)
    fleet_send (fleet, address, &message);
}

/* Does the work that is due with each heartbeat: moves on to the limits that
   are told next, and finds the sharers of some targets anew, of all in turn,
   as instances come and go.  */
void
fleet_rate_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;
  guint updated = 0;

  fleet->first_told_rate += fleet->told_rates;
  fleet->told_rates = 0;
  for (guint n = 0; n < targets->len && updated < UPDATES_PER_HEARTBEAT; n++)
    {
      struct reg_target *target
          = g_ptr_array_index (targets, fleet->next_rate++ % targets->len);

      if (reg_is_cold (target, now))
        fleet_arrange_cold (fleet, target, now);
      else if (!rate_is_limited (&target->rate))
        continue;
      find_sharers (fleet, target, now);
      updated++;
    }
}

/* Determines which instances send to TARGET while it limits its rate.  */
static void
find_sharers (const struct fleet *fleet, struct reg_target *target, clk_ms now)
{
  static uint64_t ranks[FLEET_PEERS_MAX + 1];
  uint64_t own = rank_mix (target->hash, fleet->self);
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  target->rate.rank_min = 0;
  if (g_hash_table_size (fleet->peers) < SHARERS_MAX)
    {
      rate_set_sharer (&target->rate, 1, now);
      return;
    }
  ranks[count++] = own;
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (count <= FLEET_PEERS_MAX && !fleet_is_silent (fleet, peer, now))
        ranks[count++] = rank_mix (target->hash, peer->id);
    }
  if (count > SHARERS_MAX)
    {
      qsort (ranks, count, sizeof *ranks, compare_ranks);
      target->rate.rank_min = ranks[count - SHARERS_MAX];
    }
  rate_set_sharer (&target->rate, own >= target->rate.rank_min, now);
}

static int
compare_ranks (const void *left, const void *right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;

  return a < b ? -1 : a > b;
}

/* Returns whether others are still to be told about LIMIT.  */
static int
is_told (const struct rate_limit *limit, clk_ms now)
{
  return rate_is_limited (limit)
         || (limit->version > 0 && now - limit->since_ms < ENDED_TOLD_MS);
}

/* Returns the limit of TARGET for other instances.  */
static struct wire_rate
encode_rate (const struct reg_target *target)
{
  return (struct wire_rate){
    .target = target->hash,
    .version = target->rate.version,
    .per_ks = (uint32_t)MIN (target->rate.per_s * RATE_SCALE, UINT32_MAX)
  };
}
