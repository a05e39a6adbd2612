/* Unit tests of the quarantine of prompt parts. */
#include "ibisloom/quarantine.h"
#include "test.h"

enum
{
  FIRST_PART = 0xa,
  BAD_PART = 0xb,
  OTHER_PART = 0xc,
  START_MS = 1000000,
  APART_MS = 1000, /* between ends that have nothing in common */
  TRIAL_MS = 60000,
  MANY_PARTS = 4000
};

static void two_ends_quarantine_the_part (void);
static void simultaneous_ends_count_once (void);
static void repeated_reports_count_once (void);
static void proven_parts_need_more_ends (void);
static void last_of_equal_parts_is_suspected (void);
static void reports_of_one_crash_suspect_one_part (void);
static void witnesses_weigh_less (void);
static void success_releases_the_part (void);
static void trials_come_at_growing_intervals (void);
static void newest_state_wins (void);
static void instance_that_knows_better_objects (void);
static void success_elsewhere_counts (void);
static void table_stays_bounded (void);
static void unused_part_is_released (void);

static void request_is_quarantined_after_three_ends (void);
static void popular_request_survives_simultaneous_ends (void);
static void unanswered_ends_count_half (void);
static void requests_do_not_displace_parts (void);

static const struct test_case cases[] = {
  { "two ends put a part in quarantine", two_ends_quarantine_the_part },
  { "ends at the same time count once", simultaneous_ends_count_once },
  { "repeated reports of an end count once", repeated_reports_count_once },
  { "a part that has gone well needs more ends", proven_parts_need_more_ends },
  { "the last of equally suspect parts is taken",
    last_of_equal_parts_is_suspected },
  { "several reports of a crash put one part in quarantine",
    reports_of_one_crash_suspect_one_part },
  { "requests that had not begun weigh less", witnesses_weigh_less },
  { "a success releases the part", success_releases_the_part },
  { "trials come at growing intervals", trials_come_at_growing_intervals },
  { "the newest state wins", newest_state_wins },
  { "an instance that knows better objects",
    instance_that_knows_better_objects },
  { "a success at another instance counts", success_elsewhere_counts },
  { "the table stays bounded", table_stays_bounded },
  { "a part that nobody asks for is released", unused_part_is_released },
  { "a request is in quarantine after three ends",
    request_is_quarantined_after_three_ends },
  { "a popular request survives ends at the same time",
    popular_request_survives_simultaneous_ends },
  { "ends without an answer count half", unanswered_ends_count_half },
  { "requests do not displace what is known of parts",
    requests_do_not_displace_parts },
};

TEST_MAIN ("quarantine", cases)

/* Fingerprints of requests.  */
static const uint64_t REQUEST = UINT64_C (0x8000000000000100);
static const uint64_t OTHER_REQUEST = UINT64_C (0x8000000000000200);

static struct quarantine *quarantine;

/* Records the end of TARGET at NOW under a request with FIRST and SECOND.
   Returns the part that this puts in quarantine, or 0.  */
static uint64_t
end_target (uint64_t target, enum quar_strength strength, clk_ms now,
            uint64_t first, uint64_t second)
{
  struct quar_crash crash = { .target = target,
                              .strength = strength,
                              .ended_ms = now,
                              .part_count = 2,
                              .parts = { first, second } };
  struct quar_state changed;

  return quar_record_crash (quarantine, &crash, now, &changed) ? changed.part
                                                               : 0;
}

/* Records that a request with PART went well.  Returns whether that releases
   it.  */
static int
succeed (uint64_t part, clk_ms now)
{
  struct quar_state released;

  return quar_record_success (quarantine, &part, 1, now, &released) == 1;
}

static enum quar_verdict
check (uint64_t part, clk_ms now)
{
  struct quar_state blocking;
  int64_t wait_ms;

  return quar_check (quarantine, &part, 1, now, &blocking, &wait_ms);
}

