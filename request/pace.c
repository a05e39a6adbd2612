/* Slow start: limit of the requests in progress at a target that has started
   or recovered.

   All instances together keep the requests in progress there within a limit,
   which is one at first.  It is a function of the time since it was begun or
   reduced last, so that instances agree on it without a message for each step:
   it doubles at first, and grows by a constant rate above the point at which
   the target was found to be loaded.  A response that is late, compared with
   the other targets of the service, a rejection or a failure halves it for all
   instances.  While a request of this instance waits for longer than that, its
   copy of the limit does not grow.  The lower the limit, the fewer instances
   may use it, in turn, so that not all send their first request at the same
   moment.  The pace ends when the limit is far above the mean load.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/pace.h"

enum
{
  /* Reaches a fair share of 32 requests, from one, in 2 s.  */
  DOUBLING_MS = 400,
  /* By so much a response that is in time advances the growth here, which it
     at most doubles.  */
  CONFIRMED_MS = 40,
  FORGET_MS = 10000, /* after its end, all instances have ended it */
  TURN_MS = 300,     /* after which other instances may send */
  LATE_MIN_MS = 100  /* differences below that matter to no caller */
};

static const double LIMIT_MIN = 1; /* a target must not be left idle */
static const double REDUCTION = 0.5;

/* Limit at which a pace ends: the bound of the load of a target is about twice
   the mean, too.  */
static const double FULL_FACTOR = 2;
static const double FULL_SLACK = 4;

/* Part of the full limit by which it grows in a second above the threshold, so
   that a target that was slow for a time has its share again in 2 s.  */
static const double GROWTH_SHARE_PER_S = 0.25;
static const double GROWTH_MIN_PER_S = 2;

/* Weight of a response in the moving averages.  */
static const double AVERAGE_WEIGHT = 0.05;

/* A response is late after so many times what is usual, and after so many
   deviations from that, as prompts differ in length.  */
static const double LATE_FACTOR = 2;
static const double LATE_DEVIATIONS = 4;

/* What is usual for a target that is slow but steady is its own shortest time,
   up to so many times that of its service.  */
static const double SLOW_FACTOR_MAX = 3;

static void note_first_byte (struct pace *pace, double ms);
static double late_after (const struct pace *pace,
                          const struct pace_service *service);
static double overdue_ms (const struct pace *pace, clk_ms now);
static double grown_ms (const struct pace *pace, clk_ms now);

/* Counts a response of a target of SERVICE that has no pace.  */
void
pace_service_observe (struct pace_service *service, double first_byte_ms)
{
  double distance = fabs (first_byte_ms - service->first_byte_ms);

  if (service->first_byte_ms <= 0)
    {
      service->first_byte_ms = MAX (first_byte_ms, 1);
      service->deviation_ms = service->first_byte_ms / 2;
      return;
    }
  service->first_byte_ms
      += AVERAGE_WEIGHT * (first_byte_ms - service->first_byte_ms);
  service->deviation_ms += AVERAGE_WEIGHT * (distance - service->deviation_ms);
}

/* Begins PACE, or begins it anew if it is in force.  */
void
pace_begin (struct pace *pace, clk_ms now)
{
  *pace = (struct pace){ .version = (pace->version + 1) | 1,
                         .base = LIMIT_MIN,
                         .threshold = INFINITY,
                         .since_ms = now,
                         .full = FULL_SLACK,
                         .late_after_ms = INFINITY,
                         .instances = 1 };
}

/* Ends PACE.  */
void
pace_end (struct pace *pace, clk_ms now)
{
  if (!pace_is_in_force (pace))
    return;
  pace->version++;
  pace->since_ms = now;
}

/* Forgets PACE if it ended long ago, so that all instances begin the next one
   with the same version, whether or not they know of this one.  */
void
pace_forget (struct pace *pace, clk_ms now)
{
  if (pace->version != 0 && !pace_is_in_force (pace)
      && now - pace->since_ms > FORGET_MS)
    *pace = (struct pace){ 0 };
}

/* Returns whether PACE limits requests.  */
int
pace_is_in_force (const struct pace *pace)
{
  return pace->version % 2 != 0;
}

/* Adopts what another instance has TOLD of PACE if it is newer, or lower in
   the same version.  Returns whether it was adopted.  */
int
pace_adopt (struct pace *pace, const struct pace_told *told, clk_ms now)
{
  if (told->version == pace->version && told->min_first_byte_ms > 0)
    note_first_byte (pace, told->min_first_byte_ms);
  if (told->version % 2 == 0 || told->version < pace->version
      || (told->version == pace->version && told->base >= pace->base))
    return 0;
  if (!pace_is_in_force (pace))
    pace_begin (pace, now);
  pace->version = told->version;
  pace->base = MAX (told->base, LIMIT_MIN);
  pace->threshold = MAX (told->threshold, pace->base);
  pace->min_first_byte_ms = told->min_first_byte_ms;
  pace->since_ms = now - told->age_ms;
  pace->paused_ms = 0;
  pace->confirmed = 0;
  pace->is_announced = 1;
  return 1;
}

/* Compares PACE with the rest of its SERVICE.  */
void
pace_scale (struct pace *pace, const struct pace_service *service)
{
  pace->full = FULL_FACTOR * service->mean_load + FULL_SLACK;
  pace->is_open = service->is_open;
  pace->late_after_ms = late_after (pace, service);
}

/* Returns how many requests of all instances may be in progress at NOW at the
   target of PACE.  */
