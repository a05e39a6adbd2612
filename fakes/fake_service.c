/* Fake HTTP service without streams that records its executions.

   Usage: fake_service BASE_PORT COUNT DELAY_MS
   Worker I listens on BASE_PORT + I; the control port for faults and history
   is BASE_PORT - 1.  Each execution takes DELAY_MS.  A request whose body has
   the word "crash" ends its worker, which listens again after RESTART_MS. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_http.h"

enum
{
  WORKERS_MAX = 64,
  RESTART_MS = 1000
};

enum mode
{
  MODE_OK,
  MODE_ERROR,           /* status 500 */
  MODE_REFUSE,          /* refuses connections */
  MODE_DROP_BEFORE_RUN, /* closes the connection before execution */
  MODE_DROP_AFTER_RUN,  /* executes and sends no response */
  MODE_HANG,            /* no response for 10 s, not executed */
  MODE_BUSY,            /* status 503, not executed */
  /* Executes a request, responds with an earlier refusal, then is busy.  */
  MODE_STALE
};

struct worker
{
  struct fake_server server;
  enum mode mode;
  int percent; /* of the requests that the fault affects */
  unsigned seed;
};

static struct worker workers[WORKERS_MAX];
static int worker_count;
static int64_t delay_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_t *executions; /* key to the identifiers of its requests */
static int64_t calls;
static int64_t crashes;

static void serve (struct fake_request *request, void *closure);
static void serve_control (struct fake_request *request, void *closure);
static int record_execution (const char *key, const char *request_id);
static void set_fault (struct fake_request *request);
static void crash (struct worker *worker);
static void *restart (void *closure);

int
main (int argc, char **argv)
{
  struct fake_server control;
  int base_port;

  if (argc != 4)
    {
      fprintf (stderr, "usage: fake_service BASE_PORT COUNT DELAY_MS\n");
      return EXIT_FAILURE;
    }
  base_port = atoi (argv[1]);
  worker_count = MIN (atoi (argv[2]), WORKERS_MAX);
  delay_ms = atoll (argv[3]);
  executions = json_object ();
  for (int i = 0; i < worker_count; i++)
    fake_listen (&workers[i].server, base_port + i, serve, &workers[i]);
  fake_listen (&control, base_port - 1, serve_control, NULL);
  pause ();
  return EXIT_SUCCESS;
}

/* Executes one request, unless a fault prevents it.  */
static void
serve (struct fake_request *request, void *closure)
{
  struct worker *worker = closure;
  const char *key = fake_header (request, "Idempotency-Key");
  enum mode mode = MODE_OK;
  int count;

  pthread_mutex_lock (&lock);
  calls++;
  if (worker->mode != MODE_OK
      && rand_r (&worker->seed) % 100 < worker->percent)
    mode = worker->mode;
  if (mode == MODE_STALE)
    worker->mode = MODE_BUSY;
  pthread_mutex_unlock (&lock);
  if (mode == MODE_DROP_BEFORE_RUN || mode == MODE_REFUSE)
    {
      fake_drop_connection (request);
      return;
    }
  if (mode == MODE_ERROR || mode == MODE_BUSY)
    {
      fake_respond (request, mode == MODE_BUSY ? 503 : 500, "{}");
      if (mode == MODE_BUSY)
        MHD_add_response_header (request->response, "X-Not-Run", "1");
      fake_echo_request_id (request);
      return;
    }
  if (mode == MODE_HANG)
    {
      fake_sleep_ms (10000);
      fake_drop_connection (request);
      return;
    }
  fake_sleep_ms (delay_ms);
  if (strstr (request->body->str, "crash") != NULL)
    {
      crash (worker);
      fake_drop_connection (request);
      return;
    }
  count = record_execution (key, fake_header (request, "X-Request-Id"));
  if (mode == MODE_DROP_AFTER_RUN)
    {
      fake_drop_connection (request);
      return;
    }
  if (mode == MODE_STALE)
    {
      fake_respond (request, 503, "{}");
      MHD_add_response_header (request->response, "X-Not-Run", "1");
      return;
    }
  fake_respond_json (request, 200,
                     json_pack ("{s:s,s:i,s:s%}", "key", key ? key : "",
                                "executions", count, "echo",
                                request->body->str, request->body->len));
  fake_echo_request_id (request);
}

