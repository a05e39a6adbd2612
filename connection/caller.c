/* Connections of callers: requests read whole, answers written in pieces. */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/caller.h"
#include "ibisloom/error.h"
#include "libsocket.h"

enum
{
  LISTEN_BACKLOG = 1024,
  READ_BYTES = 65536,
  AHEAD_MAX_BYTES = 65536, /* of requests sent before an answer */
  DRAINED_BYTES = 65536,
  HEAD_LINE_MAX_BYTES = 128,
  LINGER_MS = 1000,   /* for the peer to read an answer before a close */
  SILENCE_MS = 10000, /* of a peer that acknowledges nothing */
  KEEPALIVE_IDLE_S = 5
};

static const double ACCEPT_PAUSE_S = 0.05;

enum caller_state
{
  CALLER_READING,
  CALLER_ANSWERING, /* a request is with the site */
  CALLER_CLOSING    /* the answer is out, the peer's close is awaited */
};

struct caller
{
  struct caller_site *site;
  GList link;
  ev_io readable;
  ev_io writable;
  ev_timer timer;
  struct http_reader reader;
  GString *body;
  GString *ahead; /* bytes read beyond the request at hand */
  GString *out;
  size_t out_at;
  void *request;
  uint8_t state;
  uint8_t chunked;
  uint8_t close_after;
  uint8_t is_head;
  uint8_t entered; /* inside the site's request operation */
  uint8_t answered;
  uint8_t dead;
  uint8_t served; /* the connection has carried a request */
};

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_pause (struct ev_loop *loop, ev_timer *timer,
                             int events);
static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable (struct ev_loop *loop, ev_io *watcher, int events);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static int on_head (struct http_reader *reader);
static int on_data (struct http_reader *reader, const char *data,
                    size_t length);
static struct caller *caller_new (struct caller_site *site, int fd);
static void caller_free (struct caller *caller);
static void take (struct caller *caller, const char *data, size_t length);
static void dispatch (struct caller *caller);
static void reject (struct caller *caller, uint32_t status);
static void lose (struct caller *caller);
static void write_out (struct caller *caller, const char *data, size_t length);
static void flush (struct caller *caller);
static void finish_answer (struct caller *caller);
static void next_request (struct caller *caller);
static void start_closing (struct caller *caller);
static void set_timer (struct caller *caller, int64_t ms);

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

static char read_buffer[READ_BYTES];

/* Listens at ADDRESS for SITE.  Returns 0, or -1 with ERROR set.  */
int
caller_site_open (struct caller_site *site, struct ev_loop *loop,
                  const struct caller_site_ops *ops,
                  const struct sockaddr_in *address, GError **error)
{
  int fd = sock_listen (address, LISTEN_BACKLOG);

  if (fd < 0)
    {
      err_set (error, ERR_IO, "listen: port %u cannot be used: %s",
               ntohs (address->sin_port), strerror (errno));
      return -1;
    }
  site->ops = ops;
  site->loop = loop;
  g_queue_init (&site->callers);
  ev_io_init (&site->listener, on_accept, fd, EV_READ);
  site->listener.data = site;
  ev_timer_init (&site->accept_pause, on_accept_pause, ACCEPT_PAUSE_S, 0);
  site->accept_pause.data = site;
  ev_io_start (loop, &site->listener);
  return 0;
}

/* Lets every connection of SITE end between two requests.  New connections
   are still taken, each for one request.  */
void
caller_site_shut (struct caller_site *site)
{
  site->closing = 1;
  for (GList *at = site->callers.head, *next; at != NULL; at = next)
    {
      struct caller *caller = at->data;

      next = at->next;
      if (caller->state == CALLER_READING && caller->reader.head == NULL
          && caller->served)
        caller_free (caller);
    }
}

/* Returns whether any caller may not have all of its answer yet: some of it
   is not sent, or the caller has not closed the connection after it.  */
int
caller_site_is_writing (const struct caller_site *site)
{
  for (const GList *at = site->callers.head; at != NULL; at = at->next)
    {
      const struct caller *caller = at->data;

      if (caller_backlog (caller) > 0 || caller->state == CALLER_CLOSING)
        return 1;
    }
  return 0;
}

/* Stops listening and drops all connections.  */
void
caller_site_close (struct caller_site *site)
{
  struct caller *caller;

  if (site->loop == NULL)
    return;
  ev_io_stop (site->loop, &site->listener);
  ev_timer_stop (site->loop, &site->accept_pause);
  close (site->listener.fd);
  while ((caller = g_queue_peek_head (&site->callers)) != NULL)
    caller_free (caller);
}

/* Starts the answer to CALLER's request.  */
void
caller_head (struct caller *caller, uint32_t status, const char *fields,
             int64_t length)
{
  GString *head = g_string_sized_new (HEAD_LINE_MAX_BYTES + strlen (fields));

  g_string_append_printf (head, "HTTP/1.1 %u %s\r\n%s", status,
                          http_reason (status), fields);
  caller->chunked = length < 0;
  if (caller->site->closing)
    caller->close_after = 1;
  if (length < 0)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  else
    g_string_append_printf (head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            (gint64)length);
  if (caller->close_after)
    g_string_append (head, "Connection: close\r\n");
  g_string_append (head, "\r\n");
  write_out (caller, head->str, head->len);
  g_string_free (head, TRUE);
}

