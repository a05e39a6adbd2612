/* Affinity table: the targets known to hold each prompt context.

   The table is set-associative.  In a full set, the least recently used entry
   is replaced.  If that is still in use and the table is rather full, the
   number of sets is doubled first, so that the table takes memory for the
   contexts that clients return to.  */
#include <string.h>

#include <glib.h>

#include "ibisloom/affinity.h"

enum
{
  SETS_MIN = 16, /* powers of two */
  SETS_MAX = 1024,
  WAYS = 8,
  USED_MAX = 5,      /* of WAYS, on average, before the table grows */
  IN_USE_MS = 120000 /* since the last request with the context */
};

struct affinity
{
  uint32_t sets;
  uint32_t used;                    /* entries */
  struct affinity_holders *entries; /* WAYS of each set in turn */
};

static struct affinity_holders *set_of (const struct affinity *affinity,
                                        uint64_t context);
static struct affinity_holders *find_or_evict (struct affinity *affinity,
                                               uint64_t context, clk_ms now);
static struct affinity_holders *oldest_of (struct affinity_holders *set);
static void grow (struct affinity *affinity);

/* Returns an empty table.  */
struct affinity *
affinity_new (void)
{
  struct affinity *affinity = g_new0 (struct affinity, 1);

  affinity->sets = SETS_MIN;
  affinity->entries = g_new0 (struct affinity_holders, SETS_MIN * WAYS);
  return affinity;
}

/* Frees AFFINITY.  */
void
affinity_free (struct affinity *affinity)
{
  g_free (affinity->entries);
  g_free (affinity);
}

/* Returns the holders of CONTEXT, or NULL if it is not in the table.  */
const struct affinity_holders *
affinity_find (const struct affinity *affinity, uint64_t context)
{
  const struct affinity_holders *set = set_of (affinity, context);

  for (int i = 0; i < WAYS; i++)
    if (set[i].context == context)
      return &set[i];
  return NULL;
}

/* Records at NOW that TARGET holds CONTEXT.  If the list of holders is full,
   the oldest is replaced.  Returns whether TARGET was not known to hold
   CONTEXT.  */
int
affinity_record (struct affinity *affinity, uint64_t context, uint64_t target,
                 clk_ms now)
{
  struct affinity_holders *entry = find_or_evict (affinity, context, now);

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
   target was removed, or was restarted and has lost its contexts.  */
void
affinity_remove_target (struct affinity *affinity, uint64_t target)
{
  for (uint32_t index = 0; index < affinity->sets * WAYS; index++)
    {
      struct affinity_holders *entry = &affinity->entries[index];
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
  for (; cursor->entry < affinity->sets * WAYS;
       cursor->entry++, cursor->holder = 0)
    {
      const struct affinity_holders *entry = &affinity->entries[cursor->entry];

      if (cursor->holder >= entry->count)
        continue;
      *context = entry->context;
      *target = entry->target[cursor->holder++];
      return 1;
    }
  return 0;
}

/* Returns the WAYS entries among which that of CONTEXT is.  */
static struct affinity_holders *
set_of (const struct affinity *affinity, uint64_t context)
{
  return &affinity->entries[context % affinity->sets * WAYS];
}

/* Returns the entry of CONTEXT, or at NOW the least recently used entry of its
   set, which the caller overwrites.  */
static struct affinity_holders *
find_or_evict (struct affinity *affinity, uint64_t context, clk_ms now)
{
  struct affinity_holders *set = set_of (affinity, context);
  struct affinity_holders *oldest;

  for (int i = 0; i < WAYS; i++)
    if (set[i].context == context)
      return &set[i];
  oldest = oldest_of (set);
  if (oldest->context != 0 && now - oldest->last_used_ms < IN_USE_MS
      && affinity->used > affinity->sets * USED_MAX
      && affinity->sets < SETS_MAX)
    {
      grow (affinity);
      oldest = oldest_of (set_of (affinity, context));
    }
  affinity->used += oldest->context == 0;
  return oldest;
}

/* Returns the least recently used entry of SET, an unused one if there is
   one.  */
static struct affinity_holders *
oldest_of (struct affinity_holders *set)
{
  struct affinity_holders *oldest = &set[0];

  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].context == 0)
        return &set[i];
      if (set[i].last_used_ms < oldest->last_used_ms)
        oldest = &set[i];
    }
  return oldest;
}

/* Doubles the number of sets.  The entries of a set are divided between two,
   so each still has room for them.  */
static void
grow (struct affinity *affinity)
{
  struct affinity grown = { .sets = affinity->sets * 2,
                            .used = affinity->used,
                            .entries = g_new0 (struct affinity_holders,
                                               affinity->sets * 2 * WAYS) };

  for (uint32_t i = 0; i < affinity->sets * WAYS; i++)
    if (affinity->entries[i].context != 0)
      *oldest_of (set_of (&grown, affinity->entries[i].context))
          = affinity->entries[i];
  g_free (affinity->entries);
  *affinity = grown;
}
