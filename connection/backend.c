/* Connections to targets, on libcurl's multi interface. */
#include <string.h>
#include <sys/epoll.h>

#include "ibisloom/log.h"
#include "libconnection.h"

enum
{
  CONNECT_TIMEOUT_MS = 250,
  IDLE_CONNECTIONS_MAX = 512,
  IDLE_HANDLES_MAX = 512,
  OUTPUT_PAUSE_BYTES = 262144,
  OUTPUT_RESUME_BYTES = 65536,
  NO_TIMEOUT_POLL_MS = 1000,
  CANCEL_TIMEOUT_MS = 1000,
  BUFFER_BYTES = 16384
};

static int on_socket (CURL *easy, curl_socket_t fd, int what, void *closure,
                      void *socket_data);
static int on_timer (CURLM *multi, long timeout_ms, void *closure);
static size_t on_body (char *data, size_t size, size_t count, void *closure);
static size_t on_header (char *data, size_t size, size_t count, void *closure);
static void note_head_line (struct req_attempt *attempt, const char *data,
                            size_t length);
static size_t discard_body (char *data, size_t size, size_t count,
                            void *closure);
static CURL *acquire_handle (struct worker *worker);
static void release_handle (struct worker *worker, CURL *easy);
static void set_method (struct req *req, CURL *easy);
static void set_common_options (CURL *easy, const char *url);
static void add_headers (struct req *req);
static int has_prefix (const char *data, size_t length, const char *prefix);
static char *header_value (const char *data, size_t length);

/* Creates the multi handle of WORKER.  */
void
backend_init (struct worker *worker)
{
  worker->multi = curl_multi_init ();
  worker->idle_handles = g_ptr_array_new ();
  curl_multi_setopt (worker->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (worker->multi, CURLMOPT_SOCKETDATA, worker);
  curl_multi_setopt (worker->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (worker->multi, CURLMOPT_TIMERDATA, worker);
  curl_multi_setopt (worker->multi, CURLMOPT_PIPELINING, 0L);
  curl_multi_setopt (worker->multi, CURLMOPT_MAXCONNECTS,
                     (long)IDLE_CONNECTIONS_MAX);
}

/* Frees the handles of WORKER.  */
void
backend_free (struct worker *worker)
{
  for (guint i = 0; i < worker->idle_handles->len; i++)
    curl_easy_cleanup (g_ptr_array_index (worker->idle_handles, i));
  g_ptr_array_free (worker->idle_handles, TRUE);
  curl_multi_cleanup (worker->multi);
}

/* Handles EVENTS of FD, a socket of libcurl.  */
void
backend_handle_socket (struct worker *worker, int fd, uint32_t events)
{
  int flags = 0;
  int running;

  if (events & EPOLLIN)
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    flags |= CURL_CSELECT_ERR;
  curl_multi_socket_action (worker->multi, fd, flags, &running);
}

/* Handles the expiry of libcurl's timer.  */
void
backend_handle_timeout (struct worker *worker)
{
  int running;

  worker->multi_due_ms = clk_now (clk_monotonic ()) + NO_TIMEOUT_POLL_MS;
  curl_multi_socket_action (worker->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

/* Reports the attempts that have ended to their requests, and releases the
   handles of completed cancellation requests.  */
void
backend_handle_completed (struct worker *worker)
{
  CURLMsg *message;
  int messages_left;

  while ((message = curl_multi_info_read (worker->multi, &messages_left))
         != NULL)
    {
      CURL *easy = message->easy_handle;
      CURLcode code = message->data.result;
      char *closure = NULL;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (easy, CURLINFO_PRIVATE, &closure);
      if (closure != NULL)
        {
          struct req *req = (struct req *)(void *)closure;

          curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE,
                             &req->attempt.status);
          req_on_attempt_end (req, (int)code);
        }
      else
        {
          curl_multi_remove_handle (worker->multi, easy);
          release_handle (worker, easy);
        }
    }
}

/* Starts an attempt of REQ at TARGET.  The result is reported by req_on_data
   and req_on_attempt_end.  A retry uses a new connection, and so does a
   request that must not be repeated: if a reused connection had been closed
   unnoticed, it would be unknown whether the request was executed.  */
void
backend_send (struct req *req, const struct ver_target *target)
{
  struct req_attempt *attempt = &req->attempt;
  char *host = settings_format_address (&target->address);
  CURL *easy = acquire_handle (req->worker);
  int force_new_connection = !req->repeatable || req->attempts > 0;

  metric_inc (METRIC_ATTEMPTS);
  memset (attempt, 0, sizeof *attempt);
  attempt->easy = easy;
  attempt->target = target->id;
  attempt->is_resume = req->resume_target != 0;
  attempt->offset_at_start = req->events.offset;
  attempt->started_ms = clk_now (clk_monotonic ());
  attempt->last_byte_ms = attempt->started_ms;
  attempt->response_headers = g_ptr_array_new_with_free_func (g_free);
  if (attempt->is_resume)
    g_snprintf (attempt->url, sizeof attempt->url,
                "http://%s/v1/streams/%s?offset=%" G_GINT64_FORMAT, host,
                req->id_text, (gint64)req->events.offset);
  else
    g_snprintf (attempt->url, sizeof attempt->url, "http://%s%s", host,
                req->path);
  g_free (host);
  set_common_options (easy, attempt->url);
  set_method (req, easy);
  add_headers (req);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, attempt->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, req);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, req);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, req);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    force_new_connection ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, req->repeatable ? 0L : 1L);
  curl_multi_add_handle (req->worker->multi, easy);
}

