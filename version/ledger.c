/* Entry points of the ledger: queues operations and serves batches that other
   instances send.

   Any instance may write to the log, since conditional writes order all
   appends.  Operations are still sent to a single instance, the writer,
   selected by rendezvous hashing, which makes batches large and conflicts
   rare.  */
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
  BACKLOG_MAX = 65536, /* operations without a reply */
  ID_RAW_BYTES = 16
};

static void enqueue_op (struct ledger *ledger, struct ledger_op *op);
static void abort_claim (struct ledger *ledger,
                         const struct ledger_call *call);

/* Returns the ledger of this instance, with its threads not started.  */
struct ledger *
ledger_new (const struct settings *settings, struct peer *peer)
{
  struct ledger *ledger = g_new0 (struct ledger, 1);
  pthread_condattr_t attributes;

  ledger->settings = settings;
  ledger->peer = peer;
  ledger->writer = ledger_writer_new (settings);
  pthread_mutex_init (&ledger->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&ledger->ready, &attributes);
  pthread_condattr_destroy (&attributes);
  g_queue_init (&ledger->queue);
  g_queue_init (&ledger->delayed);
  return ledger;
}

/* Starts the writer thread and the sender threads.  */
void
ledger_start (struct ledger *ledger)
{
  ledger_writer_start (ledger->writer);
  for (int i = 0; i < SENDER_COUNT; i++)
    {
      struct sender *sender = &ledger->senders[i];

      sender->ledger = ledger;
      sender->fetch = fetch_new ();
      pthread_create (&sender->thread, NULL, ledger_run_sender, sender);
    }
}

/* Stops and joins the threads.  Operations that still wait for a retry are
   discarded without a reply, so call it when ledger_backlog returns 0 or the
   stop timeout has passed.  */
void
ledger_stop (struct ledger *ledger)
{
  pthread_mutex_lock (&ledger->lock);
  ledger->stopping = 1;
  pthread_cond_broadcast (&ledger->ready);
  pthread_mutex_unlock (&ledger->lock);
  for (int i = 0; i < SENDER_COUNT; i++)
    {
      pthread_join (ledger->senders[i].thread, NULL);
      fetch_free (ledger->senders[i].fetch);
    }
  ledger_writer_stop (ledger->writer);
}

/* Frees LEDGER, whose threads must be stopped.  */
void
ledger_free (struct ledger *ledger)
{
  ledger_writer_free (ledger->writer);
  g_queue_clear_full (&ledger->queue, (GDestroyNotify)ledger_op_free);
  g_queue_clear_full (&ledger->delayed, (GDestroyNotify)ledger_op_free);
  pthread_mutex_destroy (&ledger->lock);
  pthread_cond_destroy (&ledger->ready);
  g_free (ledger);
}

/* Derives the record's KEY from IDEMPOTENCY_KEY and its scope, CUSTOMER and
   SERVICE.  The deployment need not be hashed, since it is part of the names
   of the log's segments.  */
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

/* Generates a random NONCE, which identifies a new attempt.  */
void
ledger_generate_nonce (char nonce[LEDGER_ID_BYTES])
{
  unsigned char bytes[ID_RAW_BYTES];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (nonce, LEDGER_ID_BYTES, bytes, sizeof bytes);
}

/* Claims the key of CALL for its attempt.  FN is called once, possibly on
   another thread, with CLOSURE, TAG and the reply; the call may be sent only
   after LEDGER_CLAIMED.  If the verdict is LEDGER_UNAVAILABLE but a write may
   yet take effect, the claim is aborted as soon as the platform allows.  */
void
ledger_claim (struct ledger *ledger, const struct ledger_call *call,
              ledger_reply_fn fn, void *closure, uint64_t tag)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  metric_inc (METRIC_LEDGER_CLAIMS);
  op->kind = LEDGER_OP_CLAIM;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + CLAIM_TIMEOUT_MS;
  op->fn = fn;
  op->closure = closure;
  op->tag = tag;
  enqueue_op (ledger, op);
}

/* Stores the OUTCOME of a claimed CALL, retrying until it is durable or
   OUTCOME_TIMEOUT_MS has passed.  FN, if not NULL, is called once, possibly on
   another thread, with LEDGER_STORED or LEDGER_UNAVAILABLE.  */
