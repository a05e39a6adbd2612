/* Membership table: failure detection, flap damping, replay protection. */
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/members.h"
#include "ibisloom/rank.h"

enum
{
  HOLD_DOWN_MIN_MS = 500,
  HOLD_DOWN_MAX_MS = 30000,
  HOLD_DOWN_DOUBLINGS_MAX = 6,
  FLAP_WINDOW_MS = 60000,
  MEMBERS_MAX = 256,
  REPLAY_WINDOW = 64
};

struct member_table
{
  pthread_mutex_t lock;
  uint32_t self;
  uint32_t domain;
  enum member_state self_state;
  GArray *members; /* of struct member_info */
};

static int replay_window_accept (struct member_info *member,
                                 uint64_t sequence);
static struct member_info *find_member (struct member_table *member_table,
                                        uint32_t id);
static struct member_info *add_member (struct member_table *member_table,
                                       uint32_t id);
static int64_t suspect_timeout_ms (const struct member_table *member_table,
                                   const struct member_info *member);
static void record_flap (struct member_info *member, clk_ms now);
static size_t collect_usable (struct member_table *member_table,
                              uint32_t domain, int any_domain, clk_ms now,
                              struct rank_node *nodes);

/* Returns an empty table for the instance SELF of failure domain DOMAIN.  */
struct member_table *
member_table_new (uint32_t self, uint32_t domain)
{
  struct member_table *member_table = g_new0 (struct member_table, 1);

  pthread_mutex_init (&member_table->lock, NULL);
  member_table->self = self;
  member_table->domain = domain;
  member_table->members
      = g_array_new (FALSE, TRUE, sizeof (struct member_info));
  return member_table;
}

/* Frees MEMBER_TABLE.  */
void
member_table_free (struct member_table *member_table)
{
  g_array_free (member_table->members, TRUE);
  pthread_mutex_destroy (&member_table->lock);
  g_free (member_table);
}

/* Updates the sender of heartbeat MESSAGE, received FROM its address at NOW.
   Returns a set of member_change.  A heartbeat of an older incarnation is
   ignored.  A member that repeatedly restarts, or returns after it was gone,
   within FLAP_WINDOW_MS owns no targets for a hold-down time that doubles with
   each such change.  */
unsigned
member_heartbeat (struct member_table *member_table,
                  const struct wire_message *message,
                  const struct sockaddr_in *from, clk_ms now)
{
  const struct wire_heartbeat *heartbeat = &message->u.heartbeat;
  struct member_info *member;
  unsigned changes = MEMBER_CHANGE_NONE;

  pthread_mutex_lock (&member_table->lock);
  member = find_member (member_table, message->sender);
  if (member == NULL)
    {
      member = add_member (member_table, message->sender);
      changes |= MEMBER_CHANGE_JOINED;
    }
  else if (message->incarnation < member->incarnation)
    {
      pthread_mutex_unlock (&member_table->lock);
      return MEMBER_CHANGE_STALE;
    }
  else if (member->incarnation != message->incarnation)
    {
      changes |= MEMBER_CHANGE_REPLACED;
      record_flap (member, now);
    }
  else if (member->gone)
    {
      changes |= MEMBER_CHANGE_JOINED;
      record_flap (member, now);
    }
  if (member->state != (enum member_state)heartbeat->state)
    changes |= MEMBER_CHANGE_STATE;
  member->gone = 0;
  member->address = *from;
  member->domain = heartbeat->domain;
  member->suspect_ms = suspect_timeout_ms (member_table, member);
  member->incarnation = message->incarnation;
  member->revision = heartbeat->revision;
  member->state = (enum member_state)heartbeat->state;
  member->last_seen_ms = now;
  member->last_direct_ms = now;
  pthread_mutex_unlock (&member_table->lock);
  return changes;
}

/* Applies DIGEST, a report that another member sends on a member.  It adds an
   unknown member and keeps a known one from being suspected; it never removes
   a member or brings back one that is gone.  */
unsigned
member_digest (struct member_table *member_table,
               const struct wire_digest *digest, clk_ms now)
{
  struct member_info *member;
  clk_ms seen_ms = now - digest->age_ms;
  unsigned changes = MEMBER_CHANGE_NONE;

  if (digest->instance == member_table->self
      || digest->age_ms >= MEMBER_SUSPECT_MAX_MS)
    return MEMBER_CHANGE_NONE;
  pthread_mutex_lock (&member_table->lock);
  member = find_member (member_table, digest->instance);
  if (member == NULL)
    {
      member = add_member (member_table, digest->instance);
      member->domain = digest->domain;
      member->incarnation = digest->incarnation;
      member->state = MEMBER_READY;
      member->address.sin_family = AF_INET;
      member->address.sin_addr.s_addr = digest->ip;
      member->address.sin_port = digest->port;
      changes = MEMBER_CHANGE_JOINED;
    }
  member->suspect_ms = suspect_timeout_ms (member_table, member);
  if (digest->incarnation == member->incarnation
      && seen_ms > member->last_seen_ms && !member->gone)
    member->last_seen_ms = seen_ms;
  pthread_mutex_unlock (&member_table->lock);
  return changes;
}

