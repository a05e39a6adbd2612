/* Figures and history checks of one run. */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load.h"

enum
{
  US_PER_MS = 1000,
  SILENCE_MIN_US = 400000
};

struct context
{
  const struct load_options *options;
  GArray *records;
  char *engines;  /* history of the engines, or NULL */
  char *services; /* history of the services, or NULL */
  char *platform;
};

typedef void (*reporter) (const struct context *context);

static void report_chats (const struct context *context);
static void report_reuse (const struct context *context);
static void report_skew (const struct context *context);
static void report_surge (const struct context *context);
static void report_silences (const struct context *context);
static void report_at_most_once (const struct context *context);
static void report_plain_calls (const struct context *context);
static void report_closed_loop (const struct context *context);
static void report_failures (const struct context *context);
static void report_cuts (const struct context *context);
static void print_p50_p99 (const char *name, GArray *values, const char *unit);
static int64_t count_engine_streams (const struct context *context);
static GHashTable *executed_requests (const struct context *context,
                                      int64_t *ran_twice, int64_t *keys);
static int in_window (const struct context *context,
                      const struct load_record *record);
static GArray *times_to_first_token_ms (const struct context *context,
                                        int from_customer, int surging);
static gint compare_key_and_end (gconstpointer a, gconstpointer b);

static const struct
{
  const char *name;
  reporter report;
} reporters[] = {
  { "chats", report_chats },       { "reuse", report_reuse },
  { "skew", report_skew },         { "surge", report_surge },
  { "gaps", report_silences },     { "once", report_at_most_once },
  { "plain", report_plain_calls }, { "speed", report_closed_loop },
  { "failures", report_failures }, { "cuts", report_cuts },
};

/* Prints the figures of report NAME.  Returns 0, or -1 if there is no such
   report.  A port of 0 stands for a stand-in that is not used.  */
int
load_report (const char *name, const struct load_options *options,
             GArray *records, int engine_port, int service_port,
             int platform_port)
{
  struct context context = { .options = options, .records = records };

  if (engine_port > 0)
    context.engines = load_http_get (engine_port, "/history");
  if (service_port > 0)
    context.services = load_http_get (service_port, "/history");
  if (platform_port > 0)
    context.platform = load_http_get (platform_port, "/control/history");
  for (size_t i = 0; i < G_N_ELEMENTS (reporters); i++)
    if (strcmp (name, reporters[i].name) == 0)
      {
        reporters[i].report (&context);
        g_free (context.engines);
        g_free (context.services);
        g_free (context.platform);
        return 0;
      }
  return -1;
}

/* Prints one figure.  */
void
load_print_figure (const char *name, double value, const char *unit)
{
  printf ("figure %s %.6g %s\n", name, value, unit);
}

/* What every chat run must show: whole answers, each its own.  */
static void
report_chats (const struct context *context)
{
  int64_t complete = 0;
  int64_t crossed = 0;
  int64_t out_of_order = 0;
  int64_t cut = 0;
  int64_t count = 0;

  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);

      if (!in_window (context, record))
        continue;
      count++;
      complete += record->complete;
      crossed += record->crossed;
      out_of_order += record->out_of_order;
      cut += record->cut;
    }
  load_print_figure ("requests", (double)count, "requests");
  load_print_figure ("whole_answers",
                     count ? (double)complete / (double)count : 0, "ratio");
  load_print_figure ("crossed", (double)crossed, "answers");
  load_print_figure ("out_of_order", (double)out_of_order, "answers");
  load_print_figure ("cut", (double)cut, "answers");
  if (context->engines != NULL && count > 0)
    load_print_figure ("amplification",
                       (double)count_engine_streams (context) / (double)count,
                       "ratio");
}

/* Reuse against the policies.  */
static void
report_reuse (const struct context *context)
{
  report_chats (context);
  load_report_policies (context->options, context->records, context->engines,
                        0);
}

