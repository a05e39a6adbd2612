/* Sender threads of the ledger: deliver operations to the current writer, on
   this or another instance, and retry those that fail.  */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/fetch.h"
#include "ibisloom/metrics.h"
#include "libledger.h"

enum
{
  SEND_BATCH_MAX = 256,
  CLAIM_CALL_TIMEOUT_MS = 120, /* remote batch of claims only */
  RETRY_DELAY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 6,
  SKIP_WRITER_MS = 1500,
  WRITER_SILENCE_MS = 800, /* without a heartbeat */
  WRITER_CANDIDATES = 3,   /* instances considered, by rank */
  URL_MAX_BYTES = 128,
  HTTP_OK = 200
};

/* Closure of a copy made by ledger_copy_op: the original operation. */
struct copied_op
{
  struct ledger *ledger;
  struct ledger_op *op;
};

static GPtrArray *dequeue_ops (struct ledger *ledger);
static void requeue_due_ops (struct ledger *ledger, clk_ms now);
static void send_ops (struct sender *sender, GPtrArray *ops);
static int find_writer (struct ledger *ledger, clk_ms now,
                        struct member_info *writer);
static int is_listening (const struct member_info *member);
static void skip_writer (struct ledger *ledger, uint32_t id, clk_ms now);
static int is_skipped (struct ledger *ledger, uint32_t id, clk_ms now);
static int send_remote (struct sender *sender, GPtrArray *ops,
                        const struct sockaddr_in *address);
static void apply_results (struct ledger *ledger, GPtrArray *ops,
                           json_t *results);
static void on_copy_reply (void *closure, uint64_t tag,
                           const struct ledger_reply *reply);

/* Main function of a sender thread; CLOSURE is its struct sender.  */
void *
ledger_run_sender (void *closure)
{
  struct sender *sender = closure;

  for (;;)
    {
      GPtrArray *ops = dequeue_ops (sender->ledger);

      if (ops == NULL)
        return NULL;
      if (ops->len > 0)
        send_ops (sender, ops);
      g_ptr_array_free (ops, TRUE);
    }
}

/* Waits for operations and returns up to SEND_BATCH_MAX of them in a new
   array.  The array is empty if only delayed operations exist and none became
   due within RETRY_DELAY_MIN_MS.  Returns NULL if the ledger is stopping and
   the queue is empty.  */
static GPtrArray *
dequeue_ops (struct ledger *ledger)
{
  GPtrArray *ops;
  clk_ms until_ms = clk_now (clk_monotonic ()) + RETRY_DELAY_MIN_MS;
  struct timespec until = { until_ms / 1000, until_ms % 1000 * 1000000 };

  pthread_mutex_lock (&ledger->lock);
  while (g_queue_is_empty (&ledger->queue)
         && g_queue_is_empty (&ledger->delayed) && !ledger->stopping)
    pthread_cond_wait (&ledger->ready, &ledger->lock);
  if (g_queue_is_empty (&ledger->queue) && !ledger->stopping)
    pthread_cond_timedwait (&ledger->ready, &ledger->lock, &until);
  requeue_due_ops (ledger, clk_now (clk_monotonic ()));
  ops = g_ptr_array_new ();
  while (ops->len < SEND_BATCH_MAX && !g_queue_is_empty (&ledger->queue))
    g_ptr_array_add (ops, g_queue_pop_head (&ledger->queue));
  if (ledger->stopping && ops->len == 0)
    {
      g_ptr_array_free (ops, TRUE);
      ops = NULL;
    }
  pthread_mutex_unlock (&ledger->lock);
  return ops;
}

/* Moves the delayed operations that are due at NOW to the queue.  The lock of
   LEDGER must be held.  */
static void
requeue_due_ops (struct ledger *ledger, clk_ms now)
{
  guint count = g_queue_get_length (&ledger->delayed);

  for (guint i = 0; i < count; i++)
    {
      struct ledger_op *op = g_queue_pop_head (&ledger->delayed);

      if (op->retry_at_ms <= now)
        g_queue_push_tail (&ledger->queue, op);
      else
        g_queue_push_tail (&ledger->delayed, op);
    }
}

/* Delivers OPS to the current writer and finishes those past their deadline.
   Operations are idempotent, so those without a reply are sent again.  */
