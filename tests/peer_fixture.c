/* Scripted peers: instances that send heartbeats to the first router and serve
   it a snapshot. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>
#include <zlib.h>

#include "ibisloom/members.h"
#include "ibisloom/quarantine.h"
#include "ibisloom/rank.h"
#include "ibisloom/wire.h"
#include "libfixture.h"

enum
{
  HEARTBEAT_COUNT = 150,
  HEARTBEAT_INTERVAL_MS = 100,
  ENDS_REPORTED = 3 /* as many as put a request in quarantine */
};

/* Socket and messages of a scripted instance. */
struct heartbeat_sender
{
  int fd;
  struct wire_message message;
  struct wire_store_state state; /* sent with each heartbeat */
};

/* Whether peers answer with differences that build on another text. */
static gint sends_bad_differences;

/* Makes scripted peers answer whoever asks for a difference of the
   configuration with one that builds on a text that nobody has.  */
void
fx_peers_send_bad_differences (int enabled)
{
  g_atomic_int_set (&sends_bad_differences, enabled);
}

/* Returns a snapshot of all that is in the store, newly allocated, with the
   configuration as a difference if IS_DIFFERENCE.  */
static char *
snapshot_json (int is_difference)
{
  GString *out = g_string_new (NULL);
  const struct change *config;
  int count = 0;

  pthread_mutex_lock (&fx_env.lock);
  config = fx_store_latest_change ("config", "main");
  g_string_append_printf (out,
                          "{\"whole\":true,\"config_epoch\":1,"
                          "\"targets_epoch\":1,\"config_revision\":%ld,"
                          "\"targets_revision\":%u,\"config\":{\"name\":"
                          "\"main\",\"epoch\":1,\"revision\":%ld,"
                          "\"%s\":%s},"
                          "\"targets\":[",
                          config->revision, fx_env.changes->len,
                          config->revision,
                          is_difference ? "delta" : "content",
                          is_difference ? "{\"length\":1,\"hash\":\"1\","
                                          "\"runs\":[\"{\"]}"
                                        : config->spec);
  for (guint i = 0; i < fx_env.changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (fx_env.changes, i);

      if (strcmp (change->kind, "servers") == 0
          && fx_store_latest_change (change->kind, change->name) == change)
        g_string_append_printf (
            out,
            "%s{\"name\":\"%s\",\"epoch\":1,\"revision\":%ld,"
            "\"content\":%s}",
            count++ > 0 ? "," : "", change->name, change->revision,
            change->spec);
    }
  pthread_mutex_unlock (&fx_env.lock);
  g_string_append (out, "],\"gone\":[]}");
  return g_string_free (out, FALSE);
}

/* Responds on FD with TEXT, compressed with zlib behind its length in eight
   hexadecimal digits, as instances send snapshots.  Frees TEXT.  */
static void
respond_compressed (int fd, char *text)
{
  uLongf size = compressBound (strlen (text));
  char *data = g_malloc (size);
  char *head;

  compress ((Bytef *)data, &size, (const Bytef *)text, strlen (text));
  head = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %lu\r\n\r\n"
                          "%08zx",
                          size + 8, strlen (text));
  fx_write (fd, head);
  send (fd, data, size, MSG_NOSIGNAL);
  g_free (head);
  g_free (data);
  g_free (text);
}

/* Responds with a snapshot to each request to the scripted peer.  */
static void *
serve_peer (void *closure)
{
  int listener = GPOINTER_TO_INT (closure);
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      char *request;

      while ((request = fx_read_request (fd)) != NULL)
        {
          int is_difference = g_atomic_int_get (&sends_bad_differences)
                              && strstr (request, "&delta=") != NULL
                              && strstr (request, "&delta=0") == NULL;

          g_free (request);
          respond_compressed (fd, snapshot_json (is_difference));
        }
      close (fd);
    }
  return NULL;
}

/* Sends MESSAGE, as the next one of HEARTBEAT_SENDER, to the first router.  */
static void
send_next (struct heartbeat_sender *heartbeat_sender,
           struct wire_message *message)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;
  size_t length;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)fx_env.routers[0].peer_port);
  wire_key_derive (&key, "", "test");
  message->sender = heartbeat_sender->message.sender;
  message->incarnation = heartbeat_sender->message.incarnation;
  message->sequence = ++heartbeat_sender->message.sequence;
  length = wire_encode (message, &key, data);
  sendto (heartbeat_sender->fd, data, length, 0, (struct sockaddr *)&address,
          sizeof address);
}

