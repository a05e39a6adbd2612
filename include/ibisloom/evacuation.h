/* Which failure domains are evacuated: no request is to be sent to targets
   there. */
#ifndef IBISLOOM_EVACUATION_H
#define IBISLOOM_EVACUATION_H

#include <stdint.h>

#include "ibisloom/clock.h"
#include "ibisloom/position.h"

enum
{
  EVAC_DOMAINS_MAX = 256 /* with those whose evacuation has ended */
};

/* What a report about one failure domain has changed. */
enum evac_change
{
  EVAC_OLDER, /* nothing: a later state is known */
  EVAC_SAME,  /* not whether the evacuation is in force */
  EVAC_CHANGED,
  EVAC_FULL /* nothing: there is no room for another domain */
};

/* Evacuation of one failure domain, in force or ended. */
struct evac_domain
{
  uint64_t id;              /* hash of the domain's name */
  const char *name;         /* interned; NULL: other instances told it */
  struct position position; /* of the change that began or ended it */
  uint8_t is_in_force;
  uint8_t is_applied;   /* for the caller: is_in_force, as last handled */
  uint8_t is_listed;    /* found in the list that is being read */
  clk_ms changed_ms;    /* when is_in_force changed */
  clk_ms lost_until_ms; /* ends then, unless it is put again; 0: not lost */
};

/* Evacuations of all failure domains.  Zeroed, none is known. */
struct evac_state
{
  struct evac_domain domain[EVAC_DOMAINS_MAX];
  uint32_t count;
  uint8_t is_read;       /* a complete list has been read */
  uint8_t is_incomplete; /* an evacuation was left out of it, or since */
  uint8_t lacks_listed;  /* the same, of the list that is being read */
  struct position read;  /* of the last such list */
};

enum evac_change evac_put (struct evac_state *state, uint64_t id,
                           struct position position, int is_in_force,
                           clk_ms now);
enum evac_change evac_hear (struct evac_state *state, uint64_t id,
                            struct position position, int is_in_force,
                            int64_t grace_ms, clk_ms now);
struct evac_domain *evac_find (struct evac_state *state, uint64_t id);
void evac_list_begin (struct evac_state *state);
void evac_list_end (struct evac_state *state, struct position position,
                    int64_t grace_ms, clk_ms now);
void evac_expire (struct evac_state *state, clk_ms now);
int evac_has_room_for_more (struct evac_state *state);
int evac_is_told (const struct evac_domain *domain, clk_ms now);
uint32_t evac_count (const struct evac_state *state);

#endif
