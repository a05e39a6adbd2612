/* Parses and validates the objects of the configuration and builds immutable
   snapshots from them. */
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/settings.h"
#include "libversion.h"

enum
{
  SLOTS_MAX = 4096,
  DEADLINE_MAX_MS = 600000,
  TARGETS_MAX = 4096
};

/* Numeric field of an object, with its range and its default. */
struct number_field
{
  const char *key;
  size_t offset;
  double min;
  double max;
  double default_value;
};

/* Duration field of an object, with its range and its default. */
struct duration_field
{
  const char *key;
  size_t offset;
  int64_t min_ms;
  int64_t max_ms;
  int64_t default_ms;
};

typedef int (*object_reader) (struct ver_snapshot *version, const char *name,
                              json_t *json, GError **error);

static int read_service (struct ver_snapshot *version, const char *name,
                         json_t *json, GError **error);
static int read_customer (struct ver_snapshot *version, const char *name,
                          json_t *json, GError **error);
static int read_preset (struct ver_snapshot *version, const char *name,
                        json_t *json, GError **error);
static int read_in_force (struct ver_snapshot *version, const char *name,
                          json_t *json, GError **error);
static int read_target (struct ver_target *target, json_t *json,
                        GError **error);
static int read_targets (struct ver_snapshot *version,
                         struct ver_service *service, json_t *list,
                         GError **error);
static int read_durations (void *base, const struct duration_field *fields,
                           size_t count, json_t *json, GError **error);
static int read_number (double *out, const struct number_field *field,
                        json_t *json, GError **error);
static int read_name (char *out, const char *key, json_t *json,
                      GError **error);
static int check_keys (json_t *json, const char *const *keys, GError **error);
static struct ver_snapshot *ver_snapshot_new (void);
static int read_object (struct ver_snapshot *version, const char *name,
                        const char *text, GError **error);
static gint compare_names (gconstpointer a, gconstpointer b);

static const struct
{
  const char *prefix;
  object_reader read;
} object_kinds[] = {
  { "services/", read_service },
  { "customers/", read_customer },
  { "presets/", read_preset },
  { "in-force", read_in_force },
};

static const char *const service_keys[]
    = { "kind",       "targets",     "repeat_all",
        "silence_ms", "deadline_ms", "attempt_timeout_ms",
        NULL };
static const char *const target_keys[] = {
  "name", "address", "failure_domain", "slots", "weight", "leaving", NULL
};
static const char *const customer_keys[] = { "weight", "note", NULL };
static const char *const preset_keys[]
    = { "load_factor", "reserve_share",   "retry_share", "queue_ms",
        "note_ttl_ms", "context_wait_ms", "note",        NULL };
static const char *const in_force_keys[]
    = { "preset", "settings", "by", "change", NULL };

static const struct duration_field service_durations[] = {
  { "silence_ms", offsetof (struct ver_service, silence_ms), 50, 60000, 600 },
  { "attempt_timeout_ms", offsetof (struct ver_service, attempt_timeout_ms),
    50, DEADLINE_MAX_MS, 600 },
  { "deadline_ms", offsetof (struct ver_service, deadline_ms), 100,
    DEADLINE_MAX_MS, 30000 },
};

static const struct duration_field preset_durations[] = {
  { "context_wait_ms", offsetof (struct ver_preset, context_wait_ms), 0, 10000,
    400 },
  { "queue_ms", offsetof (struct ver_preset, queue_ms), 0, 60000, 1000 },
  { "note_ttl_ms", offsetof (struct ver_preset, note_ttl_ms), 1000, 86400000,
    3600000 },
};

static const struct number_field preset_numbers[] = {
  { "load_factor", offsetof (struct ver_preset, load_factor), 1.05, 4, 1.25 },
  { "reserve_share", offsetof (struct ver_preset, reserve_share), 0, 0.9,
    0.05 },
  { "retry_share", offsetof (struct ver_preset, retry_share), 0, 1, 0.1 },
};

static const struct number_field weight_field = { "weight", 0, 0, 1000, 1 };

/* Builds a snapshot from OBJECTS, a map from names to struct ver_object.
   DEPLOYMENT is hashed into the ids of services and targets.  Returns NULL
   with ERROR set if an object is malformed or two targets have the same id. */
