/* HTTP client of the load generator.

   Sends many requests at once and selects their instances as a load balancer
   with readiness checks would. */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <jansson.h>

#include "load.h"

enum
{
  READINESS_INTERVAL_US = 200000,
  READINESS_TIMEOUT_MS = 150,
  CONNECT_TIMEOUT_MS = 400,
  REQUEST_TIMEOUT_MS = 40000,
  CONNECT_RETRIES = 3,
  US_PER_MS = 1000,
  US_PER_S = 1000000
};

struct transfer
{
  struct load_client *client;
  struct load_request request;
  CURL *easy;
  struct curl_slist *headers;
  GString *response;
  size_t parsed_bytes;
  int64_t last_event_us;
  int connect_attempts;
  int checked_instance; /* its number plus one; 0: not a readiness check */
};

struct load_client
{
  const struct load_options *options;
  CURLM *multi;
  GQueue idle_handles; /* of CURL * */
  int open_count;
  int ready[LOAD_INSTANCES_MAX];
  int64_t last_check_us;
  GRand *random;
};

static void start_transfer (struct transfer *transfer);
static void finish_transfer (struct transfer *transfer, CURLcode code);
static void finish_completed_transfers (struct load_client *client);
static void start_readiness_checks (struct load_client *client);
static size_t on_data (char *data, size_t size, size_t count, void *closure);
static size_t on_header (char *data, size_t size, size_t count, void *closure);
static void parse_events (struct transfer *transfer, int64_t now);
static void parse_event (struct transfer *transfer, const char *event,
                         const char *end, int64_t now);
static void parse_tokens (struct transfer *transfer, const char *text);
static void parse_error (struct load_record *record, const char *json,
                         size_t length);
static void check_chat_response (struct transfer *transfer);

/* Returns the monotonic time in microseconds.  */
int64_t
load_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

/* Returns a client of the instances of OPTIONS, all of which count as ready
   until the first readiness check.  */
struct load_client *
load_client_new (const struct load_options *options)
{
  struct load_client *client = g_new0 (struct load_client, 1);

  curl_global_init (CURL_GLOBAL_ALL);
  client->options = options;
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, 4096L);
  g_queue_init (&client->idle_handles);
  client->random = g_rand_new_with_seed (options->seed ^ 0x5eed);
  for (int i = 0; i < options->instances; i++)
    client->ready[i] = 1;
  return client;
}

/* Frees CLIENT.  Requests that are still open are abandoned without a
   callback.  */
void
load_client_free (struct load_client *client)
{
  curl_multi_cleanup (client->multi);
  g_rand_free (client->random);
  g_free (client);
}

/* Returns the number of open requests, readiness checks not included.  */
int
load_client_open_count (struct load_client *client)
{
  return client->open_count;
}

/* Returns a random instance whose last readiness check passed, or any instance
   if none passed.  */
int
load_client_pick_instance (struct load_client *client)
{
  int count = client->options->instances;
  int first = g_rand_int_range (client->random, 0, count);

  for (int i = 0; i < count; i++)
    if (client->ready[(first + i) % count])
      return (first + i) % count;
  return first;
}

/* Sends a copy of REQUEST, which owns and frees the body.  The callback of
   REQUEST is called once, when the request has ended.  */
void
load_client_send (struct load_client *client, struct load_request *request)
{
  struct transfer *transfer = g_new0 (struct transfer, 1);

  transfer->client = client;
  transfer->request = *request;
  transfer->response = g_string_new (NULL);
  transfer->request.record.start_us = load_now_us ();
  transfer->last_event_us = transfer->request.record.start_us;
  client->open_count++;
  start_transfer (transfer);
}

/* Runs transfers and readiness checks until UNTIL_US.  */
void
load_client_run_until (struct load_client *client, int64_t until_us)
{
  int running;

  for (;;)
    {
      int64_t now = load_now_us ();

      if (client->options->direct_port == 0
          && now - client->last_check_us > READINESS_INTERVAL_US)
        start_readiness_checks (client);
      curl_multi_perform (client->multi, &running);
      finish_completed_transfers (client);
      now = load_now_us ();
      if (now >= until_us)
        return;
      curl_multi_poll (client->multi, NULL, 0,
                       (int)MIN ((until_us - now + 999) / US_PER_MS, 20),
                       NULL);
    }
}

