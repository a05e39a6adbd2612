/* The other instances of the fleet.

   An instance registers its address in the store once, reads the addresses of
   the others from there, and from then on exchanges datagrams with them.  An
   instance that is not in the list yet becomes known by its first datagram.
   Each heartbeat carries the number of requests that the sender has in
   progress at each target, so that every instance knows the load that the
   whole fleet puts on each target.  Load updates carry it sooner for targets
   near their load limit (fleet_load.c), to other failure domains through
   relays (fleet_relay.c).  Notes name the holder of a context,
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

static void receive (struct fleet *fleet, struct fleet_peer *peer,
                     const struct wire_message *message);

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
  /* Peers that know a later one, as the clock was ahead then, say so.  */
  fleet->incarnation = (uint64_t)clk_wall_ms ();
  fleet->peers = fleet_peers_new ();
  fleet->receive = receive;
  fleet->listed_name = g_string_new (NULL);
  fleet_room_init (fleet);
  fleet_evacuation_init (fleet);
  fleet_relay_init (fleet);
  fleet_leaving_init (fleet);
  fleet_watch_loads (fleet);
  fleet_work_init (fleet);
  fleet_quarantine_init (fleet);
  fleet_crash_init (fleet);
  fleet_prior_init (fleet);
  fleet_origin_init (fleet);
  fleet_version_init (fleet);
  fleet_demand_init (fleet);
  fleet_origin_store_init (fleet);
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
  ev_timer_init (&fleet->heartbeat, fleet_on_heartbeat_due,
                 (double)FLEET_HEARTBEAT_MS / CLK_MS_PER_S,
                 (double)FLEET_HEARTBEAT_MS / CLK_MS_PER_S);
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

/* Replaces the settings by SETTINGS, which have the same addresses.  */
void
fleet_set_settings (struct fleet *fleet, const struct settings *settings)
{
  int changes_capabilities
      = settings->load_relays != fleet->settings->load_relays;

  fleet->settings = settings;
  if (changes_capabilities)
    fleet_repeat_capabilities (fleet);
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
  fleet_held_clear (fleet);
  fleet_unwatch_loads (fleet);
  fleet_work_clear (fleet);
  fleet_relay_clear (fleet);
  fleet_room_clear (fleet);
  fleet_evacuation_clear (fleet);
  fleet_leaving_clear (fleet);
  fleet_origin_store_clear (fleet);
  fleet_crash_clear (fleet);
  fleet_quarantine_clear (fleet);
  if (fleet->call != NULL)
    store_call_cancel (fleet->call);
  if (fleet->fd >= 0)
    close (fleet->fd);
  fleet_version_clear (fleet);
  fleet_demand_clear (fleet);
  fleet_origin_clear (fleet);
  fleet_prior_clear (fleet);
  g_hash_table_destroy (fleet->peers);
  g_string_free (fleet->listed_name, TRUE);
  g_free (fleet);
}

/* Applies MESSAGE of PEER.  Routers send no other kinds.  */
static void
receive (struct fleet *fleet, struct fleet_peer *peer,
         const struct wire_message *message)
{
  switch (message->kind)
    {
    case WIRE_HEARTBEAT:
      fleet_apply_heartbeat (fleet, peer, &message->u.heartbeat);
      break;
    case WIRE_LOADS:
      fleet_update_loads (fleet, peer, &message->u.loads);
      break;
    case WIRE_RELAY_LOADS:
      fleet_forward_loads (fleet, peer, &message->u.loads);
      fleet_update_loads (fleet, peer, &message->u.loads);
      break;
    case WIRE_RELAYED_LOADS:
      fleet_apply_relayed (fleet, &message->u.relayed);
      break;
    case WIRE_CAPABILITIES:
      fleet_apply_capabilities (peer, &message->u.capabilities);
      break;
    case WIRE_NOTES:
      fleet_apply_notes (fleet, &message->u.notes);
      break;
    case WIRE_CRASH:
      fleet_apply_crash (fleet, &message->u.crash);
      break;
    case WIRE_QUARANTINE:
      fleet_apply_states (fleet, &message->u.quarantine);
      break;
    case WIRE_SUCCESS:
      fleet_apply_success (fleet, &message->u.success);
      break;
    case WIRE_RATES:
      fleet_apply_rates (fleet, &message->u.rates);
      break;
    case WIRE_SENT:
      fleet_apply_sent (fleet, &message->u.sent);
      break;
    case WIRE_BRITTLE:
      fleet_apply_brittle (fleet, &message->u.brittle);
      break;
    case WIRE_REJECTED:
      fleet_apply_rejected (fleet, &message->u.rejected);
      break;
    case WIRE_ROOM_LIMIT:
      fleet_apply_limit (fleet, &message->u.rejected);
      break;
    case WIRE_ROOM_QUERY:
      fleet_answer_rooms (fleet, peer, &message->u.room_query);
      break;
    case WIRE_ROOMS:
      fleet_apply_rooms (fleet, &message->u.rooms);
      break;
    case WIRE_EVACUATIONS:
      fleet_apply_evacuations (fleet, peer, &message->u.evacuations);
      break;
    case WIRE_COLD:
      fleet_apply_cold (fleet, &message->u.cold);
      break;
    case WIRE_PACES:
      fleet_apply_paces (fleet, &message->u.paces);
      break;
    case WIRE_LEAVES:
      fleet_apply_leaves (fleet, &message->u.leaves);
      break;
    case WIRE_HELD:
      fleet_apply_held (fleet, &message->u.held);
      break;
    case WIRE_HELD_QUERY:
      fleet_answer_held (fleet, peer);
      break;
    case WIRE_STATE:
      fleet_apply_state (fleet, peer, &message->u.state);
      break;
    case WIRE_ORIGINS:
      fleet_apply_origins (fleet, peer, &message->u.origins);
      break;
    case WIRE_ORIGIN_QUERY:
      fleet_answer_origin (fleet, peer, &message->u.origin_query);
      break;
    case WIRE_VERSIONS:
      fleet_apply_versions (fleet, &message->u.versions);
      break;
    case WIRE_VERSION_QUERY:
      fleet_answer_versions (fleet, peer, &message->u.version_query);
      break;
    case WIRE_REACH_QUERY:
      fleet_answer_reach (fleet, peer, &message->u.reach_query);
      break;
    case WIRE_REACH:
      fleet_apply_reach (fleet, peer, &message->u.reach);
      break;
    case WIRE_DEMAND:
      fleet_apply_demand (fleet, peer, &message->u.demand);
      break;
    case WIRE_WORK:
      fleet_apply_work (fleet, peer, &message->u.work);
      break;
    case WIRE_INCARNATION:
      fleet_apply_incarnation (fleet, peer, &message->u.incarnation);
      break;
    case WIRE_LEVEL:
      fleet_apply_level (fleet, peer, &message->u.level);
      break;
    default:
      break;
    }
}
