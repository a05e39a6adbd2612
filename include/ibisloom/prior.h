/* Prior versions: of each service whose targets have several software
   versions now, the one that was the only one before.  It began the streams
   whose origin nobody knows, unless their instances have all ended since.  */
#ifndef IBISLOOM_PRIOR_H
#define IBISLOOM_PRIOR_H

#include "ibisloom/origin.h"

struct priors;

struct priors *prior_new (void);
void prior_free (struct priors *priors);
void prior_note (struct priors *priors, const struct origin_version *version,
                 uint32_t ends, clk_ms now);
uint64_t prior_find (const struct priors *priors, uint64_t service,
                     uint32_t ends, uint32_t live);
uint32_t prior_count (const struct priors *priors);
void prior_open (struct priors *priors, const struct origin_version *version);
int prior_allows (const struct priors *priors,
                  const struct origin_version *version);
int prior_next (const struct priors *priors, struct origin_cursor *cursor,
                struct origin_version *version);
void prior_clear_stored (struct priors *priors);
void prior_set_stored (struct priors *priors,
                       const struct origin_version *version);
void prior_expire (struct priors *priors, clk_ms now);

#endif
