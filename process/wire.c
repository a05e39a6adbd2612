/* Datagrams between instances: msgpack, versioned and authenticated. */
#include <string.h>

#include <msgpack.h>
#include <sodium.h>

#include <sys/param.h>

#include "ibisloom/wire.h"

enum
{
  HEADER_ITEMS = 5,
  DIGEST_BYTES = 16,
  TYPE_FIXINT_MAX = 0x7f,
  TYPE_FIXARRAY = 0x90,
  TYPE_FIXARRAY_MAX = 0x9f,
  TYPE_UINT8 = 0xcc,
  TYPE_UINT64 = 0xcf,
  TYPE_ARRAY16 = 0xdc
};

/* Walks the items of a decoded array; a wrong type or a missing item sets
   FAILED, and later reads return 0. */
struct reader
{
  const msgpack_object *position;
  uint32_t remaining;
  int failed;
};

typedef void (*body_encoder) (msgpack_packer *packer,
                              const struct wire_message *message);
typedef void (*body_decoder) (struct reader *reader,
                              struct wire_message *message);

static void encode_heartbeat (msgpack_packer *packer,
                              const struct wire_message *message);
static void encode_grant_request (msgpack_packer *packer,
                                  const struct wire_message *message);
static void encode_grant_answer (msgpack_packer *packer,
                                 const struct wire_message *message);
static void encode_release (msgpack_packer *packer,
                            const struct wire_message *message);
static void encode_hold (msgpack_packer *packer,
                         const struct wire_message *message);
static void encode_notes (msgpack_packer *packer,
                          const struct wire_message *message);
static void decode_heartbeat (struct reader *reader,
                              struct wire_message *message);
static void decode_grant_request (struct reader *reader,
                                  struct wire_message *message);
static void decode_grant_answer (struct reader *reader,
                                 struct wire_message *message);
static void decode_release (struct reader *reader,
                            struct wire_message *message);
static void decode_hold (struct reader *reader, struct wire_message *message);
static void decode_notes (struct reader *reader, struct wire_message *message);
static uint64_t next_uint (struct reader *reader, uint64_t max);
static struct reader next_array (struct reader *reader, uint32_t max);
static int has_allowed_types (const unsigned char *data, size_t length);
static enum wire_status decode_message (struct wire_message *message,
                                        const msgpack_object *object);

static const struct
{
  body_encoder encode;
  body_decoder decode;
} codecs[WIRE_KIND_COUNT] = {
  [WIRE_HEARTBEAT] = { encode_heartbeat, decode_heartbeat },
  [WIRE_GRANT_REQUEST] = { encode_grant_request, decode_grant_request },
  [WIRE_GRANT_ANSWER] = { encode_grant_answer, decode_grant_answer },
  [WIRE_RELEASE] = { encode_release, decode_release },
  [WIRE_HOLD] = { encode_hold, decode_hold },
  [WIRE_NOTES] = { encode_notes, decode_notes },
};

/* Derives the MAC key from the cluster's SECRET and the DEPLOYMENT, so that
   datagrams of another deployment are not genuine here.  */
void
wire_key_derive (struct wire_key *key, const char *secret,
                 const char *deployment)
{
  crypto_generichash (
      key->bytes, sizeof key->bytes, (const unsigned char *)deployment,
      strlen (deployment), (const unsigned char *)secret,
      MIN (strlen (secret), (size_t)crypto_generichash_KEYBYTES_MAX));
}

/* Writes MESSAGE and its MAC to OUT, which has WIRE_MAX_BYTES.  Returns the
   length, or 0 if it does not fit.  */
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
  codecs[message->kind].encode (&packer, message);
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

/* Checks and reads LENGTH bytes of DATA into MESSAGE.  */
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

/* Computes the MAC that ends a datagram of LENGTH bytes of DATA: keyed
   BLAKE2b, cut to 64 bits, which a sender without the key cannot guess within
   a key's life.  */
void
wire_mac (unsigned char mac[WIRE_MAC_BYTES], const unsigned char *data,
          size_t length, const struct wire_key *key)
{
  unsigned char digest[DIGEST_BYTES];

  crypto_generichash (digest, sizeof digest, data, length, key->bytes,
                      sizeof key->bytes);
  memcpy (mac, digest, WIRE_MAC_BYTES);
}

/* Returns whether DATA holds nothing but unsigned integers and arrays whose
   items fit into its LENGTH, so that the library cannot be made to allocate
   for items that are not there.  */
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

