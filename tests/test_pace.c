/* Unit tests of the pace of targets that have started or recovered, and of the
   rate of cold ones, in virtual time with many instances.  */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/balance.h"
#include "ibisloom/pace.h"
#include "ibisloom/rate.h"
#include "test.h"

enum
{
  START_MS = 100000,
  INSTANCES = 91,
  COLD_INSTANCES = 300,
  MEAN_LOAD = 8, /* requests in progress at each of the other targets */
  SLOTS = 16,    /* of the new target, which rejects what is beyond */
  ARRIVALS_PER_S = 1200,
  WORK_MS = 200,
  FIRST_BYTE_MS = 50,
  NEWS_MS = 25,          /* until all know of a request at a paced target */
  UNPACED_NEWS_MS = 100, /* the same, far from its load limit */
  LOST_EVERY = 20,       /* one datagram in so many */
  PLAYED_MS = 6000,
  SECOND_MS = 1000,
  HISTORY_MS = 128, /* a power of two, more than any delay */
  SHARE_MS = 3000,  /* in which a target has its fair share */
  TURNS_MS = 12000, /* in which each instance has had a turn */
  COLD_PER_S = 10,
  COLD_SENDERS = 3,
  COLD_SENT_MAX = 10000,
  SEED = 7
};

static void limit_grows_with_time (void);
static void limit_falls_for_all (void);
static void silent_target_does_not_grow (void);
static void slow_but_steady_target_converges (void);
static void recovers_twice (void);
static void instances_take_turns (void);
static void pace_is_ignored_in_need (void);
static void many_instances_before_one_target (void);
static void cold_target_of_many_instances (void);

static void unanswered_requests_do_not_stop_the_growth (void);
static void long_prompts_are_not_late_for_their_length (void);

static const struct test_case cases[] = {
  { "a limit grows with time and ends far above the mean load",
    limit_grows_with_time },
  { "a late response at one instance lowers the limit of all",
    limit_falls_for_all },
  { "a target that does not answer gets no more",
    silent_target_does_not_grow },
  { "a target that is slow but steady reaches its share",
    slow_but_steady_target_converges },
  { "a target that recovers twice begins anew", recovers_twice },
  { "every instance has its turn at a slow target", instances_take_turns },
  { "a pace refuses no request that no other target takes",
    pace_is_ignored_in_need },
  { "many instances do not flood a new target",
    many_instances_before_one_target },
  { "many instances keep the rate of a cold target",
    cold_target_of_many_instances },
  { "the limit grows again once unanswered requests have ended",
    unanswered_requests_do_not_stop_the_growth },
  { "a target is late for its load, not for the length of a prompt",
    long_prompts_are_not_late_for_their_length },
};

TEST_MAIN ("pace", cases)

static const struct pace_service service
    = { .first_byte_ms = FIRST_BYTE_MS,
        .deviation_ms = FIRST_BYTE_MS / 5.0,
        .mean_load = MEAN_LOAD };

static void
begin (struct pace *pace, clk_ms now)
{
  *pace = (struct pace){ 0 };
  pace_begin (pace, now);
  pace_scale (pace, &service);
}

static void
limit_grows_with_time (void)
{
  struct pace pace;
  clk_ms now = START_MS;

  begin (&pace, now);
  CU_ASSERT_DOUBLE_EQUAL (pace_limit (&pace, now), 1, 0.01);
  CU_ASSERT (pace_may_send (&pace, 0, now));
  CU_ASSERT (!pace_may_send (&pace, 1, now));
  CU_ASSERT (pace_limit (&pace, now + 400) < 3);
  CU_ASSERT (!pace_is_over (&pace, now + SHARE_MS / 2));
  CU_ASSERT (pace_limit (&pace, now + SHARE_MS / 2) > MEAN_LOAD);
  CU_ASSERT (pace_is_over (&pace, now + SHARE_MS));
  pace_end (&pace, now + SHARE_MS);
  CU_ASSERT (!pace_is_in_force (&pace));
  CU_ASSERT (pace_may_send (&pace, 1000, now));
}

/* Also guards against a response to a request from before a reduction, which
   shows nothing of the new limit.  */
