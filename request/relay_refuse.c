/* Refusals: status codes and Retry-After times. */
#include "librelay.h"

enum
{
  RETRY_JITTER_DIVISOR = 2
};

/* A status of 429 or 503 guarantees that the request was not executed.  */
static const struct relay_refusal_rule refusals[RELAY_REFUSAL_COUNT] = {
  [RELAY_BAD_REQUEST] = { "bad_request", METRIC_REFUSED_BAD_REQUEST, 400, 0 },
  [RELAY_UNKNOWN_ROUTE]
  = { "unknown_route", METRIC_REFUSED_UNKNOWN_SERVICE, 404, 0 },
  [RELAY_UNKNOWN_KEY]
  = { "unknown_key", METRIC_REFUSED_UNKNOWN_CUSTOMER, 401, 0 },
  [RELAY_NOT_CONFIGURED]
  = { "not_configured", METRIC_REFUSED_NOT_READY, 503, 500 },
  [RELAY_STOPPING] = { "stopping", METRIC_REFUSED_STOPPING, 503, 100 },
  [RELAY_NO_TARGET] = { "no_target", METRIC_REFUSED_NO_TARGET, 503, 400 },
  [RELAY_ALL_FULL] = { "all_full", METRIC_REFUSED_CAPACITY, 503, 300 },
  [RELAY_TARGET_FULL]
  = { "target_full", METRIC_REFUSED_TARGET_FULL, 503, 150 },
  [RELAY_NO_CONNECTION]
  = { "no_connection", METRIC_REFUSED_NO_CONNECTION, 503, 200 },
  [RELAY_TARGET_FAILED]
  = { "target_failed", METRIC_REFUSED_TARGETS_FAILED, 502, 0 },
  [RELAY_DEADLINE] = { "deadline", METRIC_REFUSED_DEADLINE, 504, 0 },
  [RELAY_DEADLINE_UNSENT]
  = { "deadline_unsent", METRIC_REFUSED_DEADLINE, 503, 0 },
  [RELAY_RETRY_BUDGET]
  = { "retry_budget", METRIC_REFUSED_RETRY_BUDGET, 502, 0 },
  [RELAY_QUARANTINED]
  = { "quarantined", METRIC_REFUSED_QUARANTINED, 503, 60000 },
  [RELAY_EVACUATED] = { "evacuated", METRIC_REFUSED_EVACUATED, 503, 1000 },
  [RELAY_PAUSED] = { "paused", METRIC_REFUSED_PAUSED, 503, 150 },
  [RELAY_RATES_USED_UP] = { "rates_used_up", METRIC_REFUSED_RATE, 503, 400 },
  [RELAY_ORIGIN_UNKNOWN] = { "origin_unknown", METRIC_REFUSED_ORIGIN, 503, 0 },
  [RELAY_HOP_REFUSED] = { "hop_refused", METRIC_REFUSED_HOP, 503, 200 },
  [RELAY_OVER_SHARE] = { "over_share", METRIC_REFUSED_OVER_SHARE, 503, 400 },
  [RELAY_QUEUE_FULL] = { "queue_full", METRIC_REFUSED_QUEUE_FULL, 503, 300 },
  [RELAY_QUEUE_LATE] = { "queue_late", METRIC_REFUSED_QUEUE_LATE, 503, 300 },
  [RELAY_VERSION_GONE]
  = { "version_gone", METRIC_REFUSED_VERSION_GONE, 503, 0 }
};

const struct relay_refusal_rule *
relay_refusal_rule (enum relay_refusal refusal)
{
  return &refusals[refusal];
}

/* Returns the Retry-After of RELAY, which is refused with REFUSAL, or 0 for
   none, and stores in JITTER_MS how much may be added so that clients do not
   retry all at once.  From the queue, times are spread already.  With
   all targets paused, it is the shortest pause; for a stream of unknown
   origin, the time until this instance knows more of what was before its
   start.  */
int64_t
relay_retry_after_ms (const struct relay *relay, enum relay_refusal refusal,
                      int64_t *jitter_ms)
{
  int is_spread = refusal == RELAY_OVER_SHARE || refusal == RELAY_QUEUE_FULL
                  || refusal == RELAY_QUEUE_LATE;
  int64_t pause_ms = refusal == RELAY_PAUSED ? relay_pause_left_ms (relay) : 0;
  int64_t wait_ms = refusal == RELAY_QUARANTINED || is_spread
                        ? relay->retry_after_ms
                        : refusals[refusal].retry_after_ms;

  if (refusal == RELAY_ORIGIN_UNKNOWN)
    wait_ms = fleet_past_wait_ms (relay->router->fleet,
                                  clk_now (clk_monotonic ()));
  if (pause_ms > 0)
    {
      *jitter_ms = relay_pause_spread_ms (pause_ms);
      return pause_ms;
    }
  *jitter_ms = is_spread ? 0 : wait_ms / RETRY_JITTER_DIVISOR;
  return wait_ms;
}

/* Ends RELAY with REFUSAL.  If the response has begun, the client's connection
   is aborted, so that the response does not look complete.  */
void
relay_refuse (struct relay *relay, enum relay_refusal refusal)
{
  struct client *client = relay->client;
  int64_t jitter_ms;
  int64_t wait_ms = relay_retry_after_ms (relay, refusal, &jitter_ms);
  GString *fields = g_string_new (NULL);

  /* The response may have the client's next request handled, which must not
     find this one in the queue.  */
  relay_wait_leave (relay);
  metric_inc (refusals[refusal].counter);
  relay->client = NULL;
  if (!relay->head_sent)
    relay->attempt.status = refusals[refusal].status;
  if (relay->head_sent)
    client_abort_response (client);
  else
    {
      if (wait_ms > 0)
        {
          if (jitter_ms > 0)
            wait_ms += g_rand_int_range (relay->router->random, 0,
                                         (gint32)jitter_ms + 1);
          g_string_printf (fields, "%s: %.3f\r\n",
                           relay->router->dialect->field[DIALECT_RETRY_AFTER],
                           (double)wait_ms / CLK_MS_PER_S);
        }
      if (relay->hop != NULL)
        relay_accept_append_refused (relay, fields);
      client_respond (client, refusals[refusal].status, fields->str, NULL, 0);
    }
  g_string_free (fields, TRUE);
  relay_finish (relay, refusals[refusal].name);
}
