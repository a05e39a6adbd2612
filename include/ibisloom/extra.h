/* A second response in a body that only the end of its connection ends. */
#ifndef IBISLOOM_EXTRA_H
#define IBISLOOM_EXTRA_H

#include <stddef.h>
#include <stdint.h>

/* How far the search has come; zeroed at the start of a body. */
struct extra_scan
{
  uint8_t state;
  uint8_t matched; /* characters of what is looked for */
};

int extra_scan_feed (struct extra_scan *scan, const char *field,
                     const char *data, size_t length);

#endif
