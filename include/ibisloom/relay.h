/* Requests that are relayed from clients to targets. */
#ifndef IBISLOOM_RELAY_H
#define IBISLOOM_RELAY_H

#include "ibisloom/caller.h"

/* Handlers of the listener for clients. */
extern const struct caller_site_ops relay_listener_ops;

#endif
