/* API for operators: status, configuration objects, presets, drains. */
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>
#include <sodium.h>

#include "libcontrol.h"

enum
{
  CHANGE_ID_BYTES = 8
};

static void serve_status (struct control_call *call, const char *path_suffix);
static void serve_version (struct control_call *call, const char *path_suffix);
static void serve_list (struct control_call *call, const char *path_suffix);
static void serve_object (struct control_call *call, const char *path_suffix);
static void put_object (struct control_call *call, const char *path_suffix);
static void switch_preset (struct control_call *call, const char *path_suffix);
static void drain_target (struct control_call *call, const char *path_suffix);
static void restore_target (struct control_call *call,
                            const char *path_suffix);
static void serve_operation (struct control_call *call,
                             const char *path_suffix);
static void on_lookup_done (void *closure, uint64_t tag,
                            const struct ledger_reply *reply);
static void stop_instance (struct control_call *call, const char *path_suffix);
static void set_target_leaving (struct control_call *call,
                                const char *path_suffix, int leaving);
static char *platform_name (struct control_call *call, const char *name);
static int write_object (struct control_call *call, const char *name,
                         const char *text);
static int expected_revision (struct control_call *call, const char *full_name,
                              uint64_t *expected);
static void report_conflict (struct control_call *call, const char *full_name,
                             GError *error);
static char *read_object (struct control_call *call, const char *name,
                          uint64_t *revision, GError **error);
static char *new_change_id (void);

const struct control_route control_operator_routes[]
    = { { "GET", "/operator/status", serve_status },
        { "GET", "/operator/version", serve_version },
        { "GET", "/operator/objects/", serve_object },
        { "GET", "/operator/objects", serve_list },
        { "PUT", "/operator/objects/", put_object },
        { "POST", "/operator/switch/", switch_preset },
        { "POST", "/operator/drain/", drain_target },
        { "POST", "/operator/restore/", restore_target },
        { "GET", "/operator/operation", serve_operation },
        { "POST", "/operator/stop", stop_instance },
        { NULL, NULL, NULL } };

/* Returns the state of this instance and its view of the other instances.  */
static void
serve_status (struct control_call *call, const char *path_suffix)
{
  (void)path_suffix;
  control_respond (call, MHD_HTTP_OK,
                   server_status_json (call->listener->server));
}

/* Returns a summary of the version in force at this instance.  */
static void
serve_version (struct control_call *call, const char *path_suffix)
{
  const struct server *server = call->listener->server;
  uint64_t revision = 0;
  char *text = ver_store_get (server->store, "in-force", &revision);
  json_t *preset = text != NULL ? json_loads (text, 0, NULL) : NULL;
  json_t *json = json_pack (
      "{s:b,s:I,s:s?,s:I}", "ready",
      __atomic_load_n (&server->ready, __ATOMIC_ACQUIRE), "revision",
      (json_int_t)ver_store_revision (server->store), "preset",
      json_string_value (json_object_get (preset, "preset")),
      "preset_revision", (json_int_t)revision);

  (void)path_suffix;
  control_respond (call, MHD_HTTP_OK, json_dumps (json, JSON_COMPACT));
  json_decref (json);
  json_decref (preset);
  g_free (text);
}

/* Lists the configuration objects that are in force at this instance.  */
static void
serve_list (struct control_call *call, const char *path_suffix)
{
  (void)path_suffix;
  control_respond (call, MHD_HTTP_OK,
                   ver_store_changes_since (call->listener->server->store, 0));
}

/* Returns one object as it is stored at the platform.  */
static void
serve_object (struct control_call *call, const char *path_suffix)
{
  GError *error = NULL;
  uint64_t revision = 0;
  char *text = read_object (call, path_suffix, &revision, &error);
  json_t *json;

  if (text == NULL)
    {
      control_respond_gerror (call, error);
      return;
    }
  json = json_pack ("{s:s,s:I,s:s}", "name", path_suffix, "revision",
                    (json_int_t)revision, "value", text);
  control_respond (call, MHD_HTTP_OK, json_dumps (json, JSON_COMPACT));
  json_decref (json);
  g_free (text);
}

/* Validates and writes one object.  "in-force" can only be written by a preset
   switch.  */
static void
put_object (struct control_call *call, const char *path_suffix)
{
  GError *error = NULL;

  if (strcmp (path_suffix, "in-force") == 0)
    err_set (&error, ERR_INVALID, "in-force: use a preset switch");
  else
    ver_validate (path_suffix, call->body->str, &error);
  if (error != NULL)
    control_respond_gerror (call, error);
  else
    write_object (call, path_suffix, call->body->str);
}

