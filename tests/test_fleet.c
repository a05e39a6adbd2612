/* Instances that exchange their loads by datagrams, in one process: how far
   the load of a target exceeds the bound while requests come in.  */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "ibisloom/balance.h"
#include "ibisloom/metrics.h"
#include "ibisloom/outbound.h"
#include "libfleet.h"
#include "platform.h"
#include "ibisloom/rank.h"
#include "test.h"

enum
{
  INSTANCES = 78,
  INSTANCES_MAX = 150, /* a peer gets one heartbeat in 2 s */
  DOMAINS = 3,
  FIRST_TARGETS = 100,
  TARGETS = 140, /* with those that join */
  SLOTS = 12,
  CONTEXTS = 235,
  TICK_MS = 5,
  ARRIVALS_PER_S = 520,
  REQUEST_MIN_MS = 300,
  REQUEST_MAX_MS = 1700,
  REPORT_AFTER_MS = 60, /* until the response begins, with the load */
  RING_TICKS = 512,     /* a power of two, more than the longest request */
  HELLO_MS = 1200,      /* until all instances know each other */
  RAMP_MS = 3500,
  JOIN_MS = 1500, /* until the instances have seen the targets that join */
  MEASURED_MS = 4000,
  CONTACT_MS = 4000, /* until a change must have reached all instances */
  SETTLE_MS = 2500,  /* until the last heartbeats have arrived */
  LIMITED_TARGETS = 98,
  COLD_MS = 60000, /* longer than it is measured */
  KNOWN_CHECKS = 10,
  KNOWN_CHECK_MS = 250,
  BUSY_MS = 300, /* an update is sent meanwhile */
  SEED = 18
};

static const double CAP_FACTOR = 2;
static const double CAP_SLACK = 3;

/* Part of the requests that may reach a target over the bound: what the
   deployments allow, and the third of it that is aimed at.  */
static const double OVER_BOUND_ALLOWED = 0.03;
static const double OVER_BOUND_AIM = 0.01;

/* How far the mean load that instances know may lie above the real one, in
   requests: each of them raises the bound by CAP_FACTOR, and the bound keeps a
   margin of 0.25.  */
static const double MEAN_EXCESS_MAX = 0.125;

/* Requests a second that a limited target takes.  In MEASURED_MS it may get
   one and a half times what that allows, and RATE_SLACK more.  */
static const double RATE_PER_S = 0.75;
static const double RATE_SLACK = 5;

/* One instance, with its own view of targets, loads and contexts.  */
struct instance
{
  struct settings settings;
  char name[16];
  struct out_pool pool;
  struct registry *registry;
  struct affinity *affinity;
  struct fleet *fleet;
};

/* A request in progress.  */
struct running
{
  struct reg_target *target; /* of the instance that sent it */
  int index;                 /* of the target */
  struct instance *instance;
  clk_ms sent_ms;
};

struct simulation
{
  struct ev_loop *loop;
  GRand *random;
  struct instance instances[INSTANCES_MAX];
  int instance_count;
  int loads[TARGETS]; /* requests that each target really has */
  int target_count;
  int load_sum;
  GArray *ends[RING_TICKS];    /* of struct running, by tick */
  GArray *reports[RING_TICKS]; /* of struct running, by tick */
  uint64_t tick;
  int limited;           /* the first targets limit their rate */
  int arrivals[TARGETS]; /* while measuring */
  int measuring;
  int stopped; /* no more requests are sent */
  int sent;
  int over_bound;
  double mean_excess; /* of the mean load known over the real one, summed */
};

static void popular_targets_stay_within_bound (void);
static void larger_fleet_stays_within_bound (void);
static void bound_holds_with_relays (void);
static void loads_at_all_targets_are_reported (void);
static void loads_of_live_instances_are_kept (void);
static void counts_are_read_before_a_choice (void);
static void quarantine_reaches_all_instances (void);
static void rate_limits_hold_in_a_large_fleet (void);
static void cold_targets_of_a_large_fleet (void);

