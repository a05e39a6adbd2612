/* Fault soak: ibisloomd processes with clients, scripted targets and a
   scripted store.  Fault-injecting proxies relay the connections of the
   routers to targets and store.  While random and overlapping faults are
   injected, the clients check that each response is complete and belongs to
   its request; at the end, the soak checks that no request was executed more
   often than its route allows.

   Usage: soak [SEED [SECONDS [DIRECTORY [ROUTERS [FAULTS]]]]].  Prints each
   violation and a summary line, and exits with 1 if there were violations.
   The logs of the routers are kept in DIRECTORY, unless it is missing or "-".
   FAULTS adds what its words name:
   silence   after the faults, targets fall silent and go on, and no response
             may be lost;
   versions  targets have two versions, of which no stream may hold both, and
             clients take up streams that broke off;
   odd       the store has odd entries of another writer among the targets';
   cut       routers lose their paths to all targets, together and in turn, and
             after the other faults serve their clients all the same;
   brittle   targets fall over when they turn away too many requests, which
             after the other faults they hardly do;
   evacuate  an operator evacuates a failure domain and takes it back, beside
             all other faults, and no request reaches the domain too late.
*/
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "soak.h"

enum
{
  ROUTERS_DEFAULT = 3,
  CLIENTS = 8,
  PRESSING_CLIENTS = 30, /* more than the slots of the brittle targets */
  TARGETS_PER_SERVICE = 3,
  SEED_DEFAULT = 1,
  SECONDS_DEFAULT = 5,
  DELAY_MAX_MS = 120,
  LIMIT_SEED = 7919,         /* added to the seed */
  STORE_SEED = 104729,       /* added to the seed */
  RESTORED_CHANGES_MAX = 12, /* that one restoration of the store takes back */
  ODD_SEED = 15485863,       /* added to the seed */
  CUT_SEED = 32452843,       /* added to the seed */
  BRITTLE_SEED = 49979687,   /* added to the seed */
  EVACUATE_SEED = 67867967,  /* added to the seed */
  REQUEST_MS = 2000,         /* deadline of a request */
  SILENT_MIN_MS = 500,
  SILENT_MAX_MS = 2000,
  SILENCE_INTERVAL_MS = 250,
  CALM_STEPS = 32,
  CALM_PAUSE_MS = 60,        /* between the events of a stream */
  PATIENT_REQUEST_MS = 8000, /* deadline of one that meets silences */
  SETTLE_MS = 5000,          /* until targets are no longer suspended */
  TRUNCATED_SHARE = 3,       /* of streams, if there are two versions */
  TWICE_SHARE = 5,           /* of responses that only the close ends */
  TWICE_MS = 15,             /* until the same comes once more */
  TAKE_UPS_MAX = 2,          /* of one stream */
  CLIENT_PAUSE_MS = 10,      /* where the outcomes of clients are measured */
  MEASURED_MS = 2500,        /* of a cut */
  DRAIN_MS = 3000,  /* longer than any request, so that all have ended */
  FOLLOW_MS = 9000, /* until a watch whose connection is lost begins anew */
  APPLY_MS = 2000   /* until a version must be in force */
};

/* What happens, beside what the extras add. */
enum phase
{
  PHASE_FAULTS,
  PHASE_CALM,
  PHASE_SILENCES, /* of targets, and nothing else */
  PHASE_CUTS,     /* and one disturbance at a time */
  PHASE_BRITTLE   /* targets say so, and requests press */
};

/* What happens beside a cut; the first ones excuse a router. */
enum disturbance
{
  DISTURBANCE_KILL,
  DISTURBANCE_STOP,
  DISTURBANCE_FREEZE,
  DISTURBANCE_RELOAD,
  DISTURBANCE_VERSION,
  DISTURBANCE_SILENCE,
  DISTURBANCE_COUNT
};

/* How a target responds to its next requests. */
enum behavior
{
  BEHAVIOR_NORMAL,
  BEHAVIOR_ERROR,      /* executes the request, then responds 500 */
  BEHAVIOR_OVERLOADED, /* responds 503, marked as not executed */
  BEHAVIOR_RESET,      /* executes the request, then resets the connection */
  BEHAVIOR_CLOSE,      /* executes the request, then closes the connection */
  BEHAVIOR_TRUNCATE,   /* cuts off a stream in its third event */
  BEHAVIOR_SLOW,       /* pauses before a response or between events */
  BEHAVIOR_HANG,       /* executes the request, then never responds */
  BEHAVIOR_WRONG_ID,   /* responds with the attempt id of another request */
  BEHAVIOR_EXTRA_RESPONSE, /* sends a second response with another id */
  BEHAVIOR_COUNT
};

/* Kinds of request, one for each route. */
enum kind
{
  REQUEST_MAP,
  REQUEST_FEE,
  REQUEST_PLAN,
  REQUEST_RULES,
  REQUEST_KIND_COUNT,
  REQUEST_PRESS = REQUEST_KIND_COUNT /* to brittle targets */
};

