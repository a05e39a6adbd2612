/* Admission to the targets that this instance owns. */
#ifndef IBISLOOM_ADMISSION_H
#define IBISLOOM_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

enum adm_verdict
{
  ADM_GRANT,
  ADM_REDIRECT,
  ADM_DENY_BOUND,
  ADM_DENY_CAPACITY,
  ADM_DENY_SHARE,
  ADM_DENY_DOWN,
  ADM_DENY_LEAVING,
  ADM_QUEUED, /* queued: adm_dequeue brings the verdict */
  ADM_VERDICT_COUNT
};

enum adm_outcome
{
  ADM_OUTCOME_OK,
  ADM_OUTCOME_FAILED,
  ADM_OUTCOME_UNKNOWN
};

enum
{
  /* The asker wants this target itself, not where the chat was last. */
  ADM_NO_REDIRECT = 1
};

struct adm_request
{
  uint64_t target;
  uint64_t chat;
  uint64_t customer;
  uint32_t instance;
  uint32_t grant;
  uint32_t flags;
  uint32_t wait_ms;
  uint32_t priority;
};

/* What the version in force and the members say about the target. */
struct adm_limits
{
  double mean_load; /* low enough to last as long as a request */
  double mean_load_now;
  double load_factor;
  double reserve_share;
  double customer_weight;
  int32_t slots;
  int leaving;
};

struct adm_reply
{
  enum adm_verdict verdict;
  uint64_t elsewhere;
  int32_t load;
  int32_t limit;
};

struct adm_note
{
  uint64_t home;
  uint64_t chat;
  uint64_t target;
  clk_ms expires_ms;
};

struct adm_state;

struct adm_state *adm_new (void);
void adm_free (struct adm_state *adm_state);
void adm_decide (struct adm_state *adm_state,
                 const struct adm_request *request,
                 const struct adm_limits *limits, clk_ms now,
                 struct adm_reply *reply);
int adm_dequeue (struct adm_state *adm_state, uint64_t target,
                 const struct adm_limits *limits, clk_ms now,
                 struct adm_request *request, struct adm_reply *reply);
void adm_release (struct adm_state *adm_state, uint64_t target,
                  uint32_t instance, uint32_t grant, enum adm_outcome outcome,
                  clk_ms now);
int adm_reconcile (struct adm_state *adm_state, uint64_t target,
                   uint32_t instance, const uint32_t *grants, size_t count,
                   clk_ms now);
void adm_drop_instance (struct adm_state *adm_state, uint32_t instance);
void adm_drop_target (struct adm_state *adm_state, uint64_t target);
void adm_note_put (struct adm_state *adm_state, const struct adm_note *note);
size_t adm_note_take (struct adm_state *adm_state, uint64_t home,
                      struct adm_note *notes, size_t capacity);
size_t adm_note_list (struct adm_state *adm_state, struct adm_note *notes,
                      size_t capacity);
int32_t adm_load (struct adm_state *adm_state, uint64_t target);
int adm_is_down (struct adm_state *adm_state, uint64_t target);
int32_t adm_load_bound (double mean_load, double load_factor);

#endif
