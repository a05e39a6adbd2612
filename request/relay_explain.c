/* Explains where a request would go now, and why.

   The request that a question describes is built as its client would send it,
   and goes through the functions that decide for requests: the matching of
   routes, the key, the admission queue, the candidates and the choice. Nothing
   is sent, counted or recorded.  The generator of random numbers is replaced
   by a copy meanwhile, so that the next request draws what was drawn here.  */
#include <math.h>
#include <string.h>

#include <jansson.h>

#include "librelay.h"

/* What is found out about one request. */
struct explanation
{
  struct relay relay;
  clk_ms now_ms;
  uint8_t is_selected; /* SELECTION is set */
  struct relay_selection selection;
  struct bal_choice choice;
  const struct reg_target *target; /* NULL: none was chosen */
  struct relay_wait_forecast forecast;
  const char *outcome;
  uint8_t is_refused;
  enum relay_refusal refusal;
};

static struct http_head *build_head (const struct dialect *dialect,
                                     const struct http_head *question);
static GHashTable *read_parameters (const struct http_head *question);
static int is_clean (const char *value, char lowest);
static struct http_head *parse_head (const char *text);
static int on_head (struct http_reader *reader);
static int on_data (struct http_reader *reader, const char *data,
                    size_t length);
static void decide (struct explanation *explanation);
static void decide_service (struct explanation *explanation);
static void choose (struct explanation *explanation);
static void decide_outcome (struct explanation *explanation);
static void refuse (struct explanation *explanation,
                    enum relay_refusal refusal);
static json_t *describe (const struct explanation *explanation);
static json_t *describe_refusal (const struct explanation *explanation);
static json_t *describe_wait (const struct explanation *explanation);
static json_t *describe_choice (const struct explanation *explanation);
static json_t *describe_candidates (const struct explanation *explanation);
static json_t *describe_candidate (const struct explanation *explanation,
                                   size_t index);
static json_t *describe_left_out (const struct explanation *explanation);
static const char *left_out_reason (const struct reg_target *target);
static json_t *describe_ages (const struct explanation *explanation);
static json_t *real (double value);
static json_t *text (const char *value);

static const char *const health_names[] = { [HEALTH_USABLE] = "usable",
                                            [HEALTH_TRIAL] = "trial",
                                            [HEALTH_DOUBTED] = "doubted",
                                            [HEALTH_SUSPENDED] = "suspended" };

static const struct http_reader_ops reader_ops = { on_head, on_data, NULL };

/* Returns as JSON, to be freed, where ROUTER would send the request that
   QUESTION describes in its query, with the client's key in its head.  Returns
   NULL if QUESTION describes none.  */
char *
relay_explain (struct router *router, const struct http_head *question)
{
  struct explanation explanation = { .outcome = "sent" };
  struct relay *relay = &explanation.relay;
  struct http_head *head = build_head (router->dialect, question);
  GRand *kept_random = router->random;
  double kept_mean = router->context_tokens_mean;
  json_t *json;
  char *out;

  if (head == NULL)
    return NULL;
  router->random = g_rand_copy (kept_random);
  relay_init (relay, router, head);
  explanation.now_ms = relay->arrived_ms;
  decide (&explanation);
  json = describe (&explanation);
  out = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  g_rand_free (router->random);
  router->random = kept_random;
  router->context_tokens_mean = kept_mean;
  rt_unref (relay->table);
  g_free (relay->parts);
  http_head_free (head);
  return out;
}

/* Returns the head of the request that QUESTION describes, or NULL.  */
static struct http_head *
build_head (const struct dialect *dialect, const struct http_head *question)
{
  const char *const *field = dialect->field;
  const char *credential = http_head_get (question, field[DIALECT_CREDENTIAL]);
  GHashTable *parameters = read_parameters (question);
  const char *method = g_hash_table_lookup (parameters, "method");
  const char *host = g_hash_table_lookup (parameters, "host");
  const char *path = g_hash_table_lookup (parameters, "path");
  const char *prompt = g_hash_table_lookup (parameters, "prompt");
  struct http_head *head = NULL;
  GString *out = g_string_new (NULL);

  if (method != NULL && host != NULL && path != NULL && is_clean (method, '!')
      && is_clean (host, '!') && is_clean (path, '!') && path[0] == '/'
      && (prompt == NULL || is_clean (prompt, ' '))
      && (credential == NULL || is_clean (credential, ' ')))
    {
      g_string_printf (out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: explained\r\n",
                       method, path, host, field[DIALECT_ATTEMPT_ID]);
      if (prompt != NULL)
        g_string_append_printf (out, "%s: %s\r\n", field[DIALECT_PROMPT_PARTS],
                                prompt);
      if (credential != NULL)
        g_string_append_printf (out, "%s: %s\r\n", field[DIALECT_CREDENTIAL],
                                credential);
      g_string_append (out, "\r\n");
      head = parse_head (out->str);
    }
  g_string_free (out, TRUE);
  g_hash_table_destroy (parameters);
  return head;
}

