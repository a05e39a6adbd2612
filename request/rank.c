/* Weighted rendezvous hashing. */
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "ibisloom/rank.h"

enum
{
  SCORE_SHIFT = 11 /* leaves the 53 bits that a double holds */
};

struct scored
{
  double score;
  size_t index;
};

static size_t top_uniform (uint64_t key, const struct rank_node *nodes,
                           size_t count, struct scored *best, size_t capacity);
static size_t top_weighted (uint64_t key, const struct rank_node *nodes,
                            size_t count, struct scored *best,
                            size_t capacity);
static size_t insert (struct scored *best, size_t filled, size_t capacity,
                      struct scored item);

/* Hashes the string TEXT to an identifier.  */
uint64_t
rank_hash (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Hashes three strings so that no two different triples of strings run
   together: each part's terminator is hashed too.  */
uint64_t
rank_hash_parts (const char *first, const char *second, const char *third)
{
  XXH3_state_t state;

  XXH3_64bits_reset (&state);
  XXH3_64bits_update (&state, first, strlen (first) + 1);
  XXH3_64bits_update (&state, second, strlen (second) + 1);
  XXH3_64bits_update (&state, third, strlen (third) + 1);
  return XXH3_64bits_digest (&state);
}

/* Hashes KEY and ID, which are well mixed themselves (the finalizer of
   SplitMix64, Steele et al. 2014).  */
uint64_t
rank_mix (uint64_t key, uint64_t id)
{
  uint64_t hash = key ^ (id * 0x9e3779b97f4a7c15ULL);

  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

/* Returns an identifier of 32 bits for three strings, short on the wire.
   Where two must not be equal, the configuration is checked for it.  */
uint64_t
rank_id (const char *first, const char *second, const char *third)
{
  return rank_hash_parts (first, second, third) & UINT32_MAX;
}

/* Writes to TOP the indexes of the TOP_COUNT (at most RANK_TOP_MAX) best of
   COUNT NODES for KEY, best first, and returns how many there are.  Nodes of
   weight 0 are left out.  A node wins a share of the keys in proportion to
   its weight, and a change of one node moves only that node's keys (Thaler
   and Ravishankar 1998; weights by -w / ln u).  With equal weights the order
   of the scores is the order of the hashes, and the logarithm is saved.  */
size_t
rank_top (uint64_t key, const struct rank_node *nodes, size_t count,
          size_t *top, size_t top_count)
{
  struct scored best[RANK_TOP_MAX];
  size_t filled;

  if (top_count > RANK_TOP_MAX)
    top_count = RANK_TOP_MAX;
  if (top_count == 0 || count == 0)
    return 0;
  filled = top_uniform (key, nodes, count, best, top_count);
  if (filled == 0)
    filled = top_weighted (key, nodes, count, best, top_count);
  for (size_t i = 0; i < filled; i++)
    top[i] = best[i].index;
  return filled;
}

/* Ranks NODES of one weight by their hashes alone.  Returns 0 if two positive
   weights differ.  */
static size_t
top_uniform (uint64_t key, const struct rank_node *nodes, size_t count,
             struct scored *best, size_t capacity)
{
  uint64_t threshold
      = 0;            /* hash that a node must beat once the list is full */
  double weight = -1; /* of the nodes so far that have one */
  size_t filled = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t hash = rank_mix (key, nodes[i].id) >> SCORE_SHIFT;
      struct scored item = { (double)hash + 0.5, i };

      if (nodes[i].weight != weight)
        {
          if (nodes[i].weight <= 0)
            continue;
          if (weight > 0)
            return 0;
          weight = nodes[i].weight;
        }
      if (hash < threshold)
        continue;
      filled = insert (best, filled, capacity, item);
      if (filled == capacity)
        threshold = (uint64_t)best[filled - 1].score;
    }
  return filled;
}

/* Ranks NODES by their hashes and weights.  */
static size_t
top_weighted (uint64_t key, const struct rank_node *nodes, size_t count,
              struct scored *best, size_t capacity)
{
  size_t filled = 0;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t hash = rank_mix (key, nodes[i].id) >> SCORE_SHIFT;
      struct scored item = { ((double)hash + 0.5) * 0x1p-53, i };

      if (nodes[i].weight <= 0)
        continue;
      item.score = -nodes[i].weight / log (item.score);
      filled = insert (best, filled, capacity, item);
    }
  return filled;
}

/* Inserts ITEM into the FILLED best scores, best first, at most CAPACITY.
   Returns the new number.  */
static size_t
insert (struct scored *best, size_t filled, size_t capacity,
        struct scored item)
{
  size_t at = filled;

  if (filled == capacity)
    {
      if (item.score <= best[filled - 1].score)
        return filled;
      at = filled - 1;
    }
  else
    filled++;
  for (; at > 0 && best[at - 1].score < item.score; at--)
    best[at] = best[at - 1];
  best[at] = item;
  return filled;
}
