/* Snapshots between instances, and which instances watch the store. */
#include <stdlib.h>
#include <string.h>

#include "ibisloom/elect.h"
#include "ibisloom/snapshot.h"
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

static void followers_have_what_the_store_has (void);
static void a_new_list_tells_what_is_gone (void);
static void damaged_bytes_are_not_taken (void);
static void watchers_are_few_and_replaced (void);
static void triers_are_bounded (void);

static void old_news_brings_nobody_back (void);

static const struct test_case cases[] = {
  { "followers have what the store has", followers_have_what_the_store_has },
  { "a new list tells what is gone", a_new_list_tells_what_is_gone },
  { "old news does not bring back who left", old_news_brings_nobody_back },
  { "damaged bytes are not taken", damaged_bytes_are_not_taken },
  { "watchers are few, and replaced when they end",
    watchers_are_few_and_replaced },
  { "few try while the store is away", triers_are_bounded },
};

TEST_MAIN ("snapshot", cases)

/* What a follower has: revisions by name, 0 for none. */
struct follower
{
  struct snp_point known;
  uint64_t revision[TARGETS];
  uint64_t config;
  int whole_lists;
};

static void
follower_begin (void *closure)
{
  struct follower *follower = closure;

  memset (follower->revision, 0, sizeof follower->revision);
  follower->whole_lists++;
}

static void
follower_target (void *closure, const struct fol_object *object)
{
  struct follower *follower = closure;
  int index = atoi (object->name + 1);

  follower->revision[index] = object->deleted ? 0 : object->revision;
}

static void
follower_config (void *closure, const struct fol_object *object)
{
  ((struct follower *)closure)->config = object->revision;
}

static void
follower_end (void *closure, uint64_t revision)
{
  (void)closure;
  (void)revision;
}

/* Lets FOLLOWER take what is new in SNP, which is known up to NOW.  */
static void
follow (struct follower *follower, struct snp *snp,
        const struct snp_point *now)
{
  struct fol_sink config
      = { follower_begin, follower_config, follower_end, follower };
  struct fol_sink targets
      = { follower_begin, follower_target, follower_end, follower };
  size_t length;
  size_t size;
  const char *data = snp_pack (snp, &follower->known, now, &length);
  char *text = snp_unpack (data, length, &size);
  struct snp_point read;

  CU_ASSERT_PTR_NOT_NULL (text);
  CU_ASSERT_EQUAL (snp_read (text, size, &read, &config, &targets), 0);
  CU_ASSERT_EQUAL (read.targets, now->targets);
  follower->known = read;
  g_free (text);
}

/* Tells SNP that the target INDEX changed, or is gone, at REVISION.  */
static void
change (struct snp *snp, int index, int deleted, uint64_t revision)
{
  char name[NAME_BYTES];
  json_t *content = json_object ();
  struct fol_object object = {
    .name = name, .revision = revision, .deleted = deleted, .content = content
  };

  g_snprintf (name, sizeof name, "i%d", index);
  snp_target (snp, &object);
  json_decref (content);
}

static void
followers_have_what_the_store_has (void)
{
  struct snp *snp = snp_new ();
  GRand *random = g_rand_new_with_seed (11);
  uint64_t truth[TARGETS] = { 0 };
  struct follower often = { 0 };
  struct follower seldom = { 0 };
  struct snp_point now = { 1, 1 };

  snp_list_begin (snp);
  snp_list_end (snp, 1);
  for (int round = 0; round < ROUNDS; round++)
    {
      int index = g_rand_int_range (random, 0, TARGETS);
      int deleted = truth[index] != 0 && g_rand_int_range (random, 0, 3) == 0;

      now.targets++;
      truth[index] = deleted ? 0 : now.targets;
      change (snp, index, deleted, now.targets);
      follow (&often, snp, &now);
      CU_ASSERT_EQUAL (memcmp (often.revision, truth, sizeof truth), 0);
      if (round % 40 == 0)
        {
          follow (&seldom, snp, &now);
          CU_ASSERT_EQUAL (memcmp (seldom.revision, truth, sizeof truth), 0);
        }
    }
  CU_ASSERT_EQUAL (often.whole_lists, 1);
  CU_ASSERT_EQUAL (seldom.whole_lists, 1);
  g_rand_free (random);
  snp_free (snp);
}

