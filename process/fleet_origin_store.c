/* What the fleet keeps in the store of the software versions that began
   streams, so that it outlasts the end of all instances.

   Each instance has one object: the versions that it has seen lately, and,
   while there are several versions of a service, the streams that it has begun
   (originjson.h).  It is written at intervals, if it has changed.  At its
   start an instance reads the objects of all.

   A store that has come back from an older copy lacks what came after it.  So
   an object names the epoch in which it was written, and is current in that
   one.  An instance that reads no current object does not know which versions
   the store has lost, until their targets have written their entries again.
   */
#include <string.h>

#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/originjson.h"
#include "libfleet.h"

enum
{
  CALL_TIMEOUT_MS = 1500,
  RETRY_MS = 700,
  WRITE_INTERVAL_MIN_MS = 150,
  READ_INTERVAL_MIN_MS = 1000,
  /* In this time after a restoration all live targets are in the registry
     again: they write their entries within two seconds.  */
  RETURN_MS = 3000,
  VERSIONS_READ_MAX = 256,
  FIRST_EPOCH = 1
};

/* Share of the store's writes that all instances together may use for
   this.  */
static const double WRITES_SHARE = 0.1;

struct fleet_origin_store
{
  const char *kind;
  ev_timer timer; /* until the next write, or a call is repeated */
  struct store_call *call;
  GString *last_name;  /* last one of the list that is being read */
  uint8_t is_reading;  /* some but not all pages have been read */
  uint8_t is_read;     /* completely, after the start */
  uint8_t is_wanted;   /* to be read again */
  clk_ms read_ms;      /* when the last reading began */
  clk_ms heard_ms;     /* since when the store answers; 0: it never has */
  uint64_t read_epoch; /* of the store, in the current reading */
  uint64_t epoch;      /* of the store, as it last answered */
  uint8_t is_current;  /* some object of the current reading is */
  uint8_t knows_past;  /* see fleet_knows_past */
  uint64_t revision;   /* of the object of this instance; 0: not known */
  uint64_t learned_revision;
  json_t *sent;    /* content of the write in progress */
  json_t *written; /* content of the last one that succeeded; NULL: none */
  uint64_t written_epoch;
  uint32_t objects_read;
  uint32_t streams_read;
  GArray *versions_read; /* of struct origin_version, of other instances */
};

static void on_due (struct ev_loop *loop, ev_timer *timer, int events);
static void schedule (struct fleet *fleet, int64_t delay_ms);
static int64_t write_interval_ms (const struct fleet *fleet);
static void call_store (struct fleet *fleet, struct store_request *request,
                        GString *url, store_call_done_fn done);
static void read_page (struct fleet *fleet);
static void on_read (void *closure, const struct store_response *response);
static int is_unused (const struct fleet *fleet);
static void learn_past (struct fleet *fleet, int is_complete);
static void end_read (struct fleet *fleet);
static void on_object (void *closure, const struct watch_object *object);
static int has_version (const GArray *versions,
                        const struct origin_version *version);
static void take_over_own (struct fleet *fleet,
                           const struct watch_object *object);
static int write_object (struct fleet *fleet);
static void on_written (void *closure, const struct store_response *response);
static void learn_revision (struct fleet *fleet,
                            const struct store_response *response);
static void on_revision (void *closure, const struct watch_object *object);
static int remove_object (struct fleet *fleet);
static void on_removed (void *closure, const struct store_response *response);

/* Prepares FLEET.  Nothing is read or written until fleet_keep_origins.  */
void
fleet_origin_store_init (struct fleet *fleet)
{
  struct fleet_origin_store *store = g_new0 (struct fleet_origin_store, 1);

  fleet->origin_store = store;
  store->last_name = g_string_new (NULL);
  store->versions_read
      = g_array_new (FALSE, FALSE, sizeof (struct origin_version));
  fleet->noted = fleet_noted_new ();
  fleet->origin_objects = fleet_objects_new ();
  ev_timer_init (&store->timer, on_due, 0, 0);
  store->timer.data = fleet;
}

/* Undoes fleet_origin_store_init.  */
void
fleet_origin_store_clear (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;

  if (store->call != NULL)
    store_call_cancel (store->call);
  ev_timer_stop (fleet->loop, &store->timer);
  g_string_free (store->last_name, TRUE);
  g_array_free (store->versions_read, TRUE);
  json_decref (store->sent);
  json_decref (store->written);
  g_array_free (fleet->noted, TRUE);
  g_ptr_array_free (fleet->origin_objects, TRUE);
  g_free (store);
}

/* Has the origins kept in the store from now on, in objects of KIND, and reads
   what is there.  */
