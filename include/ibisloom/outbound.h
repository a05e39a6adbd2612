/* Client side of HTTP connections: calls to targets, the platform's store and
   other instances, over a pool of persistent connections. */
#ifndef IBISLOOM_OUTBOUND_H
#define IBISLOOM_OUTBOUND_H

#include <netinet/in.h>
#include <ev.h>

#include "ibisloom/clock.h"
#include "ibisloom/http.h"

/* Why a call ended without a complete response. */
enum out_fault
{
  OUT_NOT_SENT, /* no byte was sent: connecting failed, or an idle connection
                   was closed */
  OUT_DISCONNECTED,     /* the connection was lost; the request may have been
                           executed */
  OUT_INVALID_RESPONSE, /* the response is malformed, or was rejected by the
                           owner */
  OUT_FAULT_COUNT
};

struct out_call;

/* Events of a call, passed to its owner.  The call is freed after end or
   fail. */
struct out_ops
{
  /* Handles the response head.  LENGTH is the length of the body, or -1 if it
     is unknown.  Returns 0, or -1 to end the call, after which fail is called
     with OUT_INVALID_RESPONSE.  */
  int (*head) (void *owner, const struct http_head *head, int64_t length);
  /* Handles a piece of the body.  Returns 0, or -1 like head.  */
  int (*data) (void *owner, const char *data, size_t length);
  /* Handles the end of a complete response.  */
  void (*end) (void *owner);
  void (*fail) (void *owner, enum out_fault fault);
  /* A new connection was established for the call.  May be NULL.  */
  void (*connected) (void *owner);
};

struct out_request
{
  struct sockaddr_in address;
  GString *head;    /* request line and header; freed by the call */
  const char *body; /* must remain valid until the call ends */
  size_t body_length;
  int64_t connect_timeout_ms; /* time limit for connecting */
  int force_new_connection;   /* do not reuse an idle connection */
  int is_head_request;        /* the response to HEAD has no body */
};

/* Connections of one event loop. */
struct out_pool
{
  struct ev_loop *loop;
  GHashTable *idle; /* address key to GQueue of struct out_conn */
  uint32_t idle_count;
  uint32_t open_count;
  uint64_t opened; /* connections started since out_pool_init */
};

void out_pool_init (struct out_pool *pool, struct ev_loop *loop);
void out_pool_clear (struct out_pool *pool);
void out_pool_drop_idle (struct out_pool *pool,
                         const struct sockaddr_in *address);
struct out_call *out_call_start (struct out_pool *pool,
                                 struct out_request *request,
                                 const struct out_ops *ops, void *owner);
void out_call_cancel (struct out_call *call);
void out_call_set_owner (struct out_call *call, const struct out_ops *ops,
                         void *owner);
void out_call_pause (struct out_call *call, int paused);
int out_call_has_unread_input (const struct out_call *call);
int out_call_was_sent (const struct out_call *call);
int out_call_is_sending (const struct out_call *call, uint64_t *taken);
int out_call_reused_connection (const struct out_call *call);

#endif
