/* What targets have said in their responses, kept for each process.  It
   outlasts the target's entry: the record of a removed target has it.  */
#include <string.h>

#include "ibisloom/registry.h"

static struct reg_gone *find_gone (const struct registry *registry,
                                   const char *id);

/* Handles that ENTRY, at POSITION, was read of TARGET.  */
void
reg_read_process (struct reg_target *target, const struct reg_entry *entry,
                  struct position position)
{
  const struct pause_process read = { .incarnation = entry->incarnation,
                                      .software = entry->software,
                                      .reports = entry->reports,
                                      .epoch = position.epoch };

  if (!pause_read_process (&target->notice, &read))
    return;
  target->process++;
  target->process_position = position;
  target->bad_notices = 0;
}

/* Gives TARGET, which is new, what was said under its name before its entry
   was removed.  If nothing in the entries tells processes apart, the removal
   is taken for the end of the process.  */
void
reg_recall_notice (const struct registry *registry, struct reg_target *target)
{
  const struct reg_gone *gone = find_gone (registry, target->id);

  if (gone != NULL
      && (gone->notice.process.incarnation != 0
          || gone->notice.process.reports != 0))
    target->notice = gone->notice;
}

/* Returns the record of the last removal of the target ID, or NULL.  */
static struct reg_gone *
find_gone (const struct registry *registry, const char *id)
{
  for (const GList *at = registry->gone.tail; at != NULL; at = at->prev)
    if (strcmp (((const struct reg_gone *)at->data)->id, id) == 0)
      return at->data;
  return NULL;
}

/* Returns the notice of the PROCESS of TARGET, as counted when a request was
   sent there, or NULL if it is not kept.  If the entry was removed since, or
   names another address, the process is looked for by its incarnation.  */
struct pause_notice *
reg_find_notice (struct registry *registry, struct reg_target *target,
                 uint32_t process)
{
  uint64_t incarnation = target->notice.process.incarnation;
  struct reg_target *current;
  struct reg_gone *gone;

  if (target->process != process)
    return NULL;
  if (target->registry != NULL)
    return &target->notice;
  if (incarnation == 0)
    return NULL;
  current = reg_find (registry, target->id);
  if (current != NULL)
    return current->notice.process.incarnation == incarnation
               ? &current->notice
               : NULL;
  gone = find_gone (registry, target->id);
  return gone != NULL && gone->notice.process.incarnation == incarnation
             ? &gone->notice
             : NULL;
}

/* Records that another instance has told that the process INCARNATION of
   TARGET is leaving, of which it has read the entry at POSITION.  If entries
   do not tell the incarnation, the process is the known one if this entry is
   none of an earlier process.  Returns whether that was not known.  */
int
reg_apply_leaving (struct reg_target *target, uint64_t incarnation,
                   struct position position)
{
  if (target->notice.is_leaving
      || incarnation != target->notice.process.incarnation
      || (incarnation == 0
          && pos_compare (position, target->process_position) < 0))
    return 0;
  target->notice.is_leaving = 1;
  target->leaving = 1;
  return 1;
}
