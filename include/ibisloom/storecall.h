/* Asynchronous HTTP calls to the platform's object store or an instance. */
#ifndef IBISLOOM_STORECALL_H
#define IBISLOOM_STORECALL_H

#include "ibisloom/outbound.h"

struct store_request
{
  struct sockaddr_in address;
  const char *method;
  const char *url; /* without scheme and host */
  char *body;      /* JSON, owned by the call; NULL: none */
  int64_t timeout_ms;
  size_t body_max_bytes;   /* of the response; 0: the default */
  const char *epoch_field; /* header field with the epoch; NULL: none */
  uint64_t epoch_min;      /* responses of older ones are not relied on */
};

struct store_response
{
  uint32_t status; /* 0: no complete response came, or none to rely on */
  uint64_t epoch;  /* of the store; 0: not told */
  const char *text;
  size_t length;
};

/* Receives RESPONSE, which is valid only during the call. */
typedef void (*store_call_done_fn) (void *closure,
                                    const struct store_response *response);

struct store_call;

struct store_call *store_call_start (struct ev_loop *loop,
                                     struct out_pool *pool,
                                     const struct store_request *request,
                                     store_call_done_fn done, void *closure);
void store_call_cancel (struct store_call *call);

#endif
