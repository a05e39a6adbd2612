/* A worker leaves, and says so in all its answers, while the instance is
   partitioned from the store.  */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "libfixture.h"
#include "proxy_fixture.h"
#include "../common/review.h"

enum
{
  WORKERS = 4,
  STREAMS = 180,
  INTERVAL_MS = 50,
  EVENTS = 49,
  EVENT_MS = 20,
  DEADLINE_MS = 12000,
  CUT_AT_MS = 1000,    /* since the first stream */
  LEAVE_AT_MS = 1500,  /* the store confirms it */
  SERVED_MS = 5000,    /* from then on until the worker exits */
  CUT_UNTIL_MS = 7500, /* since the first stream */
  NEVER_MS = -1
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fx_target *leaving;
static volatile int is_leaving;
static int64_t told_ms = NEVER_MS; /* first answer passed on that says so */
static int64_t sent_ms[STREAMS];
static int late; /* streams that reached it too late */
static int lost; /* of these, streams that have no end */
static int is_late[STREAMS];

/* Worker: runs the request.  The one that leaves says so.  */
static int
run_request (const struct fx_request *request)
{
  char *id = review_attempt_id (request);
  int number = atoi (strchr (id, '-') + 1);
  int says_leaving = request->target == leaving && is_leaving;

  pthread_mutex_lock (&lock);
  if (says_leaving && told_ms != NEVER_MS
      && sent_ms[number] > told_ms + REVIEW_DRAIN_MS)
    {
      late++;
      is_late[number] = 1;
      review_record ("%s, sent %d ms after the instance had passed on "
                     "Server-Leaving, reaches %s",
                     id, (int)(sent_ms[number] - told_ms),
                     request->target->id);
    }
  pthread_mutex_unlock (&lock);
  review_start_stream (request, says_leaving ? "Server-Leaving: 1\r\n" : "");
  for (int i = 1; i <= EVENTS && !request->target->crashed; i++)
    {
      review_write_event (request, i, "rule");
      fx_sleep_ms (EVENT_MS);
    }
  if (!request->target->crashed)
    review_end_stream (request);
  g_free (id);
  return 0;
}

/* Requester: sends the request for the stream whose number is CLOSURE, which
   may not be repeated.  */
static void *
request_stream (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  char *id = g_strdup_printf ("stream-%d", number);
  char *request = review_request ("POST", "/rules/1", id, "key-1", DEADLINE_MS,
                                  "X-Ibisloom-Model: m\r\n"
                                  "X-Ibisloom-Token-Usage: 829,294\r\n",
                                  "rules");
  struct review_response response;

  pthread_mutex_lock (&lock);
  sent_ms[number] = review_now_ms ();
  pthread_mutex_unlock (&lock);
  response = review_exchange (request);
  pthread_mutex_lock (&lock);
  if (told_ms == NEVER_MS && strstr (response.text, "Server-Leaving") != NULL)
    {
      told_ms = review_now_ms ();
      review_record ("the instance has passed on Server-Leaving");
    }
  lost += is_late[number] && !response.is_complete;
  pthread_mutex_unlock (&lock);
  if (!response.is_complete)
    review_record ("%s is answered %d, not complete", id, response.status);
  review_response_clear (&response);
  g_free (request);
  g_free (id);
  return NULL;
}

/* Does what is due MS after the first stream.  */
static void
act (int ms, struct proxy *store_path)
{
  if (ms == CUT_AT_MS && review_has_trouble ())
    {
      review_record ("the instance is partitioned from the store");
      proxy_set_mode (store_path, PROXY_CUT_SILENT, 0);
    }
  if (ms == LEAVE_AT_MS)
    {
      review_record ("%s reports that it is draining; the store confirms",
                     leaving->id);
      fx_target_set_state (leaving, "draining");
      is_leaving = 1;
    }
  if (ms == LEAVE_AT_MS + SERVED_MS)
    {
      review_record ("%s exits; its entry is removed", leaving->id);
      fx_target_crash (leaving);
      fx_target_remove (leaving);
    }
  if (ms == CUT_UNTIL_MS && review_has_trouble ())
    {
      review_record ("the partition ends");
      proxy_set_mode (store_path, PROXY_PASS, 0);
    }
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[STREAMS];
  struct proxy *store_path;
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  store_path = proxy_start (fx_store_port ());
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);
      struct fx_target *target = fx_target_add (id, "asistente", run_request);

      leaving = i == 0 ? target : leaving;
      g_free (id);
    }
  if (review_machine_start (0, proxy_port (store_path)) != 0)
    return REVIEW_NOT_RUN;
  for (int i = 0; i < STREAMS; i++)
    {
      act (i * INTERVAL_MS, store_path);
      if (pthread_create (&requesters[i], NULL, request_stream,
                          GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  for (int i = 0; i < STREAMS; i++)
    pthread_join (requesters[i], NULL);
  finding = g_strdup_printf (
      "of %d streams, %d reached the leaving worker though they were sent "
      "over "
      "%d ms after the instance had passed on its Server-Leaving; %d of these "
      "were cut when it exited",
      STREAMS, late, REVIEW_DRAIN_MS, lost);
  status = review_end (late > 0, finding);
  g_free (finding);
  return status;
}
