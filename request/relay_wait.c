/* Requests that wait for capacity of their service.

   Each service has a queue.  While the service is short of capacity, a request
   waits there if others go first, or no target takes it now.  The queue tries
   its first requests when an attempt of this instance has ended, and every
   POLL_MS, as places that other instances free become known by load updates.
   Every dispatch goes through relay_dispatch and its choice of a target.  */
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "libqueue.h"

enum
{
  POLL_MS = 5, /* load updates come no more often */
  /* Requests that find no target while others may, as they have tried it.  */
  MISSES_MAX = 2,
  REWAITS_MAX = 2,
  /* Load, in percent of a target's limit, that is a sign of too little
     capacity: until there is one, the counts of others are up to 100 ms old,
     and targets may let requests wait.  */
  SIGN_PERCENT = 150,
  SPARE_PERCENT = 75,  /* of its slots, used by a target with some to spare */
  SCARCE_TOLD_MS = 500 /* load updates are quick for so long */
};

static int may_queue (const struct relay *relay);
static int is_continued (const struct relay *relay);
static void set_turn (struct relay *relay);
static int is_over_share (const struct relay_queue *queue,
                          const struct relay *relay, clk_ms now);
static int look_ahead (const struct wait *wait, struct relay *relay,
                       clk_ms now, struct wait_view *view);
static int any_is_free (const struct relay_selection *selection);
static int is_at_limit (const struct bal_candidate *candidate,
                        const struct reg_target *target, int32_t more,
                        clk_ms now);
static int is_rejection (const struct relay *relay);
static int has_spare (const struct relay_queue *queue);
static int enqueue (struct relay_queue *queue, struct relay *relay,
                    clk_ms now);
static void begin_wait (struct relay_queue *queue, struct relay *relay,
                        clk_ms now);
static void note_wait (const struct relay_queue *queue, clk_ms now);
static void refuse (struct relay_queue *queue, struct relay *relay,
                    enum queue_refusal refusal, clk_ms now);
static void refuse_overdue (struct relay_queue *queue, clk_ms now);
static void set_poll (struct relay_queue *queue, int64_t ms);

static const enum relay_refusal refusals[QUEUE_REFUSALS]
    = { RELAY_OVER_SHARE, RELAY_QUEUE_FULL, RELAY_QUEUE_LATE };

/* Returns whether RELAY may wait for capacity: this instance sends it to
   targets.  */
static int
may_queue (const struct relay *relay)
{
  return relay->router->settings->admission_queue
         && router_reach_state (relay->router, relay->service)
                != REACH_CUT_OFF;
}

/* Returns whether a target may have begun RELAY, so that its client has
   something to lose.  */
static int
is_continued (const struct relay *relay)
{
  return relay->software != 0 || relay->may_have_run || relay->head_sent;
}

/* Returns whether a target of QUEUE's service is far from having all slots
   used and nothing waits, so that the level admits less than could run.  */
static int
has_spare (const struct relay_queue *queue)
{
  const GPtrArray *targets = queue->router->registry->array;
  clk_ms now = clk_now (clk_monotonic ());

  if (queue->wait.queue.waiting > 0)
    return 0;
  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);

      if (target->service == queue->service && !target->leaving
          && pause_left_ms (&target->notice, now) == 0
          && !rate_is_limited (&target->rate)
          && !room_is_brittle (target->room_service, now)
          && health_get_state (&target->health, now) == HEALTH_USABLE
          && reg_counted_load (target) * 100
                 < (double)target->slots * SPARE_PERCENT)
        return 1;
    }
  return 0;
}

/* Called before a target is chosen for RELAY.  Returns whether RELAY waits or
   was refused instead, as its service is short of capacity.  */