static const struct test_case cases[] = {
  { "popular targets stay within the load bound of a large fleet",
    popular_targets_stay_within_bound },
  { "popular targets stay within it in a fleet of 150",
    larger_fleet_stays_within_bound },
  { "popular targets stay within it if relays pass on load updates",
    bound_holds_with_relays },
  { "an instance reports its loads at all targets",
    loads_at_all_targets_are_reported },
  { "loads of live instances are kept in a fleet of 150",
    loads_of_live_instances_are_kept },
  { "a choice rests on the loads that have arrived before it",
    counts_are_read_before_a_choice },
  { "the quarantine of a prompt part reaches all instances",
    quarantine_reaches_all_instances },
  { "rate limits of targets hold in a large fleet",
    rate_limits_hold_in_a_large_fleet },
  { "cold targets of a large fleet get what they bear",
    cold_targets_of_a_large_fleet },
};

TEST_MAIN ("fleet", cases)

/* Value of the setting. */
static int load_relays;

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

/* Registers the targets from FIRST to LAST at all instances.  */
static void
add_targets (struct simulation *simulation, int first, int last)
{
  for (int i = 0; i < simulation->instance_count; i++)
    for (int t = first; t < last; t++)
      {
        struct reg_entry entry = { .service = "pool", .slots = SLOTS };

        g_snprintf (entry.id, sizeof entry.id, "t-%d", t);
        g_snprintf (entry.failure_domain, sizeof entry.failure_domain, "d-%d",
                    t % DOMAINS);
        entry.address.sin_port = htons ((uint16_t)(1 + t));
        reg_put (simulation->instances[i].registry, &entry,
                 (struct position){ .revision = 1 }, 0);
      }
  simulation->target_count = last;
}

/* Creates the instances.  All listen on one port at addresses of their own, as
   the seeds in their settings say.  */
static void
start_instances (struct simulation *simulation)
{
  in_port_t port = free_port ();
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));

  for (int i = 0; i < simulation->instance_count; i++)
    {
      struct sockaddr_in address
          = { .sin_family = AF_INET,
              .sin_port = port,
              .sin_addr.s_addr = htonl (INADDR_LOOPBACK + 256 + (uint32_t)i) };

      g_array_append_val (peers, address);
    }
  for (int i = 0; i < simulation->instance_count; i++)
    {
      struct instance *instance = &simulation->instances[i];
      struct settings *settings = &instance->settings;

      g_snprintf (instance->name, sizeof instance->name, "i-%d", i);
      settings->instance = instance->name;
      settings->deployment = (char *)(uintptr_t) "test";
      settings->failure_domain
          = (char *)(uintptr_t)(i % DOMAINS == 0   ? "d-0"
                                : i % DOMAINS == 1 ? "d-1"
                                                   : "d-2");
      settings->peers = peers;
      settings->peer_listen = g_array_index (peers, struct sockaddr_in, i);
      settings->platform = settings->peer_listen; /* nobody listens there */
      settings->cap_factor = CAP_FACTOR;
      settings->cap_slack = CAP_SLACK;
      settings->slow_start = 1;
      settings->load_relays = load_relays;
      out_pool_init (&instance->pool, simulation->loop);
      instance->registry = reg_new ();
      instance->affinity = affinity_new ();
      instance->fleet
          = fleet_new (settings, simulation->loop, &instance->pool,
                       plat_dialect.store, plat_dialect.members_kind,
                       instance->registry, instance->affinity, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (instance->fleet);
      fleet_start (instance->fleet);
    }
}

/* Returns a random context; low numbers are more popular.  */
static uint64_t
random_context (GRand *random)
{
  uint64_t number = (uint64_t)g_rand_int_range (random, 0, CONTEXTS)
                    * (uint64_t)g_rand_int_range (random, 0, CONTEXTS)
                    / CONTEXTS;

  return rank_mix (1, number);
}

/* Returns the target that INSTANCE chooses for CONTEXT, or NULL, and the mean
   load that it knows in MEAN.  */
