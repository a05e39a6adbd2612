/* Room of brittle targets, which fail when they turn away too many requests.

   All instances together keep the requests in progress at such a target within
   its slots, and within less once it turned one away below that: then the
   limit is what was in progress, and grows again by one at a time.  Requests
   that instances send before they hear of each other are the danger that
   remains.  So the fewer places are left, the fewer instances may fill them:
   the last one only the instance that ranks first at the target, and while it
   stays free one more after each STEP_MS.  An instance at which requests wait
   would fill any place at once, as others would, so that it takes no more than
   the place that goes with its rank.  Rejections are counted, and a target
   that has little patience left gets nothing until they are over.

   An instance sends only while it knows what those before it were told: the
   limit, the rejections, and the requests in progress.  One that is told anew,
   as its rank has come near to the first, it has just started, or it stood
   still, asks others for that before it sends.  After QUESTIONS_MAX without an
   answer it relies on what it has heard itself.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/room.h"

enum
{
  STALE_MS = 10000, /* a state that no target has confirmed for so long ends */
  WINDOW_MS = 1200, /* a second, and the time until all instances know */
  PAUSE_MS = 50,    /* after a rejection; others may be on their way */
  BLIND_MS = 5,     /* until the others know of a request */
  CAUTION_MS = 4000, /* in which a rejection makes instances careful */
  CAUTION_PER_REJECTION = 4,
  RATE_MS = 1000, /* over which requests are counted */
  STEP_MS = 15,   /* until the others know that a place is taken or still free;
                     queues are tried every 5 ms */
  PRESSED_MS = 20, /* after a request has waited */
  GROWTH_MIN_MS = 2000,
  GROWTH_MAX_MS = 16000,
  GROWN_WELL = 4, /* so much growth shows that a limit was too low */
  FAR_MIN = 16,   /* places left that nobody has to be careful with */
  RESERVE_DIVISOR = 4,
  QUESTIONS_MAX = 3,
  ASK_INTERVAL_MS = 150, /* less than a heartbeat */
  /* In which the others' counts of requests arrive with their changes or their
     heartbeats.  */
  CATCH_UP_MS = 2000,
  MISSING_VALID_MS = 500 /* some questions */
};

/* Requests on their way, for each place beyond the first, with which more of
   them than there are places are unlikely.  */
static const double BLIND_PER_PLACE = 1.0;

/* The same for a last place that stays free.  */
static const double BLIND_AT_LAST_PLACE = 0.1;

static double room_rate (const struct room_service *service, clk_ms now);
static double senders_max (const struct room *room,
                           const struct room_service *service, double places,
                           clk_ms now);
static double blind_share (const struct room *room,
                           const struct room_service *service, clk_ms now);
static int is_own_place (const struct room *room, double places, clk_ms now);
static double steps_free (const struct room *room, clk_ms now);
static void begin_version (struct room_service *service, uint32_t version,
                           uint32_t rejections_max, clk_ms now);
static void learn_limit (struct room *room, int32_t slots,
                         const struct room_news *news, clk_ms now);
static void record_rejection (struct room *room, clk_ms now);
static void lower (struct room *room, int32_t slots, int32_t limit,
                   clk_ms now);
static uint32_t recent_rejections (const struct room *room, int64_t window_ms,
                                   clk_ms now);
static uint32_t reserve (uint32_t rejections_max);

/* Handles the response of a target of SERVICE with ROOM, which may be NULL, to
   a request that was sent at SENT_MS: the target said that it is brittle and
   may turn away REJECTIONS_MAX requests in a second, or did not say so
   (IS_SAID 0), which counts only from one that said so before.  Returns
   whether the state began, changed or ended.  */
int
room_observe (struct room_service *service, struct room *room, int is_said,
              uint32_t rejections_max, clk_ms sent_ms, clk_ms now)
{
  int is_brittle = room_is_brittle (service, now);

  if (service->version > 0 && sent_ms < service->since_ms)
    return 0;
  if (!is_said)
    {
      if (!is_brittle || room == NULL || !room->has_said)
        return 0;
      begin_version (service, service->version + 1, 0, now);
      return 1;
    }
  if (room != NULL)
    room->has_said = 1;
  service->said_ms = now;
  if (is_brittle && service->rejections_max == rejections_max)
    return 0;
  begin_version (service, (service->version + 1) | 1, rejections_max, now);
  return 1;
}

/* Adopts the VERSION of SERVICE that another instance has told, if it is newer
   or was said later, AGE_MS ago.  Returns whether it is newer.  */
