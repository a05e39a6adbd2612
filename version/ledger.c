/* Front of the ledger: carries operations to the instance that writes.

   Any instance may write, as the log's conditional writes decide; sending all
   operations to one by rendezvous hashing only makes batches large and
   conflicts rare.  */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ck_pr.h>
#include <sodium.h>

#include "ibisloom/fetch.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libledger.h"

enum
{
  SENDER_COUNT = 10,
  SEND_BATCH_MAX = 256,
  CLAIM_DEADLINE_MS = 170,
  FINISH_DEADLINE_MS = 600000,
  LOOKUP_DEADLINE_MS = 2000,
  REMOTE_TIMEOUT_MS = 120,
  FINISH_TIMEOUT_MS = 400,
  RETRY_MIN_MS = 20,
  RETRY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 6,
  AVOIDED_MAX = 4,
  AVOID_MS = 1500,
  SILENT_MS = 800,
  WRITER_RANKS = 3,
  BACKLOG_MAX = 65536,
  URL_MAX_BYTES = 128,
  HTTP_OK = 200,
  KEY_BYTES = 16
};

struct sender
{
  pthread_t thread;
  struct led *led;
  struct fetch *fetch;
};

/* An instance that is passed over as the writer. */
struct avoided
{
  uint32_t id;
  clk_ms until_ms;
};

struct led
{
  struct avoided avoided[AVOIDED_MAX];
  size_t next_avoided;
  const struct settings *settings;
  struct peer *peer;
  struct led_writer *writer;
  pthread_mutex_t lock;
  pthread_cond_t ready;
  GQueue queue;   /* of struct led_op, to be sent now */
  GQueue delayed; /* of struct led_op, to be sent at queued_ms */
  int stopping;
  uint64_t backlog;
  struct sender senders[SENDER_COUNT];
};

static void *run_sender (void *closure);
static GPtrArray *take_ops (struct led *led);
static void move_due (struct led *led, clk_ms now);
static void send_ops (struct sender *sender, GPtrArray *ops);
static int send_remote (struct sender *sender, GPtrArray *ops,
                        const struct sockaddr_in *address);
static int is_listening (const struct mem_member *member);
static int find_writer (struct led *led, clk_ms now,
                        struct mem_member *writer);
static void avoid (struct led *led, uint32_t id, clk_ms now);
static int is_avoided (struct led *led, uint32_t id, clk_ms now);
static void take_results (struct led *led, GPtrArray *ops, json_t *results);
static void on_local (void *closure, uint64_t tag,
                      const struct led_reply *reply);
static void push (struct led *led, struct led_op *op);
static void delay (struct led *led, struct led_op *op);
static void give_back (struct led *led, struct led_op *op,
                       enum led_verdict verdict);
static void conclude (struct led *led, struct led_op *op,
                      const struct led_reply *reply);
static void seal_claim (struct led *led, const struct led_call *call);
static struct led_op *local_copy (struct led *led, struct led_op *op);

/* What a local operation's reply goes back to. */
struct local
{
  struct led *led;
  struct led_op *op;
};

/* Returns the front and the writer of this instance.  */
struct led *
led_new (const struct settings *settings, struct peer *peer)
{
  struct led *led = g_new0 (struct led, 1);
  pthread_condattr_t attributes;

  led->settings = settings;
  led->peer = peer;
  led->writer = writer_new (settings);
  pthread_mutex_init (&led->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&led->ready, &attributes);
  pthread_condattr_destroy (&attributes);
  g_queue_init (&led->queue);
  g_queue_init (&led->delayed);
  return led;
}

/* Starts the threads.  */
void
led_start (struct led *led)
{
  writer_start (led->writer);
  for (int i = 0; i < SENDER_COUNT; i++)
    {
      struct sender *sender = &led->senders[i];

      sender->led = led;
      sender->fetch = fetch_new ();
      pthread_create (&sender->thread, NULL, run_sender, sender);
    }
}

/* Ends the threads; operations still queued are lost, so call it when
   led_backlog is 0 or the time to stop is over.  */
void
led_stop (struct led *led)
{
  pthread_mutex_lock (&led->lock);
  led->stopping = 1;
  pthread_cond_broadcast (&led->ready);
  pthread_mutex_unlock (&led->lock);
  for (int i = 0; i < SENDER_COUNT; i++)
    {
      pthread_join (led->senders[i].thread, NULL);
      fetch_free (led->senders[i].fetch);
    }
  writer_stop (led->writer);
}

/* Frees LED after led_stop.  */
void
led_free (struct led *led)
{
  writer_free (led->writer);
  g_queue_clear_full (&led->queue, (GDestroyNotify)op_free);
  g_queue_clear_full (&led->delayed, (GDestroyNotify)op_free);
  pthread_mutex_destroy (&led->lock);
  pthread_cond_destroy (&led->ready);
  g_free (led);
}

