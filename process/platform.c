/* The platform's object API: dispatch and its HTTP form. */
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/fetch.h"
#include "ibisloom/metrics.h"
#include "ibisloom/platform.h"
#include "ibisloom/settings.h"

enum
{
  URL_MAX_BYTES = 512,
  WATCH_SLACK_MS = 1000,
  HTTP_OK = 200,
  HTTP_CREATED = 201,
  HTTP_NOT_FOUND = 404,
  HTTP_PRECONDITION_FAILED = 412
};

struct http
{
  struct plat base;
  struct fetch *fetch;
  char *host;
  int64_t timeout_ms;
};

static char *http_get (struct plat *plat, const char *name, uint64_t *revision,
                       GError **error);
static int http_put (struct plat *plat, const char *name, const char *text,
                     uint64_t expected, uint64_t *revision, GError **error);
static int http_remove (struct plat *plat, const char *name, GError **error);
static char *http_watch (struct plat *plat, const char *prefix, uint64_t since,
                         int64_t wait_ms, GError **error);
static char *http_instances (struct plat *plat, GError **error);
static void http_free (struct plat *plat);
static char *read_url (struct http *http, const char *url, int64_t timeout_ms,
                       uint64_t *revision, GError **error);

static const struct plat_ops http_ops = { http_get,       http_put,
                                          http_remove,    http_watch,
                                          http_instances, http_free };

/* Returns a session with the object API at ADDRESS.  Calls that last are
   broken off once *ABORT, if given, is not 0.  */
struct plat *
plat_http_new (const struct sockaddr_in *address, int64_t timeout_ms,
               const int *abort)
{
  struct http *http = g_new0 (struct http, 1);

  http->base.ops = &http_ops;
  http->fetch = fetch_new ();
  fetch_abort_on (http->fetch, abort);
  http->host = settings_format_address (address);
  http->timeout_ms = timeout_ms;
  return &http->base;
}

/* Reads object NAME.  Returns its text newly allocated and its REVISION, or
   NULL with ERROR set.  */
char *
plat_get (struct plat *plat, const char *name, uint64_t *revision,
          GError **error)
{
  met_inc (MET_PLATFORM_READS);
  return plat->ops->get (plat, name, revision, error);
}

/* Writes TEXT as object NAME if its revision is EXPECTED (PLAT_ABSENT: if it
   does not exist).  Returns 0 and the new REVISION, or -1 with ERROR set; if
   that is ERR_PLATFORM_UNSURE the write may have taken effect.  */
int
plat_put (struct plat *plat, const char *name, const char *text,
          uint64_t expected, uint64_t *revision, GError **error)
{
  met_inc (MET_PLATFORM_WRITES);
  return plat->ops->put (plat, name, text, expected, revision, error);
}

/* Like plat_put, but reads back a write whose answer was lost.  TEXT must
   hold something that no other writer would write, so that finding it means
   that the write took effect.  Still ERR_PLATFORM_UNSURE if the platform does
   not answer the read either.  */
int
plat_put_sure (struct plat *plat, const char *name, const char *text,
               uint64_t expected, uint64_t *revision, GError **error)
{
  GError *first = NULL;
  GError *second = NULL;
  uint64_t found = 0;
  char *held;
  int same;

  if (plat_put (plat, name, text, expected, revision, &first) == 0)
    return 0;
  if (!g_error_matches (first, ERR_DOMAIN, ERR_PLATFORM_UNSURE))
    {
      g_propagate_error (error, first);
      return -1;
    }
  met_inc (MET_LEDGER_UNSURE);
  held = plat_get (plat, name, &found, &second);
  if (held == NULL && !g_error_matches (second, ERR_DOMAIN, ERR_NOT_FOUND))
    {
      g_propagate_error (error, first);
      g_clear_error (&second);
      return -1;
    }
  same = held != NULL && strcmp (held, text) == 0;
  g_free (held);
  g_clear_error (&second);
  g_clear_error (&first);
  if (same)
    {
      *revision = found;
      return 0;
    }
  if (found == expected)
    err_set (error, ERR_PLATFORM_DOWN, "%s: the write was lost", name);
  else
    err_set (error, ERR_CONFLICT, "%s: another writer was first", name);
  return -1;
}

/* Removes object NAME; it is no error if there is none.  */
int
plat_remove (struct plat *plat, const char *name, GError **error)
{
  met_inc (MET_PLATFORM_WRITES);
  return plat->ops->remove (plat, name, error);
}

/* Waits up to WAIT_MS for objects whose names start with PREFIX to change
   after revision SINCE.  Returns JSON for ver_store_merge, or NULL with ERROR
   set.  */
char *
plat_watch (struct plat *plat, const char *prefix, uint64_t since,
            int64_t wait_ms, GError **error)
{
  met_inc (MET_PLATFORM_WATCHES);
  return plat->ops->watch (plat, prefix, since, wait_ms, error);
}

