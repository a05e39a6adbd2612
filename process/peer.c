/* Datagram protocol between the instances: the socket and its thread. */
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ck_pr.h>
#include <jansson.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "libpeer.h"

enum
{
  RECEIVE_BATCH = 256,
  REVISION_STEP_MS = 20,
  SOCKET_BUFFER_BYTES = 4194304,
  INCARNATION_UNIT_MS = 100
};

/* 2024-01-01T00:00:00Z.  Incarnations count units of INCARNATION_UNIT_MS from
   this time, which keeps their encoding short. */
static const clk_ms INCARNATION_EPOCH_MS = 1704067200000;

typedef void (*message_handler) (struct peer *peer,
                                 const struct wire_message *message,
                                 const struct sockaddr_in *from, clk_ms now);

static void *run (void *closure);
static void receive_datagrams (struct peer *peer);
static void handle_datagram (struct peer *peer, const unsigned char *data,
                             size_t length, const struct sockaddr_in *from);
static void on_answer (struct peer *peer, const struct wire_message *message,
                       const struct sockaddr_in *from, clk_ms now);
static void on_release (struct peer *peer, const struct wire_message *message,
                        const struct sockaddr_in *from, clk_ms now);
static void on_hold (struct peer *peer, const struct wire_message *message,
                     const struct sockaddr_in *from, clk_ms now);
static void on_notes (struct peer *peer, const struct wire_message *message,
                      const struct sockaddr_in *from, clk_ms now);
static void on_crash (struct peer *peer, const struct wire_message *message,
                      const struct sockaddr_in *from, clk_ms now);
static void on_success (struct peer *peer, const struct wire_message *message,
                        const struct sockaddr_in *from, clk_ms now);
static void tick (struct peer *peer, clk_ms now);
static void expire_members (struct peer *peer, clk_ms now);

/* NULL: only routers exchange messages of that kind.  */
static const message_handler handlers[WIRE_KIND_COUNT] = {
  [WIRE_HEARTBEAT] = heartbeat_apply,
  [WIRE_ADMISSION_REQUEST] = admit_handle_request,
  [WIRE_ADMISSION_ANSWER] = on_answer,
  [WIRE_RELEASE] = on_release,
  [WIRE_HOLD] = on_hold,
  [WIRE_NOTES] = on_notes,
  [WIRE_CRASH] = on_crash,
  [WIRE_SUCCESS] = on_success,
};

static const enum metric_counter drop_counters[] = {
  [WIRE_BAD_MAC] = METRIC_UDP_BAD_MAC,
  [WIRE_MALFORMED] = METRIC_UDP_MALFORMED,
  [WIRE_VERSION_MISMATCH] = METRIC_UDP_VERSION_MISMATCH,
};

static const char *const state_names[MEMBER_STATE_COUNT]
    = { "starting", "ready", "leaving" };

/* Returns the identifier of the instance whose name is INSTANCE.  */
uint32_t
peer_instance_id (const char *instance)
{
  return (uint32_t)rank_hash (instance);
}

/* Creates this instance's endpoint of the protocol and binds the datagram
   socket that SETTINGS name.  Returns NULL with ERROR set if the address
   cannot be bound.  */
