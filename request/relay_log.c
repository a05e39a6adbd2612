/* Log lines of a relayed request. */
#include <inttypes.h>
#include <math.h>

#include "ibisloom/buffer.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "librelay.h"

static const char *const fault_names[RETRY_FAULT_COUNT] = {
  [RETRY_FAULT_CONNECT] = "no_connection",
  [RETRY_FAULT_ERROR_STATUS] = "error",
  [RETRY_FAULT_REJECTED] = "refused",
  [RETRY_FAULT_DISCONNECTED] = "broken",
  [RETRY_FAULT_READ_TIMEOUT] = "silent",
  [RETRY_FAULT_INVALID_RESPONSE] = "wrong",
  [RETRY_FAULT_UNREAD] = "unread",
};

static const enum metric_counter place_counters[BAL_REASON_COUNT] = {
  [BAL_HOLDER] = METRIC_PLACED_NOTE,
  [BAL_HOME] = METRIC_PLACED_HOME,
  [BAL_NEXT_HOME] = METRIC_PLACED_NEXT_HOME,
  [BAL_LEAST_LOADED] = METRIC_PLACED_LEAST_LOADED,
  [BAL_TRIAL] = METRIC_PLACED_TRIAL,
  [BAL_NO_TARGET] = METRIC_DENIED_DOWN,
  [BAL_ALL_FULL] = METRIC_DENIED_BOUND,
  [BAL_RATES_USED_UP] = METRIC_DENIED_RATE,
  [BAL_ALL_EVACUATED] = METRIC_DENIED_EVACUATED,
  [BAL_ALL_PAUSED] = METRIC_DENIED_PAUSED,
  [BAL_HOP] = METRIC_HOPS_SENT,
};

/* Reasons not to make another attempt. */
static const char *const give_up_reason_names[] = {
  [RETRY_REASON_NONE] = NULL,
  [RETRY_REASON_DEADLINE] = "deadline",
  [RETRY_REASON_BUDGET] = "retry_budget",
  [RETRY_REASON_ATTEMPTS] = "attempts_used",
  [RETRY_REASON_MAY_HAVE_RUN] = "may_have_run",
  [RETRY_REASON_NO_TARGET] = "no_target",
  [RETRY_REASON_QUARANTINED] = "quarantined",
};

static void log_source (struct log_line *line,
                        const struct sockaddr_in *source);
static void log_parts (struct log_line *line, const struct relay *relay);

/* Adds to LINE the address of SOURCE, from which a context is copied.  */
static void
log_source (struct log_line *line, const struct sockaddr_in *source)
{
  char *address;

  if (source->sin_port == 0)
    return;
  address = settings_format_address (source);
  log_text (line, "source", address);
  g_free (address);
}

/* Logs the target chosen for RELAY, and the reason.  */
void
relay_log_placement (const struct relay *relay,
                     const struct bal_choice *choice, size_t candidates)
{
  struct log_line line;

  metric_inc (place_counters[choice->reason]);
  if (choice->ignored_pace)
    metric_inc (METRIC_PACED_OUT);
  if (choice->skip == BAL_SKIP_BUSY)
    metric_inc (METRIC_PLACED_BUSY);
  if (relay->has_listed_holders && choice->reason == BAL_HOLDER)
    metric_inc (METRIC_LISTED_PLACED);
  if (!log_begin (&line, LOG_LEVEL_INFO, "place", relay->id,
                  bal_reason_names[choice->reason]))
    return;
  log_text (&line, "target",
            relay->attempt.target ? relay->attempt.target->id : NULL);
  log_text (&line, "service", relay->service);
  log_hash (&line, "software",
            relay->attempt.target ? relay->attempt.target->software : 0);
  log_number (&line, "candidates", (int64_t)candidates);
  if (choice->ignored_pace)
    log_number (&line, "ignored_pace", 1);
  log_real (&line, "load", choice->load);
  log_real (&line, "mean_load", choice->mean);
  log_real (&line, "limit", isfinite (choice->limit) ? choice->limit : 0);
  log_number (&line, "loads_age_ms",
              fleet_loads_age_ms (relay->router->fleet));
  if (relay->router->settings->work_aware)
    log_real (&line, "begin_ms", choice->begin_ms);
  if (choice->reason == BAL_ALL_EVACUATED)
    log_number (&line, "evacuated_domains",
                fleet_evacuated_count (relay->router->fleet));
  if (relay->context != 0)
    {
      char context[24];

      g_snprintf (context, sizeof context, "%016" PRIx64, relay->context);
      log_text (&line, "context", context);
      log_number (&line, "context_tokens", relay->context_tokens);
      log_text (&line, "holder", bal_skip_names[choice->skip]);
      log_number (&line, "listed", relay->has_listed_holders);
      log_source (&line, &relay->attempt.source);
      log_parts (&line, relay);
    }
  log_number (&line, "version", (int64_t)relay->table->version);
  log_number (&line, "registry",
              (int64_t)relay->router->known.targets.revision);
  log_end (&line);
}

