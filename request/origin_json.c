/* Origins of streams and software versions as an object in the store.

   The object has the member "versions", a string with the service and the
   software of each version, and the member "streams", an object that has for
   each software a string with the attempts of the streams that it began, the
   newest first.  The member "epoch", a string, is the epoch of the store in
   which an instance wrote the object that knew all versions of before.  The
   member "priors", of the form of "versions", has the prior versions of
   services of which the object names several (prior.h).  All numbers are in
   hexadecimal, of NUMBER_CHARS characters.  What does not have this form is
   passed over.  */
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/originjson.h"

enum
{
  NUMBER_CHARS = 16,
  BITS_PER_CHAR = 4,
  VERSION_NUMBERS = 2 /* service and software */
};

static json_t *pack_versions (GArray *versions);
static GArray *all_versions (const struct origins *origins);
static json_t *pack_streams (const struct origins *origins);
static GArray *own_streams (const struct origins *origins);
static int is_needed (const struct origins *origins, uint64_t software);
static int compare_versions (const void *first, const void *second);
static uint32_t add_attempts (const char *attempts, struct origins *origins,
                              const struct origin_record *origin,
                              enum origin_source source, clk_ms now);
static int next_version (const json_t *listed, struct origin_cursor *cursor,
                         struct origin_version *version);
static int read_number (const char *text, uint64_t *number);

/* Returns the object of ORIGINS, as a new reference: the versions, and the
   streams of this instance whose version is not the only one of its service.
   The same origins give the same object.  */
json_t *
origin_json_pack (const struct origins *origins)
{
  GArray *versions = all_versions (origins);
  json_t *packed
      = json_pack ("{s:o,s:o}", "versions", pack_versions (versions),
                   "streams", pack_streams (origins));

  g_array_free (versions, TRUE);
  return packed;
}

/* Returns all versions of ORIGINS, as an array of struct origin_version, newly
   allocated.  */
static GArray *
all_versions (const struct origins *origins)
{
  GArray *versions
      = g_array_new (FALSE, FALSE, sizeof (struct origin_version));
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (origin_next_version (origins, &cursor, &version))
    g_array_append_val (versions, version);
  return versions;
}

/* Returns the string of VERSIONS, an array of struct origin_version, which it
   sorts.  */
static json_t *
pack_versions (GArray *versions)
{
  GString *text = g_string_new (NULL);
  json_t *packed;

  g_array_sort (versions, compare_versions);
  for (guint i = 0; i < versions->len; i++)
    {
      const struct origin_version *version
          = &g_array_index (versions, struct origin_version, i);

      g_string_append_printf (text, "%016" PRIx64 "%016" PRIx64,
                              version->service, version->software);
    }
  packed = json_string (text->str);
  g_string_free (text, TRUE);
  return packed;
}

/* Orders versions by service and software.  */
static int
compare_versions (const void *first, const void *second)
{
  const struct origin_version *a = first;
  const struct origin_version *b = second;

  if (a->service != b->service)
    return a->service < b->service ? -1 : 1;
  return (a->software > b->software) - (a->software < b->software);
}

/* Returns the object of the streams of this instance in ORIGINS, by
   software.  */
static json_t *
pack_streams (const struct origins *origins)
{
  json_t *packed = json_object ();
  GArray *streams = own_streams (origins);

  while (streams->len > 0)
    {
      uint64_t software
          = g_array_index (streams, struct origin_record, 0).software;
      GString *attempts = g_string_new (NULL);
      char key[NUMBER_CHARS + 1];
      guint kept = 0;

      for (guint i = 0; i < streams->len; i++)
        {
          struct origin_record *record
              = &g_array_index (streams, struct origin_record, i);

          if (record->software == software)
            g_string_append_printf (attempts, "%016" PRIx64, record->attempt);
          else
            g_array_index (streams, struct origin_record, kept++) = *record;
        }
      g_array_set_size (streams, kept);
      g_snprintf (key, sizeof key, "%016" PRIx64, software);
      json_object_set_new (packed, key, json_string (attempts->str));
      g_string_free (attempts, TRUE);
    }
  g_array_free (streams, TRUE);
  return packed;
}

/* Returns the streams of this instance that are to be kept, as an array of
   struct origin_record, newly allocated, the newest first.  */
static GArray *
own_streams (const struct origins *origins)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct origin_record));
  GArray *newest = g_array_new (FALSE, FALSE, sizeof (struct origin_record));
  struct origin_cursor cursor = { .with_expected = 1 };
  struct origin_record record;
  int versions_differ = origin_versions_differ (origins);

  while (versions_differ && origin_next_own (origins, &cursor, &record))
    g_array_append_val (all, record);
  for (guint i = all->len; i > 0 && newest->len < ORIGIN_JSON_STREAMS_MAX; i--)
    {
      record = g_array_index (all, struct origin_record, i - 1);
      if (is_needed (origins, record.software))
        g_array_append_val (newest, record);
    }
  g_array_free (all, TRUE);
  return newest;
}

