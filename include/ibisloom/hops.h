/* Hops: requests of an instance that is cut off from targets, sent through
   another instance.  Which instance, and the mark that tells it what the
   sender has decided. */
#ifndef IBISLOOM_HOPS_H
#define IBISLOOM_HOPS_H

#include <stdint.h>
#include <glib.h>

#include "ibisloom/clock.h"
#include "ibisloom/reach.h"
#include "ibisloom/registry.h"
#include "ibisloom/routes.h"

enum
{
  HOP_PEERS_MAX = 8, /* asked at a time, whatever the size of the fleet */
  HOP_NO_PEER = -1,
  HOP_HEAD_BYTES = 4096, /* that the head of a hop has more than a client's */
  HOPS_OPEN_MAX = 512    /* requests of other instances in progress */
};

/* Instance that is asked whether it reaches a service. */
struct hop_peer
{
  uint32_t id; /* 0: none */
  uint8_t has_answered;
  enum reach_answer answer;
  uint32_t load;       /* requests in progress there, as last told */
  uint32_t sent;       /* hops sent there since */
  uint64_t token;      /* that its hops have to bear */
  uint32_t unanswered; /* questions since its last answer */
  clk_ms avoid_until_ms;
  struct reg_target *target; /* stands for the instance in attempts */
};

struct hop_peers
{
  struct hop_peer peer[HOP_PEERS_MAX];
};

/* Field of a hop and of its response. */
extern const char hop_field[];

/* Value of hop_field in a response that the receiver made itself. */
extern const char hop_refused[];

/* What the sender of a hop has decided. */
struct hop_mark
{
  uint64_t token;  /* of the receiver */
  uint32_t sender; /* instance */
  enum rt_kind kind;
  uint8_t is_resumable;
  uint8_t has_context;
  uint8_t is_split;   /* the route has several services */
  uint8_t is_counted; /* in the retry budget */
  uint8_t takes_up;   /* a stream that has begun */
  uint32_t attempts_max;
  int64_t objective_ms;
  int64_t pause_ms;
  uint64_t software; /* version that began the stream, 0: none */
  uint64_t stream;   /* hash of the attempt id that began it, 0: none */
  char service[REG_NAME_MAX_BYTES];
  char customer[REG_NAME_MAX_BYTES]; /* empty: none */
};

int hop_pick (const struct hop_peers *peers, const uint32_t *tried,
              uint32_t tried_count, uint32_t random, clk_ms now);
int hop_awaits_answers (const struct hop_peers *peers);
struct hop_peer *hop_find (struct hop_peers *peers, uint32_t id);
int hop_is_lost (const struct hop_peer *peer);
void hop_mark_print (GString *out, const struct hop_mark *mark);
int hop_mark_parse (const char *value, struct hop_mark *mark);

#endif
