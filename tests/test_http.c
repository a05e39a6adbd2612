/* Tests of heads whose end of message parsers may find at different places,
   which allow request smuggling. */
#include <string.h>

#include "ibisloom/http.h"
#include "test.h"

#define POST(fields) "POST /a HTTP/1.1\r\nHost: b\r\n" fields "\r\n"
#define ANSWER(fields) "HTTP/1.1 200 OK\r\n" fields "\r\n"
#define EMPTY_CHUNK "0\r\n\r\n"

enum
{
  HEAD_BYTES = 4096
};

static void ambiguous_requests_are_malformed (void);
static void ambiguous_responses_are_malformed (void);
static void plain_messages_are_read (void);
static void space_after_names_is_removed_in_responses (void);
static void invalid_statuses_are_malformed (void);
static void responses_without_content_have_none (void);

static const struct test_case cases[] = {
  { "requests with ambiguous heads are malformed",
    ambiguous_requests_are_malformed },
  { "responses with ambiguous heads are malformed",
    ambiguous_responses_are_malformed },
  { "plain messages are read", plain_messages_are_read },
  { "white space after field names is removed in responses",
    space_after_names_is_removed_in_responses },
  { "responses with a status below 100 are malformed",
    invalid_statuses_are_malformed },
  { "what follows a response that has no content is not its content",
    responses_without_content_have_none },
};

TEST_MAIN ("http", cases)

static const char *const requests[] = {
  POST ("Transfer-Encoding : chunked\r\n") EMPTY_CHUNK,
  POST ("Transfer-Encoding  : chunked\r\nContent-Length: 5\r\n") EMPTY_CHUNK,
  POST ("Transfer-Encoding\t: chunked\r\n") EMPTY_CHUNK,
  POST ("Content-Length : 5\r\n") "01234",
  POST ("X-Own : a\r\n"),
  POST ("X Own: a\r\n"),
  POST ("X-Own: a\r\n Transfer-Encoding: chunked\r\n") EMPTY_CHUNK,
  POST ("X-Own: a\r\n\tb\r\n"),
  POST ("X-Own:\r\n a\r\n"),
  POST ("Transfer-Encoding:\r\n chunked\r\n") EMPTY_CHUNK,
  POST ("Transfer-Encoding: chu\r\n nked\r\n") EMPTY_CHUNK,
  POST ("Content-Length: 1\r\n 0\r\n") "0",
  POST ("Content-Length:\r\n"),
  POST ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")
      EMPTY_CHUNK,
  POST ("Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n")
      EMPTY_CHUNK,
  POST ("Transfer-Encoding: identity\r\n"),
  POST ("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") EMPTY_CHUNK,
  "POST /a HTTP/1.1\r\n Host: b\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: b\r\n\rX",
  "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" EMPTY_CHUNK,
};

static const char *const responses[] = {
  ANSWER ("Transfer-Encoding : chunked\r\nContent-Length: 5\r\n") EMPTY_CHUNK,
  ANSWER ("Transfer-Encoding: chunked\r\nContent-Length : 5\r\n") EMPTY_CHUNK,
  ANSWER ("Transfer-Encoding : chunked\r\nTransfer-Encoding: chunked\r\n")
      EMPTY_CHUNK,
  ANSWER ("Transfer-Encoding:\r\n chunked\r\n") EMPTY_CHUNK,
  ANSWER ("Content-Length: 1\r\n 0\r\n") "0",
  ANSWER ("X Own: a\r\nContent-Length: 0\r\n"),
  "HTTP/1.1 100 Continue\r\n\r\n" ANSWER ("X-Own: a\r\n b\r\n"),
  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\rX",
};

static const char *const plain_requests[] = {
  POST ("Content-Length: 5\r\n") " a\r\nb",
  POST ("Transfer-Encoding: chunked\r\n") "3\r\n\n b\r\n0\r\n\r\n",
  "\r\n\r\nPOST /a HTTP/1.1\nHost: b\nX-Own:\n\n",
};

static const char *const plain_responses[] = {
  "HTTP/1.1 100 Continue\r\n\r\n" ANSWER ("Content-Length: 2\r\n") " a",
  ANSWER ("Transfer-Encoding : chunked\r\n") EMPTY_CHUNK,
};

static const char *const invalid_statuses[] = {
  "HTTP/1.1 000 E\r\nContent-Length: 4\r\n\r\noops",
  "HTTP/1.1 000 E\r\n\r\noops",
  "HTTP/1.1 099 E\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
};

