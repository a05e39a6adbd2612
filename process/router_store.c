/* Configuration and registry of a router: read from the store or fetched from
   other instances. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "librouter.h"

enum
{
  STALE_MS = 700, /* a working watch delivers changes much sooner */
  FETCH_PAUSE_MS = 50,
  FETCH_TIMEOUT_MS = 1500,
  DISCOVERY_MS = 800,    /* from the start until peers have sent heartbeats */
  WATCH_LINGER_MS = 2000 /* an unneeded watch continues for this time */
};

/* Path at which every instance serves its snapshot to the others. */
static const char SNAPSHOT_PATH[] = "/v1/snapshot";

static void config_begin (void *closure);
static void config_object (void *closure, const struct watch_object *object);
static void config_end (void *closure, struct position position);
static void targets_begin (void *closure);
static void targets_object (void *closure, const struct watch_object *object);
static void targets_end (void *closure, struct position position);
static void put_target (struct router *router, const struct reg_entry *entry,
                        struct position position);
static void drop_restarted_holder (struct router *router,
                                   const struct reg_entry *entry);
static int64_t missing_grace_ms (const struct router *router);
static void mark_target_missing (struct router *router,
                                 const struct watch_object *object);
static uint64_t query_number (const char *url, const char *key);
static int64_t stale_for_ms (struct router *router, clk_ms now);
static int is_watching_store (const struct router *router);
static void fetch_snapshot (struct router *router,
                            const struct sockaddr_in *address);
static void on_fetched (void *closure, const struct store_response *response);
static void log_version (const struct router *router,
                         const struct rt_table *table);
static void log_target (const char *reason, const struct reg_entry *entry,
                        struct position position);
static void note_epoch (struct router *router, struct position position);
static void activate_table (struct router *router, struct rt_table *table);
static void log_report (struct router *router,
                        const struct fleet_update *update);

/* Starts to list and watch the configuration in the store.  */
void
router_watch_config (struct router *router)
{
  struct watch_sink sink = { config_begin, config_object, config_end, router };

  watch_init (&router->config, router->dialect->store,
              router->dialect->config_kind, &sink, router->loop, &router->pool,
              &router->settings->platform);
  watch_start (&router->config);
}

/* Starts to list and watch the registry of targets in the store.  */
void
router_watch_targets (struct router *router)
{
  struct watch_sink sink
      = { targets_begin, targets_object, targets_end, router };

  watch_init (&router->targets, router->dialect->store,
              router->dialect->targets_kind, &sink, router->loop,
              &router->pool, &router->settings->platform);
  watch_start (&router->targets);
}

/* Called before a list of configurations is read; there is nothing to do.  */
static void
config_begin (void *closure)
{
  (void)closure;
}

/* Handles OBJECT, a configuration: brings it into force if it has the name
   that the dialect expects and a newer version.  If it is deleted or
   unreadable, the current version stays in force.  An older version is what a
   restored store may show for a moment.  */
static void
config_object (void *closure, const struct watch_object *object)
{
  struct router *router = closure;
  struct rt_table *table;

  if (object->deleted
      || strcmp (object->name, router->dialect->config_name) != 0)
    return;
  router->known.config = pos_max (router->known.config, object->position);
  table = router->dialect->config (object->content);
  if (table == NULL)
    {
      log_error ("config", NULL, "unreadable",
                 "revision %" PRIu64 "; the previous version stays in force",
                 object->position.revision);
      return;
    }
  if (router->table == NULL || table->version > router->table->version)
    snapshot_put_config (router->snapshot, table->version, object);
  activate_table (router, table);
}

/* Called when a list of configurations was read completely, at POSITION.  */
static void
config_end (void *closure, struct position position)
{
  struct router *router = closure;

  note_epoch (router, position);
}

/* Records the store's epoch, that of POSITION.  If the store was restored, the
   instances' objects in it are written anew.  */
static void
note_epoch (struct router *router, struct position position)
{
  struct log_line line;
  uint64_t epoch_before = router->epoch;

  if (position.epoch <= epoch_before)
    return;
  router->epoch = position.epoch;
  fleet_set_epoch (router->fleet, position.epoch);
  watch_set_epoch (&router->config, position.epoch);
  watch_set_epoch (&router->targets, position.epoch);
  if (epoch_before == 0)
    return;
  metric_inc (METRIC_STORE_RESTORED);
  if (!log_begin (&line, LOG_LEVEL_WARN, "store", NULL, "restored"))
    return;
  log_number (&line, "epoch_before", (int64_t)epoch_before);
  log_number (&line, "epoch", (int64_t)position.epoch);
  log_number (&line, "revision_before",
              (int64_t)router->known.targets.revision);
  log_number (&line, "revision", (int64_t)position.revision);
  log_end (&line);
}

