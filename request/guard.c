/* Guard of the targets of the own interface against requests that crash them.

   It applies the same quarantine as routers do.  An instance that sees the
   connection of a request to a target break tries whether the target still
   listens; if not, it tells the other instances, so that all weigh the same
   ends.  Threads share the quarantine under a lock.  */
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "ibisloom/guard.h"
#include "ibisloom/log.h"
#include "ibisloom/quarantine.h"

enum
{
  PROBES_MAX = 8,
  PROBE_TIMEOUT_MS = 250 /* as for connections to targets */
};

struct guard
{
  struct peer *peer;
  pthread_mutex_t lock;
  pthread_cond_t probed;
  struct quarantine *quarantine;
  int probes; /* under way */
};

/* A request whose connection broke, and the address of its target. */
struct guard_probe
{
  struct guard *guard;
  struct sockaddr_in address;
  struct quar_crash crash;
};

static enum quar_verdict check (struct guard *guard, uint64_t request);
static int is_first_for (const struct guard *guard, uint64_t request);
static void *run_probe (void *closure);
static int accepts_connections (const struct sockaddr_in *address,
                                int *is_unreachable);
static void record_crash (struct guard *guard, const struct quar_crash *crash);
static void on_crash (void *closure, const struct wire_crash *told);
static void on_success (void *closure, const struct wire_success *told);
static void release_cleared (struct guard *guard, clk_ms now);
static void log_request (const char *reason, uint64_t request);

/* Returns a guard that shares what it learns with the instances of PEER.  */
struct guard *
guard_new (struct peer *peer)
{
  struct guard *guard = g_new0 (struct guard, 1);

  guard->peer = peer;
  guard->quarantine = quar_new ();
  pthread_mutex_init (&guard->lock, NULL);
  pthread_cond_init (&guard->probed, NULL);
  peer_on_crash (peer, on_crash, on_success, guard);
  return guard;
}

/* Frees GUARD, which PEER must no longer use, when its probes have ended.  */
void
guard_free (struct guard *guard)
{
  pthread_mutex_lock (&guard->lock);
  while (guard->probes > 0)
    pthread_cond_wait (&guard->probed, &guard->lock);
  pthread_mutex_unlock (&guard->lock);
  pthread_mutex_destroy (&guard->lock);
  pthread_cond_destroy (&guard->probed);
  quar_free (guard->quarantine);
  g_free (guard);
}

/* Returns whether REQUEST, a fingerprint, may not be sent now.  */
int
guard_blocks (struct guard *guard, uint64_t request)
{
  enum quar_verdict verdict;

  pthread_mutex_lock (&guard->lock);
  verdict = check (guard, request);
  pthread_mutex_unlock (&guard->lock);
  return verdict == QUAR_REFUSE;
}

/* Returns whether REQUEST may be sent to a target now, as a trial if one is
   due in this failure domain.  */
int
guard_admits (struct guard *guard, uint64_t request)
{
  enum quar_verdict verdict;

  pthread_mutex_lock (&guard->lock);
  verdict = check (guard, request);
  if (verdict == QUAR_TRIAL_DUE)
    (void)quar_begin_trial (guard->quarantine, request,
                            clk_now (clk_monotonic ()));
  pthread_mutex_unlock (&guard->lock);
  return verdict != QUAR_REFUSE;
}

/* Returns the verdict on REQUEST.  Trials are made by one instance of the
   failure domain.  The lock must be held.  */
static enum quar_verdict
check (struct guard *guard, uint64_t request)
{
  struct quar_state blocking;
  int64_t wait_ms;
  enum quar_verdict verdict
      = quar_check (guard->quarantine, &request, 1, clk_now (clk_monotonic ()),
                    &blocking, &wait_ms);

  return verdict == QUAR_TRIAL_DUE && !is_first_for (guard, request)
             ? QUAR_REFUSE
             : verdict;
}

/* Returns whether this instance ranks first for REQUEST in its domain.  */
static int
is_first_for (const struct guard *guard, uint64_t request)
{
  char role[32];

  g_snprintf (role, sizeof role, "trial-%" PRIx64, request);
  return peer_has_role (guard->peer, role, 1);
}

/* Handles that the connection of REQUEST to TARGET, at ADDRESS, broke.  It
   speaks against REQUEST if TARGET no longer listens, which a thread of its
   own finds out.  */
void
guard_suspect (struct guard *guard, uint64_t request, uint64_t target,
               const struct sockaddr_in *address)
{
  struct guard_probe *probe = NULL;
  pthread_t thread;

  pthread_mutex_lock (&guard->lock);
  if (guard->probes < PROBES_MAX)
    {
      guard->probes++;
      probe = g_new0 (struct guard_probe, 1);
    }
  pthread_mutex_unlock (&guard->lock);
  if (probe == NULL)
    return;
  probe->guard = guard;
  probe->address = *address;
  probe->crash = (struct quar_crash){ .target = target,
                                      .strength = QUAR_SUSPECT,
                                      .ended_ms = clk_now (clk_monotonic ()),
                                      .part_count = 1,
                                      .parts = { request } };
  if (pthread_create (&thread, NULL, run_probe, probe) == 0)
    pthread_detach (thread);
  else
    run_probe (probe);
}

