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

/* Writes and reads the body of a kind of message. */
struct wire_codec
{
  void (*encode) (msgpack_packer *packer, const struct wire_message *message);
  void (*decode) (struct wire_reader *reader, struct wire_message *message);
};

extern const struct wire_codec wire_member_codecs[];
extern const struct wire_codec wire_capacity_codecs[];
extern const struct wire_codec wire_fleet_codecs[];

/* wire_body.c */
uint64_t wire_next_uint (struct wire_reader *reader, uint64_t max);
struct wire_reader wire_next_array (struct wire_reader *reader, uint32_t max);
struct position wire_next_position (struct wire_reader *list);
void wire_body_encode (msgpack_packer *packer,
                       const struct wire_message *message);
void wire_body_decode (struct wire_reader *reader,
                       struct wire_message *message);

#endif
