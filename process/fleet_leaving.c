/* Targets that have responded that they are leaving, as the instances tell
   each other.

   The instance that gets the first such response tells all others at once; all
   repeat what they know with each heartbeat, in turn if one datagram does not
   hold it, for instances that have just started or missed it.  A notice names
   the process, so that it never applies to the next one.  If entries do not
   tell the incarnation, it names the sender's entry of the target instead,
   which an instance that knows of a later process finds too old.  */
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libfleet.h"

enum
{
  /* Between two broadcasts, which a large fleet leaving at once would ask for
     at each response; the rest follows with the next response or heartbeat. */
  TELL_INTERVAL_MS = 10,
  /* Limits these broadcasts to 2,000 datagrams per second.  */
  TELL_DATAGRAMS_PER_MS = 2
};

/* Names in the log of how a notice was learned, or why it no longer holds.  */
static const char from_response[] = "response";
static const char from_peer[] = "peer";
static const char from_record[] = "record"; /* of the removed entry */
static const char by_removal[] = "removed";
static const char by_process[] = "new_process";

/* Known notice, of a target that was registered at the last heartbeat.  */
struct leave
{
  uint64_t target;
  uint64_t incarnation;
  uint32_t process; /* see struct reg_target; for incarnation 0 */
  uint8_t is_unsent;
};

static void add_leave (struct fleet *fleet, const struct reg_target *target,
                       int is_unsent, const char *from);
static int find (const GArray *leaves, const struct leave *leave);
static void log_end_of (const struct fleet *fleet, const struct leave *leave);
static void add_to_message (const struct fleet *fleet,
                            struct wire_leaves *leaves,
                            const struct leave *leave);
static void tell (struct fleet *fleet, clk_ms now);

void
fleet_leaving_init (struct fleet *fleet)
{
  fleet->leaves = g_array_new (FALSE, FALSE, sizeof (struct leave));
}

/* Undoes fleet_leaving_init.  */
void
fleet_leaving_clear (struct fleet *fleet)
{
  g_array_free (fleet->leaves, TRUE);
}

/* Handles that the PROCESS of TARGET, as counted when a request was sent
   there, has responded that it is leaving.  */
void
fleet_observe_leaving (struct fleet *fleet, struct reg_target *target,
                       uint32_t process)
{
  struct pause_notice *notice
      = reg_find_notice (fleet->registry, target, process);
  struct reg_target *current;

  if (notice == NULL || notice->is_leaving)
    return;
  notice->is_leaving = 1;
  metric_inc (METRIC_LEAVES_SEEN);
  current = reg_find (fleet->registry, target->id);
  if (current == NULL || notice != &current->notice)
    return;
  current->leaving = 1;
  add_leave (fleet, current, 1, from_response);
  tell (fleet, clk_now (clk_monotonic ()));
}

/* Adopts what another instance has told.  */
void
fleet_apply_leaves (struct fleet *fleet, const struct wire_leaves *leaves)
{
  for (uint32_t i = 0; i < leaves->count; i++)
    {
      const struct wire_leave *told = &leaves->leave[i];
      struct reg_target *target
          = reg_find_hash (fleet->registry, told->target);

      if (target == NULL
          || !reg_apply_leaving (target, told->incarnation, told->position))
        continue;
      metric_inc (METRIC_LEAVES_TOLD);
      add_leave (fleet, target, 0, from_peer);
    }
}

/* Does the work that is due with each heartbeat: finds which notices hold, and
   tells those that have not been told.  */
void
fleet_leaving_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;
  GArray *before = fleet->leaves;

  fleet->leaves = g_array_new (FALSE, FALSE, sizeof (struct leave));
  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);
      struct leave leave = { .target = target->hash,
                             .incarnation = target->notice.process.incarnation,
                             .process = target->process };
      int index;

      if (!target->notice.is_leaving)
        continue;
      index = find (before, &leave);
      if (index >= 0)
        g_array_append_val (fleet->leaves,
                            g_array_index (before, struct leave, index));
      else
        add_leave (fleet, target, 0, from_record);
    }
  for (guint i = 0; i < before->len; i++)
    {
      const struct leave *leave = &g_array_index (before, struct leave, i);

      if (find (fleet->leaves, leave) < 0)
        log_end_of (fleet, leave);
    }
  g_array_free (before, TRUE);
  tell (fleet, now);
}

/* Sends ADDRESS one datagram of what is known.  An instance gets one heartbeat
   in a stride, and so the next part with the next one.  */
