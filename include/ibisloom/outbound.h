/* Calls to targets and to the store, over connections that are kept. */
#ifndef IBISLOOM_OUTBOUND_H
#define IBISLOOM_OUTBOUND_H

#include <netinet/in.h>
#include <ev.h>

#include "ibisloom/clock.h"
#include "ibisloom/http.h"

/* How a call ended without a whole answer. */
enum out_fault
{
  OUT_NOT_SENT,     /* no byte of it left: no connection, or it was closed */
  OUT_DISCONNECTED, /* the connection ended; the call may have run */
  OUT_INVALID_RESPONSE, /* what came is no answer */
  OUT_FAULT_COUNT
};

struct out_call;

/* What a call tells its owner.  After end or fail the call is freed. */
struct out_ops
{
  /* The answer's head; returns 0, or -1 to break the call off, after which
     fail is called with OUT_INVALID_RESPONSE.  */
  int (*head) (void *owner, const struct http_head *head, int64_t length);
  /* A piece of the body; returns as head.  */
  int (*data) (void *owner, const char *data, size_t length);
  /* The answer is complete.  */
  void (*end) (void *owner);
  void (*fail) (void *owner, enum out_fault fault);
};

struct out_request
{
  struct sockaddr_in address;
  GString *head;    /* start line and fields; taken over */
  const char *body; /* stays the owner's until the call ends */
  size_t body_length;
  int64_t connect_timeout_ms; /* longest time to connect */
  int force_new_connection;   /* use no kept connection */
  int is_head_request;        /* the answer has no body */
};

/* Kept connections of one loop. */
struct out_pool
{
  struct ev_loop *loop;
  GHashTable *idle; /* address to GQueue of struct out_conn */
  uint32_t idle_count;
  uint32_t open_count;
  uint64_t opened; /* connections made so far */
};

void out_pool_init (struct out_pool *pool, struct ev_loop *loop);
void out_pool_clear (struct out_pool *pool);
struct out_call *out_call_start (struct out_pool *pool,
                                 struct out_request *request,
                                 const struct out_ops *ops, void *owner);
void out_call_cancel (struct out_call *call);
void out_call_pause (struct out_call *call, int paused);
int out_call_was_sent (const struct out_call *call);
int out_call_reused_connection (const struct out_call *call);

#endif
