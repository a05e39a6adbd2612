/* Router instance: relays requests between clients and targets. */
#include <inttypes.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/relay.h"
#include "librouter.h"

enum
{
  TICK_MS = 250,
  /* Time from the start of a shutdown until the load balancer has stopped
     sending requests: two failed readiness checks, one second apart, plus the
     delay of the network.  */
  LAME_DUCK_MS = 2500,
  LAME_DUCK_END_MS = 3000, /* no exit earlier, as requests may still arrive */
  SHORT_REQUEST_MS = 700,  /* expected duration of a short request, at most */
  LAST_REQUEST_MS = 5000,  /* a shutdown accepts no new request later */
  FLEET_WAIT_MS = 1000,
  STOP_MARGIN_MS = 500, /* between the forced exit and the end of grace_s */
  LAST_ANSWER_MS = 250, /* before that, until the last answers are sent */
  READY_HEAD_BYTES = 4096,
  READY_TIMEOUT_MS = 10000
};

/* Share of the fleet's retry budget that the instances divide among
   themselves.  The rest allows for instances that count different fleet
   sizes.  */
static const double BUDGET_SHARE = 0.85;

/* Retries of an instance that does not know how many share the budget: no more
   than its part where the slack has one retry or more for each instance.  */
static const double UNKNOWN_FLEET_SHARE = 1;

static double budget_max (const struct router *router);
static void on_tick (struct ev_loop *loop, ev_timer *timer, int events);
static void on_signal (struct ev_loop *loop, ev_signal *signal, int events);
static void on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events);
static void reload (struct router *router);
static int64_t last_answer_ms (const struct router *router);
static void continue_shutdown (struct router *router, clk_ms now);
static void *on_ready (struct client_listener *listener, struct client *client,
                       struct http_head *head, GString *body);
static void *on_metrics (struct client_listener *listener,
                         struct client *client, struct http_head *head,
                         GString *body);
static int is_route_question (const char *url);
static void ignore_event (struct client_listener *listener, void *request);

static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

static const struct client_listener_ops metrics_ops
    = { on_metrics, ignore_event, ignore_event, ignore_event };

static const struct client_listener_ops peer_ops
    = { router_on_peer_request, relay_on_client_disconnected, relay_on_drained,
        relay_on_stop };

static const struct client_listener_ops ready_ops
    = { on_ready, ignore_event, ignore_event, ignore_event };

/* Creates a router instance and binds its listeners.  Returns NULL with ERROR
   set if an address cannot be bound.  */
struct router *
router_new (const struct settings *settings, const struct dialect *dialect,
            GError **error)
{
  struct router *router = g_new0 (struct router, 1);

  router->settings = settings;
  router->dialect = dialect;
  router->loop = ev_default_loop (EVBACKEND_EPOLL);
  router->failure_domain = g_intern_string (settings->failure_domain);
  router->random = g_rand_new ();
  router->registry = reg_new ();
  router->affinity = affinity_new ();
  router->held = held_new ();
  router->snapshot = snapshot_new ();
  router_reach_init (router);
  relay_queues_init (router);
  router->budgets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  out_pool_init (&router->pool, router->loop);
  router->request_listener.limits.head_max_bytes = HTTP_HEAD_MAX_BYTES;
  router->request_listener.limits.body_max_bytes
      = (uint32_t)settings->max_body_bytes;
  router->request_listener.limits.head_timeout_ms
      = settings->header_timeout_s * CLK_MS_PER_S;
  router->request_listener.limits.idle_timeout_ms
      = settings->header_timeout_s * CLK_MS_PER_S;
  router->readiness_listener.limits.head_max_bytes = READY_HEAD_BYTES;
  router->readiness_listener.limits.head_timeout_ms = READY_TIMEOUT_MS;
  router->readiness_listener.limits.idle_timeout_ms = READY_TIMEOUT_MS;
  router->peer_listener.limits = router->readiness_listener.limits;
  router->request_listener.limits.stall_ms = settings->client_stall_ms;
  router->peer_listener.limits.stall_ms = settings->client_stall_ms;
  router->metrics_listener.limits = router->readiness_listener.limits;
  /* A question for a route names the parts of a prompt.  */
  router->metrics_listener.limits.head_max_bytes = HTTP_HEAD_MAX_BYTES;
  if (client_listener_open (&router->request_listener, router->loop,
                            &relay_listener_ops, &settings->listen, error)
          != 0
      || client_listener_open (&router->readiness_listener, router->loop,
                               &ready_ops, &settings->readiness_listen, error)
             != 0
      || client_listener_open (&router->peer_listener, router->loop, &peer_ops,
                               &settings->peer_listen, error)
             != 0
      || client_listener_open (&router->metrics_listener, router->loop,
                               &metrics_ops, &settings->operator_listen, error)
             != 0)
    {
      router_free (router);
      return NULL;
    }
  router->fleet = fleet_new (settings, router->loop, &router->pool,
                             dialect->store, dialect->members_kind,
                             router->registry, router->affinity, error);
  if (router->fleet == NULL)
    {
      router_free (router);
      return NULL;
    }
  return router;
}

