/* Keeps the configuration of this instance up to date.  WATCHERS_PER_DOMAIN
   instances of each failure domain watch the platform for changes.  The others
   learn of new revisions from heartbeats and fetch them from the instance that
   sent the heartbeat.  A new instance does both, so that it can start
   while the platform is down. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ck_pr.h>
#include <jansson.h>

#include "ibisloom/fetch.h"
#include "ibisloom/json_scan.h"
#include "ibisloom/log.h"
#include "ibisloom/platform.h"
#include "libconnection.h"

enum
{
  WATCHERS_PER_DOMAIN = 2,
  WATCH_WAIT_MS = 4000,
  PLATFORM_TIMEOUT_MS = 500,
  FETCH_TIMEOUT_MS = 500,
  ROLE_CHECK_INTERVAL_MS = 100,
  BACKOFF_MIN_MS = 100,
  BACKOFF_MAX_MS = 1000,
  LEAVING_INTERVAL_MS = 500,
  MEMBERSHIP_SETTLE_MS = 700,
  LEAVING_TARGETS_MAX = 256,
  URL_MAX_BYTES = 256,
  HTTP_OK = 200
};

struct sync
{
  struct server *server;
  char *prefix;
  pthread_t threads[3];
  pthread_mutex_t lock;
  pthread_cond_t source_changed;
  struct sockaddr_in source; /* peer to fetch from */
  int has_source;
  int stopping;
  int has_read_platform;
  clk_ms started_ms;
};

static void *run_watch (void *closure);
static void *run_fetch (void *closure);
static void *run_leaving (void *closure);
static void on_newer_revision (void *closure, const struct sockaddr_in *peer);
static int watch_once (struct sync *sync, struct platform *platform,
                       int64_t wait_ms);
static void fetch_once (struct sync *sync, struct fetch *fetch,
                        const struct sockaddr_in *peer);
static void merge_objects (struct sync *sync, const char *json,
                           enum metric_counter counter);
static void read_leaving_targets (struct sync *sync,
                                  struct platform *platform);
static int read_leaving_target (const struct sync *sync,
                                struct scan_text target, uint64_t *id);
static void sleep_ms (int64_t ms);
static int is_stopping (struct sync *sync);

/* Returns a new synchronizer for the configuration of SERVER, not started.  */
struct sync *
sync_new (struct server *server)
{
  struct sync *sync = g_new0 (struct sync, 1);

  sync->server = server;
  sync->prefix = g_strdup_printf ("%s/config/", server->settings->deployment);
  pthread_mutex_init (&sync->lock, NULL);
  pthread_cond_init (&sync->source_changed, NULL);
  peer_on_revision (server->peer, on_newer_revision, sync);
  return sync;
}

void
sync_start (struct sync *sync)
{
  sync->started_ms = clk_now (clk_monotonic ());
  pthread_create (&sync->threads[0], NULL, run_watch, sync);
  pthread_create (&sync->threads[1], NULL, run_fetch, sync);
  pthread_create (&sync->threads[2], NULL, run_leaving, sync);
}

/* Stops the threads and frees SYNC.  */
void
sync_stop (struct sync *sync)
{
  pthread_mutex_lock (&sync->lock);
  ck_pr_store_int (&sync->stopping, 1);
  ck_pr_store_int (&sync->server->abort_platform_calls, 1);
  pthread_cond_broadcast (&sync->source_changed);
  pthread_mutex_unlock (&sync->lock);
  for (size_t i = 0; i < G_N_ELEMENTS (sync->threads); i++)
    pthread_join (sync->threads[i], NULL);
  pthread_mutex_destroy (&sync->lock);
  pthread_cond_destroy (&sync->source_changed);
  g_free (sync->prefix);
  g_free (sync);
}

/* Returns whether this instance has the newest configuration that it can learn
   of: it has read the platform, or it knows other members and no live one has
   a higher revision.  Always false within MEMBERSHIP_SETTLE_MS of the start,
   in which the first heartbeats arrive.  */
