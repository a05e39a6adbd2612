/* Private to connection/ and request/: the event loop of one worker. */
#ifndef LIBCONNECTION_H
#define LIBCONNECTION_H

#include <pthread.h>

#include "librequest.h"

/* Requests of one customer that wait for admission at one worker. */
struct worker_customer
{
  int waiting;
  clk_ms denied_ms; /* when its share was last found in use */
};

struct worker
{
  struct server *server;
  pthread_t thread;
  int index;
  int epoll;
  int mail_fd;
  pthread_mutex_t mail_lock;
  GQueue mail;
  struct MHD_Daemon *front;
  int front_fd;
  int front_due;
  CURLM *multi;
  clk_ms multi_due_ms;
  GPtrArray *idle;       /* of CURL *, to be used again */
  GHashTable *requests;  /* id to struct req */
  GHashTable *customers; /* id to struct worker_customer */
  uint64_t next_id;
  struct ver_reader *reader;
  const struct ver_snapshot *version;
  clk_ms next_tick_ms;
  GRand *random;
};

/* worker.c */
struct worker *worker_new (struct server *server, int index, GError **error);
void worker_start (struct worker *worker);
void worker_join (struct worker *worker);
void worker_free (struct worker *worker);
void worker_post_reply (void *closure, uint64_t tag,
                        const struct peer_reply *reply);
void worker_post_ledger (void *closure, uint64_t tag,
                         const struct ledger_reply *reply);
void worker_wake (struct worker *worker);

/* front.c */
struct MHD_Daemon *front_start (struct worker *worker, GError **error);
void front_resume (struct req *req);
void front_suspend (struct req *req);

/* back.c */
void back_init (struct worker *worker);
void back_free (struct worker *worker);
void back_socket_ready (struct worker *worker, int fd, uint32_t events);
void back_timeout (struct worker *worker);
void back_collect (struct worker *worker);
void back_send (struct req *req, const struct ver_target *target);
void back_abort (struct req *req);
void back_cancel_stream (struct req *req);
void back_unpause (struct req *req);

/* control.c */
struct control *control_start (struct server *server, GError **error);
void control_stop (struct control *control);

/* sync.c */
struct sync *sync_new (struct server *server);
void sync_start (struct sync *sync);
void sync_stop (struct sync *sync);
int sync_has_version (struct sync *sync);
struct platform *sync_platform (struct server *server);

#endif
