/* Writer of the ledger: group commit of the operations of all instances. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libledger.h"

enum
{
  BATCH_MAX = 512,
  COMMIT_ATTEMPTS_MAX = 8,
  CONFLICT_JITTER_MS = 8,
  BACKOFF_MIN_MS = 20,
  BACKOFF_DOUBLINGS_MAX = 4,
  PLATFORM_CALL_TIMEOUT_MS = 150,
  EXPIRE_INTERVAL_MS = 1000,
  IDLE_WAIT_MS = 200,
  NS_PER_MS = 1000000
};

struct ledger_writer
{
  const struct settings *settings;
  pthread_mutex_t lock;
  pthread_cond_t ready;
  GQueue queue; /* of struct ledger_op */
  int stopping;
  pthread_t thread;
  struct ledger_log log;
  struct plat *plat;
  clk_ms last_write_ms;
  clk_ms backoff_until_ms;
  int failures;
  clk_ms next_expire_ms;
};

static void *run_writer (void *closure);
static void wait_for_work (struct ledger_writer *writer);
static void limit_write_rate (struct ledger_writer *writer);
static GPtrArray *dequeue_batch (struct ledger_writer *writer);
static void commit_batch (struct ledger_writer *writer, GPtrArray *ops);
static int try_commit_batch (struct ledger_writer *writer, GPtrArray *ops,
                             GError **error);
static void stage_op (struct ledger_log *log, struct ledger_op *op,
                      json_t *records);
static void fail_batch (GPtrArray *ops, enum ledger_verdict verdict);
static void back_off (struct ledger_writer *writer);
static void fail_expired_ops (GPtrArray *ops);
static void sleep_ms (int64_t ms);

/* Returns a writer that has read nothing yet.  */
struct ledger_writer *
ledger_writer_new (const struct settings *settings)
{
  struct ledger_writer *writer = g_new0 (struct ledger_writer, 1);
  pthread_condattr_t attributes;

  writer->settings = settings;
  pthread_mutex_init (&writer->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&writer->ready, &attributes);
  pthread_condattr_destroy (&attributes);
  g_queue_init (&writer->queue);
  writer->plat
      = plat_http_new (&settings->platform, PLATFORM_CALL_TIMEOUT_MS, NULL);
  ledger_log_init (&writer->log, settings->deployment);
  return writer;
}

/* Starts WRITER's thread.  */
void
ledger_writer_start (struct ledger_writer *writer)
{
  pthread_create (&writer->thread, NULL, run_writer, writer);
}

/* Ends WRITER's thread after what is queued.  */
void
ledger_writer_stop (struct ledger_writer *writer)
{
  pthread_mutex_lock (&writer->lock);
  writer->stopping = 1;
  pthread_cond_signal (&writer->ready);
  pthread_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
}

/* Frees WRITER after ledger_writer_stop.  */
void
ledger_writer_free (struct ledger_writer *writer)
{
  ledger_log_clear (&writer->log);
  plat_free (writer->plat);
  pthread_mutex_destroy (&writer->lock);
  pthread_cond_destroy (&writer->ready);
  g_free (writer);
}

/* Queues OP; its reply comes on the writer's thread.  */
void
ledger_writer_enqueue (struct ledger_writer *writer, struct ledger_op *op)
{
  pthread_mutex_lock (&writer->lock);
  g_queue_push_tail (&writer->queue, op);
  pthread_cond_signal (&writer->ready);
  pthread_mutex_unlock (&writer->lock);
}

/* Commits batches until ledger_writer_stop.  */
static void *
run_writer (void *closure)
{
  struct ledger_writer *writer = closure;

  for (;;)
    {
      GPtrArray *ops;

      wait_for_work (writer);
      limit_write_rate (writer);
      ops = dequeue_batch (writer);
      if (ops == NULL)
        return NULL;
      fail_expired_ops (ops);
      if (ops->len > 0)
        commit_batch (writer, ops);
      writer->last_write_ms = clk_now (clk_monotonic ());
      g_ptr_array_free (ops, TRUE);
    }
}

/* Returns when operations are queued, the writer stops, or some time is over
   that is used for expiry.  */
static void
wait_for_work (struct ledger_writer *writer)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct timespec until;

  until.tv_sec = (now + IDLE_WAIT_MS) / CLK_MS_PER_S;
  until.tv_nsec = (now + IDLE_WAIT_MS) % CLK_MS_PER_S * NS_PER_MS;
  pthread_mutex_lock (&writer->lock);
  if (g_queue_is_empty (&writer->queue) && !writer->stopping)
    pthread_cond_timedwait (&writer->ready, &writer->lock, &until);
  pthread_mutex_unlock (&writer->lock);
  if (now < writer->next_expire_ms)
    return;
  writer->next_expire_ms = now + EXPIRE_INTERVAL_MS;
  ledger_log_expire (
      &writer->log, writer->plat,
      clk_wall_ms () - writer->settings->ledger_retention_s * CLK_MS_PER_S);
}

/* Waits after a write for the interval of the settings, so that each write
   carries what arrived meanwhile: among it the outcomes of quick calls whose
   claims the last write made durable.  The first write after a pause is not
   delayed.  */
static void
limit_write_rate (struct ledger_writer *writer)
{
  clk_ms next_write_ms
      = writer->last_write_ms + writer->settings->ledger_interval_ms;
  clk_ms now = clk_now (clk_monotonic ());

  if (now < next_write_ms)
    sleep_ms (next_write_ms - now);
}

