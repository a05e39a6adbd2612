/* Instance that speaks ibisloom's own protocols: start, graceful shutdown and
   status. */
#include <signal.h>
#include <string.h>
#include <time.h>

#include <ck_pr.h>
#include <curl/curl.h>
#include <jansson.h>
#include <sodium.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "libconnection.h"

enum
{
  POLL_MS = 20,
  LAME_DUCK_MS = 1500, /* until the load balancer sends no more requests */
  /* Until the instance's targets have other owners.  */
  OWNERSHIP_CHANGE_MS = 250,
  STOP_NONE = 0,
  /* Phases of a shutdown.  */
  STOP_DRAINING = 1, /* new requests are still served */
  STOP_CLOSING = 2,  /* a worker ends when it has no open request */
  STOP_NOW = 3       /* a worker ends at once */
};

static void wait_ready (struct server *server);
static void drain (struct server *server);
static void sleep_ms (int64_t ms);
static void add_nonzero_counters (json_t *json);
static json_t *targets_json (struct server *server);

/* Returns an instance with SETTINGS and its request listeners bound, or NULL
   with ERROR set.  */
struct server *
server_new (const struct settings *settings, GError **error)
{
  struct server *server = g_new0 (struct server, 1);

  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_ALL) != 0)
    {
      err_set (error, ERR_IO, "a library cannot be initialised");
      g_free (server);
      return NULL;
    }
  server->settings = settings;
  server->store = ver_store_new (settings->deployment);
  server->budgets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  server->plain = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         plain_state_free);
  pthread_mutex_init (&server->budget_lock, NULL);
  pthread_mutex_init (&server->plain_lock, NULL);
  server->peer = peer_new (settings, server->store, error);
  if (server->peer == NULL)
    return NULL;
  server->ledger = ledger_new (settings, server->peer);
  server->guard = guard_new (server->peer);
  server->sync = sync_new (server);
  server->workers = g_ptr_array_new ();
  for (int64_t i = 0; i < settings->workers; i++)
    {
      struct worker *worker = worker_new (server, (int)i, error);

      if (worker == NULL)
        return NULL;
      g_ptr_array_add (server->workers, worker);
    }
  return server;
}

/* Starts all threads.  Returns 0, or -1 with ERROR set.  */
int
server_start (struct server *server, GError **error)
{
  server->control = control_start (server, error);
  if (server->control == NULL)
    return -1;
  peer_start (server->peer);
  ledger_start (server->ledger);
  sync_start (server->sync);
  for (guint i = 0; i < server->workers->len; i++)
    worker_start (g_ptr_array_index (server->workers, i));
  log_info ("server", NULL, "started", "listening");
  return 0;
}

/* Serves requests until a stop is requested, then shuts down gracefully: the
   readiness check fails, the peers are notified and receive the placement
   notes, and requests in progress are finished.  */
void
server_run (struct server *server)
{
  wait_ready (server);
  while (ck_pr_load_int (&server->stopping) == STOP_NONE)
    sleep_ms (POLL_MS);
  drain (server);
}

/* Requests a graceful shutdown of SERVER.  Async-signal-safe.  */
void
server_request_stop (struct server *server)
{
  ck_pr_cas_int (&server->stopping, STOP_NONE, STOP_DRAINING);
}

/* Stops all threads.  Requests that are still open are aborted.  */
void
server_stop (struct server *server)
{
  for (guint i = 0; i < server->workers->len; i++)
    worker_join (g_ptr_array_index (server->workers, i));
  sync_stop (server->sync);
  ledger_stop (server->ledger);
  control_stop (server->control);
  peer_stop (server->peer);
}

/* Frees SERVER, which has been stopped.  */
void
server_free (struct server *server)
{
  for (guint i = 0; i < server->workers->len; i++)
    worker_free (g_ptr_array_index (server->workers, i));
  g_ptr_array_free (server->workers, TRUE);
  ledger_free (server->ledger);
  guard_free (server->guard);
  peer_free (server->peer);
  ver_store_free (server->store);
  g_hash_table_destroy (server->budgets);
  g_hash_table_destroy (server->plain);
  g_free (server);
}