/* Serves requests until SIGTERM or SIGINT, then shuts down gracefully.  */
void
router_run (struct router *router)
{
  sigset_t handled_signals;

  sigemptyset (&handled_signals);
  for (size_t i = 0; i < G_N_ELEMENTS (signal_numbers); i++)
    {
      ev_signal_init (&router->signals[i], on_signal, signal_numbers[i]);
      router->signals[i].data = router;
      ev_signal_start (router->loop, &router->signals[i]);
      sigaddset (&handled_signals, signal_numbers[i]);
    }
  sigprocmask (SIG_UNBLOCK, &handled_signals, NULL);
  ev_timer_init (&router->tick, on_tick, (double)TICK_MS / CLK_MS_PER_S,
                 (double)TICK_MS / CLK_MS_PER_S);
  router->tick.data = router;
  ev_timer_start (router->loop, &router->tick);
  ev_prepare_init (&router->prepare, on_prepare);
  ev_prepare_start (router->loop, &router->prepare);
  log_set_deferred (1);
  router_watch_config (router);
  router_watch_targets (router);
  router_watch_evacuations (router);
  fleet_on_update (router->fleet, router_on_fleet_update, router);
  fleet_on_level (router->fleet, relay_queues_on_level, router);
  router_reach_start (router);
  router->started_ms = clk_now (clk_monotonic ());
  router->short_ms = router->started_ms;
  fleet_start (router->fleet);
  fleet_keep_origins (router->fleet, router->dialect->origins_kind);
  if (router->settings->context_lists)
    fleet_keep_held (router->fleet, router->held, &router->table,
                     router->dialect->held_path, router->dialect->held);
  log_info ("gate", NULL, "started", "failure domain %s",
            router->failure_domain);
  ev_run (router->loop, 0);
  log_info ("gate", NULL, "stopped", "%u requests aborted",
            router->open_requests);
}

/* Frees ROUTER and closes its connections.  */
void
router_free (struct router *router)
{
  client_listener_close (&router->request_listener);
  client_listener_close (&router->readiness_listener);
  client_listener_close (&router->peer_listener);
  client_listener_close (&router->metrics_listener);
  if (router->snapshot_fetch != NULL)
    store_call_cancel (router->snapshot_fetch);
  if (router->config.loop != NULL)
    watch_stop (&router->config);
  if (router->targets.loop != NULL)
    watch_stop (&router->targets);
  if (router->evacuations.loop != NULL)
    watch_stop (&router->evacuations);
  g_hash_table_destroy (router->reaches);
  relay_queues_clear (router);
  fleet_free (router->fleet);
  out_pool_clear (&router->pool);
  g_hash_table_destroy (router->pool.idle);
  reg_free (router->registry);
  affinity_free (router->affinity);
  held_free (router->held);
  snapshot_free (router->snapshot);
  rt_unref (router->table);
  g_hash_table_destroy (router->budgets);
  g_rand_free (router->random);
  settings_free (router->reloaded_settings);
  g_free (router);
}

/* Returns whether ROUTER can serve: it has read what it needs, and is not
   shutting down.  */
int
router_is_ready (const struct router *router)
{
  return router->stopping_ms == 0 && router_has_read_store (router)
         && router->registry->listed;
}

/* Returns whether ROUTER has a configuration and knows which failure domains
   are evacuated, what crashes targets and which versions began streams.  It
   does not wait for the latter two for longer than FLEET_WAIT_MS, as the store
   may be away.  */
int
router_has_read_store (const struct router *router)
{
  return router->table != NULL && router_knows_evacuations (router)
         && ((fleet_knows_quarantine (router->fleet)
              && fleet_origins_are_read (router->fleet))
             || clk_now (clk_monotonic ()) - router->started_ms
                    >= FLEET_WAIT_MS);
}

