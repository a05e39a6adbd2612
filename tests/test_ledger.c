/* Randomized tests of the ledger's log: several instances act as the writer at
   the same time, on a platform that fails, loses responses and delays
   writes.  They guard against two attempts at one call both being allowed to
   send it, and against a stored outcome that is lost or changed. */
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "libledger.h"
#include "test.h"

enum
{
  WRITERS = 3,
  KEYS = 6,
  SEEDS = 150,
  STEPS = 300,
  NONCES_MAX = STEPS + 1
};

/* In-memory object store that injects faults, reproducible by a seed. */
struct store
{
  struct platform base;
  GHashTable *objects; /* name to struct ver_object */
  uint64_t revision;
  GRand *random;
  int faults;
  GQueue undo;        /* of struct write, newest first */
  char *delayed_name; /* write reported as unsure, applied later */
  char *delayed_text;
  uint64_t delayed_expected;
};

/* What an object was before a write. */
struct write
{
  char *name;
  char *text; /* NULL: it did not exist */
  uint64_t revision;
};

/* Replies that the attempts at one key received. */
struct history
{
  int claims_granted;
  char granted[NONCES_MAX];
  char aborted[NONCES_MAX];
  int response; /* status of the stored outcome, or 0 */
};

/* Writers of one log in a store, and the last operation of any of them. */
struct writers
{
  struct store *store;
  struct ledger_log logs[WRITERS];
  struct ledger_op op;
  enum ledger_verdict verdict;
  const struct ledger_entry *entry;
};

static char *store_get (struct platform *platform, const char *name,
                        uint64_t *revision, GError **error);
static int store_put (struct platform *platform, const char *name,
                      const char *text, uint64_t expected, uint64_t *revision,
                      GError **error);
static int store_remove (struct platform *platform, const char *name,
                         GError **error);
static char *store_watch (struct platform *platform, const char *prefix,
                          uint64_t since, int64_t wait_ms, GError **error);
static void store_free (struct platform *platform);
static struct store *store_new (unsigned seed, int faults);
static int apply_write (struct store *store, const char *name,
                        const char *text, uint64_t expected);
static void apply_delayed_write (struct store *store);
static int commit_op (struct ledger_log *log, struct store *store,
                      struct ledger_op *op, enum ledger_verdict *verdict,
                      const struct ledger_entry **entry);
static void make_op (struct ledger_op *op, int key, int nonce);
static void writers_start (struct writers *writers, unsigned seed, int faults);
static void writers_stop (struct writers *writers);
static int writers_commit (struct writers *writers, int writer);
static void expect_claim (struct writers *writers, int writer, int key,
                          int nonce, enum ledger_verdict verdict);
static void run_random_history (unsigned seed);
static void at_most_one_claim (void);
static void stale_writer_conflicts (void);
static void aborted_claim_is_refused (void);
static void outcome_is_stored_unchanged (void);
static void mismatch_is_reported (void);
static void expiry_removes_oldest_segment (void);
static void lost_claim_is_not_granted_again (void);
static void at_most_one_claim_across_restorations (void);
static void claim_of_an_older_epoch_is_not_sent (void);

static const struct platform_ops store_ops
    = { store_get, store_put, store_remove, store_watch, NULL, store_free };

static const struct test_case cases[] = {
  { "at most one attempt is claimed under any faults", at_most_one_claim },
  { "a stale writer conflicts", stale_writer_conflicts },
  { "an aborted claim is refused, a new attempt is granted",
    aborted_claim_is_refused },
  { "a stored outcome is returned unchanged", outcome_is_stored_unchanged },
  { "a key used for another request is a mismatch", mismatch_is_reported },
  { "expiry removes old segments only", expiry_removes_oldest_segment },
  { "a claim that a restored store has lost is not granted again",
    lost_claim_is_not_granted_again },
  { "at most one attempt is claimed across restorations of the store",
    at_most_one_claim_across_restorations },
  { "a claim written into a segment of an older epoch is not sent",
    claim_of_an_older_epoch_is_not_sent },
};

TEST_MAIN ("ledger", cases)

static struct store *
store_new (unsigned seed, int faults)
{
  struct store *store = g_new0 (struct store, 1);

  store->base.ops = &store_ops;
  store->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  store->random = g_rand_new_with_seed (seed);
  store->faults = faults;
  return store;
}

static void
free_write (struct write *write)
{
  g_free (write->name);
  g_free (write->text);
  g_free (write);
}

