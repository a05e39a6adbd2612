/* Load updates between failure domains through relays: scripted datagrams to
   one instance, and fleets of instances in one process.  Each instance listens
   on 127.0.DOMAIN.INDEX, so that socket filters can lose datagrams or cut
   failure domains off from each other.  */
#include <arpa/inet.h>
#include <linux/filter.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/metrics.h"
#include "ibisloom/outbound.h"
#include "ibisloom/rank.h"
#include "libfleet.h"
#include "platform.h"
#include "test.h"

enum
{
  INSTANCES_MAX = 59,
  DOMAINS = 4,
  SMALL_FLEET = 16, /* each peer gets every heartbeat */
  TARGETS = 40,
  LEARN_MS = 8000, /* within which all instances know the relays */
  POLL_MS = 50,
  UPDATE_MS = 150,  /* until an update must have arrived without heartbeats */
  SILENT_MS = 2500, /* until a silent instance must be known to be */
  SETTLE_MS = 2500,
  TICK_MS = 5,
  TRAFFIC_TICKS = 800,
  LOSS_PERCENT = 10,
  SEED = 3
};

/* Requests that are sent in a second by all instances while traffic runs. */
static const double ARRIVALS_PER_S = 300;

struct instance
{
  struct settings settings;
  char name[16];
  char domain[16];
  int domain_index;
  struct out_pool pool;
  struct registry *registry;
  struct affinity *affinity;
  struct fleet *fleet;
  int is_old;                 /* does not know the kinds of relays */
  int unknown;                /* datagrams of such kinds that it received */
  uint64_t foreign_bytes;     /* received from other failure domains */
  uint64_t foreign_updates;   /* of these, in load updates and capabilities */
  int relayed[INSTANCES_MAX]; /* updates passed on to it, by origin */
};

static struct instance instances[INSTANCES_MAX];
static int instance_count;
static struct ev_loop *loop;
static in_port_t port;
static fleet_receive_fn receive;

static void relay_ranks_first (void);
static void relayed_and_direct_in_any_order (void);
static void silent_and_restarted_origins (void);
static void relay_passes_on_once (void);
static void silent_relay_is_replaced (void);
static void divided_domains (void);
static void older_builds (void);
static void restarted_origin (void);
static void counts_with_loss (void);
static void bytes_between_domains (void);

static const struct test_case cases[] = {
  { "the relay ranks first among the peers that can be it",
    relay_ranks_first },
  { "relayed and direct datagrams may arrive in any order",
    relayed_and_direct_in_any_order },
  { "updates of silent and restarted origins", silent_and_restarted_origins },
  { "a relay passes on once, within its limit, and only of the origin",
    relay_passes_on_once },
  { "a silent relay is replaced", silent_relay_is_replaced },
  { "failure domains cut off from each other go on", divided_domains },
  { "older builds get updates directly and are no relays", older_builds },
  { "the counts of a restarted instance replace those before",
    restarted_origin },
  { "counts are equal after traffic with loss", counts_with_loss },
  { "updates cross between failure domains once", bytes_between_domains },
};

TEST_MAIN ("relays", cases)

static void
run_for (int64_t ms)
{
  ev_tstamp end;

  ev_now_update (loop);
  end = ev_now (loop) + (double)ms / CLK_MS_PER_S;
  do
    {
      ev_run (loop, EVRUN_NOWAIT);
      g_usleep (500);
    }
  while (ev_now (loop) < end);
}

/* Hooks into what the instance of FLEET receives: counts it, and has an older
   build not understand new kinds.  */
