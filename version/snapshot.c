/* What the store said last, kept as text to be told to other instances.

   An instance that cannot reach the store, or that starts while it is away,
   asks one that has heard more.  The store's own objects are handed on, so
   that they are decoded in one place.  */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/snapshot.h"

/* One object as text. */
struct snp_object
{
  uint64_t revision;
  char *name;
  char *content;
};

struct snp
{
  struct snp_object *config; /* NULL: none yet */
  GHashTable *targets;       /* name to struct snp_object */
};

static struct snp_object *object_new (const struct fol_object *object);
static void object_free (gpointer data);
static void add_object (GString *out, const struct snp_object *object);
static int tell (const json_t *object, const struct fol_sink *sink);

/* Returns an empty snapshot.  */
struct snp *
snp_new (void)
{
  struct snp *snp = g_new0 (struct snp, 1);

  snp->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, object_free);
  return snp;
}

/* Frees SNP.  */
void
snp_free (struct snp *snp)
{
  object_free (snp->config);
  g_hash_table_destroy (snp->targets);
  g_free (snp);
}

/* Keeps the configuration OBJECT.  */
void
snp_config (struct snp *snp, const struct fol_object *object)
{
  object_free (snp->config);
  snp->config = object_new (object);
}

/* Keeps the entry OBJECT of a target, or drops it if it is gone.  */
void
snp_target (struct snp *snp, const struct fol_object *object)
{
  struct snp_object *kept;

  g_hash_table_remove (snp->targets, object->name);
  if (object->deleted)
    return;
  kept = object_new (object);
  g_hash_table_insert (snp->targets, kept->name, kept);
}

/* Drops all entries of targets: a whole list follows.  */
void
snp_targets_clear (struct snp *snp)
{
  g_hash_table_remove_all (snp->targets);
}

/* Returns SNP as newly allocated JSON, complete up to REVISION of the
   store.  */
char *
snp_text (const struct snp *snp, uint64_t revision)
{
  GString *out = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_string_append_printf (out,
                          "{\"revision\":%" PRIu64 ",\"config\":", revision);
  if (snp->config != NULL)
    add_object (out, snp->config);
  else
    g_string_append (out, "null");
  g_string_append (out, ",\"targets\":[");
  g_hash_table_iter_init (&iter, snp->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (count++ > 0)
        g_string_append_c (out, ',');
      add_object (out, value);
    }
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

/* Reads LENGTH bytes of TEXT and tells CONFIG and TARGETS what is there; a
   sink that is NULL is told nothing.  Returns 0 with REVISION set, or -1 if
   the text cannot be read.  */
int
snp_read (const char *text, size_t length, uint64_t *revision,
          const struct fol_sink *config, const struct fol_sink *targets)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  const json_t *items = json_object_get (root, "targets");
  const json_t *number = json_object_get (root, "revision");
  int result = -1;

  if (json_is_integer (number) && json_is_array (items))
    {
      *revision = (uint64_t)json_integer_value (number);
      if (config != NULL)
        (void)tell (json_object_get (root, "config"), config);
      if (targets != NULL)
        {
          targets->begin (targets->closure);
          for (size_t i = 0; i < json_array_size (items); i++)
            (void)tell (json_array_get (items, i), targets);
          targets->end (targets->closure, *revision);
        }
      result = 0;
    }
  json_decref (root);
  return result;
}

/* Tells SINK one object.  Returns -1 if it cannot be read.  */
static int
tell (const json_t *object, const struct fol_sink *sink)
{
  struct fol_object told
      = { .name = json_string_value (json_object_get (object, "name")),
          .revision = (uint64_t)json_integer_value (
              json_object_get (object, "revision")),
          .content = json_object_get (object, "content") };

  if (told.name == NULL || told.content == NULL)
    return -1;
  sink->object (sink->closure, &told);
  return 0;
}

/* Returns OBJECT as text.  */
static struct snp_object *
object_new (const struct fol_object *object)
{
  struct snp_object *kept = g_new0 (struct snp_object, 1);
  char *text = json_dumps (object->content, JSON_COMPACT | JSON_ENCODE_ANY);

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
