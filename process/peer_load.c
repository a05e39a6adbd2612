/* Datagram protocol between the instances: target loads and their means. */
#include <math.h>
#include <string.h>

#include "libpeer.h"

enum
{
  /* Loads that fit into a heartbeat, with target identifiers of 64 bits.  */
  HEARTBEAT_LOADS_MAX = 32
};

/* Share of the current mean load that is expected to last for the duration of
   a request. */
static const double MEAN_FLOOR_SHARE = 0.82;

static uint32_t encode_owned_load (struct peer *peer, uint64_t target);
static void record_mean (struct peer_mean_load *mean, double value,
                         clk_ms now);
static double window_minimum (const struct peer_mean_load *mean, clk_ms now);

/* Adds the loads of the targets owned here to HEARTBEAT, of at most
   HEARTBEAT_LOADS_MAX.  */
void
load_fill_heartbeat (struct peer *peer, struct wire_heartbeat *heartbeat)
{
  guint count = MIN (peer->owned->len, (guint)HEARTBEAT_LOADS_MAX);

  for (guint i = 0; i < count; i++)
    {
      struct wire_load *load = &heartbeat->loads[heartbeat->load_count++];

      load->target = g_array_index (peer->owned, uint64_t, i);
      load->load = encode_owned_load (peer, load->target);
    }
}

/* Returns the load of TARGET, which this instance owns, as encoded on the
   wire: with WIRE_LOAD_DOWN set if its circuit breaker is open.  */
static uint32_t
encode_owned_load (struct peer *peer, uint64_t target)
{
  uint32_t load = (uint32_t)adm_load (peer->adm_state, target);

  return adm_is_down (peer->adm_state, target) ? load | WIRE_LOAD_DOWN : load;
}

/* Records the target loads of HEARTBEAT, received at NOW from their owner.  */
void
load_record_heartbeat (struct peer *peer,
                       const struct wire_heartbeat *heartbeat, clk_ms now)
{
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    load_record_target (peer, heartbeat->loads[i].target,
                        heartbeat->loads[i].load, now);
}

/* Returns how many more requests TARGET can accept, estimated from the load
   that its owner last reported, or 1 if no recent report is known.  Returns
   INT32_MIN if TARGET is unknown, leaving or reported as down.  The estimate
   only orders the targets for which a grant is requested; the owner
   decides.  */
int32_t
peer_headroom (struct peer *peer, const struct ver_snapshot *version,
               uint64_t target)
{
  const struct ver_target *entry = ver_target_find (version, target);
  clk_ms now = clk_now (clk_monotonic ());
  const struct ver_service *service;
  const struct peer_target_load *reported;
  double factor = version->preset.load_factor;
  int32_t bound;
  int32_t headroom = 1;

  if (entry == NULL || peer_is_leaving (peer, target))
    return INT32_MIN;
  service
      = &g_array_index (version->services, struct ver_service, entry->service);
  bound = adm_load_bound (load_bounding_mean (peer, service->id, factor, now),
                          factor);
  pthread_mutex_lock (&peer->mean_lock);
  reported = g_hash_table_lookup (peer->loads, &target);
  if (reported != NULL && now - reported->reported_ms < PEER_LOAD_TTL_MS)
    headroom = reported->down ? INT32_MIN
                              : MIN (bound, entry->slots) - reported->load;
  pthread_mutex_unlock (&peer->mean_lock);
  return headroom;
}

/* Returns the mean load from which the load bound of the targets of SERVICE is
   derived, with load factor FACTOR.  It is the minimum over the last
   PEER_MEAN_SLOTS time slots, so that a target filled up to the bound stays
   within it when requests at other targets end, but at least MEAN_FLOOR_SHARE
   of the current mean, and at least what lets a target that is not above the
   mean accept another request.  The request to be admitted counts in the
   mean.  */
double
load_bounding_mean (struct peer *peer, uint64_t service, double factor,
                    clk_ms now)
{
  const struct peer_mean_load *mean;
  double minimum;
  double minimum_at_mean;

  pthread_mutex_lock (&peer->mean_lock);
  mean = load_get_mean (peer, service);
  minimum = MAX (window_minimum (mean, now), mean->now * MEAN_FLOOR_SHARE);
  if (mean->targets > 0)
    minimum += 1.0 / mean->targets;
  minimum_at_mean = (floor (mean->ready_mean) + 1) / factor;
  pthread_mutex_unlock (&peer->mean_lock);
  return MAX (minimum, minimum_at_mean);
}