static void
on_receive (struct fleet *fleet, struct fleet_peer *peer,
            const struct wire_message *message)
{
  struct instance *instance = instances;
  unsigned char data[WIRE_MAX_BYTES];
  uint64_t bytes;

  while (instance->fleet != fleet)
    instance++;
  if (instance->is_old && message->kind >= WIRE_CAPABILITIES)
    {
      instance->unknown += message->kind != WIRE_CAPABILITIES;
      return;
    }
  if (message->kind == WIRE_RELAYED_LOADS)
    for (int i = 0; i < instance_count; i++)
      instance->relayed[i] += message->u.relayed.origin
                              == (uint32_t)rank_hash (instances[i].name);
  if (peer->domain != 0 && peer->domain != fleet->domain)
    {
      bytes = wire_encode (message, &fleet->key, data);
      instance->foreign_bytes += bytes;
      if (message->kind == WIRE_LOADS || message->kind >= WIRE_CAPABILITIES)
        instance->foreign_updates += bytes;
    }
  receive (fleet, peer, message);
}

static void
add_targets (struct instance *instance)
{
  for (int t = 0; t < TARGETS; t++)
    {
      struct reg_entry entry = { .service = "pool", .slots = 8 };

      g_snprintf (entry.id, sizeof entry.id, "t-%d", t);
      g_strlcpy (entry.failure_domain, "d-0", sizeof entry.failure_domain);
      entry.address.sin_port = htons ((uint16_t)(1 + t));
      reg_put (instance->registry, &entry, (struct position){ .revision = 1 },
               0);
    }
}

static void
create_instance (struct instance *instance)
{
  instance->registry = reg_new ();
  instance->affinity = affinity_new ();
  out_pool_init (&instance->pool, loop);
  instance->fleet = fleet_new (&instance->settings, loop, &instance->pool,
                               plat_dialect.store, plat_dialect.members_kind,
                               instance->registry, instance->affinity, NULL);
  if (instance->fleet == NULL)
    abort ();
  receive = instance->fleet->receive;
  instance->fleet->receive = on_receive;
  add_targets (instance);
}

static void
destroy_instance (struct instance *instance)
{
  fleet_free (instance->fleet);
  for (int t = 0; t < TARGETS; t++)
    {
      struct reg_target *target
          = g_ptr_array_index (instance->registry->array, t);

      while (target->in_flight > 0)
        reg_request_end (target);
    }
  out_pool_clear (&instance->pool);
  g_hash_table_destroy (instance->pool.idle);
  reg_free (instance->registry);
  affinity_free (instance->affinity);
}

/* Creates COUNT instances, spread over the failure domains.  */
static void
create_instances (int count, int load_relays)
{
  struct sockaddr_in any = { .sin_family = AF_INET };
  socklen_t size = sizeof any;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));

  CU_ASSERT_EQUAL_FATAL (bind (fd, (struct sockaddr *)&any, size), 0);
  getsockname (fd, (struct sockaddr *)&any, &size);
  close (fd);
  port = any.sin_port;
  loop = ev_loop_new (EVBACKEND_EPOLL);
  memset (instances, 0, sizeof instances);
  instance_count = count;
  for (int i = 0; i < count; i++)
    {
      struct instance *instance = &instances[i];
      struct settings *settings = &instance->settings;

      instance->domain_index = i % DOMAINS;
      g_snprintf (instance->name, sizeof instance->name, "i-%d", i);
      g_snprintf (instance->domain, sizeof instance->domain, "d-%d",
                  instance->domain_index);
      settings->instance = instance->name;
      settings->deployment = (char *)(uintptr_t) "test";
      settings->failure_domain = instance->domain;
      settings->peers = peers;
      settings->load_relays = load_relays;
      settings->peer_listen = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = port,
        .sin_addr.s_addr
        = htonl (INADDR_LOOPBACK + 0x100 * (uint32_t)(1 + i % DOMAINS)
                 + (uint32_t)i)
      };
      settings->platform = settings->peer_listen; /* nobody listens there */
      g_array_append_val (peers, settings->peer_listen);
    }
  for (int i = 0; i < count; i++)
    create_instance (&instances[i]);
}

