/* Configuration in force: objects, their versions and immutable snapshots. */
#ifndef IBISLOOM_VERSION_H
#define IBISLOOM_VERSION_H

#include <stdint.h>
#include <glib.h>
#include <netinet/in.h>
#include <ck_epoch.h>

#include "ibisloom/clock.h"
#include "ibisloom/rank.h"

enum
{
  VER_NAME_MAX_BYTES = 64
};

enum ver_kind
{
  VER_KIND_CHAT,
  VER_KIND_PLAIN
};

struct ver_target
{
  char name[VER_NAME_MAX_BYTES];
  char failure_domain[VER_NAME_MAX_BYTES];
  struct sockaddr_in address;
  uint64_t id;
  uint32_t domain_id;
  uint32_t service;
  int32_t slots;
  double weight;
  int leaving;
};

struct ver_service
{
  char name[VER_NAME_MAX_BYTES];
  uint64_t id;
  enum ver_kind kind;
  uint32_t first_target;
  uint32_t target_count;
  uint32_t eligible_count;
  int64_t silence_ms;
  int64_t attempt_timeout_ms;
  int64_t deadline_ms;
  int repeat_all;
};

struct ver_customer
{
  char name[VER_NAME_MAX_BYTES];
  uint64_t id;
  double weight;
};

struct ver_preset
{
  char name[VER_NAME_MAX_BYTES];
  double load_factor;
  double reserve_share;
  double retry_share;
  int64_t queue_ms;
  int64_t context_wait_ms;
  int64_t note_ttl_ms;
};

struct ver_store;

/* One immutable version of the whole configuration. */
struct ver_snapshot
{
  ck_epoch_entry_t epoch_entry; /* must be first */
  struct ver_store *store;
  uint64_t revision;
  uint64_t preset_revision;
  struct ver_preset preset;
  GArray *services;      /* of struct ver_service */
  GArray *targets;       /* of struct ver_target, grouped by service */
  GArray *nodes;         /* of struct rank_node, beside targets */
  GHashTable *index;     /* target id to its index plus one */
  GHashTable *customers; /* id to struct ver_customer */
};

struct ver_store;

struct ver_object
{
  uint64_t revision;
  char *text; /* NULL: deleted */
};

/* The newest version of each configuration object that is known here. */
struct ver_store;

/* One thread that reads snapshots. */
struct ver_reader;

struct ver_store *ver_store_new (const char *deployment);
void ver_store_free (struct ver_store *store);
int ver_store_apply (struct ver_store *store, const char *name,
                     uint64_t revision, const char *text, GError **error);
uint64_t ver_store_revision (struct ver_store *store);
void ver_store_advance (struct ver_store *store, uint64_t revision);
char *ver_store_changes_since (struct ver_store *store, uint64_t revision);
char *ver_store_get (struct ver_store *store, const char *name,
                     uint64_t *revision);
int ver_store_merge (struct ver_store *store, const char *json,
                     GError **error);
int ver_validate (const char *name, const char *text, GError **error);

struct ver_reader *ver_reader_new (struct ver_store *store);
void ver_reader_free (struct ver_reader *reader);
const struct ver_snapshot *ver_read_begin (struct ver_store *store,
                                           struct ver_reader *reader);
void ver_read_end (struct ver_reader *reader);

const struct ver_service *ver_service_find (const struct ver_snapshot *version,
                                            const char *name);
const struct ver_target *ver_target_at (const struct ver_snapshot *version,
                                        uint32_t index);
const struct ver_target *ver_target_find (const struct ver_snapshot *version,
                                          uint64_t id);
const struct ver_customer *
ver_customer_find (const struct ver_snapshot *version, const char *name);
double ver_customer_weight (const struct ver_snapshot *version, uint64_t id);

#endif
