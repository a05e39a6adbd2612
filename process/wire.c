/* Encoding of the datagrams between instances.

   A datagram is a msgpack array of the protocol version, kind, sender,
   incarnation, sequence and a body, which is an array of unsigned integers,
   followed by a message authentication code (MAC). */
#include <string.h>

#include <msgpack.h>
#include <sodium.h>

#include <sys/param.h>

#include "ibisloom/quarantine.h"
#include "ibisloom/wire.h"

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

/* Iterator over the items of a decoded array.  An unexpected type or a missing
   item sets FAILED; all later reads return 0. */
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
static void encode_admission_request (msgpack_packer *packer,
                                      const struct wire_message *message);
static void encode_admission_answer (msgpack_packer *packer,
                                     const struct wire_message *message);
static void encode_release (msgpack_packer *packer,
                            const struct wire_message *message);
static void encode_hold (msgpack_packer *packer,
                         const struct wire_message *message);
static void encode_notes (msgpack_packer *packer,
                          const struct wire_message *message);
static void decode_heartbeat (struct reader *reader,
                              struct wire_message *message);
static void decode_admission_request (struct reader *reader,
                                      struct wire_message *message);
static void decode_admission_answer (struct reader *reader,
                                     struct wire_message *message);
static void decode_release (struct reader *reader,
                            struct wire_message *message);
static void decode_hold (struct reader *reader, struct wire_message *message);
static void decode_notes (struct reader *reader, struct wire_message *message);
static void encode_loads (msgpack_packer *packer,
                          const struct wire_message *message);
static void decode_loads (struct reader *reader, struct wire_message *message);
static void encode_crash (msgpack_packer *packer,
                          const struct wire_message *message);
static void decode_crash (struct reader *reader, struct wire_message *message);
static void encode_quarantine (msgpack_packer *packer,
                               const struct wire_message *message);
static void decode_quarantine (struct reader *reader,
                               struct wire_message *message);
static void encode_success (msgpack_packer *packer,
                            const struct wire_message *message);
static void decode_success (struct reader *reader,
                            struct wire_message *message);
static void encode_rates (msgpack_packer *packer,
                          const struct wire_message *message);
static void decode_rates (struct reader *reader, struct wire_message *message);
static void encode_sent (msgpack_packer *packer,
                         const struct wire_message *message);
static void decode_sent (struct reader *reader, struct wire_message *message);
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
  [WIRE_ADMISSION_REQUEST]
  = { encode_admission_request, decode_admission_request },
  [WIRE_ADMISSION_ANSWER]
  = { encode_admission_answer, decode_admission_answer },
  [WIRE_RELEASE] = { encode_release, decode_release },
  [WIRE_HOLD] = { encode_hold, decode_hold },
  [WIRE_NOTES] = { encode_notes, decode_notes },
  [WIRE_LOADS] = { encode_loads, decode_loads },
  [WIRE_CRASH] = { encode_crash, decode_crash },
  [WIRE_QUARANTINE] = { encode_quarantine, decode_quarantine },
  [WIRE_SUCCESS] = { encode_success, decode_success },
  [WIRE_RATES] = { encode_rates, decode_rates },
  [WIRE_SENT] = { encode_sent, decode_sent },
};

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

/* Returns the next item, an unsigned integer of at most MAX.  */
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

/* Returns an iterator over the next item, an array of at most MAX items.  */
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

/* Encodes a heartbeat.  The digests fill the rest of the array and have no
   count.  */
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

static void
encode_admission_request (msgpack_packer *packer,
                          const struct wire_message *message)
{
  const struct wire_admission_request *admission_request
      = &message->u.admission_request;

  msgpack_pack_array (packer, 7);
  msgpack_pack_uint64 (packer, admission_request->target);
  msgpack_pack_uint64 (packer, admission_request->chat);
  msgpack_pack_uint64 (packer, admission_request->customer);
  msgpack_pack_uint64 (packer, admission_request->grant);
  msgpack_pack_uint64 (packer, admission_request->flags);
  msgpack_pack_uint64 (packer, admission_request->wait_ms);
  msgpack_pack_uint64 (packer, admission_request->priority);
}

static void
decode_admission_request (struct reader *reader, struct wire_message *message)
{
  struct wire_admission_request *admission_request
      = &message->u.admission_request;
  struct reader list = next_array (reader, 7);

  admission_request->target = next_uint (&list, UINT64_MAX);
  admission_request->chat = next_uint (&list, UINT64_MAX);
  admission_request->customer = next_uint (&list, UINT64_MAX);
  admission_request->grant = (uint32_t)next_uint (&list, UINT32_MAX);
  admission_request->flags = (uint32_t)next_uint (&list, UINT32_MAX);
  admission_request->wait_ms = (uint32_t)next_uint (&list, UINT16_MAX);
  admission_request->priority = (uint32_t)next_uint (&list, UINT8_MAX);
  reader->failed |= list.failed;
}

static void
encode_admission_answer (msgpack_packer *packer,
                         const struct wire_message *message)
{
  const struct wire_admission_answer *answer = &message->u.answer;

  msgpack_pack_array (packer, 4);
  msgpack_pack_uint64 (packer, answer->grant);
  msgpack_pack_uint64 (packer, answer->verdict);
  msgpack_pack_uint64 (packer, answer->load);
  msgpack_pack_uint64 (packer, answer->redirect);
}

