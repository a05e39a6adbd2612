/* Unit tests of the order of waiting requests, of the shares of customers and
   of the expected wait, in virtual time. */
#include <string.h>

#include "ibisloom/wait.h"
#include "ibisloom/wire.h"
#include "test.h"

enum
{
  START_MS = 100000,
  BIG = 1, /* customers */
  SMALL = 2,
  OTHER = 3,
  LIMIT_MS = START_MS + 1000
};

static void classes_go_in_order (void);
static void customers_share_evenly (void);
static void absence_gives_no_credit (void);
static void position_is_that_of_service (void);
static void level_serves_classes_in_order (void);
static void level_shares_fairly (void);
static void level_keeps_a_backlog (void);
static void wait_is_expected_from_rate (void);
static void level_of_a_lost_coordinator_ends (void);
static void returns_are_spread (void);
static void limits_follow_rejections (void);
static void messages_keep_what_is_told (void);

static const struct test_case cases[] = {
  { "classes are served in order, and in them the earliest limit",
    classes_go_in_order },
  { "customers that wait are served in turn", customers_share_evenly },
  { "a customer that was away gets no more than its share",
    absence_gives_no_credit },
  { "requests ahead are those that are served before",
    position_is_that_of_service },
  { "the level admits classes in order", level_serves_classes_in_order },
  { "the level shares a class max-min fair, and all of it",
    level_shares_fairly },
  { "the level admits less the more waits", level_keeps_a_backlog },
  { "a request waits only if it is served in time",
    wait_is_expected_from_rate },
  { "the level of a lost coordinator gives way to the second one's",
    level_of_a_lost_coordinator_ends },
  { "refused clients come back one after the other", returns_are_spread },
  { "a target's limit falls with rejections and grows back",
    limits_follow_rejections },
  { "full messages fit a datagram, and keep what is told",
    messages_keep_what_is_told },
};

TEST_MAIN ("turn", cases)

static struct turn
turn_of (uint32_t class, uint64_t customer, clk_ms limit_ms)
{
  return (struct turn){ .class = class,
                        .customer = customer,
                        .limit_ms = limit_ms };
}

/* Serves the first request of QUEUE, and returns it.  */
static struct turn *
serve (struct turn_queue *queue)
{
  struct turn *first = turn_first (queue, 1);

  turn_remove (queue, first);
  turn_serve (queue, first->class, first->customer);
  return first;
}

static void
classes_go_in_order (void)
{
  struct turn_queue queue;
  struct turn turns[] = { turn_of (turn_class_of (-1), BIG, LIMIT_MS),
                          turn_of (turn_class_of (0), BIG, LIMIT_MS + 9),
                          turn_of (TURN_CONTINUED, BIG, LIMIT_MS + 9),
                          turn_of (turn_class_of (0), BIG, LIMIT_MS),
                          turn_of (turn_class_of (6), BIG, LIMIT_MS) };
  const int order[] = { 2, 3, 1, 0, 4 };

  turn_init (&queue);
  for (size_t i = 0; i < G_N_ELEMENTS (turns); i++)
    turn_add (&queue, &turns[i]);
  CU_ASSERT_PTR_EQUAL (turn_last (&queue), &turns[4]);
  turns[2].round = 1;
  CU_ASSERT_PTR_EQUAL (turn_first (&queue, 1), &turns[3]);
  turns[2].round = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (turns); i++)
    CU_ASSERT_PTR_EQUAL (serve (&queue), &turns[order[i]]);
  CU_ASSERT_PTR_NULL (turn_first (&queue, 1));
  CU_ASSERT_PTR_NULL (turn_last (&queue));
  turn_clear (&queue);
}

