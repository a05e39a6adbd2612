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

/* A response of the store, at one moment. */
struct response
{
  const char *status;
  char *body;
  char *field; /* header field with the epoch, or empty */
};

/* Returns a response with STATUS and BODY, which it takes over.  The lock must
   be held.  */
static struct response
make_response (const char *status, char *body)
{
  return (struct response){ .status = status,
                            .body = body,
                            .field
                            = fx_env.store_epoch != NULL ? g_strdup_printf (
                                  "Store-Era: %s\r\n", fx_env.store_epoch)
                                                         : g_strdup ("") };
}

/* Sends RESPONSE, about objects of KIND, on FD and frees what it holds.  */
static void
send_response (int fd, const char *kind, struct response *response)
{
  fx_path_translate (fd, kind, response->body);
  fx_respond_json (fd, response->status, response->field, response->body);
  g_free (response->field);
}

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

/* Returns the list of the objects of KIND as JSON, newly allocated, without
   the one named AFTER, if there is one: the only one of the page before.  If
   the list is to be split, only its first object is returned.  The lock must
   be held.  */
static char *
list_json (const char *kind, const char *after)
{
  GString *out = g_string_new ("{\"items\":[");
  int is_split = g_strcmp0 (kind, fx_env.split_kind) == 0;
  int count = 0;

  for (guint i = 0; i < fx_env.changes->len && (!is_split || count == 0); i++)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i);

      if (strcmp (change->kind, kind) != 0 || change->spec == NULL
          || g_strcmp0 (change->name, after) == 0
          || fx_store_latest_change (kind, change->name) != change)
        continue;
      g_string_append (out, count++ > 0 ? "," : "");
      append_object (out, change);
    }
  g_string_append_printf (out, "],\"has_more\":%s,\"at\":%u}",
                          is_split ? "true" : "false", fx_env.changes->len);
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

/* Returns whether the history after revision SINCE is known: it is not
   compacted, and SINCE was not taken back.  The lock must be held.  */
static int
has_history (long since)
{
  return since >= fx_env.compacted_revision
         && since <= (long)fx_env.changes->len;
}

/* Responds to a watch of KIND after revision SINCE, as soon as there is a
   change and at the latest after WAIT_MS; with 410 if the history after SINCE
   is not known.  */
static void
respond_watch (int fd, const char *kind, long since, long wait_ms)
{
  struct timespec deadline;
  struct response response;
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
  while (has_history (since) && (body = events_json (kind, since)) == NULL
         && pthread_cond_timedwait (&fx_env.changed, &fx_env.lock, &deadline)
                == 0)
    ;
  if (!has_history (since))
    response = make_response ("410 Gone", g_strdup ("{}"));
  else
    response = make_response (
        "200 OK", body != NULL ? body
                               : g_strdup_printf ("{\"events\":[],\"at\":%u}",
                                                  fx_env.changes->len));
  pthread_mutex_unlock (&fx_env.lock);
  send_response (fd, kind, &response);
}

/* Frees the change CLOSURE.  */
static void
free_change (void *closure)
{
  struct change *change = closure;

  g_free (change->kind);
  g_free (change->name);
  g_free (change->spec);
  g_free (change);
}

/* Returns an empty array for changes that restorations take back, which owns
   them.  */
GPtrArray *
fx_store_make_lost (void)
{
  return g_ptr_array_new_with_free_func (free_change);
}

/* Forgets what restorations took back of the object NAME of KIND, which is
   written anew.  The lock must be held.  */
static void
forget_lost (const char *kind, const char *name)
{
  for (guint i = fx_env.lost->len; i > 0; i--)
    {
      const struct change *change = g_ptr_array_index (fx_env.lost, i - 1);

      if (strcmp (change->kind, kind) == 0 && strcmp (change->name, name) == 0)
        g_ptr_array_remove_index (fx_env.lost, i - 1);
    }
}

/* Adds a revision of an object.  The lock must be held.  */
static void
add_change_locked (const char *kind, const char *name, const char *spec)
{
  struct change *change = g_new0 (struct change, 1);

  forget_lost (kind, name);
  change->kind = g_strdup (kind);
  change->name = g_strdup (name);
  change->spec = g_strdup (spec);
  change->revision = (long)fx_env.changes->len + 1;
  g_ptr_array_add (fx_env.changes, change);
  pthread_cond_broadcast (&fx_env.changed);
}

/* Returns the object NAME of KIND as JSON, newly allocated.  The lock must be
   held.  */
static char *
object_json (const char *kind, const char *name)
{
  const struct change *latest = fx_store_latest_change (kind, name);
  GString *out = g_string_new (NULL);

  if (latest == NULL || latest->spec == NULL)
    g_string_append (out, "{}");
  else
    append_object (out, latest);
  return g_string_free (out, FALSE);
}

