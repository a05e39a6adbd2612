/* Targets of the soak that say at times that they are brittle. */
#include <stdio.h>

#include "brittle_fixture.h"
#include "soak.h"

enum
{
  TARGETS = 6,
  QUEUE = 4,
  CHANGE_SHARE = 20, /* one of so many calls changes a target */
  REJECTIONS_MIN = 2,
  REJECTIONS_MAX = 6,
  SHRINK_STEPS = 6,
  SHRINK_INTERVAL_MS = 1000,
  FALLS_MAX = 2, /* and a tenth of the number of targets */
  FALLS_DIVISOR = 10
};

static struct brittle_target *targets[TARGETS];

/* Adds targets of their own service, which call EXECUTED for each request that
   they run.  */
void
soak_add_brittle_targets (void (*executed) (const char *id))
{
  for (int i = 0; i < TARGETS; i++)
    {
      struct brittle_script script = { .entry_slots = 2,
                                       .slots = 2,
                                       .queue = QUEUE,
                                       .work_ms = 60,
                                       .back_ms = 3000,
                                       .has_new_entry = i % 2,
                                       .executed = executed };
      char *id = g_strdup_printf ("b-%d", i);

      targets[i] = brittle_target_add (id, "press", &script);
      g_free (id);
    }
}

/* Has a random target say that it is brittle or no more so, with a random
   queue, in one of CHANGE_SHARE calls.  */
void
soak_change_brittle_targets (GRand *random)
{
  int kind = g_rand_int_range (random, 0, CHANGE_SHARE);
  int is_brittle = g_rand_boolean (random);
  int index = g_rand_int_range (random, 0, TARGETS);
  int max = g_rand_int_range (random, REJECTIONS_MIN, REJECTIONS_MAX);
  int queue = g_rand_int_range (random, 0, QUEUE + 1);

  if (kind != 0)
    return;
  brittle_target_say (targets[index], is_brittle ? max : -1);
  brittle_target_set_queue (targets[index], queue);
}

/* Has no target be brittle.  */
void
soak_calm_brittle_targets (void)
{
  for (int i = 0; i < TARGETS; i++)
    {
      brittle_target_say (targets[i], -1);
      brittle_target_set_queue (targets[i], QUEUE);
    }
}

/* Returns how often targets fell over so far.  */
static int
count_falls (void)
{
  int falls = 0;

  for (int i = 0; i < TARGETS; i++)
    falls += brittle_target_counts (targets[i]).falls;
  return falls;
}

/* Has all targets say that they are brittle, and then let fewer and fewer
   requests wait; checks how often they fall over.  */
void
soak_check_brittle_targets (GRand *random)
{
  int max = g_rand_int_range (random, REJECTIONS_MIN, REJECTIONS_MAX);
  int queues[TARGETS];
  int falls = count_falls ();
  char *text;

  for (int i = 0; i < TARGETS; i++)
    {
      queues[i] = QUEUE;
      brittle_target_say (targets[i], max);
    }
  fx_sleep_ms (SOAK_CONTACT_MS);
  for (int step = 0; step < SHRINK_STEPS; step++)
    {
      for (int i = 0; i < TARGETS; i++)
        {
          queues[i] = g_rand_int_range (random, 0, queues[i] + 1);
          brittle_target_set_queue (targets[i], queues[i]);
        }
      fx_sleep_ms (SHRINK_INTERVAL_MS);
    }
  falls = count_falls () - falls;
  soak_calm_brittle_targets ();
  text = g_strdup_printf ("%d falls of %d targets that may turn away %d",
                          falls, TARGETS, max);
  printf ("%s\n", text);
  if (falls > FALLS_MAX + TARGETS / FALLS_DIVISOR)
    soak_report_violation ("brittle", "targets fall over", text);
  g_free (text);
}
