/* Whether connections to the targets of one service can be established. */
#ifndef IBISLOOM_REACH_H
#define IBISLOOM_REACH_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  REACH_FAILED_MAX = 8,
  REACH_PROBED_MAX = 8
};

enum reach_state
{
  REACH_OPEN,
  REACH_SUSPECT, /* several targets failed; probes of others decide */
  REACH_CUT_OFF, /* hardly any target can be connected to, or none */
  REACH_STATE_COUNT
};

/* What an instance tells others of its reach. */
enum reach_answer
{
  REACH_ANSWER_YES, /* a target has responded, or was connected to, lately */
  REACH_ANSWER_UNKNOWN, /* no target has been needed lately */
  REACH_ANSWER_NO,
  REACH_ANSWER_COUNT
};

/* Target that may be probed. */
struct reach_candidate
{
  uint64_t id;
  const char *failure_domain; /* interned */
};

/* Evidence of one service.  Zeroed, it is open. */
struct reach
{
  enum reach_state state;
  uint64_t failed[REACH_FAILED_MAX]; /* targets, within FAILED_MS */
  clk_ms failed_ms[REACH_FAILED_MAX];
  uint32_t failed_count;
  uint32_t fresh_count; /* of these, since a connection was established */
  uint64_t probed[REACH_PROBED_MAX]; /* targets, since it became suspect */
  uint32_t probed_count;
  uint32_t round;       /* of probes, since it became suspect */
  uint32_t probing;     /* probes in progress */
  uint32_t probes;      /* that count for the next decision */
  uint32_t successes;   /* of these */
  uint8_t is_returning; /* cut off, and a connection was established */
  clk_ms doubted_ms;    /* last time that it became suspect, 0: none */
  clk_ms probed_ms;     /* start of the last round, 0: none */
  clk_ms succeeded_ms;  /* last response or connection, 0: none */
};

int reach_fail (struct reach *reach, uint64_t target, uint32_t known,
                clk_ms now);
void reach_establish (struct reach *reach, clk_ms now);
void reach_respond (struct reach *reach, clk_ms now);
uint32_t reach_probes_due (const struct reach *reach, clk_ms now);
size_t reach_choose_probes (struct reach *reach,
                            const struct reach_candidate *candidates,
                            size_t count, uint32_t random, uint32_t wanted,
                            size_t *chosen, clk_ms now);
int reach_probe_end (struct reach *reach, int succeeded, clk_ms now);
int reach_round_end (struct reach *reach);
enum reach_answer reach_answer (const struct reach *reach, clk_ms now);

extern const char *const reach_state_names[REACH_STATE_COUNT];

#endif
