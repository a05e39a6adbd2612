/* Listeners of callers: they open, shut and close with their connections.  */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "ibisloom/error.h"
#include "libsocket.h"
#include "libcaller.h"

enum
{
  LISTEN_BACKLOG = 1024
};

static void on_accept (struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_pause (struct ev_loop *loop, ev_timer *timer,
                             int events);

static const double ACCEPT_PAUSE_S = 0.05;

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
