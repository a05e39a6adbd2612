/* Targets that send bytes without end: the router's memory stays bounded, it
   closes the connection, and the client gets a true answer in time.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/clock.h"
#include "shop.h"
#include "test.h"

enum
{
  PIECE_BYTES = 16384,
  SENT_MAX_BYTES = 67108864, /* after which a target gives up */
  MEMORY_MAX_KB = 32768,     /* by which the router may grow */
  PROMPT_MS = 1500,          /* without waiting for a deadline */
  DEADLINE_MS = 4000,        /* of the requests */
  MARGIN_MS = 1000,
  CLOSE_MS = 1000, /* until the target sees the close */
  POLL_MS = 10,
  /* Many such targets at once.  The router's pool of buffers is 64 MB; the
     rest is what each buffer has for itself.  */
  TARGETS = 48,
  CALLS = 200,
  HELD_BYTES = 1000000, /* that a target sends before it stands still */
  HELD_HEAD_BYTES = 49152,
  HELD_MS = 2000,
  POOL_MEMORY_MAX_KB = 65536 + MEMORY_MAX_KB,
  SOUND_REQUESTS = 40
};

#define SIGNED                                                                \
  "X-Ibisloom-Attempt-Id: %s\r\nX-Ibisloom-Response-Signature: s\r\n"
#define CHUNKED SIGNED "Transfer-Encoding: chunked\r\n\r\n"

/* What a target sends: START, in which %s stands for the attempt id, then
   PIECE again and again.  */
struct script
{
  const char *start;
  const char *piece;
  int pause_ms;   /* after each piece */
  int only_first; /* later requests get a proper response */
};

static struct script script;
static int requests;
static int closed_by_router;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void error_bodies_without_end_are_cut (void);
static void error_body_without_end_keeps_not_run (void);
static void success_without_end_is_incomplete (void);
static void unread_success_without_end_is_bounded (void);
static void event_without_end_fails (void);
static void slow_event_without_end_is_retried (void);
static void heads_without_end_fail (void);
static void slow_head_without_end_is_retried (void);
static void framing_without_end_fails (void);
static void bytes_without_end_after_response_are_cut (void);
static void many_events_without_end_leave_others_served (void);
static void many_heads_without_end_leave_others_served (void);
static void many_unread_responses_leave_others_served (void);
static void many_request_bodies_leave_others_served (void);

static const struct test_case cases[] = {
  { "the body of an error without end is cut",
    error_bodies_without_end_are_cut },
  { "a request that was not run stays so if the body has no end",
    error_body_without_end_keeps_not_run },
  { "a success without end is not passed on as complete",
    success_without_end_is_incomplete },
  { "a success without end that the client does not read is bounded",
    unread_success_without_end_is_bounded },
  { "an event without end fails", event_without_end_fails },
  { "a slow event without end is retried elsewhere",
    slow_event_without_end_is_retried },
  { "a head without end fails", heads_without_end_fail },
  { "a slow head without end is retried elsewhere",
    slow_head_without_end_is_retried },
  { "chunk sizes and trailers without end fail", framing_without_end_fails },
  { "bytes without end after a response are cut",
    bytes_without_end_after_response_are_cut },
  { "events without end of many targets leave other requests served",
    many_events_without_end_leave_others_served },
  { "heads without end of many targets leave other requests served",
    many_heads_without_end_leave_others_served },
  { "responses that many clients do not read leave other requests served",
    many_unread_responses_leave_others_served },
  { "long bodies of many requests leave other requests served",
    many_request_bodies_leave_others_served },
};

TEST_MAIN ("endless", cases)

static int
count_request (void)
{
  int number;

  pthread_mutex_lock (&lock);
  number = ++requests;
  pthread_mutex_unlock (&lock);
  return number;
}

static void
count_close (void)
{
  pthread_mutex_lock (&lock);
  closed_by_router++;
  pthread_mutex_unlock (&lock);
}

static int
is_closed_by_router (void)
{
  int closed;

  pthread_mutex_lock (&lock);
  closed = closed_by_router == requests - script.only_first;
  pthread_mutex_unlock (&lock);
  return closed;
}

/* Sends LENGTH bytes of TEXT.  Returns whether the router took them.  */
static int
send_piece (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return 0;
      text += sent;
      length -= (size_t)sent;
    }
  return 1;
}