/* Returns whether REQUEST may be started.  During a shutdown only short
   requests are accepted after LAME_DUCK_MS and none after LAST_REQUEST_MS, so
   that the requests in progress end before the process is killed.  One that
   may not be repeated has to end in time whatever its target does: its client
   would not know whether it ran.  So has a stream, which would be cut: its
   expected duration may be that to its first event only.  */
int
router_may_start (const struct router *router,
                  const struct router_request *request)
{
  clk_ms since;

  if (router->stopping_ms == 0)
    return 1;
  since = clk_now (clk_monotonic ()) - router->stopping_ms;
  if (since < LAME_DUCK_MS)
    return 1;
  return request->expected_ms <= SHORT_REQUEST_MS && since < LAST_REQUEST_MS
         && (!request->must_end
             || request->deadline_ms - router->stopping_ms
                    <= last_answer_ms (router));
}

/* Returns how many milliseconds after its start a shutdown answers what is
   still in progress.  */
static int64_t
last_answer_ms (const struct router *router)
{
  return (int64_t)(router->settings->grace_s * CLK_MS_PER_S) - STOP_MARGIN_MS
         - LAST_ANSWER_MS;
}

/* Counts the end of a request.  The end of the last one may complete a
   shutdown.  */
void
router_request_ended (struct router *router)
{
  router->open_requests--;
  if (router->stopping_ms != 0 && router->open_requests == 0)
    continue_shutdown (router, clk_now (clk_monotonic ()));
}

/* Returns the retry budget for SERVICE, an interned string: this instance's
   share of the budget of the fleet.  */
struct retry_budget *
router_retry_budget (struct router *router, const char *service)
{
  struct retry_budget *budget;

  /* The share that follows is full when it is known.  */
  if (!router->budgets_are_shared && fleet_knows_members (router->fleet))
    {
      g_hash_table_remove_all (router->budgets);
      router->budgets_are_shared = 1;
    }
  budget = g_hash_table_lookup (router->budgets, service);
  if (budget == NULL)
    {
      budget = g_new0 (struct retry_budget, 1);
      g_hash_table_insert (router->budgets, (gpointer)(uintptr_t)service,
                           budget);
    }
  retry_budget_set_max (budget, budget_max (router));
  return budget;
}

/* Returns this instance's share of the retry budget of the fleet.  While it
   does not know the other instances, as after a start of all, each would take
   the whole of it for its own.  */
static double
budget_max (const struct router *router)
{
  double share = router->settings->retry_slack * BUDGET_SHARE
                 / fleet_size (router->fleet);

  return fleet_knows_members (router->fleet)
             ? share
             : MIN (share, UNKNOWN_FLEET_SHARE);
}

/* Returns whether the retry budget for SERVICE allows a retry now.  */
int
router_may_retry (const struct router *router, const char *service)
{
  const struct retry_budget *kept
      = g_hash_table_lookup (router->budgets, service);
  struct retry_budget budget
      = kept != NULL ? *kept : (struct retry_budget){ 0 };

  retry_budget_set_max (&budget, budget_max (router));
  return retry_budget_has_token (&budget);
}

/* Does the periodic work: decides on the watch of the store, drops missing
   targets and continues a shutdown.  */
static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct router *router = timer->data;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t dropped = reg_expire (router->registry, now);

  router_update_watch (router, now);
  held_expire (router->held, now);
  (void)loop;
  (void)events;
  if (dropped > 0)
    {
      log_info ("registry", NULL, "missing_dropped", "%u targets", dropped);
      router_forget_removed (router);
    }
  if (router->stopping_ms != 0)
    continue_shutdown (router, now);
}

/* Writes the deferred log lines before the loop blocks.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)loop;
  (void)prepare;
  (void)events;
  log_flush ();
}

/* Reloads the settings at SIGHUP; starts a graceful shutdown at other
   signals.  */
static void
on_signal (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct router *router = signal->data;

  (void)loop;
  (void)events;
  if (signal->signum == SIGHUP)
    {
      reload (router);
      return;
    }
  if (router->stopping_ms != 0)
    return;
  router->stopping_ms = clk_now (clk_monotonic ());
  router->request_listener.is_draining = 1;
  fleet_set_leaving (router->fleet);
  log_info ("gate", NULL, "stopping", "%u requests open",
            router->open_requests);
}

/* Reloads the settings.  If the new settings have an error, the old ones stay
   in force.  The old addresses stay in force in any case, and so does whether
   evacuations are read, as a change of them needs a restart.  */
