/* End-to-end tests of instances that have missed a new software version, and
   are asked to go on with streams that it began at other instances.  */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "proxy_fixture.h"
#include "shop.h"
#include "test.h"

/* Request of a client that takes up the stream that attempt %1$s began.  */
#define TAKE_UP                                                               \
  "POST /plan/1 HTTP/1.1\r\nHost: shop.example\r\n"                           \
  "X-Ibisloom-Attempt-Id: again-%1$s\r\nX-Ibisloom-Deadline-Remaining: "      \
  "4000\r\nAuthorization: Token key-1\r\nConnection: close\r\n"               \
  "Last-Event-Id: 2\r\nResumes: %1$s\r\nContent-Length: 4\r\n\r\nplan"
#define BEGIN                                                                 \
  "POST /plan/1 HTTP/1.1\r\nHost: shop.example\r\n"                           \
  "X-Ibisloom-Attempt-Id: %s\r\nX-Ibisloom-Deadline-Remaining: "              \
  "4000\r\nAuthorization: Token key-1\r\nConnection: close\r\n"               \
  "Content-Length: 4\r\n\r\nplan"

enum
{
  ROUTERS = 6,
  BEHIND = 5,      /* the router that misses the new version */
  APPLY_MS = 2000, /* until a new entry in the store is known */
  NEWS_MS = 100,   /* until a watcher has it */
  BEGIN_TRIES = 4000,
  EVENTS = 5,
  EVENTS_BEFORE_CUT = 2
};

static void frozen_instance_does_not_join (void);
static void instance_apart_does_not_join (void);
static void instance_apart_goes_on_by_the_store (void);
static void late_entry_does_not_join (void);

static const struct test_case cases[] = {
  { "a stream of a version that came while an instance was frozen is not "
    "joined there",
    frozen_instance_does_not_join },
  { "a stream of a version that came while an instance was cut off is not "
    "joined there",
    instance_apart_does_not_join },
  { "an instance cut off from peers only goes on with unknown streams",
    instance_apart_goes_on_by_the_store },
  { "a stream of a target that had started again is not joined after its "
    "entry",
    late_entry_does_not_join },
};

TEST_MAIN ("behind", cases)

/* Writes a stream with TEXT, broken off unless a client takes it up.  */
static int
write_stream (const struct fx_request *request, const char *text)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");
  int is_taken_up = strstr (request->text, "Resumes: ") != NULL;
  int last = is_taken_up ? EVENTS : EVENTS_BEFORE_CUT;

  shop_start_stream (request);
  for (int i = after != NULL ? atoi (after) + 1 : 1; i <= last; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: %s%d\n\n", i, text, i);

      shop_write_chunk (request, event);
      g_free (event);
    }
  if (is_taken_up)
    fx_write (request->fd, "0\r\n\r\n");
  g_free (after);
  return is_taken_up;
}

static gint has_started_again;

/* Writes as a target that starts again as the newer version.  */
static int
write_changing (const struct fx_request *request)
{
  return write_stream (request,
                       g_atomic_int_get (&has_started_again) ? "new" : "old");
}

static int
write_old (const struct fx_request *request)
{
  return write_stream (request, "old");
}

static int
write_new (const struct fx_request *request)
{
  return write_stream (request, "new");
}

/* Starts the store, and targets of the older version, of which it returns
   one.  */
static struct fx_target *
start_fleet (void)
{
  fx_store_start (shop_config);
  (void)fx_target_add ("i-1", "pool", write_old);
  return fx_target_add ("i-2", "pool", write_old);
}

/* Starts targets of the newer version.  */
static void
add_new_version (void)
{
  fx_target_add_version ("i-3", "pool", "v2", write_new);
  fx_target_add_version ("i-4", "pool", "v2", write_new);
}

/* Has streams begin at the first router until VERSION begins one, which then
   breaks off.  Returns its attempt id, newly allocated.  */
static char *
begin_at (const char *version)
{
  static int count;

  for (int i = 0; i < BEGIN_TRIES; i++)
    {
      char *id = g_strdup_printf ("s-%d", ++count);
      char *request = g_strdup_printf (BEGIN, id);
      char *response = fx_exchange (request);
      int is_version = strstr (response, version) != NULL;

      g_free (response);
      g_free (request);
      if (is_version)
        return id;
      g_free (id);
      fx_sleep_ms (1);
    }
  CU_FAIL_FATAL ("no stream began at the version");
  return NULL;
}

