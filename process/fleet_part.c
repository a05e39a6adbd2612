/* The objects in the store that stand for the parts in quarantine, from where
   instances read them when they start.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/http.h"
#include "libfleet.h"

enum
{
  WRITES_MAX = QUAR_STATES_MAX,
  WRITE_TIMEOUT_MS = 1500,
  WRITE_RETRY_MS = 700
};

/* Names of the objects. */
static const char OBJECT_PREFIX[] = "part-";

static void write_next (struct fleet *fleet);
static void on_written (void *closure, const struct store_response *response);
static void on_write_due (struct ev_loop *loop, ev_timer *timer, int events);

/* Prepares FLEET to write parts.  */
void
fleet_part_init (struct fleet *fleet)
{
  fleet->writes = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  ev_timer_init (&fleet->write_retry, on_write_due, 0, 0);
  fleet->write_retry.data = fleet;
}

/* Undoes fleet_part_init.  */
void
fleet_part_clear (struct fleet *fleet)
{
  if (fleet->write_call != NULL)
    store_call_cancel (fleet->write_call);
  ev_timer_stop (fleet->loop, &fleet->write_retry);
  g_array_free (fleet->writes, TRUE);
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
    if (fleet_ranks_first (fleet, state.part, now))
      {
        fleet_write_part (fleet, state.part);
        count++;
      }
  return count;
}

/* Has the state of PART written to the store.  */
void
fleet_write_part (struct fleet *fleet, uint64_t part)
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