/* Writes the script until the router closes the connection.  */
static int
respond_without_end (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char **parts = g_strsplit (script.start, "%s", 2);
  char *start = g_strjoinv (id, parts);
  size_t length = strlen (script.piece);
  size_t sent = 0;

  if (count_request () > 1 && script.only_first)
    sent = SENT_MAX_BYTES;
  else
    fx_write (request->fd, start);
  g_free (start);
  g_strfreev (parts);
  g_free (id);
  if (sent > 0)
    return strstr (request->text, "/plan/") != NULL
               ? shop_stream_events (request)
               : shop_respond_ok (request);
  for (; sent < SENT_MAX_BYTES; sent += length)
    {
      if (!send_piece (request->fd, script.piece, length))
        {
          count_close ();
          return 0;
        }
      if (script.pause_ms > 0)
        fx_sleep_ms (script.pause_ms);
    }
  return 0;
}

/* Starts a router with targets that follow NEXT.  */
static void
start_targets (const struct script *next)
{
  script = *next;
  requests = 0;
  closed_by_router = 0;
  fx_target_add ("i-1", "desk", respond_without_end);
  fx_target_add ("i-2", "pool", respond_without_end);
  if (script.only_first)
    {
      fx_target_add ("i-3", "desk", respond_without_end);
      fx_target_add ("i-4", "pool", respond_without_end);
    }
  fx_env_start (shop_config);
}

/* Checks that the router closed the connections to the targets, and that its
   memory has grown little since it was BEFORE_KB.  */
static void
check_router (long before_kb)
{
  for (int ms = 0; ms < CLOSE_MS && !is_closed_by_router (); ms += POLL_MS)
    fx_sleep_ms (POLL_MS);
  CU_ASSERT (is_closed_by_router ());
  CU_ASSERT (fx_router_peak_kb (0) - before_kb < MEMORY_MAX_KB);
}

/* Checks that REQUEST gets STATUS and TEXT within LIMIT_MS from targets that
   follow NEXT.  */
static void
expect_within (const struct script *next, const char *request,
               const char *status, const char *text, int64_t limit_ms)
{
  clk_ms start;
  long before_kb;

  start_targets (next);
  before_kb = fx_router_peak_kb (0);
  start = clk_now (clk_monotonic ());
  shop_expect (request, status, text);
  CU_ASSERT (clk_now (clk_monotonic ()) - start < limit_ms);
  check_router (before_kb);
  fx_env_stop ();
}

/* Returns a chunk of PIECE_BYTES, newly allocated.  */
static char *
make_chunk (void)
{
  char *data = g_strnfill (PIECE_BYTES, 'x');
  char *chunk = g_strdup_printf ("%x\r\n%s\r\n", (unsigned)PIECE_BYTES, data);

  g_free (data);
  return chunk;
}

static void
error_bodies_without_end_are_cut (void)
{
  static const char *const starts[]
      = { "HTTP/1.1 500 Error\r\n" CHUNKED, "HTTP/1.1 404 Error\r\n" CHUNKED,
          "HTTP/1.1 500 Error\r\n" SIGNED "\r\n",
          "HTTP/1.1 503 Busy\r\n" SIGNED
          "Content-Length: 99999999999\r\n\r\n" };
  char *chunk = make_chunk ();

  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      struct script next = { .start = starts[i], .piece = chunk };

      expect_within (&next, GET_MAP ("m1"), "502", "", PROMPT_MS);
      expect_within (&next, POST_FEE ("f1"), "502", "", PROMPT_MS);
    }
  g_free (chunk);
}

static void
error_body_without_end_keeps_not_run (void)
{
  char *chunk = make_chunk ();
  struct script next = { .start = "HTTP/1.1 503 Busy\r\n"
                                  "X-Ibisloom-Not-Executed: 1\r\n" CHUNKED,
                         .piece = chunk };

  expect_within (&next, POST_FEE ("f1"), "503", "Retry-After: ", PROMPT_MS);
  g_free (chunk);
}

static void
success_without_end_is_incomplete (void)
{
  char *chunk = make_chunk ();
  struct script next = { .start = "HTTP/1.1 200 OK\r\n" CHUNKED,
                         .piece = chunk,
                         .pause_ms = POLL_MS };
  clk_ms start;
  long before_kb;
  char *response;

  start_targets (&next);
  before_kb = fx_router_peak_kb (0);
  start = clk_now (clk_monotonic ());
  response = fx_exchange (GET_MAP ("m1"));
  CU_ASSERT (clk_now (clk_monotonic ()) - start < DEADLINE_MS + MARGIN_MS);
  CU_ASSERT (!g_str_has_suffix (response, "\r\n0\r\n\r\n"));
  g_free (response);
  check_router (before_kb);
  fx_env_stop ();
  g_free (chunk);
}

