/* Which failure domains are evacuated.

   Each domain has the position of its last change in the store's history, and
   the later change wins, whoever reports it.  The domains whose evacuation has
   ended are kept, so that a late report does not bring it back.  A restored
   store may have lost an object that its writer writes again: what it no
   longer lists stays in force for a grace time.  What there is no room for is
   left out until the list is read again.  */
#include <stddef.h>
#include <string.h>

#include "ibisloom/evacuation.h"

enum
{
  /* Until all instances know of the end of an evacuation: some heartbeats of a
     large fleet.  */
  ENDED_TOLD_MS = 60000
};

static struct evac_domain *add_domain (struct evac_state *state, uint64_t id,
                                       clk_ms now);
static struct evac_domain *find_oldest_ended (struct evac_state *state);
static enum evac_change leave_out (struct evac_state *state);
static int is_after (struct position position, int is_in_force,
                     const struct evac_domain *known);
static enum evac_change set_domain (struct evac_domain *domain,
                                    struct position position, int is_in_force,
                                    clk_ms now);

/* Records that the evacuation of the domain ID is in force, or has ended, by
   the change at POSITION of the store.  */
enum evac_change
evac_put (struct evac_state *state, uint64_t id, struct position position,
          int is_in_force, clk_ms now)
{
  struct evac_domain *domain = evac_find (state, id);

  if (domain == NULL)
    domain = add_domain (state, id, now);
  else if (!is_after (position, is_in_force, domain))
    {
      int is_same = pos_compare (position, domain->position) == 0
                    && domain->is_in_force == (is_in_force != 0);

      domain->is_listed |= is_in_force && domain->is_in_force;
      return is_same ? EVAC_SAME : EVAC_OLDER;
    }
  if (domain == NULL)
    return is_in_force ? leave_out (state) : EVAC_SAME;
  domain->is_listed = 1;
  return set_domain (domain, position, is_in_force, now);
}

/* Records what another instance has told of the domain ID.  What began before
   the list that was read, and is not in it, has ended, unless something of
   that list was left out.  If the store was restored since, it may only have
   lost that, which then stays in force for GRACE_MS.  */
enum evac_change
evac_hear (struct evac_state *state, uint64_t id, struct position position,
           int is_in_force, int64_t grace_ms, clk_ms now)
{
  struct evac_domain *domain = evac_find (state, id);
  enum evac_change change;

  if (domain != NULL || !is_in_force || !state->is_read || state->is_incomplete
      || pos_compare (position, state->read) > 0)
    {
      uint8_t was_listed = domain != NULL && domain->is_listed;

      change = evac_put (state, id, position, is_in_force, now);
      domain = evac_find (state, id);
      if (domain != NULL)
        domain->is_listed = was_listed;
      return change;
    }
  domain = add_domain (state, id, now);
  if (domain == NULL)
    return leave_out (state);
  if (position.epoch == state->read.epoch)
    {
      domain->position = state->read;
      return EVAC_OLDER;
    }
  domain->lost_until_ms = now + grace_ms;
  domain->position = position;
  domain->is_in_force = 1;
  return EVAC_CHANGED;
}

/* Returns the domain ID, or NULL if nothing is known of it.  */
struct evac_domain *
evac_find (struct evac_state *state, uint64_t id)
{
  for (uint32_t i = 0; i < state->count; i++)
    if (state->domain[i].id == id)
      return &state->domain[i];
  return NULL;
}

/* Begins a complete list: what is not put before evac_list_end has ended.  */
void
evac_list_begin (struct evac_state *state)
{
  for (uint32_t i = 0; i < state->count; i++)
    state->domain[i].is_listed = 0;
  state->lacks_listed = 0;
}

/* Ends a complete list of what was in force at POSITION.  An evacuation that
   began before in the same epoch and is not listed has ended.  One of an older
   epoch may have been lost, and ends in GRACE_MS.  */