struct ver_snapshot *
ver_snapshot_build (const char *deployment, GHashTable *objects,
                    GError **error)
{
  struct ver_snapshot *version = ver_snapshot_new ();
  GList *names = g_list_sort (g_hash_table_get_keys (objects), compare_names);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const struct ver_object *object
          = g_hash_table_lookup (objects, at->data);

      if (object->revision > version->revision)
        version->revision = object->revision;
      if (object->text == NULL)
        continue;
      if (read_object (version, at->data, object->text, error) != 0)
        {
          g_list_free (names);
          ver_snapshot_free (version);
          return NULL;
        }
      if (strcmp (at->data, "in-force") == 0)
        version->preset_revision = object->revision;
    }
  g_list_free (names);
  for (guint i = 0; i < version->services->len; i++)
    {
      struct ver_service *service
          = &g_array_index (version->services, struct ver_service, i);

      service->id = rank_id (deployment, service->name, "");
      for (uint32_t j = 0; j < service->target_count; j++)
        {
          uint32_t index = service->first_target + j;
          struct ver_target *target
              = &g_array_index (version->targets, struct ver_target, index);
          struct rank_node node;

          target->service = i;
          target->id = rank_id (deployment, service->name, target->name);
          node.id = target->id;
          node.weight = target->leaving ? 0 : target->weight;
          service->eligible_count += node.weight > 0;
          g_array_append_val (version->nodes, node);
          target->domain_id = (uint32_t)rank_hash (target->failure_domain);
          if (!g_hash_table_insert (version->index, &target->id,
                                    GUINT_TO_POINTER (index + 1)))
            {
              err_set (error, ERR_INVALID,
                       "target %s: its identifier is that of another one; "
                       "rename it",
                       target->name);
              ver_snapshot_free (version);
              return NULL;
            }
        }
    }
  return version;
}

/* Frees VERSION, which must no longer have readers.  */
void
ver_snapshot_free (struct ver_snapshot *version)
{
  g_array_free (version->services, TRUE);
  g_array_free (version->targets, TRUE);
  g_array_free (version->nodes, TRUE);
  g_hash_table_destroy (version->customers);
  g_hash_table_destroy (version->index);
  g_free (version);
}

/* Checks that TEXT is a valid object for NAME.  Returns 0, or -1 with ERROR
   set.  */
int
ver_validate (const char *name, const char *text, GError **error)
{
  struct ver_snapshot *scratch = ver_snapshot_new ();
  int result = read_object (scratch, name, text, error);

  ver_snapshot_free (scratch);
  return result;
}

/* Returns an empty snapshot with the default preset.  */
static struct ver_snapshot *
ver_snapshot_new (void)
{
  struct ver_snapshot *version = g_new0 (struct ver_snapshot, 1);
  json_t *empty = json_object ();

  version->services = g_array_new (FALSE, TRUE, sizeof (struct ver_service));
  version->targets = g_array_new (FALSE, TRUE, sizeof (struct ver_target));
  version->nodes = g_array_new (FALSE, TRUE, sizeof (struct rank_node));
  version->customers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  version->index = g_hash_table_new (g_int64_hash, g_int64_equal);
  read_preset (version, "", empty, NULL);
  json_decref (empty);
  return version;
}

/* Parses the JSON in TEXT and passes it to the reader for the prefix of NAME.
   Returns 0, or -1 with ERROR set, as the readers do.  */
static int
read_object (struct ver_snapshot *version, const char *name, const char *text,
             GError **error)
{
  json_error_t parse_error;
  json_t *json = json_loads (text, JSON_REJECT_DUPLICATES, &parse_error);
  int result = -1;

  if (json == NULL)
    {
      err_set (error, ERR_INVALID, "%s: line %d: %s", name, parse_error.line,
               parse_error.text);
      return -1;
    }
  if (!json_is_object (json))
    err_set (error, ERR_INVALID, "%s: not a JSON object", name);
  else
    {
      for (size_t i = 0; i < G_N_ELEMENTS (object_kinds); i++)
        if (g_str_has_prefix (name, object_kinds[i].prefix))
          {
            const char *suffix = name + strlen (object_kinds[i].prefix);

            result = object_kinds[i].read (version, suffix, json, error);
            json_decref (json);
            if (result != 0)
              g_prefix_error (error, "%s: ", name);
            return result;
          }
      err_set (error, ERR_INVALID,
               "%s: no such kind; use services/, customers/, presets/", name);
    }
  json_decref (json);
  return result;
}

