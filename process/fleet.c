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
#include "ibisloom/fleet.h"
#include "ibisloom/log.h"
#include "ibisloom/members.h"
#include "ibisloom/rank.h"
#include "ibisloom/storecall.h"

enum
{
  BEAT_MS = 200,
  NOTE_FLEET_MAX = 128, /* others that are all told of contexts */
  SMALL_FLEET = 16,     /* others that hear every beat */
  QUIET_BEATS = 5, /* a beat for those that are silent, for every so many */
  WATCHER_SILENT_MS = 700,
  SILENT_MS = 1500, /* after which an instance's requests no longer count */
  CALL_TIMEOUT_MS = 1500,
  RETRY_MS = 700,
  PEERS_MAX = 2048,
  STATUS_SUCCESS = 200,
  STATUS_REDIRECT = 300,
  STATUS_CONFLICT = 409,
  MS_PER_S = 1000
};

/* Requests of a peer at one target, and whether the target counts them. */
struct flt_load
{
  uint64_t target;
  uint64_t serial; /* of the target that counts them, 0: none does */
  int32_t load;
};

struct flt_peer
{
  uint32_t id;
  struct sockaddr_in address;
  uint64_t incarnation;
  uint64_t sequence;
  uint32_t domain;
  enum wire_store store;
  enum mem_state state;
  clk_ms heard_ms; /* 0: never */
  GArray *loads;   /* of struct flt_load, as last told */
};

struct flt
{
  struct ev_loop *loop;
  struct out_pool *pool;
  const struct settings *settings;
  const struct fol_dialect *store;
  const char *kind;
  struct reg *reg;
  struct ctx *contexts;
  struct wire_key key;
  uint32_t self;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t beats;
  int fd;
  ev_io io;
  ev_timer beat;
  ev_timer retry;
  struct stc *call;
  uint8_t registered;
  uint8_t listed;
  uint8_t leaving;
  GHashTable *peers; /* id to struct flt_peer */
  uint32_t domain;
  struct snp_point known;
  enum wire_store store_state;
  flt_news_fn on_news;
  void *closure;
  uint8_t has_contexts; /* another instance has told its contexts */
};

static void step (struct flt *flt);
static void on_registered (void *closure, uint32_t status, const char *text,
                           size_t length);
static void on_listed (void *closure, uint32_t status, const char *text,
                       size_t length);
static void on_member (void *closure, const struct fol_object *object);
static void on_retry (struct ev_loop *loop, ev_timer *timer, int events);
static void on_beat (struct ev_loop *loop, ev_timer *timer, int events);
static void on_datagram (struct ev_loop *loop, ev_io *io, int events);
static void take_beat (struct flt *flt, struct flt_peer *peer,
                       const struct wire_heartbeat *beat);
static void take_notes (struct flt *flt, const struct wire_notes *notes);
static struct flt_peer *peer_get (struct flt *flt, uint32_t id);
static void peer_free (gpointer data);
static void forget_loads (struct flt *flt, struct flt_peer *peer);
static size_t encode_beat (struct flt *flt, int wants_contexts,
                           unsigned char *out);
static void send_notes (struct flt *flt, const struct flt_peer *peer,
                        const struct wire_note *notes, uint32_t count);
static int is_watcher (const struct flt_peer *peer, clk_ms now);
static int hears_now (const struct flt *flt, const struct flt_peer *peer,
                      uint32_t index, uint32_t strides);
static int hears_notes (const struct flt *flt, const struct flt_peer *peer);
static void greet_seeds (struct flt *flt, clk_ms now);
static void send_contexts (struct flt *flt, const struct flt_peer *peer);
static int is_silent (const struct flt_peer *peer, clk_ms now);
static void retry_later (struct flt *flt);

/* Returns the view of the fleet, with its datagram socket bound, or NULL with
   ERROR set.  */
