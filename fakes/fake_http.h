/* Small HTTP server for the stand-ins: one thread a connection, so that
   handlers may block. */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

struct fake_call
{
  struct MHD_Connection *connection;
  const char *url;
  const char *method;
  GString *body;
  struct MHD_Response *response;
  unsigned status;
  int dropped;
};

typedef void (*fake_handler) (struct fake_call *call, void *closure);

struct fake_server
{
  struct MHD_Daemon *daemon;
  int port;
  fake_handler handler;
  void *closure;
};

void fake_listen (struct fake_server *server, int port, fake_handler handler,
                  void *closure);
void fake_close (struct fake_server *server);
void fake_answer (struct fake_call *call, unsigned status, const char *text);
void fake_answer_json (struct fake_call *call, unsigned status, json_t *json);
void fake_drop (struct fake_call *call);
const char *fake_header (struct fake_call *call, const char *name);
const char *fake_argument (struct fake_call *call, const char *name);
void fake_echo_id (struct fake_call *call);
void fake_sleep (int64_t ms);
int64_t fake_now (void);

#endif
