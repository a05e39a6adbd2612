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

struct ctx;

struct ctx *ctx_new (void);
void ctx_free (struct ctx *ctx);
const struct ctx_holders *ctx_find (const struct ctx *ctx, uint64_t context);
int ctx_note (struct ctx *ctx, uint64_t context, uint64_t target, clk_ms now);
void ctx_forget (struct ctx *ctx, uint64_t target);

#endif
