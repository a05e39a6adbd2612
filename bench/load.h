/* Load and experiment tool: requests, records and reports. */
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

enum load_execution
{
  LOAD_EXECUTION_NONE,
  LOAD_NOT_RUN,
  LOAD_RAN,
  LOAD_MAY_HAVE_RUN
};

/* One request as its caller saw it. */
struct load_record
{
  int64_t start_us;
  int64_t first_us; /* 0: nothing came */
  int64_t end_us;
  int64_t max_gap_us; /* longest time without an event */
  int instance;
  int customer;
  int chat;
  int64_t prompt;
  int64_t tokens;
  int64_t tokens_received; /* tokens of the answer, in order */
  int status;              /* 0: no answer */
  int complete;
  int crossed;
  int out_of_order;
  int cut; /* the connection broke without a final answer */
  enum load_execution execution;
  int retry_after_s;
  char code[32];
  char request_id[LOAD_ID_BYTES];
  char key[48];
  uint64_t body_hash;
};

struct load_options
{
  const char *workload;
  int base_port; /* callers' port of instance 0 */
  int instances;
  int direct_port; /* 0, or the port of a target to call without a router */
  int64_t duration_ms;
  double rate; /* requests a second */
  int concurrency;
  int chats;
  double zipf;
  int customers;
  double big_share;    /* of the requests, for customer 0 */
  int64_t surge_at_ms; /* when customers 0 to 2 grow; 0: never */
  double surge_factor;
  int64_t prompt;
  int64_t growth;
  int64_t tokens;
  int mixed; /* one answer in ten is four times as long */
  int stream;
  double repeat_share; /* of keyed calls, sent twice at once */
  int retries;         /* of a keyed call by its caller */
  unsigned seed;
  const char *service;
  const char *path;
  const char *method;
  const char *out;
  const char *events;
  const char *token_file;
  /* report */
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

/* load_chats.c, load_calls.c: the workloads, run until their end */
GArray *load_run_chats (const struct load_options *options);
GArray *load_run_keyed_calls (const struct load_options *options);
GArray *load_run_closed_loop (const struct load_options *options);

/* load_config.c */
void load_run_config_changes (const struct load_options *options,
                              const char *token);

/* load_store.c */
void load_write_records (const char *path, const GArray *records);
GArray *load_read_records (const char *path);
double load_quantile (GArray *values, double q);
char *load_http_get (int port, const char *path);

/* load_report.c */
int load_report (const char *name, const struct load_options *options,
                 GArray *records, int engine_port, int service_port,
                 int platform_port);
void load_print_figure (const char *name, double value, const char *unit);

/* load_report_policies.c */

/* An engine came into use or left it. */
struct load_engine_change
{
  int64_t at_us;
  int engine;
  int up;
};

GArray *load_read_engine_changes (const char *path);
int load_engine_up (const GArray *changes, int engine, int64_t at_ms);
void load_report_policies (const struct load_options *options, GArray *records,
                           const char *history, int with_bounds);

#endif
