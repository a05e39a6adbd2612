/* A real ibisloomd between scripted targets, a scripted store and raw calls.
 */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <sodium.h>
#include <zlib.h>

#include "gate_fixture.h"
#include "ibisloom/members.h"
#include "ibisloom/rank.h"
#include "ibisloom/wire.h"
#include "link_fixture.h"

enum
{
  SETTLE_MS = 10000, /* far more than anything here takes */
  SETTLE_STEP_MS = 10,
  READ_BYTES = 4096,
  CALL_TIMEOUT_S = 10,
  PORT_FIRST = 12000,
  PORT_LAST = 31999,
  PORT_STARTS = 200,
  PORT_STRIDE = 100,
  PEER_BEATS = 150,
  PEER_BEAT_MS = 100
};

extern char **environ;

struct fx_target
{
  char *id;
  char *service;
  char *state;
  int port;
  int listener;
  fx_behave_fn behave;
  int requests;
  int peer_closed;
  char *last;
};

/* One change of an object. */
struct change
{
  long revision;
  char *kind;
  char *name;
  char *spec; /* NULL: deleted */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GPtrArray *changes; /* of struct change */
static long kept_from;     /* older history is gone */
static int store_is_down;
static int store_is_deaf; /* watches get no answer */
static int store_listener;
static GArray *store_fds;
static GPtrArray *targets;
/* One gate's process and ports. */
struct gate_process
{
  pid_t pid;
  int front_port;
  int ready_port;
  int peer_port;
  int metrics_port;
  int store_port; /* of its link to the store, or 0 */
};

static struct gate_process gates[FX_GATES_MAX];
static int store_port;
static char *directory;

/* Returns a listening socket on loopback and sets PORT.  */
static int
listen_any (int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 64) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    abort ();
  *port = ntohs (address.sin_port);
  return fd;
}

