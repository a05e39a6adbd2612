/* Parsers of untrusted input, each as a function of bytes. */
#include <string.h>

#include "fuzz_parsers.h"
#include "ibisloom/extra.h"
#include "ibisloom/hops.h"
#include "ibisloom/http.h"
#include "ibisloom/snapshot.h"
#include "ibisloom/wire.h"
#include "platform.h"

enum
{
  HEAD_MAX_BYTES = 512,
  CHUNK_MAX_BYTES = 61
};

static int parse_requests (const char *input, size_t length);
static int parse_responses (const char *input, size_t length);
static int parse_configurations (const char *input, size_t length);
static int parse_target_entries (const char *input, size_t length);
static int parse_store_pages (const char *input, size_t length);
static int parse_fields (const char *input, size_t length);
static int parse_datagrams (const char *input, size_t length);
static int parse_snapshots (const char *input, size_t length);
static int parse_marks (const char *input, size_t length);
static int parse_lists (const char *input, size_t length);
static int parse_bodies (const char *input, size_t length);

const struct fuzz_parser fuzz_parsers[] = {
  { "requests", parse_requests },
  { "answers", parse_responses },
  { "configurations", parse_configurations },
  { "entries", parse_target_entries },
  { "pages", parse_store_pages },
  { "fields", parse_fields },
  { "datagrams", parse_datagrams },
  { "snapshots", parse_snapshots },
  { "marks", parse_marks },
  { "lists", parse_lists },
  { "bodies", parse_bodies },
};

const size_t fuzz_parser_count = G_N_ELEMENTS (fuzz_parsers);

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

/* Reads successive messages from INPUT, in chunks whose sizes are derived from
   its bytes.  Returns whether a head was read.  */
static int
read_messages (const char *input, size_t length, int is_response)
{
  struct http_reader reader;
  enum http_read result = HTTP_READ_MORE;
  size_t at = 0;

  http_reader_init (&reader, &reader_ops, is_response, HEAD_MAX_BYTES);
  heads_read = 0;
  bytes_read = 0;
  while (at < length
         && (result == HTTP_READ_MORE || result == HTTP_READ_COMPLETE))
    {
      size_t chunk_max = 1 + (unsigned char)input[at] % CHUNK_MAX_BYTES;
      size_t chunk = MIN (length - at, chunk_max);
      size_t consumed = 0;

      if (result == HTTP_READ_COMPLETE)
        http_reader_clear (&reader);
      result = http_reader_feed (&reader, input + at, chunk, &consumed);
      g_assert_cmpuint (consumed, <=, chunk);
      if (result == HTTP_READ_MORE)
        g_assert_cmpuint (consumed, ==, chunk);
      if (consumed == 0 && result != HTTP_READ_MORE)
        break;
      at += consumed;
    }
  if (result == HTTP_READ_MORE)
    (void)http_reader_finish (&reader);
  g_assert_cmpuint (bytes_read, <=, length);
  http_reader_clear (&reader);
  return heads_read > 0;
}

/* Parses requests of clients.  */
static int
parse_requests (const char *input, size_t length)
{
  return read_messages (input, length, 0);
}

/* Parses responses of targets and of the store.  */
static int
parse_responses (const char *input, size_t length)
{
  return read_messages (input, length, 1);
}

/* Checks that A and B have the same routes and keys, or that both are NULL. */
static void
check_same_table (const struct rt_table *a, const struct rt_table *b)
{
  g_assert_cmpint (a != NULL, ==, b != NULL);
  if (a == NULL)
    return;
  g_assert_cmpuint (a->version, ==, b->version);
  g_assert_cmpuint (a->routes->len, ==, b->routes->len);
  g_assert_cmpuint (a->services->len, ==, b->services->len);
  g_assert_cmpuint (g_hash_table_size (a->keys), ==,
                    g_hash_table_size (b->keys));
  g_assert_cmpint (a->needs_key, ==, b->needs_key);
  g_assert_cmpint (memcmp (&a->limits, &b->limits, sizeof a->limits), ==, 0);
  for (guint i = 0; i < a->routes->len; i++)
    {
      const struct rt_route *first = g_ptr_array_index (a->routes, i);
      const struct rt_route *second = g_ptr_array_index (b->routes, i);

      g_assert_cmpstr (first->name, ==, second->name);
      g_assert_cmpstr (first->host, ==, second->host);
      g_assert_cmpstr (first->prefix, ==, second->prefix);
      g_assert_cmpint (first->timeout_ms, ==, second->timeout_ms);
      g_assert_cmpint (first->kind, ==, second->kind);
    }
}

/* Checks that the LENGTH bytes of INPUT read part by part, after the last
   configuration that was valid, are as in TABLE, which was read as a whole. */
static void
check_text (const char *input, size_t length, const struct rt_table *table)
{
  static struct cfg_text *before;
  GBytes *text = g_bytes_new (input, length);
  struct cfg_text *config = plat_read_config_text (text, before);

  g_bytes_unref (text);
  check_same_table (table, config != NULL ? config->table : NULL);
  if (config == NULL)
    return;
  cfg_free (before);
  before = config;
}

/* Parses the configuration object of the store.  */
static int
parse_configurations (const char *input, size_t length)
{
  json_t *json = json_loadb (input, length, 0, NULL);
  struct rt_table *table = plat_read_config (json);
  int is_valid = table != NULL;

  if (is_valid)
    {
      (void)rt_match (table, "h", "/p/1");
      (void)rt_match (table, "", "");
    }
  check_text (input, length, table);
  rt_unref (table);
  json_decref (json);
  return is_valid;
}

