/* Room of brittle targets, which fail when they turn away too many
   requests. */
#ifndef IBISLOOM_ROOM_H
#define IBISLOOM_ROOM_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  ROOM_REJECTIONS_KEPT = 16,
  ROOM_TOLD_MAX = 64, /* instances that are told of requests at a target */
  ROOM_AHEAD = 8,     /* of these, the next ones to rank first */
  ROOM_SENDERS_MAX = ROOM_TOLD_MAX - ROOM_AHEAD,
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
  clk_ms waited_ms;        /* when some of them waited here last; 0: never */
};

/* What all instances know together of the room of a brittle target. */
struct room
{
  uint8_t has_said;    /* the target itself said that it is brittle */
  uint32_t rank;       /* of this instance at the target, from 0 */
  uint32_t members;    /* instances that are ranked there */
  clk_ms changed_ms;   /* when the requests in progress changed last */
  clk_ms burst_ms;     /* start of the latest requests of this instance */
  uint32_t burst;      /* their number */
  clk_ms heard_ms;     /* since when it is told of requests there; 0: not */
  uint8_t is_known;    /* also what others were told before */
  uint8_t answers;     /* of others that do not know that either */
  uint8_t questions;   /* to others */
  clk_ms asked_ms;     /* time of the last one */
  clk_ms answered_ms;  /* the last answer */
  int32_t missing;     /* requests there that it knows and this one does not */
  int32_t limit;       /* requests in progress it takes; 0: its slots */
  clk_ms lowered_ms;   /* when the limit was lowered */
  int64_t growth_ms;   /* until it grows by one */
  uint32_t rejections; /* so far */
  clk_ms rejected_ms[ROOM_REJECTIONS_KEPT]; /* the last ones, as a ring */
};

/* What an instance knows of the room of a target, to be told to another. */
struct room_news
{
  uint8_t is_known;        /* it is complete */
  int32_t limit;           /* see room_limit; 0: the slots */
  int64_t grown_ms;        /* since the limit grew last, or was lowered */
  int64_t growth_ms;       /* until it grows by one */
  uint32_t rejections;     /* lately */
  int64_t rejected_ago_ms; /* time since the last of these */
  double load;             /* requests in progress */
};

int room_observe (struct room_service *service, struct room *room, int is_said,
                  uint32_t rejections_max, clk_ms sent_ms, clk_ms now);
int room_adopt (struct room_service *service, uint32_t version,
                uint32_t rejections_max, int64_t age_ms, clk_ms now);
int room_is_brittle (const struct room_service *service, clk_ms now);
void room_count_request (struct room_service *service, clk_ms now);
void room_count_wait (struct room_service *service, clk_ms now);
void room_init (struct room *room);
void room_count_change (struct room *room, int is_own_start, clk_ms now);
int room_is_told (uint32_t rank, uint32_t members);
void room_set_rank (struct room *room, uint32_t rank, uint32_t members,
                    clk_ms now);
void room_forget (struct room *room, clk_ms now);
int room_is_known (const struct room *room, clk_ms now);
int room_wants_news (const struct room *room, clk_ms now);
void room_count_question (struct room *room, clk_ms now);
void room_get_news (const struct room *room, int32_t slots, double load,
                    clk_ms now, struct room_news *news);
void room_learn (struct room *room, int32_t slots,
                 const struct room_news *news, uint32_t answers_min,
                 double load, clk_ms now);
double room_missing (const struct room *room, clk_ms now);
int32_t room_limit (const struct room *room, int32_t slots, clk_ms now);
int32_t room_reject (struct room *room, int32_t slots, double others,
                     clk_ms sent_ms, clk_ms now);
int room_apply_limit (struct room *room, int32_t slots, int32_t limit,
                      clk_ms now);
void room_apply_rejection (struct room *room, int32_t slots, int32_t limit,
                           clk_ms now);
int room_has_place (const struct room *room,
                    const struct room_service *service, int32_t slots,
                    double load, clk_ms now);
int room_is_far (int32_t limit, double load);

#endif
