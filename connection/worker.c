/* Event loop of a worker thread: clients, targets, messages from other
   threads, and timers. */
#include <errno.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>

#include "ibisloom/error.h"
#include "libconnection.h"

enum
{
  EVENTS_MAX = 256,
  TICK_MS = 10,
  IDLE_TICK_MS = 100,
  STOP_CHECK_MS = 50
};

enum worker_message_kind
{
  MESSAGE_ADMISSION_REPLY,
  MESSAGE_LEDGER_REPLY
};

/* Message from another thread to the request with id TAG. */
struct worker_message
{
  enum worker_message_kind kind;
  uint64_t tag;
  struct peer_reply reply;
  struct ledger_reply ledger;
  char *content_type;
  char *body;
};

static void *run_loop (void *closure);
static void post_message (struct worker *worker,
                          struct worker_message *message);
static void deliver_messages (struct worker *worker);
static void deliver_message (struct worker *worker,
                             struct worker_message *message);
static int poll_timeout_ms (struct worker *worker, clk_ms now);
static void handle_events (struct worker *worker,
                           const struct epoll_event *events, int count);
static void run_timers (struct worker *worker, clk_ms now);
static int add_fd (struct worker *worker, int fd);

/* Returns worker INDEX of SERVER, with its listener bound, or NULL with ERROR
   set.  */
struct worker *
worker_new (struct server *server, int index, GError **error)
{
  struct worker *worker = g_new0 (struct worker, 1);
  const union MHD_DaemonInfo *info;

  worker->server = server;
  worker->index = index;
  worker->epoll = epoll_create1 (EPOLL_CLOEXEC);
  worker->inbox_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  pthread_mutex_init (&worker->inbox_lock, NULL);
  g_queue_init (&worker->inbox);
  worker->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  worker->customers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  worker->random = g_rand_new ();
  worker->frontend = frontend_start (worker, error);
  if (worker->frontend == NULL)
    return NULL;
  info = MHD_get_daemon_info (worker->frontend, MHD_DAEMON_INFO_EPOLL_FD);
  worker->frontend_fd = info->epoll_fd;
  backend_init (worker);
  if (add_fd (worker, worker->frontend_fd) != 0
      || add_fd (worker, worker->inbox_fd) != 0)
    {
      err_set (error, ERR_IO, "epoll: %s", g_strerror (errno));
      return NULL;
    }
  return worker;
}

/* Starts WORKER's thread.  */
void
worker_start (struct worker *worker)
{
  pthread_create (&worker->thread, NULL, run_loop, worker);
}

/* Waits for the end of WORKER's thread, which ends when the server is
   stopping.  */
void
worker_join (struct worker *worker)
{
  worker_wake (worker);
  pthread_join (worker->thread, NULL);
}

/* Frees WORKER after worker_join.  */
void
worker_free (struct worker *worker)
{
  MHD_stop_daemon (worker->frontend);
  backend_free (worker);
  g_hash_table_destroy (worker->requests);
  g_hash_table_destroy (worker->customers);
  g_rand_free (worker->random);
  close (worker->epoll);
  close (worker->inbox_fd);
  pthread_mutex_destroy (&worker->inbox_lock);
  g_free (worker);
}

/* Posts REPLY to the request with id TAG of the worker CLOSURE.  May be called
   from any thread.  */
void
worker_post_admission_reply (void *closure, uint64_t tag,
                             const struct peer_reply *reply)
{
  struct worker_message *message = g_new0 (struct worker_message, 1);

  message->kind = MESSAGE_ADMISSION_REPLY;
  message->tag = tag;
  message->reply = *reply;
  post_message (closure, message);
}

/* Posts a copy of REPLY to the request with id TAG of the worker CLOSURE.  May
   be called from any thread.  */
void
worker_post_ledger_reply (void *closure, uint64_t tag,
                          const struct ledger_reply *reply)
{
  struct worker_message *message = g_new0 (struct worker_message, 1);

  message->kind = MESSAGE_LEDGER_REPLY;
  message->tag = tag;
  message->ledger = *reply;
  message->content_type = g_strdup (reply->content_type);
  message->body = g_memdup2 (reply->body, reply->body_length);
  message->ledger.content_type = message->content_type;
  message->ledger.body = message->body;
  post_message (closure, message);
}

/* Wakes up the event loop of WORKER.  */
void
worker_wake (struct worker *worker)
{
  uint64_t one = 1;

  if (write (worker->inbox_fd, &one, sizeof one) < 0)
    return;
}

/* Queues MESSAGE.  WORKER is woken only if the queue was empty, since a
   wake-up is otherwise pending already.  */
static void
post_message (struct worker *worker, struct worker_message *message)
{
  int was_empty;

  pthread_mutex_lock (&worker->inbox_lock);
  was_empty = g_queue_is_empty (&worker->inbox);
  g_queue_push_tail (&worker->inbox, message);
  pthread_mutex_unlock (&worker->inbox_lock);
  if (was_empty)
    worker_wake (worker);
}