/* Ends WORKER: it accepts no connections and answers no requests, until it is
   restarted.  */
static void
crash (struct worker *worker)
{
  pthread_t thread;
  int is_first;

  pthread_mutex_lock (&lock);
  is_first = worker->mode != MODE_REFUSE;
  worker->mode = MODE_REFUSE;
  worker->percent = 100;
  crashes += is_first;
  pthread_mutex_unlock (&lock);
  if (!is_first)
    return;
  fake_stop_listening (&worker->server);
  if (pthread_create (&thread, NULL, restart, worker) == 0)
    pthread_detach (thread);
}

/* Restarts the worker CLOSURE after RESTART_MS.  */
static void *
restart (void *closure)
{
  struct worker *worker = closure;

  fake_sleep_ms (RESTART_MS);
  fake_listen (&worker->server, worker->server.port, serve, worker);
  pthread_mutex_lock (&lock);
  worker->mode = MODE_OK;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Records one execution of KEY by REQUEST_ID.  Returns the number of
   executions of KEY so far, or 0 if KEY is NULL.  */
static int
record_execution (const char *key, const char *request_id)
{
  json_t *list;
  int count;

  if (key == NULL)
    return 0;
  pthread_mutex_lock (&lock);
  list = json_object_get (executions, key);
  if (list == NULL)
    {
      json_object_set_new (executions, key, json_array ());
      list = json_object_get (executions, key);
    }
  json_array_append_new (list, json_string (request_id ? request_id : ""));
  count = (int)json_array_size (list);
  pthread_mutex_unlock (&lock);
  return count;
}

/* Serves /fault?worker=I&mode=NAME&percent=P&seed=S and /history.  */
static void
serve_control (struct fake_request *request, void *closure)
{
  json_t *json;

  (void)closure;
  if (strcmp (request->url, "/fault") == 0)
    {
      set_fault (request);
      return;
    }
  pthread_mutex_lock (&lock);
  json
      = json_pack ("{s:o,s:I,s:I}", "executions", json_deep_copy (executions),
                   "calls", (json_int_t)calls, "crashes", (json_int_t)crashes);
  pthread_mutex_unlock (&lock);
  fake_respond_json (request, 200, json);
}

/* Sets the fault of one worker.  */
static void
set_fault (struct fake_request *request)
{
  static const char *const modes[] = { "ok",     "error", "refuse", "before",
                                       "during", "hang",  "busy",   "stale" };
  const char *worker_number = fake_query_argument (request, "worker");
  const char *mode = fake_query_argument (request, "mode");
  const char *percent = fake_query_argument (request, "percent");
  const char *seed = fake_query_argument (request, "seed");
  struct worker *worker;

  if (worker_number == NULL || mode == NULL)
    {
      fake_respond (request, 400, "{}");
      return;
    }
  worker = &workers[atoi (worker_number) % WORKERS_MAX];
  for (size_t i = 0; i < G_N_ELEMENTS (modes); i++)
    if (strcmp (mode, modes[i]) == 0)
      {
        enum mode previous = worker->mode;

        worker->percent = percent ? atoi (percent) : 100;
        worker->seed = seed ? (unsigned)atoi (seed) : 1;
        worker->mode = (enum mode)i;
        if (worker->mode == MODE_REFUSE && previous != MODE_REFUSE)
          fake_stop_listening (&worker->server);
        if (worker->mode != MODE_REFUSE && previous == MODE_REFUSE)
          fake_listen (&worker->server, worker->server.port, serve, worker);
      }
  fake_respond (request, 200, "{}");
}
