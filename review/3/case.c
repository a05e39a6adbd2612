/* A worker crashes in the middle of streams and is back under its id with
   another version of its software, while the time of day of its machine is
   some seconds behind.  Requesters take the streams up.  */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  NEWER_WORKERS = 3,
  STREAMS = 32,
  INTERVAL_MS = 15,
  EVENTS = 64,
  EVENT_MS = 20,
  CRASH_AFTER_MS = 700, /* since the first stream */
  DOWN_MS = 1000,
  CLOCK_BACK_MS = 2400,
  DEADLINE_MS = 15000,
  TRIES_MAX = 2, /* a requester retries once */
  RETRY_MS = 2000,
  JOINED_MAX = 2 /* streams that may hold events of two versions */
};

/* A version of the software, as it marks its events. */
struct version
{
  const char *name;
  const char *text;
};

/* What a requester has of a stream, over all its tries. */
struct stream
{
  char *began; /* attempt that brought the first event, or NULL */
  int last;    /* number of the last event */
  int has[2];  /* events of each version */
  int is_complete;
};

static const struct version versions[]
    = { { "v1", "written by v1" }, { "v2", "written by v2" } };
static volatile int first_is_new; /* the first worker has the newer version */
static int joined;
static int completed;

/* Writes a stream as a worker of the version at INDEX.  Returns whether the
   connection is kept.  */
static int
write_stream (const struct fx_request *request, int index)
{
  char *id = review_attempt_id (request);
  char *after = fx_header_value (request->text, "Last-Event-Id");

  review_record ("%s, version %s, runs %s from event %d on",
                 request->target->id, versions[index].name, id,
                 after != NULL ? atoi (after) + 1 : 1);
  review_start_stream (request, "");
  for (int i = after != NULL ? atoi (after) + 1 : 1;
       i <= EVENTS && !request->target->crashed; i++)
    {
      review_write_event (request, i, versions[index].text);
      fx_sleep_ms (EVENT_MS);
    }
  if (!request->target->crashed)
    review_end_stream (request);
  g_free (after);
  g_free (id);
  return 0;
}

/* The first worker, which changes its version.  */
static int
run_at_first (const struct fx_request *request)
{
  return write_stream (request, first_is_new);
}

/* The other workers, of the newer version.  */
static int
run_at_other (const struct fx_request *request)
{
  return write_stream (request, 1);
}

/* Counts the events in the response TEXT to attempt ID into STREAM.  */
static void
read_events (struct stream *stream, const char *id, const char *text)
{
  const char *at = strstr (text, "\r\n\r\n");

  while (at != NULL && (at = strstr (at, "id: ")) != NULL)
    {
      const char *end = strstr (at, "\n\n");

      if (end == NULL)
        break;
      stream->last = atoi (at + strlen ("id: "));
      for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
        stream->has[i]
            += g_strstr_len (at, end - at, versions[i].text) != NULL;
      if (stream->began == NULL)
        stream->began = g_strdup (id);
      at = end;
    }
}

/* Requester: sends the request whose number is CLOSURE, and takes the stream
   up until it is complete.  */
static void *
request_stream (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  struct stream stream = { 0 };

  for (int try = 0; try < TRIES_MAX && !stream.is_complete; try++)
    {
      char *id = g_strdup_printf ("s-%d-try-%d", number, try);
      char *fields
          = stream.began != NULL
                ? g_strdup_printf ("Last-Event-Id: %d\r\nResumes: %s\r\n",
                                   stream.last, stream.began)
                : g_strdup ("");
      char *request = review_request ("POST", "/plan/1", id, "key-1",
                                      DEADLINE_MS, fields, "plan");
      struct review_response response = review_exchange (request);

      if (response.status == 200)
        read_events (&stream, id, response.text);
      stream.is_complete = response.status == 200 && response.is_complete;
      review_record ("%s is answered %d, %s; %d events of v1, %d of v2", id,
                     response.status,
                     stream.is_complete ? "complete" : "not complete",
                     stream.has[0], stream.has[1]);
      review_response_clear (&response);
      g_free (request);
      g_free (fields);
      g_free (id);
      if (!stream.is_complete)
        fx_sleep_ms (RETRY_MS);
    }
  g_atomic_int_add (&joined, stream.has[0] > 0 && stream.has[1] > 0);
  g_atomic_int_add (&completed, stream.is_complete);
  g_free (stream.began);
  return NULL;
}

/* Has TARGET crash and come back with the newer version.  The time of day of
   its machine is CLOCK_BACK_MS behind if there is trouble.  */
static void
restart_worker (struct fx_target *target)
{
  int64_t behind_ms = review_has_trouble () ? CLOCK_BACK_MS : 0;

  review_record ("%s crashes", target->id);
  fx_target_crash (target);
  fx_sleep_ms (DOWN_MS);
  first_is_new = 1;
  fx_target_recover (target);
  target->born_ms = g_get_real_time () / 1000 - behind_ms;
  fx_target_set_version (target, versions[1].name);
  review_record ("%s is back with version %s; its clock is %d ms behind",
                 target->id, versions[1].name, (int)behind_ms);
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[STREAMS];
  struct fx_target *first;
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  first = fx_target_add_version ("i-1", "asistente", versions[0].name,
                                 run_at_first);
  fx_target_restart (first, versions[0].name);
  for (int i = 0; i < NEWER_WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i + 2);

      fx_target_restart (fx_target_add_version (
                             id, "asistente", versions[1].name, run_at_other),
                         versions[1].name);
      g_free (id);
    }
  fx_sleep_ms (CLOCK_BACK_MS * 2);
  if (review_machine_start (0, fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  for (int i = 0; i < STREAMS; i++)
    {
      if (pthread_create (&requesters[i], NULL, request_stream,
                          GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  fx_sleep_ms (CRASH_AFTER_MS - STREAMS * INTERVAL_MS);
  restart_worker (first);
  for (int i = 0; i < STREAMS; i++)
    pthread_join (requesters[i], NULL);
  finding = g_strdup_printf ("of %d streams, %d were completed, and %d hold "
                             "events of both versions; %d may",
                             STREAMS, completed, joined, JOINED_MAX);
  status = review_end (joined > JOINED_MAX, finding);
  g_free (finding);
  return status;
}
