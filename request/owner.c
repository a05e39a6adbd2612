/* Admission to the targets that this instance owns. */
#include <math.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ibisloom/metrics.h"
#include "ibisloom/owner.h"

enum
{
  SHARD_COUNT = 16,
  CUSTOMER_IDLE_MS = 2000,
  HOLD_GRACE_MS = 400,
  FAILURES_TO_OPEN = 2,
  OPEN_MIN_MS = 250,
  OPEN_MAX_MS = 8000,
  WAITERS_MAX = 64,
  WAITERS_MAX_PER_CUSTOMER = 16,
  NOTES_MAX_PER_SHARD = 16384
};

/* Guards whole numbers against errors of floating point. */
static const double ROUNDING = 1e-9;

/* Part of the slots open to all at which slots count as short. */
static const double CONTENDED_SHARE = 0.7;

struct grant
{
  uint64_t customer;
  clk_ms since_ms;
  uint32_t instance;
  uint32_t id;
};

struct asker
{
  uint64_t customer;
  double weight;
  clk_ms last_ms;
};

/* Circuit breaker of one target. */
struct breaker
{
  int32_t failures;
  int64_t open_ms;
  clk_ms retry_at_ms;
};

/* An ask that waits for room. */
struct waiter
{
  struct own_ask ask;
  double weight;
  clk_ms until_ms;
  enum own_verdict denied;
};

struct owned
{
  GArray *grants;  /* of struct grant */
  GArray *waiters; /* of struct waiter: by priority, then as they came */
  GArray *askers;  /* of struct asker */
  struct breaker breaker;
};

struct shard
{
  pthread_mutex_t lock;
  GHashTable *targets; /* id to struct owned */
  GHashTable *notes;   /* chat to struct own_note */
};

struct own
{
  struct shard shards[SHARD_COUNT];
};

static void owned_free (gpointer data);
static struct shard *shard_of (struct own *own, uint64_t target);
static struct owned *owned_get (struct shard *shard, uint64_t target);
static enum own_verdict judge (struct owned *owned, const struct own_ask *ask,
                               const struct own_limits *limits, clk_ms now,
                               struct own_reply *reply);
static int32_t open_to_all (const struct own_limits *limits);
static int may_pass_bound (const struct own_limits *limits, int32_t load,
                           int32_t open_slots, int in_share);
static int may_wait (const struct owned *owned, const struct own_ask *ask,
                     enum own_verdict verdict);
static void enqueue (struct owned *owned, const struct own_ask *ask,
                     const struct own_limits *limits, clk_ms now,
                     enum own_verdict denied);
static void drop_waiter (struct owned *owned, uint32_t instance,
                         uint32_t grant);
static void drop_note (struct shard *shard, const struct own_ask *ask);
static int is_known (const struct owned *owned, const struct own_ask *ask);
static double fair_share (struct owned *owned, const struct own_ask *ask,
                          const struct own_limits *limits, clk_ms now);
static int32_t held_by (const struct owned *owned, uint64_t customer);
static int is_open (struct breaker *breaker, clk_ms now);
static void record_outcome (struct breaker *breaker, enum own_outcome outcome,
                            clk_ms now);
static const struct own_note *
note_find (struct shard *shard, const struct own_ask *ask, clk_ms now);
static int contains (const uint32_t *ids, size_t count, uint32_t id);

/* Returns the state of an instance that owns no target yet.  */
struct own *
own_new (void)
{
  struct own *own = g_new0 (struct own, 1);

  for (int i = 0; i < SHARD_COUNT; i++)
    {
      struct shard *shard = &own->shards[i];

      pthread_mutex_init (&shard->lock, NULL);
      shard->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, owned_free);
      shard->notes
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
    }
  return own;
}

/* Frees OWN.  */
void
own_free (struct own *own)
{
  for (int i = 0; i < SHARD_COUNT; i++)
    {
      g_hash_table_destroy (own->shards[i].targets);
      g_hash_table_destroy (own->shards[i].notes);
      pthread_mutex_destroy (&own->shards[i].lock);
    }
  g_free (own);
}

/* Decides at time NOW whether ASK may send a request to its target, and
   records the grant if so.  An ask that was granted before (a lost answer)
   is granted again.  If the chat was last served elsewhere and the asker did
   not insist, the reply names that target instead.  */
void
own_decide (struct own *own, const struct own_ask *ask,
            const struct own_limits *limits, clk_ms now,
            struct own_reply *reply)
{
  struct shard *shard = shard_of (own, ask->target);
  const struct own_note *note;
  struct owned *owned;

