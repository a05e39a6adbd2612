/* Reports: figures of one run, and checks of its history. */
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
  SILENCE_MIN_US = 400000 /* shorter gaps do not count as silences */
};

struct report_input
{
  const struct load_options *options;
  GArray *records;
  char *engines;  /* history of the engines, or NULL */
  char *services; /* history of the services, or NULL */
  char *platform; /* history of the platform, or NULL */
};

typedef void (*report_fn) (const struct report_input *report_input);

static void report_chats (const struct report_input *report_input);
static void report_reuse (const struct report_input *report_input);
static void report_skew (const struct report_input *report_input);
static void report_surge (const struct report_input *report_input);
static void report_silences (const struct report_input *report_input);
static void report_at_most_once (const struct report_input *report_input);
static void report_plain_calls (const struct report_input *report_input);
static void report_closed_loop (const struct report_input *report_input);
static void report_failures (const struct report_input *report_input);
static void report_cuts (const struct report_input *report_input);
static void print_p50_p99 (const char *name, GArray *values, const char *unit);
static int64_t count_engine_streams (const struct report_input *report_input);
static GHashTable *executed_requests (const struct report_input *report_input,
                                      int64_t *ran_twice, int64_t *keys);
static int in_window (const struct report_input *report_input,
                      const struct load_record *record);
static GArray *times_to_first_byte_ms (const struct report_input *report_input,
                                       int from_customer, int surging);
static gint compare_key_and_end (gconstpointer a, gconstpointer b);

static const struct
{
  const char *name;
  report_fn report;
} reports[] = {
  { "chats", report_chats },       { "reuse", report_reuse },
  { "skew", report_skew },         { "surge", report_surge },
  { "gaps", report_silences },     { "once", report_at_most_once },
  { "plain", report_plain_calls }, { "speed", report_closed_loop },
  { "failures", report_failures }, { "cuts", report_cuts },
};

/* Prints the figures of report NAME.  Returns 0, or -1 if there is no such
   report.  The ports are the control ports of the fake servers; 0: not
   used.  */
int
load_report (const char *name, const struct load_options *options,
             GArray *records, int engine_port, int service_port,
             int platform_port)
{
  struct report_input report_input
      = { .options = options, .records = records };

  if (engine_port > 0)
    report_input.engines = load_http_get (engine_port, "/history");
  if (service_port > 0)
    report_input.services = load_http_get (service_port, "/history");
  if (platform_port > 0)
    report_input.platform = load_http_get (platform_port, "/control/history");
  for (size_t i = 0; i < G_N_ELEMENTS (reports); i++)
    if (strcmp (name, reports[i].name) == 0)
      {
        reports[i].report (&report_input);
        g_free (report_input.engines);
        g_free (report_input.services);
        g_free (report_input.platform);
        return 0;
      }
  return -1;
}

void
load_print_figure (const char *name, double value, const char *unit)
{
  printf ("figure %s %.6g %s\n", name, value, unit);
}

/* Reports whether each chat got a complete response with its own tokens only,
   and how many streams the engines started per request.  */
static void
report_chats (const struct report_input *report_input)
{
  int64_t complete = 0;
  int64_t crossed = 0;
  int64_t out_of_order = 0;
  int64_t cut = 0;
  int64_t count = 0;

  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);

      if (!in_window (report_input, record))
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
  if (report_input->engines != NULL && count > 0)
    load_print_figure (
        "amplification",
        (double)count_engine_streams (report_input) / (double)count, "ratio");
}

/* Reports the reuse of cached contexts, compared with other policies.  */
static void
report_reuse (const struct report_input *report_input)
{
  report_chats (report_input);
  load_report_policies (report_input->options, report_input->records,
                        report_input->engines, 0);
}

/* Reports the loads sampled at the engines and the violations of the load
   bound, compared with other policies.  */
