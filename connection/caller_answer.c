/* Answers to callers, written in pieces as the caller takes them.  */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "libcaller.h"

enum
{
  DRAINED_BYTES = 65536,
  HEAD_LINE_MAX_BYTES = 128
};

static void flush (struct caller *caller);

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
  caller_write (caller, head->str, head->len);
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
      caller_write (caller, data, length);
      return;
    }
  caller_write (caller, size,
                (size_t)g_snprintf (size, sizeof size, "%zx\r\n", length));
  caller_write (caller, data, length);
  caller_write (caller, "\r\n", 2);
}

/* Ends the answer as complete.  */
void
caller_end (struct caller *caller)
{
  if (caller->chunked && !caller->is_head)
    caller_write (caller, "0\r\n\r\n", 5);
  caller_finish_answer (caller);
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
  caller_start_closing (caller);
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

/* Writes now what the socket takes, and buffers the rest.  */
void
caller_write (struct caller *caller, const char *data, size_t length)
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
void
caller_on_writable (struct ev_loop *loop, ev_io *watcher, int events)
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
          caller_lose (caller);
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
    caller_start_closing (caller);
  else if (caller->state == CALLER_ANSWERING && caller->answered)
    caller_next_request (caller);
  else if (caller->request != NULL)
    caller->site->ops->drained (caller->site, caller->request);
}
