/* Datagram protocol between the instances: assignment of the targets to their
   owners. */
#include <string.h>

#include "ibisloom/assign.h"
#include "libpeer.h"

enum
{
  DOMAINS_MAX = 64
};

static uint64_t view_hash (struct peer *peer,
                           const struct ver_snapshot *version,
                           const GArray *domains, clk_ms now);
static GArray *list_domains (const struct ver_snapshot *version);
static void assign_domain (struct peer *peer,
                           const struct ver_snapshot *version, uint32_t domain,
                           clk_ms now);
static int is_owned_kind (const struct ver_snapshot *version,
                          const struct ver_target *target);

/* Finds the owner of TARGET, which is in failure domain DOMAIN.  Returns 1 and
   fills OWNER, 0 if this instance is the owner, -1 if there is none.  */
int
owner_find (struct peer *peer, uint64_t target, uint32_t domain, clk_ms now,
            struct member_info *owner)
{
  gpointer id;
  int known;

  pthread_mutex_lock (&peer->owner_lock);
  known = g_hash_table_lookup_extended (peer->owners, &target, NULL, &id);
  pthread_mutex_unlock (&peer->owner_lock);
  if (known)
    return member_find (peer->member_table, GPOINTER_TO_UINT (id), owner);
  return member_owner (peer->member_table, target, domain, 0, now, owner);
}

/* Reassigns the targets of VERSION to owners if the revision of VERSION or the
   set of usable members has changed.  */
void
owner_update (struct peer *peer, const struct ver_snapshot *version,
              clk_ms now)
{
  GArray *domains = list_domains (version);
  uint64_t hash = view_hash (peer, version, domains, now);

  if (hash != peer->owner_view_hash)
    {
      peer->owner_view_hash = hash;
      pthread_mutex_lock (&peer->owner_lock);
      g_hash_table_remove_all (peer->owners);
      for (guint i = 0; i < domains->len; i++)
        assign_domain (peer, version, g_array_index (domains, uint32_t, i),
                       now);
      pthread_mutex_unlock (&peer->owner_lock);
    }
  g_array_free (domains, TRUE);
}

/* Assigns the targets of failure domain DOMAIN to its usable members.  The
   caller holds owner_lock.  */
static void
assign_domain (struct peer *peer, const struct ver_snapshot *version,
               uint32_t domain, clk_ms now)
{
  struct rank_node nodes[PEER_MEMBERS_MAX + 1];
  size_t count = member_usable_nodes (peer->member_table, domain, now, nodes,
                                      G_N_ELEMENTS (nodes));
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint32_t *owners;

  for (guint i = 0; i < version->targets->len; i++)
    {
      const struct ver_target *target = ver_target_at (version, i);

      if (target->domain_id == domain && is_owned_kind (version, target))
        g_array_append_val (targets, target->id);
    }
  owners = g_new0 (uint32_t, targets->len + 1);
  assign_owners ((const uint64_t *)(const void *)targets->data, targets->len,
                 nodes, count, owners);
  for (guint i = 0; i < targets->len && count > 0; i++)
    {
      uint64_t *key = g_new (uint64_t, 1);

      *key = g_array_index (targets, uint64_t, i);
      g_hash_table_insert (peer->owners, key, GUINT_TO_POINTER (owners[i]));
    }
  g_free (owners);
  g_array_free (targets, TRUE);
}

/* Returns a hash of the revision of VERSION and the usable members of
   DOMAINS.  */
static uint64_t
view_hash (struct peer *peer, const struct ver_snapshot *version,
           const GArray *domains, clk_ms now)
{
  struct rank_node nodes[PEER_MEMBERS_MAX + 1];
  uint64_t hash = version->revision * 0x9e3779b97f4a7c15ULL + 1;

  for (guint i = 0; i < domains->len; i++)
    {
      size_t count = member_usable_nodes (peer->member_table,
                                          g_array_index (domains, uint32_t, i),
                                          now, nodes, G_N_ELEMENTS (nodes));
      uint64_t sum = 0;

      for (size_t j = 0; j < count; j++)
        sum += nodes[j].id * nodes[j].id;
      hash = (hash ^ sum) * 0xbf58476d1ce4e5b9ULL + i;
    }
  return hash;
}

/* Returns the failure domains of the targets of VERSION, at most
   DOMAINS_MAX.  */
static GArray *
list_domains (const struct ver_snapshot *version)
{
  GArray *domains = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (guint i = 0; i < version->targets->len; i++)
    {
      uint32_t domain = ver_target_at (version, i)->domain_id;
      guint j = 0;

      while (j < domains->len
             && g_array_index (domains, uint32_t, j) != domain)
        j++;
      if (j == domains->len && domains->len < DOMAINS_MAX)
        g_array_append_val (domains, domain);
    }
  return domains;
}

/* Returns whether TARGET has an owner: targets of chat services do.  */
static int
is_owned_kind (const struct ver_snapshot *version,
               const struct ver_target *target)
{
  return g_array_index (version->services, struct ver_service, target->service)
             .kind
         == VER_KIND_CHAT;
}