int
room_adopt (struct room_service *service, uint32_t version,
            uint32_t rejections_max, int64_t age_ms, clk_ms now)
{
  if (version < service->version)
    return 0;
  if (version > service->version)
    {
      begin_version (service, version, rejections_max, now);
      service->said_ms = now - age_ms;
      return 1;
    }
  service->said_ms = MAX (service->said_ms, now - age_ms);
  return 0;
}

/* Returns whether the targets of SERVICE are brittle at NOW.  */
int
room_is_brittle (const struct room_service *service, clk_ms now)
{
  return service->version % 2 != 0 && now - service->said_ms < STALE_MS;
}

/* Counts a request of this instance for SERVICE.  */
void
room_count_request (struct room_service *service, clk_ms now)
{
  service->requests = room_rate (service, now) + 1;
  service->counted_ms = now;
}

/* Records that a request of this instance for SERVICE waits for a place.  */
void
room_count_wait (struct room_service *service, clk_ms now)
{
  service->waited_ms = now;
}

/* Prepares ROOM, of which nothing is known.  */
void
room_init (struct room *room)
{
  *room = (struct room){ .rank = ROOM_UNRANKED, .growth_ms = GROWTH_MIN_MS };
}

/* Records that the requests in progress at the target with ROOM have changed
   at NOW: this instance has started one, if IS_OWN_START, or another change.
 */
void
room_count_change (struct room *room, int is_own_start, clk_ms now)
{
  room->changed_ms = now;
  if (!is_own_start)
    return;
  if (now - room->burst_ms >= STEP_MS)
    {
      room->burst_ms = now;
      room->burst = 0;
    }
  room->burst++;
}

/* Returns whether the instance with RANK among MEMBERS is told of requests and
   rejections at a target: those that rank first, and those that will so
   next.  */
int
room_is_told (uint32_t rank, uint32_t members)
{
  return (rank + ROOM_AHEAD) % members < ROOM_TOLD_MAX;
}

/* Sets the RANK among MEMBERS of this instance at the target with ROOM at
   NOW.  */
void
room_set_rank (struct room *room, uint32_t rank, uint32_t members, clk_ms now)
{
  room->rank = rank;
  room->members = members;
  if (!room_is_told (rank, members))
    room->heard_ms = 0;
  else if (room->heard_ms == 0)
    room_forget (room, now);
}

/* Handles that this instance is told of requests at the target with ROOM from
   NOW on, and may lack what was told before.  */
void
room_forget (struct room *room, clk_ms now)
{
  room->heard_ms = now;
  room->changed_ms = now;
  room->is_known = 0;
  room->answers = 0;
  room->questions = 0;
  room->asked_ms = 0;
}

/* Returns whether this instance knows at NOW what the others were told of
   ROOM, or none of them has answered.  */
int
room_is_known (const struct room *room, clk_ms now)
{
  return room->heard_ms != 0
         && (room->is_known
             || (room->questions >= QUESTIONS_MAX
                 && now - room->asked_ms >= ASK_INTERVAL_MS));
}

/* Returns whether others are to be asked at NOW what they know of ROOM.  */
int
room_wants_news (const struct room *room, clk_ms now)
{
  return room->heard_ms != 0 && now - room->asked_ms >= ASK_INTERVAL_MS
         && (room->is_known ? now - room->heard_ms < CATCH_UP_MS
                            : room->questions < QUESTIONS_MAX);
}

/* Records that others are asked at NOW what they know of ROOM.  */
void
room_count_question (struct room *room, clk_ms now)
{
  room->asked_ms = now;
  if (room->questions < QUESTIONS_MAX)
    room->questions++;
}

/* Sets NEWS to what is known at NOW of ROOM, whose target has SLOTS and LOAD
   requests in progress.  */
void
room_get_news (const struct room *room, int32_t slots, double load, clk_ms now,
               struct room_news *news)
{
  uint32_t last = (room->rejections - 1) % ROOM_REJECTIONS_KEPT;

  *news = (struct room_news){ .is_known = (uint8_t)room_is_known (room, now),
                              .growth_ms = room->growth_ms,
                              .rejections
                              = recent_rejections (room, WINDOW_MS, now),
                              .load = load + room_missing (room, now) };
  if (room->limit > 0)
    {
      news->limit = room_limit (room, slots, now);
      news->grown_ms = (now - room->lowered_ms) % room->growth_ms;
    }
  if (news->rejections > 0)
    news->rejected_ago_ms = now - room->rejected_ms[last];
}

/* Adopts NEWS of another instance on ROOM, whose target has SLOTS and, as this
   instance knows, LOAD requests in progress.  Once one that knows all has
   answered, or ANSWERS_MIN, this one knows what there is to know.  */
