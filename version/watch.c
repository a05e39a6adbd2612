/* Lists and watches the objects of one kind in the platform's store.

   The complete list is read first, page by page.  A long poll, the watch, then
   waits for changes after the revision of the list.  If the store no longer
   has its history since then, as after the loss of its data, or if a response
   to the watch is malformed, the list is read again.  While the store does not
   respond, the objects read so far stay valid.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/watch.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"

enum
{
  LIST_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 6000, /* until watch_set_pace sets other times */
  WATCH_INTERVAL_MS = 250,
  WATCH_OVERDUE_MS = 500, /* after the time that the store holds it */
  /* Watch in an outage: the store responds at once, so that the recovery is
     detected without waiting for a change.  */
  PROBE_WAIT_MS = 1,
  /* Every other probe ends early, as one that was sent just before the store
     came back gets no response.  */
  PROBE_TIMEOUT_MS = 1500,
  PROBE_TIMEOUT_SHORT_MS = 500,
  RETRY_MIN_MS = 150,
  RETRY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 3,
  STATUS_OK = 200,
  STATUS_GONE = 410
};

/* Least share of its longest time that the store is asked to hold a watch. */
static const double WAIT_SHARE_MIN = 0.75;

static void start_next_call (struct watch *watch);
static int64_t next_wait_ms (const struct watch *watch);
static int64_t call_timeout_ms (const struct watch *watch, int64_t wait_ms);
static void start_call_again (struct watch *watch, const char *cause);
static void restart_others (const struct watch *watch);
static void handle_no_answer (struct watch *watch);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void on_call_done (void *closure,
                          const struct store_response *response);
static int is_continued (const struct watch *watch, uint64_t epoch);
static void handle_gone (struct watch *watch);
static void restart_list (struct watch *watch, int64_t ms);
static void handle_list (struct watch *watch,
                         const struct store_response *response);
static void handle_changes (struct watch *watch,
                            const struct store_response *response);
static void handle_failure (struct watch *watch, const char *reason,
                            uint32_t status);
static void record_response (struct watch *watch, uint64_t epoch);
static void note_nameless (const struct watch *watch,
                           const struct watch_page *page);
static void log_watch (const struct watch *watch, const char *reason,
                       const char *cause, uint32_t status);
static void start_timer (struct watch *watch, int64_t ms);

/* Initializes WATCH to pass the objects of KIND in the store at ADDRESS to
   SINK.  It reads the list only, until watch_enable.  */
void
watch_init (struct watch *watch, const struct watch_protocol *protocol,
            const char *kind, const struct watch_sink *sink,
            struct ev_loop *loop, struct out_pool *pool,
            const struct sockaddr_in *address)
{
  memset (watch, 0, sizeof *watch);
  watch->protocol = protocol;
  watch->kind = kind;
  watch->sink = *sink;
  watch->loop = loop;
  watch->pool = pool;
  watch->address = *address;
  watch->after = g_string_new (NULL);
  watch->first_page = 1;
  watch->list_only = 1;
  watch->wait_ms = WATCH_WAIT_MS;
  watch->interval_ms = WATCH_INTERVAL_MS;
  ev_timer_init (&watch->timer, on_timer, 0, 0);
  watch->timer.data = watch;
}

/* Makes WATCH, which is initialized, one of GROUP, which outlives it.  */
void
watch_join (struct watch *watch, struct watch_group *group)
{
  g_return_if_fail (group->count < WATCH_GROUP_MAX);
  watch->group = group;
  group->members[group->count++] = watch;
}

/* From the next watch on, the store holds it for WAIT_MS at most, and
   INTERVAL_MS pass before the one after it.  The loss of a response is
   detected WATCH_OVERDUE_MS after the former.  */
void
watch_set_pace (struct watch *watch, int64_t wait_ms, int64_t interval_ms)
{
  watch->wait_ms = wait_ms;
  watch->interval_ms = interval_ms;
}

/* Starts to read the list.  */
void
watch_start (struct watch *watch)
{
  start_next_call (watch);
}

/* Cancels the call in progress and frees the memory that WATCH holds.  */
void
watch_stop (struct watch *watch)
{
  ev_timer_stop (watch->loop, &watch->timer);
  if (watch->call != NULL)
    store_call_cancel (watch->call);
  watch->call = NULL;
  if (watch->after != NULL)
    g_string_free (watch->after, TRUE);
  watch->after = NULL;
}

