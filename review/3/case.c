/* A new version of the configuration splits a route over many services, and
   takes a key away.  */
#include <stdlib.h>
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  MACHINES = 3,
  SERVICES = 9,
  FEW_SERVICES = 2, /* without the disruption */
  REQUESTS = 12,    /* with the key that was taken away */
  INTERVAL_MS = 250,
  DEADLINE_MS = 3000,
  SETTLE_MS = 1500
};

static int run (const struct fx_request *request);
static char *make_config (int version, int services, const char *keys);
static int ask (int machine, int number, const char *key);

/* Worker: responds at once.  */
static int
run (const struct fx_request *request)
{
  char *id = review_attempt_id (request);

  review_record ("%s, of %s, runs %s", request->target->id,
                 request->target->service, id);
  review_respond (request, "200 OK", "", "well");
  g_free (id);
  return 1;
}

/* Returns VERSION of the configuration, with a route that goes to so many
   SERVICES with the same weights, and the JSON list KEYS, newly allocated.  */
static char *
make_config (int version, int services, const char *keys)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "{\"version\":%d,\"routes\":[{\"name\":\"map-read\","
                   "\"host\":\"shop.example\",\"path_prefix\":\"/map/\","
                   "\"route_type\":\"idempotent\",\"timeout_ms\":3000,"
                   "\"target_latency_ms\":300,\"priority\":2,"
                   "\"max_attempts\":2,\"weighted_services\":[",
                   version);
  for (int i = 0; i < services; i++)
    g_string_append_printf (text,
                            "%s{\"service\":\"reservas-%d\",\"weight\":10}",
                            i > 0 ? "," : "", i + 1);
  g_string_append (text, "]}],\"services\":[");
  for (int i = 0; i < SERVICES; i++)
    g_string_append_printf (text, "%s{\"name\":\"reservas-%d\"}",
                            i > 0 ? "," : "", i + 1);
  g_string_append_printf (
      text,
      "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"lodge\",\"api_keys\":%s}]}",
      keys);
  return g_string_free (text, FALSE);
}

/* Sends request NUMBER with KEY to MACHINE.  Returns the status of the
   response.  */
static int
ask (int machine, int number, const char *key)
{
  char *id = g_strdup_printf ("%s-%d", key, number);
  char *request
      = review_request ("GET", "/map/1", id, key, DEADLINE_MS, "", NULL);
  struct review_response response = review_exchange_with (machine, request);
  int status = response.status;

  review_record ("%s at machine %d is answered %d", id, machine, status);
  review_response_clear (&response);
  g_free (request);
  g_free (id);
  return status;
}

int
main (int argc, char **argv)
{
  char *config = make_config (3, 1, "[\"key-1\",\"key-2\"]");
  int dropped_ran = 0;
  int served = 0;
  char *finding;
  int services;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  services = review_has_trouble () ? SERVICES : FEW_SERVICES;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < SERVICES; i++)
    {
      char *id = g_strdup_printf ("i-%d", i + 1);
      char *service = g_strdup_printf ("reservas-%d", i + 1);

      (void)fx_target_add (id, service, run);
      g_free (service);
      g_free (id);
    }
  for (int i = 0; i < MACHINES; i++)
    if (review_machine_start (i, fx_store_port ()) != 0)
      return REVIEW_NOT_RUN;
  fx_sleep_ms (SETTLE_MS);
  for (int i = 0; i < MACHINES; i++)
    if (ask (i, i, "key-2") != 200)
      return REVIEW_NOT_RUN;
  config = make_config (4, services, "[\"key-1\"]");
  fx_store_put ("config", "main", config);
  g_free (config);
  review_record ("version 4 is confirmed: /map/ goes to %d services, key-2 is "
                 "taken away",
                 services);
  fx_sleep_ms (REVIEW_CONFIG_APPLY_MS + SETTLE_MS);
  for (int i = 0; i < REQUESTS; i++)
    {
      dropped_ran += ask (i % MACHINES, MACHINES + i, "key-2") == 200;
      served += ask (i % MACHINES, i, "key-1") == 200;
      fx_sleep_ms (INTERVAL_MS);
    }
  finding = g_strdup_printf (
      "%d of %d requests ran with a key that was taken away more than %d ms "
      "before; %d of %d with the other key are served",
      dropped_ran, REQUESTS, REVIEW_CONFIG_APPLY_MS, served, REQUESTS);
  status = review_end (dropped_ran > 0, finding);
  g_free (finding);
  return status;
}
