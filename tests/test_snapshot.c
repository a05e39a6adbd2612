/* Snapshots passed between instances, and the election of the instances that
   watch the store. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/elect.h"
#include "ibisloom/snapshot.h"
#include "platform.h"
#include "test.h"

enum
{
  NAME_BYTES = 16,
  ROUNDS = 300,
  TARGETS = 20,
  INSTANCES = 25,
  STEP_MS = 250,
  SETTLE_MS = 5000
};

static void replicas_match_store (void);
static void new_list_yields_deletions (void);
static void damaged_data_is_rejected (void);
static void failed_watchers_are_replaced (void);
static void watchers_are_bounded_in_outage (void);
static void outdated_entry_is_ignored (void);
static void positions_are_ordered_by_epoch_first (void);
static void replicas_follow_restorations (void);
static void newest_version_is_passed_on (void);
static void storms_of_versions_are_paced (void);
static void older_builds_get_the_whole_text (void);
static void deeply_nested_entry_reaches_replicas (void);

static const struct test_case cases[] = {
  { "replicas match the store after each change", replicas_match_store },
  { "a new list yields deletions", new_list_yields_deletions },
  { "an outdated entry does not restore a deleted target",
    outdated_entry_is_ignored },
  { "positions are ordered by epoch first",
    positions_are_ordered_by_epoch_first },
  { "replicas follow restorations of the store",
    replicas_follow_restorations },
  { "the newest version is passed on, whatever its position",
    newest_version_is_passed_on },
  { "an entry nested up to the parser's limit costs no other",
    deeply_nested_entry_reaches_replicas },
  { "only who asks for a difference gets one",
    older_builds_get_the_whole_text },
  { "storms of versions are fetched at a pace", storms_of_versions_are_paced },
  { "damaged data is rejected", damaged_data_is_rejected },
  { "failed watchers are replaced", failed_watchers_are_replaced },
  { "the number of watchers is bounded in an outage",
    watchers_are_bounded_in_outage },
};

TEST_MAIN ("snapshot", cases)

/* Instance that gets its data from the snapshot of another one. */
struct replica
{
  struct snapshot_state known;
  uint64_t revision[TARGETS]; /* by target, 0: none */
  uint64_t config;
  int full_lists;
};

static void
replica_begin (void *closure)
{
  struct replica *replica = closure;

  memset (replica->revision, 0, sizeof replica->revision);
  replica->full_lists++;
}

static void
replica_target (void *closure, const struct watch_object *object)
{
  struct replica *replica = closure;
  int index = atoi (object->name + 1);

  replica->revision[index] = object->deleted ? 0 : object->position.revision;
}

static void
replica_config (void *closure, const struct watch_object *object)
{
  ((struct replica *)closure)->config = object->position.revision;
}

static void
replica_end (void *closure, struct position position)
{
  (void)closure;
  (void)position;
}

/* Updates REPLICA from SNAPSHOT, which covers the revisions NOW.  */
static void
sync_replica (struct replica *replica, struct snapshot *snapshot,
              const struct snapshot_state *now)
{
  struct watch_sink config = { replica_begin, replica_config, replica_end,
                               replica, .takes_text = 0 };
  struct watch_sink targets = { replica_begin, replica_target, replica_end,
                                replica, .takes_text = 0 };
  size_t length;
  size_t size;
  const char *data
      = snapshot_compress (snapshot, &replica->known, now, &length);
  char *text = snapshot_decompress (data, length, &size);
  struct snapshot_state read;

  CU_ASSERT_PTR_NOT_NULL (text);
  CU_ASSERT_EQUAL (
      snapshot_parse (text, size, &read, &replica->known, &config, &targets),
      0);
  CU_ASSERT_EQUAL (pos_compare (read.targets, now->targets), 0);
  replica->known = read;
  g_free (text);
}

/* Stores in SNAPSHOT a change of the target INDEX, or its deletion, at
   POSITION.  */
static void
put_target (struct snapshot *snapshot, int index, int deleted,
            struct position position)
{
  char name[NAME_BYTES];
  json_t *content = json_object ();
  struct watch_object object = {
    .name = name, .position = position, .deleted = deleted, .content = content
  };

