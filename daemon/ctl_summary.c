/* ibisctl summary: counts the outcomes of requests over time, by reason. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/clock.h"
#include "ctl_log.h"

enum
{
  CHART_COLUMNS = 60,
  CHART_LEVELS = 8
};

/* Requests that ended for one reason. */
struct series
{
  guint total;
  GArray *per_second; /* of guint, since the first line */
};

static GHashTable *count_requests (const struct ctl_lines *lines);
static void count_request (GHashTable *all, const char *reason,
                           int64_t second);
static void print_restorations (const struct ctl_lines *lines);
static void free_series (gpointer data);
static void print_table (GHashTable *all, const GList *reasons);
static void print_chart (const struct series *series, guint seconds);
static void print_json (GHashTable *all, const GList *reasons);

/* Reads logs from IN and prints, for each reason, how many requests ended for
   it, with a chart over time.  Returns the exit status.  */
int
ctl_summary (FILE *in, int as_json)
{
  struct ctl_lines lines = ctl_read_lines (in);
  GHashTable *all = count_requests (&lines);
  GList *reasons = g_list_sort (g_hash_table_get_keys (all),
                                (GCompareFunc)(void (*) (void))strcmp);

  if (as_json)
    print_json (all, reasons);
  else
    {
      print_table (all, reasons);
      print_restorations (&lines);
    }
  g_list_free (reasons);
  g_hash_table_destroy (all);
  ctl_free_lines (&lines);
  return 0;
}

/* Returns a hash table from each reason in LINES to its series.  */
static GHashTable *
count_requests (const struct ctl_lines *lines)
{
  GHashTable *all
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_series);
  int64_t first
      = lines->all->len > 0 ? ctl_number (lines->all->pdata[0], "time_ms") : 0;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);
      const char *reason = ctl_text (line, "reason");

      if (reason != NULL
          && g_strcmp0 (ctl_text (line, "module"), "request") == 0)
        count_request (all, reason,
                       (ctl_number (line, "time_ms") - first) / CLK_MS_PER_S);
    }
  return all;
}

/* Counts one request that ended for REASON in SECOND.  */
static void
count_request (GHashTable *all, const char *reason, int64_t second)
{
  struct series *series = g_hash_table_lookup (all, reason);

  if (series == NULL)
    {
      series = g_new0 (struct series, 1);
      series->per_second = g_array_new (FALSE, TRUE, sizeof (guint));
      g_hash_table_insert (all, g_strdup (reason), series);
    }
  if (series->per_second->len <= (guint)second)
    g_array_set_size (series->per_second, (guint)second + 1);
  g_array_index (series->per_second, guint, second)++;
  series->total++;
}

static void
free_series (gpointer data)
{
  struct series *series = data;

  g_array_unref (series->per_second);
  g_free (series);
}

/* Prints REASONS as the rows of a table.  */
static void
print_table (GHashTable *all, const GList *reasons)
{
  guint seconds = 1;

  for (const GList *node = reasons; node != NULL; node = node->next)
    {
      const struct series *series = g_hash_table_lookup (all, node->data);

      seconds = MAX (seconds, series->per_second->len);
    }
  for (const GList *node = reasons; node != NULL; node = node->next)
    {
      const struct series *series = g_hash_table_lookup (all, node->data);

      printf ("%-16s %8u ", (char *)node->data, series->total);
      print_chart (series, seconds);
    }
  printf ("%-25s %u s, each row scaled to its own peak\n", "", seconds);
}

/* Prints when the platform's store was restored from an older copy, by the
   first line that tells each epoch.  */
static void
print_restorations (const struct ctl_lines *lines)
{
  int64_t last_epoch = 0;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);
      int64_t epoch = ctl_number (line, "epoch");

      if (g_strcmp0 (ctl_text (line, "module"), "store") != 0
          || g_strcmp0 (ctl_text (line, "reason"), "restored") != 0
          || epoch <= last_epoch)
        continue;
      last_epoch = epoch;
      printf ("store restored at %" PRId64 " ms: epoch %" PRId64
              ", revision %" PRId64 " after %" PRId64 "\n",
              ctl_number (line, "time_ms"), epoch,
              ctl_number (line, "revision"),
              ctl_number (line, "revision_before"));
    }
}

/* Prints SERIES over SECONDS as a bar chart in one line, scaled to its peak.
 */
static void
print_chart (const struct series *series, guint seconds)
{
  static const char *const bar_glyphs[CHART_LEVELS + 1]
      = { " ", "▁", "▂", "▃", "▄", "▅", "▆", "▇", "█" };
  guint columns[CHART_COLUMNS] = { 0 };
  guint width = MIN (seconds, (guint)CHART_COLUMNS);
  guint peak = 1;

  for (guint i = 0; i < series->per_second->len; i++)
    columns[(guint64)i * width / seconds]
        += g_array_index (series->per_second, guint, i);
  for (guint i = 0; i < width; i++)
    peak = MAX (peak, columns[i]);
  for (guint i = 0; i < width; i++)
    fputs (bar_glyphs[(columns[i] * CHART_LEVELS + peak - 1) / peak], stdout);
  printf ("  peak %u\n", peak);
}

/* Prints the total and the requests per second of REASONS as JSON.  */
static void
print_json (GHashTable *all, const GList *reasons)
{
  json_t *out = json_object ();

  for (const GList *node = reasons; node != NULL; node = node->next)
    {
      const struct series *series = g_hash_table_lookup (all, node->data);
      json_t *per_second = json_array ();

      for (guint i = 0; i < series->per_second->len; i++)
        json_array_append_new (per_second, json_integer (g_array_index (
                                               series->per_second, guint, i)));
      json_object_set_new (out, node->data,
                           json_pack ("{s:I,s:o}", "total",
                                      (json_int_t)series->total, "per_second",
                                      per_second));
    }
  json_dumpf (out, stdout, JSON_SORT_KEYS);
  printf ("\n");
  json_decref (out);
}
