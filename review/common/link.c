/* The network of a case: each machine reaches the store, the other machines
   and the workers at loopback addresses of its own or by relays, which can be
   cut.

   Machine M reaches the store at 127.0.0.(2 + M), where it reads that the
   workers are at the same address.  There a proxy connects to the worker at
   127.0.0.(12 + M), by which the worker knows the machine.  Other machines
   know M by a port of its own, at which its datagrams seem to be sent too.  */
#include <arpa/inet.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libfixture.h"
#include "libsocket.h"
#include "link.h"
#include "review.h"

enum
{
  STORE_HOST = 2,   /* last byte of the address, for machine 0 */
  WORKER_HOST = 12, /* the same, at which a worker gets what it sends */
  BACKLOG = 64,
  DATAGRAM_BYTES = 65536,
  POLL_MS = 100
};

/* Connection to a worker. */
struct channel
{
  const struct link_worker *worker;
  int fd;
};

/* Socket of a worker that accepts connections. */
struct listener
{
  const struct link_worker *worker;
  int fd;
};

static struct
{
  int machines;
  int datagrams[LINK_MACHINES_MAX]; /* sockets that stand for machines */
  struct proxy *streams[LINK_MACHINES_MAX]; /* listen at the same ports */
  gint is_cut[LINK_MACHINES_MAX];
} network;

static struct sockaddr_in address_of (int host, int port);
static void *relay_datagrams (void *closure);
static void relay_datagram (int to);
static void *accept_channels (void *closure);
static void *serve_channel (void *closure);

/* Returns the loopback address whose last byte is HOST, with PORT.  */
static struct sockaddr_in
address_of (int host, int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK - 1 + (uint32_t)host);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

/* Has the store, which runs, listen for MACHINE too.  Returns the port.  */
int
link_store_listen (int machine)
{
  struct sockaddr_in address = address_of (STORE_HOST + machine, 0);
  int port;
  int fd = fx_listen_at (ntohl (address.sin_addr.s_addr), &port);

  fx_start_thread (fx_store_accept_connections, GINT_TO_POINTER (fd));
  return port;
}

/* Returns the host at which MACHINE reaches the store.  */
const char *
link_store_host (int machine)
{
  static char hosts[LINK_MACHINES_MAX][INET_ADDRSTRLEN];
  struct sockaddr_in address = address_of (STORE_HOST + machine, 0);

  inet_ntop (AF_INET, &address.sin_addr, hosts[machine],
             sizeof hosts[machine]);
  return hosts[machine];
}

/* Registers MACHINE, whose instance is called NAME and is yet to be started,
   in the store at the port by which the others know it.  */
void
link_peers_announce (int machine, const char *name)
{
  struct sockaddr_in alias = address_of (1, 0);
  struct sockaddr_in peer = address_of (1, review_machine_peer_port (machine));
  char *spec;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  network.streams[machine] = proxy_start_at (&alias, &peer);
  alias.sin_port = htons ((uint16_t)proxy_port (network.streams[machine]));
  if (bind (fd, (struct sockaddr *)&alias, sizeof alias) != 0)
    abort ();
  network.datagrams[machine] = fd;
  spec = g_strdup_printf ("{\"address\":\"127.0.0.1:%d\"}",
                          ntohs (alias.sin_port));
  fx_store_put ("ibisloom-instances", name, spec);
  g_free (spec);
}

/* Relays datagrams between the first MACHINES machines, which were announced.
 */
void
link_peers_start (int machines)
{
  network.machines = machines;
  fx_start_thread (relay_datagrams, NULL);
}

/* Relays datagrams.  */
static void *
relay_datagrams (void *closure)
{
  (void)closure;
  for (;;)
    {
      struct pollfd fds[LINK_MACHINES_MAX];

      for (int i = 0; i < network.machines; i++)
        fds[i]
            = (struct pollfd){ .fd = network.datagrams[i], .events = POLLIN };
      (void)poll (fds, (nfds_t)network.machines, POLL_MS);
      for (int i = 0; i < network.machines; i++)
        if (fds[i].revents != 0)
          relay_datagram (i);
    }
  return NULL;
}

