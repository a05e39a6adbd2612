/* A machine loses power while streams run that began when all workers had one
   version of their software.  Before the requesters take the streams up at
   other machines, a worker of a newer version joins.  */
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libfixture.h"
#include "proxy_fixture.h"
#include "../common/review.h"

enum
{
  MACHINES = 9,
  OLD_WORKERS = 12,
  STREAMS = 16,
  EVENTS = 40,
  EVENT_MS = 250,   /* within the pause that the route allows */
  INTERVAL_MS = 50, /* between two streams */
  RUN_MS = 2000,    /* until the power is lost */
  JOIN_MS = 1000,   /* from then until the new worker joins */
  GAP_MS = 3200,    /* eight times the pause; then requesters leave */
  DARK_MS = 3400,   /* until the machine has power again */
  DEADLINE_MS = 15000,
  TAKEN_UP_MIN = 12 /* that the rule asks for */
};

/* What a requester has of a stream. */
struct stream
{
  char id[32];
  int last; /* number of the last event */
  int is_complete;
};

static struct proxy *front; /* before the first machine */
static int taken_up;
static int gone_on;
static int begun;

static int run_stream (const struct fx_request *request);
static int receive (int fd, struct stream *stream);
static void *request_stream (void *closure);
static void take_up (const struct stream *stream, int number);
static void begin_other (int number);
static int connect_to (int port);
static char *plan_request (const char *id, const char *fields);
static void lose_power (void);

/* Worker: writes a stream from the event that the request names, and stops
   when its channel is closed.  */
static int
run_stream (const struct fx_request *request)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");
  char *id = review_attempt_id (request);
  int first = after != NULL ? atoi (after) + 1 : 1;

  review_record ("%s, version %s, runs %s from event %d on",
                 request->target->id, request->target->version, id, first);
  review_start_stream (request, "");
  for (int i = first; i <= EVENTS; i++)
    {
      char byte;

      if (recv (request->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
        break;
      review_write_event (request, i, request->target->version);
      fx_sleep_ms (EVENT_MS);
      if (i == EVENTS)
        review_end_stream (request);
    }
  g_free (after);
  g_free (id);
  return 0;
}

/* Returns a request to begin or take up a stream, newly allocated.  */
static char *
plan_request (const char *id, const char *fields)
{
  return review_request ("POST", "/plan/1", id, "key-1", DEADLINE_MS, fields,
                         "plan");
}

/* Connects to PORT.  Reads end after the gap that a requester bears.  */
static int
connect_to (int port)
{
  struct timeval gap = { GAP_MS / 1000, GAP_MS % 1000 * 1000 };
  int fd = fx_connect_port (port);

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &gap, sizeof gap);
  return fd;
}

/* Reads the response on FD to its end, or until it pauses for GAP_MS, into
   STREAM, and closes FD.  Returns its status, 0 if there is none.  */
static int
receive (int fd, struct stream *stream)
{
  GString *text = g_string_new (NULL);
  char data[4096];
  const char *at;
  ssize_t length;
  int status = 0;

  while ((length = recv (fd, data, sizeof data, 0)) > 0)
    {
      g_string_append_len (text, data, length);
      at = g_strrstr (text->str, "id: ");
      if (at != NULL && strchr (at, '\n') != NULL)
        stream->last = atoi (at + strlen ("id: "));
    }
  if (g_str_has_prefix (text->str, "HTTP/1.1 "))
    status = atoi (text->str + strlen ("HTTP/1.1 "));
  stream->is_complete = g_str_has_suffix (text->str, "\r\n0\r\n\r\n");
  close (fd);
  g_string_free (text, TRUE);
  return status;
}

/* Requester: sends the request whose number is CLOSURE to the first machine,
   and takes the stream up at another one if it breaks off or pauses for too
   long.  At that time another requester begins a stream there.  */
