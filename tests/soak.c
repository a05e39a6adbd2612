/* Fault soak: ibisloomd processes with clients, scripted targets and a
   scripted store.  Fault-injecting proxies relay the connections of the
   routers to targets and store.  While random and overlapping faults are
   injected, the clients check that each response is complete and belongs to
   its request; at the end, the soak checks that no request was executed more
   often than its route allows.

   Usage: soak [SEED [SECONDS [DIRECTORY [ROUTERS]]]].  Prints each violation
   and a summary line, and exits with 1 if there were violations.  The logs of
   the routers are kept in DIRECTORY, unless it is missing or "-".  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "router_fixture.h"
#include "proxy_fixture.h"

enum
{
  ROUTERS_DEFAULT = 3,
  CLIENTS = 8,
  TARGETS_PER_SERVICE = 3,
  EVENTS_PER_STREAM = 6,
  SEED_DEFAULT = 1,
  SECONDS_DEFAULT = 5,
  START_TIMEOUT_MS = 2000,
  DELAY_MAX_MS = 120,
  LIMIT_SEED = 7919,         /* added to the seed */
  STORE_SEED = 104729,       /* added to the seed */
  RESTORED_CHANGES_MAX = 12, /* that one restoration of the store takes back */
  DRAIN_MS = 3000, /* longer than any request, so that all have ended */
  APPLY_MS = 2000  /* until a version must be in force */
};

/* How a target responds to its next requests. */
enum behavior
{
  BEHAVIOR_NORMAL,
  BEHAVIOR_ERROR,      /* executes the request, then responds 500 */
  BEHAVIOR_OVERLOADED, /* responds 503, marked as not executed */
  BEHAVIOR_RESET,      /* executes the request, then resets the connection */
  BEHAVIOR_CLOSE,      /* executes the request, then closes the connection */
  BEHAVIOR_TRUNCATE,   /* cuts off a stream in its third event */
  BEHAVIOR_SLOW,       /* pauses before a response or between events */
  BEHAVIOR_HANG,       /* executes the request, then never responds */
  BEHAVIOR_WRONG_ID,   /* responds with the attempt id of another request */
  BEHAVIOR_EXTRA_RESPONSE, /* sends a second response with another id */
  BEHAVIOR_COUNT
};

/* Kinds of request, one for each route. */
enum kind
{
  REQUEST_MAP,
  REQUEST_FEE,
  REQUEST_PLAN,
  REQUEST_RULES,
  REQUEST_KIND_COUNT
};

static const struct
{
  const char *method;
  const char *path;
  int is_stream;
  int at_most_once; /* must not be executed twice */
} request_kinds[REQUEST_KIND_COUNT] = {
  [REQUEST_MAP] = { "GET", "/map/1", 0, 0 },
  [REQUEST_FEE] = { "POST", "/fee/1", 0, 1 },
  [REQUEST_PLAN] = { "POST", "/plan/1", 1, 0 },
  [REQUEST_RULES] = { "POST", "/rules/1", 1, 1 },
};

/* All of a configuration but its version.  */
static const char config_tail[]
    = ",\"routes\":["
      "{\"name\":\"map\",\"host\":\"shop.example\",\"path_prefix\":\"/map/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2},"
      "{\"name\":\"fee\",\"host\":\"shop.example\",\"path_prefix\":\"/fee/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1},"
      "{\"name\":\"plan\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/plan/\",\"route_type\":\"streaming\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"target_gap_ms\":200,\"service\":\"pool\","
      "\"max_attempts\":2,\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"rules\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/rules/\",\"route_type\":\"streaming\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"target_gap_ms\":200,\"service\":\"pool\","
      "\"max_attempts\":1,\"session_affinity\":true}],"
      "\"services\":[{\"name\":\"desk\"},{\"name\":\"pool\"}],"
      "\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]}";

