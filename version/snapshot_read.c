/* Reader of the snapshots of other instances. */
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "ibisloom/json_scan.h"
#include "ibisloom/snapshot.h"

enum
{
  SIZE_HEX_DIGITS = SNAPSHOT_SIZE_HEX_DIGITS,
  TEXT_MAX_BYTES = 67108864
};

/* Members that hold objects, each of which is parsed by itself. */
enum part
{
  PART_CONFIG,
  PART_TARGETS,
  PART_DELETED,
  PART_COUNT
};

static const char *const part_names[PART_COUNT]
    = { "config", "targets", "gone" };

static uint64_t get_number (const json_t *object, const char *key);
static int read_state (const json_t *root, struct snapshot_state *known);
static void deliver (struct scan_text object, int deleted,
                     const struct watch_sink *sink);
static void deliver_text (struct scan_text object,
                          const struct watch_sink *sink);
static int deliver_all (struct scan_text list, int deleted,
                        const struct watch_sink *sink);

/* Decompresses the LENGTH bytes of DATA that snapshot_compress returned.
   Returns the JSON, newly allocated and not terminated by a null byte, with
   TEXT_LENGTH set, or NULL if DATA is malformed.  */
char *
snapshot_decompress (const char *data, size_t length, size_t *text_length)
{
  char digits[SIZE_HEX_DIGITS + 1] = "";
  uLongf size;
  char *text;

  if (length <= SIZE_HEX_DIGITS)
    return NULL;
  memcpy (digits, data, SIZE_HEX_DIGITS);
  size = strtoul (digits, NULL, 16);
  if (size == 0 || size > TEXT_MAX_BYTES)
    return NULL;
  text = g_malloc (size);
  if (uncompress ((Bytef *)text, &size, (const Bytef *)data + SIZE_HEX_DIGITS,
                  length - SIZE_HEX_DIGITS)
      != Z_OK)
    {
      g_free (text);
      return NULL;
    }
  *text_length = size;
  return text;
}

/* Parses the LENGTH bytes of JSON in TEXT and passes the configuration to
   CONFIG and the entries of targets to TARGETS, unless these are older than
   CURRENT.  Returns 0 with KNOWN set to what is covered, or -1 if TEXT is
   malformed.  */
int
snapshot_parse (const char *text, size_t length, struct snapshot_state *known,
                const struct snapshot_state *current,
                const struct watch_sink *config,
                const struct watch_sink *targets)
{
  struct scan_text snapshot = { text, length };
  struct scan_text parts[PART_COUNT];
  struct scan_text entries;
  json_t *root = scan_object (snapshot, part_names, parts, PART_COUNT);
  int is_full = json_is_true (json_object_get (root, "whole"));
  int is_valid = read_state (root, known) == 0
                 && scan_array (parts[PART_TARGETS], &entries) == 0;

  json_decref (root);
  if (!is_valid)
    return -1;
  if (config->takes_text)
    deliver_text (parts[PART_CONFIG], config);
  else
    deliver (parts[PART_CONFIG], 0, config);
  if (pos_compare (known->targets, current->targets) < 0)
    return 0;
  if (is_full)
    targets->begin (targets->closure);
  /* Deletions come first: a target that was registered again is in both
     lists.  */
  if (deliver_all (parts[PART_DELETED], 1, targets) != 0
      || deliver_all (parts[PART_TARGETS], 0, targets) != 0)
    return -1;
  if (is_full)
    targets->end (targets->closure, known->targets);
  return 0;
}

/* Reads what a snapshot covers from its other members, ROOT.  Returns 0, or -1
   if it does not say so.  */
static int
read_state (const json_t *root, struct snapshot_state *known)
{
  if (!json_is_integer (json_object_get (root, "config_revision"))
      || !json_is_integer (json_object_get (root, "targets_revision")))
    return -1;
  known->version = get_number (root, "version");
  known->config = (struct position){ get_number (root, "config_epoch"),
                                     get_number (root, "config_revision") };
  known->targets = (struct position){ get_number (root, "targets_epoch"),
                                      get_number (root, "targets_revision") };
  return 0;
}

/* Returns the number KEY of OBJECT, or 0, the value in the snapshots of older
   builds that do not have it.  */
static uint64_t
get_number (const json_t *object, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (object, key));

  return number > 0 ? (uint64_t)number : 0;
}

/* Passes all objects of LIST, which may be left out, to SINK.  Returns 0, or
   -1 if LIST is malformed.  */
static int
deliver_all (struct scan_text list, int deleted, const struct watch_sink *sink)
{
  struct scan_text object;
  int result = list.length > 0 ? scan_array (list, &list) : 0;

  while (result >= 0 && (result = scan_next (&list, &object)) > 0)
    deliver (object, deleted, sink);
  return result;
}

/* Passes OBJECT to SINK, unless it is null or lacks a name.  Content that
   cannot be parsed is missing.  */
static void
deliver (struct scan_text object, int deleted, const struct watch_sink *sink)
{
  json_t *parsed = scan_parse (object);
  struct watch_object reported = { .deleted = deleted };

  if (parsed == NULL)
    parsed = scan_object (object, NULL, NULL, 0);
  reported.name = json_string_value (json_object_get (parsed, "name"));
  reported.position = (struct position){ get_number (parsed, "epoch"),
                                         get_number (parsed, "revision") };
  reported.content = json_object_get (parsed, "content");
  if (reported.name != NULL && *reported.name != '\0')
    sink->object (sink->closure, &reported);
  json_decref (parsed);
}

/* Passes OBJECT to SINK with its content as text, unless it is null or lacks a
   name.  */
static void
deliver_text (struct scan_text object, const struct watch_sink *sink)
{
  static const char *const apart[] = { "content", "delta" };
  struct scan_text parts[G_N_ELEMENTS (apart)];
  json_t *parsed = scan_object (object, apart, parts, G_N_ELEMENTS (apart));
  struct watch_object reported = { .text = parts[0], .delta = parts[1] };

  reported.name = json_string_value (json_object_get (parsed, "name"));
  reported.position = (struct position){ get_number (parsed, "epoch"),
                                         get_number (parsed, "revision") };
  if (reported.name != NULL && *reported.name != '\0')
    sink->object (sink->closure, &reported);
  json_decref (parsed);
}
