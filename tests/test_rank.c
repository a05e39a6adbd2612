/* Rendezvous ranking against a naive version. */
#include <math.h>
#include <stdlib.h>

#include "ibisloom/assign.h"
#include "ibisloom/rank.h"
#include "test.h"

enum
{
  NODES = 40,
  KEYS = 4000,
  TOP = 8
};

static void fill (struct rank_node *nodes, GRand *random, int uniform);
static void short_ranking_is_a_prefix (void);
static void removed_node_moves_only_its_keys (void);
static void shares_follow_weights (void);
static void zero_weight_is_skipped (void);
static void hash_separates_its_parts (void);
static void assignment_is_even_and_stable (void);

static const struct test_case cases[] = {
  { "a short ranking starts the full one", short_ranking_is_a_prefix },
  { "a node that leaves moves only its keys",
    removed_node_moves_only_its_keys },
  { "shares follow weights", shares_follow_weights },
  { "weight 0 is left out", zero_weight_is_skipped },
  { "hashed parts do not run together", hash_separates_its_parts },
  { "owners hold even shares", assignment_is_even_and_stable },
};

TEST_MAIN ("rank", cases)

static void
fill (struct rank_node *nodes, GRand *random, int uniform)
{
  for (int i = 0; i < NODES; i++)
    {
      nodes[i].id = g_rand_int (random);
      nodes[i].weight = uniform ? 1 : g_rand_int_range (random, 1, 5);
    }
}

/* The naive version asks for one node, removes it, and asks again.  */
static void
short_ranking_is_a_prefix (void)
{
  GRand *random = g_rand_new_with_seed (1);

  for (int round = 0; round < 200; round++)
    {
      struct rank_node nodes[NODES];
      size_t top[TOP];
      uint64_t key = ((uint64_t)g_rand_int (random) << 32) + (uint64_t)round;

      fill (nodes, random, round % 2);
      CU_ASSERT_EQUAL (rank_top (key, nodes, NODES, top, TOP), TOP);
      for (int i = 0; i < TOP; i++)
        {
          size_t best;

          CU_ASSERT_EQUAL (rank_top (key, nodes, NODES, &best, 1), 1);
          CU_ASSERT_EQUAL (best, top[i]);
          nodes[best].weight = 0;
        }
    }
  g_rand_free (random);
}

static void
removed_node_moves_only_its_keys (void)
{
  GRand *random = g_rand_new_with_seed (2);
  struct rank_node nodes[NODES];
  int moved = 0;

  fill (nodes, random, 1);
  for (uint64_t key = 1; key <= KEYS; key++)
    {
      size_t before;
      size_t after;

      nodes[7].weight = 1;
      rank_top (key, nodes, NODES, &before, 1);
      nodes[7].weight = 0;
      rank_top (key, nodes, NODES, &after, 1);
      CU_ASSERT (before == after || before == 7);
      moved += before == 7;
    }
  CU_ASSERT (moved > KEYS / NODES / 2 && moved < KEYS / NODES * 2);
  g_rand_free (random);
}

static void
shares_follow_weights (void)
{
  struct rank_node nodes[] = { { 11, 1 }, { 22, 3 } };
  int heavy = 0;

  for (uint64_t key = 1; key <= KEYS; key++)
    {
      size_t top;

      rank_top (key * 0x9e3779b97f4a7c15ULL, nodes, 2, &top, 1);
      heavy += top == 1;
    }
  CU_ASSERT_DOUBLE_EQUAL ((double)heavy / KEYS, 0.75, 0.03);
}

static void
zero_weight_is_skipped (void)
{
  struct rank_node nodes[] = { { 1, 0 }, { 2, 1 }, { 3, 0 } };
  size_t top[3];

  CU_ASSERT_EQUAL (rank_top (5, nodes, 3, top, 3), 1);
  CU_ASSERT_EQUAL (top[0], 1);
  CU_ASSERT_EQUAL (rank_top (5, nodes, 0, top, 3), 0);
}

static void
hash_separates_its_parts (void)
{
  CU_ASSERT_NOT_EQUAL (rank_hash_parts ("ab", "c", ""),
                       rank_hash_parts ("a", "bc", ""));
  CU_ASSERT_NOT_EQUAL (rank_hash_parts ("a", "", "b"),
                       rank_hash_parts ("a", "b", ""));
}

/* Each instance owns at most the even share, and most targets keep their
   owner when one instance leaves.  */
static void
assignment_is_even_and_stable (void)
{
  enum
  {
    TARGETS = 120,
    INSTANCES = 10
  };
  GRand *random = g_rand_new_with_seed (3);
  uint64_t targets[TARGETS];
  struct rank_node instances[INSTANCES];
  uint32_t before[TARGETS];
  uint32_t after[TARGETS];
  int held[INSTANCES] = { 0 };
  int moved = 0;

  for (int i = 0; i < TARGETS; i++)
    targets[i] = g_rand_int (random);
  for (int i = 0; i < INSTANCES; i++)
    instances[i] = (struct rank_node){ (uint64_t)i + 1, 1 };
  assign_owners (targets, TARGETS, instances, INSTANCES, before);
  assign_owners (targets, TARGETS, instances, INSTANCES - 1, after);
  for (int i = 0; i < TARGETS; i++)
    {
      held[before[i] - 1]++;
      moved += before[i] != after[i];
    }
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT (held[i] <= TARGETS / INSTANCES);
  CU_ASSERT (moved >= TARGETS / INSTANCES && moved < TARGETS / 2);
  g_rand_free (random);
}
