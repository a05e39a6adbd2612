/* Simulation of routing policies on the trace of a run, for comparison.

   Each policy gets the requests of the run in their order and with their
   measured durations, and engines with caches of the same size.  */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "ibisloom/rank.h"
#include "load.h"

enum
{
  US_PER_MS = 1000,
  SAMPLE_US = 50000,
  REPORT_INTERVAL_US = 2000000
};

struct engine
{
  int up;
  int load;
  int reported_load; /* load at reported_us, which policies may see */
  int64_t reported_us;
  int64_t cached_tokens;
  GHashTable *cached; /* chat to its link in lru */
  GQueue lru;         /* of struct cached_context, most recent first */
};

struct cached_context
{
  int chat;
  int64_t tokens;
};

struct running
{
  int64_t end_us;
  int engine;
  int instance;
};

struct replay
{
  const struct load_options *options;
  struct engine engines[LOAD_ENGINES_MAX];
  GArray *running; /* of struct running */
  /* Requests in progress that each instance sent to each engine.  */
  int instance_load[LOAD_INSTANCES_MAX][LOAD_ENGINES_MAX];
  struct rank_node nodes[LOAD_ENGINES_MAX];
  int last_engine;
  GRand *random;
  int64_t reused_tokens;
  int64_t prompt_tokens;
  int64_t violations;
  GArray *ratios;
};

typedef int (*policy) (struct replay *replay,
                       const struct load_record *record);

static int choose_oracle (struct replay *replay,
                          const struct load_record *record);
static int choose_round_robin (struct replay *replay,
                               const struct load_record *record);
static int choose_least_loaded (struct replay *replay,
                                const struct load_record *record);
static int choose_two_choices (struct replay *replay,
                               const struct load_record *record);
static int choose_by_own_load (struct replay *replay,
                               const struct load_record *record);
static void replay_records (struct replay *replay, policy choose,
                            GArray *records, const GArray *changes);
static void advance_time (struct replay *replay, int64_t now,
                          const GArray *changes, guint *next_change,
                          int64_t *next_sample);
static void finish_until (struct replay *replay, int64_t now);
static void sample_loads (struct replay *replay);
static void report_loads (struct replay *replay, int64_t now);
static int64_t cached_tokens_of (struct engine *engine, int chat);
static void use_cache (struct replay *replay, struct engine *engine, int chat,
                       int64_t tokens);
static int load_bound (const struct replay *replay);
static int count_engines_up (const struct replay *replay);
static int compare_start_times (const void *a, const void *b);
static int64_t measured_reuse (const char *history, int64_t from_ms,
                               int64_t *prompt_tokens);

static const struct
{
  const char *name;
  policy choose;
} policies[] = {
  { "best", choose_oracle },
  { "roundrobin", choose_round_robin },
  { "leastloaded", choose_least_loaded },
  { "twochoices", choose_two_choices },
  { "ownshare", choose_by_own_load },
};

/* Prints the number of prompt tokens that the run in HISTORY found cached,
   relative to that of the oracle on RECORDS and to all prompt tokens, and the
   numbers of the other policies relative to that of the oracle.  WITH_BOUNDS
   adds the violations of the load bound by each policy.  */
void
load_report_policies (const struct load_options *options, GArray *records,
                      const char *history, int with_bounds)
{
  GArray *changes = load_read_engine_changes (options->events);
  int64_t prompt_tokens = 0;
  int64_t reused_tokens = measured_reuse (history, 0, &prompt_tokens);
  int64_t oracle_tokens = 1;

  qsort (records->data, records->len, sizeof (struct load_record),
         compare_start_times);
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      struct replay replay = { .options = options };
      char name[64];

      replay_records (&replay, policies[i].choose, records, changes);
      if (i == 0)
        {
          oracle_tokens = MAX (replay.reused_tokens, 1);
          load_print_figure ("reuse_of_best",
                             (double)reused_tokens / (double)oracle_tokens,
                             "ratio");
          load_print_figure ("reused_share",
                             (double)reused_tokens / (double)prompt_tokens,
                             "ratio");
        }
      else
        {
          g_snprintf (name, sizeof name, "reuse_of_%s", policies[i].name);
          load_print_figure (
              name, (double)replay.reused_tokens / (double)oracle_tokens,
              "ratio");
        }
      if (!with_bounds)
        continue;
      g_snprintf (name, sizeof name, "%s_bound_violations", policies[i].name);
      load_print_figure (name, (double)replay.violations, "samples");
      g_snprintf (name, sizeof name, "%s_skew_max_over_mean_p99",
                  policies[i].name);
      load_print_figure (name, load_quantile (replay.ratios, 0.99), "ratio");
    }
  g_array_free (changes, TRUE);
}

