/* The peers of an instance: which are known, alive and watch the store.  */
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  HEARTBEAT_FANOUT = 16, /* peers that one heartbeat is sent to */
  WATCHER_SILENT_MS = 700,
  /* The loads of a peer that has been silent for longer no longer count.  */
  SILENT_MIN_MS = 1500
};

/* The same in a large fleet, as a multiple of the time between two heartbeats
   to a peer. */
static const double SILENT_PERIODS = 1.25;

static int is_watcher (const struct fleet_peer *peer, clk_ms now);
static void peer_free (gpointer data);

/* Returns an empty table of peers.  */
GHashTable *
fleet_peers_new (void)
{
  return g_hash_table_new_full (NULL, NULL, NULL, peer_free);
}

/* Returns the peer whose identifier is ID, created if it is new.  */
struct fleet_peer *
fleet_get_peer (struct fleet *fleet, uint32_t id)
{
  gpointer key = GUINT_TO_POINTER (id);
  struct fleet_peer *peer = g_hash_table_lookup (fleet->peers, key);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct fleet_peer, 1);
  peer->id = id;
  peer->loads = g_array_new (FALSE, FALSE, sizeof (struct fleet_load));
  g_hash_table_insert (fleet->peers, key, peer);
  return peer;
}

/* Frees DATA, a struct fleet_peer.  */
static void
peer_free (gpointer data)
{
  struct fleet_peer *peer = data;

  g_array_free (peer->loads, TRUE);
  g_free (peer);
}

/* Returns the number of known instances, including this one.  */
uint32_t
fleet_size (const struct fleet *fleet)
{
  return g_hash_table_size (fleet->peers) + 1;
}

/* Returns whether no datagram of PEER has arrived for longer than a live peer
   is silent.  */
int
fleet_is_silent (const struct fleet *fleet, const struct fleet_peer *peer,
                 clk_ms now)
{
  int64_t period_ms
      = (int64_t)fleet_heartbeat_stride (fleet) * FLEET_HEARTBEAT_MS;
  int64_t silent_ms
      = (int64_t)((double)period_ms * SILENT_PERIODS) + FLEET_HEARTBEAT_MS;

  return peer->last_seen_ms == 0
         || now - peer->last_seen_ms > MAX (silent_ms, SILENT_MIN_MS);
}

/* Returns in how many heartbeats each peer gets one.  */
uint32_t
fleet_heartbeat_stride (const struct fleet *fleet)
{
  return (g_hash_table_size (fleet->peers) + HEARTBEAT_FANOUT - 1)
         / HEARTBEAT_FANOUT;
}

/* Adds the other instances of the same failure domain that are neither silent
   nor leaving to the counts of VIEW, by whether they watch the store.  */
void
fleet_count_watchers (const struct fleet *fleet, struct elect_view *view)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->domain != fleet->domain || peer->state == MEMBER_LEAVING
          || fleet_is_silent (fleet, peer, now))
        continue;
      if (peer->store == WIRE_STORE_LOST)
        view->failed_watchers++;
      else if (is_watcher (peer, now))
        {
          view->watchers++;
          view->watchers_before += peer->id < fleet->self;
        }
      else if (peer->store == WIRE_STORE_UNWATCHED)
        view->candidates_before += peer->id < fleet->self;
    }
}

/* Returns whether PEER watches the store and has sent a datagram within the
   last WATCHER_SILENT_MS.  This limit is shorter than that of fleet_is_silent
   because a watcher sends every heartbeat to its failure domain.  */
static int
is_watcher (const struct fleet_peer *peer, clk_ms now)
{
  return peer->store == WIRE_STORE_WATCHED && peer->last_seen_ms != 0
         && now - peer->last_seen_ms <= WATCHER_SILENT_MS;
}

/* Returns whether another live instance of the same failure domain watches the
   store.  */
int
fleet_has_watcher (const struct fleet *fleet)
{
  struct elect_view view = { 0 };

  fleet_count_watchers (fleet, &view);
  return view.watchers > 0;
}

/* Returns how many other instances are not silent.  */
uint32_t
fleet_heard_count (const struct fleet *fleet)
{
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += !fleet_is_silent (fleet, value, now);
  return count;
}

/* Returns whether any other instance has been heard lately.  */
int
fleet_hears_peers (const struct fleet *fleet)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!fleet_is_silent (fleet, value, now))
      return 1;
  return 0;
}

/* Returns whether this instance, with the others that it has heard as lately
   as heartbeats come, is the greater part of the fleet.  */
int
fleet_hears_most (const struct fleet *fleet, clk_ms now)
{
  int64_t heard_ms
      = (int64_t)((fleet_heartbeat_stride (fleet) * SILENT_PERIODS + 1)
                  * FLEET_HEARTBEAT_MS);
  uint32_t heard = 1;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      heard += peer->last_seen_ms != 0 && now - peer->last_seen_ms <= heard_ms;
    }
  return heard * 2 > fleet_size (fleet);
}

/* Returns the mean age, in milliseconds, of the loads that the other instances
   reported, or 0 if there are none.  */
int64_t
fleet_loads_age_ms (const struct fleet *fleet)
{
  clk_ms now = clk_now (clk_monotonic ());
  int64_t sum_ms = 0;
  int64_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->loads->len == 0)
        continue;
      sum_ms += now - peer->loads_ms;
      count++;
    }
  return count > 0 ? sum_ms / count : 0;
}

/* Returns whether this instance ranks first for KEY among those that are
   alive.  */
int
fleet_ranks_first (const struct fleet *fleet, uint64_t key, clk_ms now)
{
  uint64_t own = rank_mix (key, fleet->self);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->state != MEMBER_LEAVING && !fleet_is_silent (fleet, peer, now)
          && rank_mix (key, peer->id) > own)
        return 0;
    }
  return 1;
}

/* Stores in TOP the live peers that rank first for KEY, at most MAX, in order.
   Returns how many.  */
uint32_t
fleet_top_peers (const struct fleet *fleet, uint64_t key, clk_ms now,
                 const struct fleet_peer **top, uint32_t max)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      uint64_t rank = rank_mix (key, peer->id);
      uint32_t at = count;

      if (fleet_is_silent (fleet, peer, now))
        continue;
      while (at > 0 && rank_mix (key, top[at - 1]->id) < rank)
        at--;
      if (at == max)
        continue;
      count = MIN (count + 1, max);
      for (uint32_t i = count - 1; i > at; i--)
        top[i] = top[i - 1];
      top[at] = peer;
    }
  return count;
}
