/* Datagrams between the instances of the fleet: heartbeats, load updates,
   notes, the quarantine of prompt parts and the rate limits of targets.  */
#include <string.h>
#include <sys/socket.h>

#include "ibisloom/fleet.h"
#include "ibisloom/members.h"
#include "libfleet.h"

enum
{
  /* In a larger fleet only peers of the own domain get these.  */
  NOTE_PEERS_MAX = 128,
  LOAD_UPDATE_PEERS_MAX = 512
};

static void send_notes (struct fleet *fleet, const struct fleet_peer *peer,
                        const struct wire_note *notes, uint32_t count);
static uint32_t next_loads (const struct fleet *fleet, guint *position,
                            struct wire_load *loads, uint32_t max);
static size_t encode_next (struct fleet *fleet, struct wire_message *message,
                           unsigned char *data);
static void apply_message (struct fleet *fleet, struct fleet_peer *peer,
                           const struct wire_message *message);
static void send_state (struct fleet *fleet,
                        const struct sockaddr_in *address);
static void apply_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                             const struct wire_heartbeat *heartbeat);
static void apply_state (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct wire_store_state *state);
static void report_update (struct fleet *fleet, const struct fleet_peer *peer,
                           const struct snapshot_state *known);
static void send_affinity (struct fleet *fleet, const struct fleet_peer *peer);
static void apply_notes (struct fleet *fleet, const struct wire_notes *notes);
static int gets_broadcast (const struct fleet *fleet,
                           const struct fleet_peer *peer, enum wire_kind kind);

/* Sends a heartbeat to ADDRESS.  If WANTS_AFFINITY is not 0, it requests the
   affinity table of the receiver.  Loads that do not fit follow as load
   updates, and then the states of prompt parts and the rate limits of targets,
   if there are any.  */
