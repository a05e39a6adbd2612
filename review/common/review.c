/* The instances under test, their settings, and the record of a case.  */
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <spawn.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "libfixture.h"
#include "review.h"

enum
{
  PORT_FIRST = 12000,
  PORT_LAST = 31999,
  PORT_BLOCKS = 200,
  PORTS_PER_BLOCK = 100,
  ZONES = 3,
  START_TIMEOUT_MS = 10000,
  POLL_MS = 10
};

extern char **environ;

static void end_machines (void);
static void fill_in (GString *text, const char *name, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

static const char template_path[] = "deploy/instance.yaml";
static char program[] = "target/build/ibisloomd";
static const char settings_name[] = "boot.yaml";
static const char log_name[] = "log";

/* An instance under test; its ports stay when it is started again. */
struct machine
{
  pid_t pid; /* 0: does not run */
  int front_port;
  int readiness_port;
  int peer_port;
  int metrics_port;
  const char *store_host; /* NULL: the usual one */
  char zone;              /* 0: all zones in turn */
};

static struct
{
  struct machine machines[REVIEW_MACHINES_MAX];
  char *directory;
  FILE *record;
  gint64 started_us;
  int has_trouble;
} review;

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* Ends the instances with the case, which was told to end, or whose stand-ins
   have failed.  */
static void
on_signal (int number)
{
  (void)number;
  for (size_t i = 0; i < G_N_ELEMENTS (review.machines); i++)
    if (review.machines[i].pid > 0)
      kill (review.machines[i].pid, SIGKILL);
  _exit (REVIEW_NOT_RUN);
}

/* Opens the record, whose path is the argument.  Returns 0, or -1 if the case
   cannot be run.  TROUBLE=0 in the environment leaves the disruption out.  */
int
review_begin (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");

  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGABRT, on_signal);
  review.has_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  review.started_us = g_get_monotonic_time ();
  review.record = argc > 1 ? fopen (argv[1], "we") : NULL;
  if (review.record == NULL || access (program, X_OK) != 0)
    {
      fprintf (stderr, "usage: case RECORD, after the build of the deploy "
                       "file, at the top of the repository\n");
      return -1;
    }
  review.directory = g_dir_make_tmp ("review-XXXXXX", NULL);
  review_record ("disruption: %s", review.has_trouble ? "yes" : "no");
  return review.directory != NULL && atexit (end_machines) == 0 ? 0 : -1;
}

/* Returns whether the disruption is part of this run.  */
int
review_has_trouble (void)
{
  return review.has_trouble;
}

/* Returns the milliseconds since the start of the case.  */
int64_t
review_now_ms (void)
{
  return (g_get_monotonic_time () - review.started_us) / 1000;
}

/* Appends a line to the record.  */
void
review_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  pthread_mutex_lock (&record_lock);
  fprintf (review.record, "%7.3f s  ", (double)review_now_ms () / 1000);
  vfprintf (review.record, format, args);
  fputc ('\n', review.record);
  fflush (review.record);
  pthread_mutex_unlock (&record_lock);
  va_end (args);
}

/* Returns a port of loopback that no socket is bound to, below the range of
   ephemeral ports.  */
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

/* Finds the ports of MACHINE, unless it has them.  */
static void
find_ports (struct machine *machine)
{
  if (machine->front_port != 0)
    return;
  machine->front_port = find_free_port ();
  machine->readiness_port = find_free_port ();
  machine->peer_port = find_free_port ();
  machine->metrics_port = find_free_port ();
}

/* Starts the store with CONFIG as the configuration.  */
void
review_store_start (const char *config)
{
  fx_env.store_listener = fx_listen (&fx_env.store_port);
  fx_start_thread (fx_store_accept_connections,
                   GINT_TO_POINTER (fx_env.store_listener));
  fx_store_put ("config", "main", config);
}

/* Replaces NAME in TEXT by the formatted value.  */
static void
fill_in (GString *text, const char *name, const char *format, ...)
{
  va_list args;
  char *value;

  va_start (args, format);
  value = g_strdup_vprintf (format, args);
  va_end (args);
  g_string_replace (text, name, value, 0);
  g_free (value);
}

/* Returns the path of the file NAME of machine INDEX, newly allocated.  */
static char *
machine_path (int index, const char *name)
{
  return g_strdup_printf ("%s/%d-%s", review.directory, index, name);
}

/* Writes the settings of machine INDEX: the template of the deploy file,
   filled in as by the platform for a machine of a small deployment.  Returns
   the path, newly allocated, or NULL.  */
