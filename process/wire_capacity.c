/* Bodies of the datagrams on the capacity of targets: their loads, what those
   take that are cold or have lately started, what they have still to read, and
   the demand for services that are short of capacity.  */
#include <sys/param.h>

#include "libwire.h"

enum
{
  PACE_ITEMS = 7,    /* in the encoding of one pace */
  RELAYED_ITEMS = 3, /* of a relayed load update, before the loads */
  ROOM_ITEMS = 8     /* of the room of one target */
};

/* Appends LOADS to an array.  */
static void
pack_loads (msgpack_packer *packer, const struct wire_loads *loads)
{
  for (uint32_t i = 0; i < loads->count; i++)
    {
      msgpack_pack_uint64 (packer, loads->load[i].target);
      msgpack_pack_uint64 (packer, loads->load[i].load);
    }
}

/* Reads LOADS, which fill the rest of LIST.  */
static void
next_loads (struct wire_reader *list, struct wire_loads *loads)
{
  while (!list->failed && list->remaining > 0)
    {
      struct wire_load *load = &loads->load[loads->count++];

      load->target = wire_next_uint (list, UINT64_MAX);
      load->load = (uint32_t)wire_next_uint (list, UINT32_MAX);
    }
}

/* Encodes a load update, without a count.  */
static void
encode_loads (msgpack_packer *packer, const struct wire_message *message)
{
  msgpack_pack_array (packer, message->u.loads.count * 2);
  pack_loads (packer, &message->u.loads);
}

static void
decode_loads (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list
      = wire_next_array (reader, WIRE_UPDATE_LOADS_MAX * 2);

  next_loads (&list, &message->u.loads);
  reader->failed |= list.failed;
}

/* Encodes the load update of another instance, without a count.  */
static void
encode_relayed (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_relayed *relayed = &message->u.relayed;

  msgpack_pack_array (packer, RELAYED_ITEMS + relayed->loads.count * 2);
  msgpack_pack_uint64 (packer, relayed->origin);
  msgpack_pack_uint64 (packer, relayed->incarnation);
  msgpack_pack_uint64 (packer, relayed->sequence);
  pack_loads (packer, &relayed->loads);
}

static void
decode_relayed (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_relayed *relayed = &message->u.relayed;
  struct wire_reader list
      = wire_next_array (reader, RELAYED_ITEMS + WIRE_UPDATE_LOADS_MAX * 2);

  relayed->origin = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  relayed->incarnation = wire_next_uint (&list, UINT64_MAX);
  relayed->sequence = wire_next_uint (&list, UINT64_MAX);
  next_loads (&list, &relayed->loads);
  reader->failed |= list.failed;
}

static void
encode_capabilities (msgpack_packer *packer,
                     const struct wire_message *message)
{
  msgpack_pack_array (packer, 1);
  msgpack_pack_uint64 (packer, message->u.capabilities.bits);
}

