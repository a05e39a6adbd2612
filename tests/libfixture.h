/* Private to the fixtures: what the scripted store, targets and gates share.
 */
#ifndef LIBFIXTURE_H
#define LIBFIXTURE_H

#include <pthread.h>
#include <sys/types.h>

#include "router_fixture.h"

struct fx_target
{
  char *id;
  char *service;
  char *state;
  int port;
  int listener;
  fx_handler_fn handler;
  int requests;
  int closed_by_router;
  char *last_request;
};

/* One change of an object. */
struct change
{
  long revision;
  char *kind;
  char *name;
  char *spec; /* NULL: deleted */
};

/* One gate's process and ports. */
struct router_process
{
  pid_t pid;
  int request_port;
  int readiness_port;
  int peer_port;
  int metrics_port;
  int store_port; /* of its link to the store, or 0 */
};

/* All that one test program plays. */
struct fx_env
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *changes;      /* of struct change */
  long compacted_revision; /* older history is gone */
  int store_down;
  int watches_blocked; /* watches get no answer */
  int store_listener;
  int store_port;
  GArray *store_fds;
  GPtrArray *targets; /* of struct fx_target */
  struct router_process routers[FX_ROUTERS_MAX];
  char *directory; /* of the gates' settings */
};

extern struct fx_env fx_env;

/* socket_fixture.c */
int fx_listen (int *port);
int fx_connect_port (int port);
char *fx_read_request (int fd);
void fx_respond_json (int fd, const char *status, char *body);
void fx_start_thread (void *(*fn) (void *), void *closure);

/* store_fixture.c */
const struct change *fx_store_newest (const char *kind, const char *name);
void *fx_store_accept (void *closure);
void fx_store_add_change (const char *kind, const char *name,
                          const char *spec);

#endif
