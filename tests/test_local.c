/* Contexts that are kept in each failure domain that uses them.  The load is
   that of short contexts which clients of all domains use.  */
#include <string.h>

#include "ibisloom/balance.h"
#include "ibisloom/source.h"
#include "test.h"

enum
{
  DOMAINS = 4,
  PER_DOMAIN = 10,
  TARGETS = DOMAINS * PER_DOMAIN,
  CONTEXTS = 200,
  ARRIVALS = 40000,
  ARRIVALS_PER_MS = 1,
  REQUEST_MS = 200, /* duration of a request: five at a target on average */
  BUSY_DOMAIN_SHARE = 55, /* per cent of the requests, where 25 are usual */
  SOFTWARE = 1,
  TOKENS = 700
};

static const double CAP_FACTOR = 2;
static const double CAP_SLACK = 3;

static void nearby_holder_is_preferred (void);
static void context_gets_a_home_nearby (void);
static void busy_domain_uses_others (void);
static void without_the_setting_the_oldest_holder_is_used (void);
static void nearby_source_is_preferred (void);
static void uneven_load_stays_within_the_bound (void);

static const struct test_case cases[] = {
  { "a holder in the own domain is preferred", nearby_holder_is_preferred },
  { "a context that only other domains hold gets a home nearby",
    context_gets_a_home_nearby },
  { "a domain that is loaded more uses the holders of others",
    busy_domain_uses_others },
  { "without the setting the oldest holder is used",
    without_the_setting_the_oldest_holder_is_used },
  { "a context is copied within the domain if it can be",
    nearby_source_is_preferred },
  { "requests that come unevenly stay near and within the load bound",
    uneven_load_stays_within_the_bound },
};

TEST_MAIN ("local", cases)

static struct bal_candidate candidates[TARGETS];

/* Resets the candidates as an instance in DOMAIN sees them.  */
static void
fill (int domain)
{
  memset (candidates, 0, sizeof candidates);
  for (int i = 0; i < TARGETS; i++)
    {
      candidates[i].id = 1000 + (uint64_t)i * 7919;
      candidates[i].slots = 64;
      candidates[i].local = i / PER_DOMAIN == domain;
    }
}

/* Returns the index of the target for a request with CONTEXT, which HOLDERS
   hold.  */
static size_t
pick (uint64_t context, const struct affinity_holders *holders,
      uint8_t prefers_local, struct bal_choice *choice)
{
  struct bal_params params = { .context = context,
                               .holders = holders,
                               .cap_factor = CAP_FACTOR,
                               .cap_slack = CAP_SLACK,
                               .prefers_local = prefers_local };

  CU_ASSERT_FATAL (bal_pick (&params, candidates, TARGETS, choice));
  return choice->index;
}

/* Guards against requests that go to another domain though a target nearby
   holds their context.  */
static void
nearby_holder_is_preferred (void)
{
  struct affinity_holders holders = { .count = 2 };
  struct bal_choice choice;

  fill (0);
  holders.target[0] = candidates[TARGETS - 1].id;
  holders.target[1] = candidates[1].id;
  CU_ASSERT_EQUAL (pick (5, &holders, 1, &choice), 1);
  CU_ASSERT_EQUAL (choice.reason, BAL_HOLDER);
}

/* Guards against a context that stays in the domain that used it first.  */
static void
context_gets_a_home_nearby (void)
{
  struct affinity_holders holders = { .count = 1 };
  struct bal_choice choice;

  fill (2);
  holders.target[0] = candidates[0].id;
  CU_ASSERT_EQUAL (pick (5, &holders, 1, &choice) / PER_DOMAIN, 2);
  CU_ASSERT_EQUAL (choice.skip, BAL_SKIP_REMOTE);
  CU_ASSERT (choice.reason == BAL_HOME || choice.reason == BAL_NEXT_HOME);
}

/* Guards against a domain that fills its targets up to the load bound while
   those of others are idle.  */
static void
busy_domain_uses_others (void)
{
  struct affinity_holders holders = { .count = 1 };
  struct bal_choice choice;

  fill (0);
  holders.target[0] = candidates[TARGETS - 1].id;
  for (int i = 0; i < TARGETS; i++)
    candidates[i].load = i < PER_DOMAIN ? 10 : 3;
  CU_ASSERT_EQUAL (pick (5, &holders, 1, &choice), TARGETS - 1);
  CU_ASSERT (choice.limit > 10);
}

static void
without_the_setting_the_oldest_holder_is_used (void)
{
  struct affinity_holders holders = { .count = 2 };
  struct bal_choice choice;

  fill (0);
  holders.target[0] = candidates[TARGETS - 1].id;
  holders.target[1] = candidates[1].id;
  CU_ASSERT_EQUAL (pick (5, &holders, 0, &choice), TARGETS - 1);
}

/* Guards against copies between domains where one within the domain would do,
   and against a suspended source because it is near.  */
static void
nearby_source_is_preferred (void)
{
  struct source_holder holders[] = {
    { .software = SOFTWARE, .is_reachable = 1, .is_usable = 1 },
    { .software = SOFTWARE, .is_reachable = 1, .is_near = 1 },
    { .software = SOFTWARE, .is_reachable = 1, .is_usable = 1, .is_near = 1 },
    { .software = SOFTWARE, .is_reachable = 1, .is_usable = 1, .is_near = 1 },
  };

  CU_ASSERT_EQUAL (source_pick (SOFTWARE, TOKENS, holders, 4), 2);
  CU_ASSERT_EQUAL (source_pick (SOFTWARE, TOKENS, holders, 2), 0);
}

/* Sends a request with CONTEXT from DOMAIN and returns its target, which holds
   the context from then on.  */
static size_t
send_request (struct affinity *affinity, uint64_t context, int domain,
              clk_ms now)
{
  struct bal_choice choice;
  size_t index;

  for (int i = 0; i < TARGETS; i++)
    candidates[i].local = i / PER_DOMAIN == domain;
  index = pick (context, affinity_find (affinity, context), 1, &choice);
  CU_ASSERT (candidates[index].load <= CAP_FACTOR * choice.mean + CAP_SLACK);
  candidates[index].load++;
  affinity_record (affinity, context, candidates[index].id, now);
  return index;
}

/* Guards against a preference that overloads the targets of a domain with more
   requests than the others, or that sends its requests away without need: the
   domain has over half of the requests, its share of the targets is a
   quarter, and half the distance to the load bound is 1.5 times the mean.  */
static void
uneven_load_stays_within_the_bound (void)
{
  struct affinity *affinity = affinity_new ();
  size_t ends_at[REQUEST_MS] = { 0 };
  uint32_t near = 0;
  uint32_t seed = 1;

  fill (0);
  for (int n = 0; n < ARRIVALS; n++)
    {
      size_t *slot = &ends_at[n / ARRIVALS_PER_MS % REQUEST_MS];
      int domain;

      seed = seed * 1664525 + 1013904223;
      if (*slot != 0)
        candidates[*slot - 1].load--;
      domain = (seed >> 8) % 100 < BUSY_DOMAIN_SHARE
                   ? 0
                   : 1 + (int)((seed >> 16) % (DOMAINS - 1));
      *slot = 1
              + send_request (affinity, 1 + (seed >> 10) % CONTEXTS, domain,
                              n / ARRIVALS_PER_MS);
      near += (int)((*slot - 1) / PER_DOMAIN) == domain;
    }
  CU_ASSERT (near > ARRIVALS * 0.7);
  affinity_free (affinity);
}
