/* Append-only log of ledger records, stored as numbered segment objects.

   Records are appended to the open segment, the one with the highest number,
   by rewriting it on condition that its revision has not changed.  The write
   that fills a segment also seals it.  Only then may the next segment be
   created, on condition that it does not exist.  Each append is therefore a
   conditional write to the end of a single sequence: a writer whose view is
   out of date cannot append, even if several instances act as the writer.

   When the store was restored from an older copy of its data, its last
   segments are lost or shorter, and conditions on their revisions may hold by
   accident.  Each epoch of the store therefore has segment numbers of its own,
   and only a claim in a segment of the current epoch allows its attempt to be
   sent.  Writers append what they know and the store has lost; until all have
   had the time to do so, a key that is not known is not granted.  */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libledger.h"

enum
{
  SEGMENT_SEAL_BYTES = 65536,
  /* Writers read the log once a second if they have appended lately.  */
  DOUBT_MS = 2500
};

/* Segment numbers of one epoch. */
static const int64_t SEGMENTS_PER_EPOCH = 1000000000;

static void begin_epoch (struct ledger_log *log, uint64_t epoch);
static void open_segment_of_epoch (struct ledger_log *log);
static int64_t first_segment (uint64_t epoch);
static int is_in_doubt (const struct ledger_log *log);
static int is_lost (const struct ledger_entry *entry, int64_t since_ms);
static json_t *entry_record (const struct ledger_entry *entry);
static void skip_old_epoch (struct ledger_log *log);
static void free_entry (gpointer data);
static struct ledger_entry *find_entry (const struct ledger_log *log,
                                        const char *key);
static struct ledger_entry *stage_entry (struct ledger_log *log,
                                         const char *key);
static int apply_segment (struct ledger_log *log, json_t *item,
                          GError **error);
static int64_t parse_segment_number (const struct ledger_log *log,
                                     const char *name);
static void copy_string (char *buffer, size_t size, json_t *value);
static char *format_segment (const GString *records, int sealed);
static void append_records (GString *text, json_t *records);

/* Initializes LOG as the log of DEPLOYMENT with nothing read yet.  */
void
ledger_log_init (struct ledger_log *log, const char *deployment)
{
  memset (log, 0, sizeof *log);
  g_snprintf (log->prefix, sizeof log->prefix, "%s/ledger/", deployment);
  log->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  log->staged
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  log->open_records = g_string_new (NULL);
  log->first = -1;
  log->open = -1;
}

/* Frees the contents of LOG.  */
void
ledger_log_clear (struct ledger_log *log)
{
  g_hash_table_destroy (log->entries);
  g_hash_table_destroy (log->staged);
  g_string_free (log->open_records, TRUE);
}

/* Reads the segments that changed since the last read.  Returns 0, or -1 with
   ERROR set, after which nothing may be appended until LOG is loaded.  */
int
ledger_log_load (struct ledger_log *log, struct platform *platform,
                 GError **error)
{
  int result;
  int complete;

  log->loaded = 0;
  do
    {
      uint64_t before = log->read_revision;
      char *json = platform_watch (platform, log->prefix, log->read_revision,
                                   0, error);

      metric_inc (METRIC_LEDGER_READS);
      if (json == NULL)
        return -1;
      if (platform->epoch != log->epoch)
        {
          begin_epoch (log, platform->epoch);
          g_free (json);
          result = 1;
          complete = 0;
          continue;
        }
      result = ledger_log_apply (log, json, error);
      g_free (json);
      complete = result == 0 || log->read_revision == before;
    }
  while (result > 0 && !complete);
  if (result < 0)
    return -1;
  open_segment_of_epoch (log);
  log->loaded = 1;
  return 0;
}

/* Begins to read LOG anew in EPOCH of the store.  The entries stay, but the
   store may have lost their records.  */
static void
begin_epoch (struct ledger_log *log, uint64_t epoch)
{
  GHashTableIter iter;
  gpointer value;

  if (log->epoch != 0)
    {
      log->doubt_until_ms = clk_now (clk_monotonic ()) + DOUBT_MS;
      metric_inc (METRIC_STORE_RESTORED);
      log_warn ("ledger", NULL, "restored", "epoch %u, before %u",
                (unsigned)epoch, (unsigned)log->epoch);
    }
  log->epoch = epoch;
  log->may_have_lost = 1;
  log->read_revision = 0;
  log->first = -1;
  log->open = -1;
  log->open_revision = PLATFORM_ABSENT;
  g_string_truncate (log->open_records, 0);
  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ledger_entry *entry = value;

      entry->claim_kept = 0;
      entry->outcome_kept = 0;
    }
}

