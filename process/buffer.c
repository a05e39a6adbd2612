/* The pool of bytes that the buffers of a process share.  */
#include "ibisloom/buffer.h"

static size_t pool_used;

/* Has the buffer with SHARE, the bytes that it has from the pool, 0 at first,
   hold LENGTH bytes.  Returns 0, or -1 if the pool has too little left; SHARE
   then stays.  */
int
buf_reserve (size_t *share, size_t length)
{
  size_t wanted = length > BUF_OWN_BYTES ? length - BUF_OWN_BYTES : 0;

  if (wanted > *share && wanted - *share > BUF_POOL_BYTES - pool_used)
    return -1;
  pool_used += wanted - *share;
  *share = wanted;
  return 0;
}

/* Returns what the buffer with SHARE has from the pool.  */
void
buf_release (size_t *share)
{
  pool_used -= *share;
  *share = 0;
}

/* Returns how many bytes of the pool are in use.  */
size_t
buf_pool_used (void)
{
  return pool_used;
}