static void
destroy_instances (void)
{
  GArray *peers = instances[0].settings.peers;

  for (int i = 0; i < instance_count; i++)
    destroy_instance (&instances[i]);
  g_array_free (peers, TRUE);
  ev_loop_destroy (loop);
}

/* Returns whether instance I knows all others, and knows that those can relay
   which use relays.  */
static int
knows_relays (int i)
{
  struct fleet *fleet = instances[i].fleet;
  clk_ms now = clk_now (clk_monotonic ());
  int known = 1;

  for (int j = 0; j < instance_count; j++)
    {
      const struct fleet_peer *peer = g_hash_table_lookup (
          fleet->peers,
          GUINT_TO_POINTER ((uint32_t)rank_hash (instances[j].name)));

      if (j != i)
        known &= peer != NULL && !fleet_is_silent (fleet, peer, now)
                 && peer->domain == instances[j].fleet->domain
                 && fleet_can_relay (peer)
                        == (instances[j].settings.load_relays
                            && !instances[i].is_old);
    }
  return known;
}

/* Waits until all instances know the relays.  */
static void
await_relays (void)
{
  int knowing = 0;

  for (int ms = 0; ms < LEARN_MS && knowing < instance_count; ms += POLL_MS)
    {
      run_for (POLL_MS);
      knowing = 0;
      for (int i = 0; i < instance_count; i++)
        knowing += knows_relays (i);
    }
  CU_ASSERT_EQUAL_FATAL (knowing, instance_count);
}

static void
start_fleet (int count, int load_relays)
{
  create_instances (count, load_relays);
  for (int i = 0; i < count; i++)
    fleet_start (instances[i].fleet);
  await_relays ();
}

static struct reg_target *
target_of (int instance, int target)
{
  return g_ptr_array_index (instances[instance].registry->array, target);
}

/* Returns how many requests of the others instance I counts wrongly.  */
static int
count_errors (int i)
{
  int errors = 0;

  for (int t = 0; t < TARGETS; t++)
    {
      int others = 0;

      for (int j = 0; j < instance_count; j++)
        others += j != i ? (int)target_of (j, t)->in_flight : 0;
      errors += abs (target_of (i, t)->others_in_flight - others);
    }
  return errors;
}

static int
count_all_errors (void)
{
  int errors = 0;

  for (int i = 0; i < instance_count; i++)
    errors += count_errors (i);
  return errors;
}

static struct fleet_peer *
peer_at (int instance, int peer)
{
  return fleet_get_peer (instances[instance].fleet,
                         (uint32_t)rank_hash (instances[peer].name));
}

/* Returns the index of the relay of DOMAIN for instance I, or -1.  */
static int
relay_of (int i, int domain)
{
  uint32_t candidates;
  const struct fleet_peer *relay
      = fleet_pick_relay (instances[i].fleet, instances[domain].fleet->domain,
                          clk_now (clk_monotonic ()), &candidates);

  for (int j = 0; relay != NULL && j < instance_count; j++)
    if (relay->id == (uint32_t)rank_hash (instances[j].name))
      return j;
  return -1;
}

/* A relay that cannot pass on would keep its domain from all updates, and one
   that serves all senders would have too much to send.  */
