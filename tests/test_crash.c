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
  DESK_TARGETS = 6,
  CLIENTS = 12,         /* that send sound requests */
  CRASH_CLIENTS = 3,    /* that send requests which crash targets */
  POPULAR_CLIENTS = 24, /* so that each target has the read in progress */
  SOUND_PAUSE_MS = 60,  /* between two requests of a client */
  CRASH_PAUSE_MS = 250,
  FIRST_PARTS = 2,
  SECOND_PARTS = 40,
  OWN_PARTS = 70, /* of a long prompt, which no other one has */
  EVENTS = 8,
  EVENT_PAUSE_MS = 25,
  BEGIN_MS = 50, /* from the head of a response to its first event */
  RESTART_MS = 1000,
  CONTACT_MS = 3000, /* until a change must have reached all instances */
  PART_CRASHES_ALLOWED = 5,
  REQUEST_CRASHES_ALLOWED = 3,
  SENDS_ALLOWED = 3, /* once CONTACT_MS have passed after these crashes */
  BEFORE_MS = 3000,
  MEASURED_MS = 3000,
  START_MS = 1500,
  REPORTED_REQUESTS = 8,
  LIST_DELAY_MS = 400 /* of the list of parts, at a restart of all */
};

static void crashing_part_is_contained (void);
static void crashing_part_far_behind_is_contained (void);
static void crashing_part_is_contained_after_restart_of_all (void);
static void crashing_call_without_parts_ends_few_targets (void);
static void crashing_read_is_contained (void);
static void crashing_call_is_contained (void);
static void crashing_read_is_contained_with_three_targets (void);
static void crashing_stream_is_contained (void);
static void crashing_read_is_contained_after_restart_of_all (void);
static void crashing_read_is_contained_after_a_restoration (void);
static void popular_read_is_served_while_targets_end (void);
static void popular_read_is_served_after_all_targets_ended (void);
static void other_body_on_the_same_path_is_served (void);
static void requests_that_others_report_are_stored (void);

static const struct test_case cases[] = {
  { "a prompt part that crashes targets is contained",
    crashing_part_is_contained },
  { "a part that crashes targets is contained behind many others",
    crashing_part_far_behind_is_contained },
  { "it stays contained after a restart of all instances",
    crashing_part_is_contained_after_restart_of_all },
  { "a crashing request without parts ends few targets",
    crashing_call_without_parts_ends_few_targets },
  { "a read that crashes targets and comes again is contained",
    crashing_read_is_contained },
  { "a call that crashes targets and comes again is contained",
    crashing_call_is_contained },
  { "such a read is contained in a service of three targets",
    crashing_read_is_contained_with_three_targets },
  { "a stream without prompt parts that crashes targets is contained",
    crashing_stream_is_contained },
  { "such a read stays contained after a restart of all instances",
    crashing_read_is_contained_after_restart_of_all },
  { "it stays contained if the store is restored before that",
    crashing_read_is_contained_after_a_restoration },
  { "a popular read is served while targets end by themselves",
    popular_read_is_served_while_targets_end },
  { "a popular read is served after all targets ended at once",
    popular_read_is_served_after_all_targets_ended },
  { "another body on the path of a crashing call is served",
    other_body_on_the_same_path_is_served },
  { "requests in quarantine by reports of others are in the store",
    requests_that_others_report_are_stored },
};

TEST_MAIN ("crash", cases)

/* Part that crashes each target which begins to respond to it.  */
static const char crashing_part[] = "bad0";

/* What the path or the body of a request has that crashes targets.  */
static const char crashing_text[] = "bad1";

/* What the clients of a run send, and to which targets. */
struct traffic
{
  const char *service;
  int targets;
  fx_handler_fn handler;
  int crashes_allowed;
  /* Send a request, the crashing one if CRASHES_TARGET.  Returns the response,
     newly allocated, or NULL.  */
  char *(*send) (GRand *random, int crashes_target);
  const char *begun; /* is in the responses to sound requests */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static gint stopping;
static gint crashing; /* requests with the crashing part are sent */
static gint numbers;  /* of requests and targets */
static int crashes;
static int64_t last_counted_crash_ms; /* of the first CRASHES_ALLOWED */
static int late_sends;                /* of the crashing part or request */
static const struct traffic *traffic; /* of the current run */
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
  if (++crashes <= traffic->crashes_allowed)
    last_counted_crash_ms = now_ms ();
  pthread_mutex_unlock (&lock);
  if (pthread_create (&thread, NULL, restart_target, request->target) == 0)
    pthread_detach (thread);
}

