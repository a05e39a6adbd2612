/* Placement of a chat request: which owner to ask for which target.

   Each target has an owner, the instance that admits requests to it.  The home
   of a chat is the first target in its rendezvous ranking. */
#include <string.h>

#include "ibisloom/peer.h"
#include "ibisloom/place.h"

enum
{
  LARGE_SERVICE_CANDIDATES = 6,
  LARGE_SERVICE_TARGETS = 64, /* a service with more has fewer candidates */
  FALLBACK_REQUESTS_MAX = 3,
  QUEUE_WAIT_MAX_MS = 250,
  QUEUE_CANDIDATES = 3,
  UNSENT_RETRY_MS = 50
};

typedef void (*verdict_handler) (struct place *place, clk_ms now,
                                 struct place_step *step);

static void send_to_current (struct place *place, clk_ms now,
                             struct place_step *step);
static void on_owner_timeout (struct place *place, clk_ms now,
                              struct place_step *step);
static void on_unsent (struct place *place, clk_ms now,
                       struct place_step *step);
static void request_from_next (struct place *place, clk_ms now,
                               struct place_step *step);
static void request_admission (struct place *place, uint64_t target,
                               uint32_t flags, int64_t wait_ms,
                               struct place_step *step);
static void queue_or_refuse (struct place *place, clk_ms now,
                             struct place_step *step);
static void mark_unavailable (struct place *place, uint64_t target);
static void refuse (struct place *place, enum place_reason reason,
                    struct place_step *step);
static int is_excluded (uint64_t id, const uint64_t *excluded, size_t count);
static int is_candidate (const struct place *place, uint64_t id);

static const verdict_handler verdict_handlers[] = {
  [ADM_GRANT] = send_to_current,
  [ADM_REDIRECT] = request_from_next,
  [ADM_DENY_BOUND] = request_from_next,
  [ADM_DENY_CAPACITY] = request_from_next,
  [ADM_DENY_SHARE] = request_from_next,
  [ADM_DENY_DOWN] = request_from_next,
  [ADM_DENY_LEAVING] = request_from_next,
  [PEER_TIMEOUT] = on_owner_timeout,
  [PEER_NOT_SENT] = on_unsent,
};

/* Starts a placement with PARAMS among the targets of SERVICE, without the
   EXCLUDED_COUNT targets in EXCLUDED, which have failed this request, and sets
   the first STEP.  The owner of the chat's home is asked first, and may
   redirect to the target that served the chat last.  At both, the ask may wait
   in the owner's queue, as the target has the context of the chat.  */
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
    request_admission (place, place->candidates[0], 0, params->context_wait_ms,
                       step);
}

/* Handles the VERDICT (of enum peer_verdict) on the last ask, or the end of a
   wait, at NOW and sets the next STEP.  REDIRECT is the target that comes with
   ADM_REDIRECT.  Only the first redirect is followed, and only to a
   candidate.  */
void
place_next (struct place *place, uint32_t verdict, uint64_t redirect,
            clk_ms now, struct place_step *step)
{
  if (place->step.action == PLACE_WAIT)
    {
      request_admission (place, place->step.target, place->step.flags,
                         place->step.wait_ms, step);
      return;
    }
  if (verdict == ADM_REDIRECT)
    {
      int is_followed
          = place->redirect_target == 0 && is_candidate (place, redirect);

      place->redirect_target = is_followed ? redirect : place->redirect_target;
      request_admission (place, is_followed ? redirect : place->candidates[0],
                         ADM_NO_REDIRECT, place->params.context_wait_ms, step);
      return;
    }
  if (verdict == ADM_DENY_DOWN || verdict == ADM_DENY_LEAVING)
    mark_unavailable (place, place->step.target);
  place->verdict_mask |= 1U << verdict;
  verdict_handlers[verdict](place, now, step);
}

/* Returns the home of the chat, or 0 if there is no candidate.  */
uint64_t
place_home (const struct place *place)
{
  return place->count > 0 ? place->candidates[0] : 0;
}

/* Sets STEP to send the request to the target that was asked for last.  */
static void
send_to_current (struct place *place, clk_ms now, struct place_step *step)
{
  (void)now;
  step->action = PLACE_SEND;
  step->target = place->step.target;
  place->step = *step;
}

/* Handles an owner that does not answer: uses the target anyway if it seems to
   have headroom, as availability takes precedence over the load bound while an
   owner is being replaced.  */
static void
on_owner_timeout (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->params.headroom (place->params.closure, place->step.target) > 0)
    send_to_current (place, now, step);
  else
    request_from_next (place, now, step);
}

/* Handles an ask that the control budget did not allow: waits for the budget,
   as the load bound takes precedence over latency, but once the queue
   deadline is reached, uses the target without asking if it seems to have
   headroom.  */
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
    send_to_current (place, now, step);
  else
    refuse (place, PLACE_CAPACITY, step);
}

/* Handles a denial: after a redirect, asks for the home again; after that, for
   the next candidates in the ranking that have headroom.  */
static void
request_from_next (struct place *place, clk_ms now, struct place_step *step)
{
  if (place->redirect_target != 0 && !place->home_retried)
    {
      place->home_retried = 1;
      request_admission (place, place->candidates[0], ADM_NO_REDIRECT, 0,
                         step);
      return;
    }
  for (size_t i = 1;
       i < place->count && place->fallback_count < FALLBACK_REQUESTS_MAX; i++)
    if (!((place->fallback_mask | place->unavailable_mask) & (1U << i))
        && place->candidates[i] != place->redirect_target
        && place->params.headroom (place->params.closure, place->candidates[i])
               > 0)
      {
        place->fallback_mask |= 1U << i;
        place->fallback_count++;
        request_admission (place, place->candidates[i], ADM_NO_REDIRECT, 0,
                           step);
        return;
      }
  queue_or_refuse (place, now, step);
}

/* Queues for the one of a few candidates that has the most headroom, or
   refuses if all of them are unavailable or the queue deadline has passed.
   Each call considers other candidates, so that requests do not all queue for
   one.  */
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
  request_admission (
      place, place->candidates[best], ADM_NO_REDIRECT,
      MIN (place->params.queue_deadline_ms - now, (int64_t)QUEUE_WAIT_MAX_MS),
      step);
}

/* Marks TARGET as down or leaving.  */
static void
mark_unavailable (struct place *place, uint64_t target)
{
  for (size_t i = 0; i < place->count; i++)
    if (place->candidates[i] == target)
      place->unavailable_mask |= 1U << i;
}

/* Sets STEP to ask for TARGET and to wait in its owner's queue up to
   WAIT_MS.  */
static void
request_admission (struct place *place, uint64_t target, uint32_t flags,
                   int64_t wait_ms, struct place_step *step)
{
  step->action = PLACE_REQUEST_ADMISSION;
  step->target = target;
  step->flags = flags;
  step->wait_ms = wait_ms;
  place->step = *step;
}

/* Sets STEP to refuse the request for REASON.  */
static void
refuse (struct place *place, enum place_reason reason, struct place_step *step)
{
  step->action = PLACE_REFUSE;
  step->reason = reason;
  place->step = *step;
}

/* Returns whether ID is among the COUNT targets in EXCLUDED.  */
static int
is_excluded (uint64_t id, const uint64_t *excluded, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (excluded[i] == id)
      return 1;
  return 0;
}

/* Returns whether ID is a candidate.  */
static int
is_candidate (const struct place *place, uint64_t id)
{
  for (size_t i = 0; i < place->count; i++)
    if (place->candidates[i] == id)
      return 1;
  return 0;
}
