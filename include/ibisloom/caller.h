/* Connections of callers: requests read whole, answers written in pieces. */
#ifndef IBISLOOM_CALLER_H
#define IBISLOOM_CALLER_H

#include <netinet/in.h>
#include <ev.h>

#include "ibisloom/http.h"

/* Limits in force for the next request; times in milliseconds. */
struct caller_limits
{
  uint32_t head_max_bytes;
  uint32_t body_max_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
};

struct caller;
struct caller_site;

struct caller_site_ops
{
  /* A whole request.  HEAD and BODY belong to the callee, which answers now
     or later.  Returns what caller_closure gives back.  */
  void *(*request) (struct caller_site *site, struct caller *caller,
                    struct http_head *head, GString *body);
  /* The caller of a request that is not answered yet is gone.  */
  void (*gone) (struct caller_site *site, void *request);
  /* The caller has taken what was written.  */
  void (*drained) (struct caller_site *site, void *request);
};

/* One listener and its connections. */
struct caller_site
{
  const struct caller_site_ops *ops;
  struct ev_loop *loop;
  struct caller_limits limits;
  ev_io listener;
  ev_timer accept_pause;
  GQueue callers;
  uint32_t busy; /* connections with a request in progress */
  int closing;   /* each connection ends after its answer */
};

int caller_site_open (struct caller_site *site, struct ev_loop *loop,
                      const struct caller_site_ops *ops,
                      const struct sockaddr_in *address, GError **error);
void caller_site_shut (struct caller_site *site);
int caller_site_is_writing (const struct caller_site *site);
void caller_site_close (struct caller_site *site);

/* An answer: head, then pieces, then end or broken end.  LENGTH is -1 where
   it is not known.  FIELDS holds whole lines, each with CR LF. */
void caller_head (struct caller *caller, uint32_t status, const char *fields,
                  int64_t length);
void caller_piece (struct caller *caller, const char *data, size_t length);
void caller_end (struct caller *caller);
void caller_break (struct caller *caller);
void caller_answer (struct caller *caller, uint32_t status, const char *fields,
                    const char *body, size_t length);
size_t caller_backlog (const struct caller *caller);

#endif
