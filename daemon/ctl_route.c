/* Asks an instance where a request would go now, and why. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ctl_route.h"
#include "ibisloom/fetch.h"
#include "ibisloom/http.h"
#include "platform.h"

static const char standard_input[] = "/dev/stdin";

static int read_credential (const char *file, char **credential);
static char *build_url (const struct ctl_route *route);
static void append_parameter (GString *out, const char *name,
                              const char *value);
static int ask (struct fetch *fetch, const struct ctl_route *route,
                const char *url, const char *credential, json_t **json);
static void print_outcome (const json_t *json);
static void print_refusal (const json_t *refusal);
static void print_wait (const json_t *wait);
static void print_choice (const json_t *choice);
static void print_candidates (const json_t *json);
static void print_candidate (const json_t *candidate);
static void print_ages (const json_t *ages);
static void print_real (const char *label, const json_t *value);
static const char *text_of (const json_t *json, const char *key);
static long long number_of (const json_t *json, const char *key);

/* Asks the instance what ROUTE describes and prints the answer.  Returns the
   exit status.  */
int
ctl_route (struct fetch *fetch, const struct ctl_route *route)
{
  char *credential = NULL;
  json_t *json = NULL;
  int exit_status = CTL_ROUTE_USAGE;
  char *url = build_url (route);

  if (url == NULL)
    fprintf (stderr, "ibisctl: %s is not a URL; give http://HOST/PATH\n",
             route->url);
  else if (route->key_file == NULL
           || read_credential (route->key_file, &credential))
    exit_status = ask (fetch, route, url, credential, &json);
  if (json != NULL && route->as_json)
    {
      json_dumpf (json, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  else if (json != NULL)
    print_outcome (json);
  json_decref (json);
  g_free (credential);
  g_free (url);
  return exit_status;
}

/* Reads the key in FILE and stores in CREDENTIAL what a client sends with it.
   Returns 1, or 0 after an error message.  */
static int
read_credential (const char *file, char **credential)
{
  char *key = NULL;

  if (strcmp (file, "-") == 0)
    file = standard_input;
  if (!g_file_get_contents (file, &key, NULL, NULL))
    {
      fprintf (stderr, "ibisctl: cannot read %s; name a readable file\n",
               file);
      return 0;
    }
  *credential
      = g_strconcat (plat_dialect.credential_scheme, g_strchomp (key), NULL);
  g_free (key);
  return 1;
}

/* Returns the question for ROUTE, newly allocated, or NULL if its URL has no
   host.  */
static char *
build_url (const struct ctl_route *route)
{
  const char *rest = strstr (route->url, "://");
  const char *path;
  char *host;
  GString *out;

  rest = rest != NULL ? rest + strlen ("://") : route->url;
  path = strchr (rest, '/');
  host = path != NULL ? g_strndup (rest, (gsize)(path - rest))
                      : g_strdup (rest);
  if (*host == '\0')
    {
      g_free (host);
      return NULL;
    }
  out = g_string_new (NULL);
  g_string_printf (out, "http://%s/route?method=", route->server);
  g_string_append_uri_escaped (out, route->method, NULL, FALSE);
  append_parameter (out, "host", host);
  append_parameter (out, "path", path != NULL ? path : "/");
  append_parameter (out, "prompt", route->prompt);
  g_free (host);
  return g_string_free (out, FALSE);
}

/* Appends the parameter NAME to OUT, a query, unless VALUE is NULL.  */
static void
append_parameter (GString *out, const char *name, const char *value)
{
  if (value == NULL)
    return;
  g_string_append_printf (out, "&%s=", name);
  g_string_append_uri_escaped (out, value, NULL, FALSE);
}

/* Sends the question URL and stores the answer in JSON.  Returns the exit
   status, after an error message if there is no answer.  */
static int
ask (struct fetch *fetch, const struct ctl_route *route, const char *url,
     const char *credential, json_t **json)
{
  struct fetch_request request = { .method = "GET",
                                   .url = url,
                                   .credential = credential,
                                   .timeout_ms = route->timeout_ms };
  struct fetch_response response = { .body = g_string_new (NULL) };
  long status;

  fetch_perform (fetch, &request, &response);
  status = response.status;
  if (status == HTTP_STATUS_OK)
    *json = json_loadb (response.body->str, response.body->len, 0, NULL);
  g_string_free (response.body, TRUE);
  if (status == 0)
    {
      fprintf (stderr, "ibisctl: %s does not answer; try another instance\n",
               route->server);
      return CTL_ROUTE_UNREACHABLE;
    }
  if (*json == NULL)
    {
      fprintf (stderr,
               "ibisctl: %s cannot read the question (status %ld); correct "
               "the method, the URL or the prompt, or use a newer instance\n",
               route->server, status);
      return CTL_ROUTE_USAGE;
    }
  return strcmp (text_of (*json, "outcome"), "refused") == 0
             ? CTL_ROUTE_REFUSED
             : CTL_ROUTE_SENT;
}

/* Prints the answer JSON.  */
static void
print_outcome (const json_t *json)
{
  printf ("%s: route %s, service %s, customer %s", text_of (json, "outcome"),
          text_of (json, "route"), text_of (json, "service"),
          text_of (json, "customer"));
  if (json_is_integer (json_object_get (json, "priority")))
    printf (", priority %lld", number_of (json, "priority"));
  if (number_of (json, "shared_parts") > 0)
    printf (", %lld tokens in %lld shared parts",
            number_of (json, "shared_tokens"),
            number_of (json, "shared_parts"));
  printf ("\n");
  print_refusal (json_object_get (json, "refusal"));
  print_wait (json_object_get (json, "wait"));
  print_choice (json_object_get (json, "choice"));
  print_candidates (json);
  print_ages (json_object_get (json, "ages"));
}

/* Prints how the request is refused, unless REFUSAL is NULL.  */
static void
print_refusal (const json_t *refusal)
{
  if (refusal == NULL)
    return;
  printf ("refusal: %s, status %lld", text_of (refusal, "reason"),
          number_of (refusal, "status"));
  if (number_of (refusal, "retry_after_ms") > 0)
    printf (", retry after %lld to %lld ms",
            number_of (refusal, "retry_after_ms"),
            number_of (refusal, "retry_after_max_ms"));
  printf ("\n");
}

/* Prints what is known of the wait in the queue, unless WAIT is NULL.  */
static void
print_wait (const json_t *wait)
{
  if (wait != NULL)
    printf ("queue: %lld requests ahead, %lld ms expected\n",
            number_of (wait, "ahead"), number_of (wait, "expected_ms"));
}

/* Prints which target was chosen and why, unless CHOICE is NULL.  */
static void
print_choice (const json_t *choice)
{
  if (choice == NULL)
    return;
  printf ("choice: %s (%s)", text_of (choice, "target"),
          text_of (choice, "reason"));
  print_real (", mean load ", json_object_get (choice, "mean_load"));
  print_real (", limit ", json_object_get (choice, "limit"));
  if (json_is_string (json_object_get (choice, "first_holder")))
    printf (", first holder %s", text_of (choice, "first_holder"));
  if (json_is_true (json_object_get (choice, "ignored_pace")))
    printf (", paces ignored");
  printf (", reach %s\n", text_of (choice, "reach"));
}

/* Prints one line for each target of the service, if it is known.  */
static void
print_candidates (const json_t *json)
{
  const json_t *target;
  size_t i;

  if (!json_is_array (json_object_get (json, "candidates")))
    return;
  printf ("%-16s %-12s %7s %5s %-9s %6s %6s %15s %s\n", "TARGET", "DOMAIN",
          "LOAD", "SLOTS", "HEALTH", "PACE", "RATE", "BEGIN MS (AGE)",
          "STATE");
  json_array_foreach (json_object_get (json, "candidates"), i, target)
  {
    print_candidate (target);
  }
  json_array_foreach (json_object_get (json, "left_out"), i, target)
  {
    printf ("%-16s %-12s %7s %5s %-9s %6s %6s %15s left out: %s\n",
            text_of (target, "target"), text_of (target, "failure_domain"),
            "-", "-", "-", "-", "-", "-", text_of (target, "reason"));
  }
}

/* Prints one candidate as a line.  */
static void
print_candidate (const json_t *candidate)
{
  const char *closed
      = json_string_value (json_object_get (candidate, "closed_by"));
  const json_t *pace = json_object_get (candidate, "pace");
  const json_t *rate = json_object_get (candidate, "rate_tokens");

  printf ("%-16s %-12s %7.1f %5lld %-9s ", text_of (candidate, "target"),
          text_of (candidate, "failure_domain"),
          json_number_value (json_object_get (candidate, "load")),
          number_of (candidate, "slots"), text_of (candidate, "health"));
  if (json_is_number (pace))
    printf ("%6.1f ", json_number_value (pace));
  else
    printf ("%6s ", "-");
  if (json_is_number (rate))
    printf ("%6.1f ", json_number_value (rate));
  else
    printf ("%6s ", "-");
  printf ("%7.0f %7lld ",
          json_number_value (json_object_get (candidate, "begin_ms")),
          number_of (candidate, "begin_age_ms"));
  if (json_is_true (json_object_get (candidate, "chosen")))
    printf ("chosen");
  else if (closed != NULL)
    printf ("closed: %s", closed);
  else
    printf ("open");
  if (json_is_true (json_object_get (candidate, "cold")))
    printf (", cold");
  if (json_is_true (json_object_get (candidate, "warming_up")))
    printf (", warming up");
  printf ("\n");
}

/* Prints how old the inputs are.  */
static void
print_ages (const json_t *ages)
{
  printf (
      "ages: loads of others %lld ms; configuration %lld in force for "
      "%lld ms; registry %lld heard %lld ms ago\n",
      number_of (ages, "loads_ms"), number_of (ages, "configuration_version"),
      number_of (ages, "configuration_ms"),
      number_of (ages, "registry_revision"), number_of (ages, "registry_ms"));
}

/* Prints LABEL and VALUE, unless this is no number.  */
static void
print_real (const char *label, const json_t *value)
{
  if (json_is_number (value))
    printf ("%s%.1f", label, json_number_value (value));
}

/* Returns the text KEY of JSON, or "-".  */
static const char *
text_of (const json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL ? text : "-";
}

static long long
number_of (const json_t *json, const char *key)
{
  return json_integer_value (json_object_get (json, key));
}
