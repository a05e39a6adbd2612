/* Datagram exchange with the other instances: loads and their means. */
#include <math.h>
#include <string.h>

#include "libpeer.h"

enum
{
  TOLD_MAX = 32 /* owned targets, whose ids take 64 bits, that fit a beat */
};

/* Part of the mean load that is taken to last as long as a request. */
static const double MEAN_KEPT = 0.82;

static uint32_t owned_load (struct peer *peer, uint64_t target);
static void observe_mean (struct peer_mean *mean, double value, clk_ms now);
static double lowest (const struct peer_mean *mean, clk_ms now);

/* Copies to BEAT the loads of the targets owned here.  */
void
admit_fill_loads (struct peer *peer, struct wire_heartbeat *beat)
{
  guint count = MIN (peer->owned->len, (guint)TOLD_MAX);

  for (guint i = 0; i < count; i++)
    {
      struct wire_load *load = &beat->loads[beat->load_count++];

      load->target = g_array_index (peer->owned, uint64_t, i);
      load->load = owned_load (peer, load->target);
    }
}

/* Returns the load of a target owned here as it is told.  */
static uint32_t
owned_load (struct peer *peer, uint64_t target)
{
  uint32_t load = (uint32_t)adm_load (peer->adm_state, target);

  return adm_is_down (peer->adm_state, target) ? load | WIRE_LOAD_DOWN : load;
}

/* Takes the loads that the owner of targets told at NOW.  */
void
admit_learn_loads (struct peer *peer, const struct wire_heartbeat *beat,
                   clk_ms now)
{
  for (uint32_t i = 0; i < beat->load_count; i++)
    load_learn (peer, beat->loads[i].target, beat->loads[i].load, now);
}

/* Returns how many more requests TARGET seems to have room for, by what its
   owner told last; one if nothing is known.  It only orders the asks: the
   owner decides.  */
int32_t
peer_room (struct peer *peer, const struct ver_snapshot *version,
           uint64_t target)
{
  const struct ver_target *entry = ver_target_find (version, target);
  clk_ms now = clk_now (clk_monotonic ());
  const struct ver_service *service;
  const struct peer_load *told;
  double factor = version->preset.load_factor;
  int32_t bound;
  int32_t room = 1;

  if (entry == NULL || peer_is_leaving (peer, target))
    return INT32_MIN;
  service
      = &g_array_index (version->services, struct ver_service, entry->service);
  bound = adm_load_bound (load_mean_for (peer, service->id, factor, now),
                          factor);
  pthread_mutex_lock (&peer->mean_lock);
  told = g_hash_table_lookup (peer->loads, &target);
  if (told != NULL && now - told->told_ms < PEER_LOAD_TTL_MS)
    room = told->down ? INT32_MIN : MIN (bound, entry->slots) - told->load;
  pthread_mutex_unlock (&peer->mean_lock);
  return room;
}

/* Returns the mean load to bound against: the lowest of the last seconds, so
   that a target filled up to the bound still keeps it when other requests
   end, though not below MEAN_KEPT of the mean now, and enough for any target
   that is not above the mean.  The new request counts too.  */
double
load_mean_for (struct peer *peer, uint64_t service, double factor, clk_ms now)
{
  const struct peer_mean *mean;
  double low;
  double enough;

  pthread_mutex_lock (&peer->mean_lock);
  mean = load_mean_get (peer, service);
  low = MAX (lowest (mean, now), mean->now * MEAN_KEPT);
  if (mean->targets > 0)
    low += 1.0 / mean->targets;
  enough = (floor (mean->ready) + 1) / factor;
  pthread_mutex_unlock (&peer->mean_lock);
  return MAX (low, enough);
}

/* Returns the mean of SERVICE, made at first use; needs the lock.  */
struct peer_mean *
load_mean_get (struct peer *peer, uint64_t service)
{
  struct peer_mean fresh = { .service = service };

  for (guint i = 0; i < peer->means->len; i++)
    if (g_array_index (peer->means, struct peer_mean, i).service == service)
      return &g_array_index (peer->means, struct peer_mean, i);
  g_array_append_val (peer->means, fresh);
  return &g_array_index (peer->means, struct peer_mean, peer->means->len - 1);
}

/* Observes the mean load of each service's targets, with those that the
   platform's list has leaving since just now, which may be back at once and
   empty: those
   owned here as they are, the others as their owners told lately.  */
void
load_update_means (struct peer *peer, const struct ver_snapshot *version,
                   clk_ms now)
{
  for (guint i = 0; i < peer->owned->len; i++)
    {
      uint64_t target = g_array_index (peer->owned, uint64_t, i);

      load_learn (peer, target, owned_load (peer, target), now);
    }
  for (guint i = 0; i < version->services->len; i++)
    {
      const struct ver_service *service
          = &g_array_index (version->services, struct ver_service, i);
      struct peer_mean *mean;
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
          const struct peer_load *told
              = g_hash_table_lookup (peer->loads, &target->id);

          if (told == NULL || now - told->told_ms > PEER_LOAD_TTL_MS)
            continue;
          if (target->leaving || peer_has_left (peer, target->id, now))
            continue;
          sum += told->load;
          count++;
          if (told->down || peer_is_leaving (peer, target->id))
            continue;
          ready_sum += told->load;
          ready_count++;
        }
      if (count > 0)
        {
          mean = load_mean_get (peer, service->id);
          mean->targets = count;
          mean->ready = ready_count > 0 ? (double)ready_sum / ready_count
                                        : (double)sum / count;
          observe_mean (mean, (double)sum / count, now);
        }
      pthread_mutex_unlock (&peer->mean_lock);
    }
}

/* Remembers what the owner of TARGET told.  */
void
load_learn (struct peer *peer, uint64_t target, uint32_t load, clk_ms now)
{
  struct peer_load *told;

  pthread_mutex_lock (&peer->mean_lock);
  told = g_hash_table_lookup (peer->loads, &target);
  if (told == NULL)
    {
      told = g_new0 (struct peer_load, 1);
      told->target = target;
      g_hash_table_insert (peer->loads, &told->target, told);
    }
  told->load = (int32_t)(load & (WIRE_LOAD_DOWN - 1));
  told->down = (load & WIRE_LOAD_DOWN) != 0;
  told->told_ms = now;
  pthread_mutex_unlock (&peer->mean_lock);
}

/* Records VALUE as the mean load at NOW.  */
static void
observe_mean (struct peer_mean *mean, double value, clk_ms now)
{
  clk_ms start = now - now % PEER_MEAN_SLOT_MS;
  size_t i = (size_t)(now / PEER_MEAN_SLOT_MS) % PEER_MEAN_SLOTS;

  mean->now = value;
  if (mean->slot_ms[i] == start && mean->low[i] <= value)
    return;
  mean->slot_ms[i] = start;
  mean->low[i] = value;
}

/* Returns the lowest mean load of the last seconds.  */
static double
lowest (const struct peer_mean *mean, clk_ms now)
{
  double low = mean->now;

  for (size_t i = 0; i < PEER_MEAN_SLOTS; i++)
    if (now - mean->slot_ms[i] <= PEER_MEAN_SLOTS * PEER_MEAN_SLOT_MS
        && mean->low[i] < low)
      low = mean->low[i];
  return low;
}
