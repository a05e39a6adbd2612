/* Stand-in of a requester: one request on a connection of its own.  */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libfixture.h"
#include "review.h"

static int is_complete (const char *text);

/* Returns a request, newly allocated.  KEY may be NULL; FIELDS is a sequence
   of header lines; BODY may be NULL.  */
char *
review_request (const char *method, const char *path, const char *id,
                const char *key, int64_t deadline_ms, const char *fields,
                const char *body)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Deadline-Remaining: %" G_GINT64_FORMAT "\r\n%s",
      method, path, id, (gint64)deadline_ms, fields);
  if (key != NULL)
    g_string_append_printf (text, "Authorization: Token %s\r\n", key);
  g_string_append (text, "Connection: close\r\n");
  if (body != NULL)
    g_string_append_printf (text, "Content-Length: %zu\r\n", strlen (body));
  g_string_append_printf (text, "\r\n%s", body != NULL ? body : "");
  return g_string_free (text, FALSE);
}

/* Sends REQUEST to the first machine on a new connection.  Returns what is
   received until the connection ends.  */
struct review_response
review_exchange (const char *request)
{
  return review_exchange_with (0, request);
}

/* Does the same with MACHINE.  */
struct review_response
review_exchange_with (int machine, const char *request)
{
  struct review_response response = { 0 };
  int fd = fx_connect_port (review_machine_port (machine));

  if (fd < 0)
    {
      response.text = g_strdup ("");
      return response;
    }
  fx_send (fd, request);
  response.text = fx_read_all (fd);
  if (g_str_has_prefix (response.text, "HTTP/1.1 "))
    response.status = atoi (response.text + strlen ("HTTP/1.1 "));
  response.is_complete = response.status != 0 && is_complete (response.text);
  return response;
}

/* Frees what RESPONSE holds.  */
void
review_response_clear (struct review_response *response)
{
  g_free (response->text);
  response->text = NULL;
}

/* Returns whether the response TEXT has its whole body.  */
static int
is_complete (const char *text)
{
  const char *body = strstr (text, "\r\n\r\n");
  char *length = fx_header_value (text, "Content-Length");
  int complete = 0;

  if (body != NULL && length != NULL)
    complete = strlen (body + 4) == strtoul (length, NULL, 10);
  else if (body != NULL)
    complete = g_str_has_suffix (body, "\r\n0\r\n\r\n");
  g_free (length);
  return complete;
}
