/* Reach of the instance, by service: probes that decide whether it is cut off
   from the targets, and the instances that it may send requests through.

   While all services are reached, nothing runs and nothing is sent.  */
#include <limits.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/probe.h"
#include "ibisloom/rank.h"
#include "librouter.h"

enum
{
  TICK_MS = 500,
  PROBE_TIMEOUT_MS = 300, /* as for connections to targets */
  /* Without a request for so long, neither probes nor questions are sent.  */
  NEEDED_MS = 5000,
  LOCAL_PEERS = HOP_PEERS_MAX / 2, /* asked of the own failure domain */
  BROKEN_AVOID_MS = 2000
};

/* Reach of one service. */
struct router_reach
{
  struct router *router;
  const char *service; /* interned */
  uint64_t key;        /* hash of its name */
  struct reach reach;
  struct hop_peers hops;
  GQueue probes; /* of struct reach_probe, in progress */
  ev_timer tick;
  clk_ms needed_ms; /* last request, while not open */
  uint8_t was_cut_off;
};

/* Connection attempt to a target. */
struct reach_probe
{
  struct router_reach *owner;
  struct probe *probe;
};

static struct router_reach *get_reach (struct router *router,
                                       const char *service);
static void free_reach (gpointer data);
static void log_change (const struct router_reach *owner, clk_ms now);
static void start_probes (struct router_reach *owner, clk_ms now);
static GArray *list_candidates (const struct router_reach *owner,
                                GPtrArray *targets);
static void start_probe (struct router_reach *owner,
                         const struct sockaddr_in *address, clk_ms now);
static void on_probed (void *closure, enum probe_result result);
static void handle_round (struct router_reach *owner, int has_changed,
                          clk_ms now);
static void wake (struct router_reach *owner, clk_ms now);
static void on_tick (struct ev_loop *loop, ev_timer *timer, int events);
static uint32_t hops_in_progress (const struct router_reach *owner);
static void ask_peers (struct router_reach *owner);
static int is_asked (void *closure, uint32_t peer);
static void replace_peer (struct router_reach *owner, int index);
static void release_peer (struct hop_peer *peer);
static int on_asked (void *closure, struct wire_reach *reach);
static void on_told (void *closure, uint32_t peer,
                     const struct wire_reach *reach);

static const struct fleet_reach_ops reach_ops = { on_asked, on_told };

/* Prepares ROUTER to keep reaches and to exchange them with its fleet.  */
void
router_reach_init (struct router *router)
{
  router->reaches = g_hash_table_new_full (NULL, NULL, NULL, free_reach);
  do
    router->hop_token = (uint64_t)g_random_int ()
                            << (CHAR_BIT * sizeof (guint32))
                        | g_random_int ();
  while (router->hop_token == 0);
}

/* Starts to answer the questions of other instances.  */
void
router_reach_start (struct router *router)
{
  fleet_on_reach (router->fleet, &reach_ops, router);
}

/* Returns the reach of SERVICE, an interned string, created if it is new.  */
static struct router_reach *
get_reach (struct router *router, const char *service)
{
  struct router_reach *owner = g_hash_table_lookup (router->reaches, service);

  if (owner != NULL)
    return owner;
  owner = g_new0 (struct router_reach, 1);
  owner->router = router;
  owner->service = service;
  owner->key = rank_hash (service);
  ev_timer_init (&owner->tick, on_tick, (double)TICK_MS / CLK_MS_PER_S,
                 (double)TICK_MS / CLK_MS_PER_S);
  owner->tick.data = owner;
  g_hash_table_insert (router->reaches, (gpointer)(uintptr_t)service, owner);
  return owner;
}

/* Frees DATA, a struct router_reach.  */
static void
free_reach (gpointer data)
{
  struct router_reach *owner = data;
  struct reach_probe *probe;

  while ((probe = g_queue_pop_head (&owner->probes)) != NULL)
    {
      probe_cancel (probe->probe);
      g_free (probe);
    }
  ev_timer_stop (owner->router->loop, &owner->tick);
  for (int i = 0; i < HOP_PEERS_MAX; i++)
    release_peer (&owner->hops.peer[i]);
  g_free (owner);
}

