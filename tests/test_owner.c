/* Admission against a naive model, in virtual time. */
#include <string.h>

#include "ibisloom/owner.h"
#include "test.h"

enum
{
  TARGET = 7,
  STEPS = 20000,
  SLOTS = 20
};

/* The naive model: which grants are held. */
struct model
{
  char held[STEPS + 1];
  int load;
};

static struct own_limits limits_of (double mean);
static enum own_verdict ask (struct own *own, uint32_t grant,
                             const struct own_limits *limits, clk_ms now);
static void agrees_with_model (void);
static void repeated_ask_counts_once (void);
static void hold_repairs_lost_releases (void);
static void note_sends_elsewhere (void);
static void breaker_opens_and_retries (void);
static void customer_keeps_to_share (void);
static void queue_grants_by_priority (void);
static void queue_denies_when_time_is_up (void);
static void leaving_target_takes_nothing (void);

static const struct test_case cases[] = {
  { "agrees with the naive model", agrees_with_model },
  { "a repeated ask counts once", repeated_ask_counts_once },
  { "a hold repairs lost releases", hold_repairs_lost_releases },
  { "a note sends elsewhere", note_sends_elsewhere },
  { "the breaker opens and retries", breaker_opens_and_retries },
  { "a customer keeps to its share", customer_keeps_to_share },
  { "the queue grants by priority", queue_grants_by_priority },
  { "the queue denies in time", queue_denies_when_time_is_up },
  { "a leaving target takes nothing", leaving_target_takes_nothing },
};

TEST_MAIN ("owner", cases)

static struct own_limits
limits_of (double mean)
{
  struct own_limits limits = { .mean_load = mean,
                               .load_factor = 1.25,
                               .customer_weight = 1,
                               .slots = SLOTS };

  return limits;
}

static enum own_verdict
ask (struct own *own, uint32_t grant, const struct own_limits *limits,
     clk_ms now)
{
  struct own_ask ask
      = { .target = TARGET, .customer = 1, .instance = 3, .grant = grant };
  struct own_reply reply;

  own_decide (own, &ask, limits, now, &reply);
  return reply.verdict;
}

/* Random asks, releases, lost releases made good by holds: the load is the
   model's, and no grant goes beyond the bound.  */
static void
agrees_with_model (void)
{
  GRand *random = g_rand_new_with_seed (1);
  struct own *own = own_new ();
  struct model *model = g_new0 (struct model, 1);

  for (uint32_t step = 1; step <= STEPS; step++)
    {
      struct own_limits limits
          = limits_of (g_rand_double_range (random, 1, 12));
      int32_t bound
          = MIN (own_bound (limits.mean_load, limits.load_factor), SLOTS);
      clk_ms now = step;

      if (g_rand_int_range (random, 0, 2) == 0)
        {
          int granted = ask (own, step, &limits, now) == OWN_GRANT;

          CU_ASSERT_EQUAL (granted, model->load < bound);
          model->held[step] = (char)granted;
          model->load += granted;
          continue;
        }
      for (uint32_t id = step - 1; id > 0 && step - id < 60; id--)
        if (model->held[id])
          {
            own_release (own, TARGET, 3, id, OWN_OUTCOME_OK, now);
            model->held[id] = 0;
            model->load--;
            break;
          }
      CU_ASSERT_EQUAL (own_load (own, TARGET), model->load);
    }
  g_free (model);
  own_free (own);
  g_rand_free (random);
}

static void
repeated_ask_counts_once (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (1);

  CU_ASSERT_EQUAL (ask (own, 5, &limits, 0), OWN_GRANT);
  CU_ASSERT_EQUAL (ask (own, 5, &limits, 1), OWN_GRANT);
  CU_ASSERT_EQUAL (own_load (own, TARGET), 1);
  CU_ASSERT_EQUAL (ask (own, 6, &limits, 2), OWN_DENY_BOUND);
  own_free (own);
}

static void
hold_repairs_lost_releases (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (8);
  uint32_t held[] = { 2, 9 };

  for (uint32_t grant = 1; grant <= 3; grant++)
    CU_ASSERT_EQUAL (ask (own, grant, &limits, 0), OWN_GRANT);
  /* Too young: the asker may not have heard of its grant.  */
  CU_ASSERT_EQUAL (own_hold (own, TARGET, 3, held, 1, 100), 0);
  /* 1 and 3 were released unheard; 9 was granted by an earlier owner.  */
  CU_ASSERT_EQUAL (own_hold (own, TARGET, 3, held, 2, 1000), 3);
  CU_ASSERT_EQUAL (own_load (own, TARGET), 2);
  own_forget_instance (own, 3);
  CU_ASSERT_EQUAL (own_load (own, TARGET), 0);
  own_free (own);
}

