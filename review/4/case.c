/* A planned stop of one machine, in calm: short streams come as usual, at
   workers that keep to the pauses of the sheet.  */
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  WORKERS = 3,
  REQUESTS = 62,
  INTERVAL_MS = 100,
  SIGNAL_AT = 10,    /* request that comes with the signal */
  EXCUSED_MS = 3000, /* requests sent no later after the signal may be cut */
  FIRST_EVENT_MS = 300, /* the objective is 400 */
  PAUSE_MS = 330,       /* the route allows 400 */
  EVENTS = 9,           /* of 6 tokens; in all 2.94 s, within the deadline */
  DEADLINE_MS = 3000,
  CALM_MS = 4000, /* longer than contact_ms, before the signal */
  EXIT_TIMEOUT_MS = 20000
};

static int64_t signal_ms = G_MAXINT64; /* of SIGTERM */
static int cut;      /* passed on to a worker, and not answered whole */
static int excused;  /* the same, but sent early */
static int answered; /* whole */
static int refused;
static int arrived[REQUESTS]; /* at a worker */

/* Worker: streams at the pace that the sheet allows.  */
static int
run_request (const struct fx_request *request)
{
  char *id = review_attempt_id (request);

  g_atomic_int_set (&arrived[atoi (strchr (id, '-') + 1)], 1);
  review_record ("a worker runs %s", id);
  fx_sleep_ms (FIRST_EVENT_MS);
  review_start_stream (request, "");
  for (int i = 1; i <= EVENTS; i++)
    {
      review_write_event (request, i, "label");
      if (i < EVENTS)
        fx_sleep_ms (PAUSE_MS);
    }
  review_end_stream (request);
  review_record ("the run of %s ends", id);
  g_free (id);
  return 0;
}

/* Requester: sends the request whose number is CLOSURE.  */
static void *
send_request (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  char *id = g_strdup_printf ("tag-%d", number);
  char *request = review_request ("POST", "/tag/1", id, "key-1", DEADLINE_MS,
                                  "X-Ibisloom-Model: m\r\n"
                                  "X-Ibisloom-Token-Usage: 2401,54\r\n",
                                  "tag");
  int64_t sent_ms = review_now_ms ();
  struct review_response response;

  review_record ("sent %s", id);
  response = review_exchange (request);
  review_record ("%s ends %d ms after it was sent: status %d, %s", id,
                 (int)(review_now_ms () - sent_ms), response.status,
                 response.is_complete ? "complete" : "NOT COMPLETE");
  if (response.status == 503)
    g_atomic_int_inc (&refused);
  else if (response.is_complete)
    g_atomic_int_inc (&answered);
  else if (g_atomic_int_get (&arrived[number]))
    g_atomic_int_inc (sent_ms - signal_ms > EXCUSED_MS ? &cut : &excused);
  review_response_clear (&response);
  g_free (request);
  g_free (id);
  return NULL;
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[REQUESTS];
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, "asistente", run_request);
      g_free (id);
    }
  if (review_router_start (fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  fx_sleep_ms (CALM_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      if (i == SIGNAL_AT && review_has_trouble ())
        {
          signal_ms = review_now_ms ();
          review_router_signal (SIGTERM);
        }
      if (pthread_create (&requesters[i], NULL, send_request,
                          GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  for (int i = 0; i < REQUESTS; i++)
    pthread_join (requesters[i], NULL);
  if (review_has_trouble ())
    review_router_wait (EXIT_TIMEOUT_MS);
  finding = g_strdup_printf ("of %d streams, %d were answered, %d refused "
                             "with 503, %d passed on to a "
                             "worker and cut, though sent later than 3 s "
                             "after the signal, and %d cut "
                             "that were sent earlier",
                             REQUESTS, answered, refused, cut, excused);
  status = review_end (cut > 0, finding);
  g_free (finding);
  return status;
}
