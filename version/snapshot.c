/* What the store said last, kept as text to be told to other instances.

   An instance that cannot reach the store, or that starts while it is away,
   asks one that has heard more.  The store's own objects are handed on, so
   that they are decoded in one place.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "ibisloom/snapshot.h"

enum
{
  GONE_MAX = 1024, /* ends of entries that are remembered */
  SIZE_DIGITS = 8, /* before the packed bytes: the size of the text */
  TEXT_MAX_BYTES = 67108864
};

/* One object as text. */
struct snp_object
{
  uint64_t revision;
  char *name;
  char *content;
  int unlisted; /* not in the list that is being read */
};

/* The last answer that was packed, and to what. */
struct snp_packed
{
  struct snp_point since;
  struct snp_point now;
  char *data;
  size_t length;
};

struct snp
{
  struct snp_object *config; /* NULL: none yet */
  GHashTable *targets;       /* name to struct snp_object */
  GQueue gone;               /* of struct snp_object, the oldest first */
  uint64_t floor;            /* what went before is not in gone */
  struct snp_packed packed;
};

static int is_gone (const struct snp *snp, const struct fol_object *object);
static void bury (struct snp *snp, struct snp_object *object);
static struct snp_object *object_new (const struct fol_object *object);
static void object_free (gpointer data);
static void add_object (GString *out, const struct snp_object *object);
static void tell (const json_t *object, int deleted,
                  const struct fol_sink *sink);
static void tell_all (const json_t *list, int deleted,
                      const struct fol_sink *sink);

/* Returns an empty snapshot.  */
struct snp *
snp_new (void)
{
  struct snp *snp = g_new0 (struct snp, 1);

  snp->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, object_free);
  g_queue_init (&snp->gone);
  return snp;
}

/* Frees SNP.  */
void
snp_free (struct snp *snp)
{
  object_free (snp->config);
  g_hash_table_destroy (snp->targets);
  g_queue_clear_full (&snp->gone, object_free);
  g_free (snp->packed.data);
  g_free (snp);
}

/* Keeps the configuration OBJECT.  */
void
snp_config (struct snp *snp, const struct fol_object *object)
{
  object_free (snp->config);
  snp->config = object_new (object);
}

/* Keeps the entry OBJECT of a target, or that it is gone.  Returns 0 if it is
   older than what is known: an instance that was cut off tells what it knew,
   also of targets that have left since.  */
int
snp_target (struct snp *snp, const struct fol_object *object)
{
  const struct snp_object *known
      = g_hash_table_lookup (snp->targets, object->name);
  struct snp_object *kept;

  if (known != NULL ? known->revision > object->revision
                    : is_gone (snp, object))
    return 0;
  g_hash_table_remove (snp->targets, object->name);
  kept = object_new (object);
  if (!object->deleted)
    {
      g_hash_table_insert (snp->targets, kept->name, kept);
      return 1;
    }
  bury (snp, kept);
  return 1;
}

/* Returns whether the target of OBJECT is known to have left after it.  */
static int
is_gone (const struct snp *snp, const struct fol_object *object)
{
  for (const GList *at = snp->gone.tail; at != NULL; at = at->prev)
    {
      const struct snp_object *gone = at->data;

      if (gone->revision >= object->revision
          && strcmp (gone->name, object->name) == 0)
        return !object->deleted;
    }
  return 0;
}

/* A whole list of targets follows: what it does not bring is gone.  */
void
snp_list_begin (struct snp *snp)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, snp->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct snp_object *)value)->unlisted = 1;
}

/* The list is whole at REVISION.  Of what was before the first list, nothing
   is known.  */
void
snp_list_end (struct snp *snp, uint64_t revision)
{
  GHashTableIter iter;
  gpointer value;

  if (snp->floor == 0)
    snp->floor = revision;
  g_hash_table_iter_init (&iter, snp->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct snp_object *object = value;

      if (!object->unlisted)
        continue;
      g_hash_table_iter_steal (&iter);
      object->revision = revision;
      bury (snp, object);
    }
}

/* Remembers that OBJECT is gone.  */
static void
bury (struct snp *snp, struct snp_object *object)
{
  g_queue_push_tail (&snp->gone, object);
  while (snp->gone.length > GONE_MAX)
    {
      struct snp_object *oldest = g_queue_pop_head (&snp->gone);

      snp->floor = MAX (snp->floor, oldest->revision);
      object_free (oldest);
    }
}

/* Returns what is new in SNP after SINCE, or all if that is not known, as
   newly allocated JSON; NOW is how far it goes.  */
