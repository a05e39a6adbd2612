/* Lists and watches the objects of one kind in the platform's store. */
#ifndef IBISLOOM_WATCH_H
#define IBISLOOM_WATCH_H

#include <ev.h>
#include <jansson.h>

#include "ibisloom/clock.h"
#include "ibisloom/json_scan.h"
#include "ibisloom/position.h"
#include "ibisloom/storecall.h"

/* Object in the store, or the deletion of one. */
struct watch_object
{
  const char *name;
  struct position position; /* of its last change, or of the deletion */
  int deleted;
  int is_deleting; /* still there, but being removed */
  json_t *content; /* NULL: missing, unreadable or not parsed */
  /* For sinks that take text: the content, and a difference from the content
     of an older version, of which one at least is empty.  */
  struct scan_text text;
  struct scan_text delta;
  uint8_t is_earlier; /* a later event of the same page was passed before */
};

/* Properties of a response to a list or watch, besides its objects. */
struct watch_page
{
  /* The response covers all changes up to here.  The caller sets the epoch. */
  struct position position;
  /* Contents are passed as text, not parsed, and the latest events first.  The
     caller sets it.  */
  uint8_t as_text;
  int has_more;       /* further pages follow; lists only */
  uint32_t nameless;  /* objects passed over, as their names are unreadable */
  GString *last_name; /* of the last object read */
};

typedef void (*watch_object_fn) (void *closure,
                                 const struct watch_object *object);

/* URLs and body formats of a platform's store. */
struct watch_protocol
{
  const char *epoch_field; /* header field of responses; see position.h */
  /* Append the URL of a call, without scheme and host, to OUT.  A list
     continues after the name AFTER, if not NULL; the store responds to a watch
     at the first change after SINCE, or after WAIT_MS.  NAME is NULL to create
     an object.  */
  void (*list_url) (GString *out, const char *kind, const char *after);
  void (*watch_url) (GString *out, const char *kind, uint64_t since,
                     int64_t wait_ms);
  void (*object_url) (GString *out, const char *kind, const char *name);
  /* Returns the body that creates the object NAME with CONTENT, newly
     allocated.  */
  char *(*object_body) (const char *name, const json_t *content);
  /* Parse a response and call FN for each object.  Return 0, or -1 if the
     response is malformed.  */
  int (*read_list) (const char *text, size_t length, struct watch_page *page,
                    watch_object_fn fn, void *closure);
  int (*read_watch) (const char *text, size_t length, struct watch_page *page,
                     watch_object_fn fn, void *closure);
  /* Parses a response that consists of one object.  Returns as above.  */
  int (*read_object) (const char *text, size_t length, watch_object_fn fn,
                      void *closure);
  /* Returns the body that replaces the content of the object NAME, newly
     allocated, if its revision is still REVISION.  */
  char *(*update_body) (const char *name, const json_t *content,
                        uint64_t revision);
  /* Appends to OUT the URL that removes the object NAME if its revision is
     still REVISION.  */
  void (*removal_url) (GString *out, const char *kind, const char *name,
                       uint64_t revision);
};

/* Callbacks that receive the objects. */
struct watch_sink
{
  void (*begin) (void *closure); /* before a list; its objects follow */
  watch_object_fn object;
  /* The list is complete up to POSITION.  */
  void (*end) (void *closure, struct position position);
  void *closure;
  uint8_t takes_text; /* contents are not to be parsed */
};

enum
{
  WATCH_GROUP_MAX = 4
};

struct watch;

/* Watches of one instance.  A response to one of them shows the others that
   the store is back. */
struct watch_group
{
  struct watch *members[WATCH_GROUP_MAX];
  uint32_t count;
};

/* State of the list and the watch of one kind. */
struct watch
{
  struct watch_group *group;
  const struct watch_protocol *protocol;
  const char *kind;
  struct watch_sink sink;
  struct ev_loop *loop;
  struct out_pool *pool;
  struct sockaddr_in address;
  struct store_call *call;
  GString *after; /* last name received; the next page starts there */
  struct position position; /* all changes up to here are known */
  uint64_t epoch;     /* highest that is known; older responses are ignored */
  uint8_t listed;     /* the list is known; the watch starts at revision */
  uint8_t listing;    /* some but not all pages of a list have been read */
  uint8_t first_page; /* the next page is the first of a list */
  uint8_t checking;   /* the watch got no response; a short one is tried */
  uint8_t short_next; /* the store is to hold the next watch for no time */
  uint8_t down;       /* the last call failed */
  uint8_t list_only;  /* does not watch after the list; initial state */
  uint32_t failures;  /* consecutive */
  uint32_t watches_since_list; /* that got a response */
  ev_timer timer;
  int64_t wait_ms;         /* longest time that the store holds a watch */
  int64_t interval_ms;     /* between watches, to batch frequent changes */
  clk_ms last_response_ms; /* last response with status 200 or 410; 0: none */
  clk_ms regained_ms;      /* first such response after an outage; 0: none */
  uint64_t calls;          /* made so far */
};

void watch_init (struct watch *watch, const struct watch_protocol *protocol,
                 const char *kind, const struct watch_sink *sink,
                 struct ev_loop *loop, struct out_pool *pool,
                 const struct sockaddr_in *address);
void watch_join (struct watch *watch, struct watch_group *group);
void watch_set_pace (struct watch *watch, int64_t wait_ms,
                     int64_t interval_ms);
void watch_start (struct watch *watch);
void watch_stop (struct watch *watch);
void watch_enable (struct watch *watch, int enabled);
void watch_restart (struct watch *watch);
int watch_read_again (struct watch *watch, const char *cause);
void watch_set_epoch (struct watch *watch, uint64_t epoch);
void watch_advance (struct watch *watch, struct position position);

#endif
