/* What recent calls say about whether a target works. */
#ifndef IBISLOOM_TRUST_H
#define IBISLOOM_TRUST_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum tru_event
{
  TRU_ANSWERED,   /* a whole answer, whatever its status but an error */
  TRU_ERROR,      /* an answer that says the target failed */
  TRU_FULL,       /* refused without running */
  TRU_NO_CONNECT, /* no connection could be made */
  TRU_BROKEN,     /* the connection ended early */
  TRU_SILENT,     /* no byte for longer than is usual */
  TRU_MISTAKEN,   /* another process has the address */
  TRU_EVENT_COUNT
};

enum tru_use
{
  TRU_USABLE,
  TRU_TRIAL, /* suspected; one request may show whether it is well again */
  TRU_AVOID
};

struct tru
{
  uint32_t faults; /* in a row */
  uint32_t trials; /* on the way */
  clk_ms retry_ms; /* no use before, while there are faults */
  double error_share;
};

int tru_begin (struct tru *tru);
void tru_end (struct tru *tru, int is_trial);
void tru_note (struct tru *tru, enum tru_event event, clk_ms now);
enum tru_use tru_judge (const struct tru *tru, clk_ms now);

#endif
