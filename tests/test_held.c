/* The table of what targets say they hold, and the list that says it. */
#include <string.h>

#include "ibisloom/held.h"
#include "platform.h"
#include "test.h"

enum
{
  PARTS = 100000, /* far more than are kept */
  KEPT_MIN = 10000,
  KEPT_MAX = 16384,
  TARGET = 7,
  OTHER_TARGET = 8
};

static void last_part_names_the_holders (void);
static void part_before_excludes_holders (void);
static void part_with_many_holders_excludes_none (void);
static void removed_target_holds_nothing (void);
static void least_recently_used_part_is_evicted (void);
static void table_is_forgotten (void);
static void readable_entries_are_used (void);

static const struct test_case cases[] = {
  { "the last part names the holders", last_part_names_the_holders },
  { "holders of the last part alone are passed over",
    part_before_excludes_holders },
  { "a part with many holders excludes none",
    part_with_many_holders_excludes_none },
  { "a target that is removed holds nothing", removed_target_holds_nothing },
  { "the table is bounded, and the least recently used part is evicted",
    least_recently_used_part_is_evicted },
  { "the table is forgotten after a time", table_is_forgotten },
  { "readable entries of a list are used", readable_entries_are_used },
};

TEST_MAIN ("held", cases)

static void
record (struct held *held, uint64_t part, uint64_t target, clk_ms now)
{
  held_record (held, &(struct held_pair){ part, target }, now);
}

/* Returns how many targets hold at NOW a prompt that ends with the parts
   BEFORE and LAST, and the first of them in FIRST.  */
static uint32_t
find (struct held *held, uint64_t before, uint64_t last, clk_ms now,
      uint64_t *first)
{
  uint64_t targets[HELD_TARGETS_MAX] = { 0 };
  struct held_key key = { .last = last, .before = before };
  uint32_t count = held_find (held, &key, now, targets);

  *first = targets[0];
  return count;
}

static void
last_part_names_the_holders (void)
{
  struct held *held = held_new ();
  uint64_t first;

  CU_ASSERT_EQUAL (find (held, 0, 1, 0, &first), 0);
  record (held, 1, TARGET, 0);
  record (held, 1, TARGET, 0);
  record (held, 0, TARGET, 0);
  CU_ASSERT_EQUAL (held_count (held), 1);
  CU_ASSERT_EQUAL (find (held, 5, 1, 0, &first), 1);
  CU_ASSERT_EQUAL (first, TARGET);
  CU_ASSERT_EQUAL (find (held, 1, 0, 0, &first), 0);
  held_free (held);
}

/* A target that has evicted the part before has to read both.  */
static void
part_before_excludes_holders (void)
{
  struct held *held = held_new ();
  uint64_t first;

  record (held, 2, TARGET, 0);
  record (held, 2, OTHER_TARGET, 0);
  record (held, 1, OTHER_TARGET, 0);
  CU_ASSERT_EQUAL (find (held, 1, 2, 0, &first), 1);
  CU_ASSERT_EQUAL (first, OTHER_TARGET);
  held_free (held);
}

/* Only some of the targets that hold a part are kept, so that one that is not
   among them may hold it too.  */
static void
part_with_many_holders_excludes_none (void)
{
  struct held *held = held_new ();
  uint64_t first;

  for (uint64_t i = 0; i < 90; i++)
    record (held, 1, 100 + i, 0);
  record (held, 2, TARGET, 0);
  CU_ASSERT_EQUAL (find (held, 1, 2, 0, &first), 1);
  CU_ASSERT_EQUAL (find (held, 0, 1, 0, &first), HELD_TARGETS_MAX);
  held_free (held);
}

static void
removed_target_holds_nothing (void)
{
  struct held *held = held_new ();
  uint64_t first;

  record (held, 1, TARGET, 0);
  record (held, 1, OTHER_TARGET, 0);
  held_remove_target (held, TARGET);
  CU_ASSERT_EQUAL (find (held, 0, 1, 0, &first), 1);
  CU_ASSERT_EQUAL (first, OTHER_TARGET);
  held_free (held);
}

static void
least_recently_used_part_is_evicted (void)
{
  struct held *held = held_new ();
  uint64_t first;

  record (held, 1, TARGET, 0);
  record (held, 2, TARGET, 0);
  for (uint64_t i = 3; i <= PARTS; i++)
    {
      record (held, i, TARGET, (clk_ms)i);
      CU_ASSERT_EQUAL_FATAL (find (held, 0, 2, (clk_ms)i, &first), 1);
    }
  CU_ASSERT (held_count (held) > KEPT_MIN);
  CU_ASSERT (held_count (held) <= KEPT_MAX);
  CU_ASSERT_EQUAL (find (held, 0, 1, PARTS, &first), 0);
  CU_ASSERT_EQUAL (find (held, 0, PARTS, PARTS, &first), 1);
  held_free (held);
}

/* Targets evict what they hold without telling.  */
static void
table_is_forgotten (void)
{
  struct held *held = held_new ();
  uint64_t first;

  record (held, 1, TARGET, 0);
  CU_ASSERT_EQUAL (find (held, 0, 1, HELD_FORGOTTEN_MS, &first), 1);
  CU_ASSERT_EQUAL (find (held, 0, 1, HELD_FORGOTTEN_MS + 1, &first), 0);
  CU_ASSERT_EQUAL (held_count (held), 0);
  held_free (held);
}

static void
readable_entries_are_used (void)
{
  static const char list[]
      = "{\"epoch\":1,\"held\":[[\"\",\"1F\",4000,\"m\"],[\"\",\"x\",1,\"m\"],"
        "[\"\",\"10000000000000000\",1,\"m\"],[\"\",\"2\",-1,\"m\"],7,"
        "[\"\",\"ffffffffffffffff\",300,\"m\"]],\"next_token\":1}";
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct dialect_part));
  uint32_t unreadable = 0;

  CU_ASSERT_EQUAL (plat_dialect.held (list, strlen (list), parts, &unreadable),
                   0);
  CU_ASSERT_EQUAL (unreadable, 4);
  CU_ASSERT_EQUAL_FATAL (parts->len, 2);
  CU_ASSERT_EQUAL (g_array_index (parts, struct dialect_part, 0).id, 0x1f);
  CU_ASSERT_EQUAL (g_array_index (parts, struct dialect_part, 0).tokens, 4000);
  CU_ASSERT_EQUAL (g_array_index (parts, struct dialect_part, 1).id,
                   UINT64_MAX);
  CU_ASSERT_NOT_EQUAL (
      plat_dialect.held (list, strlen (list) - 1, parts, &unreadable), 0);
  g_array_free (parts, TRUE);
}
