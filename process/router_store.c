/* Configuration and registry of a router, as read from the store or fetched
   from other instances (router_snapshot.c). */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "librouter.h"

enum
{
  DISCOVERY_MS = 800,     /* from the start until peers have sent heartbeats */
  WATCH_LINGER_MS = 2000, /* an unneeded watch continues for this time */
  WAIT_MS = 6000,         /* longest watch */
  INTERVAL_MS = 250,      /* between watches */
  STANDBY_INTERVAL_MS = 1000,
  /* An entry of an older process had only been missing.  */
  STARTED_LATELY_MS = 60000
};

/* Longest watch of the configuration, as a share of the time in which a
   confirmed version must be in force: the loss of its response is detected,
   and the others are told, in what remains.  */
static const double CONFIG_WAIT_SHARE = 0.4;

static void config_begin (void *closure);
static void config_object (void *closure, const struct watch_object *object);
static void config_end (void *closure, struct position position);
static void targets_begin (void *closure);
static void targets_object (void *closure, const struct watch_object *object);
static void targets_end (void *closure, struct position position);
static void put_entry (struct router *router,
                       const struct watch_object *object,
                       const struct reg_entry *entry);
static void remove_entry (struct router *router,
                          const struct watch_object *object);
static void drop_unreadable_entry (struct router *router,
                                   const struct watch_object *object);
static void put_target (struct router *router, const struct reg_entry *entry,
                        struct position position);
static void limit_cold (struct router *router, struct reg_target *target,
                        int is_told);
static int has_started (const struct router *router,
                        const struct reg_target *target,
                        const struct reg_entry *entry);
static void drop_restarted_holder (struct router *router,
                                   const struct reg_entry *entry);
static int64_t missing_grace_ms (const struct router *router);
static void mark_target_missing (struct router *router,
                                 const struct watch_object *object);
static void log_version (const struct router *router,
                         const struct rt_table *table);
static void log_target (const char *reason, const struct reg_entry *entry,
                        struct position position);
static void set_pace (struct router *router, int is_standby);
static GBytes *config_text (struct router *router,
                            const struct watch_object *object);
static int is_passed_over (const struct router *router, GBytes *text);
static void take_config (struct router *router,
                         const struct watch_object *object,
                         struct cfg_text *config);
static void activate_table (struct router *router, struct rt_table *table);

/* Returns the sink of configurations, from the store or from a peer.  */
struct watch_sink
router_config_sink (struct router *router)
{
  return (struct watch_sink){ config_begin, config_object, config_end, router,
                              .takes_text = 1 };
}

/* Returns the sink of targets, from the store or from a peer.  */
struct watch_sink
router_targets_sink (struct router *router)
{
  return (struct watch_sink){ targets_begin, targets_object, targets_end,
                              router, .takes_text = 0 };
}

/* Starts to list and watch the configuration in the store.  */
void
router_watch_config (struct router *router)
{
  struct watch_sink sink = router_config_sink (router);

  watch_init (&router->config, router->dialect->store,
              router->dialect->config_kind, &sink, router->loop, &router->pool,
              &router->settings->platform);
  watch_join (&router->config, &router->watches);
  watch_start (&router->config);
}

