/* Admission control against a reference model, in virtual time. */
#include <string.h>

#include "ibisloom/admission.h"
#include "test.h"

enum
{
  TARGET = 7,
  STEPS = 20000,
  SLOTS = 20
};

/* Reference model: the grants in use. */
struct model
{
  char held[STEPS + 1];
  int load;
};

static struct adm_limits limits_of (double mean);
static enum adm_verdict request_admission (struct adm_state *adm_state,
                                           uint32_t grant,
                                           const struct adm_limits *limits,
                                           clk_ms now);
static void agrees_with_model (void);
static void repeated_request_counts_once (void);
static void reconcile_repairs_lost_releases (void);
static void note_redirects_request (void);
static void breaker_opens_and_probes (void);
static void customer_is_limited_to_share (void);
static void queue_grants_by_priority (void);
static void queue_denies_at_deadline (void);
static void leaving_target_denies_all (void);

static const struct test_case cases[] = {
  { "agrees with a reference model", agrees_with_model },
  { "a repeated request counts once", repeated_request_counts_once },
  { "reconciliation repairs lost releases", reconcile_repairs_lost_releases },
  { "a note redirects a request", note_redirects_request },
  { "the breaker opens and probes", breaker_opens_and_probes },
  { "a customer is limited to its share", customer_is_limited_to_share },
  { "the queue grants by priority", queue_grants_by_priority },
  { "the queue denies at the deadline", queue_denies_at_deadline },
  { "a leaving target denies all requests", leaving_target_denies_all },
};

TEST_MAIN ("admission", cases)

/* Returns limits with the mean load MEAN.  */
static struct adm_limits
limits_of (double mean)
{
  struct adm_limits limits = { .mean_load = mean,
                               .load_factor = 1.25,
                               .customer_weight = 1,
                               .slots = SLOTS };

  return limits;
}

/* Requests admission to TARGET for GRANT at NOW; returns the verdict.  */
static enum adm_verdict
request_admission (struct adm_state *adm_state, uint32_t grant,
                   const struct adm_limits *limits, clk_ms now)
{
  struct adm_request request_admission
      = { .target = TARGET, .customer = 1, .instance = 3, .grant = grant };
  struct adm_reply reply;

  adm_decide (adm_state, &request_admission, limits, now, &reply);
  return reply.verdict;
}

/* Random requests and releases: the load equals the model's, and no grant
   exceeds the bound.  */
static void
agrees_with_model (void)
{
  GRand *random = g_rand_new_with_seed (1);
  struct adm_state *adm_state = adm_new ();
  struct model *model = g_new0 (struct model, 1);

  for (uint32_t step = 1; step <= STEPS; step++)
    {
      struct adm_limits limits
          = limits_of (g_rand_double_range (random, 1, 12));
      int32_t bound
          = MIN (adm_load_bound (limits.mean_load, limits.load_factor), SLOTS);
      clk_ms now = step;

      if (g_rand_int_range (random, 0, 2) == 0)
        {
          int granted
              = request_admission (adm_state, step, &limits, now) == ADM_GRANT;

          CU_ASSERT_EQUAL (granted, model->load < bound);
          model->held[step] = (char)granted;
          model->load += granted;
          continue;
        }
      for (uint32_t id = step - 1; id > 0 && step - id < 60; id--)
        if (model->held[id])
          {
            adm_release (adm_state, TARGET, 3, id, ADM_OUTCOME_OK, now);
            model->held[id] = 0;
            model->load--;
            break;
          }
      CU_ASSERT_EQUAL (adm_load (adm_state, TARGET), model->load);
    }
  g_free (model);
  adm_free (adm_state);
  g_rand_free (random);
}