/* Sends HEARTBEAT_COUNT heartbeats of a scripted instance to the first router,
   each after what the instance knows of the store.  */
static void *
send_heartbeats (void *closure)
{
  struct heartbeat_sender *heartbeat_sender = closure;
  struct wire_message state
      = { .kind = WIRE_STATE, .u.state = heartbeat_sender->state };

  for (int i = 0; i < HEARTBEAT_COUNT; i++)
    {
      send_next (heartbeat_sender, &state);
      send_next (heartbeat_sender, &heartbeat_sender->message);
      fx_sleep_ms (HEARTBEAT_INTERVAL_MS);
    }
  close (heartbeat_sender->fd);
  g_free (heartbeat_sender);
  return NULL;
}

/* Returns the scripted instance SENDER, which sends from PORT, or from any
   free port if that is 0.  */
static struct heartbeat_sender *
make_sender (uint32_t sender, int port)
{
  struct heartbeat_sender *heartbeat_sender
      = g_new0 (struct heartbeat_sender, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };

  heartbeat_sender->message.kind = WIRE_HEARTBEAT;
  heartbeat_sender->message.sender = sender;
  heartbeat_sender->message.incarnation = 1;
  heartbeat_sender->fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  if (sodium_init () < 0
      || bind (heartbeat_sender->fd, (struct sockaddr *)&address,
               sizeof address)
             != 0)
    abort ();
  return heartbeat_sender;
}

/* Starts the heartbeats of instance SENDER, which knows STATE of the store,
   from PORT, or from any free port if that is 0.  */
static void
start_heartbeats (uint32_t sender, int port,
                  const struct wire_heartbeat *heartbeat,
                  const struct wire_store_state *state)
{
  struct heartbeat_sender *heartbeat_sender = make_sender (sender, port);

  heartbeat_sender->message.u.heartbeat = *heartbeat;
  heartbeat_sender->state = *state;
  fx_start_thread (send_heartbeats, heartbeat_sender);
}

/* Has an instance report to the first router that targets ended under each of
   COUNT requests, often enough to put them in quarantine.  */
void
fx_ends_report (int count)
{
  struct heartbeat_sender *sender = make_sender (1000, 0);
  struct wire_message message
      = { .kind = WIRE_CRASH,
          .u.crash = { .strength = QUAR_SUSPECT, .count = 1 } };

  for (int i = 0; i < count * ENDS_REPORTED; i++)
    {
      message.u.crash.target = (uint64_t)i + 1;
      message.u.crash.part[0]
          = QUAR_REQUEST_BIT | (uint64_t)(i / ENDS_REPORTED + 1);
      send_next (sender, &message);
    }
  close (sender->fd);
  g_free (sender);
}

/* Sends the first router one heartbeat of the process INCARNATION of instance
   SENDER.  */
void
fx_heartbeat_send (uint32_t sender, uint64_t incarnation)
{
  struct heartbeat_sender *once = make_sender (sender, 0);

  once->message.incarnation = incarnation;
  send_next (once, &once->message);
  close (once->fd);
  g_free (once);
}

/* Starts COUNT instances in the first router's failure domain.  Their
   heartbeats report that they watch the store, but never a new revision.  */
void
fx_stale_watchers_start (int count)
{
  struct wire_heartbeat heartbeat = { .store = WIRE_STORE_WATCHED,
                                      .state = MEMBER_READY,
                                      .domain = (uint32_t)rank_hash ("a") };
  struct wire_store_state state = { 0 };

  for (int i = 0; i < count; i++)
    start_heartbeats ((uint32_t)i + 1, 0, &heartbeat, &state);
}

/* Starts an instance that has VERSION of the configuration and newer positions
   than the first router, and serves a snapshot of the store.  */
void
fx_newer_peer_start (uint64_t version)
{
  struct wire_heartbeat heartbeat
      = { .revision = 1000, .config_revision = 1000, .state = MEMBER_READY };
  struct wire_store_state state
      = { .version = version, .config = { 1, 1000 }, .targets = { 1, 1000 } };
  int port;
  int listener = fx_listen (&port);

  fx_start_thread (serve_peer, GINT_TO_POINTER (listener));
  start_heartbeats (1000, port, &heartbeat, &state);
}
