/* Positions in the history of the platform's store. */
#ifndef IBISLOOM_POSITION_H
#define IBISLOOM_POSITION_H

#include <stdint.h>

/* The store counts REVISION up with each change.  When it is restored from an
   older copy of its data, it takes revisions up to then back and gives them
   out again, and counts up EPOCH. */
struct position
{
  uint64_t epoch; /* 0: the store does not tell it */
  uint64_t revision;
};

int pos_compare (struct position a, struct position b);
struct position pos_max (struct position a, struct position b);
int pos_parse_epoch (const char *value, uint64_t *epoch);

#endif
