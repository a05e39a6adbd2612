/* Difference between two versions of a configuration, for instances that
   fetch.

   It is a list of texts and of runs of parts that the receiver has.  A run is
   named by the hash of its first part, so that the sender need not know where
   the receiver has it.  The hash of the whole shows whether the receiver had
   what the sender assumed; if not, it fetches the whole text.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/config_text.h"
#include "ibisloom/rank.h"

enum
{
  HASH_HEX_DIGITS = 16,
  TEXT_MAX_BYTES = 67108864 /* as of a snapshot */
};

/* Largest share of the text that is sent as a difference. */
static const double NEW_SHARE_MAX = 0.5;

/* Parts of the version that a difference builds on, by their hash. */
struct base
{
  const struct cfg_text *config;
  GHashTable *index; /* hash to part, plus one; built when needed */
  guint next;        /* part after the last run */
};

static guint run_end (const struct cfg_text *config, guint start,
                      uint64_t since);
static int append_text (json_t *runs, struct scan_text text);
static json_t *hash_json (struct scan_text text);
static int apply_run (struct base *base, const json_t *run, GString *out);
static guint find_base_part (struct base *base, uint64_t hash);
static uint64_t part_hash (const struct cfg_text *config, guint index);
static const struct cfg_part *part_at (const struct cfg_text *config,
                                       guint index);
static struct scan_text whole_text (GBytes *bytes);

/* Returns how CONFIG differs from its version SINCE as JSON, newly allocated,
   to be freed by free, or NULL if too much does.  */
char *
cfg_delta (const struct cfg_text *config, uint64_t since)
{
  struct scan_text whole = whole_text (config->text);
  json_t *runs = json_array ();
  json_t *delta;
  size_t done = 0;
  size_t sent = 0;
  int is_valid = 1;
  char *text;

  for (guint i = 0; i <= config->parts->len; i++)
    {
      guint end = run_end (config, i, since);
      size_t start = end > i ? part_at (config, i)->offset : whole.length;
      struct scan_text gap = { whole.at + done, start - done };

      if (end == i && i < config->parts->len)
        continue;
      is_valid = is_valid && append_text (runs, gap) == 0;
      sent += gap.length;
      if (end == i)
        break;
      json_array_append_new (
          runs, json_pack ("[o,I]", hash_json (cfg_part_text (config, i)),
                           (json_int_t)(end - i)));
      done = part_at (config, end - 1)->offset
             + part_at (config, end - 1)->length;
      i = end - 1;
    }
  is_valid = is_valid && (double)sent <= (double)whole.length * NEW_SHARE_MAX;
  delta = json_pack ("{s:I,s:o,s:o}", "length", (json_int_t)whole.length,
                     "hash", hash_json (whole), "runs", runs);
  text = is_valid ? json_dumps (delta, JSON_COMPACT) : NULL;
  json_decref (delta);
  return text;
}

/* Returns the text that DELTA makes of BEFORE, which may be NULL, or NULL if
   DELTA is malformed or was made for another text.  */
GBytes *
cfg_apply_delta (const struct cfg_text *before, struct scan_text delta)
{
  json_t *parsed = scan_parse (delta);
  const json_t *runs = json_object_get (parsed, "runs");
  const char *hash = json_string_value (json_object_get (parsed, "hash"));
  json_int_t length = json_integer_value (json_object_get (parsed, "length"));
  struct base base = { .config = before };
  GString *out = g_string_new (NULL);
  const json_t *run;
  int is_valid = before != NULL && hash != NULL;
  size_t i;

  json_array_foreach (runs, i, run) is_valid
      = is_valid && apply_run (&base, run, out) == 0
        && out->len <= TEXT_MAX_BYTES;
  is_valid = is_valid && length >= 0 && (size_t)length == out->len
             && rank_hash_bytes (out->str, out->len)
                    == g_ascii_strtoull (hash, NULL, 16);
  json_decref (parsed);
  if (base.index != NULL)
    g_hash_table_destroy (base.index);
  if (is_valid)
    return g_string_free_to_bytes (out);
  g_string_free (out, TRUE);
  return NULL;
}

/* Returns the end of the longest run from part START that is in the version
   SINCE, or START if that part is not.  */
static guint
run_end (const struct cfg_text *config, guint start, uint64_t since)
{
  guint end = start;

  while (end < config->parts->len && part_at (config, end)->since <= since
         && (end == start || part_at (config, end)->joined <= since))
    end++;
  return end;
}

/* Appends TEXT to RUNS unless it is empty.  Returns 0, or -1 if TEXT is not
   valid UTF-8.  */
static int
append_text (json_t *runs, struct scan_text text)
{
  if (text.length == 0)
    return 0;
  return json_array_append_new (runs, json_stringn (text.at, text.length));
}

/* Returns the hash of TEXT.  */
static json_t *
hash_json (struct scan_text text)
{
  return json_sprintf ("%0*" PRIx64, HASH_HEX_DIGITS,
                       rank_hash_bytes (text.at, text.length));
}

/* Appends to OUT what RUN, a text or a run of parts of BASE, stands for.
   Returns 0, or -1 if it is malformed or BASE lacks it.  */
static int
apply_run (struct base *base, const json_t *run, GString *out)
{
  const char *hash = json_string_value (json_array_get (run, 0));
  json_int_t count = json_integer_value (json_array_get (run, 1));
  const struct cfg_part *last;
  guint first;

  if (json_is_string (run))
    {
      g_string_append_len (out, json_string_value (run),
                           (gssize)json_string_length (run));
      return 0;
    }
  first = hash != NULL
              ? find_base_part (base, g_ascii_strtoull (hash, NULL, 16))
              : 0;
  if (first == 0 || count <= 0
      || count > base->config->parts->len - (first - 1))
    return -1;
  base->next = first - 1 + (guint)count;
  last = part_at (base->config, base->next - 1);
  g_string_append_len (out, cfg_part_text (base->config, first - 1).at,
                       (gssize)last->offset + last->length
                           - part_at (base->config, first - 1)->offset);
  return 0;
}

/* Returns which part of BASE has HASH, plus one, or 0.  Runs are in order, so
   that it mostly is one of the next.  */
static guint
find_base_part (struct base *base, uint64_t hash)
{
  guint count = base->config->parts->len;

  if (base->next < count && part_hash (base->config, base->next) == hash)
    return base->next + 1;
  if (base->next + 1 < count
      && part_hash (base->config, base->next + 1) == hash)
    return base->next + 2;
  if (base->index == NULL)
    {
      base->index
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
      for (guint i = 0; i < count; i++)
        {
          uint64_t key = part_hash (base->config, i);

          g_hash_table_insert (base->index, g_memdup2 (&key, sizeof key),
                               GUINT_TO_POINTER (i + 1));
        }
    }
  return GPOINTER_TO_UINT (g_hash_table_lookup (base->index, &hash));
}

static uint64_t
part_hash (const struct cfg_text *config, guint index)
{
  struct scan_text text = cfg_part_text (config, index);

  return rank_hash_bytes (text.at, text.length);
}

static const struct cfg_part *
part_at (const struct cfg_text *config, guint index)
{
  return &g_array_index (config->parts, struct cfg_part, index);
}

static struct scan_text
whole_text (GBytes *bytes)
{
  struct scan_text text;

  text.at = g_bytes_get_data (bytes, &text.length);
  return text;
}
