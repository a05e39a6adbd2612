/* Choice of the target from which another one copies a context. */
#ifndef IBISLOOM_SOURCE_H
#define IBISLOOM_SOURCE_H

#include <stddef.h>
#include <stdint.h>

/* A target that may hold the context. */
struct source_holder
{
  uint64_t software;    /* its version */
  uint8_t is_target;    /* the request itself goes there */
  uint8_t is_reachable; /* connections to it have not failed lately */
  uint8_t is_usable;    /* not suspended */
  uint8_t is_near;      /* in the same failure domain as the target */
};

/* Returned by source_pick if there is nothing to copy. */
#define SOURCE_NONE SIZE_MAX

size_t source_pick (uint64_t software, uint32_t tokens,
                    const struct source_holder *holders, size_t count);

#endif
