/* Clients that read streams, and take each up again when its connection
   breaks, and the check of the events that they got.

   Options: record= entries=ADDRESS,... count= tries= retry_ms= deadline_ms=
   host= path=; break_ms=, when the clients close the connections of their
   first attempts; late_count= and late_ms=, of streams that begin later;
   check=versions (no more than mixed_max= streams hold events of two software
   versions) or check=taken_up (streams that are taken up later than touch_ms=
   go on at least half as often as late ones begin).  */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

enum
{
  EXIT_BROKEN = 1,
  EXIT_CANNOT_RUN = 2,
  MIXED_MAX = 2,
  TAKEN_UP_MIN = 12,
  DECIMAL_BASE = 10,
  STATUS_OK = 200
};

/* Stream of one client, over its tries.  */
struct stream
{
  uint32_t number;
  char *first_id; /* attempt that brought the first event */
  char *id;       /* of the current attempt */
  int64_t last_event;
  GString *partial;  /* start of an event that is not whole yet */
  GString *versions; /* of the events, one character each */
  uint32_t tries;
  int fd;
  int64_t start_ms; /* after the start of the program */
  int is_complete;
  int is_taken_up; /* by an attempt later than touch_ms */
  int has_gone_on; /* in such an attempt */
};

static char **entries;
static int64_t started_ms;

static void on_piece (void *closure, const char *data, size_t length);
static void take_event (struct stream *stream, const char *event);
static char *make_request (const struct stream *stream, int64_t deadline_ms);
static void try_once (struct stream *stream, int64_t deadline_ms);
static gpointer client_thread (gpointer data);
static int is_mixed (const struct stream *stream);
static int judge_versions (const struct stream *streams, uint32_t count);
static int judge_taken_up (const struct stream *streams, uint32_t count,
                           uint32_t late_count);

/* Records EVENT, of the form "id: N\ndata: VERSION WORKER".  */
static void
take_event (struct stream *stream, const char *event)
{
  const char *id = strstr (event, "id: ");
  const char *data = strstr (event, "data: ");

  if (id == NULL || data == NULL)
    return;
  stream->last_event = g_ascii_strtoll (id + 4, NULL, DECIMAL_BASE);
  g_string_append_c (stream->versions, data[6]);
  if (stream->first_id == NULL)
    stream->first_id = g_strdup (stream->id);
}

/* Takes the whole events out of what has arrived.  */
static void
on_piece (void *closure, const char *data, size_t length)
{
  struct stream *stream = closure;
  const char *end;

  g_string_append_len (stream->partial, data, (gssize)length);
  while ((end = strstr (stream->partial->str, "\n\n")) != NULL)
    {
      char *event = g_strndup (stream->partial->str,
                               (gsize)(end - stream->partial->str));

      take_event (stream, event);
      g_free (event);
      g_string_erase (stream->partial, 0, end - stream->partial->str + 2);
    }
  if (stream->tries == 0 && stream->start_ms == 0
      && util_now_ms () - started_ms >= util_number ("break_ms", INT32_MAX))
    (void)shutdown (stream->fd, SHUT_RDWR);
}

/* Returns the request of the next attempt, newly allocated.  */
static char *
make_request (const struct stream *stream, int64_t deadline_ms)
{
  GString *out = g_string_new (NULL);

  g_string_printf (out,
                   "POST %s%u HTTP/1.1\r\nHost: %s\r\n"
                   "X-Ibisloom-Attempt-Id: %s\r\n"
                   "X-Ibisloom-Deadline-Remaining: %" G_GINT64_FORMAT "\r\n"
                   "X-Ibisloom-Model: m\r\n"
                   "X-Ibisloom-Token-Usage: 460,60\r\n"
                   "X-Ibisloom-Prompt-Prefix: %x:400,%x:60\r\n",
                   util_option ("path", "/s/"), stream->number,
                   util_option ("host", "h.example"), stream->id, deadline_ms,
                   0x1000 + stream->number, 0x2000 + stream->number);
  if (stream->first_id != NULL)
    g_string_append_printf (out,
                            "Last-Event-Id: %" G_GINT64_FORMAT "\r\n"
                            "Resumes: %s\r\n",
                            stream->last_event, stream->first_id);
  g_string_append (out, "Content-Length: 1\r\n\r\nx");
  return g_string_free (out, FALSE);
}

