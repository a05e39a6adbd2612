/* Private to the fixtures: what the scripted store, targets and gates share.
 */
#ifndef LIBFIXTURE_H
#define LIBFIXTURE_H

#include <pthread.h>
#include <sys/types.h>

#include "gate_fixture.h"

struct fx_target
{
  char *id;
  char *service;
  char *state;
  int port;
  int listener;
  fx_behave_fn behave;
  int requests;
  int peer_closed;
  char *last;
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
struct gate_process
{
  pid_t pid;
  int front_port;
  int ready_port;
  int peer_port;
  int metrics_port;
  int store_port; /* of its link to the store, or 0 */
};

/* All that one test program plays. */
struct fx_world
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *changes; /* of struct change */
  long kept_from;     /* older history is gone */
  int store_is_down;
  int store_is_deaf; /* watches get no answer */
  int store_listener;
  int store_port;
  GArray *store_fds;
  GPtrArray *targets; /* of struct fx_target */
  struct gate_process gates[FX_GATES_MAX];
  char *directory; /* of the gates' settings */
};

extern struct fx_world fx_world;

/* socket_fixture.c */
int fx_listen_any (int *port);
int fx_dial (int port);
char *fx_read_request (int fd);
void fx_answer_json (int fd, const char *status, char *body);
void fx_start_thread (void *(*fn) (void *), void *closure);

/* store_fixture.c */
const struct change *fx_newest (const char *kind, const char *name);
void *fx_accept_store (void *closure);
void fx_put (const char *kind, const char *name, const char *spec);

#endif
