/* What the instances' logs say of a request, and of all. */
#ifndef CTL_LOG_H
#define CTL_LOG_H

#include <stdio.h>

int ctl_explain (FILE *in, const char *request_id, int as_json);
int ctl_summary (FILE *in, int as_json);

#endif
