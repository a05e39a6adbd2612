/* Responses of targets: validated and forwarded to the client. */
#include <string.h>

#include "ibisloom/buffer.h"
#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  BUFFERED_BODY_MAX_BYTES = 65536
};

static int on_head (void *owner, const struct http_head *head, int64_t length);
static int on_data (void *owner, const char *data, size_t length);
static void on_end (void *owner);
static void on_fail (void *owner, enum out_fault fault);
static void on_connected (void *owner);
static int buffer_body (struct relay *relay, const char *data, size_t length);
static void record_load (struct relay *relay, const struct http_head *head);
static void record_rate (struct relay *relay, const struct http_head *head);
static void record_room (struct relay *relay, const struct http_head *head);
static void record_pace (struct relay *relay, const struct http_head *head);
static void copy_fields (struct relay *relay, const struct http_head *head);
static void send_head (struct relay *relay);
static void forward_body (struct relay *relay, const char *data,
                          size_t length);
static void handle_complete_response (struct relay *relay);

const struct out_ops relay_upstream_ops
    = { on_head, on_data, on_end, on_fail, on_connected };

static const enum retry_fault retry_faults[OUT_FAULT_COUNT]
    = { [OUT_NOT_SENT] = RETRY_FAULT_CONNECT,
        [OUT_DISCONNECTED] = RETRY_FAULT_DISCONNECTED,
        [OUT_INVALID_RESPONSE] = RETRY_FAULT_INVALID_RESPONSE };

/* Handles the response head.  Nothing is forwarded before the response is
   known to belong to this request.  */
static int
on_head (void *owner, const struct http_head *head, int64_t length)
{
  struct relay *relay = owner;
  const char *type = http_head_get (head, "Content-Type");

  relay->attempt.last_received_ms = clk_now (clk_monotonic ());
  metric_observe (METRIC_HIST_FIRST_BYTE_MS,
                  relay->attempt.last_received_ms - relay->arrived_ms);
  relay->attempt.status = head->status;
  relay->attempt.running = -1;
  relay->attempt.waiting = -1;
  relay->attempt.length = length;
  relay->attempt.ends_with_connection
      = length < 0 && http_head_get (head, "Transfer-Encoding") == NULL;
  memset (&relay->attempt.extra, 0, sizeof relay->attempt.extra);
  relay->attempt.is_invalid
      = !relay_matches_request (relay, relay->attempt.call, head);
  if (relay->attempt.target->is_peer)
    relay->attempt.is_invalid |= relay_hop_read_head (relay, head) != 0;
  else
    relay->attempt.not_run
        = !relay->attempt.is_invalid && relay_is_not_run (relay, head);
  relay->attempt.is_event_stream
      = http_is_success (head->status) && relay->route->kind == RT_STREAM
        && type != NULL && g_str_has_prefix (type, "text/event-stream");
  if (relay->attempt.is_invalid)
    return -1;
  if (!relay->attempt.target->is_peer)
    {
      router_reach_respond (relay->router, relay->attempt.target);
      relay_read_notices (relay, &relay->attempt, head);
      record_load (relay, head);
      record_rate (relay, head);
      record_room (relay, head);
      record_pace (relay, head);
    }
  if (!relay->attempt.is_event_stream)
    relay_work_end (relay->router->fleet, &relay->attempt);
  if (!relay->head_sent)
    copy_fields (relay, head);
  relay_handle_progress (relay);
  return 0;
}

/* Handles a piece of the response body.  */
static int
on_data (void *owner, const char *data, size_t length)
{
  struct relay *relay = owner;

  if (relay_has_extra (relay, &relay->attempt, data, length))
    {
      relay->attempt.is_invalid = 1;
      return -1;
    }
  if (relay->attempt.is_event_stream)
    {
      uint32_t complete = relay->events.complete;

      if ((relay->software != 0
           && relay->software != relay_origin_of_attempt (relay))
          || relay_events_feed (relay, data, length) != 0)
        {
          relay->attempt.is_invalid = 1;
          return -1;
        }
      if (relay->events.complete == complete)
        return 0;
      relay_handle_progress (relay);
      relay_parts_event (relay);
      relay_work_first_event (relay);
    }
  else if (relay->head_sent && !relay->head_is_stream)
    {
      forward_body (relay, data, length);
      relay_handle_progress (relay);
    }
  else if (buffer_body (relay, data, length) != 0)
    return -1;
  relay_backpressure_apply (relay);
  return 0;
}

