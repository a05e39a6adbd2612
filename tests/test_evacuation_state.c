/* Tests of which failure domains are evacuated, in virtual time. */
#include <string.h>

#include "ibisloom/evacuation.h"
#include "platform.h"
#include "test.h"

enum
{
  GRACE_MS = 1000
};

static void later_change_wins (void);
static void unlisted_evacuation_has_ended (void);
static void lost_evacuation_stays_for_a_time (void);
static void late_report_is_answered (void);
static void ended_domains_make_room (void);
static void left_out_one_is_known_of (void);
static void marked_object_is_being_deleted (void);

static const struct test_case cases[] = {
  { "the later change of a domain wins", later_change_wins },
  { "an evacuation that is not listed has ended",
    unlisted_evacuation_has_ended },
  { "one that a restored store has lost stays in force for a time",
    lost_evacuation_stays_for_a_time },
  { "a late report of an ended one changes nothing", late_report_is_answered },
  { "domains whose evacuation has ended make room", ended_domains_make_room },
  { "one that there was no room for is known to be left out",
    left_out_one_is_known_of },
  { "the mark of an object that is being deleted is read",
    marked_object_is_being_deleted },
};

TEST_MAIN ("evacuation_state", cases)

static struct evac_state state;

/* Returns the position REVISION in EPOCH.  */
static struct position
at (uint64_t epoch, uint64_t revision)
{
  return (struct position){ epoch, revision };
}

/* Guards against a report that arrives late, or twice, and undoes a later one.
 */
static void
later_change_wins (void)
{
  memset (&state, 0, sizeof state);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 5), 1, 1), EVAC_CHANGED);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 5), 1, 2), EVAC_SAME);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 7), 1, 3), EVAC_SAME);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 6), 0, 4), EVAC_OLDER);
  CU_ASSERT_EQUAL (evac_count (&state), 1);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 7), 0, 5), EVAC_CHANGED);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 7), 1, 6), EVAC_OLDER);
  CU_ASSERT_EQUAL (evac_count (&state), 0);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (2, 3), 1, 7), EVAC_CHANGED);
  CU_ASSERT_EQUAL (evac_put (&state, 1, at (1, 9), 0, 8), EVAC_OLDER);
  CU_ASSERT_EQUAL (evac_count (&state), 1);
}

/* Guards against a removal that is missed for ever, and against a list that
   undoes what came after it.  */
static void
unlisted_evacuation_has_ended (void)
{
  memset (&state, 0, sizeof state);
  evac_put (&state, 1, at (1, 5), 1, 1);
  evac_put (&state, 2, at (1, 6), 1, 1);
  evac_list_begin (&state);
  evac_put (&state, 2, at (1, 6), 1, 1);
  evac_hear (&state, 3, at (1, 9), 1, GRACE_MS, 1);
  evac_list_end (&state, at (1, 8), GRACE_MS, 1);
  CU_ASSERT (!evac_find (&state, 1)->is_in_force);
  CU_ASSERT (evac_find (&state, 2)->is_in_force);
  CU_ASSERT (evac_find (&state, 3)->is_in_force);
}

/* Guards against requests to the domain until the operator has written the
   object again, and against an evacuation without end if nobody does.  */
static void
lost_evacuation_stays_for_a_time (void)
{
  memset (&state, 0, sizeof state);
  evac_put (&state, 1, at (1, 50), 1, 1);
  evac_put (&state, 2, at (1, 51), 1, 1);
  evac_list_begin (&state);
  evac_list_end (&state, at (2, 30), GRACE_MS, 1);
  evac_hear (&state, 3, at (1, 52), 1, GRACE_MS, 1);
  CU_ASSERT_EQUAL (evac_count (&state), 3);
  evac_put (&state, 1, at (2, 31), 1, 2);
  evac_expire (&state, GRACE_MS);
  CU_ASSERT_EQUAL (evac_count (&state), 3);
  evac_expire (&state, GRACE_MS + 1);
  CU_ASSERT_EQUAL (evac_count (&state), 1);
  CU_ASSERT (evac_find (&state, 1)->is_in_force);
  CU_ASSERT_EQUAL (evac_hear (&state, 2, at (1, 51), 1, GRACE_MS, 9),
                   EVAC_OLDER);
}

/* Guards against an instance without contact for long, or that has stood
   still, which brings back what ended before another one started.  */
