/* Datagrams that an instance of the own interface receives. */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ibisloom/peer.h"
#include "ibisloom/settings.h"
#include "test.h"

enum
{
  ANSWER_TIMEOUT_S = 2,
  BYTES_PER_S = 1000000,
  SENDER = 77
};

static void kinds_of_routers_do_not_end_the_process (void);
static int bind_loopback (struct sockaddr_in *address);
static void send_kind (int fd, const struct settings *settings,
                       enum wire_kind kind, uint64_t sequence);

static const struct test_case cases[] = {
  { "datagrams that only routers exchange do not end the process",
    kinds_of_routers_do_not_end_the_process },
};

TEST_MAIN ("peer", cases)

/* After one datagram of each kind, a heartbeat still gets its answer.  */
static void
kinds_of_routers_do_not_end_the_process (void)
{
  struct settings settings = { .instance = "a",
                               .deployment = "test",
                               .failure_domain = "x",
                               .cluster_key = "secret",
                               .control_bytes_per_s = BYTES_PER_S };
  struct ver_store *store = ver_store_new ("test");
  struct sockaddr_in own;
  struct timeval timeout = { .tv_sec = ANSWER_TIMEOUT_S };
  unsigned char data[WIRE_MAX_BYTES];
  struct peer *peer;
  int fd = bind_loopback (&own);
  int port = bind_loopback (&settings.peer_listen);

  close (port);
  settings.peers = g_array_new (FALSE, FALSE, sizeof (struct sockaddr_in));
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  peer = peer_new (&settings, store, NULL);
  peer_start (peer);
  for (int kind = WIRE_HEARTBEAT + 1; kind < WIRE_KIND_COUNT; kind++)
    send_kind (fd, &settings, (enum wire_kind)kind, (uint64_t)kind);
  send_kind (fd, &settings, WIRE_HEARTBEAT, WIRE_KIND_COUNT);
  CU_ASSERT (recv (fd, data, sizeof data, 0) > 0);
  peer_stop (peer);
  peer_free (peer);
  ver_store_free (store);
  g_array_free (settings.peers, TRUE);
  close (fd);
}

/* Returns a datagram socket on a free port of the loopback ADDRESS.  */
static int
bind_loopback (struct sockaddr_in *address)
{
  socklen_t size = sizeof *address;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (const struct sockaddr *)address, sizeof *address), 0);
  getsockname (fd, (struct sockaddr *)address, &size);
  return fd;
}

/* Sends an empty message of KIND to the instance of SETTINGS.  */
static void
send_kind (int fd, const struct settings *settings, enum wire_kind kind,
           uint64_t sequence)
{
  struct wire_message message = { .kind = kind,
                                  .sender = SENDER,
                                  .incarnation = 1,
                                  .sequence = sequence,
                                  .u.heartbeat.wants_reply = 0 };
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;
  size_t length;

  if (kind == WIRE_HEARTBEAT)
    message.u.heartbeat.wants_reply = 1;
  wire_key_derive (&key, settings->cluster_key, settings->deployment);
  length = wire_encode (&message, &key, data);
  CU_ASSERT (sendto (fd, data, length, 0,
                     (const struct sockaddr *)&settings->peer_listen,
                     sizeof settings->peer_listen)
             > 0);
}
