/* Connections of clients, on libmicrohttpd. */
#include <string.h>

#include <ck_pr.h>

#include "ibisloom/error.h"
#include "libconnection.h"

enum
{
  CONNECTION_MEMORY_BYTES = 32768,
  CONNECTIONS_MAX = 16384
};

static enum MHD_Result on_request (void *closure,
                                   struct MHD_Connection *connection,
                                   const char *url, const char *method,
                                   const char *version, const char *data,
                                   size_t *size, void **state);
static void on_completed (void *closure, struct MHD_Connection *connection,
                          void **state, enum MHD_RequestTerminationCode code);
static enum MHD_Result append_body (struct req *req, const char *data,
                                    size_t *size);
static enum MHD_Result queue_response (struct req *req);

/* Starts the listener of WORKER.  All workers listen on the same address;
   the kernel distributes the connections.  Returns NULL with ERROR set on
   failure.  */
struct MHD_Daemon *
frontend_start (struct worker *worker, GError **error)
{
  const struct settings *settings = worker->server->settings;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;
  char *certificate = NULL;
  char *key = NULL;
  struct MHD_Daemon *daemon;
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_SOCK_ADDR, 0, (void *)(uintptr_t)&settings->listen },
    { MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES, NULL },
    { MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t)settings->header_timeout_s,
      NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, worker },
    { MHD_OPTION_STRICT_FOR_CLIENT, 1, NULL },
    { MHD_OPTION_END, 0, NULL },
    { MHD_OPTION_END, 0, NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  size_t first_unused = G_N_ELEMENTS (options) - 3;

  if (settings->tls_certificate_file != NULL)
    {
      if (!g_file_get_contents (settings->tls_certificate_file, &certificate,
                                NULL, NULL)
          || !g_file_get_contents (settings->tls_key_file, &key, NULL, NULL))
        {
          err_set (error, ERR_SETTINGS, "cannot read %s or %s",
                   settings->tls_certificate_file, settings->tls_key_file);
          g_free (certificate);
          return NULL;
        }
      flags |= MHD_USE_TLS;
      options[first_unused].option = MHD_OPTION_HTTPS_MEM_CERT;
      options[first_unused].ptr_value = certificate;
      options[first_unused + 1].option = MHD_OPTION_HTTPS_MEM_KEY;
      options[first_unused + 1].ptr_value = key;
    }
  daemon = MHD_start_daemon (flags, ntohs (settings->listen.sin_port), NULL,
                             NULL, on_request, worker, MHD_OPTION_ARRAY,
                             options, MHD_OPTION_END);
  g_free (certificate);
  g_free (key);
  if (daemon == NULL)
    err_set (error, ERR_IO, "listen: port %u cannot be used",
             ntohs (settings->listen.sin_port));
  return daemon;
}

/* Resumes the connection of REQ.  */
void
frontend_resume (struct req *req)
{
  if (!req->suspended || req->connection == NULL)
    return;
  req->suspended = 0;
  req->worker->frontend_due = 1;
  MHD_resume_connection (req->connection);
}

/* Suspends the connection of REQ until frontend_resume.  */
void
frontend_suspend (struct req *req)
{
  if (req->suspended)
    return;
  req->suspended = 1;
  MHD_suspend_connection (req->connection);
}

/* Called by libmicrohttpd for each stage of a request: when the header is
   received, for each piece of the body, at the end of the body, and after each
   resume.  */
static enum MHD_Result
on_request (void *closure, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
  struct worker *worker = closure;
  struct req *req = *state;

  (void)version;
  if (req == NULL)
    {
      req = req_new (worker, connection, method);
      *state = req;
      if (req_read_headers (req, url) != 0)
        return queue_response (req);
      return MHD_YES;
    }
  if (*size > 0)
    return append_body (req, data, size);
  if (req->response == NULL && req->phase == REQ_READING)
    req_on_body_complete (req);
  if (req->response != NULL)
    return queue_response (req);
  frontend_suspend (req);
  return MHD_YES;
}

/* Appends a piece of the body.  A body that exceeds max_body_bytes is
   refused.  */
static enum MHD_Result
append_body (struct req *req, const char *data, size_t *size)
{
  size_t limit = (size_t)req->worker->server->settings->max_body_bytes;

  if (req->response == NULL && req->body->len + *size > limit)
    {
      req->close = 1;
      req_refuse (req, REFUSE_TOO_LARGE, REQ_NOT_RUN);
    }
  if (req->response == NULL)
    g_string_append_len (req->body, data, (gssize)*size);
  *size = 0;
  return MHD_YES;
}

/* Queues the response of REQ, once.  */
static enum MHD_Result
queue_response (struct req *req)
{
  enum MHD_Result result;

  if (req->response_queued)
    return MHD_YES;
  req->response_queued = 1;
  result = MHD_queue_response (req->connection, req->response_status,
                               req->response);
  MHD_destroy_response (req->response);
  return result;
}

/* Ends the request, whose response was sent in full or whose client has
   disconnected.  */
static void
on_completed (void *closure, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct req *req = *state;

  (void)closure;
  (void)connection;
  *state = NULL;
  if (req == NULL)
    return;
  req->connection = NULL;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && req->phase != REQ_DONE
      && req->phase != REQ_READING)
    metric_inc (METRIC_CLIENT_DISCONNECTED);
  req_cancel (req);
}
