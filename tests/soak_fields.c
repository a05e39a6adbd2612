/* Header fields that may reach targets and clients of the soak. */
#include <string.h>

#include "soak.h"

/* Names, each between commas, in lower case.  */
static const char to_targets[]
    = ",host,content-length,connection,last-event-id,resumes,"
      "x-ibisloom-attempt-id,x-ibisloom-deadline-remaining,"
      "x-ibisloom-prompt-prefix,x-ibisloom-tenant,"
      "x-ibisloom-expected-instance,x-ibisloom-request-urgency,";
static const char to_clients[]
    = ",content-length,content-type,transfer-encoding,connection,retry-after,"
      "server-limit,server-brittle,x-ibisloom-attempt-id,"
      "x-ibisloom-response-signature,x-ibisloom-server-load,";

/* Returns the first line of the head TEXT whose field has a name that is not
   in NAMES, newly allocated, or NULL.  */
static char *
find_other_field (const char *text, const char *names)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *line = strstr (text, "\r\n");
  char *found = NULL;

  while (found == NULL && line != NULL && line != end)
    {
      size_t length = strcspn (line + 2, "\r");
      char *field = g_ascii_strdown (line + 2, (gssize)length);
      char *key = g_strdup_printf (",%.*s,", (int)strcspn (field, ":"), field);

      if (strstr (names, key) == NULL)
        found = g_strdup (field);
      g_free (key);
      g_free (field);
      line = strstr (line + 2, "\r\n");
    }
  return found;
}

/* Returns the field of the request TEXT that no target may get, newly
   allocated, or NULL.  */
char *
soak_find_request_field (const char *text)
{
  return find_other_field (text, to_targets);
}

/* Returns the field of the response TEXT that no client may get, newly
   allocated, or NULL.  */
char *
soak_find_response_field (const char *text)
{
  return find_other_field (text, to_clients);
}
