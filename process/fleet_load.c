/* Requests in progress at the targets, as the other instances report them.

   A heartbeat carries all of them, but in a large fleet each peer gets a
   heartbeat only once a second.  Until then a popular target may have received
   several requests more, so near the load limit of a target a change of its
   count is sent to all peers at once, as a load update.  Other changes, and
   ends, are sent soon: the limit follows the mean load of all targets, which
   would seem higher than it is if ends were known later than starts.

   Updates of instances in other failure domains may come through a relay
   (fleet_relay.c), later or sooner than what they send directly.  Therefore
   each count is kept with the sequence number of the datagram of its instance
   that it is from, and none replaces a newer one.  */
#include <string.h>
#include <sys/socket.h>

#include "ibisloom/fleet.h"
#include "ibisloom/metrics.h"
#include "libfleet.h"

enum
{
  UPDATE_END_DELAY_MS = 30,    /* of an end near the limit */
  UPDATE_QUIET_DELAY_MS = 100, /* of a change far from it */
  /* Limits load updates to 2,000 datagrams per second, and those that relays
     send for it to as many.  */
  UPDATES_PER_MS = 2,
  UPDATE_MIN_INTERVAL_MS = 5
};

static void on_load_change (void *closure, struct reg_target *target,
                            int started);
static void schedule_update (struct fleet *fleet, int64_t delay_ms);
static void on_update_due (struct ev_loop *loop, ev_timer *timer, int events);
static void collect_changes (struct fleet *fleet, struct wire_loads *loads);
static int merge_loads (struct fleet *fleet, struct fleet_peer *peer,
                        uint64_t incarnation, uint64_t sequence,
                        const struct wire_loads *loads);
static void begin_incarnation (struct fleet_peer *peer, uint64_t incarnation);
static void drop_older (struct fleet *fleet, struct fleet_peer *peer,
                        uint64_t sequence);
static struct fleet_load *find_load (const struct fleet_peer *peer,
                                     guint count, uint64_t target);
static void add_load (struct fleet *fleet, struct fleet_peer *peer,
                      const struct wire_load *reported, uint64_t sequence);
static void count_load (struct fleet *fleet, struct fleet_load *load,
                        int32_t value);

/* Starts to follow the requests of this instance in the registry of FLEET.  */
void
fleet_watch_loads (struct fleet *fleet)
{
  ev_timer_init (&fleet->update, on_update_due, 0, 0);
  fleet->update.data = fleet;
  reg_on_load_change (fleet->registry, on_load_change, fleet);
}

/* Undoes fleet_watch_loads.  */
void
fleet_unwatch_loads (struct fleet *fleet)
{
  reg_on_load_change (fleet->registry, NULL, NULL);
  ev_timer_stop (fleet->loop, &fleet->update);
}

/* Handles a request of this instance that STARTED at TARGET, or ended there.
   Those that share the room of a brittle TARGET get to know at once.
   If TARGET is near its load limit or has a pace, the peers are to know of a
   start at once, and if requests wait for it, of an end too.  The update then
   carries all counts that have changed.  */
static void
on_load_change (void *closure, struct reg_target *target, int started)
{
  struct fleet *fleet = closure;
  clk_ms now = clk_now (clk_monotonic ());

  if (target->room != NULL)
    room_count_change (target->room, started, now);
  fleet_tell_load (fleet, target);
  target->update_pending = 1;
  if (!started && target->in_flight == 0)
    pace_count_idle (&target->pace, now);
  if (pace_is_in_force (&target->pace) || reg_is_near_limit (target, now))
    schedule_update (fleet, started || reg_is_scarce (target, now)
                                ? 0
                                : UPDATE_END_DELAY_MS);
  else
    schedule_update (fleet, UPDATE_QUIET_DELAY_MS);
}

/* Schedules a load update in DELAY_MS milliseconds, unless one is due earlier;
   a recent update delays it.  */
