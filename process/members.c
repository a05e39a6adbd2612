/* Instances of the system as this one sees them. */
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/members.h"
#include "ibisloom/rank.h"

enum
{
  TRUST_MIN_MS = 500,
  TRUST_MAX_MS = 30000,
  TRUST_DOUBLINGS_MAX = 6,
  FLAP_MEMORY_MS = 60000,
  MEMBERS_MAX = 256,
  REPLAY_WINDOW = 64
};

struct mem
{
  pthread_mutex_t lock;
  uint32_t self;
  uint32_t domain;
  enum mem_state self_state;
  GArray *members; /* of struct mem_member */
};

static int window_take (struct mem_member *member, uint64_t sequence);
static struct mem_member *find (struct mem *mem, uint32_t id);
static struct mem_member *add (struct mem *mem, uint32_t id);
static int64_t suspect_after (const struct mem *mem,
                              const struct mem_member *member);
static void note_flap (struct mem_member *member, clk_ms now);
static size_t collect (struct mem *mem, uint32_t domain, int any_domain,
                       clk_ms now, struct rank_node *nodes);

/* Returns a view in which only SELF, of failure domain DOMAIN, is known.  */
struct mem *
mem_new (uint32_t self, uint32_t domain)
{
  struct mem *mem = g_new0 (struct mem, 1);

  pthread_mutex_init (&mem->lock, NULL);
  mem->self = self;
  mem->domain = domain;
  mem->members = g_array_new (FALSE, TRUE, sizeof (struct mem_member));
  return mem;
}

/* Frees MEM.  */
void
mem_free (struct mem *mem)
{
  g_array_free (mem->members, TRUE);
  pthread_mutex_destroy (&mem->lock);
  g_free (mem);
}

/* Takes a heartbeat MESSAGE that came FROM an address at NOW.  Returns a set
   of mem_news.  A member that comes back after it was gone, or that is
   replaced again within a minute, has to be heard for a time that doubles
   with each such change before it owns anything.  */
unsigned
mem_heard (struct mem *mem, const struct wire_message *message,
           const struct sockaddr_in *from, clk_ms now)
{
  const struct wire_heartbeat *beat = &message->u.heartbeat;
  struct mem_member *member;
  unsigned news = MEM_NEWS_NONE;

  pthread_mutex_lock (&mem->lock);
  member = find (mem, message->sender);
  if (member == NULL)
    {
      member = add (mem, message->sender);
      news |= MEM_NEWS_JOINED;
    }
  else if (message->incarnation < member->incarnation)
    {
      pthread_mutex_unlock (&mem->lock);
      return MEM_NEWS_STALE;
    }
  else if (member->incarnation != message->incarnation)
    {
      news |= MEM_NEWS_REPLACED;
      note_flap (member, now);
    }
  else if (member->gone)
    {
      news |= MEM_NEWS_JOINED;
      note_flap (member, now);
    }
  if (member->state != (enum mem_state)beat->state)
    news |= MEM_NEWS_STATE;
  member->gone = 0;
  member->address = *from;
  member->domain = beat->domain;
  member->suspect_ms = suspect_after (mem, member);
  member->incarnation = message->incarnation;
  member->revision = beat->revision;
  member->state = (enum mem_state)beat->state;
  member->heard_ms = now;
  member->direct_ms = now;
  pthread_mutex_unlock (&mem->lock);
  return news;
}

/* Takes third-hand news of a member.  It introduces an unknown member and
   keeps a known one from being suspected; it never removes one.  */
unsigned
mem_digest (struct mem *mem, const struct wire_digest *digest, clk_ms now)
{
  struct mem_member *member;
  clk_ms heard = now - digest->age_ms;
  unsigned news = MEM_NEWS_NONE;

  if (digest->instance == mem->self || digest->age_ms >= MEM_SUSPECT_MAX_MS)
    return MEM_NEWS_NONE;
  pthread_mutex_lock (&mem->lock);
  member = find (mem, digest->instance);
  if (member == NULL)
    {
      member = add (mem, digest->instance);
      member->domain = digest->domain;
      member->incarnation = digest->incarnation;
      member->state = MEM_READY;
      member->address.sin_family = AF_INET;
      member->address.sin_addr.s_addr = digest->ip;
      member->address.sin_port = digest->port;
      news = MEM_NEWS_JOINED;
    }
  member->suspect_ms = suspect_after (mem, member);
  if (digest->incarnation == member->incarnation && heard > member->heard_ms
      && !member->gone)
    member->heard_ms = heard;
  pthread_mutex_unlock (&mem->lock);
  return news;
}