/* Ends the attempt of REQ.  If its transfer is in progress, the connection is
   closed.  */
void
backend_abort (struct req *req)
{
  struct req_attempt *attempt = &req->attempt;

  if (attempt->easy != NULL)
    {
      curl_multi_remove_handle (req->worker->multi, attempt->easy);
      release_handle (req->worker, attempt->easy);
    }
  curl_slist_free_all (attempt->headers);
  if (attempt->response_headers != NULL)
    g_ptr_array_free (attempt->response_headers, TRUE);
  g_free (attempt->content_type);
  memset (attempt, 0, sizeof *attempt);
}

/* Sends the target a request to cancel the stream of REQ.  The response is
   ignored.  */
void
backend_cancel_stream (struct req *req)
{
  const struct ver_target *target
      = ver_target_find (req->worker->version, req->target);
  char url[sizeof req->attempt.url];
  char *host;
  CURL *easy;

  if (target == NULL)
    return;
  host = settings_format_address (&target->address);
  g_snprintf (url, sizeof url, "http://%s/v1/streams/%s", host, req->id_text);
  g_free (host);
  easy = acquire_handle (req->worker);
  set_common_options (easy, url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, "DELETE");
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)CANCEL_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, NULL);
  curl_multi_add_handle (req->worker->multi, easy);
}

/* Resumes the transfer from the target when the client has received enough of
   the buffered output.  */
void
backend_resume (struct req *req)
{
  struct req_attempt *attempt = &req->attempt;

  if (!attempt->paused
      || req->out->len - req->out_offset > OUTPUT_RESUME_BYTES)
    return;
  attempt->paused = 0;
  attempt->last_byte_ms = clk_now (clk_monotonic ());
  req->worker->multi_due_ms = 0;
  curl_easy_pause (attempt->easy, CURLPAUSE_CONT);
}

/* Sets the options that all requests to targets have in common.  */
static void
set_common_options (CURL *easy, const char *url)
{
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, (long)BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
}

/* Sets the method and the body of the attempt.  A resumed stream is requested
   with the defaults, GET without a body.  */
static void
set_method (struct req *req, CURL *easy)
{
  if (req->attempt.is_resume)
    return;
  if (strcmp (req->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (req->body->len > 0 || strcmp (req->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long)req->body->len);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, req->body->str);
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, req->method);
}

/* Builds the header of the attempt: the client's end-to-end fields and the
   router's own.  */
static void
add_headers (struct req *req)
{
  struct curl_slist *list = NULL;
  char line[128];

  for (const struct curl_slist *at = req->forwarded_headers; at != NULL;
       at = at->next)
    list = curl_slist_append (list, at->data);
  g_snprintf (line, sizeof line, "X-Request-Id: %s", req->id_text);
  list = curl_slist_append (list, line);
  list = curl_slist_append (list, "Expect:");
  if (req->kind == VER_KIND_CHAT)
    {
      list = curl_slist_append (list, "Accept: text/event-stream");
      g_snprintf (line, sizeof line, "X-Priority: %d", req->priority);
      list = curl_slist_append (list, line);
      g_snprintf (line, sizeof line, "X-Chat: %016" G_GINT64_MODIFIER "x",
                  req->chat);
      list = curl_slist_append (list, line);
      g_snprintf (line, sizeof line, "X-Continue-At: %" G_GINT64_FORMAT,
                  (gint64)req->events.offset);
      list = curl_slist_append (list, line);
    }
  if (req->idempotency_key != NULL)
    {
      char *key
          = g_strdup_printf ("Idempotency-Key: %s", req->idempotency_key);

      list = curl_slist_append (list, key);
      g_free (key);
    }
  req->attempt.headers = list;
}

/* Handles a piece of the response body.  A streaming transfer is paused while
   the client is slow.  */
