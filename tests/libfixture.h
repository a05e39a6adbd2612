/* Private to the fixtures: state and functions that they share. */
#ifndef LIBFIXTURE_H
#define LIBFIXTURE_H

#include <netinet/in.h>
#include <pthread.h>
#include <sys/types.h>

#include "router_fixture.h"

/* A scripted target. */
struct fx_target
{
  char *id;
  char *service;
  char *state;
  const char *zone;
  char *version;  /* NULL: its entry names none */
  int slots;      /* in its entry */
  gint64 born_ms; /* Unix time of its start; 0: its entry names none */
  int port;
  int listener;
  fx_handler_fn handler;
  int reports; /* entries written so far */
  int requests;
  int closed_by_router;
  int crashed;
  gint64 silent_until_us; /* it writes nothing before then */
  GArray *fds;            /* of its open connections */
  char *last_request;
};

/* A change of an object in the store, which creates a revision. */
struct change
{
  long revision;
  char *kind;
  char *name;
  char *spec; /* NULL if the change deletes the object */
};

/* Process and ports of a router. */
struct router_process
{
  pid_t pid;
  int starts; /* so far */
  int request_port;
  int readiness_port;
  int peer_port;
  int metrics_port;
  int store_port;   /* of its proxy to the store, or 0 */
  int is_apart;     /* it exchanges no datagrams with the others */
  GPtrArray *paths; /* of struct proxy, one to each target; NULL: none */
};

/* Test environment; LOCK guards what threads share. */
struct fx_env
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *changes;      /* of struct change */
  GPtrArray *lost;         /* of struct change, taken back by a restoration */
  char *store_epoch;       /* value of its header field; NULL: left out */
  long compacted_revision; /* earlier revisions are discarded */
  int store_down;
  int watches_blocked; /* watches get no response */
  int origin_reads;    /* calls for origins of streams, so far */
  int origin_writes;
  int lost_responses; /* to calls that change objects, still to be lost */
  int late_ms;        /* until these calls come into effect */
  const char *delayed_kind; /* whose list is delayed */
  int list_delay_ms;
  const char *split_kind; /* whose next list comes in two pages; or NULL */
  const char *split_name; /* of the object that is deleted between them */
  int store_listener;
  int store_port;
  GArray *store_fds;
  GPtrArray *targets; /* of struct fx_target */
  struct router_process routers[FX_ROUTERS_MAX];
  char *directory; /* of the routers' settings files */
};

extern struct fx_env fx_env;

/* socket_fixture.c */
int fx_listen (int *port);
int fx_listen_at (uint32_t ip, int *port);
int fx_listen_again (int port);
int fx_connect_port (int port);
char *fx_read_request (int fd);
void fx_respond_json (int fd, const char *status, const char *field,
                      char *body);
void fx_start_thread (void *(*fn) (void *), void *closure);

/* path_fixture.c */
struct sockaddr_in fx_path_address (int router);
char *fx_path_host (int router);
void fx_paths_add_target (const struct fx_target *target);
void fx_path_translate (int fd, const char *kind, char *body);

/* store_fixture.c */
const struct change *fx_store_latest_change (const char *kind,
                                             const char *name);
GPtrArray *fx_store_make_lost (void);
void *fx_store_accept_connections (void *closure);
void fx_store_add_change (const char *kind, const char *name,
                          const char *spec);

#endif