/* Returns a connection to PORT on loopback, or -1.  */
static int
dial (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { .tv_sec = CALL_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Returns a port that nothing listens on now.  It lies below those that the
   kernel gives to outgoing connections, so that none takes it meanwhile.  */
static int
free_port (void)
{
  static int next;

  if (next == 0)
    next = PORT_FIRST + (int)getpid () % PORT_STARTS * PORT_STRIDE;
  for (;;)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int is_free;

      next = next >= PORT_LAST ? PORT_FIRST : next + 1;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons ((uint16_t)next);
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return next;
    }
}

/* Reads one request with its body from FD, or returns NULL.  */
static char *
read_request (int fd)
{
  GString *text = g_string_new (NULL);
  char byte;

  while (strstr (text->str, "\r\n\r\n") == NULL)
    {
      if (recv (fd, &byte, 1, 0) != 1)
        {
          g_string_free (text, TRUE);
          return NULL;
        }
      g_string_append_c (text, byte);
    }
  for (long left = ({
         char *value = fx_header (text->str, "Content-Length");
         long length = value ? strtol (value, NULL, 10) : 0;
         g_free (value);
         length;
       });
       left > 0 && recv (fd, &byte, 1, 0) == 1; left--)
    g_string_append_c (text, byte);
  return g_string_free (text, FALSE);
}

/* Returns the newly allocated value of the field NAME in TEXT, or NULL.  */
char *
fx_header (const char *text, const char *name)
{
  char *key = g_strdup_printf ("\n%s:", name);
  char *lower = g_ascii_strdown (text, -1);
  char *lower_key = g_ascii_strdown (key, -1);
  const char *at = strstr (lower, lower_key);
  char *value = NULL;

  if (at != NULL)
    {
      const char *from = text + (at - lower) + strlen (key);

      value = g_strndup (from, strcspn (from, "\r\n"));
      g_strstrip (value);
    }
  g_free (key);
  g_free (lower);
  g_free (lower_key);
  return value;
}

/* Appends one change as the JSON of an object.  */
static void
add_object (GString *out, const struct change *change)
{
  g_string_append_printf (
      out, "{\"metadata\":{\"name\":\"%s\",\"revision\":%ld},\"spec\":%s}",
      change->name, change->revision, change->spec ? change->spec : "null");
}

/* Returns the newest change of NAME of KIND before INDEX is passed, or NULL;
   needs the lock.  */
static const struct change *
newest (const char *kind, const char *name)
{
  for (guint i = changes->len; i > 0; i--)
    {
      const struct change *change = g_ptr_array_index (changes, i - 1);

      if (strcmp (change->kind, kind) == 0 && strcmp (change->name, name) == 0)
        return change;
    }
  return NULL;
}

/* Returns the list of KIND; needs the lock.  */
static char *
list_json (const char *kind)
{
  GString *out = g_string_new ("{\"items\":[");
  int count = 0;

  for (guint i = 0; i < changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (changes, i);

      if (strcmp (change->kind, kind) != 0 || change->spec == NULL
          || newest (kind, change->name) != change)
        continue;
      g_string_append (out, count++ > 0 ? "," : "");
      add_object (out, change);
    }
  g_string_append_printf (out, "],\"has_more\":false,\"at\":%u}",
                          changes->len);
  return g_string_free (out, FALSE);
}

/* Returns the changes of KIND after SINCE, or NULL if there are none; needs
   the lock.  */
static char *
events_json (const char *kind, long since)
{
  GString *out = g_string_new ("{\"events\":[");
  int count = 0;

  for (guint i = 0; i < changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (changes, i);

      if (strcmp (change->kind, kind) != 0 || change->revision <= since)
        continue;
      g_string_append_printf (
          out, "%s{\"deleted\":%s,\"object\":", count++ > 0 ? "," : "",
          change->spec ? "false" : "true");
      add_object (out, change);
      g_string_append_c (out, '}');
    }
  g_string_append_printf (out, "],\"at\":%u}", changes->len);
  if (count > 0)
    return g_string_free (out, FALSE);
  g_string_free (out, TRUE);
  return NULL;
}

/* Answers FD with STATUS and the JSON BODY, which is freed.  */
static void
answer_json (int fd, const char *status, char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Type: "
                                "application/json\r\nContent-Length: %zu\r\n"
                                "\r\n%s",
                                status, strlen (body), body);

  fx_write (fd, text);
  g_free (text);
  g_free (body);
}

/* Answers a watch of KIND after SINCE, when something has changed or WAIT_MS
   are over.  */
static void
answer_watch (int fd, const char *kind, long since, long wait_ms)
{
  struct timespec until;
  char *body = NULL;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_nsec -= 1000000000;
      until.tv_sec++;
    }
  pthread_mutex_lock (&lock);
  while (store_is_deaf)
    pthread_cond_wait (&changed, &lock);
  while (since >= kept_from && (body = events_json (kind, since)) == NULL
         && pthread_cond_timedwait (&changed, &lock, &until) == 0)
    ;
  if (body == NULL && since >= kept_from)
    body = g_strdup_printf ("{\"events\":[],\"at\":%u}", changes->len);
  pthread_mutex_unlock (&lock);
  if (body != NULL)
    answer_json (fd, "200 OK", body);
  else
    answer_json (fd, "410 Gone", g_strdup ("{}"));
}

/* Serves one connection to the store.  */
static void *
serve_store (void *closure)
{
  int fd = GPOINTER_TO_INT (closure);
  char *request;

  while ((request = read_request (fd)) != NULL)
    {
      char kind[64] = "";
      char *watch = strstr (request, "watch=");
      char *wait = strstr (request, "wait_ms=");
      int down;

      sscanf (request, "%*s /objects/%63[^ /?]", kind);
      pthread_mutex_lock (&lock);
      down = store_is_down;
      pthread_mutex_unlock (&lock);
      if (down)
        {
          g_free (request);
          break;
        }
      if (strncmp (request, "POST", 4) == 0)
        answer_json (fd, "201 Created", g_strdup ("{}"));
      else if (watch != NULL)
        answer_watch (fd, kind, strtol (watch + 6, NULL, 10),
                      wait ? strtol (wait + 8, NULL, 10) : 0);
      else
        {
          char *body;

          pthread_mutex_lock (&lock);
          body = list_json (kind);
          pthread_mutex_unlock (&lock);
          answer_json (fd, "200 OK", body);
        }
      g_free (request);
    }
  shutdown (fd, SHUT_RDWR);
  return NULL;
}