struct peer *
peer_new (const struct settings *settings, struct ver_store *store,
          GError **error)
{
  struct peer *peer;
  int size = SOCKET_BUFFER_BYTES;
  int udp_fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (udp_fd < 0
      || bind (udp_fd, (const struct sockaddr *)&settings->peer_listen,
               sizeof settings->peer_listen)
             != 0)
    {
      err_set (error, ERR_IO, "peer_listen: %s", strerror (errno));
      if (udp_fd >= 0)
        close (udp_fd);
      return NULL;
    }
  setsockopt (udp_fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  peer = g_new0 (struct peer, 1);
  peer->settings = settings;
  peer->store = store;
  peer->udp_fd = udp_fd;
  peer->self = peer_instance_id (settings->instance);
  peer->domain = (uint32_t)rank_hash (settings->failure_domain);
  peer->incarnation = (uint64_t)((clk_wall_ms () - INCARNATION_EPOCH_MS)
                                 / INCARNATION_UNIT_MS);
  peer->adm_state = adm_new ();
  peer->member_table = member_table_new (peer->self, peer->domain);
  wire_key_derive (&peer->key, settings->cluster_key, settings->deployment);
  budget_init (&peer->byte_budget, settings->control_bytes_per_s,
               clk_now (clk_monotonic ()));
  pthread_mutex_init (&peer->budget_lock, NULL);
  pthread_mutex_init (&peer->mean_lock, NULL);
  pthread_mutex_init (&peer->leaving_lock, NULL);
  peer->leaving
      = g_array_new (FALSE, FALSE, sizeof (struct peer_leaving_target));
  admit_init (peer);
  return peer;
}

/* Sets FN to be called with CLOSURE when a peer reports a higher configuration
   revision than this instance has.  */
void
peer_on_revision (struct peer *peer, peer_revision_fn fn, void *closure)
{
  peer->revision_fn = fn;
  peer->revision_closure = closure;
}

/* Starts the peer thread, which sends and receives datagrams.  */
void
peer_start (struct peer *peer)
{
  pthread_create (&peer->thread, NULL, run, peer);
}

/* Stops the peer thread and waits until it has ended.  */
void
peer_stop (struct peer *peer)
{
  ck_pr_store_int (&peer->stopping, 1);
  pthread_join (peer->thread, NULL);
}

/* Frees PEER after peer_stop.  */
void
peer_free (struct peer *peer)
{
  admit_free (peer);
  close (peer->udp_fd);
  adm_free (peer->adm_state);
  member_table_free (peer->member_table);
  g_array_free (peer->leaving, TRUE);
  g_free (peer);
}

/* Returns the membership table of PEER.  */
struct member_table *
peer_members (struct peer *peer)
{
  return peer->member_table;
}

/* Sets the state that heartbeats report, and announces it.  */
void
peer_set_state (struct peer *peer, enum member_state state)
{
  peer->state = state;
  member_set_self_state (peer->member_table, state);
  peer_announce (peer);
}

/* Makes the peer thread send a round of heartbeats at its next tick, so that
   peers learn of a new state or revision before the next regular round.  */
void
peer_announce (struct peer *peer)
{
  ck_pr_store_int (&peer->announce_due, 1);
}

/* Consumes BYTES of the control budget for TRAFFIC_CLASS (enum budget_class).
   Returns 1, or 0 with a drop counted if the budget is spent.  */
int
peer_consume_budget (struct peer *peer, int traffic_class, int64_t bytes)
{
  int allowed;

  pthread_mutex_lock (&peer->budget_lock);
  allowed
      = budget_consume (&peer->byte_budget, (enum budget_class)traffic_class,
                        bytes, clk_now (clk_monotonic ()));
  pthread_mutex_unlock (&peer->budget_lock);
  if (!allowed)
    metric_inc (METRIC_BUDGET_DROPPED);
  return allowed;
}

/* Returns whether this instance is one of the INSTANCE_COUNT instances of its
   failure domain that have the role ROLE.  All instances with the same
   membership view select the same ones.  */
int
peer_has_role (struct peer *peer, const char *role, size_t instance_count)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct member_info owner;

  for (size_t i = 0; i < instance_count; i++)
    if (member_owner (peer->member_table, rank_hash (role), peer->domain, i,
                      now, &owner)
        == 0)
      return 1;
  return 0;
}

/* Sets CRASH_FN and SUCCESS_FN to be called with CLOSURE on the peer thread
   for what other instances tell.  */
void
peer_on_crash (struct peer *peer, peer_crash_fn crash_fn,
               peer_success_fn success_fn, void *closure)
{
  peer->crash_fn = crash_fn;
  peer->success_fn = success_fn;
  peer->crash_closure = closure;
}

/* Sends MESSAGE to all other instances that are alive.  */
void
peer_broadcast (struct peer *peer, struct wire_message *message)
{
  struct member_info members[PEER_MEMBERS_MAX];
  size_t count = member_list (peer->member_table, members, PEER_MEMBERS_MAX);

  for (size_t i = 0; i < count; i++)
    if (!members[i].gone)
      peer_send (peer, &members[i].address, message, BUDGET_ANSWER,
                 METRIC_SENT_ADMISSION_ANSWER_BYTES);
}

/* Returns the members as newly allocated JSON for the operators.  */
char *
peer_status_json (struct peer *peer)
{
  struct member_info members[PEER_MEMBERS_MAX];
  size_t count = member_list (peer->member_table, members, PEER_MEMBERS_MAX);
  clk_ms now = clk_now (clk_monotonic ());
  json_t *list = json_array ();
  char *text;

  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *member = &members[i];
      char *address = settings_format_address (&member->address);

      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:I,s:I,s:b,s:b}", "address", address, "state",
                     state_names[member->state], "revision",
                     (json_int_t)member->revision, "silent_ms",
                     (json_int_t)(now - member->last_seen_ms), "usable",
                     member_is_usable (member, now), "gone", member->gone));
      g_free (address);
    }
  text = json_dumps (list, JSON_COMPACT);
  json_decref (list);
  return text;
}

/* Signs MESSAGE and sends it to TO if the control budget allows.  Counts the
   bytes sent in COUNTER.  Returns 0, or -1 if the message was dropped.  Safe
   to call from any thread.  */
int
peer_send (struct peer *peer, const struct sockaddr_in *to,
           struct wire_message *message, enum budget_class traffic_class,
           enum metric_counter counter)
{
  unsigned char data[WIRE_MAX_BYTES];
  size_t length;

  message->sender = peer->self;
  message->incarnation = peer->incarnation;
  message->sequence = ck_pr_faa_64 (&peer->sequence, 1) + 1;
  length = wire_encode (message, &peer->key, data);
  if (length == 0
      || !peer_consume_budget (peer, traffic_class, (int64_t)length))
    return -1;
  if (sendto (peer->udp_fd, data, length, 0, (const struct sockaddr *)to,
              sizeof *to)
      < 0)
    return -1;
  metric_add (counter, length);
  return 0;
}

