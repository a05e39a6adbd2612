/* Assignment of targets to the instances that own them. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/assign.h"

static int compare_ids (const void *a, const void *b);
static uint32_t first_below_limit (uint64_t target,
                                   const struct rank_node *instances,
                                   size_t instance_count, size_t *assigned,
                                   size_t limit);

/* Sets OWNERS[i] to the identifier of the instance that owns TARGETS[i]: the
   first in the target's rendezvous ranking that owns fewer than the even
   share, rounded up (consistent hashing with bounded loads, Mirrokni et al.
   2018).  No instance owns more than that share, unless it is the first choice
   for a target whose RANK_TOP_MAX best instances all have theirs.  Instances
   with the same view of the members agree on the owners without exchanging
   messages.  */
void
assign_owners (const uint64_t *targets, size_t target_count,
               const struct rank_node *instances, size_t instance_count,
               uint32_t *owners)
{
  uint64_t *sorted;
  uint32_t *sorted_owners;
  size_t *assigned;
  size_t limit;

  if (target_count == 0 || instance_count == 0)
    return;
  sorted = g_memdup2 (targets, target_count * sizeof *targets);
  sorted_owners = g_new0 (uint32_t, target_count);
  assigned = g_new0 (size_t, instance_count);
  limit = (target_count + instance_count - 1) / instance_count;
  qsort (sorted, target_count, sizeof *sorted, compare_ids);
  for (size_t i = 0; i < target_count; i++)
    sorted_owners[i] = first_below_limit (sorted[i], instances, instance_count,
                                          assigned, limit);
  for (size_t i = 0; i < target_count; i++)
    {
      const uint64_t *found = bsearch (&targets[i], sorted, target_count,
                                       sizeof *sorted, compare_ids);

      owners[i] = sorted_owners[found - sorted];
    }
  g_free (sorted);
  g_free (sorted_owners);
  g_free (assigned);
}

/* Returns the instance ranked best for TARGET among those with fewer than
   LIMIT targets ASSIGNED, or the first choice if there is none, and counts the
   target to it.  */
static uint32_t
first_below_limit (uint64_t target, const struct rank_node *instances,
                   size_t instance_count, size_t *assigned, size_t limit)
{
  size_t top[RANK_TOP_MAX];
  size_t count
      = rank_top (target, instances, instance_count, top, RANK_TOP_MAX);
  size_t best = top[0];

  for (size_t i = 0; i < count; i++)
    if (assigned[top[i]] < limit)
      {
        best = top[i];
        break;
      }
  assigned[best]++;
  return (uint32_t)instances[best].id;
}

/* Compares identifiers, for qsort and bsearch.  */
static int
compare_ids (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}
