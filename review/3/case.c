/* One part of a prompt crashes each worker that begins to write an answer on
   it.  The prompts are those of long chats, and the part stands far behind. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "libfixture.h"
#include "../common/review.h"

enum
{
  MACHINES = 3,
  WORKERS = 6,
  PARTS = 40,        /* of each prompt */
  DEADLY_PLACE = 35, /* among them, from 0; the last one is another */
  DEADLY_PART = 0xdead,
  SHARED_PART = 0x5001, /* the first of all prompts */
  SOUND_BEFORE = 12,    /* requests until the first one with the part */
  REQUESTS = 24,        /* with the part */
  INTERVAL_MS = 600,
  SOUND_PER_DEADLY = 2,
  EVENTS = 4,
  EVENT_MS = 20,
  DOWN_MS = 2000, /* a worker that has crashed */
  SETTLE_MS = 1500,
  CONTACT_MS = 3000,
  CRASHES = 5,     /* after which the rule holds, CONTACT_MS later */
  REACHED_MAX = 3, /* that the rule allows */
  DEADLINE_MS = 15000
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int crashes;
static int64_t fifth_ms; /* time of the fifth crash, or 0 */
static int reached_late;
static int sound_answered;
static int sound_asked;

static int run (const struct fx_request *request);
static void crash (struct fx_target *target);
static void *come_back (void *closure);
static char *make_prompt (int number, int is_deadly);
static void *request_stream (void *closure);
static void ask (int number, int is_deadly);

/* Worker: answers with a stream.  With the deadly part, it crashes when it
   begins to write.  */
static int
run (const struct fx_request *request)
{
  char *prompt = fx_header_value (request->text, "X-Ibisloom-Prompt-Prefix");
  char *deadly = g_strdup_printf (",%x:", DEADLY_PART);
  char *id = review_attempt_id (request);
  int is_deadly = prompt != NULL && strstr (prompt, deadly) != NULL;

  g_free (deadly);
  g_free (prompt);
  pthread_mutex_lock (&lock);
  reached_late += is_deadly && fifth_ms != 0
                  && review_now_ms () > fifth_ms + CONTACT_MS;
  pthread_mutex_unlock (&lock);
  review_record ("%s reaches %s", id, request->target->id);
  g_free (id);
  review_start_stream (request, "");
  if (is_deadly && review_has_trouble ())
    {
      crash (request->target);
      return 0;
    }
  for (int i = 1; i <= EVENTS; i++)
    {
      review_write_event (request, i, "text");
      fx_sleep_ms (EVENT_MS);
    }
  review_end_stream (request);
  return 1;
}

/* Has TARGET crash, and come back later.  */
static void
crash (struct fx_target *target)
{
  if (!fx_target_crash (target))
    return;
  pthread_mutex_lock (&lock);
  crashes++;
  if (crashes == CRASHES)
    fifth_ms = review_now_ms ();
  review_record ("%s crashes; %d crashes so far", target->id, crashes);
  pthread_mutex_unlock (&lock);
  fx_start_thread (come_back, target);
}

/* Has the worker CLOSURE start again after DOWN_MS.  */
static void *
come_back (void *closure)
{
  struct fx_target *target = closure;

  fx_sleep_ms (DOWN_MS);
  fx_target_recover (target);
  fx_target_restart (target, "v1");
  return NULL;
}

/* Returns the prompt of request NUMBER, newly allocated.  Prompts share their
   first part, and if they are deadly, the deadly one; no two are alike.  */
static char *
make_prompt (int number, int is_deadly)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < PARTS; i++)
    {
      int part = i == 0 ? SHARED_PART
                 : is_deadly && i == DEADLY_PLACE
                     ? DEADLY_PART
                     : 0x100000 + number * PARTS + i;

      g_string_append_printf (text, "%s%x:200", i > 0 ? "," : "", part);
    }
  return g_string_free (text, FALSE);
}

/* Requester: sends the request whose number is CLOSURE, negative for one with
   the deadly part.  */
static void *
request_stream (void *closure)
{
  int number = GPOINTER_TO_INT (closure);
  int is_deadly = number < 0;
  char *prompt = make_prompt (abs (number), is_deadly);
  char *fields = g_strdup_printf ("X-Ibisloom-Prompt-Prefix: %s\r\n", prompt);
  char *id
      = g_strdup_printf ("%s-%d", is_deadly ? "deadly" : "s", abs (number));
  char *body = g_strdup_printf ("plan %d", abs (number));
  char *request = review_request ("POST", "/plan/1", id, "key-1", DEADLINE_MS,
                                  fields, body);
  struct review_response response;

  review_record ("sent %s to machine %d", id, abs (number) % MACHINES);
  response = review_exchange_with (abs (number) % MACHINES, request);
  review_record ("%s is answered %d, %s", id, response.status,
                 response.is_complete ? "complete" : "not complete");
  if (!is_deadly)
    {
      g_atomic_int_inc (&sound_asked);
      g_atomic_int_add (&sound_answered,
                        response.status == 200 && response.is_complete);
    }
  review_response_clear (&response);
  g_free (request);
  g_free (body);
  g_free (id);
  g_free (fields);
  g_free (prompt);
  return NULL;
}

/* Sends request NUMBER.  */
static void
ask (int number, int is_deadly)
{
  fx_start_thread (request_stream,
                   GINT_TO_POINTER (is_deadly ? -number : number));
}

int
main (int argc, char **argv)
{
  char *config
      = review_config (3, "[{\"name\":\"lodge\",\"api_keys\":[\"key-1\"]}]");
  int number = 0;
  char *finding;
  int status;

  if (review_begin (argc, argv) != 0)
    return REVIEW_NOT_RUN;
  review_store_start (config);
  g_free (config);
  for (int i = 0; i < WORKERS; i++)
    {
      char *id = g_strdup_printf ("i-%d", i + 1);

      fx_target_restart (fx_target_add (id, "asistente", run), "v1");
      g_free (id);
    }
  for (int i = 0; i < MACHINES; i++)
    if (review_machine_start (i, fx_store_port ()) != 0)
      return REVIEW_NOT_RUN;
  fx_sleep_ms (SETTLE_MS);
  for (int i = 0; i < SOUND_BEFORE; i++)
    {
      ask (++number, 0);
      fx_sleep_ms (INTERVAL_MS / (1 + SOUND_PER_DEADLY));
    }
  for (int i = 0; i < REQUESTS; i++)
    {
      ask (++number, 1);
      for (int j = 0; j < SOUND_PER_DEADLY; j++)
        {
          fx_sleep_ms (INTERVAL_MS / (1 + SOUND_PER_DEADLY));
          ask (++number, 0);
        }
      fx_sleep_ms (INTERVAL_MS / (1 + SOUND_PER_DEADLY));
    }
  fx_sleep_ms (SETTLE_MS);
  finding = g_strdup_printf (
      "%d requests with the part reached workers later than %d ms after the "
      "fifth crash; %d crashes, %d of %d sound requests served",
      reached_late, CONTACT_MS, crashes, sound_answered, sound_asked);
  status = review_end (reached_late > REACHED_MAX, finding);
  g_free (finding);
  return status;
}
