/* The gate from end to end: a real ibisloomd, scripted targets and store. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "router_fixture.h"
#include "test.h"

#define REQUEST_HEAD(method, path, id)                                        \
  method " " path " HTTP/1.1\r\nHost: shop.example\r\n"                       \
         "X-Ibisloom-Attempt-Id: " id "\r\n"                                  \
         "X-Ibisloom-Deadline-Remaining: 4000\r\n"                            \
         "Authorization: Token key-1\r\nConnection: close\r\n"
#define GET_MAP(id) REQUEST_HEAD ("GET", "/map/1", id) "\r\n"
#define POST_FEE(id)                                                          \
  REQUEST_HEAD ("POST", "/fee/1", id) "Content-Length: 3\r\n\r\nfee"
#define POST_PLAN(id)                                                         \
  REQUEST_HEAD ("POST", "/plan/1", id) "Content-Length: 4\r\n\r\nplan"
#define POST_RULES(id)                                                        \
  REQUEST_HEAD ("POST", "/rules/1", id) "Content-Length: 1\r\n\r\nr"

enum
{
  LARGE_EVENT_BYTES = 40000,
  WATCH_START_MS = 1500, /* after the start */
  WATCH_STOP_MS = 3000   /* after others are seen to watch */
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

static void each_route_type_is_served (void);
static void unknown_route_or_key_is_refused (void);
static void refused_without_configuration (void);
static void lost_response_is_not_retried (void);
static void overload_is_reported (void);
static void errors_and_resets_are_retried (void);
static void stream_resumes_on_another_target (void);
static void truncated_stream_is_not_terminated (void);
static void unverified_responses_are_not_relayed (void);
static void extra_bytes_are_discarded (void);
static void only_target_is_retried (void);
static void ambiguous_framing_is_rejected (void);
static void internal_fields_are_stripped (void);
static void signals_during_startup_are_handled (void);
static void settings_are_reloaded (void);
static void metrics_count_requests (void);
static void shutdown_completes_open_requests (void);
static void shutdown_with_unread_input_completes_response (void);
static void draining_targets_get_no_requests (void);
static void invalid_entries_are_ignored (void);
static void expired_entry_is_kept_after_outage (void);
static void simultaneous_expiry_keeps_targets (void);
static void startup_from_peer_without_store (void);
static void stalled_watch_is_restarted (void);
static void other_failure_domain_supplies_update (void);
static void disconnect_aborts_request (void);
static void oversized_requests_are_refused (void);
static void unresponsive_target_is_avoided (void);

static const struct test_case cases[] = {
  { "each kind of request is served", each_route_type_is_served },
  { "unknown routes and keys are refused", unknown_route_or_key_is_refused },
  { "nothing is served without a configuration",
    refused_without_configuration },
  { "a call whose answer is lost runs once", lost_response_is_not_retried },
  { "a call that no target ran is told so", overload_is_reported },
  { "errors and resets are repeated where they may be",
    errors_and_resets_are_retried },
  { "a stream goes on at another target", stream_resumes_on_another_target },
  { "a broken stream does not look complete",
    truncated_stream_is_not_terminated },
  { "answers to others are not passed on",
    unverified_responses_are_not_relayed },
  { "bytes after an answer reach nobody", extra_bytes_are_discarded },
  { "a lone target is asked again", only_target_is_retried },
  { "requests with two lengths are refused", ambiguous_framing_is_rejected },
  { "callers cannot set the system's fields", internal_fields_are_stripped },
  { "signals while starting are kept", signals_during_startup_are_handled },
  { "settings are read again, or the old ones hold", settings_are_reloaded },
  { "metrics tell what was done", metrics_count_requests },
  { "a stop cuts nothing", shutdown_completes_open_requests },
  { "the last answer is whole though its caller has sent more",
    shutdown_with_unread_input_completes_response },
  { "leaving targets get nothing", draining_targets_get_no_requests },
  { "unreadable entries name no target", invalid_entries_are_ignored },
  { "entries that lapsed with the store come back",
    expired_entry_is_kept_after_outage },
  { "entries that all lapse at once are still used",
    simultaneous_expiry_keeps_targets },
  { "a peer helps while the store is away", startup_from_peer_without_store },
  { "a watch that is dead is begun anew", stalled_watch_is_restarted },
  { "another domain helps where the watchers are deaf",
    other_failure_domain_supplies_update },
  { "callers that leave end their work", disconnect_aborts_request },
  { "heads and bodies over the limits are refused",
    oversized_requests_are_refused },
  { "silent targets are left where that is allowed",
    unresponsive_target_is_avoided },
};

