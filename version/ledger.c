/* Front of the ledger: carries operations to the instance that writes.

   Any instance may write, as the log's conditional writes decide; sending all
   operations to one by rendezvous hashing only makes batches large and
   conflicts rare.  */
#include <string.h>

#include <ck_pr.h>
#include <sodium.h>

#include "ibisloom/fetch.h"
#include "ibisloom/metrics.h"
#include "libledger.h"

enum
{
  CLAIM_TIMEOUT_MS = 170,
  OUTCOME_TIMEOUT_MS = 600000,
  LOOKUP_TIMEOUT_MS = 2000,
  BACKLOG_MAX = 65536,
  ID_RAW_BYTES = 16
};

static void enqueue_op (struct led *led, struct ledger_op *op);
static void abort_claim (struct led *led, const struct ledger_call *call);

/* Returns the front and the writer of this instance.  */
struct led *
ledger_new (const struct settings *settings, struct peer *peer)
{
  struct led *led = g_new0 (struct led, 1);
  pthread_condattr_t attributes;

  led->settings = settings;
  led->peer = peer;
  led->writer = ledger_writer_new (settings);
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
ledger_start (struct led *led)
{
  ledger_writer_start (led->writer);
  for (int i = 0; i < SENDER_COUNT; i++)
    {
      struct sender *sender = &led->senders[i];

      sender->led = led;
      sender->fetch = fetch_new ();
      pthread_create (&sender->thread, NULL, ledger_run_sender, sender);
    }
}

/* Ends the threads; operations still queued are lost, so call it when
   ledger_backlog is 0 or the time to stop is over.  */
void
ledger_stop (struct led *led)
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
  ledger_writer_stop (led->writer);
}

/* Frees LED after ledger_stop.  */
void
ledger_free (struct led *led)
{
  ledger_writer_free (led->writer);
  g_queue_clear_full (&led->queue, (GDestroyNotify)ledger_op_free);
  g_queue_clear_full (&led->delayed, (GDestroyNotify)ledger_op_free);
  pthread_mutex_destroy (&led->lock);
  pthread_cond_destroy (&led->ready);
  g_free (led);
}

/* Derives the record's KEY from the names that scope IDEMPOTENCY_KEY.  The
   deployment is part of the object's name.  */
void
ledger_derive_key (char key[LEDGER_ID_BYTES], const char *customer,
                   const char *service, const char *idempotency_key)
{
  const char *const parts[] = { customer, service, idempotency_key };
  unsigned char digest[ID_RAW_BYTES];
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, sizeof digest);
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    crypto_generichash_update (&state, (const unsigned char *)parts[i],
                               strlen (parts[i]) + 1);
  crypto_generichash_final (&state, digest, sizeof digest);
  sodium_bin2hex (key, LEDGER_ID_BYTES, digest, sizeof digest);
}

/* Draws the NONCE of a new attempt.  */
void
ledger_generate_nonce (char nonce[LEDGER_ID_BYTES])
{
  unsigned char bytes[ID_RAW_BYTES];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (nonce, LEDGER_ID_BYTES, bytes, sizeof bytes);
}

/* Makes the record that allows CALL to be sent.  FN is called once, on
   another thread, with CLOSURE, TAG and the verdict; only LEDGER_CLAIMED
   allows sending.  After LEDGER_UNAVAILABLE the record is sealed as not run as
   soon as the platform allows.  */
void
ledger_claim (struct led *led, const struct ledger_call *call,
              ledger_reply_fn fn, void *closure, uint64_t tag)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  met_inc (MET_LEDGER_CLAIMS);
  op->kind = LEDGER_OP_CLAIM;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + CLAIM_TIMEOUT_MS;
  op->fn = fn;
  op->closure = closure;
  op->tag = tag;
  enqueue_op (led, op);
}

/* Stores the OUTCOME of a claimed CALL, trying until it is durable.  FN is
   called once, on another thread, with LEDGER_STORED, or with
   LEDGER_UNAVAILABLE when the front gave up after minutes.  */
void
ledger_store_outcome (struct led *led, const struct ledger_call *call,
                      const struct ledger_outcome *outcome, ledger_reply_fn fn,
                      void *closure, uint64_t tag)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  met_inc (MET_LEDGER_OUTCOMES);
  op->kind = LEDGER_OP_OUTCOME;
  op->call = *call;
  op->not_run = outcome->not_run;
  op->status = outcome->status;
  op->content_type = g_strdup (outcome->content_type);
  if (outcome->body_length > 0)
    op->body = g_base64_encode ((const guchar *)outcome->body,
                                outcome->body_length);
  op->deadline_ms = clk_now (clk_monotonic ()) + OUTCOME_TIMEOUT_MS;
  op->fn = fn;
  op->closure = closure;
  op->tag = tag;
  enqueue_op (led, op);
}