static void
unread_success_without_end_is_bounded (void)
{
  char *chunk = make_chunk ();
  struct script next
      = { .start = "HTTP/1.1 200 OK\r\n" CHUNKED, .piece = chunk };
  long before_kb;
  int fd;

  start_targets (&next);
  before_kb = fx_router_peak_kb (0);
  fd = fx_connect ();
  fx_shrink_receive_buffer (fd);
  fx_send (fd, GET_MAP ("m1"));
  fx_sleep_ms (DEADLINE_MS);
  check_router (before_kb);
  close (fd);
  fx_env_stop ();
  g_free (chunk);
}

static void
event_without_end_fails (void)
{
  char *chunk = make_chunk ();
  struct script next
      = { .start = "HTTP/1.1 200 OK\r\n"
                   "Content-Type: text/event-stream\r\n" CHUNKED,
          .piece = chunk };

  expect_within (&next, POST_PLAN ("p1"), "502", "", PROMPT_MS);
  g_free (chunk);
}

/* Bytes that complete no event are no progress of the stream.  */
static void
slow_event_without_end_is_retried (void)
{
  struct script next
      = { .start = "HTTP/1.1 200 OK\r\n"
                   "Content-Type: text/event-stream\r\n" CHUNKED,
          .piece = "2\r\n: \r\n",
          .pause_ms = POLL_MS,
          .only_first = 1 };

  expect_within (&next, POST_PLAN ("p1"), "200", "data: e5", DEADLINE_MS);
}

