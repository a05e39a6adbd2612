/* Which instances of a failure domain watch the store for all of them.

   A watch costs a call for each change, so a few instances watch and the
   others ask them.  Where watchers are too few, the first of the others takes
   over at once, and the next ones a little later in case the first is gone as
   well.  While the store is away from all, no more than a few go on
   trying.  */
#include "ibisloom/elect.h"

enum
{
  WATCHERS_WANTED = 2, /* so that the end of one is not noticed */
  RETRIERS_MAX = 6,    /* that have lost the store, before others let it be */
  TAKEOVER_MS = 300    /* a candidate that lives has taken over by then */
};

/* Returns whether others of VIEW watch, but too few.  */
int
elect_needs_watchers (const struct elect_view *view)
{
  return view->watchers < WATCHERS_WANTED;
}

/* Returns whether this instance, which sees VIEW, watches the store.  */
int
elect_should_watch (const struct elect_view *view)
{
  if (view->is_watching)
    return view->watchers_before < WATCHERS_WANTED;
  if (!elect_needs_watchers (view) || view->lost >= RETRIERS_MAX)
    return 0;
  if (view->watchers + view->candidates_before < WATCHERS_WANTED)
    return 1;
  return view->short_ms >= (int64_t)(view->watchers + view->candidates_before
                                     - WATCHERS_WANTED + 1)
                               * TAKEOVER_MS;
}