/* Interim responses with content, which they can't have.  */
static const char *const interim_content[] = {
  "HTTP/1.1 103 E\r\nContent-Length: 4\r\n\r\noops" ANSWER (""),
  "HTTP/1.1 100 E\r\nTransfer-Encoding: chunked\r\n\r\n"
  "4\r\noops\r\n" EMPTY_CHUNK ANSWER (""),
};

/* The same of final responses, which are complete without it.  */
static const char *const empty_responses[] = {
  "HTTP/1.1 204 E\r\nContent-Length: 4\r\n\r\noops",
  "HTTP/1.1 204 E\r\nTransfer-Encoding: chunked\r\n\r\n" EMPTY_CHUNK,
  "HTTP/1.1 304 E\r\nContent-Length: 4\r\n\r\noops",
  "HTTP/1.1 204 E\r\n\r\n",
};

static size_t body_bytes;   /* of the text being read */
static int is_length_known; /* of all bodies read so far */
static char *last_name;     /* of the last head read */

/* Keeps the name of the first field.  */
static int
on_head (struct http_reader *reader)
{
  uint64_t length;

  is_length_known &= http_reader_get_length (reader, &length);
  g_free (last_name);
  last_name = reader->head->count > 0
                  ? g_strdup (http_head_name (reader->head, 0))
                  : NULL;
  return 0;
}

static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  (void)reader;
  (void)data;
  body_bytes += length;
  return 0;
}

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

/* Returns the result of reading TEXT in pieces of STEP bytes.  */
static enum http_read
read_text (const char *text, int is_response, size_t step)
{
  struct http_reader reader;
  enum http_read result = HTTP_READ_MORE;
  size_t length = strlen (text);

  http_reader_init (&reader, &reader_ops, is_response, HEAD_BYTES);
  for (size_t at = 0; at < length && result == HTTP_READ_MORE; at += step)
    {
      size_t used;

      result = http_reader_feed (&reader, text + at, MIN (step, length - at),
                                 &used);
    }
  http_reader_clear (&reader);
  return result;
}

/* Asserts that each of COUNT texts is read with RESULT, however it is
   split.  */
static void
expect_all (const char *const *texts, size_t count, int is_response,
            enum http_read result)
{
  for (size_t i = 0; i < count; i++)
    for (size_t step = 1; step <= strlen (texts[i]); step++)
      if (read_text (texts[i], is_response, step) != result)
        {
          g_printerr ("in pieces of %zu: %s\n", step, texts[i]);
          CU_FAIL ("result");
          break;
        }
}

/* Guards against a request in the body of another one, which a target runs
   that finds the end of the body elsewhere.  */
static void
ambiguous_requests_are_malformed (void)
{
  expect_all (requests, G_N_ELEMENTS (requests), 0, HTTP_READ_MALFORMED);
}

/* Guards against a response that ends elsewhere for a client than for the
   instance, so that the rest is taken for the response to another request.  */
static void
ambiguous_responses_are_malformed (void)
{
  expect_all (responses, G_N_ELEMENTS (responses), 1, HTTP_READ_MALFORMED);
}

/* Guards against checks of a head that go on in a body or an interim
   response.  */
static void
plain_messages_are_read (void)
{
  expect_all (plain_requests, G_N_ELEMENTS (plain_requests), 0,
              HTTP_READ_COMPLETE);
  expect_all (plain_responses, G_N_ELEMENTS (plain_responses), 1,
              HTTP_READ_COMPLETE);
}

/* Guards against a field that is not found, and so forwarded as it is.  */
static void
space_after_names_is_removed_in_responses (void)
{
  CU_ASSERT_EQUAL (
      read_text (ANSWER ("Transfer-Encoding : chunked\r\n") EMPTY_CHUNK, 1, 7),
      HTTP_READ_COMPLETE);
  CU_ASSERT_STRING_EQUAL (last_name, "Transfer-Encoding");
}

/* Guards against a response that is discarded as an interim one, so that the
   next one on the connection is taken for it.  */
static void
invalid_statuses_are_malformed (void)
{
  expect_all (invalid_statuses, G_N_ELEMENTS (invalid_statuses), 1,
              HTTP_READ_MALFORMED);
}

/* Guards against content that is put before that of the final response, or
   sent to a client that takes it for its next response.  */
static void
responses_without_content_have_none (void)
{
  body_bytes = 0;
  expect_all (interim_content, G_N_ELEMENTS (interim_content), 1,
              HTTP_READ_MALFORMED);
  is_length_known = 1;
  expect_all (empty_responses, G_N_ELEMENTS (empty_responses), 1,
              HTTP_READ_COMPLETE);
  CU_ASSERT (is_length_known);
  CU_ASSERT_EQUAL (body_bytes, 0);
}
