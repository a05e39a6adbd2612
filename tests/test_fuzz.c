/* Parsers that outsiders reach, fed with damaged input from a fixed seed. */
#include <string.h>

#include "ibisloom/http.h"
#include "ibisloom/snapshot.h"
#include "ibisloom/wire.h"
#include "platform.h"
#include "test.h"

enum
{
  ROUNDS = 20000,
  INPUT_MAX_BYTES = 2048,
  HEAD_MAX_BYTES = 512,
  EDITS_MAX = 6
};

static void requests (void);
static void answers (void);
static void configurations (void);
static void entries (void);
static void store_pages (void);
static void fields (void);
static void datagrams (void);
static void snapshots (void);

static const struct test_case cases[] = {
  { "callers' requests", requests },
  { "targets' answers", answers },
  { "configurations", configurations },
  { "entries of targets", entries },
  { "pages and events of the store", store_pages },
  { "fields of callers and targets", fields },
  { "datagrams of instances", datagrams },
  { "snapshots of instances", snapshots },
};

TEST_MAIN ("fuzz", cases)

static const char *const request_seeds[] = {
  "POST /a/b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET / "
  "HTTP/1.1\r\n"
  "\r\n",
  "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
  "chunked\r\n\r\n3\r\nabc\r\n0"
  "\r\nX: y\r\n\r\n",
  "GET /x?y HTTP/1.1\r\nHost: h:80\r\nConnection: close, x\r\nX: \r\n "
  "a\r\n\r\n",
};

static const char *const answer_seeds[] = {
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
  "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nuntil the end",
};

static const char *const config_seeds[] = {
  "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
  "\"/p/\",\"route_type\":\"streaming\",\"timeout_ms\":9,\"priority\":1,"
  "\"weighted_services\":[{\"service\":\"a\",\"weight\":90}],"
  "\"max_attempts\":2}],\"services\":[{\"name\":\"a\",\"engine\":{\"slots\":"
  "4}}],\"limits\":{\"max_body_bytes\":5},\"tenants\":[{\"name\":\"t\","
  "\"api_keys\":[\"k\"]}]}",
};

static const char *const entry_seeds[] = {
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":6,"
  "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1700000000000}",
};

static const char *const page_seeds[] = {
  "{\"items\":[{\"metadata\":{\"name\":\"n\",\"revision\":3},\"spec\":{}}],"
  "\"has_more\":true,\"at\":5}",
  "{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{\"name\":\"n\","
  "\"revision\":3},\"spec\":null}}],\"at\":5}",
};

static const char *const field_seeds[]
    = { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", "3,0,8", "1460,80",
        "Token n2ctnfzs989anu6wsjnb" };

/* Copies a seed to INPUT with a few edits.  Returns its length.  */
static size_t
damage (GRand *random, const char *const *seeds, size_t count, char *input)
{
  const char *seed = seeds[g_rand_int_range (random, 0, (gint32)count)];
  size_t length = MIN (strlen (seed), INPUT_MAX_BYTES - 1);
  int edits = g_rand_int_range (random, 0, EDITS_MAX);

  memcpy (input, seed, length);
  for (int i = 0; i < edits && length > 1; i++)
    {
      size_t at = (size_t)g_rand_int_range (random, 0, (gint32)length);
      int kind = g_rand_int_range (random, 0, 4);

      if (kind == 0)
        input[at] = (char)g_rand_int_range (random, 0, 256);
      else if (kind == 1)
        length = at + 1;
      else if (kind == 2)
        memmove (input + at, input + at + 1, --length - at);
      else if (length + 8 < INPUT_MAX_BYTES)
        {
          memmove (input + at + 8, input + at, length - at);
          length += 8;
        }
    }
  input[length] = '\0';
  return length;
}

static int heads_read;
static size_t bytes_read;

static int
on_head (struct http_reader *reader)
{
  CU_ASSERT_PTR_NOT_NULL (reader->head);
  if (reader->head == NULL)
    return -1;
  CU_ASSERT (reader->head->count <= HTTP_FIELDS_MAX);
  for (uint32_t i = 0; i < reader->head->count; i++)
    CU_ASSERT (strpbrk (http_head_value (reader->head, i), "\r\n") == NULL);
  CU_ASSERT (reader->head->text->len
             <= HEAD_MAX_BYTES + 2 * HTTP_FIELDS_MAX + 2);
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

static const struct http_reader_ops ops = { on_head, on_data, NULL };

/* Reads INPUT in pieces of random size, message after message.  */
static void
read_messages (GRand *random, const char *input, size_t length, int is_answer)
{
  struct http_reader reader;
  enum http_read result = HTTP_READ_MORE;
  size_t at = 0;

  http_reader_init (&reader, &ops, is_answer, HEAD_MAX_BYTES);
  bytes_read = 0;
  while (at < length
         && (result == HTTP_READ_MORE || result == HTTP_READ_ENDED))
    {
      size_t most = (size_t)g_rand_int_range (random, 1, 64);
      size_t piece = MIN (length - at, most);
      size_t used = 0;

      if (result == HTTP_READ_ENDED)
        http_reader_clear (&reader);
      result = http_reader_feed (&reader, input + at, piece, &used);
      CU_ASSERT (used <= piece);
      if (result == HTTP_READ_MORE)
        CU_ASSERT_EQUAL (used, piece);
      if (used == 0 && result != HTTP_READ_MORE)
        break;
      at += used;
    }
  if (result == HTTP_READ_MORE)
    (void)http_reader_finish (&reader);
  CU_ASSERT (bytes_read <= length);
  http_reader_clear (&reader);
}

static void
requests (void)
{
  GRand *random = g_rand_new_with_seed (1);
  char input[INPUT_MAX_BYTES];

  for (int i = 0; i < ROUNDS; i++)
    read_messages (
        random, input,
        damage (random, request_seeds, G_N_ELEMENTS (request_seeds), input),
        0);
  CU_ASSERT (heads_read > 0);
  g_rand_free (random);
}

static void
answers (void)
{
  GRand *random = g_rand_new_with_seed (2);
  char input[INPUT_MAX_BYTES];

  for (int i = 0; i < ROUNDS; i++)
    read_messages (
        random, input,
        damage (random, answer_seeds, G_N_ELEMENTS (answer_seeds), input), 1);
  g_rand_free (random);
}

static void
configurations (void)
{
  GRand *random = g_rand_new_with_seed (3);
  char input[INPUT_MAX_BYTES];
  int read = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      size_t length
          = damage (random, config_seeds, G_N_ELEMENTS (config_seeds), input);
      json_t *json = json_loadb (input, length, 0, NULL);
      struct rt_table *table = plat_read_config (json);

      if (table != NULL)
        {
          read++;
          (void)rt_match (table, "h", "/p/1");
          (void)rt_match (table, "", "");
        }
      rt_unref (table);
      json_decref (json);
    }
  CU_ASSERT (read > 0);
  g_rand_free (random);
}

