/* End-to-end tests of targets that say in their responses that they are
   leaving, or that they want no requests for a time. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/pause.h"
#include "libfixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 2,
  START_MS = 1500,
  REPORT_EXPIRY_MS = 300, /* after which all routers know what one was told */
  WATCH_MS = 2500,
  ENTRY_MS = 1500, /* until a new entry is known */
  REFUSED_MS = 200,
  PAUSE_MS = 1500,
  GRACE_MS = 500, /* in which requests may be under way */
  LATE_MS = 700,  /* by which a target gets requests again after a pause */
  CLIENTS = 2,    /* of each router */
  CLIENT_PAUSE_MS = 10,
  ARRIVALS_MAX = 4000,
  EVENT_MS = 100,
  EVENTS = 15
};

#define REJECT "503 Busy\r\nX-Ibisloom-Not-Executed: 1"

static void leaving_target_gets_no_requests (void);
static void process_without_incarnation_is_told_apart (void);
static void notice_outlasts_entry_and_store (void);
static void stream_of_leaving_target_goes_on (void);
static void all_leaving_is_refused_at_once (void);
static void paused_target_gets_no_requests (void);
static void all_paused_is_refused_until_then (void);
static void retry_and_trial_wait_for_the_end (void);
static void odd_values_are_no_pause (void);
static void notices_are_bound_to_processes (void);

static const struct test_case cases[] = {
  { "a target that says it is leaving gets no requests, its successor does",
    leaving_target_gets_no_requests },
  { "the same, if entries do not tell processes apart",
    process_without_incarnation_is_told_apart },
  { "what a target said outlasts its entry and a restored store",
    notice_outlasts_entry_and_store },
  { "a stream whose head says that its target is leaving goes on",
    stream_of_leaving_target_goes_on },
  { "requests are refused at once if all targets are leaving",
    all_leaving_is_refused_at_once },
  { "a target that asks for a pause gets no requests until then",
    paused_target_gets_no_requests },
  { "requests are refused until the first pause ends if all are paused",
    all_paused_is_refused_until_then },
  { "a retry and a trial that come due wait for the end of a pause",
    retry_and_trial_wait_for_the_end },
  { "odd values are no pause, and a huge one is capped",
    odd_values_are_no_pause },
  { "notices are bound to processes, and pauses end step by step",
    notices_are_bound_to_processes },
};

TEST_MAIN ("leaving", cases)

/* What a target does; guarded by LOCK.  */
struct script
{
  struct fx_target *target;
  const char *head;      /* status line without the version, and more fields */
  const char *next_head; /* of all responses but the first to each router */
  int delay_ms;
  int count;
  gint64 at_us[ARRIVALS_MAX];
  int router[ARRIVALS_MAX];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct script scripts[2];
static gint stopping;
static gint numbers;
static gint refused; /* responses other than 200 */

static const char ok[] = "200 OK";
static const char leaving[] = "200 OK\r\nServer-Leaving: 1";

static struct script *
script_of (const struct fx_target *target)
{
  return &scripts[scripts[0].target == target ? 0 : 1];
}

/* Counts REQUEST, whose attempt id begins with the number of its router, and
   responds as the script of its target says.  */
static int
respond (const struct fx_request *request)
{
  struct script *script = script_of (request->target);
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  int router = atoi (id);
  const char *head;
  int delay_ms;

  pthread_mutex_lock (&lock);
  head = script->head;
  delay_ms = script->delay_ms;
  for (int i = 0; i < script->count && script->next_head != NULL; i++)
    if (script->router[i] == router)
      head = script->next_head;
  if (script->count < ARRIVALS_MAX)
    {
      script->at_us[script->count] = g_get_monotonic_time ();
      script->router[script->count++] = router;
    }
  pthread_mutex_unlock (&lock);
  fx_sleep_ms (delay_ms);
  shop_respond (request, head, "");
  g_free (id);
  return 1;
}

static void
set_script (int index, const char *head, const char *next_head, int delay_ms)
{
  pthread_mutex_lock (&lock);
  scripts[index].head = head;
  scripts[index].next_head = next_head;
  scripts[index].delay_ms = delay_ms;
  scripts[index].count = 0;
  pthread_mutex_unlock (&lock);
}

/* Starts two targets, whose entries tell their incarnations if HAS_BORN, and
   the routers.  */
static void
start_fleet (int has_born)
{
  for (int i = 0; i < 2; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      scripts[i].target = fx_target_add (id, "desk", respond);
      set_script (i, ok, NULL, 0);
      if (has_born)
        fx_target_restart (scripts[i].target, "v1");
      g_free (id);
    }
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
}

/* Sends a request to ROUTER.  Returns the response.  */
static char *
exchange (int router)
{
  char *text = g_strdup_printf (REQUEST_HEAD ("GET", "/map/1", "%d-%d") "\r\n",
                                router, g_atomic_int_add (&numbers, 1));
  int fd = fx_router_connect (router);
  char *response;

  fx_send (fd, text);
  response = fx_read_all (fd);
  g_free (text);
  if (!g_str_has_prefix (response, "HTTP/1.1 200"))
    g_atomic_int_inc (&refused);
  return response;
}

static void *
send_requests (void *closure)
{
  while (!g_atomic_int_get (&stopping))
    {
      g_free (exchange (GPOINTER_TO_INT (closure)));
      fx_sleep_ms (CLIENT_PAUSE_MS);
    }
  return NULL;
}

static pthread_t threads[ROUTERS * CLIENTS];

static void
start_clients (void)
{
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&refused, 0);
  for (int i = 0; i < ROUTERS * CLIENTS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, send_requests,
                                           GINT_TO_POINTER (i % ROUTERS)),
                           0);
}