/* Reads the object "services/NAME" into VERSION.  */
static int
read_service (struct ver_snapshot *version, const char *name, json_t *json,
              GError **error)
{
  struct ver_service service = { 0 };
  const char *kind = json_string_value (json_object_get (json, "kind"));

  if (check_keys (json, service_keys, error) != 0)
    return -1;
  if (g_strcmp0 (kind, "chat") != 0 && g_strcmp0 (kind, "plain") != 0)
    {
      err_set (error, ERR_INVALID, "kind: write \"chat\" or \"plain\"");
      return -1;
    }
  service.kind = kind[0] == 'c' ? VER_KIND_CHAT : VER_KIND_PLAIN;
  service.repeat_all = json_is_true (json_object_get (json, "repeat_all"));
  g_strlcpy (service.name, name, sizeof service.name);
  if (read_durations (&service, service_durations,
                      G_N_ELEMENTS (service_durations), json, error)
          != 0
      || read_targets (version, &service, json_object_get (json, "targets"),
                       error)
             != 0)
    return -1;
  g_array_append_val (version->services, service);
  return 0;
}

/* Reads LIST, the targets of SERVICE, into VERSION.  */
static int
read_targets (struct ver_snapshot *version, struct ver_service *service,
              json_t *list, GError **error)
{
  json_t *item;
  size_t i;

  if (!json_is_array (list) || json_array_size (list) > TARGETS_MAX)
    {
      err_set (error, ERR_INVALID, "targets: write a list of at most %d",
               TARGETS_MAX);
      return -1;
    }
  service->first_target = version->targets->len;
  service->target_count = (uint32_t)json_array_size (list);
  json_array_foreach (list, i, item)
  {
    struct ver_target target = { 0 };

    if (read_target (&target, item, error) != 0)
      return -1;
    for (guint j = service->first_target; j < version->targets->len; j++)
      if (strcmp (g_array_index (version->targets, struct ver_target, j).name,
                  target.name)
          == 0)
        {
          err_set (error, ERR_INVALID, "targets: %s stands twice",
                   target.name);
          return -1;
        }
    g_array_append_val (version->targets, target);
  }
  return 0;
}

/* Reads TARGET from JSON.  */
static int
read_target (struct ver_target *target, json_t *json, GError **error)
{
  const char *address = json_string_value (json_object_get (json, "address"));
  json_t *slots = json_object_get (json, "slots");

  if (check_keys (json, target_keys, error) != 0
      || read_name (target->name, "name", json, error) != 0
      || read_name (target->failure_domain, "failure_domain", json, error) != 0
      || read_number (&target->weight, &weight_field, json, error) != 0)
    return -1;
  if (address == NULL
      || settings_parse_address (address, &target->address) != 0)
    {
      err_set (error, ERR_INVALID, "target %s: address: write \"IP:PORT\"",
               target->name);
      return -1;
    }
  target->slots = slots ? (int32_t)json_integer_value (slots) : 8;
  if (target->slots < 1 || target->slots > SLOTS_MAX)
    {
      err_set (error, ERR_INVALID, "target %s: slots: write 1 to %d",
               target->name, SLOTS_MAX);
      return -1;
    }
  target->leaving = json_is_true (json_object_get (json, "leaving"));
  return 0;
}

/* Reads the object "customers/NAME" into VERSION.  */
static int
read_customer (struct ver_snapshot *version, const char *name, json_t *json,
               GError **error)
{
  struct ver_customer *customer = g_new0 (struct ver_customer, 1);

  if (check_keys (json, customer_keys, error) != 0
      || read_number (&customer->weight, &weight_field, json, error) != 0)
    {
      g_free (customer);
      return -1;
    }
  g_strlcpy (customer->name, name, sizeof customer->name);
  customer->id = rank_id (name, "", "");
  g_hash_table_replace (version->customers, &customer->id, customer);
  return 0;
}

