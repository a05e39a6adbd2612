/* Demand for services that are short of capacity.

   While a service is short of capacity, each instance with requests for it
   reports its demand to two coordinators: the instances that rank first for
   the service among those alive.  Each answers with the admission level that
   follows from the reports it has.  The second one makes up for the first
   until its end is noticed.  A coordinator holds only reports, which expire:
   if it is lost, or each part of a divided fleet has its own, only its answers
   are missing or partial.  The more instances there are, the less often each
   reports, so that a coordinator handles a bounded number of reports.  */
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  COORDINATORS = 2,
  REPORT_MIN_INTERVAL_MS = 150,
  /* Limits the reports that reach a coordinator to 2,000 in a second.  */
  REPORTS_PER_MS = 2,
  REPORTS_LOST_MAX = 3, /* in a row before an instance no longer counts */
  REPORT_VALID_MIN_MS = 600,
  /* A level is computed from all reports at most so often, and in a
     millisecond of that time from no more than so many reports.  */
  LEVEL_MIN_INTERVAL_MS = 20,
  LEVEL_REPORTS_PER_MS = 16,
  SERVICES_MAX = 256 /* that an instance coordinates */
};

/* Last report of an instance. */
struct sender
{
  uint32_t instance;
  clk_ms told_ms;
};

/* Service that this instance coordinates. */
struct coordinated
{
  uint64_t service;
  GArray *senders;           /* of struct sender */
  GArray *reports;           /* of struct demand_report, in the same order */
  struct demand_level level; /* as of computed_ms */
  clk_ms computed_ms;        /* 0: never */
};

struct fleet_demands
{
  GHashTable *services;    /* hash of the name to struct coordinated */
  fleet_level_fn on_level; /* may be NULL */
  void *closure;
};

static void coordinated_free (gpointer data);
static struct coordinated *coordinated_get (struct fleet *fleet,
                                            uint64_t service, clk_ms now);
static gboolean is_over (gpointer key, gpointer value, gpointer now);
static const struct demand_level *
coordinate (struct fleet *fleet, uint32_t instance,
            const struct demand_report *report);
static void drop_old (const struct fleet *fleet,
                      struct coordinated *coordinated, clk_ms now);
static uint32_t coordinators (const struct fleet *fleet, uint64_t service,
                              clk_ms now, const struct fleet_peer **first);

void
fleet_demand_init (struct fleet *fleet)
{
  fleet->demands = g_new0 (struct fleet_demands, 1);
  fleet->demands->services = g_hash_table_new_full (
      g_int64_hash, g_int64_equal, NULL, coordinated_free);
}

/* Undoes fleet_demand_init.  */
void
fleet_demand_clear (struct fleet *fleet)
{
  g_hash_table_destroy (fleet->demands->services);
  g_free (fleet->demands);
}

static void
coordinated_free (gpointer data)
{
  struct coordinated *coordinated = data;

  g_array_free (coordinated->senders, TRUE);
  g_array_free (coordinated->reports, TRUE);
  g_free (coordinated);
}

/* Sets FN to be called with CLOSURE whenever a level has come.  */
void
fleet_on_level (struct fleet *fleet, fleet_level_fn fn, void *closure)
{
  fleet->demands->on_level = fn;
  fleet->demands->closure = closure;
}

/* Returns in how many milliseconds an instance tells its demand again.  */
int64_t
fleet_demand_interval_ms (const struct fleet *fleet)
{
  return MAX (fleet_size (fleet) / REPORTS_PER_MS, REPORT_MIN_INTERVAL_MS);
}

/* Stores in FIRST the coordinators of SERVICE, in order; NULL is this
   instance.  Returns how many.  */
static uint32_t
coordinators (const struct fleet *fleet, uint64_t service, clk_ms now,
              const struct fleet_peer **first)
{
  const struct fleet_peer *peers[COORDINATORS];
  uint32_t count = fleet_top_peers (fleet, service, now, peers, COORDINATORS);
  uint64_t own = rank_mix (service, fleet->self);
  uint32_t filled = 0;
  int is_listed = 0;

  for (uint32_t i = 0; i < count && filled < COORDINATORS; i++)
    {
      if (!is_listed && rank_mix (service, peers[i]->id) < own)
        {
          first[filled++] = NULL;
          is_listed = 1;
        }
      if (filled < COORDINATORS)
        first[filled++] = peers[i];
    }
  if (!is_listed && filled < COORDINATORS)
    first[filled++] = NULL;
  return filled;
}

/* Tells the coordinators the demand in REPORT.  */
void
fleet_tell_demand (struct fleet *fleet, const struct demand_report *report)
{
  const struct fleet_demands *demands = fleet->demands;
  const struct fleet_peer *first[COORDINATORS];
  uint32_t count = coordinators (fleet, report->service,
                                 clk_now (clk_monotonic ()), first);

  for (uint32_t i = 0; i < count; i++)
    {
      struct wire_message message
          = { .kind = WIRE_DEMAND, .u.demand = *report };
      const struct demand_level *level;

      if (first[i] != NULL)
        {
          fleet_send (fleet, &first[i]->address, &message);
          continue;
        }
      level = coordinate (fleet, fleet->self, report);
      if (level != NULL && demands->on_level != NULL)
        demands->on_level (demands->closure, i, level);
    }
}

