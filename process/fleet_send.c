/* Datagrams between the instances: sending, and receiving in order.  */
#include <string.h>
#include <sys/socket.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libfleet.h"

enum
{
  /* In a larger fleet only peers of the own domain get these.  */
  NOTE_PEERS_MAX = 128,
  LOAD_UPDATE_PEERS_MAX = 512
};

static size_t encode_next (struct fleet *fleet, struct wire_message *message,
                           unsigned char *data);
static void send_datagram (struct fleet *fleet, enum wire_kind kind,
                           const unsigned char *data, size_t length,
                           const struct sockaddr_in *address);
static int is_older (const struct fleet_peer *peer,
                     const struct wire_message *message);
static void answer_older (struct fleet *fleet, const struct fleet_peer *peer,
                          const struct wire_message *message,
                          const struct sockaddr_in *from);
static int gets_broadcast (const struct fleet *fleet,
                           const struct fleet_peer *peer, void *closure);

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

  send_datagram (fleet, message->kind, data, length, address);
}

/* Sends MESSAGE, as one datagram, to the COUNT ADDRESSES.  */
void
fleet_send_many (struct fleet *fleet, struct wire_message *message,
                 const struct sockaddr_in *addresses, uint32_t count)
{
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = encode_next (fleet, message, data);

  for (uint32_t i = 0; i < count; i++)
    send_datagram (fleet, message->kind, data, length, &addresses[i]);
}

/* Sends DATA of LENGTH, a message of KIND, to ADDRESS, and counts it.  */
static void
send_datagram (struct fleet *fleet, enum wire_kind kind,
               const unsigned char *data, size_t length,
               const struct sockaddr_in *address)
{
  struct fleet_traffic *traffic = &fleet->traffic[kind];

  if (sendto (fleet->fd, data, length, MSG_DONTWAIT,
              (const struct sockaddr *)address, sizeof *address)
      < 0)
    return;
  traffic->sent++;
  traffic->sent_bytes += length;
}

/* Returns what was exchanged of KIND.  */
const struct fleet_traffic *
fleet_traffic (const struct fleet *fleet, enum wire_kind kind)
{
  return &fleet->traffic[kind];
}

/* Returns how many datagrams were not understood: damaged, of strangers, or of
   a kind that this build does not know.  */
uint64_t
fleet_unreadable_count (const struct fleet *fleet)
{
  return fleet->unreadable;
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
          != WIRE_OK)
        {
          fleet->unreadable++;
          continue;
        }
      fleet->traffic[message.kind].received++;
      fleet->traffic[message.kind].received_bytes += (uint64_t)received;
      if (message.sender == fleet->self
          || g_hash_table_size (fleet->peers) >= FLEET_PEERS_MAX)
        continue;
      peer = fleet_get_peer (fleet, message.sender);
      answer_older (fleet, peer, &message, &from);
      if (is_older (peer, &message))
        continue;
      if (message.incarnation != peer->incarnation)
        peer->capability_rounds = 0;
      peer->incarnation = message.incarnation;
      peer->sequence = message.sequence;
      peer->address = from;
      peer->last_seen_ms = clk_now (clk_monotonic ());
      fleet->receive (fleet, peer, &message);
    }
}

/* Returns whether MESSAGE is older than the last one of PEER, its sender.  */
static int
is_older (const struct fleet_peer *peer, const struct wire_message *message)
{
  return message->incarnation < peer->incarnation
         || (message->incarnation == peer->incarnation
             && message->sequence <= peer->sequence);
}

/* Answers MESSAGE of PEER, received from FROM, if it is a heartbeat of an
   earlier incarnation than one that PEER itself or a relay has told: its
   process may have started later, after its time of day went back.  */
static void
answer_older (struct fleet *fleet, const struct fleet_peer *peer,
              const struct wire_message *message,
              const struct sockaddr_in *from)
{
  struct wire_message answer
      = { .kind = WIRE_INCARNATION,
          .u.incarnation.known
          = MAX (peer->incarnation, peer->loads_incarnation) };

  if (message->kind == WIRE_HEARTBEAT
      && message->incarnation < answer.u.incarnation.known)
    fleet_send (fleet, from, &answer);
}

/* Raises the incarnation of this instance above the one by which PEER knows
   it, which an earlier process had: until then PEER drops its datagrams.  An
   answer to a late datagram of that process names the present one, or one
   before.  */
void
fleet_apply_incarnation (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct wire_incarnation *incarnation)
{
  struct log_line line;

  if (incarnation->known <= fleet->incarnation
      || incarnation->known == UINT64_MAX)
    return;
  metric_inc (METRIC_INCARNATIONS_RAISED);
  if (log_begin (&line, LOG_LEVEL_WARN, "fleet", NULL, "clock_behind"))
    {
      log_hash (&line, "peer", peer->id);
      log_number (&line, "incarnation", (int64_t)fleet->incarnation);
      log_number (&line, "known", (int64_t)incarnation->known);
      log_end (&line);
    }
  fleet->incarnation = incarnation->known + 1;
  fleet->sequence = 0;
  fleet_repeat_capabilities (fleet);
}

/* Returns whether PEER gets a broadcast of the kind in CLOSURE.  In a large
   fleet only peers of the same failure domain do, since a client sends its
   next requests to the same failure domain.  That a target leaves concerns
   all, and is told once.  */
static int
gets_broadcast (const struct fleet *fleet, const struct fleet_peer *peer,
                void *closure)
{
  const enum wire_kind *kind = closure;
  uint32_t peers_max = *kind == WIRE_NOTES || *kind == WIRE_HELD
                           ? NOTE_PEERS_MAX
                           : LOAD_UPDATE_PEERS_MAX;

  return *kind == WIRE_LEAVES || g_hash_table_size (fleet->peers) <= peers_max
         || peer->domain == fleet->domain;
}

/* Sends MESSAGE to the peers that are not silent.  */
void
fleet_broadcast (struct fleet *fleet, struct wire_message *message)
{
  fleet_send_each (fleet, message, gets_broadcast, &message->kind);
}

/* Sends MESSAGE, as one datagram, to each peer that is not silent and that
   SELECT, called with CLOSURE, returns 1 for.  Returns to how many.  */
uint32_t
fleet_send_each (struct fleet *fleet, struct wire_message *message,
                 fleet_select_fn select, void *closure)
{
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = encode_next (fleet, message, data);
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (fleet_is_silent (fleet, peer, now) || !select (fleet, peer, closure))
        continue;
      send_datagram (fleet, message->kind, data, length, &peer->address);
      count++;
    }
  return count;
}
