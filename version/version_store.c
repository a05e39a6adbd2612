/* Newest known revision of each configuration object, and the snapshot built
   from them.

   Readers use the snapshot without a lock.  A replaced snapshot is freed by
   epoch-based reclamation once no reader can still use it.  */
#include <pthread.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/json_scan.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libversion.h"

struct ver_store
{
  char *deployment;
  char *prefix;         /* of the object names in the platform's store */
  pthread_mutex_t lock; /* protects all but reads of current */
  GHashTable *objects;  /* name to struct ver_object */
  uint64_t revision;    /* highest known */
  struct ver_snapshot *current; /* in force; accessed atomically */
  ck_epoch_t epoch;
  ck_epoch_record_t writer;
  GPtrArray *readers; /* all that were ever registered; they are reused */
};

struct ver_reader
{
  ck_epoch_record_t record; /* must be first */
  uint64_t reads_ended;     /* counts calls of ver_read_end */
};

static void object_free (gpointer data);
static void reclaim_snapshot (ck_epoch_entry_t *entry);
static void activate_snapshot (struct ver_store *store,
                               struct ver_snapshot *version);
static int merge_object (struct ver_store *store, struct scan_text object);
static int apply_locked (struct ver_store *store, const char *name,
                         uint64_t revision, const char *text, GError **error);
static int is_newer (struct ver_store *store, const char *name,
                     uint64_t revision);

/* Returns an empty store for the objects of DEPLOYMENT.  */
struct ver_store *
ver_store_new (const char *deployment)
{
  struct ver_store *store = g_new0 (struct ver_store, 1);

  store->deployment = g_strdup (deployment);
  store->prefix = g_strdup_printf ("%s/config/", deployment);
  pthread_mutex_init (&store->lock, NULL);
  store->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
  ck_epoch_init (&store->epoch);
  ck_epoch_register (&store->epoch, &store->writer, NULL);
  store->readers = g_ptr_array_new_with_free_func (g_free);
  store->current = ver_snapshot_build (deployment, store->objects, NULL);
  store->current->store = store;
  return store;
}

/* Frees STORE, which must have no registered readers.  */
void
ver_store_free (struct ver_store *store)
{
  ck_epoch_barrier (&store->writer);
  ver_snapshot_free (store->current);
  g_ptr_array_free (store->readers, TRUE);
  g_hash_table_destroy (store->objects);
  pthread_mutex_destroy (&store->lock);
  g_free (store->deployment);
  g_free (store->prefix);
  g_free (store);
}

/* Sets object NAME to TEXT, or deletes it if TEXT is NULL, at REVISION.
   Returns 1 if the object is in force now, 0 if its revision was already as
   high, or -1 with ERROR set if the configuration would be invalid; then the
   previous version stays in force.  */
int
ver_store_apply (struct ver_store *store, const char *name, uint64_t revision,
                 const char *text, GError **error)
{
  int result;

  pthread_mutex_lock (&store->lock);
  result = apply_locked (store, name, revision, text, error);
  pthread_mutex_unlock (&store->lock);
  return result;
}

/* Returns the highest revision that STORE knows.  */
uint64_t
ver_store_revision (struct ver_store *store)
{
  uint64_t revision;

  pthread_mutex_lock (&store->lock);
  revision = store->revision;
  pthread_mutex_unlock (&store->lock);
  return revision;
}

/* Records that all changes up to REVISION are known, so that no configuration
   is fetched from a peer for revisions that changed no configuration
   object.  */
void
ver_store_advance (struct ver_store *store, uint64_t revision)
{
  pthread_mutex_lock (&store->lock);
  if (revision > store->revision)
    store->revision = revision;
  pthread_mutex_unlock (&store->lock);
}

/* Returns all objects that changed after REVISION as JSON for ver_store_merge,
   newly allocated.  */
char *
ver_store_changes_since (struct ver_store *store, uint64_t revision)
{
  json_t *list = json_array ();
  json_t *message;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  char *text;

  pthread_mutex_lock (&store->lock);
  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct ver_object *object = value;

      if (object->revision > revision)
        json_array_append_new (list, json_pack ("{s:s,s:I,s:s?}", "name", name,
                                                "revision",
                                                (json_int_t)object->revision,
                                                "value", object->text));
    }
  message = json_pack ("{s:I,s:o}", "revision", (json_int_t)store->revision,
                       "objects", list);
  pthread_mutex_unlock (&store->lock);
  text = json_dumps (message, JSON_COMPACT);
  json_decref (message);
  return text;
}

