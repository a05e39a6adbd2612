/* What the store keeps of the versions that began streams: instances in one
   process with the scripted store, killed and started again.  */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisloom/fleet.h"
#include "ibisloom/log.h"
#include "ibisloom/originjson.h"
#include "ibisloom/outbound.h"
#include "platform.h"
#include "ibisloom/rank.h"
#include "router_fixture.h"
#include "test.h"

enum
{
  INSTANCES = 3,
  START_MS = 300,   /* until the instances have read the list */
  WRITE_MS = 700,   /* until what has changed is written */
  SETTLE_MS = 1200, /* until a version that is written may be used */
  LATE_MS = 900,
  STALL_MS = 700,
  ASK_MS = 100, /* until others have answered: less than a heartbeat takes */
  UNKNOWN = 999,
  CATCH_UP_MS = 2000, /* until a stall, or what was asked, no longer counts */
  RETURN_MS = 3000,   /* until targets that a store lost are back in it */
  FORGET_STEPS = 9,   /* one is more than ORIGIN_KEPT_MS */
  FUZZ_OBJECTS = 2000,
  SEED = 28
};

static void streams_are_known_after_all_were_killed (void);
static void version_that_left_is_known_after_all_were_killed (void);
static void one_version_takes_one_read_and_write_a_start (void);
static void new_version_waits_until_it_is_noted (void);
static void instances_serve_while_the_store_is_down (void);
static void restored_store_is_written_anew (void);
static void versions_that_a_store_lost_are_not_ruled_out (void);
static void instance_that_runs_on_remembers_for_the_store (void);
static void streams_of_before_are_of_the_prior_version (void);
static void prior_version_outlives_an_early_end (void);
static void streams_are_of_none_before_others_have_answered (void);
static void late_write_does_not_undo_a_newer_one (void);
static void streams_of_a_lost_instance_are_looked_up (void);
static void versions_are_confirmed_in_step_only (void);
static void version_that_was_missed_is_told (void);
static void versions_and_instances_that_left_are_forgotten (void);
static void odd_objects_are_passed_over (void);
static void fuzzed_objects_are_read_without_harm (void);

static const struct test_case cases[] = {
  { "streams and their versions are known after all were killed",
    streams_are_known_after_all_were_killed },
  { "a version whose targets left is known after all were killed",
    version_that_left_is_known_after_all_were_killed },
  { "one version takes one read and one write a start",
    one_version_takes_one_read_and_write_a_start },
  { "a new version waits until the store names it",
    new_version_waits_until_it_is_noted },
  { "instances serve while the store is down",
    instances_serve_while_the_store_is_down },
  { "a restored store is written anew", restored_store_is_written_anew },
  { "versions that a restored store has lost are not ruled out",
    versions_that_a_store_lost_are_not_ruled_out },
  { "an instance that runs on writes to a restored store what it knows",
    instance_that_runs_on_remembers_for_the_store },
  { "streams from before a start are of the version that served alone",
    streams_of_before_are_of_the_prior_version },
  { "the same after a second end, until the second version begins streams",
    prior_version_outlives_an_early_end },
  { "an instance whose peers have just ended takes a stream for that of none",
    streams_are_of_none_before_others_have_answered },
  { "a late write does not undo a newer one",
    late_write_does_not_undo_a_newer_one },
  { "streams of a lost instance are looked up",
    streams_of_a_lost_instance_are_looked_up },
  { "an instance that stood still or hears few confirms no versions",
    versions_are_confirmed_in_step_only },
  { "a version that an instance has missed is told by the others",
    version_that_was_missed_is_told },
  { "versions and instances that left are forgotten",
    versions_and_instances_that_left_are_forgotten },
  { "odd objects are passed over", odd_objects_are_passed_over },
  { "fuzzed objects are read without harm",
    fuzzed_objects_are_read_without_harm },
};

TEST_MAIN ("originstore", cases)

static const char kind[] = "ibisloom-origins";

/* One instance. */
struct instance
{
  struct settings settings;
  char name[16];
  struct out_pool pool;
  struct registry *registry;
  struct affinity *affinity;
  struct fleet *fleet;
};

