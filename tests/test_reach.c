/* Tests of the decisions on being cut off from targets and on hops, in virtual
   time. */
#include <string.h>

#include "ibisloom/hops.h"
#include "test.h"

enum
{
  TARGETS = 12,
  DOMAINS = 3
};

static void ended_targets_are_no_cut (void);
static void a_cut_is_found_and_ends (void);
static void old_and_repeated_failures_do_not_count (void);
static void probes_go_to_all_failure_domains (void);
static void few_targets_suffice_for_a_cut (void);
static void cut_ends_when_half_of_the_targets_are_back (void);
static void service_without_targets_is_no_cut (void);
static void hops_spread_over_instances (void);
static void hops_avoid_instances (void);
static void marks_are_read_as_printed (void);
static void malformed_marks_are_rejected (void);

static const struct test_case cases[] = {
  { "a few ended targets are not taken for a cut", ended_targets_are_no_cut },
  { "a cut is found by probes alone, and ends by one",
    a_cut_is_found_and_ends },
  { "old and repeated failures do not count, but those of half the targets",
    old_and_repeated_failures_do_not_count },
  { "probes go to all failure domains", probes_go_to_all_failure_domains },
  { "one or two targets suffice for a cut", few_targets_suffice_for_a_cut },
  { "a cut ends when half of the targets are back",
    cut_ends_when_half_of_the_targets_are_back },
  { "a service without targets is no cut", service_without_targets_is_no_cut },
  { "hops spread over instances by load", hops_spread_over_instances },
  { "hops avoid lost, cut off and tried instances", hops_avoid_instances },
  { "marks of hops are read as printed", marks_are_read_as_printed },
  { "malformed marks of hops are rejected", malformed_marks_are_rejected },
};

TEST_MAIN ("reach", cases)

static const char *const domains[DOMAINS] = { "a", "b", "c" };
static struct reach_candidate candidates[TARGETS];

/* Fills in the candidates 1 to TARGETS, in all domains.  */
static void
list_candidates (void)
{
  for (int i = 0; i < TARGETS; i++)
    candidates[i]
        = (struct reach_candidate){ (uint64_t)i + 1, domains[i % DOMAINS] };
}

/* Starts the probes of REACH that are due among COUNT candidates.  Returns how
   many.  */
static size_t
probe (struct reach *reach, size_t count, clk_ms now)
{
  size_t chosen[REACH_PROBED_MAX];
  uint32_t wanted = reach_probes_due (reach, now);

  list_candidates ();
  return wanted == 0 ? 0
                     : reach_choose_probes (reach, candidates, count, 5,
                                            wanted, chosen, now);
}

/* Has COUNT probes end, of which SUCCEEDED well.  Returns whether the last one
   changed the state.  */
static int
end_probes (struct reach *reach, size_t count, size_t succeeded, clk_ms now)
{
  int has_changed = 0;

  for (size_t i = 0; i < count; i++)
    has_changed = reach_probe_end (reach, i < succeeded, now);
  return has_changed;
}

static void
ended_targets_are_no_cut (void)
{
  struct reach reach = { 0 };

  CU_ASSERT_FALSE (reach_fail (&reach, 1, TARGETS, 1000));
  CU_ASSERT_TRUE (reach_fail (&reach, 2, TARGETS, 1010));
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 1010), 3);
  CU_ASSERT_TRUE (end_probes (&reach, 3, 2, 1020));
  CU_ASSERT_EQUAL (reach.state, REACH_OPEN);
  CU_ASSERT_EQUAL (reach_probes_due (&reach, 5000), 0);
  CU_ASSERT_EQUAL (reach_answer (&reach, 1040), REACH_ANSWER_YES);
  CU_ASSERT_EQUAL (reach_answer (&reach, 9000), REACH_ANSWER_UNKNOWN);
  reach_fail (&reach, 1, TARGETS, 9000);
  CU_ASSERT_TRUE (reach_fail (&reach, 2, TARGETS, 9000));
  CU_ASSERT_FALSE (
      end_probes (&reach, probe (&reach, TARGETS, 9000), 1, 9100));
  CU_ASSERT_TRUE (end_probes (&reach, probe (&reach, TARGETS, 9100), 1, 9200));
  CU_ASSERT_EQUAL (reach.state, REACH_OPEN);
}

