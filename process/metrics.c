/* Counters and latency histograms of the process. */
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

static size_t family_length (const char *name);
static void print_histogram (GString *out, const char *name,
                             struct histogram *histogram);

static const char *const series_names[METRIC_COUNTER_COUNT] = {
  [METRIC_REQUESTS] = "ibisloom_requests_total",
  [METRIC_ANSWERED] = "ibisloom_answered_total",
  [METRIC_REFUSED_BAD_REQUEST]
  = "ibisloom_refused_total{reason=\"bad_request\"}",
  [METRIC_REFUSED_UNKNOWN_CUSTOMER]
  = "ibisloom_refused_total{reason=\"unknown_customer\"}",
  [METRIC_REFUSED_UNKNOWN_SERVICE]
  = "ibisloom_refused_total{reason=\"unknown_service\"}",
  [METRIC_REFUSED_MISSING_KEY]
  = "ibisloom_refused_total{reason=\"missing_key\"}",
  [METRIC_REFUSED_KEY_REUSED]
  = "ibisloom_refused_total{reason=\"key_reused\"}",
  [METRIC_REFUSED_TOO_LARGE] = "ibisloom_refused_total{reason=\"too_large\"}",
  [METRIC_REFUSED_NO_TARGET] = "ibisloom_refused_total{reason=\"no_target\"}",
  [METRIC_REFUSED_CAPACITY] = "ibisloom_refused_total{reason=\"capacity\"}",
  [METRIC_REFUSED_CUSTOMER_SHARE]
  = "ibisloom_refused_total{reason=\"customer_share\"}",
  [METRIC_REFUSED_RETRY_BUDGET]
  = "ibisloom_refused_total{reason=\"retry_budget\"}",
  [METRIC_REFUSED_DEADLINE] = "ibisloom_refused_total{reason=\"deadline\"}",
  [METRIC_REFUSED_LEDGER_DOWN]
  = "ibisloom_refused_total{reason=\"ledger_down\"}",
  [METRIC_REFUSED_IN_PROGRESS]
  = "ibisloom_refused_total{reason=\"in_progress\"}",
  [METRIC_REFUSED_MAY_HAVE_RUN]
  = "ibisloom_refused_total{reason=\"may_have_run\"}",
  [METRIC_REFUSED_STOPPING] = "ibisloom_refused_total{reason=\"stopping\"}",
  [METRIC_REFUSED_NOT_READY] = "ibisloom_refused_total{reason=\"not_ready\"}",
  [METRIC_REFUSED_TARGETS_FAILED]
  = "ibisloom_refused_total{reason=\"targets_failed\"}",
  [METRIC_REFUSED_TARGET_FULL]
  = "ibisloom_refused_total{reason=\"target_full\"}",
  [METRIC_REFUSED_QUARANTINED]
  = "ibisloom_refused_total{reason=\"quarantined\"}",
  [METRIC_REFUSED_RATE] = "ibisloom_refused_total{reason=\"rate_limit\"}",
  [METRIC_REFUSED_ORIGIN]
  = "ibisloom_refused_total{reason=\"origin_unknown\"}",
  [METRIC_REFUSED_VERSION_GONE]
  = "ibisloom_refused_total{reason=\"version_gone\"}",
  [METRIC_REFUSED_HOP] = "ibisloom_refused_total{reason=\"hop_refused\"}",
  [METRIC_REFUSED_EVACUATED] = "ibisloom_refused_total{reason=\"evacuated\"}",
  [METRIC_REFUSED_OVER_SHARE]
  = "ibisloom_refused_total{reason=\"over_share\"}",
  [METRIC_REFUSED_QUEUE_FULL]
  = "ibisloom_refused_total{reason=\"queue_full\"}",
  [METRIC_REFUSED_PAUSED] = "ibisloom_refused_total{reason=\"paused\"}",
  [METRIC_REFUSED_QUEUE_LATE]
  = "ibisloom_refused_total{reason=\"queue_late\"}",
  [METRIC_REFUSED_NO_CONNECTION]
  = "ibisloom_refused_total{reason=\"no_connection\"}",
  [METRIC_RETRY_CONNECT] = "ibisloom_retries_total{reason=\"connect\"}",
  [METRIC_RETRY_STATUS] = "ibisloom_retries_total{reason=\"status\"}",
  [METRIC_RETRY_DISCONNECTED] = "ibisloom_retries_total{reason=\"broken\"}",
  [METRIC_RETRY_READ_TIMEOUT] = "ibisloom_retries_total{reason=\"silent\"}",
  [METRIC_RETRY_RESUME] = "ibisloom_retries_total{reason=\"resume\"}",
  [METRIC_RETRY_RESTART] = "ibisloom_retries_total{reason=\"restart\"}",
  [METRIC_RETRY_INVALID_RESPONSE]
  = "ibisloom_retries_total{reason=\"wrong_answer\"}",
  [METRIC_RETRY_UNREAD] = "ibisloom_retries_total{reason=\"unread\"}",
  [METRIC_RESUMED_OWN] = "ibisloom_resumed_total{origin=\"own\"}",
  [METRIC_RESUMED_PEER] = "ibisloom_resumed_total{origin=\"peer\"}",
  [METRIC_RESUMED_STORED] = "ibisloom_resumed_total{origin=\"stored\"}",
  [METRIC_RESUMED_ONLY_VERSION]
  = "ibisloom_resumed_total{origin=\"only_version\"}",
  [METRIC_RESUMED_PRIOR_VERSION]
  = "ibisloom_resumed_total{origin=\"prior_version\"}",
  [METRIC_CUT_RESPONSES] = "ibisloom_cut_responses_total",
  [METRIC_EXTRA_INPUT] = "ibisloom_extra_input_total",
  [METRIC_MISMATCHED_RESPONSES] = "ibisloom_crossed_dropped_total",
  [METRIC_CLIENT_DISCONNECTED] = "ibisloom_client_gone_total",
  [METRIC_CLIENTS_SLOWED] = "ibisloom_clients_slowed_total",
  [METRIC_CLIENTS_GIVEN_UP] = "ibisloom_clients_given_up_total",
  [METRIC_ATTEMPTS] = "ibisloom_tries_total",
  [METRIC_PLACED_HOME] = "ibisloom_placed_total{by=\"home\"}",
  [METRIC_PLACED_NOTE] = "ibisloom_placed_total{by=\"note\"}",
  [METRIC_PLACED_NEXT_HOME] = "ibisloom_placed_total{by=\"walk\"}",
  [METRIC_PLACED_WITHOUT_GRANT] = "ibisloom_placed_total{by=\"unowned\"}",
  [METRIC_PLACED_LEAST_LOADED] = "ibisloom_placed_total{by=\"least_loaded\"}",
  [METRIC_PLACED_TRIAL] = "ibisloom_placed_total{by=\"trial\"}",
  [METRIC_PLACED_BUSY] = "ibisloom_placed_past_busy_total",
  [METRIC_LISTED_PLACED] = "ibisloom_context_lists_placed_total",
  [METRIC_LISTS_READ] = "ibisloom_context_lists_read_total",
  [METRIC_LISTS_FAILED] = "ibisloom_context_lists_failed_total",
  [METRIC_HOPS_SENT] = "ibisloom_hops_sent_total",
  [METRIC_HOPS_RECEIVED] = "ibisloom_hops_received_total",
  [METRIC_HOPS_ABANDONED] = "ibisloom_hops_abandoned_total",
  [METRIC_HOPS_REFUSED] = "ibisloom_hops_refused_total",
  [METRIC_CUT_OFF] = "ibisloom_cut_off_total",
  [METRIC_ROOM_REJECTIONS] = "ibisloom_room_rejections_total",
  [METRIC_ROOMS_LEARNED] = "ibisloom_rooms_learned_total",
  [METRIC_LOAD_RELAY_FORWARDED]
  = "ibisloom_load_relay_updates_total{result=\"forwarded\"}",
  [METRIC_LOAD_RELAY_LIMITED]
  = "ibisloom_load_relay_updates_total{result=\"over_limit\"}",
  [METRIC_LOAD_RELAY_APPLIED]
  = "ibisloom_load_relay_updates_total{result=\"applied\"}",
  [METRIC_LOAD_RELAY_OLD]
  = "ibisloom_load_relay_updates_total{result=\"old\"}",
  [METRIC_LOAD_RELAY_UNKNOWN]
  = "ibisloom_load_relay_updates_total{result=\"unknown_origin\"}",
  [METRIC_PACES_BEGUN] = "ibisloom_paces_total{event=\"begun\"}",
  [METRIC_PACES_REDUCED] = "ibisloom_paces_total{event=\"reduced\"}",
  [METRIC_PACES_ENDED] = "ibisloom_paces_total{event=\"ended\"}",
  [METRIC_LEAVES_SEEN] = "ibisloom_leaving_notices_total{from=\"response\"}",
  [METRIC_LEAVES_TOLD] = "ibisloom_leaving_notices_total{from=\"peer\"}",
  [METRIC_PAUSES_BEGUN] = "ibisloom_pauses_total{event=\"begun\"}",
  [METRIC_PAUSES_CAPPED] = "ibisloom_pauses_total{event=\"capped\"}",
  [METRIC_PAUSES_ENDED] = "ibisloom_pauses_total{event=\"ended\"}",
  [METRIC_PACED_OUT] = "ibisloom_pace_ignored_total",
  [METRIC_OVER_BOUND] = "ibisloom_over_bound_total",
  [METRIC_DENIED_RATE]
  = "ibisloom_admission_denied_total{reason=\"rate_limit\"}",
  [METRIC_DENIED_PAUSED]
  = "ibisloom_admission_denied_total{reason=\"paused\"}",
  [METRIC_DENIED_EVACUATED]
  = "ibisloom_admission_denied_total{reason=\"evacuated\"}",
  [METRIC_DENIED_BOUND] = "ibisloom_admission_denied_total{reason=\"bound\"}",
  [METRIC_DENIED_CAPACITY]
  = "ibisloom_admission_denied_total{reason=\"capacity\"}",
  [METRIC_DENIED_SHARE] = "ibisloom_admission_denied_total{reason=\"share\"}",
  [METRIC_DENIED_DOWN] = "ibisloom_admission_denied_total{reason=\"down\"}",
  [METRIC_DENIED_LEAVING]
  = "ibisloom_admission_denied_total{reason=\"leaving\"}",
  [METRIC_ADMISSION_LOCAL] = "ibisloom_ask_local_total",
  [METRIC_ADMISSION_REMOTE] = "ibisloom_ask_remote_total",
  [METRIC_ADMISSION_TIMEOUT] = "ibisloom_ask_timeout_total",
  [METRIC_GRANTS_RECONCILED] = "ibisloom_hold_repaired_total",
  [METRIC_QUEUED] = "ibisloom_queued_total",
  [METRIC_REPLAYED_RESPONSE] = "ibisloom_replayed_answer_total",
  [METRIC_LEDGER_CLAIMS] = "ibisloom_ledger_claims_total",
  [METRIC_LEDGER_OUTCOMES] = "ibisloom_ledger_outcomes_total",
  [METRIC_LEDGER_WRITES] = "ibisloom_ledger_writes_total",
  [METRIC_LEDGER_CONFLICTS] = "ibisloom_ledger_conflicts_total",
  [METRIC_LEDGER_INDETERMINATE] = "ibisloom_ledger_unsure_total",
  [METRIC_LEDGER_READS] = "ibisloom_ledger_reads_total",
  [METRIC_LEDGER_TAKEOVERS] = "ibisloom_ledger_takeovers_total",
  [METRIC_CONFIG_ADOPTED] = "ibisloom_versions_adopted_total",
  [METRIC_CONFIG_REJECTED] = "ibisloom_versions_rejected_total",
  [METRIC_CONFIG_STALE] = "ibisloom_versions_stale_total",
  [METRIC_CONFIG_FROM_PEER] = "ibisloom_versions_from_peer_total",
  [METRIC_PLATFORM_READS] = "ibisloom_platform_calls_total{kind=\"reads\"}",
  [METRIC_PLATFORM_WRITES] = "ibisloom_platform_calls_total{kind=\"writes\"}",
  [METRIC_PLATFORM_WATCHES]
  = "ibisloom_platform_calls_total{kind=\"watches\"}",
  [METRIC_PLATFORM_ERRORS] = "ibisloom_platform_errors_total",
  [METRIC_STORE_RESTORED] = "ibisloom_store_restored_total",
  [METRIC_WATCH_CHECKS] = "ibisloom_watch_checks_total",
  [METRIC_INCARNATIONS_RAISED] = "ibisloom_incarnations_raised_total",
  [METRIC_EVACUATIONS_READ_AGAIN] = "ibisloom_evacuations_read_again_total",
  [METRIC_CONFIG_PACED] = "ibisloom_config_paced_total",
  [METRIC_DELTA_REFUSED] = "ibisloom_config_delta_refused_total",
  [METRIC_STORE_UNREADABLE] = "ibisloom_store_unreadable_total",
  [METRIC_ORIGIN_READS] = "ibisloom_origin_calls_total{call=\"read\"}",
  [METRIC_ORIGIN_WRITES] = "ibisloom_origin_calls_total{call=\"write\"}",
  [METRIC_ORIGIN_FAILURES] = "ibisloom_origin_calls_failed_total",
  [METRIC_SENT_HEARTBEAT_BYTES]
  = "ibisloom_control_bytes_total{kind=\"heartbeat\"}",
  [METRIC_SENT_ADMISSION_REQUEST_BYTES]
  = "ibisloom_control_bytes_total{kind=\"ask\"}",
  [METRIC_SENT_ADMISSION_ANSWER_BYTES]
  = "ibisloom_control_bytes_total{kind=\"answer\"}",
  [METRIC_SENT_RELEASE_BYTES]
  = "ibisloom_control_bytes_total{kind=\"release\"}",
  [METRIC_SENT_HOLD_BYTES] = "ibisloom_control_bytes_total{kind=\"hold\"}",
  [METRIC_SENT_NOTE_BYTES] = "ibisloom_control_bytes_total{kind=\"note\"}",
  [METRIC_SENT_CONFIG_BYTES] = "ibisloom_control_bytes_total{kind=\"config\"}",
  [METRIC_SENT_LEDGER_BYTES] = "ibisloom_control_bytes_total{kind=\"ledger\"}",
  [METRIC_BUDGET_DROPPED] = "ibisloom_budget_dropped_total",
  [METRIC_UDP_BAD_MAC]
  = "ibisloom_datagrams_dropped_total{reason=\"bad_mac\"}",
  [METRIC_UDP_MALFORMED]
  = "ibisloom_datagrams_dropped_total{reason=\"bad_form\"}",
  [METRIC_UDP_VERSION_MISMATCH]
  = "ibisloom_datagrams_dropped_total{reason=\"old_version\"}",
  [METRIC_UDP_REPLAYED]
  = "ibisloom_datagrams_dropped_total{reason=\"replayed\"}",
  [METRIC_UDP_DUPLICATE_ID]
  = "ibisloom_datagrams_dropped_total{reason=\"foreign\"}",
  [METRIC_PEER_DENIED] = "ibisloom_peer_denied_total",
  [METRIC_OPERATOR_DENIED] = "ibisloom_operator_denied_total",
};

