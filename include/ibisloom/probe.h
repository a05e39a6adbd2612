/* Probe: whether a process still listens at an address. */
#ifndef IBISLOOM_PROBE_H
#define IBISLOOM_PROBE_H

#include <netinet/in.h>
#include <ev.h>

struct probe;

/* Receives the result: whether a connection was accepted. */
typedef void (*probe_done_fn) (void *closure, int is_listening);

struct probe *probe_start (struct ev_loop *loop,
                           const struct sockaddr_in *address,
                           int64_t timeout_ms, probe_done_fn done,
                           void *closure);
void probe_cancel (struct probe *probe);

#endif
