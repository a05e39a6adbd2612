/* The platform's store: objects by kind and name, lists and watches.

   Options: listen=ADDRESS config=FILE, the content of the object "main" of the
   kind "config"; instances=COUNT, how many instances that are gone by now have
   registered themselves.  A POST to /objects/control/copy keeps a copy of all
   objects, and one to /objects/control/restore has the store come back from
   it, in a new era: its connections end, and what was written since is gone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "standin.h"

enum
{
  ANSWER_MS = 4,
  ADDRESSES_PER_NET = 250,
  DECIMAL_BASE = 10,
  STATUS_OK = 200,
  STATUS_NOT_FOUND = 404,
  STATUS_CONFLICT = 409
};

/* Call to the store, as its URL and body tell.  */
struct call
{
  char *method;
  char *kind;
  char *name;    /* NULL: none */
  int64_t watch; /* -1: no watch */
  int64_t wait_ms;
  int64_t revision; /* condition; -1: none */
  json_t *body;     /* may be NULL */
};

static GMutex lock;
static GCond changed;
static json_t *kinds;  /* kind to name to object */
static json_t *events; /* all changes, oldest first */
static json_int_t last_revision = 100;
static int era = 1;

/* Copy that the store may come back from.  */
static struct
{
  json_t *kinds;
  json_t *events;
  json_int_t last_revision;
} copy;

static json_t *put_object (const char *kind, const char *name, json_t *spec);
static json_t *answer_call (const struct call *call, uint32_t *status);
static json_t *list_objects (const char *kind);
static json_t *watch_objects (const struct call *call);
static json_t *events_after (const char *kind, int64_t revision);
static json_t *write_object (const struct call *call, json_t *known,
                             uint32_t *status);
static void delete_object (const struct call *call);
static void control (const char *name);
static void read_call (const struct message *request, struct call *call);
static void clear_call (struct call *call);
static int respond (int fd, const struct message *request, int era_before);
static void serve (int fd);
static void put_instances (int64_t count);

/* Sets the object NAME of KIND to SPEC.  Returns it, a new reference.  The
   caller holds the lock.  */
static json_t *
put_object (const char *kind, const char *name, json_t *spec)
{
  json_t *names = json_object_get (kinds, kind);
  json_t *object;

  if (names == NULL)
    {
      names = json_object ();
      json_object_set_new (kinds, kind, names);
    }
  last_revision++;
  object = json_pack ("{s:{s:s,s:I},s:O,s:{}}", "metadata", "name", name,
                      "revision", last_revision, "spec", spec, "status");
  json_object_set (names, name, object);
  json_array_append_new (events, json_pack ("{s:s,s:I,s:O,s:b}", "kind", kind,
                                            "at", last_revision, "object",
                                            object, "deleted", 0));
  g_cond_broadcast (&changed);
  return object;
}

static void
delete_object (const struct call *call)
{
  json_t *names = json_object_get (kinds, call->kind);
  json_t *object = json_deep_copy (json_object_get (names, call->name));

  last_revision++;
  json_object_set_new (json_object_get (object, "metadata"), "revision",
                       json_integer (last_revision));
  json_object_del (names, call->name);
  json_array_append_new (events, json_pack ("{s:s,s:I,s:o,s:b}", "kind",
                                            call->kind, "at", last_revision,
                                            "object", object, "deleted", 1));
  g_cond_broadcast (&changed);
}

static json_t *
list_objects (const char *kind)
{
  const json_t *names = json_object_get (kinds, kind);
  json_t *items = json_array ();
  const char *name;
  json_t *object;

  json_object_foreach ((json_t *)(uintptr_t)names, name, object)
      json_array_append (items, object);
  return json_pack ("{s:o,s:b,s:I}", "items", items, "has_more", 0, "at",
                    last_revision);
}

/* Returns the changes of objects of KIND after REVISION.  */
static json_t *
events_after (const char *kind, int64_t revision)
{
  json_t *found = json_array ();
  json_t *event;
  size_t i;

  json_array_foreach (
      events, i,
      event) if (json_integer_value (json_object_get (event, "at")) > revision
                 && strcmp (
                        json_string_value (json_object_get (event, "kind")),
                        kind)
                        == 0) json_array_append (found, event);
  return found;
}

