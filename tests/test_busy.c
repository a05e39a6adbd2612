/* Routers that place requests by when targets would begin them. */
#include <stdio.h>
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
  DATAGRAMS_MAX = 12
};

static void look_ups_avoid_a_target_that_reads (void);

static const struct test_case cases[] = {
  { "look-ups avoid a target that reads a long prompt for another router",
    look_ups_avoid_a_target_that_reads },
};

TEST_MAIN ("busy", cases)

static struct fx_target *targets[TARGETS];
static int look_ups[TARGETS]; /* that each has got */
static int reader;            /* target that got the last long prompt */

/* Handler of targets: a long prompt delays the first event.  The slowness in
   the load cannot be read.  */
static int
respond (const struct fx_request *request)
{
  int index = request->target == targets[1];
  int is_long = strstr (request->text, ":10000") != NULL;
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "X-Ibisloom-Server-Load: 1,0,16,-3,9\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

  if (is_long)
    g_atomic_int_set (&reader, index);
  else
    g_atomic_int_inc (&look_ups[index]);
  fx_sleep_ms (is_long ? READ_MS : 0);
  fx_write (request->fd, head);
  shop_write_events (request, 1, 1);
  fx_sleep_ms (is_long ? 0 : HOLD_MS);
  shop_write_events (request, 2, 5);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (head);
  g_free (id);
  return 1;
}

/* Sends a request through ROUTER, with a long prompt that has CONTEXT unless
   that is 0.  Returns the connection.  */
static int
begin_request (int router, int context)
{
  char *text = g_strdup_printf ("%sX-Ibisloom-Prompt-Prefix: %x:%d,ff%x:10\r\n"
                                "Content-Length: 1\r\n\r\nr",
                                REQUEST_HEAD ("POST", "/rules/1", "b"),
                                context, context != 0 ? 10000 : 10, context);
  int fd = fx_router_connect (router);

  fx_send (fd, text);
  g_free (text);
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

/* Sends look-ups through the second router.  Returns how many reached the
   target that got the last long prompt.  */
static int
count_look_ups_at_reader (void)
{
  int fds[LOOK_UPS];
  int index = g_atomic_int_get (&reader);
  int before = g_atomic_int_get (&look_ups[index]);

  for (int i = 0; i < LOOK_UPS; i++)
    {
      fds[i] = begin_request (1, 0);
      fx_sleep_ms (GAP_MS);
    }
  for (int i = 0; i < LOOK_UPS; i++)
    end_request (fds[i]);
  return g_atomic_int_get (&look_ups[index]) - before;
}

/* Starts the fleet with SETTINGS and the first router's LOG, sends a long
   prompt through the first router and look-ups through the other.  Returns how
   many of these reached the target that reads it.  */
static int
play (const char *settings, const char *log)
{
  int fd;
  int count;

  targets[0] = fx_target_add ("p-0", "pool", respond);
  targets[1] = fx_target_add ("p-1", "pool", respond);
  fx_store_start (shop_config);
  fx_routers_add_settings (settings);
  fx_router_spawn (0, log);
  fx_router_spawn (1, "/dev/null");
  for (int i = 0; i < ROUTERS; i++)
    {
      while (!fx_router_is_ready (i))
        fx_sleep_ms (GAP_MS);
      end_request (begin_request (i, i + 1));
    }
  fd = begin_request (0, ROUTERS + 1);
  fx_sleep_ms (KNOWN_MS);
  count = count_look_ups_at_reader ();
  end_request (fd);
  return count;
}

/* Returns how many times TEXT is in the file NAME.  */
static int
count_in_file (const char *name, const char *text)
{
  char *contents = NULL;
  int count = 0;

  CU_ASSERT (g_file_get_contents (name, &contents, NULL, NULL));
  for (const char *at = contents; at != NULL && (at = strstr (at, text)); at++)
    count++;
  g_free (contents);
  return count;
}

/* Counted as requests, the target with one long prompt is the least loaded
   once the other one has two look-ups.  A target's responses would each bring
   a log line for a figure that cannot be read.  */
static void
look_ups_avoid_a_target_that_reads (void)
{
  static const char sent[] = "ibisloom_datagrams_sent_total{kind=\"work\"}";
  char *log = NULL;
  long datagrams;

  CU_ASSERT (play ("", "/dev/null") > 0);
  CU_ASSERT (fx_router_metric (0, sent) <= 0);
  fx_env_stop ();
  CU_ASSERT_NOT_EQUAL_FATAL (g_file_open_tmp ("busy-XXXXXX", &log, NULL), -1);
  CU_ASSERT_EQUAL (play ("work_aware: 1\n", log), 0);
  fx_sleep_ms (KNOWN_MS);
  CU_ASSERT (count_look_ups_at_reader () > 0);
  datagrams = fx_router_metric (0, sent);
  CU_ASSERT (datagrams > 0 && datagrams <= DATAGRAMS_MAX);
  end_request (begin_request (0, 1));
  fx_env_stop ();
  CU_ASSERT (count_in_file (log, "\"begin_ms\"") > 2);
  CU_ASSERT (count_in_file (log, "\"bad_field\"") >= 1);
  CU_ASSERT (count_in_file (log, "\"bad_field\"") <= TARGETS);
  (void)remove (log);
  g_free (log);
}