static const struct
{
  const char *method;
  const char *path;
  int is_stream;
  int at_most_once; /* must not be executed twice */
} request_kinds[] = {
  [REQUEST_MAP] = { "GET", "/map/1", 0, 0 },
  [REQUEST_FEE] = { "POST", "/fee/1", 0, 1 },
  [REQUEST_PLAN] = { "POST", "/plan/1", 1, 0 },
  [REQUEST_RULES] = { "POST", "/rules/1", 1, 1 },
  [REQUEST_PRESS] = { "POST", "/press/1", 0, 1 },
};

/* All of a configuration but its version.  */
static const char config_tail[]
    = ",\"routes\":["
      "{\"name\":\"map\",\"host\":\"shop.example\",\"path_prefix\":\"/map/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2},"
      "{\"name\":\"fee\",\"host\":\"shop.example\",\"path_prefix\":\"/fee/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1},"
      "{\"name\":\"press\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/press/\",\"route_type\":\"non_idempotent\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"service\":\"press\",\"max_attempts\":3},"
      "{\"name\":\"plan\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/plan/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"target_gap_ms\":200,\"service\":\"pool\","
      "\"max_attempts\":2,\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"rules\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/rules/\",\"route_type\":\"streaming\",\"timeout_ms\":8000,"
      "\"target_latency_ms\":300,\"target_gap_ms\":200,\"service\":\"pool\","
      "\"max_attempts\":1,\"session_affinity\":true}],"
      "\"services\":[{\"name\":\"desk\"},{\"name\":\"pool\"},"
      "{\"name\":\"press\"}],"
      "\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]}";

/* What the arguments add to the faults. */
static struct
{
  int silence;
  int versions;
  int odd;
  int cut;
  int brittle;
  int evacuate;
  int twice;
} extras;

/* Record of a request, for check_executions. */
struct record
{
  int executions;
  int reported_not_executed;
  int router; /* that got it from the client */
  enum kind kind;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *records; /* attempt id to struct record */
static enum behavior behaviors[2 * TARGETS_PER_SERVICE];
static struct fx_target *targets[2 * TARGETS_PER_SERVICE];
static struct proxy *target_proxies[2 * TARGETS_PER_SERVICE];
static struct proxy *store_proxies[FX_ROUTERS_MAX];
static int router_count = ROUTERS_DEFAULT;
static GRand *fault_random;
/* Separate, so that proxy faults do not change the other faults of a seed. */
static GRand *proxy_random;
static GRand *limit_random;
static GRand *store_random;
static GRand *odd_random;
static GRand *cut_random;
static GRand *brittle_random;
static GRand *evacuate_random;
static int last_version = 2; /* that the operator has written */
static int initial_revision; /* of the store, with the first version */
static gint is_limited[2 * TARGETS_PER_SERVICE]; /* names a rate limit */
static gint stopping;
static gint phase;
static int violations;
static int served;
static int refused;
static int failed;
static int target_errors; /* of those failed */
static int taken_up;
static int gone_on; /* of those taken up, with an event or their end */

static struct record *get_record (const char *id);
static void count_execution (const char *id);

/* Prints and counts the violation DESCRIPTION by request ID.  */
void
soak_report_violation (const char *id, const char *description,
                       const char *response)
{
  printf ("VIOLATION %s: %s%s%s\n", id, description, response ? ": " : "",
          response ? response : "");
  violations++;
}

/* Returns the record of request ID, which is created on first use.  The lock
   must be held.  */
static struct record *
get_record (const char *id)
{
  struct record *record = g_hash_table_lookup (records, id);

  if (record == NULL)
    {
      record = g_new0 (struct record, 1);
      g_hash_table_insert (records, g_strdup (id), record);
    }
  return record;
}

/* Counts an execution of request ID by a target.  */
static void
count_execution (const char *id)
{
  pthread_mutex_lock (&lock);
  get_record (id)->executions++;
  pthread_mutex_unlock (&lock);
}

/* Returns the header field by which target INDEX names its rate limit.  */
static const char *
limit_field (int index)
{
  return g_atomic_int_get (&is_limited[index]) ? "Server-Limit: 2.5\r\n" : "";
}

/* Writes a response of target INDEX to request ID that is not a stream.  */
static void
respond (int index, int fd, const char *id, const char *status)
{
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n%s"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: 4\r\n\r\nwell",
      status, id, limit_field (index), id);

  fx_target_wait_until_heard (targets[index]);
  fx_write (fd, text);
  g_free (text);
}

/* Writes a response of target INDEX to request ID that only the close ends,
   and most times once more a little later, as a target that stutters.  */
static void
respond_until_close (int index, int fd, const char *id, int number)
{
  char *text
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
                         "X-Ibisloom-Response-Signature: s-%s\r\n\r\nwell",
                         id, id);

  fx_target_wait_until_heard (targets[index]);
  fx_write (fd, text);
  fx_sleep_ms (number % 3 * TWICE_MS);
  if (number % 4 > 0)
    fx_write (fd, text);
  g_free (text);
}