TEST_MAIN ("gate", cases)

/* Answers REQUEST with STATUS, BODY and the fields that prove it ours.  */
static void
respond (const struct fx_request *request, const char *status,
         const char *body)
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
start_stream (const struct fx_request *request)
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
write_chunk (const struct fx_request *request, const char *text)
{
  char *chunked = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  fx_write (request->fd, chunked);
  g_free (chunked);
}

/* Writes the events FROM to TO of a stream.  */
static void
write_events (const struct fx_request *request, int from, int to)
{
  for (int i = from; i <= to; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);

      write_chunk (request, event);
      g_free (event);
    }
}

static int
respond_ok (const struct fx_request *request)
{
  respond (request, "200 OK", "well");
  return 1;
}

static int
respond_error (const struct fx_request *request)
{
  respond (request, "500 Internal Server Error", "no");
  return 1;
}

/* Fails the first time only.  */
static int
fail_first_request (const struct fx_request *request)
{
  return request->number == 1 ? respond_error (request) : respond_ok (request);
}

static int
respond_overloaded (const struct fx_request *request)
{
  fx_write (request->fd, "HTTP/1.1 503 Service Unavailable\r\n"
                         "X-Ibisloom-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
  return 1;
}

static int
close_connection (const struct fx_request *request)
{
  (void)request;
  return 0;
}

static int
reset_connection (const struct fx_request *request)
{
  fx_reset_on_close (request->fd);
  return 0;
}

static int
stream_events (const struct fx_request *request)
{
  char *after = fx_header (request->text, "Last-Event-Id");

  start_stream (request);
  write_events (request, after ? atoi (after) + 1 : 1, 5);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (after);
  return 1;
}

/* Stops in the middle of the third event.  */
static int
truncate_stream (const struct fx_request *request)
{
  start_stream (request);
  write_events (request, 1, 2);
  write_chunk (request, "id: 3\nda");
  return 0;
}

/* The first stream that any target gets is torn.  */
static int
truncate_first_stream (const struct fx_request *request)
{
  char *after = fx_header (request->text, "Last-Event-Id");
  int is_first = after == NULL;

  g_free (after);
  return is_first ? truncate_stream (request) : stream_events (request);
}

static int
respond_wrong_id (const struct fx_request *request)
{
  fx_write (request->fd, "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: other\r\n"
                         "X-Ibisloom-Response-Signature: s\r\n"
                         "Content-Length: 5\r\n\r\nother");
  return 1;
}

static int
respond_unsigned (const struct fx_request *request)
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
respond_twice (const struct fx_request *request)
{
  respond (request, "200 OK", "well");
  respond_wrong_id (request);
  return 1;
}

/* Takes its time, so that a stop falls into the answer.  */
static int
stream_slowly (const struct fx_request *request)
{
  start_stream (request);
  write_events (request, 1, 1);
  fx_sleep_ms (1000);
  write_events (request, 2, 5);
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Ends with an event that is larger than a slow caller takes at once.  */
static int
stream_large_event (const struct fx_request *request)
{
  char *large = g_strnfill (LARGE_EVENT_BYTES, 'x');
  char *event = g_strdup_printf ("id: 2\ndata: %s\n\n", large);

  start_stream (request);
  write_events (request, 1, 1);
  fx_sleep_ms (3400);
  write_chunk (request, event);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (event);
  g_free (large);
  return 1;
}

static int
never_respond (const struct fx_request *request)
{
  char *end = fx_read_until (request->fd, "never");

  g_free (end);
  return 1;
}

/* Checks that the answer to REQUEST starts with STATUS and holds TEXT.  */
static void
expect_response (const char *request, const char *status, const char *text)
{
  char *start = g_strdup_printf ("HTTP/1.1 %s", status);
  char *response = fx_exchange (request);

  if (!g_str_has_prefix (response, start) || strstr (response, text) == NULL)
    {
      printf ("expected %s with '%s', got: %s\n", start, text, response);
      CU_FAIL ("another answer was expected");
    }
  g_free (response);
  g_free (start);
}

static void
each_route_type_is_served (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);
  char *last;

  fx_target_add ("i-2", "pool", stream_events);
  fx_start (config);
  expect_response (GET_MAP ("r1"), "200", "well");
  last = fx_target_last_request (desk);
  CU_ASSERT (g_str_has_prefix (last, "GET /map/1 HTTP/1.1\r\n"));
  g_free (last);
  expect_response (POST_FEE ("c1"), "200", "s-c1");
  last = fx_target_last_request (desk);
  CU_ASSERT (g_str_has_suffix (last, "\r\n\r\nfee"));
  g_free (last);
  expect_response (POST_PLAN ("p1"), "200", "data: e5\n\n\r\n0\r\n\r\n");
  expect_response (POST_RULES ("a1"), "200", "data: e5\n\n\r\n0\r\n\r\n");
  fx_stop ();
}

static void
unknown_route_or_key_is_refused (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);

  fx_start (config);
  expect_response (REQUEST_HEAD ("GET", "/none/", "n1") "\r\n", "404", "");
  expect_response (REQUEST_HEAD ("GET", "/map", "n2") "\r\n", "404", "");
  expect_response (
      "GET /map/1 HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Ibisloom-Attempt-Id: n3\r\nAuthorization: Token key-2\r\n"
      "Connection: close\r\n\r\n",
      "401", "");
  expect_response (
      REQUEST_HEAD ("POST", "/plan/1", "n4") "Content-Length: 0\r\n\r\n",
      "503", "Retry-After: ");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  fx_stop ();
}

