/* Copy of the store's objects, which other instances can fetch.

   An instance that cannot reach the store, or that starts during an outage of
   the store, fetches the copy of an instance that has newer revisions.  The
   objects keep the format of the store, so that only one decoder is
   needed.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "ibisloom/json_scan.h"
#include "ibisloom/snapshot.h"

enum
{
  DELETED_MAX = 1024, /* deletions that are kept */
  SIZE_HEX_DIGITS = SNAPSHOT_SIZE_HEX_DIGITS
};

/* Object with its content as JSON text. */
struct snapshot_object
{
  struct position position;
  char *name;
  char *content;
  int unlisted; /* not yet found in the list that is being read */
};

/* Last result of snapshot_compress, and the states that it was made for. */
struct snapshot_cache
{
  struct snapshot_state since;
  struct snapshot_state known;
  char *data;
  size_t length;
};

struct snapshot
{
  char *config_name;
  struct position config_position;
  struct cfg_text *config; /* NULL: not known yet */
  GHashTable *targets;     /* name to struct snapshot_object */
  GQueue deleted;          /* of struct snapshot_object, oldest first */
  /* Deletions up to here may not be in deleted.  */
  struct position deleted_after;
  struct snapshot_cache cache;
};

static int has_newer_config (const struct snapshot_state *told,
                             const struct snapshot_state *known);
static int is_superseded (const struct snapshot *snapshot,
                          const struct watch_object *object);
static void record_deletion (struct snapshot *snapshot,
                             struct snapshot_object *object);
static struct snapshot_object *object_new (const struct watch_object *object);
static void object_free (gpointer data);
static void append_config (GString *out, const struct snapshot *snapshot,
                           uint64_t base);
static void append_object (GString *out, const struct snapshot_object *object);
static void append_head (GString *out, const char *name,
                         struct position position);
static int lacks_config (const struct snapshot *snapshot,
                         const struct snapshot_state *since);

/* Returns what an instance that knows KNOWN, and took its configuration
   CONFIG_AGE_MS ago, is to fetch now from one that told the state TOLD.  In a
   storm of versions it waits with the configuration, and never after calm.  */
enum snapshot_want
snapshot_wanted (const struct snapshot_state *told,
                 const struct snapshot_state *known, int64_t config_age_ms)
{
  if (!snapshot_is_newer (told, known))
    return SNAPSHOT_NOTHING;
  if (!has_newer_config (told, known)
      || config_age_ms >= SNAPSHOT_CONFIG_PACE_MS)
    return SNAPSHOT_ALL;
  return pos_compare (told->targets, known->targets) > 0 ? SNAPSHOT_TARGETS
                                                         : SNAPSHOT_NOTHING;
}

/* Returns whether an instance that told the state TOLD has anything newer than
   KNOWN.  */
int
snapshot_is_newer (const struct snapshot_state *told,
                   const struct snapshot_state *known)
{
  return pos_compare (told->targets, known->targets) > 0
         || has_newer_config (told, known);
}

/* Returns whether the configuration of TOLD is newer than that of KNOWN.
   Versions of the configuration only rise, also when the store is restored;
   their positions count only if no version is told.  */
static int
has_newer_config (const struct snapshot_state *told,
                  const struct snapshot_state *known)
{
  return told->version != 0 ? told->version > known->version
                            : pos_compare (told->config, known->config) > 0;
}

/* Returns an empty snapshot.  */
struct snapshot *
snapshot_new (void)
{
  struct snapshot *snapshot = g_new0 (struct snapshot, 1);

  snapshot->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, object_free);
  g_queue_init (&snapshot->deleted);
  return snapshot;
}

/* Frees SNAPSHOT.  */
void
snapshot_free (struct snapshot *snapshot)
{
  cfg_free (snapshot->config);
  g_free (snapshot->config_name);
  g_hash_table_destroy (snapshot->targets);
  g_queue_clear_full (&snapshot->deleted, object_free);
  g_free (snapshot->cache.data);
  g_free (snapshot);
}

/* Replaces the configuration by CONFIG, the content of OBJECT, and takes
   ownership of CONFIG.  */
void
snapshot_put_config (struct snapshot *snapshot,
                     const struct watch_object *object,
                     struct cfg_text *config)
{
  cfg_free (snapshot->config);
  g_free (snapshot->config_name);
  snapshot->config_name = g_strdup (object->name);
  snapshot->config_position = object->position;
  snapshot->config = config;
}

/* Returns the configuration, which belongs to SNAPSHOT, or NULL if none is
   known.  */
const struct cfg_text *
snapshot_config (const struct snapshot *snapshot)
{
  return snapshot->config;
}

