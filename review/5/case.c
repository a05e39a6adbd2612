/* A machine that is cut off from all workers has streams run through another
   machine.  Then the zone of that one is cut off from the other zones.  */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libfixture.h"
#include "../common/link.h"
#include "../common/review.h"

enum
{
  MACHINES = 3,
  WORKERS = 3,
  CUT_ZONE = 1, /* its machine and its worker have this index */
  STREAMS = 16,
  EVENTS = 40,
  EVENT_MS = 200, /* within the pause that the route allows */
  INTERVAL_MS = 50,
  SETTLE_MS = 2000,
  NOTICE_MS = 1000, /* until the machine knows that it is cut off */
  CALM_MS = 500,    /* while streams run through others */
  CUT_MS = 5500,
  DEADLINE_MS = 15000,
  AT_WORK_MS = 400, /* that the rule allows */
  RUNS_MAX = 256
};

/* Run of a request at a worker. */
struct run
{
  char *id;
  int worker;
  int machine; /* that sent it */
  int64_t began_ms;
  int64_t ended_ms; /* 0: still at work */
};

static int run_at_a (const struct fx_request *request);
static int run_at_b (const struct fx_request *request);
static int run_at_c (const struct fx_request *request);
static int run_stream (const struct fx_request *request, int worker);
static void *request_stream (void *closure);
static void set_path (int machine, int worker, enum proxy_mode mode);
static void cut_zone (int is_cut);
static int count_overlaps (void);

static struct link_worker workers[WORKERS] = {
  { .id = "i-a", .service = "asistente", .zone = "a", .handler = run_at_a },
  { .id = "i-b", .service = "asistente", .zone = "b", .handler = run_at_b },
  { .id = "i-c", .service = "asistente", .zone = "c", .handler = run_at_c }
};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run runs[RUNS_MAX];
static int run_count;
static int completed;
static int64_t healed_ms; /* when the zone was no longer cut off */

static int
run_at_a (const struct fx_request *request)
{
  return run_stream (request, 0);
}

static int
run_at_b (const struct fx_request *request)
{
  return run_stream (request, 1);
}

static int
run_at_c (const struct fx_request *request)
{
  return run_stream (request, 2);
}

/* Worker: writes a stream from the event that the request names, and stops
   when its channel is closed.  */
