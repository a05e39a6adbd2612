/* HTTP/1.1 messages: parsed heads and an incremental reader. */
#include <string.h>

#include "ibisloom/http.h"

enum
{
  TEXT_INITIAL_BYTES = 512,
  STATUS_MIN = 100,
  STATUS_FINAL_MIN = 200, /* lower values are interim responses */
  INTERIM_MAX = 16,       /* before a final response */
  /* Bytes up to the end of a head, per byte that its fields may have: allows
     for separators, empty lines and interim responses.  */
  HEAD_BYTES_FACTOR = 4
};

enum reader_state
{
  READER_START,
  READER_NAME,
  READER_VALUE,
  READER_BODY
};

/* Where the next byte of a head is. */
enum line_state
{
  LINE_NONE, /* before the first byte of the message */
  LINE_INSIDE,
  LINE_CR,      /* after a CR, which LF must follow */
  LINE_START,   /* after the end of a line */
  LINE_START_CR /* after a CR there, which ends the head */
};

static enum http_read parse_part (struct http_reader *reader, const char *data,
                                  size_t length, size_t *used);
static size_t check_lines (struct http_reader *reader, const char *data,
                           size_t length);
static int check_byte (struct http_reader *reader, char byte);
static int end_field_name (struct http_reader *reader);
static int on_url (http_parser *parser, const char *at, size_t length);
static int on_field_name (http_parser *parser, const char *at, size_t length);
static int on_field_value (http_parser *parser, const char *at, size_t length);
static int on_head_complete (http_parser *parser);
static int on_body (http_parser *parser, const char *at, size_t length);
static int on_message_end (http_parser *parser);
static struct http_head *get_or_create_head (struct http_reader *reader);
static int begin_field_name (struct http_reader *reader);
static void end_string (struct http_reader *reader);
static int append_to_head (struct http_reader *reader, const char *at,
                           size_t length);
static int has_no_content (const struct http_reader *reader);
static int discard_interim (struct http_reader *reader);
static int is_framing_ambiguous (const struct http_reader *reader);
static int list_contains (const char *list, const char *name);

static const http_parser_settings callbacks = {
  .on_url = on_url,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_head_complete,
  .on_body = on_body,
  .on_message_complete = on_message_end,
};

/* Fields that are specific to one connection (RFC 9110, section 7.6.1), and
   fields that are set anew for each hop. */
static const char *const hop_by_hop[]
    = { "Connection",         "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "TE",         "Trailer",
        "Transfer-Encoding",  "Upgrade",    "Expect",
        "Content-Length" };

/* Prepares READER for the first message of a connection.  */
void
http_reader_init (struct http_reader *reader,
                  const struct http_reader_ops *ops, int is_response,
                  uint32_t head_max_bytes)
{
  memset (reader, 0, sizeof *reader);
  reader->ops = ops;
  reader->is_response = (uint8_t)(is_response != 0);
  reader->head_max_bytes = head_max_bytes;
  http_parser_init (&reader->parser,
                    is_response ? HTTP_RESPONSE : HTTP_REQUEST);
  reader->parser.data = reader;
}

/* Discards the current message of READER.  */
void
http_reader_clear (struct http_reader *reader)
{
  http_head_free (reader->head);
  reader->head = NULL;
  reader->head_bytes = 0;
  reader->bytes_before_body = 0;
  reader->interim_count = 0;
  reader->state = READER_START;
  reader->line = LINE_NONE;
  reader->result = HTTP_READ_MORE;
}

/* Parses up to LENGTH bytes of DATA and stops after the end of a message.
   Sets USED to the number of bytes consumed.  */
enum http_read
http_reader_feed (struct http_reader *reader, const char *data, size_t length,
                  size_t *used)
{
  enum http_read result;
  size_t parsed;

  *used = 0;
  do
    {
      result = parse_part (reader, data + *used, length - *used, &parsed);
      *used += parsed;
    }
  while (result == HTTP_READ_MORE && parsed > 0 && *used < length);
  return result;
}

/* Parses DATA, of LENGTH bytes, up to the end of the head if READER is in one,
   else up to the end of the message.  The bytes before the body are limited,
   whatever they are.  */
