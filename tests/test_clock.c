/* Routers whose time of day goes back between two starts. */
#include <signal.h>
#include <time.h>

#include "ibisloom/rank.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 3,
  HOUR_MS = 3600000,
  SILENT_MS = 2500, /* until a router that has ended is known to be silent */
  HEARD_MS = 1000   /* until one that starts is heard by all */
};

static void router_with_an_earlier_clock_is_heard (void);

static const struct test_case cases[] = {
  { "a router that starts with an earlier time of day than before is heard",
    router_with_an_earlier_clock_is_heard },
};

TEST_MAIN ("clock", cases)

/* Guards against peers that drop all datagrams of a router, as those of its
   process before.  The first router has heard a process of the last one that
   started an hour later, by its clock, than the one that starts now.  */
static void
router_with_an_earlier_clock_is_heard (void)
{
  gint64 later_ms = g_get_real_time () / 1000 + HOUR_MS;

  fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_router_signal (ROUTERS - 1, SIGKILL);
  fx_router_wait_for_exit (ROUTERS - 1);
  fx_heartbeat_send ((uint32_t)rank_hash ("gate-2"), (uint64_t)later_ms);
  fx_sleep_ms (SILENT_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_instances_heard"),
                   ROUTERS - 2);
  fx_router_spawn (ROUTERS - 1, "/dev/null");
  fx_sleep_ms (HEARD_MS);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_instances_heard"),
                     ROUTERS - 1);
  CU_ASSERT_EQUAL (
      fx_router_metric (ROUTERS - 1, "ibisloom_incarnations_raised_total"), 1);
  fx_sleep_ms (SILENT_MS);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_instances_heard"),
                   ROUTERS - 1);
  fx_env_stop ();
}