/* Sends the request of TRANSFER to its instance.  */
static void
start_transfer (struct transfer *transfer)
{
  struct load_client *client = transfer->client;
  const struct load_request *request = &transfer->request;
  const struct load_options *options = client->options;
  CURL *easy = g_queue_pop_head (&client->idle_handles);
  char url[192];
  char header_line[96];
  int port = options->direct_port
                 ? options->direct_port
                 : options->base_port + request->record.instance;

  if (easy == NULL)
    easy = curl_easy_init ();
  else
    curl_easy_reset (easy);
  transfer->easy = easy;
  g_snprintf (url, sizeof url, "http://127.0.0.1:%d%s", port,
              request->url_path);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE,
                        (long)strlen (request->body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
    }
  g_snprintf (header_line, sizeof header_line, "X-Customer: customer-%d",
              request->record.customer);
  transfer->headers = curl_slist_append (NULL, header_line);
  transfer->headers = curl_slist_append (transfer->headers, "Expect:");
  if (request->record.key[0] != '\0')
    {
      g_snprintf (header_line, sizeof header_line, "Idempotency-Key: %s",
                  request->record.key);
      transfer->headers = curl_slist_append (transfer->headers, header_line);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)(transfer->checked_instance ? READINESS_TIMEOUT_MS
                                                      : REQUEST_TIMEOUT_MS));
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_multi_add_handle (client->multi, easy);
}

/* Handles the transfers that have ended.  */
static void
finish_completed_transfers (struct load_client *client)
{
  CURLMsg *message;
  int remaining;

  while ((message = curl_multi_info_read (client->multi, &remaining)) != NULL)
    {
      struct transfer *transfer;
      CURLcode code = message->data.result;
      CURL *easy = message->easy_handle;

      curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&transfer);
      finish_transfer (transfer, code);
    }
}

/* Records the result of TRANSFER and frees it.  If the connection could not be
   made, the request is sent to another instance instead, as a load balancer
   would.  */
static void
finish_transfer (struct transfer *transfer, CURLcode code)
{
  struct load_client *client = transfer->client;
  struct load_record *record = &transfer->request.record;
  long status = 0;

  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_multi_remove_handle (client->multi, transfer->easy);
  g_queue_push_head (&client->idle_handles, transfer->easy);
  curl_slist_free_all (transfer->headers);
  if (transfer->checked_instance > 0)
    client->ready[transfer->checked_instance - 1]
        = code == CURLE_OK && status == 200;
  else if (code == CURLE_COULDNT_CONNECT
           && transfer->connect_attempts++ < CONNECT_RETRIES)
    {
      client->ready[record->instance] = 0;
      record->instance = load_client_pick_instance (client);
      start_transfer (transfer);
      return;
    }
  else
    {
      record->end_us = load_now_us ();
      record->status = (int)status;
      record->cut = code != CURLE_OK;
      if (transfer->request.is_chat && status == 200)
        check_chat_response (transfer);
      else
        {
          record->complete = code == CURLE_OK && status == 200;
          record->body_hash = g_str_hash (transfer->response->str);
        }
      if (status != 200 || strstr (transfer->response->str, "event: error"))
        parse_error (record, transfer->response->str, transfer->response->len);
      client->open_count--;
      transfer->request.fn (transfer->request.closure, record,
                            transfer->response->str, transfer->response->len);
      g_free (transfer->request.body);
    }
  g_string_free (transfer->response, TRUE);
  g_free (transfer);
}

static void
start_readiness_checks (struct load_client *client)
{
  client->last_check_us = load_now_us ();
  for (int i = 0; i < client->options->instances; i++)
    {
      struct transfer *transfer = g_new0 (struct transfer, 1);

      transfer->client = client;
      transfer->checked_instance = i + 1;
      transfer->response = g_string_new (NULL);
      transfer->request.method = "GET";
      transfer->request.record.instance = i;
      g_strlcpy (transfer->request.url_path, "/readyz",
                 sizeof transfer->request.url_path);
      start_transfer (transfer);
    }
}

/* Appends a part of the body to the response.  */
static size_t
on_data (char *data, size_t size, size_t count, void *closure)
{
  struct transfer *transfer = closure;
  int64_t now = load_now_us ();

  if (transfer->request.record.first_us == 0)
    transfer->request.record.first_us = now;
  g_string_append_len (transfer->response, data, (gssize)(size * count));
  if (transfer->request.is_chat)
    parse_events (transfer, now);
  return size * count;
}

