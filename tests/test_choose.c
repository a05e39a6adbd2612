/* Decisions of the gate: trust, choice, patience, contexts, the registry. */
#include <arpa/inet.h>
#include <string.h>

#include "ibisloom/choose.h"
#include "ibisloom/patience.h"
#include "ibisloom/rank.h"
#include "ibisloom/registry.h"
#include "test.h"

enum
{
  TARGETS = 12,
  LARGE_SERVICE = 16200, /* ten targets an instance, at 1,620 instances */
  CONTEXTS = 60,
  ARRIVALS = 6000,
  STAY_MS = 1000, /* of one request at its target */
  GAP_MS = 12     /* between two arrivals */
};

static void faults_pause_and_doubling (void);
static void one_trial_at_a_time (void);
static void requests_from_before_are_no_trials (void);
static void shares_of_errors_follow (void);
static void holders_are_kept_to (void);
static void bound_is_kept_under_a_hot_context (void);
static void instances_agree_on_homes (void);
static void context_without_a_bound_has_a_home (void);
static void local_targets_come_first (void);
static void targets_cut_off_do_not_lower_the_bound (void);
static void silence_is_borne_by_what_may_repeat (void);
static void contexts_make_room (void);
static void reentered_target_keeps_no_loads (void);
static void restarted_target_is_trusted_anew (void);
static void old_news_is_dropped (void);
static void missing_targets_are_doubted (void);
static void all_targets_of_a_large_service_are_candidates (void);
static void lapse_of_a_domain_does_not_excuse_others (void);
static void doubt_ends_within_the_drain_bound (void);
static void mass_lapse_is_not_believed (void);

static const struct test_case cases[] = {
  { "faults in a row pause for longer", faults_pause_and_doubling },
  { "a suspect gets one trial at a time", one_trial_at_a_time },
  { "requests from before a fault are no trials",
    requests_from_before_are_no_trials },
  { "the share of errors follows", shares_of_errors_follow },
  { "requests stay with a holder of their context", holders_are_kept_to },
  { "a hot context keeps the load bound", bound_is_kept_under_a_hot_context },
  { "instances agree on the homes of a context", instances_agree_on_homes },
  { "a context without a bound has a home",
    context_without_a_bound_has_a_home },
  { "calls stay in their failure domain while it has room",
    local_targets_come_first },
  { "targets that are cut off do not lower the bound",
    targets_cut_off_do_not_lower_the_bound },
  { "silence ends only what may run again",
    silence_is_borne_by_what_may_repeat },
  { "old contexts make room", contexts_make_room },
  { "a target entered anew has no loads", reentered_target_keeps_no_loads },
  { "a restarted target is trusted anew", restarted_target_is_trusted_anew },
  { "news older than what is known is dropped", old_news_is_dropped },
  { "missing targets are doubted, then dropped", missing_targets_are_doubted },
  { "all targets of a large service are candidates",
    all_targets_of_a_large_service_are_candidates },
  { "the lapse of a domain does not excuse others",
    lapse_of_a_domain_does_not_excuse_others },
  { "doubt ends within the drain bound", doubt_ends_within_the_drain_bound },
  { "many missing at once are still used", mass_lapse_is_not_believed },
};

TEST_MAIN ("choose", cases)

static void
faults_pause_and_doubling (void)
{
  struct tru tru = { 0 };
  clk_ms first;

  CU_ASSERT_EQUAL (tru_judge (&tru, 0), TRU_USABLE);
  tru_note (&tru, TRU_BROKEN, 0);
  CU_ASSERT_EQUAL (tru_judge (&tru, 1), TRU_USABLE);
  tru_note (&tru, TRU_BROKEN, 0);
  CU_ASSERT_EQUAL (tru_judge (&tru, 1), TRU_AVOID);
  first = tru.retry_ms;
  tru_note (&tru, TRU_BROKEN, 0);
  CU_ASSERT (tru.retry_ms > first);
  tru_note (&tru, TRU_ANSWERED, 1);
  CU_ASSERT_EQUAL (tru_judge (&tru, 1), TRU_USABLE);
}

static void
one_trial_at_a_time (void)
{
  struct tru tru = { 0 };

  tru_note (&tru, TRU_SILENT, 0);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms - 1), TRU_AVOID);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_TRIAL);
  tru.trials = 1;
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_AVOID);
}

/* A stream that goes on must not keep a suspect from being tried.  */
static void
requests_from_before_are_no_trials (void)
{
  struct tru tru = { 0 };
  int is_trial = tru_begin (&tru);
  int second;

  CU_ASSERT (!is_trial);
  tru_note (&tru, TRU_SILENT, 0);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_TRIAL);
  second = tru_begin (&tru);
  CU_ASSERT (second);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_AVOID);
  tru_end (&tru, is_trial);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_AVOID);
  tru_end (&tru, second);
  CU_ASSERT_EQUAL (tru_judge (&tru, tru.retry_ms), TRU_TRIAL);
}

