/* ibismicro: benchmarks of ranking, admission, messages, membership and
   versions of the configuration. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "ibisloom/members.h"
#include "ibisloom/admission.h"
#include "ibisloom/rank.h"
#include "ibisloom/wire.h"
#include "micro.h"

enum
{
  ROUNDS = 20000,
  KEYS = 200000,
  TOP_COUNT = 6,
  P99_INDEX = ROUNDS - ROUNDS / 100
};

static int64_t now_ns (void);
static int compare_int64 (const void *a, const void *b);
static void time_rank (size_t targets);
static void print_moved_share (void);
static void time_admission (void);
static void time_wire (void);
static void time_owner_lookup (size_t instances);

int
main (void)
{
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  time_rank (12);
  time_rank (750);
  time_rank (12000);
  print_moved_share ();
  time_admission ();
  time_wire ();
  time_owner_lookup (9);
  time_owner_lookup (100);
  micro_time_versions (240);
  micro_time_versions (1800);
  return EXIT_SUCCESS;
}

/* Returns the monotonic time in nanoseconds.  */
static int64_t
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static int
compare_int64 (const void *a, const void *b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;

  return (left > right) - (left < right);
}

/* Prints the time to rank TARGETS targets for one key.  */
static void
time_rank (size_t targets)
{
  struct rank_node *nodes = calloc (targets, sizeof *nodes);
  int64_t *times_ns = calloc (ROUNDS, sizeof *times_ns);
  size_t top[TOP_COUNT];
  int64_t sum_ns = 0;

  for (size_t i = 0; i < targets; i++)
    nodes[i] = (struct rank_node){ 0x9e3779b97f4a7c15ULL * (i + 1), 1 };
  for (int i = 0; i < ROUNDS; i++)
    {
      int64_t start_ns = now_ns ();

      rank_top ((uint64_t)i * 0x2545f4914f6cdd1dULL, nodes, targets, top,
                TOP_COUNT);
      times_ns[i] = now_ns () - start_ns;
      sum_ns += times_ns[i];
    }
  qsort (times_ns, ROUNDS, sizeof *times_ns, compare_int64);
  printf ("figure rank_%zu_us %.3f us\n", targets,
          (double)sum_ns / ROUNDS / 1000);
  printf ("figure rank_%zu_p99_us %.3f us\n", targets,
          (double)times_ns[P99_INDEX] / 1000.0);
  free (nodes);
  free (times_ns);
}

/* Prints the share of chats whose home changes when one of 12 targets is
   removed, and the minimum share, that of the chats homed there.  */
static void
print_moved_share (void)
{
  struct rank_node nodes[12];
  size_t top[1];
  int moved = 0;

  for (size_t i = 0; i < 12; i++)
    nodes[i] = (struct rank_node){ 0x9e3779b97f4a7c15ULL * (i + 1), 1 };
  for (uint64_t key = 1; key <= KEYS; key++)
    {
      size_t previous_home;

      nodes[5].weight = 1;
      rank_top (key, nodes, 12, top, 1);
      previous_home = top[0];
      nodes[5].weight = 0;
      rank_top (key, nodes, 12, top, 1);
      moved += previous_home != top[0];
    }
  printf ("figure moved_chats_share %.4f ratio\n", (double)moved / KEYS);
  printf ("figure moved_chats_ideal %.4f ratio\n", 1.0 / 12);
}

/* Prints the time of one admission with its release.  */
static void
time_admission (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = {
    .mean_load = 1000, .load_factor = 1.25, .customer_weight = 1, .slots = 64
  };
  int64_t start_ns = now_ns ();

  for (uint32_t i = 0; i < ROUNDS * 10; i++)
    {
      struct adm_request admission_request = { .target = i % 12 + 1,
                                               .chat = i,
                                               .customer = i % 10,
                                               .instance = i % 9,
                                               .grant = i };
      struct adm_reply reply;

      adm_decide (adm_state, &admission_request, &limits, i / 100, &reply);
      if (i >= 360)
        adm_release (adm_state, (i - 360) % 12 + 1, (i - 360) % 9, i - 360,
                     ADM_OUTCOME_OK, i / 100);
    }
  printf ("figure admission_us %.3f us\n",
          (double)(now_ns () - start_ns) / (ROUNDS * 10.0) / 1000);
  adm_free (adm_state);
}