/* Returns whether a second response begins in DATA, a piece of the body of
   ATTEMPT, that the client would take for a part of the first one.  In an
   event stream it is found as it is no event.  */
int
relay_has_extra (const struct relay *relay, struct relay_attempt *attempt,
                 const char *data, size_t length)
{
  const char *field = relay->router->dialect->field[DIALECT_ATTEMPT_ID];

  if (!attempt->ends_with_connection || attempt->is_event_stream
      || !extra_scan_feed (&attempt->extra, field, data, length))
    return 0;
  metric_inc (METRIC_EXTRA_INPUT);
  return 1;
}

/* Buffers a piece of the body, so that an attempt that fails can still be
   retried.  A success that outgrows the buffer, or for which no memory is
   left, is forwarded.  Returns 0, or -1 if an error does, since no target
   explains an error at that length, or a body that comes in place of the rest
   of a stream.  */
static int
buffer_body (struct relay *relay, const char *data, size_t length)
{
  if (relay->attempt.buffered_body == NULL)
    relay->attempt.buffered_body = g_string_sized_new (length + 1);
  g_string_append_len (relay->attempt.buffered_body, data, (gssize)length);
  if (relay->attempt.buffered_body->len <= BUFFERED_BODY_MAX_BYTES
      && buf_reserve (BUF_RECEIVED, &relay->attempt.body_share,
                      relay->attempt.buffered_body->allocated_len)
             == 0)
    return 0;
  if (!http_is_success (relay->attempt.status) || relay->head_sent)
    return -1;
  send_head (relay);
  return 0;
}

/* Handles the end of a complete response.  */
static void
on_end (void *owner)
{
  struct relay *relay = owner;

  relay->attempt.call = NULL;
  handle_complete_response (relay);
}

/* Handles a new connection for the current attempt.  */
static void
on_connected (void *owner)
{
  struct relay *relay = owner;

  if (!relay->attempt.target->is_peer)
    router_reach_establish (relay->router, relay->attempt.target);
}

/* Handles a response that is missing or incomplete.  If the target said in the
   head that it did not run the request, the rest does not matter.  */
static void
on_fail (void *owner, enum out_fault fault)
{
  struct relay *relay = owner;

  relay->attempt.call = NULL;
  relay_handle_fault (
      relay, relay->attempt.not_run
                 ? RETRY_FAULT_REJECTED
                 : relay_backpressure_fault (relay, retry_faults[fault]));
}

/* Handles a complete response, once it is sure that it is complete.  */
static void
handle_complete_response (struct relay *relay)
{
  enum retry_fault fault = relay_backpressure_fault (
      relay, relay_response_fault (relay, &relay->attempt));

  if (!relay_end_verify (relay, fault))
    relay_complete (relay, fault);
}

/* Delivers the response of the current attempt of RELAY, or handles the FAULT
   that it is.  */
void
relay_complete (struct relay *relay, enum retry_fault fault)
{
  if (!relay->attempt.not_run && !relay->attempt.is_event_stream)
    relay_request_survived (relay);
  if (fault != RETRY_FAULT_COUNT)
    relay_handle_fault (relay, fault);
  else
    relay_deliver_response (relay);
}

/* Returns the fault that the complete response of ATTEMPT is, or
   RETRY_FAULT_COUNT if it is to be delivered.  A stream without an event whose
   end is that of its connection has been broken off: each stream has one, and
   one that is resumed after its last may say so by a length or a chunk.  */
enum retry_fault
relay_response_fault (const struct relay *relay,
                      const struct relay_attempt *attempt)
{
  if (attempt->not_run)
    return RETRY_FAULT_REJECTED;
  if (attempt->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
      || relay_promises_not_run (attempt->status))
    return RETRY_FAULT_ERROR_STATUS;
  if (relay->head_is_stream && !attempt->is_event_stream)
    return RETRY_FAULT_INVALID_RESPONSE;
  if (attempt->is_event_stream && attempt->partial_event != NULL
      && attempt->partial_event->len > 0)
    return RETRY_FAULT_DISCONNECTED;
  if (attempt->is_event_stream && attempt->ends_with_connection
      && attempt->first_event_ms == 0)
    return RETRY_FAULT_DISCONNECTED;
  return RETRY_FAULT_COUNT;
}