/* Counts a crashing request that reaches a target.  */
static void
count_crashing_send (void)
{
  pthread_mutex_lock (&lock);
  late_sends += crashes >= traffic->crashes_allowed
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

/* Responds, unless the path or the body crashes the target.  */
static int
serve_or_crash (const struct fx_request *request)
{
  int crashes_target = strstr (request->text, crashing_text) != NULL;

  if (crashes_target)
    count_crashing_send ();
  fx_sleep_ms (BEGIN_MS);
  if (crashes_target)
    {
      crash_target (request);
      return 0;
    }
  if (strstr (request->text, "/rules/") != NULL)
    return shop_stream_events (request);
  return shop_respond_ok (request);
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
  add_target (traffic->handler, traffic->service);
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

/* Sends a prompt to a random router, with the crashing part between the others
   if CRASHES_TARGET.  */
static char *
send_random_prompt (GRand *random, int crashes_target)
{
  char *parts = g_strdup_printf (
      "a%d:100,%s%s%sc%d:50", g_rand_int_range (random, 0, FIRST_PARTS),
      crashes_target ? crashing_part : "", crashes_target ? ":40" : "",
      crashes_target ? "," : "", g_rand_int_range (random, 0, SECOND_PARTS));
  char *response
      = send_prompt (g_rand_int_range (random, 0, ROUTERS),
                     g_rand_boolean (random) ? "plan" : "rules", parts);

  g_free (parts);
  return response;
}

/* Sends a long prompt to a random router.  Its first part is that of others;
   if CRASHES_TARGET, the crashing one is the last but one.  */
static char *
send_long_prompt (GRand *random, int crashes_target)
{
  GString *parts = g_string_new (NULL);
  char *response;

  g_string_printf (parts, "a%d:100",
                   g_rand_int_range (random, 0, FIRST_PARTS));
  for (int i = 0; i < OWN_PARTS; i++)
    g_string_append_printf (parts, ",%x:10",
                            0x1000000 + g_atomic_int_add (&numbers, 1));
  if (crashes_target)
    g_string_append_printf (parts, ",%s:40,%x:10", crashing_part,
                            0x1000000 + g_atomic_int_add (&numbers, 1));
  response = send_prompt (g_rand_int_range (random, 0, ROUTERS), "plan",
                          parts->str);
  g_string_free (parts, TRUE);
  return response;
}

/* Sends a METHOD request for PATH with BODY to router INDEX.  Returns the
   response, or NULL if the router cannot be reached.  */
static char *
send_plain (int index, const char *method, const char *path, const char *body)
{
  int fd = fx_router_connect (index);
  char *text;

  if (fd < 0)
    return NULL;
  text = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Ibisloom-Attempt-Id: r%d\r\n"
                          "X-Ibisloom-Deadline-Remaining: 3000\r\n"
                          "Authorization: Token key-1\r\n"
                          "Content-Length: %zu\r\n"
                          "Connection: close\r\n\r\n%s",
                          method, path, g_atomic_int_add (&numbers, 1),
                          strlen (body), body);
  fx_send (fd, text);
  g_free (text);
  return fx_read_all (fd);
}

/* Sends a METHOD request on the route PREFIX to a random router: always the
   same one if CRASHES_TARGET, else always another one.  */
static char *
send_random_plain (GRand *random, const char *method, const char *prefix,
                   int crashes_target)
{
  char *path = crashes_target
                   ? g_strdup_printf ("%s%s", prefix, crashing_text)
                   : g_strdup_printf ("%sp%d", prefix,
                                      g_atomic_int_add (&numbers, 1));
  char *response
      = send_plain (g_rand_int_range (random, 0, ROUTERS), method, path, "b");

  g_free (path);
  return response;
}

static char *
send_random_read (GRand *random, int crashes_target)
{
  return send_random_plain (random, "GET", "/map/", crashes_target);
}

static char *
send_random_call (GRand *random, int crashes_target)
{
  return send_random_plain (random, "POST", "/fee/", crashes_target);
}

static char *
send_random_stream (GRand *random, int crashes_target)
{
  return send_random_plain (random, "POST", "/rules/", crashes_target);
}

static const struct traffic prompts = { "pool",
                                        TARGETS,
                                        stream_or_crash,
                                        PART_CRASHES_ALLOWED,
                                        send_random_prompt,
                                        "data: e1\n" };
static const struct traffic long_prompts
    = { "pool",           TARGETS,     stream_or_crash, PART_CRASHES_ALLOWED,
        send_long_prompt, "data: e1\n" };
static const struct traffic reads
    = { "desk",           DESK_TARGETS,
        serve_or_crash,   REQUEST_CRASHES_ALLOWED,
        send_random_read, " 200 OK" };
static const struct traffic reads_at_three
    = { "desk",           DESK_TARGETS / 2,
        serve_or_crash,   REQUEST_CRASHES_ALLOWED,
        send_random_read, " 200 OK" };
static const struct traffic calls
    = { "desk",           DESK_TARGETS,
        serve_or_crash,   REQUEST_CRASHES_ALLOWED,
        send_random_call, " 200 OK" };
static const struct traffic streams = { "pool",
                                        DESK_TARGETS,
                                        serve_or_crash,
                                        REQUEST_CRASHES_ALLOWED,
                                        send_random_stream,
                                        "data: e1\n" };

/* Sends a request of the current run, and counts it unless it crashes
   targets.  */
static void
send_counted (GRand *random, int crashes_target)
{
  char *response = traffic->send (random, crashes_target);

  pthread_mutex_lock (&lock);
  sound_sent += !crashes_target && response != NULL;
  sound_begun += !crashes_target && response != NULL
                 && strstr (response, traffic->begun) != NULL;
  pthread_mutex_unlock (&lock);
  g_free (response);
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
        send_counted (random, crashes_targets);
      fx_sleep_ms (crashes_targets ? CRASH_PAUSE_MS : SOUND_PAUSE_MS);
    }
  g_rand_free (random);
  return NULL;
}

