/* Evacuations of failure domains, as read from the store. */
#include <sys/param.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "librouter.h"

/* Longest watch, as a share of the time in which an evacuation must be in
   force: the loss of its response is detected, and the others are told, in
   what remains.  Also for how long an instance hears no watcher before it
   watches by itself.  */
static const double WAIT_SHARE = 0.3;

static void evacuations_begin (void *closure);
static void evacuations_object (void *closure,
                                const struct watch_object *object);
static void evacuations_end (void *closure, struct position position);

/* Starts to list and watch the evacuations in the store, if the settings have
   them read.  */
void
router_watch_evacuations (struct router *router)
{
  const struct watch_sink sink = { .begin = evacuations_begin,
                                   .object = evacuations_object,
                                   .end = evacuations_end,
                                   .closure = router };

  if (router->settings->evacuate_ms == 0)
    return;
  watch_init (&router->evacuations, router->dialect->store,
              router->dialect->evacuations_kind, &sink, router->loop,
              &router->pool, &router->settings->platform);
  watch_join (&router->evacuations, &router->watches);
  watch_start (&router->evacuations);
}

/* Returns for how long the store is to hold a watch, at most MAX_MS.  */
int64_t
router_evacuations_wait_ms (const struct router *router, int64_t max_ms)
{
  int64_t wait_ms
      = (int64_t)((double)router->settings->evacuate_ms * WAIT_SHARE);

  return MIN (wait_ms, max_ms);
}

/* Decides at NOW whether ROUTER watches the evacuations: if it IS_WANTED as a
   watcher of the store, or has heard no watcher of its failure domain for some
   time, as VIEW shows.  It may be cut off from all instances, and in a large
   fleet its election takes longer than an evacuation may.  While watchers tell
   that the store is away, the others need not ask it.  A watcher reads the
   list again when there is room for what was left out of it; it tells the
   others.  */
void
router_update_evacuations (struct router *router, int is_wanted,
                           const struct elect_view *view, clk_ms now)
{
  if (!router_watches_evacuations (router))
    return;
  if (router->informed_ms == 0 || view->watchers + view->failed_watchers > 0)
    router->informed_ms = now;
  watch_enable (&router->evacuations,
                is_wanted
                    || now - router->informed_ms
                           >= router_evacuations_wait_ms (router, INT64_MAX));
  if (fleet_evacuations_have_room (router->fleet)
      && watch_read_again (&router->evacuations, "room"))
    metric_inc (METRIC_EVACUATIONS_READ_AGAIN);
}

/* Returns whether ROUTER reads evacuations at all.  */
int
router_watches_evacuations (const struct router *router)
{
  return router->evacuations.loop != NULL;
}

/* Returns whether ROUTER knows which failure domains are evacuated, or need
   not know.  What other instances tell counts only while the store does not
   respond, as a datagram may get lost.  If neither is there, the instance
   serves after evacuate_ms: a kind that the store does not show must not keep
   it from that.  */
int
router_knows_evacuations (const struct router *router)
{
  return !router_watches_evacuations (router)
         || fleet_evacuations_are_read (router->fleet)
         || (router->evacuations.down
             && fleet_knows_evacuations (router->fleet))
         || clk_now (clk_monotonic ()) - router->started_ms
                >= router->settings->evacuate_ms;
}

/* Called before a complete list of evacuations is read.  */
static void
evacuations_begin (void *closure)
{
  struct router *router = closure;

  fleet_list_evacuations (router->fleet);
}

/* Handles OBJECT, an evacuation, which has the name of its failure domain.
   The name is all that is needed: content that cannot be read does not keep
   it from being in force.  */
static void
evacuations_object (void *closure, const struct watch_object *object)
{
  struct router *router = closure;

  if (!object->deleted && !json_is_object (object->content))
    {
      metric_inc (METRIC_STORE_UNREADABLE);
      log_warn ("evacuation", NULL, "unreadable",
                "content of %s; its name counts", object->name);
    }
  fleet_see_evacuation (router->fleet, object->name, object->position,
                        !object->deleted && !object->is_deleting);
}

/* Called when a list of evacuations was read completely, up to POSITION.  */
static void
evacuations_end (void *closure, struct position position)
{
  struct router *router = closure;

  fleet_end_evacuation_list (router->fleet, position);
  router_note_epoch (router, position);
}