int
relay_wait_before (struct relay *relay, clk_ms now)
{
  struct relay_queue *queue;
  struct wait *wait;

  if (!may_queue (relay))
    return 0;
  queue = relay_queue_get (relay);
  wait = &queue->wait;
  if (queue->tried == relay)
    return 0;
  set_turn (relay);
  if (!relay->is_demand && relay->turn.class != TURN_CONTINUED)
    demand_count (&wait->demand, relay->turn.class, relay->turn.customer, now);
  relay->is_demand = 1;
  if (!wait_is_scarce (wait, now))
    return 0;
  if (is_over_share (queue, relay, now))
    {
      refuse (queue, relay, QUEUE_OVER_SHARE, now);
      return 1;
    }
  relay->is_admitted = 1;
  return turn_ahead (&wait->queue, &relay->turn) > 0
         && enqueue (queue, relay, now);
}

/* Sets by what RELAY is ordered in the queue.  */
static void
set_turn (struct relay *relay)
{
  relay->turn.class = is_continued (relay) ? TURN_CONTINUED
                                           : turn_class_of (relay->urgency);
  relay->turn.customer
      = relay->customer != NULL ? rank_hash (relay->customer->name) : 0;
  relay->turn.limit_ms = relay->deadline_ms;
}

/* Returns whether the level leaves RELAY out, whose turn is set.  */
static int
is_over_share (const struct relay_queue *queue, const struct relay *relay,
               clk_ms now)
{
  return !relay->is_admitted && relay->turn.class != TURN_CONTINUED
         && !wait_admits (&queue->wait, relay->turn.class,
                          relay->turn.customer,
                          g_rand_double (relay->router->random), now)
         && !has_spare (queue);
}

/* Called when no target was chosen for RELAY, which is described in CHOICE.
   Returns whether RELAY waits or was refused, as its service is short of
   capacity.  */
int
relay_wait_after (struct relay *relay, const struct bal_choice *choice,
                  clk_ms now)
{
  struct relay_queue *queue;

  if (choice->reason != BAL_ALL_FULL || !may_queue (relay))
    return 0;
  queue = relay_queue_get (relay);
  relay_queue_note_sign (queue, now);
  if (queue->tried != relay)
    return enqueue (queue, relay, now);
  queue->misses++;
  begin_wait (queue, relay, now);
  return 1;
}

/* Has RELAY wait, or refuses it if it would wait for too long, and with it
   others that are less urgent.  A call waits only if it is expected to be
   answered by its objective, since otherwise a full queue makes all calls
   late; once it waits, it has until its deadline.  Returns 0 if RELAY may have
   run and cannot wait.  */
static int
enqueue (struct relay_queue *queue, struct relay *relay, clk_ms now)
{
  struct wait_view view;

  if (!look_ahead (&queue->wait, relay, now, &view))
    {
      if (relay->may_have_run)
        return 0;
      refuse (queue, relay, QUEUE_FULL, now);
      return 1;
    }
  if (relay->route->kind != RT_STREAM)
    relay->turn.limit_ms
        = wait_limit_of (&queue->wait, relay->deadline_ms, INT64_MAX, now);
  relay->turn.since_ms = now;
  relay_wait_log (relay, "waiting", &view, 0, now);
  begin_wait (queue, relay, now);
  refuse_overdue (queue, now);
  return 1;
}

/* Sets until when RELAY may wait, and VIEW to what is known of its wait in
   WAIT.  Returns whether it would be served in time.  */
static int
look_ahead (const struct wait *wait, struct relay *relay, clk_ms now,
            struct wait_view *view)
{
  const struct rt_route *route = relay->route;
  clk_ms objective_ms = !relay->head_sent && route->objective_ms > 0
                            ? relay->arrived_ms + route->objective_ms
                            : INT64_MAX;

  relay->turn.limit_ms
      = wait_limit_of (wait, relay->deadline_ms, objective_ms, now);
  wait_look (wait, &relay->turn, now, view);
  return wait_is_in_time (view, &relay->turn, now);
}

