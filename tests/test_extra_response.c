/* Tests of targets that respond twice: what clients get as a success is the
   response to their own request, and nothing else.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/extra.h"
#include "shop.h"
#include "test.h"

#define STATUS_OK "HTTP/1.1 200 OK\r\n"
#define FIELDS                                                                \
  "X-Ibisloom-Attempt-Id: s\r\nX-Ibisloom-Response-Signature: s-s\r\n"
#define WELL "Content-Length: 4\r\n\r\nwell"
#define OOPS "Content-Length: 4\r\n\r\noops"

enum
{
  TARGETS = 4,
  LATE_MS = 60, /* between two responses */
  SPREAD_US = 30000,
  CALLERS = 12,
  CALLS = 60,
  LAST_EVENT = 5,
  LONG_BODY_BYTES = 100000 /* more than a router buffers */
};

static void second_response_is_found (void);
static void documents_are_no_responses (void);
static void response_is_not_joined_to_a_second (void);
static void long_response_with_a_second_is_not_complete (void);
static void second_response_is_not_given_to_another (void);
static void interim_content_is_not_joined (void);

static const struct test_case cases[] = {
  { "a second response is found in each piece of a body",
    second_response_is_found },
  { "documents with status lines are no second responses",
    documents_are_no_responses },
  { "a response without length is not joined to a second one",
    response_is_not_joined_to_a_second },
  { "a long response without length and a second one do not look complete",
    long_response_with_a_second_is_not_complete },
  { "a second response is not given to another request",
    second_response_is_not_given_to_another },
  { "the content of an interim response is not joined to the final one",
    interim_content_is_not_joined },
};

TEST_MAIN ("extraresponse", cases)

static const char *const seconds[]
    = { STATUS_OK FIELDS WELL, STATUS_OK FIELDS "\r\nwell",
        "HTTP/1.1 500 E\r\n" FIELDS OOPS,
        "HTTP/1.0 200 OK\r\nServer: a\r\nx-ibisloom-attempt-id: r\r\n" OOPS };

static const char *const documents[]
    = { "HTTP/1.1 200 OK",
        "GET / HTTP/1.1\r\n" FIELDS "\r\n",
        "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n" FIELDS,
        "HTTP/1.1 2x0 OK\r\n" FIELDS,
        "HTTP/1.1 200 OK\n X-Ibisloom-Attempt-Id: s\n",
        "HTTP/1.1 200 OK\nX-Ibisloom-Attempt-Ids: s\n" };

/* Returns whether a second response is found in TEXT, in pieces of STEP
   bytes.  */
static int
has_second (const char *text, size_t step)
{
  struct extra_scan scan = { 0 };
  size_t length = strlen (text);

  for (size_t at = 0; at < length; at += step)
    if (extra_scan_feed (&scan, "X-Ibisloom-Attempt-Id", text + at,
                         MIN (step, length - at)))
      return 1;
  return 0;
}

/* Guards against a second response that is not found as it comes in
   pieces.  */
static void
second_response_is_found (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (seconds); i++)
    {
      char *text = g_strconcat ("HHTTP/1.1 well", seconds[i], NULL);

      for (size_t step = 1; step <= strlen (text); step++)
        CU_ASSERT (has_second (text, step));
      g_free (text);
    }
}

/* Guards against the loss of a response that quotes another one.  */
static void
documents_are_no_responses (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (documents); i++)
    for (size_t step = 1; step <= strlen (documents[i]); step++)
      CU_ASSERT (!has_second (documents[i], step));
}

/* What a target writes, in two parts, before it closes the connection.  */
struct script
{
  const char *first;
  const char *second;
  int late_ms;
};

static struct script script;

static int
respond_as_scripted (const struct fx_request *request)
{
  fx_write (request->fd, script.first);
  fx_sleep_ms (script.late_ms);
  fx_write (request->fd, script.second);
  return 0;
}

/* Starts a router, and targets that write what NEXT says.  Returns the
   response to REQUEST, newly allocated.  */
static char *
play (const char *request, struct script next)
{
  char *response;

  script = next;
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, "desk", respond_as_scripted);
      g_free (id);
    }
  fx_env_start (shop_config);
  response = fx_exchange (request);
  fx_env_stop ();
  return response;
}

/* Checks that RESPONSE is no success, or has the body "well".  */
static void
expect_well_or_failure (const char *response)
{
  const char *body = strstr (response, "\r\n\r\n");
  int is_right = body != NULL
                 && (!g_str_has_prefix (response, "HTTP/1.1 2")
                     || strcmp (body + 4, "well") == 0);

  if (!is_right)
    printf ("target: %s|%s\ngot: %.600s\n", script.first, script.second,
            response);
  CU_ASSERT (is_right);
}

