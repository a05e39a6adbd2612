/* Clocks in milliseconds: the system's monotonic clock, and a virtual one. */
#ifndef IBISLOOM_CLOCK_H
#define IBISLOOM_CLOCK_H

#include <stdint.h>

enum
{
  CLK_MS_PER_S = 1000
};

typedef int64_t clk_ms;

struct clk;

struct clk_ops
{
  clk_ms (*now) (const struct clk *clk);
};

struct clk
{
  const struct clk_ops *ops;
};

/* Clock that moves only by clk_virtual_advance. */
struct clk_virtual
{
  struct clk base;
  clk_ms now_ms;
};

const struct clk *clk_monotonic (void);
const struct clk *clk_boottime (void);
void clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms);
void clk_virtual_advance (struct clk_virtual *clk, clk_ms delta_ms);
clk_ms clk_now (const struct clk *clk);
clk_ms clk_wall_ms (void);

#endif
