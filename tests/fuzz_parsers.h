/* Parsers of untrusted input, each as a function of bytes. */
#ifndef FUZZ_PARSERS_H
#define FUZZ_PARSERS_H

#include <stddef.h>

/* A parser under test.  RUN aborts if an invariant is violated, and returns
   whether the INPUT of LENGTH bytes and a terminating 0 was well formed. */
struct fuzz_parser
{
  const char *name; /* also of its corpus directory in regress/fuzz */
  int (*run) (const char *input, size_t length);
};

extern const struct fuzz_parser fuzz_parsers[];
extern const size_t fuzz_parser_count;

#endif