/* Starts to watch for changes if ENABLED, or stops.  Instances that do not
   watch receive changes from those that do.  The list is read in any case.  */
void
watch_enable (struct watch *watch, int enabled)
{
  if (watch->list_only == !enabled)
    return;
  watch->list_only = !enabled;
  if (!watch->listed)
    return;
  if (enabled)
    {
      start_next_call (watch);
      return;
    }
  ev_timer_stop (watch->loop, &watch->timer);
  if (watch->call != NULL)
    store_call_cancel (watch->call);
  watch->call = NULL;
  watch->checking = 0;
  watch->down = 0;
  watch->failures = 0;
}

/* Replaces the watch in progress by a new one, because another instance has
   changes that the watch has not delivered.  */
void
watch_restart (struct watch *watch)
{
  if (watch->listed)
    start_call_again (watch, "others_know_more");
}

/* Reads the list again, because of CAUSE, which is logged, if WATCH has read
   it and watches for changes.  Returns whether it does.  */
int
watch_read_again (struct watch *watch, const char *cause)
{
  if (!watch->listed || watch->list_only || watch->down)
    return 0;
  if (watch->call != NULL)
    store_call_cancel (watch->call);
  watch->call = NULL;
  log_watch (watch, "restarted", cause, 0);
  restart_list (watch, 1);
  return 1;
}

/* Replaces the call in progress, if there is one, by a new one, because of
   CAUSE, which is logged.  */
static void
start_call_again (struct watch *watch, const char *cause)
{
  if (watch->call == NULL)
    return;
  store_call_cancel (watch->call);
  watch->call = NULL;
  log_watch (watch, "restarted", cause, 0);
  start_next_call (watch);
}

/* Called at the first response after a call of WATCH got none.  Calls of the
   rest of the group that are in progress may never get one: they are replaced
   by short ones, and pauses end.  */
static void
restart_others (const struct watch *watch)
{
  for (uint32_t i = 0; watch->group != NULL && i < watch->group->count; i++)
    {
      struct watch *other = watch->group->members[i];

      if (other == watch)
        continue;
      other->short_next = 1;
      if (other->call != NULL)
        {
          other->regained_ms = watch->regained_ms;
          start_call_again (other, "store_is_back");
        }
      else if (other->down)
        start_timer (other, 1);
    }
}

/* Called when the store is known to be in EPOCH.  A watch that began in an
   older one reads the list again.  */
void
watch_set_epoch (struct watch *watch, uint64_t epoch)
{
  if (epoch <= watch->epoch)
    return;
  watch->epoch = epoch;
  if (watch->call == NULL || !watch->listed)
    return;
  store_call_cancel (watch->call);
  watch->call = NULL;
  watch->regained_ms = clk_now (clk_monotonic ());
  log_watch (watch, "restarted", "epoch", 0);
  restart_list (watch, 1);
}

/* Called when all changes up to POSITION were received from another instance.
   The next watch starts there.  Unless a call is in progress, the list is no
   longer read either.  */
void
watch_advance (struct watch *watch, struct position position)
{
  watch->position = pos_max (watch->position, position);
  watch->epoch = MAX (watch->epoch, position.epoch);
  if (watch->listed || watch->call != NULL)
    return;
  watch->listed = 1;
}

/* Requests the next page of the list, or starts a watch once the list is
   complete.  */
static void
start_next_call (struct watch *watch)
{
  GString *url;
  int64_t wait_ms = next_wait_ms (watch);
  struct store_request request
      = { .address = watch->address,
          .method = "GET",
          .timeout_ms = call_timeout_ms (watch, wait_ms),
          .epoch_field = watch->protocol->epoch_field,
          .epoch_min = watch->epoch };

  if (watch->listed && watch->list_only)
    return;
  url = g_string_new (NULL);
  if (watch->listed)
    watch->protocol->watch_url (url, watch->kind, watch->position.revision,
                                wait_ms);
  else
    watch->protocol->list_url (url, watch->kind,
                               watch->listing ? watch->after->str : NULL);
  watch->calls++;
  watch->short_next = 0;
  request.url = url->str;
  watch->call = store_call_start (watch->loop, watch->pool, &request,
                                  on_call_done, watch);
  g_string_free (url, TRUE);
  if (watch->call == NULL)
    handle_failure (watch, "no_socket", 0);
}

