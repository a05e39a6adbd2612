/* End-to-end test of versions of a large configuration that come in a storm,
   beside a stream.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 9,           /* three in each failure domain, two of them watch */
  WATCH_START_MS = 3000, /* until the watchers are elected and settled */
  WATCH_STOP_MS = 4000,  /* until a watch that is not needed has stopped */
  APPLY_MS = 2000,       /* until a confirmed version must be in force */
  ROUTES = 1200,
  VERSIONS = 35,
  BETWEEN_MS = 70,
  TAKEN_MS = 80, /* until a change is taken; no watch follows for 250 ms */
  CHECK_MS = 25,
  EVENT_MS = 50,
  EVENTS = 64,  /* go on for longer than the storm */
  LATE_MS = 200 /* clients count an event that takes longer as late */
};

static void newest_version_of_a_storm_is_in_force (void);
static void whole_text_follows_a_wrong_difference (void);
static void unreadable_version_costs_none_before_it (void);

static const struct test_case cases[] = {
  { "the newest version of a storm is in force, and streams go on",
    newest_version_of_a_storm_is_in_force },
  { "of versions that come at once, the newest readable one is in force",
    unreadable_version_costs_none_before_it },
  /* Last, as its scripted peers go on for a while.  */
  { "a difference that builds on another text is refused, and the whole "
    "fetched",
    whole_text_follows_a_wrong_difference },
};

TEST_MAIN ("storm", cases)

/* Stream that a thread reads. */
struct reader
{
  int router;
  int events;
  gint64 latest_ms; /* longest time that an event took to arrive */
};

/* Makes VERSION, which differs in some routes from the ones before it, the
   configuration.  */
static void
put_version (int version)
{
  const char *routes = strstr (shop_config, "\"routes\":[");
  size_t head = (size_t)(routes - shop_config) + strlen ("\"routes\":[");
  GString *text = g_string_new ("{\"version\":");

  g_string_append_printf (
      text, "%d%.*s", version,
      (int)(head - (size_t)(strchr (shop_config, ',') - shop_config)),
      strchr (shop_config, ','));
  for (int i = 0; i < ROUTES; i++)
    g_string_append_printf (
        text,
        "{\"name\":\"r%d\",\"host\":\"h%d.example\",\"path_prefix\":\"/%d/\","
        "\"route_type\":\"idempotent\",\"timeout_ms\":%d,\"priority\":3,"
        "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2,"
        "\"stream_resume\":false,\"session_affinity\":false},",
        i, i % 50, i, i % 300 == version ? 1000 + version : 3000);
  g_string_append (text, shop_config + head);
  fx_store_put ("config", "main", text->str);
  g_string_free (text, TRUE);
}

