/* Error kinds of the library, carried by GError. */
#include "ibisloom/error.h"

static const struct
{
  const char *name;
  const char *remedy;
} error_texts[ERR_COUNT] = {
  [ERR_SETTINGS] = { "bad_settings", "correct the settings file" },
  [ERR_IO] = { "io", "check the address, the port and the permissions" },
  [ERR_PLATFORM_DOWN]
  = { "platform_down", "check the platform's object API, then repeat" },
  [ERR_PLATFORM_INDETERMINATE]
  = { "platform_unsure", "read the object back before repeating" },
  [ERR_CONFLICT]
  = { "conflict", "read the newest version and apply the change to it" },
  [ERR_NOT_FOUND] = { "not_found", "check the name; list what exists" },
  [ERR_INVALID] = { "invalid", "correct the value and send it again" },
  [ERR_DENIED] = { "denied", "pass the operators' token" },
};

/* Returns the GError domain of this library.  */
GQuark
err_quark (void)
{
  return g_quark_from_static_string ("ibisloom-error");
}

/* Returns the stable name of CODE for logs and JSON.  */
const char *
err_name (enum err_code code)
{
  return error_texts[code].name;
}

/* Returns what the reader of an error of kind CODE should do.  */
const char *
err_remedy (enum err_code code)
{
  return error_texts[code].remedy;
}

/* Sets ERROR to kind CODE; the message is FORMAT followed by the remedy.  */
void
err_set (GError **error, enum err_code code, const char *format, ...)
{
  va_list args;
  char *message;

  if (error == NULL || *error != NULL)
    return;
  va_start (args, format);
  message = g_strdup_vprintf (format, args);
  va_end (args);
  g_set_error (error, ERR_DOMAIN, (gint)code, "%s (%s)", message,
               err_remedy (code));
  g_free (message);
}