void
fleet_keep_origins (struct fleet *fleet, const char *kind)
{
  fleet->origin_store->kind = kind;
  read_page (fleet);
}

/* Returns whether the objects in the store have been read since the start, so
   that an origin that is not known is not in the store, unless it was written
   later.  */
int
fleet_origins_are_read (const struct fleet *fleet)
{
  return fleet->origin_store->kind == NULL || fleet->origin_store->is_read;
}

/* Returns whether this instance knows all versions that began streams before
   it started.  */
int
fleet_knows_past (const struct fleet *fleet)
{
  const struct fleet_origin_store *store = fleet->origin_store;

  return store->kind == NULL || store->knows_past;
}

/* Returns for how many milliseconds after NOW targets may be missing in the
   registry since before the start of this instance.  */
int64_t
fleet_past_wait_ms (const struct fleet *fleet, clk_ms now)
{
  clk_ms heard_ms = fleet->origin_store->heard_ms;

  return heard_ms != 0 ? MAX (heard_ms + RETURN_MS - now, 0) : RETURN_MS;
}

/* Has the streams of all instances read from the store again, soon and at most
   once in READ_INTERVAL_MIN_MS, and more rarely in a large fleet.  */
void
fleet_look_up_origins (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;
  clk_ms now = clk_now (clk_monotonic ());

  if (store->kind == NULL || !store->is_read || store->is_wanted
      || store->is_reading
      || now - store->read_ms
             < MAX (READ_INTERVAL_MIN_MS, write_interval_ms (fleet)))
    return;
  store->is_wanted = 1;
  if (store->call == NULL)
    read_page (fleet);
}

/* Makes the call that is due.  */
static void
on_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  struct fleet_origin_store *store = fleet->origin_store;

  (void)loop;
  (void)events;
  if (store->call != NULL)
    return;
  origin_expire (fleet->origins, clk_now (clk_monotonic ()));
  if (!store->is_read || store->is_wanted
      || (!store->knows_past
          && fleet_past_wait_ms (fleet, clk_now (clk_monotonic ())) == 0))
    read_page (fleet);
  else if (!write_object (fleet) && !remove_object (fleet))
    schedule (fleet, write_interval_ms (fleet));
}

/* Has the next call made in DELAY_MS, or at once if a reading is wanted.  */
static void
schedule (struct fleet *fleet, int64_t delay_ms)
{
  struct fleet_origin_store *store = fleet->origin_store;
  ev_timer *timer = &store->timer;

  ev_timer_stop (fleet->loop, timer);
  ev_timer_set (timer, store->is_wanted ? 0 : (double)delay_ms / CLK_MS_PER_S,
                0);
  ev_timer_start (fleet->loop, timer);
}

/* Returns the time between two writes, in milliseconds.  All instances
   together stay within their share of the store's writes.  */
static int64_t
write_interval_ms (const struct fleet *fleet)
{
  double writes_per_s = fleet->settings->store_writes_per_s * WRITES_SHARE;
  double interval_ms = fleet_size (fleet) * CLK_MS_PER_S / writes_per_s;

  return MAX (WRITE_INTERVAL_MIN_MS, (int64_t)interval_ms);
}

/* Makes the call REQUEST for URL, which it frees.  DONE gets the response.  */
static void
call_store (struct fleet *fleet, struct store_request *request, GString *url,
            store_call_done_fn done)
{
  struct fleet_origin_store *store = fleet->origin_store;

  request->address = fleet->settings->platform;
  request->timeout_ms = CALL_TIMEOUT_MS;
  request->epoch_field = fleet->store->epoch_field;
  request->epoch_min = fleet->epoch;
  request->url = url->str;
  store->call
      = store_call_start (fleet->loop, fleet->pool, request, done, fleet);
  g_string_free (url, TRUE);
  if (store->call == NULL)
    done (fleet, &(struct store_response){ .status = 0 });
}

/* Reads the next page of the list of objects.  */
static void
read_page (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;
  struct store_request request = { .method = "GET" };
  GString *url = g_string_new (NULL);

  store->is_wanted = 0;
  if (!store->is_reading)
    {
      store->read_ms = clk_now (clk_monotonic ());
      store->read_epoch = 0;
      store->is_current = 0;
      store->objects_read = 0;
      store->streams_read = 0;
      g_array_set_size (store->versions_read, 0);
      fleet_read_priors (fleet);
      g_string_truncate (store->last_name, 0);
    }
  metric_inc (METRIC_ORIGIN_READS);
  fleet->store->list_url (url, store->kind, store->last_name->str);
  call_store (fleet, &request, url, on_read);
}

