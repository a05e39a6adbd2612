/* Placement of chat requests and retry policy. */
#include <string.h>

#include "ibisloom/peer.h"
#include "ibisloom/place.h"
#include "ibisloom/retry.h"
#include "test.h"

enum
{
  TARGETS = 4
};

static struct ver_store *store;
static struct ver_reader *reader;
static const struct ver_snapshot *version;
static int32_t headrooms[TARGETS];

static int index_of (uint64_t target);
static int32_t headroom (void *closure, uint64_t target);
static void start_placement (struct place *place, struct place_step *step,
                             clk_ms queue_deadline_ms);
static void free_placement (void);
static uint64_t candidate_at (const struct place *place, int rank);
static void home_grants (void);
static void redirect_target_is_requested_next (void);
static void denied_redirect_returns_to_the_home (void);
static void fallbacks_need_headroom (void);
static void full_targets_queue_then_refuse (void);
static void all_targets_down_is_refused_at_once (void);
static void down_home_and_full_others_are_queued (void);
static void owner_timeout_sends_if_headroom (void);
static void unsent_request_is_repeated (void);
static void failed_targets_are_excluded (void);
static void retry_decisions (void);
static void spent_budget_ends_retries (void);
static void small_budget_allows_retries (void);
static void small_budgets_stay_within_the_whole (void);

static const struct test_case cases[] = {
  { "the owner of the home grants", home_grants },
  { "a redirect target is requested next", redirect_target_is_requested_next },
  { "a denied redirect returns to the home",
    denied_redirect_returns_to_the_home },
  { "fallback requests need headroom", fallbacks_need_headroom },
  { "full targets queue a request, then refuse it",
    full_targets_queue_then_refuse },
  { "with all targets down, a request is refused at once",
    all_targets_down_is_refused_at_once },
  { "with the home down and others full, a request is queued",
    down_home_and_full_others_are_queued },
  { "an owner timeout sends to a target with headroom",
    owner_timeout_sends_if_headroom },
  { "an unsent admission request is repeated", unsent_request_is_repeated },
  { "failed targets are excluded", failed_targets_are_excluded },
  { "retry decisions", retry_decisions },
  { "a spent budget ends retries", spent_budget_ends_retries },
  { "a small share of the retry budget allows retries",
    small_budget_allows_retries },
  { "many small shares together stay within the retry budget",
    small_budgets_stay_within_the_whole },
};

TEST_MAIN ("place", cases)

static int
index_of (uint64_t target)
{
  for (int i = 0; i < TARGETS; i++)
    if (ver_target_at (version, (uint32_t)i)->id == target)
      return i;
  return 0;
}

static int32_t
headroom (void *closure, uint64_t target)
{
  (void)closure;
  return headrooms[index_of (target)];
}

static void
start_placement (struct place *place, struct place_step *step,
                 clk_ms queue_deadline_ms)
{
  GString *text = g_string_new ("{\"kind\":\"chat\",\"targets\":[");
  struct place_params params = { .chat = 42,
                                 .context_wait_ms = 150,
                                 .queue_deadline_ms = queue_deadline_ms,
                                 .headroom = headroom };

  for (int i = 0; i < TARGETS; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"e%d\",\"address\":\"127.0.0.1:%d\","
                            "\"failure_domain\":\"a\"}",
                            i ? "," : "", i, 1000 + i);
  g_string_append (text, "]}");
  store = ver_store_new ("d");
  CU_ASSERT_EQUAL (ver_store_apply (store, "services/s", 1, text->str, NULL),
                   1);
  reader = ver_reader_new (store);
  version = ver_read_begin (store, reader);
  memset (headrooms, 0, sizeof headrooms);
  place_start (place, version, ver_service_find (version, "s"), &params, NULL,
               0, step);
  g_string_free (text, TRUE);
}

static void
free_placement (void)
{
  ver_read_end (reader);
  ver_reader_free (reader);
  ver_store_free (store);
}

static uint64_t
candidate_at (const struct place *place, int rank)
{
  return place->candidates[rank];
}

static void
home_grants (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 0));
  CU_ASSERT_EQUAL (step.flags, 0);
  CU_ASSERT_EQUAL (step.wait_ms, 150);
  place_next (&place, ADM_GRANT, 0, 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_SEND);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 0));
  free_placement ();
}

static void
redirect_target_is_requested_next (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  place_next (&place, ADM_REDIRECT, candidate_at (&place, 2), 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 2));
  CU_ASSERT_EQUAL (step.flags, ADM_NO_REDIRECT);
  place_next (&place, ADM_GRANT, 0, 2, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_SEND);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 2));
  free_placement ();
}

