/* Admission control for the targets that this instance owns. */
#ifndef IBISLOOM_ADMISSION_H
#define IBISLOOM_ADMISSION_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

/* Verdict on a request for admission to a target. */
enum adm_verdict
{
  ADM_GRANT,
  ADM_REDIRECT,      /* a note names another target */
  ADM_DENY_BOUND,    /* at the load bound */
  ADM_DENY_CAPACITY, /* no free slot */
  ADM_DENY_SHARE,    /* share used up, and only the reserve is free */
  ADM_DENY_DOWN,     /* circuit breaker open */
  ADM_DENY_LEAVING,  /* the target is leaving */
  ADM_QUEUED,        /* queued; adm_dequeue returns the final verdict */
  ADM_VERDICT_COUNT
};

/* Outcome of an admitted request, for the circuit breaker. */
enum adm_outcome
{
  ADM_OUTCOME_OK,
  ADM_OUTCOME_FAILED,
  ADM_OUTCOME_UNKNOWN
};

enum
{
  /* Do not redirect the request to the target that a note names. */
  ADM_NO_REDIRECT = 1
};

/* Request for admission to a target. */
struct adm_request
{
  uint64_t target;
  uint64_t chat;
  uint64_t customer;
  uint32_t instance; /* that asks */
  uint32_t grant;    /* identifier chosen by that instance */
  uint32_t flags;    /* ADM_NO_REDIRECT or 0 */
  uint32_t wait_ms;  /* longest time in the queue, 0: do not queue */
  uint32_t priority; /* higher goes first */
};

/* Limits of a target, from the configuration in force and the membership. */
struct adm_limits
{
  double mean_load; /* low estimate: the bound must hold as loads fall */
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
  uint64_t redirect; /* target to ask instead, with ADM_REDIRECT */
  int32_t load;      /* grants in use, the new one included */
  int32_t limit;     /* the lower of load bound and slots */
};

/* Placement note: the chat was last sent to a target other than its home. */
struct adm_note
{
  uint64_t home;
  uint64_t chat;
  uint64_t target;
  clk_ms expires_ms;
};

/* Grants, queues, breakers and notes of the targets owned here. */
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
size_t adm_note_extract (struct adm_state *adm_state, uint64_t home,
                         struct adm_note *notes, size_t capacity);
size_t adm_note_list (struct adm_state *adm_state, struct adm_note *notes,
                      size_t capacity);
int32_t adm_load (struct adm_state *adm_state, uint64_t target);
int adm_is_down (struct adm_state *adm_state, uint64_t target);
int32_t adm_load_bound (double mean_load, double load_factor);

#endif
