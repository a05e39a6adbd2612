/* Datagrams between instances: msgpack, versioned and authenticated. */
#ifndef IBISLOOM_WIRE_H
#define IBISLOOM_WIRE_H

#include <stddef.h>
#include <stdint.h>

enum
{
  WIRE_VERSION = 2,
  WIRE_MAC_BYTES = 8,
  WIRE_MAX_BYTES = 1200,
  WIRE_LOADS_MAX = 96,      /* that fit with ids of 32 bits */
  WIRE_LOAD_DOWN = 0x10000, /* added to the load of a target that is down */
  WIRE_LEAVING_MAX = 16,
  WIRE_DIGESTS_MAX = 8,
  WIRE_GRANTS_MAX = 64,
  WIRE_NOTES_MAX = 24
};

enum wire_kind
{
  WIRE_HEARTBEAT,
  WIRE_GRANT_REQUEST,
  WIRE_GRANT_ANSWER,
  WIRE_RELEASE,
  WIRE_HOLD,
  WIRE_NOTES,
  WIRE_KIND_COUNT
};

enum wire_status
{
  WIRE_OK,
  WIRE_BAD_MAC,
  WIRE_MALFORMED,
  WIRE_VERSION_MISMATCH
};

/* Load granted by the sender to one target that it owns. */
struct wire_load
{
  uint64_t target;
  uint32_t load;
};

/* Third-hand news of a member. */
struct wire_digest
{
  uint32_t instance;
  uint32_t ip;
  uint16_t port;
  uint32_t domain;
  uint64_t incarnation;
  uint32_t age_ms;
};

/* How an instance stands to the platform's store. */
enum wire_store
{
  WIRE_STORE_UNWATCHED,
  WIRE_STORE_WATCHED,
  WIRE_STORE_LOST,
  WIRE_STORE_COUNT
};

struct wire_heartbeat
{
  uint64_t revision;        /* of the configuration, or of the registry */
  uint64_t config_revision; /* where the configuration has its own */
  uint8_t store;            /* enum wire_store */
  uint32_t domain;
  uint8_t state;
  uint8_t wants_reply;
  uint32_t load_count;
  struct wire_load loads[WIRE_LOADS_MAX];
  uint32_t leaving_count;
  uint64_t leaving[WIRE_LEAVING_MAX];
  uint32_t digest_count;
  struct wire_digest digests[WIRE_DIGESTS_MAX];
};

struct wire_grant_request
{
  uint64_t target;
  uint64_t chat;
  uint64_t customer;
  uint32_t grant;
  uint32_t flags;
  uint32_t wait_ms;
  uint32_t priority;
};

struct wire_grant_answer
{
  uint32_t grant;
  uint8_t verdict;
  uint32_t load;
  uint64_t redirect;
};

struct wire_release
{
  uint64_t target;
  uint32_t grant;
  uint8_t outcome;
};

struct wire_hold
{
  uint64_t target;
  uint32_t count;
  uint32_t grants[WIRE_GRANTS_MAX];
};

struct wire_note
{
  uint64_t home;
  uint64_t chat;
  uint64_t target;
  uint32_t ttl_ms;
};

struct wire_notes
{
  uint32_t count;
  struct wire_note note[WIRE_NOTES_MAX];
};

struct wire_message
{
  enum wire_kind kind;
  uint32_t sender;
  uint64_t incarnation;
  uint64_t sequence;
  union
  {
    struct wire_heartbeat heartbeat;
    struct wire_grant_request grant_request;
    struct wire_grant_answer answer;
    struct wire_release release;
    struct wire_hold hold;
    struct wire_notes notes;
  } u;
};

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
