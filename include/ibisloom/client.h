/* Server side of HTTP connections: a request is received whole, its response
   is sent in parts. */
#ifndef IBISLOOM_CLIENT_H
#define IBISLOOM_CLIENT_H

#include <netinet/in.h>
#include <ev.h>

#include "ibisloom/http.h"

/* Limits that apply from the next request on. */
struct client_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t stall_ms; /* after which a client that reads nothing of what is
                       buffered for it is given up; 0: never */
};

struct client;
struct client_listener;

struct client_listener_ops
{
  /* Handles a complete request.  The handler takes ownership of HEAD and BODY,
     and responds during the call or later.  Returns the handle of the request,
     which the operations below are passed as REQUEST.  */
  void *(*request) (struct client_listener *listener, struct client *client,
                    struct http_head *head, GString *body);
  /* The client has disconnected before the response was complete.  */
  void (*disconnected) (struct client_listener *listener, void *request);
  /* More of the response may be sent, see client_must_catch_up.  */
  void (*drained) (struct client_listener *listener, void *request);
  /* The process is about to end: REQUEST is to get a response now.  */
  void (*stop) (struct client_listener *listener, void *request);
};

/* A listening socket and the connections accepted from it. */
struct client_listener
{
  const struct client_listener_ops *ops;
  struct ev_loop *loop;
  struct client_limits limits;
  ev_io accept_watcher;
  ev_timer accept_retry_timer;
  GQueue clients;
  uint32_t pending_requests; /* requests without a complete response */
  int is_draining; /* each connection is closed after its next response */
};

int client_listener_open (struct client_listener *listener,
                          struct ev_loop *loop,
                          const struct client_listener_ops *ops,
                          const struct sockaddr_in *address, GError **error);
void client_listener_drain (struct client_listener *listener);
void client_listener_end_requests (struct client_listener *listener);
int client_listener_has_unread_input (const struct client_listener *listener);
int client_listener_has_undelivered_output (
    const struct client_listener *listener);
void client_listener_close (struct client_listener *listener);

/* Parts of a response, in this order: the head, pieces of the body, and
   client_end_response or client_abort_response.  LENGTH is the length of the
   body, or -1 if it is unknown.  FIELDS is a sequence of header lines, each
   ending in CR LF. */
void client_send_head (struct client *client, uint32_t status,
                       const char *fields, int64_t length);
void client_send_body (struct client *client, const char *data, size_t length);
void client_end_response (struct client *client);
void client_abort_response (struct client *client);
void client_respond (struct client *client, uint32_t status,
                     const char *fields, const char *body, size_t length);
int client_is_at (const struct client *client, struct in_addr address);
size_t client_backlog (const struct client *client);
int client_must_catch_up (const struct client *client);

#endif
