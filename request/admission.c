/* Admission control for the targets that this instance owns. */
#include <math.h>
#include <pthread.h>
#include <string.h>

#include <glib.h>

#include "libadmission.h"

enum
{
  RECONCILE_GRACE_MS = 400
};

/* Added before rounding down, so that a floating-point error does not turn a
   whole number into the one below. */
static const double ROUNDING_TOLERANCE = 1e-9;

static void enqueue (struct target_state *target_state,
                     const struct adm_request *request,
                     const struct adm_limits *limits, clk_ms now,
                     enum adm_verdict denial);
static void drop_waiter (struct target_state *target_state, uint32_t instance,
                         uint32_t grant);
static struct target_state *target_state_get (struct shard *shard,
                                              uint64_t target);
static void target_state_free (gpointer data);

/* Returns the admission state of an instance that owns no target yet.  */
struct adm_state *
adm_new (void)
{
  struct adm_state *adm_state = g_new0 (struct adm_state, 1);

  for (int i = 0; i < ADM_SHARD_COUNT; i++)
    {
      struct shard *shard = &adm_state->shards[i];

      pthread_mutex_init (&shard->lock, NULL);
      shard->targets = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, target_state_free);
      shard->notes
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
    }
  return adm_state;
}

/* Frees ADM_STATE.  */
void
adm_free (struct adm_state *adm_state)
{
  for (int i = 0; i < ADM_SHARD_COUNT; i++)
    {
      g_hash_table_destroy (adm_state->shards[i].targets);
      g_hash_table_destroy (adm_state->shards[i].notes);
      pthread_mutex_destroy (&adm_state->shards[i].lock);
    }
  g_free (adm_state);
}

/* Decides at NOW whether REQUEST may be sent to its target, and records the
   grant if so.  A request that was granted before, repeated because the answer
   was lost, is granted again.  If a note says that the chat was served at
   another target and REQUEST lacks ADM_NO_REDIRECT, the reply redirects it
   there.  A request that is denied for lack of room is queued if it may
   wait.  */
void
adm_decide (struct adm_state *adm_state, const struct adm_request *request,
            const struct adm_limits *limits, clk_ms now,
            struct adm_reply *reply)
{
  struct shard *shard = adm_shard_of (adm_state, request->target);
  const struct adm_note *note;
  struct target_state *target_state;

