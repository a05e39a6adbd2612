/* The other instances: what each of them has under way, and what it knows.

   An instance writes its address to the store once, reads the others' from
   there, and from then on speaks with them by datagrams.  Who is not in the
   list yet is learnt from its first datagram.  Each beat carries how many
   requests the sender has at each target, so that all see the load of the
   whole fleet; notes tell which target has read which context.  A lost beat
   is made good by the next, a lost note costs one context read twice.  */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "ibisloom/error.h"
#include "ibisloom/log.h"
#include "ibisloom/rank.h"
#include "ibisloom/storecall.h"
#include "libfleet.h"

enum
{
  BEAT_MS = 200,
  SMALL_FLEET = 16, /* others that hear every beat */
  QUIET_BEATS = 5,  /* a beat for those that are silent, for every so many */
  WATCHER_SILENT_MS = 700,
  SILENT_MS = 1500 /* after which an instance's requests no longer count */
};

static int is_watcher (const struct flt_peer *peer, clk_ms now);
static int hears_now (const struct flt *flt, const struct flt_peer *peer,
                      uint32_t index, uint32_t strides);
static void on_beat (struct ev_loop *loop, ev_timer *timer, int events);
static void greet_seeds (struct flt *flt, clk_ms now);
static void peer_free (gpointer data);

/* Returns the view of the fleet, with its datagram socket bound, or NULL with
   ERROR set.  */
struct flt *
flt_new (const struct settings *settings, struct ev_loop *loop,
         struct out_pool *pool, const struct fol_dialect *store,
         const char *kind, struct registry *registry, struct ctx *contexts,
         GError **error)
{
  struct flt *flt = g_new0 (struct flt, 1);

  flt->loop = loop;
  flt->pool = pool;
  flt->settings = settings;
  flt->store = store;
  flt->kind = kind;
  flt->registry = registry;
  flt->contexts = contexts;
  flt->self = (uint32_t)rank_hash (settings->instance);
  flt->domain = (uint32_t)rank_hash (settings->failure_domain);
  flt->incarnation = (uint64_t)clk_wall_ms ();
  flt->peers = g_hash_table_new_full (NULL, NULL, NULL, peer_free);
  flt->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (sodium_init () < 0 || flt->fd < 0
      || bind (flt->fd, (const struct sockaddr *)&settings->peer_listen,
               sizeof settings->peer_listen)
             != 0)
    {
      err_set (error, ERR_IO, "peer_listen: port %u cannot be used: %s",
               ntohs (settings->peer_listen.sin_port), strerror (errno));
      flt_free (flt);
      return NULL;
    }
  wire_key_derive (&flt->key, "", settings->deployment);
  ev_io_init (&flt->io, flt_on_datagram, flt->fd, EV_READ);
  flt->io.data = flt;
  ev_timer_init (&flt->beat, on_beat, (double)BEAT_MS / CLK_MS_PER_S,
                 (double)BEAT_MS / CLK_MS_PER_S);
  flt->beat.data = flt;
  ev_timer_init (&flt->retry, flt_on_retry, 0, 0);
  flt->retry.data = flt;
  return flt;
}

/* Lets FN be told what each of the others knows of the store.  */
void
flt_on_news (struct flt *flt, flt_news_fn fn, void *closure)
{
  flt->on_news = fn;
  flt->closure = closure;
}

/* Sets what the others are told: what is KNOWN here, and how this instance
   stands to the STORE.  */
void
flt_set_known (struct flt *flt, const struct snp_point *known,
               enum wire_store store)
{
  flt->known = *known;
  flt->store_state = store;
}

/* Tells the others that this instance is about to end.  */
void
flt_leave (struct flt *flt)
{
  flt->leaving = 1;
}

/* Sets VIEW to what the live instances of the same failure domain do.  */
void
flt_view (const struct flt *flt, struct elect_view *view)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct flt_peer *peer = value;

      if (peer->domain != flt->domain || peer->state == MEMBER_LEAVING
          || flt_is_silent (peer, now))
        continue;
      if (peer->store == WIRE_STORE_LOST)
        view->lost++;
      else if (is_watcher (peer, now))
        {
          view->watchers++;
          view->watchers_before += peer->id < flt->self;
        }
      else if (peer->store == WIRE_STORE_UNWATCHED)
        view->candidates_before += peer->id < flt->self;
    }
}

/* Returns whether PEER watches the store and is heard of; watchers send each
   beat to their failure domain.  */
static int
is_watcher (const struct flt_peer *peer, clk_ms now)
{
  return peer->store == WIRE_STORE_WATCHED && peer->heard_ms != 0
         && now - peer->heard_ms <= WATCHER_SILENT_MS;
}

/* Returns whether a live instance of the same failure domain watches.  */
int
flt_has_watcher (const struct flt *flt)
{
  struct elect_view view = { 0 };

  flt_view (flt, &view);
  return view.watchers > 0;
}

