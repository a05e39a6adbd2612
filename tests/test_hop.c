/* End-to-end tests of requests that an instance without paths to the targets
   sends through another one. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 3,
  TARGETS = 2,     /* of each service, or software version */
  APPLY_MS = 2000, /* until a new entry in the store is known */
  FOUND_MS = 1500, /* by then, a cut or its end is known */
  STEP_MS = 20,
  SLOW_MS = 1500,
  LONG_EVENTS = 40,
  EVENT_MS = 100,
  /* The earliest time after which a sender that hears nothing has a request
     run elsewhere, and that for which two targets may work on it.  */
  ENDED_MS = 1000 + 400,
  LOST_MS = 2800, /* by then, a lost instance has been noticed */
  REFUSED_MS = 200,
  EVENTS = 5,
  EVENTS_BEFORE_PAUSE = 3
};

static void call_runs_once_when_the_instance_is_killed (void);
static void call_runs_once_when_the_instance_freezes (void);
static void client_that_leaves_ends_the_run (void);
static void lost_sender_ends_the_run (void);
static void stream_goes_on_through_another_instance (void);
static void outsiders_have_no_hops (void);
static void instances_all_cut_off_refuse_and_return (void);
static void paths_that_return_are_used (void);

static const struct test_case cases[] = {
  { "a call runs once when the instance that it went through is killed",
    call_runs_once_when_the_instance_is_killed },
  { "a call runs once when the instance that it went through freezes",
    call_runs_once_when_the_instance_freezes },
  { "a client that leaves ends a run through another instance",
    client_that_leaves_ends_the_run },
  { "a lost sender ends what it may have run elsewhere",
    lost_sender_ends_the_run },
  { "a stream goes on at its version when its instance is killed",
    stream_goes_on_through_another_instance },
  { "outsiders have no requests sent as instances do",
    outsiders_have_no_hops },
  { "instances that are all cut off refuse at once, and serve again",
    instances_all_cut_off_refuse_and_return },
  { "paths that return are used at once, and on calm days nothing is sent",
    paths_that_return_are_used },
};

TEST_MAIN ("hop", cases)

static gint is_slow;
static gint runs;
static gint abandoned;
static struct fx_target *last_desk;

