/* Splitting of JSON text that the parser may refuse. */
#include <string.h>

#include "ibisloom/json_scan.h"
#include "test.h"

enum
{
  DEPTH = 100000,
  ROUNDS = 2000,
  PIECES = 12, /* of an element; below ELEMENTS_MAX */
  ELEMENTS_MAX = 16
};

static void elements_are_split_at_their_commas (void);
static void refused_element_costs_no_other (void);
static void members_are_parsed_one_by_one (void);
static void long_elements_are_split_at_their_commas (void);
static void each_truncation_is_rejected (void);
static void malformed_text_is_rejected (void);

static const struct test_case cases[] = {
  { "elements are split at their commas", elements_are_split_at_their_commas },
  { "an element that the parser refuses costs no other",
    refused_element_costs_no_other },
  { "members are parsed one by one", members_are_parsed_one_by_one },
  { "elements of many blocks are split at their commas",
    long_elements_are_split_at_their_commas },
  { "each truncation of a page is rejected", each_truncation_is_rejected },
  { "malformed text is rejected", malformed_text_is_rejected },
};

TEST_MAIN ("json_scan", cases)

static struct scan_text
text_of (const char *text)
{
  return (struct scan_text){ text, strlen (text) };
}

/* Stores the elements of ARRAY in ELEMENTS.  Returns how many there are, or -1
   if ARRAY is malformed.  */
static int
split (const char *array, struct scan_text *elements)
{
  struct scan_text rest;
  int count = 0;
  int result = scan_array (text_of (array), &rest);

  while (result >= 0 && count < ELEMENTS_MAX
         && (result = scan_next (&rest, &elements[count])) > 0)
    count++;
  return result < 0 ? -1 : count;
}

static void
expect_text (struct scan_text found, const char *expected)
{
  CU_ASSERT_EQUAL (found.length, strlen (expected));
  CU_ASSERT (found.length == strlen (expected)
             && memcmp (found.at, expected, found.length) == 0);
}

static void
elements_are_split_at_their_commas (void)
{
  struct scan_text elements[ELEMENTS_MAX] = { { NULL, 0 } };

  CU_ASSERT_EQUAL (split (" [ ] ", elements), 0);
  CU_ASSERT_EQUAL (
      split ("[1, \"a,]\\\"}\" ,\n{\"b\":[2,{}]},[[],[3,4]]]", elements), 4);
  expect_text (elements[0], "1");
  expect_text (elements[1], "\"a,]\\\"}\"");
  expect_text (elements[2], "{\"b\":[2,{}]}");
  expect_text (elements[3], "[[],[3,4]]");
}

static void
refused_element_costs_no_other (void)
{
  static const char *const refused[] = { "99999999999999999999",
                                         "-1e400",
                                         "\"\\u0000x\"",
                                         "\"\\ud800\"",
                                         "\"\xff\xfe\"",
                                         "NaN",
                                         "\"\x01\"",
                                         "1 2",
                                         "\"\\x\"",
                                         "{\"a\"}",
                                         "{}{}",
                                         "tru",
                                         "[[[[}}}}",
                                         "'a'" };
  GString *nested = g_string_new (NULL);
  struct scan_text elements[ELEMENTS_MAX] = { { NULL, 0 } };

  for (size_t i = 0; i <= G_N_ELEMENTS (refused); i++)
    {
      char *array;

      for (int j = 0; i == G_N_ELEMENTS (refused) && j < 2 * DEPTH; j++)
        g_string_append (nested, j < DEPTH ? "{\"a\":[" : "]}");
      array = g_strdup_printf ("[{\"b\":1},%s,{\"c\":2}]",
                               nested->len > 0 ? nested->str : refused[i]);
      CU_ASSERT_EQUAL_FATAL (split (array, elements), 3);
      CU_ASSERT_PTR_NULL (scan_parse (elements[1]));
      expect_text (elements[0], "{\"b\":1}");
      expect_text (elements[2], "{\"c\":2}");
      g_free (array);
    }
  g_string_free (nested, TRUE);
}

