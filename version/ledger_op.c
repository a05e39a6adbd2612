/* Ledger operations: their JSON form between instances, and their replies. */
#include <stdlib.h>
#include <string.h>

#include "libledger.h"

static void set_batch_result (struct ledger_op *op,
                              const struct ledger_reply *reply);
static json_t *reply_to_json (const struct ledger_reply *reply);

/* Replies to OP with VERDICT and, if that is LEDGER_COMPLETED, the response
   that ENTRY holds, then frees OP.  ENTRY may be NULL.  */
void
ledger_op_reply (struct ledger_op *op, enum ledger_verdict verdict,
                 const struct ledger_entry *entry)
{
  struct ledger_reply reply = { .verdict = verdict };
  guchar *body = NULL;
  gsize length = 0;

  if (verdict == LEDGER_COMPLETED && entry != NULL)
    {
      reply.status = entry->status;
      reply.content_type = entry->content_type;
      if (entry->body != NULL)
        body = g_base64_decode (entry->body, &length);
      reply.body = (const char *)body;
      reply.body_length = length;
    }
  if (op->batch != NULL)
    set_batch_result (op, &reply);
  else
    op->fn (op->closure, op->tag, &reply);
  g_free (body);
  ledger_op_free (op);
}

/* Frees OP without a reply.  */
void
ledger_op_free (struct ledger_op *op)
{
  g_free (op->content_type);
  g_free (op->body);
  g_free (op);
}

/* Returns OP, a claim or an outcome, as a new JSON object that
   ledger_op_from_json can read.  */
json_t *
ledger_op_to_json (const struct ledger_op *op)
{
  json_t *json
      = json_pack ("{s:b,s:s,s:s,s:I}", "finish",
                   op->kind == LEDGER_OP_OUTCOME, "k", op->call.key, "n",
                   op->call.nonce, "f", (json_int_t)op->call.fingerprint);

  if (op->kind == LEDGER_OP_CLAIM)
    return json;
  json_object_set_new (json, "x", json_boolean (op->not_run));
  json_object_set_new (json, "s", json_integer (op->status));
  if (op->content_type != NULL)
    json_object_set_new (json, "c", json_string (op->content_type));
  if (op->body != NULL)
    json_object_set_new (json, "b", json_string (op->body));
  return json;
}

/* Returns a new operation read from JSON, or NULL if it is malformed.  */
struct ledger_op *
ledger_op_from_json (json_t *json)
{
  const char *key = json_string_value (json_object_get (json, "k"));
  const char *nonce = json_string_value (json_object_get (json, "n"));
  struct ledger_op *op;

  if (key == NULL || nonce == NULL || strlen (key) != LEDGER_ID_BYTES - 1
      || strlen (nonce) != LEDGER_ID_BYTES - 1)
    return NULL;
  op = g_new0 (struct ledger_op, 1);
  op->kind = json_is_true (json_object_get (json, "finish"))
                 ? LEDGER_OP_OUTCOME
                 : LEDGER_OP_CLAIM;
  g_strlcpy (op->call.key, key, sizeof op->call.key);
  g_strlcpy (op->call.nonce, nonce, sizeof op->call.nonce);
  op->call.fingerprint
      = (uint64_t)json_integer_value (json_object_get (json, "f"));
  op->not_run = json_is_true (json_object_get (json, "x"));
  op->status = (int)json_integer_value (json_object_get (json, "s"));
  op->content_type
      = g_strdup (json_string_value (json_object_get (json, "c")));
  op->body = g_strdup (json_string_value (json_object_get (json, "b")));
  return op;
}

/* Stores REPLY as the result of OP in its batch.  If every operation now has a
   result, passes the results to the callback of the batch and frees the
   batch.  */
static void
set_batch_result (struct ledger_op *op, const struct ledger_reply *reply)
{
  struct ledger_batch *batch = op->batch;
  size_t open;

  pthread_mutex_lock (&batch->lock);
  json_array_set_new (batch->results, op->batch_index, reply_to_json (reply));
  open = --batch->open;
  pthread_mutex_unlock (&batch->lock);
  if (open > 0)
    return;
  {
    json_t *message = json_pack ("{s:o}", "results", batch->results);

    batch->fn (batch->closure, json_dumps (message, JSON_COMPACT));
    json_decref (message);
  }
  pthread_mutex_destroy (&batch->lock);
  g_free (batch);
}

/* Returns REPLY as a new JSON object that apply_results can read.  */
static json_t *
reply_to_json (const struct ledger_reply *reply)
{
  json_t *json
      = json_pack ("{s:i,s:i}", "v", (int)reply->verdict, "s", reply->status);

  if (reply->content_type != NULL)
    json_object_set_new (json, "c", json_string (reply->content_type));
  if (reply->body != NULL)
    {
      char *body
          = g_base64_encode ((const guchar *)reply->body, reply->body_length);

      json_object_set_new (json, "b", json_string (body));
      g_free (body);
    }
  return json;
}
