/* Joining the fleet: an instance registers its address in the store and reads
   the addresses of the others and the prompt parts in quarantine, once after
   its start.  When the store was restored from an older copy, it registers
   again, since its entry may be lost.  */
#include "ibisloom/fleet.h"
#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/metrics.h"
#include "ibisloom/rank.h"
#include "ibisloom/storecall.h"
#include "libfleet.h"

enum
{
  CALL_TIMEOUT_MS = 1500,
  RETRY_MS = 700,
  /* The instances register again one by one, as the store takes only so many
     writes a second, but all within REJOIN_MIN_MS if they are few.  */
  REJOIN_MIN_MS = 1000,
  REJOIN_STEP_MS = 8
};

static void on_registered (void *closure,
                           const struct store_response *response);
static void on_listed (void *closure, const struct store_response *response);
static void on_list_entry (void *closure, const struct watch_object *object);
static void retry_later (struct fleet *fleet);

/* Makes the next call to the store: registers this instance, or reads the list
   of instances once it is registered, unless it has been read.  */
void
fleet_join (struct fleet *fleet)
{
  GString *url = g_string_new (NULL);
  char *address = settings_format_address (&fleet->settings->peer_listen);
  struct store_request request
      = { .address = fleet->settings->platform,
          .method = fleet->is_registered ? "GET" : "POST",
          .timeout_ms = CALL_TIMEOUT_MS,
          .epoch_field = fleet->store->epoch_field,
          .epoch_min = fleet->epoch };

  if (!fleet->is_registered)
    {
      json_t *content = json_pack ("{s:s}", "address", address);

      fleet->store->object_url (url, fleet->kind, NULL);
      request.body
          = fleet->store->object_body (fleet->settings->instance, content);
      json_decref (content);
    }
  else
    fleet->store->list_url (url, fleet->kind, fleet->listed_name->str);
  request.url = url->str;
  fleet->call = store_call_start (
      fleet->loop, fleet->pool, &request,
      fleet->is_registered ? on_listed : on_registered, fleet);
  if (fleet->call == NULL)
    retry_later (fleet);
  g_string_free (url, TRUE);
  g_free (address);
}

/* Handles the response to the registration.  HTTP_STATUS_CONFLICT means that
   the instance was registered before.  */
static void
on_registered (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;

  fleet->call = NULL;
  fleet->registered_epoch = response->epoch;
  fleet->is_registered = response->epoch >= fleet->epoch
                         && (http_is_success (response->status)
                             || response->status == HTTP_STATUS_CONFLICT);
  if (!fleet->is_registered)
    retry_later (fleet);
  else if (!fleet->is_listed)
    fleet_join (fleet);
}

/* Called when the store is known to be in EPOCH.  If that is a new one, what
   this instance wrote before is to be written again.  */
void
fleet_set_epoch (struct fleet *fleet, uint64_t epoch)
{
  int32_t spread_ms
      = MAX (REJOIN_MIN_MS, (int32_t)fleet_size (fleet) * REJOIN_STEP_MS);
  int is_first = fleet->epoch == 0;

  if (epoch <= fleet->epoch)
    return;
  fleet->epoch = epoch;
  if (is_first && (!fleet->is_registered || fleet->registered_epoch >= epoch))
    return;
  fleet->is_registered = fleet->registered_epoch >= epoch;
  ev_timer_stop (fleet->loop, &fleet->rejoin);
  ev_timer_set (&fleet->rejoin,
                g_random_int_range (0, spread_ms) / (double)CLK_MS_PER_S, 0);
  ev_timer_start (fleet->loop, &fleet->rejoin);
}

/* Writes the objects of this instance anew.  A call in progress leads to that
   by itself.  */
void
fleet_on_rejoin_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct fleet *fleet = timer->data;
  uint32_t parts = fleet_rewrite_parts (fleet);

  (void)loop;
  (void)events;
  if (!fleet->is_registered && fleet->call == NULL
      && !ev_is_active (&fleet->retry))
    fleet_join (fleet);
  log_info ("fleet", NULL, "written_anew", "entry of this instance, %u parts",
            parts);
}

/* Handles the response with one page of the list of instances.  */
static void
on_listed (void *closure, const struct store_response *response)
{
  struct fleet *fleet = closure;
  struct watch_page page = { .last_name = fleet->listed_name };

  fleet->call = NULL;
  if (response->status != HTTP_STATUS_OK
      || fleet->store->read_list (response->text, response->length, &page,
                                  on_list_entry, fleet)
             != 0)
    {
      retry_later (fleet);
      return;
    }
  if (page.has_more)
    {
      fleet_join (fleet);
      return;
    }
  fleet->is_listed = 1;
  if (!fleet->is_registered)
    retry_later (fleet);
  log_info ("fleet", NULL, "listed", "%u instances", fleet_size (fleet));
}

/* Returns whether FLEET knows what is in quarantine: it has read the list, or
   has a heartbeat of an instance that knew, which is followed by that.  */
int
fleet_knows_quarantine (const struct fleet *fleet)
{
  return fleet->is_listed || fleet->is_informed;
}

/* Returns whether FLEET has read the list of instances.  */
int
fleet_knows_members (const struct fleet *fleet)
{
  return fleet->is_listed;
}

/* Handles one entry of the list: a prompt part in quarantine, or an instance,
   which is added to the peers unless it is this one or has no valid
   address.  */
static void
on_list_entry (void *closure, const struct watch_object *object)
{
  struct fleet *fleet = closure;
  const char *address
      = json_string_value (json_object_get (object->content, "address"));
  uint32_t id = (uint32_t)rank_hash (object->name);
  struct sockaddr_in parsed;

  if (fleet_read_part (fleet, object->content))
    return;
  if (address == NULL || settings_parse_address (address, &parsed) != 0)
    {
      metric_inc (METRIC_STORE_UNREADABLE);
      log_warn ("fleet", NULL, "unreadable", "%s", object->name);
      return;
    }
  if (id == fleet->self || g_hash_table_size (fleet->peers) >= FLEET_PEERS_MAX)
    return;
  fleet_get_peer (fleet, id)->address = parsed;
}

/* Repeats the call to the store.  */
void
fleet_on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  fleet_join (timer->data);
}

/* Schedules the call to the store to be repeated after RETRY_MS.  */
static void
retry_later (struct fleet *fleet)
{
  ev_timer_stop (fleet->loop, &fleet->retry);
  ev_timer_set (&fleet->retry, (double)RETRY_MS / CLK_MS_PER_S, 0);
  ev_timer_start (fleet->loop, &fleet->retry);
}
