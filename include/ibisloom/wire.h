/* Encoding of the datagrams between instances: msgpack, with a protocol
   version and a message authentication code (MAC). */
#ifndef IBISLOOM_WIRE_H
#define IBISLOOM_WIRE_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/demand.h"
#include "ibisloom/position.h"
#include "ibisloom/room.h"

enum
{
  WIRE_VERSION = 2,
  WIRE_MAC_BYTES = 8,
  WIRE_MAX_BYTES = 1200,
  WIRE_LOADS_MAX = 96,      /* as many as fit with 32-bit identifiers */
  WIRE_LOAD_DOWN = 0x10000, /* flag in a load: circuit breaker open */
  WIRE_LEAVING_MAX = 16,
  WIRE_DIGESTS_MAX = 8,
  WIRE_GRANTS_MAX = 64,
  WIRE_NOTES_MAX = 24,
  WIRE_UPDATE_LOADS_MAX = 64,
  WIRE_PARTS_MAX = 32,
  WIRE_STATES_MAX = 48,
  WIRE_RATES_MAX = 64,
  WIRE_ORIGINS_MAX = 32,
  WIRE_VERSIONS_MAX = 16,
  WIRE_EVACUATIONS_MAX = 40,
  WIRE_PACES_MAX = 16,
  WIRE_PACE_SCALE = 1000, /* units in a request, or in a millisecond */
  WIRE_HELD_MAX = 120,
  WIRE_WORK_MAX = 64,
  WIRE_CAN_RELAY_LOADS = 1, /* bit of the capabilities */
  WIRE_LEAVES_MAX = 32,
  WIRE_ROOMS_MAX = 32
};

enum wire_kind
{
  WIRE_HEARTBEAT,         /* membership, target loads and known revisions */
  WIRE_ADMISSION_REQUEST, /* to the owner of a target */
  WIRE_ADMISSION_ANSWER,  /* from the owner */
  WIRE_RELEASE,           /* ends a grant */
  WIRE_HOLD,              /* grants held for a target, for its owner */
  WIRE_NOTES,             /* which targets hold the contexts of chats */
  WIRE_LOADS,             /* loads of targets that have changed */
  WIRE_CRASH,             /* end of a target, and a request it had */
  WIRE_QUARANTINE,        /* states of prompt parts */
  WIRE_SUCCESS,           /* last success with a prompt part */
  WIRE_RATES,             /* rate limits of targets */
  WIRE_SENT,              /* request sent to a target with such a limit */
  WIRE_STATE,             /* what the sender knows of the store */
  WIRE_ORIGINS,           /* which versions began streams */
  WIRE_ORIGIN_QUERY,      /* asks which version began a stream */
  WIRE_VERSIONS,          /* which versions of a service were seen */
  WIRE_VERSION_QUERY,     /* asks which were */
  WIRE_REACH_QUERY,       /* asks whether a service is reached */
  WIRE_REACH,             /* whether the sender reaches a service */
  WIRE_BRITTLE,           /* whether the targets of a service are brittle */
  WIRE_REJECTED,          /* request that a brittle target turned away */
  WIRE_EVACUATIONS,       /* which failure domains are evacuated */
  WIRE_COLD,              /* that a target has become cold */
  WIRE_PACES,             /* limits of targets that have lately started */
  WIRE_DEMAND,            /* for a service short of capacity */
  WIRE_LEVEL,             /* what is admitted of it, by a coordinator */
  WIRE_HELD,              /* prompt parts that a target holds */
  WIRE_HELD_QUERY,        /* asks for those of all targets */
  WIRE_WORK,              /* tokens still to be read at targets */
  WIRE_CAPABILITIES,      /* optional features of the sender */
  WIRE_RELAY_LOADS,       /* load update for the receiver's failure domain */
  WIRE_RELAYED_LOADS,     /* load update of another instance, passed on */
  WIRE_LEAVES,            /* targets that have said that they leave */
  WIRE_INCARNATION,       /* the receiver is known by a later one */
  WIRE_ROOM_QUERY,        /* asks for the room of brittle targets */
  WIRE_ROOMS,             /* room of brittle targets */
  WIRE_ROOM_LIMIT,        /* limit of a brittle target, without a rejection */
  WIRE_KIND_COUNT
};