static void
report_skew (const struct report_input *report_input)
{
  json_t *json = json_loads (report_input->engines, 0, NULL);
  GArray *changes = load_read_engine_changes (report_input->options->events);
  GArray *ratios = g_array_new (FALSE, FALSE, sizeof (double));
  int64_t violations = 0;
  int64_t max_excess = 0;
  json_t *sample;
  size_t i;

  json_array_foreach (json_object_get (json, "samples"), i, sample)
  {
    int64_t at_ms = json_integer_value (json_array_get (sample, 0));
    int64_t total = 0;
    int64_t highest = 0;
    int count = 0;
    double mean;
    double ratio;

    if (at_ms < report_input->options->from_ms
        || at_ms > report_input->options->until_ms)
      continue;
    for (size_t j = 1; j < json_array_size (sample); j++)
      {
        int64_t load = json_integer_value (json_array_get (sample, j));

        if (!load_engine_up (changes, (int)j - 1, at_ms))
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
    if (highest > ceil (report_input->options->load_factor * mean - 1e-9))
      {
        violations++;
        max_excess
            = MAX (max_excess,
                   highest
                       - (int64_t)ceil (
                           report_input->options->load_factor * mean - 1e-9));
      }
  }
  load_print_figure ("samples", ratios->len, "samples");
  load_print_figure ("bound_violations", (double)violations, "samples");
  load_print_figure ("bound_excess_max", (double)max_excess, "requests");
  load_print_figure ("skew_max_over_mean_p99", load_quantile (ratios, 0.99),
                     "ratio");
  json_decref (json);
  report_chats (report_input);
  load_report_policies (report_input->options, report_input->records,
                        report_input->engines, 1);
}

/* Reports the effect of a surge of customers 0 to 2 on the others, and the
   share of the refused requests of those three whose response has an error
   code and a Retry-After header.  */
static void
report_surge (const struct report_input *report_input)
{
  GArray *before = times_to_first_byte_ms (report_input, 3, 0);
  GArray *during = times_to_first_byte_ms (report_input, 3, 1);
  int64_t other_refused = 0;
  int64_t surging_refused = 0;
  int64_t refused_with_reason = 0;
  int64_t tokens = 0;
  int64_t first_us = INT64_MAX;
  int64_t last_us = 0;

  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);

      if (!record->complete && record->customer >= 3)
        other_refused++;
      if (!record->complete && record->customer < 3)
        {
          surging_refused++;
          refused_with_reason
              += record->retry_after_s > 0 && record->code[0] != '\0';
        }
      if (record->start_us / US_PER_MS >= report_input->options->surge_at_ms
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

/* Reports the number of responses with a gap longer than SILENCE_MIN_US, and
   the 99th percentile of the longest gap of each.  */
static void
report_silences (const struct report_input *report_input)
{
  GArray *silences_ms = g_array_new (FALSE, FALSE, sizeof (double));

  report_chats (report_input);
  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);
      double silence_ms = (double)record->max_gap_us / US_PER_MS;

      if (record->max_gap_us > SILENCE_MIN_US)
        g_array_append_val (silences_ms, silence_ms);
    }
  load_print_figure ("silences", silences_ms->len, "answers");
  load_print_figure ("silence_to_recovery_p99_ms",
                     load_quantile (silences_ms, 0.99), "ms");
}

/* Checks the history of keyed calls against a sequential model of each key.
   The call runs at most once.  Only requests that did not run may be reported
   as not run.  After a complete response, each later repeat gets the same
   response or an error stating that the ledger cannot be reached; a
   different response or "may have run" is a fault.  */
static void
report_at_most_once (const struct report_input *report_input)
{
  int64_t ran_twice = 0;
  int64_t ran_keys = 0;
  GHashTable *executed
      = executed_requests (report_input, &ran_twice, &ran_keys);
  GArray *records = report_input->records;
  int64_t wrong_not_run = 0;
  int64_t lost_responses = 0;
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
            lost_responses++;
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
  load_print_figure ("answers_lost", (double)lost_responses, "answers");
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

/* Reports calls without an idempotency key, which an instance may send to
   targets more than once.  */
static void
report_plain_calls (const struct report_input *report_input)
{
  json_t *json = report_input->services
                     ? json_loads (report_input->services, 0, NULL)
                     : NULL;
  int64_t complete = 0;
  guint count = report_input->records->len;

  for (guint i = 0; i < count; i++)
    complete += g_array_index (report_input->records, struct load_record, i)
                    .complete;
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

/* Reports latency and throughput of a closed loop.  */
static void
report_closed_loop (const struct report_input *report_input)
{
  GArray *latency_ms = g_array_new (FALSE, FALSE, sizeof (double));
  int64_t first_us = INT64_MAX;
  int64_t last_us = 0;
  int64_t tokens = 0;

  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);
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
  load_print_figure ("failed", report_input->records->len - latency_ms->len,
                     "requests");
}

/* Lists the outcomes of requests without a complete response, with counts.  */
static void
report_failures (const struct report_input *report_input)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);
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

/* Lists the responses that were cut off, with their instance and their end in
   milliseconds of the monotonic clock.  */
static void
report_cuts (const struct report_input *report_input)
{
  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);

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

/* Returns the number of streams that the engines started in the window of the
   report.  */
static int64_t
count_engine_streams (const struct report_input *report_input)
{
  json_t *json = json_loads (report_input->engines, 0, NULL);
  json_t *execution;
  size_t i;
  int64_t count = 0;

  json_array_foreach (json_object_get (json, "runs"), i, execution)
  {
    int64_t at_ms = json_integer_value (json_object_get (execution, "t"));

    if (at_ms >= report_input->options->from_ms
        && at_ms <= report_input->options->until_ms)
      count++;
  }
  json_decref (json);
  return count;
}

/* Returns the set of identifiers of the requests that the services executed.
   Counts the KEYS executed, and in RAN_TWICE those executed more than once. */
static GHashTable *
executed_requests (const struct report_input *report_input, int64_t *ran_twice,
                   int64_t *keys)
{
  json_t *json = json_loads (report_input->services, 0, NULL);
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

/* Returns whether RECORD started in the window of the report.  */
static int
in_window (const struct report_input *report_input,
           const struct load_record *record)
{
  int64_t at_ms = record->start_us / US_PER_MS;

  return at_ms >= report_input->options->from_ms
         && at_ms <= report_input->options->until_ms;
}

/* Returns the times to the first byte of the responses to customers from
   FROM_CUSTOMER on, during the surge if SURGING, else before it.  */
static GArray *
times_to_first_byte_ms (const struct report_input *report_input,
                        int from_customer, int surging)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < report_input->records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (report_input->records, struct load_record, i);
      int during
          = record->start_us / US_PER_MS >= report_input->options->surge_at_ms;
      double elapsed_ms
          = (double)(record->first_us - record->start_us) / US_PER_MS;

      if (record->customer >= from_customer && during == surging
          && record->first_us > 0)
        g_array_append_val (values, elapsed_ms);
    }
  return values;
}

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
