/* Whether a software version is the only one of its service.

   An instance that was cut off from the others, or stood still, may have
   missed a version.  So what it has seen itself is believed only if it was
   confirmed lately: by an instance that hears most of the fleet, has not stood
   still and knows what the fleet did before it started, or by the store, where
   each instance notes a version for SETTLE_MS (fleet_origin_note.c) before it
   has streams begin there, unless the store has lost what was noted last.  */
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  ASKED_PEERS = 5,
  CONFIRMED_MAX = 256,
  /* For so long before its first stream a version is in the store.  */
  NOTED_MS = 1000,
  /* Until the news of a version has reached all that hear most others.  */
  NEWS_MS = 500,
  /* An instance without a heartbeat for so long has stood still, and for so
     long after it has yet to catch up.  */
  STALL_MS = 3 * FLEET_HEARTBEAT_MS,
  CATCH_UP_MS = 1000
};

/* Service whose versions are known to be the ones seen here. */
struct confirmed_service
{
  uint64_t service;
  clk_ms known_ms; /* as of then; INT64_MIN: asked, but not confirmed */
};

static struct confirmed_service *find_service (const struct fleet *fleet,
                                               uint64_t service);
static int is_in_step (const struct fleet *fleet, clk_ms now);
static int is_stored_only (const struct fleet *fleet, uint64_t service,
                           uint64_t software);

/* Prepares FLEET to confirm versions.  */
void
fleet_version_init (struct fleet *fleet)
{
  fleet->confirmed
      = g_array_new (FALSE, FALSE, sizeof (struct confirmed_service));
  fleet->stored_versions
      = g_array_new (FALSE, FALSE, sizeof (struct origin_version));
}

/* Undoes fleet_version_init.  */
void
fleet_version_clear (struct fleet *fleet)
{
  g_array_free (fleet->confirmed, TRUE);
  g_array_free (fleet->stored_versions, TRUE);
}

/* Called at each heartbeat: notes whether this instance has stood still.  */
void
fleet_version_tick (struct fleet *fleet, clk_ms now)
{
  if (fleet->tick_ms != 0 && now - fleet->tick_ms > STALL_MS)
    fleet->stalled_ms = now;
  fleet->tick_ms = now;
}

/* Returns whether this instance knows at NOW what the greater part of the
   fleet does.  */
static int
is_in_step (const struct fleet *fleet, clk_ms now)
{
  return fleet_origins_are_read (fleet) && fleet_knows_past (fleet)
         && now - fleet->tick_ms <= STALL_MS
         && (fleet->stalled_ms == 0 || now - fleet->stalled_ms > CATCH_UP_MS)
         && fleet_hears_most (fleet, now);
}

/* Asks some peers which versions of SERVICE they have seen.  */
void
fleet_ask_versions (struct fleet *fleet, uint64_t service)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message
      = { .kind = WIRE_VERSION_QUERY,
          .u.version_query
          = { .service = service, .asked_ms = (uint64_t)now } };
  struct confirmed_service asked
      = { .service = service, .known_ms = INT64_MIN };
  const struct fleet_peer *peers[ASKED_PEERS];
  uint32_t count = fleet_top_peers (fleet, rank_mix (service, (uint64_t)now),
                                    now, peers, ASKED_PEERS);

  if (find_service (fleet, service) == NULL
      && fleet->confirmed->len < CONFIRMED_MAX)
    g_array_append_val (fleet->confirmed, asked);
  for (uint32_t i = 0; i < count; i++)
    fleet_send (fleet, &peers[i]->address, &message);
}

/* Returns the entry of SERVICE, or NULL if it was not asked for.  */
static struct confirmed_service *
find_service (const struct fleet *fleet, uint64_t service)
{
  for (guint i = 0; i < fleet->confirmed->len; i++)
    {
      struct confirmed_service *entry
          = &g_array_index (fleet->confirmed, struct confirmed_service, i);

      if (entry->service == service)
        return entry;
    }
  return NULL;
}

