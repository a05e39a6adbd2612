/* Follows one kind of object in the platform's store. */
#ifndef IBISLOOM_WATCH_H
#define IBISLOOM_WATCH_H

#include <ev.h>
#include <jansson.h>

#include "ibisloom/clock.h"
#include "ibisloom/storecall.h"

/* One object, or the news that it is gone. */
struct watch_object
{
  const char *name;
  uint64_t revision;
  int deleted;
  json_t *content;
};

/* What an answer of the store says besides its objects. */
struct watch_page
{
  uint64_t revision; /* up to which the answer is complete */
  int has_more;
  GString *last_name;
};

typedef void (*watch_object_fn) (void *closure,
                                 const struct watch_object *object);

/* How the store is spoken to; knows its paths and forms. */
struct watch_protocol
{
  /* Appends the request target of a call.  */
  void (*list_target) (GString *out, const char *kind, const char *after);
  void (*watch_target) (GString *out, const char *kind, uint64_t since,
                        int64_t wait_ms);
  void (*object_target) (GString *out, const char *kind, const char *name);
  /* Returns the body that creates the object NAME with CONTENT, newly
     allocated.  */
  char *(*object_body) (const char *name, const json_t *content);
  /* Reads an answer and tells each object.  Returns 0, or -1 if it cannot be
     read.  */
  int (*read_list) (const char *text, size_t length, struct watch_page *page,
                    watch_object_fn fn, void *closure);
  int (*read_watch) (const char *text, size_t length, struct watch_page *page,
                     watch_object_fn fn, void *closure);
};

/* Whom the objects are for. */
struct watch_sink
{
  void (*begin) (void *closure); /* a whole list follows */
  watch_object_fn object;
  void (*end) (void *closure, uint64_t revision); /* the list was whole */
  void *closure;
};

struct watch
{
  const struct watch_protocol *protocol;
  const char *kind;
  struct watch_sink sink;
  struct ev_loop *loop;
  struct out_pool *pool;
  struct sockaddr_in address;
  struct store_call *call;
  GString *after; /* name after which the list goes on */
  uint64_t revision;
  uint8_t listed; /* a list is complete: watch from revision */
  uint8_t listing;
  uint8_t first_page; /* its revision is where the watch starts */
  uint8_t down;
  uint8_t list_only; /* nothing is asked after the list; as at the start */
  uint32_t failures; /* in a row */
  uint32_t
      watches_since_list; /* watches that were answered since the last list */
  ev_timer timer;
  clk_ms answered_ms; /* the store's last proper answer */
  clk_ms regained_ms; /* first answer after the last outage */
  uint64_t calls;
};

void watch_init (struct watch *watch, const struct watch_protocol *protocol,
                 const char *kind, const struct watch_sink *sink,
                 struct ev_loop *loop, struct out_pool *pool,
                 const struct sockaddr_in *address);
void watch_start (struct watch *watch);
void watch_stop (struct watch *watch);
void watch_enable (struct watch *watch, int enabled);
void watch_restart (struct watch *watch);
void watch_advance (struct watch *watch, uint64_t revision);

#endif
