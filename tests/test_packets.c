/* End-to-end tests of how many packets a response takes: on a link that loses
   packets, each further one may delay the rest of the response.  */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "shop.h"
#include "test.h"

enum
{
  READ_BYTES = 4096,
  EVENTS = 5,
  EVENT_INTERVAL_MS = 50 /* keeps events apart on their way */
};

static void events_are_sent_whole (void);
static void responses_are_sent_whole (void);

static const struct test_case cases[]
    = { { "an event and its framing are one packet", events_are_sent_whole },
        { "a head and a short body are one packet",
          responses_are_sent_whole } };

TEST_MAIN ("packets", cases)

/* Sends events one by one.  */
static int
stream_events_apart (const struct fx_request *request)
{
  shop_start_stream (request);
  for (int i = 1; i <= EVENTS; i++)
    {
      shop_write_events (request, i, i);
      fx_sleep_ms (EVENT_INTERVAL_MS);
    }
  fx_write (request->fd, "0\r\n\r\n");
  return 1;
}

/* Returns in how many segments the response to REQUEST arrives.  */
static uint32_t
count_segments (const char *request)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  int fd = fx_connect ();
  char data[READ_BYTES];
  ssize_t received;

  fx_send (fd, request);
  while ((received = recv (fd, data, sizeof data, 0)) > 0)
    ;
  CU_ASSERT_EQUAL (received, 0);
  CU_ASSERT_EQUAL (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size), 0);
  close (fd);
  return info.tcpi_data_segs_in;
}

/* Guards against the size, the data and the end of a chunk, or a head and the
   first event, in packets of their own.  The end of a stream is one more.  */
static void
events_are_sent_whole (void)
{
  fx_target_add ("i-1", "pool", stream_events_apart);
  fx_env_start (shop_config);
  CU_ASSERT (count_segments (POST_PLAN ("s")) <= EVENTS + 1);
  fx_env_stop ();
}

/* Guards against a head that is sent before the body that follows it.  */
static void
responses_are_sent_whole (void)
{
  fx_target_add ("i-1", "desk", shop_respond_ok);
  fx_env_start (shop_config);
  CU_ASSERT_EQUAL (count_segments (POST_FEE ("f")), 1);
  fx_env_stop ();
}
