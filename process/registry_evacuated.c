/* Targets in evacuated failure domains. */
#include "ibisloom/rank.h"
#include "ibisloom/registry.h"

/* Sets whether the FAILURE_DOMAIN, the hash of its name, is evacuated.  This
   applies to its present and future targets.  Returns how many there are.  */
uint32_t
reg_set_evacuated (struct registry *registry, uint64_t failure_domain,
                   int is_evacuated)
{
  uint32_t count = 0;

  if (is_evacuated)
    g_hash_table_add (registry->evacuated, GSIZE_TO_POINTER (failure_domain));
  else
    g_hash_table_remove (registry->evacuated,
                         GSIZE_TO_POINTER (failure_domain));
  for (guint i = 0; i < registry->array->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (registry->array, i);

      if (rank_hash (target->failure_domain) != failure_domain)
        continue;
      target->is_evacuated = is_evacuated != 0;
      count++;
    }
  return count;
}

/* Returns whether the domain named FAILURE_DOMAIN is evacuated.  */
int
reg_is_evacuated (const struct registry *registry, const char *failure_domain)
{
  return g_hash_table_contains (registry->evacuated,
                                GSIZE_TO_POINTER (rank_hash (failure_domain)));
}

/* Returns whether any failure domain is evacuated.  */
int
reg_has_evacuated (const struct registry *registry)
{
  return g_hash_table_size (registry->evacuated) > 0;
}

/* Returns how many targets of SERVICE, which is interned, are evacuated and
   neither leaving nor missing, and stores in LOAD how many requests are in
   progress there.  */
uint32_t
reg_count_evacuated (const struct registry *registry, const char *service,
                     double *load)
{
  uint32_t count = 0;

  *load = 0;
  for (guint i = 0; reg_has_evacuated (registry) && i < registry->array->len;
       i++)
    {
      const struct reg_target *target = g_ptr_array_index (registry->array, i);

      if (target->service != service || !target->is_evacuated
          || target->leaving || target->missing_until_ms != 0)
        continue;
      *load += reg_counted_load (target);
      count++;
    }
  return count;
}
