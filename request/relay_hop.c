/* Hops: attempts through another instance, while this one is cut off from the
   targets.  The other instance chooses the target and makes the attempts.  */
#include <math.h>
#include <string.h>

#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  CHECK_INTERVAL_MS = 5,
  ANSWERS_WAIT_MS = 60, /* a few round trips between failure domains */
  PROBES_WAIT_MS = 700, /* two rounds of probes */
  CONNECT_FAILURES_TO_WAIT = 2,
  REFUSALS_MAX = 2,
  HEXADECIMAL_BASE = 16
};

static struct reg_target *choose_hop (struct relay *relay, clk_ms now,
                                      struct bal_choice *choice);
static int may_wait (struct relay *relay, int64_t wait_ms, clk_ms now);

/* Returns the target for RELAY's next attempt, or NULL, as relay_choose_target
   does.  While the instance is cut off from the service, it is another
   instance that reaches it, if there is one.  Sets waits_for_reach if that is
   yet to be known.  Neither another instance nor a wait helps if all targets
   are evacuated.  */
struct reg_target *
relay_pick (struct relay *relay, clk_ms now, struct bal_choice *choice,
            size_t *count)
{
  enum reach_state state = router_reach_state (relay->router, relay->service);
  struct reg_target *target = NULL;

  *choice = (struct bal_choice){ .reason = BAL_NO_TARGET, .limit = INFINITY };
  *count = 0;
  relay->waits_for_reach = 0;
  if (relay_is_evacuated (relay))
    {
      choice->reason = BAL_ALL_EVACUATED;
      return NULL;
    }
  if (state == REACH_CUT_OFF && relay->hop != NULL)
    return NULL;
  if (state == REACH_CUT_OFF)
    target = choose_hop (relay, now, choice);
  if (target != NULL || relay->waits_for_reach
      || (state == REACH_CUT_OFF && relay->hop_count > 0))
    return target;
  if (relay->connect_failures < RELAY_CONNECT_FAILURES_MAX)
    target = relay_choose_target (relay, now, choice, count);
  if (state == REACH_SUSPECT && relay->hop == NULL
      && (target == NULL ? choice->reason == BAL_NO_TARGET
                         : relay->connect_failures >= CONNECT_FAILURES_TO_WAIT)
      && may_wait (relay, PROBES_WAIT_MS, now))
    {
      relay->waits_for_reach = 1;
      return NULL;
    }
  return target;
}

/* Returns what stands for the instance that RELAY is to be sent through, or
   NULL.  Sets waits_for_reach if answers may change that.  */
static struct reg_target *
choose_hop (struct relay *relay, clk_ms now, struct bal_choice *choice)
{
  struct hop_peer *peer;
  int awaits;

  if (relay->hop_count >= RELAY_HOPS_MAX)
    return NULL;
  peer = router_hop_choose (relay->router, relay->service, relay->hop_tried,
                            relay->hop_count, &awaits);
  if (peer == NULL)
    {
      relay->waits_for_reach
          = awaits && may_wait (relay, ANSWERS_WAIT_MS, now);
      return NULL;
    }
  choice->reason = BAL_HOP;
  choice->load = peer->load;
  return peer->target;
}

/* Returns whether RELAY, which has waited before or not, may wait at NOW, in
   all WAIT_MS.  */
static int
may_wait (struct relay *relay, int64_t wait_ms, clk_ms now)
{
  if (relay->reach_awaited_ms == 0)
    relay->reach_awaited_ms = now;
  return now - relay->reach_awaited_ms < wait_ms && now < relay->deadline_ms;
}

/* Has the target for RELAY looked for again in CHECK_INTERVAL_MS.  */
void
relay_wait_for_reach (struct relay *relay)
{
  struct ev_loop *loop = relay->router->loop;

  ev_timer_stop (loop, &relay->timer);
  ev_timer_set (&relay->timer, (double)CHECK_INTERVAL_MS / CLK_MS_PER_S, 0);
  ev_timer_start (loop, &relay->timer);
}

/* Returns whether RELAY, which cannot connect to targets, may yet go through
   another instance.  */
int
relay_hop_may_help (const struct relay *relay)
{
  return relay->hop == NULL && relay->hop_count < RELAY_HOPS_MAX
         && router_reach_state (relay->router, relay->service) != REACH_OPEN;
}

