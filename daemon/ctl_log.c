/* What the instances' logs say of a request, and of all. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ctl_log.h"

enum
{
  FOUND = 0,
  NOT_FOUND = 1,
  BAR_WIDTH = 40,
  MS_PER_S = 1000
};

/* Lines of a log, in the order of their time. */
struct lines
{
  GPtrArray *all; /* of json_t */
};

/* What an outcome means, for people. */
static const struct
{
  const char *reason;
  const char *sentence;
} outcomes[] = {
  { "answered", "the target's answer was passed on whole" },
  { "target_error", "the target answered with an error, which was passed on" },
  { "caller_gone", "the caller left before the answer was complete" },
  { "bad_request", "refused: the request lacks what every request needs" },
  { "unknown_route",
    "refused: no route of the version in force matches host and path" },
  { "unknown_key",
    "refused: the key stands for no customer in the version in force" },
  { "not_configured",
    "refused: the instance had no configuration yet; not run" },
  { "stopping", "refused: the instance was about to end; not run" },
  { "no_target", "refused: no target of the service was usable; not run" },
  { "all_full", "refused: every usable target was at its bound; not run" },
  { "target_full", "refused: the target said that it is full; not run" },
  { "no_connection",
    "refused: no target could be connected to in time; not run" },
  { "target_failed", "failed: the attempts at targets failed; may have run" },
  { "deadline", "failed: the time was over; may have run" },
  { "deadline_unsent", "refused: the time was over; not run" },
  { "retry_budget",
    "failed: an attempt failed and the fleet's budget for repeats was spent" },
};

static struct lines read_lines (FILE *in);
static void free_lines (struct lines *lines);
static gint by_time (gconstpointer a, gconstpointer b);
static const char *text (const json_t *line, const char *key);
static int64_t number (const json_t *line, const char *key);
static void print_line (const json_t *line);
static const json_t *outcome_of (const struct lines *lines, const char *id);
static const json_t *last_before (const struct lines *lines,
                                  const json_t *until, const char *module,
                                  const char *target);
static void print_beliefs (const struct lines *lines, const char *id,
                           const json_t *until);
static const char *sentence_of (const char *reason);
static void count (GHashTable *counts, const char *key, int64_t second);

/* Prints the lines of REQUEST_ID over all instances, what was believed then,
   and the cause in a sentence.  Returns the exit status.  */
int
ctl_explain (FILE *in, const char *request_id, int as_json)
{
  struct lines lines = read_lines (in);
  const json_t *outcome = outcome_of (&lines, request_id);
  json_t *found = json_array ();

  for (guint i = 0; i < lines.all->len; i++)
    {
      json_t *line = g_ptr_array_index (lines.all, i);

      if (g_strcmp0 (text (line, "request_id"), request_id) != 0)
        continue;
      json_array_append (found, line);
      if (!as_json)
        print_line (line);
    }
  if (as_json)
    {
      json_t *out = json_pack (
          "{s:s,s:O,s:s?}", "request_id", request_id, "lines", found, "cause",
          outcome ? sentence_of (text (outcome, "reason")) : NULL);

      json_dumpf (out, stdout, JSON_INDENT (2));
      printf ("\n");
      json_decref (out);
    }
  else if (outcome != NULL)
    {
      print_beliefs (&lines, request_id, outcome);
      printf ("\n%s: %s\n", request_id,
              sentence_of (text (outcome, "reason")));
    }
  else
    printf ("%s: no line tells how it ended\n", request_id);
  json_decref (found);
  free_lines (&lines);
  return outcome != NULL ? FOUND : NOT_FOUND;
}

/* Prints how requests ended by reason, and when those that were not answered
   did.  Returns the exit status.  */
int
ctl_summary (FILE *in, int as_json)
{
  struct lines lines = read_lines (in);
  GHashTable *totals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_array_unref);
  int64_t first
      = lines.all->len > 0 ? number (lines.all->pdata[0], "time_ms") : 0;
  GList *keys;
  json_t *out = json_object ();
  guint most = 1;

  for (guint i = 0; i < lines.all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines.all, i);

      if (g_strcmp0 (text (line, "module"), "request") == 0)
        count (totals, text (line, "reason"),
               (number (line, "time_ms") - first) / MS_PER_S);
    }
  keys = g_list_sort (g_hash_table_get_keys (totals),
                      (GCompareFunc)(void (*) (void))strcmp);
  for (GList *at = keys; at != NULL; at = at->next)
    {
      GArray *seconds = g_hash_table_lookup (totals, at->data);

      most = MAX (most, seconds->len);
      json_object_set_new (out, at->data, json_integer (seconds->len));
    }
  for (GList *at = keys; !as_json && at != NULL; at = at->next)
    {
      GArray *seconds = g_hash_table_lookup (totals, at->data);
      int bar = (int)(seconds->len * BAR_WIDTH / most);

      printf ("%-16s %8u %.*s\n", (char *)at->data, seconds->len, MAX (bar, 1),
              "########################################");
      if (g_strcmp0 (at->data, "answered") == 0)
        continue;
      for (guint i = 0, run; i < seconds->len; i += run)
        {
          int64_t second = g_array_index (seconds, int64_t, i);

          for (run = 1; i + run < seconds->len
                        && g_array_index (seconds, int64_t, i + run) == second;
               run++)
            ;
          printf ("    second %6" PRId64 " %6u\n", second, run);
        }
    }
  if (as_json)
    {
      json_dumpf (out, stdout, JSON_INDENT (2) | JSON_SORT_KEYS);
      printf ("\n");
    }
  json_decref (out);
  g_list_free (keys);
  g_hash_table_destroy (totals);
  free_lines (&lines);
  return FOUND;
}

