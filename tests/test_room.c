/* Unit tests of the room of brittle targets, in virtual time. */
#include "ibisloom/room.h"
#include "platform.h"
#include "test.h"

enum
{
  SLOTS = 6,
  START_MS = 100000,
  STALE_MS = 10000,
  REJECTIONS_MAX = 3,
  QUESTIONS = 3,
  HEARTBEAT_MS = 200,
  MEMBERS = 2 * ROOM_TOLD_MAX
};

static void state_begins_and_ends (void);
static void state_is_told (void);
static void limit_follows_rejections (void);
static void limit_follows_reports (void);
static void last_places_go_to_few (void);
static void rejections_close_a_target (void);
static void field_is_parsed_strictly (void);
static void news_come_before_requests (void);
static void silence_of_others_ends (void);
static void news_are_adopted (void);
static void next_ones_are_told (void);

static const struct test_case cases[] = {
  { "a service is brittle while one of its targets says so",
    state_begins_and_ends },
  { "instances adopt the newest state", state_is_told },
  { "a limit falls to what was in progress and grows slowly",
    limit_follows_rejections },
  { "a limit falls to what a target with a queue works on",
    limit_follows_reports },
  { "the fewer places are left, the fewer instances take them",
    last_places_go_to_few },
  { "a target that has rejected nearly too much gets nothing",
    rejections_close_a_target },
  { "bad numbers of rejections are not taken", field_is_parsed_strictly },
  { "an instance that does not know what others were told sends nothing",
    news_come_before_requests },
  { "an instance that nobody answers relies on what it has heard",
    silence_of_others_ends },
  { "limit, rejections and requests in progress are learned from others",
    news_are_adopted },
  { "instances are told of a target before they rank first",
    next_ones_are_told },
};

TEST_MAIN ("room", cases)

/* Prepares ROOM of an instance with RANK that knows what others were told.  */
static void
init_known (struct room *room, uint32_t rank)
{
  room_init (room);
  room_set_rank (room, rank, ROOM_TOLD_MAX, START_MS);
  room->is_known = 1;
}

static void
state_begins_and_ends (void)
{
  struct room_service service = { 0 };
  struct room room;
  struct room silent;
  clk_ms now = START_MS;

  room_init (&room);
  room_init (&silent);
  CU_ASSERT (!room_observe (&service, NULL, 0, 0, now, now));
  CU_ASSERT (room_observe (&service, &room, 1, 3, now, now));
  CU_ASSERT (!room_observe (&service, &room, 1, 3, now, now + 1));
  CU_ASSERT (room_observe (&service, &room, 1, 4, now + 1, now + 2));
  CU_ASSERT_EQUAL (service.version, 3);
  CU_ASSERT (!room_observe (&service, &silent, 0, 0, now + 3, now + 4));
  CU_ASSERT (!room_observe (&service, &room, 0, 0, now, now + 4));
  CU_ASSERT (room_is_brittle (&service, now + 4));
  CU_ASSERT (room_observe (&service, &room, 0, 0, now + 3, now + 5));
  CU_ASSERT (!room_is_brittle (&service, now + 5));
  CU_ASSERT (room_observe (&service, &room, 1, 3, now + 6, now + 7));
  CU_ASSERT (room_is_brittle (&service, now + 7));
  CU_ASSERT (!room_is_brittle (&service, now + 7 + STALE_MS));
  CU_ASSERT (room_observe (&service, &room, 1, 3, now + STALE_MS,
                           now + 8 + STALE_MS));
  CU_ASSERT_EQUAL (service.version, 7);
}

static void
state_is_told (void)
{
  struct room_service service = { 0 };
  clk_ms now = START_MS;

  CU_ASSERT (room_adopt (&service, 1, 3, 20, now));
  CU_ASSERT (room_is_brittle (&service, now));
  CU_ASSERT (!room_adopt (&service, 1, 3, 0, now + STALE_MS - 30));
  CU_ASSERT (room_is_brittle (&service, now + STALE_MS));
  CU_ASSERT (room_adopt (&service, 2, 0, 0, now + STALE_MS));
  CU_ASSERT (!room_adopt (&service, 1, 3, 0, now + STALE_MS));
  CU_ASSERT (!room_is_brittle (&service, now + STALE_MS));
}