static void
a_cut_is_found_and_ends (void)
{
  struct reach reach = { 0 };

  reach_respond (&reach, 990);
  reach_fail (&reach, 1, TARGETS, 1000);
  reach_fail (&reach, 2, TARGETS, 1300);
  reach_respond (&reach, 1310);
  reach_establish (&reach, 1310);
  CU_ASSERT_EQUAL (reach_answer (&reach, 1320), REACH_ANSWER_NO);
  CU_ASSERT_FALSE (
      end_probes (&reach, probe (&reach, TARGETS, 1300), 0, 1600));
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 1600), 5);
  CU_ASSERT_TRUE (end_probes (&reach, 5, 1, 1900));
  CU_ASSERT_EQUAL (reach.state, REACH_CUT_OFF);
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2000), 0);
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2100), 2);
  CU_ASSERT_FALSE (end_probes (&reach, 2, 0, 2400));
  reach_respond (&reach, 2500);
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2600), 2);
  CU_ASSERT_FALSE (end_probes (&reach, 2, 1, 2610));
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2610), 8);
  CU_ASSERT_FALSE (end_probes (&reach, 8, 3, 2620));
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2620), 0);
  CU_ASSERT_EQUAL (reach.state, REACH_CUT_OFF);
  reach_establish (&reach, 2700);
  CU_ASSERT_EQUAL (probe (&reach, TARGETS, 2700), 8);
  CU_ASSERT_TRUE (end_probes (&reach, 8, 5, 2710));
  CU_ASSERT_EQUAL (reach.state, REACH_OPEN);
}

static void
old_and_repeated_failures_do_not_count (void)
{
  struct reach reach = { 0 };

  reach_fail (&reach, 1, TARGETS, 1000);
  CU_ASSERT_FALSE (reach_fail (&reach, 1, TARGETS, 1500));
  CU_ASSERT_FALSE (reach_fail (&reach, 2, TARGETS, 4100));
  for (uint64_t i = 3; i < TARGETS / 2; i++)
    {
      reach_establish (&reach, 4200);
      CU_ASSERT_FALSE (reach_fail (&reach, i, TARGETS, 4300));
      reach_establish (&reach, 4310);
    }
  CU_ASSERT_FALSE (reach_fail (&reach, 20, TARGETS, 4400));
  reach_establish (&reach, 4410);
  CU_ASSERT_TRUE (reach_fail (&reach, 21, TARGETS, 4420));
}

static void
probes_go_to_all_failure_domains (void)
{
  struct reach reach = { .state = REACH_SUSPECT };
  size_t chosen[REACH_PROBED_MAX];
  int seen[DOMAINS] = { 0 };

  list_candidates ();
  CU_ASSERT_EQUAL (
      reach_choose_probes (&reach, candidates, TARGETS, 7, 3, chosen, 1), 3);
  for (int i = 0; i < 3; i++)
    seen[chosen[i] % DOMAINS]++;
  CU_ASSERT_TRUE (seen[0] == 1 && seen[1] == 1 && seen[2] == 1);
}

static void
few_targets_suffice_for_a_cut (void)
{
  for (uint32_t count = 1; count <= 2; count++)
    {
      struct reach reach = { 0 };
      uint32_t failed = 0;

      while (failed < count)
        reach_fail (&reach, ++failed, count, 1000);
      CU_ASSERT_EQUAL (reach.state, REACH_SUSPECT);
      CU_ASSERT_FALSE (
          end_probes (&reach, probe (&reach, count, 1000), 0, 1100));
      CU_ASSERT_EQUAL (probe (&reach, count, 1100), 0);
      CU_ASSERT_TRUE (reach_round_end (&reach));
      CU_ASSERT_EQUAL (reach.state, REACH_CUT_OFF);
    }
}

static void
cut_ends_when_half_of_the_targets_are_back (void)
{
  struct reach reach = { .state = REACH_CUT_OFF };
  clk_ms now = 10000;

  for (int i = 0; i < 4 && reach.state == REACH_CUT_OFF; i++, now += 1000)
    {
      size_t count = probe (&reach, 2, now);

      end_probes (&reach, count, count / 2, now + 1);
    }
  CU_ASSERT_EQUAL (reach.state, REACH_OPEN);
}

static void
service_without_targets_is_no_cut (void)
{
  struct reach reach = { 0 };

  CU_ASSERT_FALSE (reach_fail (&reach, 1, 0, 1000));
  CU_ASSERT_EQUAL (reach.state, REACH_OPEN);
}

/* Fills PEERS with instances 1 to HOP_PEERS_MAX that reach the service.  */
static void
fill (struct hop_peers *peers)
{
  memset (peers, 0, sizeof *peers);
  for (uint32_t i = 0; i < HOP_PEERS_MAX; i++)
    peers->peer[i] = (struct hop_peer){ .id = i + 1,
                                        .has_answered = 1,
                                        .answer = REACH_ANSWER_YES };
}