/* Logs that the target of RELAY reports the load REPORTED, which is over the
   bound at which it was selected.  */
void
relay_log_over_bound (const struct relay *relay, int32_t reported)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id, "over_bound"))
    return;
  log_text (&line, "target", relay->attempt.target->id);
  log_number (&line, "reported", reported);
  log_real (&line, "limit", relay->attempt.target->load_limit);
  log_number (&line, "after_ms",
              relay->attempt.last_received_ms - relay->attempt.sent_ms);
  log_end (&line);
}

/* Logs that the response of RELAY is not read on until its client has caught
   up.  */
void
relay_log_paused (const struct relay *relay)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id, "client_slow"))
    return;
  log_text (&line, "target", relay->attempt.target->id);
  log_number (&line, "buffered_bytes",
              (int64_t)client_backlog (relay->client));
  log_number (&line, "limit_bytes", (int64_t)buf_output_max ());
  log_number (&line, "pool_bytes", (int64_t)buf_pool_used ());
  log_number (&line, "after_ms",
              relay->attempt.last_received_ms - relay->attempt.sent_ms);
  log_end (&line);
}

/* Logs which version goes on with the stream that RELAY takes up, and the
   ORIGIN of this knowledge.  */
void
relay_log_origin (const struct relay *relay, const char *origin)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "origin", relay->id, origin))
    return;
  log_hash (&line, "software", relay->software);
  log_hash (&line, "stream", relay->stream);
  log_number (&line, "waited_ms",
              clk_now (clk_monotonic ()) - relay->arrived_ms);
  log_end (&line);
}

/* Logs that the target of RELAY has begun or ended to limit its request rate,
   or changed the limit.  */
void
relay_log_rate (const struct relay *relay)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id,
                  rate_is_limited (&relay->attempt.target->rate)
                      ? "rate_limit"
                      : "no_rate_limit"))
    return;
  log_text (&line, "target", relay->attempt.target->id);
  log_real (&line, "per_s", relay->attempt.target->rate.per_s);
  log_end (&line);
}

/* Logs that the targets of the service of RELAY have begun or ceased to be
   brittle, or how many requests each may turn away.  */
void
relay_log_brittle (const struct relay *relay)
{
  const struct room_service *service = relay->attempt.target->room_service;
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id,
                  room_is_brittle (service, relay->attempt.last_received_ms)
                      ? "brittle"
                      : "not_brittle"))
    return;
  log_text (&line, "service", relay->attempt.target->service);
  log_text (&line, "target", relay->attempt.target->id);
  log_number (&line, "rejections_max", service->rejections_max);
  log_end (&line);
}

/* Logs that the target of RELAY, which is brittle, turned it away, and the
   LIMIT of requests in progress there from now on; also for how long this
   instance has been told of requests there, -1 if it is not.  */
void
relay_log_room (const struct relay *relay, int32_t limit)
{
  const struct room *room = relay->attempt.target->room;
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id, "no_room"))
    return;
  log_text (&line, "target", relay->attempt.target->id);
  log_real (&line, "load", reg_counted_load (relay->attempt.target));
  log_number (&line, "limit", limit);
  log_number (&line, "rejections", room->rejections);
  log_number (&line, "rank", room->rank);
  log_number (&line, "heard_ms",
              room->heard_ms == 0
                  ? -1
                  : relay->attempt.last_received_ms - room->heard_ms);
  log_end (&line);
}