static size_t
on_body (char *data, size_t size, size_t count, void *closure)
{
  struct req *req = closure;
  struct req_attempt *attempt = &req->attempt;

  if (req->stream && req->out->len - req->out_offset > OUTPUT_PAUSE_BYTES)
    {
      attempt->paused = 1;
      return CURL_WRITEFUNC_PAUSE;
    }
  attempt->last_byte_ms = clk_now (clk_monotonic ());
  if (!attempt->got_bytes)
    {
      attempt->got_bytes = 1;
      curl_easy_getinfo (attempt->easy, CURLINFO_RESPONSE_CODE,
                         &attempt->status);
    }
  return req_on_data (req, data, size * count) == 0 ? size * count : 0;
}

/* Handles one line of the response header.  */
static size_t
on_header (char *data, size_t size, size_t count, void *closure)
{
  static const char *const forwarded[]
      = { "ETag:",          "Location:", "Retry-After:", "Cache-Control:",
          "Last-Modified:", "Vary:",     "Allow:",       "X-Executions:" };
  struct req *req = closure;
  struct req_attempt *attempt = &req->attempt;
  size_t length = size * count;

  attempt->last_byte_ms = clk_now (clk_monotonic ());
  note_head_line (attempt, data, length);
  if (has_prefix (data, length, "X-Request-Id:"))
    {
      char *value = header_value (data, length);

      attempt->id_seen = 1;
      attempt->id_matches = strcmp (value, req->id_text) == 0;
      g_free (value);
    }
  else if (has_prefix (data, length, "X-Not-Run:"))
    attempt->not_run = 1;
  else if (has_prefix (data, length, "Content-Length:")
           || has_prefix (data, length, "Transfer-Encoding:"))
    attempt->has_length = 1;
  else if (has_prefix (data, length, "Content-Type:"))
    {
      g_free (attempt->content_type);
      attempt->content_type = header_value (data, length);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (forwarded); i++)
    if (has_prefix (data, length, forwarded[i]))
      g_ptr_array_add (attempt->response_headers,
                       g_strchomp (g_strndup (data, length)));
  return length;
}

/* Notes whether the head of ATTEMPT's response is complete with its line DATA
   of LENGTH bytes: an empty line ends that of the last status line.  */
static void
note_head_line (struct req_attempt *attempt, const char *data, size_t length)
{
  if (has_prefix (data, length, "HTTP/"))
    {
      const char *code = memchr (data, ' ', length);

      attempt->is_head_complete = 0;
      attempt->is_interim
          = code != NULL && code + 1 < data + length && code[1] == '1';
    }
  else if (length > 0 && (data[0] == '\r' || data[0] == '\n'))
    attempt->is_head_complete |= !attempt->is_interim;
}

/* Discards the response to a cancellation request.  */
static size_t
discard_body (char *data, size_t size, size_t count, void *closure)
{
  (void)data;
  (void)closure;
  return size * count;
}

/* Returns whether the LENGTH bytes of DATA start with PREFIX, ignoring
   case.  */
static int
has_prefix (const char *data, size_t length, const char *prefix)
{
  size_t size = strlen (prefix);

  return length >= size && g_ascii_strncasecmp (data, prefix, size) == 0;
}

/* Returns the value of the header line DATA, newly allocated.  */
static char *
header_value (const char *data, size_t length)
{
  const char *colon = memchr (data, ':', length);

  return g_strstrip (
      g_strndup (colon + 1, length - (size_t)(colon + 1 - data)));
}

/* Registers FD, a socket of libcurl, with epoll for the events that libcurl
   waits for, or removes it.  */
static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *closure,
           void *socket_data)
{
  struct worker *worker = closure;
  struct epoll_event event = { .data.fd = fd };

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      epoll_ctl (worker->epoll, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (what & CURL_POLL_IN)
    event.events |= EPOLLIN;
  if (what & CURL_POLL_OUT)
    event.events |= EPOLLOUT;
  epoll_ctl (worker->epoll, socket_data ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd,
             &event);
  curl_multi_assign (worker->multi, fd, worker);
  return 0;
}

/* Records when libcurl's timer expires.  */
static int
on_timer (CURLM *multi, long timeout_ms, void *closure)
{
  struct worker *worker = closure;
  clk_ms now = clk_now (clk_monotonic ());

  (void)multi;
  worker->multi_due_ms
      = now + (timeout_ms >= 0 ? timeout_ms : (clk_ms)NO_TIMEOUT_POLL_MS);
  return 0;
}

/* Returns an easy handle without options.  */
static CURL *
acquire_handle (struct worker *worker)
{
  CURL *easy;

  if (worker->idle_handles->len == 0)
    return curl_easy_init ();
  easy = g_ptr_array_steal_index_fast (worker->idle_handles,
                                       worker->idle_handles->len - 1);
  curl_easy_reset (easy);
  return easy;
}

/* Keeps EASY for acquire_handle, or frees it.  */
static void
release_handle (struct worker *worker, CURL *easy)
{
  if (worker->idle_handles->len < IDLE_HANDLES_MAX)
    g_ptr_array_add (worker->idle_handles, easy);
  else
    curl_easy_cleanup (easy);
}
