/* The platform's object API. */
#ifndef IBISLOOM_PLATFORM_H
#define IBISLOOM_PLATFORM_H

#include <stdint.h>
#include <glib.h>
#include <netinet/in.h>

enum
{
  /* Expected revision for plat_put: the object must not exist yet. */
  PLAT_ABSENT = 0,
  PLAT_NAME_MAX_BYTES = 256
};

struct plat;

struct plat_ops
{
  char *(*get) (struct plat *plat, const char *name, uint64_t *revision,
                GError **error);
  int (*put) (struct plat *plat, const char *name, const char *text,
              uint64_t expected, uint64_t *revision, GError **error);
  int (*remove) (struct plat *plat, const char *name, GError **error);
  char *(*watch) (struct plat *plat, const char *prefix, uint64_t since,
                  int64_t wait_ms, GError **error);
  char *(*instances) (struct plat *plat, GError **error);
  void (*free) (struct plat *plat);
};

/* One session; sessions are not shared between threads. */
struct plat
{
  const struct plat_ops *ops;
};

struct plat *plat_http_new (const struct sockaddr_in *address,
                            int64_t timeout_ms, const int *abort);
char *plat_get (struct plat *plat, const char *name, uint64_t *revision,
                GError **error);
int plat_put (struct plat *plat, const char *name, const char *text,
              uint64_t expected, uint64_t *revision, GError **error);
int plat_put_sure (struct plat *plat, const char *name, const char *text,
                   uint64_t expected, uint64_t *revision, GError **error);
int plat_remove (struct plat *plat, const char *name, GError **error);
char *plat_watch (struct plat *plat, const char *prefix, uint64_t since,
                  int64_t wait_ms, GError **error);
char *plat_instances (struct plat *plat, GError **error);
void plat_free (struct plat *plat);

#endif
