/* Structured log: one JSON object per line on standard output.

   Logging never blocks: lines beyond the rate limit are suppressed, lines that
   standard output does not accept are dropped, and both are counted in later
   lines. */
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "ibisloom/clock.h"
#include "ibisloom/log.h"

enum
{
  MESSAGE_MAX_BYTES = 512,
  INSTANCE_MAX_BYTES = 64,
  /* No field starts beyond this, so that its key and the end of the line still
     fit.  */
  FIELDS_MAX_BYTES = LOG_LINE_MAX_BYTES - 128,
  RATE_LIMIT_COUNT = 128,
  LINES_PER_S_MAX = 400, /* per rate limit: about 100 KB/s */
  BUFFER_BYTES = 32768,
  WRITE_MAX_BYTES = 4096 /* PIPE_BUF: a writable pipe accepts it whole */
};

static void append_escaped (struct log_line *line, const char *value);
static int pass_rate_limit (const char *module, const char *reason,
                            uint32_t *suppressed);
static void append_to_buffer (const char *line, size_t length);
static void flush_locked (void);
static int is_writable (void);

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warn", "info", "debug" };

/* Rate limit of the lines whose module and reason have the same hash. */
struct rate_limit
{
  clk_ms window_start_ms; /* of the current window of one second */
  uint32_t written;       /* lines in the window */
  uint32_t suppressed;    /* lines since the last one written */
};

