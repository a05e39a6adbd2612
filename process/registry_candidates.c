/* Targets of a service that a request may be sent to, with their loads. */
#include "ibisloom/registry.h"

enum
{
  /* For this long a target's report of its load is more current than the
     heartbeats of the other instances.  */
  REPORT_FRESH_MS = 150,
  /* If more than one in so many entries is missing, the store has lost
     them.  */
  MASS_LOSS_DIVISOR = 3,
  LOSS_DOMAINS_MAX = 16
};

/* Part of the load limit above which a target is near it. */
static const double NEAR_LIMIT_SHARE = 0.5;

/* Targets of one service in one failure domain. */
struct domain_loss
{
  const char *failure_domain; /* interned */
  uint32_t known;
  uint32_t missing;
};

/* Targets of one service, by failure domain and in total. */
struct service_loss
{
  struct domain_loss domains[LOSS_DOMAINS_MAX];
  uint32_t count;
  struct domain_loss all;
};

static struct service_loss count_losses (const struct registry *registry,
                                         const char *service);
static struct domain_loss *domain_loss_get (struct service_loss *service_loss,
                                            const char *failure_domain);
static int is_store_loss (const struct domain_loss *domain_loss);
static double estimate_load (const struct reg_target *target, clk_ms now);
static int has_no_room (const struct reg_target *target, clk_ms now);

/* Returns whether a few more requests would bring TARGET to its load limit.
   That is so above half the limit, which is a little over the mean load.  */
int
reg_is_near_limit (const struct reg_target *target, clk_ms now)
{
  return estimate_load (target, now) > target->load_limit * NEAR_LIMIT_SHARE
         || reg_is_scarce (target, now);
}

/* Returns whether requests wait for capacity of TARGET, of which little is
   left.  */
int
reg_is_scarce (const struct reg_target *target, clk_ms now)
{
  return now < target->wait_limit.scarce_until_ms
         && estimate_load (target, now)
                >= wait_limit_get (&target->wait_limit, target->slots)
                       * NEAR_LIMIT_SHARE;
}

/* Counts the targets of SERVICE that are neither leaving, withheld nor
   evacuated, and those of them whose entries are missing.  */
static struct service_loss
count_losses (const struct registry *registry, const char *service)
{
  struct service_loss service_loss = { .count = 0 };

  for (guint i = 0; i < registry->array->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (registry->array, i);
      struct domain_loss *domain_loss;

      if (target->service != service || target->leaving || target->is_withheld
          || target->is_evacuated)
        continue;
      domain_loss = domain_loss_get (&service_loss, target->failure_domain);
      domain_loss->known++;
      domain_loss->missing += target->missing_until_ms != 0;
      service_loss.all.known++;
      service_loss.all.missing += target->missing_until_ms != 0;
    }
  return service_loss;
}

/* Returns the counts of FAILURE_DOMAIN in SERVICE_LOSS, added if new; domains
   beyond LOSS_DOMAINS_MAX share the last entry.  */
static struct domain_loss *
domain_loss_get (struct service_loss *service_loss, const char *failure_domain)
{
  struct domain_loss *domain_loss = service_loss->domains;

  while (domain_loss < service_loss->domains + service_loss->count
         && domain_loss->failure_domain != failure_domain)
    domain_loss++;
  if (domain_loss == service_loss->domains + LOSS_DOMAINS_MAX)
    return domain_loss - 1;
  if (domain_loss == service_loss->domains + service_loss->count)
    {
      domain_loss->failure_domain = failure_domain;
      service_loss->count++;
    }
  return domain_loss;
}

/* Returns whether so many entries are missing that the store must have lost
   them, since so many targets do not leave at once.  */
static int
is_store_loss (const struct domain_loss *domain_loss)
{
  return domain_loss->missing * MASS_LOSS_DIVISOR > domain_loss->known;
}

/* Copies to CANDIDATES and TARGETS up to CAPACITY usable targets of SERVICE,
   which is interned, and returns how many.  Targets in evacuated failure
   domains are not usable, nor are those whose entries say that they leave;
   those that have only responded so are candidates, and closed.  A target
   whose entry is missing is usable only if the store has lost entries both of
   the service as a whole and of the target's failure domain: a loss in one
   domain does not explain a target missing in another.  */
size_t
reg_candidates (struct registry *registry, const char *service,
                const char *failure_domain, clk_ms now,
                struct bal_candidate *candidates, struct reg_target **targets,
                size_t capacity)
{
  struct service_loss service_loss = count_losses (registry, service);
  int include_missing = is_store_loss (&service_loss.all);
  size_t count = 0;

  for (guint i = 0; i < registry->array->len && count < capacity; i++)
    {
      struct reg_target *target = g_ptr_array_index (registry->array, i);
      struct bal_candidate *candidate = &candidates[count];

      if (target->service != service || target->entry_leaving
          || target->is_withheld || target->is_evacuated
          || (target->missing_until_ms != 0
              && (!include_missing
                  || !is_store_loss (domain_loss_get (
                      &service_loss, target->failure_domain)))))
        continue;
      candidate->id = target->hash;
      candidate->load = estimate_load (target, now);
      candidate->slots = target->slots;
      candidate->state = health_get_state (&target->health, now);
      candidate->error_rate = health_error_rate (&target->health, now);
      candidate->local = target->failure_domain == failure_domain;
      candidate->excluded = 0;
      candidate->warming_up = now < target->warm_at_ms;
      candidate->is_cold = reg_is_cold (target, now) != 0;
      candidate->rate_limited
          = candidate->is_cold || rate_is_limited (&target->rate);
      candidate->rate_tokens = rate_tokens (&target->rate, now);
      if (candidate->is_cold)
        candidate->rate_tokens
            = MIN (candidate->rate_tokens, rate_tokens (&target->cold, now));
      candidate->is_paced_out
          = !pace_may_send (&target->pace, reg_counted_load (target), now)
            || pause_restrains (&target->notice, target->in_flight, now);
      candidate->has_no_room = (uint8_t)has_no_room (target, now);
      candidate->begin_ms = 0;
      candidate->read_ms = 0;
      candidate->is_leaving = target->notice.is_leaving;
      candidate->is_paused = pause_left_ms (&target->notice, now) > 0;
      targets[count++] = target;
    }
  return count;
}

/* Returns whether TARGET is cold at NOW and its service limits the requests
   to such targets.  */
int
reg_is_cold (const struct reg_target *target, clk_ms now)
{
  return now < target->cold_until_ms;
}

/* Returns whether TARGET is brittle and not to be sent a request at NOW.  */
static int
has_no_room (const struct reg_target *target, clk_ms now)
{
  return room_is_brittle (target->room_service, now)
         && (target->room == NULL
             || !room_has_place (
                 target->room, target->room_service, target->slots,
                 reg_counted_load (target) + room_missing (target->room, now),
                 now));
}

/* Returns the requests that all instances count at TARGET.  */
double
reg_counted_load (const struct reg_target *target)
{
  return target->in_flight + (double)target->others_in_flight;
}

/* Returns an estimate of the requests that all instances have at TARGET: their
   own counts, or the target's recent report if that is higher.  */
static double
estimate_load (const struct reg_target *target, clk_ms now)
{
  double counted = reg_counted_load (target);
  double reported = target->reported_load + target->sent_since_report;

  if (now - target->reported_ms > REPORT_FRESH_MS || target->reported_ms == 0)
    return counted;
  return MAX (counted, reported);
}