/* Returns a copy of the text of object NAME, or NULL if it is unknown or
   deleted.  Sets REVISION unless it is unknown.  */
char *
ver_store_get (struct ver_store *store, const char *name, uint64_t *revision)
{
  const struct ver_object *object;
  char *text = NULL;

  pthread_mutex_lock (&store->lock);
  object = g_hash_table_lookup (store->objects, name);
  if (object != NULL)
    {
      text = g_strdup (object->text);
      *revision = object->revision;
    }
  pthread_mutex_unlock (&store->lock);
  return text;
}

/* Applies the objects in JSON, from ver_store_changes_since or from a watch of
   the platform.  Returns how many came into force, or -1 with ERROR set if
   JSON is malformed.  Invalid objects are counted and logged; the others are
   applied nevertheless.  */
int
ver_store_merge (struct ver_store *store, const char *json, GError **error)
{
  static const char *const apart[] = { "objects" };
  struct scan_text message = { json, strlen (json) };
  struct scan_text objects;
  struct scan_text object;
  json_t *members = scan_object (message, apart, &objects, 1);
  json_int_t revision
      = json_integer_value (json_object_get (members, "revision"));
  int result = members != NULL ? scan_array (objects, &objects) : -1;
  int adopted = 0;

  json_decref (members);
  while (result >= 0 && (result = scan_next (&objects, &object)) > 0)
    adopted += merge_object (store, object);
  if (result < 0)
    {
      err_set (error, ERR_INVALID, "not a list of objects");
      return -1;
    }
  if (revision > 0)
    ver_store_advance (store, (uint64_t)revision);
  return adopted;
}

/* Applies OBJECT, one of the objects that ver_store_merge gets.  Returns 1 if
   it came into force, otherwise 0.  */
static int
merge_object (struct ver_store *store, struct scan_text object)
{
  json_t *whole = scan_parse (object);
  json_t *item = whole != NULL ? whole : scan_object (object, NULL, NULL, 0);
  const char *name = json_string_value (json_object_get (item, "name"));
  const json_t *value = json_object_get (item, "value");
  json_int_t revision
      = json_integer_value (json_object_get (item, "revision"));
  GError *rejection = NULL;
  int result = -1;

  if (whole == NULL || name == NULL || revision <= 0
      || (value != NULL && !json_is_null (value) && !json_is_string (value)))
    err_set (&rejection, ERR_INVALID, "%s: unreadable object",
             name != NULL ? name : "(no name)");
  else
    {
      if (g_str_has_prefix (name, store->prefix))
        name += strlen (store->prefix);
      result = ver_store_apply (store, name, (uint64_t)revision,
                                json_string_value (value), &rejection);
    }
  json_decref (item);
  if (result == 0)
    metric_inc (METRIC_CONFIG_STALE);
  if (result < 0)
    {
      metric_inc (METRIC_CONFIG_REJECTED);
      log_warn ("version", NULL, "config_rejected", "%s", rejection->message);
      g_clear_error (&rejection);
    }
  return result > 0;
}

/* Registers the calling thread as a reader of STORE's snapshots.  */
struct ver_reader *
ver_reader_new (struct ver_store *store)
{
  struct ver_reader *reader;

  pthread_mutex_lock (&store->lock);
  reader = (struct ver_reader *)(void *)ck_epoch_recycle (&store->epoch, NULL);
  if (reader == NULL)
    {
      reader = g_new0 (struct ver_reader, 1);
      ck_epoch_register (&store->epoch, &reader->record, NULL);
      g_ptr_array_add (store->readers, reader);
    }
  pthread_mutex_unlock (&store->lock);
  return reader;
}

/* Unregisters READER, which is reused by the next thread that registers.  */
void
ver_reader_free (struct ver_reader *reader)
{
  ck_epoch_unregister (&reader->record);
}

/* Begins a read section and returns the version in force, which stays valid
   until ver_read_end.  */
const struct ver_snapshot *
ver_read_begin (struct ver_store *store, struct ver_reader *reader)
{
  ck_epoch_begin (&reader->record, NULL);
  return __atomic_load_n (&store->current, __ATOMIC_ACQUIRE);
}

/* Ends the read section that ver_read_begin began.  The atomic counter
   reads_ended orders the reads before the snapshot is freed in a way that data
   race detectors recognize; they do not understand the epochs.  */
