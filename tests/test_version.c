/* Configuration versions: order of updates, validation, merging, and use by
   several threads; admission by several threads. */
#include <pthread.h>
#include <string.h>

#include "ibisloom/error.h"
#include "ibisloom/admission.h"
#include "ibisloom/version.h"
#include "test.h"

enum
{
  REVISIONS = 200,
  THREADS = 4,
  ROUNDS = 2000
};

static char *in_force (int number);
static void version_never_decreases (void);
static void invalid_object_is_rejected (void);
static void errors_state_the_remedy (void);
static void merge_applies_changes (void);
static void unreadable_object_costs_no_other (void);
static void in_force_overrides_preset_object (void);
static void *read_versions (void *closure);
static void *run_admission (void *closure);
static void readers_see_consistent_versions (void);
static void admission_is_thread_safe (void);

static const struct test_case cases[] = {
  { "the version never decreases, whatever the order of updates",
    version_never_decreases },
  { "an invalid object leaves the old one in force",
    invalid_object_is_rejected },
  { "errors state the remedy", errors_state_the_remedy },
  { "a merge applies all changes", merge_applies_changes },
  { "an unreadable object costs no other in a merge",
    unreadable_object_costs_no_other },
  { "in-force overrides the preset object", in_force_overrides_preset_object },
  { "readers see consistent versions", readers_see_consistent_versions },
  { "admission is thread-safe", admission_is_thread_safe },
};

TEST_MAIN ("version", cases)

static char *
in_force (int number)
{
  return g_strdup_printf (
      "{\"preset\":\"p%d\",\"settings\":{\"queue_ms\":%d}}", number, number);
}

/* Applies revisions in random order, some of them repeatedly.  The revision in
   force must always be the highest one applied so far.  */
static void
version_never_decreases (void)
{
  GRand *random = g_rand_new_with_seed (1);

  for (int round = 0; round < 20; round++)
    {
      struct ver_store *store = ver_store_new ("d");
      struct ver_reader *reader = ver_reader_new (store);
      uint64_t highest = 0;

      for (int i = 0; i < REVISIONS; i++)
        {
          int revision = g_rand_int_range (random, 1, REVISIONS);
          char *text = in_force (revision);
          const struct ver_snapshot *version;
          int result = ver_store_apply (store, "in-force", (uint64_t)revision,
                                        text, NULL);

          CU_ASSERT_EQUAL (result, (uint64_t)revision > highest);
          highest = MAX (highest, (uint64_t)revision);
          version = ver_read_begin (store, reader);
          CU_ASSERT_EQUAL (version->preset_revision, highest);
          CU_ASSERT_EQUAL (version->preset.queue_ms, (int64_t)highest);
          ver_read_end (reader);
          g_free (text);
        }
      ver_reader_free (reader);
      ver_store_free (store);
    }
  g_rand_free (random);
}

static void
invalid_object_is_rejected (void)
{
  struct ver_store *store = ver_store_new ("d");
  struct ver_reader *reader = ver_reader_new (store);
  GError *error = NULL;

  CU_ASSERT_EQUAL (
      ver_store_apply (store, "customers/a", 1, "{\"weight\":2}", NULL), 1);
  CU_ASSERT_EQUAL (
      ver_store_apply (store, "customers/a", 2, "{\"weight\":-1}", &error),
      -1);
  CU_ASSERT (g_error_matches (error, ERR_DOMAIN, ERR_INVALID));
  g_clear_error (&error);
  CU_ASSERT_DOUBLE_EQUAL (
      ver_customer_find (ver_read_begin (store, reader), "a")->weight, 2, 0);
  ver_read_end (reader);
  CU_ASSERT_EQUAL (
      ver_store_apply (store, "customers/a", 3, "{\"weight\":3}", NULL), 1);
  ver_reader_free (reader);
  ver_store_free (store);
}

