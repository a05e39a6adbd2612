/* Registered targets, and what this instance knows of them. */
#include <string.h>

#include "ibisloom/rank.h"
#include "ibisloom/registry.h"

enum
{
  /* After an outage of the store, entries that expired meanwhile are
     registered again within this time.  */
  REREGISTER_MS = 2200,
  /* Longer than the entry of a silent target stays in the store.  */
  RESTORED_TRUSTED_MS = 10000,
  /* A target that has started again has written its new entry, and the entry
     has arrived, in this time after the last failure to reach it.  */
  DOUBT_MS = 3000,
  GONE_MAX = 1024
};

/* Share of the drain time for which a target with a missing entry is kept. */
static const double MISSING_GRACE_SHARE = 0.4;

static void target_free (struct reg_target *target);
static struct reg_target *add_target (struct registry *registry,
                                      const struct reg_entry *entry);
static int keeps_leaving (const struct reg_target *target,
                          const struct reg_entry *entry,
                          struct position position);
static int is_older_report (const struct reg_target *target,
                            const struct reg_entry *entry,
                            struct position position);
static void remember_gone (struct registry *registry,
                           const struct reg_target *target,
                           struct position position);
static int was_gone (const struct registry *registry,
                     const struct reg_entry *entry, struct position position);
static struct room_service *add_service (struct registry *registry,
                                         const char *service);
static struct work_speed *add_speed (struct registry *registry,
                                     const char *service);
static void drop_target (struct registry *registry, struct reg_target *target);
static void reset_history (struct reg_target *target);
static void report_load_change (struct reg_target *target, int started);

/* Returns an empty registry.  */
struct registry *
reg_new (void)
{
  struct registry *registry = g_new0 (struct registry, 1);

  registry->targets = g_hash_table_new (g_str_hash, g_str_equal);
  registry->by_hash = g_hash_table_new (NULL, NULL);
  registry->array = g_ptr_array_new ();
  registry->evacuated = g_hash_table_new (NULL, NULL);
  registry->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  registry->paces = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  registry->speeds = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_queue_init (&registry->gone);
  return registry;
}

/* Frees REGISTRY and its targets; a target in use is freed when its last
   request ends.  */
void
reg_free (struct registry *registry)
{
  while (registry->array->len > 0)
    drop_target (registry, g_ptr_array_index (registry->array, 0));
  g_hash_table_destroy (registry->targets);
  g_hash_table_destroy (registry->by_hash);
  g_hash_table_destroy (registry->evacuated);
  g_hash_table_destroy (registry->services);
  g_hash_table_destroy (registry->paces);
  g_hash_table_destroy (registry->speeds);
  g_ptr_array_free (registry->array, TRUE);
  g_queue_clear_full (&registry->gone, g_free);
  g_free (registry);
}

/* Adds or updates the target of ENTRY, which has POSITION (revision 0:
   unknown).  An entry older than the known one is ignored.  Returns whether
   the target is new or was restarted, or whether leaving changed.

   When the store was restored, an entry may have a later position than the
   known one and yet be an older report of the target.  Then a target that is
   leaving stays so.  One whose entry had been removed is missing until the
   entry would have expired if the target did not keep it.  */
int
reg_put (struct registry *registry, const struct reg_entry *entry,
         struct position position, clk_ms now)
{
  struct reg_target *target
      = g_hash_table_lookup (registry->targets, entry->id);
  int is_new = target == NULL;
  int is_restored = 0;
  int is_withheld = 0;
  struct pause_notice notice = { 0 };

  if (target != NULL && position.revision != 0
      && pos_compare (position, target->position) < 0)
    return 0;
  if (target != NULL && keeps_leaving (target, entry, position))
    {
      target->unlisted = 0;
      target->missing_until_ms = 0;
      return 0;
    }
  if (target != NULL && target->is_restored
      && pos_compare (position, target->position) == 0)
    {
      target->unlisted = 0;
      return 0;
    }
  if (target == NULL)
    is_withheld = was_gone (registry, entry, position);
  else if (target->missing_until_ms != 0)
    is_restored = is_older_report (target, entry, position);
  if (target != NULL)
    notice = target->notice;
  if (target != NULL
      && (strcmp (target->service, entry->service) != 0
          || memcmp (&target->address, &entry->address, sizeof target->address)
                 != 0))
    {
      if (notice.process.incarnation == 0)
        notice = (struct pause_notice){ 0 };
      drop_target (registry, target);
      target = NULL;
    }
  if (target == NULL)
    {
      target = add_target (registry, entry);
      target->process_position = position;
      target->notice = notice;
      if (is_new)
        reg_recall_notice (registry, target);
      is_new = 1;
    }
  reg_read_process (target, entry, position);
  if (entry->incarnation != target->incarnation
      || entry->software != target->software)
    {
      reset_history (target);
      target->incarnation = entry->incarnation;
      target->started_ms = entry->started_ms;
      target->software = entry->software;
      is_new = 1;
    }
  target->failure_domain = g_intern_string (entry->failure_domain);
  target->is_evacuated
      = (uint8_t)reg_is_evacuated (registry, target->failure_domain);
  is_new |= target->entry_leaving != (entry->leaving != 0);
  target->slots = entry->slots;
  target->entry_leaving = entry->leaving != 0;
  target->leaving = target->entry_leaving || target->notice.is_leaving;
  target->warm_at_ms = now + entry->warming_ms;
  target->reports = entry->reports;
  target->position = position;
  target->unlisted = 0;
  target->is_restored = is_restored || is_withheld;
  target->is_withheld = is_withheld != 0;
  target->missing_until_ms
      = target->is_restored ? now + RESTORED_TRUSTED_MS : 0;
  return is_new;
}