static void
limit_falls_for_all (void)
{
  struct pace paces[2];
  clk_ms now = START_MS + 1200;
  struct pace_told told;

  begin (&paces[0], START_MS);
  begin (&paces[1], START_MS + 40);
  CU_ASSERT (!pace_observe (&paces[0], &service, 8, now - 60, 0, now));
  CU_ASSERT (pace_observe (&paces[0], &service, 6, now - 400, 0, now));
  CU_ASSERT_DOUBLE_EQUAL (pace_limit (&paces[0], now), 3, 0.01);
  CU_ASSERT (!pace_reduce (&paces[0], 6, now - 1, now + 1));
  told = (struct pace_told){ .version = paces[0].version,
                             .base = paces[0].base,
                             .threshold = paces[0].threshold,
                             .min_first_byte_ms = paces[0].min_first_byte_ms,
                             .age_ms = 5 };
  CU_ASSERT (pace_adopt (&paces[1], &told, now + 5));
  CU_ASSERT (!pace_adopt (&paces[1], &told, now + 6));
  CU_ASSERT_DOUBLE_EQUAL (pace_limit (&paces[1], now + 5),
                          pace_limit (&paces[0], now + 5), 0.1);
  CU_ASSERT (pace_limit (&paces[0], now + 400) < 6);
  CU_ASSERT (pace_limit (&paces[0], now + 3000) > MEAN_LOAD);
  told.version--;
  told.base = 1;
  CU_ASSERT (!pace_adopt (&paces[1], &told, now + 10));
  for (int i = 0; i < 20; i++)
    pace_reduce (&paces[0], 1, now + i, now + i);
  CU_ASSERT (pace_may_send (&paces[0], 0, now + 20));
}

static void
silent_target_does_not_grow (void)
{
  struct pace pace;
  clk_ms now = START_MS;

  begin (&pace, now);
  pace_count_sent (&pace, 1, now);
  pace_count_sent (&pace, 2, now + 60);
  CU_ASSERT (pace_limit (&pace, now + 10000) < 1.3);
  CU_ASSERT (!pace_may_send (&pace, 1, now + 10000));
  CU_ASSERT (pace_may_send (&pace, 0, now + 10000));
  CU_ASSERT (pace_reduce (&pace, 1, now + 60, now + 600));
  CU_ASSERT (!pace_is_over (&pace, now + 600));
}

/* Its neighbours slow the target down to 2.8 times what is usual.  */
static void
slow_but_steady_target_converges (void)
{
  struct pace pace;
  clk_ms now = START_MS;
  int reductions = 0;

  begin (&pace, now);
  while (!pace_is_over (&pace, now) && now < START_MS + PLAYED_MS)
    {
      pace_count_sent (&pace, 1, now);
      now += 140;
      reductions += pace_observe (&pace, &service, pace_limit (&pace, now),
                                  now - 140, 0, now);
    }
  printf ("%d reductions, its share after %d ms ", reductions,
          (int)(now - START_MS));
  CU_ASSERT (reductions > 0);
  CU_ASSERT (now - START_MS < SHARE_MS + 1000);
}

static void
recovers_twice (void)
{
  struct pace pace;
  uint32_t version;

  begin (&pace, START_MS);
  version = pace.version;
  CU_ASSERT (pace_is_over (&pace, START_MS + SHARE_MS));
  pace_end (&pace, START_MS + SHARE_MS);
  pace_begin (&pace, START_MS + SHARE_MS);
  pace_scale (&pace, &service);
  CU_ASSERT (pace.version > version);
  CU_ASSERT_DOUBLE_EQUAL (pace_limit (&pace, START_MS + SHARE_MS), 1, 0.01);
  version = pace.version;
  pace_begin (&pace, START_MS + SHARE_MS + 500);
  CU_ASSERT (pace.version > version);
  CU_ASSERT (pace_is_in_force (&pace));
  pace_forget (&pace, START_MS + 60000);
  CU_ASSERT (pace_is_in_force (&pace));
  pace_end (&pace, START_MS + 60000);
  pace_forget (&pace, START_MS + 120000);
  CU_ASSERT_EQUAL (pace.version, 0);
}