static void
decode_admission_answer (struct reader *reader, struct wire_message *message)
{
  struct wire_admission_answer *answer = &message->u.answer;
  struct reader list = next_array (reader, 4);

  answer->grant = (uint32_t)next_uint (&list, UINT32_MAX);
  answer->verdict = (uint8_t)next_uint (&list, UINT8_MAX);
  answer->load = (uint32_t)next_uint (&list, UINT32_MAX);
  answer->redirect = next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_release (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_release *release = &message->u.release;

  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, release->target);
  msgpack_pack_uint64 (packer, release->grant);
  msgpack_pack_uint64 (packer, release->outcome);
}

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

/* Encodes the grants held for one target, without a count.  */
static void
encode_hold (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_hold *hold = &message->u.hold;

  msgpack_pack_array (packer, 1 + hold->count);
  msgpack_pack_uint64 (packer, hold->target);
  for (uint32_t i = 0; i < hold->count; i++)
    msgpack_pack_uint64 (packer, hold->grants[i]);
}

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

/* Encodes placement notes, without a count.  */
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

/* Encodes a load update, without a count.  */
static void
encode_loads (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_loads *loads = &message->u.loads;

  msgpack_pack_array (packer, loads->count * 2);
  for (uint32_t i = 0; i < loads->count; i++)
    {
      msgpack_pack_uint64 (packer, loads->load[i].target);
      msgpack_pack_uint64 (packer, loads->load[i].load);
    }
}

static void
decode_loads (struct reader *reader, struct wire_message *message)
{
  struct wire_loads *loads = &message->u.loads;
  struct reader list = next_array (reader, WIRE_UPDATE_LOADS_MAX * 2);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_load *load = &loads->load[loads->count++];

      load->target = next_uint (&list, UINT64_MAX);
      load->load = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Encodes the end of a target.  The parts fill the rest of the array.  */
static void
encode_crash (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_crash *crash = &message->u.crash;

  msgpack_pack_array (packer, 3 + crash->count);
  msgpack_pack_uint64 (packer, crash->target);
  msgpack_pack_uint64 (packer, crash->strength);
  msgpack_pack_uint64 (packer, crash->age_ms);
  for (uint32_t i = 0; i < crash->count; i++)
    msgpack_pack_uint64 (packer, crash->part[i]);
}

static void
decode_crash (struct reader *reader, struct wire_message *message)
{
  struct wire_crash *crash = &message->u.crash;
  struct reader list = next_array (reader, 3 + WIRE_PARTS_MAX);

  crash->target = next_uint (&list, UINT64_MAX);
  crash->strength = (uint8_t)next_uint (&list, QUAR_SUSPECT);
  crash->age_ms = (uint32_t)next_uint (&list, INT32_MAX);
  while (!list.failed && list.remaining > 0)
    crash->part[crash->count++] = next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Encodes the states of prompt parts, without a count.  */
static void
encode_quarantine (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_quarantine *quarantine = &message->u.quarantine;

  msgpack_pack_array (packer, quarantine->count * 3);
  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      msgpack_pack_uint64 (packer, quarantine->state[i].part);
      msgpack_pack_uint64 (packer, quarantine->state[i].version);
      msgpack_pack_uint64 (packer, quarantine->state[i].weight);
    }
}

static void
decode_quarantine (struct reader *reader, struct wire_message *message)
{
  struct wire_quarantine *quarantine = &message->u.quarantine;
  struct reader list = next_array (reader, WIRE_STATES_MAX * 3);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_state *state = &quarantine->state[quarantine->count++];

      state->part = next_uint (&list, UINT64_MAX);
      state->version = (uint32_t)next_uint (&list, UINT32_MAX);
      state->weight = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

static void
encode_success (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, message->u.success.part);
  msgpack_pack_uint64 (packer, message->u.success.age_ms);
}

static void
decode_success (struct reader *reader, struct wire_message *message)
{
  struct reader list = next_array (reader, 2);

  message->u.success.part = next_uint (&list, UINT64_MAX);
  message->u.success.age_ms = (uint32_t)next_uint (&list, INT32_MAX);
  reader->failed |= list.failed;
}

/* Encodes the rate limits of targets, without a count.  */
static void
encode_rates (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_rates *rates = &message->u.rates;

  msgpack_pack_array (packer, rates->count * 3);
  for (uint32_t i = 0; i < rates->count; i++)
    {
      msgpack_pack_uint64 (packer, rates->rate[i].target);
      msgpack_pack_uint64 (packer, rates->rate[i].version);
      msgpack_pack_uint64 (packer, rates->rate[i].per_ks);
    }
}

static void
decode_rates (struct reader *reader, struct wire_message *message)
{
  struct wire_rates *rates = &message->u.rates;
  struct reader list = next_array (reader, WIRE_RATES_MAX * 3);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_rate *rate = &rates->rate[rates->count++];

      rate->target = next_uint (&list, UINT64_MAX);
      rate->version = (uint32_t)next_uint (&list, UINT32_MAX);
      rate->per_ks = (uint32_t)next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

static void
encode_sent (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->u.sent.target);
}

static void
decode_sent (struct reader *reader, struct wire_message *message)
{
  struct reader list = next_array (reader, 1);

  message->u.sent.target = next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}
