/* Registered targets, and what this instance knows of them. */
#ifndef IBISLOOM_REGISTRY_H
#define IBISLOOM_REGISTRY_H

#include <netinet/in.h>
#include <stdint.h>
#include <glib.h>

#include "ibisloom/balance.h"
#include "ibisloom/clock.h"
#include "ibisloom/health.h"
#include "ibisloom/pace.h"
#include "ibisloom/pause.h"
#include "ibisloom/position.h"
#include "ibisloom/rate.h"
#include "ibisloom/room.h"
#include "ibisloom/wait.h"
#include "ibisloom/work.h"

enum
{
  REG_NEVER_MS = INT32_MAX, /* REGAINED_AGO_MS if the store had no outage */
  REG_NAME_MAX_BYTES = 128
};

/* Entry of a target in the registry. */
struct reg_entry
{
  char id[REG_NAME_MAX_BYTES];
  char service[REG_NAME_MAX_BYTES];
  char failure_domain[REG_NAME_MAX_BYTES];
  struct sockaddr_in address;
  int32_t slots;
  int leaving;
  int64_t warming_ms;   /* time left until it has warmed up */
  uint64_t incarnation; /* of its process, 0: unknown */
  int64_t started_ms;   /* Unix time of its start, 0: unknown */
  uint64_t reports;     /* of that process up to this one */
  uint64_t software;    /* its version, see origin_software */
};

struct reg_target;

/* Whether a target may have started again since its entry was written. */
enum reg_doubt
{
  REG_SURE,
  REG_BROKEN,     /* a connection to it broke lately */
  REG_UNREACHABLE /* a connection to it could not be established lately */
};

/* Called when a request of this instance STARTED at TARGET, or ended there. */
typedef void (*reg_load_fn) (void *closure, struct reg_target *target,
                             int started);

/* Target with its entry, its load and its recent outcomes. */
struct reg_target
{
  struct registry *registry; /* NULL: removed */
  char *id;
  uint64_t hash;
  uint64_t serial;            /* unique among all targets, never 0 */
  const char *service;        /* interned */
  const char *failure_domain; /* interned */
  struct sockaddr_in address;
  int32_t slots;
  uint64_t incarnation;
  int64_t started_ms;               /* see struct reg_entry */
  uint64_t reports;                 /* see struct reg_entry */
  uint64_t software;                /* see struct reg_entry */
  struct position position;         /* of the entry */
  struct position process_position; /* of the first entry of its process */
  uint32_t process; /* counts the processes that were seen there */
  struct pause_notice notice;
  uint8_t bad_notices;    /* fields found unreadable, see relay_notice.c */
  clk_ms warm_at_ms;      /* warmed up from then on */
  uint32_t references;    /* requests in progress, plus one for the registry */
  uint8_t is_peer;        /* stands for another instance; not registered */
  uint8_t leaving;        /* by its entry, or by what it has responded */
  uint8_t entry_leaving;  /* by its entry */
  uint8_t is_evacuated;   /* its failure domain is; gets no request */
  uint8_t update_pending; /* peers are to get its new in_flight */
  uint8_t unlisted;       /* not yet found in the list that is being read */
  uint8_t is_restored;    /* missing, but in the store, by an older entry */
  uint8_t is_withheld;    /* the same, and it had been dropped */
  clk_ms missing_until_ms;   /* entry missing, dropped then; 0: present */
  uint32_t in_flight;        /* requests sent by this instance */
  int32_t others_in_flight;  /* sent by the other instances */
  int32_t reported_load;     /* running and waiting, by its last response */
  int32_t sent_since_report; /* sent minus ended since that response */
  clk_ms reported_ms;        /* time of that response, 0: none */
  clk_ms broken_ms;          /* a connection broke then, 0: none */
  clk_ms unreachable_ms;     /* no connection was established then, 0: none */
  double load_limit;         /* bound of its load when last selected */
  struct rate_limit rate;    /* that it names */
  struct rate_limit cold;    /* that applies while it is cold */
  double cold_per_s;         /* of its service; 0: no limit while it is cold */
  clk_ms cold_until_ms;
  struct position cold_position; /* of the entry that peers named as cold */
  struct room_service *room_service; /* of all targets of its service */
  struct pace_service *pace_service; /* of all targets of its service */
  struct work_speed *work_service;   /* of all targets of its service */
  struct work work;
  struct pace pace;  /* while it has lately started or recovered */
  struct room *room; /* NULL: its service has not been brittle lately */
  struct wait_limit wait_limit;
  struct health health;
};

