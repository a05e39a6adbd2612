/* Health checks, load balancing, read timeout, affinity and the registry of
   targets. */
#include <arpa/inet.h>
#include <string.h>

#include "ibisloom/balance.h"
#include "ibisloom/rank.h"
#include "ibisloom/registry.h"
#include "ibisloom/timeout.h"
#include "test.h"

enum
{
  TARGETS = 12,
  LARGE_SERVICE = 16200, /* ten targets per instance at 1,620 instances */
  CONTEXTS = 60,
  ARRIVALS = 6000,
  REQUEST_MS = 1000, /* duration of a request */
  ARRIVAL_INTERVAL_MS = 12,
  TRIAL_OVERDUE_MS = 4000
};

static void repeated_failures_extend_backoff (void);
static void one_trial_in_flight (void);
static void earlier_requests_are_not_trials (void);
static void error_rate_follows_responses (void);
static void error_rate_without_responses_fades (void);
static void context_stays_with_its_holder (void);
static void trial_is_made_beside_usable_targets (void);
static void target_in_doubt_is_the_last_resort (void);
static void suspension_ends_without_a_trial (void);
static void popular_context_stays_within_bound (void);
static void instances_agree_on_homes (void);
static void context_without_a_bound_has_a_home (void);
static void local_targets_are_preferred (void);
static void suspended_targets_do_not_lower_the_bound (void);
static void sound_targets_without_load_lower_the_bound (void);
static void used_up_rate_limit_is_respected (void);
static void begun_stream_gets_full_or_suspended_target (void);
static void version_of_unreached_target_is_in_doubt (void);
static void stale_rate_is_ignored (void);
static void new_sharer_of_a_rate_has_nothing_saved_up (void);
static void last_unlimited_target_is_not_flooded (void);
static void read_timeout_needs_repeatable_request (void);
static void old_contexts_are_evicted (void);
static void contexts_in_use_are_kept (void);
static void reregistered_target_starts_without_load (void);
static void restart_resets_health (void);
static void stale_updates_are_ignored (void);
static void missing_targets_are_excluded_then_removed (void);
static void all_targets_of_a_large_service_are_candidates (void);
static void entry_loss_in_one_domain_does_not_cover_others (void);
static void removal_delay_fits_the_drain_time (void);
static void mass_entry_loss_keeps_targets_usable (void);
static void older_report_does_not_undo_a_leave (void);
static void older_entry_of_removed_target_is_withheld (void);

static const struct test_case cases[] = {
  { "repeated failures extend the back-off",
    repeated_failures_extend_backoff },
  { "a suspended target gets one trial at a time", one_trial_in_flight },
  { "requests sent before a failure are not trials",
    earlier_requests_are_not_trials },
  { "the error rate follows the responses", error_rate_follows_responses },
  { "the error rate of a target without responses fades",
    error_rate_without_responses_fades },
  { "requests stay with a holder of their context",
    context_stays_with_its_holder },
  { "a target due for a trial gets one beside usable targets",
    trial_is_made_beside_usable_targets },
  { "a target in doubt is used only if no other is left",
    target_in_doubt_is_the_last_resort },
  { "a suspension ends though no request can make a trial",
    suspension_ends_without_a_trial },
  { "a popular context stays within the load bound",
    popular_context_stays_within_bound },
  { "instances agree on the home of a context", instances_agree_on_homes },
  { "a context has a home without a load bound",
    context_without_a_bound_has_a_home },
  { "targets in the failure domain are preferred until loaded",
    local_targets_are_preferred },
  { "suspended targets do not lower the load bound",
    suspended_targets_do_not_lower_the_bound },
  { "evacuated and cold targets lower the load bound",
    sound_targets_without_load_lower_the_bound },
  { "a target at its rate limit is passed over",
    used_up_rate_limit_is_respected },
  { "the last target without a rate limit is not flooded",
    last_unlimited_target_is_not_flooded },
  { "a begun stream gets a target that is full or suspended",
    begun_stream_gets_full_or_suspended_target },
  { "the version of a target that was not reached is in doubt",
    version_of_unreached_target_is_in_doubt },
  { "a rate limit follows the latest requests", stale_rate_is_ignored },
  { "an instance that comes to share a rate limit has nothing saved up",
    new_sharer_of_a_rate_has_nothing_saved_up },
  { "only repeatable requests have a read timeout",
    read_timeout_needs_repeatable_request },
  { "old contexts are evicted", old_contexts_are_evicted },
  { "contexts in use are kept, however many", contexts_in_use_are_kept },
  { "a target registered again starts without load",
    reregistered_target_starts_without_load },
  { "a restart resets the health of a target", restart_resets_health },
  { "stale registry updates are ignored", stale_updates_are_ignored },
  { "missing targets are excluded, then removed",
    missing_targets_are_excluded_then_removed },
  { "all targets of a large service are candidates",
    all_targets_of_a_large_service_are_candidates },
  { "a loss of entries in one domain does not cover other domains",
    entry_loss_in_one_domain_does_not_cover_others },
  { "the removal delay fits the drain time",
    removal_delay_fits_the_drain_time },
  { "targets stay usable when most entries are lost",
    mass_entry_loss_keeps_targets_usable },
  { "an older report does not undo that a target leaves",
    older_report_does_not_undo_a_leave },
  { "an older entry of a removed target is withheld",
    older_entry_of_removed_target_is_withheld },
};

