/* How operations reach the writer of the ledger, here or at another instance.
 */
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
  REMOTE_TIMEOUT_MS = 120,
  RETRY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 6,
  AVOID_MS = 1500,
  SILENT_MS = 800,
  WRITER_RANKS = 3,
  URL_MAX_BYTES = 128,
  HTTP_OK = 200
};

/* What a local operation's reply goes back to. */
struct local
{
  struct led *led;
  struct led_op *op;
};

static GPtrArray *take_ops (struct led *led);
static void move_due (struct led *led, clk_ms now);
static void send_ops (struct sender *sender, GPtrArray *ops);
static int find_writer (struct led *led, clk_ms now,
                        struct member_info *writer);
static int is_listening (const struct member_info *member);
static void avoid (struct led *led, uint32_t id, clk_ms now);
static int is_avoided (struct led *led, uint32_t id, clk_ms now);
static int send_remote (struct sender *sender, GPtrArray *ops,
                        const struct sockaddr_in *address);
static void take_results (struct led *led, GPtrArray *ops, json_t *results);
static void on_local (void *closure, uint64_t tag,
                      const struct led_reply *reply);

/* Sends batches until led_stop.  */
void *
led_run_sender (void *closure)
{
  struct sender *sender = closure;

  for (;;)
    {
      GPtrArray *ops = take_ops (sender->led);

      if (ops == NULL)
        return NULL;
      if (ops->len > 0)
        send_ops (sender, ops);
      g_ptr_array_free (ops, TRUE);
    }
}

/* Waits a little for operations and takes them.  Returns NULL when the front
   stops.  */
static GPtrArray *
take_ops (struct led *led)
{
  GPtrArray *ops;
  clk_ms until_ms = clk_now (clk_monotonic ()) + RETRY_MIN_MS;
  struct timespec until = { until_ms / 1000, until_ms % 1000 * 1000000 };

  pthread_mutex_lock (&led->lock);
  while (g_queue_is_empty (&led->queue) && g_queue_is_empty (&led->delayed)
         && !led->stopping)
    pthread_cond_wait (&led->ready, &led->lock);
  if (g_queue_is_empty (&led->queue) && !led->stopping)
    pthread_cond_timedwait (&led->ready, &led->lock, &until);
  move_due (led, clk_now (clk_monotonic ()));
  ops = g_ptr_array_new ();
  while (ops->len < SEND_BATCH_MAX && !g_queue_is_empty (&led->queue))
    g_ptr_array_add (ops, g_queue_pop_head (&led->queue));
  if (led->stopping && ops->len == 0)
    {
      g_ptr_array_free (ops, TRUE);
      ops = NULL;
    }
  pthread_mutex_unlock (&led->lock);
  return ops;
}

/* Moves delayed operations that are due at NOW to the queue; needs the
   lock.  */
static void
move_due (struct led *led, clk_ms now)
{
  guint count = g_queue_get_length (&led->delayed);

  for (guint i = 0; i < count; i++)
    {
      struct led_op *op = g_queue_pop_head (&led->delayed);

      if (op->queued_ms <= now)
        g_queue_push_tail (&led->queue, op);
      else
        g_queue_push_tail (&led->delayed, op);
    }
}

/* Sends OPS to the instance that writes.  An operation may safely be carried
   out twice, so what got no answer is sent again.  */
static void
send_ops (struct sender *sender, GPtrArray *ops)
{
  struct led *led = sender->led;
  struct member_info owner;
  clk_ms now = clk_now (clk_monotonic ());
  int remote = find_writer (led, now, &owner);

  for (guint i = ops->len; i > 0; i--)
    {
      struct led_op *op = g_ptr_array_index (ops, i - 1);

      if (now > op->deadline_ms)
        {
          struct led_reply reply = { .verdict = LED_DOWN };

          g_ptr_array_remove_index_fast (ops, i - 1);
          led_conclude (led, op, &reply);
          continue;
        }
      if (remote)
        continue;
      g_ptr_array_remove_index_fast (ops, i - 1);
      writer_push (led->writer, led_local_copy (led, op));
    }
  if (ops->len == 0 || send_remote (sender, ops, &owner.address) == 0)
    return;
  if (now - owner.heard_ms > SILENT_MS || !is_listening (&owner))
    avoid (led, owner.id, now);
  for (guint i = 0; i < ops->len; i++)
    led_give_back (led, g_ptr_array_index (ops, i), LED_UNSURE);
}

/* Finds the instance that writes: the first in the rendezvous ranking that is
   not dead or silent, as far as is known here.  A slow writer stays the
   writer, and all instances pass over a dead one to the same next one: many
   writers at once would only conflict.
   Returns 1 and fills WRITER, or 0 if it is this instance.  */
static int
find_writer (struct led *led, clk_ms now, struct member_info *writer)
{
  uint64_t duty = rank_hash ("ledger");

  for (size_t rank = 0; rank < WRITER_RANKS; rank++)
    {
      int found = member_owner (peer_members (led->peer), duty, 0, rank, now,
                                writer);

      if (found < 0)
        break;
      if (found == 0 || !is_avoided (led, writer->id, now))
        return found;
    }
  return member_owner (peer_members (led->peer), duty, 0, 0, now, writer) > 0;
}

/* Returns whether MEMBER's process accepts connections.  */
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

