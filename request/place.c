/* Choice of the target of one chat request. */
#include <string.h>

#include "ibisloom/peer.h"
#include "ibisloom/place.h"

enum
{
  LARGE_SERVICE_CANDIDATES = 6,
  LARGE_SERVICE_TARGETS = 64,
  FALLBACK_ASKS_MAX = 3,
  QUEUE_WAIT_MAX_MS = 250,
  QUEUE_CANDIDATES = 3,
  UNSENT_RETRY_MS = 50
};

typedef void (*verdict_handler) (struct place *place, clk_ms now,
                                 struct place_step *step);

static void send_to_asked (struct place *place, clk_ms now,
                           struct place_step *step);
static void on_owner_timeout (struct place *place, clk_ms now,
                              struct place_step *step);
static void on_unsent (struct place *place, clk_ms now,
                       struct place_step *step);
static void ask_next (struct place *place, clk_ms now,
                      struct place_step *step);
static void ask_owner (struct place *place, uint64_t target, uint32_t flags,
                       int64_t wait_ms, struct place_step *step);
static void queue_or_refuse (struct place *place, clk_ms now,
                             struct place_step *step);
static void mark_unavailable (struct place *place, uint64_t target);
static void refuse (struct place *place, enum place_reason reason,
                    struct place_step *step);
static int is_excluded (uint64_t id, const uint64_t *excluded, size_t count);
static int is_candidate (const struct place *place, uint64_t id);

static const verdict_handler verdict_handlers[] = {
  [ADM_GRANT] = send_to_asked,   [ADM_REDIRECT] = ask_next,
  [ADM_DENY_BOUND] = ask_next,   [ADM_DENY_CAPACITY] = ask_next,
  [ADM_DENY_SHARE] = ask_next,   [ADM_DENY_DOWN] = ask_next,
  [ADM_DENY_LEAVING] = ask_next, [PEER_TIMEOUT] = on_owner_timeout,
  [PEER_NOT_SENT] = on_unsent,
};

/* Starts the choice for CHAT among SERVICE's targets without the EXCLUDED
   ones, which failed this request before, as PARAMS describes it.  The home of
   the chat is asked first, and may name the target that served the chat last;
   at either it is worth waiting a little for the context that is there.  */
void
place_start (struct place *place, const struct ver_snapshot *version,
             const struct ver_service *service,
             const struct place_params *params, const uint64_t *excluded,
             size_t excluded_count, struct place_step *step)
{
  const struct rank_node *nodes
      = (const struct rank_node *)(const void *)version->nodes->data
        + service->first_target;
  size_t top[RANK_TOP_MAX];
  size_t count = rank_top (params->chat, nodes, service->target_count, top,
                           service->target_count > LARGE_SERVICE_TARGETS
                               ? LARGE_SERVICE_CANDIDATES
                               : RANK_TOP_MAX);

  memset (place, 0, sizeof *place);
  place->params = *params;
  for (size_t i = 0; i < count; i++)
    if (!is_excluded (nodes[top[i]].id, excluded, excluded_count))
      place->candidates[place->count++] = nodes[top[i]].id;
  if (place->count == 0)
    refuse (place, PLACE_NO_TARGET, step);
  else
    ask_owner (place, place->candidates[0], 0, params->context_wait_ms, step);
}

/* Takes the VERDICT (of enum peer_verdict) on the last ask (the target
   REDIRECT goes with ADM_REDIRECT), or the end of a wait, at NOW and sets
   the next STEP.  */
void
place_next (struct place *place, uint32_t verdict, uint64_t redirect,
            clk_ms now, struct place_step *step)
{
  if (place->step.action == PLACE_WAIT)
    {
      ask_owner (place, place->step.target, place->step.flags,
                 place->step.wait_ms, step);
      return;
    }
  if (verdict == ADM_REDIRECT)
    {
      int is_followed
          = place->redirect_target == 0 && is_candidate (place, redirect);

      place->redirect_target = is_followed ? redirect : place->redirect_target;
      ask_owner (place, is_followed ? redirect : place->candidates[0],
                 ADM_NO_REDIRECT, place->params.context_wait_ms, step);
      return;
    }
  if (verdict == ADM_DENY_DOWN || verdict == ADM_DENY_LEAVING)
    mark_unavailable (place, place->step.target);
  place->verdict_mask |= 1U << verdict;
  verdict_handlers[verdict](place, now, step);
}

