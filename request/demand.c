/* Demand for a service that is short of capacity, and the admission level.

   The level admits what the targets serve, and up to twice as much while less
   waits than keeps them busy, so that an estimate that is too low corrects
   itself; less once more waits.  Classes are admitted in full, in order, as
   far as that goes; the next one in part, max-min fair among its customers:
   each as much as it asks for, up to one rate for all.  */
#include <math.h>
#include <stdlib.h>

#include <sys/param.h>

#include "ibisloom/demand.h"

enum
{
  RATE_MEAN_MS = 1000, /* over which arrivals and answers are averaged */
  CUSTOMERS_KEPT_MAX = 1024,
  KS_PER_S = 1000
};

/* Time of the capacity that is to wait: as long as a report and its answer
   take, so that capacity that frees up meanwhile is used.  */
static const double BACKLOG_S = 0.1;

/* Time in which more than that is worked off: some reports, or the level would
   answer to what it has not seen the effect of.  Less is made up for at once,
   as a burst without a backlog is no lack of capacity.  */
static const double CORRECTION_S = 0.5;

/* Part of the capacity at least admitted, so that a wrong count of what waits
   stops nothing.  */
static const double ADMITTED_MIN = 0.5;

/* A customer with fewer requests a second is forgotten.  */
static const double FORGOTTEN_PER_S = 0.05;

/* Rate of one customer in one class, over all reports. */
struct total
{
  uint64_t customer;
  double per_s;
};

/* Customer in one class, as the key of a table. */
struct entry
{
  uint64_t key; /* of both */
  uint64_t customer;
  uint32_t class;
  struct demand_rate rate;
};

static uint64_t key_of (uint32_t class, uint64_t customer);
static gboolean is_forgotten (gpointer key, gpointer value, gpointer now);
static void add_busiest (struct demand_report *report,
                         const struct demand_customer *customer);
static double admitted_per_s (const struct demand_report *reports,
                              size_t count);
static void share_class (const struct demand_report *reports, size_t count,
                         double per_s, struct demand_level *level);
static GArray *sum_customers (const struct demand_report *reports,
                              size_t count, uint32_t class);
static int compare_ids (const void *left, const void *right);
static int compare_rates (const void *left, const void *right);
static double fair_rate (const GArray *totals, double per_s);
static uint32_t share_at (double rate, double per_s);

/* Counts an event at NOW.  */
void
demand_rate_count (struct demand_rate *rate, clk_ms now)
{
  rate->count
      = demand_rate_per_s (rate, now) * RATE_MEAN_MS / CLK_MS_PER_S + 1;
  rate->counted_ms = now;
}

/* Returns how many events a second there have been lately.  */
double
demand_rate_per_s (const struct demand_rate *rate, clk_ms now)
{
  if (rate->counted_ms == 0)
    return 0;
  return rate->count * exp (-(double)(now - rate->counted_ms) / RATE_MEAN_MS)
         * CLK_MS_PER_S / RATE_MEAN_MS;
}

void
demand_init (struct demand *demand)
{
  *demand = (struct demand){ .customers = g_hash_table_new_full (
                                 g_int64_hash, g_int64_equal, NULL, g_free) };
}

/* Undoes demand_init.  */
void
demand_clear (struct demand *demand)
{
  g_hash_table_destroy (demand->customers);
}

/* Returns a key for CUSTOMER in CLASS.  */
static uint64_t
key_of (uint32_t class, uint64_t customer)
{
  return customer * TURN_CLASSES + class;
}

/* Returns whether VALUE need not be remembered at the time NOW points to.  */
static gboolean
is_forgotten (gpointer key, gpointer value, gpointer now)
{
  const struct entry *entry = value;

  (void)key;
  return demand_rate_per_s (&entry->rate, *(const clk_ms *)now)
         < FORGOTTEN_PER_S;
}

/* Counts a request of CUSTOMER in CLASS that has arrived.  While too many
   customers are known, a new one is counted in its class only.  */
