/* Connections of callers: requests read whole, one after another.  */
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libsocket.h"
#include "libcaller.h"

enum
{
  READ_BYTES = 65536,
  AHEAD_MAX_BYTES = 65536, /* of requests sent before an answer */
  LINGER_MS = 1000,        /* for the peer to read an answer before a close */
  SILENCE_MS = 10000,      /* of a peer that acknowledges nothing */
  KEEPALIVE_IDLE_S = 5
};

static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void take (struct caller *caller, const char *data, size_t length);
static void reject (struct caller *caller, uint32_t status);
static int on_head (struct http_reader *reader);
static int on_data (struct http_reader *reader, const char *data,
                    size_t length);
static void dispatch (struct caller *caller);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

static char read_buffer[READ_BYTES];

/* Returns a connection of SITE at FD.  */
struct caller *
caller_new (struct caller_site *site, int fd)
{
  struct caller *caller = g_new0 (struct caller, 1);

  sock_tune (fd, SILENCE_MS, KEEPALIVE_IDLE_S);
  caller->site = site;
  caller->link.data = caller;
  g_queue_push_tail_link (&site->callers, &caller->link);
  http_reader_init (&caller->reader, &reader_ops, 0,
                    site->limits.head_max_bytes);
  ev_io_init (&caller->readable, on_readable, fd, EV_READ);
  ev_io_init (&caller->writable, caller_on_writable, fd, EV_WRITE);
  ev_timer_init (&caller->timer, on_timer, 0, 0);
  caller->readable.data = caller;
  caller->writable.data = caller;
  caller->timer.data = caller;
  ev_io_start (site->loop, &caller->readable);
  caller_set_timer (caller, site->limits.idle_timeout_ms);
  return caller;
}

/* Closes CALLER's connection and frees it.  */
void
caller_free (struct caller *caller)
{
  struct caller_site *site = caller->site;

  ev_io_stop (site->loop, &caller->readable);
  ev_io_stop (site->loop, &caller->writable);
  ev_timer_stop (site->loop, &caller->timer);
  close (caller->readable.fd);
  g_queue_unlink (&site->callers, &caller->link);
  http_reader_clear (&caller->reader);
  if (caller->body != NULL)
    g_string_free (caller->body, TRUE);
  if (caller->ahead != NULL)
    g_string_free (caller->ahead, TRUE);
  if (caller->out != NULL)
    g_string_free (caller->out, TRUE);
  g_free (caller);
}

/* Ends a connection whose peer is gone, and tells the site.  */
void
caller_lose (struct caller *caller)
{
  void *request = caller->request;

  if (caller->state == CALLER_ANSWERING && !caller->answered)
    {
      caller->site->busy--;
      caller->request = NULL;
      if (request != NULL)
        caller->site->ops->gone (caller->site, request);
    }
  caller_free (caller);
}

/* Reads what the peer sent.  While an answer is due, an end of the input
   means that nobody waits for it any more.  */
static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct caller *caller = watcher->data;
  ssize_t got = recv (watcher->fd, read_buffer, sizeof read_buffer, 0);

  (void)events;
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      caller_lose (caller);
      return;
    }
  if (caller->state == CALLER_CLOSING)
    return;
  if (caller->state == CALLER_READING)
    {
      take (caller, read_buffer, (size_t)got);
      return;
    }
  if (caller->ahead == NULL)
    caller->ahead = g_string_new (NULL);
  g_string_append_len (caller->ahead, read_buffer, got);
  if (caller->ahead->len > AHEAD_MAX_BYTES)
    ev_io_stop (loop, watcher);
}

