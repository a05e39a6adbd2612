/* Joining the fleet: an instance registers its address in the store and reads
   the addresses of the others and the prompt parts in quarantine, once after
   its start.  */
#include "ibisloom/fleet.h"
#include "ibisloom/http.h"
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "ibisloom/storecall.h"
#include "libfleet.h"

enum
{
  CALL_TIMEOUT_MS = 1500,
  RETRY_MS = 700
};

static void on_registered (void *closure,
                           const struct store_response *response);
static void on_listed (void *closure, const struct store_response *response);
static void on_list_entry (void *closure, const struct watch_object *object);
static void retry_later (struct fleet *fleet);

/* Makes the next call to the store: registers this instance, or reads the list
   of instances once it is registered.  */
void
fleet_join (struct fleet *fleet)
{
  GString *url = g_string_new (NULL);
  char *address = settings_format_address (&fleet->settings->peer_listen);
  struct store_request request
      = { .address = fleet->settings->platform,
          .method = fleet->is_registered ? "GET" : "POST",
          .timeout_ms = CALL_TIMEOUT_MS,
          .epoch_field = fleet->store->epoch_field };

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
  fleet->is_registered = http_is_success (response->status)
                         || response->status == HTTP_STATUS_CONFLICT;
  if (fleet->is_registered)
    fleet_join (fleet);
  else
    retry_later (fleet);
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
  log_info ("fleet", NULL, "listed", "%u instances", fleet_size (fleet));
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
  if (id == fleet->self || address == NULL
      || settings_parse_address (address, &parsed) != 0
      || g_hash_table_size (fleet->peers) >= FLEET_PEERS_MAX)
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