/* Reads the settings of the preset NAME into VERSION.  */
static int
read_preset (struct ver_snapshot *version, const char *name, json_t *json,
             GError **error)
{
  struct ver_preset *preset = &version->preset;

  if (check_keys (json, preset_keys, error) != 0
      || read_durations (preset, preset_durations,
                         G_N_ELEMENTS (preset_durations), json, error)
             != 0)
    return -1;
  for (size_t i = 0; i < G_N_ELEMENTS (preset_numbers); i++)
    if (read_number ((double *)((char *)preset + preset_numbers[i].offset),
                     &preset_numbers[i], json, error)
        != 0)
      return -1;
  g_strlcpy (preset->name, name, sizeof preset->name);
  return 0;
}

/* Reads the object "in-force", which holds the name of the active preset and
   its settings, so that one conditional write changes both.  It is read last
   and so overrides the "presets/" objects, which are read for validation
   only.  */
static int
read_in_force (struct ver_snapshot *version, const char *name, json_t *json,
               GError **error)
{
  const char *preset = json_string_value (json_object_get (json, "preset"));
  json_t *settings = json_object_get (json, "settings");

  (void)name;
  if (check_keys (json, in_force_keys, error) != 0)
    return -1;
  if (preset == NULL || !json_is_object (settings))
    {
      err_set (error, ERR_INVALID, "give \"preset\" and \"settings\"");
      return -1;
    }
  return read_preset (version, preset, settings, error);
}

/* Orders object names, with "in-force" last.  */
static gint
compare_names (gconstpointer a, gconstpointer b)
{
  int a_last = strcmp (a, "in-force") == 0;
  int b_last = strcmp (b, "in-force") == 0;

  if (a_last != b_last)
    return a_last - b_last;
  return strcmp (a, b);
}

/* Reads the COUNT durations of FIELDS from JSON into the structure at BASE.
   Those that are absent get their defaults.  */
static int
read_durations (void *base, const struct duration_field *fields, size_t count,
                json_t *json, GError **error)
{
  for (size_t i = 0; i < count; i++)
    {
      json_t *value = json_object_get (json, fields[i].key);
      int64_t *out = (int64_t *)((char *)base + fields[i].offset);

      *out = value ? json_integer_value (value) : fields[i].default_ms;
      if ((value != NULL && !json_is_integer (value))
          || *out < fields[i].min_ms || *out > fields[i].max_ms)
        {
          err_set (error, ERR_INVALID,
                   "%s: write a whole number, %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   fields[i].key, (gint64)fields[i].min_ms,
                   (gint64)fields[i].max_ms);
          return -1;
        }
    }
  return 0;
}

/* Reads the number of FIELD from JSON into OUT, or its default if it is
   absent.  */
static int
read_number (double *out, const struct number_field *field, json_t *json,
             GError **error)
{
  json_t *value = json_object_get (json, field->key);

  *out = value ? json_number_value (value) : field->default_value;
  if ((value == NULL || json_is_number (value)) && *out >= field->min
      && *out <= field->max)
    return 0;
  err_set (error, ERR_INVALID, "%s: write a number, %g to %g", field->key,
           field->min, field->max);
  return -1;
}

/* Reads the string KEY of JSON into OUT, which holds VER_NAME_MAX_BYTES.  */
static int
read_name (char *out, const char *key, json_t *json, GError **error)
{
  const char *text = json_string_value (json_object_get (json, key));

  if (text != NULL && *text != '\0' && strlen (text) < VER_NAME_MAX_BYTES)
    {
      g_strlcpy (out, text, VER_NAME_MAX_BYTES);
      return 0;
    }
  err_set (error, ERR_INVALID, "%s: write 1 to %d characters", key,
           VER_NAME_MAX_BYTES - 1);
  return -1;
}

/* Checks that JSON is an object whose keys are all in KEYS, a NULL-terminated
   array.  */
static int
check_keys (json_t *json, const char *const *keys, GError **error)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      err_set (error, ERR_INVALID, "not a JSON object");
      return -1;
    }
  json_object_foreach (json, key, value)
  {
    if (!g_strv_contains (keys, key))
      {
        err_set (error, ERR_INVALID, "%s: unknown key", key);
        return -1;
      }
  }
  return 0;
}
