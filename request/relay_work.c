/* Work that a relayed request is for its target, and when the candidates would
   begin it (see work.c).  */
#include "ibisloom/log.h"
#include "librelay.h"

enum
{
  CONTEXT_MIN_TOKENS = 256 /* of a context that is copied; as source.c */
};

/* Holders of the context of a request that is being placed. */
struct holders
{
  uint32_t count;
  uint64_t target[AFFINITY_HOLDERS_MAX];
  uint32_t software_count;
  uint64_t software[AFFINITY_HOLDERS_MAX]; /* of those to be copied from */
};

static void find_holders (const struct relay *relay, clk_ms now,
                          struct holders *holders);
static enum work_access access_of (const struct holders *holders,
                                   const struct reg_target *target);
static struct work_prompt prompt_of (const struct relay *relay);

/* Estimates for the candidates in SELECTION when each would begin RELAY, if
   the settings say so.  */
void
relay_work_estimate (const struct relay *relay,
                     struct relay_selection *selection, clk_ms now)
{
  struct work_prompt prompt = prompt_of (relay);
  struct holders holders;

  if (!relay->router->settings->work_aware)
    return;
  find_holders (relay, now, &holders);
  selection->params.significant_ms
      = work_significant_ms (relay->route->objective_ms);
  selection->params.detour_ms = work_detour_ms (relay->route->objective_ms);
  for (size_t i = 0; i < selection->count; i++)
    {
      const struct reg_target *target = selection->targets[i];
      struct work_estimate estimate
          = work_estimate (&target->work, target->work_service, &prompt,
                           access_of (&holders, target), now);

      selection->candidates[i].begin_ms = estimate.begin_ms;
      selection->candidates[i].read_ms = estimate.read_ms;
    }
}

/* Returns the prompt of RELAY.  */
static struct work_prompt
prompt_of (const struct relay *relay)
{
  return (struct work_prompt){ .tokens = relay->prompt_tokens,
                               .context = MIN (relay->context_tokens,
                                               relay->prompt_tokens) };
}

/* Sets HOLDERS to the known holders of RELAY's context.  */
static void
find_holders (const struct relay *relay, clk_ms now, struct holders *holders)
{
  const struct affinity_holders *known
      = relay->context != 0
            ? affinity_find (relay->router->affinity, relay->context)
            : NULL;

  *holders = (struct holders){ .count = 0 };
  for (uint32_t i = 0; known != NULL && i < known->count; i++)
    {
      const struct reg_target *target
          = reg_find_hash (relay->router->registry, known->target[i]);

      holders->target[holders->count++] = known->target[i];
      if (target != NULL && relay->context_tokens >= CONTEXT_MIN_TOKENS
          && reg_doubt (target, now) != REG_UNREACHABLE
          && work_has_read (&target->work, relay->context_tokens, now))
        holders->software[holders->software_count++] = target->software;
    }
}

/* Returns how TARGET would come by the context that HOLDERS hold.  */
static enum work_access
access_of (const struct holders *holders, const struct reg_target *target)
{
  for (uint32_t i = 0; i < holders->count; i++)
    if (holders->target[i] == target->hash)
      return WORK_HOLDS;
  for (uint32_t i = 0; i < holders->software_count; i++)
    if (holders->software[i] == target->software)
      return WORK_COPIES;
  return WORK_READS;
}

/* Counts RELAY, whose current attempt is about to start at TARGET, which is
   told to copy the context from SOURCE unless that is NULL.  A source that is
   not known as a holder may not have the context; then TARGET reads it.  To be
   called before TARGET is recorded as a holder.  */
void
relay_work_start (struct relay *relay, struct reg_target *target,
                  const struct reg_target *source, clk_ms now)
{
  struct relay_attempt *attempt = &relay->attempt;
  struct work_prompt prompt = prompt_of (relay);
  struct holders holders;
  enum work_access access;

  attempt->work_tokens = 0;
  if (target->is_peer || !relay->router->settings->work_aware)
    return;
  find_holders (relay, now, &holders);
  access = access_of (&holders, target);
  if (access == WORK_COPIES && source == NULL)
    access = WORK_READS;
  attempt->work_tokens = work_unread_tokens (&prompt, access);
  attempt->work_ahead = work_start (&target->work, target->work_service,
                                    attempt->work_tokens, now);
  attempt->work_is_copied = access == WORK_COPIES;
  attempt->work_has_source = source != NULL;
  fleet_work_changed (relay->router->fleet, target);
}

/* Handles that the target of ATTEMPT, of an instance in FLEET, has read the
   prompt, or that the attempt has ended.  What is known of the service may be
   gone if the target was removed.  */
void
relay_work_end (struct fleet *fleet, struct relay_attempt *attempt)
{
  const struct work_speed unknown = { 0 };
  struct reg_target *target = attempt->target;

  if (attempt->work_tokens == 0)
    return;
  work_end (&target->work,
            target->registry != NULL ? target->work_service : &unknown,
            attempt->work_tokens, clk_now (clk_monotonic ()));
  attempt->work_tokens = 0;
  fleet_work_changed (fleet, target);
}

/* Returns how long targets of the service usually take to read what the target
   of ATTEMPT has to read of its prompt, or 0 if that is not known.  */
int64_t
relay_work_read_ms (const struct relay_attempt *attempt)
{
  const struct reg_target *target = attempt->target;
  double tokens_per_ms
      = target->registry != NULL ? target->work_service->tokens_per_ms : 0;

  return tokens_per_ms > 0
             ? (int64_t)((double)attempt->work_tokens / tokens_per_ms)
             : 0;
}

/* Handles the first event of the current attempt of RELAY.  How fast its
   target reads shows only if it has copied nothing, and read little of others
   before: what those have left is an estimate.  */
void
relay_work_first_event (struct relay *relay)
{
  struct relay_attempt *attempt = &relay->attempt;
  struct reg_target *target = attempt->target;
  clk_ms now = attempt->first_event_ms;

  if (attempt->work_tokens == 0)
    return;
  if (!attempt->work_is_copied && attempt->work_ahead <= attempt->work_tokens
      && target->registry != NULL)
    work_observe (&target->work, target->work_service,
                  (uint64_t)attempt->work_tokens + attempt->work_ahead,
                  now - attempt->sent_ms, attempt->work_has_source, now);
  relay_work_end (relay->router->fleet, attempt);
}

/* Records the LOAD that the target of RELAY has reported: how slow it is, and
   once that a figure in VALUE cannot be read.  */
void
relay_work_report (const struct relay *relay, const struct dialect_load *load,
                   const char *value)
{
  struct work *work = &relay->attempt.target->work;

  if (load->slowness > 0)
    work_report_slowness (work, load->slowness,
                          relay->attempt.last_received_ms);
  if (!load->has_unreadable || work->has_logged_field)
    return;
  work->has_logged_field = 1;
  relay_log_bad_field (relay, relay->attempt.target,
                       relay->router->dialect->field[DIALECT_TARGET_LOAD],
                       value);
}
