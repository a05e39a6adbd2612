/* End-to-end tests of requests for more than the targets have capacity for. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "brittle_fixture.h"
#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 4,
  TARGETS = 2,
  SLOTS = 6,
  QUEUE = 6,
  WORK_MS = 50,
  PER_S = 400,
  FEW = 8, /* one request in so many is urgent, or of the small customer */
  CLIENTS = 300,
  WARM_UP_MS = 2000,
  MEASURED_MS = 6000,
  DEADLINE_MS = 2000,
  AT_ONCE_MS = 150, /* a refusal that had not to wait, on a busy machine */
  GONE_MS = 2700,   /* an instance is known to be gone, and 1 s more */
  FROZEN_MS = 2000, /* longer than until an instance is known to be silent */
  KILLED = 3,       /* or frozen */
  STEP_MS = 50,
  SLOW_MS = 1500
};

#define WAITING "ibisloom_queue_waiting{service=\"desk\",priority=\"2\"}"

static const double SERVED_MIN = 0.95;

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"now\",\"host\":\"shop.example\",\"path_prefix\":\"/now/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2,"
      "\"priority\":0},"
      "{\"name\":\"fee\",\"host\":\"shop.example\",\"path_prefix\":\"/fee/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1,"
      "\"priority\":2},"
      "{\"name\":\"any\",\"host\":\"shop.example\",\"path_prefix\":\"/any/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":2000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2}],"
      "\"services\":[{\"name\":\"desk\"}],"
      "\"tenants\":[{\"name\":\"small\",\"api_keys\":[\"key-small\"]},"
      "{\"name\":\"big\",\"api_keys\":[\"key-big\"]},"
      "{\"name\":\"late\",\"api_keys\":[\"key-late\"],\"priority\":12}]}";

static void targets_are_told_the_urgency (void);
static void urgent_requests_are_served (void);
static void small_customers_are_served (void);
static void enough_capacity_leaves_no_trace (void);
static void clients_that_leave_wait_no_more (void);
static void instances_that_are_killed_hold_nothing (void);
static void instances_that_are_frozen_hold_nothing (void);

static const struct test_case cases[] = {
  { "targets are told the urgency of requests, and by routers only",
    targets_are_told_the_urgency },
  { "urgent requests are served where capacity is scarce",
    urgent_requests_are_served },
  { "a customer is served beside one that asks for too much",
    small_customers_are_served },
  { "nothing waits and nothing is told while capacity is enough",
    enough_capacity_leaves_no_trace },
  { "clients that leave wait no more", clients_that_leave_wait_no_more },
  { "what a killed instance used is used by the others",
    instances_that_are_killed_hold_nothing },
  { "what a frozen instance used is used by the others",
    instances_that_are_frozen_hold_nothing },
};

TEST_MAIN ("contention", cases)

/* What clients send. */
struct load
{
  const char *few[2];  /* path and key of one request in FEW */
  const char *rest[2]; /* of the others */
  int per_s;
};

/* Requests that ended while they were counted. */
struct tally
{
  int sent[2]; /* of the rest, and of the few */
  int served[2];
  int slow_refusals;
  int over_time;     /* refused only after their time */
  int no_promise;    /* refused otherwise than as not run, with a time */
  gint64 slowest_ms; /* refusal */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct load load;
static struct tally tally;
static gint64 started_us;
static gint stopping;
static gint measuring;
static gint numbers;
static gint killed = -1;
static char *urgency_told;

/* Sends request NUMBER, and counts its end.  */
static void
exchange (int number)
{
  int is_few = number % FEW == 0;
  const char *const *what = is_few ? load.few : load.rest;
  /* Each kind of request goes to all routers.  */
  int router = (number / FEW + number) % ROUTERS;
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: "
      "r%d\r\n"
      "X-Ibisloom-Deadline-Remaining: %d\r\nAuthorization: Token %s\r\n"
      "X-Ibisloom-Request-Urgency: 0\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n",
      what[0], number, DEADLINE_MS, what[1]);
  gint64 sent_us = g_get_monotonic_time ();
  char *response;
  gint64 took_ms;
  int fd;

