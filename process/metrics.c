/* Counters and latency histograms of one process. */
#include <string.h>

#include <ck_cc.h>
#include <ck_md.h>
#include <ck_pr.h>

#include "ibisloom/metrics.h"

enum
{
  BUCKET_COUNT = 16
};

struct counter
{
  uint64_t value;
} CK_CC_CACHELINE;

struct histogram
{
  uint64_t bucket[BUCKET_COUNT + 1];
  uint64_t sum_ms;
};

static size_t family_length (const char *series);
static void print_histogram (GString *out, const char *name,
                             struct histogram *histogram);

static const char *const series[MET_COUNTER_COUNT] = {
  [MET_REQUESTS] = "ibisloom_requests_total",
  [MET_ANSWERED] = "ibisloom_answered_total",
  [MET_REFUSED_BAD_REQUEST] = "ibisloom_refused_total{reason=\"bad_request\"}",
  [MET_REFUSED_UNKNOWN_CUSTOMER]
  = "ibisloom_refused_total{reason=\"unknown_customer\"}",
  [MET_REFUSED_UNKNOWN_SERVICE]
  = "ibisloom_refused_total{reason=\"unknown_service\"}",
  [MET_REFUSED_MISSING_KEY] = "ibisloom_refused_total{reason=\"missing_key\"}",
  [MET_REFUSED_KEY_REUSED] = "ibisloom_refused_total{reason=\"key_reused\"}",
  [MET_REFUSED_TOO_LARGE] = "ibisloom_refused_total{reason=\"too_large\"}",
  [MET_REFUSED_NO_TARGET] = "ibisloom_refused_total{reason=\"no_target\"}",
  [MET_REFUSED_CAPACITY] = "ibisloom_refused_total{reason=\"capacity\"}",
  [MET_REFUSED_CUSTOMER_SHARE]
  = "ibisloom_refused_total{reason=\"customer_share\"}",
  [MET_REFUSED_RETRY_BUDGET]
  = "ibisloom_refused_total{reason=\"retry_budget\"}",
  [MET_REFUSED_DEADLINE] = "ibisloom_refused_total{reason=\"deadline\"}",
  [MET_REFUSED_LEDGER_DOWN] = "ibisloom_refused_total{reason=\"ledger_down\"}",
  [MET_REFUSED_IN_PROGRESS] = "ibisloom_refused_total{reason=\"in_progress\"}",
  [MET_REFUSED_MAY_HAVE_RUN]
  = "ibisloom_refused_total{reason=\"may_have_run\"}",
  [MET_REFUSED_STOPPING] = "ibisloom_refused_total{reason=\"stopping\"}",
  [MET_REFUSED_NOT_READY] = "ibisloom_refused_total{reason=\"not_ready\"}",
  [MET_REFUSED_TARGETS_FAILED]
  = "ibisloom_refused_total{reason=\"targets_failed\"}",
  [MET_REFUSED_TARGET_FULL] = "ibisloom_refused_total{reason=\"target_full\"}",
  [MET_REFUSED_NO_CONNECTION]
  = "ibisloom_refused_total{reason=\"no_connection\"}",
  [MET_RETRY_CONNECT] = "ibisloom_retries_total{reason=\"connect\"}",
  [MET_RETRY_STATUS] = "ibisloom_retries_total{reason=\"status\"}",
  [MET_RETRY_BROKEN] = "ibisloom_retries_total{reason=\"broken\"}",
  [MET_RETRY_SILENT] = "ibisloom_retries_total{reason=\"silent\"}",
  [MET_RETRY_RESUME] = "ibisloom_retries_total{reason=\"resume\"}",
  [MET_RETRY_RESTART] = "ibisloom_retries_total{reason=\"restart\"}",
  [MET_RETRY_WRONG_ANSWER] = "ibisloom_retries_total{reason=\"wrong_answer\"}",
  [MET_CROSSED_DROPPED] = "ibisloom_crossed_dropped_total",
  [MET_CLIENT_GONE] = "ibisloom_client_gone_total",
  [MET_TRIES] = "ibisloom_tries_total",
  [MET_PLACED_HOME] = "ibisloom_placed_total{by=\"home\"}",
  [MET_PLACED_NOTE] = "ibisloom_placed_total{by=\"note\"}",
  [MET_PLACED_WALK] = "ibisloom_placed_total{by=\"walk\"}",
  [MET_PLACED_UNOWNED] = "ibisloom_placed_total{by=\"unowned\"}",
  [MET_PLACED_LEAST] = "ibisloom_placed_total{by=\"least_loaded\"}",
  [MET_PLACED_TRIAL] = "ibisloom_placed_total{by=\"trial\"}",
  [MET_DENIED_BOUND] = "ibisloom_admission_denied_total{reason=\"bound\"}",
  [MET_DENIED_CAPACITY]
  = "ibisloom_admission_denied_total{reason=\"capacity\"}",
  [MET_DENIED_SHARE] = "ibisloom_admission_denied_total{reason=\"share\"}",
  [MET_DENIED_DOWN] = "ibisloom_admission_denied_total{reason=\"down\"}",
  [MET_DENIED_LEAVING] = "ibisloom_admission_denied_total{reason=\"leaving\"}",
  [MET_ASK_LOCAL] = "ibisloom_ask_local_total",
  [MET_ASK_REMOTE] = "ibisloom_ask_remote_total",
  [MET_ASK_TIMEOUT] = "ibisloom_ask_timeout_total",
  [MET_HOLD_REPAIRED] = "ibisloom_hold_repaired_total",
  [MET_QUEUED] = "ibisloom_queued_total",
  [MET_REPLAYED_ANSWER] = "ibisloom_replayed_answer_total",
  [MET_LEDGER_CLAIMS] = "ibisloom_ledger_claims_total",
  [MET_LEDGER_OUTCOMES] = "ibisloom_ledger_outcomes_total",
  [MET_LEDGER_WRITES] = "ibisloom_ledger_writes_total",
  [MET_LEDGER_CONFLICTS] = "ibisloom_ledger_conflicts_total",
  [MET_LEDGER_UNSURE] = "ibisloom_ledger_unsure_total",
  [MET_LEDGER_READS] = "ibisloom_ledger_reads_total",
  [MET_LEDGER_TAKEOVERS] = "ibisloom_ledger_takeovers_total",
  [MET_CONFIG_ADOPTED] = "ibisloom_versions_adopted_total",
  [MET_CONFIG_REJECTED] = "ibisloom_versions_rejected_total",
  [MET_CONFIG_STALE] = "ibisloom_versions_stale_total",
  [MET_CONFIG_FROM_PEER] = "ibisloom_versions_from_peer_total",
  [MET_PLATFORM_READS] = "ibisloom_platform_calls_total{kind=\"reads\"}",
  [MET_PLATFORM_WRITES] = "ibisloom_platform_calls_total{kind=\"writes\"}",
  [MET_PLATFORM_WATCHES] = "ibisloom_platform_calls_total{kind=\"watches\"}",
  [MET_PLATFORM_ERRORS] = "ibisloom_platform_errors_total",
  [MET_SENT_HEARTBEAT_BYTES]
  = "ibisloom_control_bytes_total{kind=\"heartbeat\"}",
  [MET_SENT_ASK_BYTES] = "ibisloom_control_bytes_total{kind=\"ask\"}",
  [MET_SENT_ANSWER_BYTES] = "ibisloom_control_bytes_total{kind=\"answer\"}",
  [MET_SENT_RELEASE_BYTES] = "ibisloom_control_bytes_total{kind=\"release\"}",
  [MET_SENT_HOLD_BYTES] = "ibisloom_control_bytes_total{kind=\"hold\"}",
  [MET_SENT_NOTE_BYTES] = "ibisloom_control_bytes_total{kind=\"note\"}",
  [MET_SENT_CONFIG_BYTES] = "ibisloom_control_bytes_total{kind=\"config\"}",
  [MET_SENT_LEDGER_BYTES] = "ibisloom_control_bytes_total{kind=\"ledger\"}",
  [MET_BUDGET_DROPPED] = "ibisloom_budget_dropped_total",
  [MET_UDP_BAD_MAC] = "ibisloom_datagrams_dropped_total{reason=\"bad_mac\"}",
  [MET_UDP_BAD_FORM] = "ibisloom_datagrams_dropped_total{reason=\"bad_form\"}",
  [MET_UDP_OLD_VERSION]
  = "ibisloom_datagrams_dropped_total{reason=\"old_version\"}",
  [MET_UDP_REPLAYED] = "ibisloom_datagrams_dropped_total{reason=\"replayed\"}",
  [MET_UDP_FOREIGN] = "ibisloom_datagrams_dropped_total{reason=\"foreign\"}",
  [MET_PEER_DENIED] = "ibisloom_peer_denied_total",
  [MET_OPERATOR_DENIED] = "ibisloom_operator_denied_total",
};

