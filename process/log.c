/* Structured log: one JSON object a line on standard output. */
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
  /* Fields end here, so that a key and the end of the line still fit.  */
  FIELDS_MAX_BYTES = LOG_LINE_MAX_BYTES - 128,
  KINDS = 128,       /* kinds of lines that are told apart */
  LINES_PER_S = 400, /* of one kind: some 100 KB a second */
  BUFFER_BYTES = 32768,
  WRITE_MAX_BYTES = 4096 /* a pipe that is ready takes that much at once */
};

static void add_escaped (struct log_line *line, const char *value);
static int take_share (const char *module, const char *reason,
                       uint32_t *left_out);
static void keep (const char *line, size_t length);
static void flush_locked (void);
static int is_writable (void);

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warn", "info", "debug" };

/* Lines of one kind in the present second. */
struct kind
{
  clk_ms second_ms;
  uint32_t written;
  uint32_t left_out;
};

static struct kind kinds[KINDS];
static int threshold = LOG_LEVEL_INFO;
static char instance_name[INSTANCE_MAX_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered;
static uint64_t dropped; /* lines, since the last one that says so */
static uint64_t dropped_total;
static int is_deferred;

/* Drops events below LEVEL from now on.  */
void
log_set_level (enum log_level level)
{
  ck_pr_store_int (&threshold, (int)level);
}

/* Names the instance in every line; call before threads start.  */
void
log_set_instance (const char *instance)
{
  snprintf (instance_name, sizeof instance_name, "%s", instance);
}

/* Lets lines wait for log_flush if DEFERRED, which saves system calls.  */
void
log_defer (int deferred)
{
  ck_pr_store_int (&is_deferred, deferred);
}

/* Sets LEVEL from NAME.  Returns 0, or -1 if there is no such level.  */
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

/* Writes one event of MODULE.  REQUEST_ID and REASON may be NULL.  Nothing
   blocks: lines that standard output does not take are dropped and
   counted.  */
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

/* Starts LINE with what all lines have.  Returns 0 if it is left out.  */
int
log_begin (struct log_line *line, enum log_level level, const char *module,
           const char *request_id, const char *reason)
{
  uint32_t left_out;

  if ((int)level > ck_pr_load_int (&threshold))
    return 0;
  if (!take_share (module, reason, &left_out))
    return 0;
  line->length = (size_t)snprintf (line->text, sizeof line->text,
                                   "{\"time_ms\":%" PRId64, clk_wall_ms ());
  log_text (line, "level", level_names[level]);
  log_text (line, "instance", instance_name);
  log_text (line, "module", module);
  log_text (line, "request_id", request_id);
  log_text (line, "reason", reason);
  if (left_out > 0)
    log_number (line, "left_out", left_out);
  return 1;
}

/* Adds KEY with VALUE, unless VALUE is absent.  */
void
log_text (struct log_line *line, const char *key, const char *value)
{
  if (value == NULL || *value == '\0' || line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":\"", key);
  add_escaped (line, value);
  line->text[line->length++] = '"';
}

/* Adds KEY with the whole number VALUE.  */
void
log_number (struct log_line *line, const char *key, int64_t value)
{
  if (line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":%" PRId64, key, value);
}

/* Adds KEY with VALUE, to one decimal place.  */
void
log_real (struct log_line *line, const char *key, double value)
{
  if (line->length > FIELDS_MAX_BYTES)
    return;
  line->length += (size_t)snprintf (line->text + line->length,
                                    sizeof line->text - line->length,
                                    ",\"%s\":%.1f", key, value);
}

/* Writes LINE.  */
void
log_end (struct log_line *line)
{
  line->text[line->length++] = '}';
  line->text[line->length++] = '\n';
  pthread_mutex_lock (&lock);
  keep (line->text, line->length);
  if (!ck_pr_load_int (&is_deferred))
    flush_locked ();
  pthread_mutex_unlock (&lock);
}

/* Returns how many lines standard output did not take.  */
uint64_t
log_dropped (void)
{
  uint64_t count;

  pthread_mutex_lock (&lock);
  count = dropped_total;
  pthread_mutex_unlock (&lock);
  return count;
}

/* Takes a line's share of what its kind may write in a second.  Returns 0 if
   there is none left; else LEFT_OUT is how many went without since the last
   line.  */
static int
take_share (const char *module, const char *reason, uint32_t *left_out)
{
  struct kind *kind
      = &kinds[(XXH3_64bits (module, strlen (module))
                ^ (reason ? XXH3_64bits (reason, strlen (reason)) : 0))
               % KINDS];
  clk_ms now = clk_now (clk_monotonic ());
  int has_share;

  pthread_mutex_lock (&lock);
  if (now - kind->second_ms >= CLK_MS_PER_S)
    {
      kind->second_ms = now;
      kind->written = 0;
    }
  has_share = kind->written < LINES_PER_S;
  *left_out = has_share ? kind->left_out : 0;
  if (has_share)
    {
      kind->written++;
      kind->left_out = 0;
    }
  else
    kind->left_out++;
  pthread_mutex_unlock (&lock);
  return has_share;
}

/* Writes out what waits.  */
void
log_flush (void)
{
  pthread_mutex_lock (&lock);
  flush_locked ();
  pthread_mutex_unlock (&lock);
}

/* Puts LINE into the buffer, or counts it as dropped; needs the lock.  */
static void
keep (const char *line, size_t length)
{
  if (buffered + length > sizeof buffer)
    flush_locked ();
  if (buffered + length > sizeof buffer)
    {
      dropped++;
      dropped_total++;
      return;
    }
  memcpy (buffer + buffered, line, length);
  buffered += length;
}

/* Writes what standard output takes without blocking; needs the lock.  */
static void
flush_locked (void)
{
  size_t at = 0;

  if (dropped > 0 && sizeof buffer - buffered > MESSAGE_MAX_BYTES)
    {
      buffered += (size_t)snprintf (
          buffer + buffered, sizeof buffer - buffered,
          "{\"time_ms\":%" PRId64 ",\"level\":\"warn\",\"instance\":\"%s\","
          "\"module\":\"log\",\"reason\":\"dropped\","
          "\"message\":\"%" PRIu64 " lines\"}\n",
          clk_wall_ms (), instance_name, dropped);
      dropped = 0;
    }
  while (at < buffered && is_writable ())
    {
      size_t left = buffered - at;
      ssize_t sent = write (STDOUT_FILENO, buffer + at,
                            left < WRITE_MAX_BYTES ? left : WRITE_MAX_BYTES);

      if (sent <= 0)
        break;
      at += (size_t)sent;
    }
  memmove (buffer, buffer + at, buffered - at);
  buffered -= at;
}

/* Returns whether standard output takes bytes now.  */
static int
is_writable (void)
{
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };

  return poll (&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/* Adds VALUE as JSON text; bytes outside ASCII show as '?', and what does not
   fit is cut off.  */
static void
add_escaped (struct log_line *line, const char *value)
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
