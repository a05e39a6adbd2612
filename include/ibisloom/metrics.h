/* Counters and latency histograms of the process. */
#ifndef IBISLOOM_METRICS_H
#define IBISLOOM_METRICS_H

#include <stdint.h>
#include <glib.h>

enum metric_counter
{
  METRIC_REQUESTS,
  METRIC_ANSWERED,
  METRIC_OVER_BOUND,      /* responses that report a load over the bound */
  METRIC_ROOM_REJECTIONS, /* requests that brittle targets turned away */
  METRIC_ROOMS_LEARNED,   /* of brittle targets, from others */
  /* Requests refused, or failed, by reason.  */
  METRIC_REFUSED_BAD_REQUEST,
  METRIC_REFUSED_UNKNOWN_CUSTOMER,
  METRIC_REFUSED_UNKNOWN_SERVICE,
  METRIC_REFUSED_MISSING_KEY,
  METRIC_REFUSED_KEY_REUSED,
  METRIC_REFUSED_TOO_LARGE,
  METRIC_REFUSED_NO_TARGET,
  METRIC_REFUSED_CAPACITY,
  METRIC_REFUSED_CUSTOMER_SHARE,
  METRIC_REFUSED_RETRY_BUDGET,
  METRIC_REFUSED_DEADLINE,
  METRIC_REFUSED_LEDGER_DOWN,
  METRIC_REFUSED_IN_PROGRESS,
  METRIC_REFUSED_MAY_HAVE_RUN,
  METRIC_REFUSED_STOPPING,
  METRIC_REFUSED_NOT_READY,
  METRIC_REFUSED_TARGETS_FAILED,
  METRIC_REFUSED_TARGET_FULL,
  METRIC_REFUSED_NO_CONNECTION,
  METRIC_REFUSED_QUARANTINED,
  METRIC_REFUSED_RATE,
  METRIC_REFUSED_ORIGIN,
  METRIC_REFUSED_VERSION_GONE,
  METRIC_REFUSED_HOP,
  METRIC_REFUSED_EVACUATED,
  METRIC_REFUSED_PAUSED,
  METRIC_REFUSED_OVER_SHARE,
  METRIC_REFUSED_QUEUE_FULL,
  METRIC_REFUSED_QUEUE_LATE,
  /* Failed attempts, by fault, and how streams continued after them.  */
  METRIC_RETRY_CONNECT,
  METRIC_RETRY_STATUS,
  METRIC_RETRY_DISCONNECTED,
  METRIC_RETRY_READ_TIMEOUT,
  METRIC_RETRY_RESUME,
  METRIC_RETRY_RESTART,
  METRIC_RETRY_INVALID_RESPONSE,
  METRIC_RETRY_UNREAD,
  METRIC_RESUMED_OWN,
  METRIC_RESUMED_PEER,
  METRIC_RESUMED_STORED,
  METRIC_RESUMED_ONLY_VERSION,
  METRIC_RESUMED_PRIOR_VERSION,
  METRIC_CUT_RESPONSES, /* that ended with their target */
  METRIC_EXTRA_INPUT, /* connections of targets with bytes after a response */
  METRIC_MISMATCHED_RESPONSES, /* to a request other than the one sent */
  METRIC_CLIENT_DISCONNECTED,  /* before the end of the response */
  METRIC_CLIENTS_SLOWED,       /* whose target had to wait for them */
  METRIC_CLIENTS_GIVEN_UP,     /* as they read nothing */
  METRIC_ATTEMPTS,
  /* Placements, by how the target was chosen.  */
  METRIC_PLACED_HOME,
  METRIC_PLACED_NOTE,
  METRIC_PLACED_NEXT_HOME,
  METRIC_PLACED_WITHOUT_GRANT, /* the target's owner did not answer */
  METRIC_PLACED_LEAST_LOADED,
  METRIC_PLACED_TRIAL,
  METRIC_PLACED_BUSY,   /* past the first holder, as others begin sooner */
  METRIC_LISTED_PLACED, /* at holders known from what targets say they hold */
  METRIC_LISTS_READ,    /* of what targets hold */
  METRIC_LISTS_FAILED,
  /* Requests through other instances, while cut off from targets.  */
  METRIC_HOPS_SENT,
  METRIC_HOPS_RECEIVED,
  METRIC_HOPS_ABANDONED, /* as their sender was no longer heard */
  METRIC_HOPS_REFUSED,   /* by this instance */
  METRIC_CUT_OFF,        /* times that it was cut off from a service */
  /* Load updates of instances in other failure domains.  */
  METRIC_LOAD_RELAY_FORWARDED, /* passed on to the own domain */
  METRIC_LOAD_RELAY_LIMITED,   /* not passed on: over the limit of datagrams */
  METRIC_LOAD_RELAY_APPLIED,   /* received from a relay */
  METRIC_LOAD_RELAY_OLD,       /* the same, but older than what was known */
  METRIC_LOAD_RELAY_UNKNOWN, /* the same, but of an unknown or silent instance
                              */
  /* Limits of targets that have started or recovered.  */
  METRIC_PACES_BEGUN,
  METRIC_PACES_REDUCED, /* for what this instance has seen */
  METRIC_PACES_ENDED,
  METRIC_LEAVES_SEEN, /* targets that have responded that they leave */
  METRIC_LEAVES_TOLD, /* the same, by what another instance has told */
  METRIC_PAUSES_BEGUN,
  METRIC_PAUSES_CAPPED,
  METRIC_PAUSES_ENDED,
  METRIC_PACED_OUT, /* requests sent there as no other target was left */
  /* Denied admissions, by reason.  */
  METRIC_DENIED_BOUND,
  METRIC_DENIED_RATE,
  METRIC_DENIED_EVACUATED,
  METRIC_DENIED_PAUSED,
  METRIC_DENIED_CAPACITY,
  METRIC_DENIED_SHARE,
  METRIC_DENIED_DOWN,
  METRIC_DENIED_LEAVING,
  METRIC_ADMISSION_LOCAL,  /* decided by this instance */
  METRIC_ADMISSION_REMOTE, /* sent to another instance */
  METRIC_ADMISSION_TIMEOUT,
  METRIC_GRANTS_RECONCILED, /* corrected by a hold message */
  METRIC_QUEUED,
  METRIC_REPLAYED_RESPONSE, /* answered from the ledger */
  METRIC_LEDGER_CLAIMS,
  METRIC_LEDGER_OUTCOMES,
  METRIC_LEDGER_WRITES,
  METRIC_LEDGER_CONFLICTS,
  METRIC_LEDGER_INDETERMINATE, /* writes without a response */
  METRIC_LEDGER_READS,
  METRIC_LEDGER_TAKEOVERS, /* loads of the log by its writer */
  METRIC_CONFIG_ADOPTED,
  METRIC_CONFIG_REJECTED,
  METRIC_CONFIG_STALE, /* not newer than the version known */
  METRIC_CONFIG_FROM_PEER,
  METRIC_PLATFORM_READS,
  METRIC_PLATFORM_WRITES,
  METRIC_PLATFORM_WATCHES,
  METRIC_PLATFORM_ERRORS,
  METRIC_STORE_RESTORED,         /* from an older copy of its data */
  METRIC_WATCH_CHECKS,           /* of the store, as a watch was overdue */
  METRIC_EVACUATIONS_READ_AGAIN, /* as there is room for one left out */
  METRIC_INCARNATIONS_RAISED,    /* as peers knew a later one */
  METRIC_CONFIG_PACED,           /* reports of versions that came in a storm */
  METRIC_DELTA_REFUSED,          /* differences that build on another text */
  METRIC_STORE_UNREADABLE, /* objects received that name nothing to use */
  /* Calls to the store for the origins of streams.  */
  METRIC_ORIGIN_READS,
  METRIC_ORIGIN_WRITES,
  METRIC_ORIGIN_FAILURES, /* among both */
  /* Control traffic sent, by kind of message.  */
  METRIC_SENT_HEARTBEAT_BYTES,
  METRIC_SENT_ADMISSION_REQUEST_BYTES,
  METRIC_SENT_ADMISSION_ANSWER_BYTES,
  METRIC_SENT_RELEASE_BYTES,
  METRIC_SENT_HOLD_BYTES,
  METRIC_SENT_NOTE_BYTES,
  METRIC_SENT_CONFIG_BYTES,
  METRIC_SENT_LEDGER_BYTES,
  METRIC_BUDGET_DROPPED, /* messages over the control budget */
  /* Datagrams received and dropped, by reason.  */
  METRIC_UDP_BAD_MAC,
  METRIC_UDP_MALFORMED,
  METRIC_UDP_VERSION_MISMATCH,
  METRIC_UDP_REPLAYED,
  METRIC_UDP_DUPLICATE_ID, /* sender has this instance's identifier */
  METRIC_PEER_DENIED,      /* authentication failed */
  METRIC_OPERATOR_DENIED,  /* authentication failed */
  METRIC_COUNTER_COUNT
};

enum metric_histogram
{
  METRIC_HIST_FIRST_BYTE_MS,
  METRIC_HIST_TOTAL_MS,
  METRIC_HIST_LEDGER_MS,
  METRIC_HIST_PLACE_MS,
  METRIC_HIST_WAIT_MS, /* for capacity, of requests that were sent then */
  METRIC_HISTOGRAM_COUNT
};

void metric_add (enum metric_counter counter, uint64_t n);
void metric_inc (enum metric_counter counter);
uint64_t metric_get (enum metric_counter counter);
const char *metric_name (enum metric_counter counter);
void metric_observe (enum metric_histogram histogram, int64_t value_ms);
void metric_print_all (GString *out);

#endif