static void
stop_clients (void)
{
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < ROUTERS * CLIENTS; i++)
    pthread_join (threads[i], NULL);
}

/* Returns how many requests of ROUTER, or of any if it is -1, the target INDEX
   got from FROM_MS to TO_MS after SINCE_US.  */
static int
count_arrivals (int index, int router, gint64 since_us, int from_ms, int to_ms)
{
  const struct script *script = &scripts[index];
  int count = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < script->count; i++)
    count
        += (router < 0 || script->router[i] == router)
           && script->at_us[i] >= since_us + from_ms * G_GINT64_CONSTANT (1000)
           && script->at_us[i] < since_us + to_ms * G_GINT64_CONSTANT (1000);
  pthread_mutex_unlock (&lock);
  return count;
}

/* Returns when the target INDEX got its first request of ROUTER, or of any if
   it is -1; 0 if it got none.  */
static gint64
first_arrival (int index, int router)
{
  gint64 at_us = 0;

  pthread_mutex_lock (&lock);
  for (int i = scripts[index].count - 1; i >= 0; i--)
    if (router < 0 || scripts[index].router[i] == router)
      at_us = scripts[index].at_us[i];
  pthread_mutex_unlock (&lock);
  return at_us;
}

/* Waits for MS and checks that the first target gets no requests then.  */
static void
expect_none (int ms)
{
  gint64 since_us = g_get_monotonic_time ();

  fx_sleep_ms (ms);
  CU_ASSERT_EQUAL (count_arrivals (0, -1, since_us, 0, ms), 0);
}

/* Waits and checks that the first target gets requests of each router.  */
static void
expect_used (void)
{
  gint64 since_us = g_get_monotonic_time ();

  fx_sleep_ms (ENTRY_MS);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT (count_arrivals (0, i, since_us, 0, ENTRY_MS) > 0);
}

/* Has one request of the first router reach the first target, which then says
   that it is leaving, so that the second router hears of it from the first
   only.  */
static void
say_leaving (void)
{
  set_script (0, leaving, NULL, 0);
  while (first_arrival (0, -1) == 0)
    g_free (exchange (0));
  CU_ASSERT_EQUAL (count_arrivals (0, -1, 0, 0, G_MAXINT), 1);
  fx_sleep_ms (REPORT_EXPIRY_MS);
}

/* Guards against a router that trusts the entry more than the target, and
   against one that avoids the next process.  */
static void
check_leaving (int has_born)
{
  start_fleet (has_born);
  say_leaving ();
  start_clients ();
  expect_none (WATCH_MS);
  fx_target_put_entry (scripts[0].target, "");
  expect_none (WATCH_MS);
  fx_router_signal (0, SIGHUP);
  expect_none (ENTRY_MS);
  CU_ASSERT_EQUAL (fx_router_metric (
                       0, "ibisloom_leaving_notices_total{from=\"response\"}"),
                   1);
  CU_ASSERT_EQUAL (
      fx_router_metric (1, "ibisloom_leaving_notices_total{from=\"peer\"}"),
      1);
  set_script (0, ok, NULL, 0);
  fx_target_restart (scripts[0].target, "v1");
  fx_sleep_ms (ENTRY_MS);
  expect_used ();
  stop_clients ();
  CU_ASSERT_EQUAL (refused, 0);
  fx_env_stop ();
}

