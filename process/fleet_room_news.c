/* What instances ask each other of the room of brittle targets.

   An instance that is told of requests at a target from now on asks for what
   was told before: one that has come near the first rank, has just started,
   stood still, or has just read the target's entry.  It asks two of those that
   rank before and after it, each time others, until it has caught up.  */
#include "ibisloom/metrics.h"
#include "libfleet.h"

enum
{
  ASKED_IN_TURN = 3, /* pairs of instances */
  QUERIES_PER_HEARTBEAT = 8,
  ANSWERS_MIN = 2, /* of instances that do not know all, to rely on them */
  /* Longer than a heartbeat: datagrams of meanwhile may be lost.  */
  STALL_MS = 2 * FLEET_HEARTBEAT_MS
};

static void ask_members (struct fleet *fleet, struct wire_message *message);
static void ask_member (struct fleet *fleet, uint32_t at,
                        struct wire_message *message);
static void learn (struct fleet *fleet, const struct wire_room *told,
                   clk_ms now);

/* Handles, at each heartbeat and before each choice of a target, that this
   instance, or its machine, may have stood still before NOW: what it knows of
   rooms is old.  */
void
fleet_room_check_stall (struct fleet *fleet, clk_ms now)
{
  clk_ms alive_ms = clk_now (clk_boottime ());
  clk_ms before_ms = fleet->rooms_alive_ms;

  fleet->rooms_alive_ms = alive_ms;
  if (before_ms == 0 || alive_ms - before_ms <= STALL_MS)
    return;
  fleet->rooms_forgotten_ms = now;
  for (guint i = 0; i < fleet->registry->array->len; i++)
    {
      struct reg_target *target
          = g_ptr_array_index (fleet->registry->array, i);

      if (target->room != NULL && target->room->heard_ms != 0)
        room_forget (target->room, now);
    }
  fleet_ask_rooms (fleet, now);
}

/* Asks two other instances for what this one may lack of rooms at NOW.  */
void
fleet_ask_rooms (struct fleet *fleet, clk_ms now)
{
  struct wire_message message = { .kind = WIRE_ROOM_QUERY };
  struct wire_room_query *query = &message.u.room_query;
  uint32_t sent = 0;

  for (guint i = 0;
       i < fleet->registry->array->len && sent < QUERIES_PER_HEARTBEAT; i++)
    {
      struct reg_target *target
          = g_ptr_array_index (fleet->registry->array, i);

      if (target->room == NULL || !room_is_brittle (target->room_service, now)
          || !room_wants_news (target->room, now))
        continue;
      room_count_question (target->room, now);
      query->target[query->count++] = target->hash;
      if (query->count == WIRE_ROOMS_MAX)
        {
          ask_members (fleet, &message);
          query->count = 0;
          sent++;
        }
    }
  if (query->count > 0)
    ask_members (fleet, &message);
  fleet->room_questions++;
}

/* Sends MESSAGE to an instance that ranks before this one and to one that
   ranks after it, others each time.  */
static void
ask_members (struct fleet *fleet, struct wire_message *message)
{
  uint32_t members = fleet->members->len;
  uint32_t own;
  uint32_t step;

  if (members < 2)
    return;
  own = fleet_own_member (fleet);
  step = MAX (MIN (ROOM_AHEAD, members / (ASKED_IN_TURN + 1)), 1)
         * (1 + fleet->room_questions % ASKED_IN_TURN) % members;
  ask_member (fleet, own + step, message);
  ask_member (fleet, own + members - step, message);
}

/* Sends MESSAGE to the member AT, modulo their number, unless that is this
   instance.  */
static void
ask_member (struct fleet *fleet, uint32_t at, struct wire_message *message)
{
  const struct fleet_member *member = &g_array_index (
      fleet->members, struct fleet_member, at % fleet->members->len);

  if (member->id != fleet->self)
    fleet_send (fleet, &member->address, message);
}

/* Answers the QUERY of PEER with what this instance is told of.  */
void
fleet_answer_rooms (struct fleet *fleet, const struct fleet_peer *peer,
                    const struct wire_room_query *query)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message = { .kind = WIRE_ROOMS };
  struct wire_rooms *rooms = &message.u.rooms;

  fleet_room_check_stall (fleet, now);
  for (uint32_t i = 0; i < query->count; i++)
    {
      const struct reg_target *target
          = reg_find_hash (fleet->registry, query->target[i]);
      struct wire_room *room = &rooms->room[rooms->count];

      if (target == NULL || target->room == NULL
          || target->room->heard_ms == 0)
        continue;
      room->target = target->hash;
      room_get_news (target->room, target->slots, reg_counted_load (target),
                     now, &room->news);
      rooms->count++;
    }
  if (rooms->count > 0)
    fleet_send (fleet, &peer->address, &message);
}

/* Adopts ROOMS, which another instance has told.  */
void
fleet_apply_rooms (struct fleet *fleet, const struct wire_rooms *rooms)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t i = 0; i < rooms->count; i++)
    learn (fleet, &rooms->room[i], now);
}

/* Adopts what was TOLD of one room.  */
static void
learn (struct fleet *fleet, const struct wire_room *told, clk_ms now)
{
  struct reg_target *target = reg_find_hash (fleet->registry, told->target);
  uint32_t others = fleet->members->len > 0 ? fleet->members->len - 1 : 0;

  if (target == NULL || target->room == NULL || target->room->heard_ms == 0)
    return;
  if (!target->room->is_known)
    metric_inc (METRIC_ROOMS_LEARNED);
  room_learn (target->room, target->slots, &told->news,
              MIN (others, ANSWERS_MIN), reg_counted_load (target), now);
}