TEST_MAIN ("balance", cases)

static void
repeated_failures_extend_backoff (void)
{
  struct health health = { 0 };
  clk_ms first;

  CU_ASSERT_EQUAL (health_get_state (&health, 0), HEALTH_USABLE);
  health_record (&health, HEALTH_DISCONNECTED, 0);
  CU_ASSERT_EQUAL (health_get_state (&health, 1), HEALTH_USABLE);
  health_record (&health, HEALTH_DISCONNECTED, 0);
  CU_ASSERT_EQUAL (health_get_state (&health, 1), HEALTH_SUSPENDED);
  first = health.suspended_until_ms;
  health_record (&health, HEALTH_DISCONNECTED, 0);
  CU_ASSERT (health.suspended_until_ms > first);
  health_record (&health, HEALTH_RESPONDED, 1);
  CU_ASSERT_EQUAL (health_get_state (&health, 1), HEALTH_USABLE);
}

static void
one_trial_in_flight (void)
{
  struct health health = { 0 };

  health_record (&health, HEALTH_TIMED_OUT, 0);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms - 1),
                   HEALTH_SUSPENDED);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_TRIAL);
  health.trials_in_flight = 1;
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_SUSPENDED);
}

/* A long stream that began before the failure must not count as a trial: it
   would keep the target suspended until the stream ends.  */
static void
earlier_requests_are_not_trials (void)
{
  struct health health = { 0 };
  int is_trial = health_begin_request (&health);
  int second;

  CU_ASSERT (!is_trial);
  health_record (&health, HEALTH_TIMED_OUT, 0);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_TRIAL);
  second = health_begin_request (&health);
  CU_ASSERT (second);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_SUSPENDED);
  health_end_request (&health, is_trial);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_SUSPENDED);
  health_end_request (&health, second);
  CU_ASSERT_EQUAL (health_get_state (&health, health.suspended_until_ms),
                   HEALTH_TRIAL);
}

static void
error_rate_follows_responses (void)
{
  struct health health = { 0 };

  for (int i = 0; i < 100; i++)
    health_record (&health, HEALTH_SERVER_ERROR, i);
  CU_ASSERT (health.error_rate > 0.9);
  for (int i = 0; i < 100; i++)
    health_record (&health, HEALTH_RESPONDED, i);
  CU_ASSERT (health.error_rate < 0.1);
}

static void
fill (struct bal_candidate *candidates)
{
  memset (candidates, 0, TARGETS * sizeof *candidates);
  for (int i = 0; i < TARGETS; i++)
    {
      candidates[i].id = rank_mix (7, (uint64_t)i + 1);
      candidates[i].slots = 64;
    }
}

static void
context_stays_with_its_holder (void)
{
  struct bal_candidate candidates[TARGETS];
  struct affinity_holders holders = { .context = 5, .count = 2 };
  struct bal_params params
      = { .context = 5, .holders = &holders, .cap_factor = 2, .cap_slack = 3 };
  struct bal_choice choice;

  fill (candidates);
  holders.target[0] = candidates[4].id;
  holders.target[1] = candidates[9].id;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 4);
  candidates[4].load = 30;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 9);
  CU_ASSERT_EQUAL (choice.skip, BAL_SKIP_LOADED);
  candidates[9].state = HEALTH_SUSPENDED;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT (choice.reason == BAL_HOME || choice.reason == BAL_NEXT_HOME);
}

