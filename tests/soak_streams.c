/* Streams of the soak, whose events name the request and the version of the
   software that wrote them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

enum
{
  EVENTS_BEFORE_CUT = 2
};

/* Writes TEXT as one chunk of the response to REQUEST, once its target is not
   silent.  */
static void
write_chunk (const struct fx_request *request, const char *text)
{
  char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, chunk);
  g_free (chunk);
}

/* Writes the stream of REQUEST from the event after its Last-Event-Id, with
   the header FIELDS, VERSION in the events and PAUSE_MS between them.  If
   TRUNCATED, stops in the middle of the third event that is written.  */
void
soak_write_stream (const struct fx_request *request, const char *fields,
                   const char *version, int truncated, int pause_ms)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *after = fx_header_value (request->text, "Last-Event-Id");
  int first = after != NULL ? atoi (after) + 1 : 1;
  char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n%s"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id, fields);
  int is_cut = 0;

  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, head);
  for (int i = first; i <= SOAK_EVENTS_PER_STREAM && !is_cut; i++)
    {
      char *event
          = g_strdup_printf ("id: %d\ndata: %s-%d %s\n\n", i, id, i, version);

      is_cut = truncated && i >= first + EVENTS_BEFORE_CUT;
      if (is_cut)
        event[strlen ("id: ")] = '\0';
      write_chunk (request, event);
      g_free (event);
      fx_sleep_ms (is_cut ? 0 : pause_ms);
    }
  if (!is_cut)
    fx_write (request->fd, "0\r\n\r\n");
  g_free (head);
  g_free (id);
  g_free (after);
}

/* Returns the header fields by which a request takes STREAM up, newly
   allocated; empty if it has no event yet.  */
char *
soak_resume_fields (const struct soak_stream *stream)
{
  return stream->last == 0
             ? g_strdup ("")
             : g_strdup_printf ("Resumes: %s\r\nLast-Event-Id: %d\r\n",
                                stream->id, stream->last);
}

/* Records the event of request ID at AT, whose version follows the first
   LENGTH bytes.  Returns 0, or -1 if STREAM has events of another version.  */
static int
record_event (struct soak_stream *stream, const char *id, const char *at,
              size_t length)
{
  char version[SOAK_VERSION_BYTES] = "";

  sscanf (at + length, "%7[^\r\n]", version);
  stream->last++;
  if (stream->id == NULL)
    {
      stream->id = g_strdup (id);
      g_strlcpy (stream->version, version, sizeof stream->version);
    }
  return strcmp (stream->version, version) == 0 ? 0 : -1;
}

/* Adds the events in RESPONSE, to request ID, to STREAM.  Returns what is
   wrong with them, or NULL: they are in order and of one version, and the
   response is terminated only after the last one.  */
const char *
soak_check_stream (struct soak_stream *stream, const char *id,
                   const char *response)
{
  for (const char *at = response; (at = strstr (at, "data: ")) != NULL; at++)
    {
      char *expected = g_strdup_printf ("data: %s-%d ", id, stream->last + 1);
      size_t length = strlen (expected);
      int is_next = g_str_has_prefix (at, expected);

      g_free (expected);
      if (!is_next)
        return "stream event missing, duplicated or of another request";
      if (record_event (stream, id, at, length) != 0)
        return "stream holds events of two versions";
    }
  if (g_str_has_suffix (response, "\r\n0\r\n\r\n")
      && stream->last != SOAK_EVENTS_PER_STREAM)
    return "stream terminated as complete before its last event";
  return NULL;
}

/* Returns whether STREAM has begun and not ended.  */
int
soak_is_broken_off (const struct soak_stream *stream)
{
  return stream->last > 0 && stream->last < SOAK_EVENTS_PER_STREAM;
}

/* Frees what STREAM holds, and makes it a stream without events.  */
void
soak_clear_stream (struct soak_stream *stream)
{
  g_free (stream->id);
  *stream = (struct soak_stream){ 0 };
}
