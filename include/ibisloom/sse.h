/* Server-sent events. */
#ifndef IBISLOOM_SSE_H
#define IBISLOOM_SSE_H

#include <stddef.h>

int sse_is_event (const char *data, size_t length);

#endif
