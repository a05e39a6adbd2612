/* ibisctl explain: prints what the logs say about one request. */
#include <stdint.h>
#include <stdio.h>

#include "ctl_log.h"

enum
{
  FOUND = 0,
  NOT_FOUND = 1
};

#define UNKNOWN_REASON_TEXT                                                   \
  "ended for a reason that this version of ibisctl does not know"

/* Descriptions of the outcomes for the user. */
static const struct
{
  const char *reason;
  const char *description;
} outcomes[] = {
  { "answered", "the target's answer was passed on whole" },
  { "target_error", "the target answered with an error, which was passed on" },
  { "sender_lost",
    "the instance that had sent the request here was no longer heard" },
  { "caller_gone", "the caller left before the answer was complete" },
  { "bad_request", "refused: the request lacks what every request needs" },
  { "unknown_route",
    "refused: no route of the version in force matches host and path" },
  { "unknown_key",
    "refused: the key stands for no customer in the version in force" },
  { "not_configured",
    "refused: the instance had not read the store yet; not run" },
  { "stopping", "refused: the instance was about to end; not run" },
  { "no_target", "refused: no target of the service was usable; not run" },
  { "all_full", "refused: every usable target was at its bound; not run" },
  { "target_full", "refused: the target said that it is full; not run" },
  { "no_connection",
    "refused: no target could be connected to in time; not run" },
  { "target_failed", "failed: the attempts at targets failed; may have run" },
  { "deadline", "failed: the time was over; may have run" },
  { "deadline_unsent", "refused: the time was over; not run" },
  { "rates_used_up",
    "refused: every usable target was at its rate limit; not run" },
  { "origin_unknown",
    "refused: it is not known which version began the stream; not run" },
  { "version_gone",
    "refused: no target of the version that began the stream is left; not "
    "run" },
  { "evacuated",
    "refused: all targets are in failure domains that are evacuated; not "
    "run" },
  { "paused", "refused: every usable target has asked for a pause; not run" },
  { "hop_refused", "refused: the instance is cut off from the targets, and "
                   "the others that it "
                   "was sent through refused it; not run" },
  { "over_share",
    "refused: capacity was scarce, and more urgent requests or customers with "
    "a smaller share had it; not run" },
  { "queue_full",
    "refused: capacity was scarce, and its turn would not have come in time; "
    "not run" },
  { "queue_late",
    "refused: it waited for capacity until too little time was left; not "
    "run" },
  { "quarantined",
    "refused: a part of the prompt has crashed targets; not run" },
  { "retry_budget",
    "failed: an attempt failed and the fleet's budget for repeats was spent" },
};

static const json_t *outcome_of (const struct ctl_lines *lines,
                                 const char *id);
static const json_t *last_before (const struct ctl_lines *lines,
                                  const json_t *until, const char *module,
                                  const char *target);
static void print_context (const struct ctl_lines *lines, const char *id,
                           const json_t *until);

/* Reads logs from IN and prints the lines of REQUEST_ID at all instances, the
   state of the instance that ended it, and the cause.  Returns the exit
   status.  */
int
ctl_explain (FILE *in, const char *request_id, int as_json)
{
  struct ctl_lines lines = ctl_read_lines (in);
  const json_t *outcome = outcome_of (&lines, request_id);
  const char *cause = outcome != NULL
                          ? ctl_describe_outcome (ctl_text (outcome, "reason"))
                          : NULL;
  json_t *found = json_array ();

  for (guint i = 0; i < lines.all->len; i++)
    {
      json_t *line = g_ptr_array_index (lines.all, i);

      if (g_strcmp0 (ctl_text (line, "request_id"), request_id) != 0)
        continue;
      json_array_append (found, line);
      if (!as_json)
        ctl_print_line (line);
    }
  if (as_json)
    {
      json_t *out = json_pack ("{s:s,s:O,s:s?}", "request_id", request_id,
                               "lines", found, "cause", cause);

      json_dumpf (out, stdout, JSON_INDENT (2));
      printf ("\n");
      json_decref (out);
    }
  else if (outcome != NULL)
    {
      print_context (&lines, request_id, outcome);
      printf ("\n%s: %s\n", request_id,
              cause != NULL ? cause : UNKNOWN_REASON_TEXT);
    }
  else
    printf ("%s: no outcome in the logs\n", request_id);
  json_decref (found);
  ctl_free_lines (&lines);
  return outcome != NULL ? FOUND : NOT_FOUND;
}

/* Returns the line with the outcome of request ID, or NULL.  */
static const json_t *
outcome_of (const struct ctl_lines *lines, const char *id)
{
  const json_t *found = NULL;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (g_strcmp0 (ctl_text (line, "request_id"), id) == 0
          && g_strcmp0 (ctl_text (line, "module"), "request") == 0)
        found = line;
    }
  return found;
}

/* Returns the last line that the instance of UNTIL wrote before UNTIL in
   MODULE and, unless TARGET is NULL, about TARGET.  Returns NULL if there is
   none.  */
static const json_t *
last_before (const struct ctl_lines *lines, const json_t *until,
             const char *module, const char *target)
{
  const json_t *found = NULL;

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (line == until)
        break;
      if (g_strcmp0 (ctl_text (line, "instance"), ctl_text (until, "instance"))
              == 0
          && g_strcmp0 (ctl_text (line, "module"), module) == 0
          && (target == NULL
              || g_strcmp0 (ctl_text (line, "target"), target) == 0))
        found = line;
    }
  return found;
}

/* Prints the state of the instance that wrote UNTIL, the outcome of request
   ID, at that time: its configuration, store and fleet, and the registry
   entries of the targets involved.  */
static void
print_context (const struct ctl_lines *lines, const char *id,
               const json_t *until)
{
  static const char *const modules[] = { "config", "store", "fleet" };
  GHashTable *printed = g_hash_table_new (g_str_hash, g_str_equal);

  printf ("\nstate of %s at that time:\n", ctl_text (until, "instance"));
  for (size_t i = 0; i < G_N_ELEMENTS (modules); i++)
    {
      const json_t *line = last_before (lines, until, modules[i], NULL);

      if (line != NULL)
        ctl_print_line (line);
    }
  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);
      const char *target = ctl_text (line, "target");
      const json_t *registry_line;

      if (target == NULL || g_strcmp0 (ctl_text (line, "request_id"), id) != 0
          || !g_hash_table_add (printed, (gpointer)(uintptr_t)target))
        continue;
      registry_line = last_before (lines, until, "registry", target);
      if (registry_line != NULL)
        ctl_print_line (registry_line);
    }
  g_hash_table_destroy (printed);
}

/* Returns the description of the outcome REASON, or NULL if it is unknown.  */
const char *
ctl_describe_outcome (const char *reason)
{
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (g_strcmp0 (outcomes[i].reason, reason) == 0)
      return outcomes[i].description;
  return NULL;
}
