/* What a gate learns from the store and from other instances. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/log.h"
#include "libgate.h"

enum
{
  BEHIND_MS = 700, /* a watch tells what another told well before */
  FETCH_PAUSE_MS = 50,
  FETCH_TIMEOUT_MS = 1500,
  ACQUAINT_MS = 800, /* after the start, until the others are heard */
  WATCH_LINGER_MS = 2000
};

/* Where another instance's snapshot is. */
static const char SNAPSHOT_PATH[] = "/v1/snapshot";

static void config_begin (void *closure);
static void config_object (void *closure, const struct fol_object *object);
static void config_end (void *closure, uint64_t revision);
static void targets_begin (void *closure);
static void targets_object (void *closure, const struct fol_object *object);
static void targets_end (void *closure, uint64_t revision);
static void forget_contexts (struct gate *gate, const struct reg_entry *entry);
static int64_t missing_ms (const struct gate *gate);
static void remove_target (struct gate *gate, const struct fol_object *object);
static uint64_t query_number (const char *url, const char *key);
static int64_t behind_for (struct gate *gate, clk_ms now);
static int hears_store (const struct gate *gate);
static void on_fetched (void *closure, uint32_t status, const char *text,
                        size_t length);
static void log_version (const struct gate *gate,
                         const struct rt_table *table);
static void log_target (const char *reason, const struct reg_entry *entry,
                        uint64_t revision);
static void adopt (struct gate *gate, struct rt_table *table);

/* Follows the configuration.  */
void
gate_follow_config (struct gate *gate)
{
  struct fol_sink sink = { config_begin, config_object, config_end, gate };

  fol_init (&gate->config, gate->dialect->store, gate->dialect->config_kind,
            &sink, gate->loop, &gate->pool, &gate->settings->platform);
  fol_start (&gate->config);
}

/* Follows the registry of targets.  */
void
gate_follow_targets (struct gate *gate)
{
  struct fol_sink sink = { targets_begin, targets_object, targets_end, gate };

  fol_init (&gate->targets, gate->dialect->store, gate->dialect->targets_kind,
            &sink, gate->loop, &gate->pool, &gate->settings->platform);
  fol_start (&gate->targets);
}

/* A list of configurations has no state of its own.  */
static void
config_begin (void *closure)
{
  (void)closure;
}

/* Takes a version of the configuration.  */
static void
config_object (void *closure, const struct fol_object *object)
{
  struct gate *gate = closure;
  struct rt_table *table;

  if (object->deleted
      || strcmp (object->name, gate->dialect->config_name) != 0)
    return;
  table = gate->dialect->config (object->content);
  if (table != NULL
      && (gate->table == NULL || table->version > gate->table->version))
    {
      snp_config (gate->snapshot, object);
      gate->known.config = MAX (gate->known.config, object->revision);
    }
  if (table == NULL)
    {
      log_error ("config", NULL, "unreadable",
                 "revision %" PRIu64 "; the version before stays in force",
                 object->revision);
      return;
    }
  adopt (gate, table);
}

/* A list of configurations is whole.  */
static void
config_end (void *closure, uint64_t revision)
{
  (void)closure;
  (void)revision;
}

/* Brings TABLE in force unless a newer version is.  */
static void
adopt (struct gate *gate, struct rt_table *table)
{
  if (gate->table != NULL && table->version <= gate->table->version)
    {
      rt_unref (table);
      return;
    }
  log_version (gate, table);
  rt_unref (gate->table);
  gate->table = table;
  gate->table_ms = clk_now (clk_monotonic ());
  gate->front.limits.head_max_bytes = table->limits.head_max_bytes;
  gate->front.limits.body_max_bytes = table->limits.body_max_bytes;
  gate->front.limits.head_timeout_ms = table->limits.head_timeout_ms;
  gate->front.limits.idle_timeout_ms = table->limits.idle_timeout_ms;
}

/* Logs that TABLE comes in force.  */
static void
log_version (const struct gate *gate, const struct rt_table *table)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "config", NULL, "in_force"))
    return;
  log_number (&line, "version", (int64_t)table->version);
  log_number (&line, "version_before",
              gate->table ? (int64_t)gate->table->version : 0);
  log_number (&line, "revision", (int64_t)gate->known.config);
  log_number (&line, "routes", table->routes->len);
  log_number (&line, "keys", g_hash_table_size (table->keys));
  log_text (&line, "from", gate->config.unwanted ? "peer" : "store");
  log_end (&line);
}