struct flt *
flt_new (const struct settings *settings, struct ev_loop *loop,
         struct out_pool *pool, const struct fol_dialect *store,
         const char *kind, struct reg *reg, struct ctx *contexts,
         GError **error)
{
  struct flt *flt = g_new0 (struct flt, 1);

  flt->loop = loop;
  flt->pool = pool;
  flt->settings = settings;
  flt->store = store;
  flt->kind = kind;
  flt->reg = reg;
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
  ev_io_init (&flt->io, on_datagram, flt->fd, EV_READ);
  flt->io.data = flt;
  ev_timer_init (&flt->beat, on_beat, (double)BEAT_MS / MS_PER_S,
                 (double)BEAT_MS / MS_PER_S);
  flt->beat.data = flt;
  ev_timer_init (&flt->retry, on_retry, 0, 0);
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
flt_view (const struct flt *flt, struct dut_view *view)
{
  clk_ms now = clk_now (clk_monotonic ());
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct flt_peer *peer = value;

      if (peer->domain != flt->domain || peer->state == MEM_LEAVING
          || is_silent (peer, now))
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
  struct dut_view view = { 0 };

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
  step (flt);
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

/* Tells the others at once that TARGET reads CONTEXT from now on, so that the
   next request with it goes there too.  */
void
flt_holder (struct flt *flt, uint64_t context, uint64_t target)
{
  struct wire_note note = { .chat = context, .target = target };
  GHashTableIter iter;
  gpointer value;
  clk_ms now = clk_now (clk_monotonic ());

  g_hash_table_iter_init (&iter, flt->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!is_silent (value, now) && hears_notes (flt, value))
      send_notes (flt, value, &note, 1);
}

/* Returns whether PEER is told of contexts: in a large fleet only those in the
   same failure domain, where a caller comes back.  */
static int
hears_notes (const struct flt *flt, const struct flt_peer *peer)
{
  return g_hash_table_size (flt->peers) <= NOTE_FLEET_MAX
         || peer->domain == flt->domain;
}

/* Returns how many instances there are, this one included.  */
uint32_t
flt_size (const struct flt *flt)
{
  return g_hash_table_size (flt->peers) + 1;
}

/* Makes the next call to the store: first this instance is entered, then the
   others are read.  */
static void
step (struct flt *flt)
{
  GString *target = g_string_new (NULL);
  char *address = settings_format_address (&flt->settings->peer_listen);
  char *body = NULL;

  if (!flt->registered)
    {
      json_t *content = json_pack ("{s:s}", "address", address);

      flt->store->object_target (target, flt->kind, NULL);
      body = flt->store->object_body (flt->settings->instance, content);
      json_decref (content);
    }
  else
    flt->store->list_target (target, flt->kind, NULL);
  flt->call = stc_start (flt->loop, flt->pool, &flt->settings->platform,
                         flt->registered ? "GET" : "POST", target->str, body,
                         CALL_TIMEOUT_MS,
                         flt->registered ? on_listed : on_registered, flt);
  if (flt->call == NULL)
    retry_later (flt);
  g_string_free (target, TRUE);
  g_free (address);
}

/* This instance is entered, or was already.  */
static void
on_registered (void *closure, uint32_t status, const char *text, size_t length)
{
  struct flt *flt = closure;

  (void)text;
  (void)length;
  flt->call = NULL;
  flt->registered = (status >= STATUS_SUCCESS && status < STATUS_REDIRECT)
                    || status == STATUS_CONFLICT;
  if (flt->registered)
    step (flt);
  else
    retry_later (flt);
}

/* The others' addresses are there.  */
static void
on_listed (void *closure, uint32_t status, const char *text, size_t length)
{
  struct flt *flt = closure;
  struct fol_page page = { .last_name = g_string_new (NULL) };

  flt->call = NULL;
  flt->listed
      = status == STATUS_SUCCESS
        && flt->store->read_list (text, length, &page, on_member, flt) == 0;
  g_string_free (page.last_name, TRUE);
  if (!flt->listed)
    {
      retry_later (flt);
      return;
    }
  log_info ("fleet", NULL, "listed", "%u instances", flt_size (flt));
}

/* Takes one entry of the list.  */
static void
on_member (void *closure, const struct fol_object *object)
{
  struct flt *flt = closure;
  const char *address
      = json_string_value (json_object_get (object->content, "address"));
  uint32_t id = (uint32_t)rank_hash (object->name);
  struct sockaddr_in parsed;

  if (id == flt->self || address == NULL
      || settings_parse_address (address, &parsed) != 0
      || g_hash_table_size (flt->peers) >= PEERS_MAX)
    return;
  peer_get (flt, id)->address = parsed;
}

/* Tries the call to the store again.  */
static void
on_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  step (timer->data);
}

/* Lets the call to the store be tried again after a pause.  */
static void
retry_later (struct flt *flt)
{
  ev_timer_stop (flt->loop, &flt->retry);
  ev_timer_set (&flt->retry, (double)RETRY_MS / MS_PER_S, 0);
  ev_timer_start (flt->loop, &flt->retry);
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
      int silent = is_silent (peer, now);

      if (silent && peer->loads->len > 0)
        {
          forget_loads (flt, peer);
          log_info ("fleet", NULL, "peer_silent", "%08x", peer->id);
        }
      index++;
      if (silent ? (flt->beats + index) % QUIET_BEATS != 0 && flt->beats > 5
                 : !hears_now (flt, peer, index, strides))
        continue;
      beat_length = encode_beat (flt, !silent && wants_contexts, beat);
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
    if (!is_silent (value, now))
      return;
  length = encode_beat (flt, 0, beat);
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

/* Writes a beat to OUT and returns its length.  */
static size_t
encode_beat (struct flt *flt, int wants_contexts, unsigned char *out)
{
  struct wire_message message = { .kind = WIRE_HEARTBEAT,
                                  .sender = flt->self,
                                  .incarnation = flt->incarnation,
                                  .sequence = ++flt->sequence };
  struct wire_heartbeat *beat = &message.u.heartbeat;

  beat->wants_reply = wants_contexts != 0;
  beat->revision = flt->known.targets;
  beat->config_revision = flt->known.config;
  beat->store = (uint8_t)flt->store_state;
  beat->domain = flt->domain;
  beat->state = (uint8_t)(flt->leaving ? MEM_LEAVING : MEM_READY);
  for (guint i = 0; i < flt->reg->order->len; i++)
    {
      const struct reg_target *target = g_ptr_array_index (flt->reg->order, i);

      if (target->in_flight == 0 || beat->load_count == WIRE_LOADS_MAX)
        continue;
      beat->loads[beat->load_count].target = target->hash;
      beat->loads[beat->load_count].load = target->in_flight;
      beat->load_count++;
    }
  return wire_encode (&message, &flt->key, out);
}

/* Sends COUNT notes to PEER.  */
static void
send_notes (struct flt *flt, const struct flt_peer *peer,
            const struct wire_note *notes, uint32_t count)
{
  struct wire_message message = { .kind = WIRE_NOTE,
                                  .sender = flt->self,
                                  .incarnation = flt->incarnation,
                                  .sequence = ++flt->sequence };
  unsigned char data[WIRE_MAX_BYTES];
  size_t length;

  message.u.notes.count = count;
  memcpy (message.u.notes.note, notes, count * sizeof *notes);
  length = wire_encode (&message, &flt->key, data);
  (void)sendto (flt->fd, data, length, MSG_DONTWAIT,
                (const struct sockaddr *)&peer->address, sizeof peer->address);
}

/* Tells PEER, which has just started, all that is known of contexts.  */
static void
send_contexts (struct flt *flt, const struct flt_peer *peer)
{
  struct wire_note notes[WIRE_NOTES_MAX];
  struct ctx_cursor cursor = { 0 };
  uint32_t count = 0;

  while (ctx_next (flt->contexts, &cursor, &notes[count].chat,
                   &notes[count].target))
    {
      notes[count].home = 0;
      notes[count].ttl_ms = 0;
      if (++count < WIRE_NOTES_MAX)
        continue;
      send_notes (flt, peer, notes, count);
      count = 0;
    }
  if (count > 0)
    send_notes (flt, peer, notes, count);
}

/* Returns whether PEER was not heard of for long, or never.  */
static int
is_silent (const struct flt_peer *peer, clk_ms now)
{
  return peer->heard_ms == 0 || now - peer->heard_ms > SILENT_MS;
}

/* Reads what the others sent.  */
static void
on_datagram (struct ev_loop *loop, ev_io *io, int events)
{
  struct flt *flt = io->data;
  unsigned char data[WIRE_MAX_BYTES];
  struct wire_message message;
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t got;

  (void)loop;
  (void)events;
  while ((got = recvfrom (flt->fd, data, sizeof data, MSG_DONTWAIT,
                          (struct sockaddr *)&from, &size))
         >= 0)
    {
      struct flt_peer *peer;

      size = sizeof from;
      if (wire_decode (&message, &flt->key, data, (size_t)got) != WIRE_OK
          || message.sender == flt->self
          || g_hash_table_size (flt->peers) >= PEERS_MAX)
        continue;
      peer = peer_get (flt, message.sender);
      if (message.incarnation < peer->incarnation
          || (message.incarnation == peer->incarnation
              && message.sequence <= peer->sequence))
        continue;
      peer->incarnation = message.incarnation;
      peer->sequence = message.sequence;
      peer->address = from;
      peer->heard_ms = clk_now (clk_monotonic ());
      if (message.kind == WIRE_HEARTBEAT)
        take_beat (flt, peer, &message.u.heartbeat);
      else if (message.kind == WIRE_NOTE)
        take_notes (flt, &message.u.notes);
    }
}

/* Takes over what PEER has under way.  */
static void
take_beat (struct flt *flt, struct flt_peer *peer,
           const struct wire_heartbeat *beat)
{
  forget_loads (flt, peer);
  for (uint32_t i = 0; i < beat->load_count; i++)
    {
      struct flt_load load = { .target = beat->loads[i].target,
                               .load = (int32_t)beat->loads[i].load };
      struct reg_target *target = reg_find_hash (flt->reg, load.target);

      if (target != NULL)
        {
          load.serial = target->serial;
          target->others_in_flight += load.load;
        }
      g_array_append_val (peer->loads, load);
    }
  if (beat->wants_reply)
    send_contexts (flt, peer);
  peer->domain = beat->domain;
  peer->store = (enum wire_store)beat->store;
  peer->state = (enum mem_state)beat->state;
  if (flt->on_news != NULL)
    {
      struct flt_news news
          = { .address = peer->address,
              .known = { beat->config_revision, beat->revision },
              .is_local = beat->domain == flt->domain };

      flt->on_news (flt->closure, &news);
    }
}

/* Takes away what PEER told before.  A target that was entered anew since has
   not counted it.  */
static void
forget_loads (struct flt *flt, struct flt_peer *peer)
{
  for (guint i = 0; i < peer->loads->len; i++)
    {
      const struct flt_load *load
          = &g_array_index (peer->loads, struct flt_load, i);
      struct reg_target *target = reg_find_hash (flt->reg, load->target);

      if (target != NULL && target->serial == load->serial)
        target->others_in_flight -= load->load;
    }
  g_array_set_size (peer->loads, 0);
}

/* Takes over which targets have read which contexts.  */
static void
take_notes (struct flt *flt, const struct wire_notes *notes)
{
  clk_ms now = clk_now (clk_monotonic ());

  flt->has_contexts |= notes->count > 1;
  for (uint32_t i = 0; i < notes->count; i++)
    ctx_note (flt->contexts, notes->note[i].chat, notes->note[i].target, now);
}

/* Returns the instance ID, made if it is new.  */
static struct flt_peer *
peer_get (struct flt *flt, uint32_t id)
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
