/* End-to-end test of targets that fall over when they turn away too many
   requests. */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "brittle_fixture.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 4,
  TARGETS = 8,
  CLIENTS = 100,
  CALM_MS = 500,
  CONTACT_MS = 3000, /* from the word until less may wait */
  MEASURED_MS = 5000,
  SLOTS = 2,
  QUEUE = 4,
  WORK_MS = 60,
  BACK_MS = 3000,
  REJECTIONS_MAX = 3,
  FALLS_MAX = 2, /* and a tenth of the number of targets */
  FALLS_DIVISOR = 10
};

/* Of what could have run.  */
static const double SERVED_MIN = 0.75;

static void calls_that_fit (void);
static void calls_near_the_room (void);
static void calls_beyond_the_room (void);
static void streams_beyond_the_room (void);
static void less_room_than_slots (void);

static const struct test_case cases[] = {
  { "calls that fit make no brittle target fall", calls_that_fit },
  { "calls near the room make no brittle target fall", calls_near_the_room },
  { "calls beyond the room make no brittle target fall",
    calls_beyond_the_room },
  { "streams beyond the room make no brittle target fall",
    streams_beyond_the_room },
  { "brittle targets that take less than their slots do not fall",
    less_room_than_slots },
};

TEST_MAIN ("brittle", cases)

/* What clients send. */
struct load
{
  const char *service;
  const char *path;
  int per_s;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct load load;
static gint64 started_us;
static gint stopping;
static gint measuring;
static gint numbers;
static int sent;
static int served;

/* Sends request NUMBER.  Returns whether it was served.  */
static int
exchange (int number)
{
  char *text = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: "
      "r%d\r\n"
      "X-Ibisloom-Deadline-Remaining: 3000\r\nAuthorization: Token key-1\r\n"
      "Content-Length: 0\r\nConnection: close\r\n\r\n",
      load.path, number);
  int fd = fx_router_connect (number % ROUTERS);
  char *response;
  int is_served;

  fx_send (fd, text);
  response = fx_read_all (fd);
  is_served = g_str_has_prefix (response, "HTTP/1.1 200")
              && (strstr (response, "\r\n\r\nwell") != NULL
                  || strstr (response, "data: e3\n") != NULL);
  g_free (response);
  g_free (text);
  return is_served;
}

/* Sends the next request when it is due, as one of the CLIENTS.  */
static void *
send_requests (void *closure)
{
  (void)closure;
  while (!g_atomic_int_get (&stopping))
    {
      int number = g_atomic_int_add (&numbers, 1);
      gint64 due_us
          = started_us + (gint64)number * G_USEC_PER_SEC / load.per_s;
      gint64 early_us = due_us - g_get_monotonic_time ();
      int counted;
      int is_served;

      if (early_us > 0)
        g_usleep ((gulong)early_us);
      counted = g_atomic_int_get (&measuring);
      is_served = exchange (number);
      pthread_mutex_lock (&lock);
      sent += counted;
      served += counted && is_served;
      pthread_mutex_unlock (&lock);
    }
  return NULL;
}

static void
start_fleet (struct brittle_target **targets,
             const struct brittle_script *script)
{
  fx_store_start (shop_config);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      targets[i] = brittle_target_add (id, load.service, script);
      g_free (id);
    }
  fx_routers_start (ROUTERS);
}

/* Sends requests while the targets say that they are brittle and then let no
   request wait.  */
static void
play (struct brittle_target **targets)
{
  pthread_t clients[CLIENTS];

  sent = 0;
  served = 0;
  g_atomic_int_set (&stopping, 0);
  g_atomic_int_set (&numbers, 0);
  started_us = g_get_monotonic_time ();
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, send_requests, NULL);
  fx_sleep_ms (CALM_MS);
  for (int i = 0; i < TARGETS; i++)
    brittle_target_say (targets[i], REJECTIONS_MAX);
  fx_sleep_ms (CONTACT_MS);
  for (int i = 0; i < TARGETS; i++)
    brittle_target_set_queue (targets[i], 0);
  g_atomic_int_set (&measuring, 1);
  fx_sleep_ms (MEASURED_MS);
  g_atomic_int_set (&measuring, 0);
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
}

/* Checks that no more targets with ENTRY_SLOTS fall than allowed under LOAD,
   and that what they have room for is served.  */
static void
expect_no_falls (struct load next, int entry_slots, int events)
{
  struct brittle_script script = { .entry_slots = entry_slots,
                                   .slots = SLOTS,
                                   .queue = QUEUE,
                                   .work_ms = WORK_MS,
                                   .events = events,
                                   .back_ms = BACK_MS };
  struct brittle_target *targets[TARGETS];
  struct brittle_counts sum = { 0 };
  double room = (double)TARGETS * SLOTS * MEASURED_MS / WORK_MS;

  load = next;
  start_fleet (targets, &script);
  play (targets);
  for (int i = 0; i < TARGETS; i++)
    {
      struct brittle_counts counts = brittle_target_counts (targets[i]);

      sum.arrivals += counts.arrivals;
      sum.rejections += counts.rejections;
      sum.falls += counts.falls;
    }
  printf ("%d/s: %d falls, %d of %d rejected, %d of %d served (room %.0f) ",
          load.per_s, sum.falls, sum.rejections, sum.arrivals, served, sent,
          room);
  CU_ASSERT (sum.falls <= FALLS_MAX + TARGETS / FALLS_DIVISOR);
  CU_ASSERT (served >= SERVED_MIN * MIN (sent, room));
  brittle_targets_stop ();
  fx_env_stop ();
}

static void
calls_that_fit (void)
{
  expect_no_falls ((struct load){ "desk", "/fee/1", 100 }, SLOTS, 0);
}

static void
calls_near_the_room (void)
{
  expect_no_falls ((struct load){ "desk", "/fee/1", 200 }, SLOTS, 0);
}

static void
calls_beyond_the_room (void)
{
  expect_no_falls ((struct load){ "desk", "/fee/1", 300 }, SLOTS, 0);
}

static void
streams_beyond_the_room (void)
{
  expect_no_falls ((struct load){ "pool", "/rules/1", 300 }, SLOTS, 3);
}

static void
less_room_than_slots (void)
{
  expect_no_falls ((struct load){ "desk", "/fee/1", 200 }, 4 * SLOTS, 0);
}
