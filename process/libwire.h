/* Private to process/wire*.c. */
#ifndef LIBWIRE_H
#define LIBWIRE_H

#include <msgpack.h>

#include "ibisloom/wire.h"

/* Iterator over the items of a decoded array.  An unexpected type or a missing
   item sets FAILED; all later reads return 0. */
struct wire_reader
{
  const msgpack_object *position;
  uint32_t remaining;
  int failed;
};

/* wire_body.c */
uint64_t wire_next_uint (struct wire_reader *reader, uint64_t max);
void wire_body_encode (msgpack_packer *packer,
                       const struct wire_message *message);
void wire_body_decode (struct wire_reader *reader,
                       struct wire_message *message);

#endif
