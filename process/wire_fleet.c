/* Bodies of the datagrams that only routers exchange. */
#include "ibisloom/quarantine.h"
#include "ibisloom/reach.h"
#include "libwire.h"

enum
{
  EVACUATION_ITEMS = 4, /* in the encoding of one evacuation */
  LEAVE_ITEMS = 4       /* in that of a leaving target */
};

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
decode_crash (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_crash *crash = &message->u.crash;
  struct wire_reader list = wire_next_array (reader, 3 + WIRE_PARTS_MAX);

  crash->target = wire_next_uint (&list, UINT64_MAX);
  crash->strength = (uint8_t)wire_next_uint (&list, QUAR_SUSPECT);
  crash->age_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
  while (!list.failed && list.remaining > 0)
    crash->part[crash->count++] = wire_next_uint (&list, UINT64_MAX);
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
decode_quarantine (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_quarantine *quarantine = &message->u.quarantine;
  struct wire_reader list = wire_next_array (reader, WIRE_STATES_MAX * 3);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_state *state = &quarantine->state[quarantine->count++];

      state->part = wire_next_uint (&list, UINT64_MAX);
      state->version = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      state->weight = (uint32_t)wire_next_uint (&list, UINT32_MAX);
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
decode_success (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 2);

  message->u.success.part = wire_next_uint (&list, UINT64_MAX);
  message->u.success.age_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
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
decode_rates (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_rates *rates = &message->u.rates;
  struct wire_reader list = wire_next_array (reader, WIRE_RATES_MAX * 3);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_rate *rate = &rates->rate[rates->count++];

      rate->target = wire_next_uint (&list, UINT64_MAX);
      rate->version = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      rate->per_ks = (uint32_t)wire_next_uint (&list, UINT32_MAX);
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
decode_sent (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 1);

  message->u.sent.target = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_state (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_store_state *state = &message->u.state;

  msgpack_pack_array (packer, 5);
  msgpack_pack_uint64 (packer, state->version);
  msgpack_pack_uint64 (packer, state->config.epoch);
  msgpack_pack_uint64 (packer, state->config.revision);
  msgpack_pack_uint64 (packer, state->targets.epoch);
  msgpack_pack_uint64 (packer, state->targets.revision);
}

static void
decode_state (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_store_state *state = &message->u.state;
  struct wire_reader list = wire_next_array (reader, 5);

  state->version = wire_next_uint (&list, UINT64_MAX);
  state->config = wire_next_position (&list);
  state->targets = wire_next_position (&list);
  reader->failed |= list.failed;
}

/* Encodes origins of streams, without a count.  */
static void
encode_origins (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_origins *origins = &message->u.origins;

  msgpack_pack_array (packer, origins->count * 3);
  for (uint32_t i = 0; i < origins->count; i++)
    {
      msgpack_pack_uint64 (packer, origins->origin[i].attempt);
      msgpack_pack_uint64 (packer, origins->origin[i].software);
      msgpack_pack_uint64 (packer, origins->origin[i].service);
    }
}

static void
decode_origins (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_origins *origins = &message->u.origins;
  struct wire_reader list = wire_next_array (reader, WIRE_ORIGINS_MAX * 3);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_origin *origin = &origins->origin[origins->count++];

      origin->attempt = wire_next_uint (&list, UINT64_MAX);
      origin->software = wire_next_uint (&list, UINT64_MAX);
      origin->service = wire_next_uint (&list, UINT64_MAX);
    }
  reader->failed |= list.failed;
}

static void
encode_origin_query (msgpack_packer *packer,
                     const struct wire_message *message)
{
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->u.origin_query.attempt);
}

static void
decode_origin_query (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 1);

  message->u.origin_query.attempt = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Encodes the question, and then the versions, without a count.  */
static void
encode_versions (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_versions *versions = &message->u.versions;

  msgpack_pack_array (packer, 2 + versions->count * 2);
  msgpack_pack_uint64 (packer, versions->query.service);
  msgpack_pack_uint64 (packer, versions->query.asked_ms);
  for (uint32_t i = 0; i < versions->count; i++)
    {
      msgpack_pack_uint64 (packer, versions->version[i].software);
      msgpack_pack_uint64 (packer, versions->version[i].age_ms);
    }
}

static void
decode_versions (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_versions *versions = &message->u.versions;
  struct wire_reader list
      = wire_next_array (reader, 2 + WIRE_VERSIONS_MAX * 2);

  versions->query.service = wire_next_uint (&list, UINT64_MAX);
  versions->query.asked_ms = wire_next_uint (&list, UINT64_MAX);
  while (!list.failed && list.remaining > 0)
    {
      struct wire_seen_version *version
          = &versions->version[versions->count++];

      version->software = wire_next_uint (&list, UINT64_MAX);
      version->age_ms = (uint32_t)wire_next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

static void
encode_version_query (msgpack_packer *packer,
                      const struct wire_message *message)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, message->u.version_query.service);
  msgpack_pack_uint64 (packer, message->u.version_query.asked_ms);
}

static void
decode_version_query (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 2);

  message->u.version_query.service = wire_next_uint (&list, UINT64_MAX);
  message->u.version_query.asked_ms = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_reach_query (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->u.reach_query.service);
}