/* Makes one attempt, at an entry other than that of the last one.  */
static void
try_once (struct stream *stream, int64_t deadline_ms)
{
  const char *entry
      = entries[(stream->number + stream->tries) % g_strv_length (entries)];
  GString *input = g_string_new (NULL);
  struct message response = { 0 };
  int is_counted
      = stream->first_id != NULL
        && util_now_ms () - started_ms >= util_number ("touch_ms", 0);
  int64_t last_before = stream->last_event;
  char *request;

  g_free (stream->id);
  stream->id = g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
  g_string_truncate (stream->partial, 0);
  request = make_request (stream, deadline_ms);
  util_record ("client %u: sends %s to %s%s%s", stream->number, stream->id,
               entry, stream->first_id != NULL ? ", resumes " : "",
               stream->first_id != NULL ? stream->first_id : "");
  stream->fd = net_connect (entry);
  if (stream->fd >= 0
      && net_write (stream->fd, request, strlen (request)) == 0)
    (void)net_read_message (stream->fd, input, &response, on_piece, stream);
  stream->is_complete
      = net_status (&response) == STATUS_OK && response.is_complete;
  stream->is_taken_up |= is_counted;
  stream->has_gone_on
      |= is_counted
         && (stream->is_complete || stream->last_event > last_before);
  util_record ("client %u: %s got status %u, %s, last event %" G_GINT64_FORMAT
               ", versions %s",
               stream->number, stream->id, net_status (&response),
               stream->is_complete ? "complete" : "not complete",
               stream->last_event, stream->versions->str);
  if (stream->fd >= 0)
    (void)close (stream->fd);
  g_free (request);
  net_clear (&response);
  g_string_free (input, TRUE);
}

/* Runs one client, until its stream is complete or its time is over.  */
static gpointer
client_thread (gpointer data)
{
  struct stream *stream = data;
  int64_t tries = util_number ("tries", 4);
  int64_t end_ms;

  util_sleep_ms (stream->start_ms);
  end_ms = util_now_ms () + util_number ("deadline_ms", 15000);
  while (!stream->is_complete && stream->tries < tries
         && util_now_ms () < end_ms)
    {
      if (stream->tries > 0)
        util_sleep_ms (util_number ("retry_ms", 500));
      try_once (stream, end_ms - util_now_ms ());
      stream->tries++;
    }
  return NULL;
}

/* Returns whether STREAM holds events of two software versions.  */
static int
is_mixed (const struct stream *stream)
{
  const char *versions = stream->versions->str;

  for (const char *at = versions; *at != '\0'; at++)
    if (*at != versions[0])
      return 1;
  return 0;
}

/* Checks that hardly any stream holds events of two software versions.
   Returns the exit status.  */
static int
judge_versions (const struct stream *streams, uint32_t count)
{
  int64_t mixed_max = util_number ("mixed_max", MIXED_MAX);
  uint32_t begun = 0;
  uint32_t mixed = 0;
  uint32_t complete = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      begun += streams[i].versions->len > 0;
      mixed += is_mixed (&streams[i]) != 0;
      complete += streams[i].is_complete != 0;
    }
  util_record ("%u streams, %u begun, %u complete, %u with events of two "
               "versions",
               count, begun, complete, mixed);
  if (begun < count)
    return EXIT_CANNOT_RUN;
  return mixed > mixed_max ? EXIT_BROKEN : EXIT_SUCCESS;
}

/* Checks that the first COUNT streams, where they were taken up, go on at
   least half as often as the LATE_COUNT ones after them begin.  Returns the
   exit status.  */
static int
judge_taken_up (const struct stream *streams, uint32_t count,
                uint32_t late_count)
{
  uint32_t taken_up = 0;
  uint32_t gone_on = 0;
  uint32_t begun = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      taken_up += streams[i].is_taken_up != 0;
      gone_on += streams[i].has_gone_on != 0;
    }
  for (uint32_t i = count; i < count + late_count; i++)
    begun += streams[i].versions->len > 0;
  util_record ("%u of %u streams were taken up again, %u of these went on; "
               "%u of %u late ones began",
               taken_up, count, gone_on, begun, late_count);
  if (taken_up < TAKEN_UP_MIN || begun == 0)
    return EXIT_CANNOT_RUN;
  return (uint64_t)gone_on * 2 * late_count < (uint64_t)begun * taken_up
             ? EXIT_BROKEN
             : EXIT_SUCCESS;
}

/* Runs the clients and checks what they got.  */
int
streams_run (void)
{
  uint32_t count = (uint32_t)util_number ("count", 20);
  uint32_t late_count = (uint32_t)util_number ("late_count", 0);
  uint32_t all = count + late_count;
  struct stream *streams = g_new0 (struct stream, all);
  GThread **threads = g_new0 (GThread *, all);
  int status;

  util_open_record (util_option ("record", "/dev/null"));
  entries = g_strsplit (util_option ("entries", ""), ",", -1);
  started_ms = util_now_ms ();
  for (uint32_t i = 0; i < all; i++)
    {
      streams[i].number = i;
      streams[i].start_ms = i < count ? 0 : util_number ("late_ms", 0);
      streams[i].partial = g_string_new (NULL);
      streams[i].versions = g_string_new (NULL);
      threads[i] = g_thread_new ("client", client_thread, &streams[i]);
    }
  for (uint32_t i = 0; i < all; i++)
    (void)g_thread_join (threads[i]);
  status = strcmp (util_option ("check", "versions"), "taken_up") == 0
               ? judge_taken_up (streams, count, late_count)
               : judge_versions (streams, all);
  for (uint32_t i = 0; i < all; i++)
    {
      g_free (streams[i].id);
      g_free (streams[i].first_id);
      g_string_free (streams[i].partial, TRUE);
      g_string_free (streams[i].versions, TRUE);
    }
  g_free (threads);
  g_free (streams);
  g_strfreev (entries);
  return status;
}
