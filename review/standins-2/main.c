/* Runs one of the stand-ins: standin PROGRAM NAME=VALUE...  */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

enum
{
  EXIT_USAGE = 2,
  DECIMAL_BASE = 10,
  READY_POLL_MS = 50,
  STATUS_OK = 200
};

/* Prints COUNT ports that are free, on one line.  */
int
tools_ports (int count)
{
  for (int i = 0; i < count; i++)
    {
      struct sockaddr_in address = { .sin_family = AF_INET };
      socklen_t size = sizeof address;
      int fd = socket (AF_INET, SOCK_STREAM, 0);

      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      /* The sockets stay open, so that no port is found twice.  */
      if (fd < 0 || bind (fd, (struct sockaddr *)&address, size) != 0
          || getsockname (fd, (struct sockaddr *)&address, &size) != 0)
        return EXIT_USAGE;
      printf ("%s%u", i > 0 ? " " : "", ntohs (address.sin_port));
    }
  printf ("\n");
  return EXIT_SUCCESS;
}

/* Waits until the instance whose readiness address is at=ADDRESS is ready, for
   within_ms=MS at most.  */
int
tools_ready (void)
{
  const char *request = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  int64_t end_ms = util_now_ms () + util_number ("within_ms", 10000);

  while (util_now_ms () < end_ms)
    {
      int fd = net_connect (util_option ("at", ""));
      GString *input = g_string_new (NULL);
      struct message response = { 0 };
      uint32_t status = 0;

      if (fd >= 0 && net_write (fd, request, strlen (request)) == 0
          && net_read_message (fd, input, &response, NULL, NULL) == 0)
        status = net_status (&response);
      if (fd >= 0)
        (void)close (fd);
      net_clear (&response);
      g_string_free (input, TRUE);
      if (status == STATUS_OK)
        return EXIT_SUCCESS;
      util_sleep_ms (READY_POLL_MS);
    }
  return EXIT_USAGE;
}

/* Sends a POST for url=URL to the store at=ADDRESS.  */
int
tools_post (void)
{
  int fd = net_connect (util_option ("at", ""));
  GString *input = g_string_new (NULL);
  struct message response = { 0 };
  uint32_t status = 0;
  char *request = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: store\r\nContent-Length: 0\r\n\r\n",
      util_option ("url", ""));

  if (fd >= 0 && net_write (fd, request, strlen (request)) == 0
      && net_read_message (fd, input, &response, NULL, NULL) == 0)
    status = net_status (&response);
  if (fd >= 0)
    (void)close (fd);
  g_free (request);
  net_clear (&response);
  g_string_free (input, TRUE);
  return status == STATUS_OK ? EXIT_SUCCESS : EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  const char *program = argc > 1 ? argv[1] : "";

  util_read_options (argc, argv);
  if (strcmp (program, "store") == 0)
    return store_run ();
  if (strcmp (program, "worker") == 0)
    return worker_run ();
  if (strcmp (program, "streams") == 0)
    return streams_run ();
  if (strcmp (program, "ready") == 0)
    return tools_ready ();
  if (strcmp (program, "post") == 0)
    return tools_post ();
  if (strcmp (program, "ports") == 0 && argc > 2)
    return tools_ports ((int)strtol (argv[2], NULL, DECIMAL_BASE));
  (void)fprintf (stderr, "standin: unknown program %s\n", program);
  return EXIT_USAGE;
}
