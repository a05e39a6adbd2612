/* End-to-end tests of targets that fall silent and go on, or freeze, and of
   routers that stand still for a time. */
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  SILENCE_MS = 1600,
  STREAMS = 40,
  TARGETS = 4,
  EVENTS = 16,
  EVENT_PAUSE_MS = 50,
  SILENT_FROM_MS = 400,
  EVENTS_BEFORE_FREEZE = 2,
  FROZEN_MAX_MS = 1900, /* the read timeout, twice the time for a response */
  OVERLAP_MAX_MS = 400, /* two targets may work on a request for so long */
  READ_MAX_MS = 1300,
  WATCH_START_MS = 1500, /* until a started router watches the store */
  IDLE_MS = 1000,        /* after which kept connections are closed */
  DRAIN_MS = 4000,       /* by then a shutdown closes them */
  SETTLE_MS = 100,
  READS = 20
};

static void silence_beside_configuration_change_loses_no_stream (void);
static void silence_before_first_event_loses_no_stream (void);
static void silence_of_only_target_loses_no_read (void);
static void silence_with_refusing_target_loses_no_stream (void);
static void silence_with_resetting_target_loses_no_stream (void);
static void silence_with_unreachable_target_loses_no_stream (void);
static void events_after_silence_come_once (void);
static void end_after_silence_comes_once (void);
static void frozen_target_is_left_mid_stream (void);
static void frozen_target_is_left_by_reads (void);
static void silent_target_is_released_for_replacement (void);
static void silence_of_all_targets_ends_with_it (void);
static void broken_stream_goes_on_after_a_refusal (void);
static void events_before_a_faulty_one_are_not_lost (void);
static void request_on_kept_connection_outlives_idle_time (void);
static void request_on_kept_connection_outlives_drain (void);
static void request_behind_a_stream_outlives_shutdown (void);
static void standing_router_does_not_replace_targets (void);
static void target_gets_requests_again_after_silence (void);

static const struct test_case cases[] = {
  { "a silence beside a configuration change loses no stream",
    silence_beside_configuration_change_loses_no_stream },
  { "a silence before the first event loses no stream",
    silence_before_first_event_loses_no_stream },
  { "a silence of the only target loses no read",
    silence_of_only_target_loses_no_read },
  { "a silence while the other target refuses loses no stream",
    silence_with_refusing_target_loses_no_stream },
  { "a silence while the other target resets loses no stream",
    silence_with_resetting_target_loses_no_stream },
  { "a silence while the other target is unreachable loses no stream",
    silence_with_unreachable_target_loses_no_stream },
  { "events of a target that goes on beside its replacement come once",
    events_after_silence_come_once },
  { "the end of a stream that comes beside a replacement ends it",
    end_after_silence_comes_once },
  { "a target that freezes in a stream is left for another",
    frozen_target_is_left_mid_stream },
  { "a frozen target is left for another by reads",
    frozen_target_is_left_by_reads },
  { "a silent target does not work on beside its replacement",
    silent_target_is_released_for_replacement },
  { "requests are taken again when a silence of all targets ends",
    silence_of_all_targets_ends_with_it },
  { "a broken stream that the next target refuses goes on at another",
    broken_stream_goes_on_after_a_refusal },
  { "events that come with one that is out of order are not lost",
    events_before_a_faulty_one_are_not_lost },
  { "a request that waits on a kept connection outlives its idle time",
    request_on_kept_connection_outlives_idle_time },
  { "a request that waits on a kept connection outlives a shutdown's drain",
    request_on_kept_connection_outlives_drain },
  { "a request that was read behind a stream outlives a shutdown's start",
    request_behind_a_stream_outlives_shutdown },
  { "a router that stood still does not replace targets that went on",
    standing_router_does_not_replace_targets },
  { "a target that fell silent gets requests again beside another",
    target_gets_requests_again_after_silence },
};

TEST_MAIN ("silence", cases)