/* Returns the version of the software of target INDEX.  */
static const char *
version_of (int index)
{
  return extras.versions && index % 2 == 1 ? "v2" : "v1";
}

/* Writes the entry of target INDEX with STATE.  */
static void
put_entry (int index, const char *state)
{
  soak_put_entry (index, index < TARGETS_PER_SERVICE ? "desk" : "pool",
                  proxy_port (target_proxies[index]), version_of (index),
                  state);
}

/* Checks that request ID, which a client sent to ROUTER, may reach the failure
   domain of target INDEX.  */
static void
check_domain (int index, int router, const char *id)
{
  if (!soak_check_domain (index, router))
    return;
  pthread_mutex_lock (&lock);
  soak_report_violation (id, "at a target of an evacuated domain", NULL);
  pthread_mutex_unlock (&lock);
}

/* Responds to REQUEST according to the current behavior of target INDEX.
   Returns whether the connection is kept open.  */
static int
handle_request (int index, const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  int is_stream = strstr (request->text, "/plan/") != NULL
                  || strstr (request->text, "/rules/") != NULL;
  char *other = soak_find_request_field (request->text);
  int is_silence = g_atomic_int_get (&phase) == PHASE_SILENCES;
  enum behavior behavior;
  int keep_alive = 1;
  int router = 0;

  pthread_mutex_lock (&lock);
  behavior = behaviors[index];
  if (id != NULL)
    router = get_record (id)->router;
  if (id == NULL)
    soak_report_violation ("?", "request without an id", request->text);
  if (other != NULL)
    soak_report_violation (id, "field at a target", other);
  pthread_mutex_unlock (&lock);
  g_free (other);
  if (id == NULL)
    return 0;
  check_domain (index, router, id);
  if (behavior == BEHAVIOR_OVERLOADED)
    fx_write (request->fd, "HTTP/1.1 503 Service Unavailable\r\n"
                           "X-Ibisloom-Not-Executed: 1\r\n"
                           "Content-Length: 0\r\n\r\n");
  else
    count_execution (id);
  if (behavior == BEHAVIOR_ERROR)
    respond (index, request->fd, id, "500 Internal Server Error");
  else if (behavior == BEHAVIOR_RESET || behavior == BEHAVIOR_CLOSE)
    {
      if (behavior == BEHAVIOR_RESET)
        fx_reset_on_close (request->fd);
      keep_alive = 0;
    }
  else if (behavior == BEHAVIOR_HANG)
    g_free (fx_read_until (request->fd, "never"));
  else if (behavior == BEHAVIOR_WRONG_ID)
    respond (index, request->fd, "another", "200 OK");
  else if (behavior != BEHAVIOR_OVERLOADED && is_stream)
    {
      int is_cut
          = behavior == BEHAVIOR_TRUNCATE
            || (extras.versions && g_atomic_int_get (&phase) == PHASE_FAULTS
                && request->number % TRUNCATED_SHARE == 0);

      soak_write_stream (request, limit_field (index), version_of (index),
                         is_cut,
                         behavior == BEHAVIOR_SLOW ? 150
                         : is_silence              ? CALM_PAUSE_MS
                                                   : 5);
      keep_alive = !is_cut;
    }
  else if (behavior != BEHAVIOR_OVERLOADED)
    {
      int until_close = extras.twice
                        && g_atomic_int_get (&phase) == PHASE_FAULTS
                        && request->number % TWICE_SHARE == 0;

      fx_sleep_ms (behavior == BEHAVIOR_SLOW ? 400 : 5);
      keep_alive = !until_close;
      if (until_close)
        respond_until_close (index, request->fd, id, request->number);
      else
        respond (index, request->fd, id, "200 OK");
      if (behavior == BEHAVIOR_EXTRA_RESPONSE)
        respond (index, request->fd, "another", "200 OK");
    }
  g_free (id);
  return keep_alive;
}

#define DEFINE_HANDLER(n)                                                     \
  static int handle_##n (const struct fx_request *request)                    \
  {                                                                           \
    return handle_request (n, request);                                       \
  }
DEFINE_HANDLER (0)
DEFINE_HANDLER (1)
DEFINE_HANDLER (2)
DEFINE_HANDLER (3)
DEFINE_HANDLER (4)
DEFINE_HANDLER (5)

/* Serves all requests.  */
static int
handle_last (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");

  respond (0, request->fd, id, "200 OK");
  g_free (id);
  return 1;
}

static const fx_handler_fn handlers[2 * TARGETS_PER_SERVICE]
    = { handle_0, handle_1, handle_2, handle_3, handle_4, handle_5 };

/* Checks the part of STREAM in RESPONSE to request ID.  Returns whether it is
   complete.  */
