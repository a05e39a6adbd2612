/* HTTP server of the fakes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <arpa/inet.h>

#include "fake_http.h"
#include "libsocket.h"

enum
{
  BACKLOG = 1024,
  CONNECTION_TIMEOUT_S = 120
};

static enum MHD_Result on_request (void *closure,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *size, void **state);
static void on_completed (void *closure, struct MHD_Connection *connection,
                          void **state, enum MHD_RequestTerminationCode code);

/* Serves requests to PORT of the loopback address with HANDLER.  Ends the
   process if the port cannot be bound.  It is bound without SO_REUSEPORT:
   otherwise two fleets on one port would each get some of the other's
   requests.  */
void
fake_listen (struct fake_server *server, int port, fake_handler handler,
             void *closure)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  int fd = sock_listen (&address, BACKLOG);

  server->port = port;
  server->handler = handler;
  server->closure = closure;
  if (fd >= 0)
    server->daemon = MHD_start_daemon (
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
            | MHD_USE_POLL,
        (uint16_t)port, NULL, NULL, on_request, server,
        MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_THREAD_STACK_SIZE,
        (size_t)262144, MHD_OPTION_CONNECTION_LIMIT, (unsigned)8192,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
  if (fd >= 0 && server->daemon != NULL)
    {
      printf ("port %d listens\n", port);
      fflush (stdout);
      return;
    }
  fprintf (stderr, "port %d cannot be used\n", port);
  exit (EXIT_FAILURE);
}

/* Refuses new connections to SERVER until fake_listen is called again; open
   connections are kept.  */
void
fake_stop_listening (struct fake_server *server)
{
  MHD_socket fd = MHD_quiesce_daemon (server->daemon);

  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

/* Responds to REQUEST with TEXT, which is copied.  */
void
fake_respond (struct fake_request *request, unsigned status, const char *text)
{
  request->status = status;
  request->response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (request->response, "Content-Type",
                           "application/json");
}

/* Responds to REQUEST with JSON and releases it.  */
void
fake_respond_json (struct fake_request *request, unsigned status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  fake_respond (request, status, text);
  free (text);
  json_decref (json);
}

/* Closes the connection of REQUEST without a response.  */
void
fake_drop_connection (struct fake_request *request)
{
  request->dropped = 1;
}

/* Returns the header NAME of REQUEST, or NULL.  */
const char *
fake_header (struct fake_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

/* Returns the query argument NAME of REQUEST, or NULL.  */
const char *
fake_query_argument (struct fake_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

/* Copies the identifier of REQUEST to the response.  */
void
fake_echo_request_id (struct fake_request *request)
{
  const char *id = fake_header (request, "X-Request-Id");

  if (id != NULL && request->response != NULL)
    MHD_add_response_header (request->response, "X-Request-Id", id);
}

void
fake_sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  if (ms > 0)
    nanosleep (&duration, NULL);
}

/* Returns the monotonic time in milliseconds, which all processes of the
   machine share.  */
int64_t
fake_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* Collects the body, then passes the request to the handler.  */
static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct fake_server *server = closure;
  struct fake_request *request = *state;
  enum MHD_Result result;

  (void)version;
  if (request == NULL)
    {
      request = g_new0 (struct fake_request, 1);
      request->connection = connection;
      request->body = g_string_new (NULL);
      *state = request;
      return MHD_YES;
    }
  if (*size > 0)
    {
      g_string_append_len (request->body, data, (gssize)*size);
      *size = 0;
      return MHD_YES;
    }
  request->url = url;
  request->method = method;
  server->handler (request, server->closure);
  if (request->dropped || request->response == NULL)
    return MHD_NO;
  result = MHD_queue_response (connection, request->status, request->response);
  MHD_destroy_response (request->response);
  return result;
}

/* Frees the request.  */
static void
on_completed (void *closure, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct fake_request *request = *state;

  (void)closure;
  (void)connection;
  (void)code;
  if (request == NULL)
    return;
  g_string_free (request->body, TRUE);
  g_free (request);
}
