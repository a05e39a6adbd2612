/* Which targets hold which contexts, as far as this instance has seen. */
#ifndef IBISLOOM_CONTEXT_H
#define IBISLOOM_CONTEXT_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  CTX_HOLDERS_MAX = 4
};

/* Targets that were sent requests with one context, the first one first. */
struct ctx_holders
{
  uint64_t context; /* 0: unused */
  clk_ms used_ms;
  uint32_t count;
  uint64_t target[CTX_HOLDERS_MAX];
};

/* Where an iteration over all holders has come to. */
struct ctx_cursor
{
  uint32_t entry;
  uint32_t holder;
};

struct ctx;

struct ctx *ctx_new (void);
void ctx_free (struct ctx *ctx);
const struct ctx_holders *ctx_find (const struct ctx *ctx, uint64_t context);
int ctx_note (struct ctx *ctx, uint64_t context, uint64_t target, clk_ms now);
int ctx_next (const struct ctx *ctx, struct ctx_cursor *cursor,
              uint64_t *context, uint64_t *target);
void ctx_forget (struct ctx *ctx, uint64_t target);

#endif