  if (router == g_atomic_int_get (&killed))
    router = (router + 1) % ROUTERS;
  fd = fx_router_connect (router);
  fx_send (fd, text);
  response = fx_read_all (fd);
  took_ms = (g_get_monotonic_time () - sent_us) / 1000;
  pthread_mutex_lock (&lock);
  if (g_atomic_int_get (&measuring) && router != g_atomic_int_get (&killed))
    {
      tally.sent[is_few]++;
      if (g_str_has_prefix (response, "HTTP/1.1 200"))
        tally.served[is_few]++;
      else
        {
          tally.slow_refusals += took_ms > AT_ONCE_MS;
          tally.over_time += took_ms > DEADLINE_MS + AT_ONCE_MS;
          tally.no_promise += !g_str_has_prefix (response, "HTTP/1.1 503")
                              || strstr (response, "Retry-After:") == NULL;
          tally.slowest_ms = MAX (tally.slowest_ms, took_ms);
        }
    }
  pthread_mutex_unlock (&lock);
  g_free (response);
  g_free (text);
}

/* Sends the next request when it is due, as one of the CLIENTS.  */
static void *
send_requests (void *closure)
{
  (void)closure;
  while (!g_atomic_int_get (&stopping))
    {
      int number = g_atomic_int_add (&numbers, 1);
      gint64 due_us
          = started_us + (gint64)number * G_USEC_PER_SEC / load.per_s;
      gint64 early_us = due_us - g_get_monotonic_time ();

      if (early_us > 0)
        g_usleep ((gulong)early_us);
      exchange (number);
    }
  return NULL;
}

static void
start_fleet (struct brittle_target **targets)
{
  const struct brittle_script script = {
    .entry_slots = SLOTS, .slots = SLOTS, .queue = QUEUE, .work_ms = WORK_MS
  };
  fx_store_start (config);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = brittle_target_add (id, "desk", &script);
      g_free (id);
    }
  fx_routers_add_settings ("admission_queue: 1\n");
  fx_routers_start (ROUTERS);
}

static void
stop_fleet (void)
{
  brittle_targets_stop ();
  fx_env_stop ();
  fx_routers_add_settings ("");
}

static void
begin_measuring (void)
{
  pthread_mutex_lock (&lock);
  tally = (struct tally){ 0 };
  pthread_mutex_unlock (&lock);
  g_atomic_int_set (&measuring, 1);
}

/* Sends the requests of NEXT, and counts those that end in MEASURED_MS after
   the first WARM_UP_MS.  */
static void
play (struct load next, void (*disturb) (void))
{
  pthread_t clients[CLIENTS];

  load = next;
  g_atomic_int_set (&killed, -1);
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&numbers, 0);
  started_us = g_get_monotonic_time ();
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, send_requests, NULL);
  fx_sleep_ms (WARM_UP_MS);
  if (disturb != NULL)
    disturb ();
  begin_measuring ();
  fx_sleep_ms (MEASURED_MS);
  g_atomic_int_set (&measuring, 0);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
}

/* Prints what TARGETS and clients have seen.  Returns how many requests the
   targets could have served while they were counted.  */
static double
print_tally (struct brittle_target **targets)
{
  double capacity;
  int arrivals = 0;
  int rejections = 0;
  int worked = 0;
  gint64 worked_us = 0;

  for (int i = 0; i < TARGETS; i++)
    {
      struct brittle_counts counts = brittle_target_counts (targets[i]);

      arrivals += counts.arrivals;
      rejections += counts.rejections;
      worked += counts.worked;
      worked_us += counts.worked_us;
    }
  /* On a busy machine work takes longer than WORK_MS.  */
  capacity = (double)TARGETS * SLOTS * MEASURED_MS * 1000
             / ((double)worked_us / MAX (worked, 1));
  printf ("few %d of %d, rest %d of %d, %d refused late (slowest %d ms), "
          "%d of %d rejected by targets, capacity %.0f ",
          tally.served[1], tally.sent[1], tally.served[0], tally.sent[0],
          tally.slow_refusals, (int)tally.slowest_ms, rejections, arrivals,
          capacity);
  return capacity;
}