int
sync_is_current (struct sync *sync)
{
  struct server *server = sync->server;
  struct member_info members[64];
  size_t count;
  uint64_t revision = ver_store_revision (server->store);
  uint64_t in_force = 0;
  char *text = ver_store_get (server->store, "in-force", &in_force);

  g_free (text);
  if (text == NULL)
    return 0;
  if (clk_now (clk_monotonic ()) - sync->started_ms < MEMBERSHIP_SETTLE_MS)
    return 0;
  if (ck_pr_load_int (&sync->has_read_platform))
    return 1;
  count = member_list (peer_members (server->peer), members,
                       G_N_ELEMENTS (members));
  for (size_t i = 0; i < count; i++)
    if (!members[i].gone && members[i].revision > revision)
      return 0;
  return count > 0;
}

/* Opens a new session with the platform, for use by the calling thread
   only.  */
struct platform *
sync_open_platform (struct server *server)
{
  return platform_http_new (&server->settings->platform, PLATFORM_TIMEOUT_MS,
                            &server->abort_platform_calls);
}

/* Watches the platform for changes until the platform has responded once, and
   then while this instance has the role "watch".  The retry delay after an
   error is random with an upper bound that doubles, so that the watchers do
   not retry in step.  */
static void *
run_watch (void *closure)
{
  struct sync *sync = closure;
  struct platform *platform = sync_open_platform (sync->server);
  GRand *random = g_rand_new ();
  int64_t backoff_ms = BACKOFF_MIN_MS;

  while (!is_stopping (sync))
    {
      int is_first_watch = !ck_pr_load_int (&sync->has_read_platform);

      if (!is_first_watch
          && !peer_has_role (sync->server->peer, "watch", WATCHERS_PER_DOMAIN))
        {
          sleep_ms (ROLE_CHECK_INTERVAL_MS);
          continue;
        }
      if (watch_once (sync, platform, is_first_watch ? 0 : WATCH_WAIT_MS) == 0)
        {
          backoff_ms = BACKOFF_MIN_MS;
          continue;
        }
      sleep_ms (g_rand_int_range (random, BACKOFF_MIN_MS / 2,
                                  (gint32)backoff_ms + 1));
      backoff_ms = MIN (backoff_ms * 2, (int64_t)BACKOFF_MAX_MS);
    }
  g_rand_free (random);
  platform_free (platform);
  return NULL;
}

/* Fetches the configuration from peers that have a higher revision.  */
static void *
run_fetch (void *closure)
{
  struct sync *sync = closure;
  struct fetch *fetch = fetch_new ();

  for (;;)
    {
      struct sockaddr_in source;

      pthread_mutex_lock (&sync->lock);
      while (!sync->has_source && !is_stopping (sync))
        pthread_cond_wait (&sync->source_changed, &sync->lock);
      source = sync->source;
      sync->has_source = 0;
      pthread_mutex_unlock (&sync->lock);
      if (is_stopping (sync))
        break;
      fetch_once (sync, fetch, &source);
    }
  fetch_free (fetch);
  return NULL;
}

/* Polls the platform's list of leaving targets while this instance has the
   role "list".  */
static void *
run_leaving (void *closure)
{
  struct sync *sync = closure;
  struct platform *platform = sync_open_platform (sync->server);

  while (!is_stopping (sync))
    {
      if (peer_has_role (sync->server->peer, "list", 1))
        read_leaving_targets (sync, platform);
      sleep_ms (LEAVING_INTERVAL_MS);
    }
  platform_free (platform);
  return NULL;
}

/* Wakes up the fetch thread to fetch from PEER, which has a higher revision.
   Called on the peer thread.  */
static void
on_newer_revision (void *closure, const struct sockaddr_in *peer)
{
  struct sync *sync = closure;

  pthread_mutex_lock (&sync->lock);
  sync->source = *peer;
  sync->has_source = 1;
  pthread_cond_signal (&sync->source_changed);
  pthread_mutex_unlock (&sync->lock);
}

/* Waits once for changes, at most WAIT_MS.  Returns 0 if the platform
   responded, else -1.  */