/* Main loop of the peer thread, until peer_stop.  */
static void *
run (void *closure)
{
  struct peer *peer = closure;
  struct pollfd fd = { .fd = peer->udp_fd, .events = POLLIN };

  peer->reader = ver_reader_new (peer->store);
  while (!ck_pr_load_int (&peer->stopping))
    {
      poll (&fd, 1, admit_is_idle (peer) ? PEER_IDLE_TICK_MS : PEER_TICK_MS);
      receive_datagrams (peer);
      tick (peer, clk_now (clk_monotonic ()));
    }
  ver_reader_free (peer->reader);
  return NULL;
}

/* Handles the datagrams that have arrived, at most RECEIVE_BATCH so that the
   periodic work is not delayed.  */
static void
receive_datagrams (struct peer *peer)
{
  unsigned char data[WIRE_MAX_BYTES + 1];

  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      struct sockaddr_in from;
      socklen_t size = sizeof from;
      ssize_t length = recvfrom (peer->udp_fd, data, sizeof data, 0,
                                 (struct sockaddr *)&from, &size);

      if (length < 0)
        return;
      handle_datagram (peer, data, (size_t)length, &from);
    }
}

/* Verifies one datagram and passes it to the handler of its kind.  Datagrams
   that fail authentication, as those of another deployment do, are malformed
   or replayed, or carry this instance's own identifier are dropped and
   counted; kinds that only routers exchange are ignored.  */
static void
handle_datagram (struct peer *peer, const unsigned char *data, size_t length,
                 const struct sockaddr_in *from)
{
  struct wire_message message;
  enum wire_status status = wire_decode (&message, &peer->key, data, length);

  if (status != WIRE_OK)
    metric_inc (drop_counters[status]);
  else if (message.sender == peer->self)
    metric_inc (METRIC_UDP_DUPLICATE_ID);
  else if (!member_accept_sequence (peer->member_table, message.sender,
                                    message.incarnation, message.sequence))
    metric_inc (METRIC_UDP_REPLAYED);
  else if (handlers[message.kind] != NULL)
    handlers[message.kind](peer, &message, from, clk_now (clk_monotonic ()));
}

/* Handler of WIRE_ADMISSION_ANSWER.  */
static void
on_answer (struct peer *peer, const struct wire_message *message,
           const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  (void)now;
  admit_handle_answer (peer, &message->u.answer);
}

/* Handler of WIRE_RELEASE.  */
static void
on_release (struct peer *peer, const struct wire_message *message,
            const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  admit_handle_release (peer, message, now);
}

/* Handler of WIRE_HOLD.  */
static void
on_hold (struct peer *peer, const struct wire_message *message,
         const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  admit_handle_hold (peer, message, now);
}

/* Handler of WIRE_NOTES.  */
static void
on_notes (struct peer *peer, const struct wire_message *message,
          const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  admit_handle_notes (peer, message, now);
}

static void
on_crash (struct peer *peer, const struct wire_message *message,
          const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  (void)now;
  if (peer->crash_fn != NULL)
    peer->crash_fn (peer->crash_closure, &message->u.crash);
}

static void
on_success (struct peer *peer, const struct wire_message *message,
            const struct sockaddr_in *from, clk_ms now)
{
  (void)from;
  (void)now;
  if (peer->success_fn != NULL)
    peer->success_fn (peer->crash_closure, &message->u.success);
}

/* Does the periodic work that is due at NOW.  */
static void
tick (struct peer *peer, clk_ms now)
{
  admit_retry_overdue (peer, now);
  admit_answer_waiters (peer, now);
  if (now >= peer->next_refresh_ms)
    {
      const struct ver_snapshot *version
          = ver_read_begin (peer->store, peer->reader);

      peer->next_refresh_ms = now + PEER_REFRESH_INTERVAL_MS;
      expire_members (peer, now);
      admit_refresh (peer, version, now);
      ver_read_end (peer->reader);
    }
  if (ck_pr_fas_int (&peer->announce_due, 0) || now >= peer->next_heartbeat_ms)
    {
      peer->next_heartbeat_ms = now + PEER_HEARTBEAT_INTERVAL_MS;
      heartbeat_send_all (peer, now);
    }
}

/* Marks as gone the members that were last seen too long ago, and drops
   their grants.  */
static void
expire_members (struct peer *peer, clk_ms now)
{
  uint32_t gone[PEER_EXPIRE_BATCH];
  size_t count
      = member_expire (peer->member_table, now, gone, PEER_EXPIRE_BATCH);

  for (size_t i = 0; i < count; i++)
    {
      log_info ("peer", NULL, "member_gone", "instance %08x", gone[i]);
      adm_drop_instance (peer->adm_state, gone[i]);
    }
}
