/* Notes between the instances on which targets hold the contexts of chats.  */
#include <string.h>

#include "libfleet.h"

static void send_notes (struct fleet *fleet, const struct fleet_peer *peer,
                        const struct wire_note *notes, uint32_t count);

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

/* Sends all holders in the affinity table to PEER, which requests them after
   its start.  */
void
fleet_send_affinity (struct fleet *fleet, const struct fleet_peer *peer)
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

/* Records the context holders that NOTES name.  A datagram with more than one
   note is part of the requested affinity table.  */
void
fleet_apply_notes (struct fleet *fleet, const struct wire_notes *notes)
{
  clk_ms now = clk_now (clk_monotonic ());

  fleet->affinity_received |= notes->count > 1;
  for (uint32_t i = 0; i < notes->count; i++)
    affinity_record (fleet->affinity, notes->note[i].chat,
                     notes->note[i].target, now);
}