/* Loads sampled at the engines against the bound, and the policies.  */
static void
report_skew (const struct context *context)
{
  json_t *json = json_loads (context->engines, 0, NULL);
  GArray *changes = load_read_engine_changes (context->options->events);
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (double));
  int64_t violations = 0;
  int64_t max_excess = 0;
  json_t *sample;
  size_t i;

  json_array_foreach (json_object_get (json, "samples"), i, sample)
  {
    int64_t at = json_integer_value (json_array_get (sample, 0));
    int64_t total = 0;
    int64_t highest = 0;
    int count = 0;
    double mean;
    double ratio;

    if (at < context->options->from_ms || at > context->options->until_ms)
      continue;
    for (size_t j = 1; j < json_array_size (sample); j++)
      {
        int64_t load = json_integer_value (json_array_get (sample, j));

        if (!load_engine_up (changes, (int)j - 1, at))
          continue;
        total += load;
        highest = MAX (highest, load);
        count++;
      }
    if (total == 0)
      continue;
    mean = (double)total / count;
    ratio = (double)highest / mean;
    g_array_append_val (ratios, ratio);
    if (highest > ceil (context->options->load_factor * mean - 1e-9))
      {
        violations++;
        max_excess = MAX (
            max_excess,
            highest
                - (int64_t)ceil (context->options->load_factor * mean - 1e-9));
      }
  }
  load_print_figure ("samples", ratios->len, "samples");
  load_print_figure ("bound_violations", (double)violations, "samples");
  load_print_figure ("bound_excess_max", (double)max_excess, "requests");
  load_print_figure ("skew_max_over_mean_p99", load_quantile (ratios, 0.99),
                     "ratio");
  json_decref (json);
  report_chats (context);
  load_report_policies (context->options, context->records, context->engines,
                        1);
}

/* The other customers before and during a surge of three.  */
static void
report_surge (const struct context *context)
{
  GArray *before = times_to_first_token_ms (context, 3, 0);
  GArray *during = times_to_first_token_ms (context, 3, 1);
  int64_t other_refused = 0;
  int64_t surging_refused = 0;
  int64_t refused_with_reason = 0;
  int64_t tokens = 0;
  int64_t first_us = INT64_MAX;
  int64_t last_us = 0;

  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);

      if (!record->complete && record->customer >= 3)
        other_refused++;
      if (!record->complete && record->customer < 3)
        {
          surging_refused++;
          refused_with_reason
              += record->retry_after_s > 0 && record->code[0] != '\0';
        }
      if (record->start_us / US_PER_MS >= context->options->surge_at_ms
          && record->complete)
        {
          tokens += record->tokens;
          first_us = MIN (first_us, record->start_us);
          last_us = MAX (last_us, record->end_us);
        }
    }
  load_print_figure ("other_p99_before_ms", load_quantile (before, 0.99),
                     "ms");
  load_print_figure ("other_p99_during_ms", load_quantile (during, 0.99),
                     "ms");
  load_print_figure (
      "other_p99_ratio",
      load_quantile (during, 0.99) / load_quantile (before, 0.99), "ratio");
  load_print_figure ("other_refused", (double)other_refused, "requests");
  load_print_figure ("surging_refused", (double)surging_refused, "requests");
  load_print_figure ("surging_told_when",
                     surging_refused ? (double)refused_with_reason
                                           / (double)surging_refused
                                     : 1,
                     "ratio");
  if (last_us > first_us)
    load_print_figure ("goodput_tokens_per_s",
                       (double)tokens * 1e6 / (double)(last_us - first_us),
                       "tokens/s");
}

/* Silences that callers saw in answers that were whole in the end.  */
static void
report_silences (const struct context *context)
{
  GArray *silences_ms = g_array_new (FALSE, FALSE, sizeof (double));

  report_chats (context);
  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);
      double silence_ms = (double)record->max_gap_us / US_PER_MS;

      if (record->max_gap_us > SILENCE_MIN_US)
        g_array_append_val (silences_ms, silence_ms);
    }
  load_print_figure ("silences", silences_ms->len, "answers");
  load_print_figure ("silence_to_recovery_p99_ms",
                     load_quantile (silences_ms, 0.99), "ms");
}

/* Checks the history of keyed calls against a sequential model of each key:
   it runs at most once; "not run" is told only to requests that did not run;
   once an answer was given, every later repeat gets the same answer or is
   told that the record cannot be reached, never something else.  */
