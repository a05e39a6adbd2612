/* Room of brittle targets, as the instances share it.

   The instance that reads in a response that the targets of a service are
   brittle, or no longer are, tells all others; it is one state for a service,
   and follows each heartbeat while it lasts.  The instances are in the order
   of their ids, and each target has its first one in a part of this order of
   its own, so that every instance ranks high at about as many targets; with
   each turn, all move on by one.  Those that rank highest fill a target; they
   tell each other at once of each request that starts or ends there, unless it
   has many places left, and of each rejection.  */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  TURN_MS = 300,
  ENDED_TOLD_MS = 60000 /* until all instances know of the end of a state */
};

static void arrange (struct fleet *fleet, clk_ms now);
static void list_members (struct fleet *fleet, clk_ms now);
static int compare_members (const void *left, const void *right);
static int compare_targets (const void *left, const void *right);
static void rank_targets (struct fleet *fleet, const char *service,
                          clk_ms now);
static void drop_rooms (struct fleet *fleet, clk_ms now);
static uint32_t first_member (const struct fleet *fleet,
                              const struct reg_target *target);
static void tell_sharers (struct fleet *fleet, const struct reg_target *target,
                          struct wire_message *message);
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
  arrange (fleet, now);
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

/* Handles the datagrams that have arrived, if targets of SERVICE are brittle
   or targets are cold or have a pace, so that the next choice among them rests
   on what others have told.  */
void
fleet_hear_loads (struct fleet *fleet, const char *service)
{
  const struct room_service *state
      = reg_room_service (fleet->registry, service);
  clk_ms now = clk_now (clk_monotonic ());

  if (now < fleet->cold_until_ms || fleet->paced > 0
      || (state != NULL && room_is_brittle (state, now)))
    fleet_on_datagram (fleet->loop, &fleet->io, EV_READ);
}

/* Handles a rejection by TARGET, which is brittle, of a request that was sent
   at SENT_MS and still counts as in progress there, and tells those that share
   its room.  Returns how many requests may be in progress there.  */
int32_t
fleet_reject_room (struct fleet *fleet, struct reg_target *target,
                   clk_ms sent_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  double others = reg_counted_load (target) - 1;
  int32_t limit = room_reject (reg_get_room (target), target->slots, others,
                               sent_ms, now);
  struct wire_message message
      = { .kind = WIRE_REJECTED,
          .u.rejected = { .target = target->hash, .limit = (uint32_t)limit } };

  tell_sharers (fleet, target, &message);
  return limit;
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
  tell_sharers (fleet, target, &message);
  return 1;
}

/* Adopts the state of a service that another instance has told, if it is
   newer.  */
void
fleet_apply_brittle (struct fleet *fleet, const struct wire_brittle *brittle)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer service;
  gpointer state;
  int is_changed = brittle->turn > fleet->turn;

  if (is_changed)
    {
      fleet->turn = brittle->turn;
      fleet->turned_ms = now;
    }
  g_hash_table_iter_init (&iter, fleet->registry->services);
  while (g_hash_table_iter_next (&iter, &service, &state))
    if (rank_hash (service) == brittle->service)
      is_changed |= room_adopt (state, brittle->version,
                                brittle->rejections_max, brittle->age_ms, now);
  if (is_changed)
    arrange (fleet, now);
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
  if (any || fleet->members->len > 0)
    arrange (fleet, now);
}

/* Determines the rank of this instance at all brittle targets.  */
static void
arrange (struct fleet *fleet, clk_ms now)
{
  GHashTableIter iter;
  gpointer service;
  gpointer state;

  g_array_set_size (fleet->members, 0);
  drop_rooms (fleet, now);
  g_hash_table_iter_init (&iter, fleet->registry->services);
  while (g_hash_table_iter_next (&iter, &service, &state))
    {
      if (!room_is_brittle (state, now))
        continue;
      if (fleet->members->len == 0)
        list_members (fleet, now);
      rank_targets (fleet, service, now);
    }
}

/* Lists the instances that are neither silent nor leaving, and this one, in
   the order of their ids.  */
static void
list_members (struct fleet *fleet, clk_ms now)
{
  struct fleet_member own = { .id = fleet->self };
  GHashTableIter iter;
  gpointer value;

  g_array_append_val (fleet->members, own);
  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;
      struct fleet_member member
          = { .id = peer->id, .address = peer->address };

      if (peer->state != MEMBER_LEAVING && !fleet_is_silent (fleet, peer, now))
        g_array_append_val (fleet->members, member);
    }
  g_array_sort (fleet->members, compare_members);
}

static int
compare_members (const void *left, const void *right)
{
  const struct fleet_member *a = left;
  const struct fleet_member *b = right;

  return a->id < b->id ? -1 : a->id > b->id;
}

static int
compare_targets (const void *left, const void *right)
{
  const struct reg_target *a = *(struct reg_target *const *)left;
  const struct reg_target *b = *(struct reg_target *const *)right;

  return a->hash < b->hash ? -1 : a->hash > b->hash;
}

/* Determines the rank of this instance at the targets of SERVICE, whose first
   instances are spread evenly over the members.  */
static void
rank_targets (struct fleet *fleet, const char *service, clk_ms now)
{
  GPtrArray *targets = g_ptr_array_new ();
  uint32_t members = fleet->members->len;
  uint32_t own = 0;

  while (g_array_index (fleet->members, struct fleet_member, own).id
         != fleet->self)
    own++;
  for (guint i = 0; i < fleet->registry->array->len; i++)
    {
      struct reg_target *target
          = g_ptr_array_index (fleet->registry->array, i);

      if (target->service == service && !target->leaving)
        g_ptr_array_add (targets, target);
    }
  g_ptr_array_sort (targets, compare_targets);
  for (guint i = 0; i < targets->len; i++)
    {
      uint32_t first = (uint32_t)((uint64_t)i * members / targets->len);

      room_set_rank (reg_get_room (g_ptr_array_index (targets, i)),
                     (own + members - first + fleet->turn % members) % members,
                     now);
    }
  g_ptr_array_free (targets, TRUE);
}

/* Forgets the rooms of targets that are not brittle.  */
static void
drop_rooms (struct fleet *fleet, clk_ms now)
{
  for (guint i = 0; i < fleet->registry->array->len; i++)
    {
      struct reg_target *target
          = g_ptr_array_index (fleet->registry->array, i);

      if (target->room == NULL || room_is_brittle (target->room_service, now))
        continue;
      g_free (target->room);
      target->room = NULL;
    }
}

/* Returns the position of the member that ranks first at TARGET.  */
static uint32_t
first_member (const struct fleet *fleet, const struct reg_target *target)
{
  uint32_t members = fleet->members->len;
  uint32_t own = 0;

  while (g_array_index (fleet->members, struct fleet_member, own).id
         != fleet->self)
    own++;
  return (own + members - target->room->rank % members) % members;
}

/* Sends MESSAGE to the instances that share the room of TARGET.  */
static void
tell_sharers (struct fleet *fleet, const struct reg_target *target,
              struct wire_message *message)
{
  uint32_t members = fleet->members->len;
  uint32_t first;

  if (members == 0 || target->room->rank == ROOM_UNRANKED)
    return;
  first = first_member (fleet, target);
  for (uint32_t i = 0; i < MIN (members, ROOM_SHARERS_MAX); i++)
    {
      const struct fleet_member *member = &g_array_index (
          fleet->members, struct fleet_member, (first + i) % members);

      if (member->id != fleet->self)
        fleet_send (fleet, &member->address, message);
    }
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
