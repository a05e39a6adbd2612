/* HTTP listeners for peers and operators. */
#include <string.h>

#include <ck_pr.h>
#include <sodium.h>

#include "ibisloom/error.h"
#include "libcontrol.h"

enum
{
  CONNECTION_TIMEOUT_S = 30,
  BODY_MAX_BYTES = 4194304
};

static struct MHD_Daemon *start_listener (struct control_listener *listener,
                                          const struct sockaddr_in *address,
                                          GError **error);
static enum MHD_Result on_request (void *closure,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *size, void **state);
static void on_completed (void *closure, struct MHD_Connection *connection,
                          void **state, enum MHD_RequestTerminationCode code);
static int is_authorized (struct control_call *call);
static void dispatch (struct control_call *call);
static enum MHD_Result queue_response (struct control_call *call);

/* Starts both listeners of SERVER.  Returns NULL with ERROR set on
   failure.  */
struct control *
control_start (struct server *server, GError **error)
{
  struct control *control = g_new0 (struct control, 1);
  const struct settings *settings = server->settings;

  control->peers.server = server;
  control->peers.token = settings->cluster_key;
  control->peers.routes = control_peer_routes;
  control->peers.denied_counter = METRIC_PEER_DENIED;
  control->operators.server = server;
  control->operators.token = settings->operator_token;
  control->operators.routes = control_operator_routes;
  control->operators.denied_counter = METRIC_OPERATOR_DENIED;
  control->operators.platform = sync_open_platform (server);
  control->peers.daemon
      = start_listener (&control->peers, &settings->peer_listen, error);
  if (control->peers.daemon == NULL)
    return NULL;
  control->operators.daemon = start_listener (
      &control->operators, &settings->operator_listen, error);
  if (control->operators.daemon == NULL)
    return NULL;
  return control;
}

/* Stops both listeners and frees CONTROL.  */
void
control_stop (struct control *control)
{
  MHD_stop_daemon (control->peers.daemon);
  MHD_stop_daemon (control->operators.daemon);
  platform_free (control->operators.platform);
  g_free (control);
}

/* Responds to CALL with the JSON document TEXT, which is freed with free.  If
   a route has suspended the call, this may be called from any thread and
   resumes it.  */
void
control_respond (struct control_call *call, unsigned status, char *text)
{
  int resume = call->suspended;

  call->response = MHD_create_response_from_buffer (strlen (text), text,
                                                    MHD_RESPMEM_MUST_FREE);
  call->status = status;
  MHD_add_response_header (call->response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  if (resume)
    MHD_resume_connection (call->connection);
}

/* Responds to CALL with an error CODE and MESSAGE.  */
void
control_respond_error (struct control_call *call, unsigned status,
                       enum err_code code, const char *message)
{
  json_t *json
      = json_pack ("{s:{s:s,s:s,s:s}}", "error", "code", err_name (code),
                   "message", message, "remedy", err_remedy (code));

  control_respond (call, status, json_dumps (json, JSON_COMPACT));
  json_decref (json);
}

/* Responds to CALL with ERROR, which is freed.  */
void
control_respond_gerror (struct control_call *call, GError *error)
{
  static const unsigned statuses[ERR_COUNT] = {
    [ERR_SETTINGS] = 500,      [ERR_IO] = 502,
    [ERR_PLATFORM_DOWN] = 503, [ERR_PLATFORM_INDETERMINATE] = 504,
    [ERR_CONFLICT] = 409,      [ERR_NOT_FOUND] = 404,
    [ERR_INVALID] = 422,       [ERR_DENIED] = 401,
  };

  control_respond_error (call, statuses[error->code],
                         (enum err_code)error->code, error->message);
  g_error_free (error);
}

/* Returns the query parameter NAME of CALL, or NULL.  */
const char *
control_query_argument (struct control_call *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND,
                                      name);
}

/* Starts LISTENER on ADDRESS, with a thread of its own.  */
static struct MHD_Daemon *
start_listener (struct control_listener *listener,
                const struct sockaddr_in *address, GError **error)
{
  struct MHD_Daemon *daemon = MHD_start_daemon (
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
      ntohs (address->sin_port), NULL, NULL, on_request, listener,
      MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_END);

  if (daemon == NULL)
    err_set (error, ERR_IO, "port %u cannot be used",
             ntohs (address->sin_port));
  return daemon;
}

/* Called by libmicrohttpd for each stage of a call: header, pieces of the
   body, end of the body, and after a resume.  */
static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct control_call *call = *state;

  (void)version;
  if (call == NULL)
    {
      call = g_new0 (struct control_call, 1);
      call->listener = closure;
      call->connection = connection;
      call->url = url;
      call->method = method;
      call->body = g_string_new (NULL);
      *state = call;
      if (is_authorized (call))
        return MHD_YES;
      metric_inc (call->listener->denied_counter);
      control_respond_error (call, MHD_HTTP_UNAUTHORIZED, ERR_DENIED,
                             "no valid token");
      return queue_response (call);
    }
  if (*size > 0)
    {
      if (call->body->len + *size > BODY_MAX_BYTES)
        return MHD_NO;
      g_string_append_len (call->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  if (!call->dispatched)
    {
      call->dispatched = 1;
      dispatch (call);
      if (call->suspended)
        return MHD_YES;
    }
  return queue_response (call);
}

/* Returns whether CALL has the token of its listener.  The time of the
   comparison does not depend on the position of a difference.  */
static int
is_authorized (struct control_call *call)
{
  static const char scheme[] = "Bearer ";
  const char *header = MHD_lookup_connection_value (
      call->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
  const char *token = call->listener->token;

  if (header == NULL || !g_str_has_prefix (header, scheme))
    return 0;
  header += sizeof scheme - 1;
  return strlen (header) == strlen (token)
         && sodium_memcmp (header, token, strlen (token)) == 0;
}

/* Passes CALL to the first route that matches.  */
static void
dispatch (struct control_call *call)
{
  const struct control_route *route = call->listener->routes;

  for (; route->method != NULL; route++)
    if (strcmp (route->method, call->method) == 0
        && g_str_has_prefix (call->url, route->prefix))
      {
        route->handle (call, call->url + strlen (route->prefix));
        return;
      }
  control_respond_error (call, MHD_HTTP_NOT_FOUND, ERR_NOT_FOUND,
                         "no such path");
}

/* Queues the response of CALL.  */
static enum MHD_Result
queue_response (struct control_call *call)
{
  enum MHD_Result result
      = MHD_queue_response (call->connection, call->status, call->response);

  MHD_destroy_response (call->response);
  return result;
}

static void
on_completed (void *closure, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct control_call *call = *state;

  (void)closure;
  (void)connection;
  (void)code;
  if (call == NULL)
    return;
  g_string_free (call->body, TRUE);
  g_free (call);
}