/* Stores OBJECT, a target's entry or the deletion of one.  Returns 1, or 0 if
   a newer position of it is known and OBJECT is ignored.  This happens with
   the snapshot of an instance that was disconnected from the store: it may
   still contain entries that have since been deleted.  */
int
snapshot_put_target (struct snapshot *snapshot,
                     const struct watch_object *object)
{
  const struct snapshot_object *known
      = g_hash_table_lookup (snapshot->targets, object->name);
  struct snapshot_object *copy;

  if (known != NULL ? pos_compare (known->position, object->position) > 0
                    : is_superseded (snapshot, object))
    return 0;
  g_hash_table_remove (snapshot->targets, object->name);
  copy = object_new (object);
  if (!object->deleted)
    {
      g_hash_table_insert (snapshot->targets, copy->name, copy);
      return 1;
    }
  record_deletion (snapshot, copy);
  return 1;
}

/* Records that the store has the entry NAME of a target at POSITION, and keeps
   the known content.  */
void
snapshot_retain_target (struct snapshot *snapshot, const char *name,
                        struct position position)
{
  struct snapshot_object *known
      = g_hash_table_lookup (snapshot->targets, name);

  if (known == NULL)
    return;
  known->position = pos_max (known->position, position);
  known->unlisted = 0;
}

/* Returns whether OBJECT is an entry that was deleted at its position or a
   later one.  */
static int
is_superseded (const struct snapshot *snapshot,
               const struct watch_object *object)
{
  for (const GList *at = snapshot->deleted.tail; at != NULL; at = at->prev)
    {
      const struct snapshot_object *deleted = at->data;

      if (pos_compare (deleted->position, object->position) >= 0
          && strcmp (deleted->name, object->name) == 0)
        return !object->deleted;
    }
  return 0;
}

/* Called before a complete list of targets is read.  Targets that are not in
   it count as deleted.  */
void
snapshot_list_begin (struct snapshot *snapshot)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, snapshot->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct snapshot_object *)value)->unlisted = 1;
}

/* Called when a list of targets was read completely, at POSITION: records the
   deletion of the targets that were not in it.  Deletions before the first
   list are not known.  */
void
snapshot_list_end (struct snapshot *snapshot, struct position position)
{
  GHashTableIter iter;
  gpointer value;

  if (snapshot->deleted_after.revision == 0)
    snapshot->deleted_after = position;
  g_hash_table_iter_init (&iter, snapshot->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snapshot_object *object = value;

      if (!object->unlisted)
        continue;
      g_hash_table_iter_steal (&iter);
      object->position = position;
      record_deletion (snapshot, object);
    }
}

/* Records the deletion OBJECT and takes ownership of it.  Drops the oldest
   deletions beyond DELETED_MAX.  */
static void
record_deletion (struct snapshot *snapshot, struct snapshot_object *object)
{
  g_queue_push_tail (&snapshot->deleted, object);
  while (snapshot->deleted.length > DELETED_MAX)
    {
      struct snapshot_object *oldest = g_queue_pop_head (&snapshot->deleted);

      snapshot->deleted_after
          = pos_max (snapshot->deleted_after, oldest->position);
      object_free (oldest);
    }
}

/* Returns whether the receiver whose state is SINCE lacks the configuration.
 */
static int
lacks_config (const struct snapshot *snapshot,
              const struct snapshot_state *since)
{
  if (snapshot->config == NULL)
    return 0;
  return since->version != 0
             ? snapshot->config->table->version > since->version
             : pos_compare (snapshot->config_position, since->config) > 0;
}

/* Returns what changed in SNAPSHOT after SINCE as newly allocated JSON.  The
   result holds all objects if not all deletions after SINCE are known, or if
   the store was restored since.  It states KNOWN as what it covers.  */
