/* Private to connection/client*.c: one connection of a client. */
#ifndef LIBCLIENT_H
#define LIBCLIENT_H

#include "ibisloom/client.h"
#include "ibisloom/clock.h"

enum
{
  CLIENT_USER_TIMEOUT_MS = 10000 /* limit for sent data to be acknowledged */
};

enum client_state
{
  CLIENT_READING,
  CLIENT_RESPONDING, /* a response is pending or being sent */
  CLIENT_CLOSING     /* waiting for the client to close the connection */
};

/* Output that the socket is yet to accept, in blocks, which neither have to be
   moved as more comes nor kept once they are sent. */
struct client_output
{
  GQueue blocks;
  size_t length;
  size_t share;       /* of the pool of buffers */
  uint8_t is_crowded; /* the pool has too little left for it */
};

struct client
{
  struct client_listener *listener;
  GList link;
  ev_io readable;
  ev_io writable;
  ev_timer timer;
  struct http_reader reader;
  GString *body;
  GString *pipelined; /* input received after the current request */
  GString *head;      /* of a response, to be sent with what follows it */
  struct client_output output;
  size_t body_share; /* of the pool of buffers, see buf_reserve */
  /* While output is buffered: what the client's host has acknowledged of all
     that was sent, and since when it has been no more.  */
  uint64_t sent_bytes;
  uint64_t taken_bytes;
  clk_ms taken_ms;
  void *request;
  uint8_t state;
  uint8_t chunked;
  uint8_t close_after;
  uint8_t is_head_request;
  uint8_t in_handler; /* inside the listener's request operation */
  uint8_t is_response_complete;
  uint8_t is_aborted;
  uint8_t is_crowded; /* no memory is left for more of its body */
  uint8_t is_watched; /* output was buffered, see client_watch_reading */
  uint8_t has_received_request; /* a request was received on this connection */
};

/* client.c */
struct client *client_new (struct client_listener *listener, int fd);
void client_free (struct client *client);
void client_handle_disconnect (struct client *client);
void client_finish_response (struct client *client);
void client_next_request (struct client *client);
void client_start_closing (struct client *client);
void client_set_timer (struct client *client, int64_t ms);

/* client_response.c */
void client_write (struct client *client, const char *data, size_t length);
void client_free_head (struct client *client);
void client_on_writable (struct ev_loop *loop, ev_io *watcher, int events);

/* client_output.c */
void client_output_append (struct client_output *output, const char *data,
                           size_t length);
ssize_t client_output_send (struct client_output *output, int fd);
void client_output_reserve (struct client_output *output);
void client_output_clear (struct client_output *output);

/* client_slow.c */
void client_watch_reading (struct client *client);
void client_check_reading (struct client *client);
int client_may_get_more (const struct client *client);

#endif
