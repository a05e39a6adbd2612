/* End-to-end tests of streams that go on at another target, while targets of
   two software versions serve.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

/* Request of a client that takes up the stream that attempt BEGAN began.  */
#define TAKE_UP(id, began)                                                    \
  REQUEST_HEAD ("POST", "/plan/1", id)                                        \
  "Last-Event-Id: 2\r\nResumes: " began "\r\n"                                \
  "Content-Length: 4\r\n\r\nplan"

/* The same, without telling which attempt began it.  */
#define TAKE_UP_UNNAMED(id)                                                   \
  REQUEST_HEAD ("POST", "/plan/1", id)                                        \
  "Last-Event-Id: 2\r\nContent-Length: 4\r\n\r\nplan"

enum
{
  APPLY_MS = 2000, /* until a new entry in the store is known */
  STORE_MS = 1500, /* until an origin is in the store */
  HOLD_MS = 3000,
  PAST_MS = 4000, /* until routers know what was before their start */
  ROUTERS = 6,
  EVENTS = 5,
  EVENTS_BEFORE_CUT = 2,
  STREAMS = 12
};

static void stream_goes_on_at_its_version (void);
static void stream_ends_without_its_version (void);
static void target_without_version_has_its_own (void);
static void client_goes_on_at_the_same_version (void);
static void client_is_refused_when_the_version_is_gone (void);
static void unknown_stream_goes_on_at_the_only_version (void);
static void unknown_stream_is_refused_among_two_versions (void);
static void other_instance_goes_on_at_the_same_version (void);
static void other_instance_knows_streams_from_before (void);
static void streams_outlive_their_instance (void);
static void streams_outlive_their_instance_and_route (void);
static void client_that_leaves_ends_the_wait (void);
static void stream_goes_on_at_its_service (void);
static void stream_goes_on_after_all_were_killed (void);
static void stream_is_not_joined_after_all_were_killed (void);
static void streams_go_on_beside_a_version_that_came_late (void);
static void streams_go_on_after_a_restoration (void);

static const struct test_case cases[] = {
  { "a stream goes on at the version that began it only",
    stream_goes_on_at_its_version },
  { "a stream whose version is gone ends and is not joined",
    stream_ends_without_its_version },
  { "a target that names no version has one of its own",
    target_without_version_has_its_own },
  { "a client takes a stream up at the version that began it",
    client_goes_on_at_the_same_version },
  { "a client is refused when a target came back as another version",
    client_is_refused_when_the_version_is_gone },
  { "a stream of unknown origin goes on at the only version",
    unknown_stream_goes_on_at_the_only_version },
  { "a stream of unknown origin is refused among two versions",
    unknown_stream_is_refused_among_two_versions },
  { "a client takes a stream up at another instance at the same version",
    other_instance_goes_on_at_the_same_version },
  { "the same for a stream begun before the second version came",
    other_instance_knows_streams_from_before },
  { "streams go on if their instance has ended before a second version came",
    streams_outlive_their_instance },
  { "streams go on if their instance has ended before their route was split",
    streams_outlive_their_instance_and_route },
  { "a client that leaves ends the wait for the origin of its stream",
    client_that_leaves_ends_the_wait },
  { "a stream of a split route goes on at the service that began it",
    stream_goes_on_at_its_service },
  { "a stream goes on at its version after all instances were killed",
    stream_goes_on_after_all_were_killed },
  { "a stream whose version left while all were killed is not joined",
    stream_is_not_joined_after_all_were_killed },
  { "streams go on if a second version came while all were killed",
    streams_go_on_beside_a_version_that_came_late },
  { "the same if the store came back from a copy meanwhile",
    streams_go_on_after_a_restoration },
};

TEST_MAIN ("resume", cases)

/* Writes the events of a stream, from the one after which it is resumed on, up
   to event LAST, as by a target with TEXT.  Returns whether the stream is
   complete; else its connection is to be closed.  */
static int
write_stream (const struct fx_request *request, const char *text, int last)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");

  shop_start_stream (request);
  for (int i = after != NULL ? atoi (after) + 1 : 1; i <= last; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s%d\n\n", i, text, i);

      shop_write_chunk (request, event);
      g_free (event);
    }
  g_free (after);
  if (last == EVENTS)
    fx_write (request->fd, "0\r\n\r\n");
  return last == EVENTS;
}

/* Writes a stream as write_stream does, broken off unless it is resumed.  */
static int
write_cut_stream (const struct fx_request *request, const char *text)
{
  int is_resumed = strstr (request->text, "Last-Event-Id") != NULL;

  return write_stream (request, text, is_resumed ? EVENTS : EVENTS_BEFORE_CUT);
}