/* The same, of a stream that TARGET begins.  */
static char *
begin_at_target (struct fx_target *target, const char *version)
{
  for (int i = 0; i < BEGIN_TRIES; i++)
    {
      int requests = fx_target_request_count (target);
      char *id = begin_at (version);

      if (fx_target_request_count (target) > requests)
        return id;
      g_free (id);
    }
  CU_FAIL_FATAL ("no stream began at the target");
  return NULL;
}

/* Sends ROUTER a request to take up the stream that the attempt ID began.
   Returns the connection.  */
static int
take_up_at (int router, const char *id)
{
  char *request = g_strdup_printf (TAKE_UP, id);
  int fd = fx_router_connect (router);

  CU_ASSERT_FATAL (fd >= 0);
  fx_send (fd, request);
  g_free (request);
  return fd;
}

/* The same, for the router that is behind.  */
static int
take_up (const char *id)
{
  return take_up_at (BEHIND, id);
}

/* Checks that the response on FD goes on at the newer version, or, unless
   IS_SERVED, that it is a refusal.  */
static void
expect_not_joined (int fd, int is_served)
{
  char *response = fx_read_all (fd);
  int goes_on = strstr (response, "data: new5") != NULL;

  CU_ASSERT_PTR_NULL (strstr (response, "data: old"));
  CU_ASSERT (goes_on
             || (!is_served && g_str_has_prefix (response, "HTTP/1.1 503")));
  g_free (response);
}

/* Sends the signal NUMBER to all routers but the one that is behind.  */
static void
signal_others (int number)
{
  for (int i = 0; i < ROUTERS; i++)
    if (i != BEHIND)
      fx_router_signal (i, number);
}

/* Datagrams from before are read after the freeze.  */
static void
frozen_instance_does_not_join (void)
{
  struct proxy *store;
  char *id;
  int fd;

  (void)start_fleet ();
  store = fx_store_add_proxy (BEHIND);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  fx_router_signal (BEHIND, SIGSTOP);
  proxy_set_mode (store, PROXY_RESET, 0);
  add_new_version ();
  id = begin_at ("new");
  signal_others (SIGSTOP);
  fd = take_up (id);
  fx_router_signal (BEHIND, SIGCONT);
  expect_not_joined (fd, 0);
  signal_others (SIGCONT);
  proxy_set_mode (store, PROXY_PASS, 0);
  fx_sleep_ms (APPLY_MS);
  expect_not_joined (take_up (id), 1);
  g_free (id);
  fx_env_stop ();
}

/* It has heard the store just before.  */
static void
instance_apart_does_not_join (void)
{
  struct fx_target *old;
  struct proxy *store;
  char *id;

  old = start_fleet ();
  store = fx_store_add_proxy (BEHIND);
  fx_router_set_apart (BEHIND);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  fx_target_put_entry (old, "");
  fx_sleep_ms (NEWS_MS);
  proxy_set_mode (store, PROXY_DROP_ALL, 0);
  add_new_version ();
  id = begin_at ("new");
  expect_not_joined (take_up (id), 0);
  g_free (id);
  fx_env_stop ();
}

static void
instance_apart_goes_on_by_the_store (void)
{
  char *id;
  char *response;

  (void)start_fleet ();
  fx_router_set_apart (BEHIND);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (2 * APPLY_MS);
  id = begin_at ("old");
  response = fx_read_all (take_up (id));
  CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: old5"));
  g_free (response);
  g_free (id);
  fx_env_stop ();
}

static void
late_entry_does_not_join (void)
{
  struct fx_target *changing;
  char *before;
  char *after;

  (void)start_fleet ();
  changing = fx_target_add ("i-3", "pool", write_changing);
  fx_target_add_version ("i-4", "pool", "v2", write_new);
  g_atomic_int_set (&has_started_again, 0);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (APPLY_MS);
  before = begin_at ("old");
  fx_target_start_again (changing);
  g_atomic_int_set (&has_started_again, 1);
  after = begin_at_target (changing, "new");
  fx_target_set_version (changing, "v2");
  fx_sleep_ms (APPLY_MS);
  for (int i = 0; i < ROUTERS; i++)
    {
      char *response = fx_read_all (take_up_at (i, before));

      expect_not_joined (take_up_at (i, after), 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (response, "data: old5"));
      g_free (response);
    }
  g_free (before);
  g_free (after);
  fx_env_stop ();
}