#define KEPT_GET_MAP(id)                                                      \
  "GET /map/1 HTTP/1.1\r\nHost: shop.example\r\n"                             \
  "X-Ibisloom-Attempt-Id: " id "\r\n"                                         \
  "X-Ibisloom-Deadline-Remaining: 4000\r\n"                                   \
  "Authorization: Token key-1\r\n\r\n"

#define KEPT_POST_PLAN(id)                                                    \
  "POST /plan/1 HTTP/1.1\r\nHost: shop.example\r\n"                           \
  "X-Ibisloom-Attempt-Id: " id "\r\n"                                         \
  "X-Ibisloom-Deadline-Remaining: 4000\r\n"                                   \
  "Authorization: Token key-1\r\nContent-Length: 4\r\n\r\nplan"

static gint whole;                     /* streams that came whole */
static gint64 replaced_us;             /* when the replacement was sent */
static gint64 released_us;             /* when the silent target was left */
static struct fx_target *first_target; /* that falls silent or freezes */

/* Writes the events of a stream, one each EVENT_PAUSE_MS.  */
static int
stream_slowly (const struct fx_request *request)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");

  shop_start_stream (request);
  for (int i = after ? atoi (after) + 1 : 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_PAUSE_MS);
    }
  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (after);
  return 1;
}

/* Writes all events of a stream at once, and its end later.  */
static int
end_late (const struct fx_request *request)
{
  shop_start_stream (request);
  shop_write_events (request, 1, EVENTS);
  fx_sleep_ms (2 * SETTLE_MS);
  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

static int
refuse (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 503 Service Unavailable\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
      id);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
  return 1;
}

static int
reset (const struct fx_request *request)
{
  fx_reset_on_close (request->fd);
  return 0;
}

/* Waits until the router closes the connection of REQUEST.  */
static void
wait_for_close (const struct fx_request *request)
{
  struct pollfd event = { .fd = request->fd, .events = POLLIN };
  char byte;

  while (poll (&event, 1, 10000) > 0 && read (request->fd, &byte, 1) > 0)
    continue;
}

/* Writes the first events and then nothing until the router leaves.  */
static int
freeze_mid_stream (const struct fx_request *request)
{
  shop_start_stream (request);
  shop_write_events (request, 1, EVENTS_BEFORE_FREEZE);
  wait_for_close (request);
  released_us = g_get_monotonic_time ();
  return 0;
}

static int
respond_never (const struct fx_request *request)
{
  wait_for_close (request);
  return 0;
}

/* Breaks off the first stream after some events, and writes the others
   whole.  */
static int
break_first_stream (const struct fx_request *request)
{
  if (request->number > 1)
    return stream_slowly (request);
  shop_start_stream (request);
  shop_write_events (request, 1, EVENTS_BEFORE_FREEZE);
  fx_sleep_ms (SILENT_FROM_MS);
  return 0;
}

/* Writes an event in one piece with one that repeats an earlier one, then, to
   the next request, the rest.  */
static int
repeat_event (const struct fx_request *request)
{
  if (request->number > 1)
    return stream_slowly (request);
  shop_start_stream (request);
  shop_write_events (request, 1, 1);
  fx_sleep_ms (SETTLE_MS);
  shop_write_chunk (request, "id: 2\ndata: e2\n\nid: 1\ndata: e1\n\n");
  wait_for_close (request);
  return 0;
}

/* Takes a request, and writes nothing for longer than two targets may work on
   it.  */
static int
stream_late (const struct fx_request *request)
{
  replaced_us = g_get_monotonic_time ();
  fx_sleep_ms (2 * OVERLAP_MAX_MS);
  return stream_slowly (request);
}

/* Lets the first target go on, and writes nothing before that.  */
static int
wake_first_target (const struct fx_request *request)
{
  fx_target_fall_silent (first_target, 0);
  wait_for_close (request);
  return 0;
}

