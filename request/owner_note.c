/* Which target a chat was sent to beside its home.  */
#include <pthread.h>

#include <glib.h>

#include "libowner.h"

enum
{
  NOTES_MAX_PER_SHARD = 16384
};

/* Notes that a chat was served away from its home; a note whose target is 0
   or the home removes one.  When the shard is full the note is dropped,
   which costs one cache miss.  */
void
own_note_put (struct own *own, const struct own_note *note)
{
  struct shard *shard = own_shard_of (own, note->home);
  struct own_note *copy;

  pthread_mutex_lock (&shard->lock);
  if (note->target == 0 || note->target == note->home)
    g_hash_table_remove (shard->notes, &note->chat);
  else if (g_hash_table_size (shard->notes) < NOTES_MAX_PER_SHARD
           || g_hash_table_contains (shard->notes, &note->chat))
    {
      copy = g_new (struct own_note, 1);
      *copy = *note;
      g_hash_table_replace (shard->notes, &copy->chat, copy);
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Moves up to CAPACITY notes of chats whose home is HOME to NOTES; returns how
   many.  */
size_t
own_take_notes (struct own *own, uint64_t home, struct own_note *notes,
                size_t capacity)
{
  struct shard *shard = own_shard_of (own, home);
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&shard->lock);
  g_hash_table_iter_init (&iter, shard->notes);
  while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct own_note *note = value;

      if (note->home != home)
        continue;
      notes[count++] = *note;
      g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&shard->lock);
  return count;
}

/* Copies up to CAPACITY notes for handing them over; returns how many.  */
size_t
own_notes (struct own *own, struct own_note *notes, size_t capacity)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < OWN_SHARD_COUNT; i++)
    {
      struct shard *shard = &own->shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->notes);
      while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
        notes[count++] = *(const struct own_note *)value;
      pthread_mutex_unlock (&shard->lock);
    }
  return count;
}

/* Drops the note of ASK's chat, which is back at its home.  */
void
own_drop_note (struct shard *shard, const struct own_ask *ask)
{
  const struct own_note *note = g_hash_table_lookup (shard->notes, &ask->chat);

  if (note != NULL && note->home == ask->target)
    g_hash_table_remove (shard->notes, &ask->chat);
}

/* Returns the note for ASK's chat if its home is the asked target and it has
   not expired.  */
const struct own_note *
own_note_find (struct shard *shard, const struct own_ask *ask, clk_ms now)
{
  const struct own_note *note = g_hash_table_lookup (shard->notes, &ask->chat);

  if (note == NULL || note->home != ask->target)
    return NULL;
  if (now < note->expires_ms)
    return note;
  g_hash_table_remove (shard->notes, &ask->chat);
  return NULL;
}
