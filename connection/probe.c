/* Probe: whether a process still listens at an address.  It connects, and
   closes the connection at once.  */
#include <errno.h>
#include <unistd.h>

#include <glib.h>

#include "ibisloom/clock.h"
#include "ibisloom/probe.h"
#include "libsocket.h"

struct probe
{
  struct ev_loop *loop;
  ev_io io;
  ev_timer timer;
  probe_done_fn done;
  void *closure;
};

static void on_io (struct ev_loop *loop, ev_io *io, int events);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void finish (struct probe *probe, enum probe_result result);

/* Starts to connect to ADDRESS.  DONE is called with CLOSURE once, within
   TIMEOUT_MS milliseconds, unless the probe is canceled.  Returns NULL if no
   connection could be started; DONE is not called then.  */
struct probe *
probe_start (struct ev_loop *loop, const struct sockaddr_in *address,
             int64_t timeout_ms, probe_done_fn done, void *closure)
{
  int fd = sock_connect (address);
  struct probe *probe;

  if (fd < 0)
    return NULL;
  probe = g_new0 (struct probe, 1);
  probe->loop = loop;
  probe->done = done;
  probe->closure = closure;
  ev_io_init (&probe->io, on_io, fd, EV_WRITE);
  probe->io.data = probe;
  ev_io_start (loop, &probe->io);
  ev_timer_init (&probe->timer, on_timer, (double)timeout_ms / CLK_MS_PER_S,
                 0);
  probe->timer.data = probe;
  ev_timer_start (loop, &probe->timer);
  return probe;
}

/* Ends PROBE without calling its callback, and frees it.  */
void
probe_cancel (struct probe *probe)
{
  ev_io_stop (probe->loop, &probe->io);
  ev_timer_stop (probe->loop, &probe->timer);
  close (probe->io.fd);
  g_free (probe);
}

/* Handles a connection that was accepted or refused.  */
static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  int error = sock_error (io->fd);

  (void)loop;
  (void)events;
  finish (io->data, error == 0              ? PROBE_ACCEPTED
                    : error == ECONNREFUSED ? PROBE_REFUSED
                                            : PROBE_NO_ANSWER);
}

/* Handles a connection attempt without an answer.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  finish (timer->data, PROBE_NO_ANSWER);
}

/* Frees PROBE and passes the result to its callback.  */
static void
finish (struct probe *probe, enum probe_result result)
{
  probe_done_fn done = probe->done;
  void *closure = probe->closure;

  probe_cancel (probe);
  done (closure, result);
}
