/* Routers that all end at once and ask targets, when they start again, what
   these hold. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/rank.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 3,
  TARGETS = 6,
  CONTEXTS = 12,
  TOKENS = 4000,
  SHARED_BASE = 0x1000, /* ids of the parts that contexts end with */
  PROMPT_PART = 0x77,   /* the part that they all begin with */
  LISTS_MS = 1500,      /* until all targets have been asked */
  TAKEOVER_MS = 4000,   /* the same, also those of a router that has ended */
  HANG_MS = 3000,
  ENDLESS_PIECES = 131072, /* 4 MB, far more than is read */
  SLOW_MS = 600,           /* of a stream, so that several are in progress */
  ARRIVE_MS = 150,         /* until these have reached it */
  FILL = 5,                /* requests that bring a target to its bound */
  AT_ONCE_MS = 250 /* in which a request is served beside a call that hangs */
};

/* How a target answers a call for its list. */
enum answer
{
  LIST,
  UNKNOWN,
  RUBBISH,
  ENDLESS,
  HANG
};

static void requests_go_to_holders_after_the_end_of_all (void);
static void lists_of_a_router_that_ends_are_read (void);
static void odd_answers_delay_nothing (void);
static void full_holder_is_the_source (void);

static const struct test_case cases[] = {
  { "after the end of all routers, requests go to holders",
    requests_go_to_holders_after_the_end_of_all },
  { "others ask in place of a router that ends",
    lists_of_a_router_that_ends_are_read },
  { "targets that know no list, or hang, delay nothing",
    odd_answers_delay_nothing },
  { "a context is copied from a holder that is full",
    full_holder_is_the_source },
};

TEST_MAIN ("contexts", cases)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fx_target *targets[TARGETS];
static struct fx_target *desk; /* of a service that keeps no contexts */
static enum answer answers[TARGETS];
static int lists[TARGETS]; /* calls for the list of each */
static int tells_contexts; /* the lists are not empty */
static int last_target;    /* that got a request */
static int is_slow;        /* streams take SLOW_MS */

/* Returns the target that holds CONTEXT: the last of its rendezvous ranking,
   which is no home, among those that answer with a list.  */
static int
holder_of (int context)
{
  uint64_t key
      = rank_mix (rank_mix (0, PROMPT_PART), SHARED_BASE + (uint64_t)context);
  struct rank_node nodes[TARGETS];
  size_t top[TARGETS];
  size_t last = TARGETS;

  for (int i = 0; i < TARGETS; i++)
    {
      char id[16];

      g_snprintf (id, sizeof id, "p-%d", i);
      nodes[i] = (struct rank_node){ rank_hash (id) & UINT32_MAX, 1 };
    }
  (void)rank_top (key, nodes, TARGETS, top, TARGETS);
  do
    last--;
  while (last > 2 && answers[top[last]] != LIST);
  return (int)top[last];
}

/* Writes the list of target INDEX, up to the end of the connection.  */
static void
respond_list (const struct fx_request *request, int index)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "HTTP/1.1 200 OK\r\n\r\n{\"epoch\":1,"
                   "\"next_token\":9,\"held\":[[\"\",\"%x\",%d,\"m\"]",
                   PROMPT_PART, TOKENS);
  for (int i = 0; i < CONTEXTS && tells_contexts; i++)
    if (holder_of (i) == index)
      g_string_append_printf (text, ",[\"\",\"%x\",%d,\"m\"]", SHARED_BASE + i,
                              TOKENS);
  g_string_append (text, "]}");
  fx_write (request->fd, text->str);
  g_string_free (text, TRUE);
}

/* Answers a call for the list of target INDEX.  */
static void
answer_call (const struct fx_request *request, int index)
{
  static const char *const starts[] = {
    [UNKNOWN] = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
    [RUBBISH] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]}",
    [ENDLESS] = "HTTP/1.1 200 OK\r\n\r\n",
  };

  pthread_mutex_lock (&lock);
  lists[index]++;
  pthread_mutex_unlock (&lock);
  if (answers[index] == LIST)
    respond_list (request, index);
  else if (answers[index] == HANG)
    fx_sleep_ms (HANG_MS);
  else
    fx_write (request->fd, starts[answers[index]]);
  for (int i = 0; i < ENDLESS_PIECES && answers[index] == ENDLESS; i++)
    fx_write (request->fd, "                                ");
}

/* Handler of targets.  */
static int
respond (const struct fx_request *request)
{
  int index = 0;

  while (index < TARGETS - 1 && targets[index] != request->target)
    index++;
  if (g_str_has_prefix (request->text, "GET /kv-list "))
    {
      answer_call (request, index);
      return 0;
    }
  pthread_mutex_lock (&lock);
  last_target = index;
  pthread_mutex_unlock (&lock);
  if (is_slow)
    fx_sleep_ms (SLOW_MS);
  return shop_stream_events (request);
}

/* Starts the targets, which hold contexts if IS_FULL, and COUNT routers.  */
static void
start (int count, int is_full)
{
  memset (lists, 0, sizeof lists);
  tells_contexts = is_full;
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("p-%d", i);

      targets[i] = fx_target_add (id, "pool", respond);
      g_free (id);
    }
  desk = fx_target_add ("d-0", "desk", shop_respond_ok);
  fx_store_start (shop_config);
  fx_routers_add_settings ("context_lists: 1\n");
  fx_routers_start (count);
}

