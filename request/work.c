/* Estimate of when a target would begin to respond to a request.

   A target reads prompts one after another.  What it has still to read is the
   sum of the tokens of all requests there that have no first event yet, less
   what it has read since, which follows from its speed.  This instance knows
   its own requests; the others tell of theirs if they are large.  Without any
   observation of the speed, of the target or of another one of its service,
   there is no estimate.  */
#include <sys/param.h>

#include "ibisloom/work.h"

enum
{
  /* First events after fewer unread tokens say more about the network and
     other requests than about the reading speed.  */
  OBSERVED_TOKENS_MIN = 2048,
  SPEED_TRUSTED_MS = 10000, /* until the average of the service counts alone */
  REPORT_EXPIRY_MS
  = 3000, /* a prompt takes less; makes up for a lost datagram */
  ANNOUNCE_AGAIN_MS = 1500, /* two may get lost before it expires */
  SLOWNESS_MS = 1000,       /* for which a report counts, less and less */
  SLOWNESS_MIN = 25,
  SLOWNESS_MAX = 2000,
  COPY_TOKENS = 256, /* read in the time in which a copy begins; as source.c */
  COPY_DIVISOR = 8,  /* tokens copied while one is read; assumed */
  SIGNIFICANT_DIVISOR
  = 20,               /* part of its objective that a caller would notice */
  DETOUR_DIVISOR = 4, /* part of it for which a context is kept once more */
  SIGNIFICANT_MIN_MS = 5,
  SIGNIFICANT_MAX_MS = 50,
  SIGNIFICANT_DEFAULT_MS = 25
};

/* Weights of one observation in the averages of a target and its service. */
static const double TARGET_WEIGHT = 0.25;
static const double SERVICE_WEIGHT = 0.1;

/* Largest change that one observation may claim: a first event may also be
   late for reasons that have nothing to do with reading.  */
static const double OBSERVED_FACTOR_MAX = 4;

/* Multiple of the speed above which tokens were copied and not read.  */
static const double COPIED_FACTOR = 2;

/* Part of the pending tokens that is taken to be unread even if there was time
   to read more: a request without a first event is not finished.  */
static const double UNREAD_SHARE_MIN = 0.25;

static uint32_t reported_tokens (const struct work_report *told, clk_ms now);
static struct work_report *find_report (struct work *work, uint32_t sender,
                                        int is_added, clk_ms now);
static uint64_t pending_tokens (const struct work *work, clk_ms now);
static void change_backlog (struct work *work,
                            const struct work_speed *service, double added,
                            clk_ms now);
static void average (struct work_speed *speed, double observed, double weight,
                     clk_ms now);
static double base_speed (const struct work *work,
                          const struct work_speed *service, clk_ms now);

/* Returns the tokens that a target with ACCESS to the context of PROMPT has to
   read of it, or could read in the time that it takes to copy the context.  */
uint32_t
work_unread_tokens (const struct work_prompt *prompt, enum work_access access)
{
  uint32_t own = prompt->tokens - prompt->context;
  uint32_t copied = COPY_TOKENS + prompt->context / COPY_DIVISOR;

  if (access == WORK_HOLDS)
    return own;
  return own
         + (access == WORK_COPIES ? MIN (copied, prompt->context)
                                  : prompt->context);
}

/* Counts a request with so many unread TOKENS that is sent at NOW.  Returns
   how many the target reads before these.  */
uint32_t
work_start (struct work *work, const struct work_speed *service,
            uint32_t tokens, clk_ms now)
{
  double ahead = work_remaining (work, work_speed (work, service, now), now);

  change_backlog (work, service, tokens, now);
  work->own_tokens += tokens;
  return (uint32_t)MIN (ahead, (double)UINT32_MAX);
}

/* Ends what work_start counted: the target has responded, or the request has
   ended.  */
void
work_end (struct work *work, const struct work_speed *service, uint32_t tokens,
          clk_ms now)
{
  change_backlog (work, service, 0, now);
  work->own_tokens -= MIN (tokens, work->own_tokens);
}

/* Records that the target has read so many TOKENS, those ahead of a prompt and
   its own, in ELAPSED_MS.  If some of them MAY_BE_COPIED, and this is far too
   soon for reading, they were.  */
