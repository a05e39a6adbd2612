/* Contexts that a target copies from another one instead of reading them:
   the choice, and routers with targets that keep what they have read.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ibisloom/source.h"
#include "shop.h"
#include "test.h"

enum
{
  ROUTERS = 2,
  TARGETS = 6,
  CONTEXTS = 48,
  CLIENTS = 24, /* at the same time */
  STRIDE = 7,   /* between the contexts that the second router gets */
  TOKENS = 4000,
  RESPONSE_MS = 250, /* so long that the clients overlap on a busy machine */
  START_MS = 1500,
  LEAVE_MS = 1500 /* until all routers know that a target leaves */
};

static void oldest_usable_holder_is_the_source (void);
static void short_context_is_read (void);
static void other_version_is_no_source (void);
static void unknown_context_is_copied_from_the_other_home (void);
static void context_of_a_leaving_target_is_copied (void);
static void client_names_no_source (void);

static const struct test_case cases[] = {
  { "the oldest usable holder is the source",
    oldest_usable_holder_is_the_source },
  { "a short context is read", short_context_is_read },
  { "a holder of another version is no source", other_version_is_no_source },
  { "instances that know no holder copy from the other home",
    unknown_context_is_copied_from_the_other_home },
  { "a context is copied from a target that leaves",
    context_of_a_leaving_target_is_copied },
  { "a client cannot name the source", client_names_no_source },
};

TEST_MAIN ("source", cases)

/* How often a target got a context that it did not hold. */
struct counts
{
  int first;  /* none did */
  int copied; /* the request named one that did */
  int read;   /* others did, and the request named none of them */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fx_target *targets[TARGETS];
static char *addresses[TARGETS];
static uint8_t holds[TARGETS][CONTEXTS];
static struct counts counts;
static int next_context;

static const struct source_holder usable
    = { .software = 1, .is_reachable = 1, .is_usable = 1 };

static void
oldest_usable_holder_is_the_source (void)
{
  struct source_holder holders[] = { usable, usable, usable };

  holders[0].is_usable = 0;
  CU_ASSERT_EQUAL (source_pick (1, TOKENS, holders, 3), 1);
  CU_ASSERT_EQUAL (source_pick (1, TOKENS, holders, 1), 0);
  holders[0].is_reachable = 0;
  CU_ASSERT_EQUAL (source_pick (1, TOKENS, holders, 1), SOURCE_NONE);
  holders[2].is_target = 1;
  CU_ASSERT_EQUAL (source_pick (1, TOKENS, holders, 3), SOURCE_NONE);
}

static void
short_context_is_read (void)
{
  CU_ASSERT_EQUAL (source_pick (1, 10, &usable, 1), SOURCE_NONE);
}

static void
other_version_is_no_source (void)
{
  CU_ASSERT_EQUAL (source_pick (2, TOKENS, &usable, 1), SOURCE_NONE);
}

/* Returns the index of the target that ADDRESS names, or TARGETS.  */
static int
find_address (const char *address)
{
  int i = 0;

  while (i < TARGETS
         && (addresses[i] == NULL || g_strcmp0 (address, addresses[i]) != 0))
    i++;
  return i;
}

/* Counts that target INDEX gets CONTEXT and is told to copy it from SOURCE,
   which may be NULL.  */
static void
count_context (int index, int context, const char *source)
{
  int from = source != NULL ? find_address (source) : TARGETS;
  int held = 0;

  pthread_mutex_lock (&lock);
  for (int i = 0; i < TARGETS; i++)
    held += holds[i][context];
  if (held == 0)
    counts.first++;
  else if (!holds[index][context] && from < TARGETS && holds[from][context])
    counts.copied++;
  else if (!holds[index][context])
    counts.read++;
  holds[index][context] = 1;
  pthread_mutex_unlock (&lock);
}

static const char expected_field[] = "X-Ibisloom-Expected-Instance";

/* Handler of targets: notes the context of REQUEST, and responds after
   RESPONSE_MS.  */
static int
respond_and_keep (const struct fx_request *request)
{
  char *parts = fx_header_value (request->text, "X-Ibisloom-Prompt-Prefix");
  char *source = fx_header_value (request->text, "Kv-Fetch");
  char *id = fx_header_value (request->text, expected_field);
  int index = id != NULL ? atoi (id + strlen ("p-")) : 0;

  if (parts != NULL)
    count_context (index, (int)strtol (parts, NULL, 16) % CONTEXTS, source);
  g_free (parts);
  g_free (source);
  g_free (id);
  fx_sleep_ms (RESPONSE_MS);
  return shop_stream_events (request);
}

/* Starts the targets and ROUTERS routers, which exchange no datagrams if
   IS_APART.  */
static void
start_fleet (int is_apart)
{
  memset (holds, 0, sizeof holds);
  memset (&counts, 0, sizeof counts);
  for (int i = 0; i < TARGETS; i++)
    {
      char *id = g_strdup_printf ("p-%d", i);

      targets[i] = fx_target_add (id, "pool", respond_and_keep);
      g_free (addresses[i]);
      addresses[i]
          = g_strdup_printf ("127.0.0.1:%d", fx_target_port (targets[i]));
      g_free (id);
    }
  fx_store_start (shop_config);
  for (int i = 0; i < ROUTERS && is_apart; i++)
    fx_router_set_apart (i);
  fx_routers_start (ROUTERS);
  fx_sleep_ms (START_MS);
}

/* Sends a request with CONTEXT, and the header fields FIELDS, through ROUTER,
   and waits for the response.  */
static void
send_context (int router, int context, const char *fields)
{
  char *text = g_strdup_printf (
      "%sContent-Length: 1\r\n"
      "X-Ibisloom-Prompt-Prefix: %x:%d,%x:10\r\n%s\r\nr",
      REQUEST_HEAD ("POST", "/rules/1", "c"), CONTEXTS + context, TOKENS,
      0x10000 + context, fields);
  int fd = fx_router_connect (router);

  fx_send (fd, text);
  g_free (fx_read_all (fd));
  g_free (text);
}

/* Client: sends the contexts that no other client has sent through the router
   CLOSURE.  Each router gets them in an order of its own, so that its loads
   differ from those of the other one.  */
static void *
run_client (void *closure)
{
  int router = GPOINTER_TO_INT (closure);

  for (;;)
    {
      int context;

      pthread_mutex_lock (&lock);
      context = next_context < CONTEXTS ? next_context++ : CONTEXTS;
      pthread_mutex_unlock (&lock);
      if (context == CONTEXTS)
        return NULL;
      if (router != 0)
        context = context * STRIDE % CONTEXTS;
      send_context (router, context, "");
    }
}

/* Sends all contexts through ROUTER, several at a time.  */
static void
send_all_contexts (int router)
{
  pthread_t clients[CLIENTS];

  next_context = 0;
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, run_client, GINT_TO_POINTER (router));
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
}

