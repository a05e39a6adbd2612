/* One call to the platform's store. */
#ifndef IBISLOOM_STORECALL_H
#define IBISLOOM_STORECALL_H

#include "ibisloom/outcall.h"

/* The call is over: STATUS is 0 without an answer. */
typedef void (*stc_done_fn) (void *closure, uint32_t status, const char *text,
                             size_t length);

struct stc;

struct stc *stc_start (struct ev_loop *loop, struct out_pool *pool,
                       const struct sockaddr_in *address, const char *method,
                       const char *target, char *body, int64_t timeout_ms,
                       stc_done_fn done, void *closure);
void stc_cancel (struct stc *call);

#endif
