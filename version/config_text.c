/* Text of a configuration, split into parts.

   The reader compares each part with the one that had its place in the version
   before.  One that is the same, byte by byte, is neither scanned nor parsed:
   its route is shared.  Parts that moved are found near their old place, or if
   there are many of them, by a hash of their text.  */
#include <string.h>

#include "ibisloom/config_text.h"
#include "ibisloom/rank.h"

enum
{
  NEAR_PARTS = 4,  /* that are compared on both sides of the expected one */
  INDEX_MISSES = 8 /* parts to look for before all are hashed */
};

static int starts_with_part (const struct cfg_reader *reader, guint index,
                             struct scan_text rest, struct scan_text *element);
static guint find_part (struct cfg_reader *reader, struct scan_text text);
static void index_parts (struct cfg_reader *reader);
static const struct cfg_part *part_at (const GArray *parts, guint index);
static int is_same_text (struct scan_text a, struct scan_text b);
static int follows_as_before (const struct cfg_reader *reader,
                              const struct cfg_part *part);
static guint text_hash (gconstpointer key);
static gboolean text_equal (gconstpointer a, gconstpointer b);

/* Starts to read TEXT, to which READER adds a reference.  BEFORE, which may be
   NULL, is the version whose routes are shared; it outlives READER.  */
void
cfg_begin (struct cfg_reader *reader, GBytes *text,
           const struct cfg_text *before)
{
  memset (reader, 0, sizeof *reader);
  reader->before = before;
  reader->text = g_bytes_ref (text);
  reader->parts = g_array_new (FALSE, FALSE, sizeof (struct cfg_part));
}

/* Forgets the parts found so far, as the text cannot be split.  */
void
cfg_reset (struct cfg_reader *reader)
{
  g_array_set_size (reader->parts, 0);
}

/* Ends reading.  Returns the configuration with TABLE, whose reference it
   takes over, or NULL if TABLE is NULL.  */
struct cfg_text *
cfg_end (struct cfg_reader *reader, struct rt_table *table)
{
  struct cfg_text *config = NULL;

  if (reader->index != NULL)
    g_hash_table_destroy (reader->index);
  if (table == NULL)
    {
      g_bytes_unref (reader->text);
      g_array_free (reader->parts, TRUE);
      return NULL;
    }
  for (guint i = 0; i < reader->parts->len; i++)
    {
      struct cfg_part *part
          = &g_array_index (reader->parts, struct cfg_part, i);

      part->since = part->since != 0 ? part->since : table->version;
      part->joined = part->joined != 0 ? part->joined : table->version;
    }
  config = g_new0 (struct cfg_text, 1);
  config->text = reader->text;
  config->parts = reader->parts;
  config->table = table;
  return config;
}

/* Frees CONFIG, which may be NULL.  */
void
cfg_free (struct cfg_text *config)
{
  if (config == NULL)
    return;
  g_bytes_unref (config->text);
  g_array_free (config->parts, TRUE);
  rt_unref (config->table);
  g_free (config);
}

/* Sets ELEMENT to the next element in REST, as scan_next does, and KNOWN to
   the route that the version before had of the same text, or to NULL.  */
int
cfg_next (struct cfg_reader *reader, struct scan_text *rest,
          struct scan_text *element, const struct rt_route **known)
{
  int result = 1;

  *known = NULL;
  reader->found = 0;
  if (reader->before != NULL
      && starts_with_part (reader, reader->expected, *rest, element))
    {
      reader->found = reader->expected + 1;
      result = scan_skip (rest, element->length);
    }
  else
    {
      result = scan_next (rest, element);
      if (result > 0 && reader->before != NULL)
        reader->found = find_part (reader, *element);
    }
  if (result > 0 && reader->found > 0)
    *known = part_at (reader->before->parts, reader->found - 1)->route;
  return result;
}

/* Adds the part TEXT that cfg_next or cfg_find_member has looked for.  ROUTE,
   one of the table, is NULL unless MEMBER is 0.  */
void
cfg_add (struct cfg_reader *reader, struct scan_text text, int member,
         const struct rt_route *route)
{
  const char *start = g_bytes_get_data (reader->text, NULL);
  struct cfg_part part = { .offset = (uint32_t)(text.at - start),
                           .length = (uint32_t)text.length,
                           .member = member,
                           .route = route };

  if (reader->found > 0)
    {
      const struct cfg_part *same
          = part_at (reader->before->parts, reader->found - 1);

      part.since = same->since;
      if (follows_as_before (reader, &part))
        part.joined = same->joined;
      reader->expected = reader->found;
    }
  else
    reader->expected++;
  reader->last = reader->found;
  reader->found = 0;
  g_array_append_val (reader->parts, part);
}

