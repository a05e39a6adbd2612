/* End-to-end tests of clients and targets that read slowly: they get what they
   are to get, what is kept for them is bounded, and others do not wait.  */
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/clock.h"
#include "libfixture.h"
#include "shop.h"
#include "test.h"

enum
{
  RESPONSE_BYTES = 2000000,
  BODY_BYTES = 4000000,
  CUT_MS = 2000, /* unread for so long, a target cuts a response off */
  SLOW_MS = 4000,
  SLOW_PIECE_BYTES = 1000, /* read every SLOW_PAUSE_MS: 10 KB/s */
  SLOW_PAUSE_MS = 100,
  MSS_BYTES = 1448, /* as between hosts: bounds what the kernel buffers */
  RECEIVE_BYTES = 2048,
  TARGET_BUFFER_BYTES = 32768,
  CLIENTS = 200,
  TARGETS = 48,
  FILLERS = 60, /* clients that use the pool up as far as clients may */
  POOL_MS = 1500,
  MEMORY_MAX_KB = 65536 + 32768, /* the pool, and what is not taken from it */
  OUTPUT_MAX_BYTES = 60000000,
  EVENTS = 300,
  EVENT_BYTES = 16384,
  STALL_MS = 1500,
  OTHERS = 40,
  OTHERS_PAUSE_MS = 10,
  PROMPT_MS = 1500,
  SLACK_MS = 20
};

#define REQUEST(method, path, id)                                             \
  method " " path " HTTP/1.1\r\nHost: shop.example\r\n"                       \
         "X-Ibisloom-Attempt-Id: " id "\r\n"                                  \
         "X-Ibisloom-Deadline-Remaining: 30000\r\n"                           \
         "Authorization: Token key-1\r\nConnection: close\r\n"
#define GET_LONG REQUEST ("GET", "/map/1", "l") "\r\n"
#define POST_STREAM                                                           \
  REQUEST ("POST", "/plan/1", "s") "Content-Length: 4\r\n\r\nplan"

static void slow_client_gets_whole_response (void);
static void many_slow_clients_leave_others_served (void);
static void stream_cut_off_unread_is_resumed (void);
static void client_that_reads_nothing_is_given_up (void);
static void slow_target_gets_body_once (void);

static const struct test_case cases[] = {
  { "a slow client gets all of a response that is cut off if unread",
    slow_client_gets_whole_response },
  { "many slow clients leave memory bounded and others served",
    many_slow_clients_leave_others_served },
  { "a stream cut off unread is resumed and not held against its target",
    stream_cut_off_unread_is_resumed },
  { "a client that reads nothing is given up, a slow one is not",
    client_that_reads_nothing_is_given_up },
  { "a target that reads a body slowly gets it once",
    slow_target_gets_body_once },
};

TEST_MAIN ("slow_readers", cases)

/* Returns TEXT with TO in place of each FROM, newly allocated.  */
static char *
replace (const char *text, const char *from, const char *to)
{
  char **parts = g_strsplit (text, from, -1);
  char *result = g_strjoinv (to, parts);

  g_strfreev (parts);
  return result;
}

/* Starts a router with routes that allow for time and for long bodies, and
   MORE settings.  An address sanitizer is not to keep what was freed, which
   would count as its memory.  */
static void
start_router (const char *more)
{
  char *slower = replace (shop_config, "\"timeout_ms\":", "\"timeout_ms\":3");
  char *config = replace (slower, "\"max_body_bytes\":1000",
                          "\"max_body_bytes\":5000000");

  g_setenv ("ASAN_OPTIONS",
            "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
  fx_routers_add_settings (more);
  fx_env_start (config);
  fx_routers_add_settings ("");
  g_free (config);
  g_free (slower);
}

/* Sends LENGTH bytes of TEXT to REQUEST's router.  Returns 0 if it has cut the
   response off, as none were read for CUT_MS.  */
static int
send_or_cut (const struct fx_request *request, const char *text, size_t length)
{
  struct pollfd writable = { .fd = request->fd, .events = POLLOUT };

  while (length > 0)
    {
      ssize_t sent
          = send (request->fd, text, length, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (sent < 0 && (errno != EAGAIN || poll (&writable, 1, CUT_MS) != 1))
        {
          fx_reset_on_close (request->fd);
          return 0;
        }
      text += MAX (sent, 0);
      length -= (size_t)MAX (sent, 0);
    }
  return 1;
}

static void
shrink_send_buffer (int fd)
{
  int bytes = TARGET_BUFFER_BYTES;

  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

/* Responds with RESPONSE_BYTES, and cuts them off if they remain unread.  */
static int
respond_long (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s\r\nContent-Length: %d\r\n\r\n",
      id, RESPONSE_BYTES);
  char *body = g_strnfill (RESPONSE_BYTES, 'x');
  int is_sent;

  shrink_send_buffer (request->fd);
  fx_write (request->fd, head);
  is_sent = send_or_cut (request, body, RESPONSE_BYTES);
  g_free (body);
  g_free (head);
  g_free (id);
  return is_sent;
}

/* Sends EVENTS events, from the one after that which the request names, and
   cuts them off if they remain unread.  */
static int
stream_long (const struct fx_request *request)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");
  char *data = g_strnfill (EVENT_BYTES, 'x');
  int is_sent = 1;

  shrink_send_buffer (request->fd);
  shop_start_stream (request);
  for (int i = after ? atoi (after) + 1 : 1; is_sent && i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s\n\n", i, data);
      char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);

      is_sent = send_or_cut (request, chunk, strlen (chunk));
      g_free (chunk);
      g_free (event);
    }
  if (is_sent)
    fx_write (request->fd, "0\r\n\r\n");
  g_free (data);
  g_free (after);
  return is_sent;
}

