/* Counters of the datagrams between routers, by kind. */
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 3,
  HEARTBEATS_MS = 2000
};

static void datagrams_are_counted_by_kind (void);
static void relays_are_counted (void);
static void unknown_datagrams_are_counted (void);

static const struct test_case cases[] = {
  { "datagrams are counted by kind", datagrams_are_counted_by_kind },
  { "load updates through relays are counted", relays_are_counted },
  { "datagrams that are not understood are counted, and end nothing",
    unknown_datagrams_are_counted },
};

TEST_MAIN ("traffic", cases)

static void
start_fleet (void)
{
  fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (HEARTBEATS_MS);
}

/* What is sent of a kind is also received, but for what is on its way.  */
static void
datagrams_are_counted_by_kind (void)
{
  long sent = 0;
  long received = 0;

  start_fleet ();
  for (int i = 0; i < ROUTERS; i++)
    {
      long one = fx_router_metric (
          i, "ibisloom_datagrams_sent_total{kind=\"heartbeat\"}");

      CU_ASSERT (one > 0);
      CU_ASSERT (
          fx_router_metric (
              i, "ibisloom_datagrams_sent_bytes_total{kind=\"heartbeat\"}")
          > one);
      sent += one;
    }
  for (int i = 0; i < ROUTERS; i++)
    received += fx_router_metric (
        i, "ibisloom_datagrams_received_total{kind=\"heartbeat\"}");
  CU_ASSERT (received >= sent);
  fx_env_stop ();
}

/* The setting must reach the fleet, and the counters the metrics.  */
static void
relays_are_counted (void)
{
  long relay_loads = 0;

  fx_routers_add_settings ("load_relays: 1\n");
  start_fleet ();
  shop_expect (GET_MAP ("r1"), "200", "well");
  fx_sleep_ms (HEARTBEATS_MS / 4);
  for (int i = 0; i < ROUTERS; i++)
    {
      CU_ASSERT (fx_router_metric (
                     i, "ibisloom_datagrams_sent_total{kind=\"capabilities\"}")
                 > 0);
      /* Negative at routers that have sent none.  */
      relay_loads
          += fx_router_metric (
                 i, "ibisloom_datagrams_sent_total{kind=\"relay_loads\"}")
             > 0;
    }
  CU_ASSERT (relay_loads > 0);
  fx_env_stop ();
}

static void
unknown_datagrams_are_counted (void)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  int peer;
  int fd;

  start_fleet ();
  peer = fx_router_connect_peer (0);
  CU_ASSERT_EQUAL (getpeername (peer, (struct sockaddr *)&address, &length),
                   0);
  fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  CU_ASSERT (sendto (fd, "\x96\x02\x40", 3, 0, (struct sockaddr *)&address,
                     sizeof address)
             == 3);
  close (fd);
  close (peer);
  fx_sleep_ms (HEARTBEATS_MS / 4);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_datagrams_unreadable"), 1);
  shop_expect (GET_MAP ("r1"), "200", "well");
  fx_env_stop ();
}
