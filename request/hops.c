/* Which instance a request is sent through.  */
#include "ibisloom/hops.h"

enum
{
  /* Questions without an answer after which an instance is taken for lost: a
     datagram may get lost, and another one.  */
  UNANSWERED_MAX = 3,
  CHOICES = 2
};

static int is_usable (const struct hop_peer *peer, enum reach_answer answer,
                      const uint32_t *tried, uint32_t tried_count, clk_ms now);
static uint32_t load_of (const struct hop_peer *peer);

/* Returns the index in PEERS of the instance for the next hop at NOW, or
   HOP_NO_PEER.  It is the less loaded one of two taken by RANDOM, so that
   senders whose loads were told at the same time do not all choose one.  Those
   that have not needed the targets lately come last; the TRIED are left out.
 */
int
hop_pick (const struct hop_peers *peers, const uint32_t *tried,
          uint32_t tried_count, uint32_t random, clk_ms now)
{
  for (enum reach_answer answer = REACH_ANSWER_YES;
       answer <= REACH_ANSWER_UNKNOWN; answer++)
    {
      int usable[HOP_PEERS_MAX];
      uint32_t count = 0;
      uint32_t first;
      uint32_t second;

      for (int i = 0; i < HOP_PEERS_MAX; i++)
        if (is_usable (&peers->peer[i], answer, tried, tried_count, now))
          usable[count++] = i;
      if (count == 0)
        continue;
      first = random % count;
      second = (first + 1 + random / count % MAX (count - 1, 1)) % count;
      return load_of (&peers->peer[usable[second]])
                     < load_of (&peers->peer[usable[first]])
                 ? usable[second]
                 : usable[first];
    }
  return HOP_NO_PEER;
}

/* Returns whether PEER has given ANSWER and may be sent a request that went
   through the TRIED.  */
static int
is_usable (const struct hop_peer *peer, enum reach_answer answer,
           const uint32_t *tried, uint32_t tried_count, clk_ms now)
{
  if (peer->id == 0 || !peer->has_answered || peer->answer != answer
      || now < peer->avoid_until_ms || hop_is_lost (peer))
    return 0;
  for (uint32_t i = 0; i < tried_count; i++)
    if (tried[i] == peer->id)
      return 0;
  return 1;
}

/* Returns an estimate of the requests in progress at PEER.  */
static uint32_t
load_of (const struct hop_peer *peer)
{
  return peer->load + peer->sent;
}

/* Returns whether one of PEERS has yet to answer its first question.  */
int
hop_awaits_answers (const struct hop_peers *peers)
{
  for (int i = 0; i < HOP_PEERS_MAX; i++)
    if (peers->peer[i].id != 0 && !peers->peer[i].has_answered
        && !hop_is_lost (&peers->peer[i]))
      return 1;
  return 0;
}

/* Returns the instance ID among PEERS, or NULL.  */
struct hop_peer *
hop_find (struct hop_peers *peers, uint32_t id)
{
  for (int i = 0; i < HOP_PEERS_MAX; i++)
    if (peers->peer[i].id == id)
      return &peers->peer[i];
  return NULL;
}

/* Returns whether PEER has ended, stands still or cannot be reached.  */
int
hop_is_lost (const struct hop_peer *peer)
{
  return peer->unanswered >= UNANSWERED_MAX;
}
