/* Prompt parts that targets say they hold. */
#ifndef IBISLOOM_HELD_H
#define IBISLOOM_HELD_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  HELD_TARGETS_MAX = 4,      /* kept of each part */
  HELD_TOKENS_MIN = 256,     /* fewer are read as fast as they are looked up */
  HELD_FORGOTTEN_MS = 300000 /* after the last one was told */
};

/* A prompt part and a target that holds it, by the hash of its id. */
struct held_pair
{
  uint64_t part;
  uint64_t target;
};

/* The last parts of a prompt that are shared and not shorter than
   HELD_TOKENS_MIN; 0: none. */
struct held_key
{
  uint64_t last;
  uint64_t before; /* the next one towards the start of the prompt */
};

/* Position of an iteration over all pairs; starts zeroed. */
struct held_cursor
{
  uint32_t entry;
  uint32_t holder;
};

struct held;

struct held *held_new (void);
void held_free (struct held *held);
void held_record (struct held *held, const struct held_pair *pair, clk_ms now);
uint32_t held_find (struct held *held, const struct held_key *key, clk_ms now,
                    uint64_t targets[HELD_TARGETS_MAX]);
void held_remove_target (struct held *held, uint64_t target);
void held_expire (struct held *held, clk_ms now);
uint32_t held_count (const struct held *held);
int held_next (const struct held *held, struct held_cursor *cursor,
               struct held_pair *pair);

#endif