static struct instance instances[INSTANCES];
static struct ev_loop *loop;
static in_port_t port;
static uint64_t service;
static uint64_t old_version;
static uint64_t new_version;

static void
stop_loop (struct ev_loop *stopped, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (stopped, EVBREAK_ALL);
}

/* Runs the instances for MS milliseconds.  */
static void
run_for (int64_t ms)
{
  ev_timer timer;

  ev_timer_init (&timer, stop_loop, (double)ms / CLK_MS_PER_S, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
}

/* Returns a port that is free on all loopback addresses that are tried.  */
static in_port_t
free_port (void)
{
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&address, size), 0);
  CU_ASSERT_EQUAL_FATAL (getsockname (fd, (struct sockaddr *)&address, &size),
                         0);
  close (fd);
  return address.sin_port;
}

/* Starts the instance INDEX.  All listen on one port at addresses of their
   own.  */
static void
start_instance (int index)
{
  struct instance *instance = &instances[index];
  struct settings *settings = &instance->settings;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  g_snprintf (instance->name, sizeof instance->name, "i-%d", index);
  memset (settings, 0, sizeof *settings);
  settings->instance = instance->name;
  settings->deployment = (char *)(uintptr_t) "test";
  settings->failure_domain = (char *)(uintptr_t) "d";
  settings->peers = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  settings->platform = address;
  settings->platform.sin_port = htons ((uint16_t)fx_store_port ());
  settings->peer_listen = address;
  settings->peer_listen.sin_port = port;
  settings->peer_listen.sin_addr.s_addr
      = htonl (INADDR_LOOPBACK + 256 + (uint32_t)index);
  settings->store_writes_per_s = 400;
  out_pool_init (&instance->pool, loop);
  instance->registry = reg_new ();
  instance->affinity = affinity_new ();
  instance->fleet = fleet_new (settings, loop, &instance->pool,
                               plat_dialect.store, plat_dialect.members_kind,
                               instance->registry, instance->affinity, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (instance->fleet);
  fleet_start (instance->fleet);
  fleet_keep_origins (instance->fleet, plat_dialect.origins_kind);
}

/* Ends the instance INDEX without notice.  */
static void
kill_instance (int index)
{
  struct instance *instance = &instances[index];

  fleet_free (instance->fleet);
  out_pool_clear (&instance->pool);
  g_hash_table_destroy (instance->pool.idle);
  reg_free (instance->registry);
  affinity_free (instance->affinity);
  g_array_free (instance->settings.peers, TRUE);
}

/* Starts all instances, and waits until they have read the list.  */
static void
start_all (void)
{
  for (int i = 0; i < INSTANCES; i++)
    start_instance (i);
  run_for (START_MS);
}

/* Kills all instances and starts them again.  */
static void
restart_all (void)
{
  for (int i = 0; i < INSTANCES; i++)
    kill_instance (i);
  start_all ();
}

/* Starts the store and all instances.  */
static void
start_test (void)
{
  log_set_level (LOG_LEVEL_ERROR);
  fx_store_start (NULL);
  port = free_port ();
  loop = ev_loop_new (EVBACKEND_EPOLL);
  service = rank_hash ("chat");
  old_version = origin_software ("chat", "v1");
  new_version = origin_software ("chat", "v2");
  start_all ();
}

static void
end_test (void)
{
  for (int i = 0; i < INSTANCES; i++)
    kill_instance (i);
  ev_loop_destroy (loop);
  fx_env_stop ();
}

static struct origins *
origins_of (int index)
{
  return fleet_origins (instances[index].fleet);
}

/* Has the instance INDEX see a target of SOFTWARE.  */
static void
see_at (int index, uint64_t software)
{
  struct origin_version version = { service, software };

  (void)origin_see_version (origins_of (index), &version,
                            clk_now (clk_monotonic ()));
}

/* Has all instances see a target of SOFTWARE.  */
static void
see (uint64_t software)
{
  for (int i = 0; i < INSTANCES; i++)
    see_at (i, software);
}

/* Begins a stream at the instance INDEX.  */
static void
begin_stream (int index, uint64_t attempt, uint64_t software)
{
  struct origin_record record = { attempt, software };

  origin_add (origins_of (index), &record, ORIGIN_OWN,
              clk_now (clk_monotonic ()));
}

/* Checks that all instances know that SOFTWARE began the stream of ATTEMPT; if
   SOFTWARE is 0, that none knows.  */
static void
expect_origin (uint64_t attempt, uint64_t software)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      CU_ASSERT (fleet_origins_are_read (instances[i].fleet));
      CU_ASSERT_EQUAL (origin_find (origins_of (i), attempt), software);
    }
}