static void
trial_is_made_beside_usable_targets (void)
{
  struct bal_candidate candidates[TARGETS];
  struct affinity_holders holders = { .context = 5, .count = 1 };
  struct bal_params params
      = { .context = 5, .holders = &holders, .cap_factor = 2, .cap_slack = 3 };
  struct bal_choice choice;

  fill (candidates);
  candidates[4].state = HEALTH_TRIAL;
  holders.target[0] = candidates[4].id;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_NOT_EQUAL (choice.reason, BAL_TRIAL);
  params.may_try = 1;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.reason, BAL_TRIAL);
  CU_ASSERT_EQUAL (choice.index, 4);
  holders.target[0] = candidates[5].id;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 5);
  holders.target[0] = candidates[4].id;
  candidates[4].load = 10;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_NOT_EQUAL (choice.reason, BAL_TRIAL);
}

static void
target_in_doubt_is_the_last_resort (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .may_try = 1 };
  struct bal_choice choice;
  struct health health = { 0 };

  health_record (&health, HEALTH_KEPT_SILENT, 0);
  CU_ASSERT_EQUAL (health_get_state (&health, 1), HEALTH_DOUBTED);
  CU_ASSERT (health_begin_request (&health));
  CU_ASSERT_EQUAL (health_get_state (&health, 3000), HEALTH_DOUBTED);
  health_end_request (&health, 1);
  fill (candidates);
  for (int i = 0; i < TARGETS; i++)
    candidates[i].state = HEALTH_SUSPENDED;
  candidates[4].state = HEALTH_DOUBTED;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 4);
  candidates[5].state = HEALTH_USABLE;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 5);
  health_record (&health, HEALTH_TIMED_OUT, 1);
  health_record (&health, HEALTH_KEPT_SILENT, 2);
  CU_ASSERT_EQUAL (health_get_state (&health, 3), HEALTH_SUSPENDED);
  health_record (&health, HEALTH_WENT_ON, 4);
  CU_ASSERT_EQUAL (health_get_state (&health, 5), HEALTH_USABLE);
}

static void
suspension_ends_without_a_trial (void)
{
  struct health health = { 0 };
  clk_ms due_ms;

  health_record (&health, HEALTH_TIMED_OUT, 0);
  due_ms = health.suspended_until_ms;
  CU_ASSERT_EQUAL (health_get_state (&health, due_ms), HEALTH_TRIAL);
  CU_ASSERT_EQUAL (health_get_state (&health, due_ms + TRIAL_OVERDUE_MS),
                   HEALTH_USABLE);
  CU_ASSERT (health_begin_request (&health));
  CU_ASSERT_EQUAL (health_get_state (&health, due_ms + TRIAL_OVERDUE_MS),
                   HEALTH_SUSPENDED);
}

/* A third of the requests share one context.  No request may be sent to a
   target above the load bound, and few requests may miss their
   context.  */
static void
popular_context_stays_within_bound (void)
{
  struct bal_candidate candidates[TARGETS];
  struct affinity *contexts = affinity_new ();
  GRand *random = g_rand_new_with_seed (3);
  size_t chosen[ARRIVALS];
  int misses = 0;
  int over_bound = 0;

  fill (candidates);
  for (int n = 0; n < ARRIVALS; n++)
    {
      uint64_t context = rank_mix (
          1, (uint64_t)(g_rand_int_range (random, 0, 3) == 0
                            ? 1
                            : g_rand_int_range (random, 1, CONTEXTS)));
      struct bal_params params
          = { .context = context,
              .holders = affinity_find (contexts, context),
              .cap_factor = 2,
              .cap_slack = 3 };
      struct bal_choice choice;

      if (n >= REQUEST_MS / ARRIVAL_INTERVAL_MS)
        candidates[chosen[n - REQUEST_MS / ARRIVAL_INTERVAL_MS]].load -= 1;
      CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
      over_bound += choice.load > 2 * choice.mean + 3;
      misses += affinity_record (contexts, context,
                                 candidates[choice.index].id, n);
      candidates[choice.index].load += 1;
      chosen[n] = choice.index;
    }
  CU_ASSERT_EQUAL (over_bound, 0);
  CU_ASSERT (misses < 4 * CONTEXTS);
  g_rand_free (random);
  affinity_free (contexts);
}

static void
context_without_a_bound_has_a_home (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .context = 7 };
  struct bal_choice choice;

  fill (candidates);
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.reason, BAL_HOME);
}

