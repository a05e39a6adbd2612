/* Admission to the targets that this instance owns. */
#ifndef IBISLOOM_OWNER_H
#define IBISLOOM_OWNER_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

enum own_verdict
{
  OWN_GRANT,
  OWN_ELSEWHERE,
  OWN_DENY_BOUND,
  OWN_DENY_CAPACITY,
  OWN_DENY_SHARE,
  OWN_DENY_DOWN,
  OWN_DENY_LEAVING,
  OWN_WAIT, /* queued: own_next brings the verdict */
  OWN_VERDICT_COUNT
};

enum own_outcome
{
  OWN_OUTCOME_OK,
  OWN_OUTCOME_FAILED,
  OWN_OUTCOME_UNKNOWN
};

enum
{
  /* The asker wants this target itself, not where the chat was last. */
  OWN_ASK_HERE = 1
};

struct own_ask
{
  uint64_t target;
  uint64_t chat;
  uint64_t customer;
  uint32_t instance;
  uint32_t grant;
  uint32_t flags;
  uint32_t wait_ms;
  uint32_t priority;
};

/* What the version in force and the members say about the target. */
struct own_limits
{
  double mean_load; /* low enough to last as long as a request */
  double mean_now;
  double load_factor;
  double reserve_share;
  double customer_weight;
  int32_t slots;
  int leaving;
};

struct own_reply
{
  enum own_verdict verdict;
  uint64_t elsewhere;
  int32_t load;
  int32_t limit;
};

struct own_note
{
  uint64_t home;
  uint64_t chat;
  uint64_t target;
  clk_ms expires_ms;
};

struct own;

struct own *own_new (void);
void own_free (struct own *own);
void own_decide (struct own *own, const struct own_ask *ask,
                 const struct own_limits *limits, clk_ms now,
                 struct own_reply *reply);
int own_next (struct own *own, uint64_t target,
              const struct own_limits *limits, clk_ms now, struct own_ask *ask,
              struct own_reply *reply);
void own_release (struct own *own, uint64_t target, uint32_t instance,
                  uint32_t grant, enum own_outcome outcome, clk_ms now);
int own_hold (struct own *own, uint64_t target, uint32_t instance,
              const uint32_t *grants, size_t count, clk_ms now);
void own_forget_instance (struct own *own, uint32_t instance);
void own_forget_target (struct own *own, uint64_t target);
void own_note_put (struct own *own, const struct own_note *note);
size_t own_take_notes (struct own *own, uint64_t home, struct own_note *notes,
                       size_t capacity);
size_t own_notes (struct own *own, struct own_note *notes, size_t capacity);
int32_t own_load (struct own *own, uint64_t target);
int own_is_down (struct own *own, uint64_t target);
int32_t own_bound (double mean_load, double load_factor);

#endif