/* Adds RELAY, whose limit is set, to QUEUE.  */
static void
begin_wait (struct relay_queue *queue, struct relay *relay, clk_ms now)
{
  struct ev_loop *loop = queue->router->loop;

  /* A wait for reach is over: the timer now ends this one.  */
  relay->waits_for_reach = 0;
  turn_add (&queue->wait.queue, &relay->turn);
  ev_timer_stop (loop, &relay->timer);
  ev_timer_set (&relay->timer,
                (double)MAX (relay->turn.limit_ms - now, 0) / CLK_MS_PER_S, 0);
  ev_timer_start (loop, &relay->timer);
  if (!ev_is_active (&queue->poll))
    set_poll (queue, POLL_MS);
  note_wait (queue, now);
}

/* Records that requests wait in QUEUE, if its service has targets.  */
static void
note_wait (const struct relay_queue *queue, clk_ms now)
{
  struct room_service *state
      = reg_room_service (queue->router->registry, queue->service);

  if (state != NULL)
    room_count_wait (state, now);
}

/* Refuses RELAY, for which there is no capacity in time.  */
static void
refuse (struct relay_queue *queue, struct relay *relay,
        enum queue_refusal refusal, clk_ms now)
{
  struct wait_view view;

  relay_wait_leave (relay);
  wait_look (&queue->wait, &relay->turn, now, &view);
  relay->retry_after_ms
      = wait_book (&queue->wait, &view, relay->deadline_ms - now, now);
  queue->refused[refusal][relay->turn.class]++;
  relay_wait_log (relay, relay_queue_refusal_names[refusal], &view,
                  relay->retry_after_ms, now);
  relay_refuse (relay,
                relay->may_have_run ? RELAY_TARGET_FAILED : refusals[refusal]);
}

/* Refuses the least urgent request of QUEUE if it will not be served in time.
   One at a time: what the level says of all instances does not fall with each
   refusal here, and all instances have the same level.  */
static void
refuse_overdue (struct relay_queue *queue, clk_ms now)
{
  struct turn *turn = wait_overdue (&queue->wait, now);

  if (turn != NULL)
    refuse (queue,
            (struct relay *)((char *)turn - offsetof (struct relay, turn)),
            QUEUE_FULL, now);
}

/* Ends the wait of RELAY, whose time for it is over.  */
void
relay_wait_expire (struct relay *relay)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (now < relay->deadline_ms)
    refuse (relay_queue_find (relay), relay, QUEUE_LATE, now);
  else
    relay_refuse (relay, relay->may_have_run ? RELAY_DEADLINE
                                             : RELAY_DEADLINE_UNSENT);
}

/* Takes RELAY, which ends, out of its queue if it waits.  The next request may
   have the same address, and has not been tried.  */
void
relay_wait_leave (struct relay *relay)
{
  struct relay_queue *queue = relay_queue_find (relay);

  if (queue != NULL && queue->tried == relay)
    queue->tried = NULL;
  if (relay->turn.flow != NULL)
    turn_remove (&relay_queue_find (relay)->wait.queue, &relay->turn);
}

/* Has QUEUE tried in MS milliseconds.  */
static void
set_poll (struct relay_queue *queue, int64_t ms)
{
  ev_timer_stop (queue->router->loop, &queue->poll);
  ev_timer_set (&queue->poll, (double)ms / CLK_MS_PER_S, 0);
  ev_timer_start (queue->router->loop, &queue->poll);
}

/* Dispatches the first requests of the queue as long as targets take them.  */
void
relay_queue_on_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct relay_queue *queue = timer->data;
  struct turn *turn;

  (void)loop;
  (void)events;
  queue->round++;
  queue->misses = 0;
  note_wait (queue, clk_now (clk_monotonic ()));
  refuse_overdue (queue, clk_now (clk_monotonic ()));
  while (queue->misses < MISSES_MAX
         && (turn = turn_first (&queue->wait.queue, queue->round)) != NULL)
    {
      struct relay *relay
          = (struct relay *)((char *)turn - offsetof (struct relay, turn));

      turn_remove (&queue->wait.queue, turn);
      turn->round = queue->round;
      queue->tried = relay;
      relay_dispatch (relay);
      queue->tried = NULL;
    }
  if (queue->wait.queue.waiting > 0)
    set_poll (queue, POLL_MS);
}

