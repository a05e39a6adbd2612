/* End-to-end tests of a fleet whose store is restored from an older copy: what
   was written since is taken back, and its revisions are given out again.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 9,           /* three in each failure domain, two of them watch */
  WATCH_START_MS = 3000, /* until the watchers are elected and settled */
  APPLY_MS = 2000,       /* until a confirmed version must be in force */
  DRAIN_MS = 2000,       /* the drain bound of the routers */
  LINGER_MS = 4000, /* until those that watched in an outage have stopped */
  CHECK_MS = 50,
  REQUESTS = 4 /* to each router */
};

static void new_version_is_in_force_everywhere (void);
static void version_is_in_force_after_two_restorations (void);
static void version_does_not_fall_at_restarted_instances (void);
static void version_does_not_fall_when_all_restart (void);
static void version_reaches_a_domain_that_was_cut_off (void);
static void leaving_target_gets_no_requests (void);
static void older_entry_does_not_undo_a_leave (void);
static void instances_register_anew (void);
static void malformed_epoch_changes_nothing (void);
static void late_response_of_older_epoch_changes_nothing (void);

static const struct test_case cases[] = {
  { "a version confirmed after a restoration is in force everywhere",
    new_version_is_in_force_everywhere },
  { "the same after two restorations within a second",
    version_is_in_force_after_two_restorations },
  { "the version does not fall at instances that restart after a restoration",
    version_does_not_fall_at_restarted_instances },
  { "the version returns when all restart during a restoration",
    version_does_not_fall_when_all_restart },
  { "a domain cut off during a restoration gets the new version",
    version_reaches_a_domain_that_was_cut_off },
  { "a target that leaves after a restoration gets no requests",
    leaving_target_gets_no_requests },
  { "an older entry does not undo that a target leaves",
    older_entry_does_not_undo_a_leave },
  { "instances register anew after a restoration", instances_register_anew },
  { "a malformed epoch changes nothing", malformed_epoch_changes_nothing },
  { "a late response of an older epoch changes nothing",
    late_response_of_older_epoch_changes_nothing },
};

TEST_MAIN ("restored", cases)

static struct fx_target *targets[2];
static int copy; /* revision from which the store is restored */

/* Returns the version in force at router INDEX.  */
static long
version_at (int index)
{
  return fx_router_metric (index, "ibisloom_version_in_force");
}

/* Waits until VERSION is in force at all routers, at most MS, and checks that
   it is.  */
static void
expect_version (long version, int ms)
{
  int behind = ROUTERS;

  for (int waited = 0; behind > 0 && waited <= ms; waited += CHECK_MS)
    {
      behind = 0;
      for (int i = 0; i < ROUTERS; i++)
        behind += version_at (i) != version;
      if (behind > 0)
        fx_sleep_ms (CHECK_MS);
    }
  if (behind > 0)
    printf ("%d routers without version %ld ", behind, version);
  CU_ASSERT_EQUAL (behind, 0);
}

/* Starts two targets and ROUTERS routers, and waits until these are settled.
   PROXIES, if not NULL, get proxies to the store for the first domain.  */
