/* Private to request/owner*.c: an owned target and its shard. */
#ifndef LIBOWNER_H
#define LIBOWNER_H

#include <pthread.h>

#include <glib.h>

#include "ibisloom/owner.h"

enum
{
  OWN_SHARD_COUNT = 16,
  OWN_FAILURES_TO_OPEN = 2 /* a breaker, in a row */
};

struct grant
{
  uint64_t customer;
  clk_ms since_ms;
  uint32_t instance;
  uint32_t id;
};

struct asker
{
  uint64_t customer;
  double weight;
  clk_ms last_ms;
};

/* Circuit breaker of one target. */
struct breaker
{
  int32_t failures;
  int64_t open_ms;
  clk_ms retry_at_ms;
};

/* An ask that waits for room. */
struct waiter
{
  struct own_ask ask;
  double weight;
  clk_ms until_ms;
  enum own_verdict denied;
};

struct owned
{
  GArray *grants;  /* of struct grant */
  GArray *waiters; /* of struct waiter: by priority, then as they came */
  GArray *askers;  /* of struct asker */
  struct breaker breaker;
};

struct shard
{
  pthread_mutex_t lock;
  GHashTable *targets; /* id to struct owned */
  GHashTable *notes;   /* chat to struct own_note */
};

struct own
{
  struct shard shards[OWN_SHARD_COUNT];
};

/* owner.c */
struct shard *own_shard_of (struct own *own, uint64_t target);

/* owner_judge.c */
enum own_verdict own_judge (struct owned *owned, const struct own_ask *ask,
                            const struct own_limits *limits, clk_ms now,
                            struct own_reply *reply);
int own_may_wait (const struct owned *owned, const struct own_ask *ask,
                  enum own_verdict verdict);
void own_record_outcome (struct breaker *breaker, enum own_outcome outcome,
                         clk_ms now);
int own_contains (const uint32_t *ids, size_t count, uint32_t id);

/* owner_note.c */
void own_drop_note (struct shard *shard, const struct own_ask *ask);
const struct own_note *own_note_find (struct shard *shard,
                                      const struct own_ask *ask, clk_ms now);

#endif
