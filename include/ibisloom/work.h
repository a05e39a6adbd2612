/* Estimate of when a target would begin to respond to a request, from the
   prompt tokens that it still has to read. */
#ifndef IBISLOOM_WORK_H
#define IBISLOOM_WORK_H

#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  WORK_REPORTS_MAX = 8,      /* instances with much to be read at a target */
  WORK_TOKENS_MAX = 1000000, /* counted of one prompt, whatever it names */
  /* Tokens worth telling to other instances; they take about 40 ms to read on
     the engines known.  */
  WORK_TELL_TOKENS = 2048,
  WORK_SLOWNESS_NORMAL = 100
};

/* Moving average of how fast prompts are read. */
struct work_speed
{
  double tokens_per_ms; /* at normal slowness; 0: unknown */
  clk_ms observed_ms;   /* time of the last observation; 0: none */
};

/* Tokens that another instance has at a target. */
struct work_report
{
  uint32_t sender;
  uint32_t tokens;
  clk_ms told_ms;
};

/* What is known of the work of one target.  Pending requests are those without
   a first event. */
struct work
{
  uint64_t own_tokens; /* of this instance's pending requests */
  uint64_t announced;  /* value of own_tokens last told to the peers */
  clk_ms announced_ms; /* when it was told */
  uint32_t told_count;
  struct work_report told[WORK_REPORTS_MAX];
  double backlog;    /* tokens still to be read, estimated at BACKLOG_MS */
  clk_ms backlog_ms; /* last change of what is pending; 0: none */
  struct work_speed speed;
  int32_t slowness;         /* see WORK_SLOWNESS_NORMAL; as last reported */
  clk_ms slowness_ms;       /* time of that report; 0: none */
  uint8_t has_logged_field; /* that a field of its load is unreadable */
};

/* A prompt that a target is to read. */
struct work_prompt
{
  uint32_t tokens;  /* all */
  uint32_t context; /* of them, those of the shared parts */
};

/* How a target comes by the context of a prompt. */
enum work_access
{
  WORK_HOLDS,
  WORK_COPIES,
  WORK_READS
};

struct work_estimate
{
  double begin_ms; /* until the prompt has been read */
  double read_ms;  /* part of it that reading or copying the context takes */
};

uint32_t work_unread_tokens (const struct work_prompt *prompt,
                             enum work_access access);
uint32_t work_start (struct work *work, const struct work_speed *service,
                     uint32_t tokens, clk_ms now);
void work_end (struct work *work, const struct work_speed *service,
               uint32_t tokens, clk_ms now);
void work_observe (struct work *work, struct work_speed *service,
                   uint64_t tokens, int64_t elapsed_ms, int may_be_copied,
                   clk_ms now);
void work_set_reported (struct work *work, const struct work_speed *service,
                        uint32_t sender, uint32_t tokens, clk_ms now);
void work_report_slowness (struct work *work, int32_t slowness, clk_ms now);
void work_reset (struct work *work);
int work_needs_update (const struct work *work, clk_ms now);
uint32_t work_announce (struct work *work, clk_ms now);
double work_slowness (const struct work *work, clk_ms now);
double work_speed (const struct work *work, const struct work_speed *service,
                   clk_ms now);
double work_remaining (const struct work *work, double speed, clk_ms now);
struct work_estimate work_estimate (const struct work *work,
                                    const struct work_speed *service,
                                    const struct work_prompt *prompt,
                                    enum work_access access, clk_ms now);
int work_has_read (const struct work *work, uint32_t tokens, clk_ms now);
int64_t work_age_ms (const struct work *work, clk_ms now);
double work_significant_ms (int64_t objective_ms);
double work_detour_ms (int64_t objective_ms);

#endif
