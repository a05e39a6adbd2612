/* What a target says in a response of itself: that it is leaving, or that it
   wants no requests for a time. */
#include "librelay.h"

/* Fields that were found unreadable, in bad_notices of a target.  */
enum
{
  BAD_LEAVING = 1,
  BAD_PAUSE = 2
};

/* Least spread of the clients that are refused for a pause, which else would
   all come back at its end.  */
enum
{
  SPREAD_MIN_MS = 500
};

static void read_leaving (const struct relay *relay,
                          const struct relay_attempt *attempt,
                          const struct http_head *head);
static void read_pause (const struct relay *relay,
                        struct relay_attempt *attempt,
                        const struct http_head *head);
static void note_bad (const struct relay *relay, struct reg_target *target,
                      enum dialect_field field, const char *value, int flag);

/* Reads what HEAD, the response to ATTEMPT of RELAY, says of its target.  */
void
relay_read_notices (const struct relay *relay, struct relay_attempt *attempt,
                    const struct http_head *head)
{
  if (attempt->target->is_peer)
    return;
  read_leaving (relay, attempt, head);
  read_pause (relay, attempt, head);
}

static void
read_leaving (const struct relay *relay, const struct relay_attempt *attempt,
              const struct http_head *head)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (head, dialect->field[DIALECT_TARGET_LEAVING]);
  int is_leaving = 0;

  if (value == NULL)
    return;
  if (dialect->leaving (value, &is_leaving) != 0)
    note_bad (relay, attempt->target, DIALECT_TARGET_LEAVING, value,
              BAD_LEAVING);
  else if (is_leaving)
    fleet_observe_leaving (relay->router->fleet, attempt->target,
                           attempt->process);
}

/* Only a status of 503 comes with a pause.  */
static void
read_pause (const struct relay *relay, struct relay_attempt *attempt,
            const struct http_head *head)
{
  const struct dialect *dialect = relay->router->dialect;
  const char *value
      = http_head_get (head, dialect->field[DIALECT_RETRY_AFTER]);
  int64_t pause_ms = 0;

  attempt->asked_pause = 0;
  if (value == NULL || head->status != HTTP_STATUS_SERVICE_UNAVAILABLE)
    return;
  if (dialect->pause (value, &pause_ms) != 0)
    {
      note_bad (relay, attempt->target, DIALECT_RETRY_AFTER, value, BAD_PAUSE);
      return;
    }
  if (pause_ms == 0)
    return;
  attempt->asked_pause = 1;
  fleet_observe_pause (relay->router->fleet, attempt->target, attempt->process,
                       pause_ms);
}

/* Logs that FIELD of a response of TARGET has a VALUE that cannot be read,
   once for each process and FLAG, which stands for the field.  */
static void
note_bad (const struct relay *relay, struct reg_target *target,
          enum dialect_field field, const char *value, int flag)
{
  if (target->bad_notices & flag)
    return;
  target->bad_notices |= (uint8_t)flag;
  relay_log_bad_field (relay, target, relay->router->dialect->field[field],
                       value);
}

/* Returns the shortest time for which a target of RELAY's service is yet
   paused, or 0 if not all are that could take RELAY otherwise.  */
int64_t
relay_pause_left_ms (const struct relay *relay)
{
  const GPtrArray *targets = relay->router->registry->array;
  clk_ms now = clk_now (clk_monotonic ());
  int64_t shortest_ms = 0;

  for (guint i = 0; i < targets->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (targets, i);
      int64_t left_ms;

      if (target->service != relay->service || target->leaving
          || target->is_withheld || target->is_evacuated
          || target->missing_until_ms != 0
          || !relay_origin_fits (relay, target))
        continue;
      left_ms = pause_left_ms (&target->notice, now);
      if (left_ms == 0)
        return 0;
      if (shortest_ms == 0 || left_ms < shortest_ms)
        shortest_ms = left_ms;
    }
  return shortest_ms;
}

/* Returns over what time the clients are to be spread that are refused for a
   pause of which LEFT_MS are left: those that have had to wait for long over a
   longer one, as they are more.  */
int64_t
relay_pause_spread_ms (int64_t left_ms)
{
  return MAX (left_ms, SPREAD_MIN_MS);
}
