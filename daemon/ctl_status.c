/* Tables of the command status. */
#include <stdio.h>
#include <string.h>

#include "ctl_status.h"

/* Prints the status of one instance as a line.  */
void
ctl_print_instance (const char *server, json_t *json)
{
  const char *preset = json_string_value (json_object_get (json, "preset"));
  json_t *members = json_object_get (json, "members");
  json_t *member;
  size_t i;
  int usable = 0;

  json_array_foreach (members, i, member)
  {
    usable += json_is_true (json_object_get (member, "usable"));
  }
  printf (
      "%-22s %-14s %-9s %9lld %-12s %5lld %d of %zu\n", server,
      json_string_value (json_object_get (json, "instance")),
      json_is_true (json_object_get (json, "stopping")) ? "stopping"
      : json_is_true (json_object_get (json, "ready"))  ? "ready"
                                                        : "starting",
      (long long)json_integer_value (json_object_get (json, "revision")),
      preset ? preset : "-",
      (long long)json_integer_value (json_object_get (json, "open_requests")),
      usable, json_array_size (members));
}

/* Prints the targets as a table.  */
void
ctl_print_targets (json_t *json)
{
  json_t *target;
  size_t i;

  printf ("\n%-16s %-14s %-12s %-8s %5s %5s\n", "SERVICE", "TARGET", "DOMAIN",
          "STATE", "SLOTS", "LOAD");
  json_array_foreach (json_object_get (json, "targets"), i, target)
  {
    json_t *load = json_object_get (target, "load");

    printf ("%-16s %-14s %-12s %-8s %5lld ",
            json_string_value (json_object_get (target, "service")),
            json_string_value (json_object_get (target, "name")),
            json_string_value (json_object_get (target, "failure_domain")),
            json_string_value (json_object_get (target, "state")),
            (long long)json_integer_value (json_object_get (target, "slots")));
    if (load != NULL)
      printf ("%5lld\n", (long long)json_integer_value (load));
    else
      printf ("%5s\n", "-");
  }
}

/* Prints the counters of refusals, retries and denials.  */
void
ctl_print_counters (json_t *json)
{
  const char *name;
  json_t *value;

  printf ("\n%10s %s\n", "COUNT", "REFUSALS, RETRIES AND DENIALS");
  json_object_foreach (json_object_get (json, "counters"), name, value)
  {
    if (strstr (name, "refused") || strstr (name, "retries")
        || strstr (name, "denied"))
      printf ("%10lld %s\n", (long long)json_integer_value (value), name);
  }
}