/* Puts the preset PATH_SUFFIX in force by one conditional write of "in-force",
   which holds its name and a copy of its settings.  */
static void
switch_preset (struct control_call *call, const char *path_suffix)
{
  const char *operator_name = control_query_argument (call, "by");
  char *name = g_strdup_printf ("presets/%s", path_suffix);
  GError *error = NULL;
  uint64_t revision;
  char *preset = read_object (call, name, &revision, &error);
  char *change_id;
  json_t *json;
  char *text;

  g_free (name);
  if (preset == NULL)
    {
      control_respond_gerror (call, error);
      return;
    }
  change_id = new_change_id ();
  json = json_pack ("{s:s,s:o,s:s,s:s}", "preset", path_suffix, "settings",
                    json_loads (preset, 0, NULL), "by",
                    operator_name ? operator_name : "unknown", "change",
                    change_id);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  g_free (change_id);
  g_free (preset);
  write_object (call, "in-force", text);
  free (text);
}

/* Drains the target PATH_SUFFIX, which has the form "SERVICE/NAME".  */
static void
drain_target (struct control_call *call, const char *path_suffix)
{
  set_target_leaving (call, path_suffix, 1);
}

/* Ends the drain of the target PATH_SUFFIX, which has the form "SERVICE/NAME".
 */
static void
restore_target (struct control_call *call, const char *path_suffix)
{
  set_target_leaving (call, path_suffix, 0);
}

/* Returns the ledger record of a customer's idempotency key at a service.  */
static void
serve_operation (struct control_call *call, const char *path_suffix)
{
  const char *customer = control_query_argument (call, "customer");
  const char *service = control_query_argument (call, "service");
  const char *key = control_query_argument (call, "key");
  struct ledger_call record = { 0 };

  (void)path_suffix;
  if (customer == NULL || service == NULL || key == NULL)
    {
      control_respond_error (call, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
                             "name customer, service and key");
      return;
    }
  ledger_derive_key (record.key, customer, service, key);
  call->suspended = 1;
  MHD_suspend_connection (call->connection);
  ledger_lookup (call->listener->server->ledger, &record, on_lookup_done,
                 call);
}

/* Responds to the call CLOSURE with the result of a ledger lookup.  */
static void
on_lookup_done (void *closure, uint64_t tag, const struct ledger_reply *reply)
{
  static const char *const states[LEDGER_VERDICT_COUNT] = {
    [LEDGER_COMPLETED] = "ran",
    [LEDGER_UNFINISHED] = "may have run",
    [LEDGER_ABSENT] = "not run",
  };
  const char *state = states[reply->verdict];
  json_t *json;

  (void)tag;
  if (state == NULL)
    {
      control_respond_error (closure, MHD_HTTP_SERVICE_UNAVAILABLE,
                             ERR_PLATFORM_DOWN, "the ledger cannot be read");
      return;
    }
  json = json_pack ("{s:s,s:i,s:s%}", "state", state, "status", reply->status,
                    "answer", reply->body ? reply->body : "",
                    reply->body ? reply->body_length : (size_t)0);
  control_respond (closure, MHD_HTTP_OK,
                   json ? json_dumps (json, JSON_COMPACT)
                        : strdup ("{\"state\":\"ran\"}"));
  json_decref (json);
}

/* Starts a graceful shutdown of this instance.  */
static void
stop_instance (struct control_call *call, const char *path_suffix)
{
  (void)path_suffix;
  server_request_stop (call->listener->server);
  control_respond (call, MHD_HTTP_ACCEPTED, strdup ("{\"stopping\":true}"));
}

/* Sets the field "leaving" of the target PATH_SUFFIX, "SERVICE/NAME", in the
   object of its service, and responds to CALL.  */
static void
set_target_leaving (struct control_call *call, const char *path_suffix,
                    int leaving)
{
  char **parts = g_strsplit (path_suffix, "/", 2);
  char *name = g_strdup_printf ("services/%s", parts[0] ? parts[0] : "");
  GError *error = NULL;
  uint64_t revision = 0;
  char *text = read_object (call, name, &revision, &error);
  json_t *json = text != NULL ? json_loads (text, 0, NULL) : NULL;
  json_t *target;
  size_t i;
  int found = 0;

  g_free (text);
  json_array_foreach (json_object_get (json, "targets"), i, target)
  {
    if (g_strcmp0 (json_string_value (json_object_get (target, "name")),
                   parts[0] ? parts[1] : NULL)
        != 0)
      continue;
    json_object_set_new (target, "leaving", json_boolean (leaving));
    found = 1;
  }
  if (error == NULL && !found)
    err_set (&error, ERR_NOT_FOUND, "target %s", path_suffix);
  if (error != NULL)
    control_respond_gerror (call, error);
  else
    {
      text = json_dumps (json, JSON_COMPACT);
      call->expected = revision;
      write_object (call, name, text);
      free (text);
    }
  json_decref (json);
  g_free (name);
  g_strfreev (parts);
}