/* Waits until there is a change that CALL watches for, or its time is over. */
static json_t *
watch_objects (const struct call *call)
{
  gint64 end_us = g_get_monotonic_time () + call->wait_ms * 1000;
  json_t *found = events_after (call->kind, call->watch);
  int era_before = era;

  while (json_array_size (found) == 0 && era == era_before
         && g_cond_wait_until (&changed, &lock, end_us))
    {
      json_decref (found);
      found = events_after (call->kind, call->watch);
    }
  return json_pack ("{s:o,s:I}", "events", found, "at", last_revision);
}

/* Carries out a POST or PUT, where KNOWN is the object or NULL.  */
static json_t *
write_object (const struct call *call, json_t *known, uint32_t *status)
{
  json_t *spec = json_object_get (call->body, "spec");
  json_int_t revision = json_integer_value (
      json_object_get (json_object_get (known, "metadata"), "revision"));
  int creates = strcmp (call->method, "POST") == 0;

  if (!creates && known == NULL)
    {
      *status = STATUS_NOT_FOUND;
      return json_object ();
    }
  if ((creates && known != NULL)
      || (call->revision >= 0 && call->revision != revision))
    {
      *status = STATUS_CONFLICT;
      return json_incref (known);
    }
  if (!creates && json_equal (json_object_get (known, "spec"), spec))
    return json_incref (known);
  return put_object (call->kind, call->name, spec);
}

/* Keeps a copy of all objects, or has the store come back from it.  The caller
   holds the lock.  */
static void
control (const char *name)
{
  int restores = strcmp (name, "restore") == 0;

  if (restores && copy.kinds != NULL)
    {
      kinds = json_deep_copy (copy.kinds);
      events = json_deep_copy (copy.events);
      last_revision = copy.last_revision;
      era++;
      g_cond_broadcast (&changed);
    }
  else if (!restores)
    {
      copy.kinds = json_deep_copy (kinds);
      copy.events = json_deep_copy (events);
      copy.last_revision = last_revision;
    }
}

/* Carries out CALL.  Returns the body of the response.  */
static json_t *
answer_call (const struct call *call, uint32_t *status)
{
  json_t *known = json_object_get (json_object_get (kinds, call->kind),
                                   call->name != NULL ? call->name : "");

  *status = STATUS_OK;
  if (call->name != NULL && strcmp (call->kind, "control") == 0)
    {
      control (call->name);
      return json_object ();
    }
  if (strcmp (call->method, "GET") == 0 && call->watch >= 0)
    return watch_objects (call);
  if (strcmp (call->method, "GET") == 0 && call->name == NULL)
    return list_objects (call->kind);
  if (strcmp (call->method, "POST") == 0 || strcmp (call->method, "PUT") == 0)
    return write_object (call, known, status);
  if (known == NULL)
    {
      *status = STATUS_NOT_FOUND;
      return json_object ();
    }
  json_incref (known);
  if (strcmp (call->method, "DELETE") == 0)
    delete_object (call);
  return known;
}

