/* End-to-end tests of explained routing decisions. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "shop.h"
#include "test.h"

#define KEY_FIELD "Authorization: Token key-1\r\n"
#define PROMPT "a1:400,b2:300,c3:50"
#define MAP "/route?method=GET&host=shop.example&path=/map/1"
#define PLAN "/route?method=POST&host=shop.example&path=/plan/1&prompt="
#define RESPONSE                                                              \
  "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"                          \
  "X-Ibisloom-Response-Signature: s-%s\r\nServer-Limit: 0.25\r\n"             \
  "Content-Length: 4\r\n\r\nwell"

enum
{
  TARGETS = 5,
  ROUNDS = 30,
  QUESTIONS = 20,
  HEARD_MAX_MS = 10000, /* far longer than a change in the store takes */
  HEARD_INTERVAL_MS = 20,
  SLOW_MS = 1500, /* a response, far longer than a question takes */
  HELD = 12       /* requests in progress at a target with 8 slots: a sign */
};

static void explained_target_is_reached (void);
static void refusals_are_explained (void);
static void closed_services_are_explained (void);
static void wait_is_explained (void);
static void nothing_changes (void);
static void key_is_not_shown (void);
static void command_prints_the_decision (void);

static const struct test_case cases[] = {
  { "the explained target is the one that a request then reaches",
    explained_target_is_reached },
  { "an unknown key, an unknown route and a bad question are refused",
    refusals_are_explained },
  { "evacuated, limited and leaving targets are explained",
    closed_services_are_explained },
  { "a request that would wait is explained so", wait_is_explained },
  { "an explanation changes nothing", nothing_changes },
  { "the key is neither in the answer nor in the log", key_is_not_shown },
  { "ibisctl route prints the decision", command_prints_the_decision },
};

TEST_MAIN ("route", cases)

static struct fx_target *targets[TARGETS];

/* Answers a request and names a rate that leaves no request for now.  */
static int
respond_limited (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (RESPONSE, id, id);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
  return 1;
}

/* Starts a router with TARGETS targets of SERVICE, which answer by HANDLER. */
static void
start (const char *service, fx_handler_fn handler)
{
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = fx_target_add_in (id, service, "v1", "a", handler);
      g_free (id);
    }
  fx_routers_add_settings ("evacuate_ms: 2000\n");
  fx_env_start (shop_config);
}

/* Returns the answer to PATH with FIELDS.  */
static json_t *
ask (const char *path, const char *fields)
{
  char *response = fx_router_ask (0, path, fields);
  const char *body = strstr (response, "\r\n\r\n");
  json_t *json = body != NULL ? json_loads (body, 0, NULL) : NULL;

  if (json == NULL)
    {
      printf ("no answer to %s: %.300s\n", path, response);
      CU_FAIL_FATAL ("no answer");
    }
  g_free (response);
  return json;
}

/* Returns the member KEY of the object NAME in JSON, as text.  */
static const char *
member (const json_t *json, const char *name, const char *key)
{
  const char *text = json_string_value (
      json_object_get (json_object_get (json, name), key));

  return text != NULL ? text : "";
}

/* Checks that PATH with FIELDS is explained as refused for REASON with
   STATUS.  */
static void
expect_refused (const char *path, const char *fields, const char *reason,
                int status)
{
  json_t *json = ask (path, fields);

  CU_ASSERT_STRING_EQUAL (member (json, "refusal", "reason"), reason);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (
                       json_object_get (json, "refusal"), "status")),
                   status);
  json_decref (json);
}

/* Returns how many targets in the list NAME of the answer to PATH have TEXT
   as KEY.  */
static int
count_targets (const char *path, const char *name, const char *key,
               const char *text)
{
  json_t *json = ask (path, KEY_FIELD);
  const json_t *list = json_object_get (json, name);
  int count = 0;

  for (size_t i = 0; i < json_array_size (list); i++)
    count += g_strcmp0 (json_string_value (
                            json_object_get (json_array_get (list, i), key)),
                        text)
             == 0;
  json_decref (json);
  return count;
}

/* Waits until COUNT targets are left out for REASON.  */
static void
wait_left_out (const char *reason, int count)
{
  int ms = 0;

  while (count_targets (MAP, "left_out", "reason", reason) != count
         && ms < HEARD_MAX_MS)
    {
      fx_sleep_ms (HEARD_INTERVAL_MS);
      ms += HEARD_INTERVAL_MS;
    }
  CU_ASSERT (ms < HEARD_MAX_MS);
}

