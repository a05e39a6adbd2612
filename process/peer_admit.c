/* Datagram protocol between the instances: admission to targets. */
#include <math.h>
#include <string.h>

#include <ck_pr.h>

#include "libpeer.h"

enum
{
  REQUEST_ATTEMPTS = 2
};

static struct peer_grant_shard *shard_of (struct peer *peer, uint32_t grant);
static void fill_answer (struct wire_message *message, uint32_t grant,
                         const struct adm_reply *reply);
static void answer_waiter (struct peer *peer,
                           const struct adm_request *admission_request,
                           const struct adm_reply *reply);
static struct adm_limits limits_for (struct peer *peer,
                                     const struct ver_snapshot *version,
                                     const struct ver_target *target,
                                     uint64_t customer, clk_ms now);
static void
decide_locally (struct peer *peer,
                const struct wire_admission_request *admission_request,
                const struct ver_snapshot *version, uint32_t instance,
                struct adm_reply *reply, clk_ms now);
static int send_request (struct peer *peer, const struct ver_snapshot *version,
                         struct peer_pending_request *pending, clk_ms now,
                         struct peer_reply *reply);
static void retry_request (struct peer *peer,
                           struct peer_pending_request *pending, clk_ms now);
static void complete_request (struct peer *peer,
                              struct peer_pending_request *pending,
                              const struct peer_reply *reply);
static void record_grant (struct peer *peer,
                          const struct peer_pending_request *pending);
static void update_owned (struct peer *peer,
                          const struct ver_snapshot *version, clk_ms now);
static void drop_unowned (struct peer *peer, const struct ver_target *target,
                          clk_ms now);

/* Initializes the admission state of PEER.  */
void
admit_init (struct peer *peer)
{
  for (int i = 0; i < PEER_GRANT_SHARDS; i++)
    {
      struct peer_grant_shard *shard = &peer->grant_shards[i];

      pthread_mutex_init (&shard->lock, NULL);
      shard->pending
          = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, NULL);
      shard->held = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
                                           g_free);
    }
  peer->loads
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  peer->owners
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  pthread_mutex_init (&peer->owner_lock, NULL);
  peer->owned = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  peer->means = g_array_new (FALSE, TRUE, sizeof (struct peer_mean_load));
  peer->unowned
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  peer->last_hold_owner
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

/* Frees the admission state of PEER.  */
void
admit_free (struct peer *peer)
{
  for (int i = 0; i < PEER_GRANT_SHARDS; i++)
    {
      g_hash_table_destroy (peer->grant_shards[i].pending);
      g_hash_table_destroy (peer->grant_shards[i].held);
    }
  g_array_free (peer->means, TRUE);
  g_array_free (peer->owned, TRUE);
  g_hash_table_destroy (peer->loads);
  g_hash_table_destroy (peer->owners);
  g_hash_table_destroy (peer->unowned);
  g_hash_table_destroy (peer->last_hold_owner);
}

/* Requests a grant from the owner of the target of ADMISSION_REQUEST, a target
   of VERSION. Calls FN once with CLOSURE, TAG and the reply.  FN is called
   before this function returns if there is no owner, if the message could not
   be sent or if this instance is the owner and decides at once, and otherwise
   on the peer thread.  Returns the number of the grant, which the caller
   releases with peer_release_grant if it was granted.  */
uint32_t
peer_request_admission (struct peer *peer, const struct ver_snapshot *version,
                        const struct peer_admission_request *admission_request,
                        peer_reply_fn fn, void *closure, uint64_t tag)
{
  struct peer_pending_request *pending
      = g_new0 (struct peer_pending_request, 1);
  uint32_t grant = ck_pr_faa_32 (&peer->next_grant, 1) + 1;
  struct peer_grant_shard *shard = shard_of (peer, grant);
  struct peer_reply reply;
  clk_ms now = clk_now (clk_monotonic ());

  pending->admission_request.target = admission_request->target;
  pending->admission_request.chat = admission_request->chat;
  pending->admission_request.customer = admission_request->customer;
  pending->admission_request.flags = admission_request->flags;
  pending->admission_request.wait_ms = admission_request->wait_ms;
  pending->admission_request.priority = admission_request->priority;
  pending->admission_request.grant = grant;
  pending->domain = admission_request->domain;
  pending->fn = fn;
  pending->closure = closure;
  pending->tag = tag;
  pthread_mutex_lock (&shard->lock);
  g_hash_table_insert (shard->pending, GUINT_TO_POINTER (grant), pending);
  pthread_mutex_unlock (&shard->lock);
  if (send_request (peer, version, pending, now, &reply) == 0)
    return grant;
  pthread_mutex_lock (&shard->lock);
  g_hash_table_remove (shard->pending, GUINT_TO_POINTER (grant));
  pthread_mutex_unlock (&shard->lock);
  complete_request (peer, pending, &reply);
  return grant;
}