void
fleet_send_leaves (struct fleet *fleet, const struct sockaddr_in *address)
{
  const GArray *leaves = fleet->leaves;
  struct wire_message message = { .kind = WIRE_LEAVES };
  guint parts = (leaves->len + WIRE_LEAVES_MAX - 1) / WIRE_LEAVES_MAX;
  uint64_t turn;
  guint first;

  if (leaves->len == 0)
    return;
  /* The stride is 0 without peers, when heartbeats go to seeds.  */
  turn = fleet->heartbeat_count / MAX (fleet_heartbeat_stride (fleet), 1);
  first = (guint)(turn % parts) * WIRE_LEAVES_MAX;
  for (guint i = first; i < MIN (first + WIRE_LEAVES_MAX, leaves->len); i++)
    add_to_message (fleet, &message.u.leaves,
                    &g_array_index (leaves, struct leave, i));
  if (message.u.leaves.count > 0)
    fleet_send (fleet, address, &message);
}

/* Adds to what is known that TARGET is leaving, learned FROM there.  */
static void
add_leave (struct fleet *fleet, const struct reg_target *target, int is_unsent,
           const char *from)
{
  const struct leave leave
      = { .target = target->hash,
          .incarnation = target->notice.process.incarnation,
          .process = target->process,
          .is_unsent = (uint8_t)is_unsent };
  struct log_line line;

  g_array_append_val (fleet->leaves, leave);
  if (!log_begin (&line, LOG_LEVEL_INFO, "leaving", NULL, "begun"))
    return;
  log_text (&line, "target", target->id);
  log_text (&line, "service", target->service);
  log_number (&line, "incarnation", (int64_t)leave.incarnation);
  log_number (&line, "entry_leaving", target->entry_leaving);
  log_number (&line, "in_flight", target->in_flight);
  log_text (&line, "from", from);
  log_end (&line);
}

/* Returns the index in LEAVES of the notice of the same process as LEAVE, or
   -1.  */
static int
find (const GArray *leaves, const struct leave *leave)
{
  for (guint i = 0; i < leaves->len; i++)
    {
      const struct leave *other = &g_array_index (leaves, struct leave, i);

      if (other->target == leave->target
          && other->incarnation == leave->incarnation
          && (leave->incarnation != 0 || other->process == leave->process))
        return (int)i;
    }
  return -1;
}

/* Logs that LEAVE no longer holds.  */
static void
log_end_of (const struct fleet *fleet, const struct leave *leave)
{
  const struct reg_target *target
      = reg_find_hash (fleet->registry, leave->target);
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "leaving", NULL, "ended"))
    return;
  log_text (&line, "target", target != NULL ? target->id : NULL);
  log_hash (&line, "target_hash", leave->target);
  log_number (&line, "incarnation", (int64_t)leave->incarnation);
  log_text (&line, "cause", target != NULL ? by_process : by_removal);
  log_end (&line);
}

/* Adds LEAVE to LEAVES, unless its target was removed or replaced since the
   last heartbeat.  */
static void
add_to_message (const struct fleet *fleet, struct wire_leaves *leaves,
                const struct leave *leave)
{
  const struct reg_target *target
      = reg_find_hash (fleet->registry, leave->target);

  if (target == NULL || !target->notice.is_leaving)
    return;
  leaves->leave[leaves->count++] = (struct wire_leave){
    .target = target->hash,
    .incarnation = target->notice.process.incarnation,
    .position = target->position,
  };
}

/* Tells all other instances what they have not been told yet, as much as one
   datagram holds, unless that was done just before.  */
static void
tell (struct fleet *fleet, clk_ms now)
{
  struct wire_message message = { .kind = WIRE_LEAVES };
  int64_t interval_ms
      = MAX (g_hash_table_size (fleet->peers) / TELL_DATAGRAMS_PER_MS,
             TELL_INTERVAL_MS);
  guint i = 0;

  if (now - fleet->leaves_told_ms < interval_ms)
    return;
  for (; i < fleet->leaves->len && message.u.leaves.count < WIRE_LEAVES_MAX;
       i++)
    {
      struct leave *leave = &g_array_index (fleet->leaves, struct leave, i);

      if (!leave->is_unsent)
        continue;
      leave->is_unsent = 0;
      add_to_message (fleet, &message.u.leaves, leave);
    }
  if (message.u.leaves.count == 0)
    return;
  fleet->leaves_told_ms = now;
  fleet_broadcast (fleet, &message);
}
