/* ibisctl: operates a router fleet. */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "ctl_log.h"
#include "ctl_route.h"
#include "ctl_status.h"
#include "ibisloom/error.h"
#include "ibisloom/fetch.h"
#include "ibisloom/settings.h"

enum
{
  EXIT_REFUSED = 1,
  EXIT_UNREACHABLE = 2,
  EXIT_USAGE = 64,
  TIMEOUT_MS = 5000,
  WORDS_MAX = 6,
  SERVERS_MAX = 64,
  HTTP_ERROR_MIN = 300,
  ROUTE_ARGUMENTS = 2
};

struct session
{
  struct fetch *fetch;
  const char *servers[SERVERS_MAX];
  int server_count;
  const char *token_file;
  const char *expected_revision;
  const char *switched_by;
  const char *key_file;
  const char *prompt;
  char *token;
  int json;
  char *words[WORDS_MAX];
  int word_count;
};

typedef int (*command_handler) (struct session *session);

static error_t parse_option (int key, char *value, struct argp_state *state);
static int needs_token (const char *name);
static int is_log_command (const char *name);
static int route (struct session *session);
static int explain (struct session *session);
static int summary (struct session *session);
static int audit (struct session *session);
static int presets_list (struct session *session);
static int presets_show (struct session *session);
static int presets_put (struct session *session);
static int presets_switch (struct session *session);
static int config_list (struct session *session);
static int config_show (struct session *session);
static int config_put (struct session *session);
static int status (struct session *session);
static int drain_target (struct session *session);
static int restore_target (struct session *session);
static int drain_instance (struct session *session);
static int operation_show (struct session *session);
static int list_objects (struct session *session, const char *prefix);
static int show_object (struct session *session, const char *name);
static int put_object (struct session *session, const char *name,
                       const char *file);
static int request_change (struct session *session, const char *method,
                           char *path, const char *body);
static json_t *call_server (struct session *session, const char *server,
                            const char *method, const char *path,
                            const char *body, int *exit_status);
static int print_json (struct session *session, json_t *json, int exit_status);

const char *argp_program_version = "ibisctl 0.1";

static const struct argp_option options[]
    = { { "server", 's', "IP:PORT", 0,
          "operators' address of an instance; may be repeated for status", 0 },
        { "token-file", 't', "FILE", 0, "file with the operators' token", 0 },
        { "json", 'j', NULL, 0, "print JSON instead of tables", 0 },
        { "expected", 'e', "REVISION", 0,
          "write only if the object has this revision (0: does not exist)",
          0 },
        { "by", 'b', "NAME", 0, "name to record for a preset switch", 0 },
        { "key-file", 'k', "FILE", 0,
          "file with the client's API key, for route; -: standard input", 0 },
        { "prompt", 'p', "PARTS", 0, "prompt parts, for route", 0 },
        { 0 } };

static const struct argp argument_parser
    = { options,
        parse_option,
        "COMMAND",
        "Operates an ibisloom router fleet.\v"
        "Commands:\n"
        "  presets list | show NAME | put NAME FILE | switch NAME\n"
        "  config list | show NAME | put NAME FILE\n"
        "  status\n"
        "  drain target SERVICE/NAME | drain instance\n"
        "  restore target SERVICE/NAME\n"
        "  operation show CUSTOMER SERVICE KEY\n"
        "  route METHOD URL\n"
        "  explain REQUEST-ID < LOG\n"
        "  summary < LOG\n"
        "  audit < LOG\n\n"
        "Exit status: 0 done, 1 refused, 2 no instance answered, 64 wrong "
        "command line.",
        NULL,
        NULL,
        NULL };

static const struct
{
  const char *first;
  const char *second; /* NULL: the command is one word */
  int arguments;
  command_handler run;
} commands[] = {
  { "presets", "list", 0, presets_list },
  { "presets", "show", 1, presets_show },
  { "presets", "put", 2, presets_put },
  { "presets", "switch", 1, presets_switch },
  { "config", "list", 0, config_list },
  { "config", "show", 1, config_show },
  { "config", "put", 2, config_put },
  { "status", NULL, 0, status },
  { "drain", "target", 1, drain_target },
  { "drain", "instance", 0, drain_instance },
  { "restore", "target", 1, restore_target },
  { "operation", "show", 3, operation_show },
};