/* Answers the QUERY of PEER, unless this instance may have missed a version
   itself.  */
void
fleet_answer_versions (struct fleet *fleet, const struct fleet_peer *peer,
                       const struct wire_version_query *query)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct wire_message message
      = { .kind = WIRE_VERSIONS, .u.versions.query = *query };
  struct wire_versions *versions = &message.u.versions;
  struct origin_cursor cursor = { 0 };
  struct origin_version version;
  clk_ms seen_ms;

  if (!is_in_step (fleet, now))
    return;
  while (versions->count < WIRE_VERSIONS_MAX
         && origin_next_seen (fleet->origins, &cursor, &version, &seen_ms))
    if (version.service == query->service)
      versions->version[versions->count++] = (struct wire_seen_version){
        version.software, (uint32_t)MIN (now - seen_ms, UINT32_MAX)
      };
  fleet_send (fleet, &peer->address, &message);
}

/* Records the VERSIONS that a peer has seen.  They have been all of their
   service since shortly before it was asked.  */
void
fleet_apply_versions (struct fleet *fleet,
                      const struct wire_versions *versions)
{
  struct confirmed_service *confirmed
      = find_service (fleet, versions->query.service);
  clk_ms now = clk_now (clk_monotonic ());

  if (confirmed == NULL || versions->query.asked_ms > (uint64_t)now)
    return;
  for (uint32_t i = 0; i < versions->count; i++)
    {
      const struct wire_seen_version *seen = &versions->version[i];
      struct origin_version version
          = { .service = confirmed->service, .software = seen->software };

      if (seen->software != 0 && seen->age_ms < ORIGIN_KEPT_MS)
        fleet_see_version (fleet, &version, now - (clk_ms)seen->age_ms);
    }
  confirmed->known_ms
      = MAX (confirmed->known_ms, (clk_ms)versions->query.asked_ms - NEWS_MS);
}

/* Returns the only software of SERVICE that can have begun a stream before
   ARRIVED_MS, or 0 if there are several, or none, or if it is not confirmed
   that there are no others.  */
uint64_t
fleet_only_version (const struct fleet *fleet, uint64_t service,
                    clk_ms arrived_ms)
{
  const struct confirmed_service *confirmed = find_service (fleet, service);
  uint64_t only = origin_only_version (fleet->origins, service);
  clk_ms needed_ms = arrived_ms - NOTED_MS;

  if (fleet_size (fleet) == 1)
    return fleet_knows_past (fleet) ? only : 0;
  if (only == 0 || (confirmed != NULL && confirmed->known_ms >= needed_ms))
    return only;
  if (fleet->stored_ms != 0 && fleet->stored_ms >= needed_ms
      && is_stored_only (fleet, service, only))
    return only;
  return 0;
}

/* Returns the software that began the stream of ATTEMPT at SERVICE, of which
   neither the instances, asked at ASKED_MS, nor the store know the origin, or
   0 if that cannot be said.  In the first moments after its start an instance
   has yet to learn which targets have started again as other versions, and to
   hear what the others know.  */
uint64_t
fleet_prior_version (const struct fleet *fleet, uint64_t service,
                     uint64_t attempt, clk_ms asked_ms)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (!is_in_step (fleet, now) || fleet_past_wait_ms (fleet, now) > 0
      || !fleet_told_peers_answer (fleet, attempt, asked_ms))
    return 0;
  return prior_find (fleet->priors, service, fleet->ends,
                     fleet_heard_count (fleet) + 1);
}

/* Returns whether the store, as last read, names no version of SERVICE but
   SOFTWARE.  */
static int
is_stored_only (const struct fleet *fleet, uint64_t service, uint64_t software)
{
  for (guint i = 0; i < fleet->stored_versions->len; i++)
    {
      const struct origin_version *stored
          = &g_array_index (fleet->stored_versions, struct origin_version, i);

      if (stored->service == service && stored->software != software)
        return 0;
    }
  return 1;
}