/* Returns the mean load of SERVICE, created at first use.  The caller holds
   mean_lock.  */
struct peer_mean_load *
load_get_mean (struct peer *peer, uint64_t service)
{
  struct peer_mean_load added = { .service = service };

  for (guint i = 0; i < peer->means->len; i++)
    if (g_array_index (peer->means, struct peer_mean_load, i).service
        == service)
      return &g_array_index (peer->means, struct peer_mean_load, i);
  g_array_append_val (peer->means, added);
  return &g_array_index (peer->means, struct peer_mean_load,
                         peer->means->len - 1);
}

/* Updates the mean load of each service of VERSION at NOW, from the loads of
   the targets owned here and the recent reports on the others.  Targets that
   have been reported as leaving only for a short time are included, as they
   may be back soon, and without load.  */
void
load_update_means (struct peer *peer, const struct ver_snapshot *version,
                   clk_ms now)
{
  for (guint i = 0; i < peer->owned->len; i++)
    {
      uint64_t target = g_array_index (peer->owned, uint64_t, i);

      load_record_target (peer, target, encode_owned_load (peer, target), now);
    }
  for (guint i = 0; i < version->services->len; i++)
    {
      const struct ver_service *service
          = &g_array_index (version->services, struct ver_service, i);
      struct peer_mean_load *mean;
      int64_t sum = 0;
      int64_t ready_sum = 0;
      uint32_t count = 0;
      uint32_t ready_count = 0;

      if (service->kind != VER_KIND_CHAT)
        continue;
      pthread_mutex_lock (&peer->mean_lock);
      for (uint32_t j = 0; j < service->target_count; j++)
        {
          const struct ver_target *target
              = ver_target_at (version, service->first_target + j);
          const struct peer_target_load *reported
              = g_hash_table_lookup (peer->loads, &target->id);

          if (reported == NULL
              || now - reported->reported_ms > PEER_LOAD_TTL_MS)
            continue;
          if (target->leaving || peer_has_left (peer, target->id, now))
            continue;
          sum += reported->load;
          count++;
          if (reported->down || peer_is_leaving (peer, target->id))
            continue;
          ready_sum += reported->load;
          ready_count++;
        }
      if (count > 0)
        {
          mean = load_get_mean (peer, service->id);
          mean->targets = count;
          mean->ready_mean = ready_count > 0 ? (double)ready_sum / ready_count
                                             : (double)sum / count;
          record_mean (mean, (double)sum / count, now);
        }
      pthread_mutex_unlock (&peer->mean_lock);
    }
}

/* Records LOAD, in its encoding on the wire, as reported for TARGET at NOW. */
void
load_record_target (struct peer *peer, uint64_t target, uint32_t load,
                    clk_ms now)
{
  struct peer_target_load *reported;

  pthread_mutex_lock (&peer->mean_lock);
  reported = g_hash_table_lookup (peer->loads, &target);
  if (reported == NULL)
    {
      reported = g_new0 (struct peer_target_load, 1);
      reported->target = target;
      g_hash_table_insert (peer->loads, &reported->target, reported);
    }
  reported->load = (int32_t)(load & (WIRE_LOAD_DOWN - 1));
  reported->down = (load & WIRE_LOAD_DOWN) != 0;
  reported->reported_ms = now;
  pthread_mutex_unlock (&peer->mean_lock);
}

/* Records VALUE as the mean load at NOW, in the slot of NOW.  */
static void
record_mean (struct peer_mean_load *mean, double value, clk_ms now)
{
  clk_ms start = now - now % PEER_MEAN_SLOT_MS;
  size_t i = (size_t)(now / PEER_MEAN_SLOT_MS) % PEER_MEAN_SLOTS;

  mean->now = value;
  if (mean->slot_ms[i] == start && mean->minimum[i] <= value)
    return;
  mean->slot_ms[i] = start;
  mean->minimum[i] = value;
}

/* Returns the minimum mean load of the last PEER_MEAN_SLOTS slots and now.  */
static double
window_minimum (const struct peer_mean_load *mean, clk_ms now)
{
  double minimum = mean->now;

  for (size_t i = 0; i < PEER_MEAN_SLOTS; i++)
    if (now - mean->slot_ms[i] <= PEER_MEAN_SLOTS * PEER_MEAN_SLOT_MS
        && mean->minimum[i] < minimum)
      minimum = mean->minimum[i];
  return minimum;
}
