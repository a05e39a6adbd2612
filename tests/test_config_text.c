/* Routes that versions of the configuration share. */
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "test.h"

enum
{
  ROUTES_MAX = 64,
  ROUNDS = 400
};

#define ROUTE(name, ms)                                                       \
  "{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"/" name "/\","     \
  "\"route_type\":\"idempotent\",\"service\":\"s\",\"timeout_ms\":" ms "}"
#define CONFIG(routes, more) "{\"version\":2,\"routes\":[" routes "]" more "}"
#define CUSTOMERS ",\"tenants\":[{\"name\":\"c\",\"api_keys\":[\"k\"]}]"

static void same_text_is_shared (void);
static void shared_routes_outlive_their_table (void);
static void malformed_text_is_refused (void);
static void odd_text_reads_as_a_whole (void);
static void versions_match_what_is_read_alone (void);

static const struct test_case cases[] = {
  { "routes of the same text are shared", same_text_is_shared },
  { "shared routes outlive the table that brought them",
    shared_routes_outlive_their_table },
  { "malformed text is refused as a whole", malformed_text_is_refused },
  { "text that cannot be split reads as a whole", odd_text_reads_as_a_whole },
  { "each of many versions reads as it does alone",
    versions_match_what_is_read_alone },
};

TEST_MAIN ("config_text", cases)

static struct cfg_text *
read_text (const char *text, const struct cfg_text *before)
{
  GBytes *bytes = g_bytes_new (text, strlen (text));
  struct cfg_text *config = plat_read_config_text (bytes, before);

  g_bytes_unref (bytes);
  return config;
}

/* Returns TEXT, which is valid, as it is read after BEFORE.  */
static struct cfg_text *
read_valid (const char *text, const struct cfg_text *before)
{
  struct cfg_text *config = read_text (text, before);

  g_assert_nonnull (config);
  return config;
}

/* Returns how many routes of A are those of B.  */
static guint
count_shared (const struct cfg_text *a, const struct cfg_text *b)
{
  guint count = 0;

  for (guint i = 0; i < a->table->routes->len; i++)
    count += g_ptr_array_find (b->table->routes,
                               g_ptr_array_index (a->table->routes, i), NULL);
  return count;
}

/* Guards against changes that are not seen, and against routes that are parsed
   again though they stayed as they were.  */
static void
same_text_is_shared (void)
{
  static const struct
  {
    const char *text;
    guint shared;
    int shares_customers;
  } versions[] = {
    { CONFIG (ROUTE ("a", "1") "," ROUTE ("b", "2") "," ROUTE ("c", "3"),
              CUSTOMERS),
      3, 1 },
    { CONFIG (ROUTE ("a", "1") "," ROUTE ("b", "9") "," ROUTE ("c", "3"), ""),
      2, 0 },
    { CONFIG (ROUTE ("c", "3") "," ROUTE ("a", "1") "," ROUTE ("b", "2"),
              CUSTOMERS),
      3, 1 },
    { CONFIG (ROUTE ("a", "1") "," ROUTE ("c", "3"), CUSTOMERS " "), 2, 1 },
    { CONFIG (ROUTE ("a", "1") " ,\n" ROUTE ("b", "2"), CUSTOMERS), 2, 1 },
    { CONFIG (ROUTE ("b", "2") "," ROUTE ("b", "2"), CUSTOMERS), 2, 1 },
    { CONFIG ("{ \"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/a/\","
              "\"route_type\":\"idempotent\",\"service\":\"s\","
              "\"timeout_ms\":1}",
              CUSTOMERS),
      0, 1 },
    { CONFIG ("{\"host\":\"h\",\"name\":\"a\",\"path_prefix\":\"/a/\","
              "\"route_type\":\"idempotent\",\"service\":\"s\","
              "\"timeout_ms\":1}",
              ",\"tenants\":[]"),
      0, 0 },
  };
  struct cfg_text *first = read_valid (versions[0].text, NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      struct cfg_text *config = read_valid (versions[i].text, first);

      CU_ASSERT_EQUAL (count_shared (config, first), versions[i].shared);
      CU_ASSERT_EQUAL (config->table->keys == first->table->keys,
                       versions[i].shares_customers);
      CU_ASSERT_EQUAL (rt_customer (config->table, "k") != NULL,
                       versions[i].shares_customers);
      cfg_free (config);
    }
  cfg_free (first);
}

static void
shared_routes_outlive_their_table (void)
{
  struct cfg_text *config
      = read_valid (CONFIG (ROUTE ("a", "1"), CUSTOMERS), NULL);
  struct rt_table *running = rt_ref (config->table);

  for (int i = 0; i < 3; i++)
    {
      struct cfg_text *next = read_valid (
          CONFIG (ROUTE ("b", "2") "," ROUTE ("a", "1"), CUSTOMERS), config);

      cfg_free (config);
      config = next;
    }
  CU_ASSERT_PTR_EQUAL (rt_match (running, "h", "/a/x"),
                       rt_match (config->table, "h", "/a/y"));
  rt_unref (running);
  CU_ASSERT_STRING_EQUAL (rt_match (config->table, "h", "/a/x")->name, "a");
  CU_ASSERT_STRING_EQUAL (rt_customer (config->table, "k")->name, "c");
  cfg_free (config);
}

