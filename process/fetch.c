/* Blocking HTTP client with persistent connections, for use by one thread. */
#include <stdlib.h>
#include <string.h>

#include <ck_pr.h>
#include <curl/curl.h>

#include "ibisloom/fetch.h"
#include "ibisloom/position.h"

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
static void read_epoch (struct fetch_response *response, const char *data,
                        size_t length);
static int on_progress (void *closure, curl_off_t down_total, curl_off_t down,
                        curl_off_t up_total, curl_off_t up);
static struct curl_slist *add_header (struct curl_slist *list,
                                      const char *name, const char *value);

/* Returns a client.  It keeps its connections open between requests.  */
struct fetch *
fetch_new (void)
{
  struct fetch *fetch = g_new0 (struct fetch, 1);

  fetch->easy = curl_easy_init ();
  return fetch;
}

void
fetch_free (struct fetch *fetch)
{
  curl_easy_cleanup (fetch->easy);
  g_free (fetch);
}

/* Makes requests of FETCH fail within a second once *ABORT_FLAG is not 0.  */
void
fetch_set_abort_flag (struct fetch *fetch, const int *abort_flag)
{
  fetch->abort_flag = abort_flag;
}

/* Sends REQUEST and fills RESPONSE.  A connection that fails or times out is
   closed, so that an unresponsive one is not used again.  */
void
fetch_perform (struct fetch *fetch, const struct fetch_request *request,
               struct fetch_response *response)
{
  CURL *easy = fetch->easy;
  struct curl_slist *headers = NULL;
  CURLcode code;

  response->status = 0;
  response->etag = 0;
  response->epoch = 0;
  response->epoch_is_bad = 0;
  response->epoch_field = request->epoch_field;
  curl_easy_reset (easy);
  headers = add_header (headers, "Authorization: Bearer", request->bearer);
  headers = add_header (headers, "Authorization:", request->credential);
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

/* Appends the header NAME with VALUE to LIST, unless VALUE is NULL, and
   returns the list.  */
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

/* Progress callback of libcurl; a return value other than 0 aborts the
   transfer.  */
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

/* Write callback of libcurl: appends to the body of the response, or aborts
   the transfer if the body is too large.  */
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

/* Stores the epoch if the header line DATA, of LENGTH bytes, has it.  */
static void
read_epoch (struct fetch_response *response, const char *data, size_t length)
{
  size_t name_length = strlen (response->epoch_field);
  char *value;

  if (length <= name_length || data[name_length] != ':'
      || g_ascii_strncasecmp (data, response->epoch_field, name_length) != 0)
    return;
  value = g_strndup (data + name_length + 1, length - name_length - 1);
  response->epoch_is_bad
      = pos_parse_epoch (g_strstrip (value), &response->epoch) != 0;
  g_free (value);
}

/* Header callback of libcurl: stores the ETag, a quoted decimal number, and
   the epoch.  */
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
  if (response->epoch_field != NULL)
    read_epoch (response, data, length);
  return length;
}
