/* What the store said last, kept as text to be told to other instances. */
#ifndef IBISLOOM_SNAPSHOT_H
#define IBISLOOM_SNAPSHOT_H

#include <glib.h>

#include "ibisloom/watch.h"

struct snapshot;

/* Up to where something is known: revisions of the store. */
struct snapshot_revisions
{
  uint64_t config;  /* of the configuration's object */
  uint64_t targets; /* up to which all entries are known */
};

struct snapshot *snapshot_new (void);
void snapshot_free (struct snapshot *snapshot);
void snapshot_put_config (struct snapshot *snapshot,
                          const struct watch_object *object);
int snapshot_put_target (struct snapshot *snapshot,
                         const struct watch_object *object);
void snapshot_list_begin (struct snapshot *snapshot);
void snapshot_list_end (struct snapshot *snapshot, uint64_t revision);
char *snapshot_to_json (const struct snapshot *snapshot,
                        const struct snapshot_revisions *since,
                        const struct snapshot_revisions *known);
const char *snapshot_compress (struct snapshot *snapshot,
                               const struct snapshot_revisions *since,
                               const struct snapshot_revisions *known,
                               size_t *length);
char *snapshot_decompress (const char *data, size_t length,
                           size_t *text_length);
int snapshot_parse (const char *text, size_t length,
                    struct snapshot_revisions *known,
                    const struct watch_sink *config,
                    const struct watch_sink *targets);

#endif
