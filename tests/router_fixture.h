/* A real ibisloomd between scripted targets, a scripted store and raw calls.
 */
#ifndef ROUTER_FIXTURE_H
#define ROUTER_FIXTURE_H

#include <glib.h>

/* One request as a target read it. */
struct fx_request
{
  char *text; /* head and body */
  int fd;
  int number; /* of the requests that its target got, from 1 */
};

/* Writes what the target answers; the connection is closed when this returns
   0, else kept. */
typedef int (*fx_handler_fn) (const struct fx_request *request);

struct fx_target;
struct proxy;

enum
{
  FX_ROUTERS_MAX = 300,
  FX_DOMAINS = 3 /* gates are in the domains "a", "b", "c" in turn */
};

void fx_store_start (const char *config);
void fx_router_spawn (int index, const char *log);
void fx_router_signal (int index, int number);
int fx_router_wait (int index);
int fx_router_ready (int index);
int fx_router_listens (int index);
int fx_router_connect (int index);

void fx_start (const char *config);
void fx_stop (void);
int fx_terminate (void); /* SIGTERM; returns the exit status */
void fx_signal (int number);
int fx_wait (void); /* for the exit; returns the status */

struct fx_target *fx_target_add (const char *id, const char *service,
                                 fx_handler_fn handler);
int fx_target_requests (struct fx_target *target);
char *fx_target_last_request (struct fx_target *target);
int fx_target_closed_by_router (struct fx_target *target);
void fx_target_set_state (struct fx_target *target, const char *state);
void fx_target_remove (struct fx_target *target);
struct proxy *fx_target_add_proxy (struct fx_target *target);
struct proxy *fx_store_add_proxy (int router);

void fx_store_put (const char *kind, const char *name, const char *spec);
void fx_store_delete (const char *kind, const char *name);
void fx_store_compact (void);
void fx_store_set_down (int down);
void fx_store_block_watches (int blocked);

void fx_write_settings (const char *extra);
char *fx_metrics (void);
int fx_is_ready (void);
int fx_handles_sighup (void);
void fx_peer_start (void);

void fx_stale_watchers_start (int count);

char *fx_exchange (const char *request);
int fx_connect (void);
void fx_send (int fd, const char *text);
char *fx_read_until (int fd, const char *text);
char *fx_read_all (int fd);
void fx_sleep_ms (int ms);
int fx_wait_until (int (*condition) (void));
void fx_write (int fd, const char *text);
void fx_reset_on_close (int fd);
void fx_shrink_receive_buffer (int fd);
char *fx_header (const char *text, const char *name);

#endif