static void
decode_reach_query (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 1);

  message->u.reach_query.service = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_reach (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 4);
  msgpack_pack_uint64 (packer, message->u.reach.service);
  msgpack_pack_uint64 (packer, message->u.reach.answer);
  msgpack_pack_uint64 (packer, message->u.reach.load);
  msgpack_pack_uint64 (packer, message->u.reach.token);
}

static void
decode_reach (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 4);
  struct wire_reach *reach = &message->u.reach;

  reach->service = wire_next_uint (&list, UINT64_MAX);
  reach->answer = (uint8_t)wire_next_uint (&list, REACH_ANSWER_COUNT - 1);
  reach->load = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  reach->token = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_brittle (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_brittle *brittle = &message->u.brittle;

  msgpack_pack_array (packer, 5);
  msgpack_pack_uint64 (packer, brittle->service);
  msgpack_pack_uint64 (packer, brittle->version);
  msgpack_pack_uint64 (packer, brittle->rejections_max);
  msgpack_pack_uint64 (packer, brittle->age_ms);
  msgpack_pack_uint64 (packer, brittle->turn);
}

static void
decode_brittle (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_brittle *brittle = &message->u.brittle;
  struct wire_reader list = wire_next_array (reader, 5);

  brittle->service = wire_next_uint (&list, UINT64_MAX);
  brittle->version = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  brittle->rejections_max = (uint32_t)wire_next_uint (&list, INT32_MAX);
  brittle->age_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
  brittle->turn = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  reader->failed |= list.failed;
}

static void
encode_rejected (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, message->u.rejected.target);
  msgpack_pack_uint64 (packer, message->u.rejected.limit);
}

static void
decode_rejected (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 2);

  message->u.rejected.target = wire_next_uint (&list, UINT64_MAX);
  message->u.rejected.limit = (uint32_t)wire_next_uint (&list, INT32_MAX);
  reader->failed |= list.failed;
}

/* Encodes the states of failure domains, without a count.  */
static void
encode_evacuations (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_evacuations *evacuations = &message->u.evacuations;

  msgpack_pack_array (packer, evacuations->count * EVACUATION_ITEMS);
  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      const struct wire_evacuation *evacuation = &evacuations->evacuation[i];

      msgpack_pack_uint64 (packer, evacuation->domain);
      msgpack_pack_uint64 (packer, evacuation->position.epoch);
      msgpack_pack_uint64 (packer, evacuation->position.revision);
      msgpack_pack_uint64 (packer, evacuation->is_in_force);
    }
}

static void
decode_evacuations (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_evacuations *evacuations = &message->u.evacuations;
  struct wire_reader list
      = wire_next_array (reader, WIRE_EVACUATIONS_MAX * EVACUATION_ITEMS);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_evacuation *evacuation
          = &evacuations->evacuation[evacuations->count++];

      evacuation->domain = wire_next_uint (&list, UINT64_MAX);
      evacuation->position = wire_next_position (&list);
      evacuation->is_in_force = (uint8_t)wire_next_uint (&list, 1);
    }
  reader->failed |= list.failed;
}