static void
instances_agree_on_homes (void)
{
  struct bal_candidate first[TARGETS];
  struct bal_candidate second[TARGETS];

  fill (first);
  for (int i = 0; i < TARGETS; i++)
    second[i] = first[TARGETS - 1 - i];
  for (uint64_t context = 1; context < 500; context++)
    {
      struct bal_params params
          = { .context = context, .cap_factor = 2, .cap_slack = 3 };
      struct bal_choice first_choice;
      struct bal_choice second_choice;

      CU_ASSERT (bal_pick (&params, first, TARGETS, &first_choice));
      CU_ASSERT (bal_pick (&params, second, TARGETS, &second_choice));
      CU_ASSERT_EQUAL (first[first_choice.index].id,
                       second[second_choice.index].id);
    }
}

static void
local_targets_are_preferred (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { 0 };
  struct bal_choice choice;

  fill (candidates);
  for (int i = 0; i < TARGETS; i++)
    candidates[i].slots = 6;
  candidates[3].local = 1;
  for (params.random = 0; params.random < TARGETS; params.random++)
    {
      CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
      CU_ASSERT_EQUAL (choice.index, 3);
    }
  candidates[3].load = 5;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_NOT_EQUAL (choice.index, 3);
}

static void
suspended_targets_do_not_lower_the_bound (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .context = 5, .cap_factor = 2, .cap_slack = 3 };
  struct bal_choice choice;

  fill (candidates);
  for (int i = 0; i < TARGETS; i++)
    {
      candidates[i].state = i < 4 ? HEALTH_USABLE : HEALTH_SUSPENDED;
      candidates[i].load = i < 4 ? 20 : 0;
    }
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT (choice.index < 4);
}

/* Guards against targets over twice the mean load of all sound ones, while
   those of an evacuated failure domain, or cold ones, are nearly empty.  */
static void
sound_targets_without_load_lower_the_bound (void)
{
  struct bal_candidate candidates[3] = { 0 };
  struct bal_params params = { .context = 5, .cap_factor = 2, .cap_slack = 3 };
  struct bal_choice choice;

  for (uint64_t i = 0; i < G_N_ELEMENTS (candidates); i++)
    candidates[i]
        = (struct bal_candidate){ .id = i + 1, .load = 6, .slots = 64 };
  bal_pick (&params, candidates, G_N_ELEMENTS (candidates), &choice);
  CU_ASSERT_DOUBLE_EQUAL (choice.mean, 6, 0.01);
  params.evacuated_count = 2;
  params.evacuated_load = 2;
  bal_pick (&params, candidates, G_N_ELEMENTS (candidates), &choice);
  CU_ASSERT_DOUBLE_EQUAL (choice.mean, 4, 0.01);
  params.evacuated_count = 0;
  params.evacuated_load = 0;
  candidates[2].load = 0;
  candidates[2].rate_limited = 1;
  candidates[2].is_cold = 1;
  bal_pick (&params, candidates, G_N_ELEMENTS (candidates), &choice);
  CU_ASSERT_DOUBLE_EQUAL (choice.mean, 4, 0.01);
}

/* All targets but the first limit their rate.  */
static void
used_up_rate_limit_is_respected (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .cap_factor = 2, .cap_slack = 3 };
  struct affinity_holders holders = { .context = 1, .count = 1 };
  struct bal_choice choice;

  fill (candidates);
  for (int i = 1; i < TARGETS; i++)
    candidates[i].rate_limited = 1;
  holders.target[0] = candidates[1].id;
  params.context = 1;
  params.holders = &holders;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 0);
  CU_ASSERT_EQUAL (choice.skip, BAL_SKIP_RATE);
  candidates[1].rate_tokens = 1;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 1);
  params.rate_min = 1 + RATE_RESERVE;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 0);
  candidates[0].excluded = 1;
  CU_ASSERT (!bal_pick (&params, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.reason, BAL_RATES_USED_UP);
}

/* Requests that nobody takes are to be refused.  */
static void
last_unlimited_target_is_not_flooded (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .cap_factor = 2, .cap_slack = 3 };
  struct bal_choice choice;

  fill (candidates);
  for (int i = 1; i < TARGETS; i++)
    candidates[i].rate_limited = 1;
  while (candidates[0].load < ARRIVALS
         && bal_pick (&params, candidates, TARGETS, &choice))
    candidates[0].load++;
  CU_ASSERT (candidates[0].load >= candidates[0].slots);
  CU_ASSERT (candidates[0].load <= 1.25 * candidates[0].slots);
  CU_ASSERT_EQUAL (choice.reason, BAL_ALL_FULL);
}