  g_snprintf (name, sizeof name, "i%d", index);
  snapshot_put_target (snapshot, &object);
  json_decref (content);
}

/* Puts into SNAPSHOT the version VERSION, of which little changes.  */
static void
put_version (struct snapshot *snapshot, int version)
{
  struct watch_object object
      = { .name = "main", .position = { 0, (uint64_t)version } };
  char *config = g_strdup_printf (
      "{\"version\":%d,\"routes\":[],\"services\":[{\"name\":"
      "\"a-name-that-is-longer-than-all-that-changes-in-a-version\"}]}",
      version);
  GBytes *text = g_bytes_new_take (config, strlen (config));

  snapshot_put_config (
      snapshot, &object,
      plat_read_config_text (text, snapshot_config (snapshot)));
  g_bytes_unref (text);
}

/* Guards against a difference sent to a build that cannot read it, or to an
   instance with a version that the sender does not know.  */
static void
older_builds_get_the_whole_text (void)
{
  static const struct
  {
    uint64_t base;
    int is_delta;
  } cases_of_base[] = { { 0, 0 }, { 7, 1 }, { 6, 1 }, { 4, 0 } };
  struct snapshot *snapshot = snapshot_new ();
  struct snapshot_state now = { .version = 8, .config = { 0, 8 } };

  put_version (snapshot, 5);
  put_version (snapshot, 7);
  put_version (snapshot, 8);
  for (size_t i = 0; i < G_N_ELEMENTS (cases_of_base); i++)
    {
      struct snapshot_state since
          = { .version = 1, .base = cases_of_base[i].base };
      char *text = snapshot_to_json (snapshot, &since, &now);

      CU_ASSERT_EQUAL (strstr (text, "\"delta\":") != NULL,
                       cases_of_base[i].is_delta);
      CU_ASSERT_EQUAL (strstr (text, "\"content\":{\"version\":8,") != NULL,
                       !cases_of_base[i].is_delta);
      g_free (text);
    }
  snapshot_free (snapshot);
}

/* Guards against versions that pile up in a storm, against one after calm that
   waits, and against targets that wait with versions.  */
static void
storms_of_versions_are_paced (void)
{
  enum
  {
    CALM_MS = 10000,
    STORM_MS = 3000,
    BETWEEN_MS = 70
  };
  struct snapshot_state known = { .version = 1, .targets = { 0, 1 } };
  struct snapshot_state told = known;
  int64_t taken_ms = -CALM_MS;
  int fetches = 0;

  for (int64_t now = 0; now < STORM_MS + SNAPSHOT_CONFIG_PACE_MS; now++)
    {
      told.version += now < STORM_MS && now % BETWEEN_MS == 0;
      told.targets.revision = (uint64_t)(now == STORM_MS / 2 ? 2 : 1);
      if (now == STORM_MS / 2)
        CU_ASSERT_NOT_EQUAL (snapshot_wanted (&told, &known, now - taken_ms),
                             SNAPSHOT_NOTHING);
      if (snapshot_wanted (&told, &known, now - taken_ms) != SNAPSHOT_ALL)
        continue;
      CU_ASSERT (fetches > 0 || now == 0);
      CU_ASSERT (now - taken_ms >= SNAPSHOT_CONFIG_PACE_MS);
      fetches++;
      taken_ms = now;
      known.version = told.version;
    }
  CU_ASSERT_EQUAL (known.version, told.version);
  CU_ASSERT_EQUAL (fetches, 1 + STORM_MS / SNAPSHOT_CONFIG_PACE_MS);
  told.version++;
  known.targets.revision = 0;
  CU_ASSERT_EQUAL (snapshot_wanted (&told, &known, 0), SNAPSHOT_TARGETS);
  CU_ASSERT_EQUAL (snapshot_wanted (&told, &known, CALM_MS), SNAPSHOT_ALL);
}