/* Serves one connection to a target.  */
struct served
{
  struct fx_target *target;
  int fd;
};

static void *
serve_target (void *closure)
{
  struct served *served = closure;
  struct fx_target *target = served->target;
  struct fx_request request = { .fd = served->fd };
  int keep = 1;

  while (keep && (request.text = read_request (served->fd)) != NULL)
    {
      pthread_mutex_lock (&lock);
      request.number = ++target->requests;
      g_free (target->last);
      target->last = g_strdup (request.text);
      pthread_mutex_unlock (&lock);
      keep = target->behave (&request);
      g_free (request.text);
    }
  if (keep)
    {
      pthread_mutex_lock (&lock);
      target->peer_closed++;
      pthread_mutex_unlock (&lock);
    }
  close (served->fd);
  g_free (served);
  return NULL;
}

/* Runs FN in a thread of its own.  */
static void
start_thread (void *(*fn) (void *), void *closure)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, fn, closure) != 0)
    abort ();
  pthread_detach (thread);
}

/* Takes connections to the store.  */
static void *
accept_store (void *closure)
{
  int listener = GPOINTER_TO_INT (closure);
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      pthread_mutex_lock (&lock);
      g_array_append_val (store_fds, fd);
      pthread_mutex_unlock (&lock);
      start_thread (serve_store, GINT_TO_POINTER (fd));
    }
  return NULL;
}

/* Takes connections to a target.  */
static void *
accept_target (void *closure)
{
  struct fx_target *target = closure;
  int fd;

  while ((fd = accept (target->listener, NULL, NULL)) >= 0)
    {
      struct served *served = g_new0 (struct served, 1);

      served->target = target;
      served->fd = fd;
      start_thread (serve_target, served);
    }
  return NULL;
}

