/* Client side of HTTP connections: calls over persistent connections.  */
#include <errno.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <linux/sockios.h>

#include "ibisloom/metrics.h"
#include "libout.h"
#include "libsocket.h"

enum
{
  READ_BYTES = 16384,
  /* An idle connection is closed this long before the keep-alive timeout that
     its server announced, since the server may already be closing it.  */
  KEEP_ALIVE_MARGIN_MS = 700
};

struct out_call
{
  struct out_conn *conn;
  const struct out_ops *ops;
  void *owner;
  GString *head;
  const char *body;
  size_t body_length;
  size_t sent;
  uint8_t paused;
  uint8_t reused_connection;
  uint8_t in_reader; /* inside the HTTP reader: out_call_cancel is deferred */
  uint8_t cancelled;
};

static int on_head (struct http_reader *reader);
static int on_data (struct http_reader *reader, const char *data,
                    size_t length);
static struct out_conn *conn_from_reader (struct http_reader *reader);
static void send_request (struct out_conn *conn);
static void receive_response (struct out_conn *conn);
static int ends_orderly (const struct out_conn *conn);
static void complete_call (struct out_conn *conn, int has_trailing_data);
static void fail_call (struct out_conn *conn, enum out_fault fault);
static void call_free (struct out_call *call);
static int64_t parse_keep_alive (const struct http_head *head);

const struct http_reader_ops out_reader_ops = { on_head, on_data, NULL };

static char read_buffer[READ_BYTES];

/* Starts a call.  No operation of OPS is called before this function returns.
   Returns NULL if no connection can be started.  */
struct out_call *
out_call_start (struct out_pool *pool, struct out_request *request,
                const struct out_ops *ops, void *owner)
{
  struct out_conn *conn = request->force_new_connection
                              ? NULL
                              : out_conn_take_idle (pool, &request->address);
  struct out_call *call;

  if (conn == NULL)
    conn = out_conn_open (pool, request);
  if (conn == NULL)
    {
      g_string_free (request->head, TRUE);
      request->head = NULL;
      return NULL;
    }
  call = g_new0 (struct out_call, 1);
  call->conn = conn;
  call->ops = ops;
  call->owner = owner;
  call->head = request->head;
  call->body = request->body;
  call->body_length = request->body_length;
  call->reused_connection = conn->is_reused;
  request->head = NULL;
  conn->call = call;
  conn->reader.no_body = request->is_head_request != 0;
  out_conn_set_events (
      conn, conn->state == CONN_CONNECTING ? EV_WRITE : EV_READ | EV_WRITE);
  return call;
}

/* Ends CALL without calling an operation of its owner.  The connection is
   closed, which lets the server stop its work on the request.  */
void
out_call_cancel (struct out_call *call)
{
  struct out_conn *conn = call->conn;

  if (call->in_reader)
    {
      call->cancelled = 1;
      return;
    }
  conn->call = NULL;
  call_free (call);
  out_conn_close (conn);
}

/* Passes the events of CALL from now on to OPS of OWNER.  */
void
out_call_set_owner (struct out_call *call, const struct out_ops *ops,
                    void *owner)
{
  call->ops = ops;
  call->owner = owner;
}

/* Stops reading the response of CALL if PAUSED, else resumes it.  */
void
out_call_pause (struct out_call *call, int paused)
{
  if (call->paused == (paused != 0))
    return;
  call->paused = paused != 0;
  if (call->conn->state != CONN_ACTIVE)
    return;
  out_conn_set_events (call->conn, paused ? call->conn->events & ~EV_READ
                                          : call->conn->events | EV_READ);
}

/* Returns whether input for CALL, or the end of its connection, has arrived
   that is yet to be read.  */
int
out_call_has_unread_input (const struct out_call *call)
{
  return call->conn->state == CONN_ACTIVE
         && sock_has_event (call->conn->io.fd);
}

/* Returns whether any byte of CALL was passed to the socket.  */
int
out_call_was_sent (const struct out_call *call)
{
  return call->sent > 0;
}