/* Checks that the few requests of NEXT are served, and that the rest gets all
   that they leave.  */
static void
expect_few_served (struct load next, void (*disturb) (void))
{
  struct brittle_target *targets[TARGETS];
  double capacity;
  int served;

  start_fleet (targets);
  play (next, disturb);
  capacity = print_tally (targets);
  served = tally.served[0] + tally.served[1];
  CU_ASSERT (tally.served[1] >= SERVED_MIN * tally.sent[1]);
  CU_ASSERT (served >= SERVED_MIN * capacity);
  CU_ASSERT_EQUAL (tally.over_time, 0);
  CU_ASSERT_EQUAL (tally.no_promise, 0);
  /* Some wait, and make room for others that come later.  */
  CU_ASSERT (tally.slow_refusals * FEW <= tally.sent[0]);
  stop_fleet ();
}

static void
urgent_requests_are_served (void)
{
  expect_few_served (
      (struct load){ { "/now/1", "key-big" }, { "/fee/1", "key-big" }, PER_S },
      NULL);
}

static void
small_customers_are_served (void)
{
  expect_few_served ((struct load){ { "/fee/1", "key-small" },
                                    { "/fee/1", "key-big" },
                                    PER_S },
                     NULL);
}

/* Kills a router, and waits until its end is known and its part used.  */
static void
kill_router (void)
{
  g_atomic_int_set (&killed, KILLED);
  fx_router_signal (KILLED, SIGKILL);
  fx_router_wait_for_exit (KILLED);
  fx_sleep_ms (GONE_MS);
}

static void
instances_that_are_killed_hold_nothing (void)
{
  expect_few_served (
      (struct load){ { "/now/1", "key-big" }, { "/fee/1", "key-big" }, PER_S },
      kill_router);
}

/* Returns whether requests wait at the router that is to be frozen.  */
static int
router_has_queue (void)
{
  return fx_router_metric (KILLED, WAITING) > 0;
}

/* Freezes a router that has requests in its queue, and checks that the others
   serve the few meanwhile; waits until its silence is known and its part used.
   Then clients send to it again.  */
static void
freeze_router (void)
{
  CU_ASSERT (fx_wait_until (router_has_queue));
  g_atomic_int_set (&killed, KILLED);
  fx_router_signal (KILLED, SIGSTOP);
  begin_measuring ();
  fx_sleep_ms (FROZEN_MS);
  fx_router_signal (KILLED, SIGCONT);
  fx_sleep_ms (GONE_MS - FROZEN_MS);
  pthread_mutex_lock (&lock);
  printf ("few %d of %d beside the freeze, ", tally.served[1], tally.sent[1]);
  CU_ASSERT (tally.served[1] >= SERVED_MIN * tally.sent[1]);
  pthread_mutex_unlock (&lock);
  g_atomic_int_set (&killed, -1);
}

/* Guards against a share of the capacity that stays with an instance which
   does not use it, and against one that goes on with its old share.  */
static void
instances_that_are_frozen_hold_nothing (void)
{
  expect_few_served (
      (struct load){ { "/now/1", "key-big" }, { "/fee/1", "key-big" }, PER_S },
      freeze_router);
}

static void
enough_capacity_leaves_no_trace (void)
{
  struct brittle_target *targets[TARGETS];

  start_fleet (targets);
  play ((struct load){ { "/now/1", "key-big" }, { "/fee/1", "key-big" }, 100 },
        NULL);
  print_tally (targets);
  CU_ASSERT_EQUAL (tally.served[0] + tally.served[1],
                   tally.sent[0] + tally.sent[1]);
  for (int i = 0; i < ROUTERS; i++)
    {
      CU_ASSERT_EQUAL (
          fx_router_metric (i,
                            "ibisloom_datagrams_sent_total{kind=\"demand\"}"),
          -1);
      CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_queue_wait_ms_count"),
                       0);
    }
  stop_fleet ();
}