static void
repeated_request_counts_once (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (1);

  CU_ASSERT_EQUAL (request_admission (adm_state, 5, &limits, 0), ADM_GRANT);
  CU_ASSERT_EQUAL (request_admission (adm_state, 5, &limits, 1), ADM_GRANT);
  CU_ASSERT_EQUAL (adm_load (adm_state, TARGET), 1);
  CU_ASSERT_EQUAL (request_admission (adm_state, 6, &limits, 2),
                   ADM_DENY_BOUND);
  adm_free (adm_state);
}

static void
reconcile_repairs_lost_releases (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (8);
  uint32_t held[] = { 2, 9 };

  for (uint32_t grant = 1; grant <= 3; grant++)
    CU_ASSERT_EQUAL (request_admission (adm_state, grant, &limits, 0),
                     ADM_GRANT);
  /* Within the grace time: the grants may not have reached the instance
     yet.  */
  CU_ASSERT_EQUAL (adm_reconcile (adm_state, TARGET, 3, held, 1, 100), 0);
  /* The releases of 1 and 3 were lost; 9 was granted by a previous owner.  */
  CU_ASSERT_EQUAL (adm_reconcile (adm_state, TARGET, 3, held, 2, 1000), 3);
  CU_ASSERT_EQUAL (adm_load (adm_state, TARGET), 2);
  adm_drop_instance (adm_state, 3);
  CU_ASSERT_EQUAL (adm_load (adm_state, TARGET), 0);
  adm_free (adm_state);
}

static void
note_redirects_request (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (8);
  struct adm_note note = { TARGET, 77, 8, 1000 };
  struct adm_request request = { .target = TARGET, .chat = 77, .grant = 1 };
  struct adm_reply reply;

  adm_note_put (adm_state, &note);
  adm_decide (adm_state, &request, &limits, 10, &reply);
  CU_ASSERT_EQUAL (reply.verdict, ADM_REDIRECT);
  CU_ASSERT_EQUAL (reply.redirect, 8);
  CU_ASSERT_EQUAL (adm_load (adm_state, TARGET), 0);
  request.flags = ADM_NO_REDIRECT;
  adm_decide (adm_state, &request, &limits, 20, &reply);
  CU_ASSERT_EQUAL (reply.verdict, ADM_GRANT);
  request.flags = 0;
  request.grant = 2;
  adm_decide (adm_state, &request, &limits, 30, &reply);
  CU_ASSERT_EQUAL (reply.verdict, ADM_GRANT);
  adm_note_put (adm_state, &note);
  CU_ASSERT_EQUAL (adm_note_extract (adm_state, TARGET, &note, 1), 1);
  CU_ASSERT_EQUAL (adm_note_extract (adm_state, TARGET, &note, 1), 0);
  adm_note_put (adm_state, &note);
  request.grant = 3;
  adm_decide (adm_state, &request, &limits, 2000, &reply);
  CU_ASSERT_EQUAL (reply.verdict, ADM_GRANT);
  adm_free (adm_state);
}

static void
breaker_opens_and_probes (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (8);

  for (uint32_t grant = 1; grant <= 2; grant++)
    {
      CU_ASSERT_EQUAL (request_admission (adm_state, grant, &limits, 0),
                       ADM_GRANT);
      adm_release (adm_state, TARGET, 3, grant, ADM_OUTCOME_FAILED, 0);
    }
  CU_ASSERT (adm_is_down (adm_state, TARGET));
  CU_ASSERT_EQUAL (request_admission (adm_state, 3, &limits, 10),
                   ADM_DENY_DOWN);
  CU_ASSERT_EQUAL (request_admission (adm_state, 4, &limits, 300), ADM_GRANT);
  CU_ASSERT_EQUAL (request_admission (adm_state, 5, &limits, 301),
                   ADM_DENY_DOWN);
  adm_release (adm_state, TARGET, 3, 4, ADM_OUTCOME_OK, 310);
  CU_ASSERT (!adm_is_down (adm_state, TARGET));
  CU_ASSERT_EQUAL (request_admission (adm_state, 6, &limits, 311), ADM_GRANT);
  adm_free (adm_state);
}

