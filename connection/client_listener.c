/* Listening sockets for clients, and their connections.  */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "ibisloom/error.h"
#include "libsocket.h"
#include "libclient.h"

enum
{
  LISTEN_BACKLOG = 1024
};

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_retry (struct ev_loop *loop, ev_timer *timer,
                             int events);

static const double ACCEPT_RETRY_S = 0.05;

/* Opens LISTENER on ADDRESS.  Returns 0, or -1 with ERROR set.  */
int
client_listener_open (struct client_listener *listener, struct ev_loop *loop,
                      const struct client_listener_ops *ops,
                      const struct sockaddr_in *address, GError **error)
{
  int fd = sock_listen (address, LISTEN_BACKLOG);

  if (fd < 0)
    {
      err_set (error, ERR_IO, "listen: port %u cannot be used: %s",
               ntohs (address->sin_port), strerror (errno));
      return -1;
    }
  listener->ops = ops;
  listener->loop = loop;
  g_queue_init (&listener->clients);
  ev_io_init (&listener->accept_watcher, on_accept, fd, EV_READ);
  listener->accept_watcher.data = listener;
  ev_timer_init (&listener->accept_retry_timer, on_accept_retry,
                 ACCEPT_RETRY_S, 0);
  listener->accept_retry_timer.data = listener;
  ev_io_start (loop, &listener->accept_watcher);
  return 0;
}

/* Closes the idle connections of LISTENER that have carried a request and have
   no input that is yet to be read.  New connections are still accepted, each
   for one request.  */
void
client_listener_drain (struct client_listener *listener)
{
  listener->is_draining = 1;
  for (GList *at = listener->clients.head, *next; at != NULL; at = next)
    {
      struct client *client = at->data;

      next = at->next;
      if (client->state == CLIENT_READING && client->reader.head == NULL
          && client->has_received_request
          && sock_is_idle (client->readable.fd))
        client_free (client);
    }
}

/* Has the requests in progress get a response, before the process ends.  */
void
client_listener_end_requests (struct client_listener *listener)
{
  /* A response may end other connections, so the list may not be walked.  */
  GPtrArray *requests = g_ptr_array_new ();

  for (GList *at = listener->clients.head; at != NULL; at = at->next)
    {
      const struct client *client = at->data;

      if (client->request != NULL && !client->is_response_complete)
        g_ptr_array_add (requests, client->request);
    }
  for (guint i = 0; i < requests->len; i++)
    listener->ops->stop (listener, g_ptr_array_index (requests, i));
  g_ptr_array_free (requests, TRUE);
}

/* Returns whether a client may not have received all of its response: output
   is unsent, or the client has not closed the connection after it.  */
int
client_listener_has_undelivered_output (const struct client_listener *listener)
{
  for (const GList *at = listener->clients.head; at != NULL; at = at->next)
    {
      const struct client *client = at->data;

      if (client_backlog (client) > 0 || client->state == CLIENT_CLOSING)
        return 1;
    }
  return 0;
}

/* Returns whether a connection has input that is yet to be read.  */
int
client_listener_has_unread_input (const struct client_listener *listener)
{
  for (const GList *at = listener->clients.head; at != NULL; at = at->next)
    {
      const struct client *client = at->data;

      if (client->state == CLIENT_READING
          && !sock_is_idle (client->readable.fd))
        return 1;
    }
  return 0;
}

/* Closes the listening socket and all connections.  */
void
client_listener_close (struct client_listener *listener)
{
  struct client *client;

  if (listener->loop == NULL)
    return;
  ev_io_stop (listener->loop, &listener->accept_watcher);
  ev_timer_stop (listener->loop, &listener->accept_retry_timer);
  close (listener->accept_watcher.fd);
  while ((client = g_queue_peek_head (&listener->clients)) != NULL)
    client_free (client);
}

/* Accepts all pending connections.  If no descriptor or memory is available,
   accepting is suspended for ACCEPT_RETRY_S.  */
static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  struct client_listener *listener = watcher->data;
  int fd;

  (void)events;
  while ((fd = sock_accept (watcher->fd)) >= 0)
    client_new (listener, fd);
  if (errno != EMFILE && errno != ENFILE && errno != ENOMEM)
    return;
  ev_io_stop (loop, watcher);
  ev_timer_set (&listener->accept_retry_timer, ACCEPT_RETRY_S, 0);
  ev_timer_start (loop, &listener->accept_retry_timer);
}

static void
on_accept_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct client_listener *listener = timer->data;

  (void)events;
  ev_io_start (loop, &listener->accept_watcher);
}
