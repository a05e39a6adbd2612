/* Workload of concurrent configuration changes.

   Operators change the configuration at the same time at random instances,
   while the version in force at each instance is polled. */
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
  CALL_TIMEOUT_MS = 800,
  CHANGES_PER_SWITCH = 10, /* one change in 10 switches the preset */
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

/* Result of one poll of an instance. */
struct observation
{
  int64_t at_us;
  uint64_t revision;
  uint64_t preset_revision;
  int ready;
  char preset[32];
};

struct shared_state
{
  const struct load_options *options;
  const char *token;
  int stop;
  pthread_mutex_t lock;
  GArray *accepted; /* of struct accepted */
  int64_t conflicts;
  int64_t failures;
  GArray *observation[LOAD_INSTANCES_MAX]; /* of struct observation */
};

struct thread_arg
{
  struct shared_state *shared_state;
  int index;
};

static void *make_changes (void *closure);
static void *poll_instance (void *closure);
static int call_operator_api (struct shared_state *shared_state,
                              struct fetch *fetch, int instance,
                              const char *method, const char *path,
                              const char *body, GString *response);
static void report_changes (struct shared_state *shared_state, int instances);
static void sleep_ms (int64_t ms);
static int compare_doubles (const void *a, const void *b);

/* Runs the operators for the duration of OPTIONS and prints the figures.  The
   operator port of an instance is its client port plus 200.  */
void
load_run_config_changes (const struct load_options *options, const char *token)
{
  struct shared_state shared_state = { .options = options, .token = token };
  pthread_t operators[OPERATORS];
  pthread_t pollers[LOAD_INSTANCES_MAX];
  struct thread_arg thread_args[LOAD_INSTANCES_MAX + OPERATORS];

  pthread_mutex_init (&shared_state.lock, NULL);
  shared_state.accepted = g_array_new (FALSE, FALSE, sizeof (struct accepted));
  for (int i = 0; i < options->instances; i++)
    {
      shared_state.observation[i]
          = g_array_new (FALSE, FALSE, sizeof (struct observation));
      thread_args[i] = (struct thread_arg){ &shared_state, i };
      pthread_create (&pollers[i], NULL, poll_instance, &thread_args[i]);
    }
  for (int i = 0; i < OPERATORS; i++)
    {
      struct thread_arg *thread_arg = &thread_args[options->instances + i];

      *thread_arg = (struct thread_arg){ &shared_state, i };
      pthread_create (&operators[i], NULL, make_changes, thread_arg);
    }
  for (int i = 0; i < OPERATORS; i++)
    pthread_join (operators[i], NULL);
  sleep_ms (SETTLE_MS);
  __atomic_store_n (&shared_state.stop, 1, __ATOMIC_RELEASE);
  for (int i = 0; i < options->instances; i++)
    pthread_join (pollers[i], NULL);
  report_changes (&shared_state, options->instances);
}

/* Sends changes to random instances: weights of customers, and one preset
   switch per CHANGES_PER_SWITCH changes.  */
