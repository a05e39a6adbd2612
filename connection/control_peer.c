/* API for peers: configuration and ledger. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/budget.h"
#include "libcontrol.h"

static void serve_config (struct control_call *call, const char *path_suffix);
static void serve_ledger (struct control_call *call, const char *path_suffix);
static void on_batch_done (void *closure, char *json);

const struct control_route control_peer_routes[]
    = { { "GET", "/peer/config", serve_config },
        { "POST", "/peer/ledger", serve_ledger },
        { NULL, NULL, NULL } };

/* Returns the objects that changed after the revision "since".  */
static void
serve_config (struct control_call *call, const char *path_suffix)
{
  struct server *server = call->listener->server;
  const char *since = control_query_argument (call, "since");
  char *text;

  (void)path_suffix;
  text = ver_store_changes_since (
      server->store, since ? g_ascii_strtoull (since, NULL, 10) : 0);
  if (!peer_consume_budget (server->peer, BUDGET_CONFIG,
                            (int64_t)strlen (text)))
    {
      free (text);
      control_respond_error (call, MHD_HTTP_SERVICE_UNAVAILABLE, ERR_IO,
                             "control budget spent");
      return;
    }
  metric_add (METRIC_SENT_CONFIG_BYTES, strlen (text));
  control_respond (call, MHD_HTTP_OK, text);
}

/* Executes ledger operations for another instance.  The call is suspended
   until the results are durable.  */
static void
serve_ledger (struct control_call *call, const char *path_suffix)
{
  (void)path_suffix;
  call->suspended = 1;
  MHD_suspend_connection (call->connection);
  ledger_serve_batch (call->listener->server->ledger, call->body->str,
                      on_batch_done, call);
}

/* Responds to the call CLOSURE with JSON, the results of its operations, or
   with an error if JSON is NULL.  */
static void
on_batch_done (void *closure, char *json)
{
  if (json == NULL)
    control_respond_error (closure, MHD_HTTP_BAD_REQUEST, ERR_INVALID,
                           "malformed batch");
  else
    control_respond (closure, MHD_HTTP_OK, json);
}
