/* Idempotency ledger: durable records of calls that must not run twice.

   An attempt claims its idempotency key before the call is sent and stores the
   outcome once the target has responded.  A repeated call, at any instance,
   then gets the recorded response instead of being sent again. */
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
  LEDGER_CLAIMED,     /* this attempt, and no other, may send the call */
  LEDGER_COMPLETED,   /* the call ran; the reply holds the stored response */
  LEDGER_UNFINISHED,  /* claimed by another attempt that has no outcome yet */
  LEDGER_MISMATCH,    /* the key was claimed for a different request */
  LEDGER_UNAVAILABLE, /* the operation is not known to be recorded */
  LEDGER_INDETERMINATE, /* a write got no response and may yet take effect */
  LEDGER_STORED,        /* the outcome is durable */
  LEDGER_ABSENT,        /* no record of the key, or only an aborted claim */
  LEDGER_VERDICT_COUNT
};

/* Reply to an operation.  With LEDGER_COMPLETED, the other fields hold the
   stored response. */
struct ledger_reply
{
  enum ledger_verdict verdict;
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

/* Receives the reply to an operation, with the TAG that the operation was
   given.  REPLY is valid only during the call. */
typedef void (*ledger_reply_fn) (void *closure, uint64_t tag,
                                 const struct ledger_reply *reply);

/* One attempt at a call. */
struct ledger_call
{
  char key[LEDGER_ID_BYTES];   /* from ledger_derive_key */
  char nonce[LEDGER_ID_BYTES]; /* identifies the attempt */
  uint64_t fingerprint;        /* hash of the request */
};

/* Outcome of a claimed call: a response, or that nothing was sent. */
struct ledger_outcome
{
  int not_run; /* nothing was sent: aborts the claim and frees the key */
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

/* An instance's access to the ledger: operation queues, threads that send
   operations to the current writer, and a writer of its own. */
struct ledger;

struct ledger *ledger_new (const struct settings *settings, struct peer *peer);
void ledger_start (struct ledger *ledger);
void ledger_stop (struct ledger *ledger);
void ledger_free (struct ledger *ledger);
void ledger_derive_key (char key[LEDGER_ID_BYTES], const char *customer,
                        const char *service, const char *idempotency_key);
void ledger_generate_nonce (char nonce[LEDGER_ID_BYTES]);
void ledger_claim (struct ledger *ledger, const struct ledger_call *call,
                   ledger_reply_fn fn, void *closure, uint64_t tag);
void ledger_store_outcome (struct ledger *ledger,
                           const struct ledger_call *call,
                           const struct ledger_outcome *outcome,
                           ledger_reply_fn fn, void *closure, uint64_t tag);
void ledger_lookup (struct ledger *ledger, const struct ledger_call *call,
                    ledger_reply_fn fn, void *closure);
size_t ledger_backlog (struct ledger *ledger);

/* Receives the reply to a batch of another instance's operations as newly
   allocated JSON, or NULL if the batch was malformed. */
typedef void (*ledger_batch_fn) (void *closure, char *json);
void ledger_serve_batch (struct ledger *ledger, const char *json,
                         ledger_batch_fn fn, void *closure);

#endif
