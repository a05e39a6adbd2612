/* One instance that relays requests between callers and targets. */
#include <inttypes.h>
#include <errno.h>
#include <signal.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/relay.h"
#include "libgate.h"

enum
{
  TICK_MS = 250,
  /* After a stop is asked for, until the balancer has seen that this instance
     is not ready: two of its checks, a second apart, and their way.  */
  LAME_DUCK_MS = 2500,
  LAME_DUCK_END_MS = 3000,
  SHORT_REQUEST_MS = 700,
  LAST_REQUEST_MS = 5000,
  STOP_MARGIN_MS = 500,
  READY_HEAD_BYTES = 4096,
  READY_TIMEOUT_MS = 10000
};

/* Parts of the fleet's budget that are used; the rest covers what others
   count differently.  */
static const double BUDGET_PART = 0.85;

static void on_tick (struct ev_loop *loop, ev_timer *timer, int events);
static void on_signal (struct ev_loop *loop, ev_signal *signal, int events);
static void on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events);
static void reload (struct gate *gate);
static void step_stop (struct gate *gate, clk_ms now);
static void *on_ready (struct caller_site *site, struct caller *caller,
                       struct http_head *head, GString *body);
static void *on_metrics (struct caller_site *site, struct caller *caller,
                         struct http_head *head, GString *body);
static void on_nothing (struct caller_site *site, void *request);

static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

static const struct caller_site_ops metrics_ops
    = { on_metrics, on_nothing, on_nothing };

static const struct caller_site_ops peer_ops
    = { gate_on_peer_request, on_nothing, on_nothing };

static const struct caller_site_ops ready_ops
    = { on_ready, on_nothing, on_nothing };

/* Returns an instance whose listeners are bound, or NULL with ERROR set.  */
struct gate *
gate_new (const struct settings *settings, const struct dialect *dialect,
          GError **error)
{
  struct gate *gate = g_new0 (struct gate, 1);

  gate->settings = settings;
  gate->dialect = dialect;
  gate->loop = ev_default_loop (EVBACKEND_EPOLL);
  gate->failure_domain = g_intern_string (settings->failure_domain);
  gate->random = g_rand_new ();
  gate->registry = reg_new ();
  gate->contexts = ctx_new ();
  gate->snapshot = snp_new ();
  gate->budgets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  out_pool_init (&gate->pool, gate->loop);
  gate->front.limits.head_max_bytes = HTTP_HEAD_MAX_BYTES;
  gate->front.limits.body_max_bytes = (uint32_t)settings->max_body_bytes;
  gate->front.limits.head_timeout_ms
      = settings->header_timeout_s * CLK_MS_PER_S;
  gate->front.limits.idle_timeout_ms
      = settings->header_timeout_s * CLK_MS_PER_S;
  gate->ready.limits.head_max_bytes = READY_HEAD_BYTES;
  gate->ready.limits.head_timeout_ms = READY_TIMEOUT_MS;
  gate->ready.limits.idle_timeout_ms = READY_TIMEOUT_MS;
  gate->peers.limits = gate->ready.limits;
  gate->metrics.limits = gate->ready.limits;
  if (caller_site_open (&gate->front, gate->loop, &rly_site_ops,
                        &settings->listen, error)
          != 0
      || caller_site_open (&gate->ready, gate->loop, &ready_ops,
                           &settings->readiness_listen, error)
             != 0
      || caller_site_open (&gate->peers, gate->loop, &peer_ops,
                           &settings->peer_listen, error)
             != 0
      || caller_site_open (&gate->metrics, gate->loop, &metrics_ops,
                           &settings->operator_listen, error)
             != 0)
    {
      gate_free (gate);
      return NULL;
    }
  gate->fleet
      = flt_new (settings, gate->loop, &gate->pool, dialect->store,
                 dialect->members_kind, gate->registry, gate->contexts, error);
  if (gate->fleet == NULL)
    {
      gate_free (gate);
      return NULL;
    }
  return gate;
}

