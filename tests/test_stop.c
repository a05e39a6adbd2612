/* Planned stops of a router in calm: each request that it takes gets an
   answer, however late it comes and whatever its target does.  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  /* With GRACE_S, the router answers what is in progress at LAST_ANSWER_MS
     after the signal, and ends 250 ms later.  */
  LAST_ANSWER_MS = 3250,
  OPEN_MS = 2800,    /* after the signal, when requests are sent */
  CONNECT_MS = 3100, /* the same, of those that are connecting then */
  OPEN_STEP_MS = 10,
  LATE_STEP_MS = 12, /* between responses from LAST_ANSWER_MS on */
  FIRST_MS = 2600,   /* after the signal, of the late requests */
  INTERVAL_MS = 100,
  APPLY_MS = 300, /* until the settings are reloaded */
  REQUESTS = 30,
  TARGETS = 30,    /* so that some are left that no request suspended */
  HANG_MS = 20000, /* longer than any deadline */
  EVENTS = 5,
  EVENT_MS = 588, /* between events: a stream takes 2.94 s */
  SLOW_MS = 2900  /* a little less than the deadline */
};

static void late_requests_are_answered (void);
static void late_unrepeatable_requests_run_or_are_refused (void);
static void late_streams_end_or_are_refused (void);
static void responses_after_the_last_answers_reach_nobody (void);
static void connections_after_the_last_answers_are_not_used (void);

static const struct test_case cases[] = {
  { "requests that come late in a stop are answered",
    late_requests_are_answered },
  { "requests that may not be repeated are answered by their targets or "
    "refused",
    late_unrepeatable_requests_run_or_are_refused },
  { "streams that come late run to their end or are refused",
    late_streams_end_or_are_refused },
  { "a response that comes after the router's own answer does no harm",
    responses_after_the_last_answers_reach_nobody },
  { "a connection that is pending at the router's own answer is not used",
    connections_after_the_last_answers_are_not_used },
};

TEST_MAIN ("stop", cases)

/* A client's late request. */
struct late
{
  int fd;
  const char *text;
  char *response;
  pthread_t reader;
};

static struct late late[REQUESTS];
static volatile int hang_ms;
static gint64 signalled_us;
static gint responses;

/* Handler of targets: responds after hang_ms.  */
static int
respond_late (const struct fx_request *request)
{
  fx_sleep_ms (hang_ms);
  return shop_respond_ok (request);
}

/* Waits until MS after the signal.  */
static void
wait_until_ms (int ms)
{
  gint64 left_us = signalled_us + ms * 1000LL - g_get_monotonic_time ();

  if (left_us > 0)
    g_usleep ((gulong)left_us);
}

/* Handler of targets: responds in turn, from the time at which the router
   answers itself what is in progress.  */
static int
respond_after_last_answer (const struct fx_request *request)
{
  int number = g_atomic_int_add (&responses, 1);

  wait_until_ms (LAST_ANSWER_MS + number * LATE_STEP_MS);
  return shop_respond_ok (request);
}

/* Client: reads the response to the request CLOSURE.  */
static void *
read_response (void *closure)
{
  struct late *request = closure;

  request->response = fx_read_all (request->fd);
  return NULL;
}

/* Sends the router SIGTERM.  */
static void
start_stop (void)
{
  memset (late, 0, sizeof late);
  fx_signal (SIGTERM);
  signalled_us = g_get_monotonic_time ();
}

/* Sends TEXT as request INDEX.  */
static void
send_one (int index, const char *text)
{
  late[index].fd = fx_connect ();
  late[index].text = text;
  fx_write (late[index].fd, text);
  pthread_create (&late[index].reader, NULL, read_response, &late[index]);
}

/* Waits for the responses to all requests.  */
static void
join_readers (void)
{
  for (int i = 0; i < REQUESTS; i++)
    pthread_join (late[i].reader, NULL);
}

/* Has the router stop within a grace period of 4 s, and sends it requests from
   OPEN_MS on, all but the first, which keeps it from an early exit, after
   PROXY, if there is one, has cut their target off.  */
static void
send_before_last_answer (struct proxy *proxy, int open_ms)
{
  fx_write_settings ("grace_s: 4\n");
  fx_signal (SIGHUP);
  fx_sleep_ms (APPLY_MS);
  start_stop ();
  wait_until_ms (FIRST_MS - INTERVAL_MS);
  send_one (0, POST_PLAN ("p"));
  wait_until_ms (open_ms);
  if (proxy != NULL)
    proxy_set_mode (proxy, PROXY_CUT_SILENT, 0);
  for (int i = 1; i < REQUESTS; i++)
    {
      send_one (i, GET_MAP ("r"));
      fx_sleep_ms (OPEN_STEP_MS);
    }
}

/* Stops the router and sends it TEXTS in turn from FIRST_MS on.  The last ones
   are sent while it still works on earlier ones.  */