/* As after a restart: the second router knows nothing of the first one's
   contexts and, under its load, sends many to another target.  */
static void
unknown_context_is_copied_from_the_other_home (void)
{
  start_fleet (1);
  send_all_contexts (0);
  CU_ASSERT_EQUAL (counts.first, CONTEXTS);
  send_all_contexts (1);
  CU_ASSERT_EQUAL (counts.read, 0);
  CU_ASSERT (counts.copied > 0);
  fx_env_stop ();
}

/* A planned replacement: what the leaving target holds is not read again.  */
static void
context_of_a_leaving_target_is_copied (void)
{
  int held = 0;

  start_fleet (0);
  send_all_contexts (0);
  for (int i = 0; i < CONTEXTS; i++)
    held += holds[0][i];
  fx_target_set_state (targets[0], "draining");
  fx_sleep_ms (LEAVE_MS);
  send_all_contexts (0);
  CU_ASSERT (held > 0);
  CU_ASSERT (counts.copied >= held);
  CU_ASSERT_EQUAL (counts.read, 0);
  fx_env_stop ();
}

static void
client_names_no_source (void)
{
  char *last;
  char *source;

  start_fleet (0);
  send_context (0, 0, "Kv-Fetch: 127.0.0.1:1\r\n");
  for (int i = 0; i < TARGETS; i++)
    {
      if (fx_target_request_count (targets[i]) == 0)
        continue;
      last = fx_target_last_request (targets[i]);
      source = fx_header_value (last, "Kv-Fetch");
      CU_ASSERT (source == NULL || strcmp (source, "127.0.0.1:1") != 0);
      g_free (source);
      g_free (last);
    }
  fx_env_stop ();
}