/* Names of the kinds, for metrics. */
extern const char *const wire_kind_names[WIRE_KIND_COUNT];

enum wire_status
{
  WIRE_OK,
  WIRE_BAD_MAC, /* not authentic: another key, or corrupted */
  WIRE_MALFORMED,
  WIRE_VERSION_MISMATCH /* of another protocol version */
};

/* Load of one target, as the sender counts it. */
struct wire_load
{
  uint64_t target;
  uint32_t load; /* requests in progress; may have WIRE_LOAD_DOWN set */
};

/* What the sender knows of another member. */
struct wire_digest
{
  uint32_t instance;
  uint32_t ip;   /* network byte order */
  uint16_t port; /* network byte order */
  uint32_t domain;
  uint64_t incarnation;
  uint32_t age_ms; /* since the member's last heartbeat */
};

/* Whether an instance watches the platform's store. */
enum wire_store
{
  WIRE_STORE_UNWATCHED, /* not selected to watch it */
  WIRE_STORE_WATCHED,
  WIRE_STORE_LOST, /* the store does not respond */
  WIRE_STORE_COUNT
};

struct wire_heartbeat
{
  uint64_t revision;        /* of the configuration, or of the registry */
  uint64_t config_revision; /* of the configuration, if kept separately */
  uint8_t store;            /* enum wire_store */
  uint32_t domain;          /* hash of the failure domain */
  uint8_t state;            /* enum member_state */
  uint8_t wants_reply;      /* the receiver is to send its own state */
  uint32_t load_count;
  struct wire_load loads[WIRE_LOADS_MAX];
  uint32_t leaving_count;
  uint64_t leaving[WIRE_LEAVING_MAX]; /* targets that are leaving */
  uint32_t digest_count;
  struct wire_digest digests[WIRE_DIGESTS_MAX];
};

/* Admission request, to the owner of the target. */
struct wire_admission_request
{
  uint64_t target;
  uint64_t chat;
  uint64_t customer;
  uint32_t grant;    /* identifier chosen by the sender */
  uint32_t flags;    /* ADM_NO_REDIRECT or 0 */
  uint32_t wait_ms;  /* longest time in the owner's queue */
  uint32_t priority; /* higher goes first */
};

/* Answer of the owner to an admission request. */
struct wire_admission_answer
{
  uint32_t grant;
  uint8_t verdict; /* enum adm_verdict */
  uint32_t load;
  uint64_t redirect; /* with ADM_REDIRECT: target to request admission to */
};

/* End of a grant, for the owner of the target. */
struct wire_release
{
  uint64_t target;
  uint32_t grant;
  uint8_t outcome; /* enum adm_outcome */
};

/* All grants that the sender holds for a target, for its owner. */
struct wire_hold
{
  uint64_t target;
  uint32_t count;
  uint32_t grants[WIRE_GRANTS_MAX];
};

/* Placement note: TARGET holds the context of the chat. */
struct wire_note
{
  uint64_t home; /* home target of the chat; 0: not given */
  uint64_t chat;
  uint64_t target;
  uint32_t ttl_ms;
};

struct wire_notes
{
  uint32_t count;
  struct wire_note note[WIRE_NOTES_MAX];
};

/* Load update: the loads of some targets; the others have not changed. */
struct wire_loads
{
  uint32_t count;
  struct wire_load load[WIRE_UPDATE_LOADS_MAX];
};

/* Request in progress at a target when its process ended. */
struct wire_crash
{
  uint64_t target;  /* identifies the process that ended */
  uint8_t strength; /* enum quar_strength */
  uint32_t age_ms;  /* since the end */
  uint32_t count;
  uint64_t part[WIRE_PARTS_MAX]; /* shared parts of the prompt, in order */
};

