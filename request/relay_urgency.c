/* Urgency of a relayed request, by which it is ordered where capacity is
   scarce and which its target is told.  */
#include "librelay.h"

enum
{
  DECIMAL_BASE = 10
};

/* Sets the urgency of RELAY: the priority of its customer, or else that of its
   route, if one of them names one.  */
void
relay_urgency_decide (struct relay *relay)
{
  int32_t priority = relay->route->priority;

  if (relay->customer != NULL && relay->customer->priority >= 0)
    priority = relay->customer->priority;
  relay->urgency = MIN (priority, RT_PRIORITY_LOWEST);
}

/* Sets the urgency of RELAY, a hop, to what its sender has decided.  */
void
relay_urgency_read (struct relay *relay)
{
  const char *value = http_head_get (
      relay->head, relay->router->dialect->field[DIALECT_PRIORITY]);
  guint64 priority;

  if (value != NULL
      && g_ascii_string_to_unsigned (value, DECIMAL_BASE, 0,
                                     RT_PRIORITY_LOWEST, &priority, NULL))
    relay->urgency = (int32_t)priority;
}

/* Appends the urgency of RELAY to OUT, fields of a request to a target or to
   another instance, if it is known.  Builds that do not read it from a hop
   drop it, as it is a reserved field.  */
void
relay_urgency_append (const struct relay *relay, GString *out)
{
  if (relay->urgency < 0 || !relay->router->settings->admission_queue)
    return;
  g_string_append_printf (out, "%s: %" G_GINT32_FORMAT "\r\n",
                          relay->router->dialect->field[DIALECT_PRIORITY],
                          relay->urgency);
}