/* Returns whether a datagram of INCARNATION and SEQUENCE from member ID is
   new, and records it.  Datagrams may arrive out of order by fewer than
   REPLAY_WINDOW sequence numbers; older ones are rejected as replays.
   Datagrams of an unknown sender are accepted.  */
int
member_accept_sequence (struct member_table *member_table, uint32_t id,
                        uint64_t incarnation, uint64_t sequence)
{
  struct member_info *member;
  int is_new = 1;

  pthread_mutex_lock (&member_table->lock);
  member = find_member (member_table, id);
  if (member != NULL && incarnation < member->incarnation)
    is_new = 0;
  else if (member != NULL && incarnation == member->incarnation)
    {
      is_new = replay_window_accept (member, sequence);
    }
  else if (member != NULL)
    {
      member->sequence = sequence;
      member->replay_window = 1;
    }
  pthread_mutex_unlock (&member_table->lock);
  return is_new;
}

/* Marks as gone the members that have been silent for MEMBER_GONE_MS -
   MEMBER_SUSPECT_MS beyond their own suspect time.  Copies the identifiers of
   up to CAPACITY of them to GONE, each once, and returns how many.  */
size_t
member_expire (struct member_table *member_table, clk_ms now, uint32_t *gone,
               size_t capacity)
{
  size_t count = 0;

  pthread_mutex_lock (&member_table->lock);
  for (guint i = 0; i < member_table->members->len && count < capacity; i++)
    {
      struct member_info *member
          = &g_array_index (member_table->members, struct member_info, i);

      if (member->gone
          || now - member->last_seen_ms
                 < member->suspect_ms + MEMBER_GONE_MS - MEMBER_SUSPECT_MS)
        continue;
      member->gone = 1;
      gone[count++] = member->id;
    }
  pthread_mutex_unlock (&member_table->lock);
  return count;
}

/* Sets the STATE of this instance.  */
void
member_set_self_state (struct member_table *member_table,
                       enum member_state state)
{
  pthread_mutex_lock (&member_table->lock);
  member_table->self_state = state;
  pthread_mutex_unlock (&member_table->lock);
}

/* Finds the owner of KEY at NOW: the usable instance at position RANK, counted
   from 0, of the rendezvous ranking in failure domain DOMAIN (0: in all
   domains); in all domains, too, if DOMAIN has no usable instance.  Returns 1
   and fills OWNER, 0 if the owner is this instance, or -1 if there is none at
   RANK.  */
int
member_owner (struct member_table *member_table, uint64_t key, uint32_t domain,
              size_t rank, clk_ms now, struct member_info *owner)
{
  struct rank_node nodes[MEMBERS_MAX + 1];
  size_t top[RANK_TOP_MAX];
  size_t count;
  const struct member_info *member;
  int result = -1;

  pthread_mutex_lock (&member_table->lock);
  count = collect_usable (member_table, domain, domain == 0, now, nodes);
  if (count == 0)
    count = collect_usable (member_table, domain, 1, now, nodes);
  if (rank_top (key, nodes, count, top, rank + 1) > rank)
    {
      uint32_t id = (uint32_t)nodes[top[rank]].id;

      if (id == member_table->self)
        result = 0;
      else
        {
          member = find_member (member_table, id);
          *owner = *member;
          result = 1;
        }
    }
  pthread_mutex_unlock (&member_table->lock);
  return result;
}

/* Copies to NODES up to CAPACITY usable instances of failure domain DOMAIN, or
   of all domains if it has none; returns how many.  */
size_t
member_usable_nodes (struct member_table *member_table, uint32_t domain,
                     clk_ms now, struct rank_node *nodes, size_t capacity)
{
  struct rank_node all[MEMBERS_MAX + 1];
  size_t count;

  pthread_mutex_lock (&member_table->lock);
  count = collect_usable (member_table, domain, 0, now, all);
  if (count == 0)
    count = collect_usable (member_table, domain, 1, now, all);
  pthread_mutex_unlock (&member_table->lock);
  count = MIN (count, capacity);
  memcpy (nodes, all, count * sizeof *nodes);
  return count;
}

/* Copies member ID to MEMBER.  Returns 1, 0 if ID is this instance, or -1 if
   it is unknown.  */
int
member_find (struct member_table *member_table, uint32_t id,
             struct member_info *member)
{
  const struct member_info *found;
  int result = -1;

  if (id == member_table->self)
    return 0;
  pthread_mutex_lock (&member_table->lock);
  found = find_member (member_table, id);
  if (found != NULL)
    {
      *member = *found;
      result = 1;
    }
  pthread_mutex_unlock (&member_table->lock);
  return result;
}

/* Copies up to CAPACITY members to MEMBERS, including those that are gone but
   not this instance; returns how many.  */