/* Returns the requests of all targets so far.  */
static int
count_requests (void)
{
  int count = 0;

  for (int i = 0; i < TARGETS; i++)
    count += fx_target_request_count (targets[i]);
  return count;
}

/* Returns how often the target that is explained for PATH got the next
   request, REQUEST, in ROUNDS rounds.  REASON is the last explained one.  */
static int
count_matches (const char *path, const char *request, char **reason)
{
  int matches = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      json_t *json = ask (path, KEY_FIELD);
      int index = atoi (member (json, "choice", "target") + strlen ("t-"));
      int before = fx_target_request_count (targets[index]);

      g_free (*reason);
      *reason = g_strdup (member (json, "choice", "reason"));
      shop_expect (request, "200", "");
      matches += fx_target_request_count (targets[index]) == before + 1;
      json_decref (json);
    }
  return matches;
}

/* Guards against an explanation by other rules, or by another draw among equal
   targets, than those of requests.  */
static void
explained_target_is_reached (void)
{
  char *reason = NULL;

  start ("desk", shop_respond_ok);
  CU_ASSERT_EQUAL (count_matches (MAP, GET_MAP ("m"), &reason), ROUNDS);
  CU_ASSERT_STRING_EQUAL (reason, "least_loaded");
  fx_env_stop ();
  start ("pool", shop_stream_events);
  CU_ASSERT_EQUAL (
      count_matches (PLAN PROMPT,
                     REQUEST_HEAD ("POST", "/plan/1",
                                   "p") "X-Ibisloom-Prompt-Prefix: " PROMPT
                                        "\r\nContent-Length: 4\r\n\r\nplan",
                     &reason),
      ROUNDS);
  CU_ASSERT_STRING_EQUAL (reason, "holder");
  g_free (reason);
  fx_env_stop ();
}

/* Guards against an explanation of requests that no target would get, and
   against a question that ends the head of the request early.  */
static void
refusals_are_explained (void)
{
  static const char *const bad[]
      = { "/route?method=GET&path=/map/1",
          "/route?method=GET&host=shop.example&path=/map/1%0d%0aHost:%20x",
          "/route?method=GET%20/x&host=shop.example&path=/map/1",
          "/route?host=%zz" };

  start ("desk", shop_respond_ok);
  expect_refused (MAP, "Authorization: Token key-2\r\n", "unknown_key", 401);
  expect_refused (MAP, "", "unknown_key", 401);
  expect_refused ("/route?method=GET&host=shop.example&path=/no/1", KEY_FIELD,
                  "unknown_route", 404);
  expect_refused (PLAN PROMPT, KEY_FIELD, "no_target", 503);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *response = fx_router_ask (0, bad[i], KEY_FIELD);

      CU_ASSERT (g_str_has_prefix (response, "HTTP/1.1 400"));
      g_free (response);
    }
  fx_env_stop ();
}

/* Guards against a closed target that is explained as open or for another
   reason than a request is refused for.  */
static void
closed_services_are_explained (void)
{
  start ("desk", respond_limited);
  fx_store_put ("evacuations", "a", "{}");
  wait_left_out ("evacuated", TARGETS);
  expect_refused (MAP, KEY_FIELD, "evacuated", 503);
  shop_expect (GET_MAP ("e"), "503", "");
  fx_store_delete ("evacuations", "a");
  wait_left_out ("evacuated", 0);
  for (int i = 0; i < TARGETS; i++)
    shop_expect (GET_MAP ("l"), "200", "well");
  expect_refused (MAP, KEY_FIELD, "rates_used_up", 503);
  CU_ASSERT_EQUAL (count_targets (MAP, "candidates", "closed_by", "rate"),
                   TARGETS);
  shop_expect (GET_MAP ("l"), "503", "");
  fx_target_set_state (targets[0], "draining");
  wait_left_out ("leaving", 1);
  fx_env_stop ();
}

/* Answers a request after SLOW_MS.  */
static int
respond_slowly (const struct fx_request *request)
{
  fx_sleep_ms (SLOW_MS);
  return shop_respond_ok (request);
}

/* Returns whether the only target has got all HELD requests.  */
static int
all_are_held (void)
{
  return fx_target_request_count (targets[0]) == HELD;
}

/* Guards against a full service that is explained as open or as refused,
   though its requests would wait, and against a question that joins the queue.
 */
