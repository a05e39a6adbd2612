/* Text of a configuration, split into parts, of which those that a new version
   leaves as they are cost it nothing. */
#ifndef IBISLOOM_CONFIG_TEXT_H
#define IBISLOOM_CONFIG_TEXT_H

#include "ibisloom/json_scan.h"
#include "ibisloom/routes.h"

/* Route, or the value of another member, in the text of a configuration. */
struct cfg_part
{
  uint32_t offset;
  uint32_t length;
  int member;      /* that it is the value of, or 0 for a route */
  uint64_t since;  /* version that brought it */
  uint64_t joined; /* since when it follows the part before, with the same
                      text between them */
  const struct rt_route *route; /* of the table; NULL: no route */
};

/* Configuration as it was read; immutable. */
struct cfg_text
{
  GBytes *text;
  GArray *parts; /* of struct cfg_part, in order; empty if it was not split */
  struct rt_table *table;
};

/* State while a configuration is read. */
struct cfg_reader
{
  const struct cfg_text *before; /* the version before; NULL: none */
  GBytes *text;
  GArray *parts;     /* found so far */
  guint expected;    /* part of the version before that should come next */
  guint found;       /* part of the version before that was found, plus one */
  guint last;        /* value of found for the part before */
  guint misses;      /* parts that were not where they were expected */
  GHashTable *index; /* struct scan_text to part of the version before */
};

void cfg_begin (struct cfg_reader *reader, GBytes *text,
                const struct cfg_text *before);
void cfg_reset (struct cfg_reader *reader);
struct cfg_text *cfg_end (struct cfg_reader *reader, struct rt_table *table);
int cfg_next (struct cfg_reader *reader, struct scan_text *rest,
              struct scan_text *element, const struct rt_route **known);
void cfg_add (struct cfg_reader *reader, struct scan_text text, int member,
              const struct rt_route *route);
int cfg_find_member (struct cfg_reader *reader, struct scan_text value,
                     int member);
void cfg_free (struct cfg_text *config);
struct scan_text cfg_part_text (const struct cfg_text *config, guint index);

/* config_delta.c */
char *cfg_delta (const struct cfg_text *config, uint64_t since);
GBytes *cfg_apply_delta (const struct cfg_text *before,
                         struct scan_text delta);

#endif
