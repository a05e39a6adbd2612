/* HTTP/1.1 messages: parsed heads and an incremental reader. */
#ifndef IBISLOOM_HTTP_H
#define IBISLOOM_HTTP_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <http_parser.h>

enum
{
  HTTP_FIELDS_MAX = 64,
  HTTP_HEAD_MAX_BYTES = 65536
};

/* Parsed start line and header fields of one message. */
struct http_head
{
  GString *text;                  /* all strings, NUL-terminated */
  uint32_t name[HTTP_FIELDS_MAX]; /* offsets into text */
  uint32_t value[HTTP_FIELDS_MAX];
  uint32_t count;
  uint32_t status; /* of a response */
  const char *method;
  uint32_t url; /* offset into text */
};

struct http_reader;

struct http_reader_ops
{
  /* head and data return 0 to continue, or -1 to stop with
     HTTP_READ_STOPPED.  */
  int (*head) (struct http_reader *reader);
  int (*data) (struct http_reader *reader, const char *data, size_t length);
  void (*end) (struct http_reader *reader); /* unused */
};

enum http_read
{
  HTTP_READ_MORE,
  HTTP_READ_COMPLETE, /* one complete message was read */
  HTTP_READ_STOPPED,
  HTTP_READ_TOO_LARGE,
  HTTP_READ_MALFORMED
};

struct http_reader
{
  const struct http_reader_ops *ops;
  http_parser parser;
  struct http_head *head; /* NULL before the first byte of a message */
  uint32_t head_max_bytes;
  uint32_t head_bytes;
  uint32_t interim_count;
  uint64_t bytes_before_body; /* of the message, interim responses included */
  uint8_t state;
  uint8_t line; /* of the head, for checks of its lines */
  uint8_t is_response;
  uint8_t no_body; /* this is the response to a HEAD request */
  uint8_t result;
};

void http_reader_init (struct http_reader *reader,
                       const struct http_reader_ops *ops, int is_response,
                       uint32_t head_max_bytes);
void http_reader_clear (struct http_reader *reader);
enum http_read http_reader_feed (struct http_reader *reader, const char *data,
                                 size_t length, size_t *used);
enum http_read http_reader_finish (struct http_reader *reader);
int http_reader_keeps_alive (const struct http_reader *reader);
int http_reader_get_length (const struct http_reader *reader,
                            uint64_t *length);

const char *http_head_url (const struct http_head *head);
const char *http_head_get (const struct http_head *head, const char *name);
uint32_t http_head_count (const struct http_head *head, const char *name);
const char *http_head_name (const struct http_head *head, uint32_t index);
const char *http_head_value (const struct http_head *head, uint32_t index);
void http_head_free (struct http_head *head);
int http_is_hop_by_hop (const struct http_head *head, const char *name);
const char *http_reason (uint32_t status);
int http_is_success (uint32_t status);

#endif
