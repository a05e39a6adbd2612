/* Request head as sent to a target. */
#include <string.h>

#include "librelay.h"

static int is_forwarded (const struct relay *relay, const char *name);
static void append_target_fields (const struct relay *relay, GString *out);
static void append_source (const struct relay *relay, GString *out);
static void append_field (GString *out, const char *name, const char *value);

/* Returns the newly allocated start line and header fields for RELAY's
   target.  The remaining time is counted from NOW.  */
GString *
relay_build_request_head (const struct relay *relay, clk_ms now)
{
  const char *const *field = relay->router->dialect->field;
  const struct http_head *head = relay->head;
  GString *out = g_string_sized_new (head->text->len + 256);

  g_string_append_printf (out, "%s %s HTTP/1.1\r\n", head->method,
                          http_head_url (head));
  for (uint32_t i = 0; i < head->count; i++)
    if (is_forwarded (relay, http_head_name (head, i)))
      append_field (out, http_head_name (head, i), http_head_value (head, i));
  if (relay->deadline_ms < INT64_MAX)
    g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n",
                            field[DIALECT_DEADLINE_MS],
                            (gint64)MAX (relay->deadline_ms - now, 1));
  relay_urgency_append (relay, out);
  if (relay->attempt.target->is_peer)
    relay_hop_append_mark (relay, out);
  else
    append_target_fields (relay, out);
  if (relay->events.forwarded > 0)
    append_field (out, field[DIALECT_RESUME_AFTER], relay->events.last_id);
  if (relay->body != NULL || strcmp (head->method, "POST") == 0
      || strcmp (head->method, "PUT") == 0)
    g_string_append_printf (out, "Content-Length: %zu\r\n",
                            relay->body ? relay->body->len : 0);
  g_string_append (out, "\r\n");
  return out;
}

/* Appends to OUT the fields that only a target gets.  */
static void
append_target_fields (const struct relay *relay, GString *out)
{
  const char *const *field = relay->router->dialect->field;

  append_field (out, field[DIALECT_EXPECTED_TARGET],
                relay->attempt.target->id);
  if (relay->customer != NULL)
    append_field (out, field[DIALECT_CUSTOMER], relay->customer->name);
  append_source (relay, out);
}

/* Appends to OUT the target from which RELAY's one copies the context.  */
static void
append_source (const struct relay *relay, GString *out)
{
  const char *name = relay->router->dialect->field[DIALECT_CONTEXT_SOURCE];
  char *address;

  if (relay->attempt.source.sin_port == 0 || name == NULL)
    return;
  address = settings_format_address (&relay->attempt.source);
  append_field (out, name, address);
  g_free (address);
}

/* Returns whether the client's field NAME is forwarded to the target.  */
static int
is_forwarded (const struct relay *relay, const char *name)
{
  const struct dialect *dialect = relay->router->dialect;

  if (http_is_hop_by_hop (relay->head, name)
      || g_ascii_strcasecmp (name, hop_field) == 0)
    return 0;
  if (g_ascii_strcasecmp (name, dialect->field[DIALECT_DEADLINE_MS]) == 0
      || g_ascii_strcasecmp (name, dialect->field[DIALECT_CREDENTIAL]) == 0)
    return 0;
  if (relay->events.forwarded > 0
      && g_ascii_strcasecmp (name, dialect->field[DIALECT_RESUME_AFTER]) == 0)
    return 0;
  for (const char *const *reserved = dialect->reserved; *reserved != NULL;
       reserved++)
    if (g_ascii_strcasecmp (name, *reserved) == 0)
      return 0;
  return 1;
}

/* Appends the header field NAME with VALUE to OUT.  */
static void
append_field (GString *out, const char *name, const char *value)
{
  g_string_append (out, name);
  g_string_append (out, ": ");
  g_string_append (out, value);
  g_string_append (out, "\r\n");
}
