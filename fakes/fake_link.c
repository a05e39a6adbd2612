/* Fake network between the instances and to the platform, with partitions.

   Usage: fake_link LINK_PORT PEER_PORT COUNT PLATFORM_PORT CONTROL_PORT

   Instance I reaches peer J at LINK_PORT + I * COUNT + J, and the platform at
   LINK_PORT + COUNT * COUNT + I.  A datagram from I to J is sent from the port
   at which J reaches I, so that J can reply and connect to its source.  On
   CONTROL_PORT, /cut?from=I&to=J cuts the link in both directions (to=-1: the
   link to the platform), and /heal restores all links. */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake_http.h"

enum
{
  INSTANCES_MAX = 12,
  BUFFER_BYTES = 65536,
  POLL_MS = 20
};

static int instance_count;
static int peer_port;
static int platform_port;
static int udp_fds[INSTANCES_MAX][INSTANCES_MAX];
static int is_cut[INSTANCES_MAX][INSTANCES_MAX + 1]; /* [from][to] */

/* A link from instance FROM to peer TO, or to the platform if TO is
   INSTANCE_COUNT. */
struct link
{
  int from;
  int to;
  int port;
};

/* A connection through a link. */
struct connection
{
  const struct link *link;
  int client_fd;
  int peer_fd;
};

static struct sockaddr_in loopback (int port);
static int open_socket (int type, int port);
static void *forward_datagrams (void *closure);
static void *accept_connections (void *closure);
static void *forward_connection (void *closure);
static int forward_available (int from, int to);
static void serve_control (struct fake_request *request, void *closure);

int
main (int argc, char **argv)
{
  struct fake_server control;
  pthread_t thread;
  int base_port;

  if (argc != 6)
    {
      fprintf (stderr, "usage: fake_link LINK_PORT PEER_PORT COUNT "
                       "PLATFORM_PORT CONTROL_PORT\n");
      return EXIT_FAILURE;
    }
  base_port = atoi (argv[1]);
  peer_port = atoi (argv[2]);
  instance_count = MIN (atoi (argv[3]), INSTANCES_MAX);
  platform_port = atoi (argv[4]);
  for (int i = 0; i < instance_count; i++)
    for (int j = 0; j <= instance_count; j++)
      {
        struct link *link = g_new (struct link, 1);

        link->from = i;
        link->to = j;
        link->port
            = base_port
              + (j < instance_count ? i * instance_count + j
                                    : instance_count * instance_count + i);
        if (j < instance_count)
          udp_fds[i][j] = open_socket (SOCK_DGRAM, link->port);
        pthread_create (&thread, NULL, accept_connections, link);
      }
  pthread_create (&thread, NULL, forward_datagrams, NULL);
  fake_listen (&control, atoi (argv[5]), serve_control, NULL);
  pause ();
  return EXIT_SUCCESS;
}

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  return address;
}

static int
open_socket (int type, int port)
{
  struct sockaddr_in address = loopback (port);
  int enable = 1;
  int fd = socket (AF_INET, type, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (bind (fd, (const struct sockaddr *)&address, sizeof address) != 0)
    {
      fprintf (stderr, "port %d cannot be used\n", port);
      exit (EXIT_FAILURE);
    }
  return fd;
}

/* Thread that forwards datagrams; those on a cut link are lost.  */
static void *
forward_datagrams (void *closure)
{
  struct pollfd fds[INSTANCES_MAX * INSTANCES_MAX];
  char data[BUFFER_BYTES];

  (void)closure;
  for (int i = 0; i < instance_count * instance_count; i++)
    fds[i] = (struct pollfd){ udp_fds[i / instance_count][i % instance_count],
                              POLLIN, 0 };
  for (;;)
    {
      poll (fds, (nfds_t)instance_count * (nfds_t)instance_count, POLL_MS);
      for (int i = 0; i < instance_count * instance_count; i++)
        {
          int from = i / instance_count;
          int to = i % instance_count;
          struct sockaddr_in address = loopback (peer_port + to);
          ssize_t length;

          if (!(fds[i].revents & POLLIN))
            continue;
          length = recv (fds[i].fd, data, sizeof data, 0);
          if (length > 0 && !is_cut[from][to])
            sendto (udp_fds[to][from], data, (size_t)length, 0,
                    (const struct sockaddr *)&address, sizeof address);
        }
    }
  return NULL;
}

/* Thread that accepts the connections of one link.  */
static void *
accept_connections (void *closure)
{
  const struct link *link = closure;
  int listener = open_socket (SOCK_STREAM, link->port);

  listen (listener, 64);
  for (;;)
    {
      struct connection *connection = g_new0 (struct connection, 1);
      pthread_t thread;

      connection->link = link;
      connection->client_fd = accept (listener, NULL, NULL);
      pthread_create (&thread, NULL, forward_connection, connection);
      pthread_detach (thread);
    }
  return NULL;
}

/* Thread that forwards one connection.  While the link is cut, no data passes
   and the connection stays open, as in a network partition.  */
static void *
forward_connection (void *closure)
{
  struct connection *connection = closure;
  const struct link *link = connection->link;
  struct sockaddr_in address = loopback (
      link->to < instance_count ? peer_port + link->to : platform_port);
  int is_open = 1;

  connection->peer_fd = socket (AF_INET, SOCK_STREAM, 0);
  while (is_cut[link->from][link->to])
    fake_sleep_ms (POLL_MS);
  if (connect (connection->peer_fd, (const struct sockaddr *)&address,
               sizeof address)
      != 0)
    is_open = 0;
  while (is_open)
    {
      struct pollfd fds[2] = { { connection->client_fd, POLLIN, 0 },
                               { connection->peer_fd, POLLIN, 0 } };

      if (is_cut[link->from][link->to])
        {
          fake_sleep_ms (POLL_MS);
          continue;
        }
      poll (fds, 2, POLL_MS);
      if (fds[0].revents)
        is_open
            = forward_available (connection->client_fd, connection->peer_fd);
      if (is_open && fds[1].revents)
        is_open
            = forward_available (connection->peer_fd, connection->client_fd);
    }
  close (connection->client_fd);
  close (connection->peer_fd);
  g_free (connection);
  return NULL;
}

/* Forwards the data available at FROM.  Returns whether the connection is
   still open.  */
static int
forward_available (int from, int to)
{
  char data[BUFFER_BYTES];
  ssize_t length = recv (from, data, sizeof data, 0);

  return length > 0 && send (to, data, (size_t)length, MSG_NOSIGNAL) == length;
}

/* Serves /cut?from=I&to=J and /heal.  */
static void
serve_control (struct fake_request *request, void *closure)
{
  const char *from = fake_query_argument (request, "from");
  const char *to = fake_query_argument (request, "to");

  (void)closure;
  if (strcmp (request->url, "/heal") == 0)
    memset (is_cut, 0, sizeof is_cut);
  else if (from != NULL && to != NULL)
    {
      int i = atoi (from);
      int j = atoi (to);

      is_cut[i][j < 0 ? instance_count : j] = 1;
      if (j >= 0)
        is_cut[j][i] = 1;
    }
  fake_respond (request, 200, "{}");
}
