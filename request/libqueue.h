/* Private to request/relay_wait.c and relay_queue.c: queues of requests that
   wait for capacity. */
#ifndef LIBQUEUE_H
#define LIBQUEUE_H

#include "librelay.h"

enum queue_refusal
{
  QUEUE_OVER_SHARE,
  QUEUE_FULL,
  QUEUE_LATE,
  QUEUE_REFUSALS
};

/* Queue of one service. */
struct relay_queue
{
  struct wait wait;
  struct router *router;
  const char *service;           /* interned */
  uint64_t hash;                 /* of its name */
  ev_timer poll;                 /* while requests wait */
  ev_timer report;               /* while the service is short of capacity */
  uint32_t round;                /* of tries */
  uint8_t is_told;               /* coordinators get reports */
  struct relay *tried;           /* now, from the queue */
  uint32_t misses;               /* in this round */
  uint64_t waited[TURN_CLASSES]; /* requests sent after a wait */
  uint64_t refused[QUEUE_REFUSALS][TURN_CLASSES];
};

extern const char *const relay_queue_refusal_names[QUEUE_REFUSALS];

/* relay_queue.c */
struct relay_queue *relay_queue_find (const struct relay *relay);
struct relay_queue *relay_queue_get (const struct relay *relay);
void relay_queue_note_sign (struct relay_queue *queue, clk_ms now);

/* relay_wait.c */
void relay_queue_on_poll (struct ev_loop *loop, ev_timer *timer, int events);

#endif