/* All targets but one are of another version.  */
static void
begun_stream_gets_full_or_suspended_target (void)
{
  struct bal_candidate candidates[TARGETS];
  struct bal_params params = { .cap_factor = 1, .cap_slack = 0 };
  struct bal_choice choice;

  fill (candidates);
  for (int i = 1; i < TARGETS; i++)
    candidates[i].excluded = 1;
  candidates[0].load = candidates[0].slots;
  CU_ASSERT (!bal_pick (&params, candidates, TARGETS, &choice));
  params.is_pinned = 1;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  candidates[0].load = 1.25 * candidates[0].slots;
  CU_ASSERT (!bal_pick (&params, candidates, TARGETS, &choice));
  candidates[0].load = 0;
  candidates[0].state = HEALTH_SUSPENDED;
  CU_ASSERT (bal_pick (&params, candidates, TARGETS, &choice));
  params.is_pinned = 0;
  CU_ASSERT (!bal_pick (&params, candidates, TARGETS, &choice));
}

/* A response may have been sent before the limit began.  */
static void
stale_rate_is_ignored (void)
{
  struct rate_limit limit = { .is_sharer = 1 };

  CU_ASSERT (rate_observe (&limit, 1, 2, 100, 200));
  CU_ASSERT (!rate_observe (&limit, 0, 0, 150, 250));
  CU_ASSERT (rate_is_limited (&limit));
  CU_ASSERT (rate_tokens (&limit, 200) < 1);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 10200), RATE_BURST);
  rate_count (&limit, 10200);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 10200), RATE_BURST - 1);
  CU_ASSERT (!rate_adopt (&limit, 1, 3, 10200));
  CU_ASSERT (rate_observe (&limit, 0, 0, 10200, 10300));
  CU_ASSERT (!rate_is_limited (&limit));
}

static void
new_sharer_of_a_rate_has_nothing_saved_up (void)
{
  struct rate_limit limit = { 0 };

  rate_observe (&limit, 1, 2, 100, 200);
  rate_set_sharer (&limit, 1, 200);
  rate_set_sharer (&limit, 1, 10200);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 10200), RATE_BURST);
  rate_set_sharer (&limit, 0, 10200);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 10200), 0);
  rate_set_sharer (&limit, 1, 10200);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 10200), 0);
  CU_ASSERT_EQUAL (rate_tokens (&limit, 11200), 2);
}

static void
read_timeout_needs_repeatable_request (void)
{
  struct timeout_state non_idempotent = { .kind = RT_NON_IDEMPOTENT,
                                          .objective_ms = 300,
                                          .is_last_attempt = 0 };
  struct timeout_state idempotent
      = { .kind = RT_IDEMPOTENT, .repeatable = 1, .objective_ms = 300 };
  struct timeout_state stream = {
    .kind = RT_STREAM, .repeatable = 1, .objective_ms = 800, .pause_ms = 400
  };

  CU_ASSERT_EQUAL (timeout_read_ms (&non_idempotent), 0);
  CU_ASSERT (timeout_read_ms (&idempotent) > idempotent.objective_ms);
  idempotent.is_last_attempt = 1;
  CU_ASSERT_EQUAL (timeout_read_ms (&idempotent), 0);
  CU_ASSERT (timeout_read_ms (&stream) > stream.objective_ms);
  stream.events = 1;
  CU_ASSERT (timeout_read_ms (&stream) > stream.pause_ms);
  CU_ASSERT (timeout_read_ms (&stream) < 2 * stream.objective_ms);
}

static void
old_contexts_are_evicted (void)
{
  struct affinity *contexts = affinity_new ();
  struct affinity_cursor cursor = { 0 };
  uint64_t context;
  uint64_t target;
  int kept = 0;

  for (uint64_t i = 1; i <= 100000; i++)
    {
      CU_ASSERT (affinity_record (contexts, rank_mix (1, i), 9, (clk_ms)i));
      CU_ASSERT (!affinity_record (contexts, rank_mix (1, i), 9, (clk_ms)i));
    }
  CU_ASSERT_PTR_NULL (affinity_find (contexts, rank_mix (1, 1)));
  CU_ASSERT_PTR_NOT_NULL (affinity_find (contexts, rank_mix (1, 100000)));
  while (affinity_next (contexts, &cursor, &context, &target))
    kept++;
  CU_ASSERT (kept > 1000);
  CU_ASSERT (kept < 10000);
  affinity_remove_target (contexts, 9);
  memset (&cursor, 0, sizeof cursor);
  CU_ASSERT (!affinity_next (contexts, &cursor, &context, &target));
  affinity_free (contexts);
}

