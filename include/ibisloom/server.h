/* Instance that speaks ibisloom's own protocols: threads and the state they
   share. */
#ifndef IBISLOOM_SERVER_H
#define IBISLOOM_SERVER_H

#include <pthread.h>
#include <glib.h>

#include "ibisloom/guard.h"
#include "ibisloom/ledger.h"
#include "ibisloom/peer.h"
#include "ibisloom/settings.h"
#include "ibisloom/version.h"

struct worker;
struct control;
struct sync;

struct server
{
  const struct settings *settings;
  struct ver_store *store;
  struct peer *peer;
  struct ledger *ledger;
  struct guard *guard;
  struct sync *sync;
  struct control *control;
  GPtrArray *workers;
  int ready;
  int stopping;             /* 0: no; else the phase of the shutdown */
  int abort_platform_calls; /* 1: calls to the platform are aborted */
  int64_t open_requests;
  GHashTable *budgets; /* service id to struct retry_budget */
  GHashTable *plain;   /* target id to struct plain_state */
  pthread_mutex_t budget_lock;
  pthread_mutex_t plain_lock;
};

struct server *server_new (const struct settings *settings, GError **error);
int server_start (struct server *server, GError **error);
void server_run (struct server *server);
void server_stop (struct server *server);
void server_request_stop (struct server *server);
void server_free (struct server *server);
char *server_status_json (struct server *server);

#endif
