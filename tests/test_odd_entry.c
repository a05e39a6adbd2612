/* Entries in the store that came from another writer: they name no target to
   use, and what else is in the store holds.  */
#include <stdio.h>
#include <string.h>

#include "platform.h"
#include "shop.h"
#include "test.h"

enum
{
  DEPTH_MAX = 100000,
  SOUND = 3,        /* targets beside the one with the odd entry */
  REQUESTS = 48,    /* of which each target gets some */
  FOLLOW_MS = 3000, /* until a change in the store must be in force */
  GRACE_MS = 2500,  /* until a target without an entry gets no requests */
  CHECK_MS = 50
};

static void refused_object_keeps_name_and_revision (void);
static void nameless_objects_do_not_repeat_a_page (void);
static void numbers_out_of_range_are_not_cut_off (void);
static void router_starts_among_odd_entries (void);
static void router_follows_changes_after_odd_entries (void);
static void router_follows_versions_after_odd_ones (void);
static void router_starts_from_peer_with_odd_entries (void);
static void instances_meet_among_odd_objects (void);

static const struct test_case cases[] = {
  { "an object that the parser refuses keeps its name and revision",
    refused_object_keeps_name_and_revision },
  { "a page without names to go on from is refused",
    nameless_objects_do_not_repeat_a_page },
  { "numbers out of range are not cut off to others",
    numbers_out_of_range_are_not_cut_off },
  { "a router that starts serves beside any odd entry",
    router_starts_among_odd_entries },
  { "a router that watches follows what comes after any odd entry",
    router_follows_changes_after_odd_entries },
  { "a router that watches follows versions after any odd configuration",
    router_follows_versions_after_odd_ones },
  { "instances find each other among odd objects of theirs",
    instances_meet_among_odd_objects },
  { "a router starts from a peer whose snapshot has odd entries",
    router_starts_from_peer_with_odd_entries },
};

TEST_MAIN ("odd_entry", cases)

/* What another writer adds to an entry.  NESTED stands for brackets nested to
   the depth in front of it. */
struct odd_entry
{
  const char *members;
  int depth;
  int is_refused; /* by the parser, wherever it is added */
};

static const struct odd_entry odd_entries[] = {
  { ",\"x\":", 2100, 1 },
  { ",\"x\":", DEPTH_MAX, 1 },
  { ",\"slots\":99999999999999999999", 0, 1 },
  { ",\"x\":1e400", 0, 1 },
  { ",\"x\":\"\\u0000\"", 0, 1 },
  { ",\"x\":\"\\ud800\"", 0, 1 },
  { ",\"x\":\"\xff\xfe\"", 0, 1 },
  { ",\"x\":NaN", 0, 1 },
  { ",\"service\":null", 0, 0 },
  { ",\"state\":\"idle\"", 0, 0 },
  { ",\"address\":7", 0, 0 },
  { ",\"address\":\"127.0.0.1:99999\"", 0, 0 },
  { ",\"address\":\"127.0.0.1:0\"", 0, 0 },
  { ",\"slots\":\"8\"", 0, 0 },
  { ",\"slots\":8.5", 0, 0 },
};

static struct fx_target *sound[SOUND];
static struct fx_target *odd;

/* Returns the members of ENTRY, newly allocated.  */
static char *
odd_members (const struct odd_entry *entry)
{
  GString *members = g_string_new (entry->members);

  for (int i = 0; i < 2 * entry->depth; i++)
    g_string_append_c (members, i < entry->depth ? '[' : ']');
  return g_string_free (members, FALSE);
}

/* Writes ENTRY as that of the target ODD.  */
static void
put_odd_entry (const struct odd_entry *entry)
{
  char *members = odd_members (entry);

  fx_target_put_entry (odd, members);
  g_free (members);
}

/* Makes VERSION the configuration NAME in the store, with MEMBERS added.  */
static void
put_version (const char *name, int version, const char *members)
{
  char *text = g_strdup_printf ("{\"version\":%d%.*s%s}", version,
                                (int)strlen (strchr (shop_config, ',')) - 1,
                                strchr (shop_config, ','), members);

  fx_store_put ("config", name, text);
  g_free (text);
}

/* Waits at most MS until VERSION is in force.  Returns the version that is. */
static long
wait_for_version (long version, int ms)
{
  long found = 0;

  for (int waited = 0; found != version && waited <= ms; waited += CHECK_MS)
    {
      fx_sleep_ms (CHECK_MS);
      found = fx_router_metric (0, "ibisloom_version_in_force");
    }
  return found;
}

/* Adds the sound targets and the odd one, whose entry is sound as yet.  */
static void
add_targets (void)
{
  char name[] = "d-0";

  for (int i = 0; i < SOUND; i++, name[2]++)
    sound[i] = fx_target_add (name, "desk", shop_respond_ok);
  odd = fx_target_add ("e-odd", "desk", shop_respond_ok);
}