/* If LOG has no segment of its epoch yet, makes the first one the open one.
   Other writers may then know records that the store has lost.  */
static void
open_segment_of_epoch (struct ledger_log *log)
{
  if (log->open >= first_segment (log->epoch))
    return;
  if (log->open >= 0 && !is_in_doubt (log))
    log->doubt_until_ms = clk_now (clk_monotonic ()) + DOUBT_MS;
  log->open = first_segment (log->epoch);
  log->open_revision = PLATFORM_ABSENT;
  g_string_truncate (log->open_records, 0);
}

/* Returns the number of the first segment in EPOCH.  */
static int64_t
first_segment (uint64_t epoch)
{
  return (int64_t)epoch * SEGMENTS_PER_EPOCH;
}

/* Returns whether other writers may know records that the store has lost.  */
static int
is_in_doubt (const struct ledger_log *log)
{
  return clk_now (clk_monotonic ()) < log->doubt_until_ms;
}

/* Applies the segments of JSON, a response to the platform's watch request.
   Returns 1 if further segments follow in another response, 0 if not, or -1
   with ERROR set if JSON is malformed.  */
int
ledger_log_apply (struct ledger_log *log, const char *json, GError **error)
{
  json_t *response = json_loads (json, 0, NULL);
  json_t *item;
  size_t i;
  int more;

  if (!json_is_array (json_object_get (response, "objects")))
    {
      json_decref (response);
      err_set (error, ERR_INVALID, "ledger: malformed list of segments");
      return -1;
    }
  json_array_foreach (json_object_get (response, "objects"), i, item)
  {
    if (apply_segment (log, item, error) != 0)
      {
        json_decref (response);
        return -1;
      }
  }
  log->read_revision
      = (uint64_t)json_integer_value (json_object_get (response, "revision"));
  more = json_is_true (json_object_get (response, "more"));
  json_decref (response);
  return more;
}

/* Decides OP by the known and staged entries.  Returns 1 and sets VERDICT if
   nothing needs to be written, else 0.  Sets ENTRY to the entry of OP's key,
   or NULL if there is none.  */
int
ledger_log_resolve (const struct ledger_log *log, const struct ledger_op *op,
                    const struct ledger_entry **entry,
                    enum ledger_verdict *verdict)
{
  const struct ledger_entry *current = find_entry (log, op->call.key);
  int same_attempt
      = current != NULL && strcmp (current->nonce, op->call.nonce) == 0;

  *entry = current;
  if (op->kind == LEDGER_OP_LOOKUP)
    {
      if (current != NULL && !current->not_run)
        *verdict = current->completed ? LEDGER_COMPLETED : LEDGER_UNFINISHED;
      else
        *verdict = is_in_doubt (log) ? LEDGER_UNAVAILABLE : LEDGER_ABSENT;
      return 1;
    }
  if (op->kind == LEDGER_OP_OUTCOME)
    {
      if (!same_attempt && current != NULL && !op->not_run)
        *verdict = LEDGER_UNAVAILABLE;
      else if (current != NULL && (!same_attempt || current->completed))
        *verdict = LEDGER_STORED;
      else
        return 0;
      return 1;
    }
  if (current == NULL || (current->not_run && !same_attempt))
    {
      *verdict = LEDGER_UNFINISHED;
      return is_in_doubt (log);
    }
  if (current->not_run)
    {
      *verdict = LEDGER_UNAVAILABLE;
      return 1;
    }
  if (current->fingerprint != op->call.fingerprint)
    *verdict = LEDGER_MISMATCH;
  else if (current->completed)
    *verdict = LEDGER_COMPLETED;
  else
    *verdict = same_attempt && current->epoch == log->epoch
                   ? LEDGER_CLAIMED
                   : LEDGER_UNFINISHED;
  return 1;
}

/* Returns a new record of OP, a claim or an outcome, with the wall clock time
   TIME_MS.  */