static void
customers_share_evenly (void)
{
  struct turn_queue queue;
  struct turn big[30];
  struct turn small[3];
  int served = 0;

  turn_init (&queue);
  for (size_t i = 0; i < G_N_ELEMENTS (big); i++)
    {
      big[i] = turn_of (TURN_FIRST, BIG, LIMIT_MS);
      turn_add (&queue, &big[i]);
    }
  for (int i = 0; i < 10; i++)
    serve (&queue);
  for (size_t i = 0; i < G_N_ELEMENTS (small); i++)
    {
      small[i] = turn_of (TURN_FIRST, SMALL, LIMIT_MS + 100);
      turn_add (&queue, &small[i]);
    }
  CU_ASSERT_EQUAL (turn_last (&queue)->customer, BIG);
  for (int i = 0; i < 6; i++)
    served += serve (&queue)->customer == SMALL;
  CU_ASSERT_EQUAL (served, 3);
  turn_clear (&queue);
}

static void
absence_gives_no_credit (void)
{
  struct turn_queue queue;
  struct turn turns[8];
  int served = 0;

  turn_init (&queue);
  for (int i = 0; i < 1000; i++)
    turn_serve (&queue, TURN_FIRST, BIG);
  for (int i = 0; i < 8; i++)
    {
      turns[i] = turn_of (TURN_FIRST, i % 2 == 0 ? BIG : SMALL, LIMIT_MS);
      turn_add (&queue, &turns[i]);
    }
  for (int i = 0; i < 4; i++)
    served += serve (&queue)->customer == BIG;
  CU_ASSERT (served >= 1 && served <= 2);
  turn_clear (&queue);
}

static void
position_is_that_of_service (void)
{
  /* Six of each class wait, four of them of one customer.  */
  for (uint32_t class = TURN_FIRST; class <= TURN_FIRST + 2; class ++)
    for (uint64_t customer = BIG; customer <= OTHER; customer++)
      {
        struct turn_queue queue;
        struct turn turns[12];
        struct turn next = turn_of (class, customer, LIMIT_MS + 1);
        uint32_t served = 0;
        uint32_t ahead;

        turn_init (&queue);
        for (int i = 0; i < 12; i++)
          {
            turns[i] = turn_of (TURN_FIRST + (uint32_t)i % 2,
                                i < 8 ? BIG : OTHER, LIMIT_MS);
            turn_add (&queue, &turns[i]);
          }
        ahead = turn_ahead (&queue, &next);
        turn_add (&queue, &next);
        while (serve (&queue) != &next)
          served++;
        CU_ASSERT (served >= ahead && served <= ahead + 2);
        turn_clear (&queue);
      }
}

/* Returns a report of SERVED requests a second, and of the arrivals of
   customers BIG and SMALL in CLASS.  */
static struct demand_report
report_of (uint32_t served, uint32_t class, uint32_t big, uint32_t small)
{
  struct demand_report report
      = { .served_per_ks = served * 1000, .waiting[0] = served / 10 };

  report.per_ks[class] = (big + small) * 1000;
  report.count = 2;
  report.customers[0] = (struct demand_customer){ BIG, class, big * 1000 };
  report.customers[1] = (struct demand_customer){ SMALL, class, small * 1000 };
  return report;
}

static void
level_serves_classes_in_order (void)
{
  struct demand_level level = { 0 };
  struct demand_report reports[] = { report_of (50, TURN_FIRST, 40, 0),
                                     report_of (50, TURN_FIRST + 2, 200, 0) };

  /* With the backlog that is aimed at, what is served is admitted.  */
  demand_set_level (reports, 2, &level);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, BIG), 1, 0);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST + 2, BIG), 0.3,
                          0.01);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST + 3, BIG), 0, 0);
  CU_ASSERT_EQUAL (level.served_per_ks, 100000);
  /* Without a known capacity all are admitted.  */
  reports[0].served_per_ks = reports[1].served_per_ks = 0;
  demand_set_level (reports, 2, &level);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST + 3, BIG), 1, 0);
}

