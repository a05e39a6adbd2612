/* Prompt parts of a relayed request: whether they are in quarantine, and what
   its attempts show of them.  */
#include <string.h>

#include "ibisloom/rank.h"
#include "librelay.h"

enum
{
  /* A target that goes on for so long after the first event of a stream was
     not crashed by the request.  */
  GOES_ON_MS = 200
};

/* Returns whether the prompt parts of RELAY may be sent to a target.  */
int
relay_parts_admitted (struct relay *relay)
{
  return relay->part_count == 0
         || fleet_admits_parts (relay->router->fleet, relay->parts,
                                relay->part_count, &relay->retry_after_ms);
}

/* Handles an event of the current attempt.  */
void
relay_parts_event (struct relay *relay)
{
  if (relay->first_event_ms == 0)
    relay->first_event_ms = relay->last_received_ms;
  else if (relay->last_received_ms - relay->first_event_ms >= GOES_ON_MS)
    relay_parts_succeed (relay);
}

/* Records that the current attempt went well, once.  */
void
relay_parts_succeed (struct relay *relay)
{
  if (relay->part_count == 0 || relay->parts_succeeded)
    return;
  relay->parts_succeeded = 1;
  fleet_report_success (relay->router->fleet, relay->parts, relay->part_count);
}

/* Handles FAULT of the current attempt: if its target has ended, the request
   may be the cause.  */
void
relay_parts_suspect (const struct relay *relay, enum retry_fault fault)
{
  const struct reg_target *target = relay->target;
  struct quar_crash crash
      = { .ended_ms = clk_now (clk_monotonic ()),
          .strength = relay->status != 0 && relay->first_event_ms == 0
                          ? QUAR_SUSPECT
                          : QUAR_WITNESS,
          .part_count = MIN (relay->part_count, QUAR_PARTS_MAX) };

  if (relay->part_count == 0 || relay->parts_succeeded || target == NULL
      || (fault != RETRY_FAULT_DISCONNECTED
          && fault != RETRY_FAULT_READ_TIMEOUT))
    return;
  crash.target = rank_mix (target->hash, target->incarnation);
  memcpy (crash.parts, relay->parts, crash.part_count * sizeof *crash.parts);
  fleet_report_crash (relay->router->fleet, &target->address, &crash);
}
