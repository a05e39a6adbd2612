/* Private to process/gate*.c. */
#ifndef LIBGATE_H
#define LIBGATE_H

#include "ibisloom/gate.h"

/* gate_store.c */
void gate_follow_config (struct gate *gate);
void gate_follow_targets (struct gate *gate);
void gate_review_watch (struct gate *gate, clk_ms now);
void gate_on_news (void *closure, const struct flt_news *news);
void *gate_on_peer_request (struct caller_site *site, struct caller *caller,
                            struct http_head *head, GString *body);

#endif
