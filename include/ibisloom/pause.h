/* What the process of a target has said in its responses: that it is leaving,
   and for how long it wants no requests from this instance. */
#ifndef IBISLOOM_PAUSE_H
#define IBISLOOM_PAUSE_H

#include <stdint.h>

#include "ibisloom/clock.h"

/* Process of a target, as its registry entry describes it. */
struct pause_process
{
  uint64_t incarnation; /* 0: unknown */
  uint64_t software;
  uint64_t reports; /* entries that it has written up to this one */
  uint64_t epoch;   /* of the store that had the entry */
};

struct pause_notice
{
  struct pause_process process; /* to which the rest applies */
  uint8_t is_leaving;
  uint8_t is_open;  /* the pause has begun, and its end was not recorded */
  clk_ms until_ms;  /* end of the last pause, 0: none */
  clk_ms paused_ms; /* start of that pause */
};

int pause_read_process (struct pause_notice *notice,
                        const struct pause_process *read);
int64_t pause_cap_ms (int64_t asked_ms);
int pause_begin (struct pause_notice *notice, int64_t asked_ms, clk_ms now);
int pause_end (struct pause_notice *notice, clk_ms now);
int64_t pause_left_ms (const struct pause_notice *notice, clk_ms now);
int pause_restrains (const struct pause_notice *notice, uint32_t in_flight,
                     clk_ms now);

#endif
