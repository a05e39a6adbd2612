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

#include "gate_fixture.h"
#include "link_fixture.h"

enum
{
  GATES_DEFAULT = 3,
  CALLERS = 8,
  TARGETS_A_SERVICE = 3,
  EVENTS = 6,
  SEED_DEFAULT = 1,
  SECONDS_DEFAULT = 5,
  START_MS = 2000,
  SLOW_MAX_MS = 120,
  QUIET_MS = 3000 /* longer than any request, after the last one */
};

/* What a target does with its next requests. */
enum mood
{
  MOOD_WELL,
  MOOD_ERROR,
  MOOD_FULL,
  MOOD_RESET,
  MOOD_LOST, /* runs, and closes without an answer */
  MOOD_TORN,
  MOOD_SLOW,
  MOOD_SILENT,
  MOOD_FOREIGN,
  MOOD_EXTRA,
  MOOD_COUNT
};

enum kind
{
  KIND_READ,
  KIND_CHARGE,
  KIND_PLAN,
  KIND_RULES,
  KIND_COUNT
};

static const struct
{
  const char *method;
  const char *path;
  int is_stream;
  int once;
} kinds[KIND_COUNT] = {
  [KIND_READ] = { "GET", "/map/1", 0, 0 },
  [KIND_CHARGE] = { "POST", "/fee/1", 0, 1 },
  [KIND_PLAN] = { "POST", "/plan/1", 1, 0 },
  [KIND_RULES] = { "POST", "/rules/1", 1, 1 },
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
  int runs;
  int told_not_run;
  enum kind kind;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *records; /* id to struct record */
static enum mood moods[2 * TARGETS_A_SERVICE];
static struct fx_target *targets[2 * TARGETS_A_SERVICE];
static struct lnk *target_links[2 * TARGETS_A_SERVICE];
static struct lnk *store_links[FX_GATES_MAX];
static int gate_count = GATES_DEFAULT;
static GRand *faults_random;
static GRand *links_random; /* of its own: other faults keep their order */
static gint restarting[FX_GATES_MAX];
static gint stopping;
static int violations;
static int served;
static int refused;
static int failed;

static void violate (const char *id, const char *what, const char *answer);
static struct record *record_of (const char *id);
static void count_run (const char *id);

/* Tells a broken promise.  */
static void
violate (const char *id, const char *what, const char *answer)
{
  printf ("VIOLATION %s: %s%s%s\n", id, what, answer ? ": " : "",
          answer ? answer : "");
  violations++;
}

/* Returns the record of ID, made if it is new; needs the lock.  */
static struct record *
record_of (const char *id)
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
count_run (const char *id)
{
  pthread_mutex_lock (&lock);
  record_of (id)->runs++;
  pthread_mutex_unlock (&lock);
}

/* Writes a plain answer for ID.  */
static void
reply (int fd, const char *id, const char *status)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: 4\r\n\r\nwell",
      status, id, id);

  fx_write (fd, text);
  g_free (text);
}

/* Writes a stream for ID from the event after AFTER, torn after two events if
   TORN.  */
static void
reply_stream (int fd, const char *id, int after, int torn, int pause_ms)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

  fx_write (fd, text);
  g_free (text);
  for (int i = after + 1; i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s-%d\n\n", i, id, i);
      char *chunk;

      if (torn && i > after + 2)
        event[4] = '\0';
      chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);
      fx_write (fd, chunk);
      g_free (chunk);
      g_free (event);
      if (torn && i > after + 2)
        return;
      fx_sleep_ms (pause_ms);
    }
  fx_write (fd, "0\r\n\r\n");
}