/* Puts a new revision of an object into the store; SPEC NULL deletes it.  */
static void
put (const char *kind, const char *name, const char *spec)
{
  struct change *change = g_new0 (struct change, 1);

  change->kind = g_strdup (kind);
  change->name = g_strdup (name);
  change->spec = g_strdup (spec);
  pthread_mutex_lock (&lock);
  change->revision = (long)changes->len + 1;
  g_ptr_array_add (changes, change);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

void
fx_store_put (const char *kind, const char *name, const char *spec)
{
  put (kind, name, spec);
}

void
fx_store_delete (const char *kind, const char *name)
{
  put (kind, name, NULL);
}

/* Forgets the history, and cuts the watches off.  */
void
fx_store_compact (void)
{
  pthread_mutex_lock (&lock);
  kept_from = (long)changes->len;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

/* Lets watches go without an answer, or be answered again.  */
void
fx_store_deaf (int deaf)
{
  pthread_mutex_lock (&lock);
  store_is_deaf = deaf;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

/* Lets the store close every connection without an answer, or answer again. */
void
fx_store_down (int down)
{
  pthread_mutex_lock (&lock);
  store_is_down = down;
  for (guint i = 0; down && i < store_fds->len; i++)
    shutdown (g_array_index (store_fds, int, i), SHUT_RDWR);
  pthread_mutex_unlock (&lock);
}

/* Writes TARGET's entry in its present state.  */
static void
announce (const struct fx_target *target)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\",\"cold_left_ms\":0,"
      "\"sequence\":1}",
      target->service, target->port, target->state);

  put ("servers", target->id, spec);
  g_free (spec);
}

/* Starts a target and enters it.  */
struct fx_target *
fx_target_add (const char *id, const char *service, fx_behave_fn behave)
{
  struct fx_target *target = g_new0 (struct fx_target, 1);

  target->id = g_strdup (id);
  target->service = g_strdup (service);
  target->state = g_strdup ("ready");
  target->behave = behave;
  target->listener = listen_any (&target->port);
  g_ptr_array_add (targets, target);
  start_thread (accept_target, target);
  announce (target);
  return target;
}

void
fx_target_state (struct fx_target *target, const char *state)
{
  g_free (target->state);
  target->state = g_strdup (state);
  announce (target);
}

void
fx_target_remove (struct fx_target *target)
{
  fx_store_delete ("servers", target->id);
}

/* Lets gates reach TARGET through a link from now on.  */
struct lnk *
fx_target_link (struct fx_target *target)
{
  struct lnk *link = lnk_start (target->port);

  target->port = lnk_port (link);
  announce (target);
  return link;
}

/* Lets the gate numbered GATE, not started yet, reach the store through a link
   of its own.  */
struct lnk *
fx_store_link (int gate)
{
  struct lnk *link = lnk_start (store_port);

  gates[gate].store_port = lnk_port (link);
  return link;
}

int
fx_target_requests (struct fx_target *target)
{
  int requests;

  pthread_mutex_lock (&lock);
  requests = target->requests;
  pthread_mutex_unlock (&lock);
  return requests;
}

/* Returns the last request of TARGET, newly allocated.  */
char *
fx_target_last (struct fx_target *target)
{
  char *last;

  pthread_mutex_lock (&lock);
  last = g_strdup (target->last ? target->last : "");
  pthread_mutex_unlock (&lock);
  return last;
}

/* Returns how many connections the gate closed.  */
int
fx_target_peer_closed (struct fx_target *target)
{
  int closed;

  pthread_mutex_lock (&lock);
  closed = target->peer_closed;
  pthread_mutex_unlock (&lock);
  return closed;
}

/* Returns whether gate INDEX says that it is ready.  */
int
fx_gate_ready (int index)
{
  int fd = dial (gates[index].ready_port);
  char *text;
  int ready;

  if (fd < 0)
    return 0;
  fx_write (fd, "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
  text = fx_read_all (fd);
  ready = g_str_has_prefix (text, "HTTP/1.1 200");
  g_free (text);
  return ready;
}

/* Returns whether the first gate says that it is ready.  */
int
fx_is_ready (void)
{
  return fx_gate_ready (0);
}

/* Returns whether gate INDEX takes connections.  */
int
fx_gate_listens (int index)
{
  int fd = dial (gates[index].front_port);

  if (fd < 0)
    return 0;
  close (fd);
  return 1;
}

/* Returns whether the first gate blocks or catches SIGHUP by now.  */
int
fx_expects_signals (void)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)gates[0].pid);
  char *text = NULL;
  unsigned long long masks = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    for (const char *const *name
         = (const char *const[]){ "\nSigBlk:", "\nSigCgt:", NULL };
         *name != NULL; name++)
      {
        const char *at = strstr (text, *name);

        if (at != NULL)
          masks |= strtoull (at + strlen (*name), NULL, 16);
      }
  g_free (text);
  g_free (path);
  return (masks >> (SIGHUP - 1)) & 1;
}

/* Returns whether the first gate takes connections.  */
static int
is_listening (void)
{
  return fx_gate_listens (0);
}

/* Writes the settings of gate INDEX, with MORE at their end, and returns their
   path, newly allocated.  */
