/* Blocking HTTP calls of one thread on kept-alive connections. */
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>
#include <curl/curl.h>

#include "ibisloom/fetch.h"

enum
{
  CONNECT_TIMEOUT_MS = 300,
  RESPONSE_MAX_BYTES = 8388608
};

struct fetch
{
  CURL *easy;
  const int *abort_flag;
};

static size_t on_body (char *data, size_t size, size_t count, void *closure);
static size_t on_header (char *data, size_t size, size_t count, void *closure);
static int on_progress (void *closure, curl_off_t down_total, curl_off_t down,
                        curl_off_t up_total, curl_off_t up);
static struct curl_slist *add_header (struct curl_slist *list,
                                      const char *name, const char *value);

/* Returns a session; it keeps its connections open between calls.  */
struct fetch *
fetch_new (void)
{
  struct fetch *fetch = g_new0 (struct fetch, 1);

  fetch->easy = curl_easy_init ();
  return fetch;
}

/* Frees FETCH.  */
void
fetch_free (struct fetch *fetch)
{
  curl_easy_cleanup (fetch->easy);
  g_free (fetch);
}

/* Breaks off calls of FETCH, within a second, once *ABORT_FLAG is not 0.  */
void
fetch_set_abort_flag (struct fetch *fetch, const int *abort_flag)
{
  fetch->abort_flag = abort_flag;
}

/* Makes REQUEST and fills RESPONSE, whose body the caller gives as an empty
   GString or NULL.  A connection that failed or timed out is closed, so a
   silent one is never used again.  */
void
fetch_perform (struct fetch *fetch, const struct fetch_request *request,
               struct fetch_response *response)
{
  CURL *easy = fetch->easy;
  struct curl_slist *headers = NULL;
  CURLcode code;

  response->status = 0;
  response->etag = 0;
  curl_easy_reset (easy);
  headers = add_header (headers, "Authorization: Bearer", request->bearer);
  headers = add_header (headers, "If-Match:", request->if_match);
  headers = add_header (headers, "If-None-Match:", request->if_none_match);
  headers = curl_slist_append (headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->body != NULL)
    {
      headers = curl_slist_append (headers, "Content-Type: application/json");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)strlen (request->body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, response);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, response);
  if (fetch->abort_flag != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_NOPROGRESS, 0L);
      curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, on_progress);
      curl_easy_setopt (easy, CURLOPT_XFERINFODATA, fetch);
    }
  code = curl_easy_perform (easy);
  response->sent = code != CURLE_COULDNT_CONNECT;
  if (code == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response->status);
  curl_slist_free_all (headers);
}

/* Appends the header NAME with VALUE to LIST unless VALUE is NULL.  */
static struct curl_slist *
add_header (struct curl_slist *list, const char *name, const char *value)
{
  char *line;

  if (value == NULL)
    return list;
  line = g_strdup_printf ("%s %s", name, value);
  list = curl_slist_append (list, line);
  g_free (line);
  return list;
}

/* Tells libcurl whether to break off.  */
static int
on_progress (void *closure, curl_off_t down_total, curl_off_t down,
             curl_off_t up_total, curl_off_t up)
{
  const struct fetch *fetch = closure;

  (void)down_total;
  (void)down;
  (void)up_total;
  (void)up;
  return ck_pr_load_int (fetch->abort_flag);
}

/* Collects the body for libcurl.  */
static size_t
on_body (char *data, size_t size, size_t count, void *closure)
{
  struct fetch_response *response = closure;

  if (response->body == NULL)
    return size * count;
  if (response->body->len + size * count > RESPONSE_MAX_BYTES)
    return 0;
  g_string_append_len (response->body, data, (gssize)(size * count));
  return size * count;
}

/* Picks the ETag out of the headers for libcurl.  */
static size_t
on_header (char *data, size_t size, size_t count, void *closure)
{
  struct fetch_response *response = closure;
  size_t length = size * count;

  if (length > 6 && g_ascii_strncasecmp (data, "ETag:", 5) == 0)
    {
      const char *digits = memchr (data, '"', length);

      if (digits != NULL)
        response->etag = strtoull (digits + 1, NULL, 10);
    }
  return length;
}