/* Checks that all instances take SOFTWARE for the only version; if SOFTWARE is
   0, that there are several.  */
static void
expect_only_version (uint64_t software)
{
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (origin_only_version (origins_of (i), service), software);
}

/* The streams are kept through the first writes after the restart too.  */
static void
streams_are_known_after_all_were_killed (void)
{
  start_test ();
  see (old_version);
  begin_stream (0, 5, old_version);
  run_for (WRITE_MS);
  see (new_version);
  begin_stream (1, 6, new_version);
  run_for (WRITE_MS);
  for (int i = 0; i < 2; i++)
    {
      restart_all ();
      expect_only_version (0);
      expect_origin (5, old_version);
      expect_origin (6, new_version);
      expect_origin (7, 0);
      see (new_version);
      begin_stream (2, 8, new_version);
      run_for (WRITE_MS);
    }
  end_test ();
}

static void
version_that_left_is_known_after_all_were_killed (void)
{
  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  restart_all ();
  expect_only_version (old_version);
  see (new_version);
  expect_only_version (0);
  end_test ();
}

static void
one_version_takes_one_read_and_write_a_start (void)
{
  start_test ();
  for (int i = 0; i < 2; i++)
    {
      see (old_version);
      for (int j = 0; j < INSTANCES; j++)
        begin_stream (j, (uint64_t)j + 1, old_version);
      run_for (WRITE_MS);
      begin_stream (0, 9, old_version);
      run_for (WRITE_MS);
      CU_ASSERT_EQUAL (fx_store_origin_reads (), INSTANCES * (i + 1));
      CU_ASSERT_EQUAL (fx_store_origin_writes (), INSTANCES);
      restart_all ();
      expect_origin (9, 0);
      expect_only_version (old_version);
    }
  end_test ();
}

static void
new_version_waits_until_it_is_noted (void)
{
  const struct fleet *fleet;

  start_test ();
  fleet = instances[0].fleet;
  see_at (0, old_version);
  CU_ASSERT (fleet_software_is_noted (fleet, old_version));
  run_for (WRITE_MS);
  CU_ASSERT (fleet_software_is_noted (fleet, old_version));
  fx_store_set_down (1);
  see_at (0, new_version);
  run_for (WRITE_MS + SETTLE_MS);
  CU_ASSERT (fleet_software_is_noted (fleet, old_version));
  CU_ASSERT (!fleet_software_is_noted (fleet, new_version));
  fx_store_set_down (0);
  run_for (SETTLE_MS / 2);
  CU_ASSERT (!fleet_software_is_noted (fleet, new_version));
  run_for (WRITE_MS + SETTLE_MS);
  CU_ASSERT (fleet_software_is_noted (fleet, new_version));
  kill_instance (0);
  start_instance (0);
  run_for (START_MS);
  CU_ASSERT (fleet_software_is_noted (instances[0].fleet, new_version));
  end_test ();
}

static void
instances_serve_while_the_store_is_down (void)
{
  start_test ();
  fx_store_set_down (1);
  restart_all ();
  see (old_version);
  see (new_version);
  run_for (WRITE_MS);
  CU_ASSERT (!fleet_origins_are_read (instances[0].fleet));
  CU_ASSERT (fleet_software_is_noted (instances[0].fleet, old_version));
  CU_ASSERT (fleet_software_is_noted (instances[0].fleet, new_version));
  fx_store_set_down (0);
  run_for (2 * WRITE_MS);
  expect_origin (5, 0);
  restart_all ();
  expect_only_version (0);
  end_test ();
}

