/* Room of brittle targets, as the instances share it.

   The instance that reads in a response that the targets of a service are
   brittle, or no longer are, tells all others; it is one state for a service,
   and follows each heartbeat while it lasts.  Those that rank highest at a
   target fill it (fleet_room_rank.c).  Each tells the others that are told of
   it (room_is_told) at once of each request that it starts or ends there,
   unless the target has many places left, and of each rejection.  What was
   told before, an instance asks for (fleet_room_news.c).  */
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  TURN_MS = 300,
  HEARD_MS = 1000, /* in which a state of a service reaches all instances */
  HEARD_HEARTBEATS = HEARD_MS / FLEET_HEARTBEAT_MS,
  ENDED_TOLD_MS = 60000 /* until all instances know of the end of a state */
};

static void tell_limit (struct fleet *fleet, const struct reg_target *target,
                        enum wire_kind kind, int32_t limit);
static void witness (struct fleet *fleet, const struct room_service *state);
static int hears_fleet (const struct fleet *fleet, clk_ms now);
static struct wire_message encode_brittle (const char *service,
                                           const struct room_service *state,
                                           uint32_t turn, clk_ms now);

/* Prepares FLEET to share the room of targets.  */
void
fleet_room_init (struct fleet *fleet)
{
  fleet->members = g_array_new (FALSE, FALSE, sizeof (struct fleet_member));
}

/* Undoes fleet_room_init.  */
void
fleet_room_clear (struct fleet *fleet)
{
  g_array_free (fleet->members, TRUE);
}

/* Handles the response of TARGET to a request that was sent at SENT_MS: it
   said that it is brittle and may turn away REJECTIONS_MAX requests in a
   second, or did not say so (IS_SAID 0).  Returns whether that is new to this
   instance.  */
int
fleet_observe_brittle (struct fleet *fleet, struct reg_target *target,
                       int is_said, uint32_t rejections_max, clk_ms sent_ms)
{
  struct room_service *state = target->room_service;
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message;

  if (!room_observe (state, is_said ? reg_get_room (target) : target->room,
                     is_said, rejections_max, sent_ms, now))
    return 0;
  fleet_rank_rooms (fleet, now);
  if (hears_fleet (fleet, now))
    witness (fleet, state);
  message = encode_brittle (target->service, state, fleet->turn, now);
  fleet_broadcast (fleet, &message);
  return 1;
}

/* Counts a request for SERVICE that has arrived at this instance, if the
   targets of SERVICE are brittle.  */
void
fleet_count_arrival (struct fleet *fleet, const char *service)
{
  struct room_service *state = reg_room_service (fleet->registry, service);
  clk_ms now = clk_now (clk_monotonic ());

  if (state != NULL && room_is_brittle (state, now))
    room_count_request (state, now);
}

/* Handles the datagrams that have arrived, so that the next choice of a target
   rests on what others have told, also while this instance was busy with
   something else.  */
void
fleet_hear_loads (struct fleet *fleet)
{
  fleet_on_datagram (fleet->loop, &fleet->io, EV_READ);
  fleet_room_check_stall (fleet, clk_now (clk_monotonic ()));
}

/* Handles a rejection by TARGET, which is brittle, of a request that was sent
   at SENT_MS and still counts as in progress there, and tells those that share
   its room.  RUNNING requests were at work there, -1 if it did not say.
   Returns how many requests may be in progress there.  */
int32_t
fleet_reject_room (struct fleet *fleet, struct reg_target *target,
                   int32_t running, clk_ms sent_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  double others = reg_counted_load (target) - 1
                  + room_missing (reg_get_room (target), now);
  int32_t limit = room_reject (reg_get_room (target), target->slots,
                               running > 0 ? running : others, sent_ms, now);

  tell_limit (fleet, target, WIRE_REJECTED, limit);
  return limit;
}

/* Handles that TARGET, which is brittle, lets requests wait and works on LIMIT
   others, and tells those that share its room if it takes less than was known
   so far.  */
void
fleet_limit_room (struct fleet *fleet, struct reg_target *target,
                  int32_t limit)
{
  if (room_apply_limit (reg_get_room (target), target->slots, MAX (limit, 1),
                        clk_now (clk_monotonic ())))
    tell_limit (fleet, target, WIRE_ROOM_LIMIT, MAX (limit, 1));
}

/* Tells those that share the room of TARGET its LIMIT, by a message of
   KIND.  */
static void
tell_limit (struct fleet *fleet, const struct reg_target *target,
            enum wire_kind kind, int32_t limit)
{
  struct wire_message message
      = { .kind = kind,
          .u.rejected = { .target = target->hash, .limit = (uint32_t)limit } };

  fleet_tell_room (fleet, target, &message);
}

/* Handles a rejection that another instance has told.  */
void
fleet_apply_rejected (struct fleet *fleet,
                      const struct wire_rejected *rejected)
{
  struct reg_target *target
      = reg_find_hash (fleet->registry, rejected->target);

  if (target != NULL
      && room_is_brittle (target->room_service, clk_now (clk_monotonic ())))
    room_apply_rejection (reg_get_room (target), target->slots,
                          (int32_t)rejected->limit,
                          clk_now (clk_monotonic ()));
}