void
room_learn (struct room *room, int32_t slots, const struct room_news *news,
            uint32_t answers_min, double load, clk_ms now)
{
  if (!room->is_known)
    learn_limit (room, slots, news, now);
  for (uint32_t known = recent_rejections (room, WINDOW_MS, now);
       known < MIN (news->rejections, ROOM_REJECTIONS_KEPT); known++)
    record_rejection (room, now - news->rejected_ago_ms);
  room->answers++;
  room->is_known |= news->is_known || room->answers >= answers_min;
  room->missing = MAX ((int32_t)(news->load - load), 0);
  room->answered_ms = now;
}

/* Adopts the limit in NEWS on ROOM, whose target has SLOTS.  One of before
   this instance was told of the target is old, whether NEWS have one or not;
   of two that are not, the lower one holds.  */
static void
learn_limit (struct room *room, int32_t slots, const struct room_news *news,
             clk_ms now)
{
  int is_old = room->limit == 0 || room->lowered_ms < room->heard_ms;

  if (news->limit > 0
      && (is_old || news->limit < room_limit (room, slots, now)))
    {
      room->limit = news->limit;
      room->lowered_ms = now - news->grown_ms;
      room->growth_ms
          = MIN (MAX (news->growth_ms, GROWTH_MIN_MS), GROWTH_MAX_MS);
    }
  else if (news->limit == 0 && news->is_known && is_old)
    room->limit = 0;
}

/* Returns how many requests are in progress at the target with ROOM that only
   others count, as far as an answer at NOW tells.  */
double
room_missing (const struct room *room, clk_ms now)
{
  return room->answered_ms != 0 && now - room->answered_ms < MISSING_VALID_MS
             ? room->missing
             : 0;
}

/* Returns how many requests of all instances may be in progress at NOW at a
   target with ROOM and SLOTS.  */
int32_t
room_limit (const struct room *room, int32_t slots, clk_ms now)
{
  int64_t grown;

  slots = MAX (slots, 1);
  if (room->limit == 0)
    return slots;
  grown = (now - room->lowered_ms) / room->growth_ms;
  return (int32_t)MIN (room->limit + grown, slots);
}

/* Handles a rejection at NOW by a target with ROOM and SLOTS of a request that
   was sent at SENT_MS, while it worked on OTHERS.  Nothing is learned if these
   were more than the target is given, or if the request was sent before the
   limit was lowered last.  Returns the limit.  */
int32_t
room_reject (struct room *room, int32_t slots, double others, clk_ms sent_ms,
             clk_ms now)
{
  int32_t limit = room_limit (room, slots, now);

  record_rejection (room, now);
  if (others < limit && (room->limit == 0 || sent_ms >= room->lowered_ms))
    lower (room, slots, MAX ((int32_t)others, 1), now);
  return room_limit (room, slots, now);
}

/* Handles a rejection by a target with ROOM and SLOTS that another instance
   has told, which then had LIMIT.  */
void
room_apply_rejection (struct room *room, int32_t slots, int32_t limit,
                      clk_ms now)
{
  record_rejection (room, now);
  room_apply_limit (room, slots, limit, now);
}

/* Handles that a target with ROOM and SLOTS works on LIMIT requests at a time.
   Returns whether it takes less than was known so far.  */
int
room_apply_limit (struct room *room, int32_t slots, int32_t limit, clk_ms now)
{
  if (limit <= 0 || limit >= room_limit (room, slots, now))
    return 0;
  lower (room, slots, limit, now);
  return 1;
}

/* Returns whether this instance may send a request at NOW to a target of
   SERVICE with ROOM and SLOTS at which LOAD requests are in progress.  */
int
room_has_place (const struct room *room, const struct room_service *service,
                int32_t slots, double load, clk_ms now)
{
  int32_t limit = room_limit (room, slots, now);
  double places = limit - load;
  uint32_t rejections = recent_rejections (room, WINDOW_MS, now);
  uint32_t last = (room->rejections - 1) % ROOM_REJECTIONS_KEPT;

  if (places < 1 || rejections >= MAX (service->rejections_max, 1))
    return 0;
  if (room->rank == ROOM_UNRANKED)
    return room_is_far (limit, load);
  if (!room_is_known (room, now))
    return 0;
  if (rejections > 0 && now - room->rejected_ms[last] < PAUSE_MS)
    return room->rank == 0 && load < 1;
  if (rejections > 0 && rejections >= reserve (service->rejections_max))
    return room->rank == 0 && (load < 1 || (room->limit > 0 && places >= 2));
  if (room_is_far (limit, load))
    return room->rank < ROOM_SENDERS_MAX;
  if (room->rank >= ROOM_SENDERS_MAX)
    return 0;
  if (service->waited_ms != 0 && now - service->waited_ms < PRESSED_MS)
    return is_own_place (room, places, now);
  return room->rank < senders_max (room, service, places, now);
}