static void
heads_without_end_fail (void)
{
  char *data = g_strnfill (PIECE_BYTES, 'x');
  const struct script heads[] = {
    { .start = "HTTP/1.1 200 OK\r\nX-Long: ", .piece = data },
    { .start = "HTTP/1.1 200 OK\r\n", .piece = data },
    { .start = "HTTP/1.1 200 OK\r\n", .piece = "X-Field: y\r\n" },
    { .start = "HTTP/1.1 200 ", .piece = data },
    { .start = "", .piece = data },
    { .start = "", .piece = "\r\n" },
    { .start = "", .piece = "HTTP/1.1 100 Continue\r\n\r\n" },
    { .start = "", .piece = "HTTP/1.1 103 Early\r\nLink: <a>\r\n\r\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      expect_within (&heads[i], GET_MAP ("m1"), "502", "", PROMPT_MS);
      expect_within (&heads[i], POST_FEE ("f1"), "502", "", PROMPT_MS);
    }
  g_free (data);
}

static void
slow_head_without_end_is_retried (void)
{
  const struct script heads[] = {
    { .start = "HTTP/1.1 200 OK\r\nX-Long: ", .piece = "x" },
    { .start = "", .piece = "HTTP/1.1 100 Continue\r\n\r\n" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      struct script next = heads[i];

      next.pause_ms = POLL_MS;
      next.only_first = 1;
      expect_within (&next, GET_MAP ("m1"), "200", "well", PROMPT_MS);
    }
}

static void
framing_without_end_fails (void)
{
  char *data = g_strnfill (PIECE_BYTES, 'x');
  const struct script bodies[] = {
    { .start = "HTTP/1.1 200 OK\r\n" CHUNKED "5;", .piece = data },
    { .start = "HTTP/1.1 200 OK\r\n" CHUNKED "0\r\n",
      .piece = "X-Field: y\r\n" },
    { .start = "HTTP/1.1 200 OK\r\n" CHUNKED "0\r\nX-Long: ", .piece = data },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      expect_within (&bodies[i], GET_MAP ("m1"), "502", "", PROMPT_MS);
      expect_within (&bodies[i], POST_FEE ("f1"), "502", "", PROMPT_MS);
    }
  g_free (data);
}

static void
bytes_without_end_after_response_are_cut (void)
{
  char *data = g_strnfill (PIECE_BYTES, 'x');
  struct script next = { .start = "HTTP/1.1 200 OK\r\n" SIGNED
                                  "Content-Length: 4\r\n\r\nwell",
                         .piece = data };

  expect_within (&next, GET_MAP ("m1"), "200", "well", PROMPT_MS);
  expect_within (&next, POST_FEE ("f1"), "200", "well", PROMPT_MS);
  g_free (data);
}

/* Target of streams: sends an event that does not end, and stands still.  */
static int
hold_event (const struct fx_request *request)
{
  char *chunk = make_chunk ();

  shop_start_stream (request);
  for (size_t sent = 0; sent < HELD_BYTES; sent += PIECE_BYTES)
    if (!send_piece (request->fd, chunk, strlen (chunk)))
      break;
  fx_sleep_ms (HELD_MS);
  g_free (chunk);
  return 0;
}

/* Target of streams: sends a head that does not end, and stands still.  */
static int
hold_head (const struct fx_request *request)
{
  char *data = g_strnfill (HELD_HEAD_BYTES, 'x');

  fx_write (request->fd, "HTTP/1.1 200 OK\r\nX-Long: ");
  (void)send_piece (request->fd, data, HELD_HEAD_BYTES);
  fx_sleep_ms (HELD_MS);
  g_free (data);
  return 0;
}

/* Target of streams: sends events as long as they are taken.  */
static int
send_events (const struct fx_request *request)
{
  char *data = g_strnfill (PIECE_BYTES, 'x');

  shop_start_stream (request);
  for (int i = 1; i < SENT_MAX_BYTES / PIECE_BYTES; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s\n\n", i, data);
      char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);
      int taken = send_piece (request->fd, chunk, strlen (chunk));

      g_free (chunk);
      g_free (event);
      if (!taken)
        break;
    }
  fx_sleep_ms (HELD_MS);
  g_free (data);
  return 0;
}

/* Starts a router with CONFIG, TARGETS targets of streams that follow HANDLER,
   and sound ones of the other service.  Returns the router's memory.  An
   address sanitizer is not to keep what was freed, which would count too.  */
static long
start_many (const char *config, fx_handler_fn handler)
{
  g_setenv ("ASAN_OPTIONS",
            "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 1);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("p-%d", i);

      fx_target_add (id, "pool", handler);
      g_free (id);
    }
  fx_target_add ("d-1", "desk", shop_respond_ok);
  fx_target_add ("d-2", "desk", shop_respond_ok);
  fx_env_start (config);
  return fx_router_peak_kb (0);
}

/* Sends CALLS requests TEXT, whose responses nobody reads, into FDS, checks
   that others are served in time meanwhile, and that the router's memory has
   grown little since it was BEFORE_KB.  */
static void
expect_others_served (const char *text, int *fds, long before_kb)
{
  for (int i = 0; i < CALLS; i++)
    {
      fds[i] = fx_connect ();
      fx_shrink_receive_buffer (fds[i]);
      fx_send (fds[i], text);
    }
  for (int i = 0; i < SOUND_REQUESTS; i++)
    {
      clk_ms start = clk_now (clk_monotonic ());

      shop_expect (i % 2 == 0 ? GET_MAP ("m") : POST_FEE ("f"), "200", "well");
      CU_ASSERT (clk_now (clk_monotonic ()) - start < PROMPT_MS);
      fx_sleep_ms (POLL_MS * 2);
    }
  CU_ASSERT (fx_router_peak_kb (0) - before_kb < POOL_MEMORY_MAX_KB);
  for (int i = 0; i < CALLS; i++)
    close (fds[i]);
  fx_sleep_ms (CLOSE_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_buffer_pool_bytes"), 0);
  fx_env_stop ();
}

/* Guards against the memory of an instance being used up by targets that send
   bytes without end, each within its own bound.  */
static void
many_events_without_end_leave_others_served (void)
{
  int fds[CALLS];
  long before_kb = start_many (shop_config, hold_event);

  expect_others_served (POST_PLAN ("p"), fds, before_kb);
}

/* The same by heads without end.  */
static void
many_heads_without_end_leave_others_served (void)
{
  int fds[CALLS];
  long before_kb = start_many (shop_config, hold_head);

  expect_others_served (POST_PLAN ("p"), fds, before_kb);
}

/* The same by clients that do not read.  */
static void
many_unread_responses_leave_others_served (void)
{
  int fds[CALLS];
  long before_kb = start_many (shop_config, send_events);

  expect_others_served (POST_PLAN ("p"), fds, before_kb);
}

/* The same by clients that send long bodies and do not end them.  */
static void
many_request_bodies_leave_others_served (void)
{
  static const char limit[] = "\"max_body_bytes\":1000,";
  const char *at = strstr (shop_config, limit);
  char *config = g_strdup_printf ("%.*s\"max_body_bytes\":4000000,%s",
                                  (int)(at - shop_config), shop_config,
                                  at + sizeof limit - 1);
  char *body = g_strnfill (HELD_BYTES, 'x');
  char *text = g_strdup_printf (
      REQUEST_HEAD ("POST", "/plan/1",
                    "b") "Content-Length: 2000000\r\n\r\n%s",
      body);
  int fds[CALLS];
  long before_kb = start_many (config, hold_event);

  expect_others_served (text, fds, before_kb);
  g_free (text);
  g_free (body);
  g_free (config);
}