/* Returns whether the server is yet to acknowledge a part of the request of
   CALL, and stores in TAKEN how many bytes it has acknowledged.  */
int
out_call_is_sending (const struct out_call *call, uint64_t *taken)
{
  int queued = 0;

  if (call->conn->state != CONN_ACTIVE
      || ioctl (call->conn->io.fd, SIOCOUTQ, &queued) != 0)
    return 0;
  *taken = call->sent - (uint64_t)queued;
  return *taken < call->head->len + call->body_length;
}

/* Returns whether CALL was started on a connection that had carried an earlier
   call.  */
int
out_call_reused_connection (const struct out_call *call)
{
  return call->reused_connection;
}

static void
call_free (struct out_call *call)
{
  if (call->head != NULL)
    g_string_free (call->head, TRUE);
  g_free (call);
}

/* Handles a connection attempt that timed out, or a connection that was idle
   for too long.  */
void
out_conn_handle_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct out_conn *conn = timer->data;

  (void)loop;
  (void)events;
  if (conn->state == CONN_CONNECTING)
    fail_call (conn, OUT_NOT_SENT);
  else if (conn->state == CONN_IDLE)
    out_conn_close (conn);
}

/* Handles socket events of CONN.  */
void
out_conn_handle_io (struct ev_loop *loop, ev_io *io, int events)
{
  struct out_conn *conn = io->data;

  (void)loop;
  if (conn->state == CONN_IDLE)
    {
      /* Closed by the server, or input that belongs to no call.  */
      out_conn_close_idle (conn);
      return;
    }
  if (conn->state == CONN_CONNECTING)
    {
      if (sock_error (io->fd) != 0)
        {
          fail_call (conn, OUT_NOT_SENT);
          return;
        }
      ev_timer_stop (conn->pool->loop, &conn->timer);
      conn->state = CONN_ACTIVE;
      out_conn_set_events (conn, EV_READ | EV_WRITE);
      if (conn->call->ops->connected != NULL)
        conn->call->ops->connected (conn->call->owner);
      send_request (conn);
      return;
    }
  if (events & EV_READ)
    {
      receive_response (conn);
      return;
    }
  if (events & EV_WRITE)
    send_request (conn);
}

/* Sends the unsent part of the request, as far as the socket accepts it.  */
static void
send_request (struct out_conn *conn)
{
  struct out_call *call = conn->call;
  size_t head_remaining
      = call->sent < call->head->len ? call->head->len - call->sent : 0;
  size_t body_offset
      = call->sent > call->head->len ? call->sent - call->head->len : 0;
  struct iovec parts[2] = {
    { call->head->str + call->head->len - head_remaining, head_remaining },
    { (char *)(uintptr_t)call->body + body_offset,
      call->body_length - body_offset },
  };
  struct msghdr message = { .msg_iov = parts, .msg_iovlen = 2 };
  ssize_t sent = sendmsg (conn->io.fd, &message, MSG_NOSIGNAL);

  if (sent < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (sent < 0)
    {
      fail_call (conn, call->sent > 0 ? OUT_DISCONNECTED : OUT_NOT_SENT);
      return;
    }
  call->sent += (size_t)sent;
  if (call->sent == call->head->len + call->body_length)
    out_conn_set_events (conn, conn->events & ~EV_WRITE);
}

/* Reads and parses available input of the response.  */
static void
receive_response (struct out_conn *conn)
{
  struct out_call *call = conn->call;
  ssize_t received = recv (conn->io.fd, read_buffer, sizeof read_buffer, 0);
  enum http_read result;
  size_t used;

  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received < 0 || (received == 0 && conn->reader.head == NULL))
    {
      fail_call (conn, call->sent > 0 ? OUT_DISCONNECTED : OUT_NOT_SENT);
      return;
    }
  call->in_reader = 1;
  result = received == 0 ? http_reader_finish (&conn->reader)
                         : http_reader_feed (&conn->reader, read_buffer,
                                             (size_t)received, &used);
  call->in_reader = 0;
  if (call->cancelled)
    {
      out_call_cancel (call);
      return;
    }
  if (received == 0 && (result != HTTP_READ_COMPLETE || !ends_orderly (conn)))
    fail_call (conn, OUT_DISCONNECTED);
  else if (result == HTTP_READ_COMPLETE)
    {
      int has_trailing_data = received == 0 || used < (size_t)received;

      if (received > 0 && has_trailing_data)
        metric_inc (METRIC_EXTRA_INPUT);
      complete_call (conn, has_trailing_data);
    }
  else if (result != HTTP_READ_MORE)
    fail_call (conn, OUT_INVALID_RESPONSE);
}

