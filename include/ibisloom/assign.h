/* Assignment of targets to the instances that own them. */
#ifndef IBISLOOM_ASSIGN_H
#define IBISLOOM_ASSIGN_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/rank.h"

void assign_owners (const uint64_t *targets, size_t target_count,
                    const struct rank_node *instances, size_t instance_count,
                    uint32_t *owners);

#endif
