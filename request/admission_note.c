/* Placement notes: which target a chat was sent to instead of its home.  */
#include <pthread.h>

#include <glib.h>

#include "libadmission.h"

enum
{
  NOTES_MAX_PER_SHARD = 16384
};

/* Stores NOTE, which says that a chat was served away from its home; a note
   whose target is 0 or the home deletes the chat's note.  When the shard is
   full a new note is dropped, which costs one cache miss.  */
void
adm_note_put (struct adm_state *adm_state, const struct adm_note *note)
{
  struct shard *shard = adm_shard_of (adm_state, note->home);
  struct adm_note *copy;

  pthread_mutex_lock (&shard->lock);
  if (note->target == 0 || note->target == note->home)
    g_hash_table_remove (shard->notes, &note->chat);
  else if (g_hash_table_size (shard->notes) < NOTES_MAX_PER_SHARD
           || g_hash_table_contains (shard->notes, &note->chat))
    {
      copy = g_new (struct adm_note, 1);
      *copy = *note;
      g_hash_table_replace (shard->notes, &copy->chat, copy);
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Moves up to CAPACITY notes of chats with home HOME to NOTES; returns how
   many.  */
size_t
adm_note_extract (struct adm_state *adm_state, uint64_t home,
                  struct adm_note *notes, size_t capacity)
{
  struct shard *shard = adm_shard_of (adm_state, home);
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&shard->lock);
  g_hash_table_iter_init (&iter, shard->notes);
  while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct adm_note *note = value;

      if (note->home != home)
        continue;
      notes[count++] = *note;
      g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&shard->lock);
  return count;
}

/* Copies up to CAPACITY notes to NOTES, for handing them over to their next
   owners; returns how many.  */
size_t
adm_note_list (struct adm_state *adm_state, struct adm_note *notes,
               size_t capacity)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < ADM_SHARD_COUNT; i++)
    {
      struct shard *shard = &adm_state->shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->notes);
      while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
        notes[count++] = *(const struct adm_note *)value;
      pthread_mutex_unlock (&shard->lock);
    }
  return count;
}

/* Deletes the note of REQUEST's chat, which is served at its home again.  */
void
adm_note_drop (struct shard *shard, const struct adm_request *request)
{
  const struct adm_note *note
      = g_hash_table_lookup (shard->notes, &request->chat);

  if (note != NULL && note->home == request->target)
    g_hash_table_remove (shard->notes, &request->chat);
}

/* Returns the note of REQUEST's chat, or NULL if there is none, it is for a
   home other than the requested target, or it has expired.  */
const struct adm_note *
adm_note_find (struct shard *shard, const struct adm_request *request,
               clk_ms now)
{
  const struct adm_note *note
      = g_hash_table_lookup (shard->notes, &request->chat);

  if (note == NULL || note->home != request->target)
    return NULL;
  if (now < note->expires_ms)
    return note;
  g_hash_table_remove (shard->notes, &request->chat);
  return NULL;
}
