/* End-to-end test of a fleet with targets that limit their request rate. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 12,
  TARGETS = 6,
  LIMITED_TARGETS = 4, /* the first ones */
  CLIENTS = 10,
  PAUSE_MS = 60,
  CONTEXTS = 24,
  START_MS = 1500,
  CONTACT_MS = 3000, /* until a change must have reached all instances */
  WINDOW_MS = 4000,
  MEASURED_MS = 5000,
  LIFTED_MS = 3000,
  ARRIVALS_MAX = 20000
};

/* Requests a second that a limited target takes.  In WINDOW_MS it may get one
   and a half times what that allows, and SLACK more.  */
static const double LIMIT_PER_S = 0.8;
static const double SLACK = 5;
static const double SERVED_MIN = 0.95;

static void limited_targets_get_what_they_allow (void);

static const struct test_case cases[] = {
  { "targets that limit their rate get what they allow",
    limited_targets_get_what_they_allow },
};

TEST_MAIN ("rate", cases)

struct arrivals
{
  struct fx_target *target;
  int count;
  int64_t at_ms[ARRIVALS_MAX];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct arrivals arrivals[TARGETS];
static gint stopping;
static gint limited;
static gint numbers;
static int sent;
static int served;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Counts REQUEST.  Returns whether its target limits its rate.  */
static int
count_arrival (const struct fx_request *request)
{
  int index = 0;

  pthread_mutex_lock (&lock);
  while (arrivals[index].target != request->target && index < TARGETS - 1)
    index++;
  if (arrivals[index].count < ARRIVALS_MAX)
    arrivals[index].at_ms[arrivals[index].count++] = now_ms ();
  pthread_mutex_unlock (&lock);
  return index < LIMITED_TARGETS && g_atomic_int_get (&limited);
}

static int
stream_with_limit (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *field = g_strdup_printf ("Server-Limit: %g\r\n", LIMIT_PER_S);
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n%s"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id, count_arrival (request) ? field : "");

  fx_write (request->fd, text);
  shop_write_events (request, 1, 3);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (text);
  g_free (field);
  g_free (id);
  return 1;
}

static void *
send_requests (void *closure)
{
  GRand *random = g_rand_new_with_seed ((guint32)GPOINTER_TO_INT (closure));

  while (!g_atomic_int_get (&stopping))
    {
      char *text = g_strdup_printf (
          "POST /rules/1 HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Ibisloom-Attempt-Id: r%d\r\n"
          "X-Ibisloom-Deadline-Remaining: 4000\r\n"
          "X-Ibisloom-Prompt-Prefix: c%x:10,%x:10\r\n"
          "Authorization: Token key-1\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n",
          g_atomic_int_add (&numbers, 1),
          g_rand_int_range (random, 0, CONTEXTS), 0x10000);
      int fd = fx_router_connect (g_rand_int_range (random, 0, ROUTERS));
      char *response;

      fx_send (fd, text);
      response = fx_read_all (fd);
      pthread_mutex_lock (&lock);
      sent++;
      served += strstr (response, "data: e3\n") != NULL;
      pthread_mutex_unlock (&lock);
      g_free (response);
      g_free (text);
      fx_sleep_ms (PAUSE_MS);
    }
  g_rand_free (random);
  return NULL;
}

/* Returns the most requests that target INDEX got in WINDOW_MS after
   FROM_MS.  */
static int
most_arrivals (int index, int64_t from_ms)
{
  const struct arrivals *at = &arrivals[index];
  int most = 0;

  for (int first = 0; first < at->count; first++)
    {
      int count = 0;

      if (at->at_ms[first] < from_ms)
        continue;
      while (first + count < at->count
             && at->at_ms[first + count] < at->at_ms[first] + WINDOW_MS)
        count++;
      most = MAX (most, count);
    }
  return most;
}

/* Returns how many requests the limited targets got after FROM_MS.  */
static int
count_limited (int64_t from_ms)
{
  int count = 0;

  for (int i = 0; i < LIMITED_TARGETS; i++)
    for (int n = 0; n < arrivals[i].count; n++)
      count += arrivals[i].at_ms[n] >= from_ms;
  return count;
}

static void
expect_limits (int64_t from_ms)
{
  double allowed = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + SLACK;
  int count;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < LIMITED_TARGETS; i++)
    {
      int most = most_arrivals (i, from_ms);

      printf ("%d ", most);
      CU_ASSERT (most <= allowed);
    }
  count = count_limited (from_ms);
  printf ("in 4 s, allowed %.1f; %d in all; served %d of %d ", allowed, count,
          served, sent);
  CU_ASSERT (count >= LIMITED_TARGETS * LIMIT_PER_S * MEASURED_MS / 1000 / 2);
  CU_ASSERT (served >= sent * SERVED_MIN);
  pthread_mutex_unlock (&lock);
}

/* At the end the limits are lifted, and the targets get their part again.  */
static void
limited_targets_get_what_they_allow (void)
{
  pthread_t threads[CLIENTS];
  int64_t from_ms;

  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      arrivals[i].target = fx_target_add (id, "pool", stream_with_limit);
      g_free (id);
    }
  fx_store_start (shop_config);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
  for (int i = 0; i < CLIENTS; i++)
    CU_ASSERT_EQUAL_FATAL (pthread_create (&threads[i], NULL, send_requests,
                                           GINT_TO_POINTER (i + 1)),
                           0);
  fx_sleep_ms (START_MS);
  g_atomic_int_set (&limited, 1);
  fx_sleep_ms (CONTACT_MS);
  from_ms = now_ms ();
  fx_sleep_ms (MEASURED_MS);
  expect_limits (from_ms);
  g_atomic_int_set (&limited, 0);
  fx_sleep_ms (CONTACT_MS);
  from_ms = now_ms ();
  fx_sleep_ms (LIFTED_MS);
  pthread_mutex_lock (&lock);
  CU_ASSERT (count_limited (from_ms)
             > 2 * LIMITED_TARGETS * LIMIT_PER_S * LIFTED_MS / 1000);
  pthread_mutex_unlock (&lock);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (threads[i], NULL);
  fx_env_stop ();
}