static void
limit_follows_rejections (void)
{
  struct room room;
  clk_ms now = START_MS;

  room_init (&room);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now), SLOTS);
  CU_ASSERT_EQUAL (room_limit (&room, 0, now), 1);
  CU_ASSERT_EQUAL (room_reject (&room, SLOTS, SLOTS, now, now), SLOTS);
  CU_ASSERT_EQUAL (room_reject (&room, SLOTS, 3, now, now + 10), 3);
  CU_ASSERT_EQUAL (room_reject (&room, SLOTS, 2, now + 5, now + 20), 3);
  CU_ASSERT_EQUAL (room_reject (&room, SLOTS, 0, now + 20, now + 30), 1);
  now += 30;
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 1999), 1);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 2000), 2);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 60000), SLOTS);
  room_apply_rejection (&room, SLOTS, 1, now + 2000);
  now += 2000;
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 3999), 1);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 4000), 2);
  room_apply_rejection (&room, SLOTS, 4, now + 4000);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 4000), 2);
}

static void
limit_follows_reports (void)
{
  struct room room;
  clk_ms now = START_MS;

  room_init (&room);
  CU_ASSERT (!room_apply_limit (&room, SLOTS, SLOTS, now));
  CU_ASSERT (!room_apply_limit (&room, SLOTS, 0, now));
  CU_ASSERT (room_apply_limit (&room, SLOTS, 4, now));
  CU_ASSERT (!room_apply_limit (&room, SLOTS, 4, now + 1));
  CU_ASSERT_EQUAL (room.rejections, 0);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 1999), 4);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 2000), 5);
}

static void
last_places_go_to_few (void)
{
  struct room_service service = { 0 };
  clk_ms now = START_MS;

  room_adopt (&service, 1, REJECTIONS_MAX, 0, now);
  for (int i = 0; i < 100; i++)
    room_count_request (&service, now);
  for (uint32_t load = 0, fewer = ROOM_SENDERS_MAX; load <= SLOTS; load++)
    {
      uint32_t senders = 0;

      for (uint32_t rank = 0; rank < ROOM_SENDERS_MAX; rank++)
        {
          struct room room;

          init_known (&room, rank);
          senders
              += (uint32_t)room_has_place (&room, &service, SLOTS, load, now);
        }
      CU_ASSERT (senders <= fewer);
      fewer = senders;
      if (load == SLOTS - 1)
        CU_ASSERT_EQUAL (senders, 1);
      if (load == SLOTS)
        CU_ASSERT_EQUAL (senders, 0);
    }
}

static void
rejections_close_a_target (void)
{
  struct room_service service = { 0 };
  struct room room;
  clk_ms now = START_MS;

  room_adopt (&service, 1, REJECTIONS_MAX, 0, now);
  room_init (&room);
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now));
  CU_ASSERT (room_has_place (&room, &service, 10 * SLOTS, 0, now));
  init_known (&room, 0);
  for (int i = 0; i < REJECTIONS_MAX; i++)
    {
      CU_ASSERT (room_has_place (&room, &service, SLOTS, 0, now));
      room_reject (&room, SLOTS, SLOTS, now, now);
      CU_ASSERT (!room_has_place (&room, &service, SLOTS, 1, now));
      now += 100;
      CU_ASSERT_EQUAL (room_has_place (&room, &service, SLOTS, 1, now),
                       i + 2 < REJECTIONS_MAX);
    }
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now));
  CU_ASSERT (room_has_place (&room, &service, SLOTS, 1, now + 1200));
}

static void
field_is_parsed_strictly (void)
{
  static const char *const bad[]
      = { "",   "-1",  "+3",  " 3",          "3 ",
          "3x", "0x3", "2.5", "99999999999", "18446744073709551617" };
  uint32_t number = 0;

  CU_ASSERT_EQUAL (plat_dialect.brittle ("0", &number), 0);
  CU_ASSERT_EQUAL (number, 0);
  CU_ASSERT_EQUAL (plat_dialect.brittle ("12", &number), 0);
  CU_ASSERT_EQUAL (number, 12);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    CU_ASSERT_EQUAL (plat_dialect.brittle (bad[i], &number), -1);
}

