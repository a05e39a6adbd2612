/* What targets hold, asked of them once when the fleet starts.

   The instances keep in their affinity tables which targets hold which
   contexts.  If all end at once, nobody has such a table, while the targets
   still hold what they did.  Each target is then asked by one instance, which
   tells the others.  An instance that starts into a running fleet asks no
   target.  Nor are targets asked whose service no route chooses by context:
   one that knows no lists may take the call for a request.  */
#include "ibisloom/dialect.h"
#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/quarantine.h"
#include "ibisloom/rank.h"
#include "ibisloom/routes.h"
#include "libfleet.h"

enum
{
  STEP_MS = 25,
  /* From the first list of targets, until heartbeats have shown who else is
     there.  The instances start to ask within ASK_SPREAD_MS after it.  */
  ASK_AFTER_MS = 400,
  ASK_SPREAD_MS = 300,
  /* Instances that start later than others by more than this join a running
     fleet.  An instance that ends before it has asked is known to be silent
     after 1.5 s (process/fleet_peer.c), and others ask in its place.  */
  WINDOW_MS = 5000,
  QUERIES_MAX = 3,
  QUERY_INTERVAL_MS = 100,
  LISTS_MAX = 4, /* read at the same time */
  LIST_TIMEOUT_MS = 600,
  LIST_MAX_BYTES = 524288, /* some 11,000 entries */
  TARGETS_PER_STEP = 64,   /* whose askers are determined */
  /* Datagrams with the parts of one target: so many at most, and not more than
     SENDS_MAX to all peers.  */
  DATAGRAMS_MAX = 4,
  SENDS_MAX = 512,
  ANSWER_DATAGRAMS_MAX = 512,
  ASKED_MAX = BAL_CANDIDATES_MAX /* also if datagrams name more targets */
};

/* Call to a target. */
struct list_call
{
  struct fleet *fleet;
  struct store_call *call;
  uint64_t target;
  uint64_t incarnation;
  clk_ms started_ms;
};

struct fleet_held
{
  struct held *held;
  struct rt_table *const *table; /* in force; points to NULL: none yet */
  const char *path;
  fleet_read_held_fn read;
  ev_timer step;
  GHashTable *asked; /* hashes of targets that were asked, by any instance */
  GQueue calls;      /* of struct list_call, in progress */
  clk_ms begun_ms;   /* when targets and routes were known; 0: not yet */
  clk_ms ask_ms;     /* when this instance starts to ask */
  guint position;    /* in the registry, of the next target to look at */
  uint32_t queries;  /* sent so far */
  clk_ms query_ms;   /* time of the last one */
  uint8_t is_answered;
  uint8_t is_running; /* the fleet is: this instance asks no targets */
};

static void on_step (struct ev_loop *loop, ev_timer *timer, int events);
static int send_query (struct fleet *fleet, clk_ms now);
static int is_taken (void *closure, uint32_t peer);
static void ask_next (struct fleet *fleet, clk_ms now);
static int asks (const struct fleet *fleet, const struct reg_target *target,
                 clk_ms now);
static void ask (struct fleet *fleet, const struct reg_target *target,
                 clk_ms now);
static void on_list (void *closure, const struct store_response *response);
static uint32_t adopt (struct fleet *fleet, const struct list_call *call,
                       GArray *parts);
static int compare_tokens (gconstpointer left, gconstpointer right);
static int compare_targets (gconstpointer left, gconstpointer right);
static void record (struct fleet *fleet, const struct wire_held *told);
static void set_asked (struct fleet_held *state, uint64_t target);
static void answer (struct fleet *fleet, const struct sockaddr_in *address);
static void log_list (const struct list_call *call, const char *reason,
                      const GArray *parts, uint32_t told, uint32_t status);
static void finish (struct fleet *fleet, const char *reason);

/* Has FLEET ask its targets at PATH what they hold, if nobody else knows and
   the TABLE in force has contexts kept there, and keep it in HELD.  READ
   parses the response.  */
