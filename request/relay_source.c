/* Target from which the one of a relayed request copies the context. */
#include "ibisloom/source.h"
#include "librelay.h"

enum
{
  /* The known holders, the listed ones, and a home.  */
  SOURCES_MAX = AFFINITY_HOLDERS_MAX + HELD_TARGETS_MAX + 1
};

/* Targets that may hold the context of a request. */
struct sources
{
  struct source_holder view[SOURCES_MAX];
  const struct reg_target *target[SOURCES_MAX];
  size_t count;
};

static void add_source (struct sources *sources, const struct relay *relay,
                        uint64_t id, const struct reg_target *target,
                        clk_ms now);

/* Returns the target from which TARGET, selected by CHOICE, is to copy the
   context of RELAY at NOW, or NULL if it holds the context or is to read it.
   Instances that know no holder send the context to one of the same two homes,
   so that the other one may hold it.  If holders are known, that TARGET is
   listed as one more does not count: it may have evicted the context since.
   To be called before TARGET is recorded as a holder.  */
const struct reg_target *
relay_find_source (const struct relay *relay, const struct reg_target *target,
                   const struct bal_choice *choice, clk_ms now)
{
  struct sources sources = { .count = 0 };
  const struct affinity_holders *holders;
  struct reg_target *listed[HELD_TARGETS_MAX];
  uint32_t listed_count;
  size_t known;
  size_t index;

  if (relay->context == 0 || target->is_peer)
    return NULL;
  holders = affinity_find (relay->router->affinity, relay->context);
  for (uint32_t i = 0; holders != NULL && i < holders->count; i++)
    add_source (&sources, relay, holders->target[i], target, now);
  listed_count = relay_listed_holders (relay, now, listed);
  for (uint32_t i = 0; i < listed_count; i++)
    if (listed[i] != target || holders == NULL || holders->count == 0)
      add_source (&sources, relay, listed[i]->hash, target, now);
  known = sources.count;
  if (choice->other_home != 0)
    add_source (&sources, relay, choice->other_home, target, now);
  /* Known holders come first, wherever they are.  */
  if (sources.count > known)
    sources.view[known].is_near = 0;
  index = source_pick (target->software, relay->context_tokens, sources.view,
                       sources.count);
  return index != SOURCE_NONE ? sources.target[index] : NULL;
}

/* Adds to SOURCES the target ID, as it is known at NOW, if there is one.
   TARGET gets the request.  */
static void
add_source (struct sources *sources, const struct relay *relay, uint64_t id,
            const struct reg_target *target, clk_ms now)
{
  const struct reg_target *holder
      = reg_find_hash (relay->router->registry, id);

  if (holder == NULL)
    return;
  sources->target[sources->count] = holder;
  sources->view[sources->count++] = (struct source_holder){
    .software = holder->software,
    .is_target = holder == target,
    .is_reachable = reg_doubt (holder, now) != REG_UNREACHABLE,
    .is_usable = health_get_state (&holder->health, now) == HEALTH_USABLE,
    .is_near = holder->failure_domain == target->failure_domain
  };
}
