/* ibisctl audit: finds requests whose outcome the logs do not explain. */
#include <inttypes.h>

#include "ctl_log.h"

enum
{
  ALL_EXPLAINED = 0,
  SOME_UNEXPLAINED = 1,
  /* No request lasts longer.  If the instance wrote no line this long after
     the last line of a request, the request may have been in progress when the
     instance or the log ended.  */
  REQUEST_MAX_MS = 30000
};

/* Lines that one instance wrote about a request. */
struct trace
{
  const char *request_id;
  const json_t *last; /* last line other than the outcome */
  const json_t *outcome;
  int restarted;     /* the instance restarted before an outcome */
  int possibly_open; /* may be in progress at the instance's last line */
};

static GPtrArray *build_traces (const struct ctl_lines *lines);
static void add_line (GHashTable *by_key, GPtrArray *traces,
                      const json_t *line);
static void mark_restarted (GPtrArray *traces, const json_t *line);
static void mark_open (GPtrArray *traces, const struct ctl_lines *lines);
static const char *unexplained_reason (const struct trace *trace);

/* Reads logs from IN and prints each request that has lines but no outcome
   with a known reason.  Requests in progress when their instance or the log
   ended are only counted.  Returns the exit status: SOME_UNEXPLAINED if a
   request was printed.  */
int
ctl_audit (FILE *in, int as_json)
{
  struct ctl_lines lines = ctl_read_lines (in);
  GPtrArray *traces = build_traces (&lines);
  json_t *unexplained = json_array ();
  guint restarted_count = 0;
  guint possibly_open = 0;
  int status;

  for (guint i = 0; i < traces->len; i++)
    {
      const struct trace *trace = g_ptr_array_index (traces, i);
      const char *reason = unexplained_reason (trace);

      restarted_count += (guint)trace->restarted;
      possibly_open += (guint)trace->possibly_open;
      if (reason == NULL)
        continue;
      json_array_append_new (unexplained,
                             json_pack ("{s:s,s:s}", "request_id",
                                        trace->request_id, "fault", reason));
      if (!as_json)
        printf ("%s: %s\n", trace->request_id, reason);
    }
  status
      = json_array_size (unexplained) > 0 ? SOME_UNEXPLAINED : ALL_EXPLAINED;
  if (as_json)
    {
      json_dumpf (unexplained, stdout, JSON_INDENT (2));
      printf ("\n");
    }
  else
    printf ("%u requests: %zu unexplained, %u open when their instance ended, "
            "%u open at the end of the log\n",
            traces->len, json_array_size (unexplained), restarted_count,
            possibly_open);
  json_decref (unexplained);
  g_ptr_array_unref (traces);
  ctl_free_lines (&lines);
  return status;
}

/* Returns the traces of all requests in LINES, ordered by their first line. */
static GPtrArray *
build_traces (const struct ctl_lines *lines)
{
  GHashTable *by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *traces = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (ctl_text (line, "request_id") != NULL
          && ctl_text (line, "instance") != NULL)
        add_line (by_key, traces, line);
      else if (g_strcmp0 (ctl_text (line, "module"), "gate") == 0
               && g_strcmp0 (ctl_text (line, "reason"), "started") == 0)
        mark_restarted (traces, line);
    }
  g_hash_table_destroy (by_key);
  mark_open (traces, lines);
  return traces;
}

/* Adds LINE to the trace of its request and instance.  */
static void
add_line (GHashTable *by_key, GPtrArray *traces, const json_t *line)
{
  char *key = g_strdup_printf ("%s %s", ctl_text (line, "request_id"),
                               ctl_text (line, "instance"));
  struct trace *trace = g_hash_table_lookup (by_key, key);

  if (trace == NULL)
    {
      trace = g_new0 (struct trace, 1);
      trace->request_id = ctl_text (line, "request_id");
      g_ptr_array_add (traces, trace);
      g_hash_table_insert (by_key, key, trace);
    }
  else
    g_free (key);
  if (g_strcmp0 (ctl_text (line, "module"), "request") == 0)
    trace->outcome = line;
  else
    trace->last = line;
}

/* Marks the traces without an outcome of the instance that wrote LINE when it
   started.  */
static void
mark_restarted (GPtrArray *traces, const json_t *line)
{
  for (guint i = 0; i < traces->len; i++)
    {
      struct trace *trace = g_ptr_array_index (traces, i);

      if (trace->outcome == NULL
          && g_strcmp0 (ctl_text (trace->last, "instance"),
                        ctl_text (line, "instance"))
                 == 0)
        trace->restarted = 1;
    }
}

/* Marks the other traces without an outcome if their instance wrote no line
   REQUEST_MAX_MS or more after the last line of the trace.  */
static void
mark_open (GPtrArray *traces, const struct ctl_lines *lines)
{
  GHashTable *newest = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < lines->all->len; i++)
    {
      json_t *line = g_ptr_array_index (lines->all, i);
      const char *instance = ctl_text (line, "instance");

      if (instance != NULL)
        g_hash_table_insert (newest, (gpointer)(uintptr_t)instance, line);
    }
  for (guint i = 0; i < traces->len; i++)
    {
      struct trace *trace = g_ptr_array_index (traces, i);
      const json_t *last;

      if (trace->outcome != NULL || trace->restarted)
        continue;
      last = g_hash_table_lookup (newest, ctl_text (trace->last, "instance"));
      trace->possibly_open
          = ctl_number (last, "time_ms") - ctl_number (trace->last, "time_ms")
            < REQUEST_MAX_MS;
    }
  g_hash_table_destroy (newest);
}

/* Returns why TRACE is not explained, or NULL if it is.  */
static const char *
unexplained_reason (const struct trace *trace)
{
  if (trace->outcome != NULL)
    return ctl_describe_outcome (ctl_text (trace->outcome, "reason")) != NULL
               ? NULL
               : "its outcome has no known reason";
  if (trace->restarted || trace->possibly_open)
    return NULL;
  return "it has lines but no outcome";
}