/* Records GRANT for a request that is sent to TARGET, of failure domain
   DOMAIN, without an answer from the owner of TARGET.  The next hold message
   reports the grant to the owner.  */
void
peer_record_grant (struct peer *peer, uint32_t grant, uint64_t target,
                   uint32_t domain)
{
  struct peer_pending_request pending
      = { .admission_request = { .target = target, .grant = grant },
          .domain = domain };

  record_grant (peer, &pending);
}

/* Releases GRANT and reports OUTCOME to the owner of its target.  If the
   message is lost, the next hold message, which no longer lists the grant,
   releases it.  */
void
peer_release_grant (struct peer *peer, uint32_t grant,
                    enum adm_outcome outcome)
{
  struct peer_grant_shard *shard = shard_of (peer, grant);
  struct wire_message message = { .kind = WIRE_RELEASE };
  clk_ms now = clk_now (clk_monotonic ());
  struct peer_grant *held;
  struct peer_grant released;
  struct member_info owner;

  pthread_mutex_lock (&shard->lock);
  held = g_hash_table_lookup (shard->held, GUINT_TO_POINTER (grant));
  if (held != NULL)
    {
      released = *held;
      g_hash_table_remove (shard->held, GUINT_TO_POINTER (grant));
    }
  pthread_mutex_unlock (&shard->lock);
  if (held == NULL)
    return;
  message.u.release.target = released.target;
  message.u.release.grant = grant;
  message.u.release.outcome = (uint8_t)outcome;
  if (owner_find (peer, released.target, released.domain, now, &owner) == 1)
    peer_send (peer, &owner.address, &message, BUDGET_ANSWER,
               METRIC_SENT_RELEASE_BYTES);
  else
    adm_release (peer->adm_state, released.target, peer->self, grant, outcome,
                 now);
}

/* Returns the number of grants for TARGET, or -1 if this instance does not own
   it.  */
int32_t
peer_owned_load (struct peer *peer, const struct ver_target *target)
{
  struct member_info owner;

  if (owner_find (peer, target->id, target->domain_id,
                  clk_now (clk_monotonic ()), &owner)
      != 0)
    return -1;
  return adm_load (peer->adm_state, target->id);
}

/* Decides a grant request of another instance and answers it, unless the
   request is queued: admit_answer_waiters then sends the answer.  */
void
admit_handle_request (struct peer *peer, const struct wire_message *message,
                      const struct sockaddr_in *from, clk_ms now)
{
  const struct ver_snapshot *version
      = ver_read_begin (peer->store, peer->reader);
  struct wire_message answer = { .kind = WIRE_ADMISSION_ANSWER };
  struct adm_reply reply;

  decide_locally (peer, &message->u.admission_request, version,
                  message->sender, &reply, now);
  ver_read_end (peer->reader);
  if (reply.verdict == ADM_QUEUED)
    return;
  fill_answer (&answer, message->u.admission_request.grant, &reply);
  peer_send (peer, from, &answer, BUDGET_ANSWER,
             METRIC_SENT_ADMISSION_ANSWER_BYTES);
}

/* Fills MESSAGE with REPLY as the answer to the request for GRANT.  */
static void
fill_answer (struct wire_message *message, uint32_t grant,
             const struct adm_reply *reply)
{
  struct wire_admission_answer *answer = &message->u.answer;

  message->kind = WIRE_ADMISSION_ANSWER;
  answer->grant = grant;
  answer->verdict = (uint8_t)reply->verdict;
  answer->load = (uint32_t)reply->load;
  answer->redirect = reply->redirect;
}

/* Returns whether this instance has no pending grant request and holds no
   grant, so that the peer thread can use the longer PEER_IDLE_TICK_MS.  */
int
admit_is_idle (struct peer *peer)
{
  guint open = 0;

  for (int i = 0; i < PEER_GRANT_SHARDS && open == 0; i++)
    {
      struct peer_grant_shard *shard = &peer->grant_shards[i];

      pthread_mutex_lock (&shard->lock);
      open = g_hash_table_size (shard->pending)
             + g_hash_table_size (shard->held);
      pthread_mutex_unlock (&shard->lock);
    }
  return open == 0;
}