static char *
write_settings (int index, const char *more)
{
  const struct gate_process *gate = &gates[index];
  char *name = g_strdup_printf ("gate-%d.yaml", index);
  char *path = g_build_filename (directory, name, NULL);
  char *text = g_strdup_printf (
      "interface: platform\ninstance: gate-%d\ndeployment: test\n"
      "failure_domain: %c\nregion: r\nlisten: 127.0.0.1:%d\n"
      "readiness_listen: 127.0.0.1:%d\npeer_listen: 127.0.0.1:%d\n"
      "operator_listen: 127.0.0.1:%d\nplatform: 127.0.0.1:%d\n"
      "retry_slack: 50\ngrace_s: 8\n%s",
      index, 'a' + index % FX_DOMAINS, gate->front_port, gate->ready_port,
      gate->peer_port, gate->metrics_port,
      gate->store_port != 0 ? gate->store_port : store_port, more);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_free (name);
  return path;
}

/* Writes the first gate's settings once more, with MORE at their end.  */
void
fx_settings (const char *more)
{
  g_free (write_settings (0, more));
}

/* Returns the first gate's metrics, newly allocated.  */
char *
fx_metrics (void)
{
  int fd = dial (gates[0].metrics_port);

  fx_write (fd, "GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n"
                "\r\n");
  return fx_read_all (fd);
}

/* Returns the snapshot of an instance that knows all that is in the store.  */
static char *
snapshot_json (void)
{
  GString *out = g_string_new (NULL);
  const struct change *config;
  int count = 0;

  pthread_mutex_lock (&lock);
  config = newest ("config", "main");
  g_string_append_printf (out,
                          "{\"whole\":true,\"config_revision\":%ld,"
                          "\"targets_revision\":%u,\"config\":{\"name\":"
                          "\"main\",\"revision\":%ld,\"content\":%s},"
                          "\"targets\":[",
                          config->revision, changes->len, config->revision,
                          config->spec);
  for (guint i = 0; i < changes->len; i++)
    {
      const struct change *change = g_ptr_array_index (changes, i);

      if (strcmp (change->kind, "servers") == 0)
        g_string_append_printf (
            out, "%s{\"name\":\"%s\",\"revision\":%ld,\"content\":%s}",
            count++ > 0 ? "," : "", change->name, change->revision,
            change->spec);
    }
  pthread_mutex_unlock (&lock);
  g_string_append (out, "],\"gone\":[]}");
  return g_string_free (out, FALSE);
}

/* Answers FD with TEXT, which is freed, packed as instances do.  */
static void
answer_packed (int fd, char *text)
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

/* Answers the connections to the scripted peer with its snapshot.  */
static void *
serve_peer (void *closure)
{
  int listener = GPOINTER_TO_INT (closure);
  int fd;

  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      char *request;

      while ((request = read_request (fd)) != NULL)
        {
          g_free (request);
          answer_packed (fd, snapshot_json ());
        }
      close (fd);
    }
  return NULL;
}

/* An instance that is played by its beats. */
struct beater
{
  int fd;
  struct wire_message message;
};

/* Sends the beats of a played instance, for a while.  */
static void *
beat_peer (void *closure)
{
  struct beater *beater = closure;
  struct sockaddr_in address = { .sin_family = AF_INET };
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_key key;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)gates[0].peer_port);
  wire_key_derive (&key, "", "test");
  for (int i = 0; i < PEER_BEATS; i++)
    {
      size_t length;

      beater->message.sequence++;
      length = wire_encode (&beater->message, &key, data);
      sendto (beater->fd, data, length, 0, (struct sockaddr *)&address,
              sizeof address);
      fx_sleep_ms (PEER_BEAT_MS);
    }
  close (beater->fd);
  g_free (beater);
  return NULL;
}

/* Starts the beats of the instance SENDER, which come from PORT; 0: any.  */
static void
start_beats (uint32_t sender, int port, const struct wire_heartbeat *beat)
{
  struct beater *beater = g_new0 (struct beater, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };

  beater->message.kind = WIRE_HEARTBEAT;
  beater->message.sender = sender;
  beater->message.incarnation = 1;
  beater->message.u.heartbeat = *beat;
  beater->fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  if (sodium_init () < 0
      || bind (beater->fd, (struct sockaddr *)&address, sizeof address) != 0)
    abort ();
  start_thread (beat_peer, beater);
}