static void
reload (struct router *router)
{
  GPtrArray *errors = g_ptr_array_new_with_free_func (g_free);
  struct settings *settings = settings_load (router->settings->path, errors);

  for (guint i = 0; i < errors->len; i++)
    log_error ("gate", NULL, "reload_failed", "%s",
               (char *)g_ptr_array_index (errors, i));
  g_ptr_array_free (errors, TRUE);
  if (settings == NULL)
    return;
  if (memcmp (&settings->listen, &router->settings->listen,
              sizeof settings->listen)
          != 0
      || memcmp (&settings->platform, &router->settings->platform,
                 sizeof settings->platform)
             != 0)
    log_warn ("gate", NULL, "reload_partial",
              "changed addresses take effect at the next restart");
  settings->listen = router->settings->listen;
  settings->peer_listen = router->settings->peer_listen;
  settings->platform = router->settings->platform;
  if ((settings->evacuate_ms == 0) != (router->settings->evacuate_ms == 0))
    settings->evacuate_ms = router->settings->evacuate_ms;
  log_set_level ((enum log_level)settings->log_level);
  fleet_set_settings (router->fleet, settings);
  router->request_listener.limits.stall_ms = settings->client_stall_ms;
  router->peer_listener.limits.stall_ms = settings->client_stall_ms;
  router->settings = settings;
  settings_free (router->reloaded_settings);
  router->reloaded_settings = settings;
  log_info ("gate", NULL, "reloaded", "%s", settings->path);
}

/* Continues a graceful shutdown.  Requests are accepted as usual for
   LAME_DUCK_MS, until the load balancer has stopped sending them.  Then idle
   connections are closed, and the loop ends when the requests in progress are
   finished, or at the latest STOP_MARGIN_MS before the grace period ends.
   Those that are not, and have no response yet, get one before that.  */
static void
continue_shutdown (struct router *router, clk_ms now)
{
  clk_ms since = now - router->stopping_ms;
  clk_ms force_stop_ms
      = (clk_ms)(router->settings->grace_s * CLK_MS_PER_S) - STOP_MARGIN_MS;

  if (since >= LAME_DUCK_MS)
    client_listener_drain (&router->request_listener);
  if (since >= last_answer_ms (router))
    {
      client_listener_end_requests (&router->request_listener);
      client_listener_end_requests (&router->peer_listener);
    }
  if ((since >= LAME_DUCK_END_MS && router->open_requests == 0
       && !client_listener_has_unread_input (&router->request_listener)
       && !client_listener_has_undelivered_output (&router->request_listener)
       && !client_listener_has_undelivered_output (&router->peer_listener))
      || since >= force_stop_ms)
    ev_break (router->loop, EVBREAK_ALL);
}

/* Responds to a readiness check of the load balancer.  */
static void *
on_ready (struct client_listener *listener, struct client *client,
          struct http_head *head, GString *body)
{
  const struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, readiness_listener));
  int known = strcmp (http_head_url (head), router->dialect->ready_path) == 0;

  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  if (!known)
    client_respond (client, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else
    client_respond (client,
                    router_is_ready (router) ? HTTP_STATUS_OK
                                             : HTTP_STATUS_SERVICE_UNAVAILABLE,
                    "", NULL, 0);
  return NULL;
}

/* Responds to a request for the metrics, or to a question where a request
   would go.  */
static void *
on_metrics (struct client_listener *listener, struct client *client,
            struct http_head *head, GString *body)
{
  struct router *router
      = (struct router *)((char *)listener
                          - offsetof (struct router, metrics_listener));
  GString *text;

  if (is_route_question (http_head_url (head)))
    {
      char *json = relay_explain (router, head);

      client_respond (client,
                      json != NULL ? HTTP_STATUS_OK : HTTP_STATUS_BAD_REQUEST,
                      "Content-Type: application/json\r\n", json,
                      json != NULL ? strlen (json) : 0);
      free (json);
    }
  else if (strcmp (http_head_url (head), "/metrics") != 0)
    client_respond (client, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else
    {
      text = router_metrics (router);
      client_respond (client, HTTP_STATUS_OK,
                      "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                      text->len);
      g_string_free (text, TRUE);
    }
  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  return NULL;
}

/* Returns whether URL asks where a request would go.  */
static int
is_route_question (const char *url)
{
  return g_str_has_prefix (url, "/route?");
}

/* Ignores events on requests whose response was sent at once.  */
static void
ignore_event (struct client_listener *listener, void *request)
{
  (void)listener;
  (void)request;
}
