/* The pool of bytes that the buffers of a process share.  */
#include <glib.h>

#include "ibisloom/buffer.h"

enum
{
  /* Up to this fill, a client may have half as much buffered as is left of
     it.  */
  OUTPUT_BYTES = BUF_POOL_BYTES / 4 * 3,
  OUTPUT_SHARES = 2,
  /* Up to this one, it may have a share of what is left of it.  The rest of
     the pool stays for clients that hold little, and for requests.  */
  SHORT_BYTES = BUF_POOL_BYTES / 8 * 7,
  SHORT_SHARES = 32 /* of 256 KB each at OUTPUT_BYTES */
};

static size_t pool_used;
static size_t used_for[BUF_USE_COUNT];

/* Has the buffer with SHARE, the bytes that it has from the pool for USE, 0 at
   first, hold LENGTH bytes.  Returns 0, or -1 if the pool has too little left;
   SHARE then stays.  */
int
buf_reserve (enum buf_use use, size_t *share, size_t length)
{
  size_t wanted = length > BUF_OWN_BYTES ? length - BUF_OWN_BYTES : 0;

  if (wanted > *share && wanted - *share > BUF_POOL_BYTES - pool_used)
    return -1;
  pool_used += wanted - *share;
  used_for[use] += wanted - *share;
  *share = wanted;
  return 0;
}

/* Returns what the buffer with SHARE has from the pool for USE.  */
void
buf_release (enum buf_use use, size_t *share)
{
  pool_used -= *share;
  used_for[use] -= *share;
  *share = 0;
}

/* Returns how many bytes of the pool are in use.  */
size_t
buf_pool_used (void)
{
  return pool_used;
}

/* Returns how many bytes of the pool are in use for USE.  */
size_t
buf_used_for (enum buf_use use)
{
  return used_for[use];
}

/* Returns how many bytes may be buffered for one client before its target has
   to wait.  Since this falls as the pool fills, the clients with the most
   bytes give way first.  It falls steadily: a limit that drops at once would
   stop all of their targets for as long as they take to read what they have.
 */
size_t
buf_output_max (void)
{
  size_t left = pool_used < OUTPUT_BYTES ? OUTPUT_BYTES - pool_used : 0;
  size_t short_left = pool_used < SHORT_BYTES ? SHORT_BYTES - pool_used : 0;

  return MAX (left / OUTPUT_SHARES,
              MAX (short_left / SHORT_SHARES, BUF_OWN_BYTES));
}
