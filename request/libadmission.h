/* Private to request/admission*.c: the state of owned targets, in shards. */
#ifndef LIBADMISSION_H
#define LIBADMISSION_H

#include <pthread.h>

#include <glib.h>

#include "ibisloom/admission.h"

enum
{
  ADM_SHARD_COUNT = 16,
  ADM_BREAKER_THRESHOLD = 2 /* consecutive failures */
};

/* Admitted request that has not ended. */
struct grant
{
  uint64_t customer;
  clk_ms since_ms;
  uint32_t instance;
  uint32_t id;
};

/* Customer that requested admission recently. */
struct recent_customer
{
  uint64_t customer;
  double weight;
  clk_ms last_ms;
};

/* Circuit breaker of one target. */
struct breaker
{
  int32_t failures; /* consecutive */
  int64_t open_ms;  /* back-off before the next probe */
  clk_ms retry_at_ms;
};

/* A queued admission request. */
struct waiter
{
  struct adm_request request;
  double weight;
  clk_ms deadline_ms;
  enum adm_verdict denial; /* verdict when it was queued */
};

/* State of one owned target. */
struct target_state
{
  GArray *grants;           /* of struct grant */
  GArray *waiters;          /* of struct waiter, by priority and arrival */
  GArray *recent_customers; /* of struct recent_customer */
  struct breaker breaker;
};

/* Targets, and the notes of chats with these homes, that share one lock. */
struct shard
{
  pthread_mutex_t lock;
  GHashTable *targets; /* id to struct target_state */
  GHashTable *notes;   /* chat to struct adm_note */
};

struct adm_state
{
  struct shard shards[ADM_SHARD_COUNT];
};

/* admission.c */
struct shard *adm_shard_of (struct adm_state *admission, uint64_t target);

/* admission_check.c */
enum adm_verdict adm_check (struct target_state *target_state,
                            const struct adm_request *request,
                            const struct adm_limits *limits, clk_ms now,
                            struct adm_reply *reply);
int adm_may_queue (const struct target_state *target_state,
                   const struct adm_request *request,
                   enum adm_verdict verdict);
void adm_breaker_record (struct breaker *breaker, enum adm_outcome outcome,
                         clk_ms now);
int adm_contains (const uint32_t *ids, size_t count, uint32_t id);

/* admission_note.c */
void adm_note_drop (struct shard *shard, const struct adm_request *request);
const struct adm_note *adm_note_find (struct shard *shard,
                                      const struct adm_request *request,
                                      clk_ms now);

#endif
