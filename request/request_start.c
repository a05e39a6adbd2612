/* Start of a request: routing, validation and headers. */
#include <string.h>

#include <ck_pr.h>
#include <sodium.h>

#include "ibisloom/quarantine.h"
#include "libconnection.h"

enum
{
  RAW_ID_BYTES = 16,
  IDEMPOTENCY_KEY_MAX_BYTES = 255,
  PRIORITY_MAX = 9,
  PRIORITY_DEFAULT = 5,
  DEFAULT_DEADLINE_MS = 60000
};

typedef int (*route_handler) (struct req *req, const char *rest);

static int start_chat (struct req *req, const char *rest);
static int start_plain_call (struct req *req, const char *rest);
static int respond_health (struct req *req, const char *rest);
static int respond_ready (struct req *req, const char *rest);
static int respond_metrics (struct req *req, const char *rest);
static void set_fingerprint (struct req *req);
static int check_request (struct req *req);
static int read_customer (struct req *req);
static int read_service (struct req *req, const char *name);
static int read_idempotency_key (struct req *req);
static enum MHD_Result forward_header (void *closure, enum MHD_ValueKind kind,
                                       const char *name, const char *value);
static enum MHD_Result append_argument (void *closure, enum MHD_ValueKind kind,
                                        const char *name, const char *value);
static const char *lookup_header (struct req *req, const char *name);
static int is_idempotent_method (const char *method);

static const struct
{
  const char *method; /* NULL: any */
  const char *prefix;
  route_handler handler;
} routes[] = {
  { "POST", "/v1/chat/completions", start_chat },
  { NULL, "/v1/services/", start_plain_call },
  { "GET", "/healthz", respond_health },
  { "GET", "/readyz", respond_ready },
  { "GET", "/metrics", respond_metrics },
};

/* Headers that are hop-by-hop (RFC 9110, 7.6.1) or set by the router. */
static const char *const unforwarded_headers[] = { "Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Host",
                                                   "Content-Length",
                                                   "Expect",
                                                   "Proxy-Connection",
                                                   "X-Request-Id",
                                                   "X-Continue-At",
                                                   "X-Chat",
                                                   "X-Priority",
                                                   "Idempotency-Key",
                                                   "Accept",
                                                   "Accept-Encoding" };

static const char *const idempotent_methods[]
    = { "GET", "HEAD", "OPTIONS", "PUT", "DELETE" };

/* Returns a new request of CONNECTION with a random identifier.  */
struct req *
req_new (struct worker *worker, struct MHD_Connection *connection,
         const char *method)
{
  struct req *req = g_new0 (struct req, 1);
  unsigned char id[RAW_ID_BYTES];

  randombytes_buf (id, sizeof id);
  sodium_bin2hex (req->id_text, sizeof req->id_text, id, sizeof id);
  req->id = ++worker->next_id;
  req->worker = worker;
  req->connection = connection;
  req->body = g_string_new (NULL);
  req->out = g_string_new (NULL);
  req->events.partial = g_string_new (NULL);
  req->arrived_ms = clk_now (clk_monotonic ());
  req->timer_ms = INT64_MAX;
  req->deadline_ms = req->arrived_ms + DEFAULT_DEADLINE_MS;
  g_strlcpy (req->method, method, sizeof req->method);
  g_hash_table_insert (worker->requests, &req->id, req);
  ck_pr_inc_64 ((uint64_t *)&worker->server->open_requests);
  return req;
}

/* Frees REQ, which must not have an attempt, a grant or a connection.  */
void
req_free (struct req *req)
{
  req_leave_queue (req);
  g_hash_table_remove (req->worker->requests, &req->id);
  ck_pr_dec_64 ((uint64_t *)&req->worker->server->open_requests);
  curl_slist_free_all (req->forwarded_headers);
  g_string_free (req->body, TRUE);
  g_string_free (req->out, TRUE);
  g_string_free (req->events.partial, TRUE);
  if (req->content != NULL)
    g_string_free (req->content, TRUE);
  g_free (req->path);
  g_free (req->idempotency_key);
  g_free (req);
}

/* Dispatches REQ to the handler of URL, which reads the headers.  Returns
   0 if the body is to be read, or -1 with the response set.  */
int
req_read_headers (struct req *req, const char *url)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      const char *rest;

      if (!g_str_has_prefix (url, routes[i].prefix)
          || (routes[i].method != NULL
              && strcmp (routes[i].method, req->method) != 0))
        continue;
      rest = url + strlen (routes[i].prefix);
      if (routes[i].method != NULL && *rest != '\0')
        continue;
      return routes[i].handler (req, rest);
    }
  metric_inc (METRIC_REQUESTS);
  req_refuse (req, REFUSE_UNKNOWN_SERVICE, REQ_NOT_RUN);
  return -1;
}