/* Sends REQUESTS requests, which must all be served.  Returns how many of them
   TARGET got.  */
static int
count_requests_at (struct fx_target *target)
{
  int before = fx_target_request_count (target);

  for (int i = 0; i < REQUESTS; i++)
    shop_expect (GET_MAP ("m"), "200", "well");
  return fx_target_request_count (target) - before;
}

/* Waits at most MS until TARGET gets requests, or if IS_USED is 0, none.
   Returns whether it came so.  */
static int
wait_for_use (struct fx_target *target, int is_used, int ms)
{
  for (int waited = 0; waited <= ms; waited += CHECK_MS)
    {
      if ((count_requests_at (target) > 0) == is_used)
        return 1;
      fx_sleep_ms (CHECK_MS);
    }
  return 0;
}

/* Appends OBJECT to the text CLOSURE.  */
static void
describe_object (void *closure, const struct watch_object *object)
{
  g_string_append_printf (closure, "%s %d %s%s;", object->name,
                          (int)object->position.revision,
                          object->content != NULL ? "content" : "none",
                          object->deleted ? " deleted" : "");
}

/* Reads TEXT, a page of a list, or of a watch if IS_WATCH, whose objects must
   be as in EXPECTED.  Returns the result of the reader.  */
static int
read_page (const char *text, int is_watch, const char *expected,
           uint32_t nameless)
{
  struct watch_page page = { .last_name = g_string_new (NULL) };
  GString *found = g_string_new (NULL);
  int result = (is_watch ? plat_store.read_watch : plat_store.read_list) (
      text, strlen (text), &page, describe_object, found);

  CU_ASSERT_STRING_EQUAL (found->str, expected);
  CU_ASSERT_EQUAL (page.nameless, nameless);
  g_string_free (found, TRUE);
  g_string_free (page.last_name, TRUE);
  return result;
}

static void
refused_object_keeps_name_and_revision (void)
{
  CU_ASSERT_EQUAL (
      read_page ("{\"items\":[{\"metadata\":{\"name\":\"a\",\"revision\":4,"
                 "\"created\":1e400},\"spec\":{\"x\":1}},"
                 "{\"metadata\":{\"name\":\"b\",\"revision\":5},\"spec\":"
                 "{\"x\":1e400}},{\"metadata\":{\"name\":\"c\",\"revision\":"
                 "99999999999999999999},\"spec\":NaN},"
                 "{\"metadata\":{\"name\":\"\\u0000\"}},7,x y,"
                 "{\"metadata\":{\"name\":\"\"}},"
                 "{\"metadata\":{\"name\":\"d\",\"revision\":-3}}],"
                 "\"has_more\":true,\"at\":9}",
                 0, "a 4 content;b 5 none;c 9 none;d 9 none;", 4),
      0);
  CU_ASSERT_EQUAL (
      read_page ("{\"events\":[{\"object\":{\"metadata\":{\"name\":\"a\","
                 "\"revision\":4},\"spec\":{\"x\":1e400}},\"deleted\":true},"
                 "{\"deleted\":false,\"object\":{\"metadata\":{\"name\":"
                 "\"b\",\"revision\":5},\"spec\":\"\\ud800\"}},{}],"
                 "\"at\":9}",
                 1, "a 4 none deleted;b 5 none;", 1),
      0);
}

static void
nameless_objects_do_not_repeat_a_page (void)
{
  CU_ASSERT_EQUAL (
      read_page ("{\"items\":[1e400],\"has_more\":true,\"at\":9}", 0, "", 1),
      -1);
  CU_ASSERT_EQUAL (
      read_page ("{\"items\":[1e400],\"has_more\":false,\"at\":9}", 0, "", 1),
      0);
  CU_ASSERT_EQUAL (read_page ("{\"items\":[],\"at\":-1}", 0, "", 0), -1);
}

static void
numbers_out_of_range_are_not_cut_off (void)
{
  static const char entry[] = "{\"service\":\"desk\",\"address\":"
                              "\"127.0.0.1:80\",\"zone\":\"a\",\"slots\":8,"
                              "\"state\":\"ready\"%s}";
  static const char *const odd_members[]
      = { ",\"service\":\"\"",   ",\"slots\":4294967304",
          ",\"slots\":-1",       ",\"cold_left_ms\":9223372036854775807",
          ",\"born\":-1",        ",\"born\":1e308",
          ",\"sequence\":\"9\"", ",\"sequence\":-9223372036854775808",
          ",\"born\":null" };
  static const char *const sound_members[]
      = { "", ",\"cold_left_ms\":-1,\"slots\":0",
          ",\"cold_left_ms\":12.5,\"born\":1796433559389,"
          "\"sequence\":9007199254740992" };
  struct reg_entry read;

  for (size_t i = 0;
       i < G_N_ELEMENTS (odd_members) + G_N_ELEMENTS (sound_members); i++)
    {
      int is_odd = i < G_N_ELEMENTS (odd_members);
      const char *members
          = is_odd ? odd_members[i]
                   : sound_members[i - G_N_ELEMENTS (odd_members)];
      char *text = g_strdup_printf (entry, members);
      json_t *content = json_loads (text, 0, NULL);

      CU_ASSERT_PTR_NOT_NULL_FATAL (content);
      CU_ASSERT_EQUAL (plat_read_target ("i-1", content, &read),
                       is_odd ? -1 : 0);
      json_decref (content);
      g_free (text);
    }
}

