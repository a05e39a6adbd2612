/* Heartbeats: to whom they go and when, what they carry, and what those of
   peers change.  */
#include "ibisloom/log.h"
#include "libfleet.h"

enum
{
  SILENT_PEER_STRIDE = 5 /* a silent peer gets at most one heartbeat in 5 */
};

static void send_to_seeds (struct fleet *fleet, clk_ms now);
static int gets_heartbeat (const struct fleet *fleet,
                           const struct fleet_peer *peer, uint32_t index,
                           uint32_t stride);
static void send_heartbeat (struct fleet *fleet,
                            const struct sockaddr_in *address,
                            int wants_affinity);
static enum member_state own_state (const struct fleet *fleet);
static void send_state (struct fleet *fleet,
                        const struct sockaddr_in *address);
static uint32_t next_loads (const struct fleet *fleet, guint *position,
                            struct wire_load *loads, uint32_t max);
static void report_update (struct fleet *fleet, const struct fleet_peer *peer,
                           const struct snapshot_state *known);

/* Sends a heartbeat to the peers that are due.  In a large fleet each peer
   gets only some of the heartbeats.  The loads that a silent peer reported
   last are dropped.  Until the affinity table of another instance has been
   received, each heartbeat round requests it from one peer.  */
void
fleet_on_heartbeat_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t stride = fleet_heartbeat_stride (fleet);
  uint32_t silent_stride = MAX (stride, SILENT_PEER_STRIDE);
  GHashTableIter iter;
  gpointer value;
  uint32_t index = 0;
  int wants_affinity = !fleet->affinity_received;

  (void)loop;
  (void)events;
  fleet->heartbeat_count++;
  fleet_crash_tick (fleet, now);
  fleet_quarantine_tick (fleet, now);
  fleet_rate_tick (fleet, now);
  fleet_room_tick (fleet, now);
  fleet_evacuation_tick (fleet, now);
  fleet_leaving_tick (fleet, now);
  fleet_pause_tick (fleet, now);
  fleet_pace_tick (fleet, now);
  fleet_work_tick (fleet, now);
  fleet_prior_tick (fleet, now);
  fleet_origin_tick (fleet, now);
  fleet_version_tick (fleet, now);
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
      send_heartbeat (fleet, &peer->address, !silent && wants_affinity);
      if (!silent)
        fleet_send_capabilities (fleet, peer);
      wants_affinity = wants_affinity && silent; /* one peer at a time */
    }
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
        send_heartbeat (fleet, &address, 0);
    }
}

/* Sends a heartbeat to ADDRESS.  If WANTS_AFFINITY is not 0, it requests the
   affinity table of the receiver.  Loads that do not fit follow as load
   updates, and then the states of prompt parts, the rate limits of targets,
   the services whose targets are brittle, the paces and the targets that have
   said that they leave, if there are any.
   Evacuations come first: a heartbeat tells a starting instance that it has
   heard of them.  */
static void
send_heartbeat (struct fleet *fleet, const struct sockaddr_in *address,
                int wants_affinity)
{
  struct wire_message message
      = { .kind = WIRE_HEARTBEAT,
          .u.heartbeat = { .wants_reply = wants_affinity != 0,
                           .revision = fleet->known.targets.revision,
                           .config_revision = fleet->known.config.revision,
                           .store = (uint8_t)fleet->store_state,
                           .domain = fleet->domain,
                           .state = (uint8_t)own_state (fleet) } };
  struct wire_heartbeat *heartbeat = &message.u.heartbeat;
  guint position = 0;

  heartbeat->load_count
      = next_loads (fleet, &position, heartbeat->loads, WIRE_LOADS_MAX);
  fleet_send_evacuations (fleet, address);
  send_state (fleet, address);
  fleet_send (fleet, address, &message);
  while (position < fleet->registry->array->len)
    {
      struct wire_message update = { .kind = WIRE_LOADS };

      update.u.loads.count = next_loads (fleet, &position, update.u.loads.load,
                                         WIRE_UPDATE_LOADS_MAX);
      if (update.u.loads.count > 0)
        fleet_send (fleet, address, &update);
    }
  fleet_send_states (fleet, address);
  fleet_send_rates (fleet, address);
  fleet_send_brittle (fleet, address);
  fleet_send_paces (fleet, address);
  fleet_send_leaves (fleet, address);
}

/* Returns the state that heartbeats report.  */
static enum member_state
own_state (const struct fleet *fleet)
{
  if (fleet->is_leaving)
    return MEMBER_LEAVING;
  return fleet_knows_quarantine (fleet) && fleet_knows_evacuations (fleet)
             ? MEMBER_READY
             : MEMBER_STARTING;
}

/* Sends to ADDRESS what this instance knows of the store, if the store tells
   its epoch.  Older builds, which read revisions from heartbeats only, drop
   it.  */
static void
send_state (struct fleet *fleet, const struct sockaddr_in *address)
{
  struct wire_message message
      = { .kind = WIRE_STATE,
          .u.state = { .version = fleet->known.version,
                       .config = fleet->known.config,
                       .targets = fleet->known.targets } };

  if (fleet->known.config.epoch != 0 || fleet->known.targets.epoch != 0)
    fleet_send (fleet, address, &message);
}

/* Copies to LOADS up to MAX loads of this instance, from the target at
   POSITION on, and advances POSITION.  Returns how many.  */
static uint32_t
next_loads (const struct fleet *fleet, guint *position,
            struct wire_load *loads, uint32_t max)
{
  const GPtrArray *targets = fleet->registry->array;
  uint32_t count = 0;

  for (; *position < targets->len && count < max; (*position)++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, *position);

      if (target->in_flight == 0)
        continue;
      loads[count].target = target->hash;
      loads[count].load = target->in_flight;
      count++;
    }
  return count;
}

/* Applies a heartbeat of PEER: replaces the loads that PEER reported before,
   sends PEER the affinity table if the heartbeat requests it, and reports the
   store revisions in it, which have no epoch.  */
void
fleet_apply_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                       const struct wire_heartbeat *heartbeat)
{
  fleet_set_loads (fleet, peer, heartbeat);
  if (heartbeat->wants_reply)
    fleet_send_affinity (fleet, peer);
  peer->domain = heartbeat->domain;
  peer->store = (enum wire_store)heartbeat->store;
  peer->state = (enum member_state)heartbeat->state;
  fleet->is_informed |= peer->state != MEMBER_STARTING;
  report_update (
      fleet, peer,
      &(struct snapshot_state){ .config.revision = heartbeat->config_revision,
                                .targets.revision = heartbeat->revision });
}

/* Reports what PEER knows of the store.  */
void
fleet_apply_state (struct fleet *fleet, const struct fleet_peer *peer,
                   const struct wire_store_state *state)
{
  report_update (fleet, peer,
                 &(struct snapshot_state){ .version = state->version,
                                           .config = state->config,
                                           .targets = state->targets });
}

/* Passes on that PEER has KNOWN of the store.  */
static void
report_update (struct fleet *fleet, const struct fleet_peer *peer,
               const struct snapshot_state *known)
{
  struct fleet_update update = { .address = peer->address,
                                 .known = *known,
                                 .is_local = peer->domain == fleet->domain };

  if (fleet->on_update != NULL)
    fleet->on_update (fleet->closure, &update);
}
