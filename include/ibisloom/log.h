/* Structured log: one JSON object per line on standard output. */
#ifndef IBISLOOM_LOG_H
#define IBISLOOM_LOG_H

#include <stddef.h>
#include <stdint.h>

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
};

enum
{
  LOG_LINE_MAX_BYTES = 2048
};

/* Line under construction. */
struct log_line
{
  char text[LOG_LINE_MAX_BYTES];
  size_t length;
};

void log_set_level (enum log_level level);
void log_set_instance (const char *instance);
void log_set_deferred (int deferred);
void log_flush (void);
int log_level_parse (const char *name, enum log_level *level);
void log_event (enum log_level level, const char *module,
                const char *request_id, const char *reason, const char *format,
                ...) __attribute__ ((format (printf, 5, 6)));

/* A line with custom fields is written by log_begin, any number of log_text,
   log_number, log_hash and log_real, and log_end.  If log_begin returns 0 the
   line is suppressed, and none of the others may be called. */
int log_begin (struct log_line *line, enum log_level level, const char *module,
               const char *request_id, const char *reason);
void log_text (struct log_line *line, const char *key, const char *value);
void log_number (struct log_line *line, const char *key, int64_t value);
void log_hash (struct log_line *line, const char *key, uint64_t value);
void log_real (struct log_line *line, const char *key, double value);
void log_end (struct log_line *line);
uint64_t log_dropped (void);

#define log_error(module, id, reason, ...)                                    \
  log_event (LOG_LEVEL_ERROR, module, id, reason, __VA_ARGS__)
#define log_warn(module, id, reason, ...)                                     \
  log_event (LOG_LEVEL_WARN, module, id, reason, __VA_ARGS__)
#define log_info(module, id, reason, ...)                                     \
  log_event (LOG_LEVEL_INFO, module, id, reason, __VA_ARGS__)
#define log_debug(module, id, reason, ...)                                    \
  log_event (LOG_LEVEL_DEBUG, module, id, reason, __VA_ARGS__)

#endif
