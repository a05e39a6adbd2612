/* Order in which waiting requests are served: by priority, then max-min fair
   among customers, then by deadline. */
#ifndef IBISLOOM_TURN_H
#define IBISLOOM_TURN_H

#include <stdint.h>
#include <glib.h>

#include "ibisloom/clock.h"

enum
{
  TURN_CONTINUED, /* class of requests that a target has begun */
  TURN_FIRST,     /* class of priority 0 */
  TURN_CLASSES = 11,
  TURN_PRIORITY_DEFAULT = 5 /* of requests that name none */
};

/* Customer in one class. */
struct turn_flow
{
  uint64_t customer;
  double tag;       /* requests served, in the virtual time of its class */
  GPtrArray *turns; /* of struct turn that wait, earliest limit first */
};

/* One waiting request, embedded in it. */
struct turn
{
  uint32_t class;
  uint64_t customer;
  clk_ms limit_ms;        /* it must be served by then */
  clk_ms since_ms;        /* it waits since then */
  uint32_t round;         /* in which it was last tried, see turn_first */
  struct turn_flow *flow; /* NULL: it does not wait */
};

struct turn_class
{
  GHashTable *flows; /* customer to struct turn_flow */
  GPtrArray *active; /* those with waiting requests */
  double time;       /* virtual: requests served of each customer that waits */
  uint32_t waiting;
};

struct turn_queue
{
  struct turn_class classes[TURN_CLASSES];
  uint32_t waiting;
};

void turn_init (struct turn_queue *queue);
void turn_clear (struct turn_queue *queue);
uint32_t turn_class_of (int32_t priority);
void turn_add (struct turn_queue *queue, struct turn *turn);
void turn_remove (struct turn_queue *queue, struct turn *turn);
struct turn *turn_first (const struct turn_queue *queue, uint32_t round);
struct turn *turn_last (const struct turn_queue *queue);
void turn_serve (struct turn_queue *queue, uint32_t class, uint64_t customer);
uint32_t turn_ahead (const struct turn_queue *queue, const struct turn *turn);

#endif