/* Starts COUNT instances in the gate's failure domain that say they watch the
   store, and know nothing.  */
void
fx_deaf_watchers_start (int count)
{
  struct wire_heartbeat beat = { .store = WIRE_STORE_WATCHED,
                                 .state = MEM_READY,
                                 .domain = (uint32_t)rank_hash ("a") };

  for (int i = 0; i < count; i++)
    start_beats ((uint32_t)i + 1, 0, &beat);
}

/* Starts an instance that knows what is in the store, and lets the gate hear
   of it.  */
void
fx_peer_start (void)
{
  struct wire_heartbeat beat
      = { .revision = 1000, .config_revision = 1000, .state = MEM_READY };
  int port;
  int listener = listen_any (&port);

  start_thread (serve_peer, GINT_TO_POINTER (listener));
  start_beats (1000, port, &beat);
}

/* Starts the process of gate INDEX, at the ports that it had before, if any;
   its log goes to LOG.  */
void
fx_gate_spawn (int index, const char *log)
{
  struct gate_process *gate = &gates[index];
  char *self = g_file_read_link ("/proc/self/exe", NULL);
  char *tests = g_path_get_dirname (self);
  char *program = g_build_filename (tests, "..", "ibisloomd", NULL);
  char *settings;
  char *arguments[4] = { program, (char *)"--settings" };
  posix_spawn_file_actions_t actions;

  if (gate->front_port == 0)
    {
      gate->front_port = free_port ();
      gate->ready_port = free_port ();
      gate->peer_port = free_port ();
      gate->metrics_port = free_port ();
    }
  settings = write_settings (index, "retry_ratio: 0.2\n");
  arguments[2] = settings;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn (&gate->pid, program, &actions, NULL, arguments, environ)
      != 0)
    abort ();
  posix_spawn_file_actions_destroy (&actions);
  g_free (settings);
  g_free (program);
  g_free (tests);
  g_free (self);
}

/* Starts the store, with CONFIG in it if that is not NULL.  Targets come
   before.  */
void
fx_store_start (const char *config)
{
  signal (SIGPIPE, SIG_IGN);
  store_listener = listen_any (&store_port);
  start_thread (accept_store, GINT_TO_POINTER (store_listener));
  directory = g_dir_make_tmp ("gate-XXXXXX", NULL);
  memset (gates, 0, sizeof gates);
  if (config != NULL)
    put ("config", "main", config);
}

/* Starts the store and the first gate; waits until it is ready, if it has a
   configuration.  */
void
fx_start (const char *config)
{
  char *text = NULL;
  char *log;

  fx_store_start (config);
  log = g_build_filename (directory, "gate.log", NULL);
  fx_gate_spawn (0, log);
  if (!fx_settled (config != NULL ? fx_is_ready : is_listening)
      && g_file_get_contents (log, &text, NULL, NULL))
    printf ("the gate did not start: %s\n", text);
  unlink (log);
  g_free (text);
  g_free (log);
}

/* Prepares an empty store and no targets.  */
__attribute__ ((constructor)) static void
fx_prepare (void)
{
  changes = g_ptr_array_new ();
  targets = g_ptr_array_new ();
  store_fds = g_array_new (FALSE, FALSE, sizeof (int));
}

