/* Processor time of one version of the configuration, at an instance that
   watches the store and at one that fetches from a peer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ibisloom/snapshot.h"
#include "platform.h"
#include "micro.h"

enum
{
  VERSIONS = 100, /* timed, after one that is not */
  CUSTOMERS = 20,
  HOSTS = 40,
  SERVICES = 60
};

enum step
{
  STEP_PARSE,
  STEP_TABLE,
  STEP_SNAPSHOT,
  STEP_COMPRESS,
  STEP_DECOMPRESS,
  STEP_FETCHED_PARSE,
  STEP_FETCHED_TABLE,
  STEP_COUNT
};

static const char *const step_names[STEP_COUNT]
    = { "watcher_parse",      "watcher_table", "watcher_snapshot", "compress",
        "fetcher_decompress", "fetcher_parse", "fetcher_table" };

/* Instance of the benchmark, and the step that its tables count for. */
struct instance
{
  struct snapshot *snapshot;
  enum step table_step;
};

static int64_t cpu_ns[STEP_COUNT]; /* of all versions so far */

/* Returns the processor time of this process in nanoseconds.  */
static int64_t
cpu_now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

/* Adds the time since START_NS to STEP.  Returns the time now.  */
static int64_t
add_time (enum step step, int64_t start_ns)
{
  int64_t now_ns = cpu_now_ns ();

  cpu_ns[step] += now_ns - start_ns;
  return now_ns;
}

/* Returns VERSION of a configuration with ROUTES routes, of which one differs
   from that of the version before.  */
static char *
make_config (int version, size_t routes)
{
  GString *out = g_string_new (NULL);

  g_string_printf (out, "{\"version\":%d,\"routes\":[", version);
  for (size_t i = 0; i < routes; i++)
    g_string_append_printf (
        out,
        "%s{\"name\":\"route-%zu\",\"host\":\"shop-%zu.example\","
        "\"path_prefix\":\"/r/%zu/\",\"route_type\":\"idempotent\","
        "\"service\":\"svc-%zu\",\"timeout_ms\":%d,\"target_latency_ms\":300,"
        "\"priority\":3,\"max_attempts\":2,\"anonymous\":false,"
        "\"stream_resume\":false,\"session_affinity\":false}",
        i > 0 ? "," : "", i, i % HOSTS, i, i % SERVICES,
        i == (size_t)version * 7 % routes ? 3000 + version : 3000);
  g_string_append (out, "],\"services\":[");
  for (int i = 0; i < SERVICES; i++)
    g_string_append_printf (out,
                            "%s{\"name\":\"svc-%d\",\"max_connections\":64}",
                            i > 0 ? "," : "", i);
  g_string_append (out, "],\"tenants\":[");
  for (int i = 0; i < CUSTOMERS; i++)
    g_string_append_printf (out,
                            "%s{\"name\":\"c-%d\",\"priority\":%d,"
                            "\"api_keys\":[\"key-%d-a\",\"key-%d-b\"]}",
                            i > 0 ? "," : "", i, i % 4, i, i);
  g_string_append (out, "]}");
  return g_string_free (out, FALSE);
}

/* Brings the configuration OBJECT into force at the instance CLOSURE.  */
static void
take_config (void *closure, const struct watch_object *object)
{
  struct instance *instance = closure;
  int64_t start_ns = cpu_now_ns ();
  const struct cfg_text *before = snapshot_config (instance->snapshot);
  GBytes *text = object->delta.length > 0
                     ? cfg_apply_delta (before, object->delta)
                     : g_bytes_new (object->text.at, object->text.length);
  struct cfg_text *config = plat_read_config_text (text, before);

  g_bytes_unref (text);
  start_ns = add_time (instance->table_step, start_ns);
  snapshot_put_config (instance->snapshot, object, config);
  add_time (STEP_SNAPSHOT, start_ns);
}

static void
skip_begin (void *closure)
{
  (void)closure;
}

static void
skip_end (void *closure, struct position position)
{
  (void)closure;
  (void)position;
}

/* Passes the response of the store with VERSION to WATCHER, and what that
   serves to FETCHER, which has the version before.  */