/* Serves until a stop is asked for, then stops gracefully.  */
void
gate_run (struct gate *gate)
{
  sigset_t awaited;

  sigemptyset (&awaited);
  for (size_t i = 0; i < G_N_ELEMENTS (signal_numbers); i++)
    {
      ev_signal_init (&gate->signals[i], on_signal, signal_numbers[i]);
      gate->signals[i].data = gate;
      ev_signal_start (gate->loop, &gate->signals[i]);
      sigaddset (&awaited, signal_numbers[i]);
    }
  sigprocmask (SIG_UNBLOCK, &awaited, NULL);
  ev_timer_init (&gate->tick, on_tick, (double)TICK_MS / CLK_MS_PER_S,
                 (double)TICK_MS / CLK_MS_PER_S);
  gate->tick.data = gate;
  ev_timer_start (gate->loop, &gate->tick);
  ev_prepare_init (&gate->prepare, on_prepare);
  ev_prepare_start (gate->loop, &gate->prepare);
  log_defer (1);
  gate_follow_config (gate);
  gate_follow_targets (gate);
  flt_on_news (gate->fleet, gate_on_news, gate);
  gate->started_ms = clk_now (clk_monotonic ());
  gate->short_ms = gate->started_ms;
  flt_start (gate->fleet);
  log_info ("gate", NULL, "started", "failure domain %s",
            gate->failure_domain);
  ev_run (gate->loop, 0);
  log_info ("gate", NULL, "stopped", "%u requests cut", gate->open_requests);
}

/* Frees GATE; open connections are dropped.  */
void
gate_free (struct gate *gate)
{
  caller_site_close (&gate->front);
  caller_site_close (&gate->ready);
  caller_site_close (&gate->peers);
  caller_site_close (&gate->metrics);
  if (gate->fetch != NULL)
    stc_cancel (gate->fetch);
  if (gate->config.loop != NULL)
    fol_stop (&gate->config);
  if (gate->targets.loop != NULL)
    fol_stop (&gate->targets);
  flt_free (gate->fleet);
  out_pool_clear (&gate->pool);
  g_hash_table_destroy (gate->pool.idle);
  reg_free (gate->registry);
  ctx_free (gate->contexts);
  snp_free (gate->snapshot);
  rt_unref (gate->table);
  g_hash_table_destroy (gate->budgets);
  g_rand_free (gate->random);
  settings_free (gate->reloaded);
  g_free (gate);
}

/* Returns whether GATE can serve: it has a configuration and has read which
   targets there are.  */
int
gate_is_ready (const struct gate *gate)
{
  return gate->stopping_ms == 0 && gate->table != NULL
         && gate->registry->listed;
}

/* Returns whether a new request that takes EXPECTED_MS may still be begun.
   Some time after a stop was asked for, only short ones are, so that those
   in progress come to an end, and the kill cuts none.  */
int
gate_has_time (const struct gate *gate, int64_t expected_ms)
{
  clk_ms since;

  if (gate->stopping_ms == 0)
    return 1;
  since = clk_now (clk_monotonic ()) - gate->stopping_ms;
  return since < LAME_DUCK_MS
         || (expected_ms <= SHORT_REQUEST_MS && since < LAST_REQUEST_MS);
}

/* Lets a stop go on when the last request has ended.  */
void
gate_request_ended (struct gate *gate)
{
  gate->open_requests--;
  if (gate->stopping_ms != 0 && gate->open_requests == 0)
    step_stop (gate, clk_now (clk_monotonic ()));
}

/* Returns the budget for repeats at SERVICE: this instance's part of what the
   whole fleet may spend.  */
struct retry_budget *
gate_budget (struct gate *gate, const char *service)
{
  struct retry_budget *budget = g_hash_table_lookup (gate->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct retry_budget, 1);
      g_hash_table_insert (gate->budgets, (gpointer)(uintptr_t)service,
                           budget);
    }
  retry_budget_limit (budget, gate->settings->retry_slack * BUDGET_PART
                                  / flt_size (gate->fleet));
  return budget;
}

/* Does what is due from time to time.  */
static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct gate *gate = timer->data;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t dropped = reg_expire (gate->registry, now);

  gate_review_watch (gate, now);
  (void)loop;
  (void)events;
  if (dropped > 0)
    log_info ("registry", NULL, "missing_dropped", "%u targets", dropped);
  if (gate->stopping_ms != 0)
    step_stop (gate, now);
}

