/* End-to-end tests of targets that write an earlier refusal once more on a
   kept connection. */
#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "shop.h"
#include "test.h"

enum
{
  PORTS = 65536,
  RUN_MS = 100,
  SUSPENDED_MS = 200, /* after it, a target that refused is used again */
  SERVED_TIMEOUT_MS = 5000,
  SPREAD_US = 4000,
  ROUNDS = 24
};

static void refusal_of_same_request (void);
static void refusal_of_other_request (void);
static void refusal_without_id (void);
static void refusal_around_the_next_request (void);

static const struct test_case cases[] = {
  { "a repeated refusal of the same request is not its response",
    refusal_of_same_request },
  { "a repeated refusal of another request is not a response",
    refusal_of_other_request },
  { "a repeated refusal without an id is not a response", refusal_without_id },
  { "a refusal repeated just before or after a request is not its response",
    refusal_around_the_next_request },
};

TEST_MAIN ("stale_refusal", cases)

/* How targets repeat a refusal. */
struct script
{
  const char *status;
  int has_id;    /* the repeated refusal has the id of the first */
  int late_ms;   /* before the last refusal */
  int repeat_us; /* after the refusal; 0: as first response to the next one */
};

/* Requests to each route; an odd index is one that may run once. */
static const char *const requests[]
    = { GET_MAP ("%s"), POST_FEE ("%s"), POST_PLAN ("%s"), POST_RULES ("%s") };

static const char *const statuses[]
    = { "503 Service Unavailable", "429 Too Many Requests",
        "421 Misdirected Request" };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct script script;
static char *repeats[PORTS]; /* refusals, by the router's port */
static int refusals_left;
static int repeated;
static GHashTable *runs; /* attempt id to the number of its runs */

/* Returns the router's port of the connection of REQUEST.  */
static uint16_t
router_port (const struct fx_request *request)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;

  getpeername (request->fd, (struct sockaddr *)&address, &size);
  return ntohs (address.sin_port);
}

/* Returns a refusal with STATUS of the request ID, which may be NULL, newly
   allocated.  */
static char *
make_refusal (const char *status, const char *id)
{
  char *field
      = id ? g_strdup_printf ("X-Ibisloom-Attempt-Id: %s\r\n", id) : NULL;
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\n%sX-Ibisloom-Not-Executed: "
                                "1\r\nContent-Length: 0\r\n\r\n",
                                status, field ? field : "");

  g_free (field);
  return text;
}

/* Refuses REQUEST, and repeats that as the script says.  */
static void
refuse (const struct fx_request *request, const char *id, int is_last)
{
  char *text = make_refusal (statuses[0], id);
  char *repeat = make_refusal (script.status, script.has_id ? id : NULL);

  fx_sleep_ms (is_last ? script.late_ms : 0);
  fx_write (request->fd, text);
  if (script.repeat_us > 0)
    {
      g_usleep ((gulong)script.repeat_us + (gulong)rand () % SPREAD_US);
      fx_write (request->fd, repeat);
    }
  pthread_mutex_lock (&lock);
  g_free (repeats[router_port (request)]);
  repeats[router_port (request)] = repeat;
  pthread_mutex_unlock (&lock);
  g_free (text);
}

/* Runs REQUEST, and first repeats a refusal on its connection.  */
static int
run (const struct fx_request *request, const char *id, const char *repeat)
{
  int count;

  pthread_mutex_lock (&lock);
  count = GPOINTER_TO_INT (g_hash_table_lookup (runs, id));
  g_hash_table_insert (runs, g_strdup (id), GINT_TO_POINTER (count + 1));
  repeated += repeat != NULL;
  pthread_mutex_unlock (&lock);
  if (repeat != NULL && script.repeat_us == 0)
    fx_write (request->fd, repeat);
  fx_sleep_ms (repeat != NULL ? RUN_MS : 0);
  return strstr (request->text, "POST /plan/")
                 || strstr (request->text, "POST /rules/")
             ? shop_stream_events (request)
             : shop_respond_ok (request);
}

static int
refuse_or_run (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *repeat;
  int left;
  int keep_alive = 1;

  pthread_mutex_lock (&lock);
  repeat = g_strdup (repeats[router_port (request)]);
  left = refusals_left;
  refusals_left -= left > 0;
  pthread_mutex_unlock (&lock);
  if (left > 0)
    refuse (request, id, left == 1);
  else
    keep_alive = run (request, id, repeat);
  g_free (repeat);
  g_free (id);
  return keep_alive;
}

/* Starts a router and PER_SERVICE targets of each service, which follow
   NEXT.  */