static void
note_sends_elsewhere (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (8);
  struct own_note note = { TARGET, 77, 8, 1000 };
  struct own_ask question = { .target = TARGET, .chat = 77, .grant = 1 };
  struct own_reply reply;

  own_note_put (own, &note);
  own_decide (own, &question, &limits, 10, &reply);
  CU_ASSERT_EQUAL (reply.verdict, OWN_ELSEWHERE);
  CU_ASSERT_EQUAL (reply.elsewhere, 8);
  CU_ASSERT_EQUAL (own_load (own, TARGET), 0);
  question.flags = OWN_ASK_HERE;
  own_decide (own, &question, &limits, 20, &reply);
  CU_ASSERT_EQUAL (reply.verdict, OWN_GRANT);
  question.flags = 0;
  question.grant = 2;
  own_decide (own, &question, &limits, 30, &reply);
  CU_ASSERT_EQUAL (reply.verdict, OWN_GRANT);
  own_note_put (own, &note);
  CU_ASSERT_EQUAL (own_take_notes (own, TARGET, &note, 1), 1);
  CU_ASSERT_EQUAL (own_take_notes (own, TARGET, &note, 1), 0);
  own_note_put (own, &note);
  question.grant = 3;
  own_decide (own, &question, &limits, 2000, &reply);
  CU_ASSERT_EQUAL (reply.verdict, OWN_GRANT);
  own_free (own);
}

static void
breaker_opens_and_retries (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (8);

  for (uint32_t grant = 1; grant <= 2; grant++)
    {
      CU_ASSERT_EQUAL (ask (own, grant, &limits, 0), OWN_GRANT);
      own_release (own, TARGET, 3, grant, OWN_OUTCOME_FAILED, 0);
    }
  CU_ASSERT (own_is_down (own, TARGET));
  CU_ASSERT_EQUAL (ask (own, 3, &limits, 10), OWN_DENY_DOWN);
  CU_ASSERT_EQUAL (ask (own, 4, &limits, 300), OWN_GRANT);
  CU_ASSERT_EQUAL (ask (own, 5, &limits, 301), OWN_DENY_DOWN);
  own_release (own, TARGET, 3, 4, OWN_OUTCOME_OK, 310);
  CU_ASSERT (!own_is_down (own, TARGET));
  CU_ASSERT_EQUAL (ask (own, 6, &limits, 311), OWN_GRANT);
  own_free (own);
}

static void
customer_keeps_to_share (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (100);
  struct own_ask question = { .target = TARGET, .grant = 1 };
  struct own_reply reply;
  int granted = 0;

  limits.reserve_share = 0.2;
  question.customer = 2;
  own_decide (own, &question, &limits, 0, &reply);
  question.customer = 1;
  for (question.grant = 2; question.grant < 40; question.grant++)
    {
      own_decide (own, &question, &limits, 1, &reply);
      granted += reply.verdict == OWN_GRANT;
    }
  /* Idle slots are lent out, the reserve is kept for the other customer.  */
  CU_ASSERT_EQUAL (granted, SLOTS * 8 / 10 - 1);
  CU_ASSERT_EQUAL (reply.verdict, OWN_DENY_SHARE);
  question.customer = 2;
  own_decide (own, &question, &limits, 2, &reply);
  CU_ASSERT_EQUAL (reply.verdict, OWN_GRANT);
  own_free (own);
}

static void
queue_grants_by_priority (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (0.8);
  struct own_ask question = { .target = TARGET, .wait_ms = 500 };
  struct own_ask next;
  struct own_reply reply;

  CU_ASSERT_EQUAL (ask (own, 1, &limits, 0), OWN_GRANT);
  for (question.grant = 2; question.grant <= 4; question.grant++)
    {
      question.priority = question.grant == 3 ? 9 : 5;
      own_decide (own, &question, &limits, 1, &reply);
      CU_ASSERT_EQUAL (reply.verdict, OWN_WAIT);
    }
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 2, &next, &reply), 0);
  own_release (own, TARGET, 3, 1, OWN_OUTCOME_OK, 3);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 3, &next, &reply), 1);
  CU_ASSERT_EQUAL (next.grant, 3);
  CU_ASSERT_EQUAL (reply.verdict, OWN_GRANT);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 4, &next, &reply), 0);
  own_release (own, TARGET, 0, 3, OWN_OUTCOME_OK, 5);
  own_release (own, TARGET, 0, 2, OWN_OUTCOME_UNKNOWN, 5);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 6, &next, &reply), 1);
  CU_ASSERT_EQUAL (next.grant, 4);
  own_free (own);
}

static void
queue_denies_when_time_is_up (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (0.8);
  struct own_ask question = { .target = TARGET, .grant = 2, .wait_ms = 500 };
  struct own_ask next;
  struct own_reply reply;

  CU_ASSERT_EQUAL (ask (own, 1, &limits, 0), OWN_GRANT);
  own_decide (own, &question, &limits, 0, &reply);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 499, &next, &reply), 0);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 500, &next, &reply), 1);
  CU_ASSERT_EQUAL (reply.verdict, OWN_DENY_BOUND);
  CU_ASSERT_EQUAL (own_next (own, TARGET, &limits, 501, &next, &reply), 0);
  own_free (own);
}

static void
leaving_target_takes_nothing (void)
{
  struct own *own = own_new ();
  struct own_limits limits = limits_of (8);

  limits.leaving = 1;
  CU_ASSERT_EQUAL (ask (own, 1, &limits, 0), OWN_DENY_LEAVING);
  own_free (own);
}