double
pace_limit (const struct pace *pace, clk_ms now)
{
  double per_s = MAX (GROWTH_SHARE_PER_S * pace->full, GROWTH_MIN_PER_S);
  double left_ms;
  double doubled;

  if (!pace_is_in_force (pace))
    return INFINITY;
  left_ms = grown_ms (pace, now);
  doubled = pace->base * exp2 (left_ms / DOUBLING_MS);
  if (doubled <= pace->threshold)
    return doubled;
  left_ms -= DOUBLING_MS * log2 (pace->threshold / pace->base);
  return pace->threshold + per_s * left_ms / CLK_MS_PER_S;
}

/* Returns whether this instance may send another request at NOW to the target
   of PACE, where LOAD requests of all instances are in progress: the limit
   allows it, and it is this instance's turn.  */
int
pace_may_send (const struct pace *pace, double load, clk_ms now)
{
  uint64_t turn = (uint64_t)MAX (now - pace->since_ms, 0) / TURN_MS;
  uint32_t places;
  uint64_t first;
  double limit;

  if (!pace_is_in_force (pace) || pace->is_open)
    return 1;
  limit = pace_limit (pace, now);
  if (load + 1 > limit)
    return 0;
  if (limit >= pace->full || pace->instances <= 1)
    return 1;
  places = (uint32_t)ceil (pace->instances * limit / pace->full);
  first = turn * places % pace->instances;
  return (pace->rank + pace->instances - first) % pace->instances < places;
}

/* Returns whether PACE no longer binds at NOW.  */
int
pace_is_over (const struct pace *pace, clk_ms now)
{
  return pace_is_in_force (pace) && pace_limit (pace, now) >= pace->full;
}

/* Counts a request that this instance sends to the target of PACE, where it
   has IN_FLIGHT requests with it.  */
void
pace_count_sent (struct pace *pace, uint32_t in_flight, clk_ms now)
{
  if (pace->asked_ms == 0 || in_flight <= 1)
    pace->asked_ms = now;
}

/* Handles that no request of this instance is left at the target of PACE: none
   is late any more.  */
void
pace_count_idle (struct pace *pace, clk_ms now)
{
  pace->paused_ms += overdue_ms (pace, now);
  pace->asked_ms = 0;
}

/* Handles a response at NOW of the target of PACE, of SERVICE, to a request
   that was sent at SENT_MS, while LOAD requests are in progress there. Targets
   of the service usually read its prompt in READ_MS, which says nothing of the
   load.  Returns whether the response reduced the limit.  */
int
pace_observe (struct pace *pace, const struct pace_service *service,
              double load, clk_ms sent_ms, int64_t read_ms, clk_ms now)
{
  double first_byte_ms = (double)MAX (now - sent_ms - read_ms, 1);
  double late_ms = late_after (pace, service);

  if (sent_ms < pace->since_ms)
    return 0;
  pace->paused_ms += overdue_ms (pace, now);
  pace->asked_ms = 0;
  note_first_byte (pace, first_byte_ms);
  pace->late_after_ms = late_after (pace, service);
  if (first_byte_ms > late_ms)
    return pace_reduce (pace, load, pace->since_ms, now);
  pace->confirmed++;
  return 0;
}

/* Halves the limit of PACE, or what is used of it where LOAD requests are in
   progress, after a request that was sent at SENT_MS.  Returns whether it did:
   one that was sent before the last reduction shows nothing new.  */
int
pace_reduce (struct pace *pace, double load, clk_ms sent_ms, clk_ms now)
{
  double used = MIN (pace_limit (pace, now), MAX (load, LIMIT_MIN));

  if (!pace_is_in_force (pace) || sent_ms < pace->since_ms)
    return 0;
  pace->version += 2;
  pace->base = MAX (used * REDUCTION, LIMIT_MIN);
  pace->threshold = pace->base;
  pace->since_ms = now;
  pace->paused_ms = 0;
  pace->confirmed = 0;
  return 1;
}

/* Records that the target of PACE has responded within MS.  */
static void
note_first_byte (struct pace *pace, double ms)
{
  if (pace->min_first_byte_ms <= 0 || ms < pace->min_first_byte_ms)
    pace->min_first_byte_ms = ms;
}

/* Returns how long a request to the target of PACE, of SERVICE, may take to
   the first byte until it is late; infinity if nothing is known.  */
static double
late_after (const struct pace *pace, const struct pace_service *service)
{
  double usual_ms = service->first_byte_ms;
  double late_ms;

  if (usual_ms <= 0)
    return INFINITY;
  usual_ms = MAX (usual_ms,
                  MIN (pace->min_first_byte_ms, SLOW_FACTOR_MAX * usual_ms));
  late_ms = MAX (LATE_FACTOR * usual_ms,
                 usual_ms + LATE_DEVIATIONS * service->deviation_ms);
  return MAX (late_ms, LATE_MIN_MS);
}

/* Returns for how long a request of this instance to the target of PACE has
   been late at NOW.  */
static double
overdue_ms (const struct pace *pace, clk_ms now)
{
  double waited_ms = (double)(now - MAX (pace->asked_ms, pace->since_ms));

  return pace->asked_ms != 0 ? MAX (waited_ms - pace->late_after_ms, 0) : 0;
}

/* Returns for how long PACE has grown at NOW.  Responses in time count in
   addition, and the time for which a request is late does not.  */
static double
grown_ms (const struct pace *pace, clk_ms now)
{
  double ms = (double)(now - pace->since_ms) - pace->paused_ms
              - overdue_ms (pace, now);

  ms = MAX (ms, 0);
  return ms + MIN (ms, (double)pace->confirmed * CONFIRMED_MS);
}