static void
relay_ranks_first (void)
{
  int senders[INSTANCES_MAX] = { 0 };
  clk_ms now = clk_now (clk_monotonic ());
  struct fleet_peer *peer;
  int relay;

  create_instances (INSTANCES_MAX, 1);
  for (int i = 0; i < INSTANCES_MAX; i++)
    for (int j = 1; j < INSTANCES_MAX; j += DOMAINS)
      if (i % DOMAINS != 1)
        {
          CU_ASSERT (relay_of (i, 1) != j);
          peer = peer_at (i, j);
          peer->domain = instances[j].fleet->domain;
          peer->incarnation = 7;
          peer->last_seen_ms = now;
          fleet_apply_capabilities (
              peer, &(struct wire_capabilities){ WIRE_CAN_RELAY_LOADS });
        }
  for (int i = 0; i < INSTANCES_MAX; i++)
    if (i % DOMAINS != 1)
      senders[relay_of (i, 1)]++;
  for (int j = 1; j < INSTANCES_MAX; j += DOMAINS)
    CU_ASSERT (senders[j] <= 10);
  relay = relay_of (0, 1);
  CU_ASSERT_FATAL (relay >= 0);
  peer_at (0, relay)->state = MEMBER_LEAVING;
  CU_ASSERT (relay_of (0, 1) != relay);
  peer_at (0, relay)->state = MEMBER_READY;
  peer_at (0, relay)->last_seen_ms = now - LEARN_MS;
  CU_ASSERT (relay_of (0, 1) != relay);
  peer_at (0, relay)->last_seen_ms = now;
  peer_at (0, relay)->incarnation++; /* another process, perhaps older */
  CU_ASSERT (relay_of (0, 1) != relay);
  peer_at (0, relay)->incarnation--;
  CU_ASSERT_EQUAL (relay_of (0, 1), relay);
  destroy_instances ();
}

/* Lets the first instance receive MESSAGE of KIND from SENDER, by its FD.  */
static void
tell (int fd, int sender, uint64_t incarnation, uint64_t sequence,
      struct wire_message *message)
{
  struct fleet *fleet = instances[0].fleet;
  unsigned char data[WIRE_MAX_BYTES];
  size_t length;

  message->sender = (uint32_t)rank_hash (instances[sender].name);
  message->incarnation = incarnation;
  message->sequence = sequence;
  length = wire_encode (message, &fleet->key, data);
  CU_ASSERT (length > 0);
  CU_ASSERT (sendto (fd, data, length, 0,
                     (struct sockaddr *)&instances[0].settings.peer_listen,
                     sizeof (struct sockaddr_in))
             == (ssize_t)length);
  fleet_on_datagram (NULL, &fleet->io, 0);
}

/* Tells of LOAD requests of SENDER at TARGET by its heartbeat.  */
static void
tell_heartbeat (int sender, uint64_t incarnation, uint64_t sequence,
                int target, uint32_t load)
{
  struct wire_message message
      = { .kind = WIRE_HEARTBEAT,
          .u.heartbeat
          = { .domain = instances[sender].fleet->domain,
              .state = MEMBER_READY,
              .load_count = 1,
              .loads[0] = { target_of (0, target)->hash, load } } };

  tell (instances[sender].fleet->fd, sender, incarnation, sequence, &message);
}

/* The same by a load update of KIND.  */
static void
tell_update (enum wire_kind kind, int sender, uint64_t sequence, int target,
             uint32_t load)
{
  struct wire_message message = { .kind = kind };

  message.u.loads.count = 1;
  message.u.loads.load[0]
      = (struct wire_load){ target_of (0, target)->hash, load };
  tell (instances[sender].fleet->fd, sender, 1, sequence, &message);
}

/* The same by one of the instance 1 that instance 4, a relay, passes on.  */
static void
tell_relayed (uint64_t incarnation, uint64_t sequence, int target,
              uint32_t load)
{
  static uint64_t relay_sequence = 1000;
  struct wire_message message
      = { .kind = WIRE_RELAYED_LOADS,
          .u.relayed = { .origin = (uint32_t)rank_hash (instances[1].name),
                         .incarnation = incarnation,
                         .sequence = sequence } };

  message.u.relayed.loads.count = 1;
  message.u.relayed.loads.load[0]
      = (struct wire_load){ target_of (0, target)->hash, load };
  tell (instances[4].fleet->fd, 4, 1, ++relay_sequence, &message);
}

static void
expect_loads (int first, int second)
{
  CU_ASSERT_EQUAL (target_of (0, 0)->others_in_flight, first);
  CU_ASSERT_EQUAL (target_of (0, 1)->others_in_flight, second);
}

/* An older count in place of a newer one would last until the next
   heartbeat.  */
