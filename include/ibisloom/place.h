/* Choice of the target of one chat request. */
#ifndef IBISLOOM_PLACE_H
#define IBISLOOM_PLACE_H

#include "ibisloom/owner.h"
#include "ibisloom/rank.h"
#include "ibisloom/version.h"

enum
{
  PLACE_EXCLUDED_MAX = 8
};

enum place_action
{
  PLACE_ASK,
  PLACE_TAKE,
  PLACE_WAIT,
  PLACE_REFUSE
};

enum place_reason
{
  PLACE_NO_TARGET,
  PLACE_CAPACITY,
  PLACE_CUSTOMER_SHARE
};

struct place_step
{
  enum place_action action;
  uint64_t target;
  uint32_t flags;
  int64_t wait_ms;
  enum place_reason reason;
};

/* Tells whether a target seems to have room, to ask likely ones first. */
typedef int (*place_room_fn) (void *closure, uint64_t target);

/* Progress of one choice; the caller carries out each step and reports what
   came of it. */
struct place
{
  uint64_t candidates[RANK_TOP_MAX];
  size_t count;
  unsigned asked; /* bit I: candidate I was asked in this round */
  place_room_fn has_room;
  void *closure;
  uint64_t noted;
  uint64_t last_asked;
  int back_home;
  clk_ms give_up_ms;
  unsigned denied;
  unsigned waits;
  enum place_action last;
};

void place_start (struct place *place, const struct ver_snapshot *version,
                  const struct ver_service *service, uint64_t chat,
                  const uint64_t *excluded, size_t excluded_count,
                  place_room_fn has_room, void *closure, clk_ms give_up_ms,
                  struct place_step *step);
void place_next (struct place *place, uint32_t verdict, uint64_t elsewhere,
                 clk_ms now, struct place_step *step);
uint64_t place_home (const struct place *place);

#endif
