/* Datagram protocol between the instances: placement notes.

   A placement note names the target that serves a chat in place of the chat's
   home target, so that the next request of the chat is sent to the target that
   has its context in the cache.  The owner of the home target stores the
   note.  */
#include <math.h>
#include <string.h>

#include "libpeer.h"

enum
{
  TRANSFER_NOTES_MAX = 512
};

/* Notes collected for the instance that owns their home targets. */
struct note_batch
{
  struct sockaddr_in to;
  struct wire_message message;
};

static void batch_note (struct peer *peer, GHashTable *batches,
                        const struct adm_note *note, uint32_t domain);
static void send_batch (gpointer key, gpointer value, gpointer closure);

/* Sends NOTE to the owner of its home target, which is in failure domain
   DOMAIN, or stores it if this instance is the owner or there is none.  */
void
peer_send_note (struct peer *peer, const struct adm_note *note,
                uint32_t domain)
{
  struct wire_message message = { .kind = WIRE_NOTES };
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_note *wire_note = &message.u.notes.note[0];
  struct member_info owner;

  if (owner_find (peer, note->home, domain, now, &owner) != 1)
    {
      adm_note_put (peer->adm_state, note);
      return;
    }
  message.u.notes.count = 1;
  wire_note->home = note->home;
  wire_note->chat = note->chat;
  wire_note->target = note->target;
  wire_note->ttl_ms = (uint32_t)MAX (note->expires_ms - now, 0);
  peer_send (peer, &owner.address, &message, BUDGET_NOTE,
             METRIC_SENT_NOTE_BYTES);
}

/* Sends all notes stored here, batched, to the instances that own their home
   targets after the shutdown of this one.  Call it a few
   PEER_REFRESH_INTERVAL_MS after the state was set to leaving, when the
   targets have been assigned to other owners. */
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
  const struct ver_snapshot *version = ver_read_begin (peer->store, reader);
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
  ver_read_end (reader);
  ver_reader_free (reader);
  g_free (notes);
}

/* Sends the notes of home TARGET to the instance that has become its owner,
   batched, and drops them here.  */
void
note_transfer_all (struct peer *peer, const struct ver_target *target)
{
  struct adm_note notes[TRANSFER_NOTES_MAX];
  size_t count = adm_note_extract (peer->adm_state, target->id, notes,
                                   TRANSFER_NOTES_MAX);
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

/* Adds NOTE to the batch for the owner of its home target, which is in failure
   domain DOMAIN, and sends the batch if it is full.  BATCHES maps owners to
   their batches.  */
static void
batch_note (struct peer *peer, GHashTable *batches,
            const struct adm_note *note, uint32_t domain)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct member_info owner;
  struct note_batch *batch;
  struct wire_note *wire_note;

  if (owner_find (peer, note->home, domain, now, &owner) != 1)
    return;
  batch = g_hash_table_lookup (batches, GUINT_TO_POINTER (owner.id));
  if (batch == NULL)
    {
      batch = g_new0 (struct note_batch, 1);
      batch->message.kind = WIRE_NOTES;
      batch->to = owner.address;
      g_hash_table_insert (batches, GUINT_TO_POINTER (owner.id), batch);
    }
  wire_note = &batch->message.u.notes.note[batch->message.u.notes.count++];
  wire_note->home = note->home;
  wire_note->chat = note->chat;
  wire_note->target = note->target;
  wire_note->ttl_ms = (uint32_t)MAX (note->expires_ms - now, 0);
  if (batch->message.u.notes.count == WIRE_NOTES_MAX)
    send_batch (NULL, batch, peer);
}

/* Sends a batch of notes; called by g_hash_table_foreach.  The notes count as
   heartbeats, the class that may use the budget up to the last byte, since an
   instance that is shutting down sends no more admission requests that could
   need it.  */
static void
send_batch (gpointer key, gpointer value, gpointer closure)
{
  struct note_batch *batch = value;

  (void)key;
  if (batch->message.u.notes.count == 0)
    return;
  peer_send (closure, &batch->to, &batch->message, BUDGET_HEARTBEAT,
             METRIC_SENT_NOTE_BYTES);
  batch->message.u.notes.count = 0;
}