/* The limit stays at one, as the target goes on rejecting.  */
static void
instances_take_turns (void)
{
  int turns[INSTANCES] = { 0 };
  int most = 0;

  for (clk_ms now = START_MS; now < START_MS + TURNS_MS; now += 10)
    {
      int count = 0;

      for (uint32_t i = 0; i < INSTANCES; i++)
        {
          struct pace pace;
          int may_send;

          begin (&pace, START_MS);
          pace.paused_ms = (double)(now - START_MS);
          pace.rank = i;
          pace.instances = INSTANCES;
          may_send = pace_may_send (&pace, 0, now);
          turns[i] += may_send;
          count += may_send;
        }
      CU_ASSERT (count >= 1);
      most = MAX (most, count);
    }
  CU_ASSERT (most < INSTANCES / 10);
  for (int i = 0; i < INSTANCES; i++)
    CU_ASSERT (turns[i] > 0);
}

static void
pace_is_ignored_in_need (void)
{
  struct bal_candidate candidates[2]
      = { { .id = 1, .slots = 4, .load = 2 },
          { .id = 2, .slots = 4, .is_paced_out = 1 } };
  struct bal_params params = { .context = 0 };
  struct bal_choice choice;

  CU_ASSERT (bal_pick (&params, candidates, 2, &choice));
  CU_ASSERT_EQUAL (choice.index, 0);
  CU_ASSERT (!choice.ignored_pace);
  candidates[0].excluded = 1;
  CU_ASSERT (bal_pick (&params, candidates, 2, &choice));
  CU_ASSERT_EQUAL (choice.index, 1);
  CU_ASSERT (choice.ignored_pace);
  candidates[1].state = HEALTH_TRIAL;
  CU_ASSERT (bal_pick (&params, candidates, 2, &choice));
  CU_ASSERT_EQUAL (choice.reason, BAL_TRIAL);
  candidates[1].state = HEALTH_USABLE;
  candidates[1].rate_limited = 1;
  CU_ASSERT (!bal_pick (&params, candidates, 2, &choice));
  CU_ASSERT_EQUAL (choice.reason, BAL_RATES_USED_UP);
}

/* Instances before one new target, beside others with MEAN_LOAD.  */
struct play
{
  struct pace paces[INSTANCES];
  int own[INSTANCES][HISTORY_MS]; /* in progress, by time */
  int all[HISTORY_MS];
  GArray *ends; /* of struct request */
  int sent;
  int rejected; /* in the first second, as SENT */
  int peak;     /* the same */
  int share_ms; /* until it had MEAN_LOAD */
};

struct request
{
  int instance;
  clk_ms sent_ms;
  clk_ms answered_ms;
  clk_ms ends_ms;
};

/* Tells all other instances the pace of the INSTANCE, but for those that lose
   the datagram.  */
static void
tell_pace (struct play *play, int instance, GRand *random, clk_ms now)
{
  const struct pace *pace = &play->paces[instance];
  struct pace_told told = { .version = pace->version,
                            .base = pace->base,
                            .threshold = pace->threshold,
                            .min_first_byte_ms = pace->min_first_byte_ms,
                            .age_ms = now - pace->since_ms };

  for (int i = 0; i < INSTANCES; i++)
    if (i != instance && g_rand_int_range (random, 0, LOST_EVERY) > 0)
      pace_adopt (&play->paces[i], &told, now);
}

/* Handles what becomes of the requests at NOW.  */
static void
answer (struct play *play, GRand *random, clk_ms now)
{
  for (guint n = 0; n < play->ends->len; n++)
    {
      struct request *request = &g_array_index (play->ends, struct request, n);
      struct pace *pace = &play->paces[request->instance];

      if (request->answered_ms == now
          && pace_observe (pace, &service, play->all[now % HISTORY_MS],
                           request->sent_ms, 0, now))
        tell_pace (play, request->instance, random, now);
      if (request->ends_ms > now)
        continue;
      play->own[request->instance][now % HISTORY_MS]--;
      play->all[now % HISTORY_MS]--;
      g_array_remove_index_fast (play->ends, n--);
    }
}

/* Sends a request of a random instance, where that chooses the new target: it
   seems to have less than the others, and its pace allows it.  */