char *
snp_text (const struct snp *snp, const struct snp_point *since,
          const struct snp_point *now)
{
  GString *out = g_string_new (NULL);
  int is_whole = since->targets < snp->floor;
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_string_append_printf (out,
                          "{\"whole\":%s,\"config_revision\":%" PRIu64
                          ",\"targets_revision\":%" PRIu64 ",\"config\":",
                          is_whole ? "true" : "false", now->config,
                          now->targets);
  if (snp->config != NULL && snp->config->revision > since->config)
    add_object (out, snp->config);
  else
    g_string_append (out, "null");
  g_string_append (out, ",\"targets\":[");
  g_hash_table_iter_init (&iter, snp->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct snp_object *object = value;

      if (!is_whole && object->revision <= since->targets)
        continue;
      if (count++ > 0)
        g_string_append_c (out, ',');
      add_object (out, object);
    }
  g_string_append (out, "],\"gone\":[");
  count = 0;
  for (const GList *at = snp->gone.head; !is_whole && at != NULL;
       at = at->next)
    {
      const struct snp_object *object = at->data;

      if (object->revision <= since->targets)
        continue;
      if (count++ > 0)
        g_string_append_c (out, ',');
      add_object (out, object);
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

/* Returns snp_text packed for the way, in a buffer of SNP's that is valid
   until the next call, and sets LENGTH.  What many ask for in a row is packed
   once.  */
const char *
snp_pack (struct snp *snp, const struct snp_point *since,
          const struct snp_point *now, size_t *length)
{
  struct snp_packed *packed = &snp->packed;
  uLongf size;
  char *text;

  if (packed->data != NULL
      && memcmp (&packed->since, since, sizeof *since) == 0
      && memcmp (&packed->now, now, sizeof *now) == 0)
    {
      *length = packed->length;
      return packed->data;
    }
  text = snp_text (snp, since, now);
  size = compressBound (strlen (text));
  g_free (packed->data);
  packed->data = g_malloc (SIZE_DIGITS + size + 1);
  g_snprintf (packed->data, SIZE_DIGITS + 1, "%0*zx", SIZE_DIGITS,
              strlen (text));
  if (compress2 ((Bytef *)packed->data + SIZE_DIGITS, &size,
                 (const Bytef *)text, strlen (text), Z_BEST_SPEED)
      != Z_OK)
    size = 0; /* not readable: the asker asks again */
  packed->since = *since;
  packed->now = *now;
  packed->length = SIZE_DIGITS + size;
  packed->data = g_realloc (packed->data, packed->length);
  g_free (text);
  *length = packed->length;
  return packed->data;
}

/* Returns the text that snp_pack made the LENGTH bytes of DATA of, newly
   allocated, or NULL if they are not that.  */
char *
snp_unpack (const char *data, size_t length, size_t *text_length)
{
  char digits[SIZE_DIGITS + 1] = "";
  uLongf size;
  char *text;

  if (length <= SIZE_DIGITS)
    return NULL;
  memcpy (digits, data, SIZE_DIGITS);
  size = strtoul (digits, NULL, 16);
  if (size == 0 || size > TEXT_MAX_BYTES)
    return NULL;
  text = g_malloc (size);
  if (uncompress ((Bytef *)text, &size, (const Bytef *)data + SIZE_DIGITS,
                  length - SIZE_DIGITS)
      != Z_OK)
    {
      g_free (text);
      return NULL;
    }
  *text_length = size;
  return text;
}

/* Reads LENGTH bytes of TEXT and tells CONFIG and TARGETS what is there.
   Returns 0 with NOW set, or -1 if the text cannot be read.  */
int
snp_read (const char *text, size_t length, struct snp_point *now,
          const struct fol_sink *config, const struct fol_sink *targets)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  const json_t *items = json_object_get (root, "targets");
  const json_t *config_number = json_object_get (root, "config_revision");
  const json_t *targets_number = json_object_get (root, "targets_revision");
  int is_whole = json_is_true (json_object_get (root, "whole"));

  if (!json_is_integer (config_number) || !json_is_integer (targets_number)
      || !json_is_array (items))
    {
      json_decref (root);
      return -1;
    }
  now->config = (uint64_t)json_integer_value (config_number);
  now->targets = (uint64_t)json_integer_value (targets_number);
  tell (json_object_get (root, "config"), 0, config);
  if (is_whole)
    targets->begin (targets->closure);
  /* An entry that came back is among both.  */
  tell_all (json_object_get (root, "gone"), 1, targets);
  tell_all (items, 0, targets);
  if (is_whole)
    targets->end (targets->closure, now->targets);
  json_decref (root);
  return 0;
}

/* Tells SINK all objects of LIST.  */
static void
tell_all (const json_t *list, int deleted, const struct fol_sink *sink)
{
  for (size_t i = 0; i < json_array_size (list); i++)
    tell (json_array_get (list, i), deleted, sink);
}

/* Tells SINK one object; null stands for none.  */
static void
tell (const json_t *object, int deleted, const struct fol_sink *sink)
{
  struct fol_object told
      = { .name = json_string_value (json_object_get (object, "name")),
          .revision = (uint64_t)json_integer_value (
              json_object_get (object, "revision")),
          .deleted = deleted,
          .content = json_object_get (object, "content") };

  if (told.name != NULL && told.content != NULL)
    sink->object (sink->closure, &told);
}

/* Returns OBJECT as text.  */
static struct snp_object *
object_new (const struct fol_object *object)
{
  struct snp_object *kept = g_new0 (struct snp_object, 1);
  char *text = object->content ? json_dumps (object->content,
                                             JSON_COMPACT | JSON_ENCODE_ANY)
                               : NULL;

  kept->revision = object->revision;
  kept->name = g_strdup (object->name);
  kept->content = g_strdup (text != NULL ? text : "null");
  free (text);
  return kept;
}

/* Frees an object; NULL is allowed.  */
static void
object_free (gpointer data)
{
  struct snp_object *object = data;

  if (object == NULL)
    return;
  g_free (object->name);
  g_free (object->content);
  g_free (object);
}

/* Appends OBJECT as JSON; names of the store need no escapes but these.  */
static void
add_object (GString *out, const struct snp_object *object)
{
  json_t *name = json_string (object->name);
  char *quoted = name ? json_dumps (name, JSON_ENCODE_ANY) : NULL;

  g_string_append_printf (
      out, "{\"name\":%s,\"revision\":%" PRIu64 ",\"content\":%s}",
      quoted ? quoted : "\"\"", object->revision, object->content);
  free (quoted);
  json_decref (name);
}
