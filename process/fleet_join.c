/* How an instance enters the fleet: its address into the store, the others'
   out of it, once.  */
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

static void on_registered (void *closure, uint32_t status, const char *text,
                           size_t length);
static void on_listed (void *closure, uint32_t status, const char *text,
                       size_t length);
static void on_member (void *closure, const struct fol_object *object);
static void retry_later (struct flt *flt);

/* Makes the next call to the store: first this instance is entered, then the
   others are read.  */
void
flt_join (struct flt *flt)
{
  GString *target = g_string_new (NULL);
  char *address = settings_format_address (&flt->settings->peer_listen);
  char *body = NULL;

  if (!flt->registered)
    {
      json_t *content = json_pack ("{s:s}", "address", address);

      flt->store->object_target (target, flt->kind, NULL);
      body = flt->store->object_body (flt->settings->instance, content);
      json_decref (content);
    }
  else
    flt->store->list_target (target, flt->kind, NULL);
  flt->call = store_call_start (
      flt->loop, flt->pool, &flt->settings->platform,
      flt->registered ? "GET" : "POST", target->str, body, CALL_TIMEOUT_MS,
      flt->registered ? on_listed : on_registered, flt);
  if (flt->call == NULL)
    retry_later (flt);
  g_string_free (target, TRUE);
  g_free (address);
}

/* This instance is entered, or was already.  */
static void
on_registered (void *closure, uint32_t status, const char *text, size_t length)
{
  struct flt *flt = closure;

  (void)text;
  (void)length;
  flt->call = NULL;
  flt->registered = http_is_success (status) || status == HTTP_STATUS_CONFLICT;
  if (flt->registered)
    flt_join (flt);
  else
    retry_later (flt);
}

/* The others' addresses are there.  */
static void
on_listed (void *closure, uint32_t status, const char *text, size_t length)
{
  struct flt *flt = closure;
  struct fol_page page = { .last_name = g_string_new (NULL) };

  flt->call = NULL;
  flt->listed
      = status == HTTP_STATUS_OK
        && flt->store->read_list (text, length, &page, on_member, flt) == 0;
  g_string_free (page.last_name, TRUE);
  if (!flt->listed)
    {
      retry_later (flt);
      return;
    }
  log_info ("fleet", NULL, "listed", "%u instances", flt_size (flt));
}

/* Takes one entry of the list.  */
static void
on_member (void *closure, const struct fol_object *object)
{
  struct flt *flt = closure;
  const char *address
      = json_string_value (json_object_get (object->content, "address"));
  uint32_t id = (uint32_t)rank_hash (object->name);
  struct sockaddr_in parsed;

  if (id == flt->self || address == NULL
      || settings_parse_address (address, &parsed) != 0
      || g_hash_table_size (flt->peers) >= FLT_PEERS_MAX)
    return;
  flt_peer_get (flt, id)->address = parsed;
}

/* Tries the call to the store again.  */
void
flt_on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  flt_join (timer->data);
}

/* Lets the call to the store be tried again after a pause.  */
static void
retry_later (struct flt *flt)
{
  ev_timer_stop (flt->loop, &flt->retry);
  ev_timer_set (&flt->retry, (double)RETRY_MS / CLK_MS_PER_S, 0);
  ev_timer_start (flt->loop, &flt->retry);
}
