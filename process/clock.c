/* Time source in milliseconds, real or virtual. */
#include <time.h>

#include "ibisloom/clock.h"

enum
{
  NS_PER_MS = 1000000
};

static clk_ms monotonic_now (const struct clk *clk);
static clk_ms virtual_now (const struct clk *clk);
static clk_ms read_clock (clockid_t id);

static const struct clk_ops monotonic_ops = { monotonic_now };
static const struct clk_ops virtual_ops = { virtual_now };
static const struct clk monotonic = { &monotonic_ops };

/* Returns the machine's monotonic clock.  */
const struct clk *
clk_monotonic (void)
{
  return &monotonic;
}

/* Prepares CLK to stand at START_MS until it is advanced.  */
void
clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms)
{
  clk->base.ops = &virtual_ops;
  clk->now_ms = start_ms;
}

/* Moves CLK forward by DELTA_MS milliseconds.  */
void
clk_virtual_advance (struct clk_virtual *clk, clk_ms delta_ms)
{
  clk->now_ms += delta_ms;
}

/* Returns the time of CLK in milliseconds since an unstated origin.  */
clk_ms
clk_now (const struct clk *clk)
{
  return clk->ops->now (clk);
}

/* Returns the time of day in milliseconds since 1970, for log lines,
   incarnation numbers and records that outlive the process.  */
clk_ms
clk_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}

/* Reads the monotonic clock; CLK carries no state.  */
static clk_ms
monotonic_now (const struct clk *clk)
{
  (void)clk;
  return read_clock (CLOCK_MONOTONIC);
}

/* Returns the time CLK was last advanced to.  */
static clk_ms
virtual_now (const struct clk *clk)
{
  return ((const struct clk_virtual *)clk)->now_ms;
}

/* Reads the clock ID of the C library in milliseconds.  */
static clk_ms
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (clk_ms)ts.tv_sec * CLK_MS_PER_S + ts.tv_nsec / NS_PER_MS;
}