/* Returns the status for operators as JSON, to be released with free.  */
char *
server_status_json (struct server *server)
{
  char *members = peer_status_json (server->peer);
  uint64_t revision = 0;
  char *preset_text = ver_store_get (server->store, "in-force", &revision);
  json_t *preset = preset_text ? json_loads (preset_text, 0, NULL) : NULL;
  const char *name = json_string_value (json_object_get (preset, "preset"));
  json_t *json = json_pack (
      "{s:s,s:s,s:b,s:b,s:I,s:s?,s:I,s:I,s:o?,s:o}", "instance",
      server->settings->instance, "failure_domain",
      server->settings->failure_domain, "ready",
      ck_pr_load_int (&server->ready), "stopping",
      ck_pr_load_int (&server->stopping) != STOP_NONE, "revision",
      (json_int_t)ver_store_revision (server->store), "preset", name,
      "preset_revision", (json_int_t)revision, "open_requests",
      (json_int_t)server->open_requests, "members",
      json_loads (members, 0, NULL), "targets", targets_json (server));
  char *text;

  add_nonzero_counters (json);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  json_decref (preset);
  free (members);
  g_free (preset_text);
  return text;
}

/* Waits until the newest configuration that can be obtained is in force, then
   sets the instance ready.  */
static void
wait_ready (struct server *server)
{
  while (ck_pr_load_int (&server->stopping) == STOP_NONE
         && !sync_is_current (server->sync))
    sleep_ms (POLL_MS);
  if (ck_pr_load_int (&server->stopping) != STOP_NONE)
    return;
  ck_pr_store_int (&server->ready, 1);
  peer_set_state (server->peer, MEMBER_READY);
  log_info ("server", NULL, "ready", "revision %" G_GUINT64_FORMAT,
            (guint64)ver_store_revision (server->store));
}

/* Shuts down gracefully, for at most the stop timeout of the settings.  New
   requests are served for LAME_DUCK_MS, as the load balancer may not have seen
   the readiness check fail yet.  */
static void
drain (struct server *server)
{
  clk_ms now = clk_now (clk_monotonic ());
  clk_ms lame_duck_until = now + LAME_DUCK_MS;
  clk_ms deadline = now + server->settings->stop_timeout_ms;

  log_info ("server", NULL, "stopping", "finishing requests");
  peer_set_state (server->peer, MEMBER_LEAVING);
  sleep_ms (OWNERSHIP_CHANGE_MS);
  peer_transfer_notes (server->peer);
  while (now < deadline
         && (now < lame_duck_until
             || ck_pr_load_64 ((uint64_t *)&server->open_requests) > 0
             || ledger_backlog (server->ledger) > 0))
    {
      sleep_ms (POLL_MS);
      now = clk_now (clk_monotonic ());
    }
  ck_pr_store_int (&server->stopping,
                   now < deadline ? STOP_CLOSING : STOP_NOW);
}

/* Adds the counters that are not 0 to JSON.  */
static void
add_nonzero_counters (json_t *json)
{
  json_t *counters = json_object ();

  for (int i = 0; i < METRIC_COUNTER_COUNT; i++)
    if (metric_get ((enum metric_counter)i) > 0)
      json_object_set_new (
          counters, metric_name ((enum metric_counter)i),
          json_integer ((json_int_t)metric_get ((enum metric_counter)i)));
  json_object_set_new (json, "counters", counters);
}

/* Returns the targets of the configuration in force and their states.  */
static json_t *
targets_json (struct server *server)
{
  struct ver_reader *reader = ver_reader_new (server->store);
  const struct ver_snapshot *version = ver_read_begin (server->store, reader);
  json_t *list = json_array ();

  for (guint i = 0; i < version->targets->len; i++)
    {
      const struct ver_target *target = ver_target_at (version, i);
      const struct ver_service *service = &g_array_index (
          version->services, struct ver_service, target->service);
      int leaving
          = target->leaving || peer_is_leaving (server->peer, target->id);

      json_array_append_new (list, json_pack ("{s:s,s:s,s:s,s:s,s:i}",
                                              "service", service->name, "name",
                                              target->name, "failure_domain",
                                              target->failure_domain, "state",
                                              leaving ? "leaving" : "in use",
                                              "slots", (int)target->slots));
    }
  ver_read_end (reader);
  ver_reader_free (reader);
  return list;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}