static void
hops_spread_over_instances (void)
{
  struct hop_peers peers;
  uint32_t most = 0;
  uint32_t least = UINT32_MAX;

  fill (&peers);
  peers.peer[3].load = 1000;
  for (uint32_t i = 0; i < 800; i++)
    peers.peer[hop_pick (&peers, NULL, 0, i * 2654435761U >> 7, 0)].sent++;
  CU_ASSERT_EQUAL (peers.peer[3].sent, 0);
  peers.peer[3].sent = 800 / (HOP_PEERS_MAX - 1);
  for (int i = 0; i < HOP_PEERS_MAX; i++)
    {
      most = MAX (most, peers.peer[i].sent);
      least = MIN (least, peers.peer[i].sent);
    }
  CU_ASSERT_TRUE (most <= least + 20);
}

static void
hops_avoid_instances (void)
{
  const uint32_t tried[] = { 4 };
  struct hop_peers peers;

  fill (&peers);
  peers.peer[0].unanswered = 3;
  peers.peer[1].answer = REACH_ANSWER_NO;
  peers.peer[2].avoid_until_ms = 100;
  peers.peer[4].has_answered = 0;
  peers.peer[5].answer = REACH_ANSWER_UNKNOWN;
  peers.peer[6].id = 0;
  peers.peer[7].id = 0;
  CU_ASSERT_TRUE (hop_awaits_answers (&peers));
  CU_ASSERT_EQUAL (hop_pick (&peers, NULL, 0, 1, 50), 3);
  CU_ASSERT_EQUAL (hop_pick (&peers, tried, 1, 1, 50), 5);
  CU_ASSERT_EQUAL (hop_pick (&peers, tried, 1, 1, 100), 2);
  peers.peer[5].answer = REACH_ANSWER_NO;
  CU_ASSERT_EQUAL (hop_pick (&peers, tried, 1, 1, 50), HOP_NO_PEER);
}

static void
marks_are_read_as_printed (void)
{
  static const char *const names[] = { "", "-", "a b%2", "plain" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct hop_mark mark;
      struct hop_mark parsed;
      GString *text = g_string_new (NULL);

      memset (&mark, 0, sizeof mark);
      mark.token = UINT64_MAX - i;
      mark.sender = UINT32_MAX;
      mark.kind = RT_STREAM;
      mark.takes_up = 1;
      mark.is_split = 1;
      mark.attempts_max = 2;
      mark.pause_ms = 400;
      mark.software = 0xfeedU;
      g_strlcpy (mark.service, "pool", sizeof mark.service);
      g_strlcpy (mark.customer, names[i], sizeof mark.customer);
      hop_mark_print (text, &mark);
      CU_ASSERT_EQUAL (hop_mark_parse (text->str, &parsed), 0);
      CU_ASSERT_STRING_EQUAL (parsed.customer, names[i]);
      CU_ASSERT_TRUE (
          parsed.token == mark.token && parsed.sender == mark.sender
          && parsed.kind == mark.kind && parsed.takes_up && parsed.is_split
          && !parsed.is_counted && parsed.attempts_max == 2
          && parsed.pause_ms == 400 && parsed.software == 0xfeedU
          && strcmp (parsed.service, "pool") == 0);
      g_string_free (text, TRUE);
    }
}

static void
malformed_marks_are_rejected (void)
{
  static const char *const marks[] = { "",
                                       "refused",
                                       "2 1 1 0 0 1 0 0 0 0 pool -",
                                       "1 1 1 0 0 1 0 0 0 0 pool",
                                       "1 1 1 0 0 1 0 0 0 0 - -",
                                       "1 1 1 3 0 1 0 0 0 0 pool -",
                                       "1 1 1 0 0 0 0 0 0 0 pool -",
                                       "1 1 1 0 20 1 0 0 0 0 pool -",
                                       "1 1 1 0 0 1 0 0 0 0 pool - x",
                                       "1 1 1 0 0 1 0 0 0 0 pool %0d",
                                       "1 -1 1 0 0 1 0 0 0 0 pool -" };
  struct hop_mark mark;

  for (size_t i = 0; i < G_N_ELEMENTS (marks); i++)
    CU_ASSERT_EQUAL (hop_mark_parse (marks[i], &mark), -1);
  CU_ASSERT_EQUAL (hop_mark_parse ("1 1 1 0 0 1 0 0 0 0 pool -", &mark), 0);
}