void
fleet_send_heartbeat (struct fleet *fleet, const struct sockaddr_in *address,
                      int wants_affinity)
{
  struct wire_message message = {
    .kind = WIRE_HEARTBEAT,
    .u.heartbeat
    = { .wants_reply = wants_affinity != 0,
        .revision = fleet->known.targets.revision,
        .config_revision = fleet->known.config.revision,
        .store = (uint8_t)fleet->store_state,
        .domain = fleet->domain,
        .state = (uint8_t)(fleet->is_leaving ? MEMBER_LEAVING : MEMBER_READY) }
  };
  struct wire_heartbeat *heartbeat = &message.u.heartbeat;
  guint position = 0;

  heartbeat->load_count
      = next_loads (fleet, &position, heartbeat->loads, WIRE_LOADS_MAX);
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

/* Sends COUNT NOTES, at most WIRE_NOTES_MAX, to PEER.  */
static void
send_notes (struct fleet *fleet, const struct fleet_peer *peer,
            const struct wire_note *notes, uint32_t count)
{
  struct wire_message message = { .kind = WIRE_NOTES };

  message.u.notes.count = count;
  memcpy (message.u.notes.note, notes, count * sizeof *notes);
  fleet_send (fleet, &peer->address, &message);
}

/* Encodes MESSAGE, as the next one of this instance, to DATA, of
   WIRE_MAX_BYTES.  Returns its length.  */
static size_t
encode_next (struct fleet *fleet, struct wire_message *message,
             unsigned char *data)
{
  message->sender = fleet->self;
  message->incarnation = fleet->incarnation;
  message->sequence = ++fleet->sequence;
  return wire_encode (message, &fleet->key, data);
}

/* Sends MESSAGE to ADDRESS.  A loss is made up for by the next heartbeat.  */
void
fleet_send (struct fleet *fleet, const struct sockaddr_in *address,
            struct wire_message *message)
{
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = encode_next (fleet, message, data);

  (void)sendto (fleet->fd, data, length, MSG_DONTWAIT,
                (const struct sockaddr *)address, sizeof *address);
}

/* Sends all holders in the affinity table to PEER, which requests them after
   its start.  */
static void
send_affinity (struct fleet *fleet, const struct fleet_peer *peer)
{
  struct wire_note notes[WIRE_NOTES_MAX];
  struct affinity_cursor cursor = { 0 };
  uint32_t count = 0;

  while (affinity_next (fleet->affinity, &cursor, &notes[count].chat,
                        &notes[count].target))
    {
      notes[count].home = 0;
      notes[count].ttl_ms = 0;
      if (++count < WIRE_NOTES_MAX)
        continue;
      send_notes (fleet, peer, notes, count);
      count = 0;
    }
  if (count > 0)
    send_notes (fleet, peer, notes, count);
}

/* Handles all datagrams that have arrived.  Drops those that fail
   authentication, are older than the last one of their sender or come from
   this instance, and all of them if FLEET_PEERS_MAX peers are known.  */
void
fleet_on_datagram (struct ev_loop *loop, ev_io *io, int events)
{
  struct fleet *fleet = io->data;
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_message message;
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t received;

  (void)loop;
  (void)events;
  while ((received = recvfrom (fleet->fd, data, sizeof data, MSG_DONTWAIT,
                               (struct sockaddr *)&from, &size))
         >= 0)
    {
      struct fleet_peer *peer;

      size = sizeof from;
      if (wire_decode (&message, &fleet->key, data, (size_t)received)
              != WIRE_OK
          || message.sender == fleet->self
          || g_hash_table_size (fleet->peers) >= FLEET_PEERS_MAX)
        continue;
      peer = fleet_get_peer (fleet, message.sender);
      if (message.incarnation < peer->incarnation
          || (message.incarnation == peer->incarnation
              && message.sequence <= peer->sequence))
        continue;
      peer->incarnation = message.incarnation;
      peer->sequence = message.sequence;
      peer->address = from;
      peer->last_seen_ms = clk_now (clk_monotonic ());
      apply_message (fleet, peer, &message);
    }
}

/* Applies MESSAGE of PEER.  Routers send no other kinds.  */
static void
apply_message (struct fleet *fleet, struct fleet_peer *peer,
               const struct wire_message *message)
{
  switch (message->kind)
    {
    case WIRE_HEARTBEAT:
      apply_heartbeat (fleet, peer, &message->u.heartbeat);
      break;
    case WIRE_LOADS:
      fleet_update_loads (fleet, peer, &message->u.loads);
      break;
    case WIRE_NOTES:
      apply_notes (fleet, &message->u.notes);
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
    case WIRE_STATE:
      apply_state (fleet, peer, &message->u.state);
      break;
    default:
      break;
    }
}

/* Applies a heartbeat of PEER: replaces the loads that PEER reported before,
   sends PEER the affinity table if the heartbeat requests it, and reports the
   store revisions in it, which have no epoch.  */
static void
apply_heartbeat (struct fleet *fleet, struct fleet_peer *peer,
                 const struct wire_heartbeat *heartbeat)
{
  fleet_set_loads (fleet, peer, heartbeat);
  if (heartbeat->wants_reply)
    send_affinity (fleet, peer);
  peer->domain = heartbeat->domain;
  peer->store = (enum wire_store)heartbeat->store;
  peer->state = (enum member_state)heartbeat->state;
  report_update (
      fleet, peer,
      &(struct snapshot_state){ .config.revision = heartbeat->config_revision,
                                .targets.revision = heartbeat->revision });
}

/* Reports what PEER knows of the store.  */
static void
apply_state (struct fleet *fleet, const struct fleet_peer *peer,
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

/* Records the context holders that NOTES name.  A datagram with more than one
   note is part of the requested affinity table.  */
static void
apply_notes (struct fleet *fleet, const struct wire_notes *notes)
{
  clk_ms now = clk_now (clk_monotonic ());

  fleet->affinity_received |= notes->count > 1;
  for (uint32_t i = 0; i < notes->count; i++)
    affinity_record (fleet->affinity, notes->note[i].chat,
                     notes->note[i].target, now);
}

/* Returns whether PEER gets a broadcast of KIND.  In a large fleet only peers
   of the same failure domain do, since a client sends its next requests to the
   same failure domain.  */
static int
gets_broadcast (const struct fleet *fleet, const struct fleet_peer *peer,
                enum wire_kind kind)
{
  uint32_t peers_max
      = kind == WIRE_NOTES ? NOTE_PEERS_MAX : LOAD_UPDATE_PEERS_MAX;

  return g_hash_table_size (fleet->peers) <= peers_max
         || peer->domain == fleet->domain;
}

/* Sends MESSAGE to the peers that are not silent.  */
void
fleet_broadcast (struct fleet *fleet, struct wire_message *message)
{
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = encode_next (fleet, message, data);
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (!fleet_is_silent (fleet, peer, now)
          && gets_broadcast (fleet, peer, message->kind))
        (void)sendto (fleet->fd, data, length, MSG_DONTWAIT,
                      (const struct sockaddr *)&peer->address,
                      sizeof peer->address);
    }
}

/* Notifies the other instances that TARGET has begun to compute CONTEXT, so
   that they send the next request with that context to TARGET as well.  */
void
fleet_announce_holder (struct fleet *fleet, uint64_t context, uint64_t target)
{
  struct wire_message message = { .kind = WIRE_NOTES };

  message.u.notes.count = 1;
  message.u.notes.note[0].chat = context;
  message.u.notes.note[0].target = target;
  fleet_broadcast (fleet, &message);
}
