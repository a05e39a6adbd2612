/* Membership, control traffic budget and datagrams, in virtual time. */
#include <string.h>

#include <sodium.h>

#include "ibisloom/budget.h"
#include "ibisloom/members.h"
#include "test.h"

static struct wire_message heartbeat_of (uint32_t sender,
                                         uint64_t incarnation);
static void owners_agree (void);
static void silent_member_loses_ownership (void);
static void flapping_member_is_held_down (void);
static void old_and_replayed_are_rejected (void);
static void digest_adds_and_refreshes_member (void);
static void budget_enforces_rate_and_priority (void);
static void wire_round_trip (void);
static void origins_round_trip (void);
static void wire_rejects_tampering (void);
static void wire_rejects_random_bytes (void);
static void heartbeat_fits_many_loads (void);

static const struct test_case cases[] = {
  { "instances with equal views agree on owners", owners_agree },
  { "a silent member owns nothing", silent_member_loses_ownership },
  { "a flapping member is held down", flapping_member_is_held_down },
  { "old and replayed datagrams are rejected", old_and_replayed_are_rejected },
  { "a digest adds and refreshes a member", digest_adds_and_refreshes_member },
  { "the budget enforces rate and priority",
    budget_enforces_rate_and_priority },
  { "messages survive encoding and decoding", wire_round_trip },
  { "origins of streams survive encoding and decoding", origins_round_trip },
  { "a heartbeat fits the loads of many targets", heartbeat_fits_many_loads },
  { "tampered messages are rejected", wire_rejects_tampering },
  { "random bytes are rejected", wire_rejects_random_bytes },
};

TEST_MAIN ("members", cases)

/* Returns a heartbeat of SENDER, ready in failure domain 1.  */
static struct wire_message
heartbeat_of (uint32_t sender, uint64_t incarnation)
{
  struct wire_message message = { .kind = WIRE_HEARTBEAT,
                                  .sender = sender,
                                  .incarnation = incarnation };

  message.u.heartbeat.domain = 1;
  message.u.heartbeat.state = MEMBER_READY;
  return message;
}

static void
owners_agree (void)
{
  struct member_table *views[3];
  struct sockaddr_in from = { 0 };

  for (uint32_t self = 0; self < 3; self++)
    {
      views[self] = member_table_new (self + 1, 1);
      member_set_self_state (views[self], MEMBER_READY);
      for (uint32_t other = 1; other <= 3; other++)
        {
          struct wire_message heartbeat = heartbeat_of (other, 1);

          if (other != self + 1)
            member_heartbeat (views[self], &heartbeat, &from, 100);
        }
    }
  for (uint64_t key = 1; key < 500; key++)
    {
      uint32_t owner = 0;

      for (uint32_t self = 0; self < 3; self++)
        {
          struct member_info member;
          int found = member_owner (views[self], key, 1, 0, 200, &member);
          uint32_t id = found == 0 ? self + 1 : member.id;

          CU_ASSERT (found >= 0);
          CU_ASSERT (self == 0 || id == owner);
          owner = id;
        }
    }
  for (int i = 0; i < 3; i++)
    member_table_free (views[i]);
}

static void
silent_member_loses_ownership (void)
{
  struct member_table *member_table = member_table_new (1, 1);
  struct wire_message heartbeat = heartbeat_of (2, 1);
  struct sockaddr_in from = { 0 };
  struct member_info owner;
  uint32_t gone[4];

  member_heartbeat (member_table, &heartbeat, &from, 0);
  CU_ASSERT_EQUAL (member_owner (member_table, 9, 1, 0, 10, &owner), 1);
  CU_ASSERT_EQUAL (
      member_owner (member_table, 9, 1, 0, MEMBER_SUSPECT_MS, &owner), -1);
  CU_ASSERT_EQUAL (member_expire (member_table, MEMBER_GONE_MS - 1, gone, 4),
                   0);
  CU_ASSERT_EQUAL (member_expire (member_table, MEMBER_GONE_MS, gone, 4), 1);
  CU_ASSERT_EQUAL (gone[0], 2);
  CU_ASSERT_EQUAL (member_expire (member_table, MEMBER_GONE_MS + 1, gone, 4),
                   0);
  member_table_free (member_table);
}

