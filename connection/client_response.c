/* Responses to clients, sent as fast as the socket accepts them.  */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "ibisloom/buffer.h"
#include "libclient.h"

enum
{
  LOW_WATER_BYTES = 16384,
  HEAD_INITIAL_BYTES = 128
};

static void flush (struct client *client);

/* Sends the status line and the header of a response.  */
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
  client_write (client, head->str, head->len);
  g_string_free (head, TRUE);
}

/* Sends a piece of the response body.  */
void
client_send_body (struct client *client, const char *data, size_t length)
{
  char size[24];

  if (length == 0 || client->is_head_request)
    return;
  if (!client->chunked)
    {
      client_write (client, data, length);
      return;
    }
  client_write (client, size,
                (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  client_write (client, data, length);
  client_write (client, "\r\n", 2);
}

/* Ends a complete response.  */
void
client_end_response (struct client *client)
{
  if (client->chunked && !client->is_head_request)
    client_write (client, "0\r\n\r\n", 5);
  client_finish_response (client);
}

/* Ends an incomplete response.  The connection is closed without the end of
   the body, so that the client detects it.  */
void
client_abort_response (struct client *client)
{
  client->request = NULL;
  client->is_response_complete = 1;
  client->listener->pending_requests--;
  buf_release (&client->body_share);
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
  return client->output == NULL ? 0
                                : client->output->len - client->output_offset;
}

/* Returns whether no more output should be made for CLIENT until it has read
   some, as no memory is left to buffer it.  */
int
client_is_crowded (const struct client *client)
{
  return client->is_crowded;
}

/* Frees the buffer for output of CLIENT, which is empty or of no use.  */
void
client_free_output (struct client *client)
{
  if (client->output != NULL)
    g_string_free (client->output, TRUE);
  client->output = NULL;
  client->output_offset = 0;
  client->is_crowded = 0;
  buf_release (&client->output_share);
}

/* Sends as much of DATA as the socket accepts, and buffers the rest.  */
void
client_write (struct client *client, const char *data, size_t length)
{
  ssize_t sent = 0;

  if (client_backlog (client) == 0)
    sent = send (client->readable.fd, data, length, MSG_NOSIGNAL);
  if (sent == (ssize_t)length)
    return;
  if (sent < 0)
    sent = 0; /* a failed connection is detected at the next read */
  if (client->output == NULL)
    client->output = g_string_sized_new (length - (size_t)sent);
  g_string_append_len (client->output, data + sent,
                       (gssize)(length - (size_t)sent));
  client->is_crowded
      = buf_reserve (&client->output_share, client->output->allocated_len)
        != 0;
  ev_io_start (client->listener->loop, &client->writable);
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
  size_t remaining = client_backlog (client);
  ssize_t sent;

  if (remaining > 0)
    {
      sent = send (client->writable.fd,
                   client->output->str + client->output_offset, remaining,
                   MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (sent < 0)
        {
          client_handle_disconnect (client);
          return;
        }
      client->output_offset += (size_t)sent;
      remaining -= (size_t)sent;
    }
  if (remaining > 0)
    {
      if (remaining < LOW_WATER_BYTES && client->request != NULL)
        client->listener->ops->drained (client->listener, client->request);
      return;
    }
  ev_io_stop (client->listener->loop, &client->writable);
  client_free_output (client);
  if (client->state == CLIENT_CLOSING)
    client_start_closing (client);
  else if (client->state == CLIENT_RESPONDING && client->is_response_complete)
    client_next_request (client);
  else if (client->request != NULL)
    client->listener->ops->drained (client->listener, client->request);
}
