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

enum led_kind
{
  LED_OP_CLAIM,
  LED_OP_FINISH,
  LED_OP_LOOKUP
};

enum
{
  LEDGER_NAME_MAX_BYTES = 128,
  SENDER_COUNT = 10,
  FINISH_TIMEOUT_MS = 400, /* of a call to another instance */
  RETRY_MIN_MS = 20,
  AVOIDED_MAX = 4
};

/* A batch that another instance sent, until all of it is answered. */
struct led_batch
{
  json_t *results;
  size_t open;
  pthread_mutex_t lock;
  led_batch_fn fn;
  void *closure;
};

/* One operation on its way to the ledger and back. */
struct led_op
{
  enum led_kind kind;
  struct led_call call;
  int not_run;
  int status;
  char *content_type;
  char *body; /* base64 */
  clk_ms deadline_ms;
  clk_ms queued_ms;
  int tries;
  enum led_verdict verdict; /* to be given once the batch is durable */
  int unsure;               /* a record may exist although no answer says so */
  led_reply_fn fn;
  void *closure;
  uint64_t tag;
  struct led_batch *batch; /* of another instance, or NULL */
  size_t batch_index;
};

/* The state of one key. */
struct led_entry
{
  char key[LED_ID_BYTES];
  char nonce[LED_ID_BYTES];
  uint64_t fingerprint;
  int64_t time_ms;
  int finished;
  int not_run;
  int status;
  char *content_type;
  char *body; /* base64 */
};

/* What one partition's log holds, as far as it was read, and its open
   segment. */
struct led_log
{
  char prefix[LEDGER_NAME_MAX_BYTES];
  GHashTable *entries; /* key to struct led_entry */
  GHashTable *staged;  /* the same, of records that are not durable yet */
  int loaded;
  uint64_t read_revision;
  int64_t first;
  int64_t open;
  uint64_t open_revision;
  GString *open_records;
  int64_t open_newest_ms;
};

void log_init (struct led_log *log, const char *deployment);
void log_clear (struct led_log *log);
int log_load (struct led_log *log, struct plat *plat, GError **error);
int log_take (struct led_log *log, const char *json, GError **error);
int log_judge (const struct led_log *log, const struct led_op *op,
               const struct led_entry **entry, enum led_verdict *verdict);
json_t *log_record (const struct led_op *op, int64_t time_ms);
int log_stage (struct led_log *log, json_t *record);
void log_keep_staged (struct led_log *log);
void log_drop_staged (struct led_log *log);
int log_append (struct led_log *log, struct plat *plat, json_t *records,
                GError **error);
void log_expire (struct led_log *log, struct plat *plat, int64_t before_ms);

void op_free (struct led_op *op);
void op_reply (struct led_op *op, enum led_verdict verdict,
               const struct led_entry *entry);
json_t *op_to_json (const struct led_op *op);
struct led_op *op_from_json (json_t *json);

struct led_writer;
struct led_writer *writer_new (const struct settings *settings);
void writer_start (struct led_writer *writer);
void writer_stop (struct led_writer *writer);
void writer_free (struct led_writer *writer);
void writer_push (struct led_writer *writer, struct led_op *op);

/* One thread that sends operations. */
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

/* ledger.c */
void led_give_back (struct led *led, struct led_op *op,
                    enum led_verdict verdict);
void led_conclude (struct led *led, struct led_op *op,
                   const struct led_reply *reply);

/* ledger_send.c */
void *led_run_sender (void *closure);
struct led_op *led_local_copy (struct led *led, struct led_op *op);
void led_delay (struct led *led, struct led_op *op);

#endif
