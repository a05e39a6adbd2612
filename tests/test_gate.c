/* The gate from end to end: a real ibisloomd, scripted targets and store. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gate_fixture.h"
#include "test.h"

#define HEAD(method, path, id)                                                \
  method " " path " HTTP/1.1\r\nHost: shop.example\r\n"                       \
         "X-Ibisloom-Attempt-Id: " id "\r\n"                                  \
         "X-Ibisloom-Deadline-Remaining: 4000\r\n"                            \
         "Authorization: Token key-1\r\nConnection: close\r\n"
#define READ(id) HEAD ("GET", "/map/1", id) "\r\n"
#define CHARGE(id) HEAD ("POST", "/fee/1", id) "Content-Length: 3\r\n\r\nfee"
#define PLAN(id) HEAD ("POST", "/plan/1", id) "Content-Length: 4\r\n\r\nplan"
#define ANSWER(id) HEAD ("POST", "/rules/1", id) "Content-Length: 1\r\n\r\nr"

enum
{
  LARGE_BYTES = 40000,
  WATCH_BEGUN_MS = 1500, /* after the start */
  DUTY_LEFT_MS = 3000    /* after others are seen to watch */
};

static const char config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"map\",\"host\":\"shop.example\",\"path_prefix\":\"/map/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2},"
      "{\"name\":\"fee\",\"host\":\"shop.example\",\"path_prefix\":\"/fee/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1},"
      "{\"name\":\"plan\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/plan/\",\"route_type\":\"streaming\",\"timeout_ms\":4000,"
      "\"target_latency_ms\":800,\"target_gap_ms\":400,\"service\":\"pool\","
      "\"max_attempts\":2,\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"rules\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/rules/\",\"route_type\":\"streaming\",\"timeout_ms\":4000,"
      "\"target_latency_ms\":400,\"target_gap_ms\":400,\"service\":\"pool\","
      "\"max_attempts\":1,\"session_affinity\":true}],"
      "\"services\":[{\"name\":\"desk\"},{\"name\":\"pool\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,"
      "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
      "\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]}";

static void each_kind_is_served (void);
static void unknown_is_refused (void);
static void nothing_without_configuration (void);
static void call_runs_once_when_its_answer_is_lost (void);
static void refused_call_is_told_not_run (void);
static void errors_and_resets_are_repeated (void);
static void stream_goes_on_elsewhere (void);
static void broken_stream_does_not_look_complete (void);
static void foreign_answers_are_not_passed_on (void);
static void extra_bytes_reach_nobody (void);
static void lone_target_is_asked_again (void);
static void smuggled_requests_are_refused (void);
static void callers_cannot_speak_as_the_system (void);
static void signals_while_starting_are_kept (void);
static void settings_are_read_again (void);
static void metrics_tell_what_was_done (void);
static void a_stop_cuts_nothing (void);
static void last_answer_is_whole_when_the_caller_has_sent_more (void);
static void leaving_targets_get_nothing (void);
static void unreadable_entries_name_no_target (void);
static void lapsed_entries_come_back (void);
static void lapse_that_nobody_noticed (void);
static void a_peer_helps_while_the_store_is_away (void);
static void a_dead_watch_is_begun_anew (void);
static void another_domain_helps_deaf_watchers (void);
static void gone_callers_end_their_work (void);
static void too_much_is_refused (void);
static void silent_targets_are_left (void);