/* Returns whether RESPONSE has each event once, in order, and its end.  */
static int
is_whole (const char *response)
{
  const char *at = response;

  for (int i = 1; i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);
      const char *found = strstr (at, event);

      if (found == NULL || strstr (found + 1, event) != NULL)
        at = NULL;
      else
        at = found + 1;
      g_free (event);
      if (at == NULL)
        return 0;
    }
  return g_str_has_suffix (response, "0\r\n\r\n")
         && strstr (response, "busy") == NULL;
}

static void *
read_stream (void *closure)
{
  char *response = fx_exchange (POST_PLAN ("p1"));

  (void)closure;
  if (is_whole (response))
    g_atomic_int_inc (&whole);
  else
    printf ("not whole, ends in: %.160s\n",
            response
                + (strlen (response) > 160 ? strlen (response) - 160 : 0));
  g_free (response);
  return NULL;
}

static void
start_streams (pthread_t *threads, int count)
{
  g_atomic_int_set (&whole, 0);
  for (int i = 0; i < count; i++)
    CU_ASSERT_EQUAL_FATAL (
        pthread_create (&threads[i], NULL, read_stream, NULL), 0);
}

static void
expect_whole_streams (pthread_t *threads, int count)
{
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
  CU_ASSERT_EQUAL (g_atomic_int_get (&whole), count);
}

/* Returns the configuration with TEXT in place of OLD, newly allocated.  */
static char *
config_with (const char *old, const char *text)
{
  char **halves = g_strsplit (shop_config, old, 2);
  char *config = g_strjoinv (text, halves);

  g_strfreev (halves);
  return config;
}

static void
change_configuration (void)
{
  char *config = config_with ("\"version\":3", "\"version\":4");

  fx_store_put ("config", "main", config);
  g_free (config);
}

/* Starts a router and a target of SERVICE with HANDLER.  */
static void
start_first_target (const char *service, fx_handler_fn handler)
{
  first_target = fx_target_add ("i-1", service, handler);
  fx_env_start (shop_config);
  fx_sleep_ms (WATCH_START_MS);
}

/* Has a stream at the only target, which then falls silent for SILENCE_MS
   while there is another target with HANDLER.  */
static void
expect_stream_beside (fx_handler_fn handler)
{
  pthread_t thread;

  start_first_target ("pool", stream_slowly);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  fx_target_add ("i-2", "pool", handler);
  fx_target_fall_silent (first_target, SILENCE_MS);
  expect_whole_streams (&thread, 1);
}

static void
silence_beside_configuration_change_loses_no_stream (void)
{
  struct fx_target *targets[TARGETS];
  pthread_t threads[STREAMS];

  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = fx_target_add (id, "pool", stream_slowly);
      g_free (id);
    }
  fx_env_start (shop_config);
  start_streams (threads, STREAMS);
  fx_sleep_ms (SILENT_FROM_MS);
  for (int i = 0; i < TARGETS; i++)
    fx_target_fall_silent (targets[i], SILENCE_MS);
  change_configuration ();
  expect_whole_streams (threads, STREAMS);
  fx_env_stop ();
}

static void
silence_before_first_event_loses_no_stream (void)
{
  pthread_t thread;

  start_first_target ("pool", stream_slowly);
  fx_target_fall_silent (first_target, SILENCE_MS + SILENT_FROM_MS);
  start_streams (&thread, 1);
  expect_whole_streams (&thread, 1);
  fx_env_stop ();
}

static void
silence_of_only_target_loses_no_read (void)
{
  start_first_target ("desk", shop_respond_ok);
  fx_target_fall_silent (first_target, SILENCE_MS);
  shop_expect (GET_MAP ("m1"), "200", "well");
  fx_env_stop ();
}

static void
silence_with_refusing_target_loses_no_stream (void)
{
  expect_stream_beside (refuse);
  fx_env_stop ();
}

static void
silence_with_resetting_target_loses_no_stream (void)
{
  expect_stream_beside (reset);
  fx_env_stop ();
}

