/* Fake model engines with slots, a prefix cache and resumable streams.

   Usage: fake_engine BASE_PORT COUNT SLOTS CACHE_TOKENS PREFILL_US ITL_MS
   Engine I listens on BASE_PORT + I; the control port for faults and history
   is BASE_PORT - 1.  A prompt token that is not cached takes PREFILL_US to
   process, and a token of the response ITL_MS to generate.  The time at which
   each token is due is fixed when the stream starts, so that no thread is
   needed to generate tokens. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_http.h"

enum
{
  ENGINES_MAX = 1024,
  KEEPALIVE_INTERVAL_MS = 150,
  ORPHAN_TIMEOUT_MS = 2000,
  SAMPLE_MS = 50,
  EVENTS_PER_BLOCK = 64,
  EVENT_MAX_BYTES = 256
};

enum mode
{
  MODE_OK,
  MODE_ERROR,  /* status 500 */
  MODE_REFUSE, /* refuses connections */
  MODE_STALL,  /* sends nothing more */
  MODE_BUSY    /* status 503, not run */
};

struct stream
{
  char id[64];
  char tag[64];
  int64_t tokens;
  int64_t first_token; /* number of the first token generated here */
  int64_t start_ms;    /* 0: waits for a slot */
  int64_t prefill_ms;
  int64_t itl_ms;
  int64_t last_read_ms;
  int priority;
  int cancelled;
  int readers;
};

struct engine
{
  struct fake_server server;
  int index;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GHashTable *streams; /* id to struct stream */
  GHashTable *cached;  /* chat to its link in lru */
  GQueue lru;          /* of struct cached_context, most recent first */
  int64_t cached_tokens;
  enum mode mode;
  int64_t silent_since_ms; /* connections opened earlier send nothing */
};

struct cached_context
{
  char chat[32];
  int64_t tokens;
};

struct reader
{
  struct engine *engine;
  struct stream *stream;
  int64_t offset;
  int64_t opened_ms;
  int done;
};

static struct engine engines[ENGINES_MAX];
static int engine_count;
static int slots;
static int64_t cache_tokens;
static int64_t prefill_us;
static int64_t itl_ms;
static pthread_mutex_t history_lock = PTHREAD_MUTEX_INITIALIZER;
static GString *load_samples;    /* JSON arrays */
static GString *started_streams; /* JSON objects */

static void serve (struct fake_request *request, void *closure);
static void serve_control (struct fake_request *request, void *closure);
static void open_stream (struct fake_request *request, struct engine *engine);
static void resume_stream (struct fake_request *request,
                           struct engine *engine);
static void respond_with_stream (struct fake_request *request,
                                 struct engine *engine, struct stream *stream,
                                 int64_t offset);
static ssize_t read_tokens (void *closure, uint64_t position, char *buffer,
                            size_t size);
static void close_reader (void *closure);
static int64_t use_cache (struct engine *engine, const char *chat,
                          int64_t tokens);
static int is_finished (const struct stream *stream, int64_t now);
static int count_running (struct engine *engine, int64_t now);
static int count_unfinished (struct engine *engine, int64_t now);
static void try_start_stream (struct engine *engine, struct stream *stream,
                              int64_t now);
static int64_t due_ms (const struct stream *stream, int64_t token);
static void cancel_duplicate (struct engine *engine, const char *id);
static void *sample_loads (void *closure);
static void remove_finished (struct engine *engine, int64_t now);

int
main (int argc, char **argv)
{
  struct fake_server control;
  pthread_t thread;
  int base_port;

  if (argc != 7)
    {
      fprintf (stderr, "usage: fake_engine BASE_PORT COUNT SLOTS CACHE_TOKENS "
                       "PREFILL_US ITL_MS\n");
      return EXIT_FAILURE;
    }
  base_port = atoi (argv[1]);
  engine_count = atoi (argv[2]);
  slots = atoi (argv[3]);
  cache_tokens = atoll (argv[4]);
  prefill_us = atoll (argv[5]);
  itl_ms = atoll (argv[6]);
  load_samples = g_string_new (NULL);
  started_streams = g_string_new (NULL);
  for (int i = 0; i < engine_count; i++)
    {
      struct engine *engine = &engines[i];

      engine->index = i;
      pthread_mutex_init (&engine->lock, NULL);
      pthread_cond_init (&engine->changed, NULL);
      engine->streams
          = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
      engine->cached = g_hash_table_new (g_str_hash, g_str_equal);
      g_queue_init (&engine->lru);
      fake_listen (&engine->server, base_port + i, serve, engine);
    }
  fake_listen (&control, base_port - 1, serve_control, NULL);
  pthread_create (&thread, NULL, sample_loads, NULL);
  pause ();
  return EXIT_SUCCESS;
}