char *
snapshot_to_json (const struct snapshot *snapshot,
                  const struct snapshot_state *since,
                  const struct snapshot_state *known)
{
  GString *out = g_string_new (NULL);
  int is_full = pos_compare (since->targets, snapshot->deleted_after) < 0
                || since->targets.epoch != known->targets.epoch;
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_string_append_printf (
      out,
      "{\"whole\":%s,\"version\":%" PRIu64 ",\"config_epoch\":%" PRIu64
      ",\"config_revision\":%" PRIu64 ",\"targets_epoch\":%" PRIu64
      ",\"targets_revision\":%" PRIu64 ",\"config\":",
      is_full ? "true" : "false", known->version, known->config.epoch,
      known->config.revision, known->targets.epoch, known->targets.revision);
  if (lacks_config (snapshot, since))
    append_config (out, snapshot, since->base);
  else
    g_string_append (out, "null");
  g_string_append (out, ",\"targets\":[");
  g_hash_table_iter_init (&iter, snapshot->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snapshot_object *object = value;

      if (!is_full && pos_compare (object->position, since->targets) <= 0)
        continue;
      if (count++ > 0)
        g_string_append_c (out, ',');
      append_object (out, object);
    }
  g_string_append (out, "],\"gone\":[");
  count = 0;
  for (const GList *at = snapshot->deleted.head; !is_full && at != NULL;
       at = at->next)
    {
      const struct snapshot_object *object = at->data;

      if (pos_compare (object->position, since->targets) <= 0)
        continue;
      if (count++ > 0)
        g_string_append_c (out, ',');
      append_object (out, object);
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

/* Returns the result of snapshot_to_json, compressed, and sets LENGTH.  The
   buffer belongs to SNAPSHOT and is valid until the next call.  Consecutive
   calls for the same states share one result, as many instances fetch the
   same change.  */
const char *
snapshot_compress (struct snapshot *snapshot,
                   const struct snapshot_state *since,
                   const struct snapshot_state *known, size_t *length)
{
  struct snapshot_cache *cache = &snapshot->cache;
  uLongf size;
  char *text;

  if (cache->data != NULL && memcmp (&cache->since, since, sizeof *since) == 0
      && memcmp (&cache->known, known, sizeof *known) == 0)
    {
      *length = cache->length;
      return cache->data;
    }
  text = snapshot_to_json (snapshot, since, known);
  size = compressBound (strlen (text));
  g_free (cache->data);
  cache->data = g_malloc (SIZE_HEX_DIGITS + size + 1);
  g_snprintf (cache->data, SIZE_HEX_DIGITS + 1, "%0*zx", SIZE_HEX_DIGITS,
              strlen (text));
  if (compress2 ((Bytef *)cache->data + SIZE_HEX_DIGITS, &size,
                 (const Bytef *)text, strlen (text), Z_BEST_SPEED)
      != Z_OK)
    size = 0; /* the receiver rejects it and fetches again */
  cache->since = *since;
  cache->known = *known;
  cache->length = SIZE_HEX_DIGITS + size;
  cache->data = g_realloc (cache->data, cache->length);
  g_free (text);
  *length = cache->length;
  return cache->data;
}

/* Returns a copy of OBJECT with its content as JSON text.  */
static struct snapshot_object *
object_new (const struct watch_object *object)
{
  struct snapshot_object *copy = g_new0 (struct snapshot_object, 1);
  char *text = object->content ? json_dumps (object->content,
                                             JSON_COMPACT | JSON_ENCODE_ANY)
                               : NULL;

  copy->position = object->position;
  copy->name = g_strdup (object->name);
  copy->content = g_strdup (text != NULL ? text : "null");
  free (text);
  return copy;
}

/* Frees an object; NULL is allowed.  */
static void
object_free (gpointer data)
{
  struct snapshot_object *object = data;

  if (object == NULL)
    return;
  g_free (object->name);
  g_free (object->content);
  g_free (object);
}

/* Appends the configuration of SNAPSHOT as JSON to OUT, or only how it differs
   from the version BASE, unless that is 0 or too much does.  */
static void
append_config (GString *out, const struct snapshot *snapshot, uint64_t base)
{
  char *delta = base > 0 ? cfg_delta (snapshot->config, base) : NULL;
  size_t length;
  const char *text = g_bytes_get_data (snapshot->config->text, &length);

  append_head (out, snapshot->config_name, snapshot->config_position);
  if (delta != NULL)
    {
      g_string_append_printf (out, ",\"delta\":%s}", delta);
      free (delta);
      return;
    }
  g_string_append (out, ",\"content\":");
  g_string_append_len (out, text, (gssize)length);
  g_string_append_c (out, '}');
}

/* Appends OBJECT as JSON to OUT.  */
static void
append_object (GString *out, const struct snapshot_object *object)
{
  append_head (out, object->name, object->position);
  g_string_append_printf (out, ",\"content\":%s}", object->content);
}

/* Appends the begin of the JSON of the object NAME at POSITION to OUT.  Only
   its name needs escapes, since its content is JSON already.  */
static void
append_head (GString *out, const char *name, struct position position)
{
  json_t *string = json_string (name);
  char *quoted = string ? json_dumps (string, JSON_ENCODE_ANY) : NULL;

  g_string_append_printf (
      out, "{\"name\":%s,\"epoch\":%" PRIu64 ",\"revision\":%" PRIu64,
      quoted ? quoted : "\"\"", position.epoch, position.revision);
  free (quoted);
  json_decref (string);
}
