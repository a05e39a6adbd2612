/* Fake object API of the platform.

   Usage: fake_platform PORT DELAY_MS
   Objects with revisions, conditional writes, a long-polling watch and a list
   of instances.  Each response is delayed by DELAY_MS.  Control requests:
   /control/fault?mode=ok|down|hang|lose&percent=P&delay_ms=D sets a fault,
   /control/instances sets the list of instances, /control/history returns the
   writes other than those to the ledger, /control/restore?ms=N restores the
   objects from a copy N ms old.  All responses tell the epoch. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "fake_http.h"

enum
{
  WATCH_BYTES_MAX = 4194304,
  HANG_MS = 3000
};

enum mode
{
  MODE_OK,
  MODE_DOWN,
  MODE_HANG,
  MODE_LOSE_RESPONSES /* writes are applied, their responses are dropped */
};

struct object
{
  char *name;
  char *text; /* NULL: deleted */
  uint64_t revision;
};

/* What an object was before a write. */
struct undo
{
  struct object *object;
  char *text;
  uint64_t revision;
  int64_t time_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static GHashTable *objects;
static uint64_t last_revision;
static GQueue undo_log; /* of struct undo, newest first */
static unsigned epoch = 1;
static enum mode mode;
static int percent = 100; /* of the requests that the fault affects */
static unsigned seed = 1;
static int64_t delay_ms;
static int64_t reads;
static int64_t writes;
static int64_t watches;
static char *instances;
static GString *history;

static void serve (struct fake_request *request, void *closure);
static int apply_fault (struct fake_request *request, int is_write,
                        int *drop_response);
static void get_object (struct fake_request *request, const char *name);
static void put_object (struct fake_request *request, const char *name,
                        int remove);
static void watch (struct fake_request *request);
static json_t *changed_objects (const char *prefix, uint64_t since,
                                uint64_t *until, int *more);
static void serve_control (struct fake_request *request);
static gint compare_revisions (gconstpointer a, gconstpointer b);
static void set_etag (struct fake_request *request, uint64_t revision);
static void serve_object_api (struct fake_request *request);
static void restore (int64_t age_ms);

int
main (int argc, char **argv)
{
  struct fake_server server;

  if (argc != 3)
    {
      fprintf (stderr, "usage: fake_platform PORT DELAY_MS\n");
      return EXIT_FAILURE;
    }
  delay_ms = atoll (argv[2]);
  objects = g_hash_table_new (g_str_hash, g_str_equal);
  instances = g_strdup ("{\"targets\":[]}");
  history = g_string_new (NULL);
  fake_listen (&server, atoi (argv[1]), serve, NULL);
  pause ();
  return EXIT_SUCCESS;
}

static void
serve (struct fake_request *request, void *closure)
{
  char text[16];

  (void)closure;
  if (g_str_has_prefix (request->url, "/control/"))
    {
      serve_control (request);
      return;
    }
  serve_object_api (request);
  if (request->response == NULL)
    return;
  pthread_mutex_lock (&lock);
  g_snprintf (text, sizeof text, "%u", epoch);
  pthread_mutex_unlock (&lock);
  MHD_add_response_header (request->response, "Store-Epoch", text);
}

static void
serve_object_api (struct fake_request *request)
{
  static const char prefix[] = "/v1/objects/";
  const char *name = request->url + sizeof prefix - 1;
  int is_object = g_str_has_prefix (request->url, prefix);
  int is_write = strcmp (request->method, "GET") != 0;
  int drop_response = 0;

  if (apply_fault (request, is_write, &drop_response))
    return;
  if (strcmp (request->url, "/v1/watch") == 0)
    watch (request);
  else if (strcmp (request->url, "/v1/instances") == 0)
    {
      pthread_mutex_lock (&lock);
      fake_respond (request, 200, instances);
      pthread_mutex_unlock (&lock);
    }
  else if (!is_object)
    fake_respond (request, 404, "{}");
  else if (is_write)
    put_object (request, name, strcmp (request->method, "DELETE") == 0);
  else
    get_object (request, name);
  if (drop_response)
    fake_drop_connection (request);
}

/* Counts REQUEST and applies the current fault or delay to it.  Returns
   whether the request has ended.  Sets DROP_RESPONSE if the response of a
   write must be dropped.  */
static int
apply_fault (struct fake_request *request, int is_write, int *drop_response)
{
  enum mode active_fault = MODE_OK;
  int64_t wait_ms;

  pthread_mutex_lock (&lock);
  if (is_write)
    writes++;
  else if (strcmp (request->url, "/v1/watch") == 0)
    watches++;
  else
    reads++;
  if (mode != MODE_OK && rand_r (&seed) % 100 < percent)
    active_fault = mode;
  wait_ms = delay_ms;
  pthread_mutex_unlock (&lock);
  *drop_response = active_fault == MODE_LOSE_RESPONSES && is_write;
  if (active_fault == MODE_HANG)
    fake_sleep_ms (HANG_MS);
  if (active_fault == MODE_DOWN)
    {
      fake_respond (request, 503, "{}");
      return 1;
    }
  if (active_fault == MODE_HANG)
    {
      fake_drop_connection (request);
      return 1;
    }
  fake_sleep_ms (wait_ms);
  return 0;
}

static void
get_object (struct fake_request *request, const char *name)
{
  const struct object *object;

  pthread_mutex_lock (&lock);
  object = g_hash_table_lookup (objects, name);
  if (object == NULL || object->text == NULL)
    fake_respond (request, 404, "{}");
  else
    {
      fake_respond (request, 200, object->text);
      set_etag (request, object->revision);
    }
  pthread_mutex_unlock (&lock);
}

/* Writes object NAME, or deletes it if REMOVE, under the conditions of
   If-Match and If-None-Match.  */
static void
put_object (struct fake_request *request, const char *name, int remove)
{
  const char *if_match = fake_header (request, "If-Match");
  const char *if_none_match = fake_header (request, "If-None-Match");
  struct object *object;
  struct undo *undo;
  int exists;

  pthread_mutex_lock (&lock);
  object = g_hash_table_lookup (objects, name);
  exists = object != NULL && object->text != NULL;
  if ((if_none_match != NULL && exists)
      || (if_match != NULL
          && (!exists
              || strtoull (if_match + 1, NULL, 10) != object->revision)))
    {
      fake_respond (request, 412, "{}");
      pthread_mutex_unlock (&lock);
      return;
    }
  if (object == NULL)
    {
      object = g_new0 (struct object, 1);
      object->name = g_strdup (name);
      g_hash_table_insert (objects, object->name, object);
    }
  undo = g_new0 (struct undo, 1);
  *undo = (struct undo){ object, object->text, object->revision,
                         fake_now_ms () };
  g_queue_push_head (&undo_log, undo);
  object->text = remove ? NULL : g_strdup (request->body->str);
  object->revision = ++last_revision;
  if (strstr (name, "/ledger/") == NULL)
    g_string_append_printf (history,
                            "%s{\"t\":%ld,\"name\":\"%s\",\"revision\":%lu}",
                            history->len ? "," : "", (long)fake_now_ms (),
                            name, (unsigned long)object->revision);
  fake_respond (request, 200, "{}");
  set_etag (request, object->revision);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

/* Long poll: responds with the objects under a prefix that changed after a
   revision, as soon as there are any, or with none after wait_ms.  */
static void
watch (struct fake_request *request)
{
  const char *prefix = fake_query_argument (request, "prefix");
  const char *since = fake_query_argument (request, "since");
  const char *wait_text = fake_query_argument (request, "wait_ms");
  uint64_t after = since ? strtoull (since, NULL, 10) : 0;
  int64_t wait_ms = wait_text ? atoll (wait_text) : 0;
  struct timespec until;
  uint64_t revision;
  json_t *list;
  int more;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  pthread_mutex_lock (&lock);
  for (;;)
    {
      list = changed_objects (prefix ? prefix : "", after, &revision, &more);
      if (json_array_size (list) > 0 || wait_ms == 0)
        break;
      json_decref (list);
      if (pthread_cond_timedwait (&changed, &lock, &until) != 0)
        {
          list = json_array ();
          revision = MAX (after, last_revision);
          break;
        }
    }
  pthread_mutex_unlock (&lock);
  fake_respond_json (request, 200,
                     json_pack ("{s:I,s:b,s:o}", "revision",
                                (json_int_t)revision, "more", more, "objects",
                                list));
}

/* Returns the objects under PREFIX that changed after revision SINCE, in order
   of revision.  The list is complete up to revision UNTIL; MORE is set if
   later ones are omitted because of WATCH_BYTES_MAX.  */
static json_t *
changed_objects (const char *prefix, uint64_t since, uint64_t *until,
                 int *more)
{
  GList *matches = NULL;
  json_t *list = json_array ();
  size_t bytes = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct object *object = value;

      if (object->revision > since && g_str_has_prefix (object->name, prefix))
        matches = g_list_prepend (matches, value);
    }
  matches = g_list_sort (matches, compare_revisions);
  *until = MAX (last_revision, since);
  *more = 0;
  for (GList *link = matches; link != NULL; link = link->next)
    {
      const struct object *object = link->data;

      if (bytes > WATCH_BYTES_MAX)
        {
          *more = 1;
          break;
        }
      bytes += object->text ? strlen (object->text) : 0;
      json_array_append_new (list, json_pack ("{s:s,s:I,s:s?}", "name",
                                              object->name, "revision",
                                              (json_int_t)object->revision,
                                              "value", object->text));
      if (link->next != NULL && bytes > WATCH_BYTES_MAX)
        *until = object->revision;
    }
  g_list_free (matches);
  return list;
}

static gint
compare_revisions (gconstpointer a, gconstpointer b)
{
  const struct object *left = a;
  const struct object *right = b;

  return (left->revision > right->revision)
         - (left->revision < right->revision);
}

/* Takes back the writes of the last AGE_MS and counts up the epoch.  The lock
   must be held.  */
static void
restore (int64_t age_ms)
{
  int64_t since_ms = fake_now_ms () - age_ms;
  struct undo *undo;

  epoch++;
  while ((undo = g_queue_peek_head (&undo_log)) != NULL
         && undo->time_ms >= since_ms)
    {
      g_free (undo->object->text);
      undo->object->text = undo->text;
      undo->object->revision = undo->revision;
      last_revision--;
      g_free (g_queue_pop_head (&undo_log));
    }
  pthread_cond_broadcast (&changed);
}

/* Serves the control requests: faults, the list of instances, history.  */
static void
serve_control (struct fake_request *request)
{
  static const char *const modes[] = { "ok", "down", "hang", "lose" };
  const char *name = fake_query_argument (request, "mode");
  const char *percent_text = fake_query_argument (request, "percent");
  const char *delay_text = fake_query_argument (request, "delay_ms");
  const char *ms_text = fake_query_argument (request, "ms");

  pthread_mutex_lock (&lock);
  if (strcmp (request->url, "/control/instances") == 0)
    {
      g_free (instances);
      instances = g_strdup (request->body->str);
    }
  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (modes); i++)
    if (strcmp (name, modes[i]) == 0)
      {
        mode = (enum mode)i;
        percent = percent_text ? atoi (percent_text) : 100;
      }
  if (delay_text != NULL)
    delay_ms = atoll (delay_text);
  if (strcmp (request->url, "/control/restore") == 0 && ms_text != NULL)
    restore (atoll (ms_text));
  fake_respond_json (
      request, 200,
      json_pack (
          "{s:I,s:I,s:I,s:o}", "reads", (json_int_t)reads, "writes",
          (json_int_t)writes, "watches", (json_int_t)watches, "changes",
          strcmp (request->url, "/control/history") == 0
              ? json_loads (g_strdup_printf ("[%s]", history->str), 0, NULL)
              : json_null ()));
  pthread_mutex_unlock (&lock);
}

/* Adds REVISION to the response as its ETag.  */
static void
set_etag (struct fake_request *request, uint64_t revision)
{
  char text[32];

  g_snprintf (text, sizeof text, "\"%lu\"", (unsigned long)revision);
  MHD_add_response_header (request->response, "ETag", text);
}
