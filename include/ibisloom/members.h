/* Membership table: the other instances, as this one sees them. */
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
  MEMBER_NAME_MAX_BYTES = 64,
  MEMBER_SUSPECT_MS = 1200, /* silence after which it owns no targets */
  MEMBER_GONE_MS = 3500,    /* silence after which its grants are dropped */
  MEMBER_FULL_MESH_MAX = 8, /* with more members, heartbeats rotate */
  MEMBER_REMOTE_SUSPECT_MS = 1000, /* added per member of another domain */
  MEMBER_SUSPECT_MAX_MS = 60000
};

enum member_state
{
  MEMBER_STARTING,
  MEMBER_READY,
  MEMBER_LEAVING,
  MEMBER_STATE_COUNT
};

/* Another instance. */
struct member_info
{
  uint32_t id;
  uint32_t domain;
  struct sockaddr_in address;
  enum member_state state;
  uint64_t incarnation;
  uint64_t sequence;         /* highest received */
  uint64_t replay_window;    /* bit N: sequence - N was received */
  uint64_t revision;         /* of its configuration, as last reported */
  clk_ms last_seen_ms;       /* last heartbeat, received or in a digest */
  clk_ms last_direct_ms;     /* last heartbeat received */
  clk_ms hold_down_until_ms; /* it owns no targets before */
  int64_t suspect_ms;        /* silence after which it owns no targets */
  int32_t flap_count;        /* restarts and returns within the flap window */
  clk_ms last_flap_ms;
  int gone; /* silent for so long that its grants were dropped */
};

/* What a heartbeat changed; the values are bits of a set. */
enum member_change
{
  MEMBER_CHANGE_NONE = 0,
  MEMBER_CHANGE_JOINED = 1,   /* it was unknown or gone */
  MEMBER_CHANGE_REPLACED = 2, /* it has another incarnation */
  MEMBER_CHANGE_STATE = 4,
  MEMBER_CHANGE_STALE = 8 /* older incarnation; the heartbeat was ignored */
};

struct member_table;

struct member_table *member_table_new (uint32_t self, uint32_t domain);
void member_table_free (struct member_table *member_table);
unsigned member_heartbeat (struct member_table *member_table,
                           const struct wire_message *message,
                           const struct sockaddr_in *from, clk_ms now);
unsigned member_digest (struct member_table *member_table,
                        const struct wire_digest *digest, clk_ms now);
int member_accept_sequence (struct member_table *member_table, uint32_t id,
                            uint64_t incarnation, uint64_t sequence);
size_t member_expire (struct member_table *member_table, clk_ms now,
                      uint32_t *gone, size_t capacity);
void member_set_self_state (struct member_table *member_table,
                            enum member_state state);
int member_owner (struct member_table *member_table, uint64_t key,
                  uint32_t domain, size_t rank, clk_ms now,
                  struct member_info *owner);
size_t member_usable_nodes (struct member_table *member_table, uint32_t domain,
                            clk_ms now, struct rank_node *nodes,
                            size_t capacity);
int member_find (struct member_table *member_table, uint32_t id,
                 struct member_info *member);
size_t member_list (struct member_table *member_table,
                    struct member_info *members, size_t capacity);
int member_is_usable (const struct member_info *member, clk_ms now);

#endif