/* Brings TABLE into force unless the version in force is at least as new.
   Takes ownership of the caller's reference to TABLE.  */
static void
activate_table (struct router *router, struct rt_table *table)
{
  if (router->table != NULL && table->version <= router->table->version)
    {
      rt_unref (table);
      return;
    }
  log_version (router, table);
  rt_unref (router->table);
  router->table = table;
  router->known.version = MAX (router->known.version, table->version);
  router->table_ms = clk_now (clk_monotonic ());
  router->request_listener.limits.head_max_bytes
      = table->limits.head_max_bytes;
  router->request_listener.limits.body_max_bytes
      = table->limits.body_max_bytes;
  router->request_listener.limits.head_timeout_ms
      = table->limits.head_timeout_ms;
  router->request_listener.limits.idle_timeout_ms
      = table->limits.idle_timeout_ms;
}

/* Logs that TABLE comes into force, and whether it was read from the store or
   from a peer.  */
static void
log_version (const struct router *router, const struct rt_table *table)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "config", NULL, "in_force"))
    return;
  log_number (&line, "version", (int64_t)table->version);
  log_number (&line, "version_before",
              router->table ? (int64_t)router->table->version : 0);
  log_number (&line, "epoch", (int64_t)router->known.config.epoch);
  log_number (&line, "revision", (int64_t)router->known.config.revision);
  log_number (&line, "routes", table->routes->len);
  log_number (&line, "keys", g_hash_table_size (table->keys));
  log_text (&line, "from", router->config.list_only ? "peer" : "store");
  log_end (&line);
}

/* Logs a change of the target of ENTRY, at POSITION of the store, as
   REASON.  */
static void
log_target (const char *reason, const struct reg_entry *entry,
            struct position position)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "registry", NULL, reason))
    return;
  log_text (&line, "target", entry->id);
  log_text (&line, "service", entry->service);
  log_text (&line, "target_domain", entry->failure_domain);
  log_number (&line, "epoch", (int64_t)position.epoch);
  log_number (&line, "revision", (int64_t)position.revision);
  log_end (&line);
}

/* Called before a complete list of targets is read.  */
static void
targets_begin (void *closure)
{
  struct router *router = closure;

  reg_list_begin (router->registry);
  snapshot_list_begin (router->snapshot);
}

/* Removes the target of ENTRY from the affinity table if the process of the
   target has restarted, which a new incarnation shows.  */
static void
drop_restarted_holder (struct router *router, const struct reg_entry *entry)
{
  const struct reg_target *known = reg_find (router->registry, entry->id);

  if (known != NULL && known->incarnation != entry->incarnation)
    affinity_remove_target (router->affinity, known->hash);
}

/* Handles OBJECT, a registry entry: adds, updates or removes its target. While
   a list is read, what is known does not include it yet.  */
static void
targets_object (void *closure, const struct watch_object *object)
{
  struct router *router = closure;
  struct reg_entry entry;
  int is_readable
      = !object->deleted
        && router->dialect->target (object->name, object->content, &entry)
               == 0;

  if (!router->targets.listing)
    router->known.targets = pos_max (router->known.targets, object->position);
  if (is_readable
      && reg_keeps_leaving (router->registry, &entry, object->position))
    snapshot_retain_target (router->snapshot, object->name, object->position);
  else if (!snapshot_put_target (router->snapshot, object))
    return;
  if (object->deleted)
    mark_target_missing (router, object);
  else if (is_readable)
    put_target (router, &entry, object->position);
  else
    log_warn ("registry", NULL, "unreadable", "%s", object->name);
}

/* Puts the target of ENTRY, at POSITION of the store, into the registry.  */
static void
put_target (struct router *router, const struct reg_entry *entry,
            struct position position)
{
  drop_restarted_holder (router, entry);
  if (reg_put (router->registry, entry, position, clk_now (clk_monotonic ())))
    log_target (entry->leaving ? "target_leaving" : "target", entry, position);
}

/* Handles the deletion of the registry entry OBJECT.  The target is kept as
   missing for missing_grace_ms, since the entry may have expired only because
   the store was down, and a target that leaves without notice still serves for
   some time.  */
