/* Evacuations of a failure domain of the soak, by its operator, and the check
   that no request reaches the domain while one is in force. */
#include <pthread.h>
#include <stdio.h>

#include "soak.h"

enum
{
  /* A watch whose connection is dark is replaced within 0.3 of it and 2 s
     (docs/design/evacuation.md).  */
  EVACUATE_MS = 3000,
  HELD_MIN_MS = 4000, /* longer than EVACUATE_MS, so that some is checked */
  HELD_MAX_MS = 8000,
  BACK_MIN_MS = 500,
  BACK_MAX_MS = 2000,
  POLL_MS = 20,
  TARGETS_PER_DOMAIN = 3 /* one in so many targets is in the domain */
};

static const char DOMAIN[] = "e";

/* What may keep a router from knowing of an evacuation. */
struct router_state
{
  unsigned causes;   /* bits of enum soak_cause that last */
  int is_excused;    /* by one of them */
  gint64 started_us; /* or went on after a freeze */
  gint64 excused_until_us;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct router_state states[FX_ROUTERS_MAX];
static int routers; /* 0: no evacuations */
static pthread_t operator_thread;
static GRand *operator_random;
static gint stopping;
static gint64 confirmed_us; /* by the store; 0: not evacuated */
static int evacuations;
static int rewritten;  /* after the store had lost them */
static int in_time;    /* requests before an evacuation had to be in force */
static int excused;    /* later ones, of routers that need not know of it */
static int arrived;    /* while the domain was not evacuated */
static int violations; /* requests that no router may have sent */

/* Has the targets of one failure domain be evacuated at times, with COUNT
   routers that are yet to be started.  */
void
soak_use_evacuations (int count)
{
  routers = count;
  fx_routers_add_settings ("evacuate_ms: 3000\n");
}

/* Returns the failure domain of target INDEX.  */
const char *
soak_domain_of (int index)
{
  return routers > 0 && index % TARGETS_PER_DOMAIN == TARGETS_PER_DOMAIN - 1
             ? DOMAIN
             : "a";
}

/* Returns whether all routers that may know of the evacuation must know of it
   at NOW_US.  The lock must be held.  */
static int
is_due (gint64 now_us)
{
  return confirmed_us != 0 && now_us > confirmed_us + EVACUATE_MS * 1000;
}

/* Returns whether the router at STATE need not know of the evacuation at
   NOW_US.  The lock must be held.  */
static int
is_excused (const struct router_state *state, gint64 now_us)
{
  return state->is_excused || now_us <= state->excused_until_us;
}

/* Records that CAUSE begins at ROUTER if IS_BEGIN, else that it has ended.  A
   router that knew of the evacuation before is not excused.  */
void
soak_note_cause (int router, enum soak_cause cause, int is_begin)
{
  gint64 now_us = g_get_monotonic_time ();
  struct router_state *state = &states[router];
  unsigned before;

  pthread_mutex_lock (&lock);
  before = state->causes;
  if (is_begin)
    {
      state->causes |= 1u << cause;
      state->is_excused |= confirmed_us != 0
                           && (!is_due (now_us) || is_excused (state, now_us));
    }
  else
    state->causes &= ~(1u << cause);
  if (!is_begin && cause == SOAK_CAUSE_PROCESS)
    state->started_us = now_us;
  if (before != 0 && state->causes == 0)
    {
      if (state->is_excused)
        state->excused_until_us = now_us + EVACUATE_MS * 1000;
      state->is_excused = 0;
    }
  pthread_mutex_unlock (&lock);
}

/* Records that the store confirms the evacuation, for the first time if
   IS_FIRST, else after a restoration had lost it.  Then it stays in force at
   routers that knew of it; not at one that started when it was lost.  */
static void
confirm (int is_first)
{
  gint64 now_us;
  int is_new;

  fx_store_put ("evacuations", DOMAIN, "{}");
  now_us = g_get_monotonic_time ();
  pthread_mutex_lock (&lock);
  is_new = !is_due (now_us);
  evacuations += is_first;
  rewritten += !is_first;
  for (int i = 0; i < routers; i++)
    {
      struct router_state *state = &states[i];

      if (is_first)
        state->excused_until_us = 0;
      if (is_new || (state->causes >> SOAK_CAUSE_PROCESS & 1))
        state->is_excused = state->causes != 0;
      if (!is_new && state->started_us + EVACUATE_MS * 1000 > now_us)
        state->excused_until_us = now_us + EVACUATE_MS * 1000;
    }
  if (is_new)
    confirmed_us = now_us;
  pthread_mutex_unlock (&lock);
}

/* Waits for MS, or until the soak ends; meanwhile writes what a restoration of
   the store has taken back, as the operator does.  */
static void
keep (int is_evacuated, int ms)
{
  gint64 end_us = g_get_monotonic_time () + (gint64)ms * 1000;

  while (!g_atomic_int_get (&stopping) && g_get_monotonic_time () < end_us)
    {
      char *spec = fx_store_get ("evacuations", DOMAIN);

      if (is_evacuated && spec == NULL)
        confirm (0);
      else if (!is_evacuated && spec != NULL)
        fx_store_delete ("evacuations", DOMAIN);
      g_free (spec);
      fx_sleep_ms (POLL_MS);
    }
}

/* Evacuates the domain and takes it back, until the soak ends.  */
static void *
operate (void *closure)
{
  (void)closure;
  while (!g_atomic_int_get (&stopping))
    {
      confirm (1);
      keep (1, g_rand_int_range (operator_random, HELD_MIN_MS, HELD_MAX_MS));
      pthread_mutex_lock (&lock);
      confirmed_us = 0;
      pthread_mutex_unlock (&lock);
      fx_store_delete ("evacuations", DOMAIN);
      keep (0, g_rand_int_range (operator_random, BACK_MIN_MS, BACK_MAX_MS));
    }
  return NULL;
}

/* Starts the operator, which takes its times from RANDOM.  */
void
soak_begin_evacuations (GRand *random)
{
  operator_random = random;
  pthread_create (&operator_thread, NULL, operate, NULL);
}

/* Returns whether another router than ROUTER may have sent its request, and
   need not know of the evacuation at NOW_US: one that reaches no target sends
   requests through others.  */
static int
may_come_through_another (int router, gint64 now_us)
{
  int others = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < routers; i++)
    others += is_excused (&states[i], now_us);
  pthread_mutex_unlock (&lock);
  return others > 0 && fx_router_metric (router, "ibisloom_hops_sent_total");
}