  memset (reply, 0, sizeof *reply);
  pthread_mutex_lock (&shard->lock);
  owned = owned_get (shard, ask->target);
  note = note_find (shard, ask, now);
  if (note != NULL && !(ask->flags & OWN_ASK_HERE))
    {
      reply->verdict = OWN_ELSEWHERE;
      reply->elsewhere = note->target;
    }
  else
    {
      reply->verdict = judge (owned, ask, limits, now, reply);
      if (reply->verdict == OWN_GRANT && note != NULL)
        g_hash_table_remove (shard->notes, &ask->chat);
      else if (may_wait (owned, ask, reply->verdict))
        {
          enqueue (owned, ask, limits, now, reply->verdict);
          reply->verdict = OWN_WAIT;
        }
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Takes out of TARGET's queue at NOW one ask that has its verdict: a grant, in
   the order of priority and arrival but not beyond a customer's share, or the
   denial it got first when its time is up.  Returns 1 and fills ASK and REPLY,
   or 0 if the queue has none.  */
int
own_next (struct own *own, uint64_t target, const struct own_limits *limits,
          clk_ms now, struct own_ask *ask, struct own_reply *reply)
{
  struct shard *shard = shard_of (own, target);
  struct owned *owned;
  int found = 0;

  pthread_mutex_lock (&shard->lock);
  owned = g_hash_table_lookup (shard->targets, &target);
  for (guint i = 0; owned != NULL && i < owned->waiters->len && !found; i++)
    {
      struct waiter *waiter
          = &g_array_index (owned->waiters, struct waiter, i);
      struct own_limits own_limits = *limits;

      own_limits.customer_weight = waiter->weight;
      memset (reply, 0, sizeof *reply);
      reply->verdict = judge (owned, &waiter->ask, &own_limits, now, reply);
      found = reply->verdict == OWN_GRANT || now >= waiter->until_ms
              || limits->leaving;
      if (!found)
        continue;
      *ask = waiter->ask;
      g_array_remove_index (owned->waiters, i);
      if (reply->verdict == OWN_GRANT)
        drop_note (shard, ask);
    }
  pthread_mutex_unlock (&shard->lock);
  return found;
}

/* Returns the load up to which a target may be filled: LOAD_FACTOR times the
   mean, rounded down to leave room for the mean to fall, never below one.  */
int32_t
own_bound (double mean_load, double load_factor)
{
  int32_t bound = (int32_t)floor (mean_load * load_factor + ROUNDING);

  return bound < 1 ? 1 : bound;
}

/* Ends a grant; OUTCOME feeds the target's circuit breaker.  */
void
own_release (struct own *own, uint64_t target, uint32_t instance,
             uint32_t grant, enum own_outcome outcome, clk_ms now)
{
  struct shard *shard = shard_of (own, target);
  struct owned *owned;

  pthread_mutex_lock (&shard->lock);
  owned = owned_get (shard, target);
  for (guint i = 0; i < owned->grants->len; i++)
    {
      const struct grant *held
          = &g_array_index (owned->grants, struct grant, i);

      if (held->instance != instance || held->id != grant)
        continue;
      g_array_remove_index_fast (owned->grants, i);
      break;
    }
  drop_waiter (owned, instance, grant);
  record_outcome (&owned->breaker, outcome, now);
  pthread_mutex_unlock (&shard->lock);
}

/* Makes INSTANCE's grants for TARGET equal to the COUNT it says it holds.
   Grants younger than the time a message may be under way are kept.  Returns
   how many entries had to be repaired.  */
int
own_hold (struct own *own, uint64_t target, uint32_t instance,
          const uint32_t *grants, size_t count, clk_ms now)
{
  struct shard *shard = shard_of (own, target);
  struct owned *owned;
  GArray *known = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  int repaired = 0;

  pthread_mutex_lock (&shard->lock);
  owned = owned_get (shard, target);
  for (guint i = owned->grants->len; i > 0; i--)
    {
      const struct grant *held
          = &g_array_index (owned->grants, struct grant, i - 1);

      if (held->instance != instance)
        continue;
      if (contains (grants, count, held->id)
          || now - held->since_ms < HOLD_GRACE_MS)
        {
          g_array_append_val (known, held->id);
          continue;
        }
      g_array_remove_index_fast (owned->grants, i - 1);
      repaired++;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct grant grant
          = { .since_ms = now, .instance = instance, .id = grants[i] };

      if (contains ((const uint32_t *)(void *)known->data, known->len,
                    grants[i]))
        continue;
      g_array_append_val (owned->grants, grant);
      repaired++;
    }
  pthread_mutex_unlock (&shard->lock);
  g_array_free (known, TRUE);
  return repaired;
}

/* Drops all grants of INSTANCE, whose requests died with it.  */
void
own_forget_instance (struct own *own, uint32_t instance)
{
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < SHARD_COUNT; i++)
    {
      struct shard *shard = &own->shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->targets);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          GArray *grants = ((struct owned *)value)->grants;

          for (guint j = grants->len; j > 0; j--)
            if (g_array_index (grants, struct grant, j - 1).instance
                == instance)
              g_array_remove_index_fast (grants, j - 1);
        }
      pthread_mutex_unlock (&shard->lock);
    }
}

