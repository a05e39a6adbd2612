/* Client of the platform's object API: dispatch, and the implementation over
   HTTP. */
#include <inttypes.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/fetch.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/platform.h"
#include "ibisloom/settings.h"

enum
{
  URL_MAX_BYTES = 512,
  WATCH_MARGIN_MS = 1000, /* added to the requested wait for the timeout */
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  HTTP_NOT_FOUND = 404,
  HTTP_PRECONDITION_FAILED = 412
};

/* Header field of all responses with the store's epoch. */
static const char EPOCH_FIELD[] = "Store-Epoch";

struct http
{
  struct platform base;
  struct fetch *fetch;
  char *host;
  int64_t timeout_ms;
};

static char *http_get (struct platform *platform, const char *name,
                       uint64_t *revision, GError **error);
static int http_put (struct platform *platform, const char *name,
                     const char *text, uint64_t expected, uint64_t *revision,
                     GError **error);
static int http_remove (struct platform *platform, const char *name,
                        GError **error);
static char *http_watch (struct platform *platform, const char *prefix,
                         uint64_t since, int64_t wait_ms, GError **error);
static char *http_instances (struct platform *platform, GError **error);
static void http_free (struct platform *platform);
static void perform (struct http *http, struct fetch_request *request,
                     struct fetch_response *response);
static char *get_url (struct http *http, const char *url, int64_t timeout_ms,
                      uint64_t *revision, GError **error);

static const struct platform_ops http_ops = { http_get,       http_put,
                                              http_remove,    http_watch,
                                              http_instances, http_free };

/* Returns a session with the object API at ADDRESS.  Calls time out after
   TIMEOUT_MS, watches after their wait; all fail within a second once
   *ABORT_FLAG is not 0.  ABORT_FLAG may be NULL.  */
struct platform *
platform_http_new (const struct sockaddr_in *address, int64_t timeout_ms,
                   const int *abort_flag)
{
  struct http *http = g_new0 (struct http, 1);

  http->base.ops = &http_ops;
  http->fetch = fetch_new ();
  fetch_set_abort_flag (http->fetch, abort_flag);
  http->host = settings_format_address (address);
  http->timeout_ms = timeout_ms;
  return &http->base;
}

/* Reads object NAME.  Returns its text, newly allocated, and sets REVISION, or
   returns NULL with ERROR set.  */
char *
platform_get (struct platform *platform, const char *name, uint64_t *revision,
              GError **error)
{
  metric_inc (METRIC_PLATFORM_READS);
  return platform->ops->get (platform, name, revision, error);
}

/* Writes TEXT to object NAME if its revision is EXPECTED, or if it does not
   exist and EXPECTED is PLATFORM_ABSENT.  Returns 0 and sets REVISION to the
   new one, or returns -1 with ERROR set.  After ERR_PLATFORM_INDETERMINATE the
   write may have taken effect.  */
int
platform_put (struct platform *platform, const char *name, const char *text,
              uint64_t expected, uint64_t *revision, GError **error)
{
  metric_inc (METRIC_PLATFORM_WRITES);
  return platform->ops->put (platform, name, text, expected, revision, error);
}

/* Like platform_put, but reads the object back if the write got no response.
   TEXT must differ from what any other writer writes: the write took effect if
   and only if TEXT is found.  The error is still ERR_PLATFORM_INDETERMINATE if
   the read fails, too.  */
int
platform_put_confirmed (struct platform *platform, const char *name,
                        const char *text, uint64_t expected,
                        uint64_t *revision, GError **error)
{
  GError *write_error = NULL;
  GError *read_error = NULL;
  uint64_t stored_revision = 0;
  char *stored;
  int is_stored;

  if (platform_put (platform, name, text, expected, revision, &write_error)
      == 0)
    return 0;
  if (!g_error_matches (write_error, ERR_DOMAIN, ERR_PLATFORM_INDETERMINATE))
    {
      g_propagate_error (error, write_error);
      return -1;
    }
  metric_inc (METRIC_LEDGER_INDETERMINATE);
  stored = platform_get (platform, name, &stored_revision, &read_error);
  if (stored == NULL
      && !g_error_matches (read_error, ERR_DOMAIN, ERR_NOT_FOUND))
    {
      g_propagate_error (error, write_error);
      g_clear_error (&read_error);
      return -1;
    }
  is_stored = stored != NULL && strcmp (stored, text) == 0;
  g_free (stored);
  g_clear_error (&read_error);
  g_clear_error (&write_error);
  if (is_stored)
    {
      *revision = stored_revision;
      return 0;
    }
  if (stored_revision == expected)
    err_set (error, ERR_PLATFORM_DOWN, "%s: the write was lost", name);
  else
    err_set (error, ERR_CONFLICT, "%s: another writer was first", name);
  return -1;
}

/* Removes object NAME.  Returns 0, also if it does not exist, or -1 with ERROR
   set.  */
int
platform_remove (struct platform *platform, const char *name, GError **error)
{
  metric_inc (METRIC_PLATFORM_WRITES);
  return platform->ops->remove (platform, name, error);
}

/* Waits up to WAIT_MS for changes after revision SINCE to objects whose names
   start with PREFIX.  Returns them as JSON for ver_store_merge, or NULL with
   ERROR set.  */