static void
start_fleet (struct proxy **proxies)
{
  targets[0] = fx_target_add ("d-0", "desk", shop_respond_ok);
  targets[1] = fx_target_add ("d-1", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  for (int i = 0; proxies != NULL && i < ROUTERS; i += FX_DOMAINS)
    proxies[i] = fx_store_add_proxy (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
  copy = fx_store_revision ();
}

/* Restores the store from the copy, after it was away for a moment.  */
static void
restore_store (void)
{
  fx_store_set_down (1);
  fx_sleep_ms (APPLY_MS / 4);
  fx_store_restore (copy);
  fx_store_set_down (0);
}

/* Makes VERSION and the one after it the configuration, and checks that the
   latter comes into force.  */
static void
expect_two_versions (int version)
{
  shop_put_version (version);
  shop_put_version (version + 1);
  expect_version (version + 1, APPLY_MS);
}

/* Kills the first COUNT routers.  */
static void
kill_routers (int count)
{
  for (int i = 0; i < count; i++)
    fx_router_signal (i, SIGKILL);
  for (int i = 0; i < count; i++)
    fx_router_wait_for_exit (i);
}

/* Sends REQUESTS requests to each router.  Returns how many of them TARGET
   got.  */
static int
count_requests_at (struct fx_target *target)
{
  int before = fx_target_request_count (target);

  for (int i = 0; i < ROUTERS * REQUESTS; i++)
    {
      int fd = fx_router_connect (i % ROUTERS);

      if (fd < 0)
        continue;
      fx_send (fd, GET_MAP ("m"));
      g_free (fx_read_all (fd));
    }
  return fx_target_request_count (target) - before;
}

/* The new version gets the revision that the last one before had.  */
static void
new_version_is_in_force_everywhere (void)
{
  start_fleet (NULL);
  expect_two_versions (4);
  restore_store ();
  shop_put_version (5);
  fx_sleep_ms (LINGER_MS);
  shop_put_version (6);
  expect_version (6, APPLY_MS);
  fx_env_stop ();
}

static void
version_is_in_force_after_two_restorations (void)
{
  start_fleet (NULL);
  expect_two_versions (4);
  restore_store ();
  shop_put_version (5);
  fx_sleep_ms (APPLY_MS / 4);
  restore_store ();
  shop_put_version (5);
  fx_sleep_ms (LINGER_MS);
  shop_put_version (6);
  expect_version (6, APPLY_MS);
  fx_env_stop ();
}

/* The operator has not written the newer version anew yet.  */
static void
version_does_not_fall_at_restarted_instances (void)
{
  start_fleet (NULL);
  shop_put_version (4);
  expect_version (4, APPLY_MS);
  restore_store ();
  fx_sleep_ms (APPLY_MS / 2);
  kill_routers (ROUTERS - 1);
  fx_routers_start (ROUTERS - 1);
  expect_version (4, APPLY_MS);
  fx_store_rewrite ();
  expect_version (4, APPLY_MS);
  shop_put_version (5);
  expect_version (5, APPLY_MS);
  fx_env_stop ();
}

static void
version_does_not_fall_when_all_restart (void)
{
  start_fleet (NULL);
  shop_put_version (4);
  expect_version (4, APPLY_MS);
  fx_store_set_down (1);
  kill_routers (ROUTERS);
  fx_store_restore (copy);
  fx_store_set_down (0);
  fx_routers_start (ROUTERS);
  fx_store_rewrite ();
  expect_version (4, APPLY_MS);
  shop_put_version (5);
  expect_version (5, APPLY_MS);
  fx_env_stop ();
}

/* The routers of the first domain do not reach the store.  */
static void
version_reaches_a_domain_that_was_cut_off (void)
{
  struct proxy *proxies[ROUTERS] = { NULL };

  start_fleet (proxies);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  CU_ASSERT (count_requests_at (targets[1]) > 0);
  expect_two_versions (4);
  for (int i = 0; i < ROUTERS; i += FX_DOMAINS)
    proxy_set_mode (proxies[i], PROXY_DROP_ALL, 0);
  restore_store ();
  shop_put_version (5);
  fx_sleep_ms (LINGER_MS);
  shop_put_version (6);
  expect_version (6, APPLY_MS);
  for (int i = 0; i < ROUTERS; i += FX_DOMAINS)
    proxy_set_mode (proxies[i], PROXY_PASS, 0);
  shop_put_version (7);
  expect_version (7, APPLY_MS);
  fx_env_stop ();
}

/* The target's entry has a higher revision before than when it leaves.  */
static void
leaving_target_gets_no_requests (void)
{
  start_fleet (NULL);
  for (int i = 0; i < REQUESTS; i++)
    fx_target_set_state (targets[0], "ready");
  fx_sleep_ms (APPLY_MS);
  restore_store ();
  fx_sleep_ms (LINGER_MS);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  fx_target_set_state (targets[0], "draining");
  fx_sleep_ms (DRAIN_MS);
  CU_ASSERT_EQUAL (count_requests_at (targets[0]), 0);
  CU_ASSERT (count_requests_at (targets[1]) > 0);
  fx_env_stop ();
}

/* The store shows the target as ready until it writes its entry anew.  */
static void
older_entry_does_not_undo_a_leave (void)
{
  start_fleet (NULL);
  fx_target_set_state (targets[0], "draining");
  fx_sleep_ms (DRAIN_MS);
  restore_store ();
  fx_sleep_ms (APPLY_MS);
  CU_ASSERT_EQUAL (count_requests_at (targets[0]), 0);
  fx_target_set_state (targets[0], "ready");
  fx_sleep_ms (APPLY_MS);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  fx_env_stop ();
}

static void
instances_register_anew (void)
{
  fx_store_start (shop_config);
  copy = fx_store_revision ();
  targets[0] = fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
  CU_ASSERT_EQUAL (fx_store_count ("ibisloom-instances"), ROUTERS);
  restore_store ();
  fx_store_rewrite ();
  fx_sleep_ms (2 * APPLY_MS);
  CU_ASSERT_EQUAL (fx_store_count ("ibisloom-instances"), ROUTERS);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  fx_env_stop ();
}

static void
malformed_epoch_changes_nothing (void)
{
  static const char *const values[]
      = { "x", "-1", "1.5", "99999999999999999999", "4294967296", "", NULL };

  start_fleet (NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      fx_store_set_epoch (values[i]);
      shop_put_version (4);
      fx_sleep_ms (APPLY_MS / 2);
      expect_version (3, 0);
    }
  CU_ASSERT_EQUAL (fx_is_ready (), 1);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  fx_store_set_epoch ("1");
  expect_version (4, APPLY_MS);
  fx_env_stop ();
}

/* The response shows a newer version.  */
static void
late_response_of_older_epoch_changes_nothing (void)
{
  start_fleet (NULL);
  fx_store_set_epoch ("2");
  shop_put_version (4);
  expect_version (4, APPLY_MS);
  fx_store_set_epoch ("1");
  fx_target_set_state (targets[0], "draining");
  shop_put_version (5);
  fx_sleep_ms (APPLY_MS);
  expect_version (4, 0);
  CU_ASSERT (count_requests_at (targets[0]) > 0);
  fx_store_set_epoch ("2");
  expect_version (5, APPLY_MS);
  fx_sleep_ms (DRAIN_MS);
  CU_ASSERT_EQUAL (count_requests_at (targets[0]), 0);
  fx_env_stop ();
}
