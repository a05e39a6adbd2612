/* What the store said last, kept as text to be told to other instances. */
#ifndef IBISLOOM_SNAPSHOT_H
#define IBISLOOM_SNAPSHOT_H

#include <glib.h>

#include "ibisloom/follow.h"

struct snp;

/* Up to where something is known: revisions of the store. */
struct snp_point
{
  uint64_t config;  /* of the configuration's object */
  uint64_t targets; /* up to which all entries are known */
};

struct snp *snp_new (void);
void snp_free (struct snp *snp);
void snp_config (struct snp *snp, const struct fol_object *object);
int snp_target (struct snp *snp, const struct fol_object *object);
void snp_list_begin (struct snp *snp);
void snp_list_end (struct snp *snp, uint64_t revision);
char *snp_text (const struct snp *snp, const struct snp_point *since,
                const struct snp_point *now);
const char *snp_pack (struct snp *snp, const struct snp_point *since,
                      const struct snp_point *now, size_t *length);
char *snp_unpack (const char *data, size_t length, size_t *text_length);
int snp_read (const char *text, size_t length, struct snp_point *now,
              const struct fol_sink *config, const struct fol_sink *targets);

#endif