/* Starts targets, routers and the clients in THREADS, which send OF_RUN.  */
static void
start_fleet (pthread_t *threads, const struct traffic *of_run)
{
  traffic = of_run;
  crashes = late_sends = 0;
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&crashing, 0);
  for (int i = 0; i < traffic->targets; i++)
    add_target (traffic->handler, traffic->service);
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
  GRand *random = g_rand_new_with_seed (1);
  double after;
  char *response;

  fx_sleep_ms (2 * CONTACT_MS);
  after = measure_sound_share (MEASURED_MS);
  printf ("%d targets ended, %d sends late, sound ones %.2f then %.2f ",
          crashes, late_sends, before, after);
  CU_ASSERT (crashes > 0);
  CU_ASSERT (late_sends <= SENDS_ALLOWED);
  CU_ASSERT (after >= before / 2);
  response = traffic->send (random, 1);
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 503"));
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "Retry-After: "));
  g_free (response);
  g_rand_free (random);
}

/* Checks that the crashing requests of OF_RUN are contained.  */
static void
expect_contained (const struct traffic *of_run)
{
  pthread_t threads[CLIENTS + CRASH_CLIENTS];
  double before;

  start_fleet (threads, of_run);
  before = measure_sound_share (BEFORE_MS);
  CU_ASSERT (before > 0.9);
  g_atomic_int_set (&crashing, 1);
  expect_containment (before);
  stop_fleet (threads);
}

/* The same, with a restart of all instances.  If IS_RESTORED, the store is
   restored first from a copy of before the crashes.  */