static void
relayed_and_direct_in_any_order (void)
{
  uint64_t unknown = metric_get (METRIC_LOAD_RELAY_UNKNOWN);
  uint64_t old = metric_get (METRIC_LOAD_RELAY_OLD);
  uint64_t applied = metric_get (METRIC_LOAD_RELAY_APPLIED);
  struct fleet_peer *origin;
  struct sockaddr_in address;

  create_instances (SMALL_FLEET, 1);
  tell_relayed (1, 5, 0, 3); /* of an unknown origin */
  expect_loads (0, 0);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_UNKNOWN), unknown + 1);
  tell_heartbeat (1, 1, 10, 0, 5);
  expect_loads (5, 0);
  origin = peer_at (0, 1);
  address = origin->address;
  origin->last_seen_ms -= POLL_MS;
  tell_relayed (1, 20, 0, 6);
  expect_loads (6, 0);
  CU_ASSERT_EQUAL (memcmp (&address, &origin->address, sizeof address), 0);
  CU_ASSERT (clk_now (clk_monotonic ()) - origin->last_seen_ms >= POLL_MS);
  CU_ASSERT_EQUAL (origin->sequence, 10);
  tell_update (WIRE_LOADS, 1, 15, 0, 4); /* older than the relayed one */
  tell_update (WIRE_LOADS, 1, 16, 1, 2);
  expect_loads (6, 2);
  tell_heartbeat (1, 1, 17, 1, 8); /* has none at the first target */
  expect_loads (6, 8);
  tell_relayed (1, 14, 1, 1); /* older than the heartbeat */
  tell_relayed (1, 20, 0, 1); /* a duplicate */
  expect_loads (6, 8);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_OLD), old + 2);
  tell_update (WIRE_LOADS, 1, 22, 0, 7);
  tell_relayed (1, 21, 1, 9); /* older, but of another target */
  tell_relayed (1, 21, 0, 1);
  expect_loads (7, 9);
  tell_heartbeat (1, 1, 30, 0, 1);
  expect_loads (1, 0);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_APPLIED), applied + 2);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_UNKNOWN), unknown + 1);
  destroy_instances ();
}

/* Sequence numbers begin anew with a process, and its death must be seen
   whatever relays still bring.  */
static void
silent_and_restarted_origins (void)
{
  uint64_t unknown = metric_get (METRIC_LOAD_RELAY_UNKNOWN);

  create_instances (SMALL_FLEET, 1);
  tell_heartbeat (1, 1, 100, 0, 5);
  tell_relayed (2, 3, 1, 4); /* of the next process */
  expect_loads (5, 4);
  tell_heartbeat (1, 1, 101, 0, 6); /* late, of the process before */
  tell_relayed (1, 102, 1, 7);
  expect_loads (5, 4);
  tell_heartbeat (1, 2, 2, 0, 1);
  expect_loads (1, 4);
  tell_heartbeat (1, 2, 4, 0, 2);
  expect_loads (2, 0);
  peer_at (0, 1)->last_seen_ms -= LEARN_MS;
  tell_relayed (2, 5, 1, 3);
  expect_loads (2, 0);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_UNKNOWN), unknown + 1);
  destroy_instances ();
}

/* Returns how many relayed updates instance I has got, the last one in
   LAST.  */
static int
read_relayed (int i, struct wire_message *last)
{
  struct wire_message message;
  unsigned char data[WIRE_MAX_BYTES];
  ssize_t length;
  int count = 0;

  while ((length = recv (instances[i].fleet->fd, data, sizeof data, 0)) > 0)
    if (wire_decode (&message, &instances[i].fleet->key, data, (size_t)length)
            == WIRE_OK
        && message.kind == WIRE_RELAYED_LOADS)
      {
        *last = message;
        count++;
      }
  return count;
}

/* Datagrams that relays pass on to each other would multiply.  Instances 4 and
   8 are in the domain of the first one, and 8 has told no capabilities.  */
