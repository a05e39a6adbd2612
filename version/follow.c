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
  CONNECT_MS = 1000,
  LIST_TIMEOUT_MS = 1500,
  WATCH_WAIT_MS = 20000,
  WATCH_GRACE_MS = 1500,
  RETRY_FIRST_MS = 150,
  RETRY_MAX_MS = 1000,
  RETRY_DOUBLINGS_MAX = 3,
  ANSWER_MAX_BYTES = 16777216,
  STATUS_OK = 200,
  STATUS_GONE = 410,
  MS_PER_S = 1000
};

static void next_call (struct fol *fol);
static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static int on_head (void *owner, const struct http_head *head, int64_t length);
static int on_data (void *owner, const char *data, size_t length);
static void on_end (void *owner);
static void on_fail (void *owner, enum out_fault fault);
static void take_list (struct fol *fol);
static void take_watch (struct fol *fol);
static void mark_lost (struct fol *fol, const char *reason);
static void mark_heard (struct fol *fol);
static void set_timer (struct fol *fol, int64_t ms);

static const struct out_ops call_ops = { on_head, on_data, on_end, on_fail };

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
    out_cancel (fol->call);
  fol->call = NULL;
  if (fol->answer != NULL)
    g_string_free (fol->answer, TRUE);
  fol->answer = NULL;
  if (fol->after != NULL)
    g_string_free (fol->after, TRUE);
  fol->after = NULL;
}

/* Sends the call that is due: the list's next page, or a watch.  */
static void
next_call (struct fol *fol)
{
  struct out_request request
      = { .address = fol->address, .connect_ms = CONNECT_MS };
  GString *head = g_string_new ("GET ");
  char *host
      = g_strdup_printf ("%u.%u.%u.%u", ((uint8_t *)&fol->address.sin_addr)[0],
                         ((uint8_t *)&fol->address.sin_addr)[1],
                         ((uint8_t *)&fol->address.sin_addr)[2],
                         ((uint8_t *)&fol->address.sin_addr)[3]);

  if (fol->listed)
    fol->dialect->watch_target (head, fol->kind, fol->revision, WATCH_WAIT_MS);
  else
    fol->dialect->list_target (head, fol->kind,
                               fol->listing ? fol->after->str : NULL);
  g_string_append_printf (head, " HTTP/1.1\r\nHost: %s:%u\r\n\r\n", host,
                          ntohs (fol->address.sin_port));
  g_free (host);
  request.head = head;
  fol->status = 0;
  fol->calls++;
  fol->answer = g_string_new (NULL);
  fol->call = out_start (fol->pool, &request, &call_ops, fol);
  if (fol->call == NULL)
    {
      mark_lost (fol, "no_socket");
      return;
    }
  set_timer (fol,
             fol->listed ? WATCH_WAIT_MS + WATCH_GRACE_MS : LIST_TIMEOUT_MS);
}

/* A call got no answer in time, or a pause is over.  */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fol *fol = timer->data;

  (void)loop;
  (void)events;
  if (fol->call == NULL)
    {
      next_call (fol);
      return;
    }
  out_cancel (fol->call);
  fol->call = NULL;
  mark_lost (fol, "timeout");
}

/* Takes the status of an answer.  */
static int
on_head (void *owner, const struct http_head *head, int64_t length)
{
  struct fol *fol = owner;

  (void)length;
  fol->status = head->status;
  return 0;
}

/* Collects the answer's body.  */
static int
on_data (void *owner, const char *data, size_t length)
{
  struct fol *fol = owner;

  if (fol->answer->len + length > ANSWER_MAX_BYTES)
    return -1;
  g_string_append_len (fol->answer, data, (gssize)length);
  return 0;
}

/* Acts on a whole answer.  */
static void
on_end (void *owner)
{
  struct fol *fol = owner;

  fol->call = NULL;
  ev_timer_stop (fol->loop, &fol->timer);
  if (fol->status == STATUS_OK && fol->listed)
    take_watch (fol);
  else if (fol->status == STATUS_OK)
    take_list (fol);
  else if (fol->status == STATUS_GONE)
    {
      mark_heard (fol);
      log_info ("store", NULL, "history_gone", "%s: list again", fol->kind);
      fol->listed = 0;
      fol->listing = 0;
      g_string_free (fol->answer, TRUE);
      fol->answer = NULL;
      next_call (fol);
    }
  else
    mark_lost (fol, fol->status == HTTP_STATUS_TOO_MANY_REQUESTS ? "rate"
                                                                 : "status");
}

/* The connection ended without an answer.  */
static void
on_fail (void *owner, enum out_fault fault)
{
  struct fol *fol = owner;

  (void)fault;
  fol->call = NULL;
  mark_lost (fol, "connection");
}

/* Takes a page of the list over and asks for the next, or for changes.  */
static void
take_list (struct fol *fol)
{
  struct fol_page page = { .last_name = fol->after };
  GString *answer = fol->answer;

  fol->answer = NULL;
  mark_heard (fol);
  if (!fol->listing)
    fol->sink.begin (fol->sink.closure);
  fol->listing = 1;
  if (fol->dialect->read_list (answer->str, answer->len, &page,
                               fol->sink.object, fol->sink.closure)
      != 0)
    {
      g_string_free (answer, TRUE);
      fol->listing = 0;
      mark_lost (fol, "unreadable");
      return;
    }
  g_string_free (answer, TRUE);
  if (fol->revision == 0 || !fol->listed)
    fol->revision = page.revision;
  if (!page.has_more)
    {
      fol->listing = 0;
      fol->listed = 1;
      fol->sink.end (fol->sink.closure, page.revision);
    }
  next_call (fol);
}

/* Takes over what changed.  */
static void
take_watch (struct fol *fol)
{
  struct fol_page page = { .last_name = fol->after };
  GString *answer = fol->answer;
  int result;

  fol->answer = NULL;
  mark_heard (fol);
  result = fol->dialect->read_watch (answer->str, answer->len, &page,
                                     fol->sink.object, fol->sink.closure);
  g_string_free (answer, TRUE);
  if (result != 0)
    {
      fol->listed = 0;
      mark_lost (fol, "unreadable");
      return;
    }
  if (page.revision > fol->revision)
    fol->revision = page.revision;
  next_call (fol);
}

/* Waits before the next call, longer with each fault in a row.  */
static void
mark_lost (struct fol *fol, const char *reason)
{
  uint32_t doublings = MIN (fol->faults, RETRY_DOUBLINGS_MAX);
  int64_t pause_ms = MIN ((int64_t)RETRY_FIRST_MS << doublings, RETRY_MAX_MS);

  if (fol->answer != NULL)
    g_string_free (fol->answer, TRUE);
  fol->answer = NULL;
  fol->faults++;
  if (!fol->down)
    log_warn ("store", NULL, "lost",
              "%s: %s, status %u; revision %" PRIu64 " stays in force",
              fol->kind, reason, fol->status, fol->revision);
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
      log_info ("store", NULL, "regained", "%s: revision %" PRIu64, fol->kind,
                fol->revision);
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
  ev_timer_set (&fol->timer, (double)ms / MS_PER_S, 0);
  ev_timer_start (fol->loop, &fol->timer);
}
