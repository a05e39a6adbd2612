/* All keys of the tenants are taken away; then requests come with these keys,
   and with a key that no configuration ever held.  */
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  WORKERS = 3,
  REQUESTS = 10, /* with each key */
  INTERVAL_MS = 50,
  DEADLINE_MS = 3000,
  REVOKED_TWICE_MS = 1500, /* between the two keys */
  MARGIN_MS = 1000         /* beyond the time in which a version applies */
};

static const char tenants_before[]
    = "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\",\"key-2\"]}]";
static const char tenants_between[]
    = "[{\"name\":\"lodge\",\"api_keys\":[\"key-2\"]}]";
static const char tenants_after[] = "[{\"name\":\"lodge\",\"api_keys\":[]}]";

/* Worker: runs each request.  */
static int
run_request (const struct fx_request *request)
{
  char *id = review_attempt_id (request);
  char *tenant = fx_header_value (request->text, "X-Ibisloom-Tenant");

  review_record ("a worker runs %s, tenant %s", id,
                 tenant != NULL ? tenant : "none");
  review_respond (request, "200 OK", "", "charged");
  g_free (tenant);
  g_free (id);
  return 1;
}

/* Requester: sends charges with KEY, named NAME and a number.  Returns how
   many got a success, which only a worker gives.  */
static int
send_charges (const char *name, const char *key)
{
  int run = 0;

  for (int i = 0; i < REQUESTS; i++)
    {
      char *id = g_strdup_printf ("%s-%d", name, i);
      char *request
          = review_request ("POST", "/fee/1", id, key, DEADLINE_MS, "", "fee");
      struct review_response response;

      review_record ("sent %s with %s", id, key);
      response = review_exchange (request);
      review_record ("%s is answered %d", id, response.status);
      run += response.status == 200;
      review_response_clear (&response);
      g_free (request);
      g_free (id);
      fx_sleep_ms (INTERVAL_MS);
    }
  return run;
}

/* Makes VERSION with TENANTS the newest configuration.  */
static void
put_config (int version, const char *tenants)
{
  char *config = review_config (version, tenants);

  fx_store_put ("config", "main", config);
  review_record ("version %d is confirmed: tenants %s", version, tenants);
  g_free (config);
}

int
main (int argc, char **argv)
{
  char *config = review_config (3, tenants_before);
  int before;
  int unknown_before;
  int revoked;
  int unknown;
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i);

      fx_target_add (id, "reservas", run_request);
      g_free (id);
    }
  if (review_machine_start (0, fx_store_port ()) != 0)
    return REVIEW_NOT_RUN;
  before = send_charges ("before", "key-2");
  unknown_before = send_charges ("stranger-before", "key-of-nobody");
  put_config (7, review_has_trouble () ? tenants_between : tenants_before);
  fx_sleep_ms (REVOKED_TWICE_MS);
  put_config (12, review_has_trouble () ? tenants_after : tenants_before);
  fx_sleep_ms (REVIEW_CONFIG_APPLY_MS + MARGIN_MS);
  revoked = send_charges ("after", "key-2");
  unknown = send_charges ("stranger", "key-of-nobody");
  finding = g_strdup_printf (
      "of %d charges each, %d ran before with the tenant's key and %d with an "
      "unknown key; after the last version %d ran with the tenant's key and "
      "%d with an unknown key",
      REQUESTS, before, unknown_before, revoked, unknown);
  if (before != REQUESTS)
    {
      review_end (0, finding);
      return REVIEW_NOT_RUN;
    }
  status = review_end (unknown_before + unknown > 0
                           || (review_has_trouble () && revoked > 0),
                       finding);
  g_free (finding);
  return status;
}
