/* Requests whose end no line of the logs explains. */
#include <inttypes.h>

#include "ctl_log.h"

enum
{
  ALL_EXPLAINED = 0,
  SOME_UNEXPLAINED = 1,
  /* Requests last less; one whose instance wrote no later line than this may
     have been under way when the instance or the log ended. */
  OPEN_MAX_MS = 30000
};

/* A request as the lines of one instance tell of it. */
struct story
{
  const char *request_id;
  const json_t *last; /* its last line that is no outcome */
  const json_t *outcome;
  int restarted; /* its instance started again before the outcome */
  int open;      /* its instance's lines end before it must have ended */
};

static GPtrArray *stories_of (const struct ctl_lines *lines);
static void add_line (GHashTable *by_key, GPtrArray *stories,
                      const json_t *line);
static void mark_ended (GPtrArray *stories, const json_t *line);
static void mark_open (GPtrArray *stories, const struct ctl_lines *lines);
static const char *why (const struct story *story);

/* Prints each request that has lines but no known reason for its end, unless
   its instance ended first or the log ends soon after.  Returns the exit
   status, SOME_UNEXPLAINED if any was printed.  */
int
ctl_audit (FILE *in, int as_json)
{
  struct ctl_lines lines = ctl_read_lines (in);
  GPtrArray *stories = stories_of (&lines);
  json_t *found = json_array ();
  guint killed = 0;
  guint open = 0;
  int status;

  for (guint i = 0; i < stories->len; i++)
    {
      const struct story *story = g_ptr_array_index (stories, i);
      const char *fault = why (story);

      killed += (guint)story->restarted;
      open += (guint)story->open;
      if (fault == NULL)
        continue;
      json_array_append_new (found,
                             json_pack ("{s:s,s:s}", "request_id",
                                        story->request_id, "fault", fault));
      if (!as_json)
        printf ("%s: %s\n", story->request_id, fault);
    }
  status = json_array_size (found) > 0 ? SOME_UNEXPLAINED : ALL_EXPLAINED;
  if (as_json)
    {
      json_dumpf (found, stdout, JSON_INDENT (2));
      printf ("\n");
    }
  else
    printf ("%u requests: %zu unexplained, %u open when their instance ended, "
            "%u open at the end of the log\n",
            stories->len, json_array_size (found), killed, open);
  json_decref (found);
  g_ptr_array_unref (stories);
  ctl_free_lines (&lines);
  return status;
}

/* Returns the stories of all requests in LINES, in order of their first
   line.  */
static GPtrArray *
stories_of (const struct ctl_lines *lines)
{
  GHashTable *by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *stories = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; i < lines->all->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines->all, i);

      if (ctl_text (line, "request_id") != NULL
          && ctl_text (line, "instance") != NULL)
        add_line (by_key, stories, line);
      else if (g_strcmp0 (ctl_text (line, "module"), "gate") == 0
               && g_strcmp0 (ctl_text (line, "reason"), "started") == 0)
        mark_ended (stories, line);
    }
  g_hash_table_destroy (by_key);
  mark_open (stories, lines);
  return stories;
}

/* Adds LINE to the story of its request at its instance.  */
static void
add_line (GHashTable *by_key, GPtrArray *stories, const json_t *line)
{
  char *key = g_strdup_printf ("%s %s", ctl_text (line, "request_id"),
                               ctl_text (line, "instance"));
  struct story *story = g_hash_table_lookup (by_key, key);

  if (story == NULL)
    {
      story = g_new0 (struct story, 1);
      story->request_id = ctl_text (line, "request_id");
      g_ptr_array_add (stories, story);
      g_hash_table_insert (by_key, key, story);
    }
  else
    g_free (key);
  if (g_strcmp0 (ctl_text (line, "module"), "request") == 0)
    story->outcome = line;
  else
    story->last = line;
}

/* Marks the stories that were open when the instance of LINE started again. */
static void
mark_ended (GPtrArray *stories, const json_t *line)
{
  for (guint i = 0; i < stories->len; i++)
    {
      struct story *story = g_ptr_array_index (stories, i);

      if (story->outcome == NULL
          && g_strcmp0 (ctl_text (story->last, "instance"),
                        ctl_text (line, "instance"))
                 == 0)
        story->restarted = 1;
    }
}

/* Marks the stories without an outcome whose instance wrote nothing after they
   must have ended.  */
static void
mark_open (GPtrArray *stories, const struct ctl_lines *lines)
{
  GHashTable *newest = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < lines->all->len; i++)
    {
      json_t *line = g_ptr_array_index (lines->all, i);
      const char *instance = ctl_text (line, "instance");

      if (instance != NULL)
        g_hash_table_insert (newest, (gpointer)(uintptr_t)instance, line);
    }
  for (guint i = 0; i < stories->len; i++)
    {
      struct story *story = g_ptr_array_index (stories, i);
      const json_t *last;

      if (story->outcome != NULL || story->restarted)
        continue;
      last = g_hash_table_lookup (newest, ctl_text (story->last, "instance"));
      story->open
          = ctl_number (last, "time_ms") - ctl_number (story->last, "time_ms")
            < OPEN_MAX_MS;
    }
  g_hash_table_destroy (newest);
}

/* Returns why STORY is not explained, or NULL if it is.  */
static const char *
why (const struct story *story)
{
  if (story->outcome != NULL)
    return ctl_sentence (ctl_text (story->outcome, "reason")) != NULL
               ? NULL
               : "its outcome has no known reason";
  if (story->restarted || story->open)
    return NULL;
  return "it has lines but no outcome";
}
