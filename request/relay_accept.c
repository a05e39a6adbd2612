/* Requests of other instances, which are cut off from the targets.  What
   depends on the configuration, the sender has decided; this instance makes
   the attempts, as for requests of its own.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/metrics.h"
#include "librelay.h"

enum
{
  /* The sender takes this instance for lost after the third of its questions,
     500 ms apart, has no answer, and has the request run elsewhere.  When the
     two no longer hear each other, both times begin at that moment.  */
  SENDER_SILENT_MS = 1200,
  SENDER_CHECK_MS = 100
};

static int is_from_instance (const struct router *router,
                             const struct client *client,
                             const struct hop_mark *mark);
static int prepare (struct relay *relay, enum relay_refusal *refusal);
static void watch_sender (struct relay *relay);
static void on_sender_timer (struct ev_loop *loop, ev_timer *timer,
                             int events);
static void apply_mark (struct relay *relay, const char *service);

/* Handles a request of another instance, which is CLIENT.  Returns the relay,
   or NULL if the response was sent.  */
void *
relay_accept_hop (struct router *router, struct client *client,
                  struct http_head *head, GString *body)
{
  struct hop_mark mark;
  struct relay *relay;
  enum relay_refusal refusal;

  if (hop_mark_parse (http_head_get (head, hop_field), &mark) != 0
      || !is_from_instance (router, client, &mark))
    {
      metric_inc (METRIC_PEER_DENIED);
      client_respond (client, HTTP_STATUS_NOT_FOUND, "", NULL, 0);
      http_head_free (head);
      if (body != NULL)
        g_string_free (body, TRUE);
      return NULL;
    }
  metric_inc (METRIC_HOPS_RECEIVED);
  router->open_hops++;
  relay = relay_new (router, client, head, body);
  relay->hop = g_new0 (struct relay_hop, 1);
  relay->hop->mark = mark;
  if (!prepare (relay, &refusal))
    {
      relay_refuse (relay, refusal);
      return NULL;
    }
  if (!mark.is_counted)
    relay_count (relay);
  relay->is_counted = 1;
  relay_adopt_holders (relay);
  watch_sender (relay);
  relay_dispatch (relay);
  return relay;
}

/* Has RELAY end if its sender is no longer heard, where the sender may have it
   run by another instance then.  */
static void
watch_sender (struct relay *relay)
{
  static const double interval_s = (double)SENDER_CHECK_MS / CLK_MS_PER_S;
  ev_timer *timer = &relay->hop->sender_timer;

  ev_timer_init (timer, on_sender_timer, interval_s, interval_s);
  timer->data = relay;
  if (rt_repeatable (relay->route))
    ev_timer_start (relay->router->loop, timer);
}

/* Ends the request whose timer this is, if its sender has been silent for too
   long: its response no longer arrives, and no other target may work on it
   beside this one.  */
static void
on_sender_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct relay *relay = timer->data;
  struct client *client = relay->client;

  (void)loop;
  (void)events;
  if (fleet_peer_silent_ms (relay->router->fleet, relay->hop->mark.sender)
          < SENDER_SILENT_MS
      || client == NULL)
    return;
  metric_inc (METRIC_HOPS_ABANDONED);
  relay->client = NULL;
  client_abort_response (client);
  relay_finish (relay, "sender_lost");
}

/* Frees what RELAY has as a request of another instance, if it is one.  */
void
relay_accept_end (struct relay *relay)
{
  if (relay->hop == NULL)
    return;
  ev_timer_stop (relay->router->loop, &relay->hop->sender_timer);
  relay->router->open_hops--;
  g_free (relay->hop);
  relay->hop = NULL;
}

/* Returns whether CLIENT is the instance that MARK names: it is known, has
   connected from its address, and knows what was told to instances only.  */
static int
is_from_instance (const struct router *router, const struct client *client,
                  const struct hop_mark *mark)
{
  const struct sockaddr_in *address
      = fleet_peer_address (router->fleet, mark->sender);

  return mark->token == router->hop_token && address != NULL
         && client_is_at (client, address->sin_addr);
}

/* Prepares RELAY.  Returns 1, or 0 with REFUSAL set.  */
static int
prepare (struct relay *relay, enum relay_refusal *refusal)
{
  struct router *router = relay->router;
  GQuark service = g_quark_try_string (relay->hop->mark.service);
  const char *host = http_head_get (relay->head, "Host");

  relay->id = http_head_get (relay->head,
                             router->dialect->field[DIALECT_ATTEMPT_ID]);
  *refusal = RELAY_BAD_REQUEST;
  if (relay->id == NULL || host == NULL)
    return 0;
  *refusal = RELAY_STOPPING;
  if (!router_is_ready (router))
    return 0;
  *refusal = RELAY_ALL_FULL;
  if (router->open_hops > HOPS_OPEN_MAX)
    return 0;
  *refusal = RELAY_NO_TARGET;
  if (service == 0)
    return 0;
  relay->table = rt_ref (router->table);
  apply_mark (relay, g_quark_to_string (service));
  relay_urgency_read (relay);
  relay->deadline_ms = relay_read_deadline (relay, 0);
  relay_read_content (relay, host);
  return 1;
}

/* Makes what the sender of RELAY has decided for SERVICE its own.  */
static void
apply_mark (struct relay *relay, const char *service)
{
  struct relay_hop *hop = relay->hop;
  const struct hop_mark *mark = &hop->mark;
  struct rt_route *route = &hop->route;

  route->name = (char *)(uintptr_t) "hop";
  route->kind = mark->kind;
  route->objective_ms = mark->objective_ms;
  route->pause_ms = mark->pause_ms;
  route->attempts_max = mark->attempts_max;
  route->is_resumable = mark->is_resumable;
  route->has_context = mark->has_context;
  route->split = hop->split;
  route->split_count = mark->is_split ? RELAY_HOP_SPLITS : 1;
  for (uint32_t i = 0; i < route->split_count; i++)
    route->split[i] = (struct rt_split){ service, 1 };
  hop->customer.name = hop->mark.customer;
  relay->route = route;
  relay->service = service;
  relay->customer = hop->mark.customer[0] != '\0' ? &hop->customer : NULL;
  relay->software = mark->software;
  relay->stream = mark->stream;
  relay->takes_up = mark->takes_up;
}

/* Appends to OUT, fields of the response of a target to RELAY, which version
   that has.  */
void
relay_accept_append_software (const struct relay *relay, GString *out)
{
  g_string_append_printf (out, "%s: %" PRIx64 "\r\n", hop_field,
                          relay_origin_of_attempt (relay));
}

/* Appends to OUT, fields of a response to RELAY, that this instance and no
   target made it.  */
void
relay_accept_append_refused (const struct relay *relay, GString *out)
{
  metric_inc (METRIC_HOPS_REFUSED);
  g_string_append_printf (out, "%s: %s\r\n", hop_field, hop_refused);
  if (relay->id != NULL)
    g_string_append_printf (out, "%s: %s\r\n",
                            relay->router->dialect->field[DIALECT_ATTEMPT_ID],
                            relay->id);
}
