/* Scripted targets.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link_fixture.h"
#include "libfixture.h"

/* One connection to a target. */
struct served
{
  struct fx_target *target;
  int fd;
};

static void *
serve_target (void *closure)
{
  struct served *served = closure;
  struct fx_target *target = served->target;
  struct fx_request request = { .fd = served->fd };
  int keep = 1;

  while (keep && (request.text = fx_read_request (served->fd)) != NULL)
    {
      pthread_mutex_lock (&fx_world.lock);
      request.number = ++target->requests;
      g_free (target->last);
      target->last = g_strdup (request.text);
      pthread_mutex_unlock (&fx_world.lock);
      keep = target->behave (&request);
      g_free (request.text);
    }
  if (keep)
    {
      pthread_mutex_lock (&fx_world.lock);
      target->peer_closed++;
      pthread_mutex_unlock (&fx_world.lock);
    }
  close (served->fd);
  g_free (served);
  return NULL;
}

/* Takes connections to a target.  */
static void *
accept_target (void *closure)
{
  struct fx_target *target = closure;
  int fd;

  while ((fd = accept (target->listener, NULL, NULL)) >= 0)
    {
      struct served *served = g_new0 (struct served, 1);

      served->target = target;
      served->fd = fd;
      fx_start_thread (serve_target, served);
    }
  return NULL;
}

/* Writes TARGET's entry in its present state.  */
static void
announce (const struct fx_target *target)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,"
      "\"sequence\":1}",
      target->service, target->port, target->state);

  fx_put ("servers", target->id, spec);
  g_free (spec);
}

/* Starts a target and enters it.  */
struct fx_target *
fx_target_add (const char *id, const char *service, fx_behave_fn behave)
{
  struct fx_target *target = g_new0 (struct fx_target, 1);

  target->id = g_strdup (id);
  target->service = g_strdup (service);
  target->state = g_strdup ("ready");
  target->behave = behave;
  target->listener = fx_listen_any (&target->port);
  g_ptr_array_add (fx_world.targets, target);
  fx_start_thread (accept_target, target);
  announce (target);
  return target;
}

void
fx_target_state (struct fx_target *target, const char *state)
{
  g_free (target->state);
  target->state = g_strdup (state);
  announce (target);
}

void
fx_target_remove (struct fx_target *target)
{
  fx_store_delete ("servers", target->id);
}

/* Lets gates reach TARGET through a link from now on.  */
struct lnk *
fx_target_link (struct fx_target *target)
{
  struct lnk *link = lnk_start (target->port);

  target->port = lnk_port (link);
  announce (target);
  return link;
}

int
fx_target_requests (struct fx_target *target)
{
  int requests;

  pthread_mutex_lock (&fx_world.lock);
  requests = target->requests;
  pthread_mutex_unlock (&fx_world.lock);
  return requests;
}

/* Returns the last request of TARGET, newly allocated.  */
char *
fx_target_last (struct fx_target *target)
{
  char *last;

  pthread_mutex_lock (&fx_world.lock);
  last = g_strdup (target->last ? target->last : "");
  pthread_mutex_unlock (&fx_world.lock);
  return last;
}

/* Returns how many connections the gate closed.  */
int
fx_target_peer_closed (struct fx_target *target)
{
  int closed;

  pthread_mutex_lock (&fx_world.lock);
  closed = target->peer_closed;
  pthread_mutex_unlock (&fx_world.lock);
  return closed;
}