static enum http_read
parse_part (struct http_reader *reader, const char *data, size_t length,
            size_t *used)
{
  reader->result = HTTP_READ_MORE;
  *used = 0;
  if (reader->state != READER_BODY)
    length = check_lines (reader, data, length);
  if (reader->result != HTTP_READ_MORE)
    return (enum http_read)reader->result;
  http_parser_pause (&reader->parser, 0);
  *used = http_parser_execute (&reader->parser, &callbacks, data, length);
  if (reader->result == HTTP_READ_MORE && reader->state != READER_BODY)
    {
      reader->bytes_before_body += *used;
      if (reader->bytes_before_body
          > (uint64_t)reader->head_max_bytes * HEAD_BYTES_FACTOR)
        reader->result = HTTP_READ_TOO_LARGE;
    }
  if (reader->result != HTTP_READ_MORE)
    return (enum http_read)reader->result;
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
    return HTTP_PARSER_ERRNO (&reader->parser) == HPE_HEADER_OVERFLOW
               ? HTTP_READ_TOO_LARGE
               : HTTP_READ_MALFORMED;
  if (reader->parser.upgrade)
    return HTTP_READ_MALFORMED;
  return HTTP_READ_MORE;
}

/* Checks the lines of a head in DATA, of LENGTH bytes.  Returns the number of
   bytes up to the end of the head.  Sets the result if a line is folded or has
   a CR without LF: the parser joins folded values and takes any byte after
   some CRs for LF, where another one may see different fields.  */
static size_t
check_lines (struct http_reader *reader, const char *data, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (check_byte (reader, data[i]))
      return i + 1;
  return length;
}

/* Checks the next BYTE of a head.  Returns whether it ends the head.  */
static int
check_byte (struct http_reader *reader, char byte)
{
  int is_end = byte == '\r' || byte == '\n';

  switch ((enum line_state)reader->line)
    {
    case LINE_NONE:
      reader->line = is_end ? LINE_NONE : LINE_INSIDE;
      return 0;
    case LINE_CR:
    case LINE_START_CR:
      if (byte != '\n')
        reader->result = HTTP_READ_MALFORMED;
      break;
    case LINE_START:
      if (byte == ' ' || byte == '\t')
        reader->result = HTTP_READ_MALFORMED;
      break;
    case LINE_INSIDE:
      break;
    }
  if (byte == '\n')
    {
      int is_last
          = reader->line == LINE_START || reader->line == LINE_START_CR;

      reader->line = LINE_START;
      return is_last;
    }
  if (byte == '\r')
    reader->line = reader->line == LINE_START ? LINE_START_CR : LINE_CR;
  else
    reader->line = LINE_INSIDE;
  return 0;
}

/* Handles the orderly close of the connection.  Returns HTTP_READ_COMPLETE if
   the close ends the message, else HTTP_READ_MALFORMED.  */
enum http_read
http_reader_finish (struct http_reader *reader)
{
  reader->result = HTTP_READ_MORE;
  if (reader->state != READER_BODY)
    return HTTP_READ_MALFORMED;
  http_parser_pause (&reader->parser, 0);
  http_parser_execute (&reader->parser, &callbacks, NULL, 0);
  return reader->result == HTTP_READ_COMPLETE ? HTTP_READ_COMPLETE
                                              : HTTP_READ_MALFORMED;
}

/* Returns whether the connection may be reused after this message.  */
int
http_reader_keeps_alive (const struct http_reader *reader)
{
  return http_should_keep_alive (&reader->parser) != 0;
}

/* Returns whether the length of the body is known from the head, and stores it
   in LENGTH, in bytes.  Valid in the head operation.  */
int
http_reader_get_length (const struct http_reader *reader, uint64_t *length)
{
  *length = 0;
  if (has_no_content (reader))
    return 1;
  if (reader->parser.flags & F_CHUNKED
      || reader->parser.content_length == UINT64_MAX)
    return 0;
  *length = reader->parser.content_length;
  return 1;
}

/* Returns the URL in the request line of HEAD.  */
const char *
http_head_url (const struct http_head *head)
{
  return head->text->str + head->url;
}

/* Returns the value of the first field NAME of HEAD, or NULL.  */
const char *
http_head_get (const struct http_head *head, const char *name)
{
  for (uint32_t i = 0; i < head->count; i++)
    if (g_ascii_strcasecmp (http_head_name (head, i), name) == 0)
      return http_head_value (head, i);
  return NULL;
}

/* Returns how many fields of HEAD are named NAME.  */
uint32_t
http_head_count (const struct http_head *head, const char *name)
{
  uint32_t occurrences = 0;

  for (uint32_t i = 0; i < head->count; i++)
    occurrences += g_ascii_strcasecmp (http_head_name (head, i), name) == 0;
  return occurrences;
}