static void
silence_with_unreachable_target_loses_no_stream (void)
{
  pthread_t thread;
  struct fx_target *second;

  start_first_target ("pool", stream_slowly);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  second = fx_target_add ("i-2", "pool", stream_slowly);
  fx_target_crash (second);
  fx_target_fall_silent (first_target, SILENCE_MS);
  expect_whole_streams (&thread, 1);
  fx_env_stop ();
}

static void
events_after_silence_come_once (void)
{
  pthread_t thread;
  struct fx_target *second;

  start_first_target ("pool", stream_slowly);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  second = fx_target_add ("i-2", "pool", wake_first_target);
  fx_target_fall_silent (first_target, 2 * SILENCE_MS);
  expect_whole_streams (&thread, 1);
  CU_ASSERT_EQUAL (fx_target_request_count (second), 1);
  CU_ASSERT_EQUAL (fx_target_request_count (first_target), 1);
  fx_env_stop ();
}

static void
end_after_silence_comes_once (void)
{
  pthread_t thread;

  start_first_target ("pool", end_late);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  fx_target_add ("i-2", "pool", wake_first_target);
  fx_target_fall_silent (first_target, 2 * SILENCE_MS);
  expect_whole_streams (&thread, 1);
  CU_ASSERT (!fx_router_has_ended (0));
  fx_env_stop ();
}

static void
frozen_target_is_left_mid_stream (void)
{
  pthread_t thread;
  gint64 started_us;

  start_first_target ("pool", freeze_mid_stream);
  started_us = g_get_monotonic_time ();
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  fx_target_add ("i-2", "pool", stream_slowly);
  expect_whole_streams (&thread, 1);
  CU_ASSERT (g_get_monotonic_time () - started_us
             < (FROZEN_MAX_MS + EVENTS * EVENT_PAUSE_MS) * 1000);
  fx_env_stop ();
}

static void
frozen_target_is_left_by_reads (void)
{
  gint64 started_us;

  first_target = fx_target_add ("i-1", "desk", respond_never);
  fx_target_add ("i-2", "desk", shop_respond_ok);
  fx_env_start (shop_config);
  for (int i = 0; i < 6; i++)
    {
      started_us = g_get_monotonic_time ();
      shop_expect (GET_MAP ("m1"), "200", "well");
      CU_ASSERT (g_get_monotonic_time () - started_us < READ_MAX_MS * 1000);
    }
  CU_ASSERT (fx_target_request_count (first_target) <= 2);
  fx_env_stop ();
}

static void
silent_target_is_released_for_replacement (void)
{
  pthread_t thread;

  released_us = 0;
  start_first_target ("pool", freeze_mid_stream);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  fx_target_add ("i-2", "pool", stream_late);
  expect_whole_streams (&thread, 1);
  CU_ASSERT (released_us > 0);
  CU_ASSERT (released_us - replaced_us < OVERLAP_MAX_MS * 1000);
  fx_env_stop ();
}

static void
silence_of_all_targets_ends_with_it (void)
{
  struct fx_target *targets[TARGETS];
  pthread_t threads[STREAMS];

  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = fx_target_add (id, "pool", stream_slowly);
      g_free (id);
    }
  fx_env_start (shop_config);
  start_streams (threads, STREAMS);
  fx_sleep_ms (SILENT_FROM_MS);
  for (int i = 0; i < TARGETS; i++)
    fx_target_fall_silent (targets[i], SILENCE_MS);
  fx_sleep_ms (SILENCE_MS + 2 * SETTLE_MS);
  shop_expect (POST_RULES ("r1"), "200", "data: e16\n");
  expect_whole_streams (threads, STREAMS);
  fx_env_stop ();
}

static void
broken_stream_goes_on_after_a_refusal (void)
{
  pthread_t thread;
  struct fx_target *second;

  start_first_target ("pool", break_first_stream);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  second = fx_target_add ("i-2", "pool", refuse);
  expect_whole_streams (&thread, 1);
  CU_ASSERT_EQUAL (fx_target_request_count (second), 1);
  fx_env_stop ();
}

