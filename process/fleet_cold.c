/* Request rate of cold targets, which all instances share.

   A target is cold while its entry in the store says so, and then takes a rate
   that the configuration names.  Each instance keeps a copy of one token
   bucket, as of a target that names its rate itself (fleet_rate.c).  Four
   rules keep what instances send before they hear of each other within the
   bound.  Few instances send, and each has a limit of its own, so that the
   bound holds even if none of them hears another.  Each leaves part of a token
   to those before it, in turn, so that not all see the same token at the same
   moment.  An instance takes only the part of the rate that the instances
   which it hears are of the fleet, so that the parts of a divided fleet share
   the rate, and an instance that has just started sends next to nothing.  An
   instance that watches the store tells all others when a target becomes cold
   again.  */
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  SENDERS_MAX = 96, /* that are told of each request, see fleet_rate.c */
  /* Where most targets are cold, every instance is to send to some: with eight
     on average, one in 3,000 has none.  */
  TARGETS_PER_SENDER = 8,
  /* After which another sender is first, by the clocks of the instances; if
     they differ, two may see a token at the same moment.  */
  TURN_MS = 2000
};

/* Of the overage of half the rate that a cold target bears, one half is for
   what senders may take over their part of the rate, and one for a token that
   each has saved up.  */
static const double OWN_FACTOR = 1.2;
static const double SENDERS_PER_RATE = 0.25;

/* The same factor where most targets are cold and each has many senders, of
   which some have more requests than others.  */
static const double OWN_FACTOR_SPREAD = 4;

static void begin (struct fleet *fleet, struct reg_target *target,
                   clk_ms until_ms, clk_ms now);
static int are_most_cold (const struct fleet *fleet,
                          const struct reg_target *target, clk_ms now,
                          uint32_t *cold);
static void tell (struct fleet *fleet, const struct reg_target *target,
                  clk_ms now);

/* Limits the requests to TARGET to PER_S (0: no limit) while it is cold by its
   entry, unless the settings say otherwise.  If IS_TOLD, the other instances
   are told that it has become cold.  */
void
fleet_limit_cold (struct fleet *fleet, struct reg_target *target, double per_s,
                  int is_told)
{
  clk_ms now = clk_now (clk_monotonic ());
  int was_cold = reg_is_cold (target, now);
  int had_limit = target->cold_until_ms != 0;
  clk_ms until_ms = target->warm_at_ms;

  target->cold_per_s = fleet->settings->slow_start ? per_s : 0;
  if (pos_compare (target->position, target->cold_position) < 0)
    until_ms = MAX (until_ms, target->cold_until_ms);
  if (target->cold_per_s <= 0 || until_ms <= now)
    {
      target->cold_until_ms = 0;
      rate_end (&target->cold);
      if (was_cold)
        log_info ("fleet", NULL, "target_warm", "%s", target->id);
      if (had_limit && target->cold_per_s > 0)
        fleet_begin_pace (fleet, target, "warm");
      return;
    }
  begin (fleet, target, until_ms, now);
  if (!was_cold && is_told)
    tell (fleet, target, now);
}

/* Handles that a target has become cold, as another instance has told, unless
   a newer entry of it is known.  */
void
fleet_apply_cold (struct fleet *fleet, const struct wire_cold *cold)
{
  struct reg_target *target = reg_find_hash (fleet->registry, cold->target);
  clk_ms now = clk_now (clk_monotonic ());

  if (target == NULL || target->cold_per_s <= 0
      || pos_compare (cold->position, target->position) <= 0
      || now + cold->left_ms <= target->cold_until_ms)
    return;
  target->cold_position = cold->position;
  begin (fleet, target, now + cold->left_ms, now);
}

/* Limits the requests to TARGET from NOW until UNTIL_MS; a limit that is in
   force goes on.  */
static void
begin (struct fleet *fleet, struct reg_target *target, clk_ms until_ms,
       clk_ms now)
{
  if (!reg_is_cold (target, now))
    {
      rate_begin (&target->cold, now);
      log_info ("fleet", NULL, "target_cold", "%s: %.1f requests/s, %d ms",
                target->id, target->cold_per_s, (int)(until_ms - now));
    }
  target->cold_until_ms = until_ms;
  fleet_arrange_cold (fleet, target, now);
}

/* Determines what part this instance has in the limit of TARGET, which is
   cold.  Peers that have said that they leave and are silent are gone.  */
void
fleet_arrange_cold (const struct fleet *fleet, struct reg_target *target,
                    clk_ms now)
{
  uint64_t own = rank_mix (target->hash, fleet->self);
  uint32_t known = 1;
  uint32_t heard = 1;
  uint32_t ahead = 0;
  uint32_t senders = 1 + (uint32_t)(target->cold_per_s * SENDERS_PER_RATE);
  double own_factor = OWN_FACTOR;
  uint32_t turn = (uint32_t)(clk_wall_ms () / TURN_MS);
  struct rate_share share;
  uint32_t cold;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      int is_silent = fleet_is_silent (fleet, peer, now);

      known += !is_silent || peer->state != MEMBER_LEAVING;
      heard += !is_silent;
      ahead += !is_silent && rank_mix (target->hash, peer->id) > own;
    }
  if (are_most_cold (fleet, target, now, &cold))
    {
      senders = MAX (senders, TARGETS_PER_SENDER * heard / cold + 1);
      own_factor = OWN_FACTOR_SPREAD;
    }
  senders = CLAMP (senders, 1, MIN (heard, SENDERS_MAX));
  share.is_sharer = ahead < senders;
  share.reserve = (double)((ahead + turn) % senders) / senders;
  share.per_s = target->cold_per_s * heard / known;
  share.own_per_s = own_factor * share.per_s / senders;
  rate_set (&target->cold, &share, now);
}

/* Returns whether more than half of the usable targets of the service of
   TARGET are cold, and stores in COLD how many are.  */
static int
are_most_cold (const struct fleet *fleet, const struct reg_target *target,
               clk_ms now, uint32_t *cold)
{
  const GPtrArray *targets = fleet->registry->array;
  uint32_t warm = 0;

  *cold = 0;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *other = g_ptr_array_index (targets, i);

      if (other->service != target->service || other->leaving)
        continue;
      if (reg_is_cold (other, now))
        (*cold)++;
      else
        warm += health_get_state (&other->health, now) == HEALTH_USABLE;
    }
  return *cold > warm;
}

/* Tells all other instances that TARGET has become cold.  */
static void
tell (struct fleet *fleet, const struct reg_target *target, clk_ms now)
{
  struct wire_message message
      = { .kind = WIRE_COLD,
          .u.cold = { .target = target->hash,
                      .position = target->position,
                      .left_ms = (uint32_t)MIN (target->cold_until_ms - now,
                                                INT32_MAX) } };

  fleet_broadcast (fleet, &message);
}
