/* Responses to clients: complete bodies, streams and refusals. */
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ibisloom/log.h"
#include "libconnection.h"

enum
{
  STREAM_BLOCK_BYTES = 16384,
  RETRY_AFTER_JITTER_S = 5
};

static ssize_t read_stream (void *closure, uint64_t position, char *buffer,
                            size_t size);
static void add_response_headers (struct req *req,
                                  struct MHD_Response *response);

static const struct
{
  const char *code;
  const char *remedy;
  enum metric_counter counter;
  unsigned status;
  int retry_after_s; /* 0: none, as a retry does not help */
} refusals[REFUSE_COUNT] = {
  [REFUSE_BAD_REQUEST]
  = { "bad_request",
      "send JSON with model, chat_id and messages, and one length",
      METRIC_REFUSED_BAD_REQUEST, 400, 0 },
  [REFUSE_UNKNOWN_CUSTOMER]
  = { "unknown_customer", "set X-Customer to a configured customer",
      METRIC_REFUSED_UNKNOWN_CUSTOMER, 403, 0 },
  [REFUSE_UNKNOWN_SERVICE]
  = { "unknown_service", "use the path and name of a configured service",
      METRIC_REFUSED_UNKNOWN_SERVICE, 404, 0 },
  [REFUSE_MISSING_KEY]
  = { "missing_key", "set Idempotency-Key, the same for each repeat",
      METRIC_REFUSED_MISSING_KEY, 400, 0 },
  [REFUSE_KEY_REUSED]
  = { "key_reused", "use a new Idempotency-Key for a new request",
      METRIC_REFUSED_KEY_REUSED, 422, 0 },
  [REFUSE_TOO_LARGE]
  = { "too_large", "send a smaller body", METRIC_REFUSED_TOO_LARGE, 413, 0 },
  [REFUSE_NO_TARGET]
  = { "no_target", "repeat later; no target of the service is usable",
      METRIC_REFUSED_NO_TARGET, 503, 1 },
  [REFUSE_CAPACITY] = { "capacity", "repeat later; all targets are full",
                        METRIC_REFUSED_CAPACITY, 503, 1 },
  [REFUSE_CUSTOMER_SHARE]
  = { "customer_share", "repeat later; the customer's share is in use",
      METRIC_REFUSED_CUSTOMER_SHARE, 429, 2 },
  [REFUSE_RETRY_BUDGET]
  = { "retry_budget", "repeat later; too many targets fail",
      METRIC_REFUSED_RETRY_BUDGET, 503, 2 },
  [REFUSE_DEADLINE] = { "deadline", "repeat later or allow more time",
                        METRIC_REFUSED_DEADLINE, 504, 1 },
  [REFUSE_LEDGER_DOWN]
  = { "ledger_down", "repeat later with the same Idempotency-Key",
      METRIC_REFUSED_LEDGER_DOWN, 503, 2 },
  [REFUSE_IN_PROGRESS]
  = { "in_progress", "repeat later with the same Idempotency-Key",
      METRIC_REFUSED_IN_PROGRESS, 409, 2 },
  [REFUSE_MAY_HAVE_RUN]
  = { "may_have_run", "check at the service whether it ran",
      METRIC_REFUSED_MAY_HAVE_RUN, 502, 0 },
  [REFUSE_STOPPING] = { "stopping", "repeat at once at another instance",
                        METRIC_REFUSED_STOPPING, 503, 1 },
  [REFUSE_NOT_READY] = { "not_ready", "repeat at once at another instance",
                         METRIC_REFUSED_NOT_READY, 503, 1 },
  [REFUSE_TARGETS_FAILED]
  = { "targets_failed", "repeat later; the targets tried have failed",
      METRIC_REFUSED_TARGETS_FAILED, 502, 1 },
  [REFUSE_QUARANTINED]
  = { "quarantined", "do not repeat it; it has crashed targets",
      METRIC_REFUSED_QUARANTINED, 503, 60 },
};

static const char *const execution_names[]
    = { "not_run", "ran", "may_have_run" };

/* Ends REQ with REFUSAL.  RUN is whether REQ was executed, and is reported to
   the client.  Retry-After is jittered so that clients do not retry all at
   once.  */
