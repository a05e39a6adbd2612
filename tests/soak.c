/* Fault soak: real gates, scripted targets and store, links between them that
   delay, reset, cut and silence, and callers that check the promises while
   faults come in series and overlap.

   soak [SEED [SECONDS [DIRECTORY [GATES]]]] prints what was broken, and one
   line of figures; the gates' logs stay in DIRECTORY, if one is given and not
   "-".  */
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
  CALLERS = 8,
  TARGETS_PER_SERVICE = 3,
  EVENTS_PER_STREAM = 6,
  SEED_DEFAULT = 1,
  SECONDS_DEFAULT = 5,
  START_TIMEOUT_MS = 2000,
  DELAY_MAX_MS = 120,
  DRAIN_MS = 3000 /* longer than any request, after the last one */
};

/* What a target does with its next requests. */
enum behavior
{
  BEHAVIOR_NORMAL,
  BEHAVIOR_ERROR,
  BEHAVIOR_OVERLOADED,
  BEHAVIOR_RESET,
  BEHAVIOR_CLOSE, /* runs, and closes without an answer */
  BEHAVIOR_TRUNCATE,
  BEHAVIOR_SLOW,
  BEHAVIOR_HANG,
  BEHAVIOR_WRONG_ID,
  BEHAVIOR_EXTRA_RESPONSE,
  BEHAVIOR_COUNT
};

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
  int at_most_once;
} request_kinds[REQUEST_KIND_COUNT] = {
  [REQUEST_MAP] = { "GET", "/map/1", 0, 0 },
  [REQUEST_FEE] = { "POST", "/fee/1", 0, 1 },
  [REQUEST_PLAN] = { "POST", "/plan/1", 1, 0 },
  [REQUEST_RULES] = { "POST", "/rules/1", 1, 1 },
};

static const char config[]
    = "{\"version\":3,\"routes\":["
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

/* What became of one request. */
struct record
{
  int executions;
  int reported_not_executed;
  enum kind kind;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *records; /* id to struct record */
static enum behavior behaviors[2 * TARGETS_PER_SERVICE];
static struct fx_target *targets[2 * TARGETS_PER_SERVICE];
static struct proxy *target_proxies[2 * TARGETS_PER_SERVICE];
static struct proxy *store_proxies[FX_ROUTERS_MAX];
static int router_count = ROUTERS_DEFAULT;
static GRand *fault_random;
static GRand *proxy_random; /* of its own: other faults keep their order */
static gint restarting[FX_ROUTERS_MAX];
static gint stopping;
static int violations;
static int served;
static int refused;
static int failed;

static void report_violation (const char *id, const char *what,
                              const char *response);
static struct record *get_record (const char *id);
static void count_execution (const char *id);

/* Tells a broken promise.  */
static void
report_violation (const char *id, const char *what, const char *response)
{
  printf ("VIOLATION %s: %s%s%s\n", id, what, response ? ": " : "",
          response ? response : "");
  violations++;
}

/* Returns the record of ID, made if it is new; needs the lock.  */
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

/* A target begins to work on ID.  */
static void
count_execution (const char *id)
{
  pthread_mutex_lock (&lock);
  get_record (id)->executions++;
  pthread_mutex_unlock (&lock);
}

/* Writes a plain answer for ID.  */
static void
respond (int fd, const char *id, const char *status)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: 4\r\n\r\nwell",
      status, id, id);

  fx_write (fd, text);
  g_free (text);
}

/* Writes a stream for ID from the event after AFTER, torn after two events if
   TRUNCATED.  */
static void
respond_stream (int fd, const char *id, int after, int truncated, int pause_ms)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

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

