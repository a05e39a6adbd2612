/* Private to connection/ and request/: the event loop of one worker. */
#ifndef LIBCONNECTION_H
#define LIBCONNECTION_H

#include <pthread.h>

#include "librequest.h"

/* Admission state of one customer at one worker. */
struct worker_customer
{
  int waiting;      /* requests that wait for admission */
  clk_ms denied_ms; /* when admission was last denied because its share was in
                       use */
};

struct worker
{
  struct server *server;
  pthread_t thread;
  int index;
  int epoll;
  int inbox_fd; /* eventfd that wakes up the event loop */
  pthread_mutex_t inbox_lock;
  GQueue mail; /* of struct mail, from other threads */
  struct MHD_Daemon *frontend;
  int frontend_fd;
  int frontend_due;
  CURLM *multi;
  clk_ms multi_due_ms;
  GPtrArray *idle_handles; /* of CURL *, for reuse */
  GHashTable *requests;    /* id to struct req */
  GHashTable *customers;   /* id to struct worker_customer */
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
void worker_post_admission_reply (void *closure, uint64_t tag,
                                  const struct peer_reply *reply);
void worker_post_ledger_reply (void *closure, uint64_t tag,
                               const struct ledger_reply *reply);
void worker_wake (struct worker *worker);

/* frontend.c */
struct MHD_Daemon *frontend_start (struct worker *worker, GError **error);
void frontend_resume (struct req *req);
void frontend_suspend (struct req *req);

/* backend.c */
void backend_init (struct worker *worker);
void backend_free (struct worker *worker);
void backend_handle_socket (struct worker *worker, int fd, uint32_t events);
void backend_handle_timeout (struct worker *worker);
void backend_handle_completed (struct worker *worker);
void backend_send (struct req *req, const struct ver_target *target);
void backend_abort (struct req *req);
void backend_cancel_stream (struct req *req);
void backend_resume (struct req *req);

/* control.c */
struct control *control_start (struct server *server, GError **error);
void control_stop (struct control *control);

/* sync.c */
struct sync *sync_new (struct server *server);
void sync_start (struct sync *sync);
void sync_stop (struct sync *sync);
int sync_is_current (struct sync *sync);
struct platform *sync_open_platform (struct server *server);

#endif