static int
cut_old (const struct fx_request *request)
{
  return write_cut_stream (request, "old");
}

static int
cut_new (const struct fx_request *request)
{
  return write_cut_stream (request, "new");
}

/* Writes a stream, broken off unless a client takes it up.  */
static int
write_taken_up (const struct fx_request *request, const char *text)
{
  int is_taken_up = strstr (request->text, "Resumes: ") != NULL;

  return write_stream (request, text,
                       is_taken_up ? EVENTS : EVENTS_BEFORE_CUT);
}

static int
cut_old_until_taken_up (const struct fx_request *request)
{
  return write_taken_up (request, "old");
}

static int
cut_new_until_taken_up (const struct fx_request *request)
{
  return write_taken_up (request, "new");
}

/* Breaks off each stream, resumed or not.  */
static int
cut_old_always (const struct fx_request *request)
{
  return write_stream (request, "old", EVENTS_BEFORE_CUT);
}

static int
write_new (const struct fx_request *request)
{
  return write_stream (request, "new", EVENTS);
}

/* Starts a target of the older version.  */
static struct fx_target *
add_old (const char *id, fx_handler_fn handler)
{
  return fx_target_add (id, "pool", handler);
}

/* Starts a target of VERSION.  */
static struct fx_target *
add_version (const char *id, fx_handler_fn handler, const char *version)
{
  struct fx_target *target = fx_target_add (id, "pool", handler);

  fx_target_restart (target, version);
  return target;
}

/* Returns whether RESPONSE holds events of both versions.  */
static int
is_joined (const char *response)
{
  return strstr (response, "data: old") != NULL
         && strstr (response, "data: new") != NULL;
}

/* Returns whether RESPONSE ends as a complete one.  */
static int
is_complete (const char *response)
{
  return g_str_has_suffix (response, "\r\n0\r\n\r\n");
}

/* Sends requests for STREAMS streams.  Checks that no response holds events of
   both versions, and returns how many are complete.  */
static int
count_complete (void)
{
  int complete = 0;

  for (int i = 0; i < STREAMS; i++)
    {
      char *response = fx_exchange (POST_PLAN ("s"));

      CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: "));
      CU_ASSERT (!is_joined (response));
      complete += is_complete (response);
      g_free (response);
    }
  return complete;
}

static void
stream_goes_on_at_its_version (void)
{
  add_old ("i-1", cut_old);
  add_version ("i-2", cut_new, "v2");
  add_old ("i-3", cut_old);
  add_version ("i-4", cut_new, "v2");
  fx_env_start (shop_config);
  CU_ASSERT_EQUAL (count_complete (), STREAMS);
  fx_env_stop ();
}

static void
stream_ends_without_its_version (void)
{
  struct fx_target *old = add_old ("i-1", cut_old_always);

  add_version ("i-2", write_new, "v2");
  fx_env_start (shop_config);
  CU_ASSERT (count_complete () > 0);
  CU_ASSERT (fx_target_request_count (old) > 0);
  fx_env_stop ();
}

static void
target_without_version_has_its_own (void)
{
  add_old ("i-1", cut_old);
  add_version ("i-2", cut_new, NULL);
  add_old ("i-3", cut_old);
  add_version ("i-4", cut_new, NULL);
  fx_env_start (shop_config);
  CU_ASSERT_EQUAL (count_complete (), STREAMS);
  fx_env_stop ();
}

/* Has a stream broken off.  Returns whether the older version began it.  */
static int
break_off_stream (void)
{
  char *response = fx_exchange (POST_PLAN ("s1"));
  int is_old = strstr (response, "data: old2") != NULL;

  CU_ASSERT (is_old || strstr (response, "data: new2") != NULL);
  CU_ASSERT (!is_complete (response));
  g_free (response);
  return is_old;
}

static void
client_goes_on_at_the_same_version (void)
{
  int is_old;

  add_old ("i-1", cut_old_until_taken_up);
  add_version ("i-2", cut_new_until_taken_up, "v2");
  add_old ("i-3", cut_old_until_taken_up);
  add_version ("i-4", cut_new_until_taken_up, "v2");
  fx_env_start (shop_config);
  is_old = break_off_stream ();
  for (int i = 0; i < STREAMS; i++)
    shop_expect (TAKE_UP ("s2", "s1"), "200",
                 is_old ? "data: old5" : "data: new5");
  fx_env_stop ();
}

