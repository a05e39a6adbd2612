/* Datagram protocol between the instances: membership, target loads and
   admission.

   Each target has one owner among the instances of its failure domain.  Before
   an instance sends a client's request to a target, it sends an admission
   request to the owner of the target.  If the owner gives a grant, the
   instance releases it when the client's request has ended.  */
#ifndef IBISLOOM_PEER_H
#define IBISLOOM_PEER_H

#include <glib.h>

#include "ibisloom/members.h"
#include "ibisloom/admission.h"
#include "ibisloom/settings.h"
#include "ibisloom/version.h"
#include "ibisloom/wire.h"

enum peer_verdict
{
  /* Values below PEER_TIMEOUT are those of enum adm_verdict. */
  PEER_TIMEOUT = ADM_VERDICT_COUNT, /* no owner, or no answer in time */
  PEER_NOT_SENT /* over the control budget, or the send failed */
};

/* Answer to an admission request. */
struct peer_reply
{
  uint32_t grant;
  uint32_t verdict;  /* enum adm_verdict or enum peer_verdict */
  uint64_t redirect; /* for ADM_REDIRECT: the target that serves the chat */
};

/* Called on the peer thread, or from within peer_request_admission. */
typedef void (*peer_reply_fn) (void *closure, uint64_t tag,
                               const struct peer_reply *reply);

/* Called on the peer thread when the instance at the address PEER reports a
   higher configuration revision than this instance has. */
/* Receive what another instance tells of the end of a target, or of a success.
 */
typedef void (*peer_crash_fn) (void *closure, const struct wire_crash *told);
typedef void (*peer_success_fn) (void *closure,
                                 const struct wire_success *told);

typedef void (*peer_revision_fn) (void *closure,
                                  const struct sockaddr_in *peer);

/* Request for admission to one target. */
struct peer_admission_request
{
  uint64_t target;
  uint32_t domain; /* failure domain of the target */
  uint64_t chat;
  uint64_t customer;
  uint32_t flags;   /* ADM_NO_REDIRECT or 0 */
  uint32_t wait_ms; /* longest wait in the owner's queue */
  uint32_t priority;
};

/* This instance's endpoint of the protocol, with a thread that sends and
   receives. */
struct peer;

struct peer *peer_new (const struct settings *settings,
                       struct ver_store *store, GError **error);
void peer_on_revision (struct peer *peer, peer_revision_fn fn, void *closure);
void peer_on_crash (struct peer *peer, peer_crash_fn crash_fn,
                    peer_success_fn success_fn, void *closure);
void peer_broadcast (struct peer *peer, struct wire_message *message);
void peer_start (struct peer *peer);
void peer_stop (struct peer *peer);
void peer_free (struct peer *peer);
int32_t peer_headroom (struct peer *peer, const struct ver_snapshot *version,
                       uint64_t target);
uint32_t
peer_request_admission (struct peer *peer, const struct ver_snapshot *version,
                        const struct peer_admission_request *admission_request,
                        peer_reply_fn fn, void *closure, uint64_t tag);
void peer_record_grant (struct peer *peer, uint32_t grant, uint64_t target,
                        uint32_t domain);
void peer_release_grant (struct peer *peer, uint32_t grant,
                         enum adm_outcome outcome);
void peer_send_note (struct peer *peer, const struct adm_note *note,
                     uint32_t domain);
void peer_set_state (struct peer *peer, enum member_state state);
void peer_transfer_notes (struct peer *peer);
void peer_announce (struct peer *peer);
void peer_set_leaving (struct peer *peer, const uint64_t *targets,
                       size_t count);
int peer_is_leaving (struct peer *peer, uint64_t target);
int peer_has_role (struct peer *peer, const char *role, size_t instance_count);
int32_t peer_owned_load (struct peer *peer, const struct ver_target *target);
struct member_table *peer_members (struct peer *peer);
int peer_consume_budget (struct peer *peer, int traffic_class, int64_t bytes);
char *peer_status_json (struct peer *peer);
uint32_t peer_instance_id (const char *instance);

#endif
