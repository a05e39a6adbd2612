/* Encoding of the datagrams between instances.

   A datagram is a msgpack array of the protocol version, kind, sender,
   incarnation, sequence and a body, which is an array of unsigned integers,
   followed by a message authentication code (MAC). */
#include <string.h>

#include <msgpack.h>
#include <sodium.h>

#include <sys/param.h>

#include "libwire.h"

enum
{
  HEADER_ITEMS = 5,
  DIGEST_BYTES = 16,
  /* First bytes of msgpack objects. */
  TYPE_FIXINT_MAX = 0x7f,
  TYPE_FIXARRAY = 0x90,
  TYPE_FIXARRAY_MAX = 0x9f,
  TYPE_UINT8 = 0xcc,
  TYPE_UINT64 = 0xcf,
  TYPE_ARRAY16 = 0xdc
};

const char *const wire_kind_names[WIRE_KIND_COUNT] = {
  [WIRE_HEARTBEAT] = "heartbeat",
  [WIRE_ADMISSION_REQUEST] = "admission_request",
  [WIRE_ADMISSION_ANSWER] = "admission_answer",
  [WIRE_RELEASE] = "release",
  [WIRE_HOLD] = "hold",
  [WIRE_NOTES] = "notes",
  [WIRE_LOADS] = "loads",
  [WIRE_CRASH] = "crash",
  [WIRE_QUARANTINE] = "quarantine",
  [WIRE_SUCCESS] = "success",
  [WIRE_RATES] = "rates",
  [WIRE_SENT] = "sent",
  [WIRE_STATE] = "state",
  [WIRE_ORIGINS] = "origins",
  [WIRE_ORIGIN_QUERY] = "origin_query",
  [WIRE_VERSIONS] = "versions",
  [WIRE_VERSION_QUERY] = "version_query",
  [WIRE_REACH_QUERY] = "reach_query",
  [WIRE_REACH] = "reach",
  [WIRE_BRITTLE] = "brittle",
  [WIRE_REJECTED] = "rejected",
  [WIRE_EVACUATIONS] = "evacuations",
  [WIRE_COLD] = "cold",
  [WIRE_PACES] = "paces",
  [WIRE_DEMAND] = "demand",
  [WIRE_LEVEL] = "level",
  [WIRE_HELD] = "held",
  [WIRE_HELD_QUERY] = "held_query",
  [WIRE_WORK] = "work",
  [WIRE_CAPABILITIES] = "capabilities",
  [WIRE_RELAY_LOADS] = "relay_loads",
  [WIRE_RELAYED_LOADS] = "relayed_loads",
  [WIRE_LEAVES] = "leaves",
  [WIRE_INCARNATION] = "incarnation",
  [WIRE_ROOM_QUERY] = "room_query",
  [WIRE_ROOMS] = "rooms",
  [WIRE_ROOM_LIMIT] = "room_limit",
};

static int has_allowed_types (const unsigned char *data, size_t length);
static enum wire_status decode_message (struct wire_message *message,
                                        const msgpack_object *object);

/* Derives the MAC key from the cluster's SECRET and the DEPLOYMENT name, so
   that datagrams of another deployment fail authentication.  */
void
wire_key_derive (struct wire_key *key, const char *secret,
                 const char *deployment)
{
  crypto_generichash (
      key->bytes, sizeof key->bytes, (const unsigned char *)deployment,
      strlen (deployment), (const unsigned char *)secret,
      MIN (strlen (secret), (size_t)crypto_generichash_KEYBYTES_MAX));
}

/* Encodes MESSAGE with its MAC to OUT, of WIRE_MAX_BYTES.  Returns the length,
   or 0 if the message does not fit.  */