/* Command that needs no token. */
static const char route_command[] = "route";

/* Commands that read logs and need no instance. */
static const struct
{
  const char *name;
  int arguments;
  command_handler run;
} log_commands[] = {
  { "explain", 1, explain },
  { "summary", 0, summary },
  { "audit", 0, audit },
};

/* Runs the command given in the arguments.  */
int
main (int argc, char **argv)
{
  struct session session = { .switched_by = g_get_user_name () };
  GError *error = NULL;

  argp_parse (&argument_parser, argc, argv, 0, NULL, &session);
  for (size_t i = 0; i < G_N_ELEMENTS (log_commands); i++)
    if (strcmp (session.words[0], log_commands[i].name) == 0
        && session.word_count == 1 + log_commands[i].arguments)
      return log_commands[i].run (&session);
  curl_global_init (CURL_GLOBAL_ALL);
  session.fetch = fetch_new ();
  if (strcmp (session.words[0], route_command) == 0
      && session.word_count == 1 + ROUTE_ARGUMENTS)
    return route (&session);
  if (needs_token (session.words[0]))
    session.token = settings_read_secret (session.token_file, &error);
  if (error != NULL)
    {
      fprintf (stderr, "ibisctl: %s\n", error->message);
      return EXIT_USAGE;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      int words = commands[i].second != NULL ? 2 : 1;

      if (strcmp (session.words[0], commands[i].first) == 0
          && (words == 1
              || g_strcmp0 (session.words[1], commands[i].second) == 0)
          && session.word_count == words + commands[i].arguments)
        return commands[i].run (&session);
    }
  fprintf (stderr, "ibisctl: no such command; see ibisctl --help\n");
  return EXIT_USAGE;
}

/* Returns whether the command NAME needs the operators' token.  */
static int
needs_token (const char *name)
{
  return strcmp (name, route_command) != 0 && !is_log_command (name);
}

/* Returns whether the command NAME reads logs.  */
static int
is_log_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (log_commands); i++)
    if (strcmp (name, log_commands[i].name) == 0)
      return 1;
  return 0;
}

/* Parses one option or argument for argp.  */
static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct session *session = state->input;
  const char **destinations[] = { ['t'] = &session->token_file,
                                  ['e'] = &session->expected_revision,
                                  ['b'] = &session->switched_by,
                                  ['k'] = &session->key_file,
                                  ['p'] = &session->prompt };

  if (key == 's' && session->server_count < SERVERS_MAX)
    session->servers[session->server_count++] = value;
  else if (key == 'j')
    session->json = 1;
  else if (key == 't' || key == 'e' || key == 'b' || key == 'k' || key == 'p')
    *destinations[key] = value;
  else if (key == ARGP_KEY_ARG && session->word_count < WORDS_MAX)
    session->words[session->word_count++] = value;
  else if (key == ARGP_KEY_END
           && (session->word_count == 0
               || (!is_log_command (session->words[0])
                   && session->server_count == 0)
               || (needs_token (session->words[0])
                   && session->token_file == NULL)))
    argp_error (state, "give --server, --token-file and a command");
  else if (key != ARGP_KEY_END)
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Command: explain REQUEST-ID.  */
static int
explain (struct session *session)
{
  return ctl_explain (stdin, session->words[1], session->json);
}

/* Command: summary.  */
static int
summary (struct session *session)
{
  return ctl_summary (stdin, session->json);
}

/* Command: audit.  */
static int
audit (struct session *session)
{
  return ctl_audit (stdin, session->json);
}

/* Command: route METHOD URL.  */
static int
route (struct session *session)
{
  const struct ctl_route question = { .server = session->servers[0],
                                      .method = session->words[1],
                                      .url = session->words[2],
                                      .key_file = session->key_file,
                                      .prompt = session->prompt,
                                      .timeout_ms = TIMEOUT_MS,
                                      .as_json = session->json };
  int exit_status = ctl_route (session->fetch, &question);

  fetch_free (session->fetch);
  curl_global_cleanup ();
  return exit_status;
}

