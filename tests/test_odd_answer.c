/* End-to-end tests of odd answers of targets, at the beginning of a stream and
   after it has begun: what clients get is a part of the stream, and looks
   complete only if it is.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
#include "test.h"

/* Heads of answers to the attempt "s".  */
#define FIELDS                                                                \
  "X-Ibisloom-Attempt-Id: s\r\nX-Ibisloom-Response-Signature: s-s\r\n"
#define STREAM "HTTP/1.1 200 OK\r\n" FIELDS "Content-Type: text/event-stream"
#define CHUNKED "\r\nTransfer-Encoding: chunked\r\n\r\n"
#define ERROR(status) "HTTP/1.1 " status "\r\n" FIELDS
#define E3 "id: 3\ndata: e3\n\n"
#define E3_CHUNK "f\r\n" E3 "\r\n"

enum
{
  EVENTS = 5,
  EVENTS_BEFORE_CUT = 2,
  TARGETS = 64,
  /* Requests to a router, after which few targets are suspended; each start
     takes ports of the fixture.  */
  ANSWERS = 8,
  HEADS = 24
};

static void odd_answers_after_events_are_not_joined (void);
static void odd_answers_at_the_beginning_are_not_streams (void);
static void cut_heads_after_events_are_not_joined (void);
static void cut_heads_are_no_answers (void);

static const struct test_case cases[] = {
  { "odd answers after a stream has begun are not joined to it",
    odd_answers_after_events_are_not_joined },
  { "odd answers at the beginning of a stream do not look complete",
    odd_answers_at_the_beginning_are_not_streams },
  { "heads cut at each place after a stream has begun are not joined to it",
    cut_heads_after_events_are_not_joined },
  { "heads cut at each place are no answers", cut_heads_are_no_answers },
};

TEST_MAIN ("oddanswer", cases)

static const struct
{
  const char *text;
  int is_whole; /* a complete stream that has no more events */
} answers[] = {
  { "oops\r\n\r\n", 0 },
  { ERROR ("500 E") "Content-Length: 4\r\n\r\noops", 0 },
  { ERROR ("500 E") "Content-Type: text/event-stream\r\n"
                    "Content-Length: 12\r\n\r\ndata: oops\n\n",
    0 },
  { ERROR ("500 E") "\r\noops", 0 },
  { ERROR ("500 E") "Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n",
    0 },
  { ERROR ("500 E") "Content-Length: 9\r\n\r\noops", 0 },
  { "HTTP/1.0 500 E\r\n" FIELDS "\r\noops", 0 },
  { ERROR ("503 E") "X-Ibisloom-Not-Executed: 1\r\n"
                    "Content-Length: 4\r\n\r\noops",
    0 },
  { ERROR ("404 E") "Content-Length: 4\r\n\r\noops", 0 },
  { ERROR ("302 E") "Location: /oops\r\nContent-Length: 0\r\n\r\n", 0 },
  { "HTTP/1.1 204 E\r\n" FIELDS "\r\n", 0 },
  { "HTTP/1.1 304 E\r\n" FIELDS "\r\n", 0 },
  { "HTTP/1.1 100 Continue\r\n\r\n" ERROR (
        "500 E") "Content-Length: 4\r\n\r\noops",
    0 },
  { "HTTP/1.1 102 Processing\r\n\r\n", 0 },
  { "HTTP/1.1 200 OK\r\n" FIELDS "Content-Type: application/json\r\n"
    "Content-Length: 8\r\n\r\n{\"oops\"}",
    0 },
  { "HTTP/1.1 200 OK\r\n" FIELDS "Content-Type: application/json\r\n\r\n"
    "{\"oops\"}",
    0 },
  { STREAM CHUNKED "0\r\n\r\n", 1 },
  { STREAM "\r\nContent-Length: 0\r\n\r\n", 1 },
  { STREAM "\r\n\r\n", 0 },
  { "HTTP/1.0 200 OK\r\n" FIELDS "Content-Type: text/event-stream\r\n\r\n",
    0 },
  { STREAM CHUNKED, 0 },
  { STREAM "\r\nContent-Length: 30\r\n\r\n", 0 },
  { STREAM CHUNKED E3_CHUNK, 0 },
  { STREAM CHUNKED "8\r\nid: 3\nda\r\n0\r\n\r\n", 0 },
  { STREAM "\r\n\r\nid: 3\nda", 0 },
  { STREAM CHUNKED E3_CHUNK ERROR ("500 E") "\r\noops\n\n", 0 },
  { STREAM "\r\n\r\n" E3 ERROR ("500 E") "Content-Length: 6\r\n\r\noops\n\n",
    0 },
  { STREAM "\r\n\r\n" E3 "oops\n\n", 0 },
  { STREAM "\r\n\r\n{\"error\":\"oops\"}\n\n", 0 },
  { STREAM "\r\n\r\n" E3 "internal error: oops\n\n", 0 },
  { STREAM CHUNKED "f\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n", 0 },
};

static const char *odd_answer;
static size_t odd_bytes; /* of it that are sent */
static int odd_count;    /* attempts that are yet to get it */

/* Begins a stream and breaks it off; answers oddly when asked to go on with
   it, and at last goes on.  */
static int
answer_oddly_when_resumed (const struct fx_request *request)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");
  int next = after != NULL ? atoi (after) + 1 : 1;
  int is_odd = after != NULL && g_atomic_int_add (&odd_count, -1) > 0;

  g_free (after);
  if (is_odd)
    {
      char *text = g_strndup (odd_answer, odd_bytes);

      fx_write (request->fd, text);
      g_free (text);
      return 0;
    }
  shop_start_stream (request);
  shop_write_events (request, next, next == 1 ? EVENTS_BEFORE_CUT : EVENTS);
  if (next > 1)
    fx_write (request->fd, "0\r\n\r\n");
  return 0;
}