/* The entry has the depth at which a parser still accepts it in the store.  */
static void
deeply_nested_entry_reaches_replicas (void)
{
  struct snapshot *snapshot = snapshot_new ();
  struct replica replica = { 0 };
  struct snapshot_state now = { .config = { 0, 1 }, .targets = { 0, 3 } };
  json_t *content = json_object ();
  struct watch_object deep
      = { .name = "i1", .position = { 0, 2 }, .content = content };
  json_t *inner = content;

  for (int depth = 2; depth < JSON_PARSER_MAX_DEPTH; depth++)
    {
      json_t *next = json_object ();

      json_object_set_new (inner, "a", next);
      inner = next;
    }
  snapshot_put_target (snapshot, &deep);
  put_target (snapshot, 2, 0, (struct position){ 0, 3 });
  sync_replica (&replica, snapshot, &now);
  CU_ASSERT_EQUAL (replica.revision[1], 2);
  CU_ASSERT_EQUAL (replica.revision[2], 3);
  json_decref (content);
  snapshot_free (snapshot);
}

/* A replica that fetches each change and one that fetches every 40th must both
   end with the exact content of the store, without a second full list.  */
static void
replicas_match_store (void)
{
  struct snapshot *snapshot = snapshot_new ();
  GRand *random = g_rand_new_with_seed (11);
  uint64_t expected[TARGETS] = { 0 };
  struct replica frequent = { 0 };
  struct replica infrequent = { 0 };
  struct snapshot_state now = { .config = { 0, 1 }, .targets = { 0, 1 } };

  snapshot_list_begin (snapshot);
  snapshot_list_end (snapshot, (struct position){ 0, 1 });
  for (int round = 0; round < ROUNDS; round++)
    {
      int index = g_rand_int_range (random, 0, TARGETS);
      int deleted
          = expected[index] != 0 && g_rand_int_range (random, 0, 3) == 0;

      now.targets.revision++;
      expected[index] = deleted ? 0 : now.targets.revision;
      put_target (snapshot, index, deleted, now.targets);
      sync_replica (&frequent, snapshot, &now);
      CU_ASSERT_EQUAL (memcmp (frequent.revision, expected, sizeof expected),
                       0);
      if (round % 40 == 0)
        {
          sync_replica (&infrequent, snapshot, &now);
          CU_ASSERT_EQUAL (
              memcmp (infrequent.revision, expected, sizeof expected), 0);
        }
    }
  CU_ASSERT_EQUAL (frequent.full_lists, 1);
  CU_ASSERT_EQUAL (infrequent.full_lists, 1);
  g_rand_free (random);
  snapshot_free (snapshot);
}

/* When the list is read again, replicas get the difference and not another
   full list.  A target that is no longer in the list counts as deleted.  */
static void
new_list_yields_deletions (void)
{
  struct snapshot *snapshot = snapshot_new ();
  struct replica replica = { 0 };
  struct snapshot_state now = { .config = { 0, 1 }, .targets = { 0, 4 } };

  snapshot_list_begin (snapshot);
  put_target (snapshot, 0, 0, (struct position){ 0, 2 });
  put_target (snapshot, 1, 0, (struct position){ 0, 3 });
  put_target (snapshot, 2, 0, (struct position){ 0, 4 });
  snapshot_list_end (snapshot, (struct position){ 0, 4 });
  sync_replica (&replica, snapshot, &now);
  CU_ASSERT_EQUAL (replica.full_lists, 1);
  snapshot_list_begin (snapshot);
  put_target (snapshot, 0, 0, (struct position){ 0, 2 });
  put_target (snapshot, 2, 0, (struct position){ 0, 8 });
  snapshot_list_end (snapshot, (struct position){ 0, 9 });
  now.targets.revision = 9;
  sync_replica (&replica, snapshot, &now);
  CU_ASSERT_EQUAL (replica.full_lists, 1);
  CU_ASSERT_EQUAL (replica.revision[0], 2);
  CU_ASSERT_EQUAL (replica.revision[1], 0);
  CU_ASSERT_EQUAL (replica.revision[2], 8);
  snapshot_free (snapshot);
}

static void
damaged_data_is_rejected (void)
{
  struct snapshot *snapshot = snapshot_new ();
  struct snapshot_state since = { 0 };
  struct snapshot_state now = { .config = { 0, 1 }, .targets = { 0, 1 } };
  size_t length;
  size_t size;
  const char *data;
  char *copy;

  put_target (snapshot, 0, 0, (struct position){ 0, 1 });
  data = snapshot_compress (snapshot, &since, &now, &length);
  for (size_t cut = 0; cut < length; cut++)
    CU_ASSERT_PTR_NULL (snapshot_decompress (data, cut, &size));
  copy = g_malloc (length + 1);
  memcpy (copy, data, length);
  copy[0] = 'f';
  CU_ASSERT_PTR_NULL (snapshot_decompress (copy, length, &size));
  g_free (copy);
  snapshot_free (snapshot);
}