static void
relay_passes_on_once (void)
{
  struct wire_message last = { 0 };
  struct wire_message can = { .kind = WIRE_CAPABILITIES,
                              .u.capabilities.bits = WIRE_CAN_RELAY_LOADS };
  uint64_t limited = metric_get (METRIC_LOAD_RELAY_LIMITED);
  uint64_t forwarded = metric_get (METRIC_LOAD_RELAY_FORWARDED);

  create_instances (SMALL_FLEET, 1);
  for (int i = 1; i < SMALL_FLEET; i++)
    {
      tell_heartbeat (i, 1, 1, 0, 0);
      if (i != 8)
        tell (instances[i].fleet->fd, i, 1, 2, &can);
    }
  tell_update (WIRE_RELAY_LOADS, 1, 7, 0, 3);
  expect_loads (3, 0);
  CU_ASSERT_EQUAL (read_relayed (4, &last), 1);
  CU_ASSERT_EQUAL (last.u.relayed.origin,
                   (uint32_t)rank_hash (instances[1].name));
  CU_ASSERT_EQUAL (last.u.relayed.incarnation, 1);
  CU_ASSERT_EQUAL (last.u.relayed.sequence, 7);
  CU_ASSERT_EQUAL (last.u.relayed.loads.load[0].load, 3);
  tell_update (WIRE_RELAY_LOADS, 1, 7, 0, 3); /* a duplicate */
  tell_update (WIRE_LOADS, 1, 8, 0, 4);
  tell_update (WIRE_RELAY_LOADS, 12, 9, 0, 4); /* of the same domain */
  tell_relayed (1, 9, 0, 5);
  CU_ASSERT_EQUAL (read_relayed (4, &last), 0);
  for (int i = 1; i < SMALL_FLEET; i++)
    CU_ASSERT (i % DOMAINS != 0 || i == 12 || read_relayed (i, &last) == 0);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_FORWARDED), forwarded + 1);
  instances[0].fleet->forward_credit = 0;
  instances[0].fleet->forward_credit_ms = clk_now (clk_monotonic ()) + 1000;
  tell_update (WIRE_RELAY_LOADS, 1, 10, 0, 6);
  expect_loads (10, 0);
  CU_ASSERT_EQUAL (metric_get (METRIC_LOAD_RELAY_LIMITED), limited + 1);
  CU_ASSERT_EQUAL (read_relayed (4, &last), 0);
  destroy_instances ();
}

/* Returns how many updates of the first instance the others of DOMAIN have got
   from a relay.  */
static int
count_relayed (int domain)
{
  int count = 0;

  for (int i = domain; i < instance_count; i += DOMAINS)
    count += instances[i].relayed[0];
  return count;
}

/* Starts a request of the first instance and returns how many others of DOMAIN
   get to know of it from a relay.  */
static int
start_and_count (int domain)
{
  int before = count_relayed (domain);

  reg_request_start (target_of (0, 0));
  run_for (UPDATE_MS);
  return count_relayed (domain) - before;
}

/* Until it is known to be silent its domain gets heartbeats only.  */
static void
silent_relay_is_replaced (void)
{
  int relay;

  start_fleet (SMALL_FLEET, 1);
  relay = relay_of (0, 1);
  CU_ASSERT_EQUAL (start_and_count (1), SMALL_FLEET / DOMAINS - 1);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  ev_io_stop (loop, &instances[relay].fleet->io);
  ev_timer_stop (loop, &instances[relay].fleet->heartbeat);
  CU_ASSERT_EQUAL (start_and_count (1), 0);
  run_for (SILENT_MS);
  CU_ASSERT (relay_of (0, 1) != relay);
  CU_ASSERT_EQUAL (start_and_count (1), SMALL_FLEET / DOMAINS - 2);
  CU_ASSERT_EQUAL (count_all_errors (), count_errors (relay));
  ev_io_start (loop, &instances[relay].fleet->io);
  ev_timer_start (loop, &instances[relay].fleet->heartbeat);
  run_for (SILENT_MS);
  CU_ASSERT_EQUAL (relay_of (0, 1), relay);
  CU_ASSERT_EQUAL (start_and_count (1), SMALL_FLEET / DOMAINS - 1);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  destroy_instances ();
}

