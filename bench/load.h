/* ibisload: load generator and reports of the bench. */
#ifndef LOAD_H
#define LOAD_H

#include <stdint.h>
#include <glib.h>

enum
{
  LOAD_INSTANCES_MAX = 64,
  LOAD_ENGINES_MAX = 64,
  LOAD_ID_BYTES = 33
};

/* Whether the target ran a request, as an error response states it. */
enum load_execution
{
  LOAD_EXECUTION_NONE, /* not stated */
  LOAD_NOT_RUN,
  LOAD_RAN,
  LOAD_MAY_HAVE_RUN
};

/* One request as its client saw it.  Times are monotonic. */
struct load_record
{
  int64_t start_us;
  int64_t first_us; /* first byte of the response; 0: none */
  int64_t end_us;
  int64_t max_gap_us; /* longest time between two events of a stream */
  int instance;
  int customer;
  int chat;
  int64_t prompt; /* tokens */
  int64_t tokens; /* requested length of the response */
  int64_t tokens_received;
  int status; /* 0: no response */
  int complete;
  int crossed; /* the response held tokens of another request */
  int out_of_order;
  int cut; /* the transfer failed before the end of the response */
  enum load_execution execution;
  int retry_after_s;
  char code[32]; /* error code of a response other than 200 */
  char request_id[LOAD_ID_BYTES];
  char key[48]; /* idempotency key, or empty */
  uint64_t body_hash;
};

struct load_options
{
  const char *workload;
  int base_port; /* client port of instance 0 */
  int instances;
  int direct_port; /* port of a target to call without a router, or 0 */
  int64_t duration_ms;
  double rate;     /* requests per second */
  int concurrency; /* open requests of a closed loop */
  int chats;
  double zipf; /* exponent of the popularity of chats */
  int customers;
  double big_share; /* of the requests, sent by customer 0; 0: even shares */
  int64_t surge_at_ms; /* from then on customers 0 to 2 send more; 0: never */
  double surge_factor; /* growth of the rate of customers 0 to 2 */
  int64_t prompt;      /* tokens before the first turn of a chat */
  int64_t growth;      /* tokens that a turn adds to the prompt */
  int64_t tokens;      /* length of a response */
  int mixed;           /* one response in ten is four times as long */
  int stream;
  double repeat_share; /* of the keyed calls, sent twice at once */
  int retries;         /* of a keyed call by its client */
  unsigned seed;
  const char *service;
  const char *path;
  const char *method;
  const char *out;        /* file of the records */
  const char *events;     /* file of the engine changes */
  const char *token_file; /* operator token */
  /* For reports.  */
  int engines;
  int slots;
  int64_t cache_tokens;
  double load_factor;
  int64_t from_ms;
  int64_t until_ms;
};

/* load_client.c */
struct load_client;
typedef void (*load_done_fn) (void *closure, const struct load_record *record,
                              const char *body, size_t length);

struct load_request
{
  struct load_record record;
  const char *method;
  char url_path[128];
  char *body;
  char tag[32];
  int is_chat;
  load_done_fn fn;
  void *closure;
};

struct load_client *load_client_new (const struct load_options *options);
void load_client_free (struct load_client *client);
void load_client_send (struct load_client *client,
                       struct load_request *request);
void load_client_run_until (struct load_client *client, int64_t until_us);
int load_client_open_count (struct load_client *client);
int load_client_pick_instance (struct load_client *client);
int64_t load_now_us (void);

/* load_workloads.c: each runs for duration_ms, waits for open requests and
   returns the records */
GArray *load_run_chats (const struct load_options *options);
GArray *load_run_keyed_calls (const struct load_options *options);
GArray *load_run_closed_loop (const struct load_options *options);

/* load_config.c */
void load_run_config_changes (const struct load_options *options,
                              const char *token);

/* load_records.c */
void load_write_records (const char *path, const GArray *records);
GArray *load_read_records (const char *path);
double load_quantile (GArray *values, double q);
char *load_http_get (int port, const char *path);

/* load_report.c */
int load_report (const char *name, const struct load_options *options,
                 GArray *records, int engine_port, int service_port,
                 int platform_port);
void load_print_figure (const char *name, double value, const char *unit);

/* load_policies.c */

/* An engine was added to the usable engines or removed from them. */
struct load_engine_change
{
  int64_t at_us;
  int engine;
  int up; /* 1: added, 0: removed */
};

GArray *load_read_engine_changes (const char *path);
int load_engine_up (const GArray *changes, int engine, int64_t at_ms);
void load_report_policies (const struct load_options *options, GArray *records,
                           const char *history, int with_bounds);

#endif