static void
level_shares_fairly (void)
{
  struct demand_level level = { 0 };
  struct demand_report report = report_of (100, TURN_FIRST, 350, 30);
  double big;

  /* 100 are admitted: 30 of the small one, and the rest of the big one.  */
  demand_set_level (&report, 1, &level);
  big = demand_share_of (&level, TURN_FIRST, BIG);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, SMALL), 1, 0);
  CU_ASSERT_DOUBLE_EQUAL (big * 350, 70, 1);
  report = report_of (100, TURN_FIRST, 350, 150);
  demand_set_level (&report, 1, &level);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, SMALL) * 150,
                          50, 1);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, BIG) * 350, 50,
                          1);
  /* Customers that are too many to be listed come before the listed ones.  */
  report.per_ks[TURN_FIRST] += 40 * 1000;
  demand_set_level (&report, 1, &level);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, OTHER), 1, 0);
  CU_ASSERT_DOUBLE_EQUAL (demand_share_of (&level, TURN_FIRST, BIG) * 350, 30,
                          1);
}

static void
level_keeps_a_backlog (void)
{
  struct demand_level level = { 0 };
  double before = 1;

  for (uint32_t waiting = 0; waiting <= 100; waiting += 10)
    {
      struct demand_report report = report_of (100, TURN_FIRST, 400, 0);
      double share;

      report.waiting[0] = waiting;
      demand_set_level (&report, 1, &level);
      share = demand_share_of (&level, TURN_FIRST, BIG);
      CU_ASSERT (share <= before && share * 400 >= 49);
      if (waiting == 10)
        CU_ASSERT_DOUBLE_EQUAL (share * 400, 100, 1);
      before = share;
    }
}

static void
wait_is_expected_from_rate (void)
{
  struct wait wait;
  struct wait_view view;
  struct turn turns[20];
  struct turn next = turn_of (TURN_FIRST, BIG, START_MS + 5000);
  clk_ms now = START_MS;
  uint32_t taken = 0;

  wait_init (&wait);
  CU_ASSERT (!wait_is_scarce (&wait, now));
  wait_note_sign (&wait, now);
  CU_ASSERT (wait_is_scarce (&wait, now + 1999));
  CU_ASSERT (!wait_is_scarce (&wait, now + 2000));
  for (int i = 0; i < 500; i++)
    wait_count_end (&wait, 40, now += 100);
  CU_ASSERT_EQUAL (wait_limit_of (&wait, now + 500, now + 300, now),
                   now + 260);
  /* An objective that is missed anyway does not count.  */
  CU_ASSERT_EQUAL (wait_limit_of (&wait, now + 500, now + 30, now), now + 460);
  for (; taken < 20; taken++)
    {
      turns[taken] = turn_of (TURN_FIRST, BIG, now + 1000);
      wait_look (&wait, &turns[taken], now, &view);
      if (!wait_is_in_time (&view, &turns[taken], now))
        break;
      turn_add (&wait.queue, &turns[taken]);
    }
  /* 10 a second are served, of which a margin is left.  */
  CU_ASSERT (taken >= 7 && taken <= 9);
  CU_ASSERT_PTR_NULL (wait_overdue (&wait, now));
  next.limit_ms = now + 5000;
  next.class = TURN_CONTINUED;
  wait_look (&wait, &next, now, &view);
  CU_ASSERT_EQUAL (view.ahead, 0);
  CU_ASSERT (wait_overdue (&wait, now + 500) != NULL);
  wait_clear (&wait);
}

static void
level_of_a_lost_coordinator_ends (void)
{
  struct wait wait;
  struct demand_level level = { .class = TURN_FIRST, .version = 1 };
  struct demand_level other = { .class = TURN_FIRST + 1, .version = 7 };
  clk_ms now = START_MS;

  wait_init (&wait);
  CU_ASSERT (wait_admits (&wait, TURN_FIRST, BIG, 0.99, now));
  wait_set_level (&wait, 0, &level, now);
  wait_set_level (&wait, 1, &other, now);
  CU_ASSERT (!wait_admits (&wait, TURN_FIRST, BIG, 0, now + 500));
  wait_set_level (&wait, 1, &other, now + 900);
  CU_ASSERT (wait_admits (&wait, TURN_FIRST, BIG, 0, now + 1000));
  CU_ASSERT_EQUAL (wait_current_level (&wait, now + 1000)->level.version, 7);
  CU_ASSERT_PTR_NULL (wait_current_level (&wait, now + 2900));
  wait_clear (&wait);
}

