/* Private to connection/control*.c: HTTP listeners for peers and operators. */
#ifndef LIBCONTROL_H
#define LIBCONTROL_H

#include <jansson.h>

#include "ibisloom/error.h"
#include "ibisloom/platform.h"
#include "libconnection.h"

struct control_call;

struct control_route
{
  const char *method;
  const char *prefix;
  void (*handle) (struct control_call *call, const char *path_suffix);
};

struct control_listener
{
  struct server *server;
  struct MHD_Daemon *daemon;
  const char *token;
  const struct control_route *routes;
  enum metric_counter denied_counter;
  struct platform *platform; /* operators' listener only */
};

struct control
{
  struct control_listener peers;
  struct control_listener operators;
};

struct control_call
{
  struct control_listener *listener;
  struct MHD_Connection *connection;
  const char *url;
  const char *method;
  GString *body;
  struct MHD_Response *response;
  unsigned status;
  int dispatched;
  int suspended; /* the response comes later, possibly from another thread */
  uint64_t expected; /* if not 0, revision that a write expects */
};

extern const struct control_route control_peer_routes[];
extern const struct control_route control_operator_routes[];

void control_respond (struct control_call *call, unsigned status, char *text);
void control_respond_error (struct control_call *call, unsigned status,
                            enum err_code code, const char *message);
void control_respond_gerror (struct control_call *call, GError *error);
const char *control_query_argument (struct control_call *call,
                                    const char *name);

#endif