/* Record of a request, for check_executions. */
struct record
{
  int executions;
  int reported_not_executed;
  enum kind kind;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *records; /* attempt id to struct record */
static enum behavior behaviors[2 * TARGETS_PER_SERVICE];
static struct fx_target *targets[2 * TARGETS_PER_SERVICE];
static struct proxy *target_proxies[2 * TARGETS_PER_SERVICE];
static struct proxy *store_proxies[FX_ROUTERS_MAX];
static int router_count = ROUTERS_DEFAULT;
static GRand *fault_random;
/* Separate, so that proxy faults do not change the other faults of a seed. */
static GRand *proxy_random;
static GRand *limit_random;
static GRand *store_random;
static int last_version = 2; /* that the operator has written */
static int initial_revision; /* of the store, with the first version */
static gint is_limited[2 * TARGETS_PER_SERVICE]; /* names a rate limit */
static gint restarting[FX_ROUTERS_MAX];
static gint stopping;
static int violations;
static int served;
static int refused;
static int failed;

static void report_violation (const char *id, const char *description,
                              const char *response);
static struct record *get_record (const char *id);
static void count_execution (const char *id);

/* Prints and counts the violation DESCRIPTION by request ID.  */
static void
report_violation (const char *id, const char *description,
                  const char *response)
{
  printf ("VIOLATION %s: %s%s%s\n", id, description, response ? ": " : "",
          response ? response : "");
  violations++;
}

/* Returns the record of request ID, which is created on first use.  The lock
   must be held.  */
static struct record *
get_record (const char *id)
{
  struct record *record = g_hash_table_lookup (records, id);

  if (record == NULL)
    {
      record = g_new0 (struct record, 1);
      g_hash_table_insert (records, g_strdup (id), record);
    }
  return record;
}

/* Counts an execution of request ID by a target.  */
static void
count_execution (const char *id)
{
  pthread_mutex_lock (&lock);
  get_record (id)->executions++;
  pthread_mutex_unlock (&lock);
}

/* Returns the header field by which target INDEX names its rate limit.  */
static const char *
limit_field (int index)
{
  return g_atomic_int_get (&is_limited[index]) ? "Server-Limit: 2.5\r\n" : "";
}

/* Writes a response of target INDEX to request ID that is not a stream.  */
static void
respond (int index, int fd, const char *id, const char *status)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n%s"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: 4\r\n\r\nwell",
      status, id, limit_field (index), id);

  fx_write (fd, text);
  g_free (text);
}

/* Writes the stream of target INDEX for request ID from the event after AFTER,
   with PAUSE_MS between events.  If TRUNCATED, stops in the middle of the
   third event that is written.  */
static void
respond_stream (int index, int fd, const char *id, int after, int truncated,
                int pause_ms)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n%s"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id, limit_field (index));

  fx_write (fd, text);
  g_free (text);
  for (int i = after + 1; i <= EVENTS_PER_STREAM; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s-%d\n\n", i, id, i);
      char *chunk;

      if (truncated && i > after + 2)
        event[4] = '\0';
      chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);
      fx_write (fd, chunk);
      g_free (chunk);
      g_free (event);
      if (truncated && i > after + 2)
        return;
      fx_sleep_ms (pause_ms);
    }
  fx_write (fd, "0\r\n\r\n");
}

/* Responds to REQUEST according to the current behavior of target INDEX.
   Returns whether the connection is kept open.  */
