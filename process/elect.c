/* Election of the instances that watch the store for their failure domain.

   A watch costs the store a call for each change, so a few instances watch and
   the others get the changes from them.  When there are too few watchers, the
   first candidates take over at once, and each of the next ones TAKEOVER_MS
   later than the one before it, in case that one is gone as well.  While no
   instance reaches the store, only a few keep trying.  */
#include "ibisloom/elect.h"

enum
{
  WATCHERS_WANTED = 2, /* the loss of one leaves no gap */
  RETRIERS_MAX = 6,    /* once so many have lost the store, no others try */
  TAKEOVER_MS = 300    /* by then a live candidate has taken over */
};

/* Returns whether VIEW shows too few watchers.  */
int
elect_needs_watchers (const struct elect_view *view)
{
  return view->watchers < WATCHERS_WANTED;
}

/* Returns whether this instance should watch the store, given VIEW.  */
int
elect_should_watch (const struct elect_view *view)
{
  if (view->is_watching)
    return view->watchers_before < WATCHERS_WANTED;
  if (!elect_needs_watchers (view) || view->failed_watchers >= RETRIERS_MAX)
    return 0;
  if (view->watchers + view->candidates_before < WATCHERS_WANTED)
    return 1;
  return view->short_ms >= (int64_t)(view->watchers + view->candidates_before
                                     - WATCHERS_WANTED + 1)
                               * TAKEOVER_MS;
}