/* Puts BAD_PART in quarantine.  Returns the time.  */
static clk_ms
quarantine_bad_part (void)
{
  clk_ms now = START_MS;

  quarantine = quar_new ();
  succeed (FIRST_PART, now);
  CU_ASSERT_EQUAL (end_target (1, QUAR_SUSPECT, now + 1, FIRST_PART, BAD_PART),
                   0);
  now += APART_MS;
  CU_ASSERT_EQUAL (end_target (2, QUAR_SUSPECT, now, FIRST_PART, BAD_PART),
                   BAD_PART);
  return now;
}

static void
two_ends_quarantine_the_part (void)
{
  clk_ms now = quarantine_bad_part ();

  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_REFUSE);
  CU_ASSERT_EQUAL (check (FIRST_PART, now), QUAR_PASS);
  CU_ASSERT_EQUAL (quar_count (quarantine), 1);
  quar_free (quarantine);
}

/* The domain holds a third of 141 targets.  */
static void
simultaneous_ends_count_once (void)
{
  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 47; target++)
    CU_ASSERT_EQUAL (end_target (target, QUAR_SUSPECT,
                                 START_MS + (clk_ms)target / 2, FIRST_PART,
                                 OTHER_PART),
                     0);
  quar_free (quarantine);
}

static void
repeated_reports_count_once (void)
{
  quarantine = quar_new ();
  for (int i = 0; i < 5; i++)
    CU_ASSERT_EQUAL (
        end_target (1, QUAR_SUSPECT, START_MS, FIRST_PART, BAD_PART), 0);
  quar_free (quarantine);
}

static void
proven_parts_need_more_ends (void)
{
  clk_ms now = START_MS;

  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 12; target++)
    {
      succeed (FIRST_PART, now);
      CU_ASSERT_EQUAL (
          end_target (target, QUAR_SUSPECT, now + 1, FIRST_PART, 100 + target),
          0);
      now += APART_MS;
    }
  for (uint64_t target = 20; target < 22; target++, now += APART_MS)
    CU_ASSERT_EQUAL (
        end_target (target, QUAR_SUSPECT, now, FIRST_PART, 100 + target), 0);
  CU_ASSERT_EQUAL (end_target (22, QUAR_SUSPECT, now, FIRST_PART, 100 + 22),
                   FIRST_PART);
  quar_free (quarantine);
}

static void
last_of_equal_parts_is_suspected (void)
{
  quarantine = quar_new ();
  end_target (1, QUAR_SUSPECT, START_MS, FIRST_PART, BAD_PART);
  CU_ASSERT_EQUAL (
      end_target (2, QUAR_SUSPECT, START_MS + APART_MS, FIRST_PART, BAD_PART),
      BAD_PART);
  CU_ASSERT_EQUAL (check (FIRST_PART, START_MS + APART_MS), QUAR_PASS);
  quar_free (quarantine);
}

/* Guards against a shared part that is quarantined beside the one that crashes
   targets, as a long prompt is reported in several crashes.  */
static void
reports_of_one_crash_suspect_one_part (void)
{
  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 2; target++)
    {
      clk_ms now = START_MS + (clk_ms)target * APART_MS;

      CU_ASSERT_EQUAL (
          end_target (target, QUAR_SUSPECT, now, BAD_PART, REQUEST + target),
          target == 2 ? BAD_PART : 0);
      CU_ASSERT_EQUAL (
          end_target (target, QUAR_SUSPECT, now, FIRST_PART, REQUEST + target),
          0);
    }
  CU_ASSERT_EQUAL (check (FIRST_PART, START_MS + 3 * APART_MS), QUAR_PASS);
  CU_ASSERT_NOT_EQUAL (check (BAD_PART, START_MS + 3 * APART_MS), QUAR_PASS);
  quar_free (quarantine);
}

static void
witnesses_weigh_less (void)
{
  clk_ms now = START_MS;

  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 3; target++, now += APART_MS)
    CU_ASSERT_EQUAL (
        end_target (target, QUAR_WITNESS, now, target + 100, OTHER_PART), 0);
  CU_ASSERT_EQUAL (end_target (4, QUAR_WITNESS, now, 104, OTHER_PART),
                   OTHER_PART);
  quar_free (quarantine);
}

