/* Faults of the routers in the soak: restarts, pauses and reloads. */
#include <pthread.h>
#include <signal.h>

#include "soak.h"

enum
{
  START_TIMEOUT_MS = 2000
};

static gint restarting[FX_ROUTERS_MAX];

/* Waits until router INDEX accepts connections.  A signal that arrives before
   the router's main function has blocked it would end the process by its
   default action.  */
void
soak_wait_for_listener (int index)
{
  for (int ms = 0; !fx_router_listens (index) && ms < START_TIMEOUT_MS;
       ms += 5)
    fx_sleep_ms (5);
}

/* A restart of a router, in a thread, so that other faults overlap with it. */
struct restart
{
  int router;
  int number;
  int pause_ms;
  const char *log;
};

/* Ends a router by a signal and starts it again.  An exit by SIGTERM with a
   status other than 0 is a violation.  */
static void *
restart_router (void *closure)
{
  struct restart *restart = closure;
  int status;

  fx_router_signal (restart->router, restart->number);
  status = fx_router_wait_for_exit (restart->router);
  if (restart->number == SIGTERM && status != 0)
    {
      char *description = g_strdup_printf ("router %d exited with status %d",
                                           restart->router, status);

      soak_report_violation ("stop", description, NULL);
      g_free (description);
    }
  fx_sleep_ms (restart->pause_ms);
  fx_router_spawn (restart->router, restart->log);
  soak_wait_for_listener (restart->router);
  soak_note_cause (restart->router, SOAK_CAUSE_PROCESS, 0);
  g_atomic_int_set (&restarting[restart->router], 0);
  g_free (restart);
  return NULL;
}

/* Starts a restart of router INDEX by signal NUMBER, unless it is already
   being restarted or paused.  */
void
soak_restart_router (GRand *random, int index, int number, const char *log)
{
  struct restart *restart;
  pthread_t thread;

  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  soak_note_cause (index, SOAK_CAUSE_PROCESS, 1);
  restart = g_new0 (struct restart, 1);
  restart->router = index;
  restart->number = number;
  restart->pause_ms = g_rand_int_range (random, 0, 300);
  restart->log = log;
  pthread_create (&thread, NULL, restart_router, restart);
  pthread_detach (thread);
}

/* Stops the process of router INDEX for up to 700 ms, unless it is being
   restarted.  */
void
soak_pause_router (GRand *random, int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  soak_note_cause (index, SOAK_CAUSE_PROCESS, 1);
  fx_router_signal (index, SIGSTOP);
  fx_sleep_ms (g_rand_int_range (random, 50, 700));
  fx_router_signal (index, SIGCONT);
  soak_note_cause (index, SOAK_CAUSE_PROCESS, 0);
  g_atomic_int_set (&restarting[index], 0);
}

/* Makes router INDEX reload its settings, unless it is being restarted.  */
void
soak_reload_settings (int index)
{
  if (!g_atomic_int_compare_and_exchange (&restarting[index], 0, 1))
    return;
  fx_router_signal (index, SIGHUP);
  g_atomic_int_set (&restarting[index], 0);
}

/* Waits until none of the first COUNT routers is being restarted.  */
void
soak_wait_for_restarts (int count)
{
  for (int i = 0; i < count; i++)
    while (g_atomic_int_get (&restarting[i]))
      fx_sleep_ms (10);
}

/* Checks that none of the first COUNT routers has ended by itself, which is
   reported once for each start.  */
void
soak_check_processes (int count)
{
  static int reported[FX_ROUTERS_MAX]; /* count of its starts then */

  for (int i = 0; i < count; i++)
    {
      int starts = fx_router_start_count (i);

      if (g_atomic_int_get (&restarting[i]) || !fx_router_has_ended (i)
          || reported[i] == starts)
        continue;
      soak_report_violation ("process", "a router has ended by itself", NULL);
      reported[i] = starts;
    }
}