/* Last entry of a target whose entry was removed. */
struct reg_gone
{
  char id[REG_NAME_MAX_BYTES];
  uint64_t incarnation;
  uint64_t reports;
  uint64_t epoch; /* of the removal */
  struct pause_notice notice;
};

struct registry
{
  GHashTable *targets;   /* id to struct reg_target */
  GHashTable *by_hash;   /* hash of the id to struct reg_target */
  GPtrArray *array;      /* of struct reg_target, unordered, for iteration */
  GQueue gone;           /* of struct reg_gone, oldest first */
  GHashTable *evacuated; /* hashes of the names of failure domains */
  GHashTable *services;  /* interned name to struct room_service */
  GHashTable *paces;     /* interned name to struct pace_service */
  GHashTable *speeds;    /* interned name to struct work_speed */
  uint64_t last_serial;  /* given to a target */
  int listed;            /* a complete list has been read */
  reg_load_fn on_load;   /* may be NULL */
  void *closure;         /* of on_load */
};

struct registry *reg_new (void);
void reg_free (struct registry *registry);
int reg_put (struct registry *registry, const struct reg_entry *entry,
             struct position position, clk_ms now);
int reg_remove (struct registry *registry, const char *id,
                struct position position);
int reg_keeps_leaving (struct registry *registry,
                       const struct reg_entry *entry,
                       struct position position);
int64_t reg_missing_grace_ms (int64_t drain_ms, int64_t regained_ago_ms);
int reg_mark_missing (struct registry *registry, const char *id,
                      struct position position, clk_ms drop_at_ms);
void reg_list_begin (struct registry *registry);
void reg_list_end (struct registry *registry, clk_ms drop_at_ms);
uint32_t reg_expire (struct registry *registry, clk_ms now);
struct reg_target *reg_find (struct registry *registry, const char *id);
struct reg_target *reg_find_hash (struct registry *registry, uint64_t hash);
void reg_on_load_change (struct registry *registry, reg_load_fn fn,
                         void *closure);
void reg_request_start (struct reg_target *target);
void reg_request_end (struct reg_target *target);
size_t reg_candidates (struct registry *registry, const char *service,
                       const char *failure_domain, clk_ms now,
                       struct bal_candidate *candidates,
                       struct reg_target **targets, size_t capacity);
struct reg_target *reg_peer_new (uint32_t peer,
                                 const struct sockaddr_in *address);
void reg_peer_release (struct reg_target *target);
void reg_end_suspensions (struct registry *registry, const char *service);
int reg_is_near_limit (const struct reg_target *target, clk_ms now);
int reg_is_cold (const struct reg_target *target, clk_ms now);
int reg_is_scarce (const struct reg_target *target, clk_ms now);
double reg_counted_load (const struct reg_target *target);
struct room_service *reg_room_service (const struct registry *registry,
                                       const char *service);
struct room *reg_get_room (struct reg_target *target);
void reg_record_outcome (struct reg_target *target, enum health_event event,
                         clk_ms now);
enum reg_doubt reg_doubt (const struct reg_target *target, clk_ms now);
int reg_report_load (struct reg_target *target, int32_t load, clk_ms now);

/* registry_notice.c */
void reg_read_process (struct reg_target *target,
                       const struct reg_entry *entry,
                       struct position position);
void reg_recall_notice (const struct registry *registry,
                        struct reg_target *target);
struct pause_notice *reg_find_notice (struct registry *registry,
                                      struct reg_target *target,
                                      uint32_t process);
int reg_apply_leaving (struct reg_target *target, uint64_t incarnation,
                       struct position position);

/* registry_evacuated.c */
uint32_t reg_set_evacuated (struct registry *registry, uint64_t failure_domain,
                            int is_evacuated);
int reg_is_evacuated (const struct registry *registry,
                      const char *failure_domain);
int reg_has_evacuated (const struct registry *registry);
uint32_t reg_count_evacuated (const struct registry *registry,
                              const char *service, double *load);

#endif