static const struct test_case cases[] = {
  { "each kind of request is served", each_kind_is_served },
  { "unknown routes and keys are refused", unknown_is_refused },
  { "nothing is served without a configuration",
    nothing_without_configuration },
  { "a call whose answer is lost runs once",
    call_runs_once_when_its_answer_is_lost },
  { "a call that no target ran is told so", refused_call_is_told_not_run },
  { "errors and resets are repeated where they may be",
    errors_and_resets_are_repeated },
  { "a stream goes on at another target", stream_goes_on_elsewhere },
  { "a broken stream does not look complete",
    broken_stream_does_not_look_complete },
  { "answers to others are not passed on", foreign_answers_are_not_passed_on },
  { "bytes after an answer reach nobody", extra_bytes_reach_nobody },
  { "a lone target is asked again", lone_target_is_asked_again },
  { "requests with two lengths are refused", smuggled_requests_are_refused },
  { "callers cannot set the system's fields",
    callers_cannot_speak_as_the_system },
  { "signals while starting are kept", signals_while_starting_are_kept },
  { "settings are read again, or the old ones hold", settings_are_read_again },
  { "metrics tell what was done", metrics_tell_what_was_done },
  { "a stop cuts nothing", a_stop_cuts_nothing },
  { "the last answer is whole though its caller has sent more",
    last_answer_is_whole_when_the_caller_has_sent_more },
  { "leaving targets get nothing", leaving_targets_get_nothing },
  { "unreadable entries name no target", unreadable_entries_name_no_target },
  { "entries that lapsed with the store come back", lapsed_entries_come_back },
  { "entries that all lapse at once are still used",
    lapse_that_nobody_noticed },
  { "a peer helps while the store is away",
    a_peer_helps_while_the_store_is_away },
  { "a watch that is dead is begun anew", a_dead_watch_is_begun_anew },
  { "another domain helps where the watchers are deaf",
    another_domain_helps_deaf_watchers },
  { "callers that leave end their work", gone_callers_end_their_work },
  { "heads and bodies over the limits are refused", too_much_is_refused },
  { "silent targets are left where that is allowed", silent_targets_are_left },
};

TEST_MAIN ("gate", cases)