static void
report_at_most_once (const struct context *context)
{
  int64_t ran_twice = 0;
  int64_t ran_keys = 0;
  GHashTable *executed = executed_requests (context, &ran_twice, &ran_keys);
  GArray *records = context->records;
  int64_t wrong_not_run = 0;
  int64_t lost_answers = 0;
  int64_t unknown_outcomes = 0;
  int64_t keys = 0;
  int64_t ledger_refusals = 0;
  GArray *latency_ms = g_array_new (FALSE, FALSE, sizeof (double));
  GArray *refusal_ms = g_array_new (FALSE, FALSE, sizeof (double));

  g_array_sort (records, compare_key_and_end);
  for (guint i = 0; i < records->len;)
    {
      const struct load_record *first
          = &g_array_index (records, struct load_record, i);
      int64_t first_response_us = 0;
      uint64_t response_hash = 0;
      int may_have_run = 0;

      keys++;
      for (; i < records->len; i++)
        {
          const struct load_record *record
              = &g_array_index (records, struct load_record, i);
          double elapsed_ms
              = (double)(record->end_us - record->start_us) / US_PER_MS;

          if (strcmp (record->key, first->key) != 0)
            break;
          if (record->execution == LOAD_NOT_RUN
              && g_hash_table_contains (executed, record->request_id))
            wrong_not_run++;
          if (record->execution == LOAD_MAY_HAVE_RUN || record->status == 0)
            may_have_run = 1;
          if (strcmp (record->code, "ledger_down") == 0)
            {
              ledger_refusals++;
              g_array_append_val (refusal_ms, elapsed_ms);
            }
          if (first_response_us != 0 && record->start_us > first_response_us
              && ((record->complete && record->body_hash != response_hash)
                  || record->execution == LOAD_MAY_HAVE_RUN))
            lost_answers++;
          if (record->complete)
            {
              g_array_append_val (latency_ms, elapsed_ms);
              first_response_us
                  = first_response_us ? first_response_us : record->end_us;
              response_hash
                  = response_hash ? response_hash : record->body_hash;
            }
        }
      if (first_response_us == 0 && may_have_run)
        unknown_outcomes++;
    }
  load_print_figure ("keys", (double)keys, "keys");
  load_print_figure ("keys_ran", (double)ran_keys, "keys");
  load_print_figure ("ran_twice", (double)ran_twice, "keys");
  load_print_figure ("told_not_run_but_ran", (double)wrong_not_run, "answers");
  load_print_figure ("answers_lost", (double)lost_answers, "answers");
  load_print_figure ("unknown_share",
                     keys ? (double)unknown_outcomes / (double)keys : 0,
                     "ratio");
  load_print_figure ("refused_while_platform_down", (double)ledger_refusals,
                     "answers");
  load_print_figure ("refused_while_platform_down_p99_ms",
                     load_quantile (refusal_ms, 0.99), "ms");
  print_p50_p99 ("call", latency_ms, "ms");
  g_hash_table_destroy (executed);
}

/* Plain calls that may be repeated.  */
static void
report_plain_calls (const struct context *context)
{
  json_t *json
      = context->services ? json_loads (context->services, 0, NULL) : NULL;
  int64_t complete = 0;
  guint count = context->records->len;

  for (guint i = 0; i < count; i++)
    complete
        += g_array_index (context->records, struct load_record, i).complete;
  load_print_figure ("plain_requests", count, "requests");
  load_print_figure ("plain_whole_answers",
                     count ? (double)complete / (double)count : 0, "ratio");
  if (count > 0)
    load_print_figure (
        "plain_amplification",
        (double)json_integer_value (json_object_get (json, "calls")) / count,
        "ratio");
  json_decref (json);
}

/* Latency and rate of a closed loop.  */
static void
report_closed_loop (const struct context *context)
{
  GArray *latency_ms = g_array_new (FALSE, FALSE, sizeof (double));
  int64_t first_us = INT64_MAX;
  int64_t last_us = 0;
  int64_t tokens = 0;

  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);
      double elapsed_ms
          = (double)(record->end_us - record->start_us) / US_PER_MS;

      if (!record->complete)
        continue;
      g_array_append_val (latency_ms, elapsed_ms);
      tokens += record->tokens_received;
      first_us = MIN (first_us, record->start_us);
      last_us = MAX (last_us, record->end_us);
    }
  print_p50_p99 ("latency", latency_ms, "ms");
  if (last_us > first_us)
    {
      load_print_figure ("rate",
                         latency_ms->len * 1e6 / (double)(last_us - first_us),
                         "requests/s");
      load_print_figure ("token_rate",
                         (double)tokens * 1e6 / (double)(last_us - first_us),
                         "tokens/s");
    }
  load_print_figure ("failed", context->records->len - latency_ms->len,
                     "requests");
}