/* Logs what became of the target of ENTRY for REASON.  */
static void
log_target (const char *reason, const struct reg_entry *entry,
            uint64_t revision)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "registry", NULL, reason))
    return;
  log_text (&line, "target", entry->id);
  log_text (&line, "service", entry->service);
  log_text (&line, "target_domain", entry->failure_domain);
  log_number (&line, "revision", (int64_t)revision);
  log_end (&line);
}

/* A whole list of targets follows.  */
static void
targets_begin (void *closure)
{
  struct gate *gate = closure;

  reg_list_begin (gate->registry);
  snp_list_begin (gate->snapshot);
}

/* Forgets which contexts the target of ENTRY held, if it has started anew.  */
static void
forget_contexts (struct gate *gate, const struct reg_entry *entry)
{
  const struct reg_target *known = reg_find (gate->registry, entry->id);

  if (known != NULL && known->incarnation != entry->incarnation)
    ctx_forget (gate->contexts, known->hash);
}

/* Takes an entry of the registry.  */
static void
targets_object (void *closure, const struct fol_object *object)
{
  struct gate *gate = closure;
  struct reg_entry entry;

  gate->known.targets = MAX (gate->known.targets, object->revision);
  if (!snp_target (gate->snapshot, object))
    return;
  if (object->deleted)
    {
      remove_target (gate, object);
      return;
    }
  if (gate->dialect->target (object->name, object->content, &entry) != 0)
    {
      log_warn ("registry", NULL, "unreadable", "%s", object->name);
      return;
    }
  forget_contexts (gate, &entry);
  if (reg_put (gate->registry, &entry, object->revision,
               clk_now (clk_monotonic ())))
    log_target (entry.leaving ? "target_leaving" : "target", &entry,
                object->revision);
}

/* Takes the end of an entry.  It may have lapsed only because the store was
   away; and a target that leaves without notice serves a while longer.  */
static void
remove_target (struct gate *gate, const struct fol_object *object)
{
  if (reg_mark_missing (gate->registry, object->name, object->revision,
                        clk_now (clk_monotonic ()) + missing_ms (gate)))
    {
      struct reg_entry entry = { 0 };

      g_strlcpy (entry.id, object->name, sizeof entry.id);
      log_target ("target_missing", &entry, object->revision);
    }
}

/* Returns for how many milliseconds a target whose entry is missing is kept.
 */
static int64_t
missing_ms (const struct gate *gate)
{
  clk_ms back = gate->targets.regained_ms;

  return reg_missing_grace_ms (gate->settings->drain_ms,
                               back != 0 ? clk_now (clk_monotonic ()) - back
                                         : REG_NEVER_MS);
}

/* A whole list of targets was read.  */
static void
targets_end (void *closure, uint64_t revision)
{
  struct gate *gate = closure;

  gate->known.targets = MAX (gate->known.targets, revision);
  snp_list_end (gate->snapshot, revision);
  reg_list_end (gate->registry,
                clk_now (clk_monotonic ()) + missing_ms (gate));
}

/* Decides whether this instance watches the store, and tells the others.  */
void
gate_review_watch (struct gate *gate, clk_ms now)
{
  int is_lost = gate->config.down || gate->targets.down;
  struct elect_view view = { .is_watching = !gate->config.unwanted };

  flt_view (gate->fleet, &view);
  if (!elect_needs_watchers (&view))
    gate->short_ms = now;
  view.short_ms = now - gate->short_ms;
  if (elect_should_watch (&view))
    gate->watch_ms = now;
  if (now - gate->started_ms >= ACQUAINT_MS)
    {
      int wanted
          = gate->watch_ms != 0 && now - gate->watch_ms < WATCH_LINGER_MS;

      fol_want (&gate->config, wanted);
      fol_want (&gate->targets, wanted);
    }
  flt_set_known (gate->fleet, &gate->known,
                 is_lost                 ? WIRE_STORE_LOST
                 : gate->config.unwanted ? WIRE_STORE_UNWATCHED
                                         : WIRE_STORE_WATCHED);
}

/* Returns for how long others have known more than GATE, which has learnt
   nothing since.  */