/* Restores STORE from the copy before its last COUNT writes.  */
static void
store_restore (struct store *store, int count)
{
  struct write *write;

  store->base.epoch++;
  for (int i = 0;
       i < count && (write = g_queue_pop_head (&store->undo)) != NULL; i++)
    {
      struct ver_object *object
          = g_hash_table_lookup (store->objects, write->name);

      g_free (object->text);
      object->text = g_strdup (write->text);
      object->revision = write->revision;
      store->revision--;
      free_write (write);
    }
}

static void
store_free (struct platform *platform)
{
  struct store *store = (struct store *)platform;
  struct write *write;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      g_free (((struct ver_object *)value)->text);
      g_free (value);
    }
  g_hash_table_destroy (store->objects);
  g_rand_free (store->random);
  g_free (store->delayed_name);
  g_free (store->delayed_text);
  while ((write = g_queue_pop_head (&store->undo)) != NULL)
    free_write (write);
  g_free (store);
}

static char *
store_get (struct platform *platform, const char *name, uint64_t *revision,
           GError **error)
{
  struct store *store = (struct store *)platform;
  const struct ver_object *object;

  if (store->faults && g_rand_int_range (store->random, 0, 6) == 0)
    {
      err_set (error, ERR_PLATFORM_DOWN, "%s", name);
      return NULL;
    }
  object = g_hash_table_lookup (store->objects, name);
  if (object == NULL || object->text == NULL)
    {
      err_set (error, ERR_NOT_FOUND, "%s", name);
      return NULL;
    }
  *revision = object->revision;
  return g_strdup (object->text);
}

static int
apply_write (struct store *store, const char *name, const char *text,
             uint64_t expected)
{
  struct ver_object *object = g_hash_table_lookup (store->objects, name);
  uint64_t current
      = object && object->text ? object->revision : PLATFORM_ABSENT;
  struct write *write;

  if (current != expected)
    return -1;
  if (object == NULL)
    {
      object = g_new0 (struct ver_object, 1);
      g_hash_table_insert (store->objects, g_strdup (name), object);
    }
  write = g_new0 (struct write, 1);
  write->name = g_strdup (name);
  write->text = g_strdup (object->text);
  write->revision = object->revision;
  g_queue_push_head (&store->undo, write);
  g_free (object->text);
  object->text = g_strdup (text);
  object->revision = ++store->revision;
  return 0;
}

static void
apply_delayed_write (struct store *store)
{
  if (store->delayed_name == NULL)
    return;
  apply_write (store, store->delayed_name, store->delayed_text,
               store->delayed_expected);
  g_clear_pointer (&store->delayed_name, g_free);
  g_clear_pointer (&store->delayed_text, g_free);
}

static int
store_put (struct platform *platform, const char *name, const char *text,
           uint64_t expected, uint64_t *revision, GError **error)
{
  struct store *store = (struct store *)platform;
  int fault = store->faults ? g_rand_int_range (store->random, 0, 8) : 8;

  if (fault == 0)
    {
      err_set (error, ERR_PLATFORM_DOWN, "%s", name);
      return -1;
    }
  if (fault == 1 && store->delayed_name == NULL)
    {
      store->delayed_name = g_strdup (name);
      store->delayed_text = g_strdup (text);
      store->delayed_expected = expected;
      err_set (error, ERR_PLATFORM_INDETERMINATE, "%s", name);
      return -1;
    }
  if (apply_write (store, name, text, expected) != 0)
    {
      err_set (error, ERR_CONFLICT, "%s", name);
      return -1;
    }
  *revision = store->revision;
  if (fault == 2)
    {
      err_set (error, ERR_PLATFORM_INDETERMINATE, "%s", name);
      return -1;
    }
  return 0;
}

static int
store_remove (struct platform *platform, const char *name, GError **error)
{
  struct store *store = (struct store *)platform;
  struct ver_object *object = g_hash_table_lookup (store->objects, name);

  (void)error;
  if (object != NULL)
    {
      g_clear_pointer (&object->text, g_free);
      object->revision = ++store->revision;
    }
  return 0;
}

