/* A planned stop while prompts queue at the engines: requests that still wait
   for their first event at the end of the grace period.  */
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  WORKERS = 6,
  READ_MS = 150, /* an engine reads one prompt at a time for so long */
  EVENTS = 10,
  EVENT_MS = 20,
  DEADLINE_MS = 3000,
  /* Requests a second: of one tenant, and of all others.  The capacity is
     WORKERS / READ_MS = 40.  */
  TENANT_PER_S = 12,
  OTHERS_PER_S = 16,
  TENANT_FACTOR = 7, /* what the tenant sends beyond its usual */
  PRESS_MS = 6500,
  USUAL_MS = 1000,        /* before the tenant presses */
  STOP_AFTER_MS = 1500,   /* since the tenant presses */
  SENT_UNTIL_MS = 6000,   /* since the stop: the balancer still sends */
  EXIT_TIMEOUT_MS = 20000 /* far longer than the grace period */
};

/* Requests of one kind of requester. */
struct sender
{
  const char *name;
  const char *key;
  int per_s;
};

static pthread_mutex_t engines[WORKERS];
static volatile int tenant_factor = 1;
static volatile int is_over;
static int answered;
static int unanswered;
static int last_number;

/* Returns whether the other side has closed the connection FD.  */
static int
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Engine: reads the prompts one after the other, but for those whose
   connection was closed meanwhile, and then streams.  */
static int
run_request (const struct fx_request *request)
{
  pthread_mutex_t *engine = &engines[request->target->id[strlen ("i-")] - '0'];
  char *id = review_attempt_id (request);

  pthread_mutex_lock (engine);
  if (is_closed (request->fd))
    {
      pthread_mutex_unlock (engine);
      g_free (id);
      return 0;
    }
  fx_sleep_ms (READ_MS);
  pthread_mutex_unlock (engine);
  review_record ("a worker runs %s", id);
  review_start_stream (request, "");
  for (int i = 1; i <= EVENTS; i++)
    {
      review_write_event (request, i, "label");
      fx_sleep_ms (EVENT_MS);
    }
  review_end_stream (request);
  g_free (id);
  return 1;
}

/* Requester: sends one request with the key CLOSURE.  */
static void *
send_request (void *closure)
{
  char *id = g_strdup_printf ("r-%d", g_atomic_int_add (&last_number, 1));
  char *request
      = review_request ("POST", "/tag/1", id, closure, DEADLINE_MS,
                        "X-Ibisloom-Model: m\r\nX-Ibisloom-Token-Usage: "
                        "2401,54\r\n",
                        "tag");
  struct review_response response;

  review_record ("sent %s", id);
  response = review_exchange (request);
  review_record ("%s is answered %d, %s", id, response.status,
                 response.is_complete ? "complete" : "not complete");
  g_atomic_int_add (response.is_complete ? &answered : &unanswered, 1);
  review_response_clear (&response);
  g_free (request);
  g_free (id);
  return NULL;
}

/* Sends requests of the SENDER in CLOSURE until the case is over.  */
static void *
send_requests (void *closure)
{
  const struct sender *sender = closure;
  int is_tenant = strcmp (sender->name, "tenant") == 0;

  while (!is_over)
    {
      int factor = is_tenant ? tenant_factor : 1;

      fx_start_thread (send_request, (gpointer)(uintptr_t)sender->key);
      fx_sleep_ms (1000 / (sender->per_s * factor));
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct sender senders[] = { { "tenant", "key-1", TENANT_PER_S },
                                     { "others", "key-2", OTHERS_PER_S } };
  char *config
      = review_config (3, "[{\"name\":\"large\",\"api_keys\":[\"key-1\"]},"
                          "{\"name\":\"small\",\"api_keys\":[\"key-2\"]}]");
  char *finding;
  int end;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);
      struct fx_target *target = fx_target_add (id, "asistente", run_request);

      pthread_mutex_init (&engines[i], NULL);
      target->slots = 64;
      fx_target_put_entry (target, "");
      g_free (id);
    }
  if (review_router_start (fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    fx_start_thread (send_requests, &senders[i]);
  fx_sleep_ms (USUAL_MS);
  if (review_has_trouble ())
    {
      review_record ("the large tenant sends %d times its usual",
                     TENANT_FACTOR);
      tenant_factor = TENANT_FACTOR;
    }
  fx_sleep_ms (STOP_AFTER_MS);
  review_router_signal (SIGTERM);
  fx_sleep_ms (PRESS_MS - STOP_AFTER_MS);
  tenant_factor = 1;
  fx_sleep_ms (SENT_UNTIL_MS - (PRESS_MS - STOP_AFTER_MS));
  is_over = 1;
  end = review_router_wait (EXIT_TIMEOUT_MS);
  fx_sleep_ms (USUAL_MS);
  finding = g_strdup_printf (
      "the instance ended %s%d; %d requests have a complete answer, %d have "
      "none",
      end < 0 ? "by signal " : "with status ", abs (end),
      g_atomic_int_get (&answered), g_atomic_int_get (&unanswered));
  status = review_end (end != 0, finding);
  g_free (finding);
  return status;
}