/* Reads the retry time and the request identifier from one header line.  */
static size_t
on_header (char *data, size_t size, size_t count, void *closure)
{
  struct transfer *transfer = closure;
  struct load_record *record = &transfer->request.record;
  size_t length = size * count;

  if (length > 12 && g_ascii_strncasecmp (data, "Retry-After:", 12) == 0)
    record->retry_after_s = atoi (data + 12);
  if (length > 13 && g_ascii_strncasecmp (data, "X-Request-Id:", 13) == 0)
    {
      char *value = g_strstrip (g_strndup (data + 13, length - 13));

      g_strlcpy (record->request_id, value, sizeof record->request_id);
      g_free (value);
    }
  return length;
}

/* Parses the events received in full since the last call.  */
static void
parse_events (struct transfer *transfer, int64_t now)
{
  for (;;)
    {
      const char *begin = transfer->response->str + transfer->parsed_bytes;
      const char *end = strstr (begin, "\n\n");

      if (end == NULL)
        return;
      parse_event (transfer, begin, end, now);
      transfer->parsed_bytes = (size_t)(end + 2 - transfer->response->str);
    }
}

/* Parses the event that ends at END and records the time since the
   previous event.  */
static void
parse_event (struct transfer *transfer, const char *event, const char *end,
             int64_t now)
{
  struct load_record *record = &transfer->request.record;
  const char *content = strstr (event, "\"content\":\"");

  record->max_gap_us = MAX (record->max_gap_us, now - transfer->last_event_us);
  transfer->last_event_us = now;
  if (content != NULL && content < end)
    parse_tokens (transfer, content + strlen ("\"content\":\""));
  else if (g_str_has_prefix (event, "data: [DONE]"))
    record->complete = 1;
}

/* Checks the tokens of TEXT, each "TAG-NUMBER ": the tag must be that of this
   request, and the numbers must count up without a gap.  */
static void
parse_tokens (struct transfer *transfer, const char *text)
{
  struct load_record *record = &transfer->request.record;
  size_t tag_length = strlen (transfer->request.tag);

  while (*text != '"' && *text != '\0')
    {
      const char *end = strchr (text, ' ');

      if (end == NULL)
        return;
      if (strncmp (text, transfer->request.tag, tag_length) != 0
          || text[tag_length] != '-')
        record->crossed = 1;
      else if (strtoll (text + tag_length + 1, NULL, 10)
               != record->tokens_received)
        record->out_of_order = 1;
      record->tokens_received++;
      text = end + 1;
    }
}

/* Sets whether the response to a chat is complete.  A response that is not a
   stream has all tokens in one field.  */
static void
check_chat_response (struct transfer *transfer)
{
  struct load_record *record = &transfer->request.record;
  const char *content = strstr (transfer->response->str, "\"content\":\"");

  if (record->tokens_received == 0 && content != NULL)
    {
      parse_tokens (transfer, content + strlen ("\"content\":\""));
      record->complete = 1;
    }
  record->complete
      = record->complete && record->tokens_received == record->tokens
        && !record->crossed && !record->out_of_order && !record->cut;
}

/* Reads the error code and the execution state of an error response.  */
static void
parse_error (struct load_record *record, const char *text, size_t length)
{
  const char *begin = strstr (text, "{\"error\"");
  json_t *json;
  json_t *error;
  const char *execution;

  if (begin == NULL)
    return;
  length -= (size_t)(begin - text);
  json = json_loadb (begin, length, JSON_DISABLE_EOF_CHECK, NULL);
  error = json_object_get (json, "error");
  execution = json_string_value (json_object_get (error, "run"));
  g_strlcpy (record->code,
             json_string_value (json_object_get (error, "code"))
                 ? json_string_value (json_object_get (error, "code"))
                 : "",
             sizeof record->code);
  if (g_strcmp0 (execution, "not_run") == 0)
    record->execution = LOAD_NOT_RUN;
  else if (g_strcmp0 (execution, "ran") == 0)
    record->execution = LOAD_RAN;
  else if (execution != NULL)
    record->execution = LOAD_MAY_HAVE_RUN;
  json_decref (json);
}