static void
flapping_member_is_held_down (void)
{
  struct member_table *member_table = member_table_new (1, 1);
  struct sockaddr_in from = { 0 };
  struct member_info member;

  for (uint64_t incarnation = 1; incarnation <= 4; incarnation++)
    {
      struct wire_message heartbeat = heartbeat_of (2, incarnation);

      member_heartbeat (member_table, &heartbeat, &from,
                        (clk_ms)incarnation * 100);
    }
  CU_ASSERT_EQUAL (member_list (member_table, &member, 1), 1);
  CU_ASSERT_EQUAL (member.flap_count, 3);
  CU_ASSERT (!member_is_usable (&member, 401));
  CU_ASSERT (member.hold_down_until_ms > 400);
  member.last_seen_ms = member.hold_down_until_ms;
  CU_ASSERT (member_is_usable (&member, member.hold_down_until_ms));
  member_table_free (member_table);
}

static void
old_and_replayed_are_rejected (void)
{
  struct member_table *member_table = member_table_new (1, 1);
  struct wire_message heartbeat = heartbeat_of (2, 5);
  struct sockaddr_in from = { 0 };

  CU_ASSERT (member_accept_sequence (member_table, 2, 5, 10));
  member_heartbeat (member_table, &heartbeat, &from, 0);
  CU_ASSERT (member_accept_sequence (member_table, 2, 5, 12));
  CU_ASSERT (member_accept_sequence (member_table, 2, 5, 11));
  CU_ASSERT (!member_accept_sequence (member_table, 2, 5, 11));
  CU_ASSERT (!member_accept_sequence (member_table, 2, 5, 12));
  CU_ASSERT (member_accept_sequence (member_table, 2, 5, 200));
  CU_ASSERT (!member_accept_sequence (member_table, 2, 5, 100));
  CU_ASSERT (!member_accept_sequence (member_table, 2, 4, 300));
  heartbeat = heartbeat_of (2, 4);
  CU_ASSERT_EQUAL (member_heartbeat (member_table, &heartbeat, &from, 1),
                   MEMBER_CHANGE_STALE);
  member_table_free (member_table);
}

static void
digest_adds_and_refreshes_member (void)
{
  struct member_table *member_table = member_table_new (1, 1);
  struct wire_digest digest
      = { .instance = 3, .domain = 1, .incarnation = 2, .age_ms = 100 };
  struct member_info owner;

  CU_ASSERT_EQUAL (member_digest (member_table, &digest, 1000),
                   MEMBER_CHANGE_JOINED);
  CU_ASSERT_EQUAL (member_owner (member_table, 4, 1, 0, 1100, &owner), 1);
  CU_ASSERT_EQUAL (member_digest (member_table, &digest, 5000),
                   MEMBER_CHANGE_NONE);
  CU_ASSERT_EQUAL (member_owner (member_table, 4, 1, 0, 5000, &owner), 1);
  digest.age_ms = MEMBER_SUSPECT_MS;
  member_digest (member_table, &digest, 9000);
  CU_ASSERT_EQUAL (member_owner (member_table, 4, 1, 0, 9000, &owner), -1);
  member_table_free (member_table);
}