static int
check_stream (struct soak_stream *stream, const char *id, const char *response)
{
  int is_complete = g_str_has_suffix (response, "\r\n0\r\n\r\n");
  int before = stream->last;
  const char *fault = soak_check_stream (stream, id, response);

  gone_on += before > 0 && (stream->last > before || is_complete);
  served += is_complete;
  failed += !is_complete;
  if (fault == NULL)
    return is_complete;
  soak_report_violation (id, fault, response);
  soak_clear_stream (stream);
  return 0;
}

/* Checks that RESPONSE to request ID, sent while nothing but silences happens,
   is complete or refuses the request.  */
static void
check_calm_response (const char *id, int status, const char *response)
{
  int is_chunked
      = strstr (response, "Content-Type: text/event-stream") != NULL;

  if ((status == 200
       && (!is_chunked || g_str_has_suffix (response, "\r\n0\r\n\r\n")))
      || status == 429 || status == 503)
    return;
  soak_report_violation (id, "response lost in a silence", response);
}

/* Returns whether RESPONSE has the body of a target's, or the beginning of
   it.  */
static int
has_own_body (const char *response)
{
  const char *body = strstr (response, "\r\n\r\n");

  return body == NULL || g_str_has_prefix ("well", body + 4);
}

/* Checks RESPONSE to request ID, of which a stream belongs to STREAM, and
   counts its outcome.  Returns whether it is complete and a success.  */
static int
check_response (const char *id, enum kind kind, const char *response,
                struct soak_stream *stream)
{
  int status = 0;
  int is_served = 0;
  char *signature
      = fx_header_value (response, "X-Ibisloom-Response-Signature");
  char *expected = g_strdup_printf ("s-%s", id);
  char *other = soak_find_response_field (response);

  sscanf (response, "HTTP/1.1 %d", &status);
  pthread_mutex_lock (&lock);
  if (signature != NULL && strcmp (signature, expected) != 0)
    soak_report_violation (id, "response belongs to another request",
                           response);
  if (status == 200 && signature == NULL)
    soak_report_violation (id, "successful response without signature",
                           response);
  if (status == 200 && !request_kinds[kind].is_stream
      && !has_own_body (response))
    soak_report_violation (id, "body is not that of one response", response);
  if (other != NULL)
    soak_report_violation (id, "field at a client", other);
  if (status >= 400 && status < 429)
    soak_report_violation (id, "valid request rejected as invalid", response);
  if (status == 429 || status == 503)
    {
      get_record (id)->reported_not_executed = 1;
      refused++;
    }
  else if (status == 200 && request_kinds[kind].is_stream)
    is_served = check_stream (stream, id, response);
  else
    {
      is_served = status == 200 && g_str_has_suffix (response, "\r\n\r\nwell");
      served += is_served;
      failed += !is_served;
      target_errors += status >= 500 && signature != NULL;
    }
  pthread_mutex_unlock (&lock);
  g_free (signature);
  g_free (expected);
  g_free (other);
  return is_served;
}

/* Returns a request of KIND with ID, which takes STREAM up if that has
   begun, newly allocated.  */
static char *
make_request (enum kind kind, const char *id, int context, int deadline_ms,
              const struct soak_stream *stream)
{
  char *resume = soak_resume_fields (stream);
  char *text = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Deadline-Remaining: %d\r\n"
      "X-Ibisloom-Prompt-Prefix: a%d:100,b:10\r\n%s"
      "Authorization: Token key-1\r\n%sConnection: close\r\n\r\n",
      request_kinds[kind].method, request_kinds[kind].path, id, deadline_ms,
      context, resume, kind == REQUEST_MAP ? "" : "Content-Length: 0\r\n");

  g_free (resume);
  return text;
}

/* Sends a request of KIND with ID to a random router, and adds what it gets of
   a stream to STREAM.  About one connection in twenty is closed before the
   response is read.  */
static void
send_request (GRand *random, enum kind kind, const char *id,
              struct soak_stream *stream)
{
  int calm = g_atomic_int_get (&phase) == PHASE_SILENCES;
  int window = stream->last == 0 ? soak_window () : 0;
  gint64 sent_us = g_get_monotonic_time ();
  char *text = make_request (kind, id, g_rand_int_range (random, 0, 9),
                             calm ? PATIENT_REQUEST_MS : REQUEST_MS, stream);
  int router = g_rand_int_range (random, 0, router_count);
  int fd = fx_router_connect (router);
  char *response = NULL;
  int is_served = 0;
  int status = 0;

  pthread_mutex_lock (&lock);
  get_record (id)->kind = kind;
  get_record (id)->router = router;
  pthread_mutex_unlock (&lock);
  if (fd < 0)
    fx_sleep_ms (20);
  else
    {
      fx_send (fd, text);
      if (g_rand_int_range (random, 0, 20) == 0)
        {
          fx_sleep_ms (g_rand_int_range (random, 0, 100));
          close (fd);
        }
      else
        response = fx_read_all (fd);
    }
  if (response != NULL && *response != '\0')
    is_served = check_response (id, kind, response, stream);
  if (response != NULL || fd < 0)
    soak_count_try (window, router, is_served, sent_us);
  if (response != NULL && calm)
    {
      sscanf (response, "HTTP/1.1 %d", &status);
      check_calm_response (id, status, response);
    }
  g_free (response);
  g_free (text);
}

