/* Requests that are relayed from clients to targets. */
#ifndef IBISLOOM_RELAY_H
#define IBISLOOM_RELAY_H

#include "ibisloom/client.h"
#include "ibisloom/demand.h"

struct router;

/* Handlers of the listener for clients. */
extern const struct client_listener_ops relay_listener_ops;

/* Handlers of the listener for instances, for requests of their clients. */
void *relay_accept_hop (struct router *router, struct client *client,
                        struct http_head *head, GString *body);
void relay_on_client_disconnected (struct client_listener *listener,
                                   void *request);
void relay_on_drained (struct client_listener *listener, void *request);
void relay_on_stop (struct client_listener *listener, void *request);

/* Explains where a request would go. */
char *relay_explain (struct router *router, const struct http_head *question);

/* Queues of requests that wait for capacity. */
void relay_queues_init (struct router *router);
void relay_queues_clear (struct router *router);
void relay_queues_on_level (void *closure, uint32_t rank,
                            const struct demand_level *level);
void relay_queues_print (const struct router *router, GString *out);

#endif