/* Forgets TARGET, which another instance owns now.  */
void
own_forget_target (struct own *own, uint64_t target)
{
  struct shard *shard = shard_of (own, target);

  pthread_mutex_lock (&shard->lock);
  g_hash_table_remove (shard->targets, &target);
  pthread_mutex_unlock (&shard->lock);
}

/* Notes that a chat was served away from its home; a note whose target is 0
   or the home removes one.  When the shard is full the note is dropped,
   which costs one cache miss.  */
void
own_note_put (struct own *own, const struct own_note *note)
{
  struct shard *shard = shard_of (own, note->home);
  struct own_note *copy;

  pthread_mutex_lock (&shard->lock);
  if (note->target == 0 || note->target == note->home)
    g_hash_table_remove (shard->notes, &note->chat);
  else if (g_hash_table_size (shard->notes) < NOTES_MAX_PER_SHARD
           || g_hash_table_contains (shard->notes, &note->chat))
    {
      copy = g_new (struct own_note, 1);
      *copy = *note;
      g_hash_table_replace (shard->notes, &copy->chat, copy);
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Moves up to CAPACITY notes of chats whose home is HOME to NOTES; returns how
   many.  */
size_t
own_take_notes (struct own *own, uint64_t home, struct own_note *notes,
                size_t capacity)
{
  struct shard *shard = shard_of (own, home);
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&shard->lock);
  g_hash_table_iter_init (&iter, shard->notes);
  while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct own_note *note = value;

      if (note->home != home)
        continue;
      notes[count++] = *note;
      g_hash_table_iter_remove (&iter);
    }
  pthread_mutex_unlock (&shard->lock);
  return count;
}

/* Copies up to CAPACITY notes for handing them over; returns how many.  */
size_t
own_notes (struct own *own, struct own_note *notes, size_t capacity)
{
  size_t count = 0;
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < SHARD_COUNT; i++)
    {
      struct shard *shard = &own->shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->notes);
      while (count < capacity && g_hash_table_iter_next (&iter, NULL, &value))
        notes[count++] = *(const struct own_note *)value;
      pthread_mutex_unlock (&shard->lock);
    }
  return count;
}

/* Returns the number of requests granted to TARGET.  */
int32_t
own_load (struct own *own, uint64_t target)
{
  struct shard *shard = shard_of (own, target);
  const struct owned *owned;
  int32_t load = 0;

  pthread_mutex_lock (&shard->lock);
  owned = g_hash_table_lookup (shard->targets, &target);
  if (owned != NULL)
    load = (int32_t)owned->grants->len;
  pthread_mutex_unlock (&shard->lock);
  return load;
}

/* Returns whether the circuit breaker of TARGET is open.  */
int
own_is_down (struct own *own, uint64_t target)
{
  struct shard *shard = shard_of (own, target);
  const struct owned *owned;
  int down = 0;

  pthread_mutex_lock (&shard->lock);
  owned = g_hash_table_lookup (shard->targets, &target);
  if (owned != NULL)
    down = owned->breaker.failures >= FAILURES_TO_OPEN;
  pthread_mutex_unlock (&shard->lock);
  return down;
}

/* Judges ASK against the breaker, the bounds and the customer's share, in
   this order, and appends the grant if nothing speaks against it.  */
