/* Paces of targets that have started or recovered, as the instances share
   them.

   Every instance begins the pace of a target that has started when it reads
   the target's entry.  One that sees a target recover from an outage begins
   its pace and tells all others; so does one whose request shows that the
   limit is too high.  What was told and is in force follows each heartbeat,
   for instances that have just started or missed a datagram.  Growth and end
   need no message: they follow from time and the loads that all know.  */
#include <math.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  RANKS_PER_HEARTBEAT = 64 /* targets at which the own rank is found anew */
};

/* A target with this part of the mean load is in use by other instances: a
   single one that did not reach it has seen no outage.  */
static const double IN_USE_SHARE = 0.5;

static void scale (const struct fleet *fleet, struct reg_target *target,
                   clk_ms now);
static void rank (const struct fleet *fleet, struct reg_target *target,
                  clk_ms now);
static void report_reduced (struct fleet *fleet, struct reg_target *target,
                            const char *cause, clk_ms sent_ms);
static void tell (struct fleet *fleet, struct reg_target *target);
static void log_pace (const struct reg_target *target, const char *reason,
                      const char *cause, clk_ms sent_ms);
static struct wire_pace encode (const struct reg_target *target, clk_ms now);
static uint32_t to_units (double value);

/* Begins the pace of TARGET, for CAUSE, if the settings ask for it and no rate
   limits the requests there anyway.  */
void
fleet_begin_pace (struct fleet *fleet, struct reg_target *target,
                  const char *cause)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (!fleet->settings->slow_start || reg_is_cold (target, now))
    return;
  pace_begin (&target->pace, now);
  scale (fleet, target, now);
  rank (fleet, target, now);
  metric_inc (METRIC_PACES_BEGUN);
  log_pace (target, "begun", cause, now);
}

/* Handles that TARGET has sent the head of a RESPONSE to a request of SENT_MS,
   whose prompt targets of the service usually read in READ_MS.  */
void
fleet_pace_response (struct fleet *fleet, struct reg_target *target,
                     enum fleet_response response, clk_ms sent_ms,
                     int64_t read_ms)
{
  struct pace *pace = &target->pace;
  clk_ms now = clk_now (clk_monotonic ());
  double load = reg_counted_load (target);

  if (!fleet->settings->slow_start)
    return;
  if (pace_is_in_force (pace))
    {
      if (response == FLEET_REJECTED
              ? pace_reduce (pace, load, sent_ms, now)
              : response == FLEET_SUCCEEDED
                    && pace_observe (pace, target->pace_service, load, sent_ms,
                                     read_ms, now))
        report_reduced (fleet, target,
                        response == FLEET_REJECTED ? "rejection" : "late",
                        sent_ms);
      return;
    }
  if (response != FLEET_SUCCEEDED)
    return;
  if (target->health.in_outage)
    {
      scale (fleet, target, now);
      if (load - 1 >= IN_USE_SHARE * target->pace_service->mean_load)
        return;
      fleet_begin_pace (fleet, target, "recovered");
      tell (fleet, target);
    }
  else
    pace_service_observe (target->pace_service,
                          (double)MAX (now - sent_ms - read_ms, 1));
}

/* Handles that a request to TARGET of SENT_MS failed.  */
void
fleet_pace_failure (struct fleet *fleet, struct reg_target *target,
                    clk_ms sent_ms)
{
  if (pace_reduce (&target->pace, reg_counted_load (target), sent_ms,
                   clk_now (clk_monotonic ())))
    report_reduced (fleet, target, "failure", sent_ms);
}

/* Adopts the paces that another instance has told, where they are newer and of
   the process that this instance knows of.  */
void
fleet_apply_paces (struct fleet *fleet, const struct wire_paces *paces)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (!fleet->settings->slow_start)
    return;
  for (uint32_t i = 0; i < paces->count; i++)
    {
      const struct wire_pace *received = &paces->pace[i];
      struct reg_target *target
          = reg_find_hash (fleet->registry, received->target);
      struct pace_told told
          = { .version = received->version,
              .base = (double)received->base / WIRE_PACE_SCALE,
              .threshold = received->threshold == UINT32_MAX
                               ? INFINITY
                               : (double)received->threshold / WIRE_PACE_SCALE,
              .min_first_byte_ms
              = (double)received->min_first_byte / WIRE_PACE_SCALE,
              .age_ms = received->age_ms };

      if (target == NULL || target->incarnation != received->incarnation
          || !pace_adopt (&target->pace, &told, now))
        continue;
      scale (fleet, target, now);
      rank (fleet, target, now);
      log_pace (target, "adopted", NULL, now);
    }
}

/* Sends ADDRESS the announced paces in force, as many as one datagram holds;
   the next ones follow with the next heartbeat.  Those that each instance
   begins by itself are left out: a release begins one after the other.  */
void
fleet_send_paces (struct fleet *fleet, const struct sockaddr_in *address)
{
  const GPtrArray *targets = fleet->registry->array;
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message = { .kind = WIRE_PACES };
  struct wire_paces *paces = &message.u.paces;
  guint first;
  guint index = 0;

  if (fleet->announced_paces == 0)
    return;
  first = (guint)(fleet->heartbeat_count * WIRE_PACES_MAX
                  % fleet->announced_paces);
  for (guint i = 0; i < targets->len && paces->count < WIRE_PACES_MAX; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);

      if (pace_is_in_force (&target->pace) && target->pace.is_announced
          && (index++ + fleet->announced_paces - first)
                     % fleet->announced_paces
                 < WIRE_PACES_MAX)
        paces->pace[paces->count++] = encode (target, now);
    }
  if (paces->count > 0)
    fleet_send (fleet, address, &message);
}