/* Checks the arrival of a request that a client sent to ROUTER at target
   INDEX.  Returns whether no router may have sent it.  */
int
soak_check_domain (int index, int router)
{
  gint64 now_us = g_get_monotonic_time ();
  int is_late;
  int is_free;

  if (routers == 0 || soak_domain_of (index) != DOMAIN)
    return 0;
  pthread_mutex_lock (&lock);
  is_late = is_due (now_us);
  is_free = is_late && is_excused (&states[router], now_us);
  arrived += confirmed_us == 0;
  in_time += confirmed_us != 0 && !is_late;
  pthread_mutex_unlock (&lock);
  if (is_late && !is_free)
    is_free = may_come_through_another (router, now_us);
  pthread_mutex_lock (&lock);
  excused += is_free;
  violations += is_late && !is_free;
  pthread_mutex_unlock (&lock);
  return is_late && !is_free;
}

/* Has the operator end, and prints what reached the domain.  That no request
   did at all means that nothing was checked.  */
void
soak_end_evacuations (void)
{
  char *text;

  g_atomic_int_set (&stopping, 1);
  pthread_join (operator_thread, NULL);
  text = g_strdup_printf ("%d evacuations, %d written again: %d requests "
                          "there before, %d until in force, %d excused, %d "
                          "late",
                          evacuations, rewritten, arrived, in_time, excused,
                          violations);
  printf ("%s\n", text);
  if (arrived + in_time == 0)
    soak_report_violation ("evacuate", "the domain got no requests", text);
  g_free (text);
}
