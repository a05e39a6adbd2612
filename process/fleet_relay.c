/* Load updates between failure domains, which cross each boundary once.

   An instance sends a load update to the peers of its own failure domain, and
   to one peer in each of the others, the relay, which passes it on to its
   domain while it handles the datagram.  Relays are selected by rendezvous
   hashing, so that each sender has others.  Peers that have not said that they
   know relayed updates get them directly, as do the peers of domains without a
   relay.  How the receivers order the counts is in fleet_load.c.  */
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* In a larger fleet, peers in other failure domains that cannot be reached
     through a relay do not get load updates.  */
  DIRECT_PEERS_MAX = 512,
  /* Limits of what a relay passes on.  At the senders' limit (UPDATES_PER_MS
     in fleet_load.c) a relay passes on about 2 datagrams per ms if hashing
     divides the senders evenly; with few of them one may get thrice that.  */
  FORWARDS_PER_MS = 8,
  FORWARD_BURST = 1024,
  /* A peer is told the capabilities in its first heartbeats and then in one of
     so many, as datagrams may be lost.  */
  FIRST_CAPABILITIES = 3,
  CAPABILITIES_STRIDE = 16,
  /* Until each peer has sent two heartbeats, an instance may not know all of
     its failure domain and is no relay.  */
  LEARNING_STRIDES = 2
};

/* Peers that a load update has to reach through relays. */
struct coverage
{
  uint32_t peers;
};

static int is_foreign (const struct fleet *fleet,
                       const struct fleet_peer *peer);
static struct fleet_relay *find_relay (const struct fleet *fleet,
                                       uint32_t domain);
static void pick_relays (struct fleet *fleet, clk_ms now);
static void set_relay (struct fleet_relay *relay,
                       const struct fleet_peer *peer, uint32_t candidates);
static int is_relay (const struct fleet *fleet, const struct fleet_peer *peer,
                     void *closure);
static int gets_update (const struct fleet *fleet,
                        const struct fleet_peer *peer, void *closure);
static int gets_forward (const struct fleet *fleet,
                         const struct fleet_peer *peer, void *closure);
static int may_forward (struct fleet *fleet, clk_ms now);

/* Prepares FLEET to use relays.  */
void
fleet_relay_init (struct fleet *fleet)
{
  fleet->relays = g_array_new (FALSE, FALSE, sizeof (struct fleet_relay));
  fleet->forward_credit = FORWARD_BURST;
}

/* Undoes fleet_relay_init.  */
void
fleet_relay_clear (struct fleet *fleet)
{
  g_array_free (fleet->relays, TRUE);
}

/* Returns whether PEER has said that it relays load updates.  What an earlier
   process of it said does not count.  */
int
fleet_can_relay (const struct fleet_peer *peer)
{
  return peer->capabilities_incarnation == peer->incarnation
         && (peer->capabilities & WIRE_CAN_RELAY_LOADS) != 0;
}

/* Returns the relay of the failure domain DOMAIN for the load updates of this
   instance: the peer there that ranks first for it among those that can relay,
   are not silent and not leaving, or NULL if there is none.  Sets CANDIDATES
   to the number of those peers.  */
const struct fleet_peer *
fleet_pick_relay (const struct fleet *fleet, uint32_t domain, clk_ms now,
                  uint32_t *candidates)
{
  const struct fleet_peer *first = NULL;
  uint64_t first_rank = 0;
  GHashTableIter iter;
  gpointer value;

  *candidates = 0;
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      uint64_t rank;

      if (peer->domain != domain || peer->state == MEMBER_LEAVING
          || !fleet_can_relay (peer) || fleet_is_silent (fleet, peer, now))
        continue;
      ++*candidates;
      rank = rank_mix (fleet->self, peer->id);
      if (first != NULL && rank <= first_rank)
        continue;
      first = peer;
      first_rank = rank;
    }
  return first;
}

/* Sends the load update LOADS to the other instances, to relays first, as
   their peers get it last.  */