const char *
http_head_name (const struct http_head *head, uint32_t index)
{
  return head->text->str + head->name[index];
}

const char *
http_head_value (const struct http_head *head, uint32_t index)
{
  return head->text->str + head->value[index];
}

/* Frees HEAD; NULL is allowed.  */
void
http_head_free (struct http_head *head)
{
  if (head == NULL)
    return;
  g_string_free (head->text, TRUE);
  g_free (head);
}

/* Returns whether the field NAME of HEAD must not be forwarded, because it is
   hop-by-hop by definition or listed in a Connection field.  */
int
http_is_hop_by_hop (const struct http_head *head, const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    if (g_ascii_strcasecmp (hop_by_hop[i], name) == 0)
      return 1;
  for (uint32_t i = 0; i < head->count; i++)
    if (g_ascii_strcasecmp (http_head_name (head, i), "Connection") == 0
        && list_contains (http_head_value (head, i), name))
      return 1;
  return 0;
}

/* Returns whether STATUS is a 2xx status.  */
int
http_is_success (uint32_t status)
{
  return status >= HTTP_STATUS_OK && status < HTTP_STATUS_MULTIPLE_CHOICES;
}

const char *
http_reason (uint32_t status)
{
  return http_status_str ((enum http_status)status);
}

/* Returns whether the comma-separated LIST contains NAME, ignoring case.  */
static int
list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);

  for (const char *at = list; *at != '\0';)
    {
      size_t span;

      at += strspn (at, ", \t");
      span = strcspn (at, ", \t");
      if (span == length && g_ascii_strncasecmp (at, name, length) == 0)
        return 1;
      at += span;
    }
  return 0;
}

/* Returns the head of the current message, which is created at its first
   byte.  */
static struct http_head *
get_or_create_head (struct http_reader *reader)
{
  if (reader->head == NULL)
    {
      reader->head = g_new0 (struct http_head, 1);
      reader->head->text = g_string_sized_new (TEXT_INITIAL_BYTES);
    }
  return reader->head;
}

/* Appends LENGTH bytes to the head.  Returns -1 if the head
   exceeds the limit.  */
static int
append_to_head (struct http_reader *reader, const char *at, size_t length)
{
  reader->head_bytes += (uint32_t)length;
  if (reader->head_bytes > reader->head_max_bytes)
    {
      reader->result = HTTP_READ_TOO_LARGE;
      return -1;
    }
  g_string_append_len (get_or_create_head (reader)->text, at, (gssize)length);
  return 0;
}

/* Terminates the current string of the head.  */
static void
end_string (struct http_reader *reader)
{
  g_string_append_c (get_or_create_head (reader)->text, '\0');
}

/* Starts a new field.  Returns -1 if the head has too many fields.  */
static int
begin_field_name (struct http_reader *reader)
{
  struct http_head *head = get_or_create_head (reader);

  end_string (reader);
  if (head->count == HTTP_FIELDS_MAX)
    {
      reader->result = HTTP_READ_TOO_LARGE;
      return -1;
    }
  head->name[head->count] = (uint32_t)head->text->len;
  reader->state = READER_NAME;
  return 0;
}

/* Appends a piece of the URL in the request line.  */
static int
on_url (http_parser *parser, const char *at, size_t length)
{
  return append_to_head (parser->data, at, length);
}

/* Appends a piece of a field name.  Trailer fields are ignored.  */
static int
on_field_name (http_parser *parser, const char *at, size_t length)
{
  struct http_reader *reader = parser->data;

  if (reader->state == READER_BODY)
    return 0;
  if (reader->state == READER_VALUE)
    get_or_create_head (reader)->count++;
  if (reader->state != READER_NAME && begin_field_name (reader) != 0)
    return -1;
  return append_to_head (reader, at, length);
}

/* Completes a field name.  White space before the colon is removed in a
   response (RFC 9112, section 5.1).  Returns -1 if the name has any in a
   request, or elsewhere: the parser understands such names, which checks of
   the framing would not find.  */