static void
leaving_target_gets_no_requests (void)
{
  check_leaving (1);
}

static void
process_without_incarnation_is_told_apart (void)
{
  check_leaving (0);
}

/* Guards against a notice that is lost with the entry, or with what the store
   had.  A router that starts hears of it from the one that was told.  */
static void
notice_outlasts_entry_and_store (void)
{
  int copy;

  start_fleet (1);
  copy = fx_store_revision ();
  say_leaving ();
  start_clients ();
  fx_target_remove (scripts[0].target);
  fx_sleep_ms (ENTRY_MS);
  fx_target_put_entry (scripts[0].target, "");
  expect_none (WATCH_MS);
  fx_store_restore (copy);
  expect_none (WATCH_MS);
  fx_target_put_entry (scripts[0].target, "");
  expect_none (WATCH_MS);
  stop_clients ();
  fx_router_signal (0, SIGKILL);
  fx_router_wait_for_exit (0);
  fx_routers_start (1);
  fx_sleep_ms (START_MS);
  start_clients ();
  expect_none (WATCH_MS);
  stop_clients ();
  fx_env_stop ();
}

/* Streams EVENTS events slowly, with a head that says that the target is
   leaving.  */
static int
stream_leaving (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

  fx_write (request->fd, text);
  for (int i = 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  g_free (text);
  g_free (id);
  return 1;
}

/* Guards against a notice that is read only with complete responses, and one
   that breaks what runs.  */
static void
stream_of_leaving_target_goes_on (void)
{
  struct fx_target *target;
  char *response;
  int fd;

  start_fleet (1);
  target = fx_target_add ("p-0", "pool", stream_leaving);
  fx_sleep_ms (ENTRY_MS);
  fd = fx_router_connect (0);
  fx_send (fd, POST_PLAN ("s"));
  g_free (fx_read_until (fd, "data: e1\n"));
  shop_expect (POST_RULES ("t"), "503", "Retry-After: ");
  response = fx_read_all (fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: e15\n"));
  g_free (response);
  CU_ASSERT_EQUAL (fx_target_request_count (target), 1);
  fx_env_stop ();
}

static void
all_leaving_is_refused_at_once (void)
{
  gint64 since_us;
  int before;

  start_fleet (1);
  say_leaving ();
  set_script (1, leaving, NULL, 0);
  g_free (exchange (0));
  fx_sleep_ms (REPORT_EXPIRY_MS);
  before = count_arrivals (1, -1, 0, 0, G_MAXINT);
  since_us = g_get_monotonic_time ();
  for (int i = 0; i < ROUTERS; i++)
    {
      char *response = exchange (i);

      CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 503"));
      CU_ASSERT_PTR_NOT_NULL (strstr (response, "Retry-After: "));
      g_free (response);
    }
  CU_ASSERT (g_get_monotonic_time () - since_us < REFUSED_MS * 1000);
  CU_ASSERT_EQUAL (count_arrivals (1, -1, 0, 0, G_MAXINT), before);
  CU_ASSERT_EQUAL (count_arrivals (0, -1, 0, 0, G_MAXINT), 1);
  fx_env_stop ();
}

/* Guards against requests in a pause, against a pause that all instances keep
   for one, that is taken for a failure, or that does not end.  */
static void
paused_target_gets_no_requests (void)
{
  start_fleet (1);
  start_clients ();
  fx_sleep_ms (START_MS);
  set_script (0, REJECT "\r\nRetry-After: 1.5", ok, 0);
  fx_sleep_ms (GRACE_MS);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_targets_suspected"), 0);
  fx_sleep_ms (PAUSE_MS + LATE_MS);
  stop_clients ();
  for (int i = 0; i < ROUTERS; i++)
    {
      gint64 first_us = first_arrival (0, i);

      CU_ASSERT (first_us != 0);
      CU_ASSERT_EQUAL (count_arrivals (0, i, first_us, GRACE_MS, PAUSE_MS), 0);
      CU_ASSERT (count_arrivals (0, i, first_us, 0, GRACE_MS) <= 1 + CLIENTS);
      CU_ASSERT (count_arrivals (0, i, first_us, PAUSE_MS, PAUSE_MS + LATE_MS)
                 > 0);
      CU_ASSERT_EQUAL (
          fx_router_metric (i, "ibisloom_pauses_total{event=\"begun\"}"), 1);
      CU_ASSERT_EQUAL (
          fx_router_metric (i, "ibisloom_pauses_total{event=\"ended\"}"), 1);
    }
  CU_ASSERT_EQUAL (refused, 0);
  fx_env_stop ();
}

/* Guards against clients that come back before a target takes them, or all at
   once, and against requests that wait or run.  */
static void
all_paused_is_refused_until_then (void)
{
  double lowest = G_MAXDOUBLE;
  double highest = 0;
  gint64 since_us;

  start_fleet (1);
  set_script (0, REJECT "\r\nRetry-After: 3", NULL, 0);
  set_script (1, REJECT "\r\nRetry-After: 1.5", ok, 0);
  while (first_arrival (0, 0) == 0 || first_arrival (1, 0) == 0)
    g_free (exchange (0));
  since_us = g_get_monotonic_time ();
  for (int i = 0; i < 20; i++)
    {
      char *response = exchange (0);
      char *value = fx_header_value (response, "Retry-After");
      double left_s = (double)(first_arrival (1, 0) + PAUSE_MS * 1000
                               - g_get_monotonic_time ())
                      / G_USEC_PER_SEC;
      double after_s = value != NULL ? g_ascii_strtod (value, NULL) : 0;

      CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 503"));
      CU_ASSERT (after_s >= left_s);
      CU_ASSERT (after_s <= 2 * PAUSE_MS / 1000.0);
      lowest = MIN (lowest, after_s);
      highest = MAX (highest, after_s);
      g_free (value);
      g_free (response);
    }
  CU_ASSERT (g_get_monotonic_time () - since_us < 2 * REFUSED_MS * 1000);
  CU_ASSERT (highest - lowest > 0.3);
  CU_ASSERT (fx_router_metric (0, "ibisloom_refused_total{reason=\"paused\"}")
             >= 20);
  fx_sleep_ms (PAUSE_MS);
  shop_expect (GET_MAP ("0-e"), "200", "");
  CU_ASSERT_EQUAL (count_arrivals (0, 0, 0, 0, G_MAXINT), 1);
  fx_env_stop ();
}

/* Sends a request to the first router.  */
static void *
send_one (void *closure)
{
  (void)closure;
  g_free (exchange (0));
  return NULL;
}

/* Guards against a suspension that ends in a trial during the pause, and a
   retry that has no other target.  The first target turns two requests away,
   one without and one with a pause; then the other responds with errors.  */
static void
retry_and_trial_wait_for_the_end (void)
{
  pthread_t senders[8];
  gint64 paused_us;

  start_fleet (1);
  set_script (0, REJECT, REJECT "\r\nRetry-After: 1.5", 100);
  set_script (1, ok, NULL, 100);
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&senders[i], NULL, send_one, NULL),
                           0);
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    pthread_join (senders[i], NULL);
  paused_us = g_get_monotonic_time ();
  CU_ASSERT (count_arrivals (0, 0, 0, 0, G_MAXINT) >= 2);
  set_script (0, ok, NULL, 0);
  set_script (1, "500 Error", NULL, 0);
  while (g_get_monotonic_time () - paused_us < PAUSE_MS * 800)
    {
      g_free (exchange (0));
      fx_sleep_ms (CLIENT_PAUSE_MS);
    }
  CU_ASSERT_EQUAL (count_arrivals (0, 0, 0, 0, G_MAXINT), 0);
  CU_ASSERT (count_arrivals (1, 0, 0, 0, G_MAXINT) > 0);
  fx_sleep_ms (PAUSE_MS / 2);
  for (int i = 0; i < 20; i++)
    g_free (exchange (0));
  CU_ASSERT (count_arrivals (0, 0, 0, 0, G_MAXINT) > 0);
  fx_env_stop ();
}