/* Records that the current attempt of RELAY goes through another instance.  */
void
relay_hop_begin (struct relay *relay)
{
  struct hop_peer *peer
      = router_hop_peer (relay->router, relay->service, relay->attempt.target);

  relay->attempt.is_first_send = 1;
  relay->attempt.software = 0;
  if (relay->hop_count < RELAY_HOPS_MAX)
    relay->hop_tried[relay->hop_count++]
        = (uint32_t)relay->attempt.target->hash;
  if (peer != NULL)
    peer->sent++;
}

/* Appends to OUT, the head of RELAY's hop, what this instance has decided.  */
void
relay_hop_append_mark (const struct relay *relay, GString *out)
{
  const struct rt_route *route = relay->route;
  const struct hop_peer *peer
      = router_hop_peer (relay->router, relay->service, relay->attempt.target);
  uint32_t attempts_max = MAX (route->attempts_max, 1);
  struct hop_mark mark
      = { .token = peer != NULL ? peer->token : 0,
          .sender = fleet_self (relay->router->fleet),
          .kind = route->kind,
          .is_resumable = route->is_resumable,
          .has_context = route->has_context,
          .is_split = relay_origin_is_split (relay),
          .is_counted = relay->is_counted,
          .takes_up = relay->takes_up,
          .attempts_max
          = attempts_max - MIN (relay->tried_count, attempts_max - 1),
          .objective_ms = MIN (route->objective_ms, INT32_MAX),
          .pause_ms = MIN (route->pause_ms, INT32_MAX),
          .software = relay->software,
          .stream = relay->stream };

  g_strlcpy (mark.service, relay->service, sizeof mark.service);
  if (relay->customer != NULL)
    g_strlcpy (mark.customer, relay->customer->name, sizeof mark.customer);
  g_string_append_printf (out, "%s: ", hop_field);
  hop_mark_print (out, &mark);
  g_string_append (out, "\r\n");
}

/* Reads from HEAD, the response to a hop of RELAY, whether it is a target's,
   and of which version.  Returns 0, or -1 if it is no valid response.  */
int
relay_hop_read_head (struct relay *relay, const struct http_head *head)
{
  const char *value = http_head_get (head, hop_field);
  guint64 software;

  if (value != NULL && strcmp (value, hop_refused) == 0)
    {
      relay->attempt.not_run = head->status == HTTP_STATUS_SERVICE_UNAVAILABLE;
      relay->attempt.is_final = !relay->attempt.not_run;
      return relay->attempt.not_run ? 0 : -1;
    }
  if (value == NULL)
    {
      relay->attempt.not_run
          = head->status >= HTTP_STATUS_BAD_REQUEST
            && head->status < HTTP_STATUS_INTERNAL_SERVER_ERROR;
      return relay->attempt.not_run ? 0 : -1;
    }
  if (!g_ascii_string_to_unsigned (value, HEXADECIMAL_BASE, 0, UINT64_MAX,
                                   &software, NULL))
    return -1;
  relay->attempt.software = software;
  return 0;
}

/* Returns whether FAULT of the current attempt of RELAY ends it, as the
   instance that it went through has made all attempts.  */
int
relay_hop_is_final (const struct relay *relay, enum retry_fault fault)
{
  return relay->attempt.target->is_peer
         && (fault == RETRY_FAULT_ERROR_STATUS || relay->attempt.is_final
             || (fault == RETRY_FAULT_REJECTED
                 && relay->hop_refusals >= REFUSALS_MAX));
}

/* Records what FAULT of the current attempt of RELAY says of the instance that
   it went through.  */
void
relay_hop_fail (struct relay *relay, enum retry_fault fault)
{
  int refused = fault == RETRY_FAULT_REJECTED;

  relay->is_counted |= fault != RETRY_FAULT_CONNECT;
  if (fault == RETRY_FAULT_ERROR_STATUS || relay->attempt.is_final)
    return;
  /* What it refuses concerns this request; the next one may find a place.  */
  if (!refused && fault != RETRY_FAULT_UNREAD)
    router_hop_avoid (relay->router, relay->service, relay->attempt.target);
  relay->sends -= refused;
  relay->hop_refusals += refused;
}

/* Ends the current attempt of RELAY if the instance that it goes through is
   lost; nothing but its silence may show that.  */
void
relay_hop_check (struct relay *relay)
{
  const struct hop_peer *peer
      = router_hop_peer (relay->router, relay->service, relay->attempt.target);

  if (peer == NULL || !hop_is_lost (peer))
    relay_arm_timer (relay);
  else
    relay_handle_fault (relay, RETRY_FAULT_DISCONNECTED);
}