/* Replays RECORDS with the engines that CHOOSE selects.  */
static void
replay_records (struct replay *replay, policy choose, GArray *records,
                const GArray *changes)
{
  guint next_change = 0;
  int64_t next_sample = 0;

  replay->running = g_array_new (FALSE, FALSE, sizeof (struct running));
  replay->ratios = g_array_new (FALSE, FALSE, sizeof (double));
  replay->random = g_rand_new_with_seed (replay->options->seed);
  for (int i = 0; i < replay->options->engines; i++)
    {
      char name[32];

      replay->engines[i].up = 1;
      replay->engines[i].cached
          = g_hash_table_new (g_direct_hash, g_direct_equal);
      g_queue_init (&replay->engines[i].lru);
      g_snprintf (name, sizeof name, "engine-%d", i);
      replay->nodes[i].id = rank_hash (name);
      replay->nodes[i].weight = 1;
    }
  for (guint i = 0; i < records->len; i++)
    {
      const struct load_record *record
          = &g_array_index (records, struct load_record, i);
      struct running entry = { record->end_us, 0, record->instance };
      struct engine *engine;

      if (record->status != 200)
        continue;
      advance_time (replay, record->start_us, changes, &next_change,
                    &next_sample);
      entry.engine = choose (replay, record);
      engine = &replay->engines[entry.engine];
      engine->load++;
      replay->instance_load[record->instance][entry.engine]++;
      replay->reused_tokens
          += MIN (cached_tokens_of (engine, record->chat), record->prompt);
      replay->prompt_tokens += record->prompt;
      use_cache (replay, engine, record->chat,
                 record->prompt + record->tokens);
      g_array_append_val (replay->running, entry);
    }
}

/* Advances the simulated time to NOW: ends requests, samples loads and applies
   CHANGES of engines that are due.  */
static void
advance_time (struct replay *replay, int64_t now, const GArray *changes,
              guint *next_change, int64_t *next_sample)
{
  if (*next_sample == 0)
    *next_sample = now;
  while (*next_sample < now)
    {
      finish_until (replay, *next_sample);
      sample_loads (replay);
      report_loads (replay, *next_sample);
      *next_sample += SAMPLE_US;
    }
  finish_until (replay, now);
  while (
      *next_change < changes->len
      && g_array_index (changes, struct load_engine_change, *next_change).at_us
             <= now)
    {
      const struct load_engine_change *change
          = &g_array_index (changes, struct load_engine_change, *next_change);

      replay->engines[change->engine].up = change->up;
      replay->nodes[change->engine].weight = change->up;
      (*next_change)++;
    }
}

/* Removes the requests that had ended by NOW in the recorded run.  */
static void
finish_until (struct replay *replay, int64_t now)
{
  for (guint i = replay->running->len; i > 0; i--)
    {
      const struct running *entry
          = &g_array_index (replay->running, struct running, i - 1);

      if (entry->end_us > now)
        continue;
      replay->engines[entry->engine].load--;
      replay->instance_load[entry->instance][entry->engine]--;
      g_array_remove_index_fast (replay->running, i - 1);
    }
}

/* Samples the ratio of the highest load to the mean, and counts a violation if
   the highest exceeds the bound.  */
static void
sample_loads (struct replay *replay)
{
  int total = 0;
  int highest = 0;
  int count = count_engines_up (replay);
  double mean;
  double ratio;

  for (int i = 0; i < replay->options->engines; i++)
    {
      total += replay->engines[i].load;
      highest = MAX (highest, replay->engines[i].load);
    }
  if (total == 0 || count == 0)
    return;
  mean = (double)total / count;
  ratio = highest / mean;
  g_array_append_val (replay->ratios, ratio);
  if (highest > ceil (replay->options->load_factor * mean - 1e-9))
    replay->violations++;
}

