/* Probe: whether a process still listens at an address. */
#ifndef IBISLOOM_PROBE_H
#define IBISLOOM_PROBE_H

#include <netinet/in.h>
#include <ev.h>

struct probe;

enum probe_result
{
  PROBE_ACCEPTED,
  PROBE_REFUSED,  /* the host is up, and nothing listens */
  PROBE_NO_ANSWER /* the host is down or cannot be reached */
};

typedef void (*probe_done_fn) (void *closure, enum probe_result result);

struct probe *probe_start (struct ev_loop *loop,
                           const struct sockaddr_in *address,
                           int64_t timeout_ms, probe_done_fn done,
                           void *closure);
void probe_cancel (struct probe *probe);

#endif