void
evac_list_end (struct evac_state *state, struct position position,
               int64_t grace_ms, clk_ms now)
{
  state->is_read = 1;
  state->is_incomplete = state->lacks_listed;
  state->read = position;
  for (uint32_t i = 0; i < state->count; i++)
    {
      struct evac_domain *domain = &state->domain[i];

      if (!domain->is_in_force || domain->is_listed
          || pos_compare (domain->position, position) > 0)
        continue;
      if (domain->position.epoch == position.epoch)
        set_domain (domain, position, 0, now);
      else if (domain->lost_until_ms == 0)
        domain->lost_until_ms = now + grace_ms;
    }
}

/* Ends the evacuations that a restored store has lost and that were not put
   again in their grace time.  */
void
evac_expire (struct evac_state *state, clk_ms now)
{
  for (uint32_t i = 0; i < state->count; i++)
    {
      struct evac_domain *domain = &state->domain[i];

      if (domain->lost_until_ms != 0 && now >= domain->lost_until_ms)
        set_domain (domain, state->read, 0, now);
    }
}

/* Returns whether something was left out of STATE for which there is room
   now, so that the list is to be read again.  */
int
evac_has_room_for_more (struct evac_state *state)
{
  return state->is_incomplete
         && (state->count < EVAC_DOMAINS_MAX
             || find_oldest_ended (state) != NULL);
}

/* Returns whether other instances are to be told of DOMAIN at NOW.  */
int
evac_is_told (const struct evac_domain *domain, clk_ms now)
{
  return domain->is_in_force || now - domain->changed_ms < ENDED_TOLD_MS;
}

/* Returns how many domains are evacuated.  */
uint32_t
evac_count (const struct evac_state *state)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < state->count; i++)
    count += state->domain[i].is_in_force;
  return count;
}

/* Adds the domain ID, which is not evacuated, and returns it.  It takes the
   place of one whose evacuation ended long ago if there is no room.  Returns
   NULL if all are in force.  */
static struct evac_domain *
add_domain (struct evac_state *state, uint64_t id, clk_ms now)
{
  struct evac_domain *domain = state->count < EVAC_DOMAINS_MAX
                                   ? &state->domain[state->count++]
                                   : find_oldest_ended (state);

  if (domain == NULL)
    return NULL;
  memset (domain, 0, sizeof *domain);
  domain->id = id;
  domain->changed_ms = now;
  return domain;
}

/* Records that an evacuation is left out, as there is no room for it.  */
static enum evac_change
leave_out (struct evac_state *state)
{
  state->is_incomplete = 1;
  state->lacks_listed = 1;
  return EVAC_FULL;
}

/* Returns the domain whose evacuation ended first, of those that the caller
   has handled, or NULL.  */
static struct evac_domain *
find_oldest_ended (struct evac_state *state)
{
  struct evac_domain *oldest = NULL;

  for (uint32_t i = 0; i < state->count; i++)
    {
      struct evac_domain *domain = &state->domain[i];

      if (!domain->is_in_force && !domain->is_applied
          && (oldest == NULL || domain->changed_ms < oldest->changed_ms))
        oldest = domain;
    }
  return oldest;
}

/* Returns whether the change at POSITION, to IS_IN_FORCE, is later than what
   is KNOWN.  At the same position the end is later: a deletion may bear the
   position of the object.  */
static int
is_after (struct position position, int is_in_force,
          const struct evac_domain *known)
{
  int order = pos_compare (position, known->position);

  return order > 0 || (order == 0 && !is_in_force && known->is_in_force);
}

/* Sets the state of DOMAIN by the change at POSITION.  */
static enum evac_change
set_domain (struct evac_domain *domain, struct position position,
            int is_in_force, clk_ms now)
{
  int is_changed = domain->is_in_force != (is_in_force != 0);

  domain->position = position;
  domain->is_in_force = is_in_force != 0;
  domain->lost_until_ms = 0;
  if (is_changed)
    domain->changed_ms = now;
  return is_changed ? EVAC_CHANGED : EVAC_SAME;
}