static void
mark_target_missing (struct router *router, const struct watch_object *object)
{
  if (reg_mark_missing (router->registry, object->name, object->position,
                        clk_now (clk_monotonic ())
                            + missing_grace_ms (router)))
    {
      struct reg_entry entry = { 0 };

      g_strlcpy (entry.id, object->name, sizeof entry.id);
      log_target ("target_missing", &entry, object->position);
    }
}

/* Returns for how many milliseconds a target without a registry entry is
   kept.  */
static int64_t
missing_grace_ms (const struct router *router)
{
  clk_ms regained_ms = router->targets.regained_ms;

  return reg_missing_grace_ms (router->settings->drain_ms,
                               regained_ms != 0
                                   ? clk_now (clk_monotonic ()) - regained_ms
                                   : REG_NEVER_MS);
}

/* Called when a list of targets was read completely, at POSITION: targets that
   are not in it become missing.  */
static void
targets_end (void *closure, struct position position)
{
  struct router *router = closure;

  note_epoch (router, position);
  router->known.targets = pos_max (router->known.targets, position);
  snapshot_list_end (router->snapshot, position);
  reg_list_end (router->registry,
                clk_now (clk_monotonic ()) + missing_grace_ms (router));
}

/* Decides at NOW whether ROUTER watches the store, and sets what its
   heartbeats report on the store.  */
void
router_update_watch (struct router *router, clk_ms now)
{
  int is_lost = router->config.down || router->targets.down;
  struct elect_view view = { .is_watching = !router->config.list_only };
  struct snapshot_state state = router->known;

  fleet_count_watchers (router->fleet, &view);
  if (!elect_needs_watchers (&view))
    router->short_ms = now;
  view.short_ms = now - router->short_ms;
  if (elect_should_watch (&view))
    router->watch_due_ms = now;
  if (now - router->started_ms >= DISCOVERY_MS)
    {
      int wanted = router->watch_due_ms != 0
                   && now - router->watch_due_ms < WATCH_LINGER_MS;

      watch_enable (&router->config, wanted);
      watch_enable (&router->targets, wanted);
    }
  state.version = router->table != NULL ? router->table->version : 0;
  fleet_set_state (router->fleet, &state,
                   is_lost                    ? WIRE_STORE_LOST
                   : router->config.list_only ? WIRE_STORE_UNWATCHED
                                              : WIRE_STORE_WATCHED);
}

/* Returns for how many milliseconds other instances have reported newer states
   while that of ROUTER has not changed.  Called when an instance reports a
   newer one.  */
static int64_t
stale_for_ms (struct router *router, clk_ms now)
{
  if (router->stale_since_ms == 0
      || memcmp (&router->stale_state, &router->known,
                 sizeof router->stale_state)
             != 0)
    {
      router->stale_state = router->known;
      router->stale_since_ms = now;
    }
  return now - router->stale_since_ms;
}

/* Returns whether ROUTER has read the lists and receives changes by its own
   watch of the store.  */
static int
is_watching_store (const struct router *router)
{
  return !router->config.down && !router->targets.down
         && !router->config.list_only && router->table != NULL
         && router->registry->listed;
}

/* Logs what an instance of the same failure domain knows of the store, as in
   UPDATE, unless it is as in the last such line.  */
static void
log_report (struct router *router, const struct fleet_update *update)
{
  const struct snapshot_state *told = &update->known;
  struct log_line line;

  if (!update->is_local || told->targets.epoch < router->epoch
      || memcmp (&router->reported, told, sizeof *told) == 0)
    return;
  router->reported = *told;
  if (!log_begin (&line, LOG_LEVEL_INFO, "fleet", NULL, "reported"))
    return;
  log_number (&line, "version", (int64_t)told->version);
  log_number (&line, "epoch", (int64_t)told->targets.epoch);
  log_number (&line, "targets", (int64_t)told->targets.revision);
  log_number (&line, "known_epoch", (int64_t)router->known.targets.epoch);
  log_number (&line, "known_targets", (int64_t)router->known.targets.revision);
  log_end (&line);
}

/* Called when another instance reports what it knows of the store.  If that is
   newer and this instance does not watch the store itself, it fetches the
   snapshot of the other instance.  While an instance of its own failure domain
   watches the store, it fetches only within that domain.

   The connection of a watcher to the store may fail without an error.  What
   other instances have reported for STALE_MS is therefore fetched from any of
   them, and if this instance watches the store itself, its watch is assumed to
   have failed and is restarted.  */
