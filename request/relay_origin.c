/* Origin of a relayed stream: the software version that began it, at which
   alone it may go on.  */
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "librelay.h"

enum
{
  CHECK_INTERVAL_MS = 5,
  /* Some round trips between instances; a datagram may get lost.  */
  ASK_INTERVAL_MS = 40,
  PEERS_WAIT_MS = 100,
  STORE_WAIT_MS = 200, /* a look-up in the store has mostly ended by then */
  WAIT_MAX_MS = 300
};

static void wait_for_origin (struct relay *relay);
static int find_origin (struct relay *relay, int64_t waited_ms);
static int take_record (struct relay *relay, int64_t waited_ms);
static int is_split (const struct rt_route *route);
static uint64_t current_software (const struct relay *relay);
static int64_t sent_at_ms (const struct relay *relay);
static const char *only_service (const struct relay *relay);

/* Names in the log, and counters, by where an origin is known from.  */
static const struct
{
  const char *name;
  enum metric_counter counter;
} sources[ORIGIN_SOURCE_COUNT]
    = { [ORIGIN_OWN] = { "own", METRIC_RESUMED_OWN },
        [ORIGIN_PEER] = { "peer", METRIC_RESUMED_PEER },
        [ORIGIN_STORED] = { "stored", METRIC_RESUMED_STORED } };

/* Reads from the head of RELAY whether the client takes up a stream, and which
   attempt began it.  */
void
relay_origin_read (struct relay *relay)
{
  const char *const *field = relay->router->dialect->field;
  const char *began = http_head_get (relay->head, field[DIALECT_RESUMES]);

  if (relay->route->kind != RT_STREAM)
    return;
  relay->takes_up
      = began != NULL
        || http_head_get (relay->head, field[DIALECT_RESUME_AFTER]) != NULL;
  if (!relay->takes_up)
    began = relay->id;
  relay->stream = began != NULL ? rank_hash (began) : 0;
}

/* Starts RELAY, if it takes up a stream at the version that began it.  While
   that is not known, asks the other instances, and later has the store looked
   up; if they do not know it either, refuses the request.  */
void
relay_origin_resolve (struct relay *relay)
{
  struct fleet *fleet = relay->router->fleet;
  clk_ms now = clk_now (clk_monotonic ());
  int64_t waited_ms = now - relay->arrived_ms;

  if (!relay->takes_up || find_origin (relay, waited_ms))
    {
      relay->waits = 0;
      ev_timer_stop (relay->router->loop, &relay->timer);
      relay_start (relay);
      return;
    }
  if (relay->stream == 0 || waited_ms >= WAIT_MAX_MS
      || now >= relay->deadline_ms)
    {
      relay_refuse (relay, fleet_origins_are_read (fleet)
                               ? RELAY_ORIGIN_UNKNOWN
                               : RELAY_NOT_CONFIGURED);
      return;
    }
  if (relay->asked_ms == 0 || now - relay->asked_ms >= ASK_INTERVAL_MS)
    {
      relay->asked_ms = now;
      fleet_ask_origin (fleet, relay->stream);
      if (only_service (relay) != NULL)
        fleet_ask_versions (fleet, rank_hash (only_service (relay)));
    }
  if (waited_ms >= PEERS_WAIT_MS || !fleet_hears_peers (fleet))
    fleet_look_up_origins (fleet);
  wait_for_origin (relay);
}

/* Has the origin of RELAY's stream looked for again in CHECK_INTERVAL_MS.  */
static void
wait_for_origin (struct relay *relay)
{
  struct ev_loop *loop = relay->router->loop;

  relay->waits = 1;
  ev_timer_stop (loop, &relay->timer);
  ev_timer_set (&relay->timer, (double)CHECK_INTERVAL_MS / CLK_MS_PER_S, 0);
  ev_timer_start (loop, &relay->timer);
}

/* Finds the version that began the stream of RELAY, after WAITED_MS of waiting
   for it.  Returns whether it is known.  */
static int
find_origin (struct relay *relay, int64_t waited_ms)
{
  struct fleet *fleet = relay->router->fleet;
  uint64_t service;

  if (origin_find (fleet_origins (fleet), relay->stream) != 0)
    return take_record (relay, waited_ms);
  if (!fleet_origins_are_read (fleet) || only_service (relay) == NULL)
    return 0;
  service = rank_hash (only_service (relay));
  relay->software = fleet_only_version (fleet, service, relay->arrived_ms);
  if (relay->software != 0)
    {
      metric_inc (METRIC_RESUMED_ONLY_VERSION);
      relay_log_origin (relay, "only_version");
      return 1;
    }
  if (waited_ms < STORE_WAIT_MS)
    return 0;
  relay->software
      = fleet_prior_version (fleet, service, relay->stream, relay->arrived_ms);
  if (relay->software == 0)
    return 0;
  metric_inc (METRIC_RESUMED_PRIOR_VERSION);
  relay_log_origin (relay, "prior_version");
  return 1;
}

/* Takes the version that began the stream of RELAY, which waits for it since
   WAITED_MS, from the record of the stream.  Other instances that are alive
   know better than the store, where a version is noted before the first event.
   Returns whether the record can be relied on by now.  */