/* Returns the state of SERVICE, which is interned, added if it is new.  */
static struct room_service *
add_service (struct registry *registry, const char *service)
{
  struct room_service *state = reg_room_service (registry, service);

  if (state != NULL)
    return state;
  state = g_new0 (struct room_service, 1);
  g_hash_table_insert (registry->services, (gpointer)service, state);
  return state;
}

/* Returns how fast targets of SERVICE, which is interned, read prompts; added
   if it is new.  */
static struct work_speed *
add_speed (struct registry *registry, const char *service)
{
  struct work_speed *speed = g_hash_table_lookup (registry->speeds, service);

  if (speed != NULL)
    return speed;
  speed = g_new0 (struct work_speed, 1);
  g_hash_table_insert (registry->speeds, (gpointer)service, speed);
  return speed;
}

/* Returns whether targets of SERVICE, which is interned, are brittle, or NULL
   if it has had no targets.  */
struct room_service *
reg_room_service (const struct registry *registry, const char *service)
{
  return g_hash_table_lookup (registry->services, service);
}

/* Returns the room of TARGET, added if nothing is known of it.  */
struct room *
reg_get_room (struct reg_target *target)
{
  if (target->room != NULL)
    return target->room;
  target->room = g_new (struct room, 1);
  room_init (target->room);
  return target->room;
}

/* Adds the target of ENTRY, which is not known, and returns it.  */
static struct reg_target *
add_target (struct registry *registry, const struct reg_entry *entry)
{
  struct reg_target *target = g_new0 (struct reg_target, 1);

  target->registry = registry;
  target->id = g_strdup (entry->id);
  target->hash = rank_hash (entry->id) & UINT32_MAX;
  target->service = g_intern_string (entry->service);
  target->room_service = add_service (registry, target->service);
  target->pace_service
      = g_hash_table_lookup (registry->paces, target->service);
  if (target->pace_service == NULL)
    {
      target->pace_service = g_new0 (struct pace_service, 1);
      g_hash_table_insert (registry->paces, (gpointer)target->service,
                           target->pace_service);
    }
  target->work_service = add_speed (registry, target->service);
  target->failure_domain = g_intern_string (entry->failure_domain);
  target->address = entry->address;
  target->references = 1;
  target->serial = ++registry->last_serial;
  target->incarnation = entry->incarnation;
  target->started_ms = entry->started_ms;
  target->software = entry->software;
  g_hash_table_insert (registry->targets, target->id, target);
  g_hash_table_insert (registry->by_hash, GSIZE_TO_POINTER (target->hash),
                       target);
  g_ptr_array_add (registry->array, target);
  return target;
}

/* Returns whether ENTRY, at POSITION, is no newer report than that by which
   its target is known to be leaving.  */
int
reg_keeps_leaving (struct registry *registry, const struct reg_entry *entry,
                   struct position position)
{
  const struct reg_target *target
      = g_hash_table_lookup (registry->targets, entry->id);

  return target != NULL && keeps_leaving (target, entry, position);
}

/* Implements reg_keeps_leaving for TARGET.  */
static int
keeps_leaving (const struct reg_target *target, const struct reg_entry *entry,
               struct position position)
{
  return target->entry_leaving && is_older_report (target, entry, position);
}

/* Returns whether ENTRY, at POSITION, is of a newer epoch than the known entry
   of TARGET, but no newer report of the same process.  */
static int
is_older_report (const struct reg_target *target,
                 const struct reg_entry *entry, struct position position)
{
  return position.epoch > target->position.epoch
         && entry->incarnation == target->incarnation
         && entry->reports <= target->reports;
}