static void
decode_capabilities (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_reader list = wire_next_array (reader, 1);

  message->u.capabilities.bits = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

static void
encode_cold (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_cold *cold = &message->u.cold;

  msgpack_pack_array (packer, 4);
  msgpack_pack_uint64 (packer, cold->target);
  msgpack_pack_uint64 (packer, cold->position.epoch);
  msgpack_pack_uint64 (packer, cold->position.revision);
  msgpack_pack_uint64 (packer, cold->left_ms);
}

static void
decode_cold (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_cold *cold = &message->u.cold;
  struct wire_reader list = wire_next_array (reader, 4);

  cold->target = wire_next_uint (&list, UINT64_MAX);
  cold->position = wire_next_position (&list);
  cold->left_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
  reader->failed |= list.failed;
}

/* Encodes the paces of targets, without a count.  */
static void
encode_paces (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_paces *paces = &message->u.paces;

  msgpack_pack_array (packer, paces->count * PACE_ITEMS);
  for (uint32_t i = 0; i < paces->count; i++)
    {
      msgpack_pack_uint64 (packer, paces->pace[i].target);
      msgpack_pack_uint64 (packer, paces->pace[i].incarnation);
      msgpack_pack_uint64 (packer, paces->pace[i].version);
      msgpack_pack_uint64 (packer, paces->pace[i].base);
      msgpack_pack_uint64 (packer, paces->pace[i].threshold);
      msgpack_pack_uint64 (packer, paces->pace[i].min_first_byte);
      msgpack_pack_uint64 (packer, paces->pace[i].age_ms);
    }
}

static void
decode_paces (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_paces *paces = &message->u.paces;
  struct wire_reader list
      = wire_next_array (reader, WIRE_PACES_MAX * PACE_ITEMS);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_pace *pace = &paces->pace[paces->count++];

      pace->target = wire_next_uint (&list, UINT64_MAX);
      pace->incarnation = wire_next_uint (&list, UINT64_MAX);
      pace->version = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      pace->base = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      pace->threshold = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      pace->min_first_byte = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      pace->age_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Encodes the tokens at targets, without a count.  */
static void
encode_work (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_work *work = &message->u.work;

  msgpack_pack_array (packer, work->count * 2);
  for (uint32_t i = 0; i < work->count; i++)
    {
      msgpack_pack_uint64 (packer, work->item[i].target);
      msgpack_pack_uint64 (packer, work->item[i].tokens);
    }
}

static void
decode_work (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_work *work = &message->u.work;
  struct wire_reader list = wire_next_array (reader, WIRE_WORK_MAX * 2);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_target_work *item = &work->item[work->count++];

      item->target = wire_next_uint (&list, UINT64_MAX);
      item->tokens = (uint32_t)wire_next_uint (&list, INT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Encodes the demand for a service.  The customers fill the rest of the
   array.  */
static void
encode_demand (msgpack_packer *packer, const struct wire_message *message)
{
  const struct demand_report *demand = &message->u.demand;

  msgpack_pack_array (packer, 2 + 2 * TURN_CLASSES + demand->count * 3);
  msgpack_pack_uint64 (packer, demand->service);
  msgpack_pack_uint64 (packer, demand->served_per_ks);
  for (int i = 0; i < TURN_CLASSES; i++)
    {
      msgpack_pack_uint64 (packer, demand->per_ks[i]);
      msgpack_pack_uint64 (packer, demand->waiting[i]);
    }
  for (uint32_t i = 0; i < demand->count; i++)
    {
      msgpack_pack_uint64 (packer, demand->customers[i].customer);
      msgpack_pack_uint64 (packer, demand->customers[i].class);
      msgpack_pack_uint64 (packer, demand->customers[i].per_ks);
    }
}

static void
decode_demand (struct wire_reader *reader, struct wire_message *message)
{
  struct demand_report *demand = &message->u.demand;
  struct wire_reader list = wire_next_array (
      reader, 2 + 2 * TURN_CLASSES + DEMAND_CUSTOMERS_MAX * 3);

  demand->service = wire_next_uint (&list, UINT64_MAX);
  demand->served_per_ks = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  for (int i = 0; i < TURN_CLASSES; i++)
    {
      demand->per_ks[i] = (uint32_t)wire_next_uint (&list, UINT32_MAX);
      demand->waiting[i] = (uint32_t)wire_next_uint (&list, INT32_MAX);
    }
  while (!list.failed && list.remaining > 0)
    {
      struct demand_customer *customer = &demand->customers[demand->count++];

      customer->customer = wire_next_uint (&list, UINT64_MAX);
      customer->class = (uint32_t)wire_next_uint (&list, TURN_CLASSES - 1);
      customer->per_ks = (uint32_t)wire_next_uint (&list, UINT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Encodes the targets that are asked for, without a count.  */
static void
encode_room_query (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_room_query *query = &message->u.room_query;

  msgpack_pack_array (packer, query->count);
  for (uint32_t i = 0; i < query->count; i++)
    msgpack_pack_uint64 (packer, query->target[i]);
}

static void
decode_room_query (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_room_query *query = &message->u.room_query;
  struct wire_reader list = wire_next_array (reader, WIRE_ROOMS_MAX);

  while (!list.failed && list.remaining > 0)
    query->target[query->count++] = wire_next_uint (&list, UINT64_MAX);
  reader->failed |= list.failed;
}

/* Encodes the room of targets, without a count.  */
static void
encode_rooms (msgpack_packer *packer, const struct wire_message *message)
{
  const struct wire_rooms *rooms = &message->u.rooms;

  msgpack_pack_array (packer, rooms->count * ROOM_ITEMS);
  for (uint32_t i = 0; i < rooms->count; i++)
    {
      const struct room_news *news = &rooms->room[i].news;

      msgpack_pack_uint64 (packer, rooms->room[i].target);
      msgpack_pack_uint64 (packer, news->is_known);
      msgpack_pack_uint64 (packer, (uint32_t)news->limit);
      msgpack_pack_uint64 (packer, (uint64_t)news->grown_ms);
      msgpack_pack_uint64 (packer, (uint64_t)news->growth_ms);
      msgpack_pack_uint64 (packer, news->rejections);
      msgpack_pack_uint64 (packer, (uint64_t)news->rejected_ago_ms);
      msgpack_pack_uint64 (packer, (uint64_t)MAX (news->load, 0));
    }
}

static void
decode_rooms (struct wire_reader *reader, struct wire_message *message)
{
  struct wire_rooms *rooms = &message->u.rooms;
  struct wire_reader list
      = wire_next_array (reader, WIRE_ROOMS_MAX * ROOM_ITEMS);

  while (!list.failed && list.remaining > 0)
    {
      struct wire_room *room = &rooms->room[rooms->count++];

      room->target = wire_next_uint (&list, UINT64_MAX);
      room->news.is_known = (uint8_t)wire_next_uint (&list, 1);
      room->news.limit = (int32_t)wire_next_uint (&list, INT32_MAX);
      room->news.grown_ms = (int64_t)wire_next_uint (&list, INT32_MAX);
      room->news.growth_ms = (int64_t)wire_next_uint (&list, INT32_MAX);
      room->news.rejections = (uint32_t)wire_next_uint (&list, INT32_MAX);
      room->news.rejected_ago_ms = (int64_t)wire_next_uint (&list, INT32_MAX);
      room->news.load = (double)wire_next_uint (&list, INT32_MAX);
    }
  reader->failed |= list.failed;
}

/* Encodes an admission level.  The shares fill the rest of the array.  */
static void
encode_level (msgpack_packer *packer, const struct wire_message *message)
{
  const struct demand_level *level = &message->u.level;

  msgpack_pack_array (packer, 6 + TURN_CLASSES + level->count * 2);
  msgpack_pack_uint64 (packer, level->service);
  msgpack_pack_uint64 (packer, level->version);
  msgpack_pack_uint64 (packer, level->age_ms);
  msgpack_pack_uint64 (packer, level->served_per_ks);
  msgpack_pack_uint64 (packer, level->class);
  msgpack_pack_uint64 (packer, level->share);
  for (int i = 0; i < TURN_CLASSES; i++)
    msgpack_pack_uint64 (packer, level->waiting[i]);
  for (uint32_t i = 0; i < level->count; i++)
    {
      msgpack_pack_uint64 (packer, level->shares[i].customer);
      msgpack_pack_uint64 (packer, level->shares[i].share);
    }
}

static void
decode_level (struct wire_reader *reader, struct wire_message *message)
{
  struct demand_level *level = &message->u.level;
  struct wire_reader list
      = wire_next_array (reader, 6 + TURN_CLASSES + DEMAND_SHARES_MAX * 2);

  level->service = wire_next_uint (&list, UINT64_MAX);
  level->version = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  level->age_ms = (uint32_t)wire_next_uint (&list, INT32_MAX);
  level->served_per_ks = (uint32_t)wire_next_uint (&list, UINT32_MAX);
  level->class = (uint32_t)wire_next_uint (&list, TURN_CLASSES);
  level->share = (uint32_t)wire_next_uint (&list, DEMAND_FULL_SHARE);
  for (int i = 0; i < TURN_CLASSES; i++)
    level->waiting[i] = (uint32_t)wire_next_uint (&list, INT32_MAX);
  while (!list.failed && list.remaining > 0)
    {
      struct demand_share *share = &level->shares[level->count++];

      share->customer = wire_next_uint (&list, UINT64_MAX);
      share->share = (uint32_t)wire_next_uint (&list, DEMAND_FULL_SHARE);
    }
  reader->failed |= list.failed;
}

const struct wire_codec wire_capacity_codecs[WIRE_KIND_COUNT] = {
  [WIRE_LOADS] = { encode_loads, decode_loads },
  [WIRE_RELAY_LOADS] = { encode_loads, decode_loads },
  [WIRE_RELAYED_LOADS] = { encode_relayed, decode_relayed },
  [WIRE_CAPABILITIES] = { encode_capabilities, decode_capabilities },
  [WIRE_COLD] = { encode_cold, decode_cold },
  [WIRE_PACES] = { encode_paces, decode_paces },
  [WIRE_DEMAND] = { encode_demand, decode_demand },
  [WIRE_LEVEL] = { encode_level, decode_level },
  [WIRE_WORK] = { encode_work, decode_work },
  [WIRE_ROOM_QUERY] = { encode_room_query, decode_room_query },
  [WIRE_ROOMS] = { encode_rooms, decode_rooms },
};
