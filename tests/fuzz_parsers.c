/* Parsers that outsiders reach, each as a function of bytes. */
#include <string.h>

#include "fuzz_parsers.h"
#include "ibisloom/http.h"
#include "ibisloom/snapshot.h"
#include "ibisloom/wire.h"
#include "platform.h"

enum
{
  HEAD_MAX_BYTES = 512,
  PIECE_MAX_BYTES = 61
};

static int requests (const char *input, size_t length);
static int answers (const char *input, size_t length);
static int configurations (const char *input, size_t length);
static int entries (const char *input, size_t length);
static int pages (const char *input, size_t length);
static int fields (const char *input, size_t length);
static int datagrams (const char *input, size_t length);
static int snapshots (const char *input, size_t length);

const struct fuz_parser fuz_parsers[] = {
  { "requests", requests },
  { "answers", answers },
  { "configurations", configurations },
  { "entries", entries },
  { "pages", pages },
  { "fields", fields },
  { "datagrams", datagrams },
  { "snapshots", snapshots },
};

const size_t fuz_parser_count = G_N_ELEMENTS (fuz_parsers);

static int heads_read;
static size_t bytes_read;

static int
on_head (struct http_reader *reader)
{
  g_assert_nonnull (reader->head);
  g_assert_cmpuint (reader->head->count, <=, HTTP_FIELDS_MAX);
  for (uint32_t i = 0; i < reader->head->count; i++)
    g_assert_null (strpbrk (http_head_value (reader->head, i), "\r\n"));
  g_assert_cmpuint (reader->head->text->len, <=,
                    HEAD_MAX_BYTES + 2 * HTTP_FIELDS_MAX + 2);
  heads_read++;
  return 0;
}

static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  (void)reader;
  (void)data;
  bytes_read += length;
  return 0;
}

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

/* Reads message after message in pieces whose sizes the input decides.
   Returns whether a head was read.  */
static int
read_messages (const char *input, size_t length, int is_answer)
{
  struct http_reader reader;
  enum http_read result = HTTP_READ_MORE;
  size_t at = 0;

  http_reader_init (&reader, &reader_ops, is_answer, HEAD_MAX_BYTES);
  heads_read = 0;
  bytes_read = 0;
  while (at < length
         && (result == HTTP_READ_MORE || result == HTTP_READ_COMPLETE))
    {
      size_t most = 1 + (unsigned char)input[at] % PIECE_MAX_BYTES;
      size_t piece = MIN (length - at, most);
      size_t used = 0;

      if (result == HTTP_READ_COMPLETE)
        http_reader_clear (&reader);
      result = http_reader_feed (&reader, input + at, piece, &used);
      g_assert_cmpuint (used, <=, piece);
      if (result == HTTP_READ_MORE)
        g_assert_cmpuint (used, ==, piece);
      if (used == 0 && result != HTTP_READ_MORE)
        break;
      at += used;
    }
  if (result == HTTP_READ_MORE)
    (void)http_reader_finish (&reader);
  g_assert_cmpuint (bytes_read, <=, length);
  http_reader_clear (&reader);
  return heads_read > 0;
}

/* Requests of callers.  */
static int
requests (const char *input, size_t length)
{
  return read_messages (input, length, 0);
}

/* Answers of targets and of the store.  */
static int
answers (const char *input, size_t length)
{
  return read_messages (input, length, 1);
}

/* Configurations in the store.  */
static int
configurations (const char *input, size_t length)
{
  json_t *json = json_loadb (input, length, 0, NULL);
  struct rt_table *table = plat_read_config (json);
  int read = table != NULL;

  if (read)
    {
      (void)rt_match (table, "h", "/p/1");
      (void)rt_match (table, "", "");
    }
  rt_unref (table);
  json_decref (json);
  return read;
}

/* Entries of targets in the store.  */
static int
entries (const char *input, size_t length)
{
  json_t *json = json_loadb (input, length, 0, NULL);
  struct reg_entry entry;
  int read = plat_read_target ("i-1", json, &entry) == 0;

  json_decref (json);
  return read;
}

static void
on_object (void *closure, const struct watch_object *object)
{
  g_assert_nonnull (object->name);
  ++*(int *)closure;
}

/* Pages and events of the store.  */
static int
pages (const char *input, size_t length)
{
  struct watch_page page = { .last_name = g_string_new (NULL) };
  int objects = 0;

  (void)plat_store.read_list (input, length, &page, on_object, &objects);
  (void)plat_store.read_watch (input, length, &page, on_object, &objects);
  g_string_free (page.last_name, TRUE);
  return objects > 0;
}

/* Values of the fields of callers and targets.  */
static int
fields (const char *input, size_t length)
{
  struct dialect_prompt prompt;
  int32_t numbers[3];
  int64_t tokens;
  int read;

  (void)length;
  read = plat_dialect.prompt (input, &prompt) == 0;
  if (read)
    g_assert_cmpuint (prompt.count, <=, DIALECT_PROMPT_PARTS_MAX);
  read
      |= plat_dialect.load (input, &numbers[0], &numbers[1], &numbers[2]) == 0;
  read |= plat_dialect.tokens_out (input, &tokens) == 0;
  (void)plat_dialect.key (input);
  return read;
}

/* Datagrams of instances.  Their MAC is put right, so that what is behind it
   is reached.  */
static int
datagrams (const char *input, size_t length)
{
  struct wire_key key = { { 0 } };
  struct wire_message message;
  unsigned char data[WIRE_MAX_BYTES];
  size_t body = MIN (length, sizeof data - WIRE_MAC_BYTES);

  memcpy (data, input, body);
  wire_mac (data + body, data, body, &key);
  return wire_decode (&message, &key, data, body + WIRE_MAC_BYTES) == WIRE_OK;
}

static void
sink_nothing (void *closure)
{
  (void)closure;
}

static void
sink_end (void *closure, uint64_t revision)
{
  (void)closure;
  (void)revision;
}

/* Snapshots of instances, plain and packed.  */
static int
snapshots (const char *input, size_t length)
{
  int objects = 0;
  struct watch_sink sink = { sink_nothing, on_object, sink_end, &objects };
  struct snapshot_revisions now;
  size_t size;

  (void)snapshot_parse (input, length, &now, &sink, &sink);
  g_free (snapshot_decompress (input, length, &size));
  return objects > 0;
}