/* Returns whether SERVICE, an interned string, can be reached.  */
enum reach_state
router_reach_state (const struct router *router, const char *service)
{
  const struct router_reach *owner
      = g_hash_table_lookup (router->reaches, service);

  return owner != NULL ? owner->reach.state : REACH_OPEN;
}

/* Records that TARGET could not be connected to, broke a connection, or was
   silent on an old one.  */
void
router_reach_fail (struct router *router, const struct reg_target *target)
{
  struct router_reach *owner = get_reach (router, target->service);
  GPtrArray *targets = g_ptr_array_new ();
  GArray *candidates = list_candidates (owner, targets);
  clk_ms now = clk_now (clk_monotonic ());
  int is_suspect
      = reach_fail (&owner->reach, target->hash, candidates->len, now);

  g_array_free (candidates, TRUE);
  g_ptr_array_free (targets, TRUE);
  if (!is_suspect)
    return;
  log_change (owner, now);
  wake (owner, now);
  start_probes (owner, now);
}

/* Records that a connection to TARGET was established.  */
void
router_reach_establish (struct router *router, const struct reg_target *target)
{
  reach_establish (&get_reach (router, target->service)->reach,
                   clk_now (clk_monotonic ()));
}

/* Records that TARGET has responded.  */
void
router_reach_respond (struct router *router, const struct reg_target *target)
{
  reach_respond (&get_reach (router, target->service)->reach,
                 clk_now (clk_monotonic ()));
}

/* Logs that the reach of OWNER has changed.  */
static void
log_change (const struct router_reach *owner, clk_ms now)
{
  const struct reach *reach = &owner->reach;
  struct log_line line;

  if (reach->state == REACH_CUT_OFF)
    metric_inc (METRIC_CUT_OFF);
  if (!log_begin (&line, LOG_LEVEL_INFO, "reach", NULL,
                  reach_state_names[reach->state]))
    return;
  log_text (&line, "service", owner->service);
  log_number (&line, "failed", reach->failed_count);
  log_number (&line, "succeeded_ms",
              reach->succeeded_ms != 0 ? now - reach->succeeded_ms : -1);
  log_number (&line, "hops", hops_in_progress (owner));
  log_end (&line);
}

/* Starts the probes that are due at NOW.  */
static void
start_probes (struct router_reach *owner, clk_ms now)
{
  struct router *router = owner->router;
  uint32_t wanted = reach_probes_due (&owner->reach, now);
  size_t chosen[REACH_PROBED_MAX];
  GPtrArray *targets;
  GArray *candidates;
  size_t count;

  if (wanted == 0)
    return;
  targets = g_ptr_array_new ();
  candidates = list_candidates (owner, targets);
  count = reach_choose_probes (
      &owner->reach,
      (const struct reach_candidate *)(const void *)candidates->data,
      candidates->len, g_rand_int (router->random), wanted, chosen, now);
  for (size_t i = 0; i < count; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, chosen[i]);

      start_probe (owner, &target->address, now);
    }
  g_array_free (candidates, TRUE);
  g_ptr_array_free (targets, TRUE);
  if (count == 0)
    handle_round (owner, reach_round_end (&owner->reach), now);
}

/* Returns the targets of OWNER's service that may be probed, and stores them
   in TARGETS in the same order.  */
static GArray *
list_candidates (const struct router_reach *owner, GPtrArray *targets)
{
  GArray *candidates
      = g_array_new (FALSE, FALSE, sizeof (struct reach_candidate));
  const GPtrArray *all = owner->router->registry->array;

  for (guint i = 0; i < all->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (all, i);
      struct reach_candidate candidate
          = { target->hash, target->failure_domain };

      if (target->service != owner->service || target->leaving
          || target->is_withheld || target->is_evacuated)
        continue;
      g_array_append_val (candidates, candidate);
      g_ptr_array_add (targets, target);
    }
  return candidates;
}

