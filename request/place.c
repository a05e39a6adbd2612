/* Choice of the target of one chat request. */
#include <string.h>

#include "ibisloom/peer.h"
#include "ibisloom/place.h"

enum
{
  TOP_OF_MANY = 6,
  WAIT_MIN_MS = 25,
  WAIT_MAX_MS = 200,
  WAIT_DOUBLINGS_MAX = 3
};

typedef void (*verdict_handler) (struct place *place, clk_ms now,
                                 struct place_step *step);

static void take (struct place *place, clk_ms now, struct place_step *step);
static void unanswered (struct place *place, clk_ms now,
                        struct place_step *step);
static void walk (struct place *place, clk_ms now, struct place_step *step);
static void ask (struct place *place, uint64_t target, uint32_t flags,
                 struct place_step *step);
static void end_round (struct place *place, clk_ms now,
                       struct place_step *step);
static void refuse (struct place *place, enum place_reason reason,
                    struct place_step *step);
static int is_excluded (uint64_t id, const uint64_t *excluded, size_t count);
static int is_candidate (const struct place *place, uint64_t id);

static const verdict_handler handlers[] = {
  [OWN_GRANT] = take,        [OWN_ELSEWHERE] = walk,
  [OWN_DENY_BOUND] = walk,   [OWN_DENY_CAPACITY] = walk,
  [OWN_DENY_SHARE] = walk,   [OWN_DENY_DOWN] = walk,
  [OWN_DENY_LEAVING] = walk, [PEER_TIMEOUT] = unanswered,
};

/* Starts the choice for CHAT among SERVICE's targets without the EXCLUDED
   ones, which failed this request before; it ends at GIVE_UP_MS.  The home of
   the chat is asked first, and may name the target that served the chat
   last.  */
void
place_start (struct place *place, const struct ver_snapshot *version,
             const struct ver_service *service, uint64_t chat,
             const uint64_t *excluded, size_t excluded_count,
             place_room_fn has_room, void *closure, clk_ms give_up_ms,
             struct place_step *step)
{
  const struct rank_node *nodes
      = (const struct rank_node *)(const void *)version->nodes->data
        + service->first_target;
  size_t top[RANK_TOP_MAX];
  size_t count
      = rank_top (chat, nodes, service->target_count, top, RANK_TOP_MAX);

  memset (place, 0, sizeof *place);
  place->give_up_ms = give_up_ms;
  place->has_room = has_room;
  place->closure = closure;
  for (size_t i = 0; i < count; i++)
    if (!is_excluded (nodes[top[i]].id, excluded, excluded_count))
      place->candidates[place->count++] = nodes[top[i]].id;
  if (place->count == 0)
    refuse (place, PLACE_NO_TARGET, step);
  else
    ask (place, place->candidates[0], 0, step);
}

/* Takes the VERDICT (of enum peer_verdict) on the last ask (the target
   ELSEWHERE goes with OWN_ELSEWHERE), or the end of a wait, at NOW and sets
   the next STEP.  */
void
place_next (struct place *place, uint32_t verdict, uint64_t elsewhere,
            clk_ms now, struct place_step *step)
{
  if (place->last == PLACE_WAIT)
    {
      place->asked = 0;
      place->denied = 0;
      place->noted = 0;
      place->back_home = 0;
      ask (place, place->candidates[0], 0, step);
      return;
    }
  if (verdict == OWN_ELSEWHERE && place->noted == 0
      && is_candidate (place, elsewhere))
    {
      place->noted = elsewhere;
      ask (place, elsewhere, OWN_ASK_HERE, step);
      return;
    }
  if (verdict == OWN_ELSEWHERE)
    {
      ask (place, place->candidates[0], OWN_ASK_HERE, step);
      return;
    }
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
  place->last = PLACE_TAKE;
  step->action = PLACE_TAKE;
}

/* The owner does not answer: takes the target if it seems to have room, as
   serving goes before the bound while an owner is being replaced.  */
static void
unanswered (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->has_room (place->closure, place->last_asked))
    take (place, now, step);
  else
    walk (place, now, step);
}

/* Goes on after a denial: from the noted target back to the home, from the
   home down the ranking to those that seem to have room.  */
static void
walk (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->noted != 0 && !place->back_home)
    {
      place->back_home = 1;
      ask (place, place->candidates[0], OWN_ASK_HERE, step);
      return;
    }
  for (size_t i = 1; i < place->count; i++)
    if (!(place->asked & (1U << i)) && place->candidates[i] != place->noted
        && place->has_room (place->closure, place->candidates[i]))
      {
        place->asked |= 1U << i;
        ask (place, place->candidates[i], OWN_ASK_HERE, step);
        return;
      }
  end_round (place, now, step);
}

/* Waits for another round, or refuses if all targets are down or the time is
   up.  */
static void
end_round (struct place *place, clk_ms now, struct place_step *step)
{
  unsigned busy = (1U << OWN_DENY_BOUND) | (1U << OWN_DENY_CAPACITY)
                  | (1U << OWN_DENY_SHARE);
  unsigned doublings = MIN (place->waits, WAIT_DOUBLINGS_MAX);

  if (!(place->denied & busy))
    refuse (place, PLACE_NO_TARGET, step);
  else if (now >= place->give_up_ms)
    refuse (place,
            place->denied & (1U << OWN_DENY_SHARE) ? PLACE_CUSTOMER_SHARE
                                                   : PLACE_CAPACITY,
            step);
  else
    {
      place->waits++;
      place->last = PLACE_WAIT;
      step->action = PLACE_WAIT;
      step->wait_ms = MIN (WAIT_MIN_MS << doublings, WAIT_MAX_MS);
    }
}

/* Sets STEP to ask for TARGET.  */
static void
ask (struct place *place, uint64_t target, uint32_t flags,
     struct place_step *step)
{
  place->last = PLACE_ASK;
  place->last_asked = target;
  step->action = PLACE_ASK;
  step->target = target;
  step->flags = flags;
}

/* Sets STEP to refuse for REASON.  */
static void
refuse (struct place *place, enum place_reason reason, struct place_step *step)
{
  place->last = PLACE_REFUSE;
  step->action = PLACE_REFUSE;
  step->reason = reason;
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