/* Starts to list and watch the registry of targets in the store.  */
void
router_watch_targets (struct router *router)
{
  struct watch_sink sink = router_targets_sink (router);

  watch_init (&router->targets, router->dialect->store,
              router->dialect->targets_kind, &sink, router->loop,
              &router->pool, &router->settings->platform);
  watch_join (&router->targets, &router->watches);
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
   restored store may show for a moment.  Of several events of one page, only
   that with the newest version is read, if it can be.  */
static void
config_object (void *closure, const struct watch_object *object)
{
  struct router *router = closure;
  GBytes *text;

  if (!object->is_earlier)
    router->page_version = 0;
  if (object->deleted
      || strcmp (object->name, router->dialect->config_name) != 0)
    return;
  text = config_text (router, object);
  if (text == NULL)
    return;
  router->known.config = pos_max (router->known.config, object->position);
  if (!is_passed_over (router, text))
    take_config (
        router, object,
        router->dialect->config (text, snapshot_config (router->snapshot)));
  g_bytes_unref (text);
}

/* Returns the text of OBJECT, a configuration, or NULL if it holds a
   difference from a text that ROUTER does not have.  The whole is fetched
   then.  */
static GBytes *
config_text (struct router *router, const struct watch_object *object)
{
  struct log_line line;
  GBytes *text;

  if (object->delta.length == 0)
    return g_bytes_new (object->text.at, object->text.length);
  text = cfg_apply_delta (snapshot_config (router->snapshot), object->delta);
  if (text != NULL)
    return text;
  router->refuses_delta = 1;
  metric_inc (METRIC_DELTA_REFUSED);
  if (!log_begin (&line, LOG_LEVEL_WARN, "config", NULL, "delta_refused"))
    return NULL;
  log_number (&line, "version",
              router->table ? (int64_t)router->table->version : 0);
  log_number (&line, "epoch", (int64_t)object->position.epoch);
  log_number (&line, "revision", (int64_t)object->position.revision);
  log_end (&line);
  return NULL;
}

/* Returns whether the configuration TEXT need not be read, as a later event of
   the same page brought a version at least as new.  */
static int
is_passed_over (const struct router *router, GBytes *text)
{
  struct scan_text scanned;
  uint64_t version;

  if (router->page_version == 0)
    return 0;
  scanned.at = g_bytes_get_data (text, &scanned.length);
  return router->dialect->config_version (scanned, &version) == 0
         && version <= router->page_version;
}

/* Brings CONFIG, the content of OBJECT, into force if it is newer than the
   version in force, and takes ownership of it.  NULL stands for one that is
   malformed.  */
static void
take_config (struct router *router, const struct watch_object *object,
             struct cfg_text *config)
{
  if (config == NULL)
    {
      metric_inc (METRIC_STORE_UNREADABLE);
      log_error ("config", NULL, "unreadable",
                 "revision %" PRIu64 "; the previous version stays in force",
                 object->position.revision);
      return;
    }
  router->page_version = MAX (router->page_version, config->table->version);
  if (router->table != NULL
      && config->table->version <= router->table->version)
    {
      cfg_free (config);
      return;
    }
  activate_table (router, config->table);
  snapshot_put_config (router->snapshot, object, config);
}

/* Called when a list of configurations was read completely, at POSITION.  */
static void
config_end (void *closure, struct position position)
{
  struct router *router = closure;

  router_note_epoch (router, position);
}

/* Records the store's epoch, that of POSITION.  If the store was restored, the
   instances' objects in it are written anew.  */
void
router_note_epoch (struct router *router, struct position position)
{
  struct log_line line;
  uint64_t epoch_before = router->epoch;

  if (position.epoch <= epoch_before)
    return;
  router->epoch = position.epoch;
  fleet_set_epoch (router->fleet, position.epoch);
  watch_set_epoch (&router->config, position.epoch);
  watch_set_epoch (&router->targets, position.epoch);
  if (router_watches_evacuations (router))
    watch_set_epoch (&router->evacuations, position.epoch);
  if (epoch_before == 0)
    return;
  /* Entries that were lost are registered again, as after an outage.  */
  router->targets.regained_ms = clk_now (clk_monotonic ());
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

/* Brings TABLE, which is newer than the one in force, into force.  */
static void
activate_table (struct router *router, struct rt_table *table)
{
  log_version (router, table);
  rt_unref (router->table);
  router->table = rt_ref (table);
  router->known.version = MAX (router->known.version, table->version);
  router->table_ms = clk_now (clk_monotonic ());
  for (guint i = 0; i < router->registry->array->len; i++)
    limit_cold (router, g_ptr_array_index (router->registry->array, i), 0);
  router->request_listener.limits.head_max_bytes
      = table->limits.head_max_bytes;
  router->request_listener.limits.body_max_bytes
      = table->limits.body_max_bytes;
  router->request_listener.limits.head_timeout_ms
      = table->limits.head_timeout_ms;
  router->request_listener.limits.idle_timeout_ms
      = table->limits.idle_timeout_ms;
  router->peer_listener.limits.head_max_bytes
      = table->limits.head_max_bytes + HOP_HEAD_BYTES;
  router->peer_listener.limits.body_max_bytes = table->limits.body_max_bytes;
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
  log_hash (&line, "software", entry->software);
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
    {
      affinity_remove_target (router->affinity, known->hash);
      held_remove_target (router->held, known->hash);
    }
}

/* Forgets what targets hold that are no longer registered.  */
void
router_forget_removed (struct router *router)
{
  struct held_cursor cursor = { 0 };
  struct held_pair pair;

  while (held_next (router->held, &cursor, &pair))
    if (reg_find_hash (router->registry, pair.target) == NULL)
      {
        held_remove_target (router->held, pair.target);
        cursor.holder = 0;
      }
}

/* Handles OBJECT, a registry entry: adds, updates or removes its target. While
   a list is read, what is known does not include it yet.  */
static void
targets_object (void *closure, const struct watch_object *object)
{
  struct router *router = closure;
  struct reg_entry entry;

  if (!router->targets.listing)
    router->known.targets = pos_max (router->known.targets, object->position);
  if (object->deleted)
    remove_entry (router, object);
  else if (router->dialect->target (object->name, object->content, &entry)
           == 0)
    put_entry (router, object, &entry);
  else
    drop_unreadable_entry (router, object);
}

/* Handles OBJECT, an entry that reads as ENTRY.  */
static void
put_entry (struct router *router, const struct watch_object *object,
           const struct reg_entry *entry)
{
  if (reg_keeps_leaving (router->registry, entry, object->position))
    snapshot_retain_target (router->snapshot, object->name, object->position);
  else if (!snapshot_put_target (router->snapshot, object))
    return;
  put_target (router, entry, object->position);
}

/* Handles OBJECT, the deletion of an entry.  */
static void
remove_entry (struct router *router, const struct watch_object *object)
{
  if (snapshot_put_target (router->snapshot, object))
    mark_target_missing (router, object);
}

/* Handles OBJECT, an entry that names no target to use: what it named before
   is treated as deleted, and so are peers told.  */
static void
drop_unreadable_entry (struct router *router,
                       const struct watch_object *object)
{
  struct watch_object deletion
      = { .name = object->name, .position = object->position, .deleted = 1 };

  metric_inc (METRIC_STORE_UNREADABLE);
  log_warn ("registry", NULL, "unreadable", "%s", object->name);
  remove_entry (router, &deletion);
}

/* Puts the target of ENTRY, at POSITION of the store, into the registry.  */
static void
put_target (struct router *router, const struct reg_entry *entry,
            struct position position)
{
  struct reg_target *target = reg_find (router->registry, entry->id);
  uint64_t software_before = target != NULL ? target->software : 0;
  int is_known = target != NULL;
  int is_started = has_started (router, target, entry);

  drop_restarted_holder (router, entry);
  if (reg_put (router->registry, entry, position, clk_now (clk_monotonic ())))
    log_target (entry->leaving ? "target_leaving" : "target", entry, position);
  target = reg_find (router->registry, entry->id);
  if (target == NULL)
    return;
  if (software_before != 0 && target->software != software_before)
    fleet_correct_origins (router->fleet, target);
  fleet_see_target (router->fleet, target);
  limit_cold (router, target,
              is_known && !router->targets.listing
                  && !router->targets.list_only);
  if (!is_started || target->is_restored)
    return;
  target->pace = (struct pace){ 0 };
  fleet_begin_pace (router->fleet, target, "started");
}

/* Returns whether ENTRY is of a target that has started since this instance
   read a complete list; TARGET is what is known of it, or NULL.  */
static int
has_started (const struct router *router, const struct reg_target *target,
             const struct reg_entry *entry)
{
  return router->registry->listed && !entry->leaving
         && (target == NULL || target->incarnation != entry->incarnation)
         && (entry->started_ms == 0
             || clk_wall_ms () - entry->started_ms < STARTED_LATELY_MS);
}

/* Limits the request rate of TARGET while it is cold, as the configuration
   says.  The other instances are told if IS_TOLD.  */
static void
limit_cold (struct router *router, struct reg_target *target, int is_told)
{
  const struct rt_service *service
      = router->table != NULL
            ? rt_find_service (router->table, target->service)
            : NULL;

  fleet_limit_cold (router->fleet, target,
                    service != NULL ? service->cold_per_s : 0, is_told);
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
      router_forget_removed (router);
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

  router_note_epoch (router, position);
  router->known.targets = pos_max (router->known.targets, position);
  snapshot_list_end (router->snapshot, position);
  reg_list_end (router->registry,
                clk_now (clk_monotonic ()) + missing_grace_ms (router));
}

/* Sets how often ROUTER calls the store as a watcher.  A standby, which other
   watchers of its failure domain precede, gets changes from these, and calls
   the store less often.  */
static void
set_pace (struct router *router, int is_standby)
{
  int64_t config_wait_ms = (int64_t)((double)router->settings->config_apply_ms
                                     * CONFIG_WAIT_SHARE);
  int64_t interval_ms = is_standby ? STANDBY_INTERVAL_MS : INTERVAL_MS;

  router->is_standby = (uint8_t)is_standby;
  watch_set_pace (&router->config,
                  is_standby ? WAIT_MS : MIN (config_wait_ms, WAIT_MS),
                  interval_ms);
  watch_set_pace (&router->targets, WAIT_MS, interval_ms);
  if (router_watches_evacuations (router))
    watch_set_pace (&router->evacuations,
                    is_standby ? WAIT_MS
                               : router_evacuations_wait_ms (router, WAIT_MS),
                    interval_ms);
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
      router_update_evacuations (router, wanted, &view, now);
    }
  set_pace (router, view.watchers_before > 0);
  state.version = router->table != NULL ? router->table->version : 0;
  fleet_set_state (router->fleet, &state,
                   is_lost                    ? WIRE_STORE_LOST
                   : router->config.list_only ? WIRE_STORE_UNWATCHED
                                              : WIRE_STORE_WATCHED);
}