/* Reads the header and the body of a decoded array.  */
static enum wire_status
decode_message (struct wire_message *message, const msgpack_object *object)
{
  struct reader reader = { 0 };
  uint64_t version;

  if (object->type != MSGPACK_OBJECT_ARRAY)
    return WIRE_MALFORMED;
  reader.position = object->via.array.ptr;
  reader.remaining = object->via.array.size;
  version = next_uint (&reader, UINT64_MAX);
  if (!reader.failed && version != WIRE_VERSION)
    return WIRE_VERSION_MISMATCH;
  memset (message, 0, sizeof *message);
  message->kind = (enum wire_kind)next_uint (&reader, WIRE_KIND_COUNT - 1);
  message->sender = (uint32_t)next_uint (&reader, UINT32_MAX);
  message->incarnation = next_uint (&reader, UINT64_MAX);
  message->sequence = next_uint (&reader, UINT64_MAX);
  if (reader.failed)
    return WIRE_MALFORMED;
  codecs[message->kind].decode (&reader, message);
  return reader.failed || reader.remaining > 0 ? WIRE_MALFORMED : WIRE_OK;
}

/* Returns the next unsigned integer, which may be at most MAX.  */
static uint64_t
next_uint (struct reader *reader, uint64_t max)
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

/* Returns a reader of the next list, which may have at most MAX items.  */
static struct reader
next_array (struct reader *reader, uint32_t max)
{
  const msgpack_object *object = reader->position;
  struct reader list = { 0 };

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

/* Packs a heartbeat as one list.  */
static void
encode_heartbeat (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_heartbeat *heartbeat = &message->u.heartbeat;

  msgpack_pack_array (packer, 8 + heartbeat->load_count * 2
                                  + heartbeat->leaving_count
                                  + heartbeat->digest_count * 6);
  msgpack_pack_uint64 (packer, heartbeat->revision);
  msgpack_pack_uint64 (packer, heartbeat->config_revision);
  msgpack_pack_uint64 (packer, heartbeat->store);
  msgpack_pack_uint64 (packer, heartbeat->domain);
  msgpack_pack_uint64 (packer, heartbeat->state);
  msgpack_pack_uint64 (packer, heartbeat->wants_reply);
  msgpack_pack_uint64 (packer, heartbeat->load_count);
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    {
      msgpack_pack_uint64 (packer, heartbeat->loads[i].target);
      msgpack_pack_uint64 (packer, heartbeat->loads[i].load);
    }
  msgpack_pack_uint64 (packer, heartbeat->leaving_count);
  for (uint32_t i = 0; i < heartbeat->leaving_count; i++)
    msgpack_pack_uint64 (packer, heartbeat->leaving[i]);
  for (uint32_t i = 0; i < heartbeat->digest_count; i++)
    {
      const struct wire_digest *digest = &heartbeat->digests[i];

      msgpack_pack_uint64 (packer, digest->instance);
      msgpack_pack_uint64 (packer, digest->ip);
      msgpack_pack_uint64 (packer, digest->port);
      msgpack_pack_uint64 (packer, digest->domain);
      msgpack_pack_uint64 (packer, digest->incarnation);
      msgpack_pack_uint64 (packer, digest->age_ms);
    }
}

/* Reads what encode_heartbeat wrote.  */
static void
decode_heartbeat (struct reader *reader, struct wire_message *message)
{
  struct wire_heartbeat *heartbeat = &message->u.heartbeat;
  struct reader list
      = next_array (reader, 8 + WIRE_LOADS_MAX * 2 + WIRE_LEAVING_MAX
                                + WIRE_DIGESTS_MAX * 6);

  heartbeat->revision = next_uint (&list, UINT64_MAX);
  heartbeat->config_revision = next_uint (&list, UINT64_MAX);
  heartbeat->store = (uint8_t)next_uint (&list, WIRE_STORE_COUNT - 1);
  heartbeat->domain = (uint32_t)next_uint (&list, UINT32_MAX);
  heartbeat->state = (uint8_t)next_uint (&list, UINT8_MAX);
  heartbeat->wants_reply = (uint8_t)next_uint (&list, 1);
  heartbeat->load_count = (uint32_t)next_uint (&list, WIRE_LOADS_MAX);
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    {
      heartbeat->loads[i].target = next_uint (&list, UINT64_MAX);
      heartbeat->loads[i].load = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  heartbeat->leaving_count = (uint32_t)next_uint (&list, WIRE_LEAVING_MAX);
  for (uint32_t i = 0; i < heartbeat->leaving_count; i++)
    heartbeat->leaving[i] = next_uint (&list, UINT64_MAX);
  while (!list.failed && list.remaining > 0
         && heartbeat->digest_count < WIRE_DIGESTS_MAX)
    {
      struct wire_digest *digest
          = &heartbeat->digests[heartbeat->digest_count++];

      digest->instance = (uint32_t)next_uint (&list, UINT32_MAX);
      digest->ip = (uint32_t)next_uint (&list, UINT32_MAX);
      digest->port = (uint16_t)next_uint (&list, UINT16_MAX);
      digest->domain = (uint32_t)next_uint (&list, UINT32_MAX);
      digest->incarnation = next_uint (&list, UINT64_MAX);
      digest->age_ms = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed || list.remaining > 0;
}

/* Packs an ask for admission.  */
static void
encode_grant_request (msgpack_packer *packer,
                      const struct wire_message *message)
{
  const struct wire_grant_request *grant_request = &message->u.grant_request;

  msgpack_pack_array (packer, 7);
  msgpack_pack_uint64 (packer, grant_request->target);
  msgpack_pack_uint64 (packer, grant_request->chat);
  msgpack_pack_uint64 (packer, grant_request->customer);
  msgpack_pack_uint64 (packer, grant_request->grant);
  msgpack_pack_uint64 (packer, grant_request->flags);
  msgpack_pack_uint64 (packer, grant_request->wait_ms);
  msgpack_pack_uint64 (packer, grant_request->priority);
}

/* Reads what encode_grant_request wrote.  */
static void
decode_grant_request (struct reader *reader, struct wire_message *message)
{
  struct wire_grant_request *grant_request = &message->u.grant_request;
  struct reader list = next_array (reader, 7);

  grant_request->target = next_uint (&list, UINT64_MAX);
  grant_request->chat = next_uint (&list, UINT64_MAX);
  grant_request->customer = next_uint (&list, UINT64_MAX);
  grant_request->grant = (uint32_t)next_uint (&list, UINT32_MAX);
  grant_request->flags = (uint32_t)next_uint (&list, UINT32_MAX);
  grant_request->wait_ms = (uint32_t)next_uint (&list, UINT16_MAX);
  grant_request->priority = (uint32_t)next_uint (&list, UINT8_MAX);
  reader->failed |= list.failed;
}

/* Packs the answer to an ask.  */
static void
encode_grant_answer (msgpack_packer *packer,
                     const struct wire_message *message)
{
  const struct wire_grant_answer *answer = &message->u.answer;

  msgpack_pack_array (packer, 4);
  msgpack_pack_uint64 (packer, answer->grant);
  msgpack_pack_uint64 (packer, answer->verdict);
  msgpack_pack_uint64 (packer, answer->load);
  msgpack_pack_uint64 (packer, answer->redirect);
}

/* Reads what encode_grant_answer wrote.  */
static void
decode_grant_answer (struct reader *reader, struct wire_message *message)
{
  struct wire_grant_answer *answer = &message->u.answer;
  struct reader list = next_array (reader, 4);

  answer->grant = (uint32_t)next_uint (&list, UINT32_MAX);
  answer->verdict = (uint8_t)next_uint (&list, UINT8_MAX);
  answer->load = (uint32_t)next_uint (&list, UINT32_MAX);
  answer->redirect = next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Packs the end of a grant.  */
static void
encode_release (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_release *release = &message->u.release;

  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, release->target);
  msgpack_pack_uint64 (packer, release->grant);
  msgpack_pack_uint64 (packer, release->outcome);
}

/* Reads what encode_release wrote.  */
static void
decode_release (struct reader *reader, struct wire_message *message)
{
  struct wire_release *release = &message->u.release;
  struct reader list = next_array (reader, 3);

  release->target = next_uint (&list, UINT64_MAX);
  release->grant = (uint32_t)next_uint (&list, UINT32_MAX);
  release->outcome = (uint8_t)next_uint (&list, UINT8_MAX);
  reader->failed |= list.failed;
}

/* Packs the list of grants that the sender holds for one target.  */
static void
encode_hold (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_hold *hold = &message->u.hold;

  msgpack_pack_array (packer, 1 + hold->count);
  msgpack_pack_uint64 (packer, hold->target);
  for (uint32_t i = 0; i < hold->count; i++)
    msgpack_pack_uint64 (packer, hold->grants[i]);
}

/* Reads what encode_hold wrote.  */
static void
decode_hold (struct reader *reader, struct wire_message *message)
{
  struct wire_hold *hold = &message->u.hold;
  struct reader list = next_array (reader, 1 + WIRE_GRANTS_MAX);

  hold->target = next_uint (&list, UINT64_MAX);
  while (!list.failed && list.remaining > 0)
    hold->grants[hold->count++] = (uint32_t)next_uint (&list, UINT32_MAX);
  reader->failed |= list.failed;
}

/* Packs notes of displaced chats.  */
static void
encode_notes (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_notes *notes = &message->u.notes;

  msgpack_pack_array (packer, notes->count * 4);
  for (uint32_t i = 0; i < notes->count; i++)
    {
      msgpack_pack_uint64 (packer, notes->note[i].home);
      msgpack_pack_uint64 (packer, notes->note[i].chat);
      msgpack_pack_uint64 (packer, notes->note[i].target);
      msgpack_pack_uint64 (packer, notes->note[i].ttl_ms);
    }
}

/* Reads what encode_notes wrote.  */
static void
decode_notes (struct reader *reader, struct wire_message *message)
{
  struct wire_notes *notes = &message->u.notes;
  struct reader list = next_array (reader, WIRE_NOTES_MAX * 4);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_note *note = &notes->note[notes->count++];

      note->home = next_uint (&list, UINT64_MAX);
      note->chat = next_uint (&list, UINT64_MAX);
      note->target = next_uint (&list, UINT64_MAX);
      note->ttl_ms = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}