/* Has all instances lose PERCENT of the datagrams to them, and if IS_DIVIDED,
   all of other failure domains.  */
static void
lose_datagrams (int is_divided, uint32_t percent)
{
  for (int i = 0; i < instance_count; i++)
    {
      uint32_t third_byte = 1 + (uint32_t)instances[i].domain_index;
      struct sock_filter code[] = {
        BPF_STMT (BPF_LD | BPF_W | BPF_ABS,
                  (uint32_t)(SKF_AD_OFF + SKF_AD_RANDOM)),
        BPF_STMT (BPF_ALU | BPF_MOD | BPF_K, 100),
        BPF_JUMP (BPF_JMP | BPF_JGE | BPF_K, percent, 0, 3),
        BPF_STMT (BPF_LD | BPF_B | BPF_ABS,
                  (uint32_t)(SKF_NET_OFF + 14)), /* of the sender's address */
        BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, third_byte, 0,
                  is_divided ? 1 : 0),
        BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
        BPF_STMT (BPF_RET | BPF_K, 0),
      };
      struct sock_fprog program = { G_N_ELEMENTS (code), code };

      CU_ASSERT_EQUAL_FATAL (setsockopt (instances[i].fleet->fd, SOL_SOCKET,
                                         SO_ATTACH_FILTER, &program,
                                         sizeof program),
                             0);
    }
}

/* Updates that relays bring must not keep the counts of instances that cannot
   be reached, nor hold up those within a failure domain.  */
static void
divided_domains (void)
{
  start_fleet (SMALL_FLEET, 1);
  for (int i = 0; i < SMALL_FLEET; i++)
    reg_request_start (target_of (i, i));
  run_for (UPDATE_MS);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  lose_datagrams (1, 0);
  run_for (SILENT_MS);
  reg_request_start (target_of (0, 0));
  run_for (UPDATE_MS);
  for (int i = 0; i < SMALL_FLEET; i++)
    for (int t = 0; t < SMALL_FLEET; t++)
      CU_ASSERT_EQUAL (target_of (i, t)->others_in_flight,
                       t == i || t % DOMAINS != i % DOMAINS ? 0
                       : t == 0                             ? 2
                                                            : 1);
  CU_ASSERT_EQUAL (relay_of (0, 1), -1);
  lose_datagrams (0, 0);
  run_for (SILENT_MS);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  CU_ASSERT_EQUAL (start_and_count (1), SMALL_FLEET / DOMAINS - 1);
  destroy_instances ();
}

/* Two instances of domain 1 and all of domain 2 are of an older build, which
   takes datagrams of new kinds for damaged.  */
static void
older_builds (void)
{
  create_instances (SMALL_FLEET, 1);
  for (int i = 0; i < SMALL_FLEET; i++)
    {
      instances[i].is_old = i == 1 || i == 5 || i % DOMAINS == 2;
      instances[i].settings.load_relays = !instances[i].is_old;
    }
  for (int i = 0; i < SMALL_FLEET; i++)
    fleet_start (instances[i].fleet);
  await_relays ();
  CU_ASSERT_EQUAL (relay_of (0, 2), -1);
  CU_ASSERT_EQUAL (start_and_count (1), 1);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  for (int i = 1; i < SMALL_FLEET; i++)
    {
      CU_ASSERT_EQUAL (
          fleet_traffic (instances[i].fleet, WIRE_LOADS)->received,
          instances[i].is_old || i % DOMAINS == 0);
      CU_ASSERT_EQUAL (instances[i].unknown, 0);
    }
  destroy_instances ();
}

