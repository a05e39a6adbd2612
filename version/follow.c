/* Follows one kind of object in the platform's store.

   A whole list is read first, in pages, then a watch waits for what changes
   after it.  If the store has dropped that part of its history, or forgets
   where it was, the list is read again.  While the store does not answer,
   what was read stays in force.  */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/follow.h"
#include "ibisloom/log.h"

enum
{
  LIST_TIMEOUT_MS = 1500,
  /* Also how long a watch whose answer was lost goes unnoticed.  */
  WATCH_WAIT_MS = 6000,
  WATCH_PAUSE_MS = 250, /* in which changes that come together gather */
  WATCH_GRACE_MS = 1500,
  /* After an outage: answered at once, so that its end is known.  */
  WATCH_PROBE_MS = 1,
  RETRY_FIRST_MS = 150,
  RETRY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 3,
  STATUS_OK = 200,
  STATUS_GONE = 410
};

static void next_call (struct fol *fol);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void on_done (void *closure, uint32_t status, const char *text,
                     size_t length);
static void take_list (struct fol *fol, const char *text, size_t length);
static void take_watch (struct fol *fol, const char *text, size_t length);
static void mark_lost (struct fol *fol, const char *reason, uint32_t status);
static void mark_heard (struct fol *fol);
static void log_store (const struct fol *fol, const char *reason,
                       const char *cause, uint32_t status);
static void set_timer (struct fol *fol, int64_t ms);

/* Prepares FOL to follow KIND at the store at ADDRESS for SINK.  */
void
fol_init (struct fol *fol, const struct fol_dialect *dialect, const char *kind,
          const struct fol_sink *sink, struct ev_loop *loop,
          struct out_pool *pool, const struct sockaddr_in *address)
{
  memset (fol, 0, sizeof *fol);
  fol->dialect = dialect;
  fol->kind = kind;
  fol->sink = *sink;
  fol->loop = loop;
  fol->pool = pool;
  fol->address = *address;
  fol->after = g_string_new (NULL);
  fol->first_page = 1;
  fol->unwanted = 1;
  ev_timer_init (&fol->timer, on_timer, 0, 0);
  fol->timer.data = fol;
}

/* Starts with the whole list.  */
void
fol_start (struct fol *fol)
{
  next_call (fol);
}

/* Ends the call in progress and frees what FOL holds.  */
void
fol_stop (struct fol *fol)
{
  ev_timer_stop (fol->loop, &fol->timer);
  if (fol->call != NULL)
    store_call_cancel (fol->call);
  fol->call = NULL;
  if (fol->after != NULL)
    g_string_free (fol->after, TRUE);
  fol->after = NULL;
}

/* Lets FOL watch for changes, or not if others do.  The whole list is read in
   any case.  */
void
fol_want (struct fol *fol, int wanted)
{
  if (fol->unwanted == !wanted)
    return;
  fol->unwanted = !wanted;
  if (!fol->listed)
    return;
  if (wanted)
    {
      next_call (fol);
      return;
    }
  ev_timer_stop (fol->loop, &fol->timer);
  if (fol->call != NULL)
    store_call_cancel (fol->call);
  fol->call = NULL;
  fol->down = 0;
  fol->faults = 0;
}

/* Asks again at once, in place of a watch that does not answer.  */
void
fol_restart (struct fol *fol)
{
  if (fol->call == NULL || !fol->listed)
    return;
  store_call_cancel (fol->call);
  fol->call = NULL;
  log_store (fol, "restarted", "others_know_more", 0);
  next_call (fol);
}

/* Another instance has told all up to REVISION: a watch goes on from there,
   and a list is no longer needed.  */
void
fol_heard_elsewhere (struct fol *fol, uint64_t revision)
{
  fol->revision = MAX (fol->revision, revision);
  if (fol->listed || fol->call != NULL)
    return;
  fol->listed = 1;
}

/* Sends the call that is due: the list's next page, or a watch.  */
static void
next_call (struct fol *fol)
{
  GString *target;
  int64_t wait_ms = fol->down ? WATCH_PROBE_MS : WATCH_WAIT_MS;

  if (fol->listed && fol->unwanted)
    return;
  target = g_string_new (NULL);
  if (fol->listed)
    fol->dialect->watch_target (target, fol->kind, fol->revision, wait_ms);
  else
    fol->dialect->list_target (target, fol->kind,
                               fol->listing ? fol->after->str : NULL);
  fol->calls++;
  fol->call = store_call_start (
      fol->loop, fol->pool, &fol->address, "GET", target->str, NULL,
      fol->listed ? wait_ms + WATCH_GRACE_MS : LIST_TIMEOUT_MS, on_done, fol);
  g_string_free (target, TRUE);
  if (fol->call == NULL)
    mark_lost (fol, "no_socket", 0);
}