static char *
store_watch (struct platform *platform, const char *prefix, uint64_t since,
             int64_t wait_ms, GError **error)
{
  struct store *store = (struct store *)platform;
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  json_t *response;
  char *text;

  (void)prefix;
  (void)wait_ms;
  if (store->faults && g_rand_int_range (store->random, 0, 6) == 0)
    {
      json_decref (list);
      err_set (error, ERR_PLATFORM_DOWN, "watch");
      return NULL;
    }
  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const struct ver_object *object = value;

      if (object->revision > since)
        json_array_append_new (list, json_pack ("{s:s,s:I,s:s?}", "name", name,
                                                "revision",
                                                (json_int_t)object->revision,
                                                "value", object->text));
    }
  response
      = json_pack ("{s:I,s:b,s:o}", "revision", (json_int_t)store->revision,
                   "more", 0, "objects", list);
  text = json_dumps (response, JSON_COMPACT);
  json_decref (response);
  return text;
}

/* Does what the writer's thread does with a batch of one operation.  Returns 0
   and the VERDICT, or -1 if OP is not known to be written.  */
static int
commit_op (struct ledger_log *log, struct store *store, struct ledger_op *op,
           enum ledger_verdict *verdict, const struct ledger_entry **entry)
{
  for (int i = 0; i < 8; i++)
    {
      GError *error = NULL;
      json_t *record;
      json_t *records;
      int result;
      int conflict;

      if (!log->loaded && ledger_log_load (log, &store->base, NULL) != 0)
        return -1;
      if (ledger_log_resolve (log, op, entry, verdict))
        return 0;
      records = json_array ();
      ledger_log_stage_lost (log, records, 0);
      record = ledger_log_new_record (op, 1);
      ledger_log_stage (log, record, log->epoch);
      json_array_append_new (records, record);
      result = ledger_log_append (log, &store->base, records, &error);
      json_decref (records);
      conflict = g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT);
      g_clear_error (&error);
      if (result == 0)
        {
          *verdict
              = op->kind == LEDGER_OP_CLAIM ? LEDGER_CLAIMED : LEDGER_STORED;
          return 0;
        }
      if (!conflict)
        return -1;
    }
  return -1;
}

static void
make_op (struct ledger_op *op, int key, int nonce)
{
  memset (op, 0, sizeof *op);
  g_snprintf (op->call.key, sizeof op->call.key, "key-%d", key);
  g_snprintf (op->call.nonce, sizeof op->call.nonce, "nonce-%d", nonce);
}

/* Starts WRITERS with an empty store, which fails as SEED says if FAULTS.  */
static void
writers_start (struct writers *writers, unsigned seed, int faults)
{
  memset (writers, 0, sizeof *writers);
  writers->store = store_new (seed, faults);
  for (int i = 0; i < WRITERS; i++)
    ledger_log_init (&writers->logs[i], "test");
}

static void
writers_stop (struct writers *writers)
{
  for (int i = 0; i < WRITERS; i++)
    ledger_log_clear (&writers->logs[i]);
  store_free (&writers->store->base);
}

/* Has WRITER commit the operation in WRITERS.  Returns 0, or -1 if it is not
   known to be written.  */
static int
writers_commit (struct writers *writers, int writer)
{
  return commit_op (&writers->logs[writer], writers->store, &writers->op,
                    &writers->verdict, &writers->entry);
}

/* Has WRITER claim KEY with NONCE, which must end in VERDICT.  */
static void
expect_claim (struct writers *writers, int writer, int key, int nonce,
              enum ledger_verdict verdict)
{
  make_op (&writers->op, key, nonce);
  CU_ASSERT_EQUAL (writers_commit (writers, writer), 0);
  CU_ASSERT_EQUAL (writers->verdict, verdict);
}

/* Attempts claim keys, store outcomes and abort claims through random writers,
   which now and then restart with an empty view of the log.  Delayed writes
   take effect at random moments.  An attempt that is granted its claim runs
   its call, but may not get to store the outcome.  Checks that at most one
   attempt per key is granted its claim and that a stored outcome is neither
   lost nor changed.  */