/* Main function of the thread of the probe CLOSURE.  An end is told apart from
   the next one of the same target by the second in which it came, as a target
   keeps its identifier when it starts again.  */
static void *
run_probe (void *closure)
{
  struct guard_probe *probe = closure;
  struct guard *guard = probe->guard;
  struct wire_message message
      = { .kind = WIRE_CRASH, .u.crash = { .count = 1 } };
  int is_unreachable = 0;

  if (!accepts_connections (&probe->address, &is_unreachable))
    {
      if (is_unreachable)
        probe->crash.strength = QUAR_CUT_OFF;
      probe->crash.target = rank_mix (
          probe->crash.target, (uint64_t)(clk_wall_ms () / CLK_MS_PER_S));
      message.u.crash.target = probe->crash.target;
      message.u.crash.strength = (uint8_t)probe->crash.strength;
      message.u.crash.part[0] = probe->crash.parts[0];
      peer_broadcast (guard->peer, &message);
      record_crash (guard, &probe->crash);
    }
  pthread_mutex_lock (&guard->lock);
  guard->probes--;
  pthread_cond_signal (&guard->probed);
  pthread_mutex_unlock (&guard->lock);
  g_free (probe);
  return NULL;
}

/* Returns whether a connection to ADDRESS is accepted within PROBE_TIMEOUT_MS.
   If not, sets IS_UNREACHABLE if there was no answer at all.  */
static int
accepts_connections (const struct sockaddr_in *address, int *is_unreachable)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  struct pollfd waiting = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;

  if (fd < 0)
    return 1;
  if (connect (fd, (const struct sockaddr *)address, sizeof *address) != 0)
    {
      error = errno;
      if (error == EINPROGRESS && poll (&waiting, 1, PROBE_TIMEOUT_MS) > 0)
        getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  close (fd);
  *is_unreachable = error != 0 && error != ECONNREFUSED;
  return error == 0;
}

/* Records CRASH in the quarantine.  */
static void
record_crash (struct guard *guard, const struct quar_crash *crash)
{
  struct quar_state changed;

  pthread_mutex_lock (&guard->lock);
  if (quar_record_crash (guard->quarantine, crash, clk_now (clk_monotonic ()),
                         &changed))
    log_request ("quarantined", changed.part);
  pthread_mutex_unlock (&guard->lock);
}

/* Records a crash that another instance has TOLD.  */
static void
on_crash (void *closure, const struct wire_crash *told)
{
  struct quar_crash crash
      = { .target = told->target,
          .strength = (enum quar_strength)told->strength,
          .ended_ms = clk_now (clk_monotonic ()) - told->age_ms,
          .part_count = MIN (told->count, (uint32_t)QUAR_PARTS_MAX) };

  memcpy (crash.parts, told->part, crash.part_count * sizeof *told->part);
  record_crash (closure, &crash);
}

/* Records that a target has responded to REQUEST, and tells the other
   instances if it is suspected.  */
void
guard_succeed (struct guard *guard, uint64_t request)
{
  struct wire_message message = { .kind = WIRE_SUCCESS };
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_state released;
  struct quar_success success;
  int is_news;

  pthread_mutex_lock (&guard->lock);
  if (quar_record_success (guard->quarantine, &request, 1, now, &released) > 0)
    log_request ("released", request);
  is_news = quar_next_success (guard->quarantine, &success);
  pthread_mutex_unlock (&guard->lock);
  if (!is_news)
    return;
  message.u.success.part = success.part;
  message.u.success.age_ms = (uint32_t)(now - success.at_ms);
  peer_broadcast (guard->peer, &message);
}

/* Records a success that another instance has TOLD.  */
static void
on_success (void *closure, const struct wire_success *told)
{
  struct guard *guard = closure;
  clk_ms now = clk_now (clk_monotonic ());
  struct quar_success success
      = { .part = told->part, .at_ms = now - told->age_ms };

  pthread_mutex_lock (&guard->lock);
  quar_merge_success (guard->quarantine, &success);
  release_cleared (guard, now);
  pthread_mutex_unlock (&guard->lock);
}

/* Releases the requests that the evidence no longer suffices against.  The
   lock must be held.  */
static void
release_cleared (struct guard *guard, clk_ms now)
{
  struct quar_state released;

  while (quar_next_objection (guard->quarantine, now, &released))
    log_request ("released", released.part);
}

/* Logs that REQUEST enters or leaves quarantine.  */
static void
log_request (const char *reason, uint64_t request)
{
  struct log_line line;
  char text[24];

  if (!log_begin (&line, LOG_LEVEL_WARN, "quarantine", NULL, reason))
    return;
  g_snprintf (text, sizeof text, "%" PRIx64, request);
  log_text (&line, "part", text);
  log_end (&line);
}
