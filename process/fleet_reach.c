/* Which instances reach the targets of a service, as they tell each other.
   Nothing is sent but what an instance asks that is cut off itself.  */
#include "libfleet.h"

/* Sets OPS to be called with CLOSURE.  */
void
fleet_on_reach (struct fleet *fleet, const struct fleet_reach_ops *ops,
                void *closure)
{
  fleet->reach_ops = ops;
  fleet->reach_closure = closure;
}

/* Asks the instance PEER whether it reaches SERVICE.  */
void
fleet_ask_reach (struct fleet *fleet, uint32_t peer, uint64_t service)
{
  struct wire_message message
      = { .kind = WIRE_REACH_QUERY, .u.reach_query.service = service };
  const struct sockaddr_in *address = fleet_peer_address (fleet, peer);

  if (address != NULL)
    fleet_send (fleet, address, &message);
}

/* Answers the QUERY of PEER.  */
void
fleet_answer_reach (struct fleet *fleet, const struct fleet_peer *peer,
                    const struct wire_reach_query *query)
{
  struct wire_message message
      = { .kind = WIRE_REACH, .u.reach.service = query->service };

  if (fleet->reach_ops != NULL
      && fleet->reach_ops->asked (fleet->reach_closure, &message.u.reach))
    fleet_send (fleet, &peer->address, &message);
}

/* Passes on what PEER has told.  */
void
fleet_apply_reach (struct fleet *fleet, const struct fleet_peer *peer,
                   const struct wire_reach *reach)
{
  if (fleet->reach_ops != NULL)
    fleet->reach_ops->told (fleet->reach_closure, peer->id, reach);
}

/* Returns a random instance that is alive and not leaving, of the own failure
   domain if IS_LOCAL, for which IS_TAKEN returns 0, or 0 if there is none.  */
uint32_t
fleet_pick_peer (const struct fleet *fleet, int is_local,
                 int (*is_taken) (void *closure, uint32_t peer), void *closure)
{
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t found = 0;
  gint32 seen = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->state == MEMBER_LEAVING || fleet_is_silent (fleet, peer, now)
          || (is_local && peer->domain != fleet->domain)
          || is_taken (closure, peer->id))
        continue;
      if (g_random_int_range (0, ++seen) == 0)
        found = peer->id;
    }
  return found;
}

/* Returns the address of the instance PEER, or NULL if that has never been
   heard.  */
const struct sockaddr_in *
fleet_peer_address (const struct fleet *fleet, uint32_t peer)
{
  const struct fleet_peer *found
      = g_hash_table_lookup (fleet->peers, GUINT_TO_POINTER (peer));

  return found != NULL && found->last_seen_ms != 0 ? &found->address : NULL;
}

/* Returns for how long nothing of the instance PEER has arrived, INT64_MAX if
   nothing ever has.  */
int64_t
fleet_peer_silent_ms (const struct fleet *fleet, uint32_t peer)
{
  const struct fleet_peer *found
      = g_hash_table_lookup (fleet->peers, GUINT_TO_POINTER (peer));

  return found != NULL && found->last_seen_ms != 0
             ? clk_now (clk_monotonic ()) - found->last_seen_ms
             : INT64_MAX;
}

/* Returns the identifier of this instance.  */
uint32_t
fleet_self (const struct fleet *fleet)
{
  return fleet->self;
}