static const char *const histogram_names[MET_HISTOGRAM_COUNT] = {
  [MET_HIST_FIRST_BYTE_MS] = "ibisloom_first_byte_ms",
  [MET_HIST_TOTAL_MS] = "ibisloom_total_ms",
  [MET_HIST_LEDGER_MS] = "ibisloom_ledger_ms",
  [MET_HIST_PLACE_MS] = "ibisloom_place_ms",
};

static const int64_t bounds_ms[BUCKET_COUNT] = {
  0, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 30000
};

static struct counter counters[MET_COUNTER_COUNT];
static struct histogram histograms[MET_HISTOGRAM_COUNT];

/* Adds N to COUNTER.  */
void
met_add (enum met_counter counter, uint64_t n)
{
  ck_pr_add_64 (&counters[counter].value, n);
}

/* Adds one to COUNTER.  */
void
met_inc (enum met_counter counter)
{
  ck_pr_inc_64 (&counters[counter].value);
}

/* Returns the value of COUNTER.  */
uint64_t
met_get (enum met_counter counter)
{
  return ck_pr_load_64 (&counters[counter].value);
}

/* Returns the name of COUNTER's series, labels included.  */
const char *
met_name (enum met_counter counter)
{
  return series[counter];
}

/* Records VALUE_MS milliseconds in HISTOGRAM.  */
void
met_observe (enum met_histogram histogram, int64_t value_ms)
{
  struct histogram *h = &histograms[histogram];
  int i = 0;

  while (i < BUCKET_COUNT && value_ms > bounds_ms[i])
    i++;
  ck_pr_inc_64 (&h->bucket[i]);
  ck_pr_add_64 (&h->sum_ms, (uint64_t)(value_ms > 0 ? value_ms : 0));
}

