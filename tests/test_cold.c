/* End-to-end tests of a fleet with targets that are cold or have just
   started.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 12, /* of which the last one starts while a target is cold */
  TARGETS = 3,
  TARGETS_MAX = 4,
  CLIENTS = 60,
  WORK_MS = 100,
  COLD_PER_S = 10,
  SECOND_MS = 1000,
  CALM_MS = 1500,
  COLD_MS = 4000,
  NEWS_MS = 100, /* until all instances have heard that a target is cold */
  REFUSED_MAX_MS = 200,
  SHARE_MS = 3000, /* in which a target that has started gets its share */
  ARRIVALS_MAX = 20000
};

/* What a cold target bears over its rate in one second.  */
static const double OVERAGE = 1.5;
static const double SLACK = 5;

static void cold_targets_get_what_they_bear (void);
static void new_target_gets_its_share (void);

static const struct test_case cases[] = {
  { "cold targets get what they bear", cold_targets_get_what_they_bear },
  { "a new target gets its share step by step", new_target_gets_its_share },
};

TEST_MAIN ("cold", cases)

struct arrivals
{
  int count;
  int64_t at_ms[ARRIVALS_MAX];
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fx_target *targets[TARGETS_MAX];
static struct arrivals arrivals[TARGETS_MAX];
static gint stopping;
static gint numbers;
static gint routers = ROUTERS - 1;
static int refused;
static int served;
static int64_t slowest_refusal_ms;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int
work (const struct fx_request *request)
{
  int index = 0;

  pthread_mutex_lock (&lock);
  while (targets[index] != request->target && index < TARGETS_MAX - 1)
    index++;
  if (arrivals[index].count < ARRIVALS_MAX)
    arrivals[index].at_ms[arrivals[index].count++] = now_ms ();
  pthread_mutex_unlock (&lock);
  fx_sleep_ms (WORK_MS);
  shop_respond (request, "200 OK", "well");
  return 1;
}

static void *
send_requests (void *closure)
{
  while (!g_atomic_int_get (&stopping))
    {
      int number = g_atomic_int_add (&numbers, 1);
      char *text = g_strdup_printf (
          "POST /fee/1 HTTP/1.1\r\nHost: shop.example\r\n"
          "X-Ibisloom-Attempt-Id: r%d\r\n"
          "X-Ibisloom-Deadline-Remaining: 4000\r\n"
          "Authorization: Token key-1\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n",
          number);
      int fd = fx_router_connect (number % g_atomic_int_get (&routers));
      int64_t sent_ms = now_ms ();
      char *response;
      int is_refused;

      fx_send (fd, text);
      response = fx_read_all (fd);
      is_refused = g_str_has_prefix (response, "HTTP/1.1 503");
      pthread_mutex_lock (&lock);
      refused += is_refused;
      served += g_str_has_prefix (response, "HTTP/1.1 200");
      if (is_refused)
        slowest_refusal_ms = MAX (slowest_refusal_ms, now_ms () - sent_ms);
      pthread_mutex_unlock (&lock);
      g_free (response);
      g_free (text);
      fx_sleep_ms (is_refused ? WORK_MS : 1);
    }
  return closure;
}

/* Returns the most requests that target INDEX got in a second from FROM_MS to
   TO_MS, and stores how many it got in all in COUNT.  */
static int
most_arrivals (int index, int64_t from_ms, int64_t to_ms, int *count)
{
  const struct arrivals *at = &arrivals[index];
  int most = 0;

  *count = 0;
  pthread_mutex_lock (&lock);
  for (int first = 0; first < at->count; first++)
    {
      int n = 0;

      if (at->at_ms[first] < from_ms || at->at_ms[first] > to_ms)
        continue;
      (*count)++;
      while (first + n < at->count && at->at_ms[first + n] <= to_ms
             && at->at_ms[first + n] < at->at_ms[first] + SECOND_MS)
        n++;
      most = MAX (most, n);
    }
  pthread_mutex_unlock (&lock);
  return most;
}

/* Checks what target INDEX gets while it is cold, from now on.  */
static void
expect_bound (int index)
{
  int64_t from_ms = now_ms () + NEWS_MS;
  int count;
  int most;

  fx_sleep_ms (COLD_MS - NEWS_MS);
  most = most_arrivals (index, from_ms, from_ms + COLD_MS - 2 * NEWS_MS,
                        &count);
  printf ("%d in a second, %d in all ", most, count);
  CU_ASSERT (most < COLD_PER_S * OVERAGE + SLACK);
  CU_ASSERT (count > COLD_PER_S * COLD_MS / SECOND_MS / 2);
}

static void
become_cold (int index)
{
  char *members = g_strdup_printf (",\"cold_left_ms\":%d", COLD_MS);

  fx_target_put_entry (targets[index], members);
  g_free (members);
}

static char *
cold_config (void)
{
  const char *rest = strstr (shop_config, "{\"name\":\"desk\"}");

  return g_strdup_printf ("%.*s{\"name\":\"desk\",\"cold_s\":4,"
                          "\"cold_per_s\":%d.0}%s",
                          (int)(rest - shop_config), shop_config, COLD_PER_S,
                          rest + strlen ("{\"name\":\"desk\"}"));
}

/* Starts the fleet and the CLIENTS.  */
static void
start (pthread_t *clients)
{
  char *config = cold_config ();

  memset (arrivals, 0, sizeof arrivals);
  refused = 0;
  served = 0;
  slowest_refusal_ms = 0;
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&routers, ROUTERS - 1);
  targets[TARGETS] = NULL;
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = fx_target_add (id, "desk", work);
      g_free (id);
    }
  fx_store_start (config);
  fx_routers_add_settings (
      g_getenv ("SLOW_START_OFF") != NULL ? "" : "slow_start: 1\n");
  fx_routers_start (ROUTERS - 1);
  fx_sleep_ms (CALM_MS);
  for (int i = 0; i < CLIENTS; i++)
    CU_ASSERT_EQUAL_FATAL (
        pthread_create (&clients[i], NULL, send_requests, NULL), 0);
  fx_sleep_ms (CALM_MS);
  g_free (config);
}

