/* Connections to servers, kept open between calls.  */
#include <string.h>
#include <unistd.h>

#include "ibisloom/metrics.h"
#include "libout.h"
#include "libsocket.h"

enum
{
  IDLE_CONNECTIONS_PER_ADDRESS_MAX = 8,
  USER_TIMEOUT_MS = 3000, /* limit for sent data to be acknowledged */
  KEEPALIVE_IDLE_S = 1
};

static void
free_queue (gpointer queue)
{
  g_queue_free (queue);
}

/* Prepares POOL for calls on LOOP.  */
void
out_pool_init (struct out_pool *pool, struct ev_loop *loop)
{
  memset (pool, 0, sizeof *pool);
  pool->loop = loop;
  pool->idle = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                      free_queue);
}

/* Returns ADDRESS as a 64-bit hash key.  */
static gint64
address_key (const struct sockaddr_in *address)
{
  return (gint64)(((uint64_t)address->sin_addr.s_addr << 16)
                  | address->sin_port);
}

/* Returns the queue of idle connections to ADDRESS, or NULL.  */
static GQueue *
find_idle_queue (struct out_pool *pool, const struct sockaddr_in *address)
{
  gint64 key = address_key (address);

  return g_hash_table_lookup (pool->idle, &key);
}

/* Closes all idle connections.  */
void
out_pool_clear (struct out_pool *pool)
{
  GHashTableIter iter;
  gpointer queue;

  g_hash_table_iter_init (&iter, pool->idle);
  while (g_hash_table_iter_next (&iter, NULL, &queue))
    while (!g_queue_is_empty (queue))
      out_conn_close (g_queue_peek_head (queue));
}

/* Closes the idle connections to ADDRESS, as one to it has gone dark.  */
void
out_pool_drop_idle (struct out_pool *pool, const struct sockaddr_in *address)
{
  GQueue *queue = find_idle_queue (pool, address);

  while (queue != NULL && !g_queue_is_empty (queue))
    out_conn_close (g_queue_peek_head (queue));
}

/* Starts a connection for REQUEST.  Returns NULL on error.  */
struct out_conn *
out_conn_open (struct out_pool *pool, const struct out_request *request)
{
  int fd = sock_connect (&request->address);
  struct out_conn *conn;

  if (fd < 0)
    return NULL;
  sock_set_options (fd, USER_TIMEOUT_MS, KEEPALIVE_IDLE_S);
  conn = g_new0 (struct out_conn, 1);
  conn->pool = pool;
  conn->address = request->address;
  conn->keep_alive_ms = OUT_KEEP_ALIVE_DEFAULT_MS;
  conn->state = CONN_CONNECTING;
  http_reader_init (&conn->reader, &out_reader_ops, 1, HTTP_HEAD_MAX_BYTES);
  ev_io_init (&conn->io, out_conn_handle_io, fd, EV_WRITE);
  conn->io.data = conn;
  ev_timer_init (&conn->timer, out_conn_handle_timer, 0, 0);
  conn->timer.data = conn;
  out_conn_set_timer (conn, request->connect_timeout_ms);
  pool->opened++;
  pool->open_count++;
  return conn;
}

/* Removes from the pool the most recently used idle connection to ADDRESS that
   is still usable.  Returns NULL if there is none.  */
struct out_conn *
out_conn_take_idle (struct out_pool *pool, const struct sockaddr_in *address)
{
  GQueue *queue = find_idle_queue (pool, address);
  struct out_conn *conn = queue ? g_queue_peek_head (queue) : NULL;

  /* A connection with input, or an end of input, that the event loop has not
     handled yet is unusable.  */
  while (conn != NULL && !sock_is_idle (conn->io.fd))
    {
      out_conn_close_idle (conn);
      conn = g_queue_peek_head (queue);
    }
  if (conn == NULL)
    return NULL;
  g_queue_pop_head (queue);
  pool->idle_count--;
  ev_timer_stop (pool->loop, &conn->timer);
  conn->state = CONN_ACTIVE;
  http_reader_clear (&conn->reader);
  return conn;
}

/* Adds CONN to the idle connections.  If its address has too many, the one
   that has been idle longest is closed.  */
void
out_conn_make_idle (struct out_conn *conn)
{
  GQueue *queue = find_idle_queue (conn->pool, &conn->address);
  gint64 *key;

  if (queue == NULL)
    {
      key = g_new (gint64, 1);
      *key = address_key (&conn->address);
      queue = g_queue_new ();
      g_hash_table_insert (conn->pool->idle, key, queue);
    }
  conn->is_reused = 1;
  conn->state = CONN_IDLE;
  http_reader_clear (&conn->reader);
  g_queue_push_head (queue, conn);
  conn->pool->idle_count++;
  if (queue->length > IDLE_CONNECTIONS_PER_ADDRESS_MAX)
    {
      out_conn_close (g_queue_peek_tail (queue));
      return;
    }
  out_conn_set_events (conn, EV_READ);
  out_conn_set_timer (conn, conn->keep_alive_ms);
}

/* Closes CONN, which is idle and was closed by the server, or has input that
   belongs to no call.  */
void
out_conn_close_idle (struct out_conn *conn)
{
  if (sock_has_bytes (conn->io.fd))
    metric_inc (METRIC_EXTRA_INPUT);
  out_conn_close (conn);
}

/* Closes and frees CONN, whose call has ended.  */
void
out_conn_close (struct out_conn *conn)
{
  struct out_pool *pool = conn->pool;

  if (conn->state == CONN_IDLE)
    {
      GQueue *queue = find_idle_queue (pool, &conn->address);

      g_queue_remove (queue, conn);
      pool->idle_count--;
    }
  ev_io_stop (pool->loop, &conn->io);
  ev_timer_stop (pool->loop, &conn->timer);
  close (conn->io.fd);
  http_reader_clear (&conn->reader);
  pool->open_count--;
  g_free (conn);
}

/* Sets the socket EVENTS to wait for; 0 stops waiting.  */
void
out_conn_set_events (struct out_conn *conn, int events)
{
  conn->events = events;
  ev_io_stop (conn->pool->loop, &conn->io);
  if (events == 0)
    return;
  ev_io_set (&conn->io, conn->io.fd, events);
  ev_io_start (conn->pool->loop, &conn->io);
}

/* Starts the timer of CONN, which expires after MS milliseconds.  */
void
out_conn_set_timer (struct out_conn *conn, int64_t ms)
{
  ev_timer_stop (conn->pool->loop, &conn->timer);
  ev_timer_set (&conn->timer, (double)(ms > 0 ? ms : 1) / CLK_MS_PER_S, 0);
  ev_timer_start (conn->pool->loop, &conn->timer);
}