/* Answers oddly as long as it is asked to.  */
static int
answer_oddly (const struct fx_request *request)
{
  char *text = g_strndup (odd_answer, odd_bytes);
  int is_odd = g_atomic_int_add (&odd_count, -1) > 0;

  if (is_odd)
    fx_write (request->fd, text);
  else if (strstr (request->text, "/plan/") != NULL)
    shop_stream_events (request);
  else
    shop_respond_ok (request);
  g_free (text);
  return 0;
}

/* Returns the body of RESPONSE without the framing of its chunks, newly
   allocated.  Sets IS_COMPLETE to whether its last chunk has come.  */
static GString *
read_chunks (const char *response, int *is_complete)
{
  const char *at = strstr (response, "\r\n\r\n");
  GString *body = g_string_new (NULL);

  *is_complete = 0;
  for (at = at != NULL ? at + 4 : ""; *at != '\0';)
    {
      char *end;
      size_t size = strtoul (at, &end, 16);

      if (size == 0 || strlen (end) < size + 4)
        {
          *is_complete = strcmp (at, "0\r\n\r\n") == 0;
          break;
        }
      g_string_append_len (body, end + 2, (gssize)size);
      at = end + 2 + size + 2;
    }
  return body;
}

/* Checks that the RESPONSE to the odd answer IS_RIGHT.  */
static void
expect (int is_right, const char *response)
{
  if (!is_right)
    printf ("%zu bytes of: %.400s\ngot: %.600s\n", odd_bytes, odd_answer,
            response);
  CU_ASSERT (is_right);
}

/* Checks that RESPONSE is a part of the stream, from its beginning and with at
   least the events before it was cut, that looks complete only if it is, or if
   IS_WHOLE.  */
static void
expect_part (const char *response, int is_whole)
{
  GString *stream = g_string_new (NULL);
  int is_complete;
  GString *body = read_chunks (response, &is_complete);

  for (int i = 1; i <= EVENTS; i++)
    g_string_append_printf (stream, "id: %d\ndata: e%d\n\n", i, i);
  expect (g_str_has_prefix (stream->str, body->str)
              && body->len >= stream->len / EVENTS * EVENTS_BEFORE_CUT
              && (!is_complete || is_whole || body->len == stream->len),
          response);
  g_string_free (stream, TRUE);
  g_string_free (body, TRUE);
}

/* Checks that RESPONSE, if it is a stream, has nothing but events, and does
   not look complete unless IS_WHOLE.  */
static void
expect_events (const char *response, int is_whole)
{
  int is_complete;
  GString *body = read_chunks (response, &is_complete);

  expect (strstr (response, "\r\nContent-Type: text/event-stream") == NULL
              || !g_str_has_prefix (response, "HTTP/1.1 200")
              || (strstr (body->str, "oops") == NULL
                  && (!is_complete || is_whole)),
          response);
  g_string_free (body, TRUE);
}

/* Checks that RESPONSE is that of a sound target.  */
static void
expect_well (const char *response, int is_whole)
{
  (void)is_whole;
  expect (g_str_has_suffix (response, "\r\n\r\nwell"), response);
}

/* Starts the router and targets of SERVICE with HANDLER.  */
static void
start (const char *service, fx_handler_fn handler)
{
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, service, handler);
      g_free (id);
    }
  fx_env_start (shop_config);
}

/* Plays each answer to all attempts of a request to targets with HANDLER, and
   passes the response, and whether the answer is whole, to CHECK.  */
static void
play_answers (fx_handler_fn handler, void (*check) (const char *, int))
{
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      char *response;

      odd_answer = answers[i].text;
      odd_bytes = strlen (odd_answer);
      g_atomic_int_set (&odd_count, G_MAXINT);
      if (i % ANSWERS == 0)
        start ("pool", handler);
      response = fx_exchange (POST_PLAN ("s"));
      check (response, answers[i].is_whole);
      g_free (response);
      if (i % ANSWERS == ANSWERS - 1 || i + 1 == G_N_ELEMENTS (answers))
        fx_env_stop ();
    }
}

/* Sends REQUEST once for each length of ANSWER that is sent at its first
   attempt, or first attempt to go on, to targets of SERVICE with HANDLER, and
   passes the response to CHECK.  */
static void
play_cuts (const char *answer, const char *request, const char *service,
           fx_handler_fn handler, void (*check) (const char *, int))
{
  odd_answer = answer;
  for (odd_bytes = 1; odd_bytes <= strlen (answer); odd_bytes++)
    {
      char *response;

      if (odd_bytes % HEADS == 1)
        start (service, handler);
      g_atomic_int_set (&odd_count, 1);
      response = fx_exchange (request);
      check (response, 0);
      g_free (response);
      if (odd_bytes % HEADS == 0 || odd_bytes == strlen (answer))
        fx_env_stop ();
    }
}

static void
odd_answers_after_events_are_not_joined (void)
{
  play_answers (answer_oddly_when_resumed, expect_part);
}

static void
odd_answers_at_the_beginning_are_not_streams (void)
{
  play_answers (answer_oddly, expect_events);
}

static void
cut_heads_after_events_are_not_joined (void)
{
  play_cuts (STREAM CHUNKED, POST_PLAN ("s"), "pool",
             answer_oddly_when_resumed, expect_part);
}

static void
cut_heads_are_no_answers (void)
{
  play_cuts (ERROR ("200 OK") "Content-Length: 4\r\n\r\nwell", GET_MAP ("s"),
             "desk", answer_oddly, expect_well);
}