/* Parses LENGTH bytes of a request; what follows it waits.  */
static void
take (struct caller *caller, const char *data, size_t length)
{
  int was_idle = caller->reader.head == NULL;
  enum http_read result;
  size_t used;

  if (was_idle)
    caller->reader.head_max_bytes = caller->site->limits.head_max_bytes;
  result = http_reader_feed (&caller->reader, data, length, &used);
  if (result == HTTP_READ_ENDED)
    {
      if (used < length)
        {
          if (caller->ahead == NULL)
            caller->ahead = g_string_new (NULL);
          g_string_prepend_len (caller->ahead, data + used,
                                (gssize)(length - used));
        }
      dispatch (caller);
      return;
    }
  if (result == HTTP_READ_MORE)
    {
      if (was_idle && caller->reader.head != NULL)
        caller_set_timer (caller, caller->site->limits.head_timeout_ms);
      return;
    }
  if (result == HTTP_READ_TOO_LARGE)
    reject (caller, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
  else if (result == HTTP_READ_STOPPED)
    reject (caller, HTTP_STATUS_PAYLOAD_TOO_LARGE);
  else
    reject (caller, HTTP_STATUS_BAD_REQUEST);
}

/* Answers a request that cannot be read, and closes the connection.  */
static void
reject (struct caller *caller, uint32_t status)
{
  caller->state = CALLER_ANSWERING;
  caller->site->busy++;
  caller->close_after = 1;
  ev_timer_stop (caller->site->loop, &caller->timer);
  caller_answer (caller, status, "", NULL, 0);
}

/* Looks at a request's head before its body comes.  */
static int
on_head (struct http_reader *reader)
{
  struct caller *caller
      = (struct caller *)((char *)reader - offsetof (struct caller, reader));
  const char *expect = http_head_get (reader->head, "Expect");
  uint64_t length;

  caller->is_head = reader->parser.method == HTTP_HEAD;
  if (http_reader_has_length (reader, &length)
      && length > caller->site->limits.body_max_bytes)
    return -1;
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    caller_write (caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return 0;
}

/* Takes a piece of a request's body.  */
static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  struct caller *caller
      = (struct caller *)((char *)reader - offsetof (struct caller, reader));

  if (caller->body == NULL)
    caller->body = g_string_sized_new (length + 1);
  if (caller->body->len + length > caller->site->limits.body_max_bytes)
    return -1;
  g_string_append_len (caller->body, data, (gssize)length);
  return 0;
}

/* Hands a whole request to the site, which may answer at once.  */
static void
dispatch (struct caller *caller)
{
  struct caller_site *site = caller->site;
  struct http_head *head = caller->reader.head;
  GString *body = caller->body;
  void *request;

  caller->close_after
      = !http_reader_keeps_alive (&caller->reader) || site->closing;
  caller->reader.head = NULL;
  caller->body = NULL;
  caller->state = CALLER_ANSWERING;
  caller->answered = 0;
  caller->served = 1;
  site->busy++;
  ev_timer_stop (site->loop, &caller->timer);
  caller->entered = 1;
  request = site->ops->request (site, caller, head, body);
  caller->entered = 0;
  if (!caller->answered)
    {
      caller->request = request;
      return;
    }
  if (caller->dead)
    caller_start_closing (caller);
  else
    caller_next_request (caller);
}

/* The whole answer is written or buffered.  */
void
caller_finish_answer (struct caller *caller)
{
  caller->request = NULL;
  caller->answered = 1;
  caller->site->busy--;
  if (!caller->entered)
    caller_next_request (caller);
}

/* Makes CALLER ready for its next request, once the answer is out.  */
void
caller_next_request (struct caller *caller)
{
  GString *ahead = caller->ahead;

  if (caller_backlog (caller) > 0)
    return;
  if (caller->out != NULL)
    {
      g_string_free (caller->out, TRUE);
      caller->out = NULL;
      caller->out_at = 0;
    }
  if (caller->close_after || caller->site->closing)
    {
      caller_start_closing (caller);
      return;
    }
  http_reader_clear (&caller->reader);
  caller->state = CALLER_READING;
  ev_io_start (caller->site->loop, &caller->readable);
  caller_set_timer (caller, caller->site->limits.idle_timeout_ms);
  if (ahead == NULL)
    return;
  caller->ahead = NULL;
  take (caller, ahead->str, ahead->len);
  g_string_free (ahead, TRUE);
}

/* Sends the end of the connection and waits for the peer's, so that a reset
   does not destroy what it has not read yet.  */
void
caller_start_closing (struct caller *caller)
{
  caller->state = CALLER_CLOSING;
  if (caller_backlog (caller) > 0)
    return;
  shutdown (caller->readable.fd, SHUT_WR);
  ev_io_start (caller->site->loop, &caller->readable);
  caller_set_timer (caller, LINGER_MS);
}

/* Ends a connection that was idle, slow or lingering for too long.  A peer
   that has begun a request is told.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct caller *caller = timer->data;

  (void)loop;
  (void)events;
  if (caller->state == CALLER_READING && caller->reader.head != NULL)
    reject (caller, HTTP_STATUS_REQUEST_TIMEOUT);
  else
    caller_free (caller);
}

/* Sets CALLER's timer to run out after MS milliseconds.  */
void
caller_set_timer (struct caller *caller, int64_t ms)
{
  ev_timer_stop (caller->site->loop, &caller->timer);
  if (ms <= 0)
    return;
  ev_timer_set (&caller->timer, (double)ms / 1000, 0);
  ev_timer_start (caller->site->loop, &caller->timer);
}
