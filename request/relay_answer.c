/* The target's answer: judged, and passed on to the caller. */
#include <string.h>

#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  BUFFERED_MAX_BYTES = 65536,
  BACKLOG_MAX_BYTES = 262144
};

static int on_head (void *owner, const struct http_head *head, int64_t length);
static int on_data (void *owner, const char *data, size_t length);
static void on_end (void *owner);
static void on_fail (void *owner, enum out_fault fault);
static int is_ours (const struct rly *rly, const struct http_head *head);
static void read_load (struct rly *rly, const struct http_head *head);
static void keep_fields (struct rly *rly, const struct http_head *head);
static void begin (struct rly *rly);
static void pass (struct rly *rly, const char *data, size_t length);
static void judge (struct rly *rly);

const struct out_ops rly_out_ops = { on_head, on_data, on_end, on_fail };

static const enum retry_fault faults[OUT_FAULT_COUNT]
    = { [OUT_NOT_SENT] = RETRY_FAULT_CONNECT,
        [OUT_BROKEN] = RETRY_FAULT_BROKEN,
        [OUT_MALFORMED] = RETRY_FAULT_WRONG };

/* Looks at the answer's head.  Nothing of it is passed on before it is clear
   that the answer is to this request.  */
static int
on_head (void *owner, const struct http_head *head, int64_t length)
{
  struct rly *rly = owner;
  const struct dialect *dialect = rly->gate->dialect;
  const char *type = http_head_get (head, "Content-Type");

  rly->heard_ms = clk_now (clk_monotonic ());
  met_observe (MET_HIST_FIRST_BYTE_MS, rly->heard_ms - rly->arrived_ms);
  rly->status = head->status;
  rly->length = length;
  rly->not_run = http_head_get (head, dialect->field[DLC_NOT_RUN]) != NULL
                 || head->status == HTTP_STATUS_MISDIRECTED_REQUEST;
  rly->wrong = !is_ours (rly, head);
  rly->is_events = http_is_success (head->status)
                   && rly->route->kind == RT_STREAM && type != NULL
                   && g_str_has_prefix (type, "text/event-stream");
  if (rly->wrong)
    return -1;
  read_load (rly, head);
  if (!rly->begun)
    keep_fields (rly, head);
  rly_arm (rly);
  return 0;
}

/* Takes a piece of the answer's body.  */
static int
on_data (void *owner, const char *data, size_t length)
{
  struct rly *rly = owner;

  rly->heard_ms = clk_now (clk_monotonic ());
  if (rly->is_events)
    {
      if (rly_events_feed (rly, data, length) != 0)
        {
          rly->wrong = 1;
          return -1;
        }
      rly_arm (rly);
    }
  else if (rly->begun)
    pass (rly, data, length);
  else
    {
      if (rly->buffered == NULL)
        rly->buffered = g_string_sized_new (length + 1);
      g_string_append_len (rly->buffered, data, (gssize)length);
      if (rly->buffered->len > BUFFERED_MAX_BYTES
          && http_is_success (rly->status))
        begin (rly);
    }
  if (caller_backlog (rly->caller) > BACKLOG_MAX_BYTES)
    out_pause (rly->call, 1);
  return 0;
}

/* The answer is complete.  */
static void
on_end (void *owner)
{
  struct rly *rly = owner;

  rly->call = NULL;
  judge (rly);
}

/* The answer does not come, or not whole.  */
static void
on_fail (void *owner, enum out_fault fault)
{
  struct rly *rly = owner;

  rly->call = NULL;
  rly_fault (rly, faults[fault]);
}

/* Decides what a whole answer means.  */
static void
judge (struct rly *rly)
{
  if (rly->not_run)
    rly_fault (rly, RETRY_FAULT_BUSY);
  else if (rly->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR)
    rly_fault (rly, RETRY_FAULT_STATUS);
  else if (rly->is_resumed && !rly->is_events)
    rly_fault (rly, RETRY_FAULT_WRONG);
  else if (rly->is_events && rly->events.partial != NULL
           && rly->events.partial->len > 0)
    rly_fault (rly, RETRY_FAULT_BROKEN);
  else
    rly_deliver (rly);
}

/* Passes a whole answer on, and ends the request.  */
void
rly_deliver (struct rly *rly)
{
  struct caller *caller = rly->caller;

  if (!rly->begun && !rly->is_events)
    rly->length = rly->buffered ? (int64_t)rly->buffered->len : 0;
  if (!rly->begun)
    begin (rly);
  rly_end_attempt (rly, rly->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
                            ? TRU_ERROR
                            : TRU_ANSWERED);
  if (rly->status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
    met_inc (MET_ANSWERED);
  rly->caller = NULL;
  caller_end (caller);
  rly_finish (rly, rly->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR
                       ? "target_error"
                       : "answered");
}

/* Gives the caller the answer's head and what is buffered.  */
static void
begin (struct rly *rly)
{
  int64_t length = rly->is_events ? -1 : rly->length;

  rly->begun = 1;
  caller_head (rly->caller, rly->status, rly->fields->str, length);
  if (rly->buffered == NULL || rly->buffered->len == 0)
    return;
  pass (rly, rly->buffered->str, rly->buffered->len);
  g_string_truncate (rly->buffered, 0);
}

/* Gives the caller a piece of the body.  */
static void
pass (struct rly *rly, const char *data, size_t length)
{
  caller_piece (rly->caller, data, length);
}

/* Passes whole events on; the first brings the head.  */
void
rly_events_pass (struct rly *rly, const char *data, size_t length)
{
  if (!rly->begun)
    begin (rly);
  pass (rly, data, length);
}

/* Returns whether HEAD answers this request: it repeats the id, and a success
   bears the target's signature and plain content.  */
static int
is_ours (const struct rly *rly, const struct http_head *head)
{
  const char *const *field = rly->gate->dialect->field;
  const char *id = http_head_get (head, field[DLC_ATTEMPT_ID]);

  if (id != NULL && strcmp (id, rly->id) != 0)
    return 0;
  if (!http_is_success (head->status))
    return id != NULL || !out_was_kept (rly->call);
  return id != NULL && http_head_get (head, field[DLC_SIGNATURE]) != NULL
         && http_head_get (head, "Content-Encoding") == NULL;
}

/* Takes note of the load that the target tells.  */
static void
read_load (struct rly *rly, const struct http_head *head)
{
  const struct dialect *dialect = rly->gate->dialect;
  const char *value = http_head_get (head, dialect->field[DLC_LOAD]);
  int32_t running;
  int32_t waiting;
  int32_t slots;

  if (value == NULL || dialect->load (value, &running, &waiting, &slots) != 0)
    return;
  reg_report_load (rly->target, running + waiting, rly->heard_ms);
}

/* Keeps the fields of HEAD that the caller gets.  */
static void
keep_fields (struct rly *rly, const struct http_head *head)
{
  const char *load = rly->gate->dialect->field[DLC_LOAD];

  if (rly->fields == NULL)
    rly->fields = g_string_sized_new (head->text->len + 64);
  g_string_truncate (rly->fields, 0);
  for (uint32_t i = 0; i < head->count; i++)
    {
      const char *name = http_head_name (head, i);

      if (http_is_hop_by_hop (head, name)
          || g_ascii_strcasecmp (name, load) == 0)
        continue;
      g_string_append_printf (rly->fields, "%s: %s\r\n", name,
                              http_head_value (head, i));
    }
}