static void
shares_of_errors_follow (void)
{
  struct tru tru = { 0 };

  for (int i = 0; i < 100; i++)
    tru_note (&tru, TRU_ERROR, i);
  CU_ASSERT (tru.error_share > 0.9);
  for (int i = 0; i < 100; i++)
    tru_note (&tru, TRU_ANSWERED, i);
  CU_ASSERT (tru.error_share < 0.1);
}

static void
fill (struct cho_candidate *candidates)
{
  memset (candidates, 0, TARGETS * sizeof *candidates);
  for (int i = 0; i < TARGETS; i++)
    {
      candidates[i].id = rank_mix (7, (uint64_t)i + 1);
      candidates[i].slots = 64;
    }
}

static void
holders_are_kept_to (void)
{
  struct cho_candidate candidates[TARGETS];
  struct ctx_holders holders = { .context = 5, .count = 2 };
  struct cho_wish wish
      = { .context = 5, .holders = &holders, .cap_factor = 2, .cap_slack = 3 };
  struct cho_choice choice;

  fill (candidates);
  holders.target[0] = candidates[4].id;
  holders.target[1] = candidates[9].id;
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 4);
  candidates[4].load = 30;
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.index, 9);
  CU_ASSERT_EQUAL (choice.pass, CHO_PASS_LOADED);
  candidates[9].use = TRU_AVOID;
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT (choice.reason == CHO_HOME || choice.reason == CHO_NEAR);
}

/* A third of the arrivals has one context.  No arrival may find its target
   over the bound, and long contexts must be read again but seldom.  */
static void
bound_is_kept_under_a_hot_context (void)
{
  struct cho_candidate candidates[TARGETS];
  struct ctx *contexts = ctx_new ();
  GRand *random = g_rand_new_with_seed (3);
  size_t chosen[ARRIVALS];
  int reads = 0;
  int over = 0;

  fill (candidates);
  for (int n = 0; n < ARRIVALS; n++)
    {
      uint64_t context = rank_mix (
          1, (uint64_t)(g_rand_int_range (random, 0, 3) == 0
                            ? 1
                            : g_rand_int_range (random, 1, CONTEXTS)));
      struct cho_wish wish = { .context = context,
                               .holders = ctx_find (contexts, context),
                               .cap_factor = 2,
                               .cap_slack = 3 };
      struct cho_choice choice;

      if (n >= STAY_MS / GAP_MS)
        candidates[chosen[n - STAY_MS / GAP_MS]].load -= 1;
      CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
      over += choice.load > 2 * choice.mean + 3;
      reads += ctx_note (contexts, context, candidates[choice.index].id, n);
      candidates[choice.index].load += 1;
      chosen[n] = choice.index;
    }
  CU_ASSERT_EQUAL (over, 0);
  CU_ASSERT (reads < 4 * CONTEXTS);
  g_rand_free (random);
  ctx_free (contexts);
}

static void
context_without_a_bound_has_a_home (void)
{
  struct cho_candidate candidates[TARGETS];
  struct cho_wish wish = { .context = 7 };
  struct cho_choice choice;

  fill (candidates);
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT_EQUAL (choice.reason, CHO_HOME);
}

static void
instances_agree_on_homes (void)
{
  struct cho_candidate first[TARGETS];
  struct cho_candidate second[TARGETS];

  fill (first);
  for (int i = 0; i < TARGETS; i++)
    second[i] = first[TARGETS - 1 - i];
  for (uint64_t context = 1; context < 500; context++)
    {
      struct cho_wish wish
          = { .context = context, .cap_factor = 2, .cap_slack = 3 };
      struct cho_choice one;
      struct cho_choice other;

      CU_ASSERT (cho_pick (&wish, first, TARGETS, &one));
      CU_ASSERT (cho_pick (&wish, second, TARGETS, &other));
      CU_ASSERT_EQUAL (first[one.index].id, second[other.index].id);
    }
}

static void
local_targets_come_first (void)
{
  struct cho_candidate candidates[TARGETS];
  struct cho_wish wish = { 0 };
  struct cho_choice choice;

  fill (candidates);
  for (int i = 0; i < TARGETS; i++)
    candidates[i].slots = 6;
  candidates[3].local = 1;
  for (wish.random = 0; wish.random < TARGETS; wish.random++)
    {
      CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
      CU_ASSERT_EQUAL (choice.index, 3);
    }
  candidates[3].load = 5;
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT_NOT_EQUAL (choice.index, 3);
}

