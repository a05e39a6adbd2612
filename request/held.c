/* Prompt parts that targets say they hold, for the time after the start of a
   fleet that has lost its affinity tables.

   The table is set-associative and grows as affinity.c does, but up to a fixed
   number of parts whether they are in use or not: it is filled once, from the
   lists of all targets.  All of it is forgotten some time after the last list,
   since targets evict what they hold, and since requests have by then moved
   what is in use to the affinity table.  */
#include <string.h>

#include <glib.h>

#include "ibisloom/held.h"

enum
{
  SETS_MIN = 32, /* powers of two */
  SETS_MAX = 2048,
  WAYS = 8,
  USED_MAX = 6 /* of WAYS, on average, before the table grows */
};

/* Targets that hold a part, by the lower half of their hashes, which is all
   that these have (see reg_target).  */
struct entry
{
  uint64_t part; /* 0: unused */
  clk_ms last_used_ms;
  uint32_t count;
  uint32_t target[HELD_TARGETS_MAX];
};

struct held
{
  uint32_t sets; /* 0: nothing is kept */
  uint32_t used; /* entries */
  struct entry *entries;
  clk_ms told_ms; /* when the last pair was recorded */
};

static struct entry *set_of (const struct held *held, uint64_t part);
static struct entry *find (const struct held *held, uint64_t part);
static struct entry *least_recent (struct entry *set);
static struct entry *find_or_evict (struct held *held, uint64_t part);
static void grow (struct held *held);
static int has_target (const struct entry *entry, uint32_t target);
static void remove_target (struct entry *entry, uint32_t target);
static void clear (struct held *held);

/* Returns an empty table, which takes no memory to speak of.  */
struct held *
held_new (void)
{
  return g_new0 (struct held, 1);
}

/* Frees HELD.  */
void
held_free (struct held *held)
{
  clear (held);
  g_free (held);
}

/* Records at NOW that the target of PAIR holds its part.  If the part has
   HELD_TARGETS_MAX targets, the oldest is replaced; in a full set, the least
   recently used part is.  */
void
held_record (struct held *held, const struct held_pair *pair, clk_ms now)
{
  uint32_t target = (uint32_t)pair->target;
  struct entry *entry;

  if (pair->part == 0)
    return;
  held_expire (held, now);
  entry = find_or_evict (held, pair->part);
  held->told_ms = now;
  entry->last_used_ms = now;
  if (has_target (entry, target))
    return;
  if (entry->count == HELD_TARGETS_MAX)
    remove_target (entry, entry->target[0]);
  entry->target[entry->count++] = target;
}

/* Stores in TARGETS those that hold at NOW the last part of KEY, and the part
   before it unless no target is known to hold that.  Returns how many.  */
uint32_t
held_find (struct held *held, const struct held_key *key, clk_ms now,
           uint64_t targets[HELD_TARGETS_MAX])
{
  struct entry *last;
  struct entry *before;
  uint32_t count = 0;

  held_expire (held, now);
  last = find (held, key->last);
  before = find (held, key->before);
  if (last == NULL)
    return 0;
  last->last_used_ms = now;
  if (before != NULL)
    before->last_used_ms = now;
  for (uint32_t i = 0; i < last->count; i++)
    if (before == NULL || before->count == 0
        || before->count == HELD_TARGETS_MAX
        || has_target (before, last->target[i]))
      targets[count++] = last->target[i];
  return count;
}

/* Removes TARGET from the holders of all parts.  To be called when the target
   was removed, or was restarted and has lost what it held.  */
void
held_remove_target (struct held *held, uint64_t target)
{
  for (uint32_t i = 0; i < held->sets * WAYS; i++)
    remove_target (&held->entries[i], (uint32_t)target);
}

/* Forgets all if the last pair was told so long before NOW that it may no
   longer be true.  */
void
held_expire (struct held *held, clk_ms now)
{
  if (held->sets > 0 && now - held->told_ms > HELD_FORGOTTEN_MS)
    clear (held);
}

/* Returns the number of parts in HELD.  */
uint32_t
held_count (const struct held *held)
{
  return held->used;
}

/* Sets PAIR to the one at CURSOR and advances CURSOR.  Returns 0 at the end of
   the table.  */
int
held_next (const struct held *held, struct held_cursor *cursor,
           struct held_pair *pair)
{
  for (; cursor->entry < held->sets * WAYS;
       cursor->entry++, cursor->holder = 0)
    {
      const struct entry *entry = &held->entries[cursor->entry];

      if (cursor->holder >= entry->count)
        continue;
      pair->part = entry->part;
      pair->target = entry->target[cursor->holder++];
      return 1;
    }
  return 0;
}

/* Returns the WAYS entries among which that of PART is.  The ids of parts may
   be numbered, so they are spread by a multiplication.  */
static struct entry *
set_of (const struct held *held, uint64_t part)
{
  uint64_t spread = part * UINT64_C (0x9e3779b97f4a7c15) >> 32;

  return &held->entries[spread % held->sets * WAYS];
}

/* Returns the entry of PART, or NULL.  */
static struct entry *
find (const struct held *held, uint64_t part)
{
  struct entry *set;

  if (part == 0 || held->sets == 0)
    return NULL;
  set = set_of (held, part);
  for (int i = 0; i < WAYS; i++)
    if (set[i].part == part)
      return &set[i];
  return NULL;
}

/* Returns the least recently used entry of SET, an unused one if there is
   one.  */
static struct entry *
least_recent (struct entry *set)
{
  struct entry *least = &set[0];

  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].part == 0)
        return &set[i];
      if (set[i].last_used_ms < least->last_used_ms)
        least = &set[i];
    }
  return least;
}

/* Returns the entry of PART, which replaces the least recently used one of its
   set if it is new.  */
static struct entry *
find_or_evict (struct held *held, uint64_t part)
{
  struct entry *entry = find (held, part);

  if (entry != NULL)
    return entry;
  if (held->sets == 0
      || (held->used >= held->sets * USED_MAX && held->sets < SETS_MAX))
    grow (held);
  entry = least_recent (set_of (held, part));
  held->used += entry->part == 0;
  memset (entry, 0, sizeof *entry);
  entry->part = part;
  return entry;
}

/* Doubles the number of sets.  The entries of a set are divided between two,
   so each still has room for them.  */
static void
grow (struct held *held)
{
  struct held grown = *held;

  grown.sets = MAX (held->sets * 2, SETS_MIN);
  grown.entries = g_new0 (struct entry, grown.sets * WAYS);
  for (uint32_t i = 0; i < held->sets * WAYS; i++)
    if (held->entries[i].part != 0)
      *least_recent (set_of (&grown, held->entries[i].part))
          = held->entries[i];
  g_free (held->entries);
  *held = grown;
}

/* Returns whether TARGET is in ENTRY.  */
static int
has_target (const struct entry *entry, uint32_t target)
{
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->target[i] == target)
      return 1;
  return 0;
}

/* Removes TARGET from ENTRY.  */
static void
remove_target (struct entry *entry, uint32_t target)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->target[i] != target)
      entry->target[kept++] = entry->target[i];
  entry->count = kept;
}

/* Forgets all and frees the memory of it.  */
static void
clear (struct held *held)
{
  g_free (held->entries);
  memset (held, 0, sizeof *held);
}
