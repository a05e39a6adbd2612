/* Which instances of a failure domain watch the store for all of them. */
#ifndef IBISLOOM_ELECT_H
#define IBISLOOM_ELECT_H

#include <stdint.h>

/* Other live instances of the same failure domain, as their beats tell. */
struct elect_view
{
  uint32_t watchers;          /* that watch the store now */
  uint32_t watchers_before;   /* of these, before this one in order */
  uint32_t candidates_before; /* that could, and come before this one */
  uint32_t lost;              /* that have tried, and do not reach it */
  int is_watching;            /* this one */
  int64_t short_ms;           /* for how long watchers have been too few */
};

int elect_needs_watchers (const struct elect_view *view);
int elect_should_watch (const struct elect_view *view);

#endif
