/* Asynchronous HTTP calls to the platform's object store or an instance. */
#ifndef IBISLOOM_STORECALL_H
#define IBISLOOM_STORECALL_H

#include "ibisloom/outbound.h"

/* Receives the HTTP STATUS and the body TEXT of LENGTH bytes.  STATUS is 0 if
   no complete response came. */
typedef void (*store_call_done_fn) (void *closure, uint32_t status,
                                    const char *text, size_t length);

struct store_call;

struct store_call *store_call_start (struct ev_loop *loop,
                                     struct out_pool *pool,
                                     const struct sockaddr_in *address,
                                     const char *method, const char *url,
                                     char *body, int64_t timeout_ms,
                                     store_call_done_fn done, void *closure);
void store_call_cancel (struct store_call *call);

#endif