/* Marks the candidates for RELAY in SELECTION that are at their limits or have
   just turned a request away, if its service is short of capacity or all of
   them are.  One that goes first may take one place more.  A stream that goes
   on does not wait for that.  */
void
relay_wait_limit (const struct relay *relay, struct relay_selection *selection,
                  clk_ms now)
{
  const struct relay_queue *queue = relay_queue_find (relay);
  int is_scarce = queue != NULL && wait_is_scarce (&queue->wait, now);
  int32_t more = 0;

  if (!relay->router->settings->admission_queue || relay->software != 0
      || (!is_scarce && any_is_free (selection)))
    return;
  if (is_scarce)
    more = wait_extra_places (&queue->wait, &relay->turn, now);
  for (size_t i = 0; i < selection->count; i++)
    if (is_at_limit (&selection->candidates[i], selection->targets[i], more,
                     now))
      selection->candidates[i].has_no_room = 1;
}

/* Returns whether a target in SELECTION has no sign of too little capacity. */
static int
any_is_free (const struct relay_selection *selection)
{
  for (size_t i = 0; i < selection->count; i++)
    {
      const struct bal_candidate *candidate = &selection->candidates[i];
      const struct reg_target *target = selection->targets[i];

      if (candidate->state == HEALTH_USABLE && !candidate->is_leaving
          && !candidate->is_paused
          && candidate->load * 100
                 < (double)wait_limit_get (&target->wait_limit, target->slots)
                       * SIGN_PERCENT)
        return 1;
    }
  return 0;
}

/* Returns whether TARGET, which is CANDIDATE, is at its limit, MORE places
   added, or has just turned a request away.  */
static int
is_at_limit (const struct bal_candidate *candidate,
             const struct reg_target *target, int32_t more, clk_ms now)
{
  const struct wait_limit *limit = &target->wait_limit;

  return now < limit->closed_until_ms
         || candidate->load
                >= (double)wait_limit_get (limit, target->slots) + more;
}

/* Records at the targets in SELECTION, marked by relay_wait_limit, that
   RELAY's service is short of capacity, if it is: limits that are reached may
   grow.  */
void
relay_wait_note_limits (const struct relay *relay,
                        const struct relay_selection *selection, clk_ms now)
{
  const struct relay_queue *queue = relay_queue_find (relay);
  int32_t more;

  if (!relay->router->settings->admission_queue || relay->software != 0
      || queue == NULL || !wait_is_scarce (&queue->wait, now))
    return;
  more = wait_extra_places (&queue->wait, &relay->turn, now);
  for (size_t i = 0; i < selection->count; i++)
    {
      const struct bal_candidate *candidate = &selection->candidates[i];
      struct reg_target *target = selection->targets[i];

      target->wait_limit.scarce_until_ms = now + SCARCE_TOLD_MS;
      if (is_at_limit (candidate, target, more, now))
        wait_limit_reach (&target->wait_limit, target->slots, candidate->load,
                          now);
    }
}

/* Sets FORECAST to what relay_wait_before would do with RELAY at NOW, if
   CHOICE is NULL, or else relay_wait_after with CHOICE.  Only RELAY's turn
   changes.  */
void
relay_wait_foresee (struct relay *relay, const struct bal_choice *choice,
                    clk_ms now, struct relay_wait_forecast *forecast)
{
  const struct relay_queue *queue = relay_queue_find (relay);
  struct wait empty;
  struct wait wait;
  int is_refused;

  *forecast = (struct relay_wait_forecast){ .step = RELAY_WAIT_GOES_ON };
  if (!may_queue (relay))
    return;
  set_turn (relay);
  if (choice == NULL ? queue == NULL || !wait_is_scarce (&queue->wait, now)
                     : choice->reason != BAL_ALL_FULL)
    return;
  is_refused = choice == NULL && is_over_share (queue, relay, now);
  if (choice == NULL && !is_refused
      && turn_ahead (&queue->wait.queue, &relay->turn) == 0)
    return;
  wait_init (&empty);
  wait = queue != NULL ? queue->wait : empty;
  forecast->refusal = is_refused ? RELAY_OVER_SHARE : RELAY_QUEUE_FULL;
  if (is_refused)
    wait_look (&wait, &relay->turn, now, &forecast->view);
  else
    is_refused = !look_ahead (&wait, relay, now, &forecast->view);
  forecast->step = is_refused ? RELAY_WAIT_REFUSED : RELAY_WAIT_QUEUED;
  /* The booking is made in the copy.  */
  if (is_refused)
    forecast->retry_after_ms
        = wait_book (&wait, &forecast->view, relay->deadline_ms - now, now);
  wait_clear (&empty);
}

