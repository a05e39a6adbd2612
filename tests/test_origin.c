/* Origins of streams, and the software versions that have served lately. */
#include "ibisloom/origin.h"
#include "test.h"

enum
{
  START_MS = 1000,
  SERVICE = 7,
  OTHER_SERVICE = 8
};

static void first_origin_stays (void);
static void what_is_told_replaces_what_was_noted (void);
static void only_own_streams_are_listed (void);
static void ended_streams_are_found_but_not_listed (void);
static void expected_streams_are_not_found_until_they_begin (void);
static void only_version_is_known_until_another_is_seen (void);
static void versions_of_two_services_do_not_differ (void);
static void version_is_remembered_after_its_last_target (void);
static void see (struct origins *origins, uint64_t service, uint64_t software,
                 clk_ms now);
static void late_version_corrects_streams_since_the_start (void);
static void only_its_teller_corrects_an_origin (void);

static const struct test_case cases[] = {
  { "the first origin of a stream stays", first_origin_stays },
  { "what instances tell replaces what was noted before in the store",
    what_is_told_replaces_what_was_noted },
  { "only streams begun here are listed as own", only_own_streams_are_listed },
  { "streams that ended are found, but not listed as own",
    ended_streams_are_found_but_not_listed },
  { "streams that are expected are not found until they begin",
    expected_streams_are_not_found_until_they_begin },
  { "one version is the only one until another is seen",
    only_version_is_known_until_another_is_seen },
  { "versions of two services do not differ",
    versions_of_two_services_do_not_differ },
  { "a version is remembered after its last target has gone",
    version_is_remembered_after_its_last_target },
  { "a version that comes late corrects the streams begun since the start",
    late_version_corrects_streams_since_the_start },
  { "only the peer that told an origin corrects it",
    only_its_teller_corrects_an_origin },
};

TEST_MAIN ("origin", cases)

static void
first_origin_stays (void)
{
  struct origins *origins = origin_new ();
  struct origin_record record = { .attempt = 5, .software = 11 };

  CU_ASSERT_EQUAL (origin_find (origins, 5), 0);
  origin_add (origins, &record, ORIGIN_PEER, START_MS);
  record.software = 13;
  origin_add (origins, &record, ORIGIN_OWN, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 11);
  origin_expire (origins, START_MS + ORIGIN_KEPT_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 11);
  origin_expire (origins, START_MS + ORIGIN_KEPT_MS + 1);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 0);
  origin_free (origins);
}

static void
what_is_told_replaces_what_was_noted (void)
{
  struct origins *origins = origin_new ();
  struct origin_record record = { .attempt = 5, .software = 11 };

  origin_add (origins, &record, ORIGIN_STORED, START_MS);
  record.software = 13;
  origin_add (origins, &record, ORIGIN_PEER, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 13);
  CU_ASSERT_EQUAL (origin_learned_from (origins, 5), ORIGIN_PEER);
  record.software = 11;
  origin_add (origins, &record, ORIGIN_STORED, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 13);
  origin_free (origins);
}

static void
only_own_streams_are_listed (void)
{
  struct origins *origins = origin_new ();
  struct origin_cursor cursor = { 0 };
  struct origin_record record;

  for (uint64_t i = 0; i < 4; i++)
    {
      record = (struct origin_record){ .attempt = i, .software = 11 };
      origin_add (origins, &record, i % 2 ? ORIGIN_OWN : ORIGIN_PEER,
                  START_MS + (clk_ms)i);
    }
  CU_ASSERT (origin_next_own (origins, &cursor, &record));
  CU_ASSERT_EQUAL (record.attempt, 1);
  CU_ASSERT (origin_next_own (origins, &cursor, &record));
  CU_ASSERT_EQUAL (record.attempt, 3);
  CU_ASSERT (!origin_next_own (origins, &cursor, &record));
  origin_free (origins);
}

static void
ended_streams_are_found_but_not_listed (void)
{
  struct origins *origins = origin_new ();
  struct origin_cursor cursor = { 0 };
  struct origin_record record = { .attempt = 1, .software = 11 };

  origin_add (origins, &record, ORIGIN_OWN, START_MS);
  origin_end (origins, 1);
  origin_end (origins, 1);
  origin_end (origins, 2);
  CU_ASSERT (!origin_next_own (origins, &cursor, &record));
  CU_ASSERT_EQUAL (origin_find (origins, 1), 11);
  origin_expire (origins, START_MS + ORIGIN_KEPT_MS + 1);
  CU_ASSERT_EQUAL (origin_find (origins, 1), 0);
  origin_free (origins);
}

