/* Configuration in force: its objects, their revisions, and immutable
   snapshots for concurrent readers. */
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
  uint32_t domain_id; /* hash of failure_domain */
  uint32_t service;   /* index in the services of the snapshot */
  int32_t slots;      /* requests that it serves at the same time */
  double weight;      /* in rendezvous hashing */
  int leaving;        /* shutting down; counts as weight 0 */
};

struct ver_service
{
  char name[VER_NAME_MAX_BYTES];
  uint64_t id;
  enum ver_kind kind;
  uint32_t first_target; /* index in the targets of the snapshot */
  uint32_t target_count;
  uint32_t eligible_count;    /* targets not leaving, with a weight above 0 */
  int64_t silence_ms;         /* read timeout of a chat */
  int64_t attempt_timeout_ms; /* read timeout of a plain request */
  int64_t deadline_ms;
  int repeat_all; /* all requests may be repeated */
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
  double load_factor;      /* load limit of a target: multiple of the mean */
  double reserve_share;    /* of the slots, for customers within their share */
  double retry_share;      /* of a service's requests that may be retried */
  int64_t queue_ms;        /* longest wait for admission */
  int64_t context_wait_ms; /* longest wait for the holder of the context */
  int64_t note_ttl_ms;     /* time that a placement note is kept */
};

/* Newest known revision of each configuration object. */
struct ver_store;

/* Immutable version of the complete configuration. */
struct ver_snapshot
{
  ck_epoch_entry_t epoch_entry; /* must be first */
  struct ver_store *store;
  uint64_t revision;        /* highest of any object */
  uint64_t preset_revision; /* of the object "in-force" */
  struct ver_preset preset;
  GArray *services;      /* of struct ver_service */
  GArray *targets;       /* of struct ver_target, grouped by service */
  GArray *nodes;         /* of struct rank_node, parallel to targets */
  GHashTable *index;     /* target id to its index in targets, plus one */
  GHashTable *customers; /* id to struct ver_customer */
};

/* Object of the configuration. */
struct ver_object
{
  uint64_t revision;
  char *text; /* JSON; NULL: deleted */
};

/* Registration of a thread that reads snapshots. */
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
