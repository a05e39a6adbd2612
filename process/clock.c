/* Clocks in milliseconds: the system's monotonic clock, and a virtual one. */
#include <time.h>

#include "ibisloom/clock.h"

enum
{
  NS_PER_MS = 1000000
};

static clk_ms monotonic_now (const struct clk *clk);
static clk_ms boottime_now (const struct clk *clk);
static clk_ms virtual_now (const struct clk *clk);
static clk_ms read_clock (clockid_t id);

static const struct clk_ops monotonic_ops = { monotonic_now };
static const struct clk_ops boottime_ops = { boottime_now };
static const struct clk_ops virtual_ops = { virtual_now };
static const struct clk monotonic = { &monotonic_ops };
static const struct clk boottime = { &boottime_ops };

/* Returns the system's monotonic clock.  */
const struct clk *
clk_monotonic (void)
{
  return &monotonic;
}

/* Returns the system's monotonic clock that also counts the time in which the
   machine is suspended.  */
const struct clk *
clk_boottime (void)
{
  return &boottime;
}

/* Initializes CLK to START_MS.  */
void
clk_virtual_init (struct clk_virtual *clk, clk_ms start_ms)
{
  clk->base.ops = &virtual_ops;
  clk->now_ms = start_ms;
}

/* Advances CLK by DELTA_MS milliseconds.  */
void
clk_virtual_advance (struct clk_virtual *clk, clk_ms delta_ms)
{
  clk->now_ms += delta_ms;
}

/* Returns the time of CLK in milliseconds since an unspecified epoch.  */
clk_ms
clk_now (const struct clk *clk)
{
  return clk->ops->now (clk);
}

/* Returns the wall-clock time in milliseconds since the Unix epoch, for log
   lines, incarnation numbers and records that outlive the process.  */
clk_ms
clk_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME);
}

/* Returns the time of the system's monotonic clock.  */
static clk_ms
monotonic_now (const struct clk *clk)
{
  (void)clk;
  return read_clock (CLOCK_MONOTONIC);
}

static clk_ms
boottime_now (const struct clk *clk)
{
  (void)clk;
  return read_clock (CLOCK_BOOTTIME);
}

static clk_ms
virtual_now (const struct clk *clk)
{
  return ((const struct clk_virtual *)clk)->now_ms;
}

/* Returns the time of the system clock ID in milliseconds.  */
static clk_ms
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (clk_ms)ts.tv_sec * CLK_MS_PER_S + ts.tv_nsec / NS_PER_MS;
}
