/* Structured log: one JSON object a line on standard error. */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <jansson.h>

#include "ibisloom/clock.h"
#include "ibisloom/log.h"

enum
{
  MESSAGE_MAX_BYTES = 512,
  INSTANCE_MAX_BYTES = 64
};

static void set_text (json_t *line, const char *key, const char *value);

static const char *const level_names[LOG_LEVEL_COUNT]
    = { "error", "warn", "info", "debug" };

static int threshold = LOG_LEVEL_INFO;
static char instance_name[INSTANCE_MAX_BYTES];

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

/* Writes one event of MODULE.  REQUEST_ID and REASON may be NULL.  The line
   goes out in a single write so that threads cannot interleave.  */
void
log_event (enum log_level level, const char *module, const char *request_id,
           const char *reason, const char *format, ...)
{
  char message[MESSAGE_MAX_BYTES];
  va_list args;
  json_t *line;
  char *text;

  if ((int)level > ck_pr_load_int (&threshold))
    return;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  line = json_object ();
  json_object_set_new (line, "time_ms", json_integer (clk_wall_ms ()));
  set_text (line, "level", level_names[level]);
  set_text (line, "instance", instance_name);
  set_text (line, "module", module);
  set_text (line, "request_id", request_id);
  set_text (line, "reason", reason);
  set_text (line, "message", message);
  text = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  if (text == NULL)
    return;
  dprintf (STDERR_FILENO, "%s\n", text);
  free (text);
}

/* Adds KEY with VALUE to LINE unless VALUE is absent; bytes that are not
   UTF-8 are shown as a note rather than lost with the line.  */
static void
set_text (json_t *line, const char *key, const char *value)
{
  json_t *text;

  if (value == NULL || *value == '\0')
    return;
  text = json_string (value);
  if (text == NULL)
    text = json_string ("(not UTF-8)");
  json_object_set_new (line, key, text);
}