void
ledger_store_outcome (struct ledger *ledger, const struct ledger_call *call,
                      const struct ledger_outcome *outcome, ledger_reply_fn fn,
                      void *closure, uint64_t tag)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  metric_inc (METRIC_LEDGER_OUTCOMES);
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
  enqueue_op (ledger, op);
}

/* Looks up the state of CALL's key, first through this instance's own writer.
   FN is called once, on another thread, with LEDGER_COMPLETED,
   LEDGER_UNFINISHED, LEDGER_ABSENT or LEDGER_UNAVAILABLE.  */
void
ledger_lookup (struct ledger *ledger, const struct ledger_call *call,
               ledger_reply_fn fn, void *closure)
{
  struct ledger_op *op = g_new0 (struct ledger_op, 1);

  op->kind = LEDGER_OP_LOOKUP;
  op->call = *call;
  op->deadline_ms = clk_now (clk_monotonic ()) + LOOKUP_TIMEOUT_MS;
  op->fn = fn;
  op->closure = closure;
  ck_pr_inc_64 (&ledger->backlog);
  ledger_writer_enqueue (ledger->writer, ledger_copy_op (ledger, op));
}

/* Returns the number of operations of this instance without a reply.  */
size_t
ledger_backlog (struct ledger *ledger)
{
  return ck_pr_load_64 (&ledger->backlog);
}

/* Passes the operations of JSON, a batch from another instance, to the writer.
   FN is called with CLOSURE and the results as newly allocated JSON, possibly
   on another thread, or with NULL at once if the batch is malformed.  */
void
ledger_serve_batch (struct ledger *ledger, const char *json,
                    ledger_batch_fn fn, void *closure)
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
      ledger_writer_enqueue (ledger->writer, op);
    }
  g_ptr_array_free (ops, TRUE);
}

/* Queues a new operation OP of this instance, or fails it with
   LEDGER_UNAVAILABLE if the backlog is full.  */
static void
enqueue_op (struct ledger *ledger, struct ledger_op *op)
{
  struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };

  if (ck_pr_faa_64 (&ledger->backlog, 1) >= BACKLOG_MAX)
    {
      ledger_finish_op (ledger, op, &reply);
      return;
    }
  pthread_mutex_lock (&ledger->lock);
  g_queue_push_tail (&ledger->queue, op);
  pthread_cond_signal (&ledger->ready);
  pthread_mutex_unlock (&ledger->lock);
}

/* Schedules a retry of OP, whose last try gave VERDICT, with exponential
   back-off.  Finishes it with LEDGER_UNAVAILABLE if its deadline comes
   first.  */
void
ledger_retry_op (struct ledger *ledger, struct ledger_op *op,
                 enum ledger_verdict verdict)
{
  struct ledger_reply reply = { .verdict = LEDGER_UNAVAILABLE };
  clk_ms now = clk_now (clk_monotonic ());

  op->indeterminate |= verdict == LEDGER_INDETERMINATE;
  op->retries++;
  if (now + RETRY_DELAY_MIN_MS > op->deadline_ms)
    ledger_finish_op (ledger, op, &reply);
  else
    ledger_delay_op (ledger, op);
}

/* Passes REPLY to the callback of OP and frees OP.  A claim that ends as
   LEDGER_UNAVAILABLE after an indeterminate write may yet appear in the log,
   so it is aborted.  */
void
ledger_finish_op (struct ledger *ledger, struct ledger_op *op,
                  const struct ledger_reply *reply)
{
  if (op->kind == LEDGER_OP_CLAIM && reply->verdict == LEDGER_UNAVAILABLE
      && op->indeterminate)
    abort_claim (ledger, &op->call);
  if (op->fn != NULL)
    op->fn (op->closure, op->tag, reply);
  ledger_op_free (op);
  ck_pr_dec_64 (&ledger->backlog);
}

/* Stores the outcome that CALL was not and will not be sent, so that another
   attempt may claim its key.  */
static void
abort_claim (struct ledger *ledger, const struct ledger_call *call)
{
  struct ledger_outcome outcome = { .not_run = 1 };

  ledger_store_outcome (ledger, call, &outcome, NULL, NULL, 0);
}
