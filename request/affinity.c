/* Affinity table: the targets known to hold each prompt context.

   The table is set-associative and of fixed size; in a full set, the least
   recently used entry is replaced.  */
#include <string.h>

#include <glib.h>

#include "ibisloom/affinity.h"

enum
{
  SETS = 512, /* a power of two */
  WAYS = 4
};

struct affinity
{
  struct affinity_holders entries[SETS][WAYS];
};

static struct affinity_holders *find_or_evict (struct affinity *affinity,
                                               uint64_t context);

/* Returns an empty table.  */
struct affinity *
affinity_new (void)
{
  return g_new0 (struct affinity, 1);
}

/* Frees AFFINITY.  */
void
affinity_free (struct affinity *affinity)
{
  g_free (affinity);
}

/* Returns the holders of CONTEXT, or NULL if it is not in the table.  */
const struct affinity_holders *
affinity_find (const struct affinity *affinity, uint64_t context)
{
  const struct affinity_holders *set = affinity->entries[context % SETS];

  for (int i = 0; i < WAYS; i++)
    if (set[i].context == context)
      return &set[i];
  return NULL;
}

/* Records at NOW that TARGET holds CONTEXT.  A full list of holders loses its
   oldest.  Returns whether TARGET was not known to hold CONTEXT.  */
int
affinity_record (struct affinity *affinity, uint64_t context, uint64_t target,
                 clk_ms now)
{
  struct affinity_holders *entry = find_or_evict (affinity, context);

  if (entry->context != context)
    memset (entry, 0, sizeof *entry);
  entry->context = context;
  entry->last_used_ms = now;
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->target[i] == target)
      return 0;
  if (entry->count == AFFINITY_HOLDERS_MAX)
    {
      memmove (entry->target, entry->target + 1,
               (AFFINITY_HOLDERS_MAX - 1) * sizeof entry->target[0]);
      entry->count--;
    }
  entry->target[entry->count++] = target;
  return 1;
}

/* Removes TARGET from the holders of all contexts.  To be called when the
   target is gone, or has been restarted and so has lost its contexts.  */
void
affinity_remove_target (struct affinity *affinity, uint64_t target)
{
  for (int set = 0; set < SETS; set++)
    for (int way = 0; way < WAYS; way++)
      {
        struct affinity_holders *entry = &affinity->entries[set][way];
        uint32_t kept = 0;

        for (uint32_t i = 0; i < entry->count; i++)
          if (entry->target[i] != target)
            entry->target[kept++] = entry->target[i];
        entry->count = kept;
      }
}

/* Sets CONTEXT and TARGET to the pair at CURSOR and advances CURSOR.  Returns
   0 at the end of the table.  */
int
affinity_next (const struct affinity *affinity, struct affinity_cursor *cursor,
               uint64_t *context, uint64_t *target)
{
  for (; cursor->entry < SETS * WAYS; cursor->entry++, cursor->holder = 0)
    {
      const struct affinity_holders *entry
          = &affinity->entries[cursor->entry / WAYS][cursor->entry % WAYS];

      if (cursor->holder >= entry->count)
        continue;
      *context = entry->context;
      *target = entry->target[cursor->holder++];
      return 1;
    }
  return 0;
}

/* Returns the entry of CONTEXT, or the least recently used entry of its set,
   which the caller overwrites.  */
static struct affinity_holders *
find_or_evict (struct affinity *affinity, uint64_t context)
{
  struct affinity_holders *set = affinity->entries[context % SETS];
  struct affinity_holders *oldest = &set[0];

  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].context == context)
        return &set[i];
      if (set[i].last_used_ms < oldest->last_used_ms)
        oldest = &set[i];
    }
  return oldest;
}
