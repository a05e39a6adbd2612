/* What the instances' logs say of a request, and of all. */
#ifndef CTL_LOG_H
#define CTL_LOG_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

/* Lines of a log, in the order of their time. */
struct ctl_lines
{
  GPtrArray *all; /* of json_t */
};

int ctl_explain (FILE *in, const char *request_id, int as_json);
int ctl_summary (FILE *in, int as_json);
int ctl_audit (FILE *in, int as_json);

struct ctl_lines ctl_read_lines (FILE *in);
void ctl_free_lines (struct ctl_lines *lines);
const char *ctl_text (const json_t *line, const char *key);
int64_t ctl_number (const json_t *line, const char *key);
void ctl_print_line (const json_t *line);
const char *ctl_describe_outcome (const char *reason);

#endif
