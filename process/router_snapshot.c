/* Exchange of what is known of the store between instances: one that learns
   that a peer knows more fetches the peer's snapshot.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/relay.h"
#include "librouter.h"

enum
{
  STALE_MS = 700, /* a working watch delivers changes much sooner */
  FETCH_PAUSE_MS = 50,
  FETCH_TIMEOUT_MS = 1500
};

/* Path at which every instance serves its snapshot to the others. */
static const char SNAPSHOT_PATH[] = "/v1/snapshot";

static void log_report (struct router *router,
                        const struct fleet_update *update);
static void log_paced (const struct router *router,
                       const struct fleet_update *update);
static int64_t stale_for_ms (struct router *router, clk_ms now);
static int is_watching_store (const struct router *router);
static void fetch_snapshot (struct router *router, enum snapshot_want want,
                            const struct sockaddr_in *address);
static void on_fetched (void *closure, const struct store_response *response);
static uint64_t query_number (const char *url, const char *key);

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
   watches the store, it fetches only within that domain.  Versions that
   follow each other quickly are fetched at limited intervals.

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
  enum snapshot_want want = snapshot_wanted (
      &update->known, &router->known,
      router->table != NULL ? now - router->table_ms : INT64_MAX);

  log_report (router, update);
  if (!watches_store && want != SNAPSHOT_ALL
      && snapshot_is_newer (&update->known, &router->known))
    log_paced (router, update);
  if (router->snapshot_fetch != NULL || want == SNAPSHOT_NOTHING
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
  fetch_snapshot (router, want, &update->address);
}

/* Counts and logs that the version in UPDATE is not fetched yet.  */
static void
log_paced (const struct router *router, const struct fleet_update *update)
{
  struct log_line line;

  metric_inc (METRIC_CONFIG_PACED);
  if (!log_begin (&line, LOG_LEVEL_INFO, "config", NULL, "paced"))
    return;
  log_number (&line, "version", (int64_t)update->known.version);
  log_number (&line, "in_force", (int64_t)router->known.version);
  log_number (&line, "in_force_ms",
              clk_now (clk_monotonic ()) - router->table_ms);
  log_end (&line);
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

/* Returns whether ROUTER has read the lists and receives changes first by its
   own watch of the store.  */
static int
is_watching_store (const struct router *router)
{
  return !router->config.down && !router->targets.down
         && !router->config.list_only && !router->is_standby
         && router->table != NULL && router->registry->listed;
}

/* Starts to fetch what WANT names of what is new in the snapshot of the
   instance at ADDRESS.  */
static void
fetch_snapshot (struct router *router, enum snapshot_want want,
                const struct sockaddr_in *address)
{
  const struct snapshot_state *known = &router->known;
  struct position targets
      = router->registry->listed ? known->targets : (struct position){ 0 };
  uint64_t base = router->table != NULL && !router->refuses_delta
                      ? router->table->version
                      : 0;
  char *path = g_strdup_printf (
      "%s?config=%" PRIu64 "&targets=%" PRIu64 "&version=%" PRIu64
      "&config_epoch=%" PRIu64 "&targets_epoch=%" PRIu64 "&delta=%" PRIu64,
      SNAPSHOT_PATH, known->config.revision, targets.revision,
      want == SNAPSHOT_TARGETS ? UINT64_MAX : known->version,
      known->config.epoch, targets.epoch, base);
  struct store_request request = { .address = *address,
                                   .method = "GET",
                                   .url = path,
                                   .timeout_ms = FETCH_TIMEOUT_MS };

  router->fetches_config = want == SNAPSHOT_ALL;
  router->refuses_delta = 0;
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
  struct watch_sink config = router_config_sink (router);
  struct watch_sink targets = router_targets_sink (router);
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
  router_note_epoch (router, now.targets);
  router->known.targets = pos_max (router->known.targets, now.targets);
  if (router->fetches_config && !router->refuses_delta)
    {
      router->known.version = MAX (router->known.version, now.version);
      router->known.config = pos_max (router->known.config, now.config);
      watch_advance (&router->config, now.config);
    }
  watch_advance (&router->targets, now.targets);
  log_debug ("fleet", NULL, "snapshot",
             "version %" PRIu64 ", registry %" PRIu64 " from a peer",
             now.version, now.targets.revision);
}

/* Handles a request of another instance: one of its clients' requests, or one
   for the snapshot.  Responds to the latter with the changes
   after the revisions in its query, or with HTTP_STATUS_SERVICE_UNAVAILABLE
   until the list of targets has been read and while it is being read.  */
void *
router_on_peer_request (struct client_listener *listener,
                        struct client *client, struct http_head *head,
                        GString *body)
{
  struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, peer_listener));
  const char *url = http_head_url (head);
  const char *data;
  size_t length;

  if (http_head_get (head, hop_field) != NULL)
    return relay_accept_hop (router, client, head, body);
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
                           query_number (url, "targets=") },
              .base = query_number (url, "delta=") };
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

/* Returns the number that follows KEY, such as "config=", in the query of URL,
   or 0 if KEY is absent.  */
static uint64_t
query_number (const char *url, const char *key)
{
  const char *at = strstr (url, key);

  return at ? g_ascii_strtoull (at + strlen (key), NULL, 10) : 0;
}
