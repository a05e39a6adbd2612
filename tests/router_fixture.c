/* Processes of ibisloomd under test, and requests to them. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "proxy_fixture.h"
#include "libfixture.h"

enum
{
  WAIT_TIMEOUT_MS = 10000, /* far longer than any step of a test */
  WAIT_INTERVAL_MS = 10,
  PORT_FIRST = 12000,
  PORT_LAST = 31999,
  PORT_BLOCKS = 200,
  PORTS_PER_BLOCK = 100
};

extern char **environ;

/* Lines that routers get in their settings. */
static const char *more_settings = "";

struct fx_env fx_env = { .lock = PTHREAD_MUTEX_INITIALIZER,
                         .changed = PTHREAD_COND_INITIALIZER };

/* Returns a port that no socket is bound to.  It is below the range of
   ephemeral ports, so that no outgoing connection is assigned it before it is
   used.  Each test process starts in one of PORT_BLOCKS blocks, by its process
   id, so that test programs that run at the same time seldom share ports.  */
static int
find_free_port (void)
{
  static int next_port;

  if (next_port == 0)
    next_port = PORT_FIRST + (int)getpid () % PORT_BLOCKS * PORTS_PER_BLOCK;
  for (;;)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int is_free;

      next_port = next_port >= PORT_LAST ? PORT_FIRST : next_port + 1;
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      address.sin_port = htons ((uint16_t)next_port);
      is_free = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;
      close (fd);
      if (is_free)
        return next_port;
    }
}

/* Starts a proxy to the store for router ROUTER, which must not run yet.  */
struct proxy *
fx_store_add_proxy (int router)
{
  struct sockaddr_in address = fx_path_address (router);
  struct sockaddr_in store = address;
  struct proxy *proxy;

  store.sin_port = htons ((uint16_t)fx_env.store_port);
  proxy = proxy_start_at (&address, &store);
  fx_env.routers[router].store_port = proxy_port (proxy);
  return proxy;
}

/* Has router ROUTER, which must not run yet, exchange no datagrams with the
   others: it is of another deployment to them.  */
void
fx_router_set_apart (int router)
{
  fx_env.routers[router].is_apart = 1;
}

/* Returns whether the readiness endpoint of router INDEX responds with 200. */
int
fx_router_is_ready (int index)
{
  int fd = fx_connect_port (fx_env.routers[index].readiness_port);
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

/* Returns whether the readiness endpoint of the first router responds with
   200.  */
int
fx_is_ready (void)
{
  return fx_router_is_ready (0);
}

/* Returns whether router INDEX accepts connections of clients.  */
int
fx_router_listens (int index)
{
  int fd = fx_connect_port (fx_env.routers[index].request_port);

  if (fd < 0)
    return 0;
  close (fd);
  return 1;
}

/* Returns whether the first router blocks or catches SIGHUP, so that the
   signal no longer ends it.  */
int
fx_handles_sighup (void)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)fx_env.routers[0].pid);
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

/* Returns whether the first router accepts connections of clients.  */
static int
first_router_listens (void)
{
  return fx_router_listens (0);
}

/* Writes the settings file of router INDEX, with EXTRA appended, which may set
   grace_s.  Returns its path, newly allocated.  */
static char *
write_router_settings (int index, const char *extra)
{
  const struct router_process *router = &fx_env.routers[index];
  char *name = g_strdup_printf ("router-%d.yaml", index);
  char *path = g_build_filename (fx_env.directory, name, NULL);
  char *host = fx_path_host (index);
  char *text = g_strdup_printf (
      "interface: platform\ninstance: gate-%d\ndeployment: %s\n"
      "failure_domain: %c\nregion: r\nlisten: 127.0.0.1:%d\n"
      "readiness_listen: 127.0.0.1:%d\npeer_listen: 127.0.0.1:%d\n"
      "operator_listen: 127.0.0.1:%d\nplatform: %s:%d\n"
      "retry_slack: 50\n%s%s",
      index, router->is_apart ? "apart" : "test", 'a' + index % FX_DOMAINS,
      router->request_port, router->readiness_port, router->peer_port,
      router->metrics_port, host,
      router->store_port != 0 ? router->store_port : fx_env.store_port,
      strstr (extra, "grace_s:") != NULL ? "" : "grace_s: 8\n", extra);

  g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_free (host);
  g_free (name);
  return path;
}

/* Rewrites the settings file of the first router, with EXTRA appended.  */
void
fx_write_settings (const char *extra)
{
  g_free (write_router_settings (0, extra));
}

/* Returns the response of router INDEX at its operators' address to a request
   for PATH with FIELDS, lines of a head, newly allocated.  */
char *
fx_router_ask (int index, const char *path, const char *fields)
{
  int fd = fx_connect_port (fx_env.routers[index].metrics_port);
  char *request;
  char *response;

  if (fd < 0)
    return g_strdup ("");
  request = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: m\r\n%sConnection: close\r\n\r\n", path,
      fields);
  fx_write (fd, request);
  response = fx_read_all (fd);
  g_free (request);
  return response;
}

