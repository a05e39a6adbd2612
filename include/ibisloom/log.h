/* Structured log: one JSON object a line on standard output. */
#ifndef IBISLOOM_LOG_H
#define IBISLOOM_LOG_H

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_COUNT
};

void log_set_level (enum log_level level);
void log_set_instance (const char *instance);
void log_defer (int deferred);
void log_flush (void);
int log_level_parse (const char *name, enum log_level *level);
void log_event (enum log_level level, const char *module,
                const char *request_id, const char *reason, const char *format,
                ...) __attribute__ ((format (printf, 5, 6)));

#define log_error(module, id, reason, ...)                                    \
  log_event (LOG_LEVEL_ERROR, module, id, reason, __VA_ARGS__)
#define log_warn(module, id, reason, ...)                                     \
  log_event (LOG_LEVEL_WARN, module, id, reason, __VA_ARGS__)
#define log_info(module, id, reason, ...)                                     \
  log_event (LOG_LEVEL_INFO, module, id, reason, __VA_ARGS__)
#define log_debug(module, id, reason, ...)                                    \
  log_event (LOG_LEVEL_DEBUG, module, id, reason, __VA_ARGS__)

#endif
