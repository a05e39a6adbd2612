/* Connections of callers: requests read whole, answers written in pieces. */
#ifndef IBISLOOM_CLIENT_H
#define IBISLOOM_CLIENT_H

#include <netinet/in.h>
#include <ev.h>

#include "ibisloom/http.h"

/* Limits in force for the next request; times in milliseconds. */
struct client_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

struct client;
struct client_listener;

struct client_listener_ops
{
  /* A whole request.  HEAD and BODY belong to the callee, which answers now
     or later.  Returns what caller_closure gives back.  */
  void *(*request) (struct client_listener *listener, struct client *client,
                    struct http_head *head, GString *body);
  /* The caller of a request that is not answered yet is gone.  */
  void (*disconnected) (struct client_listener *listener, void *request);
  /* The caller has taken what was written.  */
  void (*drained) (struct client_listener *listener, void *request);
};

/* One listener and its connections. */
struct client_listener
{
  const struct client_listener_ops *ops;
  struct ev_loop *loop;
  struct client_limits limits;
  ev_io accept_watcher;
  ev_timer accept_retry_timer;
  GQueue clients;
  uint32_t pending_requests; /* connections with a request in progress */
  int is_draining;           /* each connection ends after its answer */
};

int client_listener_open (struct client_listener *listener,
                          struct ev_loop *loop,
                          const struct client_listener_ops *ops,
                          const struct sockaddr_in *address, GError **error);
void client_listener_drain (struct client_listener *listener);
int client_listener_has_undelivered_output (
    const struct client_listener *listener);
void client_listener_close (struct client_listener *listener);

/* An answer: head, then pieces, then end or broken end.  LENGTH is -1 where
   it is not known.  FIELDS holds whole lines, each with CR LF. */
void client_send_head (struct client *client, uint32_t status,
                       const char *fields, int64_t length);
void client_send_body (struct client *client, const char *data, size_t length);
void client_end_response (struct client *client);
void client_abort_response (struct client *client);
void client_respond (struct client *client, uint32_t status,
                     const char *fields, const char *body, size_t length);
size_t client_backlog (const struct client *client);

#endif