/* Returns whether a datagram of INCARNATION and SEQUENCE from member ID is
   new, and remembers it.  Datagrams may overtake each other by
   REPLAY_WINDOW; what is older is taken for a replay.  */
int
mem_fresh (struct mem *mem, uint32_t id, uint64_t incarnation,
           uint64_t sequence)
{
  struct mem_member *member;
  int fresh = 1;

  pthread_mutex_lock (&mem->lock);
  member = find (mem, id);
  if (member != NULL && incarnation < member->incarnation)
    fresh = 0;
  else if (member != NULL && incarnation == member->incarnation)
    {
      fresh = window_take (member, sequence);
    }
  else if (member != NULL)
    {
      member->sequence = sequence;
      member->window = 1;
    }
  pthread_mutex_unlock (&mem->lock);
  return fresh;
}

/* Marks members silent for MEM_GONE_MS as gone and copies the identifiers of
   up to CAPACITY of them to GONE, each once.  Returns how many.  */
size_t
mem_expire (struct mem *mem, clk_ms now, uint32_t *gone, size_t capacity)
{
  size_t count = 0;

  pthread_mutex_lock (&mem->lock);
  for (guint i = 0; i < mem->members->len && count < capacity; i++)
    {
      struct mem_member *member
          = &g_array_index (mem->members, struct mem_member, i);

      if (member->gone
          || now - member->heard_ms
                 < member->suspect_ms + MEM_GONE_MS - MEM_SUSPECT_MS)
        continue;
      member->gone = 1;
      gone[count++] = member->id;
    }
  pthread_mutex_unlock (&mem->lock);
  return count;
}

/* Sets this instance's own STATE.  */
void
mem_set_self (struct mem *mem, enum mem_state state)
{
  pthread_mutex_lock (&mem->lock);
  mem->self_state = state;
  pthread_mutex_unlock (&mem->lock);
}

/* Finds the owner of KEY: the instance of failure domain DOMAIN (0: of any)
   that rendezvous hashing ranks at RANK, or of any domain if DOMAIN has no
   usable one.  Returns 1 and fills OWNER, 0 if the owner is this instance, -1
   if there is none at RANK.  */
int
mem_owner (struct mem *mem, uint64_t key, uint32_t domain, size_t rank,
           clk_ms now, struct mem_member *owner)
{
  struct rank_node nodes[MEMBERS_MAX + 1];
  size_t top[RANK_TOP_MAX];
  size_t count;
  const struct mem_member *member;
  int result = -1;

  pthread_mutex_lock (&mem->lock);
  count = collect (mem, domain, domain == 0, now, nodes);
  if (count == 0)
    count = collect (mem, domain, 1, now, nodes);
  if (rank_top (key, nodes, count, top, rank + 1) > rank)
    {
      uint32_t id = (uint32_t)nodes[top[rank]].id;

      if (id == mem->self)
        result = 0;
      else
        {
          member = find (mem, id);
          *owner = *member;
          result = 1;
        }
    }
  pthread_mutex_unlock (&mem->lock);
  return result;
}

/* Copies to NODES, which has room for CAPACITY, the usable instances of
   failure domain DOMAIN, or of all if it has none; returns how many.  */
size_t
mem_nodes (struct mem *mem, uint32_t domain, clk_ms now,
           struct rank_node *nodes, size_t capacity)
{
  struct rank_node all[MEMBERS_MAX + 1];
  size_t count;

  pthread_mutex_lock (&mem->lock);
  count = collect (mem, domain, 0, now, all);
  if (count == 0)
    count = collect (mem, domain, 1, now, all);
  pthread_mutex_unlock (&mem->lock);
  count = MIN (count, capacity);
  memcpy (nodes, all, count * sizeof *nodes);
  return count;
}

/* Copies the member with identifier ID.  Returns 1, 0 if it is this instance,
   -1 if it is unknown.  */
int
mem_find (struct mem *mem, uint32_t id, struct mem_member *member)
{
  const struct mem_member *found;
  int result = -1;

  if (id == mem->self)
    return 0;
  pthread_mutex_lock (&mem->lock);
  found = find (mem, id);
  if (found != NULL)
    {
      *member = *found;
      result = 1;
    }
  pthread_mutex_unlock (&mem->lock);
  return result;
}

