/* Clients that read their responses slowly or not at all.  */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <linux/sockios.h>

#include "ibisloom/buffer.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "libclient.h"

enum
{
  CHECK_MS = 1000,         /* between two looks at a client with output */
  STEP_BYTES = 16384,      /* to be read before its target goes on */
  TIMEOUT_MARGIN_MS = 5000 /* the kernel is not to be first to give it up */
};

static uint64_t taken_bytes (const struct client *client);
static void give_up (struct client *client, clk_ms now);

/* Looks at CLIENT, for which output has been buffered, again and again until
   it has read it.  The kernel would close a connection whose receiver has no
   room for longer than TCP_USER_TIMEOUT, which is meant for hosts that do not
   respond.  */
void
client_watch_reading (struct client *client)
{
  int64_t stall_ms = client->listener->limits.stall_ms;
  int timeout_ms
      = MAX ((int)stall_ms + TIMEOUT_MARGIN_MS, CLIENT_USER_TIMEOUT_MS);

  if (stall_ms == 0 || client->state == CLIENT_READING
      || ev_is_active (&client->timer))
    return;
  if (!client->is_watched)
    (void)setsockopt (client->writable.fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      &timeout_ms, sizeof timeout_ms);
  client->is_watched = 1;
  client->taken_bytes = taken_bytes (client);
  client->taken_ms = clk_now (clk_monotonic ());
  client_set_timer (client, CHECK_MS);
}

/* Gives CLIENT up if it has read nothing for too long.  Otherwise has its
   target go on if it may get more by now, as others have read.  */
void
client_check_reading (struct client *client)
{
  int64_t stall_ms = client->listener->limits.stall_ms;
  uint64_t taken = taken_bytes (client);
  clk_ms now = clk_now (clk_monotonic ());

  if (taken > client->taken_bytes)
    client->taken_ms = now;
  else if (now - client->taken_ms >= stall_ms)
    {
      give_up (client, now);
      return;
    }
  client->taken_bytes = taken;
  client_set_timer (client, CHECK_MS);
  client_output_reserve (&client->output);
  if (client->request != NULL && client_may_get_more (client))
    client->listener->ops->drained (client->listener, client->request);
}

/* Returns whether no more output should be made for CLIENT until it has read
   some: it has as much as a client may have now.  */
int
client_must_catch_up (const struct client *client)
{
  return client->output.is_crowded
         || client->output.length > buf_output_max ();
}

/* Returns whether the target of CLIENT, which had to wait, may go on.  */
int
client_may_get_more (const struct client *client)
{
  size_t max = buf_output_max ();

  return !client->output.is_crowded
         && client->output.length <= max - MIN (STEP_BYTES, max / 2);
}

/* Returns how many bytes the host of CLIENT has acknowledged.  What it has
   read of them does not show, but it takes no more than it has room for.  */
static uint64_t
taken_bytes (const struct client *client)
{
  int queued = 0;

  if (ioctl (client->writable.fd, SIOCOUTQ, &queued) != 0)
    return client->sent_bytes;
  return client->sent_bytes - (uint64_t)queued;
}

/* Closes the connection of CLIENT, which reads nothing, with a reset: the
   kernel would keep what it has not sent.  */
static void
give_up (struct client *client, clk_ms now)
{
  const struct linger reset = { .l_onoff = 1 };
  struct sockaddr_in from = { .sin_family = AF_INET };
  socklen_t size = sizeof from;
  struct log_line line;

  metric_inc (METRIC_CLIENTS_GIVEN_UP);
  (void)getpeername (client->readable.fd, (struct sockaddr *)&from, &size);
  if (log_begin (&line, LOG_LEVEL_INFO, "client", NULL, "given_up"))
    {
      char address[INET_ADDRSTRLEN];

      log_text (&line, "address",
                inet_ntop (AF_INET, &from.sin_addr, address, sizeof address));
      log_number (&line, "port", ntohs (from.sin_port));
      log_number (&line, "unread_ms", now - client->taken_ms);
      log_number (&line, "stall_ms", client->listener->limits.stall_ms);
      log_number (&line, "taken_bytes", (int64_t)client->taken_bytes);
      log_number (&line, "buffered_bytes", (int64_t)client->output.length);
      log_number (&line, "pool_bytes", (int64_t)buf_pool_used ());
      log_number (&line, "response_complete", client->is_response_complete);
      log_end (&line);
    }
  (void)setsockopt (client->readable.fd, SOL_SOCKET, SO_LINGER, &reset,
                    sizeof reset);
  client_handle_disconnect (client);
}