size_t
wire_encode (const struct wire_message *message, const struct wire_key *key,
             unsigned char *out)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  size_t length;

  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, HEADER_ITEMS + 1);
  msgpack_pack_uint64 (&packer, WIRE_VERSION);
  msgpack_pack_uint64 (&packer, message->kind);
  msgpack_pack_uint64 (&packer, message->sender);
  msgpack_pack_uint64 (&packer, message->incarnation);
  msgpack_pack_uint64 (&packer, message->sequence);
  wire_body_encode (&packer, message);
  length = buffer.size;
  if (length + WIRE_MAC_BYTES > WIRE_MAX_BYTES)
    length = 0;
  else
    {
      memcpy (out, buffer.data, length);
      wire_mac (out + length, out, length, key);
      length += WIRE_MAC_BYTES;
    }
  msgpack_sbuffer_destroy (&buffer);
  return length;
}

/* Verifies DATA, of LENGTH bytes, and decodes it into MESSAGE.  */
enum wire_status
wire_decode (struct wire_message *message, const struct wire_key *key,
             const unsigned char *data, size_t length)
{
  unsigned char mac[WIRE_MAC_BYTES];
  msgpack_unpacked unpacked;
  enum wire_status status = WIRE_MALFORMED;
  size_t offset = 0;

  if (length <= WIRE_MAC_BYTES || length > WIRE_MAX_BYTES)
    return WIRE_MALFORMED;
  length -= WIRE_MAC_BYTES;
  wire_mac (mac, data, length, key);
  if (sodium_memcmp (mac, data + length, sizeof mac) != 0)
    return WIRE_BAD_MAC;
  if (!has_allowed_types (data, length))
    return WIRE_MALFORMED;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)data, length, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && offset == length)
    status = decode_message (message, &unpacked.data);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

/* Computes the MAC of DATA, of LENGTH bytes: keyed BLAKE2b, truncated to 64
   bits.  Without the key, a valid MAC cannot be guessed within the lifetime of
   a key.  */
void
wire_mac (unsigned char mac[WIRE_MAC_BYTES], const unsigned char *data,
          size_t length, const struct wire_key *key)
{
  unsigned char digest[DIGEST_BYTES];

  crypto_generichash (digest, sizeof digest, data, length, key->bytes,
                      sizeof key->bytes);
  memcpy (mac, digest, WIRE_MAC_BYTES);
}

/* Returns whether DATA consists of unsigned integers and of arrays with at
   most LENGTH items.  This prevents a short datagram from making msgpack
   allocate memory for a large array.  */
static int
has_allowed_types (const unsigned char *data, size_t length)
{
  for (size_t position = 0; position < length;)
    {
      unsigned char type = data[position];

      if (type == TYPE_ARRAY16)
        {
          if (position + 3 > length
              || (size_t)(data[position + 1] << 8 | data[position + 2])
                     > length)
            return 0;
          position += 3;
        }
      else if (type >= TYPE_UINT8 && type <= TYPE_UINT64)
        position += 1 + ((size_t)1 << (type - TYPE_UINT8));
      else if (type <= TYPE_FIXINT_MAX
               || (type >= TYPE_FIXARRAY && type <= TYPE_FIXARRAY_MAX))
        position++;
      else
        return 0;
    }
  return 1;
}

/* Decodes header and body of OBJECT into MESSAGE.  */
static enum wire_status
decode_message (struct wire_message *message, const msgpack_object *object)
{
  struct wire_reader reader = { 0 };
  uint64_t version;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return WIRE_MALFORMED;
  reader.position = object->via.array.ptr;
  reader.remaining = object->via.array.size;
  version = wire_next_uint (&reader, UINT64_MAX);
  if (!reader.failed && version != WIRE_VERSION)
    return WIRE_VERSION_MISMATCH;
  memset (message, 0, sizeof *message);
  message->kind
      = (enum wire_kind)wire_next_uint (&reader, WIRE_KIND_COUNT - 1);
  message->sender = (uint32_t)wire_next_uint (&reader, UINT32_MAX);
  message->incarnation = wire_next_uint (&reader, UINT64_MAX);
  message->sequence = wire_next_uint (&reader, UINT64_MAX);
  if (reader.failed)
    return WIRE_MALFORMED;
  wire_body_decode (&reader, message);
  return reader.failed || reader.remaining > 0 ? WIRE_MALFORMED : WIRE_OK;
}
