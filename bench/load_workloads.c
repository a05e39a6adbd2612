/* Workloads: chats of several turns, calls with an idempotency key, and closed
   loops. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  DRAIN_TIMEOUT_US = 20000000,
  RETRY_DELAY_US = 150000,
  LONG_RESPONSE_FACTOR = 4,
  LONG_RESPONSE_ONE_IN = 10,
  PICK_ATTEMPTS_MAX = 20
};

struct chat
{
  int64_t context; /* tokens */
  int busy;        /* has an open request */
};

struct workload
{
  const struct load_options *options;
  struct load_client *client;
  GArray *records;
  GRand *random;
  struct chat *chats;
  double *cumulative; /* sums of the Zipf weights of the chats */
  int64_t started_us;
  int64_t serial;          /* of the last request; -1: send no more */
  GArray *pending_retries; /* of struct pending_retry */
};

/* A keyed call that its client sends again. */
struct pending_retry
{
  int64_t at_us;
  int retries_left;
  struct load_request request;
};

static void init_workload (struct workload *workload,
                           const struct load_options *options);
static void finish_workload (struct workload *workload);
static int pick_chat (struct workload *workload, int customer);
static int pick_customer (struct workload *workload);
static void send_chat (struct workload *workload);
static void on_chat_done (void *closure, const struct load_record *record,
                          const char *body, size_t length);
static void send_keyed_call (struct workload *workload);
static void on_call_done (void *closure, const struct load_record *record,
                          const char *body, size_t length);
static void send_due_retries (struct workload *workload);
static void on_closed_loop_done (void *closure,
                                 const struct load_record *record,
                                 const char *body, size_t length);
static void send_closed_loop (struct workload *workload);
static double arrival_rate_factor (const struct workload *workload);

/* Runs chats whose turns arrive as a Poisson process at the rate of
   OPTIONS.  */
GArray *
load_run_chats (const struct load_options *options)
{
  struct workload workload;
  int64_t next_arrival_us;

  init_workload (&workload, options);
  next_arrival_us = workload.started_us;
  while (load_now_us ()
         < workload.started_us + options->duration_ms * US_PER_MS)
    {
      load_client_run_until (workload.client, next_arrival_us);
      send_chat (&workload);
      next_arrival_us
          += (int64_t)(-log (g_rand_double_range (workload.random, 1e-9, 1))
                       / (options->rate * arrival_rate_factor (&workload))
                       * US_PER_S);
    }
  finish_workload (&workload);
  return workload.records;
}

/* Runs keyed calls.  Each is sent again after a failure or refusal.  */
GArray *
load_run_keyed_calls (const struct load_options *options)
{
  struct workload workload;
  int64_t next_arrival_us;

  init_workload (&workload, options);
  next_arrival_us = workload.started_us;
  while (load_now_us ()
         < workload.started_us + options->duration_ms * US_PER_MS)
    {
      load_client_run_until (workload.client, next_arrival_us);
      send_due_retries (&workload);
      send_keyed_call (&workload);
      next_arrival_us
          += (int64_t)(-log (g_rand_double_range (workload.random, 1e-9, 1))
                       / options->rate * US_PER_S);
    }
  while (workload.pending_retries->len > 0
         && load_now_us () < workload.started_us
                                 + options->duration_ms * US_PER_MS
                                 + DRAIN_TIMEOUT_US / 2)
    {
      load_client_run_until (workload.client, load_now_us () + 5 * US_PER_MS);
      send_due_retries (&workload);
    }
  finish_workload (&workload);
  return workload.records;
}

/* Runs a closed loop: keeps a constant number of requests open.  */
GArray *
load_run_closed_loop (const struct load_options *options)
{
  struct workload workload;

  init_workload (&workload, options);
  for (int i = 0; i < options->concurrency; i++)
    send_closed_loop (&workload);
  load_client_run_until (
      workload.client, workload.started_us + options->duration_ms * US_PER_MS);
  workload.serial = -1;
  finish_workload (&workload);
  return workload.records;
}

static void
init_workload (struct workload *workload, const struct load_options *options)
{
  double sum = 0;

  memset (workload, 0, sizeof *workload);
  workload->options = options;
  workload->client = load_client_new (options);
  workload->records = g_array_new (FALSE, TRUE, sizeof (struct load_record));
  workload->pending_retries
      = g_array_new (FALSE, TRUE, sizeof (struct pending_retry));
  workload->random = g_rand_new_with_seed (options->seed);
  workload->chats = g_new0 (struct chat, options->chats);
  workload->cumulative = g_new0 (double, options->chats);
  for (int i = 0; i < options->chats; i++)
    {
      sum += 1 / pow (i + 1, options->zipf);
      workload->cumulative[i] = sum;
    }
  workload->started_us = load_now_us ();
}