/* Updates the reported loads that are older than REPORT_INTERVAL_US, so that
   policies see loads of at most that age.  */
static void
report_loads (struct replay *replay, int64_t now)
{
  for (int i = 0; i < replay->options->engines; i++)
    {
      struct engine *engine = &replay->engines[i];

      if (now - engine->reported_us < REPORT_INTERVAL_US)
        continue;
      engine->reported_load = engine->load;
      engine->reported_us = now;
    }
}

/* Oracle: chooses the engine with the longest cached context, by the actual
   caches and loads, among the engines that stay within the load bound.  */
static int
choose_oracle (struct replay *replay, const struct load_record *record)
{
  int limit = load_bound (replay);
  int chosen = 0;
  int64_t most_cached = -1;

  for (int i = 0; i < replay->options->engines; i++)
    {
      struct engine *engine = &replay->engines[i];
      int64_t cached = cached_tokens_of (engine, record->chat);

      if (!engine->up || engine->load + 1 > limit)
        continue;
      if (cached > most_cached
          || (cached == most_cached
              && engine->load < replay->engines[chosen].load))
        {
          most_cached = cached;
          chosen = i;
        }
    }
  return most_cached >= 0 ? chosen : choose_round_robin (replay, record);
}

/* Round robin over the engines that are up.  */
static int
choose_round_robin (struct replay *replay, const struct load_record *record)
{
  (void)record;
  for (;;)
    {
      replay->last_engine
          = (replay->last_engine + 1) % replay->options->engines;
      if (replay->engines[replay->last_engine].up)
        return replay->last_engine;
    }
}

/* Chooses the engine with the lowest reported load.  */
static int
choose_least_loaded (struct replay *replay, const struct load_record *record)
{
  int chosen = -1;

  (void)record;
  for (int i = 0; i < replay->options->engines; i++)
    if (replay->engines[i].up
        && (chosen < 0
            || replay->engines[i].reported_load
                   < replay->engines[chosen].reported_load))
      chosen = i;
  return chosen;
}

/* Power of two choices (Mitzenmacher 2001): of two random engines, chooses
   the one with the lower reported load.  */
static int
choose_two_choices (struct replay *replay, const struct load_record *record)
{
  int first;
  int second;

  (void)record;
  do
    first = g_rand_int_range (replay->random, 0, replay->options->engines);
  while (!replay->engines[first].up);
  do
    second = g_rand_int_range (replay->random, 0, replay->options->engines);
  while (!replay->engines[second].up);
  return replay->engines[second].reported_load
                 < replay->engines[first].reported_load
             ? second
             : first;
}

/* Chooses the first engine in the ranking of the chat that stays within the
   load bound, without exchange of loads: the load of an engine is estimated as
   the number of requests in progress that this instance sent to the engine,
   times the number of instances, and the mean load likewise.  If no engine
   qualifies, the home of the chat is chosen, the first in its ranking.  */
static int
choose_by_own_load (struct replay *replay, const struct load_record *record)
{
  const int *instance_load = replay->instance_load[record->instance];
  size_t top[RANK_TOP_MAX];
  size_t count
      = rank_top ((uint64_t)record->chat, replay->nodes,
                  (size_t)replay->options->engines, top, RANK_TOP_MAX);
  int total = 1;
  double mean;

  for (int i = 0; i < replay->options->engines; i++)
    total += instance_load[i];
  mean
      = (double)total * replay->options->instances / count_engines_up (replay);
  for (size_t i = 0; i < count; i++)
    if ((instance_load[top[i]] + 1) * replay->options->instances
        <= ceil (replay->options->load_factor * mean - 1e-9))
      return (int)top[i];
  return (int)top[0];
}

/* Returns the highest load that an engine may have after one more request is
   placed.  */
static int
load_bound (const struct replay *replay)
{
  double total = replay->running->len + 1;

  return MIN (replay->options->slots,
              (int)ceil (replay->options->load_factor * total
                             / count_engines_up (replay)
                         - 1e-9));
}