/* Answers the queued grant requests for targets owned here that can be decided
   at NOW: those that are granted, that have timed out or whose target is
   leaving.  */
void
admit_answer_waiters (struct peer *peer, clk_ms now)
{
  const struct ver_snapshot *version
      = ver_read_begin (peer->store, peer->reader);

  for (guint i = 0; i < peer->owned->len; i++)
    {
      uint64_t id = g_array_index (peer->owned, uint64_t, i);
      const struct ver_target *target = ver_target_find (version, id);
      struct adm_limits limits;
      struct adm_reply reply;
      struct adm_request admission_request;

      if (target == NULL)
        continue;
      limits = limits_for (peer, version, target, 0, now);
      while (adm_dequeue (peer->adm_state, id, &limits, now,
                          &admission_request, &reply))
        answer_waiter (peer, &admission_request, &reply);
    }
  ver_read_end (peer->reader);
}

/* Sends REPLY to the instance that sent the queued grant request
 * ADMISSION_REQUEST.  */
static void
answer_waiter (struct peer *peer, const struct adm_request *admission_request,
               const struct adm_reply *reply)
{
  struct wire_message message = { 0 };
  struct member_info requester;
  int found;

  fill_answer (&message, admission_request->grant, reply);
  found = member_find (peer->member_table, admission_request->instance,
                       &requester);
  if (found == 0)
    admit_handle_answer (peer, &message.u.answer);
  else if (found == 1)
    peer_send (peer, &requester.address, &message, BUDGET_ANSWER,
               METRIC_SENT_ADMISSION_ANSWER_BYTES);
}

/* Completes the pending request that ANSWER belongs to.  An answer that comes
   after the request was completed with a timeout is ignored; the owner drops
   such a grant at the next hold message, which does not list it.  */
void
admit_handle_answer (struct peer *peer,
                     const struct wire_admission_answer *answer)
{
  struct peer_grant_shard *shard = shard_of (peer, answer->grant);
  struct peer_pending_request *pending;
  struct peer_reply reply
      = { answer->grant, answer->verdict, answer->redirect };

  if (answer->verdict >= ADM_VERDICT_COUNT)
    {
      metric_inc (METRIC_UDP_MALFORMED);
      return;
    }
  pthread_mutex_lock (&shard->lock);
  pending
      = g_hash_table_lookup (shard->pending, GUINT_TO_POINTER (answer->grant));
  if (pending != NULL)
    g_hash_table_remove (shard->pending, GUINT_TO_POINTER (answer->grant));
  pthread_mutex_unlock (&shard->lock);
  if (pending == NULL)
    return;
  if (answer->verdict != ADM_REDIRECT)
    load_record_target (peer, pending->admission_request.target,
                        answer->verdict == ADM_DENY_DOWN
                            ? answer->load | WIRE_LOAD_DOWN
                            : answer->load,
                        clk_now (clk_monotonic ()));
  complete_request (peer, pending, &reply);
}

/* Releases a grant of another instance.  */
void
admit_handle_release (struct peer *peer, const struct wire_message *message,
                      clk_ms now)
{
  const struct wire_release *release = &message->u.release;

  if (release->outcome <= ADM_OUTCOME_UNKNOWN)
    adm_release (peer->adm_state, release->target, message->sender,
                 release->grant, (enum adm_outcome)release->outcome, now);
}

/* Reconciles the grants of another instance for a target with the hold message
   of that instance, and counts the grants that had to be added or dropped.  */
void
admit_handle_hold (struct peer *peer, const struct wire_message *message,
                   clk_ms now)
{
  const struct wire_hold *hold = &message->u.hold;
  int corrected
      = adm_reconcile (peer->adm_state, hold->target, message->sender,
                       hold->grants, hold->count, now);

  metric_add (METRIC_GRANTS_RECONCILED, (uint64_t)corrected);
}

/* Stores the placement notes of chats that are served by another target than
   their home target.  */
void
admit_handle_notes (struct peer *peer, const struct wire_message *message,
                    clk_ms now)
{
  const struct wire_notes *notes = &message->u.notes;

  for (uint32_t i = 0; i < notes->count; i++)
    {
      struct adm_note note
          = { notes->note[i].home, notes->note[i].chat, notes->note[i].target,
              now + notes->note[i].ttl_ms };

      adm_note_put (peer->adm_state, &note);
    }
}

/* Sends again the grant requests whose answer is overdue at NOW, and completes
   those that have no attempt left with PEER_TIMEOUT.  */