/* Logs that the VALUE of FIELD in a response of TARGET to RELAY cannot be
   read.  */
void
relay_log_bad_field (const struct relay *relay,
                     const struct reg_target *target, const char *field,
                     const char *value)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_WARN, "attempt", relay->id, "bad_field"))
    return;
  log_text (&line, "target", target->id);
  log_text (&line, "field", field);
  log_text (&line, "value", value);
  log_end (&line);
}

/* Logs that an attempt of RELAY ended with FAULT, and the DECISION.  */
void
relay_log_fault (const struct relay *relay, enum retry_fault fault,
                 const struct retry_decision *decision, clk_ms now)
{
  struct log_line line;
  char fingerprint[24];

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id,
                  fault_names[fault]))
    return;
  log_text (&line, "target",
            relay->attempt.target ? relay->attempt.target->id : NULL);
  log_number (&line, "target_status", relay->attempt.status);
  log_number (&line, "after_ms", now - relay->attempt.sent_ms);
  log_number (&line, "silent_ms", now - relay->attempt.last_received_ms);
  if (relay->attempt.ends_with_connection)
    log_number (&line, "until_close", 1);
  log_number (&line, "sends", relay->sends);
  log_number (&line, "attempts_max", relay->route->attempts_max);
  log_number (&line, "events", relay->events.forwarded);
  log_text (&line, "next",
            decision->action == RETRY_GIVE_UP ? "give_up"
            : decision->action == RETRY_WAIT  ? "wait"
                                              : "elsewhere");
  log_text (&line, "because", give_up_reason_names[decision->reason]);
  g_snprintf (fingerprint, sizeof fingerprint, "%" PRIx64, relay->fingerprint);
  log_text (&line, "fingerprint", fingerprint);
  log_parts (&line, relay);
  log_end (&line);
}

/* Logs that a silent attempt of RELAY goes on before its replacement.  */
void
relay_log_went_on (const struct relay *relay)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "attempt", relay->id, "went_on"))
    return;
  log_text (&line, "target", relay->attempt.target->id);
  log_number (&line, "silent_ms",
              clk_now (clk_monotonic ()) - relay->attempt.last_received_ms);
  log_number (&line, "events", relay->events.forwarded);
  log_end (&line);
}

/* Adds the shared prompt parts of RELAY to LINE, as many as fit.  */
static void
log_parts (struct log_line *line, const struct relay *relay)
{
  char text[160] = "";
  size_t length = 0;

  for (uint32_t i = 0; i < relay->part_count && length < sizeof text; i++)
    length += (size_t)g_snprintf (text + length, sizeof text - length,
                                  i == 0 ? "%" PRIx64 : ",%" PRIx64,
                                  relay->parts[i]);
  if (relay->part_count > 0)
    log_text (line, "parts", text);
}

/* Logs the OUTCOME of RELAY.  */
void
relay_log_outcome (const struct relay *relay, const char *outcome, clk_ms now)
{
  struct log_line line;
  const char *field = relay->router->dialect->field[DIALECT_RESUMES];

  if (!log_begin (&line, LOG_LEVEL_INFO, "request", relay->id, outcome))
    return;
  log_text (&line, "route", relay->route ? relay->route->name : NULL);
  log_text (&line, "service", relay->service);
  log_text (&line, "customer", relay->customer ? relay->customer->name : NULL);
  log_number (&line, "status", relay->attempt.status);
  if (relay->attempt.ends_with_connection)
    log_number (&line, "until_close", 1);
  log_number (&line, "sends", relay->sends);
  if (relay->hop_count > 0)
    log_number (&line, "hops", relay->hop_count);
  log_number (&line, "events", relay->events.forwarded);
  log_text (&line, "resumes", http_head_get (relay->head, field));
  log_number (&line, "may_have_run", relay->may_have_run);
  log_number (&line, "took_ms", now - relay->arrived_ms);
  if (relay->table != NULL)
    {
      log_number (&line, "version", (int64_t)relay->table->version);
      log_number (&line, "version_age_ms", now - relay->router->table_ms);
    }
  log_number (&line, "store_lost", relay->router->config.down);
  log_end (&line);
}