static void
run_random_history (unsigned seed)
{
  GRand *random = g_rand_new_with_seed (seed + 1000);
  struct writers writers;
  struct history *histories = g_new0 (struct history, KEYS);

  writers_start (&writers, seed, 1);
  for (int step = 1; step <= STEPS; step++)
    {
      int writer = g_rand_int_range (random, 0, WRITERS);
      struct ledger_log *log = &writers.logs[writer];
      int key = g_rand_int_range (random, 0, KEYS);
      struct history *history = &histories[key];

      if (g_rand_int_range (random, 0, 5) == 0)
        apply_delayed_write (writers.store);
      if (g_rand_int_range (random, 0, 20) == 0)
        {
          ledger_log_clear (log);
          ledger_log_init (log, "test");
        }
      make_op (&writers.op, key, step);
      if (writers_commit (&writers, writer) != 0)
        {
          /* The client got the response that the call was not run: abort the
             claim, retrying until the platform accepts it.  */
          writers.op.kind = LEDGER_OP_OUTCOME;
          writers.op.not_run = 1;
          while (writers_commit (&writers, writer) != 0)
            apply_delayed_write (writers.store);
          history->aborted[step] = 1;
          continue;
        }
      if (writers.verdict == LEDGER_CLAIMED)
        {
          CU_ASSERT_EQUAL (history->claims_granted, 0);
          CU_ASSERT (!history->aborted[step]);
          history->claims_granted++;
          history->granted[step] = 1;
          writers.op.kind = LEDGER_OP_OUTCOME;
          writers.op.status = 200 + step;
          if (g_rand_int_range (random, 0, 3) > 0)
            {
              while (writers_commit (&writers, writer) != 0)
                apply_delayed_write (writers.store);
              CU_ASSERT_EQUAL (writers.verdict, LEDGER_STORED);
              history->response = writers.op.status;
            }
        }
      if (writers.verdict == LEDGER_COMPLETED)
        CU_ASSERT_EQUAL (writers.entry->status, history->response);
      if (history->response != 0)
        CU_ASSERT (writers.verdict == LEDGER_COMPLETED
                   || writers.verdict == LEDGER_STORED
                   || writers.verdict == LEDGER_UNFINISHED);
    }
  writers_stop (&writers);
  g_free (histories);
  g_rand_free (random);
}

static void
at_most_one_claim (void)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    run_random_history (seed);
}

static void
stale_writer_conflicts (void)
{
  struct writers writers;
  GError *error = NULL;
  json_t *records;

  writers_start (&writers, 1, 0);
  for (int i = 0; i < 2; i++)
    ledger_log_load (&writers.logs[i], &writers.store->base, NULL);
  expect_claim (&writers, 0, 1, 1, LEDGER_CLAIMED);
  make_op (&writers.op, 2, 2);
  records = json_pack ("[o]", ledger_log_new_record (&writers.op, 1));
  CU_ASSERT_EQUAL (ledger_log_append (&writers.logs[1], &writers.store->base,
                                      records, &error),
                   -1);
  CU_ASSERT (g_error_matches (error, ERR_DOMAIN, ERR_CONFLICT));
  CU_ASSERT (!writers.logs[1].loaded);
  g_clear_error (&error);
  json_decref (records);
  writers_stop (&writers);
}

static void
aborted_claim_is_refused (void)
{
  struct writers writers;

  writers_start (&writers, 1, 0);
  make_op (&writers.op, 1, 1);
  writers.op.kind = LEDGER_OP_OUTCOME;
  writers.op.not_run = 1;
  CU_ASSERT_EQUAL (writers_commit (&writers, 0), 0);
  expect_claim (&writers, 0, 1, 1, LEDGER_UNAVAILABLE);
  expect_claim (&writers, 0, 1, 2, LEDGER_CLAIMED);
  writers_stop (&writers);
}

static void
outcome_is_stored_unchanged (void)
{
  struct writers writers;
  char body[] = "eyJwYWlkIjp0cnVlfQ==";

  writers_start (&writers, 1, 0);
  expect_claim (&writers, 0, 1, 1, LEDGER_CLAIMED);
  writers.op.kind = LEDGER_OP_OUTCOME;
  writers.op.status = 201;
  writers.op.body = body;
  writers_commit (&writers, 0);
  expect_claim (&writers, 1, 1, 2, LEDGER_COMPLETED);
  CU_ASSERT_EQUAL (writers.entry->status, 201);
  CU_ASSERT_STRING_EQUAL (writers.entry->body, body);
  writers_stop (&writers);
}

static void
mismatch_is_reported (void)
{
  struct writers writers;

  writers_start (&writers, 1, 0);
  make_op (&writers.op, 1, 1);
  writers.op.call.fingerprint = 5;
  writers_commit (&writers, 0);
  make_op (&writers.op, 1, 2);
  writers.op.call.fingerprint = 6;
  CU_ASSERT_EQUAL (writers_commit (&writers, 0), 0);
  CU_ASSERT_EQUAL (writers.verdict, LEDGER_MISMATCH);
  writers_stop (&writers);
}