/* Last success of the sender with a prompt part. */
struct wire_success
{
  uint64_t part;
  uint32_t age_ms;
};

/* Quarantine of a prompt part. */
struct wire_state
{
  uint64_t part;
  uint32_t version; /* odd: in quarantine */
  uint32_t weight;  /* of the evidence against it */
};

struct wire_quarantine
{
  uint32_t count;
  struct wire_state state[WIRE_STATES_MAX];
};

/* Rate limit of a target. */
struct wire_rate
{
  uint64_t target;
  uint32_t version; /* odd: in force */
  uint32_t per_ks;  /* requests in 1,000 s */
};

struct wire_rates
{
  uint32_t count;
  struct wire_rate rate[WIRE_RATES_MAX];
};

/* What the sender knows of a store that tells its epoch; it replaces the
   revisions of the heartbeat that follows. */
struct wire_store_state
{
  uint64_t version; /* of the configuration in force */
  struct position config;
  struct position targets;
};

/* Request that the sender has sent to a target with a rate limit. */
struct wire_sent
{
  uint64_t target;
};

/* Software version that began a stream. */
struct wire_origin
{
  uint64_t attempt;  /* hash of the attempt id that brought the first event */
  uint64_t software; /* see origin_software */
  uint64_t service;  /* hash of its name */
};

struct wire_origins
{
  uint32_t count;
  struct wire_origin origin[WIRE_ORIGINS_MAX];
};

/* Question of which version began the stream of ATTEMPT. */
struct wire_origin_query
{
  uint64_t attempt;
};

/* Question of which versions of SERVICE have been seen lately. */
struct wire_version_query
{
  uint64_t service;  /* hash of its name */
  uint64_t asked_ms; /* on the sender's clock; repeated in the answer */
};

/* Software version that the sender has seen. */
struct wire_seen_version
{
  uint64_t software;
  uint32_t age_ms; /* since it was seen last */
};

struct wire_versions
{
  struct wire_version_query query; /* that this answers */
  uint32_t count;
  struct wire_seen_version version[WIRE_VERSIONS_MAX];
};

/* Question of whether the receiver reaches the targets of SERVICE. */
struct wire_reach_query
{
  uint64_t service; /* hash of its name */
};

/* Answer to it. */
struct wire_reach
{
  uint64_t service;
  uint8_t answer; /* enum reach_answer */
  uint32_t load;  /* requests in progress at the sender */
  uint64_t token; /* that hops to the sender have to bear */
};

/* Whether the targets of a service are brittle. */
struct wire_brittle
{
  uint64_t service;        /* hash of its name */
  uint32_t version;        /* odd: they are */
  uint32_t rejections_max; /* see struct room_service */
  uint32_t age_ms;         /* since a target said so */
  uint32_t turn;           /* of the instances, see process/fleet_room.c */
};

/* Request that a brittle target turned away. */
struct wire_rejected
{
  uint64_t target;
  uint32_t limit; /* of its requests in progress, as the sender knows now */
};

/* Brittle targets whose room the sender asks for. */
struct wire_room_query
{
  uint32_t count;
  uint64_t target[WIRE_ROOMS_MAX];
};

/* What the sender knows of the room of a brittle target. */
struct wire_room
{
  uint64_t target;
  struct room_news news;
};

struct wire_rooms
{
  uint32_t count;
  struct wire_room room[WIRE_ROOMS_MAX];
};

/* Evacuation of a failure domain. */
struct wire_evacuation
{
  uint64_t domain;          /* hash of its name */
  struct position position; /* of the change that began or ended it */
  uint8_t is_in_force;
};

struct wire_evacuations
{
  uint32_t count;
  struct wire_evacuation evacuation[WIRE_EVACUATIONS_MAX];
};

/* That a target is cold, as its entry at POSITION of the store says. */
struct wire_cold
{
  uint64_t target;
  struct position position;
  uint32_t left_ms;
};