/* A pause is over.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  next_call (timer->data);
}

/* Acts on how a call ended.  */
static void
on_done (void *closure, uint32_t status, const char *text, size_t length)
{
  struct fol *fol = closure;

  fol->call = NULL;
  if (status == STATUS_OK && fol->listed)
    take_watch (fol, text, length);
  else if (status == STATUS_OK)
    take_list (fol, text, length);
  else if (status == STATUS_GONE)
    {
      mark_heard (fol);
      log_store (fol, "history_gone", NULL, status);
      fol->listed = 0;
      fol->listing = 0;
      fol->first_page = 1;
      /* Right after a list that is no change but a store at odds.  */
      set_timer (fol, fol->since_list == 0 ? RETRY_MAX_MS : 1);
    }
  else
    mark_lost (fol, status == 0 ? "no_answer" : "refused", status);
}

/* Takes a page of the list over and asks for the next, or for changes.  */
static void
take_list (struct fol *fol, const char *text, size_t length)
{
  struct fol_page page = { .last_name = fol->after };

  mark_heard (fol);
  if (!fol->listing)
    fol->sink.begin (fol->sink.closure);
  fol->listing = 1;
  if (fol->dialect->read_list (text, length, &page, fol->sink.object,
                               fol->sink.closure)
      != 0)
    {
      fol->listing = 0;
      fol->first_page = 1;
      mark_lost (fol, "unreadable", STATUS_OK);
      return;
    }
  /* What changed while the pages were read is told again by the watch.  */
  if (fol->first_page)
    fol->revision = page.revision;
  fol->first_page = !page.has_more;
  if (!page.has_more)
    {
      fol->listing = 0;
      fol->listed = 1;
      fol->since_list = 0;
      fol->sink.end (fol->sink.closure, page.revision);
    }
  next_call (fol);
}

/* Takes over what changed.  */
static void
take_watch (struct fol *fol, const char *text, size_t length)
{
  struct fol_page page = { .last_name = fol->after };

  mark_heard (fol);
  fol->since_list++;
  if (fol->dialect->read_watch (text, length, &page, fol->sink.object,
                                fol->sink.closure)
      != 0)
    {
      fol->listed = 0;
      fol->first_page = 1;
      mark_lost (fol, "unreadable", STATUS_OK);
      return;
    }
  if (page.revision > fol->revision)
    fol->revision = page.revision;
  set_timer (fol, WATCH_PAUSE_MS);
}

/* Waits before the next call, longer with each fault in a row.  */
static void
mark_lost (struct fol *fol, const char *reason, uint32_t status)
{
  uint32_t doublings = MIN (fol->faults, RETRY_DOUBLINGS_MAX);
  int64_t pause_ms = MIN ((int64_t)RETRY_FIRST_MS << doublings, RETRY_MAX_MS);

  fol->faults++;
  if (!fol->down)
    log_store (fol, "lost", reason, status);
  fol->down = 1;
  set_timer (fol, pause_ms / 2 + g_random_int_range (0, (gint32)pause_ms / 2));
}

/* The store answers.  */
static void
mark_heard (struct fol *fol)
{
  clk_ms now = clk_now (clk_monotonic ());

  if (fol->down)
    {
      fol->regained_ms = now;
      log_store (fol, "regained", NULL, STATUS_OK);
    }
  fol->down = 0;
  fol->faults = 0;
  fol->heard_ms = now;
}

/* Lets FOL's timer run out after MS milliseconds.  */
static void
set_timer (struct fol *fol, int64_t ms)
{
  ev_timer_stop (fol->loop, &fol->timer);
  ev_timer_set (&fol->timer, (double)ms / CLK_MS_PER_S, 0);
  ev_timer_start (fol->loop, &fol->timer);
}

/* Logs how FOL stands to the store: REASON, and the CAUSE if there is one.  */
static void
log_store (const struct fol *fol, const char *reason, const char *cause,
           uint32_t status)
{
  struct log_line line;
  clk_ms now = clk_now (clk_monotonic ());

  if (!log_begin (&line, LOG_LEVEL_WARN, "store", NULL, reason))
    return;
  log_text (&line, "kind", fol->kind);
  log_text (&line, "cause", cause);
  log_number (&line, "status", status);
  log_number (&line, "revision", (int64_t)fol->revision);
  log_number (&line, "heard_ms_ago", fol->heard_ms ? now - fol->heard_ms : -1);
  log_number (&line, "calls", (int64_t)fol->calls);
  log_end (&line);
}
