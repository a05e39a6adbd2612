/* Version of the configuration: routes, services, customers, limits. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/routes.h"

/* Route and its place in the text of the configuration. */
struct placed
{
  struct rt_route *route;
  uint32_t place;
};

static void route_unref (gpointer data);
static void customer_free (gpointer data);
static void sort_routes (GPtrArray *routes);
static size_t place_known (const GPtrArray *routes, struct placed *known,
                           struct placed *others);
static int compare_placed (const void *a, const void *b);
static size_t host_length (const char *host);
static size_t find_host (const struct rt_table *table, const char *host,
                         size_t length);
static int compare_host (const struct rt_route *route, const char *host,
                         size_t length);

/* Limits that apply where a configuration sets none.  */
static const struct rt_limits default_limits = { 16384, 4194304, 5000, 15000 };

/* Returns an empty table for VERSION with one reference.  */
struct rt_table *
rt_new (uint64_t version)
{
  struct rt_table *table = g_new0 (struct rt_table, 1);

  table->references = 1;
  table->version = version;
  table->routes = g_ptr_array_new_with_free_func (route_unref);
  table->services = g_ptr_array_new_with_free_func (g_free);
  table->customers = g_ptr_array_new_with_free_func (customer_free);
  table->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->limits = default_limits;
  return table;
}

/* Adds a reference to TABLE and returns TABLE.  */
struct rt_table *
rt_ref (struct rt_table *table)
{
  table->references++;
  return table;
}

/* Drops a reference to TABLE, which may be NULL.  Frees TABLE with the last
   one.  */
void
rt_unref (struct rt_table *table)
{
  if (table == NULL || --table->references > 0)
    return;
  g_ptr_array_unref (table->routes);
  g_ptr_array_unref (table->services);
  g_hash_table_unref (table->keys);
  g_ptr_array_unref (table->customers);
  g_free (table);
}

/* Adds a route to TABLE with NAME, HOST and path PREFIX.  The caller sets the
   other members.  */
struct rt_route *
rt_add_route (struct rt_table *table, const char *name, const char *host,
              const char *prefix)
{
  struct rt_route *route = g_new0 (struct rt_route, 1);

  route->references = 1;
  route->name = g_strdup (name);
  route->host = g_ascii_strdown (host, -1);
  route->prefix = g_strdup (prefix);
  g_ptr_array_add (table->routes, route);
  return route;
}

/* Returns the service NAME of TABLE, which is interned, or NULL.  */
const struct rt_service *
rt_find_service (const struct rt_table *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const struct rt_service *service
          = g_ptr_array_index (table->services, i);

      if (service->name == name)
        return service;
    }
  return NULL;
}

/* Adds ROUTE, which belongs to another table, to TABLE.  */
void
rt_share_route (struct rt_table *table, const struct rt_route *route)
{
  struct rt_route *shared = (struct rt_route *)(uintptr_t)route;

  shared->references++;
  g_ptr_array_add (table->routes, shared);
}

/* Gives TABLE, which has no services, those of OTHER.  */
void
rt_share_services (struct rt_table *table, const struct rt_table *other)
{
  g_ptr_array_unref (table->services);
  table->services = g_ptr_array_ref (other->services);
}

/* Gives TABLE, which has no customers, those of OTHER, with their keys.  */
void
rt_share_customers (struct rt_table *table, const struct rt_table *other)
{
  g_hash_table_unref (table->keys);
  g_ptr_array_unref (table->customers);
  table->customers = g_ptr_array_ref (other->customers);
  table->keys = g_hash_table_ref (other->keys);
  table->needs_key = other->needs_key;
}

/* Adds a service to TABLE; the caller sets its limits.  */
struct rt_service *
rt_add_service (struct rt_table *table, const char *name)
{
  struct rt_service *service = g_new0 (struct rt_service, 1);

  service->name = g_intern_string (name);
  g_ptr_array_add (table->services, service);
  return service;
}

/* Adds a customer to TABLE, without a priority of its own.  */
struct rt_customer *
rt_add_customer (struct rt_table *table, const char *name)
{
  struct rt_customer *customer = g_new0 (struct rt_customer, 1);

  customer->name = g_strdup (name);
  customer->priority = -1;
  g_ptr_array_add (table->customers, customer);
  return customer;
}

/* Adds KEY to the API keys of CUSTOMER.  */
void
rt_add_key (struct rt_table *table, const char *key,
            struct rt_customer *customer)
{
  g_hash_table_replace (table->keys, g_strdup (key), customer);
}

/* Adds SERVICE with WEIGHT to the services of ROUTE.  */
void
rt_add_split (struct rt_route *route, const char *service, uint32_t weight)
{
  route->split
      = g_renew (struct rt_split, route->split, (gsize)route->split_count + 1);
  route->split[route->split_count++]
      = (struct rt_split){ g_intern_string (service), weight };
}

/* Prepares TABLE for lookups.  No route may be added afterwards.  */
void
rt_seal (struct rt_table *table)
{
  sort_routes (table->routes);
}

/* Returns the route of HOST, whose port is ignored, with the longest prefix
   that matches the path of URL, or NULL.  */
const struct rt_route *
rt_match (const struct rt_table *table, const char *host, const char *url)
{
  size_t length = host_length (host);
  size_t path_length = strcspn (url, "?#");

  for (size_t i = find_host (table, host, length); i < table->routes->len; i++)
    {
      const struct rt_route *route = g_ptr_array_index (table->routes, i);
      size_t prefix_length = strlen (route->prefix);

      if (compare_host (route, host, length) != 0)
        return NULL;
      if (prefix_length <= path_length
          && memcmp (route->prefix, url, prefix_length) == 0)
        return route;
    }
  return NULL;
}