/* Returns the parameters in the query of QUESTION; none if it cannot be
   read.  */
static GHashTable *
read_parameters (const struct http_head *question)
{
  const char *query = strchr (http_head_url (question), '?');
  GHashTable *parameters = g_uri_parse_params (
      query != NULL ? query + 1 : "", -1, "&", G_URI_PARAMS_NONE, NULL);

  return parameters != NULL ? parameters
                            : g_hash_table_new (g_str_hash, g_str_equal);
}

/* Returns whether VALUE has no character below LOWEST, and so cannot end its
   place in a head.  */
static int
is_clean (const char *value, char lowest)
{
  for (const char *at = value; *at != '\0'; at++)
    if ((unsigned char)*at < (unsigned char)lowest)
      return 0;
  return *value != '\0';
}

/* Returns the parsed head TEXT, or NULL if it is malformed.  */
static struct http_head *
parse_head (const char *text)
{
  struct http_reader reader;
  struct http_head *head = NULL;
  size_t used;

  http_reader_init (&reader, &reader_ops, 0, HTTP_HEAD_MAX_BYTES);
  if (http_reader_feed (&reader, text, strlen (text), &used)
      == HTTP_READ_COMPLETE)
    {
      head = reader.head;
      reader.head = NULL;
    }
  http_reader_clear (&reader);
  return head;
}

static int
on_head (struct http_reader *reader)
{
  (void)reader;
  return 0;
}

static int
on_data (struct http_reader *reader, const char *data, size_t length)
{
  (void)reader;
  (void)data;
  (void)length;
  return 0;
}

/* Decides on the request of EXPLANATION as on a new one of a client.  */
static void
decide (struct explanation *explanation)
{
  enum relay_refusal refusal;

  if (!relay_prepare (&explanation->relay, &refusal))
    refuse (explanation, refusal);
  else
    decide_service (explanation);
}

/* Chooses the service and the target, and decides whether the request would be
   sent.  Datagrams that have arrived are handled first, as for a request.  */
static void
decide_service (struct explanation *explanation)
{
  struct relay *relay = &explanation->relay;
  struct router *router = relay->router;

  relay->service = rt_pick_service (relay->route, g_rand_int (router->random));
  if (relay->service == NULL)
    {
      refuse (explanation, RELAY_NO_TARGET);
      return;
    }
  fleet_hear_loads (router->fleet);
  relay_wait_foresee (relay, NULL, explanation->now_ms,
                      &explanation->forecast);
  choose (explanation);
  if (explanation->forecast.step == RELAY_WAIT_GOES_ON
      && explanation->target == NULL)
    relay_wait_foresee (relay, &explanation->choice, explanation->now_ms,
                        &explanation->forecast);
  decide_outcome (explanation);
}

/* Chooses the target as relay_pick does for a first attempt.  */
static void
choose (struct explanation *explanation)
{
  struct relay *relay = &explanation->relay;

  explanation->choice
      = (struct bal_choice){ .reason = BAL_NO_TARGET, .limit = INFINITY };
  relay_select_list (relay, explanation->now_ms, &explanation->selection);
  explanation->is_selected = 1;
  if (relay_is_evacuated (relay))
    explanation->choice.reason = BAL_ALL_EVACUATED;
  else
    explanation->target
        = relay_select_pick (relay, explanation->now_ms,
                             &explanation->selection, &explanation->choice);
}

/* Decides what becomes of the request, whose target and wait are known.  While
   this instance is cut off from the service, requests go through another one,
   which chooses the target.  */
