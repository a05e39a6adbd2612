/* Responses of raw targets to requests of the own interface, over libcurl.  */
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "libconnection.h"
#include "libfixture.h"
#include "router_fixture.h"
#include "test.h"

enum
{
  WAIT_MS = 2000,
  UPLOAD_BYTES = 3000000,
  READ_BYTES = 1000
};

static void cut_heads_are_no_responses (void);
static void responses_after_interim_ones_are_whole (void);
static void invalid_responses_are_no_results (void);
static void success_during_upload_is_no_result (void);

static const struct test_case cases[] = {
  { "a head cut at any place is no response", cut_heads_are_no_responses },
  { "a response after an interim one is whole",
    responses_after_interim_ones_are_whole },
  { "responses that are invalid or not alone are no results",
    invalid_responses_are_no_results },
  { "a success that ends during the upload is no result",
    success_during_upload_is_no_result },
};

TEST_MAIN ("backend", cases)

static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                            "Content-Length: 4\r\n\r\nwell";
static const char *response;
static size_t response_bytes;

/* Answers one request on each connection to the listener CLOSURE.  */
static void *
serve (void *closure)
{
  int fd;

  while ((fd = accept (GPOINTER_TO_INT (closure), NULL, NULL)) >= 0)
    {
      char *text = g_strndup (response, response_bytes);

      g_free (fx_read_request (fd));
      fx_write (fd, text);
      g_free (text);
      close (fd);
    }
  return NULL;
}

/* The same, when each request has begun; shuts down its side before it resets
   the connection, or not, in turn.  */
static void *
serve_early (void *closure)
{
  char buffer[READ_BYTES];
  int ends_first = 0;
  int fd;

  while ((fd = accept (GPOINTER_TO_INT (closure), NULL, NULL)) >= 0)
    {
      if (read (fd, buffer, sizeof buffer) > 0)
        fx_write (fd, response);
      if (ends_first)
        shutdown (fd, SHUT_WR);
      ends_first = !ends_first;
      fx_reset_on_close (fd);
      close (fd);
    }
  return NULL;
}

/* Sends a call with BODY by WORKER to the target at PORT.  Returns what its
   response ends with.  */
static enum retry_fault
exchange (struct worker *worker, int port, const char *body)
{
  struct req req = { .worker = worker,
                     .kind = VER_KIND_PLAIN,
                     .path = (char *)(uintptr_t) "/fee",
                     .method = "POST",
                     .repeatable = 0 };
  struct ver_target target = { .address.sin_family = AF_INET };
  enum retry_fault fault = RETRY_FAULT_COUNT;
  CURLMsg *message = NULL;
  int running = 1;
  int left;

  target.address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  target.address.sin_port = htons ((uint16_t)port);
  req.body = g_string_new (body);
  req.out = g_string_new (NULL);
  backend_send (&req, &target);
  while (running > 0)
    {
      curl_multi_perform (worker->multi, &running);
      if (running > 0)
        curl_multi_poll (worker->multi, NULL, 0, WAIT_MS, NULL);
    }
  message = curl_multi_info_read (worker->multi, &left);
  CU_ASSERT_PTR_NOT_NULL_FATAL (message);
  curl_easy_getinfo (req.attempt.easy, CURLINFO_RESPONSE_CODE,
                     &req.attempt.status);
  if (message != NULL)
    fault = req_attempt_fault (&req, (int)message->data.result);
  if (fault == RETRY_FAULT_COUNT)
    CU_ASSERT_STRING_EQUAL (req.out->str, "well");
  backend_abort (&req);
  g_string_free (req.body, TRUE);
  g_string_free (req.out, TRUE);
  return fault;
}

/* Checks that the first bytes of TEXT, of each count from FROM, are a response
   only if they are all.  */
static void
expect_whole_only (const char *text, size_t from)
{
  struct worker worker = { .epoll = epoll_create1 (EPOLL_CLOEXEC) };
  int port;
  int listener = fx_listen (&port);

  backend_init (&worker);
  response = text;
  fx_start_thread (serve, GINT_TO_POINTER (listener));
  for (response_bytes = from; response_bytes <= strlen (text);
       response_bytes++)
    {
      enum retry_fault fault = exchange (&worker, port, "fee");

      CU_ASSERT_EQUAL (fault == RETRY_FAULT_COUNT,
                       response_bytes == strlen (text));
    }
  shutdown (listener, SHUT_RDWR);
  backend_free (&worker);
  close (worker.epoll);
}

static void
cut_heads_are_no_responses (void)
{
  expect_whole_only (whole, 0);
}

static void
responses_after_interim_ones_are_whole (void)
{
  char *text = g_strconcat ("HTTP/1.1 100 Continue\r\n\r\n", whole, NULL);

  expect_whole_only (text, strlen ("HTTP/1.1 100 Continue\r\n"));
  g_free (text);
}

/* Checks that no TEXT of so many, written by SERVER, is the result of a call
   with BODY.  */
static void
expect_no_result (void *(*server) (void *), const char *const *texts,
                  size_t count, const char *body)
{
  struct worker worker = { .epoll = epoll_create1 (EPOLL_CLOEXEC) };
  int port;
  int listener = fx_listen (&port);

  backend_init (&worker);
  fx_shrink_receive_buffer (listener);
  fx_start_thread (server, GINT_TO_POINTER (listener));
  for (size_t i = 0; i < count; i++)
    {
      response = texts[i];
      response_bytes = strlen (response);
      CU_ASSERT_NOT_EQUAL (exchange (&worker, port, body), RETRY_FAULT_COUNT);
    }
  shutdown (listener, SHUT_RDWR);
  backend_free (&worker);
  close (worker.epoll);
}

/* Guards against a response without a valid status, or with the bytes of
   another one, that callers get as theirs.  */
static void
invalid_responses_are_no_results (void)
{
  static const char *const texts[]
      = { "HTTP/1.1 000 E\r\nContent-Length: 4\r\n\r\nwell",
          "HTTP/1.1 099 E\r\nContent-Length: 4\r\n\r\nwell",
          "HTTP/1.1 103 E\r\nContent-Length: 4\r\n\r\nwell"
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell" };

  expect_no_result (serve, texts, G_N_ELEMENTS (texts), "fee");
}

/* Guards against a part of a response, whose target has given up the request,
   that callers get as the whole.  */
static void
success_during_upload_is_no_result (void)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n\r\nwell", "HTTP/1.1 200 OK\r\n\r\nwell" };
  char *body = g_strnfill (UPLOAD_BYTES, 'x');

  expect_no_result (serve_early, texts, G_N_ELEMENTS (texts), body);
  g_free (body);
}
