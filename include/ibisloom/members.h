/* Instances of the system as this one sees them. */
#ifndef IBISLOOM_MEMBERS_H
#define IBISLOOM_MEMBERS_H

#include <netinet/in.h>
#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"
#include "ibisloom/rank.h"
#include "ibisloom/wire.h"

enum
{
  MEM_NAME_MAX_BYTES = 64,
  MEM_SUSPECT_MS = 1200,
  MEM_GONE_MS = 3500,
  MEM_SMALL_FLEET = 8,           /* others that all hear from each other */
  MEM_FOREIGN_SUSPECT_MS = 1000, /* more for each foreign member */
  MEM_SUSPECT_MAX_MS = 60000
};

enum mem_state
{
  MEM_STARTING,
  MEM_READY,
  MEM_LEAVING,
  MEM_STATE_COUNT
};

struct mem_member
{
  uint32_t id;
  uint32_t domain;
  struct sockaddr_in address;
  enum mem_state state;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t window;
  uint64_t revision;
  clk_ms heard_ms;
  clk_ms direct_ms;
  clk_ms trusted_at_ms;
  int64_t suspect_ms; /* silence after which it is suspected */
  int32_t flaps;
  clk_ms flapped_ms;
  int gone;
};

/* What one heartbeat changed. */
enum mem_news
{
  MEM_NEWS_NONE = 0,
  MEM_NEWS_JOINED = 1,
  MEM_NEWS_REPLACED = 2,
  MEM_NEWS_STATE = 4,
  MEM_NEWS_STALE = 8
};

struct mem;

struct mem *mem_new (uint32_t self, uint32_t domain);
void mem_free (struct mem *mem);
unsigned mem_heard (struct mem *mem, const struct wire_message *message,
                    const struct sockaddr_in *from, clk_ms now);
unsigned mem_digest (struct mem *mem, const struct wire_digest *digest,
                     clk_ms now);
int mem_fresh (struct mem *mem, uint32_t id, uint64_t incarnation,
               uint64_t sequence);
size_t mem_expire (struct mem *mem, clk_ms now, uint32_t *gone,
                   size_t capacity);
void mem_set_self (struct mem *mem, enum mem_state state);
int mem_owner (struct mem *mem, uint64_t key, uint32_t domain, size_t rank,
               clk_ms now, struct mem_member *owner);
size_t mem_nodes (struct mem *mem, uint32_t domain, clk_ms now,
                  struct rank_node *nodes, size_t capacity);
int mem_find (struct mem *mem, uint32_t id, struct mem_member *member);
size_t mem_list (struct mem *mem, struct mem_member *members, size_t capacity);
int mem_usable (const struct mem_member *member, clk_ms now);

#endif
