/* Version of the configuration: routes, services, customers, limits. */
#ifndef IBISLOOM_ROUTES_H
#define IBISLOOM_ROUTES_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum
{
  RT_PRIORITY_LOWEST = 9
};

/* Whether requests of a route may run more than once. */
enum rt_kind
{
  RT_IDEMPOTENT,     /* may run any number of times */
  RT_NON_IDEMPOTENT, /* may run at most once */
  RT_STREAM /* event stream; may run again only if the route is resumable */
};

/* Weighted share of a route's requests that go to one service. */
struct rt_split
{
  const char *service; /* interned */
  uint32_t weight;
};

/* Immutable once its table is sealed; versions of the configuration that leave
   it as it is share it. */
struct rt_route
{
  uint32_t references; /* of tables */
  uint32_t rank; /* plus one, in the last table sealed with it; 0: none */
  char *name;
  char *host;
  char *prefix; /* of the URL path; begins and ends with a slash */
  enum rt_kind kind;
  int64_t timeout_ms;    /* deadline of a request; 0: none */
  int64_t objective_ms;  /* latency goal: to the response or the first event */
  int64_t pause_ms;      /* goal for the longest pause between events */
  int32_t priority;      /* 0 is the highest; -1: it names none */
  uint32_t attempts_max; /* distinct targets that a request may be sent to */
  uint32_t split_count;
  struct rt_split *split;
  uint8_t allows_anonymous; /* requests need no API key */
  uint8_t is_resumable;     /* another target can resume a stream */
  uint8_t has_context; /* prefers targets that hold the prompt's context */
};

struct rt_customer
{
  char *name;
  int32_t priority; /* -1: that of the route applies */
};

struct rt_service
{
  const char *name; /* interned */
  uint32_t connections_max;
  uint32_t engine_slots;  /* 0: no model engine */
  uint64_t engine_tokens; /* capacity of its key-value cache */
  double cold_per_s; /* requests a second that a cold target takes; 0: any */
};

struct rt_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

/* Reference-counted; immutable after rt_seal. */
struct rt_table
{
  uint32_t references;
  uint64_t version;
  GPtrArray *routes;    /* by host, then longest prefix first */
  GPtrArray *services;  /* of struct rt_service; may be shared */
  GPtrArray *customers; /* of struct rt_customer; may be shared, with keys */
  GHashTable *keys;     /* API key to struct rt_customer; may be empty */
  uint8_t needs_key;    /* customers are configured, be they none at all */
  struct rt_limits limits;
};

struct rt_table *rt_new (uint64_t version);
struct rt_table *rt_ref (struct rt_table *table);
void rt_unref (struct rt_table *table);
struct rt_route *rt_add_route (struct rt_table *table, const char *name,
                               const char *host, const char *prefix);
void rt_share_route (struct rt_table *table, const struct rt_route *route);
void rt_share_services (struct rt_table *table, const struct rt_table *other);
void rt_share_customers (struct rt_table *table, const struct rt_table *other);
struct rt_service *rt_add_service (struct rt_table *table, const char *name);
const struct rt_service *rt_find_service (const struct rt_table *table,
                                          const char *name);
struct rt_customer *rt_add_customer (struct rt_table *table, const char *name);
void rt_add_key (struct rt_table *table, const char *key,
                 struct rt_customer *customer);
void rt_add_split (struct rt_route *route, const char *service,
                   uint32_t weight);
void rt_seal (struct rt_table *table);

const struct rt_route *rt_match (const struct rt_table *table,
                                 const char *host, const char *url);
const struct rt_customer *rt_customer (const struct rt_table *table,
                                       const char *key);
const char *rt_pick_service (const struct rt_route *route, uint32_t random);
int rt_has_context (const struct rt_table *table, const char *service);
int rt_repeatable (const struct rt_route *route);

#endif