/* Answers REQUEST with STATUS, BODY and the fields that prove it ours.  */
static void
reply (const struct fx_request *request, const char *status, const char *body)
{
  char *id = fx_header (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: %zu\r\n\r\n%s",
      status, id, id, strlen (body), body);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Starts a stream.  */
static void
stream_head (const struct fx_request *request)
{
  char *id = fx_header (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Writes TEXT as one chunk.  */
static void
chunk (const struct fx_request *request, const char *text)
{
  char *chunked = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  fx_write (request->fd, chunked);
  g_free (chunked);
}

/* Writes the events FROM to TO of a stream.  */
static void
events (const struct fx_request *request, int from, int to)
{
  for (int i = from; i <= to; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);

      chunk (request, event);
      g_free (event);
    }
}

static int
well (const struct fx_request *request)
{
  reply (request, "200 OK", "well");
  return 1;
}

static int
error (const struct fx_request *request)
{
  reply (request, "500 Internal Server Error", "no");
  return 1;
}

/* Fails the first time only.  */
static int
first_errors (const struct fx_request *request)
{
  return request->number == 1 ? error (request) : well (request);
}

static int
full (const struct fx_request *request)
{
  fx_write (request->fd, "HTTP/1.1 503 Service Unavailable\r\n"
                         "X-Ibisloom-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
  return 1;
}

static int
closing (const struct fx_request *request)
{
  (void)request;
  return 0;
}

static int
resetting (const struct fx_request *request)
{
  fx_reset (request->fd);
  return 0;
}

static int
five_events (const struct fx_request *request)
{
  char *after = fx_header (request->text, "Last-Event-Id");

  stream_head (request);
  events (request, after ? atoi (after) + 1 : 1, 5);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (after);
  return 1;
}

/* Stops in the middle of the third event.  */
static int
torn_stream (const struct fx_request *request)
{
  stream_head (request);
  events (request, 1, 2);
  chunk (request, "id: 3\nda");
  return 0;
}

/* The first stream that any target gets is torn.  */
static int
first_is_torn (const struct fx_request *request)
{
  char *after = fx_header (request->text, "Last-Event-Id");
  int is_first = after == NULL;

  g_free (after);
  return is_first ? torn_stream (request) : five_events (request);
}

static int
for_another (const struct fx_request *request)
{
  fx_write (request->fd, "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: other\r\n"
                         "X-Ibisloom-Response-Signature: s\r\n"
                         "Content-Length: 5\r\n\r\nother");
  return 1;
}

static int
unsigned_answer (const struct fx_request *request)
{
  char *id = fx_header (request->text, "X-Ibisloom-Attempt-Id");
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
                         "Content-Length: 2\r\n\r\nno",
                         id);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
  return 1;
}

static int
well_and_more (const struct fx_request *request)
{
  reply (request, "200 OK", "well");
  for_another (request);
  return 1;
}

/* Takes its time, so that a stop falls into the answer.  */
static int
slow_stream (const struct fx_request *request)
{
  stream_head (request);
  events (request, 1, 1);
  fx_sleep_ms (1000);
  events (request, 2, 5);
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Ends with an event that is larger than a slow caller takes at once.  */
static int
slow_large_stream (const struct fx_request *request)
{
  char *large = g_strnfill (LARGE_BYTES, 'x');
  char *event = g_strdup_printf ("id: 2\ndata: %s\n\n", large);

  stream_head (request);
  events (request, 1, 1);
  fx_sleep_ms (3400);
  chunk (request, event);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (event);
  g_free (large);
  return 1;
}

static int
silent (const struct fx_request *request)
{
  char *end = fx_read_until (request->fd, "never");

  g_free (end);
  return 1;
}

/* Checks that the answer to REQUEST starts with STATUS and holds TEXT.  */
static void
expect (const char *request, const char *status, const char *text)
{
  char *start = g_strdup_printf ("HTTP/1.1 %s", status);
  char *answer = fx_call (request);

  if (!g_str_has_prefix (answer, start) || strstr (answer, text) == NULL)
    {
      printf ("expected %s with '%s', got: %s\n", start, text, answer);
      CU_FAIL ("another answer was expected");
    }
  g_free (answer);
  g_free (start);
}

static void
each_kind_is_served (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);
  char *last;

  fx_target_add ("i-2", "pool", five_events);
  fx_start (config);
  expect (READ ("r1"), "200", "well");
  last = fx_target_last (desk);
  CU_ASSERT (g_str_has_prefix (last, "GET /map/1 HTTP/1.1\r\n"));
  g_free (last);
  expect (CHARGE ("c1"), "200", "s-c1");
  last = fx_target_last (desk);
  CU_ASSERT (g_str_has_suffix (last, "\r\n\r\nfee"));
  g_free (last);
  expect (PLAN ("p1"), "200", "data: e5\n\n\r\n0\r\n\r\n");
  expect (ANSWER ("a1"), "200", "data: e5\n\n\r\n0\r\n\r\n");
  fx_stop ();
}

static void
unknown_is_refused (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);

  fx_start (config);
  expect (HEAD ("GET", "/none/", "n1") "\r\n", "404", "");
  expect (HEAD ("GET", "/map", "n2") "\r\n", "404", "");
  expect ("GET /map/1 HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Ibisloom-Attempt-Id: n3\r\nAuthorization: Token key-2\r\n"
          "Connection: close\r\n\r\n",
          "401", "");
  expect (HEAD ("POST", "/plan/1", "n4") "Content-Length: 0\r\n\r\n", "503",
          "Retry-After: ");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  fx_stop ();
}

static char *early_answer;

static int
answers_early (void)
{
  int fd = fx_open ();

  if (fd < 0)
    return 0;
  fx_send (fd, READ ("e1"));
  early_answer = fx_read_all (fd);
  return 1;
}

/* Returns the seconds after which ANSWER, which is freed, lets its caller
   return.  */
static double
retry_after_s (char *answer)
{
  char *value = fx_header (answer, "Retry-After");
  double seconds = value != NULL ? g_ascii_strtod (value, NULL) : 0;

  g_free (value);
  g_free (answer);
  return seconds;
}

static void
nothing_without_configuration (void)
{
  fx_start (NULL);
  CU_ASSERT (fx_settled (answers_early));
  CU_ASSERT (g_str_has_prefix (early_answer, "HTTP/1.1 503"));
  /* An instance that starts has its configuration after half a second.  */
  CU_ASSERT (retry_after_s (early_answer) >= 0.5);
  fx_stop ();
}

static void
call_runs_once_when_its_answer_is_lost (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", closing);
  struct fx_target *second = fx_target_add ("i-2", "desk", resetting);

  fx_start (config);
  for (int i = 0; i < 4; i++)
    expect (CHARGE ("c1"), "502", "");
  CU_ASSERT_EQUAL (fx_target_requests (first) + fx_target_requests (second),
                   4);
  fx_stop ();
}

static void
refused_call_is_told_not_run (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", full);

  fx_start (config);
  expect (CHARGE ("c1"), "503", "Retry-After: ");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 1);
  fx_stop ();
}