/* Returns the customer with the API key KEY, or NULL.  */
const struct rt_customer *
rt_customer (const struct rt_table *table, const char *key)
{
  return g_hash_table_lookup (table->keys, key);
}

/* Selects a service of ROUTE for a request, by weight, with the random number
   RANDOM.  Returns NULL if all weights are 0.  */
const char *
rt_pick_service (const struct rt_route *route, uint32_t random)
{
  uint64_t total = 0;
  uint64_t offset;

  for (uint32_t i = 0; i < route->split_count; i++)
    total += route->split[i].weight;
  if (total == 0)
    return NULL;
  offset = random % total;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      if (offset < route->split[i].weight)
        return route->split[i].service;
      offset -= route->split[i].weight;
    }
  return NULL;
}

/* Returns whether TABLE has a route that sends requests to SERVICE, an
   interned string, and prefers targets that hold the prompt's context.  */
int
rt_has_context (const struct rt_table *table, const char *service)
{
  for (guint i = 0; i < table->routes->len; i++)
    {
      const struct rt_route *route = g_ptr_array_index (table->routes, i);

      for (uint32_t k = 0; route->has_context && k < route->split_count; k++)
        if (route->split[k].service == service)
          return 1;
    }
  return 0;
}

/* Returns whether a request of ROUTE may run more than once.  */
int
rt_repeatable (const struct rt_route *route)
{
  return route->kind == RT_IDEMPOTENT
         || (route->kind == RT_STREAM && route->is_resumable);
}

/* Drops a reference to the route DATA and frees it with the last one.  */
static void
route_unref (gpointer data)
{
  struct rt_route *route = data;

  if (--route->references > 0)
    return;
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_free (route->split);
  g_free (route);
}

static void
customer_free (gpointer data)
{
  struct rt_customer *customer = data;

  g_free (customer->name);
  g_free (customer);
}

/* Sorts ROUTES by host, then by the length of the prefix, longest first. Those
   that were in a table before keep their order, unless it is wrong now, so
   that only the others are sorted.  */
static void
sort_routes (GPtrArray *routes)
{
  struct placed *known = g_new (struct placed, routes->len);
  struct placed *others = g_new (struct placed, routes->len);
  size_t known_count = place_known (routes, known, others);
  size_t others_count = routes->len - known_count;
  size_t i = 0;
  size_t j = 0;

  if (others_count > 0)
    qsort (others, others_count, sizeof *others, compare_placed);
  for (guint at = 0; at < routes->len; at++)
    {
      int is_known = i < known_count
                     && (j == others_count
                         || compare_placed (&known[i], &others[j]) < 0);
      struct rt_route *route = is_known ? known[i++].route : others[j++].route;

      route->rank = at + 1;
      routes->pdata[at] = route;
    }
  g_free (known);
  g_free (others);
}

/* Stores in KNOWN those of ROUTES that are in order by their ranks, sorted,
   and the rest in OTHERS.  Returns how many are known.  */
static size_t
place_known (const GPtrArray *routes, struct placed *known,
             struct placed *others)
{
  struct placed *by_rank;
  uint32_t rank_max = 0;
  size_t known_count = 0;
  size_t others_count = 0;

  for (guint i = 0; i < routes->len; i++)
    rank_max = MAX (rank_max,
                    ((struct rt_route *)g_ptr_array_index (routes, i))->rank);
  by_rank = g_new0 (struct placed, (gsize)rank_max + 1);
  for (guint i = 0; i < routes->len; i++)
    {
      struct placed placed = { g_ptr_array_index (routes, i), i };

      if (placed.route->rank > 0 && by_rank[placed.route->rank].route == NULL)
        by_rank[placed.route->rank] = placed;
      else
        others[others_count++] = placed;
    }
  for (uint32_t rank = 1; rank <= rank_max; rank++)
    {
      if (by_rank[rank].route == NULL)
        continue;
      if (known_count == 0
          || compare_placed (&known[known_count - 1], &by_rank[rank]) < 0)
        known[known_count++] = by_rank[rank];
      else
        others[others_count++] = by_rank[rank];
    }
  g_free (by_rank);
  return known_count;
}

/* Orders routes by host, then by the length of the prefix, longest first, then
   by their place.  */
static int
compare_placed (const void *a, const void *b)
{
  const struct placed *first = a;
  const struct placed *second = b;
  int order = strcmp (first->route->host, second->route->host);
  size_t first_length = strlen (first->route->prefix);
  size_t second_length = strlen (second->route->prefix);

  if (order != 0)
    return order;
  if (first_length != second_length)
    return first_length > second_length ? -1 : 1;
  return (first->place > second->place) - (first->place < second->place);
}

/* Returns the length of HOST without its port.  HOST may be an IPv6 address in
   brackets.  */
static size_t
host_length (const char *host)
{
  const char *end = host[0] == '[' ? strchr (host, ']') : NULL;
  const char *colon = strchr (end ? end : host, ':');

  return colon ? (size_t)(colon - host) : strlen (host);
}

/* Compares the host of ROUTE with the LENGTH bytes of HOST, ignoring case.  */
static int
compare_host (const struct rt_route *route, const char *host, size_t length)
{
  int order = g_ascii_strncasecmp (route->host, host, length);

  if (order != 0)
    return order;
  return route->host[length] != '\0';
}

/* Returns the index of the first route whose host is not less than HOST, by
   binary search.  */
static size_t
find_host (const struct rt_table *table, const char *host, size_t length)
{
  size_t low = 0;
  size_t high = table->routes->len;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare_host (g_ptr_array_index (table->routes, middle), host,
                        length)
          < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}