static int
watch_once (struct sync *sync, struct platform *platform, int64_t wait_ms)
{
  GError *error = NULL;
  char *json = platform_watch (platform, sync->prefix,
                               ver_store_revision (sync->server->store),
                               wait_ms, &error);

  if (json == NULL)
    {
      log_debug ("sync", NULL, "watch_failed", "%s", error->message);
      g_clear_error (&error);
      return -1;
    }
  merge_objects (sync, json, METRIC_COUNTER_COUNT);
  g_free (json);
  ck_pr_store_int (&sync->has_read_platform, 1);
  return 0;
}

/* Fetches changes once from PEER.  */
static void
fetch_once (struct sync *sync, struct fetch *fetch,
            const struct sockaddr_in *peer)
{
  struct fetch_response response = { .body = g_string_new (NULL) };
  char *host = settings_format_address (peer);
  char url[URL_MAX_BYTES];
  struct fetch_request request
      = { .method = "GET",
          .url = url,
          .bearer = sync->server->settings->cluster_key,
          .timeout_ms = FETCH_TIMEOUT_MS };

  g_snprintf (url, sizeof url,
              "http://%s/peer/config?since=%" G_GUINT64_FORMAT, host,
              (guint64)ver_store_revision (sync->server->store));
  fetch_perform (fetch, &request, &response);
  if (response.status == HTTP_OK)
    merge_objects (sync, response.body->str, METRIC_CONFIG_FROM_PEER);
  g_string_free (response.body, TRUE);
  g_free (host);
}

/* Merges the objects in JSON.  If one of them came into force, COUNTER is
   incremented, unless it is METRIC_COUNTER_COUNT, and the peers are notified.
 */
static void
merge_objects (struct sync *sync, const char *json,
               enum metric_counter counter)
{
  GError *error = NULL;
  int adopted = ver_store_merge (sync->server->store, json, &error);

  if (adopted < 0)
    {
      log_warn ("sync", NULL, "bad_message", "%s", error->message);
      g_clear_error (&error);
      return;
    }
  if (adopted == 0)
    return;
  if (counter != METRIC_COUNTER_COUNT)
    metric_inc (counter);
  peer_announce (sync->server->peer);
}

/* Reads the list of leaving targets once and passes it to the peers.  A target
   that is unreadable is left out.  */
static void
read_leaving_targets (struct sync *sync, struct platform *platform)
{
  static const char *const apart[] = { "targets" };
  char *text = platform_list_instances (platform, NULL);
  struct scan_text list = { text, text != NULL ? strlen (text) : 0 };
  struct scan_text targets;
  struct scan_text target;
  uint64_t leaving[LEAVING_TARGETS_MAX];
  size_t count = 0;

  json_decref (scan_object (list, apart, &targets, 1));
  if (scan_array (targets, &targets) == 0)
    while (count < LEAVING_TARGETS_MAX && scan_next (&targets, &target) > 0)
      count += (size_t)read_leaving_target (sync, target, &leaving[count]);
  peer_set_leaving (sync->server->peer, leaving, count);
  g_free (text);
}

/* Stores the identifier of TARGET, an entry of the platform's list, in ID.
   Returns 1, or 0 if it is not leaving or unreadable.  */
static int
read_leaving_target (const struct sync *sync, struct scan_text target,
                     uint64_t *id)
{
  json_t *item = scan_parse (target);
  const char *service = json_string_value (json_object_get (item, "service"));
  const char *name = json_string_value (json_object_get (item, "name"));
  const char *state = json_string_value (json_object_get (item, "state"));
  int is_leaving
      = service != NULL && name != NULL && g_strcmp0 (state, "leaving") == 0;

  if (is_leaving)
    *id = rank_id (sync->server->settings->deployment, service, name);
  json_decref (item);
  return is_leaving;
}

/* Returns whether sync_stop was called.  */
static int
is_stopping (struct sync *sync)
{
  return ck_pr_load_int (&sync->stopping);
}

static void
sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}