static int
handle_request (int index, const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *after = fx_header_value (request->text, "Last-Event-Id");
  int is_stream = strstr (request->text, "/plan/") != NULL
                  || strstr (request->text, "/rules/") != NULL;
  enum behavior behavior;
  int keep_alive = 1;

  pthread_mutex_lock (&lock);
  behavior = behaviors[index];
  pthread_mutex_unlock (&lock);
  if (behavior == BEHAVIOR_OVERLOADED)
    fx_write (request->fd, "HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Ibisloom-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
  else
    count_execution (id);
  if (behavior == BEHAVIOR_ERROR)
    respond (index, request->fd, id, "500 Internal Server Error");
  else if (behavior == BEHAVIOR_RESET || behavior == BEHAVIOR_CLOSE)
    {
      if (behavior == BEHAVIOR_RESET)
        fx_reset_on_close (request->fd);
      keep_alive = 0;
    }
  else if (behavior == BEHAVIOR_HANG)
    g_free (fx_read_until (request->fd, "never"));
  else if (behavior == BEHAVIOR_WRONG_ID)
    respond (index, request->fd, "another", "200 OK");
  else if (behavior != BEHAVIOR_OVERLOADED && is_stream)
    {
      respond_stream (index, request->fd, id, after ? atoi (after) : 0,
                      behavior == BEHAVIOR_TRUNCATE,
                      behavior == BEHAVIOR_SLOW ? 150 : 5);
      keep_alive = behavior != BEHAVIOR_TRUNCATE;
    }
  else if (behavior != BEHAVIOR_OVERLOADED)
    {
      fx_sleep_ms (behavior == BEHAVIOR_SLOW ? 400 : 5);
      respond (index, request->fd, id, "200 OK");
      if (behavior == BEHAVIOR_EXTRA_RESPONSE)
        respond (index, request->fd, "another", "200 OK");
    }
  g_free (id);
  g_free (after);
  return keep_alive;
}

#define DEFINE_HANDLER(n)                                                     \
  static int handle_##n (const struct fx_request *request)                    \
  {                                                                           \
    return handle_request (n, request);                                       \
  }
DEFINE_HANDLER (0)
DEFINE_HANDLER (1)
DEFINE_HANDLER (2)
DEFINE_HANDLER (3)
DEFINE_HANDLER (4)
DEFINE_HANDLER (5)

static const fx_handler_fn handlers[2 * TARGETS_PER_SERVICE]
    = { handle_0, handle_1, handle_2, handle_3, handle_4, handle_5 };

/* Checks that the stream in RESPONSE has the events of request ID in order,
   and that it is terminated only after the last event.  */
static void
check_stream (const char *id, const char *response)
{
  int is_complete = g_str_has_suffix (response, "\r\n0\r\n\r\n");
  const char *at = response;
  int last = 0;

  while ((at = strstr (at, "data: ")) != NULL)
    {
      char *expected = g_strdup_printf ("data: %s-%d\n", id, last + 1);

      if (!g_str_has_prefix (at, expected))
        {
          report_violation (
              id, "stream event missing, duplicated or of another request",
              response);
          g_free (expected);
          return;
        }
      g_free (expected);
      last++;
      at++;
    }
  if (is_complete && last != EVENTS_PER_STREAM)
    report_violation (
        id, "stream terminated as complete before its last event", response);
  served += is_complete;
  failed += !is_complete;
}

/* Checks RESPONSE to request ID, and counts its outcome.  */
static void
check_response (const char *id, enum kind kind, const char *response)
{
  int status = 0;
  char *signature
      = fx_header_value (response, "X-Ibisloom-Response-Signature");
  char *expected = g_strdup_printf ("s-%s", id);

  sscanf (response, "HTTP/1.1 %d", &status);
  pthread_mutex_lock (&lock);
  if (signature != NULL && strcmp (signature, expected) != 0)
    report_violation (id, "response belongs to another request", response);
  if (status == 200 && signature == NULL)
    report_violation (id, "successful response without signature", response);
  if (status >= 400 && status < 429)
    report_violation (id, "valid request rejected as invalid", response);
  if (status == 429 || status == 503)
    {
      get_record (id)->reported_not_executed = 1;
      refused++;
    }
  else if (status == 200 && request_kinds[kind].is_stream)
    check_stream (id, response);
  else if (status == 200 && g_str_has_suffix (response, "\r\n\r\nwell"))
    served++;
  else
    failed++;
  pthread_mutex_unlock (&lock);
  g_free (signature);
  g_free (expected);
}

/* Runs a client: sends requests of random kinds to random routers until
   STOPPING is set.  About one connection in twenty is closed before the
   response is read.  */
static void *
send_requests (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  GRand *random = g_rand_new_with_seed ((guint32)number);
  int sent = 0;

  while (!g_atomic_int_get (&stopping))
    {
      enum kind kind
          = (enum kind)g_rand_int_range (random, 0, REQUEST_KIND_COUNT);
      char *id = g_strdup_printf ("c%d-%d", number, sent++);
      char *text = g_strdup_printf (
          "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Ibisloom-Attempt-Id: %s\r\n"
          "X-Ibisloom-Deadline-Remaining: 2000\r\n"
          "X-Ibisloom-Prompt-Prefix: a%d:100,b:10\r\n"
          "Authorization: Token key-1\r\n%sConnection: close\r\n\r\n",
          request_kinds[kind].method, request_kinds[kind].path, id,
          g_rand_int_range (random, 0, 9),
          kind == REQUEST_MAP ? "" : "Content-Length: 0\r\n");
      int fd = fx_router_connect (g_rand_int_range (random, 0, router_count));

      pthread_mutex_lock (&lock);
      get_record (id)->kind = kind;
      pthread_mutex_unlock (&lock);
      if (fd >= 0)
        {
          char *response;

          fx_send (fd, text);
          if (g_rand_int_range (random, 0, 20) == 0)
            {
              fx_sleep_ms (g_rand_int_range (random, 0, 100));
              close (fd);
              response = g_strdup ("");
            }
          else
            response = fx_read_all (fd);
          if (*response != '\0')
            check_response (id, kind, response);
          g_free (response);
        }
      else
        fx_sleep_ms (20);
      g_free (text);
      g_free (id);
    }
  g_rand_free (random);
  return NULL;
}

/* Waits until router INDEX accepts connections.  A signal that arrives before
   the router's main function has blocked it would end the process by its
   default action.  */
static void
wait_for_listener (int index)
{
  for (int ms = 0; !fx_router_listens (index) && ms < START_TIMEOUT_MS;
       ms += 5)
    fx_sleep_ms (5);
}

/* A restart of a router, in a thread, so that other faults overlap with it. */
struct restart
{
  int router;
  int number;
  int pause_ms;
  const char *log;
};

/* Ends a router by a signal and starts it again.  An exit by SIGTERM with a
   status other than 0 is a violation.  */
static void *
restart_router (void *closure)
{
  struct restart *restart = closure;
  int status;

  fx_router_signal (restart->router, restart->number);
  status = fx_router_wait_for_exit (restart->router);
  if (restart->number == SIGTERM && status != 0)
    {
      char *description = g_strdup_printf ("router %d exited with status %d",
                                           restart->router, status);

      report_violation ("stop", description, NULL);
      g_free (description);
    }
  fx_sleep_ms (restart->pause_ms);
  fx_router_spawn (restart->router, restart->log);
  wait_for_listener (restart->router);
  g_atomic_int_set (&restarting[restart->router], 0);
  g_free (restart);
  return NULL;
}

/* Starts a restart of router INDEX by signal NUMBER, unless it is already
   being restarted or paused.  */
static void
start_restart (int index, int number, const char *log)
{
  struct restart *restart;
  pthread_t thread;

  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  restart = g_new0 (struct restart, 1);
  restart->router = index;
  restart->number = number;
  restart->pause_ms = g_rand_int_range (fault_random, 0, 300);
  restart->log = log;
  pthread_create (&thread, NULL, restart_router, restart);
  pthread_detach (thread);
}

/* Stops the process of router INDEX for up to 700 ms, unless it is being
   restarted.  */
static void
pause_router (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_router_signal (index, SIGSTOP);
  fx_sleep_ms (g_rand_int_range (fault_random, 50, 700));
  fx_router_signal (index, SIGCONT);
  g_atomic_int_set (&restarting[index], 0);
}

/* Makes router INDEX reload its settings, unless it is being restarted.  */
static void
reload_settings (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_router_signal (index, SIGHUP);
  g_atomic_int_set (&restarting[index], 0);
}

/* Injects or clears one random fault of a target, a router or the store.  */
static void
inject_fault (char *const *logs)
{
  int kind = g_rand_int_range (fault_random, 0, 12);
  int router = g_rand_int_range (fault_random, 0, router_count);
  int target = g_rand_int_range (fault_random, 0, 2 * TARGETS_PER_SERVICE);

  if (kind < 6)
    {
      pthread_mutex_lock (&lock);
      behaviors[target] = g_rand_int_range (fault_random, 0, 3) == 0
                              ? BEHAVIOR_NORMAL
                              : (enum behavior)g_rand_int_range (
                                  fault_random, 0, BEHAVIOR_COUNT);
      pthread_mutex_unlock (&lock);
    }
  else if (kind == 6)
    start_restart (router, SIGKILL, logs[router]);
  else if (kind == 7)
    start_restart (router, SIGTERM, logs[router]);
  else if (kind == 8)
    pause_router (router);
  else if (kind == 9)
    reload_settings (router);
  else if (kind == 10)
    fx_store_set_down (g_rand_boolean (fault_random));
  else if (g_rand_boolean (fault_random))
    fx_store_compact ();
  else
    fx_target_set_state (targets[target],
                         g_rand_boolean (fault_random) ? "draining" : "ready");
}

/* Begins or ends the rate limit of a target, in one of eight calls.  */
static void
inject_rate_limit (void)
{
  int target = g_rand_int_range (limit_random, 0, 2 * TARGETS_PER_SERVICE);

  if (g_rand_int_range (limit_random, 0, 8) == 0)
    g_atomic_int_set (&is_limited[target], g_rand_boolean (limit_random));
}

/* Writes the next version of the configuration.  */
static void
put_next_version (void)
{
  char *text
      = g_strdup_printf ("{\"version\":%d%s", ++last_version, config_tail);

  fx_store_put ("config", "main", text);
  g_free (text);
}

/* Restores the store from an older copy, writes what was lost anew or writes a
   new version, in one of four calls.  */
static void
inject_store_change (void)
{
  int kind = g_rand_int_range (store_random, 0, 12);
  int lost = g_rand_int_range (store_random, 0, RESTORED_CHANGES_MAX);

  if (kind == 0)
    fx_store_restore (MAX (fx_store_revision () - lost, initial_revision));
  else if (kind == 1)
    fx_store_rewrite ();
  else if (kind == 2)
    put_next_version ();
}

/* A version in force, and the start of the router that had it. */
struct observed
{
  long version;
  int starts;
};

/* Checks that no router that runs on has an older version in force than when
   it was OBSERVED last.  */
static void
check_versions (struct observed *observed)
{
  for (int i = 0; i < router_count; i++)
    {
      int starts = fx_router_start_count (i);
      long version = fx_router_metric (i, "ibisloom_version_in_force");

      if (version < 0 || starts != fx_router_start_count (i))
        continue;
      if (starts == observed[i].starts && version < observed[i].version)
        report_violation ("version", "it has fallen at a router", NULL);
      observed[i] = (struct observed){ version, starts };
    }
}

/* Checks that the last version comes into force at all routers.  */
static void
check_last_version (void)
{
  fx_store_rewrite ();
  fx_sleep_ms (DRAIN_MS);
  put_next_version ();
  fx_sleep_ms (APPLY_MS);
  for (int i = 0; i < router_count; i++)
    if (fx_router_metric (i, "ibisloom_version_in_force") != last_version)
      report_violation ("version", "the last one is not in force", NULL);
}

/* Sets a random mode, PROXY_PASS at least every second time, on the proxy of a
   target or of a router's connection to the store; in three of four calls,
   leaves all proxies as they are.  */
static void
inject_proxy_fault (void)
{
  int kind = g_rand_int_range (proxy_random, 0, 8);
  int target = g_rand_int_range (proxy_random, 0, 2 * TARGETS_PER_SERVICE);
  int router = g_rand_int_range (proxy_random, 0, router_count);
  int delay_ms = g_rand_int_range (proxy_random, 1, DELAY_MAX_MS);
  enum proxy_mode mode = g_rand_boolean (proxy_random)
                             ? PROXY_PASS
                             : (enum proxy_mode)g_rand_int_range (
                                 proxy_random, 0, PROXY_MODE_COUNT);

  if (kind == 0)
    proxy_set_mode (store_proxies[router], mode, delay_ms);
  else if (kind == 1)
    proxy_set_mode (target_proxies[target], mode, delay_ms);
}

/* Clears the faults of all proxies.  */
static void
clear_proxy_faults (void)
{
  for (int i = 0; i < router_count; i++)
    proxy_set_mode (store_proxies[i], PROXY_PASS, 0);
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    proxy_set_mode (target_proxies[i], PROXY_PASS, 0);
}

/* Checks, after all requests have ended, that none on an at-most-once route
   was executed twice, or was executed although the response to its client
   reported that it was not.  */
static void
check_executions (void)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct record *record = value;

      if (request_kinds[record->kind].at_most_once && record->executions > 1)
        report_violation (id, "executed more than once",
                          request_kinds[record->kind].path);
      if (record->reported_not_executed && record->executions > 0
          && request_kinds[record->kind].at_most_once)
        report_violation (id, "reported as not executed, but executed",
                          request_kinds[record->kind].path);
    }
}