static void
success_releases_the_part (void)
{
  clk_ms now = quarantine_bad_part ();

  CU_ASSERT (succeed (BAD_PART, now + 1));
  CU_ASSERT_EQUAL (check (BAD_PART, now + 1), QUAR_PASS);
  quar_free (quarantine);
}

static void
trials_come_at_growing_intervals (void)
{
  clk_ms now = quarantine_bad_part ();

  CU_ASSERT_EQUAL (check (BAD_PART, now + TRIAL_MS - 1), QUAR_REFUSE);
  now += TRIAL_MS;
  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_TRIAL_DUE);
  quar_begin_trial (quarantine, BAD_PART, now);
  CU_ASSERT_EQUAL (end_target (3, QUAR_SUSPECT, now + 1, FIRST_PART, BAD_PART),
                   0);
  CU_ASSERT_EQUAL (check (BAD_PART, now + 2 * TRIAL_MS - 1), QUAR_REFUSE);
  CU_ASSERT_EQUAL (check (BAD_PART, now + 2 * TRIAL_MS), QUAR_TRIAL_DUE);
  quar_free (quarantine);
}

static void
newest_state_wins (void)
{
  clk_ms now = quarantine_bad_part ();
  struct quar_state state = { .part = BAD_PART, .version = 2 };

  quar_merge (quarantine, &state, now);
  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_PASS);
  state.version = 1;
  quar_merge (quarantine, &state, now);
  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_PASS);
  state.version = 3;
  quar_merge (quarantine, &state, now);
  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_REFUSE);
  quar_free (quarantine);
}

static void
instance_that_knows_better_objects (void)
{
  struct quar_state told = { .part = OTHER_PART, .version = 1, .weight = 4 };
  struct quar_state released;

  quarantine = quar_new ();
  quar_merge (quarantine, &told, START_MS);
  CU_ASSERT (!quar_next_objection (quarantine, START_MS, &released));
  quar_free (quarantine);
  quarantine = quar_new ();
  succeed (OTHER_PART, START_MS - APART_MS);
  quar_merge (quarantine, &told, START_MS);
  CU_ASSERT (quar_next_objection (quarantine, START_MS, &released));
  CU_ASSERT_EQUAL (released.part, OTHER_PART);
  CU_ASSERT_EQUAL (check (OTHER_PART, START_MS), QUAR_PASS);
  quar_free (quarantine);
}

/* A part that goes well elsewhere is not suspected, though targets end.  */
static void
success_elsewhere_counts (void)
{
  struct quarantine *other = quar_new ();
  struct quar_state changed;
  clk_ms now = START_MS;

  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 12; target++, now += APART_MS)
    {
      struct quar_crash crash = { .target = target,
                                  .strength = QUAR_SUSPECT,
                                  .ended_ms = now,
                                  .part_count = 1,
                                  .parts = { OTHER_PART } };
      struct quar_state released;
      struct quar_success success;

      quar_record_success (other, crash.parts, 1, now - 1, &released);
      CU_ASSERT (!quar_record_crash (other, &crash, now, &changed));
      CU_ASSERT (!quar_record_crash (quarantine, &crash, now, &changed));
      CU_ASSERT (quar_next_success (other, &success));
      CU_ASSERT (!quar_next_success (other, &success));
      quar_merge_success (quarantine, &success);
      CU_ASSERT (!quar_next_success (quarantine, &success));
    }
  quar_free (other);
  quar_free (quarantine);
}

static void
table_stays_bounded (void)
{
  clk_ms now = quarantine_bad_part ();
  struct quar_cursor cursor = { 0 };
  struct quar_state state;
  int count = 0;

  for (uint64_t i = 0; i < MANY_PARTS; i++)
    end_target (100 + i, QUAR_SUSPECT, now + (clk_ms)i, 1000 + 2 * i,
                1001 + 2 * i);
  CU_ASSERT_EQUAL (check (BAD_PART, now), QUAR_REFUSE);
  for (uint64_t i = 0; i < MANY_PARTS; i++)
    {
      state = (struct quar_state){ .part = 1000 + i, .version = 1 };
      quar_merge (quarantine, &state, now);
    }
  while (quar_next (quarantine, &cursor, &state))
    count++;
  CU_ASSERT_EQUAL (count, QUAR_STATES_MAX);
  quar_free (quarantine);
}