void
fleet_send_update (struct fleet *fleet, const struct wire_loads *loads)
{
  struct wire_message message
      = { .kind = WIRE_RELAY_LOADS, .u.loads = *loads };
  struct coverage coverage = { 0 };
  uint32_t sent;

  if (!fleet->settings->load_relays)
    {
      message.kind = WIRE_LOADS;
      fleet_broadcast (fleet, &message);
      return;
    }
  pick_relays (fleet, clk_now (clk_monotonic ()));
  sent = fleet_send_each (fleet, &message, is_relay, NULL);
  message.kind = WIRE_LOADS;
  sent += fleet_send_each (fleet, &message, gets_update, &coverage);
  fleet->update_datagrams = MAX (sent, coverage.peers);
}

/* Returns by how many datagrams the rate of load updates is limited: those
   that this instance sends for one, or those that relays send for it, if these
   are more.  In a fleet whose failure domains are alike each instance passes
   on as many for others as others do for it, so this limits what a relay sends
   and what an instance receives.  */
uint32_t
fleet_update_datagrams (const struct fleet *fleet)
{
  return fleet->settings->load_relays ? fleet->update_datagrams
                                      : g_hash_table_size (fleet->peers);
}

/* Passes the load update LOADS of ORIGIN, whose last datagram it came in, on
   to the own failure domain.  Only this function sends WIRE_RELAYED_LOADS, and
   only for a datagram of the origin itself that is newer than its last one, so
   no update is passed on twice.  */
void
fleet_forward_loads (struct fleet *fleet, const struct fleet_peer *origin,
                     const struct wire_loads *loads)
{
  struct wire_message message
      = { .kind = WIRE_RELAYED_LOADS,
          .u.relayed = { .origin = origin->id,
                         .incarnation = origin->incarnation,
                         .sequence = origin->sequence,
                         .loads = *loads } };

  if (origin->domain == fleet->domain)
    return;
  if (!may_forward (fleet, clk_now (clk_monotonic ())))
    {
      metric_inc (METRIC_LOAD_RELAY_LIMITED);
      return;
    }
  fleet->forward_credit
      -= fleet_send_each (fleet, &message, gets_forward, NULL);
  metric_inc (METRIC_LOAD_RELAY_FORWARDED);
}

/* Returns whether the limit on what a relay passes on allows an update at NOW.
   A longer one than it has room for delays the next ones.  */
static int
may_forward (struct fleet *fleet, clk_ms now)
{
  int is_limited;

  /* A limit that lasts is logged once.  */
  if (fleet->forward_credit > FORWARD_BURST / 2)
    fleet->is_forward_limited = 0;
  fleet->forward_credit
      = MIN (fleet->forward_credit
                 + (now - fleet->forward_credit_ms) * FORWARDS_PER_MS,
             FORWARD_BURST);
  fleet->forward_credit_ms = now;
  is_limited = fleet->forward_credit <= 0;
  if (is_limited && !fleet->is_forward_limited)
    log_warn ("load_relay", NULL, "over_limit",
              "more load updates to pass on than %d datagrams per ms",
              FORWARDS_PER_MS);
  fleet->is_forward_limited |= is_limited != 0;
  return !is_limited;
}

/* Sends PEER, which has just been sent a heartbeat, the capabilities of this
   instance if they are due.  An instance that has never used relays sends
   none.  */
void
fleet_send_capabilities (struct fleet *fleet, struct fleet_peer *peer)
{
  struct wire_message message = { .kind = WIRE_CAPABILITIES };

  if (fleet->settings->load_relays)
    message.u.capabilities.bits = WIRE_CAN_RELAY_LOADS;
  else if (!fleet->has_told_capabilities)
    return;
  if (fleet->heartbeat_count
      <= (uint64_t)LEARNING_STRIDES * fleet_heartbeat_stride (fleet))
    return;
  if (++peer->capability_rounds > FIRST_CAPABILITIES
      && peer->capability_rounds % CAPABILITIES_STRIDE != 0)
    return;
  fleet->has_told_capabilities = 1;
  fleet_send (fleet, &peer->address, &message);
}

