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
  WORKERS = 12,
  READ_MS = 150, /* of one prompt, 9,180 tokens; one is read at a time */
  EVENTS = 10,
  EVENT_MS = 20,
  DEADLINE_MS = 12000,
  /* Requests a second: of one tenant, and of all others.  The capacity is
     WORKERS / READ_MS = 80.  */
  TENANT_PER_S = 15,
  OTHERS_PER_S = 36,
  TENANT_FACTOR = 7, /* what the tenant sends beyond its usual */
  PRESS_MS = 6500,
  CALM_MS = 1000,          /* before the tenant presses, in each round */
  STOP_AFTER_MS = 3500,    /* since the tenant presses */
  GAP_MS = 1000,           /* between the stops of two machines */
  OUT_AFTER_MS = 2000,     /* two questions in a row without a 200 */
  EXIT_TIMEOUT_MS = 20000, /* far longer than the grace period */
  MACHINES = 3,            /* of one zone */
  STOPPED = 2,             /* machines that are stopped, in each round */
  ROUNDS = 7,
  ENDS_MAX = 2 /* on each of two machines processes may end by themselves */
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
static int64_t stopped_ms[MACHINES]; /* signal of its stop; 0: it serves */
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
  pthread_mutex_t *engine
      = &engines[atoi (request->target->id + strlen ("i-"))];
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
      review_write_event (request, i, "text");
      fx_sleep_ms (EVENT_MS);
    }
  review_end_stream (request);
  g_free (id);
  return 1;
}

/* Returns whether the platform has taken MACHINE out of rotation.  */
static int
is_out (int machine)
{
  int64_t since_ms = __atomic_load_n (&stopped_ms[machine], __ATOMIC_SEQ_CST);

  return since_ms != 0 && review_now_ms () - since_ms >= OUT_AFTER_MS;
}

/* Returns the machine to which the platform forwards channel NUMBER: one in
   rotation, or any one if fewer than half are.  */
static int
choose_machine (int number)
{
  int in_rotation = 0;

  for (int i = 0; i < MACHINES; i++)
    in_rotation += !is_out (i);
  while (in_rotation * 2 >= MACHINES && is_out (number % MACHINES))
    number++;
  return number % MACHINES;
}

/* Requester: sends one request with the key CLOSURE.  */
static void *
send_request (void *closure)
{
  int number = g_atomic_int_add (&last_number, 1);
  int machine = choose_machine (number);
  char *id = g_strdup_printf ("r-%d", number);
  char *request
      = review_request ("POST", "/rules/1", id, closure, DEADLINE_MS,
                        "X-Ibisloom-Model: m\r\nX-Ibisloom-Token-Usage: "
                        "9180,294\r\n",
                        "rules");
  struct review_response response;

  review_record ("sent %s to machine %d", id, machine);
  response = review_exchange_with (machine, request);
  review_record ("%s is answered %d, %s", id, response.status,
                 response.is_complete ? "complete" : "not complete");
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

/* Stops the first machines one after the other, while the tenant presses if
   there is trouble, and starts them again.  Counts in ENDS the processes that
   ended by a signal.  Returns 0, or -1 if one could not be started.  */
static int
play_round (int ends[STOPPED])
{
  fx_sleep_ms (CALM_MS);
  if (review_has_trouble ())
    {
      review_record ("the large tenant sends %d times its usual",
                     TENANT_FACTOR);
      tenant_factor = TENANT_FACTOR;
    }
  fx_sleep_ms (STOP_AFTER_MS);
  for (int i = 0; i < STOPPED; i++)
    {
      __atomic_store_n (&stopped_ms[i], review_now_ms (), __ATOMIC_SEQ_CST);
      review_machine_signal (i, SIGTERM);
      fx_sleep_ms (GAP_MS);
    }
  fx_sleep_ms (PRESS_MS - STOP_AFTER_MS - STOPPED * GAP_MS);
  tenant_factor = 1;
  for (int i = 0; i < STOPPED; i++)
    {
      int end = review_machine_wait (i, EXIT_TIMEOUT_MS);

      review_record ("machine %d ended %s%d", i,
                     end < 0 ? "by signal " : "with status ", abs (end));
      ends[i] += end < 0;
      if (review_machine_start (i, fx_store_port ()) != 0)
        return -1;
      __atomic_store_n (&stopped_ms[i], 0, __ATOMIC_SEQ_CST);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static struct sender senders[] = { { "tenant", "key-1", TENANT_PER_S },
                                     { "others", "key-2", OTHERS_PER_S } };
  char *config
      = review_config (3, "[{\"name\":\"large\",\"api_keys\":[\"key-1\"]},"
                          "{\"name\":\"small\",\"api_keys\":[\"key-2\"]}]");
  int ends[STOPPED] = { 0 };
  int rounds = 0;
  char *finding;
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
  for (int i = 0; i < MACHINES; i++)
    {
      review_machine_set_zone (i, 'a');
      if (review_machine_start (i, fx_store_port ()) != 0)
        return REVIEW_NOT_RUN;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (senders); i++)
    fx_start_thread (send_requests, &senders[i]);
  for (; rounds < ROUNDS && (ends[0] <= ENDS_MAX || ends[1] <= ENDS_MAX);
       rounds++)
    if (play_round (ends) != 0)
      return REVIEW_NOT_RUN;
  is_over = 1;
  finding
      = g_strdup_printf ("of %d stops each, machine 0 ended by a signal of "
                         "nobody %d times, and machine 1 %d times",
                         rounds, ends[0], ends[1]);
  status = review_end (ends[0] > ENDS_MAX && ends[1] > ENDS_MAX, finding);
  g_free (finding);
  return status;
}
