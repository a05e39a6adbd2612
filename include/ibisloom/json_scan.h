/* Splits JSON text into its parts without parsing them, so that a part that
   cannot be parsed costs no other. */
#ifndef IBISLOOM_JSON_SCAN_H
#define IBISLOOM_JSON_SCAN_H

#include <stddef.h>
#include <jansson.h>

/* Bytes within a text; not terminated by a null byte. */
struct scan_text
{
  const char *at;
  size_t length;
};

json_t *scan_object (struct scan_text object, const char *const *apart,
                     struct scan_text *parts, size_t count);
int scan_array (struct scan_text array, struct scan_text *rest);
int scan_next (struct scan_text *rest, struct scan_text *element);
int scan_skip (struct scan_text *rest, size_t length);
int scan_members (struct scan_text object, struct scan_text *rest);
int scan_next_member (struct scan_text *rest, struct scan_text *key,
                      struct scan_text *value);
size_t scan_depth (struct scan_text value);
json_t *scan_parse (struct scan_text value);

#endif
