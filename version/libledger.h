/* Private to version/ledger*.c. */
#ifndef LIBLEDGER_H
#define LIBLEDGER_H

#include <pthread.h>
#include <jansson.h>

#include "ibisloom/clock.h"
#include "ibisloom/ledger.h"
#include "ibisloom/fetch.h"
#include "ibisloom/members.h"
#include "ibisloom/peer.h"
#include "ibisloom/platform.h"

enum ledger_op_kind
{
  LEDGER_OP_CLAIM,
  LEDGER_OP_OUTCOME,
  LEDGER_OP_LOOKUP
};

enum
{
  LEDGER_PREFIX_MAX_BYTES = 128,
  SENDER_COUNT = 10,
  OUTCOME_CALL_TIMEOUT_MS = 400, /* of a call to another instance */
  RETRY_DELAY_MIN_MS = 20,
  SKIPPED_WRITERS_MAX = 4
};

/* A batch that another instance sent, until all of it is answered. */
struct ledger_batch
{
  json_t *results;
  size_t open;
  pthread_mutex_t lock;
  ledger_batch_fn fn;
  void *closure;
};

/* One operation on its way to the ledger and back. */
struct ledger_op
{
  enum ledger_op_kind kind;
  struct ledger_call call;
  int not_run;
  int status;
  char *content_type;
  char *body; /* base64 */
  clk_ms deadline_ms;
  clk_ms retry_at_ms;
  int retries;
  enum ledger_verdict verdict; /* to be given once the batch is durable */
  int indeterminate; /* a record may exist although no answer says so */
  ledger_reply_fn fn;
  void *closure;
  uint64_t tag;
  struct ledger_batch *batch; /* of another instance, or NULL */
  size_t batch_index;
};

/* The state of one key. */
struct ledger_entry
{
  char key[LEDGER_ID_BYTES];
  char nonce[LEDGER_ID_BYTES];
  uint64_t fingerprint;
  int64_t time_ms;
  int completed;
  int not_run;
  int status;
  char *content_type;
  char *body; /* base64 */
};

/* What one partition's log holds, as far as it was read, and its open
   segment. */
struct ledger_log
{
  char prefix[LEDGER_PREFIX_MAX_BYTES];
  GHashTable *entries; /* key to struct ledger_entry */
  GHashTable *staged;  /* the same, of records that are not durable yet */
  int loaded;
  uint64_t read_revision;
  int64_t first;
  int64_t open;
  uint64_t open_revision;
  GString *open_records;
  int64_t open_newest_ms;
};

void ledger_log_init (struct ledger_log *log, const char *deployment);
void ledger_log_clear (struct ledger_log *log);
int ledger_log_load (struct ledger_log *log, struct plat *plat,
                     GError **error);
int ledger_log_apply (struct ledger_log *log, const char *json,
                      GError **error);
int ledger_log_resolve (const struct ledger_log *log,
                        const struct ledger_op *op,
                        const struct ledger_entry **entry,
                        enum ledger_verdict *verdict);
json_t *ledger_log_new_record (const struct ledger_op *op, int64_t time_ms);
int ledger_log_stage (struct ledger_log *log, json_t *record);
void ledger_log_commit_staged (struct ledger_log *log);
void ledger_log_discard_staged (struct ledger_log *log);
int ledger_log_append (struct ledger_log *log, struct plat *plat,
                       json_t *records, GError **error);
void ledger_log_expire (struct ledger_log *log, struct plat *plat,
                        int64_t before_ms);

void ledger_op_free (struct ledger_op *op);
void ledger_op_reply (struct ledger_op *op, enum ledger_verdict verdict,
                      const struct ledger_entry *entry);
json_t *ledger_op_to_json (const struct ledger_op *op);
struct ledger_op *ledger_op_from_json (json_t *json);

struct ledger_writer;
struct ledger_writer *ledger_writer_new (const struct settings *settings);
void ledger_writer_start (struct ledger_writer *writer);
void ledger_writer_stop (struct ledger_writer *writer);
void ledger_writer_free (struct ledger_writer *writer);
void ledger_writer_enqueue (struct ledger_writer *writer,
                            struct ledger_op *op);

/* One thread that sends operations. */
struct sender
{
  pthread_t thread;
  struct led *led;
  struct fetch *fetch;
};

/* An instance that is passed over as the writer. */
struct skipped_writer
{
  uint32_t id;
  clk_ms until_ms;
};

struct led
{
  struct skipped_writer skipped_writer[SKIPPED_WRITERS_MAX];
  size_t next_skipped;
  const struct settings *settings;
  struct peer *peer;
  struct ledger_writer *writer;
  pthread_mutex_t lock;
  pthread_cond_t ready;
  GQueue queue;   /* of struct ledger_op, to be sent now */
  GQueue delayed; /* of struct ledger_op, to be sent at retry_at_ms */
  int stopping;
  uint64_t backlog;
  struct sender senders[SENDER_COUNT];
};

/* ledger.c */
void ledger_retry_op (struct led *led, struct ledger_op *op,
                      enum ledger_verdict verdict);
void ledger_finish_op (struct led *led, struct ledger_op *op,
                       const struct ledger_reply *reply);

/* ledger_send.c */
void *ledger_run_sender (void *closure);
struct ledger_op *ledger_copy_op (struct led *led, struct ledger_op *op);
void ledger_delay_op (struct led *led, struct ledger_op *op);

#endif
