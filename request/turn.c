/* Order in which waiting requests are served.

   Classes are served strictly in order.  Within a class each customer has a
   tag, the number of its requests served, in a virtual time that advances with
   the customer served least (start-time fair queueing with requests of equal
   size): a customer that asks for less than its share never waits behind one
   that asks for more, and what it leaves is shared by the others.  A customer
   that returns gets no credit for the time that it was away.  Requests of one
   customer are served in the order of their limits.  */
#include <math.h>

#include <sys/param.h>

#include "ibisloom/turn.h"

enum
{
  FLOWS_KEPT_MAX = 1024 /* customers in a class whose tags are remembered */
};

static struct turn_flow *flow_get (struct turn_class *class,
                                   uint64_t customer);
static void flow_free (gpointer data);
static gboolean is_idle (gpointer key, gpointer value, gpointer class);
static uint32_t ahead_in_class (const struct turn_class *class,
                                const struct turn *turn);
static uint32_t ahead_in_flow (const struct turn_flow *flow,
                               const struct turn *turn);

void
turn_init (struct turn_queue *queue)
{
  *queue = (struct turn_queue){ .waiting = 0 };
  for (int i = 0; i < TURN_CLASSES; i++)
    {
      queue->classes[i].flows = g_hash_table_new_full (
          g_int64_hash, g_int64_equal, NULL, flow_free);
      queue->classes[i].active = g_ptr_array_new ();
    }
}

/* Undoes turn_init.  */
void
turn_clear (struct turn_queue *queue)
{
  for (int i = 0; i < TURN_CLASSES; i++)
    {
      g_ptr_array_free (queue->classes[i].active, TRUE);
      g_hash_table_destroy (queue->classes[i].flows);
    }
}

static void
flow_free (gpointer data)
{
  struct turn_flow *flow = data;

  g_ptr_array_free (flow->turns, TRUE);
  g_free (flow);
}

/* Returns the class of requests with PRIORITY, -1 for none.  */
uint32_t
turn_class_of (int32_t priority)
{
  return (uint32_t)(TURN_FIRST
                    + (priority < 0 ? TURN_PRIORITY_DEFAULT : priority));
}

/* Returns whether VALUE, a flow of CLASS, need not be remembered: it would
   have the same tag if it were new.  */
static gboolean
is_idle (gpointer key, gpointer value, gpointer class)
{
  const struct turn_flow *flow = value;

  (void)key;
  return flow->turns->len == 0
         && flow->tag <= ((const struct turn_class *)class)->time;
}

/* Returns the flow of CUSTOMER in CLASS, created if it is new.  */
static struct turn_flow *
flow_get (struct turn_class *class, uint64_t customer)
{
  struct turn_flow *flow = g_hash_table_lookup (class->flows, &customer);

  if (flow != NULL)
    return flow;
  if (g_hash_table_size (class->flows) >= FLOWS_KEPT_MAX)
    g_hash_table_foreach_remove (class->flows, is_idle, class);
  flow = g_new0 (struct turn_flow, 1);
  flow->customer = customer;
  flow->tag = class->time;
  flow->turns = g_ptr_array_new ();
  g_hash_table_insert (class->flows, &flow->customer, flow);
  return flow;
}

/* Adds TURN, whose class, customer and limit are set, to QUEUE.  */
void
turn_add (struct turn_queue *queue, struct turn *turn)
{
  struct turn_class *class = &queue->classes[turn->class];
  struct turn_flow *flow = flow_get (class, turn->customer);

  if (flow->turns->len == 0)
    {
      flow->tag = MAX (flow->tag, class->time);
      g_ptr_array_add (class->active, flow);
    }
  g_ptr_array_insert (flow->turns, (gint)ahead_in_flow (flow, turn), turn);
  turn->flow = flow;
  class->waiting++;
  queue->waiting++;
}

/* Removes TURN, which waits, from QUEUE.  */
void
turn_remove (struct turn_queue *queue, struct turn *turn)
{
  struct turn_class *class = &queue->classes[turn->class];
  struct turn_flow *flow = turn->flow;

  g_ptr_array_remove (flow->turns, turn);
  if (flow->turns->len == 0)
    g_ptr_array_remove_fast (class->active, flow);
  turn->flow = NULL;
  class->waiting--;
  queue->waiting--;
}

