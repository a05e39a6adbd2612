/* Targets that are leaving, as the platform's list or the peers report. */
#include "libpeer.h"

enum
{
  LEAVING_TTL_MS = 5000,   /* without a further report */
  DEPARTED_AFTER_MS = 8000 /* a restarted target is back sooner */
};

/* Records that the platform's list reports the COUNT TARGETS as leaving.  */
void
peer_set_leaving (struct peer *peer, const uint64_t *targets, size_t count)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (size_t i = 0; i < count; i++)
    leaving_record (peer, targets[i], 1, now);
}

/* Returns whether TARGET is reported as leaving.  */
int
peer_is_leaving (struct peer *peer, uint64_t target)
{
  clk_ms now = clk_now (clk_monotonic ());
  int found = 0;

  pthread_mutex_lock (&peer->leaving_lock);
  for (guint i = 0; i < peer->leaving->len; i++)
    {
      const struct peer_leaving_target *entry
          = &g_array_index (peer->leaving, struct peer_leaving_target, i);

      if (entry->target == target && now < entry->expires_at_ms)
        found = 1;
    }
  pthread_mutex_unlock (&peer->leaving_lock);
  return found;
}

/* Returns whether TARGET has been leaving for more than DEPARTED_AFTER_MS at
   NOW, so that it is not expected back.  */
int
peer_has_left (struct peer *peer, uint64_t target, clk_ms now)
{
  int found = 0;

  pthread_mutex_lock (&peer->leaving_lock);
  for (guint i = 0; i < peer->leaving->len; i++)
    {
      const struct peer_leaving_target *entry
          = &g_array_index (peer->leaving, struct peer_leaving_target, i);

      if (entry->target == target && now < entry->expires_at_ms
          && now - entry->since_ms > DEPARTED_AFTER_MS)
        found = 1;
    }
  pthread_mutex_unlock (&peer->leaving_lock);
  return found;
}

/* Records a report at NOW that TARGET is leaving.  It expires after
   LEAVING_TTL_MS.  Only reports that are FROM_PLATFORM are passed on to the
   peers: a report that peers repeat to each other would never expire.  */
void
leaving_record (struct peer *peer, uint64_t target, int from_platform,
                clk_ms now)
{
  struct peer_leaving_target entry
      = { target, now, now + LEAVING_TTL_MS, from_platform };

  pthread_mutex_lock (&peer->leaving_lock);
  for (guint i = peer->leaving->len; i > 0; i--)
    {
      struct peer_leaving_target *old
          = &g_array_index (peer->leaving, struct peer_leaving_target, i - 1);

      if (old->target == target && now < old->expires_at_ms)
        {
          entry.from_platform |= old->from_platform;
          entry.since_ms = old->since_ms;
        }
      if (old->target == target || now >= old->expires_at_ms)
        g_array_remove_index_fast (peer->leaving, i - 1);
    }
  g_array_append_val (peer->leaving, entry);
  pthread_mutex_unlock (&peer->leaving_lock);
}

/* Copies up to CAPACITY leaving targets that this instance itself has read
   from the platform's list to TARGETS.  Returns their number.  */
size_t
leaving_copy (struct peer *peer, uint64_t *targets, size_t capacity,
              clk_ms now)
{
  size_t count = 0;

  pthread_mutex_lock (&peer->leaving_lock);
  for (guint i = 0; i < peer->leaving->len && count < capacity; i++)
    {
      const struct peer_leaving_target *entry
          = &g_array_index (peer->leaving, struct peer_leaving_target, i);

      if (entry->from_platform && now < entry->expires_at_ms)
        targets[count++] = entry->target;
    }
  pthread_mutex_unlock (&peer->leaving_lock);
  return count;
}