/* Deployments of a few and of a few thousand contexts, each used again every
   few seconds.  Sets fill unevenly, so a few are lost.  */
static void
contexts_in_use_are_kept (void)
{
  static const int counts[] = { 60, 600, 2000, 4000 };

  for (size_t n = 0; n < G_N_ELEMENTS (counts); n++)
    {
      struct affinity *contexts = affinity_new ();
      int kept = 0;

      for (int i = 0; i < counts[n] * 3; i++)
        affinity_record (contexts, rank_mix (2, (uint64_t)(i % counts[n])), 9,
                         (clk_ms)i);
      for (int i = 0; i < counts[n]; i++)
        kept += affinity_find (contexts, rank_mix (2, (uint64_t)i)) != NULL;
      CU_ASSERT (kept >= counts[n] * 0.95);
      affinity_free (contexts);
    }
}

/* Returns the position of REVISION in a store that tells no epoch.  */
static struct position
at (uint64_t revision)
{
  return (struct position){ .revision = revision };
}

/* Registers the target ID of the service "pool" in the failure domain
   DOMAIN.  */
static int
put_in_domain (struct registry *registry, const char *id, const char *domain,
               uint64_t revision, uint64_t incarnation)
{
  struct reg_entry entry = { .service = "pool", .slots = 8 };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.failure_domain, domain, sizeof entry.failure_domain);
  entry.incarnation = incarnation;
  entry.address.sin_port = htons (80);
  return reg_put (registry, &entry, at (revision), 0);
}

/* Registers the target ID of the service "pool" in the failure domain "a".  */
static int
put (struct registry *registry, const char *id, uint64_t revision,
     uint64_t incarnation)
{
  return put_in_domain (registry, id, "a", revision, incarnation);
}

/* Puts the entry that the target ID has at its report REPORTS, LEAVING or not,
   at the position EPOCH and REVISION.  */
static void
put_report (struct registry *registry, const char *id, uint64_t reports,
            int leaving, struct position position)
{
  struct reg_entry entry = { .service = "pool",
                             .failure_domain = "a",
                             .slots = 8,
                             .incarnation = 7,
                             .reports = reports,
                             .leaving = leaving };

  g_strlcpy (entry.id, id, sizeof entry.id);
  entry.address.sin_port = htons (80);
  reg_put (registry, &entry, position, 0);
}

/* Returns how many targets of the service "pool" are usable at NOW.  */
static size_t
count_usable (struct registry *registry, clk_ms now)
{
  struct bal_candidate candidates[TARGETS];
  struct reg_target *targets[TARGETS];

  return reg_candidates (registry, g_intern_string ("pool"),
                         g_intern_string ("a"), now, candidates, targets,
                         TARGETS);
}

/* A target that is avoided for its errors gets no responses.  */
static void
error_rate_without_responses_fades (void)
{
  struct registry *registry = reg_new ();
  struct bal_candidate candidate;
  struct reg_target *target;

  put (registry, "i-1", 1, 0);
  for (int i = 0; i < 20; i++)
    health_record (&reg_find (registry, "i-1")->health, HEALTH_SERVER_ERROR,
                   i);
  reg_candidates (registry, g_intern_string ("pool"), g_intern_string ("a"),
                  1000, &candidate, &target, 1);
  CU_ASSERT (candidate.error_rate > 0.5);
  reg_candidates (registry, g_intern_string ("pool"), g_intern_string ("a"),
                  60000, &candidate, &target, 1);
  CU_ASSERT (candidate.error_rate < 0.05);
  reg_free (registry);
}

static void
reregistered_target_starts_without_load (void)
{
  struct registry *registry = reg_new ();
  struct reg_target *target;
  uint64_t serial;

  put (registry, "i-1", 1, 0);
  target = reg_find (registry, "i-1");
  target->others_in_flight = 5;
  serial = target->serial;
  CU_ASSERT (reg_remove (registry, "i-1", at (2)));
  put (registry, "i-1", 3, 0);
  target = reg_find (registry, "i-1");
  CU_ASSERT_NOT_EQUAL (target->serial, serial);
  CU_ASSERT_EQUAL (target->others_in_flight, 0);
  reg_free (registry);
}

