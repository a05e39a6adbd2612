/* Blocking HTTP/1.1 connections.  */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

enum
{
  READ_BYTES = 65536,
  BACKLOG = 512,
  DECIMAL_BASE = 10,
  HEXADECIMAL_BASE = 16
};

static void parse_address (const char *text, struct sockaddr_in *address);
static int fill (int fd, GString *input);
static char *take_line (int fd, GString *input);
static int read_counted (int fd, GString *input, size_t length,
                         struct message *message, net_piece_fn piece,
                         void *closure);
static int read_chunks (int fd, GString *input, struct message *message,
                        net_piece_fn piece, void *closure);
static void deliver (struct message *message, const char *data, size_t length,
                     net_piece_fn piece, void *closure);
static gpointer serve_thread (gpointer data);

static void (*serve_connection) (int fd);

/* Parses TEXT, of the form A.B.C.D:PORT.  Only loopback addresses are
   used.  */
static void
parse_address (const char *text, struct sockaddr_in *address)
{
  char **parts = g_strsplit (text, ":", 2);

  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (g_strv_length (parts) != 2 || !g_str_has_prefix (text, "127.")
      || inet_pton (AF_INET, parts[0], &address->sin_addr) != 1)
    util_die ("%s is not a loopback address", text);
  address->sin_port = htons ((uint16_t)strtoul (parts[1], NULL, DECIMAL_BASE));
  g_strfreev (parts);
}

/* Returns a socket that listens at ADDRESS.  */
int
net_listen (const char *address)
{
  struct sockaddr_in parsed;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  parse_address (address, &parsed);
  (void)setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *)&parsed, sizeof parsed) != 0
      || listen (fd, BACKLOG) != 0)
    util_die ("cannot listen at %s", address);
  return fd;
}

/* Returns a connection to ADDRESS, or -1.  */
int
net_connect (const char *address)
{
  struct sockaddr_in parsed;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  parse_address (address, &parsed);
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&parsed, sizeof parsed) != 0)
    {
      (void)close (fd);
      return -1;
    }
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/* Returns a connection accepted at LISTENER, or -1.  */
int
net_accept (int listener)
{
  int one = 1;
  int fd = accept (listener, NULL, NULL);

  if (fd >= 0)
    (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

/* Writes all of DATA.  Returns 0, or -1 if the connection has ended.  */
int
net_write (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, data, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return -1;
      data += sent;
      length -= (size_t)sent;
    }
  return 0;
}

/* Appends what arrives next to INPUT.  Returns 0, or -1 at its end.  */
static int
fill (int fd, GString *input)
{
  char buffer[READ_BYTES];
  ssize_t received = recv (fd, buffer, sizeof buffer, 0);

  if (received <= 0)
    return -1;
  g_string_append_len (input, buffer, received);
  return 0;
}

/* Returns the next line of INPUT without its end, or NULL if there is none. */
static char *
take_line (int fd, GString *input)
{
  const char *end;
  char *line;

  while ((end = strstr (input->str, "\r\n")) == NULL)
    if (fill (fd, input) != 0)
      return NULL;
  line = g_strndup (input->str, (gsize)(end - input->str));
  g_string_erase (input, 0, end - input->str + 2);
  return line;
}

/* Keeps a piece of the body of MESSAGE, and passes it on.  */
static void
deliver (struct message *message, const char *data, size_t length,
         net_piece_fn piece, void *closure)
{
  if (length == 0)
    return;
  g_string_append_len (message->body, data, (gssize)length);
  if (piece != NULL)
    piece (closure, data, length);
}

/* Reads LENGTH bytes of the body of MESSAGE.  Returns 0, or -1 if they do not
   all arrive.  */
static int
read_counted (int fd, GString *input, size_t length, struct message *message,
              net_piece_fn piece, void *closure)
{
  for (;;)
    {
      size_t part = MIN (length, input->len);

      deliver (message, input->str, part, piece, closure);
      g_string_erase (input, 0, (gssize)part);
      length -= part;
      if (length == 0)
        return 0;
      if (fill (fd, input) != 0)
        return -1;
    }
}

/* Reads the chunks of the body of MESSAGE.  Returns 0, or -1 if the last one
   does not arrive.  */
static int
read_chunks (int fd, GString *input, struct message *message,
             net_piece_fn piece, void *closure)
{
  for (;;)
    {
      char *line = take_line (fd, input);
      size_t length;

      if (line == NULL)
        return -1;
      length = strtoul (line, NULL, HEXADECIMAL_BASE);
      g_free (line);
      if (length > 0
          && read_counted (fd, input, length, message, piece, closure) != 0)
        return -1;
      line = take_line (fd, input);
      if (line == NULL)
        return -1;
      g_free (line);
      if (length == 0)
        return 0;
    }
}

/* Reads a message from FD, of which INPUT has arrived already.  Returns 0, or
   -1 if the connection ends before its head is whole.  */
int
net_read_message (int fd, GString *input, struct message *message,
                  net_piece_fn piece, void *closure)
{
  GString *head = g_string_new (NULL);
  char *line;
  char *length;
  char *coding;

  memset (message, 0, sizeof *message);
  message->body = g_string_new (NULL);
  message->start = take_line (fd, input);
  while ((line = message->start != NULL ? take_line (fd, input) : NULL) != NULL
         && *line != '\0')
    {
      g_string_append_printf (head, "%s\r\n", line);
      g_free (line);
    }
  message->head = g_string_free (head, FALSE);
  if (line == NULL)
    return -1;
  g_free (line);
  length = net_field (message, "Content-Length");
  coding = net_field (message, "Transfer-Encoding");
  if (coding != NULL)
    message->is_complete
        = read_chunks (fd, input, message, piece, closure) == 0;
  else if (length != NULL)
    message->is_complete
        = read_counted (fd, input, strtoul (length, NULL, DECIMAL_BASE),
                        message, piece, closure)
          == 0;
  else
    message->is_complete = 1;
  g_free (length);
  g_free (coding);
  return 0;
}

void
net_clear (struct message *message)
{
  g_free (message->start);
  g_free (message->head);
  if (message->body != NULL)
    g_string_free (message->body, TRUE);
  memset (message, 0, sizeof *message);
}

/* Returns the value of the field NAME, newly allocated, or NULL.  */
char *
net_field (const struct message *message, const char *name)
{
  char **lines = g_strsplit (message->head, "\r\n", -1);
  size_t length = strlen (name);
  char *value = NULL;

  for (char **line = lines; *line != NULL && value == NULL; line++)
    if (g_ascii_strncasecmp (*line, name, length) == 0
        && (*line)[length] == ':')
      value = g_strdup (g_strstrip (*line + length + 1));
  g_strfreev (lines);
  return value;
}

/* Returns the status of MESSAGE, a response, or 0.  */
uint32_t
net_status (const struct message *message)
{
  const char *space
      = message->start != NULL ? strchr (message->start, ' ') : NULL;

  return space != NULL ? (uint32_t)strtoul (space, NULL, DECIMAL_BASE) : 0;
}

static gpointer
serve_thread (gpointer data)
{
  int fd = GPOINTER_TO_INT (data);

  serve_connection (fd);
  (void)close (fd);
  return NULL;
}

/* Serves connections at ADDRESS, each in a thread of its own, for good.  */
void
net_serve (const char *address, void (*serve) (int fd))
{
  int listener = net_listen (address);

  serve_connection = serve;
  for (;;)
    {
      int fd = net_accept (listener);

      if (fd >= 0)
        g_thread_unref (
            g_thread_new ("connection", serve_thread, GINT_TO_POINTER (fd)));
    }
}