/* Goes on with SETTINGS, whose addresses are the same.  */
void
flt_set_settings (struct flt *flt, const struct settings *settings)
{
  flt->settings = settings;
}

/* Starts to speak with the others.  */
void
flt_start (struct flt *flt)
{
  ev_io_start (flt->loop, &flt->io);
  ev_timer_start (flt->loop, &flt->beat);
  flt_join (flt);
}

/* Frees FLT; NULL is allowed.  */
void
flt_free (struct flt *flt)
{
  if (flt == NULL)
    return;
  ev_io_stop (flt->loop, &flt->io);
  ev_timer_stop (flt->loop, &flt->beat);
  ev_timer_stop (flt->loop, &flt->retry);
  if (flt->call != NULL)
    stc_cancel (flt->call);
  if (flt->fd >= 0)
    close (flt->fd);
  g_hash_table_destroy (flt->peers);
  g_free (flt);
}

/* Returns how many instances there are, this one included.  */
uint32_t
flt_size (const struct flt *flt)
{
  return g_hash_table_size (flt->peers) + 1;
}

/* Returns whether PEER, the one at INDEX, gets the beat at hand: in a large
   fleet one in STRIDES, but of an instance that watches the store those in its
   failure domain get all.  */
static int
hears_now (const struct flt *flt, const struct flt_peer *peer, uint32_t index,
           uint32_t strides)
{
  if (flt->store_state == WIRE_STORE_WATCHED && peer->domain == flt->domain)
    return 1;
  return (flt->beats + index) % strides == 0;
}

/* Sends a beat, and the notes that wait.  In a large fleet each hears a part
   of the beats.  */
static void
on_beat (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct flt *flt = timer->data;
  unsigned char beat[WIRE_MAX_BYTES];
  size_t beat_length;
  clk_ms now = clk_now (clk_monotonic ());
  uint32_t strides
      = (g_hash_table_size (flt->peers) + SMALL_FLEET - 1) / SMALL_FLEET;
  GHashTableIter iter;
  gpointer value;
  uint32_t index = 0;
  int wants_contexts = !flt->has_contexts;

  (void)loop;
  (void)events;
  flt->beats++;
  if (flt->beats % QUIET_BEATS == 1)
    greet_seeds (flt, now);
  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct flt_peer *peer = value;
      int silent = flt_is_silent (peer, now);

      if (silent && peer->loads->len > 0)
        {
          flt_forget_loads (flt, peer);
          log_info ("fleet", NULL, "peer_silent", "%08x", peer->id);
        }
      index++;
      if (silent ? (flt->beats + index) % QUIET_BEATS != 0 && flt->beats > 5
                 : !hears_now (flt, peer, index, strides))
        continue;
      beat_length = flt_encode_beat (flt, !silent && wants_contexts, beat);
      wants_contexts = wants_contexts && silent; /* one at a time is asked */
      (void)sendto (flt->fd, beat, beat_length, MSG_DONTWAIT,
                    (struct sockaddr *)&peer->address, sizeof peer->address);
    }
}

/* Sends a beat to the instances that the settings name while hardly any other
   is heard of: the store may be away.  All instances use the same port.  */
static void
greet_seeds (struct flt *flt, clk_ms now)
{
  unsigned char beat[WIRE_MAX_BYTES];
  GHashTableIter iter;
  gpointer value;
  size_t length;

  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!flt_is_silent (value, now))
      return;
  length = flt_encode_beat (flt, 0, beat);
  for (guint i = 0; i < flt->settings->peers->len; i++)
    {
      struct sockaddr_in address
          = g_array_index (flt->settings->peers, struct sockaddr_in, i);

      address.sin_port = flt->settings->peer_listen.sin_port;
      if (address.sin_addr.s_addr
          != flt->settings->peer_listen.sin_addr.s_addr)
        (void)sendto (flt->fd, beat, length, MSG_DONTWAIT,
                      (struct sockaddr *)&address, sizeof address);
    }
}

/* Returns whether PEER was not heard of for long, or never.  */
int
flt_is_silent (const struct flt_peer *peer, clk_ms now)
{
  return peer->heard_ms == 0 || now - peer->heard_ms > SILENT_MS;
}

/* Returns the instance ID, made if it is new.  */
struct flt_peer *
flt_peer_get (struct flt *flt, uint32_t id)
{
  gpointer key = GUINT_TO_POINTER (id);
  struct flt_peer *peer = g_hash_table_lookup (flt->peers, key);

  if (peer != NULL)
    return peer;
  peer = g_new0 (struct flt_peer, 1);
  peer->id = id;
  peer->loads = g_array_new (FALSE, FALSE, sizeof (struct flt_load));
  g_hash_table_insert (flt->peers, key, peer);
  return peer;
}

/* Frees a peer.  */
static void
peer_free (gpointer data)
{
  struct flt_peer *peer = data;

  g_array_free (peer->loads, TRUE);
  g_free (peer);
}
