/* Private to version/: building one snapshot from objects. */
#ifndef LIBVERSION_H
#define LIBVERSION_H

#include <jansson.h>

#include "ibisloom/version.h"

struct ver_snapshot *ver_snapshot_build (const char *deployment,
                                         GHashTable *objects, GError **error);
void ver_snapshot_free (struct ver_snapshot *version);

#endif
