/* Quarantine of prompt parts and requests, as the instances share it.

   Instances that have had successes with suspected parts tell of them.  The
   states of the parts follow each heartbeat while there are any.  A part that
   enters or leaves quarantine is also written to the store (fleet_part.c).  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* While a trial is due at another instance, a request may come there.  */
  TRIAL_ELSEWHERE_MS = 1000,
  PART_BASE = 16 /* of the digits that name a part in the store */
};

static void send_success (struct fleet *fleet,
                          const struct quar_success *success, clk_ms now);

/* Prepares the quarantine of FLEET.  */
void
fleet_quarantine_init (struct fleet *fleet)
{
  fleet->quarantine = quar_new ();
  fleet_part_init (fleet);
}

/* Undoes fleet_quarantine_init.  */
void
fleet_quarantine_clear (struct fleet *fleet)
{
  fleet_part_clear (fleet);
  quar_free (fleet->quarantine);
}

/* Reports that a request with COUNT PARTS went well.  */
void
fleet_report_success (struct fleet *fleet, const uint64_t *parts,
                      uint32_t count)
{
  struct quar_state released[QUAR_PARTS_MAX];
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t first = 0; first < count; first += QUAR_PARTS_MAX)
    {
      uint32_t released_count = quar_record_success (
          fleet->quarantine, parts + first,
          MIN (count - first, QUAR_PARTS_MAX), now, released);

      for (uint32_t i = 0; i < released_count; i++)
        fleet_announce_state (fleet, &released[i], "released");
    }
}

/* Decides whether a request with COUNT PARTS may be sent to a target.  Returns
   whether it may; else stores in WAIT_MS when to come back, in milliseconds.
   Trials are made by one instance only.  */
int
fleet_admits_parts (struct fleet *fleet, const uint64_t *parts, uint32_t count,
                    int64_t *wait_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_state blocking;
  enum quar_verdict verdict
      = quar_check (fleet->quarantine, parts, count, now, &blocking, wait_ms);

  if (verdict == QUAR_PASS)
    return 1;
  *wait_ms = MAX (*wait_ms, TRIAL_ELSEWHERE_MS);
  if (verdict == QUAR_REFUSE || !fleet_ranks_first (fleet, blocking.part, now))
    return 0;
  blocking = quar_begin_trial (fleet->quarantine, blocking.part, now);
  fleet_log_state (&blocking, "trial");
  fleet_send_states (fleet, NULL);
  return 1;
}

/* Decides as fleet_admits_parts does, but begins no trial.  */
int
fleet_would_admit_parts (const struct fleet *fleet, const uint64_t *parts,
                         uint32_t count, int64_t *wait_ms)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_state blocking;
  enum quar_verdict verdict
      = quar_look (fleet->quarantine, parts, count, now, &blocking, wait_ms);

  if (verdict == QUAR_PASS)
    return 1;
  *wait_ms = MAX (*wait_ms, TRIAL_ELSEWHERE_MS);
  return verdict == QUAR_TRIAL_DUE
         && fleet_ranks_first (fleet, blocking.part, now);
}

/* Returns the number of parts in quarantine.  */
uint32_t
fleet_quarantined_count (const struct fleet *fleet)
{
  return quar_count (fleet->quarantine);
}

/* Does the work that is due with each heartbeat.  */
void
fleet_quarantine_tick (struct fleet *fleet, clk_ms now)
{
  struct quar_state released;
  struct quar_success success;

  while (quar_next_success (fleet->quarantine, &success))
    send_success (fleet, &success, now);
  while (quar_next_objection (fleet->quarantine, now, &released))
    fleet_announce_state (fleet, &released, "released");
  while (quar_next_unused (fleet->quarantine, now, &released))
    fleet_announce_state (fleet, &released, "unused");
}

/* Tells the other instances of SUCCESS, so that they do not suspect the part.
   As heartbeats are not in step, mostly the first instance to send one tells
   of a part, and the others find that they have no news.  */