static int64_t
behind_for (struct gate *gate, clk_ms now)
{
  if (gate->behind_ms == 0
      || memcmp (&gate->behind, &gate->known, sizeof gate->behind) != 0)
    {
      gate->behind = gate->known;
      gate->behind_ms = now;
    }
  return now - gate->behind_ms;
}

/* Returns whether GATE hears of changes from the store itself.  */
static int
hears_store (const struct gate *gate)
{
  return !gate->config.down && !gate->targets.down && !gate->config.unwanted
         && gate->table != NULL && gate->registry->listed;
}

/* Takes news of what another instance knows.  If this one does not watch the
   store itself, or cannot, it asks that instance for what it lacks: one of its
   own failure domain, where one watches.  Those that watch there may be cut
   off without a sign: what others have known for a while is taken from them,
   and an own watch that has not told it is dead, and begun anew.  */
void
gate_on_news (void *closure, const struct flt_news *news)
{
  struct gate *gate = closure;
  clk_ms now = clk_now (clk_monotonic ());
  int is_direct = hears_store (gate);
  char *path;

  if (gate->fetch != NULL
      || (news->known.config <= gate->known.config
          && news->known.targets <= gate->known.targets)
      || (gate->fetched_ms != 0 && now - gate->fetched_ms < FETCH_PAUSE_MS))
    return;
  if ((is_direct || (!news->is_local && flt_has_watcher (gate->fleet)))
      && behind_for (gate, now) < BEHIND_MS)
    return;
  if (is_direct)
    {
      fol_restart (&gate->config);
      fol_restart (&gate->targets);
    }
  gate->fetched_ms = now;
  path = g_strdup_printf ("%s?config=%" PRIu64 "&targets=%" PRIu64,
                          SNAPSHOT_PATH, gate->known.config,
                          gate->registry->listed ? gate->known.targets : 0);
  gate->fetch = stc_start (gate->loop, &gate->pool, &news->address, "GET",
                           path, NULL, FETCH_TIMEOUT_MS, on_fetched, gate);
  g_free (path);
}

/* Takes over what another instance knows.  */
static void
on_fetched (void *closure, uint32_t status, const char *text, size_t length)
{
  struct gate *gate = closure;
  struct fol_sink config = { config_begin, config_object, config_end, gate };
  struct fol_sink targets
      = { targets_begin, targets_object, targets_end, gate };
  struct snp_point now;
  size_t size = 0;
  char *unpacked
      = status == HTTP_STATUS_OK ? snp_unpack (text, length, &size) : NULL;
  int result = -1;

  gate->fetch = NULL;
  if (unpacked != NULL)
    result = snp_read (unpacked, size, &now, &config, &targets);
  g_free (unpacked);
  if (result != 0)
    return;
  gate->known.config = MAX (gate->known.config, now.config);
  gate->known.targets = MAX (gate->known.targets, now.targets);
  fol_heard_elsewhere (&gate->config, now.config);
  fol_heard_elsewhere (&gate->targets, now.targets);
  log_debug ("fleet", NULL, "snapshot",
             "configuration %" PRIu64 ", registry %" PRIu64 " from a peer",
             now.config, now.targets);
}

/* Returns the number after KEY in the query of URL, 0 if it is not there.  */
static uint64_t
query_number (const char *url, const char *key)
{
  const char *at = strstr (url, key);

  return at ? g_ascii_strtoull (at + strlen (key), NULL, 10) : 0;
}

/* Answers another instance.  */
void *
gate_on_peer_request (struct caller_site *site, struct caller *caller,
                      struct http_head *head, GString *body)
{
  const struct gate *gate
      = (struct gate *)((char *)site - offsetof (struct gate, peers));
  const char *url = http_head_url (head);
  const char *data;
  size_t length;

  if (strncmp (url, SNAPSHOT_PATH, sizeof SNAPSHOT_PATH - 1) != 0)
    caller_answer (caller, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else if (!gate->registry->listed || gate->targets.listing)
    caller_answer (caller, HTTP_STATUS_SERVICE_UNAVAILABLE, "", NULL, 0);
  else
    {
      struct snp_point since
          = { query_number (url, "config="), query_number (url, "targets=") };

      data = snp_pack (gate->snapshot, &since, &gate->known, &length);
      caller_answer (caller, HTTP_STATUS_OK, "", data, length);
    }
  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  return NULL;
}
