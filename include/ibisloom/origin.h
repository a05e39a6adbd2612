/* Origins of streams: the software version that began each stream, and the
   software versions that serve or have served lately.  What two versions write
   does not fit together, so a stream goes on only at the version that began
   it. */
#ifndef IBISLOOM_ORIGIN_H
#define IBISLOOM_ORIGIN_H

#include <stddef.h>
#include <stdint.h>

#include "ibisloom/clock.h"

enum
{
  /* Longer than a client can take up a stream after its first event, or after
     the last target of its version has gone.  */
  ORIGIN_KEPT_MS = 60000
};

/* Who learned the origin of a stream first. */
enum origin_source
{
  ORIGIN_OWN,    /* this instance has forwarded the first event */
  ORIGIN_PEER,   /* another instance has told this one */
  ORIGIN_STORED, /* an object in the store, written by another instance */
  ORIGIN_SOURCE_COUNT
};

struct origin_record
{
  uint64_t attempt;  /* hash of the attempt id that brought the first event */
  uint64_t software; /* see origin_software */
};

/* Attempt that began a stream here, or the start of a process of its
   target. */
struct origin_attempt
{
  uint64_t target;   /* hash of its id */
  int64_t sent_ms;   /* Unix time */
  uint64_t software; /* of the target, as known then; see origin_software */
};

/* Software version of the targets of one service. */
struct origin_version
{
  uint64_t service;  /* hash of its name */
  uint64_t software; /* see origin_software */
};

/* Position in an iteration; zeroed at its start. */
struct origin_cursor
{
  size_t next;
  int with_expected; /* list streams that are expected to begin too */
};

struct origins;

struct origins *origin_new (void);
void origin_free (struct origins *origins);
uint64_t origin_software (const char *service, const char *version);
void origin_add (struct origins *origins, const struct origin_record *record,
                 enum origin_source source, clk_ms now);
void origin_add_told (struct origins *origins,
                      const struct origin_record *record, uint32_t teller,
                      clk_ms now);
void origin_set_attempt (struct origins *origins, uint64_t stream,
                         const struct origin_attempt *attempt);
int origin_correct (struct origins *origins, struct origin_cursor *cursor,
                    const struct origin_attempt *started,
                    struct origin_record *record);
void origin_expect (struct origins *origins,
                    const struct origin_record *record, clk_ms now);
void origin_end (struct origins *origins, uint64_t attempt);
uint64_t origin_find (const struct origins *origins, uint64_t attempt);
enum origin_source origin_learned_from (const struct origins *origins,
                                        uint64_t attempt);
uint64_t origin_service (const struct origins *origins, uint64_t software);
int origin_see_version (struct origins *origins,
                        const struct origin_version *version, clk_ms now);
uint64_t origin_only_version (const struct origins *origins, uint64_t service);
int origin_versions_differ (const struct origins *origins);
void origin_expire (struct origins *origins, clk_ms now);
int origin_next_own (const struct origins *origins,
                     struct origin_cursor *cursor,
                     struct origin_record *record);
int origin_next_seen (const struct origins *origins,
                      struct origin_cursor *cursor,
                      struct origin_version *version, clk_ms *seen_ms);
int origin_next_version (const struct origins *origins,
                         struct origin_cursor *cursor,
                         struct origin_version *version);

#endif
