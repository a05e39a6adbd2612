/* Splits JSON text into its parts without parsing them.

   The scanner follows strings, escapes and brackets only, and does not
   recurse. It finds the end of a value that the parser refuses, such as one
   that is nested too deeply, has a number out of range or is not valid UTF-8.
   What stands between the commas of an array is one element, whatever it is.
 */
#include <stdint.h>
#include <string.h>
#ifdef __SSE2__
#include <emmintrin.h>
#endif

#include "ibisloom/json_scan.h"

enum
{
  BLOCK_BYTES = 64
};

/* Which bytes of a block are quotes, escapes and brackets, the first byte in
   the lowest bit. */
struct block
{
  uint64_t quotes;
  uint64_t escapes;
  uint64_t opening;
  uint64_t closing;
};

static json_t *decode_key (struct scan_text *key);
static int strip_brackets (struct scan_text text, char open, char close,
                           struct scan_text *inside);
static int take_value (struct scan_text *rest, struct scan_text *value);
static const char *skip_blocks (const char *at, const char *end,
                                size_t *depth);
static struct block read_block (const char *at);
#ifdef __SSE2__
static uint64_t find_bytes (__m128i bytes, __m128i sought);
#endif
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
  while (result >= 0 && (result = scan_next_member (&rest, &key, &value)) > 0)
    {
      size_t i = 0;
      json_t *decoded = decode_key (&key);

      while (i < count
             && (strlen (apart[i]) != key.length
                 || memcmp (apart[i], key.at, key.length) != 0))
        i++;
      if (i < count)
        parts[i] = value;
      else
        json_object_setn_new (members, key.at, key.length, scan_parse (value));
      json_decref (decoded);
    }
  if (result == 0)
    return members;
  json_decref (members);
  return NULL;
}

/* Decodes the escapes of KEY, if it has any that are valid.  Returns what KEY
   then points into, or NULL.  */
static json_t *
decode_key (struct scan_text *key)
{
  json_t *string;

  if (memchr (key->at, '\\', key->length) == NULL)
    return NULL;
  string = scan_parse ((struct scan_text){ key->at - 1, key->length + 2 });
  if (string != NULL)
    {
      key->at = json_string_value (string);
      key->length = json_string_length (string);
    }
  return string;
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

/* Takes the first element in REST off, whose LENGTH is known.  A comma follows
   it, or nothing.  Returns 1, or -1 if nothing follows the comma.  */
int
scan_skip (struct scan_text *rest, size_t length)
{
  if (length == rest->length)
    {
      *rest = (struct scan_text){ rest->at + length, 0 };
      return 1;
    }
  *rest = trim (
      (struct scan_text){ rest->at + length + 1, rest->length - length - 1 });
  return rest->length > 0 ? 1 : -1;
}

/* Sets REST to the members of OBJECT, for scan_next_member.  Returns 0, or -1
   if OBJECT is no object.  */
int
scan_members (struct scan_text object, struct scan_text *rest)
{
  return strip_brackets (object, '{', '}', rest);
}

/* Returns how deeply the arrays and objects in VALUE are nested, or SIZE_MAX
   if a string in it does not end.  */
size_t
scan_depth (struct scan_text value)
{
  const char *end = value.at + value.length;
  size_t depth = 0;
  size_t deepest = 0;

  for (const char *at = value.at; at < end; at++)
    if (*at == '"')
      {
        at = string_end (at + 1, end);
        if (at == NULL)
          return SIZE_MAX;
      }
    else if (*at == '[' || *at == '{')
      {
        depth++;
        deepest = depth > deepest ? depth : deepest;
      }
    else if ((*at == ']' || *at == '}') && depth > 0)
      depth--;
  return deepest;
}

/* Sets KEY, without its quotes, and VALUE to the first member in REST and
   takes it off.  Returns 1, 0 if there are no more, or -1 if REST is
   malformed.  */
int
scan_next_member (struct scan_text *rest, struct scan_text *key,
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

/* Returns VALUE, parsed, as a new reference, or NULL if it cannot be parsed.
 */
json_t *
scan_parse (struct scan_text value)
{
  return json_loadb (value.at, value.length, JSON_DECODE_ANY, NULL);
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
        at = skip_blocks (at + 1, end, &depth);
        if (at == NULL)
          return -1;
        at--;
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

/* Skips whole blocks from AT, which is in DEPTH brackets and in no string, up
   to one with an escape or with the end of these brackets.  Returns where to
   go on, in no string, with DEPTH set, or NULL if a string does not end.  */
static const char *
skip_blocks (const char *at, const char *end, size_t *depth)
{
  uint64_t in_string = 0; /* all bits are set if AT is in a string */

  for (; end - at >= BLOCK_BYTES; at += BLOCK_BYTES)
    {
      struct block block = read_block (at);
      uint64_t inside = block.quotes;
      size_t closing;

      for (int shift = 1; shift < BLOCK_BYTES; shift *= 2)
        inside ^= inside << shift;
      inside ^= in_string;
      closing = (size_t)__builtin_popcountll (block.closing & ~inside);
      if (block.escapes != 0 || closing >= *depth)
        break;
      *depth += (size_t)__builtin_popcountll (block.opening & ~inside);
      *depth -= closing;
      in_string = -(inside >> (BLOCK_BYTES - 1));
    }
  if (in_string == 0)
    return at;
  at = string_end (at, end);
  return at != NULL ? at + 1 : NULL;
}

#ifdef __SSE2__
/* Returns where the bytes that matter are in the block at AT.  */
static struct block
read_block (const char *at)
{
  const __m128i quote = _mm_set1_epi8 ('"');
  const __m128i escape = _mm_set1_epi8 ('\\');
  const __m128i opening = _mm_set1_epi8 ('{');
  const __m128i closing = _mm_set1_epi8 ('}');
  const __m128i fold = _mm_set1_epi8 ('{' ^ '[');
  struct block block = { 0 };

  for (int i = 0; i < BLOCK_BYTES; i += (int)sizeof (__m128i))
    {
      __m128i bytes
          = _mm_loadu_si128 ((const __m128i *)(const void *)(at + i));
      __m128i folded = _mm_or_si128 (bytes, fold);

      block.quotes |= find_bytes (bytes, quote) << i;
      block.escapes |= find_bytes (bytes, escape) << i;
      block.opening |= find_bytes (folded, opening) << i;
      block.closing |= find_bytes (folded, closing) << i;
    }
  return block;
}

/* Returns which of BYTES are as in SOUGHT.  */
static uint64_t
find_bytes (__m128i bytes, __m128i sought)
{
  return (uint64_t)(uint32_t)_mm_movemask_epi8 (
      _mm_cmpeq_epi8 (bytes, sought));
}
#else
/* Returns where the bytes that matter are in the block at AT.  */
static struct block
read_block (const char *at)
{
  struct block block = { 0 };

  for (int i = 0; i < BLOCK_BYTES; i++)
    {
      block.quotes |= (uint64_t)(at[i] == '"') << i;
      block.escapes |= (uint64_t)(at[i] == '\\') << i;
      block.opening |= (uint64_t)(at[i] == '{' || at[i] == '[') << i;
      block.closing |= (uint64_t)(at[i] == '}' || at[i] == ']') << i;
    }
  return block;
}
#endif

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
