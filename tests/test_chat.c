/* Responses of engines to chat requests of the own interface.  */
#include <string.h>

#include "librequest.h"
#include "test.h"

enum
{
  PIECE_BYTES = 16384,
  PIECES_MAX = 2048,          /* 32 MB in all */
  MEMORY_MAX_BYTES = 16777216 /* that one response may take */
};

static void event_without_end_is_refused (void);
static void text_without_end_is_refused (void);
static void error_without_end_is_refused (void);
static void split_events_are_joined (void);
static void odd_text_is_not_joined (void);
static void errors_do_not_end_streams (void);

static const struct test_case cases[] = {
  { "an event without end is refused", event_without_end_is_refused },
  { "text without end is refused", text_without_end_is_refused },
  { "an error without end is refused", error_without_end_is_refused },
  { "events that arrive in pieces are joined", split_events_are_joined },
  { "text that is no event is not joined to a stream",
    odd_text_is_not_joined },
  { "an error after a stream has begun does not end it",
    errors_do_not_end_streams },
};

TEST_MAIN ("chat", cases)

/* Prepares REQ for the response of an engine with STATUS.  */
static void
start_response (struct req *req, long status)
{
  memset (req, 0, sizeof *req);
  req->kind = VER_KIND_CHAT;
  req->attempt.status = status;
  req->out = g_string_new (NULL);
  req->content = g_string_new (NULL);
  req->events.partial = g_string_new (NULL);
}

static void
end_response (struct req *req)
{
  g_string_free (req->out, TRUE);
  g_string_free (req->content, TRUE);
  g_string_free (req->events.partial, TRUE);
}

/* Feeds PIECE until REQ refuses it.  Returns whether it did, before it took
   too much memory.  */
static int
is_bounded (struct req *req, const char *piece)
{
  for (int i = 0; i < PIECES_MAX; i++)
    {
      if (req_on_data (req, piece, strlen (piece)) != 0)
        return 1;
      if (req->out->len + req->content->len + req->events.partial->len
          > MEMORY_MAX_BYTES)
        return 0;
    }
  return 0;
}

static void
event_without_end_is_refused (void)
{
  char *piece = g_strnfill (PIECE_BYTES, 'x');
  struct req req;

  start_response (&req, 200);
  CU_ASSERT (is_bounded (&req, piece));
  end_response (&req);
  g_free (piece);
}

static void
text_without_end_is_refused (void)
{
  char *text = g_strnfill (PIECE_BYTES, 'x');
  char *event = g_strdup_printf (
      "data: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n", text);
  struct req req;

  start_response (&req, 200);
  CU_ASSERT (is_bounded (&req, event));
  end_response (&req);
  g_free (event);
  g_free (text);
}

static void
error_without_end_is_refused (void)
{
  char *piece = g_strnfill (PIECE_BYTES, 'x');
  struct req req;

  start_response (&req, 500);
  CU_ASSERT (is_bounded (&req, piece));
  end_response (&req);
  g_free (piece);
}

static void
split_events_are_joined (void)
{
  const char *stream = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":"
                       "\"a\"}}]}\n\nid: 1\ndata: {\"choices\":[{\"delta\":"
                       "{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n";
  struct req req;

  start_response (&req, 200);
  for (const char *at = stream; *at != '\0'; at++)
    CU_ASSERT_EQUAL (req_on_data (&req, at, 1), 0);
  CU_ASSERT_STRING_EQUAL (req.content->str, "ab");
  CU_ASSERT_EQUAL (req.events.offset, 2);
  CU_ASSERT (req.events.done);
  end_response (&req);
}

/* Prepares REQ for the response of an engine that goes on with a stream.  */
static void
begin_stream (struct req *req)
{
  start_response (req, 200);
  req->stream = 1;
  req->repeatable = 1;
  req->attempt.is_head_complete = 1;
  req->response
      = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
  CU_ASSERT_EQUAL (req_on_data (req, "id: 0\ndata: a\n\n", 15), 0);
}

static void
end_stream (struct req *req)
{
  MHD_destroy_response (req->response);
  end_response (req);
}

static void
odd_text_is_not_joined (void)
{
  static const char *const odd[]
      = { "oops\n\n",
          "{\"error\":\"oops\"}\n\n",
          "data: {\"error\":\"oops\"}\n\n",
          "event: error\ndata: oops\n\n",
          "HTTP/1.1 500 E\r\n\r\ndata: oops\n\n",
          "HTTP/1.1 500 E\r\nContent-Length: 20\r\n\r\nid: 1\ndata: oops\n\n",
          "HTTP/1.1 500 E\r\n\r\noops\n\ndata: [DONE]\n\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      struct req req;

      begin_stream (&req);
      CU_ASSERT_EQUAL (req_on_data (&req, odd[i], strlen (odd[i])), -1);
      CU_ASSERT_STRING_EQUAL (req.out->str, "id: 0\ndata: a\n\n");
      CU_ASSERT (!req.events.done);
      end_stream (&req);
    }
}

static void
errors_do_not_end_streams (void)
{
  static const long statuses[] = { 204, 302, 304, 400, 404, 429, 500, 503 };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      struct req req;

      begin_stream (&req);
      req.attempt.status = statuses[i];
      CU_ASSERT_EQUAL (req_on_data (&req, "oops", 4), 0);
      CU_ASSERT_NOT_EQUAL (req_attempt_fault (&req, CURLE_OK),
                           RETRY_FAULT_COUNT);
      CU_ASSERT_STRING_EQUAL (req.out->str, "id: 0\ndata: a\n\n");
      end_stream (&req);
    }
}