static char *early_response;

static int
get_early_response (void)
{
  int fd = fx_connect ();

  if (fd < 0)
    return 0;
  fx_send (fd, GET_MAP ("e1"));
  early_response = fx_read_all (fd);
  return 1;
}

/* Returns the seconds after which POST_RULES, which is freed, lets its caller
   return.  */
static double
retry_after_s (char *response)
{
  char *value = fx_header (response, "Retry-After");
  double seconds = value != NULL ? g_ascii_strtod (value, NULL) : 0;

  g_free (value);
  g_free (response);
  return seconds;
}

static void
refused_without_configuration (void)
{
  fx_start (NULL);
  CU_ASSERT (fx_wait_until (get_early_response));
  CU_ASSERT (g_str_has_prefix (early_response, "HTTP/1.1 503"));
  /* An instance that starts has its configuration after half a second.  */
  CU_ASSERT (retry_after_s (early_response) >= 0.5);
  fx_stop ();
}

static void
lost_response_is_not_retried (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", close_connection);
  struct fx_target *second = fx_target_add ("i-2", "desk", reset_connection);

  fx_start (config);
  for (int i = 0; i < 4; i++)
    expect_response (POST_FEE ("c1"), "502", "");
  CU_ASSERT_EQUAL (fx_target_requests (first) + fx_target_requests (second),
                   4);
  fx_stop ();
}

static void
overload_is_reported (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_overloaded);

  fx_start (config);
  expect_response (POST_FEE ("c1"), "503", "Retry-After: ");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 1);
  fx_stop ();
}

static void
errors_and_resets_are_retried (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", fail_first_request);

  fx_target_add ("i-2", "desk", reset_connection);
  fx_start (config);
  expect_response (GET_MAP ("r1"), "200", "well");
  CU_ASSERT (fx_target_requests (first) <= 4);
  fx_stop ();
}

static void
stream_resumes_on_another_target (void)
{
  char *response;

  fx_target_add ("i-1", "pool", truncate_first_stream);
  fx_target_add ("i-2", "pool", truncate_first_stream);
  fx_start (config);
  response = fx_exchange (POST_PLAN ("p1"));
  for (int i = 1; i <= 5; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);
      char *at = strstr (response, event);

      CU_ASSERT_PTR_NOT_NULL (at);
      if (at != NULL)
        CU_ASSERT_PTR_NULL (strstr (at + 1, event));
      g_free (event);
    }
  CU_ASSERT (g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  g_free (response);
  fx_stop ();
}

