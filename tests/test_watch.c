/* End-to-end tests of routers whose calls to the store get no response: a
   version that the store confirms afterwards comes into force in time.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 6,           /* two in each failure domain: all of them watch */
  WATCH_START_MS = 3000, /* until the watchers are elected and settled */
  APPLY_MS = 2000,       /* config_apply_ms of the routers, by default */
  RESTART_MS = 500,      /* until watches that a change ended begin again */
  SILENCE_MS = 4500,
  DARK_MS = 100, /* long enough for the proxies to drop what is open */
  CHECK_MS = 50,
  VERSION = 20,
  SILENCES = 3,
  CHANGES_MS = 5000, /* in which the entry of a target changes */
  CHANGE_MS = 200,
  KINDS = 2,         /* that are watched */
  STANDBY_PER_S = 1, /* calls of a standby for each kind */
  SPREAD_MS = 1000,
  MANY_ROUTERS = 9 /* three in each failure domain, of which two watch */
};

static void version_after_silence_is_in_force (void);
static void version_on_dark_connections_is_in_force (void);
static void calm_watches_are_few (void);
static void standbys_call_the_store_less (void);
static void change_between_pages_is_known (void);

static const struct test_case cases[] = {
  { "a version confirmed after a silence of the store is in force in time",
    version_after_silence_is_in_force },
  { "a version is in force in time though all watches have gone dark",
    version_on_dark_connections_is_in_force },
  { "watches that get their responses are not checked", calm_watches_are_few },
  { "one watcher of a failure domain follows frequent changes, and tells all",
    standbys_call_the_store_less },
  { "a router that does not watch knows of a change between two pages",
    change_between_pages_is_known },
};

TEST_MAIN ("watch", cases)

static struct fx_target *target;
static struct proxy *paths[ROUTERS]; /* to the store */

/* Starts ROUTERS routers with paths to the store and waits until they are
   settled.  */
static void
start_fleet (void)
{
  target = fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  for (int i = 0; i < ROUTERS; i++)
    paths[i] = fx_store_add_proxy (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
}

/* Sets the fault of all paths to the store for MS, and removes it.  Calls that
   are in progress then never get a response.  */
static void
silence_store (int ms)
{
  for (int i = 0; i < ROUTERS; i++)
    proxy_set_mode (paths[i], PROXY_DROP_ALL, 0);
  fx_sleep_ms (ms);
  for (int i = 0; i < ROUTERS; i++)
    proxy_set_mode (paths[i], PROXY_PASS, 0);
}

/* Makes VERSION the configuration and checks that it is in force at all
   routers in time.  */
static void
expect_version_in_time (int version)
{
  gint64 deadline_us = g_get_monotonic_time () + (gint64)APPLY_MS * 1000;
  int behind = ROUTERS;

  shop_put_version (version);
  while (behind > 0 && g_get_monotonic_time () < deadline_us)
    {
      fx_sleep_ms (CHECK_MS);
      behind = 0;
      for (int i = 0; i < ROUTERS; i++)
        behind += fx_router_metric (i, "ibisloom_version_in_force") != version;
    }
  if (behind > 0)
    printf ("%d routers without version %d ", behind, version);
  CU_ASSERT_EQUAL (behind, 0);
}

/* Changes the configuration and the targets, so that all watches end, and
   waits until they have begun again, at the same moment.  */
static void
align_watches (int version)
{
  shop_put_version (version);
  fx_target_put_entry (target, "");
  fx_sleep_ms (RESTART_MS);
}

/* Silences of several lengths, so that they end in various phases of the
   calls that find the store again.  */
static void
version_after_silence_is_in_force (void)
{
  start_fleet ();
  for (int i = 0; i < SILENCES; i++)
    {
      align_watches (VERSION + 2 * i);
      silence_store (SILENCE_MS + i * RESTART_MS);
      expect_version_in_time (VERSION + 2 * i + 1);
    }
  fx_env_stop ();
}

/* The store is reachable all the time, but the connections of the watches
   drop what is sent.  */
static void
version_on_dark_connections_is_in_force (void)
{
  start_fleet ();
  align_watches (VERSION);
  silence_store (DARK_MS);
  expect_version_in_time (VERSION + 1);
  fx_env_stop ();
}

/* Without a fault the routers restart no watch.  */
static void
calm_watches_are_few (void)
{
  start_fleet ();
  fx_sleep_ms (SILENCE_MS);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT_EQUAL (fx_router_metric (i, "ibisloom_watch_checks_total"), 0);
  fx_env_stop ();
}

/* Returns how many routers do not know the newest entry of the target.  */
static int
count_behind (void)
{
  int behind = 0;

  for (int i = 0; i < ROUTERS; i++)
    behind += fx_router_metric (i, "ibisloom_store_revision_targets")
              < fx_store_revision ();
  return behind;
}

/* The entry of a target changes all the time, as in a large fleet.  */
static void
standbys_call_the_store_less (void)
{
  long calls[ROUTERS];

  start_fleet ();
  for (int i = 0; i < ROUTERS; i++)
    calls[i] = fx_router_metric (i, "ibisloom_store_calls");
  for (int ms = 0; ms < CHANGES_MS; ms += CHANGE_MS)
    {
      fx_target_put_entry (target, "");
      fx_sleep_ms (CHANGE_MS);
    }
  for (int i = 0; i < ROUTERS; i++)
    calls[i] = fx_router_metric (i, "ibisloom_store_calls") - calls[i];
  for (int i = 0; i < FX_DOMAINS; i++)
    CU_ASSERT (MIN (calls[i], calls[i + FX_DOMAINS])
               <= KINDS * (STANDBY_PER_S * CHANGES_MS / 1000 + 1));
  for (int ms = 0; ms < SPREAD_MS && count_behind () > 0; ms += CHECK_MS)
    fx_sleep_ms (CHECK_MS);
  CU_ASSERT_EQUAL (count_behind (), 0);
  fx_env_stop ();
}

/* Guards against a router that takes the revision of the last page for what it
   knows, and so does not ask others for what changed after the first one.  */
static void
change_between_pages_is_known (void)
{
  int index = 0;

  fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_target_add ("d-1", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  fx_routers_start (MANY_ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
  while (index < MANY_ROUTERS - 1
         && fx_router_metric (index, "ibisloom_store_watched") != 0)
    index++;
  fx_router_signal (index, SIGKILL);
  fx_router_wait_for_exit (index);
  fx_store_split_list ("servers", "d-0");
  fx_router_spawn (index, "/dev/null");
  fx_sleep_ms (WATCH_START_MS);
  CU_ASSERT_EQUAL (fx_router_metric (index, "ibisloom_store_watched"), 0);
  CU_ASSERT_EQUAL (fx_router_metric (index, "ibisloom_targets_usable"), 1);
  fx_env_stop ();
}