/* Instance of the failure domain in the simulated election. */
struct instance
{
  int has_failed;
  int is_watching;
  int is_lost;
  int64_t short_ms;
};

/* Advances the election by STEP_MS: all INSTANCES see each other and decide
   whether to watch.  */
static void
advance_all (struct instance *instances)
{
  int decisions[INSTANCES] = { 0 };

  for (int i = 0; i < INSTANCES; i++)
    {
      struct elect_view view = { .is_watching = instances[i].is_watching };

      for (int other = 0; other < INSTANCES; other++)
        {
          const struct instance *peer = &instances[other];

          if (other == i || peer->has_failed)
            continue;
          if (peer->is_lost)
            view.failed_watchers++;
          else if (peer->is_watching)
            {
              view.watchers++;
              view.watchers_before += other < i;
            }
          else
            view.candidates_before += other < i;
        }
      instances[i].short_ms
          = elect_needs_watchers (&view) ? instances[i].short_ms + STEP_MS : 0;
      view.short_ms = instances[i].short_ms;
      decisions[i] = elect_should_watch (&view);
    }
  for (int i = 0; i < INSTANCES; i++)
    instances[i].is_watching = decisions[i] && !instances[i].has_failed;
}

/* Returns how many of INSTANCES watch.  */
static int
count_watchers (const struct instance *instances)
{
  int count = 0;

  for (int i = 0; i < INSTANCES; i++)
    count += instances[i].is_watching;
  return count;
}

/* Exactly two instances watch.  While watchers fail one by one, at least two
   must watch after one step and exactly two once the election has settled.  */
static void
failed_watchers_are_replaced (void)
{
  struct instance instances[INSTANCES] = { 0 };
  int first = 0;

  for (int ms = 0; ms < SETTLE_MS; ms += STEP_MS)
    advance_all (instances);
  CU_ASSERT_EQUAL (count_watchers (instances), 2);
  for (int failure_count = 0; failure_count < INSTANCES - 2; failure_count++)
    {
      while (!instances[first].is_watching)
        first++;
      instances[first].has_failed = 1;
      instances[first].is_watching = 0;
      advance_all (instances);
      CU_ASSERT (count_watchers (instances) >= 2);
      for (int ms = 0; ms < SETTLE_MS; ms += STEP_MS)
        advance_all (instances);
      CU_ASSERT_EQUAL (count_watchers (instances), 2);
    }
}

/* In an outage of the store no watcher reaches the store, so that other
   instances try to watch as well.  At no time may more than half of the
   instances try.  */
static void
watchers_are_bounded_in_outage (void)
{
  struct instance instances[INSTANCES] = { 0 };
  int max_watchers = 0;

  for (int ms = 0; ms < 4 * SETTLE_MS; ms += STEP_MS)
    {
      advance_all (instances);
      for (int i = 0; i < INSTANCES; i++)
        instances[i].is_lost = instances[i].is_watching;
      max_watchers = MAX (max_watchers, count_watchers (instances));
    }
  CU_ASSERT (max_watchers >= 2);
  CU_ASSERT (max_watchers <= INSTANCES / 2);
}

/* An instance that was disconnected from the store may still pass on the entry
   of a target that has since been deleted or replaced.  */
static void
outdated_entry_is_ignored (void)
{
  struct snapshot *snapshot = snapshot_new ();
  struct watch_object first = { .name = "i-1", .position = { 0, 5 } };
  struct watch_object removal
      = { .name = "i-1", .position = { 0, 9 }, .deleted = 1 };
  struct watch_object second = { .name = "i-1", .position = { 0, 10 } };

  CU_ASSERT (snapshot_put_target (snapshot, &first));
  CU_ASSERT (snapshot_put_target (snapshot, &removal));
  CU_ASSERT (!snapshot_put_target (snapshot, &first));
  CU_ASSERT (snapshot_put_target (snapshot, &second));
  CU_ASSERT (!snapshot_put_target (snapshot, &first));
  snapshot_free (snapshot);
}