static void *
request_stream (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  struct stream stream = { .last = 0 };
  char *request;
  int fd = connect_to (proxy_port (front));

  g_snprintf (stream.id, sizeof stream.id, "s-%d", number);
  request = plan_request (stream.id, "");
  review_record ("sent %s to machine 0", stream.id);
  fx_send (fd, request);
  (void)receive (fd, &stream);
  g_free (request);
  review_record ("%s: %d events, %s", stream.id, stream.last,
                 stream.is_complete ? "complete" : "broken off");
  if (!stream.is_complete && stream.last > 0)
    {
      begin_other (number);
      take_up (&stream, number);
    }
  return NULL;
}

/* Takes STREAM up at one of the other machines, as try NUMBER.  */
static void
take_up (const struct stream *stream, int number)
{
  int machine = 1 + number % (MACHINES - 1);
  struct stream rest = { .last = stream->last };
  char *fields = g_strdup_printf ("Last-Event-Id: %d\r\nResumes: %s\r\n",
                                  stream->last, stream->id);
  char *request;
  int fd = connect_to (review_machine_port (machine));
  int status;

  g_snprintf (rest.id, sizeof rest.id, "s-%d-again", number);
  request = plan_request (rest.id, fields);
  review_record ("sent %s to machine %d", rest.id, machine);
  fx_send (fd, request);
  g_atomic_int_inc (&taken_up);
  status = receive (fd, &rest);
  if (status == 200 && rest.last > stream->last)
    g_atomic_int_inc (&gone_on);
  review_record ("%s at machine %d is answered %d: events %d to %d", rest.id,
                 machine, status, stream->last + 1, rest.last);
  g_free (request);
  g_free (fields);
}

/* Begins stream NUMBER of other requesters at the machine at which a stream is
   taken up, and leaves it after its first event.  */
static void
begin_other (int number)
{
  int fd = connect_to (review_machine_port (1 + number % (MACHINES - 1)));
  char *id = g_strdup_printf ("n-%d", number);
  char *request = plan_request (id, "");
  char *text;

  review_record ("sent %s to machine %d", id, 1 + number % (MACHINES - 1));
  fx_send (fd, request);
  text = fx_read_until (fd, "id: 1\n");
  if (strstr (text, "id: 1\n") != NULL)
    g_atomic_int_inc (&begun);
  review_record ("%s is answered: %.12s", id, text);
  close (fd);
  g_free (text);
  g_free (request);
  g_free (id);
}

/* Takes the power from the first machine: what comes from it stops without a
   reset, and its process ends.  */
static void
lose_power (void)
{
  review_record ("machine 0 loses power");
  proxy_set_mode (front, PROXY_CUT_SILENT, 0);
  fx_sleep_ms (50);
  review_machine_signal (0, SIGKILL);
  (void)review_machine_wait (0, 1000);
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  pthread_t requesters[STREAMS];
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < OLD_WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i + 1);

      (void)fx_target_add_version (id, "asistente", "v1", run_stream);
      g_free (id);
    }
  for (int i = 0; i < MACHINES; i++)
    if (review_machine_start (i, fx_store_port ()) != 0)
      return REVIEW_NOT_RUN;
  front = proxy_start (review_machine_port (0));
  fx_sleep_ms (RUN_MS);
  for (int i = 0; i < STREAMS; i++)
    {
      if (pthread_create (&requesters[i], NULL, request_stream,
                          GINT_TO_POINTER (i))
          != 0)
        return REVIEW_NOT_RUN;
      fx_sleep_ms (INTERVAL_MS);
    }
  fx_sleep_ms (RUN_MS);
  if (review_has_trouble ())
    lose_power ();
  fx_sleep_ms (JOIN_MS);
  review_record ("a worker of version v2 joins");
  (void)fx_target_add_version ("i-new", "asistente", "v2", run_stream);
  fx_sleep_ms (DARK_MS - JOIN_MS);
  if (review_has_trouble () && review_machine_start (0, fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  for (int i = 0; i < STREAMS; i++)
    pthread_join (requesters[i], NULL);
  finding = g_strdup_printf (
      "%d of %d streams that were taken up went on, %d of %d new ones began",
      gone_on, taken_up, begun, taken_up);
  status
      = review_end (taken_up >= TAKEN_UP_MIN && 2 * gone_on < begun, finding);
  g_free (finding);
  return status;
}
