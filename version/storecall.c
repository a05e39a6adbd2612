/* Asynchronous HTTP calls to the platform's object store or an instance. */
#include <arpa/inet.h>
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/position.h"
#include "ibisloom/storecall.h"

enum
{
  CONNECT_TIMEOUT_MS = 1000,
  RESPONSE_MAX_BYTES = 16777216
};

struct store_call
{
  struct ev_loop *loop;
  struct out_call *call;
  ev_timer timer;
  char *body;
  const char *epoch_field;
  uint64_t epoch_min;
  size_t body_max_bytes;
  GString *text;
  uint32_t status;
  uint64_t epoch;
  store_call_done_fn done;
  void *closure;
};

static int on_head (void *owner, const struct http_head *head, int64_t length);
static int on_data (void *owner, const char *data, size_t length);
static void on_end (void *owner);
static void on_fail (void *owner, enum out_fault fault);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void finish (struct store_call *call, uint32_t status);

static const struct out_ops call_ops
    = { on_head, on_data, on_end, on_fail, NULL };

/* Sends REQUEST.  DONE is called with CLOSURE once, within the timeout, unless
   the call is canceled.  Returns NULL if no connection could be started; the
   body is freed and DONE not called.  */
struct store_call *
store_call_start (struct ev_loop *loop, struct out_pool *pool,
                  const struct store_request *request, store_call_done_fn done,
                  void *closure)
{
  struct store_call *call = g_new0 (struct store_call, 1);
  struct out_request out
      = { .address = request->address,
          .connect_timeout_ms = CONNECT_TIMEOUT_MS,
          .body = request->body,
          .body_length = request->body ? strlen (request->body) : 0 };
  char host[INET_ADDRSTRLEN];

  inet_ntop (AF_INET, &request->address.sin_addr, host, sizeof host);
  out.head = g_string_new (NULL);
  g_string_append_printf (out.head, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n",
                          request->method, request->url, host,
                          ntohs (request->address.sin_port));
  if (out.body != NULL)
    g_string_append_printf (out.head,
                            "Content-Type: application/json\r\n"
                            "Content-Length: %zu\r\n",
                            out.body_length);
  g_string_append (out.head, "\r\n");
  call->loop = loop;
  call->body = request->body;
  call->epoch_field = request->epoch_field;
  call->epoch_min = request->epoch_min;
  call->body_max_bytes = request->body_max_bytes != 0 ? request->body_max_bytes
                                                      : RESPONSE_MAX_BYTES;
  call->text = g_string_new (NULL);
  call->done = done;
  call->closure = closure;
  ev_timer_init (&call->timer, on_timer,
                 (double)request->timeout_ms / CLK_MS_PER_S, 0);
  call->timer.data = call;
  call->call = out_call_start (pool, &out, &call_ops, call);
  if (call->call == NULL)
    {
      store_call_cancel (call);
      return NULL;
    }
  ev_timer_start (loop, &call->timer);
  return call;
}

/* Cancels CALL and frees it without calling its callback.  */
void
store_call_cancel (struct store_call *call)
{
  if (call->call != NULL)
    out_call_cancel (call->call);
  ev_timer_stop (call->loop, &call->timer);
  g_string_free (call->text, TRUE);
  g_free (call->body);
  g_free (call);
}

/* Stores the status and the epoch of the response.  A response whose epoch is
   malformed or older than is known is not relied on, and neither is its
   connection.  Refusals, which tell nothing else, may come without one.  */
static int
on_head (void *owner, const struct http_head *head, int64_t length)
{
  struct store_call *call = owner;
  const char *epoch
      = call->epoch_field ? http_head_get (head, call->epoch_field) : NULL;

  (void)length;
  call->status = head->status;
  if (head->status == HTTP_STATUS_TOO_MANY_REQUESTS
      || head->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR)
    return 0;
  if (pos_parse_epoch (epoch, &call->epoch) == 0
      && call->epoch >= call->epoch_min)
    return 0;
  log_warn ("store", NULL, "bad_epoch", "%.40s", epoch ? epoch : "none");
  return -1;
}

/* Appends DATA to the body; fails the call if it grows too long.  */
static int
on_data (void *owner, const char *data, size_t length)
{
  struct store_call *call = owner;

  if (call->text->len + length > call->body_max_bytes)
    return -1;
  g_string_append_len (call->text, data, (gssize)length);
  return 0;
}

/* Handles the end of a complete response.  */
static void
on_end (void *owner)
{
  struct store_call *call = owner;

  call->call = NULL;
  finish (call, call->status);
}

/* Handles a connection that failed or a malformed response.  */
static void
on_fail (void *owner, enum out_fault fault)
{
  struct store_call *call = owner;

  (void)fault;
  call->call = NULL;
  finish (call, 0);
}

/* Handles the timeout of a call.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  finish (timer->data, 0);
}

/* Passes STATUS and the body to the callback of CALL and frees CALL.  */
static void
finish (struct store_call *call, uint32_t status)
{
  struct store_response response = { .status = status,
                                     .epoch = call->epoch,
                                     .text = call->text->str,
                                     .length = call->text->len };

  call->done (call->closure, &response);
  store_call_cancel (call);
}
