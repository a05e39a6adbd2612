/* What a relayed request may be suspected for, the shared parts of its prompt
   and the request itself: whether that is in quarantine, and what its attempts
   show of it.  */
#include <string.h>

#include "ibisloom/rank.h"
#include "librelay.h"

enum
{
  /* A target that goes on for so long after the first event of a stream was
     not crashed by the request.  */
  GOES_ON_MS = 200
};

static enum quar_strength strength_of (const struct relay *relay);

/* Returns whether RELAY may be sent to a target.  */
int
relay_parts_admitted (struct relay *relay)
{
  return fleet_admits_parts (relay->router->fleet, relay->parts,
                             relay->part_count + 1, &relay->retry_after_ms);
}

/* Handles an event of the current attempt.  */
void
relay_parts_event (struct relay *relay)
{
  if (relay->attempt.first_event_ms == 0)
    relay->attempt.first_event_ms = relay->attempt.last_received_ms;
  else if (relay->attempt.last_received_ms - relay->attempt.first_event_ms
           >= GOES_ON_MS)
    relay_parts_succeed (relay);
}

/* Records that the current attempt went well, once.  */
void
relay_parts_succeed (struct relay *relay)
{
  if (relay->attempt.parts_succeeded || relay->attempt.target->is_peer)
    return;
  relay->attempt.parts_succeeded = 1;
  fleet_report_success (relay->router->fleet, relay->parts,
                        relay->part_count + 1);
}

/* Records that the target of the current attempt has run the request to an
   end, whatever its response is.  */
void
relay_request_survived (struct relay *relay)
{
  if (!relay->attempt.parts_succeeded && !relay->attempt.target->is_peer)
    fleet_report_success (relay->router->fleet, &relay->fingerprint, 1);
}

/* Handles FAULT of the current attempt: if its target has ended, the request
   may be the cause.  A long prompt is reported in several crashes, each with
   the fingerprint; its last parts come first, since of equally suspect parts
   the last one is taken.  */
void
relay_parts_suspect (const struct relay *relay, enum retry_fault fault)
{
  const struct reg_target *target = relay->attempt.target;
  uint32_t left = relay->part_count;
  struct quar_crash crash = { .ended_ms = clk_now (clk_monotonic ()),
                              .strength = strength_of (relay) };

  if (relay->attempt.parts_succeeded || target == NULL || target->is_peer
      || (fault != RETRY_FAULT_DISCONNECTED
          && fault != RETRY_FAULT_READ_TIMEOUT))
    return;
  crash.target = rank_mix (target->hash, target->incarnation);
  do
    {
      uint32_t count = MIN (left, QUAR_PARTS_MAX - 1);

      left -= count;
      if (count > 0)
        memcpy (crash.parts, relay->parts + left, count * sizeof *crash.parts);
      crash.parts[count] = relay->fingerprint;
      crash.part_count = count + 1;
      fleet_report_crash (relay->router->fleet, &target->address, &crash);
    }
  while (left > 0);
}

/* Returns how strongly the end of its target speaks against RELAY.  */
static enum quar_strength
strength_of (const struct relay *relay)
{
  return relay->attempt.status != 0 && relay->attempt.first_event_ms == 0
             ? QUAR_SUSPECT
             : QUAR_WITNESS;
}