/* Returns whether a target with LIMIT and LOAD has so many places that the
   instances need not tell each other of each request.  */
int
room_is_far (int32_t limit, double load)
{
  return limit - load >= MAX (FAR_MIN, limit / 2);
}

/* Returns how many requests for SERVICE this instance gets in RATE_MS.  */
static double
room_rate (const struct room_service *service, clk_ms now)
{
  return service->requests
         * exp (-(double)(now - service->counted_ms) / RATE_MS);
}

/* Returns whether one of PLACES at a target with ROOM goes with the rank of
   this instance, at which requests wait: each of those that rank first has
   one, or its part of more, and for each STEP_MS in which nothing has changed
   one instance more, as those before it have no request.  */
static int
is_own_place (const struct room *room, double places, clk_ms now)
{
  uint32_t burst = now - room->burst_ms < STEP_MS ? room->burst : 0;
  double part = (places + burst) / MAX (room->members, 1);

  return room->rank < places + steps_free (room, now) && burst < MAX (part, 1);
}

/* Returns for how many STEP_MS nothing has changed at a target with ROOM: the
   requests in progress, the limit, or that it is left alone after a
   rejection.  */
static double
steps_free (const struct room *room, clk_ms now)
{
  clk_ms since_ms = room->changed_ms;
  uint32_t last = (room->rejections - 1) % ROOM_REJECTIONS_KEPT;

  if (room->limit > 0)
    since_ms
        = MAX (since_ms, now - (now - room->lowered_ms) % room->growth_ms);
  if (room->rejections > 0)
    since_ms = MAX (since_ms, room->rejected_ms[last] + PAUSE_MS);
  return (double)(MAX (now - since_ms, 0) / STEP_MS);
}

/* Returns how many instances may send to a target of SERVICE with ROOM and so
   many PLACES, as often as this one does, without too many requests on their
   way at the same time: fewer, the fewer rejections it bears, and the more it
   has made lately.  */
static double
senders_max (const struct room *room, const struct room_service *service,
             double places, clk_ms now)
{
  double blind = blind_share (room, service, now);
  double later = MIN (steps_free (room, now), BLIND_AT_LAST_PLACE / blind);

  return MAX (1 + later, BLIND_PER_PLACE * (places - 1) / blind);
}

/* Returns how many requests of this instance for SERVICE are on their way at a
   time, before others know of them, each weighted by the rejections that a
   target with ROOM bears and has made.  */
static double
blind_share (const struct room *room, const struct room_service *service,
             clk_ms now)
{
  double blind = MAX (room_rate (service, now), 1) * BLIND_MS / RATE_MS;
  double caution
      = CAUTION_PER_REJECTION * recent_rejections (room, CAUTION_MS, now);

  return blind * (1 + caution / MAX (service->rejections_max, 1));
}

/* Begins VERSION of SERVICE, with REJECTIONS_MAX.  */
static void
begin_version (struct room_service *service, uint32_t version,
               uint32_t rejections_max, clk_ms now)
{
  service->version = version;
  service->rejections_max = rejections_max;
  service->since_ms = now;
}

/* Counts a rejection at NOW.  */
static void
record_rejection (struct room *room, clk_ms now)
{
  room->rejected_ms[room->rejections++ % ROOM_REJECTIONS_KEPT] = now;
}

/* Lowers the limit of ROOM to LIMIT.  After little growth it grows more slowly
   than before.  */
static void
lower (struct room *room, int32_t slots, int32_t limit, clk_ms now)
{
  int32_t grown
      = room->limit > 0 ? room_limit (room, slots, now) - room->limit : 0;

  if (grown >= GROWN_WELL)
    room->growth_ms = GROWTH_MIN_MS;
  else if (grown > 0)
    room->growth_ms = MIN (2 * room->growth_ms, GROWTH_MAX_MS);
  room->limit = limit;
  room->lowered_ms = now;
}

/* Returns how many of the rejections that are kept are of the last
   WINDOW_MS.  */
static uint32_t
recent_rejections (const struct room *room, int64_t window_ms, clk_ms now)
{
  uint32_t kept = MIN (room->rejections, ROOM_REJECTIONS_KEPT);
  uint32_t recent = 0;

  for (uint32_t i = 0; i < kept; i++)
    recent += now - room->rejected_ms[i] < window_ms;
  return recent;
}

/* Returns the number of rejections in a second from which a target that may
   turn away REJECTIONS_MAX gets next to nothing: so many are left for requests
   that are on their way.  */
static uint32_t
reserve (uint32_t rejections_max)
{
  uint32_t kept = MIN (rejections_max, ROOM_REJECTIONS_KEPT);

  return MAX (kept - kept / RESERVE_DIVISOR, 2) - 1;
}