static void
truncated_stream_is_not_terminated (void)
{
  struct fx_target *pool = fx_target_add ("i-1", "pool", truncate_stream);
  char *response;

  fx_start (config);
  response = fx_exchange (POST_RULES ("a1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: e2"));
  CU_ASSERT_PTR_NULL (strstr (response, "id: 3"));
  CU_ASSERT_PTR_NULL (strstr (response, "\r\n0\r\n\r\n"));
  CU_ASSERT_EQUAL (fx_target_requests (pool), 1);
  g_free (response);
  fx_stop ();
}

static void
unverified_responses_are_not_relayed (void)
{
  fx_target_add ("i-1", "desk", respond_wrong_id);
  fx_target_add ("i-2", "pool", respond_unsigned);
  fx_start (config);
  expect_response (POST_FEE ("c1"), "502", "");
  expect_response (POST_RULES ("a1"), "502", "");
  fx_stop ();
}

/* Closes the first connection without an answer.  */
static int
close_first_connection (const struct fx_request *request)
{
  if (request->number == 1)
    return 0;
  respond (request, "200 OK", "well");
  return 1;
}

static void
only_target_is_retried (void)
{
  struct fx_target *target
      = fx_target_add ("i-1", "desk", close_first_connection);

  fx_start (config);
  expect_response (GET_MAP ("r1"), "200", "well");
  CU_ASSERT_EQUAL (fx_target_requests (target), 2);
  fx_stop ();
}

static void
extra_bytes_are_discarded (void)
{
  fx_target_add ("i-1", "desk", respond_twice);
  fx_start (config);
  for (int i = 0; i < 3; i++)
    expect_response (GET_MAP ("r1"), "200", "well");
  fx_stop ();
}

static void
ambiguous_framing_is_rejected (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);

  fx_start (config);
  expect_response (REQUEST_HEAD ("POST", "/fee/1",
                                 "s1") "Content-Length: 3\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                       "0\r\n\r\n",
                   "400", "");
  expect_response (
      REQUEST_HEAD ("POST", "/fee/1", "s2") "Content-Length: 3\r\n"
                                            "Content-Length: 4\r\n\r\nfee!",
      "400", "");
  expect_response (REQUEST_HEAD ("POST", "/fee/1",
                                 "s3") "Transfer-Encoding: gzip, chunked\r\n"
                                       "\r\n0\r\n\r\n",
                   "400", "");
  expect_response (REQUEST_HEAD ("POST", "/fee/1",
                                 "s4") "Transfer-Encoding: chunked\r\n\r\n"
                                       "zz\r\nfee\r\n0\r\n\r\n",
                   "400", "");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  fx_stop ();
}

static void
internal_fields_are_stripped (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);
  char *last;

  fx_start (config);
  expect_response (
      REQUEST_HEAD ("GET", "/map/1",
                    "k1") "X-Ibisloom-Tenant: other\r\nX-Ibisloom-Hold: h\r\n"
                          "Kv-From: 1.2.3.4:5/x\r\nX-Ibisloom-Kv-Backup: b\r\n"
                          "X-Ibisloom-Pin-Duration: 1\r\nX-Own: kept\r\n\r\n",
      "200", "well");
  last = fx_target_last_request (desk);
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
signals_during_startup_are_handled (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
  fx_store_start (config);
  fx_router_spawn (0, "/dev/null");
  CU_ASSERT (fx_wait_until (fx_handles_sighup));
  for (int i = 0; i < 50; i++)
    {
      fx_signal (SIGHUP);
      fx_sleep_ms (1);
    }
  CU_ASSERT (fx_wait_until (fx_is_ready));
  expect_response (GET_MAP ("r1"), "200", "well");
  fx_stop ();
}

static void
settings_are_reloaded (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
  fx_start (config);
  fx_write_settings ("retry_ratio: 0.5\n");
  fx_signal (SIGHUP);
  expect_response (GET_MAP ("r1"), "200", "well");
  fx_write_settings ("no such key: 1\n");
  fx_signal (SIGHUP);
  expect_response (GET_MAP ("r2"), "200", "well");
  CU_ASSERT_EQUAL (fx_terminate (), 0);
  fx_stop ();
}

