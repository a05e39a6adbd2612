/* Choice of the target of one chat request. */
#ifndef IBISLOOM_PLACE_H
#define IBISLOOM_PLACE_H

#include "ibisloom/admission.h"
#include "ibisloom/rank.h"
#include "ibisloom/version.h"

enum
{
  PLACE_EXCLUDED_MAX = 8
};

enum place_action
{
  PLACE_ASK,
  PLACE_SEND,
  PLACE_WAIT,
  PLACE_REFUSE
};

enum place_reason
{
  PLACE_NO_TARGET,
  PLACE_CAPACITY,
  PLACE_CUSTOMER_SHARE
};

/* Tells how many more requests a target seems to have room for. */
typedef int32_t (*place_headroom_fn) (void *closure, uint64_t target);

/* What is to be placed. */
struct place_params
{
  uint64_t chat;
  int64_t context_wait_ms; /* how long waiting beats a lost context */
  clk_ms queue_deadline_ms;
  place_headroom_fn headroom;
  void *closure;
};

struct place_step
{
  enum place_action action;
  enum place_reason reason;
  uint64_t target;
  uint32_t flags;
  int64_t wait_ms; /* at the owner of the target, or before the next ask */
};

/* Progress of one choice; the caller carries out each step and reports what
   came of it. */
struct place
{
  struct place_params params;
  struct place_step step;
  uint64_t candidates[RANK_TOP_MAX];
  size_t count;
  unsigned asked_mask; /* bit I: candidate I was asked in the walk */
  unsigned fallback_asks;
  size_t queue_start;        /* where the next few for queueing begin */
  unsigned unavailable_mask; /* bit I: candidate I is down or leaving */
  unsigned verdict_mask;     /* bit V: verdict V came */
  uint64_t redirect_target;
  int home_retried;
};

void place_start (struct place *place, const struct ver_snapshot *version,
                  const struct ver_service *service,
                  const struct place_params *params, const uint64_t *excluded,
                  size_t excluded_count, struct place_step *step);
void place_next (struct place *place, uint32_t verdict, uint64_t redirect,
                 clk_ms now, struct place_step *step);
uint64_t place_home (const struct place *place);

#endif