/* Returns for how many milliseconds the store is to hold the next watch.  */
static int64_t
next_wait_ms (const struct watch *watch)
{
  if (watch->down || watch->checking || watch->short_next)
    return PROBE_WAIT_MS;
  return (int64_t)((double)watch->wait_ms
                   * g_random_double_range (WAIT_SHARE_MIN, 1));
}

/* Returns after how many milliseconds the next call has failed, if it is a
   watch that the store holds for WAIT_MS.  */
static int64_t
call_timeout_ms (const struct watch *watch, int64_t wait_ms)
{
  if (!watch->listed)
    return LIST_TIMEOUT_MS;
  if (watch->checking || watch->short_next)
    return PROBE_TIMEOUT_MS;
  if (watch->down)
    return watch->failures % 2 != 0 ? PROBE_TIMEOUT_SHORT_MS
                                    : PROBE_TIMEOUT_MS;
  return wait_ms + WATCH_OVERDUE_MS;
}

/* Makes the next call when the pause is over.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  start_next_call (timer->data);
}

/* Handles RESPONSE to a call.  STATUS_GONE means that the store no longer has
   its history since the revision of the watch.  A response of a newer epoch
   than the list or the watch began with cannot continue it, since its
   revisions are numbered anew; one of an older epoch than is known is
   late.  */
static void
on_call_done (void *closure, const struct store_response *response)
{
  struct watch *watch = closure;
  uint32_t status = response->status;

  watch->call = NULL;
  if (status == 0)
    handle_no_answer (watch);
  else if (status != STATUS_OK && status != STATUS_GONE)
    handle_failure (watch, "refused", status);
  else if (response->epoch < watch->epoch)
    handle_failure (watch, "older_epoch", status);
  else
    {
      int continues = is_continued (watch, response->epoch);

      record_response (watch, response->epoch);
      if (status == STATUS_GONE)
        handle_gone (watch);
      else if (!continues)
        restart_list (watch, 1);
      else if (watch->listed)
        handle_changes (watch, response);
      else
        handle_list (watch, response);
    }
}

/* Returns whether a response in EPOCH continues the list or the watch.  The
   first page of a list has nothing to continue.  */
static int
is_continued (const struct watch *watch, uint64_t epoch)
{
  return (!watch->listed && watch->first_page)
         || epoch == watch->position.epoch;
}

/* Handles that the store no longer has its history since the revision of the
   watch.  If no watch has received a response since the list, the store has
   contradicted its own list; the pause keeps list and watch from alternating
   without limit.  */
static void
handle_gone (struct watch *watch)
{
  log_watch (watch, "history_gone", NULL, STATUS_GONE);
  restart_list (watch, watch->watches_since_list == 0 ? RETRY_MAX_MS : 1);
}

/* Reads the list again from its first page, in MS milliseconds.  */
static void
restart_list (struct watch *watch, int64_t ms)
{
  watch->listed = 0;
  watch->listing = 0;
  watch->first_page = 1;
  start_timer (watch, ms);
}

/* Handles RESPONSE, a page of the list, and requests the next one.  After the
   last page a watch starts.  */
static void
handle_list (struct watch *watch, const struct store_response *response)
{
  struct watch_page page = { .position.epoch = response->epoch,
                             .as_text = watch->sink.takes_text,
                             .last_name = watch->after };

  if (!watch->listing)
    watch->sink.begin (watch->sink.closure);
  watch->listing = 1;
  if (watch->protocol->read_list (response->text, response->length, &page,
                                  watch->sink.object, watch->sink.closure)
      != 0)
    {
      watch->listing = 0;
      watch->first_page = 1;
      handle_failure (watch, "unreadable", STATUS_OK);
      return;
    }
  note_nameless (watch, &page);
  /* The list is complete up to the revision of the first page only, where the
     watch starts, since an object may have changed after its page was read. */
  if (watch->first_page)
    watch->position = page.position;
  watch->first_page = !page.has_more;
  if (!page.has_more)
    {
      watch->listing = 0;
      watch->listed = 1;
      watch->watches_since_list = 0;
      watch->sink.end (watch->sink.closure, watch->position);
    }
  start_next_call (watch);
}