/* Serves REQUEST at target INDEX in its present mood.  */
static int
behave (int index, const struct fx_request *request)
{
  char *id = fx_header (request->text, "X-Ibisloom-Attempt-Id");
  char *after = fx_header (request->text, "Last-Event-Id");
  int is_stream = strstr (request->text, "/plan/") != NULL
                  || strstr (request->text, "/rules/") != NULL;
  enum mood mood;
  int keep = 1;

  pthread_mutex_lock (&lock);
  mood = moods[index];
  pthread_mutex_unlock (&lock);
  if (mood == MOOD_FULL)
    fx_write (request->fd, "HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Ibisloom-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
  else
    count_run (id);
  if (mood == MOOD_ERROR)
    reply (request->fd, id, "500 Internal Server Error");
  else if (mood == MOOD_RESET || mood == MOOD_LOST)
    {
      if (mood == MOOD_RESET)
        fx_reset (request->fd);
      keep = 0;
    }
  else if (mood == MOOD_SILENT)
    g_free (fx_read_until (request->fd, "never"));
  else if (mood == MOOD_FOREIGN)
    reply (request->fd, "another", "200 OK");
  else if (mood != MOOD_FULL && is_stream)
    {
      reply_stream (request->fd, id, after ? atoi (after) : 0,
                    mood == MOOD_TORN, mood == MOOD_SLOW ? 150 : 5);
      keep = mood != MOOD_TORN;
    }
  else if (mood != MOOD_FULL)
    {
      fx_sleep_ms (mood == MOOD_SLOW ? 400 : 5);
      reply (request->fd, id, "200 OK");
      if (mood == MOOD_EXTRA)
        reply (request->fd, "another", "200 OK");
    }
  g_free (id);
  g_free (after);
  return keep;
}

#define BEHAVE(n)                                                             \
  static int behave_##n (const struct fx_request *request)                    \
  {                                                                           \
    return behave (n, request);                                               \
  }
BEHAVE (0)
BEHAVE (1)
BEHAVE (2)
BEHAVE (3)
BEHAVE (4)
BEHAVE (5)

static const fx_behave_fn behaviours[2 * TARGETS_A_SERVICE]
    = { behave_0, behave_1, behave_2, behave_3, behave_4, behave_5 };

/* Checks the events of a stream that answers ID.  */
static void
check_stream (const char *id, const char *answer)
{
  int is_whole = g_str_has_suffix (answer, "\r\n0\r\n\r\n");
  const char *at = answer;
  int last = 0;

  while ((at = strstr (at, "data: ")) != NULL)
    {
      char *expected = g_strdup_printf ("data: %s-%d\n", id, last + 1);

      if (!g_str_has_prefix (at, expected))
        {
          violate (id, "an event is missing, doubled or foreign", answer);
          g_free (expected);
          return;
        }
      g_free (expected);
      last++;
      at++;
    }
  if (is_whole && last != EVENTS)
    violate (id, "a stream ends as complete too early", answer);
  served += is_whole;
  failed += !is_whole;
}

/* Checks what came back for ID.  */
static void
check_answer (const char *id, enum kind kind, const char *answer)
{
  int status = 0;
  char *signature = fx_header (answer, "X-Ibisloom-Response-Signature");
  char *expected = g_strdup_printf ("s-%s", id);

  sscanf (answer, "HTTP/1.1 %d", &status);
  pthread_mutex_lock (&lock);
  if (signature != NULL && strcmp (signature, expected) != 0)
    violate (id, "the answer is to another request", answer);
  if (status == 200 && signature == NULL)
    violate (id, "a success without a signature", answer);
  if (status >= 400 && status < 429)
    violate (id, "a proper request was refused as wrong", answer);
  if (status == 429 || status == 503)
    {
      record_of (id)->told_not_run = 1;
      refused++;
    }
  else if (status == 200 && kinds[kind].is_stream)
    check_stream (id, answer);
  else if (status == 200 && g_str_has_suffix (answer, "\r\n\r\nwell"))
    served++;
  else
    failed++;
  pthread_mutex_unlock (&lock);
  g_free (signature);
  g_free (expected);
}

/* Sends requests to random gates until told to stop.  */
static void *
call (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  GRand *random = g_rand_new_with_seed ((guint32)number);
  int sent = 0;

  while (!g_atomic_int_get (&stopping))
    {
      enum kind kind = (enum kind)g_rand_int_range (random, 0, KIND_COUNT);
      char *id = g_strdup_printf ("c%d-%d", number, sent++);
      char *text = g_strdup_printf (
          "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Ibisloom-Attempt-Id: %s\r\n"
          "X-Ibisloom-Deadline-Remaining: 2000\r\n"
          "X-Ibisloom-Prompt-Prefix: a%d:100,b:10\r\n"
          "Authorization: Token key-1\r\n%sConnection: close\r\n\r\n",
          kinds[kind].method, kinds[kind].path, id,
          g_rand_int_range (random, 0, 9),
          kind == KIND_READ ? "" : "Content-Length: 0\r\n");
      int fd = fx_gate_open (g_rand_int_range (random, 0, gate_count));

      pthread_mutex_lock (&lock);
      record_of (id)->kind = kind;
      pthread_mutex_unlock (&lock);
      if (fd >= 0)
        {
          char *answer;

          fx_send (fd, text);
          if (g_rand_int_range (random, 0, 20) == 0)
            {
              fx_sleep_ms (g_rand_int_range (random, 0, 100));
              close (fd);
              answer = g_strdup ("");
            }
          else
            answer = fx_read_all (fd);
          if (*answer != '\0')
            check_answer (id, kind, answer);
          g_free (answer);
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
await_listener (int index)
{
  for (int ms = 0; !fx_gate_listens (index) && ms < START_MS; ms += 5)
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
run_restart (void *closure)
{
  struct restart *restart = closure;
  int status;

  fx_gate_signal (restart->router, restart->number);
  status = fx_gate_wait (restart->router);
  if (restart->number == SIGTERM && status != 0)
    {
      char *what
          = g_strdup_printf ("gate %d ended with %d", restart->router, status);

      violate ("stop", what, NULL);
      g_free (what);
    }
  fx_sleep_ms (restart->pause_ms);
  fx_gate_spawn (restart->router, restart->log);
  await_listener (restart->router);
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
  restart->pause_ms = g_rand_int_range (faults_random, 0, 300);
  restart->log = log;
  pthread_create (&thread, NULL, run_restart, restart);
  pthread_detach (thread);
}

/* Freezes gate INDEX for a while, unless it is being restarted.  */
static void
freeze (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_gate_signal (index, SIGSTOP);
  fx_sleep_ms (g_rand_int_range (faults_random, 50, 700));
  fx_gate_signal (index, SIGCONT);
  g_atomic_int_set (&restarting[index], 0);
}

/* Lets gate INDEX read its settings, unless it is being restarted.  */
static void
reload (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_gate_signal (index, SIGHUP);
  g_atomic_int_set (&restarting[index], 0);
}

/* Lets one fault come, or go.  */
static void
fault (char *const *logs)
{
  int kind = g_rand_int_range (faults_random, 0, 12);
  int router = g_rand_int_range (faults_random, 0, gate_count);
  int target = g_rand_int_range (faults_random, 0, 2 * TARGETS_A_SERVICE);

  if (kind < 6)
    {
      pthread_mutex_lock (&lock);
      moods[target]
          = g_rand_int_range (faults_random, 0, 3) == 0
                ? MOOD_WELL
                : (enum mood)g_rand_int_range (faults_random, 0, MOOD_COUNT);
      pthread_mutex_unlock (&lock);
    }
  else if (kind == 6)
    start_restart (router, SIGKILL, logs[router]);
  else if (kind == 7)
    start_restart (router, SIGTERM, logs[router]);
  else if (kind == 8)
    freeze (router);
  else if (kind == 9)
    reload (router);
  else if (kind == 10)
    fx_store_down (g_rand_boolean (faults_random));
  else if (g_rand_boolean (faults_random))
    fx_store_compact ();
  else
    fx_target_state (targets[target],
                     g_rand_boolean (faults_random) ? "draining" : "ready");
}

/* Lets a link of a target or of a gate's way to the store fail, or heal.  */
static void
link_fault (void)
{
  int kind = g_rand_int_range (links_random, 0, 8);
  int target = g_rand_int_range (links_random, 0, 2 * TARGETS_A_SERVICE);
  int router = g_rand_int_range (links_random, 0, gate_count);
  int delay_ms = g_rand_int_range (links_random, 1, SLOW_MAX_MS);
  enum lnk_mode mode = g_rand_boolean (links_random)
                           ? LNK_WELL
                           : (enum lnk_mode)g_rand_int_range (links_random, 0,
                                                              LNK_MODE_COUNT);

  if (kind == 0)
    lnk_set (store_links[router], mode, delay_ms);
  else if (kind == 1)
    lnk_set (target_links[target], mode, delay_ms);
}

/* Heals all links.  */
static void
heal_links (void)
{
  for (int i = 0; i < gate_count; i++)
    lnk_set (store_links[i], LNK_WELL, 0);
  for (int i = 0; i < 2 * TARGETS_A_SERVICE; i++)
    lnk_set (target_links[i], LNK_WELL, 0);
}

/* Checks what only shows at the end: nothing that was told not to have run
   ran, and nothing that may run once ran twice.  */
static void
check_runs (void)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct record *record = value;

      if (kinds[record->kind].once && record->runs > 1)
        violate (id, "ran more than once", kinds[record->kind].path);
      if (record->told_not_run && record->runs > 0 && kinds[record->kind].once)
        violate (id, "was told not to have run, and ran",
                 kinds[record->kind].path);
    }
}

/* Starts targets, store and gates; the gates' logs go to LOGS.  */
static void
start_all (char *const *logs)
{
  for (int i = 0; i < 2 * TARGETS_A_SERVICE; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      targets[i] = fx_target_add (id, i < TARGETS_A_SERVICE ? "desk" : "pool",
                                  behaviours[i]);
      target_links[i] = fx_target_link (targets[i]);
      g_free (id);
    }
  fx_store_start (config);
  for (int i = 0; i < gate_count; i++)
    {
      store_links[i] = fx_store_link (i);
      fx_gate_spawn (i, logs[i]);
    }
  for (int i = 0; i < gate_count; i++)
    await_listener (i);
  fx_settled (fx_is_ready);
}

/* Plays faults for SECONDS, then heals all.  Returns how many there were.  */
static int
play_faults (int seconds, char *const *logs)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  int steps = 0;

  for (; g_get_monotonic_time () < end; steps++)
    {
      fault (logs);
      link_fault ();
      fx_sleep_ms (g_rand_int_range (faults_random, 5, 80));
    }
  fx_store_down (0);
  heal_links ();
  for (int i = 0; i < gate_count; i++)
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
  int keeps_logs = argc > 3 && strcmp (argv[3], "-") != 0;
  pthread_t callers[CALLERS];
  char *logs[FX_GATES_MAX];
  int steps;

  if (argc > 4)
    gate_count = CLAMP (atoi (argv[4]), 1, FX_GATES_MAX);
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  faults_random = g_rand_new_with_seed ((guint32)seed);
  links_random = g_rand_new_with_seed (~(guint32)seed);
  for (int i = 0; i < gate_count; i++)
    logs[i] = keeps_logs ? g_strdup_printf ("%s/gate-%d.log", argv[3], i)
                         : g_strdup ("/dev/null");
  start_all (logs);
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, call,
                    GINT_TO_POINTER (seed * CALLERS + i));
  steps = play_faults (seconds, logs);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i], NULL);
  fx_sleep_ms (QUIET_MS);
  pthread_mutex_lock (&lock);
  check_runs ();
  pthread_mutex_unlock (&lock);
  printf ("seed %d: %d faults, %u requests, %d served, %d refused, %d failed, "
          "%d violations\n",
          seed, steps, g_hash_table_size (records), served, refused, failed,
          violations);
  fx_stop ();
  return violations > 0;
}
