/* End-to-end tests of a fleet with evacuated failure domains. */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 9,           /* three in each failure domain, two of them watch */
  WATCH_START_MS = 3000, /* until the watchers are elected and settled */
  EVACUATE_MS = 2000,    /* evacuate_ms of the routers */
  REQUESTS = 4,          /* to each router */
  REFUSED_MS = 200,      /* within which a refusal arrives */
  LIST_DELAY_MS = 500,   /* longer than a start takes otherwise */
  DOMAINS_MAX = 256,     /* that can be evacuated */
  EVENTS = 25,
  EVENT_MS = 100
};

static void evacuated_domain_gets_no_requests (void);
static void starting_router_knows_of_it (void);
static void all_evacuated_is_refused_at_once (void);
static void stream_goes_on (void);
static void routers_without_the_store_hear_of_it (void);
static void restored_store_keeps_it (void);
static void left_out_one_comes_into_force (void);

static const struct test_case cases[] = {
  { "an evacuated domain gets no requests, and then gets them again",
    evacuated_domain_gets_no_requests },
  { "a router that starts knows of an evacuation, with and without the store",
    starting_router_knows_of_it },
  { "requests are refused at once if all domains are evacuated",
    all_evacuated_is_refused_at_once },
  { "a stream that runs in an evacuated domain goes on", stream_goes_on },
  { "routers that do not reach the store hear of an evacuation",
    routers_without_the_store_hear_of_it },
  { "an evacuation that a restored store has lost stays, and can end",
    restored_store_keeps_it },
  { "an evacuation for which there was no room comes into force when there is",
    left_out_one_comes_into_force },
};

TEST_MAIN ("evacuation", cases)

static struct fx_target *targets[2]; /* in the domains "a" and "b" */

/* Starts a target in each of two domains and ROUTERS routers, the first COUNT
   of them with the proxies PATHS to the store, and waits until these are
   settled.  */
