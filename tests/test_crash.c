/* End-to-end tests of a fleet whose targets are crashed by requests. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 4,
  TARGETS = 12,
  CLIENTS = 12,        /* that send sound requests */
  CRASH_CLIENTS = 3,   /* that send requests which crash targets */
  SOUND_PAUSE_MS = 60, /* between two requests of a client */
  CRASH_PAUSE_MS = 250,
  FIRST_PARTS = 2,
  SECOND_PARTS = 40,
  EVENTS = 8,
  EVENT_PAUSE_MS = 25,
  BEGIN_MS = 50, /* from the head of a response to its first event */
  RESTART_MS = 1000,
  CONTACT_MS = 3000, /* until a change must have reached all instances */
  CRASHES_ALLOWED = 5,
  SENDS_ALLOWED = 3, /* once CONTACT_MS have passed after these crashes */
  BEFORE_MS = 3000,
  MEASURED_MS = 3000,
  START_MS = 1500
};

static void crashing_part_is_contained (void);
static void crashing_part_is_contained_after_restart_of_all (void);
static void crashing_call_without_parts_ends_few_targets (void);

static const struct test_case cases[] = {
  { "a prompt part that crashes targets is contained",
    crashing_part_is_contained },
  { "it stays contained after a restart of all instances",
    crashing_part_is_contained_after_restart_of_all },
  { "a crashing request without parts ends few targets",
    crashing_call_without_parts_ends_few_targets },
};

TEST_MAIN ("crash", cases)

/* Part that crashes each target which begins to respond to it.  */
static const char crashing_part[] = "bad0";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gint stopping;
static gint crashing; /* requests with the crashing part are sent */
static gint numbers;  /* of requests and targets */
static int crashes;
static int64_t last_counted_crash_ms; /* of the first CRASHES_ALLOWED */
static int late_sends;                /* of the crashing part */
static int sound_sent;
static int sound_begun; /* at the first attempt */

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Restarts the target CLOSURE under another identifier.  */
static void *restart_target (void *closure);

/* Crashes the target of REQUEST and has it restarted.  */
static void
crash_target (const struct fx_request *request)
{
  pthread_t thread;

  if (!fx_target_crash (request->target))
    return;
  pthread_mutex_lock (&lock);
  if (++crashes <= CRASHES_ALLOWED)
    last_counted_crash_ms = now_ms ();
  pthread_mutex_unlock (&lock);
  if (pthread_create (&thread, NULL, restart_target, request->target) == 0)
    pthread_detach (thread);
}

/* Counts a request with the crashing part that reaches a target.  */
static void
count_crashing_send (void)
{
  pthread_mutex_lock (&lock);
  late_sends += crashes >= CRASHES_ALLOWED
                && now_ms () > last_counted_crash_ms + CONTACT_MS;
  pthread_mutex_unlock (&lock);
}

/* Streams events, unless the prompt has the crashing part: then the target
   ends when it would write the first one.  */