/* Sends the rest of the response to the client and ends the request.  */
void
relay_deliver_response (struct relay *relay)
{
  struct client *client = relay->client;

  if (!relay->head_sent && !relay->attempt.is_event_stream)
    relay->attempt.length = relay->attempt.buffered_body
                                ? (int64_t)relay->attempt.buffered_body->len
                                : 0;
  if (!relay->head_sent)
    send_head (relay);
  if (http_is_success (relay->attempt.status)
      && (!relay->attempt.is_event_stream
          || relay->attempt.first_event_ms != 0))
    relay_parts_succeed (relay);
  relay_end_attempt (relay,
                     relay->attempt.status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
                         ? HEALTH_SERVER_ERROR
                         : HEALTH_RESPONDED);
  if (relay->attempt.is_event_stream)
    relay_origin_end (relay);
  if (relay->attempt.status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
    metric_inc (METRIC_ANSWERED);
  relay->client = NULL;
  client_end_response (client);
  relay_finish (relay,
                relay->attempt.status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
                    ? "target_error"
                    : "answered");
}

/* Sends the response head and the buffered body to the client.  */
static void
send_head (struct relay *relay)
{
  int64_t length = relay->attempt.is_event_stream ? -1 : relay->attempt.length;

  relay_drop_kept (relay, HEALTH_EVENT_COUNT);
  relay->head_sent = 1;
  relay->head_is_stream = relay->attempt.is_event_stream;
  if (relay->hop != NULL)
    relay_accept_append_software (relay, relay->attempt.response_fields);
  client_send_head (relay->client, relay->attempt.status,
                    relay->attempt.response_fields->str, length);
  if (relay->attempt.buffered_body == NULL
      || relay->attempt.buffered_body->len == 0)
    return;
  forward_body (relay, relay->attempt.buffered_body->str,
                relay->attempt.buffered_body->len);
  g_string_free (relay->attempt.buffered_body, TRUE);
  relay->attempt.buffered_body = NULL;
  buf_release (BUF_RECEIVED, &relay->attempt.body_share);
}

/* Sends a piece of the body to the client.  */
static void
forward_body (struct relay *relay, const char *data, size_t length)
{
  client_send_body (relay->client, data, length);
}

/* Sends complete events to the client, preceded by the head if it has not been
   sent.  */
void
relay_events_forward (struct relay *relay, const char *data, size_t length)
{
  relay_origin_begin (relay);
  relay_drop_kept (relay, HEALTH_EVENT_COUNT);
  if (!relay->head_sent)
    send_head (relay);
  forward_body (relay, data, length);
}

/* Returns whether the target says in HEAD that it did not run RELAY.  */
int
relay_is_not_run (const struct relay *relay, const struct http_head *head)
{
  const char *name = relay->router->dialect->field[DIALECT_NOT_RUN];

  return http_head_get (head, name) != NULL
         || head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
}

/* Returns whether a response with STATUS tells a client that its request was
   not run and never will be.  A target says that by a field (see
   relay_is_not_run), so its status alone must not be passed on.  */
int
relay_promises_not_run (uint32_t status)
{
  return status == HTTP_STATUS_SERVICE_UNAVAILABLE
         || status == HTTP_STATUS_TOO_MANY_REQUESTS
         || status == HTTP_STATUS_REQUEST_TIMEOUT
         || status == HTTP_STATUS_MISDIRECTED_REQUEST;
}

/* Returns whether HEAD, received by CALL, responds to RELAY.  It has to repeat
   the attempt id; a success has to be signed by the target and not be
   content-encoded, and cannot be one of a request that was not run.  An error
   without an id is accepted on a new connection only, since on a reused one it
   may belong to an earlier request.  */
int
relay_matches_request (const struct relay *relay, const struct out_call *call,
                       const struct http_head *head)
{
  const char *const *field = relay->router->dialect->field;
  const char *id = http_head_get (head, field[DIALECT_ATTEMPT_ID]);

  if (id != NULL && strcmp (id, relay->id) != 0)
    {
      metric_inc (METRIC_MISMATCHED_RESPONSES);
      return 0;
    }
  if (!http_is_success (head->status))
    return id != NULL || !out_call_reused_connection (call);
  return id != NULL && http_head_get (head, field[DIALECT_SIGNATURE]) != NULL
         && !relay_is_not_run (relay, head)
         && http_head_get (head, "Content-Encoding") == NULL;
}

/* Records the load that the target reports in HEAD, to which a request that it
   has turned away does not belong, but which counts until it has ended.  */
static void
record_load (struct relay *relay, const struct http_head *head)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (head, dialect->field[DIALECT_TARGET_LOAD]);
  struct dialect_load load;
  int32_t reported;

  if (value == NULL)
    return;
  dialect->load (value, &load);
  relay_work_report (relay, &load, value);
  if (load.running < 0 || load.waiting < 0)
    return;
  relay->attempt.running = load.running;
  relay->attempt.waiting = load.waiting;
  reported = load.running + load.waiting + relay->attempt.not_run;
  if (!reg_report_load (relay->attempt.target, reported,
                        relay->attempt.last_received_ms))
    return;
  metric_inc (METRIC_OVER_BOUND);
  relay_log_over_bound (relay, reported);
}