static void
events_before_a_faulty_one_are_not_lost (void)
{
  pthread_t thread;

  start_first_target ("pool", repeat_event);
  start_streams (&thread, 1);
  expect_whole_streams (&thread, 1);
  fx_env_stop ();
}

/* Sends a request on the connection FD while the router stands still for MS
   milliseconds.  Returns the start of the response, newly allocated.  */
static char *
send_while_standing (int fd, const char *request, int ms)
{
  fx_signal (SIGSTOP);
  fx_send (fd, request);
  fx_sleep_ms (ms);
  fx_signal (SIGCONT);
  return fx_read_until (fd, "\r\n\r\n");
}

/* Starts a router with CONFIG and returns a connection that has carried a
   request.  */
static int
keep_connection (const char *config)
{
  char *response;
  int fd;

  fx_target_add ("i-1", "desk", shop_respond_ok);
  fx_env_start (config);
  fd = fx_connect ();
  fx_send (fd, KEPT_GET_MAP ("k1"));
  response = fx_read_until (fd, "well");
  g_free (response);
  return fd;
}

static void
request_on_kept_connection_outlives_idle_time (void)
{
  char *config
      = config_with ("\"idle_timeout_ms\":5000", "\"idle_timeout_ms\":1000");
  int fd = keep_connection (config);
  char *response;

  fx_sleep_ms (IDLE_MS / 2);
  response = send_while_standing (fd, KEPT_GET_MAP ("k2"), IDLE_MS);
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 200"));
  g_free (response);
  close (fd);
  g_free (config);
  fx_env_stop ();
}

static void
request_on_kept_connection_outlives_drain (void)
{
  int fd = keep_connection (shop_config);
  char *response;

  fx_signal (SIGTERM);
  fx_sleep_ms (SETTLE_MS);
  response = send_while_standing (fd, KEPT_GET_MAP ("k2"), DRAIN_MS);
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 200")
             || g_str_has_prefix (response, "HTTP/1.1 503"));
  g_free (response);
  close (fd);
  fx_env_stop ();
}

static void
request_behind_a_stream_outlives_shutdown (void)
{
  char *response;
  int fd;

  fx_target_add ("i-2", "desk", shop_respond_ok);
  start_first_target ("pool", stream_slowly);
  fd = fx_connect ();
  fx_send (fd, KEPT_POST_PLAN ("p1"));
  fx_sleep_ms (SETTLE_MS);
  fx_send (fd, KEPT_GET_MAP ("k2"));
  fx_sleep_ms (SETTLE_MS);
  fx_signal (SIGTERM);
  response = fx_read_all (fd);
  CU_ASSERT (strstr (response, "\r\n0\r\n\r\nHTTP/1.1 ") != NULL);
  g_free (response);
  fx_env_stop ();
}

static void
standing_router_does_not_replace_targets (void)
{
  pthread_t thread;
  struct fx_target *second;

  start_first_target ("pool", stream_slowly);
  start_streams (&thread, 1);
  fx_sleep_ms (SETTLE_MS);
  second = fx_target_add ("i-2", "pool", stream_slowly);
  fx_sleep_ms (SETTLE_MS);
  fx_signal (SIGSTOP);
  fx_sleep_ms (SILENCE_MS);
  fx_signal (SIGCONT);
  expect_whole_streams (&thread, 1);
  CU_ASSERT_EQUAL (fx_target_request_count (second), 0);
  fx_env_stop ();
}

static void
target_gets_requests_again_after_silence (void)
{
  int before;

  fx_target_add ("i-2", "desk", shop_respond_ok);
  start_first_target ("desk", shop_respond_ok);
  fx_target_fall_silent (first_target, SILENCE_MS);
  while (fx_target_request_count (first_target) == 0)
    shop_expect (GET_MAP ("m1"), "200", "well");
  fx_sleep_ms (SILENCE_MS);
  before = fx_target_request_count (first_target);
  for (int i = 0; i < READS; i++)
    shop_expect (GET_MAP ("m1"), "200", "well");
  CU_ASSERT (fx_target_request_count (first_target) > before);
  fx_env_stop ();
}
