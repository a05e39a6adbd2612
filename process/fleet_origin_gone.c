/* The objects of other instances in the store that tell which versions began
   streams: they are removed when the instance has been gone for long.  */
#include <string.h>

#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "libfleet.h"

enum
{
  OBJECTS_MAX = FLEET_PEERS_MAX
};

/* Object of another instance. */
struct foreign_object
{
  char *name;
  uint64_t revision;
};

static void free_object (gpointer data);
static int is_gone (const struct fleet *fleet, const char *name, clk_ms now);

/* Returns an empty array of the objects of other instances.  */
GPtrArray *
fleet_objects_new (void)
{
  return g_ptr_array_new_with_free_func (free_object);
}

/* Frees DATA, a struct foreign_object.  */
static void
free_object (gpointer data)
{
  struct foreign_object *object = data;

  g_free (object->name);
  g_free (object);
}

/* Remembers that OBJECT, of another instance, is there.  */
void
fleet_remember_object (struct fleet *fleet, const struct watch_object *object)
{
  GPtrArray *objects = fleet->origin_objects;
  struct foreign_object *known;

  for (guint i = 0; i < objects->len; i++)
    {
      known = g_ptr_array_index (objects, i);
      if (strcmp (known->name, object->name) != 0)
        continue;
      known->revision = object->position.revision;
      return;
    }
  if (objects->len == OBJECTS_MAX)
    return;
  known = g_new0 (struct foreign_object, 1);
  known->name = g_strdup (object->name);
  known->revision = object->position.revision;
  g_ptr_array_add (objects, known);
}

/* Finds an object that is for this instance to remove: that of an instance
   that has been gone for long, for which this one ranks first.  Appends the
   URL that removes an object of KIND to URL, and forgets the object.  Returns
   whether there is one.  */
int
fleet_next_removal (struct fleet *fleet, const char *kind, GString *url)
{
  GPtrArray *objects = fleet->origin_objects;
  clk_ms now = clk_now (clk_monotonic ());

  for (guint i = 0; i < objects->len; i++)
    {
      const struct foreign_object *object = g_ptr_array_index (objects, i);

      if (!is_gone (fleet, object->name, now))
        continue;
      fleet->store->removal_url (url, kind, object->name, object->revision);
      log_info ("origins", NULL, "removed", "object of %s", object->name);
      g_ptr_array_remove_index (objects, i);
      return 1;
    }
  return 0;
}

/* Returns whether the instance NAME has been silent for long, and its object
   is for this instance to remove.  */
static int
is_gone (const struct fleet *fleet, const char *name, clk_ms now)
{
  uint32_t id = (uint32_t)rank_hash (name);
  const struct fleet_peer *peer
      = g_hash_table_lookup (fleet->peers, GUINT_TO_POINTER (id));

  return (peer == NULL || peer->last_seen_ms == 0
          || now - peer->last_seen_ms > ORIGIN_KEPT_MS)
         && fleet_ranks_first (fleet, id, now);
}