static void
start_fleet (struct proxy **paths, int count)
{
  targets[0] = fx_target_add_in ("d-0", "desk", "v1", "a", shop_respond_ok);
  targets[1] = fx_target_add_in ("d-1", "desk", "v1", "b", shop_respond_ok);
  fx_store_start (shop_config);
  for (int i = 0; i < count; i++)
    paths[i] = fx_store_add_proxy (i);
  fx_routers_add_settings ("evacuate_ms: 2000\n");
  fx_routers_start (ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
}

/* Sends REQUESTS requests to each of the routers FROM to TO.  Returns how many
   of them the target in the domain "a" got, and stores in SERVED, if not NULL,
   how many were served.  */
static int
count_in_domain (int from, int to, int *served)
{
  int before = fx_target_request_count (targets[0]);
  int count = 0;

  for (int i = 0; i < (to - from + 1) * REQUESTS; i++)
    {
      int fd = fx_router_connect (from + i / REQUESTS);
      char *response;

      if (fd < 0)
        continue;
      fx_send (fd, GET_MAP ("m"));
      response = fx_read_all (fd);
      count += g_str_has_prefix (response, "HTTP/1.1 200");
      g_free (response);
    }
  if (served != NULL)
    *served = count;
  return fx_target_request_count (targets[0]) - before;
}

/* Checks that the domain "a" gets no requests from any router, and that all
   are served.  */
static void
expect_evacuated (void)
{
  int served;

  CU_ASSERT_EQUAL (count_in_domain (0, ROUTERS - 1, &served), 0);
  CU_ASSERT_EQUAL (served, ROUTERS * REQUESTS);
}

/* Makes SPEC the content of the evacuation of the domain "a", or removes it if
   SPEC is NULL, and waits until that is in force.  */
static void
evacuate (const char *spec)
{
  fx_store_put ("evacuations", "a", spec);
  fx_sleep_ms (EVACUATE_MS);
}

/* Guards against each way in which a router that watches, or one that hears
   from it, could send requests to the domain: among them as a last resort,
   while no other target responds.  */
static void
evacuated_domain_gets_no_requests (void)
{
  int watching = 0;

  start_fleet (NULL, 0);
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  fx_store_put ("evacuations", "nowhere", "7");
  evacuate ("{}");
  expect_evacuated ();
  for (int i = 0; i < ROUTERS; i++)
    {
      watching += fx_router_metric (i, "ibisloom_store_watched") == 1;
      CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_evacuated_domains"), 2);
    }
  CU_ASSERT (watching > 0 && watching < ROUTERS);
  fx_store_put ("evacuations", "a", "{\"by\":\"x\"}");
  fx_store_delete ("evacuations", "a");
  evacuate ("{}");
  expect_evacuated ();
  fx_target_crash (targets[1]);
  CU_ASSERT_EQUAL (count_in_domain (0, ROUTERS - 1, NULL), 0);
  fx_target_recover (targets[1]);
  evacuate ("{\"deleting\":true}");
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  evacuate ("{}");
  expect_evacuated ();
  evacuate (NULL);
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  fx_env_stop ();
}

/* Kills the first router and starts it again.  */
static void
restart_first (void)
{
  fx_router_signal (0, SIGKILL);
  fx_router_wait_for_exit (0);
  fx_routers_start (1);
}

/* Guards against requests between the start and the first report, also of a
   router that learns all from others, or is alone.  */
static void
starting_router_knows_of_it (void)
{
  struct proxy *path;
  int served;

  start_fleet (&path, 1);
  evacuate ("{}");
  restart_first ();
  CU_ASSERT_EQUAL (count_in_domain (0, 0, &served), 0);
  CU_ASSERT_EQUAL (served, REQUESTS);
  proxy_set_mode (path, PROXY_DROP_ALL, 0);
  restart_first ();
  CU_ASSERT_EQUAL (count_in_domain (0, 0, &served), 0);
  CU_ASSERT_EQUAL (served, REQUESTS);
  for (int i = 1; i < ROUTERS; i++)
    fx_router_signal (i, SIGKILL);
  proxy_set_mode (path, PROXY_PASS, 0);
  fx_store_delay_list ("evacuations", LIST_DELAY_MS);
  restart_first ();
  CU_ASSERT_EQUAL (count_in_domain (0, 0, NULL), 0);
  fx_env_stop ();
}

/* Guards against requests that run nevertheless, that wait, or whose refusal
   does not say that they have not run.  */
static void
all_evacuated_is_refused_at_once (void)
{
  int before;
  gint64 started_us;

  start_fleet (NULL, 0);
  fx_store_put ("evacuations", "b", "{}");
  evacuate ("{}");
  before = fx_target_request_count (targets[1]);
  started_us = g_get_monotonic_time ();
  shop_expect (GET_MAP ("m"), "503", "Retry-After: ");
  shop_expect (POST_FEE ("f"), "503", "Retry-After: ");
  CU_ASSERT (g_get_monotonic_time () - started_us < REFUSED_MS * 1000);
  CU_ASSERT_EQUAL (count_in_domain (0, ROUTERS - 1, NULL), 0);
  CU_ASSERT_EQUAL (fx_target_request_count (targets[1]), before);
  CU_ASSERT (
      fx_router_metric (0, "ibisloom_refused_total{reason=\"evacuated\"}")
      >= 2);
  fx_store_delete ("evacuations", "b");
  fx_sleep_ms (EVACUATE_MS);
  expect_evacuated ();
  fx_env_stop ();
}

/* Streams EVENTS events, one in EVENT_MS.  */
static int
stream_slowly (const struct fx_request *request)
{
  shop_start_stream (request);
  for (int i = 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Guards against a stream that is broken off, or moved, by the evacuation.  */
static void
stream_goes_on (void)
{
  struct fx_target *pool;
  char *response;
  int fd;

  start_fleet (NULL, 0);
  pool = fx_target_add_in ("p-0", "pool", "v1", "a", stream_slowly);
  fx_sleep_ms (EVACUATE_MS);
  fd = fx_router_connect (0);
  fx_send (fd, POST_PLAN ("s"));
  g_free (fx_read_until (fd, "data: e2\n"));
  evacuate ("{}");
  shop_expect (POST_PLAN ("t"), "503", "Retry-After: ");
  response = fx_read_all (fd);
  CU_ASSERT (strstr (response, "data: e25\n") != NULL);
  CU_ASSERT_EQUAL (fx_target_request_count (pool), 1);
  g_free (response);
  fx_env_stop ();
}

/* Guards against a domain whose watchers do not reach the store.  All of its
   routers are cut off before, so that none of them may read the object.  */
static void
routers_without_the_store_hear_of_it (void)
{
  struct proxy *paths[ROUTERS];

  start_fleet (paths, ROUTERS);
  for (int i = 0; i < ROUTERS; i += FX_DOMAINS)
    proxy_set_mode (paths[i], PROXY_DROP_ALL, 0);
  fx_sleep_ms (EVACUATE_MS);
  evacuate ("{}");
  expect_evacuated ();
  evacuate (NULL);
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  for (int i = 0; i < ROUTERS; i += FX_DOMAINS)
    CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_evacuated_domains"), 0);
  fx_env_stop ();
}

/* Guards against revisions that are given out again, by which the object that
   the operator writes anew would be taken for an older one.  */
static void
restored_store_keeps_it (void)
{
  int copy;

  start_fleet (NULL, 0);
  copy = fx_store_revision ();
  evacuate ("{}");
  fx_store_restore (copy);
  fx_sleep_ms (EVACUATE_MS);
  expect_evacuated ();
  evacuate ("{}");
  fx_sleep_ms (2 * EVACUATE_MS);
  expect_evacuated ();
  fx_store_restore (copy);
  fx_sleep_ms (EVACUATE_MS / 2);
  expect_evacuated ();
  fx_sleep_ms (3 * EVACUATE_MS);
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  fx_env_stop ();
}

/* Guards against an evacuation that is not in force, though its object is
   there, until the list is read again for another reason.  */
static void
left_out_one_comes_into_force (void)
{
  char name[16];

  start_fleet (NULL, 0);
  for (int i = 0; i < DOMAINS_MAX; i++)
    {
      g_snprintf (name, sizeof name, "n-%03d", i);
      fx_store_put ("evacuations", name, "{}");
    }
  fx_sleep_ms (EVACUATE_MS);
  evacuate ("{}");
  CU_ASSERT (count_in_domain (0, ROUTERS - 1, NULL) > 0);
  fx_store_delete ("evacuations", "n-000");
  fx_sleep_ms (EVACUATE_MS);
  expect_evacuated ();
  fx_env_stop ();
}
