/* Ends of targets, as the instances tell each other.

   The instance that sees a connection to a target break tries whether the
   target still listens.  If not, it tells all others which parts were in
   progress there, and again with its next heartbeats, since datagrams get
   lost; so each weighs the same evidence.  */
#include <string.h>

#include "libfleet.h"

enum
{
  /* Time for which an end is told again: two or three heartbeats.  */
  CRASH_REPEAT_MS = 500,
  CRASHES_MAX = 64,
  PROBES_MAX = 16,
  PROBE_TIMEOUT_MS = 300 /* as for connections to targets */
};

/* Crashes that are true if their target no longer listens. */
struct crash_probe
{
  struct fleet *fleet;
  struct probe *probe;
  uint64_t target; /* of the crashes */
  GArray *crashes; /* of struct quar_crash */
};

static struct crash_probe *find_crash_probe (const struct fleet *fleet,
                                             uint64_t target);
static void free_crash_probe (struct crash_probe *crash_probe);
static void on_probed (void *closure, enum probe_result result);
static void confirm_crash (struct fleet *fleet,
                           const struct quar_crash *crash);
static void send_crash (struct fleet *fleet, const struct quar_crash *crash);

/* Prepares FLEET to report crashes.  */
void
fleet_crash_init (struct fleet *fleet)
{
  fleet->crashes = g_array_new (FALSE, FALSE, sizeof (struct quar_crash));
  fleet->probes = g_queue_new ();
}

/* Undoes fleet_crash_init.  */
void
fleet_crash_clear (struct fleet *fleet)
{
  struct crash_probe *crash_probe;

  while ((crash_probe = g_queue_pop_head (fleet->probes)) != NULL)
    {
      probe_cancel (crash_probe->probe);
      free_crash_probe (crash_probe);
    }
  g_queue_free (fleet->probes);
  g_array_free (fleet->crashes, TRUE);
}

/* Reports that the connection of a request to the target at ADDRESS broke, as
   in CRASH.  It counts only if the target no longer accepts connections, which
   is tried once for all requests whose connections break at the time.  */
void
fleet_report_crash (struct fleet *fleet, const struct sockaddr_in *address,
                    const struct quar_crash *crash)
{
  struct crash_probe *crash_probe = find_crash_probe (fleet, crash->target);

  if (crash_probe != NULL)
    {
      if (crash_probe->crashes->len < CRASHES_MAX)
        g_array_append_vals (crash_probe->crashes, crash, 1);
      return;
    }
  if (g_queue_get_length (fleet->probes) >= PROBES_MAX)
    return;
  crash_probe = g_new0 (struct crash_probe, 1);
  crash_probe->fleet = fleet;
  crash_probe->target = crash->target;
  crash_probe->crashes
      = g_array_new (FALSE, FALSE, sizeof (struct quar_crash));
  g_array_append_vals (crash_probe->crashes, crash, 1);
  crash_probe->probe = probe_start (fleet->loop, address, PROBE_TIMEOUT_MS,
                                    on_probed, crash_probe);
  if (crash_probe->probe != NULL)
    g_queue_push_tail (fleet->probes, crash_probe);
  else
    free_crash_probe (crash_probe);
}

/* Returns the probe of TARGET that is under way, or NULL.  */
static struct crash_probe *
find_crash_probe (const struct fleet *fleet, uint64_t target)
{
  for (const GList *at = fleet->probes->head; at != NULL; at = at->next)
    if (((struct crash_probe *)at->data)->target == target)
      return at->data;
  return NULL;
}

/* Handles the RESULT of a probe of a target.  One that does not answer may be
   cut off, which is weaker evidence.  */
static void
on_probed (void *closure, enum probe_result result)
{
  struct crash_probe *crash_probe = closure;
  struct fleet *fleet = crash_probe->fleet;

  g_queue_remove (fleet->probes, crash_probe);
  for (guint i = 0; result != PROBE_ACCEPTED && i < crash_probe->crashes->len;
       i++)
    {
      struct quar_crash *crash
          = &g_array_index (crash_probe->crashes, struct quar_crash, i);

      if (result == PROBE_NO_ANSWER)
        crash->strength = QUAR_CUT_OFF;
      confirm_crash (fleet, crash);
    }
  free_crash_probe (crash_probe);
}

/* Frees CRASH_PROBE, whose probe has ended.  */
static void
free_crash_probe (struct crash_probe *crash_probe)
{
  g_array_free (crash_probe->crashes, TRUE);
  g_free (crash_probe);
}

/* Records CRASH and tells the other instances.  */
static void
confirm_crash (struct fleet *fleet, const struct quar_crash *crash)
{
  struct quar_state changed;

  if (fleet->crashes->len == CRASHES_MAX)
    g_array_remove_index (fleet->crashes, 0);
  g_array_append_vals (fleet->crashes, crash, 1);
  send_crash (fleet, crash);
  if (quar_record_crash (fleet->quarantine, crash, clk_now (clk_monotonic ()),
                         &changed))
    fleet_announce_state (fleet, &changed, "quarantined");
}

/* Sends CRASH to the other instances.  */
static void
send_crash (struct fleet *fleet, const struct quar_crash *crash)
{
  struct wire_message message
      = { .kind = WIRE_CRASH,
          .u.crash = { .target = crash->target,
                       .strength = (uint8_t)crash->strength,
                       .age_ms = (uint32_t)(clk_now (clk_monotonic ())
                                            - crash->ended_ms),
                       .count = crash->part_count } };

  memcpy (message.u.crash.part, crash->parts,
          crash->part_count * sizeof *crash->parts);
  fleet_broadcast (fleet, &message);
}

/* Records a crash that another instance has reported.  */
void
fleet_apply_crash (struct fleet *fleet, const struct wire_crash *reported)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_crash crash
      = { .target = reported->target,
          .strength = (enum quar_strength)reported->strength,
          .ended_ms = now - reported->age_ms,
          .part_count = reported->count };
  struct quar_state changed;

  memcpy (crash.parts, reported->part,
          reported->count * sizeof *reported->part);
  if (quar_record_crash (fleet->quarantine, &crash, now, &changed))
    fleet_adopt_state (fleet, &changed, now);
}

/* Sends the crashes of the last CRASH_REPEAT_MS again, and forgets older
   ones.  */
void
fleet_crash_tick (struct fleet *fleet, clk_ms now)
{
  while (fleet->crashes->len > 0
         && now - g_array_index (fleet->crashes, struct quar_crash, 0).ended_ms
                > CRASH_REPEAT_MS + PROBE_TIMEOUT_MS)
    g_array_remove_index (fleet->crashes, 0);
  for (guint i = 0; i < fleet->crashes->len; i++)
    send_crash (fleet, &g_array_index (fleet->crashes, struct quar_crash, i));
}
