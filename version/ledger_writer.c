/* Writer thread of the ledger: group commit of operations from all
   instances.  */
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
  COMMIT_ATTEMPTS_MAX = 8, /* of a batch, if other instances write too */
  CONFLICT_JITTER_MS = 8,  /* bound of the random delay, times the attempt */
  BACKOFF_MIN_MS = 20,
  BACKOFF_DOUBLINGS_MAX = 4,
  PLATFORM_CALL_TIMEOUT_MS = 150,
  EXPIRE_INTERVAL_MS = 1000,
  /* A writer that has appended within this time looks for a restoration of the
     store, and appends what was lost.  */
  LOST_MAX_MS = 60000,
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
  struct platform *platform;
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
static void append_lost (struct ledger_writer *writer);
static void back_off (struct ledger_writer *writer);
static void fail_expired_ops (GPtrArray *ops);
static void sleep_ms (int64_t ms);

/* Returns a writer, not started, that has read nothing of the log.  */
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
  writer->platform = platform_http_new (&settings->platform,
                                        PLATFORM_CALL_TIMEOUT_MS, NULL);
  ledger_log_init (&writer->log, settings->deployment);
  return writer;
}

void
ledger_writer_start (struct ledger_writer *writer)
{
  pthread_create (&writer->thread, NULL, run_writer, writer);
}

/* Stops WRITER's thread when all queued operations are replied to.  */
void
ledger_writer_stop (struct ledger_writer *writer)
{
  pthread_mutex_lock (&writer->lock);
  writer->stopping = 1;
  pthread_cond_signal (&writer->ready);
  pthread_mutex_unlock (&writer->lock);
  pthread_join (writer->thread, NULL);
}

/* Frees WRITER, whose thread must be stopped.  */
void
ledger_writer_free (struct ledger_writer *writer)
{
  ledger_log_clear (&writer->log);
  platform_free (writer->platform);
  pthread_mutex_destroy (&writer->lock);
  pthread_cond_destroy (&writer->ready);
  g_free (writer);
}

/* Queues OP, which WRITER then owns.  The reply is given on the writer's
   thread.  */
void
ledger_writer_enqueue (struct ledger_writer *writer, struct ledger_op *op)
{
  pthread_mutex_lock (&writer->lock);
  g_queue_push_tail (&writer->queue, op);
  pthread_cond_signal (&writer->ready);
  pthread_mutex_unlock (&writer->lock);
}

/* Main function of the writer's thread; CLOSURE is the writer.  */
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

/* Waits up to IDLE_WAIT_MS until operations are queued or the writer stops,
   then expires old records if EXPIRE_INTERVAL_MS has passed.  */
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
  if (writer->last_write_ms != 0 && now - writer->last_write_ms < LOST_MAX_MS)
    append_lost (writer);
  ledger_log_expire (
      &writer->log, writer->platform,
      clk_wall_ms () - writer->settings->ledger_retention_s * CLK_MS_PER_S);
}

/* Keeps at least ledger_interval_ms of the settings between two batches, so
   that a write carries all that arrived in the meantime, such as the outcomes
   of quick calls whose claims the last write made durable.  The first write
   after an idle time is not delayed.  */
static void
limit_write_rate (struct ledger_writer *writer)
{
  clk_ms next_write_ms
      = writer->last_write_ms + writer->settings->ledger_interval_ms;
  clk_ms now = clk_now (clk_monotonic ());

  if (now < next_write_ms)
    sleep_ms (next_write_ms - now);
}

/* Reads the log and appends what the store has lost, if it was restored.  */
static void
append_lost (struct ledger_writer *writer)
{
  json_t *records = json_array ();

  if (ledger_log_load (&writer->log, writer->platform, NULL) == 0)
    {
      ledger_log_stage_lost (&writer->log, records,
                             clk_wall_ms () - LOST_MAX_MS);
      if (json_array_size (records) > 0)
        (void)ledger_log_append (&writer->log, writer->platform, records,
                                 NULL);
    }
  json_decref (records);
}

/* Returns up to BATCH_MAX queued operations in a new array, or NULL if the
   writer is stopping and the queue is empty.  */
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

/* Removes operations past their deadline from OPS and replies to them with
   LEDGER_UNAVAILABLE, since the requests that wait for them have timed
   out.  */
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

/* Commits OPS and replies to all of them.  During the back-off after a
   platform failure, all of OPS get LEDGER_UNAVAILABLE at once.  */
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
      metric_inc (METRIC_LEDGER_CONFLICTS);
      sleep_ms (randombytes_uniform (CONFLICT_JITTER_MS * (uint32_t)(i + 1)));
    }
  indeterminate
      = g_error_matches (error, ERR_DOMAIN, ERR_PLATFORM_INDETERMINATE);
  if (error != NULL)
    {
      log_warn ("ledger", NULL, "commit_failed", "%s", error->message);
      if (!g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT))
        back_off (writer);
    }
  g_clear_error (&error);
  fail_batch (ops, indeterminate ? LEDGER_INDETERMINATE : LEDGER_UNAVAILABLE);
}

/* Suspends commits for a time that doubles with each consecutive failure, from
   BACKOFF_MIN_MS, so that a platform that is down is not called for each
   batch.  */
static void
back_off (struct ledger_writer *writer)
{
  int64_t backoff_ms = (int64_t)BACKOFF_MIN_MS
                       << MIN (writer->failures, BACKOFF_DOUBLINGS_MAX);

  writer->failures++;
  writer->backoff_until_ms = clk_now (clk_monotonic ()) + backoff_ms;
}

/* Resolves OPS in order, each by the log and the entries staged for earlier
   ones, appends all new records in one write and replies to OPS once they are
   durable.  Returns 0, or -1 with ERROR set; then no operation got a reply.

   A lookup forces a new read of the log, since it must include what other
   instances have written.  */
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
      metric_inc (METRIC_LEDGER_TAKEOVERS);
      if (ledger_log_load (log, writer->platform, error) != 0)
        return -1;
    }
  records = json_array ();
  ledger_log_stage_lost (log, records, clk_wall_ms () - LOST_MAX_MS);
  for (guint i = 0; i < ops->len; i++)
    stage_op (log, g_ptr_array_index (ops, i), records);
  if (json_array_size (records) > 0)
    result = ledger_log_append (log, writer->platform, records, error);
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

/* Sets the verdict of OP.  If it needs a record, stages one and adds it to
   RECORDS.  */
static void
stage_op (struct ledger_log *log, struct ledger_op *op, json_t *records)
{
  const struct ledger_entry *entry;
  json_t *record;

  if (ledger_log_resolve (log, op, &entry, &op->verdict))
    return;
  record = ledger_log_new_record (op, clk_wall_ms ());
  ledger_log_stage (log, record, log->epoch);
  json_array_append_new (records, record);
  op->verdict = op->kind == LEDGER_OP_CLAIM ? LEDGER_CLAIMED : LEDGER_STORED;
}

/* Replies to all OPS with VERDICT and empties the array.  */
static void
fail_batch (GPtrArray *ops, enum ledger_verdict verdict)
{
  for (guint i = 0; i < ops->len; i++)
    ledger_op_reply (g_ptr_array_index (ops, i), verdict, NULL);
  g_ptr_array_set_size (ops, 0);
}

static void
sleep_ms (int64_t ms)
{
  struct timespec duration
      = { ms / CLK_MS_PER_S, ms % CLK_MS_PER_S * NS_PER_MS };

  nanosleep (&duration, NULL);
}