/* Encodes parts that a target holds, which fill the rest of the array.  */
static void
encode_held (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_held *held = &message->u.held;

  msgpack_pack_array (packer, 3 + held->count);
  msgpack_pack_uint64 (packer, held->target);
  msgpack_pack_uint64 (packer, held->incarnation);
  msgpack_pack_uint64 (packer, held->is_running);
  for (uint32_t i = 0; i < held->count; i++)
    msgpack_pack_uint64 (packer, held->part[i]);
}

static void
decode_held (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_held *held = &message->u.held;
  struct wire_reader list = wire_next_array (reader, 3 + WIRE_HELD_MAX);

  held->target = wire_next_uint (&list, UINT64_MAX);
  held->incarnation = wire_next_uint (&list, UINT64_MAX);
  held->is_running = (uint8_t)wire_next_uint (&list, 1);
  while (!list.failed && list.remaining > 0)
    held->part[held->count++] = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Encodes a question that has no content.  */
static void
encode_held_query (msgpack_packer *packer, const struct wire_message *message)
{
  (void)message;
  msgpack_pack_array (packer, 0);
}

static void
decode_held_query (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 0);

  (void)message;
  reader->failed |= list.failed;
}

/* Encodes the targets that are leaving, without a count.  */
static void
encode_leaves (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_leaves *leaves = &message->u.leaves;

  msgpack_pack_array (packer, leaves->count * LEAVE_ITEMS);
  for (uint32_t i = 0; i < leaves->count; i++)
    {
      msgpack_pack_uint64 (packer, leaves->leave[i].target);
      msgpack_pack_uint64 (packer, leaves->leave[i].incarnation);
      msgpack_pack_uint64 (packer, leaves->leave[i].position.epoch);
      msgpack_pack_uint64 (packer, leaves->leave[i].position.revision);
    }
}

static void
decode_leaves (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_leaves *leaves = &message->u.leaves;
  struct wire_reader list
      = wire_next_array (reader, WIRE_LEAVES_MAX * LEAVE_ITEMS);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_leave *leave = &leaves->leave[leaves->count++];

      leave->target = wire_next_uint (&list, UINT64_MAX);
      leave->incarnation = wire_next_uint (&list, UINT64_MAX);
      leave->position = wire_next_position (&list);
    }
  reader->failed |= list.failed;
}

static void
encode_incarnation (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->u.incarnation.known);
}

static void
decode_incarnation (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 1);

  message->u.incarnation.known = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Kinds of routers. */
const struct wire_codec wire_fleet_codecs[WIRE_KIND_COUNT] = {
  [WIRE_CRASH] = { encode_crash, decode_crash },
  [WIRE_QUARANTINE] = { encode_quarantine, decode_quarantine },
  [WIRE_SUCCESS] = { encode_success, decode_success },
  [WIRE_RATES] = { encode_rates, decode_rates },
  [WIRE_SENT] = { encode_sent, decode_sent },
  [WIRE_STATE] = { encode_state, decode_state },
  [WIRE_ORIGINS] = { encode_origins, decode_origins },
  [WIRE_ORIGIN_QUERY] = { encode_origin_query, decode_origin_query },
  [WIRE_VERSIONS] = { encode_versions, decode_versions },
  [WIRE_VERSION_QUERY] = { encode_version_query, decode_version_query },
  [WIRE_REACH_QUERY] = { encode_reach_query, decode_reach_query },
  [WIRE_REACH] = { encode_reach, decode_reach },
  [WIRE_BRITTLE] = { encode_brittle, decode_brittle },
  [WIRE_REJECTED] = { encode_rejected, decode_rejected },
  [WIRE_ROOM_LIMIT] = { encode_rejected, decode_rejected },
  [WIRE_EVACUATIONS] = { encode_evacuations, decode_evacuations },
  [WIRE_HELD] = { encode_held, decode_held },
  [WIRE_HELD_QUERY] = { encode_held_query, decode_held_query },
  [WIRE_LEAVES] = { encode_leaves, decode_leaves },
  [WIRE_INCARNATION] = { encode_incarnation, decode_incarnation },
};
