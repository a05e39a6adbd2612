/* Connections of clients: requests are received whole and handled one at a
   time.  */
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/buffer.h"
#include "libsocket.h"
#include "libclient.h"

enum
{
  READ_BYTES = 16384,
  PIPELINED_MAX_BYTES = 16384, /* received before the response to the current
                                  request is complete */
  UNREAD_MS = 50,              /* time for input that has arrived to be read */
  CLOSE_TIMEOUT_MS = 1000,     /* time for the client to read the response and
                                  close the connection */
  KEEPALIVE_IDLE_S = 5
};

static void on_readable (struct ev_loop *loop, ev_io *watcher, int events);
static void parse_input (struct client *client, const char *data,
                         size_t length);
static void reject_request (struct client *client, uint32_t status);
static int on_head (struct http_reader *reader);
static int on_data (struct http_reader *reader, const char *data,
                    size_t length);
static void trim_body (struct client *client, GString *body);
static void dispatch (struct client *client);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

static char read_buffer[READ_BYTES];

/* Returns a new connection of LISTENER on the accepted socket FD.  */
struct client *
client_new (struct client_listener *listener, int fd)
{
  struct client *client = g_new0 (struct client, 1);

  sock_set_options (fd, CLIENT_USER_TIMEOUT_MS, KEEPALIVE_IDLE_S);
  client->listener = listener;
  client->link.data = client;
  g_queue_push_tail_link (&listener->clients, &client->link);
  http_reader_init (&client->reader, &reader_ops, 0,
                    listener->limits.head_max_bytes);
  ev_io_init (&client->readable, on_readable, fd, EV_READ);
  ev_io_init (&client->writable, client_on_writable, fd, EV_WRITE);
  ev_timer_init (&client->timer, on_timer, 0, 0);
  client->readable.data = client;
  client->writable.data = client;
  client->timer.data = client;
  ev_io_start (listener->loop, &client->readable);
  client_set_timer (client, listener->limits.idle_timeout_ms);
  return client;
}

/* Closes the connection and frees CLIENT.  */
void
client_free (struct client *client)
{
  struct client_listener *listener = client->listener;

  ev_io_stop (listener->loop, &client->readable);
  ev_io_stop (listener->loop, &client->writable);
  ev_timer_stop (listener->loop, &client->timer);
  close (client->readable.fd);
  g_queue_unlink (&listener->clients, &client->link);
  http_reader_clear (&client->reader);
  if (client->body != NULL)
    g_string_free (client->body, TRUE);
  if (client->pipelined != NULL)
    g_string_free (client->pipelined, TRUE);
  client_output_clear (&client->output);
  client_free_head (client);
  buf_release (BUF_REQUEST, &client->body_share);
  g_free (client);
}

/* Frees CLIENT, which has disconnected, and reports this to the listener if a
   response is pending.  */
void
client_handle_disconnect (struct client *client)
{
  void *request = client->request;

  if (client->state == CLIENT_RESPONDING && !client->is_response_complete)
    {
      client->listener->pending_requests--;
      client->request = NULL;
      if (request != NULL)
        client->listener->ops->disconnected (client->listener, request);
    }
  client_free (client);
}

/* Reads input.  An end of input while a response is pending means that the
   client no longer waits for the response.  */
static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct client *client = watcher->data;
  ssize_t received = recv (watcher->fd, read_buffer, sizeof read_buffer, 0);

  (void)events;
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (received <= 0)
    {
      client_handle_disconnect (client);
      return;
    }
  if (client->state == CLIENT_CLOSING)
    return;
  if (client->state == CLIENT_READING)
    {
      parse_input (client, read_buffer, (size_t)received);
      return;
    }
  if (client->pipelined == NULL)
    client->pipelined = g_string_new (NULL);
  g_string_append_len (client->pipelined, read_buffer, received);
  if (client->pipelined->len > PIPELINED_MAX_BYTES)
    ev_io_stop (loop, watcher);
}

/* Parses LENGTH bytes of input up to the end of one request.  The rest is kept
   until the response is complete.  */
static void
parse_input (struct client *client, const char *data, size_t length)
{
  int was_idle = client->reader.head == NULL;
  enum http_read result;
  size_t used;

  if (was_idle)
    client->reader.head_max_bytes = client->listener->limits.head_max_bytes;
  result = http_reader_feed (&client->reader, data, length, &used);
  if (result == HTTP_READ_COMPLETE)
    {
      if (used < length)
        {
          if (client->pipelined == NULL)
            client->pipelined = g_string_new (NULL);
          g_string_prepend_len (client->pipelined, data + used,
                                (gssize)(length - used));
        }
      dispatch (client);
      return;
    }
  if (result == HTTP_READ_MORE)
    {
      if (was_idle && client->reader.head != NULL)
        client_set_timer (client, client->listener->limits.head_timeout_ms);
      return;
    }
  if (result == HTTP_READ_TOO_LARGE)
    reject_request (client, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE);
  else if (result == HTTP_READ_STOPPED && client->is_crowded)
    reject_request (client, HTTP_STATUS_SERVICE_UNAVAILABLE);
  else if (result == HTTP_READ_STOPPED)
    reject_request (client, HTTP_STATUS_PAYLOAD_TOO_LARGE);
  else
    reject_request (client, HTTP_STATUS_BAD_REQUEST);
}

/* Responds with STATUS to a request that cannot be handled, and closes the
   connection.  */
static void
reject_request (struct client *client, uint32_t status)
{
  client->state = CLIENT_RESPONDING;
  client->listener->pending_requests++;
  client->close_after = 1;
  ev_timer_stop (client->listener->loop, &client->timer);
  client_respond (client, status, "", NULL, 0);
}

