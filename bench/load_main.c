/* ibisload: load and experiment tool of the bench. */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

struct setting
{
  const char *name;
  size_t offset;
  char kind; /* i int, l int64_t, d double, s string, u unsigned */
};

static error_t parse_option (int key, char *value, struct argp_state *state);
static int set_option (const char *name, const char *value);
static GArray *run_workload (void);

#define OPTION_OFFSET(member) offsetof (struct load_options, member)

static const struct setting settings[] = {
  { "workload", OPTION_OFFSET (workload), 's' },
  { "base_port", OPTION_OFFSET (base_port), 'i' },
  { "instances", OPTION_OFFSET (instances), 'i' },
  { "direct_port", OPTION_OFFSET (direct_port), 'i' },
  { "duration_ms", OPTION_OFFSET (duration_ms), 'l' },
  { "rate", OPTION_OFFSET (rate), 'd' },
  { "concurrency", OPTION_OFFSET (concurrency), 'i' },
  { "chats", OPTION_OFFSET (chats), 'i' },
  { "zipf", OPTION_OFFSET (zipf), 'd' },
  { "customers", OPTION_OFFSET (customers), 'i' },
  { "big_share", OPTION_OFFSET (big_share), 'd' },
  { "surge_at_ms", OPTION_OFFSET (surge_at_ms), 'l' },
  { "surge_factor", OPTION_OFFSET (surge_factor), 'd' },
  { "prompt", OPTION_OFFSET (prompt), 'l' },
  { "growth", OPTION_OFFSET (growth), 'l' },
  { "tokens", OPTION_OFFSET (tokens), 'l' },
  { "mixed", OPTION_OFFSET (mixed), 'i' },
  { "stream", OPTION_OFFSET (stream), 'i' },
  { "repeat_share", OPTION_OFFSET (repeat_share), 'd' },
  { "retries", OPTION_OFFSET (retries), 'i' },
  { "seed", OPTION_OFFSET (seed), 'u' },
  { "service", OPTION_OFFSET (service), 's' },
  { "path", OPTION_OFFSET (path), 's' },
  { "method", OPTION_OFFSET (method), 's' },
  { "out", OPTION_OFFSET (out), 's' },
  { "events", OPTION_OFFSET (events), 's' },
  { "token_file", OPTION_OFFSET (token_file), 's' },
  { "engines", OPTION_OFFSET (engines), 'i' },
  { "slots", OPTION_OFFSET (slots), 'i' },
  { "cache_tokens", OPTION_OFFSET (cache_tokens), 'l' },
  { "load_factor", OPTION_OFFSET (load_factor), 'd' },
  { "from_ms", OPTION_OFFSET (from_ms), 'l' },
  { "until_ms", OPTION_OFFSET (until_ms), 'l' },
};

static struct load_options options = {
  .workload = "chats",
  .instances = 3,
  .duration_ms = 5000,
  .rate = 20,
  .concurrency = 16,
  .chats = 200,
  .zipf = 0.9,
  .customers = 10,
  .prompt = 200,
  .growth = 100,
  .tokens = 20,
  .stream = 1,
  .seed = 1,
  .service = "asistente",
  .path = "/charge",
  .method = "POST",
  .engines = 12,
  .slots = 8,
  .cache_tokens = 200000,
  .load_factor = 1.25,
  .until_ms = INT64_MAX,
};

static const char *report_name;
static int engine_port;
static int service_port;
static int platform_port;

static const struct argp argument_parser
    = { NULL,
        parse_option,
        "[report=NAME] NAME=VALUE...",
        "Runs a workload against a fleet and writes its records, or prints "
        "the figures of a report on records written before.",
        NULL,
        NULL,
        NULL };

int
main (int argc, char **argv)
{
  GArray *records;

  argp_parse (&argument_parser, argc, argv, 0, NULL, NULL);
  if (report_name == NULL && strcmp (options.workload, "config") == 0)
    {
      char *token = NULL;

      if (!g_file_get_contents (options.token_file, &token, NULL, NULL))
        return EXIT_FAILURE;
      load_run_config_changes (&options, g_strstrip (token));
      g_free (token);
      return EXIT_SUCCESS;
    }
  if (report_name == NULL)
    {
      records = run_workload ();
      if (options.out != NULL)
        load_write_records (options.out, records);
      return EXIT_SUCCESS;
    }
  records = load_read_records (options.out);
  return load_report (report_name, &options, records, engine_port,
                      service_port, platform_port)
                 == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}

/* Takes NAME=VALUE arguments for argp.  */
static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  char **pair;
  int is_set;

  if (key != ARGP_KEY_ARG)
    return ARGP_ERR_UNKNOWN;
  pair = g_strsplit (value, "=", 2);
  is_set = g_strv_length (pair) == 2 && set_option (pair[0], pair[1]) == 0;
  if (!is_set)
    argp_error (state, "%s: no such setting", value);
  g_strfreev (pair);
  return 0;
}

/* Sets the option called NAME.  Returns 0, or -1 if there is none.  */
static int
set_option (const char *name, const char *value)
{
  static const struct
  {
    const char *name;
    int *field;
  } ports[] = { { "engine_port", &engine_port },
                { "service_port", &service_port },
                { "platform_port", &platform_port } };

  if (strcmp (name, "report") == 0)
    {
      report_name = g_strdup (value);
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    if (strcmp (name, ports[i].name) == 0)
      {
        *ports[i].field = atoi (value);
        return 0;
      }
  for (size_t i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      void *field = (char *)&options + settings[i].offset;

      if (strcmp (name, settings[i].name) != 0)
        continue;
      if (settings[i].kind == 'i')
        *(int *)field = atoi (value);
      else if (settings[i].kind == 'l')
        *(int64_t *)field = atoll (value);
      else if (settings[i].kind == 'd')
        *(double *)field = atof (value);
      else if (settings[i].kind == 'u')
        *(unsigned *)field = (unsigned)strtoul (value, NULL, 10);
      else
        *(const char **)field = g_strdup (value);
      return 0;
    }
  return -1;
}

/* Runs the workload of the options.  */
static GArray *
run_workload (void)
{
  if (strcmp (options.workload, "calls") == 0)
    return load_run_keyed_calls (&options);
  if (strcmp (options.workload, "closed") == 0)
    return load_run_closed_loop (&options);
  return load_run_chats (&options);
}