/* Command: presets list.  */
static int
presets_list (struct session *session)
{
  return list_objects (session, "presets/");
}

/* Command: presets show NAME.  */
static int
presets_show (struct session *session)
{
  char *name = g_strdup_printf ("presets/%s", session->words[2]);

  return show_object (session, name);
}

/* Command: presets put NAME FILE.  */
static int
presets_put (struct session *session)
{
  char *name = g_strdup_printf ("presets/%s", session->words[2]);

  return put_object (session, name, session->words[3]);
}

/* Command: presets switch NAME.  */
static int
presets_switch (struct session *session)
{
  char *switched_by = g_uri_escape_string (session->switched_by, NULL, FALSE);
  char *path = g_strdup_printf ("/operator/switch/%s?by=%s", session->words[2],
                                switched_by);

  g_free (switched_by);
  return request_change (session, "POST", path, "");
}

/* Command: config list.  */
static int
config_list (struct session *session)
{
  return list_objects (session, "");
}

/* Command: config show NAME.  */
static int
config_show (struct session *session)
{
  return show_object (session, session->words[2]);
}

/* Command: config put NAME FILE.  */
static int
config_put (struct session *session)
{
  return put_object (session, session->words[2], session->words[3]);
}

/* Command: drain target SERVICE/NAME.  */
static int
drain_target (struct session *session)
{
  return request_change (
      session, "POST",
      g_strdup_printf ("/operator/drain/%s?", session->words[2]), "");
}

/* Command: restore target SERVICE/NAME.  */
static int
restore_target (struct session *session)
{
  return request_change (
      session, "POST",
      g_strdup_printf ("/operator/restore/%s?", session->words[2]), "");
}

/* Command: drain instance.  */
static int
drain_instance (struct session *session)
{
  return request_change (session, "POST", g_strdup ("/operator/stop?"), "");
}

/* Command: operation show CUSTOMER SERVICE KEY.  */
static int
operation_show (struct session *session)
{
  char *key = g_uri_escape_string (session->words[4], NULL, FALSE);
  char *path
      = g_strdup_printf ("/operator/operation?customer=%s&service=%s&key=%s",
                         session->words[2], session->words[3], key);
  int exit_status;
  json_t *json = call_server (session, session->servers[0], "GET", path, NULL,
                              &exit_status);

  return print_json (session, json, exit_status);
}

/* Command: status.  Prints each server given, then targets and counters of the
   first one that responds.  */
static int
status (struct session *session)
{
  int exit_status = EXIT_SUCCESS;
  json_t *first = NULL;
  json_t *all = json_array ();

  if (!session->json)
    printf ("%-22s %-14s %-9s %9s %-12s %5s %s\n", "SERVER", "INSTANCE",
            "STATE", "REVISION", "PRESET", "OPEN", "HEARS");
  for (int i = 0; i < session->server_count; i++)
    {
      int instance_status;
      json_t *json = call_server (session, session->servers[i], "GET",
                                  "/operator/status", NULL, &instance_status);

      if (instance_status != EXIT_SUCCESS)
        {
          if (!session->json)
            printf ("%-22s no response\n", session->servers[i]);
          exit_status = instance_status;
          continue;
        }
      json_array_append_new (all, json);
      first = first ? first : json;
      if (!session->json)
        ctl_print_instance (session->servers[i], json);
    }
  if (session->json)
    return print_json (session, all, exit_status);
  if (first != NULL)
    {
      ctl_print_targets (first);
      ctl_print_counters (first);
    }
  json_decref (all);
  return exit_status;
}