static void
members_are_parsed_one_by_one (void)
{
  static const char *const apart[] = { "items", "more" };
  struct scan_text parts[2];
  json_t *members = scan_object (
      text_of ("{\"items\":[0], \"at\" : 7,\"odd\":1e400,\"\xff\":1,"
               "\"items\":[1e400],\"at\":8}"),
      apart, parts, 2);

  CU_ASSERT_EQUAL (json_object_size (members), 1);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (members, "at")), 8);
  expect_text (parts[0], "[1e400]");
  CU_ASSERT_EQUAL (parts[1].length, 0);
  json_decref (members);
}

/* Guards against strings, escapes and brackets that lie across the blocks that
   the scanner skips.  */
static void
long_elements_are_split_at_their_commas (void)
{
  static const char *const pieces[] = { "[]",
                                        "{\"a\":[1]}",
                                        "\"]}[{,\"",
                                        "\"\\\"]\"",
                                        "\"\\\\\"",
                                        "1234567890",
                                        "\"abcdefghijklmnopqrstuvwxyz{{{{\"",
                                        "[[{}]]" };
  GRand *random = g_rand_new_with_seed (3);

  for (int round = 0; round < ROUNDS; round++)
    {
      GString *text = g_string_new ("[");
      GString *expected[2] = { g_string_new ("["), g_string_new ("{\"k\":[") };
      struct scan_text elements[ELEMENTS_MAX] = { { NULL, 0 } };

      for (int i = 0; i < 2; i++)
        {
          for (int j = 0; j < PIECES; j++)
            g_string_append_printf (
                expected[i], "%s%s", j > 0 ? "," : "",
                pieces[g_rand_int_range (random, 0, G_N_ELEMENTS (pieces))]);
          g_string_append (expected[i], i == 0 ? "]" : "]}");
          g_string_append_printf (text, "%s%s", i > 0 ? "," : "",
                                  expected[i]->str);
        }
      g_string_append_c (text, ']');
      CU_ASSERT_EQUAL (split (text->str, elements), 2);
      for (int i = 0; i < 2; i++)
        expect_text (elements[i], expected[i]->str);
      text->str[1] = ' ';
      CU_ASSERT_EQUAL (split (text->str, elements), -1);
      g_string_free (text, TRUE);
      for (int i = 0; i < 2; i++)
        g_string_free (expected[i], TRUE);
    }
  g_rand_free (random);
}

static void
each_truncation_is_rejected (void)
{
  static const char page[]
      = "{\"items\":[{\"metadata\":{\"name\":\"a\\\\\"},\"spec\":[1,{}]},"
        "{\"b\":\"}]}\\\"\"}],\"has_more\":false,\"at\":[12]}";
  static const char *const apart[] = { "items" };
  struct scan_text items;

  for (size_t length = 0; length < sizeof page; length++)
    {
      char *copy = g_memdup2 (page, length);
      json_t *members
          = scan_object ((struct scan_text){ copy, length }, apart, &items, 1);

      CU_ASSERT_EQUAL (members != NULL, length == sizeof page - 1);
      json_decref (members);
      g_free (copy);
    }
}

static void
malformed_text_is_rejected (void)
{
  static const char *const objects[]
      = { "",           "[]",           "{",        "}",          "{1:2}",
          "{\"a\"}",    "{\"a\" 1}",    "{\"a\":}", "{\"a\":1,}", "{,}",
          "{\"a\":1}}", "{} {\"a\":1}", "{\"a:1}",  "{\"a\":1]" };
  static const char *const arrays[]
      = { "{}", "[", "[,]", "[1,]", "[1,,2]", "[1],[2]", "[\"a]", "[[]" };
  struct scan_text elements[ELEMENTS_MAX] = { { NULL, 0 } };

  for (size_t i = 0; i < G_N_ELEMENTS (objects); i++)
    CU_ASSERT_PTR_NULL (scan_object (text_of (objects[i]), NULL, NULL, 0));
  for (size_t i = 0; i < G_N_ELEMENTS (arrays); i++)
    CU_ASSERT_EQUAL (split (arrays[i], elements), -1);
}
