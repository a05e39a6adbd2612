/* Placement of a chat request: which owner to ask for which target. */
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
  PLACE_REQUEST_ADMISSION, /* ask the owner of the target for admission */
  PLACE_SEND,              /* send the request to the target */
  PLACE_WAIT,              /* call place_next again after wait_ms */
  PLACE_REFUSE
};

/* Why a request is refused. */
enum place_reason
{
  PLACE_NO_TARGET,
  PLACE_CAPACITY,
  PLACE_CUSTOMER_SHARE
};

/* Estimates how many more requests TARGET can take. */
typedef int32_t (*place_headroom_fn) (void *closure, uint64_t target);

/* Parameters of one placement. */
struct place_params
{
  uint64_t chat;           /* hash */
  int64_t context_wait_ms; /* longest wait for a target that has the context */
  clk_ms queue_deadline_ms;
  place_headroom_fn headroom;
  void *closure;
};

struct place_step
{
  enum place_action action;
  enum place_reason reason;
  uint64_t target;
  uint32_t flags;  /* of the ask, such as OWN_ASK_HERE */
  int64_t wait_ms; /* in the owner's queue, or before the next ask */
};

/* State of one placement.  The caller executes each step and reports its
   result to place_next. */
struct place
{
  struct place_params params;
  struct place_step step;
  uint64_t candidates[RANK_TOP_MAX]; /* by rendezvous rank; first: the home */
  size_t count;
  unsigned fallback_mask; /* bit I: candidate I was asked as a fallback */
  unsigned fallback_count;
  size_t queue_start;        /* candidate at which to look for a queue next */
  unsigned unavailable_mask; /* bit I: candidate I is down or leaving */
  unsigned verdict_mask;     /* bit V: verdict V was received */
  uint64_t redirect_target;  /* named by the owner of the home; 0: none */
  int home_retried;          /* the home was asked again after a redirect */
};

void place_start (struct place *place, const struct ver_snapshot *version,
                  const struct ver_service *service,
                  const struct place_params *params, const uint64_t *excluded,
                  size_t excluded_count, struct place_step *step);
void place_next (struct place *place, uint32_t verdict, uint64_t redirect,
                 clk_ms now, struct place_step *step);
uint64_t place_home (const struct place *place);

#endif
