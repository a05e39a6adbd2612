/* Ranks of the instances at brittle targets.

   The instances are in the order of their ids, and each target has a place in
   this order, spread evenly over it, so that every instance ranks high at
   about as many targets; with each turn, all places move by up to one
   instance, to those that come before.  */
#include <stdlib.h>
#include <string.h>

#include "libfleet.h"

static void list_members (struct fleet *fleet, clk_ms now);
static int compare_members (const void *left, const void *right);
static int compare_targets (const void *left, const void *right);
static void rank_targets (struct fleet *fleet, const char *service,
                          clk_ms now);
static void drop_rooms (struct fleet *fleet, clk_ms now);
static uint32_t first_at_turn (const struct fleet *fleet, guint index,
                               guint count);
static uint64_t turns_around (const struct fleet *fleet);

/* Determines the rank of this instance at all brittle targets.  */
void
fleet_rank_rooms (struct fleet *fleet, clk_ms now)
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

/* Determines the rank of this instance at the targets of SERVICE.  */
static void
rank_targets (struct fleet *fleet, const char *service, clk_ms now)
{
  GPtrArray *targets = g_ptr_array_new ();
  uint32_t members = fleet->members->len;
  uint32_t own = fleet_own_member (fleet);

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
      struct room *room = reg_get_room (g_ptr_array_index (targets, i));
      uint32_t first = first_at_turn (fleet, i, targets->len);

      room_set_rank (room, (own + members - first) % members, members, now);
      /* There is nobody to ask.  */
      room->is_known |= members == 1;
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

/* Returns the position in the order of the member that ranks first at the
   target INDEX of COUNT.  The places of the targets, and by how much these
   move with a turn, depend on the instances that are known, and only the
   member at a place on those that live: while instances differ on who lives,
   they differ by as many ranks, not on all.  */
static uint32_t
first_at_turn (const struct fleet *fleet, guint index, guint count)
{
  uint64_t turns = turns_around (fleet);
  uint64_t way = (uint64_t)count * turns;
  uint64_t at = (uint64_t)index * turns
                + (uint64_t)count * (turns - fleet->turn % turns);

  return (uint32_t)(at % way * fleet->members->len / way);
}

/* Returns after how many turns each instance has ranked first at each target:
   the number of the instances, dead ones included, or the next power of
   two.  */
static uint64_t
turns_around (const struct fleet *fleet)
{
  uint64_t turns = 1;

  while (turns < fleet_size (fleet))
    turns *= 2;
  return turns;
}

/* Returns the position of this instance among the members.  */
uint32_t
fleet_own_member (const struct fleet *fleet)
{
  uint32_t own = 0;

  while (g_array_index (fleet->members, struct fleet_member, own).id
         != fleet->self)
    own++;
  return own;
}

/* Sends MESSAGE to the instances that are told of requests at TARGET.  */
void
fleet_tell_room (struct fleet *fleet, const struct reg_target *target,
                 struct wire_message *message)
{
  struct sockaddr_in addresses[ROOM_TOLD_MAX];
  uint32_t members = fleet->members->len;
  uint32_t count = 0;
  uint32_t first;

  if (members == 0 || target->room->rank == ROOM_UNRANKED)
    return;
  first = fleet_own_member (fleet) + 2 * members - target->room->rank % members
          - ROOM_AHEAD % members;
  for (uint32_t i = 0; i < MIN (members, ROOM_TOLD_MAX); i++)
    {
      const struct fleet_member *member = &g_array_index (
          fleet->members, struct fleet_member, (first + i) % members);

      if (member->id != fleet->self)
        addresses[count++] = member->address;
    }
  if (count > 0)
    fleet_send_many (fleet, message, addresses, count);
}