static void
errors_and_resets_are_repeated (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", first_errors);

  fx_target_add ("i-2", "desk", resetting);
  fx_start (config);
  expect (READ ("r1"), "200", "well");
  CU_ASSERT (fx_target_requests (first) <= 4);
  fx_stop ();
}

static void
stream_goes_on_elsewhere (void)
{
  char *answer;

  fx_target_add ("i-1", "pool", first_is_torn);
  fx_target_add ("i-2", "pool", first_is_torn);
  fx_start (config);
  answer = fx_call (PLAN ("p1"));
  for (int i = 1; i <= 5; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);
      char *at = strstr (answer, event);

      CU_ASSERT_PTR_NOT_NULL (at);
      if (at != NULL)
        CU_ASSERT_PTR_NULL (strstr (at + 1, event));
      g_free (event);
    }
  CU_ASSERT (g_str_has_suffix (answer, "\r\n0\r\n\r\n"));
  g_free (answer);
  fx_stop ();
}

static void
broken_stream_does_not_look_complete (void)
{
  struct fx_target *pool = fx_target_add ("i-1", "pool", torn_stream);
  char *answer;

  fx_start (config);
  answer = fx_call (ANSWER ("a1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer, "data: e2"));
  CU_ASSERT_PTR_NULL (strstr (answer, "id: 3"));
  CU_ASSERT_PTR_NULL (strstr (answer, "\r\n0\r\n\r\n"));
  CU_ASSERT_EQUAL (fx_target_requests (pool), 1);
  g_free (answer);
  fx_stop ();
}

static void
foreign_answers_are_not_passed_on (void)
{
  fx_target_add ("i-1", "desk", for_another);
  fx_target_add ("i-2", "pool", unsigned_answer);
  fx_start (config);
  expect (CHARGE ("c1"), "502", "");
  expect (ANSWER ("a1"), "502", "");
  fx_stop ();
}

/* Closes the first connection without an answer.  */
static int
well_the_second_time (const struct fx_request *request)
{
  if (request->number == 1)
    return 0;
  reply (request, "200 OK", "well");
  return 1;
}

static void
lone_target_is_asked_again (void)
{
  struct fx_target *target
      = fx_target_add ("i-1", "desk", well_the_second_time);

  fx_start (config);
  expect (READ ("r1"), "200", "well");
  CU_ASSERT_EQUAL (fx_target_requests (target), 2);
  fx_stop ();
}

static void
extra_bytes_reach_nobody (void)
{
  fx_target_add ("i-1", "desk", well_and_more);
  fx_start (config);
  for (int i = 0; i < 3; i++)
    expect (READ ("r1"), "200", "well");
  fx_stop ();
}

static void
smuggled_requests_are_refused (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);

  fx_start (config);
  expect (HEAD ("POST", "/fee/1", "s1") "Content-Length: 3\r\n"
                                        "Transfer-Encoding: chunked\r\n\r\n"
                                        "0\r\n\r\n",
          "400", "");
  expect (HEAD ("POST", "/fee/1", "s2") "Content-Length: 3\r\n"
                                        "Content-Length: 4\r\n\r\nfee!",
          "400", "");
  expect (HEAD ("POST", "/fee/1", "s3") "Transfer-Encoding: gzip, chunked\r\n"
                                        "\r\n0\r\n\r\n",
          "400", "");
  expect (HEAD ("POST", "/fee/1", "s4") "Transfer-Encoding: chunked\r\n\r\n"
                                        "zz\r\nfee\r\n0\r\n\r\n",
          "400", "");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  fx_stop ();
}

static void
callers_cannot_speak_as_the_system (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);
  char *last;

  fx_start (config);
  expect (HEAD ("GET", "/map/1",
                "k1") "X-Ibisloom-Tenant: other\r\nX-Ibisloom-Hold: h\r\n"
                      "Kv-From: 1.2.3.4:5/x\r\nX-Ibisloom-Kv-Backup: b\r\n"
                      "X-Ibisloom-Pin-Duration: 1\r\nX-Own: kept\r\n\r\n",
          "200", "well");
  last = fx_target_last (desk);
  CU_ASSERT_PTR_NOT_NULL (strstr (last, "X-Ibisloom-Tenant: lodge\r\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (last, "X-Ibisloom-Expected-Instance: i-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (last, "X-Own: kept\r\n"));
  CU_ASSERT_PTR_NULL (strstr (last, "other"));
  CU_ASSERT_PTR_NULL (strstr (last, "Hold"));
  CU_ASSERT_PTR_NULL (strstr (last, "Kv-"));
  CU_ASSERT_PTR_NULL (strstr (last, "Pin-Duration"));
  CU_ASSERT_PTR_NULL (strstr (last, "key-1"));
  g_free (last);
  fx_stop ();
}

/* Reloads that come one after another from the first moment end nothing.  */
static void
signals_while_starting_are_kept (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_store_start (config);
  fx_gate_spawn (0, "/dev/null");
  CU_ASSERT (fx_settled (fx_expects_signals));
  for (int i = 0; i < 50; i++)
    {
      fx_signal (SIGHUP);
      fx_sleep_ms (1);
    }
  CU_ASSERT (fx_settled (fx_is_ready));
  expect (READ ("r1"), "200", "well");
  fx_stop ();
}

static void
settings_are_read_again (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_start (config);
  fx_settings ("retry_ratio: 0.5\n");
  fx_signal (SIGHUP);
  expect (READ ("r1"), "200", "well");
  fx_settings ("no such key: 1\n");
  fx_signal (SIGHUP);
  expect (READ ("r2"), "200", "well");
  CU_ASSERT_EQUAL (fx_terminate (), 0);
  fx_stop ();
}

static void
metrics_tell_what_was_done (void)
{
  char *metrics;

  fx_target_add ("i-1", "desk", well);
  fx_start (config);
  expect (READ ("r1"), "200", "well");
  expect (HEAD ("GET", "/none/", "n1") "\r\n", "404", "");
  metrics = fx_metrics ();
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "\nibisloom_answered_total 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "\nibisloom_version_in_force 3\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (metrics, "\nibisloom_targets_usable 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (
      metrics, "\nibisloom_refused_total{reason=\"unknown_service\"} 1\n"));
  g_free (metrics);
  fx_stop ();
}

