/* The lines of the instances' logs: reading, fields, printing. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_log.h"

static gint compare_times (gconstpointer a, gconstpointer b);

/* Reads the lines of IN that are JSON, with or without something before. */
struct ctl_lines
ctl_read_lines (FILE *in)
{
  struct ctl_lines lines
      = { g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref) };
  char *text = NULL;
  size_t size = 0;

  while (getline (&text, &size, in) > 0)
    {
      const char *start = strchr (text, '{');
      json_t *line = start ? json_loads (start, 0, NULL) : NULL;

      if (json_is_integer (json_object_get (line, "time_ms")))
        g_ptr_array_add (lines.all, line);
      else
        json_decref (line);
    }
  free (text);
  g_ptr_array_sort (lines.all, compare_times);
  return lines;
}

/* Frees LINES.  */
void
ctl_free_lines (struct ctl_lines *lines)
{
  g_ptr_array_free (lines->all, TRUE);
}

/* Orders lines by time.  */
static gint
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t first = ctl_number (*(json_t *const *)a, "time_ms");
  int64_t second = ctl_number (*(json_t *const *)b, "time_ms");

  return (first > second) - (first < second);
}

/* Returns the string KEY of LINE, or NULL.  */
const char *
ctl_text (const json_t *line, const char *key)
{
  return json_string_value (json_object_get (line, key));
}

/* Returns the whole number KEY of LINE, or 0.  */
int64_t
ctl_number (const json_t *line, const char *key)
{
  return json_integer_value (json_object_get (line, key));
}

/* Prints LINE as its time, instance and decision, then its fields.  */
void
ctl_print_line (const json_t *line)
{
  static const char *const header_keys[]
      = { "time_ms", "level", "instance", "module", "request_id", "reason" };
  json_t *other_fields = json_deep_copy (line);
  char *fields;

  for (size_t i = 0; i < G_N_ELEMENTS (header_keys); i++)
    json_object_del (other_fields, header_keys[i]);
  fields = json_dumps (other_fields, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("%" PRId64 " %s %s %s %s\n", ctl_number (line, "time_ms"),
          ctl_text (line, "instance"), ctl_text (line, "module"),
          ctl_text (line, "reason"), fields);
  free (fields);
  json_decref (other_fields);
}
