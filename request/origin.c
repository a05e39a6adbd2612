/* Origins of streams: the software version that began each stream, and the
   software versions that serve or have served lately.  */
#include <glib.h>

#include "ibisloom/origin.h"
#include "ibisloom/rank.h"

enum
{
  RECORDS_MAX = 32768,
  VERSIONS_MAX = 256
};

struct entry
{
  struct origin_record record;
  enum origin_source source;
  int is_expected;             /* the stream has not begun yet */
  uint32_t teller;             /* peer that told it first; 0: none */
  struct origin_attempt began; /* here; zeroed: elsewhere */
  clk_ms used_ms;
};

struct seen_version
{
  struct origin_version version;
  clk_ms seen_ms; /* when a target of it was last seen */
};

struct origins
{
  GHashTable *by_attempt; /* attempt to struct entry */
  GQueue order;           /* of struct entry, by the time of its arrival */
  GPtrArray *own;         /* of struct entry, those with ORIGIN_OWN */
  GArray *versions;       /* of struct seen_version */
};

static struct seen_version *find_version (const struct origins *origins,
                                          uint64_t software);
static void adopt (struct origins *origins, struct entry *entry,
                   enum origin_source source);
static void drop_oldest (struct origins *origins);

/* Returns an empty table of origins.  */
struct origins *
origin_new (void)
{
  struct origins *origins = g_new0 (struct origins, 1);

  origins->by_attempt = g_hash_table_new (g_int64_hash, g_int64_equal);
  origins->own = g_ptr_array_new ();
  origins->versions = g_array_new (FALSE, FALSE, sizeof (struct seen_version));
  g_queue_init (&origins->order);
  return origins;
}

/* Frees ORIGINS.  */
void
origin_free (struct origins *origins)
{
  g_hash_table_destroy (origins->by_attempt);
  g_ptr_array_free (origins->own, TRUE);
  g_array_free (origins->versions, TRUE);
  g_queue_clear_full (&origins->order, g_free);
  g_free (origins);
}

/* Returns the number that stands for the software VERSION of SERVICE, never 0.
   VERSION is empty for a target that names none.  */
uint64_t
origin_software (const char *service, const char *version)
{
  return rank_hash_parts (service, version, "") | 1;
}

/* Records the origin of a stream, learned from SOURCE.  What is known already
   stays, as the first event of an attempt comes from one target only, but what
   the store has may have been noted before that event.  */
void
origin_add (struct origins *origins, const struct origin_record *record,
            enum origin_source source, clk_ms now)
{
  struct entry *entry
      = g_hash_table_lookup (origins->by_attempt, &record->attempt);

  if (entry != NULL)
    {
      int is_stored
          = entry->source == ORIGIN_STORED && source != ORIGIN_STORED;

      if (entry->is_expected || is_stored)
        entry->record.software = record->software;
      if (is_stored)
        adopt (origins, entry, source);
      entry->is_expected = 0;
      entry->used_ms = now;
      return;
    }
  if (origins->order.length >= RECORDS_MAX)
    drop_oldest (origins);
  entry = g_new0 (struct entry, 1);
  entry->record = *record;
  entry->source = source;
  entry->used_ms = now;
  g_hash_table_insert (origins->by_attempt, &entry->record.attempt, entry);
  g_queue_push_tail (&origins->order, entry);
  if (source == ORIGIN_OWN)
    g_ptr_array_add (origins->own, entry);
}

/* Records the origin of a stream that the peer TELLER has told.  It may
   correct what it has told before.  */
void
origin_add_told (struct origins *origins, const struct origin_record *record,
                 uint32_t teller, clk_ms now)
{
  struct entry *entry;

  origin_add (origins, record, ORIGIN_PEER, now);
  entry = g_hash_table_lookup (origins->by_attempt, &record->attempt);
  if (entry->source != ORIGIN_PEER)
    return;
  if (entry->teller == 0)
    entry->teller = teller;
  if (entry->teller == teller)
    entry->record.software = record->software;
}

/* Records which ATTEMPT began STREAM, which is known, here.  */
void
origin_set_attempt (struct origins *origins, uint64_t stream,
                    const struct origin_attempt *attempt)
{
  struct entry *entry = g_hash_table_lookup (origins->by_attempt, &stream);

  entry->began = *attempt;
}

/* Corrects the origin of the next stream at CURSOR that began here by an
   attempt at the target of STARTED, sent when that had started or later, so
   that its software began it.  Stores it in RECORD.  Returns 0 after the last
   one.  */
int
origin_correct (struct origins *origins, struct origin_cursor *cursor,
                const struct origin_attempt *started,
                struct origin_record *record)
{
  while (cursor->next < origins->own->len)
    {
      struct entry *entry = g_ptr_array_index (origins->own, cursor->next++);

      if (entry->is_expected || entry->began.target != started->target
          || entry->began.sent_ms < started->sent_ms)
        continue;
      entry->record.software = started->software;
      *record = entry->record;
      return 1;
    }
  return 0;
}

/* Records that the software in RECORD is expected to begin a stream here, so
   that this can be in the store before the first event comes.  It replaces
   what was expected before, and is not found until origin_add.  */
void
origin_expect (struct origins *origins, const struct origin_record *record,
               clk_ms now)
{
  struct entry *entry
      = g_hash_table_lookup (origins->by_attempt, &record->attempt);

  if (entry != NULL && !entry->is_expected)
    return;
  origin_add (origins, record, ORIGIN_OWN, now);
  entry = g_hash_table_lookup (origins->by_attempt, &record->attempt);
  entry->is_expected = 1;
}

/* Called when the stream of ATTEMPT was delivered whole, or will not begin.
   It is no longer listed as one that this instance has begun, but still found,
   as its end may have been lost on the way.  */
