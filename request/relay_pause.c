/* Responses that are not read on while their client has too much to read.  */
#include "librelay.h"

enum
{
  /* Targets cut responses off that remain unread for seconds.  */
  UNREAD_MIN_MS = 1000,
  /* What arrived before the cut is read first.  */
  NOTICE_MS = 1000
};

/* Stops reading the response of the current attempt if the client of RELAY
   has to catch up.  */
void
relay_pause_if_slow (struct relay *relay)
{
  struct relay_pause *pause = &relay->attempt.pause;

  if (!client_must_catch_up (relay->client))
    return;
  out_call_pause (relay->attempt.call, 1);
  pause->is_paused = 1;
  pause->changed_ms = clk_now (clk_monotonic ());
  if (!pause->is_logged)
    {
      metric_inc (METRIC_CLIENTS_SLOWED);
      relay_log_paused (relay);
    }
  pause->is_logged = 1;
  relay_arm_timer (relay);
}

/* Handles a client that has caught up: resumes reading from the target.  */
void
relay_on_drained (struct client_listener *listener, void *request)
{
  struct relay *relay = request;
  struct relay_pause *pause = &relay->attempt.pause;
  clk_ms now;

  (void)listener;
  if (relay->attempt.call == NULL || !pause->is_paused)
    return;
  now = clk_now (clk_monotonic ());
  pause->is_paused = 0;
  pause->total_ms += now - pause->changed_ms;
  pause->changed_ms = now;
  relay->attempt.last_received_ms = now;
  out_call_pause (relay->attempt.call, 0);
  relay_arm_timer (relay);
}

/* Returns which fault it is that the current attempt of RELAY has ended in
   FAULT: a target that breaks a response off that was not read for long does
   so for the client's slowness.  */
enum retry_fault
relay_pause_fault (const struct relay *relay, enum retry_fault fault)
{
  const struct relay_pause *pause = &relay->attempt.pause;
  int64_t since_ms = clk_now (clk_monotonic ()) - pause->changed_ms;

  if (fault != RETRY_FAULT_DISCONNECTED || pause->changed_ms == 0)
    return fault;
  if (pause->is_paused)
    return pause->total_ms + since_ms >= UNREAD_MIN_MS ? RETRY_FAULT_UNREAD
                                                       : fault;
  return pause->total_ms >= UNREAD_MIN_MS && since_ms < NOTICE_MS
             ? RETRY_FAULT_UNREAD
             : fault;
}