/* Waits up to DRAIN_TIMEOUT_US for the open requests, then frees the client
   and the chats of WORKLOAD.  */
static void
finish_workload (struct workload *workload)
{
  int64_t until_us = load_now_us () + DRAIN_TIMEOUT_US;

  while (load_client_open_count (workload->client) > 0
         && load_now_us () < until_us)
    load_client_run_until (workload->client, load_now_us () + 10 * US_PER_MS);
  load_client_free (workload->client);
  g_free (workload->chats);
  g_free (workload->cumulative);
}

/* Returns the arrival rate relative to that at the start.  */
static double
arrival_rate_factor (const struct workload *workload)
{
  const struct load_options *options = workload->options;
  int64_t elapsed_ms = (load_now_us () - workload->started_us) / US_PER_MS;

  if (options->surge_at_ms == 0 || elapsed_ms < options->surge_at_ms)
    return 1;
  return 1 + 3.0 / options->customers * (options->surge_factor - 1);
}

/* Returns a random chat of CUSTOMER without an open request, or -1 if none is
   found in PICK_ATTEMPTS_MAX attempts.  Chats are drawn from a Zipf
   distribution.  Chat I belongs to customer I modulo the number of
   customers.  */
static int
pick_chat (struct workload *workload, int customer)
{
  const struct load_options *options = workload->options;
  int count = options->chats;

  for (int i = 0; i < PICK_ATTEMPTS_MAX; i++)
    {
      double random_point
          = g_rand_double (workload->random) * workload->cumulative[count - 1];
      int low = 0;
      int high = count - 1;

      while (low < high)
        {
          int middle = (low + high) / 2;

          if (workload->cumulative[middle] < random_point)
            low = middle + 1;
          else
            high = middle;
        }
      low = low - low % options->customers + customer;
      if (low < count && !workload->chats[low].busy)
        return low;
    }
  return -1;
}

/* Returns a random customer for the next request.  */
static int
pick_customer (struct workload *workload)
{
  const struct load_options *options = workload->options;
  double surge
      = arrival_rate_factor (workload) > 1 ? options->surge_factor : 1;
  double total = 3 * surge + options->customers - 3;
  double random_point = g_rand_double (workload->random);

  if (options->big_share > 0)
    return random_point < options->big_share
               ? 0
               : g_rand_int_range (workload->random, 1, options->customers);
  if (surge <= 1)
    return g_rand_int_range (workload->random, 0, options->customers);
  random_point *= total;
  if (random_point < 3 * surge)
    return (int)(random_point / surge);
  return MIN (3 + (int)(random_point - 3 * surge), options->customers - 1);
}

/* Sends the next turn of a random chat.  */
static void
send_chat (struct workload *workload)
{
  const struct load_options *options = workload->options;
  struct load_request request = { .method = "POST", .is_chat = 1 };
  int customer = pick_customer (workload);
  int index = pick_chat (workload, customer);
  struct chat *chat;

  if (index < 0)
    return;
  chat = &workload->chats[index];
  chat->busy = 1;
  request.record.chat = index;
  request.record.customer = customer;
  request.record.tokens = options->tokens;
  if (options->mixed
      && g_rand_int_range (workload->random, 0, LONG_RESPONSE_ONE_IN) == 0)
    request.record.tokens *= LONG_RESPONSE_FACTOR;
  request.record.prompt = (chat->context > 0 ? chat->context : options->prompt)
                          + options->growth;
  request.record.instance = load_client_pick_instance (workload->client);
  g_snprintf (request.tag, sizeof request.tag, "r%ld",
              (long)++workload->serial);
  g_strlcpy (request.url_path, "/v1/chat/completions",
             sizeof request.url_path);
  request.body = g_strdup_printf (
      "{\"model\":\"%s\",\"chat_id\":\"chat-%d\",\"messages\":[],"
      "\"stream\":%s,\"prompt_tokens\":%ld,\"max_tokens\":%ld,"
      "\"tag\":\"%s\"}",
      options->service, index, options->stream ? "true" : "false",
      (long)request.record.prompt, (long)request.record.tokens, request.tag);
  request.fn = on_chat_done;
  request.closure = workload;
  load_client_send (workload->client, &request);
}

/* Records the end of a turn.  Only a complete response extends the context. */
static void
on_chat_done (void *closure, const struct load_record *record,
              const char *body, size_t length)
{
  struct workload *workload = closure;
  struct chat *chat = &workload->chats[record->chat];

  (void)body;
  (void)length;
  chat->busy = 0;
  if (record->complete)
    chat->context = record->prompt + record->tokens;
  g_array_append_val (workload->records, *record);
}

/* Sends a keyed call, for a share of the calls twice at once, each to an
   instance picked independently.  The field chat of the record holds the
   number of remaining retries.  */
