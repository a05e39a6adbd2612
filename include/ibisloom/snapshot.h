/* What the store said last, kept as text to be told to other instances. */
#ifndef IBISLOOM_SNAPSHOT_H
#define IBISLOOM_SNAPSHOT_H

#include <glib.h>

#include "ibisloom/follow.h"

struct snp;

struct snp *snp_new (void);
void snp_free (struct snp *snp);
void snp_config (struct snp *snp, const struct fol_object *object);
void snp_target (struct snp *snp, const struct fol_object *object);
void snp_targets_clear (struct snp *snp);
char *snp_text (const struct snp *snp, uint64_t revision);
int snp_read (const char *text, size_t length, uint64_t *revision,
              const struct fol_sink *config, const struct fol_sink *targets);

#endif
