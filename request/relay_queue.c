/* Queues of requests that wait for capacity: one for each service, what they
   tell the coordinators while the service is short of it, and metrics.  */
#include <inttypes.h>

#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libqueue.h"

static void queue_free (gpointer data);
static void on_report_due (struct ev_loop *loop, ev_timer *timer, int events);
static void log_state (const struct relay_queue *queue, const char *reason);

const char *const relay_queue_refusal_names[QUEUE_REFUSALS]
    = { "over_share", "queue_full", "queue_late" };

void
relay_queues_init (struct router *router)
{
  router->queues = g_hash_table_new_full (NULL, NULL, NULL, queue_free);
}

/* Undoes relay_queues_init.  */
void
relay_queues_clear (struct router *router)
{
  g_hash_table_destroy (router->queues);
}

static void
queue_free (gpointer data)
{
  struct relay_queue *queue = data;

  ev_timer_stop (queue->router->loop, &queue->poll);
  ev_timer_stop (queue->router->loop, &queue->report);
  wait_clear (&queue->wait);
  g_free (queue);
}

/* Returns the queue of RELAY's service, or NULL if it has none yet.  */
struct relay_queue *
relay_queue_find (const struct relay *relay)
{
  return g_hash_table_lookup (relay->router->queues, relay->service);
}

/* Returns the queue of RELAY's service, created if it is new.  */
struct relay_queue *
relay_queue_get (const struct relay *relay)
{
  struct router *router = relay->router;
  struct relay_queue *queue = relay_queue_find (relay);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct relay_queue, 1);
  wait_init (&queue->wait);
  queue->router = router;
  queue->service = relay->service;
  queue->hash = rank_hash (relay->service);
  ev_timer_init (&queue->poll, relay_queue_on_poll, 0, 0);
  queue->poll.data = queue;
  ev_timer_init (&queue->report, on_report_due, 0, 0);
  queue->report.data = queue;
  g_hash_table_insert (router->queues, (gpointer)(uintptr_t)relay->service,
                       queue);
  return queue;
}

/* Records a sign that QUEUE's service is short of capacity, and begins to tell
   the coordinators.  */
void
relay_queue_note_sign (struct relay_queue *queue, clk_ms now)
{
  wait_note_sign (&queue->wait, now);
  if (queue->is_told)
    return;
  queue->is_told = 1;
  log_state (queue, "scarce");
  ev_timer_set (&queue->report, 0, 0);
  ev_timer_start (queue->router->loop, &queue->report);
}

/* Tells the coordinators the demand, until the service is no longer short of
   capacity.  */
static void
on_report_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct relay_queue *queue = timer->data;
  struct fleet *fleet = queue->router->fleet;
  clk_ms now = clk_now (clk_monotonic ());
  struct demand_report report = { .service = queue->hash };

  (void)events;
  if (!wait_is_scarce (&queue->wait, now))
    {
      queue->is_told = 0;
      log_state (queue, "ample");
      return;
    }
  demand_fill_report (&queue->wait.demand, now, &report);
  report.served_per_ks
      = (uint32_t)(demand_rate_per_s (&queue->wait.ends, now) * CLK_MS_PER_S);
  for (int i = 0; i < TURN_CLASSES; i++)
    report.waiting[i] = queue->wait.queue.classes[i].waiting;
  ev_timer_set (timer, (double)fleet_demand_interval_ms (fleet) / CLK_MS_PER_S,
                0);
  ev_timer_start (loop, timer);
  fleet_tell_demand (fleet, &report);
}

/* Records the LEVEL of the coordinator that ranks RANK at the router
   CLOSURE.  */
void
relay_queues_on_level (void *closure, uint32_t rank,
                       const struct demand_level *level)
{
  const struct router *router = closure;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct relay_queue *queue = value;

      if (queue->hash == level->service)
        wait_set_level (&queue->wait, rank, level, clk_now (clk_monotonic ()));
    }
}

/* Logs the state that QUEUE's service has come to, REASON.  */
static void
log_state (const struct relay_queue *queue, const char *reason)
{
  struct log_line line;

  if (!log_begin (&line, LOG_LEVEL_INFO, "queue", NULL, reason))
    return;
  log_text (&line, "service", queue->service);
  log_number (&line, "waiting", queue->wait.queue.waiting);
  log_end (&line);
}

/* Appends the metrics of the queues of ROUTER to OUT.  */
void
relay_queues_print (const struct router *router, GString *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, router->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct relay_queue *queue = value;

      for (int i = 0; i < TURN_CLASSES; i++)
        {
          /* The class of requests that a target has begun has priority -1.  */
          char *labels = g_strdup_printf ("service=\"%s\",priority=\"%d\"",
                                          queue->service, i - (int)TURN_FIRST);
          uint32_t waiting = queue->wait.queue.classes[i].waiting;

          if (waiting > 0)
            g_string_append_printf (out, "ibisloom_queue_waiting{%s} %u\n",
                                    labels, waiting);
          if (queue->waited[i] > 0)
            g_string_append_printf (
                out, "ibisloom_queue_waited_total{%s} %" PRIu64 "\n", labels,
                queue->waited[i]);
          for (int j = 0; j < QUEUE_REFUSALS; j++)
            if (queue->refused[j][i] > 0)
              g_string_append_printf (
                  out,
                  "ibisloom_queue_refused_total{%s,reason=\"%s\"} %" PRIu64
                  "\n",
                  labels, relay_queue_refusal_names[j], queue->refused[j][i]);
          g_free (labels);
        }
    }
}
