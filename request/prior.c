/* Prior versions.

   While one software version of a service serves, its streams need no record
   that outlasts all instances: they are all of that one.  When a second one
   comes, the first is noted here, so that this still holds for the streams of
   before.  It holds as long as streams of other versions are not forgotten, in
   two steps.  Until a version is open, that is, until the store no longer has
   the prior one, none but the prior one begins streams, and instances that
   start may take it from the store.  From then on it is known to those alone
   that have run since, and only while enough of these run on: each stream is
   known to several instances.  */
#include <glib.h>

#include "ibisloom/prior.h"

enum
{
  /* A stream is known to more instances than this.  */
  ENDS_MIN = 3,
  /* If a smaller share of the instances than one in ENDS_DIVISOR has ended,
     hardly a stream has lost all that know it.  */
  ENDS_DIVISOR = 4
};

struct prior
{
  struct origin_version version;
  clk_ms until_ms;   /* until its streams are no longer taken up */
  uint32_t ends;     /* of other instances, when it was noted */
  uint8_t is_open;   /* other versions may begin streams */
  uint8_t is_stored; /* in the store, as far as is known */
};

struct priors
{
  GArray *array; /* of struct prior */
};

static struct prior *find (const struct priors *priors, uint64_t service);

/* Returns an empty table of prior versions.  */
struct priors *
prior_new (void)
{
  struct priors *priors = g_new0 (struct priors, 1);

  priors->array = g_array_new (FALSE, FALSE, sizeof (struct prior));
  return priors;
}

/* Frees PRIORS.  */
void
prior_free (struct priors *priors)
{
  g_array_free (priors->array, TRUE);
  g_free (priors);
}

/* Returns the prior version of SERVICE, or NULL.  */
static struct prior *
find (const struct priors *priors, uint64_t service)
{
  for (guint i = 0; i < priors->array->len; i++)
    {
      struct prior *prior = &g_array_index (priors->array, struct prior, i);

      if (prior->version.service == service)
        return prior;
    }
  return NULL;
}

/* Notes that VERSION was the only one of its service until NOW, when ENDS
   other instances had ended.  An earlier one of the service stays.  */
void
prior_note (struct priors *priors, const struct origin_version *version,
            uint32_t ends, clk_ms now)
{
  struct prior *known = find (priors, version->service);
  struct prior added = { .version = *version,
                         .until_ms = now + ORIGIN_KEPT_MS,
                         .ends = ends };

  if (known == NULL)
    g_array_append_val (priors->array, added);
  else if (known->version.software == version->software && !known->is_open)
    {
      known->until_ms = added.until_ms;
      known->ends = ends;
    }
}

/* Returns the software that began the streams of SERVICE of which nobody
   knows the origin, or 0 if that cannot be said.  ENDS other instances have
   ended so far, and LIVE run.  */
uint64_t
prior_find (const struct priors *priors, uint64_t service, uint32_t ends,
            uint32_t live)
{
  const struct prior *prior = find (priors, service);
  uint32_t lost;

  if (prior == NULL)
    return 0;
  lost = ends - prior->ends;
  return lost <= MAX (ENDS_MIN, (live + lost) / ENDS_DIVISOR)
             ? prior->version.software
             : 0;
}

/* Returns how many services have a prior version.  */
uint32_t
prior_count (const struct priors *priors)
{
  return priors->array->len;
}

/* Called when VERSION is to begin streams, or has: if another one is the prior
   one of the service, the store is no longer to have that.  */
void
prior_open (struct priors *priors, const struct origin_version *version)
{
  struct prior *prior = find (priors, version->service);

  if (prior != NULL && prior->version.software != version->software)
    prior->is_open = 1;
}

/* Returns whether streams may begin at VERSION: the store has no other version
   as the prior one of the service.  */
int
prior_allows (const struct priors *priors,
              const struct origin_version *version)
{
  const struct prior *prior = find (priors, version->service);

  return prior == NULL || prior->version.software == version->software
         || !prior->is_stored;
}

/* Stores in VERSION the next prior version at CURSOR that the store is to
   have.  Returns 0 after the last one.  */
int
prior_next (const struct priors *priors, struct origin_cursor *cursor,
            struct origin_version *version)
{
  while (cursor->next < priors->array->len)
    {
      const struct prior *prior
          = &g_array_index (priors->array, struct prior, cursor->next++);

      *version = prior->version;
      if (!prior->is_open)
        return 1;
    }
  return 0;
}

/* Called when the store has been written: it has those prior versions alone
   for which prior_set_stored is called next.  */
void
prior_clear_stored (struct priors *priors)
{
  for (guint i = 0; i < priors->array->len; i++)
    g_array_index (priors->array, struct prior, i).is_stored = 0;
}

/* Records that the store has VERSION as a prior one.  */
void
prior_set_stored (struct priors *priors, const struct origin_version *version)
{
  struct prior *prior = find (priors, version->service);

  if (prior != NULL && prior->version.software == version->software)
    prior->is_stored = 1;
}

/* Forgets the prior versions whose streams are no longer taken up at NOW.
   Those that the store has, or is to have, stay.  */
void
prior_expire (struct priors *priors, clk_ms now)
{
  for (guint i = priors->array->len; i > 0; i--)
    {
      const struct prior *prior
          = &g_array_index (priors->array, struct prior, i - 1);

      if (now >= prior->until_ms && !prior->is_stored)
        g_array_remove_index (priors->array, i - 1);
    }
}
