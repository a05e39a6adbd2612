/* Splits JSON text into its parts without parsing them.

   The scanner follows strings, escapes and brackets only, and does not
   recurse. It finds the end of a value that the parser refuses, such as one
   that is nested too deeply, has a number out of range or is not valid UTF-8.
   What stands between the commas of an array is one element, whatever it is.
 */
#include <string.h>

#include "ibisloom/json_scan.h"

static int next_member (struct scan_text *rest, struct scan_text *key,
                        struct scan_text *value);
static int strip_brackets (struct scan_text text, char open, char close,
                           struct scan_text *inside);
static int take_value (struct scan_text *rest, struct scan_text *value);
static const char *string_end (const char *at, const char *end);
static struct scan_text trim (struct scan_text text);
static int is_space (char c);

/* Parses the members of OBJECT, which must be a complete object.  The COUNT
   members named APART are not parsed; PARTS is set to their text, or to an
   empty one if there is none.  A member whose value cannot be parsed is left
   out.  Of members of the same name, the last counts.  Returns the others as a
   new object, or NULL if OBJECT is malformed.  */
json_t *
scan_object (struct scan_text object, const char *const *apart,
             struct scan_text *parts, size_t count)
{
  json_t *members = json_object ();
  struct scan_text rest;
  struct scan_text key;
  struct scan_text value;
  int result = strip_brackets (object, '{', '}', &rest);

  for (size_t i = 0; i < count; i++)
    parts[i] = (struct scan_text){ NULL, 0 };
  while (result >= 0 && (result = next_member (&rest, &key, &value)) > 0)
    {
      size_t i = 0;

      while (i < count
             && (strlen (apart[i]) != key.length
                 || memcmp (apart[i], key.at, key.length) != 0))
        i++;
      if (i < count)
        parts[i] = value;
      else
        json_object_setn_new (members, key.at, key.length, scan_parse (value));
    }
  if (result == 0)
    return members;
  json_decref (members);
  return NULL;
}

/* Sets REST to the elements of ARRAY, for scan_next.  Returns 0, or -1 if
   ARRAY is no array.  */
int
scan_array (struct scan_text array, struct scan_text *rest)
{
  return strip_brackets (array, '[', ']', rest);
}

/* Sets ELEMENT to the first element in REST and takes it off.  Returns 1, 0 if
   there are no more, or -1 if REST is malformed.  */
int
scan_next (struct scan_text *rest, struct scan_text *element)
{
  *rest = trim (*rest);
  if (rest->length == 0)
    return 0;
  return take_value (rest, element) == 0 ? 1 : -1;
}

/* Returns VALUE, parsed, as a new reference, or NULL if it cannot be parsed.
 */
json_t *
scan_parse (struct scan_text value)
{
  return json_loadb (value.at, value.length, JSON_DECODE_ANY, NULL);
}

/* Sets KEY, without its quotes, and VALUE to the first member in REST and
   takes it off.  Returns 1, 0 if there are no more, or -1 if REST is
   malformed.  */
static int
next_member (struct scan_text *rest, struct scan_text *key,
             struct scan_text *value)
{
  struct scan_text text = trim (*rest);
  const char *end = text.at + text.length;
  const char *quote;

  if (text.length == 0)
    return 0;
  if (*text.at != '"')
    return -1;
  quote = string_end (text.at + 1, end);
  if (quote == NULL)
    return -1;
  key->at = text.at + 1;
  key->length = (size_t)(quote - key->at);
  *rest = trim ((struct scan_text){ quote + 1, (size_t)(end - quote - 1) });
  if (rest->length == 0 || *rest->at != ':')
    return -1;
  rest->at++;
  rest->length--;
  return take_value (rest, value) == 0 ? 1 : -1;
}

/* Sets INSIDE to what is between the brackets OPEN and CLOSE that TEXT begins
   and ends with.  Returns 0, or -1 if it does not.  That the first bracket is
   closed by the last shows only when the parts of INSIDE are taken.  */
static int
strip_brackets (struct scan_text text, char open, char close,
                struct scan_text *inside)
{
  text = trim (text);
  if (text.length < 2 || text.at[0] != open
      || text.at[text.length - 1] != close)
    return -1;
  *inside = trim ((struct scan_text){ text.at + 1, text.length - 2 });
  return 0;
}

/* Sets VALUE to the text in front of the first comma in REST that is in no
   brackets and no string, or else to all of REST, and takes it off, with the
   comma.  Returns 0, or -1 if VALUE is empty, a bracket or string in it does
   not end, or nothing follows the comma.  */
static int
take_value (struct scan_text *rest, struct scan_text *value)
{
  const char *end = rest->at + rest->length;
  const char *at = rest->at;
  size_t depth = 0;

  for (; at < end && (depth > 0 || *at != ','); at++)
    switch (*at)
      {
      case '"':
        at = string_end (at + 1, end);
        if (at == NULL)
          return -1;
        break;
      case '[':
      case '{':
        depth++;
        break;
      case ']':
      case '}':
        if (depth == 0)
          return -1;
        depth--;
        break;
      default:
        break;
      }
  *value = trim ((struct scan_text){ rest->at, (size_t)(at - rest->at) });
  if (depth > 0 || value->length == 0)
    return -1;
  if (at == end)
    {
      *rest = (struct scan_text){ end, 0 };
      return 0;
    }
  *rest = trim ((struct scan_text){ at + 1, (size_t)(end - at - 1) });
  return rest->length > 0 ? 0 : -1;
}

/* Returns the quote that ends the string whose first character is at AT, or
   NULL if there is none before END.  */
static const char *
string_end (const char *at, const char *end)
{
  for (; at < end; at++)
    {
      if (*at == '"')
        return at;
      at += *at == '\\';
    }
  return NULL;
}

/* Returns TEXT without white space at its begin and end.  */
static struct scan_text
trim (struct scan_text text)
{
  while (text.length > 0 && is_space (text.at[0]))
    {
      text.at++;
      text.length--;
    }
  while (text.length > 0 && is_space (text.at[text.length - 1]))
    text.length--;
  return text;
}

/* Returns whether C is white space of JSON.  */
static int
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}
