/* Target of the next attempt of a relayed request. */
#include "librelay.h"

/* Targets that may be sent a request, each kind with those before it.  */
enum admission
{
  ADMIT_SURE,  /* whose version is not in doubt, and noted in the store */
  ADMIT_ALL,   /* to which no attempt was made */
  ADMIT_TRIED, /* that were sent the request before */
  /* For a stream that has begun: those over the load bound, and suspended ones
     that may be reached.  */
  ADMIT_FULL
};

static int admit_candidates (const struct relay *relay,
                             const struct relay_selection *selection,
                             enum admission admission, clk_ms now);
static int is_admitted (const struct relay *relay,
                        const struct reg_target *target,
                        enum admission admission, clk_ms now);
static int is_sure (const struct relay *relay, const struct reg_target *target,
                    clk_ms now);
static int is_live (const struct relay *relay, uint64_t id);
static double rate_min (const struct relay *relay);
static uint8_t may_try (const struct relay *relay);
static int contains_id (const uint64_t *ids, uint32_t count, uint64_t id);

/* Returns the target for RELAY's next attempt, or NULL.  CHOICE receives the
   reason, and COUNT the number of candidates.  */
struct reg_target *
relay_choose_target (const struct relay *relay, clk_ms now,
                     struct bal_choice *choice, size_t *count)
{
  struct relay_selection selection;
  struct reg_target *target;

  relay_select_list (relay, now, &selection);
  relay_wait_note_limits (relay, &selection, now);
  *count = selection.count;
  target = relay_select_pick (relay, now, &selection, choice);
  if (target != NULL)
    target->load_limit = choice->limit;
  return target;
}

/* Sets SELECTION to the candidates for RELAY's next attempt at NOW and to what
   decides among them.  They are kept until the next call.  */
void
relay_select_list (const struct relay *relay, clk_ms now,
                   struct relay_selection *selection)
{
  static struct bal_candidate candidates[BAL_CANDIDATES_MAX];
  static struct reg_target *targets[BAL_CANDIDATES_MAX];
  struct router *router = relay->router;
  struct bal_params params
      = { .context = relay->context,
          .cap_factor
          = relay->route->has_context ? router->settings->cap_factor : 0,
          .cap_slack = router->settings->cap_slack,
          .rate_min = rate_min (relay),
          .may_try = may_try (relay),
          .prefers_local
          = router->settings->local_context_tokens > 0
            && relay->context_tokens <= router->settings->local_context_tokens,
          .random = g_rand_int (router->random) };

  selection->candidates = candidates;
  selection->targets = targets;
  selection->count = reg_candidates (router->registry, relay->service,
                                     router->failure_domain, now, candidates,
                                     targets, BAL_CANDIDATES_MAX);
  relay_wait_limit (relay, selection, now);
  params.evacuated_count = reg_count_evacuated (
      router->registry, relay->service, &params.evacuated_load);
  if (relay->context != 0)
    params.holders = affinity_find (router->affinity, relay->context);
  selection->params = params;
  relay_work_estimate (relay, selection, now);
}

/* Returns the target in SELECTION for RELAY's next attempt at NOW, or NULL,
   and describes it in CHOICE.  Leaves the admission of the candidates and the
   parameters in SELECTION as they were last used.  Targets that were sent the
   request before are considered only if no other one is left.  */
struct reg_target *
relay_select_pick (const struct relay *relay, clk_ms now,
                   struct relay_selection *selection,
                   struct bal_choice *choice)
{
  enum admission last = relay->software != 0 ? ADMIT_FULL : ADMIT_TRIED;

  for (enum admission admission = ADMIT_SURE; admission <= last; admission++)
    {
      int any = admit_candidates (relay, selection, admission, now);

      selection->params.is_pinned = admission == ADMIT_FULL;
      if (!any && admission != ADMIT_SURE && admission != ADMIT_FULL)
        continue;
      if (bal_pick (&selection->params, selection->candidates,
                    selection->count, choice))
        return selection->targets[choice->index];
    }
  return NULL;
}

/* Returns how many tokens a target with a rate limit must have to be sent
   RELAY.  Requests with a large context gain most by a target that holds it,
   so some tokens are kept for them.  */
static double
rate_min (const struct relay *relay)
{
  return relay->context_tokens > relay->router->context_tokens_mean
             ? 1
             : 1 + RATE_RESERVE;
}