/* Does the work that is due with each heartbeat: ends paces that no longer
   bind, and begins those of targets that are no longer cold.  */
void
fleet_pace_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;
  guint paced = 0;
  guint announced = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (targets, i);

      if (target->cold_until_ms != 0 && !reg_is_cold (target, now))
        {
          target->cold_until_ms = 0;
          fleet_begin_pace (fleet, target, "warm");
        }
      pace_forget (&target->pace, now);
      if (!pace_is_in_force (&target->pace))
        continue;
      scale (fleet, target, now);
      if (paced++ < RANKS_PER_HEARTBEAT)
        rank (fleet, target, now);
      announced += target->pace.is_announced;
      if (fleet->settings->slow_start && !pace_is_over (&target->pace, now))
        continue;
      log_pace (target, "ended", NULL, now);
      pace_end (&target->pace, now);
      metric_inc (METRIC_PACES_ENDED);
    }
  fleet->announced_paces = announced;
}

/* Compares TARGET with its service.  If more than half of the usable targets
   have a pace, as when all have started, it is not kept: there are too few
   others that could take the load.  */
static void
scale (const struct fleet *fleet, struct reg_target *target, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;
  struct pace_service *service = target->pace_service;
  double sum = 0;
  uint32_t usable = 0;
  uint32_t paced = 0;

  for (guint i = 0; i < targets->len && service->scaled_ms != now; i++)
    {
      const struct reg_target *other = g_ptr_array_index (targets, i);

      if (other->service != target->service || other->leaving
          || other->missing_until_ms != 0
          || health_get_state (&other->health, now) != HEALTH_USABLE)
        continue;
      sum += reg_counted_load (other);
      usable++;
      paced += pace_is_in_force (&other->pace) != 0;
    }
  if (service->scaled_ms != now)
    {
      service->mean_load = usable > 0 ? sum / usable : 0;
      service->is_open = paced * 2 > usable;
      service->scaled_ms = now;
    }
  pace_scale (&target->pace, service);
}

/* Determines the rank of this instance at TARGET among those that live.  */
static void
rank (const struct fleet *fleet, struct reg_target *target, clk_ms now)
{
  uint64_t own = rank_mix (target->hash, fleet->self);
  GHashTableIter iter;
  gpointer value;

  target->pace.rank = 0;
  target->pace.instances = 1;
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->state == MEMBER_LEAVING || fleet_is_silent (fleet, peer, now))
        continue;
      target->pace.instances++;
      target->pace.rank += rank_mix (target->hash, peer->id) > own;
    }
}

/* Tells that the limit of TARGET was reduced, for CAUSE, after a request of
   SENT_MS.  */
static void
report_reduced (struct fleet *fleet, struct reg_target *target,
                const char *cause, clk_ms sent_ms)
{
  metric_inc (METRIC_PACES_REDUCED);
  log_pace (target, "reduced", cause, sent_ms);
  tell (fleet, target);
}

/* Tells all other instances the pace of TARGET.  */
static void
tell (struct fleet *fleet, struct reg_target *target)
{
  struct wire_message message = { .kind = WIRE_PACES };

  if (!pace_is_in_force (&target->pace))
    return;
  target->pace.is_announced = 1;
  message.u.paces.count = 1;
  message.u.paces.pace[0] = encode (target, clk_now (clk_monotonic ()));
  fleet_broadcast (fleet, &message);
}

/* Logs what has become of the pace of TARGET, as REASON, for CAUSE, which may
   be NULL, after a request of SENT_MS.  */
static void
log_pace (const struct reg_target *target, const char *reason,
          const char *cause, clk_ms sent_ms)
{
  const struct pace *pace = &target->pace;
  clk_ms now = clk_now (clk_monotonic ());
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "pace", NULL, reason))
    return;
  log_text (&line, "target", target->id);
  log_text (&line, "service", target->service);
  log_text (&line, "cause", cause);
  log_number (&line, "version", pace->version);
  log_real (&line, "limit", pace_limit (pace, now));
  log_real (&line, "full", pace->full);
  log_real (&line, "load", reg_counted_load (target));
  log_real (&line, "mean_load", target->pace_service->mean_load);
  log_number (&line, "after_ms", now - sent_ms);
  log_real (&line, "patience_ms",
            isfinite (pace->late_after_ms) ? pace->late_after_ms : 0);
  log_number (&line, "rank", pace->rank);
  log_number (&line, "instances", pace->instances);
  log_end (&line);
}

/* Returns the pace of TARGET for other instances.  */
static struct wire_pace
encode (const struct reg_target *target, clk_ms now)
{
  const struct pace *pace = &target->pace;

  return (struct wire_pace){
    .target = target->hash,
    .incarnation = target->incarnation,
    .version = pace->version,
    .base = to_units (pace->base),
    .threshold = to_units (pace->threshold),
    .min_first_byte = to_units (pace->min_first_byte_ms),
    .age_ms = (uint32_t)CLAMP (now - pace->since_ms, 0, INT32_MAX)
  };
}

/* Returns VALUE in units of WIRE_PACE_SCALE; UINT32_MAX if it is infinite.  */
static uint32_t
to_units (double value)
{
  return value < (double)UINT32_MAX / WIRE_PACE_SCALE
             ? (uint32_t)(value * WIRE_PACE_SCALE)
             : UINT32_MAX;
}