/* Makes all peers get the capabilities of this instance with their next
   heartbeats, as they have changed.  */
void
fleet_repeat_capabilities (struct fleet *fleet)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct fleet_peer *)value)->capability_rounds = 0;
}

/* Applies the CAPABILITIES of PEER.  */
void
fleet_apply_capabilities (struct fleet_peer *peer,
                          const struct wire_capabilities *capabilities)
{
  peer->capabilities = capabilities->bits;
  peer->capabilities_incarnation = peer->incarnation;
}

/* Returns whether PEER is known to be in another failure domain.  */
static int
is_foreign (const struct fleet *fleet, const struct fleet_peer *peer)
{
  return peer->domain != 0 && peer->domain != fleet->domain;
}

/* Returns the entry of DOMAIN, or NULL.  */
static struct fleet_relay *
find_relay (const struct fleet *fleet, uint32_t domain)
{
  for (guint i = 0; i < fleet->relays->len; i++)
    {
      struct fleet_relay *relay
          = &g_array_index (fleet->relays, struct fleet_relay, i);

      if (relay->domain == domain)
        return relay;
    }
  return NULL;
}

/* Selects a relay for each foreign failure domain.  */
static void
pick_relays (struct fleet *fleet, clk_ms now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      struct fleet_relay relay = { .domain = peer->domain };

      if (is_foreign (fleet, peer) && find_relay (fleet, peer->domain) == NULL)
        g_array_append_val (fleet->relays, relay);
    }
  for (guint i = 0; i < fleet->relays->len; i++)
    {
      struct fleet_relay *relay
          = &g_array_index (fleet->relays, struct fleet_relay, i);
      uint32_t candidates;
      const struct fleet_peer *peer
          = fleet_pick_relay (fleet, relay->domain, now, &candidates);

      set_relay (relay, peer, candidates);
    }
}

/* Replaces RELAY by PEER, one of CANDIDATES, or by none if PEER is NULL, and
   logs a change.  */
static void
set_relay (struct fleet_relay *relay, const struct fleet_peer *peer,
           uint32_t candidates)
{
  struct log_line line;
  uint32_t before = relay->id;

  relay->id = peer != NULL ? peer->id : 0;
  if (relay->id == before
      || !log_begin (&line, LOG_LEVEL_INFO, "load_relay", NULL,
                     peer != NULL ? "chosen" : "none"))
    return;
  log_hash (&line, "domain_hash", relay->domain);
  log_hash (&line, "relay", relay->id);
  log_hash (&line, "before", before);
  log_number (&line, "candidates", candidates);
  log_end (&line);
}

/* Returns whether PEER is the relay of its failure domain for this
   instance.  */
static int
is_relay (const struct fleet *fleet, const struct fleet_peer *peer,
          void *closure)
{
  const struct fleet_relay *relay = find_relay (fleet, peer->domain);

  (void)closure;
  return relay != NULL && relay->id != 0 && relay->id == peer->id;
}

/* Returns whether PEER gets a load update of this instance directly and not as
   a relay.  Counts in CLOSURE, a struct coverage, those that a relay sends it
   to.  */
static int
gets_update (const struct fleet *fleet, const struct fleet_peer *peer,
             void *closure)
{
  struct coverage *coverage = closure;
  const struct fleet_relay *relay = find_relay (fleet, peer->domain);

  if (relay == NULL)
    return peer->domain == fleet->domain
           || g_hash_table_size (fleet->peers) <= DIRECT_PEERS_MAX;
  if (relay->id == peer->id)
    return 0;
  if (relay->id != 0 && fleet_can_relay (peer))
    {
      coverage->peers++;
      return 0;
    }
  return g_hash_table_size (fleet->peers) <= DIRECT_PEERS_MAX;
}

/* Returns whether a relay passes load updates on to PEER.  */
static int
gets_forward (const struct fleet *fleet, const struct fleet_peer *peer,
              void *closure)
{
  (void)closure;
  return peer->domain == fleet->domain && fleet_can_relay (peer);
}
