/* ibisload: load and experiment tool of the bench. */
#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

struct number
{
  const char *name;
  size_t offset;
  char kind; /* i int, l int64_t, d double, s string, u unsigned */
};

static error_t parse_option (int key, char *value, struct argp_state *state);
static int set (const char *name, const char *value);
static GArray *generate (void);

#define SLOT(member) offsetof (struct load_options, member)

static const struct number numbers[] = {
  { "workload", SLOT (workload), 's' },
  { "base_port", SLOT (base_port), 'i' },
  { "instances", SLOT (instances), 'i' },
  { "direct_port", SLOT (direct_port), 'i' },
  { "duration_ms", SLOT (duration_ms), 'l' },
  { "rate", SLOT (rate), 'd' },
  { "concurrency", SLOT (concurrency), 'i' },
  { "chats", SLOT (chats), 'i' },
  { "zipf", SLOT (zipf), 'd' },
  { "customers", SLOT (customers), 'i' },
  { "big_share", SLOT (big_share), 'd' },
  { "surge_at_ms", SLOT (surge_at_ms), 'l' },
  { "surge_factor", SLOT (surge_factor), 'd' },
  { "prompt", SLOT (prompt), 'l' },
  { "growth", SLOT (growth), 'l' },
  { "tokens", SLOT (tokens), 'l' },
  { "mixed", SLOT (mixed), 'i' },
  { "stream", SLOT (stream), 'i' },
  { "repeat_share", SLOT (repeat_share), 'd' },
  { "retries", SLOT (retries), 'i' },
  { "seed", SLOT (seed), 'u' },
  { "service", SLOT (service), 's' },
  { "path", SLOT (path), 's' },
  { "method", SLOT (method), 's' },
  { "out", SLOT (out), 's' },
  { "events", SLOT (events), 's' },
  { "token_file", SLOT (token_file), 's' },
  { "engines", SLOT (engines), 'i' },
  { "slots", SLOT (slots), 'i' },
  { "cache_tokens", SLOT (cache_tokens), 'l' },
  { "load_factor", SLOT (load_factor), 'd' },
  { "from_ms", SLOT (from_ms), 'l' },
  { "until_ms", SLOT (until_ms), 'l' },
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

static const char *report;
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
  if (report == NULL && strcmp (options.workload, "config") == 0)
    {
      char *token = NULL;

      if (!g_file_get_contents (options.token_file, &token, NULL, NULL))
        return EXIT_FAILURE;
      load_run_config (&options, g_strstrip (token));
      g_free (token);
      return EXIT_SUCCESS;
    }
  if (report == NULL)
    {
      records = generate ();
      if (options.out != NULL)
        load_write (options.out, records);
      return EXIT_SUCCESS;
    }
  records = load_read (options.out);
  return load_report (report, &options, records, engine_port, service_port,
                      platform_port)
                 == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE;
}

/* Takes NAME=VALUE arguments for argp.  */
static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  char **pair;
  int known;

  if (key != ARGP_KEY_ARG)
    return ARGP_ERR_UNKNOWN;
  pair = g_strsplit (value, "=", 2);
  known = g_strv_length (pair) == 2 && set (pair[0], pair[1]) == 0;
  if (!known)
    argp_error (state, "%s: no such setting", value);
  g_strfreev (pair);
  return 0;
}

/* Sets the option called NAME.  Returns 0, or -1 if there is none.  */
static int
set (const char *name, const char *value)
{
  static const struct
  {
    const char *name;
    int *slot;
  } ports[] = { { "engine_port", &engine_port },
                { "service_port", &service_port },
                { "platform_port", &platform_port } };

  if (strcmp (name, "report") == 0)
    {
      report = g_strdup (value);
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    if (strcmp (name, ports[i].name) == 0)
      {
        *ports[i].slot = atoi (value);
        return 0;
      }
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      void *slot = (char *)&options + numbers[i].offset;

      if (strcmp (name, numbers[i].name) != 0)
        continue;
      if (numbers[i].kind == 'i')
        *(int *)slot = atoi (value);
      else if (numbers[i].kind == 'l')
        *(int64_t *)slot = atoll (value);
      else if (numbers[i].kind == 'd')
        *(double *)slot = atof (value);
      else if (numbers[i].kind == 'u')
        *(unsigned *)slot = (unsigned)strtoul (value, NULL, 10);
      else
        *(const char **)slot = g_strdup (value);
      return 0;
    }
  return -1;
}

/* Runs the workload of the options.  */
static GArray *
generate (void)
{
  if (strcmp (options.workload, "calls") == 0)
    return load_run_calls (&options);
  if (strcmp (options.workload, "closed") == 0)
    return load_run_closed (&options);
  return load_run_chats (&options);
}
