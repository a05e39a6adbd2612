/* Interface of one platform: its header names, its value formats and the
   layout of its object store. */
#ifndef IBISLOOM_DIALECT_H
#define IBISLOOM_DIALECT_H

#include <stdint.h>

#include "ibisloom/config_text.h"
#include "ibisloom/registry.h"
#include "ibisloom/routes.h"
#include "ibisloom/watch.h"

/* Header fields by their meaning. */
enum dialect_field
{
  DIALECT_ATTEMPT_ID,   /* id of the request; new in a client's retry */
  DIALECT_DEADLINE_MS,  /* time the client still waits, in ms */
  DIALECT_RESUME_AFTER, /* id of the last event the client received */
  DIALECT_RESUMES,      /* id of the attempt that brought the first event */
  DIALECT_PROMPT_PARTS,
  DIALECT_TOKEN_USAGE,     /* prompt tokens, maximum response tokens */
  DIALECT_CREDENTIAL,      /* carries a customer's API key */
  DIALECT_CUSTOMER,        /* customer that owns the key, set for the target */
  DIALECT_TARGET_ID,       /* target addressed, or sending the response */
  DIALECT_EXPECTED_TARGET, /* the only target that may execute the request */
  DIALECT_SIGNATURE,       /* shows that the response comes from a target */
  DIALECT_TARGET_LOAD,     /* requests running and waiting, slots, slowness */
  DIALECT_TARGET_RATE,     /* requests per second that the target takes */
  DIALECT_TARGET_BRITTLE,  /* requests that it may turn away in a second */
  DIALECT_TARGET_LEAVING,  /* the target is leaving */
  DIALECT_NOT_RUN,         /* the target did not execute the request */
  DIALECT_RETRY_AFTER,
  DIALECT_CONTEXT_SOURCE, /* address of a target to copy the context from */
  DIALECT_PRIORITY,       /* admission priority at the target */
  DIALECT_FIELD_COUNT
};

/* Part of a prompt. */
struct dialect_part
{
  uint64_t id;
  uint32_t tokens; /* its length */
};

/* Load that a target reports.  -1: not named, or unreadable. */
struct dialect_load
{
  int32_t running;
  int32_t waiting;
  int32_t slots;
  int32_t slowness;       /* see WORK_SLOWNESS_NORMAL */
  uint8_t has_unreadable; /* a figure that is named cannot be read */
};

struct dialect
{
  const char *field[DIALECT_FIELD_COUNT];
  /* Fields that only the router may set.  They are removed from a client's
     request.  NULL-terminated.  */
  const char *const *reserved;
  /* What precedes the API key in a credential.  */
  const char *credential_scheme;

  /* Returns the API key in CREDENTIAL, or NULL.  */
  const char *(*key) (const char *credential);
  /* Parse a header value.  Each returns 0, or -1 if VALUE is malformed; of a
     load, what can be read is used.
     PARTS, of struct dialect_part, receives the parts of a prompt in order,
     the shared ones first.  */
  int (*prompt) (const char *value, GArray *parts);
  int (*tokens_out) (const char *value, int64_t *tokens);
  void (*load) (const char *value, struct dialect_load *load);
  int (*rate) (const char *value, double *per_s);
  int (*brittle) (const char *value, uint32_t *rejections_max);
  int (*leaving) (const char *value, int *is_leaving);
  /* Stores the time for which a target wants no requests; INT64_MAX stands
     for any that is larger.  */
  int (*pause) (const char *value, int64_t *pause_ms);
  /* Access to the object store, and the kinds of objects in it.  */
  const struct watch_protocol *store;
  const char *config_kind;
  const char *config_name;
  const char *targets_kind;
  const char *members_kind;     /* the router's own instances */
  const char *origins_kind;     /* origins of streams, by instance */
  const char *evacuations_kind; /* named by the evacuated failure domain */
  /* Returns the configuration in TEXT, or NULL if it is malformed.  What
     BEFORE, which may be NULL, has of the same text is shared.  */
  struct cfg_text *(*config) (GBytes *text, const struct cfg_text *before);
  /* Stores the version of the configuration in TEXT.  Returns 0, or -1 if it
     can only be found by reading all of TEXT.  */
  int (*config_version) (struct scan_text text, uint64_t *version);
  /* Parses the registry entry of a target.  Returns 0, or -1 if CONTENT
     does not describe a target.  */
  int (*target) (const char *name, const json_t *content,
                 struct reg_entry *entry);
  /* Path of the readiness check.  */
  const char *ready_path;
  /* Path of the list of prompt parts that a target holds.  */
  const char *held_path;
  /* Parses that list and appends its entries to PARTS, of struct dialect_part.
     Those that cannot be read are counted in UNREADABLE.  Returns 0, or -1 if
     the list as a whole is malformed.  */
  int (*held) (const char *text, size_t length, GArray *parts,
               uint32_t *unreadable);
};

#endif