/* Serves the requests to one engine.  */
static void
serve (struct fake_request *request, void *closure)
{
  struct engine *engine = closure;

  if (engine->mode == MODE_REFUSE)
    {
      fake_drop_connection (request);
      return;
    }
  if (engine->mode == MODE_ERROR)
    fake_respond (request, 500, "{}");
  else if (engine->mode == MODE_BUSY)
    {
      fake_respond (request, 503, "{}");
      MHD_add_response_header (request->response, "X-Not-Run", "1");
    }
  else if (strcmp (request->method, "POST") == 0)
    open_stream (request, engine);
  else if (g_str_has_prefix (request->url, "/v1/streams/"))
    resume_stream (request, engine);
  else
    fake_respond (request, 404, "{}");
  fake_echo_request_id (request);
}

/* Opens a stream, which starts once a slot is free.  */
static void
open_stream (struct fake_request *request, struct engine *engine)
{
  json_t *body = json_loadb (request->body->str, request->body->len, 0, NULL);
  const char *chat = fake_header (request, "X-Chat");
  const char *id = fake_header (request, "X-Request-Id");
  const char *continue_at = fake_header (request, "X-Continue-At");
  const char *priority = fake_header (request, "X-Priority");
  const char *tag = json_string_value (json_object_get (body, "tag"));
  struct stream *stream = g_new0 (struct stream, 1);
  int64_t prompt
      = json_integer_value (json_object_get (body, "prompt_tokens"));
  int64_t now = fake_now_ms ();
  int64_t cached;

  g_strlcpy (stream->id, id ? id : "none", sizeof stream->id);
  g_strlcpy (stream->tag, tag ? tag : "t", sizeof stream->tag);
  stream->tokens = json_integer_value (json_object_get (body, "max_tokens"));
  stream->first_token = continue_at ? atoll (continue_at) : 0;
  stream->itl_ms = itl_ms;
  stream->last_read_ms = now;
  stream->priority = priority ? atoi (priority) : 5;
  pthread_mutex_lock (&engine->lock);
  cached
      = use_cache (engine, chat ? chat : stream->id, prompt + stream->tokens);
  cached = MIN (cached, prompt);
  stream->prefill_ms
      = (prompt + stream->first_token - cached) * prefill_us / 1000;
  cancel_duplicate (engine, stream->id);
  g_hash_table_insert (engine->streams, stream->id, stream);
  try_start_stream (engine, stream, now);
  pthread_mutex_unlock (&engine->lock);
  pthread_mutex_lock (&history_lock);
  g_string_append_printf (
      started_streams,
      "%s{\"t\":%ld,\"engine\":%d,\"tag\":\"%s\",\"chat\":\"%s\","
      "\"prompt\":%ld,\"cached\":%ld,\"first\":%ld}",
      started_streams->len ? "," : "", (long)now, engine->index, stream->tag,
      chat ? chat : "", (long)prompt, (long)cached, (long)stream->first_token);
  pthread_mutex_unlock (&history_lock);
  respond_with_stream (request, engine, stream, stream->first_token);
  json_decref (body);
}

/* Cancels an earlier stream with identifier ID and removes it from the table.
   It is not freed, as readers may still refer to it.  The caller holds the
   lock.  */
static void
cancel_duplicate (struct engine *engine, const char *id)
{
  struct stream *previous = g_hash_table_lookup (engine->streams, id);

  if (previous == NULL)
    return;
  previous->cancelled = 1;
  g_hash_table_steal (engine->streams, id);
}

/* Resumes a stream at the token given by the argument offset, or cancels it if
   the method is DELETE.  */
static void
resume_stream (struct fake_request *request, struct engine *engine)
{
  const char *id = request->url + strlen ("/v1/streams/");
  const char *offset = fake_query_argument (request, "offset");
  struct stream *stream;

  pthread_mutex_lock (&engine->lock);
  stream = g_hash_table_lookup (engine->streams, id);
  if (stream != NULL && strcmp (request->method, "DELETE") == 0)
    stream->cancelled = 1;
  if (stream != NULL && stream->cancelled)
    stream = NULL;
  if (stream != NULL)
    stream->readers++;
  pthread_mutex_unlock (&engine->lock);
  if (stream == NULL)
    {
      fake_respond (request, 404, "{}");
      return;
    }
  respond_with_stream (request, engine, stream, offset ? atoll (offset) : 0);
  pthread_mutex_lock (&engine->lock);
  stream->readers--;
  pthread_mutex_unlock (&engine->lock);
}

/* Responds with the events of STREAM from token OFFSET on.  */
static void
respond_with_stream (struct fake_request *request, struct engine *engine,
                     struct stream *stream, int64_t offset)
{
  struct reader *reader = g_new0 (struct reader, 1);

