/* Stand-in of a worker: its responses.  */
#include <string.h>

#include "libfixture.h"
#include "review.h"

/* Returns the attempt id of REQUEST, newly allocated.  */
char *
review_attempt_id (const struct fx_request *request)
{
  return fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
}

/* Responds to REQUEST with STATUS and BODY, signed, with the header lines
   FIELDS.  */
void
review_respond (const struct fx_request *request, const char *status,
                const char *fields, const char *body)
{
  char *id = review_attempt_id (request);
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n%sContent-Length: %zu\r\n\r\n"
      "%s",
      status, id, id, fields, strlen (body), body);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Writes the head of an event stream with the header lines FIELDS.  */
void
review_start_stream (const struct fx_request *request, const char *fields)
{
  char *id = review_attempt_id (request);
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n%s"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id, fields);

  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Writes event NUMBER of a stream, with TEXT.  */
void
review_write_event (const struct fx_request *request, int number,
                    const char *text)
{
  char *event = g_strdup_printf ("id: %d\ndata: %s\n\n", number, text);
  char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);

  fx_write (request->fd, chunk);
  g_free (chunk);
  g_free (event);
}

/* Ends a complete stream.  */
void
review_end_stream (const struct fx_request *request)
{
  fx_write (request->fd, "0\r\n\r\n");
}
