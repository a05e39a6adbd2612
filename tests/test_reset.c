/* End-to-end tests of responses without a length whose connection is reset:
   only an orderly end of the connection completes them.  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
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
  CONTINUE_MS = 1600 /* its read timeout has expired, too */
};

static void reset_response_is_not_complete (void);
static void reset_stream_is_not_complete (void);

static const struct test_case cases[] = {
  { "a response that is reset at its read timeout is not complete",
    reset_response_is_not_complete },
  { "a stream that is reset at its read timeout is not complete",
    reset_stream_is_not_complete },
};

TEST_MAIN ("reset", cases)

static int requests; /* so far */

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
  fx_write (request->fd, STREAM_UNTIL_CLOSE);
  for (int i = 1; i <= EVENTS_BEFORE_RESET; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);

      fx_write (request->fd, event);
      g_free (event);
    }
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
   newly allocated.  */
static char *
play (const char *service, fx_handler_fn handler, const char *request)
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
  pthread_create (&thread, NULL, stop_router, NULL);
  response = fx_exchange (request);
  pthread_join (thread, NULL);
  fx_env_stop ();
  return response;
}

/* Guards against a reset that a look at the socket takes, so that the next
   call finds an orderly end.  */
static void
reset_response_is_not_complete (void)
{
  char *response = play ("desk", reset_first_response, GET_MAP ("s"));

  if (!g_str_has_suffix (response, "\r\n\r\nwell"))
    printf ("got: %.400s\n", response);
  CU_ASSERT (g_str_has_suffix (response, "\r\n\r\nwell"));
  g_free (response);
}

/* Guards against the same between two events.  */
static void
reset_stream_is_not_complete (void)
{
  char *response = play ("pool", reset_first_stream, POST_PLAN ("s"));
  char *last = g_strdup_printf ("data: e%d\n", EVENTS);

  if (strstr (response, last) == NULL)
    printf ("got: %.600s\n", response);
  CU_ASSERT (strstr (response, last) != NULL);
  CU_ASSERT (g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  g_free (last);
  g_free (response);
}
