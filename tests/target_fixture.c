/* Scripted targets. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "libfixture.h"

enum
{
  SLOTS = 8
};

/* A connection to a target. */
struct connection
{
  struct fx_target *target;
  int fd;
};

static void *
serve_connection (void *closure)
{
  struct connection *connection = closure;
  struct fx_target *target = connection->target;
  struct fx_request request = { .target = target, .fd = connection->fd };
  int keep_alive = 1;

  while (keep_alive
         && (request.text = fx_read_request (connection->fd)) != NULL)
    {
      pthread_mutex_lock (&fx_env.lock);
      request.number = ++target->requests;
      g_free (target->last_request);
      target->last_request = g_strdup (request.text);
      pthread_mutex_unlock (&fx_env.lock);
      keep_alive = target->handler (&request);
      g_free (request.text);
    }
  pthread_mutex_lock (&fx_env.lock);
  target->closed_by_router += keep_alive && !target->crashed;
  for (guint i = 0; i < target->fds->len; i++)
    if (g_array_index (target->fds, int, i) == connection->fd)
      g_array_remove_index_fast (target->fds, i--);
  pthread_mutex_unlock (&fx_env.lock);
  close (connection->fd);
  g_free (connection);
  return NULL;
}

/* Accepts connections to a target, each served by a thread.  */
static void *
accept_connections (void *closure)
{
  struct fx_target *target = closure;
  int fd;

  while ((fd = accept (target->listener, NULL, NULL)) >= 0)
    {
      struct connection *connection = g_new0 (struct connection, 1);

      connection->target = target;
      connection->fd = fd;
      pthread_mutex_lock (&fx_env.lock);
      g_array_append_val (target->fds, fd);
      if (target->crashed)
        shutdown (fd, SHUT_RDWR);
      pthread_mutex_unlock (&fx_env.lock);
      fx_start_thread (serve_connection, connection);
    }
  return NULL;
}

/* Writes the entry of TARGET, with its port and state, to the store.  MEMBERS,
   JSON that begins with a comma or is empty, follows the entry's own.  */
void
fx_target_put_entry (struct fx_target *target, const char *members)
{
  GString *spec = g_string_new (NULL);

  g_string_printf (
      spec,
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
      "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"sequence\":%d",
      target->service, target->port, target->zone, target->slots,
      target->state, ++target->reports);
  if (target->version != NULL)
    g_string_append_printf (spec, ",\"version\":\"%s\"", target->version);
  if (target->born_ms != 0)
    g_string_append_printf (spec, ",\"born\":%" G_GINT64_FORMAT,
                            target->born_ms);
  g_string_append_printf (spec, "%s}", members);
  fx_store_add_change ("servers", target->id, spec->str);
  g_string_free (spec, TRUE);
}

/* Starts a target whose responses HANDLER writes, and writes its entry to the
   store.  Returns the target, which lasts until the process ends.  */
struct fx_target *
fx_target_add (const char *id, const char *service, fx_handler_fn handler)
{
  return fx_target_add_version (id, service, "v1", handler);
}

/* The same, for a target of VERSION.  */
struct fx_target *
fx_target_add_version (const char *id, const char *service,
                       const char *version, fx_handler_fn handler)
{
  return fx_target_add_in (id, service, version, "a", handler);
}

/* The same, for a target in the failure domain ZONE.  */
struct fx_target *
fx_target_add_in (const char *id, const char *service, const char *version,
                  const char *zone, fx_handler_fn handler)
{
  struct fx_target *target = g_new0 (struct fx_target, 1);

  target->id = g_strdup (id);
  target->service = g_strdup (service);
  target->state = g_strdup ("ready");
  target->version = g_strdup (version);
  target->zone = zone;
  target->slots = SLOTS;
  target->handler = handler;
  target->fds = g_array_new (FALSE, FALSE, sizeof (int));
  target->listener = fx_listen (&target->port);
  g_ptr_array_add (fx_env.targets, target);
  fx_start_thread (accept_connections, target);
  fx_paths_add_target (target);
  fx_target_put_entry (target, "");
  return target;
}

void
fx_target_set_state (struct fx_target *target, const char *state)
{
  g_free (target->state);
  target->state = g_strdup (state);
  fx_target_put_entry (target, "");
}