/* Continues REQ after its body is complete.  A call that may not be
   repeated claims its ledger record first.  */
void
req_on_body_complete (struct req *req)
{
  if (req->kind == VER_KIND_CHAT && chat_parse (req) != 0)
    return;
  set_fingerprint (req);
  if (guard_blocks (req->worker->server->guard, req->fingerprint))
    {
      req_refuse (req, REFUSE_QUARANTINED, REQ_NOT_RUN);
      return;
    }
  if (req->repeatable)
    {
      req_dispatch (req);
      return;
    }
  ledger_derive_key (req->ledger_call.key, req->customer, req->service,
                     req->idempotency_key);
  ledger_generate_nonce (req->ledger_call.nonce);
  req->ledger_call.fingerprint
      = rank_hash_parts (req->method, req->path, req->body->str) >> 1;
  req_claim (req);
}

/* Sets the fingerprint of REQ, by which the quarantine knows it when it comes
   again.  */
static void
set_fingerprint (struct req *req)
{
  uint64_t path = rank_hash_parts (req->method, req->service, req->path);
  uint64_t body = rank_hash_bytes (req->body->str, req->body->len);

  req->fingerprint
      = rank_mix (rank_mix (path, req->customer_id), body) | QUAR_REQUEST_BIT;
}

/* Reads the headers of a chat request.  */
static int
start_chat (struct req *req, const char *rest)
{
  const char *model = lookup_header (req, "X-Service");

  (void)rest;
  metric_inc (METRIC_REQUESTS);
  req->kind = VER_KIND_CHAT;
  req->repeatable = 1;
  req->path = g_strdup ("/v1/chat/completions");
  if (check_request (req) != 0 || read_customer (req) != 0)
    return -1;
  if (model != NULL && read_service (req, model) != 0)
    return -1;
  MHD_get_connection_values (req->connection, MHD_HEADER_KIND, forward_header,
                             req);
  return 0;
}

/* Reads the headers of a call to "/v1/services/NAME/REST".  */
static int
start_plain_call (struct req *req, const char *rest)
{
  const char *slash = strchr (rest, '/');
  char name[VER_NAME_MAX_BYTES];
  GString *path;

  metric_inc (METRIC_REQUESTS);
  g_strlcpy (name, rest, sizeof name);
  if (slash != NULL && (size_t)(slash - rest) < sizeof name)
    name[slash - rest] = '\0';
  if (check_request (req) != 0 || read_customer (req) != 0
      || read_service (req, name) != 0)
    return -1;
  if (req->kind != VER_KIND_PLAIN)
    {
      req_refuse (req, REFUSE_UNKNOWN_SERVICE, REQ_NOT_RUN);
      return -1;
    }
  path = g_string_new (slash != NULL ? slash : "/");
  MHD_get_connection_values (req->connection, MHD_GET_ARGUMENT_KIND,
                             append_argument, path);
  req->path = g_string_free (path, FALSE);
  MHD_get_connection_values (req->connection, MHD_HEADER_KIND, forward_header,
                             req);
  return read_idempotency_key (req);
}

/* Responds to a liveness check.  */
static int
respond_health (struct req *req, const char *rest)
{
  (void)rest;
  req_respond_body (req, MHD_HTTP_OK, "text/plain", "ok\n", 3);
  return -1;
}

/* Responds to a readiness check of the load balancer.  */
static int
respond_ready (struct req *req, const char *rest)
{
  const struct server *server = req->worker->server;
  int ready
      = ck_pr_load_int (&server->ready) && !ck_pr_load_int (&server->stopping);
  const char *text = ready ? "ready\n" : "not ready\n";

  (void)rest;
  req_respond_body (req, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE,
                    "text/plain", text, strlen (text));
  return -1;
}

/* Responds with the metrics in text format.  */
static int
respond_metrics (struct req *req, const char *rest)
{
  GString *text = g_string_new (NULL);

  (void)rest;
  metric_print_all (text);
  req_respond_body (req, MHD_HTTP_OK, "text/plain; version=0.0.4", text->str,
                    text->len);
  g_string_free (text, TRUE);
  return -1;
}

/* Refuses requests while the instance is not ready, bodies that are too
   large, and requests with ambiguous framing, on whose length client and
   target could disagree (request smuggling).  Returns 0, or -1 with the
   response set.  */
static int
check_request (struct req *req)
{
  const struct server *server = req->worker->server;
  const char *length = lookup_header (req, MHD_HTTP_HEADER_CONTENT_LENGTH);
  const char *coding = lookup_header (req, MHD_HTTP_HEADER_TRANSFER_ENCODING);

  if (ck_pr_load_int (&server->stopping))
    req->close = 1;
  if (!ck_pr_load_int (&server->ready))
    {
      req->close = 1;
      req_refuse (req, REFUSE_NOT_READY, REQ_NOT_RUN);
      return -1;
    }
  if (length != NULL
      && (coding != NULL || strspn (length, "0123456789") != strlen (length)))
    {
      req->close = 1;
      req_refuse (req, REFUSE_BAD_REQUEST, REQ_NOT_RUN);
      return -1;
    }
  if (length != NULL
      && g_ascii_strtoull (length, NULL, 10)
             > (guint64)server->settings->max_body_bytes)
    {
      req->close = 1;
      req_refuse (req, REFUSE_TOO_LARGE, REQ_NOT_RUN);
      return -1;
    }
  return 0;
}