static int
run_stream (const struct fx_request *request, int worker)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");
  struct run *run;
  int first = after != NULL ? atoi (after) + 1 : 1;
  int last = first - 1;

  pthread_mutex_lock (&lock);
  run = &runs[MIN (run_count, RUNS_MAX - 1)];
  run_count++;
  *run = (struct run){ .id = review_attempt_id (request),
                       .worker = worker,
                       .machine = link_sender (request),
                       .began_ms = review_now_ms () };
  pthread_mutex_unlock (&lock);
  review_record ("%s, for machine %d, runs %s from event %d on",
                 workers[worker].id, run->machine, run->id, first);
  review_start_stream (request, "");
  while (last < EVENTS)
    {
      char byte;

      if (recv (request->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
        break;
      review_write_event (request, ++last, "text");
      fx_sleep_ms (EVENT_MS);
    }
  if (last == EVENTS)
    review_end_stream (request);
  pthread_mutex_lock (&lock);
  run->ended_ms = review_now_ms ();
  pthread_mutex_unlock (&lock);
  review_record ("%s ends %s after event %d%s", workers[worker].id, run->id,
                 last, last == EVENTS ? "" : ", as its channel is closed");
  g_free (after);
  return 0;
}

/* Requester: sends the request whose number is CLOSURE to the first machine.
 */
static void *
request_stream (void *closure)
{
  char *id = g_strdup_printf ("s-%d", GPOINTER_TO_INT (closure));
  char *fields = g_strdup_printf ("X-Ibisloom-Prompt-Prefix: %x:600,%x:10\r\n",
                                  0x1000 + GPOINTER_TO_INT (closure),
                                  0x2000 + GPOINTER_TO_INT (closure));
  char *request = review_request ("POST", "/plan/1", id, "key-1", DEADLINE_MS,
                                  fields, "plan");
  struct review_response response = review_exchange_with (0, request);

  review_record ("%s is answered %d, %s", id, response.status,
                 response.is_complete ? "complete" : "not complete");
  g_atomic_int_add (&completed,
                    response.status == 200 && response.is_complete);
  review_response_clear (&response);
  g_free (request);
  g_free (fields);
  g_free (id);
  return NULL;
}

/* Sets the MODE of the path from MACHINE to WORKER.  */
static void
set_path (int machine, int worker, enum proxy_mode mode)
{
  proxy_set_mode (workers[worker].path[machine], mode, 0);
}

/* Cuts CUT_ZONE off from the other zones, or ends that.  All machines reach
   the store.  The first one stays cut off from all workers.  */
static void
cut_zone (int is_cut)
{
  review_record ("zone %s is %s", workers[CUT_ZONE].zone,
                 is_cut ? "cut off from the other zones"
                        : "no longer cut off");
  link_peer_cut (CUT_ZONE, is_cut);
  for (int machine = 1; machine < MACHINES; machine++)
    for (int worker = 0; worker < WORKERS; worker++)
      if ((machine == CUT_ZONE) != (worker == CUT_ZONE))
        set_path (machine, worker, is_cut ? PROXY_CUT_SILENT : PROXY_PASS);
}

/* Counts the requests that were sent to another worker while a worker went on
   with them for AT_WORK_MS, though the machine that had sent it there runs and
   reaches it.  What happened after the end of the cut does not count.  */
static int
count_overlaps (void)
{
  int count = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < MIN (run_count, RUNS_MAX); i++)
    for (int j = 0; j < MIN (run_count, RUNS_MAX); j++)
      {
        const struct run *before = &runs[i];
        const struct run *next = &runs[j];
        int64_t ended_ms = before->ended_ms != 0
                               ? MIN (before->ended_ms, healed_ms)
                               : healed_ms;

        if (strcmp (before->id, next->id) != 0
            || before->worker == next->worker
            || next->began_ms <= before->began_ms
            || ended_ms < next->began_ms + AT_WORK_MS
            || before->machine != CUT_ZONE || before->worker != CUT_ZONE)
          continue;
        review_record ("%s began at %s while %s went on for %d ms", next->id,
                       workers[next->worker].id, workers[before->worker].id,
                       (int)(ended_ms - next->began_ms));
        count++;
      }
  pthread_mutex_unlock (&lock);
  return count;
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[STREAMS];
  char *finding;
  int overlaps;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < MACHINES; i++)
    {
      char *name = g_strdup_printf ("front-%c-1", 'a' + i);

      link_peers_announce (i, name);
      review_machine_set_store (i, link_store_host (i));
      g_free (name);
    }
  link_peers_start (MACHINES);
  for (int i = 0; i < MACHINES; i++)
    if (review_machine_start (i, link_store_listen (i)) != 0)
      return REVIEW_NOT_RUN;
  fx_sleep_ms (SETTLE_MS);
  for (int i = 0; i < WORKERS; i++)
    {
      if (link_worker_start (&workers[i], MACHINES) != 0)
        return REVIEW_NOT_RUN;
      link_worker_announce (&workers[i]);
    }
  fx_sleep_ms (SETTLE_MS);
  if (review_has_trouble ())
    {
      review_record ("machine 0 is cut off from all workers");
      for (int i = 0; i < WORKERS; i++)
        set_path (0, i, PROXY_CUT_SILENT);
    }
  for (int i = 0; i < STREAMS; i++)
    {
      if (pthread_create (&requesters[i], NULL, request_stream,
                          GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  fx_sleep_ms (NOTICE_MS + CALM_MS);
  if (review_has_trouble ())
    cut_zone (1);
  fx_sleep_ms (CUT_MS);
  healed_ms = review_now_ms ();
  if (review_has_trouble ())
    {
      cut_zone (0);
      for (int i = 0; i < WORKERS; i++)
        set_path (0, i, PROXY_PASS);
    }
  for (int i = 0; i < STREAMS; i++)
    pthread_join (requesters[i], NULL);
  overlaps = count_overlaps ();
  finding = g_strdup_printf (
      "%d of %d streams were at work at two workers for over %d ms; %d are "
      "complete",
      overlaps, STREAMS, AT_WORK_MS, completed);
  status = review_end (overlaps > 0, finding);
  g_free (finding);
  return status;
}
