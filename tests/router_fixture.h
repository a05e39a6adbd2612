/* Test environment: processes of ibisloomd with scripted targets, a scripted
   store and raw HTTP requests. */
#ifndef ROUTER_FIXTURE_H
#define ROUTER_FIXTURE_H

#include <stdint.h>
#include <glib.h>

struct fx_target;
struct proxy;

/* A request as received by a target. */
struct fx_request
{
  struct fx_target *target;
  char *text; /* head and body */
  int fd;
  int number; /* count of requests to the target up to this one, from 1 */
};

/* Writes the target's response to REQUEST.  Returns whether the connection is
   kept open. */
typedef int (*fx_handler_fn) (const struct fx_request *request);

enum
{
  FX_ROUTERS_MAX = 300,
  FX_DOMAINS = 3 /* routers are in failure domains "a", "b", "c" in turn */
};

void fx_store_start (const char *config);

/* For the router INDEX, from 0. */
void fx_router_spawn (int index, const char *log);
void fx_routers_start (int count);
void fx_routers_add_settings (const char *more);
void fx_router_signal (int index, int number);
int fx_router_wait_for_exit (int index);
int fx_router_has_ended (int index);
int fx_router_start_count (int index);
int fx_router_is_ready (int index);
int fx_router_listens (int index);
int fx_router_connect (int index);
int fx_router_connect_peer (int index); /* as an instance does */
char *fx_router_ask (int index, const char *path, const char *fields);
int fx_router_operator_port (int index);
long fx_router_metric (int index, const char *name);
long fx_router_peak_kb (int index); /* its largest memory so far */

/* For the first router. */
void fx_env_start (const char *config);
void fx_env_stop (void);
int fx_terminate (void); /* sends SIGTERM; returns the exit status */
void fx_signal (int number);
int fx_wait_for_exit (void); /* returns the exit status */

struct fx_target *fx_target_add (const char *id, const char *service,
                                 fx_handler_fn handler);
struct fx_target *fx_target_add_version (const char *id, const char *service,
                                         const char *version,
                                         fx_handler_fn handler);
struct fx_target *fx_target_add_in (const char *id, const char *service,
                                    const char *version, const char *zone,
                                    fx_handler_fn handler);
int fx_target_port (const struct fx_target *target);
int fx_target_request_count (struct fx_target *target);
char *fx_target_last_request (struct fx_target *target);
int fx_target_closed_by_router (struct fx_target *target);
void fx_target_put_entry (struct fx_target *target, const char *members);
void fx_target_set_state (struct fx_target *target, const char *state);
void fx_target_start_again (struct fx_target *target);
void fx_target_set_version (struct fx_target *target, const char *version);
void fx_target_restart (struct fx_target *target, const char *version);
void fx_target_remove (struct fx_target *target);
int fx_target_crash (struct fx_target *target);
void fx_target_recover (struct fx_target *target);
void fx_target_fall_silent (struct fx_target *target, int ms);
void fx_target_wait_until_heard (struct fx_target *target);
struct proxy *fx_target_add_proxy (struct fx_target *target);
struct proxy *fx_store_add_proxy (int router);
void fx_router_set_apart (int router);

/* Paths of its own to all targets for a router that is yet to be spawned, and
   their faults, which are modes of proxies.  Targets are added when all
   routers are ready. */
void fx_router_add_paths (int router);
void fx_router_set_paths (int router, int mode);

void fx_store_put (const char *kind, const char *name, const char *spec);
void fx_store_delete (const char *kind, const char *name);
void fx_store_compact (void);
int fx_store_revision (void);
int fx_store_count (const char *kind);
int fx_store_port (void);
int fx_store_origin_reads (void);
int fx_store_origin_writes (void);
char *fx_store_get (const char *kind, const char *name);
void fx_store_lose_responses (int count, int late_ms);
void fx_store_restore (int revision);
void fx_store_rewrite (void);
void fx_store_set_epoch (const char *epoch);
void fx_store_set_down (int down);
void fx_store_block_watches (int blocked);
void fx_store_delay_list (const char *kind, int ms);
void fx_store_split_list (const char *kind, const char *name);

/* For the first router. */
void fx_write_settings (const char *extra);
char *fx_get_metrics (void);
int fx_is_ready (void);
int fx_handles_sighup (void);
void fx_newer_peer_start (uint64_t version);
void fx_peers_send_bad_differences (int enabled);
void fx_ends_report (int count);
void fx_heartbeat_send (uint32_t sender, uint64_t incarnation);

void fx_stale_watchers_start (int count);

char *fx_exchange (const char *request); /* with the first router */
int fx_connect (void);                   /* to the first router */
void fx_send (int fd, const char *text);
char *fx_read_until (int fd, const char *text);
char *fx_read_all (int fd);
void fx_sleep_ms (int ms);
int fx_wait_until (int (*condition) (void));
void fx_write (int fd, const char *text);
void fx_reset_on_close (int fd);
void fx_shrink_receive_buffer (int fd);
char *fx_header_value (const char *text, const char *name);

#endif