/* Sends TEXT to the router as a client on another host with little room.  */
static int
connect_slow (const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { .tv_sec = 5 };
  int mss = MSS_BYTES;
  int bytes = RECEIVE_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)fx_env.routers[0].request_port);
  setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof mss);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  CU_ASSERT_EQUAL_FATAL (
      connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  fx_send (fd, text);
  return fd;
}

/* Has the COUNT clients FDS read slowly for MS.  Adds what they receive to
   TEXT, unless that is NULL.  */
static void
read_slowly (const int *fds, int count, int ms, GString *text)
{
  char piece[SLOW_PIECE_BYTES];

  for (clk_ms end = clk_now (clk_monotonic ()) + ms;
       clk_now (clk_monotonic ()) < end; fx_sleep_ms (SLOW_PAUSE_MS))
    for (int i = 0; i < count; i++)
      {
        ssize_t received = recv (fds[i], piece, sizeof piece, MSG_DONTWAIT);

        if (received > 0 && text != NULL)
          g_string_append_len (text, piece, received);
      }
}

/* Returns all that the client FD gets if it reads slowly for MS, and then the
   rest at once.  */
static char *
read_slowly_first (int fd, int ms)
{
  GString *text = g_string_new (NULL);
  char *rest;

  read_slowly (&fd, 1, ms, text);
  rest = fx_read_all (fd);
  g_string_append (text, rest);
  g_free (rest);
  return g_string_free (text, FALSE);
}

/* Returns how many bytes the body of RESPONSE has, or -1 without one.  */
static long
body_length (const char *response)
{
  const char *end = strstr (response, "\r\n\r\n");

  return end == NULL ? -1 : (long)strlen (end + strlen ("\r\n\r\n"));
}

static int
compare_times (const void *a, const void *b)
{
  return (*(const clk_ms *)a > *(const clk_ms *)b)
         - (*(const clk_ms *)a < *(const clk_ms *)b);
}

/* Returns the median time that requests of others take, in milliseconds, which
   all have to be served within PROMPT_MS.  */
static clk_ms
serve_others (void)
{
  clk_ms took[OTHERS];

  for (int i = 0; i < OTHERS; i++)
    {
      clk_ms start = clk_now (clk_monotonic ());

      shop_expect (POST_RULES ("r"), "200", "data: e5");
      took[i] = clk_now (clk_monotonic ()) - start;
      fx_sleep_ms (OTHERS_PAUSE_MS);
    }
  qsort (took, OTHERS, sizeof *took, compare_times);
  CU_ASSERT (took[OTHERS - 1] < PROMPT_MS);
  return took[OTHERS / 2];
}

/* Guards against a response that its target cuts off as the router does not
   read it on while the client is slow.  */
static void
slow_client_gets_whole_response (void)
{
  char *response;

  fx_target_add ("d-1", "desk", respond_long);
  start_router ("");
  response = read_slowly_first (connect_slow (GET_LONG), SLOW_MS);
  CU_ASSERT_EQUAL (body_length (response), RESPONSE_BYTES);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_clients_slowed_total"), 0);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_buffer_pool_bytes"), 0);
  g_free (response);
  fx_env_stop ();
}

/* Adds TARGETS targets that HANDLER writes the responses of to service
   "desk".  */
static void
add_targets (fx_handler_fn handler)
{
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", handler);
      g_free (id);
    }
}

static void
connect_many (int *fds, int count)
{
  for (int i = 0; i < count; i++)
    fds[i] = connect_slow (GET_LONG);
}

static void
close_many (const int *fds, int count)
{
  for (int i = 0; i < count; i++)
    close (fds[i]);
}

/* Guards against memory without bound for clients that are slow, and against
   others that wait for them.  */