static void
a_stop_cuts_nothing (void)
{
  char *answer;
  char *start;
  int fd;

  fx_target_add ("i-1", "pool", slow_stream);
  fx_target_add ("i-2", "desk", well);
  fx_start (config);
  fd = fx_open ();
  fx_send (fd, ANSWER ("a1"));
  start = fx_read_until (fd, "data: e1");
  fx_signal (SIGTERM);
  expect (READ ("r1"), "200", "Connection: close");
  answer = fx_read_all (fd);
  CU_ASSERT (g_str_has_suffix (answer, "\r\n0\r\n\r\n"));
  CU_ASSERT_EQUAL (fx_wait (), 0);
  g_free (start);
  g_free (answer);
  fx_stop ();
}

/* What a caller sends behind its request lies unread when the process ends,
   and must not destroy the answer on its way.  */
static void
last_answer_is_whole_when_the_caller_has_sent_more (void)
{
  char *answer;
  char *start;
  int fd;

  fx_target_add ("i-1", "pool", slow_large_stream);
  fx_start (config);
  fd = fx_open ();
  fx_narrow (fd);
  fx_send (fd, ANSWER ("a1"));
  start = fx_read_until (fd, "data: e1");
  fx_signal (SIGTERM);
  fx_sleep_ms (3500);
  fx_send (fd, ANSWER ("a2"));
  fx_sleep_ms (300);
  answer = fx_read_until (fd, "\r\n0\r\n\r\n");
  CU_ASSERT (g_str_has_suffix (answer, "\r\n0\r\n\r\n"));
  close (fd);
  CU_ASSERT_EQUAL (fx_wait (), 0);
  g_free (start);
  g_free (answer);
  fx_stop ();
}