static int
take_record (struct relay *relay, int64_t waited_ms)
{
  const struct origins *origins = fleet_origins (relay->router->fleet);
  enum origin_source source = origin_learned_from (origins, relay->stream);

  if (source == ORIGIN_STORED && waited_ms < PEERS_WAIT_MS)
    return 0;
  relay->software = origin_find (origins, relay->stream);
  metric_inc (sources[source].counter);
  relay_log_origin (relay, sources[source].name);
  return 1;
}

/* Returns the service of RELAY's route, or NULL if it has several or none.  */
static const char *
only_service (const struct relay *relay)
{
  const struct rt_route *route = relay->route;

  if (is_split (route))
    return NULL;
  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->split[i].weight > 0)
      return route->split[i].service;
  return NULL;
}

/* Returns whether requests of RELAY's route go to several services.  */
int
relay_origin_is_split (const struct relay *relay)
{
  return is_split (relay->route);
}

/* Returns whether requests of ROUTE go to several services.  */
static int
is_split (const struct rt_route *route)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < route->split_count; i++)
    count += route->split[i].weight > 0;
  return count > 1;
}

/* Returns the service, among those of RELAY's route, whose version began the
   stream, or NULL.  */
const char *
relay_origin_service (const struct relay *relay)
{
  const struct rt_route *route = relay->route;
  uint64_t service
      = origin_service (fleet_origins (relay->router->fleet), relay->software);

  for (uint32_t i = 0; i < route->split_count; i++)
    if (route->split[i].weight > 0
        && rank_hash (route->split[i].service) == service)
      return route->split[i].service;
  return NULL;
}

/* Returns whether TARGET may go on with the stream of RELAY.  */
int
relay_origin_fits (const struct relay *relay, const struct reg_target *target)
{
  uint64_t software = current_software (relay);

  return software == 0 || target->software == software;
}

/* Returns the version that began the stream of RELAY, or 0 if none has: that
   of its first target's entry now, if the target had started again before the
   attempt.  */
static uint64_t
current_software (const struct relay *relay)
{
  const struct reg_target *target
      = relay->began.target != 0
            ? reg_find_hash (relay->router->registry, relay->began.target)
            : NULL;

  if (target == NULL || target->started_ms == 0
      || relay->began.sent_ms < target->started_ms)
    return relay->software;
  return target->software;
}

/* Returns whether the stream of RELAY has begun and no target may go on with
   it.  */
int
relay_origin_is_gone (const struct relay *relay)
{
  const GPtrArray *targets = relay->router->registry->array;

  for (guint i = 0; i < targets->len; i++)
    if (relay_origin_fits (relay, g_ptr_array_index (targets, i)))
      return 0;
  return relay->software != 0;
}

/* Records, before an attempt is sent, which version is expected to begin the
   stream of RELAY, so that the store mostly has it when the first event
   comes.  */
void
relay_origin_expect (struct relay *relay)
{
  struct origins *origins = fleet_origins (relay->router->fleet);
  const struct origin_record record
      = { .attempt = relay->stream,
          .software = relay->attempt.target->software };

  relay->software = current_software (relay);
  if (relay->stream == 0 || !relay->route->is_resumable || relay->software != 0
      || !origin_versions_differ (origins))
    return;
  relay->expected = record.software;
  origin_expect (origins, &record, clk_now (clk_monotonic ()));
}

/* Called when the stream of RELAY was delivered whole, or has not begun and
   will not: the store need not keep its origin.  */
void
relay_origin_end (struct relay *relay)
{
  if (relay->stream != 0)
    origin_end (fleet_origins (relay->router->fleet), relay->stream);
}

/* Records, before an event of the current target is forwarded, that its
   version has begun the stream of RELAY, unless another one has.  */
void
relay_origin_begin (struct relay *relay)
{
  struct origin_record record = { .attempt = relay->stream };

  if (relay->software == 0)
    relay->software = relay_origin_of_attempt (relay);
  if (relay->has_begun)
    return;
  relay->has_begun = 1;
  record.software = relay->software;
  if (!relay->takes_up)
    relay->began
        = (struct origin_attempt){ .target = relay->attempt.target->hash,
                                   .sent_ms = sent_at_ms (relay),
                                   .software = record.software };
  if (relay->stream == 0 || !relay->route->is_resumable)
    return;
  fleet_add_origin (relay->router->fleet, &record);
  origin_set_attempt (fleet_origins (relay->router->fleet), relay->stream,
                      &relay->began);
}

/* Returns the version at which the current attempt of RELAY runs: that of the
   entry of its target when it was sent, or that of a later entry by which the
   target had started again before.  */
uint64_t
relay_origin_of_attempt (const struct relay *relay)
{
  const struct reg_target *target = relay->attempt.target;

  if (target->software == relay->attempt.software || target->started_ms == 0
      || sent_at_ms (relay) < target->started_ms)
    return relay->attempt.software;
  return target->software;
}

/* Returns the Unix time at which the current attempt of RELAY was sent.  */
static int64_t
sent_at_ms (const struct relay *relay)
{
  return clk_wall_ms ()
         - (clk_now (clk_monotonic ()) - relay->attempt.sent_ms);
}