/* Returns whether a stream that SOFTWARE began needs a record: SOFTWARE is not
   the only version of its service.  */
static int
is_needed (const struct origins *origins, uint64_t software)
{
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (origin_next_version (origins, &cursor, &version))
    if (version.software == software)
      return origin_only_version (origins, version.service) == 0;
  return 1;
}

/* Sets the epoch in the object CONTENT to EPOCH.  */
void
origin_json_set_epoch (json_t *content, uint64_t epoch)
{
  char text[NUMBER_CHARS + 1];

  g_snprintf (text, sizeof text, "%016" PRIx64, epoch);
  json_object_set_new (content, "epoch", json_string (text));
}

/* Returns the epoch in the object CONTENT, or 0 if it has none.  */
uint64_t
origin_json_epoch (const json_t *content)
{
  const char *text = json_string_value (json_object_get (content, "epoch"));
  uint64_t epoch = 0;

  if (text == NULL || strlen (text) != NUMBER_CHARS
      || !read_number (text, &epoch))
    return 0;
  return epoch;
}

/* Sets the prior versions in the object CONTENT to PRIORS, an array of struct
   origin_version, which it sorts.  */
void
origin_json_set_priors (json_t *content, GArray *priors)
{
  json_object_set_new (content, "priors", pack_versions (priors));
}

/* Stores in VERSION the next version at CURSOR in the object CONTENT.  Returns
   0 after the last one.  */
int
origin_json_next_version (const json_t *content, struct origin_cursor *cursor,
                          struct origin_version *version)
{
  return next_version (json_object_get (content, "versions"), cursor, version);
}

/* The same for the prior versions.  */
int
origin_json_next_prior (const json_t *content, struct origin_cursor *cursor,
                        struct origin_version *version)
{
  return next_version (json_object_get (content, "priors"), cursor, version);
}

/* Stores in VERSION the next version at CURSOR in the string LISTED.  Returns
   0 after the last one.  */
static int
next_version (const json_t *listed, struct origin_cursor *cursor,
              struct origin_version *version)
{
  const char *text = json_string_value (listed);
  size_t length = text != NULL ? strlen (text) : 0;

  while (cursor->next + VERSION_NUMBERS * NUMBER_CHARS <= length)
    {
      const char *at = text + cursor->next;

      cursor->next += VERSION_NUMBERS * NUMBER_CHARS;
      if (read_number (at, &version->service)
          && read_number (at + NUMBER_CHARS, &version->software))
        return 1;
    }
  return 0;
}

/* Adds the streams in the object CONTENT to ORIGINS, as learned from SOURCE.
   Returns how many there are.  */
uint32_t
origin_json_add_streams (const json_t *content, struct origins *origins,
                         enum origin_source source, clk_ms now)
{
  json_t *streams = json_object_get (content, "streams");
  void *at = json_object_iter (streams);
  uint32_t count = 0;

  for (; at != NULL; at = json_object_iter_next (streams, at))
    {
      const char *key = json_object_iter_key (at);
      const char *attempts = json_string_value (json_object_iter_value (at));
      struct origin_record origin = { 0 };

      if (attempts != NULL && strlen (key) == NUMBER_CHARS
          && read_number (key, &origin.software))
        count += add_attempts (attempts, origins, &origin, source, now);
    }
  return count;
}

/* Adds the streams that the software of ORIGIN began, whose ATTEMPTS are
   listed, the oldest first.  Returns how many there are.  */
static uint32_t
add_attempts (const char *attempts, struct origins *origins,
              const struct origin_record *origin, enum origin_source source,
              clk_ms now)
{
  struct origin_record record = *origin;
  size_t listed = MIN (strlen (attempts) / NUMBER_CHARS,
                       (size_t)ORIGIN_JSON_STREAMS_MAX);
  uint32_t count = 0;

  for (size_t i = listed; i > 0; i--)
    if (read_number (attempts + (i - 1) * NUMBER_CHARS, &record.attempt))
      {
        origin_add (origins, &record, source, now);
        count++;
      }
  return count;
}

/* Reads the number in the first NUMBER_CHARS characters of TEXT, which is at
   least that long.  Returns whether it is one, and not 0.  */
static int
read_number (const char *text, uint64_t *number)
{
  *number = 0;
  for (int i = 0; i < NUMBER_CHARS; i++)
    {
      int digit = g_ascii_xdigit_value (text[i]);

      if (digit < 0)
        return 0;
      *number = *number << BITS_PER_CHAR | (uint64_t)digit;
    }
  return *number != 0;
}
