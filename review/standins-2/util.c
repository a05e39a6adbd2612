/* Options, time and the record of what was sent, answered and run.  */
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

enum
{
  EXIT_CANNOT_RUN = 2,
  DECIMAL_BASE = 10,
  NS_PER_MS = 1000000,
  MS_PER_S = 1000,
  LINE_MAX_BYTES = 1024
};

static int record_fd = -1;
static int option_count;
static char **options;

static int64_t
read_clock (clockid_t id)
{
  struct timespec now;

  (void)clock_gettime (id, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the steady time in milliseconds.  */
int64_t
util_now_ms (void)
{
  return read_clock (CLOCK_MONOTONIC);
}

/* Returns the Unix time in milliseconds.  */
int64_t
util_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}

void
util_sleep_ms (int64_t ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * MS_PER_S);
}

/* Opens the record at PATH, to which all stand-ins append.  */
void
util_open_record (const char *path)
{
  record_fd = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  if (record_fd < 0)
    util_die ("cannot open %s", path);
}

/* Appends a line with the time to the record.  */
void
util_record (const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  va_list args;
  int length = g_snprintf (line, sizeof line, "%.3f ",
                           (double)util_now_ms () / MS_PER_S);

  va_start (args, format);
  length
      += g_vsnprintf (line + length, sizeof line - length - 1, format, args);
  va_end (args);
  length = MIN (length, LINE_MAX_BYTES - 2);
  line[length++] = '\n';
  if (record_fd >= 0 && write (record_fd, line, (size_t)length) < 0)
    _exit (EXIT_CANNOT_RUN);
}

/* Keeps the options of the command line, of the form NAME=VALUE.  */
void
util_read_options (int argc, char **argv)
{
  option_count = argc;
  options = argv;
}

/* Returns the value of the option NAME, or OTHERWISE.  */
const char *
util_option (const char *name, const char *otherwise)
{
  size_t length = strlen (name);

  for (int i = 0; i < option_count; i++)
    if (strncmp (options[i], name, length) == 0 && options[i][length] == '=')
      return options[i] + length + 1;
  return otherwise;
}

/* Returns the whole number in the option NAME, or OTHERWISE.  */
int64_t
util_number (const char *name, int64_t otherwise)
{
  const char *value = util_option (name, NULL);

  return value != NULL ? g_ascii_strtoll (value, NULL, DECIMAL_BASE)
                       : otherwise;
}

/* Ends the process, as the case cannot run.  */
void
util_die (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  (void)vfprintf (stderr, format, args);
  va_end (args);
  (void)fputc ('\n', stderr);
  exit (EXIT_CANNOT_RUN);
}