/* Writes a piece of the answer's body.  */
void
caller_piece (struct caller *caller, const char *data, size_t length)
{
  char size[24];

  if (length == 0 || caller->is_head)
    return;
  if (!caller->chunked)
    {
      write_out (caller, data, length);
      return;
    }
  write_out (caller, size,
             (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  write_out (caller, data, length);
  write_out (caller, "\r\n", 2);
}

/* Ends the answer as complete.  */
void
caller_end (struct caller *caller)
{
  if (caller->chunked && !caller->is_head)
    write_out (caller, "0\r\n\r\n", 5);
  finish_answer (caller);
}

/* Ends the answer so that the caller sees that it is not complete.  */
void
caller_break (struct caller *caller)
{
  caller->request = NULL;
  caller->answered = 1;
  caller->site->busy--;
  if (caller->entered)
    {
      caller->dead = 1;
      return;
    }
  start_closing (caller);
}

/* Answers with a whole body of LENGTH bytes.  */
void
caller_answer (struct caller *caller, uint32_t status, const char *fields,
               const char *body, size_t length)
{
  caller_head (caller, status, fields, (int64_t)length);
  caller_piece (caller, body, length);
  caller_end (caller);
}

/* Returns the bytes that CALLER has not taken yet.  */
size_t
caller_backlog (const struct caller *caller)
{
  return caller->out == NULL ? 0 : caller->out->len - caller->out_at;
}

/* Takes new connections.  */
static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct caller_site *site = watcher->data;
  int fd;

  (void)events;
  while ((fd = sock_accept (watcher->fd)) >= 0)
    caller_new (site, fd);
  if (errno != EMFILE && errno != ENFILE && errno != ENOMEM)
    return;
  ev_io_stop (loop, watcher);
  ev_timer_set (&site->accept_pause, ACCEPT_PAUSE_S, 0);
  ev_timer_start (loop, &site->accept_pause);
}

/* Accepts again after descriptors ran out.  */
static void
on_accept_pause (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct caller_site *site = timer->data;

  (void)events;
  ev_io_start (loop, &site->listener);
}

/* Returns a connection of SITE at FD.  */
static struct caller *
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
  ev_io_init (&caller->writable, on_writable, fd, EV_WRITE);
  ev_timer_init (&caller->timer, on_timer, 0, 0);
  caller->readable.data = caller;
  caller->writable.data = caller;
  caller->timer.data = caller;
  ev_io_start (site->loop, &caller->readable);
  set_timer (caller, site->limits.idle_timeout_ms);
  return caller;
}

/* Closes CALLER's connection and frees it.  */
static void
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
static void
lose (struct caller *caller)
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
      lose (caller);
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
        set_timer (caller, caller->site->limits.head_timeout_ms);
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
    write_out (caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
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
    start_closing (caller);
  else
    next_request (caller);
}

/* The whole answer is written or buffered.  */
static void
finish_answer (struct caller *caller)
{
  caller->request = NULL;
  caller->answered = 1;
  caller->site->busy--;
  if (!caller->entered)
    next_request (caller);
}

/* Makes CALLER ready for its next request, once the answer is out.  */
static void
next_request (struct caller *caller)
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
      start_closing (caller);
      return;
    }
  http_reader_clear (&caller->reader);
  caller->state = CALLER_READING;
  ev_io_start (caller->site->loop, &caller->readable);
  set_timer (caller, caller->site->limits.idle_timeout_ms);
  if (ahead == NULL)
    return;
  caller->ahead = NULL;
  take (caller, ahead->str, ahead->len);
  g_string_free (ahead, TRUE);
}

/* Sends the end of the connection and waits for the peer's, so that a reset
   does not destroy what it has not read yet.  */
static void
start_closing (struct caller *caller)
{
  caller->state = CALLER_CLOSING;
  if (caller_backlog (caller) > 0)
    return;
  shutdown (caller->readable.fd, SHUT_WR);
  ev_io_start (caller->site->loop, &caller->readable);
  set_timer (caller, LINGER_MS);
}

/* Writes now what the socket takes, and buffers the rest.  */
static void
write_out (struct caller *caller, const char *data, size_t length)
{
  ssize_t sent = 0;

  if (caller_backlog (caller) == 0)
    sent = send (caller->readable.fd, data, length, MSG_NOSIGNAL);
  if (sent == (ssize_t)length)
    return;
  if (sent < 0)
    sent = 0; /* a broken connection shows when it is next read */
  if (caller->out == NULL)
    caller->out = g_string_sized_new (length - (size_t)sent);
  g_string_append_len (caller->out, data + sent,
                       (gssize)(length - (size_t)sent));
  ev_io_start (caller->site->loop, &caller->writable);
}

/* Writes what is buffered.  */
static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  flush (watcher->data);
}

/* Writes what is buffered, and goes on when all is out.  */
static void
flush (struct caller *caller)
{
  size_t left = caller_backlog (caller);
  ssize_t sent;

  if (left > 0)
    {
      sent = send (caller->writable.fd, caller->out->str + caller->out_at,
                   left, MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (sent < 0)
        {
          lose (caller);
          return;
        }
      caller->out_at += (size_t)sent;
      left -= (size_t)sent;
    }
  if (left > 0)
    {
      if (left < DRAINED_BYTES && caller->request != NULL)
        caller->site->ops->drained (caller->site, caller->request);
      return;
    }
  ev_io_stop (caller->site->loop, &caller->writable);
  g_string_truncate (caller->out, 0);
  caller->out_at = 0;
  if (caller->state == CALLER_CLOSING)
    start_closing (caller);
  else if (caller->state == CALLER_ANSWERING && caller->answered)
    next_request (caller);
  else if (caller->request != NULL)
    caller->site->ops->drained (caller->site, caller->request);
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
static void
set_timer (struct caller *caller, int64_t ms)
{
  ev_timer_stop (caller->site->loop, &caller->timer);
  if (ms <= 0)
    return;
  ev_timer_set (&caller->timer, (double)ms / 1000, 0);
  ev_timer_start (caller->site->loop, &caller->timer);
}
