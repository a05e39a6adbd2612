/* The other instances: what each of them has under way, and what it knows. */
#ifndef IBISLOOM_FLEET_H
#define IBISLOOM_FLEET_H

#include <ev.h>
#include <netinet/in.h>

#include "ibisloom/context.h"
#include "ibisloom/follow.h"
#include "ibisloom/registry.h"
#include "ibisloom/settings.h"
#include "ibisloom/wire.h"

struct flt;

/* Another instance at ADDRESS knows the store up to REVISION. */
typedef void (*flt_revision_fn) (void *closure,
                                 const struct sockaddr_in *address,
                                 uint64_t revision);

struct flt *flt_new (const struct settings *settings, struct ev_loop *loop,
                     struct out_pool *pool, const struct fol_dialect *store,
                     const char *kind, struct reg *reg, struct ctx *contexts,
                     GError **error);
void flt_on_revision (struct flt *flt, flt_revision_fn fn, void *closure);
void flt_set_revision (struct flt *flt, uint64_t revision);
void flt_start (struct flt *flt);
void flt_free (struct flt *flt);
void flt_holder (struct flt *flt, uint64_t context, uint64_t target);
uint32_t flt_size (const struct flt *flt);

#endif
