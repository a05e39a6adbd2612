/* Limit of the request rate of a target, which all instances count
   together. */
#ifndef IBISLOOM_RATE_H
#define IBISLOOM_RATE_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  RATE_BURST = 4, /* requests that may be saved up */
  /* Requests that are kept for those which gain most by their target.  */
  RATE_RESERVE = 2
};

struct rate_limit
{
  uint32_t version;  /* odd: in force; the higher one wins among instances */
  double per_s;      /* of all instances together */
  clk_ms since_ms;   /* start of this version at this instance */
  uint64_t rank_min; /* of the instances that may send to the target */
  uint8_t is_sharer; /* this instance is one of them */
  double reserve;    /* tokens left to the instances that rank higher */
  double min_per_s;  /* it fills at least at this rate */
  double tokens;     /* requests that may be sent now */
  clk_ms refilled_ms;
  double own_per_s;  /* of this instance alone; 0: no limit */
  double own_tokens; /* of them, at most one */
  clk_ms own_refilled_ms;
};

/* Part of an instance in a limit that all know without being told. */
struct rate_share
{
  double per_s;     /* of all instances together */
  double own_per_s; /* see struct rate_limit */
  double reserve;   /* see struct rate_limit */
  int is_sharer;
};

int rate_observe (struct rate_limit *limit, int is_named, double per_s,
                  clk_ms sent_ms, clk_ms now);
int rate_adopt (struct rate_limit *limit, uint32_t version, double per_s,
                clk_ms now);
void rate_set_sharer (struct rate_limit *limit, int is_sharer, clk_ms now);
void rate_begin (struct rate_limit *limit, clk_ms now);
void rate_end (struct rate_limit *limit);
void rate_set (struct rate_limit *limit, const struct rate_share *share,
               clk_ms now);
void rate_count_own (struct rate_limit *limit, clk_ms now);
int rate_is_limited (const struct rate_limit *limit);
double rate_tokens (const struct rate_limit *limit, clk_ms now);
void rate_count (struct rate_limit *limit, clk_ms now);

#endif
