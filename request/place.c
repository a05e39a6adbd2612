/* Choice of the target of one chat request. */
#include <string.h>

#include "ibisloom/peer.h"
#include "ibisloom/place.h"

enum
{
  TOP_OF_MANY = 6,
  MANY_TARGETS = 64,
  ASKS_PER_ROUND = 3,
  LAST_WAIT_MS = 250,
  LAST_CHOICES = 3,
  UNSENT_WAIT_MS = 50
};

typedef void (*verdict_handler) (struct place *place, clk_ms now,
                                 struct place_step *step);

static void take (struct place *place, clk_ms now, struct place_step *step);
static void unanswered (struct place *place, clk_ms now,
                        struct place_step *step);
static void unsent (struct place *place, clk_ms now, struct place_step *step);
static void walk (struct place *place, clk_ms now, struct place_step *step);
static void ask (struct place *place, uint64_t target, uint32_t flags,
                 int64_t wait_ms, struct place_step *step);
static void last_resort (struct place *place, clk_ms now,
                         struct place_step *step);
static void mark_down (struct place *place, uint64_t target);
static void refuse (struct place *place, enum place_reason reason,
                    struct place_step *step);
static int is_excluded (uint64_t id, const uint64_t *excluded, size_t count);
static int is_candidate (const struct place *place, uint64_t id);

static const verdict_handler handlers[] = {
  [ADM_GRANT] = take,        [ADM_REDIRECT] = walk,
  [ADM_DENY_BOUND] = walk,   [ADM_DENY_CAPACITY] = walk,
  [ADM_DENY_SHARE] = walk,   [ADM_DENY_DOWN] = walk,
  [ADM_DENY_LEAVING] = walk, [PEER_TIMEOUT] = unanswered,
  [PEER_UNSENT] = unsent,
};

/* Starts the choice for CHAT among SERVICE's targets without the EXCLUDED
   ones, which failed this request before, as WISH describes it.  The home of
   the chat is asked first, and may name the target that served the chat last;
   at either it is worth waiting a little for the context that is there.  */
void
place_start (struct place *place, const struct ver_snapshot *version,
             const struct ver_service *service, const struct place_wish *wish,
             const uint64_t *excluded, size_t excluded_count,
             struct place_step *step)
{
  const struct rank_node *nodes
      = (const struct rank_node *)(const void *)version->nodes->data
        + service->first_target;
  size_t top[RANK_TOP_MAX];
  size_t count = rank_top (
      wish->chat, nodes, service->target_count, top,
      service->target_count > MANY_TARGETS ? TOP_OF_MANY : RANK_TOP_MAX);

  memset (place, 0, sizeof *place);
  place->wish = *wish;
  for (size_t i = 0; i < count; i++)
    if (!is_excluded (nodes[top[i]].id, excluded, excluded_count))
      place->candidates[place->count++] = nodes[top[i]].id;
  if (place->count == 0)
    refuse (place, PLACE_NO_TARGET, step);
  else
    ask (place, place->candidates[0], 0, wish->context_wait_ms, step);
}

/* Takes the VERDICT (of enum peer_verdict) on the last ask (the target
   ELSEWHERE goes with ADM_REDIRECT), or the end of a wait, at NOW and sets
   the next STEP.  */
void
place_next (struct place *place, uint32_t verdict, uint64_t elsewhere,
            clk_ms now, struct place_step *step)
{
  if (place->step.action == PLACE_WAIT)
    {
      ask (place, place->step.target, place->step.flags, place->step.wait_ms,
           step);
      return;
    }
  if (verdict == ADM_REDIRECT)
    {
      int known = place->noted == 0 && is_candidate (place, elsewhere);

      place->noted = known ? elsewhere : place->noted;
      ask (place, known ? elsewhere : place->candidates[0], ADM_NO_REDIRECT,
           place->wish.context_wait_ms, step);
      return;
    }
  if (verdict == ADM_DENY_DOWN || verdict == ADM_DENY_LEAVING)
    mark_down (place, place->step.target);
  place->denied |= 1U << verdict;
  handlers[verdict](place, now, step);
}

/* Returns the chat's home, 0 if it has none.  */
uint64_t
place_home (const struct place *place)
{
  return place->count > 0 ? place->candidates[0] : 0;
}

