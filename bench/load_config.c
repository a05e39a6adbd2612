/* Operators that race to change the configuration, and what each instance is
   seen to have in force meanwhile. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "ibisloom/fetch.h"
#include "load.h"

enum
{
  OPERATORS = 2,
  POLL_MS = 10,
  TIMEOUT_MS = 800,
  SWITCH_EVERY = 10,
  HTTP_OK = 200,
  US_PER_MS = 1000,
  SETTLE_MS = 3000
};

/* One accepted change. */
struct accepted
{
  uint64_t revision;
  int64_t at_us;
};

/* What one poll of an instance found. */
struct seen
{
  int64_t at_us;
  uint64_t revision;
  uint64_t preset_revision;
  int ready;
  char preset[32];
};

struct shared
{
  const struct load_options *options;
  const char *token;
  int stop;
  pthread_mutex_t lock;
  GArray *accepted;
  int64_t conflicts;
  int64_t failures;
  GArray *seen[LOAD_INSTANCES_MAX];
};

struct part
{
  struct shared *shared;
  int index;
};

static void *operate (void *closure);
static void *poll_instance (void *closure);
static int call (struct shared *shared, struct fetch *fetch, int instance,
                 const char *method, const char *path, const char *body,
                 GString *answer);
static void judge (struct shared *shared, int last_ready_needed);
static void sleep_ms (int64_t ms);
static int by_value (const void *a, const void *b);

/* Runs the operators for the duration of OPTIONS and prints the figures.  The
   operators' port of instance 0 is the callers' port plus 200.  */
void
load_run_config (const struct load_options *options, const char *token)
{
  struct shared shared = { .options = options, .token = token };
  pthread_t operators[OPERATORS];
  pthread_t pollers[LOAD_INSTANCES_MAX];
  struct part parts[LOAD_INSTANCES_MAX + OPERATORS];

  pthread_mutex_init (&shared.lock, NULL);
  shared.accepted = g_array_new (FALSE, FALSE, sizeof (struct accepted));
  for (int i = 0; i < options->instances; i++)
    {
      shared.seen[i] = g_array_new (FALSE, FALSE, sizeof (struct seen));
      parts[i] = (struct part){ &shared, i };
      pthread_create (&pollers[i], NULL, poll_instance, &parts[i]);
    }
  for (int i = 0; i < OPERATORS; i++)
    {
      struct part *part = &parts[options->instances + i];

      *part = (struct part){ &shared, i };
      pthread_create (&operators[i], NULL, operate, part);
    }
  for (int i = 0; i < OPERATORS; i++)
    pthread_join (operators[i], NULL);
  sleep_ms (SETTLE_MS);
  __atomic_store_n (&shared.stop, 1, __ATOMIC_RELEASE);
  for (int i = 0; i < options->instances; i++)
    pthread_join (pollers[i], NULL);
  judge (&shared, options->instances);
}

/* Makes changes at random instances: mostly a customer's weight, now and then
   a preset switch.  */
static void *
operate (void *closure)
{
  const struct part *part = closure;
  struct shared *shared = part->shared;
  const struct load_options *options = shared->options;
  struct fetch *fetch = fetch_new ();
  GRand *random
      = g_rand_new_with_seed (options->seed * 10 + (unsigned)part->index);
  int64_t until = load_now_us () + options->duration_ms * US_PER_MS;

  for (int i = 0; load_now_us () < until; i++)
    {
      int instance = g_rand_int_range (random, 0, options->instances);
      GString *answer = g_string_new (NULL);
      char path[96];
      char body[48];
      int is_switch = i % SWITCH_EVERY == 0;
      int status;

      g_snprintf (body, sizeof body, "{\"weight\":%d}",
                  g_rand_int_range (random, 1, 900));
      if (is_switch)
        g_snprintf (path, sizeof path, "/operator/switch/%s?by=operator-%d",
                    g_rand_int_range (random, 0, 2) ? "peak" : "ordinary",
                    part->index);
      else
        g_snprintf (path, sizeof path, "/operator/objects/customers/c%d",
                    g_rand_int_range (random, 0, 20));
      status = call (shared, fetch, instance, is_switch ? "POST" : "PUT", path,
                     is_switch ? "" : body, answer);
      if (status == HTTP_OK)
        {
          json_t *json = json_loads (answer->str, 0, NULL);
          struct accepted change = { (uint64_t)json_integer_value (
                                         json_object_get (json, "revision")),
                                     load_now_us () };

          pthread_mutex_lock (&shared->lock);
          g_array_append_val (shared->accepted, change);
          pthread_mutex_unlock (&shared->lock);
          json_decref (json);
        }
      else if (status == 409)
        __atomic_add_fetch (&shared->conflicts, 1, __ATOMIC_RELAXED);
      else
        __atomic_add_fetch (&shared->failures, 1, __ATOMIC_RELAXED);
      g_string_free (answer, TRUE);
      sleep_ms (g_rand_int_range (random, 20, 80));
    }
  fetch_free (fetch);
  g_rand_free (random);
  return NULL;
}