void
router_on_fleet_update (void *closure, const struct fleet_update *update)
{
  struct router *router = closure;
  clk_ms now = clk_now (clk_monotonic ());
  int watches_store = is_watching_store (router);

  log_report (router, update);
  if (router->snapshot_fetch != NULL
      || !snapshot_is_newer (&update->known, &router->known)
      || (router->fetch_started_ms != 0
          && now - router->fetch_started_ms < FETCH_PAUSE_MS))
    return;
  if ((watches_store
       || (!update->is_local && fleet_has_watcher (router->fleet)))
      && stale_for_ms (router, now) < STALE_MS)
    return;
  if (watches_store)
    {
      watch_restart (&router->config);
      watch_restart (&router->targets);
    }
  router->fetch_started_ms = now;
  fetch_snapshot (router, &update->address);
}

/* Starts to fetch what is new in the snapshot of the instance at ADDRESS.  */
static void
fetch_snapshot (struct router *router, const struct sockaddr_in *address)
{
  const struct snapshot_state *known = &router->known;
  struct position targets
      = router->registry->listed ? known->targets : (struct position){ 0 };
  char *path = g_strdup_printf (
      "%s?config=%" PRIu64 "&targets=%" PRIu64 "&version=%" PRIu64
      "&config_epoch=%" PRIu64 "&targets_epoch=%" PRIu64,
      SNAPSHOT_PATH, known->config.revision, targets.revision, known->version,
      known->config.epoch, targets.epoch);
  struct store_request request = { .address = *address,
                                   .method = "GET",
                                   .url = path,
                                   .timeout_ms = FETCH_TIMEOUT_MS };

  router->snapshot_fetch = store_call_start (router->loop, &router->pool,
                                             &request, on_fetched, router);
  g_free (path);
}

/* Handles the response with the snapshot of another instance: applies the
   configuration and the targets in it.  */
static void
on_fetched (void *closure, const struct store_response *response)
{
  struct router *router = closure;
  struct watch_sink config
      = { config_begin, config_object, config_end, router };
  struct watch_sink targets
      = { targets_begin, targets_object, targets_end, router };
  struct snapshot_state now;
  size_t size = 0;
  char *unpacked
      = response->status == HTTP_STATUS_OK
            ? snapshot_decompress (response->text, response->length, &size)
            : NULL;
  int result = -1;

  router->snapshot_fetch = NULL;
  if (unpacked != NULL)
    result = snapshot_parse (unpacked, size, &now, &router->known, &config,
                             &targets);
  g_free (unpacked);
  if (result != 0)
    return;
  note_epoch (router, now.targets);
  router->known.version = MAX (router->known.version, now.version);
  router->known.config = pos_max (router->known.config, now.config);
  router->known.targets = pos_max (router->known.targets, now.targets);
  watch_advance (&router->config, now.config);
  watch_advance (&router->targets, now.targets);
  log_debug ("fleet", NULL, "snapshot",
             "version %" PRIu64 ", registry %" PRIu64 " from a peer",
             now.version, now.targets.revision);
}

/* Returns the number that follows KEY, such as "config=", in the query of URL,
   or 0 if KEY is absent.  */
static uint64_t
query_number (const char *url, const char *key)
{
  const char *at = strstr (url, key);

  return at ? g_ascii_strtoull (at + strlen (key), NULL, 10) : 0;
}

/* Responds to a request of another instance for the snapshot with the changes
   after the revisions in its query, or with HTTP_STATUS_SERVICE_UNAVAILABLE
   until the list of targets has been read and while it is being read.  */
void *
router_on_peer_request (struct client_listener *listener,
                        struct client *client, struct http_head *head,
                        GString *body)
{
  const struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, peer_listener));
  const char *url = http_head_url (head);
  const char *data;
  size_t length;

  if (strncmp (url, SNAPSHOT_PATH, sizeof SNAPSHOT_PATH - 1) != 0)
    client_respond (client, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else if (!router->registry->listed || router->targets.listing)
    client_respond (client, HTTP_STATUS_SERVICE_UNAVAILABLE, "", NULL, 0);
  else
    {
      struct snapshot_state since
          = { .version = query_number (url, "version="),
              .config = { query_number (url, "config_epoch="),
                          query_number (url, "config=") },
              .targets = { query_number (url, "targets_epoch="),
                           query_number (url, "targets=") } };
      struct snapshot_state now = router->known;

      now.version = router->table != NULL ? router->table->version : 0;
      data = snapshot_compress (router->snapshot, &since, &now, &length);
      client_respond (client, HTTP_STATUS_OK, "", data, length);
    }
  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  return NULL;
}