/* Writes TEXT as object NAME if the object has the expected revision (see
   expected_revision), and responds to CALL.  Returns 0 if the write was
   accepted, else -1.  */
static int
write_object (struct control_call *call, const char *name, const char *text)
{
  struct control_listener *listener = call->listener;
  char *full_name = platform_name (call, name);
  GError *error = NULL;
  uint64_t expected = 0;
  uint64_t revision = 0;
  char *message;
  json_t *json;

  if (expected_revision (call, full_name, &expected) != 0)
    {
      g_free (full_name);
      return -1;
    }
  if (platform_put_confirmed (listener->platform, full_name, text, expected,
                              &revision, &error)
      != 0)
    {
      if (g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT))
        report_conflict (call, full_name, error);
      else
        control_respond_gerror (call, error);
      g_free (full_name);
      return -1;
    }
  json = json_pack ("{s:s,s:I}", "name", name, "revision",
                    (json_int_t)revision);
  message = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  control_respond (call, MHD_HTTP_OK, message);
  g_free (full_name);
  return 0;
}

/* Stores in EXPECTED the revision that a write of object FULL_NAME is
   conditional on: the one set in CALL, else the query parameter "expected",
   else the current one.  Returns 0, or -1 after responding to CALL with an
   error.  */
static int
expected_revision (struct control_call *call, const char *full_name,
                   uint64_t *expected)
{
  const char *argument = control_query_argument (call, "expected");
  GError *error = NULL;
  char *current;

  *expected = call->expected;
  if (call->expected > 0)
    return 0;
  if (argument != NULL)
    {
      *expected = g_ascii_strtoull (argument, NULL, 10);
      return 0;
    }
  current
      = platform_get (call->listener->platform, full_name, expected, &error);
  g_free (current);
  if (current != NULL)
    return 0;
  *expected = PLATFORM_ABSENT;
  if (g_error_matches (error, ERR_DOMAIN, ERR_NOT_FOUND))
    {
      g_error_free (error);
      return 0;
    }
  control_respond_gerror (call, error);
  return -1;
}

/* Responds to CALL that FULL_NAME was changed by another write.  If that was a
   preset switch, the message names the operator and the preset.  Frees
   ERROR.  */
static void
report_conflict (struct control_call *call, const char *full_name,
                 GError *error)
{
  uint64_t revision = 0;
  char *current
      = platform_get (call->listener->platform, full_name, &revision, NULL);
  json_t *json = current != NULL ? json_loads (current, 0, NULL) : NULL;
  const char *operator_name = json_string_value (json_object_get (json, "by"));
  const char *preset = json_string_value (json_object_get (json, "preset"));
  GError *conflict = NULL;

  if (operator_name != NULL && preset != NULL)
    err_set (&conflict, ERR_CONFLICT,
             "%s: %s put preset %s in force at revision %" G_GUINT64_FORMAT,
             full_name, operator_name, preset, (guint64)revision);
  else
    err_set (&conflict, ERR_CONFLICT,
             "%s: changed to revision %" G_GUINT64_FORMAT, full_name,
             (guint64)revision);
  g_error_free (error);
  json_decref (json);
  g_free (current);
  control_respond_gerror (call, conflict);
}

/* Returns the object NAME from the platform, newly allocated, and its
   REVISION, or NULL with ERROR set.  */
static char *
read_object (struct control_call *call, const char *name, uint64_t *revision,
             GError **error)
{
  char *full_name = platform_name (call, name);
  char *text
      = platform_get (call->listener->platform, full_name, revision, error);

  g_free (full_name);
  return text;
}

/* Returns the platform's name of the configuration object NAME, newly
   allocated.  */
static char *
platform_name (struct control_call *call, const char *name)
{
  return g_strdup_printf ("%s/config/%s",
                          call->listener->server->settings->deployment, name);
}

/* Returns a random identifier that makes the text of a write unique, newly
   allocated.  */
static char *
new_change_id (void)
{
  unsigned char bytes[CHANGE_ID_BYTES];
  char text[2 * CHANGE_ID_BYTES + 1];

  randombytes_buf (bytes, sizeof bytes);
  return g_strdup (sodium_bin2hex (text, sizeof text, bytes, sizeof bytes));
}
