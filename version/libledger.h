/* Internal interfaces of the ledger, shared by version/ledger*.c. */
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

/* Kinds of operations.  Their JSON form can only hold the first two. */
enum ledger_op_kind
{
  LEDGER_OP_CLAIM,   /* reserve a key for one attempt */
  LEDGER_OP_OUTCOME, /* store the response, or abort the claim */
  LEDGER_OP_LOOKUP
};

enum
{
  LEDGER_PREFIX_MAX_BYTES = 128,
  SENDER_COUNT = 10,
  OUTCOME_CALL_TIMEOUT_MS = 400, /* remote batch that holds an outcome */
  RETRY_DELAY_MIN_MS = 20,
  SKIPPED_WRITERS_MAX = 4
};

/* A batch of operations received from another instance.  When every operation
   has a result, the callback receives the results and the batch is freed. */
struct ledger_batch
{
  json_t *results; /* in the order of the operations */
  size_t open;     /* operations without a result */
  pthread_mutex_t lock;
  ledger_batch_fn fn;
  void *closure;
};

/* A queued operation and the callback that receives its reply. */
struct ledger_op
{
  enum ledger_op_kind kind;
  struct ledger_call call;
  int not_run;
  int status;
  char *content_type;
  char *body;         /* base64 */
  clk_ms deadline_ms; /* not tried again after this time */
  clk_ms retry_at_ms; /* valid in the queue of delayed operations */
  int retries;
  enum ledger_verdict verdict; /* reply once the batch is durable */
  int indeterminate;           /* an earlier try may have written the claim */
  ledger_reply_fn fn;
  void *closure;
  uint64_t tag;
  struct ledger_batch *batch; /* if sent by another instance, else NULL */
  size_t batch_index;
};

/* State of one key, according to the records read so far. */
struct ledger_entry
{
  char key[LEDGER_ID_BYTES];
  char nonce[LEDGER_ID_BYTES];
  uint64_t fingerprint;
  int64_t time_ms; /* wall clock time of the last record */
  uint64_t epoch;  /* newest of the segments that have its claim */
  int completed;   /* has an outcome, which is final */
  int not_run;     /* the claim was aborted */
  int status;
  char *content_type;
  char *body;           /* base64 */
  uint8_t claim_kept;   /* the store has it, as read in its epoch */
  uint8_t outcome_kept; /* likewise */
};

/* In-memory view of the log, as far as it was read, and the contents of the
   open segment. */
struct ledger_log
{
  char prefix[LEDGER_PREFIX_MAX_BYTES];
  GHashTable *entries;    /* key to struct ledger_entry */
  GHashTable *staged;     /* likewise, with records not durable yet */
  int loaded;             /* 0: read the log before appending */
  uint64_t epoch;         /* of the store, when it was read; 0: not told */
  clk_ms doubt_until_ms;  /* records of other writers may be lost until then */
  uint8_t may_have_lost;  /* the store, of what is known */
  uint64_t read_revision; /* store revision up to which it was read */
  int64_t first;          /* number of the oldest segment, or -1 */
  int64_t open;           /* number of the open segment, or -1 */
  uint64_t open_revision; /* PLATFORM_ABSENT: not created yet */
  GString *open_records;  /* comma-separated JSON records */
  int64_t open_newest_ms;
};

void ledger_log_init (struct ledger_log *log, const char *deployment);
void ledger_log_clear (struct ledger_log *log);
int ledger_log_load (struct ledger_log *log, struct platform *platform,
                     GError **error);
int ledger_log_apply (struct ledger_log *log, const char *json,
                      GError **error);
int ledger_log_resolve (const struct ledger_log *log,
                        const struct ledger_op *op,
                        const struct ledger_entry **entry,
                        enum ledger_verdict *verdict);
json_t *ledger_log_new_record (const struct ledger_op *op, int64_t time_ms);
int ledger_log_stage (struct ledger_log *log, json_t *record, uint64_t epoch);
void ledger_log_stage_lost (struct ledger_log *log, json_t *records,
                            int64_t since_ms);
void ledger_log_commit_staged (struct ledger_log *log);
void ledger_log_discard_staged (struct ledger_log *log);
int ledger_log_append (struct ledger_log *log, struct platform *platform,
                       json_t *records, GError **error);
void ledger_log_expire (struct ledger_log *log, struct platform *platform,
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

/* A thread that sends batches of operations to the writer. */
struct sender
{
  pthread_t thread;
  struct ledger *ledger;
  struct fetch *fetch;
};

/* Instance that is not used as the writer until UNTIL_MS. */
struct skipped_writer
{
  uint32_t id;
  clk_ms until_ms;
};

struct ledger
{
  struct skipped_writer skipped_writer[SKIPPED_WRITERS_MAX];
  size_t next_skipped; /* slot to overwrite next */
  const struct settings *settings;
  struct peer *peer;
  struct ledger_writer *writer;
  pthread_mutex_t lock;
  pthread_cond_t ready;
  GQueue queue;   /* of struct ledger_op, ready to be sent */
  GQueue delayed; /* of struct ledger_op, not before retry_at_ms */
  int stopping;
  uint64_t backlog; /* operations without a reply */
  struct sender senders[SENDER_COUNT];
};

/* ledger.c */
void ledger_retry_op (struct ledger *ledger, struct ledger_op *op,
                      enum ledger_verdict verdict);
void ledger_finish_op (struct ledger *ledger, struct ledger_op *op,
                       const struct ledger_reply *reply);

/* ledger_send.c */
void *ledger_run_sender (void *closure);
struct ledger_op *ledger_copy_op (struct ledger *ledger, struct ledger_op *op);
void ledger_delay_op (struct ledger *ledger, struct ledger_op *op);

#endif