static const char *const histogram_names[METRIC_HISTOGRAM_COUNT] = {
  [METRIC_HIST_FIRST_BYTE_MS] = "ibisloom_first_byte_ms",
  [METRIC_HIST_TOTAL_MS] = "ibisloom_total_ms",
  [METRIC_HIST_LEDGER_MS] = "ibisloom_ledger_ms",
  [METRIC_HIST_PLACE_MS] = "ibisloom_place_ms",
  [METRIC_HIST_WAIT_MS] = "ibisloom_queue_wait_ms",
};

static const int64_t bucket_bounds_ms[BUCKET_COUNT] = {
  0, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 30000
};

static struct counter counters[METRIC_COUNTER_COUNT];
static struct histogram histograms[METRIC_HISTOGRAM_COUNT];

void
metric_add (enum metric_counter counter, uint64_t n)
{
  ck_pr_add_64 (&counters[counter].value, n);
}

void
metric_inc (enum metric_counter counter)
{
  ck_pr_inc_64 (&counters[counter].value);
}

uint64_t
metric_get (enum metric_counter counter)
{
  return ck_pr_load_64 (&counters[counter].value);
}

/* Returns the name of COUNTER's series with its labels.  */
const char *
metric_name (enum metric_counter counter)
{
  return series_names[counter];
}