/* Returns the port of router INDEX for operators.  */
int
fx_router_operator_port (int index)
{
  return fx_env.routers[index].metrics_port;
}

/* Returns the response of router INDEX to a request for its metrics, newly
   allocated.  */
static char *
get_router_metrics (int index)
{
  return fx_router_ask (index, "/metrics", "");
}

/* Returns the response of the first router to a request for its metrics, newly
   allocated.  */
char *
fx_get_metrics (void)
{
  return get_router_metrics (0);
}

/* Returns the metric NAME of router INDEX, or -1.  */
long
fx_router_metric (int index, const char *name)
{
  char *text = get_router_metrics (index);
  char *key = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (text, key);
  long value = at != NULL ? strtol (at + strlen (key), NULL, 10) : -1;

  g_free (key);
  g_free (text);
  return value;
}

/* Has routers that are spawned from now on get MORE, lines of YAML, in their
   settings.  */
void
fx_routers_add_settings (const char *more)
{
  more_settings = more;
}

/* Starts router INDEX, on its previous ports if it ran before; appends its log
   to the file LOG.  */
void
fx_router_spawn (int index, const char *log)
{
  struct router_process *router = &fx_env.routers[index];
  char *self = g_file_read_link ("/proc/self/exe", NULL);
  char *tests = g_path_get_dirname (self);
  char *program = g_build_filename (tests, "..", "ibisloomd", NULL);
  char *settings;
  char *extra;
  char *arguments[4] = { program, (char *)"--settings" };
  posix_spawn_file_actions_t actions;

  if (router->request_port == 0)
    {
      router->request_port = find_free_port ();
      router->readiness_port = find_free_port ();
      router->peer_port = find_free_port ();
      router->metrics_port = find_free_port ();
    }
  extra = g_strconcat ("retry_ratio: 0.2\n", more_settings, NULL);
  settings = write_router_settings (index, extra);
  g_free (extra);
  arguments[2] = settings;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  if (posix_spawn (&router->pid, program, &actions, NULL, arguments, environ)
      != 0)
    abort ();
  g_atomic_int_inc (&router->starts);
  posix_spawn_file_actions_destroy (&actions);
  g_free (settings);
  g_free (program);
  g_free (tests);
  g_free (self);
}

/* Returns how often router INDEX was started.  */
int
fx_router_start_count (int index)
{
  return g_atomic_int_get (&fx_env.routers[index].starts);
}

/* Starts the first COUNT routers, and waits until they are ready, at most
   WAIT_TIMEOUT_MS each.  */
void
fx_routers_start (int count)
{
  for (int i = 0; i < count; i++)
    fx_router_spawn (i, "/dev/null");
  for (int i = 0; i < count; i++)
    for (int ms = 0; !fx_router_is_ready (i) && ms < WAIT_TIMEOUT_MS;
         ms += WAIT_INTERVAL_MS)
      fx_sleep_ms (WAIT_INTERVAL_MS);
}

/* Returns the largest memory of the router INDEX so far, in KB.  */
long
fx_router_peak_kb (int index)
{
  char *name
      = g_strdup_printf ("/proc/%d/status", (int)fx_env.routers[index].pid);
  char *text = NULL;
  char *peak;
  long peak_kb = 0;

  if (g_file_get_contents (name, &text, NULL, NULL))
    {
      peak = fx_header_value (text, "VmHWM");
      peak_kb = peak != NULL ? strtol (peak, NULL, 10) : 0;
      g_free (peak);
    }
  g_free (text);
  g_free (name);
  return peak_kb;
}

/* Starts the store, and stores CONFIG as the configuration if it is not NULL.
   Targets that the routers must know from their start must be added before. */
void
fx_store_start (const char *config)
{
  signal (SIGPIPE, SIG_IGN);
  fx_env.store_listener = fx_listen_at (INADDR_ANY, &fx_env.store_port);
  fx_start_thread (fx_store_accept_connections,
                   GINT_TO_POINTER (fx_env.store_listener));
  fx_env.directory = g_dir_make_tmp ("router-XXXXXX", NULL);
  memset (fx_env.routers, 0, sizeof fx_env.routers);
  if (config != NULL)
    fx_store_add_change ("config", "main", config);
}

/* Starts the store and the first router.  Waits until the router is ready, or
   only until it listens if CONFIG is NULL.  */
void
fx_env_start (const char *config)
{
  char *text = NULL;
  char *log;

  fx_store_start (config);
  log = g_build_filename (fx_env.directory, "router.log", NULL);
  fx_router_spawn (0, log);
  if (!fx_wait_until (config != NULL ? fx_is_ready : first_router_listens)
      && g_file_get_contents (log, &text, NULL, NULL))
    printf ("the router did not start: %s\n", text);
  unlink (log);
  g_free (text);
  g_free (log);
}

