/* Which targets hold which contexts, as far as this instance has seen.

   A table of fixed size: a context's entry is in one of a few places, and the
   one used longest ago makes room.  */
#include <string.h>

#include <glib.h>

#include "ibisloom/context.h"

enum
{
  SETS = 512, /* a power of two */
  WAYS = 4
};

struct ctx
{
  struct ctx_holders entries[SETS][WAYS];
};

static struct ctx_holders *entry_for (struct ctx *ctx, uint64_t context);

/* Returns an empty table.  */
struct ctx *
ctx_new (void)
{
  return g_new0 (struct ctx, 1);
}

/* Frees CTX.  */
void
ctx_free (struct ctx *ctx)
{
  g_free (ctx);
}

/* Returns the holders of CONTEXT, or NULL if none is known.  */
const struct ctx_holders *
ctx_find (const struct ctx *ctx, uint64_t context)
{
  const struct ctx_holders *set = ctx->entries[context % SETS];

  for (int i = 0; i < WAYS; i++)
    if (set[i].context == context)
      return &set[i];
  return NULL;
}

/* Notes that TARGET reads CONTEXT.  Returns whether that is new.  */
int
ctx_note (struct ctx *ctx, uint64_t context, uint64_t target, clk_ms now)
{
  struct ctx_holders *entry = entry_for (ctx, context);

  if (entry->context != context)
    memset (entry, 0, sizeof *entry);
  entry->context = context;
  entry->used_ms = now;
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->target[i] == target)
      return 0;
  if (entry->count == CTX_HOLDERS_MAX)
    {
      memmove (entry->target, entry->target + 1,
               (CTX_HOLDERS_MAX - 1) * sizeof entry->target[0]);
      entry->count--;
    }
  entry->target[entry->count++] = target;
  return 1;
}

/* Forgets what TARGET held: it is gone, or has started anew.  */
void
ctx_forget (struct ctx *ctx, uint64_t target)
{
  for (int set = 0; set < SETS; set++)
    for (int way = 0; way < WAYS; way++)
      {
        struct ctx_holders *entry = &ctx->entries[set][way];
        uint32_t kept = 0;

        for (uint32_t i = 0; i < entry->count; i++)
          if (entry->target[i] != target)
            entry->target[kept++] = entry->target[i];
        entry->count = kept;
      }
}

/* Sets CONTEXT and TARGET to the next pair after CURSOR.  Returns 0 at the
   end.  */
int
ctx_next (const struct ctx *ctx, struct ctx_cursor *cursor, uint64_t *context,
          uint64_t *target)
{
  for (; cursor->entry < SETS * WAYS; cursor->entry++, cursor->holder = 0)
    {
      const struct ctx_holders *entry
          = &ctx->entries[cursor->entry / WAYS][cursor->entry % WAYS];

      if (cursor->holder >= entry->count)
        continue;
      *context = entry->context;
      *target = entry->target[cursor->holder++];
      return 1;
    }
  return 0;
}

/* Returns the entry of CONTEXT, or the one that makes room for it.  */
static struct ctx_holders *
entry_for (struct ctx *ctx, uint64_t context)
{
  struct ctx_holders *set = ctx->entries[context % SETS];
  struct ctx_holders *oldest = &set[0];

  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].context == context)
        return &set[i];
      if (set[i].used_ms < oldest->used_ms)
        oldest = &set[i];
    }
  return oldest;
}
