/* Heartbeats between the instances: what they carry, whom they go to, and what
   follows from those that arrive. */
#include <string.h>

#include "libpeer.h"

static size_t move_local_first (struct member_info *members, size_t count,
                                uint32_t domain);
static void send_to (struct peer *peer, struct wire_message *heartbeat,
                     const struct member_info *members, size_t count,
                     size_t fanout);
static void send_to_seeds (struct peer *peer, struct wire_message *heartbeat,
                           const struct member_info *members, size_t count);
static void fill_heartbeat (struct peer *peer, struct wire_message *message,
                            const struct member_info *members, size_t count,
                            int digests, clk_ms now);

/* Applies a heartbeat: membership, target loads, digests of other members and
   leaving targets.  Drops the grants of a sender that has restarted, and sends
   a heartbeat in reply if the sender requests one.  */
void
heartbeat_apply (struct peer *peer, const struct wire_message *message,
                 const struct sockaddr_in *from, clk_ms now)
{
  const struct wire_heartbeat *heartbeat = &message->u.heartbeat;
  struct wire_message answer;
  unsigned changes;

  if (heartbeat->state >= MEMBER_STATE_COUNT)
    {
      metric_inc (METRIC_UDP_MALFORMED);
      return;
    }
  changes = member_heartbeat (peer->member_table, message, from, now);
  if (changes & MEMBER_CHANGE_STALE)
    {
      metric_inc (METRIC_UDP_REPLAYED);
      return;
    }
  if (changes & MEMBER_CHANGE_REPLACED)
    adm_drop_instance (peer->adm_state, message->sender);
  load_record_heartbeat (peer, heartbeat, now);
  for (uint32_t i = 0; i < heartbeat->digest_count; i++)
    member_digest (peer->member_table, &heartbeat->digests[i], now);
  for (uint32_t i = 0; i < heartbeat->leaving_count; i++)
    leaving_record (peer, heartbeat->leaving[i], 0, now);
  if (heartbeat->revision > ver_store_revision (peer->store)
      && peer->revision_fn != NULL)
    peer->revision_fn (peer->revision_closure, from);
  if (!heartbeat->wants_reply)
    return;
  fill_heartbeat (peer, &answer, NULL, 0, 0, now);
  answer.u.heartbeat.wants_reply = 0;
  peer_send (peer, from, &answer, BUDGET_HEARTBEAT,
             METRIC_SENT_HEARTBEAT_BYTES);
}

/* Sends one round of heartbeats.  In a fleet of up to MEMBER_FULL_MESH_MAX
   other instances each round goes to all of them.  In a larger one it goes to
   PEER_LOCAL_FANOUT members of the local failure domain and to one other
   member, both in rotation, and carries digests of further members, so that
   the traffic that an instance sends does not grow with the fleet.  */
void
heartbeat_send_all (struct peer *peer, clk_ms now)
{
  struct member_info members[PEER_MEMBERS_MAX];
  struct wire_message heartbeat;
  size_t count = member_list (peer->member_table, members, PEER_MEMBERS_MAX);
  size_t local_count = move_local_first (members, count, peer->domain);
  int is_large = count > MEMBER_FULL_MESH_MAX;

  fill_heartbeat (peer, &heartbeat, members, count, is_large, now);
  if (!is_large)
    send_to (peer, &heartbeat, members, count, count);
  else
    {
      send_to (peer, &heartbeat, members, local_count, PEER_LOCAL_FANOUT);
      send_to (peer, &heartbeat, members + local_count, count - local_count,
               1);
    }
  peer->rotation++;
  send_to_seeds (peer, &heartbeat, members, count);
}

/* Moves the members of failure domain DOMAIN to the front.  Returns their
   number.  */
static size_t
move_local_first (struct member_info *members, size_t count, uint32_t domain)
{
  size_t local_count = 0;

  for (size_t i = 0; i < count; i++)
    if (members[i].domain == domain)
      {
        struct member_info other = members[local_count];

        members[local_count++] = members[i];
        members[i] = other;
      }
  return local_count;
}

/* Sends HEARTBEAT to FANOUT of the COUNT MEMBERS, in rotation from round to
   round.  Requests a reply from members that are marked as gone.  */
static void
send_to (struct peer *peer, struct wire_message *heartbeat,
         const struct member_info *members, size_t count, size_t fanout)
{
  for (size_t i = 0; i < MIN (fanout, count); i++)
    {
      const struct member_info *to
          = &members[(peer->rotation * fanout + i) % count];

      heartbeat->u.heartbeat.wants_reply = to->gone;
      peer_send (peer, &to->address, heartbeat, BUDGET_HEARTBEAT,
                 METRIC_SENT_HEARTBEAT_BYTES);
    }
}

/* Sends HEARTBEAT to one of the peers in the settings whose address none of
   the COUNT MEMBERS has, or to all of them while this instance is starting.
   With these heartbeats instances discover each other at the start and after a
   network partition.  */
static void
send_to_seeds (struct peer *peer, struct wire_message *heartbeat,
               const struct member_info *members, size_t count)
{
  const GArray *seeds = peer->settings->peers;
  size_t sends_left = peer->state == MEMBER_STARTING ? seeds->len : 1;

  for (guint i = 0; i < seeds->len && sends_left > 0; i++)
    {
      guint index = (guint)((peer->rotation + i) % seeds->len);
      const struct sockaddr_in *seed
          = &g_array_index (seeds, struct sockaddr_in, index);
      int known
          = memcmp (seed, &peer->settings->peer_listen, sizeof *seed) == 0;

      for (size_t j = 0; j < count && !known; j++)
        known = members[j].address.sin_port == seed->sin_port
                && members[j].address.sin_addr.s_addr == seed->sin_addr.s_addr;
      if (known)
        continue;
      heartbeat->u.heartbeat.wants_reply = 1;
      peer_send (peer, seed, heartbeat, BUDGET_HEARTBEAT,
                 METRIC_SENT_HEARTBEAT_BYTES);
      sends_left--;
    }
}

/* Fills MESSAGE with the heartbeat of this instance.  If DIGESTS is not 0, it
   carries digests of up to WIRE_DIGESTS_MAX of the COUNT MEMBERS, in
   rotation.  */
static void
fill_heartbeat (struct peer *peer, struct wire_message *message,
                const struct member_info *members, size_t count, int digests,
                clk_ms now)
{
  struct wire_heartbeat *heartbeat = &message->u.heartbeat;

  memset (message, 0, sizeof *message);
  message->kind = WIRE_HEARTBEAT;
  heartbeat->revision = ver_store_revision (peer->store);
  heartbeat->domain = peer->domain;
  heartbeat->state = (uint8_t)peer->state;
  load_fill_heartbeat (peer, heartbeat);
  heartbeat->leaving_count = (uint32_t)leaving_copy (peer, heartbeat->leaving,
                                                     WIRE_LEAVING_MAX, now);
  for (size_t i = 0; digests && i < WIRE_DIGESTS_MAX && i < count; i++)
    {
      const struct member_info *member
          = &members[(peer->rotation * WIRE_DIGESTS_MAX + i) % count];
      struct wire_digest *digest
          = &heartbeat->digests[heartbeat->digest_count];

      if (!member_is_usable (member, now))
        continue;
      heartbeat->digest_count++;
      digest->instance = member->id;
      digest->ip = member->address.sin_addr.s_addr;
      digest->port = member->address.sin_port;
      digest->domain = member->domain;
      digest->incarnation = member->incarnation;
      digest->age_ms = (uint32_t)(now - member->last_seen_ms);
    }
}