static enum own_verdict
judge (struct owned *owned, const struct own_ask *ask,
       const struct own_limits *limits, clk_ms now, struct own_reply *reply)
{
  int32_t load = (int32_t)owned->grants->len;
  int32_t bound = own_bound (limits->mean_load, limits->load_factor);
  int32_t open_slots = open_to_all (limits);
  struct grant grant = { .customer = ask->customer,
                         .since_ms = now,
                         .instance = ask->instance,
                         .id = ask->grant };
  double share = fair_share (owned, ask, limits, now);
  int in_share = held_by (owned, ask->customer) + 1 <= share;

  reply->load = load;
  reply->limit = bound < limits->slots ? bound : limits->slots;
  if (is_known (owned, ask))
    return OWN_GRANT;
  if (limits->leaving)
    return OWN_DENY_LEAVING;
  if (is_open (&owned->breaker, now))
    return OWN_DENY_DOWN;
  if (load >= limits->slots)
    return OWN_DENY_CAPACITY;
  if (load >= bound && !may_pass_bound (limits, load, open_slots, in_share))
    return OWN_DENY_BOUND;
  if (load >= open_slots && !in_share)
    return OWN_DENY_SHARE;
  g_array_append_val (owned->grants, grant);
  reply->load++;
  return OWN_GRANT;
}

/* Returns how many slots are open to customers beyond their share: all but
   the reserve, which is at least one slot if there is one at all.  */
static int32_t
open_to_all (const struct own_limits *limits)
{
  int32_t reserve = (int32_t)lround (limits->slots * limits->reserve_share);

  if (limits->reserve_share <= 0 || limits->slots <= 1)
    return limits->slots;
  return limits->slots - MAX (reserve, 1);
}

/* Returns whether a request of a customer that is IN_SHARE may fill a target
   up to the load factor times the mean of now: when slots are short, the room
   that the cautious mean leaves is for customers within their share.  */
static int
may_pass_bound (const struct own_limits *limits, int32_t load,
                int32_t open_slots, int in_share)
{
  return in_share && limits->mean_now >= open_slots * CONTENDED_SHARE
         && load < ceil (limits->mean_now * limits->load_factor - ROUNDING);
}

/* Returns whether ASK, denied by VERDICT, may wait in the queue: for room, not
   for a target that is down, and not beyond a customer's part of the queue. */
static int
may_wait (const struct owned *owned, const struct own_ask *ask,
          enum own_verdict verdict)
{
  int of_customer = 0;

  if (ask->wait_ms == 0
      || (verdict != OWN_DENY_BOUND && verdict != OWN_DENY_CAPACITY
          && verdict != OWN_DENY_SHARE))
    return 0;
  for (guint i = 0; i < owned->waiters->len; i++)
    of_customer
        += g_array_index (owned->waiters, struct waiter, i).ask.customer
           == ask->customer;
  return owned->waiters->len < WAITERS_MAX
         && of_customer < WAITERS_MAX_PER_CUSTOMER;
}

/* Queues ASK, which was DENIED; one that came before keeps its place.  */
static void
enqueue (struct owned *owned, const struct own_ask *ask,
         const struct own_limits *limits, clk_ms now, enum own_verdict denied)
{
  struct waiter waiter = { .ask = *ask,
                           .weight = limits->customer_weight,
                           .until_ms = now + ask->wait_ms,
                           .denied = denied };
  guint at = 0;

  for (guint i = 0; i < owned->waiters->len; i++)
    {
      const struct own_ask *other
          = &g_array_index (owned->waiters, struct waiter, i).ask;

      if (other->instance == ask->instance && other->grant == ask->grant)
        return;
      if (other->priority >= ask->priority)
        at = i + 1;
    }
  g_array_insert_val (owned->waiters, at, waiter);
}

/* Takes INSTANCE's ask GRANT out of the queue, if it is there.  */
static void
drop_waiter (struct owned *owned, uint32_t instance, uint32_t grant)
{
  for (guint i = 0; i < owned->waiters->len; i++)
    {
      const struct own_ask *ask
          = &g_array_index (owned->waiters, struct waiter, i).ask;

      if (ask->instance != instance || ask->grant != grant)
        continue;
      g_array_remove_index (owned->waiters, i);
      return;
    }
}

/* Drops the note of ASK's chat, which is back at its home.  */
static void
drop_note (struct shard *shard, const struct own_ask *ask)
{
  const struct own_note *note = g_hash_table_lookup (shard->notes, &ask->chat);

  if (note != NULL && note->home == ask->target)
    g_hash_table_remove (shard->notes, &ask->chat);
}