size_t
member_list (struct member_table *member_table, struct member_info *members,
             size_t capacity)
{
  size_t count = 0;

  pthread_mutex_lock (&member_table->lock);
  for (guint i = 0; i < member_table->members->len && count < capacity; i++)
    members[count++]
        = g_array_index (member_table->members, struct member_info, i);
  pthread_mutex_unlock (&member_table->lock);
  return count;
}

/* Returns whether MEMBER may be an owner at NOW.  */
int
member_is_usable (const struct member_info *member, clk_ms now)
{
  return !member->gone && member->state == MEMBER_READY
         && now - member->last_seen_ms < member->suspect_ms
         && now >= member->hold_down_until_ms;
}

/* Copies the usable instances of DOMAIN, or of all domains if ANY_DOMAIN is
   set, to NODES; returns how many.  */
static size_t
collect_usable (struct member_table *member_table, uint32_t domain,
                int any_domain, clk_ms now, struct rank_node *nodes)
{
  size_t count = 0;

  if (member_table->self_state == MEMBER_READY
      && (any_domain || member_table->domain == domain))
    nodes[count++] = (struct rank_node){ member_table->self, 1 };
  for (guint i = 0; i < member_table->members->len; i++)
    {
      const struct member_info *member
          = &g_array_index (member_table->members, struct member_info, i);

      if (member_is_usable (member, now)
          && (any_domain || member->domain == domain))
        nodes[count++] = (struct rank_node){ member->id, 1 };
    }
  return count;
}

/* Returns after how many milliseconds of silence MEMBER is suspected.  In a
   fleet larger than MEMBER_FULL_MESH_MAX each heartbeat goes to only one
   member of the other failure domains, in rotation, so the timeout of such
   members grows with their number.  */
static int64_t
suspect_timeout_ms (const struct member_table *member_table,
                    const struct member_info *member)
{
  int64_t remote = 0;

  if (member->domain == member_table->domain
      || member_table->members->len <= MEMBER_FULL_MESH_MAX)
    return MEMBER_SUSPECT_MS;
  for (guint i = 0; i < member_table->members->len; i++)
    remote
        += g_array_index (member_table->members, struct member_info, i).domain
           != member_table->domain;
  return MIN (MEMBER_SUSPECT_MS + remote * MEMBER_REMOTE_SUSPECT_MS,
              (int64_t)MEMBER_SUSPECT_MAX_MS);
}

/* Records at NOW that MEMBER restarted or returned, and holds it down unless
   this is the first time within FLAP_WINDOW_MS.  */
static void
record_flap (struct member_info *member, clk_ms now)
{
  int64_t hold_down_ms;

  if (now - member->last_flap_ms > FLAP_WINDOW_MS)
    member->flap_count = 0;
  member->last_flap_ms = now;
  member->flap_count++;
  if (member->flap_count == 1)
    return;
  hold_down_ms = (int64_t)HOLD_DOWN_MIN_MS
                 << MIN (member->flap_count - 2, HOLD_DOWN_DOUBLINGS_MAX);
  member->hold_down_until_ms
      = now + MIN (hold_down_ms, (int64_t)HOLD_DOWN_MAX_MS);
}

/* Marks SEQUENCE as received in the anti-replay window of MEMBER (RFC 4303,
   section 3.4.3).  Returns whether it is new.  */
static int
replay_window_accept (struct member_info *member, uint64_t sequence)
{
  uint64_t shift;
  uint64_t bit;

  if (sequence > member->sequence)
    {
      shift = sequence - member->sequence;
      member->replay_window
          = shift < REPLAY_WINDOW ? member->replay_window << shift : 0;
      member->replay_window |= 1;
      member->sequence = sequence;
      return 1;
    }
  shift = member->sequence - sequence;
  if (shift >= REPLAY_WINDOW)
    return 0;
  bit = (uint64_t)1 << shift;
  if (member->replay_window & bit)
    return 0;
  member->replay_window |= bit;
  return 1;
}

/* Returns member ID, or NULL.  */
static struct member_info *
find_member (struct member_table *member_table, uint32_t id)
{
  for (guint i = 0; i < member_table->members->len; i++)
    if (g_array_index (member_table->members, struct member_info, i).id == id)
      return &g_array_index (member_table->members, struct member_info, i);
  return NULL;
}

/* Adds member ID and returns it.  In a full table it replaces the member that
   has been silent longest.  */
static struct member_info *
add_member (struct member_table *member_table, uint32_t id)
{
  struct member_info member = { .id = id };
  guint oldest = 0;

  if (member_table->members->len < MEMBERS_MAX)
    {
      g_array_append_val (member_table->members, member);
      return &g_array_index (member_table->members, struct member_info,
                             member_table->members->len - 1);
    }
  for (guint i = 1; i < member_table->members->len; i++)
    if (g_array_index (member_table->members, struct member_info, i)
            .last_seen_ms
        < g_array_index (member_table->members, struct member_info, oldest)
              .last_seen_ms)
      oldest = i;
  g_array_index (member_table->members, struct member_info, oldest) = member;
  return &g_array_index (member_table->members, struct member_info, oldest);
}
