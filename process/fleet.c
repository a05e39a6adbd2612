/* The other instances of the fleet.

   An instance registers its address in the store once, reads the addresses of
   the others from there, and from then on exchanges datagrams with them.  An
   instance that is not in the list yet becomes known by its first datagram.
   Each heartbeat carries the number of requests that the sender has in
   progress at each target, so that every instance knows the load that the
   whole fleet puts on each target.  Load updates carry it sooner for targets
   near their load limit (fleet_load.c).  Notes name the holder of a context,
   which is a target that has the context in its cache.  A lost heartbeat is
   made up for by the next one; after a lost note, another target may have to
   compute the context once more.  */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "ibisloom/storecall.h"
#include "libfleet.h"

enum
{
  HEARTBEAT_INTERVAL_MS = 200,
  HEARTBEAT_FANOUT = 16,  /* peers that one heartbeat is sent to */
  SILENT_PEER_STRIDE = 5, /* a silent peer gets at most one heartbeat in 5 */
  WATCHER_SILENT_MS = 700,
  /* The loads of a peer that has been silent for longer no longer count.  */
  SILENT_MIN_MS = 1500
};

/* The same in a large fleet, as a multiple of the time between two heartbeats
   to a peer. */
static const double SILENT_PERIODS = 1.25;

static int is_watcher (const struct fleet_peer *peer, clk_ms now);
static int gets_heartbeat (const struct fleet *fleet,
                           const struct fleet_peer *peer, uint32_t index,
                           uint32_t stride);
static uint32_t heartbeat_stride (const struct fleet *fleet);
static void on_heartbeat_due (struct ev_loop *loop, ev_timer *timer,
                              int events);
static void send_to_seeds (struct fleet *fleet, clk_ms now);
static void peer_free (gpointer data);

/* Creates the view of the fleet and binds its datagram socket.  The requests
   in progress at the targets of REGISTRY and the holders in AFFINITY are
   exchanged with the other instances, which are listed as objects of KIND in
   STORE.  Returns NULL with ERROR set if the address cannot be bound.  */
struct fleet *
fleet_new (const struct settings *settings, struct ev_loop *loop,
           struct out_pool *pool, const struct watch_protocol *store,
           const char *kind, struct registry *registry,
           struct affinity *affinity, GError **error)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);

  fleet->loop = loop;
  fleet->pool = pool;
  fleet->settings = settings;
  fleet->store = store;
  fleet->kind = kind;
  fleet->registry = registry;
  fleet->affinity = affinity;
  fleet->self = (uint32_t)rank_hash (settings->instance);
  fleet->domain = (uint32_t)rank_hash (settings->failure_domain);
  fleet->incarnation = (uint64_t)clk_wall_ms ();
  fleet->peers = g_hash_table_new_full (NULL, NULL, NULL, peer_free);
  fleet->listed_name = g_string_new (NULL);
  fleet_watch_loads (fleet);
  fleet_quarantine_init (fleet);
  fleet->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sodium_init () < 0 || fleet->fd < 0
      || bind (fleet->fd, (const struct sockaddr *)&settings->peer_listen,
               sizeof settings->peer_listen)
             != 0)
    {
      err_set (error, ERR_IO, "peer_listen: port %u cannot be used: %s",
               ntohs (settings->peer_listen.sin_port), strerror (errno));
      fleet_free (fleet);
      return NULL;
    }
  wire_key_derive (&fleet->key, "", settings->deployment);
  ev_io_init (&fleet->io, fleet_on_datagram, fleet->fd, EV_READ);
  fleet->io.data = fleet;
  ev_timer_init (&fleet->heartbeat, on_heartbeat_due,
                 (double)HEARTBEAT_INTERVAL_MS / CLK_MS_PER_S,
                 (double)HEARTBEAT_INTERVAL_MS / CLK_MS_PER_S);
  fleet->heartbeat.data = fleet;
  ev_timer_init (&fleet->retry, fleet_on_retry, 0, 0);
  fleet->retry.data = fleet;
  ev_timer_init (&fleet->rejoin, fleet_on_rejoin_due, 0, 0);
  fleet->rejoin.data = fleet;
  return fleet;
}

/* Sets FN to be called with CLOSURE whenever another instance reports what it
   knows of the store.  */
void
fleet_on_update (struct fleet *fleet, fleet_update_fn fn, void *closure)
{
  fleet->on_update = fn;
  fleet->closure = closure;
}

/* Sets what heartbeats report: what this instance has KNOWN of the store, and
   in STORE whether it watches the store or has lost the connection to it.  */
void
fleet_set_state (struct fleet *fleet, const struct snapshot_state *known,
                 enum wire_store store)
{
  fleet->known = *known;
  fleet->store_state = store;
}

