/* The request as a target gets it. */
#include <string.h>

#include "librelay.h"

static int is_passed_on (const struct rly *rly, const char *name);
static void add (GString *out, const char *name, const char *value);

/* Returns the start line and the fields for RLY's target, newly allocated.  */
GString *
rly_request_head (const struct rly *rly, clk_ms now)
{
  const char *const *field = rly->router->dialect->field;
  const struct http_head *head = rly->head;
  GString *out = g_string_sized_new (head->text->len + 256);

  g_string_append_printf (out, "%s %s HTTP/1.1\r\n", head->method,
                          http_head_url (head));
  for (uint32_t i = 0; i < head->count; i++)
    if (is_passed_on (rly, http_head_name (head, i)))
      add (out, http_head_name (head, i), http_head_value (head, i));
  if (rly->deadline_ms < INT64_MAX)
    g_string_append_printf (out, "%s: %" G_GINT64_FORMAT "\r\n",
                            field[DLC_DEADLINE_MS],
                            (gint64)MAX (rly->deadline_ms - now, 1));
  add (out, field[DLC_EXPECTED], rly->target->id);
  if (rly->customer != NULL)
    add (out, field[DLC_CUSTOMER], rly->customer->name);
  if (rly->events.passed > 0)
    add (out, field[DLC_RESUME_AFTER], rly->events.last);
  if (rly->body != NULL || strcmp (head->method, "POST") == 0
      || strcmp (head->method, "PUT") == 0)
    g_string_append_printf (out, "Content-Length: %zu\r\n",
                            rly->body ? rly->body->len : 0);
  g_string_append (out, "\r\n");
  return out;
}

/* Returns whether the caller's field NAME goes on to the target.  */
static int
is_passed_on (const struct rly *rly, const char *name)
{
  const struct dialect *dialect = rly->router->dialect;

  if (http_is_hop_by_hop (rly->head, name))
    return 0;
  if (g_ascii_strcasecmp (name, dialect->field[DLC_DEADLINE_MS]) == 0
      || g_ascii_strcasecmp (name, dialect->field[DLC_CREDENTIAL]) == 0)
    return 0;
  if (rly->events.passed > 0
      && g_ascii_strcasecmp (name, dialect->field[DLC_RESUME_AFTER]) == 0)
    return 0;
  for (const char *const *at = dialect->reserved; *at != NULL; at++)
    if (g_ascii_strcasecmp (name, *at) == 0)
      return 0;
  return 1;
}

/* Appends one field.  */
static void
add (GString *out, const char *name, const char *value)
{
  g_string_append (out, name);
  g_string_append (out, ": ");
  g_string_append (out, value);
  g_string_append (out, "\r\n");
}
