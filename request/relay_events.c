/* Events of a stream: passed on whole, so that another target can go on. */
#include <string.h>

#include "librelay.h"

enum
{
  EVENT_MAX_BYTES = 1048576
};

static size_t event_length (const char *data, size_t length,
                            size_t search_from);
static int record_event (struct relay *relay, const char *data, size_t length);
static void parse_event_id (const char *data, size_t length, char *id);

/* Takes LENGTH bytes of a stream and passes on the events that are whole.
   Returns 0, or -1 if the stream cannot be followed.  */
int
relay_events_feed (struct relay *relay, const char *data, size_t length)
{
  struct relay_events *events = &relay->events;
  size_t search_from;
  size_t end;
  size_t at = 0;

  if (events->partial == NULL)
    events->partial = g_string_sized_new (length + 1);
  search_from = events->partial->len;
  g_string_append_len (events->partial, data, (gssize)length);
  while ((end
          = event_length (events->partial->str + at, events->partial->len - at,
                          search_from > at ? search_from - at : 0))
         > 0)
    {
      if (record_event (relay, events->partial->str + at, end) != 0)
        return -1;
      at += end;
    }
  if (at > 0)
    {
      relay_events_forward (relay, events->partial->str, at);
      g_string_erase (events->partial, 0, (gssize)at);
    }
  return events->partial->len > EVENT_MAX_BYTES ? -1 : 0;
}

/* Drops an event that did not come whole.  */
void
relay_events_reset (struct relay *relay)
{
  if (relay->events.partial != NULL)
    g_string_truncate (relay->events.partial, 0);
}

/* Returns the length of the event that starts DATA, its empty line included,
   or 0 if it is not whole.  No end lies before SEARCH_FROM, but for its line
   end. */
static size_t
event_length (const char *data, size_t length, size_t search_from)
{
  for (size_t i = search_from > 3 ? search_from - 3 : 0; i + 1 < length; i++)
    {
      if (data[i] != '\n')
        continue;
      if (data[i + 1] == '\n')
        return i + 2;
      if (data[i + 1] == '\r' && i + 2 < length && data[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Takes note of one event of LENGTH bytes.  Returns -1 if it cannot follow
   the last one.  */
static int
record_event (struct relay *relay, const char *data, size_t length)
{
  struct relay_events *events = &relay->events;
  char id[RELAY_EVENT_ID_BYTES] = "";

  parse_event_id (data, length, id);
  if (id[0] == '\0')
    return 0;
  if (events->forwarded > 0
      && g_ascii_strtoll (id, NULL, 10)
             <= g_ascii_strtoll (events->last_id, NULL, 10))
    return -1;
  g_strlcpy (events->last_id, id, sizeof events->last_id);
  events->forwarded++;
  return 0;
}

/* Copies the value of the line "id:" to ID, if there is one.  */
static void
parse_event_id (const char *data, size_t length, char *id)
{
  const char *end = data + length;

  for (const char *line = data; line < end;)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      size_t line_length = stop ? (size_t)(stop - line) : (size_t)(end - line);

      if (line_length > 3 && memcmp (line, "id:", 3) == 0)
        {
          size_t skip = line[3] == ' ' ? 4 : 3;
          size_t copy = MIN (line_length - skip, RELAY_EVENT_ID_BYTES - 1);

          memcpy (id, line + skip, copy);
          id[copy] = '\0';
          g_strchomp (id);
        }
      line += line_length + 1;
    }
}