static void
entries (void)
{
  GRand *random = g_rand_new_with_seed (4);
  char input[INPUT_MAX_BYTES];
  int read = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      size_t length
          = damage (random, entry_seeds, G_N_ELEMENTS (entry_seeds), input);
      json_t *json = json_loadb (input, length, 0, NULL);
      struct reg_entry entry;

      read += plat_read_target ("i-1", json, &entry) == 0;
      json_decref (json);
    }
  CU_ASSERT (read > 0);
  CU_ASSERT (read < ROUNDS);
  g_rand_free (random);
}

static void
on_object (void *closure, const struct fol_object *object)
{
  CU_ASSERT_PTR_NOT_NULL (object->name);
  ++*(int *)closure;
}

static void
store_pages (void)
{
  GRand *random = g_rand_new_with_seed (5);
  char input[INPUT_MAX_BYTES];
  struct fol_page page = { .last_name = g_string_new (NULL) };
  int objects = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      size_t length
          = damage (random, page_seeds, G_N_ELEMENTS (page_seeds), input);

      (void)plat_store.read_list (input, length, &page, on_object, &objects);
      (void)plat_store.read_watch (input, length, &page, on_object, &objects);
    }
  CU_ASSERT (objects > 0);
  g_string_free (page.last_name, TRUE);
  g_rand_free (random);
}

static void
fields (void)
{
  GRand *random = g_rand_new_with_seed (6);
  char input[INPUT_MAX_BYTES];
  struct dlc_prompt prompt;
  int32_t numbers[3];
  int64_t tokens;

  for (int i = 0; i < ROUNDS; i++)
    {
      damage (random, field_seeds, G_N_ELEMENTS (field_seeds), input);
      if (plat_dialect.prompt (input, &prompt) == 0)
        CU_ASSERT (prompt.count <= DLC_PARTS_MAX);
      (void)plat_dialect.load (input, &numbers[0], &numbers[1], &numbers[2]);
      (void)plat_dialect.tokens_out (input, &tokens);
      (void)plat_dialect.key (input);
    }
  g_rand_free (random);
}

static void
datagrams (void)
{
  GRand *random = g_rand_new_with_seed (7);
  struct wire_message message
      = { .kind = WIRE_HEARTBEAT,
          .u.heartbeat
          = { .load_count = 2, .loads = { { 1, 2 }, { 3, 4 } } } };
  struct wire_key key = { { 0 } };
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = wire_encode (&message, &key, data);

  CU_ASSERT_EQUAL (wire_decode (&message, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (message.u.heartbeat.loads[1].load, 4);
  for (int i = 0; i < ROUNDS; i++)
    {
      unsigned char damaged[WIRE_MAX_BYTES];
      size_t at = (size_t)g_rand_int_range (random, 0, (gint32)length);

      memcpy (damaged, data, length);
      damaged[at] ^= (unsigned char)g_rand_int_range (random, 1, 256);
      CU_ASSERT_NOT_EQUAL (wire_decode (&message, &key, damaged, length),
                           WIRE_OK);
      CU_ASSERT_NOT_EQUAL (wire_decode (&message, &key, data, at), WIRE_OK);
    }
  g_rand_free (random);
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

static void
snapshots (void)
{
  static const char *const seeds[]
      = { "{\"whole\":true,\"config_revision\":3,\"targets_revision\":9,"
          "\"config\":{\"name\":\"main\",\"revision\":3,\"content\":{}},"
          "\"targets\":[{\"name\":\"i\",\"revision\":4,\"content\":{}}],"
          "\"gone\":[]}" };
  GRand *random = g_rand_new_with_seed (8);
  char input[INPUT_MAX_BYTES];
  int objects = 0;
  struct fol_sink sink = { sink_nothing, on_object, sink_end, &objects };
  struct snp_point now;

  for (int i = 0; i < ROUNDS; i++)
    {
      size_t size;
      size_t length = damage (random, seeds, G_N_ELEMENTS (seeds), input);

      (void)snp_read (input, length, &now, &sink, &sink);
      g_free (snp_unpack (input, length, &size));
    }
  CU_ASSERT (objects > 0);
  g_rand_free (random);
}
