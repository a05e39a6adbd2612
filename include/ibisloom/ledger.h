/* Records of calls that may not be repeated. */
#ifndef IBISLOOM_LEDGER_H
#define IBISLOOM_LEDGER_H

#include <stdint.h>
#include <glib.h>

#include "ibisloom/peer.h"
#include "ibisloom/settings.h"

enum
{
  LED_ID_BYTES = 33, /* 32 hexadecimal digits and the terminator */
  LED_ANSWER_MAX_BYTES = 262144
};

enum led_verdict
{
  LED_CLAIMED,    /* the caller of led_claim, and nobody else, may send */
  LED_ANSWERED,   /* it ran before; the answer is in the reply */
  LED_UNFINISHED, /* another attempt may be running or may have run */
  LED_MISMATCH,   /* the key stands for another request */
  LED_DOWN,       /* no record was made */
  LED_UNSURE,     /* no record is known to be made, but one may appear */
  LED_STORED,     /* the outcome is durable */
  LED_ABSENT,     /* a look-up found no record */
  LED_VERDICT_COUNT
};

struct led_reply
{
  enum led_verdict verdict;
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

typedef void (*led_reply_fn) (void *closure, uint64_t tag,
                              const struct led_reply *reply);

struct led_call
{
  char key[LED_ID_BYTES];
  char nonce[LED_ID_BYTES];
  uint64_t fingerprint;
};

struct led_outcome
{
  int not_run; /* nothing was sent: the key may be claimed again */
  int status;
  const char *content_type;
  const char *body;
  size_t body_length;
};

struct led;

struct led *led_new (const struct settings *settings, struct peer *peer);
void led_start (struct led *led);
void led_stop (struct led *led);
void led_free (struct led *led);
void led_key (char key[LED_ID_BYTES], const char *customer,
              const char *service, const char *idempotency_key);
void led_nonce (char nonce[LED_ID_BYTES]);
void led_claim (struct led *led, const struct led_call *call, led_reply_fn fn,
                void *closure, uint64_t tag);
void led_finish (struct led *led, const struct led_call *call,
                 const struct led_outcome *outcome, led_reply_fn fn,
                 void *closure, uint64_t tag);
void led_lookup (struct led *led, const struct led_call *call, led_reply_fn fn,
                 void *closure);
size_t led_backlog (struct led *led);

/* The writer's side of calls that come from another instance. */
typedef void (*led_batch_fn) (void *closure, char *json);
void led_serve (struct led *led, const char *json, led_batch_fn fn,
                void *closure);

#endif