static void
schedule_update (struct fleet *fleet, int64_t delay_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  int64_t interval_ms = MAX (fleet_update_datagrams (fleet) / UPDATES_PER_MS,
                             UPDATE_MIN_INTERVAL_MS);
  clk_ms due_ms = MAX (now + delay_ms, fleet->updated_ms + interval_ms);

  if (ev_is_active (&fleet->update) && fleet->update_due_ms <= due_ms)
    return;
  fleet->update_due_ms = due_ms;
  ev_timer_stop (fleet->loop, &fleet->update);
  ev_timer_set (&fleet->update, (double)(due_ms - now) / CLK_MS_PER_S, 0);
  ev_timer_start (fleet->loop, &fleet->update);
}

/* Sends the counts that have changed; those that do not fit follow.  */
static void
on_update_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  struct wire_loads loads = { 0 };

  (void)loop;
  (void)events;
  collect_changes (fleet, &loads);
  if (loads.count == 0)
    return;
  fleet->updated_ms = clk_now (clk_monotonic ());
  fleet_send_update (fleet, &loads);
  if (loads.count == WIRE_UPDATE_LOADS_MAX)
    schedule_update (fleet, 0);
}

/* Moves the changed counts to LOADS, as many as fit.  */
static void
collect_changes (struct fleet *fleet, struct wire_loads *loads)
{
  const GPtrArray *targets = fleet->registry->array;

  for (guint i = 0; i < targets->len && loads->count < WIRE_UPDATE_LOADS_MAX;
       i++)
    {
      struct reg_target *target = g_ptr_array_index (targets, i);

      if (!target->update_pending)
        continue;
      target->update_pending = 0;
      loads->load[loads->count].target = target->hash;
      loads->load[loads->count].load = target->in_flight;
      loads->count++;
    }
}

/* Replaces all counts of PEER by those of HEARTBEAT, which has just arrived,
   but for those that a relay has brought from later datagrams.  */
void
fleet_set_loads (struct fleet *fleet, struct fleet_peer *peer,
                 const struct wire_heartbeat *heartbeat)
{
  guint kept;

  if (peer->incarnation < peer->loads_incarnation)
    return;
  begin_incarnation (peer, peer->incarnation);
  drop_older (fleet, peer, peer->sequence);
  kept = peer->loads->len;
  peer->loads_sequence = peer->sequence;
  peer->loads_ms = peer->last_seen_ms;
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    if (find_load (peer, kept, heartbeat->loads[i].target) == NULL)
      add_load (fleet, peer, &heartbeat->loads[i], peer->sequence);
}

/* Replaces those counts of PEER that are in LOADS, which have just arrived
   from it.  */
void
fleet_update_loads (struct fleet *fleet, struct fleet_peer *peer,
                    const struct wire_loads *loads)
{
  merge_loads (fleet, peer, peer->incarnation, peer->sequence, loads);
}

/* Applies a load update that a relay has passed on.  It changes no more of its
   origin than the counts.  That of an unknown or silent instance is dropped:
   only its own datagrams show that it lives.  */
void
fleet_apply_relayed (struct fleet *fleet, const struct wire_relayed *relayed)
{
  struct fleet_peer *origin
      = g_hash_table_lookup (fleet->peers, GUINT_TO_POINTER (relayed->origin));

  if (origin == NULL
      || fleet_is_silent (fleet, origin, clk_now (clk_monotonic ())))
    metric_inc (METRIC_LOAD_RELAY_UNKNOWN);
  else if (relayed->incarnation >= origin->incarnation
           && merge_loads (fleet, origin, relayed->incarnation,
                           relayed->sequence, &relayed->loads))
    metric_inc (METRIC_LOAD_RELAY_APPLIED);
  else
    metric_inc (METRIC_LOAD_RELAY_OLD);
}

/* Replaces those counts of PEER that are in LOADS, from its datagram SEQUENCE
   of INCARNATION, and are not older than the last heartbeat or than the count
   known.  Returns how many are.  */
