/* End-to-end tests of responses without a length whose connection is reset:
   only an orderly end of the connection completes them.  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shop.h"
#include "libfixture.h"
#include "test.h"

#define FIELDS                                                                \
  "X-Ibisloom-Attempt-Id: s\r\nX-Ibisloom-Response-Signature: s-s\r\n"
#define UNTIL_CLOSE "HTTP/1.1 200 OK\r\n" FIELDS "\r\n"
#define STREAM_UNTIL_CLOSE                                                    \
  "HTTP/1.1 200 OK\r\n" FIELDS "Content-Type: text/event-stream\r\n\r\n"

enum
{
  TARGETS = 3,
  EVENTS = 5,
  EVENTS_BEFORE_RESET = 2,
  STOP_MS = 300, /* the router stands still from then on */
  RESET_MS = 1400,
  CONTINUE_MS = 1600, /* its read timeout has expired, too */
  UPLOAD_BYTES = 3000000,
  READ_BYTES = 1000, /* of the upload, before the response */
  PART_BYTES = 20000 /* of the response */
};

static void reset_response_is_not_complete (void);
static void reset_stream_is_not_complete (void);
static void response_of_ended_target_is_not_complete (void);
static void stream_of_ended_target_is_not_complete (void);
static void stream_of_sound_target_is_complete (void);
static void reset_during_upload_is_not_complete (void);
static void error_during_upload_is_passed_on (void);

static const struct test_case cases[] = {
  { "a response that is reset at its read timeout is not complete",
    reset_response_is_not_complete },
  { "a stream that is reset at its read timeout is not complete",
    reset_stream_is_not_complete },
  { "a response whose target ends is not complete",
    response_of_ended_target_is_not_complete },
  { "a stream whose target ends between two events is not complete",
    stream_of_ended_target_is_not_complete },
  { "a stream that only the close of a sound target ends is complete",
    stream_of_sound_target_is_complete },
  { "a success that ends during the upload is not complete",
    reset_during_upload_is_not_complete },
  { "an error that ends during the upload is passed on",
    error_during_upload_is_passed_on },
};

TEST_MAIN ("reset", cases)

static int requests; /* so far */

static void write_events_until_close (const struct fx_request *request,
                                      int last);
static void expect_whole_stream (const char *response);

static int
reset_after (const struct fx_request *request, int ms)
{
  fx_sleep_ms (ms);
  fx_reset_on_close (request->fd);
  return 0;
}

/* Writes a part of the first response and resets its connection; responds
   well to others.  */
static int
reset_first_response (const struct fx_request *request)
{
  if (g_atomic_int_add (&requests, 1) > 0)
    return shop_respond_ok (request);
  fx_write (request->fd, UNTIL_CLOSE "we");
  return reset_after (request, RESET_MS);
}

/* The same for a stream, between two events; goes on with it when asked to. */
static int
reset_first_stream (const struct fx_request *request)
{
  if (g_atomic_int_add (&requests, 1) > 0)
    return shop_stream_events (request);
  write_events_until_close (request, EVENTS_BEFORE_RESET);
  return reset_after (request, RESET_MS);
}

/* Has the router find a reset and an expired timer when it goes on.  */
static void *
stop_router (void *closure)
{
  (void)closure;
  fx_sleep_ms (STOP_MS);
  fx_signal (SIGSTOP);
  fx_sleep_ms (CONTINUE_MS - STOP_MS);
  fx_signal (SIGCONT);
  return NULL;
}

/* Returns the response to REQUEST for SERVICE, whose targets have HANDLER,
   newly allocated.  The router is stopped meanwhile, or not.  */
static char *
play (const char *service, fx_handler_fn handler, const char *request,
      int is_stopped)
{
  pthread_t thread;
  char *response;

  g_atomic_int_set (&requests, 0);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, service, handler);
      g_free (id);
    }
  fx_env_start (shop_config);
  if (is_stopped)
    pthread_create (&thread, NULL, stop_router, NULL);
  response = fx_exchange (request);
  if (is_stopped)
    pthread_join (thread, NULL);
  fx_env_stop ();
  return response;
}

/* Guards against a reset that a look at the socket takes, so that the next
   call finds an orderly end.  */
static void
reset_response_is_not_complete (void)
{
  char *response = play ("desk", reset_first_response, GET_MAP ("s"), 1);

  if (!g_str_has_suffix (response, "\r\n\r\nwell"))
    printf ("got: %.400s\n", response);
  CU_ASSERT (g_str_has_suffix (response, "\r\n\r\nwell"));
  g_free (response);
}

/* Guards against the same between two events.  */
static void
reset_stream_is_not_complete (void)
{
  char *response = play ("pool", reset_first_stream, POST_PLAN ("s"), 1);

  expect_whole_stream (response);
  g_free (response);
}

/* Writes events up to LAST of a stream that only the close ends.  */
static void
write_events_until_close (const struct fx_request *request, int last)
{
  fx_write (request->fd, STREAM_UNTIL_CLOSE);
  for (int i = 1; i <= last; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);

      fx_write (request->fd, event);
      g_free (event);
    }
}

/* Closes the listener and then the connection of the target of REQUEST in
   order, as the system does for a process that is killed.  */
static int
end_target (const struct fx_request *request)
{
  shutdown (request->target->listener, SHUT_RDWR);
  return 0;
}