static void
wait_is_explained (void)
{
  int fds[HELD];
  json_t *json;
  char *metrics;

  targets[0] = fx_target_add ("t-0", "desk", respond_slowly);
  fx_routers_add_settings ("admission_queue: 1\n");
  fx_env_start (shop_config);
  for (int i = 0; i < HELD; i++)
    {
      fds[i] = fx_connect ();
      fx_send (fds[i], GET_MAP ("h"));
    }
  CU_ASSERT (fx_wait_until (all_are_held));
  json = ask (MAP, KEY_FIELD);
  CU_ASSERT_STRING_EQUAL (
      json_string_value (json_object_get (json, "outcome")), "queued");
  CU_ASSERT (json_integer_value (json_object_get (
                 json_object_get (json, "wait"), "expected_ms"))
             > 0);
  CU_ASSERT_STRING_EQUAL (member (json, "choice", "reason"), "full");
  CU_ASSERT_EQUAL (count_targets (MAP, "candidates", "closed_by", "room"), 1);
  metrics = fx_get_metrics ();
  CU_ASSERT_PTR_NULL (strstr (metrics, "ibisloom_queue_waiting{"));
  for (int i = 0; i < HELD; i++)
    g_free (fx_read_all (fds[i]));
  g_free (metrics);
  json_decref (json);
  fx_env_stop ();
}

/* Returns the metrics of requests, attempts and placements.  */
static char *
read_counters (void)
{
  char *text = fx_get_metrics ();
  char **lines = g_strsplit (text, "\n", -1);
  GString *out = g_string_new (NULL);

  for (char **line = lines; *line != NULL; line++)
    if (strstr (*line, "requests") != NULL || strstr (*line, "tries") != NULL
        || strstr (*line, "plac") != NULL || strstr (*line, "denied") != NULL
        || strstr (*line, "refused") != NULL)
      g_string_append_printf (out, "%s\n", *line);
  g_strfreev (lines);
  g_free (text);
  return g_string_free (out, FALSE);
}

/* Guards against an explanation that a target, a counter or the table of
   holders takes for a request.  */
static void
nothing_changes (void)
{
  char *before;
  char *after;

  start ("pool", shop_stream_events);
  before = read_counters ();
  CU_ASSERT_PTR_NOT_NULL (strstr (before, "tries"));
  CU_ASSERT_PTR_NOT_NULL (strstr (before, "plac"));
  for (int i = 0; i < QUESTIONS; i++)
    {
      json_t *json = ask (PLAN PROMPT, KEY_FIELD);

      CU_ASSERT_STRING_EQUAL (member (json, "choice", "reason"), "home");
      json_decref (json);
    }
  after = read_counters ();
  CU_ASSERT_STRING_EQUAL (before, after);
  CU_ASSERT_EQUAL (count_requests (), 0);
  g_free (before);
  g_free (after);
  fx_env_stop ();
}

/* Guards against a key in an answer or a log line, which operators pass on. */
static void
key_is_not_shown (void)
{
  static const char *const keys[] = { "key-1", "key-unknown" };
  char *log = NULL;
  char *text = NULL;
  int fd = g_file_open_tmp ("route-XXXXXX", &log, NULL);

  close (fd);
  targets[0] = fx_target_add ("t-0", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  fx_router_spawn (0, log);
  CU_ASSERT (fx_wait_until (fx_is_ready));
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      char *field = g_strdup_printf ("Authorization: Token %s\r\n", keys[i]);
      char *answer = fx_router_ask (0, MAP, field);

      CU_ASSERT_PTR_NOT_NULL (strstr (answer, "\"outcome\""));
      CU_ASSERT_PTR_NULL (strstr (answer, keys[i]));
      g_free (answer);
      g_free (field);
    }
  fx_terminate ();
  CU_ASSERT (g_file_get_contents (log, &text, NULL, NULL));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "stopped"));
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_PTR_NULL (strstr (text, keys[i]));
  unlink (log);
  g_free (text);
  g_free (log);
  fx_env_stop ();
}

/* Guards against a command that sends the question or the key otherwise than
   the instance reads them.  */
static void
command_prints_the_decision (void)
{
  char *self = g_file_read_link ("/proc/self/exe", NULL);
  char *tests = g_path_get_dirname (self);
  char *line;
  char *out = NULL;
  int status = -1;

  start ("pool", shop_stream_events);
  line = g_strdup_printf (
      "sh -c \"echo key-1 | %s/../ibisctl -s 127.0.0.1:%d -k - -p " PROMPT
      " route POST 'http://shop.example/plan/1'\"",
      tests, fx_router_operator_port (0));
  CU_ASSERT (g_spawn_command_line_sync (line, &out, NULL, &status, NULL));
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (out, "sent: route plan, service pool, customer lodge"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out, "chosen"));
  g_free (out);
  g_free (line);
  g_free (tests);
  g_free (self);
  fx_env_stop ();
}
