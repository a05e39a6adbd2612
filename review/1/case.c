/* The workers fail part of their requests: they run them and answer 503,
   without saying that they did not.  Requesters take a 503 of the system as
   the promise that the request has not run, and send the charge once more.  */
#include <pthread.h>
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  WORKERS = 3,
  CHARGES = 130,
  INTERVAL_MS = 50,
  WORK_MS = 60,
  DEADLINE_MS = 3000,
  TRIES_MAX = 2, /* of one charge: a requester retries once */
  FAILING_MS = 4000,
  FAILED_PERCENT = 45,
  IDS_MAX = CHARGES * TRIES_MAX
};

/* An attempt that a worker has run. */
struct run
{
  char *id;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run runs[IDS_MAX * 2];
static int run_count;
static int64_t failing_until_ms; /* 0: they do not fail */
static int broken;
static int twice;

/* Notes that attempt ID runs.  */
static void
note_run (const char *id)
{
  pthread_mutex_lock (&lock);
  if (run_count < (int)G_N_ELEMENTS (runs))
    runs[run_count++].id = g_strdup (id);
  pthread_mutex_unlock (&lock);
}

/* Returns how often attempt ID has run.  */
static int
count_runs (const char *id)
{
  int count = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < run_count; i++)
    count += strcmp (runs[i].id, id) == 0;
  pthread_mutex_unlock (&lock);
  return count;
}

/* Worker that fails part of its requests for a time.  */
static int
run_request (const struct fx_request *request)
{
  char *id = review_attempt_id (request);
  int is_failed = review_now_ms () < failing_until_ms
                  && g_random_int_range (0, 100) < FAILED_PERCENT;

  note_run (id);
  fx_sleep_ms (WORK_MS);
  review_record ("a worker has run %s and answers %s", id,
                 is_failed ? "503, without X-Ibisloom-Not-Executed" : "200");
  review_respond (request, is_failed ? "503 Service Unavailable" : "200 OK",
                  "", is_failed ? "ledger not available" : "charged");
  g_free (id);
  return 1;
}

/* Returns whether STATUS promises that the request has not run and will not.
 */
static int
is_promise (int status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Requester: sends the charge whose number is CLOSURE, once more after a
   promise.  Counts the promises given for attempts that have run, and the
   charges that ran twice.  */
static void *
charge (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  int charged = 0;

  for (int try = 0; try < TRIES_MAX; try++)
    {
      char *id = g_strdup_printf ("charge-%d-try-%d", number, try);
      char *request = review_request ("POST", "/fee/1", id, "key-1",
                                      DEADLINE_MS, "", "fee");
      struct review_response response = review_exchange (request);
      int has_run = count_runs (id) > 0;
      int promised = is_promise (response.status);

      review_record ("%s is answered %d, and has%s run", id, response.status,
                     has_run ? "" : " not");
      charged += has_run;
      g_atomic_int_add (&broken, promised && has_run);
      review_response_clear (&response);
      g_free (request);
      g_free (id);
      if (!promised)
        break;
    }
  g_atomic_int_add (&twice, charged > 1);
  return NULL;
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[CHARGES];
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, "reservas", run_request);
      g_free (id);
    }
  if (review_machine_start (0, fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  if (review_has_trouble ())
    failing_until_ms = review_now_ms () + FAILING_MS;
  for (int i = 0; i < CHARGES; i++)
    {
      if (pthread_create (&requesters[i], NULL, charge, GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  for (int i = 0; i < CHARGES; i++)
    pthread_join (requesters[i], NULL);
  finding = g_strdup_printf (
      "of %d charges, %d were answered with the promise that they have not "
      "run "
      "though they had, and %d ran twice, once for each try",
      CHARGES, broken, twice);
  status = review_end (broken > 0, finding);
  g_free (finding);
  return status;
}
