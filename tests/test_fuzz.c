/* Parsers of untrusted input, run on mutated corpora with fixed seeds. */
#include <string.h>

#include "fuzz_parsers.h"
#include "ibisloom/wire.h"
#include "test.h"

#define CORPORA "regress/fuzz"

enum
{
  ROUNDS = 20000,
  INPUT_MAX_BYTES = 4096,
  MUTATIONS_MAX = 6,
  INSERT_BYTES = 8
};

static void corpora_have_valid_inputs (void);
static void mutated_input_is_handled (void);
static void corrupted_datagrams_are_rejected (void);

static const struct test_case cases[] = {
  { "each corpus has a valid input", corpora_have_valid_inputs },
  { "parsers handle mutated input", mutated_input_is_handled },
  { "corrupted datagrams are rejected", corrupted_datagrams_are_rejected },
};

TEST_MAIN ("fuzz", cases)

/* Returns the inputs of the corpus NAME, sorted by file name.  */
static GPtrArray *
load_corpus (const char *name)
{
  GPtrArray *inputs
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  char *path = g_build_filename (CORPORA, name, NULL);
  GDir *dir = g_dir_open (path, 0, NULL);
  GList *files = NULL;
  const char *file;

  CU_ASSERT_PTR_NOT_NULL_FATAL (dir);
  while ((file = g_dir_read_name (dir)) != NULL)
    files = g_list_insert_sorted (files, g_build_filename (path, file, NULL),
                                  (GCompareFunc)(void (*) (void))strcmp);
  for (GList *at = files; at != NULL; at = at->next)
    {
      char *data;
      size_t length;

      CU_ASSERT_FATAL (g_file_get_contents (at->data, &data, &length, NULL));
      g_ptr_array_add (inputs, g_bytes_new_take (data, length));
    }
  g_list_free_full (files, g_free);
  g_dir_close (dir);
  g_free (path);
  return inputs;
}

static void
corpora_have_valid_inputs (void)
{
  for (size_t i = 0; i < fuzz_parser_count; i++)
    {
      GPtrArray *inputs = load_corpus (fuzz_parsers[i].name);
      int accepted = 0;

      for (guint j = 0; j < inputs->len; j++)
        {
          size_t length;
          const char *data = g_bytes_get_data (inputs->pdata[j], &length);
          char *input = g_strndup (data != NULL ? data : "", length);

          if (data != NULL)
            memcpy (input, data, length);
          accepted += fuzz_parsers[i].run (input, length);
          g_free (input);
        }
      CU_ASSERT (accepted > 0);
      g_ptr_array_unref (inputs);
    }
}

/* Copies SEED to INPUT with up to MUTATIONS_MAX - 1 random mutations: a
   changed byte, a truncation, a deleted byte or a repetition of INSERT_BYTES
   bytes.  Returns the length of INPUT, which has a 0 appended.  */
static size_t
mutate (GRand *random, GBytes *seed, char *input)
{
  size_t length;
  const char *data = g_bytes_get_data (seed, &length);
  int mutations = g_rand_int_range (random, 0, MUTATIONS_MAX);

  length = MIN (length, (size_t)INPUT_MAX_BYTES - 1);
  if (length > 0)
    memcpy (input, data, length);
  for (int i = 0; i < mutations && length > 1; i++)
    {
      size_t at = (size_t)g_rand_int_range (random, 0, (gint32)length);
      int kind = g_rand_int_range (random, 0, 4);

      if (kind == 0)
        input[at] = (char)g_rand_int_range (random, 0, 256);
      else if (kind == 1)
        length = at + 1;
      else if (kind == 2)
        memmove (input + at, input + at + 1, --length - at);
      else if (length + INSERT_BYTES < INPUT_MAX_BYTES)
        {
          memmove (input + at + INSERT_BYTES, input + at, length - at);
          length += INSERT_BYTES;
        }
    }
  input[length] = '\0';
  return length;
}

static void
mutated_input_is_handled (void)
{
  char input[INPUT_MAX_BYTES] = "";

  for (size_t i = 0; i < fuzz_parser_count; i++)
    {
      GPtrArray *seeds = load_corpus (fuzz_parsers[i].name);
      GRand *random = g_rand_new_with_seed ((guint32)i + 1);
      int accepted = 0;

      for (int round = 0; round < ROUNDS; round++)
        {
          guint seed_index
              = (guint)g_rand_int_range (random, 0, (gint32)seeds->len);
          size_t length = mutate (random, seeds->pdata[seed_index], input);

          accepted += fuzz_parsers[i].run (input, length);
        }
      CU_ASSERT (accepted > 0);
      CU_ASSERT (accepted < ROUNDS);
      g_rand_free (random);
      g_ptr_array_unref (seeds);
    }
}

static void
corrupted_datagrams_are_rejected (void)
{
  GRand *random = g_rand_new_with_seed (7);
  struct wire_message message
      = { .kind = WIRE_HEARTBEAT,
          .u.heartbeat
          = { .load_count = 2, .loads = { { 1, 2 }, { 3, 4 } } } };
  struct wire_key key = { { 0 } };
  unsigned char data[WIRE_MAX_BYTES];
  size_t length = wire_encode (&message, &key, data);

  CU_ASSERT_EQUAL (wire_decode (&message, &key, data, length), WIRE_OK);
  CU_ASSERT_EQUAL (message.u.heartbeat.loads[1].load, 4);
  for (int i = 0; i < ROUNDS; i++)
    {
      unsigned char corrupted[WIRE_MAX_BYTES];
      size_t at = (size_t)g_rand_int_range (random, 0, (gint32)length);

      memcpy (corrupted, data, length);
      corrupted[at] ^= (unsigned char)g_rand_int_range (random, 1, 256);
      CU_ASSERT_NOT_EQUAL (wire_decode (&message, &key, corrupted, length),
                           WIRE_OK);
      CU_ASSERT_NOT_EQUAL (wire_decode (&message, &key, data, at), WIRE_OK);
    }
  g_rand_free (random);
}