static void
start_targets (const struct script *next, int per_service)
{
  pthread_mutex_lock (&lock);
  for (size_t port = 0; port < PORTS; port++)
    g_clear_pointer (&repeats[port], g_free);
  if (runs == NULL)
    runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  script = *next;
  repeated = 0;
  pthread_mutex_unlock (&lock);
  for (int i = 0; i < per_service; i++)
    {
      char *id = g_strdup_printf ("t-%d", i);

      fx_target_add (id, "desk", refuse_or_run);
      *id = 'p';
      fx_target_add (id, "pool", refuse_or_run);
      g_free (id);
    }
  fx_env_start (shop_config);
}

/* Sends request INDEX as ID, after REFUSALS more are to be refused.  Checks
   that it is not reported as not run if it ran, and that one that may run once
   does not run twice.  Returns how often it ran.  */
static int
exchange (size_t index, const char *id, int refusals)
{
  char *text = g_strdup_printf (requests[index], id);
  char *response;
  int status = 0;
  int is_refused;
  int count;

  pthread_mutex_lock (&lock);
  refusals_left = refusals;
  pthread_mutex_unlock (&lock);
  response = fx_exchange (text);
  sscanf (response, "HTTP/1.1 %d", &status);
  is_refused
      = status == 503 || status == 429 || status == 421 || status == 408;
  fx_sleep_ms (is_refused ? RUN_MS : 0);
  pthread_mutex_lock (&lock);
  count = GPOINTER_TO_INT (g_hash_table_lookup (runs, id));
  pthread_mutex_unlock (&lock);
  if (count > 0 && is_refused)
    {
      printf ("%s ran and got: %.200s\n", id, response);
      CU_FAIL ("a request that ran is reported as not run");
    }
  if (count > 1 && index % 2 == 1)
    CU_FAIL ("a request that may run once ran twice");
  g_free (response);
  g_free (text);
  return count;
}

/* Sends sound requests INDEX until one is served, which ends a suspension of
   the target.  */
static void
wait_until_served (size_t index)
{
  char *text = g_strdup_printf (requests[index], "sound");
  int is_served = 0;

  for (int ms = 0; !is_served && ms < SERVED_TIMEOUT_MS; ms += RUN_MS)
    {
      char *response = fx_exchange (text);

      is_served = g_str_has_prefix (response, "HTTP/1.1 200");
      fx_sleep_ms (is_served ? 0 : RUN_MS);
      g_free (response);
    }
  CU_ASSERT (is_served);
  g_free (text);
}

/* Sends a request that is refused, and then request INDEX to the same target.
   Returns how often the latter ran.  */
static int
exchange_after_refusal (size_t index)
{
  static int number;
  char *first = g_strdup_printf ("first-%d", ++number);
  char *second = g_strdup_printf ("second-%d", number);
  size_t first_index = index < 2 ? 0 : 2;
  int count;

  wait_until_served (first_index);
  CU_ASSERT_EQUAL (exchange (first_index, first, 1), 0);
  fx_sleep_ms (SUSPENDED_MS);
  count = exchange (index, second, 0);
  g_free (first);
  g_free (second);
  return count;
}

/* Sends a request to each route after another one was refused, once for each
   status of the repeated refusal, whose other values are those of NEXT.  */
static void
check_routes (struct script next)
{
  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    {
      next.status = statuses[i];
      start_targets (&next, 1);
      for (size_t index = 0; index < G_N_ELEMENTS (requests); index++)
        CU_ASSERT (exchange_after_refusal (index) > 0);
      CU_ASSERT (repeated > 0);
      fx_env_stop ();
    }
}

static void
refusal_of_same_request (void)
{
  struct script next
      = { .status = statuses[0], .has_id = 1, .late_ms = SUSPENDED_MS };

  start_targets (&next, 2);
  CU_ASSERT (exchange (0, "map", 2) > 0);
  CU_ASSERT (exchange (2, "plan", 2) > 0);
  fx_env_stop ();
}

static void
refusal_of_other_request (void)
{
  check_routes ((struct script){ .has_id = 1 });
}

static void
refusal_without_id (void)
{
  check_routes ((struct script){ .has_id = 0 });
}

static void
refusal_around_the_next_request (void)
{
  struct script next
      = { .status = statuses[0],
          .repeat_us = (SUSPENDED_MS + RUN_MS) * 1000 - SPREAD_US / 2 };

  start_targets (&next, 1);
  for (int i = 0; i < ROUNDS; i++)
    {
      script.has_id = i % 2;
      exchange_after_refusal ((size_t)i / 2 % G_N_ELEMENTS (requests));
    }
  fx_env_stop ();
}
