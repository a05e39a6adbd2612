/* Requests that are relayed from clients to targets. */
#ifndef IBISLOOM_RELAY_H
#define IBISLOOM_RELAY_H

#include "ibisloom/client.h"

/* Handlers of the listener for clients. */
extern const struct client_listener_ops relay_listener_ops;

#endif
