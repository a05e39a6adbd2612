/* Requests that wait for capacity of a service: whether capacity is scarce,
   for how long a request would wait, and how many requests targets get.

   Nothing waits until a target has turned a request away for want of capacity,
   or all are at their limits.  A request waits if the rate at which requests
   are answered says that its turn comes in time.  That rate is the one of this
   instance, or, with a fresh level of a coordinator, that of all instances for
   what waits at all of them: an instance with few requests knows too little by
   itself.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/wait.h"

enum
{
  SCARCE_MS = 2000,   /* after the last sign */
  WAITING_MAX = 2048, /* requests, a bound of the memory that they take */
  LEVEL_PREFERRED_MS = 600,  /* of the first coordinator: some reports */
  DURATION_DEFAULT_MS = 100, /* while no attempt has ended */
  UNLIMITED_MS = 30000,      /* longest wait of a request without a deadline */
  /* A refused client hardly comes back later than that.  */
  RETURN_MAX_MS = 10000,
  LONG_WAIT = 2,    /* times the wait that is expected */
  RETURN_SHARE = 3, /* clients wait for up to 1 in so many of their time */
  /* Requests in progress at a target, in units of its slots: one at work and
     one that waits there, so that no slot is idle while an end is told.  */
  LIMIT_FACTOR = 2,
  KEPT_PERCENT = 75, /* of a limit after a rejection, at least */
  GROWTH_MIN_MS = 250,
  GROWTH_MAX_MS = 4000,
  /* Bounds of the time until a full target has a place.  */
  PLACE_MIN_MS = 5,
  PLACE_MAX_MS = 150,
  BURST_MS = 100 /* rejections of one burst lower a limit once */
};

/* Weight of the latest attempt in the mean duration.  */
static const double DURATION_WEIGHT = 0.05;

/* Part by which a wait may exceed what is expected.  */
static const double EXPECTED_MARGIN = 1.25;

static double known_rate (const struct wait *wait, clk_ms now);
static int is_fresh (const struct wait_level *level, int64_t max_ms,
                     clk_ms now);

void
wait_init (struct wait *wait)
{
  *wait = (struct wait){ .sign_ms = 0 };
  turn_init (&wait->queue);
  demand_init (&wait->demand);
}

/* Undoes wait_init.  */
void
wait_clear (struct wait *wait)
{
  turn_clear (&wait->queue);
  demand_clear (&wait->demand);
}

/* Records at NOW that a target has turned a request away for want of capacity,
   or that all targets are at their limits.  */
void
wait_note_sign (struct wait *wait, clk_ms now)
{
  wait->sign_ms = now;
}

/* Returns whether the service is short of capacity.  */
int
wait_is_scarce (const struct wait *wait, clk_ms now)
{
  return wait->sign_ms != 0 && now - wait->sign_ms < SCARCE_MS;
}

/* Records at NOW that an attempt was answered, after DURATION_MS.  */
void
wait_count_end (struct wait *wait, int64_t duration_ms, clk_ms now)
{
  demand_rate_count (&wait->ends, now);
  wait->duration_ms
      = wait->duration_ms > 0
            ? wait->duration_ms
                  + ((double)duration_ms - wait->duration_ms) * DURATION_WEIGHT
            : (double)duration_ms;
}

/* Records at NOW the LEVEL of the coordinator that ranks RANK.  As long as it
   leaves requests out, capacity is scarce, also for an instance whose own
   requests have found places lately.  */
void
wait_set_level (struct wait *wait, uint32_t rank,
                const struct demand_level *level, clk_ms now)
{
  wait->levels[rank].level = *level;
  wait->levels[rank].set_ms = now - level->age_ms;
  if (level->class < TURN_CLASSES)
    wait_note_sign (wait, now);
}

static int
is_fresh (const struct wait_level *level, int64_t max_ms, clk_ms now)
{
  return level->set_ms != 0 && now - level->set_ms < max_ms;
}

/* Returns the level to go by: that of the first coordinator, unless it has
   fallen silent, or else that of the second one; NULL without any.  */