static void
send_ops (struct sender *sender, GPtrArray *ops)
{
  struct ledger *ledger = sender->ledger;
  struct member_info remote_writer;
  clk_ms now = clk_now (clk_monotonic ());
  int remote = find_writer (ledger, now, &remote_writer);

  for (guint i = ops->len; i > 0; i--)
    {
      struct ledger_op *op = g_ptr_array_index (ops, i - 1);

      if (now > op->deadline_ms)
        {
          struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };

          g_ptr_array_remove_index_fast (ops, i - 1);
          ledger_finish_op (ledger, op, &reply);
          continue;
        }
      if (remote)
        continue;
      g_ptr_array_remove_index_fast (ops, i - 1);
      ledger_writer_enqueue (ledger->writer, ledger_copy_op (ledger, op));
    }
  if (ops->len == 0 || send_remote (sender, ops, &remote_writer.address) == 0)
    return;
  if (now - remote_writer.last_seen_ms > WRITER_SILENCE_MS
      || !is_listening (&remote_writer))
    skip_writer (ledger, remote_writer.id, now);
  for (guint i = 0; i < ops->len; i++)
    ledger_retry_op (ledger, g_ptr_array_index (ops, i), LEDGER_INDETERMINATE);
}

/* Finds the current writer: the first of WRITER_CANDIDATES instances in the
   rendezvous ranking that is not skipped, or the very first if all are.  Only
   an instance that is silent or refuses connections is skipped.  A slow writer
   is kept, and all instances replace a failed writer by the same instance, the
   next in rank, because several concurrent writers would conflict.  Returns 1
   and fills WRITER, or returns 0 if this instance is the writer.  */
static int
find_writer (struct ledger *ledger, clk_ms now, struct member_info *writer)
{
  uint64_t ranking_key = rank_hash ("ledger");

  for (size_t rank = 0; rank < WRITER_CANDIDATES; rank++)
    {
      int found = member_owner (peer_members (ledger->peer), ranking_key, 0,
                                rank, now, writer);

      if (found < 0)
        break;
      if (found == 0 || !is_skipped (ledger, writer->id, now))
        return found;
    }
  return member_owner (peer_members (ledger->peer), ranking_key, 0, 0, now,
                       writer)
         > 0;
}

/* Returns 0 if MEMBER's host refuses connections to its port, else 1.  */
static int
is_listening (const struct member_info *member)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int result = connect (fd, (const struct sockaddr *)&member->address,
                        sizeof member->address);
  int refused = result != 0 && errno == ECONNREFUSED;

  close (fd);
  return !refused;
}

/* Skips instance ID as the writer for SKIP_WRITER_MS from NOW.  */
static void
skip_writer (struct ledger *ledger, uint32_t id, clk_ms now)
{
  pthread_mutex_lock (&ledger->lock);
  ledger->skipped_writer[ledger->next_skipped]
      = (struct skipped_writer){ id, now + SKIP_WRITER_MS };
  ledger->next_skipped = (ledger->next_skipped + 1) % SKIPPED_WRITERS_MAX;
  pthread_mutex_unlock (&ledger->lock);
}

/* Returns whether instance ID is skipped as the writer at NOW.  */
static int
is_skipped (struct ledger *ledger, uint32_t id, clk_ms now)
{
  int found = 0;

  pthread_mutex_lock (&ledger->lock);
  for (size_t i = 0; i < SKIPPED_WRITERS_MAX; i++)
    found |= ledger->skipped_writer[i].id == id
             && now < ledger->skipped_writer[i].until_ms;
  pthread_mutex_unlock (&ledger->lock);
  return found;
}

/* Sends OPS to the writer at ADDRESS and applies the results.  Returns 0, or
   -1 if no valid response came; then OPS are unchanged.  */