static void
many_slow_clients_leave_others_served (void)
{
  int fds[CLIENTS];
  long before_kb;
  long output;
  clk_ms without;
  clk_ms with;

  add_targets (respond_long);
  fx_target_add ("p-1", "pool", shop_stream_events);
  fx_target_add ("p-2", "pool", shop_stream_events);
  start_router ("");
  without = serve_others ();
  before_kb = fx_router_peak_kb (0);
  connect_many (fds, CLIENTS);
  with = serve_others ();
  read_slowly (fds, CLIENTS, SLOW_MS, NULL);
  output = fx_router_metric (0, "ibisloom_buffered_output_bytes");
  CU_ASSERT (output > OUTPUT_MAX_BYTES / 2);
  CU_ASSERT (output < OUTPUT_MAX_BYTES);
  CU_ASSERT (with <= without + SLACK_MS);
  CU_ASSERT (serve_others () <= without + SLACK_MS);
  CU_ASSERT (fx_router_metric (0, "ibisloom_clients_slowed_total") > 0);
  CU_ASSERT (fx_router_peak_kb (0) - before_kb < MEMORY_MAX_KB);
  close_many (fds, CLIENTS);
  fx_sleep_ms (PROMPT_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_buffer_pool_bytes"), 0);
  fx_env_stop ();
}

/* Checks that RESPONSE has each event of a stream once, and its end.  */
static void
expect_all_events (const char *response)
{
  int next = 1;

  for (const char *at = response; (at = strstr (at, "id: ")) != NULL; at++)
    CU_ASSERT_EQUAL (atoi (at + strlen ("id: ")), next++);
  CU_ASSERT_EQUAL (next, EVENTS + 1);
  CU_ASSERT (g_str_has_suffix (response, "\r\n0\r\n\r\n"));
}

/* Guards against a stream that is lost, or a target that is avoided, when a
   response has to wait for its client for so long that it is cut off.  */
static void
stream_cut_off_unread_is_resumed (void)
{
  int fds[FILLERS];
  char *response;
  int fd;

  add_targets (respond_long);
  fx_target_add ("p-1", "pool", stream_long);
  fx_target_add ("p-2", "pool", stream_long);
  start_router ("");
  connect_many (fds, FILLERS);
  fx_sleep_ms (POOL_MS);
  fd = connect_slow (POST_STREAM);
  fx_sleep_ms (CUT_MS * 2);
  response = fx_read_all (fd);
  expect_all_events (response);
  CU_ASSERT (fx_router_metric (0, "ibisloom_retries_total{reason=\"unread\"}")
             >= 1);
  CU_ASSERT_EQUAL (
      fx_router_metric (0, "ibisloom_retries_total{reason=\"broken\"}"), 0);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_targets_suspected"), 0);
  g_free (response);
  close_many (fds, FILLERS);
  fx_env_stop ();
}

/* Guards against memory that is held for clients that have stopped reading,
   and against giving up those that are only slow.  */
static void
client_that_reads_nothing_is_given_up (void)
{
  struct fx_target *pool;
  int slow;
  int fds[2];
  char *response;

  fx_target_add ("d-1", "desk", respond_long);
  pool = fx_target_add ("p-1", "pool", stream_long);
  start_router ("client_stall_ms: 1500\n");
  slow = connect_slow (GET_LONG);
  fds[0] = connect_slow (GET_LONG);
  fds[1] = connect_slow (POST_STREAM);
  response = read_slowly_first (slow, STALL_MS * 3);
  CU_ASSERT_EQUAL (body_length (response), RESPONSE_BYTES);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_clients_given_up_total"), 2);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_buffer_pool_bytes"), 0);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_open_requests"), 0);
  CU_ASSERT_EQUAL (fx_target_request_count (pool), 1);
  g_free (response);
  close_many (fds, 2);
  fx_env_stop ();
}

/* Guards against a target that is slow to read a body being taken for a silent
   one.  Targets of the fixture read byte by byte.  */
static void
slow_target_gets_body_once (void)
{
  struct fx_target *targets[2];
  char *body = g_strnfill (BODY_BYTES, 'x');
  char *text = g_strdup_printf (
      REQUEST ("POST", "/map/1", "b") "Content-Length: %d\r\n\r\n%s",
      BODY_BYTES, body);
  int bytes = TARGET_BUFFER_BYTES;
  clk_ms without;
  char *response;
  int fd;

  targets[0] = fx_target_add ("d-1", "desk", shop_respond_ok);
  targets[1] = fx_target_add ("d-2", "desk", shop_respond_ok);
  for (int i = 0; i < 2; i++)
    setsockopt (targets[i]->listener, SOL_SOCKET, SO_RCVBUF, &bytes,
                sizeof bytes);
  fx_target_add ("p-1", "pool", shop_stream_events);
  start_router ("");
  without = serve_others ();
  fd = fx_connect ();
  fx_send (fd, text);
  CU_ASSERT (serve_others () <= without + SLACK_MS);
  CU_ASSERT (fx_router_metric (0, "ibisloom_buffered_request_bytes")
             < BODY_BYTES + EVENT_BYTES);
  response = fx_read_all (fd);
  CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 200"));
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_tries_total"),
                   2 * OTHERS + 1);
  CU_ASSERT_EQUAL (
      fx_router_metric (0, "ibisloom_retries_total{reason=\"silent\"}"), 0);
  g_free (response);
  fx_env_stop ();
  g_free (text);
  g_free (body);
}