/* Checks the head of a request before its body is received.  */
static int
on_head (struct http_reader *reader)
{
  struct client *client
      = (struct client *)((char *)reader - offsetof (struct client, reader));
  const char *expect = http_head_get (reader->head, "Expect");
  uint64_t length;

  client->is_head_request = reader->parser.method == HTTP_HEAD;
  if (http_reader_get_length (reader, &length)
      && length > client->listener->limits.body_max_bytes)
    return -1;
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    client_write (client, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return 0;
}

/* Appends a piece of the request body, up to the configured limit and as long
   as there is memory for it.  */
static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  struct client *client
      = (struct client *)((char *)reader - offsetof (struct client, reader));

  if (client->body == NULL)
    client->body = g_string_sized_new (length + 1);
  if (client->body->len + length > client->listener->limits.body_max_bytes)
    return -1;
  g_string_append_len (client->body, data, (gssize)length);
  client->is_crowded = buf_reserve (BUF_REQUEST, &client->body_share,
                                    client->body->allocated_len)
                       != 0;
  if (!client->is_crowded)
    return 0;
  g_string_free (client->body, TRUE);
  client->body = NULL;
  buf_release (BUF_REQUEST, &client->body_share);
  return -1;
}

/* Frees what BODY, the complete body of CLIENT, has beyond its length, which
   may be as much again.  */
static void
trim_body (struct client *client, GString *body)
{
  body->allocated_len = body->len + 1;
  body->str = g_realloc (body->str, body->allocated_len);
  (void)buf_reserve (BUF_REQUEST, &client->body_share, body->allocated_len);
}

/* Passes a complete request to the listener, which may respond during the
   call.  */
static void
dispatch (struct client *client)
{
  struct client_listener *listener = client->listener;
  struct http_head *head = client->reader.head;
  GString *body = client->body;
  void *request;

  client->close_after
      = !http_reader_keeps_alive (&client->reader) || listener->is_draining;
  client->reader.head = NULL;
  client->body = NULL;
  if (body != NULL)
    trim_body (client, body);
  client->state = CLIENT_RESPONDING;
  client->is_response_complete = 0;
  client->has_received_request = 1;
  listener->pending_requests++;
  ev_timer_stop (listener->loop, &client->timer);
  client->in_handler = 1;
  request = listener->ops->request (listener, client, head, body);
  client->in_handler = 0;
  if (!client->is_response_complete)
    {
      client->request = request;
      return;
    }
  if (client->is_aborted)
    client_start_closing (client);
  else
    client_next_request (client);
}

/* Handles a response that is complete, though parts of it may still be
   buffered.  */
void
client_finish_response (struct client *client)
{
  client->request = NULL;
  client->is_response_complete = 1;
  client->listener->pending_requests--;
  buf_release (BUF_REQUEST, &client->body_share);
  if (!client->in_handler)
    client_next_request (client);
}

/* Prepares CLIENT for its next request, once the response is sent.  */
void
client_next_request (struct client *client)
{
  GString *pipelined = client->pipelined;

  if (client_backlog (client) > 0)
    return;
  /* A request that was read before a shutdown began gets a response.  */
  if (client->close_after
      || (client->listener->is_draining && pipelined == NULL))
    {
      client_start_closing (client);
      return;
    }
  http_reader_clear (&client->reader);
  client->state = CLIENT_READING;
  ev_io_start (client->listener->loop, &client->readable);
  client_set_timer (client, client->listener->limits.idle_timeout_ms);
  if (pipelined == NULL)
    return;
  client->pipelined = NULL;
  parse_input (client, pipelined->str, pipelined->len);
  g_string_free (pipelined, TRUE);
}

/* Shuts down the sending side and waits for the client to close its side.
   Closing the socket at once could send a reset, which discards data that the
   client has not read yet.  */
void
client_start_closing (struct client *client)
{
  client->state = CLIENT_CLOSING;
  if (client_backlog (client) > 0)
    return;
  shutdown (client->readable.fd, SHUT_WR);
  ev_io_start (client->listener->loop, &client->readable);
  client_set_timer (client, CLOSE_TIMEOUT_MS);
}

/* Closes a connection that is idle for too long or was not closed in time by
   the client.  A client that has sent part of a request gets status 408.  A
   request that has arrived but was not read, as the process stood still, is
   read first.  A client that is yet to read its response is looked at.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct client *client = timer->data;

  (void)loop;
  (void)events;
  if (client->state != CLIENT_READING && client_backlog (client) > 0)
    client_check_reading (client);
  else if (client->state == CLIENT_READING && client->reader.head != NULL)
    reject_request (client, HTTP_STATUS_REQUEST_TIMEOUT);
  else if (client->state == CLIENT_READING
           && !sock_is_idle (client->readable.fd))
    client_set_timer (client, UNREAD_MS);
  else
    client_free (client);
}

/* Returns whether CLIENT has connected from ADDRESS.  */
int
client_is_at (const struct client *client, struct in_addr address)
{
  struct sockaddr_in from = { .sin_family = AF_INET };
  socklen_t size = sizeof from;

  return getpeername (client->readable.fd, (struct sockaddr *)&from, &size)
             == 0
         && from.sin_addr.s_addr == address.s_addr;
}

/* Starts the timer of CLIENT, which expires after MS milliseconds.  A value of
   0 or less only stops it.  */
void
client_set_timer (struct client *client, int64_t ms)
{
  ev_timer_stop (client->listener->loop, &client->timer);
  if (ms <= 0)
    return;
  ev_timer_set (&client->timer, (double)ms / 1000, 0);
  ev_timer_start (client->listener->loop, &client->timer);
}