json_t *
ledger_log_new_record (const struct ledger_op *op, int64_t time_ms)
{
  json_t *record = json_pack (
      "{s:s,s:s,s:I,s:I}", "k", op->call.key, "n", op->call.nonce, "f",
      (json_int_t)op->call.fingerprint, "t", (json_int_t)time_ms);

  if (op->kind == LEDGER_OP_CLAIM)
    return record;
  if (op->not_run)
    {
      json_object_set_new (record, "x", json_true ());
      return record;
    }
  json_object_set_new (record, "s", json_integer (op->status));
  json_object_set_new (record, "c",
                       json_string (op->content_type ? op->content_type : ""));
  json_object_set_new (record, "b", json_string (op->body ? op->body : ""));
  return record;
}

/* Stages again, and adds to RECORDS, what was recorded after SINCE_MS (wall
   clock) and the store has lost.  */
void
ledger_log_stage_lost (struct ledger_log *log, json_t *records,
                       int64_t since_ms)
{
  size_t before = json_array_size (records);
  GHashTableIter iter;
  gpointer value;

  if (!log->may_have_lost)
    return;
  g_hash_table_iter_init (&iter, log->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      json_t *record;

      if (!is_lost (value, since_ms))
        continue;
      record = entry_record (value);
      ledger_log_stage (log, record, log->epoch);
      json_array_append_new (records, record);
    }
  log->may_have_lost = json_array_size (records) > before;
}

/* Returns whether the store has lost a record of ENTRY, made after SINCE_MS.
 */
static int
is_lost (const struct ledger_entry *entry, int64_t since_ms)
{
  if (entry->time_ms < since_ms)
    return 0;
  return !entry->claim_kept
         || ((entry->completed || entry->not_run) && !entry->outcome_kept);
}

/* Returns the last record of ENTRY.  */
static json_t *
entry_record (const struct ledger_entry *entry)
{
  struct ledger_op op
      = { .kind = entry->completed || entry->not_run ? LEDGER_OP_OUTCOME
                                                     : LEDGER_OP_CLAIM,
          .not_run = entry->not_run,
          .status = entry->status,
          .content_type = entry->content_type,
          .body = entry->body };

  g_strlcpy (op.call.key, entry->key, sizeof op.call.key);
  g_strlcpy (op.call.nonce, entry->nonce, sizeof op.call.nonce);
  op.call.fingerprint = entry->fingerprint;
  return ledger_log_new_record (&op, entry->time_ms);
}

/* Applies RECORD, of a segment of EPOCH, to the staged entry of its key.  The
   outcome of a completed
   entry never changes, an outcome counts only for the attempt that holds the
   claim, and another attempt may take over the key of an aborted claim.
   Returns 0, or -1 if the record is malformed.  */
int
ledger_log_stage (struct ledger_log *log, json_t *record, uint64_t epoch)
{
  const char *key = json_string_value (json_object_get (record, "k"));
  const char *nonce = json_string_value (json_object_get (record, "n"));
  json_t *status = json_object_get (record, "s");
  struct ledger_entry *entry;
  int not_run = json_is_true (json_object_get (record, "x"));

  if (key == NULL || nonce == NULL || strlen (key) >= LEDGER_ID_BYTES)
    return -1;
  entry = stage_entry (log, key);
  if (entry->nonce[0] == '\0'
      || (entry->not_run && strcmp (entry->nonce, nonce) != 0))
    {
      copy_string (entry->nonce, sizeof entry->nonce,
                   json_object_get (record, "n"));
      entry->fingerprint
          = (uint64_t)json_integer_value (json_object_get (record, "f"));
      entry->not_run = 0;
      entry->epoch = 0;
      entry->outcome_kept = 0;
    }
  entry->time_ms = json_integer_value (json_object_get (record, "t"));
  if (strcmp (entry->nonce, nonce) != 0)
    return 0;
  entry->epoch = MAX (entry->epoch, epoch);
  entry->claim_kept = 1;
  entry->outcome_kept |= not_run || status != NULL;
  if (entry->completed)
    return 0;
  if (not_run)
    entry->not_run = 1;
  if (status == NULL || entry->not_run)
    return 0;
  entry->completed = 1;
  entry->status = (int)json_integer_value (status);
  entry->content_type
      = g_strdup (json_string_value (json_object_get (record, "c")));
  entry->body = g_strdup (json_string_value (json_object_get (record, "b")));
  return 0;
}