/* Answers the REPORT of PEER with the level.  */
void
fleet_apply_demand (struct fleet *fleet, const struct fleet_peer *peer,
                    const struct demand_report *report)
{
  struct wire_message message = { .kind = WIRE_LEVEL };
  const struct demand_level *level = coordinate (fleet, peer->id, report);

  if (level == NULL)
    return;
  message.u.level = *level;
  fleet_send (fleet, &peer->address, &message);
}

/* Passes on the LEVEL of PEER, unless that is no coordinator.  */
void
fleet_apply_level (struct fleet *fleet, const struct fleet_peer *peer,
                   const struct demand_level *level)
{
  const struct fleet_demands *demands = fleet->demands;
  const struct fleet_peer *first[COORDINATORS];
  uint32_t count = coordinators (fleet, level->service,
                                 clk_now (clk_monotonic ()), first);

  for (uint32_t i = 0; i < count; i++)
    if (first[i] == peer && demands->on_level != NULL)
      demands->on_level (demands->closure, i, level);
}

/* Returns what this instance knows as a coordinator of SERVICE, created if it
   is new; NULL if it coordinates too many.  */
static struct coordinated *
coordinated_get (struct fleet *fleet, uint64_t service, clk_ms now)
{
  GHashTable *services = fleet->demands->services;
  struct coordinated *coordinated = g_hash_table_lookup (services, &service);

  if (coordinated != NULL)
    return coordinated;
  if (g_hash_table_size (services) >= SERVICES_MAX)
    g_hash_table_foreach_remove (services, is_over, &now);
  if (g_hash_table_size (services) >= SERVICES_MAX)
    return NULL;
  coordinated = g_new0 (struct coordinated, 1);
  coordinated->service = service;
  coordinated->senders = g_array_new (FALSE, FALSE, sizeof (struct sender));
  coordinated->reports
      = g_array_new (FALSE, FALSE, sizeof (struct demand_report));
  g_hash_table_insert (services, &coordinated->service, coordinated);
  return coordinated;
}

/* Returns whether no report of VALUE, a coordinated service, has come lately
   at the time NOW points to.  */
static gboolean
is_over (gpointer key, gpointer value, gpointer now)
{
  const struct coordinated *coordinated = value;

  (void)key;
  return *(const clk_ms *)now - coordinated->computed_ms
         > DEMAND_LEVEL_VALID_MS;
}

/* Records the REPORT of INSTANCE.  Returns the level of its service, or NULL
   if this instance cannot coordinate it.  */
static const struct demand_level *
coordinate (struct fleet *fleet, uint32_t instance,
            const struct demand_report *report)
{
  clk_ms now = clk_now (clk_monotonic ());
  struct coordinated *coordinated
      = coordinated_get (fleet, report->service, now);
  struct sender sender = { instance, now };
  guint at = 0;

  if (coordinated == NULL)
    return NULL;
  while (at < coordinated->senders->len
         && g_array_index (coordinated->senders, struct sender, at).instance
                != instance)
    at++;
  if (at == coordinated->senders->len)
    {
      g_array_set_size (coordinated->senders, at + 1);
      g_array_set_size (coordinated->reports, at + 1);
    }
  g_array_index (coordinated->senders, struct sender, at) = sender;
  g_array_index (coordinated->reports, struct demand_report, at) = *report;
  if (now - coordinated->computed_ms
      >= MAX (coordinated->reports->len / LEVEL_REPORTS_PER_MS,
              LEVEL_MIN_INTERVAL_MS))
    {
      drop_old (fleet, coordinated, now);
      coordinated->level.service = report->service;
      coordinated->level.version++;
      coordinated->computed_ms = now;
      demand_set_level (
          (const struct demand_report *)(void *)coordinated->reports->data,
          coordinated->reports->len, &coordinated->level);
    }
  coordinated->level.age_ms = (uint32_t)(now - coordinated->computed_ms);
  return &coordinated->level;
}

/* Drops the reports of instances that tell no more: they have ended, are cut
   off, or have enough capacity.  */
static void
drop_old (const struct fleet *fleet, struct coordinated *coordinated,
          clk_ms now)
{
  int64_t valid_ms = MAX (REPORTS_LOST_MAX * fleet_demand_interval_ms (fleet),
                          REPORT_VALID_MIN_MS);

  for (guint i = coordinated->senders->len; i > 0; i--)
    if (now
            - g_array_index (coordinated->senders, struct sender, i - 1)
                  .told_ms
        > valid_ms)
      {
        g_array_remove_index_fast (coordinated->senders, i - 1);
        g_array_remove_index_fast (coordinated->reports, i - 1);
      }
}