static void
news_come_before_requests (void)
{
  struct room_service service = { 0 };
  struct room room;
  struct room_news empty = { .growth_ms = 2000 };
  struct room_news complete = { .is_known = 1, .growth_ms = 2000 };
  clk_ms now = START_MS;

  room_adopt (&service, 1, REJECTIONS_MAX, 0, now);
  room_init (&room);
  room_set_rank (&room, 0, MEMBERS, now);
  CU_ASSERT (room_wants_news (&room, now));
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now));
  room_learn (&room, SLOTS, &empty, 2, 0, now);
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now));
  room_learn (&room, SLOTS, &empty, 2, 0, now);
  CU_ASSERT (room_has_place (&room, &service, SLOTS, 0, now));
  room_forget (&room, now + 10);
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now + 10));
  room_learn (&room, SLOTS, &complete, 2, 0, now + 20);
  CU_ASSERT (room_has_place (&room, &service, SLOTS, 0, now + 20));
  room_set_rank (&room, MEMBERS / 2 + 1, MEMBERS, now + 30);
  CU_ASSERT (!room_wants_news (&room, now + 30));
  room_set_rank (&room, 0, MEMBERS, now + 40);
  CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now + 40));
}

static void
silence_of_others_ends (void)
{
  struct room_service service = { 0 };
  struct room room;
  clk_ms now = START_MS;

  room_adopt (&service, 1, REJECTIONS_MAX, 0, now);
  room_init (&room);
  room_set_rank (&room, 0, MEMBERS, now);
  for (int i = 0; i < QUESTIONS; i++)
    {
      CU_ASSERT (room_wants_news (&room, now));
      room_count_question (&room, now);
      CU_ASSERT (!room_wants_news (&room, now));
      CU_ASSERT (!room_has_place (&room, &service, SLOTS, 0, now));
      now += HEARTBEAT_MS;
    }
  CU_ASSERT (!room_wants_news (&room, now));
  CU_ASSERT (room_has_place (&room, &service, SLOTS, 0, now));
}

static void
news_are_adopted (void)
{
  struct room_news news;
  struct room told;
  struct room room;
  clk_ms now = START_MS;

  init_known (&told, 1);
  room_reject (&told, SLOTS, 3, now, now);
  now += 500;
  room_get_news (&told, SLOTS, 2, now, &news);
  room_init (&room);
  room.limit = 1; /* of a time before */
  room.lowered_ms = now - 1000;
  room_set_rank (&room, 0, MEMBERS, now);
  room_learn (&room, SLOTS, &news, 2, 1, now);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 1499), 3);
  CU_ASSERT_EQUAL (room_limit (&room, SLOTS, now + 1500), 4);
  CU_ASSERT_EQUAL (room.rejections, 1);
  CU_ASSERT_EQUAL (room_missing (&room, now), 1);
  CU_ASSERT_EQUAL (room_missing (&room, now + 1000), 0);
  room_learn (&room, SLOTS, &news, 2, 2, now);
  CU_ASSERT_EQUAL (room.rejections, 1);
  CU_ASSERT_EQUAL (room_missing (&room, now), 0);
}

static void
next_ones_are_told (void)
{
  uint32_t told = 0;

  for (uint32_t rank = 0; rank < MEMBERS; rank++)
    told += (uint32_t)room_is_told (rank, MEMBERS);
  CU_ASSERT_EQUAL (told, ROOM_TOLD_MAX);
  for (uint32_t rank = MEMBERS - ROOM_AHEAD; rank < MEMBERS; rank++)
    CU_ASSERT (room_is_told (rank, MEMBERS));
  for (uint32_t rank = 0; rank < ROOM_TOLD_MAX; rank++)
    CU_ASSERT (room_is_told (rank, ROOM_TOLD_MAX));
}
