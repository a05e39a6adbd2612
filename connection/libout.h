/* Private to connection/outbound*.c: connections to servers.  */
#ifndef LIBOUT_H
#define LIBOUT_H

#include "ibisloom/outbound.h"

enum
{
  OUT_KEEP_ALIVE_DEFAULT_MS = 4000
};

enum out_conn_state
{
  CONN_CONNECTING,
  CONN_ACTIVE,
  CONN_IDLE
};

struct out_conn
{
  struct out_pool *pool;
  struct sockaddr_in address;
  ev_io io;
  ev_timer timer; /* time limit for connecting or being idle */
  int events;
  struct http_reader reader;
  struct out_call *call;
  int64_t keep_alive_ms;
  uint8_t state;
  uint8_t is_reused; /* carried an earlier call */
};

/* outbound.c */
extern const struct http_reader_ops out_reader_ops;

void out_conn_handle_io (struct ev_loop *loop, ev_io *io, int events);
void out_conn_handle_timer (struct ev_loop *loop, ev_timer *timer, int events);

/* outbound_pool.c */
struct out_conn *out_conn_open (struct out_pool *pool,
                                const struct out_request *request);
struct out_conn *out_conn_take_idle (struct out_pool *pool,
                                     const struct sockaddr_in *address);
void out_conn_make_idle (struct out_conn *conn);
void out_conn_close (struct out_conn *conn);
void out_conn_close_idle (struct out_conn *conn);
void out_conn_set_events (struct out_conn *conn, int events);
void out_conn_set_timer (struct out_conn *conn, int64_t ms);

#endif
