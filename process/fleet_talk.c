/* What the instances tell each other by datagrams: beats and notes.  */
#include <string.h>
#include <sys/socket.h>

#include "ibisloom/fleet.h"
#include "ibisloom/members.h"
#include "libfleet.h"

enum
{
  NOTE_FLEET_MAX = 128 /* others that are all told of contexts */
};

static void send_notes (struct flt *flt, const struct flt_peer *peer,
                        const struct wire_note *notes, uint32_t count);
static void take_beat (struct flt *flt, struct flt_peer *peer,
                       const struct wire_heartbeat *beat);
static void send_contexts (struct flt *flt, const struct flt_peer *peer);
static void take_notes (struct flt *flt, const struct wire_notes *notes);
static int hears_notes (const struct flt *flt, const struct flt_peer *peer);

/* Writes a beat to OUT and returns its length.  */
size_t
flt_encode_beat (struct flt *flt, int wants_contexts, unsigned char *out)
{
  struct wire_message message = { .kind = WIRE_HEARTBEAT,
                                  .sender = flt->self,
                                  .incarnation = flt->incarnation,
                                  .sequence = ++flt->sequence };
  struct wire_heartbeat *beat = &message.u.heartbeat;

  beat->wants_reply = wants_contexts != 0;
  beat->revision = flt->known.targets;
  beat->config_revision = flt->known.config;
  beat->store = (uint8_t)flt->store_state;
  beat->domain = flt->domain;
  beat->state = (uint8_t)(flt->leaving ? MEMBER_LEAVING : MEMBER_READY);
  for (guint i = 0; i < flt->registry->array->len; i++)
    {
      const struct reg_target *target
          = g_ptr_array_index (flt->registry->array, i);

      if (target->in_flight == 0 || beat->load_count == WIRE_LOADS_MAX)
        continue;
      beat->loads[beat->load_count].target = target->hash;
      beat->loads[beat->load_count].load = target->in_flight;
      beat->load_count++;
    }
  return wire_encode (&message, &flt->key, out);
}

/* Sends COUNT notes to PEER.  */
static void
send_notes (struct flt *flt, const struct flt_peer *peer,
            const struct wire_note *notes, uint32_t count)
{
  struct wire_message message = { .kind = WIRE_NOTE,
                                  .sender = flt->self,
                                  .incarnation = flt->incarnation,
                                  .sequence = ++flt->sequence };
  unsigned char data[WIRE_MAX_BYTES];
  size_t length;

  message.u.notes.count = count;
  memcpy (message.u.notes.note, notes, count * sizeof *notes);
  length = wire_encode (&message, &flt->key, data);
  (void)sendto (flt->fd, data, length, MSG_DONTWAIT,
                (const struct sockaddr *)&peer->address, sizeof peer->address);
}

/* Tells PEER, which has just started, all that is known of contexts.  */
static void
send_contexts (struct flt *flt, const struct flt_peer *peer)
{
  struct wire_note notes[WIRE_NOTES_MAX];
  struct ctx_cursor cursor = { 0 };
  uint32_t count = 0;

  while (ctx_next (flt->contexts, &cursor, &notes[count].chat,
                   &notes[count].target))
    {
      notes[count].home = 0;
      notes[count].ttl_ms = 0;
      if (++count < WIRE_NOTES_MAX)
        continue;
      send_notes (flt, peer, notes, count);
      count = 0;
    }
  if (count > 0)
    send_notes (flt, peer, notes, count);
}

/* Reads what the others sent.  */
void
flt_on_datagram (struct ev_loop *loop, ev_io *io, int events)
{
  struct flt *flt = io->data;
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_message message;
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t got;

  (void)loop;
  (void)events;
  while ((got = recvfrom (flt->fd, data, sizeof data, MSG_DONTWAIT,
                          (struct sockaddr *)&from, &size))
         >= 0)
    {
      struct flt_peer *peer;

      size = sizeof from;
      if (wire_decode (&message, &flt->key, data, (size_t)got) != WIRE_OK
          || message.sender == flt->self
          || g_hash_table_size (flt->peers) >= FLT_PEERS_MAX)
        continue;
      peer = flt_peer_get (flt, message.sender);
      if (message.incarnation < peer->incarnation
          || (message.incarnation == peer->incarnation
              && message.sequence <= peer->sequence))
        continue;
      peer->incarnation = message.incarnation;
      peer->sequence = message.sequence;
      peer->address = from;
      peer->heard_ms = clk_now (clk_monotonic ());
      if (message.kind == WIRE_HEARTBEAT)
        take_beat (flt, peer, &message.u.heartbeat);
      else if (message.kind == WIRE_NOTE)
        take_notes (flt, &message.u.notes);
    }
}

/* Takes over what PEER has under way.  */
static void
take_beat (struct flt *flt, struct flt_peer *peer,
           const struct wire_heartbeat *beat)
{
  flt_forget_loads (flt, peer);
  for (uint32_t i = 0; i < beat->load_count; i++)
    {
      struct flt_load load = { .target = beat->loads[i].target,
                               .load = (int32_t)beat->loads[i].load };
      struct reg_target *target = reg_find_hash (flt->registry, load.target);

      if (target != NULL)
        {
          load.serial = target->serial;
          target->others_in_flight += load.load;
        }
      g_array_append_val (peer->loads, load);
    }
  if (beat->wants_reply)
    send_contexts (flt, peer);
  peer->domain = beat->domain;
  peer->store = (enum wire_store)beat->store;
  peer->state = (enum member_state)beat->state;
  if (flt->on_news != NULL)
    {
      struct flt_news news
          = { .address = peer->address,
              .known = { beat->config_revision, beat->revision },
              .is_local = beat->domain == flt->domain };

      flt->on_news (flt->closure, &news);
    }
}

/* Takes away what PEER told before.  A target that was entered anew since has
   not counted it.  */
void
flt_forget_loads (struct flt *flt, struct flt_peer *peer)
{
  for (guint i = 0; i < peer->loads->len; i++)
    {
      const struct flt_load *load
          = &g_array_index (peer->loads, struct flt_load, i);
      struct reg_target *target = reg_find_hash (flt->registry, load->target);

      if (target != NULL && target->serial == load->serial)
        target->others_in_flight -= load->load;
    }
  g_array_set_size (peer->loads, 0);
}

/* Takes over which targets have read which contexts.  */
static void
take_notes (struct flt *flt, const struct wire_notes *notes)
{
  clk_ms now = clk_now (clk_monotonic ());

  flt->has_contexts |= notes->count > 1;
  for (uint32_t i = 0; i < notes->count; i++)
    ctx_note (flt->contexts, notes->note[i].chat, notes->note[i].target, now);
}

/* Returns whether PEER is told of contexts: in a large fleet only those in the
   same failure domain, where a caller comes back.  */
static int
hears_notes (const struct flt *flt, const struct flt_peer *peer)
{
  return g_hash_table_size (flt->peers) <= NOTE_FLEET_MAX
         || peer->domain == flt->domain;
}

/* Tells the others at once that TARGET reads CONTEXT from now on, so that the
   next request with it goes there too.  */
void
flt_holder (struct flt *flt, uint64_t context, uint64_t target)
{
  struct wire_note note = { .chat = context, .target = target };
  GHashTableIter iter;
  gpointer value;
  clk_ms now = clk_now (clk_monotonic ());

  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!flt_is_silent (value, now) && hears_notes (flt, value))
      send_notes (flt, value, &note, 1);
}