/* Lists how requests ended that have no whole answer.  */
static void
report_failures (const struct context *context)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);
      char *name;

      if (record->complete)
        continue;
      name = g_strdup_printf (
          "status=%d code=%s cut=%d got=%ld/%ld", record->status, record->code,
          record->cut, (long)record->tokens_received, (long)record->tokens);
      value = g_hash_table_lookup (counts, name);
      g_hash_table_replace (counts, name,
                            GINT_TO_POINTER (GPOINTER_TO_INT (value) + 1));
    }
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    printf ("failure %d %s\n", GPOINTER_TO_INT (value), (char *)key);
  g_hash_table_destroy (counts);
}

/* Lists the cut answers: where, and when in milliseconds of the clock.  */
static void
report_cuts (const struct context *context)
{
  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);

      if (record->cut)
        printf ("cut %" PRId64 " instance %d got %" PRId64 "/%" PRId64 " %s\n",
                record->end_us / 1000, record->instance,
                record->tokens_received, record->tokens, record->request_id);
    }
}

/* Prints the median and the 99th percentile of VALUES.  */
static void
print_p50_p99 (const char *name, GArray *values, const char *unit)
{
  char text[64];

  g_snprintf (text, sizeof text, "%s_p50_%s", name, unit);
  load_print_figure (text, load_quantile (values, 0.5), unit);
  g_snprintf (text, sizeof text, "%s_p99_%s", name, unit);
  load_print_figure (text, load_quantile (values, 0.99), unit);
}

/* Returns how many streams the engines started.  */
static int64_t
count_engine_streams (const struct context *context)
{
  json_t *json = json_loads (context->engines, 0, NULL);
  json_t *execution;
  size_t i;
  int64_t count = 0;

  json_array_foreach (json_object_get (json, "runs"), i, execution)
  {
    int64_t at = json_integer_value (json_object_get (execution, "t"));

    if (at >= context->options->from_ms && at <= context->options->until_ms)
      count++;
  }
  json_decref (json);
  return count;
}

/* Returns the set of request identifiers that the services executed, and
   counts the keys and those that ran twice.  */
static GHashTable *
executed_requests (const struct context *context, int64_t *ran_twice,
                   int64_t *keys)
{
  json_t *json = json_loads (context->services, 0, NULL);
  GHashTable *set
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  const char *key;
  json_t *list;

  json_object_foreach (json_object_get (json, "executions"), key, list)
  {
    json_t *id;
    size_t i;

    (*keys)++;
    if (json_array_size (list) > 1)
      (*ran_twice)++;
    json_array_foreach (list, i, id)
        g_hash_table_add (set, g_strdup (json_string_value (id)));
  }
  json_decref (json);
  return set;
}

/* Returns whether RECORD began in the time that the report is about.  */
static int
in_window (const struct context *context, const struct load_record *record)
{
  int64_t at = record->start_us / US_PER_MS;

  return at >= context->options->from_ms && at <= context->options->until_ms;
}

/* Returns the times to the first token of customers from FROM_CUSTOMER on,
   before or during the surge.  */
static GArray *
times_to_first_token_ms (const struct context *context, int from_customer,
                         int surging)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < context->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (context->records, struct load_record, i);
      int during
          = record->start_us / US_PER_MS >= context->options->surge_at_ms;
      double elapsed_ms
          = (double)(record->first_us - record->start_us) / US_PER_MS;

      if (record->customer >= from_customer && during == surging
          && record->first_us > 0)
        g_array_append_val (values, elapsed_ms);
    }
  return values;
}

/* Orders records by key, then by their end.  */
static gint
compare_key_and_end (gconstpointer a, gconstpointer b)
{
  const struct load_record *left = a;
  const struct load_record *right = b;
  int order = strcmp (left->key, right->key);

  if (order != 0)
    return order;
  return (left->end_us > right->end_us) - (left->end_us < right->end_us);
}
