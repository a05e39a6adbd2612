/* The deployment that the end-to-end tests use: its configuration, requests to
   its routes, and scripted targets. */
#ifndef SHOP_H
#define SHOP_H

#include "router_fixture.h"

#define REQUEST_HEAD(method, path, id)                                        \
  method " " path " HTTP/1.1\r\nHost: shop.example\r\n"                       \
         "X-Ibisloom-Attempt-Id: " id "\r\n"                                  \
         "X-Ibisloom-Deadline-Remaining: 4000\r\n"                            \
         "Authorization: Token key-1\r\nConnection: close\r\n"

/* Requests to the routes of the configuration.  */
#define GET_MAP(id) REQUEST_HEAD ("GET", "/map/1", id) "\r\n"
#define POST_FEE(id)                                                          \
  REQUEST_HEAD ("POST", "/fee/1", id) "Content-Length: 3\r\n\r\nfee"
#define POST_PLAN(id)                                                         \
  REQUEST_HEAD ("POST", "/plan/1", id) "Content-Length: 4\r\n\r\nplan"
#define POST_RULES(id)                                                        \
  REQUEST_HEAD ("POST", "/rules/1", id) "Content-Length: 1\r\n\r\nr"

extern const char shop_config[];

void shop_put_version (int version);
void shop_respond (const struct fx_request *request, const char *status,
                   const char *body);
void shop_start_stream (const struct fx_request *request);
void shop_write_chunk (const struct fx_request *request, const char *text);
void shop_write_events (const struct fx_request *request, int from, int to);
int shop_respond_ok (const struct fx_request *request);
int shop_stream_events (const struct fx_request *request);
void shop_expect (const char *request, const char *status, const char *text);

#endif
