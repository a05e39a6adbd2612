/* Mark of a hop: what its sender has decided, as the value of a field.

   The value has numbers and names separated by spaces; names are escaped as in
   a URL, and "-" stands for none.  Its first number is the version of the
   form.  */
#include <string.h>

#include "ibisloom/hops.h"

enum
{
  MARK_VERSION = 1,
  HEXADECIMAL_BASE = 16,
  NUMBERS_MAX = 10,
  ITEMS = NUMBERS_MAX + 2,
  FLAG_RESUMABLE = 1,
  FLAG_CONTEXT = 2,
  FLAG_SPLIT = 4,
  FLAG_COUNTED = 8,
  FLAG_TAKES_UP = 16,
  FLAGS_ALL = 31
};

static uint32_t flags_of (const struct hop_mark *mark);
static void print_name (GString *out, const char *name);
static int parse_number (const char *text, uint64_t max, uint64_t *number);
static int parse_name (const char *text, char name[REG_NAME_MAX_BYTES]);

const char hop_field[] = "Ibisloom-Hop";
const char hop_refused[] = "refused";

/* Appends MARK to OUT as the value of a field.  */
void
hop_mark_print (GString *out, const struct hop_mark *mark)
{
  g_string_append_printf (
      out,
      "%x %" G_GINT64_MODIFIER "x %x %x %x %x %" G_GINT64_MODIFIER
      "x %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER "x %" G_GINT64_MODIFIER
      "x",
      (unsigned)MARK_VERSION, mark->token, mark->sender, (unsigned)mark->kind,
      flags_of (mark), mark->attempts_max, (uint64_t)mark->objective_ms,
      (uint64_t)mark->pause_ms, mark->software, mark->stream);
  print_name (out, mark->service);
  print_name (out, mark->customer);
}

/* Returns the flags of MARK as one number.  */
static uint32_t
flags_of (const struct hop_mark *mark)
{
  return (mark->is_resumable ? FLAG_RESUMABLE : 0U)
         | (mark->has_context ? FLAG_CONTEXT : 0U)
         | (mark->is_split ? FLAG_SPLIT : 0U)
         | (mark->is_counted ? FLAG_COUNTED : 0U)
         | (mark->takes_up ? FLAG_TAKES_UP : 0U);
}

/* Appends a space and the escaped NAME to OUT.  */
static void
print_name (GString *out, const char *name)
{
  char *escaped = g_uri_escape_string (name, NULL, FALSE);

  g_string_append_c (out, ' ');
  g_string_append (out, strcmp (name, "-") == 0 ? "%2D"
                        : name[0] == '\0'       ? "-"
                                                : escaped);
  g_free (escaped);
}

/* Parses VALUE into MARK.  Returns 0, or -1 if it is malformed or of another
   version.  */
int
hop_mark_parse (const char *value, struct hop_mark *mark)
{
  static const uint64_t max[NUMBERS_MAX]
      = { MARK_VERSION, UINT64_MAX, UINT32_MAX, RT_STREAM,  FLAGS_ALL,
          UINT32_MAX,   INT32_MAX,  INT32_MAX,  UINT64_MAX, UINT64_MAX };
  char **items = g_strsplit (value, " ", ITEMS + 1);
  uint64_t number[NUMBERS_MAX];
  int result = g_strv_length (items) == ITEMS ? 0 : -1;

  memset (mark, 0, sizeof *mark);
  for (int i = 0; i < NUMBERS_MAX && result == 0; i++)
    result = parse_number (items[i], max[i], &number[i]);
  if (result == 0 && number[0] == MARK_VERSION)
    {
      *mark = (struct hop_mark){
        .token = number[1],
        .sender = (uint32_t)number[2],
        .kind = (enum rt_kind)number[3],
        .is_resumable = (number[4] & FLAG_RESUMABLE) != 0,
        .has_context = (number[4] & FLAG_CONTEXT) != 0,
        .is_split = (number[4] & FLAG_SPLIT) != 0,
        .is_counted = (number[4] & FLAG_COUNTED) != 0,
        .takes_up = (number[4] & FLAG_TAKES_UP) != 0,
        .attempts_max = (uint32_t)number[5],
        .objective_ms = (int64_t)number[6],
        .pause_ms = (int64_t)number[7],
        .software = number[8],
        .stream = number[9],
      };
      if (parse_name (items[NUMBERS_MAX], mark->service) != 0
          || parse_name (items[NUMBERS_MAX + 1], mark->customer) != 0
          || mark->service[0] == '\0' || mark->attempts_max == 0)
        result = -1;
    }
  else
    result = -1;
  g_strfreev (items);
  return result;
}

/* Parses TEXT, a hexadecimal NUMBER of at most MAX.  Returns 0, or -1 if it is
   something else.  */
static int
parse_number (const char *text, uint64_t max, uint64_t *number)
{
  return g_ascii_string_to_unsigned (text, HEXADECIMAL_BASE, 0, max, number,
                                     NULL)
             ? 0
             : -1;
}

/* Parses TEXT, an escaped name, into NAME.  Returns 0, or -1 if it is not one
   or too long.  */
static int
parse_name (const char *text, char name[REG_NAME_MAX_BYTES])
{
  char *plain = g_uri_unescape_string (text, NULL);
  int result = -1;

  if (plain != NULL && text[0] != '\0' && strpbrk (plain, "\r\n") == NULL
      && g_strlcpy (name, strcmp (text, "-") == 0 ? "" : plain,
                    REG_NAME_MAX_BYTES)
             < REG_NAME_MAX_BYTES)
    result = 0;
  g_free (plain);
  return result;
}