void
work_observe (struct work *work, struct work_speed *service, uint64_t tokens,
              int64_t elapsed_ms, int may_be_copied, clk_ms now)
{
  double observed = (double)tokens / (double)MAX (elapsed_ms, 1)
                    * work_slowness (work, now);

  if (tokens < OBSERVED_TOKENS_MIN
      || (may_be_copied && service->tokens_per_ms > 0
          && observed > service->tokens_per_ms * COPIED_FACTOR))
    return;
  work->speed.tokens_per_ms = base_speed (work, service, now);
  average (service, observed, SERVICE_WEIGHT, now);
  average (&work->speed, observed, TARGET_WEIGHT, now);
}

/* Moves SPEED, to which OBSERVED at NOW contributes with WEIGHT.  */
static void
average (struct work_speed *speed, double observed, double weight, clk_ms now)
{
  double before = speed->tokens_per_ms;

  speed->observed_ms = now;
  if (before <= 0)
    speed->tokens_per_ms = observed;
  else
    speed->tokens_per_ms += (MAX (MIN (observed, before * OBSERVED_FACTOR_MAX),
                                  before / OBSERVED_FACTOR_MAX)
                             - before)
                            * weight;
}

/* Returns the tokens of TOLD that count at NOW.  */
static uint32_t
reported_tokens (const struct work_report *told, clk_ms now)
{
  return now - told->told_ms < REPORT_EXPIRY_MS ? told->tokens : 0;
}

/* Returns the entry of SENDER in WORK, or one for it in place of that with the
   fewest tokens at NOW, or NULL if it has none and is to get none.  */
static struct work_report *
find_report (struct work *work, uint32_t sender, int is_added, clk_ms now)
{
  struct work_report *fewest = NULL;

  for (uint32_t i = 0; i < work->told_count; i++)
    {
      struct work_report *told = &work->told[i];

      if (told->sender == sender)
        return told;
      if (fewest == NULL
          || reported_tokens (told, now) < reported_tokens (fewest, now))
        fewest = told;
    }
  if (!is_added)
    return NULL;
  if (work->told_count < WORK_REPORTS_MAX)
    fewest = &work->told[work->told_count++];
  *fewest = (struct work_report){ .sender = sender };
  return fewest;
}

/* Records that the instance SENDER has requests with so many unread TOKENS at
   the target.  */
void
work_set_reported (struct work *work, const struct work_speed *service,
                   uint32_t sender, uint32_t tokens, clk_ms now)
{
  struct work_report *told = find_report (work, sender, tokens > 0, now);
  uint32_t before;

  if (told == NULL)
    return;
  before = reported_tokens (told, now);
  change_backlog (work, service, tokens > before ? tokens - before : 0, now);
  told->tokens = tokens;
  told->told_ms = now;
}

/* Records the SLOWNESS that the target reported at NOW.  */
void
work_report_slowness (struct work *work, int32_t slowness, clk_ms now)
{
  work->slowness = MAX (MIN (slowness, SLOWNESS_MAX), SLOWNESS_MIN);
  work->slowness_ms = now;
}

/* Forgets what was learned of a process that has ended.  Requests that it had
   end one by one.  */
void
work_reset (struct work *work)
{
  work->speed = (struct work_speed){ 0 };
  work->slowness_ms = 0;
  work->told_count = 0;
  work->backlog = 0;
}

/* Returns whether the peers are to be told of this instance's tokens: they are
   many more or fewer than was told, have ended, or were told long ago.  */
int
work_needs_update (const struct work *work, clk_ms now)
{
  uint64_t own = work->own_tokens;
  uint64_t change
      = own > work->announced ? own - work->announced : work->announced - own;

  if (work->announced == 0)
    return own >= WORK_TELL_TOKENS;
  return change >= WORK_TELL_TOKENS || own < WORK_TELL_TOKENS
         || now - work->announced_ms >= ANNOUNCE_AGAIN_MS;
}

/* Records that the peers are told now.  Returns what they are to be told:
   fewer tokens than are worth telling count as none.  */
uint32_t
work_announce (struct work *work, clk_ms now)
{
  uint64_t tokens
      = work->own_tokens >= WORK_TELL_TOKENS ? work->own_tokens : 0;

  work->announced = MIN (tokens, INT32_MAX);
  work->announced_ms = now;
  return (uint32_t)work->announced;
}

/* Returns the tokens of all pending requests that are known at NOW.  */
static uint64_t
pending_tokens (const struct work *work, clk_ms now)
{
  uint64_t tokens = work->own_tokens;

  for (uint32_t i = 0; i < work->told_count; i++)
    tokens += reported_tokens (&work->told[i], now);
  return tokens;
}

