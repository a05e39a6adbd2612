/* Affinity table: the targets known to hold each prompt context. */
#ifndef IBISLOOM_AFFINITY_H
#define IBISLOOM_AFFINITY_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  AFFINITY_HOLDERS_MAX = 4
};

/* Targets that were sent requests with a context, oldest entry first. */
struct affinity_holders
{
  uint64_t context; /* hash of the shared parts of the prompt; 0: unused */
  clk_ms last_used_ms;
  uint32_t count;
  uint64_t target[AFFINITY_HOLDERS_MAX];
};

/* Position of an iteration over all holders; starts zeroed. */
struct affinity_cursor
{
  uint32_t entry;
  uint32_t holder;
};

struct affinity;

struct affinity *affinity_new (void);
void affinity_free (struct affinity *affinity);
const struct affinity_holders *affinity_find (const struct affinity *affinity,
                                              uint64_t context);
int affinity_record (struct affinity *affinity, uint64_t context,
                     uint64_t target, clk_ms now);
int affinity_next (const struct affinity *affinity,
                   struct affinity_cursor *cursor, uint64_t *context,
                   uint64_t *target);
void affinity_remove_target (struct affinity *affinity, uint64_t target);

#endif
