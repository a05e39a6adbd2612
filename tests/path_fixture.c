/* Paths of single routers to the targets.

   Such a router reaches the store at a loopback address of its own, and reads
   there of targets at that address, where a proxy stands for each.  Routers
   that fetch entries from each other would mix up their paths; so targets are
   added when all of them watch the store.  */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>

#include "libfixture.h"
#include "proxy_fixture.h"

enum
{
  ROUTERS_WITH_PATHS_MAX = 8,
  FIRST_HOST = 2 /* last byte of the address of router 0 */
};

static const char TARGET_HOST[] = "127.0.0.1:";

/* Returns the address at which ROUTER reaches the store, with port 0.  */
struct sockaddr_in
fx_path_address (int router)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  uint32_t ip = INADDR_LOOPBACK;

  if (fx_env.routers[router].paths != NULL)
    ip += FIRST_HOST - 1 + (uint32_t)router;
  address.sin_addr.s_addr = htonl (ip);
  return address;
}

/* Returns the host of that address, newly allocated.  */
char *
fx_path_host (int router)
{
  return g_strdup (inet_ntoa (fx_path_address (router).sin_addr));
}

/* Adds a path to TARGET for ROUTER.  */
static void
add_path (int router, const struct fx_target *target)
{
  struct sockaddr_in address = fx_path_address (router);
  struct sockaddr_in server = { .sin_family = AF_INET };

  address.sin_port = server.sin_port = htons ((uint16_t)target->port);
  server.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_ptr_array_add (fx_env.routers[router].paths,
                   proxy_start_at (&address, &server));
}

/* Gives ROUTER paths of its own to all targets, present and later ones.  */
void
fx_router_add_paths (int router)
{
  g_assert (router < ROUTERS_WITH_PATHS_MAX);
  fx_env.routers[router].paths = g_ptr_array_new ();
  for (guint i = 0; i < fx_env.targets->len; i++)
    add_path (router, g_ptr_array_index (fx_env.targets, i));
}

/* Adds a path to TARGET, which is new, for each router that has paths.  */
void
fx_paths_add_target (const struct fx_target *target)
{
  for (int i = 0; i < ROUTERS_WITH_PATHS_MAX; i++)
    if (fx_env.routers[i].paths != NULL)
      add_path (i, target);
}

/* Sets the MODE of all paths of ROUTER.  */
void
fx_router_set_paths (int router, int mode)
{
  GPtrArray *paths = fx_env.routers[router].paths;

  for (guint i = 0; i < paths->len; i++)
    proxy_set_mode (g_ptr_array_index (paths, i), (enum proxy_mode)mode, 0);
}

/* Puts the address at which the connection FD reached the store in place of
   those of targets in BODY, if that is about objects of the KIND of targets.
   All have the same length.  */
void
fx_path_translate (int fd, const char *kind, char *body)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  char last;

  if (strcmp (kind, "servers") != 0
      || getsockname (fd, (struct sockaddr *)&address, &size) != 0
      || address.sin_addr.s_addr == htonl (INADDR_LOOPBACK))
    return;
  last = (char)('0' + (ntohl (address.sin_addr.s_addr) & 0xff));
  for (char *at = body; (at = strstr (at, TARGET_HOST)) != NULL;
       at += sizeof TARGET_HOST - 1)
    at[sizeof TARGET_HOST - 3] = last;
}
