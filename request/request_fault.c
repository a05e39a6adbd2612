/* What the end of an attempt says of its response.  */
#include "ibisloom/http.h"
#include "librequest.h"

enum
{
  HTTP_SERVER_ERROR = 500
};

static int is_connect_fault (const struct req_attempt *attempt, int code);
static int is_given_up (const struct req *req);
static enum retry_fault response_fault (const struct req *req);

/* Returns the fault that REQ's attempt, for which libcurl returned CODE, has
   ended with, or RETRY_FAULT_COUNT if its response is the result of REQ.  */
enum retry_fault
req_attempt_fault (const struct req *req, int code)
{
  const struct req_attempt *attempt = &req->attempt;

  if (req_may_be_earlier (attempt))
    return RETRY_FAULT_INVALID_RESPONSE;
  if (is_connect_fault (attempt, code))
    return RETRY_FAULT_CONNECT;
  if (attempt->not_run)
    return RETRY_FAULT_REJECTED;
  if (code != CURLE_OK)
    return req->events.has_gap ? RETRY_FAULT_INVALID_RESPONSE
                               : RETRY_FAULT_DISCONNECTED;
  /* libcurl takes a head that was cut for a whole one.  */
  if (!attempt->is_head_complete || is_given_up (req))
    return RETRY_FAULT_DISCONNECTED;
  return response_fault (req);
}

/* Returns whether the target of REQ has ended a success by closing the
   connection, before it got the whole request.  A chat has an event that ends
   it.  */
static int
is_given_up (const struct req *req)
{
  const struct req_attempt *attempt = &req->attempt;
  curl_off_t sent = 0;

  if (req->kind != VER_KIND_PLAIN || attempt->has_length
      || !http_is_success ((uint32_t)attempt->status))
    return 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  return (size_t)sent < req->body->len;
}

/* The same, for a complete response.  Only events go on with a stream that has
   begun.  */
static enum retry_fault
response_fault (const struct req *req)
{
  const struct req_attempt *attempt = &req->attempt;

  if (req->kind == VER_KIND_CHAT && attempt->status == MHD_HTTP_OK)
    return req->events.done ? RETRY_FAULT_COUNT : RETRY_FAULT_DISCONNECTED;
  if (attempt->status >= HTTP_SERVER_ERROR && req->repeatable)
    return RETRY_FAULT_ERROR_STATUS;
  if (req->kind == VER_KIND_CHAT
      && (req->events.offset > 0 || req->response != NULL))
    return RETRY_FAULT_INVALID_RESPONSE;
  return attempt->is_resume ? RETRY_FAULT_DISCONNECTED : RETRY_FAULT_COUNT;
}

/* Returns whether the response of ATTEMPT may be one to an earlier request of
   its connection: it has another id, or it says without one, on a reused
   connection, that the request was not run.  */
int
req_may_be_earlier (const struct req_attempt *attempt)
{
  long connects = 0;

  if (attempt->id_seen || !attempt->not_run)
    return attempt->id_seen && !attempt->id_matches;
  curl_easy_getinfo (attempt->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects == 0;
}

/* Returns whether libcurl's CODE means that no byte was sent.  */
static int
is_connect_fault (const struct req_attempt *attempt, int code)
{
  long sent = 0;

  if (code == CURLE_COULDNT_CONNECT)
    return 1;
  curl_easy_getinfo (attempt->easy, CURLINFO_REQUEST_SIZE, &sent);
  return code == CURLE_OPERATION_TIMEDOUT && sent == 0;
}