static struct reg_target *
choose_target (const struct instance *instance, uint64_t context, double *mean)
{
  static struct bal_candidate candidates[TARGETS];
  static struct reg_target *targets[TARGETS];
  struct bal_params params
      = { .context = context,
          .holders = affinity_find (instance->affinity, context),
          .cap_factor = CAP_FACTOR,
          .cap_slack = CAP_SLACK };
  struct bal_choice choice;
  size_t count = reg_candidates (
      instance->registry, g_intern_string ("pool"),
      g_intern_string (instance->settings.failure_domain),
      clk_now (clk_monotonic ()), candidates, targets, TARGETS);

  *mean = 0;
  if (!bal_pick (&params, candidates, count, &choice))
    return NULL;
  *mean = choice.mean;
  targets[choice.index]->load_limit = choice.limit;
  return targets[choice.index];
}

/* Adds RUNNING to the requests of RING that are due MS milliseconds from
   now.  */
static void
add_due (const struct simulation *simulation, GArray **ring, int ms,
         const struct running *running)
{
  g_array_append_vals (
      ring[(simulation->tick + (uint64_t)(ms / TICK_MS)) % RING_TICKS],
      running, 1);
}

/* Sends a request with a context from a random instance.  */
static void
send_request (struct simulation *simulation)
{
  GRand *random = simulation->random;
  struct instance *instance = &simulation->instances[g_rand_int_range (
      random, 0, simulation->instance_count)];
  uint64_t context = random_context (random);
  double known_mean;
  struct running running
      = { .target = choose_target (instance, context, &known_mean),
          .instance = instance,
          .sent_ms = clk_now (clk_monotonic ()) };
  double mean = (double)simulation->load_sum / simulation->target_count;

  if (running.target == NULL)
    return;
  running.index = atoi (running.target->id + strlen ("t-"));
  if (simulation->measuring)
    {
      simulation->sent++;
      simulation->mean_excess += known_mean - mean;
      simulation->arrivals[running.index]++;
      simulation->over_bound
          += simulation->loads[running.index] > CAP_FACTOR * mean + CAP_SLACK;
    }
  if (affinity_record (instance->affinity, context, running.target->hash,
                       clk_now (clk_monotonic ())))
    fleet_announce_holder (instance->fleet, context, running.target->hash);
  fleet_count_request (instance->fleet, running.target);
  reg_request_start (running.target);
  simulation->loads[running.index]++;
  simulation->load_sum++;
  add_due (simulation, simulation->reports, REPORT_AFTER_MS, &running);
  add_due (simulation, simulation->ends,
           g_rand_int_range (random, REQUEST_MIN_MS, REQUEST_MAX_MS),
           &running);
}

/* Advances the targets and the clients by one tick.  If the process is late,
   their time passes more slowly too.  */
static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct simulation *simulation = timer->data;
  size_t slot = ++simulation->tick % RING_TICKS;
  clk_ms now = clk_now (clk_monotonic ());

  (void)loop;
  (void)events;
  for (guint i = 0; i < simulation->reports[slot]->len; i++)
    {
      const struct running *running
          = &g_array_index (simulation->reports[slot], struct running, i);

      reg_report_load (running->target, simulation->loads[running->index],
                       now);
      fleet_observe_rate (running->instance->fleet, running->target,
                          simulation->limited
                              && running->index < LIMITED_TARGETS,
                          RATE_PER_S, running->sent_ms);
    }
  for (guint i = 0; i < simulation->ends[slot]->len; i++)
    {
      const struct running *running
          = &g_array_index (simulation->ends[slot], struct running, i);

      reg_request_end (running->target);
      simulation->loads[running->index]--;
      simulation->load_sum--;
    }
  g_array_set_size (simulation->reports[slot], 0);
  g_array_set_size (simulation->ends[slot], 0);
  for (int ms = 0; ms < TICK_MS && !simulation->stopped; ms++)
    if (g_rand_int_range (simulation->random, 0, CLK_MS_PER_S)
        < ARRIVALS_PER_S)
      send_request (simulation);
}

static void
stop_loop (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)timer;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

