/* Origins of streams, and the software versions that serve, as the instances
   learn them.

   The instance that forwards the first event of a stream tells a few others
   which version began it: those that rank first for the stream.  It does so
   while one version serves too, as it may have ended when a second one comes.
   An instance at which a client takes up a stream that it does not know asks
   those that rank first, some more, since instances may have ended or started
   meanwhile.  */
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* Heartbeats between two looks at all targets: far less than
     ORIGIN_KEPT_MS.  */
  SEE_HEARTBEATS = 5,
  TOLD_PEERS = 3,
  ASKED_PEERS = 5,
  TOLD_PER_HEARTBEAT = 32
};

static void tell_origin (struct fleet *fleet,
                         const struct origin_record *record);
static struct wire_origin wire_origin_of (const struct fleet *fleet,
                                          const struct origin_record *record);
static void tell_again (struct fleet *fleet);

/* Prepares FLEET to keep origins.  */
void
fleet_origin_init (struct fleet *fleet)
{
  fleet->origins = origin_new ();
  fleet->untold_origins
      = g_array_new (FALSE, FALSE, sizeof (struct origin_record));
}

/* Undoes fleet_origin_init.  */
void
fleet_origin_clear (struct fleet *fleet)
{
  g_array_free (fleet->untold_origins, TRUE);
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

  fleet_see_version (fleet, &version, clk_now (clk_monotonic ()));
}

/* Corrects the origins of the streams that TARGET, which has started again,
   has begun here since then, as its version was not known.  Peers are told
   again.  */
void
fleet_correct_origins (struct fleet *fleet, const struct reg_target *target)
{
  const struct origin_attempt started = { .target = target->hash,
                                          .sent_ms = target->started_ms,
                                          .software = target->software };
  struct origin_cursor cursor = { 0 };
  struct origin_record record;

  while (target->started_ms != 0
         && origin_correct (fleet->origins, &cursor, &started, &record))
    g_array_append_val (fleet->untold_origins, record);
}

/* Records that a target of VERSION was seen at SEEN_MS, and logs it if it is
   new.  If it is the second one of its service, the first is the prior one. */
void
fleet_see_version (struct fleet *fleet, const struct origin_version *version,
                   clk_ms seen_ms)
{
  struct origins *origins = fleet->origins;
  int differed = origin_versions_differ (origins);
  struct origin_version only
      = { .service = version->service,
          .software = origin_only_version (origins, version->service) };
  struct log_line line;

  if (!origin_see_version (origins, version, seen_ms))
    return;
  if (only.software != 0)
    fleet_note_prior (fleet, &only, clk_now (clk_monotonic ()));
  if (!differed && origin_versions_differ (origins))
    tell_again (fleet);
  if (!log_begin (&line, LOG_LEVEL_INFO, "origin", NULL, "version_seen"))
    return;
  log_hash (&line, "software", version->software);
  log_number (&line, "versions_differ", origin_versions_differ (origins));
  log_end (&line);
}

/* Has the origins of the streams that this instance has begun told to peers
   once more: those that were told may have ended since.  */
static void
tell_again (struct fleet *fleet)
{
  struct origin_cursor cursor = { 0 };
  struct origin_record record;

  g_array_set_size (fleet->untold_origins, 0);
  while (origin_next_own (fleet->origins, &cursor, &record))
    g_array_append_val (fleet->untold_origins, record);
}

/* Records that the version in RECORD began a stream here, and tells peers.  */
void
fleet_add_origin (struct fleet *fleet, const struct origin_record *record)
{
  int is_known = origin_find (fleet->origins, record->attempt) != 0;
  struct origin_version version
      = { .service = origin_service (fleet->origins, record->software),
          .software = record->software };

  prior_open (fleet->priors, &version);
  origin_add (fleet->origins, record, ORIGIN_OWN, clk_now (clk_monotonic ()));
  if (!is_known)
    tell_origin (fleet, record);
}