static void
metrics_count_requests (void)
{
  char *metrics;

  fx_target_add ("i-1", "desk", respond_ok);
  fx_start (config);
  expect_response (GET_MAP ("r1"), "200", "well");
  expect_response (REQUEST_HEAD ("GET", "/none/", "n1") "\r\n", "404", "");
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
shutdown_completes_open_requests (void)
{
  char *response;
  char *start;
  int fd;

  fx_target_add ("i-1", "pool", stream_slowly);
  fx_target_add ("i-2", "desk", respond_ok);
  fx_start (config);
  fd = fx_connect ();
  fx_send (fd, POST_RULES ("a1"));
  start = fx_read_until (fd, "data: e1");
  fx_signal (SIGTERM);
  expect_response (GET_MAP ("r1"), "200", "Connection: close");
  response = fx_read_all (fd);
  CU_ASSERT (g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  CU_ASSERT_EQUAL (fx_wait (), 0);
  g_free (start);
  g_free (response);
  fx_stop ();
}

/* What a caller sends behind its request lies unread when the process ends,
   and must not destroy the answer on its way.  */
static void
shutdown_with_unread_input_completes_response (void)
{
  char *response;
  char *start;
  int fd;

  fx_target_add ("i-1", "pool", stream_large_event);
  fx_start (config);
  fd = fx_connect ();
  fx_shrink_receive_buffer (fd);
  fx_send (fd, POST_RULES ("a1"));
  start = fx_read_until (fd, "data: e1");
  fx_signal (SIGTERM);
  fx_sleep_ms (3500);
  fx_send (fd, POST_RULES ("a2"));
  fx_sleep_ms (300);
  response = fx_read_until (fd, "\r\n0\r\n\r\n");
  CU_ASSERT (g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  close (fd);
  CU_ASSERT_EQUAL (fx_wait (), 0);
  g_free (start);
  g_free (response);
  fx_stop ();
}

static struct fx_target *observed_target;
static int requests_before;

/* Returns whether a read no longer goes to the watched target.  */
static int
observed_target_is_idle (void)
{
  requests_before = fx_target_requests (observed_target);
  for (int i = 0; i < 4; i++)
    g_free (fx_exchange (GET_MAP ("w1")));
  return fx_target_requests (observed_target) == requests_before;
}

static int
observed_target_is_used (void)
{
  return !observed_target_is_idle ();
}

static void
draining_targets_get_no_requests (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", respond_ok);
  struct fx_target *second;

  fx_start (config);
  second = fx_target_add ("i-2", "desk", respond_ok);
  observed_target = second;
  CU_ASSERT (fx_wait_until (observed_target_is_used));
  fx_target_set_state (second, "draining");
  CU_ASSERT (fx_wait_until (observed_target_is_idle));
  fx_target_set_state (second, "ready");
  CU_ASSERT (fx_wait_until (observed_target_is_used));
  fx_store_compact ();
  fx_target_remove (second);
  CU_ASSERT (fx_wait_until (observed_target_is_idle));
  CU_ASSERT (fx_target_requests (first) > 0);
  fx_stop ();
}

static void
invalid_entries_are_ignored (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
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
    expect_response (GET_MAP ("r1"), "200", "well");
  fx_store_put ("config", "main", "{\"version\":9,\"routes\":\"none\"}");
  expect_response (GET_MAP ("r2"), "200", "well");
  fx_stop ();
}

static void
expired_entry_is_kept_after_outage (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);

  fx_start (config);
  fx_store_set_down (1);
  fx_target_remove (desk);
  expect_response (GET_MAP ("r1"), "200", "well");
  fx_store_set_down (0);
  /* The entry is missing for a while after the store is back.  */
  for (int i = 0; i < 10; i++)
    {
      expect_response (GET_MAP ("r2"), "200", "well");
      fx_sleep_ms (100);
    }
  fx_target_set_state (desk, "ready");
  fx_sleep_ms (2500);
  expect_response (GET_MAP ("r3"), "200", "well");
  fx_stop ();
}

/* A silent store ends all entries at once and then writes them again.  */
static void
simultaneous_expiry_keeps_targets (void)
{
  struct fx_target *desk[3] = { fx_target_add ("i-1", "desk", respond_ok),
                                fx_target_add ("i-2", "desk", respond_ok),
                                fx_target_add ("i-3", "desk", respond_ok) };

  fx_start (config);
  for (int i = 0; i < 3; i++)
    fx_target_remove (desk[i]);
  for (int i = 0; i < 10; i++)
    {
      expect_response (GET_MAP ("r1"), "200", "well");
      fx_sleep_ms (100);
    }
  for (int i = 0; i < 3; i++)
    fx_target_set_state (desk[i], "ready");
  fx_sleep_ms (1000);
  expect_response (GET_MAP ("r2"), "200", "well");
  fx_stop ();
}

/* The instance starts with no store; a peer says that it knows more.  */
static void
startup_from_peer_without_store (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
  fx_store_put ("config", "main", config);
  fx_store_set_down (1);
  fx_start (NULL);
  fx_peer_start ();
  CU_ASSERT (fx_wait_until (fx_is_ready));
  expect_response (GET_MAP ("r1"), "200", "well");
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
  fx_store_block_watches (1);
  fx_store_put ("config", "main", next);
  fx_peer_start ();
  CU_ASSERT (fx_wait_until (next_version_is_in_force));
  fx_store_block_watches (0);
  g_free (next);
}

/* The answer to the watch is lost; a peer tells that there is more.  */
static void
stalled_watch_is_restarted (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
  fx_start (config);
  fx_sleep_ms (WATCH_START_MS);
  expect_next_version_from_peer ();
  fx_stop ();
}

/* The instance leaves the store to two others of its failure domain, which are
   cut off without a sign; one of another domain knows the next version.  */
static void
other_failure_domain_supplies_update (void)
{
  fx_target_add ("i-1", "desk", respond_ok);
  fx_start (config);
  fx_stale_watchers_start (2);
  fx_sleep_ms (WATCH_STOP_MS);
  expect_next_version_from_peer ();
  fx_stop ();
}

static int
observed_target_is_abandoned (void)
{
  return fx_target_closed_by_router (observed_target) > 0;
}

static int
observed_target_has_request (void)
{
  return fx_target_requests (observed_target) > 0;
}

static void
disconnect_aborts_request (void)
{
  int fd;

  observed_target = fx_target_add ("i-1", "pool", never_respond);
  fx_start (config);
  fd = fx_connect ();
  fx_send (fd, POST_RULES ("g1"));
  CU_ASSERT (fx_wait_until (observed_target_has_request));
  CU_ASSERT_EQUAL (fx_target_closed_by_router (observed_target), 0);
  close (fd);
  CU_ASSERT (fx_wait_until (observed_target_is_abandoned));
  fx_stop ();
}

static void
oversized_requests_are_refused (void)
{
  struct fx_target *desk = fx_target_add ("i-1", "desk", respond_ok);
  char *large = g_strnfill (5000, 'x');
  char *head = g_strdup_printf (
      REQUEST_HEAD ("GET", "/map/1", "l1") "X: %s\r\n\r\n", large);
  char *chunked = g_strdup_printf (
      REQUEST_HEAD ("POST", "/fee/1",
                    "l3") "Transfer-Encoding: chunked\r\n\r\n"
                          "1388\r\n%s\r\n0\r\n\r\n",
      large);

  fx_start (config);
  expect_response (head, "431", "");
  expect_response (
      REQUEST_HEAD ("POST", "/fee/1", "l2") "Content-Length: 5000\r\n\r\n",
      "413", "");
  expect_response (chunked, "413", "");
  CU_ASSERT_EQUAL (fx_target_requests (desk), 0);
  g_free (large);
  g_free (head);
  g_free (chunked);
  fx_stop ();
}

static void
unresponsive_target_is_avoided (void)
{
  struct fx_target *first = fx_target_add ("i-1", "desk", never_respond);

  fx_target_add ("i-2", "desk", respond_ok);
  fx_start (config);
  for (int i = 0; i < 6; i++)
    expect_response (GET_MAP ("r1"), "200", "well");
  CU_ASSERT (fx_target_requests (first) <= 2);
  fx_stop ();
}
