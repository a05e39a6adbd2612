/* Fault-injecting TCP proxies on loopback. */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

#include <netinet/in.h>

/* Fault that a proxy injects into its connections.  Dropped data is never sent
   later: once a mode drops a direction of a connection, it stays dropped in
   later modes, until the connection ends. */
enum proxy_mode
{
  PROXY_PASS,
  PROXY_DELAY,          /* data is forwarded after a delay */
  PROXY_RESET,          /* open and new connections are reset */
  PROXY_DROP_TO_SERVER, /* data and end of file of the client are dropped */
  PROXY_DROP_TO_CLIENT, /* data and end of file of the server are dropped */
  PROXY_DROP_ALL,       /* both */
  PROXY_MODE_COUNT,
  /* As without a path: nothing that arrives is acknowledged either.  Open
     connections stay so in later modes; new ones pass.  */
  PROXY_DARK = PROXY_MODE_COUNT,
  /* Of the listener too.  */
  PROXY_REFUSE,    /* new connections; open ones go on */
  PROXY_CUT_RESET, /* open connections are reset, new ones refused */
  PROXY_CUT_SILENT /* data is dropped, new connections are never
                      established */
};

struct proxy;

struct proxy *proxy_start (int server_port);
struct proxy *proxy_start_at (const struct sockaddr_in *address,
                              const struct sockaddr_in *server);
int proxy_port (const struct proxy *proxy);
void proxy_go_dark (int fd);
void proxy_set_mode (struct proxy *proxy, enum proxy_mode mode, int delay_ms);

#endif