/* Serves REQUEST at target INDEX in its present mood.  */
static int
handle (int index, const struct fx_request *request)
{
  char *id = fx_header (request->text, "X-Ibisloom-Attempt-Id");
  char *after = fx_header (request->text, "Last-Event-Id");
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
    respond (request->fd, id, "500 Internal Server Error");
  else if (behavior == BEHAVIOR_RESET || behavior == BEHAVIOR_CLOSE)
    {
      if (behavior == BEHAVIOR_RESET)
        fx_reset_on_close (request->fd);
      keep_alive = 0;
    }
  else if (behavior == BEHAVIOR_HANG)
    g_free (fx_read_until (request->fd, "never"));
  else if (behavior == BEHAVIOR_WRONG_ID)
    respond (request->fd, "another", "200 OK");
  else if (behavior != BEHAVIOR_OVERLOADED && is_stream)
    {
      respond_stream (request->fd, id, after ? atoi (after) : 0,
                      behavior == BEHAVIOR_TRUNCATE,
                      behavior == BEHAVIOR_SLOW ? 150 : 5);
      keep_alive = behavior != BEHAVIOR_TRUNCATE;
    }
  else if (behavior != BEHAVIOR_OVERLOADED)
    {
      fx_sleep_ms (behavior == BEHAVIOR_SLOW ? 400 : 5);
      respond (request->fd, id, "200 OK");
      if (behavior == BEHAVIOR_EXTRA_RESPONSE)
        respond (request->fd, "another", "200 OK");
    }
  g_free (id);
  g_free (after);
  return keep_alive;
}

#define DEFINE_HANDLER(n)                                                     \
  static int handle_##n (const struct fx_request *request)                    \
  {                                                                           \
    return handle (n, request);                                               \
  }
DEFINE_HANDLER (0)
DEFINE_HANDLER (1)
DEFINE_HANDLER (2)
DEFINE_HANDLER (3)
DEFINE_HANDLER (4)
DEFINE_HANDLER (5)

static const fx_handler_fn handlers[2 * TARGETS_PER_SERVICE]
    = { handle_0, handle_1, handle_2, handle_3, handle_4, handle_5 };

/* Checks the events of a stream that answers ID.  */
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
          report_violation (id, "an event is missing, doubled or foreign",
                            response);
          g_free (expected);
          return;
        }
      g_free (expected);
      last++;
      at++;
    }
  if (is_complete && last != EVENTS_PER_STREAM)
    report_violation (id, "a stream ends as complete too early", response);
  served += is_complete;
  failed += !is_complete;
}

/* Checks what came back for ID.  */
static void
check_response (const char *id, enum kind kind, const char *response)
{
  int status = 0;
  char *signature = fx_header (response, "X-Ibisloom-Response-Signature");
  char *expected = g_strdup_printf ("s-%s", id);

  sscanf (response, "HTTP/1.1 %d", &status);
  pthread_mutex_lock (&lock);
  if (signature != NULL && strcmp (signature, expected) != 0)
    report_violation (id, "the answer is to another request", response);
  if (status == 200 && signature == NULL)
    report_violation (id, "a success without a signature", response);
  if (status >= 400 && status < 429)
    report_violation (id, "a proper request was refused as wrong", response);
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

/* Sends requests to random gates until told to stop.  */
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

/* Waits until gate INDEX takes connections: a signal before main ends any
   process.  */
static void
wait_for_listener (int index)
{
  for (int ms = 0; !fx_router_listens (index) && ms < START_TIMEOUT_MS;
       ms += 5)
    fx_sleep_ms (5);
}

/* A restart of one gate, while other faults come. */
struct restart
{
  int router;
  int number;
  int pause_ms;
  const char *log;
};

/* Ends a gate with a signal and starts it again.  */
static void *
restart_router (void *closure)
{
  struct restart *restart = closure;
  int status;

  fx_router_signal (restart->router, restart->number);
  status = fx_router_wait (restart->router);
  if (restart->number == SIGTERM && status != 0)
    {
      char *what
          = g_strdup_printf ("gate %d ended with %d", restart->router, status);

      report_violation ("stop", what, NULL);
      g_free (what);
    }
  fx_sleep_ms (restart->pause_ms);
  fx_router_spawn (restart->router, restart->log);
  wait_for_listener (restart->router);
  g_atomic_int_set (&restarting[restart->router], 0);
  g_free (restart);
  return NULL;
}

/* Restarts gate INDEX by the signal NUMBER, unless that is under way.  */
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

/* Freezes gate INDEX for a while, unless it is being restarted.  */
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

/* Lets gate INDEX read its settings, unless it is being restarted.  */
static void
reload_settings (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_router_signal (index, SIGHUP);
  g_atomic_int_set (&restarting[index], 0);
}

/* Lets one fault come, or go.  */
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

/* Lets a link of a target or of a gate's way to the store fail, or heal.  */
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

/* Heals all links.  */
static void
clear_proxy_faults (void)
{
  for (int i = 0; i < router_count; i++)
    proxy_set_mode (store_proxies[i], PROXY_PASS, 0);
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    proxy_set_mode (target_proxies[i], PROXY_PASS, 0);
}

/* Checks what only shows at the end: nothing that was told not to have run
   ran, and nothing that may run once ran twice.  */
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
        report_violation (id, "ran more than once",
                          request_kinds[record->kind].path);
      if (record->reported_not_executed && record->executions > 0
          && request_kinds[record->kind].at_most_once)
        report_violation (id, "was told not to have run, and ran",
                          request_kinds[record->kind].path);
    }
}

