/* Structured log: one JSON object a line on standard output. */
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "ibisloom/clock.h"
#include "ibisloom/log.h"

enum
{
  MESSAGE_MAX_BYTES = 512,
  INSTANCE_MAX_BYTES = 64,
  LINE_MAX_BYTES = 2048,
  BUFFER_BYTES = 32768,
  WRITE_MAX_BYTES = 4096 /* a pipe that is ready takes that much at once */
};

static void add_text (char *line, size_t *length, const char *key,
                      const char *value);
static void add_escaped (char *line, size_t *length, const char *value);
static void keep (const char *line, size_t length);
static void flush_locked (void);
static int is_writable (void);

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warn", "info", "debug" };

static int threshold = LOG_LEVEL_INFO;
static char instance_name[INSTANCE_MAX_BYTES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered;
static uint64_t dropped; /* lines, since the last one that says so */
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
  char line[LINE_MAX_BYTES];
  size_t length;
  va_list args;

  if ((int)level > ck_pr_load_int (&threshold))
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  length = (size_t)snprintf (line, sizeof line, "{\"time_ms\":%" PRId64,
                             clk_wall_ms ());
  add_text (line, &length, "level", level_names[level]);
  add_text (line, &length, "instance", instance_name);
  add_text (line, &length, "module", module);
  add_text (line, &length, "request_id", request_id);
  add_text (line, &length, "reason", reason);
  add_text (line, &length, "message", message);
  line[length++] = '}';
  line[length++] = '\n';
  pthread_mutex_lock (&lock);
  keep (line, length);
  if (!ck_pr_load_int (&is_deferred))
    flush_locked ();
  pthread_mutex_unlock (&lock);
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

/* Adds KEY with VALUE to LINE unless VALUE is absent.  */
static void
add_text (char *line, size_t *length, const char *key, const char *value)
{
  if (value == NULL || *value == '\0')
    return;
  *length += (size_t)snprintf (line + *length, LINE_MAX_BYTES - *length,
                               ",\"%s\":\"", key);
  add_escaped (line, length, value);
  line[(*length)++] = '"';
}

/* Adds VALUE as JSON text; bytes outside ASCII show as '?', and what does not
   fit is cut off.  */
static void
add_escaped (char *line, size_t *length, const char *value)
{
  /* Room for the longest escape, and for the end of the line.  */
  const size_t end = LINE_MAX_BYTES - 128;

  for (; *value != '\0' && *length < end; value++)
    {
      unsigned char byte = (unsigned char)*value;

      if (byte == '"' || byte == '\\')
        line[(*length)++] = '\\';
      if (byte < ' ' || byte >= 127)
        byte = '?';
      line[(*length)++] = (char)byte;
    }
}