/* Returns whether RELAY may be sent to a target that failed before: if it
   fails again, another target can serve RELAY.  */
static uint8_t
may_try (const struct relay *relay)
{
  return relay->sends == 0 && relay->connect_failures == 0
         && relay->software == 0 && rt_repeatable (relay->route)
         && relay->route->attempts_max > 1
         && router_may_retry (relay->router, relay->service);
}

/* Excludes the candidates in SELECTION that ADMISSION does not allow RELAY at
   NOW.  Returns whether there is one that is allowed now and was not before.
 */
static int
admit_candidates (const struct relay *relay,
                  const struct relay_selection *selection,
                  enum admission admission, clk_ms now)
{
  int any = 0;

  for (size_t i = 0; i < selection->count; i++)
    {
      struct bal_candidate *candidate = &selection->candidates[i];
      uint8_t excluded
          = !is_admitted (relay, selection->targets[i], admission, now);

      any |= candidate->excluded && !excluded;
      candidate->excluded = excluded;
    }
  return any;
}

/* Returns whether ADMISSION allows RELAY at TARGET at NOW.  Once RELAY was
   sent to as many targets as its route allows, only these remain.  */
static int
is_admitted (const struct relay *relay, const struct reg_target *target,
             enum admission admission, clk_ms now)
{
  int only_tried = relay->tried_count >= relay->route->attempts_max;
  int was_tried = contains_id (relay->tried, relay->tried_count, target->hash);

  if (!relay_origin_fits (relay, target) || is_live (relay, target->hash)
      || contains_id (relay->unreachable, relay->unreachable_count,
                      target->hash))
    return 0;
  if (relay->software != 0 && reg_doubt (target, now) == REG_UNREACHABLE)
    return 0;
  if (was_tried != only_tried && !(was_tried && admission >= ADMIT_TRIED))
    return 0;
  return admission > ADMIT_SURE || is_sure (relay, target, now);
}

/* Returns whether it is sure at NOW that TARGET has the version that its entry
   names, if RELAY goes on with a stream, or that all instances will know of
   its version, if RELAY may begin one, and the store of no other one.  */
static int
is_sure (const struct relay *relay, const struct reg_target *target,
         clk_ms now)
{
  if (relay->software != 0)
    return reg_doubt (target, now) == REG_SURE;
  if (relay->expected != 0 && relay->expected != target->software)
    return 0;
  return relay->route->kind != RT_STREAM || !relay->route->is_resumable
         || fleet_software_is_noted (relay->router->fleet, target->software);
}

/* Returns whether the target ID still works on RELAY.  */
static int
is_live (const struct relay *relay, uint64_t id)
{
  return relay->attempt.target != NULL && relay->attempt.target->hash == id;
}

/* Returns whether all targets that RELAY may be sent to are in evacuated
   failure domains, and there is one.  */
int
relay_is_evacuated (const struct relay *relay)
{
  const struct registry *registry = relay->router->registry;
  int any = 0;

  if (!reg_has_evacuated (registry))
    return 0;
  for (guint i = 0; i < registry->array->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (registry->array, i);

      if (target->service != relay->service || target->leaving
          || target->is_withheld || !relay_origin_fits (relay, target))
        continue;
      if (!target->is_evacuated)
        return 0;
      any = 1;
    }
  return any;
}

/* Counts the current target as one that may have received RELAY.  */
void
relay_mark_tried (struct relay *relay)
{
  uint64_t id = relay->attempt.target->hash;

  relay->attempt.is_first_send
      = relay->tried_count < RELAY_TRIED_MAX
        && !contains_id (relay->tried, relay->tried_count, id);
  if (relay->attempt.is_first_send)
    relay->tried[relay->tried_count++] = id;
}

/* Counts the current target as unreachable, and no longer as tried unless it
   received RELAY in an earlier attempt.  */
void
relay_mark_unreachable (struct relay *relay)
{
  uint64_t id = relay->attempt.target->hash;

  if (relay->attempt.is_first_send)
    relay->tried_count--;
  if (relay->unreachable_count < RELAY_TRIED_MAX)
    relay->unreachable[relay->unreachable_count++] = id;
}

/* Returns whether ID is one of the COUNT IDS.  */
static int
contains_id (const uint64_t *ids, uint32_t count, uint64_t id)
{
  for (uint32_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}