static int
end_field_name (struct http_reader *reader)
{
  struct http_head *head = get_or_create_head (reader);
  GString *text = head->text;

  while (reader->is_response && text->len > head->name[head->count]
         && text->str[text->len - 1] == ' ')
    g_string_truncate (text, text->len - 1);
  if (strchr (text->str + head->name[head->count], ' ') != NULL)
    {
      reader->result = HTTP_READ_MALFORMED;
      return -1;
    }
  end_string (reader);
  return 0;
}

/* Appends a piece of a field value, which may be empty.  */
static int
on_field_value (http_parser *parser, const char *at, size_t length)
{
  struct http_reader *reader = parser->data;
  struct http_head *head = get_or_create_head (reader);

  if (reader->state == READER_BODY)
    return 0;
  if (reader->state == READER_NAME)
    {
      if (end_field_name (reader) != 0)
        return -1;
      head->value[head->count] = (uint32_t)head->text->len;
      reader->state = READER_VALUE;
    }
  return append_to_head (reader, at, length);
}

/* Completes the head and passes it to the head operation.  Interim responses,
   which have no content, are skipped.  Returns 1 if the parser is not to
   expect content.  */
static int
on_head_complete (http_parser *parser)
{
  struct http_reader *reader = parser->data;
  struct http_head *head = get_or_create_head (reader);

  if (reader->state == READER_VALUE)
    head->count++;
  end_string (reader);
  reader->state = READER_BODY;
  head->status = parser->status_code;
  head->method = http_method_str ((enum http_method)parser->method);
  if (reader->is_response && head->status >= STATUS_MIN
      && head->status < STATUS_FINAL_MIN)
    return 1;
  if ((reader->is_response && head->status < STATUS_MIN)
      || is_framing_ambiguous (reader))
    {
      reader->result = HTTP_READ_MALFORMED;
      return -1;
    }
  if (reader->ops->head (reader) != 0)
    {
      reader->result = HTTP_READ_STOPPED;
      return -1;
    }
  return has_no_content (reader);
}

/* Returns whether the current message is a response that its head ends,
   whatever length it names (RFC 9112, section 6.3).  */
static int
has_no_content (const struct http_reader *reader)
{
  return reader->is_response
         && (reader->no_body || reader->head->status == HTTP_STATUS_NO_CONTENT
             || reader->head->status == HTTP_STATUS_NOT_MODIFIED);
}

/* Passes a piece of the body to the data operation.  */
static int
on_body (http_parser *parser, const char *at, size_t length)
{
  struct http_reader *reader = parser->data;

  if (reader->ops->data (reader, at, length) == 0)
    return 0;
  reader->result = HTTP_READ_STOPPED;
  return -1;
}

/* Completes the message and pauses the parser, so that it does not consume
   bytes of the next message.  An interim response is discarded.  */
static int
on_message_end (http_parser *parser)
{
  struct http_reader *reader = parser->data;

  if (reader->is_response && reader->head != NULL
      && reader->head->status < STATUS_FINAL_MIN)
    return discard_interim (reader);
  reader->result = HTTP_READ_COMPLETE;
  http_parser_pause (parser, 1);
  return 0;
}

/* Discards an interim response, whose bytes count among those before the body
   of the final one.  Returns -1 if there are too many.  */
static int
discard_interim (struct http_reader *reader)
{
  uint64_t bytes = reader->bytes_before_body;
  uint32_t count = reader->interim_count + 1;

  http_reader_clear (reader);
  reader->bytes_before_body = bytes;
  reader->interim_count = count;
  if (count <= INTERIM_MAX)
    return 0;
  reader->result = HTTP_READ_TOO_LARGE;
  return -1;
}

/* Returns whether another parser might find a different end of the
   message: its length is given more than once or together with a transfer
   coding, or its transfer coding is not plain "chunked".  Such messages allow
   request smuggling.  So do requests whose length is empty, and those of
   HTTP/1.0 with a transfer coding, which that version does not know.  */
static int
is_framing_ambiguous (const struct http_reader *reader)
{
  const struct http_head *head = reader->head;
  const char *encoding = http_head_get (head, "Transfer-Encoding");
  const char *length = http_head_get (head, "Content-Length");

  if (http_head_count (head, "Content-Length") > 1)
    return 1;
  if (!reader->is_response
      && ((length != NULL && *length == '\0')
          || (encoding != NULL && reader->parser.http_minor == 0)))
    return 1;
  if (encoding == NULL)
    return 0;
  return http_head_count (head, "Transfer-Encoding") > 1
         || g_ascii_strcasecmp (encoding, "chunked") != 0 || length != NULL;
}