void
fleet_keep_held (struct fleet *fleet, struct held *held,
                 struct rt_table *const *table, const char *path,
                 fleet_read_held_fn read)
{
  struct fleet_held *state = g_new0 (struct fleet_held, 1);

  state->held = held;
  state->table = table;
  state->path = path;
  state->read = read;
  state->asked = g_hash_table_new (NULL, NULL);
  g_queue_init (&state->calls);
  ev_timer_init (&state->step, on_step, (double)STEP_MS / CLK_MS_PER_S,
                 (double)STEP_MS / CLK_MS_PER_S);
  state->step.data = fleet;
  ev_timer_start (fleet->loop, &state->step);
  fleet->held = state;
}

/* Undoes fleet_keep_held, if that was called.  */
void
fleet_held_clear (struct fleet *fleet)
{
  struct fleet_held *state = fleet->held;
  struct list_call *call;

  if (state == NULL)
    return;
  ev_timer_stop (fleet->loop, &state->step);
  while ((call = g_queue_pop_head (&state->calls)) != NULL)
    {
      store_call_cancel (call->call);
      g_free (call);
    }
  g_hash_table_destroy (state->asked);
  g_free (state);
  fleet->held = NULL;
}

/* Does what is due, from the start of this instance until the fleet is known
   to be running.  Time counts from when targets and routes are known, as the
   store may come back later than the instances.  */
static void
on_step (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  struct fleet_held *state = fleet->held;
  clk_ms now = clk_now (clk_monotonic ());

  (void)loop;
  (void)events;
  if (state->begun_ms == 0
      && (!fleet->registry->listed || *state->table == NULL))
    return;
  if (state->begun_ms == 0)
    {
      state->begun_ms = now;
      state->ask_ms
          = now + ASK_AFTER_MS + g_random_int_range (0, ASK_SPREAD_MS);
    }
  if (now - state->begun_ms > WINDOW_MS || fleet->is_leaving)
    finish (fleet, "window_over");
  else if (!send_query (fleet, now) && now >= state->ask_ms)
    ask_next (fleet, now);
}

/* Ends the time in which this instance asks targets, for REASON.  */
static void
finish (struct fleet *fleet, const char *reason)
{
  struct fleet_held *state = fleet->held;

  state->is_running = 1;
  ev_timer_stop (fleet->loop, &state->step);
  log_info ("contexts", NULL, reason, "%u parts known, %u targets asked",
            held_count (state->held), g_hash_table_size (state->asked));
}

/* Asks one of the instances heard, if that is due, what it knows.  Returns
   whether answers may still come.  */
static int
send_query (struct fleet *fleet, clk_ms now)
{
  struct fleet_held *state = fleet->held;
  struct wire_message message = { .kind = WIRE_HELD_QUERY };
  uint32_t peer;

  if (state->is_answered)
    return 0;
  if (state->queries > 0 && now - state->query_ms < QUERY_INTERVAL_MS)
    return 1;
  if (state->queries == QUERIES_MAX)
    return 0;
  peer = fleet_pick_peer (fleet, 0, is_taken, NULL);
  if (peer == 0)
    return 0;
  state->queries++;
  state->query_ms = now;
  fleet_send (fleet, fleet_peer_address (fleet, peer), &message);
  return 1;
}

/* Any instance may be asked.  */
static int
is_taken (void *closure, uint32_t peer)
{
  (void)closure;
  (void)peer;
  return 0;
}

/* Asks the next target that this instance is to ask, if there is one among
   the next TARGETS_PER_STEP.  */
static void
ask_next (struct fleet *fleet, clk_ms now)
{
  struct fleet_held *state = fleet->held;
  const GPtrArray *targets = fleet->registry->array;
  guint count = MIN (targets->len, TARGETS_PER_STEP);

  if (state->calls.length >= LISTS_MAX)
    return;
  for (guint i = 0; i < count; i++)
    {
      const struct reg_target *target
          = g_ptr_array_index (targets, state->position++ % targets->len);

      if (target->leaving || target->missing_until_ms != 0
          || pause_left_ms (&target->notice, now) > 0
          || g_hash_table_contains (state->asked,
                                    GSIZE_TO_POINTER (target->hash))
          || !rt_has_context (*state->table, target->service)
          || !asks (fleet, target, now))
        continue;
      ask (fleet, target, now);
      return;
    }
}

/* Returns whether this instance is the one to ask TARGET: it ranks first for
   it among those that are alive and in its failure domain, or among all if
   none is there.  */
