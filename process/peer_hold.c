/* Datagram protocol between the instances: hold messages.

   A hold message lists the grants that an instance holds for a target.  The
   owner reconciles its own list with it, which repairs the effect of lost
   releases and answers and gives a new owner the load of the target.  */
#include <math.h>
#include <string.h>

#include "libpeer.h"

static void add_released_targets (struct peer *peer, GHashTable *by_target);
static void send_hold (struct peer *peer, uint64_t target, uint32_t domain,
                       const GArray *grants, int is_due, clk_ms now);

/* Reports the grants held here to the owners of their targets: all of them
   every PEER_HOLD_INTERVAL_MS, and at once those of targets whose owner has
   changed.  */
void
hold_send_all (struct peer *peer, clk_ms now)
{
  GHashTable *by_target = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, g_free, (GDestroyNotify)g_array_unref);
  GHashTable *domains = g_hash_table_new (g_int64_hash, g_int64_equal);
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  int is_due = now >= peer->next_hold_ms;

  for (int i = 0; i < PEER_GRANT_SHARDS; i++)
    {
      struct peer_grant_shard *shard = &peer->grant_shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->held);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const struct peer_grant *held = value;
          GArray *grants = g_hash_table_lookup (by_target, &held->target);

          if (grants == NULL)
            {
              uint64_t *target = g_new (uint64_t, 1);

              *target = held->target;
              grants = g_array_new (FALSE, FALSE, sizeof (uint32_t));
              g_hash_table_insert (by_target, target, grants);
              g_hash_table_insert (domains, target,
                                   GUINT_TO_POINTER (held->domain));
            }
          g_array_append_val (grants, held->grant);
        }
      pthread_mutex_unlock (&shard->lock);
    }
  if (is_due)
    peer->next_hold_ms = now + PEER_HOLD_INTERVAL_MS;
  if (is_due)
    add_released_targets (peer, by_target);
  g_hash_table_iter_init (&iter, by_target);
  while (g_hash_table_iter_next (&iter, &key, &value))
    send_hold (peer, *(uint64_t *)key,
               GPOINTER_TO_UINT (g_hash_table_lookup (domains, key)), value,
               is_due, now);
  g_hash_table_destroy (domains);
  g_hash_table_destroy (by_target);
}

/* Adds an empty list to BY_TARGET for each target whose last hold message
   listed grants but for which no grant is held now, so that the owner of the
   target drops grants whose release was lost.  */
static void
add_released_targets (struct peer *peer, GHashTable *by_target)
{
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, peer->last_hold_owner);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      uint64_t *target;

      if (g_hash_table_contains (by_target, key))
        continue;
      target = g_new (uint64_t, 1);
      *target = *(const uint64_t *)key;
      g_hash_table_insert (by_target, target,
                           g_array_new (FALSE, FALSE, sizeof (uint32_t)));
    }
}

/* Sends the list of GRANTS for TARGET, of failure domain DOMAIN, to the owner
   of TARGET if IS_DUE is not 0 or the owner has changed.  A list longer than
   WIRE_GRANTS_MAX does not fit into a datagram and is not sent.  */
static void
send_hold (struct peer *peer, uint64_t target, uint32_t domain,
           const GArray *grants, int is_due, clk_ms now)
{
  struct wire_message message = { .kind = WIRE_HOLD };
  struct member_info owner = { 0 };
  gpointer last_owner;
  uint64_t *key;
  int found = owner_find (peer, target, domain, now, &owner);

  if (found < 0)
    return;
  if (found == 0)
    owner.id = peer->self;
  last_owner = g_hash_table_lookup (peer->last_hold_owner, &target);
  if (!is_due && GPOINTER_TO_UINT (last_owner) == owner.id)
    return;
  if (grants->len == 0)
    g_hash_table_remove (peer->last_hold_owner, &target);
  else
    {
      key = g_new (uint64_t, 1);
      *key = target;
      g_hash_table_replace (peer->last_hold_owner, key,
                            GUINT_TO_POINTER (owner.id));
    }
  if (found == 0)
    {
      adm_reconcile (peer->adm_state, target, peer->self,
                     (const uint32_t *)(const void *)grants->data, grants->len,
                     now);
      return;
    }
  if (grants->len > WIRE_GRANTS_MAX)
    return;
  message.u.hold.target = target;
  message.u.hold.count = grants->len;
  if (grants->len > 0)
    memcpy (message.u.hold.grants, grants->data,
            grants->len * sizeof (uint32_t));
  peer_send (peer, &owner.address, &message, BUDGET_RECONCILE,
             METRIC_SENT_HOLD_BYTES);
}
