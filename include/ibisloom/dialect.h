/* How callers and targets are spoken to: names of fields and their forms. */
#ifndef IBISLOOM_DIALECT_H
#define IBISLOOM_DIALECT_H

#include <stdint.h>

#include "ibisloom/follow.h"
#include "ibisloom/registry.h"
#include "ibisloom/routes.h"

/* Header fields by what they hold. */
enum dialect_field
{
  DIALECT_ATTEMPT_ID,   /* of one request; a caller's repeat has another */
  DIALECT_DEADLINE_MS,  /* how much longer the caller waits */
  DIALECT_RESUME_AFTER, /* last event that the caller has */
  DIALECT_PROMPT_PARTS,
  DIALECT_TOKEN_USAGE,     /* of the prompt, and at most of the answer */
  DIALECT_CREDENTIAL,      /* a customer's key */
  DIALECT_CUSTOMER,        /* the key's customer, told to the target */
  DIALECT_TARGET_ID,       /* target that is meant, or that answers */
  DIALECT_EXPECTED_TARGET, /* target that alone may run the request */
  DIALECT_SIGNATURE,       /* proves that an answer is a target's */
  DIALECT_TARGET_LOAD,     /* running, waiting, slots of a target */
  DIALECT_NOT_RUN,         /* the target did not run the request */
  DIALECT_RETRY_AFTER,
  DIALECT_PRIORITY, /* in which order a target admits */
  DIALECT_FIELD_COUNT
};

enum
{
  DIALECT_PROMPT_PARTS_MAX = 32
};

/* Shared and own parts of a prompt, in order. */
struct dialect_prompt
{
  uint32_t count;
  uint64_t id[DIALECT_PROMPT_PARTS_MAX];
  uint32_t tokens[DIALECT_PROMPT_PARTS_MAX];
};

struct dialect
{
  const char *field[DIALECT_FIELD_COUNT];
  /* Fields that only this system may set, removed from a caller's request;
     ends with NULL.  */
  const char *const *reserved;
  /* Returns the key in a credential, or NULL.  */
  const char *(*key) (const char *credential);
  /* Each returns 0, or -1 if VALUE is malformed.  */
  int (*prompt) (const char *value, struct dialect_prompt *prompt);
  int (*tokens_out) (const char *value, int64_t *tokens);
  int (*load) (const char *value, int32_t *running, int32_t *waiting,
               int32_t *slots);
  /* The store: kinds of objects, and what they hold.  */
  const struct fol_dialect *store;
  const char *config_kind;
  const char *config_name;
  const char *targets_kind;
  const char *members_kind; /* this system's own */
  /* Returns the version in CONTENT, or NULL if it cannot be read.  */
  struct rt_table *(*config) (const json_t *content);
  /* Reads the entry of a target.  Returns 0, or -1 if it names none.  */
  int (*target) (const char *name, const json_t *content,
                 struct reg_entry *entry);
  const char *ready_path;
};

#endif