  reader->engine = engine;
  reader->stream = stream;
  reader->offset = offset;
  reader->opened_ms = fake_now_ms ();
  pthread_mutex_lock (&engine->lock);
  stream->readers++;
  pthread_mutex_unlock (&engine->lock);
  request->status = 200;
  request->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, EVENTS_PER_BLOCK * EVENT_MAX_BYTES, read_tokens,
      reader, close_reader);
  MHD_add_response_header (request->response, "Content-Type",
                           "text/event-stream");
}

/* Blocks until a token is due and writes the events of all tokens due by then.
   After KEEPALIVE_INTERVAL_MS without a token, writes an SSE comment instead,
   which keeps the connection alive.  */
static ssize_t
read_tokens (void *closure, uint64_t position, char *buffer, size_t size)
{
  struct reader *reader = closure;
  struct engine *engine = reader->engine;
  struct stream *stream = reader->stream;
  int64_t start = fake_now_ms ();
  size_t used = 0;

  (void)position;
  if (reader->done)
    return MHD_CONTENT_READER_END_OF_STREAM;
  for (;;)
    {
      int64_t now = fake_now_ms ();
      int64_t next_due_ms = now + 10;

      pthread_mutex_lock (&engine->lock);
      stream->last_read_ms = now;
      try_start_stream (engine, stream, now);
      if (stream->start_ms > 0)
        next_due_ms = due_ms (stream, reader->offset);
      pthread_mutex_unlock (&engine->lock);
      if (stream->cancelled)
        return MHD_CONTENT_READER_END_WITH_ERROR;
      if (engine->mode == MODE_STALL
          || reader->opened_ms < engine->silent_since_ms)
        {
          fake_sleep_ms (20);
          if (now - start > 30000)
            return MHD_CONTENT_READER_END_WITH_ERROR;
          continue;
        }
      if (stream->start_ms > 0 && next_due_ms <= now)
        break;
      if (now - start >= KEEPALIVE_INTERVAL_MS)
        {
          return (ssize_t)g_strlcpy (buffer, ":\n\n", size);
        }
      fake_sleep_ms (MIN (next_due_ms - now, KEEPALIVE_INTERVAL_MS));
    }
  while (reader->offset < stream->tokens
         && due_ms (stream, reader->offset) <= fake_now_ms ()
         && used + EVENT_MAX_BYTES < size)
    {
      used += (size_t)snprintf (
          buffer + used, size - used,
          "id: %ld\ndata: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
          "{\"content\":\"%s-%ld \"}}]}\n\n",
          (long)reader->offset, stream->id, stream->tag, (long)reader->offset);
      reader->offset++;
    }
  if (reader->offset >= stream->tokens && used + EVENT_MAX_BYTES < size)
    {
      used
          += (size_t)snprintf (buffer + used, size - used, "data: [DONE]\n\n");
      reader->done = 1;
    }
  return (ssize_t)used;
}

/* Frees a reader.  The stream continues, and counts as finished after
   ORPHAN_TIMEOUT_MS without a reader.  */
static void
close_reader (void *closure)
{
  struct reader *reader = closure;

  pthread_mutex_lock (&reader->engine->lock);
  reader->stream->readers--;
  pthread_mutex_unlock (&reader->engine->lock);
  g_free (reader);
}

/* Returns the number of tokens of the context of CHAT that were cached.  Then
   caches TOKENS of it, and evicts the least recently used contexts if the
   cache is full.  The caller holds the lock.  */
static int64_t
use_cache (struct engine *engine, const char *chat, int64_t tokens)
{
  GList *link = g_hash_table_lookup (engine->cached, chat);
  struct cached_context *cached_context;
  int64_t previous_tokens = 0;

  if (link != NULL)
    {
      cached_context = link->data;
      previous_tokens = cached_context->tokens;
      g_queue_unlink (&engine->lru, link);
    }
  else
    {
      cached_context = g_new0 (struct cached_context, 1);
      g_strlcpy (cached_context->chat, chat, sizeof cached_context->chat);
      link = g_list_alloc ();
      link->data = cached_context;
      g_hash_table_insert (engine->cached, cached_context->chat, link);
    }
  engine->cached_tokens += MAX (tokens, previous_tokens) - previous_tokens;
  cached_context->tokens = MAX (tokens, previous_tokens);
  g_queue_push_head_link (&engine->lru, link);
  while (engine->cached_tokens > cache_tokens && engine->lru.length > 1)
    {
      struct cached_context *oldest = g_queue_pop_tail (&engine->lru);

      engine->cached_tokens -= oldest->tokens;
      g_hash_table_remove (engine->cached, oldest->chat);
      g_free (oldest);
    }
  return previous_tokens;
}