/* Records VALUE_MS, in milliseconds, in HISTOGRAM.  */
void
metric_observe (enum metric_histogram histogram, int64_t value_ms)
{
  struct histogram *h = &histograms[histogram];
  int i = 0;

  while (i < BUCKET_COUNT && value_ms > bucket_bounds_ms[i])
    i++;
  ck_pr_inc_64 (&h->bucket[i]);
  ck_pr_add_64 (&h->sum_ms, (uint64_t)(value_ms > 0 ? value_ms : 0));
}

/* Appends all series to OUT in the Prometheus text exposition format.  */
void
metric_print_all (GString *out)
{
  const char *previous = "";

  for (int i = 0; i < METRIC_COUNTER_COUNT; i++)
    {
      size_t length = family_length (series_names[i]);

      if (length != family_length (previous)
          || strncmp (series_names[i], previous, length) != 0)
        g_string_append_printf (out, "# TYPE %.*s counter\n", (int)length,
                                series_names[i]);
      previous = series_names[i];
      g_string_append_printf (out, "%s %" G_GUINT64_FORMAT "\n",
                              series_names[i],
                              metric_get ((enum metric_counter)i));
    }
  for (int i = 0; i < METRIC_HISTOGRAM_COUNT; i++)
    print_histogram (out, histogram_names[i], &histograms[i]);
}

/* Returns the length of the family in the series NAME, which ends before the
   labels.  */
static size_t
family_length (const char *name)
{
  return strcspn (name, "{");
}

/* Appends HISTOGRAM, called NAME, to OUT with cumulative buckets.  */
static void
print_histogram (GString *out, const char *name, struct histogram *histogram)
{
  uint64_t cumulative = 0;

  g_string_append_printf (out, "# TYPE %s histogram\n", name);
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      cumulative += ck_pr_load_64 (&histogram->bucket[i]);
      g_string_append_printf (
          out,
          "%s_bucket{le=\"%" G_GINT64_FORMAT "\"} %" G_GUINT64_FORMAT "\n",
          name, (gint64)bucket_bounds_ms[i], (guint64)cumulative);
    }
  cumulative += ck_pr_load_64 (&histogram->bucket[BUCKET_COUNT]);
  g_string_append_printf (
      out,
      "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum %" G_GUINT64_FORMAT
      "\n%s_count %" G_GUINT64_FORMAT "\n",
      name, (guint64)cumulative, name,
      (guint64)ck_pr_load_64 (&histogram->sum_ms), name, (guint64)cumulative);
}