static char *
write_settings (int index, int store_port)
{
  const struct machine *machine = &review.machines[index];
  char *path = machine_path (index, settings_name);
  char zone = machine->zone != 0 ? machine->zone : (char)('a' + index % ZONES);
  char *template = NULL;
  GString *text;

  if (!g_file_get_contents (template_path, &template, NULL, NULL))
    return NULL;
  text = g_string_new (template);
  fill_in (text, "{{node}}", "front-%c-%d", zone, index + 1);
  fill_in (text, "{{region}}", "r");
  fill_in (text, "{{zone}}", "%c", zone);
  fill_in (text, "{{listen.front}}", "127.0.0.1:%d", machine->front_port);
  fill_in (text, "{{listen.readiness}}", "127.0.0.1:%d",
           machine->readiness_port);
  fill_in (text, "{{ip}}:{{port_range.0}}", "127.0.0.1:%d",
           machine->peer_port);
  fill_in (text, "{{ip}}:9464", "127.0.0.1:%d", machine->metrics_port);
  fill_in (text, "{{platform.address}}", "%s:%d",
           machine->store_host != NULL ? machine->store_host : "127.0.0.1",
           store_port);
  fill_in (text, "{{bounds.cap_factor}}", "2");
  fill_in (text, "{{bounds.retry_ratio}}", "0.2");
  fill_in (text, "{{bounds.retry_slack}}", "58");
  fill_in (text, "{{bounds.grace_s}}", "%d", REVIEW_GRACE_MS / 1000);
  fill_in (text, "{{bounds.drain_ms}}", "%d", REVIEW_DRAIN_MS);
  fill_in (text,
           "{{#bounds.config_apply_ms}}config_apply_ms: {{.}}"
           "{{/bounds.config_apply_ms}}",
           "config_apply_ms: %d", REVIEW_CONFIG_APPLY_MS);
  fill_in (text,
           "{{#platform.writes_per_s}}store_writes_per_s: {{.}}"
           "{{/platform.writes_per_s}}",
           "store_writes_per_s: 400");
  fill_in (text, "{{seeds}}", "%s", "");
  if (strstr (text->str, "{{") != NULL
      || !g_file_set_contents (path, text->str, -1, NULL))
    g_clear_pointer (&path, g_free);
  g_string_free (text, TRUE);
  g_free (template);
  return path;
}

/* Returns whether the readiness endpoint of MACHINE responds with 200.  */
static int
is_ready (const struct machine *machine)
{
  int fd = fx_connect_port (machine->readiness_port);
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

/* Starts machine INDEX, on its previous ports if it ran before, with the
   command of the deploy file; its store is at STORE_PORT.  Waits until it is
   ready.  Returns 0, or -1.  */
int
review_machine_start (int index, int store_port)
{
  struct machine *machine = &review.machines[index];
  char option[] = "--settings";
  char *arguments[] = { program, option, NULL, NULL };
  char *log = machine_path (index, log_name);
  posix_spawn_file_actions_t actions;
  int result;

  find_ports (machine);
  arguments[2] = write_settings (index, store_port);
  if (arguments[2] == NULL)
    return -1;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, STDOUT_FILENO, log,
                                    O_WRONLY | O_CREAT | O_APPEND, 0600);
  result = posix_spawn (&machine->pid, program, &actions, NULL, arguments,
                        environ);
  posix_spawn_file_actions_destroy (&actions);
  g_free (arguments[2]);
  g_free (log);
  if (result != 0)
    {
      machine->pid = 0;
      return -1;
    }
  for (int ms = 0; ms < START_TIMEOUT_MS; ms += POLL_MS)
    {
      if (is_ready (machine))
        {
          review_record ("machine %d is ready", index);
          return 0;
        }
      fx_sleep_ms (POLL_MS);
    }
  return -1;
}

/* Returns the port at which machine INDEX listens for requesters.  */
int
review_machine_port (int index)
{
  return review.machines[index].front_port;
}

/* Puts machine INDEX, which is yet to be started, in ZONE, a letter.  */
void
review_machine_set_zone (int index, char zone)
{
  review.machines[index].zone = zone;
}

/* Has machine INDEX, which is yet to be started, reach the store at HOST,
   which lasts as long.  */
void
review_machine_set_store (int index, const char *host)
{
  review.machines[index].store_host = host;
}

/* Returns the port at which machine INDEX listens for other machines.  */
int
review_machine_peer_port (int index)
{
  find_ports (&review.machines[index]);
  return review.machines[index].peer_port;
}

/* Sends the signal NUMBER to the process of machine INDEX.  */
void
review_machine_signal (int index, int number)
{
  review_record ("signal to machine %d: %s", index, strsignal (number));
  kill (review.machines[index].pid, number);
}

/* Waits for the process of machine INDEX to end by itself.  Returns its exit
   status, the negated number of the signal that ended it, or INT_MAX if it
   still runs after TIMEOUT_MS.  */
int
review_machine_wait (int index, int64_t timeout_ms)
{
  struct machine *machine = &review.machines[index];
  int64_t until_ms = review_now_ms () + timeout_ms;
  int status = 0;

  while (waitpid (machine->pid, &status, WNOHANG) == 0)
    {
      if (review_now_ms () >= until_ms)
        return G_MAXINT;
      fx_sleep_ms (POLL_MS);
    }
  machine->pid = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -WTERMSIG (status);
}

/* Ends the process of machine INDEX, if it runs, and removes its files.  */
static void
end_machine (int index)
{
  static const char *const names[] = { settings_name, log_name };
  struct machine *machine = &review.machines[index];

  if (machine->pid > 0)
    {
      kill (machine->pid, SIGKILL);
      waitpid (machine->pid, NULL, 0);
      machine->pid = 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = machine_path (index, names[i]);

      unlink (path);
      g_free (path);
    }
}

/* Ends the instances and removes their files, also of a case that could not be
   run.  */
static void
end_machines (void)
{
  for (int i = 0; i < REVIEW_MACHINES_MAX; i++)
    end_machine (i);
  rmdir (review.directory);
}

/* Ends the instances and removes their files.  Records FINDING and returns the
   exit status of the case.  */
int
review_end (int is_broken, const char *finding)
{
  end_machines ();
  review_record ("%s: %s", is_broken ? "BROKEN" : "held", finding);
  printf ("%s: %s\n", is_broken ? "BROKEN" : "held", finding);
  fflush (stdout);
  return is_broken ? REVIEW_BROKEN : REVIEW_HELD;
}
