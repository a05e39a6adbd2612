/* Planned stops of a router in calm: each request that it takes gets an
   answer, however late it comes and whatever its target does.  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  FIRST_MS = 2600, /* after the signal, of the late requests */
  INTERVAL_MS = 100,
  REQUESTS = 30,
  TARGETS = 30,    /* so that some are left that no request suspended */
  HANG_MS = 20000, /* longer than any deadline */
  SLOW_MS = 2900   /* a little less than the deadline */
};

static void late_requests_are_answered (void);
static void late_unrepeatable_requests_run_or_are_refused (void);

static const struct test_case cases[] = {
  { "requests that come late in a stop are answered",
    late_requests_are_answered },
  { "requests that may not be repeated are answered by their targets or "
    "refused",
    late_unrepeatable_requests_run_or_are_refused },
};

TEST_MAIN ("stop", cases)

/* A client's late request. */
struct late
{
  int fd;
  const char *text;
  char *response;
};

static struct late late[REQUESTS];
static volatile int hang_ms;

/* Handler of targets: responds after hang_ms.  */
static int
respond_late (const struct fx_request *request)
{
  fx_sleep_ms (hang_ms);
  return shop_respond_ok (request);
}

/* Client: reads the response to the request CLOSURE.  */
static void *
read_response (void *closure)
{
  struct late *request = closure;

  request->response = fx_read_all (request->fd);
  return NULL;
}

/* Stops the router and sends it TEXTS in turn from FIRST_MS on.  The last ones
   are sent while it still works on earlier ones.  */
static void
send_late (const char *const *texts, int count)
{
  pthread_t readers[REQUESTS];

  memset (late, 0, sizeof late);
  fx_signal (SIGTERM);
  fx_sleep_ms (FIRST_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      late[i].fd = fx_connect ();
      late[i].text = texts[i % count];
      fx_write (late[i].fd, late[i].text);
      pthread_create (&readers[i], NULL, read_response, &late[i]);
      fx_sleep_ms (INTERVAL_MS);
    }
  for (int i = 0; i < REQUESTS; i++)
    pthread_join (readers[i], NULL);
}

/* Counts the late requests, and frees their responses: ANSWERED receives those
   with a response, REFUSED those told that they have not run.  */
static void
count_responses (int *answered, int *refused)
{
  *answered = 0;
  *refused = 0;
  for (int i = 0; i < REQUESTS; i++)
    {
      *answered += g_str_has_prefix (late[i].response, "HTTP/1.1 ");
      *refused += g_str_has_prefix (late[i].response, "HTTP/1.1 503 ");
      g_free (late[i].response);
      close (late[i].fd);
    }
}

/* Targets that hang: what was passed on is answered before the process ends,
   the rest is refused.  */
static void
late_requests_are_answered (void)
{
  static const char *const texts[] = { GET_MAP ("r"), POST_FEE ("f") };
  int answered;
  int refused;

  hang_ms = HANG_MS;
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("d-%d", i);

      fx_target_add (id, "desk", respond_late);
      g_free (id);
    }
  fx_env_start (shop_config);
  send_late (texts, G_N_ELEMENTS (texts));
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  count_responses (&answered, &refused);
  CU_ASSERT_EQUAL (answered, REQUESTS);
  CU_ASSERT (refused < REQUESTS);
  fx_env_stop ();
}

/* Targets that need nearly the whole deadline: no client is left not knowing
   whether its request ran.  */
static void
late_unrepeatable_requests_run_or_are_refused (void)
{
  static const char *const texts[] = { POST_FEE ("f") };
  struct fx_target *target;
  int answered;
  int refused;

  hang_ms = SLOW_MS;
  target = fx_target_add ("i-1", "desk", respond_late);
  fx_env_start (shop_config);
  send_late (texts, G_N_ELEMENTS (texts));
  CU_ASSERT_EQUAL (fx_wait_for_exit (), 0);
  count_responses (&answered, &refused);
  CU_ASSERT_EQUAL (answered, REQUESTS);
  CU_ASSERT_EQUAL (refused, REQUESTS - fx_target_request_count (target));
  fx_env_stop ();
}