static void
restored_store_is_written_anew (void)
{
  int copy;

  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  copy = fx_store_revision ();
  see (new_version);
  begin_stream (0, 5, old_version);
  run_for (WRITE_MS);
  fx_store_restore (copy);
  for (int i = 0; i < INSTANCES; i++)
    fleet_set_epoch (instances[i].fleet, 2);
  run_for (2 * WRITE_MS);
  restart_all ();
  expect_origin (5, old_version);
  expect_only_version (0);
  fx_store_restore (0);
  for (int i = 0; i < INSTANCES; i++)
    fleet_set_epoch (instances[i].fleet, 3);
  run_for (2 * WRITE_MS);
  restart_all ();
  expect_origin (5, old_version);
  expect_only_version (0);
  end_test ();
}

/* Has the first instance ask the others for versions.  Returns the one that is
   confirmed to be the only one.  */
static uint64_t
ask_only_version (void)
{
  clk_ms asked_ms = clk_now (clk_monotonic ());

  fleet_ask_versions (instances[0].fleet, service);
  run_for (START_MS);
  return fleet_only_version (instances[0].fleet, service, asked_ms);
}

/* Has the store come back from its copy of REVISION while no instance runs,
   and starts all.  */
static void
restart_all_after_restoration (int revision)
{
  for (int i = 0; i < INSTANCES; i++)
    kill_instance (i);
  fx_store_restore (revision);
  start_all ();
}

/* Guards against a stream of a version that came after the copy of the store
   being taken for one of the only version that the copy names: also when the
   instances are killed again, and have written to the store before.  */
static void
versions_that_a_store_lost_are_not_ruled_out (void)
{
  int copy;

  start_test ();
  see (old_version);
  run_for (RETURN_MS + WRITE_MS);
  copy = fx_store_revision ();
  see (new_version);
  begin_stream (0, 5, new_version);
  run_for (WRITE_MS);
  restart_all_after_restoration (copy);
  see (old_version);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  run_for (WRITE_MS);
  restart_all ();
  see (old_version);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  fleet_look_up_origins (instances[0].fleet);
  run_for (START_MS);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  run_for (RETURN_MS);
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  run_for (WRITE_MS);
  restart_all ();
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  end_test ();
}

/* One instance runs on through the restoration; the others are started
   again after it.  */
static void
instance_that_runs_on_remembers_for_the_store (void)
{
  int copy;

  start_test ();
  see (old_version);
  run_for (RETURN_MS + WRITE_MS);
  copy = fx_store_revision ();
  for (int i = 1; i < INSTANCES; i++)
    kill_instance (i);
  fx_store_restore (copy - 1);
  fleet_set_epoch (instances[0].fleet, 2);
  run_for (WRITE_MS);
  for (int i = 1; i < INSTANCES; i++)
    start_instance (i);
  run_for (CATCH_UP_MS / 2);
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  restart_all ();
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  end_test ();
}

/* Has all instances ask for a stream that none knows, and checks that they
   take it for one of SOFTWARE; if that is 0, for one of any.  */
static void
expect_prior_version (uint64_t software)
{
  clk_ms asked_ms = clk_now (clk_monotonic ());

  for (int i = 0; i < INSTANCES; i++)
    fleet_ask_origin (instances[i].fleet, UNKNOWN);
  run_for (ASK_MS);
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT_EQUAL (
        fleet_prior_version (instances[i].fleet, service, UNKNOWN, asked_ms),
        software);
}

/* Guards against streams that nobody remembers being refused, as a second
   version has come while no instance ran.  */
static void
streams_of_before_are_of_the_prior_version (void)
{
  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  restart_all ();
  see (old_version);
  see (new_version);
  expect_prior_version (0);
  run_for (RETURN_MS);
  expect_only_version (0);
  expect_prior_version (old_version);
  run_for (SETTLE_MS + 2 * WRITE_MS);
  expect_prior_version (old_version);
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT (fleet_software_is_noted (instances[i].fleet, new_version));
  end_test ();
}

/* Guards against a stream of the second version, known to nobody after a
   second end, being taken for one of the first.  */
static void
prior_version_outlives_an_early_end (void)
{
  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  for (int i = 0; i < 2; i++)
    {
      restart_all ();
      see (new_version);
      run_for (WRITE_MS + SETTLE_MS);
      CU_ASSERT (!fleet_software_is_noted (instances[0].fleet, new_version));
    }
  run_for (RETURN_MS);
  expect_prior_version (old_version);
  run_for (WRITE_MS);
  CU_ASSERT (fleet_software_is_noted (instances[0].fleet, new_version));
  restart_all ();
  see (new_version);
  run_for (RETURN_MS);
  expect_prior_version (0);
  end_test ();
}