/* Followers get the difference, not the whole list once more.  */
static void
a_new_list_tells_what_is_gone (void)
{
  struct snp *snp = snp_new ();
  struct follower follower = { 0 };
  struct snp_point now = { 1, 4 };

  snp_list_begin (snp);
  change (snp, 0, 0, 2);
  change (snp, 1, 0, 3);
  change (snp, 2, 0, 4);
  snp_list_end (snp, 4);
  follow (&follower, snp, &now);
  CU_ASSERT_EQUAL (follower.whole_lists, 1);
  snp_list_begin (snp);
  change (snp, 0, 0, 2);
  change (snp, 2, 0, 8);
  snp_list_end (snp, 9);
  now.targets = 9;
  follow (&follower, snp, &now);
  CU_ASSERT_EQUAL (follower.whole_lists, 1);
  CU_ASSERT_EQUAL (follower.revision[0], 2);
  CU_ASSERT_EQUAL (follower.revision[1], 0);
  CU_ASSERT_EQUAL (follower.revision[2], 8);
  snp_free (snp);
}

static void
damaged_bytes_are_not_taken (void)
{
  struct snp *snp = snp_new ();
  struct snp_point since = { 0, 0 };
  struct snp_point now = { 1, 1 };
  size_t length;
  size_t size;
  const char *data;
  char *copy;

  change (snp, 0, 0, 1);
  data = snp_pack (snp, &since, &now, &length);
  for (size_t cut = 0; cut < length; cut++)
    CU_ASSERT_PTR_NULL (snp_unpack (data, cut, &size));
  copy = g_malloc (length + 1);
  memcpy (copy, data, length);
  copy[0] = 'f';
  CU_ASSERT_PTR_NULL (snp_unpack (copy, length, &size));
  g_free (copy);
  snp_free (snp);
}

/* One instance of a failure domain in the play of duties. */
struct instance
{
  int is_dead;
  int is_watching;
  int is_lost;
  int64_t short_ms;
};

/* Lets all INSTANCES see each other and decide, STEP_MS later.  */
static void
step (struct instance *instances)
{
  int decisions[INSTANCES] = { 0 };

  for (int i = 0; i < INSTANCES; i++)
    {
      struct elect_view view = { .is_watching = instances[i].is_watching };

      for (int other = 0; other < INSTANCES; other++)
        {
          const struct instance *peer = &instances[other];

          if (other == i || peer->is_dead)
            continue;
          if (peer->is_lost)
            view.lost++;
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
    instances[i].is_watching = decisions[i] && !instances[i].is_dead;
}

/* Returns how many watch.  */
static int
watching (const struct instance *instances)
{
  int count = 0;

  for (int i = 0; i < INSTANCES; i++)
    count += instances[i].is_watching;
  return count;
}

static void
watchers_are_few_and_replaced (void)
{
  struct instance instances[INSTANCES] = { 0 };
  int first = 0;

  for (int ms = 0; ms < SETTLE_MS; ms += STEP_MS)
    step (instances);
  CU_ASSERT_EQUAL (watching (instances), 2);
  for (int killed = 0; killed < INSTANCES - 2; killed++)
    {
      while (!instances[first].is_watching)
        first++;
      instances[first].is_dead = 1;
      instances[first].is_watching = 0;
      step (instances);
      CU_ASSERT (watching (instances) >= 2);
      for (int ms = 0; ms < SETTLE_MS; ms += STEP_MS)
        step (instances);
      CU_ASSERT_EQUAL (watching (instances), 2);
    }
}

static void
triers_are_bounded (void)
{
  struct instance instances[INSTANCES] = { 0 };
  int most = 0;

  for (int ms = 0; ms < 4 * SETTLE_MS; ms += STEP_MS)
    {
      step (instances);
      for (int i = 0; i < INSTANCES; i++)
        instances[i].is_lost = instances[i].is_watching;
      most = MAX (most, watching (instances));
    }
  CU_ASSERT (most >= 2);
  CU_ASSERT (most <= INSTANCES / 2);
}

static void
old_news_brings_nobody_back (void)
{
  struct snp *snp = snp_new ();
  struct fol_object ready = { .name = "i-1", .revision = 5 };
  struct fol_object ended = { .name = "i-1", .revision = 9, .deleted = 1 };
  struct fol_object again = { .name = "i-1", .revision = 10 };

  CU_ASSERT (snp_target (snp, &ready));
  CU_ASSERT (snp_target (snp, &ended));
  CU_ASSERT (!snp_target (snp, &ready));
  CU_ASSERT (snp_target (snp, &again));
  CU_ASSERT (!snp_target (snp, &ready));
  snp_free (snp);
}