/* Passes over instance ID for a while.  */
static void
avoid (struct led *led, uint32_t id, clk_ms now)
{
  pthread_mutex_lock (&led->lock);
  led->avoided[led->next_avoided] = (struct avoided){ id, now + AVOID_MS };
  led->next_avoided = (led->next_avoided + 1) % AVOIDED_MAX;
  pthread_mutex_unlock (&led->lock);
}

/* Returns whether instance ID is passed over at NOW.  */
static int
is_avoided (struct led *led, uint32_t id, clk_ms now)
{
  int found = 0;

  pthread_mutex_lock (&led->lock);
  for (size_t i = 0; i < AVOIDED_MAX; i++)
    found |= led->avoided[i].id == id && now < led->avoided[i].until_ms;
  pthread_mutex_unlock (&led->lock);
  return found;
}

/* Sends OPS to the writer at ADDRESS.  Returns 0 if it answered.  */
static int
send_remote (struct sender *sender, GPtrArray *ops,
             const struct sockaddr_in *address)
{
  struct led *led = sender->led;
  struct fetch_answer answer = { .body = g_string_new (NULL) };
  struct fetch_call call = { .method = "POST",
                             .bearer = led->settings->cluster_key,
                             .timeout_ms = REMOTE_TIMEOUT_MS };
  char *host = settings_format_address (address);
  char url[URL_MAX_BYTES];
  json_t *message = json_object ();
  json_t *list = json_array ();
  json_t *results;
  char *text;
  int failed = -1;

  for (guint i = 0; i < ops->len; i++)
    {
      const struct led_op *op = g_ptr_array_index (ops, i);

      json_array_append_new (list, op_to_json (op));
      if (op->kind == LED_OP_FINISH)
        call.timeout_ms = FINISH_TIMEOUT_MS;
    }
  json_object_set_new (message, "ops", list);
  text = json_dumps (message, JSON_COMPACT);
  json_decref (message);
  g_snprintf (url, sizeof url, "http://%s/peer/ledger", host);
  call.url = url;
  call.body = text;
  met_add (MET_SENT_LEDGER_BYTES, strlen (text));
  fetch_do (sender->fetch, &call, &answer);
  message = answer.status == HTTP_OK ? json_loads (answer.body->str, 0, NULL)
                                     : NULL;
  results = json_object_get (message, "results");
  if (json_array_size (results) == ops->len)
    {
      take_results (led, ops, results);
      failed = 0;
    }
  json_decref (message);
  g_string_free (answer.body, TRUE);
  free (text);
  g_free (host);
  return failed;
}

/* Concludes OPS with RESULTS of the same order.  */
static void
take_results (struct led *led, GPtrArray *ops, json_t *results)
{
  for (guint i = 0; i < ops->len; i++)
    {
      struct led_op *op = g_ptr_array_index (ops, i);
      json_t *result = json_array_get (results, i);
      const char *body = json_string_value (json_object_get (result, "b"));
      json_int_t verdict = json_integer_value (json_object_get (result, "v"));
      struct led_reply reply = { .verdict = LED_DOWN };
      guchar *bytes = NULL;
      gsize length = 0;

      if (verdict >= 0 && verdict < LED_VERDICT_COUNT)
        reply.verdict = (enum led_verdict)verdict;
      reply.status = (int)json_integer_value (json_object_get (result, "s"));
      reply.content_type = json_string_value (json_object_get (result, "c"));
      if (body != NULL)
        bytes = g_base64_decode (body, &length);
      reply.body = (const char *)bytes;
      reply.body_length = length;
      if (reply.verdict == LED_DOWN || reply.verdict == LED_UNSURE)
        led_give_back (led, op, reply.verdict);
      else
        led_conclude (led, op, &reply);
      g_free (bytes);
    }
}

/* Returns a copy of OP for the writer of this instance, whose reply comes
   back to OP.  */
struct led_op *
led_local_copy (struct led *led, struct led_op *op)
{
  struct led_op *copy = g_new0 (struct led_op, 1);
  struct local *local = g_new (struct local, 1);

  *copy = *op;
  copy->content_type = g_strdup (op->content_type);
  copy->body = g_strdup (op->body);
  copy->fn = on_local;
  copy->closure = local;
  local->led = led;
  local->op = op;
  return copy;
}

/* Takes the reply of this instance's writer.  */
static void
on_local (void *closure, uint64_t tag, const struct led_reply *reply)
{
  struct local *local = closure;

  (void)tag;
  if (reply->verdict == LED_DOWN || reply->verdict == LED_UNSURE)
    led_give_back (local->led, local->op, reply->verdict);
  else
    led_conclude (local->led, local->op, reply);
  g_free (local);
}

/* Queues OP for its next try.  */
void
led_delay (struct led *led, struct led_op *op)
{
  int64_t wait_ms
      = MIN ((int64_t)RETRY_MIN_MS << MIN (op->tries - 1, RETRY_DOUBLINGS_MAX),
             (int64_t)RETRY_MAX_MS);

  op->queued_ms = clk_now (clk_monotonic ()) + wait_ms;
  pthread_mutex_lock (&led->lock);
  g_queue_push_tail (&led->delayed, op);
  pthread_cond_signal (&led->ready);
  pthread_mutex_unlock (&led->lock);
}