static void
positions_are_ordered_by_epoch_first (void)
{
  struct position before = { 1, 29 };
  struct position after = { 2, 27 };
  struct position later = { 2, 29 };
  uint64_t epoch = 7;

  CU_ASSERT (pos_compare (before, after) < 0);
  CU_ASSERT (pos_compare (later, after) > 0);
  CU_ASSERT (pos_compare (before, later) < 0);
  CU_ASSERT_EQUAL (pos_compare (after, after), 0);
  CU_ASSERT_EQUAL (pos_max (before, after).epoch, 2);
  CU_ASSERT_EQUAL (pos_parse_epoch (NULL, &epoch), 0);
  CU_ASSERT_EQUAL (epoch, 0);
  CU_ASSERT_EQUAL (pos_parse_epoch ("12", &epoch), 0);
  CU_ASSERT_EQUAL (epoch, 12);
  for (const char *const *value
       = (const char *const[]){ "", "-1", "+1", " 1", "1 ", "0x1", "1e3",
                                "4294967296", NULL };
       *value != NULL; value++)
    CU_ASSERT_NOT_EQUAL (pos_parse_epoch (*value, &epoch), 0);
  CU_ASSERT_EQUAL (epoch, 12);
}

/* One replica fetches each change, the other every 40th.  */
static void
replicas_follow_restorations (void)
{
  struct snapshot *snapshot = snapshot_new ();
  GRand *random = g_rand_new_with_seed (12);
  uint64_t expected[TARGETS] = { 0 };
  struct replica frequent = { 0 };
  struct replica infrequent = { 0 };
  struct snapshot_state now = { .targets = { 1, 1 } };

  snapshot_list_begin (snapshot);
  snapshot_list_end (snapshot, now.targets);
  for (int round = 0; round < ROUNDS; round++)
    {
      int index = g_rand_int_range (random, 0, TARGETS);

      if (g_rand_int_range (random, 0, 10) == 0)
        {
          now.targets.epoch++;
          now.targets.revision -= MIN (now.targets.revision - 1, 5);
          snapshot_list_begin (snapshot);
          for (int i = 0; i < TARGETS; i++)
            {
              if (expected[i] > now.targets.revision)
                expected[i] = 0;
              if (expected[i] != 0)
                put_target (
                    snapshot, i, 0,
                    (struct position){ now.targets.epoch, expected[i] });
            }
          snapshot_list_end (snapshot, now.targets);
        }
      now.targets.revision++;
      expected[index] = now.targets.revision;
      put_target (snapshot, index, 0, now.targets);
      sync_replica (&frequent, snapshot, &now);
      CU_ASSERT_EQUAL (memcmp (frequent.revision, expected, sizeof expected),
                       0);
      if (round % 40 != 0)
        continue;
      sync_replica (&infrequent, snapshot, &now);
      CU_ASSERT_EQUAL (memcmp (infrequent.revision, expected, sizeof expected),
                       0);
    }
  g_rand_free (random);
  snapshot_free (snapshot);
}

/* The sender has it from an older epoch than what the receiver has.  */
static void
newest_version_is_passed_on (void)
{
  struct snapshot *snapshot = snapshot_new ();
  struct replica replica
      = { .known
          = { .version = 9, .config = { 2, 25 }, .targets = { 2, 25 } } };
  struct snapshot_state now
      = { .version = 12, .config = { 1, 29 }, .targets = { 1, 29 } };
  static const char config[] = "{\"version\":12,\"routes\":[]}";
  GBytes *text = g_bytes_new_static (config, sizeof config - 1);
  struct watch_object object = { .name = "main", .position = { 1, 29 } };

  CU_ASSERT (snapshot_is_newer (&now, &replica.known));
  snapshot_put_config (snapshot, &object, plat_read_config_text (text, NULL));
  g_bytes_unref (text);
  put_target (snapshot, 0, 0, now.targets);
  sync_replica (&replica, snapshot, &now);
  CU_ASSERT_EQUAL (replica.config, 29);
  CU_ASSERT_EQUAL (replica.revision[0], 0);
  CU_ASSERT_EQUAL (replica.full_lists, 0);
  snapshot_free (snapshot);
}