/* Creates the object in the body of the POST or PUT REQUEST, of KIND, or
   replaces it if IS_UPDATE.  Returns the response.  The lock must be held.  */
static struct response
write_object (const char *request, const char *kind, int is_update)
{
  json_t *body = json_loads (strstr (request, "\r\n\r\n"), 0, NULL);
  json_t *metadata = json_object_get (body, "metadata");
  const char *name = json_string_value (json_object_get (metadata, "name"));
  long revision
      = (long)json_integer_value (json_object_get (metadata, "revision"));
  char *spec = json_dumps (json_object_get (body, "spec"), JSON_COMPACT);
  const struct change *latest
      = name != NULL ? fx_store_latest_change (kind, name) : NULL;
  int exists = latest != NULL && latest->spec != NULL;
  const char *status = is_update ? "200 OK" : "201 Created";
  struct response response;

  if (name == NULL || spec == NULL)
    status = "400 Bad Request";
  else if (is_update && !exists)
    status = "404 Not Found";
  else if (is_update ? revision != 0 && revision != latest->revision : exists)
    status = "409 Conflict";
  else if (!exists || strcmp (latest->spec, spec) != 0)
    add_change_locked (kind, name, spec);
  response = make_response (status, name != NULL ? object_json (kind, name)
                                                 : g_strdup ("{}"));
  free (spec);
  json_decref (body);
  return response;
}

/* Removes the object NAME of KIND, if it has the revision that the REQUEST
   names.  Returns the status of the response.  The lock must be held.  */
static const char *
remove_object (const char *request, const char *kind, const char *name)
{
  const struct change *latest = fx_store_latest_change (kind, name);
  const char *revision = strstr (request, "?revision=");

  if (latest == NULL || latest->spec == NULL)
    return "404 Not Found";
  if (revision != NULL
      && strtol (strchr (revision, '=') + 1, NULL, 10) != latest->revision)
    return "409 Conflict";
  add_change_locked (kind, name, NULL);
  return "200 OK";
}

/* Counts REQUEST, a call for KIND.  The lock must be held.  */
static void
count_call (const char *request, const char *kind)
{
  if (strcmp (kind, "ibisloom-origins") != 0)
    return;
  if (strncmp (request, "GET", 3) == 0)
    fx_env.origin_reads++;
  else
    fx_env.origin_writes++;
}

/* Returns the response to REQUEST for a list of KIND.  Between the pages of
   one that is split, an object is deleted.  The lock must be held.  */
static struct response
respond_list (const char *request, const char *kind)
{
  char after[128] = "";
  const char *field = strstr (request, "?since_rev=");
  struct response response;

  if (field != NULL)
    sscanf (field, "?since_rev=%127[^ &]", after);
  response = make_response ("200 OK", list_json (kind, after));
  if (g_strcmp0 (kind, fx_env.split_kind) != 0)
    return response;
  fx_env.split_kind = NULL;
  add_change_locked (kind, fx_env.split_name, NULL);
  return response;
}

/* Returns the response to REQUEST, which is no watch, for the object NAME of
   KIND or for all of KIND.  */