/* Returns whether MEMBER had VALUE in the version before.  */
int
cfg_find_member (struct cfg_reader *reader, struct scan_text value, int member)
{
  reader->found = 0;
  if (reader->before == NULL)
    return 0;
  for (guint i = reader->before->parts->len; i > 0; i--)
    if (part_at (reader->before->parts, i - 1)->member == member
        && is_same_text (cfg_part_text (reader->before, i - 1), value))
      {
        reader->found = i;
        return 1;
      }
  return 0;
}

/* Returns the text of the part INDEX of CONFIG.  */
struct scan_text
cfg_part_text (const struct cfg_text *config, guint index)
{
  const struct cfg_part *part = part_at (config->parts, index);
  const char *start = g_bytes_get_data (config->text, NULL);

  return (struct scan_text){ start + part->offset, part->length };
}

/* Returns whether the first element in REST is the route INDEX of the version
   before, and if so sets ELEMENT.  As that is a complete value, the element
   ends where a comma follows, or nothing.  */
static int
starts_with_part (const struct cfg_reader *reader, guint index,
                  struct scan_text rest, struct scan_text *element)
{
  struct scan_text known;

  if (index >= reader->before->parts->len
      || part_at (reader->before->parts, index)->route == NULL)
    return 0;
  known = cfg_part_text (reader->before, index);
  *element = (struct scan_text){ rest.at, known.length };
  return known.length <= rest.length
         && memcmp (rest.at, known.at, known.length) == 0
         && (known.length == rest.length || rest.at[known.length] == ',');
}

/* Returns which route of the version before has TEXT, plus one, or 0.  */
static guint
find_part (struct cfg_reader *reader, struct scan_text text)
{
  guint count = reader->before->parts->len;
  guint low = reader->expected - MIN (reader->expected, NEAR_PARTS);

  if (reader->misses++ >= INDEX_MISSES)
    {
      index_parts (reader);
      return GPOINTER_TO_UINT (g_hash_table_lookup (reader->index, &text));
    }
  for (guint i = low; i < MIN (reader->expected + NEAR_PARTS, count); i++)
    if (part_at (reader->before->parts, i)->route != NULL
        && is_same_text (cfg_part_text (reader->before, i), text))
      return i + 1;
  return 0;
}

/* Builds the index of the routes of the version before, unless it is there. */
static void
index_parts (struct cfg_reader *reader)
{
  if (reader->index != NULL)
    return;
  reader->index = g_hash_table_new_full (text_hash, text_equal, g_free, NULL);
  for (guint i = 0; i < reader->before->parts->len; i++)
    {
      struct scan_text text = cfg_part_text (reader->before, i);

      if (part_at (reader->before->parts, i)->route != NULL)
        g_hash_table_insert (reader->index, g_memdup2 (&text, sizeof text),
                             GUINT_TO_POINTER (i + 1));
    }
}

/* Returns whether PART, found in the version before, followed the part there
   that it follows now, with the same text between them.  */
static int
follows_as_before (const struct cfg_reader *reader,
                   const struct cfg_part *part)
{
  const struct cfg_part *previous;
  const struct cfg_part *same;
  const char *text = g_bytes_get_data (reader->text, NULL);
  const char *old_text;
  struct scan_text gap;
  struct scan_text old_gap;

  if (reader->parts->len == 0 || reader->last == 0
      || reader->last + 1 != reader->found)
    return 0;
  previous = part_at (reader->parts, reader->parts->len - 1);
  same = part_at (reader->before->parts, reader->last - 1);
  old_text = g_bytes_get_data (reader->before->text, NULL);
  gap.at = text + previous->offset + previous->length;
  gap.length = part->offset - previous->offset - previous->length;
  old_gap.at = old_text + same->offset + same->length;
  old_gap.length = part_at (reader->before->parts, reader->last)->offset
                   - same->offset - same->length;
  return is_same_text (gap, old_gap);
}

static const struct cfg_part *
part_at (const GArray *parts, guint index)
{
  return &g_array_index (parts, struct cfg_part, index);
}

static int
is_same_text (struct scan_text a, struct scan_text b)
{
  return a.length == b.length && memcmp (a.at, b.at, a.length) == 0;
}

/* Returns a hash of KEY, a struct scan_text.  */
static guint
text_hash (gconstpointer key)
{
  const struct scan_text *text = key;

  return (guint)rank_hash_bytes (text->at, text->length);
}

/* Returns whether A and B, struct scan_text, are the same.  */
static gboolean
text_equal (gconstpointer a, gconstpointer b)
{
  return is_same_text (*(const struct scan_text *)a,
                       *(const struct scan_text *)b);
}
