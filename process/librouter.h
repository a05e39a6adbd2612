/* Private to process/router*.c. */
#ifndef LIBROUTER_H
#define LIBROUTER_H

#include "ibisloom/router.h"

/* router_store.c */
void router_watch_config (struct router *router);
void router_watch_targets (struct router *router);
void router_update_watch (struct router *router, clk_ms now);
struct watch_sink router_config_sink (struct router *router);
struct watch_sink router_targets_sink (struct router *router);
void router_note_epoch (struct router *router, struct position position);
void router_forget_removed (struct router *router);

/* router_evacuation.c */
void router_watch_evacuations (struct router *router);
void router_update_evacuations (struct router *router, int is_wanted,
                                const struct elect_view *view, clk_ms now);
int router_watches_evacuations (const struct router *router);
int64_t router_evacuations_wait_ms (const struct router *router,
                                    int64_t max_ms);
int router_knows_evacuations (const struct router *router);

/* router_reach.c */
void router_reach_init (struct router *router);
void router_reach_start (struct router *router);

/* router_snapshot.c */
void router_on_fleet_update (void *closure, const struct fleet_update *update);
void *router_on_peer_request (struct client_listener *listener,
                              struct client *client, struct http_head *head,
                              GString *body);

#endif
