/* Quarantine of prompt parts, as the instances share it.

   The instance that sees the end of a target tells all others which parts were
   in progress there, and again with its next heartbeats, since datagrams get
   lost; so each weighs the same evidence.  Instances that have had successes
   with these parts tell of them.  The states of the parts follow each
   heartbeat while there are any.  A part that enters or leaves quarantine is
   also written to the store, from where instances read it when they start.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  /* Time for which an end is told again: two or three heartbeats.  */
  CRASH_REPEAT_MS = 500,
  CRASHES_MAX = 64,
  PROBES_MAX = 16,
  PROBE_TIMEOUT_MS = 300, /* as for connections to targets */
  /* While a trial is due at another instance, a request may come there.  */
  TRIAL_ELSEWHERE_MS = 1000,
  WRITES_MAX = QUAR_STATES_MAX,
  WRITE_TIMEOUT_MS = 1500,
  WRITE_RETRY_MS = 700
};

/* Names of the objects in the store that hold parts. */
static const char OBJECT_PREFIX[] = "part-";

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
static void send_success (struct fleet *fleet,
                          const struct quar_success *success, clk_ms now);
static void repeat_crashes (struct fleet *fleet, clk_ms now);
static void announce (struct fleet *fleet, const struct quar_state *state,
                      const char *reason);
static int is_first_for (const struct fleet *fleet, uint64_t part, clk_ms now);
static void log_state (const struct quar_state *state, const char *reason);
static void queue_write (struct fleet *fleet, uint64_t part);
static void write_next (struct fleet *fleet);
static void on_written (void *closure, const struct store_response *response);
static void on_write_due (struct ev_loop *loop, ev_timer *timer, int events);

/* Prepares the quarantine of FLEET.  */
void
fleet_quarantine_init (struct fleet *fleet)
{
  fleet->quarantine = quar_new ();
  fleet->crashes = g_array_new (FALSE, FALSE, sizeof (struct quar_crash));
  fleet->writes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  fleet->probes = g_queue_new ();
  ev_timer_init (&fleet->write_retry, on_write_due, 0, 0);
  fleet->write_retry.data = fleet;
}

/* Undoes fleet_quarantine_init.  */
void
fleet_quarantine_clear (struct fleet *fleet)
{
  struct crash_probe *crash_probe;

  while ((crash_probe = g_queue_pop_head (fleet->probes)) != NULL)
    {
      probe_cancel (crash_probe->probe);
      free_crash_probe (crash_probe);
    }
  if (fleet->write_call != NULL)
    store_call_cancel (fleet->write_call);
  ev_timer_stop (fleet->loop, &fleet->write_retry);
  g_queue_free (fleet->probes);
  g_array_free (fleet->writes, TRUE);
  g_array_free (fleet->crashes, TRUE);
  quar_free (fleet->quarantine);
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
    announce (fleet, &changed, "quarantined");
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
    log_state (&changed, "quarantined");
}

/* Reports that a request with COUNT PARTS went well.  */
void
fleet_report_success (struct fleet *fleet, const uint64_t *parts,
                      uint32_t count)
{
  struct quar_state released[QUAR_PARTS_MAX];
  uint32_t released_count = quar_record_success (
      fleet->quarantine, parts, count, clk_now (clk_monotonic ()), released);

  for (uint32_t i = 0; i < released_count; i++)
    announce (fleet, &released[i], "released");
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
  if (verdict == QUAR_REFUSE || !is_first_for (fleet, blocking.part, now))
    return 0;
  blocking = quar_begin_trial (fleet->quarantine, blocking.part, now);
  log_state (&blocking, "trial");
  fleet_send_states (fleet, NULL);
  return 1;
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

  repeat_crashes (fleet, now);
  while (quar_next_success (fleet->quarantine, &success))
    send_success (fleet, &success, now);
  while (quar_next_objection (fleet->quarantine, now, &released))
    announce (fleet, &released, "released");
  while (quar_next_unused (fleet->quarantine, now, &released))
    announce (fleet, &released, "unused");
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

/* Sends the crashes of the last CRASH_REPEAT_MS again, and forgets older
   ones.  */
static void
repeat_crashes (struct fleet *fleet, clk_ms now)
{
  while (fleet->crashes->len > 0
         && now - g_array_index (fleet->crashes, struct quar_crash, 0).ended_ms
                > CRASH_REPEAT_MS + PROBE_TIMEOUT_MS)
    g_array_remove_index (fleet->crashes, 0);
  for (guint i = 0; i < fleet->crashes->len; i++)
    send_crash (fleet, &g_array_index (fleet->crashes, struct quar_crash, i));
}

/* Logs STATE, which this instance has changed, tells the other instances, and
   has it written to the store.  */
static void
announce (struct fleet *fleet, const struct quar_state *state,
          const char *reason)
{
  log_state (state, reason);
  fleet_send_states (fleet, NULL);
  queue_write (fleet, state->part);
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
        log_state (&state,
                   state.version % 2 != 0 ? "quarantined" : "released");
    }
}

