/* Blocking HTTP calls of one thread on kept-alive connections. */
#ifndef IBISLOOM_FETCH_H
#define IBISLOOM_FETCH_H

#include <stdint.h>
#include <glib.h>

struct fetch;

struct fetch_request
{
  const char *method;
  const char *url;
  const char *body;          /* may be NULL */
  const char *bearer;        /* may be NULL */
  const char *if_match;      /* may be NULL */
  const char *if_none_match; /* may be NULL */
  int64_t timeout_ms;
};

struct fetch_response
{
  long status;   /* 0: no answer */
  int sent;      /* the request may have reached the server */
  uint64_t etag; /* 0: none */
  GString *body;
};

struct fetch *fetch_new (void);
void fetch_free (struct fetch *fetch);
void fetch_set_abort_flag (struct fetch *fetch, const int *abort_flag);
void fetch_perform (struct fetch *fetch, const struct fetch_request *request,
                    struct fetch_response *response);

#endif