  memset (reply, 0, sizeof *reply);
  pthread_mutex_lock (&shard->lock);
  target_state = target_state_get (shard, request->target);
  note = adm_note_find (shard, request, now);
  if (note != NULL && !(request->flags & ADM_NO_REDIRECT))
    {
      reply->verdict = ADM_REDIRECT;
      reply->redirect = note->target;
    }
  else
    {
      reply->verdict = adm_check (target_state, request, limits, now, reply);
      if (reply->verdict == ADM_GRANT && note != NULL)
        g_hash_table_remove (shard->notes, &request->chat);
      else if (adm_may_queue (target_state, request, reply->verdict))
        {
          enqueue (target_state, request, limits, now, reply->verdict);
          reply->verdict = ADM_QUEUED;
        }
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Removes from TARGET's queue at NOW the first request whose verdict is final:
   a grant, by priority and arrival but within the limits on a customer's
   share, or a denial when its waiting time has passed or the target is
   leaving.  Returns 1 and fills REQUEST and REPLY, or 0 if there is none.  */
int
adm_dequeue (struct adm_state *adm_state, uint64_t target,
             const struct adm_limits *limits, clk_ms now,
             struct adm_request *request, struct adm_reply *reply)
{
  struct shard *shard = adm_shard_of (adm_state, target);
  struct target_state *target_state;
  int found = 0;

  pthread_mutex_lock (&shard->lock);
  target_state = g_hash_table_lookup (shard->targets, &target);
  for (guint i = 0;
       target_state != NULL && i < target_state->waiters->len && !found; i++)
    {
      struct waiter *waiter
          = &g_array_index (target_state->waiters, struct waiter, i);
      struct adm_limits adm_limits = *limits;

      adm_limits.customer_weight = waiter->weight;
      memset (reply, 0, sizeof *reply);
      reply->verdict = adm_check (target_state, &waiter->request, &adm_limits,
                                  now, reply);
      found = reply->verdict == ADM_GRANT || now >= waiter->deadline_ms
              || limits->leaving;
      if (!found)
        continue;
      *request = waiter->request;
      g_array_remove_index (target_state->waiters, i);
      if (reply->verdict == ADM_GRANT)
        adm_note_drop (shard, request);
    }
  pthread_mutex_unlock (&shard->lock);
  return found;
}

/* Returns the load up to which a target may be filled: LOAD_FACTOR times
   MEAN_LOAD, rounded down since the mean may fall, but at least one.  */
int32_t
adm_load_bound (double mean_load, double load_factor)
{
  int32_t bound
      = (int32_t)floor (mean_load * load_factor + ROUNDING_TOLERANCE);

  return bound < 1 ? 1 : bound;
}

/* Ends GRANT of INSTANCE for TARGET, and removes its request from the queue if
   it still waits.  OUTCOME updates the target's circuit breaker.  */
void
adm_release (struct adm_state *adm_state, uint64_t target, uint32_t instance,
             uint32_t grant, enum adm_outcome outcome, clk_ms now)
{
  struct shard *shard = adm_shard_of (adm_state, target);
  struct target_state *target_state;

  pthread_mutex_lock (&shard->lock);
  target_state = target_state_get (shard, target);
  for (guint i = 0; i < target_state->grants->len; i++)
    {
      const struct grant *held
          = &g_array_index (target_state->grants, struct grant, i);

      if (held->instance != instance || held->id != grant)
        continue;
      g_array_remove_index_fast (target_state->grants, i);
      break;
    }
  drop_waiter (target_state, instance, grant);
  adm_breaker_record (&target_state->breaker, outcome, now);
  pthread_mutex_unlock (&shard->lock);
}

/* Reconciles INSTANCE's grants for TARGET with the COUNT entries of GRANTS
   that INSTANCE reports: drops those not reported, adds those not known.
   Grants younger than RECONCILE_GRACE_MS are kept, since the report may have
   been sent before they arrived.  Returns how many entries were corrected.  */
int
adm_reconcile (struct adm_state *adm_state, uint64_t target, uint32_t instance,
               const uint32_t *grants, size_t count, clk_ms now)
{
  struct shard *shard = adm_shard_of (adm_state, target);
  struct target_state *target_state;
  GArray *kept = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  int repaired = 0;

  pthread_mutex_lock (&shard->lock);
  target_state = target_state_get (shard, target);
  for (guint i = target_state->grants->len; i > 0; i--)
    {
      const struct grant *held
          = &g_array_index (target_state->grants, struct grant, i - 1);

      if (held->instance != instance)
        continue;
      if (adm_contains (grants, count, held->id)
          || now - held->since_ms < RECONCILE_GRACE_MS)
        {
          g_array_append_val (kept, held->id);
          continue;
        }
      g_array_remove_index_fast (target_state->grants, i - 1);
      repaired++;
    }
  for (size_t i = 0; i < count; i++)
    {
      struct grant grant
          = { .since_ms = now, .instance = instance, .id = grants[i] };

      if (adm_contains ((const uint32_t *)(void *)kept->data, kept->len,
                        grants[i]))
        continue;
      g_array_append_val (target_state->grants, grant);
      repaired++;
    }
  pthread_mutex_unlock (&shard->lock);
  g_array_free (kept, TRUE);
  return repaired;
}

/* Drops all grants of INSTANCE, whose process and requests have ended.  */
void
adm_drop_instance (struct adm_state *adm_state, uint32_t instance)
{
  GHashTableIter iter;
  gpointer value;

  for (int i = 0; i < ADM_SHARD_COUNT; i++)
    {
      struct shard *shard = &adm_state->shards[i];

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->targets);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          GArray *grants = ((struct target_state *)value)->grants;

          for (guint j = grants->len; j > 0; j--)
            if (g_array_index (grants, struct grant, j - 1).instance
                == instance)
              g_array_remove_index_fast (grants, j - 1);
        }
      pthread_mutex_unlock (&shard->lock);
    }
}