static int
stream_or_crash (const struct fx_request *request)
{
  int crashes_target = strstr (request->text, crashing_part) != NULL;

  if (crashes_target)
    count_crashing_send ();
  shop_start_stream (request);
  fx_sleep_ms (BEGIN_MS);
  if (crashes_target)
    {
      crash_target (request);
      return 0;
    }
  for (int i = 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_PAUSE_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Ends its target without a byte of a response.  */
static int
crash_always (const struct fx_request *request)
{
  crash_target (request);
  return 0;
}

static struct fx_target *
add_target (fx_handler_fn handler, const char *service)
{
  char *id = g_strdup_printf ("t-%d", g_atomic_int_add (&numbers, 1));
  struct fx_target *target = fx_target_add (id, service, handler);

  g_free (id);
  return target;
}

static void *
restart_target (void *closure)
{
  struct fx_target *target = closure;

  fx_sleep_ms (RESTART_MS);
  if (g_atomic_int_get (&stopping))
    return NULL;
  fx_target_remove (target);
  add_target (stream_or_crash, "pool");
  return NULL;
}

/* Sends a request with the prompt PARTS to router INDEX.  Returns the
   response, or NULL if the router cannot be reached.  */
static char *
send_prompt (int index, const char *route, const char *parts)
{
  int fd = fx_router_connect (index);
  char *text;

  if (fd < 0)
    return NULL;
  text = g_strdup_printf ("POST /%s/1 HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Ibisloom-Attempt-Id: r%d\r\n"
                          "X-Ibisloom-Deadline-Remaining: 4000\r\n"
                          "X-Ibisloom-Prompt-Prefix: %s,%x:10\r\n"
                          "Authorization: Token key-1\r\nContent-Length: 0\r\n"
                          "Connection: close\r\n\r\n",
                          route, g_atomic_int_add (&numbers, 1), parts,
                          0x100000 + g_atomic_int_add (&numbers, 1));
  fx_send (fd, text);
  g_free (text);
  return fx_read_all (fd);
}

/* Sends a request to a random router, with the crashing part between the
   others if CRASHES_TARGET, and counts it otherwise.  */
static void
send_random_prompt (GRand *random, int crashes_target)
{
  char *parts = g_strdup_printf (
      "a%d:100,%s%s%sc%d:50", g_rand_int_range (random, 0, FIRST_PARTS),
      crashes_target ? crashing_part : "", crashes_target ? ":40" : "",
      crashes_target ? "," : "", g_rand_int_range (random, 0, SECOND_PARTS));
  char *response
      = send_prompt (g_rand_int_range (random, 0, ROUTERS),
                     g_rand_boolean (random) ? "plan" : "rules", parts);

  pthread_mutex_lock (&lock);
  sound_sent += !crashes_target && response != NULL;
  sound_begun += !crashes_target && response != NULL
                 && strstr (response, "data: e1\n") != NULL;
  pthread_mutex_unlock (&lock);
  g_free (response);
  g_free (parts);
}

/* Runs the client CLOSURE, a number from 1; those over CLIENTS crash
   targets.  */
static void *
run_client (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  int crashes_targets = number > CLIENTS;
  GRand *random = g_rand_new_with_seed ((guint32)number);

  while (!g_atomic_int_get (&stopping))
    {
      if (!crashes_targets || g_atomic_int_get (&crashing))
        send_random_prompt (random, crashes_targets);
      fx_sleep_ms (crashes_targets ? CRASH_PAUSE_MS : SOUND_PAUSE_MS);
    }
  g_rand_free (random);
  return NULL;
}

/* Starts targets, routers and the clients in THREADS.  */
static void
start_fleet (pthread_t *threads)
{
  crashes = late_sends = 0;
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&crashing, 0);
  for (int i = 0; i < TARGETS; i++)
    add_target (stream_or_crash, "pool");
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  for (int i = 0; i < CLIENTS + CRASH_CLIENTS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, run_client,
                                           GINT_TO_POINTER (i + 1)),
                           0);
}

static void
stop_fleet (const pthread_t *threads)
{
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS + CRASH_CLIENTS; i++)
    pthread_join (threads[i], NULL);
  fx_env_stop ();
}

/* Returns the share of the sound requests of the next MS milliseconds that
   begin at the first attempt.  */
static double
measure_sound_share (int ms)
{
  double share;

  pthread_mutex_lock (&lock);
  sound_sent = sound_begun = 0;
  pthread_mutex_unlock (&lock);
  fx_sleep_ms (ms);
  pthread_mutex_lock (&lock);
  share = sound_sent > 0 ? (double)sound_begun / sound_sent : 0;
  pthread_mutex_unlock (&lock);
  return share;
}

/* Checks what is sent late, and that sound requests keep half of BEFORE.  */
static void
expect_containment (double before)
{
  double after;
  char *response;

  fx_sleep_ms (2 * CONTACT_MS);
  after = measure_sound_share (MEASURED_MS);
  printf ("%d targets ended, %d sends late, sound ones %.2f then %.2f ",
          crashes, late_sends, before, after);
  CU_ASSERT (crashes > 0);
  CU_ASSERT (late_sends <= SENDS_ALLOWED);
  CU_ASSERT (after >= before / 2);
  response = send_prompt (0, "rules", "a0:100,bad0:40");
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "Retry-After: "));
  g_free (response);
}

static void
crashing_part_is_contained (void)
{
  pthread_t threads[CLIENTS + CRASH_CLIENTS];
  double before;

  start_fleet (threads);
  before = measure_sound_share (BEFORE_MS);
  CU_ASSERT (before > 0.9);
  g_atomic_int_set (&crashing, 1);
  expect_containment (before);
  stop_fleet (threads);
}

static void
crashing_part_is_contained_after_restart_of_all (void)
{
  pthread_t threads[CLIENTS + CRASH_CLIENTS];
  double before;

  start_fleet (threads);
  before = measure_sound_share (BEFORE_MS);
  g_atomic_int_set (&crashing, 1);
  fx_sleep_ms (CONTACT_MS);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_signal (i, SIGKILL);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_wait_for_exit (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  expect_containment (before);
  stop_fleet (threads);
}

/* The route allows two attempts; there are six targets.  */
static void
crashing_call_without_parts_ends_few_targets (void)
{
  g_atomic_int_set (&stopping, 1); /* targets are not restarted */
  crashes = 0;
  for (int i = 0; i < TARGETS / 2; i++)
    add_target (crash_always, "desk");
  fx_env_start (shop_config);
  shop_expect (GET_MAP ("m1"), "502", "");
  CU_ASSERT (crashes <= 2);
  fx_env_stop ();
}
