/* Records of calls that may not be repeated. */
#ifndef IBISLOOM_LEDGER_H
#define IBISLOOM_LEDGER_H

#include <stdint.h>
#include <glib.h>

#include "ibisloom/peer.h"
#include "ibisloom/settings.h"

enum
{
  LEDGER_ID_BYTES = 33, /* 32 hexadecimal digits and the terminator */
  LEDGER_BODY_MAX_BYTES = 262144
};

enum ledger_verdict
{
  LEDGER_CLAIMED,   /* the caller of ledger_claim, and nobody else, may send */
  LEDGER_COMPLETED, /* it ran before; the answer is in the reply */
  LEDGER_UNFINISHED,    /* another attempt may be running or may have run */
  LEDGER_MISMATCH,      /* the key stands for another request */
  LEDGER_UNAVAILABLE,   /* no record was made */
  LEDGER_INDETERMINATE, /* no record is known to be made, but one may appear */
  LEDGER_STORED,        /* the outcome is durable */
  LEDGER_ABSENT,        /* a look-up found no record */
  LEDGER_VERDICT_COUNT
};

struct ledger_reply
{
  enum ledger_verdict verdict;
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

typedef void (*ledger_reply_fn) (void *closure, uint64_t tag,
                                 const struct ledger_reply *reply);

struct ledger_call
{
  char key[LEDGER_ID_BYTES];
  char nonce[LEDGER_ID_BYTES];
  uint64_t fingerprint;
};

struct ledger_outcome
{
  int not_run; /* nothing was sent: the key may be claimed again */
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

struct led;

struct led *ledger_new (const struct settings *settings, struct peer *peer);
void ledger_start (struct led *led);
void ledger_stop (struct led *led);
void ledger_free (struct led *led);
void ledger_derive_key (char key[LEDGER_ID_BYTES], const char *customer,
                        const char *service, const char *idempotency_key);
void ledger_generate_nonce (char nonce[LEDGER_ID_BYTES]);
void ledger_claim (struct led *led, const struct ledger_call *call,
                   ledger_reply_fn fn, void *closure, uint64_t tag);
void ledger_store_outcome (struct led *led, const struct ledger_call *call,
                           const struct ledger_outcome *outcome,
                           ledger_reply_fn fn, void *closure, uint64_t tag);
void ledger_lookup (struct led *led, const struct ledger_call *call,
                    ledger_reply_fn fn, void *closure);
size_t ledger_backlog (struct led *led);

/* The writer's side of calls that come from another instance. */
typedef void (*ledger_batch_fn) (void *closure, char *json);
void ledger_serve_batch (struct led *led, const char *json, ledger_batch_fn fn,
                         void *closure);

#endif
