/**
 * @file message.h
 * Messages between instances in decoded form.  The wire format is defined in
 * proto/peer.proto; protocol/peercodec encodes and decodes it.  A message owns
 * its arrays; message_finish releases them.
 */
#ifndef COORDINATION_MESSAGE_H
#define COORDINATION_MESSAGE_H

#include "state/catalog.h"
#include "state/ledger.h"
#include "state/quarantine.h"
#include "state/store_position.h"
#include "state/stream_builds.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MESSAGE_VERSION    1       /**< protocol version sent in the hello */
#define MESSAGE_FRAME_MAX  4194304 /**< bytes of one frame */
#define MESSAGE_KEY_SIZE   160     /**< bytes of "kind/NAME" with its NUL */
#define MESSAGE_NONCE_SIZE 32      /**< bytes */
#define MESSAGE_PROOF_SIZE 32      /**< bytes of an HMAC-SHA-256 */

enum message_kind
{
  MESSAGE_HELLO, /**< first frame in each direction */
  MESSAGE_PROOF, /**< HMAC over both hellos */
  MESSAGE_HEARTBEAT,
  MESSAGE_ACCOUNTS, /**< usage counters of one origin */
  MESSAGE_GRANT,    /**< slots leased, lessor to lessee */
  MESSAGE_HOLD,     /**< slots held, lessee to lessor */
  MESSAGE_CONFIG_REQUEST,
  MESSAGE_CONFIG,
  MESSAGE_ADDRESSES, /**< of other instances, for one that joins */
  MESSAGE_LOAD,      /**< load of a gateway */
  MESSAGE_LIMIT,     /**< a limit that an upstream names */
  MESSAGE_STREAMS,   /**< builds that began streams */
  MESSAGE_KIND_MAX
};

enum message_instance_state
{
  MESSAGE_INSTANCE_STARTING,
  MESSAGE_INSTANCE_LIVE,
  MESSAGE_INSTANCE_DRAINING,
  MESSAGE_INSTANCE_STATE_MAX
};

struct message_hello
{
  uint32_t version;
  char fleet[CATALOG_NAME_SIZE];
  char instance[CATALOG_NAME_SIZE];
  char availability_zone[CATALOG_NAME_SIZE];
  char address[CATALOG_ADDRESS_SIZE]; /**< for connections from peers */
  uint64_t incarnation;
  uint8_t nonce[MESSAGE_NONCE_SIZE];
};

/** Requests of one (customer, service) at the sender. */
struct message_demand
{
  uint64_t customer_id;
  uint64_t service_id;
  uint32_t waiting;
  uint32_t running;
};

/** Lists only the demands that changed, unless `full` is set.  In a full
    heartbeat, pairs that are not listed have no requests. */
struct message_heartbeat
{
  uint64_t sequence;
  enum message_instance_state state;
  uint64_t config_index;
  bool full;
  size_t demand_count;
  struct message_demand *demands;
};

struct message_accounts
{
  struct ledger_origin origin;
  size_t entry_count;
  struct ledger_entry *entries;
};

/** Slots that a lessor allows a lessee to hold at one upstream. */
struct message_grant_item
{
  uint64_t upstream_id;
  uint64_t sequence; /**< increases per (lessor incarnation, upstream) */
  uint32_t slots;    /**< maximum that the lessee may hold */
};

/** A grant with lease_ms 0 grants nothing: it queries what the lessee holds at
    the upstreams in the items, whichever lessor granted it.  The lessee
    answers with a hold message. */
struct message_grant
{
  uint64_t lessor_incarnation;
  uint32_t lease_ms; /**< applies to all items granted by this lessor */
  size_t item_count; /**< 0: only renews earlier grants */
  struct message_grant_item *items;
  /** Newest heartbeat of the lessee that the lessor has received.  The lease
      runs from the time at which the lessee sent it; 0: from receipt of the
      grant. */
  uint64_t heartbeat_sequence;
};

/** Slots that a lessee holds at one upstream. */
struct message_hold_item
{
  uint64_t upstream_id;
  uint64_t sequence; /**< of the newest grant that it has applied */
  uint32_t capacity; /**< slots that it holds; at least `busy` */
  uint32_t busy;
};

struct message_hold
{
  uint64_t lessor_incarnation; /**< to which the sequences belong */
  size_t item_count;
  struct message_hold_item *items;
};

struct message_config_request
{
  uint64_t since_index; /**< send only objects with a greater index */
};

