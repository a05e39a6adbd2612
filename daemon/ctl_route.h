/* Command of ibisctl that asks an instance where a request would go. */
#ifndef CTL_ROUTE_H
#define CTL_ROUTE_H

#include <stdint.h>

struct fetch;

/* Exit statuses. */
enum
{
  CTL_ROUTE_SENT = 0, /* or it would wait */
  CTL_ROUTE_REFUSED = 1,
  CTL_ROUTE_UNREACHABLE = 2,
  CTL_ROUTE_USAGE = 64
};

struct ctl_route
{
  const char *server; /* metrics address of the instance */
  const char *method;
  const char *url;
  const char *key_file; /* "-": standard input; NULL: no key */
  const char *prompt;   /* parts of the prompt, or NULL */
  int64_t timeout_ms;
  int as_json;
};

int ctl_route (struct fetch *fetch, const struct ctl_route *route);

#endif