/* Guards against a pause for what does not ask for one, and one for hours.  */
static void
odd_values_are_no_pause (void)
{
  static const char *const values[]
      = { "",
          "\r\nRetry-After: -1",
          "\r\nRetry-After: soon",
          "\r\nRetry-After: 1.5 s",
          "\r\nRetry-After: 0",
          "\r\nRetry-After: inf",
          "\r\nRetry-After: 0x10",
          "\r\nRetry-After: 1e3",
          "\r\nRetry-After: Wed, 21 Oct 2026 07:28:00 GMT" };
  char *head;

  start_fleet (1);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      head = g_strconcat (REJECT, values[i], NULL);
      set_script (0, head, NULL, 0);
      while (first_arrival (0, 0) == 0)
        g_free (exchange (0));
      set_script (0, ok, NULL, 0);
      g_free (head);
    }
  CU_ASSERT_EQUAL (
      fx_router_metric (0, "ibisloom_pauses_total{event=\"begun\"}"), 0);
  set_script (0, REJECT "\r\nRetry-After: 99999999999999999999999", NULL, 0);
  while (first_arrival (0, 0) == 0)
    g_free (exchange (0));
  CU_ASSERT_EQUAL (
      fx_router_metric (0, "ibisloom_pauses_total{event=\"capped\"}"), 1);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_targets_paused"), 1);
  set_script (0, ok, NULL, 0);
  fx_target_restart (scripts[0].target, "v1");
  fx_sleep_ms (ENTRY_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_targets_paused"), 0);
  fx_env_stop ();
}