/* Handles the response with one page of the list.  */
static void
on_read (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;
  struct fleet_origin_store *store = fleet->origin_store;
  struct watch_page page
      = { .position.epoch = response->epoch, .last_name = store->last_name };

  store->call = NULL;
  if (!store->is_reading)
    store->read_epoch = response->epoch;
  if (response->status != HTTP_STATUS_OK || response->epoch < fleet->epoch
      || response->epoch != store->read_epoch
      || fleet->store->read_list (response->text, response->length, &page,
                                  on_object, fleet)
             != 0)
    {
      metric_inc (METRIC_ORIGIN_FAILURES);
      store->is_reading = 0;
      store->heard_ms = 0;
      schedule (fleet, RETRY_MS);
      return;
    }
  if (store->heard_ms == 0)
    store->heard_ms = store->read_ms;
  store->is_reading = page.has_more != 0;
  if (store->is_reading)
    read_page (fleet);
  else
    end_read (fleet);
}

/* Returns whether the store has never come back from a copy, as far as it
   tells, and no instance has written to it, so that none began a stream.  */
static int
is_unused (const struct fleet *fleet)
{
  const struct fleet_origin_store *store = fleet->origin_store;

  return store->read_epoch <= FIRST_EPOCH && store->objects_read == 0;
}

/* Learns which versions were the only ones before the start of this instance,
   if the store, whose list was read, IS_COMPLETE, or has answered for so long
   that the registry tells.  */
static void
learn_past (struct fleet *fleet, int is_complete)
{
  struct fleet_origin_store *store = fleet->origin_store;

  if (!is_complete && fleet_past_wait_ms (fleet, store->read_ms) > 0)
    return;
  store->knows_past = 1;
  if (is_complete)
    fleet_adopt_priors (fleet, store->read_ms);
  else
    fleet_infer_priors (fleet, store->read_ms);
}

/* Called when the list was read completely.  The first writes of the instances
   are spread, as these may have started together.  */
static void
end_read (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;
  int32_t interval_ms = (int32_t)write_interval_ms (fleet);
  int is_complete = store->is_current || is_unused (fleet);
  struct log_line line;

  store->epoch = MAX (store->epoch, store->read_epoch);
  if (!store->knows_past)
    learn_past (fleet, is_complete);
  g_array_set_size (fleet->stored_versions, 0);
  g_array_append_vals (fleet->stored_versions, store->versions_read->data,
                       store->versions_read->len);
  if (store->knows_past)
    fleet->stored_ms = store->read_ms;
  if (log_begin (&line, LOG_LEVEL_INFO, "origins", NULL,
                 store->is_read ? "looked_up" : "read"))
    {
      log_number (&line, "instances", fleet->origin_objects->len);
      log_number (&line, "versions", fleet->noted->len);
      log_number (&line, "streams", store->streams_read);
      log_number (&line, "epoch", (int64_t)store->read_epoch);
      log_number (&line, "knows_past", store->knows_past);
      log_end (&line);
    }
  schedule (fleet, store->is_read ? interval_ms
                                  : g_random_int_range (0, interval_ms));
  store->is_read = 1;
}

/* Handles one object of the list.  Versions are kept only from the first
   reading, and of later ones hold until the next: they are there for a while
   after their last target, and if instances kept reading them from each other,
   they would stay for ever.  */
static void
on_object (void *closure, const struct watch_object *object)
{
  struct fleet *fleet = closure;
  struct fleet_origin_store *store = fleet->origin_store;
  int is_own = strcmp (object->name, fleet->settings->instance) == 0;
  struct origin_cursor cursor = { 0 };
  struct origin_version version;

  while (!is_own && store->versions_read->len < VERSIONS_READ_MAX
         && origin_json_next_version (object->content, &cursor, &version))
    if (!has_version (store->versions_read, &version))
      g_array_append_val (store->versions_read, version);
  store->objects_read++;
  store->is_current
      |= origin_json_epoch (object->content) == store->read_epoch;
  fleet_read_prior (fleet, object->content);
  if (!store->is_read)
    fleet_note_stored (fleet, object->content);
  if (!is_own || !store->is_read)
    store->streams_read += origin_json_add_streams (
        object->content, fleet->origins, is_own ? ORIGIN_OWN : ORIGIN_STORED,
        clk_now (clk_monotonic ()));
  if (is_own)
    take_over_own (fleet, object);
  else
    fleet_remember_object (fleet, object);
}

/* Returns whether VERSION is one of VERSIONS.  */
static int
has_version (const GArray *versions, const struct origin_version *version)
{
  for (guint i = 0; i < versions->len; i++)
    if (g_array_index (versions, struct origin_version, i).software
        == version->software)
      return 1;
  return 0;
}