/* Writes the log before the loop waits.  */
static void
on_prepare (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)loop;
  (void)prepare;
  (void)events;
  log_flush ();
}

/* Begins a graceful stop, or reads the settings again.  */
static void
on_signal (struct ev_loop *loop, ev_signal *signal, int events)
{
  struct gate *gate = signal->data;

  (void)loop;
  (void)events;
  if (signal->signum == SIGHUP)
    {
      reload (gate);
      return;
    }
  if (gate->stopping_ms != 0)
    return;
  gate->stopping_ms = clk_now (clk_monotonic ());
  gate->front.closing = 1;
  flt_leave (gate->fleet);
  log_info ("gate", NULL, "stopping", "%u requests open", gate->open_requests);
}

/* Reads the settings again.  With a mistake in them the old ones hold; so do
   the old addresses, which take a restart.  */
static void
reload (struct gate *gate)
{
  GPtrArray *mistakes = g_ptr_array_new_with_free_func (g_free);
  struct settings *settings = settings_load (gate->settings->path, mistakes);

  for (guint i = 0; i < mistakes->len; i++)
    log_error ("gate", NULL, "reload_failed", "%s",
               (char *)g_ptr_array_index (mistakes, i));
  g_ptr_array_free (mistakes, TRUE);
  if (settings == NULL)
    return;
  if (memcmp (&settings->listen, &gate->settings->listen,
              sizeof settings->listen)
          != 0
      || memcmp (&settings->platform, &gate->settings->platform,
                 sizeof settings->platform)
             != 0)
    log_warn ("gate", NULL, "reload_partial",
              "other addresses take a restart");
  settings->listen = gate->settings->listen;
  settings->peer_listen = gate->settings->peer_listen;
  settings->platform = gate->settings->platform;
  log_set_level ((enum log_level)settings->log_level);
  flt_set_settings (gate->fleet, settings);
  gate->settings = settings;
  settings_free (gate->reloaded);
  gate->reloaded = settings;
  log_info ("gate", NULL, "reloaded", "%s", settings->path);
}

/* Goes on with a graceful stop: new callers are served until the balancer
   knows, idle connections end then, requests in progress are finished.  */
static void
step_stop (struct gate *gate, clk_ms now)
{
  clk_ms since = now - gate->stopping_ms;
  clk_ms last
      = (clk_ms)(gate->settings->grace_s * CLK_MS_PER_S) - STOP_MARGIN_MS;

  if (since >= LAME_DUCK_MS)
    caller_site_shut (&gate->front);
  if ((since >= LAME_DUCK_END_MS && gate->open_requests == 0
       && !caller_site_is_writing (&gate->front))
      || since >= last)
    ev_break (gate->loop, EVBREAK_ALL);
}

/* Answers the balancer's check.  */
static void *
on_ready (struct caller_site *site, struct caller *caller,
          struct http_head *head, GString *body)
{
  const struct gate *gate
      = (struct gate *)((char *)site - offsetof (struct gate, ready));
  int known = strcmp (http_head_url (head), gate->dialect->ready_path) == 0;

  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  if (!known)
    caller_answer (caller, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else
    caller_answer (caller,
                   gate_is_ready (gate) ? HTTP_STATUS_OK
                                        : HTTP_STATUS_SERVICE_UNAVAILABLE,
                   "", NULL, 0);
  return NULL;
}

/* Answers with the metrics.  */
static void *
on_metrics (struct caller_site *site, struct caller *caller,
            struct http_head *head, GString *body)
{
  const struct gate *gate
      = (struct gate *)((char *)site - offsetof (struct gate, metrics));
  GString *text;

  if (strcmp (http_head_url (head), "/metrics") != 0)
    caller_answer (caller, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
  else
    {
      text = gate_metrics (gate);
      caller_answer (caller, HTTP_STATUS_OK,
                     "Content-Type: text/plain; version=0.0.4\r\n", text->str,
                     text->len);
      g_string_free (text, TRUE);
    }
  http_head_free (head);
  if (body != NULL)
    g_string_free (body, TRUE);
  return NULL;
}

/* The readiness listener answers at once: nothing is left to end.  */
static void
on_nothing (struct caller_site *site, void *request)
{
  (void)site;
  (void)request;
}