static void
arrive (struct play *play, int is_paced, GRand *random, clk_ms now)
{
  int instance = g_rand_int_range (random, 0, INSTANCES);
  struct pace *pace = &play->paces[instance];
  int news_ms
      = pace_is_in_force (pace) && is_paced ? NEWS_MS : UNPACED_NEWS_MS;
  size_t then = (size_t)(now - news_ms) % HISTORY_MS;
  size_t slot = (size_t)now % HISTORY_MS;
  int load = play->own[instance][slot] + play->all[then]
             - play->own[instance][then];
  struct request request
      = { instance, now, now + FIRST_BYTE_MS, now + WORK_MS };

  if (load >= MEAN_LOAD || (is_paced && !pace_may_send (pace, load, now)))
    return;
  play->sent += now < START_MS + SECOND_MS;
  if (play->all[slot] >= SLOTS)
    {
      play->rejected += now < START_MS + SECOND_MS;
      if (pace_reduce (pace, load, now, now))
        tell_pace (play, instance, random, now);
      return;
    }
  play->own[instance][slot]++;
  play->all[slot]++;
  if (now < START_MS + SECOND_MS)
    play->peak = MAX (play->peak, play->all[slot]);
  if (play->all[slot] >= MEAN_LOAD && play->share_ms == 0)
    play->share_ms = (int)(now - START_MS);
  pace_count_sent (pace, (uint32_t)play->own[instance][slot], now);
  g_array_append_val (play->ends, request);
}

static void
play_start (struct play *play, int is_paced)
{
  GRand *random = g_rand_new_with_seed (SEED);

  memset (play, 0, sizeof *play);
  play->ends = g_array_new (FALSE, FALSE, sizeof (struct request));
  for (int i = 0; i < INSTANCES; i++)
    {
      begin (&play->paces[i], START_MS + i % 50);
      play->paces[i].rank = (uint32_t)i;
      play->paces[i].instances = INSTANCES;
    }
  for (clk_ms now = START_MS; now < START_MS + PLAYED_MS; now++)
    {
      size_t slot = (size_t)now % HISTORY_MS;
      size_t before = (size_t)(now - 1) % HISTORY_MS;

      play->all[slot] = play->all[before];
      for (int i = 0; i < INSTANCES; i++)
        {
          play->own[i][slot] = play->own[i][before];
          if (pace_is_over (&play->paces[i], now))
            pace_end (&play->paces[i], now);
        }
      answer (play, random, now);
      for (int n
           = g_rand_int_range (random, 0, 2 * ARRIVALS_PER_S / SECOND_MS + 1);
           n > 0; n--)
        arrive (play, is_paced, random, now);
    }
  g_array_free (play->ends, TRUE);
  g_rand_free (random);
}

/* Without the pace, all instances see the lowest load at the same moment.  */
static void
many_instances_before_one_target (void)
{
  static struct play before;
  static struct play after;

  play_start (&before, 0);
  play_start (&after, 1);
  printf ("%d -> %d requests in the first second, %d -> %d rejected, "
          "peak %d -> %d, share after %d -> %d ms ",
          before.sent, after.sent, before.rejected, after.rejected,
          before.peak, after.peak, before.share_ms, after.share_ms);
  CU_ASSERT (before.rejected > 0);
  CU_ASSERT_EQUAL (after.rejected, 0);
  CU_ASSERT (after.peak <= MEAN_LOAD);
  CU_ASSERT (after.sent < before.sent / 2);
  CU_ASSERT (after.sent > 0);
  CU_ASSERT (after.share_ms > 0);
  CU_ASSERT (after.share_ms < SHARE_MS);
}

/* A request that was sent, to be heard of by the other instances.  */
struct news
{
  clk_ms due_ms;
  int sender;
};

/* Gives the instances their parts in the limit of a cold target.  The last one
   has just started and hears nobody.  */
static void
share_cold (struct rate_limit *limits)
{
  for (int i = 0; i < COLD_INSTANCES; i++)
    {
      int is_new = i == COLD_INSTANCES - 1;
      double per_s = is_new ? (double)COLD_PER_S / COLD_INSTANCES : COLD_PER_S;
      struct rate_share share
          = { .per_s = per_s,
              .own_per_s = 1.2 * per_s / (is_new ? 1 : COLD_SENDERS),
              .reserve = (double)(i % COLD_SENDERS) / COLD_SENDERS,
              .is_sharer = is_new || i < COLD_SENDERS };

      rate_begin (&limits[i], START_MS);
      rate_set (&limits[i], &share, START_MS);
    }
}

