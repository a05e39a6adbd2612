/* Entry points of libFuzzer; an environment variable selects the parser. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fuzz_parsers.h"

#define PARSER_VARIABLE "IBISLOOM_FUZZ"

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static const struct fuzz_parser *parser;

/* Selects the parser that PARSER_VARIABLE names.  If it names none, prints the
   names of all parsers and exits.  */
int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  const char *name = getenv (PARSER_VARIABLE);

  (void)argc;
  (void)argv;
  for (size_t i = 0; i < fuzz_parser_count; i++)
    if (g_strcmp0 (fuzz_parsers[i].name, name) == 0)
      parser = &fuzz_parsers[i];
  if (parser != NULL)
    return 0;
  fprintf (stderr, "set %s to one of:", PARSER_VARIABLE);
  for (size_t i = 0; i < fuzz_parser_count; i++)
    fprintf (stderr, " %s", fuzz_parsers[i].name);
  fprintf (stderr, "\n");
  exit (EXIT_FAILURE);
}

/* Runs the parser on one input, with a 0 appended.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *input = g_malloc (size + 1);

  if (size > 0)
    memcpy (input, data, size);
  input[size] = '\0';
  (void)parser->run (input, size);
  g_free (input);
  return 0;
}