static struct fx_target *watched;
static int watched_before;

/* Returns whether a read no longer goes to the watched target.  */
static int
watched_gets_nothing (void)
{
  watched_before = fx_target_requests (watched);
  for (int i = 0; i < 4; i++)
    g_free (fx_call (READ ("w1")));
  return fx_target_requests (watched) == watched_before;
}

static int
watched_gets_something (void)
{
  return !watched_gets_nothing ();
}

static void
leaving_targets_get_nothing (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", well);
  struct fx_target *second;

  fx_start (config);
  second = fx_target_add ("i-2", "desk", well);
  watched = second;
  CU_ASSERT (fx_settled (watched_gets_something));
  fx_target_state (second, "draining");
  CU_ASSERT (fx_settled (watched_gets_nothing));
  fx_target_state (second, "ready");
  CU_ASSERT (fx_settled (watched_gets_something));
  fx_store_compact ();
  fx_target_remove (second);
  CU_ASSERT (fx_settled (watched_gets_nothing));
  CU_ASSERT (fx_target_requests (first) > 0);
  fx_stop ();
}

static void
unreadable_entries_name_no_target (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_store_put ("servers", "bad-1", "\"text\"");
  fx_store_put ("servers", "bad-2", "{\"service\":7}");
  fx_store_put ("servers", "bad-3",
                "{\"service\":\"desk\",\"address\":\"nowhere\",\"zone\":\"a\","
                "\"slots\":2,\"state\":\"ready\"}");
  fx_store_put ("servers", "bad-4",
                "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"zone\":"
                "\"a\",\"slots\":2,\"state\":\"odd\"}");
  fx_start (config);
  for (int i = 0; i < 4; i++)
    expect (READ ("r1"), "200", "well");
  fx_store_put ("config", "main", "{\"version\":9,\"routes\":\"none\"}");
  expect (READ ("r2"), "200", "well");
  fx_stop ();
}

static void
lapsed_entries_come_back (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);

  fx_start (config);
  fx_store_down (1);
  fx_target_remove (desk);
  expect (READ ("r1"), "200", "well");
  fx_store_down (0);
  /* The entry is missing for a while after the store is back.  */
  for (int i = 0; i < 10; i++)
    {
      expect (READ ("r2"), "200", "well");
      fx_sleep_ms (100);
    }
  fx_target_state (desk, "ready");
  fx_sleep_ms (2500);
  expect (READ ("r3"), "200", "well");
  fx_stop ();
}

/* A silent store ends all entries at once and then writes them again.  */
static void
lapse_that_nobody_noticed (void)
{
  struct fx_target *desk[3] = { fx_target_add ("i-1", "desk", well),
                                fx_target_add ("i-2", "desk", well),
                                fx_target_add ("i-3", "desk", well) };

  fx_start (config);
  for (int i = 0; i < 3; i++)
    fx_target_remove (desk[i]);
  for (int i = 0; i < 10; i++)
    {
      expect (READ ("r1"), "200", "well");
      fx_sleep_ms (100);
    }
  for (int i = 0; i < 3; i++)
    fx_target_state (desk[i], "ready");
  fx_sleep_ms (1000);
  expect (READ ("r2"), "200", "well");
  fx_stop ();
}

