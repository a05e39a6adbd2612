/* Private to connection/client*.c: one connection of a client. */
#ifndef LIBCLIENT_H
#define LIBCLIENT_H

#include "ibisloom/client.h"

enum client_state
{
  CLIENT_READING,
  CLIENT_RESPONDING, /* a response is pending or being sent */
  CLIENT_CLOSING     /* waiting for the client to close the connection */
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
  GString *output;
  size_t output_offset;
  size_t body_share; /* of the pool of buffers, see buf_reserve */
  size_t output_share;
  void *request;
  uint8_t state;
  uint8_t chunked;
  uint8_t close_after;
  uint8_t is_head_request;
  uint8_t in_handler; /* inside the listener's request operation */
  uint8_t is_response_complete;
  uint8_t is_aborted;
  uint8_t is_crowded; /* no memory is left for more of its body or output */
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
void client_free_output (struct client *client);
void client_free_head (struct client *client);
void client_on_writable (struct ev_loop *loop, ev_io *watcher, int events);

#endif
