/* Settings of an instance, read from a YAML file. */
#ifndef IBISLOOM_SETTINGS_H
#define IBISLOOM_SETTINGS_H

#include <stdint.h>
#include <glib.h>
#include <netinet/in.h>

#include "ibisloom/log.h"

/* Protocols that an instance speaks with clients, targets, peers and the
   platform. */
enum settings_interface
{
  SETTINGS_INTERFACE_OWN,     /* ibisloom's own protocols */
  SETTINGS_INTERFACE_PLATFORM /* those of the users' platform */
};

struct settings
{
  char *path; /* of the settings file */
  char *instance;
  char *deployment;
  char *failure_domain;
  char *region;
  struct sockaddr_in listen;
  struct sockaddr_in peer_listen;
  struct sockaddr_in operator_listen;
  struct sockaddr_in platform;
  struct sockaddr_in readiness_listen;
  GArray *peers; /* of struct sockaddr_in */
  char *cluster_key_file;
  char *operator_token_file;
  char *tls_certificate_file;
  char *tls_key_file;
  int64_t workers;
  int64_t log_level;
  int64_t control_bytes_per_s;
  int64_t max_body_bytes;
  int64_t header_timeout_s;
  int64_t stop_timeout_ms;
  int64_t ledger_interval_ms;
  int64_t ledger_retention_s;
  int64_t interface;  /* enum settings_interface */
  double cap_factor;  /* load bound of a target: this times the mean load */
  double cap_slack;   /* plus this many requests */
  double retry_ratio; /* retries per request, over the whole fleet */
  double retry_slack; /* additional retries of the fleet in each window */
  double store_writes_per_s; /* that the store takes from all instances */
  int64_t config_apply_ms;   /* until a confirmed version is in force */
  int64_t context_lists;     /* whether targets are asked what they hold */
  int64_t drain_ms;          /* for which a leaving target may get requests */
  int64_t evacuate_ms; /* until an evacuation must be in force; 0: not read */
  int64_t slow_start;  /* limits on cold and started targets are kept */
  /* Contexts up to this length are kept in each failure domain. */
  int64_t local_context_tokens;
  double grace_s; /* from the stop signal until the process is killed */
  int64_t client_stall_ms; /* until a client that reads nothing is given up */
  int64_t admission_queue; /* 1: requests queue where capacity is scarce */
  int64_t work_aware;      /* 1: targets are chosen by when they would begin */
  int64_t load_relays; /* 1: load updates cross failure domains by relays */
  char *cluster_key;
  char *operator_token;
};

struct settings *settings_load (const char *path, GPtrArray *errors);
void settings_free (struct settings *settings);
int settings_parse_address (const char *text, struct sockaddr_in *address);
char *settings_format_address (const struct sockaddr_in *address);
char *settings_read_secret (const char *path, GError **error);

#endif
