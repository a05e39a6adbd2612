/* Attempts whose target is silent.  Such a target may be sound and go on, so
   its attempt ends only once another attempt, its replacement, has something
   for the client, or has had time for it.  */
#include <string.h>

#include "ibisloom/buffer.h"
#include "librelay.h"

enum
{
  /* Two targets work on a request for no longer than this, which leaves time
     for the end of a connection to arrive.  */
  OVERLAP_MS = 250,
  CONNECT_EXTENSION_MS = 50, /* of the overlap, until a connection is there */
  UNREAD_MS = 20,            /* time for input that has arrived to be read */
  LOOK_AGAIN_MS = 250,       /* by then, another target may be free */
  KEPT_BODY_MAX_BYTES = 65536
};

static void begin_silence (struct relay *relay, clk_ms now);
static int may_be_dark (const struct relay_attempt *attempt);
static void wait_on (struct relay *relay, enum retry_reason reason, clk_ms now,
                     int is_first);
static void keep_attempt (struct relay *relay, clk_ms now);
static void cancel_replacement (struct relay *relay);
static int on_head (void *owner, const struct http_head *head, int64_t length);
static int on_data (void *owner, const char *data, size_t length);
static void on_end (void *owner);
static void on_fail (void *owner, enum out_fault fault);

static const struct out_ops kept_ops
    = { on_head, on_data, on_end, on_fail, NULL };

/* Looks for a replacement of the current attempt, which is past its read
   timeout.  The attempt goes on, beside its replacement or alone.  */
void
relay_handle_silence (struct relay *relay)
{
  clk_ms now = clk_now (clk_monotonic ());
  int is_first = !relay->attempt.is_silent;
  struct retry_decision decision;
  struct bal_choice choice;
  struct reg_target *target;
  size_t count;

  if (is_first)
    begin_silence (relay, now);
  target = relay_pick (relay, now, &choice, &count);
  relay->waits_for_reach = 0;
  if (target == NULL)
    {
      wait_on (relay, RETRY_REASON_NO_TARGET, now, is_first);
      return;
    }
  relay_decide (relay, RETRY_FAULT_READ_TIMEOUT, &decision);
  if (decision.action == RETRY_GIVE_UP)
    {
      wait_on (relay, decision.reason, now, is_first);
      return;
    }
  if (!target->is_peer && !relay_parts_admitted (relay))
    {
      retry_budget_deposit (
          router_retry_budget (relay->router, relay->service), 1);
      wait_on (relay, RETRY_REASON_QUARANTINED, now, is_first);
      return;
    }
  relay_log_fault (relay, RETRY_FAULT_READ_TIMEOUT, &decision, now);
  keep_attempt (relay, now);
  relay_send (relay, target, &choice, count);
}

/* Returns whether the connection of ATTEMPT may have gone dark: it was kept
   from an earlier request, and nothing has arrived since.  */
static int
may_be_dark (const struct relay_attempt *attempt)
{
  return attempt->status == 0 && attempt->call != NULL
         && out_call_reused_connection (attempt->call);
}

/* Records that the target of the current attempt has fallen silent.  */
static void
begin_silence (struct relay *relay, clk_ms now)
{
  struct reg_target *target = relay->attempt.target;
  int is_dark = may_be_dark (&relay->attempt);

  relay->attempt.is_silent = 1;
  /* It may wait for long; others may try the target meanwhile.  */
  health_end_request (&target->health, relay->attempt.is_trial);
  relay->attempt.is_trial = 0;
  relay->may_have_run = 1;
  relay_parts_suspect (relay, RETRY_FAULT_READ_TIMEOUT);
  metric_inc (retry_counters[RETRY_FAULT_READ_TIMEOUT]);
  if (!relay->attempt.is_new_connection)
    router_reach_fail (relay->router, target);
  health_record (&target->health,
                 is_dark ? HEALTH_KEPT_SILENT : HEALTH_TIMED_OUT, now);
  if (is_dark)
    out_pool_drop_idle (&relay->router->pool, &target->address);
}

/* Keeps the current attempt, as it can't be replaced for REASON, which is
   logged if IS_FIRST.  */
static void
wait_on (struct relay *relay, enum retry_reason reason, clk_ms now,
         int is_first)
{
  const struct retry_decision decision
      = { .action = RETRY_WAIT, .reason = reason };

  if (is_first)
    relay_log_fault (relay, RETRY_FAULT_READ_TIMEOUT, &decision, now);
  relay->look_again_ms = now + LOOK_AGAIN_MS;
  relay_arm_timer (relay);
}

/* Keeps the current attempt beside the one that is about to start.  */
static void
keep_attempt (struct relay *relay, clk_ms now)
{
  relay->kept = relay->attempt;
  relay->kept_until_ms = now + OVERLAP_MS;
  memset (&relay->attempt, 0, sizeof relay->attempt);
  out_call_set_owner (relay->kept.call, &kept_ops, relay);
}

/* Makes the kept attempt the current one again, whose replacement has
   ended.  */
void
relay_return_to_kept (struct relay *relay)
{
  relay_attempt_clear (&relay->attempt);
  relay->attempt = relay->kept;
  memset (&relay->kept, 0, sizeof relay->kept);
  if (relay->attempt.call != NULL)
    out_call_set_owner (relay->attempt.call, &relay_upstream_ops, relay);
}

/* Ends the kept attempt, if there is one, and reports EVENT to its target's
   health record.  */
void
relay_drop_kept (struct relay *relay, enum health_event event)
{
  if (relay->kept.target == NULL)
    return;
  relay_attempt_end (relay, &relay->kept, event);
  relay_attempt_clear (&relay->kept);
}