static int
merge_loads (struct fleet *fleet, struct fleet_peer *peer,
             uint64_t incarnation, uint64_t sequence,
             const struct wire_loads *loads)
{
  int merged = 0;

  if (incarnation < peer->loads_incarnation)
    return 0;
  begin_incarnation (peer, incarnation);
  if (sequence <= peer->loads_sequence)
    return 0;
  for (uint32_t i = 0; i < loads->count; i++)
    {
      struct fleet_load *load
          = find_load (peer, peer->loads->len, loads->load[i].target);

      if (load != NULL && load->sequence >= sequence)
        continue;
      merged++;
      if (load == NULL)
        {
          add_load (fleet, peer, &loads->load[i], sequence);
          continue;
        }
      count_load (fleet, load, (int32_t)loads->load[i].load);
      load->sequence = sequence;
    }
  if (merged > 0)
    peer->loads_ms = clk_now (clk_monotonic ());
  return merged;
}

/* Makes all counts of PEER older than those of INCARNATION, if that is a new
   one.  They hold until its first heartbeat.  */
static void
begin_incarnation (struct fleet_peer *peer, uint64_t incarnation)
{
  if (incarnation == peer->loads_incarnation)
    return;
  peer->loads_incarnation = incarnation;
  peer->loads_sequence = 0;
  for (guint i = 0; i < peer->loads->len; i++)
    g_array_index (peer->loads, struct fleet_load, i).sequence = 0;
}

/* Forgets the counts of PEER that are not from datagrams after SEQUENCE.  */
static void
drop_older (struct fleet *fleet, struct fleet_peer *peer, uint64_t sequence)
{
  guint kept = 0;

  for (guint i = 0; i < peer->loads->len; i++)
    {
      struct fleet_load *load
          = &g_array_index (peer->loads, struct fleet_load, i);

      if (load->sequence > sequence)
        g_array_index (peer->loads, struct fleet_load, kept++) = *load;
      else
        count_load (fleet, load, 0);
    }
  g_array_set_size (peer->loads, kept);
}

/* Subtracts the counts of PEER from the targets and forgets them.  */
void
fleet_drop_loads (struct fleet *fleet, struct fleet_peer *peer)
{
  for (guint i = 0; i < peer->loads->len; i++)
    count_load (fleet, &g_array_index (peer->loads, struct fleet_load, i), 0);
  g_array_set_size (peer->loads, 0);
}

/* Returns what PEER reported for TARGET, if it is among the first COUNT of its
   counts, or NULL.  */
static struct fleet_load *
find_load (const struct fleet_peer *peer, guint count, uint64_t target)
{
  for (guint i = 0; i < count; i++)
    {
      struct fleet_load *load
          = &g_array_index (peer->loads, struct fleet_load, i);

      if (load->target == target)
        return load;
    }
  return NULL;
}

/* Adds the count REPORTED by the datagram SEQUENCE of PEER, which has none for
   this target yet.  */
static void
add_load (struct fleet *fleet, struct fleet_peer *peer,
          const struct wire_load *reported, uint64_t sequence)
{
  struct fleet_load load
      = { .target = reported->target, .sequence = sequence };

  count_load (fleet, &load, (int32_t)reported->load);
  g_array_append_val (peer->loads, load);
}

/* Replaces the value of LOAD by VALUE, and counts the difference at the
   target.  A target that was removed and registered again since the last
   report has another serial and does not include that report.  */
static void
count_load (struct fleet *fleet, struct fleet_load *load, int32_t value)
{
  struct reg_target *target = reg_find_hash (fleet->registry, load->target);

  if (target != NULL)
    {
      int32_t change
          = value - (target->serial == load->serial ? load->load : 0);

      target->others_in_flight += change;
      load->serial = target->serial;
      if (target->room != NULL && change != 0)
        room_count_change (target->room, 0, clk_now (clk_monotonic ()));
    }
  load->load = value;
}