static void
send_success (struct fleet *fleet, const struct quar_success *success,
              clk_ms now)
{
  struct wire_message message
      = { .kind = WIRE_SUCCESS,
          .u.success = { .part = success->part,
                         .age_ms = (uint32_t)(now - success->at_ms) } };

  fleet_broadcast (fleet, &message);
}

/* Records a success that another instance has told.  */
void
fleet_apply_success (struct fleet *fleet, const struct wire_success *reported)
{
  struct quar_success success
      = { .part = reported->part,
          .at_ms = clk_now (clk_monotonic ()) - reported->age_ms };

  quar_merge_success (fleet->quarantine, &success);
}

/* Logs STATE, which this instance has changed, tells the other instances, and
   has it written to the store.  */
void
fleet_announce_state (struct fleet *fleet, const struct quar_state *state,
                      const char *reason)
{
  fleet_log_state (state, reason);
  fleet_send_states (fleet, NULL);
  fleet_write_part (fleet, state->part);
}

/* Logs STATE, which what others told has changed.  The instance that ranks
   first for the part has it written to the store, since it may be that nobody
   has changed it by itself.  */
void
fleet_adopt_state (struct fleet *fleet, const struct quar_state *state,
                   clk_ms now)
{
  fleet_log_state (state,
                   state->version % 2 != 0 ? "quarantined" : "released");
  if (fleet_ranks_first (fleet, state->part, now))
    fleet_write_part (fleet, state->part);
}

/* Sends the states of all parts to ADDRESS, or to all instances if ADDRESS is
   NULL.  */
void
fleet_send_states (struct fleet *fleet, const struct sockaddr_in *address)
{
  struct wire_message message = { .kind = WIRE_QUARANTINE };
  struct wire_quarantine *quarantine = &message.u.quarantine;
  struct quar_cursor cursor = { 0 };
  struct quar_state state;
  int has_next = quar_next (fleet->quarantine, &cursor, &state);

  while (has_next)
    {
      for (quarantine->count = 0;
           has_next && quarantine->count < WIRE_STATES_MAX;
           has_next = quar_next (fleet->quarantine, &cursor, &state))
        quarantine->state[quarantine->count++] = (struct wire_state){
          .part = state.part, .version = state.version, .weight = state.weight
        };
      if (address != NULL)
        fleet_send (fleet, address, &message);
      else
        fleet_broadcast (fleet, &message);
    }
}

/* Adopts the states that another instance has sent, where they are newer.  */
void
fleet_apply_states (struct fleet *fleet,
                    const struct wire_quarantine *quarantine)
{
  clk_ms now = clk_now (clk_monotonic ());

  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      struct quar_state state = { .part = quarantine->state[i].part,
                                  .version = quarantine->state[i].version,
                                  .weight = quarantine->state[i].weight };

      if (quar_merge (fleet->quarantine, &state, now))
        fleet_adopt_state (fleet, &state, now);
    }
}

void
fleet_log_state (const struct quar_state *state, const char *reason)
{
  struct log_line line;
  char part[24];

  if (!log_begin (&line, LOG_LEVEL_INFO, "quarantine", NULL, reason))
    return;
  g_snprintf (part, sizeof part, "%" PRIx64, state->part);
  log_text (&line, "part", part);
  log_number (&line, "version", state->version);
  log_number (&line, "weight", state->weight);
  log_end (&line);
}

/* Adds the entry CONTENT of the list in the store to the quarantine.  Returns
   0 if it holds no part.  */
int
fleet_read_part (struct fleet *fleet, const json_t *content)
{
  const char *part = json_string_value (json_object_get (content, "part"));
  struct quar_state state = { .version = 1 };

  if (part == NULL
      || !g_ascii_string_to_unsigned (part, PART_BASE, 1, UINT64_MAX,
                                      &state.part, NULL))
    return 0;
  if (quar_merge (fleet->quarantine, &state, clk_now (clk_monotonic ())))
    fleet_log_state (&state, "quarantined");
  return 1;
}
