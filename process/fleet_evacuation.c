/* Evacuated failure domains, as the instances tell each other.

   An instance that reads of a change in the store tells the others at once;
   all tell what is in force, and for a time what has ended, before each
   heartbeat.  Each domain has the position of its last change, by which an
   instance knows the later one of two reports.  One that tells an earlier one
   is answered, as it may have been without contact for long.  */
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* Time for the writer of an object that a restored store has lost to write
     it again, as a multiple of evacuate_ms.  */
  LOST_GRACE_FACTOR = 2
};

/* Names in the log of who has reported a change. */
static const char from_store[] = "store";
static const char from_peer[] = "peer";
static const char from_grace[] = "grace_time";

static int64_t grace_ms (const struct fleet *fleet);
static void apply_changes (struct fleet *fleet, const char *source);
static void apply_change (struct fleet *fleet, struct evac_domain *domain,
                          const char *source);
static void note_full (const struct fleet *fleet, enum evac_change change);
static void add_evacuation (struct wire_evacuations *evacuations,
                            const struct evac_domain *domain);
static int next_evacuations (const struct fleet *fleet, uint32_t *index,
                             struct wire_message *message);

/* Prepares FLEET to keep evacuations, if the settings have it read them.  */
void
fleet_evacuation_init (struct fleet *fleet)
{
  if (fleet->settings->evacuate_ms > 0)
    fleet->evacuations = g_new0 (struct evac_state, 1);
}

/* Undoes fleet_evacuation_init.  */
void
fleet_evacuation_clear (struct fleet *fleet)
{
  g_free (fleet->evacuations);
}

/* Returns for how many milliseconds an evacuation that a restored store has
   lost stays in force.  */
static int64_t
grace_ms (const struct fleet *fleet)
{
  return fleet->settings->evacuate_ms * LOST_GRACE_FACTOR;
}

/* Handles that the evacuation of DOMAIN is in force, or has ended, by the
   change at POSITION of the store.  */
void
fleet_see_evacuation (struct fleet *fleet, const char *domain,
                      struct position position, int is_in_force)
{
  uint64_t id = rank_hash (domain);
  struct evac_domain *known;

  note_full (fleet, evac_put (fleet->evacuations, id, position, is_in_force,
                              clk_now (clk_monotonic ())));
  known = evac_find (fleet->evacuations, id);
  if (known != NULL)
    known->name = g_intern_string (domain);
  apply_changes (fleet, from_store);
}

/* Called before a complete list of evacuations is read from the store.  */
void
fleet_list_evacuations (struct fleet *fleet)
{
  evac_list_begin (fleet->evacuations);
}

/* Called when the list of what was in force at POSITION was read
   completely.  */
void
fleet_end_evacuation_list (struct fleet *fleet, struct position position)
{
  evac_list_end (fleet->evacuations, position, grace_ms (fleet),
                 clk_now (clk_monotonic ()));
  apply_changes (fleet, from_store);
}

/* Returns whether the list of evacuations has been read from the store, or
   need not be.  */
int
fleet_evacuations_are_read (const struct fleet *fleet)
{
  return fleet->evacuations == NULL || fleet->evacuations->is_read;
}

/* Returns whether FLEET knows of the evacuations: it has read the list, or has
   a heartbeat of an instance that knew, which follows them.  */
int
fleet_knows_evacuations (const struct fleet *fleet)
{
  return fleet_evacuations_are_read (fleet) || fleet->is_informed;
}

/* Returns whether evacuations were left out for which there is room now.  */
int
fleet_evacuations_have_room (const struct fleet *fleet)
{
  return fleet->evacuations != NULL
         && evac_has_room_for_more (fleet->evacuations);
}

/* Returns how many failure domains are evacuated.  */
uint32_t
fleet_evacuated_count (const struct fleet *fleet)
{
  return fleet->evacuations != NULL ? evac_count (fleet->evacuations) : 0;
}

/* Does the work that is due with each heartbeat: ends evacuations that a
   restored store has lost.  */
void
fleet_evacuation_tick (struct fleet *fleet, clk_ms now)
{
  if (fleet->evacuations == NULL)
    return;
  evac_expire (fleet->evacuations, now);
  apply_changes (fleet, from_grace);
}