/* Replaces known entries by the staged ones, which are durable now.  */
void
ledger_log_commit_staged (struct ledger_log *log)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, log->staged);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct ledger_entry *entry = value;

      g_hash_table_iter_steal (&iter);
      g_hash_table_replace (log->entries, entry->key, entry);
    }
}

/* Frees the staged entries.  */
void
ledger_log_discard_staged (struct ledger_log *log)
{
  g_hash_table_remove_all (log->staged);
}

/* Returns the entry of KEY, preferring a staged one, or NULL.  */
static struct ledger_entry *
find_entry (const struct ledger_log *log, const char *key)
{
  struct ledger_entry *entry = g_hash_table_lookup (log->staged, key);

  return entry != NULL ? entry : g_hash_table_lookup (log->entries, key);
}

/* Returns the staged entry of KEY.  If there is none, stages a copy of the
   known entry or an empty one.  */
static struct ledger_entry *
stage_entry (struct ledger_log *log, const char *key)
{
  struct ledger_entry *staged = g_hash_table_lookup (log->staged, key);
  const struct ledger_entry *known;

  if (staged != NULL)
    return staged;
  staged = g_new0 (struct ledger_entry, 1);
  known = g_hash_table_lookup (log->entries, key);
  if (known != NULL)
    {
      *staged = *known;
      staged->content_type = g_strdup (known->content_type);
      staged->body = g_strdup (known->body);
    }
  else
    g_strlcpy (staged->key, key, sizeof staged->key);
  g_hash_table_insert (log->staged, staged->key, staged);
  return staged;
}

/* Appends RECORDS, an array whose entries are staged, in one write.  Commits
   the staged entries if the write succeeds and discards them if not.  Returns
   0, or -1 with ERROR set.  The error is ERR_CONFLICT if another writer
   appended; the operations must then be resolved again.  After any error the
   log must be loaded before the next append.  */
int
ledger_log_append (struct ledger_log *log, struct platform *platform,
                   json_t *records, GError **error)
{
  char name[PLATFORM_NAME_MAX_BYTES];
  GString *text = g_string_new (log->open_records->str);
  int64_t number = log->open;
  uint64_t revision = 0;
  char *object;
  int sealed;
  int result;

  append_records (text, records);
  sealed = text->len >= SEGMENT_SEAL_BYTES;
  object = format_segment (text, sealed);
  g_snprintf (name, sizeof name, "%s%010" G_GINT64_FORMAT, log->prefix,
              (gint64)number);
  metric_inc (METRIC_LEDGER_WRITES);
  result = platform_put_confirmed (platform, name, object, log->open_revision,
                                   &revision, error);
  g_free (object);
  if (result == 0 && platform->epoch != log->epoch)
    {
      err_set (error, ERR_CONFLICT, "%s: the store was restored", name);
      result = -1;
    }
  if (result != 0)
    {
      g_string_free (text, TRUE);
      ledger_log_discard_staged (log);
      log->loaded = 0;
      return -1;
    }
  ledger_log_commit_staged (log);
  if (log->first < 0)
    log->first = number;
  /* The condition held, so no other writer has appended since the last
     read.  */
  log->read_revision = MAX (log->read_revision, revision);
  log->open = sealed ? number + 1 : number;
  log->open_revision = sealed ? PLATFORM_ABSENT : revision;
  g_string_assign (log->open_records, sealed ? "" : text->str);
  g_string_free (text, TRUE);
  return 0;
}

/* If the oldest segment is sealed and all its records are older than
   BEFORE_MS, removes it and the entries of its keys.  The time of an entry is
   that of its last record, so an entry that a later segment has updated is
   kept.  */
void
ledger_log_expire (struct ledger_log *log, struct platform *platform,
                   int64_t before_ms)
{
  char name[PLATFORM_NAME_MAX_BYTES];
  uint64_t revision;
  json_t *segment;
  json_t *record;
  size_t i;
  int64_t newest_ms = 0;
  GError *error = NULL;
  char *text;

  if (!log->loaded || log->first < 0 || log->first >= log->open)
    return;
  g_snprintf (name, sizeof name, "%s%010" G_GINT64_FORMAT, log->prefix,
              (gint64)log->first);
  text = platform_get (platform, name, &revision, &error);
  if (text == NULL)
    {
      if (g_error_matches (error, ERR_DOMAIN, ERR_NOT_FOUND))
        skip_old_epoch (log);
      g_clear_error (&error);
      return;
    }
  segment = json_loads (text, 0, NULL);
  g_free (text);
  json_array_foreach (json_object_get (segment, "records"), i, record)
  {
    newest_ms
        = MAX (newest_ms, json_integer_value (json_object_get (record, "t")));
  }
  if (newest_ms < before_ms && platform_remove (platform, name, NULL) == 0)
    {
      json_array_foreach (json_object_get (segment, "records"), i, record)
      {
        const char *key = json_string_value (json_object_get (record, "k"));
        const struct ledger_entry *entry
            = key ? g_hash_table_lookup (log->entries, key) : NULL;

        if (entry != NULL && entry->time_ms < before_ms)
          g_hash_table_remove (log->entries, key);
      }
      log->first++;
    }
  json_decref (segment);
}