static void
targets_cut_off_do_not_lower_the_bound (void)
{
  struct cho_candidate candidates[TARGETS];
  struct cho_wish wish = { .context = 5, .cap_factor = 2, .cap_slack = 3 };
  struct cho_choice choice;

  fill (candidates);
  for (int i = 0; i < TARGETS; i++)
    {
      candidates[i].use = i < 4 ? TRU_USABLE : TRU_AVOID;
      candidates[i].load = i < 4 ? 20 : 0;
    }
  CU_ASSERT (cho_pick (&wish, candidates, TARGETS, &choice));
  CU_ASSERT (choice.index < 4);
}

static void
silence_is_borne_by_what_may_repeat (void)
{
  struct pat_state once
      = { .kind = RT_ONCE, .objective_ms = 300, .is_last = 0 };
  struct pat_state read
      = { .kind = RT_IDEMPOTENT, .repeatable = 1, .objective_ms = 300 };
  struct pat_state stream = {
    .kind = RT_STREAM, .repeatable = 1, .objective_ms = 800, .pause_ms = 400
  };

  CU_ASSERT_EQUAL (pat_silence_ms (&once), 0);
  CU_ASSERT (pat_silence_ms (&read) > read.objective_ms);
  read.is_last = 1;
  CU_ASSERT_EQUAL (pat_silence_ms (&read), 0);
  CU_ASSERT (pat_silence_ms (&stream) > stream.objective_ms);
  stream.events = 1;
  CU_ASSERT (pat_silence_ms (&stream) > stream.pause_ms);
  CU_ASSERT (pat_silence_ms (&stream) < 2 * stream.objective_ms);
}

static void
contexts_make_room (void)
{
  struct ctx *contexts = ctx_new ();
  struct ctx_cursor cursor = { 0 };
  uint64_t context;
  uint64_t target;
  int kept = 0;

  for (uint64_t i = 1; i <= 100000; i++)
    {
      CU_ASSERT (ctx_note (contexts, rank_mix (1, i), 9, (clk_ms)i));
      CU_ASSERT (!ctx_note (contexts, rank_mix (1, i), 9, (clk_ms)i));
    }
  CU_ASSERT_PTR_NULL (ctx_find (contexts, rank_mix (1, 1)));
  CU_ASSERT_PTR_NOT_NULL (ctx_find (contexts, rank_mix (1, 100000)));
  while (ctx_next (contexts, &cursor, &context, &target))
    kept++;
  CU_ASSERT (kept > 1000);
  CU_ASSERT (kept < 10000);
  ctx_forget (contexts, 9);
  memset (&cursor, 0, sizeof cursor);
  CU_ASSERT (!ctx_next (contexts, &cursor, &context, &target));
  ctx_free (contexts);
}

/* Puts the target ID of the service "pool" in DOMAIN.  */
static int
put_in (struct registry *registry, const char *id, const char *domain,
        uint64_t revision, uint64_t incarnation)
{
  struct reg_entry entry = { .service = "pool", .slots = 8 };

  g_strlcpy (entry.id, id, sizeof entry.id);
  g_strlcpy (entry.failure_domain, domain, sizeof entry.failure_domain);
  entry.incarnation = incarnation;
  entry.address.sin_port = htons (80);
  return reg_put (registry, &entry, revision, 0);
}

/* Puts the target ID of the service "pool" in the domain "a".  */
static int
put (struct registry *registry, const char *id, uint64_t revision,
     uint64_t incarnation)
{
  return put_in (registry, id, "a", revision, incarnation);
}

/* Returns how many targets of "pool" may be used at NOW.  */
static size_t
usable (struct registry *registry, clk_ms now)
{
  struct cho_candidate candidates[TARGETS];
  struct reg_target *targets[TARGETS];

  return reg_candidates (registry, g_intern_string ("pool"),
                         g_intern_string ("a"), now, candidates, targets,
                         TARGETS);
}

static void
reentered_target_keeps_no_loads (void)
{
  struct registry *registry = reg_new ();
  struct reg_target *target;
  uint64_t serial;

  put (registry, "i-1", 1, 0);
  target = reg_find (registry, "i-1");
  target->others_in_flight = 5;
  serial = target->serial;
  CU_ASSERT (reg_remove (registry, "i-1", 2));
  put (registry, "i-1", 3, 0);
  target = reg_find (registry, "i-1");
  CU_ASSERT_NOT_EQUAL (target->serial, serial);
  CU_ASSERT_EQUAL (target->others_in_flight, 0);
  reg_free (registry);
}

static void
restarted_target_is_trusted_anew (void)
{
  struct registry *registry = reg_new ();
  struct reg_target *target;

  put (registry, "i-1", 1, 100);
  target = reg_find (registry, "i-1");
  tru_note (&target->trust, TRU_SILENT, 0);
  CU_ASSERT (!put (registry, "i-1", 2, 100));
  CU_ASSERT_EQUAL (tru_judge (&target->trust, 1), TRU_AVOID);
  CU_ASSERT (put (registry, "i-1", 3, 200));
  CU_ASSERT_EQUAL (tru_judge (&target->trust, 1), TRU_USABLE);
  reg_free (registry);
}