/* Returns whether reading an entry of the process INCARNATION, in a store of
   EPOCH, as the one numbered REPORTS, ends a notice of the process 5, of which
   the third entry was read in epoch 1; 0 stands for an incarnation that no
   entry tells.  */
static int
ends_notice (int is_told, uint64_t incarnation, uint64_t reports,
             uint64_t epoch)
{
  struct pause_notice notice = { .process = { is_told ? 5 : 0, 7, 3, 1 },
                                 .is_leaving = 1,
                                 .until_ms = 1 };
  const struct pause_process read = { incarnation, 7, reports, epoch };
  int is_other = pause_read_process (&notice, &read);

  CU_ASSERT_EQUAL (notice.is_leaving, !is_other);
  CU_ASSERT_EQUAL (notice.until_ms != 0, !is_other);
  return is_other;
}

static void
notices_are_bound_to_processes (void)
{
  struct pause_notice notice = { 0 };

  CU_ASSERT_FALSE (ends_notice (1, 5, 4, 1));
  CU_ASSERT_FALSE (ends_notice (1, 5, 1, 2));
  CU_ASSERT_FALSE (ends_notice (1, 4, 9, 2));
  CU_ASSERT_FALSE (ends_notice (1, 0, 4, 1));
  CU_ASSERT_TRUE (ends_notice (1, 6, 1, 1));
  CU_ASSERT_TRUE (ends_notice (1, 6, 1, 2));
  CU_ASSERT_TRUE (ends_notice (1, 4, 1, 1));
  CU_ASSERT_FALSE (ends_notice (0, 0, 3, 1));
  CU_ASSERT_FALSE (ends_notice (0, 0, 1, 2));
  CU_ASSERT_TRUE (ends_notice (0, 0, 1, 1));
  CU_ASSERT_TRUE (ends_notice (0, 6, 4, 1));
  CU_ASSERT_TRUE (pause_begin (&notice, 1000, 100));
  CU_ASSERT_FALSE (pause_begin (&notice, 500, 200));
  CU_ASSERT_EQUAL (pause_left_ms (&notice, 200), 900);
  CU_ASSERT_FALSE (pause_end (&notice, 1099));
  CU_ASSERT_TRUE (pause_end (&notice, 1100));
  CU_ASSERT_FALSE (pause_end (&notice, 1100));
  CU_ASSERT_FALSE (pause_restrains (&notice, 0, 1100));
  CU_ASSERT_TRUE (pause_restrains (&notice, 1, 1100));
  CU_ASSERT_TRUE (pause_restrains (&notice, 4, 1500));
  CU_ASSERT_FALSE (pause_restrains (&notice, 3, 1500));
  CU_ASSERT_FALSE (pause_restrains (&notice, 500, 2300));
  CU_ASSERT_TRUE (pause_begin (&notice, INT64_MAX, 3000));
  CU_ASSERT_EQUAL (pause_left_ms (&notice, 3000), 60000);
}
