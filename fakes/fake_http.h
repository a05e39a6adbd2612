/* Small HTTP server for the stand-ins: one thread a connection, so that
   handlers may block. */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

struct fake_request
{
  struct MHD_Connection *connection;
  const char *url;
  const char *method;
  GString *body;
  struct MHD_Response *response;
  unsigned status;
  int dropped;
};

typedef void (*fake_handler) (struct fake_request *request, void *closure);

struct fake_server
{
  struct MHD_Daemon *daemon;
  int port;
  fake_handler handler;
  void *closure;
};

void fake_listen (struct fake_server *server, int port, fake_handler handler,
                  void *closure);
void fake_stop_listening (struct fake_server *server);
void fake_respond (struct fake_request *request, unsigned status,
                   const char *text);
void fake_respond_json (struct fake_request *request, unsigned status,
                        json_t *json);
void fake_drop_connection (struct fake_request *request);
const char *fake_header (struct fake_request *request, const char *name);
const char *fake_query_argument (struct fake_request *request,
                                 const char *name);
void fake_echo_request_id (struct fake_request *request);
void fake_sleep_ms (int64_t ms);
int64_t fake_now_ms (void);

#endif
