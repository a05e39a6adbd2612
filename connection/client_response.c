/* Responses to clients, sent as fast as the socket accepts them.  */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "ibisloom/buffer.h"
#include "libclient.h"

enum
{
  HEAD_INITIAL_BYTES = 128,
  PARTS_MAX = 4 /* head, size of a chunk, chunk, its end */
};

/* Output that is sent with one system call: each call is a packet of its own,
   and a lost packet delays all that follow it.  */
struct output_parts
{
  struct iovec part[PARTS_MAX];
  size_t count;
};

static void add_part (struct output_parts *parts, const char *data,
                      size_t length);
static void send_parts (struct client *client,
                        const struct output_parts *parts);
static void buffer_parts (struct client *client,
                          const struct output_parts *parts, size_t sent);
static void flush (struct client *client);

/* Sends the status line and the header of a response, together with the first
   piece of the body or the end of the response.  */
void
client_send_head (struct client *client, uint32_t status, const char *fields,
                  int64_t length)
{
  GString *head = g_string_sized_new (HEAD_INITIAL_BYTES + strlen (fields));

  g_string_append_printf (head, "HTTP/1.1 %u %s\r\n%s", status,
                          http_reason (status), fields);
  client->chunked = length < 0;
  if (client->listener->is_draining)
    client->close_after = 1;
  if (length < 0)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  else
    g_string_append_printf (head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            (gint64)length);
  if (client->close_after)
    g_string_append (head, "Connection: close\r\n");
  g_string_append (head, "\r\n");
  g_assert (client->head == NULL);
  client->head = head;
}

/* Sends a piece of the response body.  */
void
client_send_body (struct client *client, const char *data, size_t length)
{
  struct output_parts parts = { .count = 0 };
  char size[24];

  if (length == 0 || client->is_head_request)
    return;
  if (client->chunked)
    add_part (&parts, size,
              (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  add_part (&parts, data, length);
  if (client->chunked)
    add_part (&parts, "\r\n", 2);
  send_parts (client, &parts);
}

/* Ends a complete response.  */
void
client_end_response (struct client *client)
{
  struct output_parts parts = { .count = 0 };

  if (client->chunked && !client->is_head_request)
    add_part (&parts, "0\r\n\r\n", 5);
  send_parts (client, &parts);
  client_finish_response (client);
}

/* Ends an incomplete response.  The connection is closed without the end of
   the body, so that the client detects it.  */
void
client_abort_response (struct client *client)
{
  send_parts (client, &(struct output_parts){ .count = 0 });
  client->request = NULL;
  client->is_response_complete = 1;
  client->listener->pending_requests--;
  buf_release (BUF_REQUEST, &client->body_share);
  if (client->in_handler)
    {
      client->is_aborted = 1;
      return;
    }
  client_start_closing (client);
}

/* Sends a complete response with a body of LENGTH bytes.  */
void
client_respond (struct client *client, uint32_t status, const char *fields,
                const char *body, size_t length)
{
  client_send_head (client, status, fields, (int64_t)length);
  client_send_body (client, body, length);
  client_end_response (client);
}

/* Returns the number of bytes that are buffered for CLIENT and not sent.  */
size_t
client_backlog (const struct client *client)
{
  return client->output.length;
}

/* Frees a head of a response of CLIENT that was not sent.  */
void
client_free_head (struct client *client)
{
  if (client->head != NULL)
    g_string_free (client->head, TRUE);
  client->head = NULL;
}

/* Sends as much of DATA as the socket accepts, and buffers the rest.  */
void
client_write (struct client *client, const char *data, size_t length)
{
  struct output_parts parts = { .count = 0 };

  add_part (&parts, data, length);
  send_parts (client, &parts);
}

/* Appends DATA to PARTS, which has room for it.  */
static void
add_part (struct output_parts *parts, const char *data, size_t length)
{
  parts->part[parts->count].iov_base = (void *)(uintptr_t)data;
  parts->part[parts->count].iov_len = length;
  parts->count++;
}

/* Sends the head that waits for it, if there is one, and as much of PARTS as
   the socket accepts, and buffers the rest.  */
static void
send_parts (struct client *client, const struct output_parts *parts)
{
  struct output_parts all = { .count = 0 };
  struct msghdr message = { .msg_iov = all.part };
  size_t length = 0;
  ssize_t sent = 0;

  if (client->head != NULL)
    add_part (&all, client->head->str, client->head->len);
  for (size_t i = 0; i < parts->count; i++)
    all.part[all.count++] = parts->part[i];
  for (size_t i = 0; i < all.count; i++)
    length += all.part[i].iov_len;
  message.msg_iovlen = all.count;
  if (client_backlog (client) == 0 && length > 0)
    sent = sendmsg (client->readable.fd, &message, MSG_NOSIGNAL);
  if (sent < 0)
    sent = 0; /* a failed connection is detected at the next read */
  client->sent_bytes += (uint64_t)sent;
  if ((size_t)sent < length)
    buffer_parts (client, &all, (size_t)sent);
  client_free_head (client);
}

/* Buffers PARTS without the first SENT bytes, to be sent once the socket
   accepts more.  */
static void
buffer_parts (struct client *client, const struct output_parts *parts,
              size_t sent)
{
  for (size_t i = 0; i < parts->count; i++)
    {
      size_t skipped = MIN (sent, parts->part[i].iov_len);

      sent -= skipped;
      client_output_append (&client->output,
                            (const char *)parts->part[i].iov_base + skipped,
                            parts->part[i].iov_len - skipped);
    }
  ev_io_start (client->listener->loop, &client->writable);
  client_watch_reading (client);
}

void
client_on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  flush (watcher->data);
}

/* Sends buffered output.  When the buffer is empty, continues with the next
   request, the close or the rest of the response.  */
static void
flush (struct client *client)
{
  ssize_t sent = client_output_send (&client->output, client->writable.fd);

  if (sent < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (sent < 0)
    {
      client_handle_disconnect (client);
      return;
    }
  client->sent_bytes += (uint64_t)sent;
  if (client_backlog (client) > 0)
    {
      if (client->request != NULL && client_may_get_more (client))
        client->listener->ops->drained (client->listener, client->request);
      return;
    }
  ev_io_stop (client->listener->loop, &client->writable);
  if (client->state != CLIENT_READING)
    ev_timer_stop (client->listener->loop, &client->timer);
  if (client->state == CLIENT_CLOSING)
    client_start_closing (client);
  else if (client->state == CLIENT_RESPONDING && client->is_response_complete)
    client_next_request (client);
  else if (client->request != NULL)
    client->listener->ops->drained (client->listener, client->request);
}