/* Runs a client: sends requests of random kinds until STOPPING is set, and
   takes up the streams that break off.  */
static void *
send_requests (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  GRand *random = g_rand_new_with_seed ((guint32)number);
  int sent = 0;

  while (!g_atomic_int_get (&stopping))
    {
      enum kind kind
          = (enum kind)g_rand_int_range (random, 0, REQUEST_KIND_COUNT);
      struct soak_stream stream = { 0 };
      int tries = 0;

      do
        {
          char *id = g_strdup_printf ("c%d-%d", number, sent++);

          pthread_mutex_lock (&lock);
          taken_up += stream.last > 0;
          pthread_mutex_unlock (&lock);
          send_request (random, kind, id, &stream);
          g_free (id);
        }
      while (extras.versions && kind == REQUEST_PLAN
             && soak_is_broken_off (&stream) && tries++ < TAKE_UPS_MAX);
      soak_clear_stream (&stream);
      if (g_atomic_int_get (&phase) == PHASE_CUTS)
        fx_sleep_ms (CLIENT_PAUSE_MS);
    }
  g_rand_free (random);
  return NULL;
}

/* Runs a client that sends requests to brittle targets, while these are, until
   STOPPING is set.  */
static void *
press (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  GRand *random = g_rand_new_with_seed ((guint32)number);

  for (int sent = 0; !g_atomic_int_get (&stopping); sent++)
    {
      int now = g_atomic_int_get (&phase);
      struct soak_stream stream = { 0 };
      char *id = g_strdup_printf ("p%d-%d", number, sent);

      if (now == PHASE_FAULTS || now == PHASE_BRITTLE)
        send_request (random, REQUEST_PRESS, id, &stream);
      fx_sleep_ms (CLIENT_PAUSE_MS);
      g_free (id);
    }
  g_rand_free (random);
  return NULL;
}

/* Has the store be away if IS_DOWN, else be there.  */
static void
set_store_down (int is_down)
{
  if (is_down)
    for (int i = 0; i < router_count; i++)
      soak_note_cause (i, SOAK_CAUSE_STORE, 1);
  fx_store_set_down (is_down);
  if (!is_down)
    for (int i = 0; i < router_count; i++)
      soak_note_cause (i, SOAK_CAUSE_STORE, 0);
}

/* Sets MODE on the path of ROUTER to the store.  */
static void
set_store_path (int router, enum proxy_mode mode, int delay_ms)
{
  int is_cut = mode != PROXY_PASS && mode != PROXY_DELAY;

  if (is_cut)
    soak_note_cause (router, SOAK_CAUSE_PATH, 1);
  proxy_set_mode (store_proxies[router], mode, delay_ms);
  if (!is_cut)
    soak_note_cause (router, SOAK_CAUSE_PATH, 0);
}

/* Injects or clears one random fault of a target, a router or the store.  */
static void
inject_fault (char *const *logs)
{
  int kind = g_rand_int_range (fault_random, 0, 12);
  int router = g_rand_int_range (fault_random, 0, router_count);
  int target = g_rand_int_range (fault_random, 0, 2 * TARGETS_PER_SERVICE);

  if (kind < 6)
    {
      pthread_mutex_lock (&lock);
      behaviors[target] = g_rand_int_range (fault_random, 0, 3) == 0
                              ? BEHAVIOR_NORMAL
                              : (enum behavior)g_rand_int_range (
                                  fault_random, 0, BEHAVIOR_COUNT);
      pthread_mutex_unlock (&lock);
    }
  else if (kind == 6)
    soak_restart_router (fault_random, router, SIGKILL, logs[router]);
  else if (kind == 7)
    soak_restart_router (fault_random, router, SIGTERM, logs[router]);
  else if (kind == 8)
    soak_pause_router (fault_random, router);
  else if (kind == 9)
    soak_reload_settings (router);
  else if (kind == 10)
    set_store_down (g_rand_boolean (fault_random));
  else if (g_rand_boolean (fault_random))
    fx_store_compact ();
  else
    put_entry (target, g_rand_boolean (fault_random) ? "draining" : "ready");
}

/* Begins or ends the rate limit of a target, in one of eight calls.  */
static void
inject_rate_limit (void)
{
  int target = g_rand_int_range (limit_random, 0, 2 * TARGETS_PER_SERVICE);

  if (g_rand_int_range (limit_random, 0, 8) == 0)
    g_atomic_int_set (&is_limited[target], g_rand_boolean (limit_random));
}

/* Writes the next version of the configuration.  */
static void
put_next_version (void)
{
  char *text
      = g_strdup_printf ("{\"version\":%d%s", ++last_version, config_tail);

  fx_store_put ("config", "main", text);
  g_free (text);
}