void
admit_retry_overdue (struct peer *peer, clk_ms now)
{
  for (int i = 0; i < PEER_GRANT_SHARDS; i++)
    {
      struct peer_grant_shard *shard = &peer->grant_shards[i];
      GPtrArray *overdue = g_ptr_array_new ();
      GHashTableIter iter;
      gpointer value;

      pthread_mutex_lock (&shard->lock);
      g_hash_table_iter_init (&iter, shard->pending);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct peer_pending_request *pending = value;

          if (pending->sent_ms == 0
              || now - pending->sent_ms
                     < PEER_ADMISSION_TIMEOUT_MS
                           + (clk_ms)pending->admission_request.wait_ms)
            continue;
          g_ptr_array_add (overdue, pending);
          g_hash_table_iter_remove (&iter);
        }
      pthread_mutex_unlock (&shard->lock);
      for (guint j = 0; j < overdue->len; j++)
        retry_request (peer, g_ptr_array_index (overdue, j), now);
      g_ptr_array_free (overdue, TRUE);
    }
}

/* Sends PENDING again, or completes it: with PEER_TIMEOUT after
   REQUEST_ATTEMPTS, or at once if send_request fills the reply.  The request
   goes to the owner only, since no other instance knows the load of the
   target.  */
static void
retry_request (struct peer *peer, struct peer_pending_request *pending,
               clk_ms now)
{
  uint32_t grant = pending->admission_request.grant;
  struct peer_grant_shard *shard = shard_of (peer, grant);
  struct peer_reply reply = { grant, PEER_TIMEOUT, 0 };
  int awaited;

  metric_inc (METRIC_ADMISSION_TIMEOUT);
  if (++pending->attempt < REQUEST_ATTEMPTS)
    {
      const struct ver_snapshot *version
          = ver_read_begin (peer->store, peer->reader);

      pthread_mutex_lock (&shard->lock);
      g_hash_table_insert (shard->pending, GUINT_TO_POINTER (grant), pending);
      pthread_mutex_unlock (&shard->lock);
      awaited = send_request (peer, version, pending, now, &reply) == 0;
      ver_read_end (peer->reader);
      if (awaited)
        return;
      pthread_mutex_lock (&shard->lock);
      g_hash_table_remove (shard->pending, GUINT_TO_POINTER (grant));
      pthread_mutex_unlock (&shard->lock);
    }
  complete_request (peer, pending, &reply);
}

/* Updates ownership, mean loads and hold messages for VERSION and the members
   at NOW.  */
void
admit_refresh (struct peer *peer, const struct ver_snapshot *version,
               clk_ms now)
{
  owner_update (peer, version, now);
  update_owned (peer, version, now);
  load_update_means (peer, version, now);
  hold_send_all (peer, now);
}

/* Sends PENDING to the owner of its target, or decides it if this instance is
   the owner.  Returns 0 if the answer comes later, 1 if REPLY was filled.  */
static int
send_request (struct peer *peer, const struct ver_snapshot *version,
              struct peer_pending_request *pending, clk_ms now,
              struct peer_reply *reply)
{
  struct wire_message message = { .kind = WIRE_ADMISSION_REQUEST };
  struct member_info owner;
  struct adm_reply decision;
  int found = owner_find (peer, pending->admission_request.target,
                          pending->domain, now, &owner);

  reply->grant = pending->admission_request.grant;
  reply->verdict = PEER_TIMEOUT;
  reply->redirect = 0;
  if (found == 1)
    {
      metric_inc (METRIC_ADMISSION_REMOTE);
      message.u.admission_request = pending->admission_request;
      pending->sent_ms = now;
      if (peer_send (peer, &owner.address, &message, BUDGET_REQUEST,
                     METRIC_SENT_ADMISSION_REQUEST_BYTES)
          == 0)
        return 0;
      reply->verdict = PEER_NOT_SENT;
      return 1;
    }
  if (found < 0)
    return 1;
  metric_inc (METRIC_ADMISSION_LOCAL);
  pending->sent_ms = now;
  decide_locally (peer, &pending->admission_request, version, peer->self,
                  &decision, now);
  if (decision.verdict == ADM_QUEUED)
    return 0;
  reply->verdict = decision.verdict;
  reply->redirect = decision.redirect;
  return 1;
}

/* Records the grant if REPLY is ADM_GRANT, passes REPLY to the callback of
   PENDING and frees PENDING.  */
static void
complete_request (struct peer *peer, struct peer_pending_request *pending,
                  const struct peer_reply *reply)
{
  if (reply->verdict == ADM_GRANT)
    record_grant (peer, pending);
  pending->fn (pending->closure, pending->tag, reply);
  g_free (pending);
}