/* Guards against a fault that is not seen, as what is around it is known.  */
static void
malformed_text_is_refused (void)
{
  static const char *const malformed[] = {
    CONFIG (ROUTE ("a", "1") ",", ""),
    CONFIG (ROUTE ("a", "1") "," ROUTE ("b", "x"), ""),
    CONFIG (ROUTE ("a", "1") ROUTE ("b", "2"), ""),
    CONFIG (ROUTE ("a", "1") "x", ""),
    CONFIG (ROUTE ("a", "1") ",7", ""),
    CONFIG (ROUTE ("a", "1"), ",\"other\":nope"),
    CONFIG (ROUTE ("a", "1"), ",\"tenants\":[1e400]"),
    CONFIG (ROUTE ("a", "1"), ",\"routes\":7"),
    CONFIG (ROUTE ("a", "1"), ",\"\\ud800\":7"),
    CONFIG (ROUTE ("a", "1"), "") "x",
    "{\"routes\":[" ROUTE ("a", "1") "]}",
    "",
  };
  struct cfg_text *first
      = read_valid (CONFIG (ROUTE ("a", "1") "," ROUTE ("b", "2"), ""), NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (malformed); i++)
    CU_ASSERT_PTR_NULL (read_text (malformed[i], first));
  cfg_free (first);
}

/* Guards against members that are told apart otherwise than by the parser.  */
static void
odd_text_reads_as_a_whole (void)
{
  struct cfg_text *config
      = read_valid ("{\"version\":1,\"routes\":[7],\"rout\\u0065s\":[" ROUTE (
                        "a", "1") "],"
                                  "\"version\":5}",
                    NULL);

  CU_ASSERT_EQUAL (config->table->version, 5);
  CU_ASSERT_EQUAL (config->table->routes->len, 1);
  cfg_free (config);
}

/* Checks that A and B have the same routes in the same order.  */
static void
expect_same (const struct rt_table *a, const struct rt_table *b)
{
  CU_ASSERT_EQUAL_FATAL (a->routes->len, b->routes->len);
  for (guint i = 0; i < a->routes->len; i++)
    {
      const struct rt_route *first = g_ptr_array_index (a->routes, i);
      const struct rt_route *second = g_ptr_array_index (b->routes, i);

      CU_ASSERT_STRING_EQUAL (first->name, second->name);
      CU_ASSERT_EQUAL (first->timeout_ms, second->timeout_ms);
    }
}

/* Checks that CONFIG makes the same text of the version that HELD is from what
   it says has changed, and that HELD refuses it if it is another text.  */
static void
expect_delta (const struct cfg_text *config, const struct cfg_text *held,
              const struct cfg_text *other, uint32_t *deltas)
{
  char *delta = cfg_delta (config, held->table->version);
  struct scan_text text = { delta, delta != NULL ? strlen (delta) : 0 };
  GBytes *made;

  if (delta == NULL)
    return;
  ++*deltas;
  made = cfg_apply_delta (held, text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (made);
  CU_ASSERT (g_bytes_equal (made, config->text));
  g_bytes_unref (made);
  CU_ASSERT_PTR_NULL (cfg_apply_delta (NULL, text));
  made = cfg_apply_delta (other, text);
  CU_ASSERT (made == NULL || g_bytes_equal (made, config->text));
  if (made != NULL)
    g_bytes_unref (made);
  text.length--;
  CU_ASSERT_PTR_NULL (cfg_apply_delta (held, text));
  free (delta);
}

/* Makes versions by random changes, of which some are large, so that hosts
   with prefixes are there twice.  A second instance takes every
   third version only, as a difference if that is offered.  */
static void
versions_match_what_is_read_alone (void)
{
  GRand *random = g_rand_new_with_seed (7);
  int timeouts[ROUTES_MAX] = { 0 };
  struct cfg_text *config = NULL;
  struct cfg_text *behind = read_valid ("{\"version\":0,\"routes\":[]}", NULL);
  uint32_t deltas = 0;

  for (int round = 0; round < ROUNDS; round++)
    {
      GString *text = g_string_new ("{\"routes\":[");
      int changes = round % 5 == 0 ? ROUTES_MAX / 2 : 2;
      int count = ROUTES_MAX - g_rand_int_range (random, 0, 4);
      struct cfg_text *alone;
      struct cfg_text *next;

      for (int i = 0; i < changes; i++)
        timeouts[g_rand_int_range (random, 0, ROUTES_MAX)]
            = g_rand_int_range (random, 0, ROUTES_MAX);
      for (int i = 0; i < count; i++)
        g_string_append_printf (
            text,
            "%s{\"name\":\"r%d\",\"host\":\"h%d\",\"path_prefix\":\"/%d/\","
            "\"route_type\":\"idempotent\",\"service\":\"s\","
            "\"timeout_ms\":%d}",
            i > 0 ? "," : "", i, timeouts[i] % 3, timeouts[i] % 15,
            timeouts[i]);
      g_string_append_printf (text, "],\"version\":%d}", round + 1);
      alone = read_valid (text->str, NULL);
      next = read_valid (text->str, config);
      expect_same (alone->table, next->table);
      expect_delta (next, behind, config, &deltas);
      if (round % 3 == 0)
        {
          struct cfg_text *caught_up = read_valid (text->str, behind);

          cfg_free (behind);
          behind = caught_up;
        }
      cfg_free (config);
      cfg_free (alone);
      g_string_free (text, TRUE);
      config = next;
    }
  CU_ASSERT (deltas > ROUNDS / 4);
  cfg_free (config);
  cfg_free (behind);
  g_rand_free (random);
}