static void
router_starts_among_odd_entries (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      add_targets ();
      put_odd_entry (&odd_entries[i]);
      fx_env_start (shop_config);
      CU_ASSERT (fx_is_ready ());
      if (fx_is_ready ())
        {
          CU_ASSERT_EQUAL (count_requests_at (odd), 0);
          CU_ASSERT_EQUAL (
              fx_router_metric (0, "ibisloom_store_unreadable_total"), 1);
        }
      fx_env_stop ();
    }
}

/* Another target leaves after each odd entry.  */
static void
router_follows_changes_after_odd_entries (void)
{
  add_targets ();
  fx_env_start (shop_config);
  for (size_t i = 0; i < G_N_ELEMENTS (odd_entries); i++)
    {
      fx_target_put_entry (odd, "");
      CU_ASSERT (wait_for_use (odd, 1, FOLLOW_MS));
      put_odd_entry (&odd_entries[i]);
      fx_target_set_state (sound[0], "draining");
      CU_ASSERT (wait_for_use (sound[0], 0, FOLLOW_MS));
      CU_ASSERT (wait_for_use (odd, 0, GRACE_MS));
      fx_target_set_state (sound[0], "ready");
      CU_ASSERT (wait_for_use (sound[0], 1, FOLLOW_MS));
    }
  fx_env_stop ();
}

/* The odd configuration comes under the name of the one in force and under
   another name.  */
static void
router_follows_versions_after_odd_ones (void)
{
  int version = 3;

  add_targets ();
  fx_env_start (shop_config);
  for (size_t i = 0; odd_entries[i].is_refused; i++)
    {
      char *members = odd_members (&odd_entries[i]);

      put_version ("main", version + 1, members);
      put_version ("other", version + 1, members);
      fx_sleep_ms (FOLLOW_MS / 4);
      CU_ASSERT_EQUAL (wait_for_version (version, 0), version);
      version += 2;
      put_version ("main", version, "");
      CU_ASSERT_EQUAL (wait_for_version (version, FOLLOW_MS), version);
      shop_expect (GET_MAP ("m"), "200", "well");
      g_free (members);
    }
  CU_ASSERT (fx_router_metric (0, "ibisloom_store_unreadable_total") > 0);
  fx_env_stop ();
}

/* The store is down, so that the router starts from the snapshot alone.  */
static void
router_starts_from_peer_with_odd_entries (void)
{
  char name[] = "e-a";

  for (size_t i = 0; odd_entries[i].is_refused; i++, name[2]++)
    {
      odd = fx_target_add (name, "desk", shop_respond_ok);
      put_odd_entry (&odd_entries[i]);
    }
  add_targets ();
  fx_store_put ("config", "main", shop_config);
  fx_store_set_down (1);
  fx_env_start (NULL);
  fx_newer_peer_start (3);
  CU_ASSERT (fx_wait_until (fx_is_ready));
  if (fx_is_ready ())
    CU_ASSERT (count_requests_at (sound[0]) > 0);
  fx_env_stop ();
}

static int
both_instances_are_known (void)
{
  return fx_router_metric (0, "ibisloom_instances") == 2
         && fx_router_metric (1, "ibisloom_instances") == 2;
}

static void
instances_meet_among_odd_objects (void)
{
  char name[] = "odd-a";

  add_targets ();
  fx_store_start (shop_config);
  for (size_t i = 0; odd_entries[i].is_refused; i++, name[4]++)
    {
      char *members = odd_members (&odd_entries[i]);
      char *text
          = g_strdup_printf ("{\"address\":\"127.0.0.1:9\"%s}", members);

      fx_store_put ("ibisloom-instances", name, text);
      g_free (text);
      g_free (members);
    }
  fx_store_put ("ibisloom-instances", "part-odd", "{\"part\":\"5 or so\"}");
  fx_store_put ("ibisloom-instances", "gate-odd",
                "{\"address\":\"127.0.0.1:99999\"}");
  fx_routers_start (2);
  CU_ASSERT (fx_wait_until (both_instances_are_known));
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_quarantined_parts"), 0);
  fx_env_stop ();
}
