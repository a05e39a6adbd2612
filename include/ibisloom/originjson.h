/* Origins of streams and software versions as an object in the store. */
#ifndef IBISLOOM_ORIGINJSON_H
#define IBISLOOM_ORIGINJSON_H

#include <glib.h>
#include <jansson.h>

#include "ibisloom/origin.h"

enum
{
  /* Streams in one object, the newest of an instance.  */
  ORIGIN_JSON_STREAMS_MAX = 8192
};

json_t *origin_json_pack (const struct origins *origins);
void origin_json_set_epoch (json_t *content, uint64_t epoch);
uint64_t origin_json_epoch (const json_t *content);
void origin_json_set_priors (json_t *content, GArray *priors);
int origin_json_next_version (const json_t *content,
                              struct origin_cursor *cursor,
                              struct origin_version *version);
int origin_json_next_prior (const json_t *content,
                            struct origin_cursor *cursor,
                            struct origin_version *version);
uint32_t origin_json_add_streams (const json_t *content,
                                  struct origins *origins,
                                  enum origin_source source, clk_ms now);

#endif
