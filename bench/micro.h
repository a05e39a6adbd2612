/* Private to bench/micro*.c. */
#ifndef MICRO_H
#define MICRO_H

#include <stddef.h>

/* micro_config.c */
void micro_time_versions (size_t routes);

#endif
