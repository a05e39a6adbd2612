/* A target that responds with streams of events.  Each event names the
   software version of the process that made it.

   Options: listen= store= id= service= zone= version= record=, and
   register_ms=, from the start to its first entry in the store;
   clock_ms=, by how much its time of day differs; events= and gap_ms= of a
   stream.  */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "standin.h"

enum
{
  HEARTBEAT_MS = 1200,
  SLOTS = 64,
  DECIMAL_BASE = 10,
  STATUS_NOT_FOUND = 404
};

static int64_t born_ms;

static uint32_t call_store (const char *method, const char *url,
                            const char *body);
static void write_entry (int64_t sequence);
static gpointer register_thread (gpointer data);
static int send_stream (int fd, const struct message *request, const char *id);
static int answer (int fd, const struct message *request);
static void serve (int fd);

/* Calls the store.  Returns the status, or 0 if there was no response.  */
static uint32_t
call_store (const char *method, const char *url, const char *body)
{
  int fd = net_connect (util_option ("store", ""));
  GString *input = g_string_new (NULL);
  struct message response = { 0 };
  uint32_t status = 0;
  char *request = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: store\r\n"
                                   "Content-Type: application/json\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   method, url, strlen (body), body);

  if (fd >= 0 && net_write (fd, request, strlen (request)) == 0
      && net_read_message (fd, input, &response, NULL, NULL) == 0)
    status = net_status (&response);
  if (fd >= 0)
    (void)close (fd);
  net_clear (&response);
  g_string_free (input, TRUE);
  g_free (request);
  return status;
}

/* Writes the entry of this worker, the SEQUENCE-th time.  */
static void
write_entry (int64_t sequence)
{
  const char *id = util_option ("id", "");
  json_t *object = json_pack (
      "{s:{s:s},s:{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I}}", "metadata", "name",
      id, "spec", "service", util_option ("service", ""), "address",
      util_option ("listen", ""), "zone", util_option ("zone", ""), "version",
      util_option ("version", ""), "slots", (int)SLOTS, "state", "ready",
      "cold_left_ms", 0, "sequence", (json_int_t)sequence, "born",
      (json_int_t)born_ms);
  char *body = json_dumps (object, JSON_COMPACT);
  char *url = g_strdup_printf ("/objects/servers/%s", id);
  uint32_t status = call_store ("PUT", url, body);

  if (status == STATUS_NOT_FOUND)
    status = call_store ("POST", "/objects/servers", body);
  if (sequence == 1)
    util_record ("worker %s version %s: first entry in the store, status %u",
                 id, util_option ("version", ""), status);
  g_free (url);
  free (body);
  json_decref (object);
}

/* Writes the entry again and again.  */
static gpointer
register_thread (gpointer data)
{
  (void)data;
  util_sleep_ms (util_number ("register_ms", 0));
  for (int64_t sequence = 1;; sequence++)
    {
      write_entry (sequence);
      util_sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* Sends the events of the stream that REQUEST asks for, after the last one
   that it names.  Returns 0, or -1 if the connection has ended.  */
static int
send_stream (int fd, const struct message *request, const char *id)
{
  char *last = net_field (request, "Last-Event-Id");
  int64_t first
      = last != NULL ? g_ascii_strtoll (last, NULL, DECIMAL_BASE) + 1 : 1;
  int64_t events = util_number ("events", 60);
  const char *self = util_option ("id", "");
  const char *version = util_option ("version", "");
  char *head
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
                         "X-Ibisloom-Response-Signature: %s.%s.%s\r\n"
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n",
                         id, self, version, id);
  int result = net_write (fd, head, strlen (head));

  util_record ("worker %s version %s: runs %s from event %" G_GINT64_FORMAT,
               self, version, id, first);
  for (int64_t i = first; i <= events && result == 0; i++)
    {
      char *event = g_strdup_printf (
          "id: %" G_GINT64_FORMAT "\ndata: %s %s\n\n", i, version, self);
      char *chunk = g_strdup_printf ("%zx\r\n%s\r\n", strlen (event), event);

      result = net_write (fd, chunk, strlen (chunk));
      g_free (event);
      g_free (chunk);
      util_sleep_ms (util_number ("gap_ms", 50));
    }
  if (result == 0)
    result = net_write (fd, "0\r\n\r\n", 5);
  g_free (head);
  g_free (last);
  return result;
}

/* Responds to REQUEST.  Returns 0, or -1 if the connection has ended.  */
static int
answer (int fd, const struct message *request)
{
  char *id = net_field (request, "X-Ibisloom-Attempt-Id");
  char *expected = net_field (request, "X-Ibisloom-Expected-Instance");
  char *refusal = NULL;
  int result;

  if (id == NULL)
    refusal = g_strdup ("HTTP/1.1 400 X\r\nX-Ibisloom-Not-Executed: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
  else if (expected != NULL && strcmp (expected, util_option ("id", "")) != 0)
    refusal = g_strdup_printf (
        "HTTP/1.1 421 X\r\nX-Ibisloom-Not-Executed: 1\r\n"
        "X-Ibisloom-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
        id);
  result = refusal != NULL ? net_write (fd, refusal, strlen (refusal))
                           : send_stream (fd, request, id);
  g_free (refusal);
  g_free (expected);
  g_free (id);
  return result;
}

/* Serves the connection FD.  */
static void
serve (int fd)
{
  GString *input = g_string_new (NULL);
  struct message request = { 0 };

  while (net_read_message (fd, input, &request, NULL, NULL) == 0
         && answer (fd, &request) == 0)
    net_clear (&request);
  net_clear (&request);
  g_string_free (input, TRUE);
}

/* Runs a worker.  */
int
worker_run (void)
{
  util_open_record (util_option ("record", "/dev/null"));
  born_ms = util_wall_ms () + util_number ("clock_ms", 0);
  util_record ("worker %s version %s: starts", util_option ("id", ""),
               util_option ("version", ""));
  g_thread_unref (g_thread_new ("register", register_thread, NULL));
  net_serve (util_option ("listen", ""), serve);
  return EXIT_SUCCESS;
}
