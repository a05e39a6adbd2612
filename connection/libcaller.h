/* Private to connection/caller*.c: a connection of a caller. */
#ifndef LIBCALLER_H
#define LIBCALLER_H

#include "ibisloom/caller.h"

enum caller_state
{
  CALLER_READING,
  CALLER_ANSWERING, /* a request is with the site */
  CALLER_CLOSING    /* the answer is out, the peer's close is awaited */
};

struct caller
{
  struct caller_site *site;
  GList link;
  ev_io readable;
  ev_io writable;
  ev_timer timer;
  struct http_reader reader;
  GString *body;
  GString *ahead; /* bytes read beyond the request at hand */
  GString *out;
  size_t out_at;
  void *request;
  uint8_t state;
  uint8_t chunked;
  uint8_t close_after;
  uint8_t is_head;
  uint8_t entered; /* inside the site's request operation */
  uint8_t answered;
  uint8_t dead;
  uint8_t served; /* the connection has carried a request */
};

/* caller.c */
struct caller *caller_new (struct caller_site *site, int fd);
void caller_free (struct caller *caller);
void caller_lose (struct caller *caller);
void caller_finish_answer (struct caller *caller);
void caller_next_request (struct caller *caller);
void caller_start_closing (struct caller *caller);
void caller_set_timer (struct caller *caller, int64_t ms);

/* caller_answer.c */
void caller_write (struct caller *caller, const char *data, size_t length);
void caller_on_writable (struct ev_loop *loop, ev_io *watcher, int events);

#endif
