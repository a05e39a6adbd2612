/* Which targets hold which contexts, as far as this instance has seen. */
#ifndef IBISLOOM_AFFINITY_H
#define IBISLOOM_AFFINITY_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  AFFINITY_HOLDERS_MAX = 4
};

/* Targets that were sent requests with one context, the first one first. */
struct affinity_holders
{
  uint64_t context; /* 0: unused */
  clk_ms last_used_ms;
  uint32_t count;
  uint64_t target[AFFINITY_HOLDERS_MAX];
};

/* Where an iteration over all holders has come to. */
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
void affinity_forget_target (struct affinity *affinity, uint64_t target);

#endif