/* Handles OBJECT, which is that of this instance, as it wrote it last, or as
   it was before the restart.  */
static void
take_over_own (struct fleet *fleet, const struct watch_object *object)
{
  struct fleet_origin_store *store = fleet->origin_store;

  store->revision = object->position.revision;
  if (store->is_read)
    return;
  json_decref (store->written);
  store->written = json_incref (object->content);
  store->written_epoch = object->position.epoch;
}

/* Writes the object of this instance, unless the store has it as it is to be.
   Returns whether it starts a call.  */
static int
write_object (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;
  const char *name = fleet->settings->instance;
  struct store_request request
      = { .method = store->revision != 0 ? "PUT" : "POST" };
  struct origin_cursor cursor = { 0 };
  struct origin_version version;
  json_t *content = origin_json_pack (fleet->origins);
  uint64_t epoch = MAX (store->epoch, fleet->epoch);
  int is_needed;
  GString *url;

  if (store->knows_past)
    origin_json_set_epoch (content, epoch);
  fleet_open_noted (fleet);
  fleet_pack_priors (fleet, content);
  is_needed = store->written == NULL
                  ? origin_next_version (fleet->origins, &cursor, &version)
                  : store->written_epoch < fleet->epoch
                        || !json_equal (store->written, content);
  json_decref (store->sent);
  store->sent = content;
  if (is_needed)
    {
      url = g_string_new (NULL);
      fleet->store->object_url (url, store->kind,
                                store->revision != 0 ? name : NULL);
      request.body
          = store->revision != 0
                ? fleet->store->update_body (name, content, store->revision)
                : fleet->store->object_body (name, content);
      metric_inc (METRIC_ORIGIN_WRITES);
      call_store (fleet, &request, url, on_written);
    }
  return is_needed;
}

/* Handles the response to a write.  A write without a response may come into
   effect later, so each write names the revision that it replaces.  If that is
   another one, or the object is gone, the write is repeated at once.  */
static void
on_written (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;
  struct fleet_origin_store *store = fleet->origin_store;
  uint64_t revision_before = store->revision;

  store->call = NULL;
  store->epoch = MAX (store->epoch, response->epoch);
  learn_revision (fleet, response);
  if (response->epoch >= fleet->epoch && http_is_success (response->status))
    {
      json_decref (store->written);
      store->written = json_incref (store->sent);
      store->written_epoch = response->epoch;
      fleet_note_written (fleet, store->written);
      fleet_priors_written (fleet, store->written);
      schedule (fleet, write_interval_ms (fleet));
      return;
    }
  metric_inc (METRIC_ORIGIN_FAILURES);
  schedule (fleet, store->revision != revision_before ? 0 : RETRY_MS);
}

/* Learns the revision of this instance's object from RESPONSE to a write.  If
   it does not tell, the list is read again.  */
static void
learn_revision (struct fleet *fleet, const struct store_response *response)
{
  struct fleet_origin_store *store = fleet->origin_store;
  int has_object = http_is_success (response->status)
                   || response->status == HTTP_STATUS_CONFLICT;

  store->learned_revision = 0;
  if (has_object)
    (void)fleet->store->read_object (response->text, response->length,
                                     on_revision, fleet);
  if (has_object || response->status == HTTP_STATUS_NOT_FOUND)
    store->revision = store->learned_revision;
  store->is_wanted |= has_object && store->learned_revision == 0;
}

/* Handles OBJECT, in the response to a write.  */
static void
on_revision (void *closure, const struct watch_object *object)
{
  struct fleet *fleet = closure;

  if (strcmp (object->name, fleet->settings->instance) == 0)
    fleet->origin_store->learned_revision = object->position.revision;
}

/* Removes the object of an instance that has been gone for long, if there is
   one.  Returns whether it starts a call.  */
static int
remove_object (struct fleet *fleet)
{
  struct fleet_origin_store *store = fleet->origin_store;
  struct store_request request = { .method = "DELETE" };
  GString *url = g_string_new (NULL);

  if (clk_now (clk_monotonic ()) - store->read_ms > ORIGIN_KEPT_MS
      && fleet_next_removal (fleet, store->kind, url))
    {
      call_store (fleet, &request, url, on_removed);
      return 1;
    }
  g_string_free (url, TRUE);
  return 0;
}

/* Handles the response to a removal.  An object that was not removed is
   removed by an instance that starts later.  */
static void
on_removed (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;

  (void)response;
  fleet->origin_store->call = NULL;
  schedule (fleet, write_interval_ms (fleet));
}