char *
platform_watch (struct platform *platform, const char *prefix, uint64_t since,
                int64_t wait_ms, GError **error)
{
  metric_inc (METRIC_PLATFORM_WATCHES);
  return platform->ops->watch (platform, prefix, since, wait_ms, error);
}

/* Returns the platform's list of instances and targets as JSON, or NULL with
   ERROR set.  */
char *
platform_list_instances (struct platform *platform, GError **error)
{
  metric_inc (METRIC_PLATFORM_READS);
  return platform->ops->instances (platform, error);
}

/* Closes the session.  */
void
platform_free (struct platform *platform)
{
  platform->ops->free (platform);
}

static char *
http_get (struct platform *platform, const char *name, uint64_t *revision,
          GError **error)
{
  struct http *http = (struct http *)platform;
  char url[URL_MAX_BYTES];

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  return get_url (http, url, http->timeout_ms, revision, error);
}

/* Writes an object, with If-Match or If-None-Match as the condition.  */
static int
http_put (struct platform *platform, const char *name, const char *text,
          uint64_t expected, uint64_t *revision, GError **error)
{
  struct http *http = (struct http *)platform;
  char url[URL_MAX_BYTES];
  char match[32];
  struct fetch_response response = { 0 };
  struct fetch_request request = {
    .method = "PUT", .url = url, .body = text, .timeout_ms = http->timeout_ms
  };

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  g_snprintf (match, sizeof match, "\"%" G_GUINT64_FORMAT "\"",
              (guint64)expected);
  if (expected == PLATFORM_ABSENT)
    request.if_none_match = "*";
  else
    request.if_match = match;
  perform (http, &request, &response);
  if (response.status == HTTP_OK || response.status == HTTP_CREATED)
    {
      *revision = response.etag;
      return 0;
    }
  if (response.status == HTTP_PRECONDITION_FAILED)
    {
      err_set (error, ERR_CONFLICT, "%s changed", name);
      return -1;
    }
  metric_inc (METRIC_PLATFORM_ERRORS);
  if (response.status == 0 && response.sent)
    err_set (error, ERR_PLATFORM_INDETERMINATE, "%s: no answer to the write",
             name);
  else
    err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", name,
             response.status);
  return -1;
}

static int
http_remove (struct platform *platform, const char *name, GError **error)
{
  struct http *http = (struct http *)platform;
  char url[URL_MAX_BYTES];
  struct fetch_response response = { 0 };
  struct fetch_request request
      = { .method = "DELETE", .url = url, .timeout_ms = http->timeout_ms };

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  perform (http, &request, &response);
  if (response.status == HTTP_OK || response.status == HTTP_NOT_FOUND)
    return 0;
  metric_inc (METRIC_PLATFORM_ERRORS);
  err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", name, response.status);
  return -1;
}

/* Watches by long polling.  */
static char *
http_watch (struct platform *platform, const char *prefix, uint64_t since,
            int64_t wait_ms, GError **error)
{
  struct http *http = (struct http *)platform;
  char url[URL_MAX_BYTES];
  uint64_t revision;

  g_snprintf (url, sizeof url,
              "http://%s/v1/watch?prefix=%s&since=%" G_GUINT64_FORMAT
              "&wait_ms=%" G_GINT64_FORMAT,
              http->host, prefix, (guint64)since, (gint64)wait_ms);
  return get_url (http, url, wait_ms + WATCH_MARGIN_MS, &revision, error);
}

static char *
http_instances (struct platform *platform, GError **error)
{
  struct http *http = (struct http *)platform;
  char url[URL_MAX_BYTES];
  uint64_t revision;

  g_snprintf (url, sizeof url, "http://%s/v1/instances", http->host);
  return get_url (http, url, http->timeout_ms, &revision, error);
}

static void
http_free (struct platform *platform)
{
  struct http *http = (struct http *)platform;

  fetch_free (http->fetch);
  g_free (http->host);
  g_free (http);
}

/* Sends REQUEST and fills RESPONSE.  A response whose epoch is malformed or
   older than is known counts as none, after which the request may have been
   executed.  */
static void
perform (struct http *http, struct fetch_request *request,
         struct fetch_response *response)
{
  request->epoch_field = EPOCH_FIELD;
  fetch_perform (http->fetch, request, response);
  if (response->status == 0)
    return;
  if (!response->epoch_is_bad && response->epoch >= http->base.epoch)
    {
      http->base.epoch = response->epoch;
      return;
    }
  log_warn ("platform", NULL, "bad_epoch", "%" PRIu64 " after %" PRIu64,
            response->epoch, http->base.epoch);
  response->status = 0;
}

/* Gets URL within TIMEOUT_MS.  Returns the body, newly allocated, and sets
   REVISION, or returns NULL with ERROR set.  */
static char *
get_url (struct http *http, const char *url, int64_t timeout_ms,
         uint64_t *revision, GError **error)
{
  struct fetch_request request
      = { .method = "GET", .url = url, .timeout_ms = timeout_ms };
  struct fetch_response response = { .body = g_string_new (NULL) };

  perform (http, &request, &response);
  if (response.status == HTTP_OK)
    {
      *revision = response.etag;
      return g_string_free (response.body, FALSE);
    }
  g_string_free (response.body, TRUE);
  if (response.status == HTTP_NOT_FOUND)
    err_set (error, ERR_NOT_FOUND, "%s", url);
  else
    {
      metric_inc (METRIC_PLATFORM_ERRORS);
      err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", url,
               response.status);
    }
  return NULL;
}