/* Records that the entry of TARGET was removed at POSITION.  */
static void
remember_gone (struct registry *registry, const struct reg_target *target,
               struct position position)
{
  struct reg_gone *gone = g_new0 (struct reg_gone, 1);

  g_strlcpy (gone->id, target->id, sizeof gone->id);
  gone->incarnation = target->incarnation;
  gone->reports = target->reports;
  gone->epoch = position.epoch;
  gone->notice = target->notice;
  g_queue_push_tail (&registry->gone, gone);
  if (registry->gone.length > GONE_MAX)
    g_free (g_queue_pop_head (&registry->gone));
}

/* Returns whether ENTRY, at POSITION, is of a newer epoch than the removal of
   its target's last entry, but no newer report of the same process.  */
static int
was_gone (const struct registry *registry, const struct reg_entry *entry,
          struct position position)
{
  for (const GList *at = registry->gone.tail; at != NULL; at = at->prev)
    {
      const struct reg_gone *gone = at->data;

      if (strcmp (gone->id, entry->id) == 0)
        return position.epoch > gone->epoch
               && entry->incarnation == gone->incarnation
               && entry->reports <= gone->reports;
    }
  return 0;
}

/* Drops the target ID, whose entry was removed at POSITION.  Returns 0 if it
   is unknown or its entry is newer.  */
int
reg_remove (struct registry *registry, const char *id,
            struct position position)
{
  struct reg_target *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL || pos_compare (target->position, position) > 0)
    return 0;
  remember_gone (registry, target, position);
  drop_target (registry, target);
  return 1;
}

/* Returns for how many milliseconds a target whose entry is missing is kept: a
   part of DRAIN_MS, for which a leaving target may get requests, since the
   removal may be reported late, by peers, and a request takes time to arrive;
   but at least until entries that expired during an outage of the store, which
   was regained REGAINED_AGO_MS ago, are registered again.  */
int64_t
reg_missing_grace_ms (int64_t drain_ms, int64_t regained_ago_ms)
{
  int64_t ms = (int64_t)((double)drain_ms * MISSING_GRACE_SHARE);

  return MAX (ms, REREGISTER_MS - regained_ago_ms);
}

/* Marks the target ID as missing since POSITION.  It is used only while the
   store seems to have lost entries (see reg_candidates), and dropped at
   DROP_AT_MS unless its entry is put again.  A leaving target is dropped at
   once.  Returns 0 if ID is unknown or its entry is newer. */
int
reg_mark_missing (struct registry *registry, const char *id,
                  struct position position, clk_ms drop_at_ms)
{
  struct reg_target *target = g_hash_table_lookup (registry->targets, id);

  if (target == NULL || pos_compare (target->position, position) > 0)
    return 0;
  if (target->leaving)
    return reg_remove (registry, id, position);
  target->position = position;
  target->is_restored = 0;
  target->missing_until_ms = drop_at_ms;
  return 1;
}

/* Begins a complete list: targets that are not put before reg_list_end are
   missing. */
void
reg_list_begin (struct registry *registry)
{
  for (guint i = 0; i < registry->array->len; i++)
    ((struct reg_target *)g_ptr_array_index (registry->array, i))->unlisted
        = 1;
}

/* Ends a complete list: targets missing from it are dropped at DROP_AT_MS.  */
void
reg_list_end (struct registry *registry, clk_ms drop_at_ms)
{
  registry->listed = 1;
  for (guint i = 0; i < registry->array->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (registry->array, i);

      if (!target->unlisted
          || (target->missing_until_ms != 0 && !target->is_restored))
        continue;
      target->is_restored = 0;
      target->missing_until_ms = drop_at_ms;
    }
}

/* Drops the targets whose entries are still missing and whose grace time has
   ended at NOW.  Those that are in the store again are no longer missing.
   Returns how many were dropped.  */
uint32_t
reg_expire (struct registry *registry, clk_ms now)
{
  uint32_t dropped = 0;

  for (guint i = registry->array->len; i > 0; i--)
    {
      struct reg_target *target = g_ptr_array_index (registry->array, i - 1);

      if (target->missing_until_ms == 0 || now < target->missing_until_ms)
        continue;
      target->missing_until_ms = 0;
      if (target->is_restored)
        {
          target->is_restored = 0;
          target->is_withheld = 0;
          continue;
        }
      remember_gone (registry, target, target->position);
      drop_target (registry, target);
      dropped++;
    }
  return dropped;
}

/* Returns the target ID, or NULL.  */
struct reg_target *
reg_find (struct registry *registry, const char *id)
{
  return g_hash_table_lookup (registry->targets, id);
}

