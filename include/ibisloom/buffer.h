/* Bytes that this process keeps for others: requests and responses in
   progress.  Each buffer has some bytes of its own; what it needs beyond them
   is taken from a pool that all share, so that a few that grow without end use
   up the pool, but neither the memory nor what the others need. */
#ifndef IBISLOOM_BUFFER_H
#define IBISLOOM_BUFFER_H

#include <stddef.h>

enum
{
  BUF_OWN_BYTES = 16384,    /* that each buffer has for itself */
  BUF_POOL_BYTES = 67108864 /* a quarter of the memory of a small instance */
};

int buf_reserve (size_t *share, size_t length);
void buf_release (size_t *share);
size_t buf_pool_used (void);

#endif