const struct wait_level *
wait_current_level (const struct wait *wait, clk_ms now)
{
  const struct wait_level *first = &wait->levels[0];
  const struct wait_level *second = &wait->levels[1];

  if (is_fresh (first, LEVEL_PREFERRED_MS, now)
      || (is_fresh (first, DEMAND_LEVEL_VALID_MS, now)
          && first->set_ms >= second->set_ms))
    return first;
  return is_fresh (second, DEMAND_LEVEL_VALID_MS, now) ? second : NULL;
}

/* Returns whether the level admits a request of CUSTOMER in CLASS that draws
   RANDOM, from 0 to below 1.  Without a level, only the queue decides.  */
int
wait_admits (const struct wait *wait, uint32_t class, uint64_t customer,
             double random, clk_ms now)
{
  const struct wait_level *level = wait_current_level (wait, now);

  return level == NULL
         || random < demand_share_of (&level->level, class, customer);
}

/* Returns at how many requests a second this instance's attempts are answered.
   Before any was, one is expected to end in its usual time.  */
static double
known_rate (const struct wait *wait, clk_ms now)
{
  double per_s = demand_rate_per_s (&wait->ends, now);

  if (per_s >= 1)
    return per_s;
  return MAX (per_s, CLK_MS_PER_S
                         / (wait->duration_ms > 0 ? wait->duration_ms
                                                  : DURATION_DEFAULT_MS));
}

/* Sets VIEW to what is known at NOW of the wait of TURN, which is not in the
   queue.  */
void
wait_look (const struct wait *wait, const struct turn *turn, clk_ms now,
           struct wait_view *view)
{
  const struct wait_level *level = wait_current_level (wait, now);

  view->ahead = turn_ahead (&wait->queue, turn);
  view->own_per_s = known_rate (wait, now);
  view->per_s = view->own_per_s;
  view->level_age_ms = -1;
  if (level != NULL && level->level.served_per_ks > 0)
    {
      uint64_t waiting = 0;

      for (uint32_t i = 0; i <= turn->class; i++)
        waiting += level->level.waiting[i];
      view->ahead = (uint32_t)MIN (MAX (view->ahead, waiting), UINT32_MAX);
      view->per_s = MAX (view->per_s,
                         (double)level->level.served_per_ks / CLK_MS_PER_S);
      view->level_age_ms = now - level->set_ms;
    }
  view->expected_ms
      = (int64_t)(((double)view->ahead + 1) * CLK_MS_PER_S / view->per_s);
}

/* Returns whether TURN, of which VIEW is known, is served in time.  */
int
wait_is_in_time (const struct wait_view *view, const struct turn *turn,
                 clk_ms now)
{
  return (double)now + (double)view->expected_ms * EXPECTED_MARGIN
         <= (double)turn->limit_ms;
}

/* Returns until when a request may wait that has to end by DEADLINE_MS and is
   to begin to be answered by OBJECTIVE_MS, INT64_MAX for none: such an
   objective counts as long as it can be met.  */
clk_ms
wait_limit_of (const struct wait *wait, clk_ms deadline_ms,
               clk_ms objective_ms, clk_ms now)
{
  clk_ms limit_ms = MIN (deadline_ms, now + UNLIMITED_MS);
  int64_t duration_ms = (int64_t)wait->duration_ms;

  if (objective_ms - duration_ms > now)
    limit_ms = MIN (limit_ms, objective_ms);
  return limit_ms - duration_ms;
}

/* Returns how many places over its limit a target may have taken for TURN,
   while the level leaves requests out: one if the level admits its class in
   full, and one more each time that it has waited for LONG_WAIT times as long
   as requests do at all instances. Without that, instances that have places
   would keep them, as they know first of those that they free, or as their
   limits are higher.  */
int32_t
wait_extra_places (const struct wait *wait, const struct turn *turn,
                   clk_ms now)
{
  const struct wait_level *level = wait_current_level (wait, now);
  struct wait_view view;
  int32_t places;

  if (level == NULL || level->level.class == TURN_CLASSES)
    return 0;
  places = turn->class < level->level.class;
  if (turn->since_ms == 0)
    return places;
  wait_look (wait, turn, now, &view);
  return places
         + (int32_t)((now - turn->since_ms)
                     / MAX (view.expected_ms * LONG_WAIT, 1));
}