static struct response
respond_at_once (const char *request, const char *kind, const char *name)
{
  struct response response;
  int delay_ms;

  pthread_mutex_lock (&fx_env.lock);
  delay_ms
      = g_strcmp0 (kind, fx_env.delayed_kind) == 0 ? fx_env.list_delay_ms : 0;
  pthread_mutex_unlock (&fx_env.lock);
  if (strncmp (request, "GET", 3) == 0)
    fx_sleep_ms (delay_ms);
  pthread_mutex_lock (&fx_env.lock);
  count_call (request, kind);
  if (strncmp (request, "POST", 4) == 0)
    response = write_object (request, kind, 0);
  else if (strncmp (request, "PUT", 3) == 0)
    response = write_object (request, kind, 1);
  else if (strncmp (request, "DELETE", 6) == 0)
    response
        = make_response (remove_object (request, kind, name), g_strdup ("{}"));
  else
    response = respond_list (request, kind);
  pthread_mutex_unlock (&fx_env.lock);
  return response;
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
      int is_lost;
      int late_ms;

      sscanf (request, "%*s /objects/%63[^ /?]/%127[^ /?]", kind, name);
      pthread_mutex_lock (&fx_env.lock);
      down = fx_env.store_down;
      is_lost = fx_env.lost_responses > 0 && strncmp (request, "GET", 3) != 0;
      fx_env.lost_responses -= is_lost;
      late_ms = fx_env.late_ms;
      pthread_mutex_unlock (&fx_env.lock);
      if (down)
        {
          g_free (request);
          break;
        }
      if (watch != NULL)
        respond_watch (fd, kind, strtol (watch + 6, NULL, 10),
                       wait ? strtol (wait + 8, NULL, 10) : 0);
      else
        {
          struct response response;

          if (is_lost)
            {
              shutdown (fd, SHUT_RDWR);
              fx_sleep_ms (late_ms);
            }
          response = respond_at_once (request, kind, name);
          send_response (fd, kind, &response);
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

/* Sets the value of the header field with the store's epoch to EPOCH; NULL
   leaves the field out.  */
void
fx_store_set_epoch (const char *epoch)
{
  pthread_mutex_lock (&fx_env.lock);
  g_free (fx_env.store_epoch);
  fx_env.store_epoch = g_strdup (epoch);
  pthread_mutex_unlock (&fx_env.lock);
}

/* Returns how many changes the store has had.  */
int
fx_store_revision (void)
{
  int revision;

  pthread_mutex_lock (&fx_env.lock);
  revision = (int)fx_env.changes->len;
  pthread_mutex_unlock (&fx_env.lock);
  return revision;
}

/* Restores the store from a copy of REVISION: takes the later changes back and
   counts up the epoch.  */
void
fx_store_restore (int revision)
{
  pthread_mutex_lock (&fx_env.lock);
  while ((int)fx_env.changes->len > revision)
    g_ptr_array_insert (
        fx_env.lost, 0,
        g_ptr_array_steal_index (fx_env.changes, fx_env.changes->len - 1));
  fx_env.compacted_revision
      = MIN (fx_env.compacted_revision, (long)fx_env.changes->len);
  if (fx_env.store_epoch != NULL)
    {
      long epoch = strtol (fx_env.store_epoch, NULL, 10) + 1;

      g_free (fx_env.store_epoch);
      fx_env.store_epoch = g_strdup_printf ("%ld", epoch);
    }
  pthread_cond_broadcast (&fx_env.changed);
  pthread_mutex_unlock (&fx_env.lock);
}

/* Writes anew what the operator and the targets had written and restorations
   have taken back.  */
void
fx_store_rewrite (void)
{
  GPtrArray *lost;

  pthread_mutex_lock (&fx_env.lock);
  lost = fx_env.lost;
  fx_env.lost = fx_store_make_lost ();
  for (guint i = 0; i < lost->len; i++)
    {
      const struct change *change = g_ptr_array_index (lost, i);

      if (strcmp (change->kind, "config") == 0
          || strcmp (change->kind, "servers") == 0)
        add_change_locked (change->kind, change->name, change->spec);
    }
  pthread_mutex_unlock (&fx_env.lock);
  g_ptr_array_free (lost, TRUE);
}

/* Returns how many objects of KIND the store has.  */
int
fx_store_count (const char *kind)
{
  int count = 0;

  pthread_mutex_lock (&fx_env.lock);
  for (guint i = 0; i < fx_env.changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i);

      count += strcmp (change->kind, kind) == 0 && change->spec != NULL
               && fx_store_latest_change (kind, change->name) == change;
    }
  pthread_mutex_unlock (&fx_env.lock);
  return count;
}

/* Returns the port of the store.  */
int
fx_store_port (void)
{
  return fx_env.store_port;
}

/* Returns how many calls the store has had that read the list of origins.  */
int
fx_store_origin_reads (void)
{
  int count;

  pthread_mutex_lock (&fx_env.lock);
  count = fx_env.origin_reads;
  pthread_mutex_unlock (&fx_env.lock);
  return count;
}

/* Returns how many calls the store has had that change origins.  */
int
fx_store_origin_writes (void)
{
  int count;

  pthread_mutex_lock (&fx_env.lock);
  count = fx_env.origin_writes;
  pthread_mutex_unlock (&fx_env.lock);
  return count;
}

/* Returns the content of the object NAME of KIND, newly allocated, or NULL if
   there is none.  */
char *
fx_store_get (const char *kind, const char *name)
{
  const struct change *latest;
  char *spec;

  pthread_mutex_lock (&fx_env.lock);
  latest = fx_store_latest_change (kind, name);
  spec = latest != NULL ? g_strdup (latest->spec) : NULL;
  pthread_mutex_unlock (&fx_env.lock);
  return spec;
}

/* Loses the responses to the next COUNT calls that change objects, which come
   into effect LATE_MS later.  */
void
fx_store_lose_responses (int count, int late_ms)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.lost_responses = count;
  fx_env.late_ms = late_ms;
  pthread_mutex_unlock (&fx_env.lock);
}

/* Delays the list of KIND by MS, and no other.  */
void
fx_store_delay_list (const char *kind, int ms)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.delayed_kind = kind;
  fx_env.list_delay_ms = ms;
  pthread_mutex_unlock (&fx_env.lock);
}

/* Has the next list of KIND come in two pages, between which its object NAME
   is deleted.  */
void
fx_store_split_list (const char *kind, const char *name)
{
  pthread_mutex_lock (&fx_env.lock);
  fx_env.split_kind = kind;
  fx_env.split_name = name;
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
