/* Datagram exchange with the other instances: notes of displaced chats. */
#include <math.h>
#include <string.h>

#include "libpeer.h"

enum
{
  TRANSFER_NOTES_MAX = 512
};

/* Notes on their way to the next owner of their homes. */
struct note_batch
{
  struct sockaddr_in to;
  struct wire_message message;
};

static void batch_note (struct peer *peer, GHashTable *batches,
                        const struct adm_note *note, uint32_t domain);
static void send_batch (gpointer key, gpointer value, gpointer closure);

/* Tells the owner of a chat's home in DOMAIN where the chat was served.  */
void
peer_send_note (struct peer *peer, const struct adm_note *note,
                uint32_t domain)
{
  struct wire_message message = { .kind = WIRE_NOTE };
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_note *wire = &message.u.notes.note[0];
  struct member_info owner;

  if (owner_find (peer, note->home, domain, now, &owner) != 1)
    {
      adm_note_put (peer->adm_state, note);
      return;
    }
  message.u.notes.count = 1;
  wire->home = note->home;
  wire->chat = note->chat;
  wire->target = note->target;
  wire->ttl_ms = (uint32_t)MAX (note->expires_ms - now, 0);
  peer_send (peer, &owner.address, &message, BUDGET_NOTE, MET_SENT_NOTE_BYTES);
}

/* Hands the notes kept here to the instances that own their homes next, many
   in a datagram; call some PEER_REFRESH_INTERVAL_MS after the state was set to
   leaving, so that owners are assigned without this instance.  */
void
peer_transfer_notes (struct peer *peer)
{
  enum
  {
    SHUTDOWN_NOTES_MAX = 4096
  };
  struct adm_note *notes = g_new (struct adm_note, SHUTDOWN_NOTES_MAX);
  size_t count = adm_note_list (peer->adm_state, notes, SHUTDOWN_NOTES_MAX);
  struct ver_reader *reader = ver_reader_new (peer->store);
  const struct ver_snapshot *version = ver_enter (peer->store, reader);
  GHashTable *batches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);

  for (size_t i = 0; i < count; i++)
    {
      const struct ver_target *home = ver_target_find (version, notes[i].home);

      if (home != NULL)
        batch_note (peer, batches, &notes[i], home->domain_id);
    }
  g_hash_table_foreach (batches, send_batch, peer);
  g_hash_table_destroy (batches);
  ver_exit (reader);
  ver_reader_free (reader);
  g_free (notes);
}

/* Hands the notes of TARGET, which another instance owns from now on, to
   it.  */
void
note_transfer_all (struct peer *peer, const struct ver_target *target)
{
  struct adm_note notes[TRANSFER_NOTES_MAX];
  size_t count
      = adm_note_take (peer->adm_state, target->id, notes, TRANSFER_NOTES_MAX);
  GHashTable *batches;

  if (count == 0)
    return;
  batches
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  for (size_t i = 0; i < count; i++)
    batch_note (peer, batches, &notes[i], target->domain_id);
  g_hash_table_foreach (batches, send_batch, peer);
  g_hash_table_destroy (batches);
}

/* Adds NOTE to the one of BATCHES that goes to the owner of its home, and
   sends that when it is full.  */
static void
batch_note (struct peer *peer, GHashTable *batches,
            const struct adm_note *note, uint32_t domain)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct member_info owner;
  struct note_batch *batch;
  struct wire_note *wire;

  if (owner_find (peer, note->home, domain, now, &owner) != 1)
    return;
  batch = g_hash_table_lookup (batches, GUINT_TO_POINTER (owner.id));
  if (batch == NULL)
    {
      batch = g_new0 (struct note_batch, 1);
      batch->message.kind = WIRE_NOTE;
      batch->to = owner.address;
      g_hash_table_insert (batches, GUINT_TO_POINTER (owner.id), batch);
    }
  wire = &batch->message.u.notes.note[batch->message.u.notes.count++];
  wire->home = note->home;
  wire->chat = note->chat;
  wire->target = note->target;
  wire->ttl_ms = (uint32_t)MAX (note->expires_ms - now, 0);
  if (batch->message.u.notes.count == WIRE_NOTES_MAX)
    send_batch (NULL, batch, peer);
}

/* Sends a batch of notes for g_hash_table_foreach.  An instance that stops
   makes no asks any more, so its notes may use the whole budget.  */
static void
send_batch (gpointer key, gpointer value, gpointer closure)
{
  struct note_batch *batch = value;

  (void)key;
  if (batch->message.u.notes.count == 0)
    return;
  peer_send (closure, &batch->to, &batch->message, BUDGET_HEARTBEAT,
             MET_SENT_NOTE_BYTES);
  batch->message.u.notes.count = 0;
}
