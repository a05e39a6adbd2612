/* Room of brittle targets, which fail when they turn away too many
   requests. */
#ifndef IBISLOOM_ROOM_H
#define IBISLOOM_ROOM_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  ROOM_REJECTIONS_KEPT = 16,
  ROOM_SHARERS_MAX = 64, /* instances that fill a target up to its room */
  ROOM_UNRANKED = INT32_MAX
};

/* Whether the targets of a service are brittle. */
struct room_service
{
  uint32_t version;        /* odd: brittle; the higher one wins */
  uint32_t rejections_max; /* that a target may turn away in a second */
  clk_ms since_ms;         /* start of this version at this instance */
  clk_ms said_ms;          /* when a target said so last */
  double requests;         /* of this instance lately, see room_rate */
  clk_ms counted_ms;       /* time of the last one */
};

/* What all instances know together of the room of a brittle target. */
struct room
{
  uint8_t has_said;    /* the target itself said that it is brittle */
  uint32_t rank;       /* of this instance at the target, from 0 */
  clk_ms heard_ms;     /* since when it is told of requests there; 0: not */
  int32_t limit;       /* requests in progress it takes; 0: its slots */
  clk_ms lowered_ms;   /* when the limit was lowered */
  int64_t growth_ms;   /* until it grows by one */
  uint32_t rejections; /* so far */
  clk_ms rejected_ms[ROOM_REJECTIONS_KEPT]; /* the last ones, as a ring */
};

int room_observe (struct room_service *service, struct room *room, int is_said,
                  uint32_t rejections_max, clk_ms sent_ms, clk_ms now);
int room_adopt (struct room_service *service, uint32_t version,
                uint32_t rejections_max, int64_t age_ms, clk_ms now);
int room_is_brittle (const struct room_service *service, clk_ms now);
void room_count_request (struct room_service *service, clk_ms now);
void room_init (struct room *room);
void room_set_rank (struct room *room, uint32_t rank, clk_ms now);
int32_t room_limit (const struct room *room, int32_t slots, clk_ms now);
int32_t room_reject (struct room *room, int32_t slots, double others,
                     clk_ms sent_ms, clk_ms now);
void room_apply_rejection (struct room *room, int32_t slots, int32_t limit,
                           clk_ms now);
int room_has_place (const struct room *room,
                    const struct room_service *service, int32_t slots,
                    double load, clk_ms now);
int room_is_far (int32_t limit, double load);

#endif