static int
asks (const struct fleet *fleet, const struct reg_target *target, clk_ms now)
{
  uint32_t domain = (uint32_t)rank_hash (target->failure_domain);
  int is_local = fleet->domain == domain;
  uint64_t own = rank_mix (target->hash, fleet->self);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      int is_peer_local = peer->domain == domain;

      if (peer->state == MEMBER_LEAVING || fleet_is_silent (fleet, peer, now)
          || is_peer_local < is_local)
        continue;
      if (is_peer_local > is_local || rank_mix (target->hash, peer->id) > own)
        return 0;
    }
  return 1;
}

/* Asks TARGET what it holds.  */
static void
ask (struct fleet *fleet, const struct reg_target *target, clk_ms now)
{
  struct list_call *call = g_new0 (struct list_call, 1);
  struct store_request request = { .address = target->address,
                                   .method = "GET",
                                   .url = fleet->held->path,
                                   .timeout_ms = LIST_TIMEOUT_MS,
                                   .body_max_bytes = LIST_MAX_BYTES };

  call->fleet = fleet;
  call->target = target->hash;
  call->incarnation = target->incarnation;
  call->started_ms = now;
  set_asked (fleet->held, target->hash);
  g_queue_push_tail (&fleet->held->calls, call);
  call->call
      = store_call_start (fleet->loop, fleet->pool, &request, on_list, call);
  if (call->call == NULL)
    on_list (call, &(struct store_response){ .status = 0 });
}

/* Handles the response of a target.  One that cannot be used is as good as an
   empty list, since the target is asked only once.  */
static void
on_list (void *closure, const struct store_response *response)
{
  struct list_call *call = closure;
  struct fleet *fleet = call->fleet;
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct dialect_part));
  uint32_t unreadable = 0;
  int is_read = response->status == HTTP_STATUS_OK
                && fleet->held->read (response->text, response->length, parts,
                                      &unreadable)
                       == 0;
  uint32_t listed = parts->len;
  uint32_t told;

  if (!is_read)
    g_array_set_size (parts, 0);
  metric_inc (is_read ? METRIC_LISTS_READ : METRIC_LISTS_FAILED);
  g_queue_remove (&fleet->held->calls, call);
  told = adopt (fleet, call, parts);
  log_list (call, is_read ? "list" : "list_failed", parts, told,
            response->status);
  if (is_read && unreadable > 0)
    log_warn ("contexts", NULL, "unreadable", "%u entries beside %u",
              unreadable, listed);
  g_array_free (parts, TRUE);
  g_free (call);
}

/* Keeps the largest of PARTS, which the target of CALL holds, and tells the
   other instances, also that there are none.  Returns how many.  */
static uint32_t
adopt (struct fleet *fleet, const struct list_call *call, GArray *parts)
{
  struct wire_message message = { .kind = WIRE_HELD };
  struct wire_held *told = &message.u.held;
  uint32_t datagrams = CLAMP (
      SENDS_MAX / MAX (g_hash_table_size (fleet->peers), 1), 1, DATAGRAMS_MAX);
  guint next = 0;

  g_array_sort (parts, compare_tokens);
  told->target = call->target;
  told->incarnation = call->incarnation;
  for (uint32_t i = 0; i < datagrams && (i == 0 || next < parts->len); i++)
    {
      for (told->count = 0; told->count < WIRE_HELD_MAX && next < parts->len;
           next++)
        {
          const struct dialect_part *part
              = &g_array_index (parts, struct dialect_part, next);

          if (part->tokens < HELD_TOKENS_MIN)
            break;
          told->part[told->count++] = part->id & ~QUAR_REQUEST_BIT;
        }
      if (i > 0 && told->count == 0)
        break;
      record (fleet, told);
      fleet_broadcast (fleet, &message);
    }
  return next;
}

/* Orders parts by their lengths, the longest first.  */
static int
compare_tokens (gconstpointer left, gconstpointer right)
{
  const struct dialect_part *a = left;
  const struct dialect_part *b = right;

  return (a->tokens < b->tokens) - (a->tokens > b->tokens);
}

/* Records what was TOLD of a target, unless that has started again since.  */
static void
record (struct fleet *fleet, const struct wire_held *told)
{
  const struct reg_target *target
      = reg_find_hash (fleet->registry, told->target);
  clk_ms now = clk_now (clk_monotonic ());