/* Ends the target in the middle of the first response.  */
static int
end_in_first_response (const struct fx_request *request)
{
  if (g_atomic_int_add (&requests, 1) > 0)
    return shop_respond_ok (request);
  fx_write (request->fd, UNTIL_CLOSE "we");
  return end_target (request);
}

/* The same in the first stream.  */
static int
end_in_first_stream (const struct fx_request *request)
{
  if (g_atomic_int_add (&requests, 1) > 0)
    return shop_stream_events (request);
  write_events_until_close (request, EVENTS_BEFORE_RESET);
  return end_target (request);
}

static int
write_whole_stream (const struct fx_request *request)
{
  write_events_until_close (request, EVENTS);
  return 0;
}

/* Guards against the end of a process that passes for the end of its
   response.  */
static void
response_of_ended_target_is_not_complete (void)
{
  char *response = play ("desk", end_in_first_response, GET_MAP ("s"), 0);

  CU_ASSERT (g_str_has_suffix (response, "\r\n\r\nwell"));
  g_free (response);
}

/* Checks that RESPONSE is a whole stream.  */
static void
expect_whole_stream (const char *response)
{
  char *last = g_strdup_printf ("data: e%d\n", EVENTS);
  int is_whole = strstr (response, last) != NULL
                 && g_str_has_suffix (response, "\r\n0\r\n\r\n");

  if (!is_whole)
    printf ("got: %.600s\n", response);
  CU_ASSERT (is_whole);
  g_free (last);
}

/* Guards against the same between two events.  */
static void
stream_of_ended_target_is_not_complete (void)
{
  char *response = play ("pool", end_in_first_stream, POST_PLAN ("s"), 0);

  expect_whole_stream (response);
  g_free (response);
}

/* Guards against whole streams that are taken for cut ones.  */
static void
stream_of_sound_target_is_complete (void)
{
  char *plan = play ("pool", write_whole_stream, POST_PLAN ("s"), 0);
  char *rules = play ("pool", write_whole_stream, POST_RULES ("s"), 0);

  expect_whole_stream (plan);
  expect_whole_stream (rules);
  g_free (rules);
  g_free (plan);
}

/* How a target ends a connection on which the request is still coming.  */
enum early_end
{
  END_RESET,
  END_HALF_CLOSE, /* its own side first */
  END_HALF_CLOSE_RESET,
  END_COUNT
};

static enum early_end early_end;
static const char *early_status;

/* Responds to requests on LISTENER as soon as they begin, and ends their
   connections.  */
static void *
respond_early (void *closure)
{
  int listener = GPOINTER_TO_INT (closure);
  char *part = g_strnfill (PART_BYTES, 'p');
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\n" FIELDS "\r\n%s",
                                early_status, part);
  char buffer[READ_BYTES];
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      if (read (fd, buffer, sizeof buffer) > 0)
        fx_write (fd, text);
      if (early_end != END_HALF_CLOSE)
        fx_reset_on_close (fd);
      if (early_end != END_RESET)
        shutdown (fd, SHUT_WR);
      if (early_end == END_HALF_CLOSE)
        fx_sleep_ms (STOP_MS);
      close (fd);
    }
  g_free (text);
  g_free (part);
  return NULL;
}

/* Returns the configuration of the tests with room for long bodies, newly
   allocated.  */
static char *
make_config (void)
{
  static const char limit[] = "\"max_body_bytes\":1000,";
  const char *at = strstr (shop_config, limit);

  return g_strdup_printf ("%.*s\"max_body_bytes\":4000000,%s",
                          (int)(at - shop_config), shop_config,
                          at + sizeof limit - 1);
}

/* Returns the response to a long request on PATH, newly allocated, at whose
   beginning a target responds with STATUS and ends the connection by END.  */
static char *
upload (const char *path, const char *status, enum early_end end)
{
  char *config = make_config ();
  char *body = g_strnfill (UPLOAD_BYTES, 'x');
  char *request = g_strdup_printf (
      REQUEST_HEAD ("POST", "%s", "s") "Content-Length: %d\r\n\r\n%s", path,
      UPLOAD_BYTES, body);
  struct fx_target *target = fx_target_add ("i-0", "desk", shop_respond_ok);
  int listener = fx_listen (&target->port);
  pthread_t thread;
  char *response;

  early_status = status;
  early_end = end;
  fx_shrink_receive_buffer (listener);
  fx_target_put_entry (target, "");
  pthread_create (&thread, NULL, respond_early, GINT_TO_POINTER (listener));
  fx_env_start (config);
  response = fx_exchange (request);
  fx_env_stop ();
  shutdown (listener, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (listener);
  g_free (request);
  g_free (body);
  g_free (config);
  return response;
}

/* Guards against a success of which the target has written a part when it gave
   up a request that it had not received.  */
static void
reset_during_upload_is_not_complete (void)
{
  for (int end = 0; end < END_COUNT; end++)
    {
      char *read = upload ("/map/1", "200 OK", (enum early_end)end);
      char *call = upload ("/fee/1", "200 OK", (enum early_end)end);

      CU_ASSERT (g_str_has_prefix (read, "HTTP/1.1 502"));
      CU_ASSERT (g_str_has_prefix (call, "HTTP/1.1 502"));
      g_free (call);
      g_free (read);
    }
}

/* Guards against the loss of what a target says of a request that it does not
   take.  */
static void
error_during_upload_is_passed_on (void)
{
  char *response = upload ("/fee/1", "413 Payload Too Large", END_HALF_CLOSE);

  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 413"));
  g_free (response);
}
