/* Sockets and raw HTTP messages of the tests. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "libfixture.h"

enum
{
  READ_BYTES = 4096,
  RECEIVE_TIMEOUT_S = 10
};

/* Returns a socket that listens on PORT of IP, or on a free port if that is 0,
   also while connections of an earlier one last.  Stores the port in PORT.  */
static int
listen_on (uint32_t ip, int *port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (ip);
  address.sin_port = htons ((uint16_t)*port);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 64) != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
    abort ();
  *port = ntohs (address.sin_port);
  return fd;
}

/* Returns a socket that listens on a free port of loopback, and stores the
   port in PORT.  */
int
fx_listen (int *port)
{
  return fx_listen_at (INADDR_LOOPBACK, port);
}

/* Does the same for the address IP.  */
int
fx_listen_at (uint32_t ip, int *port)
{
  *port = 0;
  return listen_on (ip, port);
}

/* Returns a socket that listens on PORT of loopback, where another one did
   until now.  */
int
fx_listen_again (int port)
{
  return listen_on (INADDR_LOOPBACK, &port);
}

/* Connects to PORT on loopback.  Returns the socket, on which reads time out
   after RECEIVE_TIMEOUT_S, or -1.  */
int
fx_connect_port (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { .tv_sec = RECEIVE_TIMEOUT_S };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reads one request and its body, if it has a Content-Length, from FD. Returns
   it newly allocated, or NULL at the end of the connection.  */
char *
fx_read_request (int fd)
{
  GString *text = g_string_new (NULL);
  char byte;

  while (strstr (text->str, "\r\n\r\n") == NULL)
    {
      if (recv (fd, &byte, 1, 0) != 1)
        {
          g_string_free (text, TRUE);
          return NULL;
        }
      g_string_append_c (text, byte);
    }
  for (long remaining = ({
         char *value = fx_header_value (text->str, "Content-Length");
         long length = value ? strtol (value, NULL, 10) : 0;
         g_free (value);
         length;
       });
       remaining > 0 && recv (fd, &byte, 1, 0) == 1; remaining--)
    g_string_append_c (text, byte);
  return g_string_free (text, FALSE);
}

/* Returns the value of the first header field NAME in the message TEXT, newly
   allocated, or NULL.  */
char *
fx_header_value (const char *text, const char *name)
{
  char *key = g_strdup_printf ("\n%s:", name);
  char *lower = g_ascii_strdown (text, -1);
  char *lower_key = g_ascii_strdown (key, -1);
  const char *at = strstr (lower, lower_key);
  char *value = NULL;

  if (at != NULL)
    {
      const char *from = text + (at - lower) + strlen (key);

      value = g_strndup (from, strcspn (from, "\r\n"));
      g_strstrip (value);
    }
  g_free (key);
  g_free (lower);
  g_free (lower_key);
  return value;
}

/* Responds on FD with STATUS, the header FIELD, which may be empty, and the
   JSON BODY.  Frees BODY.  */
void
fx_respond_json (int fd, const char *status, const char *field, char *body)
{
  char *text = g_strdup_printf ("HTTP/1.1 %s\r\nContent-Type: "
                                "application/json\r\nContent-Length: %zu\r\n"
                                "%s\r\n%s",
                                status, strlen (body), field, body);

  fx_write (fd, text);
  g_free (text);
  g_free (body);
}

/* Runs FN in a detached thread.  */
void
fx_start_thread (void *(*fn) (void *), void *closure)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, fn, closure) != 0)
    abort ();
  pthread_detach (thread);
}

void
fx_sleep_ms (int ms)
{
  struct timespec time = { ms / 1000, (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

/* Writes TEXT to FD.  A connection that the other side has closed is not an
   error.  */
void
fx_write (int fd, const char *text)
{
  size_t remaining = strlen (text);

  while (remaining > 0)
    {
      ssize_t sent = send (fd, text, remaining, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      remaining -= (size_t)sent;
    }
}

/* Makes the close of FD send a reset.  */
void
fx_reset_on_close (int fd)
{
  struct linger linger = { 1, 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Shrinks the receive buffer of FD, so that large responses stall.  */
void
fx_shrink_receive_buffer (int fd)
{
  int bytes = 2048;

  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
}

void
fx_send (int fd, const char *text)
{
  fx_write (fd, text);
}

/* Returns what is received from FD up to and with TEXT, or up to the end of
   the connection, newly allocated.  */
char *
fx_read_until (int fd, const char *text)
{
  GString *received = g_string_new (NULL);
  char byte;

  while (strstr (received->str, text) == NULL && recv (fd, &byte, 1, 0) == 1)
    g_string_append_c (received, byte);
  return g_string_free (received, FALSE);
}

/* Returns all that is received from FD until the end of the connection, newly
   allocated, and closes FD.  */
char *
fx_read_all (int fd)
{
  GString *received = g_string_new (NULL);
  char buffer[READ_BYTES];
  ssize_t length;

  while ((length = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (received, buffer, length);
  close (fd);
  return g_string_free (received, FALSE);
}