  set_asked (fleet->held, told->target);
  if (target != NULL && target->incarnation != told->incarnation)
    return;
  for (uint32_t i = 0; i < told->count; i++)
    held_record (fleet->held->held,
                 &(struct held_pair){ told->part[i], told->target }, now);
}

/* Counts TARGET as asked, unless there are too many.  */
static void
set_asked (struct fleet_held *state, uint64_t target)
{
  if (g_hash_table_size (state->asked) < ASKED_MAX)
    g_hash_table_add (state->asked, GSIZE_TO_POINTER (target));
}

/* Records what another instance has TOLD.  */
void
fleet_apply_held (struct fleet *fleet, const struct wire_held *told)
{
  struct fleet_held *state = fleet->held;

  if (state == NULL)
    return;
  if (told->target != 0)
    {
      record (fleet, told);
      return;
    }
  state->is_answered = 1;
  if (told->is_running && !state->is_running)
    finish (fleet, "running");
}

/* Answers the question of PEER, which starts, if there is anything to tell: an
   instance that is starting itself and knows nothing is not one to rely
   on.  */
void
fleet_answer_held (struct fleet *fleet, const struct fleet_peer *peer)
{
  struct fleet_held *state = fleet->held;
  struct wire_message message = { .kind = WIRE_HELD };

  if (state == NULL)
    return;
  held_expire (state->held, clk_now (clk_monotonic ()));
  if (!state->is_running && held_count (state->held) == 0)
    return;
  message.u.held.is_running = state->is_running;
  fleet_send (fleet, &peer->address, &message);
  answer (fleet, &peer->address);
}

/* Sends ADDRESS what all targets hold, as far as this instance knows.  */
static void
answer (struct fleet *fleet, const struct sockaddr_in *address)
{
  GArray *pairs = g_array_new (FALSE, FALSE, sizeof (struct held_pair));
  struct held_cursor cursor = { 0 };
  struct held_pair pair;
  guint next = 0;

  while (held_next (fleet->held->held, &cursor, &pair))
    g_array_append_val (pairs, pair);
  g_array_sort (pairs, compare_targets);
  for (uint32_t sent = 0; sent < ANSWER_DATAGRAMS_MAX && next < pairs->len;
       sent++)
    {
      struct wire_message message = { .kind = WIRE_HELD };
      struct wire_held *told = &message.u.held;
      const struct reg_target *target;

      told->target = g_array_index (pairs, struct held_pair, next).target;
      target = reg_find_hash (fleet->registry, told->target);
      told->incarnation = target != NULL ? target->incarnation : 0;
      for (; told->count < WIRE_HELD_MAX && next < pairs->len; next++)
        {
          pair = g_array_index (pairs, struct held_pair, next);
          if (pair.target != told->target)
            break;
          told->part[told->count++] = pair.part;
        }
      fleet_send (fleet, address, &message);
    }
  g_array_free (pairs, TRUE);
}

/* Orders pairs by their targets.  */
static int
compare_targets (gconstpointer left, gconstpointer right)
{
  const struct held_pair *a = left;
  const struct held_pair *b = right;

  return (a->target > b->target) - (a->target < b->target);
}

/* Logs that CALL has ended with STATUS and brought PARTS, of which so many
   were TOLD to the other instances.  */
static void
log_list (const struct list_call *call, const char *reason,
          const GArray *parts, uint32_t told, uint32_t status)
{
  const struct reg_target *target
      = reg_find_hash (call->fleet->registry, call->target);
  struct log_line line;
  int64_t tokens = 0;

  if (!log_begin (&line, LOG_LEVEL_INFO, "contexts", NULL, reason))
    return;
  for (guint i = 0; i < parts->len; i++)
    tokens += g_array_index (parts, struct dialect_part, i).tokens;
  log_text (&line, "target", target != NULL ? target->id : NULL);
  log_number (&line, "target_status", status);
  log_number (&line, "parts", parts->len);
  log_number (&line, "tokens", tokens);
  log_number (&line, "told", told);
  log_number (&line, "took_ms", clk_now (clk_monotonic ()) - call->started_ms);
  log_end (&line);
}
