/* Origin of a relayed stream: the software version that began it, at which
   alone it may go on.  */
#include "librelay.h"

/* Returns whether TARGET may go on with the stream of RELAY.  */
int
relay_origin_fits (const struct relay *relay, const struct reg_target *target)
{
  return relay->software == 0 || target->software == relay->software;
}

/* Records, before an event of the current target is forwarded, that its
   version has begun the stream of RELAY, unless another one has.  */
void
relay_origin_begin (struct relay *relay)
{
  if (relay->software == 0)
    relay->software = relay->target->software;
}
