/* Server-sent events: what is one. */
#include <string.h>

#include <glib.h>

#include "ibisloom/sse.h"

static int is_field (const char *line, size_t length);

/* Returns whether the LENGTH bytes of DATA, up to an empty line, consist of
   fields and comments.  */
int
sse_is_event (const char *data, size_t length)
{
  const char *end = data + length;

  for (const char *line = data; line < end;)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));
      size_t line_length
          = line_end ? (size_t)(line_end - line) : (size_t)(end - line);

      if (!is_field (line, line_length))
        return 0;
      line += line_length + 1;
    }
  return 1;
}

/* Returns whether LINE, of LENGTH bytes, is empty, a comment, or a field: a
   name, and a colon unless it has no value.  */
static int
is_field (const char *line, size_t length)
{
  static const char *const without_value[]
      = { "data", "event", "id", "retry" };
  size_t name = 0;

  if (length > 0 && line[length - 1] == '\r')
    length--;
  while (name < length && (g_ascii_isalnum (line[name]) || line[name] == '-'))
    name++;
  if (length == 0 || (name < length && line[name] == ':'))
    return 1;
  for (size_t i = 0; i < G_N_ELEMENTS (without_value); i++)
    if (length == strlen (without_value[i])
        && memcmp (line, without_value[i], length) == 0)
      return 1;
  return 0;
}