static void
pass_version (struct instance *watcher, struct instance *fetcher, int version,
              size_t routes)
{
  char *config = make_config (version, routes);
  char *response = g_strdup_printf (
      "{\"events\":[{\"deleted\":false,\"object\":{\"metadata\":{\"name\":"
      "\"main\",\"revision\":%d},\"spec\":%s}}],\"at\":%d}",
      version, config, version);
  struct watch_page page = { .as_text = 1, .last_name = g_string_new (NULL) };
  struct snapshot_state since = { .version = (uint64_t)version - 1,
                                  .targets = { 0, 1 },
                                  .base = (uint64_t)version - 1 };
  struct snapshot_state now = { .version = (uint64_t)version,
                                .config = { 0, (uint64_t)version },
                                .targets = { 0, 1 } };
  struct watch_sink sink
      = { skip_begin, take_config, skip_end, fetcher, .takes_text = 1 };
  struct snapshot_state known;
  int64_t inner_ns = cpu_ns[STEP_TABLE] + cpu_ns[STEP_SNAPSHOT];
  int64_t start_ns = cpu_now_ns ();
  const char *data;
  char *text;
  size_t length;
  size_t size;

  plat_store.read_watch (response, strlen (response), &page, take_config,
                         watcher);
  start_ns = add_time (STEP_PARSE, start_ns);
  cpu_ns[STEP_PARSE] -= cpu_ns[STEP_TABLE] + cpu_ns[STEP_SNAPSHOT] - inner_ns;
  data = snapshot_compress (watcher->snapshot, &since, &now, &length);
  start_ns = add_time (STEP_COMPRESS, start_ns);
  text = snapshot_decompress (data, length, &size);
  start_ns = add_time (STEP_DECOMPRESS, start_ns);
  inner_ns = cpu_ns[STEP_FETCHED_TABLE] + cpu_ns[STEP_SNAPSHOT];
  (void)snapshot_parse (text, size, &known, &since, &sink, &sink);
  add_time (STEP_FETCHED_PARSE, start_ns);
  inner_ns = cpu_ns[STEP_FETCHED_TABLE] + cpu_ns[STEP_SNAPSHOT] - inner_ns;
  cpu_ns[STEP_FETCHED_PARSE] -= inner_ns;
  g_free (text);
  g_string_free (page.last_name, TRUE);
  g_free (response);
  g_free (config);
}

/* Prints the processor time of one version with ROUTES routes, of which one
   changed.  */
void
micro_time_versions (size_t routes)
{
  struct instance watcher
      = { .snapshot = snapshot_new (), .table_step = STEP_TABLE };
  struct instance fetcher
      = { .snapshot = snapshot_new (), .table_step = STEP_FETCHED_TABLE };

  memset (cpu_ns, 0, sizeof cpu_ns);
  pass_version (&watcher, &fetcher, 1, routes);
  printf ("figure version_%zu_first_us %.0f us\n", routes,
          (double)(cpu_ns[STEP_PARSE] + cpu_ns[STEP_TABLE]) / 1000);
  memset (cpu_ns, 0, sizeof cpu_ns);
  for (int i = 0; i < VERSIONS; i++)
    pass_version (&watcher, &fetcher, i + 2, routes);
  cpu_ns[STEP_SNAPSHOT] /= 2; /* taken at both instances */
  for (size_t i = 0; i < STEP_COUNT; i++)
    printf ("figure version_%zu_%s_us %.0f us\n", routes, step_names[i],
            (double)cpu_ns[i] / VERSIONS / 1000);
  printf ("figure version_%zu_watcher_us %.0f us\n", routes,
          (double)(cpu_ns[STEP_PARSE] + cpu_ns[STEP_TABLE]
                   + cpu_ns[STEP_SNAPSHOT] + cpu_ns[STEP_COMPRESS])
              / VERSIONS / 1000);
  printf ("figure version_%zu_fetcher_us %.0f us\n", routes,
          (double)(cpu_ns[STEP_DECOMPRESS] + cpu_ns[STEP_FETCHED_PARSE]
                   + cpu_ns[STEP_FETCHED_TABLE] + cpu_ns[STEP_SNAPSHOT])
              / VERSIONS / 1000);
  snapshot_free (watcher.snapshot);
  snapshot_free (fetcher.snapshot);
}
