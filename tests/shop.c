/* The deployment that the end-to-end tests use. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <CUnit/Basic.h>

#include "shop.h"

const char shop_config[]
    = "{\"version\":3,\"routes\":["
      "{\"name\":\"map\",\"host\":\"shop.example\",\"path_prefix\":\"/map/\","
      "\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":2},"
      "{\"name\":\"fee\",\"host\":\"shop.example\",\"path_prefix\":\"/fee/\","
      "\"route_type\":\"non_idempotent\",\"timeout_ms\":3000,"
      "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1},"
      "{\"name\":\"plan\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/plan/\",\"route_type\":\"streaming\",\"timeout_ms\":4000,"
      "\"target_latency_ms\":800,\"target_gap_ms\":400,\"service\":\"pool\","
      "\"max_attempts\":2,\"session_affinity\":true,\"stream_resume\":true},"
      "{\"name\":\"rules\",\"host\":\"shop.example\",\"path_prefix\":"
      "\"/rules/\",\"route_type\":\"streaming\",\"timeout_ms\":4000,"
      "\"target_latency_ms\":400,\"target_gap_ms\":400,\"service\":\"pool\","
      "\"max_attempts\":1,\"session_affinity\":true}],"
      "\"services\":[{\"name\":\"desk\"},{\"name\":\"pool\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":1000,"
      "\"header_timeout_ms\":2000,\"idle_timeout_ms\":5000},"
      "\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]}";

/* Makes VERSION the configuration in the store; it is otherwise shop_config.
 */
void
shop_put_version (int version)
{
  char *text = g_strdup_printf ("{\"version\":%d%s", version,
                                strchr (shop_config, ','));

  fx_store_put ("config", "main", text);
  g_free (text);
}

/* Responds to REQUEST with STATUS, BODY, its attempt id and a signature, by
   which the router verifies the response.  */
void
shop_respond (const struct fx_request *request, const char *status,
              const char *body)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\nContent-Length: %zu\r\n\r\n%s",
      status, id, id, strlen (body), body);

  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Writes the head of an event stream.  */
void
shop_start_stream (const struct fx_request *request)
{
  char *id = fx_header_value (request->text, "X-Ibisloom-Attempt-Id");
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nX-Ibisloom-Attempt-Id: %s\r\n"
      "X-Ibisloom-Response-Signature: s-%s\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      id, id);

  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, text);
  g_free (text);
  g_free (id);
}

/* Writes TEXT as one chunk.  */
void
shop_write_chunk (const struct fx_request *request, const char *text)
{
  char *chunked = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  fx_target_wait_until_heard (request->target);
  fx_write (request->fd, chunked);
  g_free (chunked);
}

/* Writes the events numbered FROM to TO of a stream.  */
void
shop_write_events (const struct fx_request *request, int from, int to)
{
  for (int i = from; i <= to; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);

      shop_write_chunk (request, event);
      g_free (event);
    }
}

int
shop_respond_ok (const struct fx_request *request)
{
  shop_respond (request, "200 OK", "well");
  return 1;
}

int
shop_stream_events (const struct fx_request *request)
{
  char *after = fx_header_value (request->text, "Last-Event-Id");

  shop_start_stream (request);
  shop_write_events (request, after ? atoi (after) + 1 : 1, 5);
  fx_write (request->fd, "0\r\n\r\n");
  g_free (after);
  return 1;
}

/* Checks that the response to REQUEST has STATUS and contains TEXT.  */
void
shop_expect (const char *request, const char *status, const char *text)
{
  char *start = g_strdup_printf ("HTTP/1.1 %s", status);
  char *response = fx_exchange (request);

  if (!g_str_has_prefix (response, start) || strstr (response, text) == NULL)
    {
      printf ("expected %s with '%s', got: %.300s\n", start, text, response);
      CU_FAIL ("unexpected response");
    }
  g_free (response);
  g_free (start);
}
