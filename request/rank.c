/* Weighted rendezvous hashing. */
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "ibisloom/rank.h"

enum
{
  SCORE_SHIFT = 11 /* keeps the 53 bits that a double represents exactly */
};

/* A node in the ranking. */
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

/* Returns a hash of the string TEXT, used as its identifier.  */
uint64_t
rank_hash (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

/* Returns a hash of the LENGTH bytes of DATA.  */
uint64_t
rank_hash_bytes (const char *data, size_t length)
{
  return XXH3_64bits (data, length);
}

/* Returns a hash of three strings.  The terminators are hashed too, so that
   ("ab", "c") and ("a", "bc") give different hashes.  */
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

/* Returns a hash of KEY and ID, which should be well mixed already.  Uses the
   finalizer of SplitMix64 (Steele et al. 2014).  */
uint64_t
rank_mix (uint64_t key, uint64_t id)
{
  uint64_t hash = key ^ (id * 0x9e3779b97f4a7c15ULL);

  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

/* Returns an identifier of 32 bits for three strings, to keep messages short.
   Where identifiers must be unique, the configuration is checked for
   collisions.  */
uint64_t
rank_id (const char *first, const char *second, const char *third)
{
  return rank_hash_parts (first, second, third) & UINT32_MAX;
}

/* Ranks COUNT NODES for KEY by weighted rendezvous hashing.  Writes the
   indexes of the TOP_COUNT (at most RANK_TOP_MAX) best to TOP, best first, and
   returns their number.  Nodes of weight 0 are skipped.  Each node gets a
   share of the keys in proportion to its weight, and a change of one node
   moves only the keys of that node (Thaler and Ravishankar 1998; the score is
   -w / ln u).  With equal weights, scores have the order of the hashes, and
   the logarithm is not computed.  */
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

/* Ranks COUNT NODES of equal weight by their hashes alone.  Writes up to
   CAPACITY of them to BEST and returns how many, or 0 if two positive weights
   differ.  */
static size_t
top_uniform (uint64_t key, const struct rank_node *nodes, size_t count,
             struct scored *best, size_t capacity)
{
  uint64_t threshold = 0; /* lowest hash that can enter the full list */
  double weight = -1;     /* of the nodes so far, without those of weight 0 */
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

/* Ranks COUNT NODES by their hashes and weights.  Writes up to CAPACITY of
   them to BEST and returns how many.  */
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

/* Inserts ITEM into BEST, which holds FILLED of at most CAPACITY items, best
   first.  Returns the new number of items.  */
static size_t
insert (struct scored *best, size_t filled, size_t capacity,
        struct scored item)
{
  size_t position = filled;

  if (filled == capacity)
    {
      if (item.score <= best[filled - 1].score)
        return filled;
      position = filled - 1;
    }
  else
    filled++;
  for (; position > 0 && best[position - 1].score < item.score; position--)
    best[position] = best[position - 1];
  best[position] = item;
  return filled;
}