static void
send_late (const char *const *texts, int count)
{
  start_stop ();
  fx_sleep_ms (FIRST_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      send_one (i, texts[i % count]);
      fx_sleep_ms (INTERVAL_MS);
    }
  join_readers ();
}

/* Counts the late requests, and frees their responses: ANSWERED receives those
   with a response, REFUSED those told that they have not run.  */
static void
count_responses (int *answered, int *refused)
{
  *answered = 0;
  *refused = 0;
  for (int i = 0; i < REQUESTS; i++)
    {
      *answered += g_str_has_prefix (late[i].response, "HTTP/1.1 ");
      *refused += g_str_has_prefix (late[i].response, "HTTP/1.1 503 ");
      g_free (late[i].response);
      close (late[i].fd);
    }
}

/* Targets that hang: what was passed on is answered before the process ends,
   the rest is refused.  */
static void
late_requests_are_answered (void)
{
  static const char *const texts[] = { GET_MAP ("r"), POST_FEE ("f") };
  int answered;
  int refused;

  hang_ms = HANG_MS;
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", respond_late);
      g_free (id);
    }
  fx_env_start (shop_config);
  send_late (texts, G_N_ELEMENTS (texts));
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  count_responses (&answered, &refused);
  CU_ASSERT_EQUAL (answered, REQUESTS);
  CU_ASSERT (refused < REQUESTS);
  fx_env_stop ();
}

/* Targets that need nearly the whole deadline: no client is left not knowing
   whether its request ran.  */
static void
late_unrepeatable_requests_run_or_are_refused (void)
{
  static const char *const texts[] = { POST_FEE ("f") };
  struct fx_target *target;
  int answered;
  int refused;

  hang_ms = SLOW_MS;
  target = fx_target_add ("i-1", "desk", respond_late);
  fx_env_start (shop_config);
  send_late (texts, G_N_ELEMENTS (texts));
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  count_responses (&answered, &refused);
  CU_ASSERT_EQUAL (answered, REQUESTS);
  CU_ASSERT_EQUAL (refused, REQUESTS - fx_target_request_count (target));
  fx_env_stop ();
}

/* Handler of targets: a stream whose first event comes soon, and whose last
   one late.  */
static int
stream_slowly (const struct fx_request *request)
{
  shop_start_stream (request);
  for (int i = 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 0;
}

/* Guards against streams that are taken since they begin soon, and cut when
   the process ends.  */
static void
late_streams_end_or_are_refused (void)
{
  static const char *const texts[] = { POST_PLAN ("s") };
  GString *config = g_string_new (shop_config);
  int whole = 0;
  int answered;
  int refused;

  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("p-%d", i);

      fx_target_add (id, "pool", stream_slowly);
      g_free (id);
    }
  g_string_replace (config, "\"target_latency_ms\":800",
                    "\"target_latency_ms\":400", 1);
  fx_env_start (config->str);
  send_late (texts, G_N_ELEMENTS (texts));
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  for (int i = 0; i < REQUESTS; i++)
    whole += strstr (late[i].response, "data: e5") != NULL
             && g_str_has_suffix (late[i].response, "\r\n0\r\n\r\n");
  count_responses (&answered, &refused);
  CU_ASSERT (whole > 0);
  CU_ASSERT_EQUAL (whole + refused, REQUESTS);
  fx_env_stop ();
  g_string_free (config, TRUE);
}

/* Checks that the router ends in order after its clients, whose connections
   stay open until then, got an answer each.  */
static void
expect_orderly_exit (void)
{
  int answered;
  int refused;

  join_readers ();
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  count_responses (&answered, &refused);
  CU_ASSERT_EQUAL (answered, REQUESTS);
  fx_env_stop ();
}

/* Responses to requests that the router has answered itself: it has ended
   their calls with them (SIGSEGV before).  */
static void
responses_after_the_last_answers_reach_nobody (void)
{
  g_atomic_int_set (&responses, 0);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", respond_after_last_answer);
      g_free (id);
    }
  fx_target_add ("p-1", "pool", respond_after_last_answer);
  fx_env_start (shop_config);
  send_before_last_answer (NULL, OPEN_MS);
  expect_orderly_exit ();
}

/* The same for calls that are still connecting.  */
static void
connections_after_the_last_answers_are_not_used (void)
{
  struct fx_target *target;
  struct proxy *proxy;

  g_atomic_int_set (&responses, 0);
  target = fx_target_add ("d-1", "desk", respond_after_last_answer);
  proxy = fx_target_add_proxy (target);
  fx_target_add ("p-1", "pool", respond_after_last_answer);
  fx_env_start (shop_config);
  send_before_last_answer (proxy, CONNECT_MS);
  wait_until_ms (LAST_ANSWER_MS);
  expect_orderly_exit ();
  CU_ASSERT_EQUAL (fx_target_request_count (target), 0);
}
