/* Copy of the store's objects, which other instances can fetch. */
#ifndef IBISLOOM_SNAPSHOT_H
#define IBISLOOM_SNAPSHOT_H

#include <glib.h>

#include "ibisloom/config_text.h"
#include "ibisloom/watch.h"

struct snapshot;

/* What an instance knows of the store. */
struct snapshot_state
{
  uint64_t version;        /* of the configuration; 0: none, or not told */
  struct position config;  /* of the configuration object */
  struct position targets; /* covers all registry entries of targets */
  /* Version of the configuration that a difference may build on; 0: none.  Set
     in requests only.  */
  uint64_t base;
};

/* What to fetch from an instance. */
enum snapshot_want
{
  SNAPSHOT_NOTHING,
  SNAPSHOT_TARGETS, /* without the configuration */
  SNAPSHOT_ALL
};

enum
{
  /* Between two versions of the configuration that are fetched.  The fleet
     bears versions that come faster, as those between are passed over, and the
     last is in force well within config_apply_ms.  */
  SNAPSHOT_CONFIG_PACE_MS = 250,
  /* Uncompressed size, ahead of the compressed data.  */
  SNAPSHOT_SIZE_HEX_DIGITS = 8
};

enum snapshot_want snapshot_wanted (const struct snapshot_state *told,
                                    const struct snapshot_state *known,
                                    int64_t config_age_ms);
int snapshot_is_newer (const struct snapshot_state *told,
                       const struct snapshot_state *known);

struct snapshot *snapshot_new (void);
void snapshot_free (struct snapshot *snapshot);
void snapshot_put_config (struct snapshot *snapshot,
                          const struct watch_object *object,
                          struct cfg_text *config);
const struct cfg_text *snapshot_config (const struct snapshot *snapshot);
int snapshot_put_target (struct snapshot *snapshot,
                         const struct watch_object *object);
void snapshot_retain_target (struct snapshot *snapshot, const char *name,
                             struct position position);
void snapshot_list_begin (struct snapshot *snapshot);
void snapshot_list_end (struct snapshot *snapshot, struct position position);
char *snapshot_to_json (const struct snapshot *snapshot,
                        const struct snapshot_state *since,
                        const struct snapshot_state *known);
const char *snapshot_compress (struct snapshot *snapshot,
                               const struct snapshot_state *since,
                               const struct snapshot_state *known,
                               size_t *length);
char *snapshot_decompress (const char *data, size_t length,
                           size_t *text_length);
int snapshot_parse (const char *text, size_t length,
                    struct snapshot_state *known,
                    const struct snapshot_state *current,
                    const struct watch_sink *config,
                    const struct watch_sink *targets);

#endif