/* If the oldest segments of LOG were those of an older epoch and are all
   removed, goes on to those of the next one.  */
static void
skip_old_epoch (struct ledger_log *log)
{
  int64_t next = (log->first / SEGMENTS_PER_EPOCH + 1) * SEGMENTS_PER_EPOCH;

  if (next <= log->open)
    log->first = next;
}

/* Applies ITEM, one segment of a watch response.  Its value is absent if the
   segment was removed.  Returns 0, or -1 with ERROR set.  */
static int
apply_segment (struct ledger_log *log, json_t *item, GError **error)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  const char *value = json_string_value (json_object_get (item, "value"));
  int64_t number = name ? parse_segment_number (log, name) : -1;
  json_t *segment;
  json_t *records;
  json_t *record;
  size_t i;

  if (number >= 0 && value == NULL)
    {
      log->first = MAX (log->first, number + 1);
      return 0;
    }
  segment = value ? json_loads (value, 0, NULL) : NULL;
  records = json_object_get (segment, "records");
  if (number < 0 || !json_is_array (records))
    {
      json_decref (segment);
      err_set (error, ERR_INVALID, "ledger: malformed segment %s",
               name ? name : "");
      return -1;
    }
  json_array_foreach (records, i, record)
      ledger_log_stage (log, record, (uint64_t)(number / SEGMENTS_PER_EPOCH));
  ledger_log_commit_staged (log);
  if (log->first < 0 || number < log->first)
    log->first = number;
  if (number >= log->open)
    {
      int sealed = json_is_true (json_object_get (segment, "sealed"));

      log->open = sealed ? number + 1 : number;
      log->open_revision = sealed ? PLATFORM_ABSENT
                                  : (uint64_t)json_integer_value (
                                      json_object_get (item, "revision"));
      g_string_truncate (log->open_records, 0);
      if (!sealed)
        append_records (log->open_records, records);
    }
  json_decref (segment);
  return 0;
}

/* Returns the segment number in the object name NAME, or -1 if NAME is not
   that of a segment.  */
static int64_t
parse_segment_number (const struct ledger_log *log, const char *name)
{
  char *end;
  int64_t number;

  if (!g_str_has_prefix (name, log->prefix))
    return -1;
  name += strlen (log->prefix);
  number = g_ascii_strtoll (name, &end, 10);
  return end == name || *end != '\0' ? -1 : number;
}

/* Copies VALUE to BUFFER of SIZE bytes, or "" if VALUE is not a string.  */
static void
copy_string (char *buffer, size_t size, json_t *value)
{
  const char *text = json_string_value (value);

  g_strlcpy (buffer, text ? text : "", size);
}

/* Returns a segment with RECORDS, comma-separated JSON, as newly allocated
   text.  */
static char *
format_segment (const GString *records, int sealed)
{
  return g_strdup_printf ("{\"sealed\":%s,\"records\":[%s]}",
                          sealed ? "true" : "false", records->str);
}

/* Appends RECORDS to TEXT as comma-separated JSON.  */
static void
append_records (GString *text, json_t *records)
{
  json_t *record;
  size_t i;

  json_array_foreach (records, i, record)
  {
    char *record_json = json_dumps (record, JSON_COMPACT);

    if (text->len > 0)
      g_string_append_c (text, ',');
    g_string_append (text, record_json);
    free (record_json);
  }
}

/* Frees DATA, a struct ledger_entry.  */
static void
free_entry (gpointer data)
{
  struct ledger_entry *entry = data;

  g_free (entry->content_type);
  g_free (entry->body);
  g_free (entry);
}
