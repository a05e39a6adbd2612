/* Unit tests of prior versions, in virtual time. */
#include "ibisloom/prior.h"
#include "test.h"

enum
{
  INSTANCES = 9,
  LARGE = 295,
  START_MS = 100000
};

static void prior_version_began_unknown_streams (void);
static void first_one_stays_when_more_come (void);
static void many_ends_make_it_unknown (void);
static void others_wait_until_the_store_has_it_no_more (void);
static void it_is_forgotten_when_its_streams_are (void);

static const struct test_case cases[] = {
  { "streams of unknown origin are of the prior version",
    prior_version_began_unknown_streams },
  { "the first prior version stays when more versions come",
    first_one_stays_when_more_come },
  { "it is not relied on when many instances have ended",
    many_ends_make_it_unknown },
  { "other versions begin no streams while the store has it",
    others_wait_until_the_store_has_it_no_more },
  { "it is forgotten when its streams are no longer taken up",
    it_is_forgotten_when_its_streams_are },
};

TEST_MAIN ("prior", cases)

static const struct origin_version old = { 1, 11 };
static const struct origin_version new = { 1, 13 };
static const struct origin_version newest = { 1, 17 };

static void
prior_version_began_unknown_streams (void)
{
  struct priors *priors = prior_new ();

  CU_ASSERT_EQUAL (prior_find (priors, 1, 0, INSTANCES), 0);
  prior_note (priors, &old, 0, START_MS);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 0, INSTANCES), old.software);
  CU_ASSERT_EQUAL (prior_find (priors, 2, 0, INSTANCES), 0);
  prior_free (priors);
}

/* Guards against streams of the first version being taken for those of one
   that came while they ran.  */
static void
first_one_stays_when_more_come (void)
{
  struct priors *priors = prior_new ();

  prior_note (priors, &old, 0, START_MS);
  prior_note (priors, &new, 0, START_MS + 1000);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 0, INSTANCES), old.software);
  prior_free (priors);
}

/* Guards against a stream of another version being taken for one of the prior
   version, as all instances that knew it have ended.  A few ends, or a small
   share of a large fleet, leave some that know.  */
static void
many_ends_make_it_unknown (void)
{
  struct priors *priors = prior_new ();

  prior_note (priors, &old, 5, START_MS);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 8, INSTANCES - 3), old.software);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 9, INSTANCES - 4), 0);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 9, INSTANCES), 0);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 5 + LARGE / 5, LARGE * 4 / 5),
                   old.software);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 5 + LARGE / 2, LARGE / 2), 0);
  prior_note (priors, &old, 9, START_MS + 1000);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 9, INSTANCES), old.software);
  prior_open (priors, &new);
  prior_note (priors, &old, 14, START_MS + 2000);
  CU_ASSERT_EQUAL (prior_find (priors, 1, 14, INSTANCES), 0);
  prior_free (priors);
}

/* Guards against a stream of another version that is forgotten when all
   instances end, while the store says that none has begun.  */
static void
others_wait_until_the_store_has_it_no_more (void)
{
  struct priors *priors = prior_new ();
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  prior_note (priors, &old, 0, START_MS);
  CU_ASSERT (prior_next (priors, &cursor, &version));
  CU_ASSERT_EQUAL (version.software, old.software);
  CU_ASSERT (!prior_next (priors, &cursor, &version));
  prior_set_stored (priors, &old);
  CU_ASSERT (prior_allows (priors, &old));
  CU_ASSERT (!prior_allows (priors, &new));
  prior_open (priors, &old);
  cursor.next = 0;
  CU_ASSERT (prior_next (priors, &cursor, &version));
  prior_open (priors, &newest);
  cursor.next = 0;
  CU_ASSERT (!prior_next (priors, &cursor, &version));
  CU_ASSERT (!prior_allows (priors, &new));
  prior_clear_stored (priors);
  CU_ASSERT (prior_allows (priors, &new));
  CU_ASSERT_EQUAL (prior_find (priors, 1, 0, INSTANCES), old.software);
  prior_free (priors);
}

static void
it_is_forgotten_when_its_streams_are (void)
{
  struct priors *priors = prior_new ();

  prior_note (priors, &old, 0, START_MS);
  prior_set_stored (priors, &old);
  prior_expire (priors, START_MS + ORIGIN_KEPT_MS);
  CU_ASSERT_EQUAL (prior_count (priors), 1);
  prior_clear_stored (priors);
  prior_expire (priors, START_MS + ORIGIN_KEPT_MS - 1);
  CU_ASSERT_EQUAL (prior_count (priors), 1);
  prior_expire (priors, START_MS + ORIGIN_KEPT_MS);
  CU_ASSERT_EQUAL (prior_count (priors), 0);
  prior_free (priors);
}