void
origin_end (struct origins *origins, uint64_t attempt)
{
  struct entry *entry = g_hash_table_lookup (origins->by_attempt, &attempt);

  if (entry != NULL && entry->source == ORIGIN_OWN)
    g_ptr_array_remove (origins->own, entry);
}

/* Returns the software that began the stream of ATTEMPT, or 0 if that is not
   known.  */
uint64_t
origin_find (const struct origins *origins, uint64_t attempt)
{
  const struct entry *entry
      = g_hash_table_lookup (origins->by_attempt, &attempt);

  return entry != NULL && !entry->is_expected ? entry->record.software : 0;
}

/* Returns from whom the origin of the stream of ATTEMPT, which is known, was
   learned.  */
enum origin_source
origin_learned_from (const struct origins *origins, uint64_t attempt)
{
  const struct entry *entry
      = g_hash_table_lookup (origins->by_attempt, &attempt);

  return entry->source;
}

/* Returns the service whose targets have or had SOFTWARE lately, or 0.  */
uint64_t
origin_service (const struct origins *origins, uint64_t software)
{
  const struct seen_version *seen = find_version (origins, software);

  return seen != NULL ? seen->version.service : 0;
}

/* Records that a target of VERSION is seen at NOW.  Returns whether the
   version is new.  */
int
origin_see_version (struct origins *origins,
                    const struct origin_version *version, clk_ms now)
{
  struct seen_version *known = find_version (origins, version->software);
  struct seen_version added = { .version = *version, .seen_ms = now };

  if (known != NULL)
    {
      known->seen_ms = MAX (known->seen_ms, now);
      return 0;
    }
  if (origins->versions->len >= VERSIONS_MAX)
    g_array_remove_index (origins->versions, 0);
  g_array_append_val (origins->versions, added);
  return 1;
}

/* Returns the only software of SERVICE that serves or has served lately, or 0
   if there are several or none.  */
uint64_t
origin_only_version (const struct origins *origins, uint64_t service)
{
  uint64_t only = 0;

  for (guint i = 0; i < origins->versions->len; i++)
    {
      const struct seen_version *seen
          = &g_array_index (origins->versions, struct seen_version, i);

      if (seen->version.service != service)
        continue;
      if (only != 0)
        return 0;
      only = seen->version.software;
    }
  return only;
}

/* Returns whether several versions of any service serve or have served
   lately.  */
int
origin_versions_differ (const struct origins *origins)
{
  for (guint i = 0; i < origins->versions->len; i++)
    {
      const struct seen_version *seen
          = &g_array_index (origins->versions, struct seen_version, i);

      if (origin_only_version (origins, seen->version.service) == 0)
        return 1;
    }
  return 0;
}

/* Forgets the records and the versions that were last used or seen more than
   ORIGIN_KEPT_MS before NOW.  */
void
origin_expire (struct origins *origins, clk_ms now)
{
  const struct entry *oldest;

  while ((oldest = g_queue_peek_head (&origins->order)) != NULL
         && now - oldest->used_ms > ORIGIN_KEPT_MS)
    drop_oldest (origins);
  for (guint i = origins->versions->len; i > 0; i--)
    if (now
            - g_array_index (origins->versions, struct seen_version, i - 1)
                  .seen_ms
        > ORIGIN_KEPT_MS)
      g_array_remove_index (origins->versions, i - 1);
}

/* Stores in RECORD the next stream at CURSOR that this instance has begun.
   Returns 0 after the last one.  */
int
origin_next_own (const struct origins *origins, struct origin_cursor *cursor,
                 struct origin_record *record)
{
  while (cursor->next < origins->own->len)
    {
      const struct entry *entry
          = g_ptr_array_index (origins->own, cursor->next++);

      *record = entry->record;
      if (!entry->is_expected || cursor->with_expected)
        return 1;
    }
  return 0;
}

/* Stores in VERSION the next version at CURSOR.  Returns 0 after the last
   one.  */
int
origin_next_version (const struct origins *origins,
                     struct origin_cursor *cursor,
                     struct origin_version *version)
{
  clk_ms seen_ms;

  return origin_next_seen (origins, cursor, version, &seen_ms);
}

/* The same, and stores in SEEN_MS when a target of it was last seen.  */
int
origin_next_seen (const struct origins *origins, struct origin_cursor *cursor,
                  struct origin_version *version, clk_ms *seen_ms)
{
  const struct seen_version *seen;

  if (cursor->next >= origins->versions->len)
    return 0;
  seen = &g_array_index (origins->versions, struct seen_version,
                         cursor->next++);
  *version = seen->version;
  *seen_ms = seen->seen_ms;
  return 1;
}

/* Returns the entry of SOFTWARE in the list of versions, or NULL.  */
static struct seen_version *
find_version (const struct origins *origins, uint64_t software)
{
  for (guint i = 0; i < origins->versions->len; i++)
    {
      struct seen_version *seen
          = &g_array_index (origins->versions, struct seen_version, i);

      if (seen->version.software == software)
        return seen;
    }
  return NULL;
}

/* Records that what ENTRY holds, known from the store before, is known from
   SOURCE.  */
static void
adopt (struct origins *origins, struct entry *entry, enum origin_source source)
{
  entry->source = source;
  if (source == ORIGIN_OWN)
    g_ptr_array_add (origins->own, entry);
}

/* Forgets the record that arrived first.  */
static void
drop_oldest (struct origins *origins)
{
  struct entry *entry = g_queue_pop_head (&origins->order);

  g_hash_table_remove (origins->by_attempt, &entry->record.attempt);
  if (entry->source == ORIGIN_OWN)
    g_ptr_array_remove (origins->own, entry);
  g_free (entry);
}