static void
restart_resets_health (void)
{
  struct registry *registry = reg_new ();
  struct reg_target *target;

  put (registry, "i-1", 1, 100);
  target = reg_find (registry, "i-1");
  health_record (&target->health, HEALTH_TIMED_OUT, 0);
  CU_ASSERT (!put (registry, "i-1", 2, 100));
  CU_ASSERT_EQUAL (health_get_state (&target->health, 1), HEALTH_SUSPENDED);
  CU_ASSERT (put (registry, "i-1", 3, 200));
  CU_ASSERT_EQUAL (health_get_state (&target->health, 1), HEALTH_USABLE);
  reg_free (registry);
}

/* A process that has started again may be of another version.  */
static void
version_of_unreached_target_is_in_doubt (void)
{
  struct registry *registry = reg_new ();
  struct reg_target *target;

  put (registry, "i-1", 1, 100);
  target = reg_find (registry, "i-1");
  CU_ASSERT_EQUAL (reg_doubt (target, 1), REG_SURE);
  reg_record_outcome (target, HEALTH_DISCONNECTED, 1);
  CU_ASSERT_EQUAL (reg_doubt (target, 2), REG_BROKEN);
  reg_record_outcome (target, HEALTH_CONNECT_FAILED, 2);
  CU_ASSERT_EQUAL (reg_doubt (target, 3), REG_UNREACHABLE);
  put (registry, "i-1", 2, 200);
  CU_ASSERT_EQUAL (reg_doubt (target, 3), REG_SURE);
  reg_free (registry);
}

static void
stale_updates_are_ignored (void)
{
  struct registry *registry = reg_new ();

  put (registry, "i-1", 5, 0);
  CU_ASSERT (!put (registry, "i-1", 4, 7));
  CU_ASSERT (!reg_remove (registry, "i-1", at (4)));
  CU_ASSERT_PTR_NOT_NULL (reg_find (registry, "i-1"));
  CU_ASSERT (reg_remove (registry, "i-1", at (6)));
  reg_free (registry);
}

static void
missing_targets_are_excluded_then_removed (void)
{
  struct registry *registry = reg_new ();

  put (registry, "i-1", 1, 0);
  put (registry, "i-2", 2, 0);
  put (registry, "i-3", 3, 0);
  put (registry, "i-4", 4, 0);
  CU_ASSERT (reg_mark_missing (registry, "i-4", at (5), 1500));
  CU_ASSERT_EQUAL (count_usable (registry, 0), 3);
  put (registry, "i-4", 6, 0);
  CU_ASSERT_EQUAL (count_usable (registry, 0), 4);
  CU_ASSERT (reg_mark_missing (registry, "i-4", at (7), 1500));
  CU_ASSERT_EQUAL (reg_expire (registry, 1499), 0);
  CU_ASSERT_EQUAL (reg_expire (registry, 1500), 1);
  CU_ASSERT_PTR_NULL (reg_find (registry, "i-4"));
  reg_free (registry);
}

static void
all_targets_of_a_large_service_are_candidates (void)
{
  static struct bal_candidate candidates[BAL_CANDIDATES_MAX];
  static struct reg_target *targets[BAL_CANDIDATES_MAX];
  struct registry *registry = reg_new ();
  char id[16];

  for (int i = 0; i < LARGE_SERVICE; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      put (registry, id, (uint64_t)i + 1, 0);
    }
  CU_ASSERT_EQUAL (reg_candidates (registry, g_intern_string ("pool"),
                                   g_intern_string ("a"), 0, candidates,
                                   targets, BAL_CANDIDATES_MAX),
                   LARGE_SERVICE);
  reg_free (registry);
}

static void
entry_loss_in_one_domain_does_not_cover_others (void)
{
  struct registry *registry = reg_new ();
  struct bal_candidate candidates[TARGETS];
  struct reg_target *targets[TARGETS];
  char id[8];
  size_t count;

  for (int i = 0; i < TARGETS; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      put_in_domain (registry, id, i % 2 == 0 ? "a" : "b", (uint64_t)i + 1, 0);
    }
  for (int i = 0; i < TARGETS; i += 2)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      reg_mark_missing (registry, id, at ((uint64_t)TARGETS + (uint64_t)i + 1),
                        2200);
    }
  CU_ASSERT_EQUAL (count_usable (registry, 0), TARGETS);
  reg_mark_missing (registry, "i-1", at (3 * TARGETS), 2200);
  count = reg_candidates (registry, g_intern_string ("pool"),
                          g_intern_string ("b"), 0, candidates, targets,
                          TARGETS);
  CU_ASSERT_EQUAL (count, TARGETS - 1);
  for (size_t i = 0; i < count; i++)
    CU_ASSERT_STRING_NOT_EQUAL (targets[i]->id, "i-1");
  reg_free (registry);
}

