/* Client of the platform's object API: named, versioned objects that can be
   watched, and the list of instances. */
#ifndef IBISLOOM_PLATFORM_H
#define IBISLOOM_PLATFORM_H

#include <stdint.h>
#include <glib.h>
#include <netinet/in.h>

enum
{
  /* Expected revision for platform_put: the object must not exist. */
  PLATFORM_ABSENT = 0,
  PLATFORM_NAME_MAX_BYTES = 256
};

struct platform;

struct platform_ops
{
  char *(*get) (struct platform *platform, const char *name,
                uint64_t *revision, GError **error);
  int (*put) (struct platform *platform, const char *name, const char *text,
              uint64_t expected, uint64_t *revision, GError **error);
  int (*remove) (struct platform *platform, const char *name, GError **error);
  char *(*watch) (struct platform *platform, const char *prefix,
                  uint64_t since, int64_t wait_ms, GError **error);
  char *(*instances) (struct platform *platform, GError **error);
  void (*free) (struct platform *platform);
};

/* Client session; used by one thread only. */
struct platform
{
  const struct platform_ops *ops;
  /* Of the store, by its last response (see position.h); 0: not told.
     Responses of older epochs count as none.  */
  uint64_t epoch;
};

struct platform *platform_http_new (const struct sockaddr_in *address,
                                    int64_t timeout_ms, const int *abort_flag);
char *platform_get (struct platform *platform, const char *name,
                    uint64_t *revision, GError **error);
int platform_put (struct platform *platform, const char *name,
                  const char *text, uint64_t expected, uint64_t *revision,
                  GError **error);
int platform_put_confirmed (struct platform *platform, const char *name,
                            const char *text, uint64_t expected,
                            uint64_t *revision, GError **error);
int platform_remove (struct platform *platform, const char *name,
                     GError **error);
char *platform_watch (struct platform *platform, const char *prefix,
                      uint64_t since, int64_t wait_ms, GError **error);
char *platform_list_instances (struct platform *platform, GError **error);
void platform_free (struct platform *platform);

#endif
