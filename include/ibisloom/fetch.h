/* Blocking HTTP client with persistent connections, for use by one thread. */
#ifndef IBISLOOM_FETCH_H
#define IBISLOOM_FETCH_H

#include <stdint.h>
#include <glib.h>

struct fetch;

struct fetch_request
{
  const char *method;
  const char *url;
  const char *body;          /* JSON, or NULL */
  const char *bearer;        /* token, or NULL */
  const char *credential;    /* sent instead of it, as it is; or NULL */
  const char *if_match;      /* header value, or NULL */
  const char *if_none_match; /* header value, or NULL */
  const char *epoch_field;   /* header field with the store's epoch, or NULL */
  int64_t timeout_ms;
};

struct fetch_response
{
  long status;   /* 0: no complete response */
  int sent;      /* the request may have reached the server */
  uint64_t etag; /* 0: none */
  const char *epoch_field;
  int epoch_is_bad; /* the field is malformed */
  uint64_t epoch;   /* 0: none */
  GString *body;    /* provided by the caller; NULL: discard the body */
};

struct fetch *fetch_new (void);
void fetch_free (struct fetch *fetch);
void fetch_set_abort_flag (struct fetch *fetch, const int *abort_flag);
void fetch_perform (struct fetch *fetch, const struct fetch_request *request,
                    struct fetch_response *response);

#endif
