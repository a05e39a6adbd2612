/* Loopback proxies that delay, reset, cut and silence connections. */
#ifndef PROXY_FIXTURE_H
#define PROXY_FIXTURE_H

/* What a link does to the connections through it.  What was lost on one is
   never made up for: that direction stays silent until the connection ends. */
enum proxy_mode
{
  PROXY_PASS,
  PROXY_DELAY,          /* all bytes come late */
  PROXY_RESET,          /* open and new connections are reset */
  PROXY_DROP_TO_SERVER, /* nothing reaches the server */
  PROXY_DROP_TO_CLIENT, /* nothing comes back */
  PROXY_DROP_ALL,       /* neither, and ends are not told */
  PROXY_MODE_COUNT
};

struct proxy;

struct proxy *proxy_start (int server_port);
int proxy_port (const struct proxy *proxy);
void proxy_set_mode (struct proxy *proxy, enum proxy_mode mode, int delay_ms);

#endif