/* Returns the time at which TOKEN of STREAM is due.  */
static int64_t
due_ms (const struct stream *stream, int64_t token)
{
  return stream->start_ms + stream->prefill_ms
         + (token - stream->first_token) * stream->itl_ms;
}

/* Returns whether STREAM was cancelled, has generated its last token, or has
   had no reader for ORPHAN_TIMEOUT_MS.  */
static int
is_finished (const struct stream *stream, int64_t now)
{
  if (stream->cancelled)
    return 1;
  if (stream->start_ms > 0 && now >= due_ms (stream, stream->tokens - 1))
    return 1;
  return stream->readers == 0
         && now - stream->last_read_ms > ORPHAN_TIMEOUT_MS;
}

/* Returns the number of streams in a slot.  The caller holds the lock.  */
static int
count_running (struct engine *engine, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct stream *)value)->start_ms > 0 && !is_finished (value, now))
      count++;
  return count;
}

/* Returns the number of streams in a slot or waiting for one.  The caller
   holds the lock.  */
static int
count_unfinished (struct engine *engine, int64_t now)
{
  GHashTableIter iter;
  gpointer value;
  int count = 0;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_finished (value, now))
      count++;
  return count;
}

/* Starts STREAM if a slot is free and no stream with a higher number in
   X-Priority waits.  The caller holds the lock.  */
static void
try_start_stream (struct engine *engine, struct stream *stream, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (stream->start_ms > 0 || count_running (engine, now) >= slots)
    return;
  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct stream *other = value;

      if (other->start_ms == 0 && !is_finished (other, now)
          && other->priority > stream->priority)
        return;
    }
  stream->start_ms = now;
}

/* Thread that samples the load of all engines every SAMPLE_MS, and removes
   finished streams.  */
static void *
sample_loads (void *closure)
{
  (void)closure;
  for (;;)
    {
      int64_t now = fake_now_ms ();
      GString *line = g_string_new (NULL);

      g_string_append_printf (line, "[%ld", (long)now);
      for (int i = 0; i < engine_count; i++)
        {
          pthread_mutex_lock (&engines[i].lock);
          remove_finished (&engines[i], now);
          g_string_append_printf (line, ",%d",
                                  count_unfinished (&engines[i], now));
          pthread_mutex_unlock (&engines[i].lock);
        }
      pthread_mutex_lock (&history_lock);
      g_string_append_printf (load_samples, "%s%s]",
                              load_samples->len ? "," : "", line->str);
      pthread_mutex_unlock (&history_lock);
      g_string_free (line, TRUE);
      fake_sleep_ms (SAMPLE_MS - (fake_now_ms () - now));
    }
  return NULL;
}

/* Frees finished streams that have had no reader for twice ORPHAN_TIMEOUT_MS.
   The caller holds the lock.  */
static void
remove_finished (struct engine *engine, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engine->streams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct stream *stream = value;

      if (stream->readers == 0 && is_finished (stream, now)
          && now - stream->last_read_ms > 2 * ORPHAN_TIMEOUT_MS)
        g_hash_table_iter_remove (&iter);
    }
}

/* Serves /fault?engine=I&mode=NAME and /history.  Mode "silent" stops
   the output on all open connections; the other modes are those of enum
   mode.  */
static void
serve_control (struct fake_request *request, void *closure)
{
  static const char *const modes[]
      = { "ok", "error", "refuse", "stall", "busy" };
  const char *engine_number = fake_query_argument (request, "engine");
  const char *mode = fake_query_argument (request, "mode");

  (void)closure;
  if (strcmp (request->url, "/history") == 0)
    {
      GString *text = g_string_new (NULL);

      pthread_mutex_lock (&history_lock);
      g_string_append_printf (text, "{\"samples\":[%s],\"runs\":[%s]}",
                              load_samples->str, started_streams->str);
      pthread_mutex_unlock (&history_lock);
      fake_respond (request, 200, text->str);
      g_string_free (text, TRUE);
      return;
    }
  if (strcmp (request->url, "/fault") == 0 && engine_number != NULL
      && mode != NULL)
    {
      struct engine *engine = &engines[atoi (engine_number) % ENGINES_MAX];

      if (strcmp (mode, "silent") == 0)
        engine->silent_since_ms = fake_now_ms ();
      for (size_t i = 0; i < G_N_ELEMENTS (modes); i++)
        if (strcmp (mode, modes[i]) == 0)
          {
            enum mode previous = engine->mode;

            engine->mode = (enum mode)i;
            if (engine->mode == MODE_REFUSE && previous != MODE_REFUSE)
              fake_stop_listening (&engine->server);
            if (engine->mode != MODE_REFUSE && previous == MODE_REFUSE)
              fake_listen (&engine->server, engine->server.port, serve,
                           engine);
          }
      fake_respond (request, 200, "{}");
      return;
    }
  fake_respond (request, 404, "{}");
}