/* Returns the target whose id hashes to HASH, or NULL.  */
struct reg_target *
reg_find_hash (struct registry *registry, uint64_t hash)
{
  return g_hash_table_lookup (registry->by_hash, GSIZE_TO_POINTER (hash));
}

/* Sets FN to be called with CLOSURE when a request starts or ends; NULL is
   allowed.  */
void
reg_on_load_change (struct registry *registry, reg_load_fn fn, void *closure)
{
  registry->on_load = fn;
  registry->closure = closure;
}

/* Reports a request that STARTED at TARGET, or ended there.  */
static void
report_load_change (struct reg_target *target, int started)
{
  const struct registry *registry = target->registry;

  if (registry != NULL && registry->on_load != NULL)
    registry->on_load (registry->closure, target, started);
}

/* Counts a request sent to TARGET, and keeps TARGET until reg_request_end.  */
void
reg_request_start (struct reg_target *target)
{
  target->references++;
  target->in_flight++;
  target->sent_since_report++;
  report_load_change (target, 1);
}

/* Ends a request that reg_request_start counted.  */
void
reg_request_end (struct reg_target *target)
{
  target->in_flight--;
  target->sent_since_report--;
  report_load_change (target, 0);
  if (--target->references == 0)
    target_free (target);
}

/* Returns a target that stands for the instance PEER at ADDRESS in attempts,
   until reg_peer_release.  It is in no registry.  */
struct reg_target *
reg_peer_new (uint32_t peer, const struct sockaddr_in *address)
{
  struct reg_target *target = g_new0 (struct reg_target, 1);

  target->id = g_strdup_printf ("instance-%08x", peer);
  target->hash = peer;
  target->address = *address;
  target->is_peer = 1;
  target->references = 1;
  return target;
}

/* Releases TARGET, from reg_peer_new, which lasts until its requests have
   ended.  */
void
reg_peer_release (struct reg_target *target)
{
  if (--target->references == 0)
    target_free (target);
}

/* Ends the suspensions of the targets of SERVICE, which is interned: they were
   not at fault.  */
void
reg_end_suspensions (struct registry *registry, const char *service)
{
  for (guint i = 0; i < registry->array->len; i++)
    {
      struct reg_target *target = g_ptr_array_index (registry->array, i);

      if (target->service != service)
        continue;
      target->health.suspended_until_ms = 0;
      target->health.consecutive_failures = 0;
      target->health.in_outage = 0;
    }
}

/* Records EVENT, the outcome of a request at TARGET that ended at NOW.  */
void
reg_record_outcome (struct reg_target *target, enum health_event event,
                    clk_ms now)
{
  health_record (&target->health, event, now);
  if (event == HEALTH_DISCONNECTED)
    target->broken_ms = now;
  else if (event == HEALTH_CONNECT_FAILED)
    target->unreachable_ms = now;
}

/* Returns whether TARGET may have started again at NOW without its new entry
   having arrived.  */
enum reg_doubt
reg_doubt (const struct reg_target *target, clk_ms now)
{
  if (target->unreachable_ms != 0 && now - target->unreachable_ms < DOUBT_MS)
    return REG_UNREACHABLE;
  if (target->broken_ms != 0 && now - target->broken_ms < DOUBT_MS)
    return REG_BROKEN;
  return REG_SURE;
}

/* Records LOAD, the number of requests that TARGET reported at NOW in a
   response, the request of this response included.  Returns whether the target
   had reached its load limit without that request.  */
int
reg_report_load (struct reg_target *target, int32_t load, clk_ms now)
{
  target->reported_load = load;
  target->sent_since_report = 0;
  target->reported_ms = now;
  return load - 1 > target->load_limit;
}

/* Resets the health and the reported load of TARGET, whose process was
   restarted.  */
static void
reset_history (struct reg_target *target)
{
  memset (&target->health, 0, sizeof target->health);
  target->reported_ms = 0;
  target->reported_load = 0;
  target->broken_ms = 0;
  target->unreachable_ms = 0;
  memset (&target->wait_limit, 0, sizeof target->wait_limit);
  work_reset (&target->work);
  if (target->room != NULL)
    target->room->has_said = 0;
}

/* Removes TARGET from REGISTRY, and frees it if no request uses it.  */
static void
drop_target (struct registry *registry, struct reg_target *target)
{
  g_hash_table_remove (registry->targets, target->id);
  g_hash_table_remove (registry->by_hash, GSIZE_TO_POINTER (target->hash));
  g_ptr_array_remove_fast (registry->array, target);
  target->registry = NULL;
  if (--target->references == 0)
    target_free (target);
}

/* Frees TARGET.  */
static void
target_free (struct reg_target *target)
{
  g_free (target->room);
  g_free (target->id);
  g_free (target);
}