/* Prints the names of the configuration objects that start with PREFIX.  */
static int
list_objects (struct session *session, const char *prefix)
{
  int exit_status;
  json_t *json = call_server (session, session->servers[0], "GET",
                              "/operator/objects", NULL, &exit_status);
  json_t *item;
  size_t i;

  if (session->json || exit_status != EXIT_SUCCESS)
    return print_json (session, json, exit_status);
  printf ("%9s %s\n", "REVISION", "NAME");
  json_array_foreach (json_object_get (json, "objects"), i, item)
  {
    const char *name = json_string_value (json_object_get (item, "name"));

    if (name != NULL && g_str_has_prefix (name, prefix))
      printf (
          "%9lld %s\n",
          (long long)json_integer_value (json_object_get (item, "revision")),
          name);
  }
  json_decref (json);
  return EXIT_SUCCESS;
}

/* Prints the configuration object NAME.  */
static int
show_object (struct session *session, const char *name)
{
  char *path = g_strdup_printf ("/operator/objects/%s", name);
  int exit_status;
  json_t *json = call_server (session, session->servers[0], "GET", path, NULL,
                              &exit_status);

  g_free (path);
  if (session->json || exit_status != EXIT_SUCCESS)
    return print_json (session, json, exit_status);
  printf ("revision %lld\n%s\n",
          (long long)json_integer_value (json_object_get (json, "revision")),
          json_string_value (json_object_get (json, "value")));
  json_decref (json);
  return EXIT_SUCCESS;
}

/* Writes the contents of FILE to object NAME.  */
static int
put_object (struct session *session, const char *name, const char *file)
{
  char *text = NULL;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    {
      fprintf (stderr, "ibisctl: cannot read %s; name a readable file\n",
               file);
      return EXIT_USAGE;
    }
  return request_change (
      session, "PUT", g_strdup_printf ("/operator/objects/%s?", name), text);
}

/* Sends a change with METHOD and BODY to PATH, which ends in a query string
   and is freed.  The change is conditional on the expected revision, if given.
 */
static int
request_change (struct session *session, const char *method, char *path,
                const char *body)
{
  char *full_path = session->expected_revision ? g_strdup_printf (
                        "%s&expected=%s", path, session->expected_revision)
                                               : g_strdup (path);
  int exit_status;
  json_t *json = call_server (session, session->servers[0], method, full_path,
                              body, &exit_status);

  g_free (path);
  g_free (full_path);
  return print_json (session, json, exit_status);
}

/* Sends a request to SERVER.  Returns the response and sets EXIT_STATUS;
   prints an error message if the request fails.  */
static json_t *
call_server (struct session *session, const char *server, const char *method,
             const char *path, const char *body, int *exit_status)
{
  char *url = g_strdup_printf ("http://%s%s", server, path);
  struct fetch_request request = { .method = method,
                                   .url = url,
                                   .body = body,
                                   .bearer = session->token,
                                   .timeout_ms = TIMEOUT_MS };
  struct fetch_response response = { .body = g_string_new (NULL) };
  json_t *json;
  const char *message;

  fetch_perform (session->fetch, &request, &response);
  json = json_loads (response.body->str, 0, NULL);
  *exit_status = EXIT_SUCCESS;
  if (response.status == 0)
    {
      fprintf (stderr, "ibisctl: %s does not answer; try another instance\n",
               server);
      *exit_status = EXIT_UNREACHABLE;
    }
  else if (response.status >= HTTP_ERROR_MIN)
    {
      message = json_string_value (
          json_object_get (json_object_get (json, "error"), "message"));
      fprintf (stderr, "ibisctl: %s\n", message ? message : "refused");
      *exit_status = EXIT_REFUSED;
    }
  g_string_free (response.body, TRUE);
  g_free (url);
  return json;
}

/* Prints JSON, as a table unless JSON output was requested, and returns
   EXIT_STATUS.  Prints no table if the request failed.  */
static int
print_json (struct session *session, json_t *json, int exit_status)
{
  const char *key;
  json_t *value;

  if (exit_status != EXIT_SUCCESS && !session->json)
    return exit_status;
  if (session->json)
    {
      json_dumpf (json, stdout, JSON_INDENT (2) | JSON_ENCODE_ANY);
      putchar ('\n');
      return exit_status;
    }
  json_object_foreach (json, key, value)
  {
    char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);

    printf ("%-10s %s\n", key,
            json_is_string (value) ? json_string_value (value) : text);
    free (text);
  }
  return exit_status;
}