/* Guards against a success whose body is that of two responses.  */
static void
response_is_not_joined_to_a_second (void)
{
  static const char *const requests[] = { GET_MAP ("s"), POST_FEE ("s") };

  for (size_t i = 0; i < G_N_ELEMENTS (seconds); i++)
    for (size_t kind = 0; kind < G_N_ELEMENTS (requests); kind++)
      for (int late_ms = 0; late_ms <= LATE_MS; late_ms += LATE_MS)
        {
          struct script next
              = { STATUS_OK FIELDS "\r\nwell", seconds[i], late_ms };
          char *response = play (requests[kind], next);

          expect_well_or_failure (response);
          g_free (response);
        }
}

/* Guards against the same where the first response was forwarded before the
   second one came.  */
static void
long_response_with_a_second_is_not_complete (void)
{
  char *body = g_strnfill (LONG_BODY_BYTES, 'x');
  char *first = g_strconcat (STATUS_OK FIELDS "\r\n", body, NULL);
  char *response = play (
      GET_MAP ("s"), (struct script){ first, STATUS_OK FIELDS WELL, LATE_MS });

  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 200"));
  CU_ASSERT (!g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  CU_ASSERT (strstr (response, "well") == NULL);
  g_free (response);
  g_free (first);
  g_free (body);
}

/* Writes a stream whose events name the request ID.  */
static void
write_stream (const struct fx_request *request, const char *id)
{
  shop_start_stream (request);
  for (int i = 1; i <= LAST_EVENT; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s-%d\n\n", i, id, i);

      shop_write_chunk (request, event);
      g_free (event);
    }
  fx_write (request->fd, "0\r\n\r\n");
}

/* Responds, with an error in one case of four, and mostly once more a little
   later.  */
static int
respond_twice (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *body = g_strdup_printf ("body of %s", id);
  int way = g_random_int_range (0, 4);

  if (strstr (request->text, "POST /plan/") != NULL
      || strstr (request->text, "POST /rules/") != NULL)
    write_stream (request, id);
  else
    shop_respond (request, way == 1 ? "500 E" : "200 OK", body);
  g_usleep ((gulong)g_random_int_range (0, SPREAD_US));
  if (way > 0)
    shop_respond (request, "200 OK", body);
  g_free (body);
  g_free (id);
  return 1;
}

/* Checks that RESPONSE, to a request of KIND, is no success or that to ID.  */
static void
expect_own (const char *response, int kind, const char *id)
{
  char *body = g_strdup_printf ("\r\n\r\nbody of %s", id);
  char *event = g_strdup_printf ("\ndata: %s-%d\n", id, LAST_EVENT);
  int is_right
      = !g_str_has_prefix (response, "HTTP/1.1 2")
        || (kind < 2 ? g_str_has_suffix (response, body)
                     : strstr (response, event) != NULL
                           && g_str_has_suffix (response, "\r\n0\r\n\r\n"));

  if (!is_right)
    printf ("%s got: %.400s\n", id, response);
  CU_ASSERT (is_right);
  g_free (event);
  g_free (body);
}

static void *
call_often (void *closure)
{
  static const char *const requests[]
      = { GET_MAP ("%s"), POST_FEE ("%s"), POST_PLAN ("%s"),
          POST_RULES ("%s") };
  int caller = GPOINTER_TO_INT (closure);

  for (int i = 0; i < CALLS; i++)
    {
      int kind = g_random_int_range (0, (gint32)G_N_ELEMENTS (requests));
      char *id = g_strdup_printf ("c%d-%d", caller, i);
      char *text = g_strdup_printf (requests[kind], id);
      char *response = fx_exchange (text);

      expect_own (response, kind, id);
      g_free (response);
      g_free (text);
      g_free (id);
    }
  return NULL;
}

/* Guards against a late second response on a kept connection that is taken for
   that to the next request there.  */
static void
second_response_is_not_given_to_another (void)
{
  pthread_t threads[CALLERS];

  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", respond_twice);
      *id = 'p';
      fx_target_add (id, "pool", respond_twice);
      g_free (id);
    }
  fx_env_start (shop_config);
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&threads[i], NULL, call_often, GINT_TO_POINTER (i));
  for (int i = 0; i < CALLERS; i++)
    pthread_join (threads[i], NULL);
  fx_env_stop ();
}

/* Guards against a success whose body begins with what came before its
   head.  */
static void
interim_content_is_not_joined (void)
{
  static const char *const firsts[]
      = { "HTTP/1.1 103 E\r\n" OOPS,
          "HTTP/1.1 103 E\r\nTransfer-Encoding: chunked\r\n\r\n"
          "4\r\noops\r\n0\r\n\r\n",
          "HTTP/1.1 000 E\r\n" FIELDS OOPS, "HTTP/1.1 20 E\r\n" FIELDS OOPS,
          "HTTP/1.1 204 E\r\n" FIELDS OOPS };

  for (size_t i = 0; i < G_N_ELEMENTS (firsts); i++)
    {
      struct script next = { firsts[i], STATUS_OK FIELDS WELL, 0 };
      char *response = play (GET_MAP ("s"), next);

      CU_ASSERT (strstr (response, "oops") == NULL);
      g_free (response);
    }
}