/* Makes heartbeats report that this instance is shutting down.  */
void
fleet_set_leaving (struct fleet *fleet)
{
  fleet->is_leaving = 1;
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

/* Replaces the settings by SETTINGS, which have the same addresses.  */
void
fleet_set_settings (struct fleet *fleet, const struct settings *settings)
{
  fleet->settings = settings;
}

/* Starts to exchange heartbeats and joins the fleet.  */
void
fleet_start (struct fleet *fleet)
{
  ev_io_start (fleet->loop, &fleet->io);
  ev_timer_start (fleet->loop, &fleet->heartbeat);
  fleet_join (fleet);
}

/* Frees FLEET; NULL is allowed.  */
void
fleet_free (struct fleet *fleet)
{
  if (fleet == NULL)
    return;
  ev_io_stop (fleet->loop, &fleet->io);
  ev_timer_stop (fleet->loop, &fleet->heartbeat);
  ev_timer_stop (fleet->loop, &fleet->retry);
  ev_timer_stop (fleet->loop, &fleet->rejoin);
  fleet_unwatch_loads (fleet);
  fleet_quarantine_clear (fleet);
  if (fleet->call != NULL)
    store_call_cancel (fleet->call);
  if (fleet->fd >= 0)
    close (fleet->fd);
  g_hash_table_destroy (fleet->peers);
  g_string_free (fleet->listed_name, TRUE);
  g_free (fleet);
}

/* Returns the number of known instances, including this one.  */
uint32_t
fleet_size (const struct fleet *fleet)
{
  return g_hash_table_size (fleet->peers) + 1;
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

/* Returns whether the current heartbeat is to be sent to PEER, whose position
   in the iteration over the peers is INDEX.  Each peer gets one heartbeat in
   STRIDE, except that an instance that watches the store sends every heartbeat
   to the peers of its failure domain.  */
static int
gets_heartbeat (const struct fleet *fleet, const struct fleet_peer *peer,
                uint32_t index, uint32_t stride)
{
  if (fleet->store_state == WIRE_STORE_WATCHED
      && peer->domain == fleet->domain)
    return 1;
  return (fleet->heartbeat_count + index) % stride == 0;
}

/* Sends a heartbeat to the peers that are due.  In a large fleet each peer
   gets only some of the heartbeats.  The loads that a silent peer reported
   last are dropped.  Until the affinity table of another instance has been
   received, each heartbeat round requests it from one peer.  */
static void
on_heartbeat_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t stride = heartbeat_stride (fleet);
  uint32_t silent_stride = MAX (stride, SILENT_PEER_STRIDE);
  GHashTableIter iter;
  gpointer value;
  uint32_t index = 0;
  int wants_affinity = !fleet->affinity_received;

  (void)loop;
  (void)events;
  fleet->heartbeat_count++;
  fleet_quarantine_tick (fleet, now);
  fleet_rate_tick (fleet, now);
  if (fleet->heartbeat_count % SILENT_PEER_STRIDE == 1)
    send_to_seeds (fleet, now);
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fleet_peer *peer = value;
      int silent = fleet_is_silent (fleet, peer, now);

      if (silent && peer->loads->len > 0)
        {
          fleet_drop_loads (fleet, peer);
          log_info ("fleet", NULL, "peer_silent", "instance %08x", peer->id);
        }
      index++;
      if (silent ? (fleet->heartbeat_count + index) % silent_stride != 0
                       && fleet->heartbeat_count > 5
                 : !gets_heartbeat (fleet, peer, index, stride))
        continue;
      fleet_send_heartbeat (fleet, &peer->address, !silent && wants_affinity);
      wants_affinity = wants_affinity && silent; /* one peer at a time */
    }
}

/* Sends a heartbeat to the instances in the settings if all known peers are
   silent, since the list of instances cannot be read while the store is down.
   All instances use the same port.  */
static void
send_to_seeds (struct fleet *fleet, clk_ms now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!fleet_is_silent (fleet, value, now))
      return;
  for (guint i = 0; i < fleet->settings->peers->len; i++)
    {
      struct sockaddr_in address
          = g_array_index (fleet->settings->peers, struct sockaddr_in, i);

      address.sin_port = fleet->settings->peer_listen.sin_port;
      if (address.sin_addr.s_addr
          != fleet->settings->peer_listen.sin_addr.s_addr)
        fleet_send_heartbeat (fleet, &address, 0);
    }
}

/* Returns in how many heartbeats each peer gets one.  */
static uint32_t
heartbeat_stride (const struct fleet *fleet)
{
  return (g_hash_table_size (fleet->peers) + HEARTBEAT_FANOUT - 1)
         / HEARTBEAT_FANOUT;
}

/* Returns whether no datagram of PEER has arrived for longer than a live peer
   is silent.  */
int
fleet_is_silent (const struct fleet *fleet, const struct fleet_peer *peer,
                 clk_ms now)
{
  int64_t period_ms
      = (int64_t)heartbeat_stride (fleet) * HEARTBEAT_INTERVAL_MS;
  int64_t silent_ms
      = (int64_t)((double)period_ms * SILENT_PERIODS) + HEARTBEAT_INTERVAL_MS;

  return peer->last_seen_ms == 0
         || now - peer->last_seen_ms > MAX (silent_ms, SILENT_MIN_MS);
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