/* Restores the store from an older copy, writes what was lost anew or writes a
   new version, in one of four calls.  */
static void
inject_store_change (void)
{
  int kind = g_rand_int_range (store_random, 0, 12);
  int lost = g_rand_int_range (store_random, 0, RESTORED_CHANGES_MAX);

  if (kind == 0)
    fx_store_restore (MAX (fx_store_revision () - lost, initial_revision));
  else if (kind == 1)
    fx_store_rewrite ();
  else if (kind == 2)
    put_next_version ();
}

/* A version in force, and the start of the router that had it. */
struct observed
{
  long version;
  int starts;
};

/* Checks that no router that runs on has an older version in force than when
   it was OBSERVED last.  */
static void
check_versions (struct observed *observed)
{
  for (int i = 0; i < router_count; i++)
    {
      int starts = fx_router_start_count (i);
      long version = fx_router_metric (i, "ibisloom_version_in_force");

      if (version < 0 || starts != fx_router_start_count (i))
        continue;
      if (starts == observed[i].starts && version < observed[i].version)
        soak_report_violation ("version", "it has fallen at a router", NULL);
      observed[i] = (struct observed){ version, starts };
    }
}

/* Checks that router INDEX uses TARGET, the only one of its service.  */
static void
check_target_is_used (int index, struct fx_target *target)
{
  struct soak_stream stream = { 0 };
  int before = fx_target_request_count (target);
  char *text = make_request (REQUEST_MAP, "last", 0, REQUEST_MS, &stream);
  int fd = fx_router_connect (index);
  char *response;

  fx_send (fd, text);
  response = fx_read_all (fd);
  if (fx_target_request_count (target) == before)
    soak_report_violation ("target", "the last one is not used", response);
  g_free (response);
  g_free (text);
}

/* Checks that the last version comes into force at all routers.  */
static void
check_last_version (void)
{
  fx_store_rewrite ();
  fx_sleep_ms (DRAIN_MS);
  put_next_version ();
  fx_sleep_ms (APPLY_MS);
  for (int i = 0; i < router_count; i++)
    if (fx_router_metric (i, "ibisloom_version_in_force") != last_version)
      soak_report_violation ("version", "the last one is not in force", NULL);
}

/* Checks that all routers run, and use the last target of a service once the
   others are removed.  */
static void
check_last_target (void)
{
  struct fx_target *target = fx_target_add ("i-last", "desk", handle_last);

  g_atomic_int_set (&is_limited[0], 0); /* as the last target responds */
  for (int i = 0; i < TARGETS_PER_SERVICE; i++)
    fx_target_remove (targets[i]);
  fx_sleep_ms (FOLLOW_MS);
  soak_check_processes (router_count);
  for (int i = 0; i < router_count; i++)
    check_target_is_used (i, target);
}

/* Sets a random mode, PROXY_PASS at least every second time, on the proxy of a
   target or of a router's connection to the store; in three of four calls,
   leaves all proxies as they are.  */
static void
inject_proxy_fault (void)
{
  int kind = g_rand_int_range (proxy_random, 0, 8);
  int target = g_rand_int_range (proxy_random, 0, 2 * TARGETS_PER_SERVICE);
  int router = g_rand_int_range (proxy_random, 0, router_count);
  int delay_ms = g_rand_int_range (proxy_random, 1, DELAY_MAX_MS);
  enum proxy_mode mode = g_rand_boolean (proxy_random)
                             ? PROXY_PASS
                             : (enum proxy_mode)g_rand_int_range (
                                 proxy_random, 0, PROXY_MODE_COUNT);

  if (kind == 0)
    set_store_path (router, mode, delay_ms);
  else if (kind == 1)
    proxy_set_mode (target_proxies[target], mode, delay_ms);
}

/* Clears the faults of all proxies.  */
static void
clear_proxy_faults (void)
{
  for (int i = 0; i < router_count; i++)
    set_store_path (i, PROXY_PASS, 0);
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    proxy_set_mode (target_proxies[i], PROXY_PASS, 0);
}

/* Checks, after all requests have ended, that none on an at-most-once route
   was executed twice, or was executed although the response to its client
   reported that it was not.  */
static void
check_executions (void)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;

  g_hash_table_iter_init (&iter, records);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct record *record = value;

      if (request_kinds[record->kind].at_most_once && record->executions > 1)
        soak_report_violation (id, "executed more than once",
                               request_kinds[record->kind].path);
      if (record->reported_not_executed && record->executions > 0
          && request_kinds[record->kind].at_most_once)
        soak_report_violation (id, "reported as not executed, but executed",
                               request_kinds[record->kind].path);
    }
}

