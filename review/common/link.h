/* Shared by the scripts of the review: the network between machines, and from
   machines to workers. */
#ifndef LINK_H
#define LINK_H

#include "proxy_fixture.h"
#include "router_fixture.h"

enum
{
  LINK_MACHINES_MAX = 3,
  LINK_WORKERS_MAX = 4
};

/* Worker of a zone, at the address that LINK_WORKER_HOST gives a machine. */
struct link_worker
{
  const char *id;
  const char *service;
  const char *zone;
  int port;
  fx_handler_fn handler;
  struct proxy *path[LINK_MACHINES_MAX]; /* from each machine */
};

int link_store_listen (int machine);
const char *link_store_host (int machine);
void link_peers_announce (int machine, const char *name);
void link_peers_start (int machines);
void link_peer_cut (int machine, int is_cut);
int link_worker_start (struct link_worker *worker, int machines);
void link_worker_announce (const struct link_worker *worker);
int link_sender (const struct fx_request *request);

#endif