/* Starts targets, store and gates; the gates' logs go to LOGS.  */
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
  fx_store_start (config);
  for (int i = 0; i < router_count; i++)
    {
      store_proxies[i] = fx_store_add_proxy (i);
      fx_router_spawn (i, logs[i]);
    }
  for (int i = 0; i < router_count; i++)
    wait_for_listener (i);
  fx_wait_until (fx_is_ready);
}

/* Plays faults for SECONDS, then heals all.  Returns how many there were.  */
static int
run_faults (int seconds, char *const *logs)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  int steps = 0;

  for (; g_get_monotonic_time () < end; steps++)
    {
      inject_fault (logs);
      inject_proxy_fault ();
      fx_sleep_ms (g_rand_int_range (fault_random, 5, 80));
    }
  fx_store_set_down (0);
  clear_proxy_faults ();
  for (int i = 0; i < router_count; i++)
    while (g_atomic_int_get (&restarting[i]))
      fx_sleep_ms (10);
  return steps;
}

/* Runs one soak.  */
int
main (int argc, char **argv)
{
  int seed = argc > 1 ? atoi (argv[1]) : SEED_DEFAULT;
  int seconds = argc > 2 ? atoi (argv[2]) : SECONDS_DEFAULT;
  int keep_logs = argc > 3 && strcmp (argv[3], "-") != 0;
  pthread_t callers[CALLERS];
  char *logs[FX_ROUTERS_MAX];
  int steps;

  if (argc > 4)
    router_count = CLAMP (atoi (argv[4]), 1, FX_ROUTERS_MAX);
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fault_random = g_rand_new_with_seed ((guint32)seed);
  proxy_random = g_rand_new_with_seed (~(guint32)seed);
  for (int i = 0; i < router_count; i++)
    logs[i] = keep_logs ? g_strdup_printf ("%s/gate-%d.log", argv[3], i)
                        : g_strdup ("/dev/null");
  start_all (logs);
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, send_requests,
                    GINT_TO_POINTER (seed * CALLERS + i));
  steps = run_faults (seconds, logs);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  fx_sleep_ms (DRAIN_MS);
  pthread_mutex_lock (&lock);
  check_executions ();
  pthread_mutex_unlock (&lock);
  printf ("seed %d: %d faults, %u requests, %d served, %d refused, %d failed, "
          "%d violations\n",
          seed, steps, g_hash_table_size (records), served, refused, failed,
          violations);
  fx_stop ();
  return violations > 0;
}