static void
errors_state_the_remedy (void)
{
  static const struct
  {
    const char *name;
    const char *text;
    const char *expected;
  } rows[] = {
    { "presets/p", "{\"load_factor\":0.5}", "load_factor: write a number" },
    { "presets/p", "{\"queue\":5}", "queue: unknown key" },
    { "presets/p", "[]", "not a JSON object" },
    { "presets/p", "{\"queue_ms\":1,\"queue_ms\":2}", "duplicate" },
    { "services/s", "{\"kind\":\"x\"}", "kind: write" },
    { "services/s", "{\"kind\":\"chat\",\"targets\":[{\"name\":\"a\"}]}",
      "failure_domain" },
    { "services/s",
      "{\"kind\":\"chat\",\"targets\":[{\"name\":\"a\",\"failure_domain\":"
      "\"z\",\"address\":\"host:1\"}]}",
      "IP:PORT" },
    { "other/x", "{}", "no such kind" },
    { "in-force", "{}", "preset" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GError *error = NULL;

      CU_ASSERT_EQUAL (ver_validate (rows[i].name, rows[i].text, &error), -1);
      CU_ASSERT (error != NULL
                 && strstr (error->message, rows[i].expected) != NULL);
      g_clear_error (&error);
    }
}

static void
merge_applies_changes (void)
{
  struct ver_store *from = ver_store_new ("d");
  struct ver_store *to = ver_store_new ("d");
  char *text;

  ver_store_apply (from, "customers/a", 1, "{}", NULL);
  ver_store_apply (from, "customers/b", 2, "{}", NULL);
  text = ver_store_changes_since (from, 0);
  CU_ASSERT_EQUAL (ver_store_merge (to, text, NULL), 2);
  CU_ASSERT_EQUAL (ver_store_merge (to, text, NULL), 0);
  g_free (text);
  CU_ASSERT_EQUAL (ver_store_revision (to), 2);
  ver_store_apply (from, "customers/a", 3, NULL, NULL);
  text = ver_store_changes_since (from, 2);
  CU_ASSERT_EQUAL (ver_store_merge (to, text, NULL), 1);
  g_free (text);
  CU_ASSERT_EQUAL (ver_store_merge (to, "nonsense", NULL), -1);
  ver_store_free (from);
  ver_store_free (to);
}

/* The object in force stays; the one behind the unreadable one comes.  */
static void
unreadable_object_costs_no_other (void)
{
  static const char *const values[] = { "\"{\xff}\"",
                                        "\"\\u0000\"",
                                        "\"\\ud800\"",
                                        "1e400",
                                        "[99999999999999999999]",
                                        "7",
                                        "NaN" };
  struct ver_store *store = ver_store_new ("d");
  uint64_t revision = 1;
  char *text;

  ver_store_apply (store, "customers/a", revision, "{}", NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *message = g_strdup_printf (
          "{\"objects\":[{\"name\":\"customers/a\",\"revision\":%d,"
          "\"value\":%s},{\"name\":\"customers/b%d\",\"revision\":%d,"
          "\"value\":\"{}\"}],\"revision\":%d}",
          (int)revision + 1, values[i], (int)i, (int)revision + 2,
          (int)revision + 2);

      CU_ASSERT_EQUAL (ver_store_merge (store, message, NULL), 1);
      revision += 2;
      CU_ASSERT_EQUAL (ver_store_revision (store), revision);
      g_free (message);
    }
  CU_ASSERT_EQUAL (
      ver_store_merge (store, "{\"objects\":[],\"revision\":-1}", NULL), 0);
  CU_ASSERT_EQUAL (ver_store_revision (store), revision);
  text = ver_store_get (store, "customers/a", &revision);
  CU_ASSERT_PTR_NOT_NULL (text);
  g_free (text);
  ver_store_free (store);
}

static void
in_force_overrides_preset_object (void)
{
  struct ver_store *store = ver_store_new ("d");
  struct ver_reader *reader = ver_reader_new (store);
  char *text = in_force (1);

  ver_store_apply (store, "in-force", 1, text, NULL);
  ver_store_apply (store, "presets/p1", 2, "{\"queue_ms\":99}", NULL);
  CU_ASSERT_EQUAL (ver_read_begin (store, reader)->preset.queue_ms, 1);
  ver_read_end (reader);
  g_free (text);
  ver_reader_free (reader);
  ver_store_free (store);
}

static void *
read_versions (void *closure)
{
  struct ver_store *store = closure;
  struct ver_reader *reader = ver_reader_new (store);
  uint64_t last = 0;
  long wrong = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      const struct ver_snapshot *version = ver_read_begin (store, reader);

      wrong += version->preset_revision < last;
      if (version->preset_revision > 0)
        wrong += version->preset.queue_ms != (int64_t)version->preset_revision;
      last = version->preset_revision;
      ver_read_end (reader);
    }
  ver_reader_free (reader);
  return (void *)wrong;
}

/* While one thread changes the configuration, each reader must see settings
   that belong to the revision of its snapshot, and never a lower revision than
   before.  */
static void
readers_see_consistent_versions (void)
{
  struct ver_store *store = ver_store_new ("d");
  pthread_t threads[THREADS];

  for (int i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, read_versions, store);
  for (int i = 1; i <= REVISIONS; i++)
    {
      char *text = in_force (i);

      ver_store_apply (store, "in-force", (uint64_t)i, text, NULL);
      g_free (text);
    }
  for (int i = 0; i < THREADS; i++)
    {
      void *wrong;

      pthread_join (threads[i], &wrong);
      CU_ASSERT_PTR_NULL (wrong);
    }
  ver_store_free (store);
}

static void *
run_admission (void *closure)
{
  struct adm_state *adm_state = closure;
  struct adm_limits limits = {
    .mean_load = 4, .load_factor = 1.25, .customer_weight = 1, .slots = 5
  };
  static uint32_t next_instance;
  uint32_t instance = __atomic_add_fetch (&next_instance, 1, __ATOMIC_RELAXED);
  long wrong = 0;

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      struct adm_request request = {
        .target = i % 3, .customer = instance, .instance = instance, .grant = i
      };
      struct adm_reply reply;

      adm_decide (adm_state, &request, &limits, i, &reply);
      wrong += adm_load (adm_state, request.target) > 5;
      if (reply.verdict == ADM_GRANT)
        adm_release (adm_state, request.target, instance, i, ADM_OUTCOME_OK,
                     i);
    }
  return (void *)wrong;
}

/* Threads admit and release requests concurrently.  The load must never exceed
   the slots, and must be 0 at the end.  */
static void
admission_is_thread_safe (void)
{
  struct adm_state *adm_state = adm_new ();
  pthread_t threads[THREADS];

  for (int i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, run_admission, adm_state);
  for (int i = 0; i < THREADS; i++)
    {
      void *wrong;

      pthread_join (threads[i], &wrong);
      CU_ASSERT_PTR_NULL (wrong);
    }
  for (uint64_t target = 0; target < 3; target++)
    CU_ASSERT_EQUAL (adm_load (adm_state, target), 0);
  adm_free (adm_state);
}