/* Prints the time to encode and decode one admission request, and the sizes of
   messages.  */
static void
time_wire (void)
{
  struct wire_message message = { .kind = WIRE_ADMISSION_REQUEST,
                                  .sender = 0x87654321,
                                  .incarnation = 900000000,
                                  .sequence = 100000 };
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;
  size_t length = 0;
  int64_t start_ns;

  wire_key_derive (&key, "a secret for the bench only", "bench");
  message.u.admission_request.chat = UINT64_MAX / 3;
  message.u.admission_request.target = message.u.admission_request.customer
      = UINT32_MAX / 3;
  message.u.admission_request.grant = 1000000;
  start_ns = now_ns ();
  for (int i = 0; i < ROUNDS; i++)
    {
      struct wire_message copy;

      length = wire_encode (&message, &key, data);
      if (wire_decode (&copy, &key, data, length) != WIRE_OK)
        abort ();
    }
  printf ("figure wire_round_us %.3f us\n",
          (double)(now_ns () - start_ns) / ROUNDS / 1000);
  printf ("figure ask_bytes %zu bytes\n", length);
  message.kind = WIRE_ADMISSION_ANSWER;
  memset (&message.u, 0, sizeof message.u);
  message.u.answer.grant = 1000000;
  printf ("figure answer_bytes %zu bytes\n",
          wire_encode (&message, &key, data));
  message.kind = WIRE_RELEASE;
  message.u.release.target = UINT32_MAX / 3;
  message.u.release.grant = 1000000;
  printf ("figure release_bytes %zu bytes\n",
          wire_encode (&message, &key, data));
  message.kind = WIRE_HEARTBEAT;
  memset (&message.u, 0, sizeof message.u);
  message.u.heartbeat.revision = 100000;
  message.u.heartbeat.domain = UINT32_MAX / 3;
  message.u.heartbeat.load_count = 2;
  message.u.heartbeat.loads[0] = (struct wire_load){ UINT32_MAX / 3, 20 };
  message.u.heartbeat.loads[1] = (struct wire_load){ UINT32_MAX / 3, 20 };
  printf ("figure heartbeat_bytes %zu bytes\n",
          wire_encode (&message, &key, data));
  message.u.heartbeat.digest_count = WIRE_DIGESTS_MAX;
  for (int i = 0; i < WIRE_DIGESTS_MAX; i++)
    message.u.heartbeat.digests[i]
        = (struct wire_digest){ UINT32_MAX / 3, UINT32_MAX / 3, 20000,
                                UINT32_MAX / 3, 1796350980266,  300 };
  printf ("figure heartbeat_digests_bytes %zu bytes\n",
          wire_encode (&message, &key, data));
}

/* Prints the time to find an owner among INSTANCES members.  */
static void
time_owner_lookup (size_t instances)
{
  struct member_table *member_table = member_table_new (1, 7);
  struct member_info owner;
  struct sockaddr_in address = { 0 };
  int64_t start_ns;

  member_set_self_state (member_table, MEMBER_READY);
  for (uint32_t i = 2; i <= instances; i++)
    {
      struct wire_message heartbeat
          = { .kind = WIRE_HEARTBEAT, .sender = i, .incarnation = 1 };

      heartbeat.u.heartbeat.domain = 7;
      heartbeat.u.heartbeat.state = MEMBER_READY;
      member_heartbeat (member_table, &heartbeat, &address, 1000);
    }
  start_ns = now_ns ();
  for (uint64_t i = 0; i < ROUNDS; i++)
    member_owner (member_table, i * 0x9e3779b97f4a7c15ULL, 7, 0, 1100, &owner);
  printf ("figure owner_among_%zu_us %.3f us\n", instances,
          (double)(now_ns () - start_ns) / ROUNDS / 1000);
  member_table_free (member_table);
}