/* Responds, if slow only after SLOW_MS or when the connection is closed.  */
static int
respond (const struct fx_request *request)
{
  char byte;

  g_atomic_int_inc (&runs);
  for (int ms = 0; g_atomic_int_get (&is_slow) && ms < SLOW_MS; ms += STEP_MS)
    {
      fx_sleep_ms (STEP_MS);
      if (recv (request->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
        continue;
      g_atomic_int_inc (&abandoned);
      return 0;
    }
  return shop_respond_ok (request);
}

/* Writes a long stream, until its connection is closed.  */
static int
stream_long (const struct fx_request *request)
{
  char byte;

  shop_start_stream (request);
  for (int i = 1; i <= LONG_EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_MS);
      if (recv (request->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
        continue;
      g_atomic_int_inc (&abandoned);
      return 0;
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Writes a stream of TEXT that pauses unless it is resumed, or a long one if
   slow.  */
static int
stream (const struct fx_request *request, const char *text)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");

  if (g_atomic_int_get (&is_slow))
    {
      g_free (after);
      return stream_long (request);
    }
  shop_start_stream (request);
  for (int i = after != NULL ? atoi (after) + 1 : 1; i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s%d\n\n", i, text, i);

      shop_write_chunk (request, event);
      g_free (event);
      if (after == NULL && i == EVENTS_BEFORE_PAUSE)
        fx_sleep_ms (SLOW_MS);
    }
  g_free (after);
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

static int
stream_old (const struct fx_request *request)
{
  return stream (request, "old");
}

static int
stream_new (const struct fx_request *request)
{
  return stream (request, "new");
}

/* Starts routers, of which the first CUT have paths of their own, and targets
   of both services, those of streams in two versions.  */
static void
start (int cut)
{
  g_atomic_int_set (&is_slow, 0);
  g_atomic_int_set (&runs, 0);
  g_atomic_int_set (&abandoned, 0);
  fx_store_start (shop_config);
  for (int i = 0; i < cut; i++)
    fx_router_add_paths (i);
  fx_routers_start (ROUTERS);
  for (int i = 0; i < TARGETS; i++)
    {
      char *name = g_strdup_printf ("desk-%d", i);

      last_desk = fx_target_add (name, "desk", respond);
      name[0] = 'a';
      fx_target_add (name, "pool", stream_old);
      name[0] = 'b';
      fx_target_restart (fx_target_add (name, "pool", stream_new), "v2");
      g_free (name);
    }
  fx_sleep_ms (APPLY_MS);
}

/* Sends the request TEXT to ROUTER.  Returns the response.  */
static char *
exchange (int router, const char *text)
{
  int fd = fx_router_connect (router);

  fx_send (fd, text);
  return fx_read_all (fd);
}

static int
is_served (int router, const char *text)
{
  char *response = exchange (router, text);
  int served = g_str_has_prefix (response, "HTTP/1.1 200");

  g_free (response);
  return served;
}

/* Cuts ROUTER off, and has it notice that.  */
static void
cut_off (int router)
{
  fx_router_set_paths (router, PROXY_CUT_RESET);
  for (int ms = 0; ms < FOUND_MS
                   && fx_router_metric (router, "ibisloom_cut_off_total") < 2;
       ms += STEP_MS)
    {
      (void)is_served (router, GET_MAP ("cut"));
      (void)is_served (router, POST_RULES ("cut"));
      fx_sleep_ms (STEP_MS);
    }
  CU_ASSERT_EQUAL (fx_router_metric (router, "ibisloom_cut_off_total"), 2);
}

/* Returns the router other than the first that has a request in progress.  */
static int
find_receiver (void)
{
  int router = 1;

  while (router < ROUTERS - 1
         && fx_router_metric (router, "ibisloom_open_requests") == 0)
    router++;
  return router;
}

/* Checks that a call that may run once is lost and runs once if the instance
   that it went through gets the signal NUMBER.  */
static void
expect_one_run (int number)
{
  gint64 sent_us;
  char *response;
  int before;
  int fd;

  start (1);
  cut_off (0);
  before = g_atomic_int_get (&runs);
  g_atomic_int_set (&is_slow, 1);
  sent_us = g_get_monotonic_time ();
  fd = fx_router_connect (0);
  fx_send (fd, POST_FEE ("once"));
  fx_sleep_ms (SLOW_MS / 4);
  CU_ASSERT_EQUAL (g_atomic_int_get (&runs), before + 1);
  fx_router_signal (find_receiver (), number);
  response = fx_read_all (fd);
  CU_ASSERT_TRUE (g_str_has_prefix (response, "HTTP/1.1 502"));
  CU_ASSERT_TRUE (g_get_monotonic_time () - sent_us < LOST_MS * 1000LL);
  g_free (response);
  fx_sleep_ms (SLOW_MS);
  CU_ASSERT_EQUAL (g_atomic_int_get (&runs), before + 1);
  fx_env_stop ();
}

static void
call_runs_once_when_the_instance_is_killed (void)
{
  expect_one_run (SIGKILL);
}

static void
call_runs_once_when_the_instance_freezes (void)
{
  expect_one_run (SIGSTOP);
}

static void
client_that_leaves_ends_the_run (void)
{
  int fd;

  start (1);
  cut_off (0);
  g_atomic_int_set (&is_slow, 1);
  fd = fx_router_connect (0);
  fx_send (fd, GET_MAP ("leaves"));
  fx_sleep_ms (SLOW_MS / 4);
  CU_ASSERT_EQUAL (g_atomic_int_get (&abandoned), 0);
  close (fd);
  fx_sleep_ms (SLOW_MS / 4);
  CU_ASSERT_EQUAL (g_atomic_int_get (&abandoned), 1);
  fx_env_stop ();
}

/* Guards against two targets that work on one request, as its sender no longer
   hears the instance that runs it.  */
static void
lost_sender_ends_the_run (void)
{
  int plan_fd;
  int rules_fd;

  start (1);
  cut_off (0);
  g_atomic_int_set (&is_slow, 1);
  plan_fd = fx_router_connect (0);
  fx_send (plan_fd, POST_PLAN ("plan"));
  rules_fd = fx_router_connect (0);
  fx_send (rules_fd, POST_RULES ("rules"));
  fx_sleep_ms (SLOW_MS / 4);
  CU_ASSERT_EQUAL (g_atomic_int_get (&abandoned), 0);
  fx_router_signal (0, SIGSTOP);
  fx_sleep_ms (ENDED_MS);
  /* Not the stream that may not be resumed: nobody sends it again.  */
  CU_ASSERT_EQUAL (g_atomic_int_get (&abandoned), 1);
  fx_router_signal (0, SIGCONT);
  close (plan_fd);
  close (rules_fd);
  fx_env_stop ();
}

static void
stream_goes_on_through_another_instance (void)
{
  char *response;
  int fd;

  start (1);
  cut_off (0);
  fd = fx_router_connect (0);
  fx_send (fd, POST_PLAN ("stream"));
  fx_sleep_ms (SLOW_MS / 4);
  fx_router_signal (find_receiver (), SIGKILL);
  response = fx_read_all (fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "id: 5"));
  CU_ASSERT_TRUE ((strstr (response, "old1") != NULL)
                  == (strstr (response, "old5") != NULL));
  CU_ASSERT_TRUE ((strstr (response, "new1") != NULL)
                  == (strstr (response, "new5") != NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "\r\n0\r\n"));
  g_free (response);
  fx_env_stop ();
}

static void
outsiders_have_no_hops (void)
{
  static const char mark[] = "Ibisloom-Hop: 1 1 1 0 0 1 0 0 0 0 desk -\r\n";
  char *text = g_strdup_printf ("GET /map/1 HTTP/1.1\r\nHost: shop.example\r\n"
                                "X-Ibisloom-Attempt-Id: o1\r\nConnection: "
                                "close\r\n%s\r\n",
                                mark);
  char *response;
  char *seen;
  int fd;

  start (0);
  fd = fx_router_connect_peer (1);
  fx_send (fd, text);
  response = fx_read_all (fd);
  CU_ASSERT_TRUE (g_str_has_prefix (response, "HTTP/1.1 404"));
  CU_ASSERT_EQUAL (g_atomic_int_get (&runs), 0);
  g_free (response);
  g_free (text);
  text = g_strdup_printf (REQUEST_HEAD ("GET", "/map/1", "o2") "%s\r\n", mark);
  for (int i = 0; i < TARGETS * TARGETS; i++)
    CU_ASSERT_TRUE (is_served (1, text));
  seen = fx_target_last_request (last_desk);
  CU_ASSERT_PTR_NULL (strstr (seen, "Ibisloom-Hop"));
  g_free (seen);
  g_free (text);
  fx_env_stop ();
}

static void
instances_all_cut_off_refuse_and_return (void)
{
  int before;

  start (ROUTERS);
  for (int i = 0; i < ROUTERS; i++)
    cut_off (i);
  before = g_atomic_int_get (&runs);
  for (int i = 0; i < ROUTERS; i++)
    {
      gint64 sent_us = g_get_monotonic_time ();
      char *response = exchange (i, POST_FEE ("refused"));

      CU_ASSERT_TRUE (g_str_has_prefix (response, "HTTP/1.1 503"));
      CU_ASSERT_PTR_NULL (strstr (response, "Ibisloom-Hop"));
      CU_ASSERT_TRUE (g_get_monotonic_time () - sent_us < REFUSED_MS * 1000LL);
      g_free (response);
    }
  CU_ASSERT_EQUAL (g_atomic_int_get (&runs), before);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_set_paths (i, PROXY_PASS);
  fx_sleep_ms (FOUND_MS);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT_TRUE (is_served (i, POST_FEE ("served")));
  fx_env_stop ();
}

static void
paths_that_return_are_used (void)
{
  long hops;

  start (1);
  for (int i = 0; i < ROUTERS * TARGETS; i++)
    CU_ASSERT_TRUE (is_served (i % ROUTERS, GET_MAP ("calm")));
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_hops_sent_total"), 0);
  cut_off (0);
  CU_ASSERT_TRUE (is_served (0, GET_MAP ("cut")));
  hops = fx_router_metric (0, "ibisloom_hops_sent_total");
  CU_ASSERT_TRUE (hops > 0);
  fx_router_set_paths (0, PROXY_PASS);
  fx_sleep_ms (FOUND_MS);
  for (int i = 0; i < ROUTERS * TARGETS; i++)
    CU_ASSERT_TRUE (is_served (0, GET_MAP ("direct")));
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_hops_sent_total"), hops);
  fx_env_stop ();
}
