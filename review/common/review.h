/* Shared by the scripts of the review: one process of ibisloomd, started as
   the deploy file says, beside the stand-ins of the tests. */
#ifndef REVIEW_H
#define REVIEW_H

#include <stdint.h>
#include <sys/types.h>

#include <glib.h>

#include "router_fixture.h"

enum
{
  REVIEW_HELD = 0,    /* the rule held */
  REVIEW_BROKEN = 1,  /* the rule was broken */
  REVIEW_NOT_RUN = 2, /* the case could not be run */
  REVIEW_MACHINES_MAX = 9,
  REVIEW_CONFIG_APPLY_MS = 2000,
  REVIEW_DRAIN_MS = 2000,
  REVIEW_GRACE_MS = 8000
};

/* Response as received by a client. */
struct review_response
{
  int status; /* 0: none */
  int is_complete;
  char *text;
};

/* review.c */
int review_begin (int argc, char **argv);
int review_has_trouble (void);
int64_t review_now_ms (void);
void review_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
void review_store_start (const char *config);

/* For the machine INDEX, from 0.  */
int review_machine_start (int index, int store_port);
void review_machine_set_zone (int index, char zone);
void review_machine_set_store (int index, const char *host);
int review_machine_port (int index);
int review_machine_peer_port (int index);
void review_machine_signal (int index, int number);
int review_machine_wait (int index, int64_t timeout_ms);

int review_end (int is_broken, const char *finding);

/* requester.c */
struct review_response review_exchange (const char *request);
struct review_response review_exchange_with (int machine, const char *request);
void review_response_clear (struct review_response *response);
char *review_request (const char *method, const char *path, const char *id,
                      const char *key, int64_t deadline_ms, const char *fields,
                      const char *body);

/* config.c */
char *review_config (int version, const char *tenants);

/* worker.c */
char *review_attempt_id (const struct fx_request *request);
void review_respond (const struct fx_request *request, const char *status,
                     const char *fields, const char *body);
void review_start_stream (const struct fx_request *request,
                          const char *fields);
void review_write_event (const struct fx_request *request, int number,
                         const char *text);
void review_end_stream (const struct fx_request *request);

#endif
