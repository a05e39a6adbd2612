/* Chat requests: parsing of the body and of the engine's event stream. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ibisloom/sse.h"
#include "libconnection.h"

enum
{
  EVENT_MAX_BYTES = 1048576,
  TEXT_MAX_BYTES = 8388608 /* of a response that is not streamed */
};

static int refuse_body (struct req *req);
static const char *nonempty_string (json_t *json, const char *key);
static int process_event (struct req *req, const char *event, size_t length);
static void append_content (struct req *req, const char *data, size_t length);
static const char *sse_field (const char *event, size_t length,
                              const char *name, size_t *value_length);

/* Parses REQ's body and sets its service, chat and deadline.  Returns 0,
   or -1 with the response set.  */
int
chat_parse (struct req *req)
{
  json_t *json = json_loadb (req->body->str, req->body->len,
                             JSON_REJECT_DUPLICATES, NULL);
  const char *model = nonempty_string (json, "model");
  const char *chat = nonempty_string (json, "chat_id");
  const struct ver_service *service;

  if (!json_is_object (json) || model == NULL || chat == NULL
      || !json_is_array (json_object_get (json, "messages")))
    {
      json_decref (json);
      return refuse_body (req);
    }
  service = ver_service_find (req->worker->version, model);
  if (service == NULL || service->kind != VER_KIND_CHAT)
    {
      json_decref (json);
      req_refuse (req, REFUSE_UNKNOWN_SERVICE, REQ_NOT_RUN);
      return -1;
    }
  req->service_id = service->id;
  req->silence_ms = service->silence_ms;
  req->attempt_timeout_ms = service->attempt_timeout_ms;
  req->deadline_ms = req->arrived_ms + service->deadline_ms;
  g_strlcpy (req->service, service->name, sizeof req->service);
  req->chat = rank_hash_parts (req->customer, service->name, chat);
  req->stream = json_is_true (json_object_get (json, "stream"));
  if (!req->stream)
    req->content = g_string_new (NULL);
  json_decref (json);
  return 0;
}

/* Consumes LENGTH bytes of the engine's stream.  Each complete event is
   delivered exactly once, by its number: an event that was delivered
   before is dropped, and a skipped number is a fault.  Returns 0, or -1 if
   the stream does not continue this response, or an event or the text has no
   end.  */
int
chat_feed (struct req *req, const char *data, size_t length)
{
  struct req_events *events = &req->events;
  size_t searched = events->partial->len > 0 ? events->partial->len - 1 : 0;
  size_t consumed = 0;
  int result = 0;

  g_string_append_len (events->partial, data, (gssize)length);
  for (;;)
    {
      const char *start = events->partial->str + consumed;
      const char *end
          = strstr (events->partial->str + MAX (consumed, searched), "\n\n");

      if (end == NULL)
        break;
      result = process_event (req, start, (size_t)(end + 2 - start));
      consumed = (size_t)(end + 2 - events->partial->str);
      if (result != 0)
        break;
    }
  g_string_erase (events->partial, 0, (gssize)consumed);
  if (events->partial->len > EVENT_MAX_BYTES
      || (req->content != NULL && req->content->len > TEXT_MAX_BYTES))
    return -1;
  return result;
}

/* Returns the JSON response to a chat that is not streamed, to be freed
   with free.  */
char *
chat_completion_json (const struct req *req)
{
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I}}", "id", req->id_text,
      "object", "chat.completion", "model", req->service, "choices", "index",
      0, "message", "role", "assistant", "content", req->content->str,
      "finish_reason", "stop", "usage", "completion_tokens",
      (json_int_t)req->events.offset);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

/* Refuses a malformed body.  Returns -1.  */
static int
refuse_body (struct req *req)
{
  req_refuse (req, REFUSE_BAD_REQUEST, REQ_NOT_RUN);
  return -1;
}

/* Returns the string under KEY, or NULL if it is missing or empty.  */
static const char *
nonempty_string (json_t *json, const char *key)
{
  const char *text = json_string_value (json_object_get (json, key));

  return text != NULL && *text != '\0' ? text : NULL;
}

/* Processes one EVENT of LENGTH bytes, including its empty line.  Comments are
   keep-alives of the engine and are dropped.  Returns 0, or -1 if it does not
   continue the response: an event number was skipped, or is missing though
   events before had one, or it is no event, as the text of an error.  */
static int
process_event (struct req *req, const char *event, size_t length)
{
  struct req_events *events = &req->events;
  size_t data_length;
  size_t id_length;
  const char *data = sse_field (event, length, "data: ", &data_length);
  const char *id = sse_field (event, length, "id: ", &id_length);

  if (!sse_is_event (event, length))
    return -1;
  if (data == NULL)
    return 0;
  if (data_length == 6 && memcmp (data, "[DONE]", 6) == 0)
    events->done = 1;
  else if (id != NULL)
    {
      int64_t number = strtoll (id, NULL, 10);

      if (number < events->offset)
        return 0;
      if (number > events->offset)
        {
          events->has_gap = 1;
          return -1;
        }
      events->offset++;
    }
  else if (events->offset > 0)
    return -1;
  if (req->stream)
    g_string_append_len (req->out, event, (gssize)length);
  else if (!events->done)
    append_content (req, data, data_length);
  return 0;
}

/* Appends the text in one event's JSON DATA to the response.  */
static void
append_content (struct req *req, const char *data, size_t length)
{
  json_t *json = json_loadb (data, length, 0, NULL);
  json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  const char *text = json_string_value (
      json_object_get (json_object_get (choice, "delta"), "content"));

  if (text != NULL)
    g_string_append (req->content, text);
  json_decref (json);
}

/* Returns the value of the line of EVENT that starts with NAME and sets
   VALUE_LENGTH, or returns NULL.  The value is not terminated.  */
static const char *
sse_field (const char *event, size_t length, const char *name,
           size_t *value_length)
{
  size_t size = strlen (name);
  const char *end = event + length;

  for (const char *line = event; line < end;)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));

      if (line_end == NULL)
        return NULL;
      if ((size_t)(line_end - line) >= size && memcmp (line, name, size) == 0)
        {
          *value_length = (size_t)(line_end - line) - size;
          return line + size;
        }
      line = line_end + 1;
    }
  return NULL;
}
