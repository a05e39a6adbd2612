/* Tests of connections that have gone dark: they stay open, and nothing that
   is sent on them arrives or is acknowledged.  */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libsocket.h"
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
  SERVED_MAX_MS = 1000,
  WATCH_START_MS = 1500, /* until a started router watches the store */
  POLL_MS = 20,
  APPLIED_MAX_MS = 3800, /* a dark watch is dropped, and the next one begins */
  DROP_MARGIN_MS = 700   /* the last retransmission backs off */
};

static void replacement_is_served_on_new_connection (void);
static void dark_connections_do_not_suspend_targets (void);
static void version_comes_into_force_beside_dark_watch (void);
static void dark_connections_are_dropped (void);

static const struct test_case cases[] = {
  { "a read is served where all kept connections have gone dark",
    replacement_is_served_on_new_connection },
  { "kept connections that have gone dark do not suspend all targets",
    dark_connections_do_not_suspend_targets },
  { "a version comes into force though the watch has gone dark",
    version_comes_into_force_beside_dark_watch },
  { "connections that have gone dark are dropped in time",
    dark_connections_are_dropped },
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

static int
has_new_route (void)
{
  char *response = fx_exchange (REQUEST_HEAD ("GET", "/new/1", "n1") "\r\n");
  int found = g_str_has_prefix (response, "HTTP/1.1 200");

  g_free (response);
  return found;
}

static void
version_comes_into_force_beside_dark_watch (void)
{
  char **halves = g_strsplit (shop_config, "\"path_prefix\":\"/map/\"", 2);
  char *config = g_strjoinv ("\"path_prefix\":\"/new/\"", halves);
  struct proxy *proxy;
  gint64 start_us;
  gint ms;

  *strstr (config, "3,") = '4';
  fx_target_add ("i-1", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  proxy = fx_store_add_proxy (0);
  fx_routers_start (1);
  fx_sleep_ms (WATCH_START_MS);
  proxy_set_mode (proxy, PROXY_DARK, 0);
  fx_sleep_ms (APPLY_MS);
  proxy_set_mode (proxy, PROXY_PASS, 0);
  start_us = g_get_monotonic_time ();
  fx_store_put ("config", "main", config);
  while (!has_new_route ()
         && g_get_monotonic_time () - start_us < 10 * 1000000)
    fx_sleep_ms (POLL_MS);
  ms = (gint)((g_get_monotonic_time () - start_us) / 1000);
  printf ("in force after %d ms\n", ms);
  CU_ASSERT (ms < APPLIED_MAX_MS);
  g_free (config);
  g_strfreev (halves);
  fx_env_stop ();
}

/* Returns a connection to LISTENER at ADDRESS that has gone dark.  */
static int
open_dark (int listener, const struct sockaddr_in *address,
           int64_t user_timeout_ms, int keepalive_idle_s)
{
  struct pollfd waiting = { .fd = listener, .events = POLLIN };
  int fd = sock_connect (address);

  poll (&waiting, 1, SERVED_MAX_MS);
  proxy_go_dark (sock_accept (listener));
  sock_set_options (fd, user_timeout_ms, keepalive_idle_s);
  return fd;
}

static void
dark_connections_are_dropped (void)
{
  /* As set for targets, the store and peers, and for clients.  */
  static const struct
  {
    int64_t user_timeout_ms;
    int keepalive_idle_s;
    int sends;
  } kinds[]
      = { { 3000, 1, 0 }, { 3000, 1, 1 }, { 10000, 5, 0 }, { 10000, 5, 1 } };
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int listener = sock_listen (&address, G_N_ELEMENTS (kinds));
  struct pollfd fds[G_N_ELEMENTS (kinds)];
  gint64 start_us = g_get_monotonic_time ();

  getsockname (listener, (struct sockaddr *)&address, &size);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      fds[i].fd = open_dark (listener, &address, kinds[i].user_timeout_ms,
                             kinds[i].keepalive_idle_s);
      fds[i].events = POLLIN;
      if (kinds[i].sends)
        fx_write (fds[i].fd, "x");
    }
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      int max_ms = (int)kinds[i].user_timeout_ms + DROP_MARGIN_MS;
      gint ms;

      poll (&fds[i], 1, 2 * max_ms);
      ms = (gint)((g_get_monotonic_time () - start_us) / 1000);
      printf ("dropped after %d ms\n", ms);
      CU_ASSERT (ms < max_ms);
      close (fds[i].fd);
    }
  close (listener);
}