static void
budget_enforces_rate_and_priority (void)
{
  struct byte_budget byte_budget;
  int64_t sent = 0;

  budget_init (&byte_budget, 1000, 0);
  for (clk_ms now = 0; now < 60000; now += 10)
    {
      sent += 50 * budget_consume (&byte_budget, BUDGET_NOTE, 50, now);
      sent += 50 * budget_consume (&byte_budget, BUDGET_REQUEST, 50, now);
    }
  CU_ASSERT (sent <= 62 * 1000);
  /* A more important class still passes when a less important one does
     not.  */
  while (budget_consume (&byte_budget, BUDGET_REQUEST, 50, 60000))
    continue;
  CU_ASSERT (!budget_consume (&byte_budget, BUDGET_NOTE, 50, 60000));
  CU_ASSERT (budget_consume (&byte_budget, BUDGET_ANSWER, 50, 60000));
  while (budget_consume (&byte_budget, BUDGET_ANSWER, 50, 60000))
    continue;
  CU_ASSERT (budget_consume (&byte_budget, BUDGET_HEARTBEAT, 50, 60000));
}

static void
wire_round_trip (void)
{
  struct wire_message message = heartbeat_of (7, 8);
  struct wire_message copy;
  unsigned char data[WIRE_MAX_BYTES];
  unsigned char again[WIRE_MAX_BYTES];
  struct wire_key key;
  size_t length;

  CU_ASSERT (sodium_init () >= 0);
  wire_key_derive (&key, "a secret of the test", "d");
  message.u.heartbeat.load_count = 1;
  message.u.heartbeat.loads[0] = (struct wire_load){ 5, 6 };
  message.u.heartbeat.leaving_count = 1;
  message.u.heartbeat.leaving[0] = 99;
  message.u.heartbeat.digest_count = 1;
  message.u.heartbeat.digests[0].port = 4711;
  length = wire_encode (&message, &key, data);
  CU_ASSERT (length > 0);
  CU_ASSERT_EQUAL (wire_decode (&copy, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (wire_encode (&copy, &key, again), length);
  CU_ASSERT_EQUAL (memcmp (data, again, length), 0);
  memset (&message.u, 0, sizeof message.u);
  message.kind = WIRE_LOADS;
  message.u.loads.count = 2;
  message.u.loads.load[0] = (struct wire_load){ UINT32_MAX, 6 };
  message.u.loads.load[1] = (struct wire_load){ 7, 0 };
  length = wire_encode (&message, &key, data);
  CU_ASSERT_EQUAL (wire_decode (&copy, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (copy.u.loads.count, 2);
  CU_ASSERT_EQUAL (copy.u.loads.load[0].target, UINT32_MAX);
  CU_ASSERT_EQUAL (wire_encode (&copy, &key, again), length);
  memset (&message.u, 0, sizeof message.u);
  message.kind = WIRE_ADMISSION_REQUEST;
  message.u.admission_request
      = (struct wire_admission_request){ 1, 2, 3, 4, 1, 150, 9 };
  length = wire_encode (&message, &key, data);
  CU_ASSERT_EQUAL (wire_decode (&copy, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (wire_encode (&copy, &key, again), length);
  CU_ASSERT_EQUAL (memcmp (data, again, length), 0);
}

static void
origins_round_trip (void)
{
  struct wire_message message = { .kind = WIRE_ORIGINS };
  struct wire_message copy;
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;

  wire_key_derive (&key, "a secret of the test", "d");
  for (uint64_t i = 0; i < WIRE_ORIGINS_MAX; i++)
    message.u.origins.origin[i]
        = (struct wire_origin){ UINT64_MAX - i, UINT64_MAX, i };
  message.u.origins.count = WIRE_ORIGINS_MAX;
  CU_ASSERT_EQUAL (
      wire_decode (&copy, &key, data, wire_encode (&message, &key, data)),
      WIRE_OK);
  CU_ASSERT_EQUAL (copy.u.origins.count, WIRE_ORIGINS_MAX);
  CU_ASSERT_EQUAL (copy.u.origins.origin[1].attempt, UINT64_MAX - 1);
  CU_ASSERT_EQUAL (copy.u.origins.origin[1].service, 1);
  message = (struct wire_message){ .kind = WIRE_ORIGIN_QUERY,
                                   .u.origin_query.attempt = 5 };
  CU_ASSERT_EQUAL (
      wire_decode (&copy, &key, data, wire_encode (&message, &key, data)),
      WIRE_OK);
  CU_ASSERT_EQUAL (copy.u.origin_query.attempt, 5);
  message = (struct wire_message){ .kind = WIRE_VERSIONS,
                                   .u.versions.query = { 5, 6 },
                                   .u.versions.count = WIRE_VERSIONS_MAX };
  message.u.versions.version[WIRE_VERSIONS_MAX - 1].age_ms = UINT32_MAX;
  CU_ASSERT_EQUAL (
      wire_decode (&copy, &key, data, wire_encode (&message, &key, data)),
      WIRE_OK);
  CU_ASSERT_EQUAL (copy.u.versions.query.asked_ms, 6);
  CU_ASSERT_EQUAL (copy.u.versions.count, WIRE_VERSIONS_MAX);
  CU_ASSERT_EQUAL (copy.u.versions.version[WIRE_VERSIONS_MAX - 1].age_ms,
                   UINT32_MAX);
}

static void
wire_rejects_tampering (void)
{
  struct wire_message message = heartbeat_of (7, 8);
  struct wire_message copy;
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;
  struct wire_key other;
  size_t length;

  wire_key_derive (&key, "a secret of the test", "d");
  wire_key_derive (&other, "a secret of the test", "e");
  length = wire_encode (&message, &key, data);
  for (size_t i = 0; i < length; i++)
    {
      data[i] ^= 0x10;
      CU_ASSERT_NOT_EQUAL (wire_decode (&copy, &key, data, length), WIRE_OK);
      data[i] ^= 0x10;
    }
  CU_ASSERT_EQUAL (wire_decode (&copy, &other, data, length), WIRE_BAD_MAC);
  CU_ASSERT_EQUAL (wire_decode (&copy, &key, data, length), WIRE_OK);
}

/* Heartbeats with three bytes replaced at random, and with a valid MAC so that
   they reach the decoder.  */
static void
wire_rejects_random_bytes (void)
{
  GRand *random = g_rand_new_with_seed (1);
  struct wire_key key;

  wire_key_derive (&key, "a secret of the test", "d");
  for (int round = 0; round < 20000; round++)
    {
      unsigned char data[WIRE_MAX_BYTES];
      unsigned char digest[16];
      struct wire_message message = heartbeat_of (1, 2);
      size_t length = wire_encode (&message, &key, data) - WIRE_MAC_BYTES;

      for (int i = 0; i < 3; i++)
        data[g_rand_int_range (random, 0, (gint32)length)]
            = (unsigned char)g_rand_int (random);
      crypto_generichash (digest, sizeof digest, data, length, key.bytes,
                          sizeof key.bytes);
      memcpy (data + length, digest, WIRE_MAC_BYTES);
      if (wire_decode (&message, &key, data, length + WIRE_MAC_BYTES)
          == WIRE_OK)
        CU_ASSERT (message.kind < WIRE_KIND_COUNT);
    }
  g_rand_free (random);
}

static void
heartbeat_fits_many_loads (void)
{
  struct wire_message message = heartbeat_of (7, 1);
  struct wire_heartbeat *heartbeat = &message.u.heartbeat;
  struct wire_message read;
  struct wire_key key = { { 0 } };
  unsigned char data[WIRE_MAX_BYTES];
  size_t length;

  /* WIRE_LOADS_MAX loads, with the largest identifiers of 32 bits.  */
  heartbeat->load_count = 96;
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    heartbeat->loads[i]
        = (struct wire_load){ .target = UINT32_MAX - i, .load = 200 };
  length = wire_encode (&message, &key, data);
  CU_ASSERT (length > 0);
  CU_ASSERT_EQUAL (wire_decode (&read, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (read.u.heartbeat.load_count, 96);
  CU_ASSERT_EQUAL (read.u.heartbeat.loads[95].target, UINT32_MAX - 95);
}