/* Returns a request that is to be refused at NOW, the least urgent one, as it
   will not be served in time or too many wait; or NULL.  */
struct turn *
wait_overdue (const struct wait *wait, clk_ms now)
{
  struct turn *last = turn_last (&wait->queue);
  struct wait_view view;

  if (last == NULL || wait->queue.waiting > WAITING_MAX)
    return last;
  wait_look (wait, last, now, &view);
  /* It does not wait for itself.  */
  view.expected_ms -= (int64_t)(CLK_MS_PER_S / view.per_s);
  return view.expected_ms > last->limit_ms - now ? last : NULL;
}

/* Returns in how many milliseconds a client that is refused at NOW may come
   back, of which VIEW is known: when capacity is free for it, after those
   refused before.  A client with LEFT_MS left comes earlier if that is too
   late for it, and nothing is kept for it then.  */
int64_t
wait_book (struct wait *wait, const struct wait_view *view, int64_t left_ms,
           clk_ms now)
{
  int64_t spacing_ms = MAX ((int64_t)(CLK_MS_PER_S / view->own_per_s), 1);
  clk_ms free_ms = now + MIN (view->expected_ms, RETURN_MAX_MS);
  clk_ms booked_ms = MAX (wait->booked_ms + spacing_ms, free_ms);
  int64_t return_ms = MIN (booked_ms - now, RETURN_MAX_MS);

  if (return_ms <= left_ms / RETURN_SHARE)
    wait->booked_ms = booked_ms;
  return return_ms;
}

/* Returns in how many milliseconds a full target with SLOTS is expected to
   have a place: one of its requests ends in its part of their duration.  */
int64_t
wait_place_ms (const struct wait *wait, int32_t slots)
{
  double duration_ms
      = wait->duration_ms > 0 ? wait->duration_ms : DURATION_DEFAULT_MS;

  return CLAMP ((int64_t)(duration_ms / MAX (slots, 1)), PLACE_MIN_MS,
                PLACE_MAX_MS);
}

/* Returns how many requests a target with SLOTS may have in progress.  */
int32_t
wait_limit_get (const struct wait_limit *limit, int32_t slots)
{
  if (limit->limit > 0)
    return limit->limit;
  return slots > 0 ? slots : WAIT_NO_LIMIT;
}

/* Records at NOW that a target with SLOTS has LOAD requests in progress while
   others wait: if that is its limit, this may grow, as no request was turned
   away for a time.  */
void
wait_limit_reach (struct wait_limit *limit, int32_t slots, double load,
                  clk_ms now)
{
  int32_t current = wait_limit_get (limit, slots);

  if (load < current
      || now - limit->grown_ms < MAX (limit->growth_ms, GROWTH_MIN_MS)
      || (slots > 0 && current >= slots * LIMIT_FACTOR)
      || current == WAIT_NO_LIMIT)
    return;
  limit->limit = current + 1;
  limit->grown_ms = now;
  limit->growth_ms = limit->growth_ms * 3 / 4;
}

/* Records at NOW that a target with SLOTS has turned a request away while it
   had OTHERS in progress, as far as is known.  Returns its limit, most of
   which is kept, as some counts of others may be late.  */
int32_t
wait_limit_reject (struct wait_limit *limit, int32_t slots, double others,
                   clk_ms now)
{
  int32_t current = wait_limit_get (limit, slots);

  if (limit->rejected_ms != 0 && now - limit->rejected_ms < BURST_MS)
    return current;
  limit->growth_ms
      = CLAMP (limit->growth_ms * 2, GROWTH_MIN_MS, GROWTH_MAX_MS);
  if (current == WAIT_NO_LIMIT)
    limit->limit = MAX ((int32_t)others, 1);
  else
    limit->limit = MAX (
        MAX (MIN (current - 1, (int32_t)others), current * KEPT_PERCENT / 100),
        1);
  limit->grown_ms = now;
  limit->rejected_ms = now;
  return limit->limit;
}
