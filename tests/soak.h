/* Private to the soak: its checks, its routers, and streams and
   entries of its targets. */
#ifndef SOAK_H
#define SOAK_H

#include "router_fixture.h"

enum
{
  SOAK_EVENTS_PER_STREAM = 6,
  SOAK_CONTACT_MS = 3000, /* until routers serve whatever paths are cut */
  SOAK_WINDOWS = 4,
  SOAK_PATHS_MAX = 2 * FX_DOMAINS, /* routers that all watch the store */
  SOAK_VERSION_BYTES = 8
};

/* What may keep a router from knowing what the store has. */
enum soak_cause
{
  SOAK_CAUSE_PROCESS, /* it is frozen, killed or started */
  SOAK_CAUSE_PATH,    /* its path to the store is cut */
  SOAK_CAUSE_STORE    /* the store is down */
};

/* What a client has of a stream, over all requests that take it up. */
struct soak_stream
{
  char *id; /* of the request that brought the first event, or NULL */
  int last; /* number of the last event */
  char version[SOAK_VERSION_BYTES]; /* of the software that wrote it */
};

/* soak.c */
void soak_report_violation (const char *id, const char *description,
                            const char *response);

/* soak_routers.c */
void soak_wait_for_listener (int index);
void soak_restart_router (GRand *random, int index, int number,
                          const char *log);
void soak_pause_router (GRand *random, int index);
void soak_reload_settings (int index);
void soak_wait_for_restarts (int count);
void soak_check_processes (int count);

/* soak_cuts.c */
void soak_add_paths (int routers);
void soak_change_cuts (GRand *random, int routers);
void soak_begin_cut (GRand *random, int window, int routers, int disturbed);
void soak_measure_cut (int window);
void soak_end_cuts (int routers);
int soak_window (void);
void soak_count_try (int window, int router, int served, gint64 sent_us);
void soak_check_cuts (void);

/* soak_fields.c */
char *soak_find_request_field (const char *text);
char *soak_find_response_field (const char *text);

/* soak_brittle.c */
void soak_add_brittle_targets (void (*executed) (const char *id));
void soak_change_brittle_targets (GRand *random);
void soak_calm_brittle_targets (void);
void soak_check_brittle_targets (GRand *random);

/* soak_evacuate.c */
void soak_use_evacuations (int count);
const char *soak_domain_of (int index);
void soak_note_cause (int router, enum soak_cause cause, int is_begin);
void soak_begin_evacuations (GRand *random);
int soak_check_domain (int index, int router);
void soak_end_evacuations (void);

/* soak_streams.c */
void soak_write_stream (const struct fx_request *request, const char *fields,
                        const char *version, int truncated, int pause_ms);
char *soak_resume_fields (const struct soak_stream *stream);
const char *soak_check_stream (struct soak_stream *stream, const char *id,
                               const char *response);
int soak_is_broken_off (const struct soak_stream *stream);
void soak_clear_stream (struct soak_stream *stream);

/* soak_entries.c */
void soak_put_entry (int index, const char *service, int port,
                     const char *version, const char *state);
void soak_change_odd_entries (GRand *random);
void soak_put_odd_entries (void);

#endif