/* Returns whether the end of input of CONN completes a response that has no
   length.  It does not if a reset followed it, nor a success if the server has
   not received the whole request: it has given up rather than responded.  */
static int
ends_orderly (const struct out_conn *conn)
{
  const struct out_call *call = conn->call;
  uint64_t taken;

  if (sock_error (conn->io.fd) != 0)
    return 0;
  if (!http_is_success (conn->reader.head->status))
    return 1;
  return call->sent == call->head->len + call->body_length
         && !out_call_is_sending (call, &taken);
}

/* Ends a call whose response is complete.  The connection is kept for reuse
   only if the request was sent in full and no input followed the response
   (HAS_TRAILING_DATA).  */
static void
complete_call (struct out_conn *conn, int has_trailing_data)
{
  struct out_call *call = conn->call;
  const struct out_ops *ops = call->ops;
  void *owner = call->owner;
  int is_fully_sent = call->sent == call->head->len + call->body_length;

  conn->call = NULL;
  call_free (call);
  if (!has_trailing_data && is_fully_sent
      && http_reader_keeps_alive (&conn->reader) && conn->keep_alive_ms > 0)
    out_conn_make_idle (conn);
  else
    out_conn_close (conn);
  ops->end (owner);
}

/* Ends a call without a complete response.  */
static void
fail_call (struct out_conn *conn, enum out_fault fault)
{
  struct out_call *call = conn->call;
  const struct out_ops *ops = call->ops;
  void *owner = call->owner;

  conn->call = NULL;
  call_free (call);
  out_conn_close (conn);
  ops->fail (owner, fault);
}

/* Returns the connection that contains READER.  */
static struct out_conn *
conn_from_reader (struct http_reader *reader)
{
  return (struct out_conn *)((char *)reader
                             - offsetof (struct out_conn, reader));
}

/* Passes the response head to the owner.  */
static int
on_head (struct http_reader *reader)
{
  struct out_conn *conn = conn_from_reader (reader);
  struct out_call *call = conn->call;
  uint64_t length;
  int has_length = http_reader_get_length (reader, &length);

  conn->keep_alive_ms = parse_keep_alive (reader->head);
  if (call->ops->head (call->owner, reader->head,
                       has_length ? (int64_t)length : -1)
      != 0)
    return -1;
  return call->cancelled ? -1 : 0;
}

/* Passes a piece of the response body to the owner.  */
static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  struct out_call *call = conn_from_reader (reader)->call;

  if (call->cancelled)
    return -1;
  if (call->ops->data (call->owner, data, length) != 0)
    return -1;
  return call->cancelled ? -1 : 0;
}

/* Returns how long a connection may stay idle, in milliseconds, according to
   the Keep-Alive field of the response HEAD.  */
static int64_t
parse_keep_alive (const struct http_head *head)
{
  const char *value = http_head_get (head, "Keep-Alive");
  const char *timeout = value ? strstr (value, "timeout=") : NULL;
  int64_t ms;

  if (timeout == NULL)
    return OUT_KEEP_ALIVE_DEFAULT_MS;
  ms = g_ascii_strtoll (timeout + strlen ("timeout="), NULL, 10) * CLK_MS_PER_S
       - KEEP_ALIVE_MARGIN_MS;
  return CLAMP (ms, 0, OUT_KEEP_ALIVE_DEFAULT_MS);
}
