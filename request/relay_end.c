/* Successes without a length, whose end is that of their connection.  The
   connections of a target whose process ends are closed in order, too, so that
   such a response may be cut where it seems complete: it counts as complete
   only if the target still accepts connections.  */
#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  PROBE_TIMEOUT_MS = 300 /* as for connections to targets */
};

static void on_probed (void *closure, enum probe_result result);

/* Looks whether the target of RELAY, whose response has ended without a FAULT,
   still accepts connections, if the response needs that.  Meanwhile no other
   attempt goes on.  Returns whether the result is awaited; relay_complete
   follows then.  */
int
relay_end_verify (struct relay *relay, enum retry_fault fault)
{
  const struct relay_attempt *attempt = &relay->attempt;

  if (fault != RETRY_FAULT_COUNT || !attempt->ends_with_connection
      || attempt->target->is_peer || !http_is_success (attempt->status))
    return 0;
  relay->end_probe
      = probe_start (relay->router->loop, &attempt->target->address,
                     PROBE_TIMEOUT_MS, on_probed, relay);
  if (relay->end_probe == NULL)
    return 0;
  relay_drop_kept (relay, HEALTH_EVENT_COUNT);
  ev_timer_stop (relay->router->loop, &relay->timer);
  return 1;
}

/* Ends what relay_end_verify has started for RELAY, if its result is
   awaited.  */
void
relay_end_cancel (struct relay *relay)
{
  if (relay->end_probe != NULL)
    probe_cancel (relay->end_probe);
  relay->end_probe = NULL;
}

/* Handles the RESULT of the look at the target of CLOSURE, a relay.  */
static void
on_probed (void *closure, enum probe_result result)
{
  struct relay *relay = closure;

  relay->end_probe = NULL;
  if (result != PROBE_ACCEPTED)
    metric_inc (METRIC_CUT_RESPONSES);
  relay_complete (relay, result == PROBE_ACCEPTED ? RETRY_FAULT_COUNT
                                                  : RETRY_FAULT_DISCONNECTED);
}