static struct rate_limit rate_limits[RATE_LIMIT_COUNT];
static int max_level = LOG_LEVEL_INFO;
static char instance_name[INSTANCE_MAX_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered_bytes;
static uint64_t unreported_drops; /* lines since the last report of drops */
static uint64_t total_drops;
static int is_write_deferred;

/* Suppresses lines less severe than LEVEL.  */
void
log_set_level (enum log_level level)
{
  ck_pr_store_int (&max_level, (int)level);
}

/* Sets the instance name of all lines; to be called before threads start.  */
void
log_set_instance (const char *instance)
{
  snprintf (instance_name, sizeof instance_name, "%s", instance);
}

/* Buffers lines until log_flush if DEFERRED is not 0, which saves system
   calls.  */
void
log_set_deferred (int deferred)
{
  ck_pr_store_int (&is_write_deferred, deferred);
}

/* Sets LEVEL to the one called NAME.  Returns 0, or -1 if there is none.  */
int
log_level_parse (const char *name, enum log_level *level)
{
  for (int i = 0; i < LOG_LEVEL_COUNT; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (enum log_level)i;
        return 0;
      }
  return -1;
}

/* Writes a line of MODULE with a message.  REQUEST_ID and REASON may be
   NULL.  */
void
log_event (enum log_level level, const char *module, const char *request_id,
           const char *reason, const char *format, ...)
{
  char message[MESSAGE_MAX_BYTES];
  struct log_line line;
  va_list args;

  if (!log_begin (&line, level, module, request_id, reason))
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  log_text (&line, "message", message);
  log_end (&line);
}

/* Starts LINE with the common fields.  Returns 1, or 0 if the line is
   suppressed.  REQUEST_ID and REASON may be NULL.  */
int
log_begin (struct log_line *line, enum log_level level, const char *module,
           const char *request_id, const char *reason)
{
  uint32_t suppressed;

  if ((int)level > ck_pr_load_int (&max_level))
    return 0;
  if (!pass_rate_limit (module, reason, &suppressed))
    return 0;
  line->length = (size_t)snprintf (line->text, sizeof line->text,
                                   "{\"time_ms\":%" PRId64, clk_wall_ms ());
  log_text (line, "level", level_names[level]);
  log_text (line, "instance", instance_name);
  log_text (line, "module", module);
  log_text (line, "request_id", request_id);
  log_text (line, "reason", reason);
  if (suppressed > 0)
    log_number (line, "left_out", suppressed);
  return 1;
}

/* Adds KEY with the string VALUE, unless VALUE is NULL or empty.  */
void
log_text (struct log_line *line, const char *key, const char *value)
{
  if (value == NULL || *value == '\0' || line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":\"", key);
  append_escaped (line, value);
  line->text[line->length++] = '"';
}

/* Adds KEY with the integer VALUE.  */
void
log_number (struct log_line *line, const char *key, int64_t value)
{
  if (line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":%" PRId64, key, value);
}

/* Adds KEY with VALUE in hexadecimal, unless it is 0.  */
void
log_hash (struct log_line *line, const char *key, uint64_t value)
{
  char text[24];

  if (value == 0)
    return;
  snprintf (text, sizeof text, "%016" PRIx64, value);
  log_text (line, key, text);
}

/* Adds KEY with VALUE, rounded to one decimal place.  */
void
log_real (struct log_line *line, const char *key, double value)
{
  if (line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":%.1f", key, value);
}

/* Ends and writes LINE.  */
void
log_end (struct log_line *line)
{
  line->text[line->length++] = '}';
  line->text[line->length++] = '\n';
  pthread_mutex_lock (&lock);
  append_to_buffer (line->text, line->length);
  if (!ck_pr_load_int (&is_write_deferred))
    flush_locked ();
  pthread_mutex_unlock (&lock);
}

/* Returns the number of lines dropped because standard output did not accept
   them.  */
uint64_t
log_dropped (void)
{
  uint64_t count;

  pthread_mutex_lock (&lock);
  count = total_drops;
  pthread_mutex_unlock (&lock);
  return count;
}

/* Returns whether a line of MODULE with REASON is within its rate limit.  If
   so, SUPPRESSED is the number of lines suppressed since the last one.  */
static int
pass_rate_limit (const char *module, const char *reason, uint32_t *suppressed)
{
  struct rate_limit *rate_limit
      = &rate_limits[(XXH3_64bits (module, strlen (module))
                      ^ (reason ? XXH3_64bits (reason, strlen (reason)) : 0))
                     % RATE_LIMIT_COUNT];
  clk_ms now = clk_now (clk_monotonic ());
  int is_allowed;

  pthread_mutex_lock (&lock);
  if (now - rate_limit->window_start_ms >= CLK_MS_PER_S)
    {
      rate_limit->window_start_ms = now;
      rate_limit->written = 0;
    }
  is_allowed = rate_limit->written < LINES_PER_S_MAX;
  *suppressed = is_allowed ? rate_limit->suppressed : 0;
  if (is_allowed)
    {
      rate_limit->written++;
      rate_limit->suppressed = 0;
    }
  else
    rate_limit->suppressed++;
  pthread_mutex_unlock (&lock);
  return is_allowed;
}

/* Writes the buffered lines.  */
void
log_flush (void)
{
  pthread_mutex_lock (&lock);
  flush_locked ();
  pthread_mutex_unlock (&lock);
}

/* Appends LINE to the buffer, or counts it as dropped if the buffer is full.
   The caller holds the lock.  */
static void
append_to_buffer (const char *line, size_t length)
{
  if (buffered_bytes + length > sizeof buffer)
    flush_locked ();
  if (buffered_bytes + length > sizeof buffer)
    {
      unreported_drops++;
      total_drops++;
      return;
    }
  memcpy (buffer + buffered_bytes, line, length);
  buffered_bytes += length;
}

/* Writes as much of the buffer as standard output accepts without blocking.
   The caller holds the lock.  */
static void
flush_locked (void)
{
  size_t offset = 0;

  if (unreported_drops > 0
      && sizeof buffer - buffered_bytes > MESSAGE_MAX_BYTES)
    {
      buffered_bytes += (size_t)snprintf (
          buffer + buffered_bytes, sizeof buffer - buffered_bytes,
          "{\"time_ms\":%" PRId64 ",\"level\":\"warn\",\"instance\":\"%s\","
          "\"module\":\"log\",\"reason\":\"dropped\","
          "\"message\":\"%" PRIu64 " lines\"}\n",
          clk_wall_ms (), instance_name, unreported_drops);
      unreported_drops = 0;
    }
  while (offset < buffered_bytes && is_writable ())
    {
      size_t remaining = buffered_bytes - offset;
      ssize_t sent
          = write (STDOUT_FILENO, buffer + offset,
                   remaining < WRITE_MAX_BYTES ? remaining : WRITE_MAX_BYTES);

      if (sent <= 0)
        break;
      offset += (size_t)sent;
    }
  memmove (buffer, buffer + offset, buffered_bytes - offset);
  buffered_bytes -= offset;
}

/* Returns whether standard output is writable without blocking.  */
static int
is_writable (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/* Appends VALUE as the contents of a JSON string.  Bytes that are not
   printable ASCII are replaced by '?'; a value that does not fit is truncated.
 */
static void
append_escaped (struct log_line *line, const char *value)
{
  for (; *value != '\0' && line->length < FIELDS_MAX_BYTES; value++)
    {
      unsigned char byte = (unsigned char)*value;

      if (byte == '"' || byte == '\\')
        line->text[line->length++] = '\\';
      if (byte < ' ' || byte >= 127)
        byte = '?';
      line->text[line->length++] = (char)byte;
    }
}