static int
count_engines_up (const struct replay *replay)
{
  int count = 0;

  for (int i = 0; i < replay->options->engines; i++)
    count += replay->engines[i].up;
  return count;
}

/* Returns the number of tokens of the context of CHAT cached at ENGINE.  */
static int64_t
cached_tokens_of (struct engine *engine, int chat)
{
  GList *link
      = g_hash_table_lookup (engine->cached, GINT_TO_POINTER (chat + 1));

  return link != NULL ? ((struct cached_context *)link->data)->tokens : 0;
}

/* Caches TOKENS of the context of CHAT at ENGINE, and evicts the least
   recently used contexts if the cache is full.  */
static void
use_cache (struct replay *replay, struct engine *engine, int chat,
           int64_t tokens)
{
  GList *link
      = g_hash_table_lookup (engine->cached, GINT_TO_POINTER (chat + 1));
  struct cached_context *cached_context;

  if (link != NULL)
    {
      cached_context = link->data;
      g_queue_unlink (&engine->lru, link);
    }
  else
    {
      cached_context = g_new0 (struct cached_context, 1);
      cached_context->chat = chat;
      link = g_list_alloc ();
      link->data = cached_context;
      g_hash_table_insert (engine->cached, GINT_TO_POINTER (chat + 1), link);
    }
  engine->cached_tokens
      += MAX (tokens, cached_context->tokens) - cached_context->tokens;
  cached_context->tokens = MAX (tokens, cached_context->tokens);
  g_queue_push_head_link (&engine->lru, link);
  while (engine->cached_tokens > replay->options->cache_tokens
         && engine->lru.length > 1)
    {
      struct cached_context *oldest = g_queue_pop_tail (&engine->lru);

      engine->cached_tokens -= oldest->tokens;
      g_hash_table_remove (engine->cached, GINT_TO_POINTER (oldest->chat + 1));
      g_free (oldest);
    }
}

/* Reads the lines "MS engine I up|down" of PATH.  Returns an empty array if
   PATH is NULL or cannot be read.  */
GArray *
load_read_engine_changes (const char *path)
{
  GArray *changes
      = g_array_new (FALSE, FALSE, sizeof (struct load_engine_change));
  char *text = NULL;
  char **lines;

  if (path == NULL || !g_file_get_contents (path, &text, NULL, NULL))
    return changes;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char **words = g_strsplit (*line, " ", 4);

      if (g_strv_length (words) == 4 && strcmp (words[1], "engine") == 0)
        {
          struct load_engine_change change
              = { atoll (words[0]) * US_PER_MS, atoi (words[2]),
                  strcmp (words[3], "up") == 0 };

          g_array_append_val (changes, change);
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
  return changes;
}

/* Returns whether ENGINE was usable at AT_MS.  */
int
load_engine_up (const GArray *changes, int engine, int64_t at_ms)
{
  int up = 1;

  for (guint i = 0; i < changes->len; i++)
    {
      const struct load_engine_change *change
          = &g_array_index (changes, struct load_engine_change, i);

      if (change->engine == engine && change->at_us / US_PER_MS <= at_ms)
        up = change->up;
    }
  return up;
}

/* Returns the number of prompt tokens that the engines found cached from
   FROM_MS on, and adds the number of all prompt tokens to PROMPT_TOKENS.  */
static int64_t
measured_reuse (const char *history, int64_t from_ms, int64_t *prompt_tokens)
{
  json_t *json = json_loads (history, 0, NULL);
  json_t *entry;
  size_t i;
  int64_t reused_tokens = 0;

  json_array_foreach (json_object_get (json, "runs"), i, entry)
  {
    if (json_integer_value (json_object_get (entry, "t")) < from_ms)
      continue;
    reused_tokens += json_integer_value (json_object_get (entry, "cached"));
    *prompt_tokens += json_integer_value (json_object_get (entry, "prompt"));
  }
  json_decref (json);
  return reused_tokens;
}

static int
compare_start_times (const void *a, const void *b)
{
  const struct load_record *left = a;
  const struct load_record *right = b;

  return (left->start_us > right->start_us)
         - (left->start_us < right->start_us);
}
