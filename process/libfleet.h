/* Private to process/fleet*.c: the other instances as this one knows them. */
#ifndef LIBFLEET_H
#define LIBFLEET_H

#include <ev.h>
#include <glib.h>

#include "ibisloom/fleet.h"
#include "ibisloom/members.h"
#include "ibisloom/storecall.h"

enum
{
  FLT_PEERS_MAX = 2048
};

/* Requests of a peer at one target, and whether the target counts them. */
struct flt_load
{
  uint64_t target;
  uint64_t serial; /* of the target that counts them, 0: none does */
  int32_t load;
};

struct flt_peer
{
  uint32_t id;
  struct sockaddr_in address;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t domain;
  enum wire_store store;
  enum member_state state;
  clk_ms heard_ms; /* 0: never */
  GArray *loads;   /* of struct flt_load, as last told */
};

struct flt
{
  struct ev_loop *loop;
  struct out_pool *pool;
  const struct settings *settings;
  const struct fol_dialect *store;
  const char *kind;
  struct registry *registry;
  struct ctx *contexts;
  struct wire_key key;
  uint32_t self;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t beats;
  int fd;
  ev_io io;
  ev_timer beat;
  ev_timer retry;
  struct stc *call;
  uint8_t registered;
  uint8_t listed;
  uint8_t leaving;
  GHashTable *peers; /* id to struct flt_peer */
  uint32_t domain;
  struct snp_point known;
  enum wire_store store_state;
  flt_news_fn on_news;
  void *closure;
  uint8_t has_contexts; /* another instance has told its contexts */
};

/* fleet.c */
struct flt_peer *flt_peer_get (struct flt *flt, uint32_t id);
int flt_is_silent (const struct flt_peer *peer, clk_ms now);

/* fleet_join.c */
void flt_join (struct flt *flt);
void flt_on_retry (struct ev_loop *loop, ev_timer *timer, int events);

/* fleet_talk.c */
size_t flt_encode_beat (struct flt *flt, int wants_contexts,
                        unsigned char *out);
void flt_on_datagram (struct ev_loop *loop, ev_io *io, int events);
void flt_forget_loads (struct flt *flt, struct flt_peer *peer);

#endif