/* Handles a limit that another instance has told.  */
void
fleet_apply_limit (struct fleet *fleet, const struct wire_rejected *told)
{
  struct reg_target *target = reg_find_hash (fleet->registry, told->target);
  clk_ms now = clk_now (clk_monotonic ());

  if (target != NULL && room_is_brittle (target->room_service, now))
    room_apply_limit (reg_get_room (target), target->slots,
                      (int32_t)told->limit, now);
}

/* Tells those that share the room of TARGET how many requests this instance
   has there, if they are to know at once.  Returns whether it did.  */
int
fleet_tell_load (struct fleet *fleet, struct reg_target *target)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message
      = { .kind = WIRE_LOADS,
          .u.loads = { .count = 1,
                       .load = { { .target = target->hash,
                                   .load = target->in_flight } } } };

  if (target->room == NULL || !room_is_brittle (target->room_service, now)
      || room_is_far (room_limit (target->room, target->slots, now),
                      reg_counted_load (target)))
    return 0;
  fleet_tell_room (fleet, target, &message);
  return 1;
}

/* Adopts the state of a service that another instance has told, if it is
   newer.  */
void
fleet_apply_brittle (struct fleet *fleet, const struct wire_brittle *brittle)
{
  clk_ms now = clk_now (clk_monotonic ());
  int hears = hears_fleet (fleet, now);
  GHashTableIter iter;
  gpointer service;
  gpointer state;
  int is_changed = brittle->turn > fleet->turn;
  struct room_service *begun = NULL;

  if (is_changed)
    {
      fleet->turn = brittle->turn;
      fleet->turned_ms = now;
    }
  g_hash_table_iter_init (&iter, fleet->registry->services);
  while (g_hash_table_iter_next (&iter, &service, &state))
    if (rank_hash (service) == brittle->service
        && room_adopt (state, brittle->version, brittle->rejections_max,
                       brittle->age_ms, now))
      begun = state;
  if (is_changed || begun != NULL)
    fleet_rank_rooms (fleet, now);
  if (begun != NULL && hears)
    witness (fleet, begun);
}

/* Records that STATE has begun while this instance heard the others, so that
   there is nothing that it was not told.  */
static void
witness (struct fleet *fleet, const struct room_service *state)
{
  for (guint i = 0; i < fleet->registry->array->len; i++)
    {
      struct reg_target *target
          = g_ptr_array_index (fleet->registry->array, i);

      if (target->room_service == state && target->room != NULL)
        target->room->is_known = 1;
    }
}

/* Returns whether this instance would have heard before NOW of a state that
   began earlier.  */
static int
hears_fleet (const struct fleet *fleet, clk_ms now)
{
  return fleet->heartbeat_count >= HEARD_HEARTBEATS
         && now - fleet->rooms_forgotten_ms >= HEARD_MS
         && fleet_hears_most (fleet, now);
}

/* Sends ADDRESS the states of services that are, or lately were, brittle.  */
void
fleet_send_brittle (struct fleet *fleet, const struct sockaddr_in *address)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer service;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->registry->services);
  while (g_hash_table_iter_next (&iter, &service, &value))
    {
      const struct room_service *state = value;
      struct wire_message message;

      if (!room_is_brittle (state, now)
          && (state->version == 0 || now - state->since_ms > ENDED_TOLD_MS))
        continue;
      message = encode_brittle (service, state, fleet->turn, now);
      fleet_send (fleet, address, &message);
    }
}

/* Does the work that is due with each heartbeat, as instances and targets come
   and go, and begins the next turn when it is time.  The first instance that
   does so tells the others.  */
void
fleet_room_tick (struct fleet *fleet, clk_ms now)
{
  GHashTableIter iter;
  gpointer service;
  gpointer state;
  int any = 0;

  g_hash_table_iter_init (&iter, fleet->registry->services);
  while (!any && g_hash_table_iter_next (&iter, &service, &state))
    any = room_is_brittle (state, now);
  if (any && now - fleet->turned_ms >= TURN_MS)
    {
      struct wire_message message;

      fleet->turn++;
      fleet->turned_ms = now;
      message = encode_brittle (service, state, fleet->turn, now);
      fleet_broadcast (fleet, &message);
    }
  fleet_room_check_stall (fleet, now);
  if (any || fleet->members->len > 0)
    fleet_rank_rooms (fleet, now);
  if (any)
    fleet_ask_rooms (fleet, now);
}

/* Returns the STATE of SERVICE, and the TURN, for other instances.  */
static struct wire_message
encode_brittle (const char *service, const struct room_service *state,
                uint32_t turn, clk_ms now)
{
  return (struct wire_message){ .kind = WIRE_BRITTLE,
                                .u.brittle
                                = { .service = rank_hash (service),
                                    .version = state->version,
                                    .rejections_max = state->rejections_max,
                                    .age_ms = (uint32_t)CLAMP (
                                        now - state->said_ms, 0, INT32_MAX),
                                    .turn = turn } };
}
