/* End-to-end test of instances that have lost their paths to all targets. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 4,
  TARGETS = 4, /* of each service */
  CLIENTS_PER_ROUTER = 3,
  PAUSE_MS = 20,
  CALM_MS = 500,
  CONTACT_MS = 3000, /* until an instance must have noticed the cut */
  MEASURED_MS = 3000,
  FAILED_MAX = 10, /* and one in FAILED_SHARE of all */
  FAILED_SHARE = 50
};

/* Routers that are cut off: both of one failure domain.  */
static const int cut_off[] = { 0, 3 };

static void a_cut_refuses_connections (void);
static void a_cut_resets_connections (void);
static void a_cut_leaves_connections_silent (void);

static const struct test_case cases[] = {
  { "clients are served where new connections to targets are refused",
    a_cut_refuses_connections },
  { "clients are served where connections to targets are reset",
    a_cut_resets_connections },
  { "clients are served where connections to targets are silent",
    a_cut_leaves_connections_silent },
};

TEST_MAIN ("cut_off", cases)

/* First tries of the clients of a router, and those that were served.  */
struct counts
{
  int sent;
  int served;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct counts counts[ROUTERS];
static gint measuring;
static gint stopping;
static gint numbers;

static const struct
{
  const char *method_and_path;
  const char *body;
  const char *expected; /* in a complete response */
} kinds[] = { { "GET /map/1", "", "\r\n\r\nwell" },
              { "POST /fee/1", "fee", "\r\n\r\nwell" },
              { "POST /plan/1", "plan", "data: e5\n" },
              { "POST /rules/1", "r", "data: e5\n" } };

/* Sends one request of the kind N to ROUTER.  Returns whether it was served.
 */
static int
exchange (int router, int n)
{
  size_t kind = (size_t)n % G_N_ELEMENTS (kinds);
  char *text = g_strdup_printf (
      "%s HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: r%d\r\n"
      "X-Ibisloom-Deadline-Remaining: 3000\r\nAuthorization: Token key-1\r\n"
      "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
      kinds[kind].method_and_path, n, strlen (kinds[kind].body),
      kinds[kind].body);
  int fd = fx_router_connect (router);
  char *response;
  int served;

  fx_send (fd, text);
  response = fx_read_all (fd);
  served = g_str_has_prefix (response, "HTTP/1.1 200")
           && strstr (response, kinds[kind].expected) != NULL;
  g_free (response);
  g_free (text);
  return served;
}

static void *
send_requests (void *closure)
{
  int router = GPOINTER_TO_INT (closure);

  while (!g_atomic_int_get (&stopping))
    {
      int counted = g_atomic_int_get (&measuring);
      int served = exchange (router, g_atomic_int_add (&numbers, 1));

      pthread_mutex_lock (&lock);
      counts[router].sent += counted;
      counts[router].served += counted && served;
      pthread_mutex_unlock (&lock);
      fx_sleep_ms (PAUSE_MS);
    }
  return NULL;
}

/* Starts routers, of which those cut off have paths of their own, and then
   targets.  */
static void
start_fleet (void)
{
  fx_store_start (shop_config);
  for (size_t i = 0; i < G_N_ELEMENTS (cut_off); i++)
    fx_router_add_paths (cut_off[i]);
  fx_routers_start (ROUTERS);
  for (int i = 0; i < TARGETS; i++)
    {
      char *desk = g_strdup_printf ("desk-%d", i);
      char *pool = g_strdup_printf ("pool-%d", i);

      fx_target_add (desk, "desk", shop_respond_ok);
      fx_target_add (pool, "pool", shop_stream_events);
      g_free (pool);
      g_free (desk);
    }
}

static int
is_cut_off (int router)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cut_off); i++)
    if (cut_off[i] == router)
      return 1;
  return 0;
}

/* Checks that clients of the routers cut off, by paths in MODE, are served as
   those of the others, from CONTACT_MS on.  */
static void
expect_service (enum proxy_mode mode)
{
  pthread_t clients[ROUTERS * CLIENTS_PER_ROUTER];
  struct counts sum[2] = { { 0, 0 }, { 0, 0 } }; /* others, cut off */
  int failed;

  memset (counts, 0, sizeof counts);
  g_atomic_int_set (&stopping, 0);
  start_fleet ();
  for (int i = 0; i < ROUTERS * CLIENTS_PER_ROUTER; i++)
    pthread_create (&clients[i], NULL, send_requests,
                    GINT_TO_POINTER (i % ROUTERS));
  fx_sleep_ms (CALM_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (cut_off); i++)
    fx_router_set_paths (cut_off[i], mode);
  fx_sleep_ms (CONTACT_MS);
  g_atomic_int_set (&measuring, 1);
  fx_sleep_ms (MEASURED_MS);
  g_atomic_int_set (&measuring, 0);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < ROUTERS * CLIENTS_PER_ROUTER; i++)
    pthread_join (clients[i], NULL);
  for (int i = 0; i < ROUTERS; i++)
    {
      sum[is_cut_off (i)].sent += counts[i].sent;
      sum[is_cut_off (i)].served += counts[i].served;
    }
  failed = sum[1].sent - sum[1].served;
  printf ("cut off: %d of %d, others: %d of %d\n", sum[1].served, sum[1].sent,
          sum[0].served, sum[0].sent);
  CU_ASSERT (failed <= FAILED_MAX + (sum[0].sent + sum[1].sent) / FAILED_SHARE
             || 3.0 * sum[1].served * sum[0].sent
                    >= 2.0 * sum[0].served * sum[1].sent);
  fx_env_stop ();
}

static void
a_cut_refuses_connections (void)
{
  expect_service (PROXY_REFUSE);
}

static void
a_cut_resets_connections (void)
{
  expect_service (PROXY_CUT_RESET);
}

static void
a_cut_leaves_connections_silent (void)
{
  expect_service (PROXY_CUT_SILENT);
}