/* Sends a request with CONTEXT through ROUTER.  Returns the connection.  */
static int
begin_request (int router, int context)
{
  char *text = g_strdup_printf (
      "%sContent-Length: 1\r\n"
      "X-Ibisloom-Prompt-Prefix: %x:%d,%x:%d,%x:10\r\n\r\nr",
      REQUEST_HEAD ("POST", "/rules/1", "c"), PROMPT_PART, TOKENS,
      SHARED_BASE + context, TOKENS, 0x10000 + context);
  int fd = fx_router_connect (router);

  fx_send (fd, text);
  g_free (text);
  return fd;
}

/* Sends a request with CONTEXT through ROUTER.  Returns the target that got
   it, or -1 if it was not served.  */
static int
send_context (int router, int context)
{
  char *response = fx_read_all (begin_request (router, context));
  int target;

  pthread_mutex_lock (&lock);
  target = strstr (response, "data: e5") != NULL ? last_target : -1;
  pthread_mutex_unlock (&lock);
  g_free (response);
  return target;
}

/* Counts the contexts from FIRST to LAST that reach their holders through
   ROUTER.  */
static int
count_at_holders (int router, int first, int last)
{
  int count = 0;

  for (int i = first; i <= last; i++)
    count += send_context (router, i) == holder_of (i);
  return count;
}

/* Checks that each target was asked COUNT times, but not the one whose service
   keeps no contexts: it may take the call for a request.  */
static void
expect_lists (int count)
{
  CU_ASSERT_EQUAL (fx_target_request_count (desk), 0);
  for (int i = 0; i < TARGETS; i++)
    CU_ASSERT_EQUAL (lists[i], count);
}

/* As after a loss of power: no instance knows where the contexts are, and they
   would go to their homes, which read them.  A router that starts alone asks
   no target, but knows them from another one.  */
static void
requests_go_to_holders_after_the_end_of_all (void)
{
  start (ROUTERS, 0);
  fx_sleep_ms (LISTS_MS);
  expect_lists (1);
  tells_contexts = 1;
  for (int i = 0; i < ROUTERS; i++)
    fx_router_signal (i, SIGKILL);
  for (int i = 0; i < ROUTERS; i++)
    fx_router_wait_for_exit (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (LISTS_MS);
  expect_lists (2);
  for (int i = 0; i < ROUTERS; i++)
    CU_ASSERT_EQUAL (count_at_holders (i, i, i + 5), 6);
  CU_ASSERT (fx_router_metric (0, "ibisloom_context_lists_placed_total") > 0);
  fx_sleep_ms (TAKEOVER_MS);
  fx_router_signal (1, SIGKILL);
  fx_router_wait_for_exit (1);
  fx_router_spawn (1, "/dev/null");
  fx_sleep_ms (LISTS_MS);
  expect_lists (2);
  CU_ASSERT_EQUAL (count_at_holders (1, 8, CONTEXTS - 1), CONTEXTS - 8);
  fx_env_stop ();
}

/* Nobody would ever ask the targets of the router that has ended.  */
static void
lists_of_a_router_that_ends_are_read (void)
{
  start (2, 1);
  fx_router_signal (0, SIGKILL);
  fx_router_wait_for_exit (0);
  fx_sleep_ms (TAKEOVER_MS);
  for (int i = 0; i < TARGETS; i++)
    CU_ASSERT (lists[i] > 0);
  CU_ASSERT_EQUAL (count_at_holders (1, 0, CONTEXTS - 1), CONTEXTS);
  fx_env_stop ();
}

/* The calls must not hold up requests, be repeated, or take memory.  */
static void
odd_answers_delay_nothing (void)
{
  long failed = 0;

  answers[0] = UNKNOWN;
  answers[1] = RUBBISH;
  answers[2] = ENDLESS;
  answers[3] = HANG;
  start (ROUTERS, 1);
  for (int i = 0; i < LISTS_MS / AT_ONCE_MS; i++)
    {
      gint64 started_us = g_get_monotonic_time ();

      CU_ASSERT (send_context (i % ROUTERS, CONTEXTS + i) >= 0);
      CU_ASSERT (g_get_monotonic_time () - started_us < AT_ONCE_MS * 1000);
      fx_sleep_ms (AT_ONCE_MS);
    }
  expect_lists (1);
  for (int i = 0; i < ROUTERS; i++)
    {
      failed += fx_router_metric (i, "ibisloom_context_lists_failed_total");
      CU_ASSERT_EQUAL (count_at_holders (i, 0, CONTEXTS - 1), CONTEXTS);
    }
  CU_ASSERT_EQUAL (failed, 4);
  memset (answers, 0, sizeof answers);
  fx_env_stop ();
}

/* The home that gets the request would copy from the other home, which does
   not hold the context, and so read it.  */
static void
full_holder_is_the_source (void)
{
  int fds[FILL];
  char *address;
  char *request;
  char *source;
  int target;

  start (1, 1);
  fx_sleep_ms (LISTS_MS);
  is_slow = 1;
  for (int i = 0; i < FILL; i++)
    fds[i] = begin_request (0, 0);
  fx_sleep_ms (ARRIVE_MS);
  target = send_context (0, 0);
  for (int i = 0; i < FILL; i++)
    g_free (fx_read_all (fds[i]));
  is_slow = 0;
  CU_ASSERT_FATAL (target >= 0);
  request = fx_target_last_request (targets[target]);
  source = fx_header_value (request, "Kv-Fetch");
  address = g_strdup_printf ("127.0.0.1:%d",
                             fx_target_port (targets[holder_of (0)]));
  CU_ASSERT_STRING_EQUAL (source != NULL ? source : "", address);
  g_free (address);
  g_free (source);
  g_free (request);
  fx_env_stop ();
}