/* Copies up to CAPACITY members, without this instance; returns how many.  */
size_t
mem_list (struct mem *mem, struct mem_member *members, size_t capacity)
{
  size_t count = 0;

  pthread_mutex_lock (&mem->lock);
  for (guint i = 0; i < mem->members->len && count < capacity; i++)
    members[count++] = g_array_index (mem->members, struct mem_member, i);
  pthread_mutex_unlock (&mem->lock);
  return count;
}

/* Returns whether MEMBER may own something at NOW.  */
int
mem_usable (const struct mem_member *member, clk_ms now)
{
  return !member->gone && member->state == MEM_READY
         && now - member->heard_ms < member->suspect_ms
         && now >= member->trusted_at_ms;
}

/* Collects the usable instances of DOMAIN, or of all, into NODES.  */
static size_t
collect (struct mem *mem, uint32_t domain, int any_domain, clk_ms now,
         struct rank_node *nodes)
{
  size_t count = 0;

  if (mem->self_state == MEM_READY && (any_domain || mem->domain == domain))
    nodes[count++] = (struct rank_node){ mem->self, 1 };
  for (guint i = 0; i < mem->members->len; i++)
    {
      const struct mem_member *member
          = &g_array_index (mem->members, struct mem_member, i);

      if (mem_usable (member, now) && (any_domain || member->domain == domain))
        nodes[count++] = (struct rank_node){ member->id, 1 };
    }
  return count;
}

/* Returns after what silence MEMBER is suspected.  Members of other failure
   domains are heard in turn once the fleet is large, so their time grows with
   their number.  */
static int64_t
suspect_after (const struct mem *mem, const struct mem_member *member)
{
  int64_t foreign = 0;

  if (member->domain == mem->domain || mem->members->len <= MEM_SMALL_FLEET)
    return MEM_SUSPECT_MS;
  for (guint i = 0; i < mem->members->len; i++)
    foreign += g_array_index (mem->members, struct mem_member, i).domain
               != mem->domain;
  return MIN (MEM_SUSPECT_MS + foreign * MEM_FOREIGN_SUSPECT_MS,
              (int64_t)MEM_SUSPECT_MAX_MS);
}

/* Raises the time that MEMBER has to be heard before it is trusted.  */
static void
note_flap (struct mem_member *member, clk_ms now)
{
  int64_t trust_ms;

  if (now - member->flapped_ms > FLAP_MEMORY_MS)
    member->flaps = 0;
  member->flapped_ms = now;
  member->flaps++;
  if (member->flaps == 1)
    return;
  trust_ms = (int64_t)TRUST_MIN_MS
             << MIN (member->flaps - 2, TRUST_DOUBLINGS_MAX);
  member->trusted_at_ms = now + MIN (trust_ms, (int64_t)TRUST_MAX_MS);
}

/* Takes SEQUENCE into the sliding window of MEMBER (RFC 4303, 3.4.3).
   Returns whether it had not been taken before.  */
static int
window_take (struct mem_member *member, uint64_t sequence)
{
  uint64_t shift;
  uint64_t bit;

  if (sequence > member->sequence)
    {
      shift = sequence - member->sequence;
      member->window = shift < REPLAY_WINDOW ? member->window << shift : 0;
      member->window |= 1;
      member->sequence = sequence;
      return 1;
    }
  shift = member->sequence - sequence;
  if (shift >= REPLAY_WINDOW)
    return 0;
  bit = (uint64_t)1 << shift;
  if (member->window & bit)
    return 0;
  member->window |= bit;
  return 1;
}

/* Returns the member with identifier ID, or NULL.  */
static struct mem_member *
find (struct mem *mem, uint32_t id)
{
  for (guint i = 0; i < mem->members->len; i++)
    if (g_array_index (mem->members, struct mem_member, i).id == id)
      return &g_array_index (mem->members, struct mem_member, i);
  return NULL;
}

/* Adds a member; when the view is full the one silent for longest makes
   room.  */
static struct mem_member *
add (struct mem *mem, uint32_t id)
{
  struct mem_member member = { .id = id };
  guint oldest = 0;

  if (mem->members->len < MEMBERS_MAX)
    {
      g_array_append_val (mem->members, member);
      return &g_array_index (mem->members, struct mem_member,
                             mem->members->len - 1);
    }
  for (guint i = 1; i < mem->members->len; i++)
    if (g_array_index (mem->members, struct mem_member, i).heard_ms
        < g_array_index (mem->members, struct mem_member, oldest).heard_ms)
      oldest = i;
  g_array_index (mem->members, struct mem_member, oldest) = member;
  return &g_array_index (mem->members, struct mem_member, oldest);
}
