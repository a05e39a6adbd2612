/* What a request asks for: its route, customer, deadline and prompt.  */
#include <string.h>

#include "ibisloom/rank.h"
#include "librelay.h"

enum
{
  /* The last part of a prompt is specific to one request.  */
  UNSHARED_PARTS = 1,
  DECIMAL_BASE = 10,
  /* Time per token of an engine that is not overloaded.  */
  TOKEN_INTERVAL_MS = 4
};

/* Weight of the latest request in the mean size of contexts.  */
static const double CONTEXT_MEAN_WEIGHT = 0.02;

static int may_start (const struct relay *relay);
static int64_t expected_duration_ms (const struct relay *relay);
static int authenticate (struct relay *relay);
static uint32_t count_tokens (const GArray *prompt);
static void read_prompt (struct relay *relay, const GArray *prompt);
static void set_fingerprint (struct relay *relay, const char *host);

/* Looks up the route and the customer of RELAY in the configuration.
   Returns 1, or 0 with REFUSAL set if the request is to be refused.  */
int
relay_prepare (struct relay *relay, enum relay_refusal *refusal)
{
  struct router *router = relay->router;
  const char *const *field = router->dialect->field;
  const char *host = http_head_get (relay->head, "Host");

  relay->id = http_head_get (relay->head, field[DIALECT_ATTEMPT_ID]);
  *refusal = RELAY_NOT_CONFIGURED;
  if (!router_has_read_store (router))
    return 0;
  *refusal = RELAY_BAD_REQUEST;
  if (host == NULL || relay->id == NULL
      || http_head_count (relay->head, "Host") != 1
      || http_head_count (relay->head, field[DIALECT_ATTEMPT_ID]) != 1)
    return 0;
  relay->table = rt_ref (router->table);
  relay->route = rt_match (relay->table, host, http_head_url (relay->head));
  *refusal = RELAY_UNKNOWN_ROUTE;
  if (relay->route == NULL)
    return 0;
  *refusal = RELAY_UNKNOWN_KEY;
  if (!authenticate (relay))
    return 0;
  relay_urgency_decide (relay);
  relay->deadline_ms = relay_read_deadline (relay, relay->route->timeout_ms);
  relay_read_content (relay, host);
  *refusal = RELAY_STOPPING;
  if (!may_start (relay))
    return 0;
  relay_origin_read (relay);
  return 1;
}

/* Returns whether RELAY may be started though a shutdown may be going on.  */
static int
may_start (const struct relay *relay)
{
  struct router_request request
      = { .expected_ms = expected_duration_ms (relay),
          .deadline_ms = relay->deadline_ms,
          .must_end = (uint8_t)(!rt_repeatable (relay->route)
                                || relay->route->kind == RT_STREAM) };

  return router_may_start (relay->router, &request);
}

/* Estimates the duration of RELAY, in milliseconds.  */
static int64_t
expected_duration_ms (const struct relay *relay)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (relay->head, dialect->field[DIALECT_TOKEN_USAGE]);
  int64_t tokens_out;

  if (relay->route->kind != RT_STREAM || value == NULL
      || dialect->tokens_out (value, &tokens_out) != 0)
    return relay->route->objective_ms;
  return relay->route->objective_ms + tokens_out * TOKEN_INTERVAL_MS;
}

/* Looks up the customer by the request's API key.  Returns whether the
   request is authorized: no request needs a key, the key is known, or the
   route needs none.  */
static int
authenticate (struct relay *relay)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *credential
      = http_head_get (relay->head, dialect->field[DIALECT_CREDENTIAL]);
  const char *key = credential ? dialect->key (credential) : NULL;

  if (!relay->table->needs_key)
    return 1;
  if (key != NULL)
    relay->customer = rt_customer (relay->table, key);
  return relay->customer != NULL || relay->route->allows_anonymous;
}

/* Returns RELAY's deadline, the earlier of the client's and that of its route,
   which is TIMEOUT_MS after its arrival, 0 for none.  */
clk_ms
relay_read_deadline (const struct relay *relay, int64_t timeout_ms)
{
  const char *value = http_head_get (
      relay->head, relay->router->dialect->field[DIALECT_DEADLINE_MS]);
  int64_t ms = value ? g_ascii_strtoll (value, NULL, DECIMAL_BASE) : INT64_MAX;

  if (timeout_ms > 0 && timeout_ms < ms)
    ms = timeout_ms;
  return ms < INT64_MAX ? relay->arrived_ms + ms : INT64_MAX;
}

/* Reads what identifies RELAY, a request to HOST: its prompt, and a
   fingerprint of all of it.  */
void
relay_read_content (struct relay *relay, const char *host)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (relay->head, dialect->field[DIALECT_PROMPT_PARTS]);
  GArray *prompt = g_array_new (FALSE, FALSE, sizeof (struct dialect_part));

  if (value != NULL && dialect->prompt (value, prompt) != 0)
    g_array_set_size (prompt, 0);
  relay->prompt_tokens = count_tokens (prompt);
  if (prompt->len > UNSHARED_PARTS)
    relay->part_count = prompt->len - UNSHARED_PARTS;
  relay->parts = g_new (uint64_t, relay->part_count + 1);
  if (relay->part_count > 0)
    read_prompt (relay, prompt);
  g_array_free (prompt, TRUE);
  set_fingerprint (relay, host);
  relay->parts[relay->part_count] = relay->fingerprint;
}

/* Returns the tokens of all parts of PROMPT, a client's words, within what is
   counted.  */
static uint32_t
count_tokens (const GArray *prompt)
{
  uint64_t tokens = 0;

  for (guint i = 0; i < prompt->len; i++)
    tokens += g_array_index (prompt, struct dialect_part, i).tokens;
  return (uint32_t)MIN (tokens, WORK_TOKENS_MAX);
}

/* Keeps the shared parts of PROMPT, RELAY's, which are all but the last,
   hashes them and sums up their tokens.  */
static void
read_prompt (struct relay *relay, const GArray *prompt)
{
  for (uint32_t i = 0; i < relay->part_count; i++)
    {
      const struct dialect_part *part
          = &g_array_index (prompt, struct dialect_part, i);

      relay->parts[i] = part->id & ~QUAR_REQUEST_BIT;
      relay->context = rank_mix (relay->context, part->id);
      relay->context_tokens += part->tokens;
      if (part->tokens >= HELD_TOKENS_MIN)
        relay->held_key = (struct held_key){ .last = relay->parts[i],
                                             .before = relay->held_key.last };
    }
  relay->router->context_tokens_mean
      += (relay->context_tokens - relay->router->context_tokens_mean)
         * CONTEXT_MEAN_WEIGHT;
}

/* Sets the fingerprint of RELAY, a request to HOST: a request that comes again
   has the same one, whatever its attempt id.  */
static void
set_fingerprint (struct relay *relay, const char *host)
{
  uint64_t path = rank_hash_parts (relay->head->method, host,
                                   http_head_url (relay->head));
  uint64_t caller
      = relay->customer != NULL ? rank_hash (relay->customer->name) : 0;
  uint64_t body = relay->body != NULL
                      ? rank_hash_bytes (relay->body->str, relay->body->len)
                      : 0;

  relay->fingerprint
      = rank_mix (rank_mix (path, caller), body) | QUAR_REQUEST_BIT;
}