/* Looks up what the ledger holds for CALL's key.  FN is called once, on
   another thread: LEDGER_COMPLETED, LEDGER_UNFINISHED, LEDGER_ABSENT or
   LEDGER_UNAVAILABLE.  */
void
ledger_lookup (struct led *led, const struct ledger_call *call,
               ledger_reply_fn fn, void *closure)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  op->kind = LEDGER_OP_LOOKUP;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + LOOKUP_TIMEOUT_MS;
  op->fn = fn;
  op->closure = closure;
  ck_pr_inc_64 (&led->backlog);
  ledger_writer_enqueue (led->writer, ledger_copy_op (led, op));
}

/* Returns how many operations of this instance are not answered yet.  */
size_t
ledger_backlog (struct led *led)
{
  return ck_pr_load_64 (&led->backlog);
}

/* Takes the batch JSON that another instance sent and answers it through FN
   with newly allocated JSON, or NULL if it is malformed.  */
void
ledger_serve_batch (struct led *led, const char *json, ledger_batch_fn fn,
                    void *closure)
{
  json_t *message = json_loads (json, 0, NULL);
  json_t *list = json_object_get (message, "ops");
  struct ledger_batch *batch;
  GPtrArray *ops = g_ptr_array_new ();
  json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    struct ledger_op *op = ledger_op_from_json (item);

    if (op != NULL)
      g_ptr_array_add (ops, op);
  }
  if (ops->len == 0 || ops->len != json_array_size (list))
    {
      g_ptr_array_foreach (ops, (GFunc)(void (*) (void))ledger_op_free, NULL);
      g_ptr_array_free (ops, TRUE);
      json_decref (message);
      fn (closure, NULL);
      return;
    }
  json_decref (message);
  batch = g_new0 (struct ledger_batch, 1);
  batch->results = json_array ();
  batch->open = ops->len;
  batch->fn = fn;
  batch->closure = closure;
  pthread_mutex_init (&batch->lock, NULL);
  for (guint j = 0; j < ops->len; j++)
    json_array_append_new (batch->results, json_null ());
  for (guint j = 0; j < ops->len; j++)
    {
      struct ledger_op *op = g_ptr_array_index (ops, j);

      op->batch = batch;
      op->batch_index = j;
      op->deadline_ms
          = clk_now (clk_monotonic ())
            + (op->kind == LEDGER_OP_CLAIM ? CLAIM_TIMEOUT_MS
                                           : OUTCOME_CALL_TIMEOUT_MS);
      ledger_writer_enqueue (led->writer, op);
    }
  g_ptr_array_free (ops, TRUE);
}

/* Queues a new OP of this instance.  */
static void
enqueue_op (struct led *led, struct ledger_op *op)
{
  struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };

  if (ck_pr_faa_64 (&led->backlog, 1) >= BACKLOG_MAX)
    {
      ledger_finish_op (led, op, &reply);
      return;
    }
  pthread_mutex_lock (&led->lock);
  g_queue_push_tail (&led->queue, op);
  pthread_cond_signal (&led->ready);
  pthread_mutex_unlock (&led->lock);
}

/* Tries OP, which got VERDICT, again later if there is time, with a delay
   that doubles.  */
void
ledger_retry_op (struct led *led, struct ledger_op *op,
                 enum ledger_verdict verdict)
{
  struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };
  clk_ms now = clk_now (clk_monotonic ());

  op->indeterminate |= verdict == LEDGER_INDETERMINATE;
  op->retries++;
  if (now + RETRY_DELAY_MIN_MS > op->deadline_ms)
    ledger_finish_op (led, op, &reply);
  else
    ledger_delay_op (led, op);
}

/* Gives REPLY to the caller of OP and frees it.  A claim that got no verdict
   may still be written late, so it is sealed.  */
void
ledger_finish_op (struct led *led, struct ledger_op *op,
                  const struct ledger_reply *reply)
{
  if (op->kind == LEDGER_OP_CLAIM && reply->verdict == LEDGER_UNAVAILABLE
      && op->indeterminate)
    abort_claim (led, &op->call);
  if (op->fn != NULL)
    op->fn (op->closure, op->tag, reply);
  ledger_op_free (op);
  ck_pr_dec_64 (&led->backlog);
}

/* Records that CALL was not and will not be sent, so that its key may be
   claimed again.  */
static void
abort_claim (struct led *led, const struct ledger_call *call)
{
  struct ledger_outcome outcome = { .not_run = 1 };

  ledger_store_outcome (led, call, &outcome, NULL, NULL, 0);
}