/* Polls the version in force at one instance.  */
static void *
poll_instance (void *closure)
{
  const struct part *part = closure;
  struct shared *shared = part->shared;
  struct fetch *fetch = fetch_new ();

  while (!__atomic_load_n (&shared->stop, __ATOMIC_ACQUIRE))
    {
      GString *answer = g_string_new (NULL);
      struct seen seen = { .at_us = load_now_us () };

      if (call (shared, fetch, part->index, "GET", "/operator/version", NULL,
                answer)
          == HTTP_OK)
        {
          json_t *json = json_loads (answer->str, 0, NULL);
          const char *preset
              = json_string_value (json_object_get (json, "preset"));

          seen.at_us = load_now_us ();
          seen.ready = json_is_true (json_object_get (json, "ready"));
          seen.revision = (uint64_t)json_integer_value (
              json_object_get (json, "revision"));
          seen.preset_revision = (uint64_t)json_integer_value (
              json_object_get (json, "preset_revision"));
          g_strlcpy (seen.preset, preset ? preset : "", sizeof seen.preset);
          g_array_append_val (shared->seen[part->index], seen);
          json_decref (json);
        }
      g_string_free (answer, TRUE);
      sleep_ms (POLL_MS);
    }
  fetch_free (fetch);
  return NULL;
}

/* Calls the operators' listener of INSTANCE; returns the status.  */
static int
call (struct shared *shared, struct fetch *fetch, int instance,
      const char *method, const char *path, const char *body, GString *answer)
{
  struct fetch_response result = { .body = answer };
  char url[192];
  struct fetch_request request = { .method = method,
                                   .url = url,
                                   .body = body,
                                   .bearer = shared->token,
                                   .timeout_ms = TIMEOUT_MS };

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
              shared->options->base_port + 200 + instance, path);
  fetch_perform (fetch, &request, &result);
  return (int)result.status;
}

/* Prints how soon accepted changes were in force at each instance that could
   be asked at the time, and what must never be seen.  */
static void
judge (struct shared *shared, int instances)
{
  GArray *waits = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTable *presets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  int64_t reversions = 0;
  int64_t two_presets = 0;
  int64_t behind = 0;
  uint64_t newest = 0;

  for (guint i = 0; i < shared->accepted->len; i++)
    newest = MAX (
        newest, g_array_index (shared->accepted, struct accepted, i).revision);
  for (int i = 0; i < instances; i++)
    {
      GArray *seen = shared->seen[i];
      struct seen last = { 0 };

      for (guint j = 0; j < seen->len; j++)
        {
          struct seen *now = &g_array_index (seen, struct seen, j);
          const char *known;

          if (!now->ready)
            continue;
          if (now->revision < last.revision
              || now->preset_revision < last.preset_revision)
            reversions++;
          last = *now;
          known = g_hash_table_lookup (presets, &now->preset_revision);
          if (known == NULL)
            {
              uint64_t *key = g_new (uint64_t, 1);

              *key = now->preset_revision;
              g_hash_table_insert (presets, key, now->preset);
            }
          else if (strcmp (known, now->preset) != 0)
            two_presets++;
        }
      behind += last.revision < newest;
      for (guint j = 0; j < shared->accepted->len; j++)
        {
          const struct accepted *change
              = &g_array_index (shared->accepted, struct accepted, j);
          double wait = -1;

          for (guint k = 0; k < seen->len && wait < 0; k++)
            {
              const struct seen *now = &g_array_index (seen, struct seen, k);

              if (now->at_us >= change->at_us
                  && now->revision >= change->revision)
                {
                  /* Not reachable, so not counted, while polls failed.  */
                  if (k > 0
                      && now->at_us
                                 - g_array_index (seen, struct seen, k - 1)
                                       .at_us
                             > 300 * US_PER_MS)
                    wait = 0;
                  else
                    wait = (double)(now->at_us - change->at_us) / US_PER_MS;
                }
            }
          if (wait >= 0)
            g_array_append_val (waits, wait);
        }
    }
  qsort (waits->data, waits->len, sizeof (double), by_value);
  load_figure ("accepted", shared->accepted->len, "changes");
  load_figure ("conflicts", (double)shared->conflicts, "changes");
  load_figure ("refused", (double)shared->failures, "changes");
  load_figure ("preset_switches", g_hash_table_size (presets) - 1, "switches");
  if (waits->len > 0)
    {
      load_figure ("in_force_p50_ms",
                   g_array_index (waits, double, waits->len / 2), "ms");
      load_figure ("in_force_p99_ms",
                   g_array_index (waits, double, waits->len * 99 / 100), "ms");
    }
  load_figure ("reversions", (double)reversions, "observations");
  load_figure ("two_presets", (double)two_presets, "observations");
  load_figure ("lost_changes", (double)behind, "instances");
  g_array_free (waits, TRUE);
  g_hash_table_destroy (presets);
}

/* Sleeps for MS milliseconds.  */
static void
sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

/* Orders numbers.  */
static int
by_value (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}
