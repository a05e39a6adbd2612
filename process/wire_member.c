/* Bodies of the datagrams on members, admission and notes. */
#include "libwire.h"

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
decode_heartbeat (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_heartbeat *heartbeat = &message->u.heartbeat;
  struct wire_reader list
      = wire_next_array (reader, 8 + WIRE_LOADS_MAX * 2 + WIRE_LEAVING_MAX
                                     + WIRE_DIGESTS_MAX * 6);

  heartbeat->revision = wire_next_uint (&list, UINT64_MAX);
  heartbeat->config_revision = wire_next_uint (&list, UINT64_MAX);
  heartbeat->store = (uint8_t)wire_next_uint (&list, WIRE_STORE_COUNT - 1);
  heartbeat->domain = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  heartbeat->state = (uint8_t)wire_next_uint (&list, UINT8_MAX);
  heartbeat->wants_reply = (uint8_t)wire_next_uint (&list, 1);
  heartbeat->load_count = (uint32_t)wire_next_uint (&list, WIRE_LOADS_MAX);
  for (uint32_t i = 0; i < heartbeat->load_count; i++)
    {
      heartbeat->loads[i].target = wire_next_uint (&list, UINT64_MAX);
      heartbeat->loads[i].load = (uint32_t)wire_next_uint (&list, UINT32_MAX);
    }
  heartbeat->leaving_count
      = (uint32_t)wire_next_uint (&list, WIRE_LEAVING_MAX);
  for (uint32_t i = 0; i < heartbeat->leaving_count; i++)
    heartbeat->leaving[i] = wire_next_uint (&list, UINT64_MAX);
  while (!list.failed && list.remaining > 0
         && heartbeat->digest_count < WIRE_DIGESTS_MAX)
    {
      struct wire_digest *digest
          = &heartbeat->digests[heartbeat->digest_count++];

      digest->instance = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      digest->ip = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      digest->port = (uint16_t)wire_next_uint (&list, UINT16_MAX);
      digest->domain = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      digest->incarnation = wire_next_uint (&list, UINT64_MAX);
      digest->age_ms = (uint32_t)wire_next_uint (&list, UINT32_MAX);
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
decode_admission_request (struct wire_reader *reader,
                          struct wire_message *message)
{
  struct wire_admission_request *admission_request
      = &message->u.admission_request;
  struct wire_reader list = wire_next_array (reader, 7);

  admission_request->target = wire_next_uint (&list, UINT64_MAX);
  admission_request->chat = wire_next_uint (&list, UINT64_MAX);
  admission_request->customer = wire_next_uint (&list, UINT64_MAX);
  admission_request->grant = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  admission_request->flags = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  admission_request->wait_ms = (uint32_t)wire_next_uint (&list, UINT16_MAX);
  admission_request->priority = (uint32_t)wire_next_uint (&list, UINT8_MAX);
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
decode_admission_answer (struct wire_reader *reader,
                         struct wire_message *message)
{
  struct wire_admission_answer *answer = &message->u.answer;
  struct wire_reader list = wire_next_array (reader, 4);

  answer->grant = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  answer->verdict = (uint8_t)wire_next_uint (&list, UINT8_MAX);
  answer->load = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  answer->redirect = wire_next_uint (&list, UINT64_MAX);
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
decode_release (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_release *release = &message->u.release;
  struct wire_reader list = wire_next_array (reader, 3);

  release->target = wire_next_uint (&list, UINT64_MAX);
  release->grant = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  release->outcome = (uint8_t)wire_next_uint (&list, UINT8_MAX);
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
decode_hold (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_hold *hold = &message->u.hold;
  struct wire_reader list = wire_next_array (reader, 1 + WIRE_GRANTS_MAX);

  hold->target = wire_next_uint (&list, UINT64_MAX);
  while (!list.failed && list.remaining > 0)
    hold->grants[hold->count++] = (uint32_t)wire_next_uint (&list, UINT32_MAX);
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
decode_notes (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_notes *notes = &message->u.notes;
  struct wire_reader list = wire_next_array (reader, WIRE_NOTES_MAX * 4);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_note *note = &notes->note[notes->count++];

      note->home = wire_next_uint (&list, UINT64_MAX);
      note->chat = wire_next_uint (&list, UINT64_MAX);
      note->target = wire_next_uint (&list, UINT64_MAX);
      note->ttl_ms = (uint32_t)wire_next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Kinds that instances of both interfaces exchange, or those of the own
   interface alone. */
const struct wire_codec wire_member_codecs[WIRE_KIND_COUNT] = {
  [WIRE_HEARTBEAT] = { encode_heartbeat, decode_heartbeat },
  [WIRE_ADMISSION_REQUEST]
  = { encode_admission_request, decode_admission_request },
  [WIRE_ADMISSION_ANSWER]
  = { encode_admission_answer, decode_admission_answer },
  [WIRE_RELEASE] = { encode_release, decode_release },
  [WIRE_HOLD] = { encode_hold, decode_hold },
  [WIRE_NOTES] = { encode_notes, decode_notes },
};