/* Returns whether this instance ranks first for PART among those that are
   alive.  */
static int
is_first_for (const struct fleet *fleet, uint64_t part, clk_ms now)
{
  uint64_t own = rank_mix (part, fleet->self);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, fleet->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct fleet_peer *peer = value;

      if (peer->state != MEMBER_LEAVING && !fleet_is_silent (fleet, peer, now)
          && rank_mix (part, peer->id) > own)
        return 0;
    }
  return 1;
}

static void
log_state (const struct quar_state *state, const char *reason)
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

  if (part == NULL)
    return 0;
  state.part = g_ascii_strtoull (part, NULL, 16);
  if (quar_merge (fleet->quarantine, &state, clk_now (clk_monotonic ())))
    log_state (&state, "quarantined");
  return 1;
}

/* Has the states of all parts for which this instance ranks first written to
   the store anew.  Returns how many.  */
uint32_t
fleet_rewrite_parts (struct fleet *fleet)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_cursor cursor = { 0 };
  struct quar_state state;
  uint32_t count = 0;

  while (quar_next (fleet->quarantine, &cursor, &state))
    if (is_first_for (fleet, state.part, now))
      {
        queue_write (fleet, state.part);
        count++;
      }
  return count;
}

/* Has the state of PART written to the store.  */
static void
queue_write (struct fleet *fleet, uint64_t part)
{
  for (guint i = 0; i < fleet->writes->len; i++)
    if (g_array_index (fleet->writes, uint64_t, i) == part)
      return;
  if (fleet->writes->len == WRITES_MAX)
    return;
  g_array_append_val (fleet->writes, part);
  if (fleet->write_call == NULL && !ev_is_active (&fleet->write_retry))
    write_next (fleet);
}

/* Writes the state of the first part in the queue: an object stands for a part
   in quarantine.  */
static void
write_next (struct fleet *fleet)
{
  uint64_t part;
  struct quar_state state;
  struct store_request request = { .address = fleet->settings->platform,
                                   .timeout_ms = WRITE_TIMEOUT_MS,
                                   .epoch_field = fleet->store->epoch_field,
                                   .epoch_min = fleet->epoch };
  GString *url;
  char *name;

  if (fleet->writes->len == 0)
    return;
  part = g_array_index (fleet->writes, uint64_t, 0);
  name = g_strdup_printf ("%s%016" PRIx64, OBJECT_PREFIX, part);
  url = g_string_new (NULL);
  fleet->write_creates
      = quar_find (fleet->quarantine, part, &state) && state.version % 2 != 0;
  if (fleet->write_creates)
    {
      json_t *content
          = json_pack ("{s:s}", "part", name + strlen (OBJECT_PREFIX));

      request.body = fleet->store->object_body (name, content);
      json_decref (content);
    }
  fleet->store->object_url (url, fleet->kind,
                            fleet->write_creates ? NULL : name);
  request.method = fleet->write_creates ? "POST" : "DELETE";
  request.url = url->str;
  fleet->write_call = store_call_start (fleet->loop, fleet->pool, &request,
                                        on_written, fleet);
  if (fleet->write_call == NULL)
    on_written (fleet, &(struct store_response){ .status = 0 });
  g_string_free (url, TRUE);
  g_free (name);
}

/* Handles the response to a write.  HTTP_STATUS_CONFLICT means that another
   instance has created the object, HTTP_STATUS_NOT_FOUND that it is gone.  If
   the part has changed meanwhile, or the write failed, it is repeated.  */
static void
on_written (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;
  uint64_t part = g_array_index (fleet->writes, uint64_t, 0);
  struct quar_state state;
  int is_quarantined
      = quar_find (fleet->quarantine, part, &state) && state.version % 2 != 0;
  int is_written
      = response->epoch >= fleet->epoch
        && (http_is_success (response->status)
            || response->status
                   == (fleet->write_creates ? HTTP_STATUS_CONFLICT
                                            : HTTP_STATUS_NOT_FOUND));

  fleet->write_call = NULL;
  if (is_written && is_quarantined == fleet->write_creates)
    g_array_remove_index (fleet->writes, 0);
  ev_timer_stop (fleet->loop, &fleet->write_retry);
  if (fleet->writes->len == 0)
    return;
  ev_timer_set (&fleet->write_retry,
                is_written ? 0 : (double)WRITE_RETRY_MS / CLK_MS_PER_S, 0);
  ev_timer_start (fleet->loop, &fleet->write_retry);
}

static void
on_write_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  write_next (timer->data);
}
