/* Server-sent events.  Only complete events are forwarded, so that another
   target can resume the stream after the last one. */
#include <string.h>

#include "ibisloom/buffer.h"
#include "ibisloom/sse.h"
#include "librelay.h"

enum
{
  EVENT_MAX_BYTES = 1048576
};

static size_t event_length (const char *data, size_t length,
                            size_t search_from);
static int record_event (struct relay *relay, const char *data, size_t length);
static void parse_event_id (const char *data, size_t length, char *id);

/* Consumes LENGTH bytes of a stream and forwards the complete events, up to
   one that is out of order.  Returns 0, or -1 if there is such an event, or
   one that is too large or for which no memory is left.  */
int
relay_events_feed (struct relay *relay, const char *data, size_t length)
{
  GString *partial = relay->attempt.partial_event;
  size_t search_from;
  size_t event_bytes;
  size_t consumed = 0;
  int result = 0;

  if (partial == NULL)
    partial = g_string_sized_new (length + 1);
  relay->attempt.partial_event = partial;
  search_from = partial->len;
  g_string_append_len (partial, data, (gssize)length);
  while ((event_bytes
          = event_length (partial->str + consumed, partial->len - consumed,
                          search_from > consumed ? search_from - consumed : 0))
         > 0)
    {
      result = record_event (relay, partial->str + consumed, event_bytes);
      if (result != 0)
        break;
      consumed += event_bytes;
      relay->events.complete++;
    }
  if (consumed > 0)
    {
      relay_events_forward (relay, partial->str, consumed);
      g_string_erase (partial, 0, (gssize)consumed);
    }
  if (partial->len > EVENT_MAX_BYTES)
    return -1;
  if (partial->len == 0)
    relay_events_reset (relay);
  else if (buf_reserve (BUF_RECEIVED, &relay->attempt.event_share,
                        partial->allocated_len)
           != 0)
    return -1;
  return result;
}

/* Returns whether PARTIAL, of which the first SEARCHED bytes have none, has
   the end of an event.  */
int
relay_events_has_complete (const GString *partial, size_t searched)
{
  return event_length (partial->str, partial->len, searched) > 0;
}

/* Discards an incomplete event.  */
void
relay_events_reset (struct relay *relay)
{
  struct relay_attempt *attempt = &relay->attempt;

  if (attempt->partial_event == NULL)
    return;
  g_string_truncate (attempt->partial_event, 0);
  if (attempt->partial_event->allocated_len <= BUF_OWN_BYTES)
    return;
  g_string_free (attempt->partial_event, TRUE);
  attempt->partial_event = NULL;
  buf_release (BUF_RECEIVED, &attempt->event_share);
}

/* Returns the length of the event at the start of DATA, including its empty
   line, or 0 if it is incomplete.  Bytes before SEARCH_FROM were searched
   before; an empty line that ends after it may begin up to three bytes
   earlier.  */
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

/* Records the id of an event of LENGTH bytes.  Returns 0, or -1 if the id
   does not exceed the last one, or if it is no event, as the text of an error
   in the middle of a stream that has no framing.  */
static int
record_event (struct relay *relay, const char *data, size_t length)
{
  struct relay_events *events = &relay->events;
  char id[RELAY_EVENT_ID_BYTES] = "";

  if (!sse_is_event (data, length))
    return -1;
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

/* Copies the value of the "id:" line to ID, truncated to
   RELAY_EVENT_ID_BYTES.  Leaves ID as it is if there is none.  */
static void
parse_event_id (const char *data, size_t length, char *id)
{
  const char *end = data + length;

  for (const char *line = data; line < end;)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));
      size_t line_length
          = line_end ? (size_t)(line_end - line) : (size_t)(end - line);

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