/* Starts targets, store and routers, with LOGS as log files of the routers. */
static void
start_all (char *const *logs)
{
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      targets[i] = fx_target_add (
          id, i < TARGETS_PER_SERVICE ? "desk" : "pool", handlers[i]);
      target_proxies[i] = fx_target_add_proxy (targets[i]);
      g_free (id);
    }
  fx_store_start (NULL);
  put_next_version ();
  initial_revision = fx_store_revision ();
  for (int i = 0; i < router_count; i++)
    {
      store_proxies[i] = fx_store_add_proxy (i);
      fx_router_spawn (i, logs[i]);
    }
  for (int i = 0; i < router_count; i++)
    wait_for_listener (i);
  fx_wait_until (fx_is_ready);
}

/* Injects faults for SECONDS, then clears the faults of store and proxies and
   waits until no router is being restarted.  Returns the number of steps, each
   of which may also inject a proxy fault. */
static int
run_faults (int seconds, char *const *logs)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  static struct observed observed[FX_ROUTERS_MAX];
  int steps = 0;

  for (; g_get_monotonic_time () < end; steps++)
    {
      inject_fault (logs);
      inject_proxy_fault ();
      inject_rate_limit ();
      inject_store_change ();
      check_versions (observed);
      fx_sleep_ms (g_rand_int_range (fault_random, 5, 80));
    }
  fx_store_set_down (0);
  clear_proxy_faults ();
  for (int i = 0; i < router_count; i++)
    while (g_atomic_int_get (&restarting[i]))
      fx_sleep_ms (10);
  return steps;
}