/* Takes what is queued.  Returns NULL when the writer is to end.  */
static GPtrArray *
dequeue_batch (struct ledger_writer *writer)
{
  GPtrArray *ops = g_ptr_array_new ();

  pthread_mutex_lock (&writer->lock);
  while (ops->len < BATCH_MAX && !g_queue_is_empty (&writer->queue))
    g_ptr_array_add (ops, g_queue_pop_head (&writer->queue));
  if (ops->len == 0 && writer->stopping)
    {
      g_ptr_array_free (ops, TRUE);
      ops = NULL;
    }
  pthread_mutex_unlock (&writer->lock);
  return ops;
}

/* Answers operations whose caller has given up by now.  */
static void
fail_expired_ops (GPtrArray *ops)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (guint i = ops->len; i > 0; i--)
    {
      struct ledger_op *op = g_ptr_array_index (ops, i - 1);

      if (now <= op->deadline_ms)
        continue;
      g_ptr_array_remove_index (ops, i - 1);
      ledger_op_reply (op, LEDGER_UNAVAILABLE, NULL);
    }
}

/* Commits OPS and answers them all.  While the platform is known to be down
   they are answered at once, and it is tried again now and then.  */
static void
commit_batch (struct ledger_writer *writer, GPtrArray *ops)
{
  GError *error = NULL;
  int indeterminate;

  if (clk_now (clk_monotonic ()) < writer->backoff_until_ms)
    {
      fail_batch (ops, LEDGER_UNAVAILABLE);
      return;
    }
  for (int i = 0; i < COMMIT_ATTEMPTS_MAX && ops->len > 0; i++)
    {
      g_clear_error (&error);
      if (try_commit_batch (writer, ops, &error) == 0)
        {
          writer->failures = 0;
          return;
        }
      if (!g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT))
        break;
      met_inc (MET_LEDGER_CONFLICTS);
      sleep_ms (randombytes_uniform (CONFLICT_JITTER_MS * (uint32_t)(i + 1)));
    }
  indeterminate = g_error_matches (error, ERR_DOMAIN, ERR_PLATFORM_UNSURE);
  if (error != NULL)
    {
      log_warn ("ledger", NULL, "commit_failed", "%s", error->message);
      if (!g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT))
        back_off (writer);
    }
  g_clear_error (&error);
  fail_batch (ops, indeterminate ? LEDGER_INDETERMINATE : LEDGER_UNAVAILABLE);
}

/* Keeps calls from the platform for a time that doubles with each failure in
   a row.  */
static void
back_off (struct ledger_writer *writer)
{
  int64_t backoff_ms = (int64_t)BACKOFF_MIN_MS
                       << MIN (writer->failures, BACKOFF_DOUBLINGS_MAX);

  writer->failures++;
  writer->backoff_until_ms = clk_now (clk_monotonic ()) + backoff_ms;
}

/* Judges OPS in their order by the log and by what the ones before them
   stage, makes what needs a record durable in one write, then answers them
   all.  Returns 0, or -1 with ERROR set and nothing answered.  */
static int
try_commit_batch (struct ledger_writer *writer, GPtrArray *ops, GError **error)
{
  struct ledger_log *log = &writer->log;
  json_t *records;
  int result = 0;

  for (guint i = 0; i < ops->len; i++)
    if (((struct ledger_op *)g_ptr_array_index (ops, i))->kind
        == LEDGER_OP_LOOKUP)
      log->loaded = 0;
  if (!log->loaded)
    {
      met_inc (MET_LEDGER_TAKEOVERS);
      if (ledger_log_load (log, writer->plat, error) != 0)
        return -1;
    }
  records = json_array ();
  for (guint i = 0; i < ops->len; i++)
    stage_op (log, g_ptr_array_index (ops, i), records);
  if (json_array_size (records) > 0)
    result = ledger_log_append (log, writer->plat, records, error);
  json_decref (records);
  if (result != 0)
    return -1;
  for (guint i = 0; i < ops->len; i++)
    {
      struct ledger_op *op = g_ptr_array_index (ops, i);

      ledger_op_reply (op, op->verdict,
                       g_hash_table_lookup (log->entries, op->call.key));
    }
  g_ptr_array_set_size (ops, 0);
  return 0;
}

/* Finds the verdict on OP, adding to RECORDS what it needs.  */
static void
stage_op (struct ledger_log *log, struct ledger_op *op, json_t *records)
{
  const struct ledger_entry *entry;
  json_t *record;

  if (ledger_log_resolve (log, op, &entry, &op->verdict))
    return;
  record = ledger_log_new_record (op, clk_wall_ms ());
  ledger_log_stage (log, record);
  json_array_append_new (records, record);
  op->verdict = op->kind == LEDGER_OP_CLAIM ? LEDGER_CLAIMED : LEDGER_STORED;
}

/* Answers all OPS with VERDICT.  */
static void
fail_batch (GPtrArray *ops, enum ledger_verdict verdict)
{
  for (guint i = 0; i < ops->len; i++)
    ledger_op_reply (g_ptr_array_index (ops, i), verdict, NULL);
  g_ptr_array_set_size (ops, 0);
}

/* Sleeps for MS milliseconds.  */
static void
sleep_ms (int64_t ms)
{
  struct timespec duration
      = { ms / CLK_MS_PER_S, ms % CLK_MS_PER_S * NS_PER_MS };

  nanosleep (&duration, NULL);
}
