/* Requests that the gate relays from callers to targets. */
#ifndef IBISLOOM_RELAY_H
#define IBISLOOM_RELAY_H

#include "ibisloom/caller.h"

/* What the callers' listener of a gate does with requests. */
extern const struct caller_site_ops relay_listener_ops;

#endif