/* Each process of the target writes the same, which cannot be told apart.  */
static void
client_is_refused_when_the_version_is_gone (void)
{
  struct fx_target *target = add_old ("i-1", cut_old_until_taken_up);

  fx_env_start (shop_config);
  CU_ASSERT (break_off_stream ());
  fx_target_restart (target, "v2");
  fx_sleep_ms (APPLY_MS);
  shop_expect (TAKE_UP ("s2", "s1"), "503", "Content-Length: 0");
  fx_env_stop ();
}

static void
unknown_stream_goes_on_at_the_only_version (void)
{
  add_old ("i-1", cut_old_until_taken_up);
  add_old ("i-2", cut_old);
  fx_env_start (shop_config);
  shop_expect (TAKE_UP ("s2", "s1"), "200", "data: old5");
  shop_expect (TAKE_UP_UNNAMED ("s3"), "200", "data: old3");
  fx_env_stop ();
}

static void
unknown_stream_is_refused_among_two_versions (void)
{
  struct fx_target *old = add_old ("i-1", cut_old);
  struct fx_target *new = add_version ("i-2", cut_new, "v2");

  fx_env_start (shop_config);
  shop_expect (TAKE_UP ("s2", "s1"), "503", "Content-Length: 0");
  shop_expect (TAKE_UP_UNNAMED ("s3"), "503", "Content-Length: 0");
  CU_ASSERT_EQUAL (
      fx_target_request_count (old) + fx_target_request_count (new), 0);
  fx_env_stop ();
}

/* Returns the response of router INDEX to REQUEST, newly allocated.  */
static char *
exchange_with (int index, const char *request)
{
  int fd = fx_router_connect (index);

  CU_ASSERT_FATAL (fd >= 0);
  fx_send (fd, request);
  return fx_read_all (fd);
}

/* Checks that all other routers take up the stream that broke off at the first
   one, at the older version if IS_OLD.  */
static void
expect_taken_up_elsewhere (int is_old)
{
  for (int i = 1; i < ROUTERS; i++)
    {
      char *response = exchange_with (i, TAKE_UP ("s2", "s1"));

      CU_ASSERT_PTR_NOT_NULL (
          strstr (response, is_old ? "data: old5" : "data: new5"));
      g_free (response);
    }
}

static void
other_instance_goes_on_at_the_same_version (void)
{
  add_old ("i-1", cut_old_until_taken_up);
  add_version ("i-2", cut_new_until_taken_up, "v2");
  add_old ("i-3", cut_old_until_taken_up);
  add_version ("i-4", cut_new_until_taken_up, "v2");
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  expect_taken_up_elsewhere (break_off_stream ());
  fx_env_stop ();
}

static void
other_instance_knows_streams_from_before (void)
{
  add_old ("i-1", cut_old_until_taken_up);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  CU_ASSERT (break_off_stream ());
  add_version ("i-2", cut_new_until_taken_up, "v2");
  fx_sleep_ms (APPLY_MS);
  expect_taken_up_elsewhere (1);
  fx_env_stop ();
}

/* Returns the configuration in which the route of streams goes to the services
   "pool" and "other", newly allocated.  */
static char *
split_config (void)
{
  static const char one[] = "\"service\":\"pool\",\"max_attempts\":2";
  const char *at = strstr (shop_config, one);

  return g_strdup_printf ("%.*s\"weighted_services\":[{\"service\":\"pool\","
                          "\"weight\":1},{\"service\":\"other\","
                          "\"weight\":1}],\"max_attempts\":2%s",
                          (int)(at - shop_config), shop_config,
                          at + sizeof one - 1);
}

