/* Guard of the targets of the own interface against requests that crash
   them. */
#ifndef IBISLOOM_GUARD_H
#define IBISLOOM_GUARD_H

#include <netinet/in.h>
#include <stdint.h>

#include "ibisloom/peer.h"

struct guard;

struct guard *guard_new (struct peer *peer);
void guard_free (struct guard *guard);
int guard_blocks (struct guard *guard, uint64_t request);
int guard_admits (struct guard *guard, uint64_t request);
void guard_suspect (struct guard *guard, uint64_t request, uint64_t target,
                    const struct sockaddr_in *address);
void guard_succeed (struct guard *guard, uint64_t request);

#endif
