/* The software versions that the store names.

   A version that the store does not name begins no streams if another version
   can: after the end of all instances nobody would remember it, and its
   streams would seem to be of another one.  */
#include "ibisloom/log.h"
#include "ibisloom/originjson.h"
#include "libfleet.h"

enum
{
  /* From the write that names a version until all instances have seen the
     version in the registry too.  */
  SETTLE_MS = 1000
};

/* Version that the store names. */
struct noted_version
{
  struct origin_version version;
  clk_ms usable_ms; /* when streams may begin at it */
};

static const struct noted_version *find_noted (const GArray *noted,
                                               uint64_t software);
static int has_noted (const GArray *noted, uint64_t service);
static uint64_t find_service (const struct fleet *fleet, uint64_t software);

/* Returns an empty array of versions that the store names.  */
GArray *
fleet_noted_new (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct noted_version));
}

/* Returns whether streams may begin at SOFTWARE: the store names it, and that
   for long enough, and has no other one as the prior version, or it names no
   version of the service.  */
int
fleet_software_is_noted (const struct fleet *fleet, uint64_t software)
{
  const struct noted_version *noted = find_noted (fleet->noted, software);

  if (noted != NULL)
    return clk_now (clk_monotonic ()) >= noted->usable_ms
           && prior_allows (fleet->priors, &noted->version);
  return !has_noted (fleet->noted, find_service (fleet, software));
}

/* Has the prior versions taken out of the store where streams may begin at
   others, as far as these are noted.  In the first moments after its start
   this instance refuses the streams of prior versions: if it ends in these
   moments, they are for the next one to go on with.  */
void
fleet_open_noted (struct fleet *fleet)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (fleet_past_wait_ms (fleet, now) > 0)
    return;
  for (guint i = 0; i < fleet->noted->len; i++)
    {
      const struct noted_version *noted
          = &g_array_index (fleet->noted, struct noted_version, i);

      if (now >= noted->usable_ms)
        prior_open (fleet->priors, &noted->version);
    }
}

/* Adds the versions in the object CONTENT, which the store has.  */
void
fleet_note_stored (struct fleet *fleet, const json_t *content)
{
  GArray *noted = fleet->noted;
  clk_ms now = clk_now (clk_monotonic ());
  struct origin_cursor cursor = { 0 };
  struct noted_version read = { .usable_ms = now };

  while (origin_json_next_version (content, &cursor, &read.version))
    {
      (void)origin_see_version (fleet->origins, &read.version, now);
      if (find_noted (noted, read.version.software) == NULL)
        g_array_append_val (noted, read);
    }
}

/* Called when CONTENT has been written: the versions that it names may be used
   when they have been known for SETTLE_MS, and the first ones of a service at
   once.  */
void
fleet_note_written (struct fleet *fleet, const json_t *content)
{
  clk_ms now = clk_now (clk_monotonic ());
  GArray *noted = fleet_noted_new ();
  struct origin_cursor cursor = { 0 };
  struct noted_version next;

  while (origin_json_next_version (content, &cursor, &next.version))
    {
      const struct noted_version *known
          = find_noted (fleet->noted, next.version.software);

      next.usable_ms = now;
      if (known != NULL)
        next.usable_ms = known->usable_ms;
      else if (has_noted (fleet->noted, next.version.service))
        next.usable_ms += SETTLE_MS;
      g_array_append_val (noted, next);
    }
  if (noted->len != fleet->noted->len)
    log_info ("origins", NULL, "noted", "%u versions", noted->len);
  g_array_free (fleet->noted, TRUE);
  fleet->noted = noted;
}

/* Returns the entry of SOFTWARE in NOTED, or NULL.  */
static const struct noted_version *
find_noted (const GArray *noted, uint64_t software)
{
  for (guint i = 0; i < noted->len; i++)
    {
      const struct noted_version *entry
          = &g_array_index (noted, struct noted_version, i);

      if (entry->version.software == software)
        return entry;
    }
  return NULL;
}

/* Returns whether NOTED has a version of SERVICE.  */
static int
has_noted (const GArray *noted, uint64_t service)
{
  for (guint i = 0; i < noted->len; i++)
    if (g_array_index (noted, struct noted_version, i).version.service
        == service)
      return 1;
  return 0;
}

/* Returns the service that SOFTWARE belongs to, or 0 if it has not been
   seen.  */
static uint64_t
find_service (const struct fleet *fleet, uint64_t software)
{
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (origin_next_version (fleet->origins, &cursor, &version))
    if (version.software == software)
      return version.service;
  return 0;
}