/* Reads the customer, which has to be configured, and the priority.
   Returns 0, or -1 with the response set.  */
static int
read_customer (struct req *req)
{
  const char *name = lookup_header (req, "X-Customer");
  const struct ver_customer *customer
      = name != NULL ? ver_customer_find (req->worker->version, name) : NULL;
  const char *priority = lookup_header (req, "X-Priority");

  if (customer == NULL)
    {
      req_refuse (req, REFUSE_UNKNOWN_CUSTOMER, REQ_NOT_RUN);
      return -1;
    }
  g_strlcpy (req->customer, customer->name, sizeof req->customer);
  req->customer_id = customer->id;
  req->priority = PRIORITY_DEFAULT;
  if (priority != NULL)
    req->priority
        = CLAMP ((int)g_ascii_strtoll (priority, NULL, 10), 0, PRIORITY_MAX);
  return 0;
}

/* Copies the settings of the service NAME.  Returns 0, or -1 with the
   response set.  */
static int
read_service (struct req *req, const char *name)
{
  const struct ver_service *service
      = ver_service_find (req->worker->version, name);

  if (service == NULL
      || (req->kind == VER_KIND_CHAT && service->kind != VER_KIND_CHAT
          && req->path != NULL))
    {
      req_refuse (req, REFUSE_UNKNOWN_SERVICE, REQ_NOT_RUN);
      return -1;
    }
  req->kind = service->kind;
  req->service_id = service->id;
  req->silence_ms = service->silence_ms;
  req->attempt_timeout_ms = service->attempt_timeout_ms;
  req->deadline_ms = req->arrived_ms + service->deadline_ms;
  req->repeatable = service->kind == VER_KIND_CHAT || service->repeat_all
                    || is_idempotent_method (req->method);
  g_strlcpy (req->service, service->name, sizeof req->service);
  return 0;
}

/* Reads the idempotency key, which a call that may not be repeated must
   have.  Returns 0, or -1 with the response set.  */
static int
read_idempotency_key (struct req *req)
{
  const char *key = lookup_header (req, "Idempotency-Key");

  if (key != NULL && *key != '\0' && strlen (key) <= IDEMPOTENCY_KEY_MAX_BYTES)
    req->idempotency_key = g_strdup (key);
  if (req->repeatable || req->idempotency_key != NULL)
    return 0;
  req_refuse (req, REFUSE_MISSING_KEY, REQ_NOT_RUN);
  return -1;
}

/* Stores a client's header for forwarding unless it is in
   unforwarded_headers.  */
static enum MHD_Result
forward_header (void *closure, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  struct req *req = closure;
  char *line;

  (void)kind;
  for (size_t i = 0; i < G_N_ELEMENTS (unforwarded_headers); i++)
    if (g_ascii_strcasecmp (name, unforwarded_headers[i]) == 0)
      return MHD_YES;
  line = g_strdup_printf ("%s: %s", name, value != NULL ? value : "");
  req->forwarded_headers = curl_slist_append (req->forwarded_headers, line);
  g_free (line);
  return MHD_YES;
}

/* Appends one query argument to the path CLOSURE, percent-encoded.  */
static enum MHD_Result
append_argument (void *closure, enum MHD_ValueKind kind, const char *name,
                 const char *value)
{
  GString *path = closure;
  char *escaped = g_uri_escape_string (name, NULL, FALSE);

  (void)kind;
  g_string_append_c (path, strchr (path->str, '?') != NULL ? '&' : '?');
  g_string_append (path, escaped);
  g_free (escaped);
  if (value == NULL)
    return MHD_YES;
  escaped = g_uri_escape_string (value, NULL, FALSE);
  g_string_append_printf (path, "=%s", escaped);
  g_free (escaped);
  return MHD_YES;
}

/* Returns the value of the client's header NAME, or NULL.  */
static const char *
lookup_header (struct req *req, const char *name)
{
  return MHD_lookup_connection_value (req->connection, MHD_HEADER_KIND, name);
}

/* Returns whether METHOD is idempotent by definition (RFC 9110, 9.2.2).  */
static int
is_idempotent_method (const char *method)
{
  for (size_t i = 0; i < G_N_ELEMENTS (idempotent_methods); i++)
    if (strcmp (method, idempotent_methods[i]) == 0)
      return 1;
  return 0;
}