static void
old_news_is_dropped (void)
{
  struct registry *registry = reg_new ();

  put (registry, "i-1", 5, 0);
  CU_ASSERT (!put (registry, "i-1", 4, 7));
  CU_ASSERT (!reg_remove (registry, "i-1", 4));
  CU_ASSERT_PTR_NOT_NULL (reg_find (registry, "i-1"));
  CU_ASSERT (reg_remove (registry, "i-1", 6));
  reg_free (registry);
}

static void
missing_targets_are_doubted (void)
{
  struct registry *registry = reg_new ();

  put (registry, "i-1", 1, 0);
  put (registry, "i-2", 2, 0);
  put (registry, "i-3", 3, 0);
  put (registry, "i-4", 4, 0);
  CU_ASSERT (reg_mark_missing (registry, "i-4", 5, 1500));
  CU_ASSERT_EQUAL (usable (registry, 0), 3);
  put (registry, "i-4", 6, 0);
  CU_ASSERT_EQUAL (usable (registry, 0), 4);
  CU_ASSERT (reg_mark_missing (registry, "i-4", 7, 1500));
  CU_ASSERT_EQUAL (reg_expire (registry, 1499), 0);
  CU_ASSERT_EQUAL (reg_expire (registry, 1500), 1);
  CU_ASSERT_PTR_NULL (reg_find (registry, "i-4"));
  reg_free (registry);
}

static void
all_targets_of_a_large_service_are_candidates (void)
{
  static struct cho_candidate candidates[CHO_CANDIDATES_MAX];
  static struct reg_target *targets[CHO_CANDIDATES_MAX];
  struct registry *registry = reg_new ();
  char id[16];

  for (int i = 0; i < LARGE_SERVICE; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      put (registry, id, (uint64_t)i + 1, 0);
    }
  CU_ASSERT_EQUAL (reg_candidates (registry, g_intern_string ("pool"),
                                   g_intern_string ("a"), 0, candidates,
                                   targets, CHO_CANDIDATES_MAX),
                   LARGE_SERVICE);
  reg_free (registry);
}

static void
lapse_of_a_domain_does_not_excuse_others (void)
{
  struct registry *registry = reg_new ();
  struct cho_candidate candidates[TARGETS];
  struct reg_target *targets[TARGETS];
  char id[8];
  size_t count;

  for (int i = 0; i < TARGETS; i++)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      put_in (registry, id, i % 2 == 0 ? "a" : "b", (uint64_t)i + 1, 0);
    }
  for (int i = 0; i < TARGETS; i += 2)
    {
      g_snprintf (id, sizeof id, "i-%d", i);
      reg_mark_missing (registry, id, (uint64_t)TARGETS + (uint64_t)i + 1,
                        2200);
    }
  CU_ASSERT_EQUAL (usable (registry, 0), TARGETS);
  reg_mark_missing (registry, "i-1", 3 * TARGETS, 2200);
  count = reg_candidates (registry, g_intern_string ("pool"),
                          g_intern_string ("b"), 0, candidates, targets,
                          TARGETS);
  CU_ASSERT_EQUAL (count, TARGETS - 1);
  for (size_t i = 0; i < count; i++)
    CU_ASSERT_STRING_NOT_EQUAL (targets[i]->id, "i-1");
  reg_free (registry);
}

/* A domain lapses: an instance hears of it a second late from a peer, uses the
   targets while it doubts, and a last request takes a third of a second to
   arrive.  */
static void
doubt_ends_within_the_drain_bound (void)
{
  const int64_t late_ms = 1050;
  const int64_t arrival_ms = 320;

  CU_ASSERT (late_ms + reg_missing_grace_ms (3000, REG_NEVER_MS) + arrival_ms
             <= 3000);
  CU_ASSERT (reg_missing_grace_ms (2000, REG_NEVER_MS) > 0);
  /* After an outage of the store entries are back within two seconds.  */
  CU_ASSERT (reg_missing_grace_ms (2000, 0) >= 2000);
  CU_ASSERT (reg_missing_grace_ms (2000, 500) >= 1500);
}

static void
mass_lapse_is_not_believed (void)
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
      reg_mark_missing (registry, id, (uint64_t)TARGETS + (uint64_t)i + 1,
                        2200);
    }
  CU_ASSERT_EQUAL (usable (registry, 0), TARGETS);
  put (registry, "i-0", 3 * TARGETS, 0);
  CU_ASSERT_EQUAL (usable (registry, 0), TARGETS);
  CU_ASSERT_EQUAL (reg_expire (registry, 2200), TARGETS - 1);
  CU_ASSERT_EQUAL (usable (registry, 2200), 1);
  reg_free (registry);
}