static void
expect_contained_after_restart_of_all (const struct traffic *of_run,
                                       int is_restored)
{
  pthread_t threads[CLIENTS + CRASH_CLIENTS];
  double before;
  int copy;

  start_fleet (threads, of_run);
  before = measure_sound_share (BEFORE_MS);
  copy = fx_store_revision ();
  g_atomic_int_set (&crashing, 1);
  fx_sleep_ms (CONTACT_MS);
  if (is_restored)
    {
      fx_store_restore (copy);
      fx_store_rewrite ();
      fx_sleep_ms (CONTACT_MS);
    }
  fx_store_delay_list ("ibisloom-instances", LIST_DELAY_MS);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_signal (i, SIGKILL);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_wait_for_exit (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  expect_containment (before);
  stop_fleet (threads);
}

static void
crashing_part_is_contained (void)
{
  expect_contained (&prompts);
}

/* Guards against parts that are not read, or not told to other instances,
   as there are many before them.  */
static void
crashing_part_far_behind_is_contained (void)
{
  expect_contained (&long_prompts);
}

static void
crashing_part_is_contained_after_restart_of_all (void)
{
  expect_contained_after_restart_of_all (&prompts, 0);
}

static void
crashing_read_is_contained (void)
{
  expect_contained (&reads);
}

static void
crashing_call_is_contained (void)
{
  expect_contained (&calls);
}

static void
crashing_read_is_contained_with_three_targets (void)
{
  expect_contained (&reads_at_three);
}

static void
crashing_stream_is_contained (void)
{
  expect_contained (&streams);
}

static void
crashing_read_is_contained_after_restart_of_all (void)
{
  expect_contained_after_restart_of_all (&reads, 0);
}

static void
crashing_read_is_contained_after_a_restoration (void)
{
  expect_contained_after_restart_of_all (&reads, 1);
}

/* Sends the same read again and again.  */
static void *
repeat_read (void *closure)
{
  GRand *random = g_rand_new_with_seed (7);

  (void)closure;
  while (!g_atomic_int_get (&stopping))
    {
      g_free (send_plain (g_rand_int_range (random, 0, ROUTERS), "GET",
                          "/map/popular", ""));
      fx_sleep_ms (SOUND_PAUSE_MS / 3);
    }
  g_rand_free (random);
  return NULL;
}

/* Checks that a read that clients repeat is never refused as one that crashes
   targets while these end, one every PAUSE_MS.  */
static void
expect_popular_read_served (int pause_ms)
{
  struct fx_target *targets[DESK_TARGETS];
  pthread_t threads[POPULAR_CLIENTS];
  int served = 0;
  long refused = 0;

  traffic = &reads;
  g_atomic_int_set (&stopping, 0);
  for (int i = 0; i < DESK_TARGETS; i++)
    targets[i] = add_target (serve_or_crash, "desk");
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  for (int i = 0; i < POPULAR_CLIENTS; i++)
    CU_ASSERT_EQUAL_FATAL (
        pthread_create (&threads[i], NULL, repeat_read, NULL), 0);
  fx_sleep_ms (START_MS);
  for (int i = 0; i < DESK_TARGETS; i++)
    {
      struct fx_request request = { .target = targets[i] };

      crash_target (&request);
      fx_sleep_ms (pause_ms);
    }
  fx_sleep_ms (2 * CONTACT_MS);
  for (int i = 0; i < ROUTERS; i++)
    {
      char *response = send_plain (i, "GET", "/map/popular", "");

      served += strstr (response, " 200 OK") != NULL;
      refused += fx_router_metric (
          i, "ibisloom_refused_total{reason=\"quarantined\"}");
      g_free (response);
    }
  CU_ASSERT_EQUAL (served, ROUTERS);
  CU_ASSERT_EQUAL (refused, 0);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < POPULAR_CLIENTS; i++)
    pthread_join (threads[i], NULL);
  fx_env_stop ();
}

static void
popular_read_is_served_while_targets_end (void)
{
  expect_popular_read_served (RESTART_MS / 2);
}

static void
popular_read_is_served_after_all_targets_ended (void)
{
  expect_popular_read_served (0);
}

static void
other_body_on_the_same_path_is_served (void)
{
  char *response;

  traffic = &calls;
  crashes = 0;
  g_atomic_int_set (&stopping, 0);
  for (int i = 0; i < DESK_TARGETS; i++)
    add_target (serve_or_crash, "desk");
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  for (int i = 0; i < 2 * REQUEST_CRASHES_ALLOWED; i++)
    {
      g_free (send_plain (i % ROUTERS, "POST", "/fee/1", crashing_text));
      fx_sleep_ms (RESTART_MS / 2);
    }
  response = send_plain (0, "POST", "/fee/1", crashing_text);
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 503"));
  g_free (response);
  for (int i = 0; i < ROUTERS; i++)
    {
      response = send_plain (i, "POST", "/fee/1", "sound");
      CU_ASSERT_PTR_NOT_NULL (strstr (response, " 200 OK"));
      g_free (response);
    }
  CU_ASSERT (crashes <= REQUEST_CRASHES_ALLOWED);
  g_atomic_int_set (&stopping, 1);
  fx_sleep_ms (2 * RESTART_MS);
  fx_env_stop ();
}

/* The reporting instance ranks first for some of them and writes nothing.  */
static void
requests_that_others_report_are_stored (void)
{
  int entries;

  fx_store_start (shop_config);
  fx_routers_start (1);
  fx_sleep_ms (START_MS);
  entries = fx_store_count ("ibisloom-instances");
  fx_ends_report (REPORTED_REQUESTS);
  fx_sleep_ms (CONTACT_MS);
  CU_ASSERT (fx_store_count ("ibisloom-instances") > entries);
  fx_env_stop ();
}

/* The route allows two attempts; there are six targets.  */
static void
crashing_call_without_parts_ends_few_targets (void)
{
  g_atomic_int_set (&stopping, 1); /* targets are not restarted */
  traffic = &reads;
  crashes = 0;
  for (int i = 0; i < TARGETS / 2; i++)
    add_target (crash_always, "desk");
  fx_env_start (shop_config);
  shop_expect (GET_MAP ("m1"), "502", "");
  CU_ASSERT (crashes <= 2);
  fx_env_stop ();
}