/* Starts targets, store and routers, with LOGS as log files of the routers. */
static void
start_all (char *const *logs)
{
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      targets[i] = fx_target_add (
          id, i < TARGETS_PER_SERVICE ? "desk" : "pool", handlers[i]);
      target_proxies[i] = fx_target_add_proxy (targets[i]);
      put_entry (i, "ready");
      g_free (id);
    }
  if (extras.brittle)
    soak_add_brittle_targets (count_execution);
  fx_store_start (NULL);
  put_next_version ();
  initial_revision = fx_store_revision ();
  if (extras.cut)
    soak_add_paths (router_count);
  for (int i = 0; i < router_count; i++)
    {
      store_proxies[i] = fx_store_add_proxy (i);
      fx_router_spawn (i, logs[i]);
    }
  for (int i = 0; i < router_count; i++)
    soak_wait_for_listener (i);
  fx_wait_until (fx_is_ready);
}

/* Injects faults for SECONDS, then clears the faults of store and proxies and
   waits until no router is being restarted.  Returns the number of steps, each
   of which may also inject a proxy fault. */
static int
run_faults (int seconds, char *const *logs)
{
  gint64 end = g_get_monotonic_time () + (gint64)seconds * G_USEC_PER_SEC;
  static struct observed observed[FX_ROUTERS_MAX];
  int steps = 0;

  for (; g_get_monotonic_time () < end; steps++)
    {
      inject_fault (logs);
      inject_proxy_fault ();
      inject_rate_limit ();
      inject_store_change ();
      if (extras.odd)
        soak_change_odd_entries (odd_random);
      if (extras.cut)
        soak_change_cuts (cut_random, router_count);
      if (extras.brittle)
        soak_change_brittle_targets (brittle_random);
      check_versions (observed);
      soak_check_processes (router_count);
      fx_sleep_ms (g_rand_int_range (fault_random, 5, 80));
    }
  set_store_down (0);
  clear_proxy_faults ();
  if (extras.cut)
    soak_end_cuts (router_count);
  soak_wait_for_restarts (router_count);
  return steps;
}

/* Writes the entries of all targets.  */
static void
put_entries (void)
{
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    put_entry (i, "ready");
}

/* Ends all faults of targets, and waits until routers use them again.  */
static void
calm_targets (void)
{
  pthread_mutex_lock (&lock);
  memset (behaviors, 0, sizeof behaviors);
  pthread_mutex_unlock (&lock);
  for (int i = 0; i < 2 * TARGETS_PER_SERVICE; i++)
    g_atomic_int_set (&is_limited[i], 0);
  put_entries ();
  fx_sleep_ms (SETTLE_MS);
}

/* Has random targets fall silent, some at the same time, but each only after
   it was heard for SILENT_MIN_MS; writes versions meanwhile.  */
static void
run_silences (void)
{
  gint64 heard_us[2 * TARGETS_PER_SERVICE] = { 0 };

  calm_targets ();
  g_atomic_int_set (&phase, PHASE_SILENCES);
  for (int i = 0; i < CALM_STEPS; i++)
    {
      int target = g_rand_int_range (fault_random, 0, 2 * TARGETS_PER_SERVICE);
      int ms = g_rand_int_range (fault_random, SILENT_MIN_MS, SILENT_MAX_MS);

      if (heard_us[target] + SILENT_MIN_MS * 1000 < g_get_monotonic_time ())
        {
          heard_us[target] = g_get_monotonic_time () + ms * 1000;
          fx_target_fall_silent (targets[target], ms);
        }
      if (g_rand_int_range (fault_random, 0, 4) == 0)
        put_next_version ();
      fx_sleep_ms (SILENCE_INTERVAL_MS);
    }
  g_atomic_int_set (&phase, PHASE_CALM);
}

/* Has KIND happen, to ROUTER or a random target.  */
static void
disturb (enum disturbance kind, int router, char *const *logs)
{
  int target = g_rand_int_range (cut_random, 0, 2 * TARGETS_PER_SERVICE);
  int ms = g_rand_int_range (cut_random, SILENT_MIN_MS, SILENT_MAX_MS);

  if (kind == DISTURBANCE_KILL)
    soak_restart_router (cut_random, router, SIGKILL, logs[router]);
  else if (kind == DISTURBANCE_STOP)
    soak_restart_router (cut_random, router, SIGTERM, logs[router]);
  else if (kind == DISTURBANCE_FREEZE)
    soak_pause_router (cut_random, router);
  else if (kind == DISTURBANCE_RELOAD)
    soak_reload_settings (router);
  else if (kind == DISTURBANCE_VERSION)
    put_next_version ();
  else
    fx_target_fall_silent (targets[target], ms);
}

/* Cuts routers off from all targets, in one window after the other, each with
   a disturbance before or while it is measured.  */