/* Sends ADDRESS what is in force, and what has ended of late.  */
void
fleet_send_evacuations (struct fleet *fleet, const struct sockaddr_in *address)
{
  struct wire_message message;
  uint32_t index = 0;

  while (next_evacuations (fleet, &index, &message))
    fleet_send (fleet, address, &message);
}

/* Adopts what PEER has told, and answers with what is known to be later.  */
void
fleet_apply_evacuations (struct fleet *fleet, const struct fleet_peer *peer,
                         const struct wire_evacuations *evacuations)
{
  struct wire_message answer = { .kind = WIRE_EVACUATIONS };
  clk_ms now = clk_now (clk_monotonic ());

  if (fleet->evacuations == NULL)
    return;
  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      const struct wire_evacuation *told = &evacuations->evacuation[i];
      enum evac_change change
          = evac_hear (fleet->evacuations, told->domain, told->position,
                       told->is_in_force, grace_ms (fleet), now);
      const struct evac_domain *known
          = evac_find (fleet->evacuations, told->domain);

      note_full (fleet, change);
      if (change == EVAC_OLDER && known != NULL
          && known->is_in_force != told->is_in_force)
        add_evacuation (&answer.u.evacuations, known);
    }
  apply_changes (fleet, from_peer);
  if (answer.u.evacuations.count > 0)
    fleet_send (fleet, &peer->address, &answer);
}

/* Brings what has changed, by a report of SOURCE, into force.  Unless that is
   another instance, tells the others.  */
static void
apply_changes (struct fleet *fleet, const char *source)
{
  struct evac_state *state = fleet->evacuations;
  struct wire_message message;
  uint32_t index = 0;
  int is_changed = 0;

  for (uint32_t i = 0; i < state->count; i++)
    if (state->domain[i].is_applied != state->domain[i].is_in_force)
      {
        apply_change (fleet, &state->domain[i], source);
        is_changed = 1;
      }
  if (!is_changed || source == from_peer)
    return;
  while (next_evacuations (fleet, &index, &message))
    fleet_broadcast (fleet, &message);
}

/* Brings the state of DOMAIN into force, and logs it.  */
static void
apply_change (struct fleet *fleet, struct evac_domain *domain,
              const char *source)
{
  struct log_line line;
  uint32_t targets
      = reg_set_evacuated (fleet->registry, domain->id, domain->is_in_force);

  domain->is_applied = domain->is_in_force;
  if (!log_begin (&line, LOG_LEVEL_INFO, "evacuation", NULL,
                  domain->is_in_force ? "begun" : "ended"))
    return;
  log_text (&line, "domain", domain->name);
  log_hash (&line, "domain_hash", domain->id);
  log_number (&line, "targets", targets);
  log_number (&line, "epoch", (int64_t)domain->position.epoch);
  log_number (&line, "revision", (int64_t)domain->position.revision);
  log_number (&line, "domains", evac_count (fleet->evacuations));
  log_text (&line, "from", source);
  log_end (&line);
}

/* Logs that a domain was left out, if CHANGE says so.  */
static void
note_full (const struct fleet *fleet, enum evac_change change)
{
  if (change != EVAC_FULL)
    return;
  metric_inc (METRIC_STORE_UNREADABLE);
  log_error ("evacuation", NULL, "too_many",
             "%u domains are in force; others are left out",
             evac_count (fleet->evacuations));
}

/* Adds the state of DOMAIN to EVACUATIONS.  */
static void
add_evacuation (struct wire_evacuations *evacuations,
                const struct evac_domain *domain)
{
  evacuations->evacuation[evacuations->count++]
      = (struct wire_evacuation){ .domain = domain->id,
                                  .position = domain->position,
                                  .is_in_force = domain->is_in_force };
}

/* Fills MESSAGE with the next domains, from INDEX on, that others are told of,
   and advances INDEX.  Returns whether there are any.  */
static int
next_evacuations (const struct fleet *fleet, uint32_t *index,
                  struct wire_message *message)
{
  const struct evac_state *state = fleet->evacuations;
  struct wire_evacuations *evacuations = &message->u.evacuations;
  clk_ms now = clk_now (clk_monotonic ());

  if (state == NULL)
    return 0;
  *message = (struct wire_message){ .kind = WIRE_EVACUATIONS };
  for (; *index < state->count && evacuations->count < WIRE_EVACUATIONS_MAX;
       ++*index)
    if (evac_is_told (&state->domain[*index], now))
      add_evacuation (evacuations, &state->domain[*index]);
  return evacuations->count > 0;
}