/* Starts a probe of ADDRESS.  One that cannot be started has failed.  */
static void
start_probe (struct router_reach *owner, const struct sockaddr_in *address,
             clk_ms now)
{
  struct reach_probe *probe = g_new0 (struct reach_probe, 1);

  probe->owner = owner;
  probe->probe = probe_start (owner->router->loop, address, PROBE_TIMEOUT_MS,
                              on_probed, probe);
  if (probe->probe != NULL)
    {
      g_queue_push_tail (&owner->probes, probe);
      return;
    }
  g_free (probe);
  handle_round (owner, reach_probe_end (&owner->reach, 0, now), now);
}

/* Handles the RESULT of a probe.  */
static void
on_probed (void *closure, enum probe_result result)
{
  struct reach_probe *probe = closure;
  struct router_reach *owner = probe->owner;
  clk_ms now = clk_now (clk_monotonic ());

  g_queue_remove (&owner->probes, probe);
  g_free (probe);
  handle_round (owner,
                reach_probe_end (&owner->reach, result == PROBE_ACCEPTED, now),
                now);
}

/* Goes on at NOW when a probe has ended, by which the reach HAS_CHANGED or
   not.  After a time of being cut off, the targets are no longer suspended for
   what was no fault of theirs.  */
static void
handle_round (struct router_reach *owner, int has_changed, clk_ms now)
{
  if (has_changed)
    log_change (owner, now);
  if (has_changed && owner->reach.state == REACH_CUT_OFF)
    owner->was_cut_off = 1;
  else if (has_changed && owner->was_cut_off)
    {
      owner->was_cut_off = 0;
      reg_end_suspensions (owner->router->registry, owner->service);
    }
  if (owner->reach.state == REACH_SUSPECT || owner->reach.is_returning)
    start_probes (owner, now);
}

/* Has probes and questions sent from NOW on.  Answers of long ago say
   nothing.  */
static void
wake (struct router_reach *owner, clk_ms now)
{
  owner->needed_ms = now;
  if (ev_is_active (&owner->tick))
    return;
  for (int i = 0; i < HOP_PEERS_MAX; i++)
    {
      owner->hops.peer[i].has_answered = 0;
      owner->hops.peer[i].unanswered = 0;
    }
  start_probes (owner, now);
  ask_peers (owner);
  ev_timer_again (owner->router->loop, &owner->tick);
}

/* Sends the probes and questions that are due, while requests need them.  */
static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct router_reach *owner = timer->data;
  clk_ms now = clk_now (clk_monotonic ());
  int is_needed
      = owner->reach.state != REACH_OPEN && now - owner->needed_ms < NEEDED_MS;

  (void)events;
  if (is_needed)
    start_probes (owner, now);
  if (is_needed || hops_in_progress (owner) > 0)
    ask_peers (owner);
  else
    ev_timer_stop (loop, timer);
}

/* Returns how many requests of OWNER's service other instances run for this
   one.  */
static uint32_t
hops_in_progress (const struct router_reach *owner)
{
  uint32_t count = 0;

  for (int i = 0; i < HOP_PEERS_MAX; i++)
    if (owner->hops.peer[i].target != NULL)
      count += owner->hops.peer[i].target->in_flight;
  return count;
}

/* Asks the chosen instances whether they reach the service.  Others take the
   place of those that do not, and are not in use.  */
static void
ask_peers (struct router_reach *owner)
{
  struct fleet *fleet = owner->router->fleet;

  for (int i = 0; i < HOP_PEERS_MAX; i++)
    {
      struct hop_peer *peer = &owner->hops.peer[i];

      if (peer->id == 0
          || (peer->target->in_flight == 0
              && (hop_is_lost (peer)
                  || (peer->has_answered && peer->answer == REACH_ANSWER_NO))))
        replace_peer (owner, i);
      if (peer->id == 0)
        continue;
      fleet_ask_reach (fleet, peer->id, owner->key);
      peer->unanswered++;
    }
}