/* Reads the lines of IN that are JSON, with or without something before. */
static struct lines
read_lines (FILE *in)
{
  struct lines lines
      = { g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref) };
  char *row = NULL;
  size_t size = 0;

  while (getline (&row, &size, in) > 0)
    {
      const char *start = strchr (row, '{');
      json_t *line = start ? json_loads (start, 0, NULL) : NULL;

      if (json_is_integer (json_object_get (line, "time_ms")))
        g_ptr_array_add (lines.all, line);
      else
        json_decref (line);
    }
  free (row);
  g_ptr_array_sort (lines.all, by_time);
  return lines;
}

/* Frees LINES.  */
static void
free_lines (struct lines *lines)
{
  g_ptr_array_free (lines->all, TRUE);
}

/* Orders lines by time.  */
static gint
by_time (gconstpointer a, gconstpointer b)
{
  int64_t first = number (*(json_t *const *)a, "time_ms");
  int64_t second = number (*(json_t *const *)b, "time_ms");

  return (first > second) - (first < second);
}

/* Returns the string KEY of LINE, or NULL.  */
static const char *
text (const json_t *line, const char *key)
{
  return json_string_value (json_object_get (line, key));
}

/* Returns the whole number KEY of LINE, or 0.  */
static int64_t
number (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

/* Prints LINE as its time, instance and decision, then its fields.  */
static void
print_line (const json_t *line)
{
  static const char *const shown[]
      = { "time_ms", "level", "instance", "module", "request_id", "reason" };
  json_t *rest = json_deep_copy (line);
  char *fields;

  for (size_t i = 0; i < G_N_ELEMENTS (shown); i++)
    json_object_del (rest, shown[i]);
  fields = json_dumps (rest, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("%" PRId64 " %s %s %s %s\n", number (line, "time_ms"),
          text (line, "instance"), text (line, "module"),
          text (line, "reason"), fields);
  free (fields);
  json_decref (rest);
}

/* Returns the line that tells how the request ID ended, or NULL.  */
static const json_t *
outcome_of (const struct lines *lines, const char *id)
{
  const json_t *found = NULL;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (g_strcmp0 (text (line, "request_id"), id) == 0
          && g_strcmp0 (text (line, "module"), "request") == 0)
        found = line;
    }
  return found;
}

/* Returns the last line of MODULE, of TARGET if that is not NULL, that the
   instance of UNTIL wrote before it, or NULL.  */
static const json_t *
last_before (const struct lines *lines, const json_t *until,
             const char *module, const char *target)
{
  const json_t *found = NULL;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (line == until)
        break;
      if (g_strcmp0 (text (line, "instance"), text (until, "instance")) == 0
          && g_strcmp0 (text (line, "module"), module) == 0
          && (target == NULL
              || g_strcmp0 (text (line, "target"), target) == 0))
        found = line;
    }
  return found;
}

/* Prints what the instance that ended the request ID believed at UNTIL.  */
static void
print_beliefs (const struct lines *lines, const char *id, const json_t *until)
{
  static const char *const modules[] = { "config", "store", "fleet" };
  GHashTable *told = g_hash_table_new (g_str_hash, g_str_equal);

  printf ("\nbelieved by %s then:\n", text (until, "instance"));
  for (size_t i = 0; i < G_N_ELEMENTS (modules); i++)
    {
      const json_t *line = last_before (lines, until, modules[i], NULL);

      if (line != NULL)
        print_line (line);
    }
  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);
      const char *target = text (line, "target");
      const json_t *news;

      if (target == NULL || g_strcmp0 (text (line, "request_id"), id) != 0
          || !g_hash_table_add (told, (gpointer)(uintptr_t)target))
        continue;
      news = last_before (lines, until, "registry", target);
      if (news != NULL)
        print_line (news);
    }
  g_hash_table_destroy (told);
}

/* Returns what the outcome REASON means.  */
static const char *
sentence_of (const char *reason)
{
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (g_strcmp0 (outcomes[i].reason, reason) == 0)
      return outcomes[i].sentence;
  return "ended for a reason that this version does not know";
}

/* Adds one more of KEY, in SECOND.  */
static void
count (GHashTable *counts, const char *key, int64_t second)
{
  GArray *seconds;

  if (key == NULL)
    return;
  seconds = g_hash_table_lookup (counts, key);
  if (seconds == NULL)
    {
      seconds = g_array_new (FALSE, FALSE, sizeof (int64_t));
      g_hash_table_insert (counts, g_strdup (key), seconds);
    }
  g_array_append_val (seconds, second);
}