static void
unused_part_is_released (void)
{
  clk_ms now = quarantine_bad_part () + 3600000;
  struct quar_state released;

  CU_ASSERT (!quar_next_unused (quarantine, now - 1, &released));
  CU_ASSERT (quar_next_unused (quarantine, now, &released));
  CU_ASSERT_EQUAL (released.part, BAD_PART);
  quar_free (quarantine);
}

/* The ends come at the same time, with no byte of a response.  */
static void
request_is_quarantined_after_three_ends (void)
{
  quarantine = quar_new ();
  CU_ASSERT_EQUAL (end_target (1, QUAR_WITNESS, START_MS, REQUEST, 0), 0);
  CU_ASSERT_EQUAL (end_target (2, QUAR_WITNESS, START_MS, REQUEST, 0), 0);
  CU_ASSERT_EQUAL (end_target (2, QUAR_SUSPECT, START_MS, REQUEST, 0), 0);
  CU_ASSERT_EQUAL (end_target (3, QUAR_WITNESS, START_MS, REQUEST, 0),
                   REQUEST);
  CU_ASSERT_EQUAL (check (REQUEST, START_MS), QUAR_REFUSE);
  CU_ASSERT_EQUAL (check (OTHER_REQUEST, START_MS), QUAR_PASS);
  CU_ASSERT (succeed (REQUEST, START_MS + 1));
  CU_ASSERT_EQUAL (check (REQUEST, START_MS + 1), QUAR_PASS);
  quar_free (quarantine);
}

/* A failure domain ends, then single targets with successes in between.  */
static void
popular_request_survives_simultaneous_ends (void)
{
  quarantine = quar_new ();
  succeed (REQUEST, START_MS - 1000);
  for (uint64_t target = 1; target <= 8; target++)
    CU_ASSERT_EQUAL (end_target (target, QUAR_SUSPECT, START_MS, REQUEST, 0),
                     0);
  for (uint64_t target = 11; target <= 18; target++)
    {
      clk_ms now = START_MS + (clk_ms)target * 1000;

      succeed (REQUEST, now - 500);
      CU_ASSERT_EQUAL (end_target (target, QUAR_SUSPECT, now, REQUEST, 0), 0);
    }
  CU_ASSERT_EQUAL (quar_count (quarantine), 0);
  quar_free (quarantine);
}

/* Targets that do not answer may be cut off from this instance.  */
static void
unanswered_ends_count_half (void)
{
  quarantine = quar_new ();
  for (uint64_t target = 1; target <= 5; target++)
    CU_ASSERT_EQUAL (end_target (target, QUAR_CUT_OFF,
                                 START_MS + (clk_ms)target * 1000, REQUEST, 0),
                     0);
  CU_ASSERT_EQUAL (end_target (6, QUAR_CUT_OFF, START_MS + 6000, REQUEST, 0),
                   REQUEST);
  quar_free (quarantine);
}

/* Most requests do not come again, and there are very many.  */
static void
requests_do_not_displace_parts (void)
{
  quarantine = quar_new ();
  succeed (BAD_PART, START_MS);
  for (uint64_t i = 0; i < 100000; i++)
    succeed (REQUEST + i, START_MS + 1);
  CU_ASSERT_EQUAL (end_target (1, QUAR_SUSPECT, START_MS + 1000, BAD_PART, 0),
                   0);
  CU_ASSERT_EQUAL (end_target (2, QUAR_SUSPECT, START_MS + 2000, BAD_PART, 0),
                   0);
  CU_ASSERT_EQUAL (quar_count (quarantine), 0);
  quar_free (quarantine);
}
