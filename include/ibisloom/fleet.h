/* The other instances: what each of them has under way, and what it knows. */
#ifndef IBISLOOM_FLEET_H
#define IBISLOOM_FLEET_H

#include <ev.h>
#include <netinet/in.h>

#include "ibisloom/context.h"
#include "ibisloom/elect.h"
#include "ibisloom/follow.h"
#include "ibisloom/registry.h"
#include "ibisloom/settings.h"
#include "ibisloom/snapshot.h"
#include "ibisloom/wire.h"

struct flt;

/* What another instance knows of the store. */
struct flt_news
{
  struct sockaddr_in address;
  struct snp_point known;
  int is_local; /* in the same failure domain */
};

typedef void (*flt_news_fn) (void *closure, const struct flt_news *news);

struct flt *flt_new (const struct settings *settings, struct ev_loop *loop,
                     struct out_pool *pool, const struct fol_dialect *store,
                     const char *kind, struct registry *registry,
                     struct ctx *contexts, GError **error);
void flt_on_news (struct flt *flt, flt_news_fn fn, void *closure);
void flt_set_known (struct flt *flt, const struct snp_point *known,
                    enum wire_store store);
void flt_leave (struct flt *flt);
void flt_view (const struct flt *flt, struct elect_view *view);
int flt_has_watcher (const struct flt *flt);
void flt_set_settings (struct flt *flt, const struct settings *settings);
void flt_start (struct flt *flt);
void flt_free (struct flt *flt);
void flt_holder (struct flt *flt, uint64_t context, uint64_t target);
uint32_t flt_size (const struct flt *flt);

#endif