static void
decide_outcome (struct explanation *explanation)
{
  struct relay *relay = &explanation->relay;
  const struct bal_choice *choice = &explanation->choice;
  enum reach_state reach = router_reach_state (relay->router, relay->service);

  if (explanation->forecast.step == RELAY_WAIT_REFUSED)
    {
      relay->retry_after_ms = explanation->forecast.retry_after_ms;
      refuse (explanation, explanation->forecast.refusal);
    }
  else if (explanation->forecast.step == RELAY_WAIT_QUEUED)
    explanation->outcome = "queued";
  else if (choice->reason == BAL_ALL_EVACUATED)
    refuse (explanation, RELAY_EVACUATED);
  else if (reach == REACH_CUT_OFF)
    explanation->outcome = "through_instance";
  else if (reach == REACH_SUSPECT && explanation->target == NULL
           && choice->reason == BAL_NO_TARGET)
    explanation->outcome = "awaits_reach";
  else if (explanation->target == NULL)
    refuse (explanation, relay_refusal_of (relay, choice));
  else if (!fleet_would_admit_parts (relay->router->fleet, relay->parts,
                                     relay->part_count + 1,
                                     &relay->retry_after_ms))
    refuse (explanation, RELAY_QUARANTINED);
}

static void
refuse (struct explanation *explanation, enum relay_refusal refusal)
{
  explanation->outcome = "refused";
  explanation->is_refused = 1;
  explanation->refusal = refusal;
}

/* Returns EXPLANATION as JSON.  The key of the request is not in it.  */
static json_t *
describe (const struct explanation *explanation)
{
  const struct relay *relay = &explanation->relay;
  json_t *json = json_pack (
      "{s:s,s:o,s:o,s:o,s:i,s:i}", "outcome", explanation->outcome, "route",
      text (relay->route != NULL ? relay->route->name : NULL), "service",
      text (relay->service), "customer",
      text (relay->customer != NULL ? relay->customer->name : NULL),
      "shared_parts", (int)relay->part_count, "shared_tokens",
      (int)relay->context_tokens);

  json_object_set_new (json, "priority",
                       relay->route == NULL
                           ? json_null ()
                           : json_integer (relay->urgency >= 0
                                               ? relay->urgency
                                               : TURN_PRIORITY_DEFAULT));
  if (explanation->is_refused)
    json_object_set_new (json, "refusal", describe_refusal (explanation));
  if (explanation->forecast.step != RELAY_WAIT_GOES_ON)
    json_object_set_new (json, "wait", describe_wait (explanation));
  if (explanation->is_selected)
    {
      json_object_set_new (json, "choice", describe_choice (explanation));
      json_object_set_new (json, "candidates",
                           describe_candidates (explanation));
      json_object_set_new (json, "left_out", describe_left_out (explanation));
    }
  json_object_set_new (json, "ages", describe_ages (explanation));
  return json;
}

/* Returns how the request is refused.  */
static json_t *
describe_refusal (const struct explanation *explanation)
{
  const struct relay_refusal_rule *rule
      = relay_refusal_rule (explanation->refusal);
  int64_t jitter_ms;
  int64_t wait_ms = relay_retry_after_ms (&explanation->relay,
                                          explanation->refusal, &jitter_ms);

  return json_pack ("{s:s,s:i,s:I,s:I}", "reason", rule->name, "status",
                    (int)rule->status, "retry_after_ms", (json_int_t)wait_ms,
                    "retry_after_max_ms", (json_int_t)wait_ms + jitter_ms);
}

/* Returns what is known of the wait in the queue of the service.  */
static json_t *
describe_wait (const struct explanation *explanation)
{
  const struct wait_view *view = &explanation->forecast.view;

  return json_pack ("{s:i,s:I,s:f,s:I}", "ahead", (int)view->ahead,
                    "expected_ms", (json_int_t)view->expected_ms, "per_s",
                    view->per_s, "level_age_ms",
                    (json_int_t)view->level_age_ms);
}

static json_t *
describe_choice (const struct explanation *explanation)
{
  const struct relay *relay = &explanation->relay;
  const struct bal_choice *choice = &explanation->choice;

  return json_pack (
      "{s:o,s:s,s:o,s:o,s:b,s:o,s:s}", "target",
      text (explanation->target != NULL ? explanation->target->id : NULL),
      "reason", bal_reason_names[choice->reason], "mean_load",
      real (choice->mean), "limit", real (choice->limit), "ignored_pace",
      (int)choice->ignored_pace, "first_holder",
      text (relay->context != 0 ? bal_skip_names[choice->skip] : NULL),
      "reach",
      reach_state_names[router_reach_state (relay->router, relay->service)]);
}