/* Guards against a stream of the second version being taken for one of the
   first in the moment at which all that know it have ended.  */
static void
streams_are_of_none_before_others_have_answered (void)
{
  clk_ms asked_ms;

  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  restart_all ();
  see (new_version);
  run_for (RETURN_MS);
  expect_prior_version (old_version);
  for (int i = 1; i < INSTANCES; i++)
    kill_instance (i);
  asked_ms = clk_now (clk_monotonic ()) + 1;
  fleet_ask_origin (instances[0].fleet, UNKNOWN);
  run_for (ASK_MS);
  CU_ASSERT_EQUAL (
      fleet_prior_version (instances[0].fleet, service, UNKNOWN, asked_ms), 0);
  for (int i = 1; i < INSTANCES; i++)
    start_instance (i);
  end_test ();
}

static void
late_write_does_not_undo_a_newer_one (void)
{
  start_test ();
  see_at (0, old_version);
  run_for (WRITE_MS);
  fx_store_lose_responses (1, LATE_MS);
  see_at (0, origin_software ("chat", "v0"));
  run_for (WRITE_MS / 2 + START_MS);
  see_at (0, new_version);
  begin_stream (0, 5, new_version);
  run_for (LATE_MS + 2 * WRITE_MS);
  restart_all ();
  expect_only_version (0);
  expect_origin (5, new_version);
  end_test ();
}

static void
streams_of_a_lost_instance_are_looked_up (void)
{
  int reads;

  start_test ();
  see (old_version);
  see (new_version);
  begin_stream (0, 5, new_version);
  run_for (WRITE_MS);
  CU_ASSERT_EQUAL (origin_find (origins_of (1), 5), 0);
  run_for (WRITE_MS);
  reads = fx_store_origin_reads ();
  fleet_look_up_origins (instances[1].fleet);
  fleet_look_up_origins (instances[1].fleet);
  run_for (START_MS);
  fleet_look_up_origins (instances[1].fleet);
  run_for (START_MS);
  CU_ASSERT_EQUAL (origin_find (origins_of (1), 5), new_version);
  CU_ASSERT_EQUAL (fx_store_origin_reads (), reads + 1);
  end_test ();
}

static void
versions_are_confirmed_in_step_only (void)
{
  start_test ();
  see (old_version);
  run_for (CATCH_UP_MS);
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  run_for (CATCH_UP_MS);
  CU_ASSERT_EQUAL (fleet_only_version (instances[0].fleet, service,
                                       clk_now (clk_monotonic ())),
                   0);
  g_usleep (STALL_MS * 1000);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  run_for (CATCH_UP_MS);
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  for (int i = 1; i < INSTANCES; i++)
    kill_instance (i);
  run_for (CATCH_UP_MS);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  fleet_look_up_origins (instances[0].fleet);
  run_for (START_MS);
  CU_ASSERT_EQUAL (ask_only_version (), old_version);
  for (int i = 1; i < INSTANCES; i++)
    start_instance (i);
  end_test ();
}

static void
version_that_was_missed_is_told (void)
{
  start_test ();
  see (old_version);
  see_at (1, new_version);
  see_at (2, new_version);
  run_for (CATCH_UP_MS);
  CU_ASSERT_EQUAL (origin_only_version (origins_of (0), service), old_version);
  CU_ASSERT_EQUAL (ask_only_version (), 0);
  CU_ASSERT_EQUAL (origin_only_version (origins_of (0), service), 0);
  end_test ();
}

/* Returns whether the object of the instance INDEX holds streams.  */
static int
holds_streams (int index)
{
  char *spec = fx_store_get (kind, instances[index].name);
  int holds = spec != NULL && strstr (spec, "\"streams\":{}") == NULL;

  g_free (spec);
  return holds;
}