/* Returns whether ASK was granted already.  */
static int
is_known (const struct owned *owned, const struct own_ask *ask)
{
  for (guint i = 0; i < owned->grants->len; i++)
    {
      const struct grant *held
          = &g_array_index (owned->grants, struct grant, i);

      if (held->instance == ask->instance && held->id == ask->grant)
        return 1;
    }
  return 0;
}

/* Returns how many of the target's slots ASK's customer may hold when all
   are wanted: its weight's part among the customers that asked lately, at
   least one.  */
static double
fair_share (struct owned *owned, const struct own_ask *ask,
            const struct own_limits *limits, clk_ms now)
{
  struct asker self = { ask->customer, limits->customer_weight, now };
  double total = self.weight;
  double share;

  for (guint i = owned->askers->len; i > 0; i--)
    {
      const struct asker *asker
          = &g_array_index (owned->askers, struct asker, i - 1);

      if (asker->customer == ask->customer
          || now - asker->last_ms > CUSTOMER_IDLE_MS)
        g_array_remove_index_fast (owned->askers, i - 1);
      else
        total += asker->weight;
    }
  g_array_append_val (owned->askers, self);
  share = total > 0 ? limits->slots * self.weight / total : 0;
  return share < 1 ? 1 : share;
}

/* Returns how many grants CUSTOMER holds.  */
static int32_t
held_by (const struct owned *owned, uint64_t customer)
{
  int32_t count = 0;

  for (guint i = 0; i < owned->grants->len; i++)
    if (g_array_index (owned->grants, struct grant, i).customer == customer)
      count++;
  return count;
}

/* Returns whether BREAKER keeps requests away at NOW.  One request is let
   through each time the waiting time is over.  */
static int
is_open (struct breaker *breaker, clk_ms now)
{
  if (breaker->failures < FAILURES_TO_OPEN)
    return 0;
  if (now < breaker->retry_at_ms)
    return 1;
  breaker->retry_at_ms = now + breaker->open_ms;
  return 0;
}

/* Feeds OUTCOME to BREAKER: the waiting time doubles with each failure past
   the threshold, and a success closes it.  */
static void
record_outcome (struct breaker *breaker, enum own_outcome outcome, clk_ms now)
{
  if (outcome == OWN_OUTCOME_UNKNOWN)
    return;
  if (outcome == OWN_OUTCOME_OK)
    {
      memset (breaker, 0, sizeof *breaker);
      return;
    }
  breaker->failures++;
  if (breaker->failures < FAILURES_TO_OPEN)
    return;
  breaker->open_ms = CLAMP (breaker->open_ms * 2, OPEN_MIN_MS, OPEN_MAX_MS);
  breaker->retry_at_ms = now + breaker->open_ms;
}

/* Returns the note for ASK's chat if its home is the asked target and it has
   not expired.  */
static const struct own_note *
note_find (struct shard *shard, const struct own_ask *ask, clk_ms now)
{
  const struct own_note *note = g_hash_table_lookup (shard->notes, &ask->chat);

  if (note == NULL || note->home != ask->target)
    return NULL;
  if (now < note->expires_ms)
    return note;
  g_hash_table_remove (shard->notes, &ask->chat);
  return NULL;
}

/* Returns whether ID is among COUNT IDS.  */
static int
contains (const uint32_t *ids, size_t count, uint32_t id)
{
  for (size_t i = 0; i < count; i++)
    if (ids[i] == id)
      return 1;
  return 0;
}

/* Returns the shard that holds TARGET.  */
static struct shard *
shard_of (struct own *own, uint64_t target)
{
  return &own->shards[target % SHARD_COUNT];
}

/* Returns the entry of TARGET, made at first use.  */
static struct owned *
owned_get (struct shard *shard, uint64_t target)
{
  struct owned *owned = g_hash_table_lookup (shard->targets, &target);
  uint64_t *key;

  if (owned != NULL)
    return owned;
  owned = g_new0 (struct owned, 1);
  owned->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
  owned->waiters = g_array_new (FALSE, FALSE, sizeof (struct waiter));
  owned->askers = g_array_new (FALSE, FALSE, sizeof (struct asker));
  key = g_new (uint64_t, 1);
  *key = target;
  g_hash_table_insert (shard->targets, key, owned);
  return owned;
}

/* Frees a struct owned.  */
static void
owned_free (gpointer data)
{
  struct owned *owned = data;

  g_array_free (owned->grants, TRUE);
  g_array_free (owned->waiters, TRUE);
  g_array_free (owned->askers, TRUE);
  g_free (owned);
}