/* Notes the urgency of REQUEST, and responds.  */
static int
note_urgency (const struct fx_request *request)
{
  pthread_mutex_lock (&lock);
  g_free (urgency_told);
  urgency_told = fx_header_value (request->text, "X-Ibisloom-Request-Urgency");
  pthread_mutex_unlock (&lock);
  return shop_respond_ok (request);
}

/* Checks that a request to PATH with KEY reaches a target with URGENCY, NULL
   for none.  */
static void
expect_urgency (const char *path, const char *key, const char *urgency)
{
  char *text = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: u\r\n"
      "Authorization: Token %s\r\nX-Ibisloom-Request-Urgency: 7\r\n"
      "Connection: close\r\n\r\n",
      path, key);

  shop_expect (text, "200", "well");
  pthread_mutex_lock (&lock);
  CU_ASSERT_EQUAL (g_strcmp0 (urgency_told, urgency), 0);
  pthread_mutex_unlock (&lock);
  g_free (text);
}

static void
targets_are_told_the_urgency (void)
{
  fx_store_start (config);
  fx_routers_add_settings ("admission_queue: 1\n");
  fx_router_add_paths (0);
  fx_routers_start (ROUTERS);
  (void)fx_target_add ("t-0", "desk", note_urgency);
  (void)fx_target_add ("t-1", "desk", note_urgency);
  fx_sleep_ms (WARM_UP_MS);
  expect_urgency ("/now/1", "key-big", "0");
  expect_urgency ("/fee/1", "key-big", "2");
  expect_urgency ("/fee/1", "key-late", "9");
  expect_urgency ("/any/1", "key-big", NULL);
  fx_router_set_paths (0, PROXY_CUT_RESET);
  for (int ms = 0; ms < WARM_UP_MS
                   && fx_router_metric (0, "ibisloom_hops_sent_total") == 0;
       ms += STEP_MS)
    g_free (fx_exchange (
        "GET /now/1 HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: "
        "c\r\nAuthorization: Token key-big\r\nConnection: close\r\n\r\n"));
  expect_urgency ("/fee/1", "key-big", "2");
  expect_urgency ("/any/1", "key-big", NULL);
  CU_ASSERT (fx_router_metric (0, "ibisloom_hops_sent_total") > 1);
  fx_env_stop ();
  fx_routers_add_settings ("");
}

/* Sends a request to the first router, which does not answer it yet.  Returns
   its connection.  */
static int
begin_call (void)
{
  int fd = fx_connect ();

  fx_send (fd, "POST /fee/1 HTTP/1.1\r\nHost: shop.example\r\n"
               "X-Ibisloom-Attempt-Id: w\r\nAuthorization: Token key-big\r\n"
               "Content-Length: 0\r\n\r\n");
  fx_sleep_ms (STEP_MS);
  return fd;
}

static void
clients_that_leave_wait_no_more (void)
{
  const struct brittle_script script
      = { .entry_slots = 1, .slots = 1, .queue = 0, .work_ms = SLOW_MS };
  int fds[3];

  fx_store_start (config);
  brittle_target_add ("t-0", "desk", &script);
  fx_routers_add_settings ("admission_queue: 1\n");
  fx_routers_start (1);
  /* The second one is turned away, and waits with the third.  */
  for (size_t i = 0; i < G_N_ELEMENTS (fds); i++)
    fds[i] = begin_call ();
  CU_ASSERT_EQUAL (fx_router_metric (0, WAITING), 2);
  close (fds[2]);
  fx_sleep_ms (STEP_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, WAITING), 1);
  close (fds[1]);
  fx_sleep_ms (STEP_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, WAITING), -1);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_open_requests"), 1);
  close (fds[0]);
  stop_fleet ();
}