/* Relays a datagram that was sent to machine TO, unless it or the sender is
   cut off.  */
static void
relay_datagram (int to)
{
  static char data[DATAGRAM_BYTES];
  struct sockaddr_in from;
  struct sockaddr_in peer = address_of (1, review_machine_peer_port (to));
  socklen_t size = sizeof from;
  ssize_t length = recvfrom (network.datagrams[to], data, sizeof data,
                             MSG_DONTWAIT, (struct sockaddr *)&from, &size);

  for (int i = 0; length > 0 && i < network.machines; i++)
    if (ntohs (from.sin_port) == review_machine_peer_port (i)
        && !g_atomic_int_get (&network.is_cut[i])
        && !g_atomic_int_get (&network.is_cut[to]))
      (void)sendto (network.datagrams[i], data, (size_t)length, 0,
                    (struct sockaddr *)&peer, sizeof peer);
}

/* Cuts MACHINE off from the other machines without a reset, or ends that.  */
void
link_peer_cut (int machine, int is_cut)
{
  g_atomic_int_set (&network.is_cut[machine], is_cut);
  proxy_set_mode (network.streams[machine],
                  is_cut ? PROXY_CUT_SILENT : PROXY_PASS, 0);
}

/* Starts WORKER, with a path from each of the first MACHINES machines.
   Returns 0, or -1.  */
int
link_worker_start (struct link_worker *worker, int machines)
{
  close (fx_listen (&worker->port)); /* finds a port */
  for (int i = 0; i < machines; i++)
    {
      struct sockaddr_in path = address_of (STORE_HOST + i, worker->port);
      struct sockaddr_in server = address_of (WORKER_HOST + i, worker->port);
      struct listener *listener;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      if (bind (fd, (struct sockaddr *)&server, sizeof server) != 0
          || listen (fd, BACKLOG) != 0)
        return -1;
      listener = g_new0 (struct listener, 1);
      *listener = (struct listener){ worker, fd };
      fx_start_thread (accept_channels, listener);
      worker->path[i] = proxy_start_at (&path, &server);
    }
  return 0;
}

/* Writes the entry of WORKER to the store.  */
void
link_worker_announce (const struct link_worker *worker)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
      "\"cold_left_ms\":0,\"sequence\":1}",
      worker->service, worker->port, worker->zone);

  fx_store_put ("servers", worker->id, spec);
  g_free (spec);
}

/* Accepts connections at the listener CLOSURE, each served by a thread.  */
static void *
accept_channels (void *closure)
{
  const struct listener *listener = closure;
  int fd;

  while ((fd = accept (listener->fd, NULL, NULL)) >= 0)
    {
      struct channel *channel = g_new0 (struct channel, 1);

      channel->worker = listener->worker;
      channel->fd = fd;
      fx_start_thread (serve_channel, channel);
    }
  return NULL;
}

/* Serves the requests on the connection CLOSURE.  */
static void *
serve_channel (void *closure)
{
  struct channel *channel = closure;
  struct fx_request request = { .fd = channel->fd };
  int keep_alive = 1;

  while (keep_alive && (request.text = fx_read_request (channel->fd)) != NULL)
    {
      request.number++;
      keep_alive = channel->worker->handler (&request);
      g_free (request.text);
    }
  close (channel->fd);
  g_free (channel);
  return NULL;
}

/* Returns the machine that has sent REQUEST.  */
int
link_sender (const struct fx_request *request)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;

  if (getsockname (request->fd, (struct sockaddr *)&address, &size) != 0)
    return -1;
  return (int)(ntohl (address.sin_addr.s_addr) & 0xff) - WORKER_HOST;
}