static void
expected_streams_are_not_found_until_they_begin (void)
{
  struct origins *origins = origin_new ();
  struct origin_cursor begun = { 0 };
  struct origin_cursor all = { .with_expected = 1 };
  struct origin_record record = { .attempt = 1, .software = 11 };

  origin_expect (origins, &record, START_MS);
  record.software = 13;
  origin_expect (origins, &record, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 1), 0);
  CU_ASSERT (!origin_next_own (origins, &begun, &record));
  CU_ASSERT (origin_next_own (origins, &all, &record));
  CU_ASSERT_EQUAL (record.software, 13);
  record.software = 17;
  origin_add (origins, &record, ORIGIN_OWN, START_MS);
  record.software = 19;
  origin_expect (origins, &record, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 1), 17);
  origin_free (origins);
}

static void
only_version_is_known_until_another_is_seen (void)
{
  struct origins *origins = origin_new ();

  CU_ASSERT_EQUAL (origin_only_version (origins, SERVICE), 0);
  see (origins, SERVICE, 11, START_MS);
  CU_ASSERT_EQUAL (origin_only_version (origins, SERVICE), 11);
  CU_ASSERT (!origin_versions_differ (origins));
  see (origins, SERVICE, 13, START_MS);
  CU_ASSERT_EQUAL (origin_only_version (origins, SERVICE), 0);
  CU_ASSERT (origin_versions_differ (origins));
  origin_free (origins);
}

static void
versions_of_two_services_do_not_differ (void)
{
  struct origins *origins = origin_new ();

  see (origins, SERVICE, 11, START_MS);
  see (origins, OTHER_SERVICE, 13, START_MS);
  CU_ASSERT (!origin_versions_differ (origins));
  CU_ASSERT_NOT_EQUAL (origin_software ("chat", "v1"),
                       origin_software ("chat", "v2"));
  CU_ASSERT_NOT_EQUAL (origin_software ("chat", "v1"),
                       origin_software ("desk", "v1"));
  origin_free (origins);
}

static void
version_is_remembered_after_its_last_target (void)
{
  struct origins *origins = origin_new ();

  see (origins, SERVICE, 11, START_MS);
  see (origins, SERVICE, 13, START_MS + ORIGIN_KEPT_MS);
  origin_expire (origins, START_MS + ORIGIN_KEPT_MS);
  CU_ASSERT_EQUAL (origin_only_version (origins, SERVICE), 0);
  origin_expire (origins, START_MS + ORIGIN_KEPT_MS + 1);
  CU_ASSERT_EQUAL (origin_only_version (origins, SERVICE), 13);
  origin_free (origins);
}

static void
see (struct origins *origins, uint64_t service, uint64_t software, clk_ms now)
{
  struct origin_version version = { .service = service, .software = software };

  (void)origin_see_version (origins, &version, now);
}

static void
late_version_corrects_streams_since_the_start (void)
{
  static const struct origin_attempt attempts[]
      = { { 7, START_MS - 1, 11 }, { 7, START_MS, 11 }, { 8, START_MS, 11 } };
  const struct origin_attempt started = { 7, START_MS, 13 };
  struct origins *origins = origin_new ();
  struct origin_cursor cursor = { 0 };
  struct origin_record record = { .software = 11 };

  for (uint64_t i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      record.attempt = i + 1;
      origin_add (origins, &record, ORIGIN_OWN, START_MS);
      origin_set_attempt (origins, record.attempt, &attempts[i]);
    }
  CU_ASSERT (origin_correct (origins, &cursor, &started, &record));
  CU_ASSERT_EQUAL (record.attempt, 2);
  CU_ASSERT (!origin_correct (origins, &cursor, &started, &record));
  CU_ASSERT_EQUAL (origin_find (origins, 1), 11);
  CU_ASSERT_EQUAL (origin_find (origins, 2), 13);
  CU_ASSERT_EQUAL (origin_find (origins, 3), 11);
  origin_free (origins);
}

static void
only_its_teller_corrects_an_origin (void)
{
  struct origins *origins = origin_new ();
  struct origin_record record = { 5, 11 };

  origin_add_told (origins, &record, 1, START_MS);
  record.software = 13;
  origin_add_told (origins, &record, 2, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 11);
  origin_add_told (origins, &record, 1, START_MS);
  CU_ASSERT_EQUAL (origin_find (origins, 5), 13);
  origin_free (origins);
}