/* Runs the loop for MS milliseconds.  */
static void
run_for (struct ev_loop *loop, int64_t ms)
{
  ev_timer timer;

  ev_timer_init (&timer, stop_loop, (double)ms / CLK_MS_PER_S, 0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
}

/* Returns how many requests the instances still count at each other's
   targets.  */
static int
count_leftovers (struct simulation *simulation)
{
  int count = 0;

  for (int i = 0; i < simulation->instance_count; i++)
    {
      const GPtrArray *array = simulation->instances[i].registry->array;

      for (guint t = 0; t < array->len; t++)
        {
          const struct reg_target *target = g_ptr_array_index (array, t);

          count += abs (target->others_in_flight);
        }
    }
  return count;
}

static void
stop_instances (struct simulation *simulation)
{
  GArray *peers = simulation->instances[0].settings.peers;

  for (int i = 0; i < simulation->instance_count; i++)
    {
      struct instance *instance = &simulation->instances[i];

      fleet_free (instance->fleet);
      out_pool_clear (&instance->pool);
      g_hash_table_destroy (instance->pool.idle);
      reg_free (instance->registry);
      affinity_free (instance->affinity);
    }
  g_array_free (peers, TRUE);
}

/* Starts COUNT instances with TARGET_COUNT targets, and waits until they know
   each other.  */
static void
start_simulation (struct simulation *simulation, int count, int target_count)
{
  memset (simulation, 0, sizeof *simulation);
  simulation->instance_count = count;
  simulation->loop = ev_loop_new (EVBACKEND_EPOLL);
  simulation->random = g_rand_new_with_seed (SEED);
  for (int i = 0; i < RING_TICKS; i++)
    {
      simulation->ends[i]
          = g_array_new (FALSE, FALSE, sizeof (struct running));
      simulation->reports[i]
          = g_array_new (FALSE, FALSE, sizeof (struct running));
    }
  start_instances (simulation);
  add_targets (simulation, 0, target_count);
  run_for (simulation->loop, HELLO_MS);
  for (int i = 0; i < count; i++)
    CU_ASSERT_EQUAL (fleet_size (simulation->instances[i].fleet),
                     (uint32_t)count);
}

static void
stop_simulation (struct simulation *simulation)
{
  stop_instances (simulation);
  for (int i = 0; i < RING_TICKS; i++)
    {
      g_array_free (simulation->ends[i], TRUE);
      g_array_free (simulation->reports[i], TRUE);
    }
  g_rand_free (simulation->random);
  ev_loop_destroy (simulation->loop);
}

/* The bound falls when empty targets join.  It must not rest on a mean load
   that is too high, as ends of requests are known later than starts.  */
static void
expect_within_bound (int count, double over_bound_max)
{
  static struct simulation simulation;
  ev_timer ticks;

  start_simulation (&simulation, count, FIRST_TARGETS);
  ev_timer_init (&ticks, on_tick, 0, (double)TICK_MS / CLK_MS_PER_S);
  ticks.data = &simulation;
  ev_timer_start (simulation.loop, &ticks);
  run_for (simulation.loop, RAMP_MS);
  add_targets (&simulation, FIRST_TARGETS, TARGETS);
  run_for (simulation.loop, JOIN_MS);
  simulation.measuring = 1;
  run_for (simulation.loop, MEASURED_MS);
  printf ("over the bound: %d of %d, mean load %.1f, known as %.2f more ",
          simulation.over_bound, simulation.sent,
          (double)simulation.load_sum / TARGETS,
          simulation.mean_excess / MAX (simulation.sent, 1));
  CU_ASSERT (simulation.sent > 0);
  CU_ASSERT (simulation.mean_excess <= simulation.sent * MEAN_EXCESS_MAX);
  CU_ASSERT (simulation.over_bound <= simulation.sent * over_bound_max);
  simulation.stopped = 1;
  run_for (simulation.loop, REQUEST_MAX_MS + SETTLE_MS);
  CU_ASSERT_EQUAL (simulation.load_sum, 0);
  CU_ASSERT_EQUAL (count_leftovers (&simulation), 0);
  ev_timer_stop (simulation.loop, &ticks);
  stop_simulation (&simulation);
}

static void
popular_targets_stay_within_bound (void)
{
  expect_within_bound (INSTANCES, OVER_BOUND_AIM);
}

static void
larger_fleet_stays_within_bound (void)
{
  expect_within_bound (INSTANCES_MAX, OVER_BOUND_ALLOWED);
}

/* Relays must not make the counts later than the bound allows.  */
static void
bound_holds_with_relays (void)
{
  uint64_t relayed = metric_get (METRIC_LOAD_RELAY_APPLIED);

  load_relays = 1;
  expect_within_bound (INSTANCES, OVER_BOUND_AIM);
  load_relays = 0;
  CU_ASSERT (metric_get (METRIC_LOAD_RELAY_APPLIED) > relayed);
}

/* Returns the number of requests that the first instance counts for the
   others.  */
static int
count_known_requests (const struct simulation *simulation)
{
  const GPtrArray *array = simulation->instances[0].registry->array;
  int count = 0;

  for (guint t = 0; t < array->len; t++)
    count += ((const struct reg_target *)g_ptr_array_index (array, t))
                 ->others_in_flight;
  return count;
}

/* Checks several times that the first instance counts REQUESTS for the
   others.  */
static void
expect_known_requests (const struct simulation *simulation, int requests)
{
  for (int i = 0; i < KNOWN_CHECKS; i++)
    {
      run_for (simulation->loop, KNOWN_CHECK_MS);
      CU_ASSERT_EQUAL (count_known_requests (simulation), requests);
    }
}

/* There are more of them than one datagram holds.  */
static void
loads_at_all_targets_are_reported (void)
{
  static struct simulation simulation;
  const GPtrArray *targets;

  start_simulation (&simulation, 2, TARGETS);
  targets = simulation.instances[1].registry->array;
  for (int i = 0; i < TARGETS; i++)
    reg_request_start (g_ptr_array_index (targets, i));
  run_for (simulation.loop, KNOWN_CHECK_MS);
  expect_known_requests (&simulation, TARGETS);
  for (int i = 0; i < TARGETS; i++)
    reg_request_end (g_ptr_array_index (targets, i));
  run_for (simulation.loop, KNOWN_CHECK_MS);
  expect_known_requests (&simulation, 0);
  stop_simulation (&simulation);
}

/* Each instance has one long request.  */
static void
loads_of_live_instances_are_kept (void)
{
  static struct simulation simulation;

  start_simulation (&simulation, INSTANCES_MAX, FIRST_TARGETS);
  for (int i = 0; i < INSTANCES_MAX; i++)
    {
      struct registry *registry = simulation.instances[i].registry;

      reg_request_start (g_ptr_array_index (registry->array, i % 2));
    }
  run_for (simulation.loop, 3 * HELLO_MS);
  expect_known_requests (&simulation, INSTANCES_MAX - 1);
  for (int i = 0; i < INSTANCES_MAX; i++)
    reg_request_end (
        g_ptr_array_index (simulation.instances[i].registry->array, i % 2));
  stop_simulation (&simulation);
}

/* Returns how many instances have a part in quarantine.  */
static int
count_quarantines (const struct simulation *simulation)
{
  int count = 0;

  for (int i = 0; i < simulation->instance_count; i++)
    count += (int)fleet_quarantined_count (simulation->instances[i].fleet);
  return count;
}

/* Two instances see the end of a target; at a third the part goes well.  */
/* Guards against choices of an instance that was busy while others told it
   their loads.  */
static void
counts_are_read_before_a_choice (void)
{
  static struct simulation simulation;
  struct instance *busy = &simulation.instances[0];
  struct instance *other = &simulation.instances[1];
  const struct reg_target *known;

  start_simulation (&simulation, 2, 1);
  known = g_ptr_array_index (busy->registry->array, 0);
  ev_io_stop (simulation.loop, &busy->fleet->io);
  reg_request_start (g_ptr_array_index (other->registry->array, 0));
  run_for (simulation.loop, BUSY_MS);
  CU_ASSERT_EQUAL (reg_counted_load (known), 0);
  fleet_hear_loads (busy->fleet);
  CU_ASSERT_EQUAL (reg_counted_load (known), 1);
  reg_request_end (g_ptr_array_index (other->registry->array, 0));
  stop_simulation (&simulation);
}

static void
quarantine_reaches_all_instances (void)
{
  static struct simulation simulation;
  static const uint64_t parts[] = { 10, 11 };
  struct sockaddr_in closed = { .sin_family = AF_INET,
                                .sin_port = free_port (),
                                .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  start_simulation (&simulation, INSTANCES, 1);
  for (int i = 0; i < 2; i++)
    {
      struct quar_crash crash = { .target = 1 + (uint64_t)i,
                                  .strength = QUAR_SUSPECT,
                                  .ended_ms = clk_now (clk_monotonic ()),
                                  .part_count = 2,
                                  .parts = { parts[0], parts[1] } };

      fleet_report_crash (simulation.instances[i].fleet, &closed, &crash);
      run_for (simulation.loop, KNOWN_CHECK_MS);
    }
  run_for (simulation.loop, CONTACT_MS);
  CU_ASSERT_EQUAL (count_quarantines (&simulation), INSTANCES);
  fleet_report_success (simulation.instances[2].fleet, parts, 2);
  run_for (simulation.loop, CONTACT_MS);
  CU_ASSERT_EQUAL (count_quarantines (&simulation), 0);
  stop_simulation (&simulation);
}

/* Returns how many requests the targets from FIRST to LAST got, and in MOST
   the most that one of them got.  */
static int
count_arrivals (const struct simulation *simulation, int first, int last,
                int *most)
{
  int count = 0;

  *most = 0;
  for (int i = first; i < last; i++)
    {
      count += simulation->arrivals[i];
      *most = MAX (*most, simulation->arrivals[i]);
    }
  return count;
}

/* Has the first targets name a rate limit, or become cold if ARE_COLD, or
   neither if they are not LIMITED.  */
static void
limit_targets (struct simulation *simulation, int limited, int are_cold)
{
  clk_ms now = clk_now (clk_monotonic ());

  simulation->limited = limited && !are_cold;
  for (int i = 0; i < simulation->instance_count && are_cold; i++)
    for (int t = 0; t < LIMITED_TARGETS; t++)
      {
        struct instance *instance = &simulation->instances[i];
        struct reg_target *target
            = g_ptr_array_index (instance->registry->array, t);

        target->warm_at_ms = limited ? now + COLD_MS : now;
        fleet_limit_cold (instance->fleet, target, RATE_PER_S, 0);
      }
}

/* The share of an instance would be a request in 104 s.  At least the part
   USED_MIN of what the limits allow has to be used.  */
static void
expect_rate_limits (int are_cold, double used_min)
{
  static struct simulation simulation;
  double allowed = RATE_PER_S * MEASURED_MS / CLK_MS_PER_S;
  ev_timer ticks;
  int most;
  int count;

  start_simulation (&simulation, INSTANCES, TARGETS);
  ev_timer_init (&ticks, on_tick, 0, (double)TICK_MS / CLK_MS_PER_S);
  ticks.data = &simulation;
  ev_timer_start (simulation.loop, &ticks);
  run_for (simulation.loop, RAMP_MS);
  limit_targets (&simulation, 1, are_cold);
  run_for (simulation.loop, CONTACT_MS);
  simulation.measuring = 1;
  run_for (simulation.loop, MEASURED_MS);
  count = count_arrivals (&simulation, 0, LIMITED_TARGETS, &most);
  printf ("%d at most of %.1f, %d of %d in all ", most,
          1.5 * allowed + RATE_SLACK, count, simulation.sent);
  CU_ASSERT (most <= 1.5 * allowed + RATE_SLACK);
  CU_ASSERT (count >= LIMITED_TARGETS * allowed * used_min);
  limit_targets (&simulation, 0, are_cold);
  run_for (simulation.loop, CONTACT_MS);
  memset (simulation.arrivals, 0, sizeof simulation.arrivals);
  run_for (simulation.loop, MEASURED_MS);
  CU_ASSERT (count_arrivals (&simulation, 0, LIMITED_TARGETS, &most)
             > LIMITED_TARGETS * allowed * 2);
  simulation.stopped = 1;
  run_for (simulation.loop, REQUEST_MAX_MS + SETTLE_MS);
  ev_timer_stop (simulation.loop, &ticks);
  stop_simulation (&simulation);
}

static void
rate_limits_hold_in_a_large_fleet (void)
{
  expect_rate_limits (0, 0.5);
}

/* Each instance sends to eight cold targets on average, so that more contexts
   have their homes at warm ones, which take all that come.  */
static void
cold_targets_of_a_large_fleet (void)
{
  expect_rate_limits (1, 0.5);
}
