/* Scripted targets that fall over when they turn away too many requests. */
#ifndef BRITTLE_FIXTURE_H
#define BRITTLE_FIXTURE_H

#include <stdint.h>

/* How a target works. */
struct brittle_script
{
  int entry_slots; /* told in its entry and in its load */
  int slots;       /* requests that it runs at the same time */
  int queue;       /* that wait besides */
  int work_ms;     /* for each request */
  int events;      /* of the stream that it answers with; 0: a plain answer */
  int contact_ms;  /* after it first said so, it may fall */
  int back_ms;     /* from a fall until it is back */
  int has_new_entry; /* it is back with an entry of a new process */
  void (*executed) (const char *id); /* called for each request that it runs,
                                        unless NULL */
};

/* What happened at a target. */
struct brittle_counts
{
  int arrivals;
  int rejections;
  int falls;
  int worked;        /* requests that have left their slots */
  int64_t worked_us; /* time that these were there */
};

struct brittle_target;

struct brittle_target *
brittle_target_add (const char *id, const char *service,
                    const struct brittle_script *script);
void brittle_target_say (struct brittle_target *target, int rejections_max);
void brittle_target_set_queue (struct brittle_target *target, int queue);
void brittle_target_crash (struct brittle_target *target);
struct brittle_counts brittle_target_counts (struct brittle_target *target);
void brittle_targets_stop (void);

#endif
