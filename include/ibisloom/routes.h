/* One version of the configuration: routes, services, customers, limits. */
#ifndef IBISLOOM_ROUTES_H
#define IBISLOOM_ROUTES_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum
{
  RT_SPLIT_MAX = 8,
  RT_PRIORITY_LOWEST = 9
};

/* What may be repeated. */
enum rt_kind
{
  RT_IDEMPOTENT,     /* may run more than once */
  RT_NON_IDEMPOTENT, /* may run at most once */
  RT_STREAM          /* events; may run more than once only where it resumes */
};

/* Share of a route's requests that go to a service. */
struct rt_split
{
  const char *service; /* interned */
  uint32_t weight;
};

struct rt_route
{
  char *name;
  char *host;
  char *prefix; /* of the path; begins and ends with a slash */
  enum rt_kind kind;
  int64_t timeout_ms;    /* longest time a caller is kept waiting */
  int64_t objective_ms;  /* to the answer, or to the first event */
  int64_t pause_ms;      /* longest pause between events that is on time */
  int32_t priority;      /* 0 is the most important */
  uint32_t attempts_max; /* targets that one request may be sent to */
  uint32_t split_count;
  struct rt_split split[RT_SPLIT_MAX];
  uint8_t allows_anonymous; /* needs no customer's key */
  uint8_t is_resumable;     /* a stream may go on at another target */
  uint8_t has_context;
};

struct rt_customer
{
  char *name;
  int32_t priority; /* -1: that of the route holds */
};

struct rt_service
{
  const char *name; /* interned */
  uint32_t connections_max;
  uint32_t engine_slots;  /* 0: no model engine */
  uint64_t engine_tokens; /* of memory */
};

struct rt_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

/* Immutable once it is in force; counted references. */
struct rt_table
{
  uint32_t references;
  uint64_t version;
  GPtrArray *routes;    /* by host, then longest prefix first */
  GPtrArray *services;  /* of struct rt_service */
  GPtrArray *customers; /* of struct rt_customer */
  GHashTable *keys;     /* key to struct rt_customer */
  struct rt_limits limits;
};

struct rt_table *rt_new (uint64_t version);
struct rt_table *rt_ref (struct rt_table *table);
void rt_unref (struct rt_table *table);
struct rt_route *rt_add_route (struct rt_table *table, const char *name,
                               const char *host, const char *prefix);
struct rt_service *rt_add_service (struct rt_table *table, const char *name);
struct rt_customer *rt_add_customer (struct rt_table *table, const char *name);
void rt_add_key (struct rt_table *table, const char *key,
                 struct rt_customer *customer);
int rt_add_split (struct rt_route *route, const char *service,
                  uint32_t weight);
void rt_seal (struct rt_table *table);

const struct rt_route *rt_match (const struct rt_table *table,
                                 const char *host, const char *url);
const struct rt_customer *rt_customer (const struct rt_table *table,
                                       const char *key);
const char *rt_pick_service (const struct rt_route *route, uint32_t random);
int rt_repeatable (const struct rt_route *route);

#endif
