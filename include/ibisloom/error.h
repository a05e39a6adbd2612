/* Error codes of the library's GError domain. */
#ifndef IBISLOOM_ERROR_H
#define IBISLOOM_ERROR_H

#include <glib.h>

enum err_code
{
  ERR_SETTINGS,
  ERR_IO,
  ERR_PLATFORM_DOWN,          /* a call to the platform failed */
  ERR_PLATFORM_INDETERMINATE, /* a write may have taken effect */
  ERR_CONFLICT,               /* another writer changed the object */
  ERR_NOT_FOUND,
  ERR_INVALID,
  ERR_DENIED,
  ERR_COUNT
};

#define ERR_DOMAIN (err_quark ())

GQuark err_quark (void);
const char *err_name (enum err_code code);
const char *err_remedy (enum err_code code);
void err_set (GError **error, enum err_code code, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

#endif