/* Returns the platform's list of instances and targets as JSON, or NULL with
   ERROR set.  */
char *
plat_instances (struct plat *plat, GError **error)
{
  met_inc (MET_PLATFORM_READS);
  return plat->ops->instances (plat, error);
}

/* Ends the session.  */
void
plat_free (struct plat *plat)
{
  plat->ops->free (plat);
}

/* Reads an object over HTTP.  */
static char *
http_get (struct plat *plat, const char *name, uint64_t *revision,
          GError **error)
{
  struct http *http = (struct http *)plat;
  char url[URL_MAX_BYTES];

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  return read_url (http, url, http->timeout_ms, revision, error);
}

/* Writes an object over HTTP.  */
static int
http_put (struct plat *plat, const char *name, const char *text,
          uint64_t expected, uint64_t *revision, GError **error)
{
  struct http *http = (struct http *)plat;
  char url[URL_MAX_BYTES];
  char match[32];
  struct fetch_answer answer = { 0 };
  struct fetch_call call = {
    .method = "PUT", .url = url, .body = text, .timeout_ms = http->timeout_ms
  };

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  g_snprintf (match, sizeof match, "\"%" G_GUINT64_FORMAT "\"",
              (guint64)expected);
  if (expected == PLAT_ABSENT)
    call.if_none_match = "*";
  else
    call.if_match = match;
  fetch_do (http->fetch, &call, &answer);
  if (answer.status == HTTP_OK || answer.status == HTTP_CREATED)
    {
      *revision = answer.etag;
      return 0;
    }
  if (answer.status == HTTP_PRECONDITION_FAILED)
    {
      err_set (error, ERR_CONFLICT, "%s changed", name);
      return -1;
    }
  met_inc (MET_PLATFORM_ERRORS);
  if (answer.status == 0 && answer.sent)
    err_set (error, ERR_PLATFORM_UNSURE, "%s: no answer to the write", name);
  else
    err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", name, answer.status);
  return -1;
}

/* Removes an object over HTTP.  */
static int
http_remove (struct plat *plat, const char *name, GError **error)
{
  struct http *http = (struct http *)plat;
  char url[URL_MAX_BYTES];
  struct fetch_answer answer = { 0 };
  struct fetch_call call
      = { .method = "DELETE", .url = url, .timeout_ms = http->timeout_ms };

  g_snprintf (url, sizeof url, "http://%s/v1/objects/%s", http->host, name);
  fetch_do (http->fetch, &call, &answer);
  if (answer.status == HTTP_OK || answer.status == HTTP_NOT_FOUND)
    return 0;
  met_inc (MET_PLATFORM_ERRORS);
  err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", name, answer.status);
  return -1;
}

/* Watches over HTTP by long polling.  */
static char *
http_watch (struct plat *plat, const char *prefix, uint64_t since,
            int64_t wait_ms, GError **error)
{
  struct http *http = (struct http *)plat;
  char url[URL_MAX_BYTES];
  uint64_t revision;

  g_snprintf (url, sizeof url,
              "http://%s/v1/watch?prefix=%s&since=%" G_GUINT64_FORMAT
              "&wait_ms=%" G_GINT64_FORMAT,
              http->host, prefix, (guint64)since, (gint64)wait_ms);
  return read_url (http, url, wait_ms + WATCH_SLACK_MS, &revision, error);
}

/* Reads the list of instances over HTTP.  */
static char *
http_instances (struct plat *plat, GError **error)
{
  struct http *http = (struct http *)plat;
  char url[URL_MAX_BYTES];
  uint64_t revision;

  g_snprintf (url, sizeof url, "http://%s/v1/instances", http->host);
  return read_url (http, url, http->timeout_ms, &revision, error);
}

/* Frees the HTTP session.  */
static void
http_free (struct plat *plat)
{
  struct http *http = (struct http *)plat;

  fetch_free (http->fetch);
  g_free (http->host);
  g_free (http);
}

/* Reads URL within TIMEOUT_MS.  */
static char *
read_url (struct http *http, const char *url, int64_t timeout_ms,
          uint64_t *revision, GError **error)
{
  struct fetch_call call
      = { .method = "GET", .url = url, .timeout_ms = timeout_ms };
  struct fetch_answer answer = { .body = g_string_new (NULL) };

  fetch_do (http->fetch, &call, &answer);
  if (answer.status == HTTP_OK)
    {
      *revision = answer.etag;
      return g_string_free (answer.body, FALSE);
    }
  g_string_free (answer.body, TRUE);
  if (answer.status == HTTP_NOT_FOUND)
    err_set (error, ERR_NOT_FOUND, "%s", url);
  else
    {
      met_inc (MET_PLATFORM_ERRORS);
      err_set (error, ERR_PLATFORM_DOWN, "%s: status %ld", url, answer.status);
    }
  return NULL;
}
