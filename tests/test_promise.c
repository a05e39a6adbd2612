/* End-to-end tests of statuses that promise a client that its request was not
   run: a request that a target may have run never gets one.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 3,
  TARGETS = 12,    /* of each service, as those that err are suspended */
  FOUND_MS = 1500, /* by then, a cut has been noticed */
  STEP_MS = 20,
  SILENT_MS = 2500 /* longer than the read timeout of a read */
};

static void bare_statuses_are_not_passed_on (void);
static void other_errors_are_passed_on (void);
static void not_run_is_passed_on (void);
static void success_is_never_not_run (void);
static void silent_target_promises_nothing (void);
static void bare_statuses_are_not_passed_on_by_a_hop (void);

static const struct test_case cases[] = {
  { "a status alone does not tell a client that its request was not run",
    bare_statuses_are_not_passed_on },
  { "errors that promise nothing are passed on", other_errors_are_passed_on },
  { "a target that says so has not run the request", not_run_is_passed_on },
  { "a success that says that the request was not run is no response",
    success_is_never_not_run },
  { "a status of a target that was silent promises nothing",
    silent_target_promises_nothing },
  { "a status alone promises nothing through another instance either",
    bare_statuses_are_not_passed_on_by_a_hop },
};

TEST_MAIN ("promise", cases)

static const char *const bare_statuses[]
    = { "503 Service Unavailable", "429 Too Many Requests",
        "408 Request Timeout" };

static const char *const texts[]
    = { GET_MAP ("m"), POST_FEE ("f"), POST_PLAN ("p"), POST_RULES ("r") };

/* What targets respond: STATUS, "" for a success, and FIELD, a line of the
   head or "".  */
static const char *volatile status;
static const char *volatile field;
static gint silent_left; /* requests that get their response late */

/* Runs the request, and then responds as told.  */
static int
respond (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s\r\n%sContent-Length: 4\r\n\r\nbusy",
      *status ? status : "200 OK", id, field);

  if (g_atomic_int_add (&silent_left, -1) > 0)
    fx_sleep_ms (SILENT_MS);
  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
  return 1;
}

/* Has targets respond with NEXT_STATUS and NEXT_FIELD from now on.  */
static void
set_script (const char *next_status, const char *next_field)
{
  status = next_status;
  field = next_field;
  g_atomic_int_set (&silent_left, 0);
}

/* Adds the targets of both services.  */
static void
add_targets (void)
{
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", respond);
      id[0] = 'p';
      fx_target_add (id, "pool", respond);
      g_free (id);
    }
}

/* Starts a router and targets that respond with NEXT_STATUS and
   NEXT_FIELD.  */
static void
start (const char *next_status, const char *next_field)
{
  set_script (next_status, next_field);
  add_targets ();
  fx_env_start (shop_config);
}

/* Guards against a target's bare 503, 429 or 408 that tells a client to send
   again what has run.  */
static void
bare_statuses_are_not_passed_on (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bare_statuses); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (texts); j++)
      {
        start (bare_statuses[i], "");
        shop_expect (texts[j], "502", "Content-Length: 0");
        fx_env_stop ();
      }
}

static void
other_errors_are_passed_on (void)
{
  static const char *const others[]
      = { "500 Error", "502 Bad Gateway", "504 Timeout", "404 Not Found",
          "409 Conflict" };

  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      char *number = g_strndup (others[i], 3);

      start (others[i], "");
      shop_expect (POST_FEE ("f"), number, "busy");
      fx_env_stop ();
      g_free (number);
    }
}

static void
not_run_is_passed_on (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bare_statuses); i++)
    {
      start (bare_statuses[i], "X-Ibisloom-Not-Executed: 1\r\n");
      shop_expect (POST_FEE ("f"), "503", "Retry-After: ");
      fx_env_stop ();
    }
}

/* Guards against a success that is taken for a rejection, and sent again.  */
static void
success_is_never_not_run (void)
{
  start ("", "X-Ibisloom-Not-Executed: 1\r\n");
  shop_expect (POST_FEE ("f"), "502", "Content-Length: 0");
  shop_expect (GET_MAP ("m"), "502", "Content-Length: 0");
  fx_env_stop ();
}

/* Guards against the same by a response that comes late, beside that of
   another target which is tried meanwhile.  */
static void
silent_target_promises_nothing (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bare_statuses); i++)
    {
      start (bare_statuses[i], "");
      g_atomic_int_set (&silent_left, 2);
      shop_expect (GET_MAP ("m"), "50", "Content-Length: 0");
      fx_env_stop ();
      start (bare_statuses[i], "");
      g_atomic_int_set (&silent_left, 1);
      shop_expect (POST_FEE ("f"), "50", "Content-Length: 0");
      fx_env_stop ();
    }
}

/* Sends the request TEXT to the first router.  Returns the status.  */
static int
exchange_status (const char *text)
{
  char *response = fx_exchange (text);
  int number = 0;

  sscanf (response, "HTTP/1.1 %d", &number);
  g_free (response);
  return number;
}

/* Cuts the first router off from the targets, and has it notice that.  */
static void
cut_off (void)
{
  fx_router_set_paths (0, PROXY_CUT_RESET);
  for (int ms = 0;
       ms < FOUND_MS && fx_router_metric (0, "ibisloom_cut_off_total") < 2;
       ms += STEP_MS)
    {
      (void)exchange_status (GET_MAP ("cut"));
      (void)exchange_status (POST_RULES ("cut"));
      fx_sleep_ms (STEP_MS);
    }
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_cut_off_total"), 2);
}

/* Guards against the same by an instance that makes the attempts for one that
   is cut off from the targets.  */
static void
bare_statuses_are_not_passed_on_by_a_hop (void)
{
  set_script ("", "");
  fx_store_start (shop_config);
  fx_router_add_paths (0);
  fx_routers_start (ROUTERS);
  add_targets ();
  fx_sleep_ms (FOUND_MS);
  cut_off ();
  for (size_t i = 0; i < G_N_ELEMENTS (bare_statuses); i++)
    {
      set_script (bare_statuses[i], "");
      CU_ASSERT_EQUAL (exchange_status (POST_FEE ("f")), 502);
      CU_ASSERT_EQUAL (exchange_status (GET_MAP ("m")), 502);
    }
  fx_env_stop ();
}