/* Ends the kept attempt, whose time is over, unless its replacement has no
   connection yet.  */
void
relay_end_overlap (struct relay *relay)
{
  if (relay->attempt.call != NULL && !out_call_was_sent (relay->attempt.call))
    relay->kept_until_ms = clk_now (clk_monotonic ()) + CONNECT_EXTENSION_MS;
  else
    relay_drop_kept (relay, HEALTH_EVENT_COUNT);
  relay_arm_timer (relay);
}

/* Puts off RELAY's timer once if input of an attempt has arrived and was not
   read, as the process stood still: its target is not silent.  Returns whether
   it did so.  */
int
relay_waits_for_input (struct relay *relay)
{
  struct relay_attempt *attempt = &relay->attempt;

  if (attempt->input_awaited
      || !((attempt->call != NULL && out_call_has_unread_input (attempt->call))
           || (relay->kept.call != NULL
               && out_call_has_unread_input (relay->kept.call))))
    return 0;
  attempt->input_awaited = 1;
  ev_timer_stop (relay->router->loop, &relay->timer);
  ev_timer_set (&relay->timer, (double)UNREAD_MS / CLK_MS_PER_S, 0);
  ev_timer_start (relay->router->loop, &relay->timer);
  return 1;
}

/* Puts off RELAY's timer if the target of the current attempt goes on to take
   the request, which it has yet to receive whole: it is slow, not silent.
   Returns whether it did so.  The deadline bounds it.  */
int
relay_waits_for_body (struct relay *relay)
{
  struct relay_attempt *attempt = &relay->attempt;
  uint64_t taken;

  if (attempt->call == NULL || attempt->target->is_peer
      || relay->kept.target != NULL || attempt->is_silent || attempt->not_run
      || !out_call_is_sending (attempt->call, &taken)
      || taken <= attempt->taken_bytes)
    return 0;
  attempt->taken_bytes = taken;
  attempt->last_received_ms = clk_now (clk_monotonic ());
  relay_arm_timer (relay);
  return 1;
}

/* Handles a sign of life of the current attempt: a response head, an event, or
   a piece of a body that is forwarded.  */
void
relay_handle_progress (struct relay *relay)
{
  struct relay_attempt *attempt = &relay->attempt;

  attempt->last_received_ms = clk_now (clk_monotonic ());
  if (attempt->is_silent || attempt->target->health.in_doubt)
    health_record (&attempt->target->health, HEALTH_WENT_ON,
                   attempt->last_received_ms);
  attempt->is_silent = 0;
  attempt->input_awaited = 0;
  relay_arm_timer (relay);
}

/* Ends the replacement, as the target of the kept attempt goes on.  */
static void
cancel_replacement (struct relay *relay)
{
  relay_end_attempt (relay, HEALTH_EVENT_COUNT);
  relay_return_to_kept (relay);
  relay_log_went_on (relay);
}

/* Handles the response head of the kept attempt.  A response that would end
   the attempt does not end its replacement.  */
static int
on_head (void *owner, const struct http_head *head, int64_t length)
{
  struct relay *relay = owner;

  if (!relay_matches_request (relay, relay->kept.call, head))
    return -1;
  relay_read_notices (relay, &relay->kept, head);
  if (relay_is_not_run (relay, head) || relay_promises_not_run (head->status)
      || head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR)
    return -1;
  cancel_replacement (relay);
  return relay_upstream_ops.head (relay, head, length);
}

/* Handles a piece of the response body of the kept attempt.  It goes on with a
   complete event, or with more than is kept of a body.  It ends if no memory
   is left for it.  */
static int
on_data (void *owner, const char *data, size_t length)
{
  struct relay *relay = owner;
  GString **buffer = relay->kept.is_event_stream ? &relay->kept.partial_event
                                                 : &relay->kept.buffered_body;
  size_t *share = relay->kept.is_event_stream ? &relay->kept.event_share
                                              : &relay->kept.body_share;
  struct extra_scan scan = relay->kept.extra;
  size_t before;

  if (relay_has_extra (relay, &relay->kept, data, length))
    return -1;
  if (*buffer == NULL)
    *buffer = g_string_sized_new (length + 1);
  before = (*buffer)->len;
  g_string_append_len (*buffer, data, (gssize)length);
  if (relay->kept.is_event_stream
          ? !relay_events_has_complete (*buffer, before)
          : (*buffer)->len <= KEPT_BODY_MAX_BYTES)
    return buf_reserve (BUF_RECEIVED, share, (*buffer)->allocated_len);
  g_string_truncate (*buffer, before);
  relay->kept.extra = scan; /* DATA is handled once more */
  cancel_replacement (relay);
  return relay_upstream_ops.data (relay, data, length);
}

/* Handles the end of the kept attempt's response.  */
static void
on_end (void *owner)
{
  struct relay *relay = owner;

  relay->kept.call = NULL;
  if (relay_response_fault (relay, &relay->kept) != RETRY_FAULT_COUNT)
    {
      on_fail (relay, OUT_DISCONNECTED);
      return;
    }
  cancel_replacement (relay);
  relay_upstream_ops.end (relay);
}

/* Handles a kept attempt that has failed: its replacement goes on alone.  */
static void
on_fail (void *owner, enum out_fault fault)
{
  struct relay *relay = owner;

  (void)fault;
  relay->kept.call = NULL;
  relay_drop_kept (relay, relay->kept.asked_pause ? HEALTH_EVENT_COUNT
                                                  : HEALTH_DISCONNECTED);
  if (relay->attempt.call != NULL)
    relay_arm_timer (relay);
}
