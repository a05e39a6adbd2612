/* Scripted store: an in-memory history of objects with lists and watches. */
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include <jansson.h>

#include "libfixture.h"

/* Appends CHANGE to OUT as a JSON object of the store.  */
static void
append_object (GString *out, const struct change *change)
{
  g_string_append_printf (
      out, "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld},\"spec\":%s}",
      change->name, change->revision, change->spec ? change->spec : "null");
}

/* Returns the latest change of the object NAME of KIND, or NULL.  The lock
   must be held.  */
const struct change *
fx_store_latest_change (const char *kind, const char *name)
{
  for (guint i = fx_env.changes->len; i > 0; i--)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i - 1);

      if (strcmp (change->kind, kind) == 0 && strcmp (change->name, name) == 0)
        return change;
    }
  return NULL;
}

/* Returns the list of the objects of KIND as JSON, newly allocated.  The lock
   must be held.  */
static char *
list_json (const char *kind)
{
  GString *out = g_string_new ("{\"items\":[");
  int count = 0;

  for (guint i = 0; i < fx_env.changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i);

      if (strcmp (change->kind, kind) != 0 || change->spec == NULL
          || fx_store_latest_change (kind, change->name) != change)
        continue;
      g_string_append (out, count++ > 0 ? "," : "");
      append_object (out, change);
    }
  g_string_append_printf (out, "],\"has_more\":false,\"at\":%u}",
                          fx_env.changes->len);
  return g_string_free (out, FALSE);
}

/* Returns the changes of KIND after revision SINCE as JSON, newly allocated,
   or NULL if there are none.  The lock must be held.  */
static char *
events_json (const char *kind, long since)
{
  GString *out = g_string_new ("{\"events\":[");
  int count = 0;

  for (guint i = 0; i < fx_env.changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i);

      if (strcmp (change->kind, kind) != 0 || change->revision <= since)
        continue;
      g_string_append_printf (
          out, "%s{\"deleted\":%s,\"object\":", count++ > 0 ? "," : "",
          change->spec ? "false" : "true");
      append_object (out, change);
      g_string_append_c (out, '}');
    }
  g_string_append_printf (out, "],\"at\":%u}", fx_env.changes->len);
  if (count > 0)
    return g_string_free (out, FALSE);
  g_string_free (out, TRUE);
  return NULL;
}

/* Responds to a watch of KIND after revision SINCE, as soon as there is a
   change and at the latest after WAIT_MS; with 410 if revisions after SINCE
   are compacted.  */
static void
respond_watch (int fd, const char *kind, long since, long wait_ms)
{
  struct timespec deadline;
  char *body = NULL;

  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_sec += wait_ms / 1000;
  deadline.tv_nsec += wait_ms % 1000 * 1000000;
  if (deadline.tv_nsec >= 1000000000)
    {
      deadline.tv_nsec -= 1000000000;
      deadline.tv_sec++;
    }
  pthread_mutex_lock (&fx_env.lock);
  while (fx_env.watches_blocked)
    pthread_cond_wait (&fx_env.changed, &fx_env.lock);
  while (since >= fx_env.compacted_revision
         && (body = events_json (kind, since)) == NULL
         && pthread_cond_timedwait (&fx_env.changed, &fx_env.lock, &deadline)
                == 0)
    ;
  if (body == NULL && since >= fx_env.compacted_revision)
    body = g_strdup_printf ("{\"events\":[],\"at\":%u}", fx_env.changes->len);
  pthread_mutex_unlock (&fx_env.lock);
  if (body != NULL)
    fx_respond_json (fd, "200 OK", body);
  else
    fx_respond_json (fd, "410 Gone", g_strdup ("{}"));
}

/* Adds a revision of an object.  The lock must be held.  */
static void
add_change_locked (const char *kind, const char *name, const char *spec)
{
  struct change *change = g_new0 (struct change, 1);

  change->kind = g_strdup (kind);
  change->name = g_strdup (name);
  change->spec = g_strdup (spec);
  change->revision = (long)fx_env.changes->len + 1;
  g_ptr_array_add (fx_env.changes, change);
  pthread_cond_broadcast (&fx_env.changed);
}

/* Creates the object in the body of the POST REQUEST, of KIND.  Returns the
   status of the response.  */