/* The object of an instance that is gone names a version that has left.  */
static void
versions_and_instances_that_left_are_forgotten (void)
{
  start_test ();
  see (old_version);
  fx_store_put (kind, "gone",
                "{\"versions\":\"00000000000000010000000000000002"
                "00000000000000010000000000000003\"}");
  restart_all ();
  begin_stream (0, 5, old_version);
  see_at (0, new_version);
  run_for (WRITE_MS);
  CU_ASSERT (origin_versions_differ (origins_of (1)));
  CU_ASSERT (holds_streams (0));
  for (int i = 0; i < FORGET_STEPS; i++)
    {
      see (old_version);
      run_for (ORIGIN_KEPT_MS / (FORGET_STEPS - 1));
    }
  CU_ASSERT (!holds_streams (0));
  CU_ASSERT_EQUAL (fx_store_count (kind), INSTANCES);
  restart_all ();
  expect_only_version (old_version);
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT (!origin_versions_differ (origins_of (i)));
  end_test ();
}

static void
odd_objects_are_passed_over (void)
{
  static const char *const specs[] = {
    "null",
    "[]",
    "7",
    "{}",
    "{\"versions\":7,\"streams\":[[[[\"a\"]]]]}",
    "{\"versions\":\"xx\",\"streams\":\"00\"}",
    "{\"versions\":{\"a\":1},\"streams\":{\"1\":\"2\",\"b\":{\"c\":7}}}",
    "{\"versions\":\"000000000000000z000000000000000100000000\"}",
    "{\"streams\":{\"0000000000000000\":\"0000000000000009\"}}",
    "{\"streams\":{\"0000000000000001\":\"g000000000000009\"}}",
    ("{\"streams\":{\"1\":7,\"000000000000000b\":"
     "\"000000000000000x0000000000000007000\"}}"),
  };
  char name[16];

  start_test ();
  see (old_version);
  run_for (WRITE_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (specs); i++)
    {
      g_snprintf (name, sizeof name, "a-%zu", i);
      fx_store_put (kind, name, specs[i]);
    }
  fx_store_put (kind, "i-0", specs[5]);
  restart_all ();
  expect_only_version (old_version);
  expect_origin (9, 0);
  expect_origin (7, 11);
  see (old_version);
  run_for (2 * WRITE_MS);
  fx_store_delete (kind, "i-1");
  fx_store_delete (kind, "i-2");
  restart_all ();
  expect_only_version (old_version);
  end_test ();
}

/* Bytes of a packed object are changed at random.  */
static void
fuzzed_objects_are_read_without_harm (void)
{
  struct origins *origins = origin_new ();
  GRand *random = g_rand_new_with_seed (SEED);
  struct origin_version versions[] = { { 1, 11 }, { 1, 13 }, { 2, 17 } };
  uint32_t streams = 0;
  json_t *packed;
  char *text;

  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    (void)origin_see_version (origins, &versions[i], 0);
  for (uint64_t i = 1; i <= 6; i++)
    {
      struct origin_record record
          = { i, versions[i % G_N_ELEMENTS (versions)].software };

      origin_add (origins, &record, ORIGIN_OWN, 0);
    }
  packed = origin_json_pack (origins);
  text = json_dumps (packed, 0);
  origin_free (origins);
  origins = origin_new ();
  CU_ASSERT_EQUAL (origin_json_add_streams (packed, origins, ORIGIN_STORED, 0),
                   4);
  CU_ASSERT_EQUAL (origin_find (origins, 1), 13);
  CU_ASSERT_EQUAL (origin_find (origins, 2), 0);
  for (int i = 0; i < FUZZ_OBJECTS; i++)
    {
      char *changed = g_strdup (text);
      struct origin_cursor cursor = { 0 };
      struct origin_version version;
      json_t *content;

      for (int j = g_rand_int_range (random, 1, 4); j > 0; j--)
        changed[g_rand_int_range (random, 0, (int)strlen (text))]
            = (char)g_rand_int_range (random, 1, 127);
      content = json_loads (changed, 0, NULL);
      while (origin_json_next_version (content, &cursor, &version))
        CU_ASSERT (version.service != 0 && version.software != 0);
      streams += origin_json_add_streams (content, origins, ORIGIN_STORED, 0);
      json_decref (content);
      g_free (changed);
    }
  CU_ASSERT (streams > 0);
  json_decref (packed);
  free (text);
  g_rand_free (random);
  origin_free (origins);
}
