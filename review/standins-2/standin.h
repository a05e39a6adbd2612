/* Stand-ins for the platform's store, its targets and its clients, as far as
   the cases of the second review need them.  */
#ifndef STANDIN_H
#define STANDIN_H

#include <stdint.h>
#include <glib.h>

/* One HTTP message: a request or a response.  */
struct message
{
  char *start; /* the first line */
  char *head;  /* the header lines, each ending in CR LF */
  GString *body;
  int is_complete; /* the body is whole */
};

/* Called with each piece of a body as it arrives.  */
typedef void (*net_piece_fn) (void *closure, const char *data, size_t length);

/* net.c */
int net_listen (const char *address);
int net_connect (const char *address);
int net_accept (int listener);
int net_write (int fd, const char *data, size_t length);
int net_read_message (int fd, GString *input, struct message *message,
                      net_piece_fn piece, void *closure);
void net_clear (struct message *message);
char *net_field (const struct message *message, const char *name);
uint32_t net_status (const struct message *message);
void net_serve (const char *address, void (*serve) (int fd));

/* util.c */
int64_t util_now_ms (void);
int64_t util_wall_ms (void);
void util_sleep_ms (int64_t ms);
void util_open_record (const char *path);
void util_record (const char *format, ...) G_GNUC_PRINTF (1, 2);
const char *util_option (const char *name, const char *otherwise);
int64_t util_number (const char *name, int64_t otherwise);
void util_read_options (int argc, char **argv);
void util_die (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Programs.  Each returns an exit status.  */
int store_run (void);
int worker_run (void);
int streams_run (void);
int tools_ports (int count);
int tools_ready (void);
int tools_post (void);

#endif