/* Worst case when the entries of a failure domain expire: a peer reports the
   loss with a delay of about a second, the targets are used until the removal
   delay ends, and the last request takes a third of a second to arrive.  */
static void
removal_delay_fits_the_drain_time (void)
{
  const int64_t late_ms = 1050;
  const int64_t arrival_ms = 320;

  CU_ASSERT (late_ms + reg_missing_grace_ms (3000, REG_NEVER_MS) + arrival_ms
             <= 3000);
  CU_ASSERT (reg_missing_grace_ms (2000, REG_NEVER_MS) > 0);
  /* After an outage of the store, entries are registered again within two
     seconds.  */
  CU_ASSERT (reg_missing_grace_ms (2000, 0) >= 2000);
  CU_ASSERT (reg_missing_grace_ms (2000, 500) >= 1500);
}

static void
mass_entry_loss_keeps_targets_usable (void)
{
  struct registry *registry = reg_new ();
  char id[8];

  for (int i = 0; i < TARGETS; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      put (registry, id, (uint64_t)i + 1, 0);
    }
  for (int i = 0; i < TARGETS; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      reg_mark_missing (registry, id, at ((uint64_t)TARGETS + (uint64_t)i + 1),
                        2200);
    }
  CU_ASSERT_EQUAL (count_usable (registry, 0), TARGETS);
  put (registry, "i-0", 3 * TARGETS, 0);
  CU_ASSERT_EQUAL (count_usable (registry, 0), TARGETS);
  CU_ASSERT_EQUAL (reg_expire (registry, 2200), TARGETS - 1);
  CU_ASSERT_EQUAL (count_usable (registry, 2200), 1);
  reg_free (registry);
}

/* It leaves with its 5th report; the restored store shows its 1st.  */
static void
older_report_does_not_undo_a_leave (void)
{
  struct registry *registry = reg_new ();

  put_report (registry, "i-1", 1, 0, (struct position){ 1, 10 });
  put_report (registry, "i-1", 5, 1, (struct position){ 1, 29 });
  CU_ASSERT_EQUAL (count_usable (registry, 0), 0);
  for (int lists = 0; lists < 2; lists++)
    {
      put_report (registry, "i-1", 1, 0, (struct position){ 2, 10 });
      CU_ASSERT_EQUAL (count_usable (registry, 0), 0);
    }
  put_report (registry, "i-1", 6, 0, (struct position){ 2, 11 });
  CU_ASSERT_EQUAL (count_usable (registry, 0), 1);
  put_report (registry, "i-1", 7, 1, (struct position){ 2, 12 });
  CU_ASSERT_EQUAL (count_usable (registry, 0), 0);
  reg_free (registry);
}

/* If the target keeps the entry, it is used when that would have expired.  */
static void
older_entry_of_removed_target_is_withheld (void)
{
  struct registry *registry = reg_new ();

  put_report (registry, "i-1", 3, 0, (struct position){ 1, 10 });
  put_report (registry, "i-2", 3, 0, (struct position){ 1, 11 });
  CU_ASSERT (
      reg_mark_missing (registry, "i-1", (struct position){ 1, 12 }, 800));
  CU_ASSERT_EQUAL (reg_expire (registry, 800), 1);
  for (int lists = 0; lists < 2; lists++)
    {
      put_report (registry, "i-1", 3, 0, (struct position){ 2, 10 });
      put_report (registry, "i-2", 3, 0, (struct position){ 2, 11 });
      CU_ASSERT_EQUAL (count_usable (registry, 0), 1);
    }
  CU_ASSERT_EQUAL (reg_expire (registry, 60000), 0);
  CU_ASSERT_EQUAL (count_usable (registry, 60000), 2);
  CU_ASSERT (
      reg_mark_missing (registry, "i-1", (struct position){ 2, 12 }, 800));
  CU_ASSERT_EQUAL (reg_expire (registry, 800), 1);
  put_report (registry, "i-1", 4, 0, (struct position){ 3, 10 });
  CU_ASSERT_EQUAL (count_usable (registry, 0), 2);
  reg_free (registry);
}
