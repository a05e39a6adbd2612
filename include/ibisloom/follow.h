/* Follows one kind of object in the platform's store. */
#ifndef IBISLOOM_FOLLOW_H
#define IBISLOOM_FOLLOW_H

#include <ev.h>
#include <jansson.h>

#include "ibisloom/clock.h"
#include "ibisloom/storecall.h"

/* One object, or the news that it is gone. */
struct fol_object
{
  const char *name;
  uint64_t revision;
  int deleted;
  json_t *content;
};

/* What an answer of the store says besides its objects. */
struct fol_page
{
  uint64_t revision; /* up to which the answer is complete */
  int has_more;
  GString *last_name;
};

typedef void (*fol_object_fn) (void *closure, const struct fol_object *object);

/* How the store is spoken to; knows its paths and forms. */
struct fol_dialect
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
  int (*read_list) (const char *text, size_t length, struct fol_page *page,
                    fol_object_fn fn, void *closure);
  int (*read_watch) (const char *text, size_t length, struct fol_page *page,
                     fol_object_fn fn, void *closure);
};

/* Whom the objects are for. */
struct fol_sink
{
  void (*begin) (void *closure); /* a whole list follows */
  fol_object_fn object;
  void (*end) (void *closure, uint64_t revision); /* the list was whole */
  void *closure;
};

struct fol
{
  const struct fol_dialect *dialect;
  const char *kind;
  struct fol_sink sink;
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
  uint8_t unwanted;    /* nothing is asked after the list; as at the start */
  uint32_t faults;     /* in a row */
  uint32_t since_list; /* watches that were answered since the last list */
  ev_timer timer;
  clk_ms heard_ms;    /* the store's last proper answer */
  clk_ms regained_ms; /* first answer after the last outage */
  uint64_t calls;
};

void fol_init (struct fol *fol, const struct fol_dialect *dialect,
               const char *kind, const struct fol_sink *sink,
               struct ev_loop *loop, struct out_pool *pool,
               const struct sockaddr_in *address);
void fol_start (struct fol *fol);
void fol_stop (struct fol *fol);
void fol_want (struct fol *fol, int wanted);
void fol_restart (struct fol *fol);
void fol_heard_elsewhere (struct fol *fol, uint64_t revision);

#endif