static void
run_cuts (char *const *logs)
{
  calm_targets ();
  fx_sleep_ms (FOLLOW_MS);
  g_atomic_int_set (&phase, PHASE_CUTS);
  for (int i = 1; i <= SOAK_WINDOWS; i++)
    {
      enum disturbance kind = (enum disturbance)g_rand_int_range (
          cut_random, 0, DISTURBANCE_COUNT);
      int router = g_rand_int_range (cut_random, 0, router_count);
      int is_late = g_rand_boolean (cut_random);

      put_entries (); /* for routers that had them from others */
      fx_sleep_ms (SILENCE_INTERVAL_MS);
      soak_begin_cut (cut_random, i, router_count,
                      kind < DISTURBANCE_RELOAD ? router : -1);
      fx_sleep_ms (g_rand_int_range (cut_random, 0, SOAK_CONTACT_MS));
      if (!is_late)
        disturb (kind, router, logs);
      soak_measure_cut (i);
      if (is_late)
        disturb (kind, router, logs);
      fx_sleep_ms (MEASURED_MS);
      soak_end_cuts (router_count);
      soak_wait_for_restarts (router_count);
    }
  g_atomic_int_set (&phase, PHASE_CALM);
}

/* Checks brittle targets, without and with routers that are cut off.  */
static void
run_brittle (void)
{
  soak_calm_brittle_targets ();
  calm_targets ();
  g_atomic_int_set (&phase, PHASE_BRITTLE);
  soak_check_brittle_targets (brittle_random);
  if (extras.cut)
    {
      soak_begin_cut (cut_random, 0, router_count, -1);
      soak_check_brittle_targets (brittle_random);
      soak_end_cuts (router_count);
    }
  g_atomic_int_set (&phase, PHASE_CALM);
}

/* Reads the words of TEXT that add to the faults.  */
static void
read_extras (const char *text)
{
  extras.silence = strstr (text, "silence") != NULL;
  extras.versions = strstr (text, "versions") != NULL;
  extras.odd = strstr (text, "odd") != NULL;
  extras.cut = strstr (text, "cut") != NULL;
  extras.brittle = strstr (text, "brittle") != NULL;
  extras.evacuate = strstr (text, "evacuate") != NULL;
  extras.twice = strstr (text, "twice") != NULL;
}

int
main (int argc, char **argv)
{
  int seed = argc > 1 ? atoi (argv[1]) : SEED_DEFAULT;
  int seconds = argc > 2 ? atoi (argv[2]) : SECONDS_DEFAULT;
  int keep_logs = argc > 3 && strcmp (argv[3], "-") != 0;
  pthread_t clients[CLIENTS + PRESSING_CLIENTS];
  int client_count = CLIENTS;
  char *logs[FX_ROUTERS_MAX];
  int steps;

  if (argc > 4)
    router_count = CLAMP (atoi (argv[4]), 1, FX_ROUTERS_MAX);
  if (argc > 5)
    read_extras (argv[5]);
  records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  fault_random = g_rand_new_with_seed ((guint32)seed);
  limit_random = g_rand_new_with_seed ((guint32)seed + LIMIT_SEED);
  store_random = g_rand_new_with_seed ((guint32)seed + STORE_SEED);
  odd_random = g_rand_new_with_seed ((guint32)seed + ODD_SEED);
  cut_random = g_rand_new_with_seed ((guint32)seed + CUT_SEED);
  brittle_random = g_rand_new_with_seed ((guint32)seed + BRITTLE_SEED);
  evacuate_random = g_rand_new_with_seed ((guint32)seed + EVACUATE_SEED);
  proxy_random = g_rand_new_with_seed (~(guint32)seed);
  for (int i = 0; i < router_count; i++)
    logs[i] = keep_logs ? g_strdup_printf ("%s/router-%d.log", argv[3], i)
                        : g_strdup ("/dev/null");
  if (extras.evacuate)
    soak_use_evacuations (router_count);
  start_all (logs);
  if (extras.evacuate)
    soak_begin_evacuations (evacuate_random);
  if (extras.brittle)
    client_count += PRESSING_CLIENTS;
  for (int i = 0; i < client_count; i++)
    pthread_create (&clients[i], NULL, i < CLIENTS ? send_requests : press,
                    GINT_TO_POINTER (seed * client_count + i));
  steps = run_faults (seconds, logs);
  if (extras.silence)
    run_silences ();
  if (extras.cut && router_count <= SOAK_PATHS_MAX)
    run_cuts (logs);
  if (extras.brittle)
    run_brittle ();
  g_atomic_int_set (&stopping, 1);
  for (int i = 0; i < client_count; i++)
    pthread_join (clients[i], NULL);
  if (extras.evacuate)
    soak_end_evacuations ();
  if (extras.cut)
    soak_check_cuts ();
  if (extras.odd)
    soak_put_odd_entries ();
  check_last_version ();
  if (extras.odd)
    check_last_target ();
  pthread_mutex_lock (&lock);
  check_executions ();
  pthread_mutex_unlock (&lock);
  printf (
      "seed %d: %d faults, %u requests, %d served, %d refused, %d failed, "
      "%d by errors of targets, %d of %d taken up went on, %d violations\n",
      seed, steps, g_hash_table_size (records), served, refused, failed,
      target_errors, gone_on, taken_up, violations);
  fx_env_stop ();
  return violations > 0;
}