struct message_object
{
  char key[MESSAGE_KEY_SIZE]; /**< "customer/NAME" and so on */
  uint64_t index; /**< modify index plus index base, see confsync.h */
  struct store_position position; /**< between gateways, in place of `index` */
  bool deleted;                   /**< tombstone */
  size_t value_size;              /**< bytes */
  char *value; /**< JSON text; of a tombstone NULL, or the value
                  that preserves its change records */
};

struct message_config
{
  uint64_t newest_index; /**< up to which the sender is complete */
  struct store_position newest_position; /**< between gateways */
  bool complete; /**< last part of a complete response */
  size_t object_count;
  struct message_object *objects;
};

/** Addresses at which instances accept connections from peers. */
struct message_addresses
{
  size_t count;
  char (*items)[CATALOG_ADDRESS_SIZE];
};

/** Subject of a load item of a gateway. */
enum message_subject
{
  MESSAGE_SUBJECT_UPSTREAM, /**< requests running; tokens to prefill */
  MESSAGE_SUBJECT_CUSTOMER, /**< requests waiting; tokens served recently */
  MESSAGE_SUBJECT_QUEUED,   /**< an upstream; in place of requests the tokens
                               queued for it, and these weighted */
  MESSAGE_SUBJECT_EJECTED,  /**< an upstream; instances that have ejected it */
  MESSAGE_SUBJECT_OUT,      /**< an availability zone; its instances that are
                               out of the load balancer's rotation */
  MESSAGE_SUBJECT_MAX
};

struct message_load_item
{
  uint64_t id;
  enum message_subject subject;
  uint32_t requests;
  uint64_t tokens;
};

/** Replaces the previous load message of the sender; what is not listed is
    zero.  The suspects are those that changed since; they add to earlier ones.
 */
struct message_load
{
  /** Up to which the sender has followed the store. */
  struct store_position store_position;
  uint32_t age_ms; /**< since the sender last confirmed that index */
  size_t item_count;
  struct message_load_item *items;
  size_t suspect_count;
  struct quarantine_row *suspects; /**< see quarantine.h */
  uint64_t sent_ms; /**< steady time of the sender, from 1; 0: not stated */
  /** The newest `sent_ms` of the receiver that this message answers: what the
      sender, and the instances whose news it passes on, knew when that arrived
      was sent before; 0: none. */
  uint64_t echo_ms;
  bool asks; /**< the sender waits for an answer to this message */
};

/** Streams and markers of services that changed; they add to earlier ones. */
struct message_streams
{
  size_t count;
  struct stream_builds_row *rows;
};

enum message_limit_kind
{
  MESSAGE_LIMIT_KNOWN,   /**< the limit, or its end */
  MESSAGE_LIMIT_ASK,     /**< for a turn */
  MESSAGE_LIMIT_GRANTED, /**< a turn */
  MESSAGE_LIMIT_DENIED,
  MESSAGE_LIMIT_RETURNED, /**< a turn that was not used */
  MESSAGE_LIMIT_KIND_MAX
};

/** About the limit of one upstream; see state/rate_limit.h. */
struct message_limit
{
  enum message_limit_kind kind;
  uint64_t upstream_id;
  uint64_t instance_id; /**< that asks for the turn */
  bool preferred;       /**< for a customer with little recent usage */
  uint32_t permille;    /**< thousandths of a request a second; 0: no limit */
  uint32_t ms; /**< known: its age; granted: time until the turn; denied:
                    until a turn may be asked for */
};

struct message
{
  enum message_kind kind;
  union
  {
    struct message_hello hello;
    uint8_t proof[MESSAGE_PROOF_SIZE];
    struct message_heartbeat heartbeat;
    struct message_accounts accounts;
    struct message_grant grant;
    struct message_hold hold;
    struct message_config_request config_request;
    struct message_config config;
    struct message_addresses addresses;
    struct message_load load;
    struct message_limit limit;
    struct message_streams streams;
  } u;
};

/** Releases the arrays of a message. */
void message_finish (struct message *message);

/** Name of a kind for log lines. */
const char *message_kind_name (enum message_kind kind);

/** Interface through which the coordination layer sends messages, provided by
    the transport or by a test.  The caller keeps ownership of the message. */
struct message_sender
{
  int (*send) (void *user, uint64_t instance_id,
               const struct message *message);
  void *user;
};

#endif