static int
send_remote (struct sender *sender, GPtrArray *ops,
             const struct sockaddr_in *address)
{
  struct ledger *ledger = sender->ledger;
  struct fetch_response response = { .body = g_string_new (NULL) };
  struct fetch_request call = { .method = "POST",
                                .bearer = ledger->settings->cluster_key,
                                .timeout_ms = CLAIM_CALL_TIMEOUT_MS };
  char *host = settings_format_address (address);
  char url[URL_MAX_BYTES];
  json_t *message = json_object ();
  json_t *list = json_array ();
  json_t *results;
  char *text;
  int failed = -1;

  for (guint i = 0; i < ops->len; i++)
    {
      const struct ledger_op *op = g_ptr_array_index (ops, i);

      json_array_append_new (list, ledger_op_to_json (op));
      if (op->kind == LEDGER_OP_OUTCOME)
        call.timeout_ms = OUTCOME_CALL_TIMEOUT_MS;
    }
  json_object_set_new (message, "ops", list);
  text = json_dumps (message, JSON_COMPACT);
  json_decref (message);
  g_snprintf (url, sizeof url, "http://%s/peer/ledger", host);
  call.url = url;
  call.body = text;
  metric_add (METRIC_SENT_LEDGER_BYTES, strlen (text));
  fetch_perform (sender->fetch, &call, &response);
  message = response.status == HTTP_OK
                ? json_loads (response.body->str, 0, NULL)
                : NULL;
  results = json_object_get (message, "results");
  if (json_array_size (results) == ops->len)
    {
      apply_results (ledger, ops, results);
      failed = 0;
    }
  json_decref (message);
  g_string_free (response.body, TRUE);
  free (text);
  g_free (host);
  return failed;
}

/* Finishes or retries each of OPS by its result in RESULTS, which have the
   same order.  */
static void
apply_results (struct ledger *ledger, GPtrArray *ops, json_t *results)
{
  for (guint i = 0; i < ops->len; i++)
    {
      struct ledger_op *op = g_ptr_array_index (ops, i);
      json_t *result = json_array_get (results, i);
      const char *body = json_string_value (json_object_get (result, "b"));
      json_int_t verdict = json_integer_value (json_object_get (result, "v"));
      struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };
      guchar *bytes = NULL;
      gsize length = 0;

      if (verdict >= 0 && verdict < LEDGER_VERDICT_COUNT)
        reply.verdict = (enum ledger_verdict)verdict;
      reply.status = (int)json_integer_value (json_object_get (result, "s"));
      reply.content_type = json_string_value (json_object_get (result, "c"));
      if (body != NULL)
        bytes = g_base64_decode (body, &length);
      reply.body = (const char *)bytes;
      reply.body_length = length;
      if (reply.verdict == LEDGER_UNAVAILABLE
          || reply.verdict == LEDGER_INDETERMINATE)
        ledger_retry_op (ledger, op, reply.verdict);
      else
        ledger_finish_op (ledger, op, &reply);
      g_free (bytes);
    }
}

/* Returns a copy of OP for the writer of this instance, which frees the
   operations that it receives.  The reply to the copy finishes or retries
   OP.  */
struct ledger_op *
ledger_copy_op (struct ledger *ledger, struct ledger_op *op)
{
  struct ledger_op *copy = g_new0 (struct ledger_op, 1);
  struct copied_op *copied_op = g_new (struct copied_op, 1);

  *copy = *op;
  copy->content_type = g_strdup (op->content_type);
  copy->body = g_strdup (op->body);
  copy->fn = on_copy_reply;
  copy->closure = copied_op;
  copied_op->ledger = ledger;
  copied_op->op = op;
  return copy;
}

/* Receives the local writer's REPLY to a copy made by ledger_copy_op, and
   finishes or retries the original operation.  */
static void
on_copy_reply (void *closure, uint64_t tag, const struct ledger_reply *reply)
{
  struct copied_op *copied_op = closure;

  (void)tag;
  if (reply->verdict == LEDGER_UNAVAILABLE
      || reply->verdict == LEDGER_INDETERMINATE)
    ledger_retry_op (copied_op->ledger, copied_op->op, reply->verdict);
  else
    ledger_finish_op (copied_op->ledger, copied_op->op, reply);
  g_free (copied_op);
}

/* Queues OP for its next try.  The delay doubles with each retry, from
   RETRY_DELAY_MIN_MS to RETRY_DELAY_MAX_MS.  */
void
ledger_delay_op (struct ledger *ledger, struct ledger_op *op)
{
  int64_t wait_ms = MIN ((int64_t)RETRY_DELAY_MIN_MS
                             << MIN (op->retries - 1, RETRY_DOUBLINGS_MAX),
                         (int64_t)RETRY_DELAY_MAX_MS);

  op->retry_at_ms = clk_now (clk_monotonic ()) + wait_ms;
  pthread_mutex_lock (&ledger->lock);
  g_queue_push_tail (&ledger->delayed, op);
  pthread_cond_signal (&ledger->ready);
  pthread_mutex_unlock (&ledger->lock);
}
