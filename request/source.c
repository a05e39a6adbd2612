/* Choice of the target from which another one copies a context.

   A target that has not processed a context reads it, which takes longer than
   to copy it from one that has, and delays the other requests there.  This
   answers contexts that need several targets, and targets that are added,
   replaced or crash.  */
#include "ibisloom/source.h"

enum
{
  /* Fewer tokens are read about as fast as a copy begins.  */
  COPY_TOKENS_MIN = 256
};

/* Returns the index of the holder, of COUNT HOLDERS in the order of
   preference, from which a target with version SOFTWARE copies a context of so
   many TOKENS, or SOURCE_NONE if it should read the context or holds it
   already.  One in the target's failure domain is preferred, as a copy between
   domains takes longer; a suspended holder is the last resort.  Versions may
   differ in what they store.  */
size_t
source_pick (uint64_t software, uint32_t tokens,
             const struct source_holder *holders, size_t count)
{
  size_t suspended = SOURCE_NONE;
  size_t usable = SOURCE_NONE;

  if (tokens < COPY_TOKENS_MIN)
    return SOURCE_NONE;
  for (size_t i = 0; i < count; i++)
    {
      if (holders[i].is_target)
        return SOURCE_NONE;
      if (holders[i].software != software || !holders[i].is_reachable)
        continue;
      if (!holders[i].is_usable && suspended == SOURCE_NONE)
        suspended = i;
      if (holders[i].is_usable
          && (usable == SOURCE_NONE
              || (holders[i].is_near && !holders[usable].is_near)))
        usable = i;
    }
  return usable != SOURCE_NONE ? usable : suspended;
}