/* Returns the chat's home, 0 if it has none.  */
uint64_t
place_home (const struct place *place)
{
  return place->count > 0 ? place->candidates[0] : 0;
}

/* Takes the target that was asked last.  */
static void
send_to_asked (struct place *place, clk_ms now, struct place_step *step)
{
  (void)now;
  step->action = PLACE_SEND;
  step->target = place->step.target;
  place->step = *step;
}

/* The owner does not answer: takes the target if it seems to have room, as
   serving goes before the bound while an owner is being replaced.  */
static void
on_owner_timeout (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->params.headroom (place->params.closure, place->step.target) > 0)
    send_to_asked (place, now, step);
  else
    ask_next (place, now, step);
}

/* No ask can be sent for now: waits for the budget, as the bound goes before
   speed, but at the end of the time serves without having asked.  */
static void
on_unsent (struct place *place, clk_ms now, struct place_step *step)
{
  if (now < place->params.queue_deadline_ms)
    {
      place->step.action = PLACE_WAIT;
      *step = place->step;
      step->wait_ms = UNSENT_RETRY_MS;
      return;
    }
  if (place->params.headroom (place->params.closure, place->step.target) > 0)
    send_to_asked (place, now, step);
  else
    refuse (place, PLACE_CAPACITY, step);
}

/* Goes on after a denial: from the noted target back to the home, from the
   home down the ranking to those that seem to have room.  */
static void
ask_next (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->redirect_target != 0 && !place->home_retried)
    {
      place->home_retried = 1;
      ask_owner (place, place->candidates[0], ADM_NO_REDIRECT, 0, step);
      return;
    }
  for (size_t i = 1;
       i < place->count && place->fallback_asks < FALLBACK_ASKS_MAX; i++)
    if (!((place->asked_mask | place->unavailable_mask) & (1U << i))
        && place->candidates[i] != place->redirect_target
        && place->params.headroom (place->params.closure, place->candidates[i])
               > 0)
      {
        place->asked_mask |= 1U << i;
        place->fallback_asks++;
        ask_owner (place, place->candidates[i], ADM_NO_REDIRECT, 0, step);
        return;
      }
  queue_or_refuse (place, now, step);
}

/* Queues at the roomiest of a few targets, other ones each time so that
   requests do not all queue at one, or refuses if all targets are down or the
   time is up.  */
static void
queue_or_refuse (struct place *place, clk_ms now, struct place_step *step)
{
  size_t best = place->count;
  int32_t best_headroom = INT32_MIN;

  if (now >= place->params.queue_deadline_ms)
    {
      refuse (place,
              place->verdict_mask & (1U << ADM_DENY_SHARE)
                  ? PLACE_CUSTOMER_SHARE
                  : PLACE_CAPACITY,
              step);
      return;
    }
  for (size_t i = 0, considered = 0;
       i < place->count && considered < QUEUE_CANDIDATES; i++)
    {
      size_t position = (place->queue_start + i) % place->count;
      int32_t headroom;

      if (place->unavailable_mask & (1U << position))
        continue;
      considered++;
      headroom = place->params.headroom (place->params.closure,
                                         place->candidates[position]);
      if (best == place->count || headroom > best_headroom)
        {
          best_headroom = headroom;
          best = position;
        }
    }
  place->queue_start += QUEUE_CANDIDATES;
  if (best == place->count)
    {
      refuse (place, PLACE_NO_TARGET, step);
      return;
    }
  ask_owner (
      place, place->candidates[best], ADM_NO_REDIRECT,
      MIN (place->params.queue_deadline_ms - now, (int64_t)QUEUE_WAIT_MAX_MS),
      step);
}

/* Notes that TARGET cannot be used.  */
static void
mark_unavailable (struct place *place, uint64_t target)
{
  for (size_t i = 0; i < place->count; i++)
    if (place->candidates[i] == target)
      place->unavailable_mask |= 1U << i;
}

/* Sets STEP to ask for TARGET, waiting there up to WAIT_MS.  */
static void
ask_owner (struct place *place, uint64_t target, uint32_t flags,
           int64_t wait_ms, struct place_step *step)
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