void
demand_count (struct demand *demand, uint32_t class, uint64_t customer,
              clk_ms now)
{
  uint64_t key = key_of (class, customer);
  struct entry *entry = g_hash_table_lookup (demand->customers, &key);

  demand_rate_count (&demand->classes[class], now);
  if (entry == NULL)
    {
      if (g_hash_table_size (demand->customers) >= CUSTOMERS_KEPT_MAX)
        g_hash_table_foreach_remove (demand->customers, is_forgotten, &now);
      if (g_hash_table_size (demand->customers) >= CUSTOMERS_KEPT_MAX)
        return;
      entry = g_new0 (struct entry, 1);
      entry->key = key;
      entry->customer = customer;
      entry->class = class;
      g_hash_table_insert (demand->customers, &entry->key, entry);
    }
  demand_rate_count (&entry->rate, now);
}

/* Sets the arrivals in REPORT: of each class, and of the busiest customers. */
void
demand_fill_report (const struct demand *demand, clk_ms now,
                    struct demand_report *report)
{
  GHashTableIter iter;
  gpointer value;

  report->count = 0;
  for (int i = 0; i < TURN_CLASSES; i++)
    report->per_ks[i]
        = (uint32_t)(demand_rate_per_s (&demand->classes[i], now) * KS_PER_S);
  g_hash_table_iter_init (&iter, demand->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      struct demand_customer customer
          = { entry->customer, entry->class,
              (uint32_t)(demand_rate_per_s (&entry->rate, now) * KS_PER_S) };

      add_busiest (report, &customer);
    }
}

/* Adds CUSTOMER to those of REPORT, which are the busiest ones, busiest
   first.  */
static void
add_busiest (struct demand_report *report,
             const struct demand_customer *customer)
{
  uint32_t at = report->count;

  while (at > 0 && report->customers[at - 1].per_ks < customer->per_ks)
    at--;
  if (at == DEMAND_CUSTOMERS_MAX)
    return;
  report->count = MIN (report->count + 1, DEMAND_CUSTOMERS_MAX);
  for (uint32_t i = report->count - 1; i > at; i--)
    report->customers[i] = report->customers[i - 1];
  report->customers[at] = *customer;
}

/* Sets what LEVEL admits, given COUNT REPORTS of as many instances.  */
void
demand_set_level (const struct demand_report *reports, size_t count,
                  struct demand_level *level)
{
  double left = admitted_per_s (reports, count);
  double served = 0;

  level->class = TURN_CLASSES;
  level->share = DEMAND_FULL_SHARE;
  level->count = 0;
  for (size_t i = 0; i < count; i++)
    served += reports[i].served_per_ks;
  level->served_per_ks = (uint32_t)MIN (served, UINT32_MAX);
  for (uint32_t class = 0; class < TURN_CLASSES; class ++)
    {
      double per_s = 0;

      level->waiting[class] = 0;
      for (size_t i = 0; i < count; i++)
        {
          per_s += (double)reports[i].per_ks[class] / KS_PER_S;
          level->waiting[class] += reports[i].waiting[class];
        }
      if (level->class == TURN_CLASSES && per_s > left)
        {
          level->class = class;
          share_class (reports, count, left, level);
        }
      left -= per_s;
    }
}

/* Returns how many requests a second are to be admitted; without a known
   capacity, all.  */
static double
admitted_per_s (const struct demand_report *reports, size_t count)
{
  double served = 0;
  double waiting = 0;
  double missing;

  for (size_t i = 0; i < count; i++)
    {
      served += (double)reports[i].served_per_ks / KS_PER_S;
      for (int class = 0; class < TURN_CLASSES; class ++)
        waiting += reports[i].waiting[class];
    }
  if (served <= 0)
    return INFINITY;
  missing = served * BACKLOG_S - waiting;
  if (missing > 0)
    return served + missing / BACKLOG_S;
  return MAX (served + missing / CORRECTION_S, served * ADMITTED_MIN);
}

/* Divides PER_S requests a second of the class of LEVEL among the customers in
   COUNT REPORTS.  Customers that are in no report ask for little each, and get
   what they ask for as far as that goes.  */