/* Takes the target that was asked last.  */
static void
take (struct place *place, clk_ms now, struct place_step *step)
{
  (void)now;
  step->action = PLACE_TAKE;
  step->target = place->step.target;
  place->step = *step;
}

/* The owner does not answer: takes the target if it seems to have room, as
   serving goes before the bound while an owner is being replaced.  */
static void
unanswered (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->wish.room (place->wish.closure, place->step.target) > 0)
    take (place, now, step);
  else
    walk (place, now, step);
}

/* No ask can be sent for now: waits for the budget, as the bound goes before
   speed, but at the end of the time serves without having asked.  */
static void
unsent (struct place *place, clk_ms now, struct place_step *step)
{
  if (now < place->wish.give_up_ms)
    {
      place->step.action = PLACE_WAIT;
      *step = place->step;
      step->wait_ms = UNSENT_WAIT_MS;
      return;
    }
  if (place->wish.room (place->wish.closure, place->step.target) > 0)
    take (place, now, step);
  else
    refuse (place, PLACE_CAPACITY, step);
}

/* Goes on after a denial: from the noted target back to the home, from the
   home down the ranking to those that seem to have room.  */
static void
walk (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->noted != 0 && !place->back_home)
    {
      place->back_home = 1;
      ask (place, place->candidates[0], ADM_NO_REDIRECT, 0, step);
      return;
    }
  for (size_t i = 1; i < place->count && place->asked_count < ASKS_PER_ROUND;
       i++)
    if (!((place->asked | place->down) & (1U << i))
        && place->candidates[i] != place->noted
        && place->wish.room (place->wish.closure, place->candidates[i]) > 0)
      {
        place->asked |= 1U << i;
        place->asked_count++;
        ask (place, place->candidates[i], ADM_NO_REDIRECT, 0, step);
        return;
      }
  last_resort (place, now, step);
}

/* Queues at the roomiest of a few targets, other ones each time so that
   requests do not all queue at one, or refuses if all targets are down or the
   time is up.  */
static void
last_resort (struct place *place, clk_ms now, struct place_step *step)
{
  size_t best = place->count;
  int32_t most = INT32_MIN;

  if (now >= place->wish.give_up_ms)
    {
      refuse (place,
              place->denied & (1U << ADM_DENY_SHARE) ? PLACE_CUSTOMER_SHARE
                                                     : PLACE_CAPACITY,
              step);
      return;
    }
  for (size_t i = 0, seen = 0; i < place->count && seen < LAST_CHOICES; i++)
    {
      size_t at = (place->last_at + i) % place->count;
      int32_t room;

      if (place->down & (1U << at))
        continue;
      seen++;
      room = place->wish.room (place->wish.closure, place->candidates[at]);
      if (best == place->count || room > most)
        {
          most = room;
          best = at;
        }
    }
  place->last_at += LAST_CHOICES;
  if (best == place->count)
    {
      refuse (place, PLACE_NO_TARGET, step);
      return;
    }
  ask (place, place->candidates[best], ADM_NO_REDIRECT,
       MIN (place->wish.give_up_ms - now, (int64_t)LAST_WAIT_MS), step);
}

/* Notes that TARGET cannot be used.  */
static void
mark_down (struct place *place, uint64_t target)
{
  for (size_t i = 0; i < place->count; i++)
    if (place->candidates[i] == target)
      place->down |= 1U << i;
}

/* Sets STEP to ask for TARGET, waiting there up to WAIT_MS.  */
static void
ask (struct place *place, uint64_t target, uint32_t flags, int64_t wait_ms,
     struct place_step *step)
{
  step->action = PLACE_ASK;
  step->target = target;
  step->flags = flags;
  step->wait_ms = wait_ms;
  place->step = *step;
}

/* Sets STEP to refuse for REASON.  */
static void
refuse (struct place *place, enum place_reason reason, struct place_step *step)
{
  step->action = PLACE_REFUSE;
  step->reason = reason;
  place->step = *step;
}

/* Returns whether ID is among the COUNT EXCLUDED.  */
static int
is_excluded (uint64_t id, const uint64_t *excluded, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (excluded[i] == id)
      return 1;
  return 0;
}

/* Returns whether ID is one of the candidates.  */
static int
is_candidate (const struct place *place, uint64_t id)
{
  for (size_t i = 0; i < place->count; i++)
    if (place->candidates[i] == id)
      return 1;
  return 0;
}
