/* Origin of a relayed stream: the software version that began it, at which
   alone it may go on.  */
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "librelay.h"

static int find_origin (struct relay *relay);
static uint64_t only_version (const struct relay *relay);

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

/* Starts RELAY, if it takes up a stream at the version that began it.  Refuses
   the request if that is not known.  */
void
relay_origin_resolve (struct relay *relay)
{
  if (!relay->takes_up || find_origin (relay))
    relay_start (relay);
  else
    relay_refuse (relay, RELAY_ORIGIN_UNKNOWN);
}

/* Finds the version that began the stream of RELAY.  If only one version can
   have, it is that.  Returns whether it is known.  */
static int
find_origin (struct relay *relay)
{
  struct fleet *fleet = relay->router->fleet;
  const struct origins *origins = fleet_origins (fleet);

  relay->software = origin_find (origins, relay->stream);
  if (relay->software != 0)
    {
      enum origin_source source = origin_learned_from (origins, relay->stream);

      metric_inc (sources[source].counter);
      relay_log_origin (relay, sources[source].name);
      return 1;
    }
  if (!fleet_origins_are_read (fleet))
    return 0;
  relay->software = only_version (relay);
  if (relay->software == 0)
    return 0;
  metric_inc (METRIC_RESUMED_ONLY_VERSION);
  relay_log_origin (relay, "only_version");
  return 1;
}

/* Returns the only version that serves RELAY's route or has served it lately,
   or 0 if there are several or none.  */
static uint64_t
only_version (const struct relay *relay)
{
  const struct rt_route *route = relay->route;
  const char *only = NULL;

  for (uint32_t i = 0; i < route->split_count; i++)
    {
      if (route->split[i].weight == 0)
        continue;
      if (only != NULL)
        return 0;
      only = route->split[i].service;
    }
  return only != NULL ? origin_only_version (
             fleet_origins (relay->router->fleet), rank_hash (only))
                      : 0;
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
  return relay->software == 0 || target->software == relay->software;
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

/* Records, before an event of the current target is forwarded, that its
   version has begun the stream of RELAY, unless another one has.  */
void
relay_origin_begin (struct relay *relay)
{
  struct origins *origins = fleet_origins (relay->router->fleet);
  struct origin_record record = { .attempt = relay->stream };

  if (relay->software == 0)
    relay->software = relay->attempt.target->software;
  if (relay->has_begun)
    return;
  relay->has_begun = 1;
  record.software = relay->software;
  if (relay->stream != 0 && relay->route->is_resumable)
    origin_add (origins, &record, ORIGIN_OWN, clk_now (clk_monotonic ()));
}
