/* End-to-end tests of API keys: a configuration with customers lets nobody in
   but them, however few keys they have.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shop.h"
#include "test.h"

enum
{
  APPLY_MS = 1000, /* until a new configuration is in force */
  SERVICES = 200   /* of a route that is split */
};

#define ROUTES                                                                \
  "\"routes\":["                                                              \
  "{\"name\":\"map\",\"host\":\"shop.example\",\"path_prefix\":\"/map/\","    \
  "\"route_type\":\"idempotent\",\"timeout_ms\":3000,"                        \
  "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1},"       \
  "{\"name\":\"open\",\"host\":\"shop.example\",\"path_prefix\":\"/open/\","  \
  "\"route_type\":\"idempotent\",\"timeout_ms\":3000,\"anonymous\":true,"     \
  "\"target_latency_ms\":300,\"service\":\"desk\",\"max_attempts\":1}],"      \
  "\"services\":[{\"name\":\"desk\"}]"

/* Requests with the key "key-1".  */
#define GET_OPEN(id) REQUEST_HEAD ("GET", "/open/1", id) "\r\n"

static void customers_without_keys_let_nobody_in (void);
static void no_customers_let_anyone_in (void);
static void the_last_key_can_be_taken_away (void);
static void wide_splits_do_not_keep_keys (void);

static const struct test_case cases[] = {
  { "customers without any key let nobody in",
    customers_without_keys_let_nobody_in },
  { "a configuration without customers asks for no key",
    no_customers_let_anyone_in },
  { "the last key can be taken away and comes back",
    the_last_key_can_be_taken_away },
  { "a route that is split over many services keeps no key in force",
    wide_splits_do_not_keep_keys },
};

TEST_MAIN ("keys", cases)

/* Returns the configuration VERSION with MEMBER, which begins with a comma or
   is empty, newly allocated.  */
static char *
make_config (int version, const char *member)
{
  return g_strdup_printf ("{\"version\":%d," ROUTES "%s}", version, member);
}

/* Checks that a request with the key "key-1" is let in, or not, and that one
   to an anonymous route is.  */
static void
expect_key (int is_known)
{
  shop_expect (GET_MAP ("m"), is_known ? "200" : "401", "");
  shop_expect (GET_OPEN ("o"), "200", "well");
}

/* Guards against an empty set of keys, or of customers, that is taken for
   none configured.  */
static void
customers_without_keys_let_nobody_in (void)
{
  static const char *const members[]
      = { ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[]}]",
          ",\"tenants\":[{\"name\":\"a\"},{\"name\":\"b\",\"api_keys\":[]}]",
          ",\"tenants\":[{\"name\":\"lodge\"}]",
          ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[1]}]",
          ",\"tenants\":[{}]",
          ",\"tenants\":[]",
          ",\"tenants\":{}" };

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      struct fx_target *desk = fx_target_add ("i-1", "desk", shop_respond_ok);
      char *config = make_config (3, members[i]);

      fx_env_start (config);
      expect_key (0);
      CU_ASSERT_EQUAL (fx_target_request_count (desk), 1);
      fx_env_stop ();
      g_free (config);
    }
}

static void
no_customers_let_anyone_in (void)
{
  static const char *const members[] = { "", ",\"tenants\":null" };

  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *config = make_config (3, members[i]);

      fx_target_add ("i-1", "desk", shop_respond_ok);
      fx_env_start (config);
      expect_key (1);
      fx_env_stop ();
      g_free (config);
    }
}

/* Guards against keys that are let in because the last one was taken away.  */
static void
the_last_key_can_be_taken_away (void)
{
  static const char *const members[]
      = { ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]",
          ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[]}]",
          ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]",
          ",\"tenants\":[]" };

  fx_target_add ("i-1", "desk", shop_respond_ok);
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *config = make_config ((int)i + 1, members[i]);

      if (i == 0)
        fx_env_start (config);
      else
        fx_store_put ("config", "main", config);
      fx_sleep_ms (i > 0 ? APPLY_MS : 0);
      expect_key (strstr (members[i], "key-1") != NULL);
      g_free (config);
    }
  fx_env_stop ();
}

/* Guards against a configuration that is dropped as a whole, as one of its
   routes is split over more services than there is room for.  */
static void
wide_splits_do_not_keep_keys (void)
{
  GString *config = g_string_new (NULL);
  char *first = make_config (
      1, ",\"tenants\":[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");

  g_string_printf (config,
                   "{\"version\":2,\"tenants\":[{\"name\":\"lodge\","
                   "\"api_keys\":[\"key-2\"]}],\"routes\":[{\"name\":"
                   "\"open\",\"host\":\"shop.example\",\"path_prefix\":"
                   "\"/open/\",\"route_type\":\"idempotent\",\"anonymous\":"
                   "true,\"service\":\"desk\"},{\"name\":\"map\",\"host\":"
                   "\"shop.example\",\"path_prefix\":\"/map/\","
                   "\"route_type\":\"idempotent\",\"weighted_services\":[");
  for (int i = 0; i < SERVICES; i++)
    g_string_append_printf (config, "{\"service\":\"s-%d\",\"weight\":0},", i);
  g_string_append (config, "{\"service\":\"desk\",\"weight\":1}]}]}");
  fx_target_add ("i-1", "desk", shop_respond_ok);
  fx_env_start (first);
  expect_key (1);
  fx_store_put ("config", "main", config->str);
  fx_sleep_ms (APPLY_MS);
  expect_key (0);
  shop_expect ("GET /map/1 HTTP/1.1\r\nHost: shop.example\r\n"
               "X-Ibisloom-Attempt-Id: w\r\nAuthorization: Token key-2\r\n"
               "Connection: close\r\n\r\n",
               "200", "well");
  fx_env_stop ();
  g_string_free (config, TRUE);
  g_free (first);
}