static void
denied_redirect_returns_to_the_home (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  place_next (&place, ADM_REDIRECT, candidate_at (&place, 2), 1, &step);
  place_next (&place, ADM_DENY_BOUND, 0, 2, &step);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 0));
  CU_ASSERT_EQUAL (step.flags, ADM_NO_REDIRECT);
  /* A redirect to a target that is not a candidate is not followed.  */
  free_placement ();
  start_placement (&place, &step, 1000);
  place_next (&place, ADM_REDIRECT, 12345, 1, &step);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 0));
  free_placement ();
}

static void
fallbacks_need_headroom (void)
{
  struct place place;
  struct place_step step = { 0 };
  uint32_t index = 0;

  start_placement (&place, &step, 1000);
  for (uint32_t i = 0; i < TARGETS; i++)
    if (ver_target_at (version, i)->id == candidate_at (&place, 2))
      index = i;
  headrooms[index] = 3;
  place_next (&place, ADM_DENY_BOUND, 0, 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 2));
  free_placement ();
}

static void
full_targets_queue_then_refuse (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  place_next (&place, ADM_DENY_CAPACITY, 0, 900, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_EQUAL (step.wait_ms, 100);
  place_next (&place, ADM_DENY_SHARE, 0, 1000, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REFUSE);
  CU_ASSERT_EQUAL (step.reason, PLACE_CUSTOMER_SHARE);
  free_placement ();
}

static void
all_targets_down_is_refused_at_once (void)
{
  struct place place;
  struct place_step step = { 0 };
  unsigned requested_mask = 0;

  start_placement (&place, &step, 100000);
  for (int i = 0; i < TARGETS; i++)
    headrooms[i] = 1;
  for (int i = 0; i < TARGETS; i++)
    {
      CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
      CU_ASSERT (!(requested_mask & (1U << index_of (step.target))));
      requested_mask |= 1U << index_of (step.target);
      place_next (&place, ADM_DENY_DOWN, 0, 1, &step);
    }
  CU_ASSERT_EQUAL (step.action, PLACE_REFUSE);
  CU_ASSERT_EQUAL (step.reason, PLACE_NO_TARGET);
  free_placement ();
}

/* The home is down and the others have no headroom by the last report, which
   is no reason to refuse: the request is queued.  */
static void
down_home_and_full_others_are_queued (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  place_next (&place, ADM_DENY_DOWN, 0, 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_NOT_EQUAL (step.target, candidate_at (&place, 0));
  CU_ASSERT (step.wait_ms > 0);
  free_placement ();
}

static void
owner_timeout_sends_if_headroom (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  for (int i = 0; i < TARGETS; i++)
    headrooms[i] = 1;
  place_next (&place, PEER_TIMEOUT, 0, 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_SEND);
  free_placement ();
  start_placement (&place, &step, 1000);
  place_next (&place, PEER_TIMEOUT, 0, 1, &step);
  CU_ASSERT_NOT_EQUAL (step.action, PLACE_SEND);
  free_placement ();
}

static void
unsent_request_is_repeated (void)
{
  struct place place;
  struct place_step step = { 0 };

  start_placement (&place, &step, 1000);
  place_next (&place, PEER_NOT_SENT, 0, 1, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_WAIT);
  place_next (&place, 0, 0, 60, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REQUEST_ADMISSION);
  CU_ASSERT_EQUAL (step.target, candidate_at (&place, 0));
  place_next (&place, PEER_NOT_SENT, 0, 1000, &step);
  CU_ASSERT_EQUAL (step.action, PLACE_REFUSE);
  free_placement ();
}

static void
failed_targets_are_excluded (void)
{
  struct place place;
  struct place_step step = { 0 };
  uint64_t failed;

  start_placement (&place, &step, 1000);
  failed = candidate_at (&place, 0);
  place_start (&place, version, ver_service_find (version, "s"), &place.params,
               &failed, 1, &step);
  CU_ASSERT_NOT_EQUAL (step.target, failed);
  CU_ASSERT_EQUAL (place.count, TARGETS - 1);
  free_placement ();
}

static void
retry_decisions (void)
{
  static const struct
  {
    struct retry_state state;
    enum retry_action action;
    enum retry_run run;
  } rows[] = {
    { { .fault = RETRY_FAULT_CONNECT, .attempts = 1 }, RETRY_OTHER_TARGET, 0 },
    { { .fault = RETRY_FAULT_REJECTED, .attempts = 1 },
      RETRY_OTHER_TARGET,
      0 },
    { { .fault = RETRY_FAULT_DISCONNECTED, .attempts = 1 },
      RETRY_GIVE_UP,
      RETRY_MAY_HAVE_RUN },
    { { .fault = RETRY_FAULT_DISCONNECTED,
        .repeatable = 1,
        .attempts = 3,
        .disconnects = 2 },
      RETRY_OTHER_TARGET,
      0 },
    { { .fault = RETRY_FAULT_DISCONNECTED,
        .repeatable = 1,
        .attempts = 3,
        .disconnects = 3 },
      RETRY_GIVE_UP,
      RETRY_MAY_HAVE_RUN },
    { { .fault = RETRY_FAULT_ERROR_STATUS, .repeatable = 1, .attempts = 1 },
      RETRY_OTHER_TARGET,
      0 },
    { { .fault = RETRY_FAULT_READ_TIMEOUT,
        .repeatable = 1,
        .is_stream = 1,
        .tokens = 5,
        .attempts = 1 },
      RETRY_RESUME,
      0 },
    { { .fault = RETRY_FAULT_READ_TIMEOUT,
        .repeatable = 1,
        .is_stream = 1,
        .tokens = 5,
        .attempts = 2,
        .resumes = 1 },
      RETRY_CONTINUE,
      0 },
    { { .fault = RETRY_FAULT_CONNECT, .attempts = 6 },
      RETRY_GIVE_UP,
      RETRY_NOT_RUN },
    { { .fault = RETRY_FAULT_CONNECT,
        .repeatable = 1,
        .may_have_run = 1,
        .attempts = 6 },
      RETRY_GIVE_UP,
      RETRY_MAY_HAVE_RUN },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct retry_state state = rows[i].state;
      struct retry_budget budget = { .tokens = 5, .max = 5 };
      struct retry_decision decision;

      state.deadline_ms = 1000;
      retry_decide (&state, &budget, 0, &decision);
      CU_ASSERT_EQUAL (decision.action, rows[i].action);
      if (decision.action == RETRY_GIVE_UP)
        CU_ASSERT_EQUAL (decision.run, rows[i].run);
    }
}

static void
spent_budget_ends_retries (void)
{
  struct retry_state state = { .fault = RETRY_FAULT_ERROR_STATUS,
                               .repeatable = 1,
                               .attempts = 1,
                               .deadline_ms = 1000 };
  struct retry_budget budget;
  struct retry_decision decision;
  int other_target_count = 0;
  int give_up_count = 0;

  retry_budget_init (&budget);
  for (int i = 0; i < 1000; i++)
    {
      retry_budget_deposit (&budget, 0.1);
      retry_decide (&state, &budget, 0, &decision);
      other_target_count += decision.action == RETRY_OTHER_TARGET;
      give_up_count += decision.reason == RETRY_REASON_BUDGET;
    }
  CU_ASSERT (other_target_count <= 121);
  CU_ASSERT_EQUAL (other_target_count + give_up_count, 1000);
}

/* One of 200 instances that share a slack of 52, at a ratio of 0.2.  */
static void
small_budget_allows_retries (void)
{
  struct retry_state state = { .fault = RETRY_FAULT_ERROR_STATUS,
                               .repeatable = 1,
                               .attempts = 1,
                               .deadline_ms = 1000 };
  struct retry_budget budget = { 0 };
  struct retry_decision decision;
  int retries = 0;

  for (int i = 0; i < 1000; i++)
    {
      retry_budget_set_max (&budget, 52.0 / 200);
      retry_budget_deposit (&budget, 0.2);
      if (i % 20 != 0)
        continue;
      retry_decide (&state, &budget, 0, &decision);
      retries += decision.action == RETRY_OTHER_TARGET;
    }
  CU_ASSERT (retries > 0);
}

/* An outage: of 1,600 instances with a share of a fourth of a token, each has
   a failed request at the same moment, and then 10 s of 2 requests a second
   that all fail.  */
static void
small_budgets_stay_within_the_whole (void)
{
  enum
  {
    INSTANCES = 1600,
    REQUESTS = 20
  };
  const double share = 0.25;
  const double ratio = 0.2;
  struct retry_state state = { .fault = RETRY_FAULT_ERROR_STATUS,
                               .repeatable = 1,
                               .attempts = 1,
                               .deadline_ms = 1000 };
  struct retry_decision decision;
  int retries = 0;

  for (int i = 0; i < INSTANCES; i++)
    {
      struct retry_budget budget = { 0 };

      retry_budget_set_max (&budget, share);
      for (int n = 0; n <= REQUESTS; n++)
        {
          retry_decide (&state, &budget, 0, &decision);
          retries += decision.action == RETRY_OTHER_TARGET;
          retry_budget_deposit (&budget, ratio);
        }
    }
  CU_ASSERT (retries <= INSTANCES * (share + REQUESTS * ratio));
}