void
ver_read_end (struct ver_reader *reader)
{
  (void)__atomic_add_fetch (&reader->reads_ended, 1, __ATOMIC_RELEASE);
  ck_epoch_end (&reader->record, NULL);
}

/* Returns the service called NAME, or NULL.  */
const struct ver_service *
ver_service_find (const struct ver_snapshot *version, const char *name)
{
  for (guint i = 0; i < version->services->len; i++)
    {
      const struct ver_service *service
          = &g_array_index (version->services, struct ver_service, i);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* Returns the target at INDEX.  */
const struct ver_target *
ver_target_at (const struct ver_snapshot *version, uint32_t index)
{
  return &g_array_index (version->targets, struct ver_target, index);
}

/* Returns the target with id ID, or NULL.  */
const struct ver_target *
ver_target_find (const struct ver_snapshot *version, uint64_t id)
{
  guint position
      = GPOINTER_TO_UINT (g_hash_table_lookup (version->index, &id));

  return position > 0 ? ver_target_at (version, position - 1) : NULL;
}

/* Returns the customer called NAME, or NULL.  */
const struct ver_customer *
ver_customer_find (const struct ver_snapshot *version, const char *name)
{
  uint64_t id = rank_id (name, "", "");
  const struct ver_customer *customer
      = g_hash_table_lookup (version->customers, &id);

  if (customer != NULL && strcmp (customer->name, name) == 0)
    return customer;
  return NULL;
}

/* Returns the weight of the customer with id ID, or 1 if it is unknown.  */
double
ver_customer_weight (const struct ver_snapshot *version, uint64_t id)
{
  const struct ver_customer *customer
      = g_hash_table_lookup (version->customers, &id);

  return customer != NULL ? customer->weight : 1;
}

/* Implements ver_store_apply; the caller holds the lock of STORE.  */
static int
apply_locked (struct ver_store *store, const char *name, uint64_t revision,
              const char *text, GError **error)
{
  struct ver_object *object;
  struct ver_object *old;
  struct ver_snapshot *version;
  char *key;

  if (!is_newer (store, name, revision))
    return 0;
  object = g_new0 (struct ver_object, 1);
  object->revision = revision;
  object->text = g_strdup (text);
  if (!g_hash_table_steal_extended (store->objects, name, (gpointer *)&key,
                                    (gpointer *)&old))
    {
      key = NULL;
      old = NULL;
    }
  g_hash_table_insert (store->objects, g_strdup (name), object);
  version = ver_snapshot_build (store->deployment, store->objects, error);
  if (version == NULL)
    {
      g_hash_table_remove (store->objects, name);
      if (old != NULL)
        g_hash_table_insert (store->objects, key, old);
      return -1;
    }
  g_free (key);
  if (old != NULL)
    object_free (old);
  activate_snapshot (store, version);
  metric_inc (METRIC_CONFIG_ADOPTED);
  return 1;
}

/* Returns whether REVISION of object NAME is newer than the known one.  */
static int
is_newer (struct ver_store *store, const char *name, uint64_t revision)
{
  const struct ver_object *known = g_hash_table_lookup (store->objects, name);

  return known == NULL || revision > known->revision;
}

/* Brings VERSION into force and schedules the old version to be freed once no
   reader can still use it.  */
static void
activate_snapshot (struct ver_store *store, struct ver_snapshot *version)
{
  struct ver_snapshot *old = store->current;

  version->store = store;
  __atomic_store_n (&store->current, version, __ATOMIC_RELEASE);
  if (version->revision > store->revision)
    store->revision = version->revision;
  ck_epoch_call (&store->writer, &old->epoch_entry, reclaim_snapshot);
  ck_epoch_poll (&store->writer);
}

/* Frees the snapshot that contains ENTRY.  Called with the store's lock held,
   or when the store has no readers.  Reading reads_ended is the counterpart of
   ver_read_end.  */
static void
reclaim_snapshot (ck_epoch_entry_t *entry)
{
  struct ver_snapshot *version = (struct ver_snapshot *)(void *)entry;
  const GPtrArray *readers = version->store->readers;

  for (guint i = 0; i < readers->len; i++)
    {
      struct ver_reader *reader = g_ptr_array_index (readers, i);

      (void)__atomic_load_n (&reader->reads_ended, __ATOMIC_ACQUIRE);
    }
  ver_snapshot_free (version);
}

static void
object_free (gpointer data)
{
  struct ver_object *object = data;

  g_free (object->text);
  g_free (object);
}