/* Initializes the environment with an empty store and no targets.  */
__attribute__ ((constructor)) static void
fx_env_init (void)
{
  fx_env.changes = g_ptr_array_new ();
  fx_env.lost = fx_store_make_lost ();
  fx_env.targets = g_ptr_array_new ();
  fx_env.store_fds = g_array_new (FALSE, FALSE, sizeof (int));
  fx_store_set_epoch ("1");
}

/* Kills all running routers, stops targets and store, and resets the
   environment for the next test.  */
void
fx_env_stop (void)
{
  for (int i = 0; i < FX_ROUTERS_MAX; i++)
    {
      char *name = g_strdup_printf ("%s/router-%d.yaml", fx_env.directory, i);

      fx_router_signal (i, SIGKILL);
      fx_router_wait_for_exit (i);
      unlink (name);
      g_free (name);
    }
  for (guint i = 0; i < fx_env.targets->len; i++)
    shutdown (
        ((struct fx_target *)g_ptr_array_index (fx_env.targets, i))->listener,
        SHUT_RDWR);
  shutdown (fx_env.store_listener, SHUT_RDWR);
  pthread_mutex_lock (&fx_env.lock);
  for (guint i = 0; i < fx_env.store_fds->len; i++)
    shutdown (g_array_index (fx_env.store_fds, int, i), SHUT_RDWR);
  /* Threads of the fixtures may still use the old arrays, which are therefore
     not freed, but for what a restoration took back.  */
  fx_env.changes = g_ptr_array_new ();
  g_ptr_array_free (fx_env.lost, TRUE);
  fx_env.lost = fx_store_make_lost ();
  fx_env.targets = g_ptr_array_new ();
  fx_env.store_fds = g_array_new (FALSE, FALSE, sizeof (int));
  fx_env.compacted_revision = 0;
  fx_env.store_down = 0;
  fx_env.watches_blocked = 0;
  fx_env.list_delay_ms = 0;
  fx_env.origin_reads = 0;
  fx_env.origin_writes = 0;
  fx_env.lost_responses = 0;
  pthread_cond_broadcast (&fx_env.changed);
  pthread_mutex_unlock (&fx_env.lock);
  fx_store_set_epoch ("1");
  rmdir (fx_env.directory);
  g_free (fx_env.directory);
}

/* Sends the signal NUMBER to router INDEX, if it runs.  */
void
fx_router_signal (int index, int number)
{
  if (fx_env.routers[index].pid > 0)
    kill (fx_env.routers[index].pid, number);
}

/* Waits for router INDEX to exit, and kills it after WAIT_TIMEOUT_MS.  Returns
   its exit status, the negated number of the signal that ended it, or 0 if it
   was not running.  */
int
fx_router_wait_for_exit (int index)
{
  int status = 0;

  if (fx_env.routers[index].pid <= 0)
    return 0;
  for (int ms = 0; waitpid (fx_env.routers[index].pid, &status, WNOHANG) == 0;
       ms += 5)
    {
      /* A router that hangs fails the test instead of blocking it.  */
      if (ms >= WAIT_TIMEOUT_MS)
        kill (fx_env.routers[index].pid, SIGKILL);
      fx_sleep_ms (5);
    }
  fx_env.routers[index].pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

/* Returns whether the process of router INDEX has ended.  */
int
fx_router_has_ended (int index)
{
  siginfo_t info = { 0 };

  waitid (P_PID, (id_t)fx_env.routers[index].pid, &info,
          WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid != 0;
}

void
fx_signal (int number)
{
  fx_router_signal (0, number);
}

int
fx_wait_for_exit (void)
{
  return fx_router_wait_for_exit (0);
}

int
fx_terminate (void)
{
  fx_signal (SIGTERM);
  return fx_wait_for_exit ();
}

/* Polls CONDITION until it holds, for at most WAIT_TIMEOUT_MS.  Returns
   whether it held.  */
int
fx_wait_until (int (*condition) (void))
{
  for (int ms = 0; ms < WAIT_TIMEOUT_MS; ms += WAIT_INTERVAL_MS)
    {
      if (condition ())
        return 1;
      fx_sleep_ms (WAIT_INTERVAL_MS);
    }
  return 0;
}

/* Returns a connection to the request listener of router INDEX, or -1.  */
int
fx_router_connect (int index)
{
  return fx_connect_port (fx_env.routers[index].request_port);
}

/* Returns a connection to the listener of router INDEX for instances, or -1.
 */
int
fx_router_connect_peer (int index)
{
  return fx_connect_port (fx_env.routers[index].peer_port);
}

/* Returns a connection to the request listener of the first router, or -1.  */
int
fx_connect (void)
{
  return fx_router_connect (0);
}

/* Sends REQUEST to the first router on a new connection.  Returns all that is
   received until the router closes it, newly allocated.  */
char *
fx_exchange (const char *request)
{
  int fd = fx_connect ();

  fx_write (fd, request);
  return fx_read_all (fd);
}