/* Reads REQUEST into CALL.  */
static void
read_call (const struct message *request, struct call *call)
{
  char **words = g_strsplit (request->start, " ", 3);
  char **parts = g_strsplit (words[1], "?", 2);
  char **path = g_strsplit (parts[0], "/", -1);
  char **pairs = g_strsplit (parts[1] != NULL ? parts[1] : "", "&", -1);
  const json_t *metadata;

  memset (call, 0, sizeof *call);
  call->watch = -1;
  call->revision = -1;
  call->method = g_strdup (words[0]);
  /* /objects/KIND or /objects/KIND/NAME; "control" is a kind of its own.  */
  call->kind = g_strdup (g_strv_length (path) > 2 ? path[2] : "");
  if (g_strv_length (path) > 3)
    call->name = g_uri_unescape_string (path[3], NULL);
  for (char **pair = pairs; *pair != NULL; pair++)
    if (g_str_has_prefix (*pair, "watch="))
      call->watch = g_ascii_strtoll (*pair + 6, NULL, DECIMAL_BASE);
    else if (g_str_has_prefix (*pair, "wait_ms="))
      call->wait_ms = g_ascii_strtoll (*pair + 8, NULL, DECIMAL_BASE);
    else if (g_str_has_prefix (*pair, "revision="))
      call->revision = g_ascii_strtoll (*pair + 9, NULL, DECIMAL_BASE);
  call->body = json_loadb (request->body->str, request->body->len, 0, NULL);
  metadata = json_object_get (call->body, "metadata");
  if (call->name == NULL && json_object_get (metadata, "name") != NULL)
    call->name
        = g_strdup (json_string_value (json_object_get (metadata, "name")));
  if (json_is_integer (json_object_get (metadata, "revision")))
    call->revision
        = json_integer_value (json_object_get (metadata, "revision"));
  g_strfreev (words);
  g_strfreev (parts);
  g_strfreev (path);
  g_strfreev (pairs);
}

static void
clear_call (struct call *call)
{
  g_free (call->method);
  g_free (call->kind);
  g_free (call->name);
  json_decref (call->body);
}

/* Responds to REQUEST.  Returns 0, or -1 if the connection is to end, as it
   has or as the store has come back from a copy since ERA_BEFORE.  */
static int
respond (int fd, const struct message *request, int era_before)
{
  struct call call;
  uint32_t status;
  json_t *body;
  char *text;
  char *response;
  int result = -1;
  int is_control;

  read_call (request, &call);
  is_control = strcmp (call.kind, "control") == 0;
  g_mutex_lock (&lock);
  body = answer_call (&call, &status);
  text = json_dumps (body, JSON_COMPACT);
  response = g_strdup_printf ("HTTP/1.1 %u X\r\nStore-Era: %d\r\n"
                              "Content-Type: application/json\r\n"
                              "Content-Length: %zu\r\n\r\n%s",
                              status, era, strlen (text), text);
  if (era != era_before && !is_control)
    status = 0;
  json_decref (body);
  g_mutex_unlock (&lock);
  if (status != 0)
    result = net_write (fd, response, strlen (response));
  g_free (response);
  free (text);
  clear_call (&call);
  return result;
}

/* Serves the connection FD.  */
static void
serve (int fd)
{
  GString *input = g_string_new (NULL);
  struct message request;
  int era_before;

  g_mutex_lock (&lock);
  era_before = era;
  g_mutex_unlock (&lock);
  while (net_read_message (fd, input, &request, NULL, NULL) == 0)
    {
      int result;

      util_sleep_ms (ANSWER_MS);
      result = respond (fd, &request, era_before);
      net_clear (&request);
      if (result != 0)
        break;
    }
  net_clear (&request);
  g_string_free (input, TRUE);
}

/* Adds the objects of COUNT instances that are gone.  */
static void
put_instances (int64_t count)
{
  for (int64_t i = 0; i < count; i++)
    {
      char *name = g_strdup_printf ("gone-%" G_GINT64_FORMAT, i);
      char *address = g_strdup_printf ("127.61.%d.%d:9",
                                       (int)(i / ADDRESSES_PER_NET) + 1,
                                       (int)(i % ADDRESSES_PER_NET) + 1);
      json_t *spec = json_pack ("{s:s}", "address", address);

      json_decref (put_object ("ibisloom-instances", name, spec));
      json_decref (spec);
      g_free (address);
      g_free (name);
    }
}

/* Runs the store.  */
int
store_run (void)
{
  const char *path = util_option ("config", "");
  json_error_t error;
  json_t *config = json_load_file (path, 0, &error);

  if (config == NULL)
    util_die ("%s: %s", path, error.text);
  kinds = json_object ();
  events = json_array ();
  json_decref (put_object ("config", "main", config));
  json_decref (config);
  put_instances (util_number ("instances", 0));
  net_serve (util_option ("listen", ""), serve);
  return EXIT_SUCCESS;
}