/* The instance starts with no store; a peer says that it knows more.  */
static void
a_peer_helps_while_the_store_is_away (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_store_put ("config", "main", config);
  fx_store_down (1);
  fx_start (NULL);
  fx_peer_start ();
  CU_ASSERT (fx_settled (fx_is_ready));
  expect (READ ("r1"), "200", "well");
  fx_stop ();
}

/* Returns whether the version after the first is in force.  */
static int
next_version_is_in_force (void)
{
  char *metrics = fx_metrics ();
  int found = strstr (metrics, "\nibisloom_version_in_force 9\n") != NULL;

  g_free (metrics);
  return found;
}

/* Lets the store's watches go without an answer while the next version comes,
   and a peer that knows it speak; checks that it comes in force.  */
static void
expect_next_version_from_peer (void)
{
  char *next = g_strdup (config);

  next[strlen ("{\"version\":")] = '9';
  fx_store_deaf (1);
  fx_store_put ("config", "main", next);
  fx_peer_start ();
  CU_ASSERT (fx_settled (next_version_is_in_force));
  fx_store_deaf (0);
  g_free (next);
}

/* The answer to the watch is lost; a peer tells that there is more.  */
static void
a_dead_watch_is_begun_anew (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_start (config);
  fx_sleep_ms (WATCH_BEGUN_MS);
  expect_next_version_from_peer ();
  fx_stop ();
}

/* The instance leaves the store to two others of its failure domain, which are
   cut off without a sign; one of another domain knows the next version.  */
static void
another_domain_helps_deaf_watchers (void)
{
  fx_target_add ("i-1", "desk", well);
  fx_start (config);
  fx_deaf_watchers_start (2);
  fx_sleep_ms (DUTY_LEFT_MS);
  expect_next_version_from_peer ();
  fx_stop ();
}

static int
watched_was_left (void)
{
  return fx_target_peer_closed (watched) > 0;
}

static int
watched_was_asked (void)
{
  return fx_target_requests (watched) > 0;
}

static void
gone_callers_end_their_work (void)
{
  int fd;

  watched = fx_target_add ("i-1", "pool", silent);
  fx_start (config);
  fd = fx_open ();
  fx_send (fd, ANSWER ("g1"));
  CU_ASSERT (fx_settled (watched_was_asked));
  CU_ASSERT_EQUAL (fx_target_peer_closed (watched), 0);
  close (fd);
  CU_ASSERT (fx_settled (watched_was_left));
  fx_stop ();
}

static void
too_much_is_refused (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", well);
  char *large = g_strnfill (5000, 'x');
  char *head
      = g_strdup_printf (HEAD ("GET", "/map/1", "l1") "X: %s\r\n\r\n", large);
  char *chunked = g_strdup_printf (
      HEAD ("POST", "/fee/1", "l3") "Transfer-Encoding: chunked\r\n\r\n"
                                    "1388\r\n%s\r\n0\r\n\r\n",
      large);

  fx_start (config);
  expect (head, "431", "");
  expect (HEAD ("POST", "/fee/1", "l2") "Content-Length: 5000\r\n\r\n", "413",
          "");
  expect (chunked, "413", "");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  g_free (large);
  g_free (head);
  g_free (chunked);
  fx_stop ();
}

static void
silent_targets_are_left (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", silent);

  fx_target_add ("i-2", "desk", well);
  fx_start (config);
  for (int i = 0; i < 6; i++)
    expect (READ ("r1"), "200", "well");
  CU_ASSERT (fx_target_requests (first) <= 2);
  fx_stop ();
}
