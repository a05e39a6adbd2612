/* Which instances of a failure domain watch the store for all of them.

   A watch costs a call for each change, so a few instances watch and the
   others ask them.  Where watchers are too few, the first of the others takes
   over at once, and the next ones a little later in case the first is gone as
   well.  While the store is away from all, no more than a few go on
   trying.  */
#include "ibisloom/duty.h"

enum
{
  WATCHERS = 2, /* so that the end of one is not noticed */
  TRIERS = 6,   /* that have lost the store, before others let it be */
  TURN_MS = 300 /* a candidate that lives has taken over by then */
};

/* Returns whether others of VIEW watch, but too few.  */
int
dut_is_short (const struct dut_view *view)
{
  return view->watchers < WATCHERS;
}

/* Returns whether this instance, which sees VIEW, watches the store.  */
int
dut_should_watch (const struct dut_view *view)
{
  if (view->is_watching)
    return view->watchers_before < WATCHERS;
  if (!dut_is_short (view) || view->lost >= TRIERS)
    return 0;
  if (view->watchers + view->candidates_before < WATCHERS)
    return 1;
  return view->short_ms
         >= (int64_t)(view->watchers + view->candidates_before - WATCHERS + 1)
                * TURN_MS;
}
