/* Weighted rendezvous hashing. */
#ifndef IBISLOOM_RANK_H
#define IBISLOOM_RANK_H

#include <stddef.h>
#include <stdint.h>

enum
{
  RANK_TOP_MAX = 16 /* most nodes that one ranking returns */
};

struct rank_node
{
  uint64_t id;
  double weight;
};

uint64_t rank_hash (const char *text);
uint64_t rank_hash_bytes (const char *data, size_t length);
uint64_t rank_mix (uint64_t key, uint64_t id);
uint64_t rank_id (const char *first, const char *second, const char *third);
uint64_t rank_hash_parts (const char *first, const char *second,
                          const char *third);
size_t rank_top (uint64_t key, const struct rank_node *nodes, size_t count,
                 size_t *top, size_t top_count);

#endif