int
main (int argc, char **argv)
{
  int seed = argc > 1 ? atoi (argv[1]) : SEED_DEFAULT;
  int seconds = argc > 2 ? atoi (argv[2]) : SECONDS_DEFAULT;
  int keep_logs = argc > 3 && strcmp (argv[3], "-") != 0;
  pthread_t clients[CLIENTS];
  char *logs[FX_ROUTERS_MAX];
  int steps;

  if (argc > 4)
    router_count = CLAMP (atoi (argv[4]), 1, FX_ROUTERS_MAX);
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fault_random = g_rand_new_with_seed ((guint32)seed);
  limit_random = g_rand_new_with_seed ((guint32)seed + LIMIT_SEED);
  store_random = g_rand_new_with_seed ((guint32)seed + STORE_SEED);
  proxy_random = g_rand_new_with_seed (~(guint32)seed);
  for (int i = 0; i < router_count; i++)
    logs[i] = keep_logs ? g_strdup_printf ("%s/router-%d.log", argv[3], i)
                        : g_strdup ("/dev/null");
  start_all (logs);
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, send_requests,
                    GINT_TO_POINTER (seed * CLIENTS + i));
  steps = run_faults (seconds, logs);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  check_last_version ();
  pthread_mutex_lock (&lock);
  check_executions ();
  pthread_mutex_unlock (&lock);
  printf ("seed %d: %d faults, %u requests, %d served, %d refused, %d failed, "
          "%d violations\n",
          seed, steps, g_hash_table_size (records), served, refused, failed,
          violations);
  fx_env_stop ();
  return violations > 0;
}