/* Derives the record's KEY from the names that scope IDEMPOTENCY_KEY.  The
   deployment is part of the object's name.  */
void
led_key (char key[LED_ID_BYTES], const char *customer, const char *service,
         const char *idempotency_key)
{
  const char *const parts[] = { customer, service, idempotency_key };
  unsigned char digest[KEY_BYTES];
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    crypto_generichash_update (&state, (const unsigned char *)parts[i],
                               strlen (parts[i]) + 1);
  crypto_generichash_final (&state, digest, sizeof digest);
  sodium_bin2hex (key, LED_ID_BYTES, digest, sizeof digest);
}

/* Draws the NONCE of a new attempt.  */
void
led_nonce (char nonce[LED_ID_BYTES])
{
  unsigned char bytes[KEY_BYTES];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (nonce, LED_ID_BYTES, bytes, sizeof bytes);
}

/* Makes the record that allows CALL to be sent.  FN is called once, on
   another thread, with CLOSURE, TAG and the verdict; only LED_CLAIMED allows
   sending.  After LED_DOWN the record is sealed as not run as soon as the
   platform allows.  */
void
led_claim (struct led *led, const struct led_call *call, led_reply_fn fn,
           void *closure, uint64_t tag)
{
  struct led_op *op = g_new0 (struct led_op, 1);

  met_inc (MET_LEDGER_CLAIMS);
  op->kind = LED_OP_CLAIM;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + CLAIM_DEADLINE_MS;
  op->fn = fn;
  op->closure = closure;
  op->tag = tag;
  push (led, op);
}

/* Stores the OUTCOME of a claimed CALL, trying until it is durable.  FN is
   called once, on another thread, with LED_STORED, or with LED_DOWN when the
   front gave up after minutes.  */
void
led_finish (struct led *led, const struct led_call *call,
            const struct led_outcome *outcome, led_reply_fn fn, void *closure,
            uint64_t tag)
{
  struct led_op *op = g_new0 (struct led_op, 1);

  met_inc (MET_LEDGER_OUTCOMES);
  op->kind = LED_OP_FINISH;
  op->call = *call;
  op->not_run = outcome->not_run;
  op->status = outcome->status;
  op->content_type = g_strdup (outcome->content_type);
  if (outcome->body_length > 0)
    op->body = g_base64_encode ((const guchar *)outcome->body,
                                outcome->body_length);
  op->deadline_ms = clk_now (clk_monotonic ()) + FINISH_DEADLINE_MS;
  op->fn = fn;
  op->closure = closure;
  op->tag = tag;
  push (led, op);
}

/* Looks up what the ledger holds for CALL's key.  FN is called once, on
   another thread: LED_ANSWERED, LED_UNFINISHED, LED_ABSENT or LED_DOWN.  */
void
led_lookup (struct led *led, const struct led_call *call, led_reply_fn fn,
            void *closure)
{
  struct led_op *op = g_new0 (struct led_op, 1);

  op->kind = LED_OP_LOOKUP;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + LOOKUP_DEADLINE_MS;
  op->fn = fn;
  op->closure = closure;
  ck_pr_inc_64 (&led->backlog);
  writer_push (led->writer, local_copy (led, op));
}

/* Returns how many operations of this instance are not answered yet.  */
size_t
led_backlog (struct led *led)
{
  return ck_pr_load_64 (&led->backlog);
}

/* Takes the batch JSON that another instance sent and answers it through FN
   with newly allocated JSON, or NULL if it is malformed.  */
void
led_serve (struct led *led, const char *json, led_batch_fn fn, void *closure)
{
  json_t *message = json_loads (json, 0, NULL);
  json_t *list = json_object_get (message, "ops");
  struct led_batch *batch;
  GPtrArray *ops = g_ptr_array_new ();
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    struct led_op *op = op_from_json (item);

    if (op != NULL)
      g_ptr_array_add (ops, op);
  }
  if (ops->len == 0 || ops->len != json_array_size (list))
    {
      g_ptr_array_foreach (ops, (GFunc)(void (*) (void))op_free, NULL);
      g_ptr_array_free (ops, TRUE);
      json_decref (message);
      fn (closure, NULL);
      return;
    }
  json_decref (message);
  batch = g_new0 (struct led_batch, 1);
  batch->results = json_array ();
  batch->open = ops->len;
  batch->fn = fn;
  batch->closure = closure;
  pthread_mutex_init (&batch->lock, NULL);
  for (guint j = 0; j < ops->len; j++)
    json_array_append_new (batch->results, json_null ());
  for (guint j = 0; j < ops->len; j++)
    {
      struct led_op *op = g_ptr_array_index (ops, j);

      op->batch = batch;
      op->batch_index = j;
      op->deadline_ms = clk_now (clk_monotonic ())
                        + (op->kind == LED_OP_CLAIM ? CLAIM_DEADLINE_MS
                                                    : FINISH_TIMEOUT_MS);
      writer_push (led->writer, op);
    }
  g_ptr_array_free (ops, TRUE);
}