/* Puts another instance at INDEX of OWNER's, if there is one.  */
static void
replace_peer (struct router_reach *owner, int index)
{
  const struct fleet *fleet = owner->router->fleet;
  struct hop_peer *peer = &owner->hops.peer[index];
  uint32_t id = 0;

  if (index < LOCAL_PEERS)
    id = fleet_pick_peer (fleet, 1, is_asked, owner);
  if (id == 0)
    id = fleet_pick_peer (fleet, 0, is_asked, owner);
  if (id == 0)
    return;
  release_peer (peer);
  peer->id = id;
  peer->target = reg_peer_new (id, fleet_peer_address (fleet, id));
}

/* Returns whether PEER is among those that CLOSURE asks.  */
static int
is_asked (void *closure, uint32_t peer)
{
  struct router_reach *owner = closure;

  return hop_find (&owner->hops, peer) != NULL;
}

/* Forgets the instance in PEER.  */
static void
release_peer (struct hop_peer *peer)
{
  if (peer->target != NULL)
    reg_peer_release (peer->target);
  memset (peer, 0, sizeof *peer);
}

/* Tells in REACH whether this instance reaches the service, if it knows
   it.  */
static int
on_asked (void *closure, struct wire_reach *reach)
{
  struct router *router = closure;
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  reach->answer = REACH_ANSWER_UNKNOWN;
  g_hash_table_iter_init (&iter, router->reaches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct router_reach *owner = value;

      if (owner->key != reach->service)
        continue;
      reach->answer = reach_answer (&owner->reach, now);
      /* Without requests of its own nothing else would show the end of a
         cut.  */
      if (owner->reach.state != REACH_OPEN)
        start_probes (owner, now);
    }
  if (!router_is_ready (router))
    reach->answer = REACH_ANSWER_NO;
  reach->load = router->open_requests;
  reach->token = router->hop_token;
  return 1;
}

/* Records what PEER has told.  */
static void
on_told (void *closure, uint32_t peer, const struct wire_reach *reach)
{
  struct router *router = closure;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->reaches);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct router_reach *owner = value;
      struct hop_peer *found = hop_find (&owner->hops, peer);

      if (owner->key != reach->service || found == NULL)
        continue;
      found->has_answered = 1;
      found->answer = (enum reach_answer)reach->answer;
      found->load = reach->load;
      found->sent = 0;
      found->token = reach->token;
      found->unanswered = 0;
      found->target->address = *fleet_peer_address (router->fleet, peer);
    }
}

/* Returns the instance through which a request for SERVICE, which went through
   the TRIED before, is to be sent, or NULL.  AWAITS receives whether answers
   may still change that.  */
struct hop_peer *
router_hop_choose (struct router *router, const char *service,
                   const uint32_t *tried, uint32_t tried_count, int *awaits)
{
  struct router_reach *owner = get_reach (router, service);
  clk_ms now = clk_now (clk_monotonic ());
  int index;

  wake (owner, now);
  index = hop_pick (&owner->hops, tried, tried_count,
                    g_rand_int (router->random), now);
  *awaits = hop_awaits_answers (&owner->hops);
  return index != HOP_NO_PEER ? &owner->hops.peer[index] : NULL;
}

/* Returns the instance that TARGET stands for in requests for SERVICE, or NULL
   if it is no longer asked.  */
struct hop_peer *
router_hop_peer (struct router *router, const char *service,
                 const struct reg_target *target)
{
  struct hop_peer *peer
      = hop_find (&get_reach (router, service)->hops, (uint32_t)target->hash);

  return peer != NULL && peer->target == target ? peer : NULL;
}

/* Has the instance that TARGET stands for left out for a time, as it REFUSED a
   request for SERVICE or failed it.  */
void
router_hop_avoid (struct router *router, const char *service,
                  const struct reg_target *target)
{
  struct hop_peer *peer = router_hop_peer (router, service, target);

  if (peer != NULL)
    peer->avoid_until_ms = clk_now (clk_monotonic ()) + BROKEN_AVOID_MS;
}
