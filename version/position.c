/* Positions in the history of the platform's store. */
#include <stddef.h>
#include <glib.h>

#include "ibisloom/position.h"

/* More restorations than a store can have; what is over it is damaged.  */
static const uint64_t EPOCH_MAX = UINT32_MAX;

/* Returns a value below, equal to or above 0 if A is before, equal to or after
   B.  */
int
pos_compare (struct position a, struct position b)
{
  if (a.epoch != b.epoch)
    return a.epoch < b.epoch ? -1 : 1;
  if (a.revision != b.revision)
    return a.revision < b.revision ? -1 : 1;
  return 0;
}

/* Returns the later of A and B.  */
struct position
pos_max (struct position a, struct position b)
{
  return pos_compare (a, b) < 0 ? b : a;
}

/* Reads VALUE, a decimal number, as an epoch.  NULL, the value of a store that
   does not tell it, gives 0.  Returns 0 with EPOCH set, or -1 if VALUE is
   malformed.  */
int
pos_parse_epoch (const char *value, uint64_t *epoch)
{
  guint64 number = 0;

  if (value != NULL
      && !g_ascii_string_to_unsigned (value, 10, 0, EPOCH_MAX, &number, NULL))
    return -1;
  *epoch = number;
  return 0;
}