/* Sets the backlog to what remains at NOW and ADDED tokens.  */
static void
change_backlog (struct work *work, const struct work_speed *service,
                double added, clk_ms now)
{
  work->backlog
      = work_remaining (work, work_speed (work, service, now), now) + added;
  work->backlog_ms = now;
}

/* Returns how many tokens the target, which reads at SPEED, has still to read
   at NOW.  */
double
work_remaining (const struct work *work, double speed, clk_ms now)
{
  double pending = (double)pending_tokens (work, now);
  double unread = work->backlog - speed * (double)(now - work->backlog_ms);

  return MIN (MAX (unread, pending * UNREAD_SHARE_MIN), pending);
}

/* Returns how long work takes at the target at NOW, as a multiple of the
   normal time: by its last report, which counts less the older it is.  */
double
work_slowness (const struct work *work, clk_ms now)
{
  int64_t age_ms = now - work->slowness_ms;

  if (work->slowness_ms == 0 || age_ms >= SLOWNESS_MS)
    return 1;
  return 1
         + ((double)work->slowness / WORK_SLOWNESS_NORMAL - 1)
               * (double)(SLOWNESS_MS - MAX (age_ms, 0)) / SLOWNESS_MS;
}

/* Returns the speed of the target at normal slowness, or 0 if it is unknown.
   Its own average approaches that of its SERVICE with age, so that a target
   that is avoided as too slow is not avoided forever.  */
static double
base_speed (const struct work *work, const struct work_speed *service,
            clk_ms now)
{
  int64_t age_ms = now - work->speed.observed_ms;

  if (work->speed.tokens_per_ms <= 0 || age_ms >= SPEED_TRUSTED_MS)
    return service->tokens_per_ms;
  return service->tokens_per_ms
         + (work->speed.tokens_per_ms - service->tokens_per_ms)
               * (double)(SPEED_TRUSTED_MS - age_ms) / SPEED_TRUSTED_MS;
}

/* Returns how many tokens the target, of SERVICE, reads in a millisecond at
   NOW, or 0 if that is unknown.  */
double
work_speed (const struct work *work, const struct work_speed *service,
            clk_ms now)
{
  return base_speed (work, service, now) / work_slowness (work, now);
}

/* Returns after how long the target, of SERVICE, would have read PROMPT if it
   were sent at NOW, and had ACCESS to its context; zeroes if the speed is
   unknown.  */
struct work_estimate
work_estimate (const struct work *work, const struct work_speed *service,
               const struct work_prompt *prompt, enum work_access access,
               clk_ms now)
{
  double speed = work_speed (work, service, now);
  uint32_t unread = work_unread_tokens (prompt, access);
  uint32_t own = work_unread_tokens (prompt, WORK_HOLDS);

  if (speed <= 0)
    return (struct work_estimate){ 0, 0 };
  return (struct work_estimate){
    .begin_ms = (work_remaining (work, speed, now) + unread) / speed,
    .read_ms = (unread - own) / speed
  };
}

/* Returns whether the target has surely read a context of so many TOKENS that
   a request sent before NOW has: the requests without a first event have
   fewer. Until then it cannot be copied from there.  */
int
work_has_read (const struct work *work, uint32_t tokens, clk_ms now)
{
  return pending_tokens (work, now) < tokens;
}

/* Returns the age of the newest input of an estimate at NOW, or -1 if there is
   none.  */
int64_t
work_age_ms (const struct work *work, clk_ms now)
{
  clk_ms newest_ms = MAX (work->backlog_ms, work->speed.observed_ms);

  newest_ms = MAX (newest_ms, work->slowness_ms);
  return newest_ms != 0 ? now - newest_ms : -1;
}

/* Returns the difference in time to a first event that a caller would notice
   whose route has OBJECTIVE_MS, 0 for none.  */
double
work_significant_ms (int64_t objective_ms)
{
  int64_t significant_ms = objective_ms / SIGNIFICANT_DIVISOR;

  if (objective_ms <= 0)
    return SIGNIFICANT_DEFAULT_MS;
  return (double)MAX (MIN (significant_ms, SIGNIFICANT_MAX_MS),
                      SIGNIFICANT_MIN_MS);
}

/* Returns by how much sooner a request of a route with OBJECTIVE_MS, 0 for
   none, must begin elsewhere for a holder of its context to be passed over:
   the target that gets it instead has to read or copy the context and keeps it
   once more, which no caller gains from before the objective is at risk.  */
double
work_detour_ms (int64_t objective_ms)
{
  return MAX ((double)objective_ms / DETOUR_DIVISOR,
              work_significant_ms (objective_ms));
}