static void
customer_is_limited_to_share (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (100);
  struct adm_request request = { .target = TARGET, .grant = 1 };
  struct adm_reply reply;
  int granted = 0;

  limits.reserve_share = 0.2;
  request.customer = 2;
  adm_decide (adm_state, &request, &limits, 0, &reply);
  request.customer = 1;
  for (request.grant = 2; request.grant < 40; request.grant++)
    {
      adm_decide (adm_state, &request, &limits, 1, &reply);
      granted += reply.verdict == ADM_GRANT;
    }
  /* Idle slots are granted beyond the share; the reserve stays free for the
     other customer.  */
  CU_ASSERT_EQUAL (granted, SLOTS * 8 / 10 - 1);
  CU_ASSERT_EQUAL (reply.verdict, ADM_DENY_SHARE);
  request.customer = 2;
  adm_decide (adm_state, &request, &limits, 2, &reply);
  CU_ASSERT_EQUAL (reply.verdict, ADM_GRANT);
  adm_free (adm_state);
}

static void
queue_grants_by_priority (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (0.8);
  struct adm_request request = { .target = TARGET, .wait_ms = 500 };
  struct adm_request next;
  struct adm_reply reply;

  CU_ASSERT_EQUAL (request_admission (adm_state, 1, &limits, 0), ADM_GRANT);
  for (request.grant = 2; request.grant <= 4; request.grant++)
    {
      request.priority = request.grant == 3 ? 9 : 5;
      adm_decide (adm_state, &request, &limits, 1, &reply);
      CU_ASSERT_EQUAL (reply.verdict, ADM_QUEUED);
    }
  CU_ASSERT_EQUAL (adm_dequeue (adm_state, TARGET, &limits, 2, &next, &reply),
                   0);
  adm_release (adm_state, TARGET, 3, 1, ADM_OUTCOME_OK, 3);
  CU_ASSERT_EQUAL (adm_dequeue (adm_state, TARGET, &limits, 3, &next, &reply),
                   1);
  CU_ASSERT_EQUAL (next.grant, 3);
  CU_ASSERT_EQUAL (reply.verdict, ADM_GRANT);
  CU_ASSERT_EQUAL (adm_dequeue (adm_state, TARGET, &limits, 4, &next, &reply),
                   0);
  adm_release (adm_state, TARGET, 0, 3, ADM_OUTCOME_OK, 5);
  adm_release (adm_state, TARGET, 0, 2, ADM_OUTCOME_UNKNOWN, 5);
  CU_ASSERT_EQUAL (adm_dequeue (adm_state, TARGET, &limits, 6, &next, &reply),
                   1);
  CU_ASSERT_EQUAL (next.grant, 4);
  adm_free (adm_state);
}

static void
queue_denies_at_deadline (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (0.8);
  struct adm_request request
      = { .target = TARGET, .grant = 2, .wait_ms = 500 };
  struct adm_request next;
  struct adm_reply reply;

  CU_ASSERT_EQUAL (request_admission (adm_state, 1, &limits, 0), ADM_GRANT);
  adm_decide (adm_state, &request, &limits, 0, &reply);
  CU_ASSERT_EQUAL (
      adm_dequeue (adm_state, TARGET, &limits, 499, &next, &reply), 0);
  CU_ASSERT_EQUAL (
      adm_dequeue (adm_state, TARGET, &limits, 500, &next, &reply), 1);
  CU_ASSERT_EQUAL (reply.verdict, ADM_DENY_BOUND);
  CU_ASSERT_EQUAL (
      adm_dequeue (adm_state, TARGET, &limits, 501, &next, &reply), 0);
  adm_free (adm_state);
}

static void
leaving_target_denies_all (void)
{
  struct adm_state *adm_state = adm_new ();
  struct adm_limits limits = limits_of (8);

  limits.leaving = 1;
  CU_ASSERT_EQUAL (request_admission (adm_state, 1, &limits, 0),
                   ADM_DENY_LEAVING);
  adm_free (adm_state);
}