/* Ends what start started.  */
static void
stop (pthread_t *clients)
{
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  fx_env_stop ();
}

/* Checks that a target that is cold beside warm ones gets what it bears, also
   if an instance starts meanwhile, and that requests are refused at once when
   all are cold.  A target at the same load as the others gets a third of 600
   requests a second.  */
static void
cold_targets_get_what_they_bear (void)
{
  pthread_t clients[CLIENTS];

  start (clients);
  become_cold (0);
  fx_router_spawn (ROUTERS - 1, "/dev/null");
  while (!fx_router_is_ready (ROUTERS - 1))
    fx_sleep_ms (1);
  g_atomic_int_set (&routers, ROUTERS);
  become_cold (0);
  expect_bound (0);
  CU_ASSERT_EQUAL (refused, 0);
  for (int i = 0; i < TARGETS; i++)
    become_cold (i);
  expect_bound (1);
  printf ("%d refused, %d served, slowest refusal %d ms ", refused, served,
          (int)slowest_refusal_ms);
  CU_ASSERT (refused > 0);
  CU_ASSERT (slowest_refusal_ms < REFUSED_MAX_MS);
  stop (clients);
}

/* Checks that a target that starts beside others gets no more than its share
   in the first second, and gets that within SHARE_MS.  */
static void
new_target_gets_its_share (void)
{
  pthread_t clients[CLIENTS];
  int64_t from_ms;
  int others = 0;
  int other;
  int first;
  int share;

  start (clients);
  from_ms = now_ms ();
  targets[TARGETS] = fx_target_add ("t-new", "desk", work);
  fx_sleep_ms (SHARE_MS + SECOND_MS);
  most_arrivals (TARGETS, from_ms, from_ms + SECOND_MS, &first);
  most_arrivals (TARGETS, from_ms + SHARE_MS, from_ms + SHARE_MS + SECOND_MS,
                 &share);
  for (int i = 0; i < TARGETS; i++)
    {
      most_arrivals (i, from_ms + SHARE_MS, from_ms + SHARE_MS + SECOND_MS,
                     &other);
      others += other;
    }
  printf ("%d requests in the first second, %d in the fourth, others %d there,"
          " %d refused ",
          first, share, others / TARGETS, refused);
  CU_ASSERT (first > 0);
  CU_ASSERT (first < others / TARGETS / 2);
  CU_ASSERT (share > others / TARGETS / 2);
  CU_ASSERT_EQUAL (refused, 0);
  stop (clients);
}