/* Pace of a target, see struct pace. */
struct wire_pace
{
  uint64_t target;
  uint64_t incarnation; /* of its process */
  uint32_t version;
  uint32_t base;           /* in units of WIRE_PACE_SCALE, as the next two */
  uint32_t threshold;      /* UINT32_MAX: infinite */
  uint32_t min_first_byte; /* 0: unknown */
  uint32_t age_ms;
};

struct wire_paces
{
  uint32_t count;
  struct wire_pace pace[WIRE_PACES_MAX];
};

/* Prompt parts that a target holds, or, with TARGET 0, only whether the sender
   knows of a fleet that was running when the receiver started. */
struct wire_held
{
  uint64_t target;
  uint64_t incarnation; /* of the target's process; see struct reg_entry */
  uint8_t is_running;   /* the fleet is; the receiver asks no targets */
  uint32_t count;
  uint64_t part[WIRE_HELD_MAX];
};

/* Tokens at one target that the sender's requests without a first event have
   still to be read; 0: few, or none. */
struct wire_target_work
{
  uint64_t target;
  uint32_t tokens;
};

struct wire_work
{
  uint32_t count;
  struct wire_target_work item[WIRE_WORK_MAX];
};

/* Optional features of the sender.  Bits that the receiver does not know mean
   nothing to it. */
struct wire_capabilities
{
  uint64_t bits;
};

/* Load update of the instance ORIGIN, passed on by the sender. */
struct wire_relayed
{
  uint32_t origin;
  uint64_t incarnation; /* of the origin */
  uint64_t sequence;    /* of the origin's datagram with these loads */
  struct wire_loads loads;
};

/* Target that has responded that it is leaving. */
struct wire_leave
{
  uint64_t target;
  uint64_t incarnation;     /* of its process, 0: unknown */
  struct position position; /* of its entry, as the sender has read it */
};

struct wire_leaves
{
  uint32_t count;
  struct wire_leave leave[WIRE_LEAVES_MAX];
};

/* Incarnation by which the sender knows the receiver, whose datagrams it drops
   as they have an earlier one. */
struct wire_incarnation
{
  uint64_t known;
};

struct wire_message
{
  enum wire_kind kind;
  uint32_t sender;      /* instance */
  uint64_t incarnation; /* of the sender; rises with each start */
  uint64_t sequence;    /* rises with each message of an incarnation */
  union
  {
    struct wire_heartbeat heartbeat;
    struct wire_admission_request admission_request;
    struct wire_admission_answer answer;
    struct wire_release release;
    struct wire_hold hold;
    struct wire_notes notes;
    struct wire_loads loads;
    struct wire_crash crash;
    struct wire_quarantine quarantine;
    struct wire_success success;
    struct wire_rates rates;
    struct wire_sent sent;
    struct wire_store_state state;
    struct wire_origins origins;
    struct wire_origin_query origin_query;
    struct wire_versions versions;
    struct wire_version_query version_query;
    struct wire_reach_query reach_query;
    struct wire_reach reach;
    struct wire_brittle brittle;
    struct wire_rejected rejected;
    struct wire_evacuations evacuations;
    struct wire_cold cold;
    struct wire_paces paces;
    struct demand_report demand;
    struct demand_level level;
    struct wire_held held;
    struct wire_work work;
    struct wire_capabilities capabilities;
    struct wire_relayed relayed;
    struct wire_leaves leaves;
    struct wire_incarnation incarnation;
    struct wire_room_query room_query;
    struct wire_rooms rooms;
  } u;
};

/* Key of the MAC. */
struct wire_key
{
  unsigned char bytes[32];
};

void wire_key_derive (struct wire_key *key, const char *secret,
                      const char *deployment);
void wire_mac (unsigned char mac[WIRE_MAC_BYTES], const unsigned char *data,
               size_t length, const struct wire_key *key);
size_t wire_encode (const struct wire_message *message,
                    const struct wire_key *key, unsigned char *out);
enum wire_status wire_decode (struct wire_message *message,
                              const struct wire_key *key,
                              const unsigned char *data, size_t length);

#endif