/* Records the request rate to which the target limits all instances together
   in HEAD.  Only a success without one ends a limit.  */
static void
record_rate (struct relay *relay, const struct http_head *head)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (head, dialect->field[DIALECT_TARGET_RATE]);
  double per_s = 0;

  if (value != NULL ? dialect->rate (value, &per_s) != 0
                    : !http_is_success (head->status))
    return;
  if (fleet_observe_rate (relay->router->fleet, relay->attempt.target,
                          value != NULL, per_s, relay->attempt.sent_ms))
    relay_log_rate (relay);
}

/* Records whether the target says in HEAD that it is brittle, and a rejection
   by one that is, unless it asks for a pause, or that requests wait there.
   Only a success that does not say so ends that state.  */
static void
record_room (struct relay *relay, const struct http_head *head)
{
  const struct dialect *dialect = relay->router->dialect;
  struct fleet *fleet = relay->router->fleet;
  struct relay_attempt *attempt = &relay->attempt;
  const char *value
      = http_head_get (head, dialect->field[DIALECT_TARGET_BRITTLE]);
  uint32_t rejections_max = 0;

  if (value != NULL && dialect->brittle (value, &rejections_max) != 0)
    relay_log_bad_field (relay, attempt->target,
                         dialect->field[DIALECT_TARGET_BRITTLE], value);
  else if ((value != NULL || http_is_success (head->status))
           && fleet_observe_brittle (fleet, attempt->target, value != NULL,
                                     rejections_max, attempt->sent_ms))
    relay_log_brittle (relay);
  if (!room_is_brittle (attempt->target->room_service,
                        attempt->last_received_ms))
    return;
  if (attempt->waiting > 0 && !attempt->not_run)
    fleet_limit_room (fleet, attempt->target,
                      attempt->running + !attempt->is_event_stream);
  if (!attempt->not_run || attempt->asked_pause
      || head->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    return;
  metric_inc (METRIC_ROOM_REJECTIONS);
  relay_log_room (relay,
                  fleet_reject_room (fleet, attempt->target, attempt->running,
                                     attempt->sent_ms));
}

/* Records how soon the target responds with HEAD, or that it turned the
   request away, for its pace.  */
static void
record_pace (struct relay *relay, const struct http_head *head)
{
  enum fleet_response response
      = http_is_success (head->status) ? FLEET_SUCCEEDED : FLEET_ERROR;

  if (relay->attempt.not_run && !relay->attempt.asked_pause
      && head->status != HTTP_STATUS_MISDIRECTED_REQUEST)
    response = FLEET_REJECTED;
  fleet_pace_response (relay->router->fleet, relay->attempt.target, response,
                       relay->attempt.sent_ms,
                       relay_work_read_ms (&relay->attempt));
}

/* Copies the fields of HEAD that are forwarded: all but hop-by-hop ones
   and the target's load.  */
static void
copy_fields (struct relay *relay, const struct http_head *head)
{
  const char *load = relay->router->dialect->field[DIALECT_TARGET_LOAD];

  if (relay->attempt.response_fields == NULL)
    relay->attempt.response_fields = g_string_sized_new (head->text->len + 64);
  g_string_truncate (relay->attempt.response_fields, 0);
  for (uint32_t i = 0; i < head->count; i++)
    {
      const char *name = http_head_name (head, i);

      if (http_is_hop_by_hop (head, name)
          || g_ascii_strcasecmp (name, load) == 0
          || g_ascii_strcasecmp (name, hop_field) == 0)
        continue;
      g_string_append_printf (relay->attempt.response_fields, "%s: %s\r\n",
                              name, http_head_value (head, i));
    }
}