void
req_refuse (struct req *req, enum req_refusal refusal, enum req_execution run)
{
  struct MHD_Response *response;
  int64_t retry_after_s = refusals[refusal].retry_after_s;
  char number[24];
  char *text;

  metric_inc (refusals[refusal].counter);
  if (retry_after_s > 0)
    retry_after_s
        += g_rand_int_range (req->worker->random, 0, RETRY_AFTER_JITTER_S);
  text = req_refusal_json (req, refusal, run, retry_after_s);
  log_debug ("request", req->id_text, refusals[refusal].code, "%s",
             execution_names[run]);
  if (req->response != NULL)
    {
      /* The stream has begun: send the refusal as its last event.  */
      if (req->stream)
        g_string_append_printf (req->out, "event: error\ndata: %s\n\n", text);
      free (text);
      req->out_done = 1;
      req->phase = REQ_DONE;
      frontend_resume (req);
      return;
    }
  response = MHD_create_response_from_buffer (strlen (text), text,
                                              MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  if (retry_after_s > 0)
    {
      g_snprintf (number, sizeof number, "%" G_GINT64_FORMAT,
                  (gint64)retry_after_s);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, number);
    }
  req_respond (req, refusals[refusal].status, response);
}

/* Returns REFUSAL as JSON text, to be freed with free.  RETRY_AFTER_S is
   left out if it is 0.  */
char *
req_refusal_json (const struct req *req, enum req_refusal refusal,
                  enum req_execution run, int64_t retry_after_s)
{
  json_t *error
      = json_pack ("{s:s,s:s,s:s,s:s}", "code", refusals[refusal].code, "run",
                   execution_names[run], "remedy", refusals[refusal].remedy,
                   "request_id", req->id_text);
  json_t *json = json_pack ("{s:o}", "error", error);
  char *text;

  if (retry_after_s > 0)
    json_object_set_new (error, "retry_after_s", json_integer (retry_after_s));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

/* Responds to REQ with the LENGTH bytes of BODY, which are copied.
   CONTENT_TYPE may be NULL.  */
void
req_respond_body (struct req *req, unsigned status, const char *content_type,
                  const char *body, size_t length)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);

  if (content_type != NULL && *content_type != '\0')
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  add_response_headers (req, response);
  req_respond (req, status, response);
}

/* Starts an event stream to the client, which is read from REQ's output
   buffer.  Does nothing if a response was started before.  */
void
req_respond_stream (struct req *req)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, req, NULL);

  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "text/event-stream");
  MHD_add_response_header (response, MHD_HTTP_HEADER_CACHE_CONTROL,
                           "no-cache");
  if (req->response != NULL)
    {
      MHD_destroy_response (response);
      return;
    }
  req->response = response;
  req->response_status = MHD_HTTP_OK;
  MHD_add_response_header (response, "X-Request-Id", req->id_text);
  frontend_resume (req);
}

/* Completes REQ with STATUS and RESPONSE, which is queued when the
   connection resumes.  RESPONSE is dropped if there is one already or the
   client has disconnected.  */
void
req_respond (struct req *req, unsigned status, struct MHD_Response *response)
{
  clk_ms now = clk_now (clk_monotonic ());

  req_leave_queue (req);
  req->phase = REQ_DONE;
  req->timer_ms = INT64_MAX;
  if (req->response != NULL || req->connection == NULL)
    {
      MHD_destroy_response (response);
      return;
    }
  if (status < MHD_HTTP_BAD_REQUEST)
    metric_inc (METRIC_ANSWERED);
  metric_observe (METRIC_HIST_TOTAL_MS, now - req->arrived_ms);
  if (req->close)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  MHD_add_response_header (response, "X-Request-Id", req->id_text);
  req->response = response;
  req->response_status = status;
  frontend_resume (req);
}

/* Adds the end-to-end headers of the target's response to RESPONSE.  */
static void
add_response_headers (struct req *req, struct MHD_Response *response)
{
  const GPtrArray *headers = req->attempt.response_headers;

  for (guint i = 0; headers != NULL && i < headers->len; i++)
    {
      char *line = g_ptr_array_index (headers, i);
      char *colon = strchr (line, ':');

      *colon = '\0';
      MHD_add_response_header (response, line, g_strchug (colon + 1));
    }
}

/* Copies buffered output to libmicrohttpd.  Suspends the connection if
   there is none, and resumes a target that was paused.  */
static ssize_t
read_stream (void *closure, uint64_t position, char *buffer, size_t size)
{
  struct req *req = closure;
  size_t length = MIN (req->out->len - req->out_offset, size);

  (void)position;
  if (length > 0)
    {
      memcpy (buffer, req->out->str + req->out_offset, length);
      req->out_offset += length;
      if (req->out_offset == req->out->len)
        {
          g_string_truncate (req->out, 0);
          req->out_offset = 0;
        }
      else if (req->out_offset > STREAM_BLOCK_BYTES * 4)
        {
          g_string_erase (req->out, 0, (gssize)req->out_offset);
          req->out_offset = 0;
        }
      backend_resume (req);
      return (ssize_t)length;
    }
  if (req->out_broken)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (req->out_done)
    return MHD_CONTENT_READER_END_OF_STREAM;
  frontend_suspend (req);
  return 0;
}
