/* Origins of streams, and the software versions that serve, as the instances
   learn them.  */
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* Heartbeats between two looks at all targets: far less than
     ORIGIN_KEPT_MS.  */
  SEE_HEARTBEATS = 5
};

static void see_version (struct fleet *fleet,
                         const struct origin_version *version, clk_ms now);

/* Prepares FLEET to keep origins.  */
void
fleet_origin_init (struct fleet *fleet)
{
  fleet->origins = origin_new ();
}

/* Undoes fleet_origin_init.  */
void
fleet_origin_clear (struct fleet *fleet)
{
  origin_free (fleet->origins);
}

/* Returns the origins of streams that FLEET knows.  */
struct origins *
fleet_origins (struct fleet *fleet)
{
  return fleet->origins;
}

/* Records that the version of TARGET serves or has served.  */
void
fleet_see_target (struct fleet *fleet, const struct reg_target *target)
{
  struct origin_version version = { .service = rank_hash (target->service),
                                    .software = target->software };

  see_version (fleet, &version, clk_now (clk_monotonic ()));
}

/* Records that VERSION is seen at NOW, and logs it if it is new.  */
static void
see_version (struct fleet *fleet, const struct origin_version *version,
             clk_ms now)
{
  struct log_line line;

  if (!origin_see_version (fleet->origins, version, now)
      || !log_begin (&line, LOG_LEVEL_INFO, "origin", NULL, "version_seen"))
    return;
  log_hash (&line, "software", version->software);
  log_number (&line, "versions_differ",
              origin_versions_differ (fleet->origins));
  log_end (&line);
}

/* Does the work that is due with a heartbeat: forgets what is old, and sees
   all targets.  */
void
fleet_origin_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;

  if (fleet->heartbeat_count % SEE_HEARTBEATS != 0)
    return;
  for (guint i = 0; i < targets->len; i++)
    fleet_see_target (fleet, g_ptr_array_index (targets, i));
  origin_expire (fleet->origins, now);
}