static void
stream_goes_on_at_its_service (void)
{
  char *config = split_config ();

  add_old ("i-1", cut_old_until_taken_up);
  fx_target_add ("i-2", "other", cut_new_until_taken_up);
  add_old ("i-3", cut_old_until_taken_up);
  fx_target_add ("i-4", "other", cut_new_until_taken_up);
  fx_store_start (config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  expect_taken_up_elsewhere (break_off_stream ());
  fx_env_stop ();
  g_free (config);
}

/* Writes a stream that stands still after its first events, unless it is taken
   up.  */
static int
hold_old (const struct fx_request *request)
{
  int is_whole = write_taken_up (request, "old");

  fx_sleep_ms (is_whole ? 0 : HOLD_MS);
  return is_whole;
}

static void
kill_routers (int count)
{
  for (int i = 0; i < count; i++)
    fx_router_signal (i, SIGKILL);
  for (int i = 0; i < count; i++)
    fx_router_wait_for_exit (i);
}

/* Begins STREAMS streams at the first router, and kills the first COUNT
   routers.  */
static void
begin_and_kill (int count)
{
  int fds[STREAMS];

  for (int i = 0; i < STREAMS; i++)
    {
      char *request = g_strdup_printf (POST_PLAN ("k-%d"), i);
      char *response;

      fds[i] = fx_router_connect (0);
      fx_send (fds[i], request);
      response = fx_read_until (fds[i], "data: old2");
      CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: old2"));
      g_free (response);
      g_free (request);
    }
  kill_routers (count);
  for (int i = 0; i < STREAMS; i++)
    close (fds[i]);
}

/* Checks that the other routers take these streams up at the older version.
 */
static void
expect_all_taken_up (void)
{
  for (int i = 0; i < STREAMS; i++)
    {
      char *request = g_strdup_printf (TAKE_UP ("t-%d", "k-%d"), i, i);
      char *response = exchange_with (1 + i % (ROUTERS - 1), request);

      CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: old5"));
      g_free (response);
      g_free (request);
    }
}

/* Guards against origins that are kept by one instance alone while one version
   serves.  */
static void
streams_outlive_their_instance (void)
{
  add_old ("i-1", hold_old);
  add_old ("i-3", hold_old);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  begin_and_kill (1);
  add_version ("i-2", cut_new_until_taken_up, "v2");
  fx_sleep_ms (APPLY_MS);
  expect_all_taken_up ();
  fx_env_stop ();
}

/* The same for a route that goes to a second service afterwards.  */
static void
streams_outlive_their_instance_and_route (void)
{
  char *config = split_config ();
  char *split = g_strdup_printf ("{\"version\":4%s", strchr (config, ','));

  add_old ("i-1", hold_old);
  add_old ("i-3", hold_old);
  fx_target_add ("i-2", "other", cut_new_until_taken_up);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  begin_and_kill (1);
  fx_store_put ("config", "main", split);
  fx_sleep_ms (APPLY_MS);
  expect_all_taken_up ();
  fx_env_stop ();
  g_free (split);
  g_free (config);
}

static void
client_that_leaves_ends_the_wait (void)
{
  struct fx_target *old = add_old ("i-1", cut_old);
  int fd;

  add_version ("i-2", cut_new, "v2");
  fx_env_start (shop_config);
  fd = fx_connect ();
  fx_send (fd, TAKE_UP ("s2", "s1"));
  close (fd);
  fx_sleep_ms (APPLY_MS / 2);
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_open_requests"), 0);
  CU_ASSERT_EQUAL (fx_target_request_count (old), 0);
  fx_env_stop ();
}

static void
stream_goes_on_after_all_were_killed (void)
{
  int is_old;

  add_old ("i-1", cut_old_until_taken_up);
  add_version ("i-2", cut_new_until_taken_up, "v2");
  add_old ("i-3", cut_old_until_taken_up);
  add_version ("i-4", cut_new_until_taken_up, "v2");
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  is_old = break_off_stream ();
  fx_sleep_ms (STORE_MS);
  kill_routers (ROUTERS);
  fx_routers_start (ROUTERS);
  expect_taken_up_elsewhere (is_old);
  fx_env_stop ();
}

static void
stream_is_not_joined_after_all_were_killed (void)
{
  struct fx_target *target = add_old ("i-1", cut_old_until_taken_up);

  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  CU_ASSERT (break_off_stream ());
  kill_routers (ROUTERS);
  fx_target_restart (target, "v2");
  fx_routers_start (ROUTERS);
  shop_expect (TAKE_UP ("s2", "s1"), "503", "Content-Length: 0");
  fx_env_stop ();
}

/* Begins streams while one version serves, and kills all routers.  */
static void
begin_at_one_version_and_kill_all (void)
{
  add_old ("i-1", hold_old);
  add_old ("i-3", hold_old);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  begin_and_kill (ROUTERS);
}

/* Starts all routers again, beside a target of another version, and has the
   streams taken up.  */
static void
expect_taken_up_beside_another_version (void)
{
  add_version ("i-2", cut_new_until_taken_up, "v2");
  fx_routers_start (ROUTERS);
  fx_sleep_ms (PAST_MS);
  expect_all_taken_up ();
}

/* Guards against streams that nobody remembers being refused, though one
   version alone can have begun them.  */
static void
streams_go_on_beside_a_version_that_came_late (void)
{
  begin_at_one_version_and_kill_all ();
  expect_taken_up_beside_another_version ();
  fx_env_stop ();
}

static void
streams_go_on_after_a_restoration (void)
{
  begin_at_one_version_and_kill_all ();
  fx_store_restore (fx_store_revision ());
  expect_taken_up_beside_another_version ();
  fx_env_stop ();
}