static void
send_keyed_call (struct workload *workload)
{
  const struct load_options *options = workload->options;
  struct load_request request = { .method = options->method };
  int copies
      = g_rand_double (workload->random) < options->repeat_share ? 2 : 1;

  request.record.customer
      = g_rand_int_range (workload->random, 0, options->customers);
  request.record.chat = options->retries;
  g_snprintf (request.record.key, sizeof request.record.key, "key-%u-%ld",
              options->seed, (long)++workload->serial);
  g_snprintf (request.url_path, sizeof request.url_path, "/v1/services/%s%s",
              options->service, options->path);
  request.fn = on_call_done;
  request.closure = workload;
  if (strcmp (options->method, "POST") != 0)
    request.record.key[0] = '\0';
  for (int i = 0; i < copies; i++)
    {
      struct load_request copy = request;

      copy.record.instance = load_client_pick_instance (workload->client);
      copy.body = strcmp (options->method, "POST") == 0
                      ? g_strdup_printf ("fee=%ld", (long)workload->serial)
                      : NULL;
      load_client_send (workload->client, &copy);
    }
}

/* Records a response.  While retries remain, schedules a retry with the same
   key after each failure or refusal, and after one successful response in ten,
   which the retry must then get replayed.  */
static void
on_call_done (void *closure, const struct load_record *record,
              const char *body, size_t length)
{
  struct workload *workload = closure;
  struct pending_retry pending_retry = { .retries_left = record->chat };
  int needs_retry
      = record->status == 0 || record->status >= 409 || record->cut;

  (void)body;
  (void)length;
  g_array_append_val (workload->records, *record);
  if (record->chat <= 0 || record->key[0] == '\0')
    return;
  if (!needs_retry && g_rand_int_range (workload->random, 0, 10) != 0)
    return;
  pending_retry.at_us
      = load_now_us () + RETRY_DELAY_US
        + g_rand_int_range (workload->random, 0, RETRY_DELAY_US);
  pending_retry.request.method = workload->options->method;
  g_snprintf (pending_retry.request.url_path,
              sizeof pending_retry.request.url_path, "/v1/services/%s%s",
              workload->options->service, workload->options->path);
  pending_retry.request.record.customer = record->customer;
  pending_retry.request.record.chat = record->chat - 1;
  g_strlcpy (pending_retry.request.record.key, record->key,
             sizeof pending_retry.request.record.key);
  pending_retry.request.body
      = g_strdup_printf ("fee=%s", strrchr (record->key, '-') + 1);
  pending_retry.request.fn = on_call_done;
  pending_retry.request.closure = workload;
  g_array_append_val (workload->pending_retries, pending_retry);
}

/* Sends the retries that are due.  */
static void
send_due_retries (struct workload *workload)
{
  int64_t now = load_now_us ();

  for (guint i = workload->pending_retries->len; i > 0; i--)
    {
      struct pending_retry pending_retry = g_array_index (
          workload->pending_retries, struct pending_retry, i - 1);

      if (pending_retry.at_us > now)
        continue;
      g_array_remove_index_fast (workload->pending_retries, i - 1);
      pending_retry.request.record.instance
          = load_client_pick_instance (workload->client);
      load_client_send (workload->client, &pending_retry.request);
    }
}

/* Sends one request of a closed loop.  */
static void
send_closed_loop (struct workload *workload)
{
  const struct load_options *options = workload->options;
  struct load_request request = { .method = options->method };

  request.record.customer = 0;
  request.record.tokens = options->tokens;
  request.record.instance = load_client_pick_instance (workload->client);
  request.is_chat = options->stream;
  g_snprintf (request.tag, sizeof request.tag, "r%ld",
              (long)++workload->serial);
  if (options->stream)
    {
      g_strlcpy (request.url_path, "/v1/chat/completions",
                 sizeof request.url_path);
      request.body = g_strdup_printf (
          "{\"model\":\"%s\",\"chat_id\":\"chat-%ld\",\"messages\":[],"
          "\"stream\":true,\"prompt_tokens\":10,\"max_tokens\":%ld,"
          "\"tag\":\"%s\"}",
          options->service, (long)workload->serial, (long)options->tokens,
          request.tag);
    }
  else if (options->direct_port)
    g_strlcpy (request.url_path, options->path, sizeof request.url_path);
  else
    g_snprintf (request.url_path, sizeof request.url_path, "/v1/services/%s%s",
                options->service, options->path);
  request.fn = on_closed_loop_done;
  request.closure = workload;
  load_client_send (workload->client, &request);
}

/* Records the end of a request and sends the next one.  */
static void
on_closed_loop_done (void *closure, const struct load_record *record,
                     const char *body, size_t length)
{
  struct workload *workload = closure;

  (void)body;
  (void)length;
  g_array_append_val (workload->records, *record);
  if (workload->serial >= 0)
    send_closed_loop (workload);
}
