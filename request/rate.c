/* Limit of the request rate of a target, which all instances count together.

   A token bucket of which each instance has a copy: it fills at the rate that
   the target names, and each request that any instance sends takes a token.
   An instance tells the others at once when it sends a request.  Requests that
   cross on the way, or of which a datagram gets lost, make the sum exceed the
   rate by a little; the copies then owe tokens and make up for it.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/rate.h"

enum
{
  DEBT_MAX = 20 /* requests that crossed on the way, far more than likely */
};

/* A target that names less would never be asked whether that still holds. */
static const double RATE_MIN_PER_S = 0.25;

/* Part by which a limit has to change to be told to other instances. */
static const double CHANGE_MIN = 0.02;

static double refill (const struct rate_limit *limit, clk_ms now);
static double refill_own (const struct rate_limit *limit, clk_ms now);
static void begin_version (struct rate_limit *limit, uint32_t version,
                           double per_s, clk_ms now);

/* Handles the response to a request that was sent at SENT_MS: the target named
   the limit PER_S, or none (IS_NAMED 0).  A request older than what is known
   says nothing.  Returns whether the limit began, changed or ended.  */
int
rate_observe (struct rate_limit *limit, int is_named, double per_s,
              clk_ms sent_ms, clk_ms now)
{
  if (limit->version > 0 && sent_ms < limit->since_ms)
    return 0;
  if (is_named != rate_is_limited (limit))
    begin_version (limit, limit->version + 1, per_s, now);
  else if (is_named && fabs (per_s - limit->per_s) > limit->per_s * CHANGE_MIN)
    begin_version (limit, limit->version + 2, per_s, now);
  else
    return 0;
  return 1;
}

/* Adopts the VERSION of LIMIT that another instance has told, if it is newer.
   Returns whether it is.  */
int
rate_adopt (struct rate_limit *limit, uint32_t version, double per_s,
            clk_ms now)
{
  if (version <= limit->version)
    return 0;
  begin_version (limit, version, per_s, now);
  return 1;
}

/* Sets whether this instance is one of those that may send, IS_SHARER, from
   NOW on.  One that becomes so was not told of the requests of before, and has
   nothing saved up.  */
void
rate_set_sharer (struct rate_limit *limit, int is_sharer, clk_ms now)
{
  if (is_sharer && !limit->is_sharer)
    {
      limit->tokens = MIN (refill (limit, now), 0);
      limit->refilled_ms = now;
    }
  limit->is_sharer = is_sharer != 0;
}

/* Begins LIMIT, which all instances know without being told by the others,
   with nothing saved up.  */
void
rate_begin (struct rate_limit *limit, clk_ms now)
{
  *limit = (struct rate_limit){ .version = 1,
                                .since_ms = now,
                                .refilled_ms = now,
                                .own_tokens = 1,
                                .own_refilled_ms = now };
}

/* Ends LIMIT, from rate_begin.  */
void
rate_end (struct rate_limit *limit)
{
  limit->version = 0;
}

/* Sets the part of this instance in LIMIT, from rate_begin, to SHARE from NOW
   on.  One that gets a part later than the limit began has nothing saved
   up.  */
void
rate_set (struct rate_limit *limit, const struct rate_share *share, clk_ms now)
{
  limit->tokens = refill (limit, now);
  limit->refilled_ms = now;
  limit->own_tokens = limit->is_sharer || now == limit->since_ms
                          ? refill_own (limit, now)
                          : 0;
  limit->own_refilled_ms = now;
  limit->per_s = share->per_s;
  limit->own_per_s = share->own_per_s;
  limit->reserve = share->reserve;
  limit->is_sharer = (uint8_t)share->is_sharer;
}

/* Returns whether LIMIT is in force.  */
int
rate_is_limited (const struct rate_limit *limit)
{
  return limit->version % 2 != 0;
}

/* Returns the requests that this instance may send at NOW; infinity without a
   limit.  */
double
rate_tokens (const struct rate_limit *limit, clk_ms now)
{
  if (!rate_is_limited (limit))
    return INFINITY;
  if (!limit->is_sharer
      || (limit->own_per_s > 0 && refill_own (limit, now) < 1))
    return 0;
  return refill (limit, now) - limit->reserve;
}

/* Counts a request that an instance has sent.  */
void
rate_count (struct rate_limit *limit, clk_ms now)
{
  limit->tokens = MAX (refill (limit, now) - 1, -DEBT_MAX);
  limit->refilled_ms = now;
}

/* Counts a request that this instance has sent, in what it may send alone.  */
void
rate_count_own (struct rate_limit *limit, clk_ms now)
{
  limit->own_tokens = MAX (refill_own (limit, now) - 1, 0);
  limit->own_refilled_ms = now;
}

/* Returns the tokens of this instance alone in LIMIT at NOW.  */
static double
refill_own (const struct rate_limit *limit, clk_ms now)
{
  return MIN (limit->own_tokens
                  + limit->own_per_s * (double)(now - limit->own_refilled_ms)
                        / CLK_MS_PER_S,
              1);
}

/* Returns the tokens of LIMIT at NOW.  */
static double
refill (const struct rate_limit *limit, clk_ms now)
{
  double per_s = MAX (limit->per_s, limit->min_per_s);

  return MIN (limit->tokens
                  + per_s * (double)(now - limit->refilled_ms) / CLK_MS_PER_S,
              RATE_BURST);
}

/* Begins VERSION of LIMIT with the rate PER_S.  Without a limit before,
   nothing is saved up.  */
static void
begin_version (struct rate_limit *limit, uint32_t version, double per_s,
               clk_ms now)
{
  limit->tokens = rate_is_limited (limit) ? refill (limit, now) : 0;
  limit->refilled_ms = now;
  limit->version = version;
  limit->per_s = per_s;
  limit->min_per_s = RATE_MIN_PER_S;
  limit->since_ms = now;
}