static const char *
create_object (const char *request, const char *kind)
{
  json_t *body = json_loads (strstr (request, "\r\n\r\n"), 0, NULL);
  const char *name = json_string_value (
      json_object_get (json_object_get (body, "metadata"), "name"));
  char *spec = json_dumps (json_object_get (body, "spec"), JSON_COMPACT);
  const char *status = "400 Bad Request";
  const struct change *latest;

  if (name != NULL && spec != NULL)
    {
      pthread_mutex_lock (&fx_env.lock);
      latest = fx_store_latest_change (kind, name);
      status = latest != NULL && latest->spec != NULL ? "409 Conflict"
                                                      : "201 Created";
      if (latest == NULL || latest->spec == NULL)
        add_change_locked (kind, name, spec);
      pthread_mutex_unlock (&fx_env.lock);
    }
  free (spec);
  json_decref (body);
  return status;
}

/* Removes the object NAME of KIND.  Returns the status of the response.  */
static const char *
remove_object (const char *kind, const char *name)
{
  const struct change *latest;
  int exists;

  pthread_mutex_lock (&fx_env.lock);
  latest = fx_store_latest_change (kind, name);
  exists = latest != NULL && latest->spec != NULL;
  if (exists)
    add_change_locked (kind, name, NULL);
  pthread_mutex_unlock (&fx_env.lock);
  return exists ? "200 OK" : "404 Not Found";
}

/* Serves one connection to the store until it ends or the store is down.  */
static void *
serve_connection (void *closure)
{
  int fd = GPOINTER_TO_INT (closure);
  char *request;

  while ((request = fx_read_request (fd)) != NULL)
    {
      char kind[64] = "";
      char name[128] = "";
      char *watch = strstr (request, "watch=");
      char *wait = strstr (request, "wait_ms=");
      int down;

      sscanf (request, "%*s /objects/%63[^ /?]/%127[^ /?]", kind, name);
      pthread_mutex_lock (&fx_env.lock);
      down = fx_env.store_down;
      pthread_mutex_unlock (&fx_env.lock);
      if (down)
        {
          g_free (request);
          break;
        }
      if (strncmp (request, "POST", 4) == 0)
        fx_respond_json (fd, create_object (request, kind), g_strdup ("{}"));
      else if (strncmp (request, "DELETE", 6) == 0)
        fx_respond_json (fd, remove_object (kind, name), g_strdup ("{}"));
      else if (watch != NULL)
        respond_watch (fd, kind, strtol (watch + 6, NULL, 10),
                       wait ? strtol (wait + 8, NULL, 10) : 0);
      else
        {
          char *body;

          pthread_mutex_lock (&fx_env.lock);
          body = list_json (kind);
          pthread_mutex_unlock (&fx_env.lock);
          fx_respond_json (fd, "200 OK", body);
        }
      g_free (request);
    }
  shutdown (fd, SHUT_RDWR);
  return NULL;
}

/* Accepts connections to the store on the listener CLOSURE.  */
void *
fx_store_accept_connections (void *closure)
{
  int listener = GPOINTER_TO_INT (closure);
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_mutex_lock (&fx_env.lock);
      g_array_append_val (fx_env.store_fds, fd);
      pthread_mutex_unlock (&fx_env.lock);
      fx_start_thread (serve_connection, GINT_TO_POINTER (fd));
    }
  return NULL;
}

/* Stores a new revision of an object and wakes the watches.  A SPEC of NULL
   deletes the object.  */
void
fx_store_add_change (const char *kind, const char *name, const char *spec)
{
  pthread_mutex_lock (&fx_env.lock);
  add_change_locked (kind, name, spec);
  pthread_mutex_unlock (&fx_env.lock);
}

void
fx_store_put (const char *kind, const char *name, const char *spec)
{
  fx_store_add_change (kind, name, spec);
}

void
fx_store_delete (const char *kind, const char *name)
{
  fx_store_add_change (kind, name, NULL);
}

/* Discards the history: watches from an earlier revision end with 410.  */
void
fx_store_compact (void)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.compacted_revision = (long)fx_env.changes->len;
  pthread_cond_broadcast (&fx_env.changed);
  pthread_mutex_unlock (&fx_env.lock);
}

/* If BLOCKED, holds back the responses to watches; otherwise sends them
   again.  */
void
fx_store_block_watches (int blocked)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.watches_blocked = blocked;
  pthread_cond_broadcast (&fx_env.changed);
  pthread_mutex_unlock (&fx_env.lock);
}

/* If DOWN, closes all connections to the store, and each later one at its
   first request; otherwise responds to requests again.  */
void
fx_store_set_down (int down)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.store_down = down;
  for (guint i = 0; down && i < fx_env.store_fds->len; i++)
    shutdown (g_array_index (fx_env.store_fds, int, i), SHUT_RDWR);
  pthread_mutex_unlock (&fx_env.lock);
}
