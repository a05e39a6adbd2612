/* Bytes that this process keeps for others: requests and responses in
   progress.  Each buffer has some bytes of its own; what it needs beyond them
   is taken from a pool that all share, so that a few that grow without end use
   up the pool, but neither the memory nor what the others need. */
#ifndef IBISLOOM_BUFFER_H
#define IBISLOOM_BUFFER_H

#include <stddef.h>

enum
{
  BUF_OWN_BYTES = 16384, /* that each buffer has for itself */
  /* Less than half of the memory of the smallest instances, 160 MB, of which
     up to 20 MB are in use without requests.  */
  BUF_POOL_BYTES = 67108864
};

/* What a buffer holds. */
enum buf_use
{
  BUF_OUTPUT,   /* responses that clients are yet to read */
  BUF_REQUEST,  /* bodies of requests, for targets to read */
  BUF_RECEIVED, /* parts of responses that are yet to be passed on */
  BUF_USE_COUNT
};

int buf_reserve (enum buf_use use, size_t *share, size_t length);
void buf_release (enum buf_use use, size_t *share);
size_t buf_pool_used (void);
size_t buf_used_for (enum buf_use use);
size_t buf_output_max (void);

#endif
