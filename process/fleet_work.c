/* Tokens still to be read at the targets, as the other instances report them.

   Only amounts of WORK_TELL_TOKENS or more are sent: fewer are read before a
   caller notices.  An instance sends an amount at once, and again when it has
   been read; what changes meanwhile goes into the same datagram.  An amount
   counts at the receiver for some seconds only (work.c), so that neither a
   lost datagram nor an instance that has ended leaves one behind.  */
#include "libfleet.h"

enum
{
  /* At most 33 datagrams to a peer in a second, of 2,000 to all.  */
  TELL_INTERVAL_MS = 30,
  TOLD_PER_MS = 2
};

static void schedule (struct fleet *fleet, clk_ms now);
static void on_due (struct ev_loop *loop, ev_timer *timer, int events);

/* Starts to follow the unread tokens of this instance.  */
void
fleet_work_init (struct fleet *fleet)
{
  ev_timer_init (&fleet->work_timer, on_due, 0, 0);
  fleet->work_timer.data = fleet;
}

/* Undoes fleet_work_init.  */
void
fleet_work_clear (struct fleet *fleet)
{
  ev_timer_stop (fleet->loop, &fleet->work_timer);
}

/* Handles a change of this instance's unread tokens at TARGET.  */
void
fleet_work_changed (struct fleet *fleet, const struct reg_target *target)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (fleet->settings->work_aware && target->registry != NULL
      && work_needs_update (&target->work, now))
    schedule (fleet, now);
}

/* Tells the peers again, with a heartbeat, what has been there for long.  */
void
fleet_work_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;

  if (!fleet->settings->work_aware)
    return;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);

      if (work_needs_update (&target->work, now))
        schedule (fleet, now);
    }
}

/* Schedules the next datagram, unless it is.  */
static void
schedule (struct fleet *fleet, clk_ms now)
{
  int64_t interval_ms
      = MAX (g_hash_table_size (fleet->peers) / TOLD_PER_MS, TELL_INTERVAL_MS);
  clk_ms due_ms = MAX (now, fleet->work_told_ms + interval_ms);

  if (ev_is_active (&fleet->work_timer))
    return;
  ev_timer_set (&fleet->work_timer, (double)(due_ms - now) / CLK_MS_PER_S, 0);
  ev_timer_start (fleet->loop, &fleet->work_timer);
}

/* Tells the peers what has changed; what does not fit follows.  */
static void
on_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  const GPtrArray *targets = fleet->registry->array;
  struct wire_message message = { .kind = WIRE_WORK };
  struct wire_work *work = &message.u.work;
  clk_ms now = clk_now (clk_monotonic ());

  (void)loop;
  (void)events;
  for (guint i = 0; i < targets->len && work->count < WIRE_WORK_MAX; i++)
    {
      struct reg_target *target = g_ptr_array_index (targets, i);

      if (!work_needs_update (&target->work, now))
        continue;
      work->item[work->count].target = target->hash;
      work->item[work->count++].tokens = work_announce (&target->work, now);
    }
  if (work->count == 0)
    return;
  fleet->work_told_ms = now;
  fleet_broadcast (fleet, &message);
  if (work->count == WIRE_WORK_MAX)
    schedule (fleet, now);
}

/* Records what PEER has told of its tokens.  */
void
fleet_apply_work (struct fleet *fleet, const struct fleet_peer *peer,
                  const struct wire_work *work)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t i = 0; i < work->count; i++)
    {
      struct reg_target *target
          = reg_find_hash (fleet->registry, work->item[i].target);

      if (target != NULL)
        work_set_reported (&target->work, target->work_service, peer->id,
                           work->item[i].tokens, now);
    }
}