/* Sends batches until led_stop.  */
static void *
run_sender (void *closure)
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
  struct mem_member owner;
  clk_ms now = clk_now (clk_monotonic ());
  int remote = find_writer (led, now, &owner);

  for (guint i = ops->len; i > 0; i--)
    {
      struct led_op *op = g_ptr_array_index (ops, i - 1);

      if (now > op->deadline_ms)
        {
          struct led_reply reply = { .verdict = LED_DOWN };

          g_ptr_array_remove_index_fast (ops, i - 1);
          conclude (led, op, &reply);
          continue;
        }
      if (remote)
        continue;
      g_ptr_array_remove_index_fast (ops, i - 1);
      writer_push (led->writer, local_copy (led, op));
    }
  if (ops->len == 0 || send_remote (sender, ops, &owner.address) == 0)
    return;
  if (now - owner.heard_ms > SILENT_MS || !is_listening (&owner))
    avoid (led, owner.id, now);
  for (guint i = 0; i < ops->len; i++)
    give_back (led, g_ptr_array_index (ops, i), LED_UNSURE);
}

/* Finds the instance that writes: the first in the rendezvous ranking that is
   not dead or silent, as far as is known here.  A slow writer stays the
   writer, and all instances pass over a dead one to the same next one: many
   writers at once would only conflict.
   Returns 1 and fills WRITER, or 0 if it is this instance.  */
static int
find_writer (struct led *led, clk_ms now, struct mem_member *writer)
{
  uint64_t duty = rank_hash ("ledger");

  for (size_t rank = 0; rank < WRITER_RANKS; rank++)
    {
      int found
          = mem_owner (peer_members (led->peer), duty, 0, rank, now, writer);

      if (found < 0)
        break;
      if (found == 0 || !is_avoided (led, writer->id, now))
        return found;
    }
  return mem_owner (peer_members (led->peer), duty, 0, 0, now, writer) > 0;
}

/* Returns whether MEMBER's process accepts connections.  */
static int
is_listening (const struct mem_member *member)
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
        give_back (led, op, reply.verdict);
      else
        conclude (led, op, &reply);
      g_free (bytes);
    }
}

/* Returns a copy of OP for the writer of this instance, whose reply comes
   back to OP.  */
static struct led_op *
local_copy (struct led *led, struct led_op *op)
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
    give_back (local->led, local->op, reply->verdict);
  else
    conclude (local->led, local->op, reply);
  g_free (local);
}

/* Queues a new OP of this instance.  */
static void
push (struct led *led, struct led_op *op)
{
  struct led_reply reply = { .verdict = LED_DOWN };

  if (ck_pr_faa_64 (&led->backlog, 1) >= BACKLOG_MAX)
    {
      conclude (led, op, &reply);
      return;
    }
  pthread_mutex_lock (&led->lock);
  g_queue_push_tail (&led->queue, op);
  pthread_cond_signal (&led->ready);
  pthread_mutex_unlock (&led->lock);
}

/* Tries OP, which got VERDICT, again later if there is time, with a delay
   that doubles.  */
static void
give_back (struct led *led, struct led_op *op, enum led_verdict verdict)
{
  struct led_reply reply = { .verdict = LED_DOWN };
  clk_ms now = clk_now (clk_monotonic ());

  op->unsure |= verdict == LED_UNSURE;
  op->tries++;
  if (now + RETRY_MIN_MS > op->deadline_ms)
    conclude (led, op, &reply);
  else
    delay (led, op);
}

/* Queues OP for its next try.  */
static void
delay (struct led *led, struct led_op *op)
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

/* Gives REPLY to the caller of OP and frees it.  A claim that got no verdict
   may still be written late, so it is sealed.  */
static void
conclude (struct led *led, struct led_op *op, const struct led_reply *reply)
{
  if (op->kind == LED_OP_CLAIM && reply->verdict == LED_DOWN && op->unsure)
    seal_claim (led, &op->call);
  if (op->fn != NULL)
    op->fn (op->closure, op->tag, reply);
  op_free (op);
  ck_pr_dec_64 (&led->backlog);
}

/* Records that CALL was not and will not be sent, so that its key may be
   claimed again.  */
static void
seal_claim (struct led *led, const struct led_call *call)
{
  struct led_outcome outcome = { .not_run = 1 };

  led_finish (led, call, &outcome, NULL, NULL, 0);
}
