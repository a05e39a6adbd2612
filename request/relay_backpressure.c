/* Responses that are not read on while their client has too much to read.  */
#include "librelay.h"

enum
{
  /* Targets cut responses off that remain unread for seconds.  */
  UNREAD_MIN_MS = 1000,
  /* What arrived before the cut is read first.  */
  CUT_DETECTION_MS = 1000
};

/* Stops reading the response of the current attempt if the client of RELAY
   has to catch up.  */
void
relay_backpressure_apply (struct relay *relay)
{
  struct relay_backpressure *backpressure = &relay->attempt.backpressure;

  if (!client_must_catch_up (relay->client))
    return;
  out_call_pause (relay->attempt.call, 1);
  backpressure->is_paused = 1;
  backpressure->changed_ms = clk_now (clk_monotonic ());
  if (!backpressure->is_logged)
    {
      metric_inc (METRIC_CLIENTS_SLOWED);
      relay_log_paused (relay);
    }
  backpressure->is_logged = 1;
  relay_arm_timer (relay);
}

/* Handles a client that has caught up: resumes reading from the target.  */
void
relay_on_drained (struct client_listener *listener, void *request)
{
  struct relay *relay = request;
  struct relay_backpressure *backpressure = &relay->attempt.backpressure;
  clk_ms now;

  (void)listener;
  if (relay->attempt.call == NULL || !backpressure->is_paused)
    return;
  now = clk_now (clk_monotonic ());
  backpressure->is_paused = 0;
  backpressure->total_ms += now - backpressure->changed_ms;
  backpressure->changed_ms = now;
  relay->attempt.last_received_ms = now;
  out_call_pause (relay->attempt.call, 0);
  relay_arm_timer (relay);
}

/* Returns which fault it is that the current attempt of RELAY has ended in
   FAULT: a target that breaks a response off that was not read for long does
   so for the client's slowness.  */
enum retry_fault
relay_backpressure_fault (const struct relay *relay, enum retry_fault fault)
{
  const struct relay_backpressure *backpressure = &relay->attempt.backpressure;
  int64_t since_ms = clk_now (clk_monotonic ()) - backpressure->changed_ms;

  if (fault != RETRY_FAULT_DISCONNECTED || backpressure->changed_ms == 0)
    return fault;
  if (backpressure->is_paused)
    return backpressure->total_ms + since_ms >= UNREAD_MIN_MS
               ? RETRY_FAULT_UNREAD
               : fault;
  return backpressure->total_ms >= UNREAD_MIN_MS && since_ms < CUT_DETECTION_MS
             ? RETRY_FAULT_UNREAD
             : fault;
}