static gint64
now_ms (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

/* Responds with events that tell when they were written.  */
static int
stream_slowly (const struct fx_request *request)
{
  shop_start_stream (request);
  for (int i = 1; i <= EVENTS; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %" G_GINT64_FORMAT "\n\n",
                                     i, now_ms ());

      shop_write_chunk (request, event);
      g_free (event);
      fx_sleep_ms (EVENT_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 0;
}

/* Reads a stream through the router of CLOSURE to its end.  */
static gpointer
read_stream (gpointer closure)
{
  struct reader *reader = closure;
  int fd = fx_router_connect (reader->router);
  char *request = g_strdup_printf (POST_PLAN ("storm-%d"), reader->router);
  char data[4096];
  ssize_t length;

  fx_send (fd, request);
  g_free (request);
  while ((length = read (fd, data, sizeof data - 1)) > 0)
    {
      data[length] = '\0';
      for (const char *at = data; (at = strstr (at, "data: ")) != NULL; at++)
        {
          gint64 sent_ms = g_ascii_strtoll (at + strlen ("data: "), NULL, 10);

          reader->latest_ms = MAX (reader->latest_ms, now_ms () - sent_ms);
          reader->events++;
        }
    }
  close (fd);
  return NULL;
}

/* Returns at how many routers VERSION is in force, and checks that none falls
   behind a version of BEFORE, which is set to those in force.  */
static int
count_in_force (long version, long *before)
{
  int count = 0;

  for (int i = 0; i < ROUTERS; i++)
    {
      long now = fx_router_metric (i, "ibisloom_version_in_force");

      CU_ASSERT (now >= before[i]);
      before[i] = now;
      count += now == version;
    }
  return count;
}

static void
newest_version_of_a_storm_is_in_force (void)
{
  struct reader readers[ROUTERS] = { { 0 } };
  GThread *threads[ROUTERS];
  long in_force[ROUTERS] = { 0 };
  gint64 end_us;

  fx_target_add ("p-0", "pool", stream_slowly);
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (WATCH_START_MS);
  for (int i = 0; i < ROUTERS; i++)
    {
      readers[i].router = i;
      threads[i] = g_thread_new ("reader", read_stream, &readers[i]);
    }
  for (int i = 0; i < VERSIONS; i++)
    {
      put_version (10 + i);
      fx_sleep_ms (BETWEEN_MS);
    }
  end_us = g_get_monotonic_time () + APPLY_MS * G_TIME_SPAN_MILLISECOND;
  while (count_in_force (10 + VERSIONS - 1, in_force) < ROUTERS
         && g_get_monotonic_time () <= end_us)
    fx_sleep_ms (CHECK_MS);
  CU_ASSERT_EQUAL (count_in_force (10 + VERSIONS - 1, in_force), ROUTERS);
  for (int i = 0; i < ROUTERS; i++)
    {
      g_thread_join (threads[i]);
      CU_ASSERT_EQUAL (readers[i].events, EVENTS);
      if (readers[i].latest_ms > LATE_MS)
        printf ("event late by %d ms ", (int)readers[i].latest_ms);
      CU_ASSERT (readers[i].latest_ms <= LATE_MS);
    }
  fx_env_stop ();
}

/* Checks that VERSION is in force at the first router within the bound.  */
static void
expect_version (long version)
{
  gint64 end_us = g_get_monotonic_time () + APPLY_MS * G_TIME_SPAN_MILLISECOND;

  while (fx_router_metric (0, "ibisloom_version_in_force") != version
         && g_get_monotonic_time () <= end_us)
    fx_sleep_ms (CHECK_MS);
  if (fx_router_metric (0, "ibisloom_version_in_force") != version)
    printf ("version %ld ", fx_router_metric (0, "ibisloom_version_in_force"));
  CU_ASSERT_EQUAL (fx_router_metric (0, "ibisloom_version_in_force"), version);
}

/* Guards against a version that is passed over, as what came instead of it
   could not be used.  The instance fetches, as others seem to watch.  */
static void
whole_text_follows_a_wrong_difference (void)
{
  fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_env_start (shop_config);
  fx_stale_watchers_start (2);
  fx_sleep_ms (WATCH_STOP_MS);
  fx_peers_send_bad_differences (1);
  fx_store_block_watches (1);
  shop_put_version (9);
  fx_newer_peer_start (9);
  expect_version (9);
  CU_ASSERT (fx_router_metric (0, "ibisloom_config_delta_refused_total") > 0);
  fx_peers_send_bad_differences (0);
  fx_store_block_watches (0);
  fx_env_stop ();
}

/* Guards against events of one response that are passed over, though what came
   after them cannot be read, is older or is of another object.  The events
   come together, as the watch pauses after a change.  */
static void
unreadable_version_costs_none_before_it (void)
{
  fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_env_start (shop_config);
  fx_sleep_ms (WATCH_START_MS);
  shop_put_version (5);
  fx_sleep_ms (TAKEN_MS);
  shop_put_version (9);
  shop_put_version (8);
  fx_store_put ("config", "main", "{\"version\":10,\"routes\":[7]}");
  fx_store_put ("config", "other", shop_config);
  fx_store_delete ("config", "main");
  expect_version (9);
  shop_expect (GET_MAP ("m"), "200", "well");
  fx_env_stop ();
}
