/* Holders of the context of a relayed request that only the lists of targets
   name (see process/fleet_held.c).  */
#include "librelay.h"

/* Stores in TARGETS the registered targets of RELAY's service that say they
   hold its context.  Returns how many.  */
uint32_t
relay_listed_holders (const struct relay *relay, clk_ms now,
                      struct reg_target *targets[HELD_TARGETS_MAX])
{
  uint64_t listed[HELD_TARGETS_MAX];
  uint32_t listed_count
      = held_find (relay->router->held, &relay->held_key, now, listed);
  uint32_t count = 0;

  for (uint32_t i = 0; i < listed_count; i++)
    {
      struct reg_target *target
          = reg_find_hash (relay->router->registry, listed[i]);

      if (target != NULL && target->service == relay->service)
        targets[count++] = target;
    }
  return count;
}

/* Makes those that are listed as holders of RELAY's context its holders, if no
   instance has told of any.  */
void
relay_adopt_holders (struct relay *relay)
{
  struct affinity *affinity = relay->router->affinity;
  struct reg_target *targets[HELD_TARGETS_MAX];
  const struct affinity_holders *known;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t count;

  if (relay->context == 0)
    return;
  known = affinity_find (affinity, relay->context);
  if (known != NULL && known->count > 0)
    return;
  count = relay_listed_holders (relay, now, targets);
  for (uint32_t i = 0; i < count; i++)
    affinity_record (affinity, relay->context, targets[i]->hash, now);
  relay->has_listed_holders = count > 0;
}
