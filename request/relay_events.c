/* Events of a stream: passed on whole, so that another target can go on. */
#include <string.h>

#include "librelay.h"

enum
{
  EVENT_MAX_BYTES = 1048576
};

static size_t event_end (const char *data, size_t length, size_t from);
static int take_event (struct rly *rly, const char *data, size_t length);
static void read_id (const char *data, size_t length, char *id);

/* Takes LENGTH bytes of a stream and passes on the events that are whole.
   Returns 0, or -1 if the stream cannot be followed.  */
int
rly_events_feed (struct rly *rly, const char *data, size_t length)
{
  struct rly_events *events = &rly->events;
  size_t from;
  size_t end;
  size_t at = 0;

  if (events->partial == NULL)
    events->partial = g_string_sized_new (length + 1);
  from = events->partial->len;
  g_string_append_len (events->partial, data, (gssize)length);
  while (
      (end = event_end (events->partial->str + at, events->partial->len - at,
                        from > at ? from - at : 0))
      > 0)
    {
      if (take_event (rly, events->partial->str + at, end) != 0)
        return -1;
      at += end;
    }
  if (at > 0)
    {
      rly_events_pass (rly, events->partial->str, at);
      g_string_erase (events->partial, 0, (gssize)at);
    }
  return events->partial->len > EVENT_MAX_BYTES ? -1 : 0;
}

/* Drops an event that did not come whole.  */
void
rly_events_reset (struct rly *rly)
{
  if (rly->events.partial != NULL)
    g_string_truncate (rly->events.partial, 0);
}

/* Returns the length of the event that starts DATA, its empty line included,
   or 0 if it is not whole.  No end lies before FROM, but for its line end. */
static size_t
event_end (const char *data, size_t length, size_t from)
{
  for (size_t i = from > 3 ? from - 3 : 0; i + 1 < length; i++)
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
take_event (struct rly *rly, const char *data, size_t length)
{
  struct rly_events *events = &rly->events;
  char id[RLY_EVENT_ID_BYTES] = "";

  read_id (data, length, id);
  if (id[0] == '\0')
    return 0;
  if (events->passed > 0
      && g_ascii_strtoll (id, NULL, 10)
             <= g_ascii_strtoll (events->last, NULL, 10))
    return -1;
  g_strlcpy (events->last, id, sizeof events->last);
  events->passed++;
  return 0;
}

/* Copies the value of the line "id:" to ID, if there is one.  */
static void
read_id (const char *data, size_t length, char *id)
{
  const char *end = data + length;

  for (const char *line = data; line < end;)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      size_t span = stop ? (size_t)(stop - line) : (size_t)(end - line);

      if (span > 3 && memcmp (line, "id:", 3) == 0)
        {
          size_t skip = line[3] == ' ' ? 4 : 3;
          size_t copy = MIN (span - skip, RLY_EVENT_ID_BYTES - 1);

          memcpy (id, line + skip, copy);
          id[copy] = '\0';
          g_strchomp (id);
        }
      line += span + 1;
    }
}