static void
late_report_is_answered (void)
{
  memset (&state, 0, sizeof state);
  evac_list_begin (&state);
  evac_list_end (&state, at (1, 8), GRACE_MS, 1);
  CU_ASSERT_EQUAL (evac_hear (&state, 1, at (1, 5), 1, GRACE_MS, 1),
                   EVAC_OLDER);
  CU_ASSERT (!evac_find (&state, 1)->is_in_force);
  CU_ASSERT_EQUAL (evac_find (&state, 1)->position.revision, 8);
  CU_ASSERT_EQUAL (evac_hear (&state, 1, at (1, 9), 1, GRACE_MS, 1),
                   EVAC_CHANGED);
}

/* Guards against objects for domains that do not exist, which would keep out
   one that does.  */
static void
ended_domains_make_room (void)
{
  memset (&state, 0, sizeof state);
  for (uint64_t id = 1; id <= EVAC_DOMAINS_MAX; id++)
    evac_put (&state, id, at (1, id), id % 2 == 0, (clk_ms)id);
  CU_ASSERT_EQUAL (evac_put (&state, 999, at (1, 999), 1, 999), EVAC_CHANGED);
  CU_ASSERT (evac_find (&state, 1) == NULL);
  for (uint64_t id = 1; id <= EVAC_DOMAINS_MAX; id++)
    evac_put (&state, id, at (1, 1000 + id), 1, (clk_ms)id);
  CU_ASSERT_EQUAL (evac_count (&state), EVAC_DOMAINS_MAX);
  CU_ASSERT_EQUAL (evac_put (&state, 9999, at (2, 1), 1, 1), EVAC_FULL);
}

/* Guards against an evacuation that stays left out, or is taken for one that
   has ended, when there is room for it.  */
static void
left_out_one_is_known_of (void)
{
  memset (&state, 0, sizeof state);
  evac_list_begin (&state);
  for (uint64_t id = 1; id <= EVAC_DOMAINS_MAX; id++)
    evac_put (&state, id, at (1, id), 1, 1);
  CU_ASSERT (!evac_has_room_for_more (&state));
  CU_ASSERT_EQUAL (evac_put (&state, 999, at (1, 999), 1, 1), EVAC_FULL);
  evac_list_end (&state, at (1, 999), GRACE_MS, 1);
  CU_ASSERT (!evac_has_room_for_more (&state));
  evac_put (&state, 1, at (1, 1000), 0, 2);
  CU_ASSERT (evac_has_room_for_more (&state));
  CU_ASSERT_EQUAL (evac_hear (&state, 999, at (1, 999), 1, GRACE_MS, 3),
                   EVAC_CHANGED);
  evac_list_begin (&state);
  for (uint64_t id = 2; id <= EVAC_DOMAINS_MAX; id++)
    evac_put (&state, id, at (1, id), 1, 4);
  CU_ASSERT_EQUAL (evac_put (&state, 999, at (1, 999), 1, 4), EVAC_SAME);
  evac_list_end (&state, at (1, 1000), GRACE_MS, 4);
  CU_ASSERT_EQUAL (evac_count (&state), EVAC_DOMAINS_MAX);
  evac_put (&state, 2, at (1, 1001), 0, 5);
  CU_ASSERT (!evac_has_room_for_more (&state));
}

static void
count_deleting (void *closure, const struct watch_object *object)
{
  *(int *)closure += object->is_deleting;
}

/* Guards against an evacuation that stays in force while its object is being
   removed.  */
static void
marked_object_is_being_deleted (void)
{
  static const char text[]
      = "{\"items\":["
        "{\"metadata\":{\"name\":\"a\",\"deleting\":true},\"spec\":{}},"
        "{\"metadata\":{\"name\":\"b\"},\"spec\":{},\"deleting\":true},"
        "{\"metadata\":{\"name\":\"c\"},\"spec\":{\"deleting\":1}},"
        "{\"metadata\":{\"name\":\"d\",\"deleting\":false},\"spec\":{}},"
        "{\"metadata\":{\"name\":\"e\",\"deleting\":null}}],"
        "\"has_more\":false,\"at\":5}";
  struct watch_page page = { .last_name = g_string_new (NULL) };
  int count = 0;

  CU_ASSERT_EQUAL (plat_store.read_list (text, sizeof text - 1, &page,
                                         count_deleting, &count),
                   0);
  CU_ASSERT_EQUAL (count, 3);
  g_string_free (page.last_name, TRUE);
}