/* Appends all series to OUT in the text exposition format.  */
void
met_print (GString *out)
{
  const char *last = "";

  for (int i = 0; i < MET_COUNTER_COUNT; i++)
    {
      size_t length = family_length (series[i]);

      if (length != family_length (last)
          || strncmp (series[i], last, length) != 0)
        g_string_append_printf (out, "# TYPE %.*s counter\n", (int)length,
                                series[i]);
      last = series[i];
      g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n", series[i],
                              met_get ((enum met_counter)i));
    }
  for (int i = 0; i < MET_HISTOGRAM_COUNT; i++)
    print_histogram (out, histogram_names[i], &histograms[i]);
}

/* Returns the length of the family name that SERIES starts with.  */
static size_t
family_length (const char *name)
{
  return strcspn (name, "{");
}

/* Appends HISTOGRAM under NAME with cumulative buckets.  */
static void
print_histogram (GString *out, const char *name, struct histogram *histogram)
{
  uint64_t total = 0;

  g_string_append_printf (out, "# TYPE %s histogram\n", name);
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      total += ck_pr_load_64 (&histogram->bucket[i]);
      g_string_append_printf (out,
                              "%s_bucket{le=\"%" G_GINT64_FORMAT
                              "\"} %" G_GUINT64_FORMAT "\n",
                              name, (gint64)bounds_ms[i], (guint64)total);
    }
  total += ck_pr_load_64 (&histogram->bucket[BUCKET_COUNT]);
  g_string_append_printf (
      out,
      "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum %" G_GUINT64_FORMAT
      "\n%s_count %" G_GUINT64_FORMAT "\n",
      name, (guint64)total, name, (guint64)ck_pr_load_64 (&histogram->sum_ms),
      name, (guint64)total);
}
