/* Private to request/balance*.c: bounds of the choice of a target, and why a
   target is closed to a request. */
#ifndef LIBBALANCE_H
#define LIBBALANCE_H

#include "ibisloom/balance.h"

/* Cost of an error rate of 1 above the lowest one, in requests.  A holder or
   home whose errors cost more than one request is skipped.  */
static const double BAL_ERROR_PENALTY = 3.0;

/* balance_skip.c */
double bal_load_limit (const struct bal_params *params, double mean);
double bal_mean_load (const struct bal_params *params,
                      const struct bal_candidate *candidates, size_t count);
double bal_lowest_error_rate (const struct bal_candidate *candidates,
                              size_t count);
double bal_highest_fill (const struct bal_candidate *candidates, size_t count);
double bal_soonest_ms (const struct bal_params *params,
                       const struct bal_candidate *candidates, size_t count,
                       double limit, double read_share);
int bal_is_usable (const struct bal_params *params,
                   const struct bal_candidate *candidate);
enum bal_skip bal_closed_skip (const struct bal_params *params,
                               const struct bal_candidate *candidate);
enum bal_skip bal_context_skip (const struct bal_params *params,
                                const struct bal_candidate *candidate,
                                const struct bal_choice *choice,
                                double best_error_rate);
enum bal_skip bal_load_skip (const struct bal_params *params,
                             const struct bal_candidate *candidate,
                             double limit, double filled_max);

#endif
