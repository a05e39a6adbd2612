/* Tests of connections that have gone dark: they stay open, and nothing that
   is sent on them arrives or is acknowledged.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  TARGETS = 3,
  KEPT = 24, /* connections to targets before they go dark */
  READS = 40,
  READ_PAUSE_MS = 50,
  WORK_MS = 60,
  APPLY_MS = 50, /* until a mode applies to all connections */
  SERVED_MAX_MS = 1000
};

static void replacement_is_served_on_new_connection (void);
static void dark_connections_do_not_suspend_targets (void);

static const struct test_case cases[] = {
  { "a read is served where all kept connections have gone dark",
    replacement_is_served_on_new_connection },
  { "kept connections that have gone dark do not suspend all targets",
    dark_connections_do_not_suspend_targets },
};

TEST_MAIN ("dark", cases)

static struct proxy *proxies[TARGETS];
static gint served;
static gint slowest_ms;

static int
respond_late (const struct fx_request *request)
{
  fx_sleep_ms (WORK_MS);
  return shop_respond_ok (request);
}

static void *
send_request (void *closure)
{
  gint64 start_us = g_get_monotonic_time ();
  char *response = fx_exchange (closure);
  gint ms = (gint)((g_get_monotonic_time () - start_us) / 1000);

  if (g_str_has_prefix (response, "HTTP/1.1 200"))
    g_atomic_int_inc (&served);
  if (ms > g_atomic_int_get (&slowest_ms))
    g_atomic_int_set (&slowest_ms, ms);
  g_free (response);
  return NULL;
}

/* Sends COUNT copies of REQUEST, PAUSE_MS apart, and waits for the
   responses.  */
static void
send_requests (const char *request, int count, int pause_ms)
{
  pthread_t threads[READS];

  g_atomic_int_set (&served, 0);
  g_atomic_int_set (&slowest_ms, 0);
  for (int i = 0; i < count; i++)
    {
      pthread_create (&threads[i], NULL, send_request,
                      (void *)(uintptr_t)request);
      fx_sleep_ms (pause_ms);
    }
  for (int i = 0; i < count; i++)
    pthread_join (threads[i], NULL);
}

/* Has the kept connections to all targets of SERVICE, with HANDLER, go dark
   and sends COUNT copies of REQUEST.  */
static void
expect_service_beside_dark_connections (const char *service,
                                        fx_handler_fn handler,
                                        const char *request, int count)
{
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      proxies[i] = fx_target_add_proxy (fx_target_add (id, service, handler));
      g_free (id);
    }
  fx_env_start (shop_config);
  send_requests (request, KEPT, 0);
  CU_ASSERT_EQUAL (served, KEPT);
  for (int i = 0; i < TARGETS; i++)
    proxy_set_mode (proxies[i], PROXY_DARK, 0);
  fx_sleep_ms (APPLY_MS);
  for (int i = 0; i < TARGETS; i++)
    proxy_set_mode (proxies[i], PROXY_PASS, 0);
  send_requests (request, count, READ_PAUSE_MS);
  printf ("%d of %d served, slowest in %d ms\n", served, count, slowest_ms);
  CU_ASSERT_EQUAL (served, count);
  fx_env_stop ();
}

static void
replacement_is_served_on_new_connection (void)
{
  expect_service_beside_dark_connections ("desk", respond_late, GET_MAP ("m1"),
                                          1);
  CU_ASSERT (slowest_ms < SERVED_MAX_MS);
}

static void
dark_connections_do_not_suspend_targets (void)
{
  expect_service_beside_dark_connections ("desk", respond_late, GET_MAP ("m1"),
                                          READS);
  CU_ASSERT (slowest_ms < SERVED_MAX_MS);
}