/* Full segments are sealed, and removed once all their records are old.  */
static void
expiry_removes_oldest_segment (void)
{
  struct writers writers;
  struct ledger_log *log = &writers.logs[0];

  writers_start (&writers, 1, 0);
  for (int key = 0; key < 5000; key++)
    expect_claim (&writers, 0, key, 1, LEDGER_CLAIMED);
  CU_ASSERT (log->open > 1);
  ledger_log_expire (log, &writers.store->base, 1);
  CU_ASSERT_EQUAL (log->first, 0);
  ledger_log_expire (log, &writers.store->base, 2);
  CU_ASSERT_EQUAL (log->first, 1);
  expect_claim (&writers, 0, 0, 2, LEDGER_CLAIMED);
  expect_claim (&writers, 0, 4999, 2, LEDGER_UNFINISHED);
  ledger_log_clear (log);
  ledger_log_init (log, "test");
  CU_ASSERT_EQUAL (ledger_log_load (log, &writers.store->base, NULL), 0);
  expect_claim (&writers, 0, 4999, 3, LEDGER_UNFINISHED);
  writers_stop (&writers);
}

/* Reads LOG and appends what STORE has lost, as writers do once a second, and
   ends the doubt.  */
static void
recover (struct ledger_log *log, struct store *store)
{
  int result = -1;

  while (result != 0)
    {
      json_t *records = json_array ();

      result = ledger_log_load (log, &store->base, NULL);
      if (result == 0)
        ledger_log_stage_lost (log, records, 0);
      if (result == 0 && json_array_size (records) > 0)
        result = ledger_log_append (log, &store->base, records, NULL);
      json_decref (records);
    }
  log->doubt_until_ms = 0;
}

/* Another writer than that of the claim has not read it.  */
static void
lost_claim_is_not_granted_again (void)
{
  struct writers writers;

  writers_start (&writers, 1, 0);
  writers.store->base.epoch = 1;
  for (int i = 0; i < 2; i++)
    expect_claim (&writers, i, i, 1, LEDGER_CLAIMED);
  expect_claim (&writers, 0, 5, 1, LEDGER_CLAIMED);
  store_restore (writers.store, 2);
  writers.logs[1].loaded = 0;
  expect_claim (&writers, 1, 5, 2, LEDGER_UNFINISHED);
  recover (&writers.logs[0], writers.store);
  recover (&writers.logs[1], writers.store);
  expect_claim (&writers, 1, 5, 2, LEDGER_UNFINISHED);
  expect_claim (&writers, 0, 1, 2, LEDGER_UNFINISHED);
  expect_claim (&writers, 0, 6, 1, LEDGER_CLAIMED);
  writers_stop (&writers);
}

/* Writers claim keys, on a store that is restored at random moments from
   copies up to ten writes old.  All writers recover within the time of doubt.
 */
static void
run_restored_history (unsigned seed)
{
  GRand *random = g_rand_new_with_seed (seed + 2000);
  struct writers writers;
  int granted[KEYS] = { 0 };

  writers_start (&writers, seed, 1);
  writers.store->base.epoch = 1;
  for (int step = 1; step <= STEPS; step++)
    {
      int key = g_rand_int_range (random, 0, KEYS);

      apply_delayed_write (writers.store);
      if (g_rand_int_range (random, 0, 30) == 0)
        store_restore (writers.store, g_rand_int_range (random, 1, 10));
      if (g_rand_int_range (random, 0, 5) == 0)
        for (int i = 0; i < WRITERS; i++)
          recover (&writers.logs[i], writers.store);
      make_op (&writers.op, key, step);
      if (writers_commit (&writers, g_rand_int_range (random, 0, WRITERS)) == 0
          && writers.verdict == LEDGER_CLAIMED)
        granted[key]++;
    }
  for (int key = 0; key < KEYS; key++)
    CU_ASSERT (granted[key] <= 1);
  g_rand_free (random);
  writers_stop (&writers);
}

static void
at_most_one_claim_across_restorations (void)
{
  log_set_level (LOG_LEVEL_ERROR); /* a line for each restoration else */
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    run_restored_history (seed);
}

/* The segment has the revision that it had before the restoration.  */
static void
claim_of_an_older_epoch_is_not_sent (void)
{
  struct writers writers;

  writers_start (&writers, 1, 0);
  writers.store->base.epoch = 1;
  expect_claim (&writers, 0, 1, 1, LEDGER_CLAIMED);
  CU_ASSERT_EQUAL (
      ledger_log_load (&writers.logs[1], &writers.store->base, NULL), 0);
  store_restore (writers.store, 0);
  expect_claim (&writers, 1, 2, 1, LEDGER_UNFINISHED);
  writers_stop (&writers);
}
