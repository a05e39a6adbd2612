/* Prior versions (prior.h), as the instances note them, keep them in the store
   and take them from there.

   In the store an object that names one version of a service names its prior
   one with that.  An object that names several names the prior one as well,
   until the others may begin streams.  An instance that starts takes a prior
   version from the store if all objects that name the service agree, or, if
   the store has lost what came last, from the times at which the targets
   started.  */
#include "ibisloom/log.h"
#include "ibisloom/originjson.h"
#include "ibisloom/prior.h"
#include "libfleet.h"

enum
{
  /* A target that started less than this before an instance had not begun
     streams when the instances before it ended: its version was to be in the
     store for longer.  The times are of two clocks.  */
  TOO_LATE_MS = 500
};

/* Prior version of a service, as the objects in the store have it.  */
struct read_prior
{
  struct origin_version version; /* its software is 0 if they differ */
  int is_named;                  /* as such, in some object */
};

static void count_ends (struct fleet *fleet, clk_ms now);
static struct read_prior prior_in (const json_t *content, uint64_t service);
static void merge (GArray *all, const struct read_prior *read);
static int came_too_late (const struct fleet *fleet, uint64_t software);

/* Prepares FLEET to keep prior versions.  */
void
fleet_prior_init (struct fleet *fleet)
{
  fleet->priors = prior_new ();
  fleet->priors_read = g_array_new (FALSE, FALSE, sizeof (struct read_prior));
}

/* Undoes fleet_prior_init.  */
void
fleet_prior_clear (struct fleet *fleet)
{
  g_array_free (fleet->priors_read, TRUE);
  prior_free (fleet->priors);
}

/* Called at each heartbeat.  */
void
fleet_prior_tick (struct fleet *fleet, clk_ms now)
{
  if (prior_count (fleet->priors) == 0)
    return;
  count_ends (fleet, now);
  prior_expire (fleet->priors, now);
}

/* Counts the other instances that have ended since the last call: those that
   are silent, and those that have started again.  */
static void
count_ends (struct fleet *fleet, clk_ms now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fleet_peer *peer = value;
      uint64_t running
          = fleet_is_silent (fleet, peer, now) ? 0 : peer->incarnation;

      fleet->ends += peer->running != 0 && peer->running != running;
      peer->running = running;
    }
}

/* Notes that VERSION was the only one of its service until NOW.  An instance
   that does not know the past cannot tell.  */
void
fleet_note_prior (struct fleet *fleet, const struct origin_version *version,
                  clk_ms now)
{
  struct log_line line;

  if (!fleet_origins_are_read (fleet) || !fleet_knows_past (fleet))
    return;
  count_ends (fleet, now);
  prior_note (fleet->priors, version, fleet->ends, now);
  if (!log_begin (&line, LOG_LEVEL_INFO, "origin", NULL, "prior"))
    return;
  log_hash (&line, "software", version->software);
  log_end (&line);
}

/* Adds to CONTENT, the object of this instance, the prior versions of services
   that have several versions now.  */
void
fleet_pack_priors (const struct fleet *fleet, json_t *content)
{
  GArray *packed = g_array_new (FALSE, FALSE, sizeof (struct origin_version));
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (prior_next (fleet->priors, &cursor, &version))
    if (origin_only_version (fleet->origins, version.service) == 0)
      g_array_append_val (packed, version);
  if (packed->len > 0)
    origin_json_set_priors (content, packed);
  g_array_free (packed, TRUE);
}

/* Called when the store has CONTENT as the object of this instance.  */
void
fleet_priors_written (struct fleet *fleet, const json_t *content)
{
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  prior_clear_stored (fleet->priors);
  while (origin_json_next_prior (content, &cursor, &version))
    prior_set_stored (fleet->priors, &version);
}

/* Called when the objects in the store are about to be read.  */
void
fleet_read_priors (struct fleet *fleet)
{
  g_array_set_size (fleet->priors_read, 0);
}

/* Reads what the object CONTENT says of prior versions.  */
void
fleet_read_prior (struct fleet *fleet, const json_t *content)
{
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (origin_json_next_version (content, &cursor, &version))
    {
      struct read_prior read = prior_in (content, version.service);

      merge (fleet->priors_read, &read);
    }
}

/* Returns the prior version of SERVICE in the object CONTENT, which names
   versions of it.  */
static struct read_prior
prior_in (const json_t *content, uint64_t service)
{
  struct read_prior read = { .version.service = service };
  struct origin_cursor cursor = { 0 };
  struct origin_version version;
  int count = 0;

  while (origin_json_next_prior (content, &cursor, &version))
    if (version.service == service)
      {
        read.version = version;
        read.is_named = 1;
        return read;
      }
  cursor.next = 0;
  while (origin_json_next_version (content, &cursor, &version))
    if (version.service == service)
      {
        count++;
        read.version.software = count == 1 ? version.software : 0;
      }
  return read;
}

/* Adds READ to ALL, which has one entry a service.  */
static void
merge (GArray *all, const struct read_prior *read)
{
  for (guint i = 0; i < all->len; i++)
    {
      struct read_prior *known = &g_array_index (all, struct read_prior, i);

      if (known->version.service != read->version.service)
        continue;
      if (known->version.software != read->version.software)
        known->version.software = 0;
      known->is_named |= read->is_named;
      return;
    }
  g_array_append_vals (all, read, 1);
}

/* Called when the objects in the store have been read for the first time, and
   this instance knows the past: notes the prior versions.  */
void
fleet_adopt_priors (struct fleet *fleet, clk_ms now)
{
  count_ends (fleet, now);
  for (guint i = 0; i < fleet->priors_read->len; i++)
    {
      const struct read_prior *read
          = &g_array_index (fleet->priors_read, struct read_prior, i);

      if (read->version.software == 0)
        continue;
      prior_note (fleet->priors, &read->version, fleet->ends, now);
      if (read->is_named)
        prior_set_stored (fleet->priors, &read->version);
    }
}

/* Called when all live targets are in the registry again after the store has
   lost what came last: notes the prior versions.  The others may have begun
   streams since this instance started.  */
void
fleet_infer_priors (struct fleet *fleet, clk_ms now)
{
  struct origin_cursor cursor = { 0 };
  struct read_prior seen = { 0 };

  g_array_set_size (fleet->priors_read, 0);
  while (origin_next_version (fleet->origins, &cursor, &seen.version))
    if (!came_too_late (fleet, seen.version.software))
      merge (fleet->priors_read, &seen);
  fleet_adopt_priors (fleet, now);
  cursor.next = 0;
  while (origin_next_version (fleet->origins, &cursor, &seen.version))
    prior_open (fleet->priors, &seen.version);
}

/* Returns whether SOFTWARE has targets, all of which started too late to have
   begun streams before this instance started.  */
static int
came_too_late (const struct fleet *fleet, uint64_t software)
{
  const GPtrArray *targets = fleet->registry->array;
  int64_t begun_ms = (int64_t)fleet->incarnation - TOO_LATE_MS;
  int is_seen = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);

      if (target->software != software)
        continue;
      if (target->started_ms <= begun_ms)
        return 0;
      is_seen = 1;
    }
  return is_seen;
}