/* Parses the entry of a target in the store.  */
static int
parse_target_entries (const char *input, size_t length)
{
  json_t *json = json_loadb (input, length, 0, NULL);
  struct reg_entry entry;
  int is_valid = plat_read_target ("i-1", json, &entry) == 0;

  json_decref (json);
  return is_valid;
}

static void
on_object (void *closure, const struct watch_object *object)
{
  g_assert_nonnull (object->name);
  ++*(int *)closure;
}

/* Parses pages of lists and events of watches from the store.  */
static int
parse_store_pages (const char *input, size_t length)
{
  struct watch_page page = { .last_name = g_string_new (NULL) };
  int objects = 0;

  (void)plat_store.read_list (input, length, &page, on_object, &objects);
  (void)plat_store.read_watch (input, length, &page, on_object, &objects);
  page.as_text = 1;
  (void)plat_store.read_list (input, length, &page, on_object, &objects);
  (void)plat_store.read_watch (input, length, &page, on_object, &objects);
  g_string_free (page.last_name, TRUE);
  return objects > 0;
}

/* Parses values of header fields of clients and targets.  */
static int
parse_fields (const char *input, size_t length)
{
  GArray *prompt = g_array_new (FALSE, FALSE, sizeof (struct dialect_part));
  struct dialect_load load;
  uint32_t rejections_max;
  int is_leaving;
  int64_t pause_ms;
  int64_t tokens;
  uint64_t epoch;
  double per_s;
  int is_valid;

  is_valid = plat_dialect.prompt (input, prompt) == 0;
  g_assert_cmpuint (prompt->len, <=, length);
  g_array_free (prompt, TRUE);
  plat_dialect.load (input, &load);
  g_assert_true (load.running >= -1 && load.waiting >= -1 && load.slots >= -1
                 && load.slowness >= -1);
  is_valid |= !load.has_unreadable;
  if (plat_dialect.leaving (input, &is_leaving) == 0)
    {
      g_assert_true (is_leaving == 0 || is_leaving == 1);
      is_valid = 1;
    }
  if (plat_dialect.pause (input, &pause_ms) == 0)
    {
      g_assert_cmpint (pause_ms, >=, 0);
      is_valid = 1;
    }
  is_valid |= plat_dialect.brittle (input, &rejections_max) == 0;
  is_valid |= plat_dialect.tokens_out (input, &tokens) == 0;
  if (plat_dialect.rate (input, &per_s) == 0)
    {
      g_assert_true (per_s >= 0 && per_s <= G_MAXDOUBLE);
      is_valid = 1;
    }
  (void)plat_dialect.key (input);
  is_valid |= pos_parse_epoch (input, &epoch) == 0;
  return is_valid;
}

/* Parses datagrams of instances.  A valid MAC is appended, so that the input
   passes the check of the MAC and reaches the decoder.  */
static int
parse_datagrams (const char *input, size_t length)
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
ignore_begin (void *closure)
{
  (void)closure;
}

static void
ignore_end (void *closure, struct position position)
{
  (void)closure;
  (void)position;
}

/* Parses snapshots of instances, plain and compressed.  */
static int
parse_snapshots (const char *input, size_t length)
{
  int objects = 0;
  struct watch_sink sink
      = { ignore_begin, on_object, ignore_end, &objects, .takes_text = 0 };
  struct watch_sink text_sink
      = { ignore_begin, on_object, ignore_end, &objects, .takes_text = 1 };
  struct snapshot_state known;
  struct snapshot_state current = { 0 };
  size_t size;

  (void)snapshot_parse (input, length, &known, &current, &sink, &sink);
  (void)snapshot_parse (input, length, &known, &current, &text_sink, &sink);
  g_free (snapshot_decompress (input, length, &size));
  return objects > 0;
}

/* Parses marks of hops.  What is accepted is read as it is printed.  */
static int
parse_marks (const char *input, size_t length)
{
  struct hop_mark mark;
  struct hop_mark again;
  GString *text;

  (void)length;
  if (hop_mark_parse (input, &mark) != 0)
    return 0;
  text = g_string_new (NULL);
  hop_mark_print (text, &mark);
  g_assert_cmpint (hop_mark_parse (text->str, &again), ==, 0);
  g_assert_cmpstr (mark.customer, ==, again.customer);
  g_assert_cmpstr (mark.service, ==, again.service);
  g_string_free (text, TRUE);
  return 1;
}

/* Parses lists of what targets hold.  */
static int
parse_lists (const char *input, size_t length)
{
  GArray *parts = g_array_new (FALSE, FALSE, sizeof (struct dialect_part));
  uint32_t unreadable = 0;
  int is_valid = plat_dialect.held (input, length, parts, &unreadable) == 0;

  g_assert_cmpuint (parts->len + unreadable, <=, length);
  g_array_free (parts, TRUE);
  return is_valid;
}

/* Looks for a second response in INPUT, a body without a length: in pieces it
   is found as in the whole.  Returns whether there is one.  */
static int
parse_bodies (const char *input, size_t length)
{
  static const char field[] = "X-Ibisloom-Attempt-Id";
  struct extra_scan whole = { 0 };
  struct extra_scan pieces = { 0 };
  int is_found = extra_scan_feed (&whole, field, input, length);
  int is_found_in_pieces = 0;

  for (size_t at = 0; at < length && !is_found_in_pieces;
       at += CHUNK_MAX_BYTES)
    is_found_in_pieces = extra_scan_feed (&pieces, field, input + at,
                                          MIN (length - at, CHUNK_MAX_BYTES));
  g_assert_cmpint (is_found, ==, is_found_in_pieces);
  return is_found;
}
