/* Tables of the command status of ibisctl. */
#ifndef CTL_STATUS_H
#define CTL_STATUS_H

#include <jansson.h>

void ctl_print_instance (const char *server, json_t *json);
void ctl_print_targets (json_t *json);
void ctl_print_counters (json_t *json);

#endif