/* Tells peers of RECORD.  */
static void
tell_origin (struct fleet *fleet, const struct origin_record *record)
{
  struct wire_message message = { .kind = WIRE_ORIGINS };
  const struct fleet_peer *peers[TOLD_PEERS];
  uint32_t count = fleet_top_peers (
      fleet, record->attempt, clk_now (clk_monotonic ()), peers, TOLD_PEERS);

  message.u.origins.count = 1;
  message.u.origins.origin[0] = wire_origin_of (fleet, record);
  for (uint32_t i = 0; i < count; i++)
    fleet_send (fleet, &peers[i]->address, &message);
}

/* Returns RECORD as it is told.  */
static struct wire_origin
wire_origin_of (const struct fleet *fleet, const struct origin_record *record)
{
  return (struct wire_origin){
    .attempt = record->attempt,
    .software = record->software,
    .service = origin_service (fleet->origins, record->software),
  };
}

/* Asks peers which version began the stream of ATTEMPT.  */
void
fleet_ask_origin (struct fleet *fleet, uint64_t attempt)
{
  struct wire_message message
      = { .kind = WIRE_ORIGIN_QUERY, .u.origin_query.attempt = attempt };
  const struct fleet_peer *peers[ASKED_PEERS];
  uint32_t count = fleet_top_peers (fleet, attempt, clk_now (clk_monotonic ()),
                                    peers, ASKED_PEERS);

  for (uint32_t i = 0; i < count; i++)
    fleet_send (fleet, &peers[i]->address, &message);
}

/* Returns whether the live peers that would have been told of the stream of
   ATTEMPT have been heard since it was asked for, at ASKED_MS: each of them
   answers, also if it does not know the stream.  */
int
fleet_told_peers_answer (const struct fleet *fleet, uint64_t attempt,
                         clk_ms asked_ms)
{
  const struct fleet_peer *peers[TOLD_PEERS];
  uint32_t count = fleet_top_peers (fleet, attempt, clk_now (clk_monotonic ()),
                                    peers, TOLD_PEERS);

  for (uint32_t i = 0; i < count; i++)
    if (peers[i]->last_seen_ms < asked_ms)
      return 0;
  return 1;
}

/* Answers PEER which version began the stream of QUERY, or, with no software,
   that this is not known here.  Older builds pass that answer over.  */
void
fleet_answer_origin (struct fleet *fleet, const struct fleet_peer *peer,
                     const struct wire_origin_query *query)
{
  struct wire_message message = { .kind = WIRE_ORIGINS };
  struct origin_record record
      = { .attempt = query->attempt,
          .software = origin_find (fleet->origins, query->attempt) };

  if (record.software != 0
      && origin_learned_from (fleet->origins, query->attempt) == ORIGIN_STORED)
    record.software = 0;
  message.u.origins.count = 1;
  message.u.origins.origin[0] = wire_origin_of (fleet, &record);
  fleet_send (fleet, &peer->address, &message);
}

/* Records the origins that PEER has told.  */
void
fleet_apply_origins (struct fleet *fleet, const struct fleet_peer *peer,
                     const struct wire_origins *origins)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t i = 0; i < origins->count; i++)
    {
      const struct wire_origin *origin = &origins->origin[i];
      struct origin_record record
          = { .attempt = origin->attempt, .software = origin->software };
      struct origin_version version
          = { .service = origin->service, .software = origin->software };

      if (version.software == 0 || version.service == 0)
        continue;
      fleet_see_version (fleet, &version, now);
      origin_add_told (fleet->origins, &record, peer->id, now);
    }
}

/* Does the work that is due with a heartbeat: tells some origins, the newest
   first, forgets what is old, and sees all targets.  */
void
fleet_origin_tick (struct fleet *fleet, clk_ms now)
{
  const GPtrArray *targets = fleet->registry->array;
  GArray *untold = fleet->untold_origins;

  for (int i = 0; i < TOLD_PER_HEARTBEAT && untold->len > 0; i++)
    {
      struct origin_record record
          = g_array_index (untold, struct origin_record, untold->len - 1);

      g_array_set_size (untold, untold->len - 1);
      record.software = origin_find (fleet->origins, record.attempt);
      if (record.software != 0)
        tell_origin (fleet, &record);
    }
  if (fleet->heartbeat_count % SEE_HEARTBEATS != 0)
    return;
  for (guint i = 0; i < targets->len; i++)
    fleet_see_target (fleet, g_ptr_array_index (targets, i));
  origin_expire (fleet->origins, now);
}
