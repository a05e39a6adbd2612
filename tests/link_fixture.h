/* Loopback proxies that delay, reset, cut and silence connections. */
#ifndef LINK_FIXTURE_H
#define LINK_FIXTURE_H

/* What a link does to the connections through it.  What was lost on one is
   never made up for: that direction stays silent until the connection ends. */
enum lnk_mode
{
  LNK_WELL,
  LNK_SLOW,     /* all bytes come late */
  LNK_RESET,    /* open and new connections are reset */
  LNK_CUT_TO,   /* nothing reaches the server */
  LNK_CUT_FROM, /* nothing comes back */
  LNK_SILENT,   /* neither, and ends are not told */
  LNK_MODE_COUNT
};

struct lnk;

struct lnk *lnk_start (int server_port);
int lnk_port (const struct lnk *link);
void lnk_set (struct lnk *link, enum lnk_mode mode, int delay_ms);

#endif