static json_t *
describe_candidates (const struct explanation *explanation)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < explanation->selection.count; i++)
    json_array_append_new (list, describe_candidate (explanation, i));
  return list;
}

/* Returns the candidate INDEX, with what closes it to the request.  A target
   that was chosen for its trial is not closed.  */
static json_t *
describe_candidate (const struct explanation *explanation, size_t index)
{
  const struct relay_selection *selection = &explanation->selection;
  const struct bal_candidate *candidate = &selection->candidates[index];
  const struct reg_target *target = selection->targets[index];
  int is_chosen
      = explanation->target != NULL && explanation->choice.index == index;
  enum bal_skip skip
      = is_chosen
            ? BAL_SKIP_NONE
            : bal_skip_reason (&selection->params, selection->candidates,
                               selection->count, &explanation->choice, index);

  return json_pack (
      "{s:s,s:s,s:f,s:i,s:s,s:f,s:b,s:o,s:o,s:b,s:b,s:f,s:I,s:f,s:I,s:o,s:b}",
      "target", target->id, "failure_domain", target->failure_domain, "load",
      candidate->load, "slots", (int)candidate->slots, "health",
      health_names[candidate->state], "error_rate", candidate->error_rate,
      "local", (int)candidate->local, "pace",
      real (pace_limit (&target->pace, explanation->now_ms)), "rate_tokens",
      real (candidate->rate_limited ? candidate->rate_tokens : INFINITY),
      "cold", (int)candidate->is_cold, "warming_up",
      (int)candidate->warming_up, "begin_ms", candidate->begin_ms,
      "begin_age_ms",
      (json_int_t)work_age_ms (&target->work, explanation->now_ms), "slowness",
      work_slowness (&target->work, explanation->now_ms), "pause_left_ms",
      (json_int_t)pause_left_ms (&target->notice, explanation->now_ms),
      "closed_by", text (skip != BAL_SKIP_NONE ? bal_skip_names[skip] : NULL),
      "chosen", is_chosen);
}

/* Returns the targets of the service that are no candidates.  The candidates
   are in the order of the registry.  */
static json_t *
describe_left_out (const struct explanation *explanation)
{
  const struct relay_selection *selection = &explanation->selection;
  const GPtrArray *targets = explanation->relay.router->registry->array;
  json_t *list = json_array ();
  size_t next = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);

      if (target->service != explanation->relay.service)
        continue;
      if (next < selection->count && selection->targets[next] == target)
        next++;
      else
        json_array_append_new (
            list, json_pack ("{s:s,s:s,s:s}", "target", target->id,
                             "failure_domain", target->failure_domain,
                             "reason", left_out_reason (target)));
    }
  return list;
}

/* Returns why reg_candidates leaves TARGET out.  */
static const char *
left_out_reason (const struct reg_target *target)
{
  if (target->entry_leaving)
    return "leaving";
  if (target->is_withheld)
    return "withheld";
  return target->is_evacuated ? "evacuated" : "missing";
}

/* Returns how old the inputs are; -1 stands for none.  */
static json_t *
describe_ages (const struct explanation *explanation)
{
  const struct router *router = explanation->relay.router;
  clk_ms now = explanation->now_ms;
  clk_ms heard_ms
      = MAX (router->targets.last_response_ms, router->informed_ms);

  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I}", "loads_ms",
      (json_int_t)fleet_loads_age_ms (router->fleet), "configuration_ms",
      (json_int_t)(router->table != NULL ? now - router->table_ms : -1),
      "configuration_version",
      (json_int_t)(router->table != NULL ? router->table->version : 0),
      "registry_ms", (json_int_t)(heard_ms != 0 ? now - heard_ms : -1),
      "registry_revision", (json_int_t)router->known.targets.revision);
}

/* Returns VALUE as JSON, null if it is infinite.  */
static json_t *
real (double value)
{
  return isfinite (value) ? json_real (value) : json_null ();
}

static json_t *
text (const char *value)
{
  return value != NULL ? json_string (value) : json_null ();
}
