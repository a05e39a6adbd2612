/* Parsers that outsiders reach, each as a function of bytes. */
#ifndef FUZZ_PARSERS_H
#define FUZZ_PARSERS_H

#include <stddef.h>

/* A parser under test.  RUN aborts on a broken invariant, and returns whether
   the input, LENGTH bytes with a 0 behind them, was taken as well formed. */
struct fuzz_parser
{
  const char *name; /* also of its corpus in regress/fuzz */
  int (*run) (const char *input, size_t length);
};

extern const struct fuzz_parser fuzz_parsers[];
extern const size_t fuzz_parser_count;

#endif
