/* Election of the instances that watch the store for their failure domain. */
#ifndef IBISLOOM_ELECT_H
#define IBISLOOM_ELECT_H

#include <stdint.h>

/* Other live instances of the same failure domain, by their heartbeats. */
struct elect_view
{
  uint32_t watchers;          /* watch the store now */
  uint32_t watchers_before;   /* of these, ordered before this one */
  uint32_t candidates_before; /* could watch, ordered before this one */
  uint32_t failed_watchers;   /* tried to watch, but do not reach the store */
  int is_watching;            /* this instance watches */
  int64_t short_ms;           /* how long there have been too few watchers */
};

int elect_needs_watchers (const struct elect_view *view);
int elect_should_watch (const struct elect_view *view);

#endif
