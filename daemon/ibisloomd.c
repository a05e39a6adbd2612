/* ibisloomd: an instance of the router fleet. */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "ibisloom/error.h"
#include "ibisloom/router.h"
#include "ibisloom/log.h"
#include "ibisloom/server.h"
#include "platform.h"

enum
{
  EXIT_BAD_SETTINGS = 2,
  EXIT_CANNOT_START = 3,
  DECIMAL_BASE = 10,
  EVACUATE_MAX_MS = 600000 /* as in the settings */
};

struct arguments
{
  const char *settings;
  int64_t evacuate_ms; /* 0: as the settings say */
  int check;
};

static error_t parse_option (int key, char *value, struct argp_state *state);
static struct settings *load_settings (const char *path);
static int run_server (const struct settings *settings);
static int run_router (const struct settings *settings);
static void set_signal_mask (int how);
static void on_signal (int number);

const char *argp_program_version = "ibisloomd 0.1";

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "read settings from FILE", 0 },
        { "check-settings", 'c', "FILE", 0,
          "check FILE, print all errors, and exit", 0 },
        { "evacuate-ms", 'e', "MS", 0,
          "set evacuate_ms to MS; empty: as in the settings", 0 },
        { 0 } };

static const struct argp argument_parser
    = { options,
        parse_option,
        NULL,
        "Runs an instance of an ibisloom router fleet."
        "\vExit status: 0 after a graceful stop or a check without errors, "
        "2 for errors in the settings, 3 if it cannot start, 64 for a wrong "
        "command line.",
        NULL,
        NULL,
        NULL };

static struct server *running_server;

/* Checks the settings, or runs an instance until SIGTERM or SIGINT.  */
int
main (int argc, char **argv)
{
  struct arguments arguments = { 0 };
  struct settings *settings;
  int status;

  set_signal_mask (SIG_BLOCK);
  argp_parse (&argument_parser, argc, argv, 0, NULL, &arguments);
  settings = load_settings (arguments.settings);
  if (settings == NULL)
    return EXIT_BAD_SETTINGS;
  if (arguments.evacuate_ms > 0)
    settings->evacuate_ms = arguments.evacuate_ms;
  if (arguments.check)
    {
      settings_free (settings);
      return EXIT_SUCCESS;
    }
  log_set_level ((enum log_level)settings->log_level);
  log_set_instance (settings->instance);
  signal (SIGPIPE, SIG_IGN);
  status = settings->interface == SETTINGS_INTERFACE_PLATFORM
               ? run_router (settings)
               : run_server (settings);
  settings_free (settings);
  return status;
}

/* Runs an instance with ibisloom's own interface.  Returns the exit status. */
static int
run_server (const struct settings *settings)
{
  GError *error = NULL;

  running_server = server_new (settings, &error);
  if (running_server == NULL || server_start (running_server, &error) != 0)
    {
      log_error ("server", NULL, "cannot_start", "%s", error->message);
      return EXIT_CANNOT_START;
    }
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  set_signal_mask (SIG_UNBLOCK);
  server_run (running_server);
  server_stop (running_server);
  log_info ("server", NULL, "stopped", "all requests finished");
  server_free (running_server);
  return EXIT_SUCCESS;
}

/* Runs an instance with the interface of the users' platform.  Returns the
   exit status.  */
static int
run_router (const struct settings *settings)
{
  GError *error = NULL;
  struct router *router = router_new (settings, &plat_dialect, &error);

  if (router == NULL)
    {
      log_error ("gate", NULL, "cannot_start", "%s", error->message);
      return EXIT_CANNOT_START;
    }
  router_run (router);
  router_free (router);
  log_flush ();
  return EXIT_SUCCESS;
}

/* Blocks or unblocks the signals that an instance handles, as HOW says
   (SIG_BLOCK or SIG_UNBLOCK).  They are blocked during the start, so that a
   signal that arrives then does not kill the process.  */
static void
set_signal_mask (int how)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

/* Parses one option for argp.  */
static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  if (key == 's' || key == 'c')
    {
      arguments->settings = value;
      arguments->check = key == 'c';
      return 0;
    }
  if (key == 'e')
    {
      if (*value != '\0'
          && !g_ascii_string_to_signed (value, DECIMAL_BASE, 0,
                                        EVACUATE_MAX_MS,
                                        &arguments->evacuate_ms, NULL))
        argp_error (state, "evacuate-ms: not within 0 to %d", EVACUATE_MAX_MS);
      return 0;
    }
  if (key == ARGP_KEY_END && arguments->settings == NULL)
    argp_error (state, "name a settings file with --settings");
  return key == ARGP_KEY_END ? 0 : ARGP_ERR_UNKNOWN;
}

/* Loads the settings in PATH.  Prints all errors and returns NULL if there are
   any.  */
static struct settings *
load_settings (const char *path)
{
  GPtrArray *errors = g_ptr_array_new_with_free_func (g_free);
  struct settings *settings = settings_load (path, errors);

  for (guint i = 0; i < errors->len; i++)
    fprintf (stderr, "%s\n", (char *)g_ptr_array_index (errors, i));
  g_ptr_array_free (errors, TRUE);
  return settings;
}

/* Signal handler: begins a graceful shutdown.  */
static void
on_signal (int number)
{
  (void)number;
  /* Safe: consists of one compare-and-swap.  */
  server_request_stop (running_server); /* NOLINT(bugprone-signal-handler) */
}