/* Drops the state of TARGET, which another instance owns now.  */
void
adm_drop_target (struct adm_state *adm_state, uint64_t target)
{
  struct shard *shard = adm_shard_of (adm_state, target);

  pthread_mutex_lock (&shard->lock);
  g_hash_table_remove (shard->targets, &target);
  pthread_mutex_unlock (&shard->lock);
}

/* Returns the number of requests granted to TARGET.  */
int32_t
adm_load (struct adm_state *adm_state, uint64_t target)
{
  struct shard *shard = adm_shard_of (adm_state, target);
  const struct target_state *target_state;
  int32_t load = 0;

  pthread_mutex_lock (&shard->lock);
  target_state = g_hash_table_lookup (shard->targets, &target);
  if (target_state != NULL)
    load = (int32_t)target_state->grants->len;
  pthread_mutex_unlock (&shard->lock);
  return load;
}

/* Returns whether the circuit breaker of TARGET is open.  */
int
adm_is_down (struct adm_state *adm_state, uint64_t target)
{
  struct shard *shard = adm_shard_of (adm_state, target);
  const struct target_state *target_state;
  int down = 0;

  pthread_mutex_lock (&shard->lock);
  target_state = g_hash_table_lookup (shard->targets, &target);
  if (target_state != NULL)
    down = target_state->breaker.failures >= ADM_BREAKER_THRESHOLD;
  pthread_mutex_unlock (&shard->lock);
  return down;
}

/* Queues REQUEST, denied with DENIAL, behind those of equal or higher
   priority.  A request that is queued already keeps its place.  */
static void
enqueue (struct target_state *target_state, const struct adm_request *request,
         const struct adm_limits *limits, clk_ms now, enum adm_verdict denial)
{
  struct waiter waiter = { .request = *request,
                           .weight = limits->customer_weight,
                           .deadline_ms = now + request->wait_ms,
                           .denial = denial };
  guint position = 0;

  for (guint i = 0; i < target_state->waiters->len; i++)
    {
      const struct adm_request *other
          = &g_array_index (target_state->waiters, struct waiter, i).request;

      if (other->instance == request->instance
          && other->grant == request->grant)
        return;
      if (other->priority >= request->priority)
        position = i + 1;
    }
  g_array_insert_val (target_state->waiters, position, waiter);
}

/* Removes the request for GRANT of INSTANCE from the queue, if it is
   there.  */
static void
drop_waiter (struct target_state *target_state, uint32_t instance,
             uint32_t grant)
{
  for (guint i = 0; i < target_state->waiters->len; i++)
    {
      const struct adm_request *request
          = &g_array_index (target_state->waiters, struct waiter, i).request;

      if (request->instance != instance || request->grant != grant)
        continue;
      g_array_remove_index (target_state->waiters, i);
      return;
    }
}

/* Returns the shard that holds TARGET.  */
struct shard *
adm_shard_of (struct adm_state *adm_state, uint64_t target)
{
  return &adm_state->shards[target % ADM_SHARD_COUNT];
}

/* Returns the state of TARGET, created on first use.  */
static struct target_state *
target_state_get (struct shard *shard, uint64_t target)
{
  struct target_state *target_state
      = g_hash_table_lookup (shard->targets, &target);
  uint64_t *key;

  if (target_state != NULL)
    return target_state;
  target_state = g_new0 (struct target_state, 1);
  target_state->grants = g_array_new (FALSE, FALSE, sizeof (struct grant));
  target_state->waiters = g_array_new (FALSE, FALSE, sizeof (struct waiter));
  target_state->recent_customers
      = g_array_new (FALSE, FALSE, sizeof (struct recent_customer));
  key = g_new (uint64_t, 1);
  *key = target;
  g_hash_table_insert (shard->targets, key, target_state);
  return target_state;
}

/* Frees a struct target_state.  */
static void
target_state_free (gpointer data)
{
  struct target_state *target_state = data;

  g_array_free (target_state->grants, TRUE);
  g_array_free (target_state->waiters, TRUE);
  g_array_free (target_state->recent_customers, TRUE);
  g_free (target_state);
}