/* Ends the gate, if it runs, the targets and the store.  */
void
fx_stop (void)
{
  for (int i = 0; i < FX_GATES_MAX; i++)
    {
      char *name = g_strdup_printf ("%s/gate-%d.yaml", directory, i);

      fx_gate_signal (i, SIGKILL);
      fx_gate_wait (i);
      unlink (name);
      g_free (name);
    }
  for (guint i = 0; i < targets->len; i++)
    shutdown (((struct fx_target *)g_ptr_array_index (targets, i))->listener,
              SHUT_RDWR);
  shutdown (store_listener, SHUT_RDWR);
  pthread_mutex_lock (&lock);
  for (guint i = 0; i < store_fds->len; i++)
    shutdown (g_array_index (store_fds, int, i), SHUT_RDWR);
  /* Threads may still hold what was there: it is left to the process.  */
  changes = g_ptr_array_new ();
  targets = g_ptr_array_new ();
  store_fds = g_array_new (FALSE, FALSE, sizeof (int));
  kept_from = 0;
  store_is_down = 0;
  store_is_deaf = 0;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  rmdir (directory);
  g_free (directory);
}

/* Sends the signal NUMBER to gate INDEX, if it runs.  */
void
fx_gate_signal (int index, int number)
{
  if (gates[index].pid > 0)
    kill (gates[index].pid, number);
}

/* Waits for the end of gate INDEX, if it runs, and returns its exit status, or
   less than 0, the number of the signal that ended it.  */
int
fx_gate_wait (int index)
{
  int status = 0;

  if (gates[index].pid <= 0)
    return 0;
  for (int ms = 0; waitpid (gates[index].pid, &status, WNOHANG) == 0; ms += 5)
    {
      /* A gate that does not end is a failure, not a wait without end.  */
      if (ms >= SETTLE_MS)
        kill (gates[index].pid, SIGKILL);
      fx_sleep_ms (5);
    }
  gates[index].pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

void
fx_signal (int number)
{
  fx_gate_signal (0, number);
}

int
fx_wait (void)
{
  return fx_gate_wait (0);
}

int
fx_terminate (void)
{
  fx_signal (SIGTERM);
  return fx_wait ();
}

/* Waits until CONDITION holds.  Returns whether it does.  */
int
fx_settled (int (*condition) (void))
{
  for (int ms = 0; ms < SETTLE_MS; ms += SETTLE_STEP_MS)
    {
      if (condition ())
        return 1;
      fx_sleep_ms (SETTLE_STEP_MS);
    }
  return 0;
}

void
fx_sleep_ms (int ms)
{
  struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

/* Writes all of TEXT; a peer that is gone is no error here.  */
void
fx_write (int fd, const char *text)
{
  size_t left = strlen (text);

  while (left > 0)
    {
      ssize_t sent = send (fd, text, left, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      left -= (size_t)sent;
    }
}

/* Makes the close of FD a reset.  */
void
fx_reset (int fd)
{
  struct linger linger = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Lets FD take little at once.  */
void
fx_narrow (int fd)
{
  int bytes = 2048;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

/* Returns a connection to the listener for callers of gate INDEX, or -1.  */
int
fx_gate_open (int index)
{
  return dial (gates[index].front_port);
}

/* Returns a connection to the first gate's listener for callers.  */
int
fx_open (void)
{
  return fx_gate_open (0);
}

void
fx_send (int fd, const char *text)
{
  fx_write (fd, text);
}

/* Returns what comes from FD up to TEXT, newly allocated.  */
char *
fx_read_until (int fd, const char *text)
{
  GString *got = g_string_new (NULL);
  char byte;

  while (strstr (got->str, text) == NULL && recv (fd, &byte, 1, 0) == 1)
    g_string_append_c (got, byte);
  return g_string_free (got, FALSE);
}

/* Returns all that comes from FD until its end, newly allocated, and closes
   it.  */
char *
fx_read_all (int fd)
{
  GString *got = g_string_new (NULL);
  char buffer[READ_BYTES];
  ssize_t length;

  while ((length = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (got, buffer, length);
  close (fd);
  return g_string_free (got, FALSE);
}

/* Sends REQUEST on a connection of its own and returns all that comes back,
   newly allocated.  */
char *
fx_call (const char *request)
{
  int fd = fx_open ();

  fx_write (fd, request);
  return fx_read_all (fd);
}