static void
share_class (const struct demand_report *reports, size_t count, double per_s,
             struct demand_level *level)
{
  GArray *totals = sum_customers (reports, count, level->class);
  double unlisted = 0;
  double rate;

  for (size_t i = 0; i < count; i++)
    unlisted += (double)reports[i].per_ks[level->class] / KS_PER_S;
  for (guint i = 0; i < totals->len; i++)
    unlisted -= g_array_index (totals, struct total, i).per_s;
  unlisted = MAX (unlisted, 0);
  rate = fair_rate (totals, MAX (per_s - unlisted, 0));
  level->share = share_at (per_s, unlisted);
  for (guint i = 0; i < totals->len; i++)
    {
      const struct total *total = &g_array_index (totals, struct total, i);
      uint32_t share = share_at (rate, total->per_s);

      if (share == level->share)
        continue;
      /* The busiest of those left out bounds what the others may take.  */
      if (level->count == DEMAND_SHARES_MAX)
        {
          level->share = MIN (level->share, share);
          break;
        }
      level->shares[level->count++]
          = (struct demand_share){ total->customer, share };
    }
  g_array_free (totals, TRUE);
}

/* Returns the rates of the customers of CLASS in COUNT REPORTS, as struct
   total, busiest first.  */
static GArray *
sum_customers (const struct demand_report *reports, size_t count,
               uint32_t class)
{
  GArray *totals = g_array_new (FALSE, FALSE, sizeof (struct total));
  guint kept = 0;

  for (size_t i = 0; i < count; i++)
    for (uint32_t j = 0; j < reports[i].count; j++)
      {
        const struct demand_customer *customer = &reports[i].customers[j];
        struct total total
            = { customer->customer, (double)customer->per_ks / KS_PER_S };

        if (customer->class == class)
          g_array_append_val (totals, total);
      }
  g_array_sort (totals, compare_ids);
  for (guint i = 0; i < totals->len; i++)
    {
      struct total total = g_array_index (totals, struct total, i);
      struct total *last
          = kept > 0 ? &g_array_index (totals, struct total, kept - 1) : NULL;

      if (last != NULL && last->customer == total.customer)
        last->per_s += total.per_s;
      else
        g_array_index (totals, struct total, kept++) = total;
    }
  g_array_set_size (totals, kept);
  g_array_sort (totals, compare_rates);
  return totals;
}

static int
compare_ids (const void *left, const void *right)
{
  const struct total *a = left;
  const struct total *b = right;

  return a->customer < b->customer ? -1 : a->customer > b->customer;
}

static int
compare_rates (const void *left, const void *right)
{
  const struct total *a = left;
  const struct total *b = right;

  return a->per_s > b->per_s ? -1 : a->per_s < b->per_s;
}

/* Returns the rate up to which each of TOTALS, busiest first, gets what it
   asks for, so that they get PER_S together.  */
static double
fair_rate (const GArray *totals, double per_s)
{
  double left = per_s;

  for (guint i = totals->len; i > 0; i--)
    {
      const struct total *total = &g_array_index (totals, struct total, i - 1);

      if (total->per_s * i >= left)
        return left / i;
      left -= total->per_s;
    }
  return INFINITY;
}

/* Returns the share of PER_S that RATE is.  */
static uint32_t
share_at (double rate, double per_s)
{
  return rate >= per_s ? DEMAND_FULL_SHARE
                       : (uint32_t)(rate / per_s * DEMAND_FULL_SHARE);
}

/* Returns the fraction of the requests of CUSTOMER in CLASS that LEVEL
   admits.  */
double
demand_share_of (const struct demand_level *level, uint32_t class,
                 uint64_t customer)
{
  if (class < level->class)
    return 1;
  if (class > level->class)
    return 0;
  for (uint32_t i = 0; i < level->count; i++)
    if (level->shares[i].customer == customer)
      return (double)level->shares[i].share / DEMAND_FULL_SHARE;
  return (double)level->share / DEMAND_FULL_SHARE;
}