static void
returns_are_spread (void)
{
  struct wait wait;
  struct wait_view view = { .own_per_s = 20, .per_s = 20, .expected_ms = 100 };
  int64_t last_ms = 0;

  wait_init (&wait);
  for (int i = 0; i < 10; i++)
    {
      int64_t return_ms = wait_book (&wait, &view, 3000, START_MS);

      CU_ASSERT_EQUAL (return_ms, i == 0 ? 100 : last_ms + 50);
      last_ms = return_ms;
    }
  /* Who comes earlier anyway takes no turn.  */
  CU_ASSERT_EQUAL (wait_book (&wait, &view, 300, START_MS), last_ms + 50);
  CU_ASSERT_EQUAL (wait_book (&wait, &view, 3000, START_MS), last_ms + 50);
  wait_clear (&wait);
}

static void
limits_follow_rejections (void)
{
  struct wait_limit limit = { 0 };
  struct wait wait;
  clk_ms now = START_MS;

  wait_init (&wait);
  wait_count_end (&wait, 60, now);
  CU_ASSERT_EQUAL (wait_place_ms (&wait, 6), 10);
  CU_ASSERT_EQUAL (wait_place_ms (&wait, 600), 5);
  wait_clear (&wait);
  CU_ASSERT_EQUAL (wait_limit_get (&limit, 0), WAIT_NO_LIMIT);
  CU_ASSERT_EQUAL (wait_limit_get (&limit, 6), 6);
  for (int i = 0; i < 100; i++)
    wait_limit_reach (&limit, 6, 20, now += 250);
  CU_ASSERT_EQUAL (wait_limit_get (&limit, 6), 12);
  CU_ASSERT_EQUAL (wait_limit_reject (&limit, 6, 11, now), 11);
  CU_ASSERT_EQUAL (wait_limit_reject (&limit, 6, 11, now + 50), 11);
  CU_ASSERT_EQUAL (wait_limit_reject (&limit, 6, 1, now + 100), 8);
  wait_limit_reach (&limit, 6, 7, now + 5000);
  CU_ASSERT_EQUAL (wait_limit_get (&limit, 6), 8);
  wait_limit_reach (&limit, 6, 8, now + 5000);
  CU_ASSERT_EQUAL (wait_limit_get (&limit, 6), 9);
}

/* Checks that MESSAGE is decoded to what is encoded like it.  */
static void
expect_kept (const struct wire_message *message)
{
  const struct wire_key key = { { 1 } };
  unsigned char data[WIRE_MAX_BYTES];
  unsigned char again[WIRE_MAX_BYTES];
  size_t length = wire_encode (message, &key, data);
  struct wire_message decoded;

  CU_ASSERT (length > 0);
  CU_ASSERT_EQUAL (wire_decode (&decoded, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (wire_encode (&decoded, &key, again), length);
  CU_ASSERT_EQUAL (memcmp (data, again, length), 0);
}

static void
messages_keep_what_is_told (void)
{
  struct wire_message demand = { .kind = WIRE_DEMAND };
  struct wire_message level = { .kind = WIRE_LEVEL };

  memset (&demand.u, 0x77, sizeof demand.u.demand);
  demand.u.demand.count = DEMAND_CUSTOMERS_MAX;
  for (int i = 0; i < DEMAND_CUSTOMERS_MAX; i++)
    demand.u.demand.customers[i].class = TURN_CLASSES - 1;
  expect_kept (&demand);
  memset (&level.u, 0x77, sizeof level.u.level);
  level.u.level.class = TURN_CLASSES;
  level.u.level.share = DEMAND_FULL_SHARE;
  level.u.level.count = DEMAND_SHARES_MAX;
  for (int i = 0; i < DEMAND_SHARES_MAX; i++)
    level.u.level.shares[i].share = DEMAND_FULL_SHARE;
  expect_kept (&level);
}
