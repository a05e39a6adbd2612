/* Bodies of the datagrams between instances: arrays of unsigned integers. */
#include "libwire.h"

static const struct wire_codec *find_codec (enum wire_kind kind);

/* Encodes the body of MESSAGE, according to its kind.  */
void
wire_body_encode (msgpack_packer *packer, const struct wire_message *message)
{
  find_codec (message->kind)->encode (packer, message);
}

/* Decodes the body of MESSAGE, whose kind is set.  */
void
wire_body_decode (struct wire_reader *reader, struct wire_message *message)
{
  find_codec (message->kind)->decode (reader, message);
}

/* Returns the functions for bodies of KIND.  */
static const struct wire_codec *
find_codec (enum wire_kind kind)
{
  if (wire_member_codecs[kind].encode != NULL)
    return &wire_member_codecs[kind];
  return wire_capacity_codecs[kind].encode != NULL
             ? &wire_capacity_codecs[kind]
             : &wire_fleet_codecs[kind];
}

/* Returns the next item, an unsigned integer of at most MAX.  */
uint64_t
wire_next_uint (struct wire_reader *reader, uint64_t max)
{
  const msgpack_object *object = reader->position;

  if (reader->failed || reader->remaining == 0
      || object->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || object->via.u64 > max)
    {
      reader->failed = 1;
      return 0;
    }
  reader->position++;
  reader->remaining--;
  return object->via.u64;
}

/* Returns an iterator over the next item, an array of at most MAX items.  */
struct wire_reader
wire_next_array (struct wire_reader *reader, uint32_t max)
{
  const msgpack_object *object = reader->position;
  struct wire_reader list = { 0 };

  if (reader->failed || reader->remaining == 0
      || object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size > max)
    {
      reader->failed = 1;
      return list;
    }
  list.position = object->via.array.ptr;
  list.remaining = object->via.array.size;
  reader->position++;
  reader->remaining--;
  return list;
}

/* Returns the position in the next two items of LIST.  */
struct position
wire_next_position (struct wire_reader *list)
{
  uint64_t epoch = wire_next_uint (list, UINT32_MAX);

  return (struct position){ epoch, wire_next_uint (list, UINT64_MAX) };
}