/* Has the process of TARGET started again now, of which no entry tells yet.
 */
void
fx_target_start_again (struct fx_target *target)
{
  target->born_ms = g_get_real_time () / 1000;
}

/* Writes an entry by which the process of TARGET has VERSION of its software,
   or with an entry that names none if it is NULL.  */
void
fx_target_set_version (struct fx_target *target, const char *version)
{
  g_free (target->version);
  target->version = g_strdup (version);
  fx_target_put_entry (target, "");
}

/* Writes an entry by which the process of TARGET has started again, with
   VERSION.  */
void
fx_target_restart (struct fx_target *target, const char *version)
{
  fx_target_start_again (target);
  fx_target_set_version (target, version);
}

void
fx_target_remove (struct fx_target *target)
{
  fx_store_delete ("servers", target->id);
}

/* Ends TARGET without notice: its connections are closed, and new ones are
   refused.  Its entry stays in the store.  Returns 0 if it had crashed
   before.  */
int
fx_target_crash (struct fx_target *target)
{
  int is_first;

  pthread_mutex_lock (&fx_env.lock);
  is_first = !target->crashed;
  target->crashed = 1;
  if (is_first)
    shutdown (target->listener, SHUT_RDWR);
  for (guint i = 0; i < target->fds->len; i++)
    {
      int fd = g_array_index (target->fds, int, i);

      fx_reset_on_close (fd);
      shutdown (fd, SHUT_RDWR);
    }
  pthread_mutex_unlock (&fx_env.lock);
  return is_first;
}

/* Has TARGET, which has crashed, accept connections again at its port.  */
void
fx_target_recover (struct fx_target *target)
{
  pthread_mutex_lock (&fx_env.lock);
  close (target->listener);
  target->listener = fx_listen_again (target->port);
  target->crashed = 0;
  pthread_mutex_unlock (&fx_env.lock);
  fx_start_thread (accept_connections, target);
}

/* Has TARGET write nothing for MS milliseconds, and then go on.  It accepts
   connections and reads meanwhile.  */
void
fx_target_fall_silent (struct fx_target *target, int ms)
{
  pthread_mutex_lock (&fx_env.lock);
  target->silent_until_us = g_get_monotonic_time () + (gint64)ms * 1000;
  pthread_mutex_unlock (&fx_env.lock);
}

/* Waits until TARGET is not silent.  Handlers call it before they write.  */
void
fx_target_wait_until_heard (struct fx_target *target)
{
  gint64 silent_until_us;

  do
    {
      pthread_mutex_lock (&fx_env.lock);
      silent_until_us = target->silent_until_us;
      pthread_mutex_unlock (&fx_env.lock);
      if (g_get_monotonic_time () < silent_until_us)
        fx_sleep_ms (1);
    }
  while (g_get_monotonic_time () < silent_until_us);
}

/* Starts a proxy to TARGET, and writes the proxy's port to its entry.  */
struct proxy *
fx_target_add_proxy (struct fx_target *target)
{
  struct proxy *proxy = proxy_start (target->port);

  target->port = proxy_port (proxy);
  fx_target_put_entry (target, "");
  return proxy;
}

int
fx_target_port (const struct fx_target *target)
{
  return target->port;
}

int
fx_target_request_count (struct fx_target *target)
{
  int requests;

  pthread_mutex_lock (&fx_env.lock);
  requests = target->requests;
  pthread_mutex_unlock (&fx_env.lock);
  return requests;
}

/* Returns the last request that TARGET received, newly allocated.  */
char *
fx_target_last_request (struct fx_target *target)
{
  char *last_request;

  pthread_mutex_lock (&fx_env.lock);
  last_request = g_strdup (target->last_request ? target->last_request : "");
  pthread_mutex_unlock (&fx_env.lock);
  return last_request;
}

/* Returns how many connections to TARGET routers have closed.  */
int
fx_target_closed_by_router (struct fx_target *target)
{
  int closed;

  pthread_mutex_lock (&fx_env.lock);
  closed = target->closed_by_router;
  pthread_mutex_unlock (&fx_env.lock);
  return closed;
}
