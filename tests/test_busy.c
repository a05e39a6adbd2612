/* Routers that place requests by when targets would begin them. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 2,
  TARGETS = 2,
  LOOK_UPS = 4,
  READ_MS = 800,  /* until the first event of a long prompt */
  HOLD_MS = 500,  /* of the streams of look-ups */
  KNOWN_MS = 150, /* until the other router knows of a long prompt */
  GAP_MS = 30,    /* until it knows of a look-up */
  DATAGRAMS_MAX = 12,
  REQUESTS = 5
};

static void look_ups_avoid_a_target_that_reads (void);
static void unreadable_figure_is_logged_once (void);

static const struct test_case cases[] = {
  { "look-ups avoid a target that reads a long prompt for another router",
    look_ups_avoid_a_target_that_reads },
  { "an unreadable figure of a load is logged once",
    unreadable_figure_is_logged_once },
};

TEST_MAIN ("busy", cases)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fx_target *targets[TARGETS];
static int look_ups[TARGETS]; /* that each has got */
static int reader;            /* target that got the last long prompt */

/* Handler of targets: a long prompt delays the first event.  */
static int
respond (const struct fx_request *request)
{
  int index = request->target == targets[1];
  int is_long = strstr (request->text, ":10000") != NULL;

  pthread_mutex_lock (&lock);
  if (is_long)
    reader = index;
  else
    look_ups[index]++;
  pthread_mutex_unlock (&lock);
  if (is_long)
    fx_sleep_ms (READ_MS);
  shop_start_stream (request);
  shop_write_events (request, 1, 1);
  if (!is_long)
    fx_sleep_ms (HOLD_MS);
  shop_write_events (request, 2, 5);
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Sends a request through ROUTER, with a long prompt that has CONTEXT unless
   that is 0.  Returns the connection.  */
static int
begin_request (int router, int context)
{
  char *prompt = context != 0 ? g_strdup_printf ("X-Ibisloom-Prompt-Prefix: "
                                                 "%x:10000,ff%x:10\r\n",
                                                 context, context)
                              : g_strdup ("");
  char *text
      = g_strdup_printf ("%s%sContent-Length: 1\r\n\r\nr",
                         REQUEST_HEAD ("POST", "/rules/1", "b"), prompt);
  int fd = fx_router_connect (router);

  fx_send (fd, text);
  g_free (text);
  g_free (prompt);
  return fd;
}

/* Waits for the response on FD, which has to be complete.  */
static void
end_request (int fd)
{
  char *response = fx_read_all (fd);

  CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: e5"));
  g_free (response);
}

/* Sends look-ups through ROUTER.  Returns how many reached the target that got
   the last long prompt.  */
static int
count_look_ups_at_reader (int router)
{
  int fds[LOOK_UPS];
  int before[TARGETS];
  int count;

  memcpy (before, look_ups, sizeof before);
  for (int i = 0; i < LOOK_UPS; i++)
    {
      fds[i] = begin_request (router, 0);
      fx_sleep_ms (GAP_MS);
    }
  pthread_mutex_lock (&lock);
  count = look_ups[reader] - before[reader];
  pthread_mutex_unlock (&lock);
  for (int i = 0; i < LOOK_UPS; i++)
    end_request (fds[i]);
  return count;
}

/* Starts the fleet with SETTINGS, sends a long prompt through one router and
   look-ups through the other.  Returns how many of these reached the target
   that reads it.  */
static int
play (const char *settings)
{
  int fd;
  int count;

  targets[0] = fx_target_add ("p-0", "pool", respond);
  targets[1] = fx_target_add ("p-1", "pool", respond);
  fx_store_start (shop_config);
  fx_routers_add_settings (settings);
  fx_routers_start (ROUTERS);
  for (int i = 0; i < ROUTERS; i++)
    end_request (begin_request (i, i + 1));
  fd = begin_request (0, ROUTERS + 1);
  fx_sleep_ms (KNOWN_MS);
  count = count_look_ups_at_reader (1);
  end_request (fd);
  return count;
}

/* Counted as requests, the target with one long prompt is the least loaded
   once the other one has two look-ups.  */
static void
look_ups_avoid_a_target_that_reads (void)
{
  long datagrams;

  CU_ASSERT (play ("") > 0);
  CU_ASSERT (
      fx_router_metric (0, "ibisloom_datagrams_sent_total{kind=\"work\"}")
      <= 0);
  fx_env_stop ();
  CU_ASSERT_EQUAL (play ("work_aware: 1\n"), 0);
  fx_sleep_ms (KNOWN_MS);
  CU_ASSERT (count_look_ups_at_reader (1) > 0);
  datagrams
      = fx_router_metric (0, "ibisloom_datagrams_sent_total{kind=\"work\"}");
  CU_ASSERT (datagrams > 0 && datagrams <= DATAGRAMS_MAX);
  fx_env_stop ();
}

/* Handler of targets: the slowness in the load is no number.  */
static int
respond_load (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
                         "X-Ibisloom-Response-Signature: s-%s\r\n"
                         "X-Ibisloom-Server-Load: "
                         "1000,0,16,-3,9\r\nContent-Length: 4\r\n\r\nwell",
                         id, id);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
  return 1;
}

/* Each response of such a target would otherwise bring a line.  The rest of
   the load is used.  */
static void
unreadable_figure_is_logged_once (void)
{
  char *log = NULL;
  char *contents = NULL;
  const char *at;
  int lines = 0;

  CU_ASSERT_NOT_EQUAL_FATAL (g_file_open_tmp ("test-busy-XXXXXX", &log, NULL),
                             -1);
  fx_target_add ("p-0", "pool", respond_load);
  fx_store_start (shop_config);
  fx_router_spawn (0, log);
  fx_sleep_ms (READ_MS);
  for (int i = 0; i < REQUESTS; i++)
    shop_expect (POST_RULES ("m"), "200", "well");
  CU_ASSERT (fx_router_metric (0, "ibisloom_over_bound_total") > 0);
  fx_env_stop ();
  CU_ASSERT (g_file_get_contents (log, &contents, NULL, NULL));
  for (at = contents; at != NULL && (at = strstr (at, "bad_field")) != NULL;
       at++)
    lines++;
  CU_ASSERT_EQUAL (lines, 1);
  g_free (contents);
  (void)remove (log);
  g_free (log);
}