/* Handles RESPONSE to a watch.  */
static void
handle_changes (struct watch *watch, const struct store_response *response)
{
  struct watch_page page = { .position.epoch = response->epoch,
                             .as_text = watch->sink.takes_text,
                             .last_name = watch->after };

  watch->watches_since_list++;
  if (watch->protocol->read_watch (response->text, response->length, &page,
                                   watch->sink.object, watch->sink.closure)
      != 0)
    {
      watch->listed = 0;
      watch->first_page = 1;
      handle_failure (watch, "unreadable", STATUS_OK);
      return;
    }
  note_nameless (watch, &page);
  watch->position = pos_max (watch->position, page.position);
  start_timer (watch, watch->interval_ms);
}

/* Counts and logs the objects of PAGE whose names cannot be read.  */
static void
note_nameless (const struct watch *watch, const struct watch_page *page)
{
  struct log_line line;

  if (page->nameless == 0)
    return;
  metric_add (METRIC_STORE_UNREADABLE, page->nameless);
  if (!log_begin (&line, LOG_LEVEL_WARN, "store", NULL, "nameless"))
    return;
  log_text (&line, "kind", watch->kind);
  log_number (&line, "objects", page->nameless);
  log_number (&line, "epoch", (int64_t)page->position.epoch);
  log_number (&line, "revision", (int64_t)page->position.revision);
  log_end (&line);
}

/* Handles a call without a response.  If it is a watch that the store held,
   its connection may have failed alone, and a short one follows at once.  */
static void
handle_no_answer (struct watch *watch)
{
  if (!watch->listed || watch->checking || watch->down)
    {
      handle_failure (watch, "no_answer", 0);
      return;
    }
  watch->checking = 1;
  metric_inc (METRIC_WATCH_CHECKS);
  log_watch (watch, "overdue", NULL, 0);
  start_next_call (watch);
}

/* Handles a failed call: retries after a pause that doubles with each
   consecutive failure up to RETRY_MAX_MS, with random jitter.  REASON is
   logged for the first failure only.  */
static void
handle_failure (struct watch *watch, const char *reason, uint32_t status)
{
  uint32_t doublings = MIN (watch->failures, RETRY_DOUBLINGS_MAX);
  int64_t pause_ms = MIN ((int64_t)RETRY_MIN_MS << doublings, RETRY_MAX_MS);

  watch->failures++;
  if (!watch->down)
    log_watch (watch, "lost", reason, status);
  watch->checking = 0;
  watch->down = 1;
  start_timer (watch,
               pause_ms / 2 + g_random_int_range (0, (gint32)pause_ms / 2));
}

/* Records a response of the store in EPOCH, and logs the end of an outage and
   a new epoch.  The store may have lost entries in both.  A watch that was
   overdue may have missed an outage.  */
static void
record_response (struct watch *watch, uint64_t epoch)
{
  clk_ms now = clk_now (clk_monotonic ());
  int is_regained = watch->down || watch->checking;

  if (is_regained)
    {
      watch->regained_ms = now;
      log_watch (watch, "regained", NULL, STATUS_OK);
    }
  watch->down = 0;
  watch->checking = 0;
  watch->failures = 0;
  watch->last_response_ms = now;
  if (is_regained)
    restart_others (watch);
  if (epoch == watch->epoch)
    return;
  watch->regained_ms = now;
  watch->epoch = epoch;
  log_watch (watch, "epoch", watch->listed ? "watch" : "list", STATUS_OK);
}

/* Schedules the next call in MS milliseconds.  */
static void
start_timer (struct watch *watch, int64_t ms)
{
  ev_timer_stop (watch->loop, &watch->timer);
  ev_timer_set (&watch->timer, (double)ms / CLK_MS_PER_S, 0);
  ev_timer_start (watch->loop, &watch->timer);
}

/* Logs a change of the connection to the store: REASON, the CAUSE, which may
   be NULL, and the HTTP STATUS.  */
static void
log_watch (const struct watch *watch, const char *reason, const char *cause,
           uint32_t status)
{
  struct log_line line;
  clk_ms now = clk_now (clk_monotonic ());

  if (!log_begin (&line, LOG_LEVEL_WARN, "store", NULL, reason))
    return;
  log_text (&line, "kind", watch->kind);
  log_text (&line, "cause", cause);
  log_number (&line, "status", status);
  log_number (&line, "epoch", (int64_t)watch->epoch);
  log_number (&line, "revision", (int64_t)watch->position.revision);
  log_number (&line, "heard_ms_ago",
              watch->last_response_ms ? now - watch->last_response_ms : -1);
  log_number (&line, "calls", (int64_t)watch->calls);
  log_end (&line);
}