/* Has the instances hear of the requests that others sent.  */
static void
hear (struct rate_limit *limits, GArray *news, clk_ms now)
{
  for (guint n = 0; n < news->len; n++)
    {
      const struct news *item = &g_array_index (news, struct news, n);
      int sender = item->sender;

      if (item->due_ms > now)
        continue;
      for (int i = 0; i < COLD_SENDERS; i++)
        if (i != sender)
          rate_count (&limits[i], now);
      g_array_remove_index_fast (news, n--);
    }
}

/* Has all instances send what they may, in the worst case, with NEWS_MS until
   the others hear of it.  Returns how many requests are sent, and in MOST the
   most in a second.  */
static int
play_cold (int64_t news_ms, int *most)
{
  static struct rate_limit limits[COLD_INSTANCES];
  static clk_ms sent_ms[COLD_SENT_MAX];
  GArray *news = g_array_new (FALSE, FALSE, sizeof (struct news));
  int sent = 0;

  share_cold (limits);
  for (clk_ms now = START_MS; now < START_MS + PLAYED_MS; now++)
    {
      hear (limits, news, now);
      for (int i = 0; i < COLD_INSTANCES && sent < COLD_SENT_MAX; i++)
        {
          struct news item = { now + news_ms, i };

          if (rate_tokens (&limits[i], now) < 1)
            continue;
          rate_count (&limits[i], now);
          rate_count_own (&limits[i], now);
          sent_ms[sent++] = now;
          g_array_append_val (news, item);
        }
    }
  *most = 0;
  for (int first = 0; first < sent; first++)
    {
      int n = first;

      while (n < sent && sent_ms[n] < sent_ms[first] + SECOND_MS)
        n++;
      *most = MAX (*most, n - first);
    }
  g_array_free (news, TRUE);
  return sent;
}

/* Also if the senders do not hear of each other at all.  */
static void
cold_target_of_many_instances (void)
{
  int most;
  int sent = play_cold (NEWS_MS, &most);

  printf ("%d in a second, %d in 6 s ", most, sent);
  CU_ASSERT (most < COLD_PER_S * 1.5 + 5);
  CU_ASSERT (sent > COLD_PER_S * PLAYED_MS / SECOND_MS * 3 / 4);
  sent = play_cold (2 * PLAYED_MS, &most);
  printf ("(unheard %d, %d) ", most, sent);
  CU_ASSERT (most < COLD_PER_S * 1.5 + 5);
}

/* Guards against a limit that stays as it was when a request that got no
   response was the last one, so that the pace never ends.  */
static void
unanswered_requests_do_not_stop_the_growth (void)
{
  struct pace_service others = { .mean_load = 8 };
  struct pace pace = { 0 };
  clk_ms now = 100000;

  pace_service_observe (&others, 20);
  pace_begin (&pace, now);
  pace_scale (&pace, &others);
  pace_count_sent (&pace, 1, now);
  now += 2000;
  CU_ASSERT (pace_limit (&pace, now) < 2);
  pace_count_idle (&pace, now);
  now += 4000;
  CU_ASSERT (pace_is_over (&pace, now));
}

/* Guards against a started target that stays at few requests as it gets long
   prompts, which it has to read whole, and against one that is slow and gets
   its whole share for that.  */
static void
long_prompts_are_not_late_for_their_length (void)
{
  enum
  {
    USUAL_MS = 20,
    READ_MS = 400, /* at the usual speed */
    SENT_MS = START_MS + 1000
  };
  struct pace_service others = { .mean_load = 8 };
  struct pace pace = { 0 };

  for (int i = 0; i < 100; i++)
    pace_service_observe (&others, USUAL_MS);
  pace_begin (&pace, START_MS);
  pace_scale (&pace, &others);
  CU_ASSERT (!pace_observe (&pace, &others, 4, SENT_MS, READ_MS,
                            SENT_MS + READ_MS + USUAL_MS));
  CU_ASSERT (pace_observe (&pace, &others, 4, SENT_MS, READ_MS,
                           SENT_MS + 2 * READ_MS + USUAL_MS));
  pace_begin (&pace, START_MS);
  pace_scale (&pace, &others);
  CU_ASSERT (pace_observe (&pace, &others, 4, SENT_MS, 0,
                           SENT_MS + READ_MS + USUAL_MS));
}