/* Runs the event loop until the server stops and no request is open.  An
   iteration holds one reference to the version in force, so that all its
   decisions are based on the same version.  */
static void *
run_loop (void *closure)
{
  struct worker *worker = closure;
  struct epoll_event events[EVENTS_MAX];

  worker->reader = ver_reader_new (worker->server->store);
  while (ck_pr_load_int (&worker->server->stopping) < 2
         || g_hash_table_size (worker->requests) > 0)
    {
      clk_ms now = clk_now (clk_monotonic ());
      int count = epoll_wait (worker->epoll, events, EVENTS_MAX,
                              poll_timeout_ms (worker, now));

      if (ck_pr_load_int (&worker->server->stopping) > 2)
        break;
      worker->version = ver_read_begin (worker->server->store, worker->reader);
      handle_events (worker, events, count);
      now = clk_now (clk_monotonic ());
      if (now >= worker->multi_due_ms)
        backend_handle_timeout (worker);
      backend_handle_completed (worker);
      deliver_messages (worker);
      if (now >= worker->next_tick_ms)
        run_timers (worker, now);
      if (worker->frontend_due)
        {
          worker->frontend_due = 0;
          MHD_run (worker->frontend);
        }
      ver_read_end (worker->reader);
    }
  ver_reader_free (worker->reader);
  return NULL;
}

/* Returns how long the loop may wait for events, in milliseconds.  */
static int
poll_timeout_ms (struct worker *worker, clk_ms now)
{
  clk_ms due;
  MHD_UNSIGNED_LONG_LONG frontend_ms;

  if (g_hash_table_size (worker->requests) > 0)
    worker->next_tick_ms = MIN (worker->next_tick_ms, now + TICK_MS);
  due = MIN (worker->next_tick_ms, worker->multi_due_ms);

  if (worker->frontend_due)
    return 0;
  if (MHD_get_timeout (worker->frontend, &frontend_ms) == MHD_YES)
    {
      if (frontend_ms == 0)
        {
          worker->frontend_due = 1;
          return 0;
        }
      due = MIN (due, now + (clk_ms)frontend_ms);
    }
  if (!g_queue_is_empty (&worker->inbox))
    return 0;
  return due > now ? (int)(due - now) : 0;
}

/* Handles COUNT ready EVENTS.  */
static void
handle_events (struct worker *worker, const struct epoll_event *events,
               int count)
{
  uint64_t ignored;

  for (int i = 0; i < count; i++)
    {
      int fd = events[i].data.fd;

      if (fd == worker->frontend_fd)
        worker->frontend_due = 1;
      else if (fd != worker->inbox_fd)
        backend_handle_socket (worker, fd, events[i].events);
      else if (read (worker->inbox_fd, &ignored, sizeof ignored) < 0)
        continue;
    }
}

/* Delivers all queued messages.  */
static void
deliver_messages (struct worker *worker)
{
  for (;;)
    {
      struct worker_message *message;

      pthread_mutex_lock (&worker->inbox_lock);
      message = g_queue_pop_head (&worker->inbox);
      pthread_mutex_unlock (&worker->inbox_lock);
      if (message == NULL)
        return;
      deliver_message (worker, message);
      g_free (message->content_type);
      g_free (message->body);
      g_free (message);
    }
}

/* Delivers MESSAGE to its request.  A grant for a request that has ended, or
   no longer waits for it, is released.  */
static void
deliver_message (struct worker *worker, struct worker_message *message)
{
  struct req *req = g_hash_table_lookup (worker->requests, &message->tag);

  if (message->kind == MESSAGE_LEDGER_REPLY)
    {
      if (req != NULL)
        req_on_ledger_reply (req, &message->ledger);
      return;
    }
  if (req != NULL && req->grant == message->reply.grant
      && req->phase == REQ_PLACING)
    req_on_admission_reply (req, &message->reply);
  else if (message->reply.verdict == ADM_GRANT)
    peer_release_grant (worker->server->peer, message->reply.grant,
                        ADM_OUTCOME_UNKNOWN);
}

/* Calls the timer handler of each request whose timer has expired.  */
static void
run_timers (struct worker *worker, clk_ms now)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  worker->next_tick_ms
      = now
        + (g_hash_table_size (worker->requests) > 0 ? TICK_MS : IDLE_TICK_MS);
  g_hash_table_iter_init (&iter, worker->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct req *)value)->timer_ms <= now)
      g_ptr_array_add (due, value);
  for (guint i = 0; i < due->len; i++)
    req_on_timer (g_ptr_array_index (due, i), now);
  g_ptr_array_free (due, TRUE);
}

/* Adds FD to the event loop, for input.  */
static int
add_fd (struct worker *worker, int fd)
{
  struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };

  return epoll_ctl (worker->epoll, EPOLL_CTL_ADD, fd, &event);
}
