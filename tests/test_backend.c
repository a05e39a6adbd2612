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
  WAIT_MS = 2000
};

static void cut_heads_are_no_responses (void);
static void responses_after_interim_ones_are_whole (void);

static const struct test_case cases[] = {
  { "a head cut at any place is no response", cut_heads_are_no_responses },
  { "a response after an interim one is whole",
    responses_after_interim_ones_are_whole },
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

/* Sends a call by WORKER to the target at PORT.  Returns what its response
   ends with.  */
static enum retry_fault
exchange (struct worker *worker, int port)
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
  req.body = g_string_new ("fee");
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
      enum retry_fault fault = exchange (&worker, port);

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
