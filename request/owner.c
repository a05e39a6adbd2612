/* Admission to the targets that this instance owns. */
#include <math.h>
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "libowner.h"

enum
{
  HOLD_GRACE_MS = 400
};

/* Guards whole numbers against errors of floating point. */
static const double ROUNDING = 1e-9;

static void enqueue (struct owned *owned, const struct own_ask *ask,
                     const struct own_limits *limits, clk_ms now,
                     enum own_verdict denied);
static void drop_waiter (struct owned *owned, uint32_t instance,
                         uint32_t grant);
static struct owned *owned_get (struct shard *shard, uint64_t target);
static void owned_free (gpointer data);

/* Returns the state of an instance that owns no target yet.  */
struct own *
own_new (void)
{
  struct own *own = g_new0 (struct own, 1);

  for (int i = 0; i < OWN_SHARD_COUNT; i++)
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
  for (int i = 0; i < OWN_SHARD_COUNT; i++)
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
  struct shard *shard = own_shard_of (own, ask->target);
  const struct own_note *note;
  struct owned *owned;

  memset (reply, 0, sizeof *reply);
  pthread_mutex_lock (&shard->lock);
  owned = owned_get (shard, ask->target);
  note = own_note_find (shard, ask, now);
  if (note != NULL && !(ask->flags & OWN_ASK_HERE))
    {
      reply->verdict = OWN_ELSEWHERE;
      reply->elsewhere = note->target;
    }
  else
    {
      reply->verdict = own_judge (owned, ask, limits, now, reply);
      if (reply->verdict == OWN_GRANT && note != NULL)
        g_hash_table_remove (shard->notes, &ask->chat);
      else if (own_may_wait (owned, ask, reply->verdict))
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
  struct shard *shard = own_shard_of (own, target);
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
      reply->verdict
          = own_judge (owned, &waiter->ask, &own_limits, now, reply);
      found = reply->verdict == OWN_GRANT || now >= waiter->until_ms
              || limits->leaving;
      if (!found)
        continue;
      *ask = waiter->ask;
      g_array_remove_index (owned->waiters, i);
      if (reply->verdict == OWN_GRANT)
        own_drop_note (shard, ask);
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
  struct shard *shard = own_shard_of (own, target);
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
  own_record_outcome (&owned->breaker, outcome, now);
  pthread_mutex_unlock (&shard->lock);
}

/* Makes INSTANCE's grants for TARGET equal to the COUNT it says it holds.
   Grants younger than the time a message may be under way are kept.  Returns
   how many entries had to be repaired.  */
int
own_hold (struct own *own, uint64_t target, uint32_t instance,
          const uint32_t *grants, size_t count, clk_ms now)
{
  struct shard *shard = own_shard_of (own, target);
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
      if (own_contains (grants, count, held->id)
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

      if (own_contains ((const uint32_t *)(void *)known->data, known->len,
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

  for (int i = 0; i < OWN_SHARD_COUNT; i++)
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
  struct shard *shard = own_shard_of (own, target);

  pthread_mutex_lock (&shard->lock);
  g_hash_table_remove (shard->targets, &target);
  pthread_mutex_unlock (&shard->lock);
}

/* Returns the number of requests granted to TARGET.  */
int32_t
own_load (struct own *own, uint64_t target)
{
  struct shard *shard = own_shard_of (own, target);
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
  struct shard *shard = own_shard_of (own, target);
  const struct owned *owned;
  int down = 0;

  pthread_mutex_lock (&shard->lock);
  owned = g_hash_table_lookup (shard->targets, &target);
  if (owned != NULL)
    down = owned->breaker.failures >= OWN_FAILURES_TO_OPEN;
  pthread_mutex_unlock (&shard->lock);
  return down;
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

/* Returns the shard that holds TARGET.  */
struct shard *
own_shard_of (struct own *own, uint64_t target)
{
  return &own->shards[target % OWN_SHARD_COUNT];
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