/* Records that RELAY is sent to a target.  */
void
relay_wait_sent (struct relay *relay, clk_ms now)
{
  struct relay_queue *queue = relay_queue_find (relay);

  if (queue == NULL || !may_queue (relay))
    return;
  turn_serve (&queue->wait.queue, relay->turn.class, relay->turn.customer);
  if (relay->turn.since_ms == 0)
    return;
  metric_observe (METRIC_HIST_WAIT_MS, now - relay->turn.since_ms);
  queue->waited[relay->turn.class]++;
  relay->turn.since_ms = 0;
}

/* Records the end of the current attempt of RELAY, if there is one, with
   EVENT: others may take its place.  */
void
relay_wait_ended (struct relay *relay, enum health_event event)
{
  const struct relay_attempt *attempt = &relay->attempt;
  clk_ms now = clk_now (clk_monotonic ());
  struct relay_queue *queue;

  if (attempt->target == NULL || attempt->target->is_peer
      || !relay->router->settings->admission_queue)
    return;
  queue = relay_queue_find (relay);
  if (queue == NULL)
    return;
  if (event == HEALTH_RESPONDED || event == HEALTH_SERVER_ERROR)
    wait_count_end (
        &queue->wait,
        (attempt->first_event_ms != 0 ? attempt->first_event_ms : now)
            - attempt->sent_ms,
        now);
  if (queue->wait.queue.waiting > 0 && queue->tried == NULL)
    set_poll (queue, 0);
}

/* Returns whether the target of the current attempt of RELAY has turned it
   away for want of capacity, other than of its rate or by asking for a pause.
   A stream that goes on does not wait, so the target is suspended for it as
   without a queue.  */
int
relay_wait_is_rejection (const struct relay *relay)
{
  return is_rejection (relay) && !relay->attempt.asked_pause;
}

/* Returns whether the target of the current attempt of RELAY has turned it
   away for want of capacity, or for a pause.  */
static int
is_rejection (const struct relay *relay)
{
  const struct relay_attempt *attempt = &relay->attempt;

  return relay->router->settings->admission_queue && relay->software == 0
         && attempt->not_run
         && attempt->status == HTTP_STATUS_SERVICE_UNAVAILABLE
         && !attempt->target->is_peer
         && !rate_is_limited (&attempt->target->rate);
}

/* Handles such a rejection.  */
void
relay_wait_reject (struct relay *relay)
{
  struct reg_target *target = relay->attempt.target;
  clk_ms now = clk_now (clk_monotonic ());
  int32_t limit = wait_limit_reject (&target->wait_limit, target->slots,
                                     reg_counted_load (target) - 1, now);
  struct relay_queue *queue = relay_queue_get (relay);

  target->wait_limit.closed_until_ms
      = now + wait_place_ms (&queue->wait, target->slots);
  relay_wait_log_limit (relay, limit);
  relay_queue_note_sign (queue, now);
}

/* Returns whether RELAY, which such a rejection has left without attempts, by
   DECISION, may wait for the same targets again.  Draws on the retry budget if
   so.  */
int
relay_wait_again (struct relay *relay, const struct retry_decision *decision)
{
  if (decision->reason != RETRY_REASON_ATTEMPTS || relay->may_have_run
      || !is_rejection (relay) || relay->rejections > 0
      || relay->rewaits >= REWAITS_MAX
      || !retry_budget_take (
          router_retry_budget (relay->router, relay->service)))
    return 0;
  relay->rewaits++;
  return 1;
}