/* The process after a restart counts its sequence from one again.  Switching
   relays off by a reload is known as soon.  */
static void
restarted_origin (void)
{
  struct settings without;

  start_fleet (SMALL_FLEET, 1);
  start_and_count (1);
  destroy_instance (&instances[0]);
  create_instance (&instances[0]);
  fleet_start (instances[0].fleet);
  run_for (SETTLE_MS);
  await_relays ();
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  CU_ASSERT_EQUAL (start_and_count (1), SMALL_FLEET / DOMAINS - 1);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  without = instances[1].settings;
  without.load_relays = 0;
  for (int i = 1; i < SMALL_FLEET; i += DOMAINS)
    fleet_set_settings (instances[i].fleet, &without);
  run_for (SILENT_MS);
  CU_ASSERT_EQUAL (relay_of (0, 1), -1);
  CU_ASSERT_EQUAL (start_and_count (1), 0);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  destroy_instances ();
}

/* Starts and ends requests for TRAFFIC_TICKS, the same in each run.  Returns
   how many requests of the others an instance counted wrongly on average.  */
static double
run_traffic (void)
{
  GRand *random = g_rand_new_with_seed (SEED);
  double errors = 0;

  for (int tick = 0; tick < TRAFFIC_TICKS; tick++)
    {
      for (int i = 0; i < instance_count; i++)
        {
          struct reg_target *target
              = target_of (i, g_rand_int_range (random, 0, TARGETS));
          double chance = g_rand_double (random);

          if (target->in_flight > 0)
            reg_request_end (target);
          else if (chance
                   < ARRIVALS_PER_S * TICK_MS / CLK_MS_PER_S / instance_count)
            reg_request_start (target);
        }
      run_for (TICK_MS);
      errors += count_all_errors ();
    }
  g_rand_free (random);
  return errors / TRAFFIC_TICKS / instance_count;
}

/* Capabilities get lost too; only the first heartbeats do not, as without a
   store instances know each other by these alone.  */
static void
counts_with_loss (void)
{
  create_instances (SMALL_FLEET, 1);
  for (int i = 0; i < SMALL_FLEET; i++)
    fleet_start (instances[i].fleet);
  run_for (FLEET_HEARTBEAT_MS * 3 / 2);
  lose_datagrams (0, LOSS_PERCENT);
  await_relays ();
  run_traffic ();
  run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  destroy_instances ();
}

/* Runs the same traffic with or without relays.  Returns the bytes that
   crossed between failure domains, and in UPDATES those of load updates and
   capabilities.  */
static uint64_t
measure_bytes (int load_relays, uint64_t *updates)
{
  uint64_t bytes = 0;
  double error;

  start_fleet (INSTANCES_MAX, load_relays);
  for (int i = 0; i < instance_count; i++)
    instances[i].foreign_bytes = instances[i].foreign_updates = 0;
  error = run_traffic ();
  *updates = 0;
  for (int i = 0; i < instance_count; i++)
    {
      bytes += instances[i].foreign_bytes;
      *updates += instances[i].foreign_updates;
    }
  printf ("\n  %s relays: %.3f MB between domains, %.3f of them load updates, "
          "%.2f requests counted wrongly ",
          load_relays ? "with" : "without", (double)bytes / 1e6,
          (double)*updates / 1e6, error);
  run_for (SETTLE_MS);
  CU_ASSERT_EQUAL (count_all_errors (), 0);
  destroy_instances ();
  return bytes;
}

/* 59 instances in four domains: an update went to 44 peers elsewhere.  */
static void
bytes_between_domains (void)
{
  uint64_t direct_updates;
  uint64_t relayed_updates;
  uint64_t direct = measure_bytes (0, &direct_updates);
  uint64_t relayed = measure_bytes (1, &relayed_updates);

  CU_ASSERT (relayed_updates * 4 < direct_updates);
  CU_ASSERT (relayed < direct);
}