static void *
make_changes (void *closure)
{
  const struct thread_arg *thread_arg = closure;
  struct shared_state *shared_state = thread_arg->shared_state;
  const struct load_options *options = shared_state->options;
  struct fetch *fetch = fetch_new ();
  GRand *random = g_rand_new_with_seed (options->seed * 10
                                        + (unsigned)thread_arg->index);
  int64_t until_us = load_now_us () + options->duration_ms * US_PER_MS;

  for (int i = 0; load_now_us () < until_us; i++)
    {
      int instance = g_rand_int_range (random, 0, options->instances);
      GString *response = g_string_new (NULL);
      char path[96];
      char body[48];
      int is_switch = i % CHANGES_PER_SWITCH == 0;
      int status;

      g_snprintf (body, sizeof body, "{\"weight\":%d}",
                  g_rand_int_range (random, 1, 900));
      if (is_switch)
        g_snprintf (path, sizeof path, "/operator/switch/%s?by=operator-%d",
                    g_rand_int_range (random, 0, 2) ? "peak" : "ordinary",
                    thread_arg->index);
      else
        g_snprintf (path, sizeof path, "/operator/objects/customers/c%d",
                    g_rand_int_range (random, 0, 20));
      status = call_operator_api (shared_state, fetch, instance,
                                  is_switch ? "POST" : "PUT", path,
                                  is_switch ? "" : body, response);
      if (status == HTTP_OK)
        {
          json_t *json = json_loads (response->str, 0, NULL);
          struct accepted change = { (uint64_t)json_integer_value (
                                         json_object_get (json, "revision")),
                                     load_now_us () };

          pthread_mutex_lock (&shared_state->lock);
          g_array_append_val (shared_state->accepted, change);
          pthread_mutex_unlock (&shared_state->lock);
          json_decref (json);
        }
      else if (status == 409)
        __atomic_add_fetch (&shared_state->conflicts, 1, __ATOMIC_RELAXED);
      else
        __atomic_add_fetch (&shared_state->failures, 1, __ATOMIC_RELAXED);
      g_string_free (response, TRUE);
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
  const struct thread_arg *thread_arg = closure;
  struct shared_state *shared_state = thread_arg->shared_state;
  struct fetch *fetch = fetch_new ();

  while (!__atomic_load_n (&shared_state->stop, __ATOMIC_ACQUIRE))
    {
      GString *response = g_string_new (NULL);
      struct observation observation = { .at_us = load_now_us () };

      if (call_operator_api (shared_state, fetch, thread_arg->index, "GET",
                             "/operator/version", NULL, response)
          == HTTP_OK)
        {
          json_t *json = json_loads (response->str, 0, NULL);
          const char *preset
              = json_string_value (json_object_get (json, "preset"));

          observation.at_us = load_now_us ();
          observation.ready = json_is_true (json_object_get (json, "ready"));
          observation.revision = (uint64_t)json_integer_value (
              json_object_get (json, "revision"));
          observation.preset_revision = (uint64_t)json_integer_value (
              json_object_get (json, "preset_revision"));
          g_strlcpy (observation.preset, preset ? preset : "",
                     sizeof observation.preset);
          g_array_append_val (shared_state->observation[thread_arg->index],
                              observation);
          json_decref (json);
        }
      g_string_free (response, TRUE);
      sleep_ms (POLL_MS);
    }
  fetch_free (fetch);
  return NULL;
}

/* Calls the operator API of INSTANCE.  Returns the HTTP status.  */
static int
call_operator_api (struct shared_state *shared_state, struct fetch *fetch,
                   int instance, const char *method, const char *path,
                   const char *body, GString *response)
{
  struct fetch_response result = { .body = response };
  char url[192];
  struct fetch_request request = { .method = method,
                                   .url = url,
                                   .body = body,
                                   .bearer = shared_state->token,
                                   .timeout_ms = CALL_TIMEOUT_MS };

  g_snprintf (url, sizeof url, "http://127.0.0.1:%d%s",
              shared_state->options->base_port + 200 + instance, path);
  fetch_perform (fetch, &request, &result);
  return (int)result.status;
}

/* Prints the time until accepted changes were in force at each of the
   INSTANCES instances, and the number of faults: revisions that decreased,
   presets that differ under one revision, and instances that missed the last
   change.  For an instance that did not respond to polls when the change was
   accepted, the delay counts as 0.  */
static void
report_changes (struct shared_state *shared_state, int instances)
{
  GArray *delays_ms = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTable *presets
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  int64_t reversions = 0;
  int64_t preset_mismatches = 0;
  int64_t lagging_instances = 0;
  uint64_t newest_revision = 0;

  for (guint i = 0; i < shared_state->accepted->len; i++)
    newest_revision = MAX (
        newest_revision,
        g_array_index (shared_state->accepted, struct accepted, i).revision);
  for (int i = 0; i < instances; i++)
    {
      GArray *observation = shared_state->observation[i];
      struct observation previous = { 0 };

      for (guint j = 0; j < observation->len; j++)
        {
          struct observation *current
              = &g_array_index (observation, struct observation, j);
          const char *known_preset;

          if (!current->ready)
            continue;
          if (current->revision < previous.revision
              || current->preset_revision < previous.preset_revision)
            reversions++;
          previous = *current;
          known_preset
              = g_hash_table_lookup (presets, &current->preset_revision);
          if (known_preset == NULL)
            {
              uint64_t *key = g_new (uint64_t, 1);

              *key = current->preset_revision;
              g_hash_table_insert (presets, key, current->preset);
            }
          else if (strcmp (known_preset, current->preset) != 0)
            preset_mismatches++;
        }
      lagging_instances += previous.revision < newest_revision;
      for (guint j = 0; j < shared_state->accepted->len; j++)
        {
          const struct accepted *change
              = &g_array_index (shared_state->accepted, struct accepted, j);
          double delay_ms = -1;

          for (guint k = 0; k < observation->len && delay_ms < 0; k++)
            {
              const struct observation *current
                  = &g_array_index (observation, struct observation, k);

              if (current->at_us >= change->at_us
                  && current->revision >= change->revision)
                {
                  /* A gap of more than 300 ms between successful polls means
                     that the instance could not be reached: the delay counts
                     as 0.  */
                  if (k > 0
                      && current->at_us
                                 - g_array_index (observation,
                                                  struct observation, k - 1)
                                       .at_us
                             > 300 * US_PER_MS)
                    delay_ms = 0;
                  else
                    delay_ms
                        = (double)(current->at_us - change->at_us) / US_PER_MS;
                }
            }
          if (delay_ms >= 0)
            g_array_append_val (delays_ms, delay_ms);
        }
    }
  qsort (delays_ms->data, delays_ms->len, sizeof (double), compare_doubles);
  load_print_figure ("accepted", shared_state->accepted->len, "changes");
  load_print_figure ("conflicts", (double)shared_state->conflicts, "changes");
  load_print_figure ("refused", (double)shared_state->failures, "changes");
  load_print_figure ("preset_switches", g_hash_table_size (presets) - 1,
                     "switches");
  if (delays_ms->len > 0)
    {
      load_print_figure ("in_force_p50_ms",
                         g_array_index (delays_ms, double, delays_ms->len / 2),
                         "ms");
      load_print_figure (
          "in_force_p99_ms",
          g_array_index (delays_ms, double, delays_ms->len * 99 / 100), "ms");
    }
  load_print_figure ("reversions", (double)reversions, "observations");
  load_print_figure ("two_presets", (double)preset_mismatches, "observations");
  load_print_figure ("lost_changes", (double)lagging_instances, "instances");
  g_array_free (delays_ms, TRUE);
  g_hash_table_destroy (presets);
}

static void
sleep_ms (int64_t ms)
{
  struct timespec duration = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&duration, NULL);
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}