/* Records the grant of PENDING as held by this instance.  */
static void
record_grant (struct peer *peer, const struct peer_pending_request *pending)
{
  struct peer_grant_shard *shard
      = shard_of (peer, pending->admission_request.grant);
  struct peer_grant *held = g_new0 (struct peer_grant, 1);

  held->grant = pending->admission_request.grant;
  held->target = pending->admission_request.target;
  held->domain = pending->domain;
  pthread_mutex_lock (&shard->lock);
  g_hash_table_insert (shard->held, GUINT_TO_POINTER (held->grant), held);
  pthread_mutex_unlock (&shard->lock);
}

/* Decides the grant request ADMISSION_REQUEST of INSTANCE as the owner of its
   target, with the limits of VERSION.  */
static void
decide_locally (struct peer *peer,
                const struct wire_admission_request *admission_request,
                const struct ver_snapshot *version, uint32_t instance,
                struct adm_reply *reply, clk_ms now)
{
  const struct ver_target *target
      = ver_target_find (version, admission_request->target);
  struct adm_limits limits;
  struct adm_request adm_request = { .target = admission_request->target,
                                     .chat = admission_request->chat,
                                     .customer = admission_request->customer,
                                     .instance = instance,
                                     .grant = admission_request->grant,
                                     .flags = admission_request->flags,
                                     .wait_ms = admission_request->wait_ms,
                                     .priority = admission_request->priority };

  if (target == NULL)
    {
      memset (reply, 0, sizeof *reply);
      reply->verdict = ADM_DENY_LEAVING;
      return;
    }
  limits
      = limits_for (peer, version, target, admission_request->customer, now);
  adm_decide (peer->adm_state, &adm_request, &limits, now, reply);
}

/* Returns the admission limits of VERSION for TARGET and CUSTOMER at NOW.  */
static struct adm_limits
limits_for (struct peer *peer, const struct ver_snapshot *version,
            const struct ver_target *target, uint64_t customer, clk_ms now)
{
  const struct ver_service *service = &g_array_index (
      version->services, struct ver_service, target->service);
  struct adm_limits limits
      = { .load_factor = version->preset.load_factor,
          .reserve_share = version->preset.reserve_share,
          .slots = target->slots,
          .leaving = target->leaving || peer_is_leaving (peer, target->id),
          .customer_weight = ver_customer_weight (version, customer) };

  limits.mean_load
      = load_bounding_mean (peer, service->id, limits.load_factor, now);
  pthread_mutex_lock (&peer->mean_lock);
  limits.mean_load_now = load_get_mean (peer, service->id)->now;
  pthread_mutex_unlock (&peer->mean_lock);
  return limits;
}

/* Lists the targets of VERSION that this instance owns, and transfers or drops
   the state of those that it does not own.  */
static void
update_owned (struct peer *peer, const struct ver_snapshot *version,
              clk_ms now)
{
  struct member_info owner;

  g_array_set_size (peer->owned, 0);
  for (guint i = 0; i < version->targets->len; i++)
    {
      const struct ver_target *target = ver_target_at (version, i);

      if (g_array_index (version->services, struct ver_service,
                         target->service)
              .kind
          != VER_KIND_CHAT)
        continue;
      if (owner_find (peer, target->id, target->domain_id, now, &owner) != 0)
        {
          drop_unowned (peer, target, now);
          continue;
        }
      g_hash_table_remove (peer->unowned, &target->id);
      g_array_append_val (peer->owned, target->id);
    }
}

/* Sends the placement notes of TARGET to its new owner when this instance is
   no longer the owner, and drops the rest of the state of TARGET after
   PEER_UNOWNED_TTL_MS.  */
static void
drop_unowned (struct peer *peer, const struct ver_target *target, clk_ms now)
{
  clk_ms *since = g_hash_table_lookup (peer->unowned, &target->id);
  uint64_t *key;

  if (since == NULL)
    {
      key = g_new (uint64_t, 1);
      *key = target->id;
      since = g_new (clk_ms, 1);
      *since = now;
      g_hash_table_insert (peer->unowned, key, since);
      note_transfer_all (peer, target);
    }
  else if (*since != 0 && now - *since > PEER_UNOWNED_TTL_MS)
    {
      adm_drop_target (peer->adm_state, target->id);
      *since = 0;
    }
}

/* Returns the shard of GRANT.  */
static struct peer_grant_shard *
shard_of (struct peer *peer, uint32_t grant)
{
  return &peer->grant_shards[grant % PEER_GRANT_SHARDS];
}