/* Returns the request of QUEUE to be served next among those that were not
   tried in ROUND, or NULL.  */
struct turn *
turn_first (const struct turn_queue *queue, uint32_t round)
{
  struct turn *first = NULL;
  double tag = INFINITY;

  for (int i = 0; i < TURN_CLASSES && first == NULL; i++)
    for (guint j = 0; j < queue->classes[i].active->len; j++)
      {
        const struct turn_flow *flow
            = g_ptr_array_index (queue->classes[i].active, j);

        if (flow->tag > tag)
          continue;
        for (guint k = 0; k < flow->turns->len; k++)
          {
            struct turn *turn = g_ptr_array_index (flow->turns, k);

            if (turn->round == round)
              continue;
            if (first == NULL || flow->tag < tag
                || turn->limit_ms < first->limit_ms)
              first = turn;
            tag = flow->tag;
            break;
          }
      }
  return first;
}

/* Returns the request of QUEUE that would be served last, or NULL.  */
struct turn *
turn_last (const struct turn_queue *queue)
{
  struct turn *last = NULL;
  double tag = -INFINITY;

  for (int i = TURN_CLASSES - 1; i >= 0 && last == NULL; i--)
    for (guint j = 0; j < queue->classes[i].active->len; j++)
      {
        const struct turn_flow *flow
            = g_ptr_array_index (queue->classes[i].active, j);
        double end = flow->tag + flow->turns->len;
        struct turn *turn
            = g_ptr_array_index (flow->turns, flow->turns->len - 1);

        if (last != NULL
            && (end < tag || (end == tag && turn->limit_ms < last->limit_ms)))
          continue;
        last = turn;
        tag = end;
      }
  return last;
}

/* Counts a request of CUSTOMER in CLASS that is served, and waits no more.  */
void
turn_serve (struct turn_queue *queue, uint32_t class, uint64_t customer)
{
  struct turn_class *served = &queue->classes[class];
  struct turn_flow *flow = flow_get (served, customer);
  double time = INFINITY;

  flow->tag = MAX (flow->tag, served->time) + 1;
  for (guint i = 0; i < served->active->len; i++)
    {
      const struct turn_flow *other = g_ptr_array_index (served->active, i);

      time = MIN (time, other->tag);
    }
  served->time = MAX (served->time, isfinite (time) ? time : flow->tag - 1);
}

/* Returns how many requests of QUEUE would be served before TURN, which does
   not wait yet.  */
uint32_t
turn_ahead (const struct turn_queue *queue, const struct turn *turn)
{
  uint32_t ahead = ahead_in_class (&queue->classes[turn->class], turn);

  for (uint32_t i = 0; i < turn->class; i++)
    ahead += queue->classes[i].waiting;
  return ahead;
}

/* Returns how many requests of CLASS would be served before TURN: of each
   other customer as many as bring its tag up to that at which TURN is
   served.  */
static uint32_t
ahead_in_class (const struct turn_class *class, const struct turn *turn)
{
  const struct turn_flow *own
      = g_hash_table_lookup (class->flows, &turn->customer);
  uint32_t ahead = own != NULL ? ahead_in_flow (own, turn) : 0;
  double tag = MAX (own != NULL ? own->tag : 0, class->time) + ahead;

  for (guint i = 0; i < class->active->len; i++)
    {
      const struct turn_flow *flow = g_ptr_array_index (class->active, i);

      if (flow != own)
        ahead += (uint32_t)CLAMP (ceil (tag - flow->tag), 0, flow->turns->len);
    }
  return ahead;
}

/* Returns how many requests of FLOW have the same limit as TURN or an earlier
   one.  */
static uint32_t
ahead_in_flow (const struct turn_flow *flow, const struct turn *turn)
{
  guint low = 0;
  guint high = flow->turns->len;

  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const struct turn *other = g_ptr_array_index (flow->turns, middle);

      if (other->limit_ms <= turn->limit_ms)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}
